#include "process/node.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/ctr.h"
#include "base/log.h"
#include "process/lead.h"
#include "process/mover.h"
#include "process/svc.h"
#include "request/entry.h"
#include "request/opreq.h"
#include "request/relay.h"
#include "version/config.h"

static const struct log log = {"node"};

CTR(ctr_docs, "documents_applied_total", "Documents that replaced an older version");
CTR(ctr_bad_docs, "documents_rejected_total", "Documents that could not be decoded");

/* ---- small helpers ----------------------------------------------------------------------------
 */

void node_event(struct node *n, const char *module, const char *kind, const char *cause,
		uint64_t number)
{
	struct event ev = {
		.module = module, .kind = kind, .cause = str_from(cause), .number = number};

	event_emit(n->events, &ev);
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

bool node_majority_holds(const struct node *n, struct str row, uint64_t version)
{
	size_t holders = doc_holders(n->docs, row, version, n->members, n->n_members);

	if (doc_version(n->docs, row) >= version && n->is_member)
		holders++;
	return n->n_members > 0 && holders >= member_majority(n->n_members);
}

static const struct node_peer *find_seen(const struct node *n, uint64_t node)
{
	for (size_t i = 0; i < n->n_seen; i++) {
		if (n->seen[i].node == node)
			return &n->seen[i];
	}
	return NULL;
}

static void note_seen(struct node *n, uint64_t node, clk_ms now, const Bc__Heartbeat *hb)
{
	struct node_peer *p = (struct node_peer *)find_seen(n, node);
	const size_t max = sizeof(n->seen) / sizeof(n->seen[0]);

	if (!p && n->n_seen < max)
		p = &n->seen[n->n_seen++];
	if (!p) {
		p = &n->seen[0];
		for (size_t i = 1; i < max; i++) {
			if (n->seen[i].heard < p->heard)
				p = &n->seen[i];
		}
	}
	*p = (struct node_peer){node, now, hb->draining, hb->config_in_force};
}

bool node_peer_draining(const struct node *n, uint64_t node)
{
	const struct node_peer *p = find_seen(n, node);

	return p && p->draining;
}

uint64_t node_peer_config(const struct node *n, uint64_t node)
{
	const struct node_peer *p = find_seen(n, node);

	return p ? p->config : 0;
}

clk_ms node_last_heard(const struct node *n, uint64_t node)
{
	const struct node_peer *p = find_seen(n, node);

	return p ? p->heard : n->started;
}

static bool is_own_region(const struct node *n, const char *region)
{
	return strcmp(n->settings->region, region) == 0;
}

/* ---- heartbeats -------------------------------------------------------------------------------
 */

/* Versions held and leases confirmed; arrays live until the caller has packed the frame. */
struct heartbeat_parts {
	Bc__Heartbeat msg;
	Bc__DocVersion *docs;
	Bc__DocVersion **doc_ptrs;
	Bc__LeaseView *leases;
	Bc__LeaseView **lease_ptrs;
};

static void fill_docs(const struct node *n, struct heartbeat_parts *p)
{
	size_t count = 0;

	for (const struct doc *d = doc_first(n->docs); d; d = d->next)
		count++;
	p->docs = calloc(count + 1, sizeof(*p->docs));
	p->doc_ptrs = calloc(count + 1, sizeof(*p->doc_ptrs));
	for (const struct doc *d = doc_first(n->docs); d; d = d->next) {
		Bc__DocVersion *v = &p->docs[p->msg.n_docs];

		bc__doc_version__init(v);
		v->row = (char *)d->row.ptr;
		v->version = d->version;
		p->doc_ptrs[p->msg.n_docs++] = v;
	}
	p->msg.docs = p->doc_ptrs;
}

static void fill_leases(const struct node *n, struct heartbeat_parts *p, clk_ms now)
{
	size_t count = 0;

	for (const struct svc *s = n->services; s; s = s->next)
		count++;
	p->leases = calloc(count + 1, sizeof(*p->leases));
	p->lease_ptrs = calloc(count + 1, sizeof(*p->lease_ptrs));
	for (const struct svc *s = n->services; s; s = s->next) {
		Bc__LeaseView *v = &p->leases[p->msg.n_leases];

		if (!lease_is_held(s->lease, now))
			continue;
		bc__lease_view__init(v);
		v->service = s->name;
		v->holder = n->self;
		v->ballot = lease_number(s->lease);
		v->remaining_ms = (uint32_t)(lease_expires(s->lease) - now);
		p->lease_ptrs[p->msg.n_leases++] = v;
	}
	p->msg.leases = p->lease_ptrs;
}

void node_heartbeat(struct node *n, clk_ms now)
{
	const struct peer_info *list[NODE_MAX_MEMBERS * 2];
	size_t count = peer_list(n->peers, list, NODE_MAX_MEMBERS * 2);
	struct heartbeat_parts parts = {0};
	Bc__Frame frame = BC__FRAME__INIT;

	bc__heartbeat__init(&parts.msg);
	fill_docs(n, &parts);
	fill_leases(n, &parts, now);
	parts.msg.draining = n->draining;
	parts.msg.config_in_force = n->config ? n->config->version : 0;
	frame.body_case = BC__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &parts.msg;
	for (size_t i = 0; i < count; i++) {
		if (is_own_region(n, list[i]->region))
			peer_send(n->peers, list[i]->node, &frame);
	}
	free(parts.docs);
	free(parts.doc_ptrs);
	free(parts.leases);
	free(parts.lease_ptrs);
	n->next_heartbeat = now + NODE_HEARTBEAT_MS;
}

static void request_doc(struct node *n, uint64_t from, const char *row, uint64_t have)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__DocGet get = BC__DOC_GET__INIT;

	get.row = (char *)row;
	get.have = have;
	frame.body_case = BC__FRAME__BODY_DOC_GET;
	frame.doc_get = &get;
	peer_send(n->peers, from, &frame);
}

