/*
 * Health probes and fenced grants that a broker sends to the upstreams of its service. A fenced
 * grant lists the partitions and hot keys that an upstream owns, with the broker's fencing token
 * and an expiry time. Upstreams that check grants accept only requests that match their grant.
 */
#ifndef PROCESS_PROBE_H
#define PROCESS_PROBE_H

#include "process/svc.h"

/* Interval between two probes or grants to one upstream. */
#define PROBE_EVERY_MS 250
#define PROBE_TIMEOUT_MS 400
/* Longest validity of a grant. */
#define PROBE_GRANT_TTL_MS 800
/* Allowance for the difference of UTC clocks and for clock drift during one grant. */
#define PROBE_GRANT_MARGIN_MS 100

/* Sends probes and grants that are due and declares upstreams lost that do not answer. */
void probe_tick(struct svc *s, clk_ms now);
/* Makes a grant, or a health probe if this upstream checks no grants, due at the next tick. */
void probe_schedule_now(struct svc_upstream *u);
/* Cancels the probes and grants that were not answered yet. */
void probe_stop(struct svc *s);
/* Updates the health of the upstream by the outcome of a request that an entry sent there. */
void probe_on_outcome(struct svc_upstream *u, clk_ms now, enum broker_outcome outcome,
		      uint64_t start_id);

#endif
