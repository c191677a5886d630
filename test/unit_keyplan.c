/* Tests of plans for the owners of keys, under load patterns seen in real traffic. */
#include <stdlib.h>

#include "base/rnd.h"
#include "process/keyplan.h"
#include "test/unit.h"

#define KEY_SPACE 65536
#define MAX_RANGES 4096
#define MAX_KEYS 8192
#define UPSTREAMS 20
#define CAPACITY 9.0

struct world {
	struct keyplan_range ranges[MAX_RANGES];
	size_t n_ranges;
	struct keyplan_upstream upstreams[UPSTREAMS];
	size_t n_upstreams;
	uint16_t keys[MAX_KEYS];
	size_t n_keys;
	struct rnd rnd;
};

static int compare(const void *a, const void *b)
{
	return (int)*(const uint16_t *)a - (int)*(const uint16_t *)b;
}

static int compare_ranges(const void *a, const void *b)
{
	const struct keyplan_range *x = a;
	const struct keyplan_range *y = b;

	return (x->from > y->from) - (x->from < y->from);
}

static void world_init(struct world *w, size_t n_upstreams)
{
	memset(w, 0, sizeof(*w));
	rnd_seed(&w->rnd, 20261204);
	w->n_upstreams = n_upstreams;
	for (size_t i = 0; i < n_upstreams; i++)
		w->upstreams[i] = (struct keyplan_upstream){i + 1, CAPACITY, true, false};
	w->n_ranges = 1;
	w->ranges[0] = (struct keyplan_range){0, KEY_SPACE - 1, 0, false};
}

static struct keyplan_input input_of(const struct world *w)
{
	return (struct keyplan_input){
		.key_space = KEY_SPACE,
		.ranges = w->ranges,
		.n_ranges = w->n_ranges,
		.upstreams = w->upstreams,
		.n_upstreams = w->n_upstreams,
		.keys = w->keys,
		.n_keys = w->n_keys,
		.window_s = 1.5,
	};
}

static void apply(struct world *w, const struct keyplan_move *m)
{
	for (size_t i = 0; i < w->n_ranges; i++) {
		struct keyplan_range *r = &w->ranges[i];
		struct keyplan_range old = *r;

		if (m->from < r->from || m->from > r->to)
			continue;
		/* A move lies inside one range. */
		ck_assert_uint_le(m->to, r->to);
		ck_assert_uint_le(m->from, m->to);
		*r = (struct keyplan_range){m->from, m->to, m->owner, false};
		if (old.from < m->from)
			w->ranges[w->n_ranges++] =
				(struct keyplan_range){old.from, m->from - 1, old.owner, false};
		if (old.to > m->to)
			w->ranges[w->n_ranges++] =
				(struct keyplan_range){m->to + 1, old.to, old.owner, false};
		qsort(w->ranges, w->n_ranges, sizeof(w->ranges[0]), compare_ranges);
		return;
	}
	ck_abort_msg("a move outside all ranges");
}

/* Plans until there are no moves, at most `rounds` times; returns the number of plans with moves.
 */
static int plan_repeatedly(struct world *w, int rounds)
{
	static struct keyplan_move moves[256];
	int used = 0;

	for (int i = 0; i < rounds; i++) {
		struct keyplan_input in = input_of(w);
		size_t n = keyplan(&in, moves, 256, 6);

		if (!n)
			break;
		used++;
		for (size_t k = 0; k < n; k++)
			apply(w, &moves[k]);
	}
	return used;
}

static void start(struct world *w)
{
	static struct keyplan_move moves[256];
	struct keyplan_input in = input_of(w);
	size_t n = keyplan_initial(&in, 2, moves, 256);

	for (size_t i = 0; i < n; i++)
		apply(w, &moves[i]);
}

static size_t requests_at(const struct world *w, uint64_t owner)
{
	size_t n = 0;

	for (size_t i = 0; i < w->n_keys; i++) {
		for (size_t k = 0; k < w->n_ranges; k++) {
			if (w->keys[i] >= w->ranges[k].from && w->keys[i] <= w->ranges[k].to)
				n += w->ranges[k].owner == owner;
		}
	}
	return n;
}

static double highest_usage(const struct world *w)
{
	double most = 0;

	for (size_t i = 0; i < w->n_upstreams; i++) {
		double u = (double)requests_at(w, i + 1) / 1.5 / w->upstreams[i].capacity;

		if (u > most)
			most = u;
	}
	return most;
}

static void add_requests(struct world *w, size_t n, uint32_t from, uint32_t width)
{
	for (size_t i = 0; i < n; i++)
		w->keys[w->n_keys++] = (uint16_t)(from + rnd_below(&w->rnd, width));
	qsort(w->keys, w->n_keys, sizeof(w->keys[0]), compare);
}

