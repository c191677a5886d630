/* Unit tests of the settings file: a full file, defaults, and the exact error for each fault. */
#include "process/settings.h"
#include "test/unit.h"

#define FILE_NAME "build/test-settings.yaml"
#define CREDENTIAL "operator_credential: 0123456789abcdef\n"

static const char full_file[] = "id: meseta-1\n"
				"region: meseta\n"
				"failure_domain: meseta-a\n"
				"callers: 127.0.1.1:8080\n"
				"operators: 127.0.1.1:8081\n"
				"peers: 127.0.1.1:8082\n"
				"seeds:\n"
				"  - 127.0.1.2:8082\n"
				"  - 127.0.1.3:8082\n"
				"table: 127.0.0.1:7000\n"
				"objects: 127.0.0.1:7001\n"
				"instances: 127.0.0.1:7002\n" CREDENTIAL "max_body_bytes: 1000\n"
				"link_bytes_per_second: 2000\n"
				"log_level: warn\n";

static void write_file(const char *text, size_t len)
{
	FILE *f = fopen(FILE_NAME, "wb");

	ck_assert_ptr_nonnull(f);
	ck_assert_uint_eq(fwrite(text, 1, len, f), len);
	fclose(f);
}

static bool load(const char *text, struct settings *s, struct err *err)
{
	write_file(text, strlen(text));
	*err = (struct err){0};
	return settings_load(FILE_NAME, s, err);
}

/* Returns the full file with the line of `field`, and its list if any, replaced by `line`. */
static char *full_file_with(const char *field, const char *line)
{
	char start[64];
	const char *at;
	const char *end;
	char *out = NULL;
	size_t len;
	FILE *f = open_memstream(&out, &len);

	/* The first field has no newline before it, so a search for `start` would not find it. */
	snprintf(start, sizeof(start), "\n%s:", field);
	at = strcmp(field, "id") == 0 ? full_file : strstr(full_file, start) + 1;
	end = strchr(at, '\n') + 1;
	while (*end == ' ')
		end = strchr(end, '\n') + 1;
	fwrite(full_file, 1, (size_t)(at - full_file), f);
	fputs(line, f);
	fputs(end, f);
	fclose(f);
	return out;
}

/* Checks that the file is refused with exactly this message and that all results are freed. */
static void expect_error(const char *text, const char *message)
{
	struct settings s;
	struct err err;
	char expected[600];

	ck_assert_msg(!load(text, &s, &err), "accepted: %s", text);
	ck_assert_int_eq(err.kind, ERR_SETTINGS);
	snprintf(expected, sizeof(expected), "%s%s", FILE_NAME, message);
	ck_assert_str_eq(err.msg, expected);
	ck_assert_ptr_null(s.priv);
	ck_assert_ptr_null(s.seeds);
}

static void expect_field_error(const char *field, const char *line, const char *message)
{
	char *text = full_file_with(field, line);

	expect_error(text, message);
	free(text);
}

#define ADDRESS_REMEDY "IP:PORT with an IPv4 number, for example 10.0.0.1:8080"
#define NAME_REMEDY "1 to 64 letters, digits, '.', '_' or '-'"

/* Guards against misread fields; the optional ones have values other than their defaults. */
START_TEST(full_file_is_read)
{
	struct settings s;
	struct err err;

	ck_assert_msg(load(full_file, &s, &err), "%s", err.msg);
	ck_assert_str_eq(s.id, "meseta-1");
	ck_assert_str_eq(s.region, "meseta");
	ck_assert_str_eq(s.failure_domain, "meseta-a");
	ck_assert_str_eq(s.callers.ip, "127.0.1.1");
	ck_assert_uint_eq(s.callers.port, 8080);
	ck_assert_uint_eq(s.operators.port, 8081);
	ck_assert_uint_eq(s.peers.port, 8082);
	ck_assert_uint_eq(s.n_seeds, 2);
	ck_assert_str_eq(s.seeds[1].ip, "127.0.1.3");
	ck_assert_uint_eq(s.table.port, 7000);
	ck_assert_uint_eq(s.objects.port, 7001);
	ck_assert_uint_eq(s.instances.port, 7002);
	ck_assert_str_eq(s.operator_credential, "0123456789abcdef");
	ck_assert_uint_eq(s.max_body_bytes, 1000);
	ck_assert_uint_eq(s.link_bytes_per_second, 2000);
	ck_assert_int_eq(s.log_level, LOG_WARN);
	settings_free(&s);
}
END_TEST

