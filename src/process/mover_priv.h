/* Internals of the mover: mover.c (steps of a move) and mover_plan.c (choice of the moves). */
#ifndef PROCESS_MOVER_PRIV_H
#define PROCESS_MOVER_PRIV_H

#include "process/mover.h"

/* Interval between plans of moves that only balance load. */
#define BALANCE_EVERY_MS 5000
#define MAX_TRACKED_KEYS 256
/* Largest number of moves in one plan and in one write to the store. */
#define MAX_BATCH 4096

/*
 * DRAIN: waits until no request can run at the former owner. READY: to be written with the next
 * write. WRITING: the write is under way. CONFIRM: waits until a majority of the members has the
 * document. GRANT: waits until the new owner acknowledges its grant.
 */
enum move_phase { MOVE_DRAIN, MOVE_READY, MOVE_WRITING, MOVE_CONFIRM, MOVE_GRANT };

struct move {
	struct move *next;
	struct assign_move m; /* the unit, its former and its new owner */
	enum move_phase phase;
	clk_ms since;	/* when the move began */
	uint64_t epoch; /* new epoch, known when the move is written */
	/* Grants from this serial on omit the unit; in MOVE_GRANT the new owner's contain it. */
	uint64_t serial;
	bool written; /* the assignment document contains the new owner */
};

/* A partition or split-off hot key, as the broker grants slots for it now. */
struct unit {
	uint32_t upstream; /* owner, 0: none */
	uint64_t epoch;
	struct move *move; /* in progress */
};

struct hot_unit {
	struct hot_unit *next;
	uint64_t key_hash;
	uint32_t partition;
	struct unit unit;
};

struct mover {
	struct svc *svc;
	struct unit *partition_units;
	uint32_t n_partitions;
	struct hot_unit *hot;
	struct move *moves;
	uint64_t serial; /* see mover_grant_serial() */
	Bc__Assign *doc; /* newest assignment document that this router has */
	bool write_in_flight;
	bool must_read; /* a write conflicted or its outcome is unknown: no write before a read */
	bool reading;
	clk_ms next_read;
	clk_ms next_plan;
	clk_ms next_balance;
	double *loads; /* requests by partition, halved at each balancing round */
	struct assign_key_load keys[MAX_TRACKED_KEYS];
	size_t n_keys;
	bool destroyed; /* mover_destroy() was called while a store call was open */
	int open_calls;
};

/*
 * Starts a move and stops the broker's grants for the unit. Returns NULL if the partition is
 * unknown or a move of the unit is under way.
 */
struct move *mover_start_move(struct mover *m, clk_ms now, const struct assign_move *am,
			      enum move_phase phase, uint64_t epoch);

/* mover_plan.c */
/* Plans and starts moves when the next plan is due. */
void mover_tick_plan(struct mover *m, clk_ms now);

#endif
