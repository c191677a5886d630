/*
 * Internals shared by the files of the ingress: ingress.c accepts connections, ingress_conn.c keeps
 * their states, ingress_input.c reads bytes, ingress_parse.c reads requests, ingress_order.c starts
 * them and keeps the order of their answers, ingress_answer.c writes answers.
 */
#ifndef CONNECTION_INGRESS_PRIV_H
#define CONNECTION_INGRESS_PRIV_H

#include "base/ctr.h"
#include "connection/chunk_lines.h"
#include "connection/ingress.h"
#include "connection/picohttp.h"
#include "connection/timer.h"

/* What is read of a connection. */
enum conn_state {
	CONN_IDLE,   /* waiting for the first byte of a request */
	CONN_HEAD,   /* reading a request head */
	CONN_BODY,   /* reading a request body */
	CONN_HELD,   /* a whole request waits until those before it have ended */
	CONN_ENDED,  /* no further request is read */
	CONN_LINGER, /* sending direction shut down; input is discarded until the caller closes */
};

/* A request from its last byte to the last byte of its response. */
struct ingress_exchange {
	struct ingress_request *req; /* owned by the handler; NULL once there is a response */
	bool may_overlap;	     /* requests may run beside it */
	bool keep_alive;	     /* the request permits further requests on the connection */
	bool close;		     /* the response closes the connection */
	char *head;		     /* head of the response without its end, and a copied body */
	size_t head_len;
	struct str copied;  /* the copied body, in the memory of `head` */
	struct blocks body; /* a body that is not copied */
	bool no_body;	    /* the response has none, whatever is in `body` */
	bool has_length;    /* the response has a content-length: `length` */
	size_t length;
	size_t bytes;		       /* size of the response as counted in `answers` */
	struct answer_memory *answers; /* where the response is counted, or NULL */
	struct ingress_exchange *next;
};

struct ingress_conn {
	struct ingress *in;
	h2o_socket_t *sock;
	struct timer timer; /* time limit of the current state */
	enum conn_state state;
	bool idle_listed;	     /* idle and without an open exchange */
	bool paused;		     /* reading is stopped, see ingress_input.c */
	bool left;		     /* while paused: the caller has left */
	unsigned busy;		     /* calls up the stack that still use the connection */
	bool closed;		     /* closed while busy; only its memory remains */
	struct ingress_request *req; /* being read or held; NULL until the head is complete */
	bool keep_alive;	     /* of `req` */
	bool chunked;
	size_t body_length; /* content-length, 0 if chunked */
	size_t head_seen;   /* bytes of an incomplete head that have been looked at */
	char *body;
	size_t body_len;       /* bytes read so far */
	size_t body_capacity;  /* allocated size of `body` */
	size_t raw_body_bytes; /* chunked body bytes received, with chunk framing */
	clk_ms body_read_at;   /* when the last bytes of the body came */
	size_t input_counted;  /* size of the input buffer, as counted in the account */
	struct phr_chunked_decoder chunks;
	struct chunk_lines chunk_lines;

	struct ingress_exchange *first; /* open exchanges in the order of their requests */
	struct ingress_exchange *last;
	size_t n_exchanges;
	bool ending;	  /* all exchanges end without a response */
	bool writing;	  /* the response of `first` is being written */
	bool close_after; /* it closes the connection */
	/* The caller waits for "100 Continue" before it sends the body of `req`. */
	bool continue_due;
	bool writing_continue;
	struct timer write_timer;
	uint64_t acked_bytes; /* what the caller had acknowledged at `taken_at` */
	clk_ms write_started;
	clk_ms taken_at;     /* when the caller was last seen to have taken MIN_TAKEN_BYTES */
	uint64_t last_acked; /* what it had acknowledged at `progress_at` */
	clk_ms progress_at;  /* when it was last seen to have taken anything */

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
	struct door *door; /* account of what is held for callers, or NULL */
	struct ingress_conn *conns;
	size_t n_conns;
	struct ingress_conn *idle; /* connections with `idle_listed`, idle longest first */
	struct ingress_conn *idle_tail;
	struct timer accept_timer;	 /* ends a pause of accepting */
	bool full;			 /* no room for a new connection */
	struct timer sweep_timer;	 /* see ingress_input.c */
	struct ingress_conn *sweep_next; /* next connection that the sweep looks at */
	size_t n_paused;		 /* connections with `paused` */
	clk_ms evicted_at;		 /* when a body was last looked for that gives way */
	bool draining;			 /* every response closes its connection */
};

