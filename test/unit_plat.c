/*
 * Tests of the platform's adapter: the parsers of settings, configurations, registrations and load
 * reports, and the encoder of grants.
 */
#include <stdlib.h>

#include "platform/plat.h"
#include "platform/plat_names.h"
#include "test/unit.h"

static const char settings_text[] =
	"node-name=front-meseta-a-1\n"
	"role=my-front\n"
	"ip=10.1.0.34\n"
	"zone=meseta-a\n"
	"region=meseta\n"
	"zones.meseta-a=meseta\n"
	"zones.pacifico-a=pacifico\n"
	"listen.front=10.1.0.34:8548\n"
	"listen.ready=10.1.0.34:8542\n"
	"internal-ports=7540,7555\n"
	"limits.memory-mb=260\n"
	"limits.max-fds=4100\n"
	"a-new-field=whatever\n"
	"heartbeat=870ms\n"
	"bounds=seed-lag=3s,drain=2000ms,grace=6s,"
	"retry-budget-ratio=0.25,retry-budget-slack=60,hold-max=10000ms\n"
	"platform.address=10.200.1.7:8541\n";

static const char config_text[] =
	"{\"version\":\"0000000c\",\"services\":[{\"name\":\"huvo\",\"health-path\":\"/health\","
	"\"max-connections\":120,\"warmup\":\"3s\",\"warmup-per-s\":2.5,\"shard-enabled\":true},"
	"{\"name\":\"wuno\",\"health-path\":\"/health\",\"max-connections\":120}],"
	"\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,"
	"\"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"},"
	"\"virtual-hosts\":[{\"host\":\"jepu9.example\",\"path-routes\":["
	"{\"name\":\"short\",\"prefix\":\"/a/\",\"kind\":\"unsafe\",\"timeout\":\"1200ms\","
	"\"target-latency\":\"800ms\",\"priority\":1,\"service\":\"wuno\",\"max-attempts\":2,"
	"\"allowed-regions\":[\"meseta\"]},"
	"{\"name\":\"long\",\"prefix\":\"/a/b/\",\"kind\":\"safe\",\"timeout\":\"1.5s\","
	"\"target-latency\":\"600ms\",\"traffic-split\":[{\"service\":\"huvo\",\"weight\":90},"
	"{\"service\":\"wuno\",\"weight\":10},{\"service\":\"wuno\",\"weight\":0}]}]}]}";

static const char *write_settings(const char *text)
{
	static char path[64];
	int fd;
	FILE *f;

	snprintf(path, sizeof(path), "/tmp/unit_plat.XXXXXX");
	fd = mkstemp(path);
	f = fdopen(fd, "w");
	fputs(text, f);
	fclose(f);
	return path;
}

static char *without_line(const char *text, const char *start)
{
	const char *line = strstr(text, start);
	const char *end = strchr(line, '\n') + 1;
	char *out = malloc(strlen(text) + 1);

	memcpy(out, text, (size_t)(line - text));
	strcpy(out + (line - text), end);
	return out;
}

/* Guards against misread values, and against refusing settings with an unknown field. */
START_TEST(settings_are_read)
{
	struct gwset s;
	struct err err = {0};

	ck_assert_msg(plat_settings(write_settings(settings_text), &s, &err), "%s", err.msg);
	ck_assert(str_eq_cstr(s.id, "front-meseta-a-1"));
	ck_assert_str_eq(s.callers.ip, "10.1.0.34");
	ck_assert_uint_eq(s.peers.port, 7540);
	ck_assert_uint_eq(s.sockets, 3900);
	ck_assert_int_eq(s.stop_grace, 6000);
	ck_assert(s.retry_ratio > 0.24 && s.retry_ratio < 0.26);
	ck_assert_uint_eq(s.n_domains, 2);
	ck_assert(str_eq_cstr(gwset_region(&s, STR_LIT("pacifico-a")), "pacifico"));
	ck_assert(!gwset_region(&s, STR_LIT("elsewhere")).len);
	gwset_free(&s);
}
END_TEST

