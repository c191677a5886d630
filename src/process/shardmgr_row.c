/*
 * The shard manager's rows of the store: acquires the role, writes the ownership map, and confirms
 * that this gateway still has the role. The row of the role holds the term and the electorate; the
 * row of the map holds the ranges, their owners and former owners, and the highest fencing token
 * reserved.
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

static void *pack_map(struct shardmgr *mgr, size_t *len);

static const struct log log = {"keeper"};
CTR(ctr_readopted, "keeper_readopted_total",
    "Times that this gateway wrote role and map of a service again in a restored store.");
CTR(ctr_terms, "keeper_terms_total", "Times that this gateway became keeper of a service.");

/* Size of the buffer for the key of a row, with its terminating NUL. */
#define KEY_BYTES (FLEET_NAME_BYTES + 32)
/* Size of the buffer for the value of the row of the role. */
#define ROLE_VALUE_BYTES (48 + ELECTORATE_TEXT_BYTES)

/* ---- rows ----------------------------------------------------------------------------------- */

/*
 * The rows of an era of the store have keys of their own: a write whose condition names a version
 * of one era does not count in another, where the same version may be given to another content.
 * Without an era, the keys are those of builds before the eras.
 */
struct row_kind {
	const char *prefix;
	const char *prefix_without_era;
};

static const struct row_kind role_rows = {"role/", "keeper/"};
static const struct row_kind map_rows = {"owners/", "map/"};

/* Returns the key of a row, written to `buf`. */
static struct str row_key(const struct shardmgr *mgr, const struct row_kind *kind, uint64_t era,
			  char buf[KEY_BYTES])
{
	if (era)
		snprintf(buf, KEY_BYTES, "%s%llu/%s", kind->prefix, (unsigned long long)era,
			 mgr->service);
	else
		snprintf(buf, KEY_BYTES, "%s%s", kind->prefix_without_era, mgr->service);
	return str_from(buf);
}

/* Whether the key is one of this kind and service; sets `era` if so. */
static bool parse_key(const struct shardmgr *mgr, const struct row_kind *kind, struct str key,
		      uint64_t *era)
{
	char buf[KEY_BYTES];
	size_t skip = strlen(kind->prefix);
	struct str service;
	struct str number;

	*era = 0;
	if (str_eq(key, row_key(mgr, kind, 0, buf)))
		return true;
	if (key.len < skip || memcmp(key.ptr, kind->prefix, skip) != 0)
		return false;
	number = str_split((struct str){key.ptr + skip, key.len - skip}, '/', &service);
	return str_to_u64(number, META_MAX_ERA, era) && *era && str_eq_cstr(service, mgr->service);
}

/* Returns the row of the highest era, NULL if there is none; sets `era` to its era. */
static const struct meta_row *newest_row(const struct shardmgr *mgr, const struct meta_answer *a,
					 const struct row_kind *kind, uint64_t *era)
{
	const struct meta_row *newest = NULL;
	uint64_t found;

	*era = 0;
	for (size_t i = 0; i < a->n_rows; i++) {
		if (!parse_key(mgr, kind, a->rows[i].key, &found) || found < *era)
			continue;
		newest = &a->rows[i];
		*era = found;
	}
	return newest;
}

static const struct meta_row *find_row(const struct meta_answer *a, struct str key)
{
	for (size_t i = 0; i < a->n_rows; i++) {
		if (str_eq(a->rows[i].key, key))
			return &a->rows[i];
	}
	return NULL;
}

/* Lowest term and fencing token of an era: above all of the eras before. */
static uint64_t era_floor(uint64_t era)
{
	return MUTANT(keeper_no_era) ? 0 : era << SHARDMGR_ERA_SHIFT;
}

/*
 * Returns the value of the row of the role: "TERM NODE ID,...", node and ids of the electorate in
 * hexadecimal digits.
 */
static struct str role_value(const struct shardmgr *mgr, char buf[ROLE_VALUE_BYTES])
{
	char voters[ELECTORATE_TEXT_BYTES];