const struct ingress_limits *ingress_limits(const struct ingress_conn *c);

/* ingress_conn.c */
void ingress_conn_open(struct ingress *in, h2o_socket_t *sock);
/* Closes and frees a connection; reports the close for its requests that are being handled. */
void ingress_conn_close(struct ingress_conn *c);
/* The same without taking it from the list of connections. */
void ingress_conn_free(struct ingress_conn *c);
/* Keeps the memory of the connection while handlers are called, which may close it. */
void ingress_conn_hold(struct ingress_conn *c);
/* Returns false if it was closed meanwhile; its memory may be gone then. */
bool ingress_conn_release(struct ingress_conn *c);
/* Frees what has been read of the next request. */
void ingress_conn_discard_request(struct ingress_conn *c);
/* Called when no exchange is open and no input waits. */
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

/* ingress_input.c */
void ingress_on_read(h2o_socket_t *sock, const char *err);
/* Continues to read if the reason for a pause is gone. */
void ingress_resume(struct ingress_conn *c);
void ingress_on_sweep(struct timer *timer, void *data);
/* Arms the timer that looks for answers to end and for reading to continue. */
void ingress_arm_sweep(struct ingress *in);
/* Counts the input buffer, and frees a large one that is empty. */
void ingress_count_input(struct ingress_conn *c);
/* Returns what the connection holds in the account. */
size_t ingress_held_bytes(const struct ingress_conn *c);
/* Whether the account admits `more`; ends bodies that have stopped if that makes room. */
bool ingress_admit(struct ingress_conn *c, size_t more);

/* ingress_parse.c */
/* Reads the requests that are in the input buffer of the connection. */
void ingress_read_input(struct ingress_conn *c);

/* ingress_order.c */
/* Whether another request may be read while earlier ones are open. */
bool ingress_may_read_ahead(const struct ingress_conn *c);
/* Passes the whole request to the handler, or holds it until those before it have ended. */
void ingress_dispatch(struct ingress_conn *c);
/* Sends an error response instead of passing the request to the handler; closes the connection. */
void ingress_refuse(struct ingress_conn *c, int status, const char *why);
/* Ends a request without a response and reports the close to the handler. */
void ingress_drop_request(struct ingress_request *req);
/* Ends all open exchanges without a response; reports the close for those being handled. */
void ingress_drop_exchanges(struct ingress_conn *c);
/*
 * Writes the response of the first exchange if there is one; if none is open, "100 Continue" for
 * the request whose body is being read, if it is due.
 */
void ingress_write_next(struct ingress_conn *c);

/* ingress_answer.c */
/*
 * Makes the response of an exchange, whose body is either `body`, which is copied, or `owned`,
 * which the exchange frees.
 */
void ingress_make_answer(struct ingress_conn *c, struct ingress_exchange *x, int status,
			 const struct ingress_header *headers, size_t n, struct str body,
			 struct blocks owned, bool head_only);
/* Writes the response of the first exchange; calls `on_written` from the loop. */
void ingress_write_answer(struct ingress_conn *c, h2o_socket_cb on_written);
/* Ends the count of the response, see answer_memory.h, and frees the exchange. */
void ingress_exchange_free(struct ingress_exchange *x);
/*
 * Closes the connection if the caller does not take the response. What it has taken is not what was
 * written: a write goes on when a large part of the system's buffer is free.
 */
void ingress_on_write_timer(struct timer *timer, void *data);
/* Whether memory is short and the caller has stopped taking the response. */
bool ingress_is_stalled(struct ingress_conn *c, clk_ms now);
/* Whether the answers that upstreams still send may soon find no memory. */
bool ingress_answers_short(const struct answer_memory *answers);

#endif
