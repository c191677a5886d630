/* The assignment planner: forced moves first, then a limited number of balancing moves. */
#include "version/assign_priv.h"

#include <math.h>
#include <stdlib.h>

#include "base/mutant.h"

/*
 * A key is split off its partition when it carries at least SPLIT_LOAD_SHARE of the mean load of an
 * upstream, and merged back when it carries less than MERGE_LOAD_SHARE of that mean. The gap avoids
 * repeated splits and merges of a key whose load is close to a threshold.
 */
#define SPLIT_LOAD_SHARE 0.05
#define MERGE_LOAD_SHARE 0.02

/*
 * An upstream below this share of the fair load gets load from others, so that a new upstream is
 * used. With 0.85, the moves after the loss of an upstream in bench_balance carried more than 1.1
 * times the lost load until the load was balanced.
 */
#define FILL_LOAD_SHARE 0.75

/*
 * In a call with forced moves, balancing moves are limited to one per this many forced moves, and
 * to the same fraction of their load, so that the loss of an upstream moves at most 1.1 times the
 * lost load.
 */
#define FORCED_PER_BALANCING_MOVE 16

/* A move must lower the higher load per slot of its two upstreams by this fraction; a smaller gain
 * may be a rounding error. */
#define MIN_LOAD_REDUCTION 1e-6

const struct assign_options assign_defaults = {
	.max_imbalance = 1.10,
	.max_balancing_moves = 16,
	.max_hot_keys = 160,
};

/* ---- balancing ---- */

static double mean_upstream_load(const struct assign_planner *p)
{
	return p->n_upstreams ? p->total_load / (double)p->n_upstreams : 0;
}

/*
 * Returns the load above which an upstream is overloaded. An upstream whose largest unit exceeds
 * the fair load is measured against that unit, since a unit cannot be divided.
 */
static double max_upstream_load(const struct assign_planner *p,
				const struct assign_planner_upstream *u)
{
	double fair = p->mean_load_per_slot * u->slots;

	return p->opts->max_imbalance * (fair > u->largest_unit_load ? fair : u->largest_unit_load);
}

/* Returns the mean load per slot, without upstreams whose largest unit alone exceeds that mean. */
static double fair_load_per_slot(const struct assign_planner *p)
{
	double fair = p->mean_load_per_slot;

	for (;;) {
		double load = p->total_load;
		double slots = 0;
		double next;

		for (size_t i = 0; i < p->n_upstreams; i++) {
			const struct assign_planner_upstream *u = &p->upstreams[i];

			if (u->largest_unit_load > fair * u->slots)
				load -= u->largest_unit_load;
			else
				slots += u->slots;
		}
		next = slots > 0 ? load / slots : 0;
		if (next >= fair)
			return fair;
		fair = next;
	}
}

static size_t least_loaded(const struct assign_planner *p)
{
	size_t best = ASSIGN_NO_INDEX;

	for (size_t i = 0; i < p->n_upstreams; i++) {
		if (best == ASSIGN_NO_INDEX || assign_load_per_slot(&p->upstreams[i]) <
						       assign_load_per_slot(&p->upstreams[best]))
			best = i;
	}
	return best;
}

/* Returns the higher load per slot of the two upstreams after a move of `load` from u to v. */
static double max_load_per_slot_after(const struct assign_planner_upstream *u,
				      const struct assign_planner_upstream *v, double load)
{
	double from = (u->load - load) / u->slots;
	double to = (v->load + load) / v->slots;

	return from > to ? from : to;
}

/* Splits a key off its partition: the key becomes a unit with the same owner. Returns its index. */
static size_t split(struct assign_planner *p, struct assign_tracked_key *key)
{
	struct assign_planner_unit *partition = &p->units[key->unit];
	size_t owner = partition->owner;
	size_t unit = p->n_units++;
	double load = assign_sanitize_load(key->key->load);

	if (load > partition->load)
		load = partition->load;
	partition->load -= load;
	p->upstreams[owner].load -= load;
	p->units[unit] = (struct assign_planner_unit){
		.hot = true,
		.partition = partition->partition,
		.key_hash = key->key->key_hash,
		.assigned_upstream = partition->assigned_upstream,
		.load = load,
	};
	assign_set_owner(p, unit, owner);
	key->split = true;
	key->unit = unit;
	p->n_hot++;
	return unit;
}

/* The best move found so far from one upstream to another. */
struct move_choice {
	size_t from;
	size_t to;
	double excess;	 /* load that should leave `from` */
	double peak;	 /* higher load per slot of both upstreams after the move */
	double load;	 /* of the unit to move, 0 if no move was found */
	bool hot;	 /* the unit is a single key */
	bool sufficient; /* moves at least `excess` and does not overload `to` */
	size_t unit;	 /* index of the unit, ASSIGN_NO_INDEX if `key` is not split off yet */
	struct assign_tracked_key *key; /* to be split off first, or NULL */
};

