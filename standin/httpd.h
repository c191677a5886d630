/*
 * HTTP server shared by the stand-ins: one event loop on one thread, a service port and a control
 * port, timers, and exchanges (one request and its answer). An exchange copies the request when it
 * arrives, so that it can stay open while the connection is watched for closing by the client.
 */
#ifndef STANDIN_HTTPD_H
#define STANDIN_HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <h2o.h>
#include <jansson.h>

#include "base/arena.h"
#include "base/clk.h"
#include "base/err.h"
#include "base/str.h"

struct httpd;

struct httpd_timer {
	clk_ms due_at; /* monotonic clock */
	void (*cb)(struct httpd_timer *t);
	/* Neighbours in the server's list of running timers, sorted by time. */
	struct httpd_timer *prev;
	struct httpd_timer *next;
};

struct exchange_header {
	struct str name; /* lower case */
	struct str value;
};

/*
 * One request. It ends with exactly one of exchange_reply(), exchange_truncate(),
 * exchange_drop(), or the client's closing of the connection (then `on_disconnect` is called). The
 * exchange is freed in each case.
 */
struct exchange {
	struct httpd *httpd;
	struct arena arena;
	struct str method;
	struct str path; /* without query */
	struct str query;
	struct str body;
	struct exchange_header *headers;
	size_t n_headers;
	uint64_t connection; /* number of the connection, in order of acceptance */
	bool exempt;	     /* not counted by drop_answers and truncate, see faults.h */
	void *user;	     /* for the handler */
	void (*on_disconnect)(struct exchange *x); /* may be NULL */
	struct httpd_timer timer; /* for use by the handler; stopped when the exchange ends */
	h2o_req_t *req;
	h2o_socket_t *sock;
};

typedef void (*httpd_handler)(void *data, struct exchange *x);

/*
 * Listens on both ports and sets the signal handlers. Both addresses are "ip:port". Returns NULL
 * and sets `err` on failure. A process can have only one server, and cannot free it.
 */
struct httpd *httpd_create(const char *name, const char *service_address,
			   const char *control_address, httpd_handler on_service,
			   httpd_handler on_control, void *data, struct err *err);
/* Runs until SIGTERM or SIGINT. */
void httpd_run(struct httpd *h);

/* Calls `t->cb` once after `delay` (milliseconds). A timer that already runs is rescheduled. */
void httpd_timer_start(struct httpd *h, struct httpd_timer *t, clk_ms delay);
void httpd_timer_stop(struct httpd *h, struct httpd_timer *t);

/* Returns the number of the newest connection, counted over both ports. */
uint64_t httpd_newest_connection(const struct httpd *h);
/* While `down` is set, new and open connections of the service port are closed at once. */
void httpd_set_down(struct httpd *h, bool down);
/* Blocks the whole process for `ms`, after a short delay in which the current answer is sent. */
void httpd_freeze(struct httpd *h, clk_ms ms);

/* Returns the value of a request header, STR_NULL if absent; `name` must be lower case. */
struct str exchange_header(const struct exchange *x, const char *name);
/* Returns the undecoded value of a query parameter, STR_NULL if absent. */
struct str exchange_query(const struct exchange *x, const char *name);
/* Whether the request has this method and this path. */
bool exchange_is(const struct exchange *x, const char *method, const char *path);

/* Adds a header to the answer; the value is copied. */
void exchange_add_header(struct exchange *x, const char *name, struct str value);
/* Sends an answer; `type` is the content type, which may be NULL. The body is copied. */
void exchange_reply(struct exchange *x, int status, const char *type, struct str body);
/* Sends an answer with a JSON body; takes over the reference to `json`. */
void exchange_reply_json(struct exchange *x, int status, json_t *json);
/* Sends an answer with the JSON body {"error":...,"remedy":...}. */
void exchange_error(struct exchange *x, int status, const char *error, const char *remedy);
/* Sends half of the body, then closes the connection. */
void exchange_truncate(struct exchange *x, int status, const char *type, struct str body);
/* Closes the connection without an answer. */
void exchange_drop(struct exchange *x);

#endif
