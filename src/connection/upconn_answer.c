/* HTTP client: reads response heads and bodies and checks that a response echoes the request id. */
#include "connection/upconn_priv.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"

#define MAX_HEADERS 100
#define MIN_STATUS 100
#define MAX_STATUS 599
/* Limit on the chunk sizes, extensions and trailers of a response, in addition to the limit on its
 * body. */
#define MAX_CHUNK_OVERHEAD_BYTES (1024u * 1024)
/*
 * Most bytes taken from a socket at once. What waits in it may be as much as the kernel's receive
 * buffer, tens of MiB; an input buffer of that size would not be counted as memory of answers.
 */
#define MAX_READ_BYTES (256u * 1024)
#define MIN_READ_BYTES 4096
#define MAX_INTERIM_ANSWERS 16 /* 1xx responses accepted before the final response */
/* Responses to other requests that are skipped before the connection is given up. */
#define MAX_SKIPPED_ANSWERS 16

static const struct log log = {"upconn"};
CTR(ctr_malformed, "upconn_malformed_total", "Connections closed because of a malformed answer.");
CTR(ctr_too_large, "upconn_too_large_total", "Answers over the size limit.");
CTR(ctr_mismatch, "upconn_mismatch_total", "Answers to another request, discarded.");

static void call_malformed(struct upconn_call *call, const char *what)
{
	ctr_inc(&ctr_malformed);
	log_error(&log, "closed the connection to %s: %s; check that it is an HTTP/1.1 server",
		  call->pool->host, what);
	upconn_call_finish(call, UPCONN_BROKE, false);
}

static void call_too_large(struct upconn_call *call, const char *what)
{
	ctr_inc(&ctr_too_large);
	log_error(&log, "closed the connection to %s: %s", call->pool->host, what);
	upconn_suspect(call);
	upconn_call_finish(call, UPCONN_TOO_LARGE, false);
}

bool upconn_name_is(const struct phr_header *h, const char *name)
{
	size_t len = strlen(name);

	return h->name_len == len && strncasecmp(h->name, name, len) == 0;
}

static bool value_is(const struct phr_header *h, const char *value)
{
	size_t len = strlen(value);

	return h->value_len == len && strncasecmp(h->value, value, len) == 0;
}

/* Whether the comma-separated value contains `token`, ignoring case. */
static bool value_has_token(const struct phr_header *h, const char *token)
{
	struct str rest = {h->value, h->value_len};

	while (rest.len) {
		struct str item = str_trim(str_split(rest, ',', &rest));

		if (item.len == strlen(token) && strncasecmp(item.ptr, token, item.len) == 0)
			return true;
	}
	return false;
}

/* Returns "timeout=N" (seconds) of a keep-alive header in ms, 0 if there is none. */
static clk_ms keep_alive_ms(const struct phr_header *h)
{
	struct str rest = {h->value, h->value_len};

	while (rest.len) {
		struct str item = str_split(rest, ',', &rest);
		uint64_t seconds;

		while (item.len && *item.ptr == ' ') {
			item.ptr++;
			item.len--;
		}
		if (str_starts_with(item, STR_LIT("timeout=")) &&
		    str_to_u64((struct str){item.ptr + 8, item.len - 8}, 86400, &seconds))
			return (clk_ms)seconds * 1000;
	}
	return 0;
}

/*
 * Sets the call's framing, content length and keep-alive from the response head. Returns what is
 * wrong with it, NULL if nothing is. A body without a length is refused unless the pool allows
 * close-delimited responses: only an orderly close shows that such a body is complete.
 */
