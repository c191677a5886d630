/*
 * Carries out changes of key ownership for the broker of one service. Each moved unit goes through
 * drain, write, confirmation by a majority, grant, and only then serves again.
 */
#ifndef PROCESS_MOVER_H
#define PROCESS_MOVER_H

#include "process/svc.h"

struct mover;

/* Starts from the newest assignment that this router holds. */
struct mover *mover_create(struct svc *s, clk_ms now);
void mover_destroy(struct mover *m);
void mover_tick(struct mover *m, clk_ms now);

/* The stored assignment changed, through this mover or another writer. */
void mover_on_assign(struct mover *m, clk_ms now);
/* A grant was acknowledged by the upstream. */
void mover_on_grant_ack(struct mover *m, clk_ms now);
/* Load of a key, for balancing and for finding hot keys. */
void mover_count_request(struct mover *m, uint32_t partition, uint64_t key_hash);

/* Changes whenever the contents of grants change. */
uint64_t mover_grant_serial(const struct mover *m);
/* JSON arrays of the partitions and split-off keys that `num` is to be granted. */
void mover_write_grant(const struct mover *m, uint32_t num, FILE *out);
size_t mover_active_moves(const struct mover *m);

#endif
