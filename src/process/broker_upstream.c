/* Limits, cold starts and statistics of upstreams, and the choice of an upstream for a grant. */
#include <math.h>
#include <stdlib.h>
#include <utlist.h>

#include "process/broker_priv.h"

#define UPSTREAM_WINDOW 100   /* answers in the median of one upstream */
#define MEDIAN_MIN_SAMPLES 10 /* with fewer answers, no upstream counts as slow */
#define SLOW_STREAK 5	      /* slow answers in a row that start a cold start */
#define RECENT_WEIGHT 0.25    /* weight of the newest sample in the recent service time */
#define RECENT_DECAY_MS 1000  /* after this time without samples the median is used instead */

struct upstream *upstream_find(const struct broker *b, uint32_t num)
{
	struct upstream *u;

	HASH_FIND(hh, b->upstreams, &num, sizeof(num), u);
	return u;
}

struct upstream *upstream_find_or_create(struct broker *b, uint32_t num)
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
	window_init(&u->service_times, UPSTREAM_WINDOW);
	HASH_ADD(hh, b->upstreams, num, sizeof(u->num), u);
	return u;
}

void upstream_free_unused(struct broker *b, struct upstream *u)
{
	if (u->present || u->slot_refs > 0)
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

void upstream_begin_cold_start(struct upstream *u)
{
	u->cold_start_num++;
	u->cold_completed = 0;
	u->slow_streak = 0;
	if (u->conf.state == BROKER_WARM)
		u->conf.state = BROKER_COLD;
}

/*
 * Returns the limit that a cold upstream has reached by completed requests. Whether unknown slots
 * stop its grants after a takeover is for upstream_limit() to check.
 */
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
	if (b->unknown_slots && now < b->unknown_until && !MUTANT(broker_ignore_unknown))
		return 0;
	return cold_limit(b, u);
}

uint32_t upstream_available_slots(const struct broker *b, clk_ms now, const struct upstream *u)
{
	uint32_t limit = upstream_limit(b, now, u);

	if (MUTANT(broker_over_limit) && limit > 0)
		limit++;
	return u->in_use < limit ? limit - u->in_use : 0;
}

void broker_set_upstream(struct broker *b, clk_ms now, const struct broker_upstream *conf)
{
	struct upstream *u = upstream_find_or_create(b, conf->num);
	bool was_present = u->present;
	enum broker_upstream_state before = u->conf.state;

	u->present = true;
	u->conf = *conf;
	if (conf->state == BROKER_COLD && before != BROKER_COLD) {
		upstream_begin_cold_start(u);
	} else if (conf->state == BROKER_WARM && was_present && before != BROKER_WARM &&
		   !MUTANT(broker_return_warm)) {
		/*
		 * Only completed requests make a cold upstream warm. An upstream that was draining,
		 * out or lost may have restarted unnoticed, so it starts cold as well.
		 */
		u->conf.state = BROKER_COLD;
		if (before != BROKER_COLD)
			upstream_begin_cold_start(u);
	}
	if (!was_present)
		waiting_requeue_all(b);
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
	waiting_requeue_all(b);
	u->slot_refs++; /* keeps slot_free() from freeing `u` */
	DL_FOREACH_SAFE(u->slots, s, tmp)
	{
		s->key_cleared = true;
		if (s->overdue)
			slot_free(b, s);
	}
	u->slot_refs--;
	upstream_free_unused(b, u);
}

void broker_begin_cold_start(struct broker *b, clk_ms now, uint32_t num)
{
	struct upstream *u = upstream_find(b, num);

	if (u && !MUTANT(broker_ignore_restart))
		upstream_begin_cold_start(u);
}

/* Returns the time since the grant of the oldest slot that counts against the limit. */
static clk_ms oldest_age(clk_ms now, const struct upstream *u)
{
	const struct slot *s;
	clk_ms oldest = 0;

	DL_FOREACH(u->slots, s)
	{
		if (!s->overdue && now - s->granted_at > oldest)
			oldest = now - s->granted_at;
	}
	return oldest;
}

bool upstream_is_straggler(const struct broker *b, clk_ms now, const struct upstream *u)
{
	clk_ms median = window_percentile(&b->service_times, 50);

	if (u->failing)
		return true;
	if (b->service_times.count < MEDIAN_MIN_SAMPLES)
		return false;
	return oldest_age(now, u) > b->opts.straggler_factor * (median > 0 ? median : 1);
}

