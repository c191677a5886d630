/* Sets up the planner's state: upstreams, partitions, hot keys and their owners. */
#include "version/assign_priv.h"

#include <math.h>
#include <stdlib.h>

#include "version/config.h"

/* Share of the mean partition load that is added to each partition, so that partitions without
 * requests are spread evenly too. */
#define IDLE_SHARE 0.01

void *assign_zalloc(size_t n, size_t size)
{
	void *p = calloc(n ? n : 1, size);

	if (!p)
		abort();
	return p;
}

static int by_num(const void *a, const void *b)
{
	uint32_t x = ((const struct assign_planner_upstream *)a)->num;
	uint32_t y = ((const struct assign_planner_upstream *)b)->num;

	return (x > y) - (x < y);
}

void assign_build_upstreams(struct assign_planner *p, const struct assign_upstream *upstreams,
			    size_t n)
{
	p->upstreams = assign_zalloc(n, sizeof(*p->upstreams));
	for (size_t i = 0; i < n; i++) {
		if (!upstreams[i].usable || upstreams[i].slots == 0)
			continue;
		p->upstreams[p->n_upstreams++] =
			(struct assign_planner_upstream){.num = upstreams[i].num,
							 .slots = upstreams[i].slots,
							 .first = ASSIGN_NO_INDEX};
	}
	qsort(p->upstreams, p->n_upstreams, sizeof(*p->upstreams), by_num);
}

static size_t find_upstream_index(const struct assign_planner *p, uint32_t num)
{
	struct assign_planner_upstream key = {.num = num};
	const struct assign_planner_upstream *hit =
		bsearch(&key, p->upstreams, p->n_upstreams, sizeof(key), by_num);

	return hit ? (size_t)(hit - p->upstreams) : ASSIGN_NO_INDEX;
}

static int by_key_hash(const void *a, const void *b)
{
	uint64_t x = ((const struct assign_tracked_key *)a)->key->key_hash;
	uint64_t y = ((const struct assign_tracked_key *)b)->key->key_hash;

	return (x > y) - (x < y);
}

double assign_sanitize_load(double load)
{
	return isfinite(load) && load > 0 ? load : 0;
}

void assign_build_keys(struct assign_planner *p, const struct assign_loads *loads,
		       const bool *served)
{
	p->keys = assign_zalloc(loads->n_keys, sizeof(*p->keys));
	for (size_t i = 0; i < loads->n_keys; i++) {
		uint32_t partition = loads->keys[i].partition;

		if (partition < p->partitions && served[partition])
			p->keys[p->n_keys++] = (struct assign_tracked_key){.key = &loads->keys[i],
									   .unit = partition};
	}
	qsort(p->keys, p->n_keys, sizeof(*p->keys), by_key_hash);
}

static struct assign_tracked_key *find_key(const struct assign_planner *p, uint64_t key_hash)
{
	struct assign_key_load probe = {.key_hash = key_hash};
	struct assign_tracked_key key = {.key = &probe};

	return bsearch(&key, p->keys, p->n_keys, sizeof(key), by_key_hash);
}

void assign_build_partitions(struct assign_planner *p, const Bc__Assign *current,
			     const struct assign_loads *loads)
{
	double sum = 0;

	for (uint32_t i = 0; i < p->partitions; i++) {
		struct assign_planner_unit *u = &p->units[i];

		u->partition = i;
		u->owner = ASSIGN_NO_INDEX;
		u->next = ASSIGN_NO_INDEX;
		u->load = loads->partitions ? assign_sanitize_load(loads->partitions[i]) : 1;
		sum += u->load;
	}
	for (uint32_t i = 0; i < p->partitions; i++)
		p->units[i].load += sum > 0 ? IDLE_SHARE * sum / p->partitions : 1;
	for (size_t i = 0; current && i < current->n_owners; i++) {
		const Bc__Owner *o = current->owners[i];

		if (o->partition < p->partitions)
			p->units[o->partition].assigned_upstream = o->upstream;
	}
	p->n_units = p->partitions;
}

void assign_build_hot(struct assign_planner *p, const Bc__Assign *current, const bool *served)
{
	for (size_t i = 0; current && i < current->n_hot; i++) {
		const Bc__HotKey *h = current->hot[i];
		struct assign_planner_unit *u = &p->units[p->n_units];
		struct assign_planner_unit *partition;
		struct assign_tracked_key *key = find_key(p, h->key_hash);

		*u = (struct assign_planner_unit){
			.hot = true,
			.key_hash = h->key_hash,
			.partition = config_hash_partition(h->key_hash, p->partitions),
			.assigned_upstream = h->upstream,
			.owner = ASSIGN_NO_INDEX,
			.next = ASSIGN_NO_INDEX,
		};
		partition = &p->units[u->partition];
		if (key && served[u->partition]) {
			u->load = assign_sanitize_load(key->key->load);
			if (u->load > partition->load)
				u->load = partition->load;
			partition->load -= u->load;
			key->split = true;
			key->unit = p->n_units;
		}
		p->n_units++;
		p->n_hot++;
	}
}

void assign_set_owner(struct assign_planner *p, size_t unit, size_t up)
{
	struct assign_planner_unit *u = &p->units[unit];
	struct assign_planner_upstream *to = &p->upstreams[up];

	u->owner = up;
	u->next = to->first;
	to->first = unit;
	to->load += u->load;
	if (u->load > to->largest_unit_load)
		to->largest_unit_load = u->load;
}

void assign_clear_owner(struct assign_planner *p, size_t unit)
{
	struct assign_planner_upstream *from = &p->upstreams[p->units[unit].owner];
	size_t *link = &from->first;

	from->largest_unit_load = 0;
	while (*link != ASSIGN_NO_INDEX) {
		struct assign_planner_unit *u = &p->units[*link];

		if (*link == unit) {
			*link = u->next;
			continue;
		}
		if (u->load > from->largest_unit_load)
			from->largest_unit_load = u->load;
		link = &u->next;
	}
	from->load -= p->units[unit].load;
	p->units[unit].owner = ASSIGN_NO_INDEX;
}

void assign_build_owners(struct assign_planner *p, const bool *served)
{
	double slots = 0;

	for (size_t i = 0; i < p->n_units; i++) {
		struct assign_planner_unit *u = &p->units[i];
		size_t up = u->assigned_upstream ? find_upstream_index(p, u->assigned_upstream)
						 : ASSIGN_NO_INDEX;

		if (!served[u->partition])
			continue;
		p->total_load += u->load;
		if (up != ASSIGN_NO_INDEX)
			assign_set_owner(p, i, up);
	}
	for (size_t i = 0; i < p->n_upstreams; i++)
		slots += p->upstreams[i].slots;
	p->mean_load_per_slot = slots > 0 ? p->total_load / slots : 0;
}

bool assign_add_move(struct assign_planner *p, enum assign_unit_kind kind, size_t unit, uint32_t to,
		     bool forced)
{
	struct assign_planner_unit *u = &p->units[unit];

	if (p->n_out == p->max)
		return false;
	p->out[p->n_out++] = (struct assign_move){
		.unit = kind,
		.partition = u->partition,
		.key_hash = u->hot ? u->key_hash : 0,
		.from = u->assigned_upstream,
		.to = to,
		.forced = forced,
	};
	u->moved = true;
	return true;
}

enum assign_unit_kind assign_unit_kind_of(const struct assign_planner_unit *u)
{
	return u->hot ? ASSIGN_HOT_KEY : ASSIGN_PARTITION;
}
