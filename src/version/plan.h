/*
 * Operators' plans: a pure function of configuration, assignments and intent. Routers keep no
 * plan; a confirm computes it again and the identity must match.
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
	struct str yaml;  /* for `apply`, empty otherwise */
	uint64_t version; /* configuration version it is made from */
	struct str operator_name;
};

struct plan_inputs {
	const Bc__Config *config;
	const Bc__Assign *const *assigns; /* as far as this router holds them */
	size_t n_assigns;
};

struct plan {
	struct str id; /* 16 hex digits: hash of version, intent and YAML text */
	uint64_t version;
	bool refused;
	struct str refusal; /* promise that would break and the smallest change that helps */
	struct str text;    /* for people */
	struct str json;    /* object with plan, version, refused, refusal, text, steps and so on */
	Bc__Config
		*result; /* configuration version + 1, NULL if refused; free with config_free() */
};

/*
 * False with ERR_INPUT when the intent cannot be read, ERR_NOT_FOUND when it names something that
 * is not configured, ERR_CONFLICT when the version is older than the one in force (the message then
 * names who changed what since and how to plan again), ERR_UNAVAILABLE when this router holds an
 * older configuration than the plan or none. `config` in the inputs is NULL or has version 0
 * before the first configuration; only `apply` can be planned then. Version 0 in the request means
 * the one in force.
 *
 * To confirm: answer "already done" if plan_find() knows the identity; otherwise call plan_make()
 * with the version of the plan, compare the identity, and write `result` by compare-and-set on
 * that version.
 */
bool plan_make(struct arena *arena, const struct plan_inputs *in, const struct plan_request *req,
	       clk_ms utc, struct plan *out, struct err *err);

/* Ledger entry of a plan that was confirmed before, NULL if there is none. */
const Bc__PlanRecord *plan_find(const Bc__Config *config, struct str plan_id);

#endif
