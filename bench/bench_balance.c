/*
 * Measures load balance and churn of key ownership in virtual time, by calling the assignment
 * module directly: under a Zipf load whose hottest keys change, and after losses of single
 * upstreams and of a failure domain. Hash mod n and consistent hashing run on the same requests for
 * comparison. Prints a table, `met` or `MISSED` for each target, and the time of one planning call
 * by size.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/rnd.h"
#include "version/assign.h"
#include "version/config.h"

/* Targets of the design page, section 1.2. */
#define MAX_IMBALANCE 1.15
#define MAX_CHURN 1.1

#define KEYS 100000
#define ZIPF_EXPONENT 1.0
#define UPSTREAMS 20
#define PARTITIONS 256
#define VIRTUAL_NODES 100
#define TRACKED_KEYS 200

/* Load for a slot utilization of 0.7 if each request occupies a slot for 10 ms. */
#define REQUESTS_PER_SLOT_S 70
#define MINUTES 30
#define WINDOW_S 60
/* Every CHANGE_S seconds, the CHANGING_KEYS hottest keys swap popularity with random keys. */
#define CHANGE_S 180
#define CHANGING_KEYS 160
/* Weight of the last second in the moving average of the observed load. */
#define OBSERVE_WEIGHT 0.25

static void *alloc_zeroed(size_t n, size_t size)
{
	void *p = calloc(n, size);

	if (!p)
		abort();
	return p;
}

/* ---- Zipf load ---- */

struct zipf {
	double cumulative[KEYS]; /* cumulative probability, by rank */
	uint32_t key[KEYS];	 /* key at each rank */
	uint64_t hash[KEYS];	 /* hash of each key */
};

static void zipf_init(struct zipf *z, struct rnd *rnd)
{
	double sum = 0;

	for (uint32_t i = 0; i < KEYS; i++) {
		sum += 1 / pow((double)i + 1, ZIPF_EXPONENT);
		z->cumulative[i] = sum;
		z->key[i] = i;
		z->hash[i] = rnd_u64(rnd);
	}
	for (size_t i = 0; i < KEYS; i++)
		z->cumulative[i] /= sum;
}

static uint32_t zipf_key(const struct zipf *z, struct rnd *rnd)
{
	double x = rnd_unit(rnd);
	size_t low = 0;
	size_t high = KEYS - 1;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (z->cumulative[mid] < x)
			low = mid + 1;
		else
			high = mid;
	}
	return z->key[low];
}

/* Swaps the ranks of the CHANGING_KEYS hottest keys with those of randomly chosen keys. */
static void zipf_swap_hottest(struct zipf *z, struct rnd *rnd)
{
	for (size_t i = 0; i < CHANGING_KEYS; i++) {
		size_t j = rnd_below(rnd, KEYS);
		uint32_t tmp = z->key[i];

		z->key[i] = z->key[j];
		z->key[j] = tmp;
	}
}

/* ---- methods ---- */

enum method { METHOD_ASSIGN, METHOD_MOD, METHOD_RING, METHODS };

static const char *const method_names[METHODS] = {
	[METHOD_ASSIGN] = "bamboocroft",
	[METHOD_MOD] = "hash mod n",
	[METHOD_RING] = "consistent hashing",
};

/* Virtual node of consistent hashing. */
struct ring_point {
	uint64_t at;  /* position on the hash ring */
	uint32_t num; /* number of the upstream */
};

/* The upstreams, and the ownership of keys under each method. */
struct fleet {
	struct assign_upstream ups[UPSTREAMS];
	Bc__Assign *assign;
	struct ring_point ring[UPSTREAMS * VIRTUAL_NODES];
	size_t n_ring;
	uint32_t alive[UPSTREAMS];
	size_t n_alive;
};

static int compare_ring_points(const void *a, const void *b)
{
	const struct ring_point *x = a;
	const struct ring_point *y = b;

	return (x->at > y->at) - (x->at < y->at);
}

/* Rebuilds the ring and the list of usable upstreams. */
static void fleet_refresh(struct fleet *f)
{
	f->n_ring = 0;
	f->n_alive = 0;
	for (size_t i = 0; i < UPSTREAMS; i++) {
		if (!f->ups[i].usable)
			continue;
		f->alive[f->n_alive++] = f->ups[i].num;
		for (uint64_t v = 0; v < VIRTUAL_NODES; v++)
			f->ring[f->n_ring++] =
				(struct ring_point){rnd_mix(f->ups[i].num, v), f->ups[i].num};
	}
	qsort(f->ring, f->n_ring, sizeof(*f->ring), compare_ring_points);
}

