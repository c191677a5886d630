/*
 * Tests of requests sent ahead on one connection: which run side by side, the order of the answers,
 * and what is held for callers that send much.
 */
#include <errno.h>
#include <stdlib.h>

#include "connection/ingress.h"
#include "test/unit.h"
#include "test/unit_loop.h"

#define IP unit_ip()
#define MAX_REQUESTS 64
#define MAX_AHEAD 4

struct fixture {
	h2o_loop_t *loop;
	struct ingress *ingress;
	struct ingress_limits limits;
	struct door door;
	uint32_t port;
	struct ingress_request *open[MAX_REQUESTS]; /* in the order of their start */
	size_t n_started;
	size_t n_left;	/* reported by on_caller_closed() */
	bool drop_next; /* on_caller_closed() drops another request */
	int fd;
	char answer[65536];
	size_t answer_len;
	bool closed;
};

static void on_request(void *data, struct ingress_request *req)
{
	struct fixture *f = data;

	ck_assert_uint_lt(f->n_started, MAX_REQUESTS);
	f->open[f->n_started++] = req;
}

static void on_caller_closed(void *data, struct ingress_request *req)
{
	struct fixture *f = data;

	f->n_left++;
	for (size_t i = 0; i < f->n_started; i++) {
		if (f->open[i] == req)
			f->open[i] = NULL;
	}
	for (size_t i = 0; i < f->n_started && f->drop_next; i++) {
		if (f->open[i]) {
			f->drop_next = false;
			ingress_drop(f->open[i]);
		}
	}
	ingress_request_free(req);
}

/* Requests with GET may run side by side. */
static bool may_overlap(void *data, const struct ingress_request *req)
{
	return str_eq_cstr(req->method, "GET");
}

static const struct ingress_limits *limits(void *data)
{
	return &((struct fixture *)data)->limits;
}

static int dial(const struct fixture *f)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)f->port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, IP, &a.sin_addr);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	return fd;
}

static void setup(struct fixture *f)
{
	static const struct ingress_handlers handlers = {
		.on_request = on_request,
		.on_caller_closed = on_caller_closed,
		.limits = limits,
		.may_overlap = may_overlap,
	};
	struct err err = {0};

	memset(f, 0, sizeof(*f));
	f->loop = h2o_evloop_create();
	f->limits = (struct ingress_limits){
		.max_header_bytes = 16384,
		.max_body_bytes = 1 << 20,
		.header_timeout = 5000,
		.idle_timeout = 8000,
		.door = &f->door,
		.max_ahead = MAX_AHEAD,
	};
	f->port = unit_free_port(IP);
	f->ingress = ingress_create(f->loop, IP, f->port, &handlers, f, &err);
	ck_assert_msg(f->ingress != NULL, "%s", err.msg);
	f->fd = dial(f);
}

static void teardown(struct fixture *f)
{
	if (f->fd >= 0)
		close(f->fd);
	ingress_destroy(f->ingress);
	ck_assert_uint_eq(f->door.used, 0);
	timer_destroy_loop(f->loop);
}

static void send_request(struct fixture *f, const char *method, int n)
{
	char text[128];
	int len = snprintf(text, sizeof(text), "%s /%d HTTP/1.1\r\nhost: x\r\n%s\r\n", method, n,
			   strcmp(method, "POST") == 0 ? "content-length: 0\r\n" : "");

	ck_assert_int_eq(send(f->fd, text, (size_t)len, MSG_NOSIGNAL), len);
}

