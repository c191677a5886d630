/*
 * Which era of the store an answer belongs to. The store names its era, the number of times that it
 * was restored from an older copy, in its answers. A higher era is believed when two answers in a
 * row name it, so that a single strange answer does not discard what is known. An answer of a lower
 * era was given before the store was restored. The module does no I/O.
 */
#ifndef PROCESS_ERA_H
#define PROCESS_ERA_H

#include <stdint.h>

struct era {
	uint64_t known;	    /* era of the store as far as it is known, 0 before the first answer */
	uint64_t candidate; /* higher era that the last answer named, 0: none */
};

/*
 * Most restores that a process may miss. An era further above the known one is not believed,
 * however many answers name it, since no true one would be above it again.
 */
#define ERA_MAX_RISE 1024

enum era_verdict {
	ERA_CURRENT,	 /* the answer belongs to the known era */
	ERA_RISEN,	 /* the same, and the known era has risen by this answer */
	ERA_UNCONFIRMED, /* the answer names a higher era that is not confirmed yet */
	ERA_BEYOND,	 /* the answer names an era that the store cannot have reached */
	ERA_PAST,	 /* the answer belongs to an earlier era */
};

/* Takes note of the era that an answer names. */
enum era_verdict era_observe(struct era *e, uint64_t era);

#endif
