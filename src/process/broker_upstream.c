/* Limits, cold start and choice of upstreams. */
#include <math.h>
#include <stdlib.h>
#include <utlist.h>

#include "process/broker_priv.h"

#define UPSTREAM_WINDOW 100   /* answers that the median of one upstream covers */
#define MEDIAN_MIN_SAMPLES 10 /* with fewer no upstream is judged slow */
#define SLOW_RUN 5	      /* slow answers in a row that mean a cold start */
#define RECENT_WEIGHT 0.25    /* of the newest answer in the recent service time */
#define RECENT_FADES_MS 1000  /* without new answers the recent service time is forgotten */

struct upstream *upstream_find(const struct broker *b, uint32_t num)
{
	struct upstream *u;

	HASH_FIND(hh, b->upstreams, &num, sizeof(num), u);
	return u;
}

struct upstream *upstream_get(struct broker *b, uint32_t num)
{
	struct upstream *u = upstream_find(b, num);

	if (u)
		return u;
	u = calloc(1, sizeof(*u));
	if (!u)
		abort();
	u->num = num;
	u->conf.num = num;
	u->conf.state = BROKER_OUT;
	window_init(&u->times, UPSTREAM_WINDOW);
	HASH_ADD(hh, b->upstreams, num, sizeof(u->num), u);
	return u;
}

void upstream_put(struct broker *b, struct upstream *u)
{
	if (u->present || u->records > 0)
		return;
	HASH_DEL(b->upstreams, u);
	free(u);
}

bool upstream_usable(const struct upstream *u)
{
	if (!u->present)
		return false;
	if (MUTANT(broker_grant_draining) && u->conf.state == BROKER_DRAINING)
		return true;
	return u->conf.state == BROKER_COLD || u->conf.state == BROKER_WARM;
}

void upstream_turn_cold(struct upstream *u)
{
	u->cold_run++;
	u->cold_completed = 0;
	u->slow_run = 0;
	if (u->conf.state == BROKER_WARM)
		u->conf.state = BROKER_COLD;
}

/* Limit of the present cold start, without the hold for unknown slots. */
static uint32_t cold_limit(const struct broker *b, const struct upstream *u)
{
	uint64_t limit = u->conf.cold_limit ? u->conf.cold_limit : 1;

	limit += u->cold_completed / (b->opts.cold_step ? b->opts.cold_step : 1);
	return limit < u->conf.slots ? (uint32_t)limit : u->conf.slots;
}

uint32_t upstream_limit(const struct broker *b, clk_ms now, const struct upstream *u)
{
	if (!upstream_usable(u))
		return 0;
	if (u->conf.state != BROKER_COLD || MUTANT(broker_ignore_cold))
		return u->conf.slots;
	if (b->unknown && now < b->unknown_until && !MUTANT(broker_ignore_unknown))
		return 0;
	return cold_limit(b, u);
}

uint32_t upstream_free_slots(const struct broker *b, clk_ms now, const struct upstream *u)
{
	uint32_t limit = upstream_limit(b, now, u);

	if (MUTANT(broker_over_limit) && limit > 0)
		limit++;
	return u->in_use < limit ? limit - u->in_use : 0;
}

void broker_set_upstream(struct broker *b, clk_ms now, const struct broker_upstream *conf)
{
	struct upstream *u = upstream_get(b, conf->num);
	bool was_present = u->present;
	enum broker_upstream_state before = u->conf.state;

	u->present = true;
	u->conf = *conf;
	if (conf->state == BROKER_COLD && before != BROKER_COLD) {
		upstream_turn_cold(u);
	} else if (conf->state == BROKER_WARM && was_present && before != BROKER_WARM &&
		   !MUTANT(broker_return_warm)) {
		/*
		 * Only completed requests raise a limit. An upstream that was away may have
		 * restarted unseen, so it starts cold as well.
		 */
		u->conf.state = BROKER_COLD;
		if (before != BROKER_COLD)
			upstream_turn_cold(u);
	}
	if (!was_present)
		waiting_route_all(b);
}

void broker_remove_upstream(struct broker *b, clk_ms now, uint32_t num)
{
	struct upstream *u = upstream_find(b, num);
	struct slot *s;
	struct slot *tmp;

	if (!u)
		return;
	u->present = false;
	u->conf.state = BROKER_OUT;
	waiting_route_all(b);
	u->records++; /* keeps `u` during the loop */
	DL_FOREACH_SAFE(u->slots, s, tmp)
	{
		s->settled = true;
		if (s->overdue)
			slot_free(b, s);
	}
	u->records--;
	upstream_put(b, u);
}

void broker_note_cold(struct broker *b, clk_ms now, uint32_t num)
{
	struct upstream *u = upstream_find(b, num);

	if (u && !MUTANT(broker_ignore_restart))
		upstream_turn_cold(u);
}

/* Age of the oldest request that is out on this upstream. */
static clk_ms oldest_age(clk_ms now, const struct upstream *u)
{
	const struct slot *s;
	clk_ms oldest = 0;

	DL_FOREACH(u->slots, s)
	{
		if (!s->overdue && now - s->lent > oldest)
			oldest = now - s->lent;
	}
	return oldest;
}

bool upstream_is_straggler(const struct broker *b, clk_ms now, const struct upstream *u)
{
	clk_ms median = window_percentile(&b->times, 50);

	if (u->failing)
		return true;
	if (b->times.count < MEDIAN_MIN_SAMPLES)
		return false;
	return oldest_age(now, u) > b->opts.straggler_factor * (median > 0 ? median : 1);
}

