/* Peer addresses, and new connections: dialled or accepted. */
#include "connection/peer_priv.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/ctr.h"
#include "base/log.h"

#define DIAL_BACKOFF_MAX_MS 2000
/* Refuses a new connection while this many accepted ones have not sent HELLO. */
#define MAX_UNIDENTIFIED_CONNS 64
/* The kernel closes a connection whose other end acknowledges nothing for this long. */
#define UNACKED_TIMEOUT_MS 3000

static const struct log log = {"peer"};
CTR(ctr_refused, "peer_refused_total", "Accepted connections refused, too many without HELLO.");

bool peer_address_set(struct sockaddr_in *out, const char *ip, uint32_t port)
{
	*out = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	return port > 0 && port <= UINT16_MAX && inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

int peer_address_compare(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	uint32_t ip_a = ntohl(a->sin_addr.s_addr);
	uint32_t ip_b = ntohl(b->sin_addr.s_addr);

	if (ip_a != ip_b)
		return ip_a < ip_b ? -1 : 1;
	return (int)ntohs(a->sin_port) - (int)ntohs(b->sin_port);
}

const char *peer_address_text(const struct sockaddr_in *a)
{
	static char text[INET_ADDRSTRLEN + 8];
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &a->sin_addr, ip, sizeof(ip));
	snprintf(text, sizeof(text), "%s:%u", ip, ntohs(a->sin_port));
	return text;
}

/*
 * Returns a random time from `ms` / 2 to `ms`, so that routers that lost a peer at the same time do
 * not dial it at the same time.
 */
static clk_ms jitter(struct peer_set *set, clk_ms ms)
{
	return ms / 2 + (clk_ms)rnd_below(&set->rnd, (uint64_t)ms / 2 + 1);
}

void peer_schedule_redial(struct peer_set *set, struct peer_target *t)
{
	t->next_dial = clk_now() + jitter(set, t->backoff);
	t->backoff = t->backoff * 2 < DIAL_BACKOFF_MAX_MS ? t->backoff * 2 : DIAL_BACKOFF_MAX_MS;
}

struct peer_target *peer_find_target(const struct peer_set *set, const struct sockaddr_in *address)
{
	for (struct peer_target *t = set->targets; t; t = t->next) {
		if (peer_address_compare(&t->address, address) == 0)
			return t;
	}
	return NULL;
}

static struct peer_conn *conn_new(struct peer_set *set, h2o_socket_t *sock, bool dialled)
{
	struct peer_conn *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->set = set;
	c->sock = sock;
	c->dialled = dialled;
	c->queue_end = &c->queue;
	c->info.last_received_at = clk_now();
	c->next = set->conns;
	set->conns = c;
	sock->data = c;
	return c;
}

static void send_hello(struct peer_conn *c)
{
	Bc__Frame frame = BC__FRAME__INIT;

	frame.body_case = BC__FRAME__BODY_HELLO;
	frame.hello = &c->set->self;
	peer_conn_send(c, &frame);
}

static void start_handshake(struct peer_conn *c)
{
	int fd = h2o_socket_get_fd(c->sock);
	unsigned int unacked_ms = UNACKED_TIMEOUT_MS;
	int on = 1;

	if (setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)) != 0 ||
	    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms, sizeof(unacked_ms)) != 0)
		log_warn(&log, "cannot set options of a connection to a peer: %s", strerror(errno));
	c->connected = true;
	h2o_socket_read_start(c->sock, peer_on_read);
	send_hello(c);
}

static void set_refused(struct peer_target *t, bool refused)
{
	if (!refused)
		t->refused_since = 0;
	else if (!t->refused_since)
		t->refused_since = clk_now();
}

static void record_connect_result(struct peer_conn *c, int error)
{
	if (c->target)
		set_refused(c->target, error == ECONNREFUSED);
}

static void on_connect(h2o_socket_t *sock, const char *err)
{
	struct peer_conn *c = sock->data;
	int error = 0;
	socklen_t len = sizeof(error);

	if (getsockopt(h2o_socket_get_fd(sock), SOL_SOCKET, SO_ERROR, &error, &len) != 0)
		error = errno;
	record_connect_result(c, error);
	if (err || error)
		peer_conn_close(c);
	else
		start_handshake(c);
}

void peer_on_accept(h2o_socket_t *listener, const char *err)
{
	struct peer_set *set = listener->data;
	h2o_socket_t *sock;
	struct peer_conn *c;

	if (err)
		return;
	while ((sock = h2o_evloop_socket_accept(listener)) != NULL) {
		socklen_t len = sizeof(c->address);

		if (set->n_unidentified >= MAX_UNIDENTIFIED_CONNS) {
			ctr_inc(&ctr_refused);
			h2o_socket_close(sock);
			continue;
		}
		c = conn_new(set, sock, false);
		set->n_unidentified++;
		getpeername(h2o_socket_get_fd(sock), (struct sockaddr *)&c->address, &len);
		start_handshake(c);
	}
}

/*
 * Returns a connecting socket, or -1 with errno set. h2o_socket_connect() is not used because it
 * hides the errno, and ECONNREFUSED has to be distinguished from an address that does not respond.
 */
static int start_connect(const struct sockaddr_in *address)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) == 0 ||
	    errno == EINPROGRESS)
		return fd;
	close(fd);
	return -1;
}

void peer_dial(struct peer_set *set, struct peer_target *t)
{
	int fd = start_connect(&t->address);
	h2o_socket_t *sock;
	struct peer_conn *c;

	if (fd < 0) {
		set_refused(t, errno == ECONNREFUSED);
		peer_schedule_redial(set, t);
		return;
	}
	sock = h2o_evloop_socket_create(set->loop, fd, 0);
	c = conn_new(set, sock, true);
	c->target = t;
	c->address = t->address;
	t->dialled_conn = c;
	h2o_socket_notify_write(sock, on_connect);
}
