/* HTTP client (upconn) against a server on the same loop whose responses are given as raw bytes. */
#include <fcntl.h>
#include <pthread.h>

#include "base/rnd.h"
#include "connection/upconn.h"
#include "test/unit.h"
#include "test/unit_loop.h"

#define IP unit_ip()
#define LONG_TIMEOUT_MS 50000
#define RESET_ANSWER_BYTES 100000

/* How the server answers requests, and what it does with the connection. */
struct script {
	struct str answers[8]; /* by request number; ptr NULL: no answer */
	size_t cut;	       /* the answer is written in two parts, split at this offset */
	bool close_after;
	bool close_without_answer;
	size_t reset_after; /* the answer is cut after so many bytes, by a reset; 0: off */
	char last_request[4096];
	struct unit_conn *unanswered; /* connection of the last request that was not answered */
};

struct fixture {
	h2o_loop_t *loop;
	struct unit_server server;
	struct script script;
	struct upconn_pool *pool;
};

/* Result of one call, copied by its callback. */
struct outcome {
	char *body;
	size_t body_len;
	enum upconn_result result;
	int status;
	int may_send_calls;   /* number of calls of may_send() */
	bool may_send_result; /* what may_send() returns */
	bool done;
	bool sent;
	bool reused;
	char header[64]; /* value of the response header "x-test" */
};

static void on_request(struct unit_conn *c, struct str request, void *data)
{
	struct script *s = data;
	size_t n = c->server->requests - 1;
	struct str answer = n < 8 ? s->answers[n] : STR_NULL;

	snprintf(s->last_request, sizeof(s->last_request), "%.*s", STR_ARG(request));
	if (s->close_without_answer) {
		unit_close(c);
		return;
	}
	if (!answer.ptr) {
		s->unanswered = c;
		return;
	}
	if (s->reset_after) {
		ck_assert_int_eq(send(h2o_socket_get_fd(c->sock), answer.ptr, s->reset_after, 0),
				 (ssize_t)s->reset_after);
		unit_reset(c);
		return;
	}
	c->close_after = s->close_after;
	unit_reply_split(c, answer, s->cut);
}

static void setup(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	f->loop = h2o_evloop_create();
	f->server.on_request = on_request;
	f->server.data = &f->script;
	unit_server_start(&f->server, f->loop, IP);
	f->pool = upconn_pool_create(f->loop, IP, f->server.port, 4);
}

static void teardown(struct fixture *f)
{
	upconn_pool_destroy(f->pool);
	unit_server_stop(&f->server);
	timer_destroy_loop(f->loop);
}

static void on_answer(void *data, const struct upconn_answer *a)
{
	struct outcome *o = data;
	struct str header = upconn_answer_header(a, "x-test");
	struct str body = upconn_body(a);

	ck_assert(!o->done);
	o->done = true;
	o->result = a->result;
	o->sent = a->sent;
	o->reused = a->reused;
	o->status = a->status;
	ck_assert_uint_eq(body.len, a->body_len);
	o->body = malloc(body.len + 1);
	if (body.len)
		memcpy(o->body, body.ptr, body.len);
	o->body[body.len] = '\0';
	o->body_len = body.len;
	snprintf(o->header, sizeof(o->header), "%.*s", STR_ARG(header));
}

static bool is_done(void *data)
{
	return ((struct outcome *)data)->done;
}

static bool may_send(void *data)
{
	struct outcome *o = data;

	o->may_send_calls++;
	return o->may_send_result;
}

static struct upconn_request get(const char *path)
{
	return (struct upconn_request){
		.method = STR_LIT("GET"), .path = str_from(path), .timeout = LONG_TIMEOUT_MS};
}

struct sender {
	struct timer timer;
	struct upconn_pool *pool;
	const struct upconn_request *req;
	struct outcome *outcome;
};

static void on_send_timer(struct timer *timer, void *data)
{
	struct sender *s = data;

	upconn_send(s->pool, s->req, on_answer, s->outcome);
	/* The callback must not come from within upconn_send(). */
	ck_assert(!s->outcome->done);
}

/*
 * Makes one call on the fixture's pool and waits for its end. Like the programs, it sends from a
 * callback of the loop: of a write outside of it h2o may poll the socket without need, and abort
 * once a full socket that has been written to is writable again.
 */
static struct outcome *make_call(struct fixture *f, const struct upconn_request *req,
				 struct outcome *o)
{
	bool may_send_result = o->may_send_result;
	struct sender s = {.pool = f->pool, .req = req, .outcome = o};

	free(o->body);
	*o = (struct outcome){.may_send_result = may_send_result};
	timer_init(&s.timer, f->loop, on_send_timer, &s);
	timer_arm(&s.timer, 0);
	ck_assert(unit_run_until(f->loop, is_done, o));
	timer_release(&s.timer);
	return o;
}

/* Replaces the fixture's pool by one with these options. */
static void replace_pool(struct fixture *f, const struct upconn_options *opts)
{
	upconn_pool_destroy(f->pool);
	f->pool = upconn_pool_create_with(f->loop, IP, f->server.port, opts);
}

static bool has_accepted(void *data)
{
	struct fixture *f = data;

	return f->server.accepted > 0;
}

#define COMPLETE_ANSWER(body)                                                                      \
	STR_LIT("HTTP/1.1 200 OK\r\ncontent-length: 3\r\nx-test: v\r\n\r\n" body)

/* Guards against a new connection for each call, and against loss of a part of the response. */
START_TEST(connection_is_reused_after_a_complete_answer)
{
	struct fixture f;
	struct outcome o = {0};
	struct upconn_request req = get("/a");

	setup(&f);
	f.script.answers[0] = COMPLETE_ANSWER("one");
	f.script.answers[1] = COMPLETE_ANSWER("two");
	make_call(&f, &req, &o);
	ck_assert_int_eq(o.result, UPCONN_OK);
	ck_assert_int_eq(o.status, 200);
	ck_assert_str_eq(o.body, "one");
	ck_assert_str_eq(o.header, "v");
	ck_assert(o.sent && !o.reused);
	make_call(&f, &req, &o);
	ck_assert_str_eq(o.body, "two");
	ck_assert(o.reused);
	ck_assert_uint_eq(f.server.accepted, 1);
	req.fresh = true;
	f.script.answers[2] = COMPLETE_ANSWER("new");
	make_call(&f, &req, &o);
	ck_assert(!o.reused);
	ck_assert_uint_eq(f.server.accepted, 2);
	free(o.body);
	teardown(&f);
}
END_TEST

/*
 * Guards against passing on framing headers or a request id of the caller, which the client sets
 * itself.
 */
START_TEST(request_is_written_as_given)
{
	struct fixture f;
	struct outcome o = {0};
	struct upconn_header headers[] = {
		{STR_LIT("x-epoch"), STR_LIT("7")},
		{STR_LIT("content-length"), STR_LIT("999")},
		{STR_LIT("Transfer-Encoding"), STR_LIT("chunked")},
		{STR_LIT("x-request-id"), STR_LIT("other")},
	};
	struct upconn_request req = {.method = STR_LIT("POST"),
				     .path = STR_LIT("/orders/1?a=b"),
				     .headers = headers,
				     .n_headers = 4,
				     .body = STR_LIT("hello"),
				     .request_id = STR_LIT("r-12345678"),
				     .timeout = LONG_TIMEOUT_MS};
	char expected[512];

	setup(&f);
	f.script.answers[0] = STR_LIT("HTTP/1.1 201 Created\r\ncontent-length: 0\r\n"
				      "X-Request-Id: r-12345678\r\n\r\n");
	make_call(&f, &req, &o);
	ck_assert_int_eq(o.result, UPCONN_OK);
	ck_assert_int_eq(o.status, 201);
	snprintf(expected, sizeof(expected),
		 "POST /orders/1?a=b HTTP/1.1\r\nhost: %s:%u\r\nx-request-id: r-12345678\r\n"
		 "x-epoch: 7\r\ncontent-length: 5\r\n\r\nhello",
		 IP, f.server.port);
	ck_assert_str_eq(f.script.last_request, expected);
	free(o.body);
	teardown(&f);
}
END_TEST

