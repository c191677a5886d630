/* Tests of the adapter to the platform's store, against a server that answers as the test says. */
#include <stdlib.h>

#include "connection/ingress.h"
#include "platform/plat.h"
#include "test/unit.h"
#include "test/unit_loop.h"

#define IP unit_ip()

struct fixture {
	h2o_loop_t *loop;
	struct ingress *server;
	struct meta *meta;
	int status;	  /* of the server's answers */
	const char *body; /* the same */
	const char *era;  /* the same, NULL: no header */
	/* Era of the next answer only, NULL: as the others. */
	const char *strange_era;
	size_t requests;
	bool answered;
	enum meta_status result;
	uint64_t version; /* of the answer */
	char keys[256];	  /* of the answer's rows, each followed by a space */
};

static void on_request(void *data, struct ingress_request *req)
{
	struct fixture *f = data;
	const char *era = f->strange_era ? f->strange_era : f->era;
	struct ingress_header header = {STR_LIT("store-era"), str_from(era ? era : "")};

	f->strange_era = NULL;
	f->requests++;
	ingress_reply(req, f->status, &header, era != NULL, str_from(f->body), false);
	ingress_request_free(req);
}

static void on_caller_closed(void *data, struct ingress_request *req)
{
	ingress_request_free(req);
}

static const struct ingress_limits *limits(void *data)
{
	static const struct ingress_limits l = {
		.max_header_bytes = 4096,
		.max_body_bytes = 4096,
		.header_timeout = 2000,
		.idle_timeout = 4000,
	};

	return &l;
}

static void setup(struct fixture *f)
{
	static const struct ingress_handlers handlers = {
		.on_request = on_request, .on_caller_closed = on_caller_closed, .limits = limits};
	struct err err = {0};
	uint32_t port;

	memset(f, 0, sizeof(*f));
	f->loop = h2o_evloop_create();
	port = unit_free_port(IP);
	f->server = ingress_create(f->loop, IP, port, &handlers, f, &err);
	ck_assert_msg(f->server != NULL, "%s", err.msg);
	f->meta = plat_store.open(f->loop, IP, port, NULL);
}

static void teardown(struct fixture *f)
{
	plat_store.close(f->meta);
	ingress_destroy(f->server);
	timer_destroy_loop(f->loop);
}

static void on_answer(void *data, const struct meta_answer *a)
{
	struct fixture *f = data;

	f->answered = true;
	f->result = a->status;
	f->version = a->version;
	f->keys[0] = '\0';
	for (size_t i = 0, at = 0; i < a->n_rows && at < sizeof(f->keys); i++)
		at += (size_t)snprintf(f->keys + at, sizeof(f->keys) - at, "%.*s ",
				       STR_ARG(a->rows[i].key));
}

static bool is_answered(void *data)
{
	return ((struct fixture *)data)->answered;
}

/* Returns the outcome of a call that the server answers with this status and body. */
static enum meta_status call(struct fixture *f, bool commit, int status, const char *body)
{
	static const struct meta_change change = {
		.key = {"k", 1}, .write = true, .value = {"v", 1}};

	f->status = status;
	f->body = body;
	f->answered = false;
	if (commit)
		plat_store.commit(f->meta, META_KEYS, &change, 1, on_answer, f);
	else
		plat_store.read(f->meta, META_KEYS, on_answer, f);
	ck_assert(unit_run_until(f->loop, is_answered, f));
	return f->result;
}

/*
 * Guards against a transaction that was carried out but counts as refused: its writer would act as
 * if nothing had changed, for example without the fencing tokens that it has reserved.
 */
