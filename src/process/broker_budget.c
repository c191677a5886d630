/*
 * Budget of extra load. First attempts that are granted earn a fraction of a token; a retry or a
 * hedge costs a whole one, so that both together stay below `retry_percent` of the requests sent
 * plus the burst.
 */
#include "process/broker_priv.h"

#define TOKEN 100      /* a whole request, in hundredths */
#define TOKEN_BURST 10 /* requests; lets a service with little traffic retry at all */
#define HEDGE_PERCENTILE 95
#define HEDGE_MIN_SAMPLES 20 /* with fewer the 95th percentile is the maximum */

void budget_init(struct broker *b)
{
	b->tokens = TOKEN_BURST * TOKEN;
}

void budget_earn(struct broker *b)
{
	b->tokens += b->opts.retry_percent;
	if (b->tokens > TOKEN_BURST * TOKEN)
		b->tokens = TOKEN_BURST * TOKEN;
}

bool budget_spend(struct broker *b)
{
	if (MUTANT(broker_no_budget))
		return true;
	if (b->tokens < TOKEN)
		return false;
	b->tokens -= TOKEN;
	return true;
}

void budget_return(struct broker *b)
{
	if (!MUTANT(broker_no_refund))
		b->tokens += TOKEN;
}

clk_ms hedge_delay(const struct broker *b, const struct broker_ask *ask)
{
	clk_ms delay;

	if (!b->opts.hedging || b->opts.keyed || !ask->idempotent || ask->hedge_of)
		return 0;
	if (b->times.count < HEDGE_MIN_SAMPLES)
		return 0;
	delay = window_percentile(&b->times, HEDGE_PERCENTILE);
	return delay > 0 ? delay : 1;
}

struct upstream *hedge_pick(struct broker *b, clk_ms now, const struct broker_ask *ask,
			    enum broker_refusal *reason)
{
	struct slot *first = slot_find(b, ask->hedge_of);
	struct upstream *u;

	*reason = BROKER_REFUSE_NO_UPSTREAM;
	if (!b->opts.hedging || !ask->idempotent || !first ||
	    (first->hedged && !MUTANT(broker_hedge_twice)) || !first->hedge_after ||
	    first->node != ask->node)
		return NULL;
	if (now - first->lent < first->hedge_after && !MUTANT(broker_hedge_early))
		return NULL;
	if (b->common.len > 0)
		return NULL;
	u = upstream_pick(b, now, MUTANT(broker_hedge_same_upstream) ? NULL : first->upstream);
	if (!u || upstream_is_straggler(b, now, u))
		return NULL;
	if (!budget_spend(b)) {
		*reason = BROKER_REFUSE_BUDGET;
		return NULL;
	}
	first->hedged = true;
	return u;
}
