/* Tests of the copies of tables that gateways send each other, without connections. */
#include <stdlib.h>
#include <time.h>

#include "process/gateway_priv.h"
#include "test/unit.h"
#include "test/unit_loop.h"

static void store_read(struct meta *m, enum meta_table table, meta_cb cb, void *data)
{
}

static void store_watch(struct meta *m, enum meta_table table, uint64_t after, clk_ms wait,
			meta_cb cb, void *data)
{
}

static const struct meta_driver driver = {.read = store_read, .watch = store_watch};

static void ignore_rows(void *data, enum meta_table table, const struct watch_rows *rows)
{
}

/* What the last copy says. */
static struct {
	size_t copies;
	bool whole;
	bool names_b;
	bool ends_b; /* it says that the row "b" was deleted */
	size_t requests;
	uint64_t last_request_to;
	uint64_t last_request_have;
} sent;

/* Stand for gateway_peer.c. */
bool gateway_send(void *gateway, uint64_t node, Bc__Frame *frame)
{
	const Bc__TableCopy *copy = frame->table_copy;

	if (frame->body_case == BC__FRAME__BODY_TABLE_GET) {
		sent.requests++;
		sent.last_request_to = node;
		sent.last_request_have = frame->table_get->have;
		return true;
	}
	sent.copies++;
	sent.whole = !copy->since;
	sent.names_b = false;
	sent.ends_b = false;
	for (size_t i = 0; i < copy->n_rows; i++) {
		if (strcmp(copy->rows[i]->key, "b") != 0)
			continue;
		sent.names_b = true;
		sent.ends_b = copy->rows[i]->deleted;
	}
	return true;
}

void gateway_send_heartbeat(struct gateway *g, bool all_regions)
{
}

uint32_t gateway_min_role_cpu(const struct gateway *g, const char *region)
{
	return 0;
}

bool gateway_shardmgr_lacks_store(const struct gateway *g)
{
	return false;
}

bool gateway_in_same_region(const struct gateway *g, const struct gateway_peer *p)
{
	return true;
}

void gateway_on_router_rows(struct gateway *g, const struct meta_answer *answer)
{
}

void gateway_limits_configure(struct gateway *gateway)
{
}

void gateway_configure_service(struct gateway *g, const struct topo_service *service)
{
}

static void ignore_upstream(void *data, struct fleet_upstream *u)
{
}

/* The value of a registration is "d" if the upstream drains; its sequence is that of the test. */
static uint64_t sequence;
static bool registration(struct arena *a, const struct meta_row *row, struct fleet_info *out,
			 struct err *err)
{
	*out = (struct fleet_info){
		.id = row->key,
		.service = STR_LIT("s"),
		.ip = "127.0.0.1",
		.port = 1,
		.failure_domain = STR_LIT("d"),
		.slots = 1,
		.started = 1,
		.sequence = sequence,
		.draining = str_eq_cstr(row->value, "d"),
	};
	return true;
}

static bool is_config(struct str key)
{
	return false;
}

static bool is_evacuation(struct str key, struct str *failure_domain)
{
	*failure_domain = key;
	return true;
}

static const struct platform platform = {
	.registration = registration,
	.is_config = is_config,
	.is_evacuation = is_evacuation,
};

static struct gateway *setup(void)
{
	static const struct watch_handlers handlers = {ignore_rows};
	static const struct fleet_handlers fleet_handlers = {ignore_upstream, ignore_upstream};
	struct gateway *g = calloc(1, sizeof(*g));

	ck_assert_ptr_nonnull(g);
	g->loop = h2o_evloop_create();
	g->watch = watch_create(g->loop, &driver, NULL, &handlers, g);
	watch_set_passive(g->watch, true);
	g->platform = &platform;
	g->fleet = fleet_create(&fleet_handlers, g);
	return g;
}

static void teardown(struct gateway *g)
{
	gateway_tables_close(g);
	fleet_destroy(g->fleet);
	watch_destroy(g->watch);
	timer_destroy_loop(g->loop);
	free(g);
}

/* The gateway reads the whole table, which has the row "a" alone. */
static void read_a(struct gateway *g, uint64_t version, bool restored)
{
	struct meta_row row = {.key = STR_LIT("a"), .value = STR_LIT("v"), .version = version};
	struct meta_answer a = {.status = META_OK, .version = version, .rows = &row, .n_rows = 1};
	struct watch_rows rows = {.whole = true, .restored = restored, .answer = &a};

	gateway_cache_rows(g, META_UPSTREAMS, &rows);
}

