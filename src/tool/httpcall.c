#include "tool/httpcall.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/picohttp.h"

/* Fits a router's full event buffer: 65,536 events of a few hundred bytes. */
#define MAX_ANSWER_BYTES (64u * 1024 * 1024)
#define READ_BYTES 65536
#define MAX_HEADERS 64

/* Connection of one call. */
struct conn {
	int fd; /* -1: not open */
	const char *address;
	clk_ms deadline;
	struct err *err; /* set by the function that fails */
};

static bool parse_address(const char *text, struct sockaddr_in *out, struct err *err)
{
	char ip[INET_ADDRSTRLEN];
	struct str port;
	struct str host = str_split(str_from(text), ':', &port);
	uint64_t n;

	*out = (struct sockaddr_in){.sin_family = AF_INET};
	if (host.len < sizeof(ip)) {
		memcpy(ip, host.ptr, host.len);
		ip[host.len] = '\0';
		if (inet_pton(AF_INET, ip, &out->sin_addr) == 1 && str_to_u64(port, 65535, &n) &&
		    n > 0) {
			out->sin_port = htons((uint16_t)n);
			return true;
		}
	}
	return err_set(err, ERR_INPUT,
		       "'%.64s' is not an address; write ip:port, for example 127.0.1.1:8001",
		       text);
}

/* Waits until the socket is ready for `events` (of poll); false at the deadline or on failure. */
static bool wait_for(const struct conn *c, short events)
{
	struct pollfd p = {.fd = c->fd, .events = events};

	for (;;) {
		clk_ms left = c->deadline - clk_now();
		int n = left > 0 ? poll(&p, 1, (int)left) : 0;

		if (n > 0)
			return true;
		if (n == 0)
			return false;
		if (errno != EINTR)
			return false;
	}
}

static bool connect_conn(struct conn *c)
{
	struct sockaddr_in to;
	int so_error = 0;
	socklen_t len = sizeof(so_error);

	if (!parse_address(c->address, &to, c->err))
		return false;
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->fd < 0)
		return err_set(c->err, ERR_IO, "no socket: %s; close other programs",
			       strerror(errno));
	if (connect(c->fd, (struct sockaddr *)&to, sizeof(to)) == 0)
		return true;
	if (errno == EINPROGRESS) {
		if (!wait_for(c, POLLOUT))
			return err_set(c->err, ERR_UNAVAILABLE,
				       "%s: no connection in time; nothing was done, ask another "
				       "router",
				       c->address);
		getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &so_error, &len);
		if (so_error == 0)
			return true;
		errno = so_error;
	}
	return err_set(c->err, ERR_UNAVAILABLE,
		       "%s: no connection: %s; nothing was done, ask another router", c->address,
		       strerror(errno));
}

/* Sets an ERR_TIMEOUT error: the server may have carried out the call. Always returns false. */
static bool outcome_unknown(const struct conn *c, const char *reason)
{
	return err_set(c->err, ERR_TIMEOUT,
		       "%s: %s; it is not known whether the call was carried out", c->address,
		       reason);
}

static bool send_all(const struct conn *c, struct str data)
{
	size_t sent = 0;

	while (sent < data.len) {
		ssize_t n = send(c->fd, data.ptr + sent, data.len - sent, MSG_NOSIGNAL);

		if (n > 0) {
			sent += (size_t)n;
		} else if (errno == EAGAIN || errno == EWOULDBLOCK) {
			if (!wait_for(c, POLLOUT))
				return outcome_unknown(c, "the request could not be sent in time");
		} else if (errno != EINTR) {
			return outcome_unknown(c, strerror(errno));
		}
	}
	return true;
}

static bool send_request(const struct conn *c, const struct httpcall *call)
{
	char *head = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&head, &len);
	bool ok;

	if (!f)
		abort();
	fprintf(f, "%s %s HTTP/1.1\r\nhost: %s\r\nconnection: close\r\n", call->method, call->path,
		call->address);
	if (call->credential)
		fprintf(f, "authorization: Bearer %s\r\n", call->credential);
	if (call->body.len || strcmp(call->method, "GET") != 0)
		fprintf(f, "content-type: application/json\r\ncontent-length: %zu\r\n",
			call->body.len);
	fputs("\r\n", f);
	fclose(f);
	ok = send_all(c, (struct str){head, len}) && send_all(c, call->body);
	free(head);
	return ok;
}

/* ---- answer ---- */

/* Status line and headers of an answer. */
struct head {
	int status;
	size_t len;	 /* bytes of the head, with the empty line */
	bool chunked;	 /* chunked transfer encoding */
	bool has_length; /* has a content-length */
	size_t length;	 /* value of content-length */
};

static bool header_is(const struct phr_header *h, const char *name)
{
	return h->name && h->name_len == strlen(name) &&
	       strncasecmp(h->name, name, h->name_len) == 0;
}

/*
 * Parses status line and headers. Returns 1 if they are complete, 0 if more bytes are needed, -1 if
 * they are not valid HTTP or the content-length is above MAX_ANSWER_BYTES.
 */
