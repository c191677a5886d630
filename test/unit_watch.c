/* Tests of following tables of the store, with a store whose answers the test gives itself. */
#include <stdlib.h>

#include "process/watch.h"
#include "test/unit.h"
#include "test/unit_loop.h"

#define MAX_CALLS 64

struct pending {
	enum meta_table table;
	bool whole;
	uint64_t after;
	clk_ms wait;
	meta_cb cb;
	void *data;
	bool answered;
};

struct meta {
	struct pending calls[MAX_CALLS];
	size_t n;
};

struct fixture {
	h2o_loop_t *loop;
	struct meta meta;
	struct watch *watch;
	size_t rows[META_TABLES]; /* calls of on_rows() by table */
	bool last_whole;
	bool last_recovered;
	bool last_restored;
	size_t last_rows;
};

static void add_call(struct meta *m, const struct pending *call)
{
	ck_assert_uint_lt(m->n, MAX_CALLS);
	m->calls[m->n++] = *call;
}

static void store_read(struct meta *m, enum meta_table table, meta_cb cb, void *data)
{
	struct pending call = {.table = table, .whole = true, .cb = cb, .data = data};

	add_call(m, &call);
}

static void store_watch(struct meta *m, enum meta_table table, uint64_t after, clk_ms wait,
			meta_cb cb, void *data)
{
	struct pending call = {
		.table = table, .after = after, .wait = wait, .cb = cb, .data = data};

	add_call(m, &call);
}

static const struct meta_driver driver = {.read = store_read, .watch = store_watch};

static void on_rows(void *data, enum meta_table table, const struct watch_rows *rows)
{
	struct fixture *f = data;

	f->rows[table]++;
	f->last_whole = rows->whole;
	f->last_recovered = rows->recovered;
	f->last_restored = rows->restored;
	f->last_rows = rows->answer->n_rows;
}

/* Returns the newest unanswered call for the table, NULL if there is none. */
static struct pending *open_call(struct fixture *f, enum meta_table table)
{
	for (size_t i = f->meta.n; i > 0; i--) {
		if (f->meta.calls[i - 1].table == table && !f->meta.calls[i - 1].answered)
			return &f->meta.calls[i - 1];
	}
	return NULL;
}

static size_t open_calls(struct fixture *f)
{
	size_t n = 0;

	for (size_t i = 0; i < f->meta.n; i++)
		n += !f->meta.calls[i].answered;
	return n;
}

static void answer_call(struct pending *p, enum meta_status status, uint64_t version, size_t n_rows)
{
	struct meta_row row = {.key = STR_LIT("k"), .value = STR_LIT("v"), .version = version};
	struct meta_answer a = {.status = status, .version = version, .rows = &row};

	a.n_rows = n_rows;
	p->answered = true;
	p->cb(p->data, &a);
}

static bool has_config_call(void *data)
{
	return open_call(data, META_CONFIG) != NULL;
}

static bool has_upstreams_call(void *data)
{
	return open_call(data, META_UPSTREAMS) != NULL;
}

static bool has_open_call(void *data)
{
	return open_calls(data) > 0;
}

static void setup(struct fixture *f)
{
	static const struct watch_handlers handlers = {on_rows};

	memset(f, 0, sizeof(*f));
	f->loop = h2o_evloop_create();
	f->watch = watch_create(f->loop, &driver, &f->meta, &handlers, f);
	ck_assert(unit_run_until(f->loop, has_config_call, f));
	ck_assert(unit_run_until(f->loop, has_upstreams_call, f));
}

static void teardown(struct fixture *f)
{
	watch_destroy(f->watch);
	timer_destroy_loop(f->loop);
}

/* The whole table is read first, then watched for changes since its version. */
START_TEST(whole_table_then_changes)
{
	static struct fixture f;

	setup(&f);
	ck_assert(open_call(&f, META_CONFIG)->whole);
	answer_call(open_call(&f, META_CONFIG), META_OK, 7, 1);
	ck_assert_uint_eq(f.rows[META_CONFIG], 1);
	ck_assert(f.last_whole);
	ck_assert(unit_run_until(f.loop, has_config_call, &f));
	ck_assert(!open_call(&f, META_CONFIG)->whole);
	ck_assert_uint_eq(open_call(&f, META_CONFIG)->after, 7);
	answer_call(open_call(&f, META_CONFIG), META_OK, 9, 1);
	ck_assert(!f.last_whole);
	ck_assert_uint_eq(watch_version(f.watch, META_CONFIG), 9);
	teardown(&f);
}
END_TEST

