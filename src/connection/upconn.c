#include "connection/upconn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/arena.h"
#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"
#include "connection/timer.h"

#define MAX_HEAD_BYTES (64u * 1024)
#define MAX_HEADERS 100
#define MAX_REQUEST_BODY_BYTES (32u * 1024 * 1024)
/* Chunk sizes, extensions and trailers on top of the body of a chunked answer. */
#define MAX_CHUNK_OVERHEAD_BYTES (1024u * 1024)
#define MAX_INTERIM_ANSWERS 16
/* Room for the names and the fixed parts of the headers that upconn adds to a request. */
#define OWN_HEADER_BYTES 128

/*
 * picohttpparser, which libh2o-evloop exports but does not install a header for. These are its
 * published declarations.
 */
struct phr_header {
	const char *name;
	size_t name_len;
	const char *value;
	size_t value_len;
};

struct phr_chunked_decoder {
	size_t bytes_left_in_chunk;
	char consume_trailer;
	char _hex_count;
	char _state;
};

int phr_parse_response(const char *buf, size_t len, int *minor_version, int *status,
		       const char **msg, size_t *msg_len, struct phr_header *headers,
		       size_t *num_headers, size_t last_len);
ssize_t phr_decode_chunked(struct phr_chunked_decoder *decoder, char *buf, size_t *bufsz);

static const struct log log = {"upconn"};
CTR(ctr_opened, "upconn_opened_total", "Connections opened to upstreams and platform services.");
CTR(ctr_reused, "upconn_reused_total", "Calls that went over a connection that was kept.");
CTR(ctr_garbage, "upconn_malformed_total", "Connections closed because of a malformed answer.");
CTR(ctr_too_large, "upconn_too_large_total", "Answers over the size limit.");
CTR(ctr_mismatch, "upconn_mismatch_total", "Answers to another request, discarded.");
CTR(ctr_stale, "upconn_stale_total", "Kept connections that ended or held unread data.");
CTR(ctr_refused, "upconn_bad_request_total", "Requests refused because they were malformed.");

/* A connection; `call` is NULL while it is idle. */
struct conn {
	struct upconn_pool *pool;
	struct upconn_call *call;
	h2o_socket_t *sock;
	uint64_t generation;
	uint64_t carried;  /* requests before the current one */
	struct conn *prev; /* list of idle connections, most recent first */
	struct conn *next;
};

struct upconn_pool {
	h2o_loop_t *loop;
	struct sockaddr_in address;
	char host[INET_ADDRSTRLEN + 8];
	size_t max_idle;
	size_t n_idle;
	struct conn *idle;
	struct upconn_call *calls;
	uint64_t generation;
};

enum framing { FRAMING_NONE, FRAMING_LENGTH, FRAMING_CHUNKED };

struct upconn_call {
	struct upconn_pool *pool;
	struct upconn_request req;
	upconn_cb cb;
	void *data;
	struct conn *conn;
	struct timer timer;
	clk_ms started;
	bool sent;
	bool reused;
	bool writing;
	/* Set when the outcome is known before the call could return; the timer reports it. */
	bool failed;
	enum upconn_result failure;

	struct arena arena;
	h2o_iovec_t out[2];
	bool have_head;
	bool keep_alive;
	int status;
	unsigned interim;
	struct upconn_header *headers;
	size_t n_headers;
	enum framing framing;
	size_t expected; /* body length announced by the answer */
	struct phr_chunked_decoder chunks;
	char *body;
	size_t body_len;
	size_t body_size;
	size_t raw_body; /* bytes received for the body, with chunk framing */

	struct upconn_call *prev;
	struct upconn_call *next;
};

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

static void idle_unlink(struct conn *c)
{
	struct upconn_pool *pool = c->pool;

	if (c->prev)
		c->prev->next = c->next;
	else
		pool->idle = c->next;
	if (c->next)
		c->next->prev = c->prev;
	c->prev = NULL;
	c->next = NULL;
	pool->n_idle--;
}

static void conn_close(struct conn *c)
{
	if (c->call)
		c->call->conn = NULL;
	h2o_socket_close(c->sock);
	free(c);
}

