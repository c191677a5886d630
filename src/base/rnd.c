#include "base/rnd.h"

static uint64_t mix64(uint64_t z)
{
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

void rnd_seed(struct rnd *r, uint64_t seed)
{
	r->state = seed;
}

uint64_t rnd_u64(struct rnd *r)
{
	r->state += 0x9e3779b97f4a7c15ULL;
	return mix64(r->state);
}

uint64_t rnd_below(struct rnd *r, uint64_t n)
{
	return (uint64_t)(((unsigned __int128)rnd_u64(r) * n) >> 64);
}

double rnd_unit(struct rnd *r)
{
	return (double)(rnd_u64(r) >> 11) * 0x1.0p-53;
}

uint64_t rnd_mix(uint64_t a, uint64_t b)
{
	return mix64(mix64(a + 0x9e3779b97f4a7c15ULL) ^ (b * 0xff51afd7ed558ccdULL));
}
