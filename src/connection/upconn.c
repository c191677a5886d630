/* HTTP client: connections, requests and pools. */
#include "connection/upconn_priv.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"

/*
 * Upper bound of the fixed text that build_head() adds: the request line's and host's separators,
 * content-length with its value, and line ends. Names and values are counted apart.
 */
#define ADDED_HEADER_BYTES 128

static uint64_t last_conn_number;
static const struct log log = {"upconn"};
CTR(ctr_opened, "upconn_opened_total", "Connections opened to upstreams and platform services.");
CTR(ctr_reused, "upconn_reused_total", "Calls that went over a connection that was kept.");
CTR(ctr_stale, "upconn_stale_total", "Kept connections that ended or held unread data.");
CTR(ctr_bad_request, "upconn_bad_request_total", "Requests refused because they were malformed.");

static const char *const result_names[] = {
	[UPCONN_OK] = "ok",
	[UPCONN_NOT_SENT] = "not-sent",
	[UPCONN_CONNECT_FAILED] = "connect-failed",
	[UPCONN_BROKE] = "broke",
	[UPCONN_TIMEOUT] = "timeout",
	[UPCONN_MISMATCH] = "mismatch",
	[UPCONN_TOO_LARGE] = "too-large",
};

const char *upconn_result_name(enum upconn_result result)
{
	return result_names[result];
}

struct str upconn_answer_header(const struct upconn_answer *a, const char *name)
{
	for (size_t i = 0; i < a->n_headers; i++) {
		if (str_eq_cstr(a->headers[i].name, name))
			return a->headers[i].value;
	}
	return STR_NULL;
}

/* ---- connections ---------------------------------------------------------------------------- */

static void idle_unlink(struct upconn_conn *c)
{
	struct upconn_pool *pool = c->pool;

	if (c->prev)
		c->prev->next = c->next;
	else
		pool->idle_conns = c->next;
	if (c->next)
		c->next->prev = c->prev;
	c->prev = NULL;
	c->next = NULL;
	pool->n_idle--;
}

static void idle_push(struct upconn_conn *c)
{
	struct upconn_pool *pool = c->pool;

	c->next = pool->idle_conns;
	if (c->next)
		c->next->prev = c;
	pool->idle_conns = c;
	pool->n_idle++;
}

static void conn_close(struct upconn_conn *c)
{
	if (c->call)
		c->call->conn = NULL;
	h2o_socket_close(c->sock);
	free(c);
}

/* Closes an idle connection on error, end or data: without a request no response is due. */
static void on_idle_event(h2o_socket_t *sock, const char *err)
{
	struct upconn_conn *c = sock->data;

	if (!err)
		err = upconn_read_some(sock);
	if (!err && sock->input->size == 0)
		return;
	ctr_inc(&ctr_stale);
	c->pool->conn_lost_at = clk_now();
	idle_unlink(c);
	conn_close(c);
}

static void on_idle_event_ignored(h2o_socket_t *sock, const char *err)
{
	(void)err;
	h2o_socket_read_stop(sock);
}

/*
 * Returns the time from which an idle connection is not reused. A server that announced its idle
 * timeout closes the connection when that has passed, so the last request has to arrive earlier.
 */
static clk_ms reuse_deadline(const struct upconn_pool *pool, clk_ms server_idle_timeout)
{
	clk_ms limit = pool->opts.idle_limit;

	if (!limit)
		return CLK_NEVER;
	if (server_idle_timeout && server_idle_timeout - UPCONN_IDLE_MARGIN_MS < limit)
		limit = server_idle_timeout - UPCONN_IDLE_MARGIN_MS;
	return clk_now() + limit;
}

/* Detaches the connection from its call, then keeps it as idle or closes it. */
static void conn_release(struct upconn_conn *c, bool reusable)
{
	struct upconn_pool *pool = c->pool;

	c->usable_until = reuse_deadline(pool, c->call->server_idle_timeout);
	c->call->conn = NULL;
	c->call = NULL;
	if (!reusable || c->generation != pool->generation || pool->n_idle >= pool->opts.max_idle) {
		conn_close(c);
		return;
	}
	c->n_completed++;
	idle_push(c);
	if (MUTANT(upconn_reuse_unread)) {
		h2o_socket_read_start(c->sock, on_idle_event_ignored);
		return;
	}
	h2o_socket_read_start(c->sock, on_idle_event);
}

