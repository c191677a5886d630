#include "process/storeseen.h"

#include "base/mutant.h"

static void raise_to(clk_ms *at, clk_ms to)
{
	if (*at < to)
		*at = to;
}

void storeseen_heard(struct storeseen *s, uint64_t era, clk_ms at)
{
	if (era > s->era) {
		raise_to(&s->answered_old, s->answered);
		s->answered = 0;
		s->era = era;
	}
	raise_to(era == s->era ? &s->answered : &s->answered_old, at);
}

clk_ms storeseen_before(const struct storeseen *s, uint64_t era)
{
	bool present = era == s->era && !MUTANT(storeseen_any_era);

	return present || s->answered_old > s->answered ? s->answered_old : s->answered;
}