/* Guards against an error that does not name the missing or invalid setting to the operator. */
START_TEST(settings_errors_name_the_setting)
{
	static const char *const required[] = {
		"node-name=",	 "zone=",	    "region=",
		"listen.front=", "listen.ready=",   "platform.address=",
		"heartbeat=",	 "internal-ports=", "zones.meseta-a="};
	static const struct {
		const char *from;
		const char *to;
		const char *name_in_error;
	} invalid[] = {
		{"heartbeat=870ms", "heartbeat=870xy", "heartbeat"},
		{"grace=6s", "grace=six", "grace"},
		{"10.200.1.7:8541", "10.200.1.7.9000", "platform.address"},
		{"memory-mb=260", "memory-mb=-1 ", "limits.memory-mb"},
		{"max-fds=4100", "max-fds=200\n", "limits.max-fds"},
	};
	struct gwset s;

	for (size_t i = 0; i < sizeof(required) / sizeof(required[0]); i++) {
		char *text = without_line(settings_text, required[i]);
		char name[32] = "";
		struct err err = {0};

		snprintf(name, strlen(required[i]), "%s", required[i]);
		ck_assert(!plat_settings(write_settings(text), &s, &err));
		ck_assert_msg(strstr(err.msg, name), "%s: %s", name, err.msg);
		gwset_free(&s);
		free(text);
	}
	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
		char *text = strdup(settings_text);
		char *at = strstr(text, invalid[i].from);
		struct err err = {0};

		memcpy(at, invalid[i].to, strlen(invalid[i].from));
		ck_assert(!plat_settings(write_settings(text), &s, &err));
		ck_assert_msg(strstr(err.msg, invalid[i].name_in_error), "%s", err.msg);
		gwset_free(&s);
		free(text);
	}
	struct err err = {0};

	ck_assert(!plat_settings("/nowhere/at/all", &s, &err));
	gwset_free(&s);
}
END_TEST

/* Guards against misread values of a configuration, and against wrong matches of host and path. */
START_TEST(configuration_is_read)
{
	struct err err = {0};
	struct topo *t = plat_config(str_from(config_text), &err);
	const struct topo_route *r;

	ck_assert_msg(t != NULL, "%s", err.msg);
	ck_assert_uint_eq(t->version, 12);
	ck_assert_uint_eq(t->limits.max_body_bytes, 67108864);
	ck_assert(topo_service(t, STR_LIT("huvo"))->keyed);
	ck_assert(!topo_service(t, STR_LIT("wuno"))->keyed);
	/* The longest prefix matches; the host matches in any case, with or without a port. */
	r = topo_match(t, STR_LIT("JEPU9.example:80"), STR_LIT("/a/b/c?x=1"));
	ck_assert(r && str_eq_cstr(r->name, "long"));
	ck_assert_int_eq(r->kind, TOPO_IDEMPOTENT);
	ck_assert_int_eq(r->timeout, 1500);
	ck_assert_uint_eq(r->n_parts, 2);
	r = topo_match(t, STR_LIT("jepu9.example"), STR_LIT("/a/c"));
	ck_assert(r && str_eq_cstr(r->name, "short"));
	ck_assert_int_eq(r->kind, TOPO_ONCE);
	ck_assert(topo_is_home(r, STR_LIT("meseta")));
	ck_assert(!topo_is_home(r, STR_LIT("pacifico")));
	ck_assert(!topo_match(t, STR_LIT("jepu9.example"), STR_LIT("/b/a/")));
	ck_assert(!topo_match(t, STR_LIT("other.example"), STR_LIT("/a/b/")));
	topo_destroy(t);
}
END_TEST

