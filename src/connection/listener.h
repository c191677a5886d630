/* HTTP server on one address, built on h2o; every request goes to one handler function. */
#ifndef CONNECTION_LISTENER_H
#define CONNECTION_LISTENER_H

#include <stddef.h>
#include <stdint.h>

#include <h2o.h>

#include "base/arena.h"
#include "base/err.h"
#include "base/str.h"

/*
 * Must answer now or later with listener_reply() or h2o's functions. The request is gone when its
 * connection closes; see listener_watch().
 */
typedef void (*listener_handler)(void *data, h2o_req_t *req);

struct listener;

struct listener *listener_create(h2o_loop_t *loop, const char *ip, uint32_t port,
				 size_t max_body_bytes, listener_handler handler, void *data,
				 struct err *err);
/* Stops accepting; open connections finish their request and close. */
void listener_shutdown(struct listener *l);
/* Open connections. */
size_t listener_connections(const struct listener *l);
/* Only at the end of the process: open connections are not served any more. */
void listener_destroy(struct listener *l);

struct listener_header {
	struct str name;
	struct str value;
};

/* Copies headers and body. */
void listener_reply(h2o_req_t *req, int status, const struct listener_header *headers, size_t n,
		    struct str body);

/* Calls `gone` when the request is disposed of, whether or not it was answered. */
void listener_watch(h2o_req_t *req, void (*gone)(void *data), void *data);

/* Value of a request header, STR_NULL if absent. `name` is in lower case. */
struct str listener_header(const h2o_req_t *req, const char *name);

static inline struct str listener_str(h2o_iovec_t v)
{
	return (struct str){v.base, v.len};
}

#endif
