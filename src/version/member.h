/*
 * Rules for the membership of a cell: when a version may take effect, when the next one may be
 * written, and which members it has. Pure.
 *
 * A version that adds or removes at most one member takes effect at once: each of its majorities
 * shares a member with each majority of the previous version, and a member confirms one holder at a
 * time regardless of versions. Any other version waits until no majority of the previous version
 * can still confirm a lease under it, that is, until enough of its members know the new version or
 * have ended and one lease duration has passed. The writing of the next version waits for the same
 * in any case.
 */
#ifndef VERSION_MEMBER_H
#define VERSION_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"
#include "proto/bamboocroft.pb-c.h"

/* What this router knows of one router, itself or another. */
struct member_status {
	uint64_t node;
	uint64_t cell_version; /* highest version it reported to hold, 0 if none */
	/* Its process is known to have ended, so it cannot confirm a lease any more. */
	bool ended;
};

/* Returns the number of members in a majority of `n`. */
size_t member_majority(size_t n);

/* Returns the node number of a member, a hash of id and incarnation; never 0. */
uint64_t member_node_number(const char *id, const char *incarnation);

/*
 * State of the transition to the newest known version, shared by member_may_activate() and
 * member_may_write_next(). The caller sets it to zero whenever it learns a newer version.
 */
struct member_transition {
	/* When no majority of the previous version could confirm any more, 0 if not yet. */
	clk_ms condition_met_at;
};

/*
 * Whether `cell` differs from its previous members by at most one addition or one removal. A new
 * incarnation of the same id is a removal and an addition, hence two changes.
 */
bool member_is_single_change(const Bc__Cell *cell);

/*
 * Whether `cell` may take effect now. `statuses` lists what is known of routers, including this
 * one; those that are no members of the previous version are ignored. The first cell, whose
 * `previous` is empty, may take effect at once, as may a single change.
 */
bool member_may_activate(struct member_transition *transition, clk_ms now, clk_ms lease_duration,
			 const Bc__Cell *cell, const struct member_status *statuses,
			 size_t n_statuses);

/*
 * Whether the version after `cell` may be written now. True once the leases under the version
 * before `cell` have expired, and from then on. Written earlier, the next version could have a
 * majority that shares no member with a majority that still confirms under the version before
 * `cell`.
 */
bool member_may_write_next(struct member_transition *transition, clk_ms now, clk_ms lease_duration,
			   const Bc__Cell *cell, const struct member_status *statuses,
			   size_t n_statuses);

/* A router that is a member now or could become one, as this router knows it. */
struct member_candidate {
	const char *id;
	const char *incarnation;
	const char *ip;
	const char *failure_domain;
	clk_ms last_message_age; /* time since a message from it last arrived */
	clk_ms known_for; /* time since its first heartbeat, or since the start of this router */
	uint32_t peer_port;
	uint32_t caller_port;
	uint32_t operator_port;
	bool connected; /* exchanged frames within the last second, or is this router */
	bool ended;	/* its process is known to have ended */
	bool draining;
};

/*
 * Proposes the members of the next cell version. A connected candidate may join if it has been
 * known for 1 s and its last message arrived within 500 ms. A member leaves if it has ended, if its
 * last message is 1.5 s old, or if a new incarnation has replaced it (of two candidates with one id
 * the one with the newest message is running). A draining router does not join but stays a member
 * until it has ended or timed out.
 *
 * One change is proposed at a time, in this order: ended, timed out, replaced, joining. A router
 * joins only while the members with a message within 500 ms are a majority of the larger cell. All
 * changes are proposed together for the first cell, and when the members that stay are too few to
 * hold a lease after one removal.
 *
 * Returns true if a change is proposed, with keep[i] set for each candidate that is a member of the
 * proposed version. Otherwise sets keep[i] to the present membership. `cell` may be NULL when the
 * row does not exist. `candidates` must list every present member. Never proposes an empty cell,
 * nor a change that could not take effect because this router reaches too few of the present
 * members. The caller proposes only once member_may_write_next() is true for `cell`.
 */
bool member_propose(const Bc__Cell *cell, const struct member_candidate *candidates, size_t n,
		    bool *keep);

#endif
