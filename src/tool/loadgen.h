/*
 * Load generator: sends requests to entries (routers or upstreams) at a given rate or with a given
 * number in flight, records the answer to each, and prints a summary.
 */
#ifndef TOOL_LOADGEN_H
#define TOOL_LOADGEN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"
#include "base/err.h"

#define LOADGEN_MAX_ENTRIES 64

struct loadgen_options {
	const char *path;
	const char *method;
	const char *account;
	const char *key_prefix;
	double rate;		    /* average requests per second (open loop); 0: closed loop */
	uint64_t concurrency;	    /* requests in flight in a closed loop */
	uint64_t requests;	    /* stop after this number; 0: no limit */
	clk_ms duration;	    /* stop after this time; 0: no limit */
	uint64_t keys;		    /* number of different keys; 0: no x-key header */
	double zipf;		    /* exponent of key popularity; 0: uniform */
	size_t body_bytes;	    /* size of each request's body */
	clk_ms timeout;		    /* sent as x-timeout-ms */
	uint64_t repeat_percent;    /* share of requests whose id is sent a second time */
	uint64_t seed;		    /* of all random choices */
	bool request_ids;	    /* send a unique x-request-id with each request */
	bool idempotent;	    /* recorded with each answer: requests may run more than once */
	bool per_key;		    /* report the key that was unavailable longest */
	const char *out;	    /* file for one JSON line per answer; NULL: none */
	const char *const *entries; /* "ip:port" each, 1 to LOADGEN_MAX_ENTRIES of them */
	size_t n_entries;
};

/*
 * Sends requests until a limit in `o` is reached or loadgen_stop() is called, waits for all answers
 * and prints the summary to stdout. Returns false with `err` set, and sends nothing, if an entry or
 * the output file cannot be used. May be called only once per process.
 */
bool loadgen_run(const struct loadgen_options *o, struct err *err);
/* Makes loadgen_run() start no further request. May be called from a signal handler. */
void loadgen_stop(void);

#endif
