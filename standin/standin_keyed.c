/*
 * Stand-in for an upstream on the platform that runs requests only for the keys it has a lease on
 * (with --keyed). It checks the fencing tokens of grants, returns each request's attempt id, and
 * adds the header x-response-seal to its answers. Fault switches on the control port:
 * POST /control {"shed":2,"drop_answers":1,"unsigned":1,"work_ms":50}; "limit", "leaving" and
 * "retry_after" are texts that its answers have in the headers server-limit, server-leaving and, if
 * they are 503, retry-after, until the text is empty. GET /counts returns counters. With --ledger
 * FILE it appends a line to the file for its start, each run, grant and release. Its answers say in
 * the header x-seen which account the request named and how many credentials it had, if any.
 */
#include <argtable2.h>
#include <jansson.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "connection/ingress.h"
#include "connection/timer.h"
#include "standin/args.h"

#define KEY_SPACE 65536
#define MAX_IDS 4096
#define HEADER_TEXT_BYTES 64
#define MAX_HEADERS 9

static struct {
	h2o_loop_t *loop;
	const char *id;
	FILE *ledger; /* NULL: none */
	bool keyed;
	uint64_t fence[KEY_SPACE];   /* fencing token of the latest grant of each key */
	clk_ms lease_end[KEY_SPACE]; /* monotonic clock; 0: no lease on the key */
	clk_ms work_ms;
	int shed_remaining; /* number of next requests to refuse with 503 without running them */
	int drop_answers_remaining; /* number of next requests to run without a normal answer */
	int unsigned_remaining;	    /* number of next answers without x-response-seal */
	char limit[HEADER_TEXT_BYTES];
	char leaving[HEADER_TEXT_BYTES];
	char retry_after[HEADER_TEXT_BYTES];
	size_t arrived; /* requests, run or refused */
	size_t runs;
	size_t running;
	size_t misplaced;   /* refused with 421: another instance is expected, or no key lease */
	size_t grants;	    /* grants accepted */
	size_t cancelled;   /* running requests whose client disconnected */
	char *ids[MAX_IDS]; /* attempt ids of requests that ran */
	size_t n_ids;
	size_t repeated;	    /* runs whose attempt id had run before */
	char *refused_ids[MAX_IDS]; /* attempt ids of requests refused with 421 */
	size_t n_refused_ids;
	size_t refused_again; /* refused with 421, and their attempt id had been before */
} server = {.work_ms = 5};

static volatile sig_atomic_t stopping;

static void on_signal(int signo)
{
	stopping = 1;
}

/* Appends a line to the ledger file and flushes it, so that it survives a kill of the process. */
__attribute__((format(printf, 1, 2))) static void ledger(const char *format, ...)
{
	va_list args;

	if (!server.ledger)
		return;
	va_start(args, format);
	vfprintf(server.ledger, format, args);
	va_end(args);
	fflush(server.ledger);
}

struct job {
	struct ingress_request *req;
	struct timer timer;
};

static void reply_text(struct ingress_request *req, int status, struct str body)
{
	ingress_reply(req, status, NULL, 0, body, false);
	ingress_request_free(req);
}

/* Adds an id to a list of at most MAX_IDS; returns true if the list had it. */
static bool record_id(char **ids, size_t *n, struct str id)
{
	for (size_t i = 0; i < *n; i++) {
		if (str_eq_cstr(id, ids[i]))
			return true;
	}
	if (*n < MAX_IDS)
		ids[(*n)++] = strndup(id.ptr ? id.ptr : "", id.len);
	return false;
}

static void record_run(struct str id)
{
	server.runs++;
	if (record_id(server.ids, &server.n_ids, id))
		server.repeated++;
}

static void record_misplaced(struct str id)
{
	server.misplaced++;
	if (record_id(server.refused_ids, &server.n_refused_ids, id))
		server.refused_again++;
}

