/* Shared by the parts of the plan module: what a plan changes, its checks, its texts. */
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
	struct str text; /* verb and arguments with one blank between them */
};

/* Slots of one service in one region. */
struct plan_capacity {
	const char *service;
	const char *region;
	uint64_t configured;
	uint64_t usable;
};

/* The configuration in force and the one that the plan would write. */
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

/* Slots of each service in each of its regions. */
struct plan_capacity *plan_capacities(struct arena *arena, const Bc__Config *c, size_t *n);
const struct plan_capacity *plan_capacity_find(const struct plan_capacity *list, size_t n,
					       const char *service, const char *region);

/* Refusal text with promise and remedy, empty if the change may be made. */
struct str plan_refusal(const struct plan_change *ch);

/* Fills in `text` and `json` of the plan. */
void plan_describe(const struct plan_change *ch, struct plan *out);

#endif
