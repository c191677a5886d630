/*
 * One blocking HTTP/1.1 call, for command line programs that live for one call only. It retries
 * nothing: the error kind says whether the call may have taken effect.
 */
#ifndef TOOL_HTTPCALL_H
#define TOOL_HTTPCALL_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clk.h"
#include "base/err.h"
#include "base/str.h"

struct httpcall {
	const char *address; /* "ip:port" */
	const char *method;
	const char *path;
	const char *credential; /* sent as a bearer token, NULL for none */
	struct str body;	/* sent as application/json if not empty */
	clk_ms timeout;		/* of the whole call */
};

struct httpcall_answer {
	int status;
	struct str body;
	struct str head; /* status line and headers */
	char *raw;
};

/*
 * True when a whole answer arrived, of any status. ERR_INPUT: the address is wrong;
 * ERR_UNAVAILABLE: no connection, nothing was done; ERR_TIMEOUT: sent, but no whole answer.
 * Free the answer with httpcall_free() in any case.
 */
bool httpcall(const struct httpcall *call, struct httpcall_answer *answer, struct err *err);
void httpcall_free(struct httpcall_answer *answer);

/* Value of a header of the answer, STR_NULL if absent. */
struct str httpcall_header(const struct httpcall_answer *answer, const char *name);

#endif
