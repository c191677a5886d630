#include "process/stopping.h"

#include "base/mutant.h"

/*
 * Requests that come whole later than this in a planned stop were sent after the balancer had taken
 * the gateway out, or slowly.
 */
#define LATE_MS 3000
/*
 * The process ends this long before the platform kills it. A short grace has a margin of this part
 * of it: requests that upstreams work on may be broken off only in its last sixth.
 */
#define MARGIN_MS 400
#define MARGIN_DIVISOR 8

void stopping_begin(struct stopping *s, clk_ms now)
{
	s->since = now;
}

clk_ms stopping_duration(clk_ms grace)
{
	clk_ms margin = grace / MARGIN_DIVISOR;

	if (margin > MARGIN_MS || MUTANT(stopping_long_margin))
		margin = MARGIN_MS;
	return grace - margin;
}

bool stopping_permits(const struct stopping *s, clk_ms grace, clk_ms now, clk_ms arrived,
		      clk_ms target, clk_ms deadline)
{
	clk_ms end;

	if (s->since == CLK_NEVER || MUTANT(forward_pass_late))
		return true;
	end = s->since + stopping_duration(grace);
	return deadline <= end || (arrived < s->since + LATE_MS && now + target <= end);
}
