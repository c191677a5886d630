/*
 * Unit tests of the configuration: errors in a YAML file, values that the file leaves out, routes,
 * home regions, and usable upstreams.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "unit.h"

#include "version/config.h"

#define FILE_BYTES 65536

/* A small valid file; each test of an error changes one part of it. */
static const char valid_file[] = "regions:\n"
				 "  - {id: north, entries: [\"127.0.0.1:80\"]}\n"
				 "  - {id: south}\n"
				 "failure_domains:\n"
				 "  - {id: n1, region: north}\n"
				 "  - {id: s1, region: south}\n"
				 "services:\n"
				 "  - {id: look, keyed: true, regions: [north, south]}\n"
				 "  - {id: buy, keyed: false, regions: [north]}\n"
				 "routes:\n"
				 "  - {prefix: /look, service: look, idempotent: true}\n"
				 "  - {prefix: /look/home, service: look, idempotent: true,\n"
				 "     home_regions: [south]}\n"
				 "  - {prefix: /buy, service: buy, idempotent: false}\n"
				 "accounts:\n"
				 "  - {account: acme, home_regions: [north]}\n"
				 "upstreams:\n"
				 "  - {id: u1, service: look, failure_domain: n1, address: "
				 "\"127.0.0.1:9001\", slots: 2}\n"
				 "  - {id: u2, service: look, failure_domain: s1, address: "
				 "\"127.0.0.1:9002\", slots: 2}\n"
				 "  - {id: u3, service: buy, failure_domain: n1, address: "
				 "\"127.0.0.1:9003\", slots: 2}\n";

/* Returns the valid file with the first `from` replaced; the test fails if there is none. */
static char *valid_file_with(const char *from, const char *to)
{
	static char text[FILE_BYTES];
	const char *hit = strstr(valid_file, from);

	ck_assert_msg(hit != NULL, "'%s' is not in the file", from);
	snprintf(text, sizeof(text), "%.*s%s%s", (int)(hit - valid_file), valid_file, to,
		 hit + strlen(from));
	return text;
}

static Bc__Config *read_ok(const char *text, const Bc__Config *base)
{
	struct err err = {0};
	Bc__Config *c = config_from_yaml(str_from(text), base, &err);

	ck_assert_msg(c != NULL, "%s", err.msg);
	return c;
}

/* A fault that is put into the valid file, and the parts that the error message must have. */
struct fault {
	const char *from;
	const char *to;
	const char *line;
	const char *field;
	const char *fault;
	const char *remedy;
};