/* Nothing may arrive on an idle connection: data would be the answer to nobody's request. */
static void on_idle_event(h2o_socket_t *sock, const char *err)
{
	struct conn *c = sock->data;

	if (!err && sock->input->size == 0)
		return;
	ctr_inc(&ctr_stale);
	idle_unlink(c);
	conn_close(c);
}

static void on_idle_event_ignored(h2o_socket_t *sock, const char *err)
{
	(void)err;
	h2o_socket_read_stop(sock);
}

/* Gives the connection up after a whole answer, or keeps it if nothing speaks against that. */
static void conn_release(struct conn *c, bool reusable)
{
	struct upconn_pool *pool = c->pool;

	c->call->conn = NULL;
	c->call = NULL;
	if (!reusable || c->generation != pool->generation || pool->n_idle >= pool->max_idle) {
		conn_close(c);
		return;
	}
	c->carried++;
	c->next = pool->idle;
	if (c->next)
		c->next->prev = c;
	pool->idle = c;
	pool->n_idle++;
	if (MUTANT(upconn_reuse_unread)) {
		h2o_socket_read_start(c->sock, on_idle_event_ignored);
		return;
	}
	h2o_socket_read_start(c->sock, on_idle_event);
}

/* True if the peer has closed the connection or sent something that the loop has not seen yet. */
static bool conn_is_stale(const struct conn *c)
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

/* Most recently used idle connection, NULL if there is none. */
static struct conn *idle_pop(struct upconn_pool *pool)
{
	struct conn *c = pool->idle;

	if (!c)
		return NULL;
	pool->idle = c->next;
	if (c->next)
		c->next->prev = NULL;
	c->next = NULL;
	pool->n_idle--;
	return c;
}

static void idle_close_all(struct upconn_pool *pool)
{
	struct conn *c;

	while ((c = idle_pop(pool)) != NULL)
		conn_close(c);
}

static struct conn *take_idle(struct upconn_pool *pool)
{
	struct conn *c;

