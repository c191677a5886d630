/*
 * Seeded pseudorandom generator (splitmix64). Code that makes random decisions receives its state
 * as an argument, so that the same seed gives the same decisions.
 */
#ifndef BASE_RND_H
#define BASE_RND_H

#include <stdint.h>

struct rnd {
	uint64_t state;
};

void rnd_seed(struct rnd *r, uint64_t seed);

/* Returns 64 uniformly distributed random bits. */
uint64_t rnd_u64(struct rnd *r);

/* Returns a uniformly distributed number in [0, n); n must be positive. */
uint64_t rnd_below(struct rnd *r, uint64_t n);

/* Returns a uniformly distributed number in [0, 1). */
double rnd_unit(struct rnd *r);

/*
 * Hashes a pair of numbers, with the same result in every process. Used for the weights of
 * rendezvous hashing and to derive seeds.
 */
uint64_t rnd_mix(uint64_t a, uint64_t b);

#endif
