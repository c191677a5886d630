/*
 * Internals of the assignment planner: assign_build.c sets up its state, assign_forced.c assigns
 * units without a usable owner, assign.c balances load.
 */
#ifndef VERSION_ASSIGN_PRIV_H
#define VERSION_ASSIGN_PRIV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "version/assign.h"

#define ASSIGN_NO_INDEX SIZE_MAX

/* A unit that is assigned to one upstream: a partition or a split-off key. */
struct assign_planner_unit {
	bool hot;
	uint32_t partition;
	uint64_t key_hash;
	uint32_t assigned_upstream; /* number of the owner in the current document, 0 if none */
	size_t owner; /* index of the planned owner, ASSIGN_NO_INDEX if none or unusable */
	double load;
	size_t next; /* index of the next unit of the same owner */
	bool moved;  /* by a move of this call */
};

/* An upstream that may own keys. */
struct assign_planner_upstream {
	uint32_t num;
	double slots;
	double load;
	double largest_unit_load;
	size_t first; /* index of the first unit that the upstream owns, ASSIGN_NO_INDEX if none */
	bool cannot_improve; /* no move of one of its units is an improvement */
};

/* A key whose load is tracked and which may be split off its partition. */
struct assign_tracked_key {
	const struct assign_key_load *key;
	size_t unit; /* index of the key's own unit if split off, otherwise of its partition */
	bool split;
};

struct assign_planner {
	const struct assign_options *opts;
	uint32_t partitions;
	struct assign_planner_upstream *upstreams;
	size_t n_upstreams;
	struct assign_planner_unit
		*units; /* partitions first, indexed by partition, then hot keys */
	size_t n_units;
	size_t n_hot;
	struct assign_tracked_key *keys; /* tracked keys of this cell, sorted by hash */
	size_t n_keys;
	size_t *heap; /* min-heap of upstreams by load per slot, during assign_place_forced() */
	double total_load; /* of all served units */
	double mean_load_per_slot;
	double load_budget;  /* load that balancing moves may still transfer */
	bool loads_observed; /* loads of partitions and keys were given */
	struct assign_move *out;
	size_t n_out;
	size_t max;
};

static inline double assign_load_per_slot(const struct assign_planner_upstream *u)
{
	return u->load / u->slots;
}

/* Allocates zeroed memory; aborts if there is none. */
void *assign_zalloc(size_t n, size_t size);
/* Returns the load, or 0 if it is not finite or negative. */
double assign_sanitize_load(double load);

/* Steps of the planner's set-up, to be called in this order. */
void assign_build_upstreams(struct assign_planner *p, const struct assign_upstream *upstreams,
			    size_t n);
void assign_build_keys(struct assign_planner *p, const struct assign_loads *loads,
		       const bool *served);
void assign_build_partitions(struct assign_planner *p, const Bc__Assign *current,
			     const struct assign_loads *loads);
void assign_build_hot(struct assign_planner *p, const Bc__Assign *current, const bool *served);
void assign_build_owners(struct assign_planner *p, const bool *served);

/* Set and clear the planned owner of a unit; neither adds a move to the output. */
void assign_set_owner(struct assign_planner *p, size_t unit, size_t up);
void assign_clear_owner(struct assign_planner *p, size_t unit);
/* Appends a move to the output. Returns false if the output is full. */
bool assign_add_move(struct assign_planner *p, enum assign_unit_kind kind, size_t unit, uint32_t to,
		     bool forced);
enum assign_unit_kind assign_unit_kind_of(const struct assign_planner_unit *u);

/* Adds moves that release the units of partitions that this cell does not serve. */
void assign_release_unserved(struct assign_planner *p, const bool *served);
/*
 * Adds moves that give each unit without a usable owner to the least loaded upstream, heaviest unit
 * first. The highest load is then at most 4/3 of the lowest possible.
 */
void assign_place_forced(struct assign_planner *p, const bool *served);

#endif