static const struct fault fault_cases[] = {
	{"id: north, entries", "id: nor th, entries", "line 2", "id", "character outside",
	 "use only those"},
	{"id: north, entries", "id: \"\", entries", "line 2", "regions.id", "is empty",
	 "give a value"},
	{"{id: south}", "{id: north}", "line 3", "id", "used twice", "another name"},
	{"127.0.0.1:80\"", "127.0.0.1:80x\"", "line 2", "entries", "not an address", "ip:port"},
	{"[\"127.0.0.1:80\"]", "here", "line 2", "regions.entries", "not a list", "write [a, b]"},
	{"region: north}", "region: nowhere}", "line 5", "region", "'nowhere' is not defined",
	 "add it below regions"},
	{", region: north}", "}", "line 5", "failure_domains.region", "is missing", "add it"},
	{"{id: n1, region: north}", "n1", "line 5", "failure_domains", "not a mapping",
	 "write '- id: ...'"},
	{"keyed: true", "keyed: yes", "line 8", "services.keyed", "'yes' is not a truth value",
	 "true or false"},
	{"keyed: true", "keyed: true, partitions: 0", "line 8", "partitions", "out of range",
	 "use 1 to 65536"},
	{"keyed: true", "keyed: true, timeout_ms: 60000", "line 8", "timeout_ms", "out of range",
	 "use 1 to 10000"},
	{"keyed: true", "keyed: true, partitions: -1", "line 8", "services.partitions",
	 "'-1' is not a number", "whole number"},
	{"keyed: true", "keyed: true, partitions: 99999999999", "line 8", "services.partitions",
	 "is not a number", "whole number"},
	{"keyed: true", "keyed: true, region_weights: [1]", "line 8", "region_weights", "1 weights",
	 "one weight for each region"},
	{"keyed: true", "keyed: true, speed: 3", "line 8", "services",
	 "'speed' is not a known field", "remove or correct"},
	{"keyed: true", "keyed: true, keyed: true", "line 8", "services", "'keyed' is given twice",
	 "remove one"},
	{"id: buy, keyed: false, regions: [north]",
	 "id: buy, keyed: false, regions: [north, south]", "line 9", "regions", "no upstream",
	 "add one or remove"},
	{"id: buy, keyed: false, regions: [north]", "id: buy, keyed: false, regions: []", "line 9",
	 "regions", "is empty", "name at least one"},
	{"prefix: /look,", "prefix: look,", "line 11", "prefix", "not a path", "start with '/'"},
	{"prefix: /look,", "prefix: /find,", "line 11", "prefix", "does not start with the service",
	 "write '/look'"},
	{"prefix: /look/home", "prefix: /look", "line 12", "prefix", "used twice", "remove one"},
	{"service: look, idempotent", "service: lok, idempotent", "line 11", "service",
	 "'lok' is not defined", "correct the name"},
	{"service: buy, idempotent: false}",
	 "service: buy, idempotent: false, home_regions: [south]}", "line 14", "home_regions",
	 "stands in none", "add a home region"},
	{"home_regions: [north]", "home_regions: [east]", "line 16", "home_regions",
	 "'east' is not defined", "add it below regions"},
	{"home_regions: [north]", "home_regions: []", "line 16", "home_regions", "is empty",
	 "name a region"},
	{"{id: u2", "{id: u1", "line 19", "id", "used twice", "another name"},
	{"failure_domain: n1, address", "failure_domain: n9, address", "line 18", "failure_domain",
	 "'n9' is not defined", "below failure_domains"},
	{"service: buy, failure_domain: n1", "service: buy, failure_domain: s1", "line 20",
	 "failure_domain", "not a region of service", "place the upstream elsewhere"},
	{"127.0.0.1:9001", "localhost:9001", "line 18", "address", "not an address", "ip:port"},
	{"127.0.0.1:9001", "127.0.0.1", "line 18", "upstreams.address", "not an address",
	 "ip:port"},
	{"127.0.0.1:9002", "127.0.0.1:9001", "line 19", "address", "also belongs to 'u1'",
	 "own address"},
	{"slots: 2}\n  - {id: u2", "slots: 0}\n  - {id: u2", "line 18", "slots", "out of range",
	 "use 1 to"},
	{"slots: 2}\n  - {id: u2", "slots: 2, cold_limit: 3}\n  - {id: u2", "line 18", "cold_limit",
	 "3 is out of range", "use 1 to 2"},
	{"slots: 2}\n  - {id: u2", "slots: 2, intent: away}\n  - {id: u2", "line 18",
	 "upstreams.intent", "'away' is unknown", "in, draining or dead"},
	{"slots: 2}\n  - {id: u2", "slots: [2]}\n  - {id: u2", "line 18", "upstreams.slots",
	 "list or mapping", "single value"},
	{"regions:\n", "region:\n", "line 1", "", "'region' is not a known field", "correct it"},
	{"accounts:\n", "accounts: 3\nnotes:\n", "line 16", "", "'notes' is not a known field",
	 "remove"},
	{"upstreams:\n", "upstreams: [\n", "line 18", "", "not YAML", "correct the syntax"},
};

/* Guards against accepting an invalid file, and against errors without line, field or remedy. */
START_TEST(fault_is_named_with_line_field_and_remedy)
{
	const struct fault *f = &fault_cases[_i];
	struct err err = {0};
	Bc__Config *c = config_from_yaml(str_from(valid_file_with(f->from, f->to)), NULL, &err);

	ck_assert_msg(c == NULL, "accepted '%s'", f->to);
	ck_assert_int_eq(err.kind, ERR_INPUT);
	ck_assert_msg(strstr(err.msg, f->line) == err.msg, "line in: %s", err.msg);
	ck_assert_msg(strstr(err.msg, f->field) != NULL, "field in: %s", err.msg);
	ck_assert_msg(strstr(err.msg, f->fault) != NULL, "fault in: %s", err.msg);
	ck_assert_msg(strstr(err.msg, f->remedy) != NULL, "remedy in: %s", err.msg);
}
END_TEST

/* Guards against crashes and leaks on input that is not a configuration. */
START_TEST(other_input_is_refused)
{
	static const char *const texts[] = {
		"",
		"\n",
		"---\n",
		"[]",
		"3",
		"regions",
		"{",
		"\t",
		"a: &a [*a]",
		"? [a]: b",
		"regions: *x",
		"\xff\xfe",
		"regions: {a: b}",
		"regions: &r [*r]\nfailure_domains: *r\nservices: *r\nroutes: *r\nupstreams: *r\n",
		"? {regions: 1}\n: []\n",
	};

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		struct err err = {0};

		ck_assert_msg(config_from_yaml(str_from(texts[i]), NULL, &err) == NULL, "%s",
			      texts[i]);
		ck_assert_int_eq(err.kind, ERR_INPUT);
		ck_assert_msg(strstr(err.msg, "line ") != NULL, "%s", err.msg);
	}
}
END_TEST

