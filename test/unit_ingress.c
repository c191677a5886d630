/*
 * Tests of the HTTP server for callers with raw bytes: framing, closed connections, shutdown,
 * limits.
 */
#include <errno.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "connection/ingress.h"
#include "test/unit.h"
#include "test/unit_loop.h"

#define IP unit_ip()

struct fixture {
	h2o_loop_t *loop;
	struct ingress *ingress;
	uint32_t port;
	struct ingress_limits limits;
	struct door door;
	struct ingress_request *unanswered; /* set if `delay_answer` */
	bool delay_answer; /* keep the request in `unanswered` instead of answering */
	size_t requests;
	size_t n_callers_closed;
	char body[4096];
	size_t body_len;
	int fd;
	char answer[8192];
	size_t answer_len;
	bool closed;
};

static void on_request(void *data, struct ingress_request *req)
{
	struct fixture *f = data;

	f->requests++;
	f->body_len = req->body.len < sizeof(f->body) ? req->body.len : sizeof(f->body);
	memcpy(f->body, req->body.ptr ? req->body.ptr : "", f->body_len);
	if (f->delay_answer) {
		f->unanswered = req;
		return;
	}
	ingress_reply(req, 200, NULL, 0, STR_LIT("hello"), false);
	ingress_request_free(req);
}

static void on_caller_closed(void *data, struct ingress_request *req)
{
	struct fixture *f = data;

	f->n_callers_closed++;
	f->unanswered = NULL;
	ingress_request_free(req);
}

static const struct ingress_limits *limits(void *data)
{
	return &((struct fixture *)data)->limits;
}

/* `receive_buffer`: bytes, 0: as the system chooses. */
static int dial_with(const struct fixture *f, int receive_buffer)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)f->port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (receive_buffer)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
	inet_pton(AF_INET, IP, &a.sin_addr);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	return fd;
}

static int dial(const struct fixture *f)
{
	return dial_with(f, 0);
}

static void setup(struct fixture *f)
{
	static const struct ingress_handlers handlers = {
		.on_request = on_request, .on_caller_closed = on_caller_closed, .limits = limits};
	struct err err = {0};

	memset(f, 0, sizeof(*f));
	f->loop = h2o_evloop_create();
	f->limits = (struct ingress_limits){
		.max_header_bytes = 2048,
		.max_body_bytes = 4096,
		.header_timeout = 2000,
		.idle_timeout = 4000,
		.door = &f->door,
	};
	f->port = unit_free_port(IP);
	f->ingress = ingress_create(f->loop, IP, f->port, &handlers, f, &err);
	ck_assert_msg(f->ingress != NULL, "%s", err.msg);
	f->fd = dial(f);
}

static void teardown(struct fixture *f)
{
	close(f->fd);
	if (f->unanswered) {
		struct ingress_request *req = f->unanswered;

		f->unanswered = NULL;
		ingress_destroy(f->ingress);
		if (f->n_callers_closed == 0)
			ingress_request_free(req);
	} else {
		ingress_destroy(f->ingress);
	}
	timer_destroy_loop(f->loop);
}

static void send_bytes(struct fixture *f, const char *bytes)
{
	ck_assert_int_eq(send(f->fd, bytes, strlen(bytes), MSG_NOSIGNAL), (ssize_t)strlen(bytes));
}

static void read_available(struct fixture *f)
{
	ssize_t n = recv(f->fd, f->answer + f->answer_len, sizeof(f->answer) - 1 - f->answer_len,
			 MSG_DONTWAIT);

	if (n > 0)
		f->answer_len += (size_t)n;
	f->closed = f->closed || n == 0 || (n < 0 && errno != EAGAIN);
	f->answer[f->answer_len] = '\0';
}

static bool has_answer(void *data)
{
	struct fixture *f = data;

	read_available(f);
	return strstr(f->answer, "\r\n\r\n") != NULL;
}

static bool has_closed(void *data)
{
	struct fixture *f = data;

	read_available(f);
	return f->closed;
}

static bool has_requests(void *data)
{
	return ((struct fixture *)data)->requests > 0;
}

