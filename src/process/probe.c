#include "process/probe.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/ctr.h"
#include "base/log.h"
#include "process/mover.h"

static const struct log log = {"probe"};

CTR(ctr_probes, "probes_total", "Health probes and grants sent to upstreams");
CTR(ctr_lost, "upstreams_lost_total", "Times an upstream was declared lost");

/* Of the calls to an upstream that gets grants, one in so many is a health probe instead. */
#define PROBE_HEALTH_EVERY 5

static void emit_event(struct svc_upstream *u, const char *kind, const char *cause)
{
	struct event ev = {.module = "health", .kind = kind, .cause = str_from(cause)};

	ev.service = str_from(u->svc->name);
	ev.upstream = str_from(node_upstream_id(u->svc->node, u->num));
	ev.failure_domain = str_from(u->conf ? u->conf->failure_domain : "");
	event_emit(u->svc->node->events, &ev);
}

static void apply_health_event(struct svc_upstream *u, clk_ms now, const struct health_event *ev)
{
	if (ev->became_lost) {
		ctr_inc(&ctr_lost);
		emit_event(u, "upstream-lost", "no sign of life");
		log_warn(&log, "upstream %s is lost", node_upstream_id(u->svc->node, u->num));
		upconn_pool_discard_conns(u->pool);
	}
	if (ev->came_back)
		emit_event(u, "upstream-back", "answers probes again");
	if (ev->turned_cold && !ev->came_back) {
		emit_event(u, "upstream-cold", "new start or its own report");
		if (u->svc->broker)
			broker_begin_cold_start(u->svc->broker, now, u->num);
	}
	svc_update_broker_upstream(u, now);
	if (ev->turned_cold || ev->became_lost)
		svc_announce_limits(u->svc);
}

static uint64_t start_id_of(const struct upconn_answer *a)
{
	struct str id = upconn_answer_header(a, "x-start-id");

	return id.len ? str_hash(id) : 0;
}

static void on_health_answer(struct svc_upstream *u, clk_ms now, const struct upconn_answer *a,
			     struct health_event *ev)
{
	struct str body = upconn_body(a);
	json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
	const char *state = root ? json_string_value(json_object_get(root, "state")) : NULL;

	if (state)
		health_on_probe(&u->health, now, start_id_of(a), strcmp(state, "cold") == 0,
				strcmp(state, "draining") == 0, ev);
	else
		health_on_answer(&u->health, now, start_id_of(a), ev);
	json_decref(root);
}

static void note_grant_answer(struct svc_upstream *u, int status)
{
	if (status == 200 && u->probe_serial > u->grant_serial_acked)
		u->grant_serial_acked = u->probe_serial;
	/*
	 * The upstream refused to renew a grant that it does not have: it has restarted, or knows a
	 * grant with another fencing token. The next grant has the full contents.
	 */
	if (status == 409)
		u->grant_serial_acked = 0;
}

static void on_probe_done(void *data, const struct upconn_answer *a)
{
	struct svc_upstream *u = data;
	clk_ms now = clk_now();
	struct health_event ev = {0};

	u->probe_call = NULL;
	if (a->result == UPCONN_CONNECT_FAILED) {
		health_on_connect_failed(&u->health, now, &health_defaults, &ev);
	} else if (a->result == UPCONN_OK && u->probe_is_grant) {
		health_on_answer(&u->health, now, start_id_of(a), &ev);
		note_grant_answer(u, a->status);
	} else if (a->result == UPCONN_OK) {
		on_health_answer(u, now, a, &ev);
	}
	apply_health_event(u, now, &ev);
	if (u->svc->mover && a->result == UPCONN_OK && u->probe_is_grant)
		mover_on_grant_ack(u->svc->mover, now);
	svc_send_decisions(u->svc, now);
}

static bool wants_grant(const struct svc_upstream *u)
{
	return u->conf && u->conf->checks_grants && u->health.state != HEALTH_LOST;
}

/*
 * Writes the JSON body of a grant to `f`. If the upstream has acknowledged a grant with the present
 * lists of partitions and keys, the body renews that grant without them: they would be most of the
 * data that the broker of an idle cell sends.
 */
