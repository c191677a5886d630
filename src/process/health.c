#include "process/health.h"

#include <string.h>

const struct health_options health_defaults = {
	.lost_after = 500,
	.failed_connects = 2,
	.back_after_probes = 2,
};

void health_init(struct health *h, clk_ms now)
{
	memset(h, 0, sizeof(*h));
	h->state = HEALTH_UNKNOWN;
	h->last_answer_at = now;
}

/* Records an answer. A lost upstream stays lost: the answer may have been sent before the loss. */
static void note_alive(struct health *h, clk_ms now)
{
	h->last_answer_at = now;
	h->first_unanswered = 0;
	h->failed_connects = 0;
	if (h->state == HEALTH_UNKNOWN)
		h->state = HEALTH_UP;
}

static void note_start_id(struct health *h, uint64_t start_id, struct health_event *ev)
{
	if (start_id == 0 || start_id == h->start_id)
		return;
	/* The first start id also counts as a cold start: the age of the process is unknown. */
	h->start_id = start_id;
	ev->turned_cold = true;
}

void health_on_answer(struct health *h, clk_ms now, uint64_t start_id, struct health_event *ev)
{
	note_alive(h, now);
	note_start_id(h, start_id, ev);
}

void health_on_probe(struct health *h, clk_ms now, uint64_t start_id, bool cold, bool draining,
		     struct health_event *ev)
{
	note_alive(h, now);
	note_start_id(h, start_id, ev);
	if (cold && !h->cold)
		ev->turned_cold = true;
	h->cold = cold;
	h->draining = draining;
	if (h->state != HEALTH_LOST)
		return;
	if (++h->good_probes < health_defaults.back_after_probes)
		return;
	h->state = HEALTH_UP;
	h->good_probes = 0;
	ev->came_back = true;
	ev->turned_cold = true;
}

static void mark_lost(struct health *h, struct health_event *ev)
{
	h->good_probes = 0;
	if (h->state == HEALTH_LOST)
		return;
	h->state = HEALTH_LOST;
	ev->became_lost = true;
}

void health_on_attempt(struct health *h, clk_ms now)
{
	if (h->first_unanswered == 0)
		h->first_unanswered = now;
}

void health_on_connect_failed(struct health *h, clk_ms now, const struct health_options *opts,
			      struct health_event *ev)
{
	health_on_attempt(h, now);
	h->good_probes = 0;
	if (++h->failed_connects >= opts->failed_connects)
		mark_lost(h, ev);
}

void health_on_broken_request(struct health *h, clk_ms now, struct health_event *ev)
{
	/* The upstream may have crashed; the next answer may come from a new process. */
	ev->turned_cold = true;
}

void health_tick(struct health *h, clk_ms now, const struct health_options *opts,
		 struct health_event *ev)
{
	if (h->first_unanswered != 0 && now - h->first_unanswered >= opts->lost_after)
		mark_lost(h, ev);
}
