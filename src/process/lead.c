#include "process/lead.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "process/svc.h"
#include "version/config.h"

static const struct log log = {"lead"};

#define MEMBERSHIP_EVERY_MS 300
/*
 * A router writes the first cell version this long after its start at the earliest, so that routers
 * started together are all in it.
 */
#define FIRST_CELL_WAIT_MS 700
#define INSTANCES_EVERY_MS 1000
#define INSTANCES_TIMEOUT_MS 1000
#define MAX_CANDIDATES (NODE_MAX_MEMBERS * 2)

/* An instance that has been in the platform's instance list, now or earlier. */
struct instance {
	struct instance *next;
	char *id;
	clk_ms missing_since; /* 0 while listed */
	bool leaving;
	bool listed; /* in the newest instance list */
};

struct lead {
	struct node *node;
	struct upconn_pool *instances_pool;
	bool instances_request_open;
	struct instance *instances;
	clk_ms next_instances;
	clk_ms next_poll;
	clk_ms next_membership;
	clk_ms lead_known_at; /* when another router was last known as lead, or the start */
	char *cell_row;
	bool cell_row_absent; /* by the newest read, the cell document has no row in the store */
	bool cell_write_open; /* a write of the cell document has not finished */
	int open_reads;
};

/* ---- instance list ----------------------------------------------------------------------------
 */

static struct instance *find_instance(const struct lead *l, const char *id)
{
	for (struct instance *i = l->instances; i; i = i->next) {
		if (strcmp(i->id, id) == 0)
			return i;
	}
	return NULL;
}

static void update_instance(struct lead *l, const char *id, const char *state)
{
	struct instance *i = find_instance(l, id);

	if (!i) {
		i = calloc(1, sizeof(*i));
		i->id = strdup(id);
		i->next = l->instances;
		l->instances = i;
	}
	i->listed = true;
	i->missing_since = 0;
	i->leaving = state && strcmp(state, "leaving") == 0;
}

static void apply_instance_list(struct lead *l, clk_ms now, const json_t *list)
{
	size_t at;
	json_t *item;

	for (struct instance *i = l->instances; i; i = i->next)
		i->listed = false;
	json_array_foreach(list, at, item)
	{
		const char *id = json_string_value(json_object_get(item, "id"));

		if (id)
			update_instance(l, id, json_string_value(json_object_get(item, "state")));
	}
	for (struct instance *i = l->instances; i; i = i->next) {
		if (!i->listed && i->missing_since == 0)
			i->missing_since = now;
	}
}

static void on_instances(void *data, const struct upconn_answer *a)
{
	struct lead *l = data;
	struct str body;
	json_t *root;
	json_t *list;

	l->instances_request_open = false;
	if (a->result != UPCONN_OK || a->status != 200)
		return;
	body = upconn_body(a);
	root = json_loadb(body.ptr, body.len, 0, NULL);
	list = json_object_get(root, "instances");
	if (json_is_array(list))
		apply_instance_list(l, clk_now(), list);
	else
		log_warn(&log, "the answer of the instance list has no array \"instances\"");
	json_decref(root);
}

static void poll_instances(struct lead *l, clk_ms now)
{
	struct upconn_request req = {.method = STR_LIT("GET"),
				     .path = STR_LIT("/instances"),
				     .timeout = INSTANCES_TIMEOUT_MS};

	l->next_instances = now + INSTANCES_EVERY_MS;
	if (l->instances_request_open)
		return;
	l->instances_request_open = true;
	upconn_send(l->instances_pool, &req, on_instances, l);
}

bool lead_instance_removed(const struct lead *l, clk_ms now, const char *id)
{
	const struct instance *i = find_instance(l, id);

	return i && i->missing_since && now - i->missing_since > LEAD_INSTANCE_REMOVED_MS;
}

bool lead_instance_leaving(const struct lead *l, const char *id)
{
	const struct instance *i = find_instance(l, id);

	return i && i->leaving;
}

bool lead_member_ended(const struct lead *l, clk_ms now, const Bc__Member *m)
{
	const struct peer_info *list[MAX_CANDIDATES];
	const struct settings *s = l->node->settings;
	size_t n;

	if (lead_instance_removed(l, now, m->id))
		return true;
	/*
	 * Only one process can listen on an address, so a member with another incarnation and the
	 * address of this router, or of a connected peer, has ended.
	 */
	if (strcmp(s->peers.ip, m->ip) == 0 && s->peers.port == m->peer_port)
		return strcmp(l->node->incarnation, m->incarnation) != 0;
	if (peer_refused_since(l->node->peers, m->ip, m->peer_port))
		return true;
	n = peer_list(l->node->peers, list, MAX_CANDIDATES);
	for (size_t i = 0; i < n; i++) {
		if (strcmp(list[i]->ip, m->ip) == 0 && list[i]->peer_port == m->peer_port &&
		    strcmp(list[i]->incarnation, m->incarnation) != 0)
			return true;
	}
	return false;
}

/* ---- polling the table service ----------------------------------------------------------------
 */

