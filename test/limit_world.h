/*
 * A world of gateways that keep one limit together, without a network: messages with latency, cuts,
 * kills, pauses, changes of the limit, and demand that moves between gateways. Some gateways can
 * hold the limit; each gateway and each of these sees by itself who does.
 */
#ifndef TEST_LIMIT_WORLD_H
#define TEST_LIMIT_WORLD_H

#include <stdlib.h>
#include <string.h>

#include "base/rnd.h"
#include "shared/holder.h"
#include "shared/share.h"

#define WORLD_MAX_GATEWAYS 100
#define WORLD_HUBS 4
#define WORLD_STEP_MS 5
#define WORLD_MAX_STEPS 12000
#define WORLD_MAX_MESSAGES 4096
#define WORLD_MAX_WAITING 2048
#define WORLD_TICK_MS 100
#define WORLD_WAIT_MS 500
/* A cut is noticed after this time, a restart after up to twice this time. */
#define WORLD_NOTICE_MS 600
#define WORLD_LIMIT 7

struct world_message {
	clk_ms at;
	int from, to;
	uint32_t from_life, to_life;
	bool is_lease, refused;
	uint32_t number;
	struct limit_ask ask;
	struct limit_lease lease;
};

struct world_gateway {
	struct share share;
	struct holder *holder; /* NULL unless it is a hub */
	uint32_t life;
	bool down;
	clk_ms down_until, cut_from, cut_until, paused_until;
	clk_ms excluded_until[WORLD_HUBS]; /* hubs that it does not take for the holder */
	int asked;
	/* When requests that were let through are sent, or refused (negative); of this life. */
	clk_ms held[WORLD_MAX_WAITING];
	clk_ms granted_at[WORLD_MAX_WAITING];
	int n_held;
	clk_ms waiting[WORLD_MAX_WAITING];
	int n_waiting;
	double weight; /* part of the demand */
	struct limit_size size;
	clk_ms resize_at;
	clk_ms next_tick;
};

struct world {
	struct rnd rnd;
	int n;
	clk_ms now;
	clk_ms latency_max;
	clk_ms hold_max;     /* longest time until a request is sent */
	double refused_part; /* of the requests that are let through and then refused */
	struct limit_bound bound;
	struct limit_size size; /* newest */
	double demand;		/* requests per second over all gateways */
	struct world_gateway g[WORLD_MAX_GATEWAYS];
	struct world_message messages[WORLD_MAX_MESSAGES];
	int n_messages;
	int granted[WORLD_MAX_STEPS];
	long asked, refused, waited, n_granted, asks;
};

static inline bool world_is_cut(const struct world *w, int i)
{
	return w->now >= w->g[i].cut_from && w->now < w->g[i].cut_until;
}

static inline bool world_runs(const struct world *w, int i)
{
	return !w->g[i].down && w->now >= w->g[i].paused_until;
}

static inline bool world_noticed_cut(const struct world *w, int i)
{
	return world_is_cut(w, i) && w->now - w->g[i].cut_from > WORLD_NOTICE_MS;
}

/* Whether gateway i takes hub h for one that can hold the limit. */
static inline bool world_sees(const struct world *w, int i, int h)
{
	bool cut_off = world_noticed_cut(w, i) || world_noticed_cut(w, h);

	if (i == h)
		return true;
	return !w->g[h].down && !cut_off && w->now >= w->g[i].excluded_until[h];
}

static inline int world_holder_of(const struct world *w, int i)
{
	for (int h = 0; h < WORLD_HUBS; h++) {
		if (world_sees(w, i, h))
			return h;
	}
	return -1;
}

static inline uint64_t world_id(const struct world *w, int i)
{
	return (uint64_t)i + 1 + 1000 * (uint64_t)w->g[i].life;
}