/* Guards against optional fields that get no default value. */
START_TEST(defaults)
{
	static const char *const optional[] = {"seeds", "max_body_bytes", "link_bytes_per_second",
					       "log_level"};

	for (size_t i = 0; i < 4; i++) {
		char *text = full_file_with(optional[i], "");
		struct settings s;
		struct err err;

		ck_assert_msg(load(text, &s, &err), "%s", err.msg);
		ck_assert_uint_eq(s.n_seeds, i == 0 ? 0 : 2);
		ck_assert_uint_eq(s.max_body_bytes, i == 1 ? 16777216 : 1000);
		ck_assert_uint_eq(s.link_bytes_per_second, i == 2 ? 3000000 : 2000);
		ck_assert_int_eq(s.log_level, i == 3 ? LOG_INFO : LOG_WARN);
		settings_free(&s);
		free(text);
	}
}
END_TEST

/* Guards against starting without a required field, or with an error that does not name it. */
START_TEST(each_required_field_is_named_when_missing)
{
	static const struct {
		const char *field;
		const char *remedy;
	} required[] = {
		{"id", NAME_REMEDY},
		{"region", NAME_REMEDY},
		{"failure_domain", NAME_REMEDY},
		{"callers", ADDRESS_REMEDY},
		{"operators", ADDRESS_REMEDY},
		{"peers", ADDRESS_REMEDY},
		{"table", ADDRESS_REMEDY},
		{"objects", ADDRESS_REMEDY},
		{"instances", ADDRESS_REMEDY},
		{"operator_credential", "16 to 255 characters that are kept secret"},
	};

	for (size_t i = 0; i < sizeof(required) / sizeof(required[0]); i++) {
		char message[256];

		snprintf(message, sizeof(message), ":1: field '%s': missing; write %s",
			 required[i].field, required[i].remedy);
		expect_field_error(required[i].field, "", message);
	}
}
END_TEST

/* Guards against ignoring a misspelt or repeated field without an error. */
START_TEST(unknown_and_repeated_fields)
{
	expect_field_error(
		"log_level", "log_levle: warn\n",
		":16: field 'log_levle': unknown; remove it or write one of id, region, "
		"failure_domain, callers, operators, peers, seeds, table, objects, instances, "
		"operator_credential, max_body_bytes, link_bytes_per_second, log_level");
	expect_field_error("region", "region: meseta\nregion: pacifico\n",
			   ":3: field 'region': given twice; write " NAME_REMEDY);
}
END_TEST

/* Guards against accepting a list or fields for a single value, or a single value for a list. */
START_TEST(wrong_types)
{
	expect_field_error("id", "id: [a, b]\n",
			   ":1: field 'id': a list instead of a single value; write " NAME_REMEDY);
	expect_field_error("id", "id: {a: b}\n",
			   ":1: field 'id': fields instead of a single value; write " NAME_REMEDY);
	expect_field_error("id", "id:\n", ":1: field 'id': empty; write " NAME_REMEDY);
	expect_field_error(
		"seeds", "seeds: 127.0.1.2:8082\n",
		":7: field 'seeds': a single value instead of a list; write a list of at most "
		"256 peer addresses, one \"- IP:PORT\" a line");
	expect_field_error(
		"seeds", "seeds: {a: b}\n",
		":7: field 'seeds': fields instead of a list; write a list of at most 256 peer "
		"addresses, one \"- IP:PORT\" a line");
	expect_field_error("seeds", "seeds:\n  - 127.0.1.2:8082\n  - [x]\n",
			   ":9: field 'seeds', entry 2: a list instead of a single value; "
			   "write " ADDRESS_REMEDY);
	expect_field_error("seeds", "seeds:\n  - a: b\n",
			   ":8: field 'seeds', entry 1: fields instead of a single value; "
			   "write " ADDRESS_REMEDY);
}
END_TEST

