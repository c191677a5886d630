/*
 * Stand-in for an upstream: a limited number of slots, cold start, drain, cancellation, deadlines,
 * fenced grants, health and load reports that lag behind, and a ledger of the requests it ran.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "base/rnd.h"
#include "standin/args.h"
#include "standin/faults.h"
#include "standin/grants.h"
#include "standin/httpd.h"
#include "standin/ledger.h"

#define DEFAULT_SLOTS 2
#define DEFAULT_SERVICE_MS 10
#define DEFAULT_COLD_LIMIT 1
#define DEFAULT_COLD_REQUESTS 20
#define DEFAULT_LAG_MS 500
#define MAX_REPORTS 4096
#define START_ID_BYTES 17
#define HOLD_CHECK_MS 10

enum state { STATE_COLD, STATE_WARM, STATE_DRAINING };

static const char *const state_names[] = {
	[STATE_COLD] = "cold",
	[STATE_WARM] = "warm",
	[STATE_DRAINING] = "draining",
};

/* State and load from a time on; /health and /load show it after the lag. */
struct report {
	clk_ms since; /* monotonic clock */
	enum state state;
	uint64_t in_use;
};

/* Counters that GET /counts returns under these names; times are UTC. */
struct counts {
	uint64_t run; /* requests started */
	uint64_t completed;
	uint64_t shed;		  /* refused because of overload */
	uint64_t not_run;	  /* refused without effect, for any reason */
	uint64_t cold_violations; /* refused because the cold limit was reached */
	uint64_t max_in_use;	  /* most slots in use at once */
	uint64_t expired;	  /* refused because the deadline had passed */
	uint64_t cancelled;	  /* closed by the client while running */
	uint64_t discarded;	  /* run, but not committed because the grant was lost */
	clk_ms drain_utc_ms;	  /* start of the present drain, 0: none */
	clk_ms last_arrival_utc_ms;
};

struct upstream {
	struct httpd *httpd;
	struct faults faults;
	struct grants grants;
	struct ledger ledger;
	struct counts counts;
	struct rnd rnd;
	const char *id;
	const char *service;
	char start_id[START_ID_BYTES];
	uint64_t slots;
	double service_ms;
	bool fixed;
	bool checks_grants;
	uint64_t cold_limit;
	uint64_t cold_requests;
	clk_ms lag_ms;
	bool cold;
	bool draining;
	uint64_t completed_since_cold; /* requests completed since the cold start */
	uint64_t in_use;
	uint64_t wrong_id; /* number of next answers with a wrong x-request-id */
	bool hold;	   /* running requests do not end while set */
	double slow_factor;
	clk_ms slow_for_ms;
	clk_ms slow_until;     /* end of the time in which slow_factor applies */
	char *forced_state;    /* state that /health shows instead; NULL: the real state */
	int64_t forced_in_use; /* in_use that /load shows instead; -1: the real number */
	size_t starting_entry; /* ledger entry of the request being started, for a crash */
	struct report reports[MAX_REPORTS]; /* ring buffer from first_report, oldest first */
	size_t first_report;
	size_t n_reports;
};

/* A running request. */
struct work {
	struct upstream *upstream;
	size_t entry_number; /* number of its ledger entry */
	struct grant_claim claim;
};

static const struct log lg = {"upstream"};

/* ---- reports ---- */

static enum state current_state(const struct upstream *u)
{
	if (u->draining)
		return STATE_DRAINING;
	return u->cold ? STATE_COLD : STATE_WARM;
}

/* Appends the present state and load to the reports, dropping the oldest report if needed. */
static void record_report(struct upstream *u)
{
	size_t slot;

	if (u->n_reports == MAX_REPORTS) {
		u->first_report = (u->first_report + 1) % MAX_REPORTS;
		u->n_reports--;
	}
	slot = (u->first_report + u->n_reports++) % MAX_REPORTS;
	u->reports[slot] = (struct report){clk_now(), current_state(u), u->in_use};
}

/* Returns the newest report that is at least as old as the lag, or else the oldest report. */
static const struct report *visible_report(struct upstream *u)
{
	clk_ms now = clk_now();

	while (u->n_reports > 1 &&
	       u->reports[(u->first_report + 1) % MAX_REPORTS].since + u->lag_ms <= now) {
		u->first_report = (u->first_report + 1) % MAX_REPORTS;
		u->n_reports--;
	}
	return &u->reports[u->first_report];
}

