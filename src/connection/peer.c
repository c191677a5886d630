#include "connection/peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <uthash.h>

#include "base/arena.h"
#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"
#include "base/rnd.h"
#include "connection/frame.h"
#include "connection/timer.h"

#define TICK_MS 50
/* A tick that is later than this means that this process did not run, so it could not listen. */
#define PAUSE_MS 150
#define DIAL_MIN_MS 100
#define DIAL_MAX_MS 2000
/* For the connection and the peer's HELLO; a packet is sent again after 1 s at the latest. */
#define HELLO_MS 2000
/* A stranger can make the process hold no more than this much input. */
#define HELLO_MAX_BYTES 4096
#define MAX_STRANGERS 64
/* Frames for a peer that does not read; more means that it cannot keep up. */
#define MAX_QUEUED_BYTES (64u * 1024 * 1024)
#define WRITE_BATCH 32

static const struct log log = {"peer"};
CTR(ctr_up, "peer_connections_total", "Peer connections that completed the handshake.");
CTR(ctr_garbage, "peer_malformed_total", "Peer connections closed because of a bad frame.");
CTR(ctr_silent, "peer_silent_total", "Peer connections closed because they went silent.");
CTR(ctr_duplicate, "peer_duplicate_total", "Second connections to the same peer given up.");
CTR(ctr_overflow, "peer_overflow_total", "Peer connections closed because the peer did not read.");
CTR(ctr_refused, "peer_refused_total", "Accepted connections refused, too many without HELLO.");
CTR(ctr_frames_in, "peer_frames_received_total", "Frames received from peers.");
CTR(ctr_frames_out, "peer_frames_sent_total", "Frames queued for peers.");

enum cause { CAUSE_RELAY, CAUSE_DOC, CAUSE_HEARTBEAT, CAUSE_OTHER, N_CAUSES };

static const char *const cause_names[N_CAUSES] = {
	[CAUSE_RELAY] = "relay",
	[CAUSE_DOC] = "doc",
	[CAUSE_HEARTBEAT] = "heartbeat",
	[CAUSE_OTHER] = "other",
};

struct buffer {
	struct buffer *next;
	uint8_t *data;
	size_t len;
};

/* An address to keep connected. */
struct target {
	struct sockaddr_in address;
	struct conn *dialling; /* dialled by us; until it ends */
	clk_ms next_dial;
	clk_ms backoff;
	bool is_self; /* the address led back to this process */
	bool refused; /* the newest attempt was refused: no process listens there */
	struct target *next;
};

struct conn {
	struct peer_set *set;
	h2o_socket_t *sock;
	struct target *target;	    /* NULL: accepted, or the address was removed */
	struct sockaddr_in address; /* from the dialled address or HELLO */
	bool dialled;
	bool connected;
	bool hello;   /* the peer's HELLO has arrived */
	bool current; /* in `by_node`: the connection that is used for this node */
	bool retired; /* lost against a duplicate; read until the peer closes it */
	bool dead;    /* closed; freed at the next tick */
	bool remote;
	struct peer_info info;
	struct arena arena;
	clk_ms last_sent;
	struct buffer *queue;
	struct buffer **queue_end;
	size_t queued_bytes;
	size_t n_writing; /* buffers at the head that h2o still reads */
	struct conn *next;
	UT_hash_handle hh;
};

struct peer_set {
	h2o_loop_t *loop;
	h2o_socket_t *listener;
	struct arena arena;
	Bc__Hello self;
	struct sockaddr_in self_address;
	uint64_t self_node;
	struct hlc *hlc;
	struct peer_handlers handlers;
	void *data;
	struct target *targets;
	struct conn *conns;
	struct conn *by_node;
	struct timer tick;
	clk_ms last_tick;
	clk_ms resumed_at; /* end of the last pause of this process; silence counts from here */
	struct rnd rnd;
	size_t n_strangers; /* accepted and without HELLO */
	uint64_t remote_bytes[N_CAUSES];
};

static void on_read(h2o_socket_t *sock, const char *err);

/* ---- addresses ------------------------------------------------------------------------------ */