static uint32_t owner_of(const struct fleet *f, enum method method, uint64_t hash)
{
	size_t low = 0;
	size_t high = f->n_ring;

	switch (method) {
	case METHOD_ASSIGN:
		return assign_lookup(f->assign, config_hash_partition(hash, PARTITIONS), hash)
			.upstream;
	case METHOD_MOD:
		return f->alive[hash % f->n_alive];
	default:
		while (low < high) {
			size_t mid = low + (high - low) / 2;

			if (f->ring[mid].at < hash)
				low = mid + 1;
			else
				high = mid;
		}
		return f->ring[low == f->n_ring ? 0 : low].num;
	}
}

/* ---- observed load ---- */

/*
 * Load as a broker observes it: moving averages of requests per second, by partition and for the
 * most requested keys.
 */
struct observed {
	double partitions[PARTITIONS];
	double keys[KEYS];
	struct assign_key_load top[TRACKED_KEYS]; /* in descending order of load */
	size_t n_top;
};

static void observe_second(struct observed *o, const struct zipf *z, const uint32_t *key_requests)
{
	double min_top_load = 0;

	memset(o->partitions, 0, sizeof(o->partitions));
	o->n_top = 0;
	for (size_t i = 0; i < KEYS; i++) {
		o->keys[i] += OBSERVE_WEIGHT * (key_requests[i] - o->keys[i]);
		o->partitions[config_hash_partition(z->hash[i], PARTITIONS)] += o->keys[i];
	}
	for (size_t i = 0; i < KEYS; i++) {
		size_t at;

		if (o->keys[i] <= min_top_load)
			continue;
		/* Insertion into the sorted list of the hottest keys. */
		at = o->n_top < TRACKED_KEYS ? o->n_top++ : TRACKED_KEYS - 1;
		for (; at > 0 && o->top[at - 1].load < o->keys[i]; at--)
			o->top[at] = o->top[at - 1];
		o->top[at] = (struct assign_key_load){
			z->hash[i], config_hash_partition(z->hash[i], PARTITIONS), o->keys[i]};
		if (o->n_top == TRACKED_KEYS)
			min_top_load = o->top[TRACKED_KEYS - 1].load;
	}
}

/* Plans and applies one round of moves; returns their number. `o` is NULL without observed load. */
static size_t plan_once(struct fleet *f, const struct observed *o)
{
	struct assign_loads loads = {o ? o->partitions : NULL, o ? o->top : NULL, o ? o->n_top : 0};
	struct assign_move moves[PARTITIONS + TRACKED_KEYS];
	static bool all_partitions[PARTITIONS];
	Bc__Assign *next;
	size_t n;

	memset(all_partitions, 1, sizeof(all_partitions));
	n = assign_plan(f->assign, all_partitions, PARTITIONS, f->ups, UPSTREAMS, &loads,
			&assign_defaults, moves, PARTITIONS + TRACKED_KEYS);
	if (n == 0)
		return 0;
	next = assign_apply(f->assign, "region", "service", moves, n);
	assign_free(f->assign);
	f->assign = next;
	return n;
}

/* ---- imbalance ---- */

/* Imbalance of a method, by window: load of the busiest upstream over the fair load. */
struct windows {
	double sum;
	double worst;
	double imbalance[MINUTES * 60 / WINDOW_S];
	size_t n;
};

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

struct simulation {
	struct zipf zipf;
	struct observed observed;
	struct fleet fleet;
	uint32_t second_counts[KEYS];	       /* requests by key in this second */
	uint32_t window_counts[KEYS];	       /* requests by key in this window */
	uint64_t load[METHODS][UPSTREAMS + 1]; /* requests by upstream in this window */
	struct windows result[METHODS];
	size_t rebalance_moves; /* moves planned while no upstream was lost */
};

/*
 * Records the imbalance of the window that ends, and starts the next window. The fair load is the
 * mean over the upstreams, or the load of the hottest key if that is larger, since a key has one
 * owner.
 */
