/* Owners of partitions and hot keys, as the broker grants slots; version/assign computes them. */
#include <stdlib.h>

#include "process/broker_priv.h"

static struct hot_key *hot_find(const struct broker *b, uint64_t key_hash)
{
	struct hot_key *h;

	HASH_FIND(hh, b->hot, &key_hash, sizeof(key_hash), h);
	return h;
}

struct owner owner_lookup(const struct broker *b, uint32_t partition, uint64_t key_hash, bool *hot)
{
	const struct hot_key *h = hot_find(b, key_hash);

	*hot = h != NULL;
	if (h)
		return h->owner;
	if (partition < b->opts.partitions)
		return b->owners[partition];
	return (struct owner){0};
}

struct queue *owner_queue(struct broker *b, const struct broker_request *req)
{
	struct owner owner;
	struct upstream *u;
	bool hot;

	if (!b->opts.keyed)
		return &b->unkeyed;
	owner = owner_lookup(b, req->partition, req->key_hash, &hot);
	if (!owner.known)
		return NULL;
	u = owner.upstream ? upstream_find(b, owner.upstream) : NULL;
	return u && u->present ? &u->queue : &b->ownerless;
}

void broker_set_owner(struct broker *b, clk_ms now, uint32_t partition, uint32_t upstream,
		      uint64_t epoch)
{
	if (!b->opts.keyed || partition >= b->opts.partitions)
		return;
	if (upstream == 0 && MUTANT(broker_grant_during_move))
		return;
	b->owners[partition] = (struct owner){true, upstream, epoch};
	if (upstream)
		slot_release_moved(b, false, partition, 0, upstream);
	if (!MUTANT(broker_keep_old_queue))
		waiting_requeue_all(b);
}

void broker_set_hot_owner(struct broker *b, clk_ms now, uint64_t key_hash, uint32_t upstream,
			  uint64_t epoch)
{
	struct hot_key *h;

	if (!b->opts.keyed)
		return;
	h = hot_find(b, key_hash);
	if (!h) {
		h = calloc(1, sizeof(*h));
		if (!h)
			abort();
		h->key_hash = key_hash;
		HASH_ADD(hh, b->hot, key_hash, sizeof(h->key_hash), h);
	}
	h->owner = (struct owner){true, upstream, epoch};
	if (upstream)
		slot_release_moved(b, true, 0, key_hash, upstream);
	waiting_requeue_all(b);
}

void broker_clear_hot_owner(struct broker *b, clk_ms now, uint64_t key_hash)
{
	struct hot_key *h = hot_find(b, key_hash);

	if (!h)
		return;
	HASH_DEL(b->hot, h);
	free(h);
	waiting_requeue_all(b);
}