static char *replace_first(const char *text, const char *from, const char *to)
{
	const char *at = strstr(text, from);
	char *out;

	ck_assert(at != NULL);
	out = malloc(strlen(text) + strlen(to) + 1);
	memcpy(out, text, (size_t)(at - text));
	strcpy(out + (at - text), to);
	strcat(out, at + strlen(from));
	return out;
}

/* Guards against half a configuration in force: an invalid member must fail the whole document. */
START_TEST(configuration_errors_name_the_member)
{
	static const struct {
		const char *from;
		const char *to;
		const char *name_in_error;
	} invalid[] = {
		{"\"0000000c\"", "\"xyz\"", "version"},
		{"\"kind\":\"safe\"", "\"kind\":\"odd\"", "kind"},
		{"\"timeout\":\"1200ms\",", "", "timeout"},
		{"\"service\":\"wuno\",\"max", "\"service\":\"nobody\",\"max", "service"},
		{"\"max-connections\":120,\"warmup\"", "\"warmup\"", "max-connections"},
		{"\"weight\":90", "\"weight\":\"x\"", "weight"},
		{"\"warmup-per-s\":2.5", "\"warmup-per-s\":\"2\"", "warmup-per-s"},
		{"\"warmup-per-s\":2.5", "\"warmup-per-s\":-1", "warmup-per-s"},
		{"\"shard-enabled\":true", "\"shard-enabled\":1", "shard-enabled"},
		{"\"path-routes\":[", "\"path-routes\":7,\"x\":[", "path-routes"},
		{"\"services\":[{", "\"services\":[", "JSON"},
	};

	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
		char *text = replace_first(config_text, invalid[i].from, invalid[i].to);
		struct err err = {0};

		ck_assert(!plat_config(str_from(text), &err));
		ck_assert_msg(strstr(err.msg, invalid[i].name_in_error), "%s: %s",
			      invalid[i].name_in_error, err.msg);
		free(text);
	}
	/* A truncated document, at every 7th length. */
	for (size_t len = 0; len < strlen(config_text); len += 7) {
		struct err err = {0};

		ck_assert(!plat_config((struct str){config_text, len}, &err));
	}
}
END_TEST

/* Returns whether a configuration with a service of this name is read. */
static bool read_service_name(size_t bytes, bool keyed, struct err *err)
{
	char name[512] = "\"name\":\"";
	char *text;
	struct topo *t;

	memset(name + strlen(name), 'n', bytes);
	strcat(name, keyed ? "\",\"shard-enabled\":true" : "\"");
	strcat(name, ",\"health-path\":\"/h\",\"max-connections\":1},{\"name\":\"huvo\"");
	text = replace_first(config_text, "\"name\":\"huvo\"", name);
	t = plat_config(str_from(text), err);
	free(text);
	topo_destroy(t);
	return t != NULL;
}

/*
 * Guards against a keyed service whose shard manager can never write its rows, since their keys are
 * longer than the store keeps, at the latest in a later era; and against two names that are the
 * same when they are cut off.
 */
START_TEST(service_names_fit_the_keys_of_the_store)
{
	static const char longest_key[] = "owners/1048575/";
	const size_t keyed_max = 200 - strlen(longest_key);
	struct err err = {0};

	ck_assert_uint_eq(META_MAX_ERA, 1048575);
	ck_assert_msg(read_service_name(keyed_max, true, &err), "%s", err.msg);
	ck_assert(!read_service_name(keyed_max + 1, true, &err));
	ck_assert_msg(strstr(err.msg, "services[0]") && strstr(err.msg, "185 bytes"), "%s",
		      err.msg);
	ck_assert_msg(read_service_name(200, false, &err), "%s", err.msg);
	ck_assert(!read_service_name(201, false, &err));
	ck_assert_msg(strstr(err.msg, "200 bytes"), "%s", err.msg);
}
END_TEST

static bool read_registration(const char *value, struct fleet_info *out)
{
	static struct arena a;
	struct meta_row row = {.key = {"i-7f", 4}, .value = str_from(value)};
	struct err err = {0};

	return plat_registration(&a, &row, out, &err);
}

