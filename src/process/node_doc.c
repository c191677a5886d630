/*
 * Documents of one router: sends them to peers and applies newer versions of the configuration, the
 * cell membership and the partition assignments.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/ctr.h"
#include "base/log.h"
#include "process/mover.h"
#include "process/svc.h"
#include "version/config.h"

static const struct log log = {"node"};

CTR(ctr_docs, "documents_applied_total", "Documents that replaced an older version");
CTR(ctr_bad_docs, "documents_rejected_total", "Documents that could not be decoded");

void node_send_doc(struct node *n, uint64_t to, const Bc__DocGet *get)
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

static bool has_member(const Bc__Cell *cell, const Bc__Member *m)
{
	for (size_t i = 0; i < cell->n_members; i++) {
		if (strcmp(cell->members[i]->id, m->id) == 0 &&
		    strcmp(cell->members[i]->incarnation, m->incarnation) == 0)
			return true;
	}
	return false;
}

/* Records the members of `old` that are not in `cell`. */
static void record_former_members(struct node *n, const Bc__Cell *old, const Bc__Cell *cell)
{
	for (size_t i = 0; i < old->n_members; i++) {
		const Bc__Member *m = old->members[i];
		struct node_former_member *former;

		if (has_member(cell, m))
			continue;
		former = &n->former_members[n->n_former_members++ % NODE_MAX_FORMER_MEMBERS];
		former->left_at = clk_now();
		former->peer_port = m->peer_port;
		snprintf(former->id, sizeof(former->id), "%s", m->id);
		snprintf(former->incarnation, sizeof(former->incarnation), "%s", m->incarnation);
		snprintf(former->ip, sizeof(former->ip), "%s", m->ip);
	}
}

static bool apply_cell(struct node *n, struct str body, uint64_t version)
{
	Bc__Cell *cell = bc__cell__unpack(NULL, body.len, (const uint8_t *)body.ptr);

	if (!cell || cell->version != version || cell->n_members > NODE_MAX_MEMBERS) {
		if (cell)
			bc__cell__free_unpacked(cell, NULL);
		return false;
	}
	if (n->cell) {
		record_former_members(n, n->cell, cell);
		bc__cell__free_unpacked(n->cell, NULL);
	}
	n->cell = cell;
	n->cell_active = false;
	n->cell_may_change = false;
	n->cell_learned_at = clk_now();
	n->transition = (struct member_transition){0};
	for (struct svc *s = n->services; s; s = s->next)
		lease_observe_version(s->lease, version);
	add_member_addresses(n, cell);
	return true;
}

/*
 * Notifies the mover of the service whose partition assignment changed. Returns false if the new
 * assignment is invalid.
 */
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

/*
 * Returns the id of the plan that wrote this version of the configuration, if any: the time line of
 * a plan ends with the events that apply its configuration.
 */
static struct str plan_of_config(const struct node *n, struct str row, uint64_t version)
{
	const Bc__Config *c = n->config;

	if (!str_eq_cstr(row, "config") || !c || !c->n_ledger ||
	    c->ledger[c->n_ledger - 1]->version != version)
		return STR_NULL;
	return str_from(c->ledger[c->n_ledger - 1]->id);
}

bool node_apply_doc(struct node *n, struct str row, uint64_t version, struct str body,
		    const char *source)
{
	struct event ev = {.module = "doc", .kind = "document-applied", .version = version};
	bool ok = true;

	if (body.len > DOC_MAX_BYTES || version <= doc_version(n->docs, row))
		return false;
	/* An invalid configuration or cell must not replace a valid older one. */
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
	node_send_heartbeat(n, clk_now());
	return true;
}
