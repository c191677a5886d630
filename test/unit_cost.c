/*
 * Tests of the estimates: costs of request classes, work that an upstream still has to do, and the
 * share of requests that an upstream fails.
 */
#include <math.h>

#include "cost/cost.h"
#include "cost/failing.h"
#include "cost/work.h"
#include "test/unit.h"

#define USUAL_MS 300.0
#define SHORT 11
#define LONG 12

/* Learns `n` answers of a class, half of them below the mean by a fifth and half above. */
static void learn(struct cost_table *t, uint32_t class_id, double ms, int n)
{
	for (int i = 0; i < n; i++)
		cost_learn(t, class_id, i % 2 ? ms * 0.8 : ms * 1.2, USUAL_MS);
}

static double predict(const struct cost_table *t, uint32_t class_id)
{
	return cost_predict(t, class_id, USUAL_MS).ms;
}

/* Guards against one mean for requests of 80 and of 500 ms. */
START_TEST(classes_are_told_apart)
{
	struct cost_table t = {0};

	learn(&t, SHORT, 80, 40);
	ck_assert(!cost_is_mixed(&t));
	ck_assert_double_eq(predict(&t, SHORT), USUAL_MS);
	learn(&t, LONG, 500, 40);
	ck_assert(cost_is_mixed(&t));
	ck_assert_double_eq_tol(predict(&t, SHORT), 80, 8);
	ck_assert_double_eq_tol(predict(&t, LONG), 500, 50);
	ck_assert_double_eq_tol(cost_predict(&t, LONG, USUAL_MS).deviation, 0.2, 0.05);
}
END_TEST

/* Guards against other decisions for a service whose classes cost about the same. */
START_TEST(like_classes_keep_the_mean_of_the_service)
{
	struct cost_table t = {0};

	learn(&t, SHORT, 250, 40);
	learn(&t, LONG, 330, 40);
	ck_assert(!cost_is_mixed(&t));
	ck_assert_double_eq(predict(&t, SHORT), USUAL_MS);
	ck_assert_double_eq(predict(&t, LONG), USUAL_MS);
}
END_TEST

/* A class turns 15 times as costly: guards against an estimate that is learned once. */
START_TEST(estimate_follows_a_change)
{
	struct cost_table t = {0};

	learn(&t, SHORT, 80, 200);
	learn(&t, LONG, 500, 200);
	learn(&t, SHORT, 1200, 64);
	ck_assert_msg(predict(&t, SHORT) > 950, "%.0f ms", predict(&t, SHORT));
}
END_TEST

/* False reports, one of an hour and one of a day: guards against an estimate that they spoil. */
START_TEST(false_reports_change_little)
{
	struct cost_table t = {0};

	learn(&t, SHORT, 80, 64);
	learn(&t, LONG, 500, 64);
	cost_learn(&t, SHORT, 3.6e6, USUAL_MS);
	cost_learn(&t, SHORT, 8.64e7, USUAL_MS);
	ck_assert_msg(predict(&t, SHORT) < 150, "%.0f ms", predict(&t, SHORT));
	cost_hint(&t, SHORT, 1e9, 1000000, USUAL_MS);
	ck_assert_msg(predict(&t, SHORT) < 150, "%.0f ms after a hint", predict(&t, SHORT));
	learn(&t, SHORT, 80, 64);
	ck_assert_double_eq_tol(predict(&t, SHORT), 80, 20);
}
END_TEST

/* Guards against a new controller that takes all requests for equal until it has seen many. */
START_TEST(new_controller_starts_from_hints)
{
	struct cost_table t = {0};

	cost_hint(&t, SHORT, 80, 40, USUAL_MS);
	cost_hint(&t, LONG, 500, 40, USUAL_MS);
	ck_assert(cost_is_mixed(&t));
	ck_assert_msg(predict(&t, SHORT) < 120, "%.0f ms", predict(&t, SHORT));
	ck_assert_msg(predict(&t, LONG) > 440, "%.0f ms", predict(&t, LONG));
}
END_TEST

/* Routes without end: guards against a table that grows, and against losing classes in use. */
START_TEST(rare_classes_share_an_entry)
{
	struct cost_table t = {0};

	for (uint32_t i = 0; i < 5000; i++) {
		cost_learn(&t, SHORT, 80, USUAL_MS);
		cost_learn(&t, LONG, 500, USUAL_MS);
		cost_learn(&t, 1000 + i, 200, USUAL_MS);
	}
	ck_assert_double_eq_tol(predict(&t, SHORT), 80, 20);
	ck_assert_double_eq_tol(predict(&t, LONG), 500, 100);
	ck_assert_double_eq_tol(predict(&t, 999999), 200, 20);
}
END_TEST

