#include "standin/httpd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <h2o/http1.h>

#include "base/log.h"
#include "connection/reason.h"

#define MAX_BODY_BYTES (64u * 1024 * 1024)
#define KEEP_ALIVE_MS 600000
#define LISTEN_BACKLOG 1024
#define MAX_WAIT_MS 200	   /* bounds the reaction to a signal that arrives before the wait */
#define FREEZE_DELAY_MS 20 /* time to send the answer to the freeze_ms switch */

static const struct log lg = {"httpd"};
static volatile sig_atomic_t stop_requested;

struct connection {
	struct httpd *httpd;
	h2o_socket_t *sock;
	uint64_t number;
	struct exchange *open_exchange; /* NULL between requests */
	bool service;			/* accepted on the service port */
	struct connection *prev;
	struct connection *next;
};

/* The service port or the control port. */
struct port {
	struct httpd *httpd;
	h2o_accept_ctx_t accept;
	h2o_hostconf_t *hosts[2];
	/* Never read. The event loop refers to the socket only through the kernel's epoll set,
	 * which the leak checker does not search: without this field it would report a leak. */
	h2o_socket_t *listener;
	bool service;
};

struct request_handler {
	h2o_handler_t super;
	struct httpd *httpd;
	httpd_handler cb;
};

struct httpd {
	h2o_globalconf_t config;
	h2o_context_t ctx;
	h2o_loop_t *loop;
	struct port service;
	struct port control;
	void *data;
	struct connection *connections;
	uint64_t last_connection;
	bool down;
	clk_ms freeze_ms;
	struct httpd_timer freeze_timer;
	struct httpd_timer *timers; /* sorted by time */
};

/* h2o generator of a body whose connection is shut down after the first half. */
struct truncated_body {
	h2o_generator_t super;
	h2o_iovec_t rest;
	h2o_socket_t *sock;
};

static void on_signal(int signo)
{
	stop_requested = 1;
}

/* ---- timers ---- */

void httpd_timer_stop(struct httpd *h, struct httpd_timer *t)
{
	if (!t->prev && !t->next && h->timers != t)
		return;
	if (t->prev)
		t->prev->next = t->next;
	else
		h->timers = t->next;
	if (t->next)
		t->next->prev = t->prev;
	t->prev = t->next = NULL;
}

void httpd_timer_start(struct httpd *h, struct httpd_timer *t, clk_ms delay)
{
	struct httpd_timer *before = NULL;
	struct httpd_timer *after = h->timers;

	httpd_timer_stop(h, t);
	t->due_at = clk_now() + (delay > 0 ? delay : 0);
	while (after && after->due_at <= t->due_at) {
		before = after;
		after = after->next;
	}
	t->prev = before;
	t->next = after;
	if (before)
		before->next = t;
	else
		h->timers = t;
	if (after)
		after->prev = t;
}

/* Calls the callbacks of all timers that are due; returns whether there was one. */
static bool run_timers(struct httpd *h)
{
	clk_ms now = clk_now();
	bool ran = false;

	while (h->timers && h->timers->due_at <= now) {
		struct httpd_timer *t = h->timers;

		httpd_timer_stop(h, t);
		t->cb(t);
		ran = true;
	}
	return ran;
}

static void freeze_now(struct httpd_timer *t)
{
	struct httpd *h = H2O_STRUCT_FROM_MEMBER(struct httpd, freeze_timer, t);
	clk_ms until = clk_now() + h->freeze_ms;

	while (!stop_requested && clk_now() < until) {
		struct timespec ts = {0, 1000000};

		nanosleep(&ts, NULL);
	}
}

void httpd_freeze(struct httpd *h, clk_ms ms)
{
	h->freeze_ms = ms;
	h->freeze_timer.cb = freeze_now;
	httpd_timer_start(h, &h->freeze_timer, FREEZE_DELAY_MS);
}

/* ---- connections ---- */

static void shutdown_socket(h2o_socket_t *sock)
{
	shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
}

