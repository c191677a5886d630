/* Timers of a loop: order, arming and releasing in callbacks, and turns for sockets. */
#include "connection/timer.h"
#include "test/unit.h"
#include "test/unit_loop.h"

struct probe {
	struct timer timer;
	int *order; /* counts the calls of all probes */
	int calls;
	int place; /* position of the last call */
	clk_ms called_at;
	clk_ms again; /* arms itself with this delay, -1: not */
	struct probe *release;
};

static void on_probe(struct timer *timer, void *data)
{
	struct probe *p = data;

	p->calls++;
	p->place = ++*p->order;
	p->called_at = clk_now();
	if (p->again >= 0)
		timer_arm(timer, p->again);
	if (p->release)
		timer_release(&p->release->timer);
}

static void probe_init(struct probe *p, h2o_loop_t *loop, int *order)
{
	*p = (struct probe){.order = order, .again = -1};
	timer_init(&p->timer, loop, on_probe, p);
}

static bool called(void *data)
{
	return ((struct probe *)data)->calls > 0;
}

START_TEST(called_in_order_and_never_early)
{
	h2o_loop_t *loop = h2o_evloop_create();
	static const clk_ms delays[] = {30, 10, 20, 10, 0};
	struct probe p[5];
	int order = 0;
	clk_ms start = clk_now();

	for (int i = 0; i < 5; i++) {
		probe_init(&p[i], loop, &order);
		timer_arm(&p[i].timer, delays[i]);
	}
	for (int i = 0; i < 5; i++)
		ck_assert(unit_run_until(loop, called, &p[i]));
	for (int i = 0; i < 5; i++) {
		ck_assert_int_eq(p[i].calls, 1);
		/* By due time, then by arming; a pause between the armings may shift due times. */
		for (int k = 0; k < i; k++)
			ck_assert_int_eq(p[k].place < p[i].place, p[k].timer.due <= p[i].timer.due);
		ck_assert_int_ge(p[i].called_at - start, delays[i]);
		timer_release(&p[i].timer);
	}
	timer_destroy_loop(loop);
}
END_TEST

/*
 * Guards against a timer without delay, or one that arms itself again at once, keeping h2o inside
 * its list of timers, so that no socket is served any more.
 */
START_TEST(no_delay_leaves_turns_for_sockets)
{
	h2o_loop_t *loop = h2o_evloop_create();
	struct probe now;
	struct probe later;
	int order = 0;
	int rounds;

	probe_init(&now, loop, &order);
	probe_init(&later, loop, &order);
	now.again = 0;
	timer_arm(&later.timer, UNIT_TIMEOUT_MS);
	timer_arm(&now.timer, 0);
	for (rounds = 0; now.calls < 20; rounds++)
		h2o_evloop_run(loop, 10);
	/* Each call needs a turn of the loop of its own. */
	ck_assert_int_ge(rounds, 20);
	ck_assert_int_eq(later.calls, 0);
	timer_release(&now.timer);
	timer_release(&later.timer);
	timer_destroy_loop(loop);
}
END_TEST

START_TEST(cancelled_and_replaced)
{
	h2o_loop_t *loop = h2o_evloop_create();
	struct probe cancelled;
	struct probe moved;
	struct probe last;
	int order = 0;

	probe_init(&cancelled, loop, &order);
	probe_init(&moved, loop, &order);
	probe_init(&last, loop, &order);
	timer_arm(&cancelled.timer, 5);
	timer_arm(&moved.timer, 5);
	timer_arm(&moved.timer, UNIT_TIMEOUT_MS);
	timer_arm(&last.timer, 20);
	timer_cancel(&cancelled.timer);
	timer_cancel(&cancelled.timer);
	ck_assert(unit_run_until(loop, called, &last));
	ck_assert(cancelled.calls == 0 && moved.calls == 0);
	timer_release(&cancelled.timer);
	timer_release(&moved.timer);
	timer_release(&last.timer);
	timer_release(&last.timer); /* a second time does nothing */
	timer_destroy_loop(loop);
}
END_TEST

/* Guards against use after free when an owner goes away in a callback of its timer. */
START_TEST(released_in_a_callback)
{
	h2o_loop_t *loop = h2o_evloop_create();
	struct probe *first = malloc(sizeof(*first));
	struct probe *second = malloc(sizeof(*second));
	int order = 0;

	probe_init(first, loop, &order);
	probe_init(second, loop, &order);
	first->release = second;
	timer_arm(&first->timer, 5);
	timer_arm(&second->timer, 5);
	ck_assert(unit_run_until(loop, called, first));
	unit_run_for(loop, 20);
	ck_assert_int_eq(second->calls, 0);
	first->release = first;
	first->calls = 0;
	timer_arm(&first->timer, 1);
	ck_assert(unit_run_until(loop, called, first));
	free(first);
	free(second);
	timer_destroy_loop(loop);
}
END_TEST

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, called_in_order_and_never_early);
	tcase_add_test(tc, no_delay_leaves_turns_for_sockets);
	tcase_add_test(tc, cancelled_and_replaced);
	tcase_add_test(tc, released_in_a_callback);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "timer", UNIT_NO_MUTANTS, add_tests);
}