static bool address_set(struct sockaddr_in *out, const char *ip, uint32_t port)
{
	*out = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	return port > 0 && port <= UINT16_MAX && inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

static int address_compare(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	uint32_t ip_a = ntohl(a->sin_addr.s_addr);
	uint32_t ip_b = ntohl(b->sin_addr.s_addr);

	if (ip_a != ip_b)
		return ip_a < ip_b ? -1 : 1;
	return (int)ntohs(a->sin_port) - (int)ntohs(b->sin_port);
}

static const char *address_text(const struct sockaddr_in *a)
{
	static char text[INET_ADDRSTRLEN + 8];
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &a->sin_addr, ip, sizeof(ip));
	snprintf(text, sizeof(text), "%s:%u", ip, ntohs(a->sin_port));
	return text;
}

/* Up to half of the time is random, so that routers that lost a peer together spread out. */
static clk_ms jitter(struct peer_set *set, clk_ms ms)
{
	return ms / 2 + (clk_ms)rnd_below(&set->rnd, (uint64_t)ms / 2 + 1);
}

static void back_off(struct peer_set *set, struct target *t)
{
	t->next_dial = clk_now() + jitter(set, t->backoff);
	t->backoff = t->backoff * 2 < DIAL_MAX_MS ? t->backoff * 2 : DIAL_MAX_MS;
}

static struct target *find_target(const struct peer_set *set, const struct sockaddr_in *address)
{
	for (struct target *t = set->targets; t; t = t->next) {
		if (address_compare(&t->address, address) == 0)
			return t;
	}
	return NULL;
}

static struct conn *find_node(const struct peer_set *set, uint64_t node)
{
	struct conn *c;

	HASH_FIND(hh, set->by_node, &node, sizeof(node), c);
	return c;
}

static struct conn *find_current(const struct peer_set *set, const struct sockaddr_in *address)
{
	for (struct conn *c = set->conns; c; c = c->next) {
		if (c->current && address_compare(&c->address, address) == 0)
			return c;
	}
	return NULL;
}

/* ---- closing -------------------------------------------------------------------------------- */

static void drop_queue(struct conn *c)
{
	while (c->queue) {
		struct buffer *b = c->queue;

		c->queue = b->next;
		free(b->data);
		free(b);
	}
	c->queue_end = &c->queue;
	c->queued_bytes = 0;
	c->n_writing = 0;
}

static void leave_node(struct conn *c)
{
	HASH_DELETE(hh, c->set->by_node, c);
	c->current = false;
}

/*
 * Closes the socket and reports the peer as down if this was the connection in use. The struct
 * stays until the next tick, because callers further up may still hold it.
 */
static void conn_close(struct conn *c)
{
	struct peer_set *set = c->set;
	struct target *t;

	if (c->dead)
		return;
	c->dead = true;
	if (!c->hello && !c->dialled)
		set->n_strangers--;
	h2o_socket_close(c->sock);
	c->sock = NULL;
	drop_queue(c);
	t = c->target ? c->target : find_target(set, &c->address);
	if (c->target && c->target->dialling == c)
		c->target->dialling = NULL;
	c->target = NULL;
	if (t && !c->retired)
		back_off(set, t);
	if (c->current) {
		leave_node(c);
		log_info(&log, "peer %s at %s is down", c->info.id, address_text(&c->address));
		if (set->handlers.on_down)
			set->handlers.on_down(set->data, &c->info);
	}
}

static void conn_malformed(struct conn *c, const char *what)
{
	ctr_inc(&ctr_garbage);
	log_error(&log, "closed the connection %s %s: %s", c->dialled ? "to" : "from",
		  address_text(&c->address), what);
	conn_close(c);
}

static void free_dead(struct peer_set *set)
{
	for (struct conn **at = &set->conns; *at;) {
		struct conn *c = *at;

		if (!c->dead) {
			at = &c->next;
			continue;
		}
		*at = c->next;
		arena_free(&c->arena);
		free(c);
	}
}

/* ---- writing -------------------------------------------------------------------------------- */

static void write_more(struct conn *c);

/* A retired connection is closed towards the peer as soon as everything has been written. */
static void close_if_retired(struct conn *c)
{
	if (c->retired && !c->queue)
		shutdown(h2o_socket_get_fd(c->sock), SHUT_WR);
}

static void on_written(h2o_socket_t *sock, const char *err)
{
	struct conn *c = sock->data;

	if (err) {
		conn_close(c);
		return;
	}
	while (c->n_writing) {
		struct buffer *b = c->queue;

		c->queue = b->next;
		c->queued_bytes -= b->len;
		c->n_writing--;
		free(b->data);
		free(b);
	}
	if (!c->queue)
		c->queue_end = &c->queue;
	write_more(c);
	close_if_retired(c);
}

