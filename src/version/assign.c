#include "version/assign.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/mutant.h"
#include "version/config.h"

/* A key is split off when it carries at least this share of the mean load of an upstream, and goes
 * back into its partition below the lower share. The gap keeps a key that hovers near one of them
 * from being moved again and again. */
#define SPLIT_SHARE 0.05
#define MERGE_SHARE 0.02

/* An upstream below this share of the fair load is filled up, so that a new one gets its part. At
 * 0.85 the losses of bench_balance changed more than 1.1 times the lost load until balanced. */
#define FILL_SHARE 0.75

/* Part of the mean partition load that every partition counts in addition, so that partitions
 * without requests are spread evenly too. */
#define IDLE_SHARE 0.01

/* Moves that balance load while others are forced are limited to this part of the forced ones, by
 * number and load, so that a loss changes at most 1.1 times the lost share. */
#define VOLUNTARY_PER_FORCED 16

/* A move must lower the higher of the two loads by this factor; smaller gains are rounding. */
#define MIN_GAIN 1e-6

#define NONE SIZE_MAX

const struct assign_options assign_defaults = {
	.max_imbalance = 1.10,
	.max_voluntary = 16,
	.max_hot_keys = 160,
};

/* A partition or a split-off key. */
struct unit {
	bool hot;
	uint32_t partition;
	uint64_t key_hash;
	uint32_t old_owner; /* upstream number, 0 if none */
	size_t owner;	    /* index of the upstream, NONE if it may not own keys */
	double load;
	size_t next; /* unit of the same owner */
	bool moved;
};

struct up {
	uint32_t num;
	double slots;
	double load;
	double largest; /* load of its largest unit */
	size_t first;	/* list of units */
	bool stuck;	/* no single move improves it */
};

struct candidate {
	const struct assign_key_load *key;
	size_t unit; /* its partition, or itself when it is split off already */
	bool split;
};

struct planner {
	const struct assign_options *opts;
	uint32_t partitions;
	struct up *ups;
	size_t n_ups;
	struct unit *units; /* partitions first, indexed by partition, then hot keys */
	size_t n_units;
	size_t n_hot;
	struct candidate *keys; /* tracked keys of this cell, by hash */
	size_t n_keys;
	size_t *heap; /* upstreams, lowest load first; used while forced moves are placed */
	double total;
	double mean;	  /* load per slot */
	double allowance; /* load that balancing may still move */
	bool observed;
	struct assign_move *out;
	size_t n_out;
	size_t max;
};

static void *zalloc(size_t n, size_t size)
{
	void *p = calloc(n ? n : 1, size);

	if (!p)
		abort();
	return p;
}

static double level(const struct up *u)
{
	return u->load / u->slots;
}

/* ---- building ---- */

static int by_num(const void *a, const void *b)
{
	uint32_t x = ((const struct up *)a)->num;
	uint32_t y = ((const struct up *)b)->num;

	return (x > y) - (x < y);
}

static void build_ups(struct planner *p, const struct assign_upstream *ups, size_t n)
{
	p->ups = zalloc(n, sizeof(*p->ups));
	for (size_t i = 0; i < n; i++) {
		if (!ups[i].usable || ups[i].slots == 0)
			continue;
		p->ups[p->n_ups++] =
			(struct up){.num = ups[i].num, .slots = ups[i].slots, .first = NONE};
	}
	qsort(p->ups, p->n_ups, sizeof(*p->ups), by_num);
}

static size_t find_up(const struct planner *p, uint32_t num)
{
	struct up key = {.num = num};
	const struct up *hit = bsearch(&key, p->ups, p->n_ups, sizeof(key), by_num);

	return hit ? (size_t)(hit - p->ups) : NONE;
}

static int by_key_hash(const void *a, const void *b)
{
	uint64_t x = ((const struct candidate *)a)->key->key_hash;
	uint64_t y = ((const struct candidate *)b)->key->key_hash;

	return (x > y) - (x < y);
}

