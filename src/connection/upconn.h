/*
 * HTTP/1.1 client. A pool sends requests to one address (an upstream, the table service, another
 * router's operator port) over persistent connections, one request at a time on each, without
 * pipelining. It uses h2o's sockets and picohttpparser; h2o's own HTTP/1 client and socket pool
 * do not report whether a connection was reused and do not limit the size of the response head.
 *
 * A connection is reused only if the last response was complete, echoed the request id (if one was
 * sent) and left no unread bytes. upconn_pool_discard_conns() closes all idle connections, because
 * when one connection to a server stops responding, the others usually have failed too.
 */
#ifndef CONNECTION_UPCONN_H
#define CONNECTION_UPCONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <h2o.h>

#include "base/clk.h"
#include "base/str.h"
#include "connection/answer_memory.h"
#include "connection/blocks.h"

#define UPCONN_MAX_ANSWER_BYTES (32u * 1024 * 1024)
#define UPCONN_MAX_REQUEST_BYTES (32u * 1024 * 1024) /* of a request body */

struct upconn_header {
	struct str name; /* lower case */
	struct str value;
};

enum upconn_result {
	UPCONN_OK, /* complete response */
	/*
	 * Nothing was written: may_send() returned false, the request is malformed, or
	 * `required_conn` is not available.
	 */
	UPCONN_NOT_SENT,
	UPCONN_CONNECT_FAILED, /* no connection could be opened; nothing was written */
	/*
	 * The connection ended after the write began and before the response was complete, or the
	 * response was malformed.
	 */
	UPCONN_BROKE,
	UPCONN_TIMEOUT, /* no complete response in time; `sent`: whether the write began */
	/* The response lacks the request id, repeats it or has another; the connection closed. */
	UPCONN_MISMATCH,
	/* Response head or body over its size limit, or ended because memory is short. */
	UPCONN_TOO_LARGE,
};

/* Returns the result's name as it is written to logs, for example "connect-failed". */
const char *upconn_result_name(enum upconn_result result);

/*
 * upconn itself writes host and content-length, and the id header if `request_id` is set. Entries
 * of `headers` with these names, transfer-encoding or connection are not sent. A request that the
 * server could read as two requests (line breaks or NUL in a part) ends with UPCONN_NOT_SENT.
 */
struct upconn_request {
	struct str method;
	struct str path;
	struct str host; /* empty: the address of the pool */
	const struct upconn_header *headers;
	size_t n_headers;
	struct str body;
	struct str request_id; /* sent in the id header; the response must echo it; may be empty */
	clk_ms timeout;	       /* for connecting, writing and reading the whole response */
	bool fresh;	       /* open a new connection instead of reusing one */
	/*
	 * Number of the only connection that may carry the request; if upconn_idle_conn() would
	 * return another one, the call ends with UPCONN_NOT_SENT. 0: any connection.
	 */
	uint64_t required_conn;
	/*
	 * Called immediately before the first byte is written; false ends the call with
	 * UPCONN_NOT_SENT. NULL: the request is always sent.
	 */
	bool (*may_send)(void *data);
};

struct upconn_answer {
	enum upconn_result result;
	bool sent;   /* the write began, so the server may have received the request */
	bool reused; /* the connection had carried an earlier request */
	int status;
	const struct upconn_header *headers;
	size_t n_headers;
	size_t body_len;
	struct upconn_call *call; /* owns the body, see upconn_body() and upconn_take_body() */
	clk_ms elapsed; /* since the write began, or since upconn_send() if nothing was written */
};

/* Returns the value of a response header, STR_NULL if absent. `name` is in lower case. */
struct str upconn_answer_header(const struct upconn_answer *a, const char *name);

/*
 * Returns the body in one piece. It is valid as long as the answer, and not after
 * upconn_take_body(). A body over 256 KiB is copied once, which `memory` does not count.
 */
struct str upconn_body(const struct upconn_answer *a);
/* Hands the body over to the caller, who frees the blocks. */
struct blocks upconn_take_body(const struct upconn_answer *a);