START_TEST(class_names_route_method_and_large_body)
{
	struct str get = STR_LIT("GET");
	struct str route = STR_LIT("views");
	uint32_t id = cost_class(route, get, 0);

	ck_assert_uint_ne(id, 0);
	ck_assert_uint_eq(id, cost_class(route, get, 4000));
	ck_assert_uint_ne(id, cost_class(route, STR_LIT("POST"), 0));
	ck_assert_uint_ne(id, cost_class(STR_LIT("lists"), get, 0));
	ck_assert_uint_ne(id, cost_class(route, get, 2000000));
}
END_TEST

/* Guards against a wait that is taken for that of requests which have just begun. */
START_TEST(remaining_work_counts_the_time_spent)
{
	struct work w = {0};

	ck_assert_double_eq(work_remaining(500, 0, 400), 100);
	/* An overdue request of a class that varies takes some more time. */
	ck_assert(work_remaining(500, 0.4, 900) > 100);
	/* A class that varies much: the time spent tells nothing. */
	ck_assert_double_eq_tol(work_remaining(500, 0.74, 400), 500, 1);
	ck_assert(isinf(work_next_release(&w)));
	work_add(&w, 100);
	work_add(&w, 100);
	ck_assert_double_eq_tol(work_next_release(&w), 50, 0.1);
	ck_assert_double_eq(w.remaining_ms, 200);
}
END_TEST

/* Only requests that are more urgent, arrive now and can't wait count. */
START_TEST(urgent_misses_follow_the_arrivals)
{
	struct work_arrivals a = {0};
	double misses;

	ck_assert_double_eq(work_urgent_misses(&a, 1, 2, 100), 0);
	for (clk_ms now = 100; now <= 8000; now += 100)
		work_note_arrival(&a, now, 1, 200);
	misses = work_urgent_misses(&a, 8000, 2, 200);
	/* 10 in a second, 2 of them in 200 ms, of which 1 / e wait too long. */
	ck_assert_double_eq_tol(misses, 2 * exp(-1), 0.2);
	ck_assert_double_eq(work_urgent_misses(&a, 8000, 1, 200), 0);
	ck_assert(work_urgent_misses(&a, 8000, 2, 20) < 0.01);
	ck_assert(work_urgent_misses(&a, 40000, 2, 200) < 0.01);
}
END_TEST

/* Guards against an upstream that looks fast since it fails, and against one never tried again. */
START_TEST(failing_upstream_takes_longer_and_recovers)
{
	struct failing f = {0};

	ck_assert_double_eq(failing_answer_ms(&f, 0, 100, 100), 100);
	for (clk_ms now = 0; now < 400; now += 10)
		failing_note(&f, now, true);
	ck_assert(failing_is_probed(&f, 400));
	ck_assert(failing_answer_ms(&f, 400, 100, 100) > 500);
	ck_assert(!failing_is_probed(&f, 10000));
	for (clk_ms now = 400; now < 800; now += 10)
		failing_note(&f, now, false);
	ck_assert_double_eq(failing_answer_ms(&f, 800, 100, 100), 100);
}
END_TEST

static const char *const mutants[] = {
	"cost_one_mean",     "cost_learn_once", "cost_trust_samples",	"cost_ignore_hints",
	"work_ignore_spent", "failing_ignore",	"failing_never_forget", NULL,
};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, classes_are_told_apart);
	tcase_add_test(tc, like_classes_keep_the_mean_of_the_service);
	tcase_add_test(tc, estimate_follows_a_change);
	tcase_add_test(tc, false_reports_change_little);
	tcase_add_test(tc, new_controller_starts_from_hints);
	tcase_add_test(tc, rare_classes_share_an_entry);
	tcase_add_test(tc, class_names_route_method_and_large_body);
	tcase_add_test(tc, remaining_work_counts_the_time_spent);
	tcase_add_test(tc, urgent_misses_follow_the_arrivals);
	tcase_add_test(tc, failing_upstream_takes_longer_and_recovers);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "cost", mutants, add_tests);
}
