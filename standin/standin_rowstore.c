/*
 * Stand-in for the platform's row store: versioned rows in memory, transactions with conditions,
 * and a long-poll feed of changes. Requests to the control port:
 *
 *   POST /put?table=T&key=K   writes a row; the body is its value
 *   POST /drop?table=T&key=K  deletes a row
 *   POST /raw?table=T&key=K   writes a row that answers contain as the body says, valid JSON or not
 *   POST /control {"refuse":503,"hang":true,"hang_door":1,"lose_answers":3,"trim":true}
 *                             sets fault switches
 *   POST /control {"snapshot":true}
 *                             keeps a copy of all rows and of the version, in place of the last
 *   POST /control {"restore":true}
 *                             puts the copy in the place of the rows and closes all connections of
 *                             the service addresses; versions go on from that of the copy, and the
 *                             era rises by one; 400 if there is no copy
 *   POST /control {"era":"junk","era_answers":1}
 *                             the next answers have this text as their era; null: they have none
 *   POST /control {"views":[{"address":2,"from":"TEXT","to":"TEXT"}]}
 *                             values in answers at that service address (1 --listen, 2 --second)
 *                             have the second text in place of the first
 *   GET /counts               returns the number of calls, the version and the era
 *
 * All answers on the service addresses have the header store-era, unless --era is 0.
 */
#include <argtable2.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <h2o/string_.h>

#include "connection/ingress.h"
#include "connection/timer.h"
#include "standin/args.h"

#define MAX_ROWS 1024
#define ERA_TEXT_BYTES 256
#define MAX_VIEWS 64
#define VIEW_TEXT_BYTES 64

struct row {
	char *table;
	char *key;
	char *value;
	size_t len;
	uint64_t version;
	bool deleted;
	bool raw; /* the value is the row's text in answers */
};

/* How often a feed request at an address that does not answer is looked at again. */
#define HANG_CHECK_MS 100

/* A /-/rows-feed request that waits for a change of its table or for its time limit. */
struct waiter {
	struct ingress_request *req;
	struct timer timer;
	char table[201];
	uint64_t after; /* the request wants rows with higher versions */
	int address;	/* as store.hang_address */
	struct waiter *next;
};

/* A copy of the rows, see `store` for the members. */
struct snapshot {
	bool kept;
	struct row rows[MAX_ROWS];
	size_t n;
	uint64_t version;
	uint64_t min_feed_version;
};

static struct {
	h2o_loop_t *loop;
	struct row rows[MAX_ROWS];
	size_t n;
	uint64_t version; /* version of the last change; each transaction, put or drop adds 1 */
	/* Feed requests after a lower version get 410, because that history is trimmed. */
	uint64_t min_feed_version;
	struct snapshot snapshot;
	uint64_t era;			  /* 0: answers have none */
	char strange_era[ERA_TEXT_BYTES]; /* for strange_eras answers; empty: no header */
	int strange_eras;
	int refuse;	  /* status with which every request is refused, 0: none */
	bool hang;	  /* no request on the service addresses is answered */
	int hang_address; /* address that does not answer: 1 --listen, 2 --second, 0 none */
	int lose_answers; /* number of next transactions to apply without an answer */
	size_t calls;	  /* requests on the service addresses */
	struct waiter *waiters;
} store = {.version = 1, .era = 1};

static struct {
	const char *addresses[2]; /* --listen and --second, NULL if not given */
	struct ingress *ports[2];
} service;

/* A text that values in answers at a service address have in place of another. */
struct view {
	int address; /* as store.hang_address */
	char from[VIEW_TEXT_BYTES];
	char to[VIEW_TEXT_BYTES];
};

static struct {
	struct view list[MAX_VIEWS];
	size_t n;
} views;

static volatile sig_atomic_t stopping;

static void on_signal(int signo)
{
	stopping = 1;
}

/* Answers a request on the control address. */
static void reply_control(struct ingress_request *req, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	ingress_reply(req, status, NULL, 0, str_from(text), false);
	ingress_request_free(req);
	free(text);
	json_decref(body);
}

