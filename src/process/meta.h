/*
 * Interface to the transactional store that keeps durable state: rows in tables, with one version
 * counter for the whole store. A driver implements the store's protocol. Every call ends with
 * exactly one callback, which never runs before the call has returned; closing the connection ends
 * its calls without one.
 *
 * The store may be restored from an older copy: what was written since is gone, and the counter
 * goes back. Its era, the number of restores, is the upper part of all versions here, so that they
 * grow nevertheless. The condition of a transaction has no era: a row that is written with it must
 * have a key that no other era uses.
 */
#ifndef PROCESS_META_H
#define PROCESS_META_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <h2o.h>

#include "base/clk.h"
#include "base/str.h"
#include "connection/answer_memory.h"

enum meta_table {
	META_CONFIG,	/* written by operators: configuration, evacuated failure domains */
	META_UPSTREAMS, /* registrations, one row written by each upstream */
	META_ROUTERS,	/* registrations, one row written by each gateway */
	META_KEYS,	/* for each keyed service: shard manager's term, ownership map */
	META_TABLES,	/* number of tables */
};

struct meta_row {
	struct str key;
	struct str value;
	uint64_t version; /* store version at which the row was last written or deleted */
	bool deleted;
};

/* Longest key of a row that the store keeps. */
#define META_MAX_KEY_BYTES 200
/* Bits of a version below the era; the store's counter never needs more. */
#define META_COUNTER_BITS 44
/* Highest era of a store that was not restored yet. */
#define META_FIRST_ERA 1
/* Highest era of a store that may be named, see era.h. */
#define META_MAX_ERA ((1u << 20) - 1)

static inline uint64_t meta_version(uint64_t era, uint64_t counter)
{
	return era << META_COUNTER_BITS | (counter & ((1ULL << META_COUNTER_BITS) - 1));
}

static inline uint64_t meta_era(uint64_t version)
{
	return version >> META_COUNTER_BITS;
}

static inline uint64_t meta_counter(uint64_t version)
{
	return version & ((1ULL << META_COUNTER_BITS) - 1);
}

enum meta_status {
	META_OK,
	META_CONFLICT, /* a condition of the transaction did not hold; nothing was written */
	/* The history since the given version is gone, also by a restore: read the whole table. */
	META_TRIMMED,
	META_REFUSED, /* the store is busy or unreachable; nothing was written */
	META_UNKNOWN, /* no answer; the call may have been carried out, or may be later */
};

/* Returns the name of a status for logs. */
const char *meta_status_name(enum meta_status status);

struct meta_answer {
	enum meta_status status;
	/* Version of the store at the time of the answer; with META_TRIMMED only its era counts. */
	uint64_t version;
	const struct meta_row *rows;
	size_t n_rows;
};

/* The answer is valid only until the callback returns. */
typedef void (*meta_cb)(void *data, const struct meta_answer *answer);

/* One row of a transaction, with a condition, a write, or both. */
struct meta_change {
	struct str key;
	bool conditional;
	uint64_t expected; /* required version of the row if `conditional`; 0: no row */
	bool write;
	bool remove;
	struct str value;
};

struct meta;

struct meta_driver {
	/* `answers` counts and limits the answers of the store; outlives the connection. */
	struct meta *(*open)(h2o_loop_t *loop, const char *ip, uint32_t port,
			     struct answer_memory *answers);
	/* Closes the connection; calls in progress end without a callback. */
	void (*close)(struct meta *m);
	/* Reads all rows of a table. */
	void (*read)(struct meta *m, enum meta_table table, meta_cb cb, void *data);
	/* Reads rows changed after a version; the store answers once there are any, or after
	 * `wait`. */
	void (*watch)(struct meta *m, enum meta_table table, uint64_t after, clk_ms wait,
		      meta_cb cb, void *data);
	/* Writes the changes in one transaction if all their conditions hold. */
	void (*commit)(struct meta *m, enum meta_table table, const struct meta_change *changes,
		       size_t n, meta_cb cb, void *data);
};

#endif
