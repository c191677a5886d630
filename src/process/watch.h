/*
 * Keeps up with the tables of the store that every gateway follows. It reads each table once, then
 * asks for changes; after a gap in the history it reads the whole table again. While the store does
 * not answer, one call at a time probes it. With many gateways most leave the store to a few and
 * get the changes from them.
 */
#ifndef PROCESS_WATCH_H
#define PROCESS_WATCH_H

#include <stdbool.h>

#include <h2o.h>

#include "process/meta.h"

struct watch_handlers {
	/*
	 * `whole`: the rows are all rows of the table; otherwise they are those that changed.
	 * `recovered`: the store had been away before.
	 */
	void (*on_rows)(void *data, enum meta_table table, bool whole, bool recovered,
			const struct meta_answer *answer);
};

struct watch;

struct watch *watch_create(h2o_loop_t *loop, const struct meta_driver *driver, struct meta *meta,
			   const struct watch_handlers *handlers, void *data);
void watch_destroy(struct watch *w);

/* Version of the store up to which this gateway knows the table; 0: nothing yet. */
uint64_t watch_version(const struct watch *w, enum meta_table table);
/* Version of the newest row of the table that was applied. */
uint64_t watch_newest_row(const struct watch *w, enum meta_table table);
/*
 * A peer has applied a newer row of the table. If that stays so for a while, the open call is given
 * up for a new one: its connection may have gone silent.
 */
void watch_report_peer_row(struct watch *w, enum meta_table table, uint64_t newest_row);
bool watch_store_ok(const struct watch *w);
/* When the store answered last. */
clk_ms watch_last_answer(const struct watch *w);
/* Fastest answer of the store so far, in ms; a gateway near the store keeps keys more cheaply. */
clk_ms watch_store_latency(const struct watch *w);
/* Another part of the process had an answer of the store, or none. */
void watch_record_answer(struct watch *w, enum meta_status status);
/*
 * Passive: the tables come from peers and the store is not asked, so watch_store_ok() is false.
 * Going back reads on from what is known.
 */
void watch_set_passive(struct watch *w, bool passive);
bool watch_is_passive(const struct watch *w);
/* Peers rely on this gateway: the store has to answer it at least this often; 0: when rows change.
 */
void watch_set_config_wait(struct watch *w, clk_ms every);

/* Rows of a table from a peer. */
struct watch_copy {
	uint64_t since; /* the rows are those that changed after this version; 0: all rows */
	bool recovered; /* the store had been away from the peer before */
	const struct meta_answer *answer;
};

enum watch_copy_result {
	WATCH_UNUSED,  /* nothing new, or this gateway asks the store itself */
	WATCH_APPLIED, /* it was newer */
	WATCH_GAP,     /* changes to a later version than the one known here */
};

enum watch_copy_result watch_apply_copy(struct watch *w, enum meta_table table,
					const struct watch_copy *copy);

#endif
