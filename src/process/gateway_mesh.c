/*
 * Which gateways exist and which of them this one is connected to. A gateway registers its address
 * in a table of the store, and keeps connections to the hubs of every region (hubs.h); a hub also
 * connects to gateways of its region that have not connected to it, which may not reach the store.
 */
#include "process/gateway_priv.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"

/* How often the hubs are chosen again without a change of the table or of a connection. */
#define CHOICE_INTERVAL_MS 500
/* A gateway that cannot be reached for this long is replaced as hub. */
#define HUB_LOST_MS 3000
/* A hub connects to another gateway of its region that has had no connection for this long. */
#define MISSING_LEAF_MS 3000
/* Pause after a failed call of the registration; doubles up to the maximum. */
#define JOIN_RETRY_FIRST_MS 150
#define JOIN_RETRY_MAX_MS 2400
/*
 * At the first start of a deployment weaker gateways register later, so that they find the hubs,
 * which are stronger, in the table at once. The delay is from this to twice this for one core, and
 * more for less; it varies, since the store carries out the writes to one table one by one.
 */
#define FIRST_JOIN_CORE_MS 100
#define FIRST_JOIN_MAX_MS 1000

static const struct log log = {"mesh"};
CTR(ctr_hub_changes, "hub_changes_total", "Times that a gateway became or ceased to be a hub.");

/* ---- table of gateways ---------------------------------------------------------------------- */

/* Stops connecting to the member; closes an open connection unless one end is a hub. */
static void remove_target(struct gateway *g, struct gateway_member *m)
{
	bool unused = m->connected && !g->is_hub && !m->hub;

	if (m->target && !unused)
		peer_drop_address(g->peers, m->ip, m->port);
	m->target = false;
	if (unused)
		peer_remove_address(g->peers, m->ip, m->port);
}

static void remove_member(struct gateway *g, struct gateway_member *m)
{
	peer_remove_address(g->peers, m->ip, m->port);
	HASH_DEL(g->members, m);
	free(m);
}

/*
 * Parses the value of a row, "IP:PORT REGION CPU-MILLIS"; returns false if it has another form.
 */
static bool parse_member(struct str text, struct gateway_member *out)
{
	struct str address;
	struct str rest;
	struct str port_text;
	struct str cpu_text;
	struct str region;
	struct str host;
	struct in_addr ignored;
	uint64_t port;
	uint64_t cpu;

	*out = (struct gateway_member){0};
	address = str_split(text, ' ', &rest);
	region = str_split(rest, ' ', &cpu_text);
	host = str_split(address, ':', &port_text);
	if (!host.len || host.len >= sizeof(out->ip) || !str_to_u64(port_text, 65535, &port) ||
	    !region.len || region.len >= sizeof(out->region) ||
	    !str_to_u64(cpu_text, UINT32_MAX, &cpu))
		return false;
	memcpy(out->ip, host.ptr, host.len);
	if ((!port || inet_pton(AF_INET, out->ip, &ignored) != 1) && !MUTANT(gateway_any_member))
		return false;
	memcpy(out->region, region.ptr, region.len);
	out->port = (uint32_t)port;
	out->cpu_millis = (uint32_t)cpu;
	return true;
}

static bool is_same_address(const struct gateway_member *a, const struct gateway_member *b)
{
	return a->port == b->port && strcmp(a->ip, b->ip) == 0;
}

static void update_member(struct gateway *g, const struct meta_row *row)
{
	char id[FLEET_NAME_BYTES];
	struct gateway_member parsed;
	struct gateway_member *m;
	bool valid = !row->deleted && parse_member(row->value, &parsed);

	snprintf(id, sizeof(id), "%.*s", STR_ARG(row->key));
	HASH_FIND_STR(g->members, id, m);
	if (!row->deleted && !valid && row->version > g->newest_router_row)
		log_warn(&log, "row of gateway %s cannot be read: %.*s", id, STR_ARG(row->value));
	if (m && (!valid || !is_same_address(m, &parsed))) {
		remove_member(g, m);
		m = NULL;
	}
	if (!valid)
		return;
	if (!m) {
		m = calloc(1, sizeof(*m));
		if (!m)
			abort();
		*m = parsed;
		memcpy(m->id, id, sizeof(id));
		m->id_hash = str_hash(str_from(id));
		HASH_ADD_STR(g->members, id, m);
		log_info(&log, "gateway %s at %s:%u in %s is registered", id, m->ip, m->port,
			 m->region);
	}
	m->row = row->version;
	m->cpu_millis = parsed.cpu_millis;
	memcpy(m->region, parsed.region, sizeof(m->region));
}

