/*
 * Granted slots. A slot that is not returned stops counting against the limit of its upstream when
 * its deadline and the margin have passed, because upstreams stop at the deadline. For keyed
 * services it counts for its partition or hot key until it is returned, its node has failed for
 * good, or the move to another owner is complete: only then no request can reach the former owner
 * late.
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
	if (s->free_at < b->next_slot_expiry)
		b->next_slot_expiry = s->free_at;
	HASH_ADD(hh, b->slots, id, sizeof(s->id), s);
	DL_APPEND(u->slots, s);
	u->slot_refs++;
	u->in_use++;
	return s;
}

struct slot *slot_grant(struct broker *b, clk_ms now, struct upstream *u,
			const struct broker_request *req)
{
	struct slot *s = slot_add(b, b->next_slot++, u, req->deadline);
	uint32_t half = u->conf.slots / 2;

	s->node = req->node;
	s->partition = req->partition;
	s->key_hash = req->key_hash;
	s->granted_at = now;
	s->cold_start_num = u->cold_start_num;
	if (MUTANT(broker_free_at_send_by))
		s->free_at = b->next_slot_expiry = now + b->opts.send_within;
	s->lightly_loaded = u->in_use <= (half ? half : 1);
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
	u->slot_refs--;
	free(s);
	upstream_free_unused(b, u);
}

void slot_expire(struct broker *b, clk_ms now)
{
	struct slot *s;
	struct slot *tmp;

	if (b->unknown_accounted && now >= b->unknown_until)
		b->unknown_slots = false;
	if (now < b->next_slot_expiry)
		return;
	b->next_slot_expiry = CLK_NEVER;
	HASH_ITER (hh, b->slots, s, tmp) {
		if (s->overdue)
			continue;
		if (s->free_at > now) {
			if (s->free_at < b->next_slot_expiry)
				b->next_slot_expiry = s->free_at;
			continue;
		}
		slot_mark_overdue(s);
		if (!b->opts.keyed || s->key_cleared || s->node_failed)
			slot_free(b, s);
	}
}

/*
 * Stops counting the slots on former owners once the move to `owner` is complete. The caller has
 * made sure that no request can run on a former owner any more: all slots were returned, or the
 * fenced grant has expired.
 */
void slot_release_moved(struct broker *b, bool hot, uint32_t partition, uint64_t key_hash,
			uint32_t owner)
{
	struct slot *s;
	struct slot *tmp;

	HASH_ITER (hh, b->slots, s, tmp) {
		bool same = hot ? !s->adopted && s->key_hash == key_hash
				: !s->hot && s->partition == partition;

		if (!same || s->upstream->num == owner)
			continue;
		s->key_cleared = true;
		if (s->overdue)
			slot_free(b, s);
	}
}

size_t broker_slots_of_partition(const struct broker *b, uint32_t partition)
{
	const struct slot *s;
	size_t n = b->unknown_slots && !MUTANT(broker_move_despite_unknown) ? 1 : 0;

	for (s = b->slots; s; s = s->hh.next) {
		if (s->overdue && MUTANT(broker_forget_overdue))
			continue;
		n += !s->key_cleared && !s->hot && s->partition == partition;
	}
	return n;
}

/*
 * Also counts slots that were granted for the key before it was split off, and adopted slots, whose
 * key is unknown.
 */
size_t broker_slots_of_hot_key(const struct broker *b, uint64_t key_hash)
{
	const struct slot *s;
	size_t n = b->unknown_slots ? 1 : 0;

	for (s = b->slots; s; s = s->hh.next) {
		if (!s->hot && MUTANT(broker_forget_split))
			continue;
		n += !s->key_cleared && (s->adopted || s->key_hash == key_hash);
	}
	return n;
}

size_t broker_slots_on_upstream(const struct broker *b, uint32_t num)
{
	const struct upstream *u = upstream_find(b, num);

	return u ? u->in_use : 0;
}

void broker_adopt_slot(struct broker *b, clk_ms now, const struct broker_slot_report *report)
{
	struct slot *s;

	if (slot_find(b, report->slot) || MUTANT(broker_ignore_adopted))
		return;
	s = slot_add(b, report->slot, upstream_find_or_create(b, report->upstream),
		     report->deadline);
	s->node = report->node;
	s->partition = report->partition;
	s->granted_at = report->granted_at;
	s->adopted = true;
	slot_expire(b, now);
}

void broker_assume_unknown_slots(struct broker *b, clk_ms until)
{
	b->unknown_slots = true;
	b->unknown_accounted = false;
	b->unknown_until = until;
}

void broker_clear_unknown_slots(struct broker *b, bool all_reported)
{
	b->unknown_accounted = true;
	if (all_reported && !MUTANT(broker_keep_hold))
		b->unknown_until = 0;
}

void broker_remove_node(struct broker *b, clk_ms now, uint64_t node)
{
	struct waiting *w;
	struct waiting *wtmp;
	struct slot *s;
	struct slot *stmp;

	HASH_ITER (hh, b->waiting, w, wtmp) {
		if (w->key.node == node)
			waiting_discard(b, w);
	}
	refusal_discard_node(b, node);
	HASH_ITER (hh, b->slots, s, stmp) {
		if (s->node != node)
			continue;
		s->node_failed = true;
		if (s->overdue)
			slot_free(b, s);
	}
}
