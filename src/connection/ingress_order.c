/*
 * Starts requests and keeps the order of their answers. A caller may send further requests before
 * the first one is answered. Those that the handler permits run side by side, up to a limit; their
 * answers wait until those before them are written. Any other request starts when all before it
 * have ended, so that one behind an answer that closes the connection has not run.
 */
#include "connection/ingress_priv.h"

#include <stdlib.h>

#include "base/log.h"
#include "base/mutant.h"

static const struct log log = {"ingress"};
CTR(ctr_malformed, "ingress_malformed_total", "Requests refused because they were malformed.");
CTR(ctr_caller_closed, "ingress_gone_total", "Callers that left before their answer.");
CTR(ctr_ahead, "ingress_ahead_total", "Requests started before those ahead of them had ended.");
CTR(ctr_crossed, "ingress_crossed_total",
    "Requests not started, since the answer before them closes their connection.");
CTR(ctr_held, "ingress_held_total", "Requests that waited until those ahead of them had ended.");

static bool next_overlaps(const struct ingress_conn *c)
{
	const struct ingress *in = c->in;

	/* All open exchanges permit it if the last one does, see ingress_dispatch(). */
	return c->last->may_overlap && in->handlers.may_overlap &&
	       (in->handlers.may_overlap(in->data, c->req) || MUTANT(ingress_overlap_any));
}

/* Whether a response is being written that closes the connection. */
static bool is_closing(const struct ingress_conn *c)
{
	return c->writing && c->close_after && !MUTANT(ingress_read_past_close);
}

bool ingress_may_read_ahead(const struct ingress_conn *c)
{
	size_t max = ingress_limits(c)->max_ahead;

	if (!c->first)
		return true;
	return c->last->may_overlap && !c->in->draining && !is_closing(c) &&
	       !door_is_short(c->in->door) &&
	       (c->n_exchanges <= max || MUTANT(ingress_ahead_unlimited)) && max;
}

static struct ingress_exchange *add_exchange(struct ingress_conn *c)
{
	struct ingress_exchange *x = calloc(1, sizeof(*x));

	if (!x)
		abort();
	if (c->last)
		c->last->next = x;
	else
		c->first = x;
	c->last = x;
	c->n_exchanges++;
	return x;
}

static struct ingress_exchange *pop_exchange(struct ingress_conn *c)
{
	struct ingress_exchange *x = c->first;

	c->first = x->next;
	if (!c->first)
		c->last = NULL;
	c->n_exchanges--;
	return x;
}

/* Passes the request to the handler; the connection may be freed by it. */
static void start_request(struct ingress_conn *c, bool may_overlap)
{
	struct ingress *in = c->in;
	struct ingress_request *req = c->req;
	struct ingress_exchange *x = add_exchange(c);

	x->req = req;
	x->may_overlap = may_overlap;
	x->keep_alive = c->keep_alive;
	c->req = NULL;
	c->state = c->keep_alive ? CONN_IDLE : CONN_ENDED;
	req->conn = c;
	req->exchange = x;
	in->handlers.on_request(in->data, req);
}

void ingress_dispatch(struct ingress_conn *c)
{
	const struct ingress *in = c->in;

	if (is_closing(c)) {
		/* Its connection ends without an answer to it, so it must not run. */
		ctr_inc(&ctr_crossed);
		ingress_conn_discard_request(c);
		c->state = CONN_ENDED;
	} else if (!c->first) {
		start_request(c, in->handlers.may_overlap && ingress_limits(c)->max_ahead &&
					 in->handlers.may_overlap(in->data, c->req));
	} else if (next_overlaps(c)) {
		ctr_inc(&ctr_ahead);
		start_request(c, true);
	} else {
		ctr_inc(&ctr_held);
		c->state = CONN_HELD;
	}
}

void ingress_drop_request(struct ingress_request *req)
{
	struct ingress *in = req->conn->in;

	req->exchange->req = NULL;
	req->exchange = NULL;
	req->conn = NULL;
	ctr_inc(&ctr_caller_closed);
	in->handlers.on_caller_closed(in->data, req);
}

void ingress_drop_exchanges(struct ingress_conn *c)
{
	c->writing = false;
	timer_cancel(&c->write_timer);
	/* The end of a request may make its handler drop another one of the connection. */
	c->ending = true;
	while (c->first) {
		struct ingress_exchange *x = pop_exchange(c);

		if (x->req)
			ingress_drop_request(x->req);
		ingress_exchange_free(x);
	}
}

