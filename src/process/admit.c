#include "process/admit_priv.h"

#include <math.h>
#include <stdlib.h>
#include <utlist.h>

#include "accounts/fair.h"
#include "base/mutant.h"
#include "queue/comeback.h"

/* Time after the request's deadline at which a slot that was not returned is freed. */
#define SLOT_EXPIRY_MARGIN_MS 200
/* Shortest Retry-After, and a random addition so that callers do not retry at the same time. */
#define RETRY_AFTER_MIN_MS 150
#define RETRY_AFTER_JITTER_MS 150

/* Wait up to which later arrivals are left out of the estimate, as a share of the service time. */
#define SHORT_WAIT_SHARE 0.5
/* Time after which a request that leaves the last slot to urgent ones is looked at again. */
#define HOLD_RECHECK_MS 20

/* A service whose cold upstreams may get nothing has no next token. */
#define MAX_TOKEN_WAIT_MS 10000.0

static const char *const outcome_names[] = {
	[ADMIT_OK] = "ok",	   [ADMIT_SHED] = "shed",	[ADMIT_UNREACHED] = "unreached",
	[ADMIT_BROKE] = "broke",   [ADMIT_TIMEOUT] = "timeout", [ADMIT_CANCELLED] = "cancelled",
	[ADMIT_UNUSED] = "unused",
};

static const char *const refusal_names[] = {
	[ADMIT_REFUSE_NONE] = "none",
	[ADMIT_REFUSE_FULL] = "full",
	[ADMIT_REFUSE_NO_UPSTREAM] = "no-upstream",
	[ADMIT_REFUSE_NO_OWNER] = "no-owner",
	[ADMIT_REFUSE_EXPIRED] = "expired",
};

const char *admit_outcome_name(enum admit_outcome outcome)
{
	return (size_t)outcome < sizeof(outcome_names) / sizeof(outcome_names[0])
		       ? outcome_names[outcome]
		       : "invalid";
}

const char *admit_refusal_name(enum admit_refusal reason)
{
	return (size_t)reason < sizeof(refusal_names) / sizeof(refusal_names[0])
		       ? refusal_names[reason]
		       : "invalid";
}

struct admit *admit_create(const struct admit_options *opts, admit_owner owner, void *data,
			   uint64_t seed)
{
	struct admit *a = calloc(1, sizeof(*a));

	if (!a)
		abort();
	a->opts = *opts;
	a->owner = owner;
	a->data = data;
	rnd_seed(&a->rnd, seed);
	/* With a random start, different controllers hardly ever assign the same slot id. */
	a->next_slot = rnd_u64(&a->rnd) | 1;
	a->service_ms = (double)opts->initial_service_time;
	a->refusals_end = &a->refusals;
	a->returns = returns_create();
	return a;
}

void admit_set_options(struct admit *a, const struct admit_options *opts)
{
	a->opts = *opts;
}

/* ---- queues --------------------------------------------------------------------------------- */

static void queue_push(struct queue *q, struct waiting *w)
{
	struct waiting *after = q->tail;

	while (after && order_precedes(&w->rank, &after->rank))
		after = after->prev;
	w->prev = after;
	w->next = after ? after->next : q->head;
	if (w->next)
		w->next->prev = w;
	else
		q->tail = w;
	if (after)
		after->next = w;
	else
		q->head = w;
	w->queue = q;
	q->len++;
}

static void queue_unlink(struct waiting *w)
{
	struct queue *q = w->queue;

	if (w->prev)
		w->prev->next = w->next;
	else
		q->head = w->next;
	if (w->next)
		w->next->prev = w->prev;
	else
		q->tail = w->prev;
	w->prev = NULL;
	w->next = NULL;
	q->len--;
}

static void waiting_remove(struct admit *a, struct waiting *w)
{
	queue_unlink(w);
	HASH_DEL(a->waiting, w);
	free(w);
}

static struct waiting *waiting_find(const struct admit *a, uint64_t node, uint64_t request)
{
	struct waiting_id id = {node, request};
	struct waiting *w;

	HASH_FIND(hh, a->waiting, &id, sizeof(id), w);
	return w;
}

/* A request and what follows from it and from its caller's earlier attempts. */
struct arrival {
	struct admit_request request; /* its target counts from the caller's first attempt */
	struct order_rank rank;
	clk_ms elapsed;
};