static double sane(double load)
{
	return isfinite(load) && load > 0 ? load : 0;
}

static void build_keys(struct planner *p, const struct assign_loads *loads, const bool *mine)
{
	p->keys = zalloc(loads->n_keys, sizeof(*p->keys));
	for (size_t i = 0; i < loads->n_keys; i++) {
		uint32_t partition = loads->keys[i].partition;

		if (partition < p->partitions && mine[partition])
			p->keys[p->n_keys++] =
				(struct candidate){.key = &loads->keys[i], .unit = partition};
	}
	qsort(p->keys, p->n_keys, sizeof(*p->keys), by_key_hash);
}

static struct candidate *find_key(const struct planner *p, uint64_t key_hash)
{
	struct assign_key_load probe = {.key_hash = key_hash};
	struct candidate key = {.key = &probe};

	return bsearch(&key, p->keys, p->n_keys, sizeof(key), by_key_hash);
}

static void build_partitions(struct planner *p, const Bc__Assign *current,
			     const struct assign_loads *loads)
{
	double sum = 0;

	for (uint32_t i = 0; i < p->partitions; i++) {
		struct unit *u = &p->units[i];

		u->partition = i;
		u->owner = NONE;
		u->next = NONE;
		u->load = loads->partitions ? sane(loads->partitions[i]) : 1;
		sum += u->load;
	}
	for (uint32_t i = 0; i < p->partitions; i++)
		p->units[i].load += sum > 0 ? IDLE_SHARE * sum / p->partitions : 1;
	for (size_t i = 0; current && i < current->n_owners; i++) {
		const Bc__Owner *o = current->owners[i];

		if (o->partition < p->partitions)
			p->units[o->partition].old_owner = o->upstream;
	}
	p->n_units = p->partitions;
}

static void build_hot(struct planner *p, const Bc__Assign *current, const bool *mine)
{
	for (size_t i = 0; current && i < current->n_hot; i++) {
		const Bc__HotKey *h = current->hot[i];
		struct unit *u = &p->units[p->n_units];
		struct unit *partition;
		struct candidate *key = find_key(p, h->key_hash);

		*u = (struct unit){
			.hot = true,
			.key_hash = h->key_hash,
			.partition = config_hash_partition(h->key_hash, p->partitions),
			.old_owner = h->upstream,
			.owner = NONE,
			.next = NONE,
		};
		partition = &p->units[u->partition];
		if (key && mine[u->partition]) {
			u->load = sane(key->key->load);
			if (u->load > partition->load)
				u->load = partition->load;
			partition->load -= u->load;
			key->split = true;
			key->unit = p->n_units;
		}
		p->n_units++;
		p->n_hot++;
	}
}

static void attach(struct planner *p, size_t unit, size_t up)
{
	struct unit *u = &p->units[unit];
	struct up *to = &p->ups[up];

	u->owner = up;
	u->next = to->first;
	to->first = unit;
	to->load += u->load;
	if (u->load > to->largest)
		to->largest = u->load;
}

static void detach(struct planner *p, size_t unit)
{
	struct up *from = &p->ups[p->units[unit].owner];
	size_t *link = &from->first;

	from->largest = 0;
	while (*link != NONE) {
		struct unit *u = &p->units[*link];

		if (*link == unit) {
			*link = u->next;
			continue;
		}
		if (u->load > from->largest)
			from->largest = u->load;
		link = &u->next;
	}
	from->load -= p->units[unit].load;
	p->units[unit].owner = NONE;
}

static void build_owners(struct planner *p, const bool *mine)
{
	double slots = 0;

	for (size_t i = 0; i < p->n_units; i++) {
		struct unit *u = &p->units[i];
		size_t up = u->old_owner ? find_up(p, u->old_owner) : NONE;

		if (!mine[u->partition])
			continue;
		p->total += u->load;
		if (up != NONE)
			attach(p, i, up);
	}
	for (size_t i = 0; i < p->n_ups; i++)
		slots += p->ups[i].slots;
	p->mean = slots > 0 ? p->total / slots : 0;
}