/* Guards against request injection: a line break in a value would start a second request. */
START_TEST(malformed_request_is_not_sent)
{
	struct upconn_header bad_value = {STR_LIT("x-a"), STR_LIT("1\r\nx-b: 2")};
	struct upconn_header bad_name = {STR_LIT("x a"), STR_LIT("1")};
	struct upconn_header long_value = {STR_LIT("x-a"), {calloc(1, 70000), 70000}};
	struct upconn_request bad[] = {get("/a b"), get("/a\r\nx"), get("a"), get("/"),
				       get("/"),    get("/"),	    get("/"), get("/")};
	struct fixture f;
	struct outcome o = {0};

	memset((char *)long_value.value.ptr, 'x', long_value.value.len);
	bad[3].method = STR_LIT("GET /x");
	bad[4].request_id = STR_LIT("a\nb");
	for (int i = 5; i < 8; i++)
		bad[i].n_headers = 1;
	bad[5].headers = &bad_value;
	bad[6].headers = &bad_name;
	bad[7].headers = &long_value;
	setup(&f);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		make_call(&f, &bad[i], &o);
		ck_assert_int_eq(o.result, UPCONN_NOT_SENT);
		ck_assert(!o.sent);
	}
	ck_assert_uint_eq(f.server.accepted, 0);
	free((char *)long_value.value.ptr);
	free(o.body);
	teardown(&f);
}
END_TEST

/* Guards against reuse of a connection opened before upconn_pool_discard_conns(). */
START_TEST(discarded_connections_are_not_reused)
{
	struct fixture f;
	struct outcome o = {0};
	struct outcome slow = {0};
	struct upconn_request req = get("/");

	setup(&f);
	f.script.answers[0] = COMPLETE_ANSWER("one");
	make_call(&f, &req, &o);
	upconn_pool_discard_conns(f.pool);
	f.script.answers[1] = COMPLETE_ANSWER("two");
	make_call(&f, &req, &o);
	ck_assert(!o.reused);
	ck_assert_uint_eq(f.server.accepted, 2);
	/* A call open during the discard ends normally; then its connection is closed. */
	upconn_send(f.pool, &req, on_answer, &slow);
	while (!f.script.unanswered)
		h2o_evloop_run(f.loop, 10);
	upconn_pool_discard_conns(f.pool);
	unit_reply(f.script.unanswered, COMPLETE_ANSWER("old"));
	ck_assert(unit_run_until(f.loop, is_done, &slow));
	ck_assert_int_eq(slow.result, UPCONN_OK);
	f.script.answers[3] = COMPLETE_ANSWER("new");
	make_call(&f, &req, &o);
	ck_assert(!o.reused);
	ck_assert_uint_eq(f.server.accepted, 3);
	free(slow.body);
	free(o.body);
	teardown(&f);
}
END_TEST

/* Guards against a call without end if no response comes, and against reuse of its connection. */
START_TEST(unresponsive_connection_times_out_and_is_closed)
{
	struct fixture f;
	struct outcome o = {0};
	struct upconn_request req = get("/");
	clk_ms start;

	setup(&f);
	req.timeout = 50;
	start = clk_now();
	make_call(&f, &req, &o);
	ck_assert_int_eq(o.result, UPCONN_TIMEOUT);
	ck_assert(o.sent);
	ck_assert_int_ge(clk_now() - start, 50);
	f.script.answers[1] = COMPLETE_ANSWER("new");
	req.timeout = LONG_TIMEOUT_MS;
	make_call(&f, &req, &o);
	ck_assert_int_eq(o.result, UPCONN_OK);
	ck_assert(!o.reused);
	free(o.body);
	teardown(&f);
}
END_TEST

/*
 * Guards against a response that comes after its request timed out being taken as the response to
 * the next request, although there is no request id to compare.
 */
START_TEST(late_answer_never_reaches_the_next_request)
{
	struct fixture f;
	struct outcome o = {0};
	struct outcome next = {0};
	struct upconn_request req = get("/first");

	setup(&f);
	req.timeout = 50;
	make_call(&f, &req, &o);
	ck_assert_int_eq(o.result, UPCONN_TIMEOUT);
	req = get("/second");
	upconn_send(f.pool, &req, on_answer, &next);
	while (f.server.requests < 2)
		h2o_evloop_run(f.loop, 10);
	/*
	 * The first connection gets the late response and, in one stream with it, a copy of the
	 * second response; the second connection gets the second response.
	 */
	for (struct unit_conn *c = f.server.conns; c; c = c->next) {
		if (c->number == 1)
			unit_reply_split(c,
					 STR_LIT("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n1st"
						 "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n2nd"),
					 41);
		else
			unit_reply(c, COMPLETE_ANSWER("2nd"));
	}
	ck_assert(unit_run_until(f.loop, is_done, &next));
	ck_assert_int_eq(next.result, UPCONN_OK);
	ck_assert_str_eq(next.body, "2nd");
	free(next.body);
	free(o.body);
	teardown(&f);
}
END_TEST

/* Guards against a truncated response being taken for complete. */
START_TEST(truncated_answer_is_not_accepted)
{
	static const char *const cut_short[] = {
		"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\ncontent-le",
		"HTTP/1.1 100 Continue\r\n\r\n",
	};

	for (size_t i = 0; i < sizeof(cut_short) / sizeof(cut_short[0]); i++) {
		struct fixture f;
		struct outcome o = {0};
		struct upconn_request req = get("/");

		setup(&f);
		f.script.answers[0] = str_from(cut_short[i]);
		f.script.close_after = true;
		make_call(&f, &req, &o);
		ck_assert_int_eq(o.result, UPCONN_BROKE);
		ck_assert(o.sent);
		ck_assert_uint_eq(o.body_len, 0);
		free(o.body);
		teardown(&f);
	}
}
END_TEST

/*
 * Guards against delivering another request's response: one whose request id is missing, repeated
 * or different is discarded.
 */
START_TEST(wrong_request_id_is_a_mismatch_and_closes)
{
	static const char *const heads[] = {
		"x-request-id: r-00000002\r\n",
		"",
		"x-request-id: r-00000001\r\nx-request-id: r-00000002\r\n",
		"x-request-id: r-0000000\r\n",
	};

	for (size_t i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
		struct fixture f;
		struct outcome o = {0};
		struct upconn_request req = get("/");
		char answer[256];

		setup(&f);
		req.request_id = STR_LIT("r-00000001");
		snprintf(answer, sizeof(answer),
			 "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n%s\r\nabc", heads[i]);
		f.script.answers[0] = str_from(answer);
		f.script.answers[1] = STR_LIT("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n"
					      "x-request-id: r-00000001\r\n\r\nown");
		make_call(&f, &req, &o);
		ck_assert_int_eq(o.result, UPCONN_MISMATCH);
		ck_assert(o.sent);
		ck_assert_uint_eq(o.body_len, 0);
		make_call(&f, &req, &o);
		ck_assert_int_eq(o.result, UPCONN_OK);
		ck_assert_str_eq(o.body, "own");
		ck_assert(!o.reused);
		free(o.body);
		teardown(&f);
	}
}
END_TEST

