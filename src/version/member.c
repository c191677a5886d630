#include "version/member.h"

#include <string.h>

#include "base/mutant.h"
#include "base/rnd.h"
#include "base/str.h"

/*
 * A member is removed when its last message is this old, so that majorities count running members.
 * After the loss of a failure domain the remaining half must have a majority again within 2 s.
 */
#define MEMBER_TIMEOUT_MS 1500

/*
 * A router joins once its first heartbeat is this old. A router confirms no lease for one lease
 * duration (800 ms) after its start, and a member that cannot confirm could cost the holder its
 * majority.
 */
#define MEMBER_JOIN_DELAY_MS 1000

/*
 * A router from which no message has arrived for this long, two heartbeat intervals of 200 ms and
 * some delay, may have stopped.
 */
#define MEMBER_RECENT_MS 500

size_t member_majority(size_t n)
{
	if (MUTANT(minority_as_majority))
		return (n + 1) / 2;
	return n / 2 + 1;
}

uint64_t member_node_number(const char *id, const char *incarnation)
{
	uint64_t node = rnd_mix(str_hash(str_from(id)), str_hash(str_from(incarnation)));

	/* 0 means "none" in lease messages. */
	return node ? node : 1;
}

/* Returns how many of `n` members must be unable to confirm so that the others are no majority. */
static size_t blocking_number(size_t n)
{
	return n - member_majority(n) + 1;
}

static bool same_id(const Bc__Member *m, const char *id)
{
	return strcmp(m->id, id) == 0;
}

static bool same_incarnation(const Bc__Member *m, const char *id, const char *incarnation)
{
	return same_id(m, id) && strcmp(m->incarnation, incarnation) == 0;
}

/* Whether `cell` has a new incarnation of a former member, so that its old process has ended. */
static bool is_replaced(const Bc__Cell *cell, const Bc__Member *old)
{
	for (size_t i = 0; i < cell->n_members; i++) {
		const Bc__Member *m = cell->members[i];

		if (same_id(m, old->id) && !same_incarnation(m, old->id, old->incarnation))
			return true;
	}
	return false;
}

/* Whether a member of the previous version cannot confirm a lease under that version any more. */
static bool cannot_confirm(const Bc__Cell *cell, const Bc__Member *old,
			   const struct member_status *statuses, size_t n_statuses)
{
	uint64_t node = member_node_number(old->id, old->incarnation);

	for (size_t i = 0; i < n_statuses; i++) {
		if (statuses[i].node != node)
			continue;
		if (statuses[i].ended || statuses[i].cell_version >= cell->version)
			return true;
	}
	return is_replaced(cell, old);
}

/* Whether no majority of the previous version can confirm a lease under it any more. */
static bool is_previous_blocked(const Bc__Cell *cell, const struct member_status *statuses,
				size_t n_statuses)
{
	size_t n = cell->n_previous;
	Bc__Member **members = cell->previous;
	size_t blocked = 0;

	if (MUTANT(new_members_counted)) {
		n = cell->n_members;
		members = cell->members;
	}
	for (size_t i = 0; i < n; i++)
		blocked += cannot_confirm(cell, members[i], statuses, n_statuses);
	return blocked >= blocking_number(n);
}

static bool is_listed(Bc__Member **members, size_t n, const Bc__Member *m)
{
	for (size_t i = 0; i < n; i++) {
		if (same_incarnation(members[i], m->id, m->incarnation))
			return true;
	}
	return false;
}

bool member_is_single_change(const Bc__Cell *cell)
{
	size_t changes = 0;

	for (size_t i = 0; i < cell->n_previous; i++)
		changes += !is_listed(cell->members, cell->n_members, cell->previous[i]);
	for (size_t i = 0; i < cell->n_members; i++)
		changes += !is_listed(cell->previous, cell->n_previous, cell->members[i]);
	return changes <= (MUTANT(two_member_change_single) ? 2 : 1);
}

/*
 * Whether no majority of the previous version can confirm any more and its last lease has expired.
 */
static bool is_previous_ended(struct member_transition *transition, clk_ms now,
			      clk_ms lease_duration, const Bc__Cell *cell,
			      const struct member_status *statuses, size_t n_statuses)
{
	if (cell->n_previous == 0)
		return true;
	if (transition->condition_met_at == 0) {
		if (!is_previous_blocked(cell, statuses, n_statuses))
			return false;
		transition->condition_met_at = now;
	}
	/* The last lease under the previous version was requested before the condition was met. */
	return now - transition->condition_met_at >= lease_duration ||
	       MUTANT(version_without_lease_time);
}

