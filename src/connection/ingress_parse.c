#include "connection/ingress_priv.h"

#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "base/log.h"
#include "base/mutant.h"

#define MAX_HEADERS 100
/* Reading stops when more input than this follows a request whose response is not fully written. */
#define MAX_PIPELINED_BYTES (64u * 1024)
/* Limit on the chunk headers and trailers of a request, in addition to the limit on its body. */
#define MAX_CHUNK_OVERHEAD_BYTES (64u * 1024)

static const struct log log = {"ingress"};
CTR(ctr_requests, "ingress_requests_total", "Whole requests read from callers.");

static bool equals_ignoring_case(struct str s, const char *text)
{
	return s.len == strlen(text) && strncasecmp(s.ptr, text, s.len) == 0;
}

static bool list_has_token(struct str value, const char *token)
{
	while (value.len) {
		struct str item = str_trim(str_split(value, ',', &value));

		if (equals_ignoring_case(item, token))
			return true;
	}
	return false;
}

struct str ingress_header(const struct ingress_request *req, const char *name)
{
	for (size_t i = 0; i < req->n_headers; i++) {
		if (str_eq_cstr(req->headers[i].name, name))
			return req->headers[i].value;
	}
	return STR_NULL;
}

bool ingress_is_hop_header(struct str name)
{
	static const char *const hop[] = {"connection",
					  "keep-alive",
					  "proxy-connection",
					  "te",
					  "trailer",
					  "transfer-encoding",
					  "upgrade",
					  "content-length",
					  "expect",
					  "proxy-authenticate",
					  "proxy-authorization"};

	for (size_t i = 0; i < sizeof(hop) / sizeof(hop[0]); i++) {
		if (equals_ignoring_case(name, hop[i]))
			return true;
	}
	return false;
}

static void copy_headers(struct ingress_request *req, const struct phr_header *headers, size_t n)
{
	struct ingress_header *out = arena_alloc(&req->arena, sizeof(*out) * (n ? n : 1));

	for (size_t i = 0; i < n; i++) {
		char *name;

		out[i].name =
			arena_str(&req->arena, (struct str){headers[i].name, headers[i].name_len});
		out[i].value = str_trim(arena_str(
			&req->arena, (struct str){headers[i].value, headers[i].value_len}));
		name = (char *)out[i].name.ptr;
		for (size_t k = 0; k < out[i].name.len; k++)
			name[k] = (char)tolower((unsigned char)name[k]);
	}
	req->headers = out;
	req->n_headers = n;
}

/*
 * Sets the connection's body framing and keep-alive from the request headers. Returns 0, or the
 * status to refuse the request with and the reason in `*why`.
 */
static int read_framing(struct ingress_conn *c, int minor_version, const char **why)
{
	const struct ingress_request *req = c->req;
	bool have_length = false;
	bool have_host = false;
	size_t max_total = c->in->handlers.limits(c->in->data)->max_total_body_bytes;
	uint64_t length = 0;

	c->keep_alive = minor_version >= 1;
	c->chunked = false;
	for (size_t i = 0; i < req->n_headers; i++) {
		const struct ingress_header *h = &req->headers[i];

		if (str_eq_cstr(h->name, "content-length")) {
			if (have_length || !str_to_u64(h->value, INT64_MAX, &length)) {
				*why = "content-length is not one decimal number";
				return 400;
			}
			have_length = true;
		} else if (str_eq_cstr(h->name, "transfer-encoding")) {
			if (c->chunked || !equals_ignoring_case(h->value, "chunked")) {
				*why = "transfer-encoding other than one 'chunked'";
				return 400;
			}
			c->chunked = true;
		} else if (str_eq_cstr(h->name, "connection")) {
			if (list_has_token(h->value, "close"))
				c->keep_alive = false;
		} else if (str_eq_cstr(h->name, "host")) {
			if (have_host) {
				*why = "more than one host header";
				return 400;
			}
			have_host = true;
			c->req->host = h->value;
		}
	}
	if (have_length && c->chunked && !MUTANT(ingress_both_lengths)) {
		*why = "both content-length and transfer-encoding";
		return 400;
	}
	if (!have_host && minor_version >= 1) {
		*why = "no host header";
		return 400;
	}
	if (have_length && length > c->in->handlers.limits(c->in->data)->max_body_bytes) {
		*why = "the body is over the limit";
		return 413;
	}
	if (have_length && length && max_total && c->in->body_memory_bytes + length > max_total) {
		*why = "no memory for the body now; send it again";
		return 503;
	}
	c->body_length = c->chunked ? 0 : (size_t)length;
	return 0;
}