/* Whether the server has closed the connection or sent data, also if the loop has not read it. */
static bool conn_is_stale(const struct upconn_conn *c)
{
	char byte;
	ssize_t n;

	if (MUTANT(upconn_reuse_unread))
		return false;
	if (c->sock->input->size)
		return true;
	n = recv(h2o_socket_get_fd(c->sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return !(n == -1 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

/* Removes and returns the most recently used idle connection, NULL if there is none. */
static struct upconn_conn *idle_pop(struct upconn_pool *pool)
{
	struct upconn_conn *c = pool->idle_conns;

	if (!c)
		return NULL;
	pool->idle_conns = c->next;
	if (c->next)
		c->next->prev = NULL;
	c->next = NULL;
	pool->n_idle--;
	return c;
}

static void idle_close_all(struct upconn_pool *pool)
{
	struct upconn_conn *c;

	while ((c = idle_pop(pool)) != NULL)
		conn_close(c);
}

/* Like idle_pop(), but closes expired and stale connections on the way. */
static struct upconn_conn *take_usable_idle(struct upconn_pool *pool)
{
	struct upconn_conn *c;

	while ((c = idle_pop(pool)) != NULL) {
		if (clk_now() < c->usable_until && !conn_is_stale(c))
			return c;
		ctr_inc(&ctr_stale);
		conn_close(c);
	}
	return NULL;
}

/* ---- end of a call -------------------------------------------------------------------------- */

static void call_unlink(struct upconn_call *call)
{
	if (call->prev)
		call->prev->next = call->next;
	else
		call->pool->calls = call->next;
	if (call->next)
		call->next->prev = call->prev;
	call->prev = NULL;
	call->next = NULL;
}

static void pool_destroy_if_retired(struct upconn_pool *pool)
{
	if (pool->retired && !pool->calls)
		upconn_pool_destroy(pool);
}

static void call_free(struct upconn_call *call)
{
	timer_release(&call->timer);
	blocks_free(&call->body);
	arena_free(&call->arena);
	free(call);
}

void upconn_call_finish(struct upconn_call *call, enum upconn_result result, bool reusable)
{
	struct upconn_answer answer = {
		.result = result,
		.sent = call->sent,
		.reused = call->reused,
		.elapsed = clk_now() - call->started_at,
	};

	if (result == UPCONN_OK) {
		answer.status = call->status;
		answer.headers = call->headers;
		answer.n_headers = call->n_headers;
		answer.body_len = call->body.len;
		answer.call = call;
		upconn_memory_note_complete(call);
	}
	if (call->conn)
		conn_release(call->conn, reusable && !call->pool->retired);
	timer_cancel(&call->timer);
	upconn_memory_release(call);
	call_unlink(call);
	pool_destroy_if_retired(call->pool);
	call->cb(call->data, &answer);
	call_free(call);
}

struct str upconn_body(const struct upconn_answer *a)
{
	return a->call ? blocks_join(&a->call->body) : STR_NULL;
}

struct blocks upconn_take_body(const struct upconn_answer *a)
{
	struct blocks body = a->call->body;

	a->call->body = (struct blocks){0};
	return body;
}

/* Reports the failure from the loop, because upconn_send() must not call the callback. */
static void call_fail_async(struct upconn_call *call, enum upconn_result result)
{
	call->failure_pending = true;
	call->failure = result;
	timer_arm(&call->timer, 0);
}

void upconn_call_abort(struct upconn_call *call, enum upconn_result result)
{
	conn_close(call->conn);
	upconn_memory_release(call);
	blocks_free(&call->body);
	call_fail_async(call, result);
}

static void on_timer(struct timer *timer, void *data)
{
	struct upconn_call *call = data;

	if (call->failure_pending) {
		upconn_call_finish(call, call->failure, false);
		return;
	}
	if (!call->sent && call->pool->opts.connect_timeout &&
	    clk_now() - call->started_at < call->req.timeout) {
		call->pool->connect_failed_at = clk_now();
		upconn_call_finish(call, UPCONN_CONNECT_FAILED, false);
		return;
	}
	upconn_call_finish(call, UPCONN_TIMEOUT, MUTANT(upconn_keep_after_timeout) && call->sent);
}

/* ---- request -------------------------------------------------------------------------------- */

static bool has_char_of(struct str s, const char *chars, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		if (s.len && memchr(s.ptr, chars[i], s.len))
			return true;
	}
	return false;
}

/* Whether only upconn may write the header: its value delimits or identifies the request. */
static bool is_framing_header(const struct upconn_request *req, const char *id_header,
			      struct str name)
{
	struct phr_header h = {.name = name.ptr, .name_len = name.len};

	return upconn_name_is(&h, "host") || upconn_name_is(&h, "content-length") ||
	       upconn_name_is(&h, "transfer-encoding") || upconn_name_is(&h, "connection") ||
	       (req->request_id.len && upconn_name_is(&h, id_header));
}

static size_t head_bytes(const struct upconn_request *req)
{
	size_t total = req->method.len + req->path.len + req->request_id.len + req->host.len;

	for (size_t i = 0; i < req->n_headers; i++)
		total += req->headers[i].name.len + req->headers[i].value.len + 4;
	return total;
}

/*
 * Returns what is wrong with the request, NULL if it may be sent. A line break or NUL in any part
 * could make the server read a second request.
 */
static const char *check_request(const struct upconn_request *req)
{
	if (!req->method.len || !req->path.len || req->path.ptr[0] != '/')
		return "it has no method or its path does not start with '/'";
	if (has_char_of(req->method, "\r\n \0", 4) || has_char_of(req->path, "\r\n \0", 4) ||
	    has_char_of(req->request_id, "\r\n\0", 3) || has_char_of(req->host, "\r\n \0", 4))
		return "method, path, host or request id contains a space, line break or NUL";
	for (size_t i = 0; i < req->n_headers; i++) {
		if (!req->headers[i].name.len || has_char_of(req->headers[i].name, "\r\n :\0", 5) ||
		    has_char_of(req->headers[i].value, "\r\n\0", 3))
			return "a header has an empty or invalid name, or a line break or NUL";
	}
	if (head_bytes(req) > UPCONN_MAX_HEAD_BYTES)
		return "its head is over 64 KiB";
	if (req->body.len > UPCONN_MAX_REQUEST_BYTES)
		return "its body is over 32 MiB";
	return NULL;
}

static struct str build_head(struct upconn_call *call)
{
	const struct upconn_request *req = &call->req;
	const char *id_header = call->pool->id_header;
	struct str host = req->host.len ? req->host : str_from(call->pool->host);
	size_t size = head_bytes(req) + host.len + strlen(id_header) + ADDED_HEADER_BYTES;
	char *buf = arena_alloc(&call->arena, size);
	size_t at = 0;

	at += (size_t)snprintf(buf, size, "%.*s %.*s HTTP/1.1\r\nhost: %.*s\r\n",
			       STR_ARG(req->method), STR_ARG(req->path), STR_ARG(host));
	if (req->request_id.len)
		at += (size_t)snprintf(buf + at, size - at, "%s: %.*s\r\n", id_header,
				       STR_ARG(req->request_id));
	for (size_t i = 0; i < req->n_headers; i++) {
		if (is_framing_header(req, id_header, req->headers[i].name))
			continue;
		at += (size_t)snprintf(buf + at, size - at, "%.*s: %.*s\r\n",
				       STR_ARG(req->headers[i].name),
				       STR_ARG(req->headers[i].value));
	}
	at += (size_t)snprintf(buf + at, size - at, "content-length: %zu\r\n\r\n", req->body.len);
	return (struct str){buf, at};
}

static void on_written(h2o_socket_t *sock, const char *err)
{
	struct upconn_conn *c = sock->data;

	/*
	 * A write error does not end the call: the response may still be readable, for example if
	 * the server refused the request before it read the whole body.
	 */
	if (c->call && !err)
		c->call->writing = false;
}

/* Writes the request. Returns false, with nothing written, if the caller's may_send() does. */
static bool call_write(struct upconn_call *call)
{
	struct str head = build_head(call);
	size_t n = call->req.body.len ? 2 : 1;

	call->write_bufs[0] = h2o_iovec_init(head.ptr, head.len);
	call->write_bufs[1] = h2o_iovec_init(call->req.body.ptr, call->req.body.len);
	if (call->req.may_send && !MUTANT(upconn_skip_may_send) && !call->req.may_send(call->data))
		return false;
	call->started_at = clk_now();
	call->sent = true;
	call->writing = true;
	h2o_socket_write(call->conn->sock, call->write_bufs, n, on_written);
	h2o_socket_read_start(call->conn->sock, upconn_on_read);
	return true;
}

/*
 * Makes the kernel end the connection if the other end acknowledges nothing for `limit` ms: sent
 * data by TCP_USER_TIMEOUT, an idle connection by keep-alive probes. 0: off.
 */
static void enable_dead_peer_detection(int fd, clk_ms limit)
{
	int on = 1;
	int probe_s = limit >= 3000 ? (int)(limit / 3000) : 1;
	int count = 2;
	unsigned int unacked_ms = (unsigned int)limit;

	if (!limit)
		return;
	if (setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on)) != 0 ||
	    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_s, sizeof(probe_s)) != 0 ||
	    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_s, sizeof(probe_s)) != 0 ||
	    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count)) != 0 ||
	    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms, sizeof(unacked_ms)) != 0)
		log_warn(&log, "cannot set TCP keep-alive probes on a connection: %s",
			 strerror(errno));
}

