/*
 * Peer connections: two sets on one loop, and a set against a raw peer that the test plays with
 * plain sockets, so that every byte on the wire is the test's choice.
 */
#include <errno.h>
#include <fcntl.h>

#include "base/ctr.h"
#include "base/rnd.h"
#include "connection/frame.h"
#include "connection/peer.h"
#include "test/unit.h"
#include "test/unit_loop.h"

#define LOW_IP "127.0.0.4"
#define MID_IP "127.0.0.5"
#define HIGH_IP "127.0.0.6"
#define HEARTBEAT_MS 100

/* One set and what its handlers saw. */
struct side {
	h2o_loop_t *loop;
	struct peer_set *set;
	struct hlc hlc;
	Bc__Hello hello;
	uint64_t node;
	uint32_t port;
	struct timer heartbeat;
	int ups;
	int downs;
	int frames;
	uint64_t last_up;
	uint64_t last_down;
	uint64_t last_sender;
	uint64_t last_hlc;
	size_t last_relay_bytes;
	bool remove_on_frame; /* calls peer_remove_address() in the handler */
};

static void on_frame(void *data, const struct peer_info *from, const Bc__Frame *frame)
{
	struct side *s = data;

	s->frames++;
	s->last_sender = frame->sender;
	s->last_hlc = frame->hlc;
	ck_assert(from->node == frame->sender);
	if (frame->body_case == BC__FRAME__BODY_RELAY)
		s->last_relay_bytes = frame->relay->body.len;
	if (s->remove_on_frame)
		peer_remove_address(s->set, from->ip, from->peer_port);
}

static void on_up(void *data, const struct peer_info *peer)
{
	struct side *s = data;

	s->ups++;
	s->last_up = peer->node;
	ck_assert_ptr_eq(peer_find(s->set, peer->node), peer);
}

static void on_down(void *data, const struct peer_info *peer)
{
	struct side *s = data;

	s->downs++;
	s->last_down = peer->node;
	ck_assert_ptr_null(peer_find(s->set, peer->node));
}

static void send_heartbeats(struct timer *timer, void *data)
{
	struct side *s = data;
	const struct peer_info *peers[8];
	size_t n = peer_list(s->set, peers, 8);
	uint64_t nodes[8];
	Bc__Heartbeat hb = BC__HEARTBEAT__INIT;

	for (size_t i = 0; i < n; i++)
		nodes[i] = peers[i]->node;
	for (size_t i = 0; i < n; i++) {
		Bc__Frame f = BC__FRAME__INIT;

		f.body_case = BC__FRAME__BODY_HEARTBEAT;
		f.heartbeat = &hb;
		peer_send(s->set, nodes[i], &f);
	}
	timer_arm(timer, HEARTBEAT_MS);
}

static Bc__Hello make_hello(const char *ip, uint32_t port, const char *region)
{
	Bc__Hello h = BC__HELLO__INIT;

	h.id = (char *)ip;
	h.incarnation = "1";
	h.region = (char *)region;
	h.failure_domain = "fd";
	h.ip = (char *)ip;
	h.peer_port = port;
	h.caller_port = 1;
	h.operator_port = 2;
	return h;
}

static void side_start(struct side *s, h2o_loop_t *loop, const char *ip, uint64_t node,
		       const char *region)
{
	static const struct peer_handlers handlers = {on_frame, on_up, on_down};
	struct err err = {0};

	memset(s, 0, sizeof(*s));
	s->loop = loop;
	s->node = node;
	s->port = unit_free_port(ip);
	s->hello = make_hello(ip, s->port, region);
	s->set = peer_set_create(loop, &s->hello, node, &s->hlc, &handlers, s, &err);
	ck_assert_msg(s->set != NULL, "%s", err.msg);
	timer_init(&s->heartbeat, loop, send_heartbeats, s);
	timer_arm(&s->heartbeat, HEARTBEAT_MS);
}

static void side_stop(struct side *s)
{
	timer_release(&s->heartbeat);
	peer_set_destroy(s->set);
	s->set = NULL;
}