static void set_registered(struct gateway *g, bool registered)
{
	if (registered && !g->registered)
		g->registered_since = clk_now();
	g->registered = registered;
}

/* Whether the table has a row with the present address of this gateway. */
static bool own_row_is_current(const struct gateway *g)
{
	struct gateway_member *m;

	HASH_FIND_STR(g->members, g->id, m);
	return m && m->port == g->settings.peers.port && strcmp(m->ip, g->settings.peers.ip) == 0;
}

/* Whether the store was restored from a copy without the row of this gateway. */
static bool own_row_is_lost(const struct gateway *g)
{
	struct gateway_member *m;

	HASH_FIND_STR(g->members, g->id, m);
	return m && meta_era(m->row) < meta_era(watch_version(g->watch, META_ROUTERS)) &&
	       !MUTANT(gateway_stay_lost);
}

void gateway_on_router_rows(struct gateway *g, const struct meta_answer *a)
{
	bool was_lost = g->row_lost;

	if (a->version < g->newest_router_row)
		g->newest_router_row = 0;
	for (size_t i = 0; i < a->n_rows; i++)
		update_member(g, &a->rows[i]);
	for (size_t i = 0; i < a->n_rows; i++) {
		if (a->rows[i].version > g->newest_router_row)
			g->newest_router_row = a->rows[i].version;
	}
	g->members_known = true;
	set_registered(g, own_row_is_current(g));
	g->row_lost = own_row_is_lost(g);
	if (g->row_lost && !was_lost)
		log_warn(&log,
			 "the restored store lacks the row of this gateway; writing it again");
	g->mesh_changed = true;
}

/* ---- registration --------------------------------------------------------------------------- */

static void join_call_ended(struct gateway *g, const struct meta_answer *a)
{
	g->joining = false;
	watch_record_answer(g->watch, a);
	if (a->status == META_OK) {
		g->join_pause = JOIN_RETRY_FIRST_MS;
		return;
	}
	g->join_next = clk_now() + g->join_pause;
	g->join_pause *= 2;
	if (g->join_pause > JOIN_RETRY_MAX_MS)
		g->join_pause = JOIN_RETRY_MAX_MS;
}

static void on_members_read(void *data, const struct meta_answer *a)
{
	struct gateway *g = data;
	struct watch_copy copy = {.answer = a};

	join_call_ended(g, a);
	if (a->status != META_OK) {
		log_warn(&log, "the table of gateways cannot be read: %s",
			 meta_status_name(a->status));
		return;
	}
	/* An active watch reads the table itself. */
	watch_apply_copy(g->watch, META_ROUTERS, &copy);
	g->members_known = true;
}

/* Length of the value of a row. */
#define ROW_BYTES (sizeof("255.255.255.255:65535") + FLEET_NAME_BYTES + 16)

static struct str own_row(const struct gateway *g, char value[ROW_BYTES])
{
	snprintf(value, ROW_BYTES, "%s:%u %.*s %u", g->settings.peers.ip, g->settings.peers.port,
		 STR_ARG(g->settings.region), g->settings.cpu_millis);
	return str_from(value);
}

static void on_registered(void *data, const struct meta_answer *a)
{
	struct gateway *g = data;
	char value[ROW_BYTES];
	struct meta_row row = {
		.key = str_from(g->id), .value = own_row(g, value), .version = a->version};

	join_call_ended(g, a);
	if (a->status != META_OK) {
		log_warn(&log, "registration of this gateway is not confirmed: %s",
			 meta_status_name(a->status));
		return;
	}
	/* A passive watch does not read the row back. */
	update_member(g, &row);
	set_registered(g, true);
	g->row_lost = own_row_is_lost(g);
	g->mesh_changed = true;
}

static void commit_registration(struct gateway *g)
{
	char value[ROW_BYTES];
	struct meta_change change = {
		.key = str_from(g->id), .write = true, .value = own_row(g, value)};

	g->platform->store->commit(g->meta, META_ROUTERS, &change, 1, on_registered, g);
}

static clk_ms first_join_delay(const struct gateway *g)
{
	clk_ms delay = g->settings.cpu_millis ? FIRST_JOIN_CORE_MS * 1000 / g->settings.cpu_millis
					      : FIRST_JOIN_MAX_MS;

	if (delay > FIRST_JOIN_MAX_MS)
		delay = FIRST_JOIN_MAX_MS;
	return delay + (clk_ms)(g->node % (uint64_t)(delay + 1));
}

/*
 * Reads the table of gateways and registers this one. At a restart the table is read first: it has
 * the row already. At the first start of the deployment the row is written first, so that gateways
 * which read after this one find it.
 */
