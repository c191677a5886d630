/* Timers of an event loop: order, arming and releasing in callbacks, no starvation of sockets. */
#include "connection/timer.h"
#include "test/unit.h"
#include "test/unit_loop.h"

struct test_timer {
	struct timer timer;
	int *order; /* shared counter of the calls of all test timers */
	int calls;
	int order_of_call; /* value of `*order` at the last call */
	clk_ms called_at;
	clk_ms rearm_delay; /* the callback arms the timer again with this delay; -1: it does not */
	struct test_timer *timer_to_release; /* released by the callback; NULL: none */
};

static void on_test_timer(struct timer *timer, void *data)
{
	struct test_timer *p = data;

	p->calls++;
	p->order_of_call = ++*p->order;
	p->called_at = clk_now();
	if (p->rearm_delay >= 0)
		timer_arm(timer, p->rearm_delay);
	if (p->timer_to_release)
		timer_release(&p->timer_to_release->timer);
}

static void test_timer_init(struct test_timer *p, h2o_loop_t *loop, int *order)
{
	*p = (struct test_timer){.order = order, .rearm_delay = -1};
	timer_init(&p->timer, loop, on_test_timer, p);
}

static bool was_called(void *data)
{
	return ((struct test_timer *)data)->calls > 0;
}

/* Guards against timers that are called early, twice, or in another order than they are due. */
START_TEST(called_in_order_and_never_early)
{
	h2o_loop_t *loop = h2o_evloop_create();
	static const clk_ms delays[] = {30, 10, 20, 10, 0};
	struct test_timer p[5];
	int order = 0;
	clk_ms start = clk_now();

	for (int i = 0; i < 5; i++) {
		test_timer_init(&p[i], loop, &order);
		timer_arm(&p[i].timer, delays[i]);
	}
	for (int i = 0; i < 5; i++)
		ck_assert(unit_run_until(loop, was_called, &p[i]));
	for (int i = 0; i < 5; i++) {
		ck_assert_int_eq(p[i].calls, 1);
		/* Compared with `due`, because a delay between two timer_arm() shifts due times. */
		for (int k = 0; k < i; k++)
			ck_assert_int_eq(p[k].order_of_call < p[i].order_of_call,
					 p[k].timer.due <= p[i].timer.due);
		ck_assert_int_ge(p[i].called_at - start, delays[i]);
		timer_release(&p[i].timer);
	}
	timer_destroy_loop(loop);
}
END_TEST

/*
 * Guards against starvation of sockets: a timer with delay 0 that arms itself again in its callback
 * could keep h2o inside its list of timers for ever.
 */
START_TEST(timer_without_delay_does_not_starve_sockets)
{
	h2o_loop_t *loop = h2o_evloop_create();
	struct test_timer now;
	struct test_timer later;
	int order = 0;
	int rounds;

	test_timer_init(&now, loop, &order);
	test_timer_init(&later, loop, &order);
	now.rearm_delay = 0;
	timer_arm(&later.timer, UNIT_TIMEOUT_MS);
	timer_arm(&now.timer, 0);
	for (rounds = 0; now.calls < 20; rounds++)
		h2o_evloop_run(loop, 10);
	/* Each call happens in a loop iteration of its own. */
	ck_assert_int_ge(rounds, 20);
	ck_assert_int_eq(later.calls, 0);
	timer_release(&now.timer);
	timer_release(&later.timer);
	timer_destroy_loop(loop);
}
END_TEST

/*
 * Guards against calls of a cancelled timer, and of a timer at its time before it was armed again.
 */
START_TEST(cancelled_and_replaced)
{
	h2o_loop_t *loop = h2o_evloop_create();
	struct test_timer cancelled;
	struct test_timer rearmed;
	struct test_timer wait_timer;
	int order = 0;

	test_timer_init(&cancelled, loop, &order);
	test_timer_init(&rearmed, loop, &order);
	test_timer_init(&wait_timer, loop, &order);
	timer_arm(&cancelled.timer, 5);
	timer_arm(&rearmed.timer, 5);
	timer_arm(&rearmed.timer, UNIT_TIMEOUT_MS);
	timer_arm(&wait_timer.timer, 20);
	timer_cancel(&cancelled.timer);
	timer_cancel(&cancelled.timer);
	ck_assert(unit_run_until(loop, was_called, &wait_timer));
	ck_assert(cancelled.calls == 0 && rearmed.calls == 0);
	timer_release(&cancelled.timer);
	timer_release(&rearmed.timer);
	timer_release(&wait_timer.timer);
	timer_release(&wait_timer.timer); /* releasing a released timer does nothing */
	timer_destroy_loop(loop);
}
END_TEST

/* Guards against use after free if a callback releases its own or another timer. */
START_TEST(released_in_a_callback)
{
	h2o_loop_t *loop = h2o_evloop_create();
	struct test_timer *first = malloc(sizeof(*first));
	struct test_timer *second = malloc(sizeof(*second));
	int order = 0;

	test_timer_init(first, loop, &order);
	test_timer_init(second, loop, &order);
	first->timer_to_release = second;
	timer_arm(&first->timer, 5);
	timer_arm(&second->timer, 5);
	ck_assert(unit_run_until(loop, was_called, first));
	unit_run_for(loop, 20);
	ck_assert_int_eq(second->calls, 0);
	first->timer_to_release = first;
	first->calls = 0;
	timer_arm(&first->timer, 1);
	ck_assert(unit_run_until(loop, was_called, first));
	free(first);
	free(second);
	timer_destroy_loop(loop);
}
END_TEST

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, called_in_order_and_never_early);
	tcase_add_test(tc, timer_without_delay_does_not_starve_sockets);
	tcase_add_test(tc, cancelled_and_replaced);
	tcase_add_test(tc, released_in_a_callback);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "timer", UNIT_NO_MUTANTS, add_tests);
}