/* Guards against accepting invalid values, and against errors without line, field and remedy. */
START_TEST(bad_values)
{
	expect_field_error("id", "id: a b\n",
			   ":1: field 'id': 'a b' is not a name; write " NAME_REMEDY);
	expect_field_error(
		"callers", "callers: localhost:80\n",
		":4: field 'callers': 'localhost:80' is not an address; write " ADDRESS_REMEDY);
	expect_field_error(
		"callers", "callers: 127.0.1.1\n",
		":4: field 'callers': '127.0.1.1' is not an address; write " ADDRESS_REMEDY);
	expect_field_error(
		"callers", "callers: 127.0.1.1:0\n",
		":4: field 'callers': '127.0.1.1:0' is not an address; write " ADDRESS_REMEDY);
	expect_field_error(
		"callers", "callers: 127.0.1.1:65536\n",
		":4: field 'callers': '127.0.1.1:65536' is not an address; write " ADDRESS_REMEDY);
	expect_field_error(
		"callers", "callers: 127.0.1.256:80\n",
		":4: field 'callers': '127.0.1.256:80' is not an address; write " ADDRESS_REMEDY);
	expect_field_error(
		"peers", "peers: 0.0.0.0:8082\n",
		":6: field 'peers': 0.0.0.0 cannot be reached by others; write " ADDRESS_REMEDY);
	expect_field_error(
		"peers", "peers: 127.0.1.1:8080\n",
		":6: field 'peers': the same address as 'callers'; write " ADDRESS_REMEDY);
	expect_field_error(
		"seeds", "seeds:\n  - 127.0.1.2:8082\n  - nowhere\n",
		":9: field 'seeds', entry 2: 'nowhere' is not an address; write " ADDRESS_REMEDY);
	expect_field_error("operator_credential", "operator_credential: short\n",
			   ":13: field 'operator_credential': only 5 characters; write 16 to 255 "
			   "characters that are kept secret");
	expect_field_error(
		"max_body_bytes", "max_body_bytes: 16777217\n",
		":14: field 'max_body_bytes': '16777217' is not in the allowed range; write a "
		"whole number from 1 to 16777216");
	expect_field_error(
		"max_body_bytes", "max_body_bytes: 1.5\n",
		":14: field 'max_body_bytes': '1.5' is not in the allowed range; write a whole "
		"number from 1 to 16777216");
	expect_field_error(
		"link_bytes_per_second", "link_bytes_per_second: -1\n",
		":15: field 'link_bytes_per_second': '-1' is not in the allowed range; write a "
		"whole number from 1000 to 4294967295");
	expect_field_error(
		"log_level", "log_level: loud\n",
		":16: field 'log_level': 'loud' is not a level; write debug, info, warn or "
		"error");
}
END_TEST

/* Guards against the operators' credential appearing in an error, which may be logged. */
START_TEST(credential_is_never_repeated)
{
	char *text = full_file_with("operator_credential", "operator_credential: s3cret\n");
	struct settings s;
	struct err err;

	ck_assert(!load(text, &s, &err));
	ck_assert_ptr_null(strstr(err.msg, "s3cret"));
	free(text);
}
END_TEST