static void close_window(struct simulation *r, uint64_t requests)
{
	uint32_t hottest = 0;
	double fair_load = (double)requests / UPSTREAMS;

	for (size_t i = 0; i < KEYS; i++)
		hottest = r->window_counts[i] > hottest ? r->window_counts[i] : hottest;
	if (fair_load < hottest)
		fair_load = hottest;
	for (int m = 0; m < METHODS; m++) {
		struct windows *w = &r->result[m];
		uint64_t busiest = 0;

		for (size_t u = 1; u <= UPSTREAMS; u++)
			busiest = r->load[m][u] > busiest ? r->load[m][u] : busiest;
		w->imbalance[w->n++] = (double)busiest / fair_load;
		w->sum += (double)busiest / fair_load;
	}
	memset(r->load, 0, sizeof(r->load));
	memset(r->window_counts, 0, sizeof(r->window_counts));
}

static void simulate_second(struct simulation *r, struct rnd *rnd, size_t requests)
{
	memset(r->second_counts, 0, sizeof(r->second_counts));
	for (size_t i = 0; i < requests; i++) {
		uint32_t key = zipf_key(&r->zipf, rnd);

		r->second_counts[key]++;
		r->window_counts[key]++;
		for (int m = 0; m < METHODS; m++)
			r->load[m][owner_of(&r->fleet, (enum method)m, r->zipf.hash[key])]++;
	}
	observe_second(&r->observed, &r->zipf, r->second_counts);
	r->rebalance_moves += plan_once(&r->fleet, &r->observed);
}

static void simulate_zipf(struct simulation *r, uint32_t slots, struct rnd *rnd)
{
	size_t per_second = (size_t)REQUESTS_PER_SLOT_S * UPSTREAMS * slots;

	zipf_init(&r->zipf, rnd);
	for (uint32_t i = 0; i < UPSTREAMS; i++)
		r->fleet.ups[i] = (struct assign_upstream){i + 1, slots, true};
	fleet_refresh(&r->fleet);
	plan_once(&r->fleet, NULL);
	for (int s = 0; s < MINUTES * 60; s++) {
		/* The change comes at the start of a window, so that the window includes the
		 * reaction time, and has the same hottest key throughout, as the definition of
		 * imbalance needs. */
		if (s > 0 && s % CHANGE_S == 0)
			zipf_swap_hottest(&r->zipf, rnd);
		simulate_second(r, rnd, per_second);
		if ((s + 1) % WINDOW_S == 0)
			close_window(r, per_second * WINDOW_S);
	}
}

/* ---- churn ---- */

struct share {
	double keys; /* number of keys */
	double load; /* their requests per second */
};

/* Keys and load that lost their owner and that changed owner, summed over simulated losses. */
struct churn {
	struct share lost_share;
	struct share at_once; /* changed by the first planning call after the loss */
	struct share settled; /* changed when planning under the same load finds no more moves */
	double worst_at_once; /* largest ratio of changed load to lost load after a single loss */
	double worst_settled;
};

/* Stores the owner of each key under method `m` in `out`. */
static void copy_owners(const struct simulation *r, enum method m, uint32_t *out)
{
	for (size_t i = 0; i < KEYS; i++)
		out[i] = owner_of(&r->fleet, m, r->zipf.hash[i]);
}

/* Returns the number of keys whose owner differs from `before`, and their load. */
static struct share moved_share(const struct simulation *r, const uint32_t *before, enum method m)
{
	struct share sum = {0};

	for (size_t i = 0; i < KEYS; i++) {
		bool moved = before[i] != owner_of(&r->fleet, m, r->zipf.hash[i]);

		sum.keys += moved;
		sum.load += moved ? r->observed.keys[i] : 0;
	}
	return sum;
}

/* Returns the number of keys that upstreams first + 1 to first + n owned, and their load. */
static struct share lost_share(const struct simulation *r, const uint32_t *before, size_t first,
			       size_t n)
{
	struct share sum = {0};

	for (size_t i = 0; i < KEYS; i++) {
		bool was_lost = before[i] > first && before[i] <= first + n;

		sum.keys += was_lost;
		sum.load += was_lost ? r->observed.keys[i] : 0;
	}
	return sum;
}

static void add_share(struct share *a, struct share b)
{
	a->keys += b.keys;
	a->load += b.load;
}

/*
 * Makes `n` upstreams from index `first` on unusable, adds the churn of each method to `sum`, and
 * restores the fleet.
 */
