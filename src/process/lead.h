/*
 * The lead of a cell: polls the table service for the cell's documents and writes the next version
 * of the cell membership. Without a known lead each router does both. Every router polls the
 * platform's instance list, which shows the instances that were removed or are leaving.
 */
#ifndef PROCESS_LEAD_H
#define PROCESS_LEAD_H

#include "process/node.h"

struct lead;

struct lead *lead_create(struct node *n);
void lead_destroy(struct lead *l);
void lead_tick(struct lead *l, clk_ms now);

/* An instance counts as removed when the instance list has lacked it for longer than this. */
#define LEAD_INSTANCE_REMOVED_MS 5000
/* Whether the instance list contained this id before and the instance counts as removed now. */
bool lead_instance_removed(const struct lead *l, clk_ms now, const char *id);
/* Whether the instance list marks the instance as leaving. */
bool lead_instance_leaving(const struct lead *l, const char *id);
/*
 * Whether a member's process is known to have ended: its instance was removed, its address refuses
 * connections, or another process has taken its address.
 */
bool lead_member_ended(const struct lead *l, clk_ms now, const Bc__Member *m);

#endif
