#include "process/node.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"
#include "connection/timer.h"
#include "process/lead.h"
#include "process/mover.h"
#include "process/svc.h"
#include "request/entry.h"
#include "request/opreq.h"
#include "request/relay.h"
#include "version/config.h"

static const struct log log = {"node"};

/* ---- small helpers ----------------------------------------------------------------------------
 */

void node_event(struct node *n, const char *module, const char *kind, const char *cause,
		uint64_t number)
{
	struct event ev = {
		.module = module, .kind = kind, .cause = str_from(cause), .number = number};

	event_emit(n->events, &ev);
}

bool node_is_own_region(const struct node *n, const char *region)
{
	return strcmp(n->settings->region, region) == 0;
}

bool node_is_member(const struct node *n, uint64_t node)
{
	for (size_t i = 0; i < n->n_members; i++) {
		if (n->members[i] == node)
			return true;
	}
	return false;
}

const char *node_upstream_id(const struct node *n, uint32_t num)
{
	const Bc__Upstream *u = n->config ? config_upstream(n->config, num) : NULL;

	return u ? u->id : "";
}

void node_broadcast(struct node *n, Bc__Frame *frame)
{
	for (size_t i = 0; i < n->n_members; i++) {
		if (n->members[i] != n->self)
			peer_send(n->peers, n->members[i], frame);
	}
}

bool node_majority_has_doc(const struct node *n, struct str row, uint64_t version)
{
	size_t n_with_doc = doc_count_holders(n->docs, row, version, n->members, n->n_members);

	if (doc_version(n->docs, row) >= version && n->is_member)
		n_with_doc++;
	return n->n_members > 0 && n_with_doc >= member_majority(n->n_members);
}

/* ---- membership that takes effect -------------------------------------------------------------
 */

/*
 * Writes what this router knows of each member of the previous cell version to `statuses`. Returns
 * their number.
 */
static size_t collect_member_status(struct node *n, clk_ms now, struct member_status *statuses,
				    size_t max)
{
	char row[128];
	size_t count = 0;
	const Bc__Cell *cell = n->cell;

	snprintf(row, sizeof(row), "cell/%s", n->settings->region);
	for (size_t i = 0; i < cell->n_previous && count < max; i++) {
		const Bc__Member *m = cell->previous[i];
		uint64_t node = member_node_number(m->id, m->incarnation);
		bool knows = node == n->self || doc_count_holders(n->docs, str_from(row),
								  cell->version, &node, 1) == 1;

		statuses[count++] = (struct member_status){
			.node = node,
			.cell_version = knows ? cell->version : 0,
			.ended = node != n->self && lead_member_ended(n->lead, now, m),
		};
	}
	return count;
}

/* Makes the newest cell version the one in effect. */
static void activate_cell(struct node *n, clk_ms now)
{
	n->cell_active = true;
	n->n_members = 0;
	for (size_t i = 0; i < n->cell->n_members; i++) {
		const Bc__Member *m = n->cell->members[i];

		n->members[n->n_members++] = member_node_number(m->id, m->incarnation);
	}
	n->is_member = node_is_member(n, n->self);
	for (struct svc *s = n->services; s; s = s->next)
		svc_set_members(s, now);
	log_info(&log, "cell version %" PRIu64 " with %zu members in effect", n->cell->version,
		 n->n_members);
	node_event(n, "member", "cell-in-effect", n->is_member ? "member" : "not a member",
		   n->cell->version);
}

static void tick_membership(struct node *n, clk_ms now)
{
	struct member_status statuses[NODE_MAX_MEMBERS];
	size_t count;

	if (!n->cell || (n->cell_active && n->cell_may_change))
		return;
	count = collect_member_status(n, now, statuses, NODE_MAX_MEMBERS);
	if (!n->cell_active && member_may_activate(&n->transition, now, lease_defaults.duration,
						   n->cell, statuses, count))
		activate_cell(n, now);
	n->cell_may_change = member_may_write_next(&n->transition, now, lease_defaults.duration,
						   n->cell, statuses, count);
}

/* ---- frames -----------------------------------------------------------------------------------
 */

static void on_service_frame(struct node *n, uint64_t from, const Bc__Frame *f, clk_ms now)
{
	const char *name;
	struct svc *s;

	switch (f->body_case) {
	case BC__FRAME__BODY_LEASE_ASK:
		name = f->lease_ask->service;
		break;
	case BC__FRAME__BODY_LEASE_REPLY:
		name = f->lease_reply->service;
		break;
	case BC__FRAME__BODY_ASK:
		name = f->ask->service;
		break;
	case BC__FRAME__BODY_DONE:
		name = f->done->service;
		break;
	case BC__FRAME__BODY_RECORD:
		name = f->record->service;
		break;
	default:
		name = f->record_ack->service;
		break;
	}
	s = svc_find(n, str_from(name));
	if (!s)
		return;
	switch (f->body_case) {
	case BC__FRAME__BODY_LEASE_ASK:
		svc_on_lease_request(s, now, from, f->lease_ask);
		break;
	case BC__FRAME__BODY_LEASE_REPLY:
		svc_on_lease_reply(s, now, from, f->lease_reply);
		break;
	case BC__FRAME__BODY_ASK:
		svc_on_slot_request(s, now, from, f->ask);
		break;
	case BC__FRAME__BODY_DONE:
		svc_on_done(s, now, from, f->done);
		break;
	case BC__FRAME__BODY_RECORD:
		svc_on_record(s, now, from, f->record);
		break;
	default:
		svc_on_record_ack(s, now, from, f->record_ack);
		break;
	}
	svc_send_decisions(s, now);
}

