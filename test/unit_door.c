/* Tests of the account of memory held for callers. */
#include "door/door.h"
#include "test/unit.h"

#define LIMIT (1000u * 1024)

/* Guards against a crowd of large requests that takes the memory of ordinary ones. */
START_TEST(small_requests_keep_a_reserve)
{
	struct door d = {.limit = LIMIT, .used = LIMIT - LIMIT / DOOR_RESERVE_DIVISOR};

	ck_assert(!door_admits(&d, 0, DOOR_SMALL_BYTES + 1));
	ck_assert(!door_admits(&d, DOOR_SMALL_BYTES, 1));
	ck_assert(door_admits(&d, 0, DOOR_SMALL_BYTES));
	d.used = LIMIT - 10;
	ck_assert(door_admits(&d, 0, 10));
	ck_assert(!door_admits(&d, 0, 11));
}
END_TEST

/* Guards against a large request that is refused in calm, and against a limit where none is set. */
START_TEST(large_requests_are_admitted_in_calm)
{
	struct door d = {.limit = LIMIT};
	struct door none = {0};

	ck_assert(door_admits(&d, 0, LIMIT - LIMIT / DOOR_RESERVE_DIVISOR));
	ck_assert(!door_admits(&d, 0, LIMIT));
	ck_assert(door_admits(&none, 0, LIMIT));
	ck_assert(door_admits(NULL, 0, LIMIT));
}
END_TEST

/* Guards against an account that drifts when what a holder has grows and shrinks. */
START_TEST(counts_are_returned)
{
	struct door d = {.limit = LIMIT};
	size_t a = 0;
	size_t b = 0;

	door_count(&d, &a, 100);
	door_count(&d, &b, 50);
	door_count(&d, &a, 20);
	ck_assert_uint_eq(d.used, 70);
	ck_assert(!door_is_short(&d));
	door_count(&d, &b, LIMIT);
	ck_assert(door_is_short(&d));
	door_count(&d, &a, 0);
	door_count(&d, &b, 0);
	ck_assert_uint_eq(d.used, 0);
}
END_TEST

/* Guards against bodies and answers that stop and hold their memory until a long time limit. */
START_TEST(what_has_stopped_gives_way)
{
	ck_assert(!door_is_stale_body(1000, 1000 + DOOR_STALE_BODY_MS - 1));
	ck_assert(door_is_stale_body(1000, 1000 + DOOR_STALE_BODY_MS));
	ck_assert(!door_is_stalled_answer(1000, 1000 + DOOR_STALLED_ANSWER_MS - 1));
	ck_assert(door_is_stalled_answer(1000, 1000 + DOOR_STALLED_ANSWER_MS));
}
END_TEST

static const char *const mutants[] = {"door_no_reserve", "door_no_limit", "door_keep_stale",
				      "door_keep_stalled", NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, small_requests_keep_a_reserve);
	tcase_add_test(tc, large_requests_are_admitted_in_calm);
	tcase_add_test(tc, counts_are_returned);
	tcase_add_test(tc, what_has_stopped_gives_way);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "door", mutants, add_tests);
}
