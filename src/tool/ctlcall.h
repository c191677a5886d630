/*
 * Calls to the operators' port of one of several routers, with fallback to the next router. A
 * confirm is repeated until its outcome is known; the routers' ledger of confirmed plans ensures
 * that a plan takes effect only once.
 */
#ifndef TOOL_CTLCALL_H
#define TOOL_CTLCALL_H

#include <stdbool.h>
#include <stddef.h>

#include "base/err.h"
#include "base/str.h"
#include "tool/httpcall.h"

struct ctlcall {
	const char *const *routers; /* operators' ports as "ip:port", in the order of attempts */
	size_t n_routers;
	const char *credential; /* operators' credential */
	clk_ms timeout;		/* of one call to one router */
};

/*
 * Reads the credential from the first line of a file: printable ASCII characters without blanks.
 * Returns NULL with `err` set if there is none. The caller frees the result.
 */
char *ctlcall_read_credential(const char *path, struct err *err);

/*
 * Calls the routers in order until one answers with status 200 or with an error that another router
 * would repeat. Returns false with `err` set unless the status is 200.
 */
bool ctlcall_any(const struct ctlcall *c, const char *method, const char *path, struct str body,
		 struct httpcall_answer *answer, struct err *err);

/* Calls one router, without fallback. Returns false with `err` set unless the status is 200. */
bool ctlcall_one(const struct ctlcall *c, const char *router, const char *method, const char *path,
		 struct str body, struct httpcall_answer *answer, struct err *err);

/*
 * Posts a confirm, and repeats it for up to 30 s while its outcome is unknown or no router can
 * carry it out. Returns false with `err` set to ERR_TIMEOUT if the outcome is still unknown then.
 */
bool ctlcall_confirm(const struct ctlcall *c, struct str body, struct httpcall_answer *answer,
		     struct err *err);

#endif
