/*
 * Internals shared by the files of the plan module: plan.c reads the intent and builds the new
 * configuration, plan_check.c decides on refusals, plan_text.c writes the texts.
 */
#ifndef VERSION_PLAN_PRIV_H
#define VERSION_PLAN_PRIV_H

#include "version/config_index.h"
#include "version/plan.h"

#define PLAN_MAX_WORDS 256

enum plan_verb {
	PLAN_TAKE_OUT,
	PLAN_BRING_BACK,
	PLAN_DRAIN,
	PLAN_BRING_IN,
	PLAN_DECLARE_DEAD,
	PLAN_LIFT,
	PLAN_APPLY,
	PLAN_VERBS, /* number of verbs */
};

struct plan_intent {
	enum plan_verb verb;
	struct str words[PLAN_MAX_WORDS]; /* arguments after the verb */
	size_t n_words;
	struct str text; /* verb and arguments, separated by single blanks */
};

/* Slots of one service in one region. */
struct plan_capacity {
	const char *service;
	const char *region;
	uint64_t configured; /* slots of all upstreams of the service in the region */
	uint64_t usable;     /* slots of those upstreams that may take new work */
};

/* The configuration in force (`before`) and the one that the plan would write (`after`). */
struct plan_change {
	struct arena *arena;
	const struct plan_inputs *in;
	const struct plan_intent *intent;
	const Bc__Config *before;
	const Bc__Config *after;
	const struct config_index *before_index;
	const struct config_index *after_index;
	struct plan_capacity *cap_before;
	size_t n_cap_before;
	struct plan_capacity *cap_after;
	size_t n_cap_after;
};

/* Returns the slots of each service in each of its regions; `*n` is the length of the list. */
struct plan_capacity *plan_capacities(struct arena *arena, const Bc__Config *c, size_t *n);
/* Returns the entry of a service in a region, NULL if the service is not in that region. */
const struct plan_capacity *plan_capacity_find(const struct plan_capacity *list, size_t n,
					       const char *service, const char *region);

/* Returns the reason to refuse the change, with a remedy, or an empty text if it is allowed. */
struct str plan_refusal(const struct plan_change *ch);

/* Fills in `text` and `json` of the plan; `refused`, `refusal`, `id` and `version` must be set. */
void plan_describe(const struct plan_change *ch, struct plan *out);

#endif
