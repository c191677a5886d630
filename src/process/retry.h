/*
 * Budget of repeated requests to one service. The deployment has one budget for all gateways
 * together; each gateway keeps to its own part, so the sum holds also when they cannot hear each
 * other. Pure.
 */
#ifndef PROCESS_RETRY_H
#define PROCESS_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clk.h"

#define RETRY_BUCKETS 10

struct retry_options {
	double ratio;	/* retries per request, over the deployment */
	uint32_t slack; /* retries that are always allowed, over the deployment */
	clk_ms window;
	uint32_t gateways; /* that share the slack */
};

struct retry_bucket {
	int64_t number; /* of the bucket's time */
	uint32_t requests;
	uint32_t retries;
};

struct retry {
	struct retry_bucket buckets[RETRY_BUCKETS];
};

void retry_note_request(struct retry *r, const struct retry_options *o, clk_ms now);
/* Takes one repeat out of the budget; false if it is used up. */
bool retry_take(struct retry *r, const struct retry_options *o, clk_ms now);

#endif
