/*
 * Internals of the shard manager. shardmgr.c has the key ranges and their plan, shardmgr_row.c the
 * rows of the store, shardmgr_lease.c the key leases of the upstreams, and shardmgr_check.c the
 * health checks of upstreams that do not answer grants or releases.
 */
#ifndef PROCESS_SHARDMGR_PRIV_H
#define PROCESS_SHARDMGR_PRIV_H

#include "base/arena.h"
#include "connection/timer.h"
#include "connection/upconn.h"
#include "process/shardmgr.h"

/* Size of the buffer for a handover value, with its terminating NUL. */
#define SHARDMGR_HANDOVER_BYTES 128
/* Size of the buffer for the path of a health check, with its terminating NUL. */
#define SHARDMGR_PATH_BYTES 256
/*
 * A confirmation of the role by the store, or by most of the electorate, permits the shard manager
 * to act for this long after the question was sent.
 */
#define SHARDMGR_CONFIRMED_MS 2000
/*
 * A replaced shard manager sends no grant later than this after its store's last confirmation of
 * the role, or after most of its electorate has consented to a higher term.
 */
#define SHARDMGR_FORMER_RENEWAL_MS (SHARDMGR_CONFIRMED_MS + 1500)
/* End of a lease that a former shard manager may still renew. */
#define SHARDMGR_LEASE_UNBOUNDED CLK_NEVER
/* The electorate is changed once another choice of gateways has been the same for this long. */
#define SHARDMGR_ELECTORATE_STABLE_MS 10000
/*
 * A replaced electorate still has to support the shard manager for this long, since a restored
 * store may name it again.
 */
#define SHARDMGR_ELECTORATE_KEPT_MS 30000
/* Most electorates of which the shard manager needs the support at the same time. */
#define SHARDMGR_MAX_ELECTORATES 4
/* Opening a connection to an upstream for longer than this fails. */
#define SHARDMGR_CONNECT_TIMEOUT_MS 400
/* Interval of the calls that confirm the role, and the time that each waits for a change. */
#define SHARDMGR_CONFIRM_MS 900
/*
 * Attempts to send a former owner a higher fencing token. After them the shard manager waits until
 * the former owner's lease has expired.
 */
#define SHARDMGR_HIGHER_FENCE_ATTEMPTS 2
/*
 * Fencing tokens that a write of the map reserves, so that assigning one usually needs no write of
 * its own.
 */
#define SHARDMGR_FENCE_RESERVE 4096
/*
 * Terms and fencing tokens have the era of the store above these bits: a restored store hands the
 * reserved ones out again. More than 2^32 in one era would reach into the next one.
 */
#define SHARDMGR_ERA_SHIFT 32
/* Former owner of keys whose holder is not known; no upstream has this number. */
#define SHARDMGR_UNKNOWN_HOLDER UINT64_MAX
/* The plan estimates load from the requests of this time, at most from this number of them. */
#define SHARDMGR_WINDOW_MS 1500
#define SHARDMGR_MAX_REQUESTS 4096

enum key_phase {
	KEY_UNOWNED,   /* the keys have no owner */
	KEY_RELEASING, /* waiting for the former owner's release or the end of its lease */
	KEY_GRANTING,  /* waiting for the owner to accept a grant of the keys */
	KEY_LEASED,    /* the owner has accepted a grant; its lease is renewed */
};

