/*
 * Work that an upstream still has to do for the requests that run there, and what follows from it:
 * when a slot is free, and whether a request should leave the last free slot to more urgent ones.
 * Times are passed in; nothing is stored but the measured arrivals. See docs/design/cost.md.
 */
#ifndef COST_WORK_H
#define COST_WORK_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clk.h"

/* Priorities of an upstream's requests whose arrivals are measured. */
#define WORK_STREAMS 4

/* Requests of one priority that arrive for one upstream. */
struct work_stream {
	uint32_t priority;
	double per_ms;	   /* moving average of the arrivals */
	double slack_ms;   /* moving average of the time that a request could wait on arrival */
	clk_ms arrived_at; /* last arrival, 0: the stream is unused */
};

struct work_arrivals {
	struct work_stream streams[WORK_STREAMS];
};

/* Running requests of one upstream. Remaining times are means of random values. */
struct work {
	double release_rate; /* expected ends per ms */
	double remaining_ms; /* summed over the running requests */
	uint32_t running;
};

/*
 * Returns the expected time until a request ends that was expected to take `ms` and has taken
 * `spent`. `deviation` is that of its class: the more a class varies, the less the time spent
 * tells.
 */
double work_remaining(double ms, double deviation, double spent);
/* Adds a running request with the remaining time. */
void work_add(struct work *w, double remaining_ms);

/* Returns the expected time until one of the running requests ends, INFINITY if none runs. */
double work_next_release(const struct work *w);
/* Returns the chance that a wait of mean `mean_ms` takes longer than `limit_ms`. */
double work_chance_over(double limit_ms, double mean_ms);

/* Counts the arrival of a request that may wait for `slack_ms`. */
void work_note_arrival(struct work_arrivals *a, clk_ms now, uint32_t priority, double slack_ms);
/*
 * Returns the number of requests more urgent than `priority` that are expected to arrive while all
 * slots of the upstream are in use, and to wait too long: the next slot is free after `release_ms`
 * on average.
 */
double work_urgent_misses(const struct work_arrivals *a, clk_ms now, uint32_t priority,
			  double release_ms);

#endif
