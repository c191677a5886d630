/*
 * bamboocroft-ctl: operators' command line for status, configuration, plans, confirmations and
 * events. It calls the operators' port of any router; `check` reads files, and the store of a
 * platform, instead. The only file it writes is the plan file that --out names.
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/log.h"
#include "base/mutant.h"
#include "base/opt.h"
#include "platform/plat.h"
#include "tool/ctlcall.h"
#include "tool/ctlcheck.h"
#include "tool/ctlprint.h"

#define MAX_FILE_BYTES (8 * 1024 * 1024) /* of a configuration or plan file */
#define CALL_TIMEOUT_MS 3000
#define WAIT_POLL_MS 500
#define WAIT_LIMIT_S 120
/*
 * Consecutive polls that must find the configuration in force everywhere and no moves under way.
 * One is not enough, since moves start only after a broker has read the configuration.
 */
#define WAIT_DONE_POLLS 2

struct options {
	struct opt_list routers;
	const char *credential_file;
	bool json;
	const char *file;
	const char *out;
	const char *plan;
	const char *intent;
	uint64_t from;
	const char *operator_name;
	uint64_t since;
	bool homed;
	bool wait;
	uint64_t wait_s;
	bool yes;
	const char *in_force;
	const char *settings;
	bool store;
};

/* Offset of an option's value in struct options. */
#define OFFSET(member) offsetof(struct options, member)

static const struct opt opts[] = {
	{"r", "router", OPT_LIST, "IP:PORT", "operators' port of a router; repeat for fallback",
	 OFFSET(routers), 0},
	{"c", "credential-file", OPT_STRING, "FILE", "file with the operators' credential",
	 OFFSET(credential_file), 0},
	{"j", "json", OPT_FLAG, NULL, "print the router's answer as JSON", OFFSET(json), 0},
	{"f", "file", OPT_STRING, "FILE", "plan apply, confirm: configuration in YAML",
	 OFFSET(file), 0},
	{"o", "out", OPT_STRING, "FILE", "plan: write the plan to a file for confirm", OFFSET(out),
	 0},
	{NULL, "plan", OPT_STRING, "ID", "confirm: identity of the plan", OFFSET(plan), 0},
	{NULL, "intent", OPT_STRING, "TEXT", "confirm: intent of the plan", OFFSET(intent), 0},
	{NULL, "from", OPT_NUMBER, "VERSION", "plan, confirm: configuration it is made from",
	 OFFSET(from), INT64_MAX},
	{NULL, "operator", OPT_STRING, "NAME", "name in the ledger (default: $USER)",
	 OFFSET(operator_name), 0},
	{NULL, "since", OPT_NUMBER, "HLC", "events: only those after this clock value",
	 OFFSET(since), UINT64_MAX},
	{NULL, "homed", OPT_FLAG, NULL, "events: with request ids of requests with home regions",
	 OFFSET(homed), 0},
	{"w", "wait", OPT_FLAG, NULL, "confirm: print progress until the plan is carried out",
	 OFFSET(wait), 0},
	{NULL, "wait-seconds", OPT_NUMBER, "N", "confirm --wait: give up after this time (120)",
	 OFFSET(wait_s), 86400},
	{"y", "yes", OPT_FLAG, NULL, "lift: confirm the plan at once", OFFSET(yes), 0},
	{NULL, "in-force", OPT_STRING, "FILE", "check: configuration in force, to compare with",
	 OFFSET(in_force), 0},
	{NULL, "settings", OPT_STRING, "FILE", "check: settings of a gateway", OFFSET(settings), 0},
	{NULL, "store", OPT_FLAG, NULL,
	 "check: compare with the configuration and upstreams in the store of --settings",
	 OFFSET(store), 0},
	{0},
};