/* Guards against requests to an upstream whose registration is invalid, for example forged. */
START_TEST(invalid_registrations_are_rejected)
{
	static const char good[] =
		"{\"service\":\"huvo\",\"address\":\"10.128.0.9:8080\",\"zone\":\"meseta-a\","
		"\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"warmup-left\":\"1.5s\","
		"\"sequence\":4,\"born\":1786217000000}";
	static const struct {
		const char *from;
		const char *to;
	} invalid[] = {
		{"\"service\":\"huvo\",", ""},
		{"\"service\":\"huvo\"", "\"service\":7"},
		{"10.128.0.9:8080", "somewhere"},
		{"10.128.0.9:8080", "10.128.0.9:0"},
		{"\"slots\":2", "\"slots\":0"},
		{"\"slots\":2", "\"slots\":\"2\""},
		{"\"state\":\"ready\"", "\"state\":\"dancing\""},
		{"\"born\":1786217000000", "\"born\":1.5"},
		{",\"born\":1786217000000", ""},
		{"\"1.5s\"", "\"soon\""},
		{"{\"service\"", "\"service\""},
	};
	struct fleet_info info;

	ck_assert(read_registration(good, &info));
	ck_assert_int_eq(info.cold_left, 1500);
	ck_assert_int_eq(info.started, 1786217000000);
	ck_assert(!info.draining);
	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
		char *text = replace_first(good, invalid[i].from, invalid[i].to);

		ck_assert_msg(!read_registration(text, &info), "%s was accepted", invalid[i].to);
		free(text);
	}
	ck_assert(!read_registration("", &info));
	ck_assert(!read_registration("\x80\xff\x00", &info));
}
END_TEST

/* Returns `n` times `text`, between `head` and `tail`. */
static char *repeated(const char *head, const char *text, size_t n, const char *tail)
{
	char *out = malloc(strlen(head) + strlen(text) * n + strlen(tail) + 1);

	strcpy(out, head);
	for (size_t i = 0, at = strlen(head); i < n; i++, at += strlen(text))
		strcpy(out + at, text);
	return strcat(out, tail);
}

static const char good_registration[] =
	"{\"service\":\"huvo\",\"address\":\"10.128.0.9:8080\",\"zone\":\"meseta-a\","
	"\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"warmup-left\":\"1.5s\","
	"\"sequence\":4,\"born\":1786217000000}";

/*
 * Guards against an odd entry of another writer that ends the process or names an upstream: nested
 * deeply, with numbers that do not fit, or with an address or a name that no upstream can have.
 */