static void add_start_id(struct upstream *u, struct exchange *x)
{
	exchange_add_header(x, "x-start-id", str_from(u->start_id));
}

static void get_health(struct upstream *u, struct exchange *x)
{
	const char *state = state_names[visible_report(u)->state];

	faults_answer_json(&u->faults, x, 200,
			   json_pack("{s:s,s:s,s:I}", "state",
				     u->forced_state ? u->forced_state : state, "start_id",
				     u->start_id, "cold_limit", (json_int_t)u->cold_limit));
}

static void get_load(struct upstream *u, struct exchange *x)
{
	json_int_t in_use = (json_int_t)visible_report(u)->in_use;

	faults_answer_json(&u->faults, x, 200,
			   json_pack("{s:I,s:I}", "in_use",
				     u->forced_in_use >= 0 ? (json_int_t)u->forced_in_use : in_use,
				     "slots", (json_int_t)u->slots));
}

static void put_grant(struct upstream *u, struct exchange *x)
{
	struct err err;

	if (!u->checks_grants) {
		exchange_error(x, 404, "this upstream checks no grants",
			       "start it with --checks-grants or send no grants");
		return;
	}
	switch (grants_put(&u->grants, u->service, x->body, clk_now(), &err)) {
	case GRANT_ACCEPTED:
		faults_answer_json(&u->faults, x, 200,
				   json_pack("{s:I}", "fence", (json_int_t)u->grants.fence));
		break;
	case GRANT_STALE:
	case GRANT_UNKNOWN:
		faults_answer_json(&u->faults, x, 409,
				   json_pack("{s:I}", "fence", (json_int_t)u->grants.fence));
		break;
	case GRANT_INVALID:
		exchange_error(x, 400, err.msg, "correct the grant and send it again");
		break;
	}
}

static void perform_status_or_grant(void *data, struct exchange *x)
{
	struct upstream *u = data;

	x->exempt = true;
	add_start_id(u, x);
	if (exchange_is(x, "PUT", "/grant"))
		put_grant(u, x);
	else if (exchange_is(x, "GET", "/health"))
		get_health(u, x);
	else if (exchange_is(x, "GET", "/load"))
		get_load(u, x);
	else
		exchange_error(x, 405, "no such method",
			       "use GET /health, GET /load or PUT /grant");
}

/* ---- work ---- */

/*
 * Answers with the headers x-request-id and `x-not-run: 1`, which tell the router that the request
 * has had no effect.
 */
static void refuse(struct upstream *u, struct exchange *x, int status, const char *error,
		   const char *remedy)
{
	u->counts.not_run++;
	add_start_id(u, x);
	exchange_add_header(x, "x-request-id", exchange_header(x, "x-request-id"));
	exchange_add_header(x, "x-not-run", STR_LIT("1"));
	faults_answer_json(&u->faults, x, status,
			   json_pack("{s:s,s:s}", "error", error, "remedy", remedy));
}

/* Refuses a request because of overload, marked with `x-shed: 1`. */
static void shed(struct upstream *u, struct exchange *x, const char *error)
{
	u->counts.shed++;
	exchange_add_header(x, "x-shed", STR_LIT("1"));
	refuse(u, x, 503, error, "send less at once");
}

static bool read_number(const struct exchange *x, const char *name, bool *has_header, uint64_t *out)
{
	struct str text = exchange_header(x, name);

	*has_header = text.len > 0;
	return !*has_header || str_to_u64(text, INT64_MAX, out);
}

static bool read_key_hash(const struct exchange *x, struct grant_claim *claim)
{
	struct str text = exchange_header(x, "x-key-hash");

	claim->has_key_hash = text.len > 0;
	if (!text.len)
		return true;
	if (text.len != 16 || strspn(text.ptr, "0123456789abcdef") < 16)
		return false;
	claim->key_hash = strtoull(text.ptr, NULL, 16);
	return true;
}

/* Reads the request's headers; refuses the request and returns false if they are malformed. */
static bool read_headers(struct upstream *u, struct exchange *x, struct grant_claim *claim,
			 struct ledger_entry *entry, uint64_t *deadline)
{
	struct str id = exchange_header(x, "x-request-id");
	struct str key = exchange_header(x, "x-key");
	bool has_epoch;
	bool has_deadline;

