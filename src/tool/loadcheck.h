/*
 * Compares the answers that callers got with the requests that upstreams ran. Input: lines written
 * by `bamboocroft-load` and ledgers of upstreams (see standin/ledger.h), one JSON object per line.
 *
 * Violations:
 *   not-run-but-ran   more runs of a request id than attempts that were not answered "not-run"; for
 *                     an idempotent request only if all its attempts were answered "not-run"
 *   ran-twice         a request that is not idempotent ran more than once
 *   wrong-answer      an answer belongs to another request, or its content does not match
 *   completed-not-run a completed answer to a request that no upstream completed
 *   two-owners        two upstreams ran the same key at overlapping times
 *   old-epoch         a run with an older epoch started after one with a newer epoch of its key
 *
 * A run that the upstream discarded had no effect and is not counted as a run of its request. A run
 * without an end (its upstream crashed) is treated as if it had ended when it started; this can
 * hide an overlap, but cannot report one that did not happen.
 */
#ifndef TOOL_LOADCHECK_H
#define TOOL_LOADCHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

#include "base/err.h"

struct loadcheck;

struct loadcheck_result {
	size_t answers;	   /* lines of callers */
	size_t runs;	   /* runs in the ledgers, discarded ones included */
	size_t unfinished; /* runs without an end */
	size_t unchecked;  /* completed answers without a request id: no run can be looked up */
	size_t violations;
};

struct loadcheck *loadcheck_create(void);
void loadcheck_destroy(struct loadcheck *c);

/* Reads a file that `bamboocroft-load --out` wrote; false with `err` set if it is invalid. */
bool loadcheck_read_callers(struct loadcheck *c, const char *path, struct err *err);
/* Reads an upstream's ledger, as GET /ledger returns it; false with `err` set if it is invalid. */
bool loadcheck_read_ledger(struct loadcheck *c, const char *path, struct err *err);

/* Checks all that was read. Writes a line for each violation and a line of totals to `out`. */
struct loadcheck_result loadcheck_run(struct loadcheck *c, FILE *out);

#endif