	while ((c = idle_pop(pool)) != NULL) {
		if (!conn_is_stale(c))
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

static void call_free(struct upconn_call *call)
{
	timer_release(&call->timer);
	free(call->body);
	arena_free(&call->arena);
	free(call);
}

/*
 * Ends the call: first settles the connection, then reports. The pool and the call's connection
 * must not be used afterwards, since the callback may release them.
 */
static void call_finish(struct upconn_call *call, enum upconn_result result, bool reusable)
{
	struct upconn_answer answer = {
		.result = result,
		.sent = call->sent,
		.reused = call->reused,
		.elapsed = clk_now() - call->started,
	};

	if (result == UPCONN_OK) {
		answer.status = call->status;
		answer.headers = call->headers;
		answer.n_headers = call->n_headers;
		answer.body = (struct str){call->body, call->body_len};
	}
	if (call->conn)
		conn_release(call->conn, reusable);
	timer_cancel(&call->timer);
	call_unlink(call);
	call->cb(call->data, &answer);
	call_free(call);
}

/* Reports from the loop, because a callback must not come from within upconn_send(). */
static void call_fail_later(struct upconn_call *call, enum upconn_result result)
{
	call->failed = true;
	call->failure = result;
	timer_arm(&call->timer, 0);
}

static void on_timer(struct timer *timer, void *data)
{
	struct upconn_call *call = data;

	if (call->failed) {
		call_finish(call, call->failure, false);
		return;
	}
	call_finish(call, UPCONN_TIMEOUT, MUTANT(upconn_keep_after_timeout) && call->sent);
}

static void call_malformed(struct upconn_call *call, const char *what)
{
	ctr_inc(&ctr_garbage);
	log_error(&log, "closed the connection to %s: %s; check that it is an HTTP/1.1 server",
		  call->pool->host, what);
	call_finish(call, UPCONN_BROKE, false);
}

static void call_too_large(struct upconn_call *call, const char *what)
{
	ctr_inc(&ctr_too_large);
	log_error(&log, "closed the connection to %s: %s", call->pool->host, what);
	call_finish(call, UPCONN_TOO_LARGE, false);
}

/* ---- answer --------------------------------------------------------------------------------- */

static bool name_is(const struct phr_header *h, const char *name)
{
	size_t len = strlen(name);

	return h->name_len == len && strncasecmp(h->name, name, len) == 0;
}

static bool value_is(const struct phr_header *h, const char *value)
{
	size_t len = strlen(value);

	return h->value_len == len && strncasecmp(h->value, value, len) == 0;
}

/* True if the comma-separated value names `token`. */
static bool value_lists(const struct phr_header *h, const char *token)
{
	struct str rest = {h->value, h->value_len};

	while (rest.len) {
		struct str item = str_split(rest, ',', &rest);

		while (item.len && (*item.ptr == ' ' || *item.ptr == '\t')) {
			item.ptr++;
			item.len--;
		}
		while (item.len &&
		       (item.ptr[item.len - 1] == ' ' || item.ptr[item.len - 1] == '\t'))
			item.len--;
		if (item.len == strlen(token) && strncasecmp(item.ptr, token, item.len) == 0)
			return true;
	}
	return false;
}

/*
 * How the end of the body is recognised. An answer that ends with the connection is refused,
 * since its end cannot be told from a connection that broke.
 */
static const char *read_framing(struct upconn_call *call, const struct phr_header *headers,
				size_t n, int minor_version)
{
	bool have_length = false;
	uint64_t length = 0;

	call->keep_alive = minor_version >= 1;
	call->framing = FRAMING_NONE;
	for (size_t i = 0; i < n; i++) {
		const struct phr_header *h = &headers[i];

		if (!h->name)
			return "the answer has a header that continues on the next line";
		if (name_is(h, "content-length")) {
			struct str text = {h->value, h->value_len};

			if (have_length)
				return "the answer has more than one content-length";
			if (!str_to_u64(text, UINT64_MAX, &length))
				return "the answer's content-length is not a number";
			have_length = true;
		} else if (name_is(h, "transfer-encoding")) {
			if (!value_is(h, "chunked") || call->framing == FRAMING_CHUNKED)
				return "the answer's transfer-encoding is not chunked";
			call->framing = FRAMING_CHUNKED;
		} else if (name_is(h, "connection") && value_lists(h, "close")) {
			call->keep_alive = false;
		}
	}
	if (have_length && call->framing == FRAMING_CHUNKED)
		return "the answer has both content-length and transfer-encoding";
	if (str_eq_cstr(call->req.method, "HEAD") || call->status == 204 || call->status == 304) {
		call->framing = FRAMING_NONE;
		return NULL;
	}
	if (have_length) {
		call->framing = FRAMING_LENGTH;
		call->expected = length > SIZE_MAX ? SIZE_MAX : (size_t)length;
		return NULL;
	}
	if (call->framing != FRAMING_CHUNKED)
		return "the answer has neither content-length nor transfer-encoding, so that its "
		       "end cannot be recognised";
	return NULL;
}

static void copy_headers(struct upconn_call *call, const struct phr_header *headers, size_t n)
{
	call->headers = arena_alloc(&call->arena, sizeof(*call->headers) * (n ? n : 1));
	call->n_headers = n;
	for (size_t i = 0; i < n; i++) {
		struct str name =
			arena_str(&call->arena, (struct str){headers[i].name, headers[i].name_len});
		char *c = (char *)name.ptr;

		for (size_t k = 0; k < name.len; k++) {
			if (c[k] >= 'A' && c[k] <= 'Z')
				c[k] += 'a' - 'A';
		}
		call->headers[i].name = name;
		call->headers[i].value = arena_str(
			&call->arena, (struct str){headers[i].value, headers[i].value_len});
	}
}

static bool id_matches(const struct upconn_call *call)
{
	struct str echo = STR_NULL;
	bool found = false;

	if (!call->req.request_id.len || MUTANT(upconn_accept_other_id))
		return true;
	for (size_t i = 0; i < call->n_headers; i++) {
		if (!str_eq_cstr(call->headers[i].name, "x-request-id"))
			continue;
		if (found)
			return false;
		found = true;
		echo = call->headers[i].value;
	}
	return found && str_eq(echo, call->req.request_id);
}

enum step { STEP_MORE, STEP_GO_ON, STEP_ENDED };

/* Parses the head at the start of the input. STEP_ENDED: the call is finished and freed. */
static enum step read_head(struct upconn_call *call, h2o_socket_t *sock)
{
	struct phr_header headers[MAX_HEADERS];
	size_t n = MAX_HEADERS;
	int minor_version = 0;
	int status = 0;
	const char *msg;
	size_t msg_len;
	const char *wrong;
	int len;

	len = phr_parse_response(sock->input->bytes, sock->input->size, &minor_version, &status,
				 &msg, &msg_len, headers, &n, 0);
	if (len == -2 && sock->input->size <= MAX_HEAD_BYTES)
		return STEP_MORE;
	if (len == -2 || len > (int)MAX_HEAD_BYTES) {
		call_too_large(call, "the head of the answer is over 64 KiB");
		return STEP_ENDED;
	}
	if (len < 0) {
		call_malformed(call, "the head of the answer cannot be parsed");
		return STEP_ENDED;
	}
	if (status >= 100 && status < 200) {
		if (status == 101 || ++call->interim > MAX_INTERIM_ANSWERS) {
			call_malformed(call, "unexpected interim answer");
			return STEP_ENDED;
		}
		h2o_buffer_consume(&sock->input, (size_t)len);
		return sock->input->size ? STEP_GO_ON : STEP_MORE;
	}
	call->status = status;
	wrong = read_framing(call, headers, n, minor_version);
	if (wrong) {
		call_malformed(call, wrong);
		return STEP_ENDED;
	}
	copy_headers(call, headers, n);
	h2o_buffer_consume(&sock->input, (size_t)len);
	call->have_head = true;
	call->chunks = (struct phr_chunked_decoder){.consume_trailer = 1};
	if (!id_matches(call)) {
		ctr_inc(&ctr_mismatch);
		log_error(&log,
			  "%s answered with another x-request-id; the answer was discarded and "
			  "the connection closed",
			  call->pool->host);
		call_finish(call, UPCONN_MISMATCH, false);
		return STEP_ENDED;
	}
	if (call->framing == FRAMING_LENGTH && call->expected > UPCONN_MAX_ANSWER_BYTES) {
		call_too_large(call, "the body of the answer is over 32 MiB");
		return STEP_ENDED;
	}
	return STEP_GO_ON;
}

static void body_append(struct upconn_call *call, const char *bytes, size_t len)
{
	if (!len)
		return;
	if (call->body_size - call->body_len < len) {
		size_t size = call->body_size ? call->body_size : 4096;

		while (size - call->body_len < len)
			size *= 2;
		if (call->framing == FRAMING_LENGTH && size > call->expected)
			size = call->expected;
		call->body = realloc(call->body, size);
		if (!call->body)
			abort();
		call->body_size = size;
	}
	memcpy(call->body + call->body_len, bytes, len);
	call->body_len += len;
}

/* True if the call ended. */
static bool read_chunks(struct upconn_call *call, h2o_socket_t *sock)
{
	size_t start = call->body_len;
	size_t n = sock->input->size;
	ssize_t left;

	call->raw_body += n;
	body_append(call, sock->input->bytes, n);
	h2o_buffer_consume(&sock->input, n);
	if (n == 0)
		return false;
	left = phr_decode_chunked(&call->chunks, call->body + start, &n);
	call->body_len = start + n;
	if (left == -1) {
		call_malformed(call, "the answer's chunks cannot be parsed");
		return true;
	}
	if (call->body_len > UPCONN_MAX_ANSWER_BYTES ||
	    call->raw_body > UPCONN_MAX_ANSWER_BYTES + MAX_CHUNK_OVERHEAD_BYTES) {
		call_too_large(call, "the body of the answer is over 32 MiB");
		return true;
	}
	if (left < 0)
		return false;
	call_finish(call, UPCONN_OK,
		    call->keep_alive && !call->writing &&
			    (left == 0 || MUTANT(upconn_reuse_unread)));
	return true;
}

/* True if the call ended. */
static bool read_body(struct upconn_call *call, h2o_socket_t *sock)
{
	size_t take = 0;
	bool clean;

	if (call->framing == FRAMING_CHUNKED)
		return read_chunks(call, sock);
	if (call->framing == FRAMING_LENGTH) {
		take = call->expected - call->body_len;
		if (take > sock->input->size)
			take = sock->input->size;
		body_append(call, sock->input->bytes, take);
		h2o_buffer_consume(&sock->input, take);
		if (call->body_len < call->expected)
			return false;
	}
	/* Bytes after the answer, or an answer before the whole request: not used again. */
	clean = sock->input->size == 0 || MUTANT(upconn_reuse_unread);
	call_finish(call, UPCONN_OK, call->keep_alive && !call->writing && clean);
	return true;
}

static void on_read(h2o_socket_t *sock, const char *err)
{
	struct conn *c = sock->data;
	struct upconn_call *call = c->call;

	while (!call->have_head && sock->input->size) {
		enum step step = read_head(call, sock);

		if (step == STEP_ENDED)
			return;
		if (step == STEP_MORE)
			break;
	}
	/* An error can come together with the last data; the answer may be whole all the same. */
	if (err)
		call->keep_alive = false;
	if (call->have_head && read_body(call, sock))
		return;
	if (!err)
		return;
	if (MUTANT(upconn_accept_truncated) && call->have_head)
		call_finish(call, UPCONN_OK, false);
	else
		call_finish(call, UPCONN_BROKE, false);
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

/* These decide where a request ends, so that only upconn writes them. */
static bool is_framing_header(const struct upconn_request *req, struct str name)
{
	struct phr_header h = {.name = name.ptr, .name_len = name.len};

	return name_is(&h, "host") || name_is(&h, "content-length") ||
	       name_is(&h, "transfer-encoding") || name_is(&h, "connection") ||
	       (req->request_id.len && name_is(&h, "x-request-id"));
}

static size_t head_bytes(const struct upconn_request *req)
{
	size_t total = req->method.len + req->path.len + req->request_id.len;

	for (size_t i = 0; i < req->n_headers; i++)
		total += req->headers[i].name.len + req->headers[i].value.len + 4;
	return total;
}

/* A line break or NUL in any part could start a second request on the connection. */
static const char *check_request(const struct upconn_request *req)
{
	if (!req->method.len || !req->path.len || req->path.ptr[0] != '/')
		return "it has no method or its path does not start with '/'";
	if (has_char_of(req->method, "\r\n \0", 4) || has_char_of(req->path, "\r\n \0", 4) ||
	    has_char_of(req->request_id, "\r\n\0", 3))
		return "method, path or request id contain a space, line break or NUL";
	for (size_t i = 0; i < req->n_headers; i++) {
		if (!req->headers[i].name.len || has_char_of(req->headers[i].name, "\r\n :\0", 5) ||
		    has_char_of(req->headers[i].value, "\r\n\0", 3))
			return "a header contains a line break or NUL";
	}
	if (head_bytes(req) > MAX_HEAD_BYTES)
		return "its head is over 64 KiB";
	if (req->body.len > MAX_REQUEST_BODY_BYTES)
		return "its body is over 32 MiB";
	return NULL;
}

static struct str build_head(struct upconn_call *call)
{
	const struct upconn_request *req = &call->req;
	size_t size = head_bytes(req) + sizeof(call->pool->host) + OWN_HEADER_BYTES;
	char *buf = arena_alloc(&call->arena, size);
	size_t at = 0;

	at += (size_t)snprintf(buf, size, "%.*s %.*s HTTP/1.1\r\nhost: %s\r\n",
			       STR_ARG(req->method), STR_ARG(req->path), call->pool->host);
	if (req->request_id.len)
		at += (size_t)snprintf(buf + at, size - at, "x-request-id: %.*s\r\n",
				       STR_ARG(req->request_id));
	for (size_t i = 0; i < req->n_headers; i++) {
		if (is_framing_header(req, req->headers[i].name))
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
	struct conn *c = sock->data;

	/* The answer may still be readable, for example a refusal before the whole body was read.
	 */
	if (c->call && !err)
		c->call->writing = false;
}

/* Asks may_send() and writes. False: refused, the connection was not touched. */
static bool call_write(struct upconn_call *call)
{
	struct str head = build_head(call);
	size_t n = call->req.body.len ? 2 : 1;

	call->out[0] = h2o_iovec_init(head.ptr, head.len);
	call->out[1] = h2o_iovec_init(call->req.body.ptr, call->req.body.len);
	if (call->req.may_send && !MUTANT(upconn_skip_may_send) && !call->req.may_send(call->data))
		return false;
	call->started = clk_now();
	call->sent = true;
	call->writing = true;
	h2o_socket_write(call->conn->sock, call->out, n, on_written);
	h2o_socket_read_start(call->conn->sock, on_read);
	return true;
}

static void on_connect(h2o_socket_t *sock, const char *err)
{
	struct conn *c = sock->data;
	struct upconn_call *call = c->call;
	int on = 1;

	if (err) {
		call_finish(call, UPCONN_CONNECT_FAILED, false);
		return;
	}
	setsockopt(h2o_socket_get_fd(sock), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	ctr_inc(&ctr_opened);
	if (!call_write(call))
		call_finish(call, UPCONN_NOT_SENT, false);
}

static void call_connect(struct upconn_call *call)
{
	struct upconn_pool *pool = call->pool;
	h2o_socket_t *sock = h2o_socket_connect(pool->loop, (struct sockaddr *)&pool->address,
						sizeof(pool->address), on_connect);
	struct conn *c;

	if (!sock) {
		call_fail_later(call, UPCONN_CONNECT_FAILED);
		return;
	}
	c = calloc(1, sizeof(*c));
	if (!c)
		abort();
	c->pool = pool;
	c->call = call;
	c->sock = sock;
	c->generation = pool->generation;
	sock->data = c;
	call->conn = c;
}

struct upconn_call *upconn_send(struct upconn_pool *pool, const struct upconn_request *req,
				upconn_cb cb, void *data)
{
	struct upconn_call *call = calloc(1, sizeof(*call));
	const char *wrong = check_request(req);
	struct conn *c;

	if (!call)
		abort();
	call->pool = pool;
	call->req = *req;
	call->cb = cb;
	call->data = data;
	call->started = clk_now();
	call->next = pool->calls;
	if (call->next)
		call->next->prev = call;
	pool->calls = call;
	timer_init(&call->timer, pool->loop, on_timer, call);
	if (wrong) {
		ctr_inc(&ctr_refused);
		log_error(&log, "request to %s not sent: %s", pool->host, wrong);
		call_fail_later(call, UPCONN_NOT_SENT);
		return call;
	}
	timer_arm(&call->timer, req->timeout);
	c = req->fresh ? NULL : take_idle(pool);
	if (!c) {
		call_connect(call);
		return call;
	}
	ctr_inc(&ctr_reused);
	c->call = call;
	call->conn = c;
	call->reused = true;
	if (!call_write(call)) {
		/* Nothing was written, so the connection is as good as before. */
		c->carried--;
		conn_release(c, true);
		call_fail_later(call, UPCONN_NOT_SENT);
	}
	return call;
}

void upconn_cancel(struct upconn_call *call)
{
	if (call->conn)
		conn_close(call->conn);
	call_unlink(call);
	call_free(call);
}

bool upconn_was_sent(const struct upconn_call *call)
{
	return call->sent;
}

/* ---- pool ----------------------------------------------------------------------------------- */

struct upconn_pool *upconn_pool_create(h2o_loop_t *loop, const char *ip, uint32_t port,
				       size_t max_idle)
{
	struct upconn_pool *pool = calloc(1, sizeof(*pool));

	if (!pool)
		abort();
	timer_setup_process();
	pool->loop = loop;
	pool->max_idle = max_idle;
	pool->address.sin_family = AF_INET;
	pool->address.sin_port = htons((uint16_t)port);
	/* The settings and the configuration have checked it; the zero address is never dialled. */
	if (inet_pton(AF_INET, ip, &pool->address.sin_addr) != 1)
		log_error(&log, "'%s' is not an IPv4 number; connections to it will fail", ip);
	snprintf(pool->host, sizeof(pool->host), "%.15s:%u", ip, (unsigned)(port & 0xffff));
	return pool;
}

void upconn_reset(struct upconn_pool *pool)
{
	if (MUTANT(upconn_reset_keeps_idle))
		return;
	pool->generation++;
	idle_close_all(pool);
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
		call_free(call);
	}
	idle_close_all(pool);
	free(pool);
}
