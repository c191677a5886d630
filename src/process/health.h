/*
 * Detects the loss and the cold start of one upstream from the results of requests and probes. What
 * the upstream reports about itself can make it count as cold or draining, but does not bring a
 * lost upstream back: that takes successful probes. The module does no I/O.
 */
#ifndef PROCESS_HEALTH_H
#define PROCESS_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clk.h"

struct health_options {
	clk_ms lost_after; /* an upstream is lost if an attempt gets no answer for this time */
	uint32_t failed_connects;   /* failed connection attempts in a row that mean loss */
	uint32_t back_after_probes; /* successful probes on new connections after a loss */
};

extern const struct health_options health_defaults;

enum health_state { HEALTH_UNKNOWN, HEALTH_UP, HEALTH_LOST };

struct health {
	enum health_state state;
	clk_ms last_answer_at;	 /* time of the last answer to a request or a probe */
	clk_ms first_unanswered; /* first unanswered attempt since the last answer, 0 if none */
	uint32_t failed_connects;
	uint32_t good_probes;
	uint64_t start_id; /* identifies the start of the upstream's process, 0: unknown */
	bool cold;	   /* as reported by the last probe */
	bool draining;	   /* as reported by the last probe */
};

/* Changes that the functions below detect. They set fields and never clear them. */
struct health_event {
	bool became_lost;
	bool came_back;
	bool turned_cold; /* new start id, cold report, broken request, or return after a loss */
};

void health_init(struct health *h, clk_ms now);
/* Handles an answer to a request; `start_id` is 0 if the answer carried none. */
void health_on_answer(struct health *h, clk_ms now, uint64_t start_id, struct health_event *ev);
/* Handles a successful probe with the upstream's report. */
void health_on_probe(struct health *h, clk_ms now, uint64_t start_id, bool cold, bool draining,
		     struct health_event *ev);
/* Records a request or probe that has no answer yet or has timed out. */
void health_on_attempt(struct health *h, clk_ms now);
/* Handles a failed connection attempt. */
void health_on_connect_failed(struct health *h, clk_ms now, const struct health_options *opts,
			      struct health_event *ev);
/* Handles a request whose connection failed after sending. */
void health_on_broken_request(struct health *h, clk_ms now, struct health_event *ev);
/* Marks the upstream lost if an attempt has had no answer for `lost_after`. */
void health_tick(struct health *h, clk_ms now, const struct health_options *opts,
		 struct health_event *ev);

#endif