static void join(struct gateway *g, clk_ms now)
{
	bool first = g->settings.first_start;

	if (g->joining || g->draining || now < g->join_next ||
	    (g->members_known && g->registered && !g->row_lost))
		return;
	if (first && now - g->started < first_join_delay(g))
		return;
	g->joining = true;
	if ((!g->registered || g->row_lost) && (first || g->members_known))
		commit_registration(g);
	else
		g->platform->store->read(g->meta, META_ROUTERS, on_members_read, g);
}

/* ---- hubs ----------------------------------------------------------------------------------- */

static bool is_self(const struct gateway *g, const struct gateway_member *m)
{
	return strcmp(m->id, g->id) == 0;
}

/* Records which members are connected, and since when the others are not. */
static void note_connections(struct gateway *g, clk_ms now)
{
	const struct gateway_peer *p;
	struct gateway_member *m;

	for (m = g->members; m; m = m->hh.next)
		m->connected = is_self(g, m);
	for (p = g->peer_states; p; p = p->hh.next) {
		HASH_FIND_STR(g->members, p->name, m);
		if (m)
			m->connected = true;
	}
	for (m = g->members; m; m = m->hh.next) {
		if (m->connected)
			m->missing_since = 0;
		else if (!m->missing_since)
			m->missing_since = now;
	}
}

static bool is_lost(const struct gateway_member *m, clk_ms now)
{
	return m->target && m->missing_since && now - m->missing_since > HUB_LOST_MS;
}

static void choose_hubs_of(struct gateway *g, const char *region, clk_ms now)
{
	size_t max = HASH_COUNT(g->members);
	struct hubs_gateway *list = calloc(max + 1, sizeof(*list));
	struct gateway_member *m;
	size_t n = 0;

	if (!list)
		abort();
	for (m = g->members; m; m = m->hh.next) {
		if (strcmp(m->region, region) != 0)
			continue;
		m->chosen = true;
		list[n++] = (struct hubs_gateway){
			.id = m->id_hash,
			.cpu_millis = m->cpu_millis,
			.lost = is_lost(m, now),
			.data = m,
		};
	}
	hubs_choose(list, n);
	for (size_t i = 0; i < n; i++) {
		m = list[i].data;
		m->hub = list[i].hub;
	}
	free(list);
}

/* Whether this gateway opens a connection to the member if there is none. */
static bool should_dial(const struct gateway *g, const struct gateway_member *m, clk_ms now)
{
	bool is_leaf_here = g->is_hub && str_eq_cstr(g->settings.region, m->region);

	/* A lost hub stays a target, so that it is a hub again when it returns. */
	if (m->hub || is_lost(m, now))
		return true;
	return is_leaf_here && m->missing_since && now - m->missing_since > MISSING_LEAF_MS;
}

static void apply_hubs(struct gateway *g, clk_ms now)
{
	struct gateway_member *self;
	struct gateway_member *m;
	struct gateway_peer *p;
	bool was_hub = g->is_hub;

	HASH_FIND_STR(g->members, g->id, self);
	g->is_hub = g->members_known && self && self->hub;
	if (g->is_hub != was_hub) {
		ctr_inc(&ctr_hub_changes);
		log_info(&log, "this gateway is %s", g->is_hub ? "a hub" : "no hub");
	}
	for (p = g->peer_states; p; p = p->hh.next) {
		HASH_FIND_STR(g->members, p->name, m);
		p->hub = m && m->hub;
	}
	for (m = g->members; m; m = m->hh.next) {
		if (is_self(g, m))
			continue;
		if (!should_dial(g, m, now)) {
			remove_target(g, m);
			continue;
		}
		if (!m->target)
			peer_add_address(g->peers, m->ip, m->port);
		m->target = true;
	}
}

void gateway_update_mesh(struct gateway *g, clk_ms now)
{
	struct gateway_member *m;

	join(g, now);
	if (!g->mesh_changed && now - g->mesh_updated < CHOICE_INTERVAL_MS)
		return;
	g->mesh_changed = false;
	g->mesh_updated = now;
	note_connections(g, now);
	for (m = g->members; m; m = m->hh.next)
		m->chosen = false;
	for (m = g->members; m; m = m->hh.next) {
		if (!m->chosen)
			choose_hubs_of(g, m->region, now);
	}
	apply_hubs(g, now);
}

void gateway_mesh_open(struct gateway *g)
{
	g->join_pause = JOIN_RETRY_FIRST_MS;
	g->mesh_changed = true;
}

void gateway_mesh_close(struct gateway *g)
{
	struct gateway_member *m;
	struct gateway_member *tmp;

	HASH_ITER (hh, g->members, m, tmp) {
		HASH_DEL(g->members, m);
		free(m);
	}
}
