/*
 * Metric counters. Each is a static `struct ctr` that registers itself when first incremented. The
 * metrics page renders all registered counters in the Prometheus text format.
 */
#ifndef BASE_CTR_H
#define BASE_CTR_H

#include <stdint.h>
#include <stdio.h>

struct ctr {
	const char *name; /* without the "bamboocroft_" prefix */
	const char *help; /* text of the HELP line */
	uint64_t value;
	struct ctr *next; /* next in the list of registered counters */
	int registered;	  /* 1 once the counter is in that list */
};

/* Defines a counter as a static variable `var`. */
#define CTR(var, ctr_name, ctr_help) static struct ctr var = {.name = ctr_name, .help = ctr_help}

/* Adds `n` to the counter and registers the counter on its first use. */
void ctr_add(struct ctr *c, uint64_t n);

static inline void ctr_inc(struct ctr *c)
{
	ctr_add(c, 1);
}

/* Writes all registered counters to `out`. */
void ctr_render(FILE *out);

#endif
