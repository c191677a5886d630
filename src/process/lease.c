/*
 * Safety rests on three rules. A confirmer supports one holder at a time and keeps that support for
 * one duration of its own clock. The holder counts a confirmation from when it sent the ask, less
 * the drift allowance. A confirmer grants only ballots above every one it granted before, so two
 * holders, whose majorities share a member, have growing numbers.
 */
#include "process/lease.h"

#include <stdlib.h>

#include "base/mutant.h"
#include "base/rnd.h"
#include "version/member.h"

#define NOT_CONFIRMED INT64_MIN

const struct lease_options lease_defaults = {
	.duration = 800,
	.renew_every = 200,
	.rank_delay = 50,
	.drift_margin = 20,
	.drift_percent = 1,
};

struct supporter {
	uint64_t node;
	uint32_t rank;
	clk_ms confirmed;     /* send time of the newest ask it granted, or NOT_CONFIRMED */
	uint64_t refused_for; /* candidate: whom it supports instead, 0 if it did not refuse */
};

struct lease {
	struct lease_options opts;
	uint64_t self;
	uint64_t service_hash;
	clk_ms started;

	/* As confirmer. The record outlives its expiry so that a renewal can revive it. */
	uint64_t confirmed;
	uint64_t confirmed_ballot;
	clk_ms confirmed_until;
	uint64_t highest;     /* ballot granted or released so far */
	uint64_t released_by; /* node that released a lease last, and its ballot */
	uint64_t released_ballot;
	uint64_t known_version;

	/* Told by others: who seems to hold the lease. */
	uint64_t told_holder;
	clk_ms told_until;

	/* Members of the version in effect, newest confirmation first. */
	uint64_t version;
	struct supporter *members;
	size_t n;
	bool is_member;
	uint32_t rank;

	/* As candidate or holder. */
	bool may_hold;
	enum lease_role phase;
	bool give_up;	   /* candidate: send a release on the next tick */
	uint64_t ballot;   /* of the newest ask */
	uint64_t number;   /* ballot with which the lease was won */
	uint64_t reported; /* highest ballot in any reply */
	bool outbid;	   /* a confirmer granted a higher ballot: raise the own one */
	clk_ms attempt_since;
	clk_ms last_sent;
	clk_ms next_ask;
	clk_ms expires;
	clk_ms free_at;	   /* when the lease is free as far as this node knows */
	clk_ms wait_until; /* no new attempt before this */
};

static clk_ms later(clk_ms a, clk_ms b)
{
	return a > b ? a : b;
}

static uint64_t larger(uint64_t a, uint64_t b)
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
	l->wait_until = now;
	return l;
}

void lease_destroy(struct lease *l)
{
	if (!l)
		return;
	free(l->members);
	free(l);
}

static struct supporter *find_member(const struct lease *l, uint64_t node)
{
	for (size_t i = 0; i < l->n; i++) {
		if (l->members[i].node == node)
			return &l->members[i];
	}
	return NULL;
}

/* Rank by rendezvous weight; the node number decides between equal weights. */
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

static void forget_round(struct lease *l)
{
	for (size_t i = 0; i < l->n; i++) {
		l->members[i].confirmed = NOT_CONFIRMED;
		l->members[i].refused_for = 0;
	}
}

static void leave_phase(struct lease *l)
{
	l->phase = LEASE_NONE;
	l->give_up = false;
	l->outbid = false;
	l->expires = 0;
	l->number = 0;
	forget_round(l);
}

static bool supports_other(const struct lease *l, clk_ms now)
{
	return l->confirmed && l->confirmed != l->self && now < l->confirmed_until;
}

static bool is_held_by_clock(const struct lease *l, clk_ms now)
{
	return now < l->expires || MUTANT(expiry_ignored);
}

/*
 * Both clocks may drift by the stated rate, in opposite directions. The fixed part covers clock
 * values that were rounded down to whole milliseconds.
 */
static clk_ms drift_allowance(const struct lease_options *opts)
{
	if (MUTANT(no_drift_allowance))
		return 0;
	return opts->drift_margin + 2 * opts->duration * (clk_ms)opts->drift_percent / 100;
}

/* Takes the time at which a majority last confirmed, which decides how long the lease is held. */
static void evaluate(struct lease *l, clk_ms now)
{
	size_t majority = member_majority(l->n);
	clk_ms base;
	clk_ms until;

	if (majority == 0 || majority > l->n)
		return;
	base = l->members[majority - 1].confirmed;
	if (base == NOT_CONFIRMED)
		return;
	until = base + l->opts.duration - drift_allowance(&l->opts);
	if (now >= until)
		return;
	if (l->phase == LEASE_CANDIDATE) {
		l->phase = LEASE_HOLDER;
		l->number = l->ballot;
		l->next_ask = l->last_sent + l->opts.renew_every;
	}
	l->expires = later(l->expires, until);
}

