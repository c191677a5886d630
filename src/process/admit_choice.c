#include "process/admit_priv.h"

#include <math.h>

#include "base/ctr.h"
#include "base/mutant.h"

/* Weights of a new sample in the moving averages of service time and of an upstream's slowness. */
#define SERVICE_TIME_WEIGHT 0.04
#define SLOWNESS_WEIGHT 0.1
/* Pause of an upstream after a failure; doubled after each further failure without a success. */
#define INITIAL_PAUSE_MS 100
#define MAX_PAUSE_MS 2000
/*
 * Time reserved for service before the latency objective, as a multiple of the mean service time.
 * Service times vary, and in lasting overload a longer queue only delays the admitted requests.
 */
#define TARGET_RESERVE_FACTOR 1.2
/*
 * A limit that no answer has repeated for this long is ignored: the upstream may have ended it, and
 * only a request shows that.
 */
#define LIMIT_AGE_MS 10000
/* Lowest limit, so that an upstream that names 0 still gets a request now and then. */
#define MIN_LIMIT_PER_S 0.25
/* Share of the mean service time that must be left before the deadline to start a request. */
#define MIN_SERVICE_SHARE 0.6
/* Share of the time until its deadline that a late request waits: the rest is for another attempt.
 */
#define LATE_WAIT_SHARE 0.7
/* Time added for an upstream in another failure domain, as a share of the service time. */
#define CROSS_DOMAIN_PENALTY 0.05
#define CROSS_DOMAIN_PENALTY_HEAVY 0.6
/* Median of an exponential distribution, as a share of its mean. */
#define MEDIAN_OF_EXPONENTIAL 0.69
/* The same for a request that waits behind others for a slot of one upstream. */
#define QUEUED_RESERVE_FACTOR 0.9
/*
 * A few long requests raise the mean of a class: a typical request costs less, by this share of the
 * mean deviation.
 */
#define TYPICAL_BELOW_MEAN 0.6
/* What the missed objective of a more urgent request counts for, beside one of a less urgent one.
 */
#define URGENT_WEIGHT 2.0
/* Time without a check after which a slot that is left free counts as left anew. */
#define HOLD_PAUSE_MS 50
/* Longest expected wait; no request waits that long. */
#define MAX_WAIT_MS 600000.0
/* Slowdown of a request when all slots of the upstream are in use, as a share of service time. */
#define CONCURRENCY_SLOWDOWN 0.15

CTR(ctr_left, "slots_left_to_urgent_total",
    "Times that a request left the last slot of an upstream to more urgent ones.");

bool admit_is_usable(const struct upstream *u)
{
	return u->present && u->conf.usable;
}

uint32_t admit_load_elsewhere(const struct upstream *u, clk_ms now)
{
	return now - u->reported_at < ADMIT_REPORT_AGE_MS ? u->elsewhere : 0;
}

static bool is_cold(const struct upstream *u, clk_ms now)
{
	return now < u->conf.cold_until && !MUTANT(admit_ignore_cold);
}

bool admit_is_limited(const struct upstream *u, clk_ms now)
{
	return u->limit > 0 && now - u->limit_named_at < LIMIT_AGE_MS &&
	       !MUTANT(admit_ignore_limit);
}

double admit_rate(const struct admit *a, const struct upstream *u, clk_ms now)
{
	double rate = INFINITY;

	if (is_cold(u, now))
		rate = a->opts.cold_per_second;
	if (admit_is_limited(u, now) && u->limit < rate)
		rate = u->limit;
	return rate;
}

double admit_tokens(const struct admit *a, const struct upstream *u, clk_ms now)
{
	double rate = admit_rate(a, u, now);
	double t;

	if (isinf(rate))
		return ADMIT_RATE_BURST;
	t = u->tokens + (double)(now - u->tokens_at) * rate / 1000.0;
	return t > ADMIT_RATE_BURST ? ADMIT_RATE_BURST : t;
}

