/* Check of a configuration before it is sent: findings, and differences from the one in force. */
#include <stdlib.h>

#include "configcheck/topocheck.h"
#include "configcheck/topodiff.h"
#include "platform/plat.h"
#include "test/unit.h"

#define TEXT_BYTES 8192
#define SERVICES                                                                                   \
	"{\"name\":\"keys\",\"health-path\":\"/"                                                   \
	"h\",\"max-connections\":100,\"shard-enabled\":true},"                                     \
	"{\"name\":\"plain\",\"health-path\":\"/h\",\"max-connections\":100}"
#define LIMITS                                                                                     \
	"{\"max-header-bytes\":16384,\"max-body-bytes\":1000000,\"header-timeout\":\"3s\","        \
	"\"idle-timeout\":\"15s\"}"
#define ROUTE_END                                                                                  \
	"\"kind\":\"safe\",\"timeout\":\"3s\",\"target-latency\":\"1s\",\"max-attempts\":2"
#define KEYS "{\"name\":\"k\",\"prefix\":\"/k/\",\"service\":\"keys\"," ROUTE_END "}"
#define PLAIN "{\"name\":\"p\",\"prefix\":\"/p/\",\"service\":\"plain\"," ROUTE_END "}"

/* A configuration with the version, services, limits and routes of the host "a.example". */
static struct topo *make(const char *version, const char *services, const char *limits,
			 const char *routes)
{
	char text[TEXT_BYTES];
	struct err err = {0};
	struct topo *t;

	snprintf(text, sizeof(text),
		 "{\"version\":\"%s\",\"services\":[%s],\"limits\":%s,\"virtual-hosts\":["
		 "{\"host\":\"a.example\",\"path-routes\":[%s]}]}",
		 version, services, limits, routes);
	t = plat_config(str_from(text), &err);
	ck_assert_msg(t != NULL, "%s", err.msg);
	return t;
}

static struct topo *make_routes(const char *routes)
{
	return make("5", SERVICES, LIMITS, routes);
}

/* Returns how many findings have the code, and checks that there are `all` together. */
static size_t count_of(const struct findings *f, const char *code, size_t all)
{
	size_t n = 0;

	for (size_t i = 0; i < f->n; i++)
		n += strcmp(f->items[i].code, code) == 0;
	ck_assert_msg(f->n == all, "%zu findings, the first: %s: %.*s", f->n,
		      f->n ? f->items[0].code : "-", f->n ? (int)f->items[0].text.len : 0,
		      f->n ? f->items[0].text.ptr : "");
	return n;
}

/* Checks that the only finding has the code, or that there is none. Destroys `t`. */
static void check(struct topo *t, const struct topocheck_env *env, const char *code)
{
	struct topocheck_env none = {.retry_min_left = 150};
	struct findings f = {0};

	topocheck(t, env ? env : &none, &f);
	if (code)
		ck_assert_msg(count_of(&f, code, 1) == 1, "%s in place of %s", f.items[0].code,
			      code);
	else
		ck_assert_uint_eq(count_of(&f, "", 0), 0);
	findings_free(&f);
	topo_destroy(t);
}

/* Guards against findings for a configuration without faults: they would hide real ones. */
START_TEST(nothing_is_found_in_a_sound_configuration)
{
	static const struct str regions[] = {STR_LIT("r1"), STR_LIT("r2")};
	static const struct topocheck_upstream upstreams[] = {
		{STR_LIT("keys"), STR_LIT("r1"), 2},
		{STR_LIT("keys"), STR_LIT("r2"), 2},
		{STR_LIT("plain"), STR_LIT("r1"), 2},
		{STR_LIT("plain"), STR_LIT("r1"), 100},
	};
	struct topocheck_env env = {
		.regions = regions,
		.n_regions = 2,
		.upstreams_known = true,
		.upstreams = upstreams,
		.n_upstreams = 4,
		.body_memory_bytes = 1000000,
		.max_sent_bytes = 1000000,
		.retry_min_left = 150,
		.document_bytes = 3000,
		.row_bytes = 4000,
	};

	check(make_routes(KEYS "," PLAIN), NULL, NULL);
	check(make_routes(KEYS "," PLAIN), &env, NULL);
	check(make_routes(KEYS ",{\"name\":\"q\",\"prefix\":\"/p/q/\",\"service\":\"plain\","
			       "\"allowed-regions\":[\"r1\"]," ROUTE_END "}," PLAIN),
	      &env, NULL);
}
END_TEST