/* Guards against bytes written although may_send() returned false (the send-by time check). */
START_TEST(may_send_refuses_on_new_and_idle_connections)
{
	struct fixture f;
	struct outcome o = {.may_send_result = false};
	struct upconn_request req = get("/");

	setup(&f);
	req.may_send = may_send;
	make_call(&f, &req, &o);
	ck_assert_int_eq(o.result, UPCONN_NOT_SENT);
	ck_assert(!o.sent);
	ck_assert_int_eq(o.may_send_calls, 1);
	unit_run_for(f.loop, 20);
	ck_assert_uint_eq(f.server.bytes, 0);
	f.script.answers[0] = COMPLETE_ANSWER("one");
	o.may_send_result = true;
	make_call(&f, &req, &o);
	ck_assert_int_eq(o.result, UPCONN_OK);
	ck_assert_int_eq(o.may_send_calls, 1);
	o.may_send_result = false;
	make_call(&f, &req, &o);
	ck_assert_int_eq(o.result, UPCONN_NOT_SENT);
	ck_assert(!o.sent);
	unit_run_for(f.loop, 20);
	ck_assert_uint_eq(f.server.requests, 1);
	/* The call that may_send() refused left its idle connection usable. */
	f.script.answers[1] = COMPLETE_ANSWER("two");
	o.may_send_result = true;
	make_call(&f, &req, &o);
	ck_assert_str_eq(o.body, "two");
	ck_assert(o.reused);
	free(o.body);
	teardown(&f);
}
END_TEST

/* Guards against calling may_send() before the connection is open, long before the write. */
START_TEST(may_send_is_called_after_the_connection_is_open)
{
	struct fixture f;
	struct outcome o = {.may_send_result = true};
	struct upconn_request req = get("/");

	setup(&f);
	req.may_send = may_send;
	f.script.answers[0] = COMPLETE_ANSWER("one");
	upconn_send(f.pool, &req, on_answer, &o);
	ck_assert_int_eq(o.may_send_calls, 0);
	ck_assert(unit_run_until(f.loop, is_done, &o));
	ck_assert_int_eq(o.may_send_calls, 1);
	free(o.body);
	teardown(&f);
}
END_TEST

/* Guards against reporting a request as sent although the connection was refused. */
START_TEST(refused_connection_ends_with_connect_failed)
{
	struct fixture f;
	struct outcome o = {0};
	struct upconn_request req = get("/");

	setup(&f);
	unit_server_stop(&f.server);
	make_call(&f, &req, &o);
	ck_assert_int_eq(o.result, UPCONN_CONNECT_FAILED);
	ck_assert(!o.sent);
	free(o.body);
	teardown(&f);
}
END_TEST

/* Guards against loss of a request written to an idle connection that the server had closed. */
START_TEST(connection_that_ended_while_idle_is_not_used)
{
	struct fixture f;
	struct outcome o = {0};
	struct upconn_request req = get("/");

	setup(&f);
	f.script.answers[0] = COMPLETE_ANSWER("one");
	f.script.answers[1] = COMPLETE_ANSWER("two");
	make_call(&f, &req, &o);
	/* The loop has not run since, so only the check before reuse can detect the close. */
	unit_close(f.server.conns);
	make_call(&f, &req, &o);
	ck_assert_int_eq(o.result, UPCONN_OK);
	ck_assert_str_eq(o.body, "two");
	ck_assert(!o.reused);
	free(o.body);
	teardown(&f);
}
END_TEST

/* Guards against reporting a request that may have run as not sent. */
START_TEST(connection_that_ends_after_the_write)
{
	struct fixture f;
	struct outcome o = {0};
	struct upconn_request req = get("/");

	setup(&f);
	f.script.answers[0] = COMPLETE_ANSWER("one");
	make_call(&f, &req, &o);
	f.script.close_without_answer = true;
	make_call(&f, &req, &o);
	ck_assert_int_eq(o.result, UPCONN_BROKE);
	ck_assert(o.sent && o.reused);
	make_call(&f, &req, &o);
	ck_assert_int_eq(o.result, UPCONN_BROKE);
	ck_assert(o.sent && !o.reused);
	free(o.body);
	teardown(&f);
}
END_TEST

/* Guards against bytes that follow a response being read as the response to the next request. */
START_TEST(unread_data_prevents_reuse)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\none"
		"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"
		"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad",
		"HTTP/1.1 204 No Content\r\n\r\n"
		"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad",
	};

	for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
		struct fixture f;
		struct outcome o = {0};
		struct upconn_request req = get("/");

		setup(&f);
		f.script.answers[0] = str_from(answers[i]);
		f.script.answers[1] = COMPLETE_ANSWER("two");
		make_call(&f, &req, &o);
		ck_assert_int_eq(o.result, UPCONN_OK);
		make_call(&f, &req, &o);
		ck_assert_int_eq(o.result, UPCONN_OK);
		ck_assert_str_eq(o.body, "two");
		ck_assert(!o.reused);
		free(o.body);
		teardown(&f);
	}
}
END_TEST

/*
 * Guards against bytes that arrive on an idle connection being read as the response to the next
 * request, whether they are still in the kernel's buffer or the loop has already read them.
 */
START_TEST(data_on_an_idle_connection_closes_it)
{
	for (int seen_by_loop = 0; seen_by_loop < 2; seen_by_loop++) {
		struct fixture f;
		struct outcome o = {0};
		struct upconn_request req = get("/");
		static const char bad[] = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad";

		setup(&f);
		f.script.answers[0] = COMPLETE_ANSWER("one");
		f.script.answers[1] = COMPLETE_ANSWER("two");
		make_call(&f, &req, &o);
		ck_assert_int_eq(
			send(h2o_socket_get_fd(f.server.conns->sock), bad, sizeof(bad) - 1, 0),
			sizeof(bad) - 1);
		if (seen_by_loop)
			unit_run_for(f.loop, 20);
		make_call(&f, &req, &o);
		ck_assert_str_eq(o.body, "two");
		ck_assert(!o.reused);
		free(o.body);
		teardown(&f);
	}
}
END_TEST

/* Guards against parsing that depends on how the response is split into packets. */
START_TEST(answer_split_at_every_byte)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-test: v\r\n\r\nabcde",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-test: v\r\n\r\n"
		"2\r\nab\r\n3;x=y\r\ncde\r\n0\r\nx-trailer: 1\r\n\r\n",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nx-test: v\r\n"
		"content-length: 5\r\n\r\nabcde",
	};

	for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
		struct fixture f;
		struct outcome o = {0};
		struct upconn_request req = get("/");

		setup(&f);
		for (size_t cut = 0; cut < strlen(answers[i]); cut++) {
			f.server.requests = 0;
			f.script.answers[0] = str_from(answers[i]);
			f.script.cut = cut;
			make_call(&f, &req, &o);
			ck_assert_int_eq(o.result, UPCONN_OK);
			ck_assert_str_eq(o.body, "abcde");
			ck_assert_str_eq(o.header, "v");
			ck_assert(o.reused || cut == 0);
		}
		free(o.body);
		teardown(&f);
	}
}
END_TEST

/* Guards against accepting responses whose end is ambiguous, or input that is not HTTP. */
START_TEST(malformed_answers_are_refused)
{
	static const char *const bad[] = {
		"garbage\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nends with the connection",
		"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
		"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\ncontent-length: +3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\ncontent-length: 3x\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
		"HTTP/1.1 101 Switching\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
		"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
	};

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		struct fixture f;
		struct outcome o = {0};
		struct upconn_request req = get("/");

		setup(&f);
		f.script.answers[0] = str_from(bad[i]);
		f.script.close_after = true;
		make_call(&f, &req, &o);
		ck_assert_int_eq(o.result, UPCONN_BROKE);
		ck_assert(o.sent);
		free(o.body);
		teardown(&f);
	}
}
END_TEST