/* Answers a request on a service address with a text. */
static void reply_text(struct ingress_request *req, int status, struct str text)
{
	struct ingress_header era = {STR_LIT("store-era"), STR_NULL};

	if (store.strange_eras > 0) {
		store.strange_eras--;
		era.value = str_from(store.strange_era);
	} else if (store.era) {
		era.value = arena_printf(&req->arena, "%llu", (unsigned long long)store.era);
	}
	ingress_reply(req, status, &era, era.value.len ? 1 : 0, text, false);
	ingress_request_free(req);
}

/* Answers a request on a service address. */
static void reply(struct ingress_request *req, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	reply_text(req, status, str_from(text));
	free(text);
	json_decref(body);
}

/* Returns the decoded value of a query parameter in the request's arena, STR_NULL if absent. */
static struct str query_param(struct ingress_request *req, const char *name)
{
	struct str rest;
	char *out;
	size_t n = 0;

	str_split(req->path, '?', &rest);
	while (rest.len) {
		struct str value;
		struct str key = str_split(str_split(rest, '&', &rest), '=', &value);

		if (!str_eq_cstr(key, name))
			continue;
		out = arena_alloc(&req->arena, value.len + 1);
		for (size_t i = 0; i < value.len; i++) {
			unsigned int byte;

			if (value.ptr[i] == '%' && i + 2 < value.len &&
			    sscanf(value.ptr + i + 1, "%2x", &byte) == 1) {
				out[n++] = (char)byte;
				i += 2;
			} else {
				out[n++] = value.ptr[i];
			}
		}
		return (struct str){out, n};
	}
	return STR_NULL;
}

static bool path_is(const struct ingress_request *req, const char *path)
{
	struct str rest;

	return str_eq_cstr(str_split(req->path, '?', &rest), path);
}

static struct row *find_row(const char *table, const char *key)
{
	for (size_t i = 0; i < store.n; i++) {
		if (strcmp(store.rows[i].table, table) == 0 && strcmp(store.rows[i].key, key) == 0)
			return &store.rows[i];
	}
	return NULL;
}

static void put_row(const char *table, const char *key, struct str value, bool deleted)
{
	struct row *r = find_row(table, key);

	if (!r) {
		if (store.n == MAX_ROWS)
			abort();
		r = &store.rows[store.n++];
		r->table = strdup(table);
		r->key = strdup(key);
	}
	free(r->value);
	r->value = malloc(value.len + 1);
	memcpy(r->value, value.ptr ? value.ptr : "", value.len);
	r->len = value.len;
	r->version = store.version;
	r->deleted = deleted;
	r->raw = false;
}

/* Frees `n` rows and copies `n_from` rows into their place; returns n_from. */
static size_t replace_rows(struct row *rows, size_t n, const struct row *from, size_t n_from)
{
	for (size_t i = 0; i < n; i++) {
		free(rows[i].table);
		free(rows[i].key);
		free(rows[i].value);
	}
	memset(rows, 0, MAX_ROWS * sizeof(*rows));
	for (size_t i = 0; i < n_from; i++) {
		rows[i] = from[i];
		rows[i].table = strdup(from[i].table);
		rows[i].key = strdup(from[i].key);
		rows[i].value = malloc(from[i].len + 1);
		memcpy(rows[i].value, from[i].value, from[i].len);
	}
	return n_from;
}

static void keep_snapshot(void)
{
	struct snapshot *s = &store.snapshot;

	s->n = replace_rows(s->rows, s->n, store.rows, store.n);
	s->version = store.version;
	s->min_feed_version = store.min_feed_version;
	s->kept = true;
}

static void restore_snapshot(void)
{
	const struct snapshot *s = &store.snapshot;

	store.n = replace_rows(store.rows, store.n, s->rows, s->n);
	store.version = s->version;
	store.min_feed_version = s->min_feed_version;
	if (store.era)
		store.era++;
}