static void on_cancel(struct node *n, uint64_t from, const Bc__Cancel *c, clk_ms now)
{
	if (c->relay)
		relay_on_cancel(n->relays, from, c->relay);
	if (!c->ask)
		return;
	for (struct svc *s = n->services; s; s = s->next) {
		svc_on_cancel(s, now, from, c->ask);
		svc_send_decisions(s, now);
	}
}

/* Whether a frame is accepted only from routers of the same region. */
static bool is_region_frame(const Bc__Frame *f)
{
	switch (f->body_case) {
	case BC__FRAME__BODY_RELAY:
	case BC__FRAME__BODY_RELAY_REPLY:
	case BC__FRAME__BODY_CANCEL:
	case BC__FRAME__BODY__NOT_SET:
		return false;
	default:
		return true;
	}
}

static void on_frame(void *data, const struct peer_info *from, const Bc__Frame *f)
{
	struct node *n = data;
	clk_ms now = clk_now();

	if (is_region_frame(f) && !node_is_own_region(n, from->region))
		return;
	switch (f->body_case) {
	case BC__FRAME__BODY_HEARTBEAT:
		node_on_heartbeat(n, from, f->heartbeat);
		break;
	case BC__FRAME__BODY_DOC_GET:
		node_send_doc(n, from->node, f->doc_get);
		break;
	case BC__FRAME__BODY_DOC:
		node_apply_doc(n, str_from(f->doc->row), f->doc->version,
			       (struct str){(char *)f->doc->body.data, f->doc->body.len}, "peer");
		break;
	case BC__FRAME__BODY_GRANT:
		entry_on_grant(n->entries, now, f->grant);
		break;
	case BC__FRAME__BODY_REFUSE:
		entry_on_refuse(n->entries, now, f->refuse);
		break;
	case BC__FRAME__BODY_RELAY:
		relay_on_request(n->relays, from->node, f->relay);
		break;
	case BC__FRAME__BODY_RELAY_REPLY:
		relay_on_reply(n->relays, from->node, f->relay_reply);
		break;
	case BC__FRAME__BODY_CANCEL:
		on_cancel(n, from->node, f->cancel, now);
		break;
	case BC__FRAME__BODY_LEASE_ASK:
	case BC__FRAME__BODY_LEASE_REPLY:
	case BC__FRAME__BODY_ASK:
	case BC__FRAME__BODY_DONE:
	case BC__FRAME__BODY_RECORD:
	case BC__FRAME__BODY_RECORD_ACK:
		on_service_frame(n, from->node, f, now);
		break;
	default:
		break;
	}
}

static void emit_peer_event(struct node *n, const char *kind, const struct peer_info *p)
{
	struct event ev = {.module = "peer", .kind = kind, .peer = str_from(p->id)};

	ev.cause = str_from(p->region);
	event_emit(n->events, &ev);
}

static void on_peer_up(void *data, const struct peer_info *p)
{
	struct node *n = data;

	emit_peer_event(n, "peer-up", p);
	if (node_is_own_region(n, p->region))
		node_send_heartbeat(n, clk_now());
}

static void on_peer_down(void *data, const struct peer_info *p)
{
	struct node *n = data;

	emit_peer_event(n, "peer-down", p);
	doc_remove_peer(n->docs, p->node);
	if (n->relays)
		relay_on_peer_down(n->relays, p->node);
}

static const struct peer_handlers peer_handlers = {
	.on_frame = on_frame,
	.on_up = on_peer_up,
	.on_down = on_peer_down,
};

/* ---- loop -------------------------------------------------------------------------------------
 */

/* Longest planned stop: the longest request timeout, and 1 s to write the answers. */
#define DRAIN_LIMIT_MS (NODE_MAX_TIMEOUT_MS + 1000)

/*
 * How long a planned stop waits for callers to close their connections. By then each caller that
 * sends requests has received an answer with "connection: close".
 */
#define DRAIN_IDLE_MS 5000

static void tick_drain(struct node *n, clk_ms now)
{
	/* Callers' requests are open until their answers are written, relays until sent. */
	bool open = entry_list_open(n->entries) > 0 ||
		    (listener_open_requests(n->callers) > 0 && !MUTANT(node_stop_cuts_answers));
	bool finished = !open && listener_connections(n->callers) == 0;
	/* Idle connections stay open for DRAIN_IDLE_MS, so a request on its way is answered. */
	bool idle = !open && now - n->drain_since > DRAIN_IDLE_MS;

	if (now - n->drain_since > DRAIN_LIMIT_MS) {
		entry_list_end(n->entries);
		n->stopped = true;
	}
	if (finished || idle)
		n->stopped = true;
}

