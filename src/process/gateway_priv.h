/*
 * Internals of the gateway, shared by gateway.c (startup, timers, shutdown), gateway_peer.c
 * (heartbeats, roles and elections), gateway_mesh.c (which gateways exist and which are connected),
 * gateway_key.c (ownership maps and reports of key usage that gateways exchange), gateway_doc.c
 * (rows of the store: configuration, upstreams), gateway_table.c (which gateways read the store and
 * how they pass rows on), gateway_link.c (load of the links to other regions) and gateway_limit.c
 * (allowances of client accounts).
 *
 * A store reader, or reader, is a gateway that follows the store's tables itself. The other
 * gateways of its region are passive: they get the changes from readers.
 */
#ifndef PROCESS_GATEWAY_PRIV_H
#define PROCESS_GATEWAY_PRIV_H

#include <h2o.h>

#include "base/hash.h"
#include "base/hlc.h"
#include "connection/ingress.h"
#include "connection/peer.h"
#include "connection/timer.h"
#include "process/catchup.h"
#include "process/fleet.h"
#include "process/gateway.h"
#include "process/hubs.h"
#include "process/shardmgr.h"
#include "process/link.h"
#include "process/manager_end.h"
#include "process/quarantine.h"
#include "process/readers.h"
#include "process/retry.h"
#include "process/slots.h"
#include "process/split.h"
#include "process/storeseen.h"
#include "process/watch.h"
#include "request/forward.h"

#define GATEWAY_MAX_PEERS 512
/* Most services that one heartbeat lists as managed by its sender. */
#define GATEWAY_MAX_MANAGED 16
/* Most keys in one report to the shard manager; further requests are left out. */
#define GATEWAY_MAX_REPORT_KEYS 512

/* Most other regions whose links are measured; a deployment has a handful of regions. */
#define GATEWAY_MAX_LINKS 16

/* Link to another region. */
struct gateway_link {
	char region[FLEET_NAME_BYTES];
	struct link link;
};

/* A service for which a peer is shard manager, as its last heartbeat said. */
struct gateway_managed {
	uint64_t service; /* hash of its name */
	uint64_t term;
	uint64_t version; /* of its ownership map */
	bool unsure;	  /* see shardmgr_is_unsure() */
};

/* A connected gateway and its state according to its last heartbeat. */
struct gateway_peer {
	uint64_t node;
	uint64_t id; /* hash of its name, the same over restarts */
	char name[FLEET_NAME_BYTES];
	char region[FLEET_NAME_BYTES];
	bool hub;	       /* see hubs.h */
	bool stranger_logged;  /* the log says that it is not registered */
	clk_ms heartbeat_sent; /* when the last heartbeat was sent to it */
	clk_ms silent_until;   /* no slot requests until then: it did not answer, 0: none */
	bool draining;
	bool store_ok;		   /* the peer's calls to the store succeed; false if passive */
	clk_ms store_ms;	   /* fastest answer that the peer had from the store */
	clk_ms heartbeat_received; /* when its last heartbeat arrived, 0: none yet */
	uint32_t cpu_millis;	   /* CPU time that the peer may use, 1/1000 core */
	bool reads;		   /* the peer is a store reader */
	clk_ms reader_changed_at;  /* arrival of the heartbeat that changed `reads` last */
	bool read_failed;	   /* see reader_info.failed */
	clk_ms store_answered_at;  /* when the store last answered the peer, by the local clock */
	/* Era of the store for which gateway_request_config() asked it last, 0: not yet. */
	uint64_t config_era;
	/* The peer's clock when it sent its last heartbeat as shard manager, 0: it is none. */
	uint64_t asked_ms;
	size_t n_manages; /* length of `manages` */
	/* Services for which the peer is shard manager. */
	struct gateway_managed manages[GATEWAY_MAX_MANAGED];
	UT_hash_handle hh;
};

