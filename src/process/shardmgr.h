/*
 * Keeper of a service that is divided by key: the one gateway that decides which upstream owns
 * which keys. The role and the map of owners are rows of the store; the row of the role is the
 * condition of every change of the map, so a keeper that was replaced changes nothing any more.
 *
 * A successor keeps all owners: granting a key to its holder again with a higher fence is always
 * safe. Only a move needs care: the former owner releases the keys under the new fence, or is known
 * to have ended, or its lease has run out, before the new owner gets them.
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
#include "process/watch.h"
#include "proto/bamboocroft.pb-c.h"

struct shardmgr_env {
	h2o_loop_t *loop;
	const struct platform *platform;
	struct meta *meta;
	struct watch *watch;
	struct fleet *fleet;
	clk_ms hold_max;
	size_t row_bytes; /* a row of the store has at most so many, in base64 */
	uint64_t node;	  /* this gateway */
	void *data;
	/* Requests per second that an upstream of the service can answer. */
	double (*capacity)(void *data, const char *service, uint64_t upstream);
	/* Path that an upstream of the service answers when it is well. */
	struct str (*health_path)(void *data, const char *service);
	/* Owners changed; a view of all keys. `keeping`: decided here and not heard from a peer. */
	void (*on_owners)(void *data, const char *service);
	/* This gateway became keeper or stopped being it. */
	void (*on_role)(void *data, const char *service, bool keeping);
	/*
	 * Whether the gateways that can be heard leave no doubt that nobody else became keeper
	 * while the store does not answer.
	 */
	bool (*peers_agree)(void *data, const char *service, uint64_t term);
};

struct shardmgr;

struct shardmgr *shardmgr_create(const struct shardmgr_env *env, const char *service);
void shardmgr_destroy(struct shardmgr *mgr);

const char *shardmgr_service(const struct shardmgr *mgr);
bool shardmgr_is_active(const struct shardmgr *mgr);
/* An attempt to become keeper is under way. */
bool shardmgr_is_acquiring(const struct shardmgr *mgr);
uint64_t shardmgr_term(const struct shardmgr *mgr);
/* Tries to become keeper. */
void shardmgr_acquire(struct shardmgr *mgr);
/* Another gateway keeps the service under this term. */
void shardmgr_observe_term(struct shardmgr *mgr, uint64_t term);
/* Gives the role up, for a planned stop; the leases go on until the successor renews them. */
void shardmgr_resign(struct shardmgr *mgr);

/* Owner of a key, 0 if it has none that may be used now. */
uint64_t shardmgr_owner(const struct shardmgr *mgr, uint32_t key);
/* A request for the key arrived at the keeper. */
void shardmgr_record_request(struct shardmgr *mgr, uint32_t key);
/* An upstream refused a request because it does not hold the key. */
void shardmgr_report_misplaced(struct shardmgr *mgr, uint32_t key, uint64_t upstream);
/* The set of upstreams, or what is known of them, has changed. */
void shardmgr_fleet_changed(struct shardmgr *mgr);

/* The whole map as it was sent last, for a peer that has none. NULL: it will be sent with the next
 * changes. */
Bc__KeyMap *shardmgr_full_map(const struct shardmgr *mgr, struct arena *a);
/* Version of the map that was sent last, 0: none in this term. */
uint64_t shardmgr_map_version(const struct shardmgr *mgr);
/* Whether the map known here is at least as new as this one of a peer. */
bool shardmgr_map_is_known(const struct shardmgr *mgr, uint64_t term, uint64_t version);
/* What changed since the last call, for all peers. */
Bc__KeyMap *shardmgr_map_changes(struct shardmgr *mgr, struct arena *a);
/* A map from the keeper. */
enum keymap_result shardmgr_apply_map(struct shardmgr *mgr, const Bc__KeyMap *map);

#endif
