/*
 * Shard manager: the key ranges, the ownership map that requests use, the periodic plan that moves
 * ranges between upstreams, and the timer. shardmgr_row.c reads and writes the rows of the store.
 */
#include "process/shardmgr_priv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"
#include "process/keyplan.h"

#define TICK_INTERVAL_MS 100
/*
 * Shortest interval of ticks: each tick looks at all ranges, so answers that arrive close together
 * share a tick.
 */
#define MIN_TICK_INTERVAL_MS 10
/*
 * A longer time between ticks means that this process was paused and may have been replaced. Has to
 * be below PEER_RECEIVE_TIMEOUT_MS without one interval of heartbeats: then peers close their
 * connections, and one of them takes over.
 */
#define MAX_TICK_GAP_MS 350
/* Interval of plans. A move takes a write, a release and a grant to come into force. */
#define PLAN_INTERVAL_MS 250
/* After a move, a range is not moved for balance, nor granted again as misplaced, this long. */
#define MOVE_COOLDOWN_MS 800
/*
 * Limits of the moves in one plan that only balance load: the higher of a fixed number and a number
 * per usable upstream. Together they spread a block of hot keys over a part of all upstreams within
 * a second or two.
 */
#define MIN_BALANCE_MOVES 6
#define BALANCE_MOVES_PER_UPSTREAM 0.25
/* Most moves in one plan: this number plus the initial ranges of all upstreams. */
#define EXTRA_MOVES 64
/*
 * Ranges per upstream in the first plan of a service, and the number of ranges per upstream above
 * which adjacent ranges with the same owner are merged.
 */
#define INITIAL_RANGES_PER_UPSTREAM 2
#define MERGE_ABOVE_RANGES_PER_UPSTREAM 3

static const struct log log = {"keeper"};
CTR(ctr_moves, "key_moves_total", "Ranges of keys given to another upstream.");

/* ---- ranges --------------------------------------------------------------------------------- */

void shardmgr_ranges_clear(struct shardmgr *mgr)
{
	while (mgr->ranges) {
		struct key_range *r = mgr->ranges;

		shardmgr_range_detach_call(r);
		mgr->ranges = r->next;
		free(r);
	}
	mgr->n_ranges = 0;
}

struct key_range *shardmgr_range_new(struct shardmgr *mgr, uint32_t from, uint32_t to)
{
	struct key_range *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->from = from;
	r->to = to;
	mgr->n_ranges++;
	return r;
}

/* Returns the range that contains the key, NULL if the key is outside all ranges. */
static struct key_range *range_at(const struct shardmgr *mgr, uint32_t key)
{
	struct key_range *r = mgr->ranges;

	while (r && r->to < key)
		r = r->next;
	return r;
}

void shardmgr_split_before(struct shardmgr *mgr, uint32_t key)
{
	struct key_range *r = range_at(mgr, key);
	struct key_range *rest;

	if (!r || r->from == key)
		return;
	rest = shardmgr_range_new(mgr, key, r->to);
	*rest = *r;
	rest->from = key;
	r->to = key - 1;
	r->next = rest;
}

void shardmgr_schedule_tick(struct shardmgr *mgr)
{
	clk_ms since = clk_now() - mgr->last_tick;

	timer_arm(&mgr->timer, since < MIN_TICK_INTERVAL_MS ? MIN_TICK_INTERVAL_MS - since : 0);
}

void shardmgr_mark_changed(struct shardmgr *mgr, struct key_range *r)
{
	/* A write in progress contains the state before this change. */
	if (mgr->serial == mgr->writing_serial || mgr->serial == mgr->committed_serial)
		mgr->serial++;
	r->serial = mgr->serial;
	mgr->next_commit = mgr->next_commit > clk_now() ? mgr->next_commit : 0;
	shardmgr_schedule_tick(mgr);
}

void shardmgr_advance_fence(struct shardmgr *mgr, struct key_range *r, uint64_t n)
{
	mgr->fence += n;
	r->fence = mgr->fence;
	r->fence_conn = 0;
	if (mgr->fence > mgr->fence_usable)
		shardmgr_mark_changed(mgr, r);
}