/* State of the gateway for one service. */
struct gateway_service {
	uint64_t id; /* hash of the name */
	char name[FLEET_NAME_BYTES];
	struct retry retry;
	clk_ms retry_refusal_logged; /* last log line about a used up retry budget */
	struct shardmgr *shardmgr;   /* shard management of a keyed service, NULL for others */
	/* Start of the wait before the next attempt to become shard manager, 0: no wait. */
	clk_ms no_shardmgr_since;
	bool map_send_due;	 /* changed owners are sent when `map_timer` expires */
	clk_ms map_requested_at; /* last request for the whole ownership map */
	unsigned map_requests;	 /* such requests since a map was applied last */
	struct manager_end manager_end;
	/* Processes of the others; what they say of the role, while this gateway has it. */
	struct voters voters;
	uint64_t counted_in; /* highest term whose shard manager counted this process */
	/*
	 * Keys of requests that this gateway received as admission controller since its last
	 * report to the shard manager; a key is repeated for each request.
	 */
	uint32_t request_keys[GATEWAY_MAX_REPORT_KEYS];
	size_t n_request_keys;
	clk_ms last_key_report; /* time of the last report, sent or dropped */
	UT_hash_handle hh;
};

/* A failure domain that operators have evacuated. */
struct gateway_evacuation {
	char failure_domain[FLEET_NAME_BYTES];
	/* The restored store lacks its row: it ends then unless it is written again. Else never. */
	clk_ms ends_at;
	/* When it was known that the store has answered since then; 0: it has not. */
	clk_ms answer_seen;
	bool in_full_read; /* contained in the full read that is being applied */
	UT_hash_handle hh;
};

/* Copy of a row of the store, for passive peers. */
struct gateway_row {
	char key[FLEET_NAME_BYTES];
	uint64_t version;
	bool deleted; /* stays listed so that the deletion reaches peers that have the row */
	bool present; /* contained in the full read that is being applied */
	size_t len;
	char *value;
	char *compressed; /* `value` compressed with zlib, made when first sent; NULL before */
	size_t compressed_len;
	UT_hash_handle hh;
};

/* A gateway that is registered in the store, this one included. */
struct gateway_member {
	char id[FLEET_NAME_BYTES];
	uint64_t id_hash;
	char ip[16];
	uint32_t port;
	char region[FLEET_NAME_BYTES];
	uint32_t cpu_millis;  /* CPU time that it may use, 1/1000 core */
	uint64_t row;	      /* version of its row of the store */
	bool hub;	      /* see hubs.h */
	bool chosen;	      /* `hub` is set in the choice that is under way */
	bool connected;	      /* has a connection here, or is this gateway */
	bool target;	      /* connections to it are opened from here */
	clk_ms missing_since; /* since when it has no connection here, 0: it has one */
	UT_hash_handle hh;
};

struct gateway {
	h2o_loop_t *loop;
	const struct platform *platform;
	struct gateway_options opts;
	struct gwset settings;
	char id[FLEET_NAME_BYTES];
	uint64_t node; /* random number of this process among the gateways, never 0 */
	struct hlc hlc;

	struct ingress *callers; /* server for requests of callers */
	struct ingress *ready;	 /* server for readiness checks */
	struct ingress *metrics; /* server for metrics, NULL without a metrics port */
	struct peer_set *peers;
	struct meta *meta;
	struct watch *watch;
	struct fleet *fleet;
	struct slots *slots;
	struct split *split;
	struct quarantine *crashes; /* crashed upstreams, counted by request fingerprint */
	struct forward_list *forwards;
	struct account_stats *accounts;
	struct gateway_limits *limits; /* NULL until a configuration has client accounts */
	struct answer_memory answers;  /* of upstreams, read and being written */
	struct door door;	       /* memory held for callers */