/* Guards against entries that no request can match and that nobody is told of. */
START_TEST(entries_that_never_match_are_found)
{
	static const char *const hosts[] = {"A.Example", "a.example"};

	check(make_routes(KEYS
			  "," PLAIN
			  ",{\"name\":\"second\",\"prefix\":\"/p/\",\"service\":\"keys\"," ROUTE_END
			  "}"),
	      NULL, "prefix-twice");
	check(make_routes(KEYS "," PLAIN
			       ",{\"name\":\"x\",\"prefix\":\"x/\",\"service\":\"keys\"," ROUTE_END
			       "}"),
	      NULL, "prefix-never-matches");
	check(make_routes(KEYS
			  "," PLAIN
			  ",{\"name\":\"x\",\"prefix\":\"/x?y/\",\"service\":\"keys\"," ROUTE_END
			  "}"),
	      NULL, "prefix-never-matches");
	check(make_routes(KEYS "," PLAIN
			       ",{\"name\":\"x\",\"prefix\":\"/x\",\"service\":\"keys\"," ROUTE_END
			       "}"),
	      NULL, "prefix-without-slash");
	check(make_routes(KEYS), NULL, "service-unused");
	for (size_t i = 0; i < 2; i++) {
		char routes[TEXT_BYTES];

		snprintf(routes, sizeof(routes), "%s,%s]},{\"host\":\"%s\",\"path-routes\":[%s",
			 KEYS, PLAIN, hosts[i], PLAIN);
		check(make_routes(routes), NULL, "host-twice");
	}
	check(make_routes(KEYS "," PLAIN "]},{\"host\":\"b.example\",\"path-routes\":["), NULL,
	      "host-without-routes");
	check(make_routes(KEYS "," PLAIN "]},{\"host\":\"b.example:80\",\"path-routes\":[" PLAIN),
	      NULL, "host-with-port");
}
END_TEST

/* Guards against a second entry of a service that is taken for the one in use. */
START_TEST(service_that_is_listed_twice_is_found)
{
	struct topo *t = make("5",
			      SERVICES ",{\"name\":\"plain\",\"health-path\":\"/other\","
				       "\"max-connections\":1}",
			      LIMITS, KEYS "," PLAIN);

	check(t, NULL, "service-twice");
	t = make("5",
		 "{\"name\":\"keys\",\"health-path\":\"h\",\"max-connections\":1},"
		 "{\"name\":\"plain\",\"health-path\":\"/h\",\"max-connections\":1}",
		 LIMITS, KEYS "," PLAIN);
	check(t, NULL, "health-path");
}
END_TEST

/* Guards against a part of the traffic that a mistyped share sends elsewhere, or twice. */
START_TEST(traffic_shares_are_checked)
{
	check(make_routes(KEYS "," PLAIN ",{\"name\":\"s\",\"prefix\":\"/s/\",\"traffic-split\":["
			       "{\"service\":\"plain\",\"weight\":1},"
			       "{\"service\":\"keys\",\"weight\":1}]," ROUTE_END "}"),
	      NULL, "split-mixes-keyed");
	check(make_routes(KEYS "," PLAIN ",{\"name\":\"s\",\"prefix\":\"/s/\",\"traffic-split\":["
			       "{\"service\":\"plain\",\"weight\":1},"
			       "{\"service\":\"plain\",\"weight\":1}]," ROUTE_END "}"),
	      NULL, "share-twice");
}
END_TEST

