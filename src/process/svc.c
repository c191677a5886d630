#include "process/svc.h"

#include <stdlib.h>
#include <string.h>

#include "base/ctr.h"
#include "process/lead.h"
#include "process/mover.h"
#include "process/probe.h"
#include "request/entry.h"
#include "version/config.h"

CTR(ctr_grants, "broker_grants_total", "Slots lent to entries");
CTR(ctr_refusals, "broker_refusals_total", "Asks refused");

#define UPSTREAM_MAX_IDLE 16

/* ---- look-ups ---------------------------------------------------------------------------------
 */

struct svc *svc_find(const struct node *n, struct str name)
{
	for (struct svc *s = n->services; s; s = s->next) {
		if (str_eq_cstr(name, s->name))
			return s;
	}
	return NULL;
}

struct svc_upstream *svc_upstream(const struct svc *s, uint32_t num)
{
	for (struct svc_upstream *u = s->upstreams; u; u = u->next) {
		if (u->num == num)
			return u;
	}
	return NULL;
}

uint64_t svc_holder(const struct svc *s, clk_ms now)
{
	uint64_t confirmed = lease_holder(s->lease, now);

	if (confirmed)
		return confirmed;
	return now < s->announced_until ? s->announced_holder : 0;
}

/* ---- services and upstreams of the configuration ----------------------------------------------
 */

static struct svc *svc_create(struct node *n, const char *name, clk_ms now)
{
	struct svc *s = calloc(1, sizeof(*s));
	struct svc **end = &n->services;

	s->node = n;
	s->name = strdup(name);
	s->lead_only = strcmp(name, NODE_LEAD_SERVICE) == 0;
	s->lease = lease_create(&lease_defaults, n->self, str_hash(str_from(name)), now);
	s->once = once_create(ONCE_WINDOW_MS);
	s->quarantine = quarantine_create(QUARANTINE_WINDOW_MS);
	while (*end)
		end = &(*end)->next;
	*end = s;
	return s;
}

static struct svc_upstream *add_upstream(struct svc *s, const Bc__Upstream *conf)
{
	struct svc_upstream *u = calloc(1, sizeof(*u));

	u->svc = s;
	u->num = conf->num;
	u->reported_limit = UINT32_MAX;
	u->pool = upconn_pool_create(s->node->loop, conf->ip, conf->port, UPSTREAM_MAX_IDLE);
	u->probes = upconn_pool_create(s->node->loop, conf->ip, conf->port, 1);
	health_init(&u->health, clk_now());
	u->next = s->upstreams;
	s->upstreams = u;
	return u;
}

static void apply_upstream_configs(struct svc *s, const Bc__Config *c, clk_ms now)
{
	struct svc_upstream *u;

	for (u = s->upstreams; u; u = u->next)
		u->conf = NULL;
	for (size_t i = 0; i < c->n_upstreams; i++) {
		const Bc__Upstream *conf = c->upstreams[i];

		if (strcmp(conf->service, s->name) != 0 ||
		    strcmp(config_upstream_region(c, conf), s->node->settings->region) != 0)
			continue;
		u = svc_upstream(s, conf->num);
		if (!u)
			u = add_upstream(s, conf);
		u->conf = conf;
		u->usable = config_upstream_usable(c, conf);
		u->process_ended = conf->intent == BC__UPSTREAM_INTENT__DEAD;
	}
	for (u = s->upstreams; u; u = u->next) {
		if (!u->conf)
			u->usable = false;
		svc_update_broker_upstream(u, now);
	}
}

static void apply_service_config(struct svc *s, const Bc__Service *conf)
{
	char row[256];

	s->keyed = conf->keyed;
	s->partitions = conf->partitions;
	s->timeout_ms = conf->timeout_ms ? conf->timeout_ms : NODE_DEFAULT_TIMEOUT_MS;
	if (!s->keyed || s->assign_row)
		return;
	snprintf(row, sizeof(row), "assign/%s/%s", s->node->settings->region, s->name);
	s->assign_row = strdup(row);
}

void svc_apply_config(struct node *n)
{
	clk_ms now = clk_now();
	const Bc__Config *c = n->config;

	if (!svc_find(n, STR_LIT(NODE_LEAD_SERVICE)))
		svc_create(n, NODE_LEAD_SERVICE, now);
	if (!c)
		return;
	for (size_t i = 0; i < c->n_services; i++) {
		struct svc *s = svc_find(n, str_from(c->services[i]->id));
		bool created = !s;

		if (created)
			s = svc_create(n, c->services[i]->id, now);
		apply_service_config(s, c->services[i]);
		if (created && n->cell_active)
			svc_set_members(s, now);
	}
	for (struct svc *s = n->services; s; s = s->next) {
		apply_upstream_configs(s, c, now);
		svc_apply_lifted(s);
	}
}