static void write_more(struct conn *c)
{
	h2o_iovec_t iov[WRITE_BATCH];
	size_t n = 0;

	if (!c->connected || c->n_writing || !c->queue)
		return;
	for (struct buffer *b = c->queue; b && n < WRITE_BATCH; b = b->next)
		iov[n++] = h2o_iovec_init(b->data, b->len);
	c->n_writing = n;
	h2o_socket_write(c->sock, iov, n, on_written);
}

static enum cause cause_of(const Bc__Frame *frame)
{
	switch (frame->body_case) {
	case BC__FRAME__BODY_RELAY:
	case BC__FRAME__BODY_RELAY_REPLY:
		return CAUSE_RELAY;
	case BC__FRAME__BODY_DOC_GET:
	case BC__FRAME__BODY_DOC:
		return CAUSE_DOC;
	case BC__FRAME__BODY_HEARTBEAT:
	case BC__FRAME__BODY__NOT_SET:
		return CAUSE_HEARTBEAT;
	default:
		return CAUSE_OTHER;
	}
}

static bool conn_send(struct conn *c, Bc__Frame *frame)
{
	struct peer_set *set = c->set;
	struct buffer *b;
	uint8_t *data;
	size_t len;

	frame->sender = set->self_node;
	frame->hlc = hlc_next(set->hlc, clk_utc());
	data = frame_pack(frame, &len);
	if (!data) {
		log_error(&log, "frame for %s not sent: it is over %u bytes",
			  address_text(&c->address), FRAME_MAX_BYTES);
		return false;
	}
	if (c->queued_bytes + len > MAX_QUEUED_BYTES) {
		free(data);
		ctr_inc(&ctr_overflow);
		log_error(&log, "closed the connection to %s: it does not read what is sent",
			  address_text(&c->address));
		conn_close(c);
		return false;
	}
	b = malloc(sizeof(*b));
	if (!b)
		abort();
	*b = (struct buffer){.data = data, .len = len};
	*c->queue_end = b;
	c->queue_end = &b->next;
	c->queued_bytes += len;
	c->last_sent = clk_now();
	if (c->remote)
		set->remote_bytes[cause_of(frame)] += len;
	ctr_inc(&ctr_frames_out);
	write_more(c);
	return true;
}

static void send_hello(struct conn *c)
{
	Bc__Frame frame = BC__FRAME__INIT;

	frame.body_case = BC__FRAME__BODY_HELLO;
	frame.hello = &c->set->self;
	conn_send(c, &frame);
}

/* Queued frames that are not being written yet go out on the connection that stays. */
static void move_queue(struct conn *from, struct conn *to)
{
	struct buffer **at = &from->queue;

	for (size_t i = 0; i < from->n_writing; i++)
		at = &(*at)->next;
	if (!*at)
		return;
	*to->queue_end = *at;
	to->queue_end = from->queue_end;
	*at = NULL;
	from->queue_end = at;
	from->queued_bytes = 0;
	for (struct buffer *b = from->queue; b; b = b->next)
		from->queued_bytes += b->len;
	to->queued_bytes = 0;
	for (struct buffer *b = to->queue; b; b = b->next)
		to->queued_bytes += b->len;
	write_more(to);
}

/* ---- handshake ------------------------------------------------------------------------------ */

static void become_current(struct conn *c)
{
	c->current = true;
	HASH_ADD(hh, c->set->by_node, info.node, sizeof(c->info.node), c);
}

static void retire(struct conn *c)
{
	ctr_inc(&ctr_duplicate);
	c->retired = true;
	close_if_retired(c);
}

/* Of two connections to the same node: is `c` to be kept rather than `old`? */
static bool is_preferred(const struct conn *c, const struct conn *old)
{
	bool self_is_lower;

	if (c->dialled == old->dialled)
		return true; /* the peer or we dialled again: the old one is broken */
	self_is_lower = address_compare(&c->set->self_address, &c->address) < 0;
	return c->dialled == self_is_lower;
}

static void meet_duplicate(struct conn *c, struct conn *old)
{
	if (MUTANT(peer_keep_duplicate))
		return;
	if (!is_preferred(c, old)) {
		retire(c);
		return;
	}
	leave_node(old);
	become_current(c);
	move_queue(old, c);
	if (c->dialled == old->dialled) {
		ctr_inc(&ctr_duplicate);
		conn_close(old);
	} else {
		retire(old);
	}
}

