/*
 * Internals shared by the files of the ingress: ingress.c accepts connections, ingress_conn.c keeps
 * their states, ingress_parse.c reads requests, ingress_answer.c writes responses.
 */
#ifndef CONNECTION_INGRESS_PRIV_H
#define CONNECTION_INGRESS_PRIV_H

#include "base/ctr.h"
#include "connection/chunk_lines.h"
#include "connection/ingress.h"
#include "connection/picohttp.h"
#include "connection/timer.h"

enum conn_state {
	CONN_IDLE,     /* waiting for the first byte of a request */
	CONN_HEAD,     /* reading a request head */
	CONN_BODY,     /* reading a request body */
	CONN_HANDLING, /* the handler owns the request and has not sent a response */
	CONN_WRITING,  /* writing the response */
	CONN_LINGER,   /* sending direction shut down; input is discarded until the caller closes */
};

struct ingress_conn {
	struct ingress *in;
	h2o_socket_t *sock;
	struct timer timer; /* time limit of the current state */
	enum conn_state state;
	struct ingress_request *req; /* NULL until the request head is complete */
	bool keep_alive;	     /* the request permits further requests on the connection */
	bool chunked;
	bool close_after;   /* close after the response */
	size_t body_length; /* content-length, 0 if chunked */
	char *body;
	size_t body_len;	       /* bytes read so far */
	size_t body_capacity;	       /* allocated size of `body` */
	size_t raw_body_bytes;	       /* chunked body bytes received, with chunk framing */
	char *write_buf;	       /* response being written, without `write_body` */
	struct blocks write_body;      /* its body if that is not copied */
	size_t write_bytes;	       /* size of both as counted in `answers` */
	struct answer_memory *answers; /* where the response being written is counted, or NULL */
	uint64_t acked_bytes;	       /* what the caller had acknowledged at `taken_at` */
	clk_ms write_started;
	clk_ms taken_at; /* when the caller was last seen to have taken MIN_TAKEN_BYTES */
	struct phr_chunked_decoder chunks;
	struct chunk_lines chunk_lines;
	struct ingress_conn *prev;
	struct ingress_conn *next;
	struct ingress_conn *idle_prev; /* in the list of idle connections */
	struct ingress_conn *idle_next;
};

struct ingress {
	h2o_loop_t *loop;
	h2o_socket_t *listener;
	struct ingress_handlers handlers;
	void *data;
	struct ingress_conn *conns;
	size_t n_conns;
	struct ingress_conn *idle; /* connections in state CONN_IDLE, idle longest first */
	struct ingress_conn *idle_tail;
	struct timer accept_timer; /* ends a pause of accepting */
	bool full;		   /* no room for a new connection */
	size_t body_memory_bytes;  /* allocated for request bodies, also those being handled */
	bool draining;		   /* every response closes its connection */
};

/* ingress_conn.c */
struct ingress_conn *ingress_conn_open(struct ingress *in, h2o_socket_t *sock);
/* Closes and frees a connection; reports the close if its request is being handled. */
void ingress_conn_close(struct ingress_conn *c);
/* The same without taking it from the list of connections. */
void ingress_conn_free(struct ingress_conn *c);
/* Detaches the request from the connection; frees it unless the handler owns it. */
void ingress_conn_detach_request(struct ingress_conn *c);
void ingress_conn_set_idle(struct ingress_conn *c);
void ingress_idle_remove(struct ingress_conn *c);
/*
 * Shuts down the sending direction and waits for the caller to close: closing with unread input
 * would reset the connection, and the caller could lose the response.
 */
void ingress_conn_linger(struct ingress_conn *c);
/* Whether bytes of the caller wait to be read. */
bool ingress_has_arrived_input(const struct ingress_conn *c);
/* Whether the connection is between the first byte of a request and the last of its response. */
bool ingress_is_in_use(const struct ingress_conn *c);

/* ingress_parse.c */
void ingress_on_read(h2o_socket_t *sock, const char *err);
/* Reads what is in the input buffer of the connection. */
void ingress_read_input(struct ingress_conn *c);

/* ingress_answer.c */
/*
 * Writes a response whose body is either `body`, which is copied, or `owned`, which the connection
 * frees.
 */
void ingress_write_answer(struct ingress_conn *c, int status, const struct ingress_header *headers,
			  size_t n, struct str body, struct blocks owned, bool close);
/* Sends an error response instead of passing the request to the handler; closes the connection. */
void ingress_refuse(struct ingress_conn *c, int status, const char *why);
/*
 * Closes the connection if the caller does not take the response. What it has taken is not what was
 * written: a write goes on when a large part of the system's buffer is free.
 */
void ingress_check_taken(struct ingress_conn *c);
/* Ends the count of a response, see answer_memory.h, and frees it. */
void ingress_free_response(struct ingress_conn *c);

#endif