void svc_update_broker_upstream(struct svc_upstream *u, clk_ms now)
{
	enum broker_upstream_state state = BROKER_COLD;
	uint32_t slots = u->conf ? u->conf->slots : u->passed_slots;
	bool first = !u->has_passed_state;
	struct broker_upstream b;

	if (!u->svc->broker)
		return;
	if (!u->usable)
		state = BROKER_OUT;
	else if (u->health.state == HEALTH_LOST)
		state = BROKER_LOST;
	else if (u->health.draining)
		state = BROKER_DRAINING;
	/*
	 * Passes changes only: the broker turns a cold upstream warm by itself, and a repeated COLD
	 * would make it cold again.
	 */
	if (u->has_passed_state && u->passed_state == state && u->passed_slots == slots)
		return;
	u->passed_state = state;
	u->has_passed_state = true;
	u->passed_slots = slots;
	b = (struct broker_upstream){
		.num = u->num,
		.slots = slots,
		.cold_limit = u->conf && u->conf->cold_limit ? u->conf->cold_limit : 1,
		.state = state,
	};
	if (first && state == BROKER_COLD && svc_limit_is_warm(u))
		b.state = BROKER_WARM;
	broker_set_upstream(u->svc->broker, now, &b);
}

void svc_set_members(struct svc *s, clk_ms now)
{
	struct node *n = s->node;

	lease_set_members(s->lease, now, n->cell->version, n->members, n->n_members);
	lease_set_may_hold(s->lease, n->is_member && !n->draining);
	if (s->broker)
		svc_record_resend(s, now);
}

/* ---- slot requests and decisions --------------------------------------------------------------
 */

static void send_refuse(struct svc *s, clk_ms now, uint64_t node, const Bc__Refuse *msg)
{
	Bc__Frame frame = BC__FRAME__INIT;

	ctr_inc(&ctr_refusals);
	if (node == s->node->self) {
		entry_on_refuse(s->node->entries, now, msg);
		return;
	}
	frame.body_case = BC__FRAME__BODY_REFUSE;
	frame.refuse = (Bc__Refuse *)msg;
	peer_send(s->node->peers, node, &frame);
}

static void refuse_request(struct svc *s, clk_ms now, uint64_t node, uint64_t ask,
			   enum broker_refusal reason, clk_ms retry_after)
{
	Bc__Refuse msg = BC__REFUSE__INIT;

	msg.ask = ask;
	msg.reason = reason;
	msg.retry_after_ms = retry_after > 0 ? (uint32_t)retry_after : 0;
	send_refuse(s, now, node, &msg);
}

void svc_refuse_repeat(struct svc *s, clk_ms now, uint64_t node, uint64_t ask,
		       enum once_state recorded)
{
	Bc__Refuse msg = BC__REFUSE__INIT;

	msg.ask = ask;
	msg.reason = BROKER_REFUSE_REPEAT;
	msg.recorded = recorded;
	send_refuse(s, now, node, &msg);
}

static void send_grant(struct svc *s, clk_ms now, const struct broker_decision *d)
{
	clk_ms send_by = d->send_by;
	clk_ms utc = clk_utc();
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Grant msg = BC__GRANT__INIT;

	if (send_by > lease_expires_at(s->lease))
		send_by = lease_expires_at(s->lease);
	msg.ask = d->ask;
	msg.service = s->name;
	msg.slot = d->slot;
	msg.upstream = d->upstream;
	msg.epoch = d->epoch;
	msg.fence = lease_number(s->lease);
	msg.send_within_ms = send_by > now ? (uint32_t)(send_by - now) : 0;
	msg.send_by_utc_ms = utc + msg.send_within_ms;
	msg.deadline_utc_ms = utc + (d->deadline - now);
	msg.hedge_after_ms = d->hedge_after > 0 ? (uint32_t)d->hedge_after : 0;
	ctr_inc(&ctr_grants);
	if (d->node == s->node->self) {
		entry_on_grant(s->node->entries, now, &msg);
		return;
	}
	frame.body_case = BC__FRAME__BODY_GRANT;
	frame.grant = &msg;
	if (!peer_send(s->node->peers, d->node, &frame))
		broker_finish_slot(s->broker, now, d->slot, BROKER_DONE_UNUSED, 0);
}

void svc_send_decisions(struct svc *s, clk_ms now)
{
	struct broker_decision d;

	while (s->broker && broker_next_decision(s->broker, now, &d)) {
		if (d.kind == BROKER_REFUSE) {
			svc_record_refused(s, now, d.node, d.ask);
			refuse_request(s, now, d.node, d.ask, d.reason, d.retry_after);
		} else if (!lease_is_held(s->lease, now)) {
			/* The lease has expired since the last tick, so no slot may be granted. */
			svc_record_refused(s, now, d.node, d.ask);
			refuse_request(s, now, d.node, d.ask, BROKER_REFUSE_NOT_BROKER, 0);
			broker_finish_slot(s->broker, now, d.slot, BROKER_DONE_UNUSED, 0);
		} else {
			svc_record_granted(s, d.node, d.ask);
			send_grant(s, now, &d);
		}
	}
}

