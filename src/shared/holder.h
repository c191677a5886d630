/*
 * The holder's side of a limit that all gateways keep together (limit.h): the bucket of tokens, and
 * what each gateway has leased from it. A holder that starts anew has an empty bucket, since the
 * one before may have leased everything; it learns from the gateways' asks what they have.
 */
#ifndef SHARED_HOLDER_H
#define SHARED_HOLDER_H

#include <stddef.h>

#include "shared/limit.h"

struct holder;

struct holder *holder_create(const struct limit_bound *bound);
void holder_destroy(struct holder *h);

/*
 * Called often, also without asks: frees expired leases. A holder that was not called for some time
 * was paused, and another gateway may have taken its place meanwhile: it starts anew.
 */
void holder_tick(struct holder *h, clk_ms now);
/*
 * Sets the number of gateways that share the limits, and how many of them may run but are not
 * connected, so that they spend without this holder.
 */
void holder_set_gateways(struct holder *h, uint32_t gateways, uint32_t unreachable);
/* Applies a new limit; ignored while the holder does not hold it. Rate 0: it is no limit now. */
void holder_resize(struct holder *h, uint64_t limit, const struct limit_size *size, clk_ms now);

/*
 * This gateway is the holder of the limit now: its bucket begins to fill. Does nothing if it held
 * the limit before.
 */
void holder_begin(struct holder *h, uint64_t limit, const struct limit_size *size, clk_ms now);
/* Answers an ask of a gateway. */
void holder_ask(struct holder *h, uint64_t limit, const struct limit_size *size, uint64_t gateway,
		const struct limit_ask *ask, clk_ms now, struct limit_lease *out);
/* The process of the gateway has ended: it spends nothing more. */
void holder_gateway_ended(struct holder *h, uint64_t gateway);
/* Another gateway is the holder of this limit now. */
void holder_drop(struct holder *h, uint64_t limit);

/* State of one limit, for logs, metrics and tests. */
struct holder_usage {
	double level; /* tokens in the bucket */
	double leased;
	double demand; /* requests per second, over the gateways that ask */
	size_t gateways;
};

/* Returns false if this holder does not hold the limit. */
bool holder_usage(struct holder *h, uint64_t limit, struct holder_usage *out);

#endif