/* Adds the headers in which the upstream speaks of itself; returns the new number of headers. */
static size_t add_notice(struct ingress_header *headers, size_t n, int status)
{
	if (server.limit[0])
		headers[n++] =
			(struct ingress_header){STR_LIT("server-limit"), str_from(server.limit)};
	if (server.leaving[0])
		headers[n++] = (struct ingress_header){STR_LIT("server-leaving"),
						       str_from(server.leaving)};
	if (server.retry_after[0] && status == 503)
		headers[n++] = (struct ingress_header){STR_LIT("retry-after"),
						       str_from(server.retry_after)};
	return n;
}

/* Lists the values of the headers that name an account, and counts those with a credential. */
static struct str describe_account(struct ingress_request *req)
{
	struct str accounts = STR_NULL;
	size_t credentials = 0;

	for (size_t i = 0; i < req->n_headers; i++) {
		const struct ingress_header *h = &req->headers[i];

		credentials += str_eq_cstr(h->name, "x-credential");
		if (str_eq_cstr(h->name, "x-tenant-name"))
			accounts = arena_printf(&req->arena, "%.*s <%.*s>", STR_ARG(accounts),
						STR_ARG(h->value));
	}
	if (!accounts.len && !credentials)
		return STR_LIT("no account");
	return arena_printf(&req->arena, "account%.*s credentials %zu", STR_ARG(accounts),
			    credentials);
}

static void on_job_done(struct timer *timer, void *data)
{
	struct job *job = data;
	struct ingress_request *req = job->req;
	struct arena *a = &req->arena;
	struct ingress_header headers[MAX_HEADERS] = {
		{STR_LIT("x-attempt-id"), ingress_header(req, "x-attempt-id")},
		{STR_LIT("x-backend-load"), arena_printf(a, "%zu,0,2,100", server.running)},
		{STR_LIT("x-served-by"), str_from(server.id)},
		{STR_LIT("x-seen"), describe_account(req)},
		{STR_LIT("x-response-seal"), STR_LIT("sealed")},
	};
	size_t n = 5;

	server.running--;
	timer_release(&job->timer);
	free(job);
	req->data = NULL;
	if (server.unsigned_remaining > 0) {
		server.unsigned_remaining--;
		n = 4;
	}
	n = add_notice(headers, n, 200);
	ingress_reply(req, 200, headers, n,
		      arena_printf(a, "%s ran %.*s\n", server.id, STR_ARG(req->path)), false);
	ingress_request_free(req);
}

/* Answers with `x-not-executed: 1`, which tells the router that the request has not run. */
static void refuse(struct ingress_request *req, int status)
{
	struct ingress_header headers[MAX_HEADERS] = {
		{STR_LIT("x-not-executed"), STR_LIT("1")},
		{STR_LIT("x-attempt-id"), ingress_header(req, "x-attempt-id")},
		{STR_LIT("x-instance-id"), str_from(server.id)},
	};

	ingress_reply(req, status, headers, add_notice(headers, 3, status), STR_NULL, false);
	ingress_request_free(req);
}

static bool has_key_lease(const struct ingress_request *req)
{
	uint64_t key;

	return !server.keyed ||
	       (str_to_u64(ingress_header(req, "x-shard-key"), KEY_SPACE - 1, &key) &&
		server.lease_end[key] > clk_now());
}

static void run(struct ingress_request *req)
{
	struct job *job;

	record_run(ingress_header(req, "x-attempt-id"));
	ledger("run %lld %.*s %.*s %.*s\n", (long long)clk_now(),
	       STR_ARG(ingress_header(req, "x-attempt-id")), STR_ARG(req->path),
	       STR_ARG(ingress_header(req, "x-shard-key")));
	if (server.drop_answers_remaining > 0) {
		server.drop_answers_remaining--;
		/* The request has run, but the client gets an empty 200 without x-attempt-id, and
		 * the connection is closed. */
		ingress_reply(req, 200, NULL, 0, STR_NULL, true);
		ingress_request_free(req);
		return;
	}
	job = calloc(1, sizeof(*job));
	job->req = req;
	req->data = job;
	server.running++;
	timer_init(&job->timer, server.loop, on_job_done, job);
	timer_arm(&job->timer, server.work_ms);
}

