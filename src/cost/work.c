#include "cost/work.h"

#include <math.h>

#include "base/mutant.h"

/* Deviation of an exponential distribution: the time spent then tells nothing of the rest. */
#define MEMORYLESS_DEVIATION 0.74
/* Least time that a running request is expected to need. */
#define MIN_REMAINING_MS 1.0
/* Time over which arrivals are averaged. */
#define ARRIVAL_WINDOW_MS 4000.0
/* Weight of a new request in the mean slack of its stream. */
#define SLACK_WEIGHT 0.2

double work_remaining(double ms, double deviation, double spent)
{
	double residual = fmin(deviation / MEMORYLESS_DEVIATION, 1) * ms;

	if (MUTANT(work_ignore_spent))
		return ms;
	return fmax(fmax(ms - spent, residual), MIN_REMAINING_MS);
}

void work_add(struct work *w, double remaining_ms)
{
	w->running++;
	w->remaining_ms += remaining_ms;
	w->release_rate += 1.0 / fmax(remaining_ms, MIN_REMAINING_MS);
}

double work_next_release(const struct work *w)
{
	return w->release_rate > 0 ? 1.0 / w->release_rate : INFINITY;
}

double work_chance_over(double limit_ms, double mean_ms)
{
	if (limit_ms <= 0 || isinf(mean_ms))
		return 1;
	return mean_ms > 0 ? exp(-limit_ms / mean_ms) : 0;
}

static double decayed(const struct work_stream *s, clk_ms now)
{
	return s->per_ms * exp(-(double)(now - s->arrived_at) / ARRIVAL_WINDOW_MS);
}

/* Returns the stream of the priority; a new one takes the place of that with fewest arrivals. */
static struct work_stream *stream_of(struct work_arrivals *a, clk_ms now, uint32_t priority)
{
	struct work_stream *rarest = &a->streams[0];

	for (size_t i = 0; i < WORK_STREAMS; i++) {
		struct work_stream *s = &a->streams[i];

		if (s->arrived_at && s->priority == priority)
			return s;
		if (decayed(s, now) < decayed(rarest, now))
			rarest = s;
	}
	*rarest = (struct work_stream){.priority = priority};
	return rarest;
}

void work_note_arrival(struct work_arrivals *a, clk_ms now, uint32_t priority, double slack_ms)
{
	struct work_stream *s = stream_of(a, now, priority);

	s->slack_ms =
		s->arrived_at ? s->slack_ms + (slack_ms - s->slack_ms) * SLACK_WEIGHT : slack_ms;
	s->per_ms = decayed(s, now) + 1.0 / ARRIVAL_WINDOW_MS;
	s->arrived_at = now ? now : 1;
}

double work_urgent_misses(const struct work_arrivals *a, clk_ms now, uint32_t priority,
			  double release_ms)
{
	double misses = 0;

	for (size_t i = 0; i < WORK_STREAMS; i++) {
		const struct work_stream *s = &a->streams[i];

		if (s->arrived_at && s->priority < priority)
			misses += decayed(s, now) * release_ms *
				  work_chance_over(s->slack_ms, release_ms);
	}
	return misses;
}