/* A route to the service "plain" with these home regions. */
#define HOMED(homes)                                                                               \
	KEYS ",{\"name\":\"p\",\"prefix\":\"/p/"                                                   \
	     "\",\"service\":\"plain\",\"allowed-regions\":" homes "," ROUTE_END "}"

/* Guards against home regions that do not exist or have no upstream: requests would be refused. */
START_TEST(home_regions_are_checked)
{
	static const struct str regions[] = {STR_LIT("r1"), STR_LIT("r2")};
	static const struct topocheck_upstream upstreams[] = {
		{STR_LIT("keys"), STR_LIT("r1"), 2},
		{STR_LIT("keys"), STR_LIT("r1"), 2},
		{STR_LIT("plain"), STR_LIT("r1"), 2},
		{STR_LIT("plain"), STR_LIT("r1"), 2},
	};
	struct topocheck_env env = {.regions = regions, .n_regions = 2, .retry_min_left = 150};
	struct findings f = {0};
	struct topo *t;

	check(make_routes(HOMED("[\"r1\",\"r3\"]")), &env, "home-unknown");
	check(make_routes(HOMED("[\"r3\"]")), NULL, NULL); /* the regions are not known */
	t = make_routes(HOMED("[\"r3\",7]"));
	topocheck(t, &env, &f);
	ck_assert_uint_eq(count_of(&f, "home-unknown", 3), 2);
	ck_assert_uint_eq(count_of(&f, "route-without-home", 3), 1);
	findings_free(&f);
	topo_destroy(t);
	env.upstreams_known = true;
	env.upstreams = upstreams;
	env.n_upstreams = 4;
	check(make_routes(HOMED("[\"r1\",\"r2\"]")), &env, "home-without-upstreams");
	check(make_routes(HOMED("[\"r2\"]")), &env, "route-without-upstreams");
	check(make_routes(HOMED("[\"r1\"]")), &env, NULL);
	env.n_upstreams = 3;
	check(make_routes(HOMED("[\"r1\"]")), &env, "attempts-over-upstreams");
}
END_TEST

/* A configuration whose route to "plain" has these limits. */
static struct topo *make_limited(const char *kind, const char *timeout, const char *target,
				 int attempts)
{
	char routes[TEXT_BYTES];

	snprintf(routes, sizeof(routes),
		 KEYS ",{\"name\":\"p\",\"prefix\":\"/p/\",\"service\":\"plain\",\"kind\":\"%s\","
		      "\"timeout\":\"%s\",\"target-latency\":\"%s\",\"max-attempts\":%d}",
		 kind, timeout, target, attempts);
	return make_routes(routes);
}

/* Guards against limits of a route that cannot all hold. */
START_TEST(limits_of_routes_that_contradict_each_other_are_found)
{
	check(make_limited("safe", "1s", "1s", 2), NULL, NULL);
	check(make_limited("safe", "999ms", "1s", 2), NULL, "target-over-timeout");
	check(make_limited("safe", "0ms", "1ms", 1), NULL, "timeout-zero");
	check(make_limited("safe", "1s", "0ms", 1), NULL, "target-zero");
	check(make_limited("safe", "449ms", "100ms", 4), NULL, "attempts-over-timeout");
	check(make_limited("safe", "450ms", "100ms", 4), NULL, NULL);
	check(make_limited("safe", "10ms", "10ms", 1), NULL, NULL);
}
END_TEST

