/*
 * Operators' plans. A plan describes what an operator's intent would change and is a pure function
 * of the configuration in force, the key assignments and the intent. Routers store no plans: a
 * confirm computes the plan again, and its identity must match the identity that the operator saw.
 */
#ifndef VERSION_PLAN_H
#define VERSION_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/clk.h"
#include "base/err.h"
#include "proto/bamboocroft.pb-c.h"

/*
 * An intent in text form, the same that is stored in the ledger:
 *   take-out FAILURE_DOMAIN | bring-back FAILURE_DOMAIN
 *   drain UPSTREAM... | bring-in UPSTREAM... | declare-dead UPSTREAM
 *   lift FINGERPRINT
 *   apply            (with a configuration as YAML text)
 */
struct plan_request {
	struct str intent;
	struct str yaml;  /* configuration file for `apply`, empty otherwise */
	uint64_t version; /* configuration version that the plan is made from, 0: in force */
	struct str operator_name;
};

struct plan_inputs {
	const Bc__Config *config;
	const Bc__Assign *const *assigns; /* held by this router, one per service and region */
	size_t n_assigns;
};

struct plan {
	struct str id; /* 16 hex digits: hash of version, intent and YAML text */
	uint64_t version;
	bool refused;
	struct str refusal; /* guarantee that the plan would break, and the remedy */
	struct str text;    /* readable form for operators */
	struct str json;    /* object with plan, version, refused, refusal, text, steps and so on */
	Bc__Config
		*result; /* configuration version + 1, NULL if refused; free with config_free() */
};

/*
 * Computes a plan, which may be refused. Returns false with ERR_INPUT when the intent or the file
 * is invalid, ERR_NOT_FOUND when the intent names an object that is not configured, ERR_CONFLICT
 * when the request's version is older than the one in force (the message names who changed what
 * since and how to plan again), ERR_UNAVAILABLE when this router holds no configuration or an older
 * one than the request names. Before the first configuration, `config` in the inputs is NULL or has
 * version 0, and only `apply` can be planned. Version 0 in the request means the version in force.
 *
 * To confirm a plan: answer "already done" if plan_find() returns an entry for its identity;
 * otherwise call plan_make() with the plan's version, compare the identities, and write `result` by
 * compare-and-set on that version.
 */
bool plan_make(struct arena *arena, const struct plan_inputs *in, const struct plan_request *req,
	       clk_ms utc, struct plan *out, struct err *err);

/* Returns the ledger entry of a plan that was confirmed before, NULL if there is none. */
const Bc__PlanRecord *plan_find(const Bc__Config *config, struct str plan_id);

#endif
