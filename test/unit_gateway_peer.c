/*
 * What a gateway knows of the other ones, with a real connection to one: whether a former shard
 * manager has ended, and whether most hubs are heard.
 */
#include <stdlib.h>

#include "process/gateway_priv.h"
#include "test/unit.h"
#include "test/unit_loop.h"

#define PEER_NODE 2
#define SERVICE "s"
#define TERM 5
#define MAP_VERSION 3
#define ASKED_MS 777 /* clock of the shard manager in its heartbeat */
/* Time for what was sent to be read by the other side. */
#define SETTLE_MS 50

#define OWN_IP unit_ip_of(0)
#define PEER_IP unit_ip_of(1)

static void store_read(struct meta *m, enum meta_table table, meta_cb cb, void *data)
{
}

static void store_watch(struct meta *m, enum meta_table table, uint64_t after, clk_ms wait,
			meta_cb cb, void *data)
{
}

static const struct meta_driver driver = {.read = store_read, .watch = store_watch};
static const struct platform platform = {.store = &driver, .key_space = 1024};

static void ignore_rows(void *data, enum meta_table table, const struct watch_rows *rows)
{
}

static void ignore_owners(void *data, const char *service)
{
}

/* A gateway with a copy of the map of one service, and its peer, the shard manager of it. */
struct fixture {
	struct gateway g;
	struct gateway_service service;
	struct peer_set *peer;
	struct hlc peer_hlc;
	uint32_t peer_port;
	bool peer_has_store;
	uint32_t mark;	       /* of the last heartbeat that the peer sent */
	Bc__Pulse told;	       /* last heartbeat that the peer got */
	uint64_t told_follows; /* term in that heartbeat */
	uint64_t told_term;    /* of the last map that the peer got */
	size_t told_ranges;
};

static void on_peer_frame(void *data, const struct peer_info *from, const Bc__Frame *frame)
{
	struct fixture *f = data;

	if (frame->body_case == BC__FRAME__BODY_KEY_MAP) {
		f->told_term = frame->key_map->term;
		f->told_ranges = frame->key_map->n_ranges;
	}
	if (frame->body_case != BC__FRAME__BODY_PULSE)
		return;
	f->told.interval_ms = frame->pulse->interval_ms;
	f->told.store_era = frame->pulse->store_era;
	f->told.echo_ms = frame->pulse->echo_ms;
	f->told_follows = frame->pulse->n_follows ? frame->pulse->follows[0]->term : 0;
}

static void ignore_peer(void *data, const struct peer_info *peer)
{
}

static struct peer_set *start_peer(struct fixture *f)
{
	static const struct peer_handlers handlers = {on_peer_frame, ignore_peer, ignore_peer};
	Bc__Hello hello = BC__HELLO__INIT;
	struct err err = {0};
	struct peer_set *set;

	f->peer_port = unit_free_port(PEER_IP);
	hello.id = "b";
	hello.incarnation = "1";
	hello.region = "r1";
	hello.failure_domain = "d1";
	hello.ip = PEER_IP;
	hello.peer_port = f->peer_port;
	hello.caller_port = 1;
	hello.operator_port = 2;
	set = peer_set_create(f->g.loop, &hello, PEER_NODE, &f->peer_hlc, &handlers, f, &err);
	ck_assert_msg(set != NULL, "%s", err.msg);
	return set;
}

static struct fixture *setup(void)
{
	static const struct watch_handlers handlers = {ignore_rows};
	struct fixture *f = calloc(1, sizeof(*f));
	struct gateway *g = &f->g;
	struct gateway_service *s = &f->service;
	struct shardmgr_env env = {.platform = &platform, .on_owners = ignore_owners};
	struct slots_env slots_env = {0};
	struct err err = {0};

