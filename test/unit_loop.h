/*
 * Helpers for test programs with a real event loop, and a small HTTP server on it whose answers the
 * test gives as raw bytes. Loops run until a condition holds; the timeout only ends a hanging test.
 */
#ifndef TEST_UNIT_LOOP_H
#define TEST_UNIT_LOOP_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <h2o.h>

#include "base/clk.h"
#include "base/mutant.h"
#include "base/str.h"
#include "connection/timer.h"

#define UNIT_TIMEOUT_MS 60000
/* With a mutant enabled the first timeout already decides the run, so later waits fail at once. */
#define UNIT_MUTANT_TIMEOUT_MS 15000

typedef bool (*unit_cond)(void *data);

static inline bool unit_has_mutant(void)
{
#ifdef BC_MUTANTS
	return mutant_active != NULL;
#else
	return false;
#endif
}

/* Runs the loop until `cond` holds; returns false if that takes longer than the timeout. */
static inline bool unit_run_until(h2o_loop_t *loop, unit_cond cond, void *data)
{
	static bool timed_out;
	clk_ms deadline =
		clk_now() + (unit_has_mutant() ? UNIT_MUTANT_TIMEOUT_MS : UNIT_TIMEOUT_MS);

	while (!cond(data)) {
		if (clk_now() > deadline || (timed_out && unit_has_mutant())) {
			timed_out = true;
			return false;
		}
		h2o_evloop_run(loop, 10);
	}
	return true;
}

/* Runs the loop for `ms`: handles everything that becomes ready or due. */
static inline void unit_run_for(h2o_loop_t *loop, clk_ms ms)
{
	clk_ms until = clk_now() + ms;

	do
		h2o_evloop_run(loop, 1);
	while (clk_now() < until);
}

/* Addresses of a program, and the second octets that those with the same number may have. */
#define UNIT_ADDRESSES 3
#define UNIT_FIRST_NETWORK 128 /* above those of test/scripts/lib.sh, 127.16 to 127.79 */
#define UNIT_NETWORKS 16

/*
 * Returns one of the loopback addresses derived from the process id, in ascending order. Programs
 * that run at the same time must not share one: a port that one of them closes for a time may
 * become another's.
 */
static inline char *unit_ip_of(unsigned int number)
{
	static char ips[UNIT_ADDRESSES][16];
	unsigned int pid = (unsigned int)getpid();
	unsigned int network = UNIT_FIRST_NETWORK + number * UNIT_NETWORKS;

	snprintf(ips[number], sizeof(ips[number]), "127.%u.%u.%u",
		 network + (pid >> 16) % UNIT_NETWORKS, pid >> 8 & 255, pid & 255);
	return ips[number];
}

static inline const char *unit_ip(void)
{
	return unit_ip_of(0);
}

/* Returns a socket that listens on `*port` of `ip`; 0: on a free port, written to `*port`. */
static inline int unit_listen(const char *ip, uint32_t *port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)*port)};
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	inet_pton(AF_INET, ip, &a.sin_addr);
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 || listen(fd, 128) != 0 ||
	    getsockname(fd, (struct sockaddr *)&a, &len) != 0) {
		perror("unit_listen");
		abort();
	}
	*port = ntohs(a.sin_port);
	return fd;
}

/* Returns a port that was free at the time of the call. */
static inline uint32_t unit_free_port(const char *ip)
{
	uint32_t port = 0;

	close(unit_listen(ip, &port));
	return port;
}

struct unit_server;

struct unit_conn {
	struct unit_server *server;
	h2o_socket_t *sock; /* NULL once closed */
	size_t number;	    /* 1 for the first connection of the server */
	size_t n_requests;  /* whole requests received */
	char *write_buf;    /* being written; NULL: none */
	char *second_part;  /* to write after `write_buf` has been written; NULL: none */
	size_t second_part_len;
	bool close_after;
	struct unit_conn *next;
};

struct unit_server {
	h2o_loop_t *loop;
	h2o_socket_t *listener;
	const char *ip;
	uint32_t port;
	size_t accepted;
	size_t closed; /* connections closed by the client */
	size_t resets; /* the part of `closed` that ended with a TCP reset or another error */
	size_t requests;
	size_t bytes;
	/* Called with each complete request; may answer with unit_reply(). */
	void (*on_request)(struct unit_conn *c, struct str request, void *data);
	void *data;
	struct unit_conn *conns;
};

static inline void unit_close(struct unit_conn *c)
{
	if (c->sock)
		h2o_socket_close(c->sock);
	c->sock = NULL;
	free(c->write_buf);
	free(c->second_part);
	c->write_buf = NULL;
	c->second_part = NULL;
}