static double recent_ms(const struct broker *b, clk_ms now, const struct upstream *u)
{
	double usual = (double)window_percentile(&b->times, 50);
	double left = 1.0 - (double)(now - u->recent_at) / RECENT_FADES_MS;

	return left > 0 ? usual + (u->recent_ms - usual) * left : usual;
}

struct upstream *upstream_pick(struct broker *b, clk_ms now, const struct upstream *except)
{
	struct upstream *best = NULL;
	bool best_straggler = false;
	double best_ms = 0;
	uint32_t ties = 0;
	struct upstream *u;

	for (u = b->upstreams; u; u = u->hh.next) {
		bool straggler;
		double ms;

		if (u == except || upstream_free_slots(b, now, u) == 0)
			continue;
		straggler = upstream_is_straggler(b, now, u);
		ms = recent_ms(b, now, u);
		if (best && straggler == best_straggler && fabs(ms - best_ms) < 1e-9) {
			/* Equal candidates are picked with equal probability. */
			if (rnd_below(&b->rnd, ++ties) == 0)
				best = u;
			continue;
		}
		if (best &&
		    (straggler > best_straggler || (straggler == best_straggler && ms > best_ms)))
			continue;
		best = u;
		best_straggler = straggler;
		best_ms = ms;
		ties = 1;
	}
	return best;
}

clk_ms upstream_wait(const struct broker *b, clk_ms now, const struct upstream *u, size_t ahead)
{
	clk_ms service = window_percentile(u ? &u->times : &b->times, 50);
	uint64_t limit = 0;
	uint64_t available = 0;
	const struct upstream *i;

	for (i = b->upstreams; i; i = i->hh.next) {
		if (u && i != u)
			continue;
		limit += upstream_limit(b, now, i);
		available += upstream_free_slots(b, now, i);
	}
	if (limit == 0 || ahead < available)
		return 0; /* unknown, or served at once */
	return (clk_ms)((ahead - available + 1) * (uint64_t)service / limit);
}

static void learn_recent(struct broker *b, clk_ms now, struct upstream *u, clk_ms service_ms)
{
	double before = recent_ms(b, now, u);

	u->recent_ms = before + ((double)service_ms - before) * RECENT_WEIGHT;
	u->recent_at = now;
}

/* A run of slow answers without load to explain it: the upstream lost its caches. */
static void learn_slow(const struct broker *b, struct upstream *u, const struct slot *s,
		       clk_ms service_ms)
{
	if (!s->light || s->adopted)
		return;
	if (u->times.count < MEDIAN_MIN_SAMPLES ||
	    service_ms <= b->opts.straggler_factor * window_percentile(&u->times, 50)) {
		u->slow_run = 0;
		return;
	}
	if (++u->slow_run >= SLOW_RUN && !MUTANT(broker_ignore_slow))
		upstream_turn_cold(u);
}

static void learn_completed(struct broker *b, clk_ms now, struct upstream *u, const struct slot *s,
			    clk_ms service_ms)
{
	u->failing = false;
	u->completed++;
	/* Only requests of this cold start prove anything about it. */
	if (!s->adopted && (s->cold_run == u->cold_run || MUTANT(broker_ramp_by_old_slots))) {
		u->cold_completed++;
		if (u->conf.state == BROKER_COLD && cold_limit(b, u) == u->conf.slots)
			u->conf.state = BROKER_WARM;
	}
	learn_slow(b, u, s, service_ms);
	window_add(&u->times, service_ms);
	window_add(&b->times, service_ms);
	learn_recent(b, now, u, service_ms);
}

void upstream_learn(struct broker *b, clk_ms now, const struct slot *s, enum broker_outcome outcome,
		    clk_ms service_ms)
{
	struct upstream *u = s->upstream;

	switch (outcome) {
	case BROKER_DONE_OK:
		learn_completed(b, now, u, s, service_ms);
		break;
	case BROKER_DONE_SHED:
		if (!MUTANT(broker_ignore_failure))
			upstream_turn_cold(u);
		break;
	case BROKER_DONE_CONNECT:
	case BROKER_DONE_BROKE:
		/* It may have crashed; the new process would be cold. */
		u->failing = true;
		if (!MUTANT(broker_ignore_failure))
			upstream_turn_cold(u);
		break;
	case BROKER_DONE_NOT_RUN:
		u->failing = true;
		break;
	case BROKER_DONE_TIMEOUT:
	case BROKER_DONE_CANCELLED:
		/* The answer would have taken longer still. */
		if ((double)service_ms > recent_ms(b, now, u))
			learn_recent(b, now, u, service_ms);
		break;
	case BROKER_DONE_UNUSED:
		break;
	}
}

size_t broker_loads(const struct broker *b, struct broker_load *out, size_t max)
{
	const struct upstream *u;
	size_t n = 0;

	for (u = b->upstreams; u; u = u->hh.next) {
		if (!u->present)
			continue;
		if (n < max)
			out[n] = (struct broker_load){
				.num = u->num,
				.state = u->conf.state,
				.limit = upstream_usable(u)
						 ? (u->conf.state == BROKER_COLD ? cold_limit(b, u)
										 : u->conf.slots)
						 : 0,
				.in_use = u->in_use,
				.queued = (uint32_t)u->queue.len,
				.service_p50 = window_percentile(&u->times, 50),
				.completed = u->completed,
			};
		n++;
	}
	return n;
}
