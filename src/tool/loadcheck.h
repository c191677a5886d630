/*
 * Compares what callers got with what upstreams ran. Input: lines written by `bamboocroft-load`
 * and ledgers of upstreams (see standin/ledger.h), one JSON object a line.
 *
 * Violations:
 *   not-run-but-ran   more runs of a request id than attempts that were not answered "not run"
 *   ran-twice         a request id that is not idempotent ran more than once
 *   wrong-answer      an answer belongs to another request, or its content does not match
 *   completed-not-run a completed answer to a request that no upstream completed
 *   two-owners        two upstreams ran the same key at overlapping times
 *   old-epoch         a run with an older epoch started after one with a newer epoch of its key
 *
 * A run that the upstream discarded had no effect and does not count as one. A run without an end
 * (its upstream died) is taken as ended when it started, which can hide an overlap but cannot
 * report one that did not happen.
 */
#ifndef TOOL_LOADCHECK_H
#define TOOL_LOADCHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

#include "base/err.h"

struct loadcheck;

struct loadcheck_result {
	size_t answers;
	size_t runs;
	size_t unfinished; /* runs without an end */
	size_t unchecked;  /* completed answers without any request id */
	size_t violations;
};

struct loadcheck *loadcheck_create(void);
void loadcheck_destroy(struct loadcheck *c);

bool loadcheck_read_callers(struct loadcheck *c, const char *path, struct err *err);
bool loadcheck_read_ledger(struct loadcheck *c, const char *path, struct err *err);

/* Writes one line for each violation and a closing count to `out`. */
struct loadcheck_result loadcheck_run(struct loadcheck *c, FILE *out);

#endif
