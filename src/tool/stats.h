/*
 * Statistics of a load run: counts by status and outcome, latency percentiles of successes, and
 * unavailable time, which is the longest time without a successful answer.
 */
#ifndef TOOL_STATS_H
#define TOOL_STATS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "base/clk.h"

struct stats;

/* One attempt and its answer. */
struct stats_sample {
	clk_ms sent;	 /* UTC time at which the attempt was first sent */
	clk_ms answered; /* UTC time at which the answer or failure was recorded */
	uint64_t latency_us;
	const char *label; /* status and outcome of an answer, or name of the result without one */
	const char *key;   /* NULL: none */
	bool success;	   /* completed with a status below 400 and matching content */
	bool repeat;	   /* second request with the same id; counted by label only */
};

struct stats *stats_create(clk_ms start);
void stats_destroy(struct stats *s);
void stats_add(struct stats *s, const struct stats_sample *sample);

/*
 * Writes one "name value" line for each figure; `end` is when sending stopped. With `per_key` also
 * reports the key that was unavailable longest, from the sending of its first failed request to the
 * next successful answer.
 */
void stats_write(struct stats *s, clk_ms end, bool per_key, FILE *out);

#endif
