/*
 * The shard manager's rows of the store: acquires the role, writes the ownership map, and confirms
 * that this gateway still has the role. The row of the role holds the term; the row of the map
 * holds the ranges, their owners and former owners, and the highest fencing token reserved.
 */
#include "process/shardmgr_priv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"

/* Pause before the next write of the map, after a write or a reread of its row failed. */
#define COMMIT_RETRY_MS 200
/* A replaced shard manager that cannot be reached renews leases at most this long. */
#define FORMER_MGR_RENEWAL_MS (SHARDMGR_STORE_SILENCE_MS + 1500)

static const struct log log = {"keeper"};
CTR(ctr_terms, "keeper_terms_total", "Times that this gateway became keeper of a service.");

/* Returns the key of the role's row, written to `buf`. */
static struct str role_key(const struct shardmgr *mgr, char *buf, size_t size)
{
	snprintf(buf, size, "keeper/%s", mgr->service);
	return str_from(buf);
}

/* Returns the key of the map's row, written to `buf`. */
static struct str map_key(const struct shardmgr *mgr, char *buf, size_t size)
{
	snprintf(buf, size, "map/%s", mgr->service);
	return str_from(buf);
}

static const struct meta_row *find_row(const struct meta_answer *a, struct str key)
{
	for (size_t i = 0; i < a->n_rows; i++) {
		if (str_eq(a->rows[i].key, key))
			return &a->rows[i];
	}
	return NULL;
}

/* Returns the upstream with a number of the row, 0 if there is none. */
static uint64_t upstream_at(const Bc__KeyRow *map, uint32_t number)
{
	return number && number <= map->n_upstreams ? map->upstreams[number - 1] : 0;
}

/* Returns the unpacked map, NULL if the row is not a valid map of all keys. */
static Bc__KeyRow *unpack_map(const struct shardmgr *mgr, const struct meta_row *row)
{
	Bc__KeyRow *map =
		bc__key_row__unpack(NULL, row->value.len, (const uint8_t *)row->value.ptr);
	bool valid = map && map->n_owner == map->n_to && map->n_former == map->n_to &&
		     map->n_second_former == map->n_to && map->n_to &&
		     map->to[map->n_to - 1] == mgr->env.platform->key_space - 1;

	for (size_t i = 1; valid && i < map->n_to; i++)
		valid = map->to[i - 1] < map->to[i];
	if (valid || !map)
		return map;
	bc__key_row__free_unpacked(map, NULL);
	return NULL;
}

/*
 * Loads the ranges that the former shard manager stored; each is granted again under a new fencing
 * token. Without a row all keys are one range without an owner. False if the row is invalid.
 */
static bool load_map(struct shardmgr *mgr, const struct meta_row *row, clk_ms now)
{
	Bc__KeyRow *map = row ? unpack_map(mgr, row) : NULL;
	struct key_range **end = &mgr->ranges;
	clk_ms last_lease_end = shardmgr_lease_end(mgr, now + FORMER_MGR_RENEWAL_MS);
	uint32_t from = 0;

	shardmgr_ranges_clear(mgr);
	mgr->fence = 0;
	mgr->fence_limit = 0;
	if (row && !map) {
		/* Only the row shows who may have leases and which fencing tokens were used. */
		log_error(
			&log,
			"the map of %s is invalid; restore an earlier value of its row, or restart "
			"its upstreams and delete the row",
			mgr->service);
		return false;
	}
	for (size_t i = 0; map && i < map->n_to; i++) {
		struct key_range *r = shardmgr_range_new(mgr, from, map->to[i]);
		uint64_t former = upstream_at(map, map->former[i]);

		from = map->to[i] + 1;
		r->owner = upstream_at(map, map->owner[i]);
		r->former = former;
		r->phase = !r->owner ? KEY_UNOWNED : former ? KEY_RELEASING : KEY_GRANTING;
		r->former_lease_end = last_lease_end;
		r->owner_lease_end = last_lease_end;
		r->second_former = upstream_at(map, map->second_former[i]);
		r->second_former_lease_end = last_lease_end;
		r->owner_may_hold = r->phase == KEY_RELEASING;
		r->moved_at = now;
		/*
		 * A grant of the former shard manager may be unanswered. Still the former owner is
		 * not sent a higher fencing token: that would be a grant to it, and the owner may
		 * already have a lease.
		 */
		r->unanswered_until = last_lease_end;
		*end = r;
		end = &r->next;
	}
	if (!mgr->ranges)
		mgr->ranges = shardmgr_range_new(mgr, 0, mgr->env.platform->key_space - 1);
	mgr->fence = (map ? map->fence : 0) + 2;
	for (struct key_range *r = mgr->ranges; r; r = r->next) {
		r->fence = mgr->fence;
		r->serial = mgr->serial;
	}
	if (map)
		bc__key_row__free_unpacked(map, NULL);
	return true;
}