	electorate_write(shardmgr_row_electorate(mgr), voters);
	snprintf(buf, ROLE_VALUE_BYTES, "%llu %016llx %s", (unsigned long long)mgr->writing_term,
		 (unsigned long long)mgr->env.node, voters);
	return str_from(buf);
}

/* Returns the term in the row of a role, 0 if there is no row or it is invalid. */
static uint64_t stored_term(const struct shardmgr *mgr, const struct meta_row *role)
{
	struct str node;
	uint64_t term = 0;

	if (role && !str_to_u64(str_split(role->value, ' ', &node), UINT64_MAX - 1, &term))
		log_error(&log,
			  "the term in the row of %s is not a number; continuing from term %llu",
			  mgr->service, (unsigned long long)mgr->term);
	return term;
}

/* Whether this process wrote the row of a role. */
static bool is_own_role(const struct shardmgr *mgr, const struct meta_row *role)
{
	char node[17];
	struct str text;
	struct str voters;

	if (!role)
		return false;
	str_split(role->value, ' ', &text);
	snprintf(node, sizeof(node), "%016llx", (unsigned long long)mgr->env.node);
	return str_eq_cstr(str_split(text, ' ', &voters), node);
}

/* Whether this process wrote the row of the role in that term. */
static bool is_own_term(const struct shardmgr *mgr, const struct meta_row *role, uint64_t term)
{
	return is_own_role(mgr, role) && stored_term(mgr, role) == term;
}

/* Reads the electorate in the row of a role; it is empty if there is none or it is invalid. */
static void stored_electorate(const struct shardmgr *mgr, const struct meta_row *role,
			      struct electorate *out)
{
	struct str text;
	struct str voters;

	out->n = 0;
	if (!role)
		return;
	str_split(role->value, ' ', &text);
	str_split(text, ' ', &voters);
	if (!electorate_read(out, voters))
		log_error(&log,
			  "the electorate in the row of %s is invalid; the gateways known "
			  "here vote instead",
			  mgr->service);
}

static void raise_to(uint64_t *value, uint64_t floor)
{
	if (*value < floor)
		*value = floor;
}

/* ---- calls ---------------------------------------------------------------------------------- */

/*
 * All calls to the store are counted, so that no answer to one of an earlier term is taken for an
 * answer to one of this term: see shardmgr_acquire_role().
 */
static void read_rows(struct shardmgr *mgr, meta_cb cb)
{
	mgr->open_calls++;
	mgr->env.platform->store->read(mgr->env.meta, META_KEYS, cb, mgr);
}

static void commit_rows(struct shardmgr *mgr, const struct meta_change *changes, size_t n,
			meta_cb cb)
{
	mgr->open_calls++;
	mgr->env.platform->store->commit(mgr->env.meta, META_KEYS, changes, n, cb, mgr);
}

static void call_ended(struct shardmgr *mgr, const struct meta_answer *a)
{
	mgr->open_calls--;
	watch_record_answer(mgr->env.watch, a);
}

/*
 * Writes role and map of this gateway in an era, on condition that all rows are as in `a`, and
 * removes the rows of earlier eras.
 */