/* Guards against crashes and leaks on truncated files and on files with a replaced byte. */
START_TEST(damaged_file_is_refused_or_read)
{
	static const char bytes[] = {'\0', '{', '"', '*', (char)0xc3, '\n'};
	char text[sizeof(valid_file)];

	for (size_t i = 0; i < sizeof(valid_file) - 1; i++) {
		struct err err = {0};

		config_free(config_from_yaml((struct str){valid_file, i}, NULL, &err));
		memcpy(text, valid_file, sizeof(valid_file));
		text[i] = bytes[i % sizeof(bytes)];
		config_free(
			config_from_yaml((struct str){text, sizeof(valid_file) - 1}, NULL, &err));
	}
}
END_TEST

/* Guards against values that are lost when a configuration is written as YAML and read again. */
START_TEST(yaml_round_trip_keeps_everything)
{
	Bc__Config *a = read_ok(valid_file, NULL);
	char *text = config_to_yaml(a);
	Bc__Config *b = read_ok(text, NULL);
	char *again = config_to_yaml(b);

	ck_assert_str_eq(text, again);
	free(text);
	free(again);
	config_free(a);
	config_free(b);
}
END_TEST

/*
 * Guards against a file that undoes earlier plans of operators, or gives the number of an upstream
 * to another one.
 */
START_TEST(file_keeps_numbers_and_operators_changes)
{
	Bc__Config *base = read_ok(valid_file, NULL);
	Bc__Config *next;
	uint32_t u2 = config_upstream_by_id(base, STR_LIT("u2"))->num;

	base->version = 7;
	base->failure_domains[1]->out = true;
	base->upstreams[1]->intent = BC__UPSTREAM_INTENT__DRAINING;
	next = read_ok(valid_file_with("{id: u1", "{id: u9"), base);
	ck_assert_uint_eq(next->version, 7);
	ck_assert_uint_eq(config_upstream_by_id(next, STR_LIT("u2"))->num, u2);
	ck_assert_uint_ge(config_upstream_by_id(next, STR_LIT("u9"))->num, base->next_upstream_num);
	ck_assert(config_failure_domain(next, STR_LIT("s1"))->out);
	ck_assert_int_eq(config_upstream_by_id(next, STR_LIT("u2"))->intent,
			 BC__UPSTREAM_INTENT__DRAINING);
	config_free(next);
	next = read_ok(valid_file_with("region: south}", "region: south, out: false}"), base);
	ck_assert(!config_failure_domain(next, STR_LIT("s1"))->out);
	config_free(next);
	config_free(base);
}
END_TEST

/*
 * Guards against a new upstream moving partitions to another region. Brokers of different regions
 * do not fence each other, so a key could get two owners.
 */
START_TEST(new_upstream_keeps_partitions_in_their_regions)
{
	Bc__Config *a = read_ok(valid_file, NULL);
	Bc__Config *b = read_ok(valid_file_with("  - {id: u3,",
						"  - {id: u4, service: look, failure_domain: n1,"
						" address: \"127.0.0.1:9004\", slots: 2}\n"
						"  - {id: u3,"),
				a);
	size_t north = 0;

	for (uint32_t p = 0; p < 256; p++) {
		const char *region = config_partition_region(a, a->services[0], p);

		ck_assert_str_eq(region, config_partition_region(b, b->services[0], p));
		north += strcmp(region, "north") == 0;
	}
	/* With equal weights, each region has half of the 256 partitions, within four standard
	 * deviations of 8. */
	ck_assert_uint_ge(north, 96);
	ck_assert_uint_le(north, 160);
	config_free(a);
	config_free(b);
}
END_TEST

/*
 * Guards against matching a prefix inside a path segment, and against preferring a shorter prefix.
 */
START_TEST(longest_route_wins_at_segment_borders)
{
	Bc__Config *c = read_ok(valid_file, NULL);

	ck_assert_str_eq(config_route(c, STR_LIT("/look"))->prefix, "/look");
	ck_assert_str_eq(config_route(c, STR_LIT("/look/at"))->prefix, "/look");
	ck_assert_str_eq(config_route(c, STR_LIT("/look/home"))->prefix, "/look/home");
	ck_assert_str_eq(config_route(c, STR_LIT("/look/home/x"))->prefix, "/look/home");
	ck_assert_str_eq(config_route(c, STR_LIT("/look/homeless"))->prefix, "/look");
	ck_assert_ptr_null(config_route(c, STR_LIT("/lookup")));
	ck_assert_ptr_null(config_route(c, STR_LIT("/")));
	ck_assert_ptr_null(config_route(c, STR_LIT("")));
	config_free(c);
}
END_TEST

