/* Tests of the shard manager: leases, moves, succession and an unreliable store. */
#include "base/rnd.h"
#include "test/shardmgr_world.h"

/* Every key gets an owner, and leases are renewed before they expire. */
START_TEST(keys_are_granted_and_renewed)
{
	static struct world w;

	start(&w);
	for (int i = 0; i < 30; i++) {
		unit_run_for(w.loop, LEASE_MS / 10);
		ck_assert(first_mgr_serves_all(&w));
	}
	check_no_violations(&w);
	teardown(&w);
}
END_TEST

/* A draining upstream releases its keys before other upstreams are granted them. */
START_TEST(draining_upstream_releases_keys)
{
	static struct world w;

	start(&w);
	register_upstream(&w, 1, true);
	shardmgr_fleet_changed(w.mgrs[0]);
	ck_assert(unit_run_until(w.loop, u1_has_no_keys, &w));
	check_no_violations(&w);
	teardown(&w);
}
END_TEST

/*
 * An upstream keeps working while new connections to it are refused. Guards against taking the
 * refusal for the end of its process and granting its keys to another upstream before its lease has
 * expired.
 */
START_TEST(unreachable_upstream_keeps_its_lease)
{
	static struct world w;

	start(&w);
	ingress_destroy(w.servers[2].ingress);
	w.servers[2].ingress = NULL;
	unit_run_for(w.loop, LEASE_MS * 3);
	check_no_violations(&w);
	ck_assert(unit_run_until(w.loop, first_mgr_serves_all, &w));
	server_listen(&w.servers[2]);
	unit_run_for(w.loop, LEASE_MS);
	check_no_violations(&w);
	teardown(&w);
}
END_TEST

static size_t keys_of(const struct world *w, const char *id)
{
	size_t n = 0;

	for (uint32_t key = 0; key < KEY_SPACE; key++)
		n += shardmgr_owner(w->mgrs[0], key) == fleet_num(str_from(id));
	return n;
}

static bool u2_has_no_keys(void *data)
{
	return first_mgr_serves_all(data) && keys_of(data, "u2") == 0;
}

static bool u2_has_keys(void *data)
{
	struct world *w = data;

	/* Requests all over the key space give the plan load to balance. */
	for (uint32_t key = 0; key < KEY_SPACE; key += 7)
		shardmgr_record_request(w->mgrs[0], key);
	return first_mgr_serves_all(w) && keys_of(w, "u2") > 0;
}

/*
 * An upstream is unreachable until it has lost all keys, then answers again. Guards against leaving
 * it without keys for good: an upstream without keys gets no calls, so none shows its recovery. By
 * this fault all upstreams of a region stayed idle.
 */
START_TEST(upstream_that_answers_again_gets_keys)
{
	static struct world w;

	start(&w);
	ingress_destroy(w.servers[2].ingress);
	w.servers[2].ingress = NULL;
	ck_assert(unit_run_until(w.loop, u2_has_no_keys, &w));
	server_listen(&w.servers[2]);
	ck_assert(unit_run_until(w.loop, u2_has_keys, &w));
	check_no_violations(&w);
	teardown(&w);
}
END_TEST

/* Replaces the process at an upstream's address by one without leases or known tokens. */
static void replace_process(struct server *s)
{
	ingress_destroy(s->ingress);
	for (uint32_t key = 0; key < KEY_SPACE; key++) {
		if (s->earlier_fence[key] < s->granted_fence[key])
			s->earlier_fence[key] = s->granted_fence[key];
		s->granted_fence[key] = 0;
		s->fence[key] = 0;
		s->until[key] = 0;
	}
	server_listen(s);
}

/*
 * An upstream's process is replaced at its address, without a new registration, while a grant to it
 * is unanswered. Guards against grants to the new process under a fencing token that the old
 * process had.
 */