static void on_connection_close(void *data)
{
	struct connection *c = data;

	if (c->prev)
		c->prev->next = c->next;
	else
		c->httpd->connections = c->next;
	if (c->next)
		c->next->prev = c->prev;
	free(c);
}

static void track_connection(struct httpd *h, h2o_socket_t *sock, bool service)
{
	struct connection *c = h2o_mem_alloc(sizeof(*c));

	*c = (struct connection){
		.httpd = h,
		.sock = sock,
		.service = service,
		.number = ++h->last_connection,
		.next = h->connections,
	};
	if (c->next)
		c->next->prev = c;
	h->connections = c;
	sock->on_close.cb = on_connection_close;
	sock->on_close.data = c;
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	struct port *port = listener->data;
	h2o_socket_t *sock;

	if (err)
		return;
	sock = h2o_evloop_socket_accept(listener);
	if (!sock)
		return;
	if (port->service && port->httpd->down) {
		h2o_socket_close(sock);
		return;
	}
	track_connection(port->httpd, sock, port->service);
	h2o_accept(&port->accept, sock);
}

uint64_t httpd_newest_connection(const struct httpd *h)
{
	return h->last_connection;
}

void httpd_set_down(struct httpd *h, bool down)
{
	h->down = down;
	if (!down)
		return;
	for (struct connection *c = h->connections; c; c = c->next) {
		if (c->service)
			shutdown_socket(c->sock);
	}
}

/* ---- exchanges ---- */

/* Frees the exchange and returns its h2o request. h2o frees that request after the answer. */
static h2o_req_t *free_exchange(struct exchange *x)
{
	h2o_req_t *req = x->req;
	struct connection *c = x->sock->on_close.data;
	struct arena arena = x->arena;

	h2o_socket_read_stop(x->sock);
	h2o_socket_dont_read(x->sock, 0);
	c->open_exchange = NULL;
	httpd_timer_stop(x->httpd, &x->timer);
	arena_free(&arena); /* holds `x` itself */
	return req;
}

/* The socket is shut down first, so that h2o's write fails and h2o closes the connection. */
void exchange_drop(struct exchange *x)
{
	h2o_req_t *req;

	shutdown_socket(x->sock);
	req = free_exchange(x);
	req->http1_is_persistent = 0;
	req->res.status = 500;
	req->res.reason = "dropped";
	h2o_send_inline(req, H2O_STRLIT("dropped"));
}

/*
 * Detects that the client closes a connection with an open exchange, and then ends the exchange.
 * The bytes of a pipelined request are left in the socket.
 */
