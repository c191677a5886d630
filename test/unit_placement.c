/*
 * Tests of admission control by cost: each replays a load without a network, once as it was decided
 * before and once by cost, and compares the callers that got no answer by their target.
 */
#include "test/placement.h"

#define LENGTH_MS 60000
#define SEED 100

/* Share that a class may lose where others gain. */
#define MOST_LOST 0.02

/* Short urgent requests beside long ones, and the proportions of both. */
static const struct placement_class short_82 = {1, 0, 82, 0.3, 300, 1000};
static const struct placement_class long_520 = {2, 0, 520, 0.8, 1500, 4000};
static const struct placement_class short_96 = {0, 0, 96, 0.3, 400, 2500};
static const struct placement_class long_300 = {2, 0, 300, 0.8, 1500, 6000};
static const double parts_4_slots[PLACEMENT_CLASSES] = {303, 416};
static const double parts_2_slots[PLACEMENT_CLASSES] = {84, 308};

static void world(struct placement *p, uint32_t slots, bool keyed)
{
	static const double speeds[] = {0.6, 1.0, 1.4};

	*p = (struct placement){
		.n_upstreams = PLACEMENT_UPSTREAMS,
		.slots = slots,
		.keyed = keyed,
		.steady = true,
		.length = LENGTH_MS,
		.counted_from = 5000,
		.n_classes = 2,
	};
	for (uint32_t u = 0; u < p->n_upstreams; u++)
		p->speed[u] = speeds[u % 3];
	p->classes[0] = slots == 2 ? short_96 : short_82;
	p->classes[1] = slots == 2 ? long_300 : long_520;
}

struct comparison {
	struct placement former;
	struct placement by_cost;
};

static void compare(struct comparison *c, const char *what, const struct placement *p,
		    void (*each)(struct placement *p, clk_ms now))
{
	c->former = *p;
	c->by_cost = *p;
	placement_play(&c->former, false, SEED, each);
	placement_play(&c->by_cost, true, SEED, each);
	placement_print(what, &c->former, &c->by_cost);
}

static void check_no_class_loses(const struct comparison *c)
{
	for (uint32_t i = 0; i < c->by_cost.n_classes; i++) {
		double before = placement_misses(&c->former.score[i]);
		double after = placement_misses(&c->by_cost.score[i]);

		ck_assert_msg(after <= before + MOST_LOST, "class %u: %.4f, %.4f before", i, after,
			      before);
	}
}

static void check_misses(const struct comparison *c, double most)
{
	double before = placement_misses(&c->former.all);
	double after = placement_misses(&c->by_cost.all);

	ck_assert_msg(after <= before * most, "%.4f of the callers, %.4f before", after, before);
	check_no_class_loses(c);
}

/*
 * 82 ms beside 520 ms on the same upstreams, at 0.85 of the capacity. Guards against short requests
 * that are refused or wait behind long ones, since both are taken to cost the mean.
 */
START_TEST(mixed_costs_on_four_slots)
{
	static struct comparison c;
	struct placement p;

	world(&p, 4, true);
	placement_scale(&p, 0.85, parts_4_slots);
	compare(&c, "mixed costs, 4 slots", &p, NULL);
	check_misses(&c, 2.0 / 3);
	/* Without the slot that long requests leave free, 0.10 of the short ones miss. */
	ck_assert(placement_misses(&c.by_cost.score[0]) < 0.08);
}
END_TEST

START_TEST(mixed_costs_on_two_slots)
{
	static struct comparison c;
	struct placement p;

	world(&p, 2, true);
	placement_scale(&p, 0.85, parts_2_slots);
	compare(&c, "mixed costs, 2 slots", &p, NULL);
	check_misses(&c, 2.0 / 3);
}
END_TEST

/* 3 requests in 100 take seven times as long, and upstreams are slowed for a fifth of the time. */
START_TEST(tails_and_slow_phases)
{
	static struct comparison c;
	struct placement p;

	for (uint32_t slots = 2; slots <= 4; slots += 2) {
		world(&p, slots, true);
		p.steady = false;
		p.tail = 0.03;
		placement_scale(&p, 0.85, slots == 2 ? parts_2_slots : parts_4_slots);
		compare(&c, "tails and slow phases", &p, NULL);
		check_misses(&c, 1.0);
		ck_assert(placement_misses(&c.by_cost.score[0]) <
			  0.95 * placement_misses(&c.former.score[0]));
	}
}
END_TEST

/* Demand swings by half, with a peak at another second at each upstream. */
START_TEST(wave_of_demand)
{
	static struct comparison c;
	struct placement p;

	world(&p, 4, true);
	p.wave = 0.55;
	placement_scale(&p, 0.7, parts_4_slots);
	compare(&c, "wave", &p, NULL);
	check_misses(&c, 0.8);
}
END_TEST

/*
 * 1.6 times the capacity, mostly by long requests of low priority. Guards against urgent ones
 * that pay for it, and against long ones that get nothing.
 */
START_TEST(lasting_overload_of_low_priority)
{
	static const double parts[PLACEMENT_CLASSES] = {100, 416};
	static struct comparison c;
	struct placement p;

	world(&p, 4, true);
	placement_scale(&p, 1.6, parts);
	compare(&c, "overload", &p, NULL);
	check_misses(&c, 1.0);
	ck_assert(placement_misses(&c.by_cost.score[0]) <
		  0.8 * placement_misses(&c.former.score[0]));
}
END_TEST

