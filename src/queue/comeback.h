/*
 * Retry-After of callers by what the next attempt will find.
 *
 * Load patterns:
 * - upstreams that refuse a share of their requests although they have free slots: the next attempt
 *   is as likely to succeed at once as later, and may still be in time;
 * - an overload that lasts: an early return only costs the caller one of its attempts;
 * - the time after a burst, when there is room for those whom it kept out: a caller whose objective
 *   is out of reach loses nothing by a later return, as long as its answer arrives before its
 *   deadline.
 */
#ifndef QUEUE_COMEBACK_H
#define QUEUE_COMEBACK_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clk.h"

/*
 * Returns the longest Retry-After with which a caller that waits for `left` more comes back, less a
 * part that follows from `random`, so that callers who were refused together do not return
 * together.
 */
clk_ms comeback_late(clk_ms left, uint64_t random);

/*
 * Whether a lasting queue of `waiting` requests may be empty by chance after a time in which
 * `departures` of them leave on average: in a small pool an early return may find room.
 */
bool comeback_has_chance(double waiting, double departures);

/*
 * Returns the Retry-After of a request that upstreams with free slots refused; `random` spreads the
 * callers.
 */
clk_ms comeback_soon(uint64_t random);

#endif