static void on_readable(h2o_socket_t *sock, const char *err)
{
	struct connection *c = sock->on_close.data;
	struct exchange *x = c->open_exchange;
	char byte;
	ssize_t n = recv(h2o_socket_get_fd(sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (!err && n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (!err && n > 0) {
		/* The byte starts a pipelined request; h2o reads it after the present answer. */
		h2o_socket_read_stop(sock);
		return;
	}
	if (x->on_disconnect)
		x->on_disconnect(x);
	exchange_drop(x);
}

static int on_request(h2o_handler_t *self, h2o_req_t *req)
{
	struct request_handler *handler = (struct request_handler *)self;
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
	struct connection *c = sock->on_close.data;
	struct arena arena = ARENA_INIT;
	struct exchange *x = arena_alloc(&arena, sizeof(*x));
	struct str rest;

	x->httpd = handler->httpd;
	x->req = req;
	x->sock = sock;
	x->connection = c->number;
	x->method = arena_str(&arena, (struct str){req->method.base, req->method.len});
	x->path = str_split(arena_str(&arena, (struct str){req->path.base, req->path.len}), '?',
			    &rest);
	x->query = rest;
	x->body = arena_str(&arena, (struct str){req->entity.base, req->entity.len});
	x->n_headers = req->headers.size;
	x->headers = arena_alloc(&arena, sizeof(*x->headers) * (x->n_headers + 1));
	for (size_t i = 0; i < x->n_headers; i++) {
		const h2o_header_t *h = &req->headers.entries[i];

		x->headers[i].name = arena_str(&arena, (struct str){h->name->base, h->name->len});
		x->headers[i].value = arena_str(&arena, (struct str){h->value.base, h->value.len});
	}
	x->arena = arena;
	c->open_exchange = x;
	h2o_socket_dont_read(sock, 1);
	h2o_socket_read_start(sock, on_readable);
	handler->cb(handler->httpd->data, x);
	return 0;
}

struct str exchange_header(const struct exchange *x, const char *name)
{
	for (size_t i = 0; i < x->n_headers; i++) {
		if (str_eq_cstr(x->headers[i].name, name))
			return x->headers[i].value;
	}
	return STR_NULL;
}

struct str exchange_query(const struct exchange *x, const char *name)
{
	struct str rest = x->query;

	while (rest.len) {
		struct str value;
		struct str key = str_split(str_split(rest, '&', &rest), '=', &value);

		if (str_eq_cstr(key, name))
			return value;
	}
	return STR_NULL;
}

bool exchange_is(const struct exchange *x, const char *method, const char *path)
{
	return str_eq_cstr(x->method, method) && str_eq_cstr(x->path, path);
}

void exchange_add_header(struct exchange *x, const char *name, struct str value)
{
	h2o_req_t *req = x->req;
	h2o_iovec_t copy = h2o_strdup(&req->pool, value.ptr ? value.ptr : "", value.len);

	h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name), 1, NULL, copy.base,
			      copy.len);
}

static void set_status(struct exchange *x, int status, const char *type)
{
	x->req->res.status = status;
	x->req->res.reason = reason_phrase(status);
	if (type)
		exchange_add_header(x, "content-type", str_from(type));
}

void exchange_reply(struct exchange *x, int status, const char *type, struct str body)
{
	h2o_req_t *req = x->req;
	h2o_iovec_t copy = h2o_strdup(&req->pool, body.ptr ? body.ptr : "", body.len);

	set_status(x, status, type);
	/* Without a length, h2o closes the connection after every status other than 200. */
	if (status != 304)
		req->res.content_length = body.len;
	free_exchange(x);
	h2o_send_inline(req, copy.base, copy.len);
}

void exchange_reply_json(struct exchange *x, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	exchange_reply(x, status, "application/json", str_from(text));
	free(text);
}

void exchange_error(struct exchange *x, int status, const char *error, const char *remedy)
{
	exchange_reply_json(x, status, json_pack("{s:s,s:s}", "error", error, "remedy", remedy));
}

static void proceed_truncated(h2o_generator_t *self, h2o_req_t *req)
{
	struct truncated_body *t = (struct truncated_body *)self;

	shutdown_socket(t->sock);
	req->http1_is_persistent = 0;
	h2o_send(req, &t->rest, 1, H2O_SEND_STATE_FINAL);
}

static void stop_truncated(h2o_generator_t *self, h2o_req_t *req)
{
}

void exchange_truncate(struct exchange *x, int status, const char *type, struct str body)
{
	h2o_req_t *req = x->req;
	h2o_iovec_t copy = h2o_strdup(&req->pool, body.ptr ? body.ptr : "", body.len);
	struct truncated_body *t = h2o_mem_alloc_pool(&req->pool, sizeof(*t));
	h2o_iovec_t first = {copy.base, copy.len / 2};

	t->super = (h2o_generator_t){proceed_truncated, stop_truncated};
	t->rest = (h2o_iovec_t){copy.base + first.len, copy.len - first.len};
	t->sock = x->sock;
	set_status(x, status, type);
	req->res.content_length = body.len;
	free_exchange(x);
	h2o_start_response(req, &t->super);
	h2o_send(req, &first, 1, H2O_SEND_STATE_IN_PROGRESS);
}

/* ---- set-up ---- */

static bool parse_address(const char *text, struct sockaddr_in *out, struct err *err)
{
	struct str port;
	struct str ip = str_split(str_from(text), ':', &port);
	char ip_text[INET_ADDRSTRLEN];
	uint64_t number;

	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	if (ip.len < sizeof(ip_text) && str_to_u64(port, UINT16_MAX, &number) && number) {
		memcpy(ip_text, ip.ptr, ip.len);
		ip_text[ip.len] = '\0';
		out->sin_port = htons((uint16_t)number);
		if (inet_pton(AF_INET, ip_text, &out->sin_addr) == 1)
			return true;
	}
	return err_set(err, ERR_INPUT, "bad address \"%s\": give ip:port, such as 127.0.0.1:8080",
		       text);
}

static bool listen_on(struct httpd *h, struct port *port, const char *address, struct err *err)
{
	struct sockaddr_in sin;
	int fd;
	int on = 1;

	if (!parse_address(address, &sin, err))
		return false;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return err_set(err, ERR_IO, "cannot open a socket: %s", strerror(errno));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) || listen(fd, LISTEN_BACKLOG)) {
		err_set(err, ERR_IO, "cannot listen on %s: %s; choose a free address", address,
			strerror(errno));
		close(fd);
		return false;
	}
	port->httpd = h;
	port->accept.ctx = &h->ctx;
	port->accept.hosts = port->hosts;
	port->listener = h2o_evloop_socket_create(h->loop, fd, H2O_SOCKET_FLAG_DONT_READ);
	port->listener->data = port;
	h2o_socket_read_start(port->listener, on_accept);
	return true;
}

