/* Shared by the parts of the entry: entry.c (life and answers) and entry_call.c (asks and calls).
 */
#ifndef REQUEST_ENTRY_PRIV_H
#define REQUEST_ENTRY_PRIV_H

#include <uthash.h>

#include "process/svc.h"
#include "request/entry.h"
#include "request/relay.h"
#include "version/config.h"

#define ENTRY_MAX_ATTEMPTS 4
/* Without a decision this long after the deadline the entry gives up by itself. */
#define ENTRY_DECISION_MARGIN_MS 50
/* An ask that found no broker is sent again after this time. */
#define ENTRY_SLOT_REQUEST_RETRY_MS 20

/* One ask and, once granted, one call to an upstream. */
struct entry_call {
	struct entry *entry;
	bool open; /* asked or running */
	bool hedge;
	uint64_t ask_id; /* key of the hash table */
	bool hashed;
	uint64_t asked_node; /* broker that got the ask, 0: not sent yet */
	clk_ms ask_at;	     /* when to send the ask (again) */
	uint64_t slot;	     /* 0 until granted */
	uint32_t upstream;
	clk_ms send_by;
	clk_ms send_by_utc;
	clk_ms hedge_at; /* 0: never */
	clk_ms hedge_delay;
	struct upconn_call *call;
	struct upconn_header *headers;
	UT_hash_handle hh;
};

struct entry {
	struct entry *next;
	struct entry_list *list;
	struct node *node;
	struct arena arena;
	const struct entry_source *source; /* NULL once answered or abandoned */
	void *data;
	bool finished;

	struct entry_input in;	/* in the arena */
	const Bc__Route *route; /* valid only during entry_start() */
	struct svc *svc;
	bool idempotent;
	bool homed;
	struct str key;
	struct str account;
	struct str request_id;
	uint32_t partition;
	uint64_t key_hash;
	uint64_t request_id_hash;
	uint64_t fingerprint;
	clk_ms started;
	clk_ms deadline;
	clk_ms deadline_utc;
	uint32_t attempt;
	bool maybe_ran; /* an earlier attempt may have run: "not run" would be a lie */
	bool fresh;	/* use a new connection */
	uint64_t relay;
	struct entry_call calls[2]; /* first, hedge */
};

struct entry_list {
	struct node *node;
	struct entry *entries;
	size_t open;
	uint64_t next_ask;
	struct entry_call *asks; /* hash by ask_id */
};

/* Answers the caller once and ends the entry; open calls are cancelled. */
void entry_finish(struct entry *e, const struct entry_answer *answer);
/* Refusal with outcome "not-run", or "unknown" if an attempt may have run. */
void entry_refuse(struct entry *e, int status, const char *error, const char *remedy,
		  clk_ms retry_after);
void entry_refuse_as(struct entry *e, int status, const char *outcome, const char *error,
		     const char *remedy, clk_ms retry_after);

/* entry_call.c */
void entry_request_slot(struct entry *e, struct entry_call *c);
void entry_cancel_calls(struct entry *e);
void entry_call_tick(struct entry *e, clk_ms now);

#endif
