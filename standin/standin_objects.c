/*
 * Stand-in for the platform's object store: named objects in memory, written and read with PUT and
 * GET /o/NAME and listed with GET /o/?prefix=PREFIX.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/log.h"
#include "standin/args.h"
#include "standin/faults.h"
#include "standin/httpd.h"

struct object {
	char *name;
	char *body;
	size_t len;
	UT_hash_handle hh;
};

struct objects {
	struct httpd *httpd;
	struct faults faults;
	struct object *all;
	uint64_t reads;
	uint64_t writes;
};

static const struct log lg = {"objects"};
static const struct str object_prefix = {"/o/", 3};

static bool is_valid_name(struct str name)
{
	static const char allowed[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._/-";

	return name.len && name.len <= 500 && strspn(name.ptr, allowed) >= name.len;
}

static int by_name(struct object *a, struct object *b)
{
	return strcmp(a->name, b->name);
}

static void list_objects(struct objects *s, struct exchange *x)
{
	struct str prefix = exchange_query(x, "prefix");
	json_t *list = json_array();
	struct object *o;
	struct object *next;

	s->reads++;
	HASH_SORT(s->all, by_name);
	HASH_ITER (hh, s->all, o, next) {
		if (str_starts_with(str_from(o->name), prefix))
			json_array_append_new(list, json_pack("{s:s,s:I}", "name", o->name, "bytes",
							      (json_int_t)o->len));
	}
	faults_answer_json(&s->faults, x, 200, json_pack("{s:o}", "objects", list));
}

static void put_object(struct objects *s, struct exchange *x, struct str name, struct object *o)
{
	int status = o ? 200 : 201;

	s->writes++;
	if (!o) {
		o = calloc(1, sizeof(*o));
		o->name = strndup(name.ptr, name.len);
		HASH_ADD_KEYPTR(hh, s->all, o->name, name.len, o);
	}
	free(o->body);
	o->body = malloc(x->body.len + 1);
	memcpy(o->body, x->body.ptr, x->body.len);
	o->len = x->body.len;
	faults_answer_json(&s->faults, x, status, json_pack("{s:b}", "written", 1));
}

static void perform(void *data, struct exchange *x)
{
	struct objects *s = data;
	struct object *o;
	struct str name;

	if (exchange_is(x, "GET", "/o/")) {
		list_objects(s, x);
		return;
	}
	if (!str_starts_with(x->path, object_prefix)) {
		exchange_error(x, 404, "no such path", "use /o/NAME or /o/?prefix=PREFIX");
		return;
	}
	/* The path's buffer may continue with a query; strspn() needs a terminated copy. */
	name = arena_str(&x->arena, (struct str){x->path.ptr + object_prefix.len,
						 x->path.len - object_prefix.len});
	HASH_FIND(hh, s->all, name.ptr, name.len, o);
	if (!is_valid_name(name)) {
		exchange_error(x, 400, "bad object name",
			       "use 1 to 500 characters of A-Z a-z 0-9 . _ / -");
	} else if (str_eq_cstr(x->method, "PUT")) {
		put_object(s, x, name, o);
	} else if (!str_eq_cstr(x->method, "GET")) {
		exchange_error(x, 405, "no such method", "use GET or PUT");
	} else if (!o) {
		exchange_error(x, 404, "no such object", "write it with PUT");
	} else {
		s->reads++;
		faults_answer(&s->faults, x, 200, "application/octet-stream",
			      (struct str){o->body, o->len});
	}
}

static void on_service(void *data, struct exchange *x)
{
	struct objects *s = data;

	faults_perform(&s->faults, x, perform);
}

static void on_control(void *data, struct exchange *x)
{
	struct objects *s = data;

	if (faults_control(&s->faults, x))
		return;
	if (exchange_is(x, "GET", "/counts"))
		exchange_reply_json(x, 200,
				    json_pack("{s:I,s:I}", "reads", (json_int_t)s->reads, "writes",
					      (json_int_t)s->writes));
	else
		exchange_error(x, 404, "no such path", "use POST /control or GET /counts");
}

int main(int argc, char **argv)
{
	static struct objects s;
	struct args_common common = args_common_options();
	struct arg_end *end = arg_end(8);
	void *options[] = {common.listen, common.control, common.help, end};
	struct err err;

	args_parse(argc, argv, options, &common, end);
	log_setup("standin-objects", LOG_INFO);
	s.httpd = httpd_create("standin-objects", common.listen->sval[0], common.control->sval[0],
			       on_service, on_control, &s, &err);
	s.faults.httpd = s.httpd;
	s.faults.owner_data = &s;
	if (s.httpd)
		httpd_run(s.httpd);
	else
		log_error(&lg, "%s", err.msg);
	arg_freetable(options, sizeof(options) / sizeof(options[0]));
	return s.httpd ? 0 : 2;
}
