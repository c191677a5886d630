/*
 * Shard manager of a keyed service, that is, one where an upstream runs a request only while it has
 * a lease of the request's key: the one gateway that decides which upstream owns which keys. Reads
 * the registered upstreams and recent requests; grants key leases to upstreams and publishes the
 * ownership map of key ranges. Gateways without the role use the same object to hold a copy of the
 * map that the shard manager sends.
 *
 * The role and the ownership map are rows of the store. Every write of the map is conditional on
 * the row of the role, so a shard manager that was replaced cannot write the map any more.
 *
 * A successor leaves all keys with their owners: granting keys to their owner again under a higher
 * fencing token is always safe. Only a move could give keys two owners. Before the new owner is
 * granted the keys, the former owner releases them under the new fencing token, or its lease
 * expires. A successor moves no keys, and takes no lease of its predecessor as expired, before most
 * gateways of the electorate in the row of the role have consented to its term: until then the
 * predecessor may act without the store, see voters.h.
 */
#ifndef PROCESS_SHARDMGR_H
#define PROCESS_SHARDMGR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <h2o.h>

#include "base/clk.h"
#include "process/fleet.h"
#include "process/keymap.h"
#include "process/platform.h"
#include "process/voters.h"
#include "process/watch.h"
#include "proto/bamboocroft.pb-c.h"

/* Longest name of a keyed service. The longest key of its rows is "owners/ERA/NAME". */
#define SHARDMGR_MAX_NAME_BYTES (META_MAX_KEY_BYTES - (sizeof("owners/1048575/") - 1))

struct shardmgr_env {
	h2o_loop_t *loop;
	const struct platform *platform;
	struct meta *meta;
	struct watch *watch;
	struct fleet *fleet;
	struct answer_memory *answers; /* limits the answers being read */
	clk_ms hold_max;	       /* longest key lease that may be granted */
	/* No upstream gets the address of another one earlier than this after the other's end. */
	clk_ms address_reuse;
	size_t row_bytes; /* longest value of a row of the store, counted in base64 */
	uint64_t node;	  /* this gateway */
	void *data;	  /* first argument of the callbacks below */
	/* Returns the requests per second that an upstream of the service can answer. */
	double (*capacity)(void *data, const char *service, uint64_t upstream);
	/* Returns the path of the service's health check, empty if it has none. */
	struct str (*health_path)(void *data, const char *service);
	/* Called after the ownership map known to this gateway has changed, whoever changed it. */
	void (*on_owners)(void *data, const char *service);
	/* Called after this gateway acquired (`active`) or lost the role of shard manager. */
	void (*on_role)(void *data, const char *service, bool active);
	/* Sets the gateways that may vote about the role, as far as this one knows them. */
	void (*electorate)(void *data, struct electorate *out);
	/* The store confirmed the role at `sent` or later: see voters_role_confirmed(). */
	void (*role_confirmed)(void *data, const char *service, clk_ms sent);
	/* See voters_support(). */
	bool (*peers_support)(void *data, const char *service, const struct electorate *e,
			      uint64_t term, clk_ms since);
	/* See voters_knew_none_above(). */
	bool (*peers_knew_none_above)(void *data, const char *service, const struct electorate *e,
				      uint64_t term, uint64_t last);
	/* Asks the other gateways to answer at once whether they support the role. */
	void (*ask_peers)(void *data);
	/* See voters_consent(). */
	bool (*peers_consent)(void *data, const char *service, const struct electorate *e,
			      uint64_t term);
	/* Whether this gateway hears from most gateways that may become shard manager. */
	bool (*hears_most)(void *data);
	/* Whether this gateway hears from all gateways that may become shard manager. */
	bool (*hears_all)(void *data);
	/*
	 * Returns the last time before the restore to `era` at which the store answered another
	 * gateway, as far as this one heard; 0: none is known.
	 */
	clk_ms (*others_answered_at)(void *data, uint64_t era);
	/*
	 * Whether this gateway has all ownership maps of the shard manager in `term`, which is in
	 * touch or has ended.
	 */
	bool (*has_all_maps)(void *data, const char *service, uint64_t term);
};

