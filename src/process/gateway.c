#include "process/gateway_priv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/stat.h>

#include "base/ctr.h"
#include "base/hist.h"
#include "base/log.h"
#include "base/mutant.h"
#include "base/rnd.h"
#include "connection/upconn.h"
#include "process/stopping.h"

#define TICK_MS 100
/* How often it is checked for which peers a heartbeat is due. */
#define HEARTBEAT_CHECK_MS 200
/* How often the settings file is checked for changes, which may come without a signal. */
#define SETTINGS_CHECK_MS 1000
/*
 * How long new connections are accepted after a planned stop began: the platform opens them until
 * two readiness checks, one a second, have failed.
 */
#define STOP_ACCEPT_MS 3200
/* How long before the kill the process exits while answers are being written to callers. */
#define STOP_WRITE_MARGIN_MS 150
/* Time before the exit at which requests not yet sent to an upstream are answered as refused. */
#define STOP_REFUSE_MS 300
/*
 * What is held of all requests together may take 4/9 of the process's memory limit, a quarter of it
 * only for connections that hold little (door.h), so that bodies have 1/3; sending them to
 * upstreams takes memory, too.
 */
#define DOOR_MEMORY_PART 4
#define DOOR_MEMORY_DIVISOR 9
/* Requests of one connection that may run beside an earlier one. */
#define MAX_REQUESTS_AHEAD 16
/* All answers of upstreams together may take 1/3 of the memory limit. */
#define ANSWER_MEMORY_DIVISOR 3
/* Callers may take 1/2 of the process's sockets; upstreams, the store and gateways need others. */
#define CALLER_SOCKETS_DIVISOR 2
/* How long crashes of upstreams count towards the quarantine of a request. */
#define CRASH_WINDOW_MS (10 * 60 * 1000)
/* Log lines about the used up retry budget of one service come at most this often. */
#define RETRY_LOG_INTERVAL_MS 1000
/* Longest wait of one iteration of the event loop; log lines are written at least this often. */
#define LOOP_WAIT_MS 200

static const struct log log = {"gateway"};

/* ---- services ------------------------------------------------------------------------------- */

static double capacity_of(void *data, const char *service, uint64_t upstream)
{
	struct gateway *g = data;

	return slots_capacity(g->slots, service, upstream);
}

static struct str health_path_of(void *data, const char *service)
{
	struct gateway *g = data;
	const struct topo_service *s = g->topo ? topo_service(g->topo, str_from(service)) : NULL;

	return s ? s->health_path : STR_NULL;
}

static void on_owners(void *data, const char *service)
{
	struct gateway *g = data;
	struct gateway_service *s = gateway_service(g, str_from(service));

	gateway_owners_changed(g, s);
	slots_owners_changed(g->slots, service);
}

static void on_role(void *data, const char *service, bool active)
{
	gateway_send_heartbeat(data, true);
}

struct gateway_service *gateway_service(struct gateway *g, struct str name)
{
	uint64_t id = str_hash(name);
	struct gateway_service *s;

	HASH_FIND(hh, g->services, &id, sizeof(id), s);
	if (s)
		return s;
	s = calloc(1, sizeof(*s));
	if (!s)
		abort();
	s->id = id;
	snprintf(s->name, sizeof(s->name), "%.*s", STR_ARG(name));
	HASH_ADD(hh, g->services, id, sizeof(s->id), s);
	return s;
}

void gateway_configure_service(struct gateway *g, const struct topo_service *service)
{
	struct gateway_service *s = gateway_service(g, service->name);
	struct shardmgr_env env = {
		.loop = g->loop,
		.platform = g->platform,
		.meta = g->meta,
		.watch = g->watch,
		.fleet = g->fleet,
		.answers = &g->answers,
		.hold_max = g->settings.hold_max,
		.address_reuse = g->settings.address_reuse,
		.row_bytes = g->settings.row_bytes,
		.node = g->node,
		.data = g,
		.capacity = capacity_of,
		.health_path = health_path_of,
		.on_owners = on_owners,
		.on_role = on_role,
		.electorate = gateway_electorate,
		.role_confirmed = gateway_role_confirmed,
		.peers_support = gateway_peers_support,
		.peers_consent = gateway_peers_consent,
		.ask_peers = gateway_ask_peers,
		.peers_knew_none_above = gateway_peers_knew_none_above,
		.hears_most = gateway_hears_most,
		.hears_all = gateway_hears_all,
		.others_answered_at = gateway_others_answered_at,
		.has_all_maps = gateway_has_all_maps,
	};

	if (!service->keyed || s->shardmgr)
		return;
	s->shardmgr = shardmgr_create(&env, s->name);
	for (const struct gateway_peer *p = g->peer_states; p; p = p->hh.next)
		voters_connected(&s->voters, p->id, p->node, clk_now());
}

