#include "connection/ingress_priv.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/mutant.h"

/* Headers of a request for which no memory is allocated while they are parsed. */
#define FEW_HEADERS 100
/* Limit on the chunk headers and trailers of a request, in addition to the limit on its body. */
#define MAX_CHUNK_OVERHEAD_BYTES (64u * 1024)

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
	if (have_length && length > ingress_limits(c)->max_body_bytes) {
		*why = "the body is over the limit";
		return 413;
	}
	if (have_length && length && !ingress_admit(c, length)) {
		*why = "no memory for the body now; send it again";
		return 503;
	}
	c->body_length = c->chunked ? 0 : (size_t)length;
	door_count(c->in->door, &c->req->counted, c->req->counted + c->body_length);
	return 0;
}

/* Called with the last byte of the request. */
static void end_request(struct ingress_conn *c)
{
	c->req->body = (struct str){c->body, c->body_len};
	c->req->body_memory = c->body;
	c->body = NULL;
	c->body_len = 0;
	c->body_capacity = 0;
	c->raw_body_bytes = 0;
	c->req->arrived = clk_now();
	ctr_inc(&ctr_requests);
	timer_cancel(&c->timer);
	ingress_dispatch(c);
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
		/* An announced body was counted whole with its head. */
		if (c->chunked)
			door_count(c->in->door, &c->req->counted,
				   c->req->counted + size - c->body_capacity);
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
	size_t max = ingress_limits(c)->max_body_bytes;
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

static bool read_body(struct ingress_conn *c)
{
	int status = 0;
	bool whole;

	c->body_read_at = clk_now();
	/* A chunked body announces no length, so that each part is admitted for itself. */
	if (c->chunked && !ingress_admit(c, c->sock->input->size))
		status = 503;
	whole = !status && (c->chunked ? read_chunked_body(c, &status) : read_length_body(c));
	if (status)
		ingress_refuse(c, status,
			       status == 413   ? "the body is over the limit"
			       : status == 503 ? "no memory for the body now; send it again"
					       : "bad chunk");
	else if (whole)
		end_request(c);
	else
		ingress_count_input(c);
	return whole && !status;
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

/* The parts of a request head, in the input buffer. */
struct head {
	struct str method;
	struct str path;
	int minor_version;
	struct phr_header *headers;
	size_t n_headers;
};

/* Parses the head; returns its length, -1 if it is malformed, -2 if it is incomplete. */
static int parse_head(struct ingress_conn *c, struct head *head, size_t max_headers)
{
	const h2o_buffer_t *input = c->sock->input;

	head->n_headers = max_headers;
	return phr_parse_request(input->bytes, input->size, &head->method.ptr, &head->method.len,
				 &head->path.ptr, &head->path.len, &head->minor_version,
				 head->headers, &head->n_headers,
				 MUTANT(ingress_head_again) ? 0 : c->head_seen);
}

/* Returns the number of lines in the input that may be headers. */
static size_t count_lines(const h2o_buffer_t *input)
{
	size_t n = 0;

	for (size_t i = 0; i < input->size; i++)
		n += input->bytes[i] == '\n';
	return n;
}

/* Returns what is wrong with the parsed head, NULL if nothing is; sets `*status`. */
static const char *check_head(const struct ingress_conn *c, const struct head *head, int len,
			      int *status)
{
	*status = 431;
	if (len == -2 || len > (int)ingress_limits(c)->max_header_bytes)
		return "the head of the request is over the limit";
	*status = 400;
	if (len < 0)
		return "the head of the request cannot be parsed";
	for (size_t i = 0; i < head->n_headers; i++) {
		if (!head->headers[i].name)
			return "a header continues on the next line";
	}
	return NULL;
}

/* Begins the request whose head was parsed. Returns false if it was refused. */
static bool take_head(struct ingress_conn *c, const struct head *head, size_t len)
{
	const char *why = NULL;
	int status;

	c->req = calloc(1, sizeof(*c->req));
	if (!c->req)
		abort();
	c->req->door = c->in->door;
	if (!ingress_admit(c, door_head_bytes(len, head->n_headers))) {
		ingress_refuse(c, 503, "no memory for the request now; send it again");
		return false;
	}
	door_count(c->in->door, &c->req->counted, door_head_bytes(len, head->n_headers));
	c->req->method = arena_str(&c->req->arena, head->method);
	c->req->path = arena_str(&c->req->arena, head->path);
	copy_headers(c->req, head->headers, head->n_headers);
	h2o_buffer_consume(&c->sock->input, len);
	c->state = CONN_BODY;
	c->chunks = (struct phr_chunked_decoder){.consume_trailer = 1};
	c->chunk_lines = (struct chunk_lines){0};
	status = read_framing(c, head->minor_version, &why);
	if (status)
		ingress_refuse(c, status, why);
	return !status;
}

/* Reads a request head, and its body as far as it has come. Returns true if the request is whole.
 */
static bool read_head(struct ingress_conn *c)
{
	struct phr_header few[FEW_HEADERS];
	struct phr_header *many = NULL;
	struct head head = {.headers = few};
	const char *why;
	bool taken = false;
	int status;
	int len;

	if (!starts_with_token(c->sock->input->bytes, c->sock->input->size)) {
		ingress_refuse(c, 400, "the head of the request does not start with a method");
		return false;
	}
	len = parse_head(c, &head, FEW_HEADERS);
	if (len == -1 && head.n_headers == FEW_HEADERS && !MUTANT(ingress_few_headers)) {
		size_t lines = count_lines(c->sock->input);

		head.headers = many = calloc(lines + 1, sizeof(*many));
		if (!many)
			abort();
		len = parse_head(c, &head, lines + 1);
	}
	if (len == -2 && c->sock->input->size <= ingress_limits(c)->max_header_bytes) {
		c->head_seen = c->sock->input->size;
		free(many);
		return false;
	}
	c->head_seen = 0;
	why = check_head(c, &head, len, &status);
	if (why)
		ingress_refuse(c, status, why);
	else
		taken = take_head(c, &head, (size_t)len);
	free(many);
	if (!taken)
		return false;
	c->continue_due = (c->body_length || c->chunked) &&
			  equals_ignoring_case(ingress_header(c->req, "expect"), "100-continue");
	ingress_write_next(c);
	return read_body(c);
}

/* Begins to read a request if input of it has come and it may be read now. */
static bool begin_head(struct ingress_conn *c)
{
	if (!ingress_may_read_ahead(c))
		return false;
	/* Empty lines before a request are ignored (RFC 9112, 2.2). */
	while (c->sock->input->size &&
	       (c->sock->input->bytes[0] == '\r' || c->sock->input->bytes[0] == '\n'))
		h2o_buffer_consume(&c->sock->input, 1);
	if (!c->sock->input->size)
		return false;
	ingress_idle_remove(c);
	c->state = CONN_HEAD;
	c->head_seen = 0;
	timer_arm(&c->timer, ingress_limits(c)->header_timeout);
	return true;
}

/* Reads the next part of the input. Returns true if a request was whole, so that another may
 * follow. */
static bool read_step(struct ingress_conn *c)
{
	switch (c->state) {
	case CONN_IDLE:
		return begin_head(c) && read_head(c);
	case CONN_HEAD:
		return read_head(c);
	case CONN_BODY:
		/* The time limit applies between two reads, so that a long body may take longer. */
		timer_arm(&c->timer, ingress_limits(c)->idle_timeout);
		return read_body(c);
	case CONN_HELD:
	case CONN_ENDED:
	case CONN_LINGER:
		break;
	}
	return false;
}

void ingress_read_input(struct ingress_conn *c)
{
	ingress_conn_hold(c);
	while (read_step(c) && !c->closed && c->sock->input->size)
		;
	if (ingress_conn_release(c))
		ingress_count_input(c);
}