bool admit_is_barred(const struct admit *a, const struct upstream *u, clk_ms now,
		     const struct admit_request *request)
{
	return request->unlimited_only && !isinf(admit_rate(a, u, now)) &&
	       !MUTANT(admit_ignore_bar);
}

bool admit_can_grant(const struct admit *a, const struct upstream *u, clk_ms now)
{
	uint32_t used = u->in_use + admit_load_elsewhere(u, now);

	if (!admit_is_usable(u) || now < u->paused_until)
		return false;
	if (admit_tokens(a, u, now) < 1.0)
		return false;
	if (u->in_use && failing_is_probed(&u->failing, now))
		return false;
	if (MUTANT(admit_over_slots))
		return used < u->conf.slots + 4;
	return used < u->conf.slots;
}

double admit_mean_service(const struct admit *a, const struct upstream *u)
{
	double slowness = 0;
	uint32_t n = 0;

	if (u)
		return a->service_ms * u->mean_slowness / 100.0;
	for (u = a->upstreams; u; u = u->hh.next) {
		if (!admit_is_usable(u))
			continue;
		slowness += u->mean_slowness;
		n++;
	}
	return n ? a->service_ms * slowness / n / 100.0 : a->service_ms;
}

struct cost_estimate admit_cost(const struct admit *a, const struct upstream *u,
				uint32_t cost_class)
{
	struct cost_estimate e = cost_predict(&a->costs, cost_class, a->service_ms);

	e.ms *= a->service_ms > 0 ? admit_mean_service(a, u) / a->service_ms : 1;
	return e;
}

/*
 * Returns the expected time to the answer of a request that the upstream gets now. If the upstream
 * fails requests, that includes sending them again.
 */
static double expected_answer_ms(const struct admit *a, const struct upstream *u, clk_ms now,
				 uint32_t cost_class)
{
	double usual = cost_predict(&a->costs, cost_class, a->service_ms).ms;
	double ms = usual * u->mean_slowness / 100.0;

	if (now - u->reported_at < ADMIT_REPORT_AGE_MS && u->slowness > 0 &&
	    !MUTANT(admit_ignore_slow))
		ms = usual * u->slowness / 100.0;
	ms *= 1.0 +
	      CONCURRENCY_SLOWDOWN * (u->in_use + admit_load_elsewhere(u, now)) / u->conf.slots;
	return failing_answer_ms(&u->failing, now, ms, usual);
}

static bool is_avoided(const struct admit_request *request, uint64_t num)
{
	for (size_t i = 0; i < ADMIT_MAX_AVOID; i++) {
		if (request->avoid[i] == num)
			return true;
	}
	return false;
}

struct upstream *admit_choose_upstream(struct admit *a, clk_ms now,
				       const struct admit_request *request)
{
	struct upstream *best = NULL;
	double best_ms = 0;
	uint32_t ties = 0;
	struct upstream *u;

	for (u = a->upstreams; u; u = u->hh.next) {
		double ms;

		if (!admit_can_grant(a, u, now) || is_avoided(request, u->num) ||
		    admit_is_barred(a, u, now, request))
			continue;
		ms = expected_answer_ms(a, u, now, request->cost_class);
		if (u->conf.place != request->place)
			ms += (request->heavy ? CROSS_DOMAIN_PENALTY_HEAVY : CROSS_DOMAIN_PENALTY) *
			      a->service_ms;
		if (best && fabs(ms - best_ms) < 1e-9) {
			if (rnd_below(&a->rnd, ++ties) != 0)
				continue;
		} else if (best && ms > best_ms) {
			continue;
		} else {
			ties = 1;
		}
		best = u;
		best_ms = ms;
	}
	return best;
}

void admit_update_utilization(struct upstream *u, clk_ms now)
{
	double share = u->conf.slots ? (double)u->in_use / u->conf.slots : 0;
	double decay = exp(-(double)(now - u->utilization_at) / 1000.0);

	u->utilization = u->utilization * decay + share * (1.0 - decay);
	u->utilization_at = now;
}