START_TEST(new_process_gets_new_fences)
{
	static struct world w;

	start(&w);
	for (int round = 0; round < 3; round++) {
		register_upstream(&w, 1, true);
		shardmgr_fleet_changed(w.mgrs[0]);
		ck_assert(unit_run_until(w.loop, u1_has_no_keys, &w));
		register_upstream(&w, 1, false);
		/*
		 * The first grant times out after 600 ms and is retried 250 ms later. The process
		 * is replaced in between, so that the retry reaches the new process.
		 */
		w.servers[1].mute = true;
		shardmgr_fleet_changed(w.mgrs[0]);
		unit_run_for(w.loop, 700);
		replace_process(&w.servers[1]);
		w.servers[1].mute = false;
		unit_run_for(w.loop, LEASE_MS);
		replace_process(&w.servers[2]);
		unit_run_for(w.loop, LEASE_MS);
		check_no_violations(&w);
	}
	ck_assert(unit_run_until(w.loop, first_mgr_serves_all, &w));
	check_no_violations(&w);
	teardown(&w);
}
END_TEST

/*
 * An upstream restarts under its id, and the new process is granted keys before its registration
 * arrives. Guards against moving these keys without a release by the new process, which gave them
 * two owners for 2.9 s.
 */
START_TEST(restarted_upstream_releases_keys)
{
	static struct world w;

	start(&w);
	replace_process(&w.servers[1]);
	unit_run_for(w.loop, LEASE_MS / 2);
	register_process(&w, 1, true, 2);
	shardmgr_fleet_changed(w.mgrs[0]);
	ck_assert(unit_run_until(w.loop, u1_has_no_keys, &w));
	unit_run_for(w.loop, LEASE_MS);
	check_no_violations(&w);
	teardown(&w);
}
END_TEST

/*
 * An upstream ends, and another instance gets its address while the registration is still there:
 * with the store away (0), with its keys about to move (1), and with checks whether it answers
 * again (2). Guards against granting keys to the other instance, which belongs to any service, or
 * making it release some.
 */
START_TEST(other_instance_at_an_address_gets_no_keys)
{
	for (int variant = 0; variant < 3; variant++) {
		static struct world w;
		struct server *s = &w.servers[1];

		start(&w);
		w.agree = true;
		w.meta.down = variant == 0;
		ingress_destroy(s->ingress);
		s->ingress = NULL;
		for (uint32_t key = 0; key < KEY_SPACE; key++)
			s->until[key] = 0;
		unit_run_for(w.loop, ADDRESS_REUSE_MS);
		s->other = true;
		server_listen(s);
		if (variant == 1)
			register_upstream(&w, 1, true);
		shardmgr_fleet_changed(w.mgrs[0]);
		unit_run_for(w.loop, 4 * LEASE_MS);
		ck_assert_msg(w.other_calls == 0, "%zu grants or releases in variant %d",
			      w.other_calls, variant);
		w.meta.down = false;
		ck_assert(unit_run_until(w.loop, u1_has_no_keys, &w));
		ck_assert_uint_eq(w.other_calls, 0);
		check_no_violations(&w);
		/* The upstream registers at another process of its own. */
		ingress_destroy(s->ingress);
		s->other = false;
		server_listen(s);
		register_process(&w, 1, false, 2);
		shardmgr_fleet_changed(w.mgrs[0]);
		unit_run_for(w.loop, LEASE_MS);
		check_no_violations(&w);
		teardown(&w);
	}
}
END_TEST

/*
 * Guards against treating an unanswered grant as not carried out: its lease must expire first. An
 * upstream that answers health checks goes on to get grants.
 */
START_TEST(unanswered_grants_count_as_leases)
{
	for (int checks = 0; checks < 2; checks++) {
		static struct world w;

		start(&w);
		w.servers[3].answers_checks = checks;
		w.servers[3].mute = true;
		unit_run_for(w.loop, LEASE_MS * 3);
		check_no_violations(&w);
		w.servers[3].mute = false;
		ck_assert(unit_run_until(w.loop, first_mgr_serves_all, &w));
		check_no_violations(&w);
		teardown(&w);
	}
}
END_TEST

/*
 * Unanswered grants are carried out late, after the upstream has released the keys. Guards against
 * two owners of a key: the former owner has to accept a grant under a higher fencing token before
 * the release is sent, so that it refuses the late grant.
 */
