/*
 * bamboocroft-load: load generator. It sends requests to entries, records what the caller got for
 * each, and prints a summary. `bamboocroft-load check` compares the records with upstreams'
 * ledgers.
 */
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <argtable2.h>
#include <h2o.h>
#include <jansson.h>

#include "base/arena.h"
#include "base/clk.h"
#include "base/log.h"
#include "base/rnd.h"
#include "base/str.h"
#include "tool/httpc.h"
#include "tool/loadcheck.h"
#include "tool/stats.h"

#define MAX_ENTRIES 64
#define MAX_KEYS 10000000
#define MAX_BODY_BYTES (64 * 1024 * 1024)
#define MAX_WAIT_MS 100
#define DEFAULT_TIMEOUT_MS 2000
/* A caller waits this much longer than the deadline it asked for, so that it sees a late answer. */
#define ANSWER_GRACE_MS 1000
/* An entry that refused a connection gets no new request for this time (the load balancer). */
#define ENTRY_PAUSE_MS 1000
#define MAX_HEADERS 5

static const struct log lg = {"load"};
static volatile sig_atomic_t stop_requested;

struct entry {
	struct httpc *client;
	clk_ms paused_until;
};

struct options {
	const char *path;
	const char *method;
	const char *account;
	const char *key_prefix;
	double rate;	      /* requests a second, 0: closed loop */
	uint64_t concurrency; /* closed loop */
	uint64_t requests;    /* 0: until `duration` */
	clk_ms duration;      /* 0: until `requests` */
	uint64_t keys;	      /* 0: no x-key */
	double zipf;	      /* exponent, 0: uniform */
	size_t body_bytes;
	clk_ms timeout;
	uint64_t repeat_percent;
	uint64_t seed;
	bool request_ids;
	bool idempotent;
	bool per_key;
	FILE *out;
};

struct load {
	struct options opt;
	h2o_loop_t *loop;
	struct entry entries[MAX_ENTRIES];
	size_t n_entries;
	size_t next_entry;
	struct rnd arrivals;
	struct rnd choices;
	double *zipf_sums; /* cumulative, NULL: uniform */
	struct stats *stats;
	clk_ms start;
	double next_arrival_us; /* since the start */
	uint64_t started;
	uint64_t open;
	uint64_t run_number; /* part of request ids, differs from run to run */
};

/* One request as the caller sees it; a repeat of its id is an attempt of its own. */
struct attempt {
	struct load *load;
	struct arena arena;
	uint64_t number;
	struct str key;
	struct str request_id;
	struct str body;
	size_t entry;
	size_t refused; /* entries that refused the connection */
	bool repeat;
	bool repeat_later; /* send the id again after the answer */
	clk_ms sent;
	uint64_t begin_us;
};

static void on_signal(int signo)
{
	stop_requested = 1;
}

/* Latencies need a finer unit than clk_ms. */
static uint64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

/* ---- making requests ---- */

static void prepare_keys(struct load *l)
{
	double sum = 0;

	if (!l->opt.keys || l->opt.zipf <= 0)
		return;
	l->zipf_sums = calloc(l->opt.keys, sizeof(*l->zipf_sums));
	if (!l->zipf_sums)
		abort();
	for (uint64_t i = 0; i < l->opt.keys; i++) {
		sum += pow((double)(i + 1), -l->opt.zipf);
		l->zipf_sums[i] = sum;
	}
}

static uint64_t pick_key(struct load *l)
{
	uint64_t low = 0;
	uint64_t high = l->opt.keys - 1;
	double target;

	if (!l->zipf_sums)
		return rnd_below(&l->choices, l->opt.keys);
	target = rnd_unit(&l->choices) * l->zipf_sums[high];
	while (low < high) {
		uint64_t mid = low + (high - low) / 2;

		if (l->zipf_sums[mid] > target)
			high = mid;
		else
			low = mid + 1;
	}
	return low;
}