static void on_misplaced(void *data, const char *service, uint32_t key, uint64_t upstream)
{
	struct gateway_service *s = gateway_service(data, str_from(service));

	if (s->shardmgr)
		shardmgr_report_misplaced(s->shardmgr, key, upstream);
}

static struct retry_options retry_options(const struct gateway *g)
{
	return (struct retry_options){
		.ratio = g->settings.retry_ratio,
		.slack = g->settings.retry_slack,
		.window = g->settings.retry_window,
		.gateways = g->members_known ? (uint32_t)HASH_COUNT(g->members) : 0,
		.member_since = g->registered ? g->registered_since : CLK_NEVER,
	};
}

static void note_request(void *data, struct str service)
{
	struct gateway *g = data;
	struct retry_options o = retry_options(g);

	retry_note_request(&gateway_service(g, service)->retry, &o, clk_now());
}

static void log_retry_refusal(struct gateway_service *s, const struct retry_options *o, clk_ms now)
{
	struct retry_usage u = retry_usage(&s->retry, o, now);

	if (s->retry_refusal_logged && now - s->retry_refusal_logged < RETRY_LOG_INTERVAL_MS)
		return;
	s->retry_refusal_logged = now;
	log_info(
		&log,
		"retry budget of %s is used up: retries=%u allowed=%.1f requests=%u window_ms=%lld "
		"gateways=%u",
		s->name, u.retries, u.allowed, u.requests, (long long)o->window, o->gateways);
}

static bool reserve_retry(void *data, struct str service)
{
	struct gateway *g = data;
	struct gateway_service *s = gateway_service(g, service);
	struct retry_options o = retry_options(g);
	clk_ms now = clk_now();

	if (retry_reserve(&s->retry, &o, now))
		return true;
	log_retry_refusal(s, &o, now);
	return false;
}

static void note_retry_sent(void *data, struct str service)
{
	struct gateway *g = data;
	struct retry_options o = retry_options(g);

	retry_note_sent(&gateway_service(g, service)->retry, &o, clk_now());
}

static void return_retry(void *data, struct str service)
{
	retry_return(&gateway_service(data, service)->retry);
}

static void on_crash(void *data, uint64_t fingerprint, uint64_t upstream)
{
	struct gateway *g = data;
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Crash msg = BC__CRASH__INIT;

	quarantine_crash(g->crashes, clk_now(), fingerprint, upstream);
	msg.fingerprint = fingerprint;
	msg.upstream = upstream;
	msg.relay = !g->is_hub; /* a hub is connected to all gateways */
	frame.body_case = BC__FRAME__BODY_CRASH;
	frame.crash = &msg;
	gateway_broadcast(g, &frame);
}

static void on_leaving(void *data, struct fleet_upstream *u)
{
	struct gateway *g = data;
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Leaving msg = BC__LEAVING__INIT;

	msg.upstream = u->num;
	msg.started = u->started;
	msg.relay = !g->is_hub; /* a hub is connected to all gateways */
	frame.body_case = BC__FRAME__BODY_LEAVING;
	frame.leaving = &msg;
	gateway_broadcast(g, &frame);
	gateway_sync_services(g);
}

/* ---- upstreams ------------------------------------------------------------------------------ */

static struct topo *current_topo(void *data)
{
	return ((struct gateway *)data)->topo;
}

static struct forward_env forward_env(struct gateway *g)
{
	return (struct forward_env){
		.loop = g->loop,
		.platform = g->platform,
		.settings = &g->settings,
		.fleet = g->fleet,
		.slots = g->slots,
		.split = g->split,
		.crashes = g->crashes,
		.accounts = g->accounts,
		.answers = &g->answers,
		.data = g,
		.topo = current_topo,
		.note_request = note_request,
		.reserve_retry = reserve_retry,
		.note_retry_sent = note_retry_sent,
		.return_retry = return_retry,
		.may_cross = gateway_may_cross_link,
		.on_misplaced = on_misplaced,
		.on_leaving = on_leaving,
		.on_crash = on_crash,
		.take_allowance = gateway_take_allowance,
		.cancel_allowance = gateway_cancel_allowance,
		.spend_allowance = gateway_spend_allowance,
		.return_allowance = gateway_return_allowance,
		.charge_allowance = gateway_charge_allowance,
	};
}