/* Guards against limits of services and callers that make each other void. */
START_TEST(limits_of_services_and_callers_are_checked)
{
	static const struct topocheck_upstream upstreams[] = {
		{STR_LIT("keys"), STR_LIT("r1"), 101},
		{STR_LIT("keys"), STR_LIT("r1"), 2},
		{STR_LIT("plain"), STR_LIT("r1"), 100},
		{STR_LIT("plain"), STR_LIT("r1"), 2},
	};
	struct topocheck_env slots = {.upstreams_known = true,
				      .upstreams = upstreams,
				      .n_upstreams = 4,
				      .retry_min_left = 150};
	struct topocheck_env memory = {.body_memory_bytes = 999999};
	struct topocheck_env sent = {.max_sent_bytes = 999999};
	struct topocheck_env row = {.document_bytes = 3001, .row_bytes = 4000};
	static const char routes[] = KEYS "," PLAIN;

	check(make("5",
		   SERVICES ",{\"name\":\"c\",\"health-path\":\"/h\",\"max-connections\":1,"
			    "\"warmup\":\"3s\"}",
		   LIMITS,
		   KEYS "," PLAIN ",{\"name\":\"c\",\"prefix\":\"/c/\",\"service\":\"c\"," ROUTE_END
			"}"),
	      NULL, "cold-rate-zero");
	check(make("5",
		   SERVICES ",{\"name\":\"c\",\"health-path\":\"/h\",\"max-connections\":1,"
			    "\"warmup-per-s\":3}",
		   LIMITS,
		   KEYS "," PLAIN ",{\"name\":\"c\",\"prefix\":\"/c/\",\"service\":\"c\"," ROUTE_END
			"}"),
	      NULL, "cold-rate-unused");
	check(make_routes(routes), &slots, "connections-under-slots");
	check(make_routes(routes), &memory, "body-over-memory");
	check(make_routes(routes), &sent, "body-over-request");
	check(make_routes(routes), &row, "row-too-long");
	check(make("5", SERVICES, "{\"header-timeout\":\"0ms\"}", routes), NULL,
	      "header-timeout-zero");
	check(make("5", SERVICES, "{\"idle-timeout\":\"0ms\"}", routes), NULL, "idle-timeout-zero");
	check(make("5", SERVICES, "{\"max-body-bytes\":0}",
		   KEYS ",{\"name\":\"p\",\"prefix\":\"/p/\",\"service\":\"plain\",\"kind\":"
			"\"upload\",\"timeout\":\"3s\",\"target-latency\":\"1s\"}"),
	      NULL, "upload-without-body");
}
END_TEST

/* A configuration with client accounts; `homes`: those of the route "p". */
static struct topo *make_accounts(const char *homes, const char *accounts)
{
	char routes[TEXT_BYTES];

	snprintf(routes, sizeof(routes),
		 "%s,{\"name\":\"p\",\"prefix\":\"/p/\",\"service\":\"plain\","
		 "\"allowed-regions\":%s," ROUTE_END "}]}],\"tenants\":[%s],\"x\":[{\"y\":[",
		 KEYS, homes, accounts);
	return make_routes(routes);
}

#define ACCOUNT(members) "{\"name\":\"a\",\"api-keys\":[\"s\"]" members "}"

/* Guards against accounts whose requests are all refused, and allowances that mean something else.
 */
START_TEST(accounts_are_checked)
{
	static const struct str regions[] = {STR_LIT("r1"), STR_LIT("r2")};
	struct topocheck_env env = {.regions = regions, .n_regions = 2, .retry_min_left = 150};
	struct findings f = {0};
	struct topo *t;

	check(make_accounts("[]", ACCOUNT(",\"rate-per-s\":5,\"burst\":10")), &env, NULL);
	check(make_accounts("[\"r1\"]", ACCOUNT(",\"allowed-regions\":[\"r2\",\"r1\"]")), &env,
	      NULL);
	check(make_accounts("[]", "{\"name\":\"a\",\"api-keys\":[]}"), &env,
	      "account-without-credentials");
	check(make_accounts("[]", ""), &env, "no-accounts");
	check(make_accounts("[\"r1\"]", ACCOUNT(",\"allowed-regions\":[\"r2\"]")), &env,
	      "account-without-home");
	check(make_accounts("[]", ACCOUNT(",\"allowed-regions\":[\"r2\",\"r3\"]")), &env,
	      "home-unknown");
	check(make_accounts("[]", ACCOUNT(",\"burst\":10")), &env, "burst-without-rate");
	check(make_accounts("[]", ACCOUNT(",\"rate-per-s\":0.5")), &env, "rate-not-whole");
	check(make_accounts("[]", ACCOUNT(",\"rate-per-s\":2.5")), &env, "rate-not-whole");
	t = make_routes(KEYS ",{\"name\":\"p\",\"prefix\":\"/p/\",\"service\":\"plain\","
			     "\"auth-exempt\":true," ROUTE_END "}");
	topocheck(t, &env, &f);
	ck_assert_uint_eq(count_of(&f, "exempt-unused", 1), 1);
	findings_free(&f);
	topo_destroy(t);
}
END_TEST

