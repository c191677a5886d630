/*
 * Internals of the broker: broker.c (interface and decisions), broker_queue.c (waiting slot
 * requests), broker_owner.c (owners of keys), broker_slot.c (granted slots), broker_upstream.c
 * (limits and choice of upstream), broker_budget.c (retries and hedges), broker_window.c (service
 * time statistics).
 */
#ifndef PROCESS_BROKER_PRIV_H
#define PROCESS_BROKER_PRIV_H

#include "base/hash.h"
#include "base/mutant.h"
#include "process/broker.h"

/* ---- service times -------------------------------------------------------------------------- */

#define WINDOW_MAX 512

/* The last `size` service times, also kept sorted so that any percentile is one look-up. */
struct window {
	uint32_t size;
	uint32_t count;
	uint32_t next; /* position in `ring` of the next sample */
	int32_t ring[WINDOW_MAX];
	int32_t sorted[WINDOW_MAX];
};

void window_init(struct window *w, uint32_t size);
void window_add(struct window *w, clk_ms sample);
/* Returns the percentile of the samples, 0 while the window is empty. */
clk_ms window_percentile(const struct window *w, uint32_t percent);

/* ---- waiting slot requests ------------------------------------------------------------------ */

struct request_key {
	uint64_t node;
	uint64_t id;
};

/* A slot request that waits in a queue for its decision. */
struct waiting {
	struct request_key key;
	struct broker_request ask;
	uint64_t seq;	  /* order of arrival */
	clk_ms expires;	  /* refused then, to leave time for running the request */
	bool holds_token; /* took a retry token, which is returned unless a slot is granted */
	struct queue *queue;
	struct waiting *prev;
	struct waiting *next;
	UT_hash_handle hh;
};

struct queue {
	struct waiting *head;
	struct waiting *tail;
	size_t len;
};

/* A refusal that broker_next_decision() has not returned yet. */
struct refusal {
	struct broker_decision decision;
	struct refusal *prev;
	struct refusal *next;
};

/* ---- slots and upstreams -------------------------------------------------------------------- */

/* A granted or adopted slot that has not been returned. */
struct slot {
	uint64_t id;
	uint64_t node;
	struct upstream *upstream;
	uint32_t partition;
	uint64_t key_hash;
	clk_ms granted_at;
	clk_ms free_at;	    /* deadline plus margin: the slot stops counting against the limit */
	clk_ms hedge_after; /* hedges are allowed this long after the grant; 0: never */
	uint32_t cold_start_num; /* `cold_start_num` of the upstream at the grant */
	bool lightly_loaded; /* at the grant, at most half of the upstream's slots were in use */
	bool adopted;	     /* granted by an earlier broker; the key is not known */
	bool hot;	     /* granted for a key that is split off its partition */
	bool hedged;	     /* a hedge of this slot was granted */
	bool overdue;	     /* `free_at` has passed: the slot does not count against the limit */
	bool key_cleared;    /* the slot does not count for its partition or key any more */
	bool node_failed;    /* the node has failed, so nobody will return the slot */
	struct slot *prev;
	struct slot *next;
	UT_hash_handle hh;
};

struct upstream {
	uint32_t num;
	bool present; /* false: removed or not configured yet, and kept for its slots */
	struct broker_upstream conf;
	uint32_t in_use;    /* slots that count against the limit */
	uint32_t slot_refs; /* all slots that refer to this struct, also overdue ones */
	struct slot *slots;
	/* cold start */
	uint32_t cold_start_num; /* number of cold starts so far */
	uint32_t cold_completed; /* requests granted and completed since the last cold start */
	uint32_t slow_streak;	 /* slow answers in a row to slots granted under light load */
	/* choice of the upstream for a grant */
	bool failing; /* since the last answer a request was not run or its connection failed */
	double recent_service_ms; /* moving average of service times at `recent_at` */
	clk_ms recent_at;
	struct window service_times;
	uint64_t completed;
	struct queue queue; /* keyed services: slot requests for keys that this upstream owns */
	UT_hash_handle hh;
};

struct owner {
	bool known;	   /* false: broker_set_owner() was never called */
	uint32_t upstream; /* 0 while the ownership moves */
	uint64_t epoch;
};

struct hot_key {
	uint64_t key_hash;
	struct owner owner;
	UT_hash_handle hh;
};

struct broker {
	struct broker_options opts;
	struct rnd rnd;
	uint64_t next_slot;
	uint64_t next_seq;
	struct waiting *waiting; /* by node and id */
	struct queue unkeyed;	 /* all first calls of a service that is not keyed */
	struct queue hedges;	 /* decided at the next call of broker_next_decision() */
	struct queue ownerless;	 /* keyed services: the key has no present owner, or moves */
	clk_ms next_expiry;	 /* no waiting slot request expires earlier */
	struct refusal *refusals;
	struct slot *slots;	 /* by id */
	clk_ms next_slot_expiry; /* no slot becomes overdue earlier */
	struct upstream *upstreams;
	struct owner *owners; /* by partition */
	struct hot_key *hot;
	bool unknown_slots;	/* slots may be in use that were not reported at the takeover */
	bool unknown_accounted; /* `unknown_slots` ends at `unknown_until` */
	clk_ms unknown_until;	/* no unknown slot counts against a limit after this time */
	uint32_t tokens;	/* budget of retries and hedges, in hundredths of a token */
	struct window service_times;
};

