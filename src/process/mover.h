/*
 * Carries out moves of key ownership between the upstreams of one keyed service; runs on the router
 * that is the broker. A move concerns a partition or a split-off hot key. The broker grants no
 * slots for it until no request can run at the former owner, the new owner is written to the store
 * and confirmed by a majority of the cell's members, and the new owner has acknowledged its fenced
 * grant (if it checks grants).
 */
#ifndef PROCESS_MOVER_H
#define PROCESS_MOVER_H

#include "process/svc.h"

struct mover;

/* Creates the mover of the service from the newest assignment document that this router has. */
struct mover *mover_create(struct svc *s, clk_ms now);
/* Ends all moves; memory that open store calls use is freed when they end. */
void mover_destroy(struct mover *m);
void mover_tick(struct mover *m, clk_ms now);

/* To be called when the assignment document changed, through this mover or another writer. */
void mover_on_assign(struct mover *m, clk_ms now);
/* To be called when an upstream has answered a grant. */
void mover_on_grant_ack(struct mover *m, clk_ms now);
/* Counts a request for a key; the counts serve to balance load and to find hot keys. */
void mover_count_request(struct mover *m, uint32_t partition, uint64_t key_hash);

/* Returns a number that grows whenever the contents of grants change. */
uint64_t mover_grant_serial(const struct mover *m);
/* Writes the JSON arrays of the partitions and split-off keys to grant to upstream `num`. */
void mover_write_grant(const struct mover *m, uint32_t num, FILE *out);
size_t mover_active_moves(const struct mover *m);

#endif