	if (!read_number(x, "x-epoch", &has_epoch, &claim->epoch) ||
	    !read_number(x, "x-fence", &claim->has_fence, &claim->fence) ||
	    !read_number(x, "x-partition", &claim->has_partition, &claim->partition) ||
	    !read_number(x, "x-deadline", &has_deadline, deadline) || !read_key_hash(x, claim)) {
		refuse(u, x, 400, "bad header",
		       "send whole numbers in x-epoch, x-fence, x-partition and x-deadline, and 16 "
		       "lower-case hex digits in x-key-hash");
		return false;
	}
	if (!has_deadline)
		*deadline = INT64_MAX;
	entry->request_id = id.len ? json_stringn(id.ptr, id.len) : json_null();
	entry->key = key.len ? json_stringn(key.ptr, key.len) : json_null();
	if (!entry->request_id || !entry->key) {
		json_decref(entry->request_id);
		json_decref(entry->key);
		refuse(u, x, 400, "x-request-id or x-key is not UTF-8", "send UTF-8");
		return false;
	}
	entry->has_partition = claim->has_partition;
	entry->partition = claim->partition;
	entry->hot = grants_is_hot(&u->grants, claim);
	entry->epoch = claim->epoch;
	entry->fence = claim->fence;
	return true;
}

/* Whether the request may run; answers a request that may not run with a refusal. */
static bool admit(struct upstream *u, struct exchange *x, const struct grant_claim *claim,
		  uint64_t deadline)
{
	const char *refusal =
		u->checks_grants ? grants_refusal(&u->grants, claim, clk_now()) : NULL;

	if (clk_utc() >= (clk_ms)deadline) {
		u->counts.expired++;
		refuse(u, x, 503, "the deadline has passed", "send it again with a later deadline");
		return false;
	}
	if (u->draining) {
		refuse(u, x, 503, "the upstream is draining", "send it to another upstream");
		return false;
	}
	if (refusal) {
		refuse(u, x, 503, refusal, "send it to the owner with its epoch and fence");
		return false;
	}
	if (u->in_use >= u->slots) {
		shed(u, x, "all slots are in use");
		return false;
	}
	if (u->cold && u->in_use >= u->cold_limit) {
		/* Overload of a cold upstream restarts its warm-up. */
		u->counts.cold_violations++;
		u->completed_since_cold = 0;
		shed(u, x, "more requests at once than a cold upstream can handle");
		return false;
	}
	return true;
}

static clk_ms service_time(struct upstream *u)
{
	double ms = u->service_ms;

	if (!u->fixed)
		ms *= -log(1.0 - rnd_unit(&u->rnd));
	if (clk_now() < u->slow_until)
		ms *= u->slow_factor;
	return (clk_ms)lround(ms) + u->faults.slow_ms;
}

static void release_slot(struct upstream *u)
{
	u->in_use--;
	record_report(u);
}

static void on_cancelled(struct exchange *x)
{
	struct work *w = x->user;
	struct upstream *u = w->upstream;

	u->counts.cancelled++;
	ledger_end(&u->ledger, w->entry_number, "cancelled");
	release_slot(u);
}

static json_t *answer_json(struct upstream *u, const struct exchange *x, const struct work *w,
			   json_t *id)
{
	const struct ledger_entry *e = &u->ledger.entries[w->entry_number];
	char checksum[17];

	snprintf(checksum, sizeof(checksum), "%016llx", (unsigned long long)str_hash(x->body));
	return json_pack("{s:s,s:s,s:s,s:O,s:o,s:s,s:I,s:o,s:I}", "upstream", u->id, "service",
			 u->service, "start_id", u->start_id, "key", e->key, "request_id", id,
			 "checksum", checksum, "bytes", (json_int_t)x->body.len, "partition",
			 e->has_partition ? json_integer((json_int_t)e->partition) : json_null(),
			 "epoch", (json_int_t)e->epoch);
}