static void measure_loss(struct simulation *r, size_t first, size_t n, struct churn *sum)
{
	static uint32_t before[METHODS][KEYS];
	struct fleet saved = r->fleet;
	struct share lost[METHODS];
	struct share now[METHODS];

	r->fleet.assign = assign_apply(saved.assign, "region", "service", NULL, 0);
	for (int m = 0; m < METHODS; m++) {
		copy_owners(r, (enum method)m, before[m]);
		lost[m] = lost_share(r, before[m], first, n);
		add_share(&sum[m].lost_share, lost[m]);
	}
	for (size_t i = 0; i < n; i++)
		r->fleet.ups[first + i].usable = false;
	fleet_refresh(&r->fleet);
	plan_once(&r->fleet, &r->observed);
	for (int m = 0; m < METHODS; m++) {
		now[m] = moved_share(r, before[m], (enum method)m);
		add_share(&sum[m].at_once, now[m]);
		sum[m].worst_at_once = fmax(sum[m].worst_at_once, now[m].load / lost[m].load);
	}
	while (plan_once(&r->fleet, &r->observed))
		;
	for (int m = 0; m < METHODS; m++) {
		now[m] = moved_share(r, before[m], (enum method)m);
		add_share(&sum[m].settled, now[m]);
		sum[m].worst_settled = fmax(sum[m].worst_settled, now[m].load / lost[m].load);
	}
	assign_free(r->fleet.assign);
	r->fleet = saved;
}

/* ---- report ---- */

static bool check_target(const char *what, double value, double target)
{
	bool met = value <= target;

	printf("  %-58s %6.3f  target %.2f  %s\n", what, value, target, met ? "met" : "MISSED");
	return met;
}

static void print_churn(const char *what, const struct churn *churn)
{
	printf("  %-32s %21s  %21s  %21s\n", what, "keys: at once settled", "load: at once settled",
	       "worst: at once settled");
	for (int m = 0; m < METHODS; m++) {
		const struct churn *c = &churn[m];

		printf("  %-32s %13.3f %7.3f  %13.3f %7.3f  %14.3f %7.3f\n", method_names[m],
		       c->at_once.keys / c->lost_share.keys, c->settled.keys / c->lost_share.keys,
		       c->at_once.load / c->lost_share.load, c->settled.load / c->lost_share.load,
		       c->worst_at_once, c->worst_settled);
	}
}

static void print_imbalance(struct simulation *r, uint32_t slots)
{
	printf("%d upstreams with %u slots, %d min, windows of %d s, hottest %d keys change every "
	       "%d "
	       "s; %zu moves\n",
	       UPSTREAMS, slots, MINUTES, WINDOW_S, CHANGING_KEYS, CHANGE_S, r->rebalance_moves);
	printf("  %-32s %10s %10s %10s\n", "imbalance", "mean", "p95", "worst");
	for (int m = 0; m < METHODS; m++) {
		struct windows *w = &r->result[m];

		qsort(w->imbalance, w->n, sizeof(*w->imbalance), compare_doubles);
		printf("  %-32s %10.3f %10.3f %10.3f\n", method_names[m], w->sum / (double)w->n,
		       w->imbalance[w->n * 95 / 100], w->imbalance[w->n - 1]);
	}
}

static bool report(struct simulation *r, uint32_t slots)
{
	struct churn one[METHODS] = {0};
	struct churn quarter[METHODS] = {0};
	const struct windows *w = &r->result[METHOD_ASSIGN];
	bool ok = true;

	/* Plans until no move is left, so that only moves caused by a loss are counted. */
	while (plan_once(&r->fleet, &r->observed))
		;
	for (size_t i = 0; i < UPSTREAMS; i++)
		measure_loss(r, i, 1, one);
	for (size_t i = 0; i < UPSTREAMS; i += UPSTREAMS / 4)
		measure_loss(r, i, UPSTREAMS / 4, quarter);
	print_imbalance(r, slots);
	print_churn("changed over lost, one upstream", one);
	print_churn("changed over lost, a quarter", quarter);
	ok &= check_target("imbalance, worst window", w->imbalance[w->n - 1], MAX_IMBALANCE);
	ok &= check_target("changed over lost, one upstream, at once, worst",
			   one[METHOD_ASSIGN].worst_at_once, MAX_CHURN);
	ok &= check_target("changed over lost, one upstream, settled, all losses, keys",
			   one[METHOD_ASSIGN].settled.keys / one[METHOD_ASSIGN].lost_share.keys,
			   MAX_CHURN);
	ok &= check_target("changed over lost, one upstream, settled, all losses, load",
			   one[METHOD_ASSIGN].settled.load / one[METHOD_ASSIGN].lost_share.load,
			   MAX_CHURN);
	ok &= check_target("changed over lost, a quarter, at once, worst",
			   quarter[METHOD_ASSIGN].worst_at_once, MAX_CHURN);
	return ok;
}

