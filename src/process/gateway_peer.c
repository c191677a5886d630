/*
 * The other gateways: heartbeats, and which gateway is admission controller of a pool of slots or
 * shard manager of a service. The admission controller follows from a rendezvous hash over the
 * gateways that are connected; the role of shard manager is a row of the store, and this module
 * decides when this gateway tries to take it.
 */
#include "process/gateway_priv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"
#include "base/rnd.h"

/*
 * Intervals of heartbeats. A hub takes roles from another hub that fails, so hubs of a region watch
 * each other closely; a shard manager needs to hear from all whether the store answers them, and
 * all whether it lives. Between other gateways heartbeats only show a connection that went silent.
 */
#define HUB_HEARTBEAT_MS 200
#define ROLE_HEARTBEAT_MS 400
#define LEAF_HEARTBEAT_MS 2000
/* Links between regions are billed by volume. */
#define REMOTE_HEARTBEAT_MS 10000
/* A connection is closed when nothing was received for this many intervals of its heartbeats. */
#define TIMEOUT_INTERVALS 3
/* A gateway that does not answer slot requests and was silent for this long gets none for a time.
 */
#define NO_ANSWER_SILENCE_MS 500
#define NO_ANSWER_PAUSE_MS 1000
/* A gateway that is no hub waits this much longer before it tries to become shard manager. */
#define LEAF_CANDIDATE_DELAY_MS 3000
/* A shard manager without a heartbeat for this long counts as failed. */
#define SHARDMGR_LOST_MS 1000
/* A shard manager cut off from the store for this long is replaced by a gateway that reaches it. */
#define SHARDMGR_CUT_OFF_MS 600
/*
 * A shard manager whose store has not answered for this long counts as cut off from the store. It
 * confirms its role at the store every 0.9 s (SHARDMGR_CONFIRM_MS).
 */
#define SHARDMGR_STORE_ANSWER_AGE_MS 1500
/* Delay per rank: candidates for shard manager try one after the other. */
#define CANDIDATE_STEP_MS 200
/* A gateway counts as nearer to the store if the store's answers are faster by more than this. */
#define STORE_LATENCY_MARGIN_MS 8
/* No election before this time after the start, since the peers have to connect first. */
#define FIRST_ELECTION_MS 800
/*
 * Admission controllers and readers have at least this share of the CPU time of that gateway of the
 * region that has the most. A candidate for shard manager with less than this share of another
 * candidate's CPU time ranks after that one.
 */
#define MIN_ROLE_CPU_SHARE 0.5
/* Rows that a peer has newer are requested if they have not arrived by themselves in this time. */
#define BEHIND_PEER_MS 500
#define BEHIND_REMOTE_MS 2000

static const struct log log = {"peers"};
CTR(ctr_heartbeats_sent, "pulses_total", "Pulses sent to other gateways.");
CTR(ctr_unscheduled, "pulses_unscheduled_total",
    "Pulses sent before they were due: to a new peer, or after a change of this gateway.");

struct gateway_peer *gateway_find_peer(struct gateway *g, uint64_t node)
{
	struct gateway_peer *p;

	HASH_FIND(hh, g->peer_states, &node, sizeof(node), p);
	return p;
}

/* ---- frames --------------------------------------------------------------------------------- */

void gateway_broadcast(struct gateway *g, Bc__Frame *frame)
{
	struct gateway_peer *p;
	struct gateway_peer *tmp;

	HASH_ITER (hh, g->peer_states, p, tmp)
		peer_send(g->peers, p->node, frame);
}

bool gateway_send(void *gateway, uint64_t node, Bc__Frame *frame)
{
	return peer_send(((struct gateway *)gateway)->peers, node, frame);
}

bool gateway_in_same_region(const struct gateway *g, const struct gateway_peer *p)
{
	return str_eq_cstr(g->settings.region, p->region);
}

/* Returns the interval at which this gateway sends heartbeats to the peer. */
static clk_ms heartbeat_interval(const struct gateway *g, const struct gateway_peer *p)
{
	bool same_region = gateway_in_same_region(g, p);

	if (same_region && g->is_hub && p->hub)
		return HUB_HEARTBEAT_MS;
	if (gateway_is_shardmgr(g) || p->n_manages || (same_region && g->is_hub))
		return ROLE_HEARTBEAT_MS;
	return same_region ? LEAF_HEARTBEAT_MS : REMOTE_HEARTBEAT_MS;
}

