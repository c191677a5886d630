/* Forced moves: units without a usable owner, and units of partitions that are not served here. */
#include "version/assign_priv.h"

#include <stdlib.h>

#include "base/mutant.h"

static bool heap_less(const struct assign_planner *p, size_t a, size_t b)
{
	double x = assign_load_per_slot(&p->upstreams[p->heap[a]]);
	double y = assign_load_per_slot(&p->upstreams[p->heap[b]]);

	return x < y || (x == y && p->heap[a] < p->heap[b]);
}

static void heap_down(struct assign_planner *p, size_t i)
{
	for (;;) {
		size_t least = i;
		size_t tmp;

		for (size_t child = 2 * i + 1; child <= 2 * i + 2; child++) {
			if (child < p->n_upstreams && heap_less(p, child, least))
				least = child;
		}
		if (least == i)
			return;
		tmp = p->heap[i];
		p->heap[i] = p->heap[least];
		p->heap[least] = tmp;
		i = least;
	}
}

static void heap_build(struct assign_planner *p)
{
	p->heap = assign_zalloc(p->n_upstreams, sizeof(*p->heap));
	for (size_t i = 0; i < p->n_upstreams; i++)
		p->heap[i] = i;
	for (size_t i = p->n_upstreams / 2; i-- > 0;)
		heap_down(p, i);
}

struct unit_order {
	double load;
	size_t unit;
};

static int heaviest_first(const void *a, const void *b)
{
	const struct unit_order *x = a;
	const struct unit_order *y = b;

	if (x->load != y->load)
		return x->load < y->load ? 1 : -1;
	return (x->unit > y->unit) - (x->unit < y->unit);
}

static bool is_forced(const struct assign_planner_unit *u)
{
	/* Mutant: every call assigns all partitions anew. */
	if (MUTANT(assign_reshuffle) && !u->hot)
		return true;
	/* Mutant: split-off keys keep an owner that may not own keys. */
	if (MUTANT(assign_forget_hot) && u->hot)
		return false;
	return u->owner == ASSIGN_NO_INDEX;
}

void assign_release_unserved(struct assign_planner *p, const bool *served)
{
	for (size_t i = 0; i < p->n_units; i++) {
		const struct assign_planner_unit *u = &p->units[i];

		if (served[u->partition] || u->assigned_upstream == 0)
			continue;
		if (!assign_add_move(p, u->hot ? ASSIGN_HOT_KEY_MERGE : ASSIGN_PARTITION, i, 0,
				     true))
			return;
	}
}

void assign_place_forced(struct assign_planner *p, const bool *served)
{
	struct unit_order *unit_order = assign_zalloc(p->n_units, sizeof(*unit_order));
	size_t n = 0;

	for (size_t i = 0; i < p->n_units; i++) {
		const struct assign_planner_unit *u = &p->units[i];

		if (served[u->partition] && is_forced(u))
			unit_order[n++] = (struct unit_order){u->load, i};
	}
	qsort(unit_order, n, sizeof(*unit_order), heaviest_first);
	heap_build(p);
	for (size_t i = 0; i < n && p->n_upstreams > 0; i++) {
		size_t unit = unit_order[i].unit;
		size_t up = p->heap[0];

		if (p->units[unit].owner != ASSIGN_NO_INDEX)
			assign_clear_owner(p, unit);
		if (!assign_add_move(p, assign_unit_kind_of(&p->units[unit]), unit,
				     p->upstreams[up].num, true))
			break;
		assign_set_owner(p, unit, up);
		heap_down(p, 0);
	}
	free(p->heap);
	p->heap = NULL;
	free(unit_order);
}
