#include "process/readers.h"

#include <stdlib.h>

#include "base/mutant.h"
#include "base/rnd.h"

/* Seed of the gateways' weights as readers, independent of the weights as admission controllers. */
#define READER_WEIGHT_SEED 0x7265616465727331ULL

enum reader_state {
	READER_TRUSTED,	   /* reads, and the store answered it recently */
	READER_CANDIDATE,  /* does not read, or started too recently to judge */
	READER_UNANSWERED, /* reads without a recent answer of the store */
	READER_FAILED	   /* does not read, since it got no answer */
};

static enum reader_state state_of(const struct reader_info *p)
{
	if (p->reads && p->answer_age < READERS_ANSWER_VALID_MS)
		return READER_TRUSTED;
	if (p->reads)
		return p->reading_ms >= READERS_FIRST_ANSWER_MS ? READER_UNANSWERED
								: READER_CANDIDATE;
	return p->failed && !MUTANT(readers_forget_failed) ? READER_FAILED : READER_CANDIDATE;
}

/* Orders gateways by a pseudo-random weight that is the same on all gateways. */
static int by_weight(const void *a, const void *b)
{
	uint64_t x = rnd_mix(READER_WEIGHT_SEED, ((const struct reader_info *)a)->node);
	uint64_t y = rnd_mix(READER_WEIGHT_SEED, ((const struct reader_info *)b)->node);

	return x > y ? -1 : x < y;
}

/*
 * Adds up to `max` gateways in the given state to the readers, in the order of their weight.
 * Returns how many.
 */
static size_t add_gateways(struct readers *out, const struct reader_info *peers, size_t n,
			   enum reader_state state, size_t max)
{
	size_t added = 0;

	for (size_t i = 0; i < n && added < max; i++) {
		if (state_of(&peers[i]) != state)
			continue;
		out->nodes[out->n++] = peers[i].node;
		added++;
	}
	return added;
}

void readers_choose(struct readers *out, struct reader_info *peers, size_t n)
{
	size_t unanswered = 0;
	size_t more;

	out->n = 0;
	qsort(peers, n, sizeof(*peers), by_weight);
	for (size_t i = 0; i < n; i++)
		unanswered += state_of(&peers[i]) == READER_UNANSWERED;
	add_gateways(out, peers, n, READER_TRUSTED, READERS_PER_REGION);
	out->good = out->n;
	more = READERS_PER_REGION - out->good;
	/* Without a trusted reader, as many gateways start to read as have failed before. */
	if (!out->good && unanswered > more)
		more = unanswered;
	if (!out->good && MUTANT(readers_all_at_once))
		more = n;
	more -= add_gateways(out, peers, n, READER_CANDIDATE, more);
	if (!out->good)
		add_gateways(out, peers, n, READER_FAILED, more);
}

bool readers_gives_up(const struct reader_info *info)
{
	return state_of(info) == READER_UNANSWERED;
}

bool readers_has(const struct readers *r, uint64_t node)
{
	for (size_t i = 0; i < r->n; i++) {
		if (r->nodes[i] == node)
			return true;
	}
	return false;
}

uint64_t readers_source_of(const struct readers *r, uint64_t node)
{
	uint64_t best = 0;

	for (size_t i = 0; i < r->good; i++) {
		if (!best || rnd_mix(node, r->nodes[i]) > rnd_mix(node, best))
			best = r->nodes[i];
	}
	return best;
}
