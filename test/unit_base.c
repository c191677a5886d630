/* Tests of src/base: number parsing, splitting, arena strings, hybrid logical clock, errors. */
#include "base/arena.h"
#include "base/err.h"
#include "base/hlc.h"
#include "base/str.h"
#include "test/unit.h"

/* Guards against accepting numbers that overflow or have trailing characters in header values. */
START_TEST(number_parsing_is_strict)
{
	uint64_t n = 7;

	ck_assert(str_to_u64(STR_LIT("65535"), 65535, &n) && n == 65535);
	ck_assert(!str_to_u64(STR_LIT("65536"), 65535, &n));
	ck_assert(!str_to_u64(STR_LIT("12x"), 65535, &n));
	ck_assert(!str_to_u64(STR_LIT(""), 65535, &n));
	ck_assert(!str_to_u64(STR_LIT("99999999999999999999"), UINT64_MAX, &n));
	ck_assert(str_to_u64(STR_LIT("18446744073709551615"), UINT64_MAX, &n) && n == UINT64_MAX);
}
END_TEST

/* Guards against losing the last part of a list, which has no separator after it. */
START_TEST(split_without_separator_returns_all)
{
	struct str rest;

	ck_assert(str_eq_cstr(str_split(STR_LIT("a/b/c"), '/', &rest), "a"));
	ck_assert(str_eq_cstr(rest, "b/c"));
	ck_assert(str_eq_cstr(str_split(STR_LIT("abc"), '/', &rest), "abc"));
	ck_assert_uint_eq(rest.len, 0);
}
END_TEST

/* Guards against strings longer than a block of the arena overwriting others. */
START_TEST(arena_keeps_large_and_small_strings)
{
	struct arena a = ARENA_INIT;
	struct str big = arena_printf(&a, "%10000d", 1);
	struct str small = arena_str(&a, STR_LIT("key"));

	ck_assert_uint_eq(big.len, 10000);
	ck_assert_str_eq(small.ptr, "key");
	arena_free(&a);
}
END_TEST

/* Guards against sorting an effect before its cause when the receiver's wall clock is behind. */
START_TEST(hybrid_clock_follows_remote_stamp)
{
	struct hlc a = {0};
	struct hlc b = {0};
	uint64_t sent = hlc_next(&a, 2000);

	hlc_observe(&b, sent, 1990);
	ck_assert_uint_gt(hlc_next(&b, 1990), sent);
}
END_TEST

/* Guards against a prefix that overwrites the message or changes the kind of error. */
START_TEST(error_prefix_keeps_the_message)
{
	struct err err = {0};

	ck_assert(!err_set(&err, ERR_INPUT, "port %d is too large; use 1 to 65535", 70000));
	err_prefix(&err, "settings");
	ck_assert_str_eq(err.msg, "settings: port 70000 is too large; use 1 to 65535");
	ck_assert_int_eq(err_exit_code(err.kind), 2);
}
END_TEST

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, number_parsing_is_strict);
	tcase_add_test(tc, split_without_separator_returns_all);
	tcase_add_test(tc, arena_keeps_large_and_small_strings);
	tcase_add_test(tc, hybrid_clock_follows_remote_stamp);
	tcase_add_test(tc, error_prefix_keeps_the_message);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "base", UNIT_NO_MUTANTS, add_tests);
}