void shardmgr_assign_new_fence(struct shardmgr *mgr, struct key_range *r)
{
	shardmgr_advance_fence(mgr, r, 1);
	if (r->phase == KEY_LEASED)
		r->phase = KEY_GRANTING;
	r->next_call = 0;
	shardmgr_schedule_tick(mgr);
}

/* Makes an upstream the owner of a part of a range, whose former owner then has to release it. */
static void start_move(struct shardmgr *mgr, clk_ms now, const struct keyplan_move *m)
{
	struct key_range *r;

	shardmgr_split_before(mgr, m->from);
	shardmgr_split_before(mgr, m->to + 1);
	r = range_at(mgr, m->from);
	shardmgr_range_detach_call(r);
	log_info(&log, "plan: keys %u-%u of %s from upstream %016llx to %016llx", r->from, r->to,
		 mgr->service, (unsigned long long)r->owner, (unsigned long long)m->owner);
	ctr_inc(&ctr_moves);
	/* The token below the new one is for the former owner: see send_higher_fence(). */
	shardmgr_advance_fence(mgr, r, 2);
	r->moved_at = now;
	if (r->phase == KEY_LEASED || r->phase == KEY_GRANTING) {
		/* In KEY_GRANTING, a grant without an answer may have been accepted. */
		r->former = r->owner;
		r->former_lease_end = r->owner_lease_end;
		r->phase = KEY_RELEASING;
		/*
		 * After a release, an upstream refuses a delayed grant only if it has accepted a
		 * grant under a higher fencing token before.
		 */
		r->higher_fence_attempts =
			now < r->unanswered_until ? SHARDMGR_HIGHER_FENCE_ATTEMPTS : 0;
		r->higher_fence_sent = false;
		r->await_expiry = false;
	} else if (r->phase == KEY_UNOWNED) {
		r->phase = KEY_GRANTING;
	} else if (r->owner_may_hold && !MUTANT(keeper_forget_owner)) {
		r->second_former = r->owner;
		r->second_former_lease_end = r->owner_lease_end;
	}
	r->owner_may_hold = false;
	r->owner_lease_end = 0;
	r->owner = m->owner;
	shardmgr_mark_changed(mgr, r);
}

/*
 * Merges adjacent leased ranges of one owner, under the higher of their fencing tokens, if there
 * are too many ranges.
 */
static void merge_ranges(struct shardmgr *mgr, size_t upstreams)
{
	struct key_range *r = mgr->ranges;

	if (mgr->n_ranges <= upstreams * MERGE_ABOVE_RANGES_PER_UPSTREAM)
		return;
	while (r && r->next) {
		struct key_range *n = r->next;

		if (r->owner != n->owner || r->phase != KEY_LEASED || n->phase != KEY_LEASED ||
		    r->call || n->call || r->serial > mgr->committed_serial ||
		    n->serial > mgr->committed_serial) {
			r = n;
			continue;
		}
		r->to = n->to;
		if (n->fence > r->fence) {
			r->fence = n->fence;
			r->fence_conn = n->fence_conn;
			r->granted_fence = n->granted_fence;
			r->granted_conn = n->granted_conn;
		}
		if (n->owner_lease_end > r->owner_lease_end)
			r->owner_lease_end = n->owner_lease_end;
		if (n->unanswered_until > r->unanswered_until)
			r->unanswered_until = n->unanswered_until;
		if (n->unanswered_fence > r->unanswered_fence)
			r->unanswered_fence = n->unanswered_fence;
		r->next_call = 0;
		r->next = n->next;
		mgr->n_ranges--;
		free(n);
	}
}

/* ---- ownership map -------------------------------------------------------------------------- */

void shardmgr_schedule_publish(struct shardmgr *mgr)
{
	mgr->publish_due = true;
	shardmgr_schedule_tick(mgr);
}

static void publish_now(struct shardmgr *mgr)
{
	mgr->publish_due = false;
	keymap_clear(&mgr->view);
	for (const struct key_range *r = mgr->ranges; r; r = r->next)
		keymap_add(&mgr->view, r->from, r->to, r->serving);
	mgr->view.term = mgr->term;
	mgr->view.version++;
	mgr->env.on_owners(mgr->env.data, mgr->service);
}

