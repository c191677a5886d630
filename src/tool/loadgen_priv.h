/*
 * Shared internals of the load generator: loadgen.c sends requests, loadgen_answer.c checks and
 * records their answers.
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

/* Address to which requests are sent. */
struct loadgen_entry {
	struct httpc *client;
	clk_ms paused_until; /* gets no new request before, as a connection was refused */
};

struct loadgen {
	struct loadgen_options opt;
	FILE *out; /* file for one JSON line per answer; NULL: none */
	h2o_loop_t *loop;
	struct loadgen_entry entries[LOADGEN_MAX_ENTRIES];
	size_t n_entries;
	size_t next_entry;   /* index for round robin, modulo `n_entries` */
	struct rnd arrivals; /* generator for the times of requests */
	struct rnd choices;  /* generator for keys and repeats */
	double *zipf_sums;   /* cumulative weights of the keys; NULL: uniform */
	struct stats *stats;
	clk_ms start;
	double next_arrival_offset_us; /* time of the next request since `start` (open loop) */
	uint64_t started;	       /* requests started, without repeats */
	uint64_t in_flight;	       /* attempts without an answer yet */
	uint64_t run_id;	       /* part of request ids, different in each run */
};

/* One request as the caller sends it; a repeat with the same id is a separate attempt. */
struct loadgen_attempt {
	struct loadgen *gen;
	struct arena arena; /* holds this struct and its strings */
	uint64_t seq;	    /* number of the request; a repeat has that of the original */
	struct str key;
	struct str request_id;
	struct str body;
	size_t entry;		  /* index of the entry to which it is sent */
	size_t n_refused;	  /* entries that refused the connection */
	bool repeat;		  /* second request with the same id */
	bool repeat_after_answer; /* send a repeat once the answer is here */
	clk_ms sent;		  /* UTC time at which the attempt was first sent */
	uint64_t scheduled_us;	  /* monotonic time from which latency counts */
};

/* Classifies and checks the answer, writes it to the output file and adds it to the statistics. */
void loadgen_record_answer(const struct loadgen_attempt *a, const struct httpc_answer *answer,
			   uint64_t latency_us);

#endif
