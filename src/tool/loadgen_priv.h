/*
 * Shared internals of the load generator: loadgen.c sends, loadgen_answer.c judges and records the
 * answers.
 */
#ifndef TOOL_LOADGEN_PRIV_H
#define TOOL_LOADGEN_PRIV_H

#include <stdio.h>

#include <h2o.h>

#include "base/arena.h"
#include "base/rnd.h"
#include "base/str.h"
#include "tool/httpc.h"
#include "tool/loadgen.h"
#include "tool/stats.h"

struct loadgen_entry {
	struct httpc *client;
	clk_ms paused_until;
};

struct loadgen {
	struct loadgen_options opt;
	FILE *out; /* NULL: none */
	h2o_loop_t *loop;
	struct loadgen_entry entries[LOADGEN_MAX_ENTRIES];
	size_t n_entries;
	size_t next_entry;
	struct rnd arrivals;
	struct rnd choices;
	double *zipf_sums; /* cumulative, NULL: uniform */
	struct stats *stats;
	clk_ms start;
	double next_arrival_us; /* since the start */
	uint64_t started;
	uint64_t open;
	uint64_t run_number; /* part of request ids, differs from run to run */
};

/* One request as the caller sees it; a repeat of its id is an attempt of its own. */
struct loadgen_attempt {
	struct loadgen *load;
	struct arena arena;
	uint64_t number;
	struct str key;
	struct str request_id;
	struct str body;
	size_t entry;
	size_t refused; /* entries that refused the connection */
	bool repeat;
	bool repeat_later; /* send the id again after the answer */
	clk_ms sent;
	uint64_t begin_us;
};

/* Judges the answer, writes its line to the output file and counts it. */
void loadgen_record_answer(const struct loadgen_attempt *a, const struct httpc_answer *answer,
			 uint64_t latency_us);

#endif