static const char *check_hello(const Bc__Hello *h, struct sockaddr_in *address)
{
	if (!h->id[0] || !h->incarnation[0] || !h->region[0] || !h->failure_domain[0])
		return "its HELLO lacks id, incarnation, region or failure domain";
	if (!address_set(address, h->ip, h->peer_port))
		return "its HELLO has no valid peer address";
	if (!h->caller_port || h->caller_port > UINT16_MAX || !h->operator_port ||
	    h->operator_port > UINT16_MAX)
		return "its HELLO has no valid caller or operator port";
	return NULL;
}

static const char *keep(struct conn *c, const char *s)
{
	return arena_str(&c->arena, str_from(s)).ptr;
}

static void fill_info(struct conn *c, uint64_t node, const Bc__Hello *h)
{
	c->info = (struct peer_info){
		.node = node,
		.id = keep(c, h->id),
		.incarnation = keep(c, h->incarnation),
		.region = keep(c, h->region),
		.failure_domain = keep(c, h->failure_domain),
		.ip = keep(c, h->ip),
		.peer_port = h->peer_port,
		.caller_port = h->caller_port,
		.operator_port = h->operator_port,
		.last_heard = c->info.last_heard,
	};
}

static void handle_hello(struct conn *c, const Bc__Frame *frame)
{
	struct peer_set *set = c->set;
	struct sockaddr_in address;
	const char *wrong = check_hello(frame->hello, &address);
	struct conn *old;
	struct target *t;

	if (wrong) {
		conn_malformed(c, wrong);
		return;
	}
	if (frame->sender == set->self_node) {
		if (c->target)
			c->target->is_self = true;
		conn_close(c);
		return;
	}
	if (!c->dialled)
		set->n_strangers--;
	c->hello = true;
	c->address = address;
	c->remote = strcmp(frame->hello->region, set->self.region) != 0;
	if (c->remote)
		set->remote_bytes[CAUSE_OTHER] +=
			FRAME_HEADER_BYTES + bc__hello__get_packed_size(&set->self);
	fill_info(c, frame->sender, frame->hello);
	t = find_target(set, &c->address);
	if (t)
		t->backoff = DIAL_MIN_MS;
	old = find_node(set, c->info.node);
	if (old) {
		meet_duplicate(c, old);
		return;
	}
	/* Another incarnation at the same address: the one before it is gone. */
	old = find_current(set, &c->address);
	if (old)
		conn_close(old);
	if (c->dead)
		return;
	become_current(c);
	ctr_inc(&ctr_up);
	log_info(&log, "peer %s at %s is up", c->info.id, address_text(&c->address));
	if (set->handlers.on_up)
		set->handlers.on_up(set->data, &c->info);
}

/* ---- reading -------------------------------------------------------------------------------- */

static void handle_frame(struct conn *c, const Bc__Frame *frame)
{
	struct peer_set *set = c->set;

	ctr_inc(&ctr_frames_in);
	if (!c->hello && frame->body_case != BC__FRAME__BODY_HELLO) {
		conn_malformed(c, "its first frame is not HELLO; check that it is a router");
		return;
	}
	if (c->hello && frame->sender != c->info.node && !MUTANT(peer_accept_other_sender)) {
		conn_malformed(c, "a frame names another sender than its HELLO");
		return;
	}
	hlc_observe(set->hlc, frame->hlc, clk_utc());
	if (!c->hello) {
		handle_hello(c, frame);
		return;
	}
	if (frame->body_case == BC__FRAME__BODY_HELLO ||
	    frame->body_case == BC__FRAME__BODY__NOT_SET)
		return;
	if (set->handlers.on_frame)
		set->handlers.on_frame(set->data, &c->info, frame);
}

/* A stranger's first frame is bounded before it is collected. */
static bool hello_too_long(const struct conn *c)
{
	const uint8_t *p = (const uint8_t *)c->sock->input->bytes;

	return !c->hello && c->sock->input->size >= FRAME_HEADER_BYTES &&
	       (p[0] || p[1] || (size_t)p[2] << 8 >= HELLO_MAX_BYTES);
}