static void on_heartbeat(struct node *n, const struct peer_info *from, const Bc__Heartbeat *hb)
{
	clk_ms now = clk_now();

	note_seen(n, from->node, now, hb);
	for (size_t i = 0; i < hb->n_docs; i++) {
		struct str row = str_from(hb->docs[i]->row);
		uint64_t have = doc_version(n->docs, row);

		doc_note_peer(n->docs, from->node, row, hb->docs[i]->version);
		if (hb->docs[i]->version > have)
			request_doc(n, from->node, hb->docs[i]->row, have);
	}
	for (size_t i = 0; i < hb->n_leases; i++) {
		const Bc__LeaseView *v = hb->leases[i];
		struct svc *s = svc_find(n, str_from(v->service));

		if (!s || v->holder != from->node)
			continue;
		if (v->ballot < s->told_ballot && now < s->told_until)
			continue;
		s->told_holder = v->holder;
		s->told_ballot = v->ballot;
		s->told_until = now + v->remaining_ms;
	}
}

/* ---- documents --------------------------------------------------------------------------------
 */

static void send_doc(struct node *n, uint64_t to, const Bc__DocGet *get)
{
	const struct doc *d = doc_get(n->docs, str_from(get->row));
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Doc doc = BC__DOC__INIT;

	if (!d || d->version <= get->have)
		return;
	doc.row = (char *)d->row.ptr;
	doc.version = d->version;
	doc.body.data = (uint8_t *)d->body.ptr;
	doc.body.len = d->body.len;
	frame.body_case = BC__FRAME__BODY_DOC;
	frame.doc = &doc;
	peer_send(n->peers, to, &frame);
}

static bool apply_config(struct node *n, struct str body, uint64_t version)
{
	Bc__Config *c = bc__config__unpack(NULL, body.len, (const uint8_t *)body.ptr);
	Bc__Config *old = n->config;
	struct err err = {0};

	if (!c || c->version != version || !config_check(c, &err)) {
		log_error(&log, "configuration version %" PRIu64 " rejected: %s", version,
			  c ? err.msg : "it cannot be decoded");
		if (c)
			bc__config__free_unpacked(c, NULL);
		return false;
	}
	n->config = c;
	svc_apply_config(n);
	if (old)
		bc__config__free_unpacked(old, NULL);
	return true;
}