/* Every key has an owner, and every upstream has keys. */
START_TEST(first_ranges_cover_all_keys)
{
	static struct world w;
	uint32_t next = 0;

	world_init(&w, UPSTREAMS);
	start(&w);
	for (size_t i = 0; i < w.n_ranges; i++) {
		ck_assert_uint_eq(w.ranges[i].from, next);
		ck_assert_uint_ne(w.ranges[i].owner, 0);
		next = w.ranges[i].to + 1;
	}
	ck_assert_uint_eq(next, KEY_SPACE);
	for (uint64_t u = 1; u <= UPSTREAMS; u++) {
		bool found = false;

		for (size_t i = 0; i < w.n_ranges; i++)
			found = found || w.ranges[i].owner == u;
		ck_assert(found);
	}
}
END_TEST

/*
 * 200 adjacent keys suddenly get 40 % of the traffic. Guards against leaving a block of hot keys on
 * one upstream: six plans have to spread it.
 */
START_TEST(hot_block_is_spread)
{
	static struct world w;
	int rounds;

	world_init(&w, UPSTREAMS);
	start(&w);
	add_requests(&w, 69, 0, KEY_SPACE);
	add_requests(&w, 46, 30000, 200);
	rounds = plan_repeatedly(&w, 6);
	ck_assert_int_gt(rounds, 0);
	ck_assert_msg(highest_usage(&w) < 0.9, "one upstream has a utilization of %.2f",
		      highest_usage(&w));
}
END_TEST

/*
 * One key gets more load than any upstream can answer. Guards against a plan that stops there: the
 * other keys of its upstream have to move away, and the other upstreams have to be balanced.
 */
START_TEST(one_hot_key_does_not_block_the_rest)
{
	static struct world w;
	uint64_t hot_owner = 0;

	world_init(&w, UPSTREAMS);
	start(&w);
	add_requests(&w, 40, 0, KEY_SPACE);
	add_requests(&w, 54, 56860, 1);	 /* 36 requests per second for one key */
	add_requests(&w, 40, 1000, 600); /* a hot block elsewhere */
	plan_repeatedly(&w, 8);
	for (size_t i = 0; i < w.n_ranges; i++) {
		if (w.ranges[i].from <= 56860 && w.ranges[i].to >= 56860)
			hot_owner = w.ranges[i].owner;
	}
	for (uint64_t u = 1; u <= UPSTREAMS; u++) {
		double usage = (double)requests_at(&w, u) / 1.5 / CAPACITY;

		if (u == hot_owner)
			ck_assert_msg(usage < 36 / CAPACITY + 0.2,
				      "the owner of the hot key has a utilization of %.2f", usage);
		else
			ck_assert_msg(usage < 0.9, "upstream %d has a utilization of %.2f", (int)u,
				      usage);
	}
}
END_TEST

/* Guards against moving many keys to balance load, as each has a cost: at most 5 % of all keys. */
START_TEST(moves_are_narrow)
{
	static struct world w;
	static struct keyplan_move moves[256];
	struct keyplan_input in;
	size_t moved = 0;
	size_t n;

	world_init(&w, UPSTREAMS);
	start(&w);
	add_requests(&w, 60, 30000, 200);
	in = input_of(&w);
	n = keyplan(&in, moves, 256, 6);
	ck_assert_uint_gt(n, 0);
	for (size_t i = 0; i < n; i++)
		moved += moves[i].to - moves[i].from + 1;
	ck_assert_uint_le(moved, KEY_SPACE / 20);
}
END_TEST

/*
 * Even traffic of 80 requests per second for 30 s; every 250 ms a plan sees the last 1.5 s of it.
 * Guards against moves that follow random variation: an upstream with a mean of 6 requests in 1.5 s
 * often gets 9. The limit is to move all keys twice, which costs a hundredth of the value of a
 * day's requests.
 */
START_TEST(even_traffic_moves_little)
{
	static struct world w;
	static struct keyplan_move moves[256];
	static uint16_t recent[6][20];
	size_t moved = 0;

	world_init(&w, UPSTREAMS);
	start(&w);
	for (int round = 0; round < 120; round++) {
		struct keyplan_input in;
		size_t n;

		for (int i = 0; i < 20; i++)
			recent[round % 6][i] = (uint16_t)rnd_below(&w.rnd, KEY_SPACE);
		w.n_keys = round < 6 ? 0 : 120;
		memcpy(w.keys, recent, sizeof(recent));
		qsort(w.keys, w.n_keys, sizeof(w.keys[0]), compare);
		in = input_of(&w);
		n = keyplan(&in, moves, 256, 6);
		for (size_t i = 0; i < n; i++) {
			moved += moves[i].to - moves[i].from + 1;
			apply(&w, &moves[i]);
		}
	}
	ck_assert_msg(moved <= 2 * KEY_SPACE, "%.2f times all keys moved",
		      (double)moved / KEY_SPACE);
}
END_TEST