static void on_new_upstream(void *data, struct fleet_upstream *u)
{
	struct forward_env env = forward_env(data);

	upconn_pool_retire(u->conns);
	u->conns = forward_open_pool(&env, u);
}

static void on_free_upstream(void *data, struct fleet_upstream *u)
{
	upconn_pool_retire(u->conns);
	u->conns = NULL;
}

/* ---- ports ---------------------------------------------------------------------------------- */

static void on_caller_request(void *data, struct ingress_request *req)
{
	forward_start(((struct gateway *)data)->forwards, req);
}

static void on_caller_disconnected(void *data, struct ingress_request *req)
{
	forward_caller_left(((struct gateway *)data)->forwards, req);
}

static bool may_overlap(void *data, const struct ingress_request *req)
{
	return forward_may_overlap(((struct gateway *)data)->forwards, req);
}

static const struct ingress_limits *limits(void *data)
{
	static struct ingress_limits current;
	struct gateway *g = data;
	const struct topo_limits *l = g->topo ? &g->topo->limits : &topo_default_limits;

	current = (struct ingress_limits){
		.max_header_bytes = l->max_header_bytes,
		.max_body_bytes = l->max_body_bytes,
		.door = &g->door,
		.max_ahead = MAX_REQUESTS_AHEAD,
		.header_timeout = l->header_timeout,
		.idle_timeout = l->idle_timeout,
		.answers = &g->answers,
		.max_connections = g->settings.sockets / CALLER_SOCKETS_DIVISOR,
	};
	return &current;
}

static bool is_ready(const struct gateway *g)
{
	return g->topo && g->have_upstreams && !g->draining &&
	       (!ingress_is_full(g->callers) || MUTANT(gateway_ready_when_full));
}

static void reply(struct ingress_request *req, int status, struct str body)
{
	ingress_reply(req, status, NULL, 0, body, false);
	ingress_request_free(req);
}

static void on_ready_request(void *data, struct ingress_request *req)
{
	const struct gateway *g = data;

	if (!str_eq_cstr(req->path, g->platform->ready_path))
		reply(req, 404, STR_LIT("only the readiness check is served here\n"));
	else if (is_ready(g))
		reply(req, 200, STR_LIT("ready\n"));
	else
		reply(req, 503, STR_LIT("not ready\n"));
}

static void on_metrics_request(void *data, struct ingress_request *req)
{
	const struct gateway *g = data;
	char *text = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&text, &len);

	if (!f) {
		reply(req, 503, STR_LIT("no memory for the metrics\n"));
		return;
	}
	ctr_render(f);
	hist_render(f);
	account_stats_render(g->accounts, f);
	fclose(f);
	reply(req, 200, (struct str){text, len});
	free(text);
}

static void on_operator_disconnected(void *data, struct ingress_request *req)
{
	ingress_request_free(req);
}

static bool open_ports(struct gateway *g, struct err *err)
{
	static const struct ingress_handlers callers = {
		.on_request = on_caller_request,
		.on_caller_closed = on_caller_disconnected,
		.limits = limits,
		.may_overlap = may_overlap,
	};
	static const struct ingress_handlers ready = {
		.on_request = on_ready_request,
		.on_caller_closed = on_operator_disconnected,
		.limits = limits,
	};
	static const struct ingress_handlers metrics = {
		.on_request = on_metrics_request,
		.on_caller_closed = on_operator_disconnected,
		.limits = limits,
	};

	g->callers = ingress_create(g->loop, g->settings.callers.ip, g->settings.callers.port,
				    &callers, g, err);
	if (!g->callers)
		return err_prefix(err, "callers");
	g->ready = ingress_create(g->loop, g->settings.ready.ip, g->settings.ready.port, &ready, g,
				  err);
	if (!g->ready)
		return err_prefix(err, "ready");
	if (!g->opts.metrics_port)
		return true;
	g->metrics = ingress_create(g->loop, g->settings.metrics.ip, g->opts.metrics_port, &metrics,
				    g, err);
	return g->metrics || err_prefix(err, "metrics");
}

/* ---- settings ------------------------------------------------------------------------------- */

/* Returns the modification time of the settings file in UTC ns, 0 if it cannot be read. */
static int64_t settings_mtime(const struct gateway *g)
{
	struct stat st;

	if (stat(g->opts.settings_path, &st) != 0)
		return 0;
	return (int64_t)st.st_mtim.tv_sec * 1000000000 + st.st_mtim.tv_nsec;
}

