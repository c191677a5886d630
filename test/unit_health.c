/* Tests of loss and cold-start detection from the results of requests and probes. */
#include <stdlib.h>

#include "unit.h"
#include "process/health.h"

static struct health_event none(void)
{
	return (struct health_event){false, false, false};
}

/* Guards against declaring an upstream lost after one refused connection. */
START_TEST(two_failed_connects_in_a_row_mean_loss)
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

/*
 * Guards against a hanging upstream that keeps its keys since its loss is not detected, and against
 * declaring an idle upstream lost.
 */
START_TEST(no_answer_to_an_attempt_means_loss)
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

/* Guards against a late answer bringing a lost upstream back, and against its return as warm. */
START_TEST(only_probes_end_a_loss_and_set_cold)
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

/* Guards against missing a restart seen only by a start id, a report or a broken request. */
START_TEST(signs_of_a_restart_set_cold)
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
	tcase_add_test(tc, two_failed_connects_in_a_row_mean_loss);
	tcase_add_test(tc, no_answer_to_an_attempt_means_loss);
	tcase_add_test(tc, only_probes_end_a_loss_and_set_cold);
	tcase_add_test(tc, signs_of_a_restart_set_cold);
}

int main(int argc, char **argv)
{
	static const char *const mutants[] = {NULL};

	return unit_main(argc, argv, "health", mutants, add_tests);
}
