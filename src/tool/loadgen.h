/*
 * Sends requests to entries at a rate or with a number open at once, records what the caller got
 * for each, and prints a summary.
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
	double rate;	      /* requests a second, 0: closed loop */
	uint64_t concurrency; /* closed loop */
	uint64_t requests;    /* 0: until `duration` */
	clk_ms duration;      /* 0: until `requests` */
	uint64_t keys;	      /* 0: no x-key */
	double zipf;	      /* exponent, 0: uniform */
	size_t body_bytes;
	clk_ms timeout;
	uint64_t repeat_percent;
	uint64_t seed;
	bool request_ids;
	bool idempotent;
	bool per_key;
	const char *out;	    /* file for one JSON line an answer, NULL: none */
	const char *const *entries; /* ip:port, 1 to LOADGEN_MAX_ENTRIES */
	size_t n_entries;
};

/*
 * Runs until the limits in `o` or loadgen_stop(), then prints the summary to stdout. False: an
 * entry or the output file cannot be used; nothing was sent. Once per process.
 */
bool loadgen_run(const struct loadgen_options *o, struct err *err);
/* Starts no further request; may be called from a signal handler. */
void loadgen_stop(void);

#endif
