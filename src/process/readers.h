/*
 * Chooses the store readers of a region: the few gateways that follow the store's tables and pass
 * changes on to the others. Every gateway makes the choice for itself, with the same pure
 * functions.
 *
 * A reader to which the store has not answered in time is replaced by another gateway, and is not
 * chosen again for some time: the store may refuse just this gateway. If none of them gets answers,
 * the link to the store may be full or the store slow, and a table that all gateways read at once
 * would make that worse. So further gateways start to read in waves, each as large as all before it
 * together. If the store refuses only some gateways, a few waves find one that it answers.
 */
#ifndef PROCESS_READERS_H
#define PROCESS_READERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"

/* Readers of one region: enough to survive simultaneous failures, few as each calls the store. */
#define READERS_PER_REGION 4
/*
 * A reader is trusted while the store's last answer to it is younger than this. That covers the
 * interval of answers, a slow answer and the transfer of the heartbeat that reports it. Together
 * with a call of this gateway afterwards it is below the time in which configurations have to take
 * effect.
 */
#define READERS_ANSWER_VALID_MS 1600
/* A new reader has this long to get its first answer before further gateways start to read. */
#define READERS_FIRST_ANSWER_MS 500
/* A gateway that gave up reading without an answer is not chosen again for this long. */
#define READERS_RETRY_MS 5000

/* What is known of a gateway of the region. */
struct reader_info {
	uint64_t node;
	bool reads;	   /* the gateway calls the store itself */
	clk_ms answer_age; /* time since the store last answered the gateway */
	clk_ms reading_ms; /* time since the gateway started to read */
	bool failed; /* gave up reading less than READERS_RETRY_MS ago, see readers_gives_up() */
};

struct readers {
	uint64_t *nodes; /* gateways that should read, trusted ones first; the caller's array */
	size_t n;
	size_t good; /* number of trusted gateways at the start of `nodes` */
};

/*
 * Chooses the readers among the `n` gateways of a region, this one included, and sorts `peers`.
 * `out->nodes` must have room for `n` numbers.
 */
void readers_choose(struct readers *out, struct reader_info *peers, size_t n);
/* Whether a gateway that ceases to read does so since the store does not answer it. */
bool readers_gives_up(const struct reader_info *info);
/* Whether the gateway should read. */
bool readers_has(const struct readers *r, uint64_t node);
/* Returns the trusted reader that passes changes on to a gateway, 0 if there is none. */
uint64_t readers_source_of(const struct readers *r, uint64_t node);

#endif