/*
 * Many urgent requests, so that one more always arrives before the next slot is free. Guards
 * against long requests that leave the last slot to them until their time is over.
 */
START_TEST(long_requests_do_not_starve)
{
	static const double parts[PLACEMENT_CLASSES] = {4000, 300};
	static struct comparison c;
	struct placement p;

	world(&p, 4, true);
	p.classes[0].target = 120;
	placement_scale(&p, 0.8, parts);
	compare(&c, "starvation", &p, NULL);
	ck_assert_msg(c.by_cost.score[1].refused / c.by_cost.score[1].callers <
			      c.former.score[1].refused / c.former.score[1].callers + MOST_LOST,
		      "%.0f of %.0f long requests refused, %.0f before", c.by_cost.score[1].refused,
		      c.by_cost.score[1].callers, c.former.score[1].refused);
}
END_TEST

/* Any upstream may serve: guards against a loss where no key binds a request. */
START_TEST(mixed_costs_without_keys)
{
	static struct comparison c;
	struct placement p;

	world(&p, 4, false);
	p.steady = false;
	p.tail = 0.03;
	placement_scale(&p, 0.85, parts_4_slots);
	compare(&c, "no keys", &p, NULL);
	check_no_class_loses(&c);
	placement_scale(&p, 1.2, parts_4_slots);
	compare(&c, "no keys, overload", &p, NULL);
	check_no_class_loses(&c);
}
END_TEST

/* Guards against other decisions for a service whose requests are all of one class. */
START_TEST(one_class_is_decided_as_before)
{
	static struct comparison c;
	struct placement p;

	for (int keyed = 0; keyed <= 1; keyed++) {
		world(&p, 4, keyed);
		p.steady = false;
		p.tail = 0.03;
		p.n_classes = 1;
		p.classes[0] = long_520;
		placement_scale(&p, 0.95, parts_4_slots);
		compare(&c, "one class", &p, NULL);
		ck_assert_double_eq(c.former.all.in_target, c.by_cost.all.in_target);
		ck_assert_double_eq(c.former.all.refused, c.by_cost.all.refused);
	}
}
END_TEST

/* Activates a mutant, or none if NULL, and returns the one before. */
static const char *use_mutant(const char *name)
{
	const char *before = NULL;

#ifdef BC_MUTANTS
	before = mutant_active;
	mutant_active = name;
#endif
	return before;
}

/*
 * Two of 24 upstreams refuse 45 in 100 requests after 2 ms. Guards against their free slots drawing
 * requests, each of which costs a repeat. The former way is played with the learned share off.
 */
START_TEST(failing_upstreams_draw_no_requests)
{
	const char *mutant;
	struct placement p;
	uint64_t before;

	world(&p, 4, false);
	p.classes[0] = long_520;
	p.n_classes = 1;
	p.shed_until = LENGTH_MS / 2;
	p.shed_share[4] = 0.45;
	p.shed_share[5] = 0.45;
	placement_scale(&p, 0.7, parts_4_slots);
	mutant = use_mutant("failing_ignore");
	placement_play(&p, false, SEED, NULL);
	before = p.sheds;
	use_mutant(mutant);
	placement_play(&p, false, SEED, NULL);
	printf("failing: %llu requests shed, %llu before\n", (unsigned long long)p.sheds,
	       (unsigned long long)before);
	ck_assert(p.sheds * 2 < before);
	/* They serve again afterwards. */
	ck_assert(p.served_late[4] + p.served_late[5] > 50);
}
END_TEST

static void change_cost(struct placement *p, clk_ms now)
{
	if (now == p->length / 2)
		p->classes[0].work_ms = 200;
}

/* The short requests turn more than twice as costly: guards against estimates that stay. */
START_TEST(costs_change)
{
	static struct comparison c;
	struct placement p;

	world(&p, 4, true);
	placement_scale(&p, 0.7, parts_4_slots);
	p.counted_from = LENGTH_MS / 2;
	compare(&c, "change", &p, change_cost);
	check_no_class_loses(&c);
}
END_TEST

/* One request in ten names a cost of weeks: guards against estimates that others can spoil. */
START_TEST(false_costs_from_other_gateways)
{
	static struct comparison c;
	static struct placement honest;
	struct placement p;

	world(&p, 4, true);
	placement_scale(&p, 0.85, parts_4_slots);
	honest = p;
	placement_play(&honest, true, SEED, NULL);
	p.false_hints = true;
	compare(&c, "false costs", &p, NULL);
	ck_assert(placement_misses(&c.by_cost.all) <=
		  placement_misses(&honest.all) + MOST_LOST / 2);
}
END_TEST

static const char *const mutants[] = {
	"cost_one_mean", "admit_fill_slots", "admit_hold_always", "failing_ignore", NULL,
};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, mixed_costs_on_four_slots);
	tcase_add_test(tc, mixed_costs_on_two_slots);
	tcase_add_test(tc, tails_and_slow_phases);
	tcase_add_test(tc, wave_of_demand);
	tcase_add_test(tc, lasting_overload_of_low_priority);
	tcase_add_test(tc, long_requests_do_not_starve);
	tcase_add_test(tc, mixed_costs_without_keys);
	tcase_add_test(tc, one_class_is_decided_as_before);
	tcase_add_test(tc, failing_upstreams_draw_no_requests);
	tcase_add_test(tc, costs_change);
	tcase_add_test(tc, false_costs_from_other_gateways);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "placement", mutants, add_tests);
}
