/* Unit tests of versioned documents: replacement by higher versions, ownership of the bytes, and
 * versions that peers reported. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "unit.h"
#include "version/doc.h"

static struct doc_set *set;

static void setup(void)
{
	set = doc_set_create();
}

static void teardown(void)
{
	doc_set_destroy(set);
}

/* Guards against replacing a document by an older one, or by one of the same version. */
START_TEST(only_a_higher_version_replaces)
{
	struct str row = STR_LIT("config");

	ck_assert(!doc_put(set, row, 0, STR_LIT("zero")));
	ck_assert_ptr_null(doc_get(set, row));
	ck_assert(doc_put(set, row, 5, STR_LIT("five")));
	ck_assert(!doc_put(set, row, 5, STR_LIT("other five")));
	ck_assert(!doc_put(set, row, 4, STR_LIT("four")));
	ck_assert(str_eq_cstr(doc_get(set, row)->body, "five"));
	ck_assert_uint_eq(doc_version(set, row), 5);
	ck_assert(doc_put(set, row, 7, STR_LIT("seven")));
	ck_assert(str_eq_cstr(doc_get(set, row)->body, "seven"));
	ck_assert_uint_eq(doc_version(set, row), 7);
}
END_TEST

/* Guards against storing or comparing versions with fewer than 64 bits. */
START_TEST(versions_use_all_bits)
{
	struct str row = STR_LIT("config");

	ck_assert(doc_put(set, row, UINT64_MAX - 1, STR_LIT("a")));
	ck_assert(!doc_put(set, row, 1, STR_LIT("b")));
	ck_assert(doc_put(set, row, UINT64_MAX, STR_LIT("c")));
	ck_assert_uint_eq(doc_version(set, row), UINT64_MAX);
}
END_TEST

/* Guards against comparing only a part of the row's name. */
START_TEST(rows_are_independent)
{
	ck_assert(doc_put(set, STR_LIT("assign/north/order"), 3, STR_LIT("x")));
	ck_assert_uint_eq(doc_version(set, STR_LIT("assign/north/orders")), 0);
	ck_assert_uint_eq(doc_version(set, STR_LIT("assign/north")), 0);
	ck_assert_ptr_null(doc_get(set, STR_LIT("")));
	ck_assert(doc_put(set, STR_LIT("cell/north"), 1, STR_LIT("y")));
	ck_assert_uint_eq(doc_version(set, STR_LIT("assign/north/order")), 3);
}
END_TEST

/* Guards against keeping pointers to the caller's memory after the call. */
START_TEST(row_and_body_are_copied)
{
	char row[] = "cell/north";
	char body[] = "members";

	ck_assert(doc_put(set, str_from(row), 1, str_from(body)));
	memset(row, 'x', sizeof(row) - 1);
	memset(body, 'x', sizeof(body) - 1);
	ck_assert(str_eq_cstr(doc_get(set, STR_LIT("cell/north"))->body, "members"));
	ck_assert(str_eq_cstr(doc_get(set, STR_LIT("cell/north"))->row, "cell/north"));
}
END_TEST

/* Guards against reading the old body after it was freed, if the new body points into it. */
START_TEST(body_may_come_from_the_held_document)
{
	struct str row = STR_LIT("config");
	struct str part;

	ck_assert(doc_put(set, row, 1, STR_LIT("prefix and rest")));
	part = doc_get(set, row)->body;
	part.ptr += 7;
	part.len -= 7;
	ck_assert(doc_put(set, row, 2, part));
	ck_assert(str_eq_cstr(doc_get(set, row)->body, "and rest"));
}
END_TEST

/* Guards against taking an empty body for no document, and against cutting a body at a NUL byte. */
START_TEST(bodies_may_be_empty_or_contain_nul)
{
	static const char bytes[] = {'a', 0, 'b'};
	struct str body = {bytes, sizeof(bytes)};

	ck_assert(doc_put(set, STR_LIT("a"), 1, STR_NULL));
	ck_assert_ptr_nonnull(doc_get(set, STR_LIT("a")));
	ck_assert_uint_eq(doc_get(set, STR_LIT("a"))->body.len, 0);
	ck_assert(doc_put(set, STR_LIT("b"), 1, body));
	ck_assert(str_eq(doc_get(set, STR_LIT("b"))->body, body));
}
END_TEST

/* Guards against a peer making this process hold a body above the limit. */
START_TEST(oversized_body_is_refused)
{
	struct str row = STR_LIT("config");
	char *bytes = calloc(1, DOC_MAX_BYTES + 1);

	ck_assert_ptr_nonnull(bytes);
	ck_assert(doc_put(set, row, 1, STR_LIT("kept")));
	ck_assert(!doc_put(set, row, 2, (struct str){bytes, DOC_MAX_BYTES + 1}));
	ck_assert(str_eq_cstr(doc_get(set, row)->body, "kept"));
	ck_assert_uint_eq(doc_version(set, row), 1);
	ck_assert(doc_put(set, row, 2, (struct str){bytes, DOC_MAX_BYTES}));
	free(bytes);
}
END_TEST

