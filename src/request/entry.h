/*
 * Requests at their entry, the router that received them from a caller or from the relay of another
 * region. For each request, the module checks the home regions, gets a slot from the broker of the
 * service, calls the upstream with retries and hedges, and answers the caller or the relay. A
 * request that another region serves is handed to relay.c.
 */
#ifndef REQUEST_ENTRY_H
#define REQUEST_ENTRY_H

#include "process/broker.h"
#include "process/node.h"

struct entry_answer {
	int status;
	const struct upconn_header *headers;
	size_t n_headers;
	struct str body;
};

/* Kind of sender of the request: the callers' port or the relay of another region. */
struct entry_source {
	/* Sends the answer. Called at most once; `answer` is valid only during the call. */
	void (*reply)(void *data, const struct entry_answer *answer);
};

struct entry_input {
	struct str method;
	struct str path;
	const struct upconn_header *headers; /* names in lower case */
	size_t n_headers;
	struct str body;
	bool relayed; /* by another region: served here or refused, never relayed on */
};

struct entry;
struct entry_list;

struct entry_list *entry_list_create(struct node *n);
void entry_list_destroy(struct entry_list *list);
/* Returns the number of requests that were not answered yet. */
size_t entry_list_open(const struct entry_list *list);
/*
 * The process ends now: answers the open requests with "not-run", or with "unknown" if an upstream
 * or another region may have run them.
 */
void entry_list_end(struct entry_list *list);
/*
 * Refuses requests that got no decision in time, sends slot requests again after a change of
 * broker, starts hedges that are due, and frees finished entries.
 */
void entry_list_tick(struct entry_list *list, clk_ms now);

/*
 * Starts a request and returns its entry, which stays valid until the next entry_list_tick(). `in`
 * is copied. May call `source->reply` with `data` before it returns.
 */
struct entry *entry_start_request(struct entry_list *list, const struct entry_input *in,
				  const struct entry_source *source, void *data);
/*
 * To be called when the caller has closed its connection: no reply is made. Idempotent requests and
 * those that were neither sent nor relayed are cancelled, others run on so that their outcome is
 * recorded.
 */
void entry_abandon(struct entry *e);

/* Handles a request from the callers' port; `node` is the struct node. */
void entry_on_http(void *node, struct ingress_request *req);

/* Handle the decisions of a broker about slot requests of this router. */
void entry_on_grant(struct entry_list *list, clk_ms now, const Bc__Grant *grant);
void entry_on_refuse(struct entry_list *list, clk_ms now, const Bc__Refuse *refuse);

#endif
