#include "process/stopping.h"

#include "base/mutant.h"

/*
 * Requests that come whole later than this in a planned stop were sent after the balancer had taken
 * the gateway out, or slowly.
 */
#define LATE_MS 3000

void stopping_begin(struct stopping *s, clk_ms now, clk_ms end)
{
	s->late_from = now + LATE_MS;
	s->ends_at = end;
}

bool stopping_permits(const struct stopping *s, clk_ms now, clk_ms arrived, clk_ms target,
		      clk_ms deadline)
{
	if (deadline <= s->ends_at || MUTANT(forward_pass_late))
		return true;
	return arrived < s->late_from && now + target <= s->ends_at;
}