static inline void world_start(struct world *w, int i)
{
	struct world_gateway *g = &w->g[i];

	share_init(&g->share, &w->size, w->now);
	g->share.gateways = (uint32_t)w->n;
	g->size = w->size;
	g->n_waiting = 0;
	g->n_held = 0;
	g->asked = -1;
	if (i < WORLD_HUBS) {
		holder_destroy(g->holder);
		g->holder = holder_create(&w->bound);
	}
}

static inline void world_init(struct world *w, uint64_t seed, int n, double rate, double burst)
{
	memset(w, 0, sizeof(*w));
	rnd_seed(&w->rnd, seed);
	w->n = n;
	w->now = 1000;
	w->latency_max = 17;
	w->bound = (struct limit_bound){5000, 0.1, 20};
	w->size = (struct limit_size){rate, burst};
	for (int i = 0; i < n; i++) {
		w->g[i].weight = 1.0 / n;
		w->g[i].next_tick = w->now + (clk_ms)rnd_below(&w->rnd, WORLD_TICK_MS);
		world_start(w, i);
	}
}

static inline void world_end(struct world *w)
{
	for (int i = 0; i < WORLD_HUBS; i++)
		holder_destroy(w->g[i].holder);
}

/* A request is let through; it is sent, or refused for another reason, some time later. */
static inline void world_grant(struct world *w, int i)
{
	struct world_gateway *g = &w->g[i];
	clk_ms at = w->now + (clk_ms)rnd_below(&w->rnd, (uint64_t)w->hold_max + 1);

	w->n_granted++;
	if (g->n_held == WORLD_MAX_WAITING) {
		w->granted[(w->now - 1000) / WORLD_STEP_MS]++;
		share_spent(&g->share);
		return;
	}
	g->granted_at[g->n_held] = w->now;
	g->held[g->n_held++] = rnd_unit(&w->rnd) < w->refused_part ? -at : at;
}

static inline void world_end_holds(struct world *w, int i)
{
	struct world_gateway *g = &w->g[i];

	for (int k = 0; k < g->n_held; k++) {
		bool sent = g->held[k] > 0;

		if ((sent ? g->held[k] : -g->held[k]) > w->now)
			continue;
		if (sent) {
			w->granted[(g->granted_at[k] - 1000) / WORLD_STEP_MS]++;
			share_spent(&g->share);
		} else {
			share_return(&g->share, w->now);
		}
		g->held[k] = g->held[--g->n_held];
		g->granted_at[k] = g->granted_at[g->n_held];
		k--;
	}
}

static inline void world_send(struct world *w, struct world_message m)
{
	if (world_is_cut(w, m.from) || world_is_cut(w, m.to) || w->g[m.to].down ||
	    w->n_messages == WORLD_MAX_MESSAGES)
		return;
	m.at = w->now + 1 + (clk_ms)rnd_below(&w->rnd, (uint64_t)w->latency_max);
	m.from_life = w->g[m.from].life;
	m.to_life = w->g[m.to].life;
	w->messages[w->n_messages++] = m;
}

static inline bool world_answer(struct world *w, int h, int from, const struct limit_ask *ask,
				struct limit_lease *out)
{
	struct world_gateway *g = &w->g[h];

	if (world_holder_of(w, h) != h) {
		holder_drop(g->holder, WORLD_LIMIT);
		return false;
	}
	holder_ask(g->holder, WORLD_LIMIT, &g->size, world_id(w, from), ask, w->now, out);
	return true;
}

static inline void world_serve(struct world *w, int i, bool refuse_others)
{
	struct world_gateway *g = &w->g[i];
	int served = 0;

	while (served < g->n_waiting && share_take_waiting(&g->share, w->now)) {
		world_grant(w, i);
		served++;
	}
	g->n_waiting -= served;
	memmove(g->waiting, g->waiting + served, (size_t)g->n_waiting * sizeof(g->waiting[0]));
	if (refuse_others) {
		w->refused += g->n_waiting;
		g->n_waiting = 0;
	}
}

