#include "shared/holder.h"

#include <math.h>
#include <stdlib.h>

#include "base/hash.h"
#include "base/mutant.h"

/* A holder that was not called for this long starts anew. */
#define MAX_PAUSE_MS 500
/* A new holder tells no fallback rates for this long: it does not know the whole demand yet. */
#define LEARN_MS 1000
/* Part of the capacity that is kept for requests that wait, not given ahead. */
#define RESERVE_PART 0.2
/* With this part of the capacity in the bucket, gateways get all that they want. */
#define PLENTY_PART 0.5
/* Below this part of the capacity, or below one token, the bucket counts as empty. */
#define SCARCE_PART 0.05
/* Demand, as a part of the rate, from which an empty bucket stays empty. */
#define SCARCE_DEMAND 0.9

/* What a gateway has of a limit. */
struct lease {
	uint64_t gateway;
	double tokens;
	double demand;
	double fallback; /* the rate that it may use without this holder */
	clk_ms heard;	 /* its last ask */
	bool missing;	 /* not heard lately: it may use its fallback rate */
	UT_hash_handle hh;
};

struct limit {
	uint64_t id;
	struct limit_size size;
	clk_ms since;
	double level;
	clk_ms level_at;
	struct lease *leases;
	/* Sums over `leases`; those of missing gateways count only for `fallback` and `missing`. */
	double tokens;
	double demand;
	double fallback;
	double missing; /* fallback rates of the missing ones */
	UT_hash_handle hh;
};

struct holder {
	struct limit_bound bound;
	uint32_t gateways;
	uint32_t unreachable;
	clk_ms called;
	struct limit *limits;
};

struct holder *holder_create(const struct limit_bound *bound)
{
	struct holder *h = calloc(1, sizeof(*h));

	if (!h)
		abort();
	h->bound = *bound;
	return h;
}

static void limit_free(struct holder *h, struct limit *l)
{
	struct lease *e;
	struct lease *tmp;

	HASH_ITER (hh, l->leases, e, tmp) {
		HASH_DEL(l->leases, e);
		free(e);
	}
	HASH_DEL(h->limits, l);
	free(l);
}

static void forget_all(struct holder *h)
{
	struct limit *l;
	struct limit *tmp;

	HASH_ITER (hh, h->limits, l, tmp)
		limit_free(h, l);
}

void holder_destroy(struct holder *h)
{
	if (!h)
		return;
	forget_all(h);
	free(h);
}

static struct limit *limit_find(const struct holder *h, uint64_t id)
{
	struct limit *l;

	HASH_FIND(hh, h->limits, &id, sizeof(id), l);
	return l;
}

static struct limit *limit_add(struct holder *h, uint64_t id, const struct limit_size *size,
			       clk_ms now)
{
	struct limit *l = calloc(1, sizeof(*l));

	if (!l)
		abort();
	l->id = id;
	l->size = *size;
	l->since = now;
	l->level_at = now;
	l->level = MUTANT(holder_start_full) ? limit_capacity(size, &h->bound) : 0;
	HASH_ADD(hh, h->limits, id, sizeof(l->id), l);
	return l;
}

/* ---- bucket --------------------------------------------------------------------------------- */

/*
 * Returns the part of the gateways that this holder hears. In a partition each side has a holder,
 * and they have no more than the whole together.
 */
static double heard_part(const struct holder *h)
{
	if (!h->gateways || MUTANT(holder_ignore_missing))
		return 1;
	return fmax(1 - (double)h->unreachable / h->gateways, 0);
}

/* Returns the rate that is not left to gateways which this holder does not hear. */
static double own_rate(const struct holder *h, const struct limit *l)
{
	if (MUTANT(holder_ignore_missing))
		return l->size.rate;
	return fmax(fmin(l->size.rate - l->missing, l->size.rate * heard_part(h)), 0);
}

static double room(const struct holder *h, const struct limit *l)
{
	double capacity = limit_capacity(&l->size, &h->bound) * heard_part(h);

	return MUTANT(holder_forget_leased) ? capacity : fmax(capacity - l->tokens, 0);
}

static void refill(const struct holder *h, struct limit *l, clk_ms now)
{
	double since = (double)(now - l->level_at) / 1000.0;

	l->level = fmin(l->level + own_rate(h, l) * since, room(h, l));
	l->level_at = now;
}

/* ---- leases --------------------------------------------------------------------------------- */

static void lease_count(struct limit *l, const struct lease *e, double sign)
{
	l->tokens += sign * e->tokens;
	l->fallback += sign * e->fallback;
	if (e->missing)
		l->missing += sign * e->fallback;
	else
		l->demand += sign * e->demand;
}

static void lease_free(struct limit *l, struct lease *e)
{
	lease_count(l, e, -1);
	HASH_DEL(l->leases, e);
	free(e);
	if (!l->leases) /* no remains of rounding */
		l->tokens = l->demand = l->fallback = l->missing = 0;
}

static void lease_tick(struct limit *l, struct lease *e, clk_ms now)
{
	clk_ms silent = now - e->heard;

	if (silent >= LIMIT_RESERVED_MS || (silent >= LIMIT_LEASE_MS && e->fallback <= 0)) {
		lease_free(l, e);
		return;
	}
	lease_count(l, e, -1);
	e->missing = silent >= LIMIT_MISSING_MS;
	if (silent >= LIMIT_LEASE_MS)
		e->tokens = 0;
	lease_count(l, e, 1);
}