/* Whether the account holds nothing but what idle connections have. */
static bool has_released_all(void *data)
{
	return ((struct fixture *)data)->door.used == 0;
}

static int status_of(struct fixture *f)
{
	return f->answer_len > 12 ? atoi(f->answer + 9) : 0;
}

static void clear_answer(struct fixture *f)
{
	f->answer_len = 0;
	f->answer[0] = '\0';
}

/*
 * Guards against request smuggling: a request whose end is ambiguous must be refused, and nothing
 * after it on the connection may be read as a request.
 */
START_TEST(ambiguous_framing_is_refused)
{
	static const char *const bad[] = {
		"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 6\r\ntransfer-encoding: "
		"chunked\r\n\r\n0\r\n\r\nX",
		"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 6\r\ncontent-length: "
		"5\r\n\r\nabcdef",
		"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 6\r\ncontent-length: "
		"6\r\n\r\nabcdef",
		"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: +6\r\n\r\nabcdef",
		"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -6\r\n\r\nabcdef",
		"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 0x6\r\n\r\nabcdef",
		"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 6, 6\r\n\r\nabcdef",
		"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: "
		"99999999999999999999999999\r\n\r\nabcdef",
		"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: identity\r\n\r\nabcdef",
		"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\ntransfer-encoding: "
		"chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nhost: x\r\nfoo: a\r\n b\r\ncontent-length: 0\r\n\r\n",
		"POST / HTTP/1.1\r\nhost: x\r\ncontent-length : 6\r\n\r\nabcdef",
		"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc",
		"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: "
		"chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: "
		"chunked\r\n\r\n3\r\nabc\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: "
		"chunked\r\n\r\n3\r\nabc\r\n0\n\r\n",
		"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: "
		"chunked\r\n\r\n3\r\nabc\r\n0\r\n\n",
		"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: "
		"chunked\r\n\r\n3;a\nb\r\nabc\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: "
		"chunked\r\n\r\n3\r\nabc\r\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n0\r\na: b\n\r\n",
		"GET / HTTP/1.1\r\nhost: x\r\nhost: y\r\n\r\n",
		"GET / HTTP/1.1\r\n\r\n",
		"nonsense\r\n\r\n",
	};

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		static struct fixture f;

		setup(&f);
		send_bytes(&f, bad[i]);
		ck_assert_msg(unit_run_until(f.loop, has_answer, &f), "%s", bad[i]);
		ck_assert_msg(status_of(&f) == 400, "%d for %s", status_of(&f), bad[i]);
		/* A further request on the connection is not handled. */
		send(f.fd, "GET /x HTTP/1.1\r\nhost: x\r\n\r\n", 28, MSG_NOSIGNAL);
		ck_assert(unit_run_until(f.loop, has_closed, &f));
		ck_assert_uint_eq(f.requests, 0);
		teardown(&f);
	}
}
END_TEST

/* Guards against bytes after a request that get neither an answer nor a close. */
START_TEST(garbage_after_a_request_is_refused)
{
	static const char *const garbage[] = {"\x01\x02\x03", "{}",
					      "xyz\r\n",      "{} / HTTP/1.1\r\nhost: x\r\n\r\n",
					      "0\r\n\r\n",    "xyz / HTTP/9.9\r\n\r\n"};

	for (size_t i = 0; i < sizeof(garbage) / sizeof(garbage[0]); i++) {
		static struct fixture f;

		setup(&f);
		send_bytes(&f, "GET / HTTP/1.1\r\nhost: x\r\n\r\n");
		send_bytes(&f, garbage[i]);
		ck_assert_msg(unit_run_until(f.loop, has_closed, &f), "%s", garbage[i]);
		ck_assert_int_eq(status_of(&f), 200);
		ck_assert_msg(strstr(f.answer, "HTTP/1.1 400 Bad Request\r\n") != NULL, "%s: %s",
			      garbage[i], f.answer);
		ck_assert_uint_eq(f.requests, 1);
		teardown(&f);
	}
}
END_TEST

/*
 * Guards against callers that use memory or connections without limit: long bodies, long heads, and
 * heads or connections that take too long.
 */