static void on_tick(h2o_timeout_entry_t *entry)
{
	struct node *n = H2O_STRUCT_FROM_MEMBER(struct node, tick, entry);
	clk_ms now = clk_now();

	tick_membership(n, now);
	for (struct svc *s = n->services; s; s = s->next)
		svc_tick(s, now);
	lead_tick(n->lead, now);
	entry_list_tick(n->entries, now);
	relay_set_tick(n->relays, now);
	node_tick_heartbeat(n, now);
	if (n->draining)
		tick_drain(n, now);
	h2o_timeout_link(n->loop, &n->tick_timeout, &n->tick);
}

static bool open_peers(struct node *n, struct err *err)
{
	const struct settings *s = n->settings;
	Bc__Hello hello = BC__HELLO__INIT;

	hello.id = s->id;
	hello.incarnation = n->incarnation;
	hello.region = s->region;
	hello.failure_domain = s->failure_domain;
	hello.ip = s->peers.ip;
	hello.peer_port = s->peers.port;
	hello.caller_port = s->callers.port;
	hello.operator_port = s->operators.port;
	n->peers = peer_set_create(n->loop, &hello, n->self, &n->hlc, &peer_handlers, n, err);
	if (!n->peers)
		return false;
	for (size_t i = 0; i < s->n_seeds; i++)
		peer_add_address(n->peers, s->seeds[i].ip, s->seeds[i].port);
	return true;
}

static void init_identity(struct node *n)
{
	uint64_t seed = (uint64_t)clk_utc() << 20 ^ (uint64_t)getpid() ^
			str_hash(str_from(n->settings->id));

	rnd_seed(&n->rnd, seed);
	snprintf(n->incarnation, sizeof(n->incarnation), "%016" PRIx64, rnd_u64(&n->rnd));
	n->self = member_node_number(n->settings->id, n->incarnation);
}

struct node *node_create(const struct settings *settings, struct err *err)
{
	struct node *n = calloc(1, sizeof(*n));

	n->loop = h2o_evloop_create();
	n->settings = settings;
	n->started = clk_now();
	init_identity(n);
	n->events = event_log_create(settings->id, n->incarnation, &n->hlc);
	n->docs = doc_set_create();
	n->store =
		store_create(n->loop, settings->table.ip, settings->table.port, rnd_u64(&n->rnd));
	n->lead = lead_create(n);
	n->entries = entry_list_create(n);
	n->relays = relay_set_create(n);
	svc_apply_config(n);
	n->callers = listener_create(n->loop, settings->callers.ip, settings->callers.port,
				     settings->max_body_bytes, entry_on_http, n, err);
	if (n->callers)
		n->operators =
			listener_create(n->loop, settings->operators.ip, settings->operators.port,
					DOC_MAX_BYTES, opreq_on_http, n, err);
	if (!n->callers || !n->operators || !open_peers(n, err)) {
		node_destroy(n);
		return NULL;
	}
	h2o_timeout_init(n->loop, &n->tick_timeout, NODE_TICK_MS);
	n->tick.cb = on_tick;
	h2o_timeout_link(n->loop, &n->tick_timeout, &n->tick);
	node_event(n, "node", "started", "", 0);
	return n;
}

void node_run(struct node *n)
{
	while (!n->stopped)
		h2o_evloop_run(n->loop, INT32_MAX);
}

void node_drain(struct node *n)
{
	clk_ms now = clk_now();

	if (n->draining)
		return;
	n->draining = true;
	n->drain_since = now;
	log_info(&log, "planned stop: finishing %zu open requests", entry_list_open(n->entries));
	node_event(n, "node", "draining", "SIGTERM", entry_list_open(n->entries));
	listener_shutdown(n->callers);
	for (struct svc *s = n->services; s; s = s->next)
		svc_release_lease(s, now);
	node_send_heartbeat(n, now);
}

void node_destroy(struct node *n)
{
	if (n->tick.cb) {
		h2o_timeout_unlink(&n->tick);
		h2o_timeout_dispose(n->loop, &n->tick_timeout);
	}
	listener_destroy(n->callers);
	listener_destroy(n->operators);
	entry_list_destroy(n->entries);
	relay_set_destroy(n->relays);
	svc_destroy_all(n);
	/* Calls back the lead and the movers for their open calls, so the lead must still exist. */
	store_destroy(n->store);
	lead_destroy(n->lead);
	if (n->peers)
		peer_set_destroy(n->peers);
	doc_set_destroy(n->docs);
	event_log_destroy(n->events);
	if (n->config)
		bc__config__free_unpacked(n->config, NULL);
	if (n->cell)
		bc__cell__free_unpacked(n->cell, NULL);
	timer_destroy_loop(n->loop);
	free(n);
}
