#include "process/hubs.h"

#include <stdlib.h>

#include "base/mutant.h"
#include "base/rnd.h"

/* Seed of the gateways' weights as hubs, independent of their other weights. */
#define HUB_WEIGHT_SEED 0x6875627365656431ULL

size_t hubs_count(size_t n)
{
	size_t count = HUBS_MIN;

	while (count * count < n)
		count++;
	return count;
}

/* Orders gateways by a pseudo-random weight that is the same on all gateways. */
static int by_weight(const void *a, const void *b)
{
	uint64_t x = rnd_mix(HUB_WEIGHT_SEED, ((const struct hubs_gateway *)a)->id);
	uint64_t y = rnd_mix(HUB_WEIGHT_SEED, ((const struct hubs_gateway *)b)->id);

	return x > y ? -1 : x < y;
}

/* Makes up to `max` of the gateways hubs that are strong, or that are not; returns how many. */
static size_t add_hubs(struct hubs_gateway *gateways, size_t n, uint32_t min_cpu, bool strong,
		       size_t max)
{
	size_t added = 0;

	for (size_t i = 0; i < n && added < max; i++) {
		struct hubs_gateway *g = &gateways[i];

		if ((g->cpu_millis >= min_cpu) != strong)
			continue;
		g->hub = !g->lost;
		added += g->hub || MUTANT(hubs_keep_lost);
	}
	return added;
}

void hubs_choose(struct hubs_gateway *gateways, size_t n)
{
	size_t count = MUTANT(hubs_all) ? n : hubs_count(n);
	uint32_t max_cpu = 0;
	uint32_t min_cpu;

	for (size_t i = 0; i < n; i++) {
		gateways[i].hub = false;
		if (gateways[i].cpu_millis > max_cpu)
			max_cpu = gateways[i].cpu_millis;
	}
	min_cpu = (uint32_t)(max_cpu * HUBS_MIN_CPU_SHARE);
	qsort(gateways, n, sizeof(*gateways), by_weight);
	count -= add_hubs(gateways, n, min_cpu, true, count);
	add_hubs(gateways, n, min_cpu, false, count);
}
