/*
 * Counts the upstream crashes per request fingerprint. A fingerprint with QUARANTINE_CRASHES
 * crashes within a window is quarantined: its requests are refused. The module does no I/O.
 */
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
 * Counts a crash and returns the number of crashes of the fingerprint. `process` identifies the
 * upstream's process. When a process ends, all its requests fail; those with the same fingerprint
 * count as one crash.
 */
uint32_t quarantine_crash(struct quarantine *q, clk_ms now, uint64_t fingerprint, uint64_t process);
/* Merges the crash count of another router: the larger count is kept. */
void quarantine_merge(struct quarantine *q, clk_ms now, uint64_t fingerprint, uint32_t crashes);
/* Whether the fingerprint is quarantined. */
bool quarantine_blocks(const struct quarantine *q, clk_ms now, uint64_t fingerprint);

/*
 * Whether a request with this fingerprint may be sent now. If so, and the fingerprint has one
 * crash, no other request with this fingerprint may be sent until quarantine_attempt_done() or the
 * time `until`.
 * The time limit is needed since a refused slot request never returns a slot.
 */
bool quarantine_try_send(struct quarantine *q, clk_ms now, uint64_t fingerprint, clk_ms until);
void quarantine_attempt_done(struct quarantine *q, clk_ms now, uint64_t fingerprint);

/*
 * Resets the crash count of the fingerprint after a request with this fingerprint was answered: the
 * single crash had another cause, for example another request on the same upstream. A quarantined
 * fingerprint stays quarantined.
 */
void quarantine_reset_count(struct quarantine *q, uint64_t fingerprint);

/*
 * Ends a quarantine that an operator lifted in configuration `version`. Each version resets the
 * count only once.
 */
void quarantine_lift(struct quarantine *q, uint64_t fingerprint, uint64_t version);

typedef void (*quarantine_visit)(void *data, uint64_t fingerprint, uint32_t crashes, clk_ms age);
/* Calls `visit` for each fingerprint with crashes in the window. */
void quarantine_each(const struct quarantine *q, clk_ms now, quarantine_visit visit, void *data);
/*
 * Removes expired crash counts, also those of expired quarantines. quarantine_blocks() ignores an
 * expired count, so a quarantine ends on time even if no tick has come since.
 */
void quarantine_tick(struct quarantine *q, clk_ms now);

#endif