/* Guards against passing a status code on that HTTP does not have: the caller could not read it. */
START_TEST(status_code_outside_its_range_is_refused)
{
	static const char *const codes[] = {"000", "001", "042", "099", "600", "999", "2000"};

	for (size_t i = 0; i < sizeof(codes) / sizeof(codes[0]); i++) {
		struct fixture f;
		struct outcome o = {0};
		struct upconn_request req = get("/");
		char answer[100];

		setup(&f);
		snprintf(answer, sizeof(answer),
			 "HTTP/1.1 %s Answer\r\ncontent-length: 3\r\n\r\nbad", codes[i]);
		f.script.answers[0] = str_from(answer);
		f.script.answers[1] = STR_LIT("HTTP/1.1 599 Last\r\ncontent-length: 0\r\n\r\n");
		make_call(&f, &req, &o);
		ck_assert_msg(o.result == UPCONN_BROKE, "%s: %s, status %d", codes[i],
			      upconn_result_name(o.result), o.status);
		make_call(&f, &req, &o);
		ck_assert_int_eq(o.status, 599);
		ck_assert(!o.reused);
		free(o.body);
		teardown(&f);
	}
}
END_TEST

/* Guards against waiting for a body that a response does not have by its status or method. */
START_TEST(answers_without_a_body)
{
	struct fixture f;
	struct outcome o = {0};
	struct upconn_request req = get("/");

	setup(&f);
	f.script.answers[0] = STR_LIT("HTTP/1.1 204 No Content\r\n\r\n");
	f.script.answers[1] = STR_LIT("HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n");
	f.script.answers[2] = STR_LIT("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n");
	f.script.answers[3] = STR_LIT("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n"
				      "connection: keep-alive, Close\r\n\r\n");
	f.script.answers[4] = COMPLETE_ANSWER("new");
	ck_assert_int_eq(make_call(&f, &req, &o)->status, 204);
	ck_assert_int_eq(make_call(&f, &req, &o)->status, 304);
	ck_assert(o.reused);
	req.method = STR_LIT("HEAD");
	ck_assert_int_eq(make_call(&f, &req, &o)->result, UPCONN_OK);
	req.method = STR_LIT("GET");
	ck_assert_int_eq(make_call(&f, &req, &o)->result, UPCONN_OK);
	ck_assert_uint_eq(f.server.accepted, 1);
	/* The last response carried "connection: close". */
	make_call(&f, &req, &o);
	ck_assert(!o.reused);
	ck_assert_str_eq(o.body, "new");
	free(o.body);
	teardown(&f);
}
END_TEST

/* Guards against memory exhaustion by a server: heads over 64 KiB, bodies over 32 MiB. */
START_TEST(answer_size_is_limited)
{
	struct fixture f;
	struct outcome o = {0};
	struct upconn_request req = get("/");
	size_t big = 80000;
	char *head = malloc(big);
	static const char long_head[] = "HTTP/1.1 200 OK\r\nx-long: ";
	/* One chunk with a declared size of 32 MiB + 64 bytes. */
	static const char chunk_head[] =
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2000040\r\n";
	char *chunks;
	size_t chunks_len = (size_t)UPCONN_MAX_ANSWER_BYTES + 100;

	setup(&f);
	memset(head, 'x', big);
	memcpy(head, long_head, sizeof(long_head) - 1);
	f.script.answers[0] = (struct str){head, big};
	f.script.answers[1] = STR_LIT("HTTP/1.1 200 OK\r\ncontent-length: 33554433\r\n\r\nstart");
	f.script.answers[2] =
		STR_LIT("HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999999\r\n\r\nstart");
	ck_assert_int_eq(make_call(&f, &req, &o)->result, UPCONN_TOO_LARGE);
	ck_assert_int_eq(make_call(&f, &req, &o)->result, UPCONN_TOO_LARGE);
	ck_assert_int_eq(make_call(&f, &req, &o)->result, UPCONN_BROKE);
	chunks = malloc(chunks_len);
	memset(chunks, 'y', chunks_len);
	memcpy(chunks, chunk_head, sizeof(chunk_head) - 1);
	f.script.answers[3] = (struct str){chunks, chunks_len};
	ck_assert_int_eq(make_call(&f, &req, &o)->result, UPCONN_TOO_LARGE);
	free(head);
	free(chunks);
	free(o.body);
	teardown(&f);
}
END_TEST

#define SMALL_ANSWER_BYTES 4096
#define ENDLESS_PART_BYTES (1024 * 1024)

/*
 * Guards against memory exhaustion by a server of which only small responses are expected: many
 * calls at a time would each take a head or body up to the general limits.
 */
START_TEST(answers_over_the_limit_of_their_pool_are_ended)
{
	static const char *const heads[] = {
		"HTTP/1.1 200 OK\r\nx-long: ",
		"HTTP/1.1 200 OK\r\ncontent-length: 4097\r\n\r\n",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffff\r\n",
		"HTTP/1.1 200 OK\r\n\r\n",
	};
	struct upconn_options opts = {
		.max_idle = 4, .allow_close_delimited = true, .max_answer = SMALL_ANSWER_BYTES};
	char *part = malloc(ENDLESS_PART_BYTES);
	struct upconn_request req = get("/");
	struct outcome o = {0};
	struct fixture f;

	setup(&f);
	replace_pool(&f, &opts);
	for (size_t i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
		memset(part, 'x', ENDLESS_PART_BYTES);
		memcpy(part, heads[i], strlen(heads[i]));
		f.script.answers[i] = (struct str){part, ENDLESS_PART_BYTES};
		make_call(&f, &req, &o);
		ck_assert_msg(o.result == UPCONN_TOO_LARGE, "%s: %s", heads[i],
			      upconn_result_name(o.result));
	}
	/* The largest response that is allowed. */
	memset(part, 'x', ENDLESS_PART_BYTES);
	f.script.answers[4].len =
		(size_t)sprintf(part, "HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n",
				SMALL_ANSWER_BYTES) +
		SMALL_ANSWER_BYTES;
	f.script.answers[4].ptr = part;
	make_call(&f, &req, &o);
	ck_assert_int_eq(o.result, UPCONN_OK);
	ck_assert_uint_eq(o.body_len, SMALL_ANSWER_BYTES);
	free(part);
	free(o.body);
	teardown(&f);
}
END_TEST

/* Guards against bodies that are cut at the size of a buffer. */
START_TEST(large_bodies_arrive_complete)
{
	struct fixture f;
	struct outcome o = {0};
	struct upconn_request req = get("/");
	size_t len = 8 * 1024 * 1024;
	char *body = malloc(len);
	char *answer = malloc(len + 100);
	char *chunked = malloc(len + 100);
	size_t head;

	setup(&f);
	for (size_t i = 0; i < len; i++)
		body[i] = (char)('a' + i % 23);
	head = (size_t)sprintf(answer, "HTTP/1.1 200 OK\r\ncontent-length: %zu\r\n\r\n", len);
	memcpy(answer + head, body, len);
	f.script.answers[0] = (struct str){answer, head + len};
	head = (size_t)sprintf(chunked,
			       "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n%zx\r\n", len);
	memcpy(chunked + head, body, len);
	head += len + (size_t)sprintf(chunked + head + len, "\r\n0\r\n\r\n");
	f.script.answers[1] = (struct str){chunked, head};
	f.script.answers[2] = COMPLETE_ANSWER("two");
	req.method = STR_LIT("POST");
	req.body = (struct str){body, len};
	make_call(&f, &req, &o);
	ck_assert_int_eq(o.result, UPCONN_OK);
	ck_assert_uint_eq(o.body_len, len);
	ck_assert(memcmp(o.body, body, len) == 0);
	ck_assert_uint_gt(f.server.bytes, len);
	make_call(&f, &req, &o);
	ck_assert(o.reused);
	ck_assert_uint_eq(o.body_len, len);
	ck_assert(memcmp(o.body, body, len) == 0);
	make_call(&f, &req, &o);
	ck_assert(o.reused);
	ck_assert_str_eq(o.body, "two");
	free(body);
	free(answer);
	free(chunked);
	free(o.body);
	teardown(&f);
}
END_TEST

