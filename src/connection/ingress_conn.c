#include "connection/ingress_priv.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/mutant.h"

/* Time for a caller to read the last response before its connection is closed. */
#define LINGER_MS 1000

CTR(ctr_accepted, "ingress_connections_total", "Connections accepted from callers.");
CTR(ctr_timeouts, "ingress_slow_total", "Connections closed because a request came too slowly.");

const struct ingress_limits *ingress_limits(const struct ingress_conn *c)
{
	return c->in->handlers.limits(c->in->data);
}

void ingress_request_free(struct ingress_request *req)
{
	door_count(req->door, &req->counted, 0);
	arena_free(&req->arena);
	free(req->body_memory);
	free(req);
}

void ingress_conn_discard_request(struct ingress_conn *c)
{
	if (c->req)
		ingress_request_free(c->req);
	c->req = NULL;
	free(c->body);
	c->body = NULL;
	c->body_len = 0;
	c->body_capacity = 0;
	c->raw_body_bytes = 0;
}

static void idle_list_add(struct ingress_conn *c)
{
	struct ingress *in = c->in;

	c->idle_listed = true;
	c->idle_prev = in->idle_tail;
	c->idle_next = NULL;
	if (in->idle_tail)
		in->idle_tail->idle_next = c;
	else
		in->idle = c;
	in->idle_tail = c;
}

void ingress_idle_remove(struct ingress_conn *c)
{
	struct ingress *in = c->in;

	if (!c->idle_listed)
		return;
	c->idle_listed = false;
	if (c->idle_prev)
		c->idle_prev->idle_next = c->idle_next;
	else
		in->idle = c->idle_next;
	if (c->idle_next)
		c->idle_next->idle_prev = c->idle_prev;
	else
		in->idle_tail = c->idle_prev;
}

void ingress_conn_free(struct ingress_conn *c)
{
	struct ingress *in = c->in;

	ingress_drop_exchanges(c);
	ingress_conn_discard_request(c);
	ingress_idle_remove(c);
	if (c->paused)
		in->n_paused--;
	door_count(in->door, &c->input_counted, 0);
	timer_release(&c->timer);
	timer_release(&c->write_timer);
	in->n_conns--;
	h2o_socket_close(c->sock);
	c->closed = true;
	if (!c->busy)
		free(c);
}

void ingress_conn_hold(struct ingress_conn *c)
{
	c->busy++;
}

bool ingress_conn_release(struct ingress_conn *c)
{
	bool closed = c->closed;

	if (--c->busy == 0 && closed)
		free(c);
	return !closed;
}

void ingress_conn_close(struct ingress_conn *c)
{
	if (c->in->sweep_next == c)
		c->in->sweep_next = c->next;
	if (c->prev)
		c->prev->next = c->next;
	else
		c->in->conns = c->next;
	if (c->next)
		c->next->prev = c->prev;
	ingress_conn_free(c);
}

void ingress_conn_set_idle(struct ingress_conn *c)
{
	c->state = CONN_IDLE;
	idle_list_add(c);
	timer_arm(&c->timer, ingress_limits(c)->idle_timeout);
}

static void on_lingering_read(h2o_socket_t *sock, const char *err)
{
	char bytes[4096];

	if (err || read(h2o_socket_get_fd(sock), bytes, sizeof(bytes)) == 0)
		ingress_conn_close(sock->data);
}

void ingress_conn_linger(struct ingress_conn *c)
{
	c->state = CONN_LINGER;
	ingress_drop_exchanges(c);
	ingress_conn_discard_request(c);
	shutdown(h2o_socket_get_fd(c->sock), SHUT_WR);
	h2o_buffer_consume(&c->sock->input, c->sock->input->size);
	ingress_count_input(c);
	if (c->paused)
		c->in->n_paused--;
	c->paused = false;
	h2o_socket_read_start(c->sock, on_lingering_read);
	timer_arm(&c->timer, LINGER_MS);
}

static void on_timer(struct timer *timer, void *data)
{
	struct ingress_conn *c = data;

	switch (c->state) {
	case CONN_HEAD:
	case CONN_BODY:
		ctr_inc(&ctr_timeouts);
		ingress_refuse(c, 408, "the request did not arrive in time; send it again");
		break;
	case CONN_IDLE:
	case CONN_LINGER:
		ingress_conn_close(c);
		break;
	case CONN_HELD:
	case CONN_ENDED:
		break;
	}
}

bool ingress_caller_closed(const struct ingress_request *req)
{
	struct pollfd p = {.events = POLLRDHUP};

	if (!req->conn)
		return true;
	p.fd = h2o_socket_get_fd(req->conn->sock);
	return poll(&p, 1, 0) > 0;
}

/*
 * The handler may be deciding on several requests; only the one that it named ends in this call,
 * and others of the connection from the loop.
 */
void ingress_drop(struct ingress_request *req)
{
	struct ingress_conn *c = req->conn;

	if (!c)
		return;
	if (c->ending) {
		ingress_drop_request(req);
	} else if (c->n_exchanges == 1) {
		ingress_conn_close(c);
	} else {
		ingress_drop_request(req);
		c->state = CONN_LINGER;
		timer_arm(&c->timer, 0);
	}
}

void ingress_conn_open(struct ingress *in, h2o_socket_t *sock)
{
	struct ingress_conn *c = calloc(1, sizeof(*c));
	int on = 1;

	if (!c)
		abort();
	setsockopt(h2o_socket_get_fd(sock), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c->in = in;
	c->sock = sock;
	sock->data = c;
	timer_init(&c->timer, in->loop, on_timer, c);
	timer_init(&c->write_timer, in->loop, ingress_on_write_timer, c);
	c->next = in->conns;
	if (c->next)
		c->next->prev = c;
	in->conns = c;
	in->n_conns++;
	ctr_inc(&ctr_accepted);
	ingress_conn_set_idle(c);
	h2o_socket_read_start(sock, ingress_on_read);
}

bool ingress_has_arrived_input(const struct ingress_conn *c)
{
	int n = 0;

	return !MUTANT(ingress_cut_arrived) &&
	       ioctl(h2o_socket_get_fd(c->sock), FIONREAD, &n) == 0 && n > 0;
}

bool ingress_is_in_use(const struct ingress_conn *c)
{
	if (c->state == CONN_IDLE && !c->first)
		return ingress_has_arrived_input(c);
	return c->state != CONN_LINGER;
}
