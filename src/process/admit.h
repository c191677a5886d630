/*
 * Admission to the upstreams of one service: which request goes to which upstream, which one waits,
 * and which one is refused. Pure: time and random state are passed in, decisions are taken with
 * admit_next().
 *
 * Load patterns that it answers:
 * - lasting overload: a request whose expected wait would make it miss its latency objective is
 *   refused when it arrives, so that those who are admitted are answered in time and no upstream
 *   works for a caller that has left;
 * - stragglers and noisy neighbours: a slot is bound when it is free, on the upstream that is
 *   expected to answer first, by its own service times and the slowness that it last reported;
 * - one hot key: the requests of an owner that is full wait for that owner only;
 * - upstreams that hang when full: never more requests at an upstream than it has slots;
 * - cold upstreams: no more requests per second than they bear, from one lender.
 */
#ifndef PROCESS_ADMIT_H
#define PROCESS_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"
#include "base/rnd.h"

#define ADMIT_MAX_AVOID 3

struct admit_options {
	bool keyed;
	double cold_per_second; /* requests per second that a cold upstream bears */
	clk_ms first_service;	/* expected service time before the first answer */
};

struct admit_upstream {
	uint64_t num;
	uint32_t slots;
	uint32_t place; /* failure domain, compared with admit_ask.place */
	bool usable;	/* may get new requests */
	clk_ms cold_until;
};

struct admit_ask {
	uint64_t node;
	uint64_t id;	   /* unique within the node */
	uint32_t key;	   /* keyed services */
	uint32_t priority; /* 0 is the highest */
	clk_ms deadline;   /* an answer later than this is useless */
	clk_ms target;	   /* an answer until then is in time */
	uint32_t place;	   /* failure domain of the entry */
	bool heavy;	   /* large body: prefer an upstream in the same failure domain */
	bool warm_only;	   /* cold upstreams are lent by another gateway */
	uint64_t avoid[ADMIT_MAX_AVOID]; /* upstreams that failed this request, 0: none */
};

/* What an upstream said about itself with an answer. */
struct admit_report {
	bool known;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t slowness; /* per cent of the usual service time, 0 if not said */
};

enum admit_outcome {
	ADMIT_OK,	 /* answered */
	ADMIT_SHED,	 /* refused, not run */
	ADMIT_UNREACHED, /* no connection, not run */
	ADMIT_BROKE,	 /* broke after it was sent, or answered with rubbish */
	ADMIT_TIMEOUT,
	ADMIT_CANCELLED, /* the caller left */
	ADMIT_UNUSED,	 /* nothing was sent */
};

const char *admit_outcome_name(enum admit_outcome outcome);

enum admit_refusal {
	ADMIT_REFUSE_NONE,
	ADMIT_REFUSE_FULL,	  /* the wait would be too long */
	ADMIT_REFUSE_NO_UPSTREAM, /* none that may take it */
	ADMIT_REFUSE_NO_OWNER,	  /* the key has no owner that can be reached now */
	ADMIT_REFUSE_EXPIRED,	  /* waited, but no slot came in time */
};

const char *admit_refusal_name(enum admit_refusal reason);

struct admit_decision {
	uint64_t node;
	uint64_t ask;
	bool granted;
	uint64_t slot;
	uint64_t upstream;
	enum admit_refusal reason;
	clk_ms retry_after; /* when there is likely to be room */
	clk_ms waited;
	uint32_t ahead; /* requests that wait before it, when refused */
};

/* Owner of a key, 0 while it has none that may be used. */
typedef uint64_t (*admit_owner)(void *data, uint32_t key);

struct admit;

struct admit *admit_create(const struct admit_options *opts, admit_owner owner, void *data,
			   uint64_t seed);
void admit_destroy(struct admit *a);
void admit_set_options(struct admit *a, const struct admit_options *opts);

/* Adds an upstream or changes it. */
void admit_set_upstream(struct admit *a, clk_ms now, const struct admit_upstream *u);
/* It takes nothing more; its lent slots stay until they come back. */
void admit_remove_upstream(struct admit *a, uint64_t num);
/* Owners of keys changed: waiting requests join the queue of the present owner. */
void admit_reroute(struct admit *a);

void admit_ask(struct admit *a, clk_ms now, const struct admit_ask *ask);
/* Whether the ask still waits for its decision. */
bool admit_is_waiting(const struct admit *a, uint64_t node, uint64_t ask);
/* Whether it waits for an owner of its key. */
bool admit_is_parked(const struct admit *a, uint64_t node, uint64_t ask);
void admit_cancel(struct admit *a, uint64_t node, uint64_t ask);
/* `service` is the time from sending to the end of the answer. Unknown slots are ignored. */
void admit_done(struct admit *a, clk_ms now, uint64_t slot, enum admit_outcome outcome,
		clk_ms service, const struct admit_report *report);
/* Mean service time of an upstream as another lender has measured it. */
void admit_set_service(struct admit *a, uint64_t num, clk_ms ms);
/* The node is gone: its asks are dropped, its slots free at their deadline. */
void admit_node_gone(struct admit *a, uint64_t node);

/* Takes the next decision; false if there is none now. */
bool admit_next(struct admit *a, clk_ms now, struct admit_decision *out);
/* When admit_next() may have a decision without any other call, CLK_NEVER if not. */
clk_ms admit_due(const struct admit *a, clk_ms now);

/* Expected wait of one more request for this upstream (0: any). */
clk_ms admit_wait(const struct admit *a, clk_ms now, uint64_t upstream);

struct admit_load {
	uint64_t num;
	uint32_t slots;
	uint32_t in_use;
	uint32_t queued; /* keyed services */
	double service_ms;
	double busy; /* share of its slots that was in use lately, plus what waits for it */
};

bool admit_load_of(const struct admit *a, uint64_t num, struct admit_load *out);
size_t admit_waiting(const struct admit *a);

#endif