static const char help_footer[] =
	"Commands:\n"
	"  status                     state of a router, its cell and its services, with alarms\n"
	"  show                       configuration in force, as YAML\n"
	"  plan INTENT...             what an intent would do; changes nothing\n"
	"       take-out FAILURE_DOMAIN | bring-back FAILURE_DOMAIN\n"
	"       drain UPSTREAM... | bring-in UPSTREAM... | declare-dead UPSTREAM\n"
	"       lift FINGERPRINT | apply --file FILE\n"
	"  confirm FILE               carry out a plan that `plan --out FILE` wrote\n"
	"  confirm --plan ID --intent TEXT --from VERSION [--file FILE]\n"
	"  lift FINGERPRINT [--yes]   plan to serve a quarantined request again\n"
	"  events [--since HLC]       events of a router, as JSON lines\n"
	"  check FILE [--in-force FILE] [--settings FILE [--store]]\n"
	"                             configuration of gateways on a platform, before it is sent;\n"
	"                             only reads; needs no router\n"
	"\n"
	"Exit code: 0 done, 2 wrong input or refused plan, 3 somebody else changed the same,\n"
	"4 no router can do it now, 5 wrong credential, 1 other or unknown outcome.\n"
	"Exit code of check: 0 clean, 1 findings, 2 gateways would refuse the configuration,\n"
	"3 a file or the store cannot be read.\n";

static const struct opt_program program = {
	.name = "bamboocroft-ctl",
	.summary = "Shows and changes the state of a bamboocroft deployment.",
	.operands = "COMMAND [ARGUMENT]...",
	.help_footer = help_footer,
	.opts = opts,
};

struct ctl {
	struct options o;
	struct ctlcall call;	 /* routers and credential of all calls */
	const char *const *args; /* operands after the command */
	size_t n_args;
	struct err err; /* why the command failed */
};

/* ---- helpers ---- */

/* Returns the text of a file, which the caller frees; NULL with `err` set on failure. */
static char *read_file(const char *path, struct err *err)
{
	char *text = malloc(MAX_FILE_BYTES + 2);
	FILE *f = fopen(path, "r");
	size_t len;

	if (!text)
		abort();
	if (!f) {
		err_set(err, ERR_INPUT, "%.200s: cannot be opened; name a readable file", path);
		free(text);
		return NULL;
	}
	len = fread(text, 1, MAX_FILE_BYTES + 1, f);
	fclose(f);
	if (len > MAX_FILE_BYTES || memchr(text, '\0', len)) {
		err_set(err, ERR_INPUT,
			"%.200s: is longer than %d bytes or not text; name another file", path,
			MAX_FILE_BYTES);
		free(text);
		return NULL;
	}
	text[len] = '\0';
	return text;
}

static char *dump_json(const json_t *root, size_t flags)
{
	char *text = json_dumps(root, flags);

	if (!text)
		abort();
	return text;
}

static const char *text_of(const json_t *root, const char *name)
{
	const char *text = json_string_value(json_object_get(root, name));

	return text ? text : "";
}

/* Returns the parsed answer, which the caller releases; NULL with an error if it is no object. */
static json_t *parse_answer(struct ctl *ctl, const struct httpcall_answer *a)
{
	json_t *root = json_loadb(a->body.ptr, a->body.len, 0, NULL);

	if (json_is_object(root))
		return root;
	json_decref(root);
	err_set(&ctl->err, ERR_IO,
		"the answer is not a JSON object; check that this is a router's operators' port");
	return NULL;
}

static void print_body(const struct httpcall_answer *a)
{
	fwrite(a->body.ptr, 1, a->body.len, stdout);
	if (a->body.len && a->body.ptr[a->body.len - 1] != '\n')
		putchar('\n');
}

