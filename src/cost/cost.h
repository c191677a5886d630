/*
 * Predicts the cost of a request: the service time that it needs at an upstream of usual speed. A
 * request's class is a hash of its route, its method and the size of a large body; each class of a
 * service has a mean and a spread that are learned from answers. The table has a fixed size and
 * does no I/O. See docs/design/cost.md.
 */
#ifndef COST_COST_H
#define COST_COST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/* Classes of one service that are told apart; entry 0 stands for all others. */
#define COST_CLASSES 16

/* What one class has cost. */
struct cost_entry {
	uint32_t class_id;  /* 0: entry is unused, or is entry 0 */
	uint32_t samples;   /* answers that the mean is made of */
	uint64_t used;	    /* table's count of uses at the last use */
	double mean_ms;	    /* at an upstream of usual speed */
	double deviation;   /* mean absolute deviation, as a share of the mean */
	double hint_ms;	    /* mean that other gateways measured, 0: none */
	uint32_t hint_size; /* answers behind `hint_ms`, at most COST_HINT_SAMPLES */
};

struct cost_table {
	struct cost_entry entries[COST_CLASSES];
	uint64_t uses;
	uint32_t classes; /* learned classes; see cost_is_mixed() */
	double lowest_ms; /* lowest and highest mean of a learned class */
	double highest_ms;
};

/* What is expected of one request. */
struct cost_estimate {
	double ms;
	double deviation; /* as cost_entry.deviation */
};

/* Returns the class of a request; never 0. */
uint32_t cost_class(struct str route, struct str method, size_t body_bytes);

/*
 * Returns the estimate for a request of the class. `usual_ms` is the mean over all requests of the
 * service, from which a class without samples starts.
 */
struct cost_estimate cost_predict(const struct cost_table *t, uint32_t class_id, double usual_ms);

/* Learns from one answer; `ms` is its service time at usual speed. */
void cost_learn(struct cost_table *t, uint32_t class_id, double ms, double usual_ms);
/* Records what another gateway measured; it counts until enough answers are seen here. */
void cost_hint(struct cost_table *t, uint32_t class_id, double ms, uint32_t samples,
	       double usual_ms);

/* Stores the learned mean of a class; returns the number of answers behind it, 0 if unknown. */
uint32_t cost_learned(const struct cost_table *t, uint32_t class_id, double *ms);

/*
 * Whether the service has classes whose costs differ so much that the mean of all predicts neither.
 * If not, every request is expected to cost the mean of the service.
 */
bool cost_is_mixed(const struct cost_table *t);

#endif