static void write_role(struct shardmgr *mgr, const struct meta_answer *a, uint64_t era, meta_cb cb)
{
	struct meta_change *changes = calloc(a->n_rows + 2, sizeof(*changes));
	char role_buf[KEY_BYTES];
	char map_buf[KEY_BYTES];
	char value[ROLE_VALUE_BYTES];
	size_t n = 2;
	size_t len;
	void *packed = pack_map(mgr, &len);

	if (!changes)
		abort();
	changes[0] = (struct meta_change){.key = row_key(mgr, &role_rows, era, role_buf),
					  .conditional = true,
					  .write = true,
					  .value = role_value(mgr, value)};
	changes[1] = (struct meta_change){.key = row_key(mgr, &map_rows, era, map_buf),
					  .conditional = true,
					  .write = true,
					  .value = {packed, len}};
	for (size_t i = 0; i < a->n_rows; i++) {
		const struct meta_row *row = &a->rows[i];
		uint64_t row_era;

		if (str_eq(row->key, changes[0].key))
			changes[0].expected = row->version;
		else if (str_eq(row->key, changes[1].key))
			changes[1].expected = row->version;
		else if (parse_key(mgr, &role_rows, row->key, &row_era) ||
			 parse_key(mgr, &map_rows, row->key, &row_era))
			changes[n++] = (struct meta_change){.key = row->key,
							    .conditional = true,
							    .expected = row->version,
							    .remove = true};
	}
	commit_rows(mgr, changes, n, cb);
	free(packed);
	free(changes);
}

/* ---- stored map ----------------------------------------------------------------------------- */

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
		r->phase = former && (r->owner || !MUTANT(keeper_forget_holder)) ? KEY_RELEASING
			   : r->owner						 ? KEY_GRANTING
										 : KEY_UNOWNED;
		r->former_lease_end = SHARDMGR_LEASE_UNBOUNDED;
		r->owner_lease_end = SHARDMGR_LEASE_UNBOUNDED;
		r->second_former = upstream_at(map, map->second_former[i]);
		r->second_former_lease_end = SHARDMGR_LEASE_UNBOUNDED;
		r->owner_may_hold = r->phase == KEY_RELEASING && r->owner;
		r->moved_at = now;
		/*
		 * A grant of the former shard manager may be unanswered. Still the former owner is
		 * not sent a higher fencing token: that would be a grant to it, and the owner may
		 * already have a lease.
		 */
		r->unanswered_until = SHARDMGR_LEASE_UNBOUNDED;
		*end = r;
		end = &r->next;
	}
	if (!mgr->ranges)
		mgr->ranges = shardmgr_range_new(mgr, 0, mgr->env.platform->key_space - 1);
	mgr->fence = map ? map->fence : 0;
	if (map)
		bc__key_row__free_unpacked(map, NULL);
	return true;
}

/*
 * The holder of the range's keys is not known: grants wait until every lease has expired that a
 * former shard manager may have granted.
 */
static void await_unknown_holder(struct key_range *r)
{
	r->former = SHARDMGR_UNKNOWN_HOLDER;
	r->former_lease_end = SHARDMGR_LEASE_UNBOUNDED;
	r->second_former = 0;
	r->phase = KEY_RELEASING;
	r->owner_may_hold = r->owner != 0;
}

/*
 * Corrects a range of an older map by the owner that the last shard manager named in the map for
 * requests. Whoever else may have the keys releases them first.
 */
static void correct_owner(struct key_range *r, uint64_t owner)
{
	const uint64_t possible[] = {r->former, r->second_former, r->owner};
	uint64_t others[3] = {0};
	size_t n = 0;

	if (!owner) {
		/* In a move, or granted just now. */
		await_unknown_holder(r);
		return;
	}
	for (size_t i = 0; i < 3; i++) {
		if (possible[i] && possible[i] != owner)
			others[n++] = possible[i];
	}
	r->owner = owner;
	r->owner_lease_end = SHARDMGR_LEASE_UNBOUNDED;
	if (n == 3) {
		await_unknown_holder(r);
		return;
	}
	r->former = others[0];
	r->former_lease_end = SHARDMGR_LEASE_UNBOUNDED;
	r->second_former = others[1];
	r->second_former_lease_end = SHARDMGR_LEASE_UNBOUNDED;
	r->owner_may_hold = n > 0;
	r->phase = n ? KEY_RELEASING : KEY_GRANTING;
}