/* Keys `from` to `to`, inclusive, that share an owner and a fencing token. */
struct key_range {
	uint32_t from;
	uint32_t to;
	uint64_t owner;
	uint64_t former; /* former owner that may still have a lease, 0: none */
	/*
	 * After a takeover the stored map may name a former owner and an owner, and either may have
	 * a lease. If the keys then move to a third upstream, both have to release them: `former`
	 * first, then `second_former`.
	 */
	uint64_t second_former;
	clk_ms second_former_lease_end;
	bool owner_may_hold; /* phase KEY_RELEASING, but `owner` may already have a lease */
	uint64_t fence;	     /* for grants to the owner and the release by `former` */
	/*
	 * Connection that carried grants under `fence`, 0: none yet. A grant over another
	 * connection could reach another process at the same address, which must not get the same
	 * fencing token.
	 */
	uint64_t fence_conn;
	uint64_t granted_fence; /* fencing token of the grant that `serving` accepted */
	uint64_t granted_conn;	/* connection of that grant */
	enum key_phase phase;
	/*
	 * Upstream that requests are sent to: the owner once it has accepted the keys; during a
	 * move the former owner until shortly before it gets the release. 0: none.
	 */
	uint64_t serving;
	/* Serial of the latest change of the range; see `serial` of struct shardmgr. */
	uint64_t serial;
	clk_ms owner_lease_end;	 /* latest end of the owner's lease, answered or not */
	clk_ms former_lease_end; /* latest end of the lease of `former` */
	/* Until then the owner may still carry out a grant that it did not answer. */
	clk_ms unanswered_until;
	uint64_t unanswered_fence; /* fencing token of that grant */
	/* Attempts left to send `former` a higher fencing token before the release. */
	unsigned int higher_fence_attempts;
	bool higher_fence_sent; /* `fence` - 1 was sent; the next attempt needs a new token */
	/*
	 * `former` did not answer a higher fencing token. Its lease has to expire, unless it
	 * answers a release: then the attempts start again.
	 */
	bool await_expiry;
	clk_ms next_call; /* earliest time of the next grant or release */
	clk_ms moved_at;  /* last move, load from the store, or repeated grant of misplaced keys */
	struct key_call *call; /* grant or release in progress, NULL: none */
	/* Handover value of the former owner's release, passed to the owner with the grant. */
	char handover[SHARDMGR_HANDOVER_BYTES];
	struct key_range *next; /* sorted by key */
};

/*
 * Key holder: an upstream that was sent grants. Has the shard manager's connections to it, and
 * whether it answers.
 */
struct key_holder {
	uint64_t num;		      /* number of the upstream */
	struct upconn_pool *grants;   /* one connection, which carries one grant at a time */
	struct upconn_pool *releases; /* a new connection for each release or health check */
	int64_t started;	      /* start of the upstream's process that the pools belong to */
	bool grant_open;	      /* a grant is in progress */
	/* Connection of `grants` that is known to lead to the upstream, 0: none. */
	uint64_t identified_conn;
	clk_ms identified_at;	      /* the upstream was at its address then, 0: not known */
	struct upconn_call *id_check; /* asks for its id, NULL: not in progress */
	struct upconn_request id_check_req;
	clk_ms id_check_sent;
	clk_ms id_check_due;	     /* earliest time of the next one */
	struct key_range *due_first; /* in a tick: of its ranges, the first one due for a grant */
	clk_ms failing_since;	     /* 0: no failure since the last answer to a grant or check */
	struct shardmgr *shardmgr;
	struct upconn_call *health_check; /* in progress, NULL: none */
	struct upconn_request check_req;
	char check_path[SHARDMGR_PATH_BYTES];
	clk_ms check_due;    /* earliest time of the next health check */
	clk_ms check_pause;  /* time between two health checks */
	clk_ms recovered_at; /* when a health check was last answered after failures, 0: never */
	UT_hash_handle hh;
};

/* A grant or release that was sent and has no answer yet. */
struct key_call {
	struct shardmgr *shardmgr;
	struct key_range *range; /* NULL: the answer no longer applies to a range */
	uint64_t holder;	 /* number of the upstream */
	bool release;		 /* a release, not a grant */
	uint64_t fence;		 /* fencing token of the call */
	uint64_t conn;		 /* connection that carries the call */
	clk_ms sent;
	struct arena arena;
	struct upconn_request req;
	struct upconn_call *open;
	struct key_call *prev;
	struct key_call *next;
};

enum shardmgr_state {
	SHARDMGR_STANDBY, /* does not have the role; `view` is a copy of the shard manager's map */
	SHARDMGR_ACQUIRING_ROLE, /* reads or writes the rows of the store to acquire the role */
	SHARDMGR_ACTIVE		 /* has the role */
};

