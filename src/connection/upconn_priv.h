/*
 * Internals shared by the files of upconn: upconn.c handles connections, requests and pools,
 * upconn_answer.c reads responses.
 */
#ifndef CONNECTION_UPCONN_PRIV_H
#define CONNECTION_UPCONN_PRIV_H

#include <netinet/in.h>

#include "base/arena.h"
#include "connection/picohttp.h"
#include "connection/timer.h"
#include "connection/upconn.h"

#define UPCONN_MAX_HEAD_BYTES (64u * 1024)
/*
 * An idle connection is reused only up to this long before the server's announced idle timeout, so
 * that the request arrives before the server closes the connection. Applies only to pools with an
 * idle limit.
 */
#define UPCONN_IDLE_MARGIN_MS 1000

struct upconn_conn {
	struct upconn_pool *pool;
	struct upconn_call *call; /* NULL while the connection is idle */
	h2o_socket_t *sock;
	uint64_t number;	  /* identifies the connection within the process */
	uint64_t generation;	  /* the pool's generation when the connection was opened */
	uint64_t n_completed;	  /* requests carried before the current one */
	clk_ms usable_until;	  /* while idle: not reused from this time on */
	struct upconn_conn *prev; /* idle list of the pool, most recently used first */
	struct upconn_conn *next;
};

struct upconn_pool {
	h2o_loop_t *loop;
	struct sockaddr_in address;
	char host[INET_ADDRSTRLEN + 8]; /* "ip:port", the default host header */
	struct upconn_options opts;
	const char *id_header;
	size_t max_head; /* bytes of the head of a response */
	size_t max_body; /* bytes of its body */
	size_t n_idle;
	clk_ms connect_failed_at; /* see upconn_connect_failed_at() */
	clk_ms conn_lost_at;	  /* see upconn_conn_lost_at() */
	struct upconn_conn *idle_conns;
	struct upconn_call *calls;
	struct upconn_pool *memory_prev; /* list of the pools that share `opts.memory` */
	struct upconn_pool *memory_next;
	size_t answer_bytes;  /* taken by unfinished responses, part of `opts.memory->used` */
	unsigned n_ended;     /* responses ended for lack of memory, in a row */
	clk_ms suspect_until; /* the server may send endless responses, see upconn_memory.c */
	uint64_t generation;  /* connections of an earlier generation are not reused */
	bool retired;	      /* destroyed when the last call has ended */
};

/* What marks the end of a response body. */
enum upconn_framing {
	UPCONN_FRAMING_NONE,	/* no body */
	UPCONN_FRAMING_LENGTH,	/* content-length */
	UPCONN_FRAMING_CHUNKED, /* the last chunk */
	UPCONN_FRAMING_CLOSE,	/* an orderly close of the connection */
};

struct upconn_call {
	struct upconn_pool *pool;
	struct upconn_request req;
	upconn_cb cb;
	void *data;
	struct upconn_conn *conn;
	struct timer timer;
	clk_ms started_at; /* when the write began; before that, when the call was made */
	bool sent;	   /* the write began */
	bool reused;	   /* on a connection that had carried an earlier request */
	bool writing;	   /* the request is not completely written */
	/* upconn_send() already knows that the call fails; the timer reports `failure`. */
	bool failure_pending;
	enum upconn_result failure;

	struct arena arena;
	h2o_iovec_t write_bufs[2];  /* head and body of the request */
	bool have_head;		    /* the response head has been read */
	bool keep_alive;	    /* the response permits reuse of the connection */
	bool mismatched;	    /* the response being read belongs to another request */
	clk_ms server_idle_timeout; /* from the response's keep-alive header, 0 if absent */
	int status;
	unsigned n_interim; /* interim (1xx) responses received */
	struct upconn_header *headers;
	size_t n_headers;
	enum upconn_framing framing;
	size_t content_length; /* set if `framing` is UPCONN_FRAMING_LENGTH */
	struct phr_chunked_decoder chunks;
	struct blocks body;
	size_t counted_bytes;  /* memory of the response that is counted in the pool's memory */
	unsigned n_skipped;    /* responses to other requests received */
	size_t raw_body_bytes; /* chunked body bytes received, with chunk framing */

	struct upconn_call *prev;
	struct upconn_call *next;
};

/* Whether the header has this name, ignoring case. */
bool upconn_name_is(const struct phr_header *h, const char *name);
/*
 * Ends the call: keeps its connection for reuse if `reusable` and the pool allow it, else closes
 * it, then calls the callback and frees the call. The callback may destroy the pool, so neither the
 * pool nor the connection may be used afterwards.
 */
void upconn_call_finish(struct upconn_call *call, enum upconn_result result, bool reusable);
/*
 * Closes the connection of the call and frees what was read of its response; reports the result
 * from the loop, so the call stays valid until then.
 */
void upconn_call_abort(struct upconn_call *call, enum upconn_result result);
/*
 * Reads what waits in the socket into its input buffer, up to a limit; the loop reports the rest
 * again. Returns NULL, or why nothing more can be read, which may come with the last bytes.
 */
const char *upconn_read_some(h2o_socket_t *sock);
/* Read callback of a connection that carries a call. */
void upconn_on_read(h2o_socket_t *sock, const char *err);

/* upconn_memory.c */
/* Adds the pool to those that share its memory, or removes it. */
void upconn_memory_join(struct upconn_pool *pool);
void upconn_memory_leave(struct upconn_pool *pool);
/*
 * Counts what was read of the call's body and ends the largest responses while all together exceed
 * the limit. Returns true if the call itself was ended with upconn_call_abort().
 */
bool upconn_memory_count(struct upconn_call *call);
/* Called when the response of the call is complete. */
void upconn_memory_note_complete(struct upconn_call *call);
/* Ends the count of the call's body; the pool must still exist. */
void upconn_memory_release(struct upconn_call *call);
/* Returns the largest body that the call may receive. */
size_t upconn_max_answer(const struct upconn_call *call);
/* Limits further responses of the server if this one has no announced length. */
void upconn_suspect(struct upconn_call *call);

#endif
