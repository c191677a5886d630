/* Ranges of keys, what requests see of them, and the plan; keeper_row.c has the store's rows. */
#include "process/keeper_priv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"
#include "process/keyplan.h"

#define TICK_MS 100
/* Each turn looks at all ranges, so answers that come close together are handled by one. */
#define MIN_TICK_MS 10
/* Between two plans for balance; one takes a release, a write and a grant to come into force. */
#define PLAN_MS 250
/* A range that was moved stays where it is for this long. */
#define REST_MS 800
/*
 * Moves of one plan that only even out the load: at least so many, and per upstream, since a hot
 * block of keys has to be spread over a part of all upstreams within a second or two.
 */
#define MIN_BALANCE_MOVES 6
#define BALANCE_MOVES_SHARE 0.25
/* Further moves on top of two per upstream. */
#define EXTRA_MOVES 64
/* Ranges per upstream at first, and above which neighbours with one owner are joined. */
#define FIRST_PIECES 2
#define JOIN_ABOVE_PIECES 3

static const struct log log = {"keeper"};
CTR(ctr_moves, "key_moves_total", "Ranges of keys given to another upstream.");

/* ---- ranges --------------------------------------------------------------------------------- */

void keeper_ranges_clear(struct keeper *k)
{
	while (k->ranges) {
		struct key_range *r = k->ranges;

		keeper_range_forget_call(r);
		k->ranges = r->next;
		free(r);
	}
	k->n_ranges = 0;
}

struct key_range *keeper_range_new(struct keeper *k, uint32_t from, uint32_t to)
{
	struct key_range *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->from = from;
	r->to = to;
	k->n_ranges++;
	return r;
}

static struct key_range *range_at(const struct keeper *k, uint32_t key)
{
	struct key_range *r = k->ranges;

	while (r && r->to < key)
		r = r->next;
	return r;
}

/* Splits so that a range ends before `key`. Only ranges without an open call are split. */
static void split_before(struct keeper *k, uint32_t key)
{
	struct key_range *r = range_at(k, key);
	struct key_range *rest;

	if (!r || r->from == key)
		return;
	rest = keeper_range_new(k, key, r->to);
	*rest = *r;
	rest->from = key;
	r->to = key - 1;
	r->next = rest;
}

void keeper_wake(struct keeper *k)
{
	clk_ms since = clk_now() - k->last_tick;

	timer_arm(&k->timer, since < MIN_TICK_MS ? MIN_TICK_MS - since : 0);
}

void keeper_changed(struct keeper *k, struct key_range *r)
{
	/* A write that is under way has the state before this change. */
	if (k->serial == k->writing || k->serial == k->committed)
		k->serial++;
	r->serial = k->serial;
	k->next_commit = k->next_commit > clk_now() ? k->next_commit : 0;
	keeper_wake(k);
}

void keeper_new_fence(struct keeper *k, struct key_range *r, uint64_t n)
{
	k->fence += n;
	r->fence = k->fence;
	r->fence_conn = 0;
	if (k->fence > k->fence_ready)
		keeper_changed(k, r);
}

void keeper_refence(struct keeper *k, struct key_range *r)
{
	keeper_new_fence(k, r, 1);
	if (r->phase == KEY_HELD)
		r->phase = KEY_GIVING;
	r->due = 0;
	keeper_wake(k);
}

static void move(struct keeper *k, clk_ms now, const struct keyplan_move *m)
{
	struct key_range *r;

	split_before(k, m->from);
	split_before(k, m->to + 1);
	r = range_at(k, m->from);
	keeper_range_forget_call(r);
	log_info(&log, "plan: keys %u-%u of %s from upstream %016llx to %016llx", r->from, r->to,
		 k->service, (unsigned long long)r->owner, (unsigned long long)m->owner);
	ctr_inc(&ctr_moves);
	/* The fence below is for the former owner, see `raise`. */
	keeper_new_fence(k, r, 2);
	r->moved_at = now;
	if (r->phase == KEY_HELD || r->phase == KEY_GIVING) {
		/* Also a grant without an answer may have been accepted. */
		r->former = r->owner;
		r->former_until = r->held_until;
		r->phase = KEY_TAKING;
		/* An upstream refuses a late grant only if it was granted under a higher fence. */
		r->raise = now < r->late_until ? KEEPER_RAISE_ATTEMPTS : 0;
		r->raise_sent = false;
		r->wait_out = false;
	} else if (r->phase == KEY_NONE) {
		r->phase = KEY_GIVING;
	} else if (r->owner_may_hold && !MUTANT(keeper_forget_owner)) {
		r->second_former = r->owner;
		r->second_until = r->held_until;
	}
	r->owner_may_hold = false;
	r->held_until = 0;
	r->owner = m->owner;
	keeper_changed(k, r);
}

