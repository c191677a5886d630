/* HTTP server on one address for the routers' callers and operators; one handler for all requests.
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
 * Must answer now or later with listener_reply(). The request stays valid until the loop's next
 * turn after the answer, or after its connection closed; see listener_set_end_callback().
 */
typedef void (*listener_handler)(void *data, struct ingress_request *req);

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

/* Copies headers and body. */
void listener_reply(struct ingress_request *req, int status, const struct ingress_header *headers,
		    size_t n, struct str body);

/* Calls `gone` when the request ends, whether or not it was answered; never from listener_reply().
 */
void listener_set_end_callback(struct ingress_request *req, void (*gone)(void *data), void *data);

#endif
