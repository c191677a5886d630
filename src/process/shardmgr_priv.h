/*
 * Internals of the keeper: keeper.c has the ranges and the plan, keeper_row.c the rows of the
 * store, keeper_hold.c the leases at the upstreams.
 */
#ifndef PROCESS_SHARDMGR_PRIV_H
#define PROCESS_SHARDMGR_PRIV_H

#include "base/arena.h"
#include "connection/timer.h"
#include "connection/upconn.h"
#include "process/shardmgr.h"

#define SHARDMGR_HANDOVER_BYTES 128
/* Longest path of a health check, with its end. */
#define SHARDMGR_PATH_BYTES 256
/* After this time without an answer of the store the keeper needs the word of its peers. */
#define SHARDMGR_STORE_SILENCE_MS 2000
/* The keeper watches the row of its role in calls of this length. */
#define SHARDMGR_CONFIRM_MS 900
/* Attempts to show a former owner a higher fence before its lease is waited out instead. */
#define SHARDMGR_HIGHER_FENCE_ATTEMPTS 2
/* Fences that are reserved with each write of the map, so that a new one costs no write. */
#define SHARDMGR_FENCE_RESERVE 4096
/* Requests that the plan looks at: those of the last seconds, at most so many. */
#define SHARDMGR_WINDOW_MS 1500
#define SHARDMGR_MAX_REQUESTS 4096

enum key_phase {
	KEY_UNOWNED,   /* no owner */
	KEY_RELEASING, /* the former owner has to release the keys */
	KEY_GRANTING,  /* the owner has to accept them */
	KEY_LEASED,
};

/* Keys from `from` to `to` that share an owner and a fence. */
struct key_range {
	uint32_t from;
	uint32_t to;
	uint64_t owner;
	uint64_t former; /* may still hold the keys */
	/*
	 * After a takeover both the former owner and the owner may hold the keys. If they are given
	 * to a third upstream, the second one has to be asked, too.
	 */
	uint64_t second_former;
	clk_ms second_former_lease_end;
	bool owner_may_hold;
	uint64_t fence;
	/*
	 * Connection that carried grants under `fence`, 0: none yet. Over another connection they
	 * could reach another process at the same address, which must not have the same fence.
	 */
	uint64_t fence_conn;
	uint64_t granted_fence; /* under which `serving` holds the keys */
	uint64_t granted_conn;	/* and the connection of that grant */
	enum key_phase phase;
	/*
	 * Upstream that requests go to: the owner once it has accepted the keys; during a move the
	 * former one until it is told to release them. 0: none.
	 */
	uint64_t serving;
	uint64_t serial;	/* first version of the row that tells of the present state */
	clk_ms owner_lease_end; /* the owner's lease ends by then, whatever became of the last grant
				 */
	clk_ms former_lease_end;
	clk_ms unanswered_until; /* a grant to the owner without an answer may be carried out until
				  * then
				  */
	uint64_t unanswered_fence;	    /* and was sent under this fence */
	unsigned int higher_fence_attempts; /* attempts left to show the former owner a higher fence
					       first */
	bool higher_fence_sent; /* the fence of the next attempt was sent once already */
	bool await_expiry; /* it did not answer: its lease has to end, unless it is heard again */
	clk_ms call_due;   /* next call */
	clk_ms moved_at;
	struct key_call *call;
	char handover[SHARDMGR_HANDOVER_BYTES];
	struct key_range *next; /* sorted by key */
};

/* An upstream as this keeper reaches it for grants. */
struct key_holder {
	uint64_t num;
	struct upconn_pool *grants;   /* one connection, one grant at a time */
	struct upconn_pool *releases; /* a new connection for each */
	int64_t started;	      /* run of its process that the pools talk to */
	bool grant_open;	      /* a grant is under way */
	clk_ms failing_since;	      /* 0: the last call was answered */
	struct shardmgr *shardmgr;
	struct upconn_call *health_check; /* whether it answers again */
	struct upconn_request check_req;
	char check_path[SHARDMGR_PATH_BYTES];
	clk_ms check_due;
	clk_ms check_pause;
	clk_ms recovered_at; /* a check was answered, 0: never */
	UT_hash_handle hh;
};

/* A grant or release under way. */
struct key_call {
	struct shardmgr *shardmgr;
	struct key_range *range; /* NULL: the answer is no longer wanted */
	uint64_t holder;
	bool release;
	uint64_t fence;
	uint64_t conn; /* that carries it */
	clk_ms sent;
	struct arena arena;
	struct upconn_request req;
	struct upconn_call *open;
	struct key_call *prev;
	struct key_call *next;
};

