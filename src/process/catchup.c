#include "process/catchup.h"

#include "base/mutant.h"

bool catchup_heard(struct catchup *c, const struct catchup_report *report, clk_ms wait, clk_ms now)
{
	clk_ms *since = &c->behind_since[report->table];

	if (report->peer <= report->known) {
		/* Other peers may be ahead. */
		if (MUTANT(catchup_reset_by_any))
			*since = 0;
		return false;
	}
	if (MUTANT(catchup_keep_first) && report->known)
		return false;
	if (!*since)
		*since = now;
	return now - *since >= wait;
}

void catchup_updated(struct catchup *c, enum meta_table table)
{
	c->behind_since[table] = 0;
}
