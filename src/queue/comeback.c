#include "queue/comeback.h"

/* Callers honour a Retry-After up to this share of the time that they have left. */
#define HONOURED_SHARE (1.0 / 3.0)
/* Greatest part of it by which the time is shortened. */
#define SPREAD_SHARE 0.3

clk_ms comeback_late(clk_ms left, uint64_t random)
{
	double share = (double)(random % 1024) / 1024.0;

	return left > 0 ? (clk_ms)((double)left * HONOURED_SHARE * (1.0 - SPREAD_SHARE * share))
			: 0;
}
