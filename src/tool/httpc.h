/*
 * HTTP client of the command line tools, on h2o's HTTP/1 client with persistent connections. It
 * reports each answer as it came and retries nothing, so that a measurement or a check made with
 * it does not share the mechanisms, or the faults, of the router's own client.
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
	HTTPC_OK,	      /* whole answer */
	HTTPC_CONNECT_FAILED, /* nothing was sent */
	HTTPC_CONNECTION_LOST,	      /* the connection ended before the answer's end */
	HTTPC_TIMEOUT,
};

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
	int status; /* 0 unless a head arrived */
	const struct httpc_header *headers;
	size_t n_headers;
	struct str body;
};

/* Value of an answer's header, STR_NULL if absent. */
struct str httpc_header(const struct httpc_answer *a, const char *name);

/* The answer and what it points to are valid during the call only. */
typedef void (*httpc_cb)(void *data, const struct httpc_answer *answer);

struct httpc;

/* `address` is "ip:port"; `timeout` covers a whole call. */
struct httpc *httpc_create(h2o_loop_t *loop, const char *address, clk_ms timeout, struct err *err);
/* Only while no call is open. */
void httpc_destroy(struct httpc *c);
const char *httpc_address(const struct httpc *c);

/* The request is copied. The callback always comes later, never from this call. */
void httpc_send(struct httpc *c, const struct httpc_request *req, httpc_cb cb, void *data);

/*
 * Waits for one call. The body is copied to `*body`, which the caller frees; it ends with a NUL
 * that `*len` does not count. Answers other than 200 and 201 are errors.
 */
bool httpc_wait(struct httpc *c, const struct httpc_request *req, char **body, size_t *len,
		struct err *err);

#endif
