/*
 * Internals of admission control. admit.c manages requests, queues and slots; admit_choice.c tracks
 * the state of the upstreams, chooses the upstream for a request and estimates waits.
 */
#ifndef PROCESS_ADMIT_PRIV_H
#define PROCESS_ADMIT_PRIV_H

#include "base/hash.h"
#include "cost/cost.h"
#include "cost/failing.h"
#include "cost/work.h"
#include "process/admit.h"
#include "queue/backlog.h"
#include "queue/order.h"
#include "queue/returns.h"
#include "queue/room.h"
#include "queue/shedding.h"

/* Slowness of an upstream before its first load report, in per cent of the usual service time. */
#define ADMIT_USUAL_SLOWNESS 100.0
/* Age after which a load report of an upstream is ignored. */
#define ADMIT_REPORT_AGE_MS 250
/* Burst of the token bucket that limits the request rate of a cold or limited upstream. */
#define ADMIT_RATE_BURST 2.0
/* Longest time that a request waits for its key to get an owner. */
#define ADMIT_OWNER_WAIT_MS 700

struct waiting_id {
	uint64_t node;
	uint64_t request;
};

/* Request that waits for a slot. */
struct waiting {
	struct waiting_id id;
	struct admit_request request;
	struct order_rank rank;
	clk_ms elapsed; /* see admit_decision.elapsed */
	clk_ms arrived;
	clk_ms grant_by; /* refused if no slot is granted by this time */
	struct queue *queue;
	struct waiting *prev;
	struct waiting *next;
	UT_hash_handle hh;
};

/* Waiting requests, sorted by order_precedes(). */
struct queue {
	struct waiting *head;
	struct waiting *tail;
	uint32_t len;
	const struct upstream *only; /* the only upstream that serves it, NULL: any */
	struct backlog backlog;
	struct room room; /* what timely requests leave to late ones */
};

/* Granted slot. */
struct slot {
	uint64_t id;
	uint64_t node; /* gateway that uses the slot */
	struct upstream *upstream;
	clk_ms free_at; /* freed at this time if the slot has not been returned */
	clk_ms granted_at;
	uint32_t cost_class;
	struct cost_estimate cost; /* at this upstream */
	struct slot *prev;	   /* slots of the same upstream */
	struct slot *next;
	UT_hash_handle hh;
};

struct upstream {
	uint64_t num;
	bool present; /* false after admit_remove_upstream() */
	struct admit_upstream conf;
	uint32_t in_use;      /* slots granted by this controller and not returned */
	uint32_t elsewhere;   /* requests granted by other controllers, from the last load report */
	clk_ms reported_at;   /* time of the last load report */
	uint32_t slowness;    /* from the last load report, per cent of the usual service time */
	double mean_slowness; /* per cent of the usual service time */
	double utilization;   /* moving average of in_use / slots */
	clk_ms utilization_at; /* last update of `utilization` */
	clk_ms paused_until;   /* no grants before this time, after a failure */
	clk_ms pause;	       /* length of the last pause, 0 after a success */
	struct shedding shedding;
	double limit;	       /* requests per second that it takes, 0: it named none */
	clk_ms limit_named_at; /* last answer that named `limit` */
	double tokens;	       /* of the bucket that limits its request rate, at `tokens_at` */
	clk_ms tokens_at;
	struct slot *granted; /* slots in use */
	struct failing failing;
	struct work_arrivals arrivals; /* keyed services: requests for keys that it owns */
	clk_ms held_at;	    /* last time at which its last slot was left to urgent requests */
	struct queue queue; /* keyed services: requests for keys that this upstream owns */
	UT_hash_handle hh;
};

/* Refusal that admit_next() has not returned yet. */
struct refusal {
	struct admit_decision decision;
	struct refusal *next;
};

struct admit {
	struct admit_options opts;
	admit_owner owner;
	void *data;
	struct rnd rnd;
	uint64_t next_slot;
	uint64_t next_seq;
	double service_ms; /* mean service time of an upstream with the usual slowness */
	struct cost_table costs;
	struct upstream *upstreams;
	struct slot *slots;
	struct waiting *waiting;
	struct queue common;	/* requests of a service that is not keyed, for any upstream */
	struct queue ownerless; /* requests for keys that have no owner */
	struct returns *returns;
	struct shedding shedding;
	struct refusal *refusals;
	struct refusal **refusals_end;
};

