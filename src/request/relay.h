/* Requests that another region serves: sent whole to a router there, within the link's budget. */
#ifndef REQUEST_RELAY_H
#define REQUEST_RELAY_H

#include "process/node.h"
#include "request/entry.h"

struct relay_set;

struct relay_set *relay_set_create(struct node *n);
void relay_set_destroy(struct relay_set *r);
void relay_set_tick(struct relay_set *r, clk_ms now);

enum relay_result {
	RELAY_ANSWERED,
	RELAY_NOT_SENT_UNREACHABLE,
	RELAY_NOT_SENT_BUDGET,
	RELAY_UNKNOWN, /* sent, and no answer in time or the connection ended */
};

typedef void (*relay_cb)(void *data, enum relay_result result, const struct entry_answer *answer);

/* The callback comes once, later or from this call. Returns the relay's id for relay_cancel(). */
uint64_t relay_send(struct relay_set *r, struct str region, const struct entry_input *in,
		    clk_ms timeout, relay_cb cb, void *data);
void relay_cancel(struct relay_set *r, uint64_t id);

void relay_on_request(struct relay_set *r, uint64_t from, const Bc__Relay *relay);
void relay_on_reply(struct relay_set *r, uint64_t from, const Bc__RelayReply *reply);
void relay_on_cancel(struct relay_set *r, uint64_t from, uint64_t id);
void relay_on_peer_down(struct relay_set *r, uint64_t node);

#endif