START_TEST(late_grant_after_a_release)
{
	static struct world w;

	start(&w);
	for (int round = 0; round < 3; round++) {
		w.servers[1].late = true;
		unit_run_for(w.loop, LEASE_MS / 3 + 50);
		w.servers[1].late = false;
		register_upstream(&w, 1, true);
		shardmgr_fleet_changed(w.mgrs[0]);
		ck_assert(unit_run_until(w.loop, u1_has_no_keys, &w));
		unit_run_for(w.loop, LATE_MS);
		check_no_violations(&w);
		register_upstream(&w, 1, false);
		shardmgr_fleet_changed(w.mgrs[0]);
		unit_run_for(w.loop, LEASE_MS);
	}
	unit_run_for(w.loop, LATE_MS + 100);
	check_no_violations(&w);
	teardown(&w);
}
END_TEST

/*
 * A successor acquires the role while the former shard manager is still working. Guards against two
 * owners of a key by grants of both managers.
 */
START_TEST(two_active_managers)
{
	static struct world w;

	start(&w);
	shardmgr_acquire_role(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, second_mgr_serves_all, &w));
	register_upstream(&w, 0, true);
	shardmgr_fleet_changed(w.mgrs[0]);
	shardmgr_fleet_changed(w.mgrs[1]);
	unit_run_for(w.loop, LEASE_MS * 2);
	ck_assert(!shardmgr_is_active(w.mgrs[0]));
	check_no_violations(&w);
	teardown(&w);
}
END_TEST

/*
 * A successor sends its map while the former shard manager still holds itself to be in the role.
 * Guards against two managers that answer for the keys until the next heartbeat: the former one
 * grants keys again that its successor has taken, and its gateway routes by its own map.
 */
START_TEST(map_of_a_successor_ends_the_role)
{
	static struct world w;
	struct arena arena = ARENA_INIT;

	start(&w);
	/* The former one does not learn it from the store first. */
	w.meta.cut_off = w.mgrs[0];
	unit_run_for(w.loop, 2 * STORE_WATCH_MS);
	shardmgr_acquire_role(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, second_mgr_serves_all, &w));
	ck_assert(shardmgr_is_active(w.mgrs[0]));
	ck_assert_int_eq(shardmgr_apply_map(w.mgrs[0], shardmgr_map_changes(w.mgrs[1], &arena)),
			 KEYMAP_APPLIED);
	ck_assert(!shardmgr_is_active(w.mgrs[0]));
	for (uint32_t key = 0; key < 65536; key += 4096)
		ck_assert_uint_eq(shardmgr_owner(w.mgrs[0], key), shardmgr_owner(w.mgrs[1], key));
	arena_free(&arena);
	teardown(&w);
}
END_TEST

/*
 * A shard manager ends right after it has granted moved keys, while the stored map still names
 * their former owner. The new owner is draining when the successor takes over. Guards against
 * granting the keys to a third upstream while the new owner has a lease.
 */
START_TEST(successor_awaits_both_former_owners)
{
	static struct world w;

	start(&w);
	register_upstream(&w, 1, true);
	shardmgr_fleet_changed(w.mgrs[0]);
	ck_assert(unit_run_until(w.loop, u1_has_no_keys, &w));
	end_mgr_process(&w, &w.mgrs[0]);
	for (int i = 2; i < UPSTREAMS; i++)
		register_upstream(&w, i, true);
	shardmgr_acquire_role(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, second_mgr_serves_all, &w));
	unit_run_for(w.loop, LEASE_MS);
	check_no_violations(&w);
	teardown(&w);
}
END_TEST

/*
 * A shard manager loses the role during a write and acquires it again. Guards against taking the
 * late answer for one to a write of its new term.
 */
