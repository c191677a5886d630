/* The set of peer connections: its timer, its listening socket and its public functions. */
#include "connection/peer_priv.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"

#define TICK_MS 50
/*
 * A tick that is delayed for longer means that this process was paused and could not receive, so
 * that the time before it does not count towards receive timeouts.
 */
#define MAX_TICK_DELAY_MS 150
/* For connecting and receiving HELLO: allows for one lost packet, which TCP resends within 1 s. */
#define HANDSHAKE_TIMEOUT_MS 2000

static const struct log log = {"peer"};
CTR(ctr_receive_timeouts, "peer_silent_total", "Peer connections closed because they went silent.");

static const char *const cause_names[PEER_N_CAUSES] = {
	[PEER_CAUSE_RELAY] = "relay",
	[PEER_CAUSE_DOC] = "doc",
	[PEER_CAUSE_HEARTBEAT] = "heartbeat",
	[PEER_CAUSE_OTHER] = "other",
};

static clk_ms receive_timeout(const struct peer_conn *c)
{
	if (!c->hello)
		return HANDSHAKE_TIMEOUT_MS;
	if (c->timeout)
		return c->timeout;
	return c->remote ? PEER_REMOTE_RECEIVE_TIMEOUT_MS : PEER_RECEIVE_TIMEOUT_MS;
}

/* Whether received bytes wait to be read; if so, this process was paused, not the peer. */
static bool socket_has_unread_input(const struct peer_conn *c)
{
	int n = 0;

	return c->connected && ioctl(h2o_socket_get_fd(c->sock), FIONREAD, &n) == 0 && n > 0;
}

/* Returns when bytes were received last, or when this process went on after a pause. */
static clk_ms silent_since(const struct peer_conn *c)
{
	return c->info.last_received_at > c->set->last_resumed_at ? c->info.last_received_at
								  : c->set->last_resumed_at;
}

bool peer_was_paused(const struct peer_set *set, clk_ms now)
{
	return now - set->last_tick > TICK_MS + MAX_TICK_DELAY_MS ||
	       now - set->last_resumed_at <= MAX_TICK_DELAY_MS;
}

/* Closes the connection on receive timeout and sends the keep-alive frame to other regions. */
static void check_conn(struct peer_conn *c, clk_ms now)
{
	Bc__Frame empty = BC__FRAME__INIT;
	if (now - silent_since(c) > receive_timeout(c) && !socket_has_unread_input(c) &&
	    !MUTANT(peer_ignore_silence)) {
		ctr_inc(&ctr_receive_timeouts);
		log_warn(&log, "closed the connection %s %s: no bytes received for %lld ms",
			 c->dialled ? "to" : "from", peer_address_text(&c->address),
			 (long long)(now - c->info.last_received_at));
		peer_conn_close(c);
		return;
	}
	if (c->remote && !c->timeout && c->current &&
	    now - c->last_sent >= PEER_REMOTE_KEEPALIVE_MS)
		peer_conn_send(c, &empty);
}

static void on_tick(struct timer *timer, void *data)
{
	struct peer_set *set = data;
	clk_ms now = clk_now();

	timer_arm(timer, TICK_MS);
	if (now - set->last_tick > TICK_MS + MAX_TICK_DELAY_MS)
		set->last_resumed_at = now;
	set->last_tick = now;
	peer_conn_free_closed(set);
	/* Handlers may close connections, which then stay in the list until the next tick. */
	for (struct peer_conn *c = set->conns; c; c = c->next) {
		if (!c->closed)
			check_conn(c, now);
	}
	for (struct peer_target *t = set->targets; t; t = t->next) {
		if (!t->dialled_conn && !t->is_self && now >= t->next_dial &&
		    !peer_find_current(set, &t->address))
			peer_dial(set, t);
	}
}

static h2o_socket_t *open_listener(h2o_loop_t *loop, const Bc__Hello *self,
				   const struct sockaddr_in *address, struct err *err)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0) {
		err_set(err, ERR_IO, "cannot open a socket for peers: %s", strerror(errno));
		return NULL;
	}
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) != 0 ||
	    listen(fd, SOMAXCONN) != 0) {
		err_set(err, ERR_IO,
			"cannot listen for peers on %s:%u: %s; set an address of this instance "
			"whose port is free",
			self->ip, self->peer_port, strerror(errno));
		close(fd);
		return NULL;
	}
	return h2o_evloop_socket_create(loop, fd, H2O_SOCKET_FLAG_DONT_READ);
}

static char *copy_string(struct peer_set *set, const char *s)
{
	return (char *)arena_str(&set->arena, str_from(s)).ptr;
}

static void copy_self(struct peer_set *set, const Bc__Hello *self)
{
	set->self = (Bc__Hello)BC__HELLO__INIT;
	set->self.id = copy_string(set, self->id);
	set->self.incarnation = copy_string(set, self->incarnation);
	set->self.region = copy_string(set, self->region);
	set->self.failure_domain = copy_string(set, self->failure_domain);
	set->self.ip = copy_string(set, self->ip);
	set->self.peer_port = self->peer_port;
	set->self.caller_port = self->caller_port;
	set->self.operator_port = self->operator_port;
}

