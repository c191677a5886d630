/* Plans of key assignments: forced moves first, then balancing within its limits. */
#include "version/assign_priv.h"

#include <math.h>
#include <stdlib.h>

#include "base/mutant.h"

/* A key is split off when it carries at least this share of the mean load of an upstream, and goes
 * back into its partition below the lower share. The gap keeps a key that hovers near one of them
 * from being moved again and again. */
#define SPLIT_SHARE 0.05
#define MERGE_SHARE 0.02

/* An upstream below this share of the fair load is filled up, so that a new one gets its part. At
 * 0.85 the losses of bench_balance changed more than 1.1 times the lost load until balanced. */
#define FILL_SHARE 0.75

/* Moves that balance load while others are forced are limited to this part of the forced ones, by
 * number and load, so that a loss changes at most 1.1 times the lost share. */
#define VOLUNTARY_PER_FORCED 16

/* A move must lower the higher of the two loads by this factor; smaller gains are rounding. */
#define MIN_GAIN 1e-6

const struct assign_options assign_defaults = {
	.max_imbalance = 1.10,
	.max_balancing_moves = 16,
	.max_hot_keys = 160,
};

/* ---- balancing ---- */

static double mean_upstream(const struct assign_planner *p)
{
	return p->n_ups ? p->total / (double)p->n_ups : 0;
}

/* What one upstream may carry: a unit that is larger than the mean cannot be divided. */
static double bound(const struct assign_planner *p, const struct assign_planner_upstream *u)
{
	double fair = p->mean * u->slots;

	return p->opts->max_imbalance * (fair > u->largest ? fair : u->largest);
}