/* Guards against missing rows after the store trimmed its history: the table is read whole. */
START_TEST(trimmed_history_is_read_whole)
{
	static struct fixture f;

	setup(&f);
	answer_call(open_call(&f, META_CONFIG), META_OK, 7, 1);
	ck_assert(unit_run_until(f.loop, has_config_call, &f));
	answer_call(open_call(&f, META_CONFIG), META_TRIMMED, 20, 0);
	ck_assert(unit_run_until(f.loop, has_config_call, &f));
	ck_assert(open_call(&f, META_CONFIG)->whole);
	teardown(&f);
}
END_TEST

/* Each call has a cost: while the store refuses calls, one call at a time probes it. */
START_TEST(one_call_probes_a_refusing_store)
{
	static struct fixture f;
	size_t before;

	setup(&f);
	for (size_t i = 0; i < 3; i++)
		answer_call(&f.meta.calls[i], META_REFUSED, 0, 0);
	ck_assert(!watch_store_ok(f.watch));
	before = f.meta.n;
	unit_run_for(f.loop, 1500);
	ck_assert_uint_le(open_calls(&f), 1);
	ck_assert_uint_le(f.meta.n - before, 2);
	for (size_t i = before; i < f.meta.n; i++) {
		if (!f.meta.calls[i].answered)
			answer_call(&f.meta.calls[i], META_OK, 5, 1);
	}
	ck_assert(watch_store_ok(f.watch));
	ck_assert(f.last_recovered);
	unit_run_for(f.loop, 20);
	/* All tables are watched again. */
	ck_assert_uint_ge(open_calls(&f), 2);
	teardown(&f);
}
END_TEST

/*
 * Guards against upstreams that are dropped after an outage of the store, since another table was
 * answered first or the history was trimmed: the rows of each table are the first since then.
 */
START_TEST(each_table_recovers_from_an_outage)
{
	static struct fixture f;

	setup(&f);
	answer_call(open_call(&f, META_CONFIG), META_OK, 7, 1);
	answer_call(open_call(&f, META_UPSTREAMS), META_OK, 7, 1);
	ck_assert(unit_run_until(f.loop, has_config_call, &f));
	answer_call(open_call(&f, META_CONFIG), META_REFUSED, 0, 0);
	ck_assert(unit_run_until(f.loop, has_config_call, &f));
	answer_call(open_call(&f, META_CONFIG), META_OK, 8, 1);
	ck_assert(f.last_recovered);
	unit_run_for(f.loop, 20);
	answer_call(open_call(&f, META_UPSTREAMS), META_TRIMMED, 8, 0);
	unit_run_for(f.loop, 20);
	answer_call(open_call(&f, META_UPSTREAMS), META_OK, 8, 1);
	ck_assert(f.last_whole);
	ck_assert(f.last_recovered);
	unit_run_for(f.loop, 400);
	answer_call(open_call(&f, META_UPSTREAMS), META_OK, 9, 1);
	ck_assert(!f.last_recovered);
	teardown(&f);
}
END_TEST

/* Guards against a call that hangs for good: it is replaced when a peer has newer rows. */
START_TEST(hanging_call_is_replaced)
{
	static struct fixture f;
	struct pending *hanging;

	setup(&f);
	answer_call(open_call(&f, META_UPSTREAMS), META_OK, 7, 1);
	ck_assert(unit_run_until(f.loop, has_upstreams_call, &f));
	hanging = open_call(&f, META_UPSTREAMS);
	watch_report_peer_row(f.watch, META_UPSTREAMS, 30);
	unit_run_for(f.loop, 600);
	watch_report_peer_row(f.watch, META_UPSTREAMS, 30);
	unit_run_for(f.loop, 50);
	ck_assert_ptr_ne(open_call(&f, META_UPSTREAMS), hanging);
	/* The late answer of the replaced call is ignored. */
	answer_call(hanging, META_OK, 8, 1);
	ck_assert_uint_eq(f.rows[META_UPSTREAMS], 1);
	teardown(&f);
}
END_TEST

/*
 * The answer with a peer's newer rows is large and takes a second. Guards against a call that is
 * replaced again and again while its answer arrives, so that the rows never come: review/7.
 */
