/*
 * Latency histograms with fixed bucket bounds. Each is a static `struct hist` that registers itself
 * when the first value is added; the metrics page renders all of them after the counters.
 */
#ifndef BASE_HIST_H
#define BASE_HIST_H

#include <stdint.h>
#include <stdio.h>

#include "base/clk.h"

#define HIST_BUCKETS 16

struct hist {
	const char *name;		/* without the "bamboocroft_" prefix */
	const char *help;		/* text of the HELP line */
	uint64_t buckets[HIST_BUCKETS]; /* values in each bucket; the last has no upper bound */
	uint64_t sum_ms;
	uint64_t count;	   /* values in all buckets */
	struct hist *next; /* next in the list of registered histograms */
	int registered;	   /* 1 once the histogram is in that list */
};

/* Defines a histogram as a static variable `var`. */
#define HIST(var, hist_name, hist_help)                                                            \
	static struct hist var = {.name = hist_name, .help = hist_help}

/* Counts a value in ms; a negative one counts as 0. Registers the histogram on its first use. */
void hist_add(struct hist *h, clk_ms value);

/* Writes all registered histograms to `out`, in the Prometheus text format. */
void hist_render(FILE *out);

#endif