enum shardmgr_state { SHARDMGR_STANDBY, SHARDMGR_ACQUIRING, SHARDMGR_ACTIVE };

struct shardmgr {
	struct shardmgr_env env;
	char service[FLEET_NAME_BYTES];
	enum shardmgr_state state;
	struct timer timer;
	clk_ms last_tick;
	bool publish_due; /* `serving` of a range has changed */
	bool stopping;
	/* role */
	uint64_t term;
	uint64_t role_version;
	uint64_t map_version;
	uint64_t store_version; /* of the store, when the role was looked at last */
	clk_ms confirmed_at;	/* the role was ours at this time, by the store's word */
	clk_ms confirm_sent;
	clk_ms request_sent; /* when the open commit or read was sent */
	bool confirming;
	/* map */
	struct key_range *ranges;
	size_t n_ranges;
	uint64_t fence;		   /* highest that was used or is about to be */
	uint64_t fence_limit;	   /* written to the store: a successor starts above it */
	uint64_t fence_usable;	   /* fences up to this one may be used; the store has the limit */
	uint64_t serial;	   /* state of the ranges in memory */
	uint64_t committed_serial; /* state that the store has */
	uint64_t writing_serial;   /* state that is being written, 0: none */
	bool reading;
	bool reread_needed;
	clk_ms next_commit;
	clk_ms next_plan;
	struct key_holder *holders;
	struct key_call *calls;
	/* recent requests, a ring */
	struct {
		clk_ms at;
		uint16_t key;
	} requests[SHARDMGR_MAX_REQUESTS];
	size_t next_request;
	size_t n_requests;
	struct keymap view; /* as heard from the keeper, or a copy of the own ranges */
	struct keymap sent; /* the view that the peers have */
};

/* keeper.c: the ranges changed and have to be written before they are acted upon. */
void shardmgr_mark_changed(struct shardmgr *mgr, struct key_range *r);
/* The next turn of the timer comes soon. */
void shardmgr_schedule_tick(struct shardmgr *mgr);
/* Owners that requests may be sent to have changed; the next turn tells. */
void shardmgr_schedule_publish(struct shardmgr *mgr);
/* `n` fences that were never used, the last one for the range. */
void shardmgr_next_fence(struct shardmgr *mgr, struct key_range *r, uint64_t n);
/* A new fence for the range; its owner must be granted again. */
void shardmgr_assign_new_fence(struct shardmgr *mgr, struct key_range *r);

struct key_range *shardmgr_range_new(struct shardmgr *mgr, uint32_t from, uint32_t to);
void shardmgr_ranges_clear(struct shardmgr *mgr);
/* Stops keeping, or trying to; `why` is for the log. */
void shardmgr_step_down(struct shardmgr *mgr, const char *why);

/* keeper_row.c */
/* Writes the map on condition that role and map are those that this keeper knows. */
void shardmgr_commit(struct shardmgr *mgr);
/* Watches the rows of the keepers, so that a change of the role is seen at once. */
void shardmgr_confirm_role(struct shardmgr *mgr);

/* keeper_hold.c */
void shardmgr_lease_tick(struct shardmgr *mgr, clk_ms now);
/* The store has the state of the ranges now: what was planned may be done. */
void shardmgr_lease_committed(struct shardmgr *mgr);
void shardmgr_lease_clear(struct shardmgr *mgr);
void shardmgr_range_detach_call(struct key_range *r);
/* Whether the upstream may own keys, as far as the keeper can reach it. */
struct key_holder *shardmgr_find_holder(const struct shardmgr *mgr, uint64_t num);
/* The holder of the process that is registered now: connections to an earlier one are of no use. */
struct key_holder *shardmgr_current_holder(struct shardmgr *mgr, uint64_t num);
bool shardmgr_holder_ok(const struct shardmgr *mgr, uint64_t num, clk_ms now);
void shardmgr_record_failure(struct key_holder *h, clk_ms now);
/* Asks upstreams that failed whether they answer again. */
void shardmgr_check_failing(struct shardmgr *mgr, clk_ms now);
/* Longest time that a lease may still run after its last grant was sent. */
clk_ms shardmgr_lease_end(const struct shardmgr *mgr, clk_ms sent);
clk_ms shardmgr_lease_time(const struct shardmgr *mgr);

#endif