	struct topo *topo; /* configuration in force, NULL before the first one */
	/* Its row, which a restored store may lack. NULL before the first one. */
	struct gateway_row *config_row;
	bool have_upstreams; /* the table of upstreams was read at least once */
	/* Highest version of the rows read so far; what the log has of them is not repeated. */
	uint64_t newest_upstream_row;
	uint64_t newest_router_row;
	bool awaits_lost; /* what a restore lost may be written again, see gateway_end_lost() */
	uint64_t restored_upstream_row; /* version at the first read since a restore, 0: none */
	struct gateway_service *services;
	struct gateway_evacuation *evacuated;
	struct gateway_member *members;
	bool members_known;  /* the table of gateways was read */
	bool mesh_changed;   /* members or connections have changed since the last choice of hubs */
	clk_ms mesh_updated; /* last choice of hubs */
	bool is_hub;	     /* this gateway is a hub, see hubs.h */
	struct gateway_row *rows[META_TABLES]; /* only of the tables that gateways share */
	size_t n_deleted[META_TABLES];	       /* deleted rows in `rows` */
	uint64_t rows_version[META_TABLES];    /* store version up to which `rows` is complete */
	/* Store version after which `rows` has every change, deleted rows included. */
	uint64_t rows_history_start[META_TABLES];
	clk_ms copies_requested_at; /* last request to a peer for copies of tables */
	unsigned copies_requests;   /* such requests since a copy was applied last */
	struct catchup catchup;
	clk_ms readers_seen; /* when a reader with a recent answer was known last */
	struct gateway_peer *peer_states;
	struct storeseen peers_store; /* answers of the store to registered peers */

	struct timer tick;
	struct timer heartbeat_timer;
	struct timer map_timer; /* sends changed owners of keys to the peers */
	clk_ms started;
	clk_ms reader_changed_at; /* when this gateway last became or ceased to be a reader */
	clk_ms read_failed_at;	  /* when it ceased to read without an answer, or 0 */
	struct gateway_link links[GATEWAY_MAX_LINKS];
	size_t n_links;
	clk_ms settings_checked_at; /* last comparison of the settings file's modification time */
	int64_t settings_mtime;	    /* modification time of the settings in force, UTC ns */
	bool registered;	    /* the store has a row with the address of this gateway */
	bool row_lost;		    /* that row was lost when the store was restored */
	clk_ms registered_since;    /* when `registered` became true last */
	bool joining;		    /* a call of the registration is pending */
	clk_ms join_next;	    /* no such call before this time */
	clk_ms join_pause;	    /* pause after the next failure of such a call */
	bool draining;		    /* a planned stop is under way */
	clk_ms drain_since;	    /* start of the planned stop */
	bool stopped;		    /* the event loop ends */
};

/* gateway.c */
/* Returns the state of a service, created if needed. */
struct gateway_service *gateway_service(struct gateway *g, struct str name);
/* Called for each service of a new configuration; creates the shard manager of a keyed one. */
void gateway_configure_service(struct gateway *g, const struct topo_service *service);

/* Whether this gateway is shard manager of any service. */
bool gateway_is_shardmgr(const struct gateway *g);

/* gateway_peer.c */
/* Starts to listen for other gateways; sets `err` and returns false if that fails. */
bool gateway_peers_open(struct gateway *g, struct err *err);
/* Returns a connected gateway, NULL if there is no connection to the node. */
struct gateway_peer *gateway_find_peer(struct gateway *g, uint64_t node);
/* Returns the state of a keyed service, NULL if no keyed service has this name. */
struct gateway_service *gateway_keyed_service(struct gateway *g, const char *name);
/* Returns the upstream to which requests for the key may be sent, 0 if none is known. */
uint64_t gateway_owner(void *gateway, const char *service, uint32_t key);
/* Returns the region of an upstream, STR_NULL if the upstream is not known. */
struct str gateway_region_of(const struct gateway *g, uint64_t upstream);
/*
 * Records how long a gateway took to answer a message, or has not answered yet, as a measure of
 * the link to its region. Ignored for gateways of the same region.
 */
void gateway_note_answer_time(void *gateway, uint64_t node, clk_ms ms);
/*
 * Whether the body of a request may be sent to the region of the key's owner (keyed service) or to
 * `region` (other service). False if the link to that region is congested and the body is large.
 */
bool gateway_may_cross_link(void *gateway, const struct topo_service *service, uint32_t key,
			    struct str region, size_t bytes);