/* Returns the number of the upstream in the row, which is added if missing; 0 for none. */
static uint32_t upstream_number(Bc__KeyRow *row, uint64_t upstream)
{
	if (!upstream)
		return 0;
	for (size_t i = row->n_upstreams; i > 0; i--) {
		if (row->upstreams[i - 1] == upstream)
			return (uint32_t)i;
	}
	row->upstreams[row->n_upstreams++] = upstream;
	return (uint32_t)row->n_upstreams;
}

/* Returns the packed row of the map, which the caller frees; reserves fencing tokens. */
static void *pack_map(struct shardmgr *mgr, size_t *len)
{
	struct arena a = ARENA_INIT;
	Bc__KeyRow row = BC__KEY_ROW__INIT;
	size_t bytes = mgr->n_ranges * sizeof(uint32_t);
	size_t n = 0;
	void *out;

	row.upstreams = arena_alloc(&a, mgr->n_ranges * 3 * sizeof(uint64_t));
	row.to = arena_alloc(&a, bytes);
	row.owner = arena_alloc(&a, bytes);
	row.former = arena_alloc(&a, bytes);
	row.second_former = arena_alloc(&a, bytes);
	for (const struct key_range *r = mgr->ranges; r; r = r->next) {
		row.to[n] = r->to;
		row.owner[n] = upstream_number(&row, r->owner);
		row.former[n] = upstream_number(&row, r->former);
		row.second_former[n] = upstream_number(&row, r->second_former);
		n++;
	}
	if (mgr->fence_limit < mgr->fence + SHARDMGR_FENCE_RESERVE / 2)
		mgr->fence_limit = mgr->fence + SHARDMGR_FENCE_RESERVE;
	row.fence = mgr->fence_limit;
	row.n_to = n;
	row.n_owner = n;
	row.n_former = n;
	row.n_second_former = n;
	*len = bc__key_row__get_packed_size(&row);
	out = malloc(*len + 1);
	if (!out)
		abort();
	bc__key_row__pack(&row, out);
	arena_free(&a);
	return out;
}

static void on_acquired(void *data, const struct meta_answer *a)
{
	struct shardmgr *mgr = data;
	clk_ms now = clk_now();

	watch_record_answer(mgr->env.watch, a->status);
	if (mgr->state != SHARDMGR_ACQUIRING_ROLE)
		return;
	if (a->status != META_OK) {
		log_info(&log, "did not become keeper of %s: %s", mgr->service,
			 meta_status_name(a->status));
		mgr->state = SHARDMGR_STANDBY;
		shardmgr_ranges_clear(mgr);
		return;
	}
	mgr->state = SHARDMGR_ACTIVE;
	mgr->role_version = a->version;
	mgr->map_version = a->version;
	mgr->store_version = a->version;
	mgr->confirmed_at = now;
	mgr->committed_serial = mgr->serial;
	mgr->fence_usable = mgr->fence_limit;
	mgr->writing_serial = 0;
	mgr->reading = false;
	mgr->reread_needed = false;
	mgr->next_plan = now;
	mgr->n_requests = 0;
	ctr_inc(&ctr_terms);
	log_info(&log, "keeper of %s in term %llu, fence %llu, %zu ranges", mgr->service,
		 (unsigned long long)mgr->term, (unsigned long long)mgr->fence, mgr->n_ranges);
	mgr->env.on_role(mgr->env.data, mgr->service, true);
	/* Until the leases are renewed, requests go to the owners of the stored map. */
	for (struct key_range *r = mgr->ranges; r; r = r->next)
		r->serving = r->phase == KEY_GRANTING ? r->owner : 0;
	shardmgr_schedule_publish(mgr);
	shardmgr_confirm_role(mgr);
	shardmgr_schedule_tick(mgr);
}

