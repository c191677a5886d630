/*
 * HTTP/1.1 server for callers, on h2o's sockets and HTTP/1 parser. h2o's own server stops reading
 * while a request is handled, so it would notice a caller that left only when it answers; here the
 * connection is watched all the time. Requests whose end could be read in two ways are refused.
 */
#ifndef CONNECTION_INGRESS_H
#define CONNECTION_INGRESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <h2o.h>

#include "base/arena.h"
#include "base/clk.h"
#include "base/err.h"
#include "base/str.h"

struct ingress_header {
	struct str name; /* lower case */
	struct str value;
};

struct ingress_conn;

/* Belongs to the handler from on_request() until it calls ingress_request_free(). */
struct ingress_request {
	struct arena arena;
	struct str method;
	struct str path; /* with query */
	struct str host;
	const struct ingress_header *headers;
	size_t n_headers;
	struct str body;
	clk_ms arrived;		   /* when its last byte was read */
	struct ingress_conn *conn; /* NULL after the answer, or when the caller left */
	char *body_memory;
	size_t body_size; /* of the memory, counted in the server's total */
	struct ingress *ingress;
	void *data; /* of the handler */
};

struct ingress_limits {
	size_t max_header_bytes;
	size_t max_body_bytes;
	size_t max_total_body_bytes; /* bodies of all requests together; 0: no limit */
	clk_ms header_timeout;
	clk_ms idle_timeout;
};

struct ingress_handlers {
	/* A whole request was read. Answer with ingress_reply(), now or later. */
	void (*on_request)(void *data, struct ingress_request *req);
	/* The caller closed the connection before the answer. */
	void (*on_gone)(void *data, struct ingress_request *req);
	/* Limits in force now. */
	const struct ingress_limits *(*limits)(void *data);
};

struct ingress;

struct ingress *ingress_create(h2o_loop_t *loop, const char *ip, uint32_t port,
			       const struct ingress_handlers *handlers, void *data,
			       struct err *err);
/* Answers carry "Connection: close" from now on; new connections are still accepted. */
void ingress_drain(struct ingress *in);
void ingress_stop_accepting(struct ingress *in);
/* Stops accepting and closes connections that carry no request. */
void ingress_shutdown(struct ingress *in);
/* Connections that carry a request, from its first byte to the end of its answer. */
size_t ingress_open_requests(const struct ingress *in);
size_t ingress_connections(const struct ingress *in);
void ingress_destroy(struct ingress *in);

/* Value of a header, STR_NULL if absent. `name` is in lower case. */
struct str ingress_header(const struct ingress_request *req, const char *name);

void ingress_request_free(struct ingress_request *req);

/*
 * Answers the request; headers and body are copied. Headers that concern one connection only are
 * left out. `close` also ends the connection.
 */
void ingress_reply(struct ingress_request *req, int status, const struct ingress_header *headers,
		   size_t n, struct str body, bool close);

/* True for headers that belong to one connection and are not passed on (RFC 9110, 7.6.1). */
bool ingress_is_hop_header(struct str name);

#endif