/* broker_queue.c */
void queue_push(struct queue *q, struct waiting *w);
void queue_unlink(struct waiting *w);
struct waiting *waiting_find(struct broker *b, uint64_t node, uint64_t id);
/* Adds a slot request to a queue. */
struct waiting *waiting_add(struct broker *b, clk_ms now, const struct broker_request *ask,
			    struct queue *q);
/* Removes the slot request without a decision and returns an unused retry token to the budget. */
void waiting_discard(struct broker *b, struct waiting *w);
/* Refuses a waiting slot request and removes it. */
void waiting_refuse(struct broker *b, struct waiting *w, enum broker_refusal reason,
		    clk_ms retry_after);
/* Refuses the waiting slot requests whose `expires` has passed. */
void waiting_expire(struct broker *b, clk_ms now);
/* Moves each waiting slot request to the queue of the present owner of its key. */
void waiting_requeue_all(struct broker *b);
/* Adds a refusal, to be returned by broker_next_decision(). */
void refusal_add(struct broker *b, const struct broker_request *ask, enum broker_refusal reason,
		 clk_ms retry_after);
/* Takes the oldest refusal. Returns false if there is none. */
bool refusal_take(struct broker *b, struct broker_decision *out);
/* Removes the refusals of one slot request, or of all slot requests of a node. */
void refusal_discard(struct broker *b, uint64_t node, uint64_t id);
void refusal_discard_node(struct broker *b, uint64_t node);

/* broker_owner.c */
/* Returns the owner of a key; `*hot`: whether the key is split off its partition. */
struct owner owner_lookup(const struct broker *b, uint32_t partition, uint64_t key_hash, bool *hot);
/* Returns the queue for a slot request, NULL if the owner of its key was never set. */
struct queue *owner_queue(struct broker *b, const struct broker_request *req);

/* broker_slot.c */
struct slot *slot_find(const struct broker *b, uint64_t id);
/* Adds a slot for the slot request on `u` and returns it. */
struct slot *slot_grant(struct broker *b, clk_ms now, struct upstream *u,
			const struct broker_request *req);
/* Removes a slot from all counts and frees it. */
void slot_free(struct broker *b, struct slot *s);
/* Marks slots whose `free_at` has passed as overdue, and frees those that nothing else needs. */
void slot_expire(struct broker *b, clk_ms now);
/* Stops counting the slots on former owners of the partition or hot key; `owner` is the new one. */
void slot_release_moved(struct broker *b, bool hot, uint32_t partition, uint64_t key_hash,
			uint32_t owner);

/* broker_upstream.c */
struct upstream *upstream_find(const struct broker *b, uint32_t num);
/* Returns the upstream. An unknown upstream is created with `present` false. */
struct upstream *upstream_find_or_create(struct broker *b, uint32_t num);
/* Frees the struct if the upstream is not present and no slot refers to it. */
void upstream_free_unused(struct broker *b, struct upstream *u);
/* Whether the upstream may get grants: present, and cold or warm. */
bool upstream_usable(const struct upstream *u);
/* Returns how many slots may be in use at present. */
uint32_t upstream_limit(const struct broker *b, clk_ms now, const struct upstream *u);
uint32_t upstream_available_slots(const struct broker *b, clk_ms now, const struct upstream *u);
/* Resets the limit to the cold limit; a warm upstream becomes cold. */
void upstream_begin_cold_start(struct upstream *u);
/* Updates the limit and the statistics of the slot's upstream. */
void upstream_record_outcome(struct broker *b, clk_ms now, const struct slot *s,
			     enum broker_outcome outcome, clk_ms service_ms);
/* Returns the best upstream with a free slot, other than `except`; NULL if there is none. */
struct upstream *upstream_pick(struct broker *b, clk_ms now, const struct upstream *except);
/* Whether the upstream fails, or its oldest outstanding request is much older than usual. */
bool upstream_is_straggler(const struct broker *b, clk_ms now, const struct upstream *u);
/*
 * Returns the expected wait of a slot request behind `ahead` others for a slot on `u`, or on any
 * usable upstream if `u` is NULL. 0 if a slot is free, or if no estimate is possible.
 */
clk_ms upstream_wait(const struct broker *b, clk_ms now, const struct upstream *u, size_t ahead);

/* broker_budget.c */
void budget_init(struct broker *b);
/* Adds the share of a first attempt to the budget. */
void budget_earn(struct broker *b);
/* Takes one token. Returns false if there is none. */
bool budget_spend(struct broker *b);
/* Returns the token of a retry that was not granted. */
void budget_return(struct broker *b);
/* Returns how long after a grant made now a hedge is allowed; 0: never. */
clk_ms hedge_delay(const struct broker *b, const struct broker_request *req);
/* Returns the upstream for a hedge, or NULL and the reason of the refusal. */
struct upstream *hedge_pick(struct broker *b, clk_ms now, const struct broker_request *req,
			    enum broker_refusal *reason);

#endif