/* Neighbours with the same owner become one range under the higher of their fences. */
static void join_ranges(struct keeper *k, size_t upstreams)
{
	struct key_range *r = k->ranges;

	if (k->n_ranges <= upstreams * JOIN_ABOVE_PIECES)
		return;
	while (r && r->next) {
		struct key_range *n = r->next;

		if (r->owner != n->owner || r->phase != KEY_HELD || n->phase != KEY_HELD ||
		    r->call || n->call || r->serial > k->committed || n->serial > k->committed) {
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
		if (n->held_until > r->held_until)
			r->held_until = n->held_until;
		if (n->late_until > r->late_until)
			r->late_until = n->late_until;
		if (n->late_fence > r->late_fence)
			r->late_fence = n->late_fence;
		r->due = 0;
		r->next = n->next;
		k->n_ranges--;
		free(n);
	}
}

/* ---- view of the owners --------------------------------------------------------------------- */

void keeper_publish(struct keeper *k)
{
	k->publish_due = true;
	keeper_wake(k);
}

static void publish_now(struct keeper *k)
{
	k->publish_due = false;
	keymap_clear(&k->view);
	for (const struct key_range *r = k->ranges; r; r = r->next)
		keymap_add(&k->view, r->from, r->to, r->serving);
	k->view.term = k->term;
	k->view.version++;
	k->env.on_owners(k->env.data, k->service);
}

uint64_t keeper_owner(const struct keeper *k, uint32_t key)
{
	return keymap_owner(&k->view, key);
}

Bc__KeyMap *keeper_map(const struct keeper *k, struct arena *a)
{
	if (k->sent.term != k->view.term)
		return NULL;
	return keymap_pack(a, k->service, &k->sent, &k->sent, 0);
}

uint64_t keeper_map_version(const struct keeper *k)
{
	return k->sent.term == k->view.term ? k->sent.version : 0;
}

bool keeper_map_is_known(const struct keeper *k, uint64_t term, uint64_t version)
{
	return k->view.term > term || (k->view.term == term && k->view.version >= version);
}

Bc__KeyMap *keeper_map_changes(struct keeper *k, struct arena *a)
{
	bool whole = k->sent.term != k->view.term;
	struct keymap changes = {0};
	Bc__KeyMap *frame;

	if (!whole)
		keymap_changes(&k->sent, &k->view, &changes);
	frame = keymap_pack(a, k->service, &k->view, whole ? &k->view : &changes,
			    whole ? 0 : k->sent.version);
	keymap_free(&changes);
	keymap_copy(&k->sent, &k->view);
	return frame;
}

enum keymap_result keeper_apply_map(struct keeper *k, const Bc__KeyMap *map)
{
	enum keymap_result result;

	if (k->state == KEEPER_KEEPING)
		return KEYMAP_OLD;
	result = keymap_apply(&k->view, map);
	if (result == KEYMAP_APPLIED)
		k->env.on_owners(k->env.data, k->service);
	return result;
}

/* ---- role ----------------------------------------------------------------------------------- */

void keeper_step_down(struct keeper *k, const char *why)
{
	bool was = k->state == KEEPER_KEEPING;

	if (k->state == KEEPER_FOLLOWING)
		return;
	k->state = KEEPER_FOLLOWING;
	timer_cancel(&k->timer);
	k->publish_due = false;
	keeper_hold_clear(k);
	keeper_ranges_clear(k);
	if (!was)
		return;
	log_info(&log, "no longer keeper of %s in term %llu: %s", k->service,
		 (unsigned long long)k->term, why);
	k->env.on_role(k->env.data, k->service, false);
}

void keeper_heard(struct keeper *k, uint64_t term)
{
	if (term > k->term) {
		keeper_step_down(k, "another gateway has a higher term");
		k->term = term;
	}
}

void keeper_resign(struct keeper *k)
{
	k->stopping = true;
}

/* ---- plan ----------------------------------------------------------------------------------- */

void keeper_note_request(struct keeper *k, uint32_t key)
{
	if (k->state != KEEPER_KEEPING)
		return;
	k->requests[k->next_request].at = clk_now();
	k->requests[k->next_request].key = (uint16_t)key;
	k->next_request = (k->next_request + 1) % KEEPER_MAX_REQUESTS;
	if (k->n_requests < KEEPER_MAX_REQUESTS)
		k->n_requests++;
}

void keeper_note_misplaced(struct keeper *k, uint32_t key, uint64_t upstream)
{
	struct key_range *r;

	if (k->state != KEEPER_KEEPING)
		return;
	r = range_at(k, key);
	/* A grant may just be on its way; only a settled range is granted again. */
	if (!r || r->owner != upstream || r->phase != KEY_HELD || r->call ||
	    clk_now() - r->moved_at < REST_MS)
		return;
	log_warn(&log, "upstream %016llx does not hold key %u of %s; granting it again",
		 (unsigned long long)upstream, key, k->service);
	r->moved_at = clk_now();
	keeper_refence(k, r);
}

static int compare_keys(const void *a, const void *b)
{
	return (int)*(const uint16_t *)a - (int)*(const uint16_t *)b;
}

static size_t recent_keys(const struct keeper *k, clk_ms now, uint16_t *out, double *window_s)
{
	size_t n = 0;
	clk_ms oldest = now;

	for (size_t i = 0; i < k->n_requests; i++) {
		size_t at = (k->next_request + KEEPER_MAX_REQUESTS - 1 - i) % KEEPER_MAX_REQUESTS;

		if (now - k->requests[at].at > KEEPER_WINDOW_MS)
			break;
		oldest = k->requests[at].at;
		out[n++] = k->requests[at].key;
	}
	/* A window that is not full yet would exaggerate the load. */
	*window_s = (double)(n == KEEPER_MAX_REQUESTS ? now - oldest : KEEPER_WINDOW_MS) / 1000.0;
	qsort(out, n, sizeof(*out), compare_keys);
	return n;
}

static size_t plan_upstreams(const struct keeper *k, clk_ms now, struct keyplan_upstream **out)
{
	struct fleet_upstream *u;
	size_t n = 0;

	for (u = fleet_first(k->env.fleet); u; u = u->hh.next)
		n++;
	*out = calloc(n + 1, sizeof(**out));
	if (!*out)
		abort();
	n = 0;
	for (u = fleet_first(k->env.fleet); u; u = u->hh.next) {
		if (strcmp(u->service, k->service) != 0)
			continue;
		(*out)[n++] = (struct keyplan_upstream){
			.num = u->num,
			.capacity = k->env.capacity(k->env.data, k->service, u->num),
			.usable = fleet_is_usable(u, now) && keeper_holder_ok(k, u->num, now),
			.reluctant = now < u->cold_until,
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

static struct keyplan_range *plan_ranges(const struct keeper *k, clk_ms now)
{
	struct keyplan_range *out = calloc(k->n_ranges + 1, sizeof(*out));
	size_t n = 0;

	if (!out)
		abort();
	for (const struct key_range *r = k->ranges; r; r = r->next) {
		bool resting = now - r->moved_at < REST_MS;
		bool settled = r->phase == KEY_HELD;
		const struct fleet_upstream *u = fleet_find(k->env.fleet, r->owner);
		/* Keys of an upstream that leaves or is lost move at once. */
		bool lost = !u || !fleet_is_usable(u, now) || !keeper_holder_ok(k, r->owner, now);

		out[n++] = (struct keyplan_range){
			.from = r->from,
			.to = r->to,
			.owner = r->owner,
			/* No more than two upstreams are asked for the same keys. */
			.fixed = r->serial > k->committed || r->call ||
				 (r->owner_may_hold && r->second_former) ||
				 (!lost && (!settled || resting)),
		};
	}
	return out;
}

/*
 * Ranges that the row of the map has room for: up to 3 bytes for the last key and 2 for each of
 * three upstreams, and the store's rows are in base64.
 */
#define RANGE_BYTES 9
/* The fence and the heads of the lists. */
#define ROW_FIXED_BYTES 32
static size_t max_ranges(const struct keeper *k, size_t upstreams)
{
	size_t row = k->env.row_bytes / 4 * 3;
	size_t fixed = upstreams * 3 * sizeof(uint64_t) + ROW_FIXED_BYTES;

	if (MUTANT(keeper_any_row))
		return SIZE_MAX;
	return row > fixed ? (row - fixed) / RANGE_BYTES : 0;
}

static size_t balance_moves(const struct keeper *k, size_t usable)
{
	size_t share = (size_t)((double)usable * BALANCE_MOVES_SHARE);

	/* A move may cut a range in three. */
	if (k->n_ranges + 2 * (share + MIN_BALANCE_MOVES) > max_ranges(k, usable))
		return 0;
	return share > MIN_BALANCE_MOVES ? share : MIN_BALANCE_MOVES;
}

static bool unowned(const struct keeper *k)
{
	return k->n_ranges == 1 && k->ranges->phase == KEY_NONE && !k->ranges->owner;
}

static void plan(struct keeper *k, clk_ms now)
{
	uint16_t *keys = calloc(KEEPER_MAX_REQUESTS, sizeof(*keys));
	struct keyplan_move *moves;
	size_t max;
	struct keyplan_upstream *upstreams;
	struct keyplan_range *ranges;
	struct keyplan_input in = {.key_space = k->env.platform->key_space};
	size_t usable;
	size_t n;

	if (!keys)
		abort();
	in.n_upstreams = plan_upstreams(k, now, &upstreams);
	usable = count_usable(upstreams, in.n_upstreams);
	max = in.n_upstreams * FIRST_PIECES + EXTRA_MOVES;
	moves = calloc(max, sizeof(*moves));
	if (!moves)
		abort();
	join_ranges(k, usable ? usable : 1);
	ranges = plan_ranges(k, now);
	in.ranges = ranges;
	in.n_ranges = k->n_ranges;
	in.upstreams = upstreams;
	in.n_keys = recent_keys(k, now, keys, &in.window_s);
	in.keys = keys;
	if (usable && unowned(k))
		n = keyplan_first(&in, FIRST_PIECES, moves, max);
	else
		n = usable ? keyplan(&in, moves, max, balance_moves(k, usable)) : 0;
	for (size_t i = 0; i < n; i++)
		move(k, now, &moves[i]);
	free(moves);
	free(keys);
	free(upstreams);
	free(ranges);
}

void keeper_fleet_changed(struct keeper *k)
{
	if (k->state != KEEPER_KEEPING)
		return;
	k->next_plan = 0;
	keeper_wake(k);
}

/* ---- time ----------------------------------------------------------------------------------- */

/* Without the store, a keeper that may have been replaced must not renew leases. */
static bool may_act(const struct keeper *k, clk_ms now)
{
	if (now - k->confirmed_at < KEEPER_STORE_SILENCE_MS || MUTANT(keeper_never_isolated))
		return true;
	return k->env.peers_agree(k->env.data, k->service, k->term);
}

static void act(struct keeper *k, clk_ms now)
{
	if (now >= k->next_plan && !k->writing && watch_store_ok(k->env.watch) && !k->stopping) {
		k->next_plan = now + PLAN_MS;
		plan(k, now);
	}
	if (k->serial != k->committed && !k->writing && !k->reading && now >= k->next_commit)
		keeper_commit(k);
	keeper_hold_tick(k, now);
}

static void on_timer(struct timer *timer, void *data)
{
	struct keeper *k = data;
	clk_ms now = clk_now();

	if (k->state != KEEPER_KEEPING)
		return;
	timer_arm(&k->timer, TICK_MS);
	k->last_tick = now;
	if (!k->confirming && now - k->confirm_sent >= KEEPER_CONFIRM_MS)
		keeper_confirm(k);
	if (may_act(k, now))
		act(k, now);
	if (k->publish_due)
		publish_now(k);
}

struct keeper *keeper_create(const struct keeper_env *env, const char *service)
{
	struct keeper *k = calloc(1, sizeof(*k));

	if (!k)
		abort();
	k->env = *env;
	snprintf(k->service, sizeof(k->service), "%s", service);
	k->serial = 1;
	k->committed = 1;
	timer_init(&k->timer, env->loop, on_timer, k);
	return k;
}

void keeper_destroy(struct keeper *k)
{
	if (!k)
		return;
	keeper_hold_clear(k);
	keeper_ranges_clear(k);
	timer_release(&k->timer);
	keymap_free(&k->view);
	keymap_free(&k->sent);
	free(k);
}

const char *keeper_service(const struct keeper *k)
{
	return k->service;
}

bool keeper_is_keeping(const struct keeper *k)
{
	return k->state == KEEPER_KEEPING;
}

bool keeper_is_taking(const struct keeper *k)
{
	return k->state == KEEPER_TAKING;
}

uint64_t keeper_term(const struct keeper *k)
{
	return k->term;
}