static struct str make_body(struct load *l, struct arena *a, uint64_t number)
{
	static const char letters[] = "abcdefghijklmnopqrstuvwxyz012345";
	struct rnd r;
	char *p;

	if (!l->opt.body_bytes)
		return STR_NULL;
	p = arena_alloc(a, l->opt.body_bytes);
	rnd_seed(&r, rnd_mix(l->opt.seed, number));
	for (size_t i = 0; i < l->opt.body_bytes; i++)
		p[i] = letters[rnd_u64(&r) % (sizeof(letters) - 1)];
	return (struct str){p, l->opt.body_bytes};
}

static struct attempt *new_attempt(struct load *l)
{
	struct arena arena = ARENA_INIT;
	struct attempt *a = arena_alloc(&arena, sizeof(*a));

	a->arena = arena;
	a->load = l;
	a->number = l->started;
	return a;
}

/* Next entry in turn that is not paused, or simply the next one. */
static size_t pick_entry(struct load *l)
{
	clk_ms now = clk_now();

	for (size_t i = 0; i < l->n_entries; i++) {
		size_t e = (l->next_entry + i) % l->n_entries;

		if (l->entries[e].paused_until <= now) {
			l->next_entry = e + 1;
			return e;
		}
	}
	return l->next_entry++ % l->n_entries;
}

static void on_answer(void *data, const struct httpc_answer *answer);

static void send_attempt(struct attempt *a)
{
	struct load *l = a->load;
	struct httpc_header headers[MAX_HEADERS];
	struct httpc_request req = {
		.method = str_from(l->opt.method),
		.path = str_from(l->opt.path),
		.headers = headers,
		.body = a->body,
	};

	if (a->key.len)
		headers[req.n_headers++] = (struct httpc_header){STR_LIT("x-key"), a->key};
	if (a->request_id.len)
		headers[req.n_headers++] =
			(struct httpc_header){STR_LIT("x-request-id"), a->request_id};
	if (*l->opt.account)
		headers[req.n_headers++] =
			(struct httpc_header){STR_LIT("x-account"), str_from(l->opt.account)};
	headers[req.n_headers++] =
		(struct httpc_header){STR_LIT("x-timeout-ms"),
				      arena_printf(&a->arena, "%lld", (long long)l->opt.timeout)};
	httpc_send(l->entries[a->entry].client, &req, on_answer, a);
}

static void send_repeat(const struct attempt *original)
{
	struct load *l = original->load;
	struct attempt *a = new_attempt(l);

	a->number = original->number;
	a->key = arena_str(&a->arena, original->key);
	a->request_id = arena_str(&a->arena, original->request_id);
	a->body = arena_str(&a->arena, original->body);
	a->entry = (original->entry + 1) % l->n_entries;
	a->repeat = true;
	a->sent = clk_utc();
	a->begin_us = now_us();
	l->open++;
	send_attempt(a);
}

/* `due_us` is when the request should have been sent: waiting in this process counts. */
static void start_request(struct load *l, uint64_t due_us)
{
	struct attempt *a = new_attempt(l);
	bool again;

	if (l->opt.keys)
		a->key = arena_printf(&a->arena, "%s%llu", l->opt.key_prefix,
				      (unsigned long long)pick_key(l));
	if (l->opt.request_ids)
		a->request_id =
			arena_printf(&a->arena, "load-%llx-%llu", (unsigned long long)l->run_number,
				     (unsigned long long)a->number);
	a->body = make_body(l, &a->arena, a->number);
	a->entry = pick_entry(l);
	a->sent = clk_utc();
	a->begin_us = due_us;
	again = rnd_below(&l->choices, 100) < l->opt.repeat_percent;
	/* Half of the repeats race with the first attempt, half follow its answer. */
	a->repeat_later = again && rnd_below(&l->choices, 2) == 0;
	l->started++;
	l->open++;
	send_attempt(a);
	if (again && !a->repeat_later)
		send_repeat(a);
}

