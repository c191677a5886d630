/* Internals of the entry: entry.c (start, answers), entry_call.c (slot requests, calls). */
#ifndef REQUEST_ENTRY_PRIV_H
#define REQUEST_ENTRY_PRIV_H

#include <uthash.h>

#include "process/svc.h"
#include "request/entry.h"
#include "request/relay.h"
#include "version/config.h"

/* Attempts after which the request is refused. */
#define ENTRY_MAX_ATTEMPTS 4
/* Without a decision of the broker, the entry refuses the request this long after the deadline. */
#define ENTRY_DECISION_MARGIN_MS 50
/* A slot request that no broker took is sent again after this time. */
#define ENTRY_SLOT_REQUEST_RETRY_MS 20

/* A slot request and, when it is granted, the call to the upstream. */
struct entry_call {
	struct entry *entry;
	bool open; /* waits for a decision, or the upstream call runs */
	bool is_hedge;
	uint64_t slot_request_id; /* key in entry_list.slot_requests */
	bool in_table;		  /* is in entry_list.slot_requests */
	uint64_t requested_from;  /* broker that got the slot request, 0: none */
	clk_ms next_send;	  /* earliest time to send the slot request (again) */
	uint64_t slot;		  /* 0 until granted */
	uint32_t upstream;
	clk_ms send_by;	    /* latest time to start sending, on this router's clock */
	clk_ms send_by_utc; /* the same in UTC, as the broker set it */
	clk_ms hedge_at;    /* when to request a slot for a hedge; 0: never */
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
	const Bc__Route *route; /* valid only during entry_start_request() */
	struct svc *svc;
	bool idempotent;
	bool homed; /* the route or the account restricts the regions that may serve it */
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
	bool maybe_ran;		    /* an attempt may have run, so the outcome is not "not-run" */
	bool fresh;		    /* later attempts use a new connection */
	uint64_t relay;		    /* id of the open relay, 0: none */
	struct entry_call calls[2]; /* first, hedge */
};

struct entry_list {
	struct node *node;
	struct entry *entries;
	size_t open; /* entries that are not finished */
	uint64_t next_slot_request;
	struct entry_call *slot_requests; /* waiting for a decision, by slot_request_id */
};

/*
 * Answers the caller unless `answer` is NULL or the caller has left, and cancels open calls. Does
 * nothing if the entry is finished.
 */
void entry_finish(struct entry *e, const struct entry_answer *answer);
/* Refuses with outcome "not-run", or with "unknown" and status 504 if an attempt may have run. */
void entry_refuse(struct entry *e, int status, const char *error, const char *remedy,
		  clk_ms retry_after);
/* Refuses with the given outcome. */
void entry_refuse_as(struct entry *e, int status, const char *outcome, const char *error,
		     const char *remedy, clk_ms retry_after);

/* entry_call.c */
/* Whether an open call of the request was sent to an upstream. */
bool entry_was_sent(const struct entry *e);
/* Sends a slot request for the call, or refuses the request if its deadline has passed. */
void entry_request_slot(struct entry *e, struct entry_call *c);
void entry_cancel_calls(struct entry *e);
/*
 * Starts a hedge that is due, sends a slot request again that the present broker has not got, or
 * refuses the request if no decision came in time.
 */
void entry_call_tick(struct entry *e, clk_ms now);

#endif
