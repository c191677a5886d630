/*
 * Long-lived TCP connections to the other routers, over which frames are exchanged. A set keeps one
 * connection to each address it was given and reconnects at once if the peer closed it, after
 * failures with a delay (100 ms to 2 s, doubling, with jitter). If two routers have dialled each
 * other, the connection dialled by the router with the lower (ip, port) is kept.
 *
 * A connection is closed if nothing is received on it for 600 ms, or 6 s if the peer is in another
 * region. Within a region the owner of the set has to send heartbeats often enough; to other
 * regions the set itself sends an empty frame every 2 s, since that traffic is billed by volume.
 * An owner that sends heartbeats of its own at other intervals sets the times for each peer with
 * peer_set_timeout(). The kernel closes a connection whose other end acknowledges nothing for 3 s.
 */
#ifndef CONNECTION_PEER_H
#define CONNECTION_PEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <h2o.h>

#include "base/clk.h"
#include "base/err.h"
#include "base/hlc.h"
#include "proto/bamboocroft.pb-c.h"

/* A connection on which nothing is received for this long is closed. */
#define PEER_RECEIVE_TIMEOUT_MS 600
/* The interval of empty frames, and the receive timeout, for peers in other regions. */
#define PEER_REMOTE_KEEPALIVE_MS 2000
#define PEER_REMOTE_RECEIVE_TIMEOUT_MS 6000

/* A peer as described by its HELLO frame. */
struct peer_info {
	uint64_t node; /* `sender` of its frames; differs between incarnations */
	const char *id;
	const char *incarnation;
	const char *region;
	const char *failure_domain;
	const char *ip;
	uint32_t peer_port;
	uint32_t caller_port;
	uint32_t operator_port;
	clk_ms last_received_at; /* when bytes last arrived from the peer */
	/*
	 * In on_down(): the peer closed the connection just now, and all that it had sent was read.
	 * False after a pause of this process: the peer may have closed it long ago.
	 */
	bool closed_by_peer;
};

/*
 * Called from the loop. A `struct peer_info` stays valid until the loop's next iteration. A handler
 * may send and add or remove addresses, but must not destroy the set.
 */
struct peer_handlers {
	/* Called for each frame but HELLO and empty ones; the frame is freed after the call. */
	void (*on_frame)(void *data, const struct peer_info *from, const Bc__Frame *frame);
	/* Called when a node that had no connection has completed the handshake. */
	void (*on_up)(void *data, const struct peer_info *peer);
	/* Called when the connection in use for a node has closed. */
	void (*on_down)(void *data, const struct peer_info *peer);
};

struct peer_set;

/*
 * Listens on the ip and peer port of `self`, which is also sent as HELLO on each connection.
 * Returns NULL and sets `err` if that fails.
 */
struct peer_set *peer_set_create(h2o_loop_t *loop, const Bc__Hello *self, uint64_t self_node,
				 struct hlc *hlc, const struct peer_handlers *handlers, void *data,
				 struct err *err);
void peer_set_destroy(struct peer_set *set);

/* Keeps a connection to the address; known addresses and the set's own are ignored. */
void peer_add_address(struct peer_set *set, const char *ip, uint32_t port);
/* Stops dialling the address; an open connection stays. */
void peer_drop_address(struct peer_set *set, const char *ip, uint32_t port);
/* Stops dialling the address and closes open connections to it. */
void peer_remove_address(struct peer_set *set, const char *ip, uint32_t port);

/*
 * Sets how long the connection to a node may be without received bytes until it is closed, and that
 * the set itself sends no empty frames on it. Lasts until the connection closes.
 */
void peer_set_timeout(struct peer_set *set, uint64_t node, clk_ms timeout);
/*
 * Returns for how long nothing has been received from a node; 0 if it has no connection, if
 * received bytes wait to be read, or if this process was paused meanwhile.
 */
clk_ms peer_silence(const struct peer_set *set, uint64_t node);

/*
 * Sets the frame's sender and timestamp (hlc) and queues the frame for the node. Returns false if
 * there is no connection to the node, a write to it has failed, the frame is too long, or the
 * connection was closed because its queue was full.
 */
bool peer_send(struct peer_set *set, uint64_t node, Bc__Frame *frame);

/*
 * Returns since when attempts to connect to the address were refused (ECONNREFUSED), 0 if the last
 * one was not, or a process connected from there later: the instance responds, but no process
 * listens there any more. A paused or unreachable process does not refuse.
 */
clk_ms peer_refused_since(const struct peer_set *set, const char *ip, uint32_t port);

/* Returns the connected peer with this node, NULL if there is none. */
const struct peer_info *peer_find(const struct peer_set *set, uint64_t node);
/* Returns the number of connected peers and writes at most `max` of them to `out`. */
size_t peer_list(const struct peer_set *set, const struct peer_info **out, size_t max);

/*
 * Returns the bytes sent to other regions since start, by cause ("relay", "doc", "heartbeat",
 * "other").
 */
uint64_t peer_remote_bytes(const struct peer_set *set, const char *cause);

#endif
