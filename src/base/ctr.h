/*
 * Metric counters, and gauges, whose value is set. Each is a static `struct ctr` that registers
 * itself when first used. The metrics page renders all registered ones in the Prometheus text
 * format.
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
	int gauge;	  /* 1 for a gauge */
};

/* Defines a counter as a static variable `var`. */
#define CTR(var, ctr_name, ctr_help) static struct ctr var = {.name = ctr_name, .help = ctr_help}

/* The same for a gauge. */
#define CTR_GAUGE(var, ctr_name, ctr_help)                                                         \
	static struct ctr var = {.name = ctr_name, .help = ctr_help, .gauge = 1}

/* Sets a gauge and registers it on its first use. */
void ctr_set(struct ctr *c, uint64_t value);
/* Adds `n` to the counter and registers the counter on its first use. */
void ctr_add(struct ctr *c, uint64_t n);

static inline void ctr_inc(struct ctr *c)
{
	ctr_add(c, 1);
}

/* Writes all registered counters to `out`. */
void ctr_render(FILE *out);

#endif
