/*
 * Order of the requests that wait for a slot.
 *
 * Load pattern: lasting overload whose callers come back after a refusal. If a caller that can no
 * longer be answered within its latency objective waits before one that still can, the second one
 * becomes late as well, and in the end every answer is late. So within a priority, requests that
 * can be answered in time go first, and late ones get the slots that these leave.
 *
 * Requests of either group go in the order of their arrival, or of their account's turn. If those
 * with the earliest objective went first, callers that come back would overtake the others, which
 * then wait and are refused in their turn.
 */
#ifndef QUEUE_ORDER_H
#define QUEUE_ORDER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clk.h"

struct order_rank {
	uint32_t priority; /* 0 is the highest */
	bool late;	   /* can no longer be answered within the latency objective */
	clk_ms due;	   /* see accounts/fair.h; the time of arrival without client accounts */
	uint64_t seq;	   /* rises with each arrival */
};

/* Whether x is served before y. */
bool order_precedes(const struct order_rank *x, const struct order_rank *y);

#endif