/* Slots of the upstream `only`, or of all if NULL. */
struct capacity {
	double slots;	/* of usable upstreams that are not paused, as far as their rate allows */
	double idle;	/* of these, the number that can be granted now */
	double paused;	/* of usable upstreams that are paused */
	clk_ms resumes; /* end of the first pause */
};

/* Returns the slots of the upstream that its request rate lets use. */
static double effective_slots(const struct admit *a, const struct upstream *u, clk_ms now)
{
	return fmin(u->conf.slots, admit_rate(a, u, now) * admit_mean_service(a, u) / 1000.0);
}

static double idle_slots(const struct admit *a, const struct upstream *u, clk_ms now)
{
	uint32_t used = u->in_use + admit_load_elsewhere(u, now);

	if (used >= u->conf.slots)
		return 0;
	if (isinf(admit_rate(a, u, now)))
		return u->conf.slots - used;
	return fmin(u->conf.slots - used, fmax(admit_tokens(a, u, now), 0));
}

static struct capacity count_capacity(const struct admit *a, const struct upstream *only,
				      clk_ms now)
{
	struct capacity c = {.resumes = CLK_NEVER};
	const struct upstream *u;

	for (u = a->upstreams; u; u = u->hh.next) {
		if ((only && u != only) || !admit_is_usable(u))
			continue;
		if (now < u->paused_until) {
			if (MUTANT(admit_paused_is_gone))
				continue;
			c.paused += effective_slots(a, u, now);
			if (u->paused_until < c.resumes)
				c.resumes = u->paused_until;
			continue;
		}
		c.slots += effective_slots(a, u, now);
		c.idle += idle_slots(a, u, now);
	}
	return c;
}

struct work admit_work(const struct admit *a, const struct upstream *u, clk_ms now)
{
	uint32_t elsewhere = admit_load_elsewhere(u, now);
	struct work w = {0};

	for (const struct slot *s = u->granted; s; s = s->next)
		work_add(&w, work_remaining(s->cost.ms, s->cost.deviation,
					    (double)(now - s->granted_at)));
	for (uint32_t i = 0; i < elsewhere; i++)
		work_add(&w, admit_mean_service(a, u));
	return w;
}

/*
 * Returns the wait for a slot of an upstream whose requests differ in cost that is exceeded as
 * often as not: a request that is more likely than not to get a slot in time is not refused.
 */
static double wait_by_work(const struct admit *a, const struct upstream *u, clk_ms now,
			   uint32_t ahead, const struct capacity *c)
{
	struct work work = admit_work(a, u, now);
	const struct waiting *w = u->queue.head;
	double idle = c->idle;
	double queued_ms = 0;

	for (uint32_t i = 0; i < ahead; i++) {
		double ms = admit_cost(a, u, w ? w->request.cost_class : 0).ms;

		/* The first ones take the idle slots; the others wait before this request. */
		if (idle >= 1) {
			idle -= 1;
			work_add(&work, ms);
		} else {
			queued_ms += ms;
		}
		w = w ? w->next : NULL;
	}
	return work_next_release(&work) * MEDIAN_OF_EXPONENTIAL + queued_ms / c->slots;
}

clk_ms admit_wait_behind(const struct admit *a, const struct upstream *only, clk_ms now,
			 uint32_t ahead)
{
	struct capacity c = count_capacity(a, only, now);
	double service = admit_mean_service(a, only);

	if (ahead + 1 <= c.idle)
		return 0;
	if (only && c.slots >= only->conf.slots && cost_is_mixed(&a->costs))
		return (clk_ms)fmin(wait_by_work(a, only, now, ahead, &c), MAX_WAIT_MS);
	if (c.slots > 0)
		return (clk_ms)((ahead - c.idle + 1) * service / c.slots);
	if (c.paused <= 0)
		return ADMIT_OWNER_WAIT_MS;
	/* All slots are free when the pause ends, unless requests sent before still run. */
	return c.resumes - now + (clk_ms)(ahead * service / c.paused);
}