struct peer_set *peer_set_create(h2o_loop_t *loop, const Bc__Hello *self, uint64_t self_node,
				 struct hlc *hlc, const struct peer_handlers *handlers, void *data,
				 struct err *err)
{
	struct sockaddr_in address;
	h2o_socket_t *listener;
	struct peer_set *set;

	timer_setup_process();
	if (!peer_address_set(&address, self->ip, self->peer_port)) {
		err_set(err, ERR_SETTINGS,
			"peer address %s:%u is not valid; write an IPv4 address and a port from 1 "
			"to 65535",
			self->ip, self->peer_port);
		return NULL;
	}
	listener = open_listener(loop, self, &address, err);
	if (!listener)
		return NULL;
	set = calloc(1, sizeof(*set));
	if (!set)
		abort();
	set->loop = loop;
	set->listener = listener;
	set->self_address = address;
	set->self_node = self_node;
	set->hlc = hlc;
	set->handlers = *handlers;
	set->data = data;
	copy_self(set, self);
	rnd_seed(&set->rnd, self_node);
	listener->data = set;
	h2o_socket_read_start(listener, peer_on_accept);
	set->last_tick = clk_now();
	timer_init(&set->tick, loop, on_tick, set);
	timer_arm(&set->tick, 0);
	return set;
}

void peer_set_destroy(struct peer_set *set)
{
	if (!set)
		return;
	set->handlers = (struct peer_handlers){0};
	for (struct peer_conn *c = set->conns; c; c = c->next)
		peer_conn_close(c);
	peer_conn_free_closed(set);
	while (set->targets) {
		struct peer_target *t = set->targets;

		set->targets = t->next;
		free(t);
	}
	h2o_socket_close(set->listener);
	timer_release(&set->tick);
	arena_free(&set->arena);
	free(set);
}

void peer_add_address(struct peer_set *set, const char *ip, uint32_t port)
{
	struct sockaddr_in address;
	struct peer_target *t;

	if (!peer_address_set(&address, ip, port)) {
		log_error(&log, "peer address %s:%u is not valid; it is ignored", ip, port);
		return;
	}
	if (peer_address_compare(&address, &set->self_address) == 0 ||
	    peer_find_target(set, &address))
		return;
	t = calloc(1, sizeof(*t));
	if (!t)
		abort();
	t->address = address;
	t->backoff = PEER_DIAL_BACKOFF_MIN_MS;
	t->next = set->targets;
	set->targets = t;
	timer_arm(&set->tick, 0);
}

/* Removes the target of the address, if there is one. */
static void remove_target(struct peer_set *set, const struct sockaddr_in *address)
{
	for (struct peer_target **at = &set->targets; *at; at = &(*at)->next) {
		struct peer_target *t = *at;

		if (peer_address_compare(&t->address, address) != 0)
			continue;
		*at = t->next;
		if (t->dialled_conn)
			t->dialled_conn->target = NULL;
		free(t);
		return;
	}
}

void peer_drop_address(struct peer_set *set, const char *ip, uint32_t port)
{
	struct sockaddr_in address;

	if (peer_address_set(&address, ip, port))
		remove_target(set, &address);
}

void peer_remove_address(struct peer_set *set, const char *ip, uint32_t port)
{
	struct sockaddr_in address;

	if (!peer_address_set(&address, ip, port))
		return;
	remove_target(set, &address);
	for (struct peer_conn *c = set->conns; c; c = c->next) {
		if (!c->closed && peer_address_compare(&c->address, &address) == 0 &&
		    (c->hello || c->dialled))
			peer_conn_close(c);
	}
}

void peer_set_timeout(struct peer_set *set, uint64_t node, clk_ms timeout)
{
	struct peer_conn *c = peer_find_node(set, node);

	if (c)
		c->timeout = timeout;
}

clk_ms peer_silence(const struct peer_set *set, uint64_t node)
{
	const struct peer_conn *c = peer_find_node(set, node);

	return c && !socket_has_unread_input(c) ? clk_now() - silent_since(c) : 0;
}

bool peer_send(struct peer_set *set, uint64_t node, Bc__Frame *frame)
{
	struct peer_conn *c = peer_find_node(set, node);

	return c && peer_conn_send(c, frame);
}

clk_ms peer_refused_since(const struct peer_set *set, const char *ip, uint32_t port)
{
	struct sockaddr_in address;

	if (!peer_address_set(&address, ip, port))
		return 0;
	for (const struct peer_target *t = set->targets; t; t = t->next) {
		if (peer_address_compare(&t->address, &address) == 0)
			return t->refused_since;
	}
	return 0;
}

const struct peer_info *peer_find(const struct peer_set *set, uint64_t node)
{
	const struct peer_conn *c = peer_find_node(set, node);

	return c ? &c->info : NULL;
}

size_t peer_list(const struct peer_set *set, const struct peer_info **out, size_t max)
{
	size_t n = 0;

	for (const struct peer_conn *c = set->conns; c; c = c->next) {
		if (!c->current)
			continue;
		if (n < max)
			out[n] = &c->info;
		n++;
	}
	return n;
}

uint64_t peer_remote_bytes(const struct peer_set *set, const char *cause)
{
	for (size_t i = 0; i < PEER_N_CAUSES; i++) {
		if (strcmp(cause, cause_names[i]) == 0)
			return set->remote_bytes[i];
	}
	return 0;
}