static void add_member_addresses(struct node *n, const Bc__Cell *cell)
{
	for (size_t i = 0; i < cell->n_members; i++)
		peer_add_address(n->peers, cell->members[i]->ip, cell->members[i]->peer_port);
}

static bool apply_cell(struct node *n, struct str body, uint64_t version)
{
	Bc__Cell *cell = bc__cell__unpack(NULL, body.len, (const uint8_t *)body.ptr);

	if (!cell || cell->version != version || cell->n_members > NODE_MAX_MEMBERS) {
		if (cell)
			bc__cell__free_unpacked(cell, NULL);
		return false;
	}
	if (n->cell)
		bc__cell__free_unpacked(n->cell, NULL);
	n->cell = cell;
	n->cell_active = false;
	n->cell_since = clk_now();
	n->gate = (struct member_gate){0};
	for (struct svc *s = n->services; s; s = s->next)
		lease_note_version(s->lease, version);
	add_member_addresses(n, cell);
	return true;
}

static bool apply_assign(struct node *n, struct str row, struct str body, uint64_t version)
{
	Bc__Assign *a = bc__assign__unpack(NULL, body.len, (const uint8_t *)body.ptr);
	struct svc *s;
	bool ok = a && a->version == version;

	if (a)
		bc__assign__free_unpacked(a, NULL);
	if (!ok)
		return false;
	for (s = n->services; s; s = s->next) {
		if (s->mover && s->assign_row && str_eq_cstr(row, s->assign_row))
			mover_on_assign(s->mover, clk_now());
	}
	return true;
}

/* Plan that made this version of the configuration; the time line of a plan ends with these. */
static struct str plan_of_config(const struct node *n, struct str row, uint64_t version)
{
	const Bc__Config *c = n->config;

	if (!str_eq_cstr(row, "config") || !c || !c->n_ledger ||
	    c->ledger[c->n_ledger - 1]->version != version)
		return STR_NULL;
	return str_from(c->ledger[c->n_ledger - 1]->id);
}

bool node_put_doc(struct node *n, struct str row, uint64_t version, struct str body,
		  const char *source)
{
	struct event ev = {.module = "doc", .kind = "document-applied", .version = version};
	bool ok = true;

	if (body.len > DOC_MAX_BYTES || version <= doc_version(n->docs, row))
		return false;
	/* A body that does not decode must not take the place of a good older one. */
	if (str_eq_cstr(row, "config"))
		ok = apply_config(n, body, version);
	else if (str_starts_with(row, STR_LIT("cell/")))
		ok = apply_cell(n, body, version);
	if (!ok || !doc_put(n->docs, row, version, body)) {
		ctr_inc(&ctr_bad_docs);
		return false;
	}
	if (str_starts_with(row, STR_LIT("assign/")))
		apply_assign(n, row, body, version);
	ctr_inc(&ctr_docs);
	ev.cause = str_from(source);
	ev.peer = row;
	ev.plan = plan_of_config(n, row, version);
	event_emit(n->events, &ev);
	node_heartbeat(n, clk_now());
	return true;
}

/* ---- membership that takes effect -------------------------------------------------------------
 */

static size_t collect_seen(struct node *n, clk_ms now, struct member_seen *seen, size_t max)
{
	char row[128];
	size_t count = 0;
	const Bc__Cell *cell = n->cell;

	snprintf(row, sizeof(row), "cell/%s", n->settings->region);
	for (size_t i = 0; i < cell->n_previous && count < max; i++) {
		const Bc__Member *m = cell->previous[i];
		uint64_t node = member_node(m->id, m->incarnation);
		bool knows = node == n->self ||
			     doc_holders(n->docs, str_from(row), cell->version, &node, 1) == 1;

		seen[count++] = (struct member_seen){
			.node = node,
			.cell_version = knows ? cell->version : 0,
			.gone = node != n->self && lead_member_gone(n->lead, now, m),
		};
	}
	return count;
}

