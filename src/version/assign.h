/*
 * Owners of the partitions (and split-off hot keys) of one service in one cell. Pure: computes
 * moves; the broker carries them out one by one.
 */
#ifndef VERSION_ASSIGN_H
#define VERSION_ASSIGN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"
#include "proto/bamboocroft.pb-c.h"

struct assign_upstream {
	uint32_t num;
	uint32_t slots;
	bool usable; /* may own keys: in, not lost, failure domain not out */
};

/* Observed load: requests (or busy milliseconds) per partition and per tracked key. */
struct assign_key_load {
	uint64_t key_hash;
	uint32_t partition;
	double load;
};

struct assign_loads {
	const double *partitions; /* indexed by partition, may be NULL: all equal */
	const struct assign_key_load
		*keys; /* hottest keys, their load is part of the partition's */
	size_t n_keys;
};

enum assign_unit_kind { ASSIGN_PARTITION, ASSIGN_HOT_KEY, ASSIGN_HOT_KEY_MERGE };

struct assign_move {
	enum assign_unit_kind unit;
	uint32_t partition;
	uint64_t key_hash; /* for hot keys */
	uint32_t from;	   /* 0 if there was none */
	uint32_t to;
	bool forced; /* the old owner may not own keys any more */
};

struct assign_options {
	double max_imbalance; /* 1.10: target for the busiest over the mean, below the 1.15 aim */
	size_t max_balancing_moves; /* budget of moves that balance load, for each call */
	size_t max_hot_keys;	    /* 160 */
};

extern const struct assign_options assign_defaults;

/*
 * Moves that lead from `current` (NULL: nothing is assigned) to a good assignment of the
 * partitions in `mine` (indexed by partition: does this cell serve it). Forced moves come first
 * and are never limited by the budget; they touch only partitions whose owner may not own keys.
 * A partition that is not in `mine` but has an owner is released (`to` is 0). While moves are
 * forced, the budget is a sixteenth of them at most. Without any usable upstream nothing moves.
 * When `loads` has no keys, none is merged back; set `max_balancing_moves` to 0 until loads were
 * observed. Moves must be applied in the order given. Returns the number of moves written to `out`
 * (at most `max`).
 */
size_t assign_plan(const Bc__Assign *current, const bool *mine, uint32_t partitions,
		   const struct assign_upstream *ups, size_t n_ups,
		   const struct assign_loads *loads, const struct assign_options *opts,
		   struct assign_move *out, size_t max);

/*
 * New document: version + 1, the moves applied, the epoch of each moved unit counted up. The first
 * move of a hot key and its merge count the epoch of its partition up as well, so that the epoch
 * of each single key only grows: stop grants for the whole partition during these two.
 */
Bc__Assign *assign_apply(const Bc__Assign *current, const char *region, const char *service,
			 const struct assign_move *moves, size_t n);
void assign_free(Bc__Assign *a);

/* Owner of a key: split-off key first, then its partition. NULL fields mean no owner. */
struct assign_owner {
	uint32_t upstream; /* 0: none */
	uint64_t epoch;
	bool hot;
};
struct assign_owner assign_lookup(const Bc__Assign *a, uint32_t partition, uint64_t key_hash);

#endif