/*
 * A peer has a row "b" that this gateway never read, and a restored store lacks it. Guards against
 * a copy from which the peer cannot see that the row is gone.
 */
START_TEST(copy_after_a_restore_shows_rows_that_are_gone)
{
	struct gateway *g = setup();
	Bc__TableGet get = BC__TABLE_GET__INIT;

	read_a(g, meta_version(1, 10), false);
	read_a(g, meta_version(2, 5), true);
	get.table = META_UPSTREAMS;
	get.have = meta_version(1, 20);
	gateway_send_copy(g, 1, &get);
	ck_assert_uint_eq(sent.copies, 1);
	ck_assert(sent.whole || sent.names_b);
	teardown(g);
}
END_TEST

/*
 * Guards against a gateway that a restored store lacks, and that cannot write its row again since
 * it is cut off from the store: peers that get their table from this one must not lose it.
 */
START_TEST(gateway_that_a_restored_store_lacks_stays_in_copies)
{
	struct gateway *g = setup();
	struct meta_row rows[] = {
		{.key = STR_LIT("a"), .value = STR_LIT("v"), .version = meta_version(1, 9)},
		{.key = STR_LIT("b"), .value = STR_LIT("v"), .version = meta_version(1, 10)},
	};
	struct meta_answer both = {META_OK, meta_version(1, 10), rows, 2};
	struct meta_answer one = {META_OK, meta_version(2, 5), rows, 1};
	struct meta_answer later = {META_OK, meta_version(2, 8), rows, 1};
	struct watch_rows read = {.whole = true, .answer = &both};
	Bc__TableGet get = BC__TABLE_GET__INIT;

	gateway_cache_rows(g, META_ROUTERS, &read);
	read = (struct watch_rows){.whole = true, .restored = true, .answer = &one};
	rows[0].version = meta_version(2, 4);
	gateway_cache_rows(g, META_ROUTERS, &read);
	get.table = META_ROUTERS;
	gateway_send_copy(g, 1, &get);
	ck_assert(sent.whole && sent.names_b && !sent.ends_b);
	/* The store trims its history, and the table is read whole again. */
	read = (struct watch_rows){.whole = true, .answer = &later};
	gateway_cache_rows(g, META_ROUTERS, &read);
	get.have = meta_version(2, 5);
	gateway_send_copy(g, 1, &get);
	ck_assert(!sent.ends_b);
	teardown(g);
}
END_TEST

#define LARGE_TABLE_ROWS 12000
/* CPU time; with a comparison of all rows with each other it is some seconds. */
#define LARGE_TABLE_MAX_MS 1000

/* Guards against a gateway that stands still while it looks for the rows that a whole read lacks.
 */
START_TEST(whole_read_of_a_large_table_takes_no_seconds)
{
	static struct meta_row rows[LARGE_TABLE_ROWS];
	static char keys[LARGE_TABLE_ROWS][16];
	struct gateway *g = setup();
	struct meta_answer a = {META_OK, 9, rows, LARGE_TABLE_ROWS};
	struct watch_rows read = {.whole = true, .answer = &a};
	clock_t before;
	struct gateway_row *r;

	for (size_t i = 0; i < LARGE_TABLE_ROWS; i++) {
		snprintf(keys[i], sizeof(keys[i]), "upstream-%zu", i);
		rows[i] = (struct meta_row){str_from(keys[i]), STR_LIT("v"), 9, false};
	}
	gateway_cache_rows(g, META_UPSTREAMS, &read);
	/* The first row is gone. */
	a = (struct meta_answer){META_OK, 10, rows + 1, LARGE_TABLE_ROWS - 1};
	before = clock();
	gateway_cache_rows(g, META_UPSTREAMS, &read);
	ck_assert_int_lt((clock() - before) * 1000 / CLOCKS_PER_SEC, LARGE_TABLE_MAX_MS);
	ck_assert_uint_eq(g->n_deleted[META_UPSTREAMS], 1);
	HASH_FIND_STR(g->rows[META_UPSTREAMS], keys[0], r);
	ck_assert(r && r->deleted && r->version == 10);
	teardown(g);
}
END_TEST

