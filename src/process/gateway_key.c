/*
 * Messages between gateways about keyed services: the shard manager sends its ownership map to all
 * gateways, to those of other regions through their hubs, and admission controllers report to the
 * shard manager which keys were requested and how fast the owners are.
 */
#include "process/gateway_priv.h"

#include "base/arena.h"
#include "base/backoff.h"
#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"

/*
 * Changes of the ownership map are collected for this long before they are sent to the peers. Has
 * to be below MAP_PROPAGATION_MS (shardmgr_lease.c), the time between a change of the map and the
 * release sent to the former owner.
 */
#define MAP_BATCH_MS 40
/* Time between two reports of requested keys; the shard manager plans about as often. */
#define KEY_REPORT_MS 250
/*
 * Least time between two requests for the whole map of a service. Doubles up to the maximum with
 * each request without an answer: on a full link the maps take long, and asking again would keep it
 * full.
 */
#define WHOLE_MAP_REQUEST_MS 300
#define WHOLE_MAP_REQUEST_MAX_MS 2400
/* Requests that a gateway sends to a hub of its region before it asks the shard manager itself. */
#define MAX_RELAY_REQUESTS 3

static const struct log log = {"keys"};
CTR(ctr_gaps, "key_map_gaps_total", "Times that the map known here was older than it should be.");
CTR(ctr_maps, "key_maps_total", "Changed ownership maps that this gateway made as shard manager.");
CTR(ctr_maps_remote, "key_maps_remote_total",
    "Copies of them that were sent to gateways of other regions.");
CTR(ctr_replaced, "key_managers_told_replaced_total",
    "Times that a keeper was told that another gateway has its role.");
CTR(ctr_unreported, "key_load_dropped_total",
    "Requests for keys left out of a report to the keeper.");

struct gateway_service *gateway_keyed_service(struct gateway *g, const char *name)
{
	uint64_t id = str_hash(str_from(name));
	struct gateway_service *s;

	HASH_FIND(hh, g->services, &id, sizeof(id), s);
	return s && s->shardmgr ? s : NULL;
}

uint64_t gateway_owner(void *gateway, const char *service, uint32_t key)
{
	struct gateway_service *s = gateway_keyed_service(gateway, service);

	return s ? shardmgr_owner(s->shardmgr, key) : 0;
}

struct str gateway_region_of(const struct gateway *g, uint64_t upstream)
{
	const struct fleet_upstream *u = upstream ? fleet_find(g->fleet, upstream) : NULL;

	return u ? gwset_region(&g->settings, str_from(u->failure_domain)) : STR_NULL;
}

/* ---- ownership map -------------------------------------------------------------------------- */

void gateway_owners_changed(struct gateway *g, struct gateway_service *s)
{
	if (!s->shardmgr || !shardmgr_is_active(s->shardmgr) || s->map_send_due)
		return;
	s->map_send_due = true;
	/* The timer serves all services: a change of one must not put off the map of another. */
	if (!g->map_timer.armed || MUTANT(gateway_put_off_maps))
		timer_arm(&g->map_timer, MAP_BATCH_MS);
}

/*
 * Sends a map to the gateways of this region and to the hubs of the others, which pass it on. The
 * map crosses a link between regions once for each hub there.
 */
static void broadcast_map(struct gateway *g, Bc__Frame *frame)
{
	struct gateway_peer *p;
	struct gateway_peer *tmp;

	ctr_inc(&ctr_maps);
	HASH_ITER (hh, g->peer_states, p, tmp) {
		bool same_region = gateway_in_same_region(g, p);

		if (!same_region && !p->hub && !MUTANT(gateway_map_to_all))
			continue;
		ctr_add(&ctr_maps_remote, !same_region);
		frame->key_map->relay = !same_region;
		peer_send(g->peers, p->node, frame);
	}
}

/* Passes a map of a shard manager in another region on to gateways of this one. */
static void relay_map(struct gateway *g, const Bc__KeyMap *map)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__KeyMap copy = *map;
	struct gateway_peer *p;
	struct gateway_peer *tmp;

	copy.relay = false;
	frame.body_case = BC__FRAME__BODY_KEY_MAP;
	frame.key_map = &copy;
	HASH_ITER (hh, g->peer_states, p, tmp) {
		if (!p->hub && gateway_in_same_region(g, p) &&
		    gateway_relay_of(g, p->id) == g->node)
			peer_send(g->peers, p->node, &frame);
	}
}