/* Writes role and map in one transaction, conditional on the versions that were read. */
static void on_role_read(void *data, const struct meta_answer *a)
{
	struct shardmgr *mgr = data;
	char role_key_buf[FLEET_NAME_BYTES + 16];
	char map_key_buf[FLEET_NAME_BYTES + 16];
	struct str role = role_key(mgr, role_key_buf, sizeof(role_key_buf));
	struct str map = map_key(mgr, map_key_buf, sizeof(map_key_buf));
	const struct meta_row *role_row;
	const struct meta_row *map_row;
	uint64_t term = 0;
	char value[32];
	size_t len;
	void *packed;

	watch_record_answer(mgr->env.watch, a->status);
	if (mgr->state != SHARDMGR_ACQUIRING_ROLE)
		return;
	if (a->status != META_OK) {
		mgr->state = SHARDMGR_STANDBY;
		return;
	}
	role_row = find_row(a, role);
	map_row = find_row(a, map);
	if (role_row && !str_to_u64(role_row->value, UINT64_MAX - 1, &term))
		log_error(&log,
			  "the term in the row of %s is not a number; continuing from term %llu",
			  mgr->service, (unsigned long long)mgr->term);
	mgr->term = (term > mgr->term ? term : mgr->term) + 1;
	if (!load_map(mgr, map_row, clk_now())) {
		mgr->state = SHARDMGR_STANDBY;
		return;
	}
	packed = pack_map(mgr, &len);
	snprintf(value, sizeof(value), "%llu", (unsigned long long)mgr->term);
	struct meta_change changes[] = {
		{.key = role,
		 .conditional = true,
		 .expected = role_row ? role_row->version : 0,
		 .write = true,
		 .value = str_from(value)},
		{.key = map,
		 .conditional = true,
		 .expected = map_row ? map_row->version : 0,
		 .write = true,
		 .value = {packed, len}},
	};
	mgr->env.platform->store->commit(mgr->env.meta, META_KEYS, changes, 2, on_acquired, mgr);
	free(packed);
}

void shardmgr_acquire_role(struct shardmgr *mgr)
{
	if (mgr->state != SHARDMGR_STANDBY || mgr->stopping)
		return;
	mgr->state = SHARDMGR_ACQUIRING_ROLE;
	mgr->env.platform->store->read(mgr->env.meta, META_KEYS, on_role_read, mgr);
}

/* ---- writes of the map ---------------------------------------------------------------------- */

static void on_reread(void *data, const struct meta_answer *a)
{
	struct shardmgr *mgr = data;
	char name[FLEET_NAME_BYTES + 16];
	const struct meta_row *role;
	const struct meta_row *map;

	watch_record_answer(mgr->env.watch, a->status);
	mgr->reading = false;
	if (mgr->state != SHARDMGR_ACTIVE)
		return;
	if (a->status != META_OK) {
		mgr->next_commit = clk_now() + COMMIT_RETRY_MS;
		return;
	}
	role = find_row(a, role_key(mgr, name, sizeof(name)));
	if (!role || role->version != mgr->role_version) {
		shardmgr_step_down(mgr, "the role belongs to another gateway");
		return;
	}
	map = find_row(a, map_key(mgr, name, sizeof(name)));
	mgr->map_version = map ? map->version : 0;
	if (a->version > mgr->store_version)
		mgr->store_version = a->version;
	mgr->confirmed_at = mgr->request_sent;
	mgr->reread_needed = false;
	mgr->next_commit = 0;
	shardmgr_schedule_tick(mgr);
}

