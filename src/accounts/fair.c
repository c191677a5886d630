#include "accounts/fair.h"

#include "base/mutant.h"

clk_ms fair_due(clk_ms now, uint64_t account, uint32_t rate, uint32_t waiting)
{
	if (!account || MUTANT(fair_by_arrival))
		return now;
	if (!rate || MUTANT(fair_equal_rates))
		rate = FAIR_UNLIMITED_RATE;
	return now + (clk_ms)((uint64_t)waiting * 1000 / rate);
}
