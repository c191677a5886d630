/*
 * At most one member holds the lease, by three rules. A confirmer confirms one holder at a time,
 * for one lease duration of its own clock. The holder counts each confirmation from the send time
 * of its request and subtracts the drift allowance. A confirmer grants a new ballot only if it is
 * above every ballot it granted before, so successive holders, whose majorities share a member,
 * have increasing lease numbers.
 */
#include "process/lease.h"

#include <stdlib.h>

#include "base/mutant.h"
#include "base/rnd.h"
#include "version/member.h"

#define NOT_CONFIRMED INT64_MIN /* confirmed_at of a member that has not granted this ballot */

const struct lease_options lease_defaults = {
	.duration = 800,
	.renew_every = 200,
	.rank_delay = 50,
	.drift_margin = 20,
	.drift_percent = 1,
};

/* A member of the cell as seen by this node as candidate or holder. */
struct lease_member {
	uint64_t node;
	uint32_t rank;	       /* order among the candidates, 0 first */
	clk_ms confirmed_at;   /* send time of the newest request it granted, or NOT_CONFIRMED */
	uint64_t other_holder; /* node it named as holder when it refused this candidate, or 0 */
};

struct lease {
	struct lease_options opts;
	uint64_t self; /* number of this node */
	uint64_t service_hash;
	clk_ms started; /* when this lease object was created */

	/*
	 * This node as confirmer. A confirmation that has expired is kept, so that the same node
	 * can renew it with the same ballot.
	 */
	uint64_t confirmed_node; /* 0 if none */
	uint64_t confirmed_ballot;
	clk_ms confirmed_until;
	uint64_t highest_ballot; /* highest ballot granted here or released by its sender */
	uint64_t released_by;	 /* sender of the last release */
	uint64_t released_ballot;
	uint64_t known_version; /* newest cell version known, in effect or not */

	/* Holder according to messages from other members; a hint that delays attempts. */
	uint64_t reported_holder;
	clk_ms reported_until;

	uint64_t version;	      /* cell version in effect, 0 before the first */
	struct lease_member *members; /* of `version`, newest confirmation first */
	size_t n;		      /* number of members */
	bool is_member;		      /* whether this node is one of them */
	uint32_t rank;		      /* of this node */

	/* This node as candidate or holder. */
	bool may_hold;
	enum lease_role role;
	bool give_up;		   /* candidate: the next tick sends a release */
	uint64_t ballot;	   /* of the newest request */
	uint64_t number;	   /* ballot that won the lease */
	uint64_t highest_reported; /* highest ballot in any reply */
	bool ballot_superseded;	   /* a confirmer knows a ballot as high: use a higher one next */
	clk_ms attempt_started_at;
	clk_ms last_request_at;
	clk_ms next_request_at;
	clk_ms expires_at;
	clk_ms free_at;		/* when the lease is free as far as this node knows */
	clk_ms next_attempt_at; /* earliest start of the next attempt, before the rank delay */
};

static clk_ms max_time(clk_ms a, clk_ms b)
{
	return a > b ? a : b;
}

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

struct lease *lease_create(const struct lease_options *opts, uint64_t self, uint64_t service_hash,
			   clk_ms now)
{
	struct lease *l = calloc(1, sizeof(*l));

	if (!l)
		abort();
	l->opts = *opts;
	l->self = self;
	l->service_hash = service_hash;
	l->started = now;
	l->may_hold = true;
	l->free_at = now + opts->duration;
	l->next_attempt_at = now;
	return l;
}

void lease_destroy(struct lease *l)
{
	if (!l)
		return;
	free(l->members);
	free(l);
}

static struct lease_member *find_member(const struct lease *l, uint64_t node)
{
	for (size_t i = 0; i < l->n; i++) {
		if (l->members[i].node == node)
			return &l->members[i];
	}
	return NULL;
}

/*
 * Returns the rank of a node by rendezvous weight; the node number decides between equal weights.
 */
static uint32_t rank_of(const struct lease *l, uint64_t node)
{
	uint64_t weight = rnd_mix(l->service_hash, node);
	uint32_t rank = 0;

	for (size_t i = 0; i < l->n; i++) {
		uint64_t other = l->members[i].node;
		uint64_t w = rnd_mix(l->service_hash, other);

		if (w > weight || (w == weight && other > node))
			rank++;
	}
	return rank;
}

