/*
 * Tests of limits that all gateways keep together: the bound over random histories, and that what
 * lies within the limit is not refused.
 */
#include "test/limit_world.h"
#include "test/unit.h"

#define USUAL 1.6 /* limit, as a multiple of the usual demand */

static struct world w;

static void random_fault(struct world *w)
{
	int i = (int)rnd_below(&w->rnd, (uint64_t)w->n);
	clk_ms duration = 300 + (clk_ms)rnd_below(&w->rnd, 6000);

	/* Half of the faults hit gateways that can hold the limit. */
	if (rnd_below(&w->rnd, 2))
		i = (int)rnd_below(&w->rnd, WORLD_HUBS);
	switch (rnd_below(&w->rnd, 4)) {
	case 0:
		if (!w->g[i].down)
			world_kill(w, i, duration);
		break;
	case 1:
		world_cut(w, i, duration);
		break;
	case 2:
		w->g[i].paused_until = w->now + duration;
		break;
	default:
		/* Several at once, as when a failure domain is cut off. */
		for (int k = 0; k < w->n / 5; k++)
			world_cut(w, (int)rnd_below(&w->rnd, (uint64_t)w->n), duration);
		break;
	}
}

static void random_history(uint64_t seed, bool lower)
{
	static const double rates[] = {5, 16, 60, 373};
	double rate = rates[seed % 4];
	struct limit_size former = {rate, rate};
	clk_ms lowered = 0;
	int n = 4 + (int)(seed * 7 % 83);

	world_init(&w, seed, n, rate, rate);
	w.hold_max = 700;
	w.refused_part = seed % 3 ? 0.4 : 0;
	for (int second = 0; second < 40; second++) {
		if (second % 3 == 0)
			world_move_demand(&w, 1 + (int)rnd_below(&w.rnd, (uint64_t)w.n));
		w.demand = rate / USUAL;
		/* At times the account sends many times its usual. */
		if (rnd_below(&w.rnd, 3))
			w.demand *= 2 + (double)rnd_below(&w.rnd, 7);
		if (second > 3 && rnd_below(&w.rnd, 3) == 0)
			random_fault(&w);
		if (lower && second == 20) {
			w.size.rate = rate / 3;
			w.size.burst = rate / 3;
			lowered = w.now - 1000;
			for (int i = 0; i < n; i++)
				w.g[i].resize_at = w.now + (clk_ms)rnd_below(&w.rnd, 1000);
		}
		world_run(&w, 1000);
	}
	ck_assert_msg(world_most(&w, 0, 40000) <= world_bound(&w, &former),
		      "seed %llu: %d requests in a window, allowed %.0f (rate %.0f, %d gateways)",
		      (unsigned long long)seed, world_most(&w, 0, 40000), world_bound(&w, &former),
		      rate, n);
	/* The lower limit binds one window after the last gateway has it; pauses last up to 6.3 s.
	 */
	if (lower)
		ck_assert_msg(world_most(&w, lowered + 12500, 40000) <= world_bound(&w, &w.size),
			      "seed %llu: %d requests in a window, allowed %.0f after the change",
			      (unsigned long long)seed, world_most(&w, lowered + 12500, 40000),
			      world_bound(&w, &w.size));
	world_end(&w);
}

/* Guards against more requests in a window than the limit, over faults, cuts and changes. */
START_TEST(the_sum_keeps_the_bound_over_random_histories)
{
	for (uint64_t seed = 1; seed <= 120; seed++)
		random_history(seed, seed % 2);
}
END_TEST

/* Guards against refusals of an account that stays within its limit while its clients move. */
START_TEST(what_lies_within_the_limit_is_not_refused)
{
	static const double rates[] = {4, 16, 60, 373};

	for (uint64_t seed = 1; seed <= 16; seed++) {
		double rate = rates[seed % 4];
		int clients = (int)(rate / USUAL / 2.3) + 1;

		world_init(&w, seed, 86, rate, rate);
		world_run(&w, 2000);
		for (int second = 0; second < 30; second++) {
			if (second % 2 == 0)
				world_move_demand(&w, clients);
			w.demand = rate / USUAL;
			world_run(&w, 1000);
		}
		ck_assert_msg(w.refused <= 4 + w.asked / 200,
			      "seed %llu: %ld of %ld refused (rate %.0f), %ld waited",
			      (unsigned long long)seed, w.refused, w.asked, rate, w.waited);
		ck_assert_msg(w.asks < 6 * w.asked, "%ld asks for %ld requests", w.asks, w.asked);
		world_end(&w);
	}
}
END_TEST