/* Guards against sending a version that gateways leave unused. */
START_TEST(version_is_compared_with_the_one_in_force)
{
	struct topo *five = make("5", SERVICES, LIMITS, KEYS);
	struct topo *older = make("4", SERVICES, LIMITS, KEYS);
	struct topo *newer = make("a", SERVICES, LIMITS, KEYS);
	struct findings f = {0};

	topocheck_version(newer, five, true, &f);
	topocheck_version(five, five, false, &f);
	ck_assert_uint_eq(f.n, 0);
	topocheck_version(five, five, true, &f);
	ck_assert_uint_eq(count_of(&f, "version-same", 1), 1);
	topocheck_version(older, five, true, &f);
	ck_assert_uint_eq(count_of(&f, "version-older", 2), 1);
	findings_free(&f);
	topo_destroy(five);
	topo_destroy(older);
	topo_destroy(newer);
}
END_TEST

static void add_unread(void *data, struct str place, struct str name)
{
	topocheck_unread(place, name, data);
}

/* Guards against a mistyped member, whose default comes into force without a word. */
START_TEST(members_that_gateways_do_not_read_are_found)
{
	static const char text[] =
		"{\"version\":\"5\",\"comment\":1,\"services\":[" SERVICES
		",{\"name\":\"c\",\"shard-enable\":true}],"
		"\"limits\":{\"max-body\":1},\"virtual-hosts\":[{\"host\":\"a\",\"path-routes\":["
		"{\"allowed-regions\":[],\"allowed-region\":[],\"traffic-split\":[{\"weigth\":1}]}]"
		","
		"\"paths\":[]}],\"tenants\":[{\"key\":[]}]}";
	static const char *const places[] = {
		"configuration",
		"services[2]",
		"limits",
		"virtual-hosts[0]",
		"virtual-hosts[0].path-routes[0]",
		"virtual-hosts[0].path-routes[0].traffic-split[0]",
		"tenants[0]",
	};
	struct findings f = {0};

	plat_config_unread(str_from(text), add_unread, &f);
	for (size_t i = 0; i < f.n && i < sizeof(places) / sizeof(places[0]); i++)
		ck_assert_msg(str_eq_cstr(f.items[i].place, places[i]), "%.*s in place of %s",
			      STR_ARG(f.items[i].place), places[i]);
	ck_assert_uint_eq(count_of(&f, "member-unread", sizeof(places) / sizeof(places[0])), f.n);
	findings_free(&f);
	plat_config_unread(STR_LIT("[]"), add_unread, &f);
	plat_config_unread(STR_LIT("{\"services\":7,\"limits\":[]}"), add_unread, &f);
	ck_assert_uint_eq(f.n, 0);
}
END_TEST

/* ---- differences ---------------------------------------------------------------------------- */

/*
 * Compares two configurations, whose changes have to be `expected`, in order: the kind and, after a
 * colon, the property, then before and after. Destroys both.
 */
static void check_diff(struct topo *before, struct topo *after, const char *const *expected,
		       struct topodiff *keep)
{
	struct topodiff d = {0};
	size_t i = 0;

