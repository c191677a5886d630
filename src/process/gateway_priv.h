/*
 * Internals of the gateway: gateway.c has its life, gateway_peer.c the other gateways,
 * gateway_key.c what they tell each other about keys, gateway_doc.c what is read from the store,
 * gateway_table.c who reads it and passes it on.
 */
#ifndef PROCESS_GATEWAY_PRIV_H
#define PROCESS_GATEWAY_PRIV_H

#include <h2o.h>

#include "base/hash.h"
#include "base/hlc.h"
#include "connection/ingress.h"
#include "connection/peer.h"
#include "connection/timer.h"
#include "process/fleet.h"
#include "process/gateway.h"
#include "process/shardmgr.h"
#include "process/link.h"
#include "process/quarantine.h"
#include "process/readers.h"
#include "process/retry.h"
#include "process/slots.h"
#include "process/split.h"
#include "process/watch.h"
#include "request/forward.h"

#define GATEWAY_MAX_PEERS 512
#define GATEWAY_MAX_KEEPS 16
/* Requests for keys in one report to the keeper. */
#define GATEWAY_MAX_SEEN 512

/* Other regions whose links are watched; a deployment has a handful of regions. */
#define GATEWAY_MAX_LINKS 16

struct gateway_link {
	char region[FLEET_NAME_BYTES];
	struct link link;
};

/* What a peer said with its last pulse. */
struct gateway_peer {
	uint64_t node;
	char region[FLEET_NAME_BYTES];
	bool draining;
	bool store_ok;
	clk_ms store_ms; /* fastest answer of the store there */
	clk_ms heard;	 /* last pulse, 0: none yet */
	uint32_t cpu_millis;
	bool reads;	    /* follows the store itself */
	clk_ms reads_since; /* by its pulses */
	clk_ms store_heard; /* when the store answered it last, by our clock */
	size_t n_keeps;
	struct {
		uint64_t service; /* hash of its name */
		uint64_t term;
	} keeps[GATEWAY_MAX_KEEPS];
	UT_hash_handle hh;
};

/* Parts of the gateway that exist for a service. */
struct gateway_service {
	uint64_t id; /* hash of the name */
	char name[FLEET_NAME_BYTES];
	struct retry retry;
	struct shardmgr *shardmgr; /* services divided by key */
	clk_ms no_keeper_since;	   /* 0: one is known */
	bool map_due;		   /* owners changed: the peers get the changes with the timer */
	clk_ms map_asked;	   /* when the whole map was asked for last */
	/* Keys of requests that were seen as lender, for the keeper. */
	uint32_t seen[GATEWAY_MAX_SEEN];
	size_t n_seen;
	clk_ms load_sent;
	UT_hash_handle hh;
};

/* A failure domain that operators have taken out. */
struct gateway_evacuation {
	char failure_domain[FLEET_NAME_BYTES];
	UT_hash_handle hh;
};

/* A row of the store as it was read, for peers that do not follow the store. */
struct gateway_row {
	char key[FLEET_NAME_BYTES];
	uint64_t version;
	bool deleted; /* kept for those that still have it */
	size_t len;
	char *value;
	char *packed; /* compressed, made when it is sent first */
	size_t packed_len;
	UT_hash_handle hh;
};

/* A gateway's row in the store. */
struct gateway_member {
	char id[FLEET_NAME_BYTES];
	char ip[16];
	uint32_t port;
	UT_hash_handle hh;
};

struct gateway {
	h2o_loop_t *loop;
	const struct platform *platform;
	struct gateway_options opts;
	struct gwset settings;
	char id[FLEET_NAME_BYTES];
	uint64_t node;
	struct hlc hlc;

	struct ingress *callers;
	struct ingress *ready;
	struct ingress *metrics;
	struct peer_set *peers;
	struct meta *meta;
	struct watch *watch;
	struct fleet *fleet;
	struct slots *slots;
	struct split *split;
	struct quarantine *crashes;
	struct forward_list *forwards;

	struct topo *topo; /* in force, NULL before the first */
	bool have_upstreams;
	struct gateway_service *services;
	struct gateway_evacuation *evacuated;
	struct gateway_member *members;
	struct gateway_row *rows[META_TABLES]; /* of the tables that peers may ask for */
	size_t n_deleted[META_TABLES];
	uint64_t rows_version[META_TABLES]; /* of the store */
	uint64_t rows_floor[META_TABLES];   /* changes since then are known, also deleted rows */
	clk_ms copy_asked;
	struct gateway_peer *peer_states;

