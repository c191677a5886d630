/* Tests of the retry budget over all gateways, and of traffic splits by weight. */
#include <math.h>
#include <stdlib.h>

#include "base/rnd.h"
#include "process/retry.h"
#include "process/split.h"
#include "test/unit.h"

#define GATEWAYS 12

/* Retries at once if the budget permits it. */
static bool retry_now(struct retry *r, const struct retry_options *o, clk_ms now)
{
	if (!retry_reserve(r, o, now))
		return false;
	retry_note_sent(r, o, now);
	return true;
}

/*
 * Twelve gateways without contact to each other try to retry every request. Guards against more
 * retries in total than the deployment's budget in any window of ten seconds.
 */
START_TEST(retries_stay_within_the_deployments_budget)
{
	const struct retry_options o = {.ratio = 0.2,
					.slack = 60,
					.window = 10000,
					.gateways = GATEWAYS,
					.member_since = -30000};
	static struct retry budgets[GATEWAYS];
	static uint32_t requests[60];
	static uint32_t retries[60];
	struct rnd rnd;

	rnd_seed(&rnd, 20261204);
	for (clk_ms now = 0; now < 60000; now += 10) {
		/* The traffic stops for 7 of every 21 seconds. */
		bool quiet = now / 7000 % 3 == 2;

		for (int g = 0; g < GATEWAYS; g++) {
			if (!quiet && rnd_below(&rnd, 4) == 0) {
				retry_note_request(&budgets[g], &o, now);
				requests[now / 1000]++;
			}
			if (retry_now(&budgets[g], &o, now))
				retries[now / 1000]++;
		}
	}
	for (int from = 0; from + 10 <= 60; from++) {
		uint32_t n_requests = 0;
		uint32_t previous_requests = 0;
		uint32_t n_retries = 0;

		for (int i = from; i < from + 10; i++) {
			n_requests += requests[i];
			n_retries += retries[i];
			previous_requests += i >= 10 ? requests[i - 10] : 0;
		}
		if (previous_requests > n_requests)
			n_requests = previous_requests;
		ck_assert_msg(n_retries <= 0.2 * n_requests + 60,
			      "%u retries of %u requests from second %d", n_retries, n_requests,
			      from);
	}
}
END_TEST

/*
 * All requests fail for a moment, twice within the window, at any distance and at any offset from
 * the parts of the window. Guards against a window that forgets retries before it has passed.
 */
START_TEST(two_bursts_within_the_window_share_the_budget)
{
	const struct retry_options o = {
		.ratio = 0.2, .slack = 60, .window = 10000, .gateways = 1, .member_since = -30000};

	for (clk_ms first = 20000; first < 21000; first += 50) {
		for (clk_ms gap = 0; gap < 10000; gap += 50) {
			struct retry r = {0};
			uint32_t retries = 0;

			for (int i = 0; i < 200; i++)
				retries += retry_now(&r, &o, first);
			for (int i = 0; i < 200; i++)
				retries += retry_now(&r, &o, first + gap);
			ck_assert_msg(retries <= 60, "%u retries at %lld and %lld ms", retries,
				      (long long)first, (long long)(first + gap));
		}
	}
}
END_TEST

/*
 * Gateways retry all they can, and each is killed and starts again twice within the window. Guards
 * against a part of the slack for each process in place of each gateway.
 */
START_TEST(restarts_do_not_renew_the_slack)
{
	struct retry_options o = {.ratio = 0.2, .slack = 60, .window = 10000, .gateways = GATEWAYS};
	uint32_t retries = 0;

	for (int g = 0; g < GATEWAYS; g++) {
		for (int start = 0; start < 3; start++) {
			struct retry r = {0};

			o.member_since = start ? 20000 + start * 4000 : 0;
			for (clk_ms now = 20000 + start * 4000; now < 24000 + start * 4000;
			     now += 100)
				retries += retry_now(&r, &o, now);
		}
	}
	ck_assert_msg(retries <= 60, "%u retries", retries);
}
END_TEST

/*
 * Gateways that have not read the table of gateways retry all they can. Guards against the slack of
 * the deployment at each of them.
 */
START_TEST(unknown_number_of_gateways_gives_no_slack)
{
	const struct retry_options o = {.ratio = 0.2, .slack = 60, .window = 10000};
	uint32_t retries = 0;

	for (int g = 0; g < GATEWAYS; g++) {
		struct retry r = {0};

		for (int i = 0; i < 100; i++)
			retries += retry_now(&r, &o, 20000);
	}
	ck_assert_msg(retries <= 60, "%u retries", retries);
}
END_TEST