static uint64_t counter(const char *name)
{
	char *text = NULL;
	size_t len;
	FILE *f = open_memstream(&text, &len);
	char line[128];
	const char *at;
	uint64_t value = 0;

	ctr_render(f);
	fclose(f);
	snprintf(line, sizeof(line), "\nbamboocroft_%s ", name);
	at = strstr(text, line);
	if (at)
		value = strtoull(at + strlen(line), NULL, 10);
	free(text);
	return value;
}

/* ---- raw peer ------------------------------------------------------------------------------- */

struct raw {
	h2o_loop_t *loop;
	int fd;
	bool ended; /* the set closed its direction */
	uint8_t buf[65536];
	size_t len;
	size_t frames;
	size_t empty_frames;
	bool got_hello;
	uint64_t sender;
};

static void raw_init(struct raw *r, h2o_loop_t *loop, int fd)
{
	memset(r, 0, sizeof(*r));
	r->loop = loop;
	r->fd = fd;
	fcntl(fd, F_SETFL, O_NONBLOCK);
}

/* Connects to the set from `ip`. */
static void raw_dial(struct raw *r, const struct side *to, const char *ip)
{
	struct sockaddr_in from = {.sin_family = AF_INET};
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)to->port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, ip, &from.sin_addr);
	inet_pton(AF_INET, to->hello.ip, &a.sin_addr);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&from, sizeof(from)), 0);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	raw_init(r, to->loop, fd);
}

static void raw_send(struct raw *r, const void *bytes, size_t len)
{
	ck_assert_int_eq(send(r->fd, bytes, len, MSG_NOSIGNAL), (ssize_t)len);
}

static void raw_send_frame(struct raw *r, Bc__Frame *f, uint64_t sender)
{
	size_t len;
	uint8_t *bytes;

	f->sender = sender;
	bytes = frame_pack(f, &len);
	raw_send(r, bytes, len);
	free(bytes);
}

static void raw_send_hello(struct raw *r, Bc__Hello *hello, uint64_t sender)
{
	Bc__Frame f = BC__FRAME__INIT;

	f.body_case = BC__FRAME__BODY_HELLO;
	f.hello = hello;
	raw_send_frame(r, &f, sender);
}

static void raw_send_cancel(struct raw *r, uint64_t sender)
{
	Bc__Frame f = BC__FRAME__INIT;
	Bc__Cancel cancel = BC__CANCEL__INIT;

	f.body_case = BC__FRAME__BODY_CANCEL;
	f.cancel = &cancel;
	raw_send_frame(r, &f, sender);
}

/* Takes what has arrived. */
static void raw_poll(struct raw *r)
{
	ssize_t n;

	while ((n = recv(r->fd, r->buf + r->len, sizeof(r->buf) - r->len, 0)) > 0) {
		Bc__Frame *f;
		size_t consumed;
		struct err err;

		r->len += (size_t)n;
		while (frame_unpack(r->buf, r->len, &f, &consumed, &err) == FRAME_COMPLETE) {
			memmove(r->buf, r->buf + consumed, r->len - consumed);
			r->len -= consumed;
			r->frames++;
			r->got_hello |= f->body_case == BC__FRAME__BODY_HELLO;
			r->empty_frames += f->body_case == BC__FRAME__BODY__NOT_SET;
			r->sender = f->sender;
			frame_free(f);
		}
	}
	if (n == 0 || (n < 0 && errno != EAGAIN))
		r->ended = true;
}

static bool raw_has_hello(void *data)
{
	struct raw *r = data;

	raw_poll(r);
	return r->got_hello;
}

static bool raw_ended(void *data)
{
	struct raw *r = data;

	raw_poll(r);
	return r->ended;
}

static bool raw_has_empty_frame(void *data)
{
	struct raw *r = data;

	raw_poll(r);
	return r->empty_frames > 0;
}

struct wait {
	const int *value;
	int at_least;
};

static bool reached(void *data)
{
	const struct wait *w = data;

	return *w->value >= w->at_least;
}

static void wait_for(h2o_loop_t *loop, const int *value, int at_least)
{
	struct wait w = {value, at_least};

	ck_assert(unit_run_until(loop, reached, &w));
}

