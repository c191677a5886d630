/*
 * Key assignment: which upstream owns each partition of one service in one cell. A hot key can be
 * split off its partition and then has an owner of its own. These functions are pure; the broker
 * carries out the moves that they compute.
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
	bool usable; /* may own keys: intent is `in`, not lost, failure domain not out */
};

/* Observed load of one tracked key, in requests or busy milliseconds. */
struct assign_key_load {
	uint64_t key_hash;
	uint32_t partition;
	double load;
};

/* Observed loads, all in the same unit. */
struct assign_loads {
	const double *partitions; /* indexed by partition, may be NULL: all equal */
	const struct assign_key_load
		*keys; /* hottest keys; their load is included in that of their partition */
	size_t n_keys;
};

enum assign_unit_kind { ASSIGN_PARTITION, ASSIGN_HOT_KEY, ASSIGN_HOT_KEY_MERGE };

/*
 * Change of the owner of a unit, which is a partition or a split-off hot key, or the merge of a hot
 * key into its partition.
 */
struct assign_move {
	enum assign_unit_kind unit;
	uint32_t partition;
	uint64_t key_hash; /* for hot keys, otherwise 0 */
	uint32_t from;	   /* number of the current owner, 0 if there is none */
	uint32_t to;	   /* number of the new owner, 0 to release the unit */
	bool forced;	   /* no current owner, or one that may not own the unit any more */
};

struct assign_options {
	/* Target for the load per slot of the busiest upstream over the mean. The default of 1.10
	 * leaves a margin to the required 1.15. */
	double max_imbalance;
	size_t max_balancing_moves; /* moves that balance load, in one call */
	size_t max_hot_keys;	    /* keys that may be split off at a time */
};

extern const struct assign_options assign_defaults;

/*
 * Computes the moves that lead from `current` (NULL: nothing is assigned) to a balanced assignment
 * of the served partitions (`served` is indexed by partition). Returns the number of moves written
 * to `out`, at most `max`; they must be applied in this order.
 *
 * Forced moves come first: a partition or hot key without a usable owner gets one, and a partition
 * that has an owner but is not served is released (`to` is 0). They are not limited by
 * `max_balancing_moves`. Balancing moves follow; in a call with forced moves there are at most a
 * sixteenth as many. Without a usable upstream there are only releases. If `loads` has no keys, no
 * hot key is merged back into its partition. Set `max_balancing_moves` to 0 until loads have been
 * observed.
 */
size_t assign_plan(const Bc__Assign *current, const bool *served, uint32_t partitions,
		   const struct assign_upstream *upstreams, size_t n_upstreams,
		   const struct assign_loads *loads, const struct assign_options *opts,
		   struct assign_move *out, size_t max);

/*
 * Returns a copy of `current` (NULL: an empty document) with its version incremented and the moves
 * applied; free it with assign_free(). Each move increments the epoch of its unit. The split of a
 * hot key and its merge also increment the epoch of its partition, so that the epoch of a single
 * key never decreases; grants for the whole partition must be stopped during a split or a merge.
 */
Bc__Assign *assign_apply(const Bc__Assign *current, const char *region, const char *service,
			 const struct assign_move *moves, size_t n);
void assign_free(Bc__Assign *a);

/* Owner of a key. All fields are 0 if the document has no entry for the key or its partition. */
struct assign_owner {
	uint32_t upstream; /* number, 0: no owner */
	uint64_t epoch;
	bool hot; /* the key is split off its partition */
};

/* Returns the owner of a split-off key, otherwise the owner of its partition. `a` may be NULL. */
struct assign_owner assign_lookup(const Bc__Assign *a, uint32_t partition, uint64_t key_hash);

#endif
