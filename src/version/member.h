/*
 * Rules for the membership of a cell. Pure.
 *
 * A version may take effect once no majority of the version before can still confirm a lease
 * under it: enough of its members know the new version (or are gone) and one lease time passed.
 */
#ifndef VERSION_MEMBER_H
#define VERSION_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"
#include "proto/bamboocroft.pb-c.h"

/* What one router knows of one other. */
struct member_seen {
	uint64_t node;
	uint64_t cell_version; /* highest version it reported */
	/*
	 * Was listed and is missing from the instance list for more than 5 s, or a newer
	 * incarnation of the same id was heard: it can confirm nothing any more.
	 */
	bool gone;
};

size_t member_majority(size_t n);

/* Node number of a member: hash of id and incarnation. */
uint64_t member_node(const char *id, const char *incarnation);

struct member_gate {
	clk_ms since; /* when the condition was first met, 0 if not yet */
};

/*
 * May `cell` take effect now? `seen` has what is known of routers, with this one included. A cell
 * whose `previous` is empty is the first and may take effect at once.
 */
bool member_may_activate(struct member_gate *gate, clk_ms now, clk_ms lease_duration,
			 const Bc__Cell *cell, const struct member_seen *seen, size_t n_seen);

struct member_candidate {
	const char *id;
	const char *incarnation;
	const char *ip;
	uint32_t peer_port;
	uint32_t caller_port;
	uint32_t operator_port;
	const char *failure_domain;
	bool connected; /* exchanged frames within the last second, or is this router */
	bool gone;
	bool draining;
	clk_ms silent_for; /* how long nothing was heard of it */
};

/*
 * Next members of the cell: connected candidates join, a new incarnation replaces the old one (of
 * two with the same id the one that was heard last is the new one), and members that are gone,
 * drain, or were silent for 3 s leave. Returns true if that differs from `cell` (which may be NULL
 * when the row does not exist); sets `keep[i]` for each candidate, to the present membership if it
 * returns false. `candidates` must list every present member.
 *
 * Never proposes an empty set, nor a change that could not take effect because this router reaches
 * too few of the present members. The caller proposes only once `cell` itself has taken effect.
 */
bool member_propose(const Bc__Cell *cell, const struct member_candidate *candidates, size_t n,
		    bool *keep);

#endif
