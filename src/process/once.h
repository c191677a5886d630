/*
 * Records of the request ids of non-idempotent requests, kept for a time window so that a request
 * with the same id runs at most once within the window.
 *
 * The module does no I/O and reads no clock. The broker of the service decides by its table; every
 * member of the cell keeps a copy of the records (once_merge_copy()), from which the next broker
 * restores the table.
 */
#ifndef PROCESS_ONCE_H
#define PROCESS_ONCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"

#define ONCE_WINDOW_MS (10 * 60 * 1000)

enum once_state {
	ONCE_ABSENT,  /* no record */
	ONCE_PENDING, /* recorded by less than a majority of the members: must not be sent */
	ONCE_SENT,    /* may have been sent, the outcome was not reported */
	ONCE_COMPLETED,
	ONCE_UNKNOWN, /* sent, and the outcome cannot become known */
};

struct once;

struct once *once_create(clk_ms window);
void once_destroy(struct once *o);

/* Returns the state of a request id hash, ONCE_ABSENT if the window of its record has passed. */
enum once_state once_lookup(const struct once *o, clk_ms now, uint64_t hash);

/*
 * Adds a pending record that needs this many confirmations by members; the caller then sends the
 * record to them. An existing record stays unchanged.
 */
void once_begin(struct once *o, clk_ms now, uint64_t hash, uint32_t confirmations_needed);
/*
 * Counts the confirmation of `node` once. Returns true if the record has just reached its number of
 * confirmations, so that the request may be sent. The caller passes only confirmations of the last
 * record that it began for this hash: a confirmation of an earlier record, which was removed
 * because its request did not run, does not show that the member has the present one.
 */
bool once_confirm(struct once *o, clk_ms now, uint64_t hash, uint64_t node);

/*
 * Records the outcome of an attempt. The caller passes each attempt's outcome once: it ignores
 * reports for slots that the broker does not know. ONCE_ABSENT means that the upstream did not run
 * the request, and removes the record unless another attempt may have run under it.
 */
void once_set_outcome(struct once *o, clk_ms now, uint64_t hash, enum once_state state);

/*
 * Merges a copy: at a member one that the broker sent, at a new broker one that a member reported.
 * The more advanced state wins, so copies may arrive in any order. `age` is the time since the
 * record began. A pending copy counts as sent.
 */
void once_merge_copy(struct once *o, clk_ms now, uint64_t hash, enum once_state state, clk_ms age);
/* Removes a member's copy when the broker reports that the request did not run. */
void once_remove(struct once *o, uint64_t hash);

/* Removes records whose window has passed. */
void once_tick(struct once *o, clk_ms now);
size_t once_count(const struct once *o);

typedef void (*once_visitor)(void *data, uint64_t hash, enum once_state state, clk_ms age);
/* Calls `visit` for each record whose window has not passed. */
void once_for_each(const struct once *o, clk_ms now, once_visitor visit, void *data);

#endif
