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
	clk_ms late_from; /* requests that come whole after this are late */
	clk_ms ends_at;	  /* end of the process, CLK_NEVER if no stop is under way */
};

#define STOPPING_NOT ((struct stopping){CLK_NEVER, CLK_NEVER})

/* A planned stop begins; the process ends at `end`. */
void stopping_begin(struct stopping *s, clk_ms now, clk_ms end);
/*
 * Whether a request that came whole at `arrived`, and has to be answered by `deadline`, may be
 * passed on now; `target` is the latency objective of its route.
 */
bool stopping_permits(const struct stopping *s, clk_ms now, clk_ms arrived, clk_ms target,
		      clk_ms deadline);

#endif