START_TEST(late_answer_of_an_earlier_term_does_not_count)
{
	static struct world w;
	struct held *late;

	start(&w);
	w.meta.hold_commits_of = w.mgrs[0];
	register_upstream(&w, 1, true);
	shardmgr_fleet_changed(w.mgrs[0]);
	ck_assert(unit_run_until(w.loop, commit_is_held, &w));
	late = w.meta.held;
	w.meta.held = NULL;
	shardmgr_observe_term(w.mgrs[0], shardmgr_term(w.mgrs[0]) + 1);
	ck_assert(!shardmgr_is_active(w.mgrs[0]));
	for (int i = 0; i < 10; i++) {
		shardmgr_acquire_role(w.mgrs[0]);
		unit_run_for(w.loop, 20);
		ck_assert(!shardmgr_is_active(w.mgrs[0]));
	}
	w.meta.held = late;
	do_held(&w.meta);
	unit_run_for(w.loop, 20);
	shardmgr_acquire_role(w.mgrs[0]);
	ck_assert(unit_run_until(w.loop, u1_has_no_keys, &w));
	check_no_violations(&w);
	teardown(&w);
}
END_TEST

/* The outcome of writes is unknown: the next write starts from the rows in the store. */
START_TEST(unknown_write_outcomes)
{
	static struct world w;

	start(&w);
	w.meta.lose_writes = true;
	register_upstream(&w, 1, true);
	shardmgr_fleet_changed(w.mgrs[0]);
	unit_run_for(w.loop, LEASE_MS);
	w.meta.lose_writes = false;
	ck_assert(unit_run_until(w.loop, u1_has_no_keys, &w));
	check_no_violations(&w);
	teardown(&w);
}
END_TEST

/*
 * Guards against grants and releases for moves that are not stored yet: a successor would not know
 * of them.
 */
START_TEST(moves_wait_for_the_store)
{
	static struct world w;

	start(&w);
	w.meta.refuse_writes = true;
	register_upstream(&w, 1, true);
	shardmgr_fleet_changed(w.mgrs[0]);
	unit_run_for(w.loop, LEASE_MS);
	check_no_violations(&w);
	w.meta.refuse_writes = false;
	ck_assert(unit_run_until(w.loop, u1_has_no_keys, &w));
	check_no_violations(&w);
	teardown(&w);
}
END_TEST

/* While the store does not answer, no keys move, and leases are renewed if the peers agree. */
START_TEST(store_outage_keeps_the_owners)
{
	static struct world w;

	start(&w);
	w.meta.down = true;
	w.agree = true;
	register_upstream(&w, 1, true);
	shardmgr_fleet_changed(w.mgrs[0]);
	unit_run_for(w.loop, 3500);
	ck_assert(first_mgr_serves_all(&w));
	w.meta.down = false;
	ck_assert(unit_run_until(w.loop, u1_has_no_keys, &w));
	check_no_violations(&w);
	teardown(&w);
}
END_TEST

/*
 * The store does not answer for a while, then answers without its history of changes. Guards
 * against a shard manager that never confirms its role again, so that nobody renews leases.
 */
START_TEST(store_returns_without_history)
{
	static struct world w;

	start(&w);
	w.meta.down = true;
	w.agree = false;
	unit_run_for(w.loop, 3200);
	w.meta.version += 5;
	w.meta.oldest = w.meta.version;
	w.meta.down = false;
	unit_run_for(w.loop, 2 * LEASE_MS);
	ck_assert(unit_run_until(w.loop, first_mgr_serves_all, &w));
	check_no_violations(&w);
	teardown(&w);
}
END_TEST

/* A shard manager without store and peers may have been replaced, so it stops granting. */
START_TEST(isolated_manager_stops)
{
	static struct world w;
	size_t grants;

	start(&w);
	w.meta.down = true;
	w.agree = false;
	unit_run_for(w.loop, 3200);
	grants = w.grants;
	unit_run_for(w.loop, LEASE_MS);
	ck_assert_uint_eq(w.grants, grants);
	check_no_violations(&w);
	teardown(&w);
}
END_TEST

/* Returns a fleet with the upstreams of the world, of which one cannot be reached. */
static struct fleet *fleet_without(struct world *w, int unreachable)
{
	static const struct fleet_handlers handlers = {ignore_upstream, ignore_upstream};
	struct fleet *known = w->fleet;
	struct fleet *fleet = fleet_create(&handlers, w);

