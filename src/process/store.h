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
#define STORE_RESOLVE_MS 10000 /* how long a lost answer is read back before UNKNOWN */

enum store_read_result { STORE_ROW, STORE_NOT_MODIFIED, STORE_ABSENT, STORE_READ_FAILED };
enum store_write_result {
	STORE_WRITTEN,
	STORE_CONFLICT,	   /* somebody else wrote first; `version` is the one in the store */
	STORE_NOT_WRITTEN, /* the store was not reached; nothing happened */
	STORE_UNKNOWN,	   /* not resolved in time, or the row was replaced again since */
};

typedef void (*store_read_cb)(void *data, enum store_read_result result, uint64_t version,
			      struct str body);
typedef void (*store_write_cb)(void *data, enum store_write_result result, uint64_t version);

struct store;

struct store *store_create(h2o_loop_t *loop, const char *ip, uint32_t port, uint64_t seed);
/* Open reads end as failed and open writes as unknown; their callbacks must start no new call. */
void store_destroy(struct store *s);

/* `have` is the version already held (0: none). Strings are copied. */
void store_read(struct store *s, struct str row, uint64_t have, store_read_cb cb, void *data);
/* Writes version `expected` + 1 if the row is at `expected` (0: must not exist). */
void store_write(struct store *s, struct str row, uint64_t expected, struct str body,
		 store_write_cb cb, void *data);

/* False after a failed call until the next successful one. */
bool store_reachable(const struct store *s);

#endif
