#include "cost/cost.h"

#include <math.h>

#include "base/ctr.h"
#include "base/hist.h"
#include "base/mutant.h"
#include "base/rnd.h"

/* Answers after which the mean of a class follows as a moving average. */
#define AVERAGED_SAMPLES 32
/* Answers after which a class counts as learned, and after which hints of others are ignored. */
#define LEARNED_SAMPLES 8
#define COST_HINT_SAMPLES 16
/* Answers that the mean of the service counts for in the estimate of a class. */
#define PRIOR_SAMPLES 2
/* Weight of a new hint in the mean of the hints. */
#define HINT_WEIGHT 0.25
/*
 * A sample counts for at most this multiple of the mean, and a hint for at most this multiple or
 * fraction of the service's mean: one false report changes an estimate only little.
 */
#define MAX_SAMPLE_FACTOR 8.0
#define MAX_HINT_FACTOR 8.0
/* Ratio of the highest to the lowest mean of a class above which the classes are told apart. */
#define MIXED_RATIO 1.5
/* Deviation of a class before the first answers: that of an exponential distribution. */
#define INITIAL_DEVIATION 0.74
/* Bodies up to this size make no class of their own; above, each factor of 4 in size does. */
#define LARGE_BODY_BYTES 65536

HIST(hist_ratio, "cost_real_percent", "Real cost of a request, in per cent of the predicted one.");
CTR(ctr_merged, "cost_classes_merged_total",
    "Classes that were merged, since others came instead.");

uint32_t cost_class(struct str route, struct str method, size_t body_bytes)
{
	uint64_t size_step = 0;
	uint32_t id;

	for (size_t n = body_bytes; n > LARGE_BODY_BYTES; n /= 4)
		size_step++;
	id = (uint32_t)rnd_mix(rnd_mix(str_hash(route), str_hash(method)), size_step);
	return id ? id : 1;
}

static const struct cost_entry *find(const struct cost_table *t, uint32_t class_id)
{
	for (size_t i = 1; i < COST_CLASSES && class_id; i++) {
		if (t->entries[i].class_id == class_id)
			return &t->entries[i];
	}
	return &t->entries[0];
}

/* Adds what the entry learned to that of all other classes, and frees it. */
static void merge_into_others(struct cost_table *t, struct cost_entry *e)
{
	struct cost_entry *others = &t->entries[0];
	uint32_t n = others->samples + e->samples;

	if (n) {
		others->mean_ms = (others->mean_ms * others->samples + e->mean_ms * e->samples) / n;
		others->deviation = INITIAL_DEVIATION;
		others->samples = n < AVERAGED_SAMPLES ? n : AVERAGED_SAMPLES;
	}
	*e = (struct cost_entry){0};
}

/* Returns the entry of the class; a new class takes that of the least recently used one. */
static struct cost_entry *find_or_add(struct cost_table *t, uint32_t class_id)
{
	struct cost_entry *e = (struct cost_entry *)find(t, class_id);
	struct cost_entry *oldest = &t->entries[1];

	t->uses++;
	if (class_id && e == &t->entries[0]) {
		for (size_t i = 2; i < COST_CLASSES; i++) {
			if (t->entries[i].used < oldest->used)
				oldest = &t->entries[i];
		}
		if (oldest->class_id)
			ctr_inc(&ctr_merged);
		merge_into_others(t, oldest);
		oldest->class_id = class_id;
		oldest->deviation = INITIAL_DEVIATION;
		e = oldest;
	}
	e->used = t->uses;
	return e;
}

static void update_range(struct cost_table *t)
{
	t->classes = 0;
	t->lowest_ms = INFINITY;
	t->highest_ms = 0;
	for (size_t i = 0; i < COST_CLASSES; i++) {
		const struct cost_entry *e = &t->entries[i];
		bool learned = e->samples >= LEARNED_SAMPLES;
		double ms = learned ? e->mean_ms : e->hint_ms;

		if (!learned && e->hint_size < LEARNED_SAMPLES)
			continue;
		t->classes++;
		t->lowest_ms = fmin(t->lowest_ms, ms);
		t->highest_ms = fmax(t->highest_ms, ms);
	}
}

bool cost_is_mixed(const struct cost_table *t)
{
	return t->classes >= 2 && t->highest_ms > MIXED_RATIO * t->lowest_ms &&
	       !MUTANT(cost_one_mean);
}

struct cost_estimate cost_predict(const struct cost_table *t, uint32_t class_id, double usual_ms)
{
	const struct cost_entry *e = find(t, class_id);
	struct cost_estimate out = {.ms = usual_ms, .deviation = INITIAL_DEVIATION};
	double n = e->samples;
	double hints = n < COST_HINT_SAMPLES ? fmin(e->hint_size, COST_HINT_SAMPLES - n) : 0;

	if (!cost_is_mixed(t) || n + hints < 1)
		return out;
	out.ms = e->mean_ms;
	out.deviation = e->deviation;
	if (n < COST_HINT_SAMPLES)
		out.ms = (e->mean_ms * n + e->hint_ms * hints + usual_ms * PRIOR_SAMPLES) /
			 (n + hints + PRIOR_SAMPLES);
	return out;
}

void cost_learn(struct cost_table *t, uint32_t class_id, double ms, double usual_ms)
{
	struct cost_entry *e = find_or_add(t, class_id);
	struct cost_estimate expected = cost_predict(t, class_id, usual_ms);
	double weight;

	if (expected.ms > 0)
		hist_add(&hist_ratio, (clk_ms)(100 * ms / expected.ms));
	if (!MUTANT(cost_trust_samples))
		ms = fmin(ms, MAX_SAMPLE_FACTOR * fmax(expected.ms, 1));
	if (e->samples < AVERAGED_SAMPLES)
		e->samples++;
	weight = MUTANT(cost_learn_once) && e->samples > 1 ? 0 : 1.0 / e->samples;
	e->mean_ms += (ms - e->mean_ms) * weight;
	if (e->mean_ms > 0)
		e->deviation += (fabs(ms - e->mean_ms) / e->mean_ms - e->deviation) * weight;
	update_range(t);
}

void cost_hint(struct cost_table *t, uint32_t class_id, double ms, uint32_t samples,
	       double usual_ms)
{
	struct cost_entry *e;

	if (!class_id || !samples || !(ms > 0) || MUTANT(cost_ignore_hints))
		return;
	e = find_or_add(t, class_id);
	ms = fmax(fmin(ms, usual_ms * MAX_HINT_FACTOR), usual_ms / MAX_HINT_FACTOR);
	e->hint_ms = e->hint_size ? e->hint_ms + (ms - e->hint_ms) * HINT_WEIGHT : ms;
	e->hint_size = samples < COST_HINT_SAMPLES ? samples : COST_HINT_SAMPLES;
	if (e->samples < LEARNED_SAMPLES)
		update_range(t);
}

uint32_t cost_learned(const struct cost_table *t, uint32_t class_id, double *ms)
{
	const struct cost_entry *e = find(t, class_id);

	if (!e->class_id || !e->samples)
		return 0;
	*ms = e->mean_ms;
	return e->samples;
}