	for (int i = 0; i < UPSTREAMS; i++) {
		char id[16];
		struct fleet_info info = {
			.service = STR_LIT(SERVICE),
			.failure_domain = STR_LIT("d"),
			.slots = 2,
			.started = 1,
		};

		snprintf(id, sizeof(id), "u%d", i);
		info.id = str_from(id);
		info.port = fleet_find(known, fleet_num(info.id))->port;
		snprintf(info.ip, sizeof(info.ip), "%s", unit_ip());
		if (i == unreachable)
			info.port = unit_free_port(unit_ip());
		fleet_put(fleet, clk_now(), &info);
	}
	return fleet;
}

static bool server_has_keys(const struct server *s)
{
	for (uint32_t key = 0; key < KEY_SPACE; key++) {
		if (has_lease(s, key, clk_now()))
			return true;
	}
	return false;
}

static bool second_mgr_serves_all_without_u1(void *data)
{
	struct world *w = data;

	return second_mgr_serves_all(w) && !server_has_keys(&w->servers[1]);
}

#define LEASES_OVER_MS 6500 /* a successor has waited for all leases of its predecessor */

/*
 * A shard manager is cut off from the store, and renews leases with the support of most gateways; a
 * gateway that reaches the store, but not u1, takes the role. Guards against a successor that takes
 * u1's lease as expired while its predecessor goes on.
 */
START_TEST(successor_without_consent_moves_no_keys)
{
	static struct world w;
	struct fleet *all;

	start(&w);
	all = w.fleet;
	w.fleet = fleet_without(&w, 1);
	shardmgr_destroy(w.mgrs[1]);
	w.mgrs[1] = new_mgr(&w);
	w.agree = true;
	w.no_consent = true;
	w.meta.cut_off = w.mgrs[0];
	unit_run_for(w.loop, 2 * STORE_WATCH_MS); /* the open call of mgrs[0] ends */
	shardmgr_acquire_role(w.mgrs[1]);
	for (clk_ms begin = clk_now(); clk_now() - begin < LEASES_OVER_MS;) {
		unit_run_for(w.loop, LEASE_MS / 3);
		ck_assert(shardmgr_is_active(w.mgrs[0]));
		ck_assert(shardmgr_is_active(w.mgrs[1]));
		ck_assert(server_has_keys(&w.servers[1]));
		check_no_violations(&w);
	}
	/* The gateways change sides. */
	w.agree = false;
	w.no_consent = false;
	ck_assert(unit_run_until(w.loop, second_mgr_serves_all_without_u1, &w));
	check_no_violations(&w);
	fleet_destroy(w.fleet);
	w.fleet = all;
	teardown(&w);
}
END_TEST

static bool role_names_wanted(void *data)
{
	struct world *w = data;
	const struct row *row = find_row(&w->meta, STR_LIT("keeper/" SERVICE));
	char text[ELECTORATE_TEXT_BYTES];
	struct str voters = electorate_write(&w->wanted, text);

	return row && row->len > voters.len &&
	       memcmp(row->value + row->len - voters.len, voters.ptr, voters.len) == 0;
}

static bool sends_grants(struct world *w)
{
	size_t grants = w->grants;

	unit_run_for(w->loop, LEASE_MS);
	return w->grants > grants;
}

/*
 * The gateways that vote are replaced by others, and the answer to that write is lost. Guards
 * against a shard manager that acts without the store by the support of the new ones alone: a
 * successor may have read the row before, or in a restored store, and ask the former ones.
 */
