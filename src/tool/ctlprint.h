/*
 * Prints a router's status as text, and sums the statuses of several routers into the progress of a
 * configuration change.
 */
#ifndef TOOL_CTLPRINT_H
#define TOOL_CTLPRINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <jansson.h>

/* Prints the JSON answer to GET /status. */
void ctlprint_status(FILE *out, const json_t *status);

/* Progress of a configuration change. */
struct ctlprint_progress {
	size_t routers;	 /* connected members of the queried routers' cells */
	size_t in_force; /* of `routers`: those with the new configuration, or a later one */
	size_t moves;	 /* moves under way in the services whose broker is a queried router */
};

/*
 * Adds the status of one queried router; `version` is that of the new configuration. The JSON
 * objects `counted_members` and `counted_routers` start empty and hold the ids already counted, so
 * that no cell member and no queried router counts twice.
 */
void ctlprint_add_status(struct ctlprint_progress *p, const json_t *status, uint64_t version,
			 json_t *counted_members, json_t *counted_routers);

#endif