/*
 * Guards against the end of the process by an assertion of h2o: a request that is written at once
 * and leaves its socket full. The sizes of the requests pass what the kernel takes in one write.
 */
START_TEST(request_that_just_fits_its_socket)
{
	size_t max = 16 * 1024 * 1024;
	char *body = calloc(1, max);

	for (size_t len = 64 * 1024; len < max; len += len / 16) {
		struct upconn_request req = get("/");
		struct fixture f;
		struct outcome o = {0};

		setup(&f);
		f.script.answers[0] = COMPLETE_ANSWER("one");
		f.script.answers[1] = COMPLETE_ANSWER("two");
		make_call(&f, &req, &o);
		req.method = STR_LIT("POST");
		req.body = (struct str){body, len};
		make_call(&f, &req, &o);
		ck_assert(o.reused);
		ck_assert_str_eq(o.body, "two");
		free(o.body);
		teardown(&f);
	}
	free(body);
}
END_TEST

/* Guards against reuse of a connection on which the request was not completely written. */
START_TEST(early_answer_prevents_reuse)
{
	struct fixture f;
	struct outcome o = {0};
	struct upconn_request req = get("/");
	size_t len = 16 * 1024 * 1024;
	char *body = calloc(1, len);
	static const char early[] = "HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n";

	setup(&f);
	req.method = STR_LIT("POST");
	req.body = (struct str){body, len};
	upconn_send(f.pool, &req, on_answer, &o);
	ck_assert(unit_run_until(f.loop, has_accepted, &f));
	h2o_socket_read_stop(f.server.conns->sock);
	ck_assert_int_eq(send(h2o_socket_get_fd(f.server.conns->sock), early, sizeof(early) - 1, 0),
			 sizeof(early) - 1);
	ck_assert(unit_run_until(f.loop, is_done, &o));
	ck_assert_int_eq(o.result, UPCONN_OK);
	ck_assert_int_eq(o.status, 413);
	f.script.answers[0] = COMPLETE_ANSWER("two");
	req = get("/");
	make_call(&f, &req, &o);
	ck_assert(!o.reused);
	free(body);
	free(o.body);
	teardown(&f);
}
END_TEST

/* Guards against a callback after upconn_cancel(), and against the connection staying open. */
START_TEST(cancel_closes_without_a_callback)
{
	struct fixture f;
	struct outcome o = {0};
	struct upconn_request req = get("/");
	struct upconn_call *c;

	setup(&f);
	c = upconn_send(f.pool, &req, on_answer, &o);
	ck_assert(!upconn_was_sent(c));
	upconn_cancel(c); /* while connecting */
	c = upconn_send(f.pool, &req, on_answer, &o);
	while (!f.script.unanswered)
		h2o_evloop_run(f.loop, 10);
	ck_assert(upconn_was_sent(c));
	upconn_cancel(c);
	while (f.script.unanswered->sock)
		h2o_evloop_run(f.loop, 10);
	ck_assert(!o.done);
	teardown(&f);
}
END_TEST

struct pool_destroyer {
	struct fixture *f;
	bool done;
};

static void destroy_pool(void *data, const struct upconn_answer *a)
{
	struct pool_destroyer *d = data;

	upconn_pool_destroy(d->f->pool);
	d->f->pool = NULL;
	d->done = true;
}

static void fail_if_called(void *data, const struct upconn_answer *a)
{
	ck_abort_msg("callback of a cancelled call");
}

static bool pool_is_destroyed(void *data)
{
	return ((struct pool_destroyer *)data)->done;
}

/* Guards against use after free if a call's callback destroys the pool. */
START_TEST(pool_may_be_destroyed_in_a_callback)
{
	for (int timeout = 0; timeout < 2; timeout++) {
		struct fixture f;
		struct pool_destroyer d = {.f = &f};
		struct upconn_request req = get("/");

		setup(&f);
		if (!timeout)
			f.script.answers[0] = COMPLETE_ANSWER("one");
		req.timeout = timeout ? 30 : LONG_TIMEOUT_MS;
		upconn_send(f.pool, &req, destroy_pool, &d);
		req.timeout = LONG_TIMEOUT_MS;
		while (f.server.requests < 1)
			h2o_evloop_run(f.loop, 10);
		upconn_send(f.pool, &req, fail_if_called, &d);
		ck_assert(unit_run_until(f.loop, pool_is_destroyed, &d));
		teardown(&f);
	}
}
END_TEST

/* Guards against a pool that keeps more idle connections than its limit. */
START_TEST(number_of_idle_connections_is_limited)
{
	struct fixture f;
	struct outcome o[6] = {{0}};
	struct upconn_request req = get("/");

	setup(&f);
	for (int i = 0; i < 6; i++) {
		f.script.answers[i] = COMPLETE_ANSWER("one");
		upconn_send(f.pool, &req, on_answer, &o[i]);
	}
	for (int i = 0; i < 6; i++) {
		ck_assert(unit_run_until(f.loop, is_done, &o[i]));
		free(o[i].body);
	}
	unit_run_for(f.loop, 20);
	ck_assert_uint_eq(f.server.accepted, 6);
	/* The pool keeps 4 idle connections and has closed the other two. */
	ck_assert_uint_eq(f.server.closed, 2);
	teardown(&f);
}
END_TEST

#define FUZZ_ANSWERS 1500

/* Guards against crashes, leaks and bodies longer than the bytes that were received. */
START_TEST(mutated_answers)
{
	static const char *const base[] = {
		"HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-test: v\r\n\r\nabcde",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: "
		"chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n",
	};
	struct fixture f;
	struct outcome o = {0};
	struct upconn_request req = get("/");
	struct rnd r;
	int ok = 0;

	setup(&f);
	rnd_seed(&r, 20261204);
	for (int i = 0; i < FUZZ_ANSWERS; i++) {
		char answer[200];
		size_t len = strlen(base[i % 2]);

		memcpy(answer, base[i % 2], len);
		for (uint64_t n = rnd_below(&r, 4); n; n--)
			answer[rnd_below(&r, len)] = (char)rnd_u64(&r);
		if (i % 7 == 0)
			len = rnd_below(&r, len) + 1;
		f.server.requests = 0;
		f.script.answers[0] = (struct str){answer, len};
		f.script.cut = rnd_below(&r, len);
		f.script.close_after = true;
		make_call(&f, &req, &o);
		ck_assert(o.sent);
		ck_assert(o.result == UPCONN_OK || o.result == UPCONN_BROKE ||
			  o.result == UPCONN_TOO_LARGE);
		ck_assert_uint_le(o.body_len, len);
		ok += o.result == UPCONN_OK;
		upconn_pool_discard_conns(f.pool);
	}
	ck_assert_int_gt(ok, FUZZ_ANSWERS / 20);
	ck_assert_int_lt(ok, FUZZ_ANSWERS);
	free(o.body);
	teardown(&f);
}
END_TEST

