#include "process/retry.h"

#include "base/mutant.h"

/* Share of the budget that is used; the rest is a reserve, as gateways' windows are not aligned. */
#define USED_SHARE 0.7
/*
 * Time, in windows, in which a new process gets its whole part of the slack. In one window it gets
 * a third, which with all that a former process used stays within the reserve.
 */
#define SLACK_RAMP_WINDOWS 3

static clk_ms bucket_width(const struct retry_options *o)
{
	return o->window / RETRY_BUCKETS > 0 ? o->window / RETRY_BUCKETS : 1;
}

static struct retry_bucket *bucket_at(struct retry *r, const struct retry_options *o, clk_ms now)
{
	int64_t number = now / bucket_width(o);
	struct retry_bucket *b = &r->buckets[number % (RETRY_BUCKETS + 1)];

	if (b->number != number)
		*b = (struct retry_bucket){.number = number};
	return b;
}

void retry_note_request(struct retry *r, const struct retry_options *o, clk_ms now)
{
	bucket_at(r, o, now)->requests++;
}

/*
 * Returns the part of the deployment's slack that this gateway may use. A new process may follow
 * one that has just used this part, and other gateways may not count it yet, so its part grows
 * slowly.
 */
static double part_of_slack(const struct retry_options *o, clk_ms now)
{
	clk_ms full_after = SLACK_RAMP_WINDOWS * o->window;
	clk_ms age = o->member_since == CLK_NEVER ? 0 : now - o->member_since;
	double part;

	if (!o->gateways)
		return MUTANT(retry_whole_slack) ? o->slack : 0;
	part = (double)o->slack / o->gateways;
	if (age >= full_after || MUTANT(retry_fresh_slack))
		return part;
	return part * (double)age / (double)full_after;
}

struct retry_usage retry_usage(const struct retry *r, const struct retry_options *o, clk_ms now)
{
	int64_t present = now / bucket_width(o);
	struct retry_usage u = {.retries = r->reserved};

	/*
	 * The part in which the window begins counts for retries and not for requests, so that
	 * neither is taken for more favourable than it is.
	 */
	for (int i = 0; i <= RETRY_BUCKETS; i++) {
		const struct retry_bucket *b = &r->buckets[i];
		int64_t age = present - b->number;

		if (age < RETRY_BUCKETS)
			u.requests += b->requests;
		if (age < RETRY_BUCKETS || (age == RETRY_BUCKETS && !MUTANT(retry_short_window)))
			u.retries += b->retries;
	}
	u.allowed = USED_SHARE * (o->ratio * u.requests + part_of_slack(o, now));
	return u;
}

bool retry_reserve(struct retry *r, const struct retry_options *o, clk_ms now)
{
	struct retry_usage u = retry_usage(r, o, now);

	if (u.retries + 1 > u.allowed && !MUTANT(retry_no_budget))
		return false;
	if (MUTANT(retry_count_decisions))
		bucket_at(r, o, now)->retries++;
	else
		r->reserved++;
	return true;
}

void retry_note_sent(struct retry *r, const struct retry_options *o, clk_ms now)
{
	if (MUTANT(retry_count_decisions))
		return;
	r->reserved--;
	bucket_at(r, o, now)->retries++;
}

void retry_return(struct retry *r)
{
	if (!MUTANT(retry_count_decisions))
		r->reserved--;
}
