#include "process/voters.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mutant.h"

/* ---- electorate ----------------------------------------------------------------------------- */

bool electorate_add(struct electorate *e, uint64_t id)
{
	size_t at = e->n;

	while (at > 0 && e->ids[at - 1] > id)
		at--;
	if (at > 0 && e->ids[at - 1] == id)
		return true;
	if (e->n == ELECTORATE_MAX)
		return false;
	memmove(&e->ids[at + 1], &e->ids[at], (e->n - at) * sizeof(e->ids[0]));
	e->ids[at] = id;
	e->n++;
	return true;
}

bool electorate_equal(const struct electorate *a, const struct electorate *b)
{
	return a->n == b->n && memcmp(a->ids, b->ids, a->n * sizeof(a->ids[0])) == 0;
}

struct str electorate_write(const struct electorate *e, char buf[ELECTORATE_TEXT_BYTES])
{
	size_t len = 0;

	buf[0] = '\0';
	for (size_t i = 0; i < e->n; i++)
		len += (size_t)snprintf(buf + len, ELECTORATE_TEXT_BYTES - len, "%s%016llx",
					i ? "," : "", (unsigned long long)e->ids[i]);
	return (struct str){buf, len};
}

/* Parses a number of 1 to 16 hexadecimal digits. */
static bool read_hex(struct str text, uint64_t *out)
{
	*out = 0;
	if (!text.len || text.len > 16)
		return false;
	for (size_t i = 0; i < text.len; i++) {
		char c = text.ptr[i];

		if (c >= '0' && c <= '9')
			*out = *out << 4 | (uint64_t)(c - '0');
		else if (c >= 'a' && c <= 'f')
			*out = *out << 4 | (uint64_t)(c - 'a' + 10);
		else
			return false;
	}
	return true;
}

bool electorate_read(struct electorate *e, struct str text)
{
	e->n = 0;
	while (text.len) {
		struct str rest;
		uint64_t id;

		if (!read_hex(str_split(text, ',', &rest), &id) || !electorate_add(e, id)) {
			e->n = 0;
			return false;
		}
		text = rest;
	}
	return true;
}

/* ---- votes ---------------------------------------------------------------------------------- */

static struct voter *find_voter(const struct voters *v, uint64_t id)
{
	struct voter *p;

	HASH_FIND(hh, v->list, &id, sizeof(id), p);
	return p;
}

void voters_clear(struct voters *v)
{
	struct voter *p = v->list;

	HASH_CLEAR(hh, v->list);
	while (p) {
		struct voter *next = p->hh.next;

		free(p);
		p = next;
	}
}

/* Returns what is known of the process, as yet nothing if it is new. */
static struct voter *note_process(struct voters *v, uint64_t id, uint64_t node, clk_ms now)
{
	struct voter *p = find_voter(v, id);

	if (!p) {
		p = calloc(1, sizeof(*p));
		if (!p)
			abort();
		p->id = id;
		HASH_ADD(hh, v->list, id, sizeof(p->id), p);
	}
	if (p->node != node) {
		p->node = node;
		p->node_since = now;
		p->follows = 0;
	}
	return p;
}

void voters_connected(struct voters *v, uint64_t id, uint64_t node, clk_ms now)
{
	note_process(v, id, node, now);
}

void voters_heard(struct voters *v, const struct vote *vote, clk_ms now)
{
	struct voter *p = note_process(v, vote->id, vote->node, now);

	/* A process never follows a lower term again: the message was held up. */
	if (vote->follows < p->follows)
		return;
	if (vote->follows > p->follows)
		p->asked_at = 0;
	p->follows = vote->follows;
	p->before = vote->before;
	p->counted_in = vote->counted_in;
	/* No question can have been sent after its answer. */
	if (vote->asked_at <= now && vote->asked_at > p->asked_at)
		p->asked_at = vote->asked_at;
}

void voters_role_confirmed(struct voters *v, clk_ms sent)
{
	struct voter *p;

	for (p = v->list; p; p = p->hh.next) {
		if (p->node_since <= sent)
			p->counted = p->node;
	}
}

static bool is_majority(size_t n, const struct electorate *e)
{
	return n * 2 > e->n;
}

bool voters_support(const struct voters *v, const struct electorate *e, uint64_t self,
		    uint64_t term, clk_ms since)
{
	size_t n = 0;

	for (size_t i = 0; i < e->n; i++) {
		const struct voter *p = find_voter(v, e->ids[i]);
		bool known = p && (p->counted == p->node || MUTANT(voters_any_process));

		n += e->ids[i] == self || (known && p->follows == term && p->asked_at &&
					   (p->asked_at >= since || MUTANT(voters_old_support)));
	}
	return is_majority(n, e);
}

bool voters_counts(const struct voters *v, uint64_t id, uint64_t node)
{
	const struct voter *p = find_voter(v, id);

	return p && p->counted == node;
}

bool voters_consent(const struct voters *v, const struct electorate *e, uint64_t self,
		    uint64_t term)
{
	size_t n = 0;

	for (size_t i = 0; i < e->n; i++) {
		const struct voter *p = find_voter(v, e->ids[i]);

		n += e->ids[i] == self || (p && p->follows == term);
	}
	return (n && n * 2 >= e->n) || MUTANT(voters_need_no_consent);
}

bool voters_knew_none_above(const struct voters *v, const struct electorate *e, uint64_t self,
			    uint64_t term, const struct last_term *known)
{
	uint64_t last = known->last;
	size_t n = 0;

	for (size_t i = 0; i < e->n; i++) {
		uint64_t id = e->ids[i];
		const struct voter *p = find_voter(v, id);

		if (id == self)
			n += known->counted_in >= last || MUTANT(voters_any_age);
		else if (id == known->manager)
			n++;
		else
			n += p && p->follows == term && p->before <= last &&
			     (p->counted_in >= last || MUTANT(voters_any_age));
	}
	return is_majority(n, e) || MUTANT(voters_forget_terms);
}