/* A gateway that has just become a member may retry in proportion to its requests. */
START_TEST(new_gateway_may_retry_a_share_of_its_requests)
{
	const struct retry_options o = {.ratio = 0.2,
					.slack = 60,
					.window = 10000,
					.gateways = GATEWAYS,
					.member_since = 20000};
	struct retry r = {0};

	ck_assert(!retry_now(&r, &o, 20000));
	for (int i = 0; i < 10; i++)
		retry_note_request(&r, &o, 20000);
	ck_assert(retry_now(&r, &o, 20000));
	ck_assert(!retry_now(&r, &o, 20000));
}
END_TEST

/*
 * Retries wait for a slot for four seconds, then all are sent at once; later ones are sent as soon
 * as they are decided. Guards against retries that are counted when they are decided.
 */
START_TEST(retries_that_waited_count_when_they_are_sent)
{
	const struct retry_options o = {
		.ratio = 0.2, .slack = 60, .window = 10000, .gateways = 1, .member_since = -30000};
	struct retry r = {0};
	uint32_t waiting = 0;
	uint32_t sent = 0;

	while (retry_reserve(&r, &o, 20000) && waiting < 1000)
		waiting++;
	for (; sent < waiting; sent++)
		retry_note_sent(&r, &o, 24000);
	for (clk_ms now = 24000; now < 34000; now += 100)
		sent += retry_now(&r, &o, now);
	ck_assert_msg(sent <= 60, "%u retries from 24 s to 34 s", sent);
}
END_TEST

/* Retries that were reserved and never sent leave the budget as it was. */
START_TEST(returned_retries_are_free)
{
	const struct retry_options o = {
		.ratio = 0.2, .slack = 60, .window = 10000, .gateways = 1, .member_since = -30000};
	struct retry r = {0};

	for (int i = 0; i < 1000; i++) {
		ck_assert(retry_reserve(&r, &o, 20000));
		retry_return(&r);
	}
}
END_TEST

/* A single failure may be retried even if there is hardly any traffic. */
START_TEST(idle_gateway_may_retry)
{
	const struct retry_options o = {.ratio = 0.2,
					.slack = 60,
					.window = 10000,
					.gateways = GATEWAYS,
					.member_since = -30000};
	struct retry r = {0};

	retry_note_request(&r, &o, 1000);
	ck_assert(retry_now(&r, &o, 1000));
}
END_TEST

static struct topo_service services[3] = {
	{.name = {"a", 1}}, {.name = {"b", 1}}, {.name = {"c", 1}}};

/*
 * Guards against a split whose parts drift from their shares: each stays within 2 requests of its
 * share.
 */
START_TEST(split_follows_the_weights)
{
	const struct topo_traffic_share parts[3] = {
		{&services[0], 90}, {&services[1], 7}, {&services[2], 3}};
	const struct topo_route route = {.name = {"r", 1}, .parts = parts, .n_parts = 3};
	struct split *s = split_create(3);
	double n[3] = {0};

	for (int i = 1; i <= 3000; i++) {
		n[split_next(s, &route) - parts]++;
		for (int k = 0; k < 3; k++)
			ck_assert(fabs(n[k] - i * parts[k].weight / 100) <= 2);
	}
	split_destroy(s);
}
END_TEST

/* New weights of a route apply from the next request on. */
START_TEST(new_weights_take_effect)
{
	struct topo_traffic_share parts[2] = {{&services[0], 90}, {&services[1], 10}};
	const struct topo_route route = {.name = {"r", 1}, .parts = parts, .n_parts = 2};
	struct split *s = split_create(3);
	int second = 0;

	for (int i = 0; i < 100; i++)
		split_next(s, &route);
	parts[0].weight = 10;
	parts[1].weight = 90;
	for (int i = 0; i < 100; i++)
		second += split_next(s, &route) == &parts[1];
	ck_assert_int_ge(second, 88);
	split_destroy(s);
}
END_TEST

static const char *const mutants[] = {"retry_no_budget",       "retry_short_window",
				      "retry_whole_slack",     "retry_fresh_slack",
				      "retry_count_decisions", NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, retries_stay_within_the_deployments_budget);
	tcase_add_test(tc, two_bursts_within_the_window_share_the_budget);
	tcase_add_test(tc, restarts_do_not_renew_the_slack);
	tcase_add_test(tc, unknown_number_of_gateways_gives_no_slack);
	tcase_add_test(tc, new_gateway_may_retry_a_share_of_its_requests);
	tcase_add_test(tc, retries_that_waited_count_when_they_are_sent);
	tcase_add_test(tc, returned_retries_are_free);
	tcase_add_test(tc, idle_gateway_may_retry);
	tcase_add_test(tc, split_follows_the_weights);
	tcase_add_test(tc, new_weights_take_effect);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "budget", mutants, add_tests);
}