/* Accepts one connection on the raw peer's own port. */
static void raw_accept(struct raw *r, h2o_loop_t *loop, int listener)
{
	clk_ms give_up = clk_now() + UNIT_TIMEOUT_MS;
	int fd;

	while ((fd = accept(listener, NULL, NULL)) < 0) {
		ck_assert(clk_now() < give_up);
		h2o_evloop_run(loop, 10);
	}
	raw_init(r, loop, fd);
}

/* ---- two sets ------------------------------------------------------------------------------- */

/* Guards against frames without sender or clock, and two sets that never settle on one connection.
 */
START_TEST(two_sets_connect_once_and_exchange_frames)
{
	h2o_loop_t *loop = h2o_evloop_create();
	struct side a;
	struct side b;
	Bc__Frame f = BC__FRAME__INIT;
	Bc__Relay relay = BC__RELAY__INIT;
	const struct peer_info *peers[4];
	const struct peer_info *info;

	side_start(&a, loop, LOW_IP, 11, "meseta");
	side_start(&b, loop, HIGH_IP, 22, "meseta");
	peer_add_address(a.set, HIGH_IP, b.port);
	peer_add_address(a.set, HIGH_IP, b.port);
	peer_add_address(a.set, LOW_IP, a.port); /* own address: ignored */
	peer_add_address(b.set, LOW_IP, a.port);
	wait_for(loop, &a.ups, 1);
	wait_for(loop, &b.ups, 1);
	wait_for(loop, &a.frames, 3);
	wait_for(loop, &b.frames, 3);
	ck_assert(a.last_sender == 22 && b.last_sender == 11);
	ck_assert(a.last_hlc != 0);
	info = peer_find(a.set, 22);
	ck_assert_ptr_nonnull(info);
	ck_assert_str_eq(info->id, HIGH_IP);
	ck_assert_str_eq(info->incarnation, "1");
	ck_assert_str_eq(info->region, "meseta");
	ck_assert_str_eq(info->failure_domain, "fd");
	ck_assert_uint_eq(info->peer_port, b.port);
	ck_assert(info->caller_port == 1 && info->operator_port == 2);
	/* A body larger than the socket buffers goes through in one piece. */
	f.body_case = BC__FRAME__BODY_RELAY;
	f.relay = &relay;
	relay.body.len = 12 * 1024 * 1024;
	relay.body.data = calloc(1, relay.body.len);
	ck_assert(peer_send(a.set, 22, &f));
	ck_assert(!peer_send(a.set, 33, &f));
	while (!b.last_relay_bytes)
		h2o_evloop_run(loop, 10);
	ck_assert_uint_eq(b.last_relay_bytes, 12 * 1024 * 1024);
	free(relay.body.data);
	/* Settled: one connection, nobody went down on the way. */
	ck_assert_uint_eq(peer_list(a.set, peers, 4), 1);
	ck_assert_uint_eq(peer_list(b.set, peers, 4), 1);
	ck_assert(a.ups == 1 && b.ups == 1 && a.downs == 0 && b.downs == 0);
	ck_assert(peer_remote_bytes(a.set, "heartbeat") == 0);
	peer_remove_address(a.set, HIGH_IP, b.port);
	ck_assert_int_eq(a.downs, 1);
	ck_assert(!peer_send(a.set, 22, &f));
	side_stop(&a);
	side_stop(&b);
	timer_destroy_loop(loop);
}
END_TEST

/* Guards against a set that stops trying: the other side comes back on the same address. */
START_TEST(reconnects_to_a_restarted_peer)
{
	h2o_loop_t *loop = h2o_evloop_create();
	static const struct peer_handlers handlers = {on_frame, on_up, on_down};
	struct side a;
	struct side b;
	struct err err = {0};

	side_start(&a, loop, LOW_IP, 11, "meseta");
	side_start(&b, loop, HIGH_IP, 22, "meseta");
	peer_add_address(a.set, HIGH_IP, b.port);
	wait_for(loop, &a.ups, 1);
	wait_for(loop, &b.ups, 1);
	timer_cancel(&b.heartbeat);
	peer_set_destroy(b.set);
	wait_for(loop, &a.downs, 1);
	ck_assert(a.last_down == 22);
	/* Long enough for some dials to fail. */
	unit_run_for(loop, 500);
	b.set = peer_set_create(loop, &b.hello, 23, &b.hlc, &handlers, &b, &err);
	ck_assert_msg(b.set != NULL, "%s", err.msg);
	timer_arm(&b.heartbeat, HEARTBEAT_MS);
	wait_for(loop, &a.ups, 2);
	ck_assert(a.last_up == 23);
	side_stop(&a);
	side_stop(&b);
	timer_destroy_loop(loop);
}
END_TEST