	struct timer tick;
	struct timer pulse;
	struct timer map_timer;
	clk_ms started;
	clk_ms last_pulse_far;
	clk_ms reads_since; /* last change of reading the store */
	struct gateway_link links[GATEWAY_MAX_LINKS];
	size_t n_links;
	clk_ms settings_checked;
	int64_t settings_mtime;
	bool registered;
	bool registering;
	bool draining;
	clk_ms drain_since;
	bool stopped;
};

/* gateway.c */
struct gateway_service *gateway_service(struct gateway *g, struct str name);
/* Called for each service of a new configuration: one divided by key gets a keeper. */
void gateway_configure_service(struct gateway *g, const struct topo_service *service);

/* gateway_peer.c */
bool gateway_peers_open(struct gateway *g, struct err *err);
/* State of this gateway to the peers; `everyone` includes those of other regions. */
struct gateway_peer *gateway_find_peer(struct gateway *g, uint64_t node);
/* A service that is divided by key, NULL if it is not known as one. */
struct gateway_service *gateway_keyed_service(struct gateway *g, const char *name);
/* Upstream that owns the key, 0 if none is known. */
uint64_t gateway_owner(void *gateway, const char *service, uint32_t key);
/* Empty if the upstream is not known. */
struct str gateway_region_of(const struct gateway *g, uint64_t upstream);
/* Time until a message to a gateway was answered, or that has passed without an answer. */
void gateway_note_answer(void *gateway, uint64_t node, clk_ms ms);
/* Whether the link that the request has to cross, if any, has room for its body. */
bool gateway_may_cross(void *gateway, const struct topo_service *service, uint32_t key,
		       struct str region, size_t bytes);
void gateway_send_pulse(struct gateway *g, bool everyone);
/* Whether the peer is in the region of this gateway. */
bool gateway_is_near(const struct gateway *g, const struct gateway_peer *p);
void gateway_broadcast(struct gateway *g, Bc__Frame *frame);
bool gateway_send(void *gateway, uint64_t node, Bc__Frame *frame);
/* The least processor time of a gateway of the region that lends, keeps and reads for others. */
uint32_t gateway_strong_cpu(const struct gateway *g, const char *region);
uint64_t gateway_lender(void *gateway, const struct slot_pool *pool, uint32_t key);
/* Peer that keeps the service with the highest term, NULL if none is heard. */
struct gateway_peer *gateway_find_keeper(struct gateway *g, uint64_t service, clk_ms now);
bool gateway_peers_agree(void *gateway, const char *service, uint64_t term);
/* Takes over services whose keeper is gone, in an order that is the same for all gateways. */
void gateway_elect(struct gateway *g, clk_ms now);
void gateway_peers_close(struct gateway *g);

/* gateway_key.c */
/* Owners of keys changed here: the peers get the changes soon. */
void gateway_map_changed(struct gateway *g, struct gateway_service *s);
void gateway_on_map_timer(struct timer *timer, void *gateway);
/* A peer keeps the service and has sent this version of its map: asks for it if it is not here. */
void gateway_check_map(struct gateway *g, struct gateway_service *s, uint64_t from, uint64_t term,
		       uint64_t version);
/* The maps of all services kept here, for a new peer. */
void gateway_send_maps(struct gateway *g, uint64_t to);
/* A request for a key was decided here. */
void gateway_on_key(void *gateway, const char *service, uint32_t key);
void gateway_report_keys(struct gateway *g, clk_ms now);
/* False if the frame is not about keys. */
bool gateway_on_key_frame(struct gateway *g, uint64_t from, const Bc__Frame *frame);

/* gateway_doc.c */
void gateway_on_rows(void *gateway, enum meta_table table, bool whole, bool recovered,
		     const struct meta_answer *answer);
void gateway_register(struct gateway *g);
void gateway_docs_close(struct gateway *g);

/* gateway_table.c */
/* Decides whether this gateway follows the store itself or leaves that to others. */
void gateway_choose_readers(struct gateway *g, clk_ms now);
/* Keeps rows that were read for the peers, and passes them on to those that rely on this one. */
void gateway_keep_rows(struct gateway *g, enum meta_table table, bool whole, bool recovered,
		       const struct meta_answer *a);
/* A peer knows newer rows than this gateway, which does not follow the store: asks for them. */
void gateway_ask_copies(struct gateway *g, uint64_t from, clk_ms now);
void gateway_send_copy(struct gateway *g, uint64_t to, const Bc__TableGet *get);
void gateway_take_copy(struct gateway *g, uint64_t from, const Bc__TableCopy *copy);
void gateway_tables_close(struct gateway *g);

#endif
