/*
 * Shared internals of the peer connections: peer.c owns the set and its timer, peer_conn.c the
 * open connections, peer_read.c what arrives on them, peer_dial.c addresses and new connections.
 */
#ifndef CONNECTION_PEER_PRIV_H
#define CONNECTION_PEER_PRIV_H

#include <netinet/in.h>

#include <uthash.h>

#include "base/arena.h"
#include "base/rnd.h"
#include "connection/peer.h"
#include "connection/timer.h"

#define PEER_DIAL_MIN_MS 100

/* What the bytes sent to other regions are counted by. */
enum peer_cause {
	PEER_CAUSE_RELAY,
	PEER_CAUSE_DOC,
	PEER_CAUSE_HEARTBEAT,
	PEER_CAUSE_OTHER,
	PEER_N_CAUSES
};

/* A packed frame in the queue of a connection. */
struct peer_buffer {
	struct peer_buffer *next;
	uint8_t *data;
	size_t len;
};

/* An address to keep connected. */
struct peer_target {
	struct sockaddr_in address;
	struct peer_conn *dialling; /* dialled by us; until it ends */
	clk_ms next_dial;
	clk_ms backoff;
	bool is_self; /* the address led back to this process */
	bool refused; /* the newest attempt was refused: no process listens there */
	struct peer_target *next;
};

struct peer_conn {
	struct peer_set *set;
	h2o_socket_t *sock;
	struct peer_target *target; /* NULL: accepted, or the address was removed */
	struct sockaddr_in address; /* from the dialled address or HELLO */
	bool dialled;
	bool connected;
	bool hello;   /* the peer's HELLO has arrived */
	bool current; /* in `by_node`: the connection that is used for this node */
	bool retired; /* lost against a duplicate; read until the peer closes it */
	bool dead;    /* closed; freed at the next tick */
	bool remote;
	struct peer_info info;
	struct arena arena;
	clk_ms last_sent;
	struct peer_buffer *queue;
	struct peer_buffer **queue_end;
	size_t queued_bytes;
	size_t n_writing; /* buffers at the head that h2o still reads */
	struct peer_conn *next;
	UT_hash_handle hh;
};

struct peer_set {
	h2o_loop_t *loop;
	h2o_socket_t *listener;
	struct arena arena;
	Bc__Hello self;
	struct sockaddr_in self_address;
	uint64_t self_node;
	struct hlc *hlc;
	struct peer_handlers handlers;
	void *data;
	struct peer_target *targets;
	struct peer_conn *conns;
	struct peer_conn *by_node;
	struct timer tick;
	clk_ms last_tick;
	clk_ms resumed_at; /* end of the last pause of this process; silence counts from here */
	struct rnd rnd;
	size_t n_strangers; /* accepted and without HELLO */
	uint64_t remote_bytes[PEER_N_CAUSES];
};

/* False if it is not an IPv4 number with a port from 1 to 65535. */
bool peer_address_set(struct sockaddr_in *out, const char *ip, uint32_t port);
int peer_address_compare(const struct sockaddr_in *a, const struct sockaddr_in *b);
/* The text is valid until the next call. */
const char *peer_address_text(const struct sockaddr_in *a);

struct peer_target *peer_find_target(const struct peer_set *set, const struct sockaddr_in *address);
/* Sets the time of the next attempt and doubles the one after it. */
void peer_schedule_redial(struct peer_set *set, struct peer_target *t);
void peer_dial(struct peer_set *set, struct peer_target *t);
/* Read callback of the listener. */
void peer_on_accept(h2o_socket_t *listener, const char *err);
/* Read callback of a connection. */
void peer_on_read(h2o_socket_t *sock, const char *err);

/* The connection in use for a node or an address, NULL if there is none. */
struct peer_conn *peer_find_node(const struct peer_set *set, uint64_t node);
struct peer_conn *peer_find_current(const struct peer_set *set, const struct sockaddr_in *address);

/*
 * Closes the socket and reports the peer as down if this was the connection in use. The struct
 * stays until the next tick, because callers further up may still hold it.
 */
void peer_conn_close(struct peer_conn *c);
void peer_conn_free_dead(struct peer_set *set);
/* Fills in sender and clock and queues the frame. False: not queued, or the connection was closed.
 */
bool peer_conn_send(struct peer_conn *c, Bc__Frame *frame);
void peer_conn_make_current(struct peer_conn *c);
/* Keeps one of two connections to the same node, `old` being the one in use. */
void peer_conn_resolve_duplicate(struct peer_conn *c, struct peer_conn *old);

#endif
