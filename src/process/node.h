/*
 * One router: documents, peers, the services of its cell, callers' and operators' ports. This
 * header is shared by the modules that wire the pure decisions to the event loop.
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
#define NODE_HEARTBEATS_PER_DOCS 5
#define NODE_LEAD_POLL_MS 500
/* Without a known lead for this long a router polls the store itself. */
#define NODE_NO_LEAD_TIMEOUT_MS 600
#define NODE_MAX_MEMBERS 64
#define NODE_MAX_TIMEOUT_MS 10000
#define NODE_DEFAULT_TIMEOUT_MS 2000
/* Name of the pseudo service whose broker is the lead of the cell. */
#define NODE_LEAD_SERVICE "_cell"

struct entry_list;
struct relay_set;
struct lead;
struct svc;

/* Last heartbeat of a router of this region. */
struct node_peer {
	uint64_t node;
	clk_ms heard;
	clk_ms first_heard;
	bool draining;
	uint64_t config;
};

/* A member that left the cell; its entries may still use slots for one request timeout. */
struct node_former_member {
	clk_ms since;
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
	uint64_t self;
	struct hlc hlc;
	struct rnd rnd;
	struct event_log *events;
	struct doc_set *docs;
	struct peer_set *peers;
	struct store *store;
	struct listener *callers;
	struct listener *operators;

	Bc__Config *config; /* in force, NULL before the first */
	Bc__Cell *cell;	    /* newest known */
	struct member_transition gate;
	bool cell_active;		    /* `cell` may take effect */
	bool cell_may_change;		    /* the version after `cell` may be written */
	clk_ms cell_since;		    /* when `cell` was learned */
	uint64_t members[NODE_MAX_MEMBERS]; /* of the version that took effect */
	size_t n_members;
	bool is_member;

	struct node_former_member left[NODE_MAX_FORMER_MEMBERS]; /* ring */
	size_t n_left;
	struct node_peer seen[NODE_MAX_MEMBERS * 4]; /* oldest entry is replaced */
	size_t n_seen;

	struct svc *services; /* list; the first is NODE_LEAD_SERVICE */
	struct lead *lead;
	struct entry_list *entries;
	struct relay_set *relays;

	h2o_timeout_t tick_timeout;
	h2o_timeout_entry_t tick;
	clk_ms started;
	clk_ms next_heartbeat;
	unsigned int heartbeats; /* since the last one with document versions */
	bool draining;
	bool stopped;
	clk_ms drain_since;
};

struct node *node_create(const struct settings *settings, struct err *err);
/* Runs until a planned stop (node_drain) has finished. */
void node_run(struct node *n);
/* Planned stop: gives leases up, accepts nothing new, finishes open requests. */
void node_drain(struct node *n);
void node_destroy(struct node *n);

/* Sends a frame to every connected member of the cell but this router. */
void node_broadcast(struct node *n, Bc__Frame *frame);
/* Sends the versions held to the peers of the region now. */
void node_send_heartbeat(struct node *n, clk_ms now);

/* Heartbeats. */
void node_tick_heartbeat(struct node *n, clk_ms now);
void node_on_heartbeat(struct node *n, const struct peer_info *from, const Bc__Heartbeat *hb);

/* node_doc.c: answers a peer that asks for a document. */
void node_send_doc(struct node *n, uint64_t to, const Bc__DocGet *get);

/* A document arrived from the store, a peer, or a write of this router. Applies it if newer. */
bool node_apply_doc(struct node *n, struct str row, uint64_t version, struct str body,
		    const char *source);

/* Members (of the version in effect) that hold at least this version, this router included. */
bool node_majority_has_doc(const struct node *n, struct str row, uint64_t version);

bool node_is_own_region(const struct node *n, const char *region);
bool node_is_member(const struct node *n, uint64_t node);
/* What the last heartbeat of a peer said. */
bool node_peer_is_draining(const struct node *n, uint64_t node);
uint64_t node_peer_config_version(const struct node *n, uint64_t node);
/* When a frame of this node arrived last; start of this router if never. */
clk_ms node_last_heartbeat(const struct node *n, uint64_t node);
/* How long ago this router was heard first; 0 if it was not heard. */
clk_ms node_first_heartbeat_age(const struct node *n, clk_ms now, uint64_t node);

const char *node_upstream_id(const struct node *n, uint32_t num);

/* Shorthand for an event with only a cause. */
void node_event(struct node *n, const char *module, const char *kind, const char *cause,
		uint64_t number);

#endif
