/*
 * Account of the memory that a gateway holds for callers: unparsed input, heads and bodies of
 * requests. It decides what is taken in; answers have an account of their own (answer_memory.h).
 *
 * Load pattern: crowds that send much and finish nothing. A part of the memory is kept for
 * connections that hold little, so that ordinary requests are read while large ones are refused.
 */
#ifndef DOOR_DOOR_H
#define DOOR_DOOR_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clk.h"

/* A connection that holds no more than this may also use the reserve. */
#define DOOR_SMALL_BYTES (64u * 1024)
/* Share of the limit that is the reserve. */
#define DOOR_RESERVE_DIVISOR 4
/* A body of which nothing has come for this long gives way to another one if memory is short. */
#define DOOR_STALE_BODY_MS 1000
/* The same for an answer of which its caller has taken nothing. */
#define DOOR_STALLED_ANSWER_MS 2000

struct door {
	size_t limit; /* bytes, 0: no limit */
	size_t used;
};

/* Whether a connection that holds `held` bytes may take `more`. `d` may be NULL: no limit. */
bool door_admits(const struct door *d, size_t held, size_t more);
/*
 * Whether more than half of what large requests may take is used: nothing is taken in then that may
 * wait, such as requests sent ahead.
 */
bool door_is_short(const struct door *d);
/* Changes what one holder counts from `*counted` to `bytes`. */
void door_count(struct door *d, size_t *counted, size_t bytes);
/* Returns what a request head of this length and number of headers takes until its answer. */
size_t door_head_bytes(size_t len, size_t n_headers);
/* Whether an unfinished body gives way while memory is short. */
bool door_is_stale_body(clk_ms last_read, clk_ms now);
/* Whether an answer gives way while the memory of answers is short. */
bool door_is_stalled_answer(clk_ms last_taken, clk_ms now);

#endif