static void clear_confirmations(struct lease *l)
{
	for (size_t i = 0; i < l->n; i++) {
		l->members[i].confirmed_at = NOT_CONFIRMED;
		l->members[i].other_holder = 0;
	}
}

static void reset_role(struct lease *l)
{
	l->role = LEASE_NONE;
	l->give_up = false;
	l->ballot_superseded = false;
	l->expires_at = 0;
	l->number = 0;
	clear_confirmations(l);
}

static bool confirms_other(const struct lease *l, clk_ms now)
{
	return l->confirmed_node && l->confirmed_node != l->self && now < l->confirmed_until;
}

static bool is_unexpired(const struct lease *l, clk_ms now)
{
	return now < l->expires_at || MUTANT(expiry_ignored);
}

/*
 * Returns the time by which a holder counts its lease as shorter than a confirmer does. Both clocks
 * may drift by drift_percent, in opposite directions; drift_margin covers clock values that were
 * rounded down to whole milliseconds.
 */
static clk_ms drift_allowance(const struct lease_options *opts)
{
	if (MUTANT(no_drift_allowance))
		return 0;
	return opts->drift_margin + 2 * opts->duration * (clk_ms)opts->drift_percent / 100;
}

/*
 * Recomputes when the lease expires, from the send time of the newest requests that a majority has
 * granted. A candidate whose majority is complete becomes the holder.
 */
static void update_expiry(struct lease *l, clk_ms now)
{
	size_t majority = member_majority(l->n);
	clk_ms majority_confirmed_at;
	clk_ms until;

	if (majority == 0 || majority > l->n)
		return;
	majority_confirmed_at = l->members[majority - 1].confirmed_at;
	if (majority_confirmed_at == NOT_CONFIRMED)
		return;
	until = majority_confirmed_at + l->opts.duration - drift_allowance(&l->opts);
	if (now >= until)
		return;
	if (l->role == LEASE_CANDIDATE) {
		l->role = LEASE_HOLDER;
		l->number = l->ballot;
		l->next_request_at = l->last_request_at + l->opts.renew_every;
	}
	l->expires_at = max_time(l->expires_at, until);
}

bool lease_is_held(const struct lease *l, clk_ms now)
{
	return l->role == LEASE_HOLDER && is_unexpired(l, now);
}

/* Sorts the members, newest confirmation first. */
static void sort_by_confirmation(struct lease *l)
{
	for (size_t i = 1; i < l->n; i++) {
		struct lease_member m = l->members[i];
		size_t at = i;

		for (; at > 0 && l->members[at - 1].confirmed_at < m.confirmed_at; at--)
			l->members[at] = l->members[at - 1];
		l->members[at] = m;
	}
}

/* Replaces the member list. Members that stay keep their confirmation; new ones have none. */
static void replace_members(struct lease *l, const uint64_t *members, size_t n)
{
	struct lease_member *replaced = calloc(n ? n : 1, sizeof(*replaced));

	if (!replaced)
		abort();
	for (size_t i = 0; i < n; i++) {
		const struct lease_member *old = find_member(l, members[i]);

		if (MUTANT(removed_member_counted) && i < l->n)
			old = &l->members[i];
		replaced[i].node = members[i];
		replaced[i].confirmed_at = old ? old->confirmed_at : NOT_CONFIRMED;
	}
	free(l->members);
	l->members = replaced;
	l->n = n;
	l->is_member = false;
	for (size_t i = 0; i < n; i++) {
		replaced[i].rank = rank_of(l, members[i]);
		if (members[i] != l->self)
			continue;
		l->is_member = true;
		l->rank = replaced[i].rank;
	}
	sort_by_confirmation(l);
}

void lease_set_members(struct lease *l, clk_ms now, uint64_t cell_version, const uint64_t *members,
		       size_t n)
{
	bool holds = lease_is_held(l, now);
	bool joins = l->version != 0 && !l->is_member;

	if (cell_version <= l->version)
		return;
	replace_members(l, members, n);
	l->version = cell_version;
	l->known_version = max_u64(l->known_version, cell_version);
	/*
	 * By the rules of version/member no other node can win a majority until a lease obtained
	 * under the previous version has expired. So a holder that stays a member keeps its lease
	 * until it expires, and longer once a majority of the new members has confirmed it. The
	 * members refuse renewals under the previous version, so the next renewal is sent at once.
	 */
	if (holds && l->is_member && !MUTANT(lease_dropped_on_change)) {
		l->next_request_at = now;
		update_expiry(l, now);
		return;
	}
	reset_role(l);
	if (l->reported_holder && find_member(l, l->reported_holder) && now < l->reported_until)
		return;
	l->reported_holder = 0;
	/*
	 * A holder sends requests to members only. This node may have just become a member, so it
	 * waits one duration for the holder's next renewal before it starts an attempt.
	 */
	l->free_at = max_time(joins ? now + l->opts.duration : now, l->started + l->opts.duration);
	if (confirms_other(l, now))
		l->free_at = max_time(l->free_at, l->confirmed_until);
}