/* Prints an argument quoted for a shell, so that the shell reads it as one word. */
static void print_quoted(const char *s)
{
	static const char plain[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
				    "0123456789-_./:@%+=,";

	if (*s && strspn(s, plain) == strlen(s)) {
		fputs(s, stdout);
		return;
	}
	putchar('\'');
	for (; *s; s++) {
		if (*s == '\'')
			fputs("'\\''", stdout);
		else
			putchar(*s);
	}
	putchar('\'');
}

static void print_option(const char *name, const char *value)
{
	if (!value)
		return;
	printf(" --%s ", name);
	print_quoted(value);
}

/* Prints the program's name with the options for routers and credential. */
static void print_base_command(const struct ctl *ctl)
{
	fputs("  bamboocroft-ctl", stdout);
	for (size_t i = 0; i < ctl->call.n_routers; i++)
		print_option("router", ctl->call.routers[i]);
	print_option("credential-file", ctl->o.credential_file);
}

static bool check_no_args(struct ctl *ctl, const char *command_name)
{
	if (ctl->n_args == 0)
		return true;
	return err_set(&ctl->err, ERR_INPUT, "%s takes no argument, not '%.64s'; leave it out",
		       command_name, ctl->args[0]);
}

/* ---- status, show, events ---- */

static bool run_status(struct ctl *ctl)
{
	struct httpcall_answer a = {0};
	json_t *root;

	if (!check_no_args(ctl, "status") ||
	    !ctlcall_any(&ctl->call, "GET", "/status", STR_NULL, &a, &ctl->err))
		return false;
	root = parse_answer(ctl, &a);
	if (root && ctl->o.json)
		print_body(&a);
	else if (root)
		ctlprint_status(stdout, root);
	httpcall_free(&a);
	json_decref(root);
	return root != NULL;
}

static bool run_show(struct ctl *ctl)
{
	struct httpcall_answer a = {0};
	struct str version;

	if (!check_no_args(ctl, "show") ||
	    !ctlcall_any(&ctl->call, "GET", "/config", STR_NULL, &a, &ctl->err))
		return false;
	version = httpcall_find_header(&a, "x-config-version");
	if (ctl->o.json) {
		json_t *root = json_object();
		char *text;

		json_object_set_new(root, "version",
				    json_stringn(version.ptr ? version.ptr : "", version.len));
		json_object_set_new(root, "yaml", json_stringn(a.body.ptr, a.body.len));
		text = dump_json(root, JSON_INDENT(2));
		puts(text);
		free(text);
		json_decref(root);
	} else {
		printf("# configuration version %.*s\n", STR_ARG(version));
		print_body(&a);
	}
	httpcall_free(&a);
	return true;
}

static bool run_events(struct ctl *ctl)
{
	struct httpcall_answer a = {0};
	char path[64];

	if (!check_no_args(ctl, "events"))
		return false;
	snprintf(path, sizeof(path), "/events?since=%" PRIu64 "&homed=%d", ctl->o.since,
		 ctl->o.homed);
	if (!ctlcall_any(&ctl->call, "GET", path, STR_NULL, &a, &ctl->err))
		return false;
	print_body(&a);
	httpcall_free(&a);
	return true;
}

/* ---- plan ---- */

static char *join_words(const char *const *words, size_t n)
{
	char *text = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&text, &len);

	if (!f)
		abort();
	for (size_t i = 0; i < n; i++)
		fprintf(f, "%s%s", i ? " " : "", words[i]);
	fclose(f);
	return text;
}

/* Returns the body of a plan or confirm call; NULL with an error if a text is not valid UTF-8. */
static json_t *make_request(struct ctl *ctl, const char *intent, const char *yaml, uint64_t version)
{
	json_t *root = json_pack("{s:s, s:s, s:I, s:s}", "intent", intent, "yaml", yaml ? yaml : "",
				 "version", (json_int_t)version, "operator", ctl->o.operator_name);

	if (!root)
		err_set(&ctl->err, ERR_INPUT,
			"intent, file or operator's name is not UTF-8 text; correct it");
	return root;
}

/* Like make_request(), with the configuration of --file if given and the version of --from. */
static json_t *make_request_with_file(struct ctl *ctl, const char *intent)
{
	char *yaml = NULL;
	json_t *root;

	if (ctl->o.file) {
		yaml = read_file(ctl->o.file, &ctl->err);
		if (!yaml)
			return NULL;
	}
	root = make_request(ctl, intent, yaml, ctl->o.from);
	free(yaml);
	return root;
}

static bool write_plan(struct ctl *ctl, const json_t *request)
{
	FILE *f = fopen(ctl->o.out, "w");
	bool ok = f && json_dumpf(request, f, JSON_INDENT(2)) == 0 && fputc('\n', f) != EOF;

	if (f && fclose(f) != 0)
		ok = false;
	if (ok)
		return true;
	return err_set(&ctl->err, ERR_IO, "%.200s: the plan cannot be written; name another file",
		       ctl->o.out);
}

