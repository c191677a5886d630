/*
 * A limit that all gateways keep together: requests per second and a burst. One gateway, the
 * holder, has a bucket of tokens for it; the others lease tokens from the bucket and spend one for
 * each request (see docs/design/accounts.md). The modules of this folder do no I/O and read no
 * clock.
 *
 * Bound: in any window the gateways together let through at most
 * (rate x window + burst) x (1 + overrun) + slack requests.
 */
#ifndef SHARED_LIMIT_H
#define SHARED_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clk.h"

/* Tokens expire this long after the ask that brought them was sent. */
#define LIMIT_LEASE_MS 2000
/* A gateway without an answer to an ask of this age spends at its fallback rate. */
#define LIMIT_SILENCE_MS 1500
/* A holder reserves the fallback rate of a gateway that it has not heard for this long. */
#define LIMIT_MISSING_MS 1200
/* Longest time between two asks of a gateway that has tokens or requests. */
#define LIMIT_ASK_MAX_MS 800
/* How long a fallback rate is valid at the gateway, and reserved at the holder. */
#define LIMIT_FALLBACK_MS 8000
#define LIMIT_RESERVED_MS 10000
/* Parts of the rate that gateways with and without a fallback rate may spend without a holder. */
#define LIMIT_FALLBACK_PART 0.75
#define LIMIT_STRANGER_PART (1 - LIMIT_FALLBACK_PART)
/* Part of the slack of the bound that is leased, too; the rest covers changes of the holder. */
#define LIMIT_LEASED_SLACK 0.4
/* A gateway wants tokens for its demand of this time, and one more unless it is nearly idle. */
#define LIMIT_HORIZON_S 1.0
#define LIMIT_NEARLY_IDLE 0.5

/* How far the sum over all gateways may exceed a limit. */
struct limit_bound {
	clk_ms window;
	double overrun; /* share of what the limit allows in a window */
	double slack;	/* requests in a window */
};

struct limit_size {
	double rate;  /* requests per second */
	double burst; /* requests above that at once */
};

/* What a gateway tells the holder. */
struct limit_ask {
	double tokens;	 /* leased and not spent */
	double held;	 /* taken by requests that are neither sent nor refused */
	double demand;	 /* requests per second, lately */
	double fallback; /* rate that it spends at without a holder */
	double need;	 /* tokens for requests that wait */
};

/* What the holder answers. */
struct limit_lease {
	double tokens;	 /* new ones */
	double fallback; /* see limit_ask */
	bool scarce;	 /* the bucket is empty, and more is asked than comes in */
};

/* Returns how many tokens there are, leased or not. */
static inline double limit_capacity(const struct limit_size *size, const struct limit_bound *bound)
{
	double window = (double)bound->window / 1000.0;
	double slack = bound->overrun * (size->rate * window + size->burst) + bound->slack;

	return size->burst + LIMIT_LEASED_SLACK * slack;
}

/* Returns how many tokens a gateway with this demand wants to have. */
static inline double limit_target(double demand)
{
	double more = demand < LIMIT_NEARLY_IDLE ? demand / LIMIT_NEARLY_IDLE : 1;

	return demand * LIMIT_HORIZON_S + more;
}

#endif
