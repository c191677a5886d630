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
 * idle_timeout or ended, since otherwise the unfinished ones of upstreams would be; one of which
 * nothing is taken ends sooner, see door.h.
 */
#define MIN_TAKEN_BYTES (64u * 1024)
/* How often within idle_timeout it is checked what a caller has taken. */
#define TAKEN_CHECKS 8
/* What a head may need beside its headers. */
#define HEAD_EXTRA_BYTES 160

static const struct log log = {"ingress"};
CTR(ctr_untaken, "ingress_untaken_total",
    "Connections closed because the caller did not take its answer.");

void ingress_exchange_free(struct ingress_exchange *x)
{
	free(x->head);
	blocks_free(&x->body);
	if (x->answers)
		x->answers->used -= x->bytes;
	free(x);
}

bool ingress_answers_short(const struct answer_memory *answers)
{
	return answers && answers->limit && answers->used > answers->limit / 2 &&
	       !MUTANT(ingress_ignore_memory);
}

static void close_untaken(struct ingress_conn *c)
{
	ctr_inc(&ctr_untaken);
	log_info(&log,
		 "closed the connection of a caller that does not take its answer of %zu bytes",
		 c->first->bytes);
	ingress_conn_close(c);
}

static void arm_taken_check(struct ingress_conn *c, clk_ms idle_timeout)
{
	timer_arm(&c->write_timer, (idle_timeout + TAKEN_CHECKS - 1) / TAKEN_CHECKS);
}

void ingress_on_write_timer(struct timer *timer, void *data)
{
	struct ingress_conn *c = data;
	clk_ms idle_timeout = ingress_limits(c)->idle_timeout;
	uint64_t acked = tcp_acked_bytes(h2o_socket_get_fd(c->sock));
	clk_ms now = clk_now();

	if (acked >= c->acked_bytes + (MUTANT(ingress_any_progress) ? 1 : MIN_TAKEN_BYTES) &&
	    !MUTANT(ingress_write_deadline)) {
		c->acked_bytes = acked;
		c->taken_at = now;
	}
	if (now - (ingress_answers_short(c->first->answers) ? c->write_started : c->taken_at) <
	    idle_timeout)
		arm_taken_check(c, idle_timeout);
	else
		close_untaken(c);
}

bool ingress_is_stalled(struct ingress_conn *c, clk_ms now)
{
	uint64_t acked;

	if (!ingress_answers_short(c->first->answers))
		return false;
	acked = tcp_acked_bytes(h2o_socket_get_fd(c->sock));
	if (acked != c->last_acked) {
		c->last_acked = acked;
		c->progress_at = now;
	}
	if (!door_is_stalled_answer(c->progress_at, now))
		return false;
	ctr_inc(&ctr_untaken);
	log_info(&log,
		 "closes the connection of a caller that takes nothing of its answer of %zu "
		 "bytes while memory is short",
		 c->first->bytes);
	return true;
}

/* Counts a response until it is written, see answer_memory.h. */
static void count_response(struct ingress_conn *c, struct ingress_exchange *x, size_t bytes)
{
	x->answers = ingress_limits(c)->answers;
	x->bytes = bytes;
	if (x->answers)
		x->answers->used += bytes;
	if (ingress_answers_short(x->answers))
		ingress_arm_sweep(c->in);
}

static size_t head_size(const struct ingress_header *headers, size_t n)
{
	size_t size = HEAD_EXTRA_BYTES;

	for (size_t i = 0; i < n; i++)
		size += headers[i].name.len + headers[i].value.len + 4;
	return size;
}

void ingress_make_answer(struct ingress_conn *c, struct ingress_exchange *x, int status,
			 const struct ingress_header *headers, size_t n, struct str body,
			 struct blocks owned, bool head_only)
{
	bool no_body = status == 204 || status == 304 || head_only;
	size_t copied = no_body ? 0 : body.len;
	size_t size = head_size(headers, n);
	char *head = malloc(size + copied);
	size_t at;

	if (!head)
		abort();
	at = (size_t)snprintf(head, size, "HTTP/1.1 %d %s\r\n", status, reason_phrase(status));
	for (size_t i = 0; i < n; i++) {
		if (ingress_is_hop_header(headers[i].name))
			continue;
		at += (size_t)snprintf(head + at, size - at, "%.*s: %.*s\r\n",
				       STR_ARG(headers[i].name), STR_ARG(headers[i].value));
	}
	if (copied)
		memcpy(head + size, body.ptr, copied);
	x->head = head;
	x->head_len = at;
	x->copied = (struct str){head + size, copied};
	x->body = owned;
	x->no_body = no_body;
	x->has_length = status != 204 && status != 304;
	x->length = body.len + owned.len;
	count_response(c, x, size + copied + owned.capacity);
}

/* Whether most of the connections allowed are open, so that responses should close theirs. */
static bool is_crowded(const struct ingress *in)
{
	size_t max = in->handlers.limits(in->data)->max_connections;

	return max && in->n_conns > max - max / 4 && !MUTANT(ingress_keep_crowded);
}

/*
 * Whether the response of the first exchange closes the connection. While others are open behind it
 * it does so only if it must: they run already.
 */
static bool closes(const struct ingress_conn *c)
{
	const struct ingress_exchange *x = c->first;

	if (x->close || !x->keep_alive)
		return true;
	return !x->next && (c->in->draining || is_crowded(c->in));
}

/* Adds the headers that are known only when the response is written. */
static void end_head(struct ingress_conn *c, struct ingress_exchange *x)
{
	char *end = x->head + x->head_len;

	if (c->close_after)
		end += sprintf(end, "connection: close\r\n");
	if (x->has_length)
		end += sprintf(end, "content-length: %zu\r\n", x->length);
	end += sprintf(end, "\r\n");
	x->head_len = (size_t)(end - x->head);
}

void ingress_write_answer(struct ingress_conn *c, h2o_socket_cb on_written)
{
	struct ingress_exchange *x = c->first;
	h2o_iovec_t few[4];
	h2o_iovec_t *vectors = few;
	size_t n = 1;

	if (x->body.n + 2 > sizeof(few) / sizeof(few[0]))
		vectors = malloc((2 + x->body.n) * sizeof(*vectors));
	if (!vectors)
		abort();
	c->close_after = closes(c);
	end_head(c, x);
	vectors[0] = h2o_iovec_init(x->head, x->head_len);
	if (x->copied.len)
		vectors[n++] = h2o_iovec_init(x->copied.ptr, x->copied.len);
	if (!x->no_body)
		n += blocks_vectors(&x->body, vectors + n);
	c->writing = true;
	c->write_started = clk_now();
	c->taken_at = c->write_started;
	c->progress_at = c->write_started;
	arm_taken_check(c, ingress_limits(c)->idle_timeout);
	h2o_socket_write(c->sock, vectors, n, on_written);
	if (vectors != few)
		free(vectors);
}