	ck_assert_ptr_nonnull(f);
	g->loop = h2o_evloop_create();
	g->platform = &platform;
	g->node = 1;
	g->is_hub = true;
	snprintf(g->id, sizeof(g->id), "a");
	g->settings.region = STR_LIT("r1");
	g->settings.failure_domain = STR_LIT("d1");
	g->settings.cpu_millis = 1000;
	snprintf(g->settings.peers.ip, sizeof(g->settings.peers.ip), "%s", OWN_IP);
	g->settings.peers.port = unit_free_port(OWN_IP);
	g->settings.callers.port = 1;
	g->settings.ready.port = 2;
	g->watch = watch_create(g->loop, &driver, NULL, &handlers, g);
	watch_set_passive(g->watch, true);
	slots_env.loop = g->loop;
	g->slots = slots_create(&slots_env);
	g->have_upstreams = true;
	snprintf(s->name, sizeof(s->name), SERVICE);
	s->id = str_hash(STR_LIT(SERVICE));
	env.loop = g->loop;
	env.watch = g->watch;
	env.data = g;
	s->shardmgr = shardmgr_create(&env, SERVICE);
	HASH_ADD(hh, g->services, id, sizeof(s->id), s);
	ck_assert_msg(gateway_peers_open(g, &err), "%s", err.msg);
	return f;
}

static void teardown(struct fixture *f)
{
	struct gateway *g = &f->g;

	peer_set_destroy(f->peer);
	HASH_CLEAR(hh, g->members);
	gateway_peers_close(g);
	HASH_CLEAR(hh, g->services);
	shardmgr_destroy(f->service.shardmgr);
	voters_clear(&f->service.voters);
	slots_destroy(g->slots);
	watch_destroy(g->watch);
	timer_destroy_loop(g->loop);
	free(f);
}

static bool is_connected(void *data)
{
	struct fixture *f = data;

	return gateway_find_peer(&f->g, PEER_NODE) && peer_find(f->peer, f->g.node);
}

static bool is_down(void *data)
{
	return !gateway_find_peer(&((struct fixture *)data)->g, PEER_NODE);
}

static bool is_refused(void *data)
{
	struct fixture *f = data;

	return peer_refused_since(f->g.peers, PEER_IP, f->peer_port) != 0;
}

static bool is_shardmgr(void *data)
{
	struct fixture *f = data;

	return gateway_find_shardmgr(&f->g, f->service.id, clk_now()) != NULL;
}

static bool has_all_maps(struct fixture *f)
{
	return gateway_has_all_maps(&f->g, SERVICE, TERM);
}

/*
 * The peer connects and is shard manager. It sends its map, names `version` as the newest, and says
 * whether it is `unsure` of its role.
 */
static void connect_shardmgr(struct fixture *f, uint64_t version, bool unsure)
{
	struct keymap map = {.term = TERM, .version = MAP_VERSION};
	struct arena arena = ARENA_INIT;
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Pulse pulse = BC__PULSE__INIT;
	Bc__KeeperTerm term = BC__KEEPER_TERM__INIT;
	Bc__KeeperTerm *terms[] = {&term};

	f->peer = start_peer(f);
	peer_add_address(f->g.peers, PEER_IP, f->peer_port);
	ck_assert(unit_run_until(f->g.loop, is_connected, f));
	keymap_add(&map, 0, platform.key_space - 1, 1);
	frame.body_case = BC__FRAME__BODY_KEY_MAP;
	frame.key_map = keymap_pack(&arena, SERVICE, &map, &map, 0);
	ck_assert(peer_send(f->peer, f->g.node, &frame));
	arena_free(&arena);
	keymap_free(&map);
	frame = (Bc__Frame)BC__FRAME__INIT;
	term.service = SERVICE;
	term.term = TERM;
	term.version = version;
	term.unsure = unsure;
	pulse.store_ok = f->peer_has_store;
	pulse.sent_ms = ASKED_MS;
	pulse.keeper = terms;
	pulse.n_keeper = 1;
	frame.body_case = BC__FRAME__BODY_PULSE;
	frame.pulse = &pulse;
	ck_assert(peer_send(f->peer, f->g.node, &frame));
	ck_assert(unit_run_until(f->g.loop, is_shardmgr, f));
	/* It reads all that it was sent, since its close is a reset otherwise. */
	unit_run_for(f->g.loop, SETTLE_MS);
}

static void end_peer(struct fixture *f)
{
	peer_set_destroy(f->peer);
	f->peer = NULL;
}

/* Lets the gateway see that the address of the peer refuses connections. */
static void see_refusal(struct fixture *f)
{
	ck_assert(unit_run_until(f->g.loop, is_refused, f));
	gateway_elect(&f->g, clk_now());
}

