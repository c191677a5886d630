#include "process/admit_priv.h"

#include <stdlib.h>

/* A slot that does not come back is free this long after the deadline of its request. */
#define SLOT_MARGIN_MS 200
/* Shortest Retry-After, and the random part that keeps callers from returning together. */
#define RETRY_AFTER_MIN_MS 150
#define RETRY_AFTER_SPREAD_MS 150

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
	/* Slot numbers of different lenders must not meet. */
	a->next_slot = rnd_u64(&a->rnd) | 1;
	a->service_ms = (double)opts->first_service;
	a->refusals_end = &a->refusals;
	return a;
}

void admit_set_options(struct admit *a, const struct admit_options *opts)
{
	a->opts = *opts;
}

/* ---- queues --------------------------------------------------------------------------------- */

static bool goes_before(const struct waiting *x, const struct waiting *y)
{
	if (x->ask.priority != y->ask.priority)
		return x->ask.priority < y->ask.priority;
	return x->seq < y->seq;
}

static void queue_push(struct queue *q, struct waiting *w)
{
	struct waiting *after = q->tail;

	while (after && goes_before(w, after))
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

static void waiting_drop(struct admit *a, struct waiting *w)
{
	queue_unlink(w);
	HASH_DEL(a->waiting, w);
	free(w);
}

static struct waiting *waiting_find(const struct admit *a, uint64_t node, uint64_t ask)
{
	struct waiting_id id = {node, ask};
	struct waiting *w;

	HASH_FIND(hh, a->waiting, &id, sizeof(id), w);
	return w;
}

static void refuse(struct admit *a, const struct admit_ask *ask, enum admit_refusal reason,
		   clk_ms retry_after, clk_ms waited, uint32_t ahead)
{
	struct refusal *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	if (retry_after < RETRY_AFTER_MIN_MS)
		retry_after = RETRY_AFTER_MIN_MS;
	r->decision = (struct admit_decision){
		.node = ask->node,
		.ask = ask->id,
		.reason = reason,
		.retry_after = retry_after + (clk_ms)rnd_below(&a->rnd, RETRY_AFTER_SPREAD_MS),
		.waited = waited,
		.ahead = ahead,
	};
	*a->refusals_end = r;
	a->refusals_end = &r->next;
}

static void waiting_refuse(struct admit *a, clk_ms now, struct waiting *w,
			   enum admit_refusal reason, clk_ms retry_after)
{
	refuse(a, &w->ask, reason, retry_after, now - w->arrived, 0);
	waiting_drop(a, w);
}

/* ---- upstreams ------------------------------------------------------------------------------ */

static struct upstream *upstream_find(const struct admit *a, uint64_t num)
{
	struct upstream *u;

	HASH_FIND(hh, a->upstreams, &num, sizeof(num), u);
	return u;
}

static void upstream_put(struct admit *a, struct upstream *u)
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
		u->busy_at = now;
		u->cold_at = now;
		u->cold_tokens = ADMIT_COLD_BURST;
		u->mean_slowness = ADMIT_USUAL_SLOWNESS;
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
	upstream_put(a, u);
}

/* ---- waiting time --------------------------------------------------------------------------- */

clk_ms admit_wait(const struct admit *a, clk_ms now, uint64_t num)
{
	const struct upstream *u = num ? upstream_find(a, num) : NULL;

	return admit_wait_behind(a, u, now, u ? u->queue.len : a->common.len);
}

/* ---- asks ----------------------------------------------------------------------------------- */

bool admit_is_waiting(const struct admit *a, uint64_t node, uint64_t ask)
{
	return waiting_find(a, node, ask) != NULL;
}

bool admit_is_parked(const struct admit *a, uint64_t node, uint64_t ask)
{
	const struct waiting *w = waiting_find(a, node, ask);

	return w && w->queue == &a->parked;
}

static struct upstream *owner_of(const struct admit *a, uint32_t key)
{
	uint64_t num = a->owner ? a->owner(a->data, key) : 0;
	struct upstream *u = num ? upstream_find(a, num) : NULL;

	return u && admit_is_usable(u) ? u : NULL;
}

static struct queue *queue_of(struct admit *a, const struct admit_ask *ask, struct upstream **only)
{
	*only = NULL;
	if (!a->opts.keyed)
		return &a->common;
	*only = owner_of(a, ask->key);
	return *only ? &(*only)->queue : &a->parked;
}