static inline void world_lease(struct world *w, int i, uint32_t number,
			       const struct limit_lease *lease)
{
	if (share_on_lease(&w->g[i].share, w->now, number, lease))
		world_serve(w, i, lease->scarce);
}

static inline void world_ask(struct world *w, int i)
{
	struct world_gateway *g = &w->g[i];
	struct world_message m = {.from = i};
	struct limit_lease lease;

	if (!share_should_ask(&g->share, w->now, g->n_waiting > 0))
		return;
	m.to = world_holder_of(w, i);
	if (m.to < 0)
		return;
	g->asked = m.to;
	w->asks++;
	share_begin_ask(&g->share, w->now, (uint32_t)g->n_waiting, &m.ask);
	m.number = g->share.ask;
	if (m.to != i)
		world_send(w, m);
	else if (world_answer(w, i, i, &m.ask, &lease))
		world_lease(w, i, m.number, &lease);
	else
		share_ask_failed(&g->share, m.number);
}

static inline void world_receive(struct world *w, const struct world_message *m)
{
	struct world_gateway *g = &w->g[m->to];
	struct world_message reply = {
		.from = m->to, .to = m->from, .is_lease = true, .number = m->number};

	if (!m->is_lease) {
		reply.refused = !world_answer(w, m->to, m->from, &m->ask, &reply.lease);
		world_send(w, reply);
	} else if (m->refused) {
		share_ask_failed(&g->share, m->number);
	} else if (g->asked == m->from) {
		world_lease(w, m->to, m->number, &m->lease);
		if (g->n_waiting && share_got_needed(&g->share))
			world_ask(w, m->to);
	}
}

static inline void world_deliver(struct world *w)
{
	for (int k = 0; k < w->n_messages; k++) {
		struct world_message m = w->messages[k];
		bool lost = w->g[m.to].life != m.to_life || w->g[m.from].life != m.from_life ||
			    world_is_cut(w, m.to) || w->g[m.to].down;

		if (!lost && (m.at > w->now || !world_runs(w, m.to)))
			continue;
		w->messages[k--] = w->messages[--w->n_messages];
		if (!lost)
			world_receive(w, &m);
	}
}

static inline uint32_t world_unreachable(const struct world *w, int i)
{
	uint32_t n = 0;

	for (int k = 0; k < w->n; k++)
		n += k != i && (world_noticed_cut(w, k) || world_noticed_cut(w, i));
	return n;
}

static inline void world_tick(struct world *w, int i)
{
	struct world_gateway *g = &w->g[i];

	g->next_tick = w->now + WORLD_TICK_MS;
	if (g->holder) {
		holder_set_gateways(g->holder, (uint32_t)w->n, world_unreachable(w, i));
		holder_tick(g->holder, w->now);
		if (world_holder_of(w, i) == i)
			holder_begin(g->holder, WORLD_LIMIT, &g->size, w->now);
		else
			holder_drop(g->holder, WORLD_LIMIT);
	}
	if (g->share.asking && w->now - g->share.asked >= 300) {
		share_ask_failed(&g->share, g->share.ask);
		if (g->asked >= 0 && g->asked != i)
			g->excluded_until[g->asked] = w->now + 1000;
	}
	world_serve(w, i, false);
	while (g->n_waiting && w->now - g->waiting[0] >= WORLD_WAIT_MS) {
		memmove(g->waiting, g->waiting + 1, (size_t)--g->n_waiting * sizeof(g->waiting[0]));
		w->refused++;
	}
	world_ask(w, i);
}

static inline void world_request(struct world *w, int i)
{
	struct world_gateway *g = &w->g[i];

	w->asked++;
	switch (share_take(&g->share, w->now)) {
	case SHARE_GRANTED:
		world_grant(w, i);
		break;
	case SHARE_REFUSED:
		w->refused++;
		break;
	case SHARE_WAIT:
		w->waited++;
		if (g->n_waiting == WORLD_MAX_WAITING) {
			w->refused++;
			break;
		}
		g->waiting[g->n_waiting++] = w->now;
		world_ask(w, i);
		break;
	}
}