/* ---- output ---- */

static bool emit(struct planner *p, enum assign_unit kind, size_t unit, uint32_t to, bool forced)
{
	struct unit *u = &p->units[unit];

	if (p->n_out == p->max)
		return false;
	p->out[p->n_out++] = (struct assign_move){
		.unit = kind,
		.partition = u->partition,
		.key_hash = u->hot ? u->key_hash : 0,
		.from = u->old_owner,
		.to = to,
		.forced = forced,
	};
	u->moved = true;
	return true;
}

static enum assign_unit kind_of(const struct unit *u)
{
	return u->hot ? ASSIGN_HOT_KEY : ASSIGN_PARTITION;
}

/* ---- forced moves ---- */

static bool heap_less(const struct planner *p, size_t a, size_t b)
{
	double x = level(&p->ups[p->heap[a]]);
	double y = level(&p->ups[p->heap[b]]);

	return x < y || (x == y && p->heap[a] < p->heap[b]);
}

static void heap_down(struct planner *p, size_t i)
{
	for (;;) {
		size_t least = i;
		size_t tmp;

		for (size_t child = 2 * i + 1; child <= 2 * i + 2; child++) {
			if (child < p->n_ups && heap_less(p, child, least))
				least = child;
		}
		if (least == i)
			return;
		tmp = p->heap[i];
		p->heap[i] = p->heap[least];
		p->heap[least] = tmp;
		i = least;
	}
}

static void heap_build(struct planner *p)
{
	p->heap = zalloc(p->n_ups, sizeof(*p->heap));
	for (size_t i = 0; i < p->n_ups; i++)
		p->heap[i] = i;
	for (size_t i = p->n_ups / 2; i-- > 0;)
		heap_down(p, i);
}

struct order {
	double load;
	size_t unit;
};

static int heaviest_first(const void *a, const void *b)
{
	const struct order *x = a;
	const struct order *y = b;

	if (x->load != y->load)
		return x->load < y->load ? 1 : -1;
	return (x->unit > y->unit) - (x->unit < y->unit);
}

static bool is_forced(const struct unit *u)
{
	/* Mutant: a loss spreads every partition anew. */
	if (MUTANT(assign_reshuffle) && !u->hot)
		return true;
	/* Mutant: split-off keys stay with an owner that was lost. */
	if (MUTANT(assign_forget_hot) && u->hot)
		return false;
	return u->owner == NONE;
}

/* Partitions that belong to another region are released. */
static void release_foreign(struct planner *p, const bool *mine)
{
	for (size_t i = 0; i < p->n_units; i++) {
		const struct unit *u = &p->units[i];

		if (mine[u->partition] || u->old_owner == 0)
			continue;
		if (!emit(p, u->hot ? ASSIGN_HOT_KEY_MERGE : ASSIGN_PARTITION, i, 0, true))
			return;
	}
}

/* Heaviest first onto the least loaded upstream: within 4/3 of the best possible peak. */
static void place_forced(struct planner *p, const bool *mine)
{
	struct order *order = zalloc(p->n_units, sizeof(*order));
	size_t n = 0;

	for (size_t i = 0; i < p->n_units; i++) {
		const struct unit *u = &p->units[i];

		if (mine[u->partition] && is_forced(u))
			order[n++] = (struct order){u->load, i};
	}
	qsort(order, n, sizeof(*order), heaviest_first);
	heap_build(p);
	for (size_t i = 0; i < n && p->n_ups > 0; i++) {
		size_t unit = order[i].unit;
		size_t up = p->heap[0];

		if (p->units[unit].owner != NONE)
			detach(p, unit);
		if (!emit(p, kind_of(&p->units[unit]), unit, p->ups[up].num, true))
			break;
		attach(p, unit, up);
		heap_down(p, 0);
	}
	free(p->heap);
	p->heap = NULL;
	free(order);
}

/* ---- balancing ---- */