static void answer_completed(struct upstream *u, struct exchange *x, const struct work *w)
{
	struct str id = exchange_header(x, "x-request-id");

	if (u->wrong_id) {
		u->wrong_id--;
		id = arena_printf(&x->arena, "%.*s-other", STR_ARG(id));
	}
	add_start_id(u, x);
	if (id.len)
		exchange_add_header(x, "x-request-id", id);
	faults_answer_json(
		&u->faults, x, 200,
		answer_json(u, x, w, id.len ? json_stringn(id.ptr, id.len) : json_null()));
}

static void on_service_end(struct httpd_timer *t)
{
	struct exchange *x = H2O_STRUCT_FROM_MEMBER(struct exchange, timer, t);
	struct work *w = x->user;
	struct upstream *u = w->upstream;
	const char *refusal;

	if (u->hold) {
		httpd_timer_start(u->httpd, t, HOLD_CHECK_MS);
		return;
	}
	refusal = u->checks_grants ? grants_commit_refusal(&u->grants, &w->claim, clk_now()) : NULL;
	if (refusal) {
		/* The grant was lost while the request ran: its effect is not committed. */
		u->counts.discarded++;
		ledger_end(&u->ledger, w->entry_number, "discarded");
		release_slot(u);
		refuse(u, x, 503, refusal, "send it to the owner with its epoch and fence");
		return;
	}
	ledger_end(&u->ledger, w->entry_number, "completed");
	u->counts.completed++;
	if (u->cold && ++u->completed_since_cold >= u->cold_requests)
		u->cold = false;
	release_slot(u);
	answer_completed(u, x, w);
}

static void before_crash(void *data, const struct exchange *x)
{
	struct upstream *u = data;

	ledger_end(&u->ledger, u->starting_entry, "crashed");
}

static void start_work(struct upstream *u, struct exchange *x)
{
	struct work *w = arena_alloc(&x->arena, sizeof(*w));
	struct ledger_entry entry = {0};
	uint64_t deadline;

	u->counts.last_arrival_utc_ms = clk_utc();
	if (!read_headers(u, x, &w->claim, &entry, &deadline))
		return;
	if (!admit(u, x, &w->claim, deadline)) {
		json_decref(entry.request_id);
		json_decref(entry.key);
		return;
	}
	w->upstream = u;
	w->entry_number = ledger_start(&u->ledger, &entry);
	u->starting_entry = w->entry_number;
	u->counts.run++;
	if (++u->in_use > u->counts.max_in_use)
		u->counts.max_in_use = u->in_use;
	record_report(u);
	faults_crash(&u->faults, x);
	x->user = w;
	x->on_disconnect = on_cancelled;
	x->timer.cb = on_service_end;
	httpd_timer_start(u->httpd, &x->timer, service_time(u));
}

static void on_service(void *data, struct exchange *x)
{
	struct upstream *u = data;

	if (str_eq_cstr(x->path, "/health") || str_eq_cstr(x->path, "/load") ||
	    str_eq_cstr(x->path, "/grant"))
		faults_perform(&u->faults, x, perform_status_or_grant);
	else if (!faults_silent(&u->faults, x))
		start_work(u, x);
}

/* ---- control port ---- */

static json_t *render_counts(const struct upstream *u)
{
	const struct counts *c = &u->counts;
	json_t *counts = json_pack("{s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:I}", "upstream", u->id,
				   "start_id", u->start_id, "state", state_names[current_state(u)],
				   "in_use", (json_int_t)u->in_use, "run", (json_int_t)c->run,
				   "completed", (json_int_t)c->completed, "shed",
				   (json_int_t)c->shed, "not_run", (json_int_t)c->not_run,
				   "cold_violations", (json_int_t)c->cold_violations);
	json_t *more = json_pack(
		"{s:I,s:I,s:I,s:I,s:I,s:I}", "max_in_use", (json_int_t)c->max_in_use, "expired",
		(json_int_t)c->expired, "cancelled", (json_int_t)c->cancelled, "discarded",
		(json_int_t)c->discarded, "drain_utc_ms", (json_int_t)c->drain_utc_ms,
		"last_arrival_utc_ms", (json_int_t)c->last_arrival_utc_ms);

	json_object_update(counts, more);
	json_decref(more);
	return counts;
}

static void get_ledger(struct upstream *u, struct exchange *x)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);

	ledger_write(&u->ledger, out);
	fclose(out);
	exchange_reply(x, 200, "application/x-ndjson", (struct str){text, len});
	free(text);
}

