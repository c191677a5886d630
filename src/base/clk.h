/* Clocks, and the time type used throughout: milliseconds in a signed 64-bit integer. */
#ifndef BASE_CLK_H
#define BASE_CLK_H

#include <stdint.h>
#include <time.h>

typedef int64_t clk_ms;

/* Time that is never reached, for timers and deadlines that are not set. */
#define CLK_NEVER INT64_MAX

/* The clock of clk_now(). */
#define CLK_MONOTONIC CLOCK_BOOTTIME

/* Reads a clock of the system; may be called by signal handlers. */
static inline clk_ms clk_read(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (clk_ms)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/*
 * Returns monotonic time, for leases and timeouts. The clock keeps advancing while the process is
 * stopped (SIGSTOP) or the machine is suspended, so that leases also expire during that time.
 */
clk_ms clk_now(void);

/* Returns wall clock time in UTC. Use it only for absolute deadlines and for ordering events. */
clk_ms clk_utc(void);

#endif
