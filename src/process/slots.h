/*
 * Requests and returns slots of upstreams. For each service and region one gateway is the admission
 * controller: it grants the slots of all upstreams there (see admit.h), and the other gateways send
 * it slot requests. A request for a key may go only to the key's owner, so in a keyed service each
 * upstream has its own controller. The gateways need no agreement on who the controller
 * is: each one picks the gateway with the highest weight among those that it receives messages
 * from. If the controller does not answer, or knows no upstream there, usable or not, a gateway
 * decides itself from its own data.
 */
#ifndef PROCESS_SLOTS_H
#define PROCESS_SLOTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <h2o.h>

#include "connection/timer.h"
#include "process/admit.h"
#include "process/fleet.h"
#include "process/gwset.h"
#include "proto/bamboocroft.pb-c.h"
#include "version/topo.h"

struct slots;
struct slot_pool;

struct slots_env {
	h2o_loop_t *loop;
	const struct gwset *settings;
	uint64_t node; /* id of this gateway */
	void *data;
	/* Sends a frame to a gateway; returns false if it cannot be reached. */
	bool (*send)(void *data, uint64_t node, Bc__Frame *frame);
	/*
	 * Returns the gateway that is the admission controller of the pool, for a keyed service
	 * that of the key's owner; 0 if none is known.
	 */
	uint64_t (*controller)(void *data, const struct slot_pool *pool, uint32_t key);
	/* Returns the upstream to which requests for the key may be sent, 0 if there is none. */
	uint64_t (*owner)(void *data, const char *service, uint32_t key);
	/*
	 * Reports the time from a slot request until the first reply of the controller `node`, or
	 * the time waited without a reply.
	 */
	void (*on_answer_time)(void *data, uint64_t node, clk_ms ms);
	/* The controller `node` neither confirmed nor decided a slot request in time. */
	void (*on_no_answer)(void *data, uint64_t node);
	/*
	 * Called for each slot request that this gateway decides, if the service is keyed; if the
	 * costs of its requests differ, once for each mean cost of the service, on average.
	 */
	void (*on_key)(void *data, const char *service, uint32_t key);
};

/* Slots of one service in one region. */
struct slot_pool {
	uint64_t id; /* hash of service and region */
	char service[FLEET_NAME_BYTES];
	char region[FLEET_NAME_BYTES]; /* empty: all regions (keyed services) */
	bool keyed;
	bool dispatching; /* decisions are being delivered: nested calls of dispatch() return */
	bool known;	  /* the fleet has upstreams there, usable or not */
	double work_ms;	  /* part of the gauge of expected work, at `work_at` */
	clk_ms work_at;
	double owed_cost; /* mean costs of requests that on_key() has not been called for yet */
	bool reroute_due; /* owners of keys changed, the timer moves waiting requests */
	struct slots *slots;
	struct admit *admit;
	struct timer timer;
	UT_hash_handle hh;
};

/* Right to send one request to an upstream; given back with slots_done(). */
struct slot_permit {
	struct slot_pool *pool;
	uint64_t controller; /* gateway that granted the slot */
	uint64_t slot;
	uint64_t upstream;
	uint32_t cost_class; /* as in the slot request */
};

/* Slot request of this gateway (wire message SlotAsk); the caller owns the memory. */
struct slot_ask {
	uint64_t id; /* 0 if none is pending */
	struct slot_pool *pool;
	struct admit_request slot_request; /* input of the admission decision */
	uint64_t controller;		   /* gateway that decides */
	bool acked;			   /* the controller has confirmed that the request waits */
	bool fell_back;			   /* decided by this gateway in place of the controller */
	clk_ms sent;			   /* time of sending to the controller */
	struct timer timer;
	/*
	 * Called once per slots_request(); `permit` is NULL if the request was refused. May call
	 * slots_request() again.
	 */
	void (*cb)(void *data, const struct admit_decision *d, const struct slot_permit *permit);
	void *data;
	UT_hash_handle hh;
};

struct slots *slots_create(const struct slots_env *env);
void slots_destroy(struct slots *s);

/* Updates the pools from the services of a configuration and from the known upstreams. */
void slots_sync(struct slots *s, const struct topo *topo, const struct fleet *fleet, clk_ms now);

/*
 * Returns the pool of a service in a region, NULL if unknown. A keyed service has one pool for all
 * regions.
 */
struct slot_pool *slots_pool(struct slots *s, struct str service, struct str region);

/* Returns the upstream to which requests for the key may be sent, 0 if there is none. */
uint64_t slots_owner(const struct slot_pool *pool, uint32_t key);

void slots_request_init(struct slots *s, struct slot_ask *a,
			void (*cb)(void *data, const struct admit_decision *d,
				   const struct slot_permit *permit),
			void *data);
/*
 * Requests a slot. The caller sets all of `a->slot_request` but node, id, unlimited_only and what
 * this gateway has learned of the cost. The callback may be called before this function returns.
 */
void slots_request(struct slots *s, struct slot_ask *a, struct slot_pool *pool);
/* Withdraws a pending request; its callback is not called. */
void slots_cancel(struct slots *s, struct slot_ask *a);
/* Withdraws a pending request and releases the resources of `a`. */
void slots_request_release(struct slots *s, struct slot_ask *a);
/* Returns the slot of a permit to its controller. */
void slots_done(struct slots *s, const struct slot_permit *permit, enum admit_outcome outcome,
		clk_ms service, const struct admit_report *report);

/* Schedules the move of waiting requests after owners of keys changed. */
void slots_owners_changed(struct slots *s, const char *service);
/* What a controller knows of an upstream that the shard manager plans with. */
struct slots_speed {
	clk_ms service_ms; /* mean service time, 0 if unknown */
	/*
	 * Mean slowness in per cent if the costs of the service's requests differ, else 0. The mean
	 * service time then depends on which requests the sender happened to see.
	 */
	uint32_t slowness;
	double limit; /* requests per second that it takes by a recent answer, 0: none named */
};

/* Returns the speed of an upstream of a keyed service. */
struct slots_speed slots_speed_of(struct slots *s, const char *service, uint64_t upstream);
/* Applies what another controller reported; unknown values are ignored. */
void slots_note_speed(struct slots *s, const char *service, uint64_t upstream,
		      const struct slots_speed *speed);
/*
 * Returns the requests per second that an upstream of a keyed service can answer and takes, 1 if
 * unknown.
 */
double slots_capacity(struct slots *s, const char *service, uint64_t upstream);

/* Handles a slot message from another gateway: a request, reply, cancellation or return. */
void slots_on_frame(struct slots *s, uint64_t from, const Bc__Frame *frame);
/*
 * Cancels the slot requests that a failed gateway sent to this one. Decides the slot requests that
 * this gateway had sent to the failed one.
 */
void slots_on_node_down(struct slots *s, uint64_t node);

#endif
