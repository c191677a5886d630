#include "process/manager_end.h"

#include <stdio.h>

#include "base/mutant.h"

void manager_end_closed(struct manager_end *end, const struct manager_end_close *close, clk_ms now)
{
	bool closed = close->closed_by_peer || MUTANT(manager_end_any_close);
	bool has_maps = close->has_maps || MUTANT(manager_end_any_maps);

	*end = (struct manager_end){
		.term = closed && has_maps ? close->term : 0,
		.id = close->id,
		.peer_port = close->peer_port,
		.closed_at = now,
	};
	snprintf(end->ip, sizeof(end->ip), "%s", close->ip);
}

/* Only a refusal soon after the close shows that the process did nothing in between. */
void manager_end_refused(struct manager_end *end, clk_ms refused_since)
{
	if (!end->term || end->ended_at)
		return;
	if (refused_since < end->closed_at && !MUTANT(manager_end_before_close))
		return;
	if (refused_since - end->closed_at <= MANAGER_END_KNOWN_MS || MUTANT(manager_end_any_time))
		end->ended_at = refused_since;
}

bool manager_end_pending(const struct manager_end *end, clk_ms now)
{
	return end->term && !end->ended_at && now - end->closed_at <= MANAGER_END_KNOWN_MS;
}

bool manager_end_is_known(const struct manager_end *end, uint64_t term)
{
	return end->term == term && end->ended_at;
}