/* Guards against a version taken from a peer being treated as read from the store. */
START_TEST(from_store_belongs_to_one_version)
{
	struct str row = STR_LIT("config");

	doc_mark_from_store(set, row, 1);
	ck_assert(doc_put(set, row, 1, STR_LIT("a")));
	ck_assert(!doc_get(set, row)->from_store);
	doc_mark_from_store(set, row, 2);
	ck_assert(!doc_get(set, row)->from_store);
	doc_mark_from_store(set, row, 1);
	ck_assert(doc_get(set, row)->from_store);
	ck_assert(doc_put(set, row, 2, STR_LIT("b")));
	ck_assert(!doc_get(set, row)->from_store);
}
END_TEST

/* Guards against losing rows or listing them twice when the hash table grows, and against listing
 * rows that only peers reported. */
START_TEST(list_has_each_held_document_once)
{
	enum { N = 1000 };
	static int seen[N];
	char name[32];
	size_t n = 0;

	ck_assert_ptr_null(doc_first(set));
	for (int i = 0; i < N; i++) {
		snprintf(name, sizeof(name), "assign/%d", i);
		doc_set_peer_version(set, 9, str_from(name), 4);
		if (i % 2 == 0)
			ck_assert(doc_put(set, str_from(name), (uint64_t)i + 1, str_from(name)));
	}
	for (const struct doc *d = doc_first(set); d; d = d->next) {
		int i = atoi(d->row.ptr + strlen("assign/"));

		ck_assert(i >= 0 && i < N && i % 2 == 0);
		ck_assert_int_eq(seen[i]++, 0);
		ck_assert_uint_eq(d->version, (uint64_t)i + 1);
		ck_assert(str_eq(d->body, d->row));
		ck_assert_ptr_eq(doc_get(set, d->row), d);
		n++;
	}
	ck_assert_uint_eq(n, N / 2);
}
END_TEST

/* Guards against counting a node that reported an older version or is not among the given nodes. */
START_TEST(holders_are_counted_among_the_given_nodes)
{
	struct str row = STR_LIT("assign/north/order");
	const uint64_t members[] = {1, 2, 3};

	ck_assert_uint_eq(doc_count_holders(set, row, 1, members, 3), 0);
	doc_set_peer_version(set, 1, row, 4);
	doc_set_peer_version(set, 2, row, 5);
	doc_set_peer_version(set, 7, row, 9);
	doc_set_peer_version(set, 3, STR_LIT("config"), 9);
	ck_assert_uint_eq(doc_count_holders(set, row, 4, members, 3), 2);
	ck_assert_uint_eq(doc_count_holders(set, row, 5, members, 3), 1);
	ck_assert_uint_eq(doc_count_holders(set, row, 6, members, 3), 0);
	ck_assert_uint_eq(doc_count_holders(set, row, 4, members, 1), 1);
	/* A peer's report does not change the version that this process holds. */
	ck_assert_uint_eq(doc_version(set, row), 0);
}
END_TEST

/* Guards against a delayed heartbeat overwriting the version that a newer one reported. */
START_TEST(lower_reports_are_ignored)
{
	struct str row = STR_LIT("config");
	const uint64_t node = 1;

	doc_set_peer_version(set, node, row, 8);
	doc_set_peer_version(set, node, row, 7);
	ck_assert_uint_eq(doc_count_holders(set, row, 8, &node, 1), 1);
}
END_TEST

/* Guards against counting a restarted peer as holder of documents it had before the restart. */
START_TEST(removed_peer_is_not_counted)
{
	const uint64_t members[] = {1, 2, 3};
	struct str a = STR_LIT("config");
	struct str b = STR_LIT("cell/north");

	for (uint64_t node = 1; node <= 3; node++) {
		doc_set_peer_version(set, node, a, 2);
		doc_set_peer_version(set, node, b, 2);
	}
	doc_remove_peer(set, 1);
	doc_remove_peer(set, 99);
	ck_assert_uint_eq(doc_count_holders(set, a, 2, members, 3), 2);
	ck_assert_uint_eq(doc_count_holders(set, b, 2, members, 3), 2);
	ck_assert_uint_eq(doc_count_holders(set, a, 2, members, 1), 0);
	doc_set_peer_version(set, 1, a, 1);
	ck_assert_uint_eq(doc_count_holders(set, a, 1, members, 1), 1);
	ck_assert_uint_eq(doc_count_holders(set, a, 2, members, 1), 0);
}
END_TEST

static void add_tests(TCase *tc)
{
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, only_a_higher_version_replaces);
	tcase_add_test(tc, versions_use_all_bits);
	tcase_add_test(tc, rows_are_independent);
	tcase_add_test(tc, row_and_body_are_copied);
	tcase_add_test(tc, body_may_come_from_the_held_document);
	tcase_add_test(tc, bodies_may_be_empty_or_contain_nul);
	tcase_add_test(tc, oversized_body_is_refused);
	tcase_add_test(tc, from_store_belongs_to_one_version);
	tcase_add_test(tc, list_has_each_held_document_once);
	tcase_add_test(tc, holders_are_counted_among_the_given_nodes);
	tcase_add_test(tc, lower_reports_are_ignored);
	tcase_add_test(tc, removed_peer_is_not_counted);
}

int main(int argc, char **argv)
{
	static const char *const mutants[] = {NULL};

	return unit_main(argc, argv, "doc", mutants, add_tests);
}