START_TEST(limits_are_enforced)
{
	static struct fixture f;
	static char long_head[4096];

	setup(&f);
	send_bytes(&f, "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5000\r\n\r\n");
	ck_assert(unit_run_until(f.loop, has_answer, &f));
	ck_assert_int_eq(status_of(&f), 413);
	teardown(&f);

	setup(&f);
	snprintf(long_head, sizeof(long_head), "GET / HTTP/1.1\r\nx: %04000d", 0);
	send_bytes(&f, long_head);
	ck_assert(unit_run_until(f.loop, has_answer, &f));
	ck_assert_int_eq(status_of(&f), 431);
	teardown(&f);

	/* A request head that is incomplete after header_timeout. */
	setup(&f);
	f.limits.header_timeout = 100;
	send_bytes(&f, "GET / HTTP/1.1\r\n");
	ck_assert(unit_run_until(f.loop, has_answer, &f));
	ck_assert_int_eq(status_of(&f), 408);
	teardown(&f);

	/* A connection that is idle for longer than idle_timeout. */
	setup(&f);
	close(f.fd);
	f.limits.idle_timeout = 100;
	f.fd = dial(&f);
	ck_assert(unit_run_until(f.loop, has_closed, &f));
	ck_assert_uint_eq(f.answer_len, 0);
	teardown(&f);
}
END_TEST

/*
 * Guards against request bodies that together take more memory than the process has, and against
 * memory that is not returned when a request has ended.
 */
START_TEST(total_body_memory_is_limited)
{
	static const char head[] = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 250000\r\n\r\n";
	static char body[250000];
	static struct fixture f;
	int second;
	char answer[64] = "";

	setup(&f);
	f.door.limit = 600000;
	f.limits.max_body_bytes = sizeof(body);
	f.delay_answer = true;
	send_bytes(&f, head);
	ck_assert_int_eq(send(f.fd, body, sizeof(body), MSG_NOSIGNAL), (ssize_t)sizeof(body));
	ck_assert(unit_run_until(f.loop, has_requests, &f));
	second = dial(&f);
	send(second, head, sizeof(head) - 1, 0);
	unit_run_for(f.loop, 50);
	ck_assert_int_gt(recv(second, answer, sizeof(answer) - 1, MSG_DONTWAIT), 0);
	ck_assert(strstr(answer, " 503 ") != NULL);
	ck_assert_uint_eq(f.requests, 1);
	close(second);
	close(f.fd);
	ck_assert(unit_run_until(f.loop, has_released_all, &f));
	f.fd = dial(&f);
	teardown(&f);
}
END_TEST

/* Guards against lost parts of split or chunked bodies, and lost requests on one connection. */
START_TEST(bodies_arrive_complete)
{
	static struct fixture f;

	setup(&f);
	send_bytes(&f, "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\n01234");
	unit_run_for(f.loop, 20);
	ck_assert_uint_eq(f.requests, 0);
	send_bytes(&f, "56789");
	ck_assert(unit_run_until(f.loop, has_answer, &f));
	ck_assert_int_eq(status_of(&f), 200);
	ck_assert_uint_eq(f.body_len, 10);
	clear_answer(&f);
	send_bytes(&f, "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
		       "4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\nGET /second HTTP/1.1\r\nhost: x\r\n\r\n");
	ck_assert(unit_run_until(f.loop, has_answer, &f));
	unit_run_for(f.loop, 50);
	ck_assert_uint_eq(f.requests, 3);
	ck_assert(!f.closed);
	teardown(&f);
}
END_TEST

/* Guards against work for a caller that closed its connection: the handler must be notified. */
START_TEST(close_by_the_caller_is_reported)
{
	static struct fixture f;

	setup(&f);
	f.delay_answer = true;
	send_bytes(&f, "GET / HTTP/1.1\r\nhost: x\r\n\r\n");
	unit_run_for(f.loop, 30);
	ck_assert_uint_eq(f.requests, 1);
	close(f.fd);
	unit_run_for(f.loop, 50);
	ck_assert_uint_eq(f.n_callers_closed, 1);
	f.fd = -1;
	teardown(&f);
}
END_TEST

