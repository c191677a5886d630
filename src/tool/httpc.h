/*
 * HTTP client of the command line tools, on top of h2o's HTTP/1 client with persistent connections.
 * It reports each answer unchanged and never retries. It is separate from the router's own HTTP
 * client, so that a measurement or check made with it is not affected by that client's mechanisms
 * or faults.
 */
#ifndef TOOL_HTTPC_H
#define TOOL_HTTPC_H

#include <stdbool.h>
#include <stddef.h>

#include <h2o.h>

#include "base/clk.h"
#include "base/err.h"
#include "base/str.h"

enum httpc_result {
	HTTPC_OK,	       /* a complete answer arrived, with any status */
	HTTPC_CONNECT_FAILED,  /* no connection could be opened; nothing was sent */
	HTTPC_CONNECTION_LOST, /* the connection failed before the answer was complete */
	HTTPC_TIMEOUT,	       /* a connection was opened, but no complete answer arrived in time */
};

/* Returns the name of a result as the load generator records it, such as "connect-failed". */
const char *httpc_result_name(enum httpc_result result);

struct httpc_header {
	struct str name; /* lower case */
	struct str value;
};

struct httpc_request {
	struct str method;
	struct str path;
	const struct httpc_header *headers;
	size_t n_headers;
	struct str body;
};

struct httpc_answer {
	enum httpc_result result;
	int status; /* 0 if no status line and headers arrived */
	const struct httpc_header *headers;
	size_t n_headers;
	struct str body;
};

/* Returns the value of an answer's header, STR_NULL if absent. `name` is in lower case. */
struct str httpc_header(const struct httpc_answer *a, const char *name);

/* Called once for each request. `answer` and its data are valid only until the callback returns. */
typedef void (*httpc_cb)(void *data, const struct httpc_answer *answer);

struct httpc;

/*
 * Creates a client for the server at `address` ("ip:port"); `timeout` is that of a whole call.
 * Returns NULL with `err` set if the address is malformed.
 */
struct httpc *httpc_create(h2o_loop_t *loop, const char *address, clk_ms timeout, struct err *err);
/* Frees the client. No call may be in progress. `c` may be NULL. */
void httpc_destroy(struct httpc *c);
/* Returns the server's address as given to httpc_create(). */
const char *httpc_address(const struct httpc *c);

/* Sends a copy of the request. The callback never runs before httpc_send() has returned. */
void httpc_send(struct httpc *c, const struct httpc_request *req, httpc_cb cb, void *data);

/*
 * Sends a request and runs the event loop until the call ends. Returns true for an answer with
 * status 200 or 201, and stores a copy of its body in `*body`, which the caller frees; a NUL
 * that `*len` does not count follows the body. Otherwise returns false with `err` set.
 */
bool httpc_wait(struct httpc *c, const struct httpc_request *req, char **body, size_t *len,
		struct err *err);

#endif