static void print_confirm_command(const struct ctl *ctl, const json_t *request)
{
	puts("confirm with");
	print_base_command(ctl);
	fputs(" confirm", stdout);
	if (ctl->o.out) {
		putchar(' ');
		print_quoted(ctl->o.out);
	} else {
		print_option("plan", text_of(request, "plan"));
		print_option("intent", text_of(request, "intent"));
		printf(" --from %" JSON_INTEGER_FORMAT,
		       json_integer_value(json_object_get(request, "version")));
		print_option("file", ctl->o.file);
	}
	putchar('\n');
}

/*
 * Prints the plan in the router's answer and adds its id and version to `request`, which then is a
 * confirm request. Returns false with an error if the plan is refused.
 */
static bool show_plan(struct ctl *ctl, const struct httpcall_answer *a, json_t *request)
{
	json_t *answer = parse_answer(ctl, a);
	bool ok = answer != NULL;

	if (ok && ctl->o.json)
		print_body(a);
	else if (ok)
		fputs(text_of(answer, "text"), stdout);
	if (ok && json_is_true(json_object_get(answer, "refused")))
		ok = err_set(&ctl->err, ERR_INPUT, "the plan is refused: %s",
			     text_of(answer, "refusal"));
	if (ok) {
		json_object_set(request, "plan", json_object_get(answer, "plan"));
		json_object_set(request, "version", json_object_get(answer, "version"));
	}
	json_decref(answer);
	return ok;
}

/* Requests a plan for the intent in `request` from a router; see show_plan(). */
static bool request_plan(struct ctl *ctl, json_t *request)
{
	char *body = dump_json(request, JSON_COMPACT);
	struct httpcall_answer a = {0};
	bool ok = ctlcall_any(&ctl->call, "POST", "/plan", str_from(body), &a, &ctl->err) &&
		  show_plan(ctl, &a, request);

	httpcall_free(&a);
	free(body);
	return ok;
}

static bool run_plan(struct ctl *ctl)
{
	char *intent = join_words(ctl->args, ctl->n_args);
	json_t *request = make_request_with_file(ctl, intent);
	bool ok = request && request_plan(ctl, request);

	if (ok && ctl->o.out)
		ok = write_plan(ctl, request);
	if (ok && !ctl->o.json)
		print_confirm_command(ctl, request);
	json_decref(request);
	free(intent);
	return ok;
}

/* ---- confirm ---- */

/*
 * Sums up the status of all routers given with --router: each reports the members of its own cell
 * and the moves of the services whose broker it is. Returns false if no router answered.
 */
static bool poll_progress(struct ctl *ctl, uint64_t version, struct ctlprint_progress *p)
{
	json_t *counted_members = json_object();
	json_t *counted_routers = json_object();
	bool any_answered = false;

	*p = (struct ctlprint_progress){0};
	for (size_t i = 0; i < ctl->call.n_routers; i++) {
		struct httpcall_answer a = {0};
		struct err ignored = {0};
		json_t *root = NULL;

		if (ctlcall_one(&ctl->call, ctl->call.routers[i], "GET", "/status", STR_NULL, &a,
				&ignored))
			root = parse_answer(ctl, &a);
		if (root) {
			ctlprint_add_status(p, root, version, counted_members, counted_routers);
			any_answered = true;
		}
		json_decref(root);
		httpcall_free(&a);
	}
	json_decref(counted_members);
	json_decref(counted_routers);
	return any_answered;
}

static bool same_progress(const struct ctlprint_progress *a, const struct ctlprint_progress *b)
{
	return a->routers == b->routers && a->in_force == b->in_force && a->moves == b->moves;
}

/*
 * Polls and prints the progress of a configuration until WAIT_DONE_POLLS polls in a row find it in
 * force and all moves done. Returns false with ERR_TIMEOUT after --wait-seconds.
 */