static int parse_head(struct str raw, struct head *out)
{
	struct phr_header headers[MAX_HEADERS];
	size_t n = MAX_HEADERS;
	const char *msg;
	size_t msg_len;
	int minor;
	int len = phr_parse_response(raw.ptr, raw.len, &minor, &out->status, &msg, &msg_len,
				     headers, &n, 0);

	if (len < 0)
		return len == -2 ? 0 : -1;
	out->len = (size_t)len;
	for (size_t i = 0; i < n; i++) {
		struct str value = {headers[i].value, headers[i].value_len};
		uint64_t length;

		if (header_is(&headers[i], "content-length")) {
			if (!str_to_u64(value, MAX_ANSWER_BYTES, &length))
				return -1;
			out->has_length = true;
			out->length = (size_t)length;
		}
		if (header_is(&headers[i], "transfer-encoding"))
			out->chunked = value.len >= 7 &&
				       strncasecmp(value.ptr + value.len - 7, "chunked", 7) == 0;
	}
	return 1;
}

/*
 * Appends received bytes to `raw`, whose buffer `*buf` of `*size` bytes grows as needed. Returns 1
 * if bytes arrived, 0 if the server closed the connection, -1 on failure or at the deadline.
 */
static int read_more(const struct conn *c, struct str *raw, char **buf, size_t *size)
{
	for (;;) {
		ssize_t n;

		if (*size - raw->len < READ_BYTES) {
			char *new_buf = realloc(*buf, *size * 2 + READ_BYTES);

			if (!new_buf)
				abort();
			*buf = new_buf;
			*size = *size * 2 + READ_BYTES;
		}
		n = recv(c->fd, *buf + raw->len, READ_BYTES, 0);
		if (n >= 0) {
			raw->len += (size_t)n;
			raw->ptr = *buf;
			return n > 0;
		}
		if (errno == EINTR)
			continue;
		if (errno != EAGAIN && errno != EWOULDBLOCK)
			return -1;
		if (!wait_for(c, POLLIN))
			return -1;
	}
}

/* Whether all of the answer is received; `closed` if the server has closed the connection. */
static bool answer_is_complete(const struct head *h, size_t received, bool closed)
{
	if (h->chunked)
		return closed;
	if (h->has_length)
		return received - h->len >= h->length;
	return closed;
}

/* Fills in the answer from the raw bytes; false if its chunked encoding is bad or incomplete. */
static bool set_body(struct httpcall_answer *a, const struct head *h, size_t received)
{
	struct phr_chunked_decoder decoder = {.consume_trailer = 1};
	size_t len = received - h->len;

	if (h->chunked) {
		if (phr_decode_chunked(&decoder, a->raw + h->len, &len) < 0)
			return false;
	} else if (h->has_length) {
		len = h->length;
	}
	a->status = h->status;
	a->head = (struct str){a->raw, h->len};
	a->body = (struct str){a->raw + h->len, len};
	return true;
}

static bool receive_answer(const struct conn *c, struct httpcall_answer *a)
{
	struct str raw = STR_NULL;
	struct head head = {0};
	size_t size = 0;
	int parsed = 0;
	int more = 1;

	while (more > 0) {
		more = read_more(c, &raw, &a->raw, &size);
		if (more < 0)
			return outcome_unknown(c, "no whole answer in time");
		if (raw.len > MAX_ANSWER_BYTES)
			return outcome_unknown(c, "the answer is too long");
		if (!parsed && raw.len)
			parsed = parse_head(raw, &head);
		if (parsed < 0)
			return outcome_unknown(c, "the answer is not HTTP, or too long");
		if (parsed && answer_is_complete(&head, raw.len, more == 0)) {
			if (!set_body(a, &head, raw.len))
				return outcome_unknown(c, "the answer ended early");
			return true;
		}
	}
	return outcome_unknown(c, "the connection ended before the whole answer");
}

bool httpcall(const struct httpcall *call, struct httpcall_answer *answer, struct err *err)
{
	struct conn c = {.fd = -1,
			 .address = call->address,
			 .deadline = clk_now() + call->timeout,
			 .err = err};
	bool ok;

	*answer = (struct httpcall_answer){0};
	ok = connect_conn(&c) && send_request(&c, call) && receive_answer(&c, answer);
	if (c.fd >= 0)
		close(c.fd);
	return ok;
}

void httpcall_free(struct httpcall_answer *answer)
{
	free(answer->raw);
	*answer = (struct httpcall_answer){0};
}

struct str httpcall_find_header(const struct httpcall_answer *answer, const char *name)
{
	struct str rest = answer->head;

	while (rest.len) {
		struct str line = str_split(rest, '\n', &rest);
		struct str value;
		struct str key = str_split(line, ':', &value);

		if (key.len != strlen(name) || strncasecmp(key.ptr, name, key.len) != 0)
			continue;
		while (value.len && (value.ptr[0] == ' ' || value.ptr[0] == '\t'))
			value = (struct str){value.ptr + 1, value.len - 1};
		while (value.len &&
		       (value.ptr[value.len - 1] == '\r' || value.ptr[value.len - 1] == ' '))
			value.len--;
		return value;
	}
	return STR_NULL;
}
