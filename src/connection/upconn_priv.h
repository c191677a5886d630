/*
 * Shared internals of the calls to upstreams: upconn.c owns connections, requests and pools,
 * upconn_answer.c reads the answers.
 */
#ifndef CONNECTION_UPCONN_PRIV_H
#define CONNECTION_UPCONN_PRIV_H

#include <netinet/in.h>

#include "base/arena.h"
#include "connection/picohttp.h"
#include "connection/timer.h"
#include "connection/upconn.h"

#define UPCONN_MAX_HEAD_BYTES (64u * 1024)
/* A request on a kept connection arrives this long before the server closes it, at least. */
#define UPCONN_IDLE_MARGIN_MS 1000

/* A connection; `call` is NULL while it is idle. */
struct upconn_conn {
	struct upconn_pool *pool;
	struct upconn_call *call;
	h2o_socket_t *sock;
	uint64_t number; /* unique within the process */
	uint64_t generation;
	uint64_t carried;	  /* requests before the current one */
	clk_ms usable_until;	  /* while idle */
	struct upconn_conn *prev; /* list of idle connections, most recent first */
	struct upconn_conn *next;
};

struct upconn_pool {
	h2o_loop_t *loop;
	struct sockaddr_in address;
	char host[INET_ADDRSTRLEN + 8];
	struct upconn_options opts;
	const char *id_header;
	size_t n_idle;
	clk_ms refused_at;
	clk_ms broken_at;
	struct upconn_conn *idle;
	struct upconn_call *calls;
	uint64_t generation;
	bool retired;
};

/* How the end of the body is recognised. */
enum upconn_framing {
	UPCONN_FRAMING_NONE,
	UPCONN_FRAMING_LENGTH,
	UPCONN_FRAMING_CHUNKED,
	UPCONN_FRAMING_CLOSE, /* an orderly close of the connection */
};

struct upconn_call {
	struct upconn_pool *pool;
	struct upconn_request req;
	upconn_cb cb;
	void *data;
	struct upconn_conn *conn;
	struct timer timer;
	clk_ms started;
	bool sent;
	bool reused;
	bool writing;
	/* Set when the outcome is known before the call could return; the timer reports it. */
	bool failed;
	enum upconn_result failure;

	struct arena arena;
	h2o_iovec_t out[2];
	bool have_head;
	bool keep_alive;
	bool foreign;	       /* the answer being read belongs to another request */
	clk_ms keep_alive_for; /* the server's own idle limit, 0 if it did not say */
	int status;
	unsigned interim;
	struct upconn_header *headers;
	size_t n_headers;
	enum upconn_framing framing;
	size_t expected; /* body length announced by the answer */
	struct phr_chunked_decoder chunks;
	char *body;
	size_t body_len;
	size_t body_size;
	size_t raw_body; /* bytes received for the body, with chunk framing */

	struct upconn_call *prev;
	struct upconn_call *next;
};

/* Compares the name of a header without regard to case. */
bool upconn_name_is(const struct phr_header *h, const char *name);
/*
 * Ends the call: first settles the connection, then reports. The pool and the call's connection
 * must not be used afterwards, since the callback may release them.
 */
void upconn_call_finish(struct upconn_call *call, enum upconn_result result, bool reusable);
/* Read callback of a connection that carries a call. */
void upconn_on_read(h2o_socket_t *sock, const char *err);

#endif
