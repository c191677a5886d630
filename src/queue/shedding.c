#include "queue/shedding.h"

#include "base/mutant.h"

/* Weights of a new answer in the moving averages. */
#define UPSTREAM_WEIGHT 0.1
#define ALL_WEIGHT 0.02
/* Share of refusals from which on they count as a fault of all upstreams. */
#define COMMON_SHARE 0.1
/* An upstream that runs less than this part of the share that the average one runs is faulty. */
#define LEAST_SUCCESS 0.5

void shedding_note(struct shedding *upstream, struct shedding *all, bool refused)
{
	double sample = refused ? 1.0 : 0.0;

	upstream->share += (sample - upstream->share) * UPSTREAM_WEIGHT;
	all->share += (sample - all->share) * ALL_WEIGHT;
}

bool shedding_is_common(const struct shedding *upstream, const struct shedding *all)
{
	if (MUTANT(shedding_pause_none))
		return true;
	return all->share >= COMMON_SHARE &&
	       1.0 - upstream->share >= LEAST_SUCCESS * (1.0 - all->share) &&
	       !MUTANT(shedding_pause_all);
}