/* Guards against dropping requests on a planned stop; the answer must carry connection: close. */
START_TEST(shutdown_answers_open_requests)
{
	static struct fixture f;
	struct ingress_request *req;

	setup(&f);
	f.delay_answer = true;
	send_bytes(&f, "GET / HTTP/1.1\r\nhost: x\r\n\r\n");
	unit_run_for(f.loop, 30);
	ingress_drain(f.ingress);
	ingress_shutdown(f.ingress);
	ck_assert_uint_eq(ingress_open_requests(f.ingress), 1);
	req = f.unanswered;
	f.unanswered = NULL;
	ingress_reply(req, 200, NULL, 0, STR_LIT("late"), false);
	ingress_request_free(req);
	ck_assert(unit_run_until(f.loop, has_closed, &f));
	ck_assert_int_eq(status_of(&f), 200);
	ck_assert(strstr(f.answer, "connection: close") != NULL);
	ck_assert(strstr(f.answer, "late") != NULL);
	teardown(&f);
}
END_TEST

static bool two_requests(void *data)
{
	return ((struct fixture *)data)->requests == 2;
}

/*
 * A planned stop meets a request that has arrived on a kept connection, and a connection with a
 * request that was not accepted yet. Guards against closing both without an answer.
 */
START_TEST(shutdown_answers_requests_that_have_arrived)
{
	static const char request[] = "GET /late HTTP/1.1\r\nhost: h\r\n\r\n";
	struct fixture f;
	char answer[512];
	ssize_t n;
	int queued;

	setup(&f);
	send_bytes(&f, "GET /first HTTP/1.1\r\nhost: h\r\n\r\n");
	ck_assert(unit_run_until(f.loop, has_answer, &f));
	f.requests = 0;
	clear_answer(&f);
	send_bytes(&f, request);
	queued = dial(&f);
	ck_assert_int_eq(send(queued, request, strlen(request), MSG_NOSIGNAL),
			 (ssize_t)strlen(request));
	ingress_drain(f.ingress);
	ingress_shutdown(f.ingress);
	ck_assert_uint_gt(ingress_open_requests(f.ingress), 0);
	ck_assert(unit_run_until(f.loop, two_requests, &f));
	ck_assert(unit_run_until(f.loop, has_answer, &f));
	unit_run_for(f.loop, 20);
	n = recv(queued, answer, sizeof(answer) - 1, MSG_DONTWAIT);
	ck_assert_int_gt(n, 0);
	answer[n] = '\0';
	ck_assert(strstr(answer, "hello"));
	close(queued);
	teardown(&f);
}
END_TEST

/* Guards against passing hop-by-hop headers of an upstream's response on to the caller. */
START_TEST(hop_by_hop_headers_are_not_sent)
{
	static const struct ingress_header headers[] = {
		{{"keep-alive", 10}, {"timeout=9", 9}},
		{{"transfer-encoding", 17}, {"chunked", 7}},
		{{"content-length", 14}, {"77", 2}},
		{{"x-kept", 6}, {"yes", 3}},
	};
	static struct fixture f;
	struct ingress_request *req;

	setup(&f);
	f.delay_answer = true;
	send_bytes(&f, "GET / HTTP/1.1\r\nhost: x\r\n\r\n");
	unit_run_for(f.loop, 30);
	req = f.unanswered;
	f.unanswered = NULL;
	ingress_reply(req, 200, headers, 4, STR_LIT("abc"), false);
	ingress_request_free(req);
	ck_assert(unit_run_until(f.loop, has_answer, &f));
	ck_assert(strstr(f.answer, "x-kept: yes") != NULL);
	ck_assert(strstr(f.answer, "content-length: 3\r\n") != NULL);
	ck_assert(!strstr(f.answer, "keep-alive") && !strstr(f.answer, "77"));
	teardown(&f);
}
END_TEST

#define SLOW_BYTES (16u << 20)
#define LARGE_IDLE_MS 2000

