/* Tests of the shard manager with a store that is restored from an older copy. */
#include "test/shardmgr_world.h"

#define LATE_ANSWER_MS 9000
#define SHORT_PAUSE_MS 450
#define SUCCESSOR_FENCE_STEP 4096
#define SLOW_WATCH_MS 1300 /* of a watch that confirms the role: 900 ms, and the way */
#define BEFORE_ANSWER_MS 250

static void start_in_era(struct world *w, uint64_t era)
{
	setup(w);
	w->meta.era = era;
	shardmgr_acquire_role(w->mgrs[0]);
	ck_assert(unit_run_until(w->loop, first_mgr_serves_all, w));
}

/* Moves the keys of u1 to other upstreams; the store's copy is from before. */
static void move_after_copy(struct world *w)
{
	copy_store(&w->meta);
	register_upstream(w, 1, true);
	shardmgr_fleet_changed(w->mgrs[0]);
	ck_assert(unit_run_until(w->loop, u1_has_no_keys, w));
}

static void pass_map_on(struct world *w)
{
	struct arena arena = ARENA_INIT;

	ck_assert_int_eq(shardmgr_apply_map(w->mgrs[1], shardmgr_map_changes(w->mgrs[0], &arena)),
			 KEYMAP_APPLIED);
	arena_free(&arena);
}

static bool has_row(struct world *w, const char *key)
{
	return find_row(&w->meta, str_from(key)) != NULL;
}

static bool role_is_in_era_2(void *data)
{
	return has_row(data, "role/2/" SERVICE) && has_row(data, "owners/2/" SERVICE);
}