/* Passes the complete request to the handler. */
static void dispatch_request(struct ingress_conn *c)
{
	struct ingress *in = c->in;

	c->state = CONN_HANDLING;
	c->req->body = (struct str){c->body, c->body_len};
	c->req->body_memory = c->body;
	c->req->body_capacity = c->body_capacity;
	c->req->ingress = in;
	c->body = NULL;
	c->body_len = 0;
	c->body_capacity = 0;
	c->raw_body_bytes = 0;
	c->req->arrived = clk_now();
	ctr_inc(&ctr_requests);
	timer_cancel(&c->timer);
	in->handlers.on_request(in->data, c->req);
}

static void body_append(struct ingress_conn *c, const char *bytes, size_t len)
{
	if (!len)
		return;
	if (c->body_capacity - c->body_len < len) {
		size_t size = c->body_capacity ? c->body_capacity : 4096;

		while (size - c->body_len < len)
			size *= 2;
		if (!c->chunked)
			size = c->body_length;
		c->body = realloc(c->body, size);
		if (!c->body)
			abort();
		c->in->body_memory_bytes += size - c->body_capacity;
		c->body_capacity = size;
	}
	memcpy(c->body + c->body_len, bytes, len);
	c->body_len += len;
}

/* Reads a body with a content-length. Returns true when the body is complete. */
static bool read_length_body(struct ingress_conn *c)
{
	size_t take = c->body_length - c->body_len;

	if (take > c->sock->input->size)
		take = c->sock->input->size;
	body_append(c, c->sock->input->bytes, take);
	h2o_buffer_consume(&c->sock->input, take);
	return c->body_len == c->body_length;
}

/* Reads a chunked body. Returns true when it is complete; sets `*status` to refuse the request. */
static bool read_chunked_body(struct ingress_conn *c, int *status)
{
	size_t max = c->in->handlers.limits(c->in->data)->max_body_bytes;
	size_t start = c->body_len;
	size_t n = c->sock->input->size;
	size_t taken;
	ssize_t left;

	if (n == 0)
		return false;
	if (!MUTANT(ingress_bare_lf) &&
	    !chunk_lines_check(&c->chunk_lines, c->sock->input->bytes, n)) {
		*status = 400;
		return false;
	}
	body_append(c, c->sock->input->bytes, n);
	c->raw_body_bytes += n;
	left = phr_decode_chunked(&c->chunks, c->body + start, &n);
	c->body_len = start + n;
	if (left == -1) {
		*status = 400;
		return false;
	}
	if (c->body_len > max || c->raw_body_bytes > max + MAX_CHUNK_OVERHEAD_BYTES) {
		*status = 413;
		return false;
	}
	/* Bytes after the last chunk belong to the next request and stay in the input. */
	taken = c->sock->input->size - (left > 0 ? (size_t)left : 0);
	h2o_buffer_consume(&c->sock->input, taken);
	return left >= 0;
}

/* Whether the bodies of all requests together take more memory than allowed. */
static bool over_total_limit(const struct ingress_conn *c)
{
	size_t max = c->in->handlers.limits(c->in->data)->max_total_body_bytes;

	return max && c->in->body_memory_bytes > max;
}

static void read_body(struct ingress_conn *c)
{
	int status = 0;
	bool whole = c->chunked ? read_chunked_body(c, &status) : read_length_body(c);

	if (!status && !whole && over_total_limit(c))
		status = 503;
	if (status)
		ingress_refuse(c, status,
			       status == 413   ? "the body is over the limit"
			       : status == 503 ? "no memory for the body now; send it again"
					       : "bad chunk");
	else if (whole)
		dispatch_request(c);
}