double admit_slots(const struct admit *a, const struct upstream *only, clk_ms now)
{
	return count_capacity(a, only, now).slots;
}

/*
 * Returns the time to reserve for the service of a request before its latency objective. A request
 * that is next at its upstream waits for one slot, and that wait varies so much that the typical
 * cost is enough. Behind others the wait is more certain, and the larger reserve keeps a lasting
 * overload from delaying all admitted requests. The wait for any of many slots varies least.
 */
static double reserved_ms(const struct admit *a, const struct upstream *only, uint32_t priority,
			  const struct cost_estimate *cost)
{
	const struct waiting *first = only ? only->queue.head : NULL;

	if (!only || !cost_is_mixed(&a->costs))
		return cost->ms * TARGET_RESERVE_FACTOR;
	if (first && first->request.priority <= priority)
		return cost->ms * QUEUED_RESERVE_FACTOR;
	return cost->ms * (1.0 - TYPICAL_BELOW_MEAN * cost->deviation);
}

/* Returns the longest wait after which the answer is still likely to arrive by the target. */
static clk_ms budget_by_target(const struct admit *a, const struct upstream *only, clk_ms now,
			       const struct admit_request *request)
{
	struct cost_estimate cost = admit_cost(a, only, request->cost_class);

	return request->target - now - (clk_ms)reserved_ms(a, only, request->priority, &cost);
}

/* The same by the deadline. */
static clk_ms budget_by_deadline(const struct admit *a, const struct upstream *only, clk_ms now,
				 const struct admit_request *request)
{
	double cost = admit_cost(a, only, request->cost_class).ms;

	return request->deadline - now - (clk_ms)(cost * MIN_SERVICE_SHARE);
}

bool admit_misses_target(const struct admit *a, const struct upstream *only, clk_ms now,
			 const struct admit_request *request)
{
	return budget_by_target(a, only, now, request) <= 0;
}

clk_ms admit_late_budget(const struct admit *a, const struct upstream *only, clk_ms now,
			 const struct admit_request *request)
{
	return (clk_ms)((double)budget_by_deadline(a, only, now, request) * LATE_WAIT_SHARE);
}

clk_ms admit_wait_budget(const struct admit *a, const struct upstream *only, clk_ms now,
			 const struct admit_request *request)
{
	clk_ms by_target = budget_by_target(a, only, now, request);
	clk_ms by_deadline = budget_by_deadline(a, only, now, request);

	if (MUTANT(admit_no_refusal))
		return request->deadline - now;
	/*
	 * A retried request may have missed the objective already. It may then wait for half a
	 * service time if the deadline permits.
	 */
	if (by_target <= 0)
		by_target = (clk_ms)(admit_cost(a, only, request->cost_class).ms / 2);
	return by_target < by_deadline ? by_target : by_deadline;
}

void admit_pause(struct upstream *u, clk_ms now)
{
	/* Failures of requests that were sent before the pause tell nothing new. */
	if (now < u->paused_until)
		return;
	u->pause = u->pause ? u->pause * 2 : INITIAL_PAUSE_MS;
	if (u->pause > MAX_PAUSE_MS)
		u->pause = MAX_PAUSE_MS;
	u->paused_until = now + u->pause;
}

void admit_apply_report(struct upstream *u, clk_ms now, const struct admit_report *r)
{
	uint32_t total = r->running + r->waiting;

	if (!r->known)
		return;
	u->reported_at = now;
	u->slowness = r->slowness;
	/* Both `total` and `in_use` still include the answered request. */
	u->elsewhere = total > u->in_use ? total - u->in_use : 0;
}

