/*
 * Broker: admits the requests of one service in one cell to its upstreams.
 *
 * Pure. Entries ask; the broker lends a slot on one upstream when one is free and allowed, or
 * refuses. It is the only lender, so the limit of an upstream holds as a sum over all routers. Its
 * decisions come out of broker_next() in order.
 */
#ifndef PROCESS_BROKER_H
#define PROCESS_BROKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"
#include "base/rnd.h"

struct broker_options {
	bool keyed;
	uint32_t partitions;
	clk_ms send_within;	   /* 200: an entry may use a lent slot this long */
	clk_ms deadline_margin;	   /* 100: a missing slot is free this long after its deadline */
	uint32_t cold_step;	   /* 20: completed requests per step of the cold limit */
	uint32_t straggler_factor; /* 3: times the median age that marks a straggler */
	uint32_t retry_percent;	   /* 10: budget of retries and hedges, per cent of requests */
	uint32_t max_queue;	   /* 10000 */
	bool hedging;
};

extern const struct broker_options broker_defaults;

enum broker_upstream_state { BROKER_COLD, BROKER_WARM, BROKER_DRAINING, BROKER_OUT, BROKER_LOST };

struct broker_upstream {
	uint32_t num;
	uint32_t slots;
	uint32_t cold_limit; /* limit right after a cold start; 0 counts as 1 */
	enum broker_upstream_state state;
};

struct broker_ask {
	uint64_t node; /* node number of the entry */
	uint64_t id;   /* unique within the node */
	uint32_t partition;
	uint64_t key_hash;
	bool idempotent;
	uint64_t request_id_hash; /* 0 if the caller gave none */
	uint64_t fingerprint;
	clk_ms deadline;   /* on the broker's clock */
	uint32_t attempt;  /* 0 for the first, counts retries */
	uint64_t hedge_of; /* slot that this ask would hedge, 0 if none */
};

enum broker_refusal {
	BROKER_REFUSE_NONE,
	BROKER_REFUSE_DEADLINE, /* the wait would exceed the deadline */
	BROKER_REFUSE_QUEUE_FULL,
	BROKER_REFUSE_NO_UPSTREAM, /* none that may take it */
	BROKER_REFUSE_NO_OWNER,	   /* the key has no owner now */
	BROKER_REFUSE_BUDGET,	   /* retry or hedge over budget */
	BROKER_REFUSE_REPEAT,	   /* request id was seen before */
	BROKER_REFUSE_QUARANTINED,
	BROKER_REFUSE_NOT_BROKER, /* this router does not hold the lease */
	BROKER_REFUSE_NO_CONFIG,
	BROKER_REFUSE_SUSPECT, /* an equal request crashed an upstream and is tried alone */
};

/* Stable name for logs and answers, for example "deadline". */
const char *broker_refusal_name(enum broker_refusal reason);

enum broker_outcome {
	BROKER_DONE_OK,	       /* whole answer received */
	BROKER_DONE_NOT_RUN,   /* upstream said so, or nothing was sent */
	BROKER_DONE_SHED,      /* not run, upstream is overloaded */
	BROKER_DONE_CONNECT,   /* no connection; not run */
	BROKER_DONE_BROKE,     /* connection broke after the request was sent */
	BROKER_DONE_TIMEOUT,   /* no whole answer in time */
	BROKER_DONE_CANCELLED, /* loser of a hedge, or the caller left */
	BROKER_DONE_UNUSED,    /* slot came back without a connection attempt */
};

const char *broker_outcome_name(enum broker_outcome outcome);

enum broker_decision_kind { BROKER_GRANT, BROKER_REFUSE };

struct broker_decision {
	enum broker_decision_kind kind;
	uint64_t node;
	uint64_t ask;
	/* grant */
	uint64_t slot;
	uint32_t upstream;
	uint64_t epoch;
	clk_ms send_by; /* on the broker's clock */
	clk_ms deadline;
	clk_ms hedge_after; /* 0: do not hedge */
	/* refuse */
	enum broker_refusal reason;
	clk_ms retry_after;
};

struct broker_slot_view {
	uint64_t slot;
	uint64_t node;
	uint32_t upstream;
	uint32_t partition;
	clk_ms lent;
	clk_ms deadline;
};

struct broker;

