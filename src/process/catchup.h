/*
 * When a gateway that gets its tables from readers requests rows from a peer that has newer ones.
 * A reader sends changes by itself; they are requested if they stay missing, for example since the
 * store is silent for the reader that should have sent them. Heartbeats of many peers report how
 * new their rows are, and some of these peers miss the same rows. The module does no I/O.
 */
#ifndef PROCESS_CATCHUP_H
#define PROCESS_CATCHUP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clk.h"
#include "process/meta.h"

struct catchup {
	clk_ms behind_since[META_TABLES]; /* since when a peer is known to be ahead, 0: none is */
};

/* What is known of a table here, and at a peer. */
struct catchup_report {
	enum meta_table table;
	uint64_t known; /* version up to which the table is known here */
	uint64_t peer;	/* version of the newest row of the peer */
};

/* Takes note of a peer's report; returns whether to request the rows, missing for `wait`. */
bool catchup_heard(struct catchup *c, const struct catchup_report *report, clk_ms wait, clk_ms now);
/* Takes note of new rows of the table. */
void catchup_updated(struct catchup *c, enum meta_table table);

#endif