struct shardmgr {
	struct shardmgr_env env;
	char service[FLEET_NAME_BYTES];
	enum shardmgr_state state;
	struct timer timer;
	clk_ms last_tick;
	bool publish_due; /* `serving` of a range has changed since `view` was built */
	bool stopping;	  /* planned stop: see shardmgr_resign() */
	/* role */
	uint64_t term;
	uint64_t seen_term;   /* highest term in which a gateway was seen to have the role */
	uint64_t former_term; /* the same before that one */
	bool suspended;	      /* does not act, since nobody confirms the role */
	bool has_former;      /* another shard manager had the role before this one, or may have */
	bool settled; /* there is none, or most of the electorate has consented to this one */
	/*
	 * Term of the map for requests that corrects the map of a restored store, 0: none does. No
	 * keys are granted before it is known to be the last one.
	 */
	uint64_t view_term;
	clk_ms loaded_at;    /* when the role was read to acquire it */
	bool consent_missed; /* the log says that most of the electorate has not consented yet */
	/* The first one is that of the row; to act without the store needs the support of all. */
	struct {
		struct electorate who;
		clk_ms until; /* when it is dropped, CLK_NEVER: not yet */
	} electorates[SHARDMGR_MAX_ELECTORATES];
	size_t n_electorates;
	bool electorate_due; /* the last one is to be written to the row */
	/* Choice of gateways that differs from the row, and since when it has been the same. */
	struct electorate next_electorate;
	clk_ms next_electorate_since;
	uint64_t restored_era;	 /* highest era in which the restored store was read */
	clk_ms restored_at;	 /* when it was first read in that era */
	bool awaits_support;	 /* to write role and map again in that era */
	uint64_t era;		 /* era of the store in which role and map are written */
	uint64_t writing_term;	 /* term of the last write of the role, done or not */
	uint64_t writing_era;	 /* era of the write of role and map that is under way */
	uint64_t role_version;	 /* version of the row of the role that this gateway wrote */
	uint64_t map_version;	 /* version of the row of the ownership map */
	uint64_t store_version;	 /* newest version of the store seen, from which it is watched */
	clk_ms confirmed_at;	 /* the store confirmed the role as of this time */
	clk_ms confirmed_in_era; /* the same, before the store was restored from `era` */
	clk_ms out_of_touch_at;	 /* when this gateway last did not hear most others */
	clk_ms not_all_heard_at; /* when it last did not hear all others */
	/* Time that the last answer of a call that confirms the role took beyond its wait. */
	clk_ms confirm_delay;
	clk_ms confirm_sent; /* when the last call that confirms the role was sent */
	clk_ms request_sent; /* when the last commit of the map or read of the rows was sent */
	unsigned open_calls; /* calls to the store without an answer */
	bool confirming;     /* a call that confirms the role is in progress */
	/* map */
	struct key_range *ranges;
	size_t n_ranges;
	uint64_t fence;	       /* highest fencing token assigned or skipped; the next is above it */
	uint64_t fence_limit;  /* highest token reserved by the last write, finished or not */
	uint64_t fence_usable; /* highest that the store has reserved; successors start above */
	/*
	 * Serial of the ranges in memory. Changes since the last write share a serial; a change is
	 * acted upon once `committed_serial` has reached the serial of its range.
	 */
	uint64_t serial;
	uint64_t committed_serial; /* state of the ranges that the store has */
	uint64_t writing_serial;   /* state of the ranges that is being written, 0: none */
	bool reading;		   /* a read of the rows of role and map is in progress */
	bool reread_needed;	   /* read the rows before the next write of the map */
	clk_ms next_commit;	   /* earliest time of the next write of the map */
	clk_ms next_plan;	   /* earliest time of the next plan */
	struct key_holder *holders;
	struct key_call *calls;
	/* ring of the latest requests to the service, from which the plan estimates load */
	struct {
		clk_ms at;
		uint16_t key;
	} requests[SHARDMGR_MAX_REQUESTS];
	size_t next_request;
	size_t n_requests;
	struct keymap view; /* ownership map for requests: from the own ranges or from a peer */
	struct keymap sent; /* copy of `view` when it was last sent to the peers */
};

/* shardmgr.c */
/* Records a term in which a gateway has the role. */
void shardmgr_follow_term(struct shardmgr *mgr, uint64_t term);
/* Marks the range as changed: grants and releases for the change wait until the map is written. */
void shardmgr_mark_changed(struct shardmgr *mgr, struct key_range *r);
/* Makes the next tick of the timer come soon. */
void shardmgr_schedule_tick(struct shardmgr *mgr);
/* Makes the next tick rebuild `view`, because `serving` of a range has changed. */
void shardmgr_schedule_publish(struct shardmgr *mgr);
/*
 * Takes `n` unused fencing tokens and assigns the last one to the range. If the stored map does not
 * reserve that token yet, the range counts as changed, and its calls wait for a write of the map.
 */
void shardmgr_advance_fence(struct shardmgr *mgr, struct key_range *r, uint64_t n);
/* Assigns a new fencing token to the range, whose owner is then granted the keys again. */
void shardmgr_assign_new_fence(struct shardmgr *mgr, struct key_range *r);

