#include "process/keymap.h"

#include <stdlib.h>
#include <string.h>

#include "base/mutant.h"

void keymap_free(struct keymap *m)
{
	free(m->ranges);
	*m = (struct keymap){0};
}

void keymap_clear(struct keymap *m)
{
	m->n = 0;
}

void keymap_add(struct keymap *m, uint32_t from, uint32_t to, uint64_t upstream)
{
	struct keymap_range *last = m->n ? &m->ranges[m->n - 1] : NULL;

	if (last && last->upstream == upstream && last->to + 1 == from) {
		last->to = to;
		return;
	}
	if (m->n == m->capacity) {
		m->capacity = m->capacity ? m->capacity * 2 : 64;
		m->ranges = realloc(m->ranges, m->capacity * sizeof(*m->ranges));
		if (!m->ranges)
			abort();
	}
	m->ranges[m->n++] = (struct keymap_range){from, to, upstream};
}

void keymap_copy(struct keymap *to, const struct keymap *from)
{
	keymap_clear(to);
	for (size_t i = 0; i < from->n; i++)
		keymap_add(to, from->ranges[i].from, from->ranges[i].to, from->ranges[i].upstream);
	to->term = from->term;
	to->version = from->version;
}

/* Returns the index of the first range that ends at the key or above, `m->n` if none. */
static size_t find_range(const struct keymap *m, uint32_t key)
{
	size_t lo = 0;
	size_t hi = m->n;

	while (lo < hi) {
		size_t mid = (lo + hi) / 2;

		if (m->ranges[mid].to < key)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

uint64_t keymap_owner(const struct keymap *m, uint32_t key)
{
	size_t i = find_range(m, key);

	return i < m->n && m->ranges[i].from <= key ? m->ranges[i].upstream : 0;
}

void keymap_changes(const struct keymap *before, const struct keymap *now, struct keymap *out)
{
	keymap_clear(out);
	for (size_t i = 0; i < now->n; i++) {
		const struct keymap_range *r = &now->ranges[i];
		uint32_t key = r->from;

		for (size_t j = find_range(before, key); key <= r->to; j++) {
			const struct keymap_range *b = j < before->n ? &before->ranges[j] : NULL;
			bool known = b && b->from <= key;
			uint32_t end = known ? b->to : b ? b->from - 1 : r->to;

			if (end > r->to)
				end = r->to;
			if (!known || b->upstream != r->upstream)
				keymap_add(out, key, end, r->upstream);
			key = end + 1;
			j -= !known;
		}
	}
}

Bc__KeyMap *keymap_pack(struct arena *a, const char *service, const struct keymap *m,
			const struct keymap *ranges, uint64_t since)
{
	Bc__KeyMap *frame = arena_alloc(a, sizeof(*frame));
	Bc__KeyRange *packed = arena_alloc(a, (ranges->n + 1) * sizeof(*packed));
	Bc__KeyRange **pointers = arena_alloc(a, (ranges->n + 1) * sizeof(Bc__KeyRange *));

	for (size_t i = 0; i < ranges->n; i++) {
		packed[i] = (Bc__KeyRange)BC__KEY_RANGE__INIT;
		packed[i].from = ranges->ranges[i].from;
		packed[i].to = ranges->ranges[i].to;
		packed[i].upstream = ranges->ranges[i].upstream;
		pointers[i] = &packed[i];
	}
	*frame = (Bc__KeyMap)BC__KEY_MAP__INIT;
	frame->service = (char *)service;
	frame->term = m->term;
	frame->version = m->version;
	frame->since = since;
	frame->n_ranges = ranges->n;
	frame->ranges = pointers;
	return frame;
}

/* Appends to `out` the ranges of `m` from the key `from` up to, but without, the key `end`. */
static void add_part(struct keymap *out, const struct keymap *m, uint32_t from, uint32_t end)
{
	for (size_t i = find_range(m, from); i < m->n && m->ranges[i].from < end; i++) {
		const struct keymap_range *r = &m->ranges[i];

		keymap_add(out, r->from > from ? r->from : from, r->to < end ? r->to : end - 1,
			   r->upstream);
	}
}

enum keymap_result keymap_apply(struct keymap *m, const Bc__KeyMap *frame)
{
	struct keymap next = {.term = frame->term, .version = frame->version};
	uint32_t key = 0;

	if (frame->term < m->term || (frame->term == m->term && frame->version <= m->version))
		return KEYMAP_OLD;
	if (frame->since && (frame->term != m->term || frame->since != m->version) &&
	    !MUTANT(keymap_ignore_gap))
		return KEYMAP_GAP;
	for (size_t i = 0; i < frame->n_ranges; i++) {
		const Bc__KeyRange *r = frame->ranges[i];

		if (frame->since)
			add_part(&next, m, key, r->from);
		keymap_add(&next, r->from, r->to, r->upstream);
		key = r->to + 1;
	}
	if (frame->since)
		add_part(&next, m, key, UINT32_MAX);
	keymap_free(m);
	*m = next;
	return KEYMAP_APPLIED;
}
