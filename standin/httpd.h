/*
 * HTTP server shared by the stand-ins: one event loop on one thread, a service port and a control
 * port, timers, and exchanges (one request and its answer). Everything of a request is copied when
 * it arrives, so an exchange can stay open while its connection is watched for closing.
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
	clk_ms at;
	void (*cb)(struct httpd_timer *t);
	struct httpd_timer *prev;
	struct httpd_timer *next;
};

struct exchange_header {
	struct str name; /* lower case */
	struct str value;
};

/*
 * One request. It ends with exactly one of exchange_reply(), exchange_truncate(),
 * exchange_drop(), or the client's closing of the connection (then `on_gone` is called). It is
 * freed in each case.
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
	uint64_t connection; /* counted up with every accepted connection */
	bool exempt;	     /* from faults that count answers, see faults.h */
	void *user;
	void (*on_gone)(struct exchange *x); /* may be NULL */
	struct httpd_timer timer;	     /* free for the owner; stopped at the end */
	h2o_req_t *req;
	h2o_socket_t *sock;
};

typedef void (*httpd_handler)(void *data, struct exchange *x);

/* Both addresses are "ip:port". */
struct httpd *httpd_create(const char *name, const char *service_address,
			   const char *control_address, httpd_handler on_service,
			   httpd_handler on_control, void *data, struct err *err);
/* Runs until SIGTERM or SIGINT. */
void httpd_run(struct httpd *h);

/* Timers with millisecond resolution; starting a running timer moves it. */
void httpd_timer_start(struct httpd *h, struct httpd_timer *t, clk_ms delay);
void httpd_timer_stop(struct httpd *h, struct httpd_timer *t);

/* Number of the newest connection of the service port. */
uint64_t httpd_newest_connection(const struct httpd *h);
/* While down, connections to the service port are closed at once, open ones included. */
void httpd_set_down(struct httpd *h, bool down);
/* Blocks the whole process for `ms`, beginning shortly after the current answer is written. */
void httpd_freeze(struct httpd *h, clk_ms ms);

struct str exchange_header(const struct exchange *x, const char *name);
/* Value of a query parameter, STR_NULL if absent. */
struct str exchange_query(const struct exchange *x, const char *name);
bool exchange_is(const struct exchange *x, const char *method, const char *path);

/* Adds a header to the answer; the value is copied. */
void exchange_add_header(struct exchange *x, const char *name, struct str value);
void exchange_reply(struct exchange *x, int status, const char *type, struct str body);
/* Takes over the reference to `json`. */
void exchange_reply_json(struct exchange *x, int status, json_t *json);
/* JSON {"error","remedy"}. */
void exchange_error(struct exchange *x, int status, const char *error, const char *remedy);
/* Sends half of the body, then closes the connection. */
void exchange_truncate(struct exchange *x, int status, const char *type, struct str body);
/* Closes the connection without an answer. */
void exchange_drop(struct exchange *x);

#endif