/*
 * Returns the moving average of the upstream's service times. Without new samples the average
 * approaches the median of the service linearly.
 */
static double recent_service_ms(const struct broker *b, clk_ms now, const struct upstream *u)
{
	double median = (double)window_percentile(&b->service_times, 50);
	double weight = 1.0 - (double)(now - u->recent_at) / RECENT_DECAY_MS;

	return weight > 0 ? median + (u->recent_service_ms - median) * weight : median;
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

		if (u == except || upstream_available_slots(b, now, u) == 0)
			continue;
		straggler = upstream_is_straggler(b, now, u);
		ms = recent_service_ms(b, now, u);
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
	clk_ms service = window_percentile(u ? &u->service_times : &b->service_times, 50);
	uint64_t limit = 0;
	uint64_t available = 0;
	const struct upstream *i;

	for (i = b->upstreams; i; i = i->hh.next) {
		if (u && i != u)
			continue;
		limit += upstream_limit(b, now, i);
		available += upstream_available_slots(b, now, i);
	}
	if (limit == 0 || ahead < available)
		return 0; /* no estimate is possible, or a slot is free */
	return (clk_ms)((ahead - available + 1) * (uint64_t)service / limit);
}

static void update_recent(struct broker *b, clk_ms now, struct upstream *u, clk_ms service_ms)
{
	double before = recent_service_ms(b, now, u);

	u->recent_service_ms = before + ((double)service_ms - before) * RECENT_WEIGHT;
	u->recent_at = now;
}

/*
 * Starts a cold start after SLOW_STREAK slow answers in a row under light load: load does not
 * explain them, so the upstream has probably restarted and lost its caches.
 */
static void detect_slow_streak(const struct broker *b, struct upstream *u, const struct slot *s,
			       clk_ms service_ms)
{
	if (!s->lightly_loaded || s->adopted)
		return;
	if (u->service_times.count < MEDIAN_MIN_SAMPLES ||
	    service_ms <= b->opts.straggler_factor * window_percentile(&u->service_times, 50)) {
		u->slow_streak = 0;
		return;
	}
	if (++u->slow_streak >= SLOW_STREAK && !MUTANT(broker_ignore_slow))
		upstream_begin_cold_start(u);
}

static void record_completed(struct broker *b, clk_ms now, struct upstream *u, const struct slot *s,
			     clk_ms service_ms)
{
	u->failing = false;
	u->completed++;
	/* Requests granted before the cold start say nothing about its progress. */
	if (!s->adopted &&
	    (s->cold_start_num == u->cold_start_num || MUTANT(broker_ramp_by_old_slots))) {
		u->cold_completed++;
		if (u->conf.state == BROKER_COLD && cold_limit(b, u) == u->conf.slots)
			u->conf.state = BROKER_WARM;
	}
	detect_slow_streak(b, u, s, service_ms);
	window_add(&u->service_times, service_ms);
	window_add(&b->service_times, service_ms);
	update_recent(b, now, u, service_ms);
}

void upstream_record_outcome(struct broker *b, clk_ms now, const struct slot *s,
			     enum broker_outcome outcome, clk_ms service_ms)
{
	struct upstream *u = s->upstream;

	switch (outcome) {
	case BROKER_DONE_OK:
		record_completed(b, now, u, s, service_ms);
		break;
	case BROKER_DONE_SHED:
		if (!MUTANT(broker_ignore_failure))
			upstream_begin_cold_start(u);
		break;
	case BROKER_DONE_CONNECT:
	case BROKER_DONE_BROKE:
		/* The upstream may have crashed, and its new process would be cold. */
		u->failing = true;
		if (!MUTANT(broker_ignore_failure))
			upstream_begin_cold_start(u);
		break;
	case BROKER_DONE_NOT_RUN:
		u->failing = true;
		break;
	case BROKER_DONE_TIMEOUT:
	case BROKER_DONE_CANCELLED:
		/* The answer would have taken at least `service_ms`. */
		if ((double)service_ms > recent_service_ms(b, now, u))
			update_recent(b, now, u, service_ms);
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
				.service_p50 = window_percentile(&u->service_times, 50),
				.completed = u->completed,
			};
		n++;
	}
	return n;
}