START_TEST(unexpected_answers_to_a_commit_prove_nothing)
{
	static struct fixture f;

	setup(&f);
	ck_assert_int_eq(call(&f, true, 200, "{\"ver\":7}"), META_OK);
	ck_assert_int_eq(call(&f, true, 412, "{\"ver\":7}"), META_CONFLICT);
	ck_assert_int_eq(call(&f, true, 429, "{}"), META_REFUSED);
	ck_assert_int_eq(call(&f, true, 503, "{}"), META_REFUSED);
	ck_assert_int_eq(call(&f, true, 400, "{}"), META_REFUSED);
	ck_assert_int_eq(call(&f, true, 500, "{}"), META_UNKNOWN);
	ck_assert_int_eq(call(&f, true, 502, "{}"), META_UNKNOWN);
	ck_assert_int_eq(call(&f, true, 504, "{}"), META_UNKNOWN);
	ck_assert_int_eq(call(&f, true, 202, "{}"), META_UNKNOWN);
	ck_assert_int_eq(call(&f, true, 200, "garbage"), META_UNKNOWN);
	ck_assert_int_eq(call(&f, false, 500, "{}"), META_REFUSED);
	ck_assert_int_eq(call(&f, false, 410, "{}"), META_TRIMMED);
	teardown(&f);
}
END_TEST

/*
 * Guards against answers with members of other types, or without members, that end the process or
 * pass for rows.
 */
START_TEST(malformed_answers_are_refused)
{
	static const char *const bad[] = {
		"",
		"null",
		"7",
		"[]",
		"{",
		"\"rows\"",
		"{\"rows\":[7]}",
		"{\"rows\":[{}]}",
		"{\"rows\":[{\"key\":7,\"ver\":1}]}",
		"{\"rows\":[null]}",
	};
	static const char *const odd[] = {
		"{\"rows\":7}",
		"{\"ver\":\"x\"}",
		"{\"rows\":null,\"ver\":null}",
		"{}",
		"{\"rows\":[{\"key\":\"k\"}]}",
		"{\"rows\":[{\"key\":\"k\",\"value\":7}]}",
		"{\"rows\":[{\"key\":\"\",\"value\":\"%%%\",\"ver\":-1}]}",
		"{\"rows\":[{\"key\":\"k\",\"value\":\"====\",\"ver\":1e99}]}",
	};
	static struct fixture f;

	setup(&f);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		ck_assert_msg(call(&f, false, 200, bad[i]) == META_REFUSED, "%s", bad[i]);
	/* Any outcome is allowed, a crash is not. */
	for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++)
		call(&f, false, 200, odd[i]);
	teardown(&f);
}
END_TEST

/* Returns the outcome of a call for changes after a version. */
static enum meta_status watch(struct fixture *f, uint64_t after, int status, const char *body)
{
	f->status = status;
	f->body = body;
	f->answered = false;
	plat_store.watch(f->meta, META_CONFIG, after, 0, on_answer, f);
	ck_assert(unit_run_until(f->loop, is_answered, f));
	return f->result;
}

#define EMPTY "{\"rows\":[],\"ver\":7}"

/*
 * Guards against versions that go back with a restore of the store, and against changes after a
 * version of an earlier era, which the store has given to other content since.
 */
START_TEST(versions_grow_over_a_restore)
{
	static struct fixture f;

	setup(&f);
	ck_assert_int_eq(call(&f, false, 200, EMPTY), META_OK);
	ck_assert_uint_eq(f.version, 7); /* a store without eras */
	f.era = "1";
	ck_assert_int_eq(call(&f, false, 200, EMPTY), META_OK);
	ck_assert_uint_eq(f.version, meta_version(1, 7));
	ck_assert_int_eq(watch(&f, f.version, 200, EMPTY), META_OK);
	f.era = "2";
	ck_assert_int_eq(watch(&f, meta_version(1, 7), 200, EMPTY), META_TRIMMED);
	ck_assert_uint_eq(meta_era(f.version), 2);
	ck_assert_int_eq(call(&f, false, 200, EMPTY), META_OK);
	ck_assert_uint_eq(f.version, meta_version(2, 7));
	ck_assert_int_eq(watch(&f, f.version, 200, EMPTY), META_OK);
	/* A peer has seen a restore that this gateway has not. */
	f.era = "3";
	ck_assert_int_eq(watch(&f, meta_version(3, 1), 200, EMPTY), META_OK);
	teardown(&f);
}
END_TEST