static void list_managed(struct gateway *g, struct arena *a, Bc__Pulse *msg)
{
	struct gateway_service *s;

	msg->keeper = arena_alloc(a, GATEWAY_MAX_MANAGED * sizeof(*msg->keeper));
	for (s = g->services; s && msg->n_keeper < GATEWAY_MAX_MANAGED; s = s->hh.next) {
		Bc__KeeperTerm *term;

		if (!s->shardmgr || !shardmgr_is_active(s->shardmgr))
			continue;
		term = arena_alloc(a, sizeof(*term));
		*term = (Bc__KeeperTerm)BC__KEEPER_TERM__INIT;
		term->service = s->name;
		term->term = shardmgr_term(s->shardmgr);
		term->version = shardmgr_map_version(s->shardmgr);
		term->unsure = shardmgr_is_unsure(s->shardmgr);
		msg->keeper[msg->n_keeper++] = term;
	}
}

/* Lists the highest terms that this gateway knows: it supports no lower ones. */
static void list_followed(struct gateway *g, struct arena *a, Bc__Pulse *msg)
{
	struct gateway_service *s;

	msg->follows = arena_alloc(a, GATEWAY_MAX_MANAGED * sizeof(*msg->follows));
	for (s = g->services; s && msg->n_follows < GATEWAY_MAX_MANAGED; s = s->hh.next) {
		Bc__KeeperTerm *term;

		if (!s->shardmgr || !shardmgr_followed_term(s->shardmgr))
			continue;
		term = arena_alloc(a, sizeof(*term));
		*term = (Bc__KeeperTerm)BC__KEEPER_TERM__INIT;
		term->service = s->name;
		term->term = shardmgr_followed_term(s->shardmgr);
		term->before = shardmgr_former_term(s->shardmgr);
		term->counted = s->counted_in;
		msg->follows[msg->n_follows++] = term;
	}
}

static void fill_heartbeat(struct gateway *g, struct arena *a, Bc__Pulse *msg)
{
	*msg = (Bc__Pulse)BC__PULSE__INIT;
	list_managed(g, a, msg);
	list_followed(g, a, msg);
	msg->draining = g->draining;
	msg->store_ok = watch_store_ok(g->watch);
	msg->reads = !watch_is_passive(g->watch);
	msg->read_failed = gateway_read_failed(g, clk_now());
	msg->store_ms = (uint32_t)watch_store_latency(g->watch);
	msg->cpu_millis = g->settings.cpu_millis;
	msg->store_age_ms = (uint32_t)(clk_now() - watch_last_answer(g->watch));
	msg->config_row = watch_newest_row(g->watch, META_CONFIG);
	msg->upstreams_row = watch_newest_row(g->watch, META_UPSTREAMS);
	msg->routers_row = watch_newest_row(g->watch, META_ROUTERS);
	msg->store_era = watch_answer_era(g->watch);
}

/* Whether this gateway, shard manager of the service, counts the peer as a supporter. */
static bool counts_peer(struct gateway *g, const struct gateway_peer *p, const char *service)
{
	const struct gateway_service *s = gateway_keyed_service(g, service);

	return s && voters_counts(&s->voters, p->id, p->node);
}

static void send_heartbeat(struct gateway *g, struct gateway_peer *p, const Bc__Pulse *filled)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Pulse msg = *filled;

	msg.interval_ms = (uint32_t)heartbeat_interval(g, p);
	for (size_t i = 0; i < msg.n_keeper; i++)
		msg.keeper[i]->counts = counts_peer(g, p, msg.keeper[i]->service);
	msg.sent_ms = msg.n_keeper ? (uint64_t)clk_now() : 0;
	if (p->n_manages)
		msg.echo_ms = p->asked_ms;
	else
		msg.n_follows = 0;
	frame.body_case = BC__FRAME__BODY_PULSE;
	frame.pulse = &msg;
	p->heartbeat_sent = clk_now();
	ctr_inc(&ctr_heartbeats_sent);
	peer_send(g->peers, p->node, &frame);
}

/* Which peers get a heartbeat. */
enum audience { AUDIENCE_DUE, AUDIENCE_REGION, AUDIENCE_ALL };

static bool is_in_audience(const struct gateway *g, const struct gateway_peer *p,
			   enum audience audience, clk_ms now)
{
	switch (audience) {
	case AUDIENCE_DUE:
		return now - p->heartbeat_sent >= heartbeat_interval(g, p);
	case AUDIENCE_REGION:
		return gateway_in_same_region(g, p);
	case AUDIENCE_ALL:
		break;
	}
	return true;
}