/* Guards against use after free when a handler closes the connection its frame came from. */
START_TEST(handler_may_close_the_connection)
{
	h2o_loop_t *loop = h2o_evloop_create();
	struct side a;
	struct side b;

	side_start(&a, loop, LOW_IP, 11, "meseta");
	side_start(&b, loop, HIGH_IP, 22, "meseta");
	a.remove_on_frame = true;
	peer_add_address(a.set, HIGH_IP, b.port);
	wait_for(loop, &a.downs, 1);
	ck_assert_int_eq(a.frames, 1);
	side_stop(&a);
	side_stop(&b);
	timer_destroy_loop(loop);
}
END_TEST

START_TEST(taken_port_is_an_error_with_a_remedy)
{
	h2o_loop_t *loop = h2o_evloop_create();
	struct side a;
	struct err err = {0};
	char expected[256];

	side_start(&a, loop, LOW_IP, 11, "meseta");
	ck_assert_ptr_null(peer_set_create(loop, &a.hello, 12, &a.hlc, &(struct peer_handlers){0},
					   NULL, &err));
	snprintf(expected, sizeof(expected),
		 "cannot listen for peers on " LOW_IP ":%u: Address already in use; set an address "
		 "of this instance whose port is free",
		 a.port);
	ck_assert_str_eq(err.msg, expected);
	side_stop(&a);
	timer_destroy_loop(loop);
}
END_TEST

/* ---- raw peer against a set ----------------------------------------------------------------- */

/*
 * Guards against both connections of a pair staying, or each side keeping another one. The set
 * has the middle address: towards a higher peer its own dial stays, towards a lower one the
 * peer's.
 */
START_TEST(duplicate_connection_dialled_by_the_higher_ends)
{
	static const char *const ips[] = {LOW_IP, HIGH_IP};

	/* By the peer's address, and by which of the two connections says HELLO first. */
	for (int i = 0; i < 4; i++) {
		const char *ip = ips[i % 2];
		h2o_loop_t *loop = h2o_evloop_create();
		struct side s;
		uint32_t port = 0;
		int listener = unit_listen(ip, &port);
		Bc__Hello hello = make_hello(ip, port, "meseta");
		struct raw dialled_by_set;
		struct raw dialled_by_peer;
		struct raw *kept = i % 2 ? &dialled_by_set : &dialled_by_peer;
		struct raw *given_up = i % 2 ? &dialled_by_peer : &dialled_by_set;
		struct raw *first = i / 2 ? kept : given_up;
		struct raw *second = i / 2 ? given_up : kept;

		side_start(&s, loop, MID_IP, 11, "meseta");
		peer_add_address(s.set, ip, port);
		raw_accept(&dialled_by_set, loop, listener);
		raw_dial(&dialled_by_peer, &s, ip);
		ck_assert(unit_run_until(loop, raw_has_hello, &dialled_by_set));
		ck_assert(unit_run_until(loop, raw_has_hello, &dialled_by_peer));
		raw_send_hello(first, &hello, 22);
		wait_for(loop, &s.ups, 1);
		raw_send_hello(second, &hello, 22);
		ck_assert(unit_run_until(loop, raw_ended, given_up));
		/* A frame that was on its way on the connection given up is still taken. */
		raw_send_cancel(given_up, 22);
		wait_for(loop, &s.frames, 1);
		raw_send_cancel(kept, 22);
		wait_for(loop, &s.frames, 2);
		raw_poll(kept);
		ck_assert(!kept->ended);
		ck_assert(s.ups == 1 && s.downs == 0);
		close(dialled_by_set.fd);
		close(dialled_by_peer.fd);
		close(listener);
		side_stop(&s);
		timer_destroy_loop(loop);
	}
}
END_TEST

