/*
 * Which gateways of a region follow the store for the others. A few read; they are replaced one by
 * one as their word grows old. When all are late at once, the link to the store may be full or the
 * store slow, and a table that everybody reads at once would make it worse: so others begin in
 * waves, each as large as all that went before it. If the store only refuses some gateways, a few
 * waves find one that it answers.
 */
#ifndef PROCESS_READERS_H
#define PROCESS_READERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"

/* Readers of one region. More than any number of losses at once leaves; each costs calls. */
#define READERS_PER_REGION 4
/*
 * A reader's word counts while the store's last answer to it is younger: an answer in time, a slow
 * one and the way of the pulse. Together with the own call afterwards it is below the time in which
 * configurations have to be in force.
 */
#define READERS_ANSWER_VALID_MS 1600
/* One that began to read has this long for the first answer before others begin. */
#define READERS_FIRST_ANSWER_MS 500

struct reader_info {
	uint64_t node;
	bool reads;	   /* follows the store itself */
	clk_ms answer_age; /* time since the store answered it */
	clk_ms reading_ms; /* since it began to read */
};

struct readers {
	uint64_t *nodes; /* those that should read, the good ones first, as many as the input */
	size_t n;
	size_t good; /* those of them whose word counts now */
};

/* `nodes` of the result has room for `n`; `peers` is sorted by this call. */
void readers_choose(struct readers *out, struct reader_info *peers, size_t n);
bool readers_has(const struct readers *r, uint64_t node);
/* The good reader that passes changes on to a gateway, 0 if there is none. */
uint64_t readers_source_of(const struct readers *r, uint64_t node);

#endif
