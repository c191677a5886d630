#include <stdlib.h>
#include <utlist.h>

#include "process/broker_priv.h"

/* Keeps the order of arrival also for asks that come from another queue. */
void queue_push(struct queue *q, struct waiting *w)
{
	struct waiting *after = q->tail;

	while (after && after->seq > w->seq)
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

void queue_unlink(struct waiting *w)
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
	q->len--;
	w->queue = NULL;
}

struct waiting *waiting_find(struct broker *b, uint64_t node, uint64_t id)
{
	struct waiting_key key = {node, id};
	struct waiting *w;

	HASH_FIND(hh, b->waiting, &key, sizeof(key), w);
	return w;
}

struct waiting *waiting_add(struct broker *b, clk_ms now, const struct broker_ask *ask,
			    struct queue *q)
{
	struct waiting *w = calloc(1, sizeof(*w));
	clk_ms reserve = window_percentile(&b->times, 50);

	if (!w)
		abort();
	/* Time kept for the request itself; short deadlines still may wait three quarters. */
	if (reserve > (ask->deadline - now) / 4)
		reserve = (ask->deadline - now) / 4;
	w->key = (struct waiting_key){ask->node, ask->id};
	w->ask = *ask;
	w->seq = b->next_seq++;
	w->give_up = ask->deadline - reserve;
	if (MUTANT(broker_grant_after_deadline))
		w->give_up = ask->deadline + 1;
	if (w->give_up < b->next_give_up)
		b->next_give_up = w->give_up;
	HASH_ADD(hh, b->waiting, key, sizeof(w->key), w);
	queue_push(q, w);
	return w;
}

static void waiting_remove(struct broker *b, struct waiting *w)
{
	queue_unlink(w);
	HASH_DEL(b->waiting, w);
	free(w);
}

void waiting_drop(struct broker *b, struct waiting *w)
{
	if (w->paid)
		budget_return(b);
	waiting_remove(b, w);
}

void waiting_refuse(struct broker *b, struct waiting *w, enum broker_refusal reason,
		    clk_ms retry_after)
{
	refusal_add(b, &w->ask, reason, retry_after);
	waiting_drop(b, w);
}

/* Names what kept the ask waiting, so that the operator sees the cause and not only the symptom. */
static enum broker_refusal expiry_reason(const struct broker *b, const struct waiting *w)
{
	const struct upstream *u;

	if (w->queue == &b->parked)
		return BROKER_REFUSE_NO_OWNER;
	if (b->opts.keyed)
		return BROKER_REFUSE_DEADLINE;
	for (u = b->upstreams; u; u = u->hh.next) {
		if (upstream_usable(u))
			return BROKER_REFUSE_DEADLINE;
	}
	return BROKER_REFUSE_NO_UPSTREAM;
}

void waiting_expire(struct broker *b, clk_ms now)
{
	struct waiting *w;
	struct waiting *tmp;

	if (now < b->next_give_up || MUTANT(broker_no_expiry))
		return;
	b->next_give_up = CLK_NEVER;
	HASH_ITER (hh, b->waiting, w, tmp) {
		if (w->give_up <= now)
			waiting_refuse(b, w, expiry_reason(b, w), window_percentile(&b->times, 50));
		else if (w->give_up < b->next_give_up)
			b->next_give_up = w->give_up;
	}
}

void waiting_route_all(struct broker *b)
{
	struct waiting *w;
	struct waiting *tmp;

	if (!b->opts.keyed)
		return;
	HASH_ITER (hh, b->waiting, w, tmp) {
		struct queue *q = owner_queue(b, &w->ask);

		if (!q)
			q = &b->parked;
		if (q != w->queue && w->queue != &b->hedges) {
			queue_unlink(w);
			queue_push(q, w);
		}
	}
}

void refusal_add(struct broker *b, const struct broker_ask *ask, enum broker_refusal reason,
		 clk_ms retry_after)
{
	struct refusal *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->decision = (struct broker_decision){
		.kind = BROKER_REFUSE,
		.node = ask->node,
		.ask = ask->id,
		.deadline = ask->deadline,
		.reason = reason,
		.retry_after = retry_after,
	};
	DL_APPEND(b->refusals, r);
}

bool refusal_take(struct broker *b, struct broker_decision *out)
{
	struct refusal *r = b->refusals;

	if (!r)
		return false;
	*out = r->decision;
	DL_DELETE(b->refusals, r);
	free(r);
	return true;
}

static void refusal_drop_if(struct broker *b, uint64_t node, bool any_id, uint64_t id)
{
	struct refusal *r;
	struct refusal *tmp;

	DL_FOREACH_SAFE(b->refusals, r, tmp)
	{
		if (r->decision.node == node && (any_id || r->decision.ask == id)) {
			DL_DELETE(b->refusals, r);
			free(r);
		}
	}
}

void refusal_drop(struct broker *b, uint64_t node, uint64_t id)
{
	refusal_drop_if(b, node, false, id);
}

void refusal_drop_node(struct broker *b, uint64_t node)
{
	refusal_drop_if(b, node, true, 0);
}
