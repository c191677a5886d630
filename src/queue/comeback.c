#include "queue/comeback.h"

#include <math.h>

#include "base/mutant.h"

/* Callers honour a Retry-After up to this share of the time that they have left. */
#define HONOURED_SHARE (1.0 / 3.0)
/* Greatest part of it by which the time is shortened. */
#define SPREAD_SHARE 0.3

/* Standard deviations of the number of departures that are still taken for chance. */
#define CHANCE_DEVIATIONS 3.0
/* Shortest Retry-After of a request that was refused in spite of free slots, and its spread. */
#define SOON_MS 50
#define SOON_SPREAD_MS 50

clk_ms comeback_late(clk_ms left, uint64_t random)
{
	double share = (double)(random % 1024) / 1024.0;

	return left > 0 ? (clk_ms)((double)left * HONOURED_SHARE * (1.0 - SPREAD_SHARE * share))
			: 0;
}

bool comeback_has_chance(double waiting, double departures)
{
	if (MUTANT(comeback_no_chance))
		return false;
	return waiting <= CHANCE_DEVIATIONS * sqrt(departures);
}

clk_ms comeback_soon(uint64_t random)
{
	if (MUTANT(comeback_soon_is_late))
		return 300;
	return SOON_MS + (clk_ms)(random % SOON_SPREAD_MS);
}
