/*
 * Shared internals of the planner of key assignments: assign_build.c sets up its state,
 * assign_forced.c places what has no owner, assign.c balances.
 */
#ifndef VERSION_ASSIGN_PRIV_H
#define VERSION_ASSIGN_PRIV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "version/assign.h"

#define ASSIGN_NO_INDEX SIZE_MAX

/* A partition or a split-off key. */
struct assign_planner_unit {
	bool hot;
	uint32_t partition;
	uint64_t key_hash;
	uint32_t old_owner; /* upstream number, 0 if none */
	size_t owner;	    /* index of the upstream, ASSIGN_NO_INDEX if it may not own keys */
	double load;
	size_t next; /* unit of the same owner */
	bool moved;
};

struct assign_planner_upstream {
	uint32_t num;
	double slots;
	double load;
	double largest; /* load of its largest unit */
	size_t first;	/* list of units */
	bool stuck;	/* no single move improves it */
};

struct assign_candidate {
	const struct assign_key_load *key;
	size_t unit; /* its partition, or itself when it is split off already */
	bool split;
};

struct assign_planner {
	const struct assign_options *opts;
	uint32_t partitions;
	struct assign_planner_upstream *ups;
	size_t n_ups;
	struct assign_planner_unit
		*units; /* partitions first, indexed by partition, then hot keys */
	size_t n_units;
	size_t n_hot;
	struct assign_candidate *keys; /* tracked keys of this cell, by hash */
	size_t n_keys;
	size_t *heap; /* upstreams, lowest load first; used while forced moves are placed */
	double total;
	double mean;	  /* load per slot */
	double allowance; /* load that balancing may still move */
	bool observed;
	struct assign_move *out;
	size_t n_out;
	size_t max;
};

static inline double assign_load_per_slot(const struct assign_planner_upstream *u)
{
	return u->load / u->slots;
}

/* Aborts when there is no memory. */
void *assign_zalloc(size_t n, size_t size);
double assign_sanitize_load(double load);

/* Steps of the set-up, in this order. */
void assign_build_ups(struct assign_planner *p, const struct assign_upstream *ups, size_t n);
void assign_build_keys(struct assign_planner *p, const struct assign_loads *loads,
		       const bool *mine);
void assign_build_partitions(struct assign_planner *p, const Bc__Assign *current,
			     const struct assign_loads *loads);
void assign_build_hot(struct assign_planner *p, const Bc__Assign *current, const bool *mine);
void assign_build_owners(struct assign_planner *p, const bool *mine);

/* Change the owner of a unit in the planner's state only. */
void assign_set_owner(struct assign_planner *p, size_t unit, size_t up);
void assign_clear_owner(struct assign_planner *p, size_t unit);
/* Appends a move to the output. False: the output is full. */
bool assign_add_move(struct assign_planner *p, enum assign_unit_kind kind, size_t unit, uint32_t to,
		     bool forced);
enum assign_unit_kind assign_unit_kind_of(const struct assign_planner_unit *u);

/* Partitions that belong to another region are released. */
void assign_release_unserved(struct assign_planner *p, const bool *mine);
/* Heaviest first onto the least loaded upstream: within 4/3 of the best possible peak. */
void assign_place_forced(struct assign_planner *p, const bool *mine);

#endif