/* An upstream that joins gets keys at once, even without traffic. */
START_TEST(joined_upstream_gets_keys)
{
	static struct world w;

	world_init(&w, UPSTREAMS);
	w.n_upstreams = UPSTREAMS - 1;
	start(&w);
	w.n_upstreams = UPSTREAMS;
	plan_repeatedly(&w, 2);
	for (size_t i = 0; i < w.n_ranges; i++) {
		if (w.ranges[i].owner == UPSTREAMS)
			return;
	}
	ck_abort_msg("the upstream that joined has no keys");
}
END_TEST

/* Guards against leaving all keys with the first registered upstream while there is no load. */
START_TEST(idle_deployment_is_divided)
{
	static struct world w;
	size_t owned = 0;

	world_init(&w, UPSTREAMS);
	w.n_upstreams = 1;
	start(&w);
	w.n_upstreams = UPSTREAMS;
	plan_repeatedly(&w, 8);
	for (uint64_t u = 1; u <= UPSTREAMS; u++) {
		for (size_t i = 0; i < w.n_ranges; i++) {
			if (w.ranges[i].owner == u) {
				owned++;
				break;
			}
		}
	}
	ck_assert_uint_eq(owned, UPSTREAMS);
}
END_TEST

/* All keys of an upstream that is no longer usable get other owners. */
START_TEST(lost_upstream_loses_all_keys)
{
	static struct world w;

	world_init(&w, UPSTREAMS);
	start(&w);
	w.upstreams[4].usable = false;
	plan_repeatedly(&w, 2);
	for (size_t i = 0; i < w.n_ranges; i++)
		ck_assert_uint_ne(w.ranges[i].owner, 5);
}
END_TEST

/* Cold upstreams get keys only if no other upstream is usable. */
START_TEST(cold_upstreams_are_a_last_resort)
{
	static struct world w;

	world_init(&w, 3);
	w.upstreams[2].last_resort = true;
	w.ranges[0].owner = 1;
	w.upstreams[0].usable = false;
	plan_repeatedly(&w, 1);
	for (size_t i = 0; i < w.n_ranges; i++)
		ck_assert_uint_eq(w.ranges[i].owner, 2);
	w.upstreams[1].usable = false;
	plan_repeatedly(&w, 1);
	for (size_t i = 0; i < w.n_ranges; i++)
		ck_assert_uint_eq(w.ranges[i].owner, 3);
}
END_TEST

/* Random input: moves avoid fixed ranges, do not overlap, and go to usable upstreams. */
START_TEST(random_plans_are_sound)
{
	static struct world w;
	static struct keyplan_move moves[256];

	for (int seed = 0; seed < 400; seed++) {
		world_init(&w, 2 + (size_t)seed % (UPSTREAMS - 2));
		rnd_seed(&w.rnd, (uint64_t)seed);
		start(&w);
		for (int round = 0; round < 4; round++) {
			struct keyplan_input in;
			size_t n;

			w.n_keys = 0;
			add_requests(&w, rnd_below(&w.rnd, 150), 0, KEY_SPACE);
			add_requests(&w, rnd_below(&w.rnd, 100),
				     (uint32_t)rnd_below(&w.rnd, KEY_SPACE - 300),
				     1 + (uint32_t)rnd_below(&w.rnd, 200));
			for (size_t i = 0; i < w.n_upstreams; i++)
				w.upstreams[i].usable = rnd_below(&w.rnd, 6) > 0;
			for (size_t i = 0; i < w.n_ranges; i++)
				w.ranges[i].fixed = rnd_below(&w.rnd, 5) == 0;
			in = input_of(&w);
			n = keyplan(&in, moves, 256, 6);
			for (size_t i = 0; i < n; i++) {
				ck_assert(w.upstreams[moves[i].owner - 1].usable);
				for (size_t k = 0; k < i; k++)
					ck_assert(moves[i].to < moves[k].from ||
						  moves[i].from > moves[k].to);
				for (size_t k = 0; k < w.n_ranges; k++) {
					if (w.ranges[k].fixed)
						ck_assert(moves[i].to < w.ranges[k].from ||
							  moves[i].from > w.ranges[k].to);
				}
			}
			for (size_t i = 0; i < n; i++)
				apply(&w, &moves[i]);
		}
	}
}
END_TEST

static const char *const mutants[] = {"keyplan_no_balance", "keyplan_trust_chance", NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, first_ranges_cover_all_keys);
	tcase_add_test(tc, hot_block_is_spread);
	tcase_add_test(tc, one_hot_key_does_not_block_the_rest);
	tcase_add_test(tc, moves_are_narrow);
	tcase_add_test(tc, even_traffic_moves_little);
	tcase_add_test(tc, joined_upstream_gets_keys);
	tcase_add_test(tc, idle_deployment_is_divided);
	tcase_add_test(tc, lost_upstream_loses_all_keys);
	tcase_add_test(tc, cold_upstreams_are_a_last_resort);
	tcase_add_test(tc, random_plans_are_sound);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "keyplan", mutants, add_tests);
}