bool member_may_activate(struct member_transition *transition, clk_ms now, clk_ms lease_duration,
			 const Bc__Cell *cell, const struct member_status *statuses,
			 size_t n_statuses)
{
	if (MUTANT(version_at_once))
		return true;
	/* Majorities of versions that differ by one member overlap. */
	if (member_is_single_change(cell) && !MUTANT(single_change_waits))
		return true;
	return is_previous_ended(transition, now, lease_duration, cell, statuses, n_statuses);
}

bool member_may_write_next(struct member_transition *transition, clk_ms now, clk_ms lease_duration,
			   const Bc__Cell *cell, const struct member_status *statuses,
			   size_t n_statuses)
{
	if (MUTANT(next_version_at_once))
		return true;
	return is_previous_ended(transition, now, lease_duration, cell, statuses, n_statuses);
}

static const Bc__Member *find_by_id(const Bc__Cell *cell, const char *id)
{
	for (size_t i = 0; cell && i < cell->n_members; i++) {
		if (same_id(cell->members[i], id))
			return cell->members[i];
	}
	return NULL;
}

/* Whether a candidate is a member of `cell`, with the same incarnation. */
static bool is_current(const Bc__Cell *cell, const struct member_candidate *c)
{
	const Bc__Member *m = find_by_id(cell, c->id);

	return m && strcmp(m->incarnation, c->incarnation) == 0;
}

static bool may_join(const Bc__Cell *cell, const struct member_candidate *c)
{
	/* Before the first cell there is no lease whose holder could lose its majority. */
	bool ready =
		!cell || cell->n_members == 0 ||
		(c->known_for >= MEMBER_JOIN_DELAY_MS && c->last_message_age < MEMBER_RECENT_MS) ||
		MUTANT(unready_member_joins);

	return c->connected && !c->ended && !c->draining && ready;
}

static bool has_timed_out(const struct member_candidate *c)
{
	return c->last_message_age >= MEMBER_TIMEOUT_MS && !MUTANT(silent_member_kept);
}

/*
 * Whether a member keeps its membership. A draining member does: until it ends it finishes requests
 * and confirms leases.
 */
static bool stays(const struct member_candidate *c)
{
	if (c->ended && !MUTANT(gone_member_kept))
		return false;
	return !has_timed_out(c) && !(c->draining && MUTANT(draining_member_removed));
}

/*
 * Whether another incarnation of the same router replaces candidate `i`: the one with the newer
 * last message is running. With equal times the one that is a member stays, so that two proposals
 * cannot replace each other in turn.
 */
static bool is_superseded(const Bc__Cell *cell, const struct member_candidate *candidates, size_t n,
			  size_t i)
{
	const struct member_candidate *c = &candidates[i];
	bool current = is_current(cell, c);

	for (size_t j = 0; j < n; j++) {
		const struct member_candidate *other = &candidates[j];

		if (j == i || !other->connected || strcmp(other->id, c->id) != 0)
			continue;
		if (other->last_message_age < c->last_message_age)
			return true;
		if (other->last_message_age == c->last_message_age && !current &&
		    (j < i || is_current(cell, other)))
			return true;
	}
	return false;
}

static const struct member_candidate *find_candidate(const struct member_candidate *candidates,
						     size_t n, const Bc__Member *m)
{
	for (size_t i = 0; i < n; i++) {
		if (same_incarnation(m, candidates[i].id, candidates[i].incarnation))
			return &candidates[i];
	}
	return NULL;
}

/*
 * Whether a new version could take effect, judged by the members that this router is connected to
 * or knows to have ended or to be replaced. A minority that is cut off from the others must not
 * replace the majority's membership in the store.
 */
static bool could_activate(const Bc__Cell *cell, const struct member_candidate *candidates,
			   size_t n)
{
	size_t reached = 0;

	if (!cell || cell->n_members == 0)
		return true;
	for (size_t i = 0; i < cell->n_members; i++) {
		const struct member_candidate *c = find_candidate(candidates, n, cell->members[i]);

		/* The state of a member that the caller did not list is unknown: no change. */
		if (!c)
			return false;
		reached += c->connected || c->ended ||
			   is_superseded(cell, candidates, n, (size_t)(c - candidates));
	}
	return reached >= blocking_number(cell->n_members) || MUTANT(minority_proposes);
}