static void add_host(struct httpd *h, struct port *port, const char *name, httpd_handler cb)
{
	h2o_hostconf_t *host =
		h2o_config_register_host(&h->config, h2o_iovec_init(name, strlen(name)), 65535);
	h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
	struct request_handler *handler =
		(struct request_handler *)h2o_create_handler(path, sizeof(*handler));

	handler->super.on_req = on_request;
	handler->httpd = h;
	handler->cb = cb;
	port->hosts[0] = host;
}

struct httpd *httpd_create(const char *name, const char *service_address,
			   const char *control_address, httpd_handler on_service,
			   httpd_handler on_control, void *data, struct err *err)
{
	static struct httpd *h; /* static, so that the leak checker finds a reference to it */
	struct sigaction stop = {.sa_handler = on_signal};
	struct sigaction ignore = {.sa_handler = SIG_IGN};

	sigaction(SIGTERM, &stop, NULL);
	sigaction(SIGINT, &stop, NULL);
	sigaction(SIGPIPE, &ignore, NULL);
	h = calloc(1, sizeof(*h));
	if (!h)
		abort();
	h->data = data;
	h2o_config_init(&h->config);
	h->config.server_name = h2o_iovec_init(name, strlen(name));
	h->config.max_request_entity_size = MAX_BODY_BYTES;
	h->config.http1.req_timeout = KEEP_ALIVE_MS;
	h->config.http1.upgrade_to_http2 = 0;
	add_host(h, &h->service, "service", on_service);
	add_host(h, &h->control, "control", on_control);
	h->service.service = true;
	h->loop = h2o_evloop_create();
	h2o_context_init(&h->ctx, h->loop, &h->config);
	if (!listen_on(h, &h->service, service_address, err) ||
	    !listen_on(h, &h->control, control_address, err))
		return NULL;
	log_info(&lg, "service on %s, control on %s", service_address, control_address);
	return h;
}

void httpd_run(struct httpd *h)
{
	bool ran = false;

	while (!stop_requested) {
		/*
		 * If timers ran, they may have written answers: h2o calls back for these writes
		 * only in the next iteration of its loop, so that one must not wait.
		 */
		clk_ms wait = ran ? 0 : MAX_WAIT_MS;

		if (h->timers) {
			clk_ms remaining = h->timers->due_at - clk_now();

			if (remaining < wait)
				wait = remaining > 0 ? remaining : 0;
		}
		h2o_evloop_run(h->loop, (int32_t)wait);
		ran = run_timers(h);
	}
}