static const char *read_framing(struct upconn_call *call, const struct phr_header *headers,
				size_t n, int minor_version)
{
	bool have_length = false;
	uint64_t length = 0;

	call->keep_alive = minor_version >= 1;
	call->framing = UPCONN_FRAMING_NONE;
	for (size_t i = 0; i < n; i++) {
		const struct phr_header *h = &headers[i];

		if (!h->name)
			return "the answer has a header that continues on the next line";
		if (upconn_name_is(h, "content-length")) {
			struct str text = {h->value, h->value_len};

			if (have_length)
				return "the answer has more than one content-length";
			if (!str_to_u64(text, UINT64_MAX, &length))
				return "the answer's content-length is not a number";
			have_length = true;
		} else if (upconn_name_is(h, "transfer-encoding")) {
			if (!value_is(h, "chunked") || call->framing == UPCONN_FRAMING_CHUNKED)
				return "the answer's transfer-encoding is not chunked";
			call->framing = UPCONN_FRAMING_CHUNKED;
		} else if (upconn_name_is(h, "connection") && value_has_token(h, "close")) {
			call->keep_alive = false;
		} else if (upconn_name_is(h, "keep-alive")) {
			call->server_idle_timeout = keep_alive_ms(h);
		}
	}
	if (have_length && call->framing == UPCONN_FRAMING_CHUNKED)
		return "the answer has both content-length and transfer-encoding";
	if (str_eq_cstr(call->req.method, "HEAD") || call->status == 204 || call->status == 304) {
		call->framing = UPCONN_FRAMING_NONE;
		return NULL;
	}
	if (have_length) {
		call->framing = UPCONN_FRAMING_LENGTH;
		call->content_length = length > SIZE_MAX ? SIZE_MAX : (size_t)length;
		return NULL;
	}
	if (call->framing == UPCONN_FRAMING_CHUNKED)
		return NULL;
	if (call->pool->opts.allow_close_delimited) {
		call->framing = UPCONN_FRAMING_CLOSE;
		call->keep_alive = false;
		return NULL;
	}
	return "the answer has neither content-length nor transfer-encoding, so that its "
	       "end cannot be recognised";
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

/*
 * Whether the response echoes the request id exactly once; true if the request has none. Sets
 * `*found_id` if the response has the id header at all.
 */
static bool request_id_matches(const struct upconn_call *call, bool *found_id)
{
	struct str echo = STR_NULL;
	bool found = false;

	*found_id = false;
	if (!call->req.request_id.len || MUTANT(upconn_accept_other_id))
		return true;
	for (size_t i = 0; i < call->n_headers; i++) {
		if (!str_eq_cstr(call->headers[i].name, call->pool->id_header))
			continue;
		if (found)
			return false;
		found = true;
		*found_id = true;
		echo = call->headers[i].value;
	}
	return found && str_eq(echo, call->req.request_id);
}

enum step { STEP_NEED_INPUT, STEP_CONTINUE, STEP_CALL_ENDED };

/*
 * Parses a response head, final or interim, at the start of the input and consumes it. On
 * STEP_CALL_ENDED the call has been finished and freed.
 */
static enum step read_head(struct upconn_call *call, h2o_socket_t *sock)
{
	struct phr_header headers[MAX_HEADERS];
	size_t n = MAX_HEADERS;
	int minor_version = 0;
	int status = 0;
	const char *msg;
	size_t msg_len;
	const char *problem;
	bool found_id;
	int len;

	len = phr_parse_response(sock->input->bytes, sock->input->size, &minor_version, &status,
				 &msg, &msg_len, headers, &n, 0);
	if (len == -2 && sock->input->size <= call->pool->max_head)
		return STEP_NEED_INPUT;
	if (len == -2 || len > (int)call->pool->max_head) {
		call_too_large(call, "the head of the answer is over its limit");
		return STEP_CALL_ENDED;
	}
	if (len < 0) {
		call_malformed(call, "the head of the answer cannot be parsed");
		return STEP_CALL_ENDED;
	}
	if ((status < MIN_STATUS || status > MAX_STATUS) && !MUTANT(upconn_any_status)) {
		call_malformed(call, "the status code of the answer is not one from 100 to 599");
		return STEP_CALL_ENDED;
	}
	if (status >= 100 && status < 200) {
		if (status == 101 || ++call->n_interim > MAX_INTERIM_ANSWERS) {
			call_malformed(call, "status 101, or too many interim (1xx) answers");
			return STEP_CALL_ENDED;
		}
		h2o_buffer_consume(&sock->input, (size_t)len);
		return sock->input->size ? STEP_CONTINUE : STEP_NEED_INPUT;
	}
	call->status = status;
	problem = read_framing(call, headers, n, minor_version);
	if (problem) {
		call_malformed(call, problem);
		return STEP_CALL_ENDED;
	}
	copy_headers(call, headers, n);
	h2o_buffer_consume(&sock->input, (size_t)len);
	call->have_head = true;
	call->chunks = (struct phr_chunked_decoder){.consume_trailer = 1};
	call->mismatched = !request_id_matches(call, &found_id);
	/*
	 * A response with another id belongs to another request and is skipped if the pool's
	 * options allow it; one without any id may belong to this request, so the call ends.
	 */
	if (call->mismatched && found_id && call->pool->opts.skip_mismatched &&
	    call->framing != UPCONN_FRAMING_CLOSE && ++call->n_skipped <= MAX_SKIPPED_ANSWERS) {
		ctr_inc(&ctr_mismatch);
		log_info(&log, "skipping an answer of %s to another request", call->pool->host);
	} else if (call->mismatched) {
		ctr_inc(&ctr_mismatch);
		log_error(&log,
			  "%s answered with a missing, repeated or other request id; the answer "
			  "was discarded and the connection closed",
			  call->pool->host);
		upconn_call_finish(call, UPCONN_MISMATCH, false);
		return STEP_CALL_ENDED;
	}
	if (call->framing == UPCONN_FRAMING_LENGTH && call->content_length > call->pool->max_body) {
		call_too_large(call, "the body of the answer is over its limit");
		return STEP_CALL_ENDED;
	}
	return STEP_CONTINUE;
}

static void body_append(struct upconn_call *call, const char *bytes, size_t len)
{
	blocks_append(&call->body, bytes, len,
		      call->framing == UPCONN_FRAMING_LENGTH ? call->content_length : 0);
}

/* Discards a response to another request; the response to this request may follow. */
static void discard_answer(struct upconn_call *call)
{
	call->have_head = false;
	call->mismatched = false;
	upconn_memory_release(call);
	blocks_free(&call->body);
	call->raw_body_bytes = 0;
	call->server_idle_timeout = 0;
}

/* Appends bytes that were taken from the socket's input buffer to the buffer again. */
static void push_back_input(h2o_socket_t *sock, const char *bytes, size_t len)
{
	if (!len)
		return;
	h2o_buffer_reserve(&sock->input, len);
	memcpy(sock->input->bytes + sock->input->size, bytes, len);
	sock->input->size += len;
}

/* Reads a chunked body. Returns true if the call has ended and was freed. */
static bool read_chunks(struct upconn_call *call, h2o_socket_t *sock)
{
	size_t size = sock->input->size;
	size_t n = size;
	ssize_t left;

	if (n == 0)
		return false;
	call->raw_body_bytes += n;
	left = phr_decode_chunked(&call->chunks, sock->input->bytes, &n);
	if (left == -1) {
		call_malformed(call, "the answer's chunks cannot be parsed");
		return true;
	}
	body_append(call, sock->input->bytes, n);
	if (left > 0) {
		/* The decoder moved the bytes after the last chunk to the end of the body. */
		sock->input->size = n + (size_t)left;
		h2o_buffer_consume(&sock->input, n);
	} else {
		h2o_buffer_consume(&sock->input, size);
	}
	if (call->body.len > upconn_max_answer(call) ||
	    call->raw_body_bytes > call->pool->max_body + MAX_CHUNK_OVERHEAD_BYTES) {
		call_too_large(call, "the body of the answer is over its limit");
		return true;
	}
	if (left < 0)
		return upconn_memory_count(call);
	if (call->mismatched) {
		discard_answer(call);
		return false;
	}
	upconn_call_finish(call, UPCONN_OK,
			   call->keep_alive && !call->writing &&
				   (left == 0 || MUTANT(upconn_reuse_unread)));
	return true;
}

/* Reads a body of any framing. Returns true if the call has ended and was freed. */
static bool read_body(struct upconn_call *call, h2o_socket_t *sock)
{
	size_t take = 0;
	bool clean;

	if (call->framing == UPCONN_FRAMING_CHUNKED)
		return read_chunks(call, sock);
	if (call->framing == UPCONN_FRAMING_CLOSE) {
		if (call->body.len + sock->input->size > upconn_max_answer(call)) {
			call_too_large(call, "the body of the answer is over its limit");
			return true;
		}
		body_append(call, sock->input->bytes, sock->input->size);
		h2o_buffer_consume(&sock->input, sock->input->size);
		return upconn_memory_count(call);
	}
	if (call->framing == UPCONN_FRAMING_LENGTH) {
		take = call->content_length - call->body.len;
		if (take > sock->input->size)
			take = sock->input->size;
		body_append(call, sock->input->bytes, take);
		h2o_buffer_consume(&sock->input, take);
		if (call->body.len < call->content_length)
			return upconn_memory_count(call);
	}
	if (call->mismatched) {
		discard_answer(call);
		return false;
	}
	/*
	 * The connection is not reused if bytes follow the response, or if the response came
	 * before the request was completely written.
	 */
	clean = sock->input->size == 0 || MUTANT(upconn_reuse_unread);
	upconn_call_finish(call, UPCONN_OK, call->keep_alive && !call->writing && clean);
	return true;
}

/* Returns the bytes to take from a socket at once: no more than the largest response. */
static size_t read_limit(const struct upconn_pool *pool)
{
	size_t largest = pool->max_head + pool->max_body;

	return largest < MAX_READ_BYTES ? largest : MAX_READ_BYTES;
}

const char *upconn_read_some(h2o_socket_t *sock)
{
	const struct upconn_pool *pool = ((struct upconn_conn *)sock->data)->pool;
	size_t limit = read_limit(pool);
	size_t total = 0;
	size_t max;
	ssize_t n;

	do {
		h2o_iovec_t space = h2o_buffer_reserve(&sock->input, MIN_READ_BYTES);

		max = space.len < limit - total ? space.len : limit - total;
		if (MUTANT(upconn_read_all))
			max = space.len;
		do
			n = read(h2o_socket_get_fd(sock), space.base, max);
		while (n == -1 && errno == EINTR);
		/* The kernel reports an error once; the next read would find an orderly close. */
		if (n == -1 && errno != EAGAIN && errno != EWOULDBLOCK)
			return total && MUTANT(upconn_drop_read_error) ? NULL : h2o_socket_error_io;
		if (n == 0)
			return h2o_socket_error_closed;
		if (n > 0) {
			sock->input->size += (size_t)n;
			total += (size_t)n;
		}
	} while (n == (ssize_t)max && (total < limit || MUTANT(upconn_read_all)));
	return NULL;
}

/*
 * Whether the server closed the connection in order, after a read that found its end. A write that
 * fails takes the error of a reset away, so that the next read finds an end as well.
 */
static bool closed_in_order(const struct upconn_call *call, h2o_socket_t *sock)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);

	if (!call->writing || MUTANT(upconn_trust_end))
		return true;
	if (getsockopt(h2o_socket_get_fd(sock), IPPROTO_TCP, TCP_INFO, &info, &len) != 0) {
		log_warn(&log, "cannot tell whether %s reset a connection: %s", call->pool->host,
			 strerror(errno));
		return false;
	}
	return info.tcpi_state == TCP_CLOSE_WAIT;
}