/* Returns the value of a row as answers at the address have it. */
static struct str value_at(const struct row *r, int address, struct arena *a)
{
	struct str value = {r->value, r->len};

	for (size_t i = 0; i < views.n; i++) {
		const struct view *v = &views.list[i];
		const char *at = v->address == address
					 ? memmem(value.ptr, value.len, v->from, strlen(v->from))
					 : NULL;

		if (!at)
			continue;
		value = arena_printf(a, "%.*s%s%.*s", (int)(at - value.ptr), value.ptr, v->to,
				     (int)(value.len - (size_t)(at - value.ptr) - strlen(v->from)),
				     at + strlen(v->from));
	}
	return value;
}

/* `address`: service address of the answer, as store.hang_address, or 0. */
static json_t *row_json(const struct row *r, int address)
{
	json_t *out = json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part", "", "key", r->key,
				"ver", (json_int_t)r->version);
	struct arena arena = ARENA_INIT;
	struct str value = value_at(r, address, &arena);
	char *text = malloc((value.len + 2) / 3 * 4 + 5);

	if (r->deleted) {
		json_object_set_new(out, "deleted", json_true());
	} else {
		h2o_base64_encode(text, value.ptr, value.len, 0);
		json_object_set_new(out, "value", json_string(text));
	}
	free(text);
	arena_free(&arena);
	return out;
}

static int by_key(const void *a, const void *b)
{
	return strcmp((*(const struct row *const *)a)->key, (*(const struct row *const *)b)->key);
}

/*
 * Returns the rows of a table with versions above `after`, sorted by key. Deleted rows are included
 * only if `deleted` is set.
 */
static json_t *rows_json(const char *table, uint64_t after, bool deleted, int address)
{
	const struct row *found[MAX_ROWS];
	json_t *out = json_array();
	size_t n = 0;

	for (size_t i = 0; i < store.n; i++) {
		const struct row *r = &store.rows[i];

		if (strcmp(r->table, table) == 0 && r->version > after && !r->raw &&
		    (deleted || !r->deleted))
			found[n++] = r;
	}
	qsort(found, n, sizeof(found[0]), by_key);
	for (size_t i = 0; i < n; i++)
		json_array_append_new(out, row_json(found[i], address));
	return out;
}

/* Writes the raw rows of a table behind the bracket that opens the list of rows in `text`. */
static struct str add_raw_rows(struct arena *a, struct str text, const char *table, uint64_t after)
{
	const char *rest = strchr(text.ptr, '[') + 1;
	struct str out = arena_printf(a, "%.*s", (int)(rest - text.ptr), text.ptr);
	const char *comma = "";

	for (size_t i = 0; i < store.n; i++) {
		const struct row *r = &store.rows[i];

		if (!r->raw || strcmp(r->table, table) != 0 || r->version <= after)
			continue;
		out = arena_printf(a, "%.*s%s%.*s", STR_ARG(out), comma, (int)r->len, r->value);
		comma = ",";
	}
	return arena_printf(a, "%.*s%s%s", STR_ARG(out), *rest == ']' ? "" : comma, rest);
}

static void answer_rows(struct ingress_request *req, const char *table, uint64_t after,
			bool deleted, int address)
{
	json_t *body =
		json_pack("{s:o,s:b,s:I,s:s}", "rows", rows_json(table, after, deleted, address),
			  "has-more", 0, "ver", (json_int_t)store.version, "now", "1ms");
	char *text = json_dumps(body, JSON_COMPACT);

	reply_text(req, 200, add_raw_rows(&req->arena, str_from(text), table, after));
	free(text);
	json_decref(body);
}

/* Removes the waiter from the list and frees it; its request must have been answered or freed. */
static void waiter_free(struct waiter *w)
{
	struct waiter **link = &store.waiters;

	while (*link != w)
		link = &(*link)->next;
	*link = w->next;
	timer_release(&w->timer);
	free(w);
}

