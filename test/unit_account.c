/* Tests of client accounts: credentials, priority, home regions, and invalid configurations. */
#include <stdlib.h>

#include "accounts/account.h"
#include "base/rnd.h"
#include "platform/plat.h"
#include "test/unit.h"

static struct topo *config(const char *accounts, struct err *err)
{
	char text[4096];

	snprintf(text, sizeof(text),
		 "{\"version\":\"0000000c\",\"services\":[{\"name\":\"s\",\"health-path\":\"/h\","
		 "\"max-connections\":9}],%s\"virtual-hosts\":[{\"host\":\"h\",\"path-routes\":["
		 "{\"name\":\"r\",\"prefix\":\"/a/\",\"kind\":\"safe\",\"timeout\":\"1s\","
		 "\"target-latency\":\"1s\",\"priority\":3,\"service\":\"s\","
		 "\"allowed-regions\":[\"east\",\"west\"]},"
		 "{\"name\":\"open\",\"prefix\":\"/b/\",\"kind\":\"safe\",\"timeout\":\"1s\","
		 "\"target-latency\":\"1s\",\"service\":\"s\",\"auth-exempt\":true}]}]}",
		 accounts);
	return plat_config(str_from(text), err);
}

static const char two_accounts[] =
	"\"tenants\":[{\"name\":\"one\",\"api-keys\":[\"k1\",\"k2\",\"k1\"],\"priority\":0,"
	"\"rate-per-s\":12.5,\"burst\":3,\"allowed-regions\":[\"west\",\"north\"]},"
	"{\"name\":\"two\",\"api-keys\":[\"K1\"]}],";

static struct account_check check(const struct topo *t, const char *path, const char *a,
				  const char *b)
{
	const struct str credentials[] = {str_from(a), str_from(b)};

	return account_check(t, topo_match(t, STR_LIT("h"), str_from(path)), credentials,
			     b	 ? 2
			     : a ? 1
				 : 0);
}

/* Guards against a request that is let in without a right, or counts for another account. */
START_TEST(only_a_single_known_credential_names_an_account)
{
	struct err err = {0};
	struct topo *t = config(two_accounts, &err);

	ck_assert_msg(t != NULL, "%s", err.msg);
	ck_assert(str_eq_cstr(check(t, "/a/", "k1", NULL).account->name, "one"));
	ck_assert(str_eq_cstr(check(t, "/a/", "k2", NULL).account->name, "one"));
	/* The letter case counts. */
	ck_assert(str_eq_cstr(check(t, "/a/", "K1", NULL).account->name, "two"));
	ck_assert_int_eq(check(t, "/a/", "K2", NULL).outcome, ACCOUNT_UNKNOWN);
	ck_assert_int_eq(check(t, "/a/", "k", NULL).outcome, ACCOUNT_UNKNOWN);
	ck_assert_int_eq(check(t, "/a/", "k11", NULL).outcome, ACCOUNT_UNKNOWN);
	ck_assert_int_eq(check(t, "/a/", "one", NULL).outcome, ACCOUNT_UNKNOWN);
	ck_assert_int_eq(check(t, "/a/", "", NULL).outcome, ACCOUNT_MISSING);
	ck_assert_int_eq(check(t, "/a/", NULL, NULL).outcome, ACCOUNT_MISSING);
	ck_assert_int_eq(check(t, "/a/", "k1", "K1").outcome, ACCOUNT_AMBIGUOUS);
	ck_assert_int_eq(check(t, "/a/", "k1", "k1").outcome, ACCOUNT_AMBIGUOUS);
	ck_assert_int_eq(check(t, "/a/", "k1", "").outcome, ACCOUNT_AMBIGUOUS);
	for (int o = ACCOUNT_NONE; o <= ACCOUNT_UNKNOWN; o++)
		ck_assert_int_eq(account_is_refused((enum account_outcome)o), o >= ACCOUNT_MISSING);
	topo_destroy(t);
}
END_TEST