/* Sends a heartbeat at once to all peers of the same region, with `all_regions` to every peer. */
void gateway_send_heartbeat(struct gateway *g, bool all_regions);
/* Sends heartbeats to the peers for which one is due. */
void gateway_send_due_heartbeats(struct gateway *g, clk_ms now);
/* Notes that a gateway did not answer a slot request in time. */
void gateway_note_no_answer(void *gateway, uint64_t node);
bool gateway_in_same_region(const struct gateway *g, const struct gateway_peer *p);
void gateway_broadcast(struct gateway *g, Bc__Frame *frame);
/*
 * Returns the hub that passes messages on to a gateway that is no hub (hash of its name): a hub of
 * this region, the same at all gateways as long as they see the same hubs; 0 if there is none.
 */
uint64_t gateway_relay_of(const struct gateway *g, uint64_t leaf);
/* Sends a frame to a gateway; returns false if there is no connection to the node. */
bool gateway_send(void *gateway, uint64_t node, Bc__Frame *frame);
/*
 * Returns the CPU time (1/1000 core) that a gateway needs to be admission controller or reader in
 * the region.
 */
uint32_t gateway_min_role_cpu(const struct gateway *g, const char *region);
/*
 * Returns the gateway that is the admission controller of the pool, for a keyed service that of the
 * key's owner; 0 if none is known.
 */
uint64_t gateway_controller(void *gateway, const struct slot_pool *pool, uint32_t key);
/*
 * Returns the peer that reports the highest term as shard manager of the service (hash of its
 * name), NULL if no peer with a recent heartbeat is shard manager.
 */
struct gateway_peer *gateway_find_shardmgr(struct gateway *g, uint64_t service, clk_ms now);
/* The gateways that vote about roles of shard managers are the hubs. */
void gateway_electorate(void *gateway, struct electorate *out);
/* See the callbacks of these names in shardmgr.h. */
void gateway_role_confirmed(void *gateway, const char *service, clk_ms sent);
bool gateway_peers_support(void *gateway, const char *service, const struct electorate *e,
			   uint64_t term, clk_ms since);
void gateway_ask_peers(void *gateway);
bool gateway_peers_knew_none_above(void *gateway, const char *service, const struct electorate *e,
				   uint64_t term, uint64_t last);
bool gateway_peers_consent(void *gateway, const char *service, const struct electorate *e,
			   uint64_t term);
/* Whether a shard manager that is connected says that the store does not answer it. */
bool gateway_shardmgr_lacks_store(const struct gateway *g);
/* Whether most hubs are connected, this gateway counted as one. */
bool gateway_hears_most(void *gateway);
/* Whether all gateways are connected to which this one keeps a connection. */
bool gateway_hears_all(void *gateway);
/* See others_answered_at() in shardmgr.h. */
clk_ms gateway_others_answered_at(void *gateway, uint64_t era);
/* See has_all_maps() in shardmgr.h. */
bool gateway_has_all_maps(void *gateway, const char *service, uint64_t term);
/*
 * Tries to become shard manager of each service whose shard manager failed, stops or is cut
 * off from the store. All gateways compute the same order of candidates.
 */
void gateway_elect(struct gateway *g, clk_ms now);
void gateway_peers_close(struct gateway *g);

/* gateway_key.c */
/* Called when owners of keys changed; schedules sending them if this is the shard manager. */
void gateway_owners_changed(struct gateway *g, struct gateway_service *s);
void gateway_on_map_timer(struct timer *timer, void *gateway);
/*
 * Called when shard manager `from` reports the version of its ownership map, 0 if it has sent none
 * in this term; requests the whole map if the local copy is older, and tells the shard manager if
 * the local copy is from a later term.
 */
void gateway_check_map(struct gateway *g, struct gateway_service *s, uint64_t from, uint64_t term,
		       uint64_t version);
/* Sends a new peer the ownership maps, if it gets them from this gateway. */
void gateway_send_maps(struct gateway *g, const struct gateway_peer *to);
/* Counts a request that this gateway received as admission controller, for the shard manager. */
void gateway_note_key_request(void *gateway, const char *service, uint32_t key);
/* Sends the counted requests to the shard managers when a report is due. */
void gateway_report_keys(struct gateway *g, clk_ms now);
/* Handles frames about keys; returns false for any other frame. */
bool gateway_on_key_frame(struct gateway *g, uint64_t from, const Bc__Frame *frame);