static bool wait_until_done(struct ctl *ctl, uint64_t version)
{
	const struct timespec pause = {.tv_nsec = WAIT_POLL_MS * 1000000L};
	clk_ms give_up_at = clk_now() + (clk_ms)ctl->o.wait_s * 1000;
	struct ctlprint_progress last = {0};
	int done_polls = 0;

	for (;;) {
		struct ctlprint_progress p;
		bool any_answered = poll_progress(ctl, version, &p);

		if (any_answered && !same_progress(&p, &last) && !ctl->o.json) {
			printf("configuration %" PRIu64 ": in force on %zu of %zu routers, %zu "
			       "moves under way\n",
			       version, p.in_force, p.routers, p.moves);
			fflush(stdout);
		}
		last = p;
		done_polls = any_answered && p.in_force == p.routers && p.moves == 0
				     ? done_polls + 1
				     : 0;
		if (done_polls == WAIT_DONE_POLLS)
			return true;
		if (clk_now() > give_up_at)
			return err_set(
				&ctl->err, ERR_TIMEOUT,
				"the plan took effect but is not carried out everywhere yet; "
				"look at `bamboocroft-ctl status`");
		nanosleep(&pause, NULL);
	}
}

/* Prints the answer to a confirm and stores the resulting configuration version in `*version`. */
static bool show_result(struct ctl *ctl, const struct httpcall_answer *a, uint64_t *version)
{
	json_t *answer = parse_answer(ctl, a);

	if (!answer)
		return false;
	*version = (uint64_t)json_integer_value(json_object_get(answer, "version"));
	if (ctl->o.json)
		print_body(a);
	else
		printf("%s: configuration version %" PRIu64 "\n", text_of(answer, "result"),
		       *version);
	fflush(stdout);
	json_decref(answer);
	return true;
}

/*
 * Confirms the plan in `request`, prints the result and, with --wait, waits until the plan is
 * carried out.
 */
static bool confirm_plan(struct ctl *ctl, const json_t *request)
{
	char *body = dump_json(request, JSON_COMPACT);
	struct httpcall_answer a = {0};
	uint64_t version = 0;
	bool ok = ctlcall_confirm(&ctl->call, str_from(body), &a, &ctl->err) &&
		  show_result(ctl, &a, &version);

	httpcall_free(&a);
	free(body);
	if (ok && ctl->o.wait)
		ok = wait_until_done(ctl, version);
	return ok;
}

/* Reads a confirm request from a plan file; NULL with an error if the file holds none. */
static json_t *read_plan(struct ctl *ctl, const char *path)
{
	char *text = read_file(path, &ctl->err);
	json_t *root;

	if (!text)
		return NULL;
	root = json_loads(text, 0, NULL);
	free(text);
	if (json_is_string(json_object_get(root, "plan")) &&
	    json_is_string(json_object_get(root, "intent")) &&
	    json_is_integer(json_object_get(root, "version")))
		return root;
	json_decref(root);
	err_set(&ctl->err, ERR_INPUT,
		"%.200s: is not a plan; write one with `plan INTENT --out FILE`", path);
	return NULL;
}

/* Makes a confirm request from --plan, --intent, --from and --file. */
static json_t *plan_from_options(struct ctl *ctl)
{
	json_t *root;

	if (!ctl->o.plan || !ctl->o.intent) {
		err_set(&ctl->err, ERR_INPUT,
			"confirm needs a plan; name its file or give --plan, --intent and --from");
		return NULL;
	}
	root = make_request_with_file(ctl, ctl->o.intent);
	if (root)
		json_object_set_new(root, "plan", json_string(ctl->o.plan));
	return root;
}

/* Runs `confirm`: confirms a plan that is given as a plan file or by options. */
static bool run_confirm(struct ctl *ctl)
{
	json_t *request;
	bool ok;

	if (ctl->n_args > 1)
		return err_set(&ctl->err, ERR_INPUT, "confirm takes one plan; repeat the command");
	request = ctl->n_args ? read_plan(ctl, ctl->args[0]) : plan_from_options(ctl);
	ok = request && confirm_plan(ctl, request);
	json_decref(request);
	return ok;
}