uint64_t shardmgr_owner(const struct shardmgr *mgr, uint32_t key)
{
	return keymap_owner(&mgr->view, key);
}

Bc__KeyMap *shardmgr_full_map(const struct shardmgr *mgr, struct arena *a)
{
	if (mgr->sent.term != mgr->view.term)
		return NULL;
	return keymap_pack(a, mgr->service, &mgr->sent, &mgr->sent, 0);
}

Bc__KeyMap *shardmgr_known_map(const struct shardmgr *mgr, struct arena *a)
{
	if (mgr->state == SHARDMGR_ACTIVE)
		return shardmgr_full_map(mgr, a);
	return mgr->view.term ? keymap_pack(a, mgr->service, &mgr->view, &mgr->view, 0) : NULL;
}

uint64_t shardmgr_map_version(const struct shardmgr *mgr)
{
	return mgr->sent.term == mgr->view.term ? mgr->sent.version : 0;
}

bool shardmgr_map_is_known(const struct shardmgr *mgr, uint64_t term, uint64_t version)
{
	return mgr->view.term > term || (mgr->view.term == term && mgr->view.version >= version);
}

Bc__KeyMap *shardmgr_map_changes(struct shardmgr *mgr, struct arena *a)
{
	bool whole = mgr->sent.term != mgr->view.term;
	struct keymap changes = {0};
	Bc__KeyMap *frame;

	if (!whole)
		keymap_changes(&mgr->sent, &mgr->view, &changes);
	frame = keymap_pack(a, mgr->service, &mgr->view, whole ? &mgr->view : &changes,
			    whole ? 0 : mgr->sent.version);
	keymap_free(&changes);
	keymap_copy(&mgr->sent, &mgr->view);
	return frame;
}

enum keymap_result shardmgr_apply_map(struct shardmgr *mgr, const Bc__KeyMap *map)
{
	enum keymap_result result;

	/* The map of a successor may arrive before its first heartbeat in the role. */
	if (!MUTANT(keeper_await_heartbeat))
		shardmgr_observe_term(mgr, map->term);
	if (mgr->state == SHARDMGR_ACTIVE)
		return KEYMAP_OLD;
	result = keymap_apply(&mgr->view, map);
	if (result == KEYMAP_APPLIED)
		mgr->env.on_owners(mgr->env.data, mgr->service);
	return result;
}

/* ---- role ----------------------------------------------------------------------------------- */

void shardmgr_step_down(struct shardmgr *mgr, const char *why)
{
	bool was_active = mgr->state == SHARDMGR_ACTIVE;

	if (mgr->state == SHARDMGR_STANDBY)
		return;
	mgr->state = SHARDMGR_STANDBY;
	timer_cancel(&mgr->timer);
	mgr->publish_due = false;
	shardmgr_lease_clear(mgr);
	shardmgr_ranges_clear(mgr);
	if (!was_active)
		return;
	log_info(&log, "no longer keeper of %s in term %llu: %s", mgr->service,
		 (unsigned long long)mgr->term, why);
	mgr->env.on_role(mgr->env.data, mgr->service, false);
}

void shardmgr_follow_term(struct shardmgr *mgr, uint64_t term)
{
	if (term <= mgr->seen_term)
		return;
	mgr->former_term = mgr->seen_term;
	mgr->seen_term = term;
}

void shardmgr_observe_term(struct shardmgr *mgr, uint64_t term)
{
	shardmgr_follow_term(mgr, term);
	if (term > mgr->term) {
		shardmgr_step_down(mgr, "another gateway has a higher term");
		mgr->term = term;
	}
}

void shardmgr_resign(struct shardmgr *mgr)
{
	mgr->stopping = true;
}

/* ---- plan ----------------------------------------------------------------------------------- */

