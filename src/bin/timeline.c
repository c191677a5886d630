/*
 * bamboocroft-timeline: reads events from routers and log files, merges them into one causal order,
 * filters and prints them and, with --export, writes them to the object store.
 */
#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <argtable2.h>
#include <h2o.h>

#include "base/clk.h"
#include "base/err.h"
#include "base/log.h"
#include "base/str.h"
#include "tool/events.h"
#include "tool/httpc.h"

#define MAX_SOURCES 1000 /* routers, and log files */
#define MAX_PARTITIONS 65536
#define DEFAULT_PARTITIONS 256
#define DEFAULT_WAIT_S 60
#define CALL_TIMEOUT_MS 5000
#define EXPORT_PAUSE_MS 1000
#define CREDENTIAL_BYTES 512
/* Exit code if a source could not be read, so that the output is incomplete. */
#define EXIT_INCOMPLETE 4

static const struct log logger = {"timeline"};

struct arguments {
	struct arg_str *router;
	struct arg_str *credential_file;
	struct arg_str *file;
	struct arg_str *since;
	struct arg_lit *homed;
	struct arg_str *key;
	struct arg_str *service;
	struct arg_int *partitions;
	struct arg_int *partition;
	struct arg_str *upstream;
	struct arg_str *failure_domain;
	struct arg_str *plan;
	struct arg_str *request_id;
	struct arg_str *kind;
	struct arg_lit *json;
	struct arg_str *export_to;
	struct arg_int *wait_s;
	struct arg_lit *help;
	struct arg_end *end; /* last, as argtable2 expects */
};

#define N_ARGUMENTS (sizeof(struct arguments) / sizeof(void *))

static struct arguments declare_arguments(void)
{
	return (struct arguments){
		.router = arg_strn(NULL, "router", "IP:PORT", 0, MAX_SOURCES,
				   "operators' port of a router"),
		.credential_file = arg_str0(NULL, "credential-file", "FILE",
					    "operators' credential, needed with --router"),
		.file = arg_strn(NULL, "file", "FILE", 0, MAX_SOURCES, "log of a process"),
		.since = arg_str0(NULL, "since", "HLC", "only events after this clock value"),
		.homed = arg_lit0(NULL, "homed", "show request ids of requests with home regions"),
		.key = arg_str0(NULL, "key", "KEY", "events of the key's partition"),
		.service = arg_str0(NULL, "service", "ID", "events of a service"),
		.partitions = arg_int0(NULL, "partitions", "N",
				       "partitions of the service, for --key (default 256)"),
		.partition = arg_int0(NULL, "partition", "N", "events of a partition"),
		.upstream = arg_str0(NULL, "upstream", "ID", "events of an upstream"),
		.failure_domain =
			arg_str0(NULL, "failure-domain", "ID", "events of a failure domain"),
		.plan = arg_str0(NULL, "plan", "ID", "events of a plan"),
		.request_id = arg_str0(NULL, "request-id", "ID", "events of a request"),
		.kind = arg_strn(NULL, "kind", "KIND", 0, EVENTS_MAX_KINDS, "events of this kind"),
		.json = arg_lit0(NULL, "json", "print JSON lines"),
		.export_to = arg_str0(NULL, "export", "IP:PORT",
				      "also write the events to this object store"),
		.wait_s = arg_int0(NULL, "wait-seconds", "S",
				   "wait this long for the object store (default 60)"),
		.help = arg_lit0("h", "help", "print this help"),
		.end = arg_end(8),
	};
}

static const char *text_or_null(const struct arg_str *arg)
{
	return arg->count ? arg->sval[0] : NULL;
}

/* Makes the filter from the options; false with `err` set if they are inconsistent. */
static bool make_filter(const struct arguments *args, struct events_filter *f, struct err *err)
{
	int partitions = args->partitions->count ? args->partitions->ival[0] : DEFAULT_PARTITIONS;

	*f = (struct events_filter){
		.with_homed = args->homed->count > 0,
		.service = text_or_null(args->service),
		.upstream = text_or_null(args->upstream),
		.failure_domain = text_or_null(args->failure_domain),
		.plan = text_or_null(args->plan),
		.request_id = text_or_null(args->request_id),
	};
	for (int i = 0; i < args->kind->count; i++)
		f->kinds[f->n_kinds++] = args->kind->sval[i];
	if (partitions < 1 || partitions > MAX_PARTITIONS)
		return err_set(err, ERR_INPUT, "bad --partitions: give 1 to %d", MAX_PARTITIONS);
	if (args->key->count && args->partition->count)
		return err_set(err, ERR_INPUT, "give either --key or --partition");
	if (args->key->count && !args->service->count)
		return err_set(err, ERR_INPUT,
			       "--key needs --service: a key is in one partition of each service");
	if (args->partition->count && args->partition->ival[0] < 0)
		return err_set(err, ERR_INPUT, "bad --partition: give 0 or more");
	f->has_partition = args->key->count || args->partition->count;
	if (args->key->count)
		f->partition = str_hash(str_from(args->key->sval[0])) % (uint64_t)partitions;
	else if (args->partition->count)
		f->partition = (uint64_t)args->partition->ival[0];
	return true;
}