/* Guards against a broken connection outliving the one that the same peer opened after it. */
START_TEST(second_dial_of_the_same_peer_replaces_the_first)
{
	h2o_loop_t *loop = h2o_evloop_create();
	Bc__Hello hello = make_hello(LOW_IP, 4000, "meseta");
	struct side s;
	struct raw old;
	struct raw new;

	side_start(&s, loop, MID_IP, 11, "meseta");
	raw_dial(&old, &s, LOW_IP);
	raw_send_hello(&old, &hello, 22);
	wait_for(loop, &s.ups, 1);
	raw_dial(&new, &s, LOW_IP);
	raw_send_hello(&new, &hello, 22);
	ck_assert(unit_run_until(loop, raw_ended, &old));
	raw_send_cancel(&new, 22);
	wait_for(loop, &s.frames, 1);
	ck_assert(s.ups == 1 && s.downs == 0);
	close(old.fd);
	close(new.fd);
	side_stop(&s);
	timer_destroy_loop(loop);
}
END_TEST

/* Guards against a restarted router being taken for the one before it. */
START_TEST(new_incarnation_replaces_the_old_one)
{
	h2o_loop_t *loop = h2o_evloop_create();
	Bc__Hello hello = make_hello(LOW_IP, 4000, "meseta");
	struct side s;
	struct raw old;
	struct raw new;

	side_start(&s, loop, MID_IP, 11, "meseta");
	raw_dial(&old, &s, LOW_IP);
	raw_send_hello(&old, &hello, 22);
	wait_for(loop, &s.ups, 1);
	hello.incarnation = "2";
	raw_dial(&new, &s, LOW_IP);
	raw_send_hello(&new, &hello, 23);
	wait_for(loop, &s.ups, 2);
	ck_assert_int_eq(s.downs, 1);
	ck_assert(s.last_down == 22 && s.last_up == 23);
	ck_assert(unit_run_until(loop, raw_ended, &old));
	close(old.fd);
	close(new.fd);
	side_stop(&s);
	timer_destroy_loop(loop);
}
END_TEST

/* Guards against an open connection that carries nothing being taken for a live peer. */
START_TEST(silent_peer_is_closed_and_dialled_again)
{
	h2o_loop_t *loop = h2o_evloop_create();
	uint32_t port = 0;
	int listener = unit_listen(LOW_IP, &port);
	Bc__Hello hello = make_hello(LOW_IP, port, "meseta");
	struct side s;
	struct raw r;
	clk_ms last_sent;

	side_start(&s, loop, MID_IP, 11, "meseta");
	peer_add_address(s.set, LOW_IP, port);
	raw_accept(&r, loop, listener);
	raw_send_hello(&r, &hello, 22);
	wait_for(loop, &s.ups, 1);
	for (int i = 1; i <= 5; i++) {
		raw_send_cancel(&r, 22);
		last_sent = clk_now();
		wait_for(loop, &s.frames, i);
	}
	wait_for(loop, &s.downs, 1);
	ck_assert_int_ge(clk_now() - last_sent, PEER_RECEIVE_TIMEOUT_MS);
	ck_assert(unit_run_until(loop, raw_ended, &r));
	close(r.fd);
	raw_accept(&r, loop, listener);
	raw_send_hello(&r, &hello, 22);
	wait_for(loop, &s.ups, 2);
	close(r.fd);
	close(listener);
	side_stop(&s);
	timer_destroy_loop(loop);
}
END_TEST

/*
 * Guards against a process that was paused closing all of its connections when it runs again,
 * although the peers have had no chance to be heard.
 */