/* A caller that takes up to `step` bytes of a large answer every `pause` ms. */
struct slow_reader {
	struct fixture f;
	size_t step;
	clk_ms pause;
	clk_ms next;	   /* when it reads again */
	clk_ms started;	   /* when the answer was begun */
	clk_ms last_taken; /* when it took something last */
	size_t taken;
	bool closed;
};

static void setup_slow_reader(struct slow_reader *r, size_t step, clk_ms pause, int receive_buffer,
			      struct answer_memory *memory)
{
	static const char part[65536];
	struct blocks body = {0};
	struct ingress_request *req;

	setup(&r->f);
	close(r->f.fd);
	r->f.limits.idle_timeout = LARGE_IDLE_MS;
	r->f.limits.answers = memory;
	r->f.fd = dial_with(&r->f, receive_buffer);
	r->f.delay_answer = true;
	send_bytes(&r->f, "GET / HTTP/1.1\r\nhost: x\r\n\r\n");
	unit_run_for(r->f.loop, 30);
	req = r->f.unanswered;
	ck_assert(req != NULL);
	r->f.unanswered = NULL;
	for (size_t at = 0; at < SLOW_BYTES; at += sizeof(part))
		blocks_append(&body, part, sizeof(part), SLOW_BYTES);
	ingress_reply_blocks(req, 200, NULL, 0, body);
	ingress_request_free(req);
	r->step = step;
	r->pause = pause;
	r->next = r->started = r->last_taken = clk_now();
	r->taken = 0;
	r->closed = false;
}

static void read_slowly(struct slow_reader *r)
{
	static char buf[1 << 20];
	ssize_t n;

	if (clk_now() < r->next || r->closed)
		return;
	r->next = clk_now() + r->pause;
	n = recv(r->f.fd, buf, r->step, MSG_DONTWAIT);
	if (n > 0) {
		r->taken += (size_t)n;
		r->last_taken = clk_now();
	}
	r->closed = n == 0 || (n < 0 && errno != EAGAIN);
}

static bool has_whole_answer(void *data)
{
	struct slow_reader *r = data;

	read_slowly(r);
	return r->taken > SLOW_BYTES || r->closed;
}

static bool is_cut_off(void *data)
{
	struct slow_reader *r = data;

	read_slowly(r);
	return ingress_connections(r->f.ingress) == 0;
}

/* Guards against a large answer that is cut though its caller takes a part of it all the time. */
START_TEST(steady_reader_gets_the_whole_answer)
{
	static struct slow_reader r;

	setup_slow_reader(&r, 128 * 1024, 40, 65536, NULL);
	ck_assert(unit_run_until(r.f.loop, has_whole_answer, &r));
	ck_assert_msg(r.taken > SLOW_BYTES, "%zu of %u bytes", r.taken, SLOW_BYTES);
	ck_assert_int_gt(clk_now() - r.started, 2 * LARGE_IDLE_MS);
	teardown(&r.f);
}
END_TEST

/* Guards against callers that hold the memory of an answer without reading it. */
START_TEST(reader_that_takes_nothing_is_cut_off)
{
	static struct slow_reader r;

	setup_slow_reader(&r, 0, 0, 65536, NULL);
	r.next = CLK_NEVER;
	ck_assert(unit_run_until(r.f.loop, is_cut_off, &r));
	ck_assert_int_ge(clk_now() - r.started, LARGE_IDLE_MS);
	ck_assert_int_lt(clk_now() - r.started, 2 * LARGE_IDLE_MS);
	teardown(&r.f);
}
END_TEST

/* Guards against an answer that a caller stopped to read and that stays in memory. */
START_TEST(reader_that_stops_is_cut_off)
{
	static struct slow_reader r;

	setup_slow_reader(&r, 64 * 1024, 40, 65536, NULL);
	while (clk_now() - r.started < LARGE_IDLE_MS * 3 / 2) {
		read_slowly(&r);
		h2o_evloop_run(r.f.loop, 1);
	}
	ck_assert_uint_eq(ingress_open_responses(r.f.ingress), 1);
	r.next = CLK_NEVER;
	ck_assert(unit_run_until(r.f.loop, is_cut_off, &r));
	ck_assert_int_lt(clk_now() - r.last_taken, 2 * LARGE_IDLE_MS);
	teardown(&r.f);
}
END_TEST