/* ---- sources ---- */

/* Reads a file into `*text`, which the caller frees. */
static bool read_whole_file(const char *path, char **text, size_t *len, struct err *err)
{
	FILE *in = fopen(path, "re");
	FILE *out;
	char chunk[65536];
	size_t n;

	if (!in)
		return err_set(err, ERR_INPUT, "cannot read %.300s: %s; give a file that exists",
			       path, strerror(errno));
	out = open_memstream(text, len);
	if (!out)
		abort();
	while ((n = fread(chunk, 1, sizeof(chunk), in)) > 0)
		fwrite(chunk, 1, n, out);
	fclose(out);
	fclose(in);
	return true;
}

static bool add_file(struct events *e, const char *path, struct err *err)
{
	char *text = NULL;
	size_t len = 0;

	if (!read_whole_file(path, &text, &len, err))
		return false;
	events_add(e, (struct str){text, len});
	free(text);
	return true;
}

/* Copies the first line of the file, without leading and trailing white space, to `out`. */
static bool read_credential(const char *path, char out[CREDENTIAL_BYTES], struct err *err)
{
	char *text = NULL;
	size_t len = 0;
	struct str rest;
	struct str line;

	if (!path)
		return err_set(err, ERR_INPUT, "--router needs --credential-file");
	if (!read_whole_file(path, &text, &len, err))
		return false;
	line = str_split((struct str){text, len}, '\n', &rest);
	while (line.len && isspace((unsigned char)line.ptr[line.len - 1]))
		line.len--;
	while (line.len && isspace((unsigned char)*line.ptr)) {
		line.ptr++;
		line.len--;
	}
	snprintf(out, CREDENTIAL_BYTES, "%.*s", STR_ARG(line));
	free(text);
	if (!line.len || line.len >= CREDENTIAL_BYTES)
		return err_set(err, ERR_INPUT,
			       "bad credential in %.300s: put it alone on the first line", path);
	return true;
}

/* Reads a router's events from its operators' port and adds them. */
static bool add_router(struct events *e, h2o_loop_t *loop, const char *address,
		       const char *credential, const struct arguments *args, struct err *err)
{
	struct httpc *client = httpc_create(loop, address, CALL_TIMEOUT_MS, err);
	char authorization[CREDENTIAL_BYTES + 8];
	char path[100];
	struct httpc_header header = {STR_LIT("authorization"), STR_NULL};
	struct httpc_request req = {.method = STR_LIT("GET"), .headers = &header, .n_headers = 1};
	char *body;
	size_t len;

	if (!client)
		return false;
	snprintf(authorization, sizeof(authorization), "Bearer %s", credential);
	snprintf(path, sizeof(path), "/events?since=%s&homed=%d",
		 args->since->count ? args->since->sval[0] : "0", args->homed->count > 0);
	header.value = str_from(authorization);
	req.path = str_from(path);
	if (!httpc_wait(client, &req, &body, &len, err)) {
		httpc_destroy(client);
		return false;
	}
	httpc_destroy(client);
	events_add(e, (struct str){body, len});
	free(body);
	return true;
}

/* Reads all sources and logs failures; returns the number of sources that could not be read. */
static int read_sources(struct events *e, h2o_loop_t *loop, const char *credential,
			const struct arguments *args)
{
	struct err err;
	int n_missing = 0;

	for (int i = 0; i < args->file->count; i++) {
		if (!add_file(e, args->file->sval[i], &err)) {
			log_error(&logger, "%s", err.msg);
			n_missing++;
		}
	}
	for (int i = 0; i < args->router->count; i++) {
		if (!add_router(e, loop, args->router->sval[i], credential, args, &err)) {
			log_error(&logger, "%s", err.msg);
			n_missing++;
		}
	}
	return n_missing;
}

/* ---- export ---- */

