/* Prints a router's status for people, and says how far a change has spread. */
#ifndef TOOL_CTLPRINT_H
#define TOOL_CTLPRINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <jansson.h>

void ctlprint_status(FILE *out, const json_t *status);

struct ctlprint_progress {
	size_t routers; /* connected members of the cells that were asked */
	size_t in_force;
	size_t moves; /* under way, as far as the asked routers are brokers */
};

/* Adds the status of one router; `seen` and `asked` are JSON objects, empty at first, that keep
 * members and asked routers from counting twice. */
void ctlprint_add_status(struct ctlprint_progress *p, const json_t *status, uint64_t version, json_t *seen,
		  json_t *asked);

#endif
