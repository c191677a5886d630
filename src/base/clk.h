/* Clock type of the whole program: milliseconds in a signed 64-bit integer. */
#ifndef BASE_CLK_H
#define BASE_CLK_H

#include <stdint.h>

typedef int64_t clk_ms;

#define CLK_NEVER INT64_MAX

/*
 * Monotonic time for leases and timeouts. It advances while the process is stopped and while the
 * machine is suspended, so that a lease lapses during either.
 */
clk_ms clk_now(void);

/* Wall clock time in UTC, for absolute deadlines and event order only. */
clk_ms clk_utc(void);

#endif
