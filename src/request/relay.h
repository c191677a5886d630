/*
 * Relays: a request that another region serves is sent whole to a router there, which sends its
 * answer back. One token bucket limits the bytes per second of the requests that this router sends
 * to all other regions. The file has both sides: the router that sends relays and the router that
 * serves them.
 */
#ifndef REQUEST_RELAY_H
#define REQUEST_RELAY_H

#include "process/node.h"
#include "request/entry.h"

struct relay_set;

struct relay_set *relay_set_create(struct node *n);
void relay_set_destroy(struct relay_set *r);
/* Ends relays whose answer is overdue with RELAY_UNKNOWN. */
void relay_set_tick(struct relay_set *r, clk_ms now);

enum relay_result {
	RELAY_ANSWERED,
	RELAY_NOT_SENT_UNREACHABLE, /* no connected router of the region took the request */
	RELAY_NOT_SENT_BUDGET,	    /* the byte budget is used up */
	RELAY_UNKNOWN,		    /* sent, and no answer came in time or the connection ended */
};

typedef void (*relay_cb)(void *data, enum relay_result result, const struct entry_answer *answer);

/*
 * Sends a request to a router of `region`. Calls `cb` once, during this call or later, unless the
 * relay is cancelled. Returns the id for relay_cancel(), 0 if the relay was not sent.
 */
uint64_t relay_send(struct relay_set *r, struct str region, const struct entry_input *in,
		    clk_ms timeout, relay_cb cb, void *data);
/* Cancels a relay here and at the serving router. `cb` is not called. */
void relay_cancel(struct relay_set *r, uint64_t id);

/* Handlers of the frames from other routers; `from` is the sender. */
void relay_on_request(struct relay_set *r, uint64_t from, const Bc__Relay *relay);
void relay_on_reply(struct relay_set *r, uint64_t from, const Bc__RelayReply *reply);
void relay_on_cancel(struct relay_set *r, uint64_t from, uint64_t id);
/* Ends the relays sent to `node` with RELAY_UNKNOWN and abandons the requests relayed by `node`. */
void relay_on_peer_down(struct relay_set *r, uint64_t node);

#endif