/* Sends "100 Continue" if the caller waits for it before it sends the body. */
static void send_continue(struct ingress_conn *c)
{
	static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct str expect = ingress_header(c->req, "expect");

	if (!equals_ignoring_case(expect, "100-continue"))
		return;
	if (send(h2o_socket_get_fd(c->sock), interim, sizeof(interim) - 1,
		 MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
		log_info(&log, "cannot send 100 Continue to a caller: %s", strerror(errno));
}

/* Whether the bytes up to the first space can be a method (RFC 9110, 5.6.2). */
static bool starts_with_token(const char *bytes, size_t n)
{
	for (size_t i = 0; i < n && bytes[i] != ' '; i++) {
		if (!isalnum((unsigned char)bytes[i]) &&
		    (!bytes[i] || !strchr("!#$%&'*+-.^_`|~", bytes[i])))
			return false;
	}
	return true;
}

static void read_head(struct ingress_conn *c)
{
	size_t max = c->in->handlers.limits(c->in->data)->max_header_bytes;
	struct phr_header headers[MAX_HEADERS];
	size_t n = MAX_HEADERS;
	const char *method;
	const char *path;
	size_t method_len;
	size_t path_len;
	int minor_version;
	const char *why = NULL;
	int status;
	int len;

	if (!starts_with_token(c->sock->input->bytes, c->sock->input->size)) {
		ingress_refuse(c, 400, "the head of the request does not start with a method");
		return;
	}
	len = phr_parse_request(c->sock->input->bytes, c->sock->input->size, &method, &method_len,
				&path, &path_len, &minor_version, headers, &n, 0);
	if (len == -2 && c->sock->input->size <= max)
		return;
	if (len == -2 || len > (int)max) {
		ingress_refuse(c, 431, "the head of the request is over the limit");
		return;
	}
	if (len < 0) {
		ingress_refuse(c, 400, "the head of the request cannot be parsed");
		return;
	}
	for (size_t i = 0; i < n; i++) {
		if (!headers[i].name) {
			ingress_refuse(c, 400, "a header continues on the next line");
			return;
		}
	}
	c->req = calloc(1, sizeof(*c->req));
	if (!c->req)
		abort();
	c->req->conn = c;
	c->req->method = arena_str(&c->req->arena, (struct str){method, method_len});
	c->req->path = arena_str(&c->req->arena, (struct str){path, path_len});
	copy_headers(c->req, headers, n);
	h2o_buffer_consume(&c->sock->input, (size_t)len);
	c->state = CONN_BODY;
	c->chunks = (struct phr_chunked_decoder){.consume_trailer = 1};
	c->chunk_lines = (struct chunk_lines){0};
	status = read_framing(c, minor_version, &why);
	if (status) {
		ingress_refuse(c, status, why);
		return;
	}
	if (c->body_length || c->chunked)
		send_continue(c);
	read_body(c);
}

void ingress_read_input(struct ingress_conn *c)
{
	switch (c->state) {
	case CONN_IDLE:
		/* Empty lines before a request are ignored (RFC 9112, 2.2). */
		while (c->sock->input->size &&
		       (c->sock->input->bytes[0] == '\r' || c->sock->input->bytes[0] == '\n'))
			h2o_buffer_consume(&c->sock->input, 1);
		if (!c->sock->input->size)
			return;
		ingress_idle_remove(c);
		c->state = CONN_HEAD;
		timer_arm(&c->timer, c->in->handlers.limits(c->in->data)->header_timeout);
		read_head(c);
		break;
	case CONN_HEAD:
		read_head(c);
		break;
	case CONN_BODY:
		/* The time limit applies between two reads, so that a long body may take longer. */
		timer_arm(&c->timer, c->in->handlers.limits(c->in->data)->idle_timeout);
		read_body(c);
		break;
	case CONN_HANDLING:
	case CONN_WRITING:
		if (c->sock->input->size > MAX_PIPELINED_BYTES)
			h2o_socket_read_stop(c->sock);
		break;
	case CONN_LINGER:
		break;
	}
}

void ingress_on_read(h2o_socket_t *sock, const char *err)
{
	struct ingress_conn *c = sock->data;

	if (err) {
		ingress_conn_close(c);
		return;
	}
	ingress_read_input(c);
}
