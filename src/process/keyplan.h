/*
 * Plans which upstream should own which keys. Pure functions: from the present ranges, the
 * capacities of the upstreams and the keys of recent requests they compute the moves of ranges.
 *
 * Load patterns that the plan handles: a block of adjacent keys that gets much of the traffic
 * within seconds (ranges are split where the requests are); upstreams of different speed (load is
 * balanced in proportion to capacity); upstreams that join, leave, or turn cold.
 */
#ifndef PROCESS_KEYPLAN_H
#define PROCESS_KEYPLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct keyplan_range {
	uint32_t from;
	uint32_t to;	/* inclusive */
	uint64_t owner; /* 0: none */
	bool fixed; /* must not be moved by this plan, for example while a move is in progress */
};

struct keyplan_upstream {
	uint64_t num;
	double capacity;  /* requests per second that it can answer, above 0 */
	bool usable;	  /* may own keys */
	bool last_resort; /* gets keys only if no other is usable, for example while cold */
};

/* Keys `from` to `to`, inclusive, and their new owner. */
struct keyplan_move {
	uint32_t from;
	uint32_t to;
	uint64_t owner;
};

struct keyplan_input {
	uint32_t key_space;		    /* number of keys; keys are 0 to key_space - 1 */
	const struct keyplan_range *ranges; /* sorted, covering all keys */
	size_t n_ranges;
	const struct keyplan_upstream *upstreams;
	size_t n_upstreams;
	const uint16_t *keys; /* keys of recent requests, sorted, with repeats */
	size_t n_keys;
	double window_s; /* period of these requests, in seconds */
};

/*
 * Plans moves of ranges without a usable owner, then of a part of the keys to upstreams that have
 * none, then moves that balance load. Writes at most `max` moves to `out`, of which at most
 * `max_balance` balance load, and returns their number. Each move lies inside one range, and moves
 * do not overlap.
 */
size_t keyplan(const struct keyplan_input *in, struct keyplan_move *out, size_t max,
	       size_t max_balance);

/*
 * Divides all keys of a service without owners: every usable upstream gets `per_upstream` ranges.
 * Writes at most `max` moves to `out` and returns their number.
 */
size_t keyplan_initial(const struct keyplan_input *in, uint32_t per_upstream,
		       struct keyplan_move *out, size_t max);

#endif