static void write_grant_body(struct svc_upstream *u, clk_ms ttl, FILE *f)
{
	struct svc *s = u->svc;
	bool renew = u->grant_serial_acked == u->probe_serial;

	fprintf(f,
		"{\"service\":\"%s\",\"fence\":%" PRIu64 ",\"serial\":%" PRIu64
		",\"assign_version\":%" PRIu64 ",\"ttl_ms\":%" PRId64 ",\"expires_utc_ms\":%" PRId64
		",",
		s->name, lease_number(s->lease), u->probe_serial,
		s->assign_row ? doc_version(s->node->docs, str_from(s->assign_row)) : 0, ttl,
		clk_utc() + ttl);
	if (renew)
		fputs("\"renew\":true", f);
	else if (s->mover)
		mover_write_grant(s->mover, u->num, f);
	else
		fputs("\"partitions\":[],\"hot\":[]", f);
	fputc('}', f);
}

static void send_grant(struct svc_upstream *u, clk_ms now)
{
	struct svc *s = u->svc;
	clk_ms ttl = lease_expires_at(s->lease) - now;
	size_t len = 0;
	FILE *f;
	struct upconn_request req = {
		.method = STR_LIT("PUT"), .path = STR_LIT("/grant"), .timeout = PROBE_TIMEOUT_MS};

	if (ttl > PROBE_GRANT_TTL_MS)
		ttl = PROBE_GRANT_TTL_MS;
	if (ttl <= 0)
		return;
	free(u->probe_body);
	u->probe_body = NULL;
	u->probe_is_grant = true;
	u->probe_serial = s->mover ? mover_grant_serial(s->mover) : 1;
	f = open_memstream(&u->probe_body, &len);
	write_grant_body(u, ttl, f);
	fclose(f);
	req.body = (struct str){u->probe_body, len};
	if (now + ttl > u->grant_until)
		u->grant_until = now + ttl;
	u->probe_call = upconn_send(u->probes, &req, on_probe_done, u);
}

static void send_health(struct svc_upstream *u)
{
	struct upconn_request req = {
		.method = STR_LIT("GET"),
		.path = STR_LIT("/health"),
		.timeout = PROBE_TIMEOUT_MS,
		.fresh = true, /* an idle connection may be dead although the upstream is up */
	};

	u->probe_is_grant = false;
	u->probe_call = upconn_send(u->probes, &req, on_probe_done, u);
}

static void send_probe(struct svc_upstream *u, clk_ms now)
{
	u->next_probe = now + PROBE_EVERY_MS;
	if (u->probe_call || !u->conf)
		return;
	ctr_inc(&ctr_probes);
	health_on_attempt(&u->health, now);
	if (wants_grant(u) && ++u->probe_count % PROBE_HEALTH_EVERY != 0)
		send_grant(u, now);
	else
		send_health(u);
}

void probe_schedule_now(struct svc_upstream *u)
{
	u->next_probe = 0;
	u->probe_count = 0;
}

void probe_tick(struct svc *s, clk_ms now)
{
	for (struct svc_upstream *u = s->upstreams; u; u = u->next) {
		struct health_event ev = {0};

		if (!u->conf)
			continue;
		health_tick(&u->health, now, &health_defaults, &ev);
		if (ev.became_lost)
			apply_health_event(u, now, &ev);
		if (now >= u->next_probe)
			send_probe(u, now);
	}
}

void probe_stop(struct svc *s)
{
	for (struct svc_upstream *u = s->upstreams; u; u = u->next) {
		if (u->probe_call)
			upconn_cancel(u->probe_call);
		u->probe_call = NULL;
	}
}

void probe_on_outcome(struct svc_upstream *u, clk_ms now, enum broker_outcome outcome,
		      uint64_t start_id)
{
	struct health_event ev = {0};

	switch (outcome) {
	case BROKER_DONE_OK:
	case BROKER_DONE_NOT_RUN:
	case BROKER_DONE_SHED:
		health_on_answer(&u->health, now, start_id, &ev);
		break;
	case BROKER_DONE_CONNECT:
		health_on_connect_failed(&u->health, now, &health_defaults, &ev);
		break;
	case BROKER_DONE_BROKE:
		health_on_broken_request(&u->health, now, &ev);
		u->last_unknown_outcome = now;
		probe_schedule_now(u);
		break;
	case BROKER_DONE_TIMEOUT:
		health_on_attempt(&u->health, now);
		u->last_unknown_outcome = now;
		probe_schedule_now(u);
		break;
	case BROKER_DONE_CANCELLED:
		u->last_unknown_outcome = now;
		break;
	case BROKER_DONE_UNUSED:
		break;
	}
	apply_health_event(u, now, &ev);
}