/*
 * Guards against a successor that waits for all leases although the last shard manager has ended
 * and its last map is known, and against one that takes a close alone for the end.
 */
START_TEST(shard_manager_that_ended_is_known_to_have)
{
	struct fixture *f = setup();

	connect_shardmgr(f, MAP_VERSION, false);
	ck_assert(has_all_maps(f));
	ck_assert(!gateway_has_all_maps(&f->g, SERVICE, TERM - 1));
	end_peer(f);
	ck_assert(unit_run_until(f->g.loop, is_down, f));
	ck_assert(!has_all_maps(f));
	see_refusal(f);
	ck_assert(has_all_maps(f));
	ck_assert(!gateway_has_all_maps(&f->g, SERVICE, TERM - 1));
	ck_assert(!gateway_has_all_maps(&f->g, SERVICE, TERM + 1));
	teardown(f);
}
END_TEST

/*
 * Guards against a shard manager that cannot act without the store, or waits before it moves keys,
 * since its first heartbeat is not answered, or not as an answer to that one.
 */
START_TEST(first_heartbeat_of_a_shard_manager_is_answered_at_once)
{
	struct fixture *f = setup();

	connect_shardmgr(f, MAP_VERSION, false);
	ck_assert_uint_eq(f->told_follows, TERM);
	ck_assert_uint_eq(f->told.echo_ms, ASKED_MS);
	teardown(f);
}
END_TEST

/* Guards against a successor that uses a map which lacks the last moves of the former one. */
START_TEST(end_of_a_shard_manager_with_a_newer_map_does_not_count)
{
	struct fixture *f = setup();

	connect_shardmgr(f, MAP_VERSION + 1, false);
	ck_assert(!has_all_maps(f));
	end_peer(f);
	ck_assert(unit_run_until(f->g.loop, is_down, f));
	see_refusal(f);
	ck_assert(!has_all_maps(f));
	teardown(f);
}
END_TEST

/*
 * Guards against a successor that uses the map of a shard manager which was replaced without its
 * knowledge: the replacement may have moved keys, and a restored store has lost that.
 */
START_TEST(map_of_a_shard_manager_that_is_unsure_does_not_count)
{
	struct fixture *f = setup();

	connect_shardmgr(f, MAP_VERSION, true);
	ck_assert(!has_all_maps(f));
	end_peer(f);
	ck_assert(unit_run_until(f->g.loop, is_down, f));
	see_refusal(f);
	ck_assert(!has_all_maps(f));
	teardown(f);
}
END_TEST

/* Guards against a shard manager that counts as ended although this side closed the connection. */
START_TEST(connection_closed_here_does_not_show_an_end)
{
	struct fixture *f = setup();

	connect_shardmgr(f, MAP_VERSION, false);
	peer_remove_address(f->g.peers, PEER_IP, f->peer_port);
	ck_assert(unit_run_until(f->g.loop, is_down, f));
	end_peer(f);
	peer_add_address(f->g.peers, PEER_IP, f->peer_port);
	see_refusal(f);
	ck_assert(!has_all_maps(f));
	teardown(f);
}
END_TEST

static bool has_heartbeat(void *data)
{
	struct fixture *f = data;

	return gateway_find_peer(&f->g, PEER_NODE)->store_ms == f->mark;
}

/* The peer says in a heartbeat when the store last answered it, and in which era. */
static void tell_answer(struct fixture *f, uint32_t age_ms, uint64_t era)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Pulse pulse = BC__PULSE__INIT;

	pulse.store_ms = ++f->mark;
	pulse.store_age_ms = age_ms;
	pulse.store_era = era;
	frame.body_case = BC__FRAME__BODY_PULSE;
	frame.pulse = &pulse;
	ck_assert(peer_send(f->peer, f->g.node, &frame));
	ck_assert(unit_run_until(f->g.loop, has_heartbeat, f));
}

/*
 * Guards against a shard manager that gives its role up in a restored store since a gateway which
 * has just started seems to have had an answer, or one of the new era, before the restore.
 */