/* Guards against an open route that asks for a credential, or passes on an account unchecked. */
START_TEST(exempt_routes_are_open_and_still_know_the_account)
{
	struct err err = {0};
	struct topo *t = config(two_accounts, &err);

	ck_assert(t != NULL);
	ck_assert_int_eq(check(t, "/b/", NULL, NULL).outcome, ACCOUNT_EXEMPT);
	ck_assert_int_eq(check(t, "/b/", "unknown", NULL).outcome, ACCOUNT_EXEMPT);
	ck_assert_int_eq(check(t, "/b/", "k1", "K1").outcome, ACCOUNT_EXEMPT);
	ck_assert_ptr_null(check(t, "/b/", "k1", "K1").account);
	ck_assert(str_eq_cstr(check(t, "/b/", "k1", NULL).account->name, "one"));
	topo_destroy(t);
}
END_TEST

/* Guards against checks where a configuration lists no accounts, and none where the list is empty.
 */
START_TEST(accounts_are_checked_only_if_configured)
{
	struct err err = {0};
	struct topo *t = config("", &err);

	ck_assert(t && !t->has_accounts);
	ck_assert_int_eq(check(t, "/a/", NULL, NULL).outcome, ACCOUNT_NONE);
	ck_assert_int_eq(check(t, "/a/", "k1", NULL).outcome, ACCOUNT_NONE);
	topo_destroy(t);
	t = config("\"tenants\":[],", &err);
	ck_assert(t && t->has_accounts);
	ck_assert_int_eq(check(t, "/a/", "k1", NULL).outcome, ACCOUNT_UNKNOWN);
	ck_assert_int_eq(check(t, "/a/", NULL, NULL).outcome, ACCOUNT_MISSING);
	ck_assert_int_eq(check(t, "/b/", NULL, NULL).outcome, ACCOUNT_EXEMPT);
	topo_destroy(t);
	/* An account all of whose credentials were withdrawn. */
	t = config("\"tenants\":[{\"name\":\"one\",\"api-keys\":[]}],", &err);
	ck_assert(t != NULL);
	ck_assert_int_eq(check(t, "/a/", "k1", NULL).outcome, ACCOUNT_UNKNOWN);
	topo_destroy(t);
}
END_TEST

START_TEST(allowance_and_priority_are_read)
{
	struct err err = {0};
	struct topo *t = config(two_accounts, &err);
	const struct topo_route *r;
	const struct topo_account *one;
	const struct topo_account *two;

	ck_assert(t && t->n_accounts == 2);
	one = &t->accounts[0];
	two = &t->accounts[1];
	ck_assert(one->rate == 12.5 && one->burst == 3 && one->has_priority);
	ck_assert(two->rate == 0 && two->burst == 0 && !two->has_priority);
	/* Guards against the order of the route alone. */
	r = topo_match(t, STR_LIT("h"), STR_LIT("/a/"));
	ck_assert_uint_lt(account_priority(one, r), account_priority(two, r));
	ck_assert_uint_eq(account_priority(two, r), account_priority(NULL, r));
	ck_assert_uint_lt(account_priority(one, topo_match(t, STR_LIT("h"), STR_LIT("/b/"))),
			  account_priority(one, r));
	topo_destroy(t);
}
END_TEST

/* Guards against a region that only the route, or only the account, allows. */
START_TEST(home_regions_of_account_and_route_bind)
{
	struct err err = {0};
	struct topo *t = config(two_accounts, &err);
	const struct topo_route *r;

	ck_assert(t != NULL);
	r = topo_match(t, STR_LIT("h"), STR_LIT("/a/"));
	ck_assert(account_is_home(&t->accounts[0], r, STR_LIT("west")));
	ck_assert(!account_is_home(&t->accounts[0], r, STR_LIT("east")));
	ck_assert(!account_is_home(&t->accounts[0], r, STR_LIT("north")));
	ck_assert(account_is_home(&t->accounts[1], r, STR_LIT("east")));
	ck_assert(!account_is_home(&t->accounts[1], r, STR_LIT("north")));
	ck_assert(account_is_home(NULL, r, STR_LIT("east")));
	topo_destroy(t);
}
END_TEST

