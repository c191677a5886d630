/*
 * Votes about the role of shard manager: when this one may act without the store, when its
 * predecessor has ceased to act, and who votes. See voters.h.
 */
#include "process/shardmgr_priv.h"

#include "base/log.h"
#include "base/mutant.h"

/* Time from the read of the role for all votes about the map for requests to come. */
#define VIEW_VOTES_MS 1000
/* The log tells of consent that is missing for this long. */
#define CONSENT_LOG_MS 3000

static const struct log log = {"keeper"};

bool shardmgr_is_supported(const struct shardmgr *mgr, clk_ms since)
{
	size_t n = MUTANT(keeper_one_electorate) ? 1 : mgr->n_electorates;

	for (size_t i = 0; i < n; i++) {
		if (!mgr->env.peers_support(mgr->env.data, mgr->service, &mgr->electorates[i].who,
					    mgr->term, since))
			return false;
	}
	return n > 0;
}

void shardmgr_votes_changed(struct shardmgr *mgr)
{
	if (mgr->state == SHARDMGR_ACTIVE && (!mgr->settled || mgr->awaits_support))
		shardmgr_schedule_tick(mgr);
}

/* ---- former shard manager ------------------------------------------------------------------- */

/*
 * Whether no other shard manager can have moved keys after the map for requests that is used here:
 * gateways that consented to it would remember.
 */
static bool is_last_view(const struct shardmgr *mgr)
{
	return mgr->env.peers_knew_none_above(mgr->env.data, mgr->service, &mgr->electorates[0].who,
					      mgr->term, mgr->view_term);
}

/* The former shard manager sends no grants SHARDMGR_FORMER_RENEWAL_MS from now, nor later. */
static void settle(struct shardmgr *mgr, clk_ms now)
{
	clk_ms end = shardmgr_lease_end(mgr, now + SHARDMGR_FORMER_RENEWAL_MS);

	if (mgr->view_term && !is_last_view(mgr))
		shardmgr_distrust_view(mgr);
	mgr->view_term = 0;
	mgr->settled = true;
	mgr->next_plan = now;
	for (struct key_range *r = mgr->ranges; r; r = r->next) {
		clk_ms *ends[] = {&r->owner_lease_end, &r->former_lease_end,
				  &r->second_former_lease_end, &r->unanswered_until};

		for (size_t i = 0; i < sizeof(ends) / sizeof(ends[0]); i++) {
			if (*ends[i] == SHARDMGR_LEASE_UNBOUNDED)
				*ends[i] = end;
		}
	}
	log_info(&log, "most of the electorate follows term %llu of %s",
		 (unsigned long long)mgr->term, mgr->service);
}

/* Whether more gateways than had to consent may still tell that the map for requests is the last.
 */
static bool awaits_more_votes(const struct shardmgr *mgr, clk_ms now)
{
	return mgr->view_term && now - mgr->loaded_at < VIEW_VOTES_MS && !is_last_view(mgr);
}

static bool has_consent(const struct shardmgr *mgr)
{
	return !mgr->has_former ||
	       mgr->env.peers_consent(mgr->env.data, mgr->service, &mgr->electorates[0].who,
				      mgr->term) ||
	       MUTANT(keeper_need_no_consent);
}

/* ---- electorate ----------------------------------------------------------------------------- */

void shardmgr_load_electorate(struct shardmgr *mgr, const struct electorate *stored,
			      bool has_former)
{
	mgr->electorates[0].who = *stored;
	if (!stored->n)
		mgr->env.electorate(mgr->env.data, &mgr->electorates[0].who);
	mgr->electorates[0].until = CLK_NEVER;
	mgr->n_electorates = 1;
	mgr->electorate_due = false;
	mgr->next_electorate.n = 0;
	mgr->has_former = has_former;
	mgr->settled = false;
	mgr->view_term = 0;
	mgr->suspended = false;
	mgr->loaded_at = clk_now();
	mgr->consent_missed = false;
}

const struct electorate *shardmgr_row_electorate(const struct shardmgr *mgr)
{
	return &mgr->electorates[mgr->electorate_due ? mgr->n_electorates - 1 : 0].who;
}

void shardmgr_electorate_written(struct shardmgr *mgr)
{
	const struct electorate written = *shardmgr_row_electorate(mgr);

	if (!mgr->electorate_due)
		return;
	mgr->electorate_due = false;
	mgr->electorates[mgr->n_electorates - 1].who = mgr->electorates[0].who;
	mgr->electorates[mgr->n_electorates - 1].until = clk_now() + SHARDMGR_ELECTORATE_KEPT_MS;
	mgr->electorates[0].who = written;
}

static void drop_old_electorates(struct shardmgr *mgr, clk_ms now)
{
	size_t n = 1;

	for (size_t i = 1; i < mgr->n_electorates; i++) {
		if (now < mgr->electorates[i].until)
			mgr->electorates[n++] = mgr->electorates[i];
	}
	mgr->n_electorates = n;
}

/* Returns the gateways that should vote instead of those of the row, NULL if there are none. */
static const struct electorate *better_electorate(struct shardmgr *mgr, clk_ms now)
{
	struct electorate wanted = {.n = 0};

	mgr->env.electorate(mgr->env.data, &wanted);
	if (!wanted.n || electorate_equal(&wanted, &mgr->electorates[0].who)) {
		mgr->next_electorate.n = 0;
		return NULL;
	}
	if (!electorate_equal(&wanted, &mgr->next_electorate)) {
		mgr->next_electorate = wanted;
		mgr->next_electorate_since = now;
	}
	if (mgr->electorates[0].who.n &&
	    now - mgr->next_electorate_since < SHARDMGR_ELECTORATE_STABLE_MS)
		return NULL;
	return &mgr->next_electorate;
}

static void update_electorate(struct shardmgr *mgr, clk_ms now)
{
	const struct electorate *next;

	drop_old_electorates(mgr, now);
	if (!mgr->settled || mgr->electorate_due || mgr->writing_serial || mgr->reading ||
	    mgr->reread_needed || now - mgr->confirmed_at >= SHARDMGR_CONFIRMED_MS ||
	    mgr->n_electorates == SHARDMGR_MAX_ELECTORATES)
		return;
	next = better_electorate(mgr, now);
	if (!next)
		return;
	/* Until the outcome of the write is known, either may be that of the row. */
	mgr->electorates[mgr->n_electorates].who = *next;
	mgr->electorates[mgr->n_electorates].until = CLK_NEVER;
	mgr->n_electorates++;
	mgr->electorate_due = true;
	mgr->next_electorate.n = 0;
	mgr->serial++;
	mgr->next_commit = 0;
	log_info(&log, "%zu gateways vote about the role for %s from now on",
		 shardmgr_row_electorate(mgr)->n, mgr->service);
}

void shardmgr_update_votes(struct shardmgr *mgr, clk_ms now)
{
	/* The row named none, and none was known when it was read. */
	if (!mgr->settled && !mgr->electorates[0].who.n)
		mgr->env.electorate(mgr->env.data, &mgr->electorates[0].who);
	if (!mgr->settled && has_consent(mgr) && !awaits_more_votes(mgr, now))
		settle(mgr, now);
	if (!mgr->settled && !mgr->consent_missed && now - mgr->loaded_at > CONSENT_LOG_MS) {
		mgr->consent_missed = true;
		log_warn(&log,
			 "most of the %zu gateways of the electorate of %s do not follow term %llu "
			 "yet; no keys move",
			 mgr->electorates[0].who.n, mgr->service, (unsigned long long)mgr->term);
	}
	update_electorate(mgr, now);
}
