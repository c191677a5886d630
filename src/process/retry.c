#include "process/retry.h"

#include "base/mutant.h"

/* Share of the budget that is used; the rest is a reserve, as gateways' windows are not aligned. */
#define USED_SHARE 0.7

static struct retry_bucket *bucket_at(struct retry *r, const struct retry_options *o, clk_ms now)
{
	clk_ms width = o->window / RETRY_BUCKETS > 0 ? o->window / RETRY_BUCKETS : 1;
	int64_t number = now / width;
	struct retry_bucket *b = &r->buckets[number % RETRY_BUCKETS];

	if (b->number != number)
		*b = (struct retry_bucket){.number = number};
	return b;
}

void retry_note_request(struct retry *r, const struct retry_options *o, clk_ms now)
{
	bucket_at(r, o, now)->requests++;
}

bool retry_take(struct retry *r, const struct retry_options *o, clk_ms now)
{
	struct retry_bucket *present = bucket_at(r, o, now);
	double requests = 0;
	double retries = 1;
	double allowed;

	for (int i = 0; i < RETRY_BUCKETS; i++) {
		const struct retry_bucket *b = &r->buckets[i];

		if (present->number - b->number >= RETRY_BUCKETS)
			continue;
		requests += b->requests;
		retries += b->retries;
	}
	allowed = USED_SHARE *
		  (o->ratio * requests + (double)o->slack / (o->gateways ? o->gateways : 1));
	if (retries > allowed && !MUTANT(retry_no_budget))
		return false;
	present->retries++;
	return true;
}
