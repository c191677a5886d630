/*
 * Which upstream should own which keys. Pure: ranges, capacities and the keys of recent requests go
 * in, moves come out.
 *
 * Load patterns that it answers: a block of neighbouring keys that gets much of the traffic within
 * seconds (ranges are cut where the requests are); upstreams of different speed (shares follow the
 * capacity); upstreams that join, leave, or turn cold.
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
	bool fixed;	/* a move of it is under way */
};

struct keyplan_upstream {
	uint64_t num;
	double capacity;  /* requests per second that it can answer, above 0 */
	bool usable;	  /* may get keys */
	bool last_resort; /* only if no other is usable, for example while it is cold */
};

struct keyplan_move {
	uint32_t from;
	uint32_t to;
	uint64_t owner;
};

struct keyplan_input {
	uint32_t key_space;		    /* keys are 0 to this less one */
	const struct keyplan_range *ranges; /* sorted, without gaps */
	size_t n_ranges;
	const struct keyplan_upstream *upstreams;
	size_t n_upstreams;
	const uint16_t *keys; /* of recent requests, sorted */
	size_t n_keys;
	double window_s; /* time that the requests cover */
};

/*
 * Moves that give ranges without a usable owner a new one, then moves that even out the load. At
 * most `max` moves, and at most `max_balance` of the second kind. Ranges of moves lie inside one
 * range each and do not overlap. Returns the number of moves.
 */
size_t keyplan(const struct keyplan_input *in, struct keyplan_move *out, size_t max,
	       size_t max_balance);

/* First ranges of a service: every usable upstream gets `per_upstream` of them. Returns their
 * number. */
size_t keyplan_initial(const struct keyplan_input *in, uint32_t per_upstream,
		       struct keyplan_move *out, size_t max);

#endif
