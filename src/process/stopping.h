/*
 * Decides which requests a gateway still passes on in a planned stop. The module does no I/O.
 *
 * Load pattern: a stop under load. Callers keep their connections until they are closed, and large
 * bodies arrive slowly, so requests come whole until the end; an upstream may need longer than the
 * process lasts. Another gateway can serve what is refused in time.
 */
#ifndef PROCESS_STOPPING_H
#define PROCESS_STOPPING_H

#include <stdbool.h>

#include "base/clk.h"

struct stopping {
	clk_ms since; /* start of the planned stop, CLK_NEVER if none is under way */
};

#define STOPPING_NOT ((struct stopping){CLK_NEVER})

/* A planned stop begins. */
void stopping_begin(struct stopping *s, clk_ms now);
/*
 * Returns how long after its start a planned stop ends; `grace` is the time from the signal to the
 * kill, which a reload may change during the stop.
 */
clk_ms stopping_duration(clk_ms grace);
/*
 * Whether a request that came whole at `arrived`, and has to be answered by `deadline`, may be
 * passed on now; `target` is the latency objective of its route.
 */
bool stopping_permits(const struct stopping *s, clk_ms grace, clk_ms now, clk_ms arrived,
		      clk_ms target, clk_ms deadline);

#endif
