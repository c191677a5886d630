/* The other gateways: pulses, who lends slots, who keeps keys. */
#include "process/gateway_priv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"
#include "base/rnd.h"

/* A keeper that was not heard for this long is taken as lost. */
#define SHARDMGR_LOST_MS 1000
/* A keeper whose store does not answer for this long hands over to one whose store does. */
#define SHARDMGR_CUT_OFF_MS 600
/*
 * A keeper confirms its role at the store every 0.9 s (SHARDMGR_CONFIRM_MS). Without an answer for
 * this long its store is silent; it stops renewing leases soon after (SHARDMGR_STORE_SILENCE_MS).
 */
#define SHARDMGR_SILENT_MS 1500
/* Candidates try one after the other, in the order of their weight. */
#define CANDIDATE_STEP_MS 200
/* Difference of the store's answers that makes one gateway nearer than another. */
#define STORE_NEARER_MS 8
/* At first the peers have to find each other. */
#define FIRST_ELECTION_MS 800
/*
 * Lenders, keepers and readers are taken from the gateways with at least this share of the
 * processor time of the one that has most.
 */
#define STRONG_SHARE 0.5
/* A peer's word counts while it is this young. */
#define PULSE_AGE_MS 1200

static const struct log log = {"peers"};
CTR(ctr_pulses, "pulses_total", "Pulses sent to other gateways.");

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

bool gateway_is_near(const struct gateway *g, const struct gateway_peer *p)
{
	return str_eq_cstr(g->settings.region, p->region);
}

void gateway_send_pulse(struct gateway *g, bool everyone)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Pulse msg = BC__PULSE__INIT;
	Bc__KeeperTerm terms[GATEWAY_MAX_KEEPS];
	Bc__KeeperTerm *pointers[GATEWAY_MAX_KEEPS];
	struct gateway_service *s;
	struct gateway_peer *p;
	struct gateway_peer *tmp;

	for (s = g->services; s && msg.n_keeper < GATEWAY_MAX_KEEPS; s = s->hh.next) {
		size_t i = msg.n_keeper;

		if (!s->shardmgr || !shardmgr_is_active(s->shardmgr))
			continue;
		terms[i] = (Bc__KeeperTerm)BC__KEEPER_TERM__INIT;
		terms[i].service = s->name;
		terms[i].term = shardmgr_term(s->shardmgr);
		terms[i].version = shardmgr_map_version(s->shardmgr);
		pointers[i] = &terms[i];
		msg.n_keeper++;
	}
	msg.keeper = pointers;
	msg.draining = g->draining;
	msg.store_ok = watch_store_ok(g->watch);
	msg.reads = !watch_is_passive(g->watch);
	msg.store_ms = (uint32_t)watch_store_ms(g->watch);
	msg.cpu_millis = g->settings.cpu_millis;
	msg.store_age_ms = (uint32_t)(clk_now() - watch_last_answer(g->watch));
	msg.config_row = watch_newest_row(g->watch, META_CONFIG);
	msg.upstreams_row = watch_newest_row(g->watch, META_UPSTREAMS);
	frame.body_case = BC__FRAME__BODY_PULSE;
	frame.pulse = &msg;
	HASH_ITER (hh, g->peer_states, p, tmp) {
		if (!everyone && !gateway_is_near(g, p))
			continue;
		ctr_inc(&ctr_pulses);
		peer_send(g->peers, p->node, &frame);
	}
}

static void on_pulse(struct gateway *g, struct gateway_peer *p, const Bc__Pulse *msg)
{
	p->draining = msg->draining;
	p->store_ok = msg->store_ok;
	p->store_ms = msg->store_ms;
	p->cpu_millis = msg->cpu_millis;
	p->heard = clk_now();
	p->store_heard = p->heard - (clk_ms)msg->store_age_ms;
	if (p->reads != msg->reads)
		p->reads_since = p->heard;
	p->reads = msg->reads;
	p->n_keeps = 0;
	for (size_t i = 0; i < msg->n_keeper && p->n_keeps < GATEWAY_MAX_KEEPS; i++) {
		struct gateway_service *s = gateway_keyed_service(g, msg->keeper[i]->service);

		p->keeps[p->n_keeps].service = str_hash(str_from(msg->keeper[i]->service));
		p->keeps[p->n_keeps].term = msg->keeper[i]->term;
		p->n_keeps++;
		if (!s)
			continue;
		shardmgr_observe_term(s->shardmgr, msg->keeper[i]->term);
		gateway_check_map(g, s, p->node, msg->keeper[i]->term, msg->keeper[i]->version);
	}
	watch_peer_has(g->watch, META_CONFIG, msg->config_row);
	watch_peer_has(g->watch, META_UPSTREAMS, msg->upstreams_row);
	if (!watch_store_ok(g->watch) &&
	    (msg->config_row > watch_newest_row(g->watch, META_CONFIG) ||
	     msg->upstreams_row > watch_newest_row(g->watch, META_UPSTREAMS)))
		gateway_ask_copies(g, p->node, clk_now());
}

