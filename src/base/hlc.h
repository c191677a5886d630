/*
 * Hybrid logical clock. A timestamp has wall clock milliseconds in the upper 48 bits and a counter
 * in the lower 16. Every frame between processes carries the sender's timestamp, so that sorting
 * events by timestamp puts each cause before its effects even if wall clocks differ.
 */
#ifndef BASE_HLC_H
#define BASE_HLC_H

#include <stdint.h>

#include "base/clk.h"

struct hlc {
	uint64_t last; /* newest timestamp issued or observed */
};

/*
 * Returns a new timestamp, later than all before, for a local event or a frame about to be sent.
 * `utc` is the wall clock time.
 */
uint64_t hlc_next(struct hlc *h, clk_ms utc);

/*
 * Advances the clock to the timestamp of a received frame. Ignores a timestamp that is more than
 * HLC_MAX_AHEAD_MS ahead of the local wall clock `utc`.
 */
void hlc_observe(struct hlc *h, uint64_t remote, clk_ms utc);

/* Returns the wall clock part of a timestamp, in ms. */
static inline clk_ms hlc_utc(uint64_t stamp)
{
	return (clk_ms)(stamp >> 16);
}

#endif