START_TEST(own_pause_is_not_the_silence_of_peers)
{
	h2o_loop_t *loop = h2o_evloop_create();
	Bc__Hello hello = make_hello(LOW_IP, 4000, "meseta");
	struct side s;
	struct raw r;

	side_start(&s, loop, MID_IP, 11, "meseta");
	raw_dial(&r, &s, LOW_IP);
	raw_send_hello(&r, &hello, 22);
	wait_for(loop, &s.ups, 1);
	for (int i = 1; i <= 2; i++) {
		usleep(2 * PEER_RECEIVE_TIMEOUT_MS * 1000); /* the loop does not run */
		h2o_evloop_run(loop, 0);
		h2o_evloop_run(loop, 0);
		raw_send_cancel(&r, 22);
		wait_for(loop, &s.frames, i);
	}
	ck_assert_int_eq(s.downs, 0);
	close(r.fd);
	side_stop(&s);
	timer_destroy_loop(loop);
}
END_TEST

/* Guards against heartbeats over the paid link, and against it never being given up. */
START_TEST(remote_peer_gets_keepalives_and_a_longer_silence)
{
	h2o_loop_t *loop = h2o_evloop_create();
	Bc__Hello hello = make_hello(LOW_IP, 4000, "pacifico");
	struct side s;
	struct raw r;
	clk_ms last_sent;

	side_start(&s, loop, MID_IP, 11, "meseta");
	timer_cancel(&s.heartbeat);
	raw_dial(&r, &s, LOW_IP);
	raw_send_hello(&r, &hello, 22);
	last_sent = clk_now();
	wait_for(loop, &s.ups, 1);
	ck_assert(peer_remote_bytes(s.set, "other") > 0);
	ck_assert(peer_remote_bytes(s.set, "heartbeat") == 0);
	ck_assert(unit_run_until(loop, raw_has_empty_frame, &r));
	ck_assert_int_ge(clk_now() - last_sent, PEER_REMOTE_KEEPALIVE_MS);
	ck_assert_int_eq(s.downs, 0);
	ck_assert(peer_remote_bytes(s.set, "heartbeat") > 0);
	ck_assert(peer_remote_bytes(s.set, "relay") == 0 && peer_remote_bytes(s.set, "doc") == 0);
	wait_for(loop, &s.downs, 1);
	ck_assert_int_ge(clk_now() - last_sent, PEER_REMOTE_RECEIVE_TIMEOUT_MS);
	close(r.fd);
	side_stop(&s);
	timer_destroy_loop(loop);
}
END_TEST

struct bad_bytes {
	const char *bytes;
	size_t len;
};

/* Guards against a stranger's bytes crashing the set, filling its memory or staying connected. */
START_TEST(garbage_before_hello_is_closed_and_counted)
{
	static const struct bad_bytes bad[] = {
		{"GET / HTTP/1.1\r\n\r\n", 18},	 {"\x02\x00\x00\x01", 4}, /* over 32 MiB */
		{"\x00\x00\x10\x00", 4},	 /* more than a HELLO may have */
		{"\x00\x00\x00\x02\xff\xff", 6}, /* cannot be decoded */
		{"\x00\x00\x00\x00", 4},	 /* an empty frame */
	};
	h2o_loop_t *loop = h2o_evloop_create();
	struct side s;

	side_start(&s, loop, MID_IP, 11, "meseta");
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		uint64_t before = counter("peer_malformed_total");
		struct raw r;

		raw_dial(&r, &s, LOW_IP);
		raw_send(&r, bad[i].bytes, bad[i].len);
		ck_assert(unit_run_until(loop, raw_ended, &r));
		ck_assert_uint_eq(counter("peer_malformed_total"), before + 1);
		close(r.fd);
	}
	ck_assert_int_eq(s.ups, 0);
	side_stop(&s);
	timer_destroy_loop(loop);
}
END_TEST