/* The whole table of upstreams is read: "u" alone, as of a sequence of its registration. */
static void read_u(struct gateway *g, const char *value, uint64_t row_sequence, uint64_t version,
		   bool restored)
{
	struct meta_row row = {.key = STR_LIT("u"), .value = str_from(value), .version = version};
	struct meta_answer a = {
		.status = META_OK, .version = version + 1, .rows = &row, .n_rows = 1};
	struct watch_rows rows = {.whole = true, .restored = restored, .answer = &a};

	sequence = row_sequence;
	gateway_on_rows(g, META_UPSTREAMS, &rows);
}

/*
 * Guards against a draining upstream that becomes ready again when the table of a restored store is
 * read whole a second time, before the upstream has written its row again.
 */
START_TEST(outdated_row_is_not_taken_from_a_second_read)
{
	struct gateway *g = setup();
	struct fleet_upstream *u;

	read_u(g, "d", 9, meta_version(1, 10), false);
	u = fleet_find(g->fleet, fleet_num(STR_LIT("u")));
	ck_assert(u && u->draining);
	read_u(g, "r", 5, meta_version(2, 5), true);
	ck_assert(u->draining);
	read_u(g, "r", 5, meta_version(2, 5), false);
	ck_assert(u->draining);
	read_u(g, "r", 10, meta_version(2, 8), false);
	ck_assert(!u->draining);
	teardown(g);
}
END_TEST

/* The whole table of operators is read: with the evacuation of "d", or empty. */
static void read_evacuation(struct gateway *g, bool present, uint64_t version, bool restored)
{
	struct meta_row row = {.key = STR_LIT("d"), .value = STR_LIT("{}"), .version = version};
	struct meta_answer a = {
		.status = META_OK, .version = version, .rows = &row, .n_rows = present};
	struct watch_rows rows = {.whole = true, .restored = restored, .answer = &a};

	gateway_on_rows(g, META_CONFIG, &rows);
}

static void store_answers(struct gateway *g)
{
	watch_record_answer(g->watch, &(struct meta_answer){.status = META_OK});
}

/*
 * Guards against an evacuation that ends since the store is restored again before operators have
 * written it again. It ends when nobody does in time, and further reads do not keep it.
 */
START_TEST(evacuation_that_is_lost_twice_keeps_its_time)
{
	struct gateway *g = setup();
	clk_ms first_end;
	clk_ms second_end;

	read_evacuation(g, true, meta_version(1, 9), false);
	ck_assert_int_eq(g->evacuated->ends_at, CLK_NEVER);
	read_evacuation(g, false, meta_version(2, 5), true);
	first_end = g->evacuated->ends_at;
	unit_run_for(g->loop, 30);
	read_evacuation(g, false, meta_version(2, 6), false);
	ck_assert_int_eq(g->evacuated->ends_at, first_end);
	read_evacuation(g, false, meta_version(3, 5), true);
	second_end = g->evacuated->ends_at;
	ck_assert_int_gt(second_end, first_end);
	/* The store has answered since, so far as the end is past. */
	store_answers(g);
	gateway_end_lost(g, first_end);
	ck_assert_ptr_nonnull(g->evacuated);
	g->evacuated->ends_at = clk_now();
	store_answers(g);
	gateway_end_lost(g, clk_now());
	gateway_end_lost(g, clk_now() + FLEET_ANSWER_KNOWN_MS);
	ck_assert_ptr_null(g->evacuated);
	teardown(g);
}
END_TEST

/*
 * Guards against an evacuation that ends since a restored store lacks it and does not answer again
 * before operators can write it.
 */
START_TEST(lost_evacuation_stays_while_the_store_is_silent)
{
	struct gateway *g = setup();

	read_evacuation(g, true, meta_version(1, 9), false);
	read_evacuation(g, false, meta_version(2, 5), true);
	store_answers(g);
	gateway_end_lost(g, g->evacuated->ends_at + 1000);
	ck_assert_ptr_nonnull(g->evacuated);
	ck_assert(g->awaits_lost);
	g->evacuated->ends_at = clk_now();
	store_answers(g);
	/* An answer alone does not show what else the store says now. */
	gateway_end_lost(g, clk_now());
	ck_assert_ptr_nonnull(g->evacuated);
	gateway_end_lost(g, clk_now() + FLEET_ANSWER_KNOWN_MS);
	ck_assert_ptr_null(g->evacuated);
	ck_assert(!g->awaits_lost);
	teardown(g);
}
END_TEST

