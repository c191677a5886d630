/*
 * Share of the requests that an upstream fails, learned from outcomes. An upstream that fails fast
 * frees its slots at once; without this share its slots always look free and draw requests.
 */
#ifndef COST_FAILING_H
#define COST_FAILING_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clk.h"

struct failing {
	double share;	 /* moving average, at `noted_at` */
	clk_ms noted_at; /* last outcome */
};

/* Counts an outcome; `failed`: the request must be sent again elsewhere. */
void failing_note(struct failing *f, clk_ms now, bool failed);
/* Returns the share; it falls with time, so that the upstream is tried again. */
double failing_share(const struct failing *f, clk_ms now);
/* Returns the expected time to an answer, with repeats that take `repeat_ms` each. */
double failing_answer_ms(const struct failing *f, clk_ms now, double ms, double repeat_ms);
/* Whether it fails most requests, and so gets one at a time until it answers. */
bool failing_is_probed(const struct failing *f, clk_ms now);

#endif