/* ---- time of a planning call ---- */

static double cpu_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

/* Size of a planning problem. */
struct size {
	uint32_t partitions;
	size_t upstreams;
};

/* Processor time of planning calls, in ms. */
struct timing {
	double first;  /* no partition has an owner yet */
	double loss;   /* one upstream is lost */
	double steady; /* all upstreams usable, partitions assigned as planned first */
};

static struct timing time_planning(const struct size *size, struct rnd *rnd)
{
	struct assign_upstream *ups = alloc_zeroed(size->upstreams, sizeof(*ups));
	bool *all_partitions = alloc_zeroed(size->partitions, sizeof(*all_partitions));
	double *load = alloc_zeroed(size->partitions, sizeof(*load));
	struct assign_move *moves = alloc_zeroed(size->partitions * 2, sizeof(*moves));
	struct assign_loads loads = {.partitions = load};
	struct timing t;
	Bc__Assign *a;
	double start;
	size_t n;

	for (size_t i = 0; i < size->upstreams; i++)
		ups[i] = (struct assign_upstream){(uint32_t)i + 1, 2, true};
	for (size_t i = 0; i < size->partitions; i++) {
		all_partitions[i] = true;
		load[i] = 1 + rnd_unit(rnd);
	}
	start = cpu_ms();
	n = assign_plan(NULL, all_partitions, size->partitions, ups, size->upstreams, &loads,
			&assign_defaults, moves, size->partitions * 2);
	t.first = cpu_ms() - start;
	a = assign_apply(NULL, "region", "service", moves, n);
	ups[0].usable = false;
	start = cpu_ms();
	assign_plan(a, all_partitions, size->partitions, ups, size->upstreams, &loads,
		    &assign_defaults, moves, size->partitions * 2);
	t.loss = cpu_ms() - start;
	ups[0].usable = true;
	start = cpu_ms();
	assign_plan(a, all_partitions, size->partitions, ups, size->upstreams, &loads,
		    &assign_defaults, moves, size->partitions * 2);
	t.steady = cpu_ms() - start;
	assign_free(a);
	free(moves);
	free(load);
	free(all_partitions);
	free(ups);
	return t;
}

static void report_times(struct rnd *rnd)
{
	static const struct size sizes[] = {{256, 20}, {1024, 100}, {4096, 300}, {4096, 1000}};
	const size_t n = sizeof(sizes) / sizeof(sizes[0]);
	struct timing t[sizeof(sizes) / sizeof(sizes[0])];

	printf("time of one planning call, ms of CPU\n  %10s %10s %10s %10s %10s\n", "partitions",
	       "upstreams", "first", "one lost", "steady");
	for (size_t i = 0; i < n; i++) {
		t[i] = time_planning(&sizes[i], rnd);
		printf("  %10u %10zu %10.3f %10.3f %10.3f\n", sizes[i].partitions,
		       sizes[i].upstreams, t[i].first, t[i].loss, t[i].steady);
	}
	printf("  slope of `one lost` between the first and the last size: exponent %.2f of "
	       "partitions + upstreams\n",
	       log(t[n - 1].loss / t[0].loss) /
		       log((double)(sizes[n - 1].partitions + sizes[n - 1].upstreams) /
			   (double)(sizes[0].partitions + sizes[0].upstreams)));
}

/* Usage: bench_balance [SEED] */
int main(int argc, char **argv)
{
	static const uint32_t slots[] = {2, 4};
	struct rnd rnd;
	bool ok = true;

	rnd_seed(&rnd, argc > 1 ? strtoull(argv[1], NULL, 10) : 20261204);
	for (size_t i = 0; i < sizeof(slots) / sizeof(slots[0]); i++) {
		struct simulation *r = alloc_zeroed(1, sizeof(*r));

		simulate_zipf(r, slots[i], &rnd);
		ok &= report(r, slots[i]);
		assign_free(r->fleet.assign);
		free(r);
	}
	report_times(&rnd);
	return ok ? 0 : 1;
}