	topodiff(before, after, &d);
	for (; expected[i] && i < d.n; i++) {
		const struct topodiff_change *c = &d.changes[i];
		char text[TEXT_BYTES];

		snprintf(text, sizeof(text), "%s:%.*s:%.*s:%.*s", topodiff_kind_name(c->kind),
			 STR_ARG(c->property), STR_ARG(c->before), STR_ARG(c->after));
		ck_assert_str_eq(text, expected[i]);
		ck_assert(c->place.len && c->callers.len && c->effect.len);
	}
	ck_assert_msg(!expected[i], "missing: %s", expected[i]);
	ck_assert_msg(i == d.n, "%zu changes", d.n);
	if (keep)
		*keep = d;
	else
		topodiff_free(&d);
	topo_destroy(before);
	topo_destroy(after);
}

#define NO_CHANGES ((const char *const[]){NULL})

/* Guards against changes that are reported where nothing differs, as by another order. */
START_TEST(order_of_entries_is_no_difference)
{
	check_diff(make_routes(KEYS "," PLAIN), make_routes(PLAIN "," KEYS), NO_CHANGES, NULL);
	check_diff(make_routes(HOMED("[\"r1\",\"r2\"]")),
		   make_routes(HOMED("[\"r2\",\"r1\",\"r1\"]")), NO_CHANGES, NULL);
	/* A second route with the same prefix gets no request in either. */
	check_diff(make_routes(KEYS "," PLAIN),
		   make_routes(KEYS "," PLAIN ",{\"name\":\"q\",\"prefix\":\"/p/\",\"service\":"
				    "\"keys\"," ROUTE_END "}"),
		   NO_CHANGES, NULL);
}
END_TEST

/* Guards against routes that come or go without saying where their requests go then. */
START_TEST(added_and_removed_routes_name_who_takes_the_requests)
{
	static const char *const added[] = {"added:::", NULL};
	static const char *const removed[] = {"removed:::", NULL};
	static const char longer[] = "{\"name\":\"q\",\"prefix\":\"/p/q/\",\"service\":"
				     "\"keys\"," ROUTE_END "}," PLAIN "," KEYS;
	struct topodiff d;

	check_diff(make_routes(KEYS "," PLAIN), make_routes(longer), added, &d);
	ck_assert(str_eq_cstr(d.changes[0].callers, "callers of a.example/p/q/"));
	ck_assert(
		str_eq_cstr(d.changes[0].effect, "served by keys; taken by route p (/p/) before"));
	topodiff_free(&d);
	check_diff(make_routes(longer), make_routes(KEYS "," PLAIN), removed, &d);
	ck_assert(str_eq_cstr(d.changes[0].effect, "taken by route p (/p/)"));
	topodiff_free(&d);
	check_diff(make_routes(KEYS "," PLAIN), make_routes(KEYS), removed, &d);
	ck_assert(str_eq_cstr(d.changes[0].effect, "answered with 404"));
	topodiff_free(&d);
}
END_TEST

/* Guards against a moved route that passes for one that came and another that went. */
START_TEST(moved_routes_are_told_apart_from_new_ones)
{
	static const char *const moved[] = {"moved::a.example/p/:a.example/n/",
					    "changed:attempts:2:3", NULL};
	static const char *const to_host[] = {"moved::a.example/p/:b.example/p/", NULL};
	static const char *const doubled[] = {"added:::", "added:::", "removed:::", NULL};

	check_diff(make_routes(KEYS "," PLAIN),
		   make_routes(KEYS ",{\"name\":\"p\",\"prefix\":\"/n/\",\"service\":\"plain\","
				    "\"kind\":\"safe\",\"timeout\":\"3s\",\"target-latency\":"
				    "\"1s\",\"max-attempts\":3}"),
		   moved, NULL);
	check_diff(make_routes(KEYS "," PLAIN),
		   make_routes(KEYS "]},{\"host\":\"b.example\",\"path-routes\":[" PLAIN), to_host,
		   NULL);
	/* Two routes with the name: not known which of them has moved. */
	check_diff(
		make_routes(KEYS "," PLAIN),
		make_routes(KEYS
			    ",{\"name\":\"p\",\"prefix\":\"/n/\",\"service\":\"plain\"," ROUTE_END
			    "},{\"name\":\"p\",\"prefix\":\"/m/\",\"service\":\"plain\"," ROUTE_END
			    "}"),
		doubled, NULL);
}
END_TEST

