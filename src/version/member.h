/*
 * Rules for the membership of a cell. Pure.
 *
 * A version that adds or removes exactly one member takes effect at once: each of its majorities
 * shares a member with each majority of the version before, and a member confirms one holder at a
 * time regardless of versions. Any other version, and the writing of the next one, waits until no
 * majority of the version before can still confirm a lease under it: enough of its members know the
 * new version (or are gone) and one lease time passed.
 */
#ifndef VERSION_MEMBER_H
#define VERSION_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"
#include "proto/bamboocroft.pb-c.h"

/* What one router knows of one other. */
struct member_status {
	uint64_t node;
	uint64_t cell_version; /* highest version it reported */
	/*
	 * Was listed and is missing from the instance list for more than 5 s, or a newer
	 * incarnation of the same id was heard: it can confirm nothing any more.
	 */
	bool ended;
};

size_t member_majority(size_t n);

/* Node number of a member: hash of id and incarnation. */
uint64_t member_node_number(const char *id, const char *incarnation);

/*
 * State of one known version; starts at zero whenever a newer version is learned. Serves
 * member_may_activate() and member_may_write_next() together.
 */
struct member_transition {
	clk_ms condition_met_at; /* when the condition was first met, 0 if not yet */
};

/*
 * Does `cell` differ from its previous members by at most one addition or one removal? A new
 * incarnation of the same id is a removal and an addition, hence two changes.
 */
bool member_is_single_change(const Bc__Cell *cell);

/*
 * May `cell` take effect now? `seen` has what is known of routers, with this one included. A cell
 * whose `previous` is empty is the first and may take effect at once, as may a single change.
 */
bool member_may_activate(struct member_transition *transition, clk_ms now, clk_ms lease_duration,
			 const Bc__Cell *cell, const struct member_status *statuses,
			 size_t n_statuses);

/*
 * May the version after `cell` be written now? True once the leases under the version before
 * `cell` have ended, and from then on: otherwise the next version could have a majority that shares
 * no member with a majority that still confirms under the version before `cell`.
 */
bool member_may_write_next(struct member_transition *transition, clk_ms now, clk_ms lease_duration,
			   const Bc__Cell *cell, const struct member_status *statuses,
			   size_t n_statuses);

struct member_candidate {
	const char *id;
	const char *incarnation;
	const char *ip;
	const char *failure_domain;
	clk_ms last_message_age; /* how long nothing was heard of it */
	clk_ms known_for;	 /* since it was heard first; for this router since its start */
	uint32_t peer_port;
	uint32_t caller_port;
	uint32_t operator_port;
	bool connected; /* exchanged frames within the last second, or is this router */
	bool ended;
	bool draining;
};

/*
 * Next members of the cell. Connected candidates join that were heard for 1 s and within 500 ms;
 * members leave that are gone, were silent for 1.5 s, or were replaced by a new incarnation (of two
 * with the same id the one that was heard last). Draining routers do not join but stay members
 * until they are gone or silent. Of these changes one is proposed, in this order: gone, silent,
 * replaced, joining; a router joins only while the members heard within 500 ms are a majority of
 * the larger cell. All are proposed together for the first cell, and when the members that stay are
 * too few to hold a lease after one removal.
 *
 * Returns true if a change is proposed; sets `keep[i]` for each candidate, to the present
 * membership if it returns false. `cell` may be NULL when the row does not exist. `candidates` must
 * list every present member. Never proposes an empty set, nor a change that could not take effect
 * because this router reaches too few of the present members. The caller proposes only once
 * member_may_write_next() is true for `cell`.
 */
bool member_propose(const Bc__Cell *cell, const struct member_candidate *candidates, size_t n,
		    bool *keep);

#endif
