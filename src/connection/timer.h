/*
 * One-shot timers with arbitrary delays on an h2o event loop. h2o 2.2 has a list of timers for each
 * delay, and a list must not be released while one of its callbacks runs. Here all timers of a loop
 * share one h2o entry, so a timer may be armed, cancelled and released at any time, also in its own
 * callback. A loop's timers belong to the thread that initialised them.
 */
#ifndef CONNECTION_TIMER_H
#define CONNECTION_TIMER_H

#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>

#include "base/clk.h"

struct timer;
struct timer_queue;

typedef void (*timer_cb)(struct timer *timer, void *data);

struct timer {
	timer_cb cb;
	void *data;
	struct timer_queue *queue; /* NULL: released */
	struct timer *prev;
	struct timer *next;
	clk_ms due;
	uint64_t arm_seq; /* increases with each timer_arm() on the loop */
	bool armed;
};

void timer_init(struct timer *t, h2o_loop_t *loop, timer_cb cb, void *data);
/* Calls `cb` once, `delay` ms from now; replaces a call that is still pending. */
void timer_arm(struct timer *t, clk_ms delay);
/* Cancels a pending call; does nothing if there is none. */
void timer_cancel(struct timer *t);
/* Cancels and detaches the timer from its loop; a second call does nothing. */
void timer_release(struct timer *t);

/*
 * Destroys a loop: frees its closed sockets, its timer queue and the loop itself. All its timers
 * must be released. Must not be called from a timer callback, because h2o still uses the loop after
 * the callback has returned.
 */
void timer_destroy_loop(h2o_loop_t *loop);

/*
 * Prepares the process for h2o sockets: large buffers stay in memory instead of temporary files
 * (instances have no disk), and SIGPIPE is ignored, so that a write to a closed connection fails.
 */
void timer_setup_process(void);

#endif
