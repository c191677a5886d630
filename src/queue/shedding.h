/*
 * Tells an upstream that has no room from a fault that makes all upstreams of a service refuse a
 * share of their requests.
 *
 * Load patterns: an upstream that refuses a request is full or faulty, and gets none for a while,
 * or its free slots would draw all requests. But if the upstreams of a service all refuse a share
 * of what they get, the same pauses leave most slots unused, and requests are refused that most
 * upstreams would run at the next attempt.
 */
#ifndef QUEUE_SHEDDING_H
#define QUEUE_SHEDDING_H

#include <stdbool.h>

/* Share of requests that were refused; of one upstream, or of all of a service. */
struct shedding {
	double share;
};

/* Records the answers of an upstream to a request, for itself and for all. */
void shedding_note(struct shedding *upstream, struct shedding *all, bool refused);
/* Whether the upstream runs its requests about as often as the others do. */
bool shedding_is_common(const struct shedding *upstream, const struct shedding *all);

#endif
