#include "process/era.h"

#include "base/mutant.h"

enum era_verdict era_observe(struct era *e, uint64_t era)
{
	if (era < e->known)
		return MUTANT(era_use_past) ? ERA_CURRENT : ERA_PAST;
	if (era == e->known) {
		e->candidate = 0;
		return ERA_CURRENT;
	}
	if (e->known && era - e->known > ERA_MAX_RISE && !MUTANT(era_trust_any))
		return ERA_BEYOND;
	if (era != e->candidate && !MUTANT(era_trust_first)) {
		e->candidate = era;
		return ERA_UNCONFIRMED;
	}
	e->known = era;
	e->candidate = 0;
	return ERA_RISEN;
}