/* Load per slot of the upstreams that are not filled by a single unit already. */
static double fair_level(const struct assign_planner *p)
{
	double fair = p->mean;

	for (;;) {
		double load = p->total;
		double slots = 0;
		double next;

		for (size_t i = 0; i < p->n_ups; i++) {
			const struct assign_planner_upstream *u = &p->ups[i];

			if (u->largest > fair * u->slots)
				load -= u->largest;
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

	for (size_t i = 0; i < p->n_ups; i++) {
		if (best == ASSIGN_NO_INDEX ||
		    assign_load_per_slot(&p->ups[i]) < assign_load_per_slot(&p->ups[best]))
			best = i;
	}
	return best;
}

/* A move of `load` from u to v: the higher of both levels afterwards. */
static double peak_after(const struct assign_planner_upstream *u,
			 const struct assign_planner_upstream *v, double load)
{
	double from = (u->load - load) / u->slots;
	double to = (v->load + load) / v->slots;

	return from > to ? from : to;
}

/* Takes the load of a key out of its partition; the key becomes a unit of the same owner. */
static size_t split(struct assign_planner *p, struct assign_candidate *key)
{
	struct assign_planner_unit *partition = &p->units[key->unit];
	size_t owner = partition->owner;
	size_t unit = p->n_units++;
	double load = assign_sanitize_load(key->key->load);

	if (load > partition->load)
		load = partition->load;
	partition->load -= load;
	p->ups[owner].load -= load;
	p->units[unit] = (struct assign_planner_unit){
		.hot = true,
		.partition = partition->partition,
		.key_hash = key->key->key_hash,
		.old_owner = partition->old_owner,
		.load = load,
	};
	assign_set_owner(p, unit, owner);
	key->split = true;
	key->unit = unit;
	p->n_hot++;
	return unit;
}

/* The move from one upstream to another that was found so far. */
struct choice {
	size_t from;
	size_t to;
	double want; /* load that should leave `from` */
	double peak; /* higher level of both after the move */
	double load; /* of the unit, 0 if none was found */
	bool hot;    /* a single key */
	bool enough; /* relieves `from` and does not overload `to` */
	size_t unit;
	struct assign_candidate *key; /* to be split off first */
};

/*
 * The lightest unit that is enough, single keys before partitions, so that few keys change their
 * owner; if none is enough, the one that brings both upstreams closest together.
 */
static void consider(const struct assign_planner *p, struct choice *c, double load, size_t unit,
		     struct assign_candidate *key)
{
	const struct assign_planner_upstream *to = &p->ups[c->to];
	double peak = peak_after(&p->ups[c->from], to, load);
	bool enough =
		load >= c->want && to->load + load <= p->opts->max_imbalance * p->mean * to->slots;
	bool hot = key || p->units[unit].hot;
	bool better;

	/* The higher level must fall, so that planning under unchanged load comes to an end.
	 * Mutant: any move counts as a gain. */
	if (peak >= assign_load_per_slot(&p->ups[c->from]) * (1 - MIN_GAIN) &&
	    !MUTANT(assign_any_move))
		return;
	if (load <= 0 || load > p->allowance)
		return;
	if (c->load <= 0 || enough != c->enough)
		better = c->load <= 0 || enough;
	else if (enough && hot != c->hot)
		better = hot;
	else
		better = enough ? load < c->load : peak < c->peak;
	if (!better)
		return;
	c->peak = peak;
	c->load = load;
	c->enough = enough;
	c->unit = unit;
	c->key = key;
	c->hot = hot;
}

static void consider_units(const struct assign_planner *p, struct choice *c)
{
	for (size_t i = p->ups[c->from].first; i != ASSIGN_NO_INDEX; i = p->units[i].next) {
		if (!p->units[i].moved)
			consider(p, c, p->units[i].load, i, NULL);
	}
}

static void consider_splits(const struct assign_planner *p, struct choice *c)
{
	double least = SPLIT_SHARE * mean_upstream(p);

	if (p->n_hot >= p->opts->max_hot_keys)
		return;
	for (size_t i = 0; i < p->n_keys; i++) {
		struct assign_candidate *key = &p->keys[i];
		const struct assign_planner_unit *partition = &p->units[key->unit];
		double load = assign_sanitize_load(key->key->load);

		/* A partition that was moved in this round is left alone. */
		if (!key->split && load >= least && partition->owner == c->from &&
		    !partition->moved)
			consider(p, c, load < partition->load ? load : partition->load,
				 ASSIGN_NO_INDEX, key);
	}
}

static bool improve(struct assign_planner *p, size_t from, size_t to, double want)
{
	struct choice c = {.from = from, .to = to, .want = want, .unit = ASSIGN_NO_INDEX};

	if (from == to || p->n_out == p->max)
		return false;
	consider_units(p, &c);
	consider_splits(p, &c);
	if (c.load <= 0)
		return false;
	if (c.key)
		c.unit = split(p, c.key);
	if (!assign_add_move(p, assign_unit_kind_of(&p->units[c.unit]), c.unit, p->ups[to].num,
			     false))
		return false;
	p->allowance -= c.load;
	assign_clear_owner(p, c.unit);
	assign_set_owner(p, c.unit, to);
	return true;
}

static size_t most_overloaded(const struct assign_planner *p)
{
	size_t worst = ASSIGN_NO_INDEX;

	for (size_t i = 0; i < p->n_ups; i++) {
		const struct assign_planner_upstream *u = &p->ups[i];

		if (u->stuck || (u->load <= bound(p, u) && !MUTANT(assign_any_move)))
			continue;
		if (worst == ASSIGN_NO_INDEX ||
		    assign_load_per_slot(u) > assign_load_per_slot(&p->ups[worst]))
			worst = i;
	}
	return worst;
}

static size_t relieve(struct assign_planner *p, size_t budget)
{
	while (budget > 0) {
		size_t from = most_overloaded(p);

		if (from == ASSIGN_NO_INDEX)
			break;
		if (improve(p, from, least_loaded(p), p->ups[from].load - bound(p, &p->ups[from])))
			budget--;
		else
			p->ups[from].stuck = true;
	}
	return budget;
}

static size_t next_fullest(const struct assign_planner *p, size_t after)
{
	size_t best = ASSIGN_NO_INDEX;

	for (size_t i = 0; i < p->n_ups; i++) {
		double x = assign_load_per_slot(&p->ups[i]);

		if (after != ASSIGN_NO_INDEX &&
		    (x > assign_load_per_slot(&p->ups[after]) ||
		     (x == assign_load_per_slot(&p->ups[after]) && i <= after)))
			continue;
		if (best == ASSIGN_NO_INDEX || x > assign_load_per_slot(&p->ups[best]))
			best = i;
	}
	return best;
}

/* Gives upstreams with little load a part of what the fullest ones have. */
static size_t fill(struct assign_planner *p, size_t budget)
{
	while (budget > 0) {
		size_t to = least_loaded(p);
		size_t from = ASSIGN_NO_INDEX;
		bool moved = false;

		if (to == ASSIGN_NO_INDEX ||
		    assign_load_per_slot(&p->ups[to]) >= FILL_SHARE * fair_level(p))
			break;
		/* A few tries: the fullest may each hold one unit that cannot be divided. */
		for (size_t tries = 0; tries < 8 && !moved; tries++) {
			from = next_fullest(p, from);
			if (from == ASSIGN_NO_INDEX)
				break;
			moved = improve(p, from, to, INFINITY);
		}
		if (!moved)
			break;
		budget--;
	}
	return budget;
}

/* ---- keys that cooled down ---- */

static size_t merge_cold(struct assign_planner *p, size_t budget)
{
	double most = MERGE_SHARE * mean_upstream(p);

	for (size_t i = p->partitions; i < p->n_units && budget > 0; i++) {
		struct assign_planner_unit *u = &p->units[i];
		struct assign_planner_unit *partition = &p->units[u->partition];

		/* Where the partition itself moves in this round, its owner is not settled yet. */
		if (u->moved || u->load >= most || u->owner == ASSIGN_NO_INDEX ||
		    partition->moved || partition->owner == ASSIGN_NO_INDEX)
			continue;
		if (!assign_add_move(p, ASSIGN_HOT_KEY_MERGE, i, p->ups[partition->owner].num,
				     false))
			break;
		assign_clear_owner(p, i);
		partition->load += u->load;
		partition->moved = true;
		p->ups[partition->owner].load += u->load;
		p->n_hot--;
		budget--;
	}
	return budget;
}

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

	p->allowance = forced > 0 ? forced_load(p) / VOLUNTARY_PER_FORCED : INFINITY;

	if (forced > 0 && budget > forced / VOLUNTARY_PER_FORCED)
		budget = forced / VOLUNTARY_PER_FORCED;
	/* Mutant: balancing is not limited. */
	if (MUTANT(assign_no_budget))
		budget = SIZE_MAX;
	if (p->observed && p->n_hot >= p->opts->max_hot_keys)
		budget = merge_cold(p, budget);
	budget = relieve(p, budget);
	budget = fill(p, budget);
	if (p->observed)
		merge_cold(p, budget);
}

size_t assign_plan(const Bc__Assign *current, const bool *mine, uint32_t partitions,
		   const struct assign_upstream *ups, size_t n_ups,
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
	p.observed = loads->partitions && loads->n_keys > 0;
	/* Each move splits off at most one key. */
	p.units = assign_zalloc(partitions + hot + loads->n_keys, sizeof(*p.units));
	assign_build_ups(&p, ups, n_ups);
	assign_build_keys(&p, loads, mine);
	assign_build_partitions(&p, current, loads);
	assign_build_hot(&p, current, mine);
	assign_build_owners(&p, mine);
	assign_release_unserved(&p, mine);
	if (p.n_ups > 0) {
		assign_place_forced(&p, mine);
		balance(&p, p.n_out);
	}
	free(p.units);
	free(p.ups);
	free(p.keys);
	return p.n_out;
}
