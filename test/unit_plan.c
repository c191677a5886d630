/*
 * Unit tests of plans: texts for operators, version conflicts, the length of the ledger, and
 * removal of upstreams that own keys. prop_plan.cc tests racing operators.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "unit.h"

#include "version/assign.h"
#include "version/config.h"
#include "version/plan.h"

#define FILE_BYTES 65536

static struct arena arena;
static struct err err;
static struct plan plan;
static Bc__Config *config;
static char example[FILE_BYTES];

static void setup(void)
{
	FILE *f = fopen("examples/cooperative.yaml", "r");
	size_t len;

	ck_assert_msg(f != NULL, "run from the repository's root");
	len = fread(example, 1, sizeof(example) - 1, f);
	example[len] = '\0';
	fclose(f);
	arena = ARENA_INIT;
	err_clear(&err);
	config = config_from_yaml(str_from(example), NULL, &err);
	ck_assert_msg(config != NULL, "%s", err.msg);
	config->version = 5;
}

static void teardown(void)
{
	config_free(plan.result);
	plan.result = NULL;
	config_free(config);
	arena_free(&arena);
}

static bool make_plan(const char *intent, const char *yaml, uint64_t version,
		      const Bc__Assign *assign)
{
	struct plan_inputs in = {config, &assign, assign ? 1 : 0};
	struct plan_request req = {str_from(intent), str_from(yaml), version, STR_LIT("ana")};

	config_free(plan.result);
	return plan_make(&arena, &in, &req, 1234, &plan, &err);
}

static void confirm_plan(const char *intent)
{
	ck_assert_msg(make_plan(intent, NULL, 0, NULL), "%s", err.msg);
	ck_assert_msg(!plan.refused, "%s", plan.refusal.ptr);
	config_free(config);
	config = plan.result;
	plan.result = NULL;
}

static bool all_partitions;

/*
 * Returns the planner's first assignment of the partitions of `history` that region meseta serves,
 * or of all partitions if `all_partitions` is set.
 */
static Bc__Assign *assign_partitions_of_meseta(void)
{
	const Bc__Service *s = config_service(config, STR_LIT("history"));
	static struct assign_upstream ups[64];
	static struct assign_move moves[256];
	static bool served[256];
	struct assign_loads loads = {0};
	size_t n = 0;

	for (size_t i = 0; i < config->n_upstreams; i++) {
		const Bc__Upstream *u = config->upstreams[i];

		if (strcmp(u->service, "history") == 0 &&
		    strcmp(config_upstream_region(config, u), "meseta") == 0)
			ups[n++] = (struct assign_upstream){u->num, u->slots, true};
	}
	for (uint32_t p = 0; p < s->partitions; p++)
		served[p] = all_partitions ||
			    strcmp(config_partition_region(config, s, p), "meseta") == 0;
	n = assign_plan(NULL, served, s->partitions, ups, n, &loads, &assign_defaults, moves, 256);
	return assign_apply(NULL, "meseta", "history", moves, n);
}

/* Guards against a plan text that leaves out steps, moved keys, the load or how to undo the plan.
 */
START_TEST(take_out_names_steps_keys_load_and_undo)
{
	Bc__Assign *a = assign_partitions_of_meseta();
	json_t *root;
	size_t owned = 0;

	ck_assert(make_plan("take-out  meseta-a", NULL, 0, a));
	ck_assert(!plan.refused);
	ck_assert(config_failure_domain(plan.result, STR_LIT("meseta-a"))->out);
	ck_assert_ptr_nonnull(strstr(plan.text.ptr, "version 5: take-out meseta-a\n"));
	ck_assert_ptr_nonnull(strstr(plan.text.ptr, "no new work goes to history-01, "));
	ck_assert_ptr_nonnull(strstr(plan.text.ptr, "history in meseta: 20 -> 10 of 20 slots"));
	ck_assert_ptr_nonnull(strstr(plan.text.ptr, "bamboocroft-ctl plan bring-back meseta-a"));
	for (size_t i = 0; i < a->n_owners; i++)
		owned += !config_upstream_usable(
			plan.result, config_upstream(plan.result, a->owners[i]->upstream));
	root = json_loadb(plan.json.ptr, plan.json.len, 0, NULL);
	ck_assert_ptr_nonnull(root);
	ck_assert_str_eq(json_string_value(json_object_get(root, "plan")), plan.id.ptr);
	ck_assert_int_eq(
		json_integer_value(json_object_get(json_array_get(json_object_get(root, "keys"), 0),
						   "partitions_forced")),
		(json_int_t)owned);
	json_decref(root);
	assign_free(a);
}
END_TEST

