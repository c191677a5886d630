/* Seeded random state (splitmix64), passed to the decisions that need randomness. */
#ifndef BASE_RND_H
#define BASE_RND_H

#include <stdint.h>

struct rnd {
	uint64_t state;
};

void rnd_seed(struct rnd *r, uint64_t seed);
uint64_t rnd_u64(struct rnd *r);

/* Uniform in [0, n); n must be positive. */
uint64_t rnd_below(struct rnd *r, uint64_t n);

/* Uniform in [0, 1). */
double rnd_unit(struct rnd *r);

/* Rendezvous weight of a pair; equal inputs give equal weights in every process. */
uint64_t rnd_mix(uint64_t a, uint64_t b);

#endif