/* Whether the queue will hardly have room for a request that comes back after `wait`. */
static bool stays_full(const struct admit *a, clk_ms now, const struct queue *q, clk_ms wait)
{
	double departures = (double)wait * admit_slots(a, q->only, now) /
			    fmax(admit_mean_service(a, q->only), 1.0);

	return backlog_is_lasting(&q->backlog, now) &&
	       !comeback_has_chance((double)q->len, departures);
}

/* Returns the Retry-After of a request that finds room after `wait` at the earliest. */
static clk_ms retry_after(struct admit *a, clk_ms now, const struct arrival *r,
			  const struct queue *q, clk_ms wait)
{
	clk_ms left = r->request.caller_deadline - now;

	if (wait < RETRY_AFTER_MIN_MS)
		wait = RETRY_AFTER_MIN_MS;
	wait += (clk_ms)rnd_below(&a->rnd, RETRY_AFTER_JITTER_MS);
	if (r->request.fingerprint && q && (r->rank.late || stays_full(a, now, q, wait))) {
		clk_ms late = comeback_late(left, rnd_u64(&a->rnd));

		return late > wait && !MUTANT(admit_return_early) ? late : wait;
	}
	return wait;
}

/* `q` is the queue that has no room, NULL if the reason is another. */
static void refuse(struct admit *a, clk_ms now, const struct arrival *r, const struct queue *q,
		   enum admit_refusal reason, clk_ms wait, clk_ms waited, uint32_t ahead)
{
	struct refusal *refusal = calloc(1, sizeof(*refusal));

	if (!refusal)
		abort();
	if (r->request.fingerprint)
		returns_note_refusal(a->returns, now, r->request.fingerprint,
				     r->request.caller_deadline, r->request.target);
	refusal->decision = (struct admit_decision){
		.node = r->request.node,
		.request = r->request.id,
		.reason = reason,
		.retry_after = retry_after(a, now, r, q, wait),
		.waited = waited,
		.ahead = ahead,
		.elapsed = r->elapsed,
		.late = r->rank.late,
	};
	*a->refusals_end = refusal;
	a->refusals_end = &refusal->next;
}

static void waiting_refuse(struct admit *a, clk_ms now, struct waiting *w,
			   enum admit_refusal reason, clk_ms wait)
{
	struct arrival r = {w->request, w->rank, w->elapsed};

	refuse(a, now, &r, w->queue == &a->ownerless ? NULL : w->queue, reason, wait,
	       now - w->arrived, 0);
	waiting_remove(a, w);
}

/* ---- upstreams ------------------------------------------------------------------------------ */

static struct upstream *upstream_find(const struct admit *a, uint64_t num)
{
	struct upstream *u;

	HASH_FIND(hh, a->upstreams, &num, sizeof(num), u);
	return u;
}

/* Frees a removed upstream that no slot and no waiting request refers to. */
static void upstream_free_if_unused(struct admit *a, struct upstream *u)
{
	if (u->present || u->in_use || u->queue.len)
		return;
	HASH_DEL(a->upstreams, u);
	free(u);
}

void admit_set_upstream(struct admit *a, clk_ms now, const struct admit_upstream *conf)
{
	struct upstream *u = upstream_find(a, conf->num);

	if (!u) {
		u = calloc(1, sizeof(*u));
		if (!u)
			abort();
		u->num = conf->num;
		u->utilization_at = now;
		u->tokens_at = now;
		u->tokens = ADMIT_RATE_BURST;
		u->mean_slowness = ADMIT_USUAL_SLOWNESS;
		u->queue.only = u;
		HASH_ADD(hh, a->upstreams, num, sizeof(u->num), u);
	}
	u->present = true;
	u->conf = *conf;
	if (a->opts.keyed)
		admit_reroute(a);
}

void admit_remove_upstream(struct admit *a, uint64_t num)
{
	struct upstream *u = upstream_find(a, num);

	if (!u)
		return;
	u->present = false;
	u->conf.usable = false;
	admit_reroute(a);
	upstream_free_if_unused(a, u);
}

/* ---- waiting time --------------------------------------------------------------------------- */

