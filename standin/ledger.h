/*
 * What an upstream ran: one entry for each request that was started, kept in memory and, if a file
 * is given, appended there at start and end, so that entries survive a crash of the process.
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
	bool hot; /* the grant names the key as split off; false without grants */
	uint64_t epoch;
	uint64_t fence;
	clk_ms start; /* UTC */
	clk_ms end;   /* UTC, 0 while it runs */
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

/* Takes over the references in `entry`; returns its number. */
size_t ledger_start(struct ledger *l, const struct ledger_entry *entry);
void ledger_end(struct ledger *l, size_t number, const char *result);
void ledger_write(const struct ledger *l, FILE *out);

#endif
