/*
 * Admission control for the upstreams of one service: decides which request gets a slot of which
 * upstream, which requests wait, and which are refused. The module does no I/O and reads no clock:
 * callers pass in the time and a random seed, and fetch decisions with admit_next().
 *
 * Load patterns that the design handles:
 * - lasting overload: a request whose expected wait would make it miss its latency objective is
 *   refused on arrival, so that admitted requests are answered in time and no upstream works for a
 *   caller that has disconnected;
 * - slow upstreams and noisy neighbours: a request is assigned to an upstream only when a slot is
 *   free, and to the upstream with the shortest expected service time, from measured service times
 *   and the last reported slowness;
 * - callers that come back after a refusal: their latency objective counts from their first
 *   attempt; those that can still be answered in time go before those that cannot (see
 *   queue/order.h, queue/returns.h);
 * - one hot key: requests for a key whose owner is full wait in the queue of that owner only;
 * - upstreams that hang when full: an upstream never gets more requests than it has slots;
 * - cold upstreams, and upstreams that name a limit: one admission controller limits their request
 *   rate; what exceeds it goes to others, or is refused on arrival if only they may serve it.
 */
#ifndef PROCESS_ADMIT_H
#define PROCESS_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"
#include "base/rnd.h"
#include "process/notice.h"

/* Most upstreams that one request excludes because they failed it. */
#define ADMIT_MAX_AVOID 3

struct admit_options {
	bool keyed;
	double cold_per_second;	     /* highest request rate of a cold upstream */
	clk_ms initial_service_time; /* expected service time before the first answer */
};

struct admit_upstream {
	uint64_t num; /* see fleet_upstream.num */
	uint32_t slots;
	uint32_t place;	   /* hash of the failure domain, compared with admit_request.place */
	bool usable;	   /* may get new requests */
	clk_ms cold_until; /* end of the rate limit after a start of the upstream */
};

struct admit_request {
	uint64_t node;		/* gateway that requests the slot */
	uint64_t id;		/* unique within the node */
	uint32_t key;		/* only for keyed services */
	uint32_t priority;	/* 0 is the highest */
	uint64_t account;	/* hash of the client account's name, 0: none */
	uint32_t rate;		/* of its allowance, requests per second, 0: not limited */
	clk_ms deadline;	/* the caller has no use for an answer after this time */
	clk_ms target;		/* time by which the latency objective wants the answer */
	uint32_t place;		/* hash of the failure domain of the requesting gateway */
	uint64_t fingerprint;	/* equal for all attempts of a caller, 0: unknown */
	clk_ms caller_deadline; /* until when the caller waits, over all its attempts */
	bool heavy; /* large body: strongly prefer an upstream in the same failure domain */
	/* Choose no cold or limited upstream: another gateway limits their rate. */
	bool unlimited_only;
	uint64_t avoid[ADMIT_MAX_AVOID]; /* upstreams that failed this request; unused: 0 */
	uint32_t cost_class;		 /* see cost_class(), 0: unknown */
	uint32_t hint_samples;		 /* answers behind `hint_ms` */
	double hint_ms;			 /* cost of the class as the sender measured it */
};

/* Load report that an upstream sends with an answer. */
struct admit_report {
	bool known; /* whether the answer carried a load report */
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t slowness; /* service time in per cent of the usual one, 0 if not reported */
	bool answered;	   /* the upstream answered: `notice` is what it says now */
	struct notice notice;
};

/* Whether the upstream reported a free slot with its answer. */
bool admit_had_room(const struct admit_report *r);

/* How the use of a slot ended. */
enum admit_outcome {
	ADMIT_OK,	 /* answered */
	ADMIT_SHED,	 /* refused by the upstream, not run */
	ADMIT_UNREACHED, /* not connected to this upstream, not run */
	ADMIT_BROKE,	 /* connection failed after sending, or invalid answer */
	ADMIT_TIMEOUT,	 /* no answer in time */
	ADMIT_CANCELLED, /* the caller disconnected */
	ADMIT_UNUSED,	 /* no request was sent */
};

const char *admit_outcome_name(enum admit_outcome outcome);

enum admit_refusal {
	ADMIT_REFUSE_NONE,
	ADMIT_REFUSE_FULL,	  /* the expected wait exceeds the wait budget of the request */
	ADMIT_REFUSE_NO_UPSTREAM, /* the service has no usable upstream */
	ADMIT_REFUSE_NO_OWNER,	  /* the key had no usable owner during the wait */
	ADMIT_REFUSE_EXPIRED,	  /* waited, but no slot became free within the wait budget */
};

const char *admit_refusal_name(enum admit_refusal reason);

/* Grant or refusal of one admission request. */
struct admit_decision {
	uint64_t node;
	uint64_t request; /* admit_request.id */
	bool granted;
	uint64_t slot;		   /* if granted: for admit_done() */
	uint64_t upstream;	   /* if granted */
	enum admit_refusal reason; /* if refused */
	clk_ms retry_after;	   /* if refused: time after which a slot is likely to be free */
	clk_ms waited;
	uint32_t ahead; /* if refused on arrival: requests that were ahead in the queue */
	clk_ms elapsed; /* time since the caller's first attempt that was refused, 0 if none was */
	bool late;	/* the target could not be met on arrival */
};