/* Guards against properties of a route whose change is not reported. */
START_TEST(changed_routes_are_reported_by_property)
{
	static const char *const all[] = {
		"changed:name:p:n",
		"changed:timeout:3000 ms:2000 ms",
		"changed:target latency:1000 ms:500 ms",
		"changed:priority:0:4",
		"changed:attempts:2:1",
		"changed:execution:any number of times:at most once",
		"changed:home regions:all regions:r1, r2",
		NULL,
	};
	static const char *const homes[] = {"changed:home regions:r1, r2:r2", NULL};
	static const char *const shares[] = {"changed:share:100 % to plain:75 % to plain",
					     "changed:share:0 % to keys:25 % to keys", NULL};
	struct topodiff d;

	check_diff(make_routes(KEYS "," PLAIN),
		   make_routes(KEYS ",{\"name\":\"n\",\"prefix\":\"/p/\",\"service\":\"plain\","
				    "\"kind\":\"unsafe\",\"timeout\":\"2s\",\"target-latency\":"
				    "\"500ms\",\"max-attempts\":1,\"priority\":4,"
				    "\"allowed-regions\":[\"r1\",\"r2\"]}"),
		   all, NULL);
	check_diff(make_routes(HOMED("[\"r1\",\"r2\"]")), make_routes(HOMED("[\"r2\"]")), homes,
		   &d);
	ck_assert(str_eq_cstr(d.changes[0].effect,
			      "requests that enter in r1 go to another region; what was stored "
			      "there stays there"));
	topodiff_free(&d);
	check_diff(make_routes(KEYS "," PLAIN),
		   make_routes(KEYS ",{\"name\":\"p\",\"prefix\":\"/p/\",\"traffic-split\":["
				    "{\"service\":\"plain\",\"weight\":6},"
				    "{\"service\":\"keys\",\"weight\":2}]," ROUTE_END "}"),
		   shares, NULL);
}
END_TEST

/* Guards against services and limits whose change is not reported, or not to whom it matters. */
START_TEST(changed_services_and_limits_are_reported)
{
	static const char *const limits[] = {
		"changed:request head:16384 bytes:8192 bytes",
		"changed:request body:1000000 bytes:2000000 bytes",
		"changed:time for a request head:3000 ms:1000 ms",
		"changed:idle time:15000 ms:5000 ms",
		NULL,
	};
	static const char *const services[] = {
		"changed:keys:owned:none",
		"changed:health path:/h:/i",
		"changed:connections to one upstream:100:50",
		"changed:cold time:0 ms:2000 ms",
		"changed:cold rate:0 a second:2.5 a second",
		"added:::",
		NULL,
	};
	static const char *const fewer[] = {"removed:::", NULL};
	struct topodiff d;

	check_diff(make_routes(KEYS "," PLAIN),
		   make("6", SERVICES,
			"{\"max-header-bytes\":8192,\"max-body-bytes\":2000000,"
			"\"header-timeout\":\"1s\",\"idle-timeout\":\"5s\"}",
			KEYS "," PLAIN),
		   limits, NULL);
	check_diff(make_routes(KEYS "," PLAIN),
		   make("6",
			"{\"name\":\"keys\",\"health-path\":\"/i\",\"max-connections\":50,"
			"\"warmup\":\"2s\",\"warmup-per-s\":2.5},"
			"{\"name\":\"plain\",\"health-path\":\"/h\",\"max-connections\":100},"
			"{\"name\":\"new\",\"health-path\":\"/h\",\"max-connections\":100}",
			LIMITS, KEYS "," PLAIN),
		   services, &d);
	ck_assert(str_eq_cstr(d.changes[0].callers, "callers of a.example/k/"));
	ck_assert(str_eq_cstr(d.changes[5].callers, "no callers"));
	topodiff_free(&d);
	check_diff(make("5", SERVICES, LIMITS, KEYS),
		   make("6",
			"{\"name\":\"keys\",\"health-path\":\"/h\",\"max-connections\":100,"
			"\"shard-enabled\":true}",
			LIMITS, KEYS),
		   fewer, NULL);
}
END_TEST

