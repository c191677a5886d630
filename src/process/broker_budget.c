/*
 * Budget of retries and hedges, a token bucket. Each granted first attempt adds `retry_percent`
 * hundredths of a token and each retry or hedge takes one token, so that retries and hedges
 * together do not exceed `retry_percent` of the first attempts plus the burst.
 */
#include "process/broker_priv.h"

#define TOKEN 100      /* hundredths in a token, which pays for one retry or hedge */
#define TOKEN_BURST 10 /* tokens in a full bucket; lets a service with little traffic retry */
#define HEDGE_PERCENTILE 95
#define HEDGE_MIN_SAMPLES 20 /* fewer samples give no useful 95th percentile */

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

clk_ms hedge_delay(const struct broker *b, const struct broker_request *req)
{
	clk_ms delay;

	if (!b->opts.hedging || b->opts.keyed || !req->idempotent || req->hedge_of)
		return 0;
	if (b->service_times.count < HEDGE_MIN_SAMPLES)
		return 0;
	delay = window_percentile(&b->service_times, HEDGE_PERCENTILE);
	return delay > 0 ? delay : 1;
}

struct upstream *hedge_pick(struct broker *b, clk_ms now, const struct broker_request *req,
			    enum broker_refusal *reason)
{
	struct slot *first = slot_find(b, req->hedge_of);
	struct upstream *u;

	*reason = BROKER_REFUSE_NO_UPSTREAM;
	if (!b->opts.hedging || !req->idempotent || !first ||
	    (first->hedged && !MUTANT(broker_hedge_twice)) || !first->hedge_after ||
	    first->node != req->node)
		return NULL;
	if (now - first->granted_at < first->hedge_after && !MUTANT(broker_hedge_early))
		return NULL;
	if (b->unkeyed.len > 0)
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
