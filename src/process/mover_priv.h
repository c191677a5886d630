/* Shared by the parts of the mover: mover.c (steps of a move) and mover_plan.c (which moves). */
#ifndef PROCESS_MOVER_PRIV_H
#define PROCESS_MOVER_PRIV_H

#include "process/mover.h"

/* How often voluntary moves are planned. */
#define BALANCE_EVERY_MS 5000
#define MAX_TRACKED_KEYS 256
/* Moves that are written or planned at a time. */
#define MAX_BATCH 4096

enum move_phase { MOVE_DRAIN, MOVE_READY, MOVE_WRITING, MOVE_CONFIRM, MOVE_GRANT };

struct move {
	struct move *next;
	struct assign_move m;
	enum move_phase phase;
	clk_ms since;
	uint64_t epoch; /* new epoch, known once written */
	uint64_t
		serial; /* grants with this serial no longer (or, in MOVE_GRANT, already) name it */
	bool written;	/* the stored document has it already */
};

/* What the broker serves now. */
struct unit {
	uint32_t upstream; /* 0: nobody */
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
	struct unit *parts;
	uint32_t n_parts;
	struct hot_unit *hot;
	struct move *moves;
	uint64_t serial;
	Bc__Assign *doc; /* newest known */
	bool write_in_flight;
	bool must_read; /* a write could not be resolved: nothing is restored before a read */
	bool reading;
	clk_ms next_read;
	clk_ms next_plan;
	clk_ms next_balance;
	double *loads;
	struct assign_key_load keys[MAX_TRACKED_KEYS];
	size_t n_keys;
	bool dead; /* destroyed while a store call is open */
	int open_calls;
};

struct move *mover_start_move(struct mover *m, clk_ms now, const struct assign_move *am,
			      enum move_phase phase, uint64_t epoch);

/* mover_plan.c */
void mover_tick_plan(struct mover *m, clk_ms now);

#endif
