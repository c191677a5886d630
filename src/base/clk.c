#include "base/clk.h"

#include <time.h>

static clk_ms read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (clk_ms)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

clk_ms clk_now(void)
{
	return read_clock(CLOCK_BOOTTIME);
}

clk_ms clk_utc(void)
{
	return read_clock(CLOCK_REALTIME);
}
