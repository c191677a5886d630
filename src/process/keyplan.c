#include "process/keyplan.h"

#include <math.h>
#include <stdlib.h>

#include "base/mutant.h"

/*
 * Share of the traffic that counts as spread evenly over all keys, and its minimum in requests per
 * second. Without the even load, an idle deployment would give all keys to one upstream.
 */
#define EVEN_LOAD_SHARE 0.15
#define MIN_EVEN_LOAD_PER_S 2.0
/* An upstream with a utilization (load divided by capacity) below this keeps its load. */
#define MIN_SOURCE_UTILIZATION 0.45
/* Smallest difference of utilization between two upstreams that justifies a move. */
#define MIN_UTILIZATION_GAP 0.25
/* Smallest load of a move, as a share of the capacity of the upstream that loses it. */
#define MIN_MOVED_SHARE 0.05
/*
 * Smallest load of a move, in standard deviations of the recent load of the upstream that loses it.
 * Requests arrive at random, so an upstream may look busy by chance.
 */
#define MIN_DEVIATIONS 1.0
/*
 * A range is moved whole only if it is narrower than the key space divided by the first number,
 * because each moved key has a cost, or if there are more ranges per upstream than the second
 * number, because each range costs renewals. Otherwise its busiest part is split off.
 */
#define NARROW_RANGE_DIVISOR 128
#define MANY_RANGES_PER_UPSTREAM 6
/* A range is moved whole only if its load is at most this many times the load to be moved. */
#define WHOLE_RANGE_TOLERANCE 1.2

struct plan {
	const struct keyplan_input *in;
	double even_per_key;   /* requests per second that count for each key */
	double per_request;    /* requests per second that one recent request stands for */
	double *load;	       /* requests per second by upstream, with the moves planned so far */
	bool *nothing_to_move; /* by upstream: none of its load is worth moving */
	struct keyplan_range *ranges; /* input ranges without the parts that moves have split off */
	size_t n_ranges;
	struct keyplan_move *moves;
	size_t n_moves;
	size_t max_moves;
};