struct shardmgr;

struct shardmgr *shardmgr_create(const struct shardmgr_env *env, const char *service);
void shardmgr_destroy(struct shardmgr *mgr);

const char *shardmgr_service(const struct shardmgr *mgr);
/* Whether this gateway is the shard manager of the service, as far as it knows. */
bool shardmgr_is_active(const struct shardmgr *mgr);
/* Whether an attempt to acquire the role is in progress, or calls of an earlier term are open. */
bool shardmgr_is_acquiring(const struct shardmgr *mgr);
/*
 * Whether another gateway may have the role without the knowledge of this one, which has it: if the
 * store were restored now, this one would give it up.
 */
bool shardmgr_is_unsure(const struct shardmgr *mgr);
/* Returns the highest term of any shard manager of the service that is known here. */
uint64_t shardmgr_term(const struct shardmgr *mgr);
/* Returns the highest term in which a gateway was seen to have the role; no lower one is followed.
 */
uint64_t shardmgr_followed_term(const struct shardmgr *mgr);
/* Returns the highest term of that kind before this one, 0 if there was none. */
uint64_t shardmgr_former_term(const struct shardmgr *mgr);
/* What other gateways say of the role has changed. */
void shardmgr_votes_changed(struct shardmgr *mgr);
/*
 * Starts an attempt to acquire the role, unless this gateway has it, is stopping, or waits for
 * answers to calls of an earlier term.
 */
void shardmgr_acquire_role(struct shardmgr *mgr);
/* Records that another gateway is shard manager in `term`; steps down if that term is higher. */
void shardmgr_observe_term(struct shardmgr *mgr, uint64_t term);
/*
 * Prepares a planned stop: no further moves are planned and the role is not acquired again. Leases
 * are still renewed until the successor takes over.
 */
void shardmgr_resign(struct shardmgr *mgr);

/* Returns the upstream to which requests for the key may be sent now, 0 if there is none. */
uint64_t shardmgr_owner(const struct shardmgr *mgr, uint32_t key);
/* Counts a request for the key as load; ignored unless this gateway is the shard manager. */
void shardmgr_record_request(struct shardmgr *mgr, uint32_t key);
/*
 * Records that `upstream` refused a request because it has no lease of the key. If the shard
 * manager regards the upstream as the owner, it grants the range again.
 */
void shardmgr_report_misplaced(struct shardmgr *mgr, uint32_t key, uint64_t upstream);
/* Plans again soon, because the registered upstreams or their states have changed. */
void shardmgr_fleet_changed(struct shardmgr *mgr);

/*
 * Returns the whole ownership map as it was last sent to the peers, for a peer that has none. NULL
 * if nothing was sent in this term: then the next changes contain the whole map.
 */
Bc__KeyMap *shardmgr_full_map(const struct shardmgr *mgr, struct arena *a);
/* Returns the whole map as it is known here, also from another shard manager; NULL if none is. */
Bc__KeyMap *shardmgr_known_map(const struct shardmgr *mgr, struct arena *a);
/* Returns the version of the map that was last sent to the peers, 0 if none was in this term. */
uint64_t shardmgr_map_version(const struct shardmgr *mgr);
/* Whether the map known here is at least as new as this version of a peer's map. */
bool shardmgr_map_is_known(const struct shardmgr *mgr, uint64_t term, uint64_t version);
/* Returns what changed in the map since the last call, to be sent to all peers. */
Bc__KeyMap *shardmgr_map_changes(struct shardmgr *mgr, struct arena *a);
/* Applies a map or changes that the shard manager sent; ignored if this gateway is active. */
enum keymap_result shardmgr_apply_map(struct shardmgr *mgr, const Bc__KeyMap *map);

#endif