/* Guards against slow callers that hold the memory that the answers of others need. */
START_TEST(steady_reader_is_cut_off_when_memory_is_short)
{
	static struct slow_reader r;
	struct answer_memory memory = {.limit = SLOW_BYTES * 3 / 2};

	setup_slow_reader(&r, 64 * 1024, 40, 65536, &memory);
	ck_assert_uint_gt(memory.used, SLOW_BYTES);
	ck_assert(unit_run_until(r.f.loop, is_cut_off, &r));
	ck_assert_uint_eq(memory.used, 0);
	ck_assert_int_lt(clk_now() - r.started, 2 * LARGE_IDLE_MS);
	teardown(&r.f);
}
END_TEST

/* Guards against callers that hold the memory of an answer by reading a few bytes at a time. */
START_TEST(reader_of_small_parts_is_cut_off)
{
	static struct slow_reader r;

	setup_slow_reader(&r, 150, 5, 8192, NULL);
	ck_assert(unit_run_until(r.f.loop, is_cut_off, &r));
	ck_assert_int_lt(clk_now() - r.started, 4 * LARGE_IDLE_MS);
	teardown(&r.f);
}
END_TEST

/* One caller of many: a connection with at most one request. */
struct caller {
	int fd;
	char answer[512];
	size_t len;
	bool closed;
};

static void caller_dial(struct caller *c, struct fixture *f)
{
	*c = (struct caller){.fd = dial(f)};
}

static void caller_send(struct caller *c, const char *bytes)
{
	ck_assert_int_eq(send(c->fd, bytes, strlen(bytes), MSG_NOSIGNAL), (ssize_t)strlen(bytes));
}

static bool caller_has_answer(void *data)
{
	struct caller *c = data;
	ssize_t n = recv(c->fd, c->answer + c->len, sizeof(c->answer) - 1 - c->len, MSG_DONTWAIT);

	if (n > 0)
		c->len += (size_t)n;
	c->closed = c->closed || n == 0 || (n < 0 && errno != EAGAIN);
	return strstr(c->answer, "hello") != NULL;
}

static bool caller_has_closed(void *data)
{
	caller_has_answer(data);
	return ((struct caller *)data)->closed;
}

static bool is_full(void *data)
{
	return ingress_is_full(((struct fixture *)data)->ingress);
}

#define MAX_CONNECTIONS 8
#define LONG_IDLE_TIMEOUT (2 * UNIT_TIMEOUT_MS)
#define ONE_REQUEST "GET / HTTP/1.1\r\nhost: x\r\n\r\n"

/*
 * Callers send each request on a new connection and keep the earlier ones open. Guards against
 * connections that add up until no further one is accepted, and against closing them while there is
 * room.
 */
START_TEST(kept_connections_leave_room_for_new_ones)
{
	static struct fixture f;
	static struct caller callers[10 * MAX_CONNECTIONS];
	size_t n = sizeof(callers) / sizeof(callers[0]);

	setup(&f);
	f.limits.max_connections = MAX_CONNECTIONS;
	f.limits.idle_timeout = LONG_IDLE_TIMEOUT;
	for (size_t i = 0; i < n; i++) {
		caller_dial(&callers[i], &f);
		caller_send(&callers[i], ONE_REQUEST);
		ck_assert_msg(unit_run_until(f.loop, caller_has_answer, &callers[i]),
			      "caller %zu got no answer", i);
		ck_assert_uint_le(ingress_connections(f.ingress), MAX_CONNECTIONS);
		/* The connection of the fixture is the first. */
		ck_assert_int_eq(strstr(callers[i].answer, "connection: close") != NULL,
				 i + 2 > MAX_CONNECTIONS - MAX_CONNECTIONS / 4);
		if (strstr(callers[i].answer, "connection: close"))
			close(callers[i].fd);
	}
	ck_assert(!has_closed(&f));
	for (size_t i = 0; i < n; i++) {
		if (!strstr(callers[i].answer, "connection: close"))
			close(callers[i].fd);
	}
	teardown(&f);
}
END_TEST

