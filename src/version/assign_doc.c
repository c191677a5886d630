/* Assignment documents: applies moves and looks up owners. Both lists are sorted for bisection. */
#include "version/assign.h"

#include <stdlib.h>
#include <string.h>

#include "base/mutant.h"

static void *zalloc(size_t n, size_t size)
{
	void *p = calloc(n ? n : 1, size);

	if (!p)
		abort();
	return p;
}

static Bc__Assign *copy_assign(const Bc__Assign *a)
{
	size_t len = bc__assign__get_packed_size(a);
	uint8_t *buf = zalloc(len, 1);
	Bc__Assign *copy;

	bc__assign__pack(a, buf);
	copy = bc__assign__unpack(NULL, len, buf);
	free(buf);
	if (!copy)
		abort();
	return copy;
}

static char *dup_cstr(const char *s)
{
	char *p = strdup(s);

	if (!p)
		abort();
	return p;
}

void assign_free(Bc__Assign *a)
{
	if (a)
		bc__assign__free_unpacked(a, NULL);
}

static int compare_owners(const void *a, const void *b)
{
	const Bc__Owner *x = *(Bc__Owner *const *)a;
	const Bc__Owner *y = *(Bc__Owner *const *)b;

	return (x->partition > y->partition) - (x->partition < y->partition);
}

static int compare_hot_keys(const void *a, const void *b)
{
	const Bc__HotKey *x = *(Bc__HotKey *const *)a;
	const Bc__HotKey *y = *(Bc__HotKey *const *)b;

	return (x->key_hash > y->key_hash) - (x->key_hash < y->key_hash);
}

/* Returns the index of the partition's entry in the sorted list, or its insertion point. */
static size_t owner_index(const Bc__Assign *a, uint32_t partition)
{
	size_t low = 0;
	size_t high = a->n_owners;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (a->owners[mid]->partition < partition)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static Bc__Owner *find_owner(const Bc__Assign *a, uint32_t partition)
{
	size_t i = owner_index(a, partition);

	return i < a->n_owners && a->owners[i]->partition == partition ? a->owners[i] : NULL;
}

static size_t hot_key_index(const Bc__Assign *a, uint64_t key_hash)
{
	size_t low = 0;
	size_t high = a->n_hot;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (a->hot[mid]->key_hash < key_hash)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static Bc__HotKey *find_hot_key(const Bc__Assign *a, uint64_t key_hash)
{
	size_t i = hot_key_index(a, key_hash);

	return i < a->n_hot && a->hot[i]->key_hash == key_hash ? a->hot[i] : NULL;
}

static void *insert(void *list, size_t *n, size_t at, void *item)
{
	void **grown = *n < SIZE_MAX / sizeof(*grown) - 1 ? realloc(list, (*n + 1) * sizeof(*grown))
							  : NULL;

	if (!grown)
		abort();
	memmove(grown + at + 1, grown + at, (*n - at) * sizeof(*grown));
	grown[at] = item;
	(*n)++;
	return grown;
}

static Bc__Owner *add_owner(Bc__Assign *a, uint32_t partition)
{
	Bc__Owner *o = zalloc(1, sizeof(*o));

	bc__owner__init(o);
	o->partition = partition;
	a->owners = insert(a->owners, &a->n_owners, owner_index(a, partition), o);
	return o;
}

static Bc__HotKey *add_hot_key(Bc__Assign *a, uint64_t key_hash)
{
	Bc__HotKey *h = zalloc(1, sizeof(*h));

	bc__hot_key__init(h);
	h->key_hash = key_hash;
	a->hot = insert(a->hot, &a->n_hot, hot_key_index(a, key_hash), h);
	return h;
}

static void apply_partition(Bc__Assign *a, const struct assign_move *m)
{
	Bc__Owner *o = find_owner(a, m->partition);

	/* Mutant: the new owner is added without removing the old one. */
	if (!o || MUTANT(assign_second_owner))
		o = add_owner(a, m->partition);
	o->upstream = m->to;
	/* Mutant: a move does not change the epoch. */
	if (!MUTANT(assign_keep_epoch))
		o->epoch++;
}

/*
 * Applies a move of a hot key. The first move, which splits the key off, also increments the
 * partition's epoch: the owner of the partition must no longer accept a slot permit that was
 * granted for the key under the old epoch.
 */
static void apply_hot_key(Bc__Assign *a, const struct assign_move *m)
{
	Bc__HotKey *h = find_hot_key(a, m->key_hash);

	if (!h) {
		Bc__Owner *o = find_owner(a, m->partition);

		h = add_hot_key(a, m->key_hash);
		if (o) {
			/* Mutant: the split leaves the partition's epoch as it was. */
			if (!MUTANT(assign_split_keeps_epoch))
				o->epoch++;
			h->epoch = o->epoch;
		}
	}
	h->upstream = m->to;
	h->epoch++;
}

/*
 * Merges a hot key into its partition. The partition gets an epoch above its own and the key's, so
 * that the epoch under which the key is served never decreases.
 */
static void apply_merge(Bc__Assign *a, const struct assign_move *m)
{
	size_t i = hot_key_index(a, m->key_hash);
	Bc__Owner *o = find_owner(a, m->partition);
	Bc__HotKey *h;

	if (i == a->n_hot || a->hot[i]->key_hash != m->key_hash)
		return;
	h = a->hot[i];
	/* Mutant: the merge does not change the partition's epoch. */
	if (o && !MUTANT(assign_merge_keeps_epoch))
		o->epoch = (o->epoch > h->epoch ? o->epoch : h->epoch) + 1;
	memmove(a->hot + i, a->hot + i + 1, (a->n_hot - i - 1) * sizeof(*a->hot));
	a->n_hot--;
	bc__hot_key__free_unpacked(h, NULL);
}

Bc__Assign *assign_apply(const Bc__Assign *current, const char *region, const char *service,
			 const struct assign_move *moves, size_t n)
{
	Bc__Assign *a;

	if (current) {
		a = copy_assign(current);
		if (a->n_owners)
			qsort(a->owners, a->n_owners, sizeof(*a->owners), compare_owners);
		if (a->n_hot)
			qsort(a->hot, a->n_hot, sizeof(*a->hot), compare_hot_keys);
	} else {
		a = zalloc(1, sizeof(*a));
		bc__assign__init(a);
		a->region = dup_cstr(region);
		a->service = dup_cstr(service);
	}
	a->version++;
	for (size_t i = 0; i < n; i++) {
		switch (moves[i].unit) {
		case ASSIGN_PARTITION:
			apply_partition(a, &moves[i]);
			break;
		case ASSIGN_HOT_KEY:
			apply_hot_key(a, &moves[i]);
			break;
		case ASSIGN_HOT_KEY_MERGE:
			apply_merge(a, &moves[i]);
			break;
		}
	}
	return a;
}

struct assign_owner assign_lookup(const Bc__Assign *a, uint32_t partition, uint64_t key_hash)
{
	const Bc__HotKey *h;
	const Bc__Owner *o;

	if (!a)
		return (struct assign_owner){0};
	h = find_hot_key(a, key_hash);
	if (h)
		return (struct assign_owner){h->upstream, h->epoch, true};
	o = find_owner(a, partition);
	if (o)
		return (struct assign_owner){o->upstream, o->epoch, false};
	return (struct assign_owner){0};
}