clk_ms admit_expected_wait(const struct admit *a, clk_ms now, uint64_t num)
{
	const struct upstream *u = num ? upstream_find(a, num) : NULL;

	return admit_wait_behind(a, u, now, u ? u->queue.len : a->common.len);
}

/* ---- requests ------------------------------------------------------------------------------- */

bool admit_is_waiting(const struct admit *a, uint64_t node, uint64_t request)
{
	return waiting_find(a, node, request) != NULL;
}

bool admit_is_ownerless(const struct admit *a, uint64_t node, uint64_t request)
{
	const struct waiting *w = waiting_find(a, node, request);

	return w && w->queue == &a->ownerless;
}

static struct upstream *owner_of(const struct admit *a, uint32_t key)
{
	uint64_t num = a->owner ? a->owner(a->data, key) : 0;
	struct upstream *u = num ? upstream_find(a, num) : NULL;

	return u && admit_is_usable(u) ? u : NULL;
}

/*
 * Returns the queue in which the request waits. Stores in `only` the owner of its key, or NULL if
 * any upstream may serve the request or the key has no owner.
 */
static struct queue *queue_of(struct admit *a, const struct admit_request *request,
			      struct upstream **only)
{
	*only = NULL;
	if (!a->opts.keyed)
		return &a->common;
	*only = owner_of(a, request->key);
	return *only ? &(*only)->queue : &a->ownerless;
}

/* Returns the number of requests in the queue that are served before a new one. */
static uint32_t count_ahead(const struct queue *q, const struct order_rank *rank)
{
	uint32_t n = 0;

	for (const struct waiting *w = q->head; w && !order_precedes(rank, &w->rank); w = w->next)
		n++;
	return n;
}

/*
 * Returns the expected wait of a request with `ahead` others before it. A late one also waits for
 * timely requests that have not arrived yet, unless the wait is short.
 */
static clk_ms wait_of(const struct admit *a, const struct queue *q, const struct upstream *only,
		      clk_ms now, uint32_t ahead, bool late)
{
	clk_ms wait = admit_wait_behind(a, only, now, ahead);
	double per_second;

	if (!late || (double)wait <= admit_mean_service(a, only) * SHORT_WAIT_SHARE)
		return wait;
	per_second = admit_slots(a, only, now) * 1000.0 / admit_mean_service(a, only);
	return room_late_wait(&q->room, now, wait, per_second);
}

static bool has_usable_upstream(const struct admit *a)
{
	const struct upstream *u;

	for (u = a->upstreams; u; u = u->hh.next) {
		if (admit_is_usable(u))
			return true;
	}
	return false;
}

static void add_waiting_request(struct admit *a, clk_ms now, const struct arrival *r,
				struct queue *q, clk_ms budget)
{
	struct waiting *w = calloc(1, sizeof(*w));

	if (!w)
		abort();
	w->id = (struct waiting_id){r->request.node, r->request.id};
	w->request = r->request;
	w->rank = r->rank;
	w->elapsed = r->elapsed;
	w->arrived = now;
	w->grant_by = now + (budget > 0 ? budget : 0);
	HASH_ADD(hh, a->waiting, id, sizeof(w->id), w);
	queue_push(q, w);
}

/*
 * Refuses the last request of the queue if it can no longer get a slot by its `grant_by`; returns
 * false if it can. Its caller gets the answer now instead of at that time.
 */
static bool refuse_last(struct admit *a, clk_ms now, struct queue *q, const struct upstream *only)
{
	struct waiting *last = q->tail;
	clk_ms wait = wait_of(a, q, only, now, q->len - 1, last->rank.late);

	if (wait <= last->grant_by - now)
		return false;
	waiting_refuse(a, now, last, ADMIT_REFUSE_FULL,
		       admit_wait_behind(a, only, now, q->len - 1));
	return true;
}

/* Called after a request of higher priority than the last one may have been added. */
static void refuse_displaced(struct admit *a, clk_ms now, struct queue *q,
			     const struct upstream *only)
{
	if (q->len >= 2)
		refuse_last(a, now, q, only);
}

/*
 * Refuses waiting requests for which there is no room any more, since an upstream takes fewer:
 * first those that only another gateway may send there, then the last ones of the queue.
 */