/* Guards against a limit that is not used up under overload, and against a starved gateway. */
START_TEST(the_limit_is_used_up_under_overload)
{
	for (uint64_t seed = 1; seed <= 8; seed++) {
		double rate = seed % 2 ? 60 : 373;
		long before;

		world_init(&w, seed, 40, rate, rate);
		world_move_demand(&w, 40);
		w.demand = rate * 5;
		world_run(&w, 3000);
		before = w.n_granted;
		world_run(&w, 10000);
		ck_assert_msg((double)(w.n_granted - before) > 0.93 * rate * 10,
			      "seed %llu: %ld granted of %.0f", (unsigned long long)seed,
			      w.n_granted - before, rate * 10);
		world_end(&w);
	}
}
END_TEST

/* Guards against refusals for longer than a change of the holder takes. */
START_TEST(the_end_of_a_holder_costs_little)
{
	for (uint64_t seed = 1; seed <= 8; seed++) {
		long before;

		world_init(&w, seed, 40, 100, 100);
		world_move_demand(&w, 40);
		w.demand = 100 / USUAL;
		world_run(&w, 5000);
		before = w.refused;
		world_kill(&w, 0, 2000);
		world_run(&w, 10000);
		ck_assert_msg(w.refused - before <= 10, "seed %llu: %ld refused",
			      (unsigned long long)seed, w.refused - before);
		world_end(&w);
	}
}
END_TEST

/* Guards against a gateway that serves nothing while it is cut off, though it is within its part.
 */
START_TEST(a_gateway_without_holder_serves_its_part)
{
	long before_refused;
	long before_asked;

	world_init(&w, 3, 10, 100, 100);
	w.demand = 100 / USUAL;
	world_run(&w, 5000);
	for (int i = 5; i < 10; i++)
		world_cut(&w, i, 6000);
	before_refused = w.refused;
	before_asked = w.asked;
	world_run(&w, 6000);
	ck_assert_msg((double)(w.refused - before_refused) <
			      0.15 * (double)(w.asked - before_asked),
		      "%ld of %ld refused", w.refused - before_refused, w.asked - before_asked);
	world_end(&w);
}
END_TEST

static const struct limit_size small = {10, 10};
static const struct limit_bound bound = {5000, 0.1, 20};

static struct share leased(double tokens)
{
	struct share s;
	struct limit_ask ask;
	struct limit_lease lease = {tokens, 0, false};

	share_init(&s, &small, 0);
	s.gateways = 10;
	share_take(&s, 0);
	share_begin_ask(&s, 0, 1, &ask);
	ck_assert(share_on_lease(&s, 10, s.ask, &lease));
	return s;
}

/* Guards against tokens that are spent long after the holder counts them as free. */
START_TEST(tokens_expire)
{
	struct share s = leased(5);

	ck_assert(share_take_waiting(&s, LIMIT_LEASE_MS - 1));
	ck_assert(!share_take_waiting(&s, LIMIT_LEASE_MS));
}
END_TEST

/* Guards against tokens of an answer that came after the holder was asked again. */
START_TEST(late_answers_bring_nothing)
{
	struct share s = leased(0);
	struct limit_ask ask;
	struct limit_lease lease = {5, 0, false};
	uint32_t first;

	share_begin_ask(&s, 100, 1, &ask);
	first = s.ask;
	ck_assert(!share_on_lease(&s, 400, first, &lease));
	share_begin_ask(&s, 400, 1, &ask);
	ck_assert(!share_on_lease(&s, 410, first, &lease));
	ck_assert(share_on_lease(&s, 420, s.ask, &lease));
	ck_assert(!share_on_lease(&s, 430, s.ask, &lease));
	ck_assert(share_take_waiting(&s, 430));
}
END_TEST

/* Guards against leased tokens above a lower limit. */
START_TEST(a_lower_limit_drops_tokens)
{
	struct share s = leased(8);
	struct limit_size lower = {2.5, 2.5};

	share_resize(&s, &lower);
	ck_assert(share_take_waiting(&s, 20) && share_take_waiting(&s, 20));
	ck_assert(!share_take_waiting(&s, 20));
}
END_TEST

/* Guards against second runs of a request that nothing counts. */
START_TEST(a_repeat_takes_a_later_token)
{
	struct share s = leased(1);
	struct limit_ask ask;

	share_charge(&s, 20);
	ck_assert(!share_take_waiting(&s, 20));
	share_charge(&s, 20);
	share_begin_ask(&s, 250, 0, &ask);
	ck_assert(ask.need == 1);
}
END_TEST