static void on_read(h2o_socket_t *sock, const char *err)
{
	struct conn *c = sock->data;

	if (sock->input->size)
		c->info.last_heard = clk_now();
	while (!c->dead) {
		struct err why;
		Bc__Frame *frame;
		size_t consumed;
		enum frame_status status;

		if (hello_too_long(c)) {
			conn_malformed(c,
				       "its first frame is not HELLO; check that it is a router");
			return;
		}
		status = frame_unpack((const uint8_t *)c->sock->input->bytes, c->sock->input->size,
				      &frame, &consumed, &why);
		if (status == FRAME_INCOMPLETE)
			break;
		if (status == FRAME_MALFORMED) {
			conn_malformed(c, why.msg);
			return;
		}
		h2o_buffer_consume(&c->sock->input, consumed);
		handle_frame(c, frame);
		frame_free(frame);
	}
	if (err && !c->dead)
		conn_close(c);
}

/* ---- opening -------------------------------------------------------------------------------- */

static struct conn *conn_new(struct peer_set *set, h2o_socket_t *sock, bool dialled)
{
	struct conn *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->set = set;
	c->sock = sock;
	c->dialled = dialled;
	c->queue_end = &c->queue;
	c->info.last_heard = clk_now();
	c->next = set->conns;
	set->conns = c;
	sock->data = c;
	return c;
}