static void refuse_excess(struct admit *a, clk_ms now, struct upstream *u)
{
	struct upstream *only = a->opts.keyed ? u : NULL;
	struct queue *q = only ? &u->queue : &a->common;
	struct waiting *next;

	for (struct waiting *w = only ? q->head : NULL; w; w = next) {
		next = w->next;
		if (admit_is_barred(a, u, now, &w->request))
			waiting_refuse(a, now, w, ADMIT_REFUSE_FULL, ADMIT_OWNER_WAIT_MS);
	}
	while (q->len && refuse_last(a, now, q, only))
		;
}

/* Returns the time after which a refused request is likely to find room. */
static clk_ms refusal_wait(const struct admit *a, const struct upstream *only, clk_ms now,
			   uint32_t ahead, bool late, clk_ms budget)
{
	clk_ms wait = admit_wait_behind(a, only, now, ahead);

	if (late)
		return wait - (clk_ms)(admit_mean_service(a, only) * SHORT_WAIT_SHARE);
	return wait - budget;
}

/* Returns the number of requests in the queue that belong to the account. */
static uint32_t count_account(const struct queue *q, uint64_t account)
{
	uint32_t n = 0;

	for (const struct waiting *w = account ? q->head : NULL; w; w = w->next)
		n += w->request.account == account;
	return n;
}

/*
 * Whether the target is out of reach because time has passed since the first attempt. A target that
 * is too short for the mean service time says nothing of the request: its own may be shorter.
 */
static bool is_late(const struct admit *a, clk_ms now, const struct arrival *r,
		    const struct upstream *only)
{
	return (r->elapsed > 0 || r->request.target <= now) &&
	       admit_misses_target(a, only, now, &r->request);
}

/* Counts the target from the caller's first attempt and ranks the request by what is left. */
static struct arrival rank_arrival(struct admit *a, clk_ms now, const struct admit_request *request,
				   const struct upstream *only)
{
	struct arrival r = {.request = *request};
	struct returns_caller caller;

	if (request->fingerprint &&
	    returns_find(a->returns, request->fingerprint, request->caller_deadline, &caller)) {
		r.request.target = caller.target;
		r.elapsed = now - caller.first;
	}
	r.rank = (struct order_rank){
		.priority = request->priority,
		.late = is_late(a, now, &r, only),
		.seq = a->next_seq++,
	};
	return r;
}

/* How long a request may wait. */
struct limits {
	clk_ms expected; /* longest expected wait with which it is admitted */
	clk_ms wait;	 /* time after which it is refused if it has no slot */
};

/* `budget` is the longest wait after which the answer is likely to arrive in time. */
static struct limits limits_of(const struct admit *a, clk_ms now, struct queue *q,
			       const struct upstream *only, bool late, clk_ms budget)
{
	double service = admit_mean_service(a, only);
	double slots = admit_slots(a, only, now);
	struct limits l = {budget, budget};

	if (admit_wait_behind(a, only, now, q->len) <= 0) {
		backlog_note_free(&q->backlog, now);
	} else if (!late && backlog_is_lasting(&q->backlog, now)) {
		l.expected = backlog_budget(budget, service, slots);
		l.wait = backlog_patience(l.expected, service, slots);
	}
	if (l.wait > budget)
		l.wait = budget;
	return l;
}

void admit_request(struct admit *a, clk_ms now, const struct admit_request *request)
{
	struct upstream *only;
	struct queue *q = queue_of(a, request, &only);
	struct arrival r;
	uint32_t ahead;
	struct limits limits;
	clk_ms budget;

	if (waiting_find(a, request->node, request->id))
		return;
	r = rank_arrival(a, now, request, only);
	r.rank.due =
		fair_due(now, request->account, request->rate, count_account(q, request->account));
	if (!has_usable_upstream(a)) {
		refuse(a, now, &r, NULL, ADMIT_REFUSE_NO_UPSTREAM, ADMIT_OWNER_WAIT_MS, 0, 0);
		return;
	}
	budget = r.rank.late ? admit_late_budget(a, only, now, &r.request)
			     : admit_wait_budget(a, only, now, &r.request);
	admit_note_arrival(a, only, now, request, budget);
	if (q == &a->ownerless) {
		add_waiting_request(a, now, &r, q,
				    budget < ADMIT_OWNER_WAIT_MS ? budget : ADMIT_OWNER_WAIT_MS);
		return;
	}
	if (only && admit_is_barred(a, only, now, request)) {
		refuse(a, now, &r, NULL, ADMIT_REFUSE_FULL, ADMIT_OWNER_WAIT_MS, 0, 0);
		return;
	}
	ahead = count_ahead(q, &r.rank);
	limits = limits_of(a, now, q, only, r.rank.late, budget);
	if (wait_of(a, q, only, now, ahead, r.rank.late) > limits.expected) {
		refuse(a, now, &r, q, ADMIT_REFUSE_FULL,
		       refusal_wait(a, only, now, ahead, r.rank.late, limits.expected), 0, ahead);
		return;
	}
	if (!r.rank.late)
		room_note(&q->room, now);
	add_waiting_request(a, now, &r, q, limits.wait);
	refuse_displaced(a, now, q, only);
}