static void send_heartbeats(struct gateway *g, enum audience audience, bool ask, clk_ms now)
{
	struct arena arena = ARENA_INIT;
	struct gateway_peer *p;
	struct gateway_peer *tmp;
	Bc__Pulse msg;

	fill_heartbeat(g, &arena, &msg);
	msg.ask = ask;
	HASH_ITER (hh, g->peer_states, p, tmp) {
		if (!is_in_audience(g, p, audience, now))
			continue;
		if (audience != AUDIENCE_DUE)
			ctr_inc(&ctr_unscheduled);
		send_heartbeat(g, p, &msg);
	}
	arena_free(&arena);
}

void gateway_send_heartbeat(struct gateway *g, bool all_regions)
{
	send_heartbeats(g, all_regions ? AUDIENCE_ALL : AUDIENCE_REGION, false, clk_now());
}

void gateway_send_due_heartbeats(struct gateway *g, clk_ms now)
{
	send_heartbeats(g, AUDIENCE_DUE, false, now);
}

void gateway_ask_peers(void *gateway)
{
	send_heartbeats(gateway, AUDIENCE_ALL, true, clk_now());
}

/* Sends a peer a heartbeat before it is due. */
static void send_heartbeat_now(struct gateway *g, struct gateway_peer *p)
{
	struct arena arena = ARENA_INIT;
	Bc__Pulse msg;

	fill_heartbeat(g, &arena, &msg);
	ctr_inc(&ctr_unscheduled);
	send_heartbeat(g, p, &msg);
	arena_free(&arena);
}

static void send_first_heartbeat(struct gateway *g, struct gateway_peer *p)
{
	if (MUTANT(gateway_greet_all))
		gateway_send_heartbeat(g, true);
	else
		send_heartbeat_now(g, p);
}

/*
 * Returns how long newer rows of a peer may be missing until they are requested from it: a reader
 * sends them by itself soon after it has them, but not while this gateway reads, so that one that
 * just gave up may have missed some. Peers of other regions come last, since the tables would cross
 * the link between the regions.
 */
static clk_ms catch_up_wait(const struct gateway *g, const struct gateway_peer *p, clk_ms now)
{
	bool known = g->topo && g->have_upstreams;

	if (!gateway_in_same_region(g, p))
		return BEHIND_REMOTE_MS;
	return known && !gateway_read_failed(g, now) ? BEHIND_PEER_MS : 0;
}

/* Requests rows that a peer has newer, while the store does not answer this gateway. */
static void catch_up(struct gateway *g, const struct gateway_peer *p, const Bc__Pulse *msg)
{
	const struct catchup_report reports[] = {
		{META_CONFIG, watch_version(g->watch, META_CONFIG), msg->config_row},
		{META_UPSTREAMS, watch_version(g->watch, META_UPSTREAMS), msg->upstreams_row},
		{META_ROUTERS, watch_version(g->watch, META_ROUTERS), msg->routers_row},
	};
	clk_ms now = clk_now();
	clk_ms wait = catch_up_wait(g, p, now);
	bool behind = false;

	if (watch_store_ok(g->watch))
		return;
	for (size_t i = 0; i < sizeof(reports) / sizeof(reports[0]); i++)
		behind |= catchup_heard(&g->catchup, &reports[i], wait, now);
	if (behind)
		gateway_request_copies(g, p->node, now);
}

/*
 * Whether the peer is in the table of gateways, if this is known. What others say about owners of
 * keys and rows of the store is not taken, since terms and versions that are made up would be
 * believed for good.
 */
static bool is_registered(const struct gateway *g, struct gateway_peer *p)
{
	struct gateway_member *m;

	HASH_FIND_STR(g->members, p->name, m);
	if (m || !g->members_known || MUTANT(gateway_trust_strangers))
		return true;
	if (!p->stranger_logged)
		log_warn(&log, "peer %s is not registered; its maps, rows and roles are not used",
			 p->name);
	p->stranger_logged = true;
	return false;
}

/* A peer without an answer of the store tells the time of its start instead, and no era. */
static void note_peer_store(struct gateway *g, const struct gateway_peer *p, const Bc__Pulse *msg)
{
	if ((msg->store_era && msg->store_era <= META_MAX_ERA) || MUTANT(gateway_count_start))
		storeseen_heard(&g->peers_store, msg->store_era, p->store_answered_at);
}

/* Whether the peer is shard manager of the service; sets the term of the role. */
static bool manages(const struct gateway_peer *p, uint64_t service, uint64_t *term)
{
	for (size_t i = 0; i < p->n_manages; i++) {
		if (p->manages[i].service == service) {
			*term = p->manages[i].term;
			return true;
		}
	}
	return false;
}