void gateway_on_map_timer(struct timer *timer, void *data)
{
	struct gateway *g = data;
	struct gateway_service *s;

	for (s = g->services; s; s = s->hh.next) {
		Bc__Frame frame = BC__FRAME__INIT;
		struct arena arena = ARENA_INIT;

		if (!s->map_send_due)
			continue;
		s->map_send_due = false;
		if (!shardmgr_is_active(s->shardmgr))
			continue;
		frame.body_case = BC__FRAME__BODY_KEY_MAP;
		frame.key_map = shardmgr_map_changes(s->shardmgr, &arena);
		broadcast_map(g, &frame);
		arena_free(&arena);
	}
}

static void send_whole_map(struct gateway *g, struct gateway_service *s, uint64_t to)
{
	Bc__Frame frame = BC__FRAME__INIT;
	struct arena arena = ARENA_INIT;

	frame.key_map = shardmgr_known_map(s->shardmgr, &arena);
	frame.body_case = BC__FRAME__BODY_KEY_MAP;
	if (frame.key_map)
		gateway_send(g, to, &frame);
	arena_free(&arena);
}

/* Whether a gateway gets its first map from this one: a hub from the shard manager, others from
 * the hub that is their relay. */
static bool is_map_source(const struct gateway *g, const struct gateway_service *s,
			  const struct gateway_peer *to)
{
	if (to->hub)
		return shardmgr_is_active(s->shardmgr);
	return gateway_in_same_region(g, to) && gateway_relay_of(g, to->id) == g->node;
}

void gateway_send_maps(struct gateway *g, const struct gateway_peer *to)
{
	struct gateway_service *s;

	for (s = g->services; s; s = s->hh.next) {
		if (s->shardmgr && is_map_source(g, s, to))
			send_whole_map(g, s, to->node);
	}
}

/* Requests the whole ownership map from the relay of this gateway or from its shard manager. */
static void request_whole_map(struct gateway *g, struct gateway_service *s, uint64_t shardmgr)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__KeyMapGet get = BC__KEY_MAP_GET__INIT;
	clk_ms now = clk_now();
	uint64_t relay = 0;

	if (s->map_requested_at &&
	    now - s->map_requested_at <
		    backoff_ms(WHOLE_MAP_REQUEST_MS, WHOLE_MAP_REQUEST_MAX_MS, s->map_requests))
		return;
	if (!g->is_hub && s->map_requests < MAX_RELAY_REQUESTS)
		relay = gateway_relay_of(g, str_hash(str_from(g->id)));
	s->map_requested_at = now;
	s->map_requests++;
	ctr_inc(&ctr_gaps);
	log_info(&log, "ownership map of %s is out of date; requesting it from %s", s->name,
		 relay ? "a hub" : "the shard manager");
	get.service = s->name;
	frame.body_case = BC__FRAME__BODY_KEY_MAP_GET;
	frame.key_map_get = &get;
	gateway_send(g, relay ? relay : shardmgr, &frame);
}

/*
 * Tells a shard manager that it was replaced, since its successor may not reach it. The term alone
 * ends its role; it requests the map, which is long, then.
 */
static void tell_successor(struct gateway *g, struct gateway_service *s, uint64_t to)
{
	Bc__Frame frame = BC__FRAME__INIT;
	struct arena arena = ARENA_INIT;

	frame.key_map = shardmgr_known_map(s->shardmgr, &arena);
	frame.body_case = BC__FRAME__BODY_KEY_MAP;
	if (frame.key_map) {
		ctr_inc(&ctr_replaced);
		frame.key_map->n_ranges = 0;
		frame.key_map->since = frame.key_map->version;
		gateway_send(g, to, &frame);
	}
	arena_free(&arena);
}

void gateway_check_map(struct gateway *g, struct gateway_service *s, uint64_t from, uint64_t term,
		       uint64_t version)
{
	if (!shardmgr_is_active(s->shardmgr) && shardmgr_map_is_known(s->shardmgr, term + 1, 0) &&
	    !MUTANT(gateway_keep_replaced))
		tell_successor(g, s, from);
	if (version && !shardmgr_is_active(s->shardmgr) &&
	    !shardmgr_map_is_known(s->shardmgr, term, version) && !MUTANT(gateway_trust_maps))
		request_whole_map(g, s, from);
}

static void on_key_map(struct gateway *g, uint64_t from, const Bc__KeyMap *map)
{
	struct gateway_service *s = gateway_keyed_service(g, map->service);

	if (!s)
		return;
	if (map->relay && g->is_hub)
		relay_map(g, map);
	switch (shardmgr_apply_map(s->shardmgr, map)) {
	case KEYMAP_GAP:
		request_whole_map(g, s, from);
		break;
	case KEYMAP_APPLIED:
		s->map_requests = 0;
		break;
	case KEYMAP_OLD:
		break;
	}
}

