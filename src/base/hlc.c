#include "base/hlc.h"

/*
 * A remote timestamp further ahead of the local wall clock comes from a faulty clock. It is
 * ignored, so that one faulty clock does not move the clocks of all processes forward.
 */
#define HLC_MAX_AHEAD_MS 60000

uint64_t hlc_next(struct hlc *h, clk_ms utc)
{
	uint64_t wall = (uint64_t)utc << 16;

	h->last = wall > h->last ? wall : h->last + 1;
	return h->last;
}

void hlc_observe(struct hlc *h, uint64_t remote, clk_ms utc)
{
	if (hlc_utc(remote) > utc + HLC_MAX_AHEAD_MS)
		return;
	if (remote > h->last)
		h->last = remote;
}