START_TEST(bad_hello_is_refused)
{
	h2o_loop_t *loop = h2o_evloop_create();
	struct side s;

	side_start(&s, loop, MID_IP, 11, "meseta");
	for (int i = 0; i < 6; i++) {
		Bc__Hello hello = make_hello(LOW_IP, 4000, "meseta");
		uint64_t before = counter("peer_malformed_total");
		struct raw r;

		switch (i) {
		case 0:
			hello.id = "";
			break;
		case 1:
			hello.ip = "localhost";
			break;
		case 2:
			hello.peer_port = 0;
			break;
		case 3:
			hello.caller_port = 65536;
			break;
		case 4:
			hello.region = "";
			break;
		default:
			hello.operator_port = 0;
			break;
		}
		raw_dial(&r, &s, LOW_IP);
		raw_send_hello(&r, &hello, 22);
		ck_assert(unit_run_until(loop, raw_ended, &r));
		ck_assert_uint_eq(counter("peer_malformed_total"), before + 1);
		close(r.fd);
	}
	ck_assert_int_eq(s.ups, 0);
	side_stop(&s);
	timer_destroy_loop(loop);
}
END_TEST

/* Guards against frames in another router's name, for example after connections were mixed up. */
START_TEST(frame_of_another_sender_closes)
{
	h2o_loop_t *loop = h2o_evloop_create();
	Bc__Hello hello = make_hello(LOW_IP, 4000, "meseta");
	struct side s;
	struct raw r;

	side_start(&s, loop, MID_IP, 11, "meseta");
	raw_dial(&r, &s, LOW_IP);
	raw_send_hello(&r, &hello, 22);
	wait_for(loop, &s.ups, 1);
	raw_send_cancel(&r, 33);
	ck_assert(unit_run_until(loop, raw_ended, &r));
	ck_assert_int_eq(s.frames, 0);
	ck_assert_int_eq(s.downs, 1);
	close(r.fd);
	side_stop(&s);
	timer_destroy_loop(loop);
}
END_TEST

START_TEST(garbage_after_hello_closes_only_that_connection)
{
	h2o_loop_t *loop = h2o_evloop_create();
	Bc__Hello good_hello = make_hello(LOW_IP, 4000, "meseta");
	Bc__Hello bad_hello = make_hello(HIGH_IP, 4000, "meseta");
	struct side s;
	struct raw good;
	struct raw bad;

	side_start(&s, loop, MID_IP, 11, "meseta");
	raw_dial(&good, &s, LOW_IP);
	raw_send_hello(&good, &good_hello, 22);
	raw_dial(&bad, &s, HIGH_IP);
	raw_send_hello(&bad, &bad_hello, 33);
	wait_for(loop, &s.ups, 2);
	raw_send(&bad, "\x02\x00\x00\x01", 4);
	ck_assert(unit_run_until(loop, raw_ended, &bad));
	ck_assert(s.last_down == 33 && s.downs == 1);
	raw_send_cancel(&good, 22);
	wait_for(loop, &s.frames, 1);
	ck_assert_ptr_nonnull(peer_find(s.set, 22));
	close(good.fd);
	close(bad.fd);
	side_stop(&s);
	timer_destroy_loop(loop);
}
END_TEST

/* Guards against the memory of a router growing for a peer that stopped reading. */
START_TEST(peer_that_does_not_read_is_closed)
{
	h2o_loop_t *loop = h2o_evloop_create();
	Bc__Hello hello = make_hello(LOW_IP, 4000, "meseta");
	Bc__Frame f = BC__FRAME__INIT;
	Bc__Relay relay = BC__RELAY__INIT;
	struct side s;
	struct raw r;
	int sent = 0;

	side_start(&s, loop, MID_IP, 11, "meseta");
	raw_dial(&r, &s, LOW_IP);
	raw_send_hello(&r, &hello, 22);
	wait_for(loop, &s.ups, 1);
	f.body_case = BC__FRAME__BODY_RELAY;
	f.relay = &relay;
	relay.body.len = 16 * 1024 * 1024;
	relay.body.data = calloc(1, relay.body.len);
	while (peer_send(s.set, 22, &f)) {
		sent++;
		ck_assert_int_lt(sent, 100);
		raw_send_cancel(&r, 22);
		h2o_evloop_run(loop, 1);
	}
	ck_assert_int_ge(sent, 3);
	ck_assert_int_eq(s.downs, 1);
	ck_assert_ptr_null(peer_find(s.set, 22));
	free(relay.body.data);
	close(r.fd);
	side_stop(&s);
	timer_destroy_loop(loop);
}
END_TEST

