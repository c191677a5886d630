/*
 * Counters. Each is a static `struct ctr` that registers itself on first use; the operators' port
 * renders all of them in the text format that monitoring tools read.
 */
#ifndef BASE_CTR_H
#define BASE_CTR_H

#include <stdint.h>
#include <stdio.h>

struct ctr {
	const char *name; /* without the "bamboocroft_" prefix */
	const char *help;
	uint64_t value;
	struct ctr *next;
	int registered;
};

#define CTR(var, ctr_name, ctr_help) static struct ctr var = {.name = ctr_name, .help = ctr_help}

void ctr_add(struct ctr *c, uint64_t n);

static inline void ctr_inc(struct ctr *c)
{
	ctr_add(c, 1);
}

void ctr_render(FILE *out);

#endif