static void answer_waiter(struct timer *timer, void *data)
{
	struct waiter *w = data;

	if (store.hang_address == w->address) {
		timer_arm(&w->timer, HANG_CHECK_MS);
		return;
	}
	answer_rows(w->req, w->table, w->after, true, w->address);
	waiter_free(w);
}

static bool has_newer(const char *table, uint64_t after)
{
	for (size_t i = 0; i < store.n; i++) {
		if (strcmp(store.rows[i].table, table) == 0 && store.rows[i].version > after)
			return true;
	}
	return false;
}

/* Answers all feed requests whose table has a newer row. */
static void answer_ready_waiters(void)
{
	struct waiter *next;

	for (struct waiter *w = store.waiters; w; w = next) {
		next = w->next;
		if (has_newer(w->table, w->after))
			answer_waiter(NULL, w);
	}
}

static void on_feed(struct ingress_request *req, int address)
{
	struct str table = query_param(req, "table");
	uint64_t after = 0;
	uint64_t wait = 0;
	struct waiter *w;

	str_to_u64(query_param(req, "after"), UINT64_MAX, &after);
	str_to_u64(query_param(req, "wait-ms"), 30000, &wait);
	if (after < store.min_feed_version || after > store.version) {
		reply(req, 410, json_pack("{s:s}", "error", "the history is gone"));
		return;
	}
	w = calloc(1, sizeof(*w));
	snprintf(w->table, sizeof(w->table), "%.*s", STR_ARG(table));
	w->after = after;
	w->address = address;
	w->req = req;
	w->next = store.waiters;
	store.waiters = w;
	req->data = w;
	timer_init(&w->timer, store.loop, answer_waiter, w);
	if (has_newer(w->table, after))
		answer_waiter(NULL, w);
	else
		timer_arm(&w->timer, (clk_ms)wait);
}