/*
 * Replaces the choice if this move is better. Among sufficient moves, a single key is better than a
 * partition, then a lighter unit, so that few keys change their owner. Without a sufficient move,
 * the lowest peak is best.
 */
static void consider_move(const struct assign_planner *p, struct move_choice *c, double load,
			  size_t unit, struct assign_tracked_key *key)
{
	const struct assign_planner_upstream *to = &p->upstreams[c->to];
	double peak = max_load_per_slot_after(&p->upstreams[c->from], to, load);
	bool sufficient =
		load >= c->excess &&
		to->load + load <= p->opts->max_imbalance * p->mean_load_per_slot * to->slots;
	bool hot = key || p->units[unit].hot;
	bool better;

	/* The peak must fall, so that planning under constant load reaches a state without moves.
	 * Mutant: moves that do not lower the peak are accepted. */
	if (peak >= assign_load_per_slot(&p->upstreams[c->from]) * (1 - MIN_LOAD_REDUCTION) &&
	    !MUTANT(assign_any_move))
		return;
	if (load <= 0 || load > p->load_budget)
		return;
	if (c->load <= 0 || sufficient != c->sufficient)
		better = c->load <= 0 || sufficient;
	else if (sufficient && hot != c->hot)
		better = hot;
	else
		better = sufficient ? load < c->load : peak < c->peak;
	if (!better)
		return;
	c->peak = peak;
	c->load = load;
	c->sufficient = sufficient;
	c->unit = unit;
	c->key = key;
	c->hot = hot;
}

static void consider_unit_moves(const struct assign_planner *p, struct move_choice *c)
{
	for (size_t i = p->upstreams[c->from].first; i != ASSIGN_NO_INDEX; i = p->units[i].next) {
		if (!p->units[i].moved)
			consider_move(p, c, p->units[i].load, i, NULL);
	}
}

static void consider_key_splits(const struct assign_planner *p, struct move_choice *c)
{
	double min_load = SPLIT_LOAD_SHARE * mean_upstream_load(p);

	if (p->n_hot >= p->opts->max_hot_keys)
		return;
	for (size_t i = 0; i < p->n_keys; i++) {
		struct assign_tracked_key *key = &p->keys[i];
		const struct assign_planner_unit *partition = &p->units[key->unit];
		double load = assign_sanitize_load(key->key->load);

		/* Keys of a partition that was moved in this call are not split off. */
		if (!key->split && load >= min_load && partition->owner == c->from &&
		    !partition->moved)
			consider_move(p, c, load < partition->load ? load : partition->load,
				      ASSIGN_NO_INDEX, key);
	}
}

/* Adds the best move from one upstream to another; returns false if there is none. */
static bool move_one_unit(struct assign_planner *p, size_t from, size_t to, double excess)
{
	struct move_choice c = {.from = from, .to = to, .excess = excess, .unit = ASSIGN_NO_INDEX};

	if (from == to || p->n_out == p->max)
		return false;
	consider_unit_moves(p, &c);
	consider_key_splits(p, &c);
	if (c.load <= 0)
		return false;
	if (c.key)
		c.unit = split(p, c.key);
	if (!assign_add_move(p, assign_unit_kind_of(&p->units[c.unit]), c.unit,
			     p->upstreams[to].num, false))
		return false;
	p->load_budget -= c.load;
	assign_clear_owner(p, c.unit);
	assign_set_owner(p, c.unit, to);
	return true;
}

/* Returns the overloaded upstream with the highest load per slot, without those marked
 * `cannot_improve`; ASSIGN_NO_INDEX if there is none. */
static size_t most_overloaded(const struct assign_planner *p)
{
	size_t worst = ASSIGN_NO_INDEX;

	for (size_t i = 0; i < p->n_upstreams; i++) {
		const struct assign_planner_upstream *u = &p->upstreams[i];

		if (u->cannot_improve ||
		    (u->load <= max_upstream_load(p, u) && !MUTANT(assign_any_move)))
			continue;
		if (worst == ASSIGN_NO_INDEX ||
		    assign_load_per_slot(u) > assign_load_per_slot(&p->upstreams[worst]))
			worst = i;
	}
	return worst;
}

/* Moves load away from overloaded upstreams; returns the remaining budget. */
static size_t relieve_overloaded(struct assign_planner *p, size_t budget)
{
	while (budget > 0) {
		size_t from = most_overloaded(p);

		if (from == ASSIGN_NO_INDEX)
			break;
		if (move_one_unit(p, from, least_loaded(p),
				  p->upstreams[from].load -
					  max_upstream_load(p, &p->upstreams[from])))
			budget--;
		else
			p->upstreams[from].cannot_improve = true;
	}
	return budget;
}