/*
 * Guards against a single strange answer that discards what is known: a higher era counts once two
 * answers in a row name it.
 */
START_TEST(strange_eras_are_not_believed)
{
	static const char *const invalid[] = {
		"", "junk", "-1", "1.5", "0x2", "1048576", "18446744073709551616", "2, 3", " ",
	};
	static const char *const higher[] = {"5", "1000000"};
	static struct fixture f;
	size_t before;

	setup(&f);
	f.era = "4";
	ck_assert_int_eq(call(&f, false, 200, EMPTY), META_OK);
	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
		f.strange_era = invalid[i];
		ck_assert_int_eq(call(&f, false, 200, EMPTY), META_OK);
		ck_assert_msg(f.version == meta_version(4, 7), "\"%s\"", invalid[i]);
	}
	/* A higher era is confirmed by a second call. */
	for (size_t i = 0; i < sizeof(higher) / sizeof(higher[0]); i++) {
		f.strange_era = higher[i];
		before = f.requests;
		ck_assert_int_eq(call(&f, false, 200, EMPTY), META_OK);
		ck_assert_uint_eq(f.version, meta_version(4, 7));
		ck_assert_uint_eq(f.requests - before, 2);
	}
	/* A commit is not sent twice: its outcome is not known. */
	f.strange_era = "1000000";
	ck_assert_int_eq(call(&f, true, 200, "{\"ver\":7}"), META_UNKNOWN);
	ck_assert_int_eq(call(&f, false, 200, EMPTY), META_OK);
	f.strange_era = "1000000";
	ck_assert_int_eq(call(&f, true, 429, "{}"), META_REFUSED);
	ck_assert_int_eq(call(&f, false, 200, EMPTY), META_OK);
	/* An answer from before the restore. */
	f.strange_era = "3";
	ck_assert_int_eq(call(&f, false, 200, EMPTY), META_REFUSED);
	f.strange_era = "3";
	ck_assert_int_eq(call(&f, true, 200, "{\"ver\":7}"), META_UNKNOWN);
	f.strange_era = "3";
	ck_assert_int_eq(watch(&f, meta_version(4, 7), 410, "{}"), META_REFUSED);
	f.era = NULL;
	ck_assert_int_eq(call(&f, false, 200, EMPTY), META_OK);
	ck_assert_uint_eq(f.version, meta_version(4, 7));
	teardown(&f);
}
END_TEST

/*
 * Guards against a wrong era so high that no true one is above it again: the gateway would be
 * without the store until its restart, however often the store is restored.
 */
START_TEST(era_out_of_reach_is_never_believed)
{
	static struct fixture f;

	setup(&f);
	f.era = "1000000"; /* the first one may be any */
	ck_assert_int_eq(call(&f, false, 200, EMPTY), META_OK);
	ck_assert_uint_eq(f.version, meta_version(1000000, 7));
	f.era = "1001025";
	for (size_t i = 0; i < 5; i++)
		ck_assert_int_eq(call(&f, false, 200, EMPTY), META_REFUSED);
	ck_assert_int_eq(call(&f, true, 200, "{\"ver\":7}"), META_UNKNOWN);
	f.era = "1000001";
	ck_assert_int_eq(call(&f, false, 200, EMPTY), META_OK);
	ck_assert_uint_eq(f.version, meta_version(1000001, 7));
	/* As many restores as a process may miss. */
	f.era = "1001025";
	ck_assert_int_eq(call(&f, false, 200, EMPTY), META_OK);
	ck_assert_uint_eq(f.version, meta_version(1001025, 7));
	teardown(&f);
}
END_TEST

/*
 * Guards against one odd row that hides all others: the gateway took the store for lost and
 * followed it no more. Guards also against an odd key that, cut off, is that of a sound row.
 */