void lease_set_may_hold(struct lease *l, bool may_hold)
{
	l->may_hold = may_hold;
}

void lease_observe_version(struct lease *l, uint64_t cell_version)
{
	l->known_version = max_u64(l->known_version, cell_version);
}

/* Whether this node may grant the request of node `from` now. */
static bool may_confirm(const struct lease *l, clk_ms now, uint64_t from,
			const struct lease_ask *request)
{
	/* Before a restart this node may have confirmed another node, for up to one duration. */
	if (now < l->started + l->opts.duration && !MUTANT(restart_confirms_at_once))
		return false;
	if (request->cell_version < l->known_version && !MUTANT(old_version_confirmed))
		return false;
	if (request->cell_version == l->version && !find_member(l, from))
		return false;
	if (l->confirmed_node && l->confirmed_node != from && now < l->confirmed_until &&
	    !MUTANT(confirmation_not_kept))
		return false;
	if (l->confirmed_node == from && l->confirmed_ballot == request->ballot)
		return true;
	return request->ballot > l->highest_ballot || MUTANT(number_ignores_reports);
}

static void confirm(struct lease *l, clk_ms now, uint64_t from, const struct lease_ask *request)
{
	l->confirmed_node = from;
	l->confirmed_ballot = request->ballot;
	l->confirmed_until = now + l->opts.duration;
	l->highest_ballot = max_u64(l->highest_ballot, request->ballot);
	l->known_version = max_u64(l->known_version, request->cell_version);
	l->free_at = l->confirmed_until;
}

/*
 * Handles a release by node `from`. Requests with a ballot up to the released one are refused from
 * now on, also a request of the released attempt or lease that arrives after the release.
 */
static void drop_confirmation(struct lease *l, clk_ms now, uint64_t from, uint64_t ballot)
{
	l->highest_ballot = max_u64(l->highest_ballot, ballot);
	l->released_by = from;
	l->released_ballot = ballot;
	if (l->reported_holder == from) {
		l->reported_holder = 0;
		l->free_at = now;
	}
	if (l->confirmed_node != from)
		return;
	if (l->confirmed_ballot > ballot && !MUTANT(late_release_accepted))
		return;
	l->confirmed_node = 0;
	l->confirmed_until = now;
	l->free_at = now;
}

/* Records that `m` granted a request sent at `sent`; keeps the members sorted. */
static void record_confirmation(struct lease *l, struct lease_member *m, clk_ms sent)
{
	m->other_holder = 0;
	if (sent <= m->confirmed_at)
		return;
	m->confirmed_at = sent;
	while (m > l->members && m[-1].confirmed_at < m->confirmed_at) {
		struct lease_member earlier = m[-1];

		m[-1] = *m;
		*m = earlier;
		m--;
	}
}

/*
 * Returns a ballot above every ballot known here and not below the UTC time in ms. UTC makes lease
 * numbers increase when no member remembers the earlier ones.
 */
static uint64_t next_ballot(const struct lease *l, clk_ms utc)
{
	uint64_t highest_reported =
		max_u64(max_u64(l->highest_ballot, l->highest_reported), l->ballot) + 1;

	if (MUTANT(number_ignores_utc))
		utc = 0;
	if (MUTANT(number_ignores_reports))
		highest_reported = 0;
	return max_u64(highest_reported, utc > 0 ? (uint64_t)utc : 0);
}

/* Fills the next request and counts the confirmation by this node itself. Returns true. */
static bool prepare_request(struct lease *l, clk_ms now, clk_ms utc, struct lease_ask *request)
{
	struct lease_member *own;

	if (l->ballot_superseded) {
		l->ballot = next_ballot(l, utc);
		l->ballot_superseded = false;
		/* A lease number must have been granted by a whole majority with that ballot. */
		if (l->role == LEASE_CANDIDATE)
			clear_confirmations(l);
	}
	*request = (struct lease_ask){
		.ballot = l->ballot,
		.cell_version = l->version,
		.sent = now,
		.takeover = l->role == LEASE_CANDIDATE,
	};
	l->last_request_at = now;
	/*
	 * A candidate sends twice as often: while there is no holder, a lost request delays
	 * service.
	 */
	l->next_request_at =
		now + (request->takeover ? l->opts.renew_every / 2 : l->opts.renew_every);
	for (size_t i = 0; i < l->n; i++)
		l->members[i].other_holder = 0;
	own = find_member(l, l->self);
	if (own && may_confirm(l, now, l->self, request)) {
		confirm(l, now, l->self, request);
		record_confirmation(l, own, now);
		update_expiry(l, now);
	}
	return true;
}