/*
 * Guards against counting moves that no broker makes: a cell may have owners for partitions that
 * another region serves, because their keys have their home regions here.
 */
START_TEST(plan_that_moves_no_key_says_so)
{
	Bc__Assign *a;

	all_partitions = true;
	a = assign_partitions_of_meseta();
	all_partitions = false;
	ck_assert_uint_eq(a->n_owners, 256);
	ck_assert(make_plan("drain orders-01", NULL, 0, a));
	ck_assert(!plan.refused);
	ck_assert_ptr_nonnull(strstr(plan.text.ptr, "none move"));
	assign_free(a);
}
END_TEST

/* Guards against taking out the last failure domain in service of a region. */
START_TEST(second_failure_domain_of_a_region_is_refused)
{
	confirm_plan("take-out meseta-a");
	ck_assert(make_plan("take-out meseta-b", NULL, 0, NULL));
	ck_assert(plan.refused);
	ck_assert_ptr_null(plan.result);
	ck_assert_ptr_nonnull(strstr(plan.refusal.ptr, "P3 would break"));
	ck_assert_ptr_nonnull(strstr(plan.refusal.ptr, "plan `bring-back meseta-a` first"));
	/* In the other region both failure domains are in service, so one may be taken out. */
	ck_assert(make_plan("take-out pacifico-b", NULL, 0, NULL));
	ck_assert(!plan.refused);
}
END_TEST

/* Guards against a conflict error that does not name the other change and how to continue. */
START_TEST(conflict_names_who_changed_what)
{
	confirm_plan("drain history-01");
	ck_assert(!make_plan("drain history-03", NULL, 5, NULL));
	ck_assert_int_eq(err.kind, ERR_CONFLICT);
	ck_assert_ptr_nonnull(strstr(err.msg, "ana changed it to version 6 with "
					      "'drain history-01'"));
	ck_assert_ptr_nonnull(strstr(err.msg, "run `bamboocroft-ctl plan drain history-03` again"));
	ck_assert(!make_plan("drain history-03", NULL, 7, NULL));
	ck_assert_int_eq(err.kind, ERR_UNAVAILABLE);
	ck_assert(make_plan("drain history-01", NULL, 0, NULL));
	ck_assert_ptr_nonnull(
		strstr(plan.refusal.ptr, "by ana with 'drain history-01', version 6"));
}
END_TEST

/* Guards against lists that grow with each plan: the oldest entry is removed for the 101st. */
START_TEST(ledger_and_lifted_keep_the_last_hundred)
{
	char intent[64];
	char first[32];

	confirm_plan("lift 0000000000000000");
	snprintf(first, sizeof(first), "%s", config->ledger[0]->id);
	for (int i = 1; i < 100; i++) {
		snprintf(intent, sizeof(intent), "lift %016x", (unsigned)i);
		confirm_plan(intent);
	}
	ck_assert_ptr_nonnull(plan_find(config, str_from(first)));
	confirm_plan("lift 00000000000000ff");
	ck_assert_ptr_null(plan_find(config, str_from(first)));
	ck_assert_uint_eq(config->n_ledger, 100);
	ck_assert_uint_eq(config->n_lifted, 100);
	ck_assert_uint_eq(config->version, 106);
	ck_assert_uint_eq(config->lifted[99]->version, 106);
	ck_assert_uint_eq(config->lifted[99]->fingerprint, 0xff);
	ck_assert_int_eq(config->ledger[99]->utc_ms, 1234);
}
END_TEST

