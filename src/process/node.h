/*
 * One router process: its documents, connections to peers, services of its cell, and the ports for
 * callers and operators. The modules that connect the pure decision modules to the event loop share
 * this header.
 */
#ifndef PROCESS_NODE_H
#define PROCESS_NODE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <h2o.h>

#include "base/clk.h"
#include "base/err.h"
#include "base/hlc.h"
#include "base/rnd.h"
#include "connection/listener.h"
#include "connection/peer.h"
#include "connection/upconn.h"
#include "process/event.h"
#include "process/settings.h"
#include "process/store.h"
#include "proto/bamboocroft.pb-c.h"
#include "version/doc.h"
#include "version/member.h"

#define NODE_TICK_MS 10
#define NODE_HEARTBEAT_MS 200
#define NODE_HEARTBEATS_PER_DOCS 5 /* one heartbeat in so many carries the document versions */
#define NODE_LEAD_POLL_MS 500	   /* between two polls of the table service */
/* A router that has known no lead for this long polls the table service itself. */
#define NODE_NO_LEAD_TIMEOUT_MS 600
#define NODE_MAX_MEMBERS 64
#define NODE_MAX_TIMEOUT_MS 10000    /* longest timeout of a caller's request */
#define NODE_DEFAULT_TIMEOUT_MS 2000 /* of a request whose service sets no timeout */
/* Service name under which the lead of the cell is elected: the holder of its lease is the lead. */
#define NODE_LEAD_SERVICE "_cell"

struct entry_list;
struct relay_set;
struct lead;
struct svc;

/* Newest heartbeat of another router of this region. */
struct node_peer_heartbeat {
	uint64_t node;
	clk_ms last_heartbeat_at;
	clk_ms first_heartbeat_at;
	bool draining;
	uint64_t config_version; /* in force there */
};

/*
 * A router that is no longer a member of the cell; its entries may still use slots for up to
 * NODE_MAX_TIMEOUT_MS.
 */
struct node_former_member {
	clk_ms left_at;
	char id[65];
	char incarnation[17];
	char ip[16];
	uint32_t peer_port;
};

#define NODE_MAX_FORMER_MEMBERS 32

struct node {
	h2o_loop_t *loop;
	const struct settings *settings;
	char incarnation[17];
	uint64_t self; /* number of this node, see member_node_number() */
	struct hlc hlc;
	struct rnd rnd;
	struct event_log *events;
	struct doc_set *docs;
	struct peer_set *peers;
	struct store *store;
	struct listener *callers;
	struct listener *operators;

	Bc__Config *config;		     /* in force, NULL before the first */
	Bc__Cell *cell;			     /* newest version known, NULL before the first */
	struct member_transition transition; /* from the previous version to `cell` */
	bool cell_active;		     /* `cell` has taken effect here */
	bool cell_may_change;		     /* the version after `cell` may be written */
	clk_ms cell_learned_at;
	uint64_t members[NODE_MAX_MEMBERS]; /* of the newest version that took effect */
	size_t n_members;
	bool is_member; /* this router is one of `members` */

	struct node_former_member former_members[NODE_MAX_FORMER_MEMBERS]; /* ring */
	size_t n_former_members;					   /* added so far */
	/* One of each router of the region; if full, the oldest is replaced. */
	struct node_peer_heartbeat peer_heartbeats[NODE_MAX_MEMBERS * 4];
	size_t n_peer_heartbeats;

	struct svc *services; /* list; the first is NODE_LEAD_SERVICE */
	struct lead *lead;
	struct entry_list *entries;
	struct relay_set *relays;

	h2o_timeout_t tick_timeout;
	h2o_timeout_entry_t tick;
	clk_ms started;
	clk_ms next_heartbeat;
	unsigned int heartbeats_since_docs; /* since the last one with document versions */
	bool draining;
	bool stopped;
	clk_ms drain_since;
};

struct node *node_create(const struct settings *settings, struct err *err);
/* Runs the event loop until a planned stop (node_drain) has finished. */
void node_run(struct node *n);
/* Starts a planned stop: releases leases, accepts no new connection, finishes open requests. */
void node_drain(struct node *n);
void node_destroy(struct node *n);

/* Sends a frame to every connected member of the cell but this router. */
void node_broadcast(struct node *n, Bc__Frame *frame);
/* Sends a heartbeat with the versions of all documents to the peers of the region now. */
void node_send_heartbeat(struct node *n, clk_ms now);

/* Sends a heartbeat if one is due. */
void node_tick_heartbeat(struct node *n, clk_ms now);
/* Records a peer's heartbeat and requests documents that are newer at the peer. */
void node_on_heartbeat(struct node *n, const struct peer_info *from, const Bc__Heartbeat *hb);

/* Sends a document to peer `to` if it is newer than the version that the peer has. */
void node_send_doc(struct node *n, uint64_t to, const Bc__DocGet *get);

/*
 * Applies a document from the table service, a peer or a write of this router (`source` names
 * which, for the event). Returns false if it is not newer than the one held or is invalid.
 */
bool node_apply_doc(struct node *n, struct str row, uint64_t version, struct str body,
		    const char *source);

/*
 * Whether a majority of the members in effect, this router included, holds at least this version of
 * the row.
 */
bool node_majority_has_doc(const struct node *n, struct str row, uint64_t version);

bool node_is_own_region(const struct node *n, const char *region);
bool node_is_member(const struct node *n, uint64_t node);
/* From the newest heartbeat of a peer; false and 0 if none was received. */
bool node_peer_is_draining(const struct node *n, uint64_t node);
uint64_t node_peer_config_version(const struct node *n, uint64_t node);
/* Returns when the newest heartbeat of `node` arrived; the start of this router if none has. */
clk_ms node_last_heartbeat(const struct node *n, uint64_t node);
/* Returns the time since the first heartbeat of `node`; 0 if none has arrived. */
clk_ms node_first_heartbeat_age(const struct node *n, clk_ms now, uint64_t node);

/* Returns the id of upstream `num` in the configuration; "" if it has no such upstream. */
const char *node_upstream_id(const struct node *n, uint32_t num);

/* Emits an event with a cause and a number and no other fields. */
void node_event(struct node *n, const char *module, const char *kind, const char *cause,
		uint64_t number);

#endif