/* Guards against a shard manager that gives up the role, or goes back to owners of the copy. */
START_TEST(role_and_map_are_written_again_in_a_restored_store)
{
	static struct world w;

	start_in_era(&w, 1);
	ck_assert(has_row(&w, "role/1/" SERVICE));
	move_after_copy(&w);
	restore_store(&w.meta);
	ck_assert(unit_run_until(w.loop, role_is_in_era_2, &w));
	ck_assert(!has_row(&w, "role/1/" SERVICE) && !has_row(&w, "owners/1/" SERVICE));
	for (int i = 0; i < 20; i++) {
		unit_run_for(w.loop, LEASE_MS / 10);
		ck_assert(u1_has_no_keys(&w));
	}
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

/* The same, when the store loses the answer to that write. */
START_TEST(lost_answer_in_a_restored_store_keeps_the_role)
{
	static struct world w;

	start_in_era(&w, 1);
	copy_store(&w.meta);
	restore_store(&w.meta);
	w.meta.lose_writes = true;
	ck_assert(unit_run_until(w.loop, role_is_in_era_2, &w));
	w.meta.lose_writes = false;
	unit_run_for(w.loop, 3 * LEASE_MS);
	ck_assert(first_mgr_serves_all(&w));
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

/*
 * The shard manager ends with the restore. Guards against a successor that grants keys to owners of
 * the copy while others have got them since, and against fencing tokens that are given out again.
 */
START_TEST(successor_in_a_restored_store_knows_lost_moves)
{
	static struct world w;

	start_in_era(&w, 1);
	move_after_copy(&w);
	pass_map_on(&w);
	end_mgr_process(&w, &w.mgrs[0]);
	restore_store(&w.meta);
	register_upstream(&w, 1, false);
	shardmgr_acquire_role(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, second_mgr_serves_all, &w));
	unit_run_for(w.loop, 2 * LEASE_MS);
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

/* The same with a successor that has no map: it waits until all leases have expired. */
START_TEST(successor_without_a_map_waits_in_a_restored_store)
{
	static struct world w;

	start_in_era(&w, 1);
	move_after_copy(&w);
	end_mgr_process(&w, &w.mgrs[0]);
	restore_store(&w.meta);
	register_upstream(&w, 1, false);
	shardmgr_acquire_role(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, second_mgr_serves_all, &w));
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

/* Guards against fencing tokens that a restored store reserves a second time. */
START_TEST(fences_of_a_lost_term_are_not_given_out_again)
{
	static struct world w;

	start_in_era(&w, 1);
	copy_store(&w.meta);
	end_mgr_process(&w, &w.mgrs[0]);
	shardmgr_acquire_role(w.mgrs[0]);
	ck_assert(unit_run_until(w.loop, first_mgr_serves_all, &w));
	register_upstream(&w, 1, true);
	shardmgr_fleet_changed(w.mgrs[0]);
	ck_assert(unit_run_until(w.loop, u1_has_no_keys, &w));
	end_mgr_process(&w, &w.mgrs[0]);
	restore_store(&w.meta);
	register_upstream(&w, 1, false);
	shardmgr_acquire_role(w.mgrs[0]);
	ck_assert(unit_run_until(w.loop, first_mgr_serves_all, &w));
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

/* Guards against two shard managers: the one of the era before gives up. */
START_TEST(manager_of_the_era_before_yields)
{
	static struct world w;

	start_in_era(&w, 1);
	move_after_copy(&w);
	pass_map_on(&w);
	restore_store(&w.meta);
	shardmgr_acquire_role(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, second_mgr_serves_all, &w));
	unit_run_for(w.loop, 2 * LEASE_MS);
	ck_assert(!shardmgr_is_active(w.mgrs[0]) || !shardmgr_is_active(w.mgrs[1]));
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

/*
 * A successor's write of role and map reaches the store only after the restore, and its conditions
 * hold there again. Guards against a successor that acts on the map that it read before the last
 * moves.
 */
START_TEST(acquisition_that_reaches_a_restored_store_does_not_count)
{
	static struct world w;

	start_in_era(&w, 1);
	w.meta.hold_commits_of = w.mgrs[1];
	shardmgr_acquire_role(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, commit_is_held, &w));
	move_after_copy(&w);
	pass_map_on(&w);
	end_mgr_process(&w, &w.mgrs[0]);
	restore_store(&w.meta);
	register_upstream(&w, 1, false);
	do_held(&w.meta);
	unit_run_for(w.loop, 50);
	check_one_owner(&w);
	shardmgr_acquire_role(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, second_mgr_serves_all, &w));
	unit_run_for(w.loop, 2 * LEASE_MS);
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

/* Moves the keys of u1 to others, then ends the shard manager; the copy has no role or map. */
static void lose_role_and_map(struct world *w)
{
	setup(w);
	w->meta.era = 1;
	copy_store(&w->meta);
	shardmgr_acquire_role(w->mgrs[0]);
	ck_assert(unit_run_until(w->loop, first_mgr_serves_all, w));
	register_upstream(w, 1, true);
	shardmgr_fleet_changed(w->mgrs[0]);
	ck_assert(unit_run_until(w->loop, u1_has_no_keys, w));
	end_mgr_process(w, &w->mgrs[0]);
	restore_store(&w->meta);
	register_upstream(w, 1, false);
}

static bool restore_is_known(void *data)
{
	return watch_was_restored(((struct world *)data)->watch);
}

static bool second_mgr_is_active(void *data)
{
	return shardmgr_is_active(((struct world *)data)->mgrs[1]);
}

/*
 * A successor that waits for the leases of unknown holders ends before it has assigned the keys.
 * Guards against the next one taking them as free.
 */
START_TEST(second_successor_awaits_unknown_holders)
{
	static struct world w;

	lose_role_and_map(&w);
	ck_assert(unit_run_until(w.loop, restore_is_known, &w));
	for (int i = 0; i < UPSTREAMS; i++)
		register_upstream(&w, i, true);
	shardmgr_acquire_role(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, second_mgr_is_active, &w));
	end_mgr_process(&w, &w.mgrs[1]);
	for (int i = 0; i < UPSTREAMS; i++)
		register_upstream(&w, i, false);
	shardmgr_acquire_role(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, second_mgr_serves_all, &w));
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

/*
 * All gateways start anew with the restore, and the copy is from before the first map. Guards
 * against taking all keys as free because nobody remembers the era before.
 */
START_TEST(new_process_awaits_unknown_holders_in_a_restored_store)
{
	static const struct watch_handlers handlers = {ignore_rows};
	static struct world w;

	lose_role_and_map(&w);
	for (int i = 0; i < 2; i++)
		shardmgr_destroy(w.mgrs[i]);
	while (w.meta.calls) {
		struct call *c = w.meta.calls;

		w.meta.calls = c->next;
		timer_release(&c->timer);
		free(c);
	}
	watch_destroy(w.watch);
	w.watch = watch_create(w.loop, &store_driver, &w.meta, &handlers, &w);
	for (int i = 0; i < 2; i++)
		w.mgrs[i] = new_mgr(&w);
	shardmgr_acquire_role(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, second_mgr_serves_all, &w));
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

/*
 * Guards against one upstream that gets all keys after the wait for unknown holders, since the
 * first plan was only made for keys that are free.
 */
START_TEST(keys_of_a_lost_map_are_spread)
{
	static struct world w;
	uint64_t first;
	size_t same = 0;

	lose_role_and_map(&w);
	ck_assert(unit_run_until(w.loop, restore_is_known, &w));
	shardmgr_acquire_role(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, second_mgr_serves_all, &w));
	first = shardmgr_owner(w.mgrs[1], 0);
	for (uint32_t key = 0; key < KEY_SPACE; key++)
		same += shardmgr_owner(w.mgrs[1], key) == first;
	ck_assert_uint_eq(same, KEY_SPACE / UPSTREAMS);
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

static void ignore_answer(void *data, const struct meta_answer *a)
{
}

/*
 * The first write of role and map in the new era has no answer, and is done after the rows were
 * read for the second. Guards against taking it for that of another shard manager.
 */
START_TEST(own_late_write_does_not_end_the_role)
{
	static struct world w;
	struct held *first;
	struct held *second;

	start_in_era(&w, 1);
	copy_store(&w.meta);
	restore_store(&w.meta);
	w.meta.hold_commits_of = w.mgrs[0];
	ck_assert(unit_run_until(w.loop, commit_is_held, &w));
	first = w.meta.held;
	w.meta.held = NULL;
	answer_later(&w.meta, first->cb, first->data, 3)->status = META_UNKNOWN;
	w.meta.hold_commits_of = w.mgrs[0];
	ck_assert(unit_run_until(w.loop, commit_is_held, &w));
	second = w.meta.held;
	w.meta.held = first;
	first->cb = ignore_answer;
	do_held(&w.meta);
	w.meta.held = second;
	do_held(&w.meta);
	for (int i = 0; i < 10; i++) {
		unit_run_for(w.loop, LEASE_MS / 10);
		ck_assert(first_mgr_serves_all(&w));
	}
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

/*
 * The successor lost touch with the shard manager before its last moves. Guards against granting
 * keys to the owners of a map for requests that is out of date.
 */
START_TEST(successor_with_an_old_map_for_requests)
{
	static struct world w;

	start_in_era(&w, 1);
	pass_map_on(&w);
	w.lost_touch = true;
	move_after_copy(&w);
	end_mgr_process(&w, &w.mgrs[0]);
	restore_store(&w.meta);
	register_upstream(&w, 1, false);
	shardmgr_acquire_role(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, second_mgr_serves_all, &w));
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

static bool u1_has_no_keys_of_second(void *data)
{
	struct world *w = data;

	for (uint32_t key = 0; key < KEY_SPACE; key++) {
		if (shardmgr_owner(w->mgrs[1], key) == fleet_num(STR_LIT("u1")))
			return false;
	}
	return second_mgr_serves_all(w);
}

/*
 * The first shard manager is cut off from the store and replaced; its successor moves keys and
 * ends, and the store comes back without its role. `alone`: the first one hears no other gateway
 * meanwhile, else it hears most, but not its successor.
 */
static void return_replaced_manager(struct world *w, bool alone)
{
	start_in_era(w, 1);
	copy_store(&w->meta);
	pass_map_on(w);
	w->meta.cut_off = w->mgrs[0];
	w->alone = alone;
	w->lacks_one = true;
	unit_run_for(w->loop, 2500);
	shardmgr_acquire_role(w->mgrs[1]);
	ck_assert(unit_run_until(w->loop, second_mgr_serves_all, w));
	register_upstream(w, 1, true);
	shardmgr_fleet_changed(w->mgrs[1]);
	ck_assert(unit_run_until(w->loop, u1_has_no_keys_of_second, w));
	end_mgr_process(w, &w->mgrs[1]);
	restore_store(&w->meta);
	register_upstream(w, 1, false);
	w->meta.cut_off = NULL;
	unit_run_for(w->loop, 2 * LEASE_MS);
	check_one_owner(w);
	teardown(w);
}

/*
 * A shard manager was cut off and replaced, and the store lost that its successor took the role.
 * Guards against going back to its owners.
 */
START_TEST(replaced_manager_returns_in_a_restored_store)
{
	static struct world w;

	return_replaced_manager(&w, true);
}
END_TEST

/* The same with a shard manager that stayed in touch with most gateways, but not all. */
START_TEST(replaced_manager_that_hears_most_returns_in_a_restored_store)
{
	static struct world w;

	return_replaced_manager(&w, false);
}
END_TEST

/*
 * The store is away for all gateways, one of them is not connected, and the store comes back from a
 * copy. Guards against giving the role up: all leases would have to expire first.
 */
START_TEST(role_is_kept_when_the_store_answered_nobody)
{
	static struct world w;

	start_in_era(&w, 1);
	move_after_copy(&w);
	w.agree = true;
	w.lacks_one = true;
	unit_run_for(w.loop, 1000);
	down_store(&w.meta);
	unit_run_for(w.loop, 2500);
	restore_store(&w.meta);
	w.meta.down = false;
	for (int i = 0; i < 20; i++) {
		unit_run_for(w.loop, LEASE_MS / 10);
		ck_assert(first_mgr_serves_all(&w));
	}
	ck_assert(role_is_in_era_2(&w));
	ck_assert(u1_has_no_keys(&w));
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

/* Returns the open watch of the first shard manager, NULL if there is none. */
static struct call *open_watch(struct world *w)
{
	for (struct call *c = w->meta.calls; c; c = c->next) {
		if (c->data == w->mgrs[0] && c->after)
			return c;
	}
	return NULL;
}

static bool watch_is_soon_answered(void *data)
{
	const struct call *c = open_watch(data);

	return c && c->timer.due - clk_now() <= BEFORE_ANSWER_MS;
}

/*
 * The same with a store that answers slowly, and that falls silent just before it would have
 * confirmed the role. Guards against taking the age of the last confirmation for an outage that
 * others did not have.
 */
START_TEST(role_is_kept_when_a_slow_store_answered_nobody)
{
	static struct world w;

	start_in_era(&w, 1);
	copy_store(&w.meta);
	w.agree = true;
	w.lacks_one = true;
	w.meta.watch_delay = SLOW_WATCH_MS;
	unit_run_for(w.loop, 2 * SLOW_WATCH_MS + STORE_WATCH_MS);
	ck_assert(unit_run_until(w.loop, watch_is_soon_answered, &w));
	down_store(&w.meta);
	open_watch(&w)->status = META_REFUSED;
	open_watch(&w)->rows = false;
	unit_run_for(w.loop, 2500);
	restore_store(&w.meta);
	w.meta.down = false;
	w.meta.watch_delay = 0;
	ck_assert(unit_run_until(w.loop, role_is_in_era_2, &w));
	ck_assert(first_mgr_serves_all(&w));
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

/*
 * A shard manager is paused for long enough that others close their connections to it; one of them
 * takes the role, moves u1's keys to u2 and ends, and the store comes back without that. Guards
 * against overlooking the pause, after which this gateway soon hears all others again.
 */
START_TEST(short_pause_before_a_restore_ends_the_role)
{
	static struct world w;

	start_in_era(&w, 1);
	copy_store(&w.meta);
	usleep(SHORT_PAUSE_MS * 1000); /* the loop does not run */
	for (uint32_t key = 0; key < KEY_SPACE; key++) {
		uint64_t fence = w.servers[1].granted_fence[key] + 2 * SUCCESSOR_FENCE_STEP;

		if (!has_lease(&w.servers[1], key, clk_now()))
			continue;
		/* As a successor does: it grants under a higher token, then moves. */
		ck_assert(accept_grant(&w.servers[1], key, key, fence - 1, clk_now() + LEASE_MS));
		w.servers[1].until[key] = 0;
		ck_assert(accept_grant(&w.servers[2], key, key, fence, clk_now() + LEASE_MS));
	}
	restore_store(&w.meta);
	unit_run_for(w.loop, LEASE_MS / 2);
	check_one_owner(&w);
	shardmgr_acquire_role(w.mgrs[0]);
	ck_assert(unit_run_until(w.loop, first_mgr_serves_all, &w));
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

static size_t keys_released(const struct server *s)
{
	size_t n = 0;

	for (uint32_t key = 0; key < KEY_SPACE; key++)
		n += s->granted_fence[key] && !s->until[key];
	return n;
}

/*
 * A write of a move reaches the store only after the restore, and its conditions hold there again.
 * Guards against acting on a move that a successor in the new era does not know.
 */
START_TEST(commit_that_reaches_a_restored_store_does_not_count)
{
	static struct world w;

	start_in_era(&w, 1);
	/* A confirmation that is under way would show the restore before the keys are released. */
	unit_run_for(w.loop, 2 * STORE_WATCH_MS);
	copy_store(&w.meta);
	w.meta.hold_commits_of = w.mgrs[0];
	register_upstream(&w, 1, true);
	shardmgr_fleet_changed(w.mgrs[0]);
	ck_assert(unit_run_until(w.loop, commit_is_held, &w));
	restore_store(&w.meta);
	do_held(&w.meta);
	w.meta.hold_commits_of = w.mgrs[0];
	ck_assert(unit_run_until(w.loop, commit_is_held, &w));
	unit_run_for(w.loop, LEASE_MS / 3);
	ck_assert_uint_eq(keys_released(&w.servers[1]), 0);
	do_held(&w.meta);
	ck_assert(unit_run_until(w.loop, u1_has_no_keys, &w));
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

/*
 * A gateway is paused just after its write of the role, for longer than a successor waits for its
 * leases. Guards against taking the late answer for a present confirmation of the role.
 */
START_TEST(late_answer_to_an_acquisition_confirms_nothing_later)
{
	static struct world w;

	start(&w);
	end_mgr_process(&w, &w.mgrs[0]);
	w.meta.answer_delay = LATE_ANSWER_MS;
	shardmgr_acquire_role(w.mgrs[0]);
	unit_run_for(w.loop, 100);
	w.meta.answer_delay = 0;
	/* u1 is out of reach of the successor, which waits until its lease has expired. */
	ingress_destroy(w.servers[1].ingress);
	w.servers[1].ingress = NULL;
	shardmgr_acquire_role(w.mgrs[1]);
	unit_run_for(w.loop, LATE_ANSWER_MS - 400);
	ck_assert(u1_has_no_keys_of_second(&w));
	ck_assert(!shardmgr_is_active(w.mgrs[0]));
	server_listen(&w.servers[1]);
	unit_run_for(w.loop, 1000);
	ck_assert(!shardmgr_is_active(w.mgrs[0]));
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

/*
 * Guards against a term that others see before the store has it: the holder of the role gives it up
 * for a higher one, and two maps for requests may have the same term.
 */
START_TEST(term_of_a_refused_write_is_not_shown)
{
	static struct world w;
	uint64_t term;

	start_in_era(&w, 1);
	term = shardmgr_term(w.mgrs[0]);
	copy_store(&w.meta);
	w.meta.refuse_writes = true;
	restore_store(&w.meta);
	for (int i = 0; i < 10; i++) {
		unit_run_for(w.loop, LEASE_MS / 10);
		ck_assert_uint_eq(shardmgr_term(w.mgrs[0]), term);
	}
	w.meta.refuse_writes = false;
	ck_assert(unit_run_until(w.loop, role_is_in_era_2, &w));
	unit_run_for(w.loop, LEASE_MS);
	ck_assert(first_mgr_serves_all(&w));
	ck_assert_uint_gt(shardmgr_term(w.mgrs[0]), term);
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

static bool first_mgr_is_not_active(void *data)
{
	return !shardmgr_is_active(((struct world *)data)->mgrs[0]);
}

/*
 * A gateway has all maps of a shard manager that was replaced without its knowledge; the
 * replacement moved u1's keys, and the store has lost its role. The others followed it. Guards
 * against a successor that grants keys by the older map.
 */
START_TEST(successor_whose_peers_followed_a_later_term)
{
	static struct world w;

	start_in_era(&w, 1);
	pass_map_on(&w);
	w.last_term = shardmgr_term(w.mgrs[0]) + 1;
	move_after_copy(&w);
	end_mgr_process(&w, &w.mgrs[0]);
	restore_store(&w.meta);
	register_upstream(&w, 1, false);
	shardmgr_acquire_role(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, second_mgr_serves_all, &w));
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

/*
 * Most gateways consented to a successor that this shard manager never heard of, and which the
 * restored store has lost. Guards against going back to its own owners, although it hears all
 * others again.
 */
START_TEST(manager_without_support_does_not_return_in_a_restored_store)
{
	static struct world w;

	start_in_era(&w, 1);
	copy_store(&w.meta);
	w.not_after_restore = true;
	restore_store(&w.meta);
	ck_assert(unit_run_until(w.loop, first_mgr_is_not_active, &w));
	ck_assert(!has_row(&w, "role/2/" SERVICE));
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

/*
 * A shard manager without its store is replaced by one that it does not hear, which moves keys and
 * ends; the store comes back without that role. A gateway that started since is in touch with the
 * first one only and has all its maps. Guards against taking them for the last ones.
 */
START_TEST(successor_with_maps_of_a_replaced_manager)
{
	static struct world w;
	struct arena arena = ARENA_INIT;

	start_in_era(&w, 1);
	copy_store(&w.meta);
	w.meta.cut_off = w.mgrs[0];
	w.alone = true;
	unit_run_for(w.loop, 2500);
	ck_assert(shardmgr_is_unsure(w.mgrs[0]));
	shardmgr_acquire_role(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, second_mgr_serves_all, &w));
	register_upstream(&w, 1, true);
	shardmgr_fleet_changed(w.mgrs[1]);
	unit_run_for(w.loop, 1000);
	end_mgr_process(&w, &w.mgrs[1]);
	restore_store(&w.meta);
	register_upstream(&w, 1, false);
	ck_assert_int_eq(shardmgr_apply_map(w.mgrs[1], shardmgr_map_changes(w.mgrs[0], &arena)),
			 KEYMAP_APPLIED);
	arena_free(&arena);
	shardmgr_acquire_role(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, second_mgr_serves_all, &w));
	check_one_owner(&w);
	teardown(&w);
}
END_TEST

static const char *const mutants[] = {
	"keeper_yield_restored", "keeper_trust_restored",
	"keeper_no_era",	 "keeper_any_era",
	"keeper_forget_holder",	 "keeper_trust_no_map",
	"keeper_one_owner",	 "keeper_yield_to_itself",
	"keeper_early_term",	 "keeper_trust_old_view",
	"keeper_never_replaced", "keeper_any_commit",
	"keeper_confirm_late",	 "keeper_most_suffice",
	"keeper_yield_unheard",	 "gateway_trust_unsure",
	"keeper_fast_store",	 "keeper_need_no_support",
	"voters_forget_terms",	 NULL,
};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, late_answer_to_an_acquisition_confirms_nothing_later);
	tcase_add_test(tc, role_and_map_are_written_again_in_a_restored_store);
	tcase_add_test(tc, lost_answer_in_a_restored_store_keeps_the_role);
	tcase_add_test(tc, successor_in_a_restored_store_knows_lost_moves);
	tcase_add_test(tc, successor_without_a_map_waits_in_a_restored_store);
	tcase_add_test(tc, manager_of_the_era_before_yields);
	tcase_add_test(tc, fences_of_a_lost_term_are_not_given_out_again);
	tcase_add_test(tc, acquisition_that_reaches_a_restored_store_does_not_count);
	tcase_add_test(tc, second_successor_awaits_unknown_holders);
	tcase_add_test(tc, new_process_awaits_unknown_holders_in_a_restored_store);
	tcase_add_test(tc, keys_of_a_lost_map_are_spread);
	tcase_add_test(tc, own_late_write_does_not_end_the_role);
	tcase_add_test(tc, successor_with_an_old_map_for_requests);
	tcase_add_test(tc, replaced_manager_returns_in_a_restored_store);
	tcase_add_test(tc, replaced_manager_that_hears_most_returns_in_a_restored_store);
	tcase_add_test(tc, role_is_kept_when_the_store_answered_nobody);
	tcase_add_test(tc, role_is_kept_when_a_slow_store_answered_nobody);
	tcase_add_test(tc, successor_with_maps_of_a_replaced_manager);
	tcase_add_test(tc, short_pause_before_a_restore_ends_the_role);
	tcase_add_test(tc, commit_that_reaches_a_restored_store_does_not_count);
	tcase_add_test(tc, term_of_a_refused_write_is_not_shown);
	tcase_add_test(tc, manager_without_support_does_not_return_in_a_restored_store);
	tcase_add_test(tc, successor_whose_peers_followed_a_later_term);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "shardmgr_restored", mutants, add_tests);
}
