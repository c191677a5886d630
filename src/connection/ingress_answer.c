#include "connection/ingress_priv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/mutant.h"
#include "connection/reason.h"
#include "connection/tcp_acked.h"

/*
 * Load pattern: callers that read a large answer slowly. One that takes this much of it within
 * idle_timeout gets it whole; one that takes less, byte by byte for example, would hold its memory
 * without end. While answers take more than half of their memory, each is written within
 * idle_timeout or ended, since otherwise the unfinished ones of upstreams would be.
 */
#define MIN_TAKEN_BYTES (64u * 1024)
/* How often within idle_timeout it is checked what a caller has taken. */
#define TAKEN_CHECKS 8

static const struct log log = {"ingress"};
CTR(ctr_malformed, "ingress_malformed_total", "Requests refused because they were malformed.");

/* Counts a response that is being written, see answer_memory.h. */
static void count_response(struct ingress_conn *c, size_t bytes)
{
	c->answers = c->in->handlers.limits(c->in->data)->answers;
	c->write_bytes = bytes;
	if (c->answers)
		c->answers->used += bytes;
}

void ingress_free_response(struct ingress_conn *c)
{
	free(c->write_buf);
	blocks_free(&c->write_body);
	c->write_buf = NULL;
	if (c->answers)
		c->answers->used -= c->write_bytes;
	c->answers = NULL;
}

static void on_written(h2o_socket_t *sock, const char *err)
{
	struct ingress_conn *c = sock->data;

	if (err) {
		ingress_conn_close(c);
		return;
	}
	ingress_free_response(c);
	if (c->close_after) {
		ingress_conn_linger(c);
		return;
	}
	ingress_conn_set_idle(c);
	if (c->sock->input->size)
		ingress_read_input(c);
}

void ingress_refuse(struct ingress_conn *c, int status, const char *why)
{
	ctr_inc(&ctr_malformed);
	log_info(&log, "refused a request with %d and closed its connection: %s", status, why);
	if (!c->req) {
		c->req = calloc(1, sizeof(*c->req));
		if (!c->req)
			abort();
		c->req->conn = c;
	}
	struct str text = arena_printf(&c->req->arena, "{\"error\":\"%s\"}\n", why);

	ingress_write_answer(c, status, NULL, 0, text, (struct blocks){0}, true);
}

static void arm_taken_check(struct ingress_conn *c, clk_ms idle_timeout)
{
	timer_arm(&c->timer, (idle_timeout + TAKEN_CHECKS - 1) / TAKEN_CHECKS);
}

/* Whether the answers that upstreams still send may soon find no memory. */
static bool is_memory_short(const struct ingress_conn *c)
{
	return c->answers && c->answers->limit && c->answers->used > c->answers->limit / 2 &&
	       !MUTANT(ingress_ignore_memory);
}

void ingress_check_taken(struct ingress_conn *c)
{
	clk_ms idle_timeout = c->in->handlers.limits(c->in->data)->idle_timeout;
	uint64_t acked = tcp_acked_bytes(h2o_socket_get_fd(c->sock));
	clk_ms now = clk_now();

	if (acked >= c->acked_bytes + (MUTANT(ingress_any_progress) ? 1 : MIN_TAKEN_BYTES) &&
	    !MUTANT(ingress_write_deadline)) {
		c->acked_bytes = acked;
		c->taken_at = now;
	}
	if (now - (is_memory_short(c) ? c->write_started : c->taken_at) < idle_timeout)
		arm_taken_check(c, idle_timeout);
	else
		ingress_conn_close(c);
}

static size_t head_size(const struct ingress_header *headers, size_t n)
{
	size_t size = 160;

	for (size_t i = 0; i < n; i++)
		size += headers[i].name.len + headers[i].value.len + 4;
	return size;
}

/* Whether most of the connections allowed are open, so that responses should close theirs. */
static bool is_crowded(const struct ingress *in)
{
	size_t max = in->handlers.limits(in->data)->max_connections;

	return max && in->n_conns > max - max / 4 && !MUTANT(ingress_keep_crowded);
}

void ingress_write_answer(struct ingress_conn *c, int status, const struct ingress_header *headers,
			  size_t n, struct str body, struct blocks owned, bool close)
{
	bool no_body = status == 204 || status == 304 || str_eq_cstr(c->req->method, "HEAD");
	size_t copied = no_body ? 0 : body.len;
	size_t size = head_size(headers, n);
	char *head = malloc(size + copied);
	h2o_iovec_t *write_bufs = malloc((1 + owned.n) * sizeof(*write_bufs));
	size_t n_bufs = 1;
	size_t at;

	if (!head || !write_bufs)
		abort();
	c->write_buf = head;
	c->write_body = owned;
	c->close_after = close || !c->keep_alive || c->in->draining || is_crowded(c->in);
	at = (size_t)snprintf(head, size, "HTTP/1.1 %d %s\r\n", status, reason_phrase(status));
	for (size_t i = 0; i < n; i++) {
		if (ingress_is_hop_header(headers[i].name))
			continue;
		at += (size_t)snprintf(head + at, size - at, "%.*s: %.*s\r\n",
				       STR_ARG(headers[i].name), STR_ARG(headers[i].value));
	}
	if (c->close_after)
		at += (size_t)snprintf(head + at, size - at, "connection: close\r\n");
	if (status != 204 && status != 304)
		at += (size_t)snprintf(head + at, size - at, "content-length: %zu\r\n",
				       body.len + owned.len);
	at += (size_t)snprintf(head + at, size - at, "\r\n");
	if (copied)
		memcpy(head + at, body.ptr, copied);
	write_bufs[0] = h2o_iovec_init(head, at + copied);
	if (!no_body)
		n_bufs += blocks_vectors(&owned, write_bufs + 1);
	count_response(c, size + copied + owned.capacity);
	ingress_conn_detach_request(c);
	c->state = CONN_WRITING;
	c->write_started = clk_now();
	c->taken_at = c->write_started;
	arm_taken_check(c, c->in->handlers.limits(c->in->data)->idle_timeout);
	h2o_socket_write(c->sock, write_bufs, n_bufs, on_written);
	free(write_bufs);
	if (!h2o_socket_is_reading(c->sock))
		h2o_socket_read_start(c->sock, ingress_on_read);
}

void ingress_reply(struct ingress_request *req, int status, const struct ingress_header *headers,
		   size_t n, struct str body, bool close)
{
	if (req->conn)
		ingress_write_answer(req->conn, status, headers, n, body, (struct blocks){0},
				     close);
}

void ingress_reply_blocks(struct ingress_request *req, int status,
			  const struct ingress_header *headers, size_t n, struct blocks body)
{
	if (req->conn)
		ingress_write_answer(req->conn, status, headers, n, STR_NULL, body, false);
	else
		blocks_free(&body);
}