/* Guards against half a configuration in force, and against errors that repeat a credential. */
START_TEST(invalid_accounts_reject_the_configuration)
{
	static const struct {
		const char *accounts;
		const char *error;
	} cases[] = {
		{"\"tenants\":{},", "tenants: not a list"},
		{"\"tenants\":[{\"api-keys\":[\"k\"]}],", "tenants[0]: name"},
		{"\"tenants\":[{\"name\":\"a\",\"api-keys\":[\"\"]}],", "api-keys[0]"},
		{"\"tenants\":[{\"name\":\"a\",\"api-keys\":[7]}],", "api-keys[0]"},
		{"\"tenants\":[{\"name\":\"a\",\"api-keys\":\"k\"}],", "api-keys: not a list"},
		{"\"tenants\":[{\"name\":\"a\",\"rate-per-s\":-1}],", "rate-per-s"},
		{"\"tenants\":[{\"name\":\"a\",\"burst\":-0.5}],", "burst"},
		{"\"tenants\":[{\"name\":\"a\",\"burst\":\"5\"}],", "burst"},
		{"\"tenants\":[{\"name\":\"a\",\"priority\":-1}],", "priority"},
		{"\"tenants\":[{\"name\":\"a\"},{\"name\":\"a\"}],", "two accounts are named a"},
		{"\"tenants\":[{\"name\":\"a\\nb\"}],", "no header value"},
		{"\"tenants\":[{\"name\":\"a b\"}],", "no header value"},
		{"\"tenants\":[{\"name\":\"a\",\"api-keys\":[\"secret\"]},"
		 "{\"name\":\"b\",\"api-keys\":[\"other\",\"secret\"]}],",
		 "accounts a and b have a credential in common"},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct err err = {0};

		ck_assert_msg(!config(cases[i].accounts, &err), "%s", cases[i].accounts);
		ck_assert_msg(strstr(err.msg, cases[i].error) != NULL, "%s: %s", cases[i].accounts,
			      err.msg);
		ck_assert_ptr_null(strstr(err.msg, "secret"));
	}
}
END_TEST

/* Guards against credentials that the index loses or confuses, at any number of them. */
START_TEST(the_index_finds_every_credential)
{
	static struct topo_account accounts[300];
	static struct str credentials[300][3];
	struct topo_route route = {0};
	struct err err = {0};

	for (size_t n = 1; n <= 300; n += 23) {
		struct topo *t = topo_create();

		t->has_accounts = true;
		t->accounts = accounts;
		t->n_accounts = n;
		for (size_t i = 0; i < n; i++) {
			for (size_t k = 0; k < 3; k++)
				credentials[i][k] = arena_printf(&t->arena, "%zx-%zu", i, k);
			accounts[i] =
				(struct topo_account){.name = arena_printf(&t->arena, "n%zu", i),
						      .credentials = credentials[i],
						      .n_credentials = i % 4 < 3 ? 3 : 0};
		}
		ck_assert(account_index(t, &err));
		for (size_t i = 0; i < n; i++) {
			for (size_t k = 0; k < 3; k++) {
				struct account_check c =
					account_check(t, &route, &credentials[i][k], 1);

				ck_assert_ptr_eq(c.account, i % 4 < 3 ? &accounts[i] : NULL);
			}
		}
		topo_destroy(t);
	}
}
END_TEST

static const char *const mutants[] = {"account_shared",
				      "account_any_name",
				      "account_first_credential",
				      "account_all_exempt",
				      "account_route_priority",
				      "account_no_homes",
				      NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, only_a_single_known_credential_names_an_account);
	tcase_add_test(tc, exempt_routes_are_open_and_still_know_the_account);
	tcase_add_test(tc, accounts_are_checked_only_if_configured);
	tcase_add_test(tc, allowance_and_priority_are_read);
	tcase_add_test(tc, home_regions_of_account_and_route_bind);
	tcase_add_test(tc, invalid_accounts_reject_the_configuration);
	tcase_add_test(tc, the_index_finds_every_credential);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "account", mutants, add_tests);
}