/* ---- answers ---- */

static const char *outcome_of(const struct httpc_answer *answer)
{
	struct str outcome = httpc_header(answer, "x-outcome");

	if (answer->result != HTTPC_OK)
		return answer->result == HTTPC_CONNECT_FAILED ? "not-sent" : "unknown";
	if (str_eq_cstr(outcome, "completed"))
		return "completed";
	if (str_eq_cstr(outcome, "not-run"))
		return "not-run";
	if (str_eq_cstr(outcome, "unknown"))
		return "unknown";
	/* An upstream that is asked without a router sends no outcome. */
	if (str_eq_cstr(httpc_header(answer, "x-not-run"), "1"))
		return "not-run";
	return answer->status >= 200 && answer->status < 300 ? "completed" : "unknown";
}

static bool json_differs(const json_t *value, struct str expected)
{
	const char *text = json_string_value(value);

	return !text || !str_eq_cstr(expected, text);
}

/* What shows that the answer is not one to this request; NULL if nothing does. */
static const char *find_mismatch(const struct attempt *a, const struct httpc_answer *answer,
				 const json_t *body)
{
	struct str echo = httpc_header(answer, "x-request-id");
	char checksum[17];

	snprintf(checksum, sizeof(checksum), "%016llx", (unsigned long long)str_hash(a->body));
	if (a->request_id.len && echo.len && !str_eq(a->request_id, echo))
		return "x-request-id of another request";
	if (!json_is_object(body))
		return "the body is not what an upstream sends";
	if (a->request_id.len && json_differs(json_object_get(body, "request_id"), a->request_id))
		return "request id of another request in the body";
	if (a->key.len && json_differs(json_object_get(body, "key"), a->key))
		return "key of another request in the body";
	if (json_differs(json_object_get(body, "checksum"), str_from(checksum)))
		return "checksum of another request's body";
	return NULL;
}

static json_t *string_or_null(struct str s)
{
	json_t *value = s.len ? json_stringn(s.ptr, s.len) : NULL;

	return value ? value : json_null();
}

static json_t *member_or_null(const json_t *object, const char *name)
{
	json_t *value = json_object_get(object, name);

	return value ? json_incref(value) : json_null();
}

/* What is known about one answer. */
struct verdict {
	const char *outcome;
	const char *check;  /* "ok", "mismatch" or "none" */
	const char *detail; /* of a mismatch, else NULL */
	uint64_t latency_us;
	json_t *body; /* of a success, else NULL */
};

static void record(const struct attempt *a, const struct httpc_answer *answer,
		   const struct verdict *v)
{
	const struct load *l = a->load;
	json_t *line = json_pack(
		"{s:I,s:I,s:I,s:s,s:s,s:i,s:s}", "n", (json_int_t)a->number, "utc_ms",
		(json_int_t)a->sent, "latency_us", (json_int_t)v->latency_us, "entry",
		httpc_address(l->entries[a->entry].client), "result",
		httpc_result_name(answer->result), "status", answer->status, "outcome", v->outcome);
	json_t *more = json_pack("{s:o,s:o,s:b,s:b,s:s,s:s,s:o,s:o}", "request_id",
				 string_or_null(a->request_id), "key", string_or_null(a->key),
				 "repeat", a->repeat, "idempotent", l->opt.idempotent, "body_check",
				 v->check, "body_detail", v->detail ? v->detail : "",
				 "answer_request_id", member_or_null(v->body, "request_id"),
				 "answer_upstream", member_or_null(v->body, "upstream"));

	json_object_update(line, more);
	json_dumpf(line, l->opt.out, JSON_COMPACT);
	fputc('\n', l->opt.out);
	json_decref(more);
	json_decref(line);
}

