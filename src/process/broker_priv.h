/*
 * Internals of the broker, shared by its parts: broker.c (interface and decisions), broker_queue.c
 * (waiting asks), broker_slot.c (lent slots), broker_upstream.c (limits and choice of upstream),
 * broker_budget.c (retries and hedges), broker_window.c (service time statistics).
 */
#ifndef PROCESS_BROKER_PRIV_H
#define PROCESS_BROKER_PRIV_H

#include "base/hash.h"
#include "base/mutant.h"
#include "process/broker.h"

/* ---- service times -------------------------------------------------------------------------- */

#define WINDOW_MAX 512

/* The last `size` samples, also kept in order so that any percentile is one look-up. */
struct window {
	uint32_t size;
	uint32_t count;
	uint32_t next;
	int32_t ring[WINDOW_MAX];
	int32_t sorted[WINDOW_MAX];
};

void window_init(struct window *w, uint32_t size);
void window_add(struct window *w, clk_ms sample);
/* 0 while the window is empty. */
clk_ms window_percentile(const struct window *w, uint32_t percent);

/* ---- waiting asks --------------------------------------------------------------------------- */

struct waiting_key {
	uint64_t node;
	uint64_t id;
};

struct waiting {
	struct waiting_key key;
	struct broker_ask ask;
	uint64_t seq;	/* order of arrival */
	clk_ms give_up; /* later than this a grant would come too late */
	bool paid;	/* holds a token of the retry budget */
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

struct refusal {
	struct broker_decision decision;
	struct refusal *prev;
	struct refusal *next;
};

/* ---- slots and upstreams -------------------------------------------------------------------- */

struct slot {
	uint64_t id;
	uint64_t node;
	struct upstream *upstream;
	uint32_t partition;
	uint64_t key_hash;
	clk_ms lent;
	clk_ms free_at;	    /* deadline and margin: then it no longer counts against the limit */
	clk_ms hedge_after; /* 0: this request is not hedged */
	uint32_t cold_run;  /* cold start of the upstream that it was lent in */
	bool light;	    /* lent while at most half of the upstream's slots were in use */
	bool adopted;	    /* lent by another broker; its key is not known */
	bool hot;	    /* lent for a key that is split off its partition */
	bool hedged;
	bool overdue;	/* no longer counts against the limit */
	bool settled;	/* no longer counts for its partition or key */
	bool node_gone; /* nobody will return it */
	struct slot *prev;
	struct slot *next;
	UT_hash_handle hh;
};

struct upstream {
	uint32_t num;
	bool present; /* false: removed or not yet configured, kept for its slots */
	struct broker_upstream conf;
	uint32_t in_use;
	uint32_t records; /* slots of any kind that refer to this struct */
	struct slot *slots;
	/* cold start */
	uint32_t cold_run; /* counts cold starts */
	uint32_t cold_completed;
	uint32_t slow_run; /* slow answers in a row to lightly loaded requests */
	/* choice */
	bool failing; /* the last outcome was a failure */
	double recent_ms;
	clk_ms recent_at;
	struct window times;
	uint64_t completed;
	struct queue queue; /* keyed services */
	UT_hash_handle hh;
};

struct owner {
	bool known;
	uint32_t upstream;
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
	struct queue common;	 /* services not divided by key */
	struct queue hedges;	 /* decided at the next call of broker_next() */
	struct queue parked;	 /* keyed asks whose owner cannot be granted now */
	clk_ms next_give_up;	 /* no ask gives up earlier */
	struct refusal *refusals;
	struct slot *slots;    /* by id */
	clk_ms next_slot_free; /* no slot becomes free by itself earlier */
	struct upstream *upstreams;
	struct owner *owners; /* by partition */
	struct hot_key *hot;
	bool unknown;	      /* members did not report their slots */
	bool unknown_cleared; /* they are accounted for from `unknown_until` on */
	clk_ms unknown_until;
	uint32_t tokens; /* retry budget in hundredths of a request */
	struct window times;
};

/* broker_queue.c */
void queue_push(struct queue *q, struct waiting *w);
void queue_unlink(struct waiting *w);
struct waiting *waiting_find(struct broker *b, uint64_t node, uint64_t id);
struct waiting *waiting_add(struct broker *b, clk_ms now, const struct broker_ask *ask,
			    struct queue *q);
/* Drops the ask without a decision and gives an unused retry token back. */
void waiting_drop(struct broker *b, struct waiting *w);
/* Refuses a waiting ask. */
void waiting_refuse(struct broker *b, struct waiting *w, enum broker_refusal reason,
		    clk_ms retry_after);
void waiting_expire(struct broker *b, clk_ms now);
/* Moves asks to the queue of their present owner. */
void waiting_route_all(struct broker *b);
void refusal_add(struct broker *b, const struct broker_ask *ask, enum broker_refusal reason,
		 clk_ms retry_after);
bool refusal_take(struct broker *b, struct broker_decision *out);
void refusal_drop(struct broker *b, uint64_t node, uint64_t id);
void refusal_drop_node(struct broker *b, uint64_t node);

/* broker_owner.c */
struct owner owner_of(const struct broker *b, uint32_t partition, uint64_t key_hash, bool *hot);
/* Queue of an ask, NULL if its key has no owner at all. */
struct queue *owner_queue(struct broker *b, const struct broker_ask *ask);

/* broker_slot.c */
struct slot *slot_find(const struct broker *b, uint64_t id);
struct slot *slot_lend(struct broker *b, clk_ms now, struct upstream *u,
		       const struct broker_ask *ask);
void slot_free(struct broker *b, struct slot *s);
void slot_expire(struct broker *b, clk_ms now);
void slot_settle_moved(struct broker *b, bool hot, uint32_t partition, uint64_t key_hash,
		       uint32_t owner);

/* broker_upstream.c */
struct upstream *upstream_find(const struct broker *b, uint32_t num);
/* Finds the upstream or creates one that is not present. */
struct upstream *upstream_get(struct broker *b, uint32_t num);
/* Frees the struct when it is not present and nothing refers to it. */
void upstream_put(struct broker *b, struct upstream *u);
bool upstream_usable(const struct upstream *u);
uint32_t upstream_limit(const struct broker *b, clk_ms now, const struct upstream *u);
uint32_t upstream_free_slots(const struct broker *b, clk_ms now, const struct upstream *u);
void upstream_turn_cold(struct upstream *u);
void upstream_learn(struct broker *b, clk_ms now, const struct slot *s, enum broker_outcome outcome,
		    clk_ms service_ms);
/* Best upstream with a free slot, other than `except`; NULL if none. */
struct upstream *upstream_pick(struct broker *b, clk_ms now, const struct upstream *except);
bool upstream_is_straggler(const struct broker *b, clk_ms now, const struct upstream *u);
/* Expected wait of one more ask behind `ahead` others; `u` NULL: over all usable upstreams. */
clk_ms upstream_wait(const struct broker *b, clk_ms now, const struct upstream *u, size_t ahead);

/* broker_budget.c */
void budget_init(struct broker *b);
void budget_earn(struct broker *b);
bool budget_spend(struct broker *b);
void budget_return(struct broker *b);
/* When the entry may ask for a hedge of a request granted now; 0: never. */
clk_ms hedge_delay(const struct broker *b, const struct broker_ask *ask);
/* Upstream for a hedge, or NULL with the reason. */
struct upstream *hedge_pick(struct broker *b, clk_ms now, const struct broker_ask *ask,
			    enum broker_refusal *reason);

#endif