void shardmgr_record_request(struct shardmgr *mgr, uint32_t key)
{
	if (mgr->state != SHARDMGR_ACTIVE)
		return;
	mgr->requests[mgr->next_request].at = clk_now();
	mgr->requests[mgr->next_request].key = (uint16_t)key;
	mgr->next_request = (mgr->next_request + 1) % SHARDMGR_MAX_REQUESTS;
	if (mgr->n_requests < SHARDMGR_MAX_REQUESTS)
		mgr->n_requests++;
}

void shardmgr_report_misplaced(struct shardmgr *mgr, uint32_t key, uint64_t upstream)
{
	struct key_range *r;

	if (mgr->state != SHARDMGR_ACTIVE)
		return;
	r = range_at(mgr, key);
	/* A grant may be in transit, so only a range without a recent change is granted again. */
	if (!r || r->owner != upstream || r->phase != KEY_LEASED || r->call ||
	    clk_now() - r->moved_at < MOVE_COOLDOWN_MS)
		return;
	log_warn(&log, "upstream %016llx has no lease of key %u of %s; granting its range again",
		 (unsigned long long)upstream, key, mgr->service);
	r->moved_at = clk_now();
	shardmgr_assign_new_fence(mgr, r);
}

static int compare_keys(const void *a, const void *b)
{
	return (int)*(const uint16_t *)a - (int)*(const uint16_t *)b;
}

/* Writes the keys of recent requests to `out`, sorted, and the time that they cover. */
static size_t recent_keys(const struct shardmgr *mgr, clk_ms now, uint16_t *out, double *window_s)
{
	size_t n = 0;
	clk_ms oldest = now;

	for (size_t i = 0; i < mgr->n_requests; i++) {
		size_t at =
			(mgr->next_request + SHARDMGR_MAX_REQUESTS - 1 - i) % SHARDMGR_MAX_REQUESTS;

		if (now - mgr->requests[at].at > SHARDMGR_WINDOW_MS)
			break;
		oldest = mgr->requests[at].at;
		out[n++] = mgr->requests[at].key;
	}
	/* The full window counts even after a short time, or the load would look too high. */
	*window_s =
		(double)(n == SHARDMGR_MAX_REQUESTS ? now - oldest : SHARDMGR_WINDOW_MS) / 1000.0;
	qsort(out, n, sizeof(*out), compare_keys);
	return n;
}

static size_t collect_upstreams(const struct shardmgr *mgr, clk_ms now,
				struct keyplan_upstream **out)
{
	struct fleet_upstream *u;
	size_t n = 0;

	for (u = fleet_first(mgr->env.fleet); u; u = u->hh.next)
		n++;
	*out = calloc(n + 1, sizeof(**out));
	if (!*out)
		abort();
	n = 0;
	for (u = fleet_first(mgr->env.fleet); u; u = u->hh.next) {
		if (strcmp(u->service, mgr->service) != 0)
			continue;
		(*out)[n++] = (struct keyplan_upstream){
			.num = u->num,
			.capacity = mgr->env.capacity(mgr->env.data, mgr->service, u->num),
			.usable = fleet_is_usable(u, now) && shardmgr_holder_ok(mgr, u->num, now),
			.last_resort = now < u->cold_until,
		};
	}
	return n;
}

static size_t count_usable(const struct keyplan_upstream *u, size_t n)
{
	size_t usable = 0;

	for (size_t i = 0; i < n; i++)
		usable += u[i].usable;
	return usable;
}

static struct keyplan_range *collect_ranges(const struct shardmgr *mgr, clk_ms now)
{
	struct keyplan_range *out = calloc(mgr->n_ranges + 1, sizeof(*out));
	size_t n = 0;

	if (!out)
		abort();
	for (const struct key_range *r = mgr->ranges; r; r = r->next) {
		bool cooling_down = now - r->moved_at < MOVE_COOLDOWN_MS;
		bool settled = r->phase == KEY_LEASED;
		const struct fleet_upstream *u = fleet_find(mgr->env.fleet, r->owner);
		/* An unusable owner loses its keys without waiting for the cooldown. */
		bool owner_unusable =
			!u || !fleet_is_usable(u, now) || !shardmgr_holder_ok(mgr, r->owner, now);

		out[n++] = (struct keyplan_range){
			.from = r->from,
			.to = r->to,
			.owner = r->owner,
			/*
			 * If the owner and two former owners may all have leases, a move waits:
			 * only two former owners are recorded. Ranges of usable owners move only
			 * once they are leased and the cooldown is over.
			 */
			.fixed = r->serial > mgr->committed_serial || r->call ||
				 (r->owner_may_hold && r->second_former) ||
				 (!owner_unusable && (!settled || cooling_down)),
		};
	}
	return out;
}