/* Returns a new range, counted in n_ranges; the caller links it into the list. */
struct key_range *shardmgr_range_new(struct shardmgr *mgr, uint32_t from, uint32_t to);
/* Splits the range of `key` so that a range starts at `key`. The range must have no open call. */
void shardmgr_split_before(struct shardmgr *mgr, uint32_t key);
void shardmgr_ranges_clear(struct shardmgr *mgr);
/* Gives up the role or the attempt to acquire it; `why` is for the log. */
void shardmgr_step_down(struct shardmgr *mgr, const char *why);

/* shardmgr_voters.c */
/* Whether most gateways of all electorates support the role, asked at `since` or later. */
bool shardmgr_is_supported(const struct shardmgr *mgr, clk_ms since);
/*
 * Ends the wait for a former shard manager once most of the electorate has consented to this one,
 * and changes the electorate if other gateways should vote.
 */
void shardmgr_update_votes(struct shardmgr *mgr, clk_ms now);
/* Starts with the electorate of the row of a role; an empty one stands for the gateways known. */
void shardmgr_load_electorate(struct shardmgr *mgr, const struct electorate *stored,
			      bool has_former);
/* Returns the electorate that the row of the role is to name. */
const struct electorate *shardmgr_row_electorate(const struct shardmgr *mgr);
/* The store has the row of the role with that electorate. */
void shardmgr_electorate_written(struct shardmgr *mgr);

/* shardmgr_row.c */
/*
 * The map for requests that corrected the map of a restored store is not the last one: all keys
 * wait until every lease has expired that a former shard manager may have granted.
 */
void shardmgr_distrust_view(struct shardmgr *mgr);
/* Writes the map, provided that the rows of role and map have the versions known here. */
void shardmgr_commit(struct shardmgr *mgr);
/*
 * Sends a call that confirms the role. The store answers it after SHARDMGR_CONFIRM_MS, or at once
 * when a row of a role or a map changes, so that a loss of the role is known soon.
 */
void shardmgr_confirm_role(struct shardmgr *mgr);

/* shardmgr_lease.c */
/* Sends the grants, renewals and releases that are due. */
void shardmgr_lease_tick(struct shardmgr *mgr, clk_ms now);
/* Called when the store has the present map: makes the releases of written moves due at once. */
void shardmgr_lease_committed(struct shardmgr *mgr);
/* Cancels all calls and closes the connections to all upstreams. */
void shardmgr_lease_clear(struct shardmgr *mgr);
/* Detaches the call in progress from its range: its answer no longer changes the range. */
void shardmgr_range_detach_call(struct key_range *r);
/* Returns the connections to an upstream, NULL if there are none yet. */
struct key_holder *shardmgr_find_holder(const struct shardmgr *mgr, uint64_t num);
/*
 * Returns the connections to the registered process of an upstream, opening new pools if the
 * upstream was restarted. NULL if the upstream is unknown.
 */
struct key_holder *shardmgr_current_holder(struct shardmgr *mgr, uint64_t num);

/* shardmgr_check.c */
/* Whether the upstream answers grants well enough to own keys. */
bool shardmgr_holder_ok(const struct shardmgr *mgr, uint64_t num, clk_ms now);
/* Records that a grant or release failed, and schedules a health check at the first failure. */
void shardmgr_record_failure(struct key_holder *h, clk_ms now);
/*
 * Whether a grant or release that is sent now reaches the upstream, and not another one that got
 * its address. If that is not known, asks for the id at the address; the answer makes the next tick
 * come soon.
 */
bool shardmgr_is_identified(struct key_holder *h, clk_ms now);
/* Records that the upstream answered a grant, or named its id, when asked at `sent`. */
void shardmgr_note_identified(struct key_holder *h, clk_ms sent);
/*
 * Sends the health checks that are due to failing upstreams. A failing upstream that was restarted
 * gets new connections instead and no longer counts as failing.
 */
void shardmgr_check_failing(struct shardmgr *mgr, clk_ms now);

/* shardmgr_lease.c, lengths of leases */
/* Returns the latest end of a lease whose grant arrives at `arrived`. */
clk_ms shardmgr_lease_end(const struct shardmgr *mgr, clk_ms arrived);
/* Returns the length of a lease. */
clk_ms shardmgr_lease_time(const struct shardmgr *mgr);

#endif