static void count(const struct attempt *a, const struct httpc_answer *answer,
		  const struct verdict *v)
{
	char label[80];
	struct stats_sample sample = {
		.sent = a->sent,
		.answered = clk_utc(),
		.latency_us = v->latency_us,
		.label = label,
		.key = a->key.len ? a->key.ptr : NULL,
		.success =
			strcmp(v->outcome, "completed") == 0 && !v->detail && answer->status < 400,
		.repeat = a->repeat,
	};
	const char *prefix = a->repeat ? "repeat " : "";

	if (answer->result == HTTPC_OK)
		snprintf(label, sizeof(label), "%s%d %s", prefix, answer->status, v->outcome);
	else
		snprintf(label, sizeof(label), "%s%s", prefix, httpc_result_name(answer->result));
	stats_add(a->load->stats, &sample);
}

/* Tries another entry after a refused connection, as the load balancer would. */
static bool try_next_entry(struct attempt *a)
{
	struct load *l = a->load;

	l->entries[a->entry].paused_until = clk_now() + ENTRY_PAUSE_MS;
	if (++a->refused >= l->n_entries || stop_requested)
		return false;
	a->entry = pick_entry(l);
	send_attempt(a);
	return true;
}

static void on_answer(void *data, const struct httpc_answer *answer)
{
	struct attempt *a = data;
	struct load *l = a->load;
	struct verdict v = {outcome_of(answer), "none", NULL, now_us() - a->begin_us, NULL};
	struct arena arena;

	if (answer->result == HTTPC_CONNECT_FAILED && try_next_entry(a))
		return;
	if (answer->result == HTTPC_OK && answer->status >= 200 && answer->status < 300) {
		v.body = json_loadb(answer->body.ptr, answer->body.len, 0, NULL);
		v.detail = find_mismatch(a, answer, v.body);
		v.check = v.detail ? "mismatch" : "ok";
	}
	if (l->opt.out)
		record(a, answer, &v);
	count(a, answer, &v);
	json_decref(v.body);
	if (a->repeat_later)
		send_repeat(a);
	l->open--;
	arena = a->arena;
	arena_free(&arena); /* holds `a` itself */
}

/* ---- the run ---- */

static bool may_start(const struct load *l)
{
	if (stop_requested || (l->opt.requests && l->started >= l->opt.requests))
		return false;
	return !l->opt.duration || clk_now() - l->start < l->opt.duration;
}

static void schedule_arrival(struct load *l)
{
	l->next_arrival_us += -log(1.0 - rnd_unit(&l->arrivals)) * 1e6 / l->opt.rate;
}

/* Starts what is due; returns how long to wait in ms. */
static clk_ms start_due(struct load *l, uint64_t start_us)
{
	uint64_t started_before = l->started;
	double elapsed = (double)(now_us() - start_us);

	if (l->opt.rate <= 0) {
		while (l->open < l->opt.concurrency && may_start(l))
			start_request(l, now_us());
	}
	while (l->opt.rate > 0 && l->next_arrival_us <= elapsed && may_start(l)) {
		start_request(l, start_us + (uint64_t)l->next_arrival_us);
		schedule_arrival(l);
	}
	/* h2o's callbacks for writes made here wait for the next turn of its loop. */
	if (l->started != started_before)
		return 0;
	if (l->opt.rate <= 0)
		return MAX_WAIT_MS;
	return (clk_ms)fmin((l->next_arrival_us - elapsed) / 1000, MAX_WAIT_MS);
}

static void run(struct load *l)
{
	uint64_t start_us = now_us();
	clk_ms sending_end;

	l->start = clk_now();
	l->stats = stats_create(clk_utc());
	if (l->opt.rate > 0)
		schedule_arrival(l);
	while (may_start(l)) {
		clk_ms wait = start_due(l, start_us);

		h2o_evloop_run(l->loop, (int32_t)wait);
	}
	sending_end = clk_utc();
	while (l->open)
		h2o_evloop_run(l->loop, MAX_WAIT_MS);
	stats_write(l->stats, sending_end, l->opt.per_key, stdout);
	stats_destroy(l->stats);
}