/* Guards against an upstream that disappears from the configuration while it owns keys. */
START_TEST(removed_upstream_must_own_nothing)
{
	Bc__Assign *a = assign_partitions_of_meseta();
	char *text;
	char *line;
	char *end;

	confirm_plan("drain history-01");
	text = config_to_yaml(config);
	line = strstr(text, "  - {id: \"history-01\"");
	end = strchr(line, '\n') + 1;
	memmove(line, end, strlen(end) + 1);
	ck_assert_msg(make_plan("apply", text, 0, a), "%s", err.msg);
	ck_assert(plan.refused);
	ck_assert_ptr_nonnull(strstr(plan.refusal.ptr, "still owns"));
	ck_assert(make_plan("apply", text, 0, NULL));
	ck_assert_msg(!plan.refused, "%s", plan.refusal.ptr);
	free(text);
	assign_free(a);
}
END_TEST

/* Guards against intents other than `apply` while there is no configuration yet. */
START_TEST(first_configuration_comes_from_apply)
{
	Bc__Config empty = BC__CONFIG__INIT;
	Bc__Config *old = config;

	config = NULL;
	ck_assert(!make_plan("take-out meseta-a", NULL, 0, NULL));
	ck_assert_int_eq(err.kind, ERR_UNAVAILABLE);
	ck_assert_msg(make_plan("apply", example, 0, NULL), "%s", err.msg);
	ck_assert(!plan.refused);
	ck_assert_uint_eq(plan.result->version, 1);
	ck_assert_uint_eq(plan.version, 0);
	/* An empty configuration of version 0 is handled like a missing one. */
	config = &empty;
	ck_assert(!make_plan("take-out meseta-a", NULL, 0, NULL));
	ck_assert_int_eq(err.kind, ERR_UNAVAILABLE);
	ck_assert_msg(make_plan("apply", example, 0, NULL), "%s", err.msg);
	ck_assert_uint_eq(plan.result->version, 1);
	config = old;
}
END_TEST

/* Guards against invalid intents being accepted, or refused without a remedy. */
START_TEST(bad_intents_are_refused)
{
	static const struct {
		const char *intent;
		enum err_kind kind;
		const char *remedy;
	} bad[] = {
		{"", ERR_INPUT, "use take-out"},
		{"   ", ERR_INPUT, "use take-out"},
		{"remove meseta-a", ERR_INPUT, "use take-out"},
		{"take-out", ERR_INPUT, "write `take-out FAILURE_DOMAIN`"},
		{"take-out meseta-a meseta-b", ERR_INPUT, "write `take-out FAILURE_DOMAIN`"},
		{"take-out nowhere", ERR_NOT_FOUND, "bamboocroft-ctl show"},
		{"drain nothing", ERR_NOT_FOUND, "bamboocroft-ctl show"},
		{"drain history-01 history-01", ERR_INPUT, "name it once"},
		{"drain history-01\n", ERR_INPUT, "remove it"},
		{"lift 123", ERR_INPUT, "16 hex digits"},
		{"lift 00000000000000zz", ERR_INPUT, "16 hex digits"},
		{"apply", ERR_INPUT, "--file"},
		{"apply now", ERR_INPUT, "write `apply`"},
	};

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		err_clear(&err);
		ck_assert_msg(!make_plan(bad[i].intent, NULL, 0, NULL), "%s", bad[i].intent);
		ck_assert_int_eq(err.kind, bad[i].kind);
		ck_assert_msg(strstr(err.msg, bad[i].remedy) != NULL, "%s", err.msg);
	}
	ck_assert(!make_plan("drain history-01", "regions: []", 0, NULL));
	ck_assert_ptr_nonnull(strstr(err.msg, "leave the file out"));
	ck_assert(!make_plan("apply", "regions: 3", 0, NULL));
	ck_assert_ptr_nonnull(strstr(err.msg, "line 1"));
}
END_TEST

static void add_tests(TCase *tc)
{
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, take_out_names_steps_keys_load_and_undo);
	tcase_add_test(tc, plan_that_moves_no_key_says_so);
	tcase_add_test(tc, second_failure_domain_of_a_region_is_refused);
	tcase_add_test(tc, conflict_names_who_changed_what);
	tcase_add_test(tc, ledger_and_lifted_keep_the_last_hundred);
	tcase_add_test(tc, removed_upstream_must_own_nothing);
	tcase_add_test(tc, first_configuration_comes_from_apply);
	tcase_add_test(tc, bad_intents_are_refused);
}

int main(int argc, char **argv)
{
	static const char *const mutants[] = {NULL};

	return unit_main(argc, argv, "plan", mutants, add_tests);
}
