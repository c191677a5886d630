/* Chooses moves: counts requests, lists the upstreams that may own keys and runs the planner. */
#include <stdlib.h>
#include <string.h>

#include "process/mover_priv.h"

#define PLAN_EVERY_MS 100

static bool may_own_keys(const struct svc_upstream *u)
{
	return u->usable && u->health.state == HEALTH_UP && !u->health.draining;
}

static bool all_health_known(const struct svc *s)
{
	for (const struct svc_upstream *u = s->upstreams; u; u = u->next) {
		if (u->conf && u->usable && u->health.state == HEALTH_UNKNOWN)
			return false;
	}
	return true;
}

static size_t list_upstreams(const struct svc *s, struct assign_upstream *out, size_t max)
{
	size_t n = 0;

	for (const struct svc_upstream *u = s->upstreams; u && n < max; u = u->next) {
		if (u->conf)
			out[n++] =
				(struct assign_upstream){u->num, u->conf->slots, may_own_keys(u)};
	}
	return n;
}

/*
 * Returns a flag for each partition, set if this cell assigns it. All are set: also the partitions
 * that rendezvous hashing gives to another region contain keys of client accounts and routes whose
 * home region is this one.
 */
static bool *list_assigned_partitions(const struct mover *m)
{
	bool *mine = malloc(m->n_partitions + 1);

	memset(mine, true, m->n_partitions + 1);
	return mine;
}

#define MAX_UPSTREAMS 4096

static void plan(struct mover *m, clk_ms now, bool balance)
{
	struct assign_upstream *ups = calloc(MAX_UPSTREAMS, sizeof(*ups));
	struct assign_move *out = calloc(MAX_BATCH, sizeof(*out));
	size_t n_ups = list_upstreams(m->svc, ups, MAX_UPSTREAMS);
	bool *mine = list_assigned_partitions(m);
	struct assign_options opts = assign_defaults;
	struct assign_loads loads = {m->loads, m->keys, m->n_keys};
	size_t n;

	if (!balance) {
		opts.max_balancing_moves = 0;
		opts.max_hot_keys = 0;
	}
	n = assign_plan(m->doc, mine, m->n_partitions, ups, n_ups, &loads, &opts, out, MAX_BATCH);
	for (size_t i = 0; i < n; i++) {
		if (!out[i].forced && !balance)
			continue;
		mover_start_move(m, now, &out[i], MOVE_DRAIN, 0);
	}
	free(mine);
	free(out);
	free(ups);
}

/* Halves the load counts after each balancing round, so that keys that were hot lose weight. */
static void halve_loads(struct mover *m)
{
	size_t kept = 0;

	for (uint32_t p = 0; p < m->n_partitions; p++)
		m->loads[p] /= 2;
	for (size_t i = 0; i < m->n_keys; i++) {
		m->keys[i].load /= 2;
		if (m->keys[i].load >= 1)
			m->keys[kept++] = m->keys[i];
	}
	m->n_keys = kept;
}

/* Space-saving algorithm: a new key replaces the one with the lowest count and takes its count. */
void mover_count_request(struct mover *m, uint32_t partition, uint64_t key_hash)
{
	size_t lightest = 0;

	if (partition >= m->n_partitions)
		return;
	m->loads[partition] += 1;
	for (size_t i = 0; i < m->n_keys; i++) {
		if (m->keys[i].key_hash == key_hash) {
			m->keys[i].load += 1;
			return;
		}
		if (m->keys[i].load < m->keys[lightest].load)
			lightest = i;
	}
	if (m->n_keys < MAX_TRACKED_KEYS) {
		m->keys[m->n_keys++] = (struct assign_key_load){key_hash, partition, 1};
		return;
	}
	m->keys[lightest].key_hash = key_hash;
	m->keys[lightest].partition = partition;
	m->keys[lightest].load += 1;
}

void mover_tick_plan(struct mover *m, clk_ms now)
{
	bool balance = now >= m->next_balance && !m->moves;

	if (now < m->next_plan || m->write_in_flight || m->must_read || m->svc->node->draining)
		return;
	m->next_plan = now + PLAN_EVERY_MS;
	if (!store_reachable(m->svc->node->store) || !all_health_known(m->svc) || m->reading)
		return;
	plan(m, now, balance);
	if (balance) {
		m->next_balance = now + BALANCE_EVERY_MS;
		halve_loads(m);
	}
}