bool lease_is_held(const struct lease *l, clk_ms now)
{
	return l->phase == LEASE_HOLDER && is_held_by_clock(l, now);
}

/* Sorts by the newest confirmation first. */
static void sort_members(struct lease *l)
{
	for (size_t i = 1; i < l->n; i++) {
		struct supporter m = l->members[i];
		size_t at = i;

		for (; at > 0 && l->members[at - 1].confirmed < m.confirmed; at--)
			l->members[at] = l->members[at - 1];
		l->members[at] = m;
	}
}

/* A member of both versions keeps its confirmation; the others have none. */
static void replace_members(struct lease *l, const uint64_t *members, size_t n)
{
	struct supporter *replaced = calloc(n ? n : 1, sizeof(*replaced));

	if (!replaced)
		abort();
	for (size_t i = 0; i < n; i++) {
		const struct supporter *old = find_member(l, members[i]);

		if (MUTANT(removed_member_counted) && i < l->n)
			old = &l->members[i];
		replaced[i].node = members[i];
		replaced[i].confirmed = old ? old->confirmed : NOT_CONFIRMED;
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
	sort_members(l);
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
	l->known_version = larger(l->known_version, cell_version);
	/*
	 * The rules of version/member let no other majority confirm before a lease that was
	 * obtained under the version before has run out. So a holder that stays a member goes on
	 * until then, and longer once a majority of the new members has confirmed it. Its
	 * confirmers refuse renewals under the version before, so the next one is sent at once.
	 */
	if (holds && l->is_member && !MUTANT(lease_dropped_on_change)) {
		l->next_ask = now;
		evaluate(l, now);
		return;
	}
	leave_phase(l);
	if (l->told_holder && find_member(l, l->told_holder) && now < l->told_until)
		return;
	l->told_holder = 0;
	/* A holder asks only members, so a new one must first leave time for its renewal. */
	l->free_at = later(joins ? now + l->opts.duration : now, l->started + l->opts.duration);
	if (supports_other(l, now))
		l->free_at = later(l->free_at, l->confirmed_until);
}

void lease_set_may_hold(struct lease *l, bool may_hold)
{
	l->may_hold = may_hold;
}

void lease_note_version(struct lease *l, uint64_t cell_version)
{
	l->known_version = larger(l->known_version, cell_version);
}

static bool may_confirm(const struct lease *l, clk_ms now, uint64_t from,
			const struct lease_ask *ask)
{
	/* An earlier life of this node may have confirmed somebody just before it ended. */
	if (now < l->started + l->opts.duration && !MUTANT(restart_confirms_at_once))
		return false;
	if (ask->cell_version < l->known_version && !MUTANT(old_version_confirmed))
		return false;
	if (ask->cell_version == l->version && !find_member(l, from))
		return false;
	if (l->confirmed && l->confirmed != from && now < l->confirmed_until &&
	    !MUTANT(confirmation_not_kept))
		return false;
	if (l->confirmed == from && l->confirmed_ballot == ask->ballot)
		return true;
	return ask->ballot > l->highest || MUTANT(number_ignores_reports);
}

static void confirm(struct lease *l, clk_ms now, uint64_t from, const struct lease_ask *ask)
{
	l->confirmed = from;
	l->confirmed_ballot = ask->ballot;
	l->confirmed_until = now + l->opts.duration;
	l->highest = larger(l->highest, ask->ballot);
	l->known_version = larger(l->known_version, ask->cell_version);
	l->free_at = l->confirmed_until;
}

/* Ballots up to the released one are refused, so an ask that arrives after its release is too. */
static void drop_confirmation(struct lease *l, clk_ms now, uint64_t from, uint64_t ballot)
{
	l->highest = larger(l->highest, ballot);
	l->released_by = from;
	l->released_ballot = ballot;
	if (l->told_holder == from) {
		l->told_holder = 0;
		l->free_at = now;
	}
	if (l->confirmed != from)
		return;
	if (l->confirmed_ballot > ballot && !MUTANT(late_release_accepted))
		return;
	l->confirmed = 0;
	l->confirmed_until = now;
	l->free_at = now;
}

/* Members stay sorted by their newest confirmation. */
static void note_confirmed(struct lease *l, struct supporter *m, clk_ms sent)
{
	m->refused_for = 0;
	if (sent <= m->confirmed)
		return;
	m->confirmed = sent;
	while (m > l->members && m[-1].confirmed < m->confirmed) {
		struct supporter earlier = m[-1];

		m[-1] = *m;
		*m = earlier;
		m--;
	}
}

/* Numbers grow through what was reported and, when nobody remembers, through UTC. */
static uint64_t next_ballot(const struct lease *l, clk_ms utc)
{
	uint64_t reported = larger(larger(l->highest, l->reported), l->ballot) + 1;

	if (MUTANT(number_ignores_utc))
		utc = 0;
	if (MUTANT(number_ignores_reports))
		reported = 0;
	return larger(reported, utc > 0 ? (uint64_t)utc : 0);
}

/* Fills the next ask and counts the own confirmation. */
static bool send_ask(struct lease *l, clk_ms now, clk_ms utc, struct lease_ask *ask)
{
	struct supporter *own;

	if (l->outbid) {
		l->ballot = next_ballot(l, utc);
		l->outbid = false;
		/* The number must have been granted by a whole majority. */
		if (l->phase == LEASE_CANDIDATE)
			forget_round(l);
	}
	*ask = (struct lease_ask){
		.ballot = l->ballot,
		.cell_version = l->version,
		.sent = now,
		.takeover = l->phase == LEASE_CANDIDATE,
	};
	l->last_sent = now;
	/* A candidate asks twice as often: a lost ask costs unavailable time. */
	l->next_ask = now + (ask->takeover ? l->opts.renew_every / 2 : l->opts.renew_every);
	for (size_t i = 0; i < l->n; i++)
		l->members[i].refused_for = 0;
	own = find_member(l, l->self);
	if (own && may_confirm(l, now, l->self, ask)) {
		confirm(l, now, l->self, ask);
		note_confirmed(l, own, now);
		evaluate(l, now);
	}
	return true;
}

static bool send_release(struct lease *l, clk_ms now, struct lease_ask *ask)
{
	*ask = (struct lease_ask){
		.ballot = l->ballot,
		.cell_version = l->version,
		.sent = now,
		.release = true,
	};
	leave_phase(l);
	drop_confirmation(l, now, l->self, ask->ballot);
	return true;
}

static bool may_try(const struct lease *l)
{
	return l->may_hold && l->is_member && l->version >= l->known_version;
}

static bool tick_candidate(struct lease *l, clk_ms now, clk_ms utc, struct lease_ask *ask)
{
	/*
	 * Half a duration is enough for several asks. It is also shorter than the time for which a
	 * restarted confirmer stays silent, so a ballot cannot outlive the memory of a higher one.
	 */
	if (now - l->attempt_since >= l->opts.duration / 2) {
		l->give_up = true;
		/* Every other member gets its turn first. */
		l->wait_until = now + (clk_ms)l->n * l->opts.rank_delay;
	}
	if (l->give_up || !may_try(l))
		return send_release(l, now, ask);
	if (now < l->next_ask)
		return false;
	return send_ask(l, now, utc, ask);
}

static bool start_attempt(struct lease *l, clk_ms now, clk_ms utc, struct lease_ask *ask)
{
	clk_ms turn = later(l->free_at, l->wait_until) + (clk_ms)l->rank * l->opts.rank_delay;

	if (!may_try(l) || now < l->started + l->opts.duration || supports_other(l, now) ||
	    now < turn)
		return false;
	forget_round(l);
	l->phase = LEASE_CANDIDATE;
	l->give_up = false;
	l->outbid = false;
	l->attempt_since = now;
	l->ballot = next_ballot(l, utc);
	return send_ask(l, now, utc, ask);
}

bool lease_tick(struct lease *l, clk_ms now, clk_ms utc, struct lease_ask *ask)
{
	if (l->phase == LEASE_HOLDER && !is_held_by_clock(l, now)) {
		leave_phase(l);
		l->free_at = now;
	}
	switch (l->phase) {
	case LEASE_HOLDER:
		if (!may_try(l) || now < l->next_ask)
			return false;
		return send_ask(l, now, utc, ask);
	case LEASE_CANDIDATE:
		return tick_candidate(l, now, utc, ask);
	case LEASE_NONE:
		break;
	}
	return start_attempt(l, now, utc, ask);
}

static void note_told(struct lease *l, clk_ms now, uint64_t holder, clk_ms remaining)
{
	if (remaining > l->opts.duration)
		remaining = l->opts.duration;
	l->told_holder = holder;
	l->told_until = now + remaining;
	l->free_at = later(l->free_at, l->told_until);
}

/* A renewal that arrives after the release of its lease is no sign of a holder. */
static bool is_released(const struct lease *l, uint64_t from, uint64_t ballot)
{
	return from == l->released_by && ballot <= l->released_ballot;
}

void lease_on_ask(struct lease *l, clk_ms now, uint64_t from, const struct lease_ask *ask,
		  struct lease_reply *reply)
{
	bool granted = false;

	if (ask->release) {
		drop_confirmation(l, now, from, ask->ballot);
	} else if (may_confirm(l, now, from, ask)) {
		confirm(l, now, from, ask);
		granted = true;
	} else if (!ask->takeover && ask->cell_version >= l->known_version &&
		   (!is_released(l, from, ask->ballot) || MUTANT(released_holder_noted))) {
		note_told(l, now, from, l->opts.duration);
	}
	lease_note_version(l, ask->cell_version);
	*reply = (struct lease_reply){
		.granted = granted,
		.ballot = granted ? ask->ballot : l->highest,
		.cell_version = l->known_version,
		.sent = ask->sent,
	};
	if (l->confirmed && now < l->confirmed_until) {
		reply->holder = l->confirmed;
		reply->remaining = l->confirmed_until - now;
	}
}

/*
 * Ends an attempt that cannot succeed: too many members support others, and one of those either
 * has a majority or comes before this node in rank. The first in rank goes on, so a split vote
 * ends as soon as the others have released their confirmations.
 */
static void yield_if_beaten(struct lease *l)
{
	size_t majority = member_majority(l->n);
	size_t refused = 0;

	for (size_t i = 0; i < l->n; i++)
		refused += l->members[i].refused_for != 0;
	if (refused <= l->n - majority)
		return;
	for (size_t i = 0; i < l->n; i++) {
		uint64_t rival = l->members[i].refused_for;
		const struct supporter *other = rival ? find_member(l, rival) : NULL;
		size_t votes = 0;

		if (!rival)
			continue;
		for (size_t j = 0; j < l->n; j++)
			votes += l->members[j].refused_for == rival;
		if (!other || other->rank < l->rank || votes >= majority) {
			l->give_up = true;
			return;
		}
	}
}

static void on_refusal(struct lease *l, clk_ms now, struct supporter *m,
		       const struct lease_reply *reply)
{
	bool other = reply->holder && reply->holder != l->self;

	if (other && l->phase != LEASE_HOLDER)
		note_told(l, now, reply->holder, reply->remaining);
	if (l->phase == LEASE_NONE || !m || reply->sent < l->attempt_since)
		return;
	if (reply->ballot >= l->ballot && reply->holder != l->self)
		l->outbid = true;
	if (l->phase != LEASE_CANDIDATE)
		return;
	if (other) {
		clk_ms again = later(now + reply->remaining + 1, l->last_sent + l->opts.rank_delay);

		m->refused_for = reply->holder;
		if (again < l->next_ask)
			l->next_ask = again;
	}
	yield_if_beaten(l);
}

void lease_on_reply(struct lease *l, clk_ms now, uint64_t from, const struct lease_reply *reply)
{
	struct supporter *m = find_member(l, from);
	uint64_t lowest = l->phase == LEASE_HOLDER ? l->number : l->ballot;

	lease_note_version(l, reply->cell_version);
	l->reported = larger(l->reported, reply->ballot);
	if (!reply->granted) {
		on_refusal(l, now, m, reply);
		return;
	}
	if (l->phase == LEASE_NONE || l->give_up || !m || reply->sent > now)
		return;
	/* A lease that ran out is lost; only a new attempt with a new number may win it again. */
	if (l->phase == LEASE_HOLDER && !is_held_by_clock(l, now))
		return;
	if ((reply->ballot < lowest || reply->ballot > l->ballot) && !MUTANT(late_reply_counted))
		return;
	note_confirmed(l, m, MUTANT(count_from_reply) ? now : reply->sent);
	evaluate(l, now);
}

bool lease_release(struct lease *l, clk_ms now, struct lease_ask *ask)
{
	if (l->phase == LEASE_NONE)
		return false;
	l->wait_until = now + l->opts.duration;
	return send_release(l, now, ask);
}

enum lease_role lease_role(const struct lease *l, clk_ms now)
{
	if (l->phase == LEASE_HOLDER)
		return lease_is_held(l, now) ? LEASE_HOLDER : LEASE_NONE;
	return l->phase;
}

clk_ms lease_expires(const struct lease *l)
{
	return l->phase == LEASE_HOLDER ? l->expires : 0;
}

uint64_t lease_number(const struct lease *l)
{
	return l->phase == LEASE_HOLDER ? l->number : 0;
}

uint64_t lease_holder(const struct lease *l, clk_ms now)
{
	if (lease_is_held(l, now))
		return l->self;
	if (supports_other(l, now))
		return l->confirmed;
	return l->told_holder && now < l->told_until ? l->told_holder : 0;
}