START_TEST(odd_registrations_name_no_upstream)
{
	static const struct {
		const char *from;
		const char *to;
	} odd[] = {
		{"\"slots\":2", "\"slots\":99999999999999999999"},
		{"\"slots\":2", "\"slots\":2147483648"},
		{"\"slots\":2", "\"slots\":-1"},
		{"\"slots\":2", "\"slots\":1e400"},
		{"\"slots\":2", "\"slots\":2.0"},
		{"\"slots\":2", "\"slots\":true"},
		{"1786217000000", "-1"},
		{"1786217000000", "9223372036854775808"},
		{"1786217000000", "-9223372036854775809"},
		{"1786217000000", "1786217000000.0"},
		{"\"1.5s\"", "\"nans\""},
		{"\"1.5s\"", "\"1e308s\""},
		{"\"1.5s\"", "\"-1ms\""},
		{"\"1.5s\"", "1500"},
		{"9:8080", "9:65536"},
		{"9:8080", "9:99999999999999999999"},
		{"9:8080", "9:-1"},
		{"9:8080", "9:+80"},
		{"9:8080", "9: 80"},
		{"9:8080", "9:80 "},
		{"9:8080", "9:"},
		{"9:8080", "9"},
		{"10.128.0.9", "256.1.1.1"},
		{"10.128.0.9", "127.1"},
		{"10.128.0.9", "010.128.0.9.1"},
		{"10.128.0.9", ""},
		{"10.128.0.9", "[::1]"},
		{"10.128.0.9", "0.0.0.0"},
		{"10.128.0.9", "224.0.0.1"},
		{"10.128.0.9", "255.255.255.255"},
		{"\"huvo\"", "\"hu\\u0000vo\""},
		{"\"huvo\"", "\"hu\\r\\nvo\""},
		{"\"huvo\"", "\"\\ud800\""},
		{"\"huvo\"", "\"\xff\xfe\""},
		{"\"huvo\"", "null"},
		{"\"meseta-a\"", "\"mes\\u0001eta\""},
		{"\"meseta-a\"", "[]"},
		{"\"ready\"", "\"Ready\""},
	};
	static const struct str ids[] = {
		{"", 0},
		{"a\r\nx-evil: 1", 12},
		{"a\0b", 3},
		{"\x7f", 1},
	};
	struct arena a = ARENA_INIT;
	struct fleet_info info;
	struct err err = {0};
	char *texts[] = {
		repeated("", "[", 100000, ""),
		repeated("", "{\"a\":", 100000, ""),
		repeated("{\"service\":\"huvo\",\"extra\":", "[", 100000, ""),
		repeated("{\"service\":\"", "x", FLEET_NAME_BYTES,
			 strchr(good_registration, ':') + 6),
		repeated("{\"service\":\"", "x", 10240, strchr(good_registration, ':') + 6),
	};

	char *longest = repeated("{\"service\":\"", "x", FLEET_NAME_BYTES - 1,
				 strchr(good_registration, ':') + 6);

	ck_assert(read_registration(good_registration, &info));
	ck_assert(read_registration(longest, &info));
	free(longest);
	for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		char *text = replace_first(good_registration, odd[i].from, odd[i].to);

		ck_assert_msg(!read_registration(text, &info), "%s was accepted", odd[i].to);
		free(text);
	}
	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		ck_assert_msg(!read_registration(texts[i], &info), "text %zu was accepted", i);
		free(texts[i]);
	}
	for (size_t i = 0; i < sizeof(ids) / sizeof(ids[0]); i++) {
		struct meta_row row = {.key = ids[i], .value = str_from(good_registration)};

		ck_assert_msg(!plat_registration(&a, &row, &info, &err), "id %zu was accepted", i);
	}
	arena_free(&a);
}
END_TEST

/*
 * Guards against a duration that is no number and passes for one: converted to ms it is undefined,
 * in practice a time far in the past, with which a configuration came into force.
 */
START_TEST(durations_that_are_no_numbers_are_rejected)
{
	static const char *const invalid[] = {
		"nanms",    "nans",
		"NaNs",	    "-nans",
		"nan(7)ms", "infs",
		"-infms",   "infinitys",
		"-1ms",	    "-0ms",
		"+5ms",	    " 5ms",
		"\t5s",	    "1e308s",
		"1e999s",   "ms",
		"s",	    "",
		"1ms ",	    "5 ms",
		"1,5s",	    "99999999999999999999ms",
	};
	char *text = replace_first(config_text, "\"1200ms\"", "\"nanms\"");
	struct err err = {0};
	clk_ms time;

	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++)
		ck_assert_msg(!plat_time(str_from(invalid[i]), &time), "%s", invalid[i]);
	ck_assert(plat_time(STR_LIT("0ms"), &time) && time == 0);
	ck_assert(plat_time(STR_LIT(".5s"), &time) && time == 500);
	ck_assert(plat_time(STR_LIT("5e-05s"), &time) && time == 0);
	ck_assert(!plat_config(str_from(text), &err));
	ck_assert_msg(strstr(err.msg, "timeout"), "%s", err.msg);
	free(text);
}
END_TEST

