/* Tests of requests that wait for a part of their client account's allowance. */
#include "process/gateway_priv.h"
#include "test/unit.h"

#define SHORT_MS 120
#define LONG_MS 3000
#define WAIT_MS 500 /* as WAIT_MAX_MS in gateway_limit.c */

struct waiting {
	struct forward_waiter waiter;
	int answers;
	bool granted;
};

static void on_allowance(void *data, bool granted)
{
	struct waiting *w = data;

	w->answers++;
	w->granted = granted;
}

static void start_wait(struct gateway *g, struct waiting *w, clk_ms left)
{
	w->waiter.cb = on_allowance;
	w->waiter.data = w;
	w->waiter.deadline = clk_now() + left;
	ck_assert_int_eq(gateway_take_allowance(g, &g->topo->accounts[0], &w->waiter), SHARE_WAIT);
}

/*
 * No gateway holds the limit, so no answer comes. Guards against a request that waits for it longer
 * than its caller does, and against one that is held back by an earlier one with more time.
 */
START_TEST(wait_for_an_allowance_ends_by_the_deadline)
{
	struct topo_account account = {.name = STR_LIT("a"), .id = 7, .rate = 0.001, .burst = 1};
	struct topo topo = {.accounts = &account, .n_accounts = 1};
	struct gateway g = {.topo = &topo, .node = 1};
	struct waiting patient = {0};
	struct waiting hasty = {0};
	clk_ms begin = clk_now();

	gateway_limits_configure(&g);
	start_wait(&g, &patient, LONG_MS);
	start_wait(&g, &hasty, SHORT_MS);
	for (clk_ms now = begin; now - begin < SHORT_MS; now = clk_now()) {
		gateway_limits_tick(&g, now);
		ck_assert_int_eq(hasty.answers, 0);
		usleep(10000);
	}
	gateway_limits_tick(&g, clk_now());
	ck_assert_int_eq(hasty.answers, 1);
	ck_assert(!hasty.granted);
	ck_assert_int_eq(patient.answers, 0);
	while (clk_now() - begin < WAIT_MS + 20)
		usleep(10000);
	gateway_limits_tick(&g, clk_now());
	ck_assert_int_eq(patient.answers, 1);
	gateway_limits_close(&g);
}
END_TEST

static const char *const mutants[] = {"limit_wait_past_deadline", NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, wait_for_an_allowance_ends_by_the_deadline);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "gateway_limit", mutants, add_tests);
}