START_TEST(answers_to_others_are_known_with_their_era)
{
	struct fixture *f = setup();
	clk_ms before;

	connect_shardmgr(f, MAP_VERSION, false);
	tell_answer(f, 0, 0);
	ck_assert_int_eq(gateway_others_answered_at(&f->g, 2), 0);
	tell_answer(f, 0, META_MAX_ERA + 1ULL);
	ck_assert_int_eq(gateway_others_answered_at(&f->g, 2), 0);
	tell_answer(f, 1000, 1);
	before = gateway_others_answered_at(&f->g, 2);
	ck_assert_int_gt(before, 0);
	ck_assert_int_le(before, clk_now() - 1000);
	tell_answer(f, 0, 2);
	ck_assert_int_eq(gateway_others_answered_at(&f->g, 2), before);
	ck_assert_int_gt(gateway_others_answered_at(&f->g, 3), before);
	teardown(f);
}
END_TEST

/*
 * Guards against gateways whose calls wait in the store for long while a shard manager has to know
 * whether the store answers others.
 */
START_TEST(shard_manager_without_its_store_is_known)
{
	struct fixture *f = setup();

	ck_assert(!gateway_shardmgr_lacks_store(&f->g));
	connect_shardmgr(f, MAP_VERSION, false);
	ck_assert(gateway_shardmgr_lacks_store(&f->g));
	teardown(f);
	f = setup();
	f->peer_has_store = true;
	connect_shardmgr(f, MAP_VERSION, false);
	ck_assert(!gateway_shardmgr_lacks_store(&f->g));
	teardown(f);
}
END_TEST

static bool term_was_told(void *data)
{
	return ((struct fixture *)data)->told_term != 0;
}

/*
 * Guards against a shard manager that keeps its role since its successor does not reach it, though
 * others follow that one.
 */
START_TEST(replaced_shard_manager_is_told)
{
	struct fixture *f = setup();
	struct keymap map = {.term = TERM + 1, .version = 1};
	struct arena arena = ARENA_INIT;

	keymap_add(&map, 0, platform.key_space - 1, 1);
	ck_assert_int_eq(shardmgr_apply_map(f->service.shardmgr,
					    keymap_pack(&arena, SERVICE, &map, &map, 0)),
			 KEYMAP_APPLIED);
	arena_free(&arena);
	keymap_free(&map);
	connect_shardmgr(f, MAP_VERSION, false);
	ck_assert(unit_run_until(f->g.loop, term_was_told, f));
	ck_assert_uint_eq(f->told_term, TERM + 1);
	ck_assert_uint_eq(f->told_ranges, 0);
	teardown(f);
}
END_TEST

/* Guards against the same message to a shard manager that is the last one. */
START_TEST(last_shard_manager_is_told_nothing)
{
	struct fixture *f = setup();

	connect_shardmgr(f, MAP_VERSION, false);
	unit_run_for(f->g.loop, SETTLE_MS);
	ck_assert_uint_eq(f->told_term, 0);
	teardown(f);
}
END_TEST

static bool was_told(void *data)
{
	return ((struct fixture *)data)->told.interval_ms != 0;
}

/* Sends a heartbeat, and returns the era that it names. */
static uint64_t told_era(struct fixture *f)
{
	f->told = (Bc__Pulse)BC__PULSE__INIT;
	gateway_send_heartbeat(&f->g, true);
	ck_assert(unit_run_until(f->g.loop, was_told, f));
	return f->told.store_era;
}

/* The same for what a gateway says of its own answers. */
START_TEST(own_answers_are_told_with_their_era)
{
	struct fixture *f = setup();
	struct meta_answer answer = {.status = META_OK, .version = meta_version(1, 9)};

	connect_shardmgr(f, MAP_VERSION, false);
	ck_assert_uint_eq(told_era(f), 0);
	watch_record_answer(f->g.watch, &answer);
	ck_assert_uint_eq(told_era(f), 1);
	answer.status = META_REFUSED;
	answer.version = 0;
	watch_record_answer(f->g.watch, &answer);
	ck_assert_uint_eq(told_era(f), 1);
	answer.status = META_CONFLICT;
	answer.version = meta_version(2, 3);
	watch_record_answer(f->g.watch, &answer);
	ck_assert_uint_eq(told_era(f), 2);
	teardown(f);
}
END_TEST

#define MAX_OTHERS 4

