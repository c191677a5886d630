/*
 * Loss and cold-start detection of one upstream from what requests and probes saw. Pure.
 * Reports of the upstream itself are hints: they may lower trust, never raise it alone.
 */
#ifndef PROCESS_HEALTH_H
#define PROCESS_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clk.h"

struct health_options {
	clk_ms lost_after;	    /* 500 without a sign of life */
	uint32_t failed_connects;   /* 2 in a row */
	uint32_t back_after_probes; /* 2 good probes on new connections */
};

extern const struct health_options health_defaults;

enum health_state { HEALTH_UNKNOWN, HEALTH_UP, HEALTH_LOST };

struct health {
	enum health_state state;
	clk_ms last_answer_at;	 /* last answer of any kind */
	clk_ms first_unanswered; /* first unanswered attempt since the last sign, 0 if none */
	uint32_t failed_connects;
	uint32_t good_probes;
	uint64_t start_id;
	bool cold;
	bool draining;
};

struct health_event {
	bool became_lost;
	bool came_back;
	bool turned_cold; /* new start id or its own report */
};

void health_init(struct health *h, clk_ms now);
/* Any answer; `start_id` 0 if it carried none. */
void health_on_answer(struct health *h, clk_ms now, uint64_t start_id, struct health_event *ev);
void health_on_probe(struct health *h, clk_ms now, uint64_t start_id, bool cold, bool draining,
		     struct health_event *ev);
void health_on_attempt(struct health *h, clk_ms now);
void health_on_connect_failed(struct health *h, clk_ms now, const struct health_options *opts,
			      struct health_event *ev);
void health_on_broken_request(struct health *h, clk_ms now, struct health_event *ev);
void health_tick(struct health *h, clk_ms now, const struct health_options *opts,
		 struct health_event *ev);

#endif
