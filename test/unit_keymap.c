/* Tests of ownership maps: copies that are kept up to date by changes. */
#include "base/rnd.h"
#include "process/keymap.h"
#include "test/unit.h"

#define KEY_SPACE 512
#define ROUNDS 400

static void random_map(struct rnd *rnd, struct keymap *m)
{
	uint32_t key = 0;

	keymap_clear(m);
	while (key < KEY_SPACE) {
		uint32_t to = key + (uint32_t)rnd_below(rnd, 60);

		keymap_add(m, key, to < KEY_SPACE ? to : KEY_SPACE - 1, rnd_below(rnd, 4));
		key = to + 1;
	}
}

static enum keymap_result send(struct keymap *copy, const struct keymap *now,
			       const struct keymap *ranges, uint64_t since)
{
	struct arena arena = ARENA_INIT;
	enum keymap_result result =
		keymap_apply(copy, keymap_pack(&arena, "s", now, ranges, since));

	arena_free(&arena);
	return result;
}

static void check_same(const struct keymap *a, const struct keymap *b)
{
	for (uint32_t key = 0; key < KEY_SPACE; key++)
		ck_assert_uint_eq(keymap_owner(a, key), keymap_owner(b, key));
}

/* Guards against changes that make a copy differ from the map: requests would be misrouted. */
START_TEST(changes_lead_to_the_same_map)
{
	struct keymap now = {.term = 3, .version = 1};
	struct keymap before = {0};
	struct keymap changes = {0};
	struct keymap copy = {0};
	struct rnd rnd;

	rnd_seed(&rnd, 20261204);
	random_map(&rnd, &now);
	ck_assert_int_eq(send(&copy, &now, &now, 0), KEYMAP_APPLIED);
	check_same(&copy, &now);
	for (int i = 0; i < ROUNDS; i++) {
		keymap_copy(&before, &now);
		random_map(&rnd, &now);
		now.version++;
		keymap_changes(&before, &now, &changes);
		ck_assert_int_eq(send(&copy, &now, &changes, before.version), KEYMAP_APPLIED);
		check_same(&copy, &now);
	}
	keymap_free(&now);
	keymap_free(&before);
	keymap_free(&changes);
	keymap_free(&copy);
}
END_TEST

/* Changes contain only the keys whose upstream changed. */
START_TEST(changes_are_small)
{
	struct keymap before = {.term = 1, .version = 1};
	struct keymap now = {.term = 1, .version = 2};
	struct keymap changes = {0};

	keymap_add(&before, 0, 99, 1);
	keymap_add(&before, 100, 511, 2);
	keymap_add(&now, 0, 49, 1);
	keymap_add(&now, 50, 59, 3);
	keymap_add(&now, 60, 99, 1);
	keymap_add(&now, 100, 511, 2);
	keymap_changes(&before, &now, &changes);
	ck_assert_uint_eq(changes.n, 1);
	ck_assert_uint_eq(changes.ranges[0].from, 50);
	ck_assert_uint_eq(changes.ranges[0].to, 59);
	ck_assert_uint_eq(changes.ranges[0].upstream, 3);
	keymap_changes(&now, &now, &changes);
	ck_assert_uint_eq(changes.n, 0);
	keymap_free(&before);
	keymap_free(&now);
	keymap_free(&changes);
}
END_TEST

/*
 * Guards against applying changes to another version than the one they are based on, after a lost
 * connection or a new shard manager, and against replacing a map by an older one.
 */
START_TEST(gaps_and_old_maps_are_refused)
{
	struct keymap now = {.term = 2, .version = 5};
	struct keymap copy = {0};
	struct keymap none = {0};

	ck_assert_int_eq(send(&copy, &now, &none, 4), KEYMAP_GAP);
	keymap_add(&now, 0, 511, 7);
	ck_assert_int_eq(send(&copy, &now, &now, 0), KEYMAP_APPLIED);
	ck_assert_int_eq(send(&copy, &now, &now, 0), KEYMAP_OLD);
	now.version = 8;
	ck_assert_int_eq(send(&copy, &now, &none, 7), KEYMAP_GAP);
	now.term = 3;
	now.version = 6;
	ck_assert_int_eq(send(&copy, &now, &none, 5), KEYMAP_GAP);
	now.term = 1;
	ck_assert_int_eq(send(&copy, &now, &now, 0), KEYMAP_OLD);
	ck_assert_uint_eq(keymap_owner(&copy, 511), 7);
	keymap_free(&now);
	keymap_free(&copy);
}
END_TEST

static const char *const mutants[] = {"keymap_ignore_gap", NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, changes_lead_to_the_same_map);
	tcase_add_test(tc, changes_are_small);
	tcase_add_test(tc, gaps_and_old_maps_are_refused);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "keymap", mutants, add_tests);
}