void admit_cancel(struct admit *a, uint64_t node, uint64_t request)
{
	struct waiting *w = waiting_find(a, node, request);

	if (w)
		waiting_remove(a, w);
}

void admit_reroute(struct admit *a)
{
	struct waiting *w;
	struct waiting *tmp;

	if (!a->opts.keyed)
		return;
	HASH_ITER (hh, a->waiting, w, tmp) {
		struct upstream *only;
		struct queue *q = queue_of(a, &w->request, &only);

		if (q == w->queue)
			continue;
		queue_unlink(w);
		queue_push(q, w);
	}
}

/* ---- slots ---------------------------------------------------------------------------------- */

static void grant(struct admit *a, clk_ms now, struct waiting *w, struct upstream *u,
		  struct admit_decision *out)
{
	struct slot *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	admit_update_utilization(u, now);
	s->id = a->next_slot++;
	s->node = w->request.node;
	s->upstream = u;
	s->free_at = w->request.deadline + SLOT_EXPIRY_MARGIN_MS;
	s->granted_at = now;
	s->cost_class = w->request.cost_class;
	s->cost = admit_cost(a, u, s->cost_class);
	DL_APPEND(u->granted, s);
	HASH_ADD(hh, a->slots, id, sizeof(s->id), s);
	u->in_use++;
	u->tokens = admit_tokens(a, u, now) - 1.0;
	u->tokens_at = now;
	*out = (struct admit_decision){
		.node = w->request.node,
		.request = w->request.id,
		.granted = true,
		.slot = s->id,
		.upstream = u->num,
		.waited = now - w->arrived,
		.elapsed = w->elapsed,
		.late = w->rank.late,
	};
	waiting_remove(a, w);
}

static void slot_release(struct admit *a, clk_ms now, struct slot *s)
{
	struct upstream *u = s->upstream;

	admit_update_utilization(u, now);
	u->in_use--;
	DL_DELETE(u->granted, s);
	HASH_DEL(a->slots, s);
	free(s);
	upstream_free_if_unused(a, u);
}

bool admit_had_room(const struct admit_report *r)
{
	return r->known && r->running + r->waiting < r->slots;
}

void admit_done(struct admit *a, clk_ms now, uint64_t id, enum admit_outcome outcome,
		clk_ms service, const struct admit_report *report)
{
	struct upstream *u;
	struct slot *s;

	HASH_FIND(hh, a->slots, &id, sizeof(id), s);
	if (!s)
		return;
	u = s->upstream;
	admit_apply_report(u, now, report);
	if (admit_apply_limit(a, u, now, report))
		refuse_excess(a, now, u);
	if (outcome == ADMIT_OK || outcome == ADMIT_SHED)
		shedding_note(&u->shedding, &a->shedding, outcome == ADMIT_SHED);
	switch (outcome) {
	case ADMIT_OK:
		failing_note(&u->failing, now, false);
		u->pause = 0;
		admit_update_service_time(a, u, s->cost_class, service, report);
		break;
	case ADMIT_SHED:
		if (admit_had_room(report) && shedding_is_common(&u->shedding, &a->shedding))
			break;
		failing_note(&u->failing, now, true);
		admit_pause(u, now);
		break;
	case ADMIT_UNREACHED:
	case ADMIT_BROKE:
		failing_note(&u->failing, now, true);
		admit_pause(u, now);
		break;
	case ADMIT_TIMEOUT:
	case ADMIT_CANCELLED:
		/* The elapsed time is only a lower bound of the service time. */
		if ((double)service > s->cost.ms)
			admit_update_service_time(a, u, s->cost_class, service, report);
		break;
	case ADMIT_UNUSED:
		break;
	}
	slot_release(a, now, s);
}

