#include "queue/backlog.h"

#include <math.h>

#include "base/mutant.h"

/* A queue that has not been empty for this long does not come from a burst. */
#define LASTING_MS 1000
/*
 * Further reserve for service, as a multiple of its mean time. Together with the one that is part
 * of the budget, it covers nine requests in ten if service times vary as much as their mean.
 */
#define RESERVE_FACTOR 0.8
/* Least budget, as a multiple of the mean service time: of one request, and for a single slot. */
#define MIN_BUDGET_SHARE 0.5
#define MIN_BUDGET_SLOT_SHARE 1.0
/* Standard deviations of the time in which the requests ahead leave that a request waits longer. */
#define PATIENCE_DEVIATIONS 2.0

void backlog_note_free(struct backlog *b, clk_ms now)
{
	b->free_at = now;
}

bool backlog_is_lasting(const struct backlog *b, clk_ms now)
{
	return now - b->free_at > LASTING_MS && !MUTANT(backlog_never_lasting);
}

clk_ms backlog_budget(clk_ms budget, double service, double slots)
{
	clk_ms least;
	clk_ms shorter = budget - (clk_ms)(service * RESERVE_FACTOR);

	if (slots <= 0)
		return budget;
	least = (clk_ms)(service * (MIN_BUDGET_SHARE + MIN_BUDGET_SLOT_SHARE / slots));
	if (budget < least)
		return budget;
	return shorter > least ? shorter : least;
}

clk_ms backlog_patience(clk_ms expected, double service, double slots)
{
	/* If service times vary as much as their mean, so does the time between two departures. */
	double gap = slots > 0 ? service / slots : service;

	if (MUTANT(backlog_wait_on))
		return CLK_NEVER;
	return expected +
	       (clk_ms)(PATIENCE_DEVIATIONS * sqrt((double)(expected > 0 ? expected : 0) * gap));
}