/* Returns the upstream that owns the key, 0 while the key has no usable owner. */
typedef uint64_t (*admit_owner)(void *data, uint32_t key);

struct admit;

struct admit *admit_create(const struct admit_options *opts, admit_owner owner, void *data,
			   uint64_t seed);
void admit_destroy(struct admit *a);
void admit_set_options(struct admit *a, const struct admit_options *opts);

/* Adds an upstream or updates its settings. */
void admit_set_upstream(struct admit *a, clk_ms now, const struct admit_upstream *u);
/*
 * Stops granting slots of the upstream. Slots already granted stay valid until they are returned or
 * expire.
 */
void admit_remove_upstream(struct admit *a, uint64_t num);
/* Moves waiting requests to the queues of their keys' present owners. */
void admit_reroute(struct admit *a);

/* Submits a request; admit_next() returns its decision. Ignored if the request waits already. */
void admit_request(struct admit *a, clk_ms now, const struct admit_request *request);
/* Whether the request waits in a queue; false if it is already granted or refused. */
bool admit_is_waiting(const struct admit *a, uint64_t node, uint64_t request);
/* Whether the request waits because its key has no owner. */
bool admit_is_ownerless(const struct admit *a, uint64_t node, uint64_t request);
/* Removes a waiting request without a decision. */
void admit_cancel(struct admit *a, uint64_t node, uint64_t request);
/*
 * Returns a granted slot. `service` is the time from sending the request to the end of the answer.
 * Unknown slots are ignored.
 */
void admit_done(struct admit *a, clk_ms now, uint64_t slot, enum admit_outcome outcome,
		clk_ms service, const struct admit_report *report);
/*
 * Records the limit of an upstream from an answer to a request whose slot another controller
 * granted, for the time when this one takes over.
 */
void admit_note_limit(struct admit *a, clk_ms now, uint64_t num, const struct admit_report *report);
/*
 * Learns the cost of a class from an answer to a request whose slot another controller granted, for
 * the time when this one takes over.
 */
void admit_learn_cost(struct admit *a, uint32_t cost_class, clk_ms service,
		      const struct admit_report *report);
/* Stores what this controller has learned of the class; returns the number of answers, 0: none. */
uint32_t admit_learned_cost(const struct admit *a, uint32_t cost_class, double *ms);
/* Returns the expected cost of a request of the class at an upstream of usual speed. */
double admit_expected_cost(const struct admit *a, uint32_t cost_class);
/* Returns it in mean costs of the service's requests; 1 if all cost about the same. */
double admit_relative_cost(const struct admit *a, uint32_t cost_class);
/* Sets the mean service time of an upstream to the measurement of another admission controller. */
void admit_set_service_time(struct admit *a, uint64_t num, clk_ms ms);
/*
 * The same for a service whose requests differ in cost: sets the upstream's slowness, in per cent
 * of the usual service time, and moves the service's mean towards the one measured.
 */
void admit_set_slowness(struct admit *a, uint64_t num, uint32_t slowness, clk_ms ms);
/*
 * Removes all waiting requests of a failed node. Slots granted to the node stay in use until they
 * expire.
 */
void admit_remove_node(struct admit *a, uint64_t node);

/* Stores the next decision in `out`; returns false if none is ready. */
bool admit_next(struct admit *a, clk_ms now, struct admit_decision *out);
/*
 * Returns the next time at which admit_next() may have a decision although no other function is
 * called before, CLK_NEVER if there is none.
 */
clk_ms admit_due(const struct admit *a, clk_ms now);

/* Returns the expected wait of one more request for the upstream, or for any upstream if 0. */
clk_ms admit_expected_wait(const struct admit *a, clk_ms now, uint64_t upstream);

/* Load of one upstream as seen by this controller. */
struct admit_load {
	uint64_t num;
	uint32_t slots;
	uint32_t in_use;   /* slots granted and not returned */
	uint32_t queued;   /* requests that wait for this upstream; keyed services only */
	double work_ms;	   /* expected time left of the running requests, and that of the waiting */
	double failing;	   /* learned share of failed requests */
	double service_ms; /* mean service time */
	double slowness;   /* mean, in per cent of the usual */
	bool mixed;	   /* the costs of the requests differ, see cost_is_mixed() */
	double utilization; /* share of the slots in use, averaged over about a second */
	double limit;	    /* requests per second that it takes, 0 if it names no limit */
	clk_ms limit_age;   /* time since an answer named the limit */
};

/* Stores the load of an upstream in `out`; returns false if the upstream is unknown. */
bool admit_load_of(const struct admit *a, uint64_t num, clk_ms now, struct admit_load *out);
/* Returns the expected time left of all running requests, and that of the waiting ones. */
double admit_work_ms(const struct admit *a, clk_ms now);
/* Returns the number of waiting requests. */
size_t admit_waiting_count(const struct admit *a);

#endif
