/*
 * Execution ledger of an upstream: one entry for each request that it started, kept in memory. If a
 * file is given, a JSON line is also appended to the file at the start and at the end of each
 * request, so that the entries survive a crash of the process.
 */
#ifndef STANDIN_LEDGER_H
#define STANDIN_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <jansson.h>

#include "base/clk.h"

struct ledger_entry {
	json_t *request_id; /* string or null */
	json_t *key;	    /* string or null */
	bool has_partition;
	uint64_t partition;
	bool hot; /* the grant lists the key as split off; false without grants */
	uint64_t epoch;
	uint64_t fence;
	clk_ms start; /* UTC */
	clk_ms end;   /* UTC, 0 while the request runs */
	/* "running", "completed", "cancelled", "discarded" (not committed) or "crashed" */
	const char *result;
};

struct ledger {
	const char *upstream;
	const char *service;
	const char *start_id;
	FILE *file; /* NULL: memory only */
	struct ledger_entry *entries;
	size_t n;
	size_t capacity;
};

/* Adds an entry and returns its number; takes over the JSON references in `entry`. */
size_t ledger_start(struct ledger *l, const struct ledger_entry *entry);
/* Sets the end time and the result of entry `number`; `result` must be a literal. */
void ledger_end(struct ledger *l, size_t number, const char *result);
/* Writes all entries to `out`, one JSON line each. */
void ledger_write(const struct ledger *l, FILE *out);

#endif
