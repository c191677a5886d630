/*
 * Follows the tables of the store that every gateway needs, and passes their rows to a handler.
 * Each table is read whole once, then watched for changes; if the store no longer has the history
 * since the known version, or was restored from an older copy, the table is read whole again. While
 * the store does not answer, one call at a time probes it. In a region with many gateways only a
 * few, the store readers (readers.h), call the store; the watches of the others are passive and
 * apply copies that the readers send.
 */
#ifndef PROCESS_WATCH_H
#define PROCESS_WATCH_H

#include <stdbool.h>

#include <h2o.h>

#include "process/meta.h"

/* Rows of a table for the handler. */
struct watch_rows {
	bool whole;	/* all rows of the table, otherwise those that changed */
	bool recovered; /* the store did not answer before this */
	bool restored;	/* the store was restored from an older copy since the last rows */
	const struct meta_answer *answer;
};

struct watch_handlers {
	void (*on_rows)(void *data, enum meta_table table, const struct watch_rows *rows);
};

struct watch;

/* Returns an active watch. It assumes that the store answers until a call fails. */
struct watch *watch_create(h2o_loop_t *loop, const struct meta_driver *driver, struct meta *meta,
			   const struct watch_handlers *handlers, void *data);
void watch_destroy(struct watch *w);

/* Returns the store version up to which the table is known here, 0 if it was not read yet. */
uint64_t watch_version(const struct watch *w, enum meta_table table);
/* Returns the version of the newest row of the table that was received. */
uint64_t watch_newest_row(const struct watch *w, enum meta_table table);
/*
 * Records the newest row of the table that a peer has. If it stays newer than the newest row here,
 * the open call is replaced by a new one, because its connection may be dead.
 */
void watch_report_peer_row(struct watch *w, enum meta_table table, uint64_t newest_row);
/* Returns the highest era of the store in answers and copies, 0: none was received. */
uint64_t watch_era(const struct watch *w);
/* Whether the store was restored since the first rows were received. */
bool watch_was_restored(const struct watch *w);
/* Whether the store answered the last call. False while the watch is passive. */
bool watch_store_ok(const struct watch *w);
/* Whether the store has answered a call of this process. */
bool watch_store_seen(const struct watch *w);
/* Returns the time of the store's last answer to any call of this process; before, its start. */
clk_ms watch_last_answer(const struct watch *w);
/*
 * Returns the shortest time in which the store answered a read so far. Gateways with a low latency
 * to the store are preferred as shard managers.
 */
clk_ms watch_store_latency(const struct watch *w);
/* Records the result of a call to the store by another module. */
void watch_record_answer(struct watch *w, enum meta_status status);
/*
 * Makes the watch passive or active. While passive it does not call the store but applies copies
 * from peers, and watch_store_ok() is false. An active watch continues from the known versions.
 */
void watch_set_passive(struct watch *w, bool passive);
bool watch_is_passive(const struct watch *w);
/*
 * Limits the time that a call for changes of the configuration waits in the store. A store reader
 * needs an answer at least this often, to show its peers that the store answers it. 0: as for
 * the other tables.
 */
void watch_set_config_wait(struct watch *w, clk_ms wait);

/* Rows of a table that a peer sent. */
struct watch_copy {
	uint64_t since; /* the rows are those that changed after this version; 0: all rows */
	bool recovered; /* the store did not answer the peer before this */
	const struct meta_answer *answer;
};

enum watch_copy_result {
	WATCH_UNUSED,  /* not applied: nothing new, or the store answers this gateway */
	WATCH_APPLIED, /* the copy was newer and its rows were passed to the handler */
	WATCH_GAP,     /* not applied: changes since a later version than the one known here */
};

/* Applies rows from a peer, if they are newer and the store does not answer this gateway. */
enum watch_copy_result watch_apply_copy(struct watch *w, enum meta_table table,
					const struct watch_copy *copy);

#endif
