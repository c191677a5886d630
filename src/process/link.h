/*
 * Bulk requests over the link to another region. The link carries everything that two regions say
 * to each other. When bodies that have to cross it (keys whose owner is there) are more than it can
 * carry, all messages wait behind them: lenders and keepers seem silent, leases run out and news of
 * upstreams that leave comes late. So bulk is refused at once as soon as answers from the other
 * region take longer; a large body makes room for many small requests.
 */
#ifndef PROCESS_LINK_H
#define PROCESS_LINK_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clk.h"

/* Shorter bodies are never refused: they are no longer than most answers. */
#define LINK_BULK_BYTES 16384

struct link {
	clk_ms window;	   /* start of the present window */
	clk_ms fastest[2]; /* fastest answers of this window and the last one, -1: none */
	clk_ms base;	   /* fastest answer lately, -1: none yet */
	clk_ms base_at;
	double credit; /* bulk requests that may pass, at most one */
};

void link_init(struct link *l, clk_ms now);
/* A small message was answered from the other region after `ms`, or not yet after that time. */
void link_record_answer(struct link *l, clk_ms now, clk_ms ms);
/* Time that the link adds to an answer now. */
clk_ms link_delay(struct link *l, clk_ms now);
/* Whether a request with a body of this length may be sent over the link. */
bool link_admits(struct link *l, clk_ms now, size_t bytes);

#endif