static void set_abortive_close(int fd)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	if (setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger)) != 0)
		log_warn(&log,
			 "cannot set SO_LINGER, a connection will be closed without reset: %s",
			 strerror(errno));
}

static void on_connect(h2o_socket_t *sock, const char *err)
{
	struct upconn_conn *c = sock->data;
	struct upconn_call *call = c->call;
	int on = 1;

	if (err) {
		c->pool->connect_failed_at = clk_now();
		upconn_call_finish(call, UPCONN_CONNECT_FAILED, false);
		return;
	}
	c->pool->connect_failed_at = 0;
	if (c->pool->opts.connect_timeout)
		timer_arm(&call->timer, call->req.timeout - (clk_now() - call->started_at));
	setsockopt(h2o_socket_get_fd(sock), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	enable_dead_peer_detection(h2o_socket_get_fd(sock), c->pool->opts.dead_peer_timeout);
	if (c->pool->opts.abort_on_close && !MUTANT(upconn_close_in_order))
		set_abortive_close(h2o_socket_get_fd(sock));
	ctr_inc(&ctr_opened);
	if (!call_write(call))
		upconn_call_finish(call, UPCONN_NOT_SENT, false);
}

/*
 * Starts to connect. Like h2o_socket_connect(), but the loop only reports that there is something
 * to read, see upconn_read_some().
 */
static h2o_socket_t *connect_socket(const struct upconn_pool *pool)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	h2o_socket_t *sock;

	if (fd == -1)
		return NULL;
	if (connect(fd, (const struct sockaddr *)&pool->address, sizeof(pool->address)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	sock = h2o_evloop_socket_create(pool->loop, fd,
					H2O_SOCKET_FLAG_DONT_READ | H2O_SOCKET_FLAG_IS_CONNECTING);
	h2o_socket_notify_write(sock, on_connect);
	return sock;
}

static void call_connect(struct upconn_call *call)
{
	struct upconn_pool *pool = call->pool;
	h2o_socket_t *sock = connect_socket(pool);
	struct upconn_conn *c;

	if (!sock) {
		call_fail_async(call, UPCONN_CONNECT_FAILED);
		return;
	}
	c = calloc(1, sizeof(*c));
	if (!c)
		abort();
	c->pool = pool;
	c->call = call;
	c->sock = sock;
	c->number = ++last_conn_number;
	c->generation = pool->generation;
	sock->data = c;
	call->conn = c;
}

struct upconn_call *upconn_send(struct upconn_pool *pool, const struct upconn_request *req,
				upconn_cb cb, void *data)
{
	struct upconn_call *call = calloc(1, sizeof(*call));
	const char *problem = check_request(req);
	struct upconn_conn *c;

	if (!call)
		abort();
	call->pool = pool;
	call->req = *req;
	call->cb = cb;
	call->data = data;
	call->started_at = clk_now();
	call->next = pool->calls;
	if (call->next)
		call->next->prev = call;
	pool->calls = call;
	timer_init(&call->timer, pool->loop, on_timer, call);
	if (problem) {
		ctr_inc(&ctr_bad_request);
		log_error(&log, "request to %s not sent: %s", pool->host, problem);
		call_fail_async(call, UPCONN_NOT_SENT);
		return call;
	}
	timer_arm(&call->timer, req->timeout);
	c = req->fresh ? NULL : take_usable_idle(pool);
	if (req->required_conn && (!c || c->number != req->required_conn)) {
		if (c)
			idle_push(c);
		call_fail_async(call, UPCONN_NOT_SENT);
		return call;
	}
	if (!c) {
		if (pool->opts.connect_timeout && pool->opts.connect_timeout < req->timeout)
			timer_arm(&call->timer, pool->opts.connect_timeout);
		call_connect(call);
		return call;
	}
	ctr_inc(&ctr_reused);
	c->call = call;
	call->conn = c;
	call->reused = true;
	if (!call_write(call)) {
		/* Nothing was written, so the connection goes back to the idle list. */
		c->n_completed--;
		conn_release(c, true);
		call_fail_async(call, UPCONN_NOT_SENT);
	}
	return call;
}

void upconn_cancel(struct upconn_call *call)
{
	if (call->conn)
		conn_close(call->conn);
	upconn_memory_release(call);
	call_unlink(call);
	pool_destroy_if_retired(call->pool);
	call_free(call);
}

bool upconn_was_sent(const struct upconn_call *call)
{
	return call->sent;
}

uint64_t upconn_call_conn(const struct upconn_call *call)
{
	return call->conn ? call->conn->number : 0;
}

/* ---- pool ----------------------------------------------------------------------------------- */

struct upconn_pool *upconn_pool_create(h2o_loop_t *loop, const char *ip, uint32_t port,
				       size_t max_idle)
{
	struct upconn_options opts = {.max_idle = max_idle};

	return upconn_pool_create_with(loop, ip, port, &opts);
}

static void set_limits(struct upconn_pool *pool, size_t max_answer)
{
	pool->max_head = UPCONN_MAX_HEAD_BYTES;
	pool->max_body = UPCONN_MAX_ANSWER_BYTES;
	if (max_answer && max_answer < pool->max_head)
		pool->max_head = max_answer;
	if (max_answer && max_answer < pool->max_body)
		pool->max_body = max_answer;
}

struct upconn_pool *upconn_pool_create_with(h2o_loop_t *loop, const char *ip, uint32_t port,
					    const struct upconn_options *opts)
{
	struct upconn_pool *pool = calloc(1, sizeof(*pool));

	if (!pool)
		abort();
	timer_setup_process();
	pool->loop = loop;
	pool->opts = *opts;
	pool->id_header = opts->id_header ? opts->id_header : "x-request-id";
	set_limits(pool, MUTANT(upconn_any_size) ? 0 : opts->max_answer);
	pool->address.sin_family = AF_INET;
	pool->address.sin_port = htons((uint16_t)port);
	/* Not expected to fail: settings and configuration check addresses when they are read. */
	if (inet_pton(AF_INET, ip, &pool->address.sin_addr) != 1)
		log_error(&log, "'%s' is not an IPv4 address; connections to it will fail", ip);
	snprintf(pool->host, sizeof(pool->host), "%.15s:%u", ip, (unsigned)(port & 0xffff));
	upconn_memory_join(pool);
	return pool;
}

uint64_t upconn_idle_conn(struct upconn_pool *pool)
{
	struct upconn_conn *next;

	for (struct upconn_conn *c = pool->idle_conns; c; c = next) {
		next = c->next;
		if (clk_now() < c->usable_until && !conn_is_stale(c))
			return c->number;
		ctr_inc(&ctr_stale);
		idle_unlink(c);
		conn_close(c);
	}
	return 0;
}

clk_ms upconn_connect_failed_at(const struct upconn_pool *pool)
{
	return pool->connect_failed_at;
}

clk_ms upconn_conn_lost_at(const struct upconn_pool *pool)
{
	return pool->conn_lost_at;
}

void upconn_pool_discard_conns(struct upconn_pool *pool)
{
	if (MUTANT(upconn_reset_keeps_idle))
		return;
	pool->generation++;
	idle_close_all(pool);
}

void upconn_pool_retire(struct upconn_pool *pool)
{
	if (!pool)
		return;
	pool->retired = true;
	idle_close_all(pool);
	pool_destroy_if_retired(pool);
}

void upconn_pool_destroy(struct upconn_pool *pool)
{
	struct upconn_call *call;

	if (!pool)
		return;
	while ((call = pool->calls) != NULL) {
		pool->calls = call->next;
		if (call->conn)
			conn_close(call->conn);
		upconn_memory_release(call);
		call_free(call);
	}
	idle_close_all(pool);
	upconn_memory_leave(pool);
	free(pool);
}
