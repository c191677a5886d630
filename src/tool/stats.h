/*
 * Summary of a load run: counts by status and outcome, latency percentiles of successes, and
 * unavailable time, which is the longest time without a success.
 */
#ifndef TOOL_STATS_H
#define TOOL_STATS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "base/clk.h"

struct stats;

struct stats_sample {
	clk_ms sent;
	clk_ms answered;
	uint64_t latency_us;
	const char *label; /* result, or status and outcome */
	const char *key;   /* NULL: none */
	bool success;
	bool repeat; /* counted by label only */
};

struct stats *stats_create(clk_ms start);
void stats_destroy(struct stats *s);
void stats_add(struct stats *s, const struct stats_sample *sample);

/*
 * Writes one "name value" line for each figure. With `per_key` also the key that was unavailable
 * longest: the time from its first failure to the answer of its next success.
 */
void stats_write(struct stats *s, clk_ms end, bool per_key, FILE *out);

#endif
