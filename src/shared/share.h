/*
 * A gateway's part of a limit that all gateways keep together (limit.h): the tokens that it has
 * leased, and what it may spend while no holder answers.
 */
#ifndef SHARED_SHARE_H
#define SHARED_SHARE_H

#include "shared/limit.h"

enum share_result {
	SHARE_GRANTED, /* a token was taken */
	SHARE_WAIT,    /* the holder may have a token: ask it */
	SHARE_REFUSED, /* the limit is reached */
};

struct share {
	struct limit_size size;
	uint32_t gateways; /* that share the limit */
	double tokens;	   /* below 0: spent ahead, see share_charge() */
	uint32_t held;	   /* taken by requests that are neither sent nor refused */
	clk_ms expires;	   /* of the tokens */
	double demand;	   /* requests per second at `demand_at`, moving average */
	clk_ms demand_at;
	uint32_t ask; /* number of the last ask */
	bool asking;  /* it is not answered */
	clk_ms asked; /* when it was sent; 0: never */
	clk_ms heard; /* when the last ask that was answered was sent, or the time of creation */
	double need;  /* of the last ask, less what the answer brought */
	bool scarce;  /* by the last answer, see limit_lease */
	double given; /* tokens per second that the answers brought, moving average */
	clk_ms given_at;
	double fallback; /* rate without a holder, by the last answer */
	clk_ms fallback_until;
	double spare; /* tokens of that rate, at `spare_at` */
	clk_ms spare_at;
	double next_free; /* when the part of the rate has room after all refused requests */
};

void share_init(struct share *s, const struct limit_size *size, clk_ms now);
/* Applies a new limit: tokens above a lower one are dropped. */
void share_resize(struct share *s, const struct limit_size *size);

/*
 * Counts a request and takes a token for it, if there is one. Each request that has a token ends
 * its hold with share_spent() or share_return().
 */
enum share_result share_take(struct share *s, clk_ms now);
/* Takes a token for a request that waited; it was counted before. False if there is none. */
bool share_take_waiting(struct share *s, clk_ms now);
/* Spends a token for a request that is sent a second time; takes it from later ones if needed. */
void share_charge(struct share *s, clk_ms now);
/* The request is sent to an upstream. */
void share_spent(struct share *s);
/* The request is refused without having been sent: its token can be taken by another one. */
void share_return(struct share *s, clk_ms now);
/* Returns the time after which there is room for a request that is refused now. */
clk_ms share_retry_after(struct share *s, clk_ms now);

/* Whether to ask the holder now; `waiting`: requests wait for a token. */
bool share_should_ask(struct share *s, clk_ms now, bool waiting);
/* Begins an ask, to be sent with the number s->ask. */
void share_begin_ask(struct share *s, clk_ms now, uint32_t waiting, struct limit_ask *out);
/* Handles the answer to ask number `ask`; false if it came too late and nothing was taken. */
bool share_on_lease(struct share *s, clk_ms now, uint32_t ask, const struct limit_lease *lease);
/* Whether the last answer gave all that was needed, so that further requests may ask at once. */
bool share_got_needed(const struct share *s);
/* The ask could not be sent, or its receiver is not the holder. */
void share_ask_failed(struct share *s, uint32_t ask);
/* Whether the gateway has had no request for some time, so that the holder may forget it. */
bool share_is_idle(struct share *s, clk_ms now);

#endif
