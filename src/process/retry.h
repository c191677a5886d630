/*
 * Retry budget of one service. The deployment has one budget for all gateways together. Each
 * gateway limits itself to its own part, so the sum stays within the budget even if the gateways
 * cannot reach each other. The module does no I/O.
 */
#ifndef PROCESS_RETRY_H
#define PROCESS_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clk.h"

/* Parts into which the window is divided, each with its own counts. */
#define RETRY_BUCKETS 10

struct retry_options {
	double ratio;	   /* retries per request, over the deployment */
	uint32_t slack;	   /* retries per window that are always allowed, over the deployment */
	clk_ms window;	   /* time over which requests and retries are counted */
	uint32_t gateways; /* gateways that share the slack, 0 if that is not known */
	/* Since when this gateway is one of them, CLK_NEVER if it is not yet. */
	clk_ms member_since;
};

/* Counts of one part of the window. */
struct retry_bucket {
	int64_t number; /* time divided by the width of a bucket */
	uint32_t requests;
	uint32_t retries;
};

struct retry {
	uint32_t reserved; /* retries that were permitted and are not sent yet */
	/* The window can begin within a part, so one more part than it has can be needed. */
	struct retry_bucket buckets[RETRY_BUCKETS + 1];
};

/* Use of the budget at one moment, for the log. */
struct retry_usage {
	uint32_t requests; /* counted in the window */
	uint32_t retries;  /* sent in the window, or reserved */
	double allowed;	   /* retries that this gateway may take in the window */
};

/* Counts a request. */
void retry_note_request(struct retry *r, const struct retry_options *o, clk_ms now);
/*
 * Reserves one retry; returns false if the budget is used up. It counts from its sending on, since
 * it may wait long for a slot: retries that are decided over seconds can be sent all at once.
 */
bool retry_reserve(struct retry *r, const struct retry_options *o, clk_ms now);
/* A reserved retry is sent now. */
void retry_note_sent(struct retry *r, const struct retry_options *o, clk_ms now);
/* A reserved retry will not be sent. */
void retry_return(struct retry *r);
struct retry_usage retry_usage(const struct retry *r, const struct retry_options *o, clk_ms now);

#endif