static void on_control(void *data, struct exchange *x)
{
	struct upstream *u = data;

	if (faults_control(&u->faults, x))
		return;
	if (exchange_is(x, "GET", "/ledger"))
		get_ledger(u, x);
	else if (exchange_is(x, "GET", "/counts"))
		exchange_reply_json(x, 200, render_counts(u));
	else
		exchange_error(x, 404, "no such path",
			       "use POST /control, GET /ledger or GET /counts");
}

static void apply_wrong_id(void *data, const json_t *value)
{
	((struct upstream *)data)->wrong_id = (uint64_t)json_integer_value(value);
}

static void apply_hold(void *data, const json_t *value)
{
	((struct upstream *)data)->hold = json_is_true(value);
}

static void apply_go_cold(void *data, const json_t *value)
{
	struct upstream *u = data;

	u->cold = json_is_true(value);
	u->completed_since_cold = 0;
	record_report(u);
}

static void apply_drain(void *data, const json_t *value)
{
	struct upstream *u = data;

	u->draining = json_is_true(value);
	u->counts.drain_utc_ms = u->draining ? clk_utc() : 0;
	record_report(u);
}

static void apply_slow_factor(void *data, const json_t *value)
{
	struct upstream *u = data;

	u->slow_factor = json_number_value(value);
	u->slow_until = u->slow_for_ms ? clk_now() + u->slow_for_ms : CLK_NEVER;
}

static void apply_slow_for(void *data, const json_t *value)
{
	struct upstream *u = data;

	u->slow_for_ms = json_integer_value(value);
	u->slow_until = clk_now() + u->slow_for_ms;
}

static void apply_health_state(void *data, const json_t *value)
{
	struct upstream *u = data;
	const char *text = json_string_value(value);

	free(u->forced_state);
	u->forced_state = *text ? strdup(text) : NULL;
}

static void apply_load_in_use(void *data, const json_t *value)
{
	((struct upstream *)data)->forced_in_use = json_integer_value(value);
}

static void apply_load_real(void *data, const json_t *value)
{
	if (json_is_true(value))
		((struct upstream *)data)->forced_in_use = -1;
}

static const struct fault_switch extra_switches[] = {
	{"wrong_id", FAULT_COUNT, apply_wrong_id},	  /* n answers with a wrong request id */
	{"hold", FAULT_BOOL, apply_hold},		  /* running requests do not end */
	{"go_cold", FAULT_BOOL, apply_go_cold},		  /* becomes cold, same start id */
	{"drain", FAULT_BOOL, apply_drain},		  /* new requests are refused */
	{"slow_factor", FAULT_FACTOR, apply_slow_factor}, /* multiplies service times */
	{"slow_for_ms", FAULT_COUNT, apply_slow_for},	  /* slow_factor lasts this long from now */
	{"health_state", FAULT_TEXT, apply_health_state}, /* state that /health shows */
	{"load_in_use", FAULT_COUNT, apply_load_in_use},  /* in_use that /load shows */
	{"load_real", FAULT_BOOL, apply_load_real},	  /* /load shows the real in_use */
	{NULL, FAULT_BOOL, NULL},
};

/* Makes an id that differs for each start of the process, from time, process id and upstream id. */
static void make_start_id(struct upstream *u)
{
	uint64_t mixed = rnd_mix(rnd_mix((uint64_t)clk_utc(), (uint64_t)getpid()),
				 str_hash(str_from(u->id)));

	snprintf(u->start_id, sizeof(u->start_id), "%016llx", (unsigned long long)mixed);
}

static bool open_ledger(struct upstream *u, const char *path, struct err *err)
{
	u->ledger.upstream = u->id;
	u->ledger.service = u->service;
	u->ledger.start_id = u->start_id;
	if (!*path)
		return true;
	u->ledger.file = fopen(path, "ae");
	return u->ledger.file ||
	       err_set(err, ERR_INPUT, "cannot append to %.200s: give a path that can be written",
		       path);
}

