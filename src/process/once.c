#include "process/once.h"

#include <stdlib.h>

#include "base/hash.h"
#include "base/mutant.h"

#define MAX_CONFIRMERS 64 /* members of a cell, see LEASE_MAX_MEMBERS */

struct record {
	uint64_t hash;
	enum once_state state;
	clk_ms began;
	bool begun_here;
	bool copied;	 /* another broker may have sent a request under this record */
	uint32_t needed; /* confirmations for a majority */
	uint32_t n_confirmers;
	uint64_t *confirmers; /* only while pending */
	UT_hash_handle hh;
};

struct once {
	clk_ms window;
	clk_ms next_end; /* no record ends earlier */
	struct record *records;
};

struct once *once_create(clk_ms window)
{
	struct once *o = calloc(1, sizeof(*o));

	if (!o)
		abort();
	o->window = window;
	o->next_end = CLK_NEVER;
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
	free(r->confirmers);
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
	if (began + o->window < o->next_end)
		o->next_end = began + o->window;
	HASH_ADD(hh, o->records, hash, sizeof(r->hash), r);
	return r;
}

static bool record_ended(const struct once *o, const struct record *r, clk_ms now)
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

	return r && !record_ended(o, r, now) ? r->state : ONCE_NEW;
}

/* Leaves the pending state: later confirmations have no effect. */
static void set_state(struct record *r, enum once_state state)
{
	r->state = state;
	free(r->confirmers);
	r->confirmers = NULL;
	r->n_confirmers = 0;
}

void once_begin(struct once *o, clk_ms now, uint64_t hash, uint32_t confirmations_needed)
{
	struct record *r = record_find(o, hash);

	if (r && record_ended(o, r, now)) {
		record_remove(o, r);
		r = NULL;
	}
	/* A record that exists belongs to another request with the same id: it stays as it is. */
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
	uint64_t *grown;

	if (!r || record_ended(o, r, now) || r->state != ONCE_PENDING)
		return false;
	for (uint32_t i = 0; i < r->n_confirmers; i++) {
		if (r->confirmers[i] == node && !MUTANT(once_count_twice))
			return false;
	}
	if (r->n_confirmers == MAX_CONFIRMERS)
		return false;
	grown = realloc(r->confirmers, (r->n_confirmers + 1) * sizeof(*grown));
	if (!grown)
		abort();
	r->confirmers = grown;
	r->confirmers[r->n_confirmers++] = node;
	if (r->n_confirmers < r->needed)
		return false;
	set_state(r, ONCE_SENT);
	return true;
}

/* How much is known about the request; copies and outcomes never lower it. */
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
	case ONCE_NEW:
		break;
	}
	return 0;
}

void once_finish(struct once *o, clk_ms now, uint64_t hash, enum once_state state)
{
	struct record *r = record_find(o, hash);

	if (!r || record_ended(o, r, now))
		return;
	if (state != ONCE_NEW) {
		if (state_rank(state) > state_rank(r->state))
			set_state(r, state);
		return;
	}
	/*
	 * "Not run" speaks of one attempt. It clears neither a completed request nor a record
	 * under which another broker may have sent a second attempt.
	 */
	if (r->state == ONCE_COMPLETED && !MUTANT(once_clear_completed))
		return;
	if (r->begun_here && r->copied && !MUTANT(once_clear_copied))
		return;
	record_remove(o, r);
}

void once_put(struct once *o, clk_ms now, uint64_t hash, enum once_state state, clk_ms age)
{
	struct record *r = record_find(o, hash);
	clk_ms began = now - (age > 0 ? age : 0);

	if (state_rank(state) == 0 || now - began >= o->window)
		return;
	/* The broker that began it may have reached a majority and sent it in the meantime. */
	if (state == ONCE_PENDING && !MUTANT(once_trust_pending))
		state = ONCE_SENT;
	if (r && record_ended(o, r, now)) {
		record_remove(o, r);
		r = NULL;
	}
	if (!r)
		r = record_add(o, hash, state, began);
	r->copied = true;
	if (state_rank(state) > state_rank(r->state) || MUTANT(once_last_copy_wins))
		set_state(r, state);
	/* A second attempt under the same id makes the window start again. */
	if (began > r->began)
		r->began = began;
}

void once_forget(struct once *o, uint64_t hash)
{
	struct record *r = record_find(o, hash);

	if (r)
		record_remove(o, r);
}

void once_tick(struct once *o, clk_ms now)
{
	struct record *r;
	struct record *tmp;

	if (now < o->next_end)
		return;
	o->next_end = CLK_NEVER;
	HASH_ITER (hh, o->records, r, tmp) {
		if (record_ended(o, r, now))
			record_remove(o, r);
		else if (r->began + o->window < o->next_end)
			o->next_end = r->began + o->window;
	}
}

size_t once_count(const struct once *o)
{
	return HASH_COUNT(o->records);
}

void once_each(const struct once *o, clk_ms now, once_visit visit, void *data)
{
	const struct record *r;

	for (r = o->records; r; r = r->hh.next) {
		if (!record_ended(o, r, now))
			visit(data, r->hash, r->state, now - r->began);
	}
}
