#include "base/clk.h"

clk_ms clk_now(void)
{
	return clk_read(CLK_MONOTONIC);
}

clk_ms clk_utc(void)
{
	return clk_read(CLOCK_REALTIME);
}