/* Answers the request that was started as number `i`. */
static void answer(struct fixture *f, size_t i, bool close)
{
	struct ingress_request *req = f->open[i];

	f->open[i] = NULL;
	ingress_reply(req, 200, NULL, 0, req->path, close);
	ingress_request_free(req);
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

/* Returns the digits that end the answers that have come, in their order. */
static const char *order_of_answers(struct fixture *f)
{
	static char digits[MAX_REQUESTS];
	size_t n = 0;

	unit_run_for(f->loop, 60);
	read_available(f);
	read_available(f); /* the end follows the last bytes */
	for (const char *p = f->answer; (p = strstr(p, "\r\n\r\n/")) != NULL; p += 5)
		digits[n++] = p[5];
	digits[n] = '\0';
	return digits;
}

/* Guards against requests sent ahead that wait for each other, and against answers out of order. */
START_TEST(answers_come_in_the_order_of_requests)
{
	static struct fixture f;

	setup(&f);
	for (int i = 0; i < 4; i++)
		send_request(&f, "GET", i);
	unit_run_for(f.loop, 60);
	ck_assert_uint_eq(f.n_started, 4);
	answer(&f, 2, false);
	answer(&f, 1, false);
	ck_assert_str_eq(order_of_answers(&f), "");
	answer(&f, 0, false);
	ck_assert_str_eq(order_of_answers(&f), "012");
	answer(&f, 3, false);
	ck_assert_str_eq(order_of_answers(&f), "0123");
	ck_assert(!f.closed);
	send_request(&f, "GET", 4);
	unit_run_for(f.loop, 60);
	ck_assert_uint_eq(f.n_started, 5);
	answer(&f, 4, false);
	ck_assert_str_eq(order_of_answers(&f), "01234");
	teardown(&f);
}
END_TEST

/* Guards against a connection that starts all that its caller sends. */
START_TEST(requests_in_flight_are_limited)
{
	static struct fixture f;

	setup(&f);
	for (int i = 0; i < 9; i++)
		send_request(&f, "GET", i);
	unit_run_for(f.loop, 60);
	ck_assert_uint_eq(f.n_started, 1 + MAX_AHEAD);
	answer(&f, 0, false);
	unit_run_for(f.loop, 60);
	ck_assert_uint_eq(f.n_started, 2 + MAX_AHEAD);
	teardown(&f);
}
END_TEST

/*
 * Guards against a request that may not be repeated and runs beside others: it would have run where
 * an answer before it closes the connection.
 */
START_TEST(other_requests_wait_for_those_before_them)
{
	static struct fixture f;

	setup(&f);
	send_request(&f, "GET", 0);
	send_request(&f, "POST", 1);
	send_request(&f, "GET", 2);
	unit_run_for(f.loop, 60);
	ck_assert_uint_eq(f.n_started, 1);
	answer(&f, 0, false);
	unit_run_for(f.loop, 60);
	ck_assert_uint_eq(f.n_started, 2);
	answer(&f, 1, false);
	unit_run_for(f.loop, 60);
	ck_assert_uint_eq(f.n_started, 3);
	answer(&f, 2, false);
	ck_assert_str_eq(order_of_answers(&f), "012");
	teardown(&f);
}
END_TEST

#define LARGE_BYTES (8u << 20) /* more than the system's buffers take */

/* Answers the first request with a large body; returns the memory of it. */
static char *answer_large(struct fixture *f)
{
	char *body = malloc(LARGE_BYTES);
	struct ingress_request *req = f->open[0];

	ck_assert_ptr_nonnull(body);
	memset(body, 'x', LARGE_BYTES);
	f->open[0] = NULL;
	ingress_reply(req, 200, NULL, 0, (struct str){body, LARGE_BYTES}, false);
	ingress_request_free(req);
	return body;
}

/* Reads all that comes, up to `max` bytes, until nothing came for a while; returns how much. */
static size_t read_all(struct fixture *f, char *out, size_t max)
{
	size_t n = 0;
	int quiet = 0;

	while (n < max && quiet < 20) {
		ssize_t got = recv(f->fd, out + n, max - n, MSG_DONTWAIT);

		quiet = got > 0 ? 0 : quiet + 1;
		if (got > 0)
			n += (size_t)got;
		else
			unit_run_for(f->loop, 10);
	}
	return n;
}

/*
 * A caller reads a large answer slowly and sends a request ahead, whose body it holds back until it
 * is told to go on. Guards against "100 Continue" in the middle of the body of that answer, and
 * against a request that never gets it.
 */
START_TEST(continue_comes_after_the_answers_before_it)
{
	static const char head[] = "POST /1 HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\n"
				   "content-length: 4\r\n\r\n";
	static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
	static struct fixture f;
	size_t max = LARGE_BYTES + 4096;
	char *got = calloc(1, max + 1);
	char *body;
	char *end;
	size_t n;

	setup(&f);
	send_request(&f, "GET", 0);
	unit_run_for(f.loop, 60);
	body = answer_large(&f);
	unit_run_for(f.loop, 60);
	ck_assert_int_eq(send(f.fd, head, sizeof(head) - 1, MSG_NOSIGNAL), sizeof(head) - 1);
	unit_run_for(f.loop, 60);
	n = read_all(&f, got, max);
	end = strstr(got, "\r\n\r\n");
	ck_assert_ptr_nonnull(end);
	end += 4;
	ck_assert_uint_eq(n, (size_t)(end - got) + LARGE_BYTES + sizeof(interim) - 1);
	ck_assert(memcmp(end, body, LARGE_BYTES) == 0);
	ck_assert_str_eq(end + LARGE_BYTES, interim);
	ck_assert_int_eq(send(f.fd, "body", 4, MSG_NOSIGNAL), 4);
	unit_run_for(f.loop, 60);
	ck_assert_uint_eq(f.n_started, 2);
	answer(&f, 1, false);
	ck_assert_str_eq(order_of_answers(&f), "1");
	free(body);
	free(got);
	teardown(&f);
}
END_TEST

/*
 * An answer that closes the connection is being written when the caller sends the rest of a
 * request, and another one. Guards against requests that run and whose connection ends without an
 * answer.
 */
START_TEST(requests_that_cross_a_closing_answer_do_not_run)
{
	static const char half[] = "GET /1 HTTP/1.1\r\nhost: x\r\n";
	static struct fixture f;
	char *got = calloc(1, LARGE_BYTES + 4096);
	char *body;
	int others[3];

	setup(&f);
	for (int i = 0; i < 3; i++)
		others[i] = dial(&f);
	send_request(&f, "GET", 0);
	ck_assert_int_eq(send(f.fd, half, sizeof(half) - 1, MSG_NOSIGNAL), sizeof(half) - 1);
	unit_run_for(f.loop, 60);
	f.limits.max_connections = 4; /* crowded: answers close their connections */
	body = answer_large(&f);
	unit_run_for(f.loop, 60);
	ck_assert_int_eq(send(f.fd, "\r\n", 2, MSG_NOSIGNAL), 2);
	send_request(&f, "GET", 2);
	unit_run_for(f.loop, 60);
	ck_assert_uint_gt(read_all(&f, got, LARGE_BYTES + 4096), LARGE_BYTES);
	ck_assert_ptr_nonnull(strstr(got, "connection: close"));
	ck_assert_uint_eq(f.n_started, 1);
	for (int i = 0; i < 3; i++)
		close(others[i]);
	free(body);
	free(got);
	teardown(&f);
}
END_TEST

/* Guards against a request that runs though the answer before it closed the connection. */
START_TEST(what_is_behind_a_closing_answer_has_not_run)
{
	static struct fixture f;

	setup(&f);
	send_request(&f, "GET", 0);
	send_request(&f, "GET", 1);
	send_request(&f, "POST", 2);
	unit_run_for(f.loop, 60);
	ck_assert_uint_eq(f.n_started, 2);
	answer(&f, 1, false);
	answer(&f, 0, true);
	ck_assert_str_eq(order_of_answers(&f), "0");
	ck_assert(f.closed);
	ck_assert_uint_eq(f.n_started, 2);
	teardown(&f);

	/* A request that runs behind the closing answer is reported as one whose caller left. */
	setup(&f);
	send_request(&f, "GET", 0);
	send_request(&f, "GET", 1);
	unit_run_for(f.loop, 60);
	answer(&f, 0, true);
	ck_assert_str_eq(order_of_answers(&f), "0");
	ck_assert_uint_eq(f.n_left, 1);
	teardown(&f);
}
END_TEST

/* Guards against a planned stop that cuts requests which already run. */
START_TEST(stop_answers_what_runs_and_starts_nothing)
{
	static struct fixture f;

	setup(&f);
	send_request(&f, "GET", 0);
	send_request(&f, "GET", 1);
	send_request(&f, "POST", 2);
	unit_run_for(f.loop, 60);
	ingress_drain(f.ingress);
	answer(&f, 0, false);
	ck_assert_str_eq(order_of_answers(&f), "0");
	ck_assert(strstr(f.answer, "connection: close") == NULL);
	answer(&f, 1, false);
	ck_assert_str_eq(order_of_answers(&f), "01");
	ck_assert(strstr(f.answer, "connection: close") != NULL);
	ck_assert(f.closed);
	ck_assert_uint_eq(f.n_started, 2);
	teardown(&f);
}
END_TEST

/* Guards against work for a caller that has left with several open requests. */
START_TEST(leaving_ends_all_requests)
{
	static struct fixture f;

	setup(&f);
	for (int i = 0; i < 3; i++)
		send_request(&f, "GET", i);
	unit_run_for(f.loop, 60);
	answer(&f, 1, false);
	close(f.fd);
	f.fd = -1;
	unit_run_for(f.loop, 60);
	ck_assert_uint_eq(f.n_left, 2);
	teardown(&f);

	/* The handler notices it for one request, and may not lose the others in that call. */
	setup(&f);
	for (int i = 0; i < 3; i++)
		send_request(&f, "GET", i);
	unit_run_for(f.loop, 60);
	ingress_drop(f.open[1]);
	ck_assert_uint_eq(f.n_left, 1);
	unit_run_for(f.loop, 30);
	ck_assert_uint_eq(f.n_left, 3);
	teardown(&f);

	/* While the requests of a closed connection end, the handler drops the next one. */
	setup(&f);
	f.drop_next = true;
	for (int i = 0; i < 2; i++)
		send_request(&f, "GET", i);
	unit_run_for(f.loop, 60);
	close(f.fd);
	f.fd = -1;
	unit_run_for(f.loop, 60);
	ck_assert_uint_eq(f.n_left, 2);
	teardown(&f);
}
END_TEST

/* A refusal of a malformed request behind others. Guards against one that comes before them. */
START_TEST(refusals_keep_the_order)
{
	static struct fixture f;
	const char *first;

	setup(&f);
	send_request(&f, "GET", 0);
	unit_run_for(f.loop, 30);
	ck_assert_int_eq(send(f.fd, "nonsense\r\n\r\n", 12, MSG_NOSIGNAL), 12);
	unit_run_for(f.loop, 60);
	read_available(&f);
	ck_assert_uint_eq(f.answer_len, 0);
	answer(&f, 0, false);
	ck_assert_str_eq(order_of_answers(&f), "0");
	first = strstr(f.answer, " 200 ");
	ck_assert(first && strstr(first, " 400 "));
	ck_assert(f.closed);
	teardown(&f);
}
END_TEST

/*
 * A caller sends without end while a request is open. Guards against keeping all of it, and against
 * a caller whose close is not seen because reading has paused.
 */
START_TEST(input_ahead_is_limited)
{
	static char junk[1 << 20];
	static struct fixture f;
	size_t sent = 0;

	setup(&f);
	send_request(&f, "POST", 0);
	unit_run_for(f.loop, 30);
	for (int i = 0; i < 200; i++) {
		ssize_t n = send(f.fd, junk, sizeof(junk), MSG_DONTWAIT | MSG_NOSIGNAL);

		sent += n > 0 ? (size_t)n : 0;
		h2o_evloop_run(f.loop, 1);
	}
	ck_assert_uint_gt(sent, 1 << 20);
	ck_assert_uint_lt(f.door.used, 512u * 1024);
	ck_assert_uint_eq(f.n_started, 1);
	teardown(&f);

	/* Less than the system's buffers take, so that the close arrives. */
	setup(&f);
	send_request(&f, "POST", 0);
	unit_run_for(f.loop, 30);
	ck_assert_int_eq(send(f.fd, junk, 100000, MSG_NOSIGNAL), 100000);
	unit_run_for(f.loop, 60);
	close(f.fd);
	f.fd = -1;
	unit_run_for(f.loop, 300);
	ck_assert_uint_eq(f.n_left, 1);
	teardown(&f);
}
END_TEST

/* Guards against refusing a head that is within its limit because it has many fields. */
START_TEST(many_short_fields_are_read)
{
	static char text[16000];
	static struct fixture f;
	size_t n;

	setup(&f);
	n = (size_t)snprintf(text, sizeof(text), "GET / HTTP/1.1\r\nhost: x\r\n");
	for (int i = 0; i < 1500; i++)
		n += (size_t)snprintf(text + n, sizeof(text) - n, "a%d:1\r\n", i % 1000);
	n += (size_t)snprintf(text + n, sizeof(text) - n, "\r\n");
	ck_assert_int_eq(send(f.fd, text, 5000, MSG_NOSIGNAL), 5000);
	unit_run_for(f.loop, 30);
	ck_assert_int_eq(send(f.fd, text + 5000, n - 5000, MSG_NOSIGNAL), (ssize_t)(n - 5000));
	unit_run_for(f.loop, 60);
	ck_assert_uint_eq(f.n_started, 1);
	ck_assert_uint_eq(f.open[0]->n_headers, 1501);
	teardown(&f);
}
END_TEST

/* Guards against a body that stops and keeps others out until its time limit. */
START_TEST(stopped_body_gives_way)
{
	static const char head[] = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 500000\r\n\r\nab";
	static char body[500000];
	static struct fixture f;
	int second;
	char first[256] = "";

	setup(&f);
	f.door.limit = 1000000;
	ck_assert_int_gt(send(f.fd, head, sizeof(head) - 1, MSG_NOSIGNAL), 0);
	unit_run_for(f.loop, DOOR_STALE_BODY_MS + 100);
	second = dial(&f);
	ck_assert_int_gt(send(second, head, sizeof(head) - 3, MSG_NOSIGNAL), 0);
	ck_assert_int_gt(send(second, body, sizeof(body), MSG_NOSIGNAL), 0);
	unit_run_for(f.loop, 100);
	ck_assert_uint_eq(f.n_started, 1);
	ck_assert_int_gt(recv(f.fd, first, sizeof(first) - 1, MSG_DONTWAIT), 0);
	ck_assert(strstr(first, " 408 ") != NULL);
	close(second);
	teardown(&f);
}
END_TEST

static const char *const mutants[] = {
	"ingress_any_order", "ingress_ahead_unlimited", "ingress_overlap_any",
	"ingress_read_all",  "ingress_paused_deaf",	"ingress_few_headers",
	"door_keep_stale",   "ingress_read_past_close", NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, continue_comes_after_the_answers_before_it);
	tcase_add_test(tc, requests_that_cross_a_closing_answer_do_not_run);
	tcase_add_test(tc, answers_come_in_the_order_of_requests);
	tcase_add_test(tc, requests_in_flight_are_limited);
	tcase_add_test(tc, other_requests_wait_for_those_before_them);
	tcase_add_test(tc, what_is_behind_a_closing_answer_has_not_run);
	tcase_add_test(tc, stop_answers_what_runs_and_starts_nothing);
	tcase_add_test(tc, leaving_ends_all_requests);
	tcase_add_test(tc, refusals_keep_the_order);
	tcase_add_test(tc, input_ahead_is_limited);
	tcase_add_test(tc, many_short_fields_are_read);
	tcase_add_test(tc, stopped_body_gives_way);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "pipeline", mutants, add_tests);
}
