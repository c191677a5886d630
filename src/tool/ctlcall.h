/*
 * Operators' calls to one of several routers, with fallback to the next. A confirm is repeated
 * until it is known what became of it; the ledger keeps it from being done twice.
 */
#ifndef TOOL_CTLCALL_H
#define TOOL_CTLCALL_H

#include <stdbool.h>
#include <stddef.h>

#include "base/err.h"
#include "base/str.h"
#include "tool/httpcall.h"

struct ctlcall {
	const char *const *routers; /* "ip:port" of operators' ports */
	size_t n_routers;
	const char *credential;
	clk_ms timeout; /* of one call */
};

/* Reads the credential from a file: one line of printable characters. Free the result. */
char *ctlcall_read_credential(const char *path, struct err *err);

/* Answer of the first router that can give one; false if it is an error or there is none. */
bool ctlcall_any(const struct ctlcall *c, const char *method, const char *path, struct str body,
		 struct httpcall_answer *answer, struct err *err);

/* The same for one router, without fallback. */
bool ctlcall_one(const struct ctlcall *c, const char *router, const char *method, const char *path,
		 struct str body, struct httpcall_answer *answer, struct err *err);

/* Posts a confirm and repeats it while the outcome is unknown or no router could do it. */
bool ctlcall_confirm(const struct ctlcall *c, struct str body, struct httpcall_answer *answer,
		     struct err *err);

#endif
