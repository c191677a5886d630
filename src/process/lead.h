/*
 * Duties of the lead of a cell: polls the table service for the cell's documents and the instance
 * list, and writes the next membership version. Without a known lead each router polls by itself.
 */
#ifndef PROCESS_LEAD_H
#define PROCESS_LEAD_H

#include "process/node.h"

struct lead;

struct lead *lead_create(struct node *n);
void lead_destroy(struct lead *l);
void lead_tick(struct lead *l, clk_ms now);

/* The instance list named this id before and has not for LEAD_INSTANCE_REMOVED_MS. */
#define LEAD_INSTANCE_REMOVED_MS 5000
bool lead_instance_removed(const struct lead *l, clk_ms now, const char *id);
/* The instance list marks it as leaving. */
bool lead_instance_leaving(const struct lead *l, const char *id);
/* A member's process has ended: gone from the list, or another process answers at its address. */
bool lead_member_ended(const struct lead *l, clk_ms now, const Bc__Member *m);

#endif