/* Guards against accounts whose change is not reported, and against credentials that are shown. */
START_TEST(changed_accounts_are_reported)
{
	static const char *const list[] = {"added:::", "added:::", NULL};
	static const char *const gone[] = {"removed:::", NULL};
	static const char *const all[] = {
		"changed:credentials:1:2",
		"changed:priority:that of the route:0",
		"changed:allowance:not limited:5 a second and 10 at once",
		"changed:home regions:all regions:r1",
		NULL,
	};
	static const char *const exempt[] = {"changed:credential:of an account:not needed", NULL};
	struct topodiff d;

	check_diff(make_routes(KEYS "," PLAIN), make_accounts("[]", ACCOUNT("")), list, &d);
	ck_assert(str_eq_cstr(d.changes[0].effect,
			      "requests without a credential are answered with 401"));
	topodiff_free(&d);
	check_diff(make_accounts("[]", ACCOUNT("")), make_accounts("[]", ""), gone, NULL);
	check_diff(make_accounts("[]", ACCOUNT("")), make_accounts("[]", ACCOUNT("")), NO_CHANGES,
		   NULL);
	check_diff(make_accounts("[]", ACCOUNT("")),
		   make_accounts("[]",
				 "{\"name\":\"a\",\"api-keys\":[\"secret\",\"t\"],\"priority\":0,"
				 "\"rate-per-s\":5,\"burst\":10,\"allowed-regions\":[\"r1\"]}"),
		   all, &d);
	ck_assert(str_eq_cstr(d.changes[0].effect,
			      "1 withdrawn, which are answered with 401; 2 new"));
	topodiff_free(&d);
	check_diff(make_routes(KEYS "," PLAIN),
		   make_routes(KEYS ",{\"name\":\"p\",\"prefix\":\"/p/\",\"service\":\"plain\","
				    "\"auth-exempt\":true," ROUTE_END "}"),
		   exempt, NULL);
}
END_TEST

static const char *const mutants[] = {
	"topocheck_host_case",
	"topocheck_no_shadow",
	"topocheck_any_home",
	"topocheck_any_target",
	"topocheck_any_attempts",
	"topocheck_any_cold",
	"topocheck_any_body",
	"topocheck_any_row",
	"topocheck_any_version",
	"topodiff_never_moved",
	"topodiff_no_homes",
	"topodiff_no_shares",
	"topodiff_no_limits",
	"config_any_member",
	"topocheck_account_anywhere",
	"topocheck_any_rate",
	"topocheck_no_credentials",
	"topodiff_no_credentials",
	NULL,
};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, nothing_is_found_in_a_sound_configuration);
	tcase_add_test(tc, entries_that_never_match_are_found);
	tcase_add_test(tc, service_that_is_listed_twice_is_found);
	tcase_add_test(tc, traffic_shares_are_checked);
	tcase_add_test(tc, home_regions_are_checked);
	tcase_add_test(tc, limits_of_routes_that_contradict_each_other_are_found);
	tcase_add_test(tc, limits_of_services_and_callers_are_checked);
	tcase_add_test(tc, accounts_are_checked);
	tcase_add_test(tc, changed_accounts_are_reported);
	tcase_add_test(tc, version_is_compared_with_the_one_in_force);
	tcase_add_test(tc, members_that_gateways_do_not_read_are_found);
	tcase_add_test(tc, order_of_entries_is_no_difference);
	tcase_add_test(tc, added_and_removed_routes_name_who_takes_the_requests);
	tcase_add_test(tc, moved_routes_are_told_apart_from_new_ones);
	tcase_add_test(tc, changed_routes_are_reported_by_property);
	tcase_add_test(tc, changed_services_and_limits_are_reported);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "topocheck", mutants, add_tests);
}