/* Guards against crashes and unclear errors on files that are not settings. */
START_TEST(files_that_are_no_settings)
{
	struct settings s;
	struct err err = {0};
	char *big;

	expect_error("", ":1: field 'id': missing; write " NAME_REMEDY);
	expect_error("# only a comment\n", ":1: field 'id': missing; write " NAME_REMEDY);
	expect_error("- a\n",
		     ":1: the file is not a list of fields; write one 'field: value' a line, "
		     "for example 'id: router-1'");
	expect_error("just text\n",
		     ":1: the file is not a list of fields; write one 'field: value' a "
		     "line, for example 'id: router-1'");
	expect_error(
		"id: a\nregion: [b\n",
		":3: not valid YAML: did not find expected ',' or ']'; write one 'field: value' a "
		"line and quote values with special characters");
	expect_error(
		"id: a\n\tregion: b\n",
		":2: not valid YAML: found a tab character that violates indentation; write one "
		"'field: value' a line and quote values with special characters");
	expect_error(
		"id: a\n---\nid: b\n",
		":2: a second document starts here; keep one document in the file and remove the "
		"line '---'");
	expect_error("id: &x a\nregion: *x\n", ":1: anchors and aliases ('&' and '*') are not "
					       "supported; write the value itself or "
					       "put it in quotes");
	ck_assert(!settings_load("build/no-such-file.yaml", &s, &err));
	ck_assert_str_eq(err.msg, "build/no-such-file.yaml: cannot be read: No such file or "
				  "directory; give the path of the settings file");
	big = malloc(300000);
	memset(big, '#', 300000);
	write_file(big, 300000);
	ck_assert(!settings_load(FILE_NAME, &s, &err));
	ck_assert_str_eq(err.msg, FILE_NAME ": over 256 KiB; give the path of the settings file");
	free(big);
}
END_TEST

/* Guards against accepting texts over 255 characters or lists over 256 entries. */
START_TEST(limits_of_text_and_list)
{
	char *line = malloc(20000);
	size_t at;

	at = (size_t)sprintf(line, "id: ");
	memset(line + at, 'x', 300);
	sprintf(line + at + 300, "\n");
	expect_field_error("id", line, ":1: field 'id': over 255 characters; write " NAME_REMEDY);
	at = (size_t)sprintf(line, "seeds:\n");
	for (int i = 0; i < 257; i++)
		at += (size_t)sprintf(line + at, "  - 127.0.1.2:%d\n", 1000 + i);
	expect_field_error("seeds", line,
			   ":7: field 'seeds': over 256 entries; write a list of at most 256 peer "
			   "addresses, one \"- IP:PORT\" a line");
	free(line);
}
END_TEST

/* Guards against accepting text that is not exactly one IPv4 address and one port. */
START_TEST(address_parsing)
{
	struct settings_address a;
	struct err err = {0};

	ck_assert(settings_parse_address(STR_LIT("127.0.0.1:65535"), &a, &err));
	ck_assert_str_eq(a.ip, "127.0.0.1");
	ck_assert_uint_eq(a.port, 65535);
	free(a.ip);
	ck_assert(!settings_parse_address(STR_LIT("127.0.0.1:80:80"), &a, &err));
	ck_assert_ptr_null(a.ip);
	ck_assert_str_eq(err.msg, "'127.0.0.1:80:80' is not an address; write " ADDRESS_REMEDY);
	ck_assert(!settings_parse_address(STR_NULL, &a, &err));
	ck_assert(!settings_parse_address(STR_LIT("127.000.000.0001:80"), &a, &err));
}
END_TEST

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, full_file_is_read);
	tcase_add_test(tc, defaults);
	tcase_add_test(tc, each_required_field_is_named_when_missing);
	tcase_add_test(tc, unknown_and_repeated_fields);
	tcase_add_test(tc, wrong_types);
	tcase_add_test(tc, bad_values);
	tcase_add_test(tc, credential_is_never_repeated);
	tcase_add_test(tc, files_that_are_no_settings);
	tcase_add_test(tc, limits_of_text_and_list);
	tcase_add_test(tc, address_parsing);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "settings", UNIT_NO_MUTANTS, add_tests);
}