START_TEST(large_answer_after_a_replaced_call_is_awaited)
{
	static struct fixture f;
	struct pending *second;

	setup(&f);
	answer_call(open_call(&f, META_UPSTREAMS), META_OK, 7, 1);
	ck_assert(unit_run_until(f.loop, has_upstreams_call, &f));
	watch_report_peer_row(f.watch, META_UPSTREAMS, 30);
	unit_run_for(f.loop, 600);
	watch_report_peer_row(f.watch, META_UPSTREAMS, 30);
	unit_run_for(f.loop, 50);
	second = open_call(&f, META_UPSTREAMS);
	ck_assert_int_le(second->wait, 3000);
	for (int i = 0; i < 10; i++) {
		watch_report_peer_row(f.watch, META_UPSTREAMS, 30);
		unit_run_for(f.loop, 110);
	}
	ck_assert_ptr_eq(open_call(&f, META_UPSTREAMS), second);
	answer_call(second, META_OK, 30, 1);
	ck_assert_uint_eq(f.rows[META_UPSTREAMS], 2);
	teardown(&f);
}
END_TEST

/* A peer's copy is used only if it is newer and the store does not answer. */
START_TEST(copies_are_used_without_the_store)
{
	static struct fixture f;
	struct meta_answer answer = {.status = META_OK, .version = 12};
	struct watch_copy copy = {.answer = &answer};

	setup(&f);
	answer_call(open_call(&f, META_CONFIG), META_OK, 10, 1);
	ck_assert_int_eq(watch_apply_copy(f.watch, META_CONFIG, &copy), WATCH_UNUSED);
	ck_assert(unit_run_until(f.loop, has_config_call, &f));
	answer_call(open_call(&f, META_CONFIG), META_REFUSED, 0, 0);
	ck_assert_int_eq(watch_apply_copy(f.watch, META_CONFIG, &copy), WATCH_APPLIED);
	ck_assert_uint_eq(watch_version(f.watch, META_CONFIG), 12);
	ck_assert_int_eq(watch_apply_copy(f.watch, META_CONFIG, &copy), WATCH_UNUSED);
	teardown(&f);
}
END_TEST

/* Applies a peer's changes from version `since` to `version`, with two rows. */
static enum watch_copy_result apply_changes(struct fixture *f, uint64_t since, uint64_t version)
{
	struct meta_row rows[] = {
		{.key = STR_LIT("old"), .value = STR_LIT("v"), .version = since + 1},
		{.key = STR_LIT("new"), .value = STR_LIT("v"), .version = version},
	};
	struct meta_answer answer = {META_OK, version, rows, 2};
	struct watch_copy copy = {.since = since, .answer = &answer};

	return watch_apply_copy(f->watch, META_CONFIG, &copy);
}

/*
 * A passive watch does not call the store and applies changes from readers. Guards against applying
 * changes since a version that it does not have, after which rows would be missing for good, and
 * against applying rows that are older than its own.
 */
START_TEST(passive_watch_applies_changes)
{
	static struct fixture f;
	size_t calls;

	setup(&f);
	answer_call(open_call(&f, META_CONFIG), META_OK, 10, 1);
	answer_call(open_call(&f, META_UPSTREAMS), META_OK, 10, 1);
	watch_set_passive(f.watch, true);
	ck_assert(!watch_store_ok(f.watch));
	calls = f.meta.n;
	ck_assert_int_eq(apply_changes(&f, 12, 15), WATCH_GAP);
	ck_assert_uint_eq(watch_version(f.watch, META_CONFIG), 10);
	ck_assert_int_eq(apply_changes(&f, 8, 12), WATCH_APPLIED);
	ck_assert_uint_eq(f.last_rows, 1); /* the other row is not newer than version 10 */
	ck_assert(!f.last_whole);
	ck_assert_int_eq(apply_changes(&f, 12, 15), WATCH_APPLIED);
	ck_assert_uint_eq(f.last_rows, 2);
	ck_assert_int_eq(apply_changes(&f, 12, 15), WATCH_UNUSED);
	unit_run_for(f.loop, 1000);
	ck_assert_uint_eq(f.meta.n, calls);
	teardown(&f);
}
END_TEST

/*
 * Guards against a gateway that gets no updates, or reads whole tables again, when its readers fail
 * and its watch becomes active.
 */