/* Checks the result and body of one request answered with `answer`. `body` NULL: any body. */
static void check_answer(const struct upconn_options *opts, struct str request_id,
			 struct str answer, bool close_after, enum upconn_result result,
			 const char *body)
{
	struct upconn_request req = get("/a");
	struct fixture f;
	struct outcome o = {0};

	setup(&f);
	replace_pool(&f, opts);
	req.request_id = request_id;
	f.script.answers[0] = answer;
	f.script.close_after = close_after;
	upconn_send(f.pool, &req, on_answer, &o);
	ck_assert(unit_run_until(f.loop, is_done, &o));
	ck_assert_int_eq(o.result, result);
	if (body)
		ck_assert_str_eq(o.body, body);
	free(o.body);
	teardown(&f);
}

/* Guards against refusing a close-delimited response although the pool's options allow them. */
START_TEST(close_delimited_answer_is_accepted)
{
	struct upconn_options opts = {.max_idle = 4, .allow_close_delimited = true};

	check_answer(&opts, STR_NULL, STR_LIT("HTTP/1.1 200 OK\r\n\r\nthe whole body"), true,
		     UPCONN_OK, "the whole body");
}
END_TEST

/*
 * Guards against the loss of a reset that follows the bytes of a response: without its length, the
 * part that arrived would pass for the whole. The bytes fill the input buffer exactly, or nearly.
 */
START_TEST(reset_close_delimited_answer_is_not_accepted)
{
	static const char head[] = "HTTP/1.1 200 OK\r\n\r\n";
	static const size_t sizes[] = {4096, 8192, 12288, 16384, 24576, 32768, 65536};
	struct upconn_options opts = {.max_idle = 4, .allow_close_delimited = true};
	char *answer = malloc(RESET_ANSWER_BYTES);

	memset(answer, 'x', RESET_ANSWER_BYTES);
	memcpy(answer, head, sizeof(head) - 1);
	for (size_t i = 0; i < 3 * sizeof(sizes) / sizeof(sizes[0]); i++) {
		struct upconn_request req = get("/");
		struct fixture f;
		struct outcome o = {0};

		setup(&f);
		replace_pool(&f, &opts);
		f.script.answers[0] = (struct str){answer, RESET_ANSWER_BYTES};
		f.script.reset_after = sizes[i / 3] + i % 3 - 1;
		make_call(&f, &req, &o);
		ck_assert_msg(o.result == UPCONN_BROKE, "%s after %zu bytes and a reset",
			      upconn_result_name(o.result), f.script.reset_after);
		free(o.body);
		teardown(&f);
	}
	free(answer);
}
END_TEST

/*
 * Guards against the loss of a reset that a write of the request reports: the read after it finds
 * an orderly close, and without its length the part that arrived would pass for the whole. An
 * orderly close before the request is completely written still ends the response.
 */
START_TEST(reset_during_the_request_is_not_an_orderly_close)
{
	static const char answer[] = "HTTP/1.1 200 OK\r\n\r\nbody";
	struct upconn_options opts = {.max_idle = 4, .allow_close_delimited = true};
	size_t len = 16 * 1024 * 1024;
	char *body = calloc(1, len);

	for (int reset = 0; reset < 2; reset++) {
		struct upconn_request req = get("/");
		struct fixture f;
		struct outcome o = {0};
		int fd;

		setup(&f);
		replace_pool(&f, &opts);
		req.method = STR_LIT("POST");
		req.body = (struct str){body, len};
		upconn_send(f.pool, &req, on_answer, &o);
		ck_assert(unit_run_until(f.loop, has_accepted, &f));
		h2o_socket_read_stop(f.server.conns->sock);
		fd = h2o_socket_get_fd(f.server.conns->sock);
		ck_assert_int_eq(send(fd, answer, sizeof(answer) - 1, 0), sizeof(answer) - 1);
		if (reset)
			unit_reset(f.server.conns);
		else
			shutdown(fd, SHUT_WR);
		ck_assert(unit_run_until(f.loop, is_done, &o));
		ck_assert_int_eq(o.result, reset ? UPCONN_BROKE : UPCONN_OK);
		free(o.body);
		teardown(&f);
	}
	free(body);
}
END_TEST

/* Guards against failing a call because a late response to another request precedes its own. */
START_TEST(mismatched_answer_is_skipped)
{
	struct upconn_options opts = {.max_idle = 4, .id_header = "x-id", .skip_mismatched = true};

	check_answer(&opts, STR_LIT("mine-1234"),
		     STR_LIT("HTTP/1.1 200 OK\r\nx-id: other-99\r\ncontent-length: 5\r\n\r\nother"
			     "HTTP/1.1 200 OK\r\nX-Id: mine-1234\r\ncontent-length: 4\r\n\r\nmine"),
		     false, UPCONN_OK, "mine");
}
END_TEST

/* Guards against accepting a response without a request id, which may belong to any request. */
START_TEST(answer_without_request_id_is_a_mismatch)
{
	struct upconn_options opts = {.max_idle = 4, .id_header = "x-id", .skip_mismatched = true};

	check_answer(&opts, STR_LIT("mine-1234"),
		     STR_LIT("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother"), false,
		     UPCONN_MISMATCH, NULL);
}
END_TEST