/* Whether the peer has a role that it did not name before: it waits for consent to its term. */
static bool names_new_term(const struct gateway_peer *p, const Bc__Pulse *msg)
{
	for (size_t i = 0; i < msg->n_keeper; i++) {
		uint64_t term;

		if (!manages(p, str_hash(str_from(msg->keeper[i]->service)), &term) ||
		    term != msg->keeper[i]->term)
			return !MUTANT(gateway_answer_later);
	}
	return false;
}

/*
 * Records what process `node` of gateway `id` says of the roles of this one; a higher term ends the
 * role.
 */
static void on_followed(struct gateway *g, uint64_t id, uint64_t node, const Bc__Pulse *msg)
{
	for (size_t i = 0; i < msg->n_follows; i++) {
		const Bc__KeeperTerm *followed = msg->follows[i];
		struct gateway_service *s = gateway_keyed_service(g, followed->service);

		if (!s || !shardmgr_is_active(s->shardmgr))
			continue;
		if (followed->term > shardmgr_term(s->shardmgr)) {
			shardmgr_observe_term(s->shardmgr, followed->term);
			continue;
		}
		voters_heard(&s->voters,
			     &(struct vote){
				     .id = id,
				     .node = node,
				     .follows = followed->term,
				     .before = followed->before,
				     .counted_in = followed->counted,
				     .asked_at = (clk_ms)msg->echo_ms,
			     },
			     clk_now());
		shardmgr_votes_changed(s->shardmgr);
	}
}

/*
 * Updates the state of a peer from its heartbeat; `msg->keeper` lists the services for which the
 * peer is shard manager. Requests ownership maps and table rows that the peer has newer.
 */
static void on_heartbeat(struct gateway *g, struct gateway_peer *p, const Bc__Pulse *msg)
{
	/* Only hubs vote: answers of all gateways at once would be too many in a large deployment.
	 */
	bool answer_now = g->is_hub && (msg->ask || names_new_term(p, msg));
	uint64_t node = p->node;

	p->draining = msg->draining;
	p->store_ok = msg->store_ok;
	p->store_ms = msg->store_ms;
	p->cpu_millis = msg->cpu_millis;
	p->heartbeat_received = clk_now();
	if (msg->interval_ms)
		peer_set_timeout(g->peers, p->node, TIMEOUT_INTERVALS * (clk_ms)msg->interval_ms);
	p->store_answered_at = p->heartbeat_received - (clk_ms)msg->store_age_ms;
	if (p->reads != msg->reads)
		p->reader_changed_at = p->heartbeat_received;
	p->reads = msg->reads;
	p->read_failed = msg->read_failed;
	p->n_manages = 0;
	p->asked_ms = msg->sent_ms;
	if (!is_registered(g, p))
		return;
	note_peer_store(g, p, msg);
	on_followed(g, p->id, node, msg);
	for (size_t i = 0; i < msg->n_keeper && p->n_manages < GATEWAY_MAX_MANAGED; i++) {
		struct gateway_service *s = gateway_keyed_service(g, msg->keeper[i]->service);

		p->manages[p->n_manages].service = str_hash(str_from(msg->keeper[i]->service));
		p->manages[p->n_manages].term = msg->keeper[i]->term;
		p->manages[p->n_manages].version = msg->keeper[i]->version;
		p->manages[p->n_manages].unsure = msg->keeper[i]->unsure;
		p->n_manages++;
		if (!s)
			continue;
		if (msg->keeper[i]->counts && msg->keeper[i]->term > s->counted_in)
			s->counted_in = msg->keeper[i]->term;
		shardmgr_observe_term(s->shardmgr, msg->keeper[i]->term);
		gateway_check_map(g, s, p->node, msg->keeper[i]->term, msg->keeper[i]->version);
	}
	watch_report_peer_row(g->watch, META_CONFIG, msg->config_row);
	watch_report_peer_row(g->watch, META_UPSTREAMS, msg->upstreams_row);
	catch_up(g, p, msg);
	/* A failed send may have ended the connection. */
	p = gateway_find_peer(g, node);
	if (answer_now && p)
		send_heartbeat_now(g, p);
}

uint64_t gateway_relay_of(const struct gateway *g, uint64_t leaf)
{
	uint64_t best = g->is_hub ? g->node : 0;
	const struct gateway_peer *p;

	for (p = g->peer_states; p; p = p->hh.next) {
		if (p->hub && gateway_in_same_region(g, p) &&
		    (!best || rnd_mix(leaf, p->node) > rnd_mix(leaf, best)))
			best = p->node;
	}
	return best;
}