static void on_frame(void *data, const struct peer_info *from, const Bc__Frame *frame)
{
	struct gateway *g = data;
	struct gateway_peer *p = gateway_find_peer(g, from->node);

	switch (frame->body_case) {
	case BC__FRAME__BODY_PULSE:
		if (p)
			on_pulse(g, p, frame->pulse);
		break;
	case BC__FRAME__BODY_TABLE_GET:
		gateway_send_copy(g, from->node, frame->table_get);
		break;
	case BC__FRAME__BODY_TABLE_COPY:
		gateway_take_copy(g, from->node, frame->table_copy);
		break;
	case BC__FRAME__BODY_CRASH:
		quarantine_crash(g->crashes, clk_now(), frame->crash->fingerprint,
				 frame->crash->upstream);
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

	if (!p) {
		p = calloc(1, sizeof(*p));
		if (!p)
			abort();
		p->node = peer->node;
		snprintf(p->region, sizeof(p->region), "%s", peer->region);
		HASH_ADD(hh, g->peer_states, node, sizeof(p->node), p);
	}
	gateway_send_pulse(g, true);
	gateway_send_maps(g, peer->node);
	/* Changes may have been lost with its last connection. */
	if (watch_is_passive(g->watch))
		gateway_ask_copies(g, peer->node, clk_now());
}

static void on_down(void *data, const struct peer_info *peer)
{
	struct gateway *g = data;
	struct gateway_peer *p = gateway_find_peer(g, peer->node);

	if (p) {
		HASH_DEL(g->peer_states, p);
		free(p);
	}
	slots_on_down(g->slots, peer->node);
}

/* ---- roles ---------------------------------------------------------------------------------- */

static bool keeps(const struct gateway_peer *p, uint64_t service, uint64_t *term)
{
	for (size_t i = 0; i < p->n_keeps; i++) {
		if (p->keeps[i].service == service) {
			*term = p->keeps[i].term;
			return true;
		}
	}
	return false;
}

struct gateway_peer *gateway_find_keeper(struct gateway *g, uint64_t service, clk_ms now)
{
	struct gateway_peer *best = NULL;
	uint64_t best_term = 0;
	struct gateway_peer *p;

	for (p = g->peer_states; p; p = p->hh.next) {
		uint64_t term;

		if (!keeps(p, service, &term) || now - p->heard > SHARDMGR_LOST_MS)
			continue;
		if (!best || term > best_term) {
			best = p;
			best_term = term;
		}
	}
	return best;
}

uint32_t gateway_strong_cpu(const struct gateway *g, const char *region)
{
	bool self = str_eq_cstr(g->settings.region, region) && !g->draining;
	uint32_t most = self ? g->settings.cpu_millis : 0;
	const struct gateway_peer *p;

	for (p = g->peer_states; p; p = p->hh.next) {
		if (!p->draining && p->cpu_millis > most && strcmp(p->region, region) == 0)
			most = p->cpu_millis;
	}
	return (uint32_t)(most * STRONG_SHARE);
}

/* Gateway of the region with the highest weight among the strong ones. */
static uint64_t highest_weight(const struct gateway *g, const char *region, uint64_t id)
{
	uint32_t least = gateway_strong_cpu(g, region);
	uint64_t best = 0;
	uint64_t best_weight = 0;
	const struct gateway_peer *p;

	if (str_eq_cstr(g->settings.region, region) && !g->draining &&
	    g->settings.cpu_millis >= least) {
		best = g->node;
		best_weight = rnd_mix(id, g->node);
	}
	for (p = g->peer_states; p; p = p->hh.next) {
		uint64_t weight = rnd_mix(id, p->node);

		if (p->draining || p->cpu_millis < least || strcmp(p->region, region) != 0 ||
		    (best && weight <= best_weight))
			continue;
		best = p->node;
		best_weight = weight;
	}
	return best;
}

/* Each upstream of a service divided by key has its own lender, near to it. */
static uint64_t lender_of_key(struct gateway *g, const struct slot_pool *pool, uint32_t key)
{
	uint64_t owner = gateway_owner(g, pool->service, key);
	struct str region = gateway_region_of(g, owner);
	char name[FLEET_NAME_BYTES];

	if (!region.len)
		return 0;
	snprintf(name, sizeof(name), "%.*s", STR_ARG(region));
	return highest_weight(g, name, owner);
}

uint64_t gateway_lender(void *gateway, const struct slot_pool *pool, uint32_t key)
{
	struct gateway *g = gateway;

	return pool->keyed ? lender_of_key(g, pool, key)
			   : highest_weight(g, pool->region, pool->id);
}

/*
 * A strong gateway goes first, since a keeper renews all leases; then the one nearer to the store,
 * since each move of keys writes the map there.
 */
static bool goes_before(const struct gateway *g, const struct gateway_peer *p, uint64_t service)
{
	clk_ms own = watch_store_ms(g->watch);

	if (g->settings.cpu_millis < p->cpu_millis * STRONG_SHARE)
		return true;
	if (p->cpu_millis < g->settings.cpu_millis * STRONG_SHARE)
		return false;
	if (p->store_ms + STORE_NEARER_MS < own)
		return true;
	if (own + STORE_NEARER_MS < p->store_ms)
		return false;
	return rnd_mix(service, p->node) > rnd_mix(service, g->node);
}

/* Place of this gateway among those that could take the role, 0 is first. */
static unsigned int candidate_rank(struct gateway *g, uint64_t service, uint64_t except)
{
	unsigned int rank = 0;
	struct gateway_peer *p;

	for (p = g->peer_states; p; p = p->hh.next) {
		if (p->node != except && !p->draining && p->store_ok && goes_before(g, p, service))
			rank++;
	}
	return rank;
}

/* A store that refuses is noticed at once; one that does not answer at all only by its silence. */
static bool shardmgr_has_store(const struct gateway_peer *keeper, clk_ms now)
{
	return keeper->store_ok &&
	       (now - keeper->store_heard < SHARDMGR_SILENT_MS || MUTANT(gateway_trust_silence));
}

static void elect(struct gateway *g, struct gateway_service *s, clk_ms now)
{
	struct gateway_peer *shardmgr;
	clk_ms wait;

	if (shardmgr_is_active(s->shardmgr)) {
		s->no_keeper_since = 0;
		return;
	}
	shardmgr = gateway_find_keeper(g, s->id, now);
	if (shardmgr && !shardmgr->draining &&
	    (shardmgr_has_store(shardmgr, now) || !watch_store_ok(g->watch))) {
		s->no_keeper_since = 0;
		return;
	}
	if (!s->no_keeper_since)
		s->no_keeper_since = now;
	wait = candidate_rank(g, s->id, shardmgr ? shardmgr->node : 0) * CANDIDATE_STEP_MS;
	if (shardmgr && !shardmgr->draining)
		wait += SHARDMGR_CUT_OFF_MS;
	if (now - s->no_keeper_since < wait || !watch_store_ok(g->watch) || g->draining ||
	    shardmgr_is_acquiring(s->shardmgr))
		return;
	log_info(&log, "taking over the keys of %s: the keeper is %s", s->name,
		 !shardmgr	      ? "not heard"
		 : shardmgr->draining ? "stopping"
				      : "cut off from the store");
	s->no_keeper_since = now;
	shardmgr_acquire(s->shardmgr);
}

void gateway_elect(struct gateway *g, clk_ms now)
{
	struct gateway_service *s;

	/* Without upstreams there is nothing to keep; peers need a moment to find each other. */
	if (!g->have_upstreams || now - g->started < FIRST_ELECTION_MS)
		return;
	for (s = g->services; s; s = s->hh.next) {
		if (s->shardmgr)
			elect(g, s, now);
	}
}

bool gateway_peers_agree(void *gateway, const char *service, uint64_t term)
{
	struct gateway *g = gateway;
	uint64_t id = str_hash(str_from(service));
	clk_ms now = clk_now();
	size_t heard = 1;
	struct gateway_peer *p;

	for (p = g->peer_states; p; p = p->hh.next) {
		uint64_t other;

		if (keeps(p, id, &other) && other > term)
			return false;
		if (now - p->heard > PULSE_AGE_MS)
			continue;
		/* Its store answers, so it is the one that should keep. */
		if (p->store_ok)
			return false;
		heard++;
	}
	return heard * 2 > HASH_COUNT(g->members);
}

/* ---- life ----------------------------------------------------------------------------------- */

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