START_TEST(active_watch_continues_from_copies)
{
	static struct fixture f;

	setup(&f);
	answer_call(open_call(&f, META_CONFIG), META_OK, 10, 1);
	answer_call(open_call(&f, META_UPSTREAMS), META_OK, 10, 1);
	watch_set_passive(f.watch, true);
	ck_assert_int_eq(apply_changes(&f, 10, 15), WATCH_APPLIED);
	watch_set_passive(f.watch, false);
	ck_assert(watch_store_ok(f.watch));
	ck_assert(unit_run_until(f.loop, has_config_call, &f));
	ck_assert(!open_call(&f, META_CONFIG)->whole);
	ck_assert_uint_eq(open_call(&f, META_CONFIG)->after, 15);
	answer_call(open_call(&f, META_CONFIG), META_OK, 16, 1);
	ck_assert(!f.last_recovered);
	teardown(&f);
}
END_TEST

/*
 * A gateway that begins to read counts as a reader once the store has answered it. Guards against a
 * first call that waits in the store for a change: without changes, readers that the store would
 * answer were replaced by each other for as long as nothing changed.
 */
START_TEST(first_call_of_active_watch_is_answered_at_once)
{
	static struct fixture f;

	setup(&f);
	answer_call(open_call(&f, META_CONFIG), META_OK, 10, 1);
	answer_call(open_call(&f, META_UPSTREAMS), META_OK, 10, 1);
	watch_set_passive(f.watch, true);
	watch_set_config_wait(f.watch, 1000);
	watch_set_passive(f.watch, false);
	ck_assert(unit_run_until(f.loop, has_config_call, &f));
	ck_assert_int_eq(open_call(&f, META_CONFIG)->wait, 0);
	answer_call(open_call(&f, META_CONFIG), META_OK, 10, 0);
	ck_assert(unit_run_until(f.loop, has_config_call, &f));
	ck_assert_int_eq(open_call(&f, META_CONFIG)->wait, 1000);
	teardown(&f);
}
END_TEST

/*
 * Guards against a gateway that follows the versions of the store from before a restore: they are
 * given out again with other content. Each table is read whole, also if only one call showed it.
 */
START_TEST(restored_store_is_read_again)
{
	static struct fixture f;
	struct pending *old;

	setup(&f);
	answer_call(open_call(&f, META_CONFIG), META_OK, meta_version(1, 90), 1);
	answer_call(open_call(&f, META_UPSTREAMS), META_OK, meta_version(1, 90), 1);
	ck_assert(!f.last_restored && !watch_was_restored(f.watch));
	unit_run_for(f.loop, 400);
	old = open_call(&f, META_UPSTREAMS);
	ck_assert(!old->whole);
	answer_call(open_call(&f, META_CONFIG), META_TRIMMED, meta_version(2, 0), 0);
	unit_run_for(f.loop, 20);
	ck_assert(open_call(&f, META_CONFIG)->whole);
	ck_assert(open_call(&f, META_UPSTREAMS)->whole);
	answer_call(old, META_OK, meta_version(1, 91), 1);
	ck_assert_uint_eq(f.rows[META_UPSTREAMS], 1);
	answer_call(open_call(&f, META_UPSTREAMS), META_OK, meta_version(2, 70), 1);
	ck_assert(f.last_whole && f.last_restored && watch_was_restored(f.watch));
	ck_assert_uint_eq(watch_version(f.watch, META_UPSTREAMS), meta_version(2, 70));
	ck_assert_uint_eq(watch_newest_row(f.watch, META_UPSTREAMS), meta_version(2, 70));
	unit_run_for(f.loop, 400);
	answer_call(open_call(&f, META_UPSTREAMS), META_OK, meta_version(2, 71), 1);
	ck_assert(!f.last_restored);
	teardown(&f);
}
END_TEST

/*
 * Guards against a gateway that keeps the tables from before a restore since the counter of the
 * store has gone back, or takes them from a peer that has not seen the restore.
 */
START_TEST(copies_of_a_restored_store_replace_older_ones)
{
	static struct fixture f;

	setup(&f);
	answer_call(open_call(&f, META_CONFIG), META_OK, meta_version(1, 90), 1);
	watch_set_passive(f.watch, true);
	ck_assert_int_eq(apply_changes(&f, meta_version(1, 90), meta_version(2, 70)),
			 WATCH_APPLIED);
	ck_assert(f.last_restored);
	ck_assert_int_eq(apply_changes(&f, meta_version(1, 90), meta_version(1, 95)), WATCH_UNUSED);
	ck_assert_int_eq(apply_changes(&f, meta_version(2, 70), meta_version(2, 71)),
			 WATCH_APPLIED);
	ck_assert(!f.last_restored);
	/* A store that answers as before the restore counts as one that does not answer. */
	watch_set_passive(f.watch, false);
	ck_assert(unit_run_until(f.loop, has_config_call, &f));
	answer_call(open_call(&f, META_CONFIG), META_OK, meta_version(1, 96), 1);
	ck_assert_uint_eq(watch_version(f.watch, META_CONFIG), meta_version(2, 71));
	ck_assert(!watch_store_ok(f.watch));
	teardown(&f);
}
END_TEST