/* Merges adjacent ranges that were loaded alike. */
static void merge_loaded(struct shardmgr *mgr)
{
	struct key_range *r = mgr->ranges;

	while (r && r->next) {
		struct key_range *n = r->next;

		if (r->owner != n->owner || r->former != n->former ||
		    r->second_former != n->second_former || r->phase != n->phase) {
			r = n;
			continue;
		}
		r->to = n->to;
		r->next = n->next;
		mgr->n_ranges--;
		free(n);
	}
}

/*
 * Corrects the ranges of a map from before a restore of the store. The moves that were written
 * since are lost there, but gateways have the map for requests of the last shard manager.
 * `use_view`: this gateway got all maps for requests of the last shard manager.
 */
static void correct_restored_map(struct shardmgr *mgr, bool use_view)
{
	if (MUTANT(keeper_trust_restored))
		return;
	if (use_view) {
		for (size_t i = 0; i < mgr->view.n; i++)
			shardmgr_split_before(mgr, mgr->view.ranges[i].from);
	}
	for (struct key_range *r = mgr->ranges; r; r = r->next)
		correct_owner(r, use_view ? keymap_owner(&mgr->view, r->from) : 0);
	merge_loaded(mgr);
}

void shardmgr_distrust_view(struct shardmgr *mgr)
{
	log_warn(&log,
		 "the map of %s that requests use may not be the last one; all leases have to "
		 "expire",
		 mgr->service);
	for (struct key_range *r = mgr->ranges; r; r = r->next) {
		r->serving = 0;
		await_unknown_holder(r);
	}
	shardmgr_schedule_publish(mgr);
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

/* The store has role and map of this gateway as of an answer to write_role(). */
static void role_written(struct shardmgr *mgr, uint64_t era, uint64_t role_version,
			 uint64_t map_version)
{
	mgr->era = era;
	mgr->role_version = role_version;
	mgr->map_version = map_version;
	mgr->fence_usable = mgr->fence_limit;
	shardmgr_electorate_written(mgr);
}

/* The store confirmed the role, in answer to a call that was sent at `sent`. */
static void role_confirmed(struct shardmgr *mgr, clk_ms sent)
{
	mgr->confirmed_at = sent;
	mgr->confirmed_in_era = sent;
	mgr->env.role_confirmed(mgr->env.data, mgr->service, sent);
}

static void on_acquired(void *data, const struct meta_answer *a)
{
	struct shardmgr *mgr = data;
	clk_ms now = clk_now();

	call_ended(mgr, a);
	if (mgr->state != SHARDMGR_ACQUIRING_ROLE)
		return;
	/* In another era the conditions do not show that the map is the latest one. */
	if (a->status != META_OK ||
	    (meta_era(a->version) != mgr->writing_era && !MUTANT(keeper_any_era))) {
		log_info(&log, "did not become keeper of %s: %s", mgr->service,
			 meta_status_name(a->status));
		mgr->state = SHARDMGR_STANDBY;
		shardmgr_ranges_clear(mgr);
		return;
	}
	mgr->state = SHARDMGR_ACTIVE;
	role_written(mgr, mgr->writing_era, a->version, a->version);
	shardmgr_follow_term(mgr, mgr->term);
	mgr->store_version = a->version;
	/* This process may have been paused since, and another gateway may have the role now. */
	role_confirmed(mgr, mgr->request_sent);
	if (MUTANT(keeper_confirm_late))
		mgr->confirmed_at = now;
	mgr->last_tick = mgr->request_sent;
	mgr->committed_serial = mgr->serial;
	mgr->writing_serial = 0;
	mgr->reading = false;
	mgr->reread_needed = false;
	mgr->awaits_support = false;
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

/*
 * Loads the stored map to acquire the role in an era of the store. Returns false if its row is
 * invalid.
 */
static bool load_stored(struct shardmgr *mgr, const struct meta_answer *a,
			const struct meta_row *role, uint64_t era, bool use_view)
{
	clk_ms now = clk_now();
	uint64_t map_era;
	const struct meta_row *map = newest_row(mgr, a, &map_rows, &map_era);
	bool lost = map ? map_era < era
			: mgr->view.n || watch_was_restored(mgr->env.watch) ||
				    (era > META_FIRST_ERA && !MUTANT(keeper_trust_no_map));
	struct electorate electorate;

	if (!load_map(mgr, map, now))
		return false;
	stored_electorate(mgr, role, &electorate);
	shardmgr_load_electorate(mgr, &electorate, role || lost);
	if (lost) {
		log_warn(&log,
			 "the stored map of %s is from era %llu, before the store was restored; "
			 "its owners are corrected by %s",
			 mgr->service, (unsigned long long)map_era,
			 use_view ? "the map that requests use" : "waiting for all leases");
		correct_restored_map(mgr, use_view);
		if (use_view)
			mgr->view_term = mgr->view.term;
	}
	raise_to(&mgr->fence, era_floor(era));
	mgr->fence += 2;
	for (struct key_range *r = mgr->ranges; r; r = r->next) {
		r->fence = mgr->fence;
		r->serial = mgr->serial;
	}
	return true;
}

/*
 * Whether the map for requests has all moves of the last shard manager. A gateway that lost touch
 * with it, while it lived, may lack the last ones.
 */
static bool view_is_latest(const struct shardmgr *mgr)
{
	return mgr->view.n && mgr->view.term >= mgr->seen_term &&
	       (mgr->env.has_all_maps(mgr->env.data, mgr->service, mgr->view.term) ||
		MUTANT(keeper_trust_old_view));
}

/* Writes role and map in one transaction, conditional on the versions that were read. */
static void on_role_read(void *data, const struct meta_answer *a)
{
	struct shardmgr *mgr = data;
	uint64_t era = meta_era(a->version);
	const struct meta_row *role;
	uint64_t role_era;
	uint64_t term;

	call_ended(mgr, a);
	if (mgr->state != SHARDMGR_ACQUIRING_ROLE)
		return;
	if (a->status != META_OK) {
		mgr->state = SHARDMGR_STANDBY;
		return;
	}
	role = newest_row(mgr, a, &role_rows, &role_era);
	term = stored_term(mgr, role);
	raise_to(&mgr->term, term);
	raise_to(&mgr->term, era_floor(era));
	mgr->term++;
	if (!load_stored(mgr, a, role, era, view_is_latest(mgr))) {
		mgr->state = SHARDMGR_STANDBY;
		return;
	}
	mgr->writing_era = era;
	mgr->writing_term = mgr->term;
	mgr->request_sent = clk_now();
	write_role(mgr, a, era, on_acquired);
}

void shardmgr_acquire_role(struct shardmgr *mgr)
{
	if (mgr->state != SHARDMGR_STANDBY || mgr->stopping ||
	    (mgr->open_calls && !MUTANT(keeper_mix_terms)))
		return;
	mgr->state = SHARDMGR_ACQUIRING_ROLE;
	read_rows(mgr, on_role_read);
}

/* ---- restored store ------------------------------------------------------------------------- */

/* The role counts in the present era of the store from now on. */
static void finish_readopting(struct shardmgr *mgr, uint64_t era, uint64_t role_version,
			      uint64_t map_version)
{
	role_written(mgr, era, role_version, map_version);
	mgr->confirmed_in_era = mgr->request_sent;
	mgr->term = mgr->writing_term;
	shardmgr_follow_term(mgr, mgr->term);
	mgr->reread_needed = false;
	mgr->next_commit = 0;
	ctr_inc(&ctr_readopted);
	log_warn(&log, "role and map of %s are written again in era %llu of the store, term %llu",
		 mgr->service, (unsigned long long)era, (unsigned long long)mgr->term);
	mgr->env.on_role(mgr->env.data, mgr->service, true);
	shardmgr_schedule_publish(mgr);
	shardmgr_schedule_tick(mgr);
}

static void on_readopted(void *data, const struct meta_answer *a)
{
	struct shardmgr *mgr = data;
	uint64_t serial = mgr->writing_serial;

	call_ended(mgr, a);
	mgr->writing_serial = 0;
	if (mgr->state != SHARDMGR_ACTIVE)
		return;
	if (a->status != META_OK || meta_era(a->version) != mgr->writing_era) {
		log_info(&log, "role and map of %s were not written again: %s", mgr->service,
			 meta_status_name(a->status));
		mgr->next_commit = clk_now() + COMMIT_RETRY_MS;
		mgr->reread_needed = true;
		return;
	}
	mgr->committed_serial = serial;
	finish_readopting(mgr, mgr->writing_era, a->version, a->version);
	shardmgr_lease_committed(mgr);
}

/* Changes that are under way may be lost with the restore: they wait until they are written. */
static void suspend_changes(struct shardmgr *mgr)
{
	mgr->serial++;
	for (struct key_range *r = mgr->ranges; r; r = r->next) {
		if (r->phase != KEY_LEASED)
			r->serial = mgr->serial;
	}
}

/*
 * Returns why another gateway may have had the role since the store last confirmed it, before it
 * was restored to `era`; NULL if none may.
 */
static const char *why_unsure(const struct shardmgr *mgr, uint64_t era)
{
	clk_ms confirmed = mgr->confirmed_in_era;
	clk_ms others = mgr->env.others_answered_at(mgr->env.data, era);
	clk_ms delay = MUTANT(keeper_fast_store) ? 0 : 2 * mgr->confirm_delay;

	if (mgr->out_of_touch_at >= confirmed)
		return "it was out of touch, and the store may have lost that another gateway had "
		       "it";
	if (mgr->not_all_heard_at < confirmed || MUTANT(keeper_most_suffice))
		return NULL;
	/* In an outage for all, up to two such calls lie between the confirmation and the answers.
	 */
	if (others - confirmed > SHARDMGR_CONFIRMED_MS + delay || MUTANT(keeper_yield_unheard))
		return "the store answered others only, and may have lost that one that is not "
		       "heard had it";
	return NULL;
}

bool shardmgr_is_unsure(const struct shardmgr *mgr)
{
	return mgr->state == SHARDMGR_ACTIVE && why_unsure(mgr, mgr->era + 1);
}

/* Its own view does not count any more: its leases have to expire. */
static void give_up_restored(struct shardmgr *mgr, const char *why)
{
	shardmgr_follow_term(mgr, mgr->term + 1);
	shardmgr_step_down(mgr, why);
}

/*
 * Whether most gateways support the role after the store was restored. One that was consented to
 * before, and that the store has lost, may have moved keys until then.
 */
static bool is_supported_since_restore(struct shardmgr *mgr, uint64_t era)
{
	if (mgr->restored_era != era) {
		mgr->restored_era = era;
		mgr->restored_at = clk_now();
		mgr->env.ask_peers(mgr->env.data);
	}
	return shardmgr_is_supported(mgr, mgr->restored_at) || MUTANT(keeper_need_no_support);
}

/* The rows are read again once most gateways support the role; too late, it is given up. */
static void await_support(struct shardmgr *mgr)
{
	if (clk_now() - mgr->restored_at > SHARDMGR_CONFIRMED_MS) {
		give_up_restored(
			mgr, "most gateways have not supported it since the store was restored");
		return;
	}
	mgr->awaits_support = true;
	mgr->reread_needed = true;
	mgr->next_commit = 0;
	if (mgr->serial == mgr->committed_serial)
		mgr->serial++;
}

/*
 * The store was restored, and `a` has its rows. The owners are known here better than there: the
 * shard manager writes role and map again, unless another one was acknowledged after it.
 */
static void readopt(struct shardmgr *mgr, const struct meta_answer *a)
{
	uint64_t era = meta_era(a->version);
	uint64_t role_era;
	uint64_t map_era;
	const struct meta_row *role = newest_row(mgr, a, &role_rows, &role_era);
	const struct meta_row *map = newest_row(mgr, a, &map_rows, &map_era);
	uint64_t term = stored_term(mgr, role);
	const char *unsure = why_unsure(mgr, era);

	if (role && role_era == era && is_own_term(mgr, role, mgr->writing_term) && map &&
	    map_era == era) {
		/* The answer to an earlier write was lost. */
		mgr->confirmed_at = mgr->request_sent;
		finish_readopting(mgr, era, role->version, map->version);
		return;
	}
	if (unsure && !MUTANT(keeper_never_replaced)) {
		give_up_restored(mgr, unsure);
		return;
	}
	/* An earlier write without an answer may be done late. */
	if ((term > mgr->term && !is_own_role(mgr, role)) ||
	    (role && role_era > mgr->era &&
	     (!is_own_role(mgr, role) || MUTANT(keeper_yield_to_itself))) ||
	    MUTANT(keeper_yield_restored)) {
		shardmgr_step_down(mgr, "the restored store names another gateway");
		return;
	}
	if (!is_supported_since_restore(mgr, era)) {
		await_support(mgr);
		return;
	}
	mgr->confirmed_at = mgr->request_sent;
	suspend_changes(mgr);
	raise_to(&mgr->writing_term, mgr->term);
	raise_to(&mgr->writing_term, era_floor(era));
	mgr->writing_term++;
	if (MUTANT(keeper_early_term))
		mgr->term = mgr->writing_term;
	raise_to(&mgr->fence, era_floor(era));
	mgr->writing_era = era;
	mgr->writing_serial = mgr->serial;
	mgr->store_version = a->version;
	write_role(mgr, a, era, on_readopted);
}

/* ---- writes of the map ---------------------------------------------------------------------- */

static void on_reread(void *data, const struct meta_answer *a)
{
	struct shardmgr *mgr = data;
	char name[KEY_BYTES];
	const struct meta_row *role;
	const struct meta_row *map;

	call_ended(mgr, a);
	mgr->reading = false;
	if (mgr->state != SHARDMGR_ACTIVE)
		return;
	if (a->status != META_OK) {
		mgr->next_commit = clk_now() + COMMIT_RETRY_MS;
		return;
	}
	if (meta_era(a->version) != mgr->era) {
		readopt(mgr, a);
		return;
	}
	role = find_row(a, row_key(mgr, &role_rows, mgr->era, name));
	if (!role || (role->version != mgr->role_version && !is_own_term(mgr, role, mgr->term))) {
		shardmgr_step_down(mgr, "the role belongs to another gateway");
		return;
	}
	if (role->version != mgr->role_version) {
		/* The answer to a write of another electorate was lost. */
		mgr->role_version = role->version;
		shardmgr_electorate_written(mgr);
	}
	map = find_row(a, row_key(mgr, &map_rows, mgr->era, name));
	mgr->map_version = map ? map->version : 0;
	if (a->version > mgr->store_version)
		mgr->store_version = a->version;
	role_confirmed(mgr, mgr->request_sent);
	mgr->reread_needed = false;
	mgr->next_commit = 0;
	shardmgr_schedule_tick(mgr);
}

/* Reads the versions of role and map and confirms the role; steps down if it was lost. */
static void reread(struct shardmgr *mgr)
{
	mgr->request_sent = clk_now();
	mgr->reading = true;
	read_rows(mgr, on_reread);
}

static void on_committed(void *data, const struct meta_answer *a)
{
	struct shardmgr *mgr = data;
	uint64_t serial = mgr->writing_serial;
	bool restored_in_between;

	call_ended(mgr, a);
	mgr->writing_serial = 0;
	if (mgr->state != SHARDMGR_ACTIVE)
		return;
	if (a->status == META_OK &&
	    (meta_era(a->version) == mgr->era || MUTANT(keeper_any_commit))) {
		mgr->map_version = a->version;
		mgr->committed_serial = serial;
		mgr->fence_usable = mgr->fence_limit;
		if (mgr->electorate_due) {
			mgr->role_version = a->version;
			shardmgr_electorate_written(mgr);
		}
		role_confirmed(mgr, mgr->request_sent);
		shardmgr_lease_committed(mgr);
		shardmgr_schedule_tick(mgr);
		return;
	}
	restored_in_between = (a->status == META_OK || a->status == META_CONFLICT) &&
			      meta_era(a->version) > mgr->era;
	log_info(&log, "the map of %s was not written: %s", mgr->service,
		 restored_in_between ? "the store was restored" : meta_status_name(a->status));
	/*
	 * A write that was not refused may have been done: read the rows before the next. In
	 * another era, role and map are written again, see readopt().
	 */
	mgr->reread_needed = a->status != META_REFUSED;
	mgr->next_commit =
		a->status == META_OK || restored_in_between ? 0 : clk_now() + COMMIT_RETRY_MS;
	shardmgr_schedule_tick(mgr);
}

void shardmgr_commit(struct shardmgr *mgr)
{
	char role_buf[KEY_BYTES];
	char map_buf[KEY_BYTES];
	char value[ROLE_VALUE_BYTES];
	size_t len;
	void *packed;

	mgr->request_sent = clk_now();
	if (mgr->reread_needed) {
		reread(mgr);
		return;
	}
	packed = pack_map(mgr, &len);
	mgr->writing_serial = mgr->serial;
	if (mgr->electorate_due)
		mgr->writing_term = mgr->term;
	struct meta_change changes[] = {
		{.key = row_key(mgr, &role_rows, mgr->era, role_buf),
		 .conditional = true,
		 .expected = mgr->role_version,
		 .write = mgr->electorate_due,
		 .value = role_value(mgr, value)},
		{.key = row_key(mgr, &map_rows, mgr->era, map_buf),
		 .conditional = true,
		 .expected = mgr->map_version,
		 .write = true,
		 .value = {packed, len}},
	};
	commit_rows(mgr, changes, 2, on_committed);
	free(packed);
}

/* ---- confirmation of the role --------------------------------------------------------------- */

static void on_confirmed(void *data, const struct meta_answer *a)
{
	struct shardmgr *mgr = data;
	char name[KEY_BYTES];
	const struct meta_row *role;

	call_ended(mgr, a);
	mgr->confirming = false;
	if (mgr->state != SHARDMGR_ACTIVE)
		return;
	if (a->status == META_TRIMMED ||
	    (a->status == META_OK && meta_era(a->version) != mgr->era)) {
		/*
		 * The store no longer has the history since `store_version`, or was restored. Only
		 * a read shows who has the role. The read does not wait for the next commit,
		 * because without a confirmation the shard manager has to stop acting: see
		 * may_act().
		 */
		if (!mgr->reading && !mgr->writing_serial && !MUTANT(keeper_stay_trimmed))
			reread(mgr);
		return;
	}
	if (a->status != META_OK)
		return;
	role = find_row(a, row_key(mgr, &role_rows, mgr->era, name));
	/* This gateway may have written another electorate, and has no answer yet. */
	if (role && role->version > mgr->role_version && !is_own_term(mgr, role, mgr->term)) {
		shardmgr_step_down(mgr, "another gateway acquired the role");
		return;
	}
	if (a->version > mgr->store_version)
		mgr->store_version = a->version;
	if (clk_now() - mgr->confirm_sent >= SHARDMGR_CONFIRM_MS)
		mgr->confirm_delay = clk_now() - mgr->confirm_sent - SHARDMGR_CONFIRM_MS;
	role_confirmed(mgr, mgr->confirm_sent);
}

void shardmgr_confirm_role(struct shardmgr *mgr)
{
	mgr->confirming = true;
	mgr->confirm_sent = clk_now();
	mgr->open_calls++;
	mgr->env.platform->store->watch(mgr->env.meta, META_KEYS, mgr->store_version,
					SHARDMGR_CONFIRM_MS, on_confirmed, mgr);
}
