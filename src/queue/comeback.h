/*
 * Retry-After of callers that there is no room for, and will be none soon.
 *
 * Load patterns: an overload that lasts, in which an early return only costs the caller one of its
 * attempts; the time after a burst, when there is room for those whom the burst kept out. A caller
 * whose objective is out of reach loses nothing by a later return as long as its answer arrives
 * before its deadline.
 */
#ifndef QUEUE_COMEBACK_H
#define QUEUE_COMEBACK_H

#include <stdint.h>

#include "base/clk.h"

/*
 * Returns the longest Retry-After with which a caller that waits for `left` more comes back, less a
 * part that follows from `random`, so that callers who were refused together do not return
 * together.
 */
clk_ms comeback_late(clk_ms left, uint64_t random);

#endif