void holder_tick(struct holder *h, clk_ms now)
{
	struct limit *l;
	struct limit *ltmp;
	struct lease *e;
	struct lease *etmp;

	if (h->called && now - h->called > MAX_PAUSE_MS && !MUTANT(holder_keep_over_pause))
		forget_all(h);
	h->called = now;
	HASH_ITER (hh, h->limits, l, ltmp) {
		refill(h, l, now);
		HASH_ITER (hh, l->leases, e, etmp)
			lease_tick(l, e, now);
	}
}

void holder_set_gateways(struct holder *h, uint32_t gateways, uint32_t unreachable)
{
	h->gateways = gateways;
	h->unreachable = unreachable;
}

void holder_resize(struct holder *h, uint64_t id, const struct limit_size *size, clk_ms now)
{
	struct limit *l = limit_find(h, id);

	if (!l)
		return;
	if (size->rate <= 0) {
		limit_free(h, l);
		return;
	}
	refill(h, l, now);
	l->size = *size;
	l->level = fmin(l->level, room(h, l));
}

void holder_gateway_ended(struct holder *h, uint64_t gateway)
{
	struct limit *l;
	struct lease *e;

	for (l = h->limits; l; l = l->hh.next) {
		HASH_FIND(hh, l->leases, &gateway, sizeof(gateway), e);
		if (e)
			lease_free(l, e);
	}
}

void holder_drop(struct holder *h, uint64_t id)
{
	struct limit *l = limit_find(h, id);

	if (l && !MUTANT(holder_stay))
		limit_free(h, l);
}

void holder_begin(struct holder *h, uint64_t id, const struct limit_size *size, clk_ms now)
{
	if (!limit_find(h, id))
		limit_add(h, id, size, now);
}

/* ---- asks ----------------------------------------------------------------------------------- */

static struct lease *lease_of(struct limit *l, uint64_t gateway)
{
	struct lease *e;

	HASH_FIND(hh, l->leases, &gateway, sizeof(gateway), e);
	if (e)
		return e;
	e = calloc(1, sizeof(*e));
	if (!e)
		abort();
	e->gateway = gateway;
	HASH_ADD(hh, l->leases, gateway, sizeof(e->gateway), e);
	return e;
}

/* Returns the tokens that the gateway gets: first for requests that wait, then ahead. */
static double tokens_for(const struct holder *h, const struct limit *l, const struct limit_ask *ask)
{
	double capacity = limit_capacity(&l->size, &h->bound);
	double need = fmin(ask->need, floor(l->level));
	double left = l->level - need;
	double want = fmax(limit_target(ask->demand) - ask->tokens, 0);
	double part = l->demand > 0 ? ask->demand / l->demand : 1;

	if (ask->demand <= 0)
		return need;
	if (left < capacity * PLENTY_PART)
		want = fmin(want, fmax(left - capacity * RESERVE_PART, 0) * part);
	return need + fmin(want, left);
}

/* Returns the fallback rate of a gateway; `others`: the sum of those of the others. */
static double fallback_for(const struct limit *l, const struct limit_ask *ask, double others,
			   clk_ms now)
{
	double all = l->size.rate * LIMIT_FALLBACK_PART;

	if (now - l->since < LEARN_MS || l->demand <= 0)
		return 0;
	return fmax(fmin(all * ask->demand / l->demand, all - others), 0);
}

/* With less demand than the rate, the bucket is empty only for a moment. */
static bool is_scarce(const struct holder *h, const struct limit *l)
{
	double least = fmax(1, limit_capacity(&l->size, &h->bound) * SCARCE_PART);

	return l->level < least && l->demand > l->size.rate * SCARCE_DEMAND;
}

void holder_ask(struct holder *h, uint64_t id, const struct limit_size *size, uint64_t gateway,
		const struct limit_ask *ask, clk_ms now, struct limit_lease *out)
{
	struct limit *l;
	struct lease *e;

	if (now - h->called > MAX_PAUSE_MS)
		holder_tick(h, now);
	l = limit_find(h, id);
	if (!l)
		l = limit_add(h, id, size, now);
	refill(h, l, now);
	e = lease_of(l, gateway);
	lease_count(l, e, -1);
	e->heard = now;
	e->missing = false;
	e->tokens = ask->tokens + ask->held;
	e->demand = ask->demand;
	l->demand += ask->demand;
	out->tokens = tokens_for(h, l, ask);
	out->fallback = fallback_for(l, ask, l->fallback, now);
	l->demand -= ask->demand;
	/* An answer that is lost leaves the gateway with its former rate. */
	e->fallback = fmax(out->fallback, ask->fallback);
	e->tokens += out->tokens;
	l->level -= out->tokens;
	lease_count(l, e, 1);
	out->scarce = is_scarce(h, l);
	if (ask->demand <= 0 && !out->tokens && !ask->held)
		lease_free(l, e);
}

bool holder_usage(struct holder *h, uint64_t id, struct holder_usage *out)
{
	const struct limit *l = limit_find(h, id);

	if (!l)
		return false;
	*out = (struct holder_usage){l->level, l->tokens, l->demand, HASH_COUNT(l->leases)};
	return true;
}
