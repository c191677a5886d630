/* Tests of crash counts per fingerprint: quarantine, single attempts, lift, merge, expiry. */
#include <stdlib.h>

#include "unit.h"
#include "process/quarantine.h"

/* Guards against a request that crashes one upstream after the other. */
START_TEST(second_crash_quarantines_only_its_fingerprint)
{
	struct quarantine *q = quarantine_create(1000);

	ck_assert_uint_eq(quarantine_crash(q, 1, 7, 11), 1);
	ck_assert(!quarantine_blocks(q, 1, 7));
	ck_assert_uint_eq(quarantine_crash(q, 2, 7, 12), 2);
	ck_assert(quarantine_blocks(q, 2, 7));
	ck_assert(!quarantine_try_send(q, 2, 7, 500));
	ck_assert(!quarantine_blocks(q, 2, 8));
	ck_assert(quarantine_try_send(q, 2, 8, 500));
	quarantine_destroy(q);
}
END_TEST

/* Guards against two requests with a suspect fingerprint crashing two upstreams at once. */
START_TEST(suspect_is_sent_one_at_a_time)
{
	struct quarantine *q = quarantine_create(1000);

	quarantine_crash(q, 1, 7, 13);
	ck_assert(quarantine_try_send(q, 1, 7, 500));
	ck_assert(!quarantine_try_send(q, 1, 7, 500));
	quarantine_attempt_done(q, 2, 7);
	ck_assert(quarantine_try_send(q, 2, 7, 500));
	quarantine_destroy(q);
}
END_TEST

/*
 * Guards against quarantining a fingerprint because several requests with it were in flight at one
 * process that ended once, for whatever reason.
 */
START_TEST(one_process_counts_once)
{
	struct quarantine *q = quarantine_create(1000);

	ck_assert_uint_eq(quarantine_crash(q, 1, 7, 100), 1);
	ck_assert_uint_eq(quarantine_crash(q, 1, 7, 100), 1);
	ck_assert(!quarantine_blocks(q, 2, 7));
	ck_assert_uint_eq(quarantine_crash(q, 2, 7, 101), 2);
	ck_assert(quarantine_blocks(q, 2, 7));
	quarantine_destroy(q);
}
END_TEST

/* A refused slot request returns no slot. Guards against blocking its fingerprint for good. */
START_TEST(suspect_is_not_blocked_after_the_time_limit)
{
	struct quarantine *q = quarantine_create(1000);

	quarantine_crash(q, 1, 7, 14);
	ck_assert(quarantine_try_send(q, 1, 7, 100));
	ck_assert(!quarantine_try_send(q, 99, 7, 500));
	ck_assert(quarantine_try_send(q, 100, 7, 500));
	quarantine_destroy(q);
}
END_TEST

/* Guards against suspecting a request for the whole window when another one caused the crash. */
START_TEST(answer_clears_a_single_crash_but_no_quarantine)
{
	struct quarantine *q = quarantine_create(1000);

	quarantine_crash(q, 1, 7, 15);
	quarantine_reset_count(q, 7);
	ck_assert_uint_eq(quarantine_crash(q, 2, 7, 16), 1);
	quarantine_crash(q, 3, 7, 17);
	quarantine_reset_count(q, 7);
	ck_assert(quarantine_blocks(q, 4, 7));
	quarantine_destroy(q);
}
END_TEST

/*
 * Guards against a lift that has ended one quarantine ending a later one too, because newer
 * configurations still list the lift.
 */
START_TEST(lift_acts_once_per_version)
{
	struct quarantine *q = quarantine_create(1000);

	quarantine_crash(q, 1, 7, 18);
	quarantine_crash(q, 1, 7, 19);
	quarantine_lift(q, 7, 5);
	ck_assert(!quarantine_blocks(q, 2, 7));
	quarantine_crash(q, 3, 7, 20);
	quarantine_crash(q, 3, 7, 21);
	quarantine_lift(q, 7, 5);
	ck_assert(quarantine_blocks(q, 3, 7));
	quarantine_tick(q, 5000);
	quarantine_crash(q, 5000, 7, 22);
	quarantine_crash(q, 5000, 7, 23);
	quarantine_lift(q, 7, 5);
	ck_assert(quarantine_blocks(q, 5000, 7));
	quarantine_lift(q, 7, 6);
	ck_assert(!quarantine_blocks(q, 5000, 7));
	quarantine_destroy(q);
}
END_TEST

static void count(void *data, uint64_t fingerprint, uint32_t crashes, clk_ms age)
{
	*(uint32_t *)data += crashes;
}

/*
 * Guards against losing crash counts when another broker takes over, and against counts that never
 * expire.
 */
START_TEST(merge_keeps_the_larger_count_until_expiry)
{
	struct quarantine *q = quarantine_create(1000);
	uint32_t total_crashes = 0;

	quarantine_merge(q, 1, 7, 2);
	quarantine_merge(q, 1, 7, 1);
	ck_assert(quarantine_blocks(q, 1000, 7));
	ck_assert(!quarantine_blocks(q, 1001, 7));
	quarantine_each(q, 1000, count, &total_crashes);
	ck_assert_uint_eq(total_crashes, 2);
	quarantine_tick(q, 1001);
	ck_assert_uint_eq(quarantine_crash(q, 1001, 7, 24), 1);
	quarantine_destroy(q);
}
END_TEST

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, second_crash_quarantines_only_its_fingerprint);
	tcase_add_test(tc, suspect_is_sent_one_at_a_time);
	tcase_add_test(tc, one_process_counts_once);
	tcase_add_test(tc, suspect_is_not_blocked_after_the_time_limit);
	tcase_add_test(tc, answer_clears_a_single_crash_but_no_quarantine);
	tcase_add_test(tc, lift_acts_once_per_version);
	tcase_add_test(tc, merge_keeps_the_larger_count_until_expiry);
}

int main(int argc, char **argv)
{
	static const char *const mutants[] = {NULL};

	return unit_main(argc, argv, "quarantine", mutants, add_tests);
}
