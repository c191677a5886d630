/*
 * bamboocroft-gateway: router that reads its configuration and the registered upstreams from the
 * store of a platform and keeps durable state there.
 */
#include <assert.h>
#include <signal.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clk.h"
#include "base/log.h"
#include "base/mutant.h"
#include "base/opt.h"
#include "platform/plat.h"
#include "process/gateway.h"

#define SETTINGS_VARIABLE "BAMBOOCROFT_SETTINGS"

/*
 * Bodies larger than this get memory of their own, which returns to the system when it is freed; by
 * default malloc() raises the threshold with each such body and keeps more and more memory.
 */
#define MMAP_THRESHOLD_BYTES (128 * 1024)

static const struct log log = {"gateway"};

struct options {
	const char *settings;
	uint64_t metrics_port;
	bool check;
};

static const struct opt opts[] = {
	{"s", "settings", OPT_STRING, "FILE",
	 "settings file (default: the one that " SETTINGS_VARIABLE " names)",
	 offsetof(struct options, settings), 0},
	{"m", "metrics-port", OPT_NUMBER, "PORT", "port for metrics (default: no metrics)",
	 offsetof(struct options, metrics_port), 65535},
	{NULL, "check-settings", OPT_FLAG, NULL, "check the settings and exit",
	 offsetof(struct options, check), 0},
	{0},
};

static const struct opt_program program = {
	.name = "bamboocroft-gateway",
	.summary = "Router for upstreams that own keys exclusively, on a platform.",
	.operands = "",
	.opts = opts,
};

static_assert(ATOMIC_LLONG_LOCK_FREE == 2, "the signal handler needs a lock-free type");
static atomic_llong stop_requested; /* time of the first stop signal, 0: none came */
static volatile sig_atomic_t reload_requested;

static void on_stop_signal(int number)
{
	long long none = 0;

	atomic_compare_exchange_strong(&stop_requested, &none, clk_read(CLK_MONOTONIC));
}

static void on_reload_signal(int number)
{
	reload_requested = 1;
}

static int check(const char *path)
{
	struct gwset settings;
	struct err err = {0};
	bool ok = plat.settings(path, &settings, &err);

	gwset_free(&settings);
	if (!ok) {
		fprintf(stderr, "bamboocroft-gateway: %s\n", err.msg);
		return err_exit_code(err.kind);
	}
	printf("%s: settings are valid\n", path);
	return 0;
}

static int run(const struct options *o)
{
	struct gateway_options options = {
		.settings_path = o->settings,
		.metrics_port = (uint32_t)o->metrics_port,
		.stop = &stop_requested,
		.reload = &reload_requested,
	};
	struct err err = {0};
	struct gateway *g;

#ifdef BC_MUTANTS
	/* Test builds only: a scripted test names the safety mechanism to disable. */
	mutant_active = getenv("BAMBOOCROFT_MUTANT");
#endif
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_stop_signal);
	signal(SIGINT, on_stop_signal);
	signal(SIGHUP, on_reload_signal);
	if (!mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES))
		log_warn(&log, "cannot set the threshold of large allocations");
	log_to_stdout();
	g = gateway_create(&plat, &options, &err);
	if (!g) {
		log_error(&log, "not started: %s", err.msg);
		log_flush();
		return err_exit_code(err.kind);
	}
	gateway_run(g);
	gateway_destroy(g);
	return 0;
}

int main(int argc, char **argv)
{
	struct options o = {.settings = getenv(SETTINGS_VARIABLE)};
	struct opt_list operands = {0};
	struct err err = {0};
	enum opt_result result = opt_parse(&program, argc, argv, &o, &operands, stdout, &err);

	opt_list_free(&operands);
	if (result == OPT_INFO_PRINTED)
		return 0;
	if (result == OPT_INVALID) {
		fprintf(stderr, "bamboocroft-gateway: %s\n", err.msg);
		return 2;
	}
	if (!o.settings) {
		fputs("bamboocroft-gateway: no settings; give --settings FILE or "
		      "set " SETTINGS_VARIABLE "\n",
		      stderr);
		return 2;
	}
	return o.check ? check(o.settings) : run(&o);
}