static void activate_cell(struct node *n, clk_ms now)
{
	n->cell_active = true;
	n->n_members = 0;
	for (size_t i = 0; i < n->cell->n_members; i++) {
		const Bc__Member *m = n->cell->members[i];

		n->members[n->n_members++] = member_node(m->id, m->incarnation);
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
	struct member_seen seen[NODE_MAX_MEMBERS];
	size_t count;

	if (!n->cell || n->cell_active)
		return;
	count = collect_seen(n, now, seen, NODE_MAX_MEMBERS);
	if (member_may_activate(&n->gate, now, lease_defaults.duration, n->cell, seen, count))
		activate_cell(n, now);
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
		svc_on_lease_ask(s, now, from, f->lease_ask);
		break;
	case BC__FRAME__BODY_LEASE_REPLY:
		svc_on_lease_reply(s, now, from, f->lease_reply);
		break;
	case BC__FRAME__BODY_ASK:
		svc_on_ask(s, now, from, f->ask);
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
	svc_flush(s, now);
}

static void on_cancel(struct node *n, uint64_t from, const Bc__Cancel *c, clk_ms now)
{
	if (c->relay)
		relay_on_cancel(n->relays, from, c->relay);
	if (!c->ask)
		return;
	for (struct svc *s = n->services; s; s = s->next) {
		svc_on_cancel(s, now, from, c->ask);
		svc_flush(s, now);
	}
}

/* Frames that only routers of the same region may send. */
static bool is_cell_frame(const Bc__Frame *f)
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

	if (is_cell_frame(f) && !is_own_region(n, from->region))
		return;
	switch (f->body_case) {
	case BC__FRAME__BODY_HEARTBEAT:
		on_heartbeat(n, from, f->heartbeat);
		break;
	case BC__FRAME__BODY_DOC_GET:
		send_doc(n, from->node, f->doc_get);
		break;
	case BC__FRAME__BODY_DOC:
		node_put_doc(n, str_from(f->doc->row), f->doc->version,
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

static void emit_peer(struct node *n, const char *kind, const struct peer_info *p)
{
	struct event ev = {.module = "peer", .kind = kind, .peer = str_from(p->id)};

	ev.cause = str_from(p->region);
	event_emit(n->events, &ev);
}

static void on_peer_up(void *data, const struct peer_info *p)
{
	struct node *n = data;

	emit_peer(n, "peer-up", p);
	if (is_own_region(n, p->region))
		node_heartbeat(n, clk_now());
}

static void on_peer_down(void *data, const struct peer_info *p)
{
	struct node *n = data;

	emit_peer(n, "peer-down", p);
	doc_forget_peer(n->docs, p->node);
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

/* How long a planned stop waits for requests: the longest deadline, its margin, and the answers. */
#define DRAIN_LIMIT_MS (NODE_MAX_TIMEOUT_MS + 1000)

/* By then callers that reuse connections have seen "connection: close" on one of them. */
#define DRAIN_IDLE_MS 5000

static void tick_drain(struct node *n, clk_ms now)
{
	bool finished = entry_list_open(n->entries) == 0 && listener_connections(n->callers) == 0;
	/* Idle connections stay open so that a request under way to them is still answered. */
	bool idle = entry_list_open(n->entries) == 0 && now - n->drain_since > DRAIN_IDLE_MS;

	if (finished || idle || now - n->drain_since > DRAIN_LIMIT_MS)
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
	if (now >= n->next_heartbeat)
		node_heartbeat(n, now);
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
	n->self = member_node(n->settings->id, n->incarnation);
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
		svc_release(s, now);
	node_heartbeat(n, now);
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
	lead_destroy(n->lead);
	if (n->peers)
		peer_set_destroy(n->peers);
	store_destroy(n->store);
	doc_set_destroy(n->docs);
	event_log_destroy(n->events);
	if (n->config)
		bc__config__free_unpacked(n->config, NULL);
	if (n->cell)
		bc__cell__free_unpacked(n->cell, NULL);
	free(n);
}