/* Closes the connection with a reset, which discards what the client has not acknowledged. */
static inline void unit_reset(struct unit_conn *c)
{
	const struct linger reset = {1, 0};

	setsockopt(h2o_socket_get_fd(c->sock), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	unit_close(c);
}

static inline void unit_on_written(h2o_socket_t *sock, const char *err)
{
	struct unit_conn *c = sock->data;
	h2o_iovec_t iov = {c->second_part, c->second_part_len};

	free(c->write_buf);
	c->write_buf = c->second_part;
	c->second_part = NULL;
	if (err)
		unit_close(c);
	else if (c->write_buf)
		h2o_socket_write(sock, &iov, 1, unit_on_written);
	else if (c->close_after)
		unit_close(c);
}

/* Writes a copy of the bytes; the previous write must have ended. */
static inline void unit_reply(struct unit_conn *c, struct str bytes)
{
	h2o_iovec_t iov;

	if (!c->sock)
		return;
	if (c->write_buf)
		abort();
	c->write_buf = malloc(bytes.len + 1);
	memcpy(c->write_buf, bytes.ptr, bytes.len);
	iov = h2o_iovec_init(c->write_buf, bytes.len);
	h2o_socket_write(c->sock, &iov, 1, unit_on_written);
}

/* Like unit_reply(), but in two writes, split at offset `cut`. */
static inline void unit_reply_split(struct unit_conn *c, struct str bytes, size_t cut)
{
	if (cut == 0 || cut >= bytes.len) {
		unit_reply(c, bytes);
		return;
	}
	c->second_part_len = bytes.len - cut;
	c->second_part = malloc(c->second_part_len);
	memcpy(c->second_part, bytes.ptr + cut, c->second_part_len);
	unit_reply(c, (struct str){bytes.ptr, cut});
}

/* Returns the length of the request at the start of the input, 0 if it is incomplete. */
static inline size_t unit_request_len(const char *buf, size_t len)
{
	const char *end = len ? memmem(buf, len, "\r\n\r\n", 4) : NULL;
	const char *cl;
	size_t total;

	if (!end)
		return 0;
	total = (size_t)(end - buf) + 4;
	cl = memmem(buf, total, "content-length: ", 16);
	if (cl)
		total += strtoul(cl + 16, NULL, 10);
	return total <= len ? total : 0;
}

static inline void unit_on_data(h2o_socket_t *sock, const char *err)
{
	struct unit_conn *c = sock->data;
	size_t len;

	if (err) {
		c->server->closed++;
		c->server->resets += err != h2o_socket_error_closed;
		unit_close(c);
		return;
	}
	while (c->sock && (len = unit_request_len(sock->input->bytes, sock->input->size)) > 0) {
		char *copy = malloc(len + 1);

		memcpy(copy, sock->input->bytes, len);
		copy[len] = '\0';
		h2o_buffer_consume(&sock->input, len);
		c->n_requests++;
		c->server->requests++;
		c->server->bytes += len;
		c->server->on_request(c, (struct str){copy, len}, c->server->data);
		free(copy);
	}
}

static inline void unit_on_accept(h2o_socket_t *listener, const char *err)
{
	struct unit_server *s = listener->data;
	h2o_socket_t *sock;

	while (!err && (sock = h2o_evloop_socket_accept(listener)) != NULL) {
		struct unit_conn *c = calloc(1, sizeof(*c));

		c->server = s;
		c->sock = sock;
		c->number = ++s->accepted;
		c->next = s->conns;
		s->conns = c;
		sock->data = c;
		h2o_socket_read_start(sock, unit_on_data);
	}
}

static inline void unit_server_listen(struct unit_server *s)
{
	int fd = unit_listen(s->ip, &s->port);

	s->listener = h2o_evloop_socket_create(s->loop, fd, H2O_SOCKET_FLAG_DONT_READ);
	s->listener->data = s;
	h2o_socket_read_start(s->listener, unit_on_accept);
}

static inline void unit_server_start(struct unit_server *s, h2o_loop_t *loop, const char *ip)
{
	timer_setup_process();
	s->loop = loop;
	s->ip = ip;
	unit_server_listen(s);
}

/* Closes the listener and all connections; unit_server_listen() opens the same port again. */
static inline void unit_server_stop(struct unit_server *s)
{
	if (s->listener)
		h2o_socket_close(s->listener);
	s->listener = NULL;
	while (s->conns) {
		struct unit_conn *c = s->conns;

		s->conns = c->next;
		unit_close(c);
		free(c);
	}
}

#endif