/* Passes a frame on to the gateways that are not connected to its sender and rely on this hub. */
static void relay_to_region(struct gateway *g, uint64_t sender, Bc__Frame *frame)
{
	struct gateway_peer *p;
	struct gateway_peer *tmp;

	if (!g->is_hub)
		return;
	HASH_ITER (hh, g->peer_states, p, tmp) {
		if (!p->hub && p->node != sender && gateway_in_same_region(g, p) &&
		    gateway_relay_of(g, p->id) == g->node)
			gateway_send(g, p->node, frame);
	}
}

static void on_crash_frame(struct gateway *g, uint64_t from, const Bc__Crash *msg)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Crash copy = *msg;

	quarantine_crash(g->crashes, clk_now(), msg->fingerprint, msg->upstream);
	copy.relay = false;
	frame.body_case = BC__FRAME__BODY_CRASH;
	frame.crash = &copy;
	if (msg->relay)
		relay_to_region(g, from, &frame);
}

static void on_leaving_frame(struct gateway *g, uint64_t from, const Bc__Leaving *msg)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Leaving copy = *msg;

	if (fleet_note_leaving(g->fleet, msg->upstream, msg->started))
		gateway_sync_services(g);
	copy.relay = false;
	frame.body_case = BC__FRAME__BODY_LEAVING;
	frame.leaving = &copy;
	if (msg->relay)
		relay_to_region(g, from, &frame);
}

static void on_frame(void *data, const struct peer_info *from, const Bc__Frame *frame)
{
	struct gateway *g = data;
	struct gateway_peer *p = gateway_find_peer(g, from->node);

	switch (frame->body_case) {
	case BC__FRAME__BODY_PULSE:
		if (p)
			on_heartbeat(g, p, frame->pulse);
		break;
	case BC__FRAME__BODY_TABLE_GET:
		gateway_send_copy(g, from->node, frame->table_get);
		break;
	case BC__FRAME__BODY_TABLE_COPY:
		if (p && is_registered(g, p))
			gateway_apply_copy(g, from->node, frame->table_copy);
		break;
	case BC__FRAME__BODY_KEY_MAP:
		if (p && is_registered(g, p))
			gateway_on_key_frame(g, from->node, frame);
		break;
	case BC__FRAME__BODY_CRASH:
		on_crash_frame(g, from->node, frame->crash);
		break;
	case BC__FRAME__BODY_LEAVING:
		if (p && is_registered(g, p))
			on_leaving_frame(g, from->node, frame->leaving);
		break;
	case BC__FRAME__BODY_LIMIT_ASK:
	case BC__FRAME__BODY_LIMIT_GRANT:
		if (p && is_registered(g, p))
			gateway_on_limit_frame(g, from->node, frame);
		break;
	default:
		if (!gateway_on_key_frame(g, from->node, frame))
			slots_on_frame(g->slots, from->node, frame);
		break;
	}
}

static void on_up(void *data, const struct peer_info *peer)
{
	struct gateway *g = data;
	struct gateway_peer *p = gateway_find_peer(g, peer->node);
	struct gateway_service *s;
	struct gateway_member *m;

	if (!p) {
		p = calloc(1, sizeof(*p));
		if (!p)
			abort();
		p->node = peer->node;
		p->id = str_hash(str_from(peer->id));
		snprintf(p->name, sizeof(p->name), "%s", peer->id);
		snprintf(p->region, sizeof(p->region), "%s", peer->region);
		HASH_ADD(hh, g->peer_states, node, sizeof(p->node), p);
	}
	g->mesh_changed = true;
	HASH_FIND_STR(g->members, peer->id, m);
	p->hub = m && m->hub;
	for (s = g->services; s; s = s->hh.next)
		voters_connected(&s->voters, p->id, p->node, clk_now());
	send_first_heartbeat(g, p);
	gateway_send_maps(g, p);
}

/*
 * Whether this gateway has the ownership map that the peer, shard manager of the service, named
 * last, and no other gateway may have made a later one. The peer sends its maps to the gateways of
 * its region and to hubs.
 */
static bool has_map_of(const struct gateway *g, const struct gateway_service *s,
		       const struct gateway_peer *p, const struct gateway_managed *m)
{
	if (m->unsure && !MUTANT(gateway_trust_unsure))
		return false;
	return (gateway_in_same_region(g, p) || g->is_hub) && !s->map_requests &&
	       shardmgr_map_is_known(s->shardmgr, m->term, m->version) &&
	       !MUTANT(gateway_forget_maps);
}

