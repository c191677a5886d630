/*
 * Reading of bytes. Load pattern: callers that send without end, more than is taken of them. Each
 * turn of the loop takes a limited part of one connection's input. Reading pauses while a
 * connection has more unparsed input than it may hold, or while the account admits no larger
 * buffer; the system's buffers then slow the caller down. While reading is paused the loop does not
 * report that a caller has left, so a timer looks for that.
 */
#include "connection/ingress_priv.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/log.h"
#include "base/mutant.h"

/* Most bytes that are read from a connection in one turn of the loop. */
#define MAX_READ_BYTES (64u * 1024)
#define MIN_READ_BYTES 4096
/* Reading pauses when more input than this waits behind open requests. */
#define MAX_AHEAD_BYTES (64u * 1024)
/* How often paused connections and stalled answers are looked at. */
#define SWEEP_MS 50

static const struct log log = {"ingress"};
CTR(ctr_paused, "ingress_paused_total",
    "Times that reading from a caller paused because its connection holds enough input.");
CTR(ctr_memory_paused, "ingress_memory_paused_total",
    "Times that reading from a caller paused because memory was short.");
CTR(ctr_stale, "ingress_stale_total", "Bodies that had stopped and gave way to others.");

size_t ingress_held_bytes(const struct ingress_conn *c)
{
	return c->input_counted + (c->req ? c->req->counted : 0);
}

void ingress_count_input(struct ingress_conn *c)
{
	h2o_buffer_t *input = c->sock->input;

	if (!input->size && input->bytes && input->capacity > MIN_READ_BYTES) {
		h2o_buffer_dispose(&c->sock->input);
		h2o_buffer_init(&c->sock->input, &h2o_socket_buffer_prototype);
		input = c->sock->input;
	}
	door_count(c->in->door, &c->input_counted, input->bytes ? input->capacity : 0);
}

/* Returns the connection whose body has been silent longest. */
static struct ingress_conn *stalest_body(struct ingress *in, const struct ingress_conn *except)
{
	struct ingress_conn *best = NULL;

	for (struct ingress_conn *c = in->conns; c; c = c->next) {
		if (c->state == CONN_BODY && c != except && c->body_length + c->body_capacity &&
		    (!best || c->body_read_at < best->body_read_at))
			best = c;
	}
	return best;
}

bool ingress_admit(struct ingress_conn *c, size_t more)
{
	struct ingress *in = c->in;
	clk_ms now = clk_now();

	while (!door_admits(in->door, ingress_held_bytes(c), more)) {
		struct ingress_conn *stale;

		/* If none is stale now, the next turn of the loop finds none either. */
		if (in->evicted_at == now)
			return false;
		stale = stalest_body(in, c);
		if (!stale || !door_is_stale_body(stale->body_read_at, now)) {
			in->evicted_at = now;
			return false;
		}
		ctr_inc(&ctr_stale);
		ingress_refuse(stale, 408, "the body stopped while memory is short; send it again");
	}
	return true;
}

/* Whether as much unparsed input as permitted waits behind open requests. */
static bool has_enough_input(const struct ingress_conn *c)
{
	bool parsing = c->state == CONN_HEAD || c->state == CONN_BODY ||
		       (c->state == CONN_IDLE && !c->first);

	return !parsing && c->sock->input->size >= MAX_AHEAD_BYTES && !MUTANT(ingress_read_all);
}

/* Returns space in the input buffer, none if it is full and may not grow. */
static h2o_iovec_t input_space(struct ingress_conn *c)
{
	h2o_buffer_t *input = c->sock->input;
	size_t left = 0;

	if (!input->bytes)
		return h2o_buffer_reserve(&c->sock->input, MIN_READ_BYTES);
	left = input->capacity - input->size - (size_t)(input->bytes - input->_buf);
	if (left >= MIN_READ_BYTES ||
	    door_admits(c->in->door, ingress_held_bytes(c), input->capacity))
		return h2o_buffer_reserve(&c->sock->input, MIN_READ_BYTES);
	return h2o_iovec_init(input->bytes + input->size, left);
}