/* Reads on after the last exchange has ended. */
static void read_next(struct ingress_conn *c)
{
	if (!c->first && c->state == CONN_HELD) {
		ingress_conn_hold(c);
		ingress_dispatch(c);
		if (!ingress_conn_release(c))
			return;
	}
	if (!c->first && c->state == CONN_IDLE && !c->idle_listed)
		ingress_conn_set_idle(c);
	ingress_resume(c);
	if (c->sock->input->size)
		ingress_read_input(c);
}

static void on_written(h2o_socket_t *sock, const char *err)
{
	struct ingress_conn *c = sock->data;

	if (err) {
		ingress_conn_close(c);
		return;
	}
	c->writing = false;
	timer_cancel(&c->write_timer);
	ingress_exchange_free(pop_exchange(c));
	if (c->close_after) {
		ingress_conn_linger(c);
		return;
	}
	ingress_write_next(c);
	read_next(c);
}

/* Fault for tests: the response that comes first is written first. */
static void put_answered_first(struct ingress_conn *c)
{
	struct ingress_exchange **at = &c->first;

	while (*at && !(*at)->head)
		at = &(*at)->next;
	if (*at && at != &c->first) {
		struct ingress_exchange *x = *at;

		*at = x->next;
		x->next = c->first;
		c->first = x;
		for (c->last = x; c->last->next; c->last = c->last->next)
			;
	}
}

static void on_continue_written(h2o_socket_t *sock, const char *err)
{
	struct ingress_conn *c = sock->data;

	c->writing_continue = false;
	if (err)
		ingress_conn_close(c);
	else
		ingress_write_next(c);
}

/* Callers take responses in the order of their requests, so it comes after all earlier ones. */
static void write_continue(struct ingress_conn *c)
{
	h2o_iovec_t interim = h2o_iovec_init(H2O_STRLIT("HTTP/1.1 100 Continue\r\n\r\n"));

	c->continue_due = false;
	c->writing_continue = true;
	h2o_socket_write(c->sock, &interim, 1, on_continue_written);
}

void ingress_write_next(struct ingress_conn *c)
{
	if (MUTANT(ingress_any_order) && !c->writing)
		put_answered_first(c);
	if (c->writing || c->writing_continue)
		return;
	if (c->first && c->first->head)
		ingress_write_answer(c, on_written);
	else if (c->continue_due && c->state == CONN_BODY && !c->first)
		write_continue(c);
}

void ingress_refuse(struct ingress_conn *c, int status, const char *why)
{
	struct ingress_exchange *x = add_exchange(c);
	bool head_only = c->req && str_eq_cstr(c->req->method, "HEAD");
	struct arena arena = ARENA_INIT;

	ctr_inc(&ctr_malformed);
	log_info(&log, "refused a request with %d and closed its connection: %s", status, why);
	ingress_conn_discard_request(c);
	timer_cancel(&c->timer);
	c->state = CONN_ENDED;
	ingress_make_answer(c, x, status, NULL, 0,
			    arena_printf(&arena, "{\"error\":\"%s\"}\n", why), (struct blocks){0},
			    head_only);
	arena_free(&arena);
	x->close = true;
	ingress_write_next(c);
}

static void reply(struct ingress_request *req, int status, const struct ingress_header *headers,
		  size_t n, struct str body, struct blocks owned, bool close)
{
	struct ingress_conn *c = req->conn;
	struct ingress_exchange *x = req->exchange;

	x->close = close;
	ingress_make_answer(c, x, status, headers, n, body, owned,
			    str_eq_cstr(req->method, "HEAD"));
	x->req = NULL;
	req->conn = NULL;
	req->exchange = NULL;
	ingress_write_next(c);
}

void ingress_reply(struct ingress_request *req, int status, const struct ingress_header *headers,
		   size_t n, struct str body, bool close)
{
	if (req->conn)
		reply(req, status, headers, n, body, (struct blocks){0}, close);
}

void ingress_reply_blocks(struct ingress_request *req, int status,
			  const struct ingress_header *headers, size_t n, struct blocks body)
{
	if (req->conn)
		reply(req, status, headers, n, STR_NULL, body, false);
	else
		blocks_free(&body);
}