/* Records that a shard manager closed its connection, and whether all its maps were received. */
static void note_manager_closed(struct gateway *g, const struct gateway_peer *p,
				const struct peer_info *peer)
{
	struct gateway_service *s;

	for (s = g->services; s; s = s->hh.next) {
		for (size_t i = 0; s->shardmgr && i < p->n_manages; i++) {
			struct manager_end_close close = {
				.ip = peer->ip,
				.peer_port = peer->peer_port,
				.term = p->manages[i].term,
				.id = p->id,
				.closed_by_peer = peer->closed_by_peer,
			};

			if (p->manages[i].service != s->id)
				continue;
			close.has_maps = has_map_of(g, s, p, &p->manages[i]);
			manager_end_closed(&s->manager_end, &close, clk_now());
		}
	}
}

static void on_down(void *data, const struct peer_info *peer)
{
	struct gateway *g = data;
	struct gateway_peer *p = gateway_find_peer(g, peer->node);

	if (p) {
		note_manager_closed(g, p, peer);
		HASH_DEL(g->peer_states, p);
		free(p);
	}
	g->mesh_changed = true;
	slots_on_node_down(g->slots, peer->node);
	gateway_limits_node_down(g, peer->node, peer->closed_by_peer);
}

/* ---- roles ---------------------------------------------------------------------------------- */

struct gateway_peer *gateway_find_shardmgr(struct gateway *g, uint64_t service, clk_ms now)
{
	struct gateway_peer *best = NULL;
	uint64_t best_term = 0;
	struct gateway_peer *p;

	for (p = g->peer_states; p; p = p->hh.next) {
		uint64_t term;

		if (!manages(p, service, &term) || now - p->heartbeat_received > SHARDMGR_LOST_MS)
			continue;
		if (!best || term > best_term) {
			best = p;
			best_term = term;
		}
	}
	return best;
}

bool gateway_has_all_maps(void *gateway, const char *service, uint64_t term)
{
	struct gateway *g = gateway;
	struct gateway_service *s = gateway_keyed_service(g, service);
	const struct gateway_peer *p = s ? gateway_find_shardmgr(g, s->id, clk_now()) : NULL;

	if (!s)
		return false;
	/* It is stopping, or cut off from the store: it starts no more moves. */
	for (size_t i = 0; p && i < p->n_manages; i++) {
		if (p->manages[i].service == s->id && p->manages[i].term == term &&
		    has_map_of(g, s, p, &p->manages[i]))
			return true;
	}
	return manager_end_is_known(&s->manager_end, term);
}

uint32_t gateway_min_role_cpu(const struct gateway *g, const char *region)
{
	bool includes_self = g->is_hub && str_eq_cstr(g->settings.region, region) && !g->draining;
	uint32_t max_cpu = includes_self ? g->settings.cpu_millis : 0;
	const struct gateway_peer *p;

	for (p = g->peer_states; p; p = p->hh.next) {
		if (p->hub && !p->draining && p->cpu_millis > max_cpu &&
		    strcmp(p->region, region) == 0)
			max_cpu = p->cpu_millis;
	}
	return (uint32_t)(max_cpu * MIN_ROLE_CPU_SHARE);
}

/*
 * Returns the hub of the region with the highest rendezvous weight for `id`, among those with
 * enough CPU time that are not draining and not silent; 0 if there is none.
 */
static uint64_t highest_weight(const struct gateway *g, const char *region, uint64_t id)
{
	uint32_t min_cpu = gateway_min_role_cpu(g, region);
	uint64_t best = 0;
	uint64_t best_weight = 0;
	const struct gateway_peer *p;
	clk_ms now = clk_now();

	if (g->is_hub && str_eq_cstr(g->settings.region, region) && !g->draining &&
	    g->settings.cpu_millis >= min_cpu) {
		best = g->node;
		best_weight = rnd_mix(id, g->node);
	}
	for (p = g->peer_states; p; p = p->hh.next) {
		uint64_t weight = rnd_mix(id, p->node);

		if (!p->hub || p->draining || p->cpu_millis < min_cpu || now < p->silent_until ||
		    strcmp(p->region, region) != 0 || (best && weight <= best_weight))
			continue;
		best = p->node;
		best_weight = weight;
	}
	return best;
}

void gateway_note_no_answer(void *gateway, uint64_t node)
{
	struct gateway *g = gateway;
	struct gateway_peer *p = gateway_find_peer(g, node);

	if (p && peer_silence(g->peers, node) > NO_ANSWER_SILENCE_MS)
		p->silent_until = clk_now() + NO_ANSWER_PAUSE_MS;
}

/*
 * Each upstream of a keyed service has its own admission controller, in the upstream's region.
 * Returns that of the key's owner, 0 if the owner or its region is not known.
 */
