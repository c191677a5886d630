/*
 * Majority lease of one service in one cell: which member may act as broker.
 *
 * Pure: the caller passes the clock and carries the messages. One `struct lease` plays both parts:
 * it confirms others (lease_on_ask) and tries to hold the lease itself (lease_tick,
 * lease_on_reply). A confirmation is given to one holder at a time and kept until it runs out. The
 * holder counts from when it sent the ask and subtracts the drift allowance, so its view always
 * ends before any confirmer's.
 */
#ifndef PROCESS_LEASE_H
#define PROCESS_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"

#define LEASE_MAX_MEMBERS 64

struct lease_options {
	clk_ms duration;	/* 800 */
	clk_ms renew_every;	/* 200 */
	clk_ms rank_delay;	/* 50: extra wait of a candidate for each rank below the first */
	clk_ms drift_margin;	/* 20: fixed part of the drift allowance */
	uint32_t drift_percent; /* 1 */
};

extern const struct lease_options lease_defaults;

struct lease_ask {
	uint64_t ballot;
	uint64_t cell_version;
	clk_ms sent;   /* sender's clock, comes back in the reply */
	bool takeover; /* the sender does not hold the lease yet */
	bool release;  /* the sender gives the lease up */
};

struct lease_reply {
	bool granted;
	uint64_t ballot;       /* of the ask; when refused the highest that was seen */
	uint64_t cell_version; /* version that the confirmer knows */
	uint64_t holder;       /* whom the confirmer confirms now, 0 if nobody */
	clk_ms remaining;      /* of that confirmation */
	clk_ms sent;
};

enum lease_role { LEASE_NONE, LEASE_CANDIDATE, LEASE_HOLDER };

struct lease;

/* `service_hash` orders the candidates. A node that just started confirms nobody for one duration.
 */
struct lease *lease_create(const struct lease_options *opts, uint64_t self, uint64_t service_hash,
			   clk_ms now);
void lease_destroy(struct lease *l);

/*
 * Members of the cell version that is allowed to take effect (see process/member). A version that
 * is not newer is ignored. A holder that stays a member keeps its lease and the confirmations of
 * members that stay, and renews at once; a candidate starts its attempt again. `may_hold` is false
 * while this node drains or is no member.
 */
void lease_set_members(struct lease *l, clk_ms now, uint64_t cell_version, const uint64_t *members,
		       size_t n);
void lease_set_may_hold(struct lease *l, bool may_hold);

/*
 * A newer cell version was seen but may not take effect yet: asks under an older version are
 * refused from now on.
 */
void lease_note_version(struct lease *l, uint64_t cell_version);

/*
 * Returns true when `ask` is to be sent to every other member. The own confirmation is included.
 * `utc` is the wall clock, a lower bound for the number of a new lease: the members of a new cell
 * version may remember no number of the version before.
 */
bool lease_tick(struct lease *l, clk_ms now, clk_ms utc, struct lease_ask *ask);

void lease_on_ask(struct lease *l, clk_ms now, uint64_t from, const struct lease_ask *ask,
		  struct lease_reply *reply);
void lease_on_reply(struct lease *l, clk_ms now, uint64_t from, const struct lease_reply *reply);

/* Gives the lease up; fills `ask` with the release to send to the members if it was held. */
bool lease_release(struct lease *l, clk_ms now, struct lease_ask *ask);

/* May this node act as broker at this moment? */
bool lease_is_held(const struct lease *l, clk_ms now);
enum lease_role lease_role(const struct lease *l, clk_ms now);

/* When the own lease runs out; 0 if not held. */
clk_ms lease_expires(const struct lease *l);

/* Number of the lease that is held, larger than that of every earlier holder: the fence. */
uint64_t lease_number(const struct lease *l);

/* Holder as far as this node knows (itself, or whom it confirmed or was told of); 0 if unknown. */
uint64_t lease_holder(const struct lease *l, clk_ms now);

#endif