struct read_call {
	struct lead *lead;
	char *row;
};

static void on_read(void *data, enum store_read_result result, uint64_t version, struct str body)
{
	struct read_call *call = data;
	struct lead *l = call->lead;

	l->open_reads--;
	if (result == STORE_ROW)
		node_apply_doc(l->node, str_from(call->row), version, body, "store");
	if (strcmp(call->row, l->cell_row) == 0 && result != STORE_READ_FAILED)
		l->cell_row_absent = result == STORE_ABSENT;
	free(call->row);
	free(call);
}

static void read_row(struct lead *l, const char *row)
{
	struct read_call *call = calloc(1, sizeof(*call));

	call->lead = l;
	call->row = strdup(row);
	l->open_reads++;
	store_read(l->node->store, str_from(row), doc_version(l->node->docs, str_from(row)),
		   on_read, call);
}

static void poll_store(struct lead *l, clk_ms now)
{
	l->next_poll = now + NODE_LEAD_POLL_MS;
	if (l->open_reads > 0)
		return;
	read_row(l, "config");
	read_row(l, l->cell_row);
	for (struct svc *s = l->node->services; s; s = s->next) {
		if (s->assign_row)
			read_row(l, s->assign_row);
	}
}

/* ---- membership -------------------------------------------------------------------------------
 */

static bool same_member(const struct member_candidate *c, const Bc__Member *m)
{
	return strcmp(c->id, m->id) == 0 && strcmp(c->incarnation, m->incarnation) == 0;
}

static struct member_candidate self_candidate(const struct node *n)
{
	const struct settings *s = n->settings;

	return (struct member_candidate){
		.id = s->id,
		.incarnation = n->incarnation,
		.ip = s->peers.ip,
		.peer_port = s->peers.port,
		.caller_port = s->callers.port,
		.operator_port = s->operators.port,
		.failure_domain = s->failure_domain,
		.connected = true,
		.draining = n->draining,
		.known_for = clk_now() - n->started,
	};
}

static struct member_candidate peer_candidate(const struct lead *l, const struct peer_info *p,
					      clk_ms now)
{
	return (struct member_candidate){
		.id = p->id,
		.incarnation = p->incarnation,
		.ip = p->ip,
		.peer_port = p->peer_port,
		.caller_port = p->caller_port,
		.operator_port = p->operator_port,
		.failure_domain = p->failure_domain,
		.connected = now - p->last_received_at < 1000,
		.draining =
			node_peer_is_draining(l->node, p->node) || lead_instance_leaving(l, p->id),
		.last_message_age = now - p->last_received_at,
		.known_for = node_first_heartbeat_age(l->node, now, p->node),
	};
}

/*
 * Returns a candidate for a present member that is not connected: it may stay until it times out.
 */
static struct member_candidate unconnected_candidate(const struct lead *l, const Bc__Member *m,
						     clk_ms now)
{
	return (struct member_candidate){
		.id = m->id,
		.incarnation = m->incarnation,
		.ip = m->ip,
		.peer_port = m->peer_port,
		.caller_port = m->caller_port,
		.operator_port = m->operator_port,
		.failure_domain = m->failure_domain,
		.ended = lead_member_ended(l, now, m),
		.last_message_age =
			now -
			node_last_heartbeat(l->node, member_node_number(m->id, m->incarnation)),
	};
}

/*
 * Writes candidates for this router, the connected routers of the region and all present members
 * to `out`. Returns their number.
 */
static size_t list_candidates(const struct lead *l, clk_ms now, struct member_candidate *out)
{
	const struct peer_info *peers[MAX_CANDIDATES];
	const struct node *n = l->node;
	size_t n_peers = peer_list(n->peers, peers, MAX_CANDIDATES);
	size_t count = 0;

	out[count++] = self_candidate(n);
	for (size_t i = 0; i < n_peers && count < MAX_CANDIDATES; i++) {
		if (strcmp(peers[i]->region, n->settings->region) == 0)
			out[count++] = peer_candidate(l, peers[i], now);
	}
	for (size_t i = 0; n->cell && i < n->cell->n_members && count < MAX_CANDIDATES; i++) {
		bool listed = false;

		for (size_t j = 0; j < count; j++)
			listed = listed || same_member(&out[j], n->cell->members[i]);
		if (!listed)
			out[count++] = unconnected_candidate(l, n->cell->members[i], now);
	}
	return count;
}

/*
 * Whether so many members are connected or have ended that the others cannot form a majority. A new
 * version takes effect only then. So a router that is cut off from its cell but not from the table
 * service does not write a membership of itself alone.
 */
static bool enough_members_reached(const Bc__Cell *cell, const struct member_candidate *c, size_t n)
{
	size_t reached = 0;

	for (size_t i = 0; i < cell->n_members; i++) {
		bool is_reached = false;

		for (size_t j = 0; j < n; j++) {
			if (same_member(&c[j], cell->members[i]))
				is_reached = c[j].connected || c[j].ended;
		}
		reached += is_reached;
	}
	return reached >= cell->n_members - member_majority(cell->n_members) + 1;
}

