/*
 * Internals shared by the files of peer: peer.c handles the set and its timer, peer_conn.c open
 * connections and writing, peer_read.c received frames, peer_dial.c addresses and new connections.
 */
#ifndef CONNECTION_PEER_PRIV_H
#define CONNECTION_PEER_PRIV_H

#include <netinet/in.h>

#include <uthash.h>

#include "base/arena.h"
#include "base/rnd.h"
#include "connection/peer.h"
#include "connection/timer.h"

#define PEER_DIAL_BACKOFF_MIN_MS 100

/* Kinds of traffic by which the bytes sent to other regions are counted. */
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

/* An address to which the set keeps a connection. */
struct peer_target {
	struct sockaddr_in address;
	struct peer_conn *dialled_conn; /* connection dialled to the address, until it closes */
	clk_ms next_dial;		/* no attempt to connect before this time */
	clk_ms backoff;			/* delay before the next attempt, without jitter */
	bool is_self; /* HELLO showed that it is this process; not dialled again */
	/* Since when attempts end with ECONNREFUSED, 0: the last one did not. */
	clk_ms refused_since;
	struct peer_target *next;
};

struct peer_conn {
	struct peer_set *set;
	h2o_socket_t *sock;
	struct peer_target *target; /* NULL: accepted, or the address was removed */
	struct sockaddr_in address; /* dialled or source address, then the one in HELLO */
	bool dialled;		    /* opened by this process, not accepted */
	bool connected;		    /* the TCP connection is established */
	bool hello;		    /* the peer's HELLO was valid */
	bool current;		    /* in `by_node`: the connection in use for its node */
	bool retired;		    /* duplicate not to be used; read until the peer closes it */
	bool closed;		    /* the socket is closed; the struct is freed at the next tick */
	bool write_failed;	    /* no more writes; read until its end */
	bool remote;		    /* the peer is in another region */
	struct peer_info info;
	struct arena arena; /* strings of `info` */
	clk_ms timeout;	    /* see peer_set_timeout(), 0: not set */
	clk_ms last_sent;   /* when a frame was last queued */
	struct peer_buffer *queue;
	struct peer_buffer **queue_end;
	size_t queued_bytes;
	size_t n_being_written; /* buffers at the head of `queue` passed to h2o for writing */
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
	struct peer_conn *by_node; /* connections in use, by node */
	struct timer tick;
	clk_ms last_tick;
	clk_ms last_resumed_at; /* end of this process's last pause; restarts receive timeouts */
	struct rnd rnd;
	size_t n_unidentified; /* accepted connections that have not sent HELLO */
	uint64_t remote_bytes[PEER_N_CAUSES];
};

/* Whether this process was paused until just now, so that what it reads may have waited long. */
bool peer_was_paused(const struct peer_set *set, clk_ms now);
/* Sets `*out`; false if `ip` is not an IPv4 address or `port` is not from 1 to 65535. */
bool peer_address_set(struct sockaddr_in *out, const char *ip, uint32_t port);
/* Orders addresses by ip, then port, like strcmp(). */
int peer_address_compare(const struct sockaddr_in *a, const struct sockaddr_in *b);
/* Returns "ip:port", valid until the next call. */
const char *peer_address_text(const struct sockaddr_in *a);

/* Returns the target with this address, NULL if there is none. */
struct peer_target *peer_find_target(const struct peer_set *set, const struct sockaddr_in *address);
/* Schedules the next attempt to connect and doubles the delay for the attempt after it. */
void peer_schedule_redial(struct peer_set *set, struct peer_target *t);
/* Starts an attempt to connect to the target. */
void peer_dial(struct peer_set *set, struct peer_target *t);
/* Read callback of the listener. */
void peer_on_accept(h2o_socket_t *listener, const char *err);
/* Read callback of a connection. */
void peer_on_read(h2o_socket_t *sock, const char *err);

/* Return the connection in use for a node or an address, NULL if there is none. */
struct peer_conn *peer_find_node(const struct peer_set *set, uint64_t node);
struct peer_conn *peer_find_current(const struct peer_set *set, const struct sockaddr_in *address);

/*
 * Closes the socket and calls on_down() if this was the connection in use for its node. The struct
 * is freed only at the next tick, because functions up the call stack may still use it.
 */
void peer_conn_close(struct peer_conn *c);
/* Frees the structs of all closed connections. */
void peer_conn_free_closed(struct peer_set *set);
/*
 * Sets the frame's sender and timestamp (hlc) and queues the frame for the peer. Returns false if
 * the frame is too long, if a write of the connection has failed, or if the connection was closed
 * because its queue was full.
 */
bool peer_conn_send(struct peer_conn *c, Bc__Frame *frame);
/* Makes `c` the connection in use for its node; the node must have none. */
void peer_conn_make_current(struct peer_conn *c);
/* Retires or closes one of two connections to the same node; `old` is the one in use. */
void peer_conn_resolve_duplicate(struct peer_conn *c, struct peer_conn *old);

#endif