uint32_t admit_learned_cost(const struct admit *a, uint32_t cost_class, double *ms)
{
	return cost_learned(&a->costs, cost_class, ms);
}

double admit_expected_cost(const struct admit *a, uint32_t cost_class)
{
	return cost_predict(&a->costs, cost_class, a->service_ms).ms;
}

double admit_relative_cost(const struct admit *a, uint32_t cost_class)
{
	return a->service_ms > 0 ? admit_expected_cost(a, cost_class) / a->service_ms : 1;
}

void admit_note_limit(struct admit *a, clk_ms now, uint64_t num, const struct admit_report *report)
{
	struct upstream *u = upstream_find(a, num);

	if (u && admit_apply_limit(a, u, now, report))
		refuse_excess(a, now, u);
}

void admit_set_service_time(struct admit *a, uint64_t num, clk_ms ms)
{
	struct upstream *u = upstream_find(a, num);

	if (u && a->service_ms > 0)
		u->mean_slowness = (double)ms / a->service_ms * 100.0;
}

void admit_set_slowness(struct admit *a, uint64_t num, uint32_t slowness, clk_ms ms)
{
	struct upstream *u = upstream_find(a, num);

	if (!u)
		return;
	u->mean_slowness = slowness;
	admit_move_mean(a, (double)ms * 100.0 / slowness);
}

void admit_remove_node(struct admit *a, uint64_t node)
{
	struct waiting *w;
	struct waiting *tmp;

	HASH_ITER (hh, a->waiting, w, tmp) {
		if (w->request.node == node)
			waiting_remove(a, w);
	}
}

/* ---- decisions ------------------------------------------------------------------------------ */

static void expire_queue(struct admit *a, clk_ms now, struct queue *q, enum admit_refusal reason)
{
	struct waiting *next;

	for (struct waiting *w = q->head; w; w = next) {
		next = w->next;
		if (now > w->grant_by)
			waiting_refuse(a, now, w, reason, (clk_ms)a->service_ms);
	}
}

static void expire(struct admit *a, clk_ms now)
{
	struct slot *s;
	struct slot *tmp;
	struct upstream *u;
	struct upstream *utmp;

	HASH_ITER (hh, a->slots, s, tmp) {
		if (now >= s->free_at)
			slot_release(a, now, s);
	}
	expire_queue(a, now, &a->common, ADMIT_REFUSE_EXPIRED);
	expire_queue(a, now, &a->ownerless, ADMIT_REFUSE_NO_OWNER);
	HASH_ITER (hh, a->upstreams, u, utmp)
		expire_queue(a, now, &u->queue, ADMIT_REFUSE_EXPIRED);
}

static bool pop_refusal(struct admit *a, struct admit_decision *out)
{
	struct refusal *r = a->refusals;

	if (!r)
		return false;
	*out = r->decision;
	a->refusals = r->next;
	if (!a->refusals)
		a->refusals_end = &a->refusals;
	free(r);
	return true;
}

static bool next_unkeyed_grant(struct admit *a, clk_ms now, struct admit_decision *out)
{
	for (struct waiting *w = a->common.head; w; w = w->next) {
		struct upstream *u = admit_choose_upstream(a, now, &w->request);

		if (u) {
			grant(a, now, w, u, out);
			return true;
		}
		/* If an unrestricted request finds no slot, no other request will. */
		if (!w->request.avoid[0] && !w->request.unlimited_only)
			return false;
	}
	return false;
}

static bool next_keyed_grant(struct admit *a, clk_ms now, struct admit_decision *out)
{
	struct upstream *u;

	for (u = a->upstreams; u; u = u->hh.next) {
		struct waiting *w = u->queue.head;

		if (!w || !admit_can_grant(a, u, now))
			continue;
		while (w && admit_is_barred(a, u, now, &w->request))
			w = w->next;
		if (w && !admit_leaves_slot(a, u, now, w)) {
			grant(a, now, w, u, out);
			return true;
		}
	}
	return false;
}