static void pause_reading(struct ingress_conn *c, bool for_memory)
{
	ctr_inc(for_memory ? &ctr_memory_paused : &ctr_paused);
	log_info(&log,
		 "paused reading from a caller with %zu bytes of input and %zu open requests: %s",
		 c->sock->input->size, c->n_exchanges,
		 for_memory ? "memory is short" : "it sends ahead of its answers");
	h2o_socket_read_stop(c->sock);
	c->paused = true;
	c->in->n_paused++;
	ingress_arm_sweep(c->in);
}

/*
 * Reads what waits in the socket, up to a limit; the loop reports the rest again. Returns NULL, or
 * why nothing more can be read.
 */
static const char *read_some(struct ingress_conn *c)
{
	size_t total = 0;
	size_t max;
	ssize_t n;

	do {
		h2o_iovec_t space;

		if (has_enough_input(c)) {
			pause_reading(c, false);
			return NULL;
		}
		space = input_space(c);
		/* What was read now is parsed first, which may empty the buffer. */
		if (!space.len && !total)
			pause_reading(c, true);
		if (!space.len)
			return NULL;
		max = space.len < MAX_READ_BYTES - total ? space.len : MAX_READ_BYTES - total;
		do
			n = read(h2o_socket_get_fd(c->sock), space.base, max);
		while (n == -1 && errno == EINTR);
		if (n == -1 && errno != EAGAIN && errno != EWOULDBLOCK)
			return h2o_socket_error_io;
		if (n == 0)
			return total ? NULL : h2o_socket_error_closed;
		if (n > 0) {
			c->sock->input->size += (size_t)n;
			total += (size_t)n;
		}
	} while (n == (ssize_t)max && (total < MAX_READ_BYTES || MUTANT(ingress_read_all)));
	return NULL;
}

void ingress_on_read(h2o_socket_t *sock, const char *err)
{
	struct ingress_conn *c = sock->data;

	if (!err)
		err = read_some(c);
	if (err) {
		ingress_conn_close(c);
		return;
	}
	ingress_count_input(c);
	ingress_read_input(c);
}

void ingress_resume(struct ingress_conn *c)
{
	if (!c->paused || has_enough_input(c) || !input_space(c).len)
		return;
	ingress_count_input(c);
	c->paused = false;
	c->in->n_paused--;
	h2o_socket_read_start(c->sock, ingress_on_read);
}

void ingress_arm_sweep(struct ingress *in)
{
	if (!in->sweep_timer.armed)
		timer_arm(&in->sweep_timer, SWEEP_MS);
}

/* Marks the paused connections whose callers have left. */
static void find_left(struct ingress *in)
{
	struct pollfd *polls = calloc(in->n_paused + 1, sizeof(*polls));
	size_t n = 0;

	if (!polls)
		abort();
	for (struct ingress_conn *c = in->conns; c; c = c->next) {
		if (c->paused)
			polls[n++] = (struct pollfd){.fd = h2o_socket_get_fd(c->sock),
						     .events = POLLRDHUP};
	}
	if (n && poll(polls, n, 0) > 0 && !MUTANT(ingress_paused_deaf)) {
		n = 0;
		for (struct ingress_conn *c = in->conns; c; c = c->next) {
			if (c->paused)
				c->left = polls[n++].revents != 0;
		}
	}
	free(polls);
}

void ingress_on_sweep(struct timer *timer, void *data)
{
	struct ingress *in = data;
	const struct answer_memory *answers = in->handlers.limits(in->data)->answers;
	bool writing = false;
	clk_ms now = clk_now();

	find_left(in);
	/* The end of a request may close the connections of others. */
	for (struct ingress_conn *c = in->conns; c; c = in->sweep_next) {
		in->sweep_next = c->next;
		writing |= c->writing;
		if (c->left || (c->writing && ingress_is_stalled(c, now)))
			ingress_conn_close(c);
		else
			ingress_resume(c);
	}
	in->sweep_next = NULL;
	if (in->n_paused || (writing && ingress_answers_short(answers)))
		timer_arm(timer, SWEEP_MS);
}
