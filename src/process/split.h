/*
 * Division of a route's traffic among its parts by weight. Smooth weighted round robin keeps each
 * part within one request of its share at any time, which a random choice does not. Pure.
 */
#ifndef PROCESS_SPLIT_H
#define PROCESS_SPLIT_H

#include <stddef.h>
#include <stdint.h>

#include "version/topo.h"

struct split;

struct split *split_create(uint64_t seed);
void split_destroy(struct split *s);

/* Part that the next request of the route goes to. */
const struct topo_traffic_share *split_next(struct split *s, const struct topo_route *route);

#endif