/* Applies the settings that may change while the process runs: retry budget and stop limits. */
static void reload(struct gateway *g)
{
	struct gwset fresh;
	struct err err = {0};

	g->settings_mtime = settings_mtime(g);
	if (!g->platform->settings(g->opts.settings_path, &fresh, &err)) {
		log_error(&log, "reload: the settings in force stay: %s", err.msg);
		gwset_free(&fresh);
		return;
	}
	g->settings.retry_ratio = fresh.retry_ratio;
	g->settings.retry_slack = fresh.retry_slack;
	g->settings.retry_window = fresh.retry_window;
	if (!g->draining || !MUTANT(gateway_stop_keeps_grace))
		g->settings.stop_grace = fresh.stop_grace;
	g->settings.drain_limit = fresh.drain_limit;
	log_info(&log, "reload: settings read, retry ratio %.3f slack %u", fresh.retry_ratio,
		 fresh.retry_slack);
	gwset_free(&fresh);
}

static void check_settings(struct gateway *g, clk_ms now)
{
	if (*g->opts.reload) {
		*g->opts.reload = 0;
		reload(g);
		return;
	}
	if (now - g->settings_checked_at < SETTINGS_CHECK_MS)
		return;
	g->settings_checked_at = now;
	if (settings_mtime(g) != g->settings_mtime)
		reload(g);
}

/* ---- stop ----------------------------------------------------------------------------------- */

/* The grace runs from the signal, which the timer notices later. */
static void begin_shutdown(struct gateway *g, clk_ms requested, clk_ms now)
{
	struct gateway_service *s;

	log_info(&log, "stop requested %lld ms ago; %zu requests are open",
		 (long long)(now - requested), forward_list_open(g->forwards));
	g->draining = true;
	g->drain_since = MUTANT(gateway_stop_from_tick) ? now : requested;
	ingress_drain(g->callers);
	forward_begin_stop(g->forwards, g->drain_since);
	for (s = g->services; s; s = s->hh.next) {
		if (s->shardmgr)
			shardmgr_resign(s->shardmgr);
	}
	gateway_send_heartbeat(g, true);
}

bool gateway_is_shardmgr(const struct gateway *g)
{
	const struct gateway_service *s;

	for (s = g->services; s; s = s->hh.next) {
		if (s->shardmgr && shardmgr_is_active(s->shardmgr))
			return true;
	}
	return false;
}

static void continue_shutdown(struct gateway *g, clk_ms now)
{
	clk_ms since = now - g->drain_since;
	clk_ms duration = stopping_duration(g->settings.stop_grace);

	if (since >= STOP_ACCEPT_MS)
		ingress_shutdown(g->callers);
	if (since >= STOP_ACCEPT_MS && !forward_list_open(g->forwards) &&
	    !ingress_open_requests(g->callers) && !gateway_is_shardmgr(g))
		g->stopped = true;
	if (since >= duration - STOP_REFUSE_MS)
		forward_close(g->forwards);
	if (since >= duration) {
		forward_end(g->forwards);
		g->stopped = since >= g->settings.stop_grace - STOP_WRITE_MARGIN_MS ||
			     !ingress_open_responses(g->callers) ||
			     MUTANT(gateway_end_cuts_answers);
	}
}

/* ---- timers --------------------------------------------------------------------------------- */

static void on_tick(struct timer *timer, void *data)
{
	struct gateway *g = data;
	clk_ms requested = atomic_load(g->opts.stop);
	clk_ms now = clk_now();

	timer_arm(timer, TICK_MS);
	check_settings(g, now);
	if (requested && !g->draining)
		begin_shutdown(g, requested, now);
	if (g->draining)
		continue_shutdown(g, now);
	gateway_update_mesh(g, now);
	gateway_choose_readers(g, now);
	gateway_elect(g, now);
	gateway_report_keys(g, now);
	gateway_end_lost(g, now);
	gateway_request_config(g, now);
	gateway_limits_tick(g, now);
	quarantine_tick(g->crashes, now);
	if (fleet_tick(g->fleet, now))
		gateway_sync_services(g);
	log_flush();
}

static void on_heartbeat_timer(struct timer *timer, void *data)
{
	struct gateway *g = data;

	timer_arm(timer, HEARTBEAT_CHECK_MS);
	gateway_send_due_heartbeats(g, clk_now());
}

/* ---- lifetime ------------------------------------------------------------------------------- */

static uint64_t new_node_number(void)
{
	uint64_t n = 0;

	if (getrandom(&n, sizeof(n), 0) != (ssize_t)sizeof(n))
		n = rnd_mix((uint64_t)clk_utc(), (uint64_t)clk_now());
	return n ? n : 1;
}