struct arguments {
	struct args_common common;
	struct arg_str *id;
	struct arg_str *service;
	struct arg_int *slots;
	struct arg_dbl *mean_service_ms;
	struct arg_lit *fixed;
	struct arg_lit *checks;
	struct arg_int *cold;
	struct arg_int *warm_after;
	struct arg_int *lag;
	struct arg_int *seed;
	struct arg_str *ledger;
	struct arg_end *end; /* last, as argtable2 expects */
};

#define N_ARGUMENTS (sizeof(struct arguments) / sizeof(void *))

static struct arguments declare_arguments(void)
{
	struct arguments a = {
		.common = args_common_options(),
		.id = arg_str1(NULL, "id", "ID", "id of the upstream"),
		.service = arg_str1(NULL, "service", "ID", "service it belongs to"),
		.slots = arg_int0(NULL, "slots", "N", "requests at once (default 2)"),
		.mean_service_ms =
			arg_dbl0(NULL, "service-ms", "MS", "mean service time (default 10)"),
		.fixed = arg_lit0(NULL, "fixed", "same service time for each request"),
		.checks = arg_lit0(NULL, "checks-grants", "check fenced grants"),
		.cold = arg_int0(NULL, "cold-limit", "N", "at once while cold (default 1)"),
		.warm_after = arg_int0(NULL, "cold-requests", "N",
				       "completed requests until warm (default 20, 0: warm)"),
		.lag = arg_int0(NULL, "lag-ms", "MS", "lag of reports (default 500)"),
		.seed = arg_int0(NULL, "seed", "N", "seed of service times (default 1)"),
		.ledger = arg_str0(NULL, "ledger", "FILE", "also append the ledger to a file"),
		.end = arg_end(8),
	};

	a.slots->ival[0] = DEFAULT_SLOTS;
	a.mean_service_ms->dval[0] = DEFAULT_SERVICE_MS;
	a.cold->ival[0] = DEFAULT_COLD_LIMIT;
	a.warm_after->ival[0] = DEFAULT_COLD_REQUESTS;
	a.lag->ival[0] = DEFAULT_LAG_MS;
	a.seed->ival[0] = 1;
	a.ledger->sval[0] = "";
	return a;
}

static bool configure(struct upstream *u, const struct arguments *a, struct err *err)
{
	if (a->slots->ival[0] < 1 || a->cold->ival[0] < 1)
		return err_set(err, ERR_INPUT, "bad --slots or --cold-limit: give 1 or more");
	if (a->warm_after->ival[0] < 0 || a->lag->ival[0] < 0 ||
	    !(a->mean_service_ms->dval[0] >= 0))
		return err_set(err, ERR_INPUT,
			       "bad --cold-requests, --lag-ms or --service-ms: give 0 or more");
	u->id = a->id->sval[0];
	u->service = a->service->sval[0];
	u->slots = (uint64_t)a->slots->ival[0];
	u->service_ms = a->mean_service_ms->dval[0];
	u->fixed = a->fixed->count > 0;
	u->checks_grants = a->checks->count > 0;
	u->cold_limit = (uint64_t)a->cold->ival[0];
	u->cold_requests = (uint64_t)a->warm_after->ival[0];
	u->cold = u->cold_requests > 0;
	u->lag_ms = a->lag->ival[0];
	u->forced_in_use = -1;
	u->slow_factor = 1;
	rnd_seed(&u->rnd, (uint64_t)a->seed->ival[0]);
	make_start_id(u);
	record_report(u);
	return open_ledger(u, a->ledger->sval[0], err);
}

int main(int argc, char **argv)
{
	static struct upstream u;
	struct arguments args = declare_arguments();
	void *table[N_ARGUMENTS];
	struct err err;

	memcpy(table, &args, sizeof(table));
	args_parse(argc, argv, table, &args.common, args.end);
	log_setup(args.id->sval[0], LOG_INFO);
	if (configure(&u, &args, &err))
		u.httpd = httpd_create("standin-upstream", args.common.listen->sval[0],
				       args.common.control->sval[0], on_service, on_control, &u,
				       &err);
	u.faults = (struct faults){.httpd = u.httpd,
				   .extra = extra_switches,
				   .owner_data = &u,
				   .before_crash = before_crash};
	if (u.httpd)
		httpd_run(u.httpd);
	else
		log_error(&lg, "%s", err.msg);
	arg_freetable(table, N_ARGUMENTS);
	return u.httpd ? 0 : 2;
}
