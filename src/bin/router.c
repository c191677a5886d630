/* bamboocroft-router: main program of a router, which serves as entry, broker and lead. */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/mutant.h"
#include "process/node.h"
#include "process/settings.h"

#define VERSION "0.1.0"

static const struct log log = {"router"};
static struct node *running_node;
static volatile sig_atomic_t stop_requested;

static void on_stop_signal(int signal_number)
{
	stop_requested = 1;
}

/* Timer callback, run every STOP_CHECK_MS: drains the router once a stop signal has arrived. */
static void check_stop(h2o_timeout_entry_t *entry);

static struct {
	h2o_timeout_t timeout;
	h2o_timeout_entry_t entry;
} stop_timer = {.entry = {.cb = check_stop}};

#define STOP_CHECK_MS 50

static void check_stop(h2o_timeout_entry_t *entry)
{
	if (stop_requested)
		node_drain(running_node);
	h2o_timeout_link(running_node->loop, &stop_timer.timeout, entry);
}

static int run(const struct settings *settings)
{
	struct err err = {0};

#ifdef BC_MUTANTS
	/* Test builds only: a scripted test names the safety mechanism to disable. */
	mutant_active = getenv("BAMBOOCROFT_MUTANT");
#endif
	log_setup(settings->id, settings->log_level);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_stop_signal);
	signal(SIGINT, on_stop_signal);
	running_node = node_create(settings, &err);
	if (!running_node) {
		log_error(&log, "%s", err.msg);
		return err_exit_code(err.kind);
	}
	h2o_timeout_init(running_node->loop, &stop_timer.timeout, STOP_CHECK_MS);
	h2o_timeout_link(running_node->loop, &stop_timer.timeout, &stop_timer.entry);
	log_info(&log, "serving callers on %s:%u", settings->callers.ip, settings->callers.port);
	node_run(running_node);
	log_info(&log, "stopped as planned");
	h2o_timeout_unlink(&stop_timer.entry);
	h2o_timeout_dispose(running_node->loop, &stop_timer.timeout);
	node_destroy(running_node);
	return 0;
}

static int load_and_run(const char *path, bool check_only)
{
	struct settings settings = {0};
	struct err err = {0};
	int code;

	if (!settings_load(path, &settings, &err)) {
		fprintf(stderr, "bamboocroft-router: %s\n", err.msg);
		return err_exit_code(err.kind);
	}
	if (check_only) {
		printf("%s: settings are valid\n", path);
		code = 0;
	} else {
		code = run(&settings);
	}
	settings_free(&settings);
	return code;
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *version = arg_lit0(NULL, "version", "print the version");
	struct arg_lit *check = arg_lit0(NULL, "check-settings", "check the settings and exit");
	struct arg_file *file = arg_file0("s", "settings", "FILE", "settings file (YAML)");
	struct arg_end *end = arg_end(5);
	void *table[] = {help, version, check, file, end};
	int errors = arg_parse(argc, argv, table);
	int code = 0;

	if (help->count) {
		puts("Usage: bamboocroft-router --settings FILE [--check-settings]");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
	} else if (version->count) {
		puts("bamboocroft-router " VERSION);
	} else if (errors || file->count == 0) {
		arg_print_errors(stderr, end, "bamboocroft-router");
		fputs("bamboocroft-router: give --settings FILE; see --help\n", stderr);
		code = 2;
	} else {
		code = load_and_run(file->filename[0], check->count > 0);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
