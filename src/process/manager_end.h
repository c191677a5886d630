/*
 * Whether the shard manager of a service that was connected last has ended. A successor may take
 * the map for requests of one that ended for the last map only if it has all of it, and if the
 * former did nothing after it closed its connection: its address refuses a new one soon
 * afterwards. The module does no I/O.
 */
#ifndef PROCESS_MANAGER_END_H
#define PROCESS_MANAGER_END_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clk.h"

/* A shard manager whose address refuses connections this soon after it closed one has ended. */
#define MANAGER_END_KNOWN_MS 250

/* The shard manager that was connected last, all zero before the first one. */
struct manager_end {
	uint64_t term; /* 0: none that closed its connection and whose maps were all received */
	uint64_t id;   /* hash of its name */
	char ip[INET_ADDRSTRLEN];
	uint32_t peer_port;
	clk_ms closed_at;
	clk_ms ended_at; /* when its process was seen to have ended, 0: not yet */
};

/* The connection to a shard manager that is no longer open. */
struct manager_end_close {
	const char *ip;
	uint32_t peer_port;
	uint64_t term;	     /* of its role */
	uint64_t id;	     /* hash of its name */
	bool closed_by_peer; /* see peer_info.closed_by_peer */
	bool has_maps;	     /* all ownership maps that it named are known here */
};

/* Records the close of the connection; an earlier shard manager is forgotten. */
void manager_end_closed(struct manager_end *end, const struct manager_end_close *close, clk_ms now);
/* Records since when its address refuses new connections, 0: it does not. */
void manager_end_refused(struct manager_end *end, clk_ms refused_since);
/* Whether it may still be seen that it ended. */
bool manager_end_pending(const struct manager_end *end, clk_ms now);
/* Whether it was shard manager in `term`, has ended, and all its ownership maps are known here. */
bool manager_end_is_known(const struct manager_end *end, uint64_t term);

#endif