/* Reads the versions of role and map and confirms the role; steps down if it was lost. */
static void reread(struct shardmgr *mgr)
{
	mgr->request_sent = clk_now();
	mgr->reading = true;
	mgr->env.platform->store->read(mgr->env.meta, META_KEYS, on_reread, mgr);
}

static void on_committed(void *data, const struct meta_answer *a)
{
	struct shardmgr *mgr = data;
	uint64_t serial = mgr->writing_serial;

	watch_record_answer(mgr->env.watch, a->status);
	mgr->writing_serial = 0;
	if (mgr->state != SHARDMGR_ACTIVE)
		return;
	if (a->status == META_OK) {
		mgr->map_version = a->version;
		mgr->committed_serial = serial;
		mgr->fence_usable = mgr->fence_limit;
		mgr->confirmed_at = mgr->request_sent;
		shardmgr_lease_committed(mgr);
		shardmgr_schedule_tick(mgr);
		return;
	}
	log_info(&log, "the map of %s was not written: %s", mgr->service,
		 meta_status_name(a->status));
	mgr->next_commit = clk_now() + COMMIT_RETRY_MS;
	/* A write that was not refused may have been done: read the rows before the next. */
	mgr->reread_needed = a->status != META_REFUSED;
}

void shardmgr_commit(struct shardmgr *mgr)
{
	char role_key_buf[FLEET_NAME_BYTES + 16];
	char map_key_buf[FLEET_NAME_BYTES + 16];
	size_t len;
	void *packed;

	mgr->request_sent = clk_now();
	if (mgr->reread_needed) {
		reread(mgr);
		return;
	}
	packed = pack_map(mgr, &len);
	mgr->writing_serial = mgr->serial;
	struct meta_change changes[] = {
		{.key = role_key(mgr, role_key_buf, sizeof(role_key_buf)),
		 .conditional = true,
		 .expected = mgr->role_version},
		{.key = map_key(mgr, map_key_buf, sizeof(map_key_buf)),
		 .conditional = true,
		 .expected = mgr->map_version,
		 .write = true,
		 .value = {packed, len}},
	};
	mgr->env.platform->store->commit(mgr->env.meta, META_KEYS, changes, 2, on_committed, mgr);
	free(packed);
}

/* ---- confirmation of the role --------------------------------------------------------------- */

static void on_confirmed(void *data, const struct meta_answer *a)
{
	struct shardmgr *mgr = data;
	char name[FLEET_NAME_BYTES + 16];
	const struct meta_row *role;

	watch_record_answer(mgr->env.watch, a->status);
	mgr->confirming = false;
	if (mgr->state != SHARDMGR_ACTIVE)
		return;
	if (a->status == META_TRIMMED) {
		/*
		 * The store no longer has the history since `store_version`. Only a read shows who
		 * has the role. The read does not wait for the next commit, because without a
		 * confirmation the shard manager has to stop acting: see may_act().
		 */
		if (!mgr->reading && !MUTANT(keeper_stay_trimmed))
			reread(mgr);
		return;
	}
	if (a->status != META_OK)
		return;
	role = find_row(a, role_key(mgr, name, sizeof(name)));
	if (role && role->version > mgr->role_version) {
		shardmgr_step_down(mgr, "another gateway acquired the role");
		return;
	}
	if (a->version > mgr->store_version)
		mgr->store_version = a->version;
	mgr->confirmed_at = mgr->confirm_sent;
}

void shardmgr_confirm_role(struct shardmgr *mgr)
{
	mgr->confirming = true;
	mgr->confirm_sent = clk_now();
	mgr->env.platform->store->watch(mgr->env.meta, META_KEYS, mgr->store_version,
					SHARDMGR_CONFIRM_MS, on_confirmed, mgr);
}
