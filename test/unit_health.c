/* Loss and cold start of one upstream as seen by requests and probes. */
#include <stdlib.h>

#include "unit.h"
#include "process/health.h"

static struct health_event none(void)
{
	return (struct health_event){false, false, false};
}

/* Guards against one refused connection taking an upstream out. */
START_TEST(two_failed_connects_in_a_row_lose_it)
{
	struct health h;
	struct health_event ev = none();

	health_init(&h, 1);
	health_on_connect_failed(&h, 2, &health_defaults, &ev);
	health_on_answer(&h, 3, 9, &ev);
	health_on_connect_failed(&h, 4, &health_defaults, &ev);
	ck_assert(!ev.became_lost);
	health_on_connect_failed(&h, 5, &health_defaults, &ev);
	ck_assert(ev.became_lost);
	ck_assert_int_eq(h.state, HEALTH_LOST);
}
END_TEST

/* Guards against a frozen upstream keeping its keys, and against idle ones being lost. */
START_TEST(silence_after_an_attempt_loses_it)
{
	struct health h;
	struct health_event ev = none();

	health_init(&h, 1);
	health_tick(&h, 10000, &health_defaults, &ev);
	ck_assert(!ev.became_lost);
	health_on_attempt(&h, 10000);
	health_on_attempt(&h, 10400);
	health_tick(&h, 10499, &health_defaults, &ev);
	ck_assert(!ev.became_lost);
	health_tick(&h, 10500, &health_defaults, &ev);
	ck_assert(ev.became_lost);
	ev = none();
	health_tick(&h, 10600, &health_defaults, &ev);
	ck_assert(!ev.became_lost);
}
END_TEST

/* Guards against a late answer returning a lost upstream, or its return at full load. */
START_TEST(only_probes_bring_it_back_and_it_is_cold)
{
	struct health h;
	struct health_event ev = none();

	health_init(&h, 1);
	health_on_answer(&h, 1, 9, &ev);
	health_on_attempt(&h, 2);
	health_tick(&h, 502, &health_defaults, &ev);
	ev = none();
	health_on_answer(&h, 600, 9, &ev);
	health_on_probe(&h, 700, 9, false, false, &ev);
	ck_assert_int_eq(h.state, HEALTH_LOST);
	health_on_probe(&h, 900, 9, false, false, &ev);
	ck_assert(ev.came_back && ev.turned_cold);
	ck_assert_int_eq(h.state, HEALTH_UP);
}
END_TEST

/* Guards against a restart that shows only in the start id, in a report or in a broken request. */
START_TEST(hints_of_a_restart_mean_cold)
{
	struct health h;
	struct health_event ev = none();

	health_init(&h, 1);
	health_on_answer(&h, 1, 9, &ev);
	ev = none();
	health_on_answer(&h, 2, 9, &ev);
	health_on_answer(&h, 3, 0, &ev);
	ck_assert(!ev.turned_cold);
	health_on_answer(&h, 4, 10, &ev);
	ck_assert(ev.turned_cold);
	ev = none();
	health_on_probe(&h, 5, 10, true, true, &ev);
	ck_assert(ev.turned_cold && h.draining);
	ev = none();
	health_on_broken_request(&h, 6, &ev);
	ck_assert(ev.turned_cold);
}
END_TEST

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, two_failed_connects_in_a_row_lose_it);
	tcase_add_test(tc, silence_after_an_attempt_loses_it);
	tcase_add_test(tc, only_probes_bring_it_back_and_it_is_cold);
	tcase_add_test(tc, hints_of_a_restart_mean_cold);
}

int main(int argc, char **argv)
{
	static const char *const mutants[] = {NULL};

	return unit_main(argc, argv, "health", mutants, add_tests);
}
