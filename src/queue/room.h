/*
 * Share of a service's slots that requests which can be answered in time leave to late ones. Late
 * requests wait behind all others of their priority, so how long they wait depends on how many of
 * these will arrive meanwhile.
 */
#ifndef QUEUE_ROOM_H
#define QUEUE_ROOM_H

#include "base/clk.h"

struct room {
	double rate; /* timely requests per second, moving average over about a second */
	clk_ms at;   /* time of the last one */
};

/* A request that can be answered in time was admitted. */
void room_note(struct room *r, clk_ms now);

/*
 * Returns the expected wait of a late request if it would be `wait` without further arrivals;
 * `per_second` is the number of requests that the slots can answer. CLK_NEVER if timely requests
 * use all of it.
 */
clk_ms room_late_wait(const struct room *r, clk_ms now, clk_ms wait, double per_second);

#endif