struct cell_write {
	struct lead *lead;
	uint8_t *body;
	size_t len;
};

static void on_cell_written(void *data, enum store_write_result result, uint64_t version)
{
	struct cell_write *w = data;
	struct lead *l = w->lead;

	l->cell_write_open = false;
	if (result == STORE_WRITTEN)
		node_apply_doc(l->node, str_from(l->cell_row), version,
			       (struct str){(char *)w->body, w->len}, "written");
	else if (result == STORE_CONFLICT)
		read_row(l, l->cell_row);
	free(w->body);
	free(w);
}

/* Writes the next cell version with the candidates that `keep` selects. */
static void write_cell(struct lead *l, const struct member_candidate *c, const bool *keep, size_t n)
{
	const Bc__Cell *old = l->node->cell;
	Bc__Member members[MAX_CANDIDATES];
	Bc__Member *ptrs[MAX_CANDIDATES];
	Bc__Cell cell = BC__CELL__INIT;
	struct cell_write *w = calloc(1, sizeof(*w));

	cell.version = old ? old->version + 1 : 1;
	cell.region = l->node->settings->region;
	cell.members = ptrs;
	for (size_t i = 0; i < n && cell.n_members < NODE_MAX_MEMBERS; i++) {
		Bc__Member *m = &members[cell.n_members];

		if (!keep[i])
			continue;
		bc__member__init(m);
		m->id = (char *)c[i].id;
		m->incarnation = (char *)c[i].incarnation;
		m->ip = (char *)c[i].ip;
		m->peer_port = c[i].peer_port;
		m->caller_port = c[i].caller_port;
		m->operator_port = c[i].operator_port;
		m->failure_domain = (char *)c[i].failure_domain;
		ptrs[cell.n_members++] = m;
	}
	cell.n_previous = old ? old->n_members : 0;
	cell.previous = old ? old->members : NULL;
	w->lead = l;
	w->len = bc__cell__get_packed_size(&cell);
	w->body = malloc(w->len + 1);
	bc__cell__pack(&cell, w->body);
	l->cell_write_open = true;
	log_info(&log, "writing cell version %llu with %zu members",
		 (unsigned long long)cell.version, cell.n_members);
	store_write(l->node->store, str_from(l->cell_row), cell.version - 1,
		    (struct str){(char *)w->body, w->len}, on_cell_written, w);
}

static void tick_membership(struct lead *l, clk_ms now)
{
	struct member_candidate c[MAX_CANDIDATES];
	bool keep[MAX_CANDIDATES] = {false};
	struct node *n = l->node;
	size_t count;

	l->next_membership = now + MEMBERSHIP_EVERY_MS;
	if (l->cell_write_open || (n->cell && !(n->cell_active && n->cell_may_change)))
		return;
	if (!n->cell && (!l->cell_row_absent || now - n->started < FIRST_CELL_WAIT_MS))
		return;
	count = list_candidates(l, now, c);
	if (n->cell && !enough_members_reached(n->cell, c, count))
		return;
	if (member_propose(n->cell, c, count, keep))
		write_cell(l, c, keep, count);
}

/* ---- tick -------------------------------------------------------------------------------------
 */

/*
 * Whether this router does the work of the lead: it is the lead, or it knows no cell yet or no lead
 * for NODE_NO_LEAD_TIMEOUT_MS.
 */
static bool must_act_as_lead(struct lead *l, clk_ms now)
{
	struct svc *s = svc_find(l->node, STR_LIT(NODE_LEAD_SERVICE));

	if (s->held)
		return true;
	if (svc_holder(s, now))
		l->lead_known_at = now;
	return !l->node->cell || now - l->lead_known_at > NODE_NO_LEAD_TIMEOUT_MS;
}

void lead_tick(struct lead *l, clk_ms now)
{
	bool acts_as_lead = must_act_as_lead(l, now);

	/* Every router polls the list, to know which members and upstreams have been removed. */
	if (now >= l->next_instances)
		poll_instances(l, now);
	if (!acts_as_lead)
		return;
	if (now >= l->next_poll)
		poll_store(l, now);
	if (now >= l->next_membership && !l->node->draining)
		tick_membership(l, now);
}

struct lead *lead_create(struct node *n)
{
	struct lead *l = calloc(1, sizeof(*l));
	char row[128];

	snprintf(row, sizeof(row), "cell/%s", n->settings->region);
	l->node = n;
	l->cell_row = strdup(row);
	l->lead_known_at = n->started;
	l->instances_pool = upconn_pool_create(n->loop, n->settings->instances.ip,
					       n->settings->instances.port, 1);
	return l;
}

void lead_destroy(struct lead *l)
{
	while (l->instances) {
		struct instance *i = l->instances;

		l->instances = i->next;
		free(i->id);
		free(i);
	}
	upconn_pool_destroy(l->instances_pool);
	free(l->cell_row);
	free(l);
}
