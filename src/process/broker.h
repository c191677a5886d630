/*
 * Broker: admits the requests of one service in one cell to its upstreams.
 *
 * The module does no I/O and reads no clock. Entries (routers that received a request) send slot
 * requests; the broker grants a slot on one upstream when the limit of that upstream allows, or
 * refuses the slot request. The caller takes the decisions from broker_next_decision(). Only the
 * broker grants slots of its service, so the limit of an upstream bounds the sum over all routers.
 */
#ifndef PROCESS_BROKER_H
#define PROCESS_BROKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"
#include "base/rnd.h"

/* A number at the start of a comment is the default in broker_defaults. */
struct broker_options {
	bool keyed; /* each key has one owner among the upstreams */
	uint32_t partitions;
	/* 200 ms: time after the grant in which the entry must start sending. */
	clk_ms send_within;
	/* 100 ms: time after its deadline until an unreturned slot is free again. */
	clk_ms deadline_margin;
	/* 20: completed requests that raise the limit of a cold upstream by one. */
	uint32_t cold_step;
	/* 3: an upstream is slow if it takes longer than this multiple of the median time. */
	uint32_t straggler_factor;
	/* 10: retries and hedges allowed, as a percentage of the first attempts granted. */
	uint32_t retry_percent;
	uint32_t max_queue; /* 10000: slot requests that may wait at a time */
	bool hedging;
};

extern const struct broker_options broker_defaults;

/*
 * COLD: the limit grows with completed requests; WARM: the limit is the number of slots. The other
 * states get no grants. DRAINING: reported by the upstream; OUT: not in use by configuration;
 * LOST: considered failed, see health.h.
 */
enum broker_upstream_state { BROKER_COLD, BROKER_WARM, BROKER_DRAINING, BROKER_OUT, BROKER_LOST };

struct broker_upstream {
	uint32_t num;
	uint32_t slots;
	uint32_t cold_limit; /* limit right after a cold start; 0 counts as 1 */
	enum broker_upstream_state state;
};

/* Slot request of an entry. */
struct broker_request {
	uint64_t node; /* node number of the entry */
	uint64_t id;   /* unique within the node */
	uint32_t partition;
	uint64_t key_hash;
	bool idempotent;
	uint64_t request_id_hash; /* 0 if the caller sent no request id */
	uint64_t fingerprint;	  /* hash of service, route, account, key and body */
	clk_ms deadline;	  /* on the broker's clock */
	uint32_t attempt;	  /* number of earlier attempts of the same request */
	uint64_t hedge_of;	  /* slot of the first call if this is for a hedge, else 0 */
};

enum broker_refusal {
	BROKER_REFUSE_NONE,
	BROKER_REFUSE_DEADLINE, /* no slot is expected before, or became free by, the deadline */
	BROKER_REFUSE_QUEUE_FULL,
	BROKER_REFUSE_NO_UPSTREAM, /* no upstream may take the request */
	BROKER_REFUSE_NO_OWNER,	   /* no upstream owns the key at present */
	BROKER_REFUSE_BUDGET,	   /* the budget of retries and hedges is used up */
	BROKER_REFUSE_REPEAT,	   /* the request id is recorded already, see once.h */
	BROKER_REFUSE_QUARANTINED, /* the fingerprint crashed several upstreams */
	BROKER_REFUSE_NOT_BROKER,  /* this router does not hold the broker lease */
	BROKER_REFUSE_NO_CONFIG,
	/* The fingerprint crashed one upstream, and a request with it is in flight already. */
	BROKER_REFUSE_CRASH_SUSPECT,
};

/* Returns the name of the refusal for logs and answers, for example "deadline". */
const char *broker_refusal_name(enum broker_refusal reason);

enum broker_outcome {
	BROKER_DONE_OK,	       /* the complete answer was received */
	BROKER_DONE_NOT_RUN,   /* the upstream reported that the request did not run */
	BROKER_DONE_SHED,      /* the request did not run because the upstream is overloaded */
	BROKER_DONE_CONNECT,   /* the connection failed before anything was sent */
	BROKER_DONE_BROKE,     /* the connection broke after the request was sent */
	BROKER_DONE_TIMEOUT,   /* sent, and the answer was not complete in time */
	BROKER_DONE_CANCELLED, /* sent, then cancelled for a hedge or a closed caller */
	BROKER_DONE_UNUSED,    /* the slot was returned and nothing was sent */
};

/* Returns the name of the outcome for logs, for example "ok". */
const char *broker_outcome_name(enum broker_outcome outcome);

enum broker_decision_kind { BROKER_GRANT, BROKER_REFUSE };

struct broker_decision {
	enum broker_decision_kind kind;
	uint64_t node;
	uint64_t ask; /* id of the slot request */
	/* set only if `kind` is BROKER_GRANT */
	uint64_t slot;
	uint32_t upstream;
	uint64_t epoch; /* keyed services: ownership epoch of the key */
	clk_ms send_by; /* latest time to start sending, on the broker's clock */
	clk_ms deadline;
	clk_ms hedge_after; /* time after the grant when a hedge may start; 0: never */
	/* set only if `kind` is BROKER_REFUSE */
	enum broker_refusal reason;
	clk_ms retry_after;
};

/* A slot in use, as a member of the cell reports it to a new broker. */
struct broker_slot_report {
	uint64_t slot;
	uint64_t node;
	uint32_t upstream;
	uint32_t partition;
	clk_ms granted_at;
	clk_ms deadline;
};

struct broker;