START_TEST(replaced_electorate_still_has_to_support)
{
	static struct world w;
	struct electorate first = {.ids = {1, 2, 3}, .n = 3};

	setup(&w);
	w.wanted = first;
	shardmgr_acquire_role(w.mgrs[0]);
	ck_assert(unit_run_until(w.loop, first_mgr_serves_all, &w));
	ck_assert(role_names_wanted(&w));
	w.wanted = (struct electorate){.ids = {4, 5, 6}, .n = 3};
	w.meta.lose_writes = true;
	ck_assert(unit_run_until(w.loop, role_names_wanted, &w));
	unit_run_for(w.loop, LEASE_MS);
	w.meta.lose_writes = false;
	unit_run_for(w.loop, LEASE_MS);
	ck_assert(first_mgr_serves_all(&w));
	w.agree = true;
	w.opposing = first;
	w.meta.down = true;
	unit_run_for(w.loop, 3200);
	ck_assert(!sends_grants(&w));
	w.opposing = w.wanted;
	ck_assert(!sends_grants(&w));
	w.opposing.n = 0;
	ck_assert(sends_grants(&w));
	check_no_violations(&w);
	teardown(&w);
}
END_TEST

/*
 * Hot keys all over the key space make each plan split ranges. Guards against a map that is too
 * long for a row of the store: it could not be written any more, and no key could move. This
 * happened with 249 upstreams.
 */
START_TEST(map_fits_its_row)
{
	static struct world w;
	struct rnd rnd;

	rnd_seed(&rnd, 20261204);
	setup(&w);
	w.meta.row_bytes = 220;
	shardmgr_destroy(w.mgrs[0]);
	w.mgrs[0] = new_mgr(&w);
	shardmgr_acquire_role(w.mgrs[0]);
	ck_assert(unit_run_until(w.loop, first_mgr_serves_all, &w));
	for (int round = 0; round < 60; round++) {
		uint32_t busy = (uint32_t)rnd_below(&rnd, KEY_SPACE - 40);

		for (int i = 0; i < 12; i++)
			shardmgr_record_request(w.mgrs[0], busy + (uint32_t)rnd_below(&rnd, 40));
		unit_run_for(w.loop, 100);
	}
	ck_assert_uint_eq(w.meta.too_long, 0);
	ck_assert(unit_run_until(w.loop, first_mgr_serves_all, &w));
	check_no_violations(&w);
	teardown(&w);
}
END_TEST

#define MANY_RANGES 200

/* Writes a map of many ranges whose owners take turns, and a role without a shard manager. */
static void store_many_ranges(struct world *w)
{
	static uint64_t upstreams[UPSTREAMS];
	static uint32_t to[MANY_RANGES];
	static uint32_t owner[MANY_RANGES];
	static uint32_t none[MANY_RANGES];
	struct row *row = &w->meta.rows[w->meta.n_rows++];
	Bc__KeyRow map = BC__KEY_ROW__INIT;

	for (int i = 0; i < UPSTREAMS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "u%d", i);
		upstreams[i] = fleet_num(str_from(id));
	}
	for (uint32_t i = 0; i < MANY_RANGES; i++) {
		to[i] = i + 1 == MANY_RANGES ? KEY_SPACE - 1 : 5 * i + 4;
		owner[i] = i % UPSTREAMS + 1;
	}
	map.fence = 1;
	map.upstreams = upstreams;
	map.n_upstreams = UPSTREAMS;
	map.to = to;
	map.owner = owner;
	map.former = none;
	map.second_former = none;
	map.n_to = map.n_owner = map.n_former = map.n_second_former = MANY_RANGES;
	snprintf(row->key, sizeof(row->key), "map/%s", SERVICE);
	row->len = bc__key_row__pack(&map, (uint8_t *)row->value);
	ck_assert_uint_le(row->len, sizeof(row->value));
	row->version = ++w->meta.version;
}

/*
 * Each upstream has more ranges than can be renewed before the first renewal is due again. Guards
 * against renewals of low keys that keep high keys from their first grant for good.
 */
