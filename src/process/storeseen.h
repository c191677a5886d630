/*
 * When the store last answered other gateways, as far as their heartbeats told, in the present era
 * of the store and before it. After a restore this shows whether others had answers that this
 * gateway did not have. The module does no I/O.
 */
#ifndef PROCESS_STORESEEN_H
#define PROCESS_STORESEEN_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clk.h"

struct storeseen {
	uint64_t era;	     /* highest era that a gateway named */
	clk_ms answered;     /* last answer in that era, 0: none */
	clk_ms answered_old; /* last answer in an earlier era, 0: none */
};

/* Takes note of a gateway whose last answer came at `at`, from a store of era `era` or earlier. */
void storeseen_heard(struct storeseen *s, uint64_t era, clk_ms at);
/* Returns the time of the last answer that may be from before `era`, 0 if there is none. */
clk_ms storeseen_before(const struct storeseen *s, uint64_t era);

#endif
