/* Services divided by key, between gateways: copies of the map of owners, reports to the keeper. */
#include "process/gateway_priv.h"

#include "base/arena.h"
#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"

/* Changes of the map are collected this long before they are sent; see MAP_LEAD_MS. */
#define MAP_MS 40
/* Between two reports of a lender; the keeper plans about as often. */
#define LOAD_MS 250
/* A gateway whose copy of the map has a gap asks for the whole map at most this often. */
#define WHOLE_MAP_MS 300

static const struct log log = {"keys"};
CTR(ctr_gaps, "key_map_gaps_total", "Times that the map known here was older than it should be.");
CTR(ctr_unseen, "key_load_dropped_total", "Requests for keys left out of a report to the keeper.");

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

/* ---- map of owners -------------------------------------------------------------------------- */

void gateway_map_changed(struct gateway *g, struct gateway_service *s)
{
	if (!s->shardmgr || !shardmgr_is_active(s->shardmgr) || s->map_due)
		return;
	s->map_due = true;
	timer_arm(&g->map_timer, MAP_MS);
}

void gateway_on_map_timer(struct timer *timer, void *data)
{
	struct gateway *g = data;
	struct gateway_service *s;

	for (s = g->services; s; s = s->hh.next) {
		Bc__Frame frame = BC__FRAME__INIT;
		struct arena arena = ARENA_INIT;

		if (!s->map_due)
			continue;
		s->map_due = false;
		if (!shardmgr_is_active(s->shardmgr))
			continue;
		frame.body_case = BC__FRAME__BODY_KEY_MAP;
		frame.key_map = shardmgr_map_changes(s->shardmgr, &arena);
		gateway_broadcast(g, &frame);
		arena_free(&arena);
	}
}

static void send_whole_map(struct gateway *g, struct gateway_service *s, uint64_t to)
{
	Bc__Frame frame = BC__FRAME__INIT;
	struct arena arena = ARENA_INIT;

	frame.key_map = shardmgr_full_map(s->shardmgr, &arena);
	frame.body_case = BC__FRAME__BODY_KEY_MAP;
	if (frame.key_map)
		gateway_send(g, to, &frame);
	arena_free(&arena);
}

void gateway_send_maps(struct gateway *g, uint64_t to)
{
	struct gateway_service *s;

	for (s = g->services; s; s = s->hh.next) {
		if (s->shardmgr && shardmgr_is_active(s->shardmgr))
			send_whole_map(g, s, to);
	}
}

static void ask_whole_map(struct gateway *g, struct gateway_service *s, uint64_t from)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__KeyMapGet get = BC__KEY_MAP_GET__INIT;
	clk_ms now = clk_now();

	if (now - s->map_asked < WHOLE_MAP_MS)
		return;
	s->map_asked = now;
	ctr_inc(&ctr_gaps);
	log_info(&log,
		 "the owners of %s known here are older than those of the keeper; asking for them",
		 s->name);
	get.service = s->name;
	frame.body_case = BC__FRAME__BODY_KEY_MAP_GET;
	frame.key_map_get = &get;
	gateway_send(g, from, &frame);
}

void gateway_check_map(struct gateway *g, struct gateway_service *s, uint64_t from, uint64_t term,
		       uint64_t version)
{
	if (version && !shardmgr_is_active(s->shardmgr) &&
	    !shardmgr_map_is_known(s->shardmgr, term, version) && !MUTANT(gateway_trust_maps))
		ask_whole_map(g, s, from);
}

static void on_key_map(struct gateway *g, uint64_t from, const Bc__KeyMap *map)
{
	struct gateway_service *s = gateway_keyed_service(g, map->service);

	if (s && shardmgr_apply_map(s->shardmgr, map) == KEYMAP_GAP)
		ask_whole_map(g, s, from);
}

/* ---- reports to the keeper ------------------------------------------------------------------ */

void gateway_on_key(void *gateway, const char *service, uint32_t key)
{
	struct gateway_service *s = gateway_keyed_service(gateway, service);

	if (!s)
		return;
	if (shardmgr_is_active(s->shardmgr))
		shardmgr_record_request(s->shardmgr, key);
	else if (s->n_seen < GATEWAY_MAX_SEEN)
		s->seen[s->n_seen++] = key;
	else
		ctr_inc(&ctr_unseen);
}

static bool is_listed(Bc__UpstreamSpeed *const *speeds, size_t n, uint64_t num)
{
	for (size_t i = 0; i < n; i++) {
		if (speeds[i]->num == num)
			return true;
	}
	return false;
}

/* The service times of the upstreams that own the keys: they are lent here. */
static void add_speeds(struct gateway *g, struct gateway_service *s, Bc__KeyLoad *msg,
		       struct arena *a)
{
	msg->upstreams = arena_alloc(a, s->n_seen * sizeof(Bc__UpstreamSpeed *));
	for (size_t i = 0; i < s->n_seen; i++) {
		uint64_t owner = shardmgr_owner(s->shardmgr, s->seen[i]);
		Bc__UpstreamSpeed *speed;

		if (!owner || is_listed(msg->upstreams, msg->n_upstreams, owner))
			continue;
		speed = arena_alloc(a, sizeof(*speed));
		*speed = (Bc__UpstreamSpeed)BC__UPSTREAM_SPEED__INIT;
		speed->num = owner;
		speed->service_ms = (uint32_t)slots_service_ms(g->slots, s->name, owner);
		msg->upstreams[msg->n_upstreams++] = speed;
	}
}

static void report(struct gateway *g, struct gateway_service *s, clk_ms now)
{
	struct gateway_peer *keeper = gateway_find_keeper(g, s->id, now);
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__KeyLoad msg = BC__KEY_LOAD__INIT;
	struct arena arena = ARENA_INIT;

	s->load_sent = now;
	if (keeper) {
		msg.service = s->name;
		msg.keys = s->seen;
		msg.n_keys = s->n_seen;
		add_speeds(g, s, &msg, &arena);
		frame.body_case = BC__FRAME__BODY_KEY_LOAD;
		frame.key_load = &msg;
		gateway_send(g, keeper->node, &frame);
	}
	s->n_seen = 0;
	arena_free(&arena);
}

void gateway_report_keys(struct gateway *g, clk_ms now)
{
	struct gateway_service *s;

	for (s = g->services; s; s = s->hh.next) {
		if (s->n_seen && now - s->load_sent >= LOAD_MS)
			report(g, s, now);
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
	for (size_t i = 0; i < msg->n_upstreams; i++)
		slots_note_service_ms(g->slots, s->name, msg->upstreams[i]->num,
				      msg->upstreams[i]->service_ms);
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
		if (s && shardmgr_is_active(s->shardmgr))
			send_whole_map(g, s, from);
		return true;
	case BC__FRAME__BODY_KEY_LOAD:
		on_key_load(g, frame->key_load);
		return true;
	default:
		return false;
	}
}
