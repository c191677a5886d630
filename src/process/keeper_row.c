/* Rows of the store: how a gateway becomes keeper, writes its map, and confirms that it keeps. */
#include "process/keeper_priv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"

/* Pause after a commit that failed. */
#define COMMIT_RETRY_MS 200
/* How long a former keeper that cannot be reached may go on to renew leases. */
#define FORMER_KEEPER_MS (KEEPER_STORE_SILENCE_MS + 1500)

static const struct log log = {"keeper"};
CTR(ctr_terms, "keeper_terms_total", "Times that this gateway became keeper of a service.");

static struct str role_key(const struct keeper *k, char *buf, size_t size)
{
	snprintf(buf, size, "keeper/%s", k->service);
	return str_from(buf);
}

static struct str map_key(const struct keeper *k, char *buf, size_t size)
{
	snprintf(buf, size, "map/%s", k->service);
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

static uint64_t upstream_of(const Bc__KeyRow *map, uint32_t number)
{
	return number && number <= map->n_upstreams ? map->upstreams[number - 1] : 0;
}

/* NULL if the row is not a map of all keys. */
static Bc__KeyRow *unpack_map(const struct keeper *k, const struct meta_row *row)
{
	Bc__KeyRow *map =
		bc__key_row__unpack(NULL, row->value.len, (const uint8_t *)row->value.ptr);
	bool good = map && map->n_owner == map->n_to && map->n_former == map->n_to &&
		    map->n_second_former == map->n_to && map->n_to &&
		    map->to[map->n_to - 1] == k->env.platform->key_space - 1;

	for (size_t i = 1; good && i < map->n_to; i++)
		good = map->to[i - 1] < map->to[i];
	if (good || !map)
		return map;
	bc__key_row__free_unpacked(map, NULL);
	return NULL;
}

/* Ranges of the former keeper; every one is granted again under a new fence. */
static bool load_map(struct keeper *k, const struct meta_row *row, clk_ms now)
{
	Bc__KeyRow *map = row ? unpack_map(k, row) : NULL;
	struct key_range **end = &k->ranges;
	clk_ms lapsed = keeper_lease_end(k, now + FORMER_KEEPER_MS);
	uint32_t from = 0;

	keeper_ranges_clear(k);
	k->fence = 0;
	k->fence_limit = 0;
	if (row && !map) {
		/* Without it nobody knows who holds what, nor which fences were used. */
		log_error(&log,
			  "the map of %s cannot be read; put back an earlier value of its row, or "
			  "restart its upstreams and remove the row",
			  k->service);
		return false;
	}
	for (size_t i = 0; map && i < map->n_to; i++) {
		struct key_range *r = keeper_range_new(k, from, map->to[i]);
		uint64_t former = upstream_of(map, map->former[i]);

		from = map->to[i] + 1;
		r->owner = upstream_of(map, map->owner[i]);
		r->former = former;
		r->phase = !r->owner ? KEY_NONE : former ? KEY_TAKING : KEY_GIVING;
		r->former_until = lapsed;
		r->held_until = lapsed;
		r->second_former = upstream_of(map, map->second_former[i]);
		r->second_until = lapsed;
		r->owner_may_hold = r->phase == KEY_TAKING;
		r->moved_at = now;
		/* No raise: the owner may hold the keys already, so the former one gets no grant.
		 */
		r->late_until = lapsed;
		*end = r;
		end = &r->next;
	}
	if (!k->ranges)
		k->ranges = keeper_range_new(k, 0, k->env.platform->key_space - 1);
	k->fence = (map ? map->fence : 0) + 2;
	for (struct key_range *r = k->ranges; r; r = r->next) {
		r->fence = k->fence;
		r->serial = k->serial;
	}
	if (map)
		bc__key_row__free_unpacked(map, NULL);
	return true;
}

/* Number of the upstream in the row; it is added if it is not there yet. */
static uint32_t number_of(Bc__KeyRow *row, uint64_t upstream)
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

static void *pack_map(struct keeper *k, size_t *len)
{
	struct arena a = ARENA_INIT;
	Bc__KeyRow row = BC__KEY_ROW__INIT;
	size_t bytes = k->n_ranges * sizeof(uint32_t);
	size_t n = 0;
	void *out;

	row.upstreams = arena_alloc(&a, k->n_ranges * 3 * sizeof(uint64_t));
	row.to = arena_alloc(&a, bytes);
	row.owner = arena_alloc(&a, bytes);
	row.former = arena_alloc(&a, bytes);
	row.second_former = arena_alloc(&a, bytes);
	for (const struct key_range *r = k->ranges; r; r = r->next) {
		row.to[n] = r->to;
		row.owner[n] = number_of(&row, r->owner);
		row.former[n] = number_of(&row, r->former);
		row.second_former[n] = number_of(&row, r->second_former);
		n++;
	}
	if (k->fence_limit < k->fence + KEEPER_FENCE_RESERVE / 2)
		k->fence_limit = k->fence + KEEPER_FENCE_RESERVE;
	row.fence = k->fence_limit;
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

static void on_taken(void *data, const struct meta_answer *a)
{
	struct keeper *k = data;
	clk_ms now = clk_now();

	watch_note(k->env.watch, a->status);
	if (k->state != KEEPER_TAKING)
		return;
	if (a->status != META_OK) {
		log_info(&log, "did not become keeper of %s: %s", k->service,
			 meta_status_name(a->status));
		k->state = KEEPER_FOLLOWING;
		keeper_ranges_clear(k);
		return;
	}
	k->state = KEEPER_KEEPING;
	k->role_version = a->version;
	k->map_version = a->version;
	k->seen_version = a->version;
	k->confirmed_at = now;
	k->committed = k->serial;
	k->fence_ready = k->fence_limit;
	k->writing = 0;
	k->reading = false;
	k->commit_failed = false;
	k->next_plan = now;
	k->n_requests = 0;
	ctr_inc(&ctr_terms);
	log_info(&log, "keeper of %s in term %llu, fence %llu, %zu ranges", k->service,
		 (unsigned long long)k->term, (unsigned long long)k->fence, k->n_ranges);
	k->env.on_role(k->env.data, k->service, true);
	/* Until the leases are renewed the requests go on as the former keeper had it. */
	for (struct key_range *r = k->ranges; r; r = r->next)
		r->serving = r->phase == KEY_GIVING ? r->owner : 0;
	keeper_publish(k);
	keeper_confirm(k);
	keeper_wake(k);
}

/* The rows of the role and the map change together, each on condition of what was read. */
static void on_read_for_role(void *data, const struct meta_answer *a)
{
	struct keeper *k = data;
	char role_name[FLEET_NAME_BYTES + 16];
	char map_name[FLEET_NAME_BYTES + 16];
	struct str role = role_key(k, role_name, sizeof(role_name));
	struct str map = map_key(k, map_name, sizeof(map_name));
	const struct meta_row *role_row;
	const struct meta_row *map_row;
	uint64_t term = 0;
	char value[32];
	size_t len;
	void *packed;

	watch_note(k->env.watch, a->status);
	if (k->state != KEEPER_TAKING)
		return;
	if (a->status != META_OK) {
		k->state = KEEPER_FOLLOWING;
		return;
	}
	role_row = find_row(a, role);
	map_row = find_row(a, map);
	if (role_row && !str_to_u64(role_row->value, UINT64_MAX - 1, &term))
		log_error(&log, "the keeper's row of %s is not a number; starting from term %llu",
			  k->service, (unsigned long long)k->term);
	k->term = (term > k->term ? term : k->term) + 1;
	if (!load_map(k, map_row, clk_now())) {
		k->state = KEEPER_FOLLOWING;
		return;
	}
	packed = pack_map(k, &len);
	snprintf(value, sizeof(value), "%llu", (unsigned long long)k->term);
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
	k->env.platform->store->commit(k->env.meta, META_KEYS, changes, 2, on_taken, k);
	free(packed);
}

void keeper_take(struct keeper *k)
{
	if (k->state != KEEPER_FOLLOWING || k->stopping)
		return;
	k->state = KEEPER_TAKING;
	k->env.platform->store->read(k->env.meta, META_KEYS, on_read_for_role, k);
}

/* ---- rows of the map ------------------------------------------------------------------------ */

static void on_reread(void *data, const struct meta_answer *a)
{
	struct keeper *k = data;
	char name[FLEET_NAME_BYTES + 16];
	const struct meta_row *role;
	const struct meta_row *map;

	watch_note(k->env.watch, a->status);
	k->reading = false;
	if (k->state != KEEPER_KEEPING)
		return;
	if (a->status != META_OK) {
		k->next_commit = clk_now() + COMMIT_RETRY_MS;
		return;
	}
	role = find_row(a, role_key(k, name, sizeof(name)));
	if (!role || role->version != k->role_version) {
		keeper_step_down(k, "the role belongs to another gateway");
		return;
	}
	map = find_row(a, map_key(k, name, sizeof(name)));
	k->map_version = map ? map->version : 0;
	if (a->version > k->seen_version)
		k->seen_version = a->version;
	k->confirmed_at = k->read_at;
	k->commit_failed = false;
	k->next_commit = 0;
	keeper_wake(k);
}

static void reread(struct keeper *k)
{
	k->read_at = clk_now();
	k->reading = true;
	k->env.platform->store->read(k->env.meta, META_KEYS, on_reread, k);
}

static void on_committed(void *data, const struct meta_answer *a)
{
	struct keeper *k = data;
	uint64_t serial = k->writing;

	watch_note(k->env.watch, a->status);
	k->writing = 0;
	if (k->state != KEEPER_KEEPING)
		return;
	if (a->status == META_OK) {
		k->map_version = a->version;
		k->committed = serial;
		k->fence_ready = k->fence_limit;
		k->confirmed_at = k->read_at;
		keeper_hold_committed(k);
		keeper_wake(k);
		return;
	}
	log_info(&log, "the map of %s was not written: %s", k->service,
		 meta_status_name(a->status));
	k->next_commit = clk_now() + COMMIT_RETRY_MS;
	/* A write whose answer was lost may have been done, so the row is read before the next. */
	k->commit_failed = a->status != META_REFUSED;
}

void keeper_commit(struct keeper *k)
{
	char role_name[FLEET_NAME_BYTES + 16];
	char map_name[FLEET_NAME_BYTES + 16];
	size_t len;
	void *packed;

	k->read_at = clk_now();
	if (k->commit_failed) {
		reread(k);
		return;
	}
	packed = pack_map(k, &len);
	k->writing = k->serial;
	struct meta_change changes[] = {
		{.key = role_key(k, role_name, sizeof(role_name)),
		 .conditional = true,
		 .expected = k->role_version},
		{.key = map_key(k, map_name, sizeof(map_name)),
		 .conditional = true,
		 .expected = k->map_version,
		 .write = true,
		 .value = {packed, len}},
	};
	k->env.platform->store->commit(k->env.meta, META_KEYS, changes, 2, on_committed, k);
	free(packed);
}

/* ---- confirmation of the role --------------------------------------------------------------- */

static void on_confirmed(void *data, const struct meta_answer *a)
{
	struct keeper *k = data;
	char name[FLEET_NAME_BYTES + 16];
	const struct meta_row *role;

	watch_note(k->env.watch, a->status);
	k->confirming = false;
	if (k->state != KEEPER_KEEPING)
		return;
	if (a->status == META_TRIMMED) {
		/*
		 * Too old a version to watch from. Only a read shows who keeps, and until then this
		 * keeper may not act, so it does not wait for the next commit.
		 */
		if (!k->reading && !MUTANT(keeper_stay_trimmed))
			reread(k);
		return;
	}
	if (a->status != META_OK)
		return;
	role = find_row(a, role_key(k, name, sizeof(name)));
	if (role && role->version > k->role_version) {
		keeper_step_down(k, "the role was taken by another gateway");
		return;
	}
	if (a->version > k->seen_version)
		k->seen_version = a->version;
	k->confirmed_at = k->confirm_sent;
}

/* Watches the rows of the keepers, so that a change of the role is seen at once. */
void keeper_confirm(struct keeper *k)
{
	k->confirming = true;
	k->confirm_sent = clk_now();
	k->env.platform->store->watch(k->env.meta, META_KEYS, k->seen_version, KEEPER_CONFIRM_MS,
				      on_confirmed, k);
}
