/*
 * HTTP calls to one address (upstream, table service, another router's operators' port) over
 * persistent connections, built on h2o's sockets and HTTP/1 parser; h2o's own HTTP/1 client and
 * socket pool do not tell whether a connection was reused and do not bound the head of an answer.
 * One request is on a connection at a time.
 *
 * A connection is used again only after a whole answer with the right `x-request-id` echo (if an
 * id was sent) and nothing left unread. upconn_reset() starts a new generation: idle connections
 * of the old one are closed, because a connection that went silent seldom is the only one.
 */
#ifndef CONNECTION_UPCONN_H
#define CONNECTION_UPCONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <h2o.h>

#include "base/clk.h"
#include "base/str.h"

#define UPCONN_MAX_ANSWER_BYTES (32u * 1024 * 1024)

struct upconn_header {
	struct str name; /* lower case */
	struct str value;
};

enum upconn_result {
	UPCONN_OK,	       /* whole answer */
	UPCONN_NOT_SENT,       /* may_send() said no; nothing was written */
	UPCONN_CONNECT_FAILED, /* nothing was written */
	/* Connection ended after the write began, before the answer's end; also a malformed answer.
	 */
	UPCONN_BROKE,
	UPCONN_TIMEOUT,	  /* no whole answer in time; `sent` tells whether the write began */
	UPCONN_MISMATCH,  /* answer to another request; the connection was closed */
	UPCONN_TOO_LARGE, /* answer over UPCONN_MAX_ANSWER_BYTES */
};

const char *upconn_result_name(enum upconn_result result);

/*
 * The headers host, content-length, transfer-encoding and connection, and the id header next to
 * `request_id`, are written by upconn; such entries in `headers` are left out. A request that
 * could not be told apart from the next one (line breaks, NUL) ends with NOT_SENT.
 */
struct upconn_request {
	struct str method;
	struct str path;
	struct str host; /* empty: the address of the pool */
	const struct upconn_header *headers;
	size_t n_headers;
	struct str body;
	struct str request_id; /* sent in the id header and compared with the echo; may be empty */
	clk_ms timeout;	       /* for connect, write and whole answer together */
	bool fresh;	       /* open a new connection instead of reusing one */
	/* Number of the only connection that may carry it, else NOT_SENT; 0: any. */
	uint64_t only_conn;
	/* Called immediately before the first byte is written; NULL: always. */
	bool (*may_send)(void *data);
};

struct upconn_answer {
	enum upconn_result result;
	bool sent;   /* at least one byte may have left */
	bool reused; /* the connection had carried an earlier request */
	int status;
	const struct upconn_header *headers;
	size_t n_headers;
	struct str body;
	clk_ms elapsed; /* from the write (or the call, if nothing was written) to the end */
};

/* Value of an answer's header, STR_NULL if absent. */
struct str upconn_answer_header(const struct upconn_answer *a, const char *name);

typedef void (*upconn_cb)(void *data, const struct upconn_answer *answer);

struct upconn_pool;
struct upconn_call;

struct upconn_options {
	size_t max_idle; /* connections that are kept */
	/* Header that carries `request_id` both ways, in lower case; NULL: x-request-id. */
	const char *id_header;
	/* Unused for longer than this a connection is not used again. 0: no limit. */
	clk_ms idle_limit;
	/* No connection within this time is CONNECT_FAILED. 0: the request's timeout alone. */
	clk_ms connect_timeout;
	/*
	 * Time without any sign of the other side until the kernel gives the connection up, by
	 * keep-alive probes and unacknowledged data. 0: off.
	 */
	clk_ms silence_limit;
	/*
	 * Reset connections instead of closing them, also when the process ends: what was held up
	 * on the way is dropped and cannot arrive later.
	 */
	bool abort_on_close;
	/* Accept answers that end with an orderly close of the connection. */
	bool until_close;
	/* Skip a whole answer that carries another id instead of closing the connection. */
	bool skip_foreign;
};

struct upconn_pool *upconn_pool_create(h2o_loop_t *loop, const char *ip, uint32_t port,
				       size_t max_idle);
struct upconn_pool *upconn_pool_create_with(h2o_loop_t *loop, const char *ip, uint32_t port,
					    const struct upconn_options *opts);
/* When no connection could be opened last, 0 if the newest attempt succeeded. */
clk_ms upconn_refused_at(const struct upconn_pool *pool);
/* When a connection of the pool ended by itself last, idle or not; 0 if never. */
clk_ms upconn_broken_at(const struct upconn_pool *pool);
/*
 * Number of the kept connection that the next call would go over, as far as can be seen now; 0: it
 * would open a new one. Numbers are unique within the process.
 */
uint64_t upconn_idle_conn(struct upconn_pool *pool);
/* Calls that are still open are cancelled without a callback. */
void upconn_pool_destroy(struct upconn_pool *pool);
/* Closes idle connections; the pool is destroyed when its last call has ended. */
void upconn_pool_retire(struct upconn_pool *pool);
void upconn_reset(struct upconn_pool *pool);

/* Request memory must live until the callback, which always comes later, never from this call. */
struct upconn_call *upconn_send(struct upconn_pool *pool, const struct upconn_request *req,
				upconn_cb cb, void *data);
/* Closes the connection; the callback is not called. Not for a call whose callback has begun. */
void upconn_cancel(struct upconn_call *call);
bool upconn_was_sent(const struct upconn_call *call);
/* Number of the connection that carries the call, 0 if it has none. */
uint64_t upconn_call_conn(const struct upconn_call *call);

#endif
