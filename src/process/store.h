/*
 * Client of the platform's table service. A write whose answer is lost is resolved by reading the
 * row back and comparing the write token; it is never assumed to have worked or failed.
 */
#ifndef PROCESS_STORE_H
#define PROCESS_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>

#include "base/clk.h"
#include "base/err.h"
#include "base/rnd.h"
#include "base/str.h"

#define STORE_TIMEOUT_MS 1000
/* How long a write with a lost answer is read back and retried before it ends as STORE_UNKNOWN. */
#define STORE_RESOLVE_MS 10000

enum store_read_result {
	STORE_ROW,	    /* `version` and `body` are those of the row */
	STORE_NOT_MODIFIED, /* the row is still at the version that the caller has */
	STORE_ABSENT,	    /* the row does not exist */
	STORE_READ_FAILED   /* no usable answer */
};
enum store_write_result {
	STORE_WRITTEN,
	STORE_CONFLICT,	   /* the row was not at the expected version; `version` is the store's */
	STORE_NOT_WRITTEN, /* the store was not reached or refused the write */
	STORE_UNKNOWN,	   /* not resolved in time, or the row was overwritten since */
};

typedef void (*store_read_cb)(void *data, enum store_read_result result, uint64_t version,
			      struct str body);
typedef void (*store_write_cb)(void *data, enum store_write_result result, uint64_t version);

struct store;

struct store *store_create(h2o_loop_t *loop, const char *ip, uint32_t port, uint64_t seed);
/*
 * Frees the store. Open reads end as failed and open writes as unknown; their callbacks must start
 * no new call.
 */
void store_destroy(struct store *s);

/* Reads a row. `have` is the version that the caller already has (0: none). Strings are copied. */
void store_read(struct store *s, struct str row, uint64_t have, store_read_cb cb, void *data);
/* Writes version `expected` + 1 if the row is at version `expected` (0: does not exist). */
void store_write(struct store *s, struct str row, uint64_t expected, struct str body,
		 store_write_cb cb, void *data);

/* False after a failed call until the next successful one. */
bool store_reachable(const struct store *s);

#endif