static const char *string_member(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

/*
 * Whether each row in `expected` has the expected version (0: absent). Adds the present rows among
 * them to `current`.
 */
static bool conditions_hold(const json_t *expected, json_t *current)
{
	bool ok = true;
	json_t *entry;
	size_t i;

	json_array_foreach(expected, i, entry)
	{
		const struct row *r =
			find_row(string_member(entry, "table"), string_member(entry, "key"));
		uint64_t version = r && !r->deleted ? r->version : 0;

		if (version != (uint64_t)json_integer_value(json_object_get(entry, "ver")))
			ok = false;
		if (r && !r->deleted)
			json_array_append_new(current, row_json(r, 0));
	}
	return ok;
}

static void apply_transaction(struct ingress_request *req, const json_t *tx)
{
	h2o_mem_pool_t pool;
	json_t *entry;
	size_t i;

	h2o_mem_init_pool(&pool);
	json_array_foreach(json_object_get(tx, "set-keys"), i, entry)
	{
		const char *value = string_member(entry, "value");
		char *copy = arena_alloc(&req->arena, strlen(value) + 1);
		h2o_iovec_t raw;
		size_t n = 0;

		/* h2o decodes only the URL-safe base64 alphabet. */
		for (const char *p = value; *p && *p != '='; p++)
			copy[n++] = *p == '+' ? '-' : *p == '/' ? '_' : *p;
		raw = h2o_decode_base64url(&pool, copy, n);
		put_row(string_member(entry, "table"), string_member(entry, "key"),
			(struct str){raw.base, raw.len}, false);
	}
	json_array_foreach(json_object_get(tx, "delete-keys"), i, entry)
		put_row(string_member(entry, "table"), string_member(entry, "key"), STR_NULL, true);
	h2o_mem_clear_pool(&pool);
}

static void on_transaction(struct ingress_request *req)
{
	json_error_t json_err;
	json_t *tx = json_loadb(req->body.ptr, req->body.len, 0, &json_err);
	json_t *current = json_array();

	if (!tx) {
		json_decref(current);
		reply(req, 400, json_pack("{s:s}", "error", json_err.text));
		return;
	}
	if (!conditions_hold(json_object_get(tx, "expected-rev"), current)) {
		reply(req, 412,
		      json_pack("{s:o,s:I,s:s}", "rows", current, "ver", (json_int_t)store.version,
				"now", "1ms"));
		json_decref(tx);
		return;
	}
	json_decref(current);
	store.version++;
	apply_transaction(req, tx);
	json_decref(tx);
	if (store.lose_answers > 0) {
		store.lose_answers--;
		req->data = NULL; /* the request stays open until the client disconnects */
	} else {
		reply(req, 200,
		      json_pack("{s:I,s:s}", "ver", (json_int_t)store.version, "now", "1ms"));
	}
	answer_ready_waiters();
}

static void on_request(void *data, struct ingress_request *req)
{
	store.calls++;
	req->data = NULL;
	if (store.hang || store.hang_address == *(const int *)data)
		return;
	if (store.refuse) {
		reply(req, store.refuse, json_pack("{s:s}", "error", "refused by a switch"));
		return;
	}
	if (path_is(req, "/-/rows-tx")) {
		on_transaction(req);
	} else if (path_is(req, "/-/rows-get")) {
		struct str table = query_param(req, "table");

		answer_rows(req, arena_str(&req->arena, table).ptr, 0, false, *(const int *)data);
	} else if (path_is(req, "/-/rows-feed")) {
		on_feed(req, *(const int *)data);
	} else {
		reply(req, 404, json_pack("{s:s}", "error", "no such call"));
	}
}

static void on_disconnect(void *data, struct ingress_request *req)
{
	if (req->data)
		waiter_free(req->data);
	ingress_request_free(req);
}

static const struct ingress_limits *limits(void *data)
{
	static const struct ingress_limits l = {.max_header_bytes = 65536,
						.max_body_bytes = 1 << 22,
						.header_timeout = 10000,
						.idle_timeout = 60000};

	return &l;
}

static struct ingress *listen_on(const char *address, const struct ingress_handlers *handlers,
				 void *data)
{
	struct str port_text;
	struct str ip = str_split(str_from(address), ':', &port_text);
	struct err err = {0};
	char copy[16];
	uint64_t port = 0;
	struct ingress *in;

	snprintf(copy, sizeof(copy), "%.*s", STR_ARG(ip));
	str_to_u64(port_text, 65535, &port);
	in = ingress_create(store.loop, copy, (uint32_t)port, handlers, data, &err);
	if (!in) {
		fprintf(stderr, "standin-rowstore: %s\n", err.msg);
		exit(2);
	}
	return in;
}

static const struct ingress_handlers service_handlers = {
	.on_request = on_request, .on_caller_closed = on_disconnect, .limits = limits};

/* Listens on the service addresses, numbered as in store.hang_address. */
static void listen_on_service(void)
{
	static int numbers[] = {1, 2};

	for (size_t i = 0; i < 2; i++) {
		if (service.addresses[i])
			service.ports[i] =
				listen_on(service.addresses[i], &service_handlers, &numbers[i]);
	}
}

/* Closes all connections of the service addresses, as a crash of the store does. */
static void reset_service(void)
{
	for (size_t i = 0; i < 2; i++) {
		ingress_destroy(service.ports[i]);
		service.ports[i] = NULL;
	}
	listen_on_service();
}

static void on_snapshot_switches(const json_t *root)
{
	const json_t *era = json_object_get(root, "era");

	if (json_is_true(json_object_get(root, "snapshot")))
		keep_snapshot();
	if (json_is_true(json_object_get(root, "restore"))) {
		restore_snapshot();
		reset_service();
	}
	if (era) {
		snprintf(store.strange_era, sizeof(store.strange_era), "%s",
			 json_is_string(era) ? json_string_value(era) : "");
		store.strange_eras = (int)json_integer_value(json_object_get(root, "era_answers"));
	}
}

static void on_views(const json_t *list)
{
	const json_t *item;
	size_t i;

	views.n = 0;
	json_array_foreach(list, i, item)
	{
		struct view *v = &views.list[views.n];

		if (views.n == MAX_VIEWS)
			abort();
		v->address = (int)json_integer_value(json_object_get(item, "address"));
		snprintf(v->from, sizeof(v->from), "%s",
			 json_string_value(json_object_get(item, "from")));
		snprintf(v->to, sizeof(v->to), "%s",
			 json_string_value(json_object_get(item, "to")));
		views.n++;
	}
}

static void on_fault_switches(struct ingress_request *req)
{
	json_error_t json_err;
	json_t *root = json_loadb(req->body.ptr, req->body.len, 0, &json_err);
	const json_t *value;

	if (!root) {
		reply_control(req, 400, json_pack("{s:s}", "error", json_err.text));
		return;
	}
	if (json_is_true(json_object_get(root, "restore")) && !store.snapshot.kept) {
		json_decref(root);
		reply_control(req, 400, json_pack("{s:s}", "error", "restore without a snapshot"));
		return;
	}
	value = json_object_get(root, "refuse");
	if (value)
		store.refuse = (int)json_integer_value(value);
	value = json_object_get(root, "hang");
	if (value)
		store.hang = json_is_true(value);
	value = json_object_get(root, "hang_door");
	if (value)
		store.hang_address = (int)json_integer_value(value);
	value = json_object_get(root, "lose_answers");
	if (value)
		store.lose_answers = (int)json_integer_value(value);
	if (json_is_true(json_object_get(root, "trim")))
		store.min_feed_version = store.version + 1;
	if (json_object_get(root, "views"))
		on_views(json_object_get(root, "views"));
	on_snapshot_switches(root);
	json_decref(root);
	reply_control(req, 200, json_object());
}

static void on_control(void *data, struct ingress_request *req)
{
	const char *table = arena_str(&req->arena, query_param(req, "table")).ptr;
	const char *key = arena_str(&req->arena, query_param(req, "key")).ptr;

	if (path_is(req, "/put") || path_is(req, "/drop") || path_is(req, "/raw")) {
		store.version++;
		put_row(table, key, req->body, path_is(req, "/drop"));
		find_row(table, key)->raw = path_is(req, "/raw");
		reply_control(req, 200, json_object());
		answer_ready_waiters();
	} else if (path_is(req, "/control")) {
		on_fault_switches(req);
	} else if (path_is(req, "/counts")) {
		reply_control(req, 200,
			      json_pack("{s:I,s:I,s:I}", "calls", (json_int_t)store.calls,
					"version", (json_int_t)store.version, "era",
					(json_int_t)store.era));
	} else {
		reply_control(req, 404, json_pack("{s:s}", "error", "no such call"));
	}
}

static void on_control_disconnect(void *data, struct ingress_request *req)
{
	ingress_request_free(req);
}

int main(int argc, char **argv)
{
	static const struct ingress_handlers control = {.on_request = on_control,
							.on_caller_closed = on_control_disconnect,
							.limits = limits};
	struct args_common common = args_common_options();
	struct arg_str *second =
		arg_str0(NULL, "second", "IP:PORT", "a second address of the same store");
	struct arg_int *era = arg_int0(NULL, "era", "N", "first era (1); 0: answers have none");
	struct arg_end *end = arg_end(5);
	void *table[] = {common.listen, common.control, second, era, common.help, end};
	struct ingress *control_port;

	args_parse(argc, argv, table, &common, end);
	if (era->count)
		store.era = era->ival[0] > 0 ? (uint64_t)era->ival[0] : 0;
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	timer_setup_process();
	store.loop = h2o_evloop_create();
	service.addresses[0] = common.listen->sval[0];
	service.addresses[1] = second->count ? second->sval[0] : NULL;
	listen_on_service();
	control_port = listen_on(common.control->sval[0], &control, NULL);
	while (!stopping)
		h2o_evloop_run(store.loop, 100);
	while (store.waiters) {
		ingress_request_free(store.waiters->req);
		waiter_free(store.waiters);
	}
	(void)control_port; /* the exit of the process closes the listeners */
	fflush(NULL);
	_exit(0);
}
