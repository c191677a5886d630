/*
 * Connections to the other routers. A set keeps one connection to each address it was given,
 * dials again after failures (100 ms to 2 s, doubling, with jitter) and closes a connection that
 * went silent. Of two connections between the same two routers the one dialled by the lower
 * (ip, port) is kept. Nodes of the own region exchange heartbeats that the owner of the set sends;
 * towards other regions the set itself sends an empty frame every 2 s and closes after 6 s of
 * silence, since that link is paid by volume.
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

#define PEER_RECEIVE_TIMEOUT_MS 600
#define PEER_REMOTE_KEEPALIVE_MS 2000
#define PEER_REMOTE_RECEIVE_TIMEOUT_MS 6000

struct peer_info {
	uint64_t node;
	const char *id;
	const char *incarnation;
	const char *region;
	const char *failure_domain;
	const char *ip;
	uint32_t peer_port;
	uint32_t caller_port;
	uint32_t operator_port;
	clk_ms last_received_at;
};

/*
 * Called from the loop. A `struct peer_info` stays valid until the loop's next turn. A handler may
 * send and add or remove addresses, but must not destroy the set.
 */
struct peer_handlers {
	/* The frame is freed after the call. HELLO frames are handled by the set. */
	void (*on_frame)(void *data, const struct peer_info *from, const Bc__Frame *frame);
	void (*on_up)(void *data, const struct peer_info *peer);
	void (*on_down)(void *data, const struct peer_info *peer);
};

struct peer_set;

/* Listens on the ip and peer port in `self` and says HELLO with it. */
struct peer_set *peer_set_create(h2o_loop_t *loop, const Bc__Hello *self, uint64_t self_node,
				 struct hlc *hlc, const struct peer_handlers *handlers, void *data,
				 struct err *err);
void peer_set_destroy(struct peer_set *set);

/* Keeps a connection to this address; repeated calls and the own address are ignored. */
void peer_add_address(struct peer_set *set, const char *ip, uint32_t port);
/* Stops dialling the address; an open connection is closed. */
void peer_remove_address(struct peer_set *set, const char *ip, uint32_t port);

/* Fills in sender and clock and queues the frame. False if there is no connection to the node. */
bool peer_send(struct peer_set *set, uint64_t node, Bc__Frame *frame);

/*
 * The newest attempt to connect to this address was refused: the instance answers and no process
 * listens there any more. A paused or unreachable process does not refuse.
 */
bool peer_address_refused(const struct peer_set *set, const char *ip, uint32_t port);

const struct peer_info *peer_find(const struct peer_set *set, uint64_t node);
/* Connected peers; returns their number, fills at most `max`. */
size_t peer_list(const struct peer_set *set, const struct peer_info **out, size_t max);

/* Bytes sent to other regions since start, by cause ("relay", "doc", "heartbeat", "other"). */
uint64_t peer_remote_bytes(const struct peer_set *set, const char *cause);

#endif