/* Fills a release of the present ballot and ends this node's attempt or lease. Returns true. */
static bool prepare_release(struct lease *l, clk_ms now, struct lease_ask *request)
{
	*request = (struct lease_ask){
		.ballot = l->ballot,
		.cell_version = l->version,
		.sent = now,
		.release = true,
	};
	reset_role(l);
	drop_confirmation(l, now, l->self, request->ballot);
	return true;
}

/* Whether this node may send a request, as candidate or holder. */
static bool may_request(const struct lease *l)
{
	return l->may_hold && l->is_member && l->version >= l->known_version;
}

static bool tick_candidate(struct lease *l, clk_ms now, clk_ms utc, struct lease_ask *request)
{
	/*
	 * Half a duration is enough for several requests. It is also shorter than the duration for
	 * which a restarted confirmer grants nothing, so a confirmer that forgot a higher ballot in
	 * a restart cannot grant a ballot older than that one.
	 */
	if (now - l->attempt_started_at >= l->opts.duration / 2) {
		l->give_up = true;
		/* Long enough for every other member to make an attempt first, by rank. */
		l->next_attempt_at = now + (clk_ms)l->n * l->opts.rank_delay;
	}
	if (l->give_up || !may_request(l))
		return prepare_release(l, now, request);
	if (now < l->next_request_at)
		return false;
	return prepare_request(l, now, utc, request);
}

/* Becomes a candidate and fills the first request if this node may and its rank delay is over. */
static bool start_attempt(struct lease *l, clk_ms now, clk_ms utc, struct lease_ask *request)
{
	clk_ms attempt_at =
		max_time(l->free_at, l->next_attempt_at) + (clk_ms)l->rank * l->opts.rank_delay;

	if (!may_request(l) || now < l->started + l->opts.duration || confirms_other(l, now) ||
	    now < attempt_at)
		return false;
	clear_confirmations(l);
	l->role = LEASE_CANDIDATE;
	l->give_up = false;
	l->ballot_superseded = false;
	l->attempt_started_at = now;
	l->ballot = next_ballot(l, utc);
	return prepare_request(l, now, utc, request);
}

bool lease_tick(struct lease *l, clk_ms now, clk_ms utc, struct lease_ask *request)
{
	if (l->role == LEASE_HOLDER && !is_unexpired(l, now)) {
		reset_role(l);
		l->free_at = now;
	}
	switch (l->role) {
	case LEASE_HOLDER:
		if (!may_request(l) || now < l->next_request_at)
			return false;
		return prepare_request(l, now, utc, request);
	case LEASE_CANDIDATE:
		return tick_candidate(l, now, utc, request);
	case LEASE_NONE:
		break;
	}
	return start_attempt(l, now, utc, request);
}

/* Records that another member named `holder` as holder for `remaining` ms more. */
static void record_reported_holder(struct lease *l, clk_ms now, uint64_t holder, clk_ms remaining)
{
	if (remaining > l->opts.duration)
		remaining = l->opts.duration;
	l->reported_holder = holder;
	l->reported_until = now + remaining;
	l->free_at = max_time(l->free_at, l->reported_until);
}

/* Whether a renewal is of a lease that its sender has released since, so that it shows no holder.
 */
static bool is_already_released(const struct lease *l, uint64_t from, uint64_t ballot)
{
	return from == l->released_by && ballot <= l->released_ballot;
}

void lease_on_request(struct lease *l, clk_ms now, uint64_t from, const struct lease_ask *request,
		      struct lease_reply *reply)
{
	bool granted = false;

