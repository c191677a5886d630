/*
 * HTTP/1.1 server for callers, on h2o's sockets and picohttpparser. It passes each complete request
 * to a handler, which responds now or later. h2o's own server stops reading from a connection while
 * a request is handled and so does not detect that the caller closed the connection until it sends
 * the response; this server reads all the time, or looks for the close while it does not. Requests
 * with ambiguous framing are refused (request smuggling).
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
#include "connection/answer_memory.h"
#include "connection/blocks.h"
#include "door/door.h"

struct ingress_header {
	struct str name; /* lower case */
	struct str value;
};

struct ingress_conn;
struct ingress_exchange;

/* Owned by the handler from on_request() until it calls ingress_request_free(). */
struct ingress_request {
	struct arena arena;
	struct str method;
	struct str path; /* with the query string */
	struct str host;
	const struct ingress_header *headers;
	size_t n_headers;
	struct str body;
	clk_ms arrived;		   /* when the last byte of the request was read */
	struct ingress_conn *conn; /* NULL after the response, or after the connection closed */
	char *body_memory;	   /* memory of `body`, allocated with malloc() */
	struct ingress_exchange *exchange; /* for use by the ingress */
	struct door *door;		   /* where `counted` is counted, or NULL */
	size_t counted;
	void *data; /* for use by the handler */
};

struct ingress_limits {
	size_t max_header_bytes;
	size_t max_body_bytes;
	/* Account of what is held for callers, as long as the ingress; NULL: no limit. */
	struct door *door;
	/* Requests of a connection that may run beside an earlier one; 0: none. */
	size_t max_ahead;
	clk_ms header_timeout; /* for reading a request head, from its first byte */
	/*
	 * Between requests and between body reads. While a response is written, the caller must
	 * take 64 KiB in this time, measured up to an eighth longer, or all of it if `answers` is
	 * more than half used.
	 */
	clk_ms idle_timeout;
	struct answer_memory *answers; /* counts responses being written; NULL: not counted */
	/*
	 * Open connections; 0: no limit but the process's descriptors. Near it, responses close
	 * their connections; at it, the connection that has been idle longest is closed for each
	 * new one.
	 */
	size_t max_connections;
};

struct ingress_handlers {
	/* Called with each complete request. Must call ingress_reply(), now or later. */
	void (*on_request)(void *data, struct ingress_request *req);
	/* Called if the connection closes before the response; the handler still owns `req`. */
	void (*on_caller_closed)(void *data, struct ingress_request *req);
	/* Returns the limits to apply now. */
	const struct ingress_limits *(*limits)(void *data);
	/*
	 * Whether the request may run beside others of its connection: it may be repeated, and its
	 * order with them does not matter. NULL: none may.
	 */
	bool (*may_overlap)(void *data, const struct ingress_request *req);
};

struct ingress;

/* Listens on ip:port. Returns NULL and sets `err` if that fails. */
struct ingress *ingress_create(h2o_loop_t *loop, const char *ip, uint32_t port,
			       const struct ingress_handlers *handlers, void *data,
			       struct err *err);
/* From now on responses carry "connection: close"; new connections are still accepted. */
void ingress_drain(struct ingress *in);
/* Accepts what waits in the listening queue and closes the socket; open connections stay. */
void ingress_stop_accepting(struct ingress *in);
/* Stops accepting and closes connections that carry no request and have received none. */
void ingress_shutdown(struct ingress *in);
/*
 * Returns the number of connections between a request's first byte, read or not, and its response's
 * last.
 */
size_t ingress_open_requests(const struct ingress *in);
/* Returns the number of responses of which a part is not yet written. */
size_t ingress_open_responses(const struct ingress *in);
/* Returns the number of open connections. */
size_t ingress_connections(const struct ingress *in);
/* Whether new connections wait because all descriptors are taken by connections in use. */
bool ingress_is_full(const struct ingress *in);
/*
 * Closes all connections and the listening socket; calls on_caller_closed() for each request that
 * the handler has not responded to.
 */
void ingress_close(struct ingress *in);
/*
 * Calls ingress_close() and frees `in`, which may be NULL. The handler must have freed all
 * requests, or free them in the call.
 */
void ingress_destroy(struct ingress *in);

/* Returns the value of a request header, STR_NULL if absent. `name` is in lower case. */
struct str ingress_header(const struct ingress_request *req, const char *name);

/* Whether the caller has closed its connection, which may not have been reported yet. */
bool ingress_caller_closed(const struct ingress_request *req);
/* Closes the connection of a request without a response; calls on_caller_closed(). */
void ingress_drop(struct ingress_request *req);

/* Frees a request that the handler owns, after its response or after on_caller_closed(). */
void ingress_request_free(struct ingress_request *req);

/*
 * Sends the response; headers and body are copied. Hop-by-hop headers are left out. `close` also
 * closes the connection after the response. Does nothing if the connection has closed.
 */
void ingress_reply(struct ingress_request *req, int status, const struct ingress_header *headers,
		   size_t n, struct str body, bool close);
/* The same with a body that is not copied: this module frees it in any case. */
void ingress_reply_blocks(struct ingress_request *req, int status,
			  const struct ingress_header *headers, size_t n, struct blocks body);

/*
 * Whether a header is hop-by-hop, that is, concerns one connection and must not be forwarded (RFC
 * 9110, 7.6.1), or is one that the server writes itself, such as content-length.
 */
bool ingress_is_hop_header(struct str name);

#endif