/* Guards against a request that is served outside its home regions. */
START_TEST(home_regions_are_intersected)
{
	Bc__Config *c = read_ok(valid_file, NULL);
	const Bc__Route *unrestricted = config_route(c, STR_LIT("/look"));
	const Bc__Route *south_only = config_route(c, STR_LIT("/look/home"));
	bool homed;

	ck_assert(config_home_allows(c, unrestricted, STR_LIT("other"), STR_LIT("north"), &homed));
	ck_assert(!homed);
	ck_assert(config_home_allows(c, unrestricted, STR_LIT("acme"), STR_LIT("north"), &homed));
	ck_assert(homed);
	ck_assert(!config_home_allows(c, unrestricted, STR_LIT("acme"), STR_LIT("south"), &homed));
	ck_assert(homed);
	ck_assert(!config_home_allows(c, south_only, STR_NULL, STR_LIT("north"), &homed));
	ck_assert(config_home_allows(c, south_only, STR_NULL, STR_LIT("south"), &homed));
	ck_assert_str_eq(config_home_region(c, unrestricted, STR_LIT("acme"))->id, "north");
	ck_assert_str_eq(config_home_region(c, south_only, STR_NULL)->id, "south");
	/* The route allows only south, the account only north. */
	ck_assert(!config_home_allows(c, south_only, STR_LIT("acme"), STR_LIT("north"), &homed));
	ck_assert(!config_home_allows(c, south_only, STR_LIT("acme"), STR_LIT("south"), &homed));
	ck_assert_ptr_null(config_home_region(c, south_only, STR_LIT("acme")));
	config_free(c);
}
END_TEST

/*
 * Guards against using draining upstreams and upstreams of a failure domain that is out of service.
 */
START_TEST(usable_needs_intent_and_failure_domain)
{
	Bc__Config *c = read_ok(valid_file, NULL);
	Bc__Upstream *u = c->upstreams[0];

	ck_assert(config_upstream_usable(c, u));
	ck_assert_uint_eq(config_usable_slots(c, STR_LIT("look"), STR_LIT("north")), 2);
	u->intent = BC__UPSTREAM_INTENT__DRAINING;
	ck_assert(!config_upstream_usable(c, u));
	u->intent = BC__UPSTREAM_INTENT__IN;
	c->failure_domains[0]->out = true;
	ck_assert(!config_upstream_usable(c, u));
	ck_assert_uint_eq(config_usable_slots(c, STR_LIT("look"), STR_LIT("north")), 0);
	ck_assert_uint_eq(config_slots(c, STR_LIT("look"), STR_LIT("north")), 2);
	config_free(c);
}
END_TEST

/* Guards against example files that the program refuses. */
START_TEST(examples_are_valid)
{
	static const char *const paths[] = {"examples/cooperative.yaml", "examples/shalbagan.yaml"};
	static char text[FILE_BYTES];

	for (size_t i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
		FILE *f = fopen(paths[i], "r");
		size_t len;

		ck_assert_msg(f != NULL, "%s cannot be opened; run from the repository's root",
			      paths[i]);
		len = fread(text, 1, sizeof(text) - 1, f);
		text[len] = '\0';
		fclose(f);
		config_free(read_ok(text, NULL));
	}
}
END_TEST

static void add_tests(TCase *tc)
{
	tcase_add_loop_test(tc, fault_is_named_with_line_field_and_remedy, 0,
			    (int)(sizeof(fault_cases) / sizeof(fault_cases[0])));
	tcase_add_test(tc, other_input_is_refused);
	tcase_add_test(tc, damaged_file_is_refused_or_read);
	tcase_add_test(tc, yaml_round_trip_keeps_everything);
	tcase_add_test(tc, file_keeps_numbers_and_operators_changes);
	tcase_add_test(tc, new_upstream_keeps_partitions_in_their_regions);
	tcase_add_test(tc, longest_route_wins_at_segment_borders);
	tcase_add_test(tc, home_regions_are_intersected);
	tcase_add_test(tc, usable_needs_intent_and_failure_domain);
	tcase_add_test(tc, examples_are_valid);
}

int main(int argc, char **argv)
{
	static const char *const mutants[] = {NULL};

	return unit_main(argc, argv, "config", mutants, add_tests);
}
