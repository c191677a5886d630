/*
 * Chooses the hubs of a region: the gateways to which all others keep a connection, and which take
 * the roles of admission controller, store reader and shard manager. The other gateways have no
 * connections to each other, so that the number of connections grows with the number of gateways
 * and not with its square. In a small region every gateway is a hub.
 *
 * Every gateway makes the choice for itself, from the same table. A hub that a gateway cannot reach
 * is replaced by the next one in the order, for that gateway only; if two gateways then differ in
 * who controls the admission to an upstream, the upstream may be sent a few requests too many.
 */
#ifndef PROCESS_HUBS_H
#define PROCESS_HUBS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Least number of hubs of a region; enough to lose several at once, and a failure domain. */
#define HUBS_MIN 12
/*
 * Gateways with at least this share of the CPU time of the region's strongest one come first: the
 * roles cost CPU time.
 */
#define HUBS_MIN_CPU_SHARE 0.5

/* A gateway of the region, this one included. */
struct hubs_gateway {
	uint64_t id; /* hash of its name, the same over restarts */
	uint32_t cpu_millis;
	bool lost;  /* cannot be reached */
	bool hub;   /* result */
	void *data; /* for use by the caller */
};

/* Returns the number of hubs of a region with `n` gateways: the square root, HUBS_MIN or more. */
size_t hubs_count(size_t n);
/* Sorts the gateways by their order as hubs and sets `hub` of the first that are not lost. */
void hubs_choose(struct hubs_gateway *gateways, size_t n);

#endif