bool admit_next(struct admit *a, clk_ms now, struct admit_decision *out)
{
	expire(a, now);
	return (a->opts.keyed ? next_keyed_grant(a, now, out) : next_unkeyed_grant(a, now, out)) ||
	       pop_refusal(a, out);
}

/* Returns the time until the upstream has a token. */
static clk_ms token_wait(const struct admit *a, const struct upstream *u, clk_ms now)
{
	double ms = (1.0 - admit_tokens(a, u, now)) * 1000.0 / admit_rate(a, u, now);

	return (clk_ms)fmin(ms, MAX_TOKEN_WAIT_MS) + 1;
}

clk_ms admit_due(const struct admit *a, clk_ms now)
{
	const struct waiting *w;
	const struct upstream *u;
	const struct slot *s;
	clk_ms due = CLK_NEVER;

	if (a->refusals)
		return now;
	if (!a->waiting)
		return CLK_NEVER;
	for (w = a->waiting; w; w = w->hh.next) {
		if (w->grant_by + 1 < due)
			due = w->grant_by + 1;
	}
	for (s = a->slots; s; s = s->hh.next) {
		if (s->free_at < due)
			due = s->free_at;
	}
	for (u = a->upstreams; u; u = u->hh.next) {
		clk_ms at = CLK_NEVER;

		if (!admit_is_usable(u))
			continue;
		if (now < u->paused_until)
			at = u->paused_until;
		else if (admit_tokens(a, u, now) < 1.0)
			at = now + token_wait(a, u, now);
		else if (u->queue.len && u->held_at + HOLD_RECHECK_MS > now)
			at = u->held_at + HOLD_RECHECK_MS;
		else if (admit_load_elsewhere(u, now))
			at = u->reported_at + ADMIT_REPORT_AGE_MS;
		if (at < due)
			due = at;
	}
	return due;
}

/* Returns the expected time left of the running requests, and that of the waiting ones. */
static double work_ms(const struct admit *a, const struct upstream *u, clk_ms now)
{
	double ms = admit_work(a, u, now).remaining_ms;

	for (const struct waiting *w = u->queue.head; w; w = w->next)
		ms += admit_cost(a, u, w->request.cost_class).ms;
	return ms;
}

bool admit_load_of(const struct admit *a, uint64_t num, clk_ms now, struct admit_load *out)
{
	const struct upstream *u = upstream_find(a, num);

	if (!u)
		return false;
	*out = (struct admit_load){
		.num = num,
		.slots = u->conf.slots,
		.in_use = u->in_use,
		.queued = u->queue.len,
		.work_ms = work_ms(a, u, now),
		.failing = failing_share(&u->failing, now),
		.service_ms = admit_mean_service(a, u),
		.slowness = u->mean_slowness,
		.mixed = cost_is_mixed(&a->costs),
		.utilization = u->utilization,
		.limit = admit_is_limited(u, now) ? u->limit : 0,
		.limit_age = now - u->limit_named_at,
	};
	return true;
}

double admit_work_ms(const struct admit *a, clk_ms now)
{
	const struct upstream *u;
	double ms = 0;

	for (u = a->upstreams; u; u = u->hh.next)
		ms += work_ms(a, u, now);
	for (const struct waiting *w = a->common.head; w; w = w->next)
		ms += admit_expected_cost(a, w->request.cost_class);
	return ms;
}

size_t admit_waiting_count(const struct admit *a)
{
	return HASH_COUNT(a->waiting);
}

void admit_destroy(struct admit *a)
{
	struct admit_decision ignored;
	struct waiting *w;
	struct waiting *wtmp;
	struct slot *s;
	struct slot *stmp;
	struct upstream *u;
	struct upstream *utmp;

	if (!a)
		return;
	HASH_ITER (hh, a->waiting, w, wtmp)
		waiting_remove(a, w);
	HASH_ITER (hh, a->slots, s, stmp) {
		HASH_DEL(a->slots, s);
		free(s);
	}
	HASH_ITER (hh, a->upstreams, u, utmp) {
		HASH_DEL(a->upstreams, u);
		free(u);
	}
	while (pop_refusal(a, &ignored))
		;
	returns_destroy(a->returns);
	free(a);
}