/* A copy of the table of operators arrives, with a configuration. */
static void receive_config(struct gateway *g, uint64_t version)
{
	struct meta_row row = {.key = STR_LIT("c"), .value = STR_LIT("v"), .version = version};
	struct meta_answer a = {.status = META_OK, .version = version, .rows = &row, .n_rows = 1};
	struct watch_copy copy = {.answer = &a};

	ck_assert_int_eq(watch_apply_copy(g->watch, META_CONFIG, &copy), WATCH_APPLIED);
}

/*
 * Guards against as many requests for a configuration as there are pairs of gateways that start
 * together while the store has all of it, and against a gateway that does not request it although
 * the store is restored soon after its start.
 */
START_TEST(configuration_is_requested_only_after_a_restore)
{
	struct gateway *g = setup();
	struct gateway_peer first = {.node = 1};
	struct gateway_peer second = {.node = 2};

	memset(&sent, 0, sizeof(sent));
	g->started = clk_now();
	HASH_ADD(hh, g->peer_states, node, sizeof(first.node), &first);
	gateway_request_config(g, g->started);
	ck_assert_uint_eq(sent.requests, 0);
	receive_config(g, meta_version(META_FIRST_ERA, 9));
	gateway_request_config(g, g->started + 100);
	ck_assert_uint_eq(sent.requests, 0);
	receive_config(g, meta_version(META_FIRST_ERA + 1, 5));
	gateway_request_config(g, g->started + 200);
	ck_assert_uint_eq(sent.requests, 1);
	ck_assert_uint_eq(sent.last_request_to, 1);
	HASH_ADD(hh, g->peer_states, node, sizeof(second.node), &second);
	gateway_request_config(g, g->started + 300);
	gateway_request_config(g, g->started + 400);
	ck_assert_uint_eq(sent.requests, 2);
	ck_assert_uint_eq(sent.last_request_to, 2);
	HASH_CLEAR(hh, g->peer_states);
	teardown(g);
}
END_TEST

/*
 * Guards against a gateway that takes an older configuration when the store is restored once more
 * soon after its start, since it asked its peers only for what the restore before had lost.
 */
START_TEST(configuration_is_requested_again_after_each_restore)
{
	struct gateway *g = setup();
	struct gateway_peer peer = {.node = 1};

	memset(&sent, 0, sizeof(sent));
	g->started = clk_now();
	HASH_ADD(hh, g->peer_states, node, sizeof(peer.node), &peer);
	receive_config(g, meta_version(META_FIRST_ERA + 1, 9));
	gateway_request_config(g, g->started + 100);
	ck_assert_uint_eq(sent.requests, 1);
	receive_config(g, meta_version(META_FIRST_ERA + 1, 10));
	gateway_request_config(g, g->started + 200);
	ck_assert_uint_eq(sent.requests, 1);
	receive_config(g, meta_version(META_FIRST_ERA + 2, 5));
	gateway_request_config(g, g->started + 300);
	gateway_request_config(g, g->started + 400);
	ck_assert_uint_eq(sent.requests, 2);
	ck_assert_uint_eq(sent.last_request_have, meta_version(META_FIRST_ERA + 2, 5));
	HASH_CLEAR(hh, g->peer_states);
	teardown(g);
}
END_TEST

static const char *const mutants[] = {
	"table_keep_history",	 "gateway_reread_outdated",   "gateway_lose_once",
	"gateway_end_unseen",	 "gateway_drop_lost_routers", "gateway_ask_always",
	"gateway_ask_no_config", "gateway_ask_once",	      NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, copy_after_a_restore_shows_rows_that_are_gone);
	tcase_add_test(tc, gateway_that_a_restored_store_lacks_stays_in_copies);
	tcase_add_test(tc, whole_read_of_a_large_table_takes_no_seconds);
	tcase_add_test(tc, outdated_row_is_not_taken_from_a_second_read);
	tcase_add_test(tc, lost_evacuation_stays_while_the_store_is_silent);
	tcase_add_test(tc, evacuation_that_is_lost_twice_keeps_its_time);
	tcase_add_test(tc, configuration_is_requested_only_after_a_restore);
	tcase_add_test(tc, configuration_is_requested_again_after_each_restore);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "tables", mutants, add_tests);
}
