/*
 * Request ids of non-idempotent requests, kept for a window so that a repeat never runs twice.
 * Pure. The broker keeps the leading table; every member keeps a copy of it (once_put).
 */
#ifndef PROCESS_ONCE_H
#define PROCESS_ONCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"

#define ONCE_WINDOW_MS (10 * 60 * 1000)

enum once_state {
	ONCE_NEW,     /* not recorded */
	ONCE_PENDING, /* recorded, not yet held by a majority: nothing may be sent */
	ONCE_SENT,    /* may have been sent: outcome unknown until reported */
	ONCE_COMPLETED,
	ONCE_UNKNOWN, /* sent, and the outcome will not become known */
};

struct once;

struct once *once_create(clk_ms window);
void once_destroy(struct once *o);

/* State of a request id hash; ONCE_NEW if it is not in the table or its window has passed. */
enum once_state once_lookup(const struct once *o, clk_ms now, uint64_t hash);

/* Starts a record with the number of confirmations needed; the caller then sends RECORD. */
void once_begin(struct once *o, clk_ms now, uint64_t hash, uint32_t confirmations_needed);
/*
 * The caller passes only confirmations of the record that it began last for this hash: one for an
 * earlier record that was removed since ("not run") does not show that the member holds this one.
 */
/* Counts the confirmation of `node` once; true when exactly this one made the majority. */
bool once_confirm(struct once *o, clk_ms now, uint64_t hash, uint64_t node);

/*
 * Outcome of the request, reported once for each attempt: the caller drops reports for slots that
 * the broker does not know. ONCE_NEW removes the record (the upstream truly did not run it).
 */
void once_finish(struct once *o, clk_ms now, uint64_t hash, enum once_state state);

/*
 * Copy held for the broker, or taken over from a member's copy. The more advanced state wins, so
 * that copies can arrive in any order; `age` is how long ago the record began.
 */
void once_put(struct once *o, clk_ms now, uint64_t hash, enum once_state state, clk_ms age);
/* Removes a copy; used when the broker reports that the request did not run. */
void once_forget(struct once *o, uint64_t hash);

void once_tick(struct once *o, clk_ms now);
size_t once_count(const struct once *o);

typedef void (*once_visit)(void *data, uint64_t hash, enum once_state state, clk_ms age);
void once_each(const struct once *o, clk_ms now, once_visit visit, void *data);

#endif