/* Guards against a token that is replaced while a waiting request may still give it back. */
START_TEST(a_refused_request_gives_its_token_back)
{
	struct share s = leased(2);
	struct limit_ask ask;

	ck_assert(share_take_waiting(&s, 20) && share_take_waiting(&s, 20));
	ck_assert(!share_take_waiting(&s, 20));
	share_spent(&s);
	share_begin_ask(&s, 250, 0, &ask);
	ck_assert(ask.tokens == 0 && ask.held == 1);
	share_return(&s, 260);
	ck_assert(share_take_waiting(&s, 260));
	ck_assert(!share_take_waiting(&s, 260));
}
END_TEST

/* Guards against a Retry-After at which there is no room yet. */
START_TEST(retry_after_grows_with_the_refused_requests)
{
	struct share s = leased(0);
	clk_ms last = 0;

	s.given = 10;
	s.given_at = 20;
	for (int i = 0; i < 20; i++) {
		clk_ms after = share_retry_after(&s, 20);

		ck_assert_int_ge(after, i * 100 < 200 ? 200 : i * 100);
		ck_assert_int_ge(after, last);
		last = after;
	}
}
END_TEST

static double ask_for(struct holder *h, uint64_t gateway, double need, clk_ms now)
{
	struct limit_ask ask = {.demand = 5, .need = need};
	struct limit_lease lease;

	holder_ask(h, WORLD_LIMIT, &small, gateway, &ask, now, &lease);
	return lease.tokens;
}

static void ticks(struct holder *h, clk_ms from, clk_ms to)
{
	for (clk_ms t = from; t <= to; t += 100)
		holder_tick(h, t);
}

/* Guards against a second burst from a holder that follows another, or that was paused. */
START_TEST(a_holder_begins_with_an_empty_bucket)
{
	struct holder *h = holder_create(&bound);

	ticks(h, 1000, 1000);
	ck_assert(ask_for(h, 1, 5, 1000) == 0);
	ticks(h, 1100, 2900);
	ck_assert(ask_for(h, 1, 5, 3000) >= 5);
	ticks(h, 3000, 5000);
	/* It did not run for 4 s; the ask is read first. */
	ck_assert(ask_for(h, 2, 5, 9000) == 0);
	holder_destroy(h);
}
END_TEST

/* Guards against tokens that a former holder gives after another one has begun. */
START_TEST(a_holder_that_is_replaced_forgets_its_bucket)
{
	struct holder *h = holder_create(&bound);
	struct holder_usage usage;

	ticks(h, 1000, 1000);
	ask_for(h, 1, 0, 1000);
	ticks(h, 1100, 3000);
	holder_drop(h, WORLD_LIMIT);
	ck_assert(!holder_usage(h, WORLD_LIMIT, &usage));
	ck_assert(ask_for(h, 1, 5, 3050) == 0);
	holder_destroy(h);
}
END_TEST

static const char *const mutants[] = {"share_keep_former",
				      "share_spare_all",
				      "share_keep_expired",
				      "share_no_limit",
				      "share_repeat_free",
				      "share_forget_held",
				      "share_take_late",
				      "holder_start_full",
				      "holder_ignore_missing",
				      "holder_stay",
				      "holder_forget_leased",
				      "holder_keep_over_pause",
				      NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, tokens_expire);
	tcase_add_test(tc, late_answers_bring_nothing);
	tcase_add_test(tc, a_lower_limit_drops_tokens);
	tcase_add_test(tc, a_repeat_takes_a_later_token);
	tcase_add_test(tc, a_refused_request_gives_its_token_back);
	tcase_add_test(tc, retry_after_grows_with_the_refused_requests);
	tcase_add_test(tc, a_holder_begins_with_an_empty_bucket);
	tcase_add_test(tc, a_holder_that_is_replaced_forgets_its_bucket);
	tcase_add_test(tc, what_lies_within_the_limit_is_not_refused);
	tcase_add_test(tc, the_limit_is_used_up_under_overload);
	tcase_add_test(tc, the_end_of_a_holder_costs_little);
	tcase_add_test(tc, a_gateway_without_holder_serves_its_part);
	tcase_add_test(tc, the_sum_keeps_the_bound_over_random_histories);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "shared_limit", mutants, add_tests);
}