/* Returns the index of the first of `n` sorted keys that is not below `key`, `n` if none. */
static size_t lower_bound(const uint16_t *keys, size_t n, uint32_t key)
{
	size_t lo = 0;
	size_t hi = n;

	while (lo < hi) {
		size_t mid = (lo + hi) / 2;

		if (keys[mid] < key)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

/* Returns the load of keys in requests per second: a share of recent requests and the even load. */
static double load_of(const struct plan *p, uint32_t from, uint32_t to)
{
	size_t first = lower_bound(p->in->keys, p->in->n_keys, from);
	size_t end = lower_bound(p->in->keys, p->in->n_keys, to + 1);

	return (double)(end - first) * p->per_request + (double)(to - from + 1) * p->even_per_key;
}

/* Returns the index of an upstream, -1 if it is not known. */
static int find_upstream(const struct plan *p, uint64_t num)
{
	for (size_t i = 0; i < p->in->n_upstreams; i++) {
		if (p->in->upstreams[i].num == num)
			return (int)i;
	}
	return -1;
}

/* Whether upstream `i` may get keys; those of last resort only with `last_resort`. */
static bool is_target(const struct plan *p, size_t i, bool last_resort)
{
	const struct keyplan_upstream *u = &p->in->upstreams[i];

	return u->usable && (last_resort || !u->last_resort);
}

/* Returns the upstream with the lowest utilization if `more` load were added, -1 if none. */
static int least_loaded(const struct plan *p, double more)
{
	for (int last_resort = 0; last_resort <= 1; last_resort++) {
		int best = -1;
		double best_load = 0;

		for (size_t i = 0; i < p->in->n_upstreams; i++) {
			double load = (p->load[i] + more) / p->in->upstreams[i].capacity;

			if (!is_target(p, i, last_resort) || (best >= 0 && load >= best_load))
				continue;
			best = (int)i;
			best_load = load;
		}
		if (best >= 0)
			return best;
	}
	return -1;
}

static void plan_init(struct plan *p, const struct keyplan_input *in, struct keyplan_move *moves,
		      size_t max_moves)
{
	double window = in->window_s > 0.1 ? in->window_s : 0.1;
	double rate = (double)in->n_keys / window;
	double even = rate * EVEN_LOAD_SHARE;

	if (even < MIN_EVEN_LOAD_PER_S)
		even = MIN_EVEN_LOAD_PER_S;
	*p = (struct plan){.in = in, .moves = moves, .max_moves = max_moves};
	p->even_per_key = even / in->key_space;
	p->per_request = (1.0 - EVEN_LOAD_SHARE) / window;
	p->load = calloc(in->n_upstreams + 1, sizeof(*p->load));
	p->ranges = calloc(in->n_ranges + max_moves + 1, sizeof(*p->ranges));
	p->nothing_to_move = calloc(in->n_upstreams + 1, sizeof(*p->nothing_to_move));
	if (!p->load || !p->ranges || !p->nothing_to_move)
		abort();
	for (size_t i = 0; i < in->n_ranges; i++) {
		int owner = find_upstream(p, in->ranges[i].owner);

		p->ranges[p->n_ranges++] = in->ranges[i];
		if (owner >= 0)
			p->load[owner] += load_of(p, in->ranges[i].from, in->ranges[i].to);
	}
}

static void plan_free(struct plan *p)
{
	free(p->load);
	free(p->nothing_to_move);
	free(p->ranges);
}

/* Adds a move of the keys to the plan, and their load to the target. */
static void add_move(struct plan *p, uint32_t from, uint32_t to, int target)
{
	p->moves[p->n_moves++] = (struct keyplan_move){from, to, p->in->upstreams[target].num};
	p->load[target] += load_of(p, from, to);
}

/* Moves each range without a usable owner to the upstream with the lowest utilization. */
static void move_from_unusable_owners(struct plan *p)
{
	for (size_t i = 0; i < p->n_ranges && p->n_moves < p->max_moves; i++) {
		struct keyplan_range *r = &p->ranges[i];
		int owner = find_upstream(p, r->owner);
		int target;

		if (r->fixed || (owner >= 0 && p->in->upstreams[owner].usable))
			continue;
		target = least_loaded(p, load_of(p, r->from, r->to));
		if (target < 0)
			return;
		add_move(p, r->from, r->to, target);
		r->fixed = true;
	}
}

/* Finds the narrowest part of the range with about the wanted load; false if it has no requests. */
static bool narrowest_part(const struct plan *p, const struct keyplan_range *r, double wanted,
			   uint32_t *from, uint32_t *to)
{
	const uint16_t *keys = p->in->keys;
	size_t first = lower_bound(keys, p->in->n_keys, r->from);
	size_t end = lower_bound(keys, p->in->n_keys, r->to + 1);
	size_t n = (size_t)(wanted / p->per_request + 0.5);
	uint32_t best = UINT32_MAX;

	if (n == 0)
		n = 1;
	if (n > end - first)
		n = end - first;
	if (n == 0)
		return false;
	for (size_t i = first; i + n <= end; i++) {
		uint32_t width = (uint32_t)keys[i + n - 1] - keys[i];

		if (width >= best)
			continue;
		best = width;
		*from = keys[i];
		*to = keys[i + n - 1];
	}
	return true;
}

/* Whether the range belongs to the owner and may be moved. */
static bool is_movable_range_of(const struct keyplan_range *r, uint64_t owner)
{
	return r->owner == owner && !r->fixed;
}

/*
 * Returns the range of the owner from which to move the wanted load. With `whole` it is the range
 * with the most load within the tolerance; otherwise the busiest range that can be split, or such a
 * range within the tolerance if none can. NULL if the owner has no range that may be moved.
 */
static struct keyplan_range *range_to_move(struct plan *p, uint64_t owner, double wanted,
					   bool *whole)
{
	struct keyplan_range *fit = NULL;
	struct keyplan_range *busiest = NULL;
	double fit_load = 0;
	double most = 0;

	for (size_t i = 0; i < p->n_ranges; i++) {
		struct keyplan_range *r = &p->ranges[i];
		double load;

		if (!is_movable_range_of(r, owner))
			continue;
		load = load_of(p, r->from, r->to);
		if (load <= wanted * WHOLE_RANGE_TOLERANCE && load > fit_load) {
			fit = r;
			fit_load = load;
		}
		if (r->from != r->to && load > most) {
			busiest = r;
			most = load;
		}
	}
	*whole = fit && fit_load >= wanted * 0.5 &&
		 (fit->to - fit->from < p->in->key_space / NARROW_RANGE_DIVISOR ||
		  p->n_ranges > p->in->n_upstreams * MANY_RANGES_PER_UPSTREAM);
	return *whole ? fit : busiest ? busiest : fit;
}

/* Removes moved keys from the range; a part on the other side becomes a range of its own. */
static void remove_from_range(struct plan *p, struct keyplan_range *r, uint32_t from, uint32_t to)
{
	struct keyplan_range rest = *r;

	if (from > r->from && to < r->to && p->n_ranges < p->in->n_ranges + p->max_moves) {
		rest.from = to + 1;
		r->to = from - 1;
		p->ranges[p->n_ranges++] = rest;
	} else if (from > r->from) {
		r->to = from - 1;
	} else if (to < r->to) {
		r->from = to + 1;
	} else {
		r->fixed = true;
	}
}

/* Plans a move of about the wanted load; false if no range of the source is suitable. */
static bool move_load(struct plan *p, int source, int target, double wanted)
{
	bool whole;
	struct keyplan_range *r = range_to_move(p, p->in->upstreams[source].num, wanted, &whole);
	uint32_t from;
	uint32_t to;
	double load;

	if (!r)
		return false;
	from = r->from;
	to = r->to;
	if (!whole && !narrowest_part(p, r, wanted, &from, &to))
		return false;
	load = load_of(p, from, to);
	/* Moving a single key with much more load would only move the overload to the target. */
	if (load > wanted * 2)
		return false;
	add_move(p, from, to, target);
	p->load[source] -= load;
	remove_from_range(p, r, from, to);
	return true;
}

/* Returns the load of an upstream divided by its capacity. */
static double utilization(const struct plan *p, size_t i)
{
	return p->load[i] / p->in->upstreams[i].capacity;
}

/*
 * Returns the upstream with the highest utilization among those not yet found to have no load worth
 * moving, -1 if none is left.
 */
static int most_utilized(const struct plan *p)
{
	int best = -1;

	for (size_t i = 0; i < p->in->n_upstreams; i++) {
		if (!p->nothing_to_move[i] &&
		    (best < 0 || utilization(p, i) > utilization(p, (size_t)best)))
			best = (int)i;
	}
	return best;
}

/* Returns the upstream with the lowest utilization that may get keys, -1 if none. */
static int least_utilized(const struct plan *p)
{
	int best = -1;

	for (size_t i = 0; i < p->in->n_upstreams; i++) {
		if (is_target(p, i, false) &&
		    (best < 0 || utilization(p, i) < utilization(p, (size_t)best)))
			best = (int)i;
	}
	return best;
}

/* Returns the load, in requests per second, by which a source may exceed its mean by chance. */
static double chance_deviation(const struct plan *p, int source)
{
	return MUTANT(keyplan_trust_chance)
		       ? 0
		       : MIN_DEVIATIONS * sqrt(p->load[source] * p->per_request);
}

/*
 * Moves load from the upstream with the highest utilization to that with the lowest. Returns false
 * if the two are balanced, the source's utilization is too low, or there is no such pair. Returns
 * true also if nothing was moved because the load to move is too small or no range of the source
 * fits; the source is then marked in `nothing_to_move`.
 */
static bool balance_once(struct plan *p)
{
	int source = most_utilized(p);
	int target = least_utilized(p);
	const struct keyplan_upstream *u = p->in->upstreams;
	double wanted;

	if (source < 0 || target < 0 || source == target)
		return false;
	if (utilization(p, (size_t)source) < MIN_SOURCE_UTILIZATION ||
	    utilization(p, (size_t)source) - utilization(p, (size_t)target) < MIN_UTILIZATION_GAP)
		return false;
	wanted = (p->load[source] * u[target].capacity - p->load[target] * u[source].capacity) /
		 (u[source].capacity + u[target].capacity);
	/* An upstream with a single hot key keeps it; balancing continues among the others. */
	if (wanted < u[source].capacity * MIN_MOVED_SHARE || wanted < chance_deviation(p, source) ||
	    !move_load(p, source, target, wanted))
		p->nothing_to_move[source] = true;
	return true;
}

/* Whether an upstream has keys or gets some by this plan. */
static bool has_keys(const struct plan *p, uint64_t num)
{
	for (size_t i = 0; i < p->n_ranges; i++) {
		if (p->ranges[i].owner == num)
			return true;
	}
	for (size_t i = 0; i < p->n_moves; i++) {
		if (p->moves[i].owner == num)
			return true;
	}
	return false;
}

/* Returns the widest range that may be split, NULL if there is none. */
static struct keyplan_range *widest(struct plan *p)
{
	struct keyplan_range *best = NULL;

	for (size_t i = 0; i < p->n_ranges; i++) {
		struct keyplan_range *r = &p->ranges[i];

		if (!r->fixed && r->from < r->to &&
		    (!best || r->to - r->from > best->to - best->from))
			best = r;
	}
	return best;
}

/* Moves half of the widest range to each upstream without keys, even if there is no traffic. */
static void move_keys_to_keyless(struct plan *p)
{
	for (size_t i = 0; i < p->in->n_upstreams && p->n_moves < p->max_moves; i++) {
		struct keyplan_range *r;
		uint32_t middle;
		int owner;

		if (!is_target(p, i, false) || has_keys(p, p->in->upstreams[i].num))
			continue;
		r = widest(p);
		if (!r)
			return;
		middle = r->from + (r->to - r->from) / 2;
		owner = find_upstream(p, r->owner);
		if (owner >= 0)
			p->load[owner] -= load_of(p, middle + 1, r->to);
		add_move(p, middle + 1, r->to, (int)i);
		r->to = middle;
	}
}

size_t keyplan(const struct keyplan_input *in, struct keyplan_move *out, size_t max,
	       size_t max_balance)
{
	struct plan p;
	size_t until;

	plan_init(&p, in, out, max);
	move_from_unusable_owners(&p);
	move_keys_to_keyless(&p);
	until = p.n_moves + max_balance < max ? p.n_moves + max_balance : max;
	while (p.n_moves < until && !MUTANT(keyplan_no_balance) && balance_once(&p))
		;
	plan_free(&p);
	return p.n_moves;
}

size_t keyplan_initial(const struct keyplan_input *in, uint32_t per_upstream,
		       struct keyplan_move *out, size_t max)
{
	size_t usable = 0;
	size_t total;
	size_t n = 0;

	for (size_t i = 0; i < in->n_upstreams; i++)
		usable += in->upstreams[i].usable;
	total = usable * per_upstream < max ? usable * per_upstream : max;
	if (total > in->key_space)
		total = in->key_space;
	for (size_t round = 0; n < total; round++) {
		/* Adjacent ranges go to different upstreams. */
		for (size_t i = 0; i < in->n_upstreams && n < total; i++) {
			if (!in->upstreams[i].usable)
				continue;
			out[n] = (struct keyplan_move){
				.from = (uint32_t)((uint64_t)in->key_space * n / total),
				.to = (uint32_t)((uint64_t)in->key_space * (n + 1) / total) - 1,
				.owner = in->upstreams[i].num,
			};
			n++;
		}
		if (!usable)
			break;
	}
	return n;
}