void svc_on_slot_request(struct svc *s, clk_ms now, uint64_t from, const Bc__Ask *request)
{
	struct broker_request in = {
		.node = from,
		.id = request->id,
		.partition = request->partition,
		.key_hash = request->key_hash,
		.idempotent = request->idempotent,
		.request_id_hash = request->request_id_hash,
		.fingerprint = request->fingerprint,
		.attempt = request->attempt,
		.hedge_of = request->hedge_of,
	};
	clk_ms timeout = request->timeout_ms;

	if (!s->broker || !lease_is_held(s->lease, now) || !node_is_member(s->node, from) ||
	    (s->keyed && request->partition >= s->partitions)) {
		refuse_request(s, now, from, request->id, BROKER_REFUSE_NOT_BROKER, 0);
		return;
	}
	in.deadline = now + (timeout > NODE_MAX_TIMEOUT_MS ? NODE_MAX_TIMEOUT_MS : timeout);
	if (quarantine_blocks(s->quarantine, now, request->fingerprint)) {
		refuse_request(s, now, from, request->id, BROKER_REFUSE_QUARANTINED, 0);
		return;
	}
	if (!quarantine_try_send(s->quarantine, now, request->fingerprint, in.deadline)) {
		refuse_request(s, now, from, request->id, BROKER_REFUSE_CRASH_SUSPECT, 1000);
		return;
	}
	if (s->mover)
		mover_count_request(s->mover, request->partition, request->key_hash);
	if (request->idempotent)
		broker_request(s->broker, now, &in);
	else
		svc_record_request(s, now, from, &in);
}

/* Counts a crash of an upstream against the fingerprint of the request, here and at the members. */
static void record_crash(struct svc *s, clk_ms now, const Bc__Done *done)
{
	const struct svc_upstream *u = svc_upstream(s, done->upstream);
	uint64_t process = rnd_mix(done->upstream, u ? u->health.start_id : 0);
	uint32_t crashes = quarantine_crash(s->quarantine, now, done->fingerprint, process);
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Record rec = BC__RECORD__INIT;
	struct event ev = {.module = "quarantine", .kind = "upstream-crashed-by-request"};

	rec.service = s->name;
	rec.kind = BC__RECORD__KIND__CRASH;
	rec.hash = done->fingerprint;
	rec.state = crashes;
	frame.body_case = BC__FRAME__BODY_RECORD;
	frame.record = &rec;
	node_broadcast(s->node, &frame);
	ev.service = str_from(s->name);
	ev.upstream = str_from(node_upstream_id(s->node, done->upstream));
	ev.cause = crashes >= QUARANTINE_CRASHES ? STR_LIT("quarantined; lift with "
							   "bamboocroft-ctl lift")
						 : STR_LIT("first crash");
	ev.number = done->fingerprint;
	event_emit(s->node->events, &ev);
}

void svc_on_done(struct svc *s, clk_ms now, uint64_t from, const Bc__Done *done)
{
	struct svc_upstream *u = svc_upstream(s, done->upstream);
	enum broker_outcome outcome = (enum broker_outcome)done->outcome;

	if (!s->broker)
		return;
	broker_finish_slot(s->broker, now, done->slot, outcome, done->service_ms);
	if (u)
		probe_on_outcome(u, now, outcome, done->start_id);
	quarantine_attempt_done(s->quarantine, now, done->fingerprint);
	if (outcome == BROKER_DONE_OK)
		quarantine_reset_count(s->quarantine, done->fingerprint);
	if (outcome == BROKER_DONE_BROKE)
		record_crash(s, now, done);
	svc_record_done(s, now, done);
	if (s->mover)
		mover_tick(s->mover, now);
}

void svc_on_cancel(struct svc *s, clk_ms now, uint64_t from, uint64_t request)
{
	if (!s->broker)
		return;
	broker_cancel(s->broker, now, from, request);
	svc_record_refused(s, now, from, request);
}

/* ---- slots of this router's entries -----------------------------------------------------------
 */

void svc_slot_add(struct svc *s, uint64_t slot, uint32_t upstream, uint32_t partition,
		  clk_ms deadline_utc)
{
	struct svc_slot *u = calloc(1, sizeof(*u));

	u->slot = slot;
	u->upstream = upstream;
	u->partition = partition;
	u->deadline_utc = deadline_utc;
	u->next = s->slots;
	s->slots = u;
}

void svc_slot_remove(struct svc *s, uint64_t slot)
{
	for (struct svc_slot **p = &s->slots; *p; p = &(*p)->next) {
		struct svc_slot *u = *p;

		if (u->slot != slot)
			continue;
		*p = u->next;
		free(u);
		return;
	}
}

void svc_destroy_all(struct node *n)
{
	while (n->services) {
		struct svc *s = n->services;

		if (s->held)
			svc_resign(s, "process ends");
		while (s->upstreams) {
			struct svc_upstream *u = s->upstreams;

			s->upstreams = u->next;
			upconn_pool_destroy(u->pool);
			upconn_pool_destroy(u->probes);
			free(u->probe_body);
			free(u);
		}
		while (s->slots)
			svc_slot_remove(s, s->slots->slot);
		lease_destroy(s->lease);
		once_destroy(s->once);
		quarantine_destroy(s->quarantine);
		n->services = s->next;
		free(s->assign_row);
		free(s->name);
		free(s);
	}
}