/*
 * Callers open connections and send nothing. Guards against refusing new connections for those, and
 * against closing another than the one that was idle longest or one whose request has arrived.
 */
START_TEST(longest_idle_connection_makes_room)
{
	static struct fixture f;
	static struct caller silent[MAX_CONNECTIONS];
	static struct caller late;

	setup(&f);
	f.limits.max_connections = MAX_CONNECTIONS;
	f.limits.idle_timeout = LONG_IDLE_TIMEOUT;
	unit_run_for(f.loop, 20);
	for (size_t i = 0; i + 1 < MAX_CONNECTIONS; i++) {
		caller_dial(&silent[i], &f);
		unit_run_for(f.loop, 5);
	}
	ck_assert_uint_eq(ingress_connections(f.ingress), MAX_CONNECTIONS);
	/* The listener has input first, so the second request is unread when room is needed. */
	caller_dial(&late, &f);
	caller_send(&late, ONE_REQUEST);
	send_bytes(&f, ONE_REQUEST);
	ck_assert(unit_run_until(f.loop, caller_has_answer, &late));
	ck_assert(unit_run_until(f.loop, has_answer, &f));
	ck_assert(unit_run_until(f.loop, caller_has_closed, &silent[0]));
	for (size_t i = 2; i + 1 < MAX_CONNECTIONS; i++)
		ck_assert(!caller_has_closed(&silent[i]));
	for (size_t i = 0; i + 1 < MAX_CONNECTIONS; i++)
		close(silent[i].fd);
	close(late.fd);
	teardown(&f);
}
END_TEST

/* Guards against a listener that says it has room while all its connections are in use. */
START_TEST(full_while_all_connections_are_in_use)
{
	static struct fixture f;
	static struct caller late;

	setup(&f);
	f.limits.max_connections = 1;
	f.limits.idle_timeout = LONG_IDLE_TIMEOUT;
	send_bytes(&f, "GET / HT");
	unit_run_for(f.loop, 20);
	ck_assert(!ingress_is_full(f.ingress));
	caller_dial(&late, &f);
	caller_send(&late, ONE_REQUEST);
	ck_assert(unit_run_until(f.loop, is_full, &f));
	ck_assert_uint_eq(ingress_connections(f.ingress), 1);
	send_bytes(&f, "TP/1.1\r\nhost: x\r\n\r\n");
	ck_assert(unit_run_until(f.loop, has_answer, &f));
	ck_assert(unit_run_until(f.loop, caller_has_answer, &late));
	ck_assert(!ingress_is_full(f.ingress));
	close(late.fd);
	teardown(&f);
}
END_TEST

/*
 * The process has no free descriptor, and no limit of connections was given. Guards against a
 * listener that accepts nothing until an idle connection times out.
 */
START_TEST(idle_connection_makes_room_for_a_descriptor)
{
	static struct fixture f;
	static struct caller late;
	struct rlimit all;
	struct rlimit none;

	setup(&f);
	f.limits.idle_timeout = LONG_IDLE_TIMEOUT;
	send_bytes(&f, ONE_REQUEST);
	ck_assert(unit_run_until(f.loop, has_answer, &f));
	caller_dial(&late, &f);
	caller_send(&late, ONE_REQUEST);
	ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, &all), 0);
	none = all;
	none.rlim_cur = (rlim_t)dup(f.fd);
	close((int)none.rlim_cur);
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &none), 0);
	ck_assert(unit_run_until(f.loop, caller_has_answer, &late));
	setrlimit(RLIMIT_NOFILE, &all);
	ck_assert(unit_run_until(f.loop, has_closed, &f));
	close(late.fd);
	teardown(&f);
}
END_TEST

#define LARGE_BYTES (8u * 1024 * 1024)

struct reading {
	int fd;
	char *bytes;
	size_t len;
};