/* Returns the most loaded upstream, or the next one after `after` in descending order of load. */
static size_t next_most_loaded(const struct assign_planner *p, size_t after)
{
	size_t best = ASSIGN_NO_INDEX;

	for (size_t i = 0; i < p->n_upstreams; i++) {
		double x = assign_load_per_slot(&p->upstreams[i]);

		if (after != ASSIGN_NO_INDEX &&
		    (x > assign_load_per_slot(&p->upstreams[after]) ||
		     (x == assign_load_per_slot(&p->upstreams[after]) && i <= after)))
			continue;
		if (best == ASSIGN_NO_INDEX || x > assign_load_per_slot(&p->upstreams[best]))
			best = i;
	}
	return best;
}

/* Moves load from the most loaded upstreams to underloaded ones; returns the remaining budget. */
static size_t fill_underloaded(struct assign_planner *p, size_t budget)
{
	while (budget > 0) {
		size_t to = least_loaded(p);
		size_t from = ASSIGN_NO_INDEX;
		bool moved = false;

		if (to == ASSIGN_NO_INDEX || assign_load_per_slot(&p->upstreams[to]) >=
						     FILL_LOAD_SHARE * fair_load_per_slot(p))
			break;
		/* Tries up to 8 upstreams, since the most loaded ones may each have a single unit,
		 * which cannot be divided. */
		for (size_t tries = 0; tries < 8 && !moved; tries++) {
			from = next_most_loaded(p, from);
			if (from == ASSIGN_NO_INDEX)
				break;
			moved = move_one_unit(p, from, to, INFINITY);
		}
		if (!moved)
			break;
		budget--;
	}
	return budget;
}

/* ---- split-off keys whose load has fallen ---- */

/* Merges keys with little load into their partitions; returns the remaining budget. */
static size_t merge_cold_keys(struct assign_planner *p, size_t budget)
{
	double max_load = MERGE_LOAD_SHARE * mean_upstream_load(p);

	for (size_t i = p->partitions; i < p->n_units && budget > 0; i++) {
		struct assign_planner_unit *u = &p->units[i];
		struct assign_planner_unit *partition = &p->units[u->partition];

		/* Neither the key nor its partition may have been moved in this call. */
		if (u->moved || u->load >= max_load || u->owner == ASSIGN_NO_INDEX ||
		    partition->moved || partition->owner == ASSIGN_NO_INDEX)
			continue;
		if (!assign_add_move(p, ASSIGN_HOT_KEY_MERGE, i, p->upstreams[partition->owner].num,
				     false))
			break;
		assign_clear_owner(p, i);
		partition->load += u->load;
		partition->moved = true;
		p->upstreams[partition->owner].load += u->load;
		p->n_hot--;
		budget--;
	}
	return budget;
}

/* Returns the load of the units that have been moved, which are the forced ones at this point. */
static double forced_load(const struct assign_planner *p)
{
	double load = 0;

	for (size_t i = 0; i < p->n_units; i++)
		load += p->units[i].moved ? p->units[i].load : 0;
	return load;
}

static void balance(struct assign_planner *p, size_t forced)
{
	size_t budget = p->opts->max_balancing_moves;

	p->load_budget = forced > 0 ? forced_load(p) / FORCED_PER_BALANCING_MOVE : INFINITY;

	if (forced > 0 && budget > forced / FORCED_PER_BALANCING_MOVE)
		budget = forced / FORCED_PER_BALANCING_MOVE;
	/* Mutant: the number of balancing moves is not limited. */
	if (MUTANT(assign_no_budget))
		budget = SIZE_MAX;
	if (p->loads_observed && p->n_hot >= p->opts->max_hot_keys)
		budget = merge_cold_keys(p, budget);
	budget = relieve_overloaded(p, budget);
	budget = fill_underloaded(p, budget);
	if (p->loads_observed)
		merge_cold_keys(p, budget);
}

size_t assign_plan(const Bc__Assign *current, const bool *served, uint32_t partitions,
		   const struct assign_upstream *upstreams, size_t n_upstreams,
		   const struct assign_loads *loads, const struct assign_options *opts,
		   struct assign_move *out, size_t max)
{
	static const struct assign_loads unknown = {0};
	size_t hot = current ? current->n_hot : 0;
	struct assign_planner p = {.opts = opts, .partitions = partitions, .out = out, .max = max};

	if (partitions == 0)
		return 0;
	if (!loads)
		loads = &unknown;
	p.loads_observed = loads->partitions && loads->n_keys > 0;
	/* Room for the partitions, the keys that are split off, and one unit per tracked key. */
	p.units = assign_zalloc(partitions + hot + loads->n_keys, sizeof(*p.units));
	assign_build_upstreams(&p, upstreams, n_upstreams);
	assign_build_keys(&p, loads, served);
	assign_build_partitions(&p, current, loads);
	assign_build_hot(&p, current, served);
	assign_build_owners(&p, served);
	assign_release_unserved(&p, served);
	if (p.n_upstreams > 0) {
		assign_place_forced(&p, served);
		balance(&p, p.n_out);
	}
	free(p.units);
	free(p.upstreams);
	free(p.keys);
	return p.n_out;
}