static void pause_ms(clk_ms ms)
{
	struct timespec ts = {ms / 1000, (ms % 1000) * 1000000};

	nanosleep(&ts, NULL);
}

/*
 * Writes the events to the object store under the hash of their content, so that a repeated write
 * after a lost answer changes nothing. Retries after any failure, for up to `wait`.
 */
static bool export_events(struct events *e, h2o_loop_t *loop, const char *address, clk_ms wait,
			  struct err *err)
{
	struct httpc *client = httpc_create(loop, address, CALL_TIMEOUT_MS, err);
	clk_ms give_up_at = clk_now() + wait;
	struct httpc_request req = {.method = STR_LIT("PUT")};
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	char path[80];
	char *answer = NULL;
	size_t answer_len;
	bool written;

	if (!out)
		abort();
	events_remove_homed_ids(e);
	events_write_json(e, out);
	fclose(out);
	req.body = (struct str){text, len};
	snprintf(path, sizeof(path), "/o/timeline/%016" PRIx64 ".jsonl", str_hash(req.body));
	req.path = str_from(path);
	written = client && httpc_wait(client, &req, &answer, &answer_len, err);
	while (client && !written && clk_now() < give_up_at) {
		log_warn(&logger, "%s; trying again", err->msg);
		pause_ms(EXPORT_PAUSE_MS);
		written = httpc_wait(client, &req, &answer, &answer_len, err);
	}
	httpc_destroy(client);
	free(answer);
	free(text);
	if (written)
		fprintf(stderr, "exported %zu events to %s%s\n", events_count(e), address, path);
	return written;
}

/* ---- main ---- */

/* Reads --since, 0 if not given. */
static bool parse_since(const struct arguments *args, uint64_t *since, struct err *err)
{
	*since = 0;
	if (!args->since->count || str_to_u64(str_from(args->since->sval[0]), INT64_MAX, since))
		return true;
	return err_set(err, ERR_INPUT, "bad --since: give the \"hlc\" value of an event");
}

/* Reads, merges, prints and exports the events; returns the process exit code. */
static int print_all(struct events *e, h2o_loop_t *loop, const struct arguments *args,
		     const struct events_filter *f, const char *credential)
{
	int n_missing = read_sources(e, loop, credential, args);
	clk_ms wait = 1000 * (clk_ms)(args->wait_s->count ? args->wait_s->ival[0] : DEFAULT_WAIT_S);
	struct err err;

	events_merge(e, f);
	if (args->json->count)
		events_write_json(e, stdout);
	else
		events_write_text(e, stdout);
	if (events_skipped(e))
		log_info(&logger, "%zu lines were no events", events_skipped(e));
	if (args->export_to->count &&
	    !export_events(e, loop, args->export_to->sval[0], wait, &err)) {
		log_error(&logger, "not exported: %s", err.msg);
		return err_exit_code(err.kind);
	}
	if (n_missing)
		log_error(&logger, "the time line is incomplete: %d sources are missing",
			  n_missing);
	return n_missing ? EXIT_INCOMPLETE : 0;
}

static int run_timeline(int argc, char **argv, const struct arguments *args, void **table)
{
	struct sigaction ignore = {.sa_handler = SIG_IGN};
	char credential[CREDENTIAL_BYTES] = "";
	int n_errors = arg_parse(argc, argv, table);
	struct events_filter filter;
	struct events *events;
	h2o_loop_t *loop;
	struct err err;
	uint64_t since;
	int code;

	if (args->help->count) {
		printf("usage: %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-26s %s\n");
		return 0;
	}
	if (n_errors) {
		arg_print_errors(stderr, args->end, argv[0]);
		return 2;
	}
	if (!parse_since(args, &since, &err) || !make_filter(args, &filter, &err) ||
	    (args->router->count &&
	     !read_credential(text_or_null(args->credential_file), credential, &err))) {
		log_error(&logger, "%s", err.msg);
		return err_exit_code(err.kind);
	}
	sigaction(SIGPIPE, &ignore, NULL);
	filter.since = since;
	events = events_create();
	loop = h2o_evloop_create();
	code = print_all(events, loop, args, &filter, credential);
	h2o_evloop_destroy(loop);
	events_destroy(events);
	return code;
}

int main(int argc, char **argv)
{
	struct arguments args = declare_arguments();
	void *table[N_ARGUMENTS];
	int code;

	log_setup("bamboocroft-timeline", LOG_INFO);
	memcpy(table, &args, sizeof(table));
	code = run_timeline(argc, argv, &args, table);
	arg_freetable(table, N_ARGUMENTS);
	return code;
}
