#include "connection/timer.h"

#include <signal.h>
#include <stdlib.h>

/* All timers of one loop. */
struct timer_queue {
	h2o_loop_t *loop;
	h2o_timeout_t timeout;
	h2o_timeout_entry_t entry; /* fires when `head` is due or earlier */
	struct timer *head;	   /* armed timers, by due time, then in order of arming */
	struct timer *tail;
	size_t n_timers; /* initialised and not released */
	uint64_t last_arm_seq;
	bool running; /* timer callbacks are being called */
	struct timer_queue *next;
};

static __thread struct timer_queue *queues;

void timer_setup_process(void)
{
	h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
	signal(SIGPIPE, SIG_IGN);
}

static void free_queue_of(h2o_loop_t *loop)
{
	for (struct timer_queue **at = &queues; *at; at = &(*at)->next) {
		struct timer_queue *q = *at;

		if (q->loop != loop)
			continue;
		if (q->n_timers)
			abort();
		*at = q->next;
		h2o_timeout_unlink(&q->entry);
		h2o_timeout_dispose(loop, &q->timeout);
		free(q);
		return;
	}
}

void timer_destroy_loop(h2o_loop_t *loop)
{
	/* h2o frees a closed socket in the loop iteration after the one that detects the close. */
	h2o_evloop_run(loop, 0);
	h2o_evloop_run(loop, 0);
	free_queue_of(loop);
	h2o_evloop_destroy(loop);
}

static void schedule_timeout(struct timer_queue *q)
{
	clk_ms delay;

	h2o_timeout_unlink(&q->entry);
	if (!q->head)
		return;
	delay = q->head->due - clk_now();
	/*
	 * Never 0: h2o determines once per loop iteration until when entries are due. An entry that
	 * is linked again in its callback with delay 0 would be called repeatedly until the next
	 * timer is due, before any socket is handled.
	 */
	q->timeout.timeout = delay > 0 ? (uint64_t)delay : 1;
	h2o_timeout_link(q->loop, &q->timeout, &q->entry);
}

static void unlink_timer(struct timer *t)
{
	struct timer_queue *q = t->queue;

	if (t->prev)
		t->prev->next = t->next;
	else
		q->head = t->next;
	if (t->next)
		t->next->prev = t->prev;
	else
		q->tail = t->prev;
	t->prev = NULL;
	t->next = NULL;
	t->armed = false;
}

static void run_due_timers(h2o_timeout_entry_t *entry)
{
	struct timer_queue *q = H2O_STRUCT_FROM_MEMBER(struct timer_queue, entry, entry);
	clk_ms now = clk_now();
	/* Timers armed by the callbacks run in the next iteration, after socket events. */
	uint64_t max_seq = q->last_arm_seq;

	q->running = true;
	while (q->head && q->head->due <= now && q->head->arm_seq <= max_seq) {
		struct timer *t = q->head;

		unlink_timer(t);
		t->cb(t, t->data);
	}
	q->running = false;
	schedule_timeout(q);
}

/* Returns the timer queue of a loop; creates it on first use. */
static struct timer_queue *get_queue(h2o_loop_t *loop)
{
	struct timer_queue *q;

	for (q = queues; q; q = q->next) {
		if (q->loop == loop)
			return q;
	}
	q = calloc(1, sizeof(*q));
	if (!q)
		abort();
	q->loop = loop;
	h2o_timeout_init(loop, &q->timeout, 0);
	q->entry.cb = run_due_timers;
	q->next = queues;
	queues = q;
	return q;
}

void timer_init(struct timer *t, h2o_loop_t *loop, timer_cb cb, void *data)
{
	*t = (struct timer){.cb = cb, .data = data, .queue = get_queue(loop)};
	t->queue->n_timers++;
}

void timer_arm(struct timer *t, clk_ms delay)
{
	struct timer_queue *q = t->queue;
	struct timer *after;

	if (t->armed)
		unlink_timer(t);
	t->due = clk_now() + (delay > 0 ? delay : 0);
	t->arm_seq = ++q->last_arm_seq;
	t->armed = true;
	/* Searched from the end: most delays are similar, so the position is near it. */
	for (after = q->tail; after && after->due > t->due; after = after->prev)
		;
	t->prev = after;
	t->next = after ? after->next : q->head;
	if (t->next)
		t->next->prev = t;
	else
		q->tail = t;
	if (after)
		after->next = t;
	else
		q->head = t;
	if (q->head == t && !q->running)
		schedule_timeout(q);
}

void timer_cancel(struct timer *t)
{
	if (t->armed)
		unlink_timer(t);
}

void timer_release(struct timer *t)
{
	if (!t->queue)
		return;
	timer_cancel(t);
	t->queue->n_timers--;
	t->queue = NULL;
}