static int64_t integer_member(const json_t *root, const char *name)
{
	return json_integer_value(json_object_get(root, name));
}

/*
 * Handles a grant or a release of the keys from `from` to `to`. Grants with a lower fencing token
 * than that of any of the keys are refused with 409; releases are not checked.
 */
static void on_lease_order(struct ingress_request *req, bool grant)
{
	json_error_t json_err;
	json_t *root = json_loadb(req->body.ptr, req->body.len, 0, &json_err);
	const char *lease_time = json_string_value(json_object_get(root, "hold_time"));
	uint64_t fence = (uint64_t)integer_member(root, "fence");
	int64_t from = integer_member(root, "from");
	int64_t to = integer_member(root, "to");
	static const struct ingress_header handover[] = {{{"x-handover", 10}, {"h", 1}}};
	clk_ms now = clk_now();
	bool has_higher_fence = false;

	if (!root || from < 0 || to >= KEY_SPACE || from > to || (grant && !lease_time)) {
		json_decref(root);
		reply_text(req, 400, STR_LIT("bad order\n"));
		return;
	}
	for (int64_t key = from; grant && key <= to; key++)
		has_higher_fence = has_higher_fence || server.fence[key] > fence;
	for (int64_t key = from; !has_higher_fence && key <= to; key++) {
		if (grant)
			server.fence[key] = fence;
		server.lease_end[key] = grant ? now + strtol(lease_time, NULL, 10) : 0;
	}
	server.grants += grant && !has_higher_fence;
	if (!has_higher_fence)
		ledger("%s %lld %lld %lld %llu %lld\n", grant ? "grant" : "release", (long long)now,
		       (long long)from, (long long)to, (unsigned long long)fence,
		       (long long)(grant ? now + strtol(lease_time, NULL, 10) : 0));
	json_decref(root);
	ingress_reply(req, has_higher_fence ? 409 : 200, handover, grant ? 0 : 1, STR_NULL, false);
	ingress_request_free(req);
}

/* Answers a health check, which names the instance. */
static void answer_health(struct ingress_request *req)
{
	const struct ingress_header headers[] = {
		{STR_LIT("x-instance-id"), str_from(server.id)},
		{STR_LIT("x-backend-load"),
		 arena_printf(&req->arena, "%zu,0,2,100", server.running)},
	};

	ingress_reply(req, 200, headers, 2, STR_NULL, false);
	ingress_request_free(req);
}

static void on_request(void *data, struct ingress_request *req)
{
	struct str expected = ingress_header(req, "x-expected-instance");

	req->data = NULL;
	if (str_eq_cstr(req->path, "/-/grant") || str_eq_cstr(req->path, "/-/release")) {
		on_lease_order(req, str_eq_cstr(req->path, "/-/grant"));
		return;
	}
	if (str_eq_cstr(req->path, "/health")) {
		answer_health(req);
		return;
	}
	server.arrived++;
	if (!str_eq_cstr(expected, server.id) || !has_key_lease(req)) {
		record_misplaced(ingress_header(req, "x-attempt-id"));
		refuse(req, 421);
	} else if (server.shed_remaining > 0) {
		server.shed_remaining--;
		refuse(req, 503);
	} else {
		run(req);
	}
}

static void on_disconnect(void *data, struct ingress_request *req)
{
	struct job *job = req->data;

	if (job) {
		server.running--;
		server.cancelled++;
		timer_release(&job->timer);
		free(job);
	}
	ingress_request_free(req);
}

static void read_switch(const json_t *root, const char *name, int *out)
{
	const json_t *value = json_object_get(root, name);

	if (value)
		*out = (int)json_integer_value(value);
}

static void read_text(const json_t *root, const char *name, char out[HEADER_TEXT_BYTES])
{
	const char *text = json_string_value(json_object_get(root, name));

	if (text)
		snprintf(out, HEADER_TEXT_BYTES, "%s", text);
}