/* Guards against misread load reports, and against accepting a partial one. */
START_TEST(load_reports)
{
	struct admit_report r;

	ck_assert(plat_load(STR_LIT("3,1,8"), &r));
	ck_assert(r.known);
	ck_assert_uint_eq(r.running, 3);
	ck_assert_uint_eq(r.waiting, 1);
	ck_assert_uint_eq(r.slowness, 0);
	ck_assert(plat_load(STR_LIT("3, 1, 8, 150"), &r));
	ck_assert_uint_eq(r.slowness, 150);
	ck_assert(!plat_load(STR_LIT("3,1"), &r));
	ck_assert(!plat_load(STR_LIT("a,b,c"), &r));
	ck_assert(!r.known);
}
END_TEST

/* Guards against grants that upstreams cannot read: optional members are left out if not set. */
START_TEST(grant_bodies)
{
	struct arena a = ARENA_INIT;
	struct platform_grant g = {.from = 4096, .to = 8191, .fence = 12, .hold = 4000};

	ck_assert(str_eq_cstr(plat_grant_body(&a, &g),
			      "{\"from\":4096,\"to\":8191,\"fence\":12,\"hold_time\":\"4000ms\"}"));
	g.handover = STR_LIT("5c0e");
	ck_assert(str_eq_cstr(plat_grant_body(&a, &g),
			      "{\"from\":4096,\"to\":8191,\"fence\":12,\"hold_time\":\"4000ms\","
			      "\"handover\":\"5c0e\"}"));
	g.hold = 0;
	ck_assert(str_eq_cstr(plat_grant_body(&a, &g), "{\"from\":4096,\"to\":8191,\"fence\":12}"));
	arena_free(&a);
}
END_TEST

/*
 * Guards against a grant that its upstream cannot read because of what another upstream named as
 * the handover of its release: the keys would have no owner.
 */
START_TEST(any_handover_leaves_the_grant_readable)
{
	static const char *const named[] = {
		"5c0e\"7a21", "5c0e\\", "\tx", "x\",\"fence\":\"9", "\xff\xfe",
	};
	struct arena a = ARENA_INIT;

	for (size_t i = 0; i < sizeof(named) / sizeof(named[0]); i++) {
		struct platform_grant g = {.from = 1,
					   .to = 2,
					   .fence = 12,
					   .hold = 4000,
					   .handover = str_from(named[i])};
		struct str body = plat_grant_body(&a, &g);
		json_t *root = json_loadb(body.ptr, body.len, JSON_REJECT_DUPLICATES, NULL);
		const char *handover = json_string_value(json_object_get(root, "handover"));

		ck_assert_msg(json_is_object(root), "%.*s", STR_ARG(body));
		ck_assert_int_eq(json_integer_value(json_object_get(root, "fence")), 12);
		/* Bytes that JSON cannot carry leave the grant without a handover. */
		ck_assert(handover ? strcmp(handover, named[i]) == 0 : i == 4);
		json_decref(root);
	}
	arena_free(&a);
}
END_TEST

/* Guards against taking an evacuation row for a configuration or the other way round. */
START_TEST(evacuation_rows)
{
	struct str domain;

	ck_assert(plat_is_config(STR_LIT("config")));
	ck_assert(!plat_is_config(STR_LIT("evacuate/meseta-a")));
	ck_assert(plat_is_evacuation(STR_LIT("evacuate/meseta-a"), &domain));
	ck_assert(str_eq_cstr(domain, "meseta-a"));
	ck_assert(!plat_is_evacuation(STR_LIT("evacuate/"), &domain));
	ck_assert(!plat_is_evacuation(STR_LIT("config"), &domain));
}
END_TEST

static struct notice notice_of(int status, const char *name, const char *value, bool *valid)
{
	const struct upconn_header headers[] = {{STR_LIT("content-length"), STR_LIT("0")},
						{str_from(name), str_from(value)}};
	const struct upconn_answer a = {.status = status, .headers = headers, .n_headers = 2};
	struct notice n;

