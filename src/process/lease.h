/*
 * Majority lease of one service in one cell: decides which member may act as broker.
 *
 * Pure: the caller passes the clock and sends the messages. A `struct lease` has both roles: as
 * confirmer it answers the requests of other members (lease_on_request), as candidate or holder it
 * sends requests itself (lease_tick, lease_on_reply). A confirmer confirms one holder at a time and
 * keeps the confirmation until it expires or the holder releases it. The holder counts its lease
 * from the send time of its request and subtracts the drift allowance, so its lease always ends
 * before the confirmations it rests on.
 */
#ifndef PROCESS_LEASE_H
#define PROCESS_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"

#define LEASE_MAX_MEMBERS 64

/* Defaults in brackets; times in ms. */
struct lease_options {
	clk_ms duration;	/* of a confirmation, and of the lease it supports (800) */
	clk_ms renew_every;	/* interval between two requests of a holder (200) */
	clk_ms rank_delay;	/* extra wait of a candidate for each rank below the first (50) */
	clk_ms drift_margin;	/* fixed part of the drift allowance (20) */
	uint32_t drift_percent; /* greatest clock drift (1) */
};

extern const struct lease_options lease_defaults;

/* Lease request of a candidate or holder to the members (wire message LeaseAsk). */
struct lease_ask {
	uint64_t ballot;
	uint64_t cell_version; /* in effect at the sender */
	clk_ms sent;	       /* by the sender's clock; copied into the reply */
	bool takeover;	       /* the sender does not hold the lease yet */
	bool release;	       /* the sender gives up its lease or its attempt */
};

struct lease_reply {
	bool granted;
	uint64_t ballot;       /* of the request if granted, else the confirmer's highest ballot */
	uint64_t cell_version; /* newest version that the confirmer knows */
	uint64_t holder;       /* node that the confirmer confirms now, 0 if none */
	clk_ms remaining;      /* until that confirmation expires */
	clk_ms sent;	       /* copied from the request */
};

enum lease_role { LEASE_NONE, LEASE_CANDIDATE, LEASE_HOLDER };

struct lease;

/*
 * Returns the lease state of node `self`, with no members yet. `service_hash` gives each service
 * its own rank order of candidates. A new node confirms no request and starts no attempt for one
 * duration.
 */
struct lease *lease_create(const struct lease_options *opts, uint64_t self, uint64_t service_hash,
			   clk_ms now);
void lease_destroy(struct lease *l);

/*
 * Sets the members of the cell version that takes effect now (see version/member.h). Ignores a
 * version that is not newer. A holder that stays a member keeps its lease and the confirmations of
 * members that stay, and renews at once; a candidate's attempt ends.
 */
void lease_set_members(struct lease *l, clk_ms now, uint64_t cell_version, const uint64_t *members,
		       size_t n);
/* Sets whether this node may send requests; false while it drains or is no member. */
void lease_set_may_hold(struct lease *l, bool may_hold);

/*
 * Records a cell version that this node knows, in effect or not. Requests under an older version
 * are refused from now on.
 */
void lease_observe_version(struct lease *l, uint64_t cell_version);

/*
 * Returns true if `request` was filled and is to be sent to every other member; this node's own
 * confirmation is already counted. `utc` is the wall clock in ms, a lower bound for the number of a
 * new lease: the members of a new cell version may remember no number of the previous version.
 */
bool lease_tick(struct lease *l, clk_ms now, clk_ms utc, struct lease_ask *request);

/* Handles a request of member `from`; fills the reply to send back. */
void lease_on_request(struct lease *l, clk_ms now, uint64_t from, const struct lease_ask *request,
		      struct lease_reply *reply);
/* Handles the reply of member `from` to a request of this node. */
void lease_on_reply(struct lease *l, clk_ms now, uint64_t from, const struct lease_reply *reply);

/*
 * Gives up the lease or the attempt to obtain it. Returns true if there was one: `request` is then
 * the release to send to the members. No new attempt starts for one duration.
 */
bool lease_release(struct lease *l, clk_ms now, struct lease_ask *request);

/* Whether this node holds the lease now, so may act as broker. */
bool lease_is_held(const struct lease *l, clk_ms now);
enum lease_role lease_role(const struct lease *l, clk_ms now);

/* Returns when this node's own lease expires; 0 if it holds none. */
clk_ms lease_expires_at(const struct lease *l);

/*
 * Returns the number of the lease that this node holds, 0 if none. It is larger than that of every
 * earlier holder and serves as fencing token.
 */
uint64_t lease_number(const struct lease *l);

/*
 * Returns the holder as far as this node knows: itself, the node it confirms, or the one that
 * another member reported; 0 if unknown.
 */
uint64_t lease_holder(const struct lease *l, clk_ms now);

#endif
