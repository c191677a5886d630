/* Health probes and fenced grants that a broker sends to the upstreams of its service. */
#ifndef PROCESS_PROBE_H
#define PROCESS_PROBE_H

#include "process/svc.h"

#define PROBE_EVERY_MS 250
#define PROBE_TIMEOUT_MS 400
#define PROBE_GRANT_TTL_MS 800
/* Difference of UTC clocks plus clock drift over one grant. */
#define PROBE_GRANT_MARGIN_MS 100

void probe_tick(struct svc *s, clk_ms now);
/* Sends the next probe or grant to this upstream at once. */
void probe_schedule_now(struct svc_upstream *u);
/* Cancels calls under way. */
void probe_stop(struct svc *s);
/* An entry saw this of the upstream. */
void probe_on_outcome(struct svc_upstream *u, clk_ms now, enum broker_outcome outcome,
		      uint64_t start_id);

#endif
