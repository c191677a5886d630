/*
 * Blocking HTTP/1.1 call over a new connection, for command line programs without an event loop. It
 * is never retried; the error kind says whether the call may have taken effect.
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
	struct str head; /* status line and headers, as received */
	char *raw;	 /* all received bytes, to which `body` and `head` point */
};

/*
 * Sends the request and waits for the answer. Returns true if a complete answer arrived, with any
 * status. Otherwise returns false with `err` set: ERR_INPUT if the address is malformed; ERR_IO if
 * no socket could be created; ERR_UNAVAILABLE if there was no connection, so that nothing was done;
 * ERR_TIMEOUT if the request may have been sent and its outcome is unknown. Free the answer with
 * httpcall_free() in each case.
 */
bool httpcall(const struct httpcall *call, struct httpcall_answer *answer, struct err *err);
void httpcall_free(struct httpcall_answer *answer);

/* Returns the value of an answer's header, STR_NULL if absent. Case of `name` does not matter. */
struct str httpcall_find_header(const struct httpcall_answer *answer, const char *name);

#endif