static void on_control(void *data, struct ingress_request *req)
{
	json_error_t json_err;
	json_t *root;
	char *text;

	if (str_eq_cstr(req->path, "/control")) {
		root = json_loadb(req->body.ptr, req->body.len, 0, &json_err);
		read_switch(root, "shed", &server.shed_remaining);
		read_switch(root, "drop_answers", &server.drop_answers_remaining);
		read_switch(root, "unsigned", &server.unsigned_remaining);
		read_text(root, "limit", server.limit);
		read_text(root, "leaving", server.leaving);
		read_text(root, "retry_after", server.retry_after);
		if (json_object_get(root, "work_ms"))
			server.work_ms = (clk_ms)integer_member(root, "work_ms");
		json_decref(root);
		reply_text(req, 200, STR_LIT("{}\n"));
		return;
	}
	root = json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "arrived", (json_int_t)server.arrived,
			 "runs", (json_int_t)server.runs, "running", (json_int_t)server.running,
			 "misplaced", (json_int_t)server.misplaced, "grants",
			 (json_int_t)server.grants, "cancelled", (json_int_t)server.cancelled,
			 "repeated", (json_int_t)server.repeated, "refused-again",
			 (json_int_t)server.refused_again);
	text = json_dumps(root, JSON_COMPACT);
	reply_text(req, 200, str_from(text));
	free(text);
	json_decref(root);
}

static void on_control_disconnect(void *data, struct ingress_request *req)
{
	ingress_request_free(req);
}

static const struct ingress_limits *limits(void *data)
{
	static const struct ingress_limits l = {.max_header_bytes = 65536,
						.max_body_bytes = 1 << 22,
						.header_timeout = 10000,
						.idle_timeout = 10000};

	return &l;
}

static void listen_on(const char *address, const struct ingress_handlers *handlers)
{
	struct str port_text;
	struct str ip = str_split(str_from(address), ':', &port_text);
	struct err err = {0};
	char copy[16];
	uint64_t port = 0;

	snprintf(copy, sizeof(copy), "%.*s", STR_ARG(ip));
	str_to_u64(port_text, 65535, &port);
	if (!ingress_create(server.loop, copy, (uint32_t)port, handlers, NULL, &err)) {
		fprintf(stderr, "standin-keyed: %s\n", err.msg);
		exit(2);
	}
}

int main(int argc, char **argv)
{
	static const struct ingress_handlers service = {
		.on_request = on_request, .on_caller_closed = on_disconnect, .limits = limits};
	static const struct ingress_handlers control = {.on_request = on_control,
							.on_caller_closed = on_control_disconnect,
							.limits = limits};
	struct args_common common = args_common_options();
	struct arg_str *id = arg_str1(NULL, "id", "ID", "id of the upstream");
	struct arg_lit *keyed = arg_lit0(NULL, "keyed", "run requests only for keys that it holds");
	struct arg_file *ledger_file = arg_file0(NULL, "ledger", "FILE", "append what happens");
	struct arg_end *end = arg_end(5);
	void *table[] = {common.listen, common.control, common.help, id, keyed, ledger_file, end};

	args_parse(argc, argv, table, &common, end);
	server.id = id->sval[0];
	server.keyed = keyed->count > 0;
	if (ledger_file->count) {
		server.ledger = fopen(ledger_file->filename[0], "a");
		if (!server.ledger) {
			fprintf(stderr, "standin-keyed: %s cannot be written\n",
				ledger_file->filename[0]);
			return 2;
		}
	}
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	timer_setup_process();
	server.loop = h2o_evloop_create();
	listen_on(common.listen->sval[0], &service);
	listen_on(common.control->sval[0], &control);
	ledger("start %lld\n", (long long)clk_now());
	while (!stopping)
		h2o_evloop_run(server.loop, 100);
	/* Open connections are left to the kernel to close. */
	_exit(0);
}