void upconn_on_read(h2o_socket_t *sock, const char *err)
{
	struct upconn_conn *c = sock->data;
	struct upconn_call *call = c->call;

	if (!err)
		err = upconn_read_some(sock);
	if (err && !call->have_head && MUTANT(upconn_accept_cut_head))
		push_back_input(sock, "\r\n\r\n", 4);
	for (;;) {
		while (!call->have_head && sock->input->size) {
			enum step step = read_head(call, sock);

			if (step == STEP_CALL_ENDED)
				return;
			if (step == STEP_NEED_INPUT)
				break;
		}
		/* An error can come with the last bytes of a complete response. */
		if (err)
			call->keep_alive = false;
		if (!call->have_head)
			break;
		if (read_body(call, sock))
			return;
		/* After a skipped response to another request, the next may be in the buffer. */
		if (call->have_head || !sock->input->size)
			break;
	}
	if (!err)
		return;
	if (call->have_head && call->framing == UPCONN_FRAMING_CLOSE &&
	    err == h2o_socket_error_closed && !call->mismatched && closed_in_order(call, sock)) {
		upconn_call_finish(call, UPCONN_OK, false);
		return;
	}
	call->pool->conn_lost_at = clk_now();
	if (MUTANT(upconn_accept_truncated) && call->have_head)
		upconn_call_finish(call, UPCONN_OK, false);
	else
		upconn_call_finish(call, UPCONN_BROKE, false);
}