/* Guards against strangers taking all descriptors by connecting without a word. */
START_TEST(connections_without_hello_are_bounded)
{
	enum { N = 70, LIMIT = 64 };
	h2o_loop_t *loop = h2o_evloop_create();
	struct side s;
	struct raw *r = calloc(N, sizeof(*r));
	int refused = 0;

	side_start(&s, loop, MID_IP, 11, "meseta");
	for (int i = 0; i < N; i++)
		raw_dial(&r[i], &s, LOW_IP);
	while (counter("peer_refused_total") < N - LIMIT)
		h2o_evloop_run(loop, 10);
	/* The others are closed when their time for the HELLO is over. */
	for (int i = 0; i < N; i++) {
		ck_assert(unit_run_until(loop, raw_ended, &r[i]));
		refused += r[i].frames == 0;
		close(r[i].fd);
	}
	ck_assert_int_eq(refused, N - LIMIT);
	free(r);
	side_stop(&s);
	timer_destroy_loop(loop);
}
END_TEST

#define FUZZ_CONNECTIONS 600

/* Guards against crashes and leaks, with bytes before and after the HELLO. */
START_TEST(random_bytes)
{
	h2o_loop_t *loop = h2o_evloop_create();
	Bc__Hello hello = make_hello(LOW_IP, 4000, "meseta");
	struct side s;
	struct rnd rnd;

	side_start(&s, loop, MID_IP, 11, "meseta");
	rnd_seed(&rnd, 20261204);
	for (int i = 0; i < FUZZ_CONNECTIONS; i++) {
		uint8_t bytes[256];
		size_t len = 4 + rnd_below(&rnd, sizeof(bytes) - 4);
		struct raw r;

		for (size_t k = 0; k < len; k++)
			bytes[k] = (uint8_t)rnd_u64(&rnd);
		/* Half of them are one frame that can be looked into. */
		if (i & 1) {
			bytes[0] = bytes[1] = bytes[2] = 0;
			bytes[3] = (uint8_t)(len - 4);
		}
		raw_dial(&r, &s, LOW_IP);
		if (i & 2)
			raw_send_hello(&r, &hello, 22);
		raw_send(&r, bytes, len);
		shutdown(r.fd, SHUT_WR);
		ck_assert(unit_run_until(loop, raw_ended, &r));
		close(r.fd);
	}
	/* The set still works. */
	{
		int ups = s.ups;
		struct raw r;

		raw_dial(&r, &s, LOW_IP);
		raw_send_hello(&r, &hello, 22);
		wait_for(loop, &s.ups, ups + 1);
		close(r.fd);
	}
	side_stop(&s);
	timer_destroy_loop(loop);
}
END_TEST

static const char *const mutants[] = {
	"peer_keep_duplicate",
	"peer_ignore_silence",
	"peer_accept_other_sender",
	NULL,
};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, two_sets_connect_once_and_exchange_frames);
	tcase_add_test(tc, reconnects_to_a_restarted_peer);
	tcase_add_test(tc, handler_may_close_the_connection);
	tcase_add_test(tc, taken_port_is_an_error_with_a_remedy);
	tcase_add_test(tc, duplicate_connection_dialled_by_the_higher_ends);
	tcase_add_test(tc, second_dial_of_the_same_peer_replaces_the_first);
	tcase_add_test(tc, new_incarnation_replaces_the_old_one);
	tcase_add_test(tc, silent_peer_is_closed_and_dialled_again);
	tcase_add_test(tc, own_pause_is_not_the_silence_of_peers);
	tcase_add_test(tc, remote_peer_gets_keepalives_and_a_longer_silence);
	tcase_add_test(tc, garbage_before_hello_is_closed_and_counted);
	tcase_add_test(tc, bad_hello_is_refused);
	tcase_add_test(tc, frame_of_another_sender_closes);
	tcase_add_test(tc, garbage_after_hello_closes_only_that_connection);
	tcase_add_test(tc, peer_that_does_not_read_is_closed);
	tcase_add_test(tc, connections_without_hello_are_bounded);
	tcase_add_test(tc, random_bytes);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "peer", mutants, add_tests);
}
