#include <stdlib.h>
#include <utlist.h>

#include "process/broker_priv.h"

/* Inserts by order of arrival, because slot requests may come from another queue. */
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
	struct request_key key = {node, id};
	struct waiting *w;

	HASH_FIND(hh, b->waiting, &key, sizeof(key), w);
	return w;
}

struct waiting *waiting_add(struct broker *b, clk_ms now, const struct broker_request *ask,
			    struct queue *q)
{
	struct waiting *w = calloc(1, sizeof(*w));
	clk_ms reserve = window_percentile(&b->service_times, 50);

	if (!w)
		abort();
	/* Reserves the median service time for the run, at most a quarter of the time left. */
	if (reserve > (ask->deadline - now) / 4)
		reserve = (ask->deadline - now) / 4;
	w->key = (struct request_key){ask->node, ask->id};
	w->ask = *ask;
	w->seq = b->next_seq++;
	w->expires = ask->deadline - reserve;
	if (MUTANT(broker_grant_after_deadline))
		w->expires = ask->deadline + 1;
	if (w->expires < b->next_expiry)
		b->next_expiry = w->expires;
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

void waiting_discard(struct broker *b, struct waiting *w)
{
	if (w->holds_token)
		budget_return(b);
	waiting_remove(b, w);
}

void waiting_refuse(struct broker *b, struct waiting *w, enum broker_refusal reason,
		    clk_ms retry_after)
{
	refusal_add(b, &w->ask, reason, retry_after);
	waiting_discard(b, w);
}

/* Returns what kept the slot request waiting, so that the operator sees the cause of the expiry. */
static enum broker_refusal expiry_reason(const struct broker *b, const struct waiting *w)
{
	const struct upstream *u;

	if (w->queue == &b->ownerless)
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

	if (now < b->next_expiry || MUTANT(broker_no_expiry))
		return;
	b->next_expiry = CLK_NEVER;
	HASH_ITER (hh, b->waiting, w, tmp) {
		if (w->expires <= now)
			waiting_refuse(b, w, expiry_reason(b, w),
				       window_percentile(&b->service_times, 50));
		else if (w->expires < b->next_expiry)
			b->next_expiry = w->expires;
	}
}

void waiting_requeue_all(struct broker *b)
{
	struct waiting *w;
	struct waiting *tmp;

	if (!b->opts.keyed)
		return;
	HASH_ITER (hh, b->waiting, w, tmp) {
		struct queue *q = owner_queue(b, &w->ask);

		if (!q)
			q = &b->ownerless;
		if (q != w->queue && w->queue != &b->hedges) {
			queue_unlink(w);
			queue_push(q, w);
		}
	}
}

void refusal_add(struct broker *b, const struct broker_request *ask, enum broker_refusal reason,
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

static void refusal_discard_if(struct broker *b, uint64_t node, bool any_id, uint64_t id)
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

void refusal_discard(struct broker *b, uint64_t node, uint64_t id)
{
	refusal_discard_if(b, node, false, id);
}

void refusal_discard_node(struct broker *b, uint64_t node)
{
	refusal_discard_if(b, node, true, 0);
}