/* Change of one router's membership; changes are proposed in this order. */
enum change { CHANGE_NONE, CHANGE_ENDED, CHANGE_TIMED_OUT, CHANGE_REPLACED, CHANGE_ADDED };

/*
 * Returns the change that makes candidate `c` a member if `wanted`, else no member; CHANGE_NONE if
 * it is so already.
 */
static enum change change_of(const Bc__Cell *cell, const struct member_candidate *c, bool wanted)
{
	if (is_current(cell, c) == wanted)
		return CHANGE_NONE;
	if (wanted)
		return CHANGE_ADDED;
	if (c->ended)
		return CHANGE_ENDED;
	return has_timed_out(c) ? CHANGE_TIMED_OUT : CHANGE_REPLACED;
}

/*
 * Reduces the proposal to one change: the first kind in the order of enum change, for the first
 * candidate with a change of that kind.
 */
static void keep_first_change(const Bc__Cell *cell, const struct member_candidate *candidates,
			      size_t n, bool *keep)
{
	enum change first = CHANGE_NONE;
	size_t at = 0;

	for (size_t i = 0; i < n; i++) {
		enum change change = change_of(cell, &candidates[i], keep[i]);

		if (change != CHANGE_NONE && (first == CHANGE_NONE || change < first)) {
			first = change;
			at = i;
		}
	}
	for (size_t i = 0; i < n; i++) {
		if (i != at)
			keep[i] = is_current(cell, &candidates[i]);
	}
}

/* How many present members there are, and how many of them stay. */
struct member_counts {
	size_t n;	/* all present members */
	size_t staying; /* neither ended, timed out nor replaced */
	size_t recent;	/* staying, and their last message arrived within MEMBER_RECENT_MS */
};

static struct member_counts count_members(const Bc__Cell *cell,
					  const struct member_candidate *candidates, size_t n)
{
	struct member_counts p = {.n = cell ? cell->n_members : 0};

	for (size_t i = 0; i < n; i++) {
		const struct member_candidate *c = &candidates[i];

		if (!is_current(cell, c) || !stays(c) || is_superseded(cell, candidates, n, i))
			continue;
		p.staying++;
		p.recent += c->last_message_age < MEMBER_RECENT_MS;
	}
	return p;
}

/*
 * Whether changes are proposed one at a time, which preserves the lease. If the members that stay
 * are no majority even after one removal, no lease can be held, so all changes go into one version.
 */
static bool changes_one_at_a_time(const struct member_counts *p)
{
	return p->n > 0 && p->staying >= member_majority(p->n - 1) && !MUTANT(all_changes_at_once);
}

/*
 * Whether a router may join now. An addition can raise the number needed for a majority. The new
 * member may have stopped since its last message, so the others must suffice without it. A cell of
 * one member cannot meet this and relies on the new one.
 */
static bool may_add(const struct member_counts *p)
{
	return !changes_one_at_a_time(p) || p->n == 1 || p->recent >= member_majority(p->n + 1) ||
	       MUTANT(addition_raises_majority);
}

bool member_propose(const Bc__Cell *cell, const struct member_candidate *candidates, size_t n,
		    bool *keep)
{
	struct member_counts member_counts = count_members(cell, candidates, n);
	bool differs = false;
	size_t kept = 0;

	for (size_t i = 0; i < n; i++) {
		const struct member_candidate *c = &candidates[i];
		bool current = is_current(cell, c);

		keep[i] = (current ? stays(c) : may_join(cell, c) && may_add(&member_counts)) &&
			  !is_superseded(cell, candidates, n, i);
		kept += keep[i];
		differs |= keep[i] != current;
	}
	if (differs && (kept > 0 || MUTANT(empty_cell_proposed)) &&
	    could_activate(cell, candidates, n)) {
		if (changes_one_at_a_time(&member_counts))
			keep_first_change(cell, candidates, n, keep);
		return true;
	}
	for (size_t i = 0; i < n; i++)
		keep[i] = is_current(cell, &candidates[i]);
	return false;
}
