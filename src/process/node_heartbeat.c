/*
 * Heartbeats of one router. A heartbeat reports the versions of the router's documents, the leases
 * it holds, its configuration version and whether it drains. The module also records the heartbeats
 * of other routers and requests documents that are newer there.
 */
#include <stdlib.h>

#include "process/svc.h"

static const struct node_peer_heartbeat *find_peer_heartbeat(const struct node *n, uint64_t node)
{
	for (size_t i = 0; i < n->n_peer_heartbeats; i++) {
		if (n->peer_heartbeats[i].node == node)
			return &n->peer_heartbeats[i];
	}
	return NULL;
}

static void record_heartbeat(struct node *n, uint64_t node, clk_ms now, const Bc__Heartbeat *hb)
{
	struct node_peer_heartbeat *p = (struct node_peer_heartbeat *)find_peer_heartbeat(n, node);
	const size_t max_entries = sizeof(n->peer_heartbeats) / sizeof(n->peer_heartbeats[0]);
	clk_ms first = p ? p->first_heartbeat_at : now;

	if (!p && n->n_peer_heartbeats < max_entries)
		p = &n->peer_heartbeats[n->n_peer_heartbeats++];
	if (!p) {
		p = &n->peer_heartbeats[0];
		for (size_t i = 1; i < max_entries; i++) {
			if (n->peer_heartbeats[i].last_heartbeat_at < p->last_heartbeat_at)
				p = &n->peer_heartbeats[i];
		}
	}
	*p = (struct node_peer_heartbeat){node, now, first, hb->draining, hb->config_in_force};
}

bool node_peer_is_draining(const struct node *n, uint64_t node)
{
	const struct node_peer_heartbeat *p = find_peer_heartbeat(n, node);

	return p && p->draining;
}

uint64_t node_peer_config_version(const struct node *n, uint64_t node)
{
	const struct node_peer_heartbeat *p = find_peer_heartbeat(n, node);

	return p ? p->config_version : 0;
}

clk_ms node_last_heartbeat(const struct node *n, uint64_t node)
{
	const struct node_peer_heartbeat *p = find_peer_heartbeat(n, node);

	return p ? p->last_heartbeat_at : n->started;
}

clk_ms node_first_heartbeat_age(const struct node *n, clk_ms now, uint64_t node)
{
	const struct node_peer_heartbeat *p = find_peer_heartbeat(n, node);

	return p ? now - p->first_heartbeat_at : 0;
}

/* A heartbeat message and the arrays it points to, freed once the message has been sent. */
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
		v->remaining_ms = (uint32_t)(lease_expires_at(s->lease) - now);
		p->lease_ptrs[p->msg.n_leases++] = v;
	}
	p->msg.leases = p->lease_ptrs;
}

/*
 * Sends a heartbeat to the peers of the region. Document versions are included when they change,
 * when a peer connects, and in every fifth heartbeat; the others only show that this router runs
 * and which leases it holds. With all versions in each heartbeat, each router of a cell of 12 would
 * send 10.8 KB/s, above its budget of 8 KB/s.
 */
static void send_heartbeat(struct node *n, clk_ms now, bool with_docs)
{
	const struct peer_info *list[NODE_MAX_MEMBERS * 2];
	size_t count = peer_list(n->peers, list, NODE_MAX_MEMBERS * 2);
	struct heartbeat_parts parts = {0};
	Bc__Frame frame = BC__FRAME__INIT;

	bc__heartbeat__init(&parts.msg);
	if (with_docs)
		fill_docs(n, &parts);
	fill_leases(n, &parts, now);
	parts.msg.draining = n->draining;
	parts.msg.config_in_force = n->config ? n->config->version : 0;
	frame.body_case = BC__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &parts.msg;
	for (size_t i = 0; i < count; i++) {
		if (node_is_own_region(n, list[i]->region))
			peer_send(n->peers, list[i]->node, &frame);
	}
	free(parts.docs);
	free(parts.doc_ptrs);
	free(parts.leases);
	free(parts.lease_ptrs);
	n->next_heartbeat = now + NODE_HEARTBEAT_MS;
}

void node_send_heartbeat(struct node *n, clk_ms now)
{
	n->heartbeats_since_docs = 0;
	send_heartbeat(n, now, true);
}

void node_tick_heartbeat(struct node *n, clk_ms now)
{
	if (now < n->next_heartbeat)
		return;
	if (++n->heartbeats_since_docs >= NODE_HEARTBEATS_PER_DOCS)
		node_send_heartbeat(n, now);
	else
		send_heartbeat(n, now, false);
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

void node_on_heartbeat(struct node *n, const struct peer_info *from, const Bc__Heartbeat *hb)
{
	clk_ms now = clk_now();

	record_heartbeat(n, from->node, now, hb);
	for (size_t i = 0; i < hb->n_docs; i++) {
		struct str row = str_from(hb->docs[i]->row);
		uint64_t have = doc_version(n->docs, row);

		doc_set_peer_version(n->docs, from->node, row, hb->docs[i]->version);
		if (hb->docs[i]->version > have)
			request_doc(n, from->node, hb->docs[i]->row, have);
	}
	for (size_t i = 0; i < hb->n_leases; i++) {
		const Bc__LeaseView *v = hb->leases[i];
		struct svc *s = svc_find(n, str_from(v->service));

		if (!s || v->holder != from->node)
			continue;
		if (v->ballot < s->announced_ballot && now < s->announced_until)
			continue;
		s->announced_holder = v->holder;
		s->announced_ballot = v->ballot;
		s->announced_until = now + v->remaining_ms;
	}
}