static uint64_t controller_of_key(struct gateway *g, const struct slot_pool *pool, uint32_t key)
{
	uint64_t owner = gateway_owner(g, pool->service, key);
	struct str region = gateway_region_of(g, owner);
	char name[FLEET_NAME_BYTES];

	if (!region.len)
		return 0;
	snprintf(name, sizeof(name), "%.*s", STR_ARG(region));
	return highest_weight(g, name, owner);
}

uint64_t gateway_controller(void *gateway, const struct slot_pool *pool, uint32_t key)
{
	struct gateway *g = gateway;

	return pool->keyed ? controller_of_key(g, pool, key)
			   : highest_weight(g, pool->region, pool->id);
}

/*
 * Whether the peer comes before this gateway in the order of candidates for shard manager. A
 * gateway with far more CPU time comes first, since a shard manager renews all leases; then the one
 * nearer to the store, since each move of keys writes the ownership map there.
 */
static bool ranks_before(const struct gateway *g, const struct gateway_peer *p, uint64_t service)
{
	clk_ms own = watch_store_latency(g->watch);

	if (g->settings.cpu_millis < p->cpu_millis * MIN_ROLE_CPU_SHARE)
		return true;
	if (p->cpu_millis < g->settings.cpu_millis * MIN_ROLE_CPU_SHARE)
		return false;
	if (p->store_ms + STORE_LATENCY_MARGIN_MS < own)
		return true;
	if (own + STORE_LATENCY_MARGIN_MS < p->store_ms)
		return false;
	return rnd_mix(service, p->node) > rnd_mix(service, g->node);
}

/* Returns the rank of this gateway among the candidates other than node `excluded`; 0 is first. */
static unsigned int candidate_rank(struct gateway *g, uint64_t service, uint64_t excluded)
{
	unsigned int rank = 0;
	struct gateway_peer *p;

	for (p = g->peer_states; p; p = p->hh.next) {
		if (p->node != excluded && !p->draining && p->store_ok &&
		    ranks_before(g, p, service))
			rank++;
	}
	return rank;
}

/*
 * Whether the shard manager reaches its store. A store that refuses calls clears `store_ok` at
 * once; one that does not answer shows only by the time since its last answer.
 */
static bool shardmgr_has_store(const struct gateway_peer *shardmgr, clk_ms now)
{
	return shardmgr->store_ok &&
	       (now - shardmgr->store_answered_at < SHARDMGR_STORE_ANSWER_AGE_MS ||
		MUTANT(gateway_trust_silence));
}

bool gateway_shardmgr_lacks_store(const struct gateway *g)
{
	const struct gateway_peer *p;
	clk_ms now = clk_now();

	for (p = g->peer_states; p; p = p->hh.next) {
		if (p->n_manages && !shardmgr_has_store(p, now) && !MUTANT(gateway_answer_rarely))
			return true;
	}
	return false;
}

static void elect(struct gateway *g, struct gateway_service *s, clk_ms now)
{
	struct gateway_peer *shardmgr;
	clk_ms wait;

	if (shardmgr_is_active(s->shardmgr)) {
		s->no_shardmgr_since = 0;
		return;
	}
	shardmgr = gateway_find_shardmgr(g, s->id, now);
	if (shardmgr && !shardmgr->draining &&
	    (shardmgr_has_store(shardmgr, now) || !watch_store_ok(g->watch))) {
		s->no_shardmgr_since = 0;
		return;
	}
	if (!s->no_shardmgr_since)
		s->no_shardmgr_since = now;
	wait = candidate_rank(g, s->id, shardmgr ? shardmgr->node : 0) * CANDIDATE_STEP_MS;
	if (shardmgr && !shardmgr->draining)
		wait += SHARDMGR_CUT_OFF_MS;
	if (!g->is_hub)
		wait += LEAF_CANDIDATE_DELAY_MS;
	if (now - s->no_shardmgr_since < wait || manager_end_pending(&s->manager_end, now) ||
	    !watch_store_ok(g->watch) || g->draining || shardmgr_is_acquiring(s->shardmgr))
		return;
	log_info(&log, "taking over the keys of %s: the keeper is %s", s->name,
		 !shardmgr	      ? "not heard"
		 : shardmgr->draining ? "stopping"
				      : "cut off from the store");
	s->no_shardmgr_since = now;
	shardmgr_acquire_role(s->shardmgr);
}

void gateway_elect(struct gateway *g, clk_ms now)
{
	struct gateway_service *s;

	/* Without upstreams there are no keys to manage. */
	if (!g->have_upstreams || now - g->started < FIRST_ELECTION_MS)
		return;
	for (s = g->services; s; s = s->hh.next) {
		struct manager_end *end = &s->manager_end;

		manager_end_refused(end, peer_refused_since(g->peers, end->ip, end->peer_port));
		if (s->shardmgr)
			elect(g, s, now);
	}
}