/* Other gateways that are registered, and those of them that are connected. */
struct others {
	struct gateway_member members[MAX_OTHERS + 1];
	struct gateway_peer peers[MAX_OTHERS];
};

static void register_gateway(struct gateway *g, struct gateway_member *m, const char *id, bool hub)
{
	*m = (struct gateway_member){.hub = hub};
	snprintf(m->id, sizeof(m->id), "%s", id);
	HASH_ADD_STR(g->members, id, m);
}

/* Registers `n` hubs and as many gateways that are none; `connected` of each are connected. */
static bool hears_most(size_t n, size_t connected, bool is_hub)
{
	struct gateway g = {.is_hub = is_hub, .node = 1, .id = "a"};
	struct others hubs = {0};
	struct others leaves = {0};
	bool result;

	ck_assert_uint_le(n, MAX_OTHERS);
	register_gateway(&g, &hubs.members[MAX_OTHERS], g.id, is_hub);
	for (size_t i = 0; i < n; i++) {
		char id[16];

		snprintf(id, sizeof(id), "hub-%zu", i);
		register_gateway(&g, &hubs.members[i], id, true);
		snprintf(id, sizeof(id), "leaf-%zu", i);
		register_gateway(&g, &leaves.members[i], id, false);
	}
	for (size_t i = 0; i < connected; i++) {
		hubs.peers[i] = (struct gateway_peer){.node = 10 + i, .hub = true};
		leaves.peers[i] = (struct gateway_peer){.node = 20 + i};
		HASH_ADD(hh, g.peer_states, node, sizeof(uint64_t), &hubs.peers[i]);
		HASH_ADD(hh, g.peer_states, node, sizeof(uint64_t), &leaves.peers[i]);
	}
	result = gateway_hears_most(&g);
	HASH_CLEAR(hh, g.members);
	HASH_CLEAR(hh, g.peer_states);
	return result;
}

/*
 * Guards against a shard manager that acts while most hubs may follow another one, and against one
 * that gives its role up while it hears most of them. A gateway counts itself once, as a hub.
 */
START_TEST(most_hubs_are_heard_with_more_than_half)
{
	ck_assert(hears_most(0, 0, true));
	ck_assert(!hears_most(1, 0, true));
	ck_assert(hears_most(1, 1, true));
	ck_assert(!hears_most(2, 0, true));
	ck_assert(hears_most(2, 1, true));
	ck_assert(!hears_most(3, 1, true));
	ck_assert(hears_most(3, 2, true));
	ck_assert(!hears_most(4, 1, true));
	ck_assert(hears_most(4, 2, true));
}
END_TEST

/* The same for a gateway that is no hub itself. */
START_TEST(gateway_that_is_no_hub_counts_as_one)
{
	ck_assert(hears_most(0, 0, false));
	ck_assert(!hears_most(1, 0, false));
	ck_assert(hears_most(2, 1, false));
	ck_assert(!hears_most(3, 1, false));
	ck_assert(hears_most(3, 2, false));
}
END_TEST

static const char *const mutants[] = {
	"gateway_forget_maps",	 "manager_end_any_close", "manager_end_any_maps",
	"gateway_trust_unsure",	 "gateway_count_start",	  "gateway_answer_rarely",
	"gateway_keep_replaced", "gateway_answer_later",  NULL,
};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, first_heartbeat_of_a_shard_manager_is_answered_at_once);
	tcase_add_test(tc, shard_manager_that_ended_is_known_to_have);
	tcase_add_test(tc, end_of_a_shard_manager_with_a_newer_map_does_not_count);
	tcase_add_test(tc, map_of_a_shard_manager_that_is_unsure_does_not_count);
	tcase_add_test(tc, connection_closed_here_does_not_show_an_end);
	tcase_add_test(tc, answers_to_others_are_known_with_their_era);
	tcase_add_test(tc, shard_manager_without_its_store_is_known);
	tcase_add_test(tc, replaced_shard_manager_is_told);
	tcase_add_test(tc, last_shard_manager_is_told_nothing);
	tcase_add_test(tc, own_answers_are_told_with_their_era);
	tcase_add_test(tc, most_hubs_are_heard_with_more_than_half);
	tcase_add_test(tc, gateway_that_is_no_hub_counts_as_one);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "gateway_peer", mutants, add_tests);
}