static bool run_lift(struct ctl *ctl)
{
	char intent[128];
	json_t *request;
	bool ok;

	if (ctl->n_args != 1)
		return err_set(
			&ctl->err, ERR_INPUT,
			"lift needs one fingerprint; copy it from the caller's answer or the "
			"events");
	snprintf(intent, sizeof(intent), "lift %.64s", ctl->args[0]);
	request = make_request_with_file(ctl, intent);
	ok = request && request_plan(ctl, request);
	if (ok && ctl->o.yes)
		ok = confirm_plan(ctl, request);
	else if (ok && !ctl->o.json)
		print_confirm_command(ctl, request);
	json_decref(request);
	return ok;
}

/* ---- main ---- */

static const struct command {
	const char *name;
	bool (*run)(struct ctl *ctl);
} commands[] = {
	{"status", run_status},	  {"show", run_show}, {"plan", run_plan},
	{"confirm", run_confirm}, {"lift", run_lift}, {"events", run_events},
};

/* Returns the command that the first operand names; stores the other operands in `ctl`. */
static const struct command *find_command(struct ctl *ctl, const struct opt_list *operands)
{
	const char *name = operands->n ? operands->items[0] : "";

	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (strcmp(name, commands[i].name) != 0)
			continue;
		ctl->args = operands->items + 1;
		ctl->n_args = operands->n - 1;
		return &commands[i];
	}
	err_set(&ctl->err, ERR_INPUT,
		"'%.64s' is not a command; use status, show, plan, confirm, lift, events or check",
		name);
	return NULL;
}

static bool run(struct ctl *ctl, const struct opt_list *operands)
{
	const struct command *command = find_command(ctl, operands);
	char *credential;
	bool ok;

	if (!command)
		return false;
	if (!ctl->o.routers.n)
		return err_set(&ctl->err, ERR_INPUT,
			       "no router is named; add --router IP:PORT of an operators' port");
	if (!ctl->o.credential_file)
		return err_set(&ctl->err, ERR_INPUT,
			       "no credential; add --credential-file FILE with the operators' "
			       "credential");
	credential = ctlcall_read_credential(ctl->o.credential_file, &ctl->err);
	if (!credential)
		return false;
	ctl->call = (struct ctlcall){
		.routers = ctl->o.routers.items,
		.n_routers = ctl->o.routers.n,
		.credential = credential,
		.timeout = CALL_TIMEOUT_MS,
	};
	ok = command->run(ctl);
	free(credential);
	return ok;
}

static bool is_check(const struct opt_list *operands)
{
	return operands->n && strcmp(operands->items[0], "check") == 0;
}

/* Returns the exit code of `check`. */
static int run_check(const struct options *o, const struct opt_list *operands)
{
	struct ctlcheck_options check = {
		.platform = &plat,
		.in_force = o->in_force,
		.settings = o->settings,
		.store = o->store,
		.json = o->json,
	};

	if (operands->n != 2) {
		fputs("bamboocroft-ctl: check takes one configuration; name its file\n", stderr);
		return CTLCHECK_UNUSABLE;
	}
	check.file = operands->items[1];
	log_setup("bamboocroft-ctl", LOG_WARN);
	return (int)ctlcheck(&check, stdout);
}

int main(int argc, char **argv)
{
	const char *user = getenv("USER");
	struct ctl ctl = {
		.o = {.operator_name = user && *user ? user : "unnamed", .wait_s = WAIT_LIMIT_S}};
	struct opt_list operands = {0};
	enum opt_result parsed =
		opt_parse(&program, argc, argv, &ctl.o, &operands, stdout, &ctl.err);
	bool ok;
	int code;

#ifdef BC_MUTANTS
	/* Test builds only: a scripted test names the mechanism to disable. */
	mutant_active = getenv("BAMBOOCROFT_MUTANT");
#endif
	if (parsed == OPT_PARSED && is_check(&operands)) {
		code = run_check(&ctl.o, &operands);
		opt_list_free(&operands);
		opt_list_free(&ctl.o.routers);
		return code;
	}
	ok = parsed == OPT_INFO_PRINTED || (parsed == OPT_PARSED && run(&ctl, &operands));
	opt_list_free(&operands);
	opt_list_free(&ctl.o.routers);
	if (ok)
		return 0;
	fflush(stdout);
	fprintf(stderr, "bamboocroft-ctl: %s\n", ctl.err.msg);
	return err_exit_code(ctl.err.kind);
}
