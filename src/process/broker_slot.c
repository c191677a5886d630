/*
 * Lent slots. A slot that does not come back stops counting against the limit of its upstream once
 * its deadline and margin have passed, because upstreams honour deadlines. For keyed services it
 * still counts for its partition until it returns or its node is gone for good: only then is it
 * certain that no request can reach the old owner late.
 */
#include <stdlib.h>
#include <utlist.h>

#include "process/broker_priv.h"

struct slot *slot_find(const struct broker *b, uint64_t id)
{
	struct slot *s;

	HASH_FIND(hh, b->slots, &id, sizeof(id), s);
	return s;
}

static struct slot *slot_add(struct broker *b, uint64_t id, struct upstream *u, clk_ms deadline)
{
	struct slot *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	s->id = id;
	s->upstream = u;
	/* Deadlines of adopted slots come from frames and may have any value. */
	s->free_at = deadline > CLK_NEVER - b->opts.deadline_margin
			     ? CLK_NEVER
			     : deadline + b->opts.deadline_margin;
	if (s->free_at < b->next_slot_free)
		b->next_slot_free = s->free_at;
	HASH_ADD(hh, b->slots, id, sizeof(s->id), s);
	DL_APPEND(u->slots, s);
	u->records++;
	u->in_use++;
	return s;
}

struct slot *slot_lend(struct broker *b, clk_ms now, struct upstream *u,
		       const struct broker_ask *ask)
{
	struct slot *s = slot_add(b, b->next_slot++, u, ask->deadline);
	uint32_t half = u->conf.slots / 2;

	s->node = ask->node;
	s->partition = ask->partition;
	s->key_hash = ask->key_hash;
	s->lent = now;
	s->cold_run = u->cold_run;
	if (MUTANT(broker_free_at_send_by))
		s->free_at = b->next_slot_free = now + b->opts.send_within;
	s->light = u->in_use <= (half ? half : 1);
	return s;
}

static void slot_mark_overdue(struct slot *s)
{
	if (s->overdue)
		return;
	s->overdue = true;
	s->upstream->in_use--;
}

void slot_free(struct broker *b, struct slot *s)
{
	struct upstream *u = s->upstream;

	slot_mark_overdue(s);
	HASH_DEL(b->slots, s);
	DL_DELETE(u->slots, s);
	u->records--;
	free(s);
	upstream_put(b, u);
}

void slot_expire(struct broker *b, clk_ms now)
{
	struct slot *s;
	struct slot *tmp;

	if (b->unknown_cleared && now >= b->unknown_until)
		b->unknown = false;
	if (now < b->next_slot_free)
		return;
	b->next_slot_free = CLK_NEVER;
	HASH_ITER (hh, b->slots, s, tmp) {
		if (s->overdue)
			continue;
		if (s->free_at > now) {
			if (s->free_at < b->next_slot_free)
				b->next_slot_free = s->free_at;
			continue;
		}
		slot_mark_overdue(s);
		if (!b->opts.keyed || s->settled || s->node_gone)
			slot_free(b, s);
	}
}

/*
 * A move to `owner` is complete: the caller has made sure that slots on earlier owners can do no
 * harm (returned, or the fenced grant has expired).
 */
void slot_settle_moved(struct broker *b, bool hot, uint32_t partition, uint64_t key_hash,
		       uint32_t owner)
{
	struct slot *s;
	struct slot *tmp;

	HASH_ITER (hh, b->slots, s, tmp) {
		bool same = hot ? !s->adopted && s->key_hash == key_hash
				: !s->hot && s->partition == partition;

		if (!same || s->upstream->num == owner)
			continue;
		s->settled = true;
		if (s->overdue)
			slot_free(b, s);
	}
}

size_t broker_slots_in_use(const struct broker *b, uint32_t partition)
{
	const struct slot *s;
	size_t n = b->unknown && !MUTANT(broker_move_despite_unknown) ? 1 : 0;

	for (s = b->slots; s; s = s->hh.next) {
		if (s->overdue && MUTANT(broker_forget_overdue))
			continue;
		n += !s->settled && !s->hot && s->partition == partition;
	}
	return n;
}

/* Slots lent for the key before it was split off count, and adopted ones, whose key is unknown. */
size_t broker_slots_in_use_hot(const struct broker *b, uint64_t key_hash)
{
	const struct slot *s;
	size_t n = b->unknown ? 1 : 0;

	for (s = b->slots; s; s = s->hh.next) {
		if (!s->hot && MUTANT(broker_forget_split))
			continue;
		n += !s->settled && (s->adopted || s->key_hash == key_hash);
	}
	return n;
}

size_t broker_slots_on_upstream(const struct broker *b, uint32_t num)
{
	const struct upstream *u = upstream_find(b, num);

	return u ? u->in_use : 0;
}

void broker_adopt_slot(struct broker *b, clk_ms now, const struct broker_slot_view *view)
{
	struct slot *s;

	if (slot_find(b, view->slot) || MUTANT(broker_ignore_adopted))
		return;
	s = slot_add(b, view->slot, upstream_get(b, view->upstream), view->deadline);
	s->node = view->node;
	s->partition = view->partition;
	s->lent = view->lent;
	s->adopted = true;
	slot_expire(b, now);
}

void broker_hold_unknown(struct broker *b, clk_ms until)
{
	b->unknown = true;
	b->unknown_cleared = false;
	b->unknown_until = until;
}

void broker_clear_unknown(struct broker *b, bool all_reported)
{
	b->unknown_cleared = true;
	if (all_reported && !MUTANT(broker_keep_hold))
		b->unknown_until = 0;
}

void broker_node_gone(struct broker *b, clk_ms now, uint64_t node)
{
	struct waiting *w;
	struct waiting *wtmp;
	struct slot *s;
	struct slot *stmp;

	HASH_ITER (hh, b->waiting, w, wtmp) {
		if (w->key.node == node)
			waiting_drop(b, w);
	}
	refusal_drop_node(b, node);
	HASH_ITER (hh, b->slots, s, stmp) {
		if (s->node != node)
			continue;
		s->node_gone = true;
		if (s->overdue)
			slot_free(b, s);
	}
}