/* Packed size of a range: up to 3 bytes for its last key and 2 for each of three upstreams. */
#define MAX_RANGE_BYTES 9
/* Packed size of the highest fencing token and the headers of the lists. */
#define ROW_FIXED_BYTES 32
/* Returns how many ranges fit into the map's row, which the store keeps in base64. */
static size_t max_ranges(const struct shardmgr *mgr, size_t upstreams)
{
	size_t row = mgr->env.row_bytes / 4 * 3;
	size_t fixed = upstreams * 3 * sizeof(uint64_t) + ROW_FIXED_BYTES;

	if (MUTANT(keeper_any_row))
		return SIZE_MAX;
	return row > fixed ? (row - fixed) / MAX_RANGE_BYTES : 0;
}

/* Returns how many moves of a plan may be for balance only; 0 if the row could overflow. */
static size_t max_balance_moves(const struct shardmgr *mgr, size_t usable)
{
	size_t scaled = (size_t)((double)usable * BALANCE_MOVES_PER_UPSTREAM);

	/* A move can split a range in three. */
	if (mgr->n_ranges + 2 * (scaled + MIN_BALANCE_MOVES) > max_ranges(mgr, usable))
		return 0;
	return scaled > MIN_BALANCE_MOVES ? scaled : MIN_BALANCE_MOVES;
}

/* Whether no owners are known: one range of all keys, without an owner. */
static bool all_unowned(const struct shardmgr *mgr)
{
	return mgr->n_ranges == 1 && !mgr->ranges->owner &&
	       (mgr->ranges->phase == KEY_UNOWNED || !MUTANT(keeper_one_owner));
}

static void run_plan(struct shardmgr *mgr, clk_ms now)
{
	uint16_t *keys = calloc(SHARDMGR_MAX_REQUESTS, sizeof(*keys));
	struct keyplan_move *moves;
	size_t max;
	struct keyplan_upstream *upstreams;
	struct keyplan_range *ranges;
	struct keyplan_input in = {.key_space = mgr->env.platform->key_space};
	size_t usable;
	size_t n;

	if (!keys)
		abort();
	in.n_upstreams = collect_upstreams(mgr, now, &upstreams);
	usable = count_usable(upstreams, in.n_upstreams);
	max = in.n_upstreams * INITIAL_RANGES_PER_UPSTREAM + EXTRA_MOVES;
	moves = calloc(max, sizeof(*moves));
	if (!moves)
		abort();
	merge_ranges(mgr, usable ? usable : 1);
	ranges = collect_ranges(mgr, now);
	in.ranges = ranges;
	in.n_ranges = mgr->n_ranges;
	in.upstreams = upstreams;
	in.n_keys = recent_keys(mgr, now, keys, &in.window_s);
	in.keys = keys;
	if (usable && all_unowned(mgr))
		n = keyplan_initial(&in, INITIAL_RANGES_PER_UPSTREAM, moves, max);
	else
		n = usable ? keyplan(&in, moves, max, max_balance_moves(mgr, usable)) : 0;
	for (size_t i = 0; i < n; i++)
		start_move(mgr, now, &moves[i]);
	free(moves);
	free(keys);
	free(upstreams);
	free(ranges);
}

void shardmgr_fleet_changed(struct shardmgr *mgr)
{
	if (mgr->state != SHARDMGR_ACTIVE)
		return;
	mgr->next_plan = 0;
	shardmgr_schedule_tick(mgr);
}

/* ---- timer ---------------------------------------------------------------------------------- */

/*
 * Whether grants, releases and writes are allowed. Without an answer of the store, a shard manager
 * that may have been replaced must not renew leases.
 */