	if (request->release) {
		drop_confirmation(l, now, from, request->ballot);
	} else if (may_confirm(l, now, from, request)) {
		confirm(l, now, from, request);
		granted = true;
	} else if (!request->takeover && request->cell_version >= l->known_version &&
		   (!is_already_released(l, from, request->ballot) ||
		    MUTANT(released_holder_noted))) {
		record_reported_holder(l, now, from, l->opts.duration);
	}
	lease_observe_version(l, request->cell_version);
	*reply = (struct lease_reply){
		.granted = granted,
		.ballot = granted ? request->ballot : l->highest_ballot,
		.cell_version = l->known_version,
		.sent = request->sent,
	};
	if (l->confirmed_node && now < l->confirmed_until) {
		reply->holder = l->confirmed_node;
		reply->remaining = l->confirmed_until - now;
	}
}

/*
 * Gives up an attempt that cannot succeed now: so many members confirm other nodes that this node
 * cannot reach a majority, and one of these nodes has a majority, is no member or precedes this
 * node in rank. The first in rank continues, so a split vote ends once the other candidates have
 * released their confirmations.
 */
static void give_up_if_outvoted(struct lease *l)
{
	size_t majority = member_majority(l->n);
	size_t refused = 0;

	for (size_t i = 0; i < l->n; i++)
		refused += l->members[i].other_holder != 0;
	if (refused <= l->n - majority)
		return;
	for (size_t i = 0; i < l->n; i++) {
		uint64_t rival = l->members[i].other_holder;
		const struct lease_member *other = rival ? find_member(l, rival) : NULL;
		size_t votes = 0;

		if (!rival)
			continue;
		for (size_t j = 0; j < l->n; j++)
			votes += l->members[j].other_holder == rival;
		if (!other || other->rank < l->rank || votes >= majority) {
			l->give_up = true;
			return;
		}
	}
}

static void on_refusal(struct lease *l, clk_ms now, struct lease_member *m,
		       const struct lease_reply *reply)
{
	bool other = reply->holder && reply->holder != l->self;

	if (other && l->role != LEASE_HOLDER)
		record_reported_holder(l, now, reply->holder, reply->remaining);
	if (l->role == LEASE_NONE || !m || reply->sent < l->attempt_started_at)
		return;
	if (reply->ballot >= l->ballot && reply->holder != l->self)
		l->ballot_superseded = true;
	if (l->role != LEASE_CANDIDATE)
		return;
	if (other) {
		clk_ms retry_at = max_time(now + reply->remaining + 1,
					   l->last_request_at + l->opts.rank_delay);

		m->other_holder = reply->holder;
		if (retry_at < l->next_request_at)
			l->next_request_at = retry_at;
	}
	give_up_if_outvoted(l);
}

void lease_on_reply(struct lease *l, clk_ms now, uint64_t from, const struct lease_reply *reply)
{
	struct lease_member *m = find_member(l, from);
	uint64_t lowest_ballot = l->role == LEASE_HOLDER ? l->number : l->ballot;

	lease_observe_version(l, reply->cell_version);
	l->highest_reported = max_u64(l->highest_reported, reply->ballot);
	if (!reply->granted) {
		on_refusal(l, now, m, reply);
		return;
	}
	if (l->role == LEASE_NONE || l->give_up || !m || reply->sent > now)
		return;
	/*
	 * An expired lease is not revived: only a new attempt with a new ballot can win it again.
	 */
	if (l->role == LEASE_HOLDER && !is_unexpired(l, now))
		return;
	if ((reply->ballot < lowest_ballot || reply->ballot > l->ballot) &&
	    !MUTANT(late_reply_counted))
		return;
	record_confirmation(l, m, MUTANT(count_from_reply) ? now : reply->sent);
	update_expiry(l, now);
}

bool lease_release(struct lease *l, clk_ms now, struct lease_ask *request)
{
	if (l->role == LEASE_NONE)
		return false;
	l->next_attempt_at = now + l->opts.duration;
	return prepare_release(l, now, request);
}

enum lease_role lease_role(const struct lease *l, clk_ms now)
{
	if (l->role == LEASE_HOLDER)
		return lease_is_held(l, now) ? LEASE_HOLDER : LEASE_NONE;
	return l->role;
}

clk_ms lease_expires_at(const struct lease *l)
{
	return l->role == LEASE_HOLDER ? l->expires_at : 0;
}

uint64_t lease_number(const struct lease *l)
{
	return l->role == LEASE_HOLDER ? l->number : 0;
}

uint64_t lease_holder(const struct lease *l, clk_ms now)
{
	if (lease_is_held(l, now))
		return l->self;
	if (confirms_other(l, now))
		return l->confirmed_node;
	return l->reported_holder && now < l->reported_until ? l->reported_holder : 0;
}