/* ---- command line ---- */

struct arguments {
	struct arg_str *entry;
	struct arg_str *path;
	struct arg_str *method;
	struct arg_dbl *rate;
	struct arg_int *concurrency;
	struct arg_int *requests;
	struct arg_dbl *seconds;
	struct arg_int *keys;
	struct arg_str *key_prefix;
	struct arg_dbl *zipf;
	struct arg_str *account;
	struct arg_int *body_bytes;
	struct arg_lit *request_ids;
	struct arg_lit *idempotent;
	struct arg_int *repeat_percent;
	struct arg_int *timeout_ms;
	struct arg_int *seed;
	struct arg_str *out;
	struct arg_lit *per_key;
	struct arg_lit *help;
	struct arg_end *end; /* last, as argtable2 expects */
};

#define N_ARGUMENTS (sizeof(struct arguments) / sizeof(void *))

static struct arguments declare_arguments(void)
{
	return (struct arguments){
		.entry = arg_strn(NULL, "entry", "IP:PORT", 1, MAX_ENTRIES,
				  "callers' port of a router, or an upstream"),
		.path = arg_str0(NULL, "path", "PATH", "path of the requests (default /)"),
		.method = arg_str0(NULL, "method", "METHOD", "default GET, with a body POST"),
		.rate = arg_dbl0(NULL, "rate", "R", "requests a second, Poisson (open loop)"),
		.concurrency = arg_int0(NULL, "concurrency", "N", "requests at once (closed loop)"),
		.requests = arg_int0(NULL, "requests", "N", "stop after N requests"),
		.seconds = arg_dbl0(NULL, "seconds", "S", "stop after S seconds"),
		.keys = arg_int0(NULL, "keys", "N", "number of keys (default 0: no x-key)"),
		.key_prefix = arg_str0(NULL, "key-prefix", "TEXT",
				       "of each key (default key-); differ between homed and other "
				       "requests, whose keys are different keys"),
		.zipf = arg_dbl0(NULL, "zipf", "S", "exponent of key popularity (default 0)"),
		.account = arg_str0(NULL, "account", "ID", "client account"),
		.body_bytes = arg_int0(NULL, "body-bytes", "N", "size of each body (default 0)"),
		.request_ids = arg_lit0(NULL, "request-ids", "send a unique x-request-id"),
		.idempotent = arg_lit0(NULL, "idempotent",
				       "note that the requests may run more than once"),
		.repeat_percent = arg_int0(NULL, "repeat-percent", "P",
					   "send P % of the ids again through another entry"),
		.timeout_ms = arg_int0(NULL, "timeout-ms", "MS", "x-timeout-ms (default 2000)"),
		.seed = arg_int0(NULL, "seed", "N", "seed of all choices (default 1)"),
		.out = arg_str0(NULL, "out", "FILE", "one JSON line for each answer"),
		.per_key = arg_lit0(NULL, "per-key", "also report the key that failed longest"),
		.help = arg_lit0("h", "help", "print this help"),
		.end = arg_end(8),
	};
}

static bool check_options(const struct options *o, struct err *err)
{
	if ((o->rate > 0) == (o->concurrency > 0))
		return err_set(err, ERR_INPUT, "give either --rate or --concurrency, above 0");
	if (!o->requests && !o->duration)
		return err_set(err, ERR_INPUT, "give --requests or --seconds, above 0");
	if (o->repeat_percent && !o->request_ids)
		return err_set(err, ERR_INPUT, "--repeat-percent needs --request-ids");
	if (*o->path != '/')
		return err_set(err, ERR_INPUT, "bad --path: begin it with /");
	return true;
}

