#include "cost/failing.h"

#include <math.h>

#include "base/mutant.h"

/* Weight of an outcome in the share. */
#define OUTCOME_WEIGHT 0.1
/* Time in which the share falls to 1/e without outcomes. */
#define FORGET_MS 5000.0
/* A share below this is taken for chance; above MOST the upstream is probed. */
#define NEGLIGIBLE 0.05
#define MOST 0.7
#define MAX_SHARE 0.95

double failing_share(const struct failing *f, clk_ms now)
{
	if (f->share <= 0 || MUTANT(failing_ignore))
		return 0;
	return f->share * exp(-(double)(now - f->noted_at) / FORGET_MS);
}

void failing_note(struct failing *f, clk_ms now, bool failed)
{
	double share = MUTANT(failing_never_forget) ? f->share : failing_share(f, now);

	if (!failed && MUTANT(failing_never_forget))
		return;
	f->share = share + ((failed ? 1.0 : 0.0) - share) * OUTCOME_WEIGHT;
	f->noted_at = now;
}

double failing_answer_ms(const struct failing *f, clk_ms now, double ms, double repeat_ms)
{
	double share = fmin(failing_share(f, now), MAX_SHARE);

	return share < NEGLIGIBLE ? ms : ms + share / (1 - share) * (repeat_ms + ms);
}

bool failing_is_probed(const struct failing *f, clk_ms now)
{
	return failing_share(f, now) > MOST;
}