static uint32_t count_ahead(const struct queue *q, uint32_t priority)
{
	uint32_t n = 0;

	for (const struct waiting *w = q->head; w && w->ask.priority <= priority; w = w->next)
		n++;
	return n;
}

static bool any_usable(const struct admit *a)
{
	const struct upstream *u;

	for (u = a->upstreams; u; u = u->hh.next) {
		if (admit_is_usable(u))
			return true;
	}
	return false;
}

static void add_waiting(struct admit *a, clk_ms now, const struct admit_ask *ask, struct queue *q,
			clk_ms budget)
{
	struct waiting *w = calloc(1, sizeof(*w));

	if (!w)
		abort();
	w->id = (struct waiting_id){ask->node, ask->id};
	w->ask = *ask;
	w->seq = a->next_seq++;
	w->arrived = now;
	w->give_up = now + (budget > 0 ? budget : 0);
	HASH_ADD(hh, a->waiting, id, sizeof(w->id), w);
	queue_push(q, w);
}

/* A more urgent request has pushed the last one back: it is refused now and not when it is late. */
static void refuse_displaced(struct admit *a, clk_ms now, struct queue *q,
			     const struct upstream *only)
{
	struct waiting *last = q->tail;
	clk_ms wait;

	if (!last || q->len < 2)
		return;
	wait = admit_wait_behind(a, only, now, q->len - 1);
	if (now + wait > last->give_up)
		waiting_refuse(a, now, last, ADMIT_REFUSE_FULL, wait);
}

void admit_ask(struct admit *a, clk_ms now, const struct admit_ask *ask)
{
	struct upstream *only;
	struct queue *q = queue_of(a, ask, &only);
	uint32_t ahead;
	clk_ms budget;
	clk_ms wait;

	if (waiting_find(a, ask->node, ask->id))
		return;
	if (!any_usable(a)) {
		refuse(a, ask, ADMIT_REFUSE_NO_UPSTREAM, ADMIT_OWNER_WAIT_MS, 0, 0);
		return;
	}
	budget = admit_wait_budget(a, only, now, ask);
	if (q == &a->parked) {
		add_waiting(a, now, ask, q,
			    budget < ADMIT_OWNER_WAIT_MS ? budget : ADMIT_OWNER_WAIT_MS);
		return;
	}
	ahead = count_ahead(q, ask->priority);
	wait = admit_wait_behind(a, only, now, ahead);
	if (wait > budget) {
		refuse(a, ask, ADMIT_REFUSE_FULL, wait - budget, 0, ahead);
		return;
	}
	add_waiting(a, now, ask, q, budget);
	refuse_displaced(a, now, q, only);
}

void admit_cancel(struct admit *a, uint64_t node, uint64_t ask)
{
	struct waiting *w = waiting_find(a, node, ask);

	if (w)
		waiting_drop(a, w);
}