/* Slot numbers count up from `first_slot`; use the lease number shifted left by 32. */
struct broker *broker_create(const struct broker_options *opts, uint64_t first_slot, uint64_t seed);
void broker_destroy(struct broker *b);

/*
 * Adds an upstream or changes it. A limit that falls below the slots in use stops new grants. The
 * state of a new upstream (also one that was removed before) is taken as given; later, WARM raises
 * nothing: an upstream that is cold stays so until it has completed enough requests, and one that
 * was draining, out or lost returns cold. COLD for one that is cold already does not start its
 * limit anew; see broker_note_cold().
 */
void broker_set_upstream(struct broker *b, clk_ms now, const struct broker_upstream *u);
/*
 * Slots on it no longer count for their partitions: only for an upstream that is declared dead or
 * gone, or whose fenced grant has expired.
 */
void broker_remove_upstream(struct broker *b, clk_ms now, uint32_t num);

/* The upstream turned cold (new start id, health report): its limit starts anew. */
void broker_note_cold(struct broker *b, clk_ms now, uint32_t num);

/* Keyed services: owner of a partition; upstream 0 stops grants for it (a move is under way). */
void broker_set_owner(struct broker *b, clk_ms now, uint32_t partition, uint32_t upstream,
		      uint64_t epoch);
/* The same for one key that was split off its partition; remove with broker_clear_hot(). */
void broker_set_hot(struct broker *b, clk_ms now, uint64_t key_hash, uint32_t upstream,
		    uint64_t epoch);
void broker_clear_hot(struct broker *b, clk_ms now, uint64_t key_hash);

/*
 * Slots lent to nodes for this partition (or this hot key) that have not come back, also those past
 * their deadline. They stop counting when they return, when their node is gone and their deadline
 * has passed, or when the move to another owner is complete. Every adopted slot counts for every
 * hot key, since its key is not known.
 */
size_t broker_slots_in_use(const struct broker *b, uint32_t partition);
size_t broker_slots_in_use_hot(const struct broker *b, uint64_t key_hash);
/* Slots that count against the limit of the upstream. */
size_t broker_slots_on_upstream(const struct broker *b, uint32_t num);

/* Takeover: a slot that another broker lent and an entry still uses. */
void broker_adopt_slot(struct broker *b, clk_ms now, const struct broker_slot_view *slot);
/*
 * Takeover: members did not report, or left the cell lately, so unknown slots may be in use until
 * `until`. Until then cold upstreams get nothing. broker_slots_in_use() counts one more for every
 * partition until both that time and broker_clear_unknown(): a paused entry may send later than any
 * deadline, and the requests of an entry that is gone may run until theirs.
 */
void broker_hold_unknown(struct broker *b, clk_ms until);
/*
 * The missing members have reported or are known to be gone. If all have reported, the hold ends
 * with the next tick: nothing unknown is left. Otherwise it lasts until its time.
 */
void broker_clear_unknown(struct broker *b, bool all_reported);

void broker_ask(struct broker *b, clk_ms now, const struct broker_ask *ask);
/* The entry no longer waits for this ask. */
void broker_cancel(struct broker *b, clk_ms now, uint64_t node, uint64_t ask);
/* `service_ms` is the time between send and whole answer. Unknown or repeated slots are ignored. */
void broker_done(struct broker *b, clk_ms now, uint64_t slot, enum broker_outcome outcome,
		 clk_ms service_ms);
/* The node is gone for good: its asks are dropped, its slots free at their deadline. */
void broker_node_gone(struct broker *b, clk_ms now, uint64_t node);

/* Refuses asks whose deadline passed and frees slots that did not come back. */
void broker_tick(struct broker *b, clk_ms now);

/* Takes the next decision; false if there is none. */
bool broker_next(struct broker *b, clk_ms now, struct broker_decision *out);

struct broker_load {
	uint32_t num;
	enum broker_upstream_state state;
	uint32_t limit;
	uint32_t in_use;
	uint32_t queued; /* keyed services: asks that wait for this upstream */
	clk_ms service_p50;
	uint64_t completed;
};

/* Fills at most `max` entries and returns the number of upstreams. */
size_t broker_loads(const struct broker *b, struct broker_load *out, size_t max);
size_t broker_queued(const struct broker *b);

#endif