/* Receives the result of a call. `answer` is valid only until the callback returns. */
typedef void (*upconn_cb)(void *data, const struct upconn_answer *answer);

struct upconn_pool;
struct upconn_call;

struct upconn_options {
	size_t max_idle; /* idle connections that are kept open for reuse */
	/* Header, in lower case, that carries `request_id` both ways. NULL: x-request-id. */
	const char *id_header;
	/*
	 * A connection that was idle for longer than this is not reused. 0: no limit, and an idle
	 * timeout that the server announces (keep-alive header) is ignored too.
	 */
	clk_ms idle_limit;
	/*
	 * Opening a connection for longer than this ends the call with UPCONN_CONNECT_FAILED. 0:
	 * only the request's timeout limits it.
	 */
	clk_ms connect_timeout;
	/*
	 * The kernel closes a connection whose other end has acknowledged neither data nor TCP
	 * keep-alive probes for this long. 0: off.
	 */
	clk_ms dead_peer_timeout;
	/*
	 * Closes connections with a TCP reset (SO_LINGER 0), also when the process ends: unsent
	 * and unacknowledged data is discarded, so a delayed request cannot arrive later.
	 */
	bool abort_on_close;
	/* Accepts responses without a length whose body ends with an orderly close. */
	bool allow_close_delimited;
	/* Skips a complete response with another request id instead of closing the connection. */
	bool skip_mismatched;
	/*
	 * Limit of the head and of the body of a response, in bytes each. 0: 64 KiB for the head,
	 * UPCONN_MAX_ANSWER_BYTES for the body.
	 */
	size_t max_answer;
	/* Counts and limits unfinished responses, shared by pools; outlives them. NULL: no limit.
	 */
	struct answer_memory *memory;
};

/* Creates a pool that keeps `max_idle` idle connections; the other options are off. */
struct upconn_pool *upconn_pool_create(h2o_loop_t *loop, const char *ip, uint32_t port,
				       size_t max_idle);
struct upconn_pool *upconn_pool_create_with(h2o_loop_t *loop, const char *ip, uint32_t port,
					    const struct upconn_options *opts);
/*
 * Returns when the last attempt to connect failed; 0 if it succeeded or none has ended yet.
 * Attempts that a cancelled call or a request's timeout ended do not count.
 */
clk_ms upconn_connect_failed_at(const struct upconn_pool *pool);
/*
 * Returns when the loop last reported that a connection ended, during a call or idle, or that bytes
 * arrived on an idle one; 0 if never. A connection found stale before its reuse does not count.
 */
clk_ms upconn_conn_lost_at(const struct upconn_pool *pool);
/*
 * Returns the number of the idle connection that the next call would use, 0 if it would open a new
 * one. A number identifies a connection and is unique within the process. Closes idle connections
 * found to be unusable.
 */
uint64_t upconn_idle_conn(struct upconn_pool *pool);
/* Destroys the pool; open calls are cancelled without a callback. */
void upconn_pool_destroy(struct upconn_pool *pool);
/* Closes idle connections and destroys the pool when its last call has ended. */
void upconn_pool_retire(struct upconn_pool *pool);
/* Closes idle connections; connections that carry a call are closed when the call ends. */
void upconn_pool_discard_conns(struct upconn_pool *pool);

/*
 * Starts a call. The memory that `req` refers to must stay valid until the callback, which comes
 * from the loop and never from within upconn_send(). To be called from a callback of the loop: for
 * a write outside of it, h2o polls the socket; if the write is complete and has filled the socket,
 * h2o aborts the process when the socket is writable again.
 */
struct upconn_call *upconn_send(struct upconn_pool *pool, const struct upconn_request *req,
				upconn_cb cb, void *data);
/* Cancels a call whose callback has not begun: closes its connection; no callback follows. */
void upconn_cancel(struct upconn_call *call);
/* Whether writing the request has begun. */
bool upconn_was_sent(const struct upconn_call *call);
/* Returns the unique number of the connection that carries the call, 0 if it has none. */
uint64_t upconn_call_conn(const struct upconn_call *call);

#endif