/* Whether the upstream may get new requests. */
bool admit_is_usable(const struct upstream *u);
/* Returns the requests at the upstream that other controllers granted, 0 if the report is old. */
uint32_t admit_load_elsewhere(const struct upstream *u, clk_ms now);
/* Whether a recent answer of the upstream named a limit. */
bool admit_is_limited(const struct upstream *u, clk_ms now);
/* Returns the requests per second that the upstream may get, INFINITY if that is not limited. */
double admit_rate(const struct admit *a, const struct upstream *u, clk_ms now);
/* Returns the present number of tokens of the rate limit; a grant takes one. */
double admit_tokens(const struct admit *a, const struct upstream *u, clk_ms now);
/* Whether the request must not go to the upstream, since its rate is limited elsewhere. */
bool admit_is_barred(const struct admit *a, const struct upstream *u, clk_ms now,
		     const struct admit_request *request);
/* Whether a slot of the upstream can be granted now. */
bool admit_can_grant(const struct admit *a, const struct upstream *u, clk_ms now);
/* Returns the mean service time of an upstream, or of all usable upstreams if `u` is NULL. */
double admit_mean_service(const struct admit *a, const struct upstream *u);
/* Returns the upstream with a free slot that is expected to answer first, NULL if there is none. */
struct upstream *admit_choose_upstream(struct admit *a, clk_ms now,
				       const struct admit_request *request);
/* Updates the moving average of the utilization; called before `in_use` changes. */
void admit_update_utilization(struct upstream *u, clk_ms now);
/*
 * Returns the expected wait of a request with `ahead` requests before it, for a slot of the
 * upstream `only`, or of any upstream if NULL.
 */
clk_ms admit_wait_behind(const struct admit *a, const struct upstream *only, clk_ms now,
			 uint32_t ahead);
/* Returns the slots of the upstream, or of all if NULL, as far as their rate allows their use. */
double admit_slots(const struct admit *a, const struct upstream *only, clk_ms now);
/* Whether an answer is not likely to arrive by the request's target even without a wait. */
bool admit_misses_target(const struct admit *a, const struct upstream *only, clk_ms now,
			 const struct admit_request *request);
/* Returns the longest wait of a request that misses its target. */
clk_ms admit_late_budget(const struct admit *a, const struct upstream *only, clk_ms now,
			 const struct admit_request *request);
/* Returns the longest wait after which the answer is still likely to arrive in time. */
clk_ms admit_wait_budget(const struct admit *a, const struct upstream *only, clk_ms now,
			 const struct admit_request *request);
/* Stops grants to the upstream for a while after a failure. */
void admit_pause(struct upstream *u, clk_ms now);
/* Stores the load report of an answer; call before the slot of the answered request is freed. */
void admit_apply_report(struct upstream *u, clk_ms now, const struct admit_report *r);
/* Stores the limit that an answer names, or its end. Returns true if it begins or is lower now. */
bool admit_apply_limit(const struct admit *a, struct upstream *u, clk_ms now,
		       const struct admit_report *r);
/* Updates the mean service time, that of the class and the upstream's mean slowness. */
void admit_update_service_time(struct admit *a, struct upstream *u, uint32_t cost_class,
			       clk_ms service, const struct admit_report *r);
/* Moves the service's mean towards one that another controller measured. */
void admit_move_mean(struct admit *a, double ms);
/* Returns what a request of the class is expected to cost at `u`, at any upstream if NULL. */
struct cost_estimate admit_cost(const struct admit *a, const struct upstream *u,
				uint32_t cost_class);
/* Returns the work of the running requests of an upstream. */
struct work admit_work(const struct admit *a, const struct upstream *u, clk_ms now);
/* Notes a request for a key of the upstream; `budget` is the time that it may wait. */
void admit_note_arrival(struct admit *a, struct upstream *u, clk_ms now,
			const struct admit_request *request, clk_ms budget);
/*
 * Load pattern: long requests that may wait and short urgent ones for keys of the same upstream.
 * Whether the waiting request should leave the last free slot to more urgent requests for now.
 */
bool admit_leaves_slot(const struct admit *a, struct upstream *u, clk_ms now,
		       const struct waiting *w);

#endif