/* Guards against a request sent just before the server closes an idle connection. */
START_TEST(idle_timeout_of_the_server_is_respected)
{
	struct upconn_options opts = {.max_idle = 4, .idle_limit = 8000};
	struct upconn_request req = get("/a");
	struct fixture f;
	struct outcome a = {0};
	struct outcome b = {0};

	setup(&f);
	replace_pool(&f, &opts);
	f.script.answers[0] =
		STR_LIT("HTTP/1.1 200 OK\r\nkeep-alive: timeout=1\r\ncontent-length: 0\r\n\r\n");
	f.script.answers[1] = STR_LIT("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
	upconn_send(f.pool, &req, on_answer, &a);
	ck_assert(unit_run_until(f.loop, is_done, &a));
	upconn_send(f.pool, &req, on_answer, &b);
	ck_assert(unit_run_until(f.loop, is_done, &b));
	ck_assert(!b.reused);
	free(a.body);
	free(b.body);
	teardown(&f);
}
END_TEST

static bool is_closed(void *data)
{
	return ((struct fixture *)data)->server.closed > 0;
}

/*
 * Guards against a request that a network partition delays until after its sender has timed out.
 * The connection must be reset, not closed: after a close the kernel would still deliver the bytes.
 */
START_TEST(timed_out_call_resets_its_connection)
{
	struct upconn_options opts = {.max_idle = 4, .abort_on_close = true};
	struct upconn_request req = get("/a");
	struct fixture f;
	struct outcome o = {0};

	setup(&f);
	replace_pool(&f, &opts);
	req.timeout = 100;
	upconn_send(f.pool, &req, on_answer, &o);
	ck_assert(unit_run_until(f.loop, is_done, &o));
	ck_assert_int_eq(o.result, UPCONN_TIMEOUT);
	ck_assert(unit_run_until(f.loop, is_closed, &f));
	ck_assert_uint_eq(f.server.resets, 1);
	free(o.body);
	teardown(&f);
}
END_TEST

static bool always_true(void *data)
{
	return true;
}

/* Guards against open calls being cancelled when the pool of a replaced upstream is retired. */
START_TEST(retired_pool_finishes_its_calls)
{
	struct upconn_request req = get("/a");
	struct fixture f;
	struct outcome o = {0};

	setup(&f);
	f.script.answers[0] = STR_LIT("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
	upconn_send(f.pool, &req, on_answer, &o);
	upconn_pool_retire(f.pool);
	f.pool = NULL;
	ck_assert(unit_run_until(f.loop, is_done, &o));
	ck_assert_int_eq(o.result, UPCONN_OK);
	free(o.body);
	ck_assert(unit_run_until(f.loop, always_true, NULL));
	teardown(&f);
}
END_TEST

static const char *const mutants[] = {
	"upconn_accept_other_id",  "upconn_reuse_unread",  "upconn_keep_after_timeout",
	"upconn_accept_truncated", "upconn_skip_may_send", "upconn_reset_keeps_idle",
	"upconn_close_in_order",   "answers_unlimited",	   "upconn_read_all",
	"upconn_drop_read_error",  "upconn_trust_end",	   "upconn_any_status",
	"upconn_any_size",	   "blocks_copy",	   NULL,
};

/*
 * Bytes that precede the own answer on a connection: late copies of answers to another request.
 * Guards against passing any of them on; the call may fail, but not succeed with other bytes.
 */
START_TEST(late_copies_never_pass_for_the_answer)
{
	static const char *const copies[] = {
		"HTTP/1.1 200 OK\r\nx-id: old\r\ncontent-length: 3\r\n\r\nold",
		"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nold",
		"HTTP/1.1 200 OK\r\nx-id: old\r\ncontent-length: 30\r\n\r\nold",
		"HTTP/1.1 200 OK\r\nx-id: old\r\ncontent-length: 30\r\n",
		("HTTP/1.1 200 OK\r\nx-id: old\r\ntransfer-encoding: chunked\r\n\r\n3\r\nold\r\n"
		 "0\r\n\r\n"),
		"HTTP/1.1 200 OK\r\nx-id: old\r\ntransfer-encoding: chunked\r\n\r\n3\r\nold\r\n",
		"HTTP/1.1 200 OK\r\nx-id: old\r\n\r\nold",
		"HTTP/1.1 204 No Content\r\nx-id: old\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\nx-id: old\r\ncontent-length: 3\r\n\r\n",
		("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-id: old\r\n"
		 "content-length: 3\r\n\r\nold"),
		"old",
		"3\r\nold\r\n0\r\n\r\n",
	};
	static const char own[] = "HTTP/1.1 200 OK\r\nx-id: new\r\ncontent-length: 3\r\n\r\nnew";
	struct upconn_options opts = {.max_idle = 4,
				      .id_header = "x-id",
				      .skip_mismatched = true,
				      .allow_close_delimited = true};

	for (size_t i = 0; i < sizeof(copies) / sizeof(copies[0]); i++) {
		char bytes[512];
		size_t len = (size_t)snprintf(bytes, sizeof(bytes), "%s%s", copies[i], own);

		for (size_t cut = 1; cut < len; cut += 7) {
			struct upconn_request req = get("/a");
			struct outcome o = {0};
			struct fixture f;

			setup(&f);
			replace_pool(&f, &opts);
			req.request_id = STR_LIT("new");
			req.timeout = 3000;
			f.script.answers[0] = (struct str){bytes, len};
			f.script.cut = cut;
			f.script.close_after = true;
			make_call(&f, &req, &o);
			ck_assert_msg(o.result != UPCONN_OK || strcmp(o.body, "new") == 0,
				      "copy %zu cut at %zu: %s", i, cut, o.body);
			free(o.body);
			teardown(&f);
		}
	}
}
END_TEST

/* ---- memory that answers take --------------------------------------------------------------- */

/* Part of the sanitizers' runtime; GCC has no header for them. */
int __sanitizer_install_malloc_and_free_hooks(void (*on_malloc)(const volatile void *, size_t),
					      void (*on_free)(const volatile void *));
size_t __sanitizer_get_allocated_size(const volatile void *p);

/* Memory allocated since heap_watch() and not freed, and its peak. */
static size_t heap_bytes;
static size_t heap_peak;

static void on_malloc(const volatile void *p, size_t size)
{
	heap_bytes += size;
	if (heap_bytes > heap_peak)
		heap_peak = heap_bytes;
}

static void on_free(const volatile void *p)
{
	size_t size = p ? __sanitizer_get_allocated_size(p) : 0;

	/* What was allocated before does not count. */
	heap_bytes -= size < heap_bytes ? size : heap_bytes;
}

static void heap_watch(void)
{
	static bool installed;

	if (!installed)
		__sanitizer_install_malloc_and_free_hooks(on_malloc, on_free);
	installed = true;
	heap_bytes = 0;
	heap_peak = 0;
}

#define MAX_FLOODS 3

/* Server of its own threads that writes answers as fast as the kernel takes them. */
struct flood {
	int listener;
	uint32_t port;
	const char *head;
	const char *block; /* written again and again after the head */
	size_t block_len;
	size_t bytes; /* how many bytes follow the head */
	size_t n;
	pthread_t threads[MAX_FLOODS];
};

static void *flood_one(void *data)
{
	const struct flood *f = data;
	char request[4096];
	int fd = accept(f->listener, NULL, NULL);
	size_t left = f->bytes;
	ssize_t n;

	if (read(fd, request, sizeof(request)) > 0 &&
	    send(fd, f->head, strlen(f->head), MSG_NOSIGNAL) > 0) {
		while (left && (n = send(fd, f->block, left < f->block_len ? left : f->block_len,
					 MSG_NOSIGNAL)) > 0)
			left -= (size_t)n;
	}
	close(fd);
	return NULL;
}

static void flood_start(struct flood *f)
{
	f->port = 0;
	f->listener = unit_listen(IP, &f->port);
	fcntl(f->listener, F_SETFL, 0);
	for (size_t i = 0; i < f->n; i++)
		ck_assert_int_eq(pthread_create(&f->threads[i], NULL, flood_one, f), 0);
}

static void flood_end(struct flood *f)
{
	for (size_t i = 0; i < f->n; i++)
		pthread_join(f->threads[i], NULL);
	close(f->listener);
}

struct flooded {
	bool done;
	enum upconn_result result;
	size_t body_len;
};

static void on_flooded(void *data, const struct upconn_answer *a)
{
	struct flooded *o = data;

	o->done = true;
	o->result = a->result;
	o->body_len = a->body_len;
}

#define PAUSE_US 3000

/* The loop is busy with other work between two reads, so that sockets fill meanwhile. */
static bool is_flooded(void *data)
{
	usleep(PAUSE_US);
	return ((struct flooded *)data)->done;
}

#define KNOWN_BYTES (16u * 1024 * 1024)
/* Buffers of sockets and what is read at once. */
#define READING_BYTES (1024u * 1024)

/*
 * Guards against memory that nobody counts: what waits in a socket is read at once into a buffer
 * beside that of the answer.
 */
START_TEST(answer_of_known_length_takes_no_more_than_its_length)
{
	static const char block[65536];
	struct flood flood = {.head = "HTTP/1.1 200 OK\r\ncontent-length: 16777216\r\n\r\n",
			      .block = block,
			      .block_len = sizeof(block),
			      .bytes = KNOWN_BYTES,
			      .n = 1};
	struct answer_memory memory = {.limit = 2 * KNOWN_BYTES};
	struct upconn_options opts = {.max_idle = 4, .memory = &memory};
	struct upconn_request req = get("/a");
	struct flooded o = {0};
	struct upconn_pool *pool;
	struct fixture f;

	setup(&f);
	flood_start(&flood);
	pool = upconn_pool_create_with(f.loop, IP, flood.port, &opts);
	heap_watch();
	upconn_send(pool, &req, on_flooded, &o);
	ck_assert(unit_run_until(f.loop, is_flooded, &o));
	ck_assert_int_eq(o.result, UPCONN_OK);
	ck_assert_uint_eq(o.body_len, KNOWN_BYTES);
	ck_assert_uint_le(heap_peak, KNOWN_BYTES + READING_BYTES);
	upconn_pool_destroy(pool);
	flood_end(&flood);
	teardown(&f);
}
END_TEST

#define SHARED_LIMIT (8u * 1024 * 1024)

static bool all_flooded(void *data)
{
	struct flooded *o = data;
	bool done = is_flooded(&o[0]);

	for (size_t i = 1; i < MAX_FLOODS; i++)
		done = done && o[i].done;
	return done;
}

/*
 * Guards against answers that take more memory than is counted: by a copy while they grow, or by
 * memory that an announced length needs at once.
 */
START_TEST(unfinished_answers_take_no_more_than_their_share)
{
	static const char *const heads[] = {
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1e00000\r\n",
		"HTTP/1.1 200 OK\r\ncontent-length: 31457280\r\n\r\n",
	};
	static const char block[65536];

	for (size_t i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
		struct flood flood = {.head = heads[i],
				      .block = block,
				      .block_len = sizeof(block),
				      .bytes = 30u * 1024 * 1024,
				      .n = MAX_FLOODS};
		struct answer_memory memory = {.limit = SHARED_LIMIT};
		struct upconn_options opts = {.memory = &memory, .allow_close_delimited = true};
		struct upconn_request req = get("/a");
		struct flooded o[MAX_FLOODS] = {0};
		struct upconn_pool *pool;
		struct fixture f;

		setup(&f);
		flood_start(&flood);
		pool = upconn_pool_create_with(f.loop, IP, flood.port, &opts);
		heap_watch();
		for (size_t k = 0; k < MAX_FLOODS; k++)
			upconn_send(pool, &req, on_flooded, &o[k]);
		ck_assert(unit_run_until(f.loop, all_flooded, o));
		for (size_t k = 0; k < MAX_FLOODS; k++)
			ck_assert_int_eq(o[k].result, UPCONN_TOO_LARGE);
		ck_assert_msg(heap_peak <= SHARED_LIMIT + READING_BYTES, "%zu bytes: %s", heap_peak,
			      heads[i]);
		ck_assert_uint_eq(memory.used, 0);
		upconn_pool_destroy(pool);
		flood_end(&flood);
		teardown(&f);
	}
}
END_TEST

#define MEMORY_LIMIT (1024u * 1024)
#define ENDLESS_BYTES (400u * 1024)
#define HEALTHY_BYTES (300u * 1024)

static bool memory_is_short(void *data)
{
	struct outcome *o = data;

	return o[0].done || o[1].done || o[2].done;
}

/*
 * Three answers of one upstream do not end and take more memory than all answers may. Guards
 * against ending the answers of another upstream for them.
 */
START_TEST(endless_answers_are_ended_before_those_of_others)
{
	struct answer_memory memory = {.limit = MEMORY_LIMIT};
	struct upconn_options opts = {.max_idle = 4, .memory = &memory};
	struct upconn_request req = get("/a");
	struct outcome endless[3] = {0};
	struct outcome healthy = {0};
	char *chunk = calloc(1, ENDLESS_BYTES + 100);
	char *whole = calloc(1, HEALTHY_BYTES + 100);
	struct upconn_pool *other;
	struct fixture f;
	size_t head;

	setup(&f);
	replace_pool(&f, &opts);
	other = upconn_pool_create_with(f.loop, IP, f.server.port, &opts);
	head = (size_t)sprintf(chunk, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n%x\r\n",
			       2 * ENDLESS_BYTES);
	for (size_t i = 0; i < 3; i++)
		f.script.answers[i] = (struct str){chunk, head + ENDLESS_BYTES};
	head = (size_t)sprintf(whole, "HTTP/1.1 200 OK\r\ncontent-length: %u\r\n\r\n",
			       HEALTHY_BYTES);
	f.script.answers[3] = (struct str){whole, head + HEALTHY_BYTES};
	for (size_t i = 0; i < 3; i++)
		upconn_send(f.pool, &req, on_answer, &endless[i]);
	ck_assert(unit_run_until(f.loop, memory_is_short, endless));
	upconn_send(other, &req, on_answer, &healthy);
	ck_assert(unit_run_until(f.loop, is_done, &healthy));
	ck_assert_int_eq(healthy.result, UPCONN_OK);
	ck_assert_uint_eq(healthy.body_len, HEALTHY_BYTES);
	ck_assert_uint_le(memory.used, MEMORY_LIMIT);
	for (size_t i = 0; i < 3; i++) {
		ck_assert(!endless[i].done || endless[i].result == UPCONN_TOO_LARGE);
		free(endless[i].body);
	}
	upconn_pool_destroy(other);
	free(healthy.body);
	teardown(&f);
	ck_assert_uint_eq(memory.used, 0);
	free(chunk);
	free(whole);
}
END_TEST

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, connection_is_reused_after_a_complete_answer);
	tcase_add_test(tc, request_is_written_as_given);
	tcase_add_test(tc, malformed_request_is_not_sent);
	tcase_add_test(tc, discarded_connections_are_not_reused);
	tcase_add_test(tc, unresponsive_connection_times_out_and_is_closed);
	tcase_add_test(tc, late_answer_never_reaches_the_next_request);
	tcase_add_test(tc, truncated_answer_is_not_accepted);
	tcase_add_test(tc, wrong_request_id_is_a_mismatch_and_closes);
	tcase_add_test(tc, may_send_refuses_on_new_and_idle_connections);
	tcase_add_test(tc, may_send_is_called_after_the_connection_is_open);
	tcase_add_test(tc, refused_connection_ends_with_connect_failed);
	tcase_add_test(tc, connection_that_ended_while_idle_is_not_used);
	tcase_add_test(tc, connection_that_ends_after_the_write);
	tcase_add_test(tc, unread_data_prevents_reuse);
	tcase_add_test(tc, data_on_an_idle_connection_closes_it);
	tcase_add_test(tc, answer_split_at_every_byte);
	tcase_add_test(tc, malformed_answers_are_refused);
	tcase_add_test(tc, status_code_outside_its_range_is_refused);
	tcase_add_test(tc, answers_without_a_body);
	tcase_add_test(tc, answer_size_is_limited);
	tcase_add_test(tc, answers_over_the_limit_of_their_pool_are_ended);
	tcase_add_test(tc, large_bodies_arrive_complete);
	tcase_add_test(tc, request_that_just_fits_its_socket);
	tcase_add_test(tc, early_answer_prevents_reuse);
	tcase_add_test(tc, cancel_closes_without_a_callback);
	tcase_add_test(tc, pool_may_be_destroyed_in_a_callback);
	tcase_add_test(tc, number_of_idle_connections_is_limited);
	tcase_add_test(tc, mutated_answers);
	tcase_add_test(tc, close_delimited_answer_is_accepted);
	tcase_add_test(tc, reset_close_delimited_answer_is_not_accepted);
	tcase_add_test(tc, reset_during_the_request_is_not_an_orderly_close);
	tcase_add_test(tc, mismatched_answer_is_skipped);
	tcase_add_test(tc, answer_without_request_id_is_a_mismatch);
	tcase_add_test(tc, idle_timeout_of_the_server_is_respected);
	tcase_add_test(tc, retired_pool_finishes_its_calls);
	tcase_add_test(tc, timed_out_call_resets_its_connection);
	tcase_add_test(tc, late_copies_never_pass_for_the_answer);
	tcase_add_test(tc, endless_answers_are_ended_before_those_of_others);
	tcase_add_test(tc, answer_of_known_length_takes_no_more_than_its_length);
	tcase_add_test(tc, unfinished_answers_take_no_more_than_their_share);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "upconn", mutants, add_tests);
}
