/*
 * Splits a route's traffic among its parts (services with weights). Smooth weighted round robin
 * keeps the requests of each part within a few of its share at any time, which a random choice does
 * not. The module does no I/O.
 */
#ifndef PROCESS_SPLIT_H
#define PROCESS_SPLIT_H

#include <stddef.h>
#include <stdint.h>

#include "version/topo.h"

struct split;

struct split *split_create(uint64_t seed);
void split_destroy(struct split *s);

/* Returns the part that gets the next request of the route. */
const struct topo_traffic_share *split_next(struct split *s, const struct topo_route *route);

#endif