static inline void world_arrivals(struct world *w, int i)
{
	double mean = w->demand * w->g[i].weight * WORLD_STEP_MS / 1000.0;

	while (mean > 0) {
		if (rnd_unit(&w->rnd) < (mean < 1 ? mean : 1))
			world_request(w, i);
		mean -= 1;
	}
}

static inline void world_resize(struct world *w, int i)
{
	struct world_gateway *g = &w->g[i];

	g->size = w->size;
	g->resize_at = 0;
	share_resize(&g->share, &w->size);
	if (g->holder)
		holder_resize(g->holder, WORLD_LIMIT, &w->size, w->now);
}

static inline void world_step(struct world *w)
{
	world_deliver(w);
	for (int i = 0; i < w->n; i++) {
		struct world_gateway *g = &w->g[i];

		if (g->down && w->now >= g->down_until) {
			g->down = false;
			world_start(w, i);
			for (int k = 0; k < w->n && i < WORLD_HUBS; k++)
				w->g[k].excluded_until[i] =
					w->now + (clk_ms)rnd_below(&w->rnd, 2 * WORLD_NOTICE_MS);
		}
		if (!world_runs(w, i))
			continue;
		if (g->resize_at && w->now >= g->resize_at)
			world_resize(w, i);
		if (w->now >= g->next_tick)
			world_tick(w, i);
		world_end_holds(w, i);
		world_arrivals(w, i);
	}
	w->now += WORLD_STEP_MS;
}

static inline void world_run(struct world *w, clk_ms duration)
{
	clk_ms end = w->now + duration;

	while (w->now < end)
		world_step(w);
}

/* Kills a gateway; its connections close at once where they are not cut. */
static inline void world_kill(struct world *w, int i, clk_ms duration)
{
	struct world_gateway *g = &w->g[i];

	for (int h = 0; h < WORLD_HUBS; h++) {
		if (!world_is_cut(w, h) && !world_is_cut(w, i) && !w->g[h].down && h != i)
			holder_gateway_ended(w->g[h].holder, world_id(w, i));
	}
	g->down = true;
	g->down_until = w->now + duration;
	g->life++;
	w->refused += g->n_waiting;
	g->n_waiting = 0;
}

static inline void world_cut(struct world *w, int i, clk_ms duration)
{
	w->g[i].cut_from = w->now;
	w->g[i].cut_until = w->now + duration;
}

/* Gives the demand to `active` gateways, with uneven weights; the others get none. */
static inline void world_move_demand(struct world *w, int active)
{
	double sum = 0;

	for (int i = 0; i < w->n; i++)
		w->g[i].weight = 0;
	for (int k = 0; k < active; k++)
		w->g[rnd_below(&w->rnd, (uint64_t)w->n)].weight += 0.2 + rnd_unit(&w->rnd);
	for (int i = 0; i < w->n; i++)
		sum += w->g[i].weight;
	for (int i = 0; i < w->n; i++)
		w->g[i].weight /= sum;
}

/* Returns the most requests of any window that begins from `from` to `to`, in ms of the run. */
static inline int world_most(const struct world *w, clk_ms from, clk_ms to)
{
	int steps = (int)(w->bound.window / WORLD_STEP_MS);
	int last = (int)((w->now - 1000) / WORLD_STEP_MS);
	int sum = 0;
	int most = 0;

	for (int s = (int)(from / WORLD_STEP_MS); s < last; s++) {
		int start = s - steps;

		sum += w->granted[s];
		if (start >= (int)(from / WORLD_STEP_MS))
			sum -= w->granted[start];
		if (start + 1 <= (int)(to / WORLD_STEP_MS) && sum > most)
			most = sum;
	}
	return most;
}

static inline double world_bound(const struct world *w, const struct limit_size *size)
{
	return (size->rate * 5 + size->burst) * (1 + w->bound.overrun) + w->bound.slack;
}

#endif
