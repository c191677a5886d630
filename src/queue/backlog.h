/*
 * Tells a burst from a lasting overload by how long ago a request last found a free slot.
 *
 * In a burst a long queue serves callers that would be refused otherwise. In a lasting overload it
 * stays as long as it is let become, serves no caller more and delays all of them, until an answer
 * takes as long as the latency objective permits and half of the answers are late. So the queue is
 * kept shorter then, by a reserve for requests whose service takes longer than the mean.
 */
#ifndef QUEUE_BACKLOG_H
#define QUEUE_BACKLOG_H

#include <stdbool.h>

#include "base/clk.h"

struct backlog {
	clk_ms free_at; /* last time that a request found a free slot */
};

void backlog_note_free(struct backlog *b, clk_ms now);
/* Whether requests have found no free slot for so long that it is no burst. */
bool backlog_is_lasting(const struct backlog *b, clk_ms now);
/*
 * Returns the longest wait for a slot in a lasting overload, for a request that may wait for
 * `budget` otherwise; `service` is the mean service time. The fewer slots there are, the longer the
 * queue has to be so that none becomes idle.
 */
clk_ms backlog_budget(clk_ms budget, double service, double slots);
/*
 * Returns the time after which a request that was admitted with at most this expected wait is
 * refused if it has no slot: others have been put before it, or the upstreams have become slower.
 */
clk_ms backlog_patience(clk_ms expected, double service, double slots);

#endif
