/*
 * Hybrid logical clock: wall clock milliseconds in the upper 48 bits, a counter in the lower 16.
 * Every frame carries one, so that sorting events by it keeps cause before effect.
 */
#ifndef BASE_HLC_H
#define BASE_HLC_H

#include <stdint.h>

#include "base/clk.h"

struct hlc {
	uint64_t last;
};

/* Stamp for a local event or a frame that is about to be sent. */
uint64_t hlc_next(struct hlc *h, clk_ms utc);

/* Takes the stamp of a received frame into account. */
void hlc_observe(struct hlc *h, uint64_t remote, clk_ms utc);

static inline clk_ms hlc_utc(uint64_t stamp)
{
	return (clk_ms)(stamp >> 16);
}

#endif