bool admit_apply_limit(const struct admit *a, struct upstream *u, clk_ms now,
		       const struct admit_report *r)
{
	bool was_limited = admit_is_limited(u, now);
	double tokens = admit_tokens(a, u, now);
	double limit = fmax(r->notice.limit, MIN_LIMIT_PER_S);
	bool stricter;

	if (!r->answered)
		return false;
	if (!r->notice.limited) {
		u->limit = 0;
		return false;
	}
	stricter = !was_limited || limit < u->limit;
	/* A bucket that starts empty does not add a burst to what was sent just before. */
	u->tokens = was_limited ? tokens : fmin(tokens, 0);
	u->tokens_at = now;
	u->limit = limit;
	u->limit_named_at = now;
	return stricter;
}

void admit_update_service_time(struct admit *a, struct upstream *u, uint32_t cost_class,
			       clk_ms service, const struct admit_report *r)
{
	double ms = (double)service;
	double usual = cost_predict(&a->costs, cost_class, a->service_ms).ms;
	bool reported = r->known && r->slowness > 0;

	if (reported)
		u->mean_slowness += (r->slowness - u->mean_slowness) * SLOWNESS_WEIGHT;
	else if (usual > 0)
		u->mean_slowness += (ms / usual * 100.0 - u->mean_slowness) * SLOWNESS_WEIGHT;
	/* The slowness may change while a request runs, so the mean slowness normalizes `ms`. */
	ms = ms * 100.0 / u->mean_slowness;
	cost_learn(&a->costs, cost_class, ms, a->service_ms);
	a->service_ms += (ms - a->service_ms) * SERVICE_TIME_WEIGHT;
}

void admit_learn_cost(struct admit *a, uint32_t cost_class, clk_ms service,
		      const struct admit_report *r)
{
	double slowness = r->known && r->slowness > 0 ? r->slowness : ADMIT_USUAL_SLOWNESS;

	cost_learn(&a->costs, cost_class, (double)service * 100.0 / slowness, a->service_ms);
}

void admit_note_arrival(struct admit *a, struct upstream *u, clk_ms now,
			const struct admit_request *request, clk_ms budget)
{
	cost_hint(&a->costs, request->cost_class, request->hint_ms, request->hint_samples,
		  a->service_ms);
	if (u)
		work_note_arrival(&u->arrivals, now, request->priority, (double)budget);
}

/*
 * Returns the number of waiting requests, none more urgent than `w`, that are expected to wait too
 * long if `w` does not get the last slot but one that is free after `release_ms`.
 */
static double misses_by_holding(const struct admit *a, const struct upstream *u, clk_ms now,
				const struct waiting *w, double release_ms)
{
	double wait_ms = release_ms;
	double misses = 0;

	for (; w; w = w->next) {
		misses += work_chance_over((double)(w->grant_by - now), wait_ms);
		wait_ms += admit_cost(a, u, w->request.cost_class).ms / (u->conf.slots - 1);
	}
	return misses / (1 - fmin(u->utilization, 0.9));
}

bool admit_leaves_slot(const struct admit *a, struct upstream *u, clk_ms now,
		       const struct waiting *w)
{
	uint32_t used = u->in_use + admit_load_elsewhere(u, now);
	struct work others;
	struct work all;
	double urgent;
	double release_ms;

	if (u->conf.slots < 2 || used + 1 != u->conf.slots || !cost_is_mixed(&a->costs) ||
	    MUTANT(admit_fill_slots))
		return false;
	others = admit_work(a, u, now);
	release_ms = work_next_release(&others);
	/* The next slot must be free in time, so that no request is left without one. */
	if ((double)(w->grant_by - now) <= release_ms && !MUTANT(admit_hold_always))
		return false;
	all = others;
	work_add(&all, admit_cost(a, u, w->request.cost_class).ms);
	urgent =
		work_urgent_misses(&u->arrivals, now, w->request.priority, work_next_release(&all));
	if (urgent <= 0 || (urgent * URGENT_WEIGHT <= misses_by_holding(a, u, now, w, release_ms) &&
			    !MUTANT(admit_hold_always)))
		return false;
	if (now - u->held_at > HOLD_PAUSE_MS)
		ctr_inc(&ctr_left);
	u->held_at = now;
	return true;
}