/* Reads a part of a large answer, so that it is written in many parts. */
static bool has_read_all(void *data)
{
	struct reading *r = data;
	ssize_t n = recv(r->fd, r->bytes + r->len, 250000, MSG_DONTWAIT);

	if (n > 0)
		r->len += (size_t)n;
	return n == 0;
}

/*
 * An answer in many blocks, to GET and HEAD. Guards against lost or moved parts, and against blocks
 * that stay allocated or counted.
 */
START_TEST(answers_in_blocks_are_whole)
{
	static const char *const requests[] = {"GET / HTTP/1.1\r\nhost: x\r\n\r\n",
					       "HEAD / HTTP/1.1\r\nhost: x\r\n\r\n"};
	char *bytes = malloc(LARGE_BYTES);

	for (size_t i = 0; i < LARGE_BYTES; i++)
		bytes[i] = (char)('a' + i % 23);
	for (size_t i = 0; i < 2; i++) {
		struct answer_memory memory = {0};
		struct reading r = {.bytes = malloc(LARGE_BYTES + 200000)};
		struct blocks blocks = {0};
		static struct fixture f;
		struct ingress_request *req;
		const char *body;
		size_t head;

		setup(&f);
		f.limits.answers = &memory;
		f.delay_answer = true;
		r.fd = f.fd;
		send_bytes(&f, requests[i]);
		unit_run_for(f.loop, 30);
		for (size_t at = 0; at < LARGE_BYTES; at += 65536)
			blocks_append(&blocks, bytes + at, 65536, 0);
		ck_assert_uint_gt(blocks.n, 30);
		ingress_drain(f.ingress);
		req = f.unanswered;
		f.unanswered = NULL;
		ingress_reply_blocks(req, 200, NULL, 0, blocks);
		ingress_request_free(req);
		ck_assert_uint_ge(memory.used, LARGE_BYTES);
		ck_assert(unit_run_until(f.loop, has_read_all, &r));
		body = memmem(r.bytes, r.len, "\r\n\r\n", 4);
		ck_assert(body != NULL);
		ck_assert(memmem(r.bytes, r.len, "content-length: 8388608\r\n", 25) != NULL);
		head = (size_t)(body + 4 - r.bytes);
		ck_assert_uint_eq(r.len - head, i == 0 ? LARGE_BYTES : 0);
		ck_assert(memcmp(r.bytes + head, bytes, r.len - head) == 0);
		ck_assert_uint_eq(memory.used, 0);
		free(r.bytes);
		teardown(&f);
	}
	free(bytes);
}
END_TEST

static const char *const mutants[] = {
	"ingress_cut_arrived",	  "ingress_both_lengths", "ingress_bare_lf",
	"ingress_write_deadline", "ingress_any_progress", "ingress_ignore_memory",
	"ingress_keep_crowded",	  "ingress_keep_idle",	  NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, ambiguous_framing_is_refused);
	tcase_add_test(tc, garbage_after_a_request_is_refused);
	tcase_add_test(tc, limits_are_enforced);
	tcase_add_test(tc, total_body_memory_is_limited);
	tcase_add_test(tc, bodies_arrive_complete);
	tcase_add_test(tc, close_by_the_caller_is_reported);
	tcase_add_test(tc, shutdown_answers_open_requests);
	tcase_add_test(tc, shutdown_answers_requests_that_have_arrived);
	tcase_add_test(tc, hop_by_hop_headers_are_not_sent);
	tcase_add_test(tc, steady_reader_gets_the_whole_answer);
	tcase_add_test(tc, reader_that_takes_nothing_is_cut_off);
	tcase_add_test(tc, reader_that_stops_is_cut_off);
	tcase_add_test(tc, steady_reader_is_cut_off_when_memory_is_short);
	tcase_add_test(tc, reader_of_small_parts_is_cut_off);
	tcase_add_test(tc, kept_connections_leave_room_for_new_ones);
	tcase_add_test(tc, longest_idle_connection_makes_room);
	tcase_add_test(tc, full_while_all_connections_are_in_use);
	tcase_add_test(tc, idle_connection_makes_room_for_a_descriptor);
	tcase_add_test(tc, answers_in_blocks_are_whole);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "ingress", mutants, add_tests);
}
