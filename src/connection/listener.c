#include "connection/listener.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTENER_BACKLOG 1024
/* A caller that sends its request slower than this is disconnected. */
#define LISTENER_REQUEST_TIMEOUT_MS 10000

struct handler {
	h2o_handler_t super;
	struct listener *listener;
};

struct listener {
	h2o_loop_t *loop;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	h2o_socket_t *socket;
	size_t connections;
	listener_handler handler;
	void *data;
	struct listener *next_retired;
};

static int on_request(h2o_handler_t *self, h2o_req_t *req)
{
	struct listener *l = ((struct handler *)self)->listener;

	l->handler(l->data, req);
	return 0;
}

static void on_connection_closed(void *data)
{
	struct listener *l = data;

	l->connections--;
}

static void on_accept(h2o_socket_t *socket, const char *err)
{
	struct listener *l = socket->data;
	h2o_socket_t *conn;

	if (err)
		return;
	/* Bounded per turn so that a burst of new connections does not starve open ones. */
	for (int i = 0; i < 16; i++) {
		conn = h2o_evloop_socket_accept(socket);
		if (!conn)
			return;
		conn->on_close.cb = on_connection_closed;
		conn->on_close.data = l;
		l->connections++;
		h2o_accept(&l->accept, conn);
	}
}

static int open_socket(const char *ip, uint32_t port, struct err *err)
{
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int one = 1;
	int fd;

	if (inet_pton(AF_INET, ip, &sa.sin_addr) != 1) {
		err_set(err, ERR_SETTINGS, "\"%s\" is not an IP number; write it as a.b.c.d", ip);
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0) {
		err_set(err, ERR_IO, "no socket for %s:%u: %s", ip, port, strerror(errno));
		return -1;
	}
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
	    listen(fd, LISTENER_BACKLOG) != 0) {
		err_set(err, ERR_IO,
			"cannot listen on %s:%u: %s; choose a free port of this instance", ip, port,
			strerror(errno));
		close(fd);
		return -1;
	}
	return fd;
}

static void init_server(struct listener *l, size_t max_body_bytes)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct handler *handler;

	h2o_config_init(&l->config);
	l->config.server_name = h2o_iovec_init(H2O_STRLIT("bamboocroft"));
	l->config.max_request_entity_size = max_body_bytes;
	l->config.http1.req_timeout = LISTENER_REQUEST_TIMEOUT_MS;
	host = h2o_config_register_host(&l->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (struct handler *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = on_request;
	handler->listener = l;
	h2o_context_init(&l->context, l->loop, &l->config);
	l->accept.ctx = &l->context;
	l->accept.hosts = l->config.hosts;
}

struct listener *listener_create(h2o_loop_t *loop, const char *ip, uint32_t port,
				 size_t max_body_bytes, listener_handler handler, void *data,
				 struct err *err)
{
	struct listener *l;
	int fd = open_socket(ip, port, err);

	if (fd < 0)
		return NULL;
	l = calloc(1, sizeof(*l));
	l->loop = loop;
	l->handler = handler;
	l->data = data;
	/* Instances have no disk: h2o must not spill large bodies to temporary files. */
	h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
	init_server(l, max_body_bytes);
	l->socket = h2o_evloop_socket_create(loop, fd, H2O_SOCKET_FLAG_DONT_READ);
	l->socket->data = l;
	h2o_socket_read_start(l->socket, on_accept);
	return l;
}

void listener_shutdown(struct listener *l)
{
	if (l->socket) {
		h2o_socket_read_stop(l->socket);
		h2o_socket_close(l->socket);
		l->socket = NULL;
	}
	h2o_context_request_shutdown(&l->context);
}

size_t listener_connections(const struct listener *l)
{
	return l->connections;
}

/*
 * h2o cannot give a context back while timers of its connections are pending, and they are until
 * long after the last answer. A process destroys its listeners only when it ends, so they are kept
 * reachable instead.
 */
static struct listener *retired;

void listener_destroy(struct listener *l)
{
	if (!l)
		return;
	if (l->socket) {
		h2o_socket_read_stop(l->socket);
		h2o_socket_close(l->socket);
		l->socket = NULL;
	}
	l->next_retired = retired;
	retired = l;
}

void listener_reply(h2o_req_t *req, int status, const struct listener_header *headers, size_t n,
		    struct str body)
{
	req->res.status = status;
	/* HTTP/1.1 ignores the phrase; the number is what clients read. */
	req->res.reason = status < 400 ? "OK" : "Refused";
	for (size_t i = 0; i < n; i++) {
		h2o_iovec_t name = h2o_strdup(&req->pool, headers[i].name.ptr, headers[i].name.len);
		h2o_iovec_t value =
			h2o_strdup(&req->pool, headers[i].value.ptr, headers[i].value.len);

		h2o_add_header_by_str(&req->pool, &req->res.headers, name.base, name.len, 1, NULL,
				      value.base, value.len);
	}
	req->res.content_length = body.len;
	h2o_send_inline(req, body.len ? body.ptr : "", body.len);
}

struct watch {
	void (*gone)(void *data);
	void *data;
};

static void on_request_disposed(void *p)
{
	struct watch *w = p;

	w->gone(w->data);
}

void listener_watch(h2o_req_t *req, void (*gone)(void *data), void *data)
{
	struct watch *w = h2o_mem_alloc_shared(&req->pool, sizeof(*w), on_request_disposed);

	w->gone = gone;
	w->data = data;
}

struct str listener_header(const h2o_req_t *req, const char *name)
{
	ssize_t at = h2o_find_header_by_str(&req->headers, name, strlen(name), -1);
	const h2o_token_t *token;

	if (at >= 0)
		return listener_str(req->headers.entries[at].value);
	/* Well-known names are stored as tokens and are not found by string. */
	token = h2o_lookup_token(name, strlen(name));
	at = token ? h2o_find_header(&req->headers, token, -1) : -1;
	return at >= 0 ? listener_str(req->headers.entries[at].value) : STR_NULL;
}
