/*
 * Recognizes callers that come back after a refusal, so that their latency objective counts from
 * their first attempt.
 *
 * Load pattern: lasting overload. Callers that were refused come back within their time limit, each
 * time as a new request at any gateway. If each attempt counted as new, callers that can no longer
 * be answered in time would fill the queue until everybody is late.
 *
 * A caller that comes back sends the same request, and what it says it still waits has become
 * shorter by the time that has passed: both attempts have the same deadline. The admission
 * controller that refused keeps the fingerprint and the deadline of the caller until then. Another
 * caller with the same request and nearly the same deadline is taken for the first one; it arrived
 * at nearly the same time, unless the two have different time limits. The record is kept in memory
 * only: if it is lost, the caller counts as new.
 */
#ifndef QUEUE_RETURNS_H
#define QUEUE_RETURNS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"

struct returns;

/* One caller that was refused. */
struct returns_caller {
	clk_ms first;	   /* time of its first attempt */
	clk_ms target;	   /* when the objective wanted its answer, counted from that attempt */
	uint32_t refusals; /* attempts that were refused */
};

struct returns *returns_create(void);
void returns_destroy(struct returns *r);

/*
 * Records the refusal of a request at `now`. `deadline` is the time until which the caller waits
 * for all its attempts together; `target` is that of this attempt.
 */
void returns_note_refusal(struct returns *r, clk_ms now, uint64_t fingerprint, clk_ms deadline,
			  clk_ms target);
/* Stores what is known of the caller of a request; returns false if it has not been refused. */
bool returns_find(const struct returns *r, uint64_t fingerprint, clk_ms deadline,
		  struct returns_caller *out);
/* Returns the number of callers on record. */
size_t returns_count(const struct returns *r);

#endif