/*
 * Slot numbers count up from `first_slot`. The caller derives it from the number of the broker
 * lease, so that the slot numbers of successive brokers differ.
 */
struct broker *broker_create(const struct broker_options *opts, uint64_t first_slot, uint64_t seed);
void broker_destroy(struct broker *b);

/*
 * Adds an upstream or changes its settings. While more slots are in use than the limit allows, the
 * upstream gets no grants. The state of a new or formerly removed upstream is taken as given. For a
 * present one, WARM does not end a cold start: an upstream that is cold stays cold until it has
 * completed enough requests, and one that was draining, out or lost becomes cold. COLD for an
 * upstream that is cold already does not reset its limit; see broker_begin_cold_start().
 */
void broker_set_upstream(struct broker *b, clk_ms now, const struct broker_upstream *u);
/*
 * Removes an upstream; its slots no longer count for their partitions and keys. Allowed only if no
 * request can still run there: its process has ended or its fenced grant has expired.
 */
void broker_remove_upstream(struct broker *b, clk_ms now, uint32_t num);

/*
 * Resets the limit of the upstream to its cold limit. To be called when the upstream has restarted
 * (new start id) or reports itself cold.
 */
void broker_begin_cold_start(struct broker *b, clk_ms now, uint32_t num);

/*
 * Sets the owner of a partition of a keyed service. Upstream 0 stops grants for the partition while
 * its ownership moves. A nonzero upstream ends the move: the slots on former owners no longer count
 * for the partition, so the caller must have made sure that no request can run there.
 */
void broker_set_owner(struct broker *b, clk_ms now, uint32_t partition, uint32_t upstream,
		      uint64_t epoch);
/* Does the same for one hot key that is split off its partition. */
void broker_set_hot_owner(struct broker *b, clk_ms now, uint64_t key_hash, uint32_t upstream,
			  uint64_t epoch);
/* Merges a hot key into its partition again. */
void broker_clear_hot_owner(struct broker *b, clk_ms now, uint64_t key_hash);

/*
 * Returns the number of unreturned slots that were granted for this partition (or this hot key),
 * also those past their deadline. A slot stops counting when it is returned, when its node has
 * failed for good and its deadline has passed, or when the move to another owner is complete. An
 * adopted slot counts for every hot key because its key is not known. The result is one higher
 * while unknown slots may be in use; see broker_assume_unknown_slots().
 */
size_t broker_slots_of_partition(const struct broker *b, uint32_t partition);
size_t broker_slots_of_hot_key(const struct broker *b, uint64_t key_hash);
/* Returns the number of slots that count against the limit of the upstream. */
size_t broker_slots_on_upstream(const struct broker *b, uint32_t num);

/* Adds, at a takeover, a slot that an earlier broker granted and an entry still uses. */
void broker_adopt_slot(struct broker *b, clk_ms now, const struct broker_slot_report *report);
/*
 * To be called at a takeover if some members did not report their slots, or left the cell lately:
 * slots that this broker does not know may then be in use until `until`. Cold upstreams get no
 * grants before `until`. The slot counts of partitions and hot keys are one higher until
 * broker_clear_unknown_slots() was called, because a paused entry may send after its deadlines, and
 * `until` has passed, because the requests of a failed entry may run until their deadlines.
 */
void broker_assume_unknown_slots(struct broker *b, clk_ms until);
/*
 * To be called when each missing member has reported or is known to have failed. If all have
 * reported, no slot is unknown and the restrictions end with the next tick. Otherwise they last
 * until the time given to broker_assume_unknown_slots().
 */
void broker_clear_unknown_slots(struct broker *b, bool all_reported);

/*
 * Adds a slot request; its decision comes from broker_next_decision(). Ignored if a slot request
 * with the same node and id is still waiting.
 */
void broker_request(struct broker *b, clk_ms now, const struct broker_request *req);
/* Drops the slot request, and its refusal if that was not taken yet. */
void broker_cancel(struct broker *b, clk_ms now, uint64_t node, uint64_t id);
/*
 * Returns a slot with the outcome of its request. `service_ms` is the time from sending to the
 * complete answer, or to the end of the call. Unknown slots, also those returned before, are
 * ignored.
 */
void broker_finish_slot(struct broker *b, clk_ms now, uint64_t slot, enum broker_outcome outcome,
			clk_ms service_ms);
/*
 * Drops all slot requests of a node that has failed for good. Its slots are freed once their
 * deadlines and the margin have passed.
 */
void broker_remove_node(struct broker *b, clk_ms now, uint64_t node);

/* Refuses slot requests that can no longer be granted in time and expires unreturned slots. */
void broker_tick(struct broker *b, clk_ms now);

/* Takes the next decision. Returns false if there is none at present. */
bool broker_next_decision(struct broker *b, clk_ms now, struct broker_decision *out);

/*
 * Load of one upstream as its broker counts it: slots in use, waiting slot requests and completed
 * requests of the broker's service. `limit` is 0 in the states without grants, but is not reduced
 * while a cold upstream gets no grants because of unknown slots.
 */
struct broker_load {
	uint32_t num;
	enum broker_upstream_state state;
	uint32_t limit;
	uint32_t in_use;
	uint32_t queued;    /* keyed services: slot requests that wait for this upstream */
	clk_ms service_p50; /* median time from sending to the complete answer */
	uint64_t completed;
};

/* Writes the load of at most `max` upstreams to `out`. Returns the number of upstreams. */
size_t broker_loads(const struct broker *b, struct broker_load *out, size_t max);
/* Returns the number of slot requests that wait for a decision. */
size_t broker_queued(const struct broker *b);

#endif
