/*
 * Stand-in for the platform's table service: rows with versions in memory, read with GET and
 * written by compare-and-set with PUT (if-match or if-none-match).
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/log.h"
#include "standin/args.h"
#include "standin/faults.h"
#include "standin/httpd.h"

#define ETAG_BYTES 24
#define TOKEN_DIGITS 16

struct row {
	char *name;
	uint64_t version;
	char token[TOKEN_DIGITS + 1]; /* x-write-token of the last write */
	char *body;
	size_t len;
	UT_hash_handle hh;
};

struct table {
	struct httpd *httpd;
	struct faults faults;
	struct row *rows;
	uint64_t reads;
	uint64_t not_modified;
	uint64_t writes;
	uint64_t conflicts;
	uint64_t drop_write_answers; /* number of next successful writes without an answer */
};

static const struct log lg = {"table"};
static const struct str row_prefix = {"/t/", 3};

static struct row *find_row(struct table *t, struct str name)
{
	struct row *row;

	HASH_FIND(hh, t->rows, name.ptr, name.len, row);
	return row;
}

static bool is_valid_name(struct str name)
{
	static const char allowed[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._/-";

	return name.len && name.len <= 200 && strspn(name.ptr, allowed) >= name.len;
}

static bool is_valid_token(struct str token)
{
	return token.len == TOKEN_DIGITS && strspn(token.ptr, "0123456789abcdef") >= token.len;
}

/* Adds the row's etag and write token to the answer; the etag is "0" if `row` is NULL. */
static void add_etag(struct exchange *x, const struct row *row)
{
	char etag[ETAG_BYTES];

	snprintf(etag, sizeof(etag), "\"%llu\"", row ? (unsigned long long)row->version : 0ULL);
	exchange_add_header(x, "etag", str_from(etag));
	if (row)
		exchange_add_header(x, "x-write-token", str_from(row->token));
}

/* Parses an etag: a version in double quotes. */
static bool parse_etag(struct str text, uint64_t *out)
{
	if (text.len < 3 || text.ptr[0] != '"' || text.ptr[text.len - 1] != '"')
		return false;
	return str_to_u64((struct str){text.ptr + 1, text.len - 2}, UINT64_MAX - 1, out);
}

static void get_row(struct table *t, struct exchange *x, struct str name)
{
	const struct row *row = find_row(t, name);
	uint64_t known_version;

	t->reads++;
	if (!row) {
		faults_answer_json(&t->faults, x, 404,
				   json_pack("{s:s,s:s}", "error", "no such row", "remedy",
					     "write it with if-none-match: *"));
		return;
	}
	add_etag(x, row);
	if (parse_etag(exchange_header(x, "if-none-match"), &known_version) &&
	    known_version == row->version) {
		t->not_modified++;
		faults_answer(&t->faults, x, 304, NULL, STR_NULL);
		return;
	}
	faults_answer(&t->faults, x, 200, "application/octet-stream",
		      (struct str){row->body, row->len});
}

static void store_row(struct table *t, struct row *row, const struct exchange *x, struct str name,
		      struct str token)
{
	if (!row) {
		row = calloc(1, sizeof(*row));
		row->name = strndup(name.ptr, name.len);
		HASH_ADD_KEYPTR(hh, t->rows, row->name, name.len, row);
	}
	row->version++;
	memcpy(row->token, token.ptr, TOKEN_DIGITS);
	free(row->body);
	row->body = malloc(x->body.len + 1);
	memcpy(row->body, x->body.ptr, x->body.len);
	row->len = x->body.len;
}

static void put_row(struct table *t, struct exchange *x, struct str name)
{
	struct str match = exchange_header(x, "if-match");
	struct str none_match = exchange_header(x, "if-none-match");
	struct str token = exchange_header(x, "x-write-token");
	struct row *row = find_row(t, name);
	uint64_t expected = 0;

	if (!is_valid_token(token)) {
		exchange_error(x, 400, "bad or missing x-write-token",
			       "send 16 lower-case hex digits, random for each write");
		return;
	}
	if ((match.len == 0) == (none_match.len == 0) ||
	    (match.len && (!parse_etag(match, &expected) || !expected)) ||
	    (none_match.len && !str_eq_cstr(none_match, "*"))) {
		exchange_error(x, 400, "bad or missing condition",
			       "send if-match: \"VERSION\" or if-none-match: *, and only one");
		return;
	}
	if (expected != (row ? row->version : 0)) {
		t->conflicts++;
		add_etag(x, row);
		faults_answer_json(&t->faults, x, 412,
				   json_pack("{s:s,s:s}", "error", "the row has another version",
					     "remedy", "read it, decide again, write again"));
		return;
	}
	t->writes++;
	store_row(t, row, x, name, token);
	add_etag(x, find_row(t, name));
	if (t->drop_write_answers) {
		t->drop_write_answers--;
		exchange_drop(x);
		return;
	}
	faults_answer_json(&t->faults, x, 200, json_pack("{s:b}", "written", 1));
}

static void perform(void *data, struct exchange *x)
{
	struct table *t = data;
	struct str name;

	if (!str_starts_with(x->path, row_prefix)) {
		exchange_error(x, 404, "no such path", "use /t/ROW");
		return;
	}
	name = (struct str){x->path.ptr + row_prefix.len, x->path.len - row_prefix.len};
	/* The path's buffer may continue with a query; strspn() needs a terminated copy. */
	name = arena_str(&x->arena, name);
	if (!is_valid_name(name))
		exchange_error(x, 400, "bad row name",
			       "use 1 to 200 characters of A-Z a-z 0-9 . _ / -");
	else if (str_eq_cstr(x->method, "GET"))
		get_row(t, x, name);
	else if (str_eq_cstr(x->method, "PUT"))
		put_row(t, x, name);
	else
		exchange_error(x, 405, "no such method", "use GET or PUT");
}

static void on_service(void *data, struct exchange *x)
{
	struct table *t = data;

	faults_perform(&t->faults, x, perform);
}

static json_t *list_rows(const struct table *t)
{
	json_t *list = json_array();
	struct row *row;
	struct row *next;

	HASH_ITER (hh, t->rows, row, next) {
		json_array_append_new(list, json_pack("{s:s,s:I,s:s,s:I}", "row", row->name,
						      "version", (json_int_t)row->version, "token",
						      row->token, "bytes", (json_int_t)row->len));
	}
	return json_pack("{s:o}", "rows", list);
}

static void on_control(void *data, struct exchange *x)
{
	struct table *t = data;

	if (faults_control(&t->faults, x))
		return;
	if (exchange_is(x, "GET", "/counts"))
		exchange_reply_json(x, 200,
				    json_pack("{s:I,s:I,s:I,s:I}", "reads", (json_int_t)t->reads,
					      "not_modified", (json_int_t)t->not_modified, "writes",
					      (json_int_t)t->writes, "conflicts",
					      (json_int_t)t->conflicts));
	else if (exchange_is(x, "GET", "/rows"))
		exchange_reply_json(x, 200, list_rows(t));
	else
		exchange_error(x, 404, "no such path",
			       "use POST /control, GET /counts or GET /rows");
}

static void apply_drop_write(void *data, const json_t *value)
{
	((struct table *)data)->drop_write_answers = (uint64_t)json_integer_value(value);
}

static const struct fault_switch extra_switches[] = {
	/* The next n successful writes are performed but not answered. Unlike drop_answers,
	 * reads are not counted, because their number depends on timing. */
	{"drop_write_answers", FAULT_COUNT, apply_drop_write},
	{NULL, FAULT_BOOL, NULL},
};

int main(int argc, char **argv)
{
	static struct table t;
	struct args_common common = args_common_options();
	struct arg_end *end = arg_end(8);
	void *options[] = {common.listen, common.control, common.help, end};
	struct err err;

	args_parse(argc, argv, options, &common, end);
	log_setup("standin-table", LOG_INFO);
	t.httpd = httpd_create("standin-table", common.listen->sval[0], common.control->sval[0],
			       on_service, on_control, &t, &err);
	t.faults.httpd = t.httpd;
	t.faults.owner_data = &t;
	t.faults.extra = extra_switches;
	if (t.httpd)
		httpd_run(t.httpd);
	else
		log_error(&lg, "%s", err.msg);
	arg_freetable(options, sizeof(options) / sizeof(options[0]));
	return t.httpd ? 0 : 2;
}