/* gateway_limit.c */
void gateway_limits_close(struct gateway *g);
/* Asks holders for tokens, and ends requests that have waited for them too long. */
void gateway_limits_tick(struct gateway *g, clk_ms now);
/* Applies the allowances of a new configuration. */
void gateway_limits_configure(struct gateway *g);
/* A connection has closed; `ended`: the process at the other end has closed it. */
void gateway_limits_node_down(struct gateway *g, uint64_t node, bool ended);
/* Handles frames about limits; returns false for any other frame. */
bool gateway_on_limit_frame(struct gateway *g, uint64_t from, const Bc__Frame *frame);
/* See forward_env. */
enum share_result gateway_take_allowance(void *gateway, const struct topo_account *account,
					 struct forward_waiter *w);
void gateway_cancel_allowance(void *gateway, struct forward_waiter *w);
void gateway_spend_allowance(void *gateway, const struct topo_account *account);
void gateway_return_allowance(void *gateway, const struct topo_account *account);
void gateway_charge_allowance(void *gateway, const struct topo_account *account);

/* gateway_mesh.c */
void gateway_mesh_open(struct gateway *g);
void gateway_mesh_close(struct gateway *g);
/* Registers this gateway, chooses the hubs and the connections to open. Called by the timer. */
void gateway_update_mesh(struct gateway *g, clk_ms now);
/* Applies rows of the table of gateways. */
void gateway_on_router_rows(struct gateway *g, const struct meta_answer *answer);

/* gateway_doc.c */
/* Applies rows of a table, see watch_handlers.on_rows. */
void gateway_on_rows(void *gateway, enum meta_table table, const struct watch_rows *rows);
/*
 * Applies the configuration in rows of a peer that are of an earlier era of the store than the
 * table here, if it is newer than the one in force: the restored store lacks it.
 */
void gateway_apply_lost_config(struct gateway *g, const struct meta_row *rows, size_t n);
/*
 * Ends what a restore of the store lost and nobody has written again in time: evacuations and
 * registrations of upstreams. It does not end while the store does not answer.
 */
void gateway_end_lost(struct gateway *g, clk_ms now);
/* Passes the configuration and the upstreams on to admission and shard management. */
void gateway_sync_services(struct gateway *g);
void gateway_docs_close(struct gateway *g);

/* gateway_table.c */
/* Decides whether this gateway is a store reader or passive. */
/* See reader_info.failed. */
bool gateway_read_failed(const struct gateway *g, clk_ms now);
void gateway_choose_readers(struct gateway *g, clk_ms now);
/* Returns the time of the last answer of the store to this gateway or to a peer. */
clk_ms gateway_store_answered_at(const struct gateway *g);
/* Caches rows for the peers; a reader also sends them to the passive peers assigned to it. */
void gateway_cache_rows(struct gateway *g, enum meta_table table, const struct watch_rows *rows);
/* Requests newer rows from a peer; does nothing if the last request was very recent. */
void gateway_request_copies(struct gateway *g, uint64_t from, clk_ms now);
/* Keeps the row of the configuration in force for peers. */
void gateway_keep_config(struct gateway *g, const struct meta_row *row);
/*
 * For some time after the start, requests the configuration in force from each peer, once for
 * each era of the store after the first: one that was restored shortly before does not have it.
 */
void gateway_request_config(struct gateway *g, clk_ms now);
/*
 * Sends a peer what changed in a table after the version that it has, and the configuration in
 * force if that is from before a restore of the store which the peer knows.
 */
void gateway_send_copy(struct gateway *g, uint64_t to, const Bc__TableGet *get);
/*
 * Applies rows from a peer; if this gateway lacks earlier changes, requests the missing changes
 * from the peer.
 */
void gateway_apply_copy(struct gateway *g, uint64_t from, const Bc__TableCopy *copy);
void gateway_tables_close(struct gateway *g);

#endif