static bool may_act(const struct shardmgr *mgr, clk_ms now)
{
	if (now - mgr->confirmed_at < SHARDMGR_CONFIRMED_MS || MUTANT(keeper_never_isolated))
		return true;
	return shardmgr_is_supported(mgr, now - SHARDMGR_CONFIRMED_MS);
}

static void run_tick(struct shardmgr *mgr, clk_ms now)
{
	shardmgr_update_votes(mgr, now);
	if (now >= mgr->next_plan && !mgr->writing_serial && watch_store_ok(mgr->env.watch) &&
	    !mgr->stopping && mgr->settled) {
		mgr->next_plan = now + PLAN_INTERVAL_MS;
		run_plan(mgr, now);
	}
	if (mgr->awaits_support)
		mgr->awaits_support = !shardmgr_is_supported(mgr, mgr->restored_at) &&
				      now - mgr->restored_at <= SHARDMGR_CONFIRMED_MS;
	if (mgr->serial != mgr->committed_serial && !mgr->writing_serial && !mgr->reading &&
	    now >= mgr->next_commit && !mgr->awaits_support)
		shardmgr_commit(mgr);
	shardmgr_lease_tick(mgr, now);
}

/* Notes whether this gateway is in touch with the others; after a pause it was not. */
static void check_touch(struct shardmgr *mgr, clk_ms now)
{
	if (now - mgr->last_tick > MAX_TICK_GAP_MS || !mgr->env.hears_most(mgr->env.data))
		mgr->out_of_touch_at = now;
	if (!mgr->env.hears_all(mgr->env.data))
		mgr->not_all_heard_at = now;
}

static void on_timer(struct timer *timer, void *data)
{
	struct shardmgr *mgr = data;
	clk_ms now = clk_now();
	bool acts;

	if (mgr->state != SHARDMGR_ACTIVE)
		return;
	timer_arm(&mgr->timer, TICK_INTERVAL_MS);
	check_touch(mgr, now);
	mgr->last_tick = now;
	if (!mgr->confirming && now - mgr->confirm_sent >= SHARDMGR_CONFIRM_MS)
		shardmgr_confirm_role(mgr);
	acts = may_act(mgr, now);
	if (acts == mgr->suspended)
		log_warn(&log, "the role for %s is %s by the store or most of the electorate%s",
			 mgr->service, acts ? "confirmed again" : "not confirmed",
			 acts ? "" : "; leases are not renewed");
	mgr->suspended = !acts;
	if (acts)
		run_tick(mgr, now);
	if (mgr->publish_due)
		publish_now(mgr);
}

struct shardmgr *shardmgr_create(const struct shardmgr_env *env, const char *service)
{
	struct shardmgr *mgr = calloc(1, sizeof(*mgr));

	if (!mgr)
		abort();
	mgr->env = *env;
	snprintf(mgr->service, sizeof(mgr->service), "%s", service);
	mgr->serial = 1;
	mgr->committed_serial = 1;
	timer_init(&mgr->timer, env->loop, on_timer, mgr);
	return mgr;
}

void shardmgr_destroy(struct shardmgr *mgr)
{
	if (!mgr)
		return;
	shardmgr_lease_clear(mgr);
	shardmgr_ranges_clear(mgr);
	timer_release(&mgr->timer);
	keymap_free(&mgr->view);
	keymap_free(&mgr->sent);
	free(mgr);
}

const char *shardmgr_service(const struct shardmgr *mgr)
{
	return mgr->service;
}

bool shardmgr_is_active(const struct shardmgr *mgr)
{
	return mgr->state == SHARDMGR_ACTIVE;
}

bool shardmgr_is_acquiring(const struct shardmgr *mgr)
{
	return mgr->state == SHARDMGR_ACQUIRING_ROLE ||
	       (mgr->state == SHARDMGR_STANDBY && mgr->open_calls);
}

uint64_t shardmgr_term(const struct shardmgr *mgr)
{
	return mgr->term;
}

uint64_t shardmgr_followed_term(const struct shardmgr *mgr)
{
	return mgr->seen_term;
}

uint64_t shardmgr_former_term(const struct shardmgr *mgr)
{
	return mgr->former_term;
}
