/*
 * HTTP server of a router, for callers or for operators. It is an ingress (ingress.h) with fixed
 * limits that passes all requests to one handler and frees each request after it has ended.
 */
#ifndef CONNECTION_LISTENER_H
#define CONNECTION_LISTENER_H

#include <stddef.h>
#include <stdint.h>

#include <h2o.h>

#include "base/err.h"
#include "base/str.h"
#include "connection/ingress.h"

/*
 * Handles a request; must respond with listener_reply(), now or later. The request ends with that
 * call or when its connection closes. It is freed in the loop's next iteration after that; see
 * listener_set_end_callback().
 */
typedef void (*listener_handler)(void *data, struct ingress_request *req);

struct listener;

/* Listens on ip:port. Returns NULL and sets `err` if that fails. */
struct listener *listener_create(h2o_loop_t *loop, const char *ip, uint32_t port,
				 size_t max_body_bytes, listener_handler handler, void *data,
				 struct err *err);
/* Stops accepting connections; each open one closes after the response to its current request. */
void listener_shutdown(struct listener *l);
/* Returns the number of requests of which a byte has come and whose response is not yet written. */
size_t listener_open_requests(const struct listener *l);
/* Returns the number of open connections. */
size_t listener_connections(const struct listener *l);
/* Closes all connections, also those with open requests: only for the end of the process. */
void listener_destroy(struct listener *l);

/* Sends the response and ends the request; headers and body are copied. */
void listener_reply(struct ingress_request *req, int status, const struct ingress_header *headers,
		    size_t n, struct str body);

/*
 * Sets a function to call once the request has ended, with or without a response, before it is
 * freed. It is called from the loop or listener_destroy(), never from listener_reply().
 */
void listener_set_end_callback(struct ingress_request *req, void (*on_end)(void *data), void *data);

#endif