START_TEST(an_odd_row_hides_no_other)
{
	static const char *const odd[] = {
		"{\"key\":\"a\\u0000\",\"ver\":3,\"value\":\"e30=\"}",
		"{\"key\":\"\",\"ver\":3,\"value\":\"e30=\"}",
		"{\"key\":\"\\ud800\",\"ver\":3,\"value\":\"e30=\"}",
		"{\"key\":\"\xff\xfe\",\"ver\":3,\"value\":\"e30=\"}",
		"{\"key\":\"\x01\",\"ver\":3,\"value\":\"e30=\"}",
		"{\"key\":\"\\\"]}\\ud800\",\"ver\":3,\"value\":\"e30=\"}",
		"{\"key\":\"x\",\"ver\":99999999999999999999,\"value\":\"e30=\"}",
		"{\"key\":\"x\",\"ver\":1e999,\"value\":\"e30=\"}",
		"{\"key\":\"x\",\"ver\":3,\"value\":\"e30=\",\"\\u0000\":1}",
		"{\"key\":\"x\",\"ver\":3,\"extra\":-1e999}",
	};
	static struct fixture f;
	char *deep = malloc(8192);
	char body[4096 + 8192];

	setup(&f);
	memset(deep, '[', 2500);
	memset(deep + 2500, ']', 2500);
	deep[5000] = '\0';
	for (size_t i = 0; i <= sizeof(odd) / sizeof(odd[0]); i++) {
		bool nested = i == sizeof(odd) / sizeof(odd[0]);

		snprintf(body, sizeof(body),
			 "{\"note\":\"rows [\", \"rows\" : "
			 "[{\"key\":\"a\",\"ver\":1,\"value\":\"\"},"
			 " %s%s%s , {\"key\":\"b\",\"ver\":2} ],\"has-more\":false,\"ver\":7}",
			 nested ? "{\"key\":\"x\",\"extra\":" : "", nested ? deep : odd[i],
			 nested ? "}" : "");
		ck_assert_msg(call(&f, false, 200, body) == META_OK, "row %zu", i);
		ck_assert_str_eq(f.keys, "a b ");
		ck_assert_uint_eq(f.version, 7);
	}
	free(deep);
	/* What is no row, or is cut off, is still refused. */
	ck_assert_int_eq(call(&f, false, 200, "{\"rows\":[{\"key\":\"\\ud800\"}"), META_REFUSED);
	ck_assert_int_eq(call(&f, false, 200, "{\"rows\":[{\"key\":\"\\ud800\"}]"), META_REFUSED);
	ck_assert_int_eq(call(&f, false, 200, "{\"rows\":[],\"ver\":99999999999999999999}"),
			 META_REFUSED);
	ck_assert_int_eq(call(&f, false, 200, "{\"rows\":"), META_REFUSED);
	ck_assert_int_eq(call(&f, false, 200, "{\"rows\""), META_REFUSED);
	/* A page with nothing but odd rows must not be read again and again. */
	ck_assert_int_eq(call(&f, false, 200, "{\"rows\":[{\"key\":\"\"}],\"has-more\":true}"),
			 META_REFUSED);
	ck_assert_int_eq(call(&f, false, 200, "{\"rows\":[{\"key\":\"a\"}],\"has-more\":true}"),
			 META_REFUSED);
	teardown(&f);
}
END_TEST

/* Returns how often the log has the text since its last call. */
static size_t count_logged(FILE *logged, const char *text)
{
	char line[2048];
	size_t n = 0;

	rewind(logged);
	while (fgets(line, sizeof(line), logged))
		n += strstr(line, text) != NULL;
	ck_assert_int_eq(ftruncate(fileno(logged), 0), 0);
	rewind(logged);
	return n;
}

/*
 * Guards against a log that fills with the same odd rows, which each whole read of a table has
 * again, also those of a shard manager. An odd row that is new is logged.
 */