/* Option value within [low, high]; `fallback` if it was not given. */
static bool read_int(const struct arg_int *arg, int low, int high, int fallback, int64_t *out,
		     struct err *err)
{
	*out = arg->count ? arg->ival[0] : fallback;
	if (*out >= low && *out <= high)
		return true;
	return err_set(err, ERR_INPUT, "bad --%s: give a whole number from %d to %d",
		       arg->hdr.longopts, low, high);
}

static bool read_dbl(const struct arg_dbl *arg, double high, double *out, struct err *err)
{
	*out = arg->count ? arg->dval[0] : 0;
	if (*out >= 0 && *out <= high)
		return true;
	return err_set(err, ERR_INPUT, "bad --%s: give a number from 0 to %g", arg->hdr.longopts,
		       high);
}

static const char *text_or(const struct arg_str *arg, const char *fallback)
{
	return arg->count ? arg->sval[0] : fallback;
}

static bool read_options(const struct arguments *args, struct options *o, struct err *err)
{
	int64_t concurrency;
	int64_t requests;
	int64_t keys;
	int64_t body_bytes;
	int64_t repeat;
	int64_t seed;
	double seconds;

	if (!read_dbl(args->rate, 1e6, &o->rate, err) ||
	    !read_dbl(args->seconds, 1e6, &seconds, err) ||
	    !read_dbl(args->zipf, 10, &o->zipf, err) ||
	    !read_int(args->concurrency, 0, 100000, 0, &concurrency, err) ||
	    !read_int(args->requests, 0, INT32_MAX, 0, &requests, err) ||
	    !read_int(args->keys, 0, MAX_KEYS, 0, &keys, err) ||
	    !read_int(args->body_bytes, 0, MAX_BODY_BYTES, 0, &body_bytes, err) ||
	    !read_int(args->repeat_percent, 0, 100, 0, &repeat, err) ||
	    !read_int(args->timeout_ms, 1, 3600000, DEFAULT_TIMEOUT_MS, &o->timeout, err) ||
	    !read_int(args->seed, 0, INT32_MAX, 1, &seed, err))
		return false;
	o->concurrency = (uint64_t)concurrency;
	o->requests = (uint64_t)requests;
	o->duration = (clk_ms)(seconds * 1000);
	o->keys = (uint64_t)keys;
	o->body_bytes = (size_t)body_bytes;
	o->repeat_percent = (uint64_t)repeat;
	o->seed = (uint64_t)seed;
	o->path = text_or(args->path, "/");
	o->method = text_or(args->method, body_bytes ? "POST" : "GET");
	o->account = text_or(args->account, "");
	o->key_prefix = text_or(args->key_prefix, "key-");
	o->request_ids = args->request_ids->count > 0;
	o->idempotent = args->idempotent->count > 0;
	o->per_key = args->per_key->count > 0;
	return check_options(o, err);
}

static bool prepare(struct load *l, const struct arguments *args, struct err *err)
{
	if (!read_options(args, &l->opt, err))
		return false;
	l->loop = h2o_evloop_create();
	for (int i = 0; i < args->entry->count; i++) {
		struct entry *e = &l->entries[l->n_entries];

		e->client = httpc_create(l->loop, args->entry->sval[i],
					 l->opt.timeout + ANSWER_GRACE_MS, err);
		if (!e->client)
			return false;
		l->n_entries++;
	}
	if (args->out->count) {
		l->opt.out = fopen(args->out->sval[0], "we");
		if (!l->opt.out)
			return err_set(err, ERR_INPUT, "cannot write %.200s: give another --out",
				       args->out->sval[0]);
	}
	rnd_seed(&l->arrivals, l->opt.seed);
	rnd_seed(&l->choices, rnd_mix(l->opt.seed, 1));
	l->run_number = rnd_mix((uint64_t)clk_utc(), l->opt.seed) >> 16;
	prepare_keys(l);
	return true;
}

