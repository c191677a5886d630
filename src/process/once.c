#include "process/once.h"

#include <stdlib.h>

#include "base/hash.h"
#include "base/mutant.h"

#define MAX_CONFIRMATIONS 64 /* of one record: the largest number of members, LEASE_MAX_MEMBERS */

struct record {
	uint64_t hash;
	enum once_state state;
	clk_ms began;
	bool begun_here; /* added by once_begin() of this process */
	bool copied; /* merged from a copy: another broker may have sent a request with this id */
	uint32_t needed; /* confirmations that allow sending */
	uint32_t n_confirmed;
	uint64_t *confirmed_by; /* nodes that have confirmed, only while pending */
	UT_hash_handle hh;
};

struct once {
	clk_ms window;
	clk_ms next_expiry; /* no record expires earlier */
	struct record *records;
};

struct once *once_create(clk_ms window)
{
	struct once *o = calloc(1, sizeof(*o));

	if (!o)
		abort();
	o->window = window;
	o->next_expiry = CLK_NEVER;
	return o;
}

static struct record *record_find(const struct once *o, uint64_t hash)
{
	struct record *r;

	HASH_FIND(hh, o->records, &hash, sizeof(hash), r);
	return r;
}

static void record_remove(struct once *o, struct record *r)
{
	HASH_DEL(o->records, r);
	free(r->confirmed_by);
	free(r);
}

static struct record *record_add(struct once *o, uint64_t hash, enum once_state state, clk_ms began)
{
	struct record *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->hash = hash;
	r->state = state;
	r->began = began;
	if (began + o->window < o->next_expiry)
		o->next_expiry = began + o->window;
	HASH_ADD(hh, o->records, hash, sizeof(r->hash), r);
	return r;
}

static bool record_expired(const struct once *o, const struct record *r, clk_ms now)
{
	clk_ms window = MUTANT(once_short_window) ? o->window / 2 : o->window;

	return now - r->began >= window;
}

void once_destroy(struct once *o)
{
	struct record *r;
	struct record *tmp;

	if (!o)
		return;
	HASH_ITER (hh, o->records, r, tmp)
		record_remove(o, r);
	free(o);
}

enum once_state once_lookup(const struct once *o, clk_ms now, uint64_t hash)
{
	const struct record *r = record_find(o, hash);

	return r && !record_expired(o, r, now) ? r->state : ONCE_ABSENT;
}

/* Leaves the pending state, so that later confirmations have no effect. */
static void set_state(struct record *r, enum once_state state)
{
	r->state = state;
	free(r->confirmed_by);
	r->confirmed_by = NULL;
	r->n_confirmed = 0;
}

void once_begin(struct once *o, clk_ms now, uint64_t hash, uint32_t confirmations_needed)
{
	struct record *r = record_find(o, hash);

	if (r && record_expired(o, r, now)) {
		record_remove(o, r);
		r = NULL;
	}
	/* An existing record belongs to another request with the same id and stays unchanged. */
	if (r && !MUTANT(once_begin_again))
		return;
	if (r)
		record_remove(o, r);
	r = record_add(o, hash, ONCE_PENDING, now);
	r->needed = confirmations_needed;
	r->begun_here = true;
	if (confirmations_needed == 0)
		set_state(r, ONCE_SENT);
}

bool once_confirm(struct once *o, clk_ms now, uint64_t hash, uint64_t node)
{
	struct record *r = record_find(o, hash);
	uint64_t *resized;

	if (!r || record_expired(o, r, now) || r->state != ONCE_PENDING)
		return false;
	for (uint32_t i = 0; i < r->n_confirmed; i++) {
		if (r->confirmed_by[i] == node && !MUTANT(once_count_twice))
			return false;
	}
	if (r->n_confirmed == MAX_CONFIRMATIONS)
		return false;
	resized = realloc(r->confirmed_by, (r->n_confirmed + 1) * sizeof(*resized));
	if (!resized)
		abort();
	r->confirmed_by = resized;
	r->confirmed_by[r->n_confirmed++] = node;
	if (r->n_confirmed < r->needed)
		return false;
	set_state(r, ONCE_SENT);
	return true;
}

/* Order of the states by what is known; copies and outcomes never lower a record's rank. */
static int state_rank(enum once_state state)
{
	switch (state) {
	case ONCE_PENDING:
		return 1;
	case ONCE_SENT:
		return 2;
	case ONCE_UNKNOWN:
		return 3;
	case ONCE_COMPLETED:
		return 4;
	case ONCE_ABSENT:
		break;
	}
	return 0;
}

void once_set_outcome(struct once *o, clk_ms now, uint64_t hash, enum once_state state)
{
	struct record *r = record_find(o, hash);

	if (!r || record_expired(o, r, now))
		return;
	if (state != ONCE_ABSENT) {
		if (state_rank(state) > state_rank(r->state))
			set_state(r, state);
		return;
	}
	/*
	 * The report that one attempt did not run removes neither the record of a completed
	 * request nor a record under which another broker may have sent a second attempt.
	 */
	if (r->state == ONCE_COMPLETED && !MUTANT(once_clear_completed))
		return;
	if (r->begun_here && r->copied && !MUTANT(once_clear_copied))
		return;
	record_remove(o, r);
}

void once_merge_copy(struct once *o, clk_ms now, uint64_t hash, enum once_state state, clk_ms age)
{
	struct record *r = record_find(o, hash);
	clk_ms began = now - (age > 0 ? age : 0);

	if (state_rank(state) == 0 || now - began >= o->window)
		return;
	/* The broker that began the record may have sent the request in the meantime. */
	if (state == ONCE_PENDING && !MUTANT(once_trust_pending))
		state = ONCE_SENT;
	if (r && record_expired(o, r, now)) {
		record_remove(o, r);
		r = NULL;
	}
	if (!r)
		r = record_add(o, hash, state, began);
	r->copied = true;
	if (state_rank(state) > state_rank(r->state) || MUTANT(once_last_copy_wins))
		set_state(r, state);
	/* The window runs from the start of the newest attempt under this id. */
	if (began > r->began)
		r->began = began;
}

void once_remove(struct once *o, uint64_t hash)
{
	struct record *r = record_find(o, hash);

	if (r)
		record_remove(o, r);
}

void once_tick(struct once *o, clk_ms now)
{
	struct record *r;
	struct record *tmp;

	if (now < o->next_expiry)
		return;
	o->next_expiry = CLK_NEVER;
	HASH_ITER (hh, o->records, r, tmp) {
		if (record_expired(o, r, now))
			record_remove(o, r);
		else if (r->began + o->window < o->next_expiry)
			o->next_expiry = r->began + o->window;
	}
}

size_t once_count(const struct once *o)
{
	return HASH_COUNT(o->records);
}

void once_for_each(const struct once *o, clk_ms now, once_visitor visit, void *data)
{
	const struct record *r;

	for (r = o->records; r; r = r->hh.next) {
		if (!record_expired(o, r, now))
			visit(data, r->hash, r->state, now - r->began);
	}
}
