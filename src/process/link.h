/*
 * Limits requests with large bodies (bulk) over the link to another region. All traffic between two
 * regions shares the link. If more bulk has to cross it than it carries (for keys whose owner is in
 * the other region), all messages queue behind the bulk: admission controllers and shard managers
 * seem not to answer, leases expire, and removals of upstreams become known late. Bulk is therefore
 * refused as soon as answers from the other region take longer; refusing one large body makes room
 * for many small requests.
 */
#ifndef PROCESS_LINK_H
#define PROCESS_LINK_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clk.h"

/* Shorter bodies are never refused: this saves little, as most answers are at least as long. */
#define LINK_BULK_BYTES 16384

/* Answer times of the link to one region. */
struct link {
	clk_ms window;	   /* start of the present time window */
	clk_ms fastest[2]; /* fastest answer time in this window and the previous one, -1: none */
	clk_ms base;	/* shortest recent answer time, taken for that of the idle link; -1: none */
	clk_ms base_at; /* time at which `base` was measured */
	double credit;	/* grows with each bulk request by the share admitted; 1.0 admits one */
};

void link_init(struct link *l, clk_ms now);
/* Records that a small message to the other region was answered, or timed out, after `ms`. */
void link_record_answer(struct link *l, clk_ms now, clk_ms ms);
/* Returns by how much answers are slower now than over the idle link. */
clk_ms link_delay(struct link *l, clk_ms now);
/* Whether a request with a body of this length may be sent over the link. */
bool link_admits(struct link *l, clk_ms now, size_t bytes);

#endif