	*valid = plat_notice(&a, &n);
	return n;
}

/* Guards against a limit, a departure or a wait that is not believed. */
START_TEST(notices_are_read)
{
	const struct upconn_header several[] = {
		{STR_LIT("server-limit"), STR_LIT("4.5")},
		{STR_LIT("server-limit"), STR_LIT("2")},
		{STR_LIT("retry-after"), STR_LIT("1")},
		{STR_LIT("retry-after"), STR_LIT("3")},
		{STR_LIT("server-leaving"), STR_LIT("1")},
		{STR_LIT("server-leaving"), STR_LIT("0")},
	};
	const struct upconn_answer a = {.status = 503, .headers = several, .n_headers = 6};
	struct notice n;
	bool valid;

	n = notice_of(200, "server-limit", "1.75", &valid);
	ck_assert(valid && n.limited && n.limit > 1.74 && n.limit < 1.76 && !n.leaving);
	n = notice_of(200, "server-limit", " 0 ", &valid);
	ck_assert(valid && n.limited && n.limit <= 0);
	n = notice_of(200, "server-leaving", "1", &valid);
	ck_assert(valid && n.leaving && !n.limited);
	n = notice_of(503, "retry-after", "2", &valid);
	ck_assert(valid && n.retry_after == 2000);
	n = notice_of(503, "retry-after", "0.25", &valid);
	ck_assert(valid && n.retry_after == 250);
	n = notice_of(200, "retry-after", "2", &valid);
	ck_assert(valid && n.retry_after == 0);
	ck_assert(plat_notice(&a, &n));
	ck_assert(n.limited && n.limit < 2.01 && n.retry_after == 3000 && n.leaving);
}
END_TEST

/* Guards against a strange value that limits an upstream or turns it off. */
START_TEST(strange_notices_count_as_absent)
{
	static const char *const strange[] = {"",
					      "-1",
					      "nan",
					      "inf",
					      "1e3",
					      "0x10",
					      "1,5",
					      "1.",
					      ".5",
					      "1.2.3",
					      "many",
					      "12345678901234567890",
					      "Wed, 21 Oct 2015 07:28:00 GMT"};
	struct notice n;
	bool valid;

	for (size_t i = 0; i < sizeof(strange) / sizeof(strange[0]); i++) {
		n = notice_of(200, "server-limit", strange[i], &valid);
		ck_assert_msg(!valid && !n.limited, "server-limit: %s", strange[i]);
		n = notice_of(503, "retry-after", strange[i], &valid);
		ck_assert_msg(!valid && !n.retry_after, "retry-after: %s", strange[i]);
		n = notice_of(200, "server-leaving", strange[i], &valid);
		ck_assert_msg(!n.leaving, "server-leaving: %s", strange[i]);
	}
	n = notice_of(503, "retry-after", "100000", &valid);
	ck_assert(!valid && !n.retry_after);
}
END_TEST

static const char *const mutants[] = {"config_any_name", "grant_raw_handover", NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, settings_are_read);
	tcase_add_test(tc, settings_errors_name_the_setting);
	tcase_add_test(tc, configuration_is_read);
	tcase_add_test(tc, configuration_errors_name_the_member);
	tcase_add_test(tc, service_names_fit_the_keys_of_the_store);
	tcase_add_test(tc, invalid_registrations_are_rejected);
	tcase_add_test(tc, odd_registrations_name_no_upstream);
	tcase_add_test(tc, durations_that_are_no_numbers_are_rejected);
	tcase_add_test(tc, load_reports);
	tcase_add_test(tc, grant_bodies);
	tcase_add_test(tc, notices_are_read);
	tcase_add_test(tc, strange_notices_count_as_absent);
	tcase_add_test(tc, any_handover_leaves_the_grant_readable);
	tcase_add_test(tc, evacuation_rows);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "plat", mutants, add_tests);
}