static double mean_upstream(const struct planner *p)
{
	return p->n_ups ? p->total / (double)p->n_ups : 0;
}

/* What one upstream may carry: a unit that is larger than the mean cannot be divided. */
static double bound(const struct planner *p, const struct up *u)
{
	double fair = p->mean * u->slots;

	return p->opts->max_imbalance * (fair > u->largest ? fair : u->largest);
}

/* Load per slot of the upstreams that are not filled by a single unit already. */
static double fair_level(const struct planner *p)
{
	double fair = p->mean;

	for (;;) {
		double load = p->total;
		double slots = 0;
		double next;

		for (size_t i = 0; i < p->n_ups; i++) {
			const struct up *u = &p->ups[i];

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

static size_t least_loaded(const struct planner *p)
{
	size_t best = NONE;

	for (size_t i = 0; i < p->n_ups; i++) {
		if (best == NONE || level(&p->ups[i]) < level(&p->ups[best]))
			best = i;
	}
	return best;
}

/* A move of `load` from u to v: the higher of both levels afterwards. */
static double peak_after(const struct up *u, const struct up *v, double load)
{
	double from = (u->load - load) / u->slots;
	double to = (v->load + load) / v->slots;

	return from > to ? from : to;
}

/* Takes the load of a key out of its partition; the key becomes a unit of the same owner. */
static size_t split(struct planner *p, struct candidate *key)
{
	struct unit *partition = &p->units[key->unit];
	size_t owner = partition->owner;
	size_t unit = p->n_units++;
	double load = sane(key->key->load);

	if (load > partition->load)
		load = partition->load;
	partition->load -= load;
	p->ups[owner].load -= load;
	p->units[unit] = (struct unit){
		.hot = true,
		.partition = partition->partition,
		.key_hash = key->key->key_hash,
		.old_owner = partition->old_owner,
		.load = load,
	};
	attach(p, unit, owner);
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
	struct candidate *key; /* to be split off first */
};

/*
 * The lightest unit that is enough, single keys before partitions, so that few keys change their
 * owner; if none is enough, the one that brings both upstreams closest together.
 */
static void consider(const struct planner *p, struct choice *c, double load, size_t unit,
		     struct candidate *key)
{
	const struct up *to = &p->ups[c->to];
	double peak = peak_after(&p->ups[c->from], to, load);
	bool enough =
		load >= c->want && to->load + load <= p->opts->max_imbalance * p->mean * to->slots;
	bool hot = key || p->units[unit].hot;
	bool better;

	/* The higher level must fall, so that planning under unchanged load comes to an end.
	 * Mutant: any move counts as a gain. */
	if (peak >= level(&p->ups[c->from]) * (1 - MIN_GAIN) && !MUTANT(assign_any_move))
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

static void consider_units(const struct planner *p, struct choice *c)
{
	for (size_t i = p->ups[c->from].first; i != NONE; i = p->units[i].next) {
		if (!p->units[i].moved)
			consider(p, c, p->units[i].load, i, NULL);
	}
}

static void consider_splits(const struct planner *p, struct choice *c)
{
	double least = SPLIT_SHARE * mean_upstream(p);

	if (p->n_hot >= p->opts->max_hot_keys)
		return;
	for (size_t i = 0; i < p->n_keys; i++) {
		struct candidate *key = &p->keys[i];
		const struct unit *partition = &p->units[key->unit];
		double load = sane(key->key->load);

		/* A partition that was moved in this round is left alone. */
		if (!key->split && load >= least && partition->owner == c->from &&
		    !partition->moved)
			consider(p, c, load < partition->load ? load : partition->load, NONE, key);
	}
}

static bool improve(struct planner *p, size_t from, size_t to, double want)
{
	struct choice c = {.from = from, .to = to, .want = want, .unit = NONE};

	if (from == to || p->n_out == p->max)
		return false;
	consider_units(p, &c);
	consider_splits(p, &c);
	if (c.load <= 0)
		return false;
	if (c.key)
		c.unit = split(p, c.key);
	if (!emit(p, kind_of(&p->units[c.unit]), c.unit, p->ups[to].num, false))
		return false;
	p->allowance -= c.load;
	detach(p, c.unit);
	attach(p, c.unit, to);
	return true;
}

static size_t most_overloaded(const struct planner *p)
{
	size_t worst = NONE;

	for (size_t i = 0; i < p->n_ups; i++) {
		const struct up *u = &p->ups[i];

		if (u->stuck || (u->load <= bound(p, u) && !MUTANT(assign_any_move)))
			continue;
		if (worst == NONE || level(u) > level(&p->ups[worst]))
			worst = i;
	}
	return worst;
}

static size_t relieve(struct planner *p, size_t budget)
{
	while (budget > 0) {
		size_t from = most_overloaded(p);

		if (from == NONE)
			break;
		if (improve(p, from, least_loaded(p), p->ups[from].load - bound(p, &p->ups[from])))
			budget--;
		else
			p->ups[from].stuck = true;
	}
	return budget;
}

static size_t next_fullest(const struct planner *p, size_t after)
{
	size_t best = NONE;

	for (size_t i = 0; i < p->n_ups; i++) {
		double x = level(&p->ups[i]);

		if (after != NONE &&
		    (x > level(&p->ups[after]) || (x == level(&p->ups[after]) && i <= after)))
			continue;
		if (best == NONE || x > level(&p->ups[best]))
			best = i;
	}
	return best;
}

/* Gives upstreams with little load a part of what the fullest ones have. */
static size_t fill(struct planner *p, size_t budget)
{
	while (budget > 0) {
		size_t to = least_loaded(p);
		size_t from = NONE;
		bool moved = false;

		if (to == NONE || level(&p->ups[to]) >= FILL_SHARE * fair_level(p))
			break;
		/* A few tries: the fullest may each hold one unit that cannot be divided. */
		for (size_t tries = 0; tries < 8 && !moved; tries++) {
			from = next_fullest(p, from);
			if (from == NONE)
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

static size_t merge_cold(struct planner *p, size_t budget)
{
	double most = MERGE_SHARE * mean_upstream(p);

	for (size_t i = p->partitions; i < p->n_units && budget > 0; i++) {
		struct unit *u = &p->units[i];
		struct unit *partition = &p->units[u->partition];

		/* Where the partition itself moves in this round, its owner is not settled yet. */
		if (u->moved || u->load >= most || u->owner == NONE || partition->moved ||
		    partition->owner == NONE)
			continue;
		if (!emit(p, ASSIGN_HOT_KEY_MERGE, i, p->ups[partition->owner].num, false))
			break;
		detach(p, i);
		partition->load += u->load;
		partition->moved = true;
		p->ups[partition->owner].load += u->load;
		p->n_hot--;
		budget--;
	}
	return budget;
}

static double forced_load(const struct planner *p)
{
	double load = 0;

	for (size_t i = 0; i < p->n_units; i++)
		load += p->units[i].moved ? p->units[i].load : 0;
	return load;
}

static void balance(struct planner *p, size_t forced)
{
	size_t budget = p->opts->max_voluntary;

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
	struct planner p = {.opts = opts, .partitions = partitions, .out = out, .max = max};

	if (partitions == 0)
		return 0;
	if (!loads)
		loads = &unknown;
	p.observed = loads->partitions && loads->n_keys > 0;
	/* Each move splits off at most one key. */
	p.units = zalloc(partitions + hot + loads->n_keys, sizeof(*p.units));
	build_ups(&p, ups, n_ups);
	build_keys(&p, loads, mine);
	build_partitions(&p, current, loads);
	build_hot(&p, current, mine);
	build_owners(&p, mine);
	release_foreign(&p, mine);
	if (p.n_ups > 0) {
		place_forced(&p, mine);
		balance(&p, p.n_out);
	}
	free(p.units);
	free(p.ups);
	free(p.keys);
	return p.n_out;
}