static void conn_start(struct conn *c)
{
	int on = 1;

	setsockopt(h2o_socket_get_fd(c->sock), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c->connected = true;
	h2o_socket_read_start(c->sock, on_read);
	send_hello(c);
}

static void note_attempt(struct conn *c, int error)
{
	if (c->target)
		c->target->refused = error == ECONNREFUSED;
}

static void on_connect(h2o_socket_t *sock, const char *err)
{
	struct conn *c = sock->data;
	int error = 0;
	socklen_t len = sizeof(error);

	if (getsockopt(h2o_socket_get_fd(sock), SOL_SOCKET, SO_ERROR, &error, &len) != 0)
		error = errno;
	note_attempt(c, error);
	if (err || error)
		conn_close(c);
	else
		conn_start(c);
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	struct peer_set *set = listener->data;
	h2o_socket_t *sock;
	struct conn *c;

	if (err)
		return;
	while ((sock = h2o_evloop_socket_accept(listener)) != NULL) {
		socklen_t len = sizeof(c->address);

		if (set->n_strangers >= MAX_STRANGERS) {
			ctr_inc(&ctr_refused);
			h2o_socket_close(sock);
			continue;
		}
		c = conn_new(set, sock, false);
		set->n_strangers++;
		getpeername(h2o_socket_get_fd(sock), (struct sockaddr *)&c->address, &len);
		conn_start(c);
	}
}

/* h2o_socket_connect() hides why an attempt failed, and a refused one is known to be answered. */
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

static void dial(struct peer_set *set, struct target *t)
{
	int fd = start_connect(&t->address);
	h2o_socket_t *sock;
	struct conn *c;

	if (fd < 0) {
		t->refused = errno == ECONNREFUSED;
		back_off(set, t);
		return;
	}
	sock = h2o_evloop_socket_create(set->loop, fd, 0);
	c = conn_new(set, sock, true);
	c->target = t;
	c->address = t->address;
	t->dialling = c;
	h2o_socket_notify_write(sock, on_connect);
}

/* ---- time ----------------------------------------------------------------------------------- */

static clk_ms silence_limit(const struct conn *c)
{
	if (!c->hello)
		return HELLO_MS;
	return c->remote ? PEER_REMOTE_SILENCE_MS : PEER_SILENCE_MS;
}

/* Input that waits unread means that this process was paused, not the peer. */
static bool has_unread_input(const struct conn *c)
{
	int n = 0;

	return c->connected && ioctl(h2o_socket_get_fd(c->sock), FIONREAD, &n) == 0 && n > 0;
}

static void check_conn(struct conn *c, clk_ms now)
{
	Bc__Frame empty = BC__FRAME__INIT;
	clk_ms since =
		c->info.last_heard > c->set->resumed_at ? c->info.last_heard : c->set->resumed_at;

	if (now - since > silence_limit(c) && !has_unread_input(c) &&
	    !MUTANT(peer_ignore_silence)) {
		ctr_inc(&ctr_silent);
		log_warn(&log, "closed the connection %s %s: silent for %lld ms",
			 c->dialled ? "to" : "from", address_text(&c->address),
			 (long long)(now - c->info.last_heard));
		conn_close(c);
		return;
	}
	if (c->remote && c->current && now - c->last_sent >= PEER_REMOTE_KEEPALIVE_MS)
		conn_send(c, &empty);
}

static void on_tick(struct timer *timer, void *data)
{
	struct peer_set *set = data;
	clk_ms now = clk_now();

	timer_arm(timer, TICK_MS);
	if (now - set->last_tick > TICK_MS + PAUSE_MS)
		set->resumed_at = now;
	set->last_tick = now;
	free_dead(set);
	/* Handlers may close connections, which then stay in the list until the next tick. */
	for (struct conn *c = set->conns; c; c = c->next) {
		if (!c->dead)
			check_conn(c, now);
	}
	for (struct target *t = set->targets; t; t = t->next) {
		if (!t->dialling && !t->is_self && now >= t->next_dial &&
		    !find_current(set, &t->address))
			dial(set, t);
	}
}

/* ---- the set -------------------------------------------------------------------------------- */

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

static char *copy(struct peer_set *set, const char *s)
{
	return (char *)arena_str(&set->arena, str_from(s)).ptr;
}

static void copy_self(struct peer_set *set, const Bc__Hello *self)
{
	set->self = (Bc__Hello)BC__HELLO__INIT;
	set->self.id = copy(set, self->id);
	set->self.incarnation = copy(set, self->incarnation);
	set->self.region = copy(set, self->region);
	set->self.failure_domain = copy(set, self->failure_domain);
	set->self.ip = copy(set, self->ip);
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
	if (!address_set(&address, self->ip, self->peer_port)) {
		err_set(err, ERR_SETTINGS,
			"peer address %s:%u is not valid; write an IPv4 number and a port from 1 "
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
	h2o_socket_read_start(listener, on_accept);
	timer_init(&set->tick, loop, on_tick, set);
	timer_arm(&set->tick, 0);
	return set;
}

void peer_set_destroy(struct peer_set *set)
{
	if (!set)
		return;
	set->handlers = (struct peer_handlers){0};
	for (struct conn *c = set->conns; c; c = c->next)
		conn_close(c);
	free_dead(set);
	while (set->targets) {
		struct target *t = set->targets;

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
	struct target *t;

	if (!address_set(&address, ip, port)) {
		log_error(&log, "peer address %s:%u is not valid; it is ignored", ip, port);
		return;
	}
	if (address_compare(&address, &set->self_address) == 0 || find_target(set, &address))
		return;
	t = calloc(1, sizeof(*t));
	if (!t)
		abort();
	t->address = address;
	t->backoff = DIAL_MIN_MS;
	t->next = set->targets;
	set->targets = t;
	timer_arm(&set->tick, 0);
}

void peer_remove_address(struct peer_set *set, const char *ip, uint32_t port)
{
	struct sockaddr_in address;

	if (!address_set(&address, ip, port))
		return;
	for (struct target **at = &set->targets; *at; at = &(*at)->next) {
		struct target *t = *at;

		if (address_compare(&t->address, &address) != 0)
			continue;
		*at = t->next;
		if (t->dialling)
			t->dialling->target = NULL;
		free(t);
		break;
	}
	for (struct conn *c = set->conns; c; c = c->next) {
		if (!c->dead && address_compare(&c->address, &address) == 0 &&
		    (c->hello || c->dialled))
			conn_close(c);
	}
}

bool peer_send(struct peer_set *set, uint64_t node, Bc__Frame *frame)
{
	struct conn *c = find_node(set, node);

	return c && conn_send(c, frame);
}

bool peer_address_refused(const struct peer_set *set, const char *ip, uint32_t port)
{
	struct sockaddr_in address;

	if (!address_set(&address, ip, port))
		return false;
	for (const struct target *t = set->targets; t; t = t->next) {
		if (address_compare(&t->address, &address) == 0)
			return t->refused;
	}
	return false;
}

const struct peer_info *peer_find(const struct peer_set *set, uint64_t node)
{
	const struct conn *c = find_node(set, node);

	return c ? &c->info : NULL;
}

size_t peer_list(const struct peer_set *set, const struct peer_info **out, size_t max)
{
	size_t n = 0;

	for (const struct conn *c = set->conns; c; c = c->next) {
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
	for (size_t i = 0; i < N_CAUSES; i++) {
		if (strcmp(cause, cause_names[i]) == 0)
			return set->remote_bytes[i];
	}
	return 0;
}