void gateway_electorate(void *gateway, struct electorate *out)
{
	const struct gateway *g = gateway;
	const struct gateway_member *m;

	out->n = 0;
	for (m = g->members; m; m = m->hh.next) {
		if (m->hub)
			electorate_add(out, m->id_hash);
	}
}

void gateway_role_confirmed(void *gateway, const char *service, clk_ms sent)
{
	struct gateway_service *s = gateway_keyed_service(gateway, service);

	if (!s)
		return;
	voters_role_confirmed(&s->voters, sent);
	s->counted_in = shardmgr_term(s->shardmgr);
}

bool gateway_peers_support(void *gateway, const char *service, const struct electorate *e,
			   uint64_t term, clk_ms since)
{
	struct gateway *g = gateway;
	const struct gateway_service *s = gateway_keyed_service(g, service);

	return s && voters_support(&s->voters, e, str_hash(str_from(g->id)), term, since);
}

bool gateway_peers_consent(void *gateway, const char *service, const struct electorate *e,
			   uint64_t term)
{
	struct gateway *g = gateway;
	const struct gateway_service *s = gateway_keyed_service(g, service);

	return s && voters_consent(&s->voters, e, str_hash(str_from(g->id)), term);
}

bool gateway_peers_knew_none_above(void *gateway, const char *service, const struct electorate *e,
				   uint64_t term, uint64_t last)
{
	struct gateway *g = gateway;
	const struct gateway_service *s = gateway_keyed_service(g, service);
	struct last_term known = {.last = last};

	if (!s)
		return false;
	if (manager_end_is_known(&s->manager_end, last))
		known.manager = s->manager_end.id;
	known.counted_in = s->counted_in;
	return voters_knew_none_above(&s->voters, e, str_hash(str_from(g->id)), term, &known);
}

/* Connections that go silent are closed: see TIMEOUT_INTERVALS. */
bool gateway_hears_most(void *gateway)
{
	struct gateway *g = gateway;
	size_t hubs = 1;
	size_t heard = 1;
	const struct gateway_member *m;
	const struct gateway_peer *p;

	for (m = g->members; m; m = m->hh.next)
		hubs += m->hub && strcmp(m->id, g->id) != 0;
	for (p = g->peer_states; p; p = p->hh.next)
		heard += p->hub;
	return heard * 2 > hubs;
}

bool gateway_hears_all(void *gateway)
{
	const struct gateway *g = gateway;
	const struct gateway_member *m;

	for (m = g->members; m; m = m->hh.next) {
		/* A lost hub is no hub here, but may be one for others. */
		if (m->target && !m->connected && (m->hub || !MUTANT(gateway_forget_lost)))
			return false;
	}
	return true;
}

clk_ms gateway_others_answered_at(void *gateway, uint64_t era)
{
	return storeseen_before(&((struct gateway *)gateway)->peers_store, era);
}

/* ---- lifetime ------------------------------------------------------------------------------- */

bool gateway_peers_open(struct gateway *g, struct err *err)
{
	static const struct peer_handlers handlers = {
		.on_frame = on_frame,
		.on_up = on_up,
		.on_down = on_down,
	};
	Bc__Hello hello = BC__HELLO__INIT;
	char incarnation[17];
	char region[FLEET_NAME_BYTES];
	char domain[FLEET_NAME_BYTES];

	snprintf(incarnation, sizeof(incarnation), "%016llx", (unsigned long long)g->node);
	snprintf(region, sizeof(region), "%.*s", STR_ARG(g->settings.region));
	snprintf(domain, sizeof(domain), "%.*s", STR_ARG(g->settings.failure_domain));
	hello.id = g->id;
	hello.incarnation = incarnation;
	hello.region = region;
	hello.failure_domain = domain;
	hello.ip = g->settings.peers.ip;
	hello.peer_port = g->settings.peers.port;
	hello.caller_port = g->settings.callers.port;
	hello.operator_port = g->settings.ready.port;
	g->peers = peer_set_create(g->loop, &hello, g->node, &g->hlc, &handlers, g, err);
	return g->peers != NULL;
}

void gateway_peers_close(struct gateway *g)
{
	struct gateway_peer *p;
	struct gateway_peer *tmp;

	peer_set_destroy(g->peers);
	g->peers = NULL;
	HASH_ITER (hh, g->peer_states, p, tmp) {
		HASH_DEL(g->peer_states, p);
		free(p);
	}
}
