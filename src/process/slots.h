/*
 * Slots of upstreams for the requests of this gateway. For each service and region one gateway
 * lends the slots of all upstreams there; the others ask it. With keys only the owner may get a
 * request, so each upstream has a controller of its own. No agreement is needed on who that is:
 * each gateway takes the one with the highest weight among those that it hears, and lends by itself
 * from what it knows when that one does not answer.
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
	uint64_t node; /* this gateway */
	void *data;
	/* False if the node cannot be reached. */
	bool (*send)(void *data, uint64_t node, Bc__Frame *frame);
	/*
	 * Gateway that lends the slots of the pool now, with keys those of the key's owner; 0:
	 * nobody known.
	 */
	uint64_t (*controller)(void *data, const struct slot_pool *pool, uint32_t key);
	uint64_t (*owner)(void *data, const char *service, uint32_t key);
	/* Time until a controller answered at first, or that has passed without an answer. */
	void (*on_answer_time)(void *data, uint64_t node, clk_ms ms);
	/* A request for a key arrived at its controller. */
	void (*on_key)(void *data, const char *service, uint32_t key);
};

struct slot_pool {
	uint64_t id; /* hash of service and region */
	char service[FLEET_NAME_BYTES];
	char region[FLEET_NAME_BYTES]; /* empty: all regions (services divided by key) */
	bool keyed;
	bool dispatching;
	bool reroute_due; /* owners of keys changed */
	struct slots *slots;
	struct admit *admit;
	struct timer timer;
	UT_hash_handle hh;
};

/* A lent slot. */
struct slot_permit {
	struct slot_pool *pool;
	uint64_t controller;
	uint64_t slot;
	uint64_t upstream;
};

/* One wish for a slot, owned by the request. */
struct slot_ask {
	uint64_t id; /* 0: not open */
	struct slot_pool *pool;
	struct admit_request slot_request;
	uint64_t controller;
	bool acked;
	bool fell_back; /* its controller did not answer, so it is decided here */
	clk_ms sent;
	struct timer timer;
	/* Called once for each ask; the permit is set if it was granted. May ask again. */
	void (*cb)(void *data, const struct admit_decision *d, const struct slot_permit *permit);
	void *data;
	UT_hash_handle hh;
};

struct slots *slots_create(const struct slots_env *env);
void slots_destroy(struct slots *s);

/* Takes over the services of a configuration and the upstreams that are known. */
void slots_sync(struct slots *s, const struct topo *topo, const struct fleet *fleet, clk_ms now);

/* Pool of a service in a region; services divided by key have one pool for all regions. */
struct slot_pool *slots_pool(struct slots *s, struct str service, struct str region);

void slots_request_init(struct slots *s, struct slot_ask *a,
			void (*cb)(void *data, const struct admit_decision *d,
				   const struct slot_permit *permit),
			void *data);
/* `a->slot_request` is filled in by the caller but for node and id. The answer may come from this
 * call. */
void slots_request(struct slots *s, struct slot_ask *a, struct slot_pool *pool);
void slots_cancel(struct slots *s, struct slot_ask *a);
void slots_request_release(struct slots *s, struct slot_ask *a);
void slots_done(struct slots *s, const struct slot_permit *permit, enum admit_outcome outcome,
		clk_ms service, const struct admit_report *report);

/* Owners of keys changed. */
void slots_owners_changed(struct slots *s, const char *service);
/* Mean service time of an upstream, 0 if it is not known; and as another controller has measured
 * it. */
clk_ms slots_service_ms(struct slots *s, const char *service, uint64_t upstream);
void slots_note_service_ms(struct slots *s, const char *service, uint64_t upstream, clk_ms ms);
/* Requests per second that an upstream can answer. */
double slots_capacity(struct slots *s, const char *service, uint64_t upstream);

void slots_on_frame(struct slots *s, uint64_t from, const Bc__Frame *frame);
void slots_on_node_down(struct slots *s, uint64_t node);

#endif