START_TEST(an_odd_row_is_logged_once)
{
	static const char *const odd[] = {
		"{\"key\":\"a\\u0000\",\"ver\":3}",
		"{\"key\":\"n64\",\"ver\":3,\"value\":\"%%%\"}",
		"{\"key\":\"\\ud800\",\"ver\":3}",
		"{\"key\":\"\\ud801\",\"ver\":3}",
	};
	static struct fixture f;
	FILE *logged = tmpfile();
	int saved = dup(STDERR_FILENO);
	size_t lines[sizeof(odd) / sizeof(odd[0]) + 1];
	char body[1024];

	ck_assert_ptr_nonnull(logged);
	setup(&f);
	dup2(fileno(logged), STDERR_FILENO);
	for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		/* The row of the step before stays, as in a table. */
		snprintf(body, sizeof(body), "{\"rows\":[%s%s%s],\"ver\":7}", i ? odd[i - 1] : "",
			 i ? "," : "", odd[i]);
		call(&f, false, 200, body);
		call(&f, false, 200, body);
		lines[i] = count_logged(logged, "table keys");
	}
	/* The same row of another table. */
	watch(&f, 0, 200, body);
	lines[sizeof(odd) / sizeof(odd[0])] = count_logged(logged, "table op");
	dup2(saved, STDERR_FILENO);
	close(saved);
	fclose(logged);
	for (size_t i = 0; i < sizeof(lines) / sizeof(lines[0]); i++)
		ck_assert_msg(lines[i] == 1, "step %zu: %zu lines", i, lines[i]);
	teardown(&f);
}
END_TEST

static const char *const mutants[] = {"era_trust_first",
				      "era_use_past",
				      "store_odd_row_fails",
				      "answers_unlimited",
				      "store_log_each_read",
				      "era_trust_any",
				      NULL};

/* ---- answers without end ----------------------------------------------------------------------
 */

#define ENDLESS_BYTES (20u * 1024 * 1024)
#define MEMORY_BYTES (2u * 1024 * 1024)

struct endless {
	struct unit_server server;
	struct answer_memory memory;
	struct fixture f;
	size_t most; /* highest number of bytes taken at once */
	char *bytes;
};

static void on_endless_request(struct unit_conn *c, struct str request, void *data)
{
	struct endless *e = data;

	unit_reply(c, (struct str){e->bytes, ENDLESS_BYTES});
}

static bool is_ended(void *data)
{
	struct endless *e = data;

	if (e->memory.used > e->most)
		e->most = e->memory.used;
	return e->f.answered;
}

/* Guards against a store whose answer has no end and takes all memory of the process. */
START_TEST(endless_answer_takes_no_more_than_its_share)
{
	static const char head[] =
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffff\r\n";
	static struct endless e;

	memset(&e, 0, sizeof(e));
	e.memory.limit = MEMORY_BYTES;
	e.bytes = malloc(ENDLESS_BYTES);
	memset(e.bytes, 'x', ENDLESS_BYTES);
	memcpy(e.bytes, head, sizeof(head) - 1);
	e.f.loop = h2o_evloop_create();
	e.server.on_request = on_endless_request;
	e.server.data = &e;
	unit_server_start(&e.server, e.f.loop, IP);
	e.f.meta = plat_store.open(e.f.loop, IP, e.server.port, &e.memory);
	plat_store.read(e.f.meta, META_KEYS, on_answer, &e.f);
	ck_assert(unit_run_until(e.f.loop, is_ended, &e));
	ck_assert_int_eq(e.f.result, META_REFUSED);
	ck_assert_uint_gt(e.most, 0);
	ck_assert_uint_le(e.most, MEMORY_BYTES);
	ck_assert_uint_eq(e.memory.used, 0);
	plat_store.close(e.f.meta);
	unit_server_stop(&e.server);
	timer_destroy_loop(e.f.loop);
	free(e.bytes);
}
END_TEST

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, endless_answer_takes_no_more_than_its_share);
	tcase_add_test(tc, unexpected_answers_to_a_commit_prove_nothing);
	tcase_add_test(tc, malformed_answers_are_refused);
	tcase_add_test(tc, versions_grow_over_a_restore);
	tcase_add_test(tc, strange_eras_are_not_believed);
	tcase_add_test(tc, era_out_of_reach_is_never_believed);
	tcase_add_test(tc, an_odd_row_hides_no_other);
	tcase_add_test(tc, an_odd_row_is_logged_once);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "platstore", mutants, add_tests);
}
