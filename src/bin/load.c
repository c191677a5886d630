/*
 * bamboocroft-load: load generator. It sends requests to entries, records the answer to each, and
 * prints a summary. `bamboocroft-load check` compares these records with the upstreams' ledgers of
 * the requests that they ran.
 */
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <argtable2.h>

#include "base/clk.h"
#include "base/log.h"
#include "tool/loadcheck.h"
#include "tool/loadgen.h"

#define MAX_KEYS 10000000
#define MAX_BODY_BYTES (64 * 1024 * 1024)
#define DEFAULT_TIMEOUT_MS 2000

static const struct log logger = {"load"};

static void on_signal(int signo)
{
	loadgen_stop();
}

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
		.entry = arg_strn(NULL, "entry", "IP:PORT", 1, LOADGEN_MAX_ENTRIES,
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

/* Checks options that depend on each other. */
static bool check_options(const struct loadgen_options *o, struct err *err)
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

/*
 * Reads an integer option, `default_value` if it was not given. Returns false with `err` set if the
 * value is not within [min, max].
 */
static bool read_int(const struct arg_int *arg, int min, int max, int default_value, int64_t *out,
		     struct err *err)
{
	*out = arg->count ? arg->ival[0] : default_value;
	if (*out >= min && *out <= max)
		return true;
	return err_set(err, ERR_INPUT, "bad --%s: give a whole number from %d to %d",
		       arg->hdr.longopts, min, max);
}

/* Reads a number option within [0, max], 0 if it was not given. */
static bool read_dbl(const struct arg_dbl *arg, double max, double *out, struct err *err)
{
	*out = arg->count ? arg->dval[0] : 0;
	if (*out >= 0 && *out <= max)
		return true;
	return err_set(err, ERR_INPUT, "bad --%s: give a number from 0 to %g", arg->hdr.longopts,
		       max);
}

static const char *text_or_default(const struct arg_str *arg, const char *default_value)
{
	return arg->count ? arg->sval[0] : default_value;
}

static bool read_options(const struct arguments *args, struct loadgen_options *o, struct err *err)
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
	o->path = text_or_default(args->path, "/");
	o->method = text_or_default(args->method, body_bytes ? "POST" : "GET");
	o->account = text_or_default(args->account, "");
	o->key_prefix = text_or_default(args->key_prefix, "key-");
	o->request_ids = args->request_ids->count > 0;
	o->idempotent = args->idempotent->count > 0;
	o->out = args->out->count ? args->out->sval[0] : NULL;
	o->entries = args->entry->sval;
	o->n_entries = (size_t)args->entry->count;
	o->per_key = args->per_key->count > 0;
	return check_options(o, err);
}

static int run_generator(int argc, char **argv, const struct arguments *args, void **table)
{
	struct loadgen_options options = {0};
	struct sigaction stop = {.sa_handler = on_signal};
	struct sigaction ignore = {.sa_handler = SIG_IGN};
	int n_errors = arg_parse(argc, argv, table);
	struct err err;

	if (args->help->count) {
		printf("usage: %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		printf("       %s check --callers FILE --ledgers FILE...\n", argv[0]);
		return 0;
	}
	if (n_errors) {
		arg_print_errors(stderr, args->end, argv[0]);
		return 2;
	}
	sigaction(SIGTERM, &stop, NULL);
	sigaction(SIGINT, &stop, NULL);
	sigaction(SIGPIPE, &ignore, NULL);
	if (!read_options(args, &options, &err) || !loadgen_run(&options, &err)) {
		log_error(&logger, "%s", err.msg);
		return err_exit_code(err.kind);
	}
	return 0;
}

static int generate(int argc, char **argv)
{
	struct arguments args = declare_arguments();
	void *table[N_ARGUMENTS];
	int code;

	memcpy(table, &args, sizeof(table));
	code = run_generator(argc, argv, &args, table);
	arg_freetable(table, N_ARGUMENTS);
	return code;
}

static bool read_files(struct loadcheck *c, const struct arg_str *callers,
		       const struct arg_str *ledgers, const struct arg_str *more_ledgers,
		       struct err *err)
{
	for (int i = 0; i < callers->count; i++) {
		if (!loadcheck_read_callers(c, callers->sval[i], err))
			return false;
	}
	for (int i = 0; i < ledgers->count; i++) {
		if (!loadcheck_read_ledger(c, ledgers->sval[i], err))
			return false;
	}
	for (int i = 0; i < more_ledgers->count; i++) {
		if (!loadcheck_read_ledger(c, more_ledgers->sval[i], err))
			return false;
	}
	return true;
}

struct check_arguments {
	struct arg_str *callers;
	struct arg_str *ledgers;
	struct arg_str *more_ledgers;
	struct arg_lit *help;
	struct arg_end *end; /* last, as argtable2 expects */
};

#define N_CHECK_ARGUMENTS (sizeof(struct check_arguments) / sizeof(void *))

static int run_check(int argc, char **argv, const struct check_arguments *args, void **table)
{
	int n_errors = arg_parse(argc, argv, table);
	struct loadcheck *c;
	struct err err;
	int code;

	if (args->help->count) {
		printf("usage: bamboocroft-load check");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		return 0;
	}
	if (n_errors) {
		arg_print_errors(stderr, args->end, "bamboocroft-load check");
		return 2;
	}
	c = loadcheck_create();
	if (read_files(c, args->callers, args->ledgers, args->more_ledgers, &err)) {
		code = loadcheck_run(c, stdout).violations ? 1 : 0;
	} else {
		log_error(&logger, "%s", err.msg);
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
		.more_ledgers = arg_strn(NULL, NULL, "FILE", 0, 1000, "more ledgers"),
		.help = arg_lit0("h", "help", "print this help"),
		.end = arg_end(8),
	};
	void *table[N_CHECK_ARGUMENTS];
	int code;

	memcpy(table, &args, sizeof(table));
	code = run_check(argc, argv, &args, table);
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
