/*
 * Tests of fair shares between client accounts: replays lasting overload against the admission
 * controller of one service, in virtual time.
 */
#include <stdlib.h>

#include "accounts/fair.h"
#include "base/rnd.h"
#include "process/admit.h"
#include "test/unit.h"

#define ACCOUNTS 24
#define MAX_REQUESTS 60000
#define UPSTREAMS 8
#define SLOTS 3
#define SERVICE_MS 150
#define PER_SECOND (UPSTREAMS * SLOTS * 1000.0 / SERVICE_MS)
#define DURATION_MS 20000

struct load {
	double demand; /* requests per second */
	uint32_t rate; /* of the allowance */
	uint32_t priority;
	uint32_t asked;
	uint32_t served;
};

struct request {
	uint32_t account;
	clk_ms ends; /* 0: not granted */
	uint64_t slot;
	bool done;
};

static struct load loads[ACCOUNTS];
static struct request requests[MAX_REQUESTS];

static void take_decisions(struct admit *a, clk_ms now, struct rnd *rnd)
{
	struct admit_decision d;

	while (admit_next(a, now, &d)) {
		struct request *r = &requests[d.request];

		if (!d.granted)
			continue;
		loads[r->account].served++;
		r->slot = d.slot;
		r->ends = now + SERVICE_MS / 2 + (clk_ms)rnd_below(rnd, SERVICE_MS);
	}
}

static void end_requests(struct admit *a, clk_ms now, size_t n)
{
	static const struct admit_report none;

	for (size_t i = 1; i < n; i++) {
		struct request *r = &requests[i];

		if (r->done || !r->ends || r->ends > now)
			continue;
		r->done = true;
		admit_done(a, now, r->slot, ADMIT_OK, SERVICE_MS, &none);
	}
}

static void replay(uint64_t seed)
{
	const struct admit_options opts = {.cold_per_second = 5,
					   .initial_service_time = SERVICE_MS};
	struct admit *a = admit_create(&opts, NULL, NULL, seed);
	struct rnd rnd;
	size_t n = 1;

	rnd_seed(&rnd, seed);
	memset(requests, 0, sizeof(requests));
	for (uint32_t u = 1; u <= UPSTREAMS; u++) {
		const struct admit_upstream up = {.num = u, .slots = SLOTS, .usable = true};

		admit_set_upstream(a, 0, &up);
	}
	for (clk_ms now = 1000; now < 1000 + DURATION_MS; now += 5) {
		end_requests(a, now, n);
		take_decisions(a, now, &rnd);
		for (uint32_t k = 0; k < ACCOUNTS; k++) {
			double mean = loads[k].demand * 0.005;

			for (; mean > 0; mean -= 1) {
				const struct admit_request request = {
					.node = 1,
					.id = n,
					.priority = loads[k].priority,
					.account = k + 1,
					.rate = loads[k].rate,
					.deadline = now + 1500,
					.target = now + 600,
				};

				if (rnd_unit(&rnd) >= mean)
					continue;
				ck_assert_uint_lt(n, MAX_REQUESTS);
				requests[n++].account = k;
				loads[k].asked++;
				admit_request(a, now, &request);
				take_decisions(a, now, &rnd);
			}
		}
	}
	admit_destroy(a);
}

/* Sets accounts of very different sizes whose demand is a share of what can be served. */
static void usual_loads(double share)
{
	double sum = 0;

	memset(loads, 0, sizeof(loads));
	for (uint32_t k = 0; k < ACCOUNTS; k++)
		sum += loads[k].demand = k < 2 ? 20 : 1 + k % 4;
	for (uint32_t k = 0; k < ACCOUNTS; k++) {
		loads[k].demand *= share * PER_SECOND / sum;
		loads[k].rate = (uint32_t)(1.6 * loads[k].demand) + 1;
	}
}

static double served(uint32_t k)
{
	return loads[k].asked ? (double)loads[k].served / loads[k].asked : 1;
}

static double served_of_all(void)
{
	uint32_t n_asked = 0;
	uint32_t n_served = 0;

	for (uint32_t k = 0; k < ACCOUNTS; k++) {
		n_asked += loads[k].asked;
		n_served += loads[k].served;
	}
	return (double)n_served / n_asked;
}

/* Guards against an account that takes the share of those that stay within their allowance. */
START_TEST(an_account_with_many_times_its_usual_takes_no_share_of_others)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		uint32_t hot = seed % 2 ? 0 : 7;

		usual_loads(0.75);
		loads[hot].demand *= seed % 2 ? 8 : 40;
		replay(seed);
		for (uint32_t k = 0; k < ACCOUNTS; k++) {
			if (k != hot)
				ck_assert_msg(served(k) > 0.9,
					      "seed %d: account %u: %u of %u served", (int)seed, k,
					      loads[k].served, loads[k].asked);
		}
		/* What the others leave is its own. */
		ck_assert_msg(loads[hot].served > 0.2 * PER_SECOND * DURATION_MS / 1000,
			      "%u of %u served", loads[hot].served, loads[hot].asked);
	}
}
END_TEST

/* Guards against a large account that is served as little as a small one, though both are within
 * their allowance. */
START_TEST(shares_follow_the_allowances)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		usual_loads(1.5);
		replay(seed);
		for (uint32_t k = 0; k < ACCOUNTS; k++) {
			ck_assert_msg(served(k) > 0.25 * served_of_all(),
				      "seed %d: account %u: %u of %u served, %.2f of all",
				      (int)seed, k, loads[k].served, loads[k].asked,
				      served_of_all());
			ck_assert_msg(served(k) > 0.7 * served_of_all(),
				      "seed %d: account %u: %u of %u served, %.2f of all",
				      (int)seed, k, loads[k].served, loads[k].asked,
				      served_of_all());
		}
	}
}
END_TEST

/* Guards against shares that come before the priority. */
START_TEST(priority_comes_first)
{
	usual_loads(1.5);
	for (uint32_t k = 0; k < ACCOUNTS; k++)
		loads[k].priority = k % 2 ? 5 : 3;
	loads[1].demand *= 3;
	replay(9);
	for (uint32_t k = 0; k < ACCOUNTS; k += 2)
		ck_assert_msg(served(k) > 0.9, "account %u: %u of %u served", k, loads[k].served,
			      loads[k].asked);
}
END_TEST

/* Guards against another order than that of arrival where there are no accounts. */
START_TEST(requests_without_account_are_due_on_arrival)
{
	ck_assert_int_eq(fair_due(100, 0, 5, 9), 100);
	ck_assert_int_eq(fair_due(100, 1, 5, 0), 100);
	ck_assert_int_eq(fair_due(100, 1, 5, 9), 1900);
	ck_assert_int_eq(fair_due(100, 1, 0, FAIR_UNLIMITED_RATE), 1100);
}
END_TEST

static const char *const mutants[] = {"fair_by_arrival", "fair_equal_rates", NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, an_account_with_many_times_its_usual_takes_no_share_of_others);
	tcase_add_test(tc, shares_follow_the_allowances);
	tcase_add_test(tc, priority_comes_first);
	tcase_add_test(tc, requests_without_account_are_due_on_arrival);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "fair", mutants, add_tests);
}
