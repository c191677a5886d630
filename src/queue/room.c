#include "queue/room.h"

#include <math.h>

#include "base/mutant.h"

/* Time constant of the moving average. */
#define AVERAGING_MS 1000.0
/* Smallest share of the slots that counts as room. */
#define MIN_SHARE 0.02

static double rate_at(const struct room *r, clk_ms now)
{
	return r->rate * exp(-(double)(now - r->at) / AVERAGING_MS);
}

void room_note(struct room *r, clk_ms now)
{
	r->rate = rate_at(r, now) + 1000.0 / AVERAGING_MS;
	r->at = now;
}

clk_ms room_late_wait(const struct room *r, clk_ms now, clk_ms wait, double per_second)
{
	double share = per_second > 0 ? 1.0 - rate_at(r, now) / per_second : 0;

	if (wait <= 0 || MUTANT(room_ignore_arrivals))
		return wait;
	return share < MIN_SHARE ? CLK_NEVER : (clk_ms)((double)wait / share);
}
