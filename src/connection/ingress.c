#include "connection/ingress.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "base/mutant.h"
#include "connection/ingress_priv.h"

#define LISTEN_BACKLOG 1024
/* Limited so that a burst of new connections does not delay input on open connections. */
#define MAX_ACCEPTS_PER_CALLBACK 32
/* How long new connections wait before it is checked again whether there is room for one. */
#define ACCEPT_PAUSE_MS 50
/* Idle connections that are checked for unread input before no room for a new one is assumed. */
#define MAX_IDLE_CHECKS 32

static const struct log log = {"ingress"};
CTR(ctr_idle_closed, "ingress_idle_closed_total", "Idle connections closed to accept others.");

/* Closes the connection that has been idle longest; returns false if there is none to close. */
static bool close_longest_idle(struct ingress *in)
{
	size_t checks = 0;

	if (MUTANT(ingress_keep_idle))
		return false;
	for (struct ingress_conn *c = in->idle; c && checks < MAX_IDLE_CHECKS; c = c->idle_next) {
		if (!ingress_has_arrived_input(c)) {
			ctr_inc(&ctr_idle_closed);
			ingress_conn_close(c);
			return true;
		}
		checks++;
	}
	return false;
}

static bool has_waiting_connection(const struct ingress *in)
{
	struct pollfd p = {.fd = h2o_socket_get_fd(in->listener), .events = POLLIN};

	return poll(&p, 1, 0) > 0;
}

/*
 * Accepts a connection, if needed in place of an idle one. Returns NULL if no connection waits, or
 * if there is no room for the one that waits; sets `*full` in that case.
 */
static h2o_socket_t *accept_one(struct ingress *in, bool *full)
{
	size_t max = in->handlers.limits(in->data)->max_connections;

	for (;;) {
		if (!max || in->n_conns < max) {
			int fd = accept4(h2o_socket_get_fd(in->listener), NULL, NULL,
					 SOCK_NONBLOCK | SOCK_CLOEXEC);

			/* The loop only reports that there is something to read, see
			 * ingress_input.c. */
			if (fd >= 0)
				return h2o_evloop_socket_create(in->loop, fd,
								H2O_SOCKET_FLAG_DONT_READ);
			/* accept() fails with EMFILE also if no connection waits. */
			if (errno != EMFILE && errno != ENFILE)
				return NULL;
		}
		if (!has_waiting_connection(in))
			return NULL;
		if (!close_longest_idle(in)) {
			*full = true;
			return NULL;
		}
	}
}

/* Stops accepting for a while: the loop would be woken at once for the connections that wait. */
static void pause_accepting(struct ingress *in)
{
	if (!in->full)
		log_info(&log, "new connections wait: %zu are open and none is idle", in->n_conns);
	in->full = true;
	h2o_socket_read_stop(in->listener);
	timer_arm(&in->accept_timer, ACCEPT_PAUSE_MS);
}

/* Accepts up to `max` connections of the listening queue. */
static void accept_pending(struct ingress *in, size_t max)
{
	h2o_socket_t *sock;
	bool full = false;

	while (max && (sock = accept_one(in, &full)) != NULL) {
		ingress_conn_open(in, sock);
		max--;
	}
	if (full)
		pause_accepting(in);
	else
		in->full = false;
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	if (!err)
		accept_pending(listener->data, MAX_ACCEPTS_PER_CALLBACK);
}

static void on_accept_timer(struct timer *timer, void *data)
{
	struct ingress *in = data;

	h2o_socket_read_start(in->listener, on_accept);
	accept_pending(in, MAX_ACCEPTS_PER_CALLBACK);
}

static int open_listening_socket(const char *ip, uint32_t port, struct err *err)
{
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int one = 1;
	int fd;

	if (inet_pton(AF_INET, ip, &sa.sin_addr) != 1) {
		err_set(err, ERR_SETTINGS, "\"%s\" is not an IPv4 address; write it as a.b.c.d",
			ip);
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0) {
		err_set(err, ERR_IO, "cannot open a socket for %s:%u: %s", ip, port,
			strerror(errno));
		return -1;
	}
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 || listen(fd, LISTEN_BACKLOG) != 0) {
		err_set(err, ERR_IO,
			"cannot listen on %s:%u: %s; choose a free port of this instance", ip, port,
			strerror(errno));
		close(fd);
		return -1;
	}
	return fd;
}

struct ingress *ingress_create(h2o_loop_t *loop, const char *ip, uint32_t port,
			       const struct ingress_handlers *handlers, void *data, struct err *err)
{
	int fd = open_listening_socket(ip, port, err);
	struct ingress *in;

	if (fd < 0)
		return NULL;
	in = calloc(1, sizeof(*in));
	if (!in)
		abort();
	timer_setup_process();
	in->loop = loop;
	in->handlers = *handlers;
	in->data = data;
	in->door = handlers->limits(data)->door;
	timer_init(&in->sweep_timer, loop, ingress_on_sweep, in);
	in->listener = h2o_evloop_socket_create(loop, fd, H2O_SOCKET_FLAG_DONT_READ);
	in->listener->data = in;
	timer_init(&in->accept_timer, loop, on_accept_timer, in);
	h2o_socket_read_start(in->listener, on_accept);
	return in;
}

void ingress_drain(struct ingress *in)
{
	in->draining = true;
}

void ingress_stop_accepting(struct ingress *in)
{
	if (!in->listener)
		return;
	h2o_socket_read_stop(in->listener);
	/* Closing the socket resets the connections that it has not handed out. */
	if (!MUTANT(ingress_cut_arrived))
		accept_pending(in, LISTEN_BACKLOG);
	timer_release(&in->accept_timer);
	h2o_socket_close(in->listener);
	in->listener = NULL;
}

void ingress_shutdown(struct ingress *in)
{
	struct ingress_conn *next;

	ingress_stop_accepting(in);
	for (struct ingress_conn *c = in->conns; c; c = next) {
		next = c->next;
		if (c->idle_listed && !ingress_is_in_use(c))
			ingress_conn_close(c);
	}
}

size_t ingress_open_requests(const struct ingress *in)
{
	size_t n = 0;

	for (const struct ingress_conn *c = in->conns; c; c = c->next)
		n += ingress_is_in_use(c);
	return n;
}

size_t ingress_open_responses(const struct ingress *in)
{
	size_t n = 0;

	for (const struct ingress_conn *c = in->conns; c; c = c->next)
		n += c->writing;
	return n;
}

size_t ingress_connections(const struct ingress *in)
{
	return in->n_conns;
}

bool ingress_is_full(const struct ingress *in)
{
	return in->full;
}

void ingress_close(struct ingress *in)
{
	struct ingress_conn *c;

	if (!in)
		return;
	ingress_stop_accepting(in);
	while ((c = in->conns) != NULL) {
		in->conns = c->next;
		if (c->next)
			c->next->prev = NULL;
		ingress_conn_free(c);
	}
}

void ingress_destroy(struct ingress *in)
{
	if (!in)
		return;
	ingress_close(in);
	timer_release(&in->sweep_timer);
	free(in);
}
