/*
 * The command `check` of bamboocroft-ctl: checks a configuration for gateways on a platform before
 * it is sent, and compares it with the one in force. Only reads; the decisions are in
 * src/configcheck.
 */
#ifndef TOOL_CTLCHECK_H
#define TOOL_CTLCHECK_H

#include <stdbool.h>
#include <stdio.h>

#include "configcheck/topocheck.h"
#include "configcheck/topodiff.h"
#include "process/platform.h"

enum ctlcheck_status {
	CTLCHECK_CLEAN,
	CTLCHECK_FINDINGS,
	CTLCHECK_REFUSED,  /* gateways would leave the configuration unused */
	CTLCHECK_UNUSABLE, /* a file or the store could not be read; nothing was checked */
};

struct ctlcheck_options {
	const struct platform *platform;
	const char *file;     /* configuration to check */
	const char *in_force; /* file with the configuration in force, or NULL */
	const char *settings; /* settings of a gateway, or NULL */
	bool store;	      /* read the configuration in force and the upstreams from the store */
	bool json;
};

/* What the check found, as it is printed. */
struct ctlcheck_result {
	enum ctlcheck_status status;
	struct err err; /* CTLCHECK_REFUSED and CTLCHECK_UNUSABLE: why */
	bool has_version;
	uint64_t version;
	bool has_in_force;
	uint64_t in_force; /* its version */
	struct findings findings;
	struct topodiff diff;
};

/* Checks and prints the result to `out`; the status is the exit code of the program. */
enum ctlcheck_status ctlcheck(const struct ctlcheck_options *o, FILE *out);

/* Internal, ctlcheck_print.c. */
void ctlcheck_print_text(FILE *out, const struct ctlcheck_result *r);
void ctlcheck_print_json(FILE *out, const struct ctlcheck_result *r);

/* Internal, ctlcheck_store.c: what the store has. Strings live in `arena`. */
struct ctlcheck_store {
	struct arena arena;
	struct str config; /* the configuration, empty if there is none */
	struct topocheck_upstream *upstreams;
	size_t n_upstreams;
};

/*
 * Reads the store that the settings name; sets `err` and returns false on failure. The caller frees
 * the arena in either case.
 */
bool ctlcheck_read_store(const struct platform *platform, const struct gwset *settings,
			 struct ctlcheck_store *out, struct err *err);

#endif