START_TEST(first_grants_are_not_kept_back_by_renewals)
{
	static struct world w;
	uint32_t granted = 0;

	setup(&w);
	store_many_ranges(&w);
	shardmgr_acquire_role(w.mgrs[0]);
	unit_run_for(w.loop, 5000);
	for (uint32_t key = 0; key < KEY_SPACE; key++) {
		bool was_granted = false;

		for (int i = 0; i < UPSTREAMS; i++)
			was_granted |= w.servers[i].granted_fence[key] != 0;
		granted += was_granted;
	}
	ck_assert_uint_eq(granted, KEY_SPACE);
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

/*
 * KNOWN-RED. A shard manager ends after it sent the former owner of a move a grant under a higher
 * token, which that one carries out late. Guards against a successor that only sends it a release.
 */
START_TEST(successor_in_a_move_with_a_late_grant)
{
	static struct world w;

	start(&w);
	w.servers[1].late = true;
	unit_run_for(w.loop, 1100); /* renewals are unanswered */
	register_upstream(&w, 1, true);
	shardmgr_fleet_changed(w.mgrs[0]);
	unit_run_for(w.loop, 700); /* the grant under a higher token was sent */
	end_mgr_process(&w, &w.mgrs[0]);
	w.servers[1].late = false;
	shardmgr_acquire_role(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, second_mgr_serves_all, &w));
	unit_run_for(w.loop, 2 * LEASE_MS);
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

/*
 * KNOWN-RED. A shard manager without its store has not seen yet that it was replaced in a move, and
 * renews the former owner's lease. Guards against a successor that only sends that one a release.
 */
START_TEST(successor_in_a_move_of_a_manager_that_lives)
{
	static struct world w;

	start(&w);
	w.meta.lose_writes = true; /* the move is written, but the shard manager does not know */
	register_upstream(&w, 1, true);
	shardmgr_fleet_changed(w.mgrs[0]);
	unit_run_for(w.loop, 100);
	w.meta.lose_writes = false;
	w.meta.cut_off = w.mgrs[0];
	w.agree = false;
	unit_run_for(w.loop, 700);
	shardmgr_acquire_role(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, second_mgr_serves_all, &w));
	unit_run_for(w.loop, 2 * LEASE_MS);
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

static const char *const mutants[] = {
	"keeper_grant_by_key",
	"keeper_refused_is_dead",
	"keeper_skip_release",
	"keeper_forget_owner",
	"keeper_act_early",
	"keeper_never_isolated",
	"keeper_keep_fence",
	"keeper_restart_is_release",
	"keeper_any_row",
	"keeper_leave_failing",
	"keeper_stay_trimmed",
	"keeper_await_heartbeat",
	"keeper_mix_terms",
	"keeper_trust_address",
	"keeper_need_no_consent",
	"keeper_one_electorate",
	NULL,
};

static void add_tests(TCase *tc)
{
	if (unit_open_tests) {
		tcase_add_test(tc, successor_in_a_move_with_a_late_grant);
		tcase_add_test(tc, successor_in_a_move_of_a_manager_that_lives);
		return;
	}
	tcase_add_test(tc, first_grants_are_not_kept_back_by_renewals);
	tcase_add_test(tc, keys_are_granted_and_renewed);
	tcase_add_test(tc, draining_upstream_releases_keys);
	tcase_add_test(tc, unreachable_upstream_keeps_its_lease);
	tcase_add_test(tc, upstream_that_answers_again_gets_keys);
	tcase_add_test(tc, new_process_gets_new_fences);
	tcase_add_test(tc, restarted_upstream_releases_keys);
	tcase_add_test(tc, other_instance_at_an_address_gets_no_keys);
	tcase_add_test(tc, unanswered_grants_count_as_leases);
	tcase_add_test(tc, late_grant_after_a_release);
	tcase_add_test(tc, two_active_managers);
	tcase_add_test(tc, map_of_a_successor_ends_the_role);
	tcase_add_test(tc, successor_awaits_both_former_owners);
	tcase_add_test(tc, late_answer_of_an_earlier_term_does_not_count);
	tcase_add_test(tc, unknown_write_outcomes);
	tcase_add_test(tc, moves_wait_for_the_store);
	tcase_add_test(tc, store_outage_keeps_the_owners);
	tcase_add_test(tc, isolated_manager_stops);
	tcase_add_test(tc, map_fits_its_row);
	tcase_add_test(tc, store_returns_without_history);
	tcase_add_test(tc, successor_without_consent_moves_no_keys);
	tcase_add_test(tc, replaced_electorate_still_has_to_support);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "shardmgr", mutants, add_tests);
}