static void create_modules(struct gateway *g)
{
	static const struct fleet_handlers fleet_handlers = {on_new_upstream, on_free_upstream};
	static const struct watch_handlers watch_handlers = {gateway_on_rows};
	struct slots_env slots_env = {
		.loop = g->loop,
		.settings = &g->settings,
		.node = g->node,
		.data = g,
		.send = gateway_send,
		.controller = gateway_controller,
		.owner = gateway_owner,
		.on_answer_time = gateway_note_answer_time,
		.on_no_answer = gateway_note_no_answer,
		.on_key = gateway_note_key_request,
	};
	struct forward_env env;

	g->answers.limit = g->settings.memory_bytes / ANSWER_MEMORY_DIVISOR;
	g->door.limit = g->settings.memory_bytes / DOOR_MEMORY_DIVISOR * DOOR_MEMORY_PART;
	g->fleet = fleet_create(&fleet_handlers, g);
	g->slots = slots_create(&slots_env);
	g->split = split_create(g->node);
	g->crashes = quarantine_create(CRASH_WINDOW_MS);
	g->accounts = account_stats_create();
	env = forward_env(g);
	g->forwards = forward_list_create(&env);
	g->meta = g->platform->store->open(g->loop, g->settings.store.ip, g->settings.store.port,
					   &g->answers);
	g->watch = watch_create(g->loop, g->platform->store, g->meta, &watch_handlers, g);
	/* Passive until gateway_choose_readers() knows whether this gateway is a hub. */
	watch_set_passive(g->watch, true);
	gateway_mesh_open(g);
	timer_init(&g->tick, g->loop, on_tick, g);
	timer_arm(&g->tick, TICK_MS);
	timer_init(&g->map_timer, g->loop, gateway_on_map_timer, g);
	timer_init(&g->heartbeat_timer, g->loop, on_heartbeat_timer, g);
	timer_arm(&g->heartbeat_timer, HEARTBEAT_CHECK_MS);
}

struct gateway *gateway_create(const struct platform *platform, const struct gateway_options *opts,
			       struct err *err)
{
	struct gateway *g = calloc(1, sizeof(*g));

	if (!g)
		abort();
	g->platform = platform;
	g->opts = *opts;
	if (!platform->settings(opts->settings_path, &g->settings, err)) {
		gwset_free(&g->settings);
		free(g);
		return NULL;
	}
	snprintf(g->id, sizeof(g->id), "%.*s", STR_ARG(g->settings.id));
	log_setup(g->id, LOG_INFO);
	g->settings_mtime = settings_mtime(g);
	g->loop = h2o_evloop_create();
	g->node = new_node_number();
	g->started = clk_now();
	timer_setup_process();
	create_modules(g);
	if (!gateway_peers_open(g, err) || !open_ports(g, err)) {
		gateway_destroy(g);
		return NULL;
	}
	log_info(&log, "started: node %016llx in %.*s, callers on %s:%u",
		 (unsigned long long)g->node, STR_ARG(g->settings.failure_domain),
		 g->settings.callers.ip, g->settings.callers.port);
	return g;
}

void gateway_run(struct gateway *g)
{
	while (!g->stopped)
		h2o_evloop_run(g->loop, LOOP_WAIT_MS);
	log_info(&log, "stopped; %zu requests were open", forward_list_open(g->forwards));
	log_flush();
}

void gateway_destroy(struct gateway *g)
{
	struct gateway_service *s;
	struct gateway_service *tmp;

	/* Requests that are left to finish without their caller refer to `callers`. */
	ingress_close(g->callers);
	forward_list_destroy(g->forwards);
	gateway_limits_close(g);
	account_stats_destroy(g->accounts);
	ingress_destroy(g->callers);
	ingress_destroy(g->ready);
	ingress_destroy(g->metrics);
	HASH_ITER (hh, g->services, s, tmp) {
		shardmgr_destroy(s->shardmgr);
		voters_clear(&s->voters);
		HASH_DEL(g->services, s);
		free(s);
	}
	if (g->peers)
		gateway_peers_close(g);
	g->platform->store->close(g->meta);
	watch_destroy(g->watch);
	slots_destroy(g->slots);
	split_destroy(g->split);
	quarantine_destroy(g->crashes);
	fleet_destroy(g->fleet);
	gateway_docs_close(g);
	gateway_mesh_close(g);
	timer_release(&g->tick);
	timer_release(&g->heartbeat_timer);
	timer_release(&g->map_timer);
	timer_destroy_loop(g->loop);
	gwset_free(&g->settings);
	free(g);
}