/*
 * An answer that was on its way for long has older rows than a copy that was applied meanwhile.
 * Guards against rows that it undoes for good: the next call asks for later changes only.
 */
START_TEST(late_answer_does_not_undo_a_copy)
{
	static struct fixture f;
	struct pending *late;

	setup(&f);
	answer_call(open_call(&f, META_CONFIG), META_OK, 10, 1);
	ck_assert(unit_run_until(f.loop, has_config_call, &f));
	answer_call(open_call(&f, META_CONFIG), META_REFUSED, 0, 0);
	ck_assert(unit_run_until(f.loop, has_config_call, &f));
	late = open_call(&f, META_CONFIG);
	ck_assert_int_eq(apply_changes(&f, 10, 12), WATCH_APPLIED);
	ck_assert_uint_eq(f.rows[META_CONFIG], 2);
	answer_call(late, META_OK, 11, 1);
	ck_assert_uint_eq(f.rows[META_CONFIG], 2);
	ck_assert(watch_store_ok(f.watch));
	ck_assert(unit_run_until(f.loop, has_config_call, &f));
	ck_assert_uint_eq(open_call(&f, META_CONFIG)->after, 12);
	teardown(&f);
}
END_TEST

/*
 * While one table probes a failing store, a copy of another one shows that the store was restored.
 * Guards against a gateway that never calls the store again, since it awaits the answer to a probe
 * that it has given up.
 */
START_TEST(store_is_probed_after_a_restore_that_a_peer_told)
{
	static struct fixture f;
	struct meta_answer answer = {.status = META_OK, .version = meta_version(2, 70)};
	struct watch_copy copy = {.answer = &answer};
	enum meta_table probing;
	size_t calls;

	setup(&f);
	answer_call(open_call(&f, META_CONFIG), META_OK, meta_version(1, 90), 1);
	answer_call(open_call(&f, META_UPSTREAMS), META_OK, meta_version(1, 90), 1);
	answer_call(open_call(&f, META_ROUTERS), META_OK, meta_version(1, 90), 0);
	unit_run_for(f.loop, 400);
	for (size_t i = 0; i < f.meta.n; i++) {
		if (!f.meta.calls[i].answered)
			answer_call(&f.meta.calls[i], META_REFUSED, 0, 0);
	}
	ck_assert(unit_run_until(f.loop, has_open_call, &f));
	calls = f.meta.n;
	probing = f.meta.calls[calls - 1].table;
	ck_assert_int_eq(watch_apply_copy(f.watch,
					  probing == META_CONFIG ? META_UPSTREAMS : META_CONFIG,
					  &copy),
			 WATCH_APPLIED);
	unit_run_for(f.loop, 2000);
	ck_assert_uint_gt(f.meta.n, calls);
	teardown(&f);
}
END_TEST

static const char *const mutants[] = {"watch_undo_copy",
				      "watch_keep_probe",
				      "watch_ignore_gap",
				      "watch_wait_first",
				      "watch_ignore_restore",
				      "watch_replace_again",
				      NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, late_answer_does_not_undo_a_copy);
	tcase_add_test(tc, store_is_probed_after_a_restore_that_a_peer_told);
	tcase_add_test(tc, whole_table_then_changes);
	tcase_add_test(tc, trimmed_history_is_read_whole);
	tcase_add_test(tc, one_call_probes_a_refusing_store);
	tcase_add_test(tc, each_table_recovers_from_an_outage);
	tcase_add_test(tc, hanging_call_is_replaced);
	tcase_add_test(tc, large_answer_after_a_replaced_call_is_awaited);
	tcase_add_test(tc, copies_are_used_without_the_store);
	tcase_add_test(tc, passive_watch_applies_changes);
	tcase_add_test(tc, active_watch_continues_from_copies);
	tcase_add_test(tc, first_call_of_active_watch_is_answered_at_once);
	tcase_add_test(tc, restored_store_is_read_again);
	tcase_add_test(tc, copies_of_a_restored_store_replace_older_ones);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "watch", mutants, add_tests);
}