void admit_reroute(struct admit *a)
{
	struct waiting *w;
	struct waiting *tmp;

	if (!a->opts.keyed)
		return;
	HASH_ITER (hh, a->waiting, w, tmp) {
		struct upstream *only;
		struct queue *q = queue_of(a, &w->ask, &only);

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
	admit_note_busy(u, now);
	s->id = a->next_slot++;
	s->node = w->ask.node;
	s->upstream = u;
	s->free_at = w->ask.deadline + SLOT_MARGIN_MS;
	HASH_ADD(hh, a->slots, id, sizeof(s->id), s);
	u->in_use++;
	if (admit_is_cold(u, now)) {
		u->cold_tokens = admit_cold_tokens(a, u, now) - 1.0;
		u->cold_at = now;
	}
	*out = (struct admit_decision){
		.node = w->ask.node,
		.ask = w->ask.id,
		.granted = true,
		.slot = s->id,
		.upstream = u->num,
		.waited = now - w->arrived,
	};
	waiting_drop(a, w);
}

static void slot_free(struct admit *a, clk_ms now, struct slot *s)
{
	struct upstream *u = s->upstream;

	admit_note_busy(u, now);
	u->in_use--;
	HASH_DEL(a->slots, s);
	free(s);
	upstream_put(a, u);
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
	admit_learn_report(u, now, report);
	switch (outcome) {
	case ADMIT_OK:
		u->pause = 0;
		admit_learn_service(a, u, service, report);
		break;
	case ADMIT_SHED:
	case ADMIT_UNREACHED:
	case ADMIT_BROKE:
		admit_pause(u, now);
		break;
	case ADMIT_TIMEOUT:
	case ADMIT_CANCELLED:
		/* The answer would have taken longer still. */
		if ((double)service > admit_mean_service(a, u))
			admit_learn_service(a, u, service, report);
		break;
	case ADMIT_UNUSED:
		break;
	}
	slot_free(a, now, s);
}

void admit_set_service(struct admit *a, uint64_t num, clk_ms ms)
{
	struct upstream *u = upstream_find(a, num);

	if (u && a->service_ms > 0)
		u->mean_slowness = (double)ms / a->service_ms * 100.0;
}

void admit_node_gone(struct admit *a, uint64_t node)
{
	struct waiting *w;
	struct waiting *tmp;

	HASH_ITER (hh, a->waiting, w, tmp) {
		if (w->ask.node == node)
			waiting_drop(a, w);
	}
}

/* ---- decisions ------------------------------------------------------------------------------ */

static void expire_queue(struct admit *a, clk_ms now, struct queue *q, enum admit_refusal reason)
{
	struct waiting *next;

	for (struct waiting *w = q->head; w; w = next) {
		next = w->next;
		if (now > w->give_up)
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
			slot_free(a, now, s);
	}
	expire_queue(a, now, &a->common, ADMIT_REFUSE_EXPIRED);
	expire_queue(a, now, &a->parked, ADMIT_REFUSE_NO_OWNER);
	HASH_ITER (hh, a->upstreams, u, utmp)
		expire_queue(a, now, &u->queue, ADMIT_REFUSE_EXPIRED);
}

static bool take_refusal(struct admit *a, struct admit_decision *out)
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

static bool next_common(struct admit *a, clk_ms now, struct admit_decision *out)
{
	for (struct waiting *w = a->common.head; w; w = w->next) {
		struct upstream *u = admit_pick(a, now, &w->ask);

		if (u) {
			grant(a, now, w, u, out);
			return true;
		}
		/* Without room for a request that avoids nothing there is none for the others. */
		if (!w->ask.avoid[0] && !w->ask.warm_only)
			return false;
	}
	return false;
}

static bool next_keyed(struct admit *a, clk_ms now, struct admit_decision *out)
{
	struct upstream *u;

	for (u = a->upstreams; u; u = u->hh.next) {
		if (u->queue.len && admit_has_room(a, u, now) &&
		    !(u->queue.head->ask.warm_only && admit_is_cold(u, now))) {
			grant(a, now, u->queue.head, u, out);
			return true;
		}
	}
	return false;
}

bool admit_next(struct admit *a, clk_ms now, struct admit_decision *out)
{
	expire(a, now);
	return (a->opts.keyed ? next_keyed(a, now, out) : next_common(a, now, out)) ||
	       take_refusal(a, out);
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
		if (w->give_up + 1 < due)
			due = w->give_up + 1;
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
		else if (admit_is_cold(u, now) && admit_cold_tokens(a, u, now) < 1.0)
			at = now +
			     (clk_ms)((1.0 - admit_cold_tokens(a, u, now)) * 1000.0 /
				      a->opts.cold_per_second) +
			     1;
		else if (admit_load_elsewhere(u, now))
			at = u->report_at + ADMIT_REPORT_AGE_MS;
		if (at < due)
			due = at;
	}
	return due;
}

bool admit_load_of(const struct admit *a, uint64_t num, struct admit_load *out)
{
	const struct upstream *u = upstream_find(a, num);

	if (!u)
		return false;
	*out = (struct admit_load){
		.num = num,
		.slots = u->conf.slots,
		.in_use = u->in_use,
		.queued = u->queue.len,
		.service_ms = admit_mean_service(a, u),
		.busy = u->busy,
	};
	return true;
}

size_t admit_waiting(const struct admit *a)
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
		waiting_drop(a, w);
	HASH_ITER (hh, a->slots, s, stmp) {
		HASH_DEL(a->slots, s);
		free(s);
	}
	HASH_ITER (hh, a->upstreams, u, utmp) {
		HASH_DEL(a->upstreams, u);
		free(u);
	}
	while (take_refusal(a, &ignored))
		;
	free(a);
}
