/* Requests that crashed upstreams, by fingerprint; the second crash quarantines. Pure. */
#ifndef PROCESS_QUARANTINE_H
#define PROCESS_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"

#define QUARANTINE_CRASHES 2
#define QUARANTINE_WINDOW_MS (60 * 60 * 1000)

struct quarantine;

struct quarantine *quarantine_create(clk_ms window);
void quarantine_destroy(struct quarantine *q);

/*
 * Returns the number of crashes counted for the fingerprint, with this one. `process` identifies
 * the upstream's process: when it ends, all its requests break, and equal ones count only once.
 */
uint32_t quarantine_crash(struct quarantine *q, clk_ms now, uint64_t fingerprint, uint64_t process);
/* Copy from another member: the larger count wins. */
void quarantine_merge(struct quarantine *q, clk_ms now, uint64_t fingerprint, uint32_t crashes);
bool quarantine_blocks(const struct quarantine *q, clk_ms now, uint64_t fingerprint);

/*
 * While a request with this fingerprint and one crash is in flight, a second attempt must wait
 * its turn: true if one more may be sent now. The turn ends with quarantine_attempt_done() or at
 * `until`, whichever comes first, since a refused ask never returns a slot.
 */
bool quarantine_try_send(struct quarantine *q, clk_ms now, uint64_t fingerprint, clk_ms until);
void quarantine_attempt_done(struct quarantine *q, clk_ms now, uint64_t fingerprint);

/*
 * A request with this fingerprint was answered: its single crash was caused by something else, for
 * example by another request on the same upstream. A quarantined fingerprint stays so.
 */
void quarantine_clear(struct quarantine *q, uint64_t fingerprint);

/* Lifted by an operator at configuration `version`; counts from before are forgotten once. */
void quarantine_lift(struct quarantine *q, uint64_t fingerprint, uint64_t version);

typedef void (*quarantine_visit)(void *data, uint64_t fingerprint, uint32_t crashes, clk_ms age);
void quarantine_each(const struct quarantine *q, clk_ms now, quarantine_visit visit, void *data);
void quarantine_tick(struct quarantine *q, clk_ms now);

#endif