/* ---- reports to the shard manager ----------------------------------------------------------- */

void gateway_note_key_request(void *gateway, const char *service, uint32_t key)
{
	struct gateway_service *s = gateway_keyed_service(gateway, service);

	if (!s)
		return;
	if (shardmgr_is_active(s->shardmgr))
		shardmgr_record_request(s->shardmgr, key);
	else if (s->n_request_keys < GATEWAY_MAX_REPORT_KEYS)
		s->request_keys[s->n_request_keys++] = key;
	else
		ctr_inc(&ctr_unreported);
}

static bool contains_upstream(Bc__UpstreamSpeed *const *speeds, size_t n, uint64_t num)
{
	for (size_t i = 0; i < n; i++) {
		if (speeds[i]->num == num)
			return true;
	}
	return false;
}

/*
 * Adds the mean service time of each owner of a reported key to the report; this gateway measures
 * the times as the owners' admission controller.
 */
static void add_service_times(struct gateway *g, struct gateway_service *s, Bc__KeyLoad *msg,
			      struct arena *a)
{
	msg->upstreams = arena_alloc(a, s->n_request_keys * sizeof(Bc__UpstreamSpeed *));
	for (size_t i = 0; i < s->n_request_keys; i++) {
		uint64_t owner = shardmgr_owner(s->shardmgr, s->request_keys[i]);
		Bc__UpstreamSpeed *speed;
		struct slots_speed known;

		if (!owner || contains_upstream(msg->upstreams, msg->n_upstreams, owner))
			continue;
		speed = arena_alloc(a, sizeof(*speed));
		*speed = (Bc__UpstreamSpeed)BC__UPSTREAM_SPEED__INIT;
		speed->num = owner;
		known = slots_speed_of(g->slots, s->name, owner);
		speed->service_ms = (uint32_t)known.service_ms;
		speed->slowness = known.slowness;
		speed->limit = known.limit;
		msg->upstreams[msg->n_upstreams++] = speed;
	}
}

/* Sends the counted requests for keys to the shard manager; drops them if there is none. */
static void send_key_report(struct gateway *g, struct gateway_service *s, clk_ms now)
{
	struct gateway_peer *shardmgr = gateway_find_shardmgr(g, s->id, now);
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__KeyLoad msg = BC__KEY_LOAD__INIT;
	struct arena arena = ARENA_INIT;

	s->last_key_report = now;
	if (shardmgr) {
		msg.service = s->name;
		msg.keys = s->request_keys;
		msg.n_keys = s->n_request_keys;
		add_service_times(g, s, &msg, &arena);
		frame.body_case = BC__FRAME__BODY_KEY_LOAD;
		frame.key_load = &msg;
		gateway_send(g, shardmgr->node, &frame);
	}
	s->n_request_keys = 0;
	arena_free(&arena);
}

void gateway_report_keys(struct gateway *g, clk_ms now)
{
	struct gateway_service *s;

	for (s = g->services; s; s = s->hh.next) {
		if (s->n_request_keys && now - s->last_key_report >= KEY_REPORT_MS)
			send_key_report(g, s, now);
	}
}

static void on_key_load(struct gateway *g, const Bc__KeyLoad *msg)
{
	struct gateway_service *s = gateway_keyed_service(g, msg->service);

	if (!s || !shardmgr_is_active(s->shardmgr))
		return;
	for (size_t i = 0; i < msg->n_keys; i++) {
		if (msg->keys[i] < g->platform->key_space)
			shardmgr_record_request(s->shardmgr, msg->keys[i]);
	}
	for (size_t i = 0; i < msg->n_upstreams; i++) {
		const struct slots_speed speed = {
			.service_ms = msg->upstreams[i]->service_ms,
			.slowness = msg->upstreams[i]->slowness,
			.limit = msg->upstreams[i]->limit,
		};

		slots_note_speed(g->slots, s->name, msg->upstreams[i]->num, &speed);
	}
}

bool gateway_on_key_frame(struct gateway *g, uint64_t from, const Bc__Frame *frame)
{
	struct gateway_service *s;

	switch (frame->body_case) {
	case BC__FRAME__BODY_KEY_MAP:
		on_key_map(g, from, frame->key_map);
		return true;
	case BC__FRAME__BODY_KEY_MAP_GET:
		s = gateway_keyed_service(g, frame->key_map_get->service);
		if (s)
			send_whole_map(g, s, from);
		return true;
	case BC__FRAME__BODY_KEY_LOAD:
		on_key_load(g, frame->key_load);
		return true;
	default:
		return false;
	}
}