static int run_with(int argc, char **argv, const struct arguments *args, void **table)
{
	static struct load l;
	struct sigaction stop = {.sa_handler = on_signal};
	struct sigaction ignore = {.sa_handler = SIG_IGN};
	int mistakes = arg_parse(argc, argv, table);
	struct err err;

	if (args->help->count) {
		printf("usage: %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		printf("       %s check --callers FILE --ledgers FILE...\n", argv[0]);
		return 0;
	}
	if (mistakes) {
		arg_print_errors(stderr, args->end, argv[0]);
		return 2;
	}
	sigaction(SIGTERM, &stop, NULL);
	sigaction(SIGINT, &stop, NULL);
	sigaction(SIGPIPE, &ignore, NULL);
	if (!prepare(&l, args, &err)) {
		log_error(&lg, "%s", err.msg);
		return err_exit_code(err.kind);
	}
	run(&l);
	free(l.zipf_sums);
	if (l.opt.out)
		fclose(l.opt.out);
	return 0;
}

static int generate(int argc, char **argv)
{
	struct arguments args = declare_arguments();
	void *table[N_ARGUMENTS];
	int code;

	memcpy(table, &args, sizeof(table));
	code = run_with(argc, argv, &args, table);
	arg_freetable(table, N_ARGUMENTS);
	return code;
}

static bool read_files(struct loadcheck *c, const struct arg_str *callers,
		       const struct arg_str *ledgers, const struct arg_str *more, struct err *err)
{
	for (int i = 0; i < callers->count; i++) {
		if (!loadcheck_read_callers(c, callers->sval[i], err))
			return false;
	}
	for (int i = 0; i < ledgers->count; i++) {
		if (!loadcheck_read_ledger(c, ledgers->sval[i], err))
			return false;
	}
	for (int i = 0; i < more->count; i++) {
		if (!loadcheck_read_ledger(c, more->sval[i], err))
			return false;
	}
	return true;
}

struct check_arguments {
	struct arg_str *callers;
	struct arg_str *ledgers;
	struct arg_str *more;
	struct arg_lit *help;
	struct arg_end *end; /* last, as argtable2 expects */
};

#define N_CHECK_ARGUMENTS (sizeof(struct check_arguments) / sizeof(void *))

static int check_with(int argc, char **argv, const struct check_arguments *args, void **table)
{
	int mistakes = arg_parse(argc, argv, table);
	struct loadcheck *c;
	struct err err;
	int code;

	if (args->help->count) {
		printf("usage: bamboocroft-load check");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		return 0;
	}
	if (mistakes) {
		arg_print_errors(stderr, args->end, "bamboocroft-load check");
		return 2;
	}
	c = loadcheck_create();
	if (read_files(c, args->callers, args->ledgers, args->more, &err)) {
		code = loadcheck_run(c, stdout).violations ? 1 : 0;
	} else {
		log_error(&lg, "%s", err.msg);
		code = err_exit_code(err.kind);
	}
	loadcheck_destroy(c);
	return code;
}

static int check(int argc, char **argv)
{
	struct check_arguments args = {
		.callers = arg_strn(NULL, "callers", "FILE", 1, 100, "written with --out"),
		.ledgers = arg_strn(NULL, "ledgers", "FILE", 1, 1000, "upstreams' ledgers"),
		.more = arg_strn(NULL, NULL, "FILE", 0, 1000, "more ledgers"),
		.help = arg_lit0("h", "help", "print this help"),
		.end = arg_end(8),
	};
	void *table[N_CHECK_ARGUMENTS];
	int code;

	memcpy(table, &args, sizeof(table));
	code = check_with(argc, argv, &args, table);
	arg_freetable(table, N_CHECK_ARGUMENTS);
	return code;
}

int main(int argc, char **argv)
{
	log_setup("bamboocroft-load", LOG_INFO);
	if (argc > 1 && strcmp(argv[1], "check") == 0)
		return check(argc - 1, argv + 1);
	return generate(argc, argv);
}
