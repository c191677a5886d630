#include "process/split.h"

#include <stdlib.h>

#include "base/hash.h"
#include "base/rnd.h"

struct route_state {
	uint64_t id; /* hash of the route's name, parts and weights */
	size_t n;
	double *credit; /* of each part; the part with the most gets the next request */
	UT_hash_handle hh;
};

struct split {
	struct rnd rnd;
	struct route_state *routes;
};

struct split *split_create(uint64_t seed)
{
	struct split *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	rnd_seed(&s->rnd, seed);
	return s;
}

void split_destroy(struct split *s)
{
	struct route_state *r;
	struct route_state *tmp;

	if (!s)
		return;
	HASH_ITER (hh, s->routes, r, tmp) {
		HASH_DEL(s->routes, r);
		free(r->credit);
		free(r);
	}
	free(s);
}

static uint64_t state_id(const struct topo_route *route)
{
	uint64_t id = str_hash(route->name);

	for (size_t i = 0; i < route->n_parts; i++) {
		id = rnd_mix(id, str_hash(route->parts[i].service->name));
		id = rnd_mix(id, (uint64_t)(route->parts[i].weight * 1e6));
	}
	return id;
}

static struct route_state *state_of(struct split *s, const struct topo_route *route)
{
	uint64_t id = state_id(route);
	struct route_state *r;

	HASH_FIND(hh, s->routes, &id, sizeof(id), r);
	if (r)
		return r;
	r = calloc(1, sizeof(*r));
	if (!r)
		abort();
	r->id = id;
	r->n = route->n_parts;
	r->credit = calloc(r->n, sizeof(*r->credit));
	if (!r->credit)
		abort();
	/* Random start, so that not all gateways choose a part of small weight at the same time. */
	for (size_t i = 0; i < r->n; i++)
		r->credit[i] = rnd_unit(&s->rnd) * route->parts[i].weight;
	HASH_ADD(hh, s->routes, id, sizeof(r->id), r);
	return r;
}

const struct topo_traffic_share *split_next(struct split *s, const struct topo_route *route)
{
	struct route_state *r;
	double total = 0;
	size_t best = 0;

	if (route->n_parts == 1)
		return &route->parts[0];
	r = state_of(s, route);
	for (size_t i = 0; i < r->n; i++) {
		r->credit[i] += route->parts[i].weight;
		total += route->parts[i].weight;
		if (r->credit[i] > r->credit[best])
			best = i;
	}
	r->credit[best] -= total;
	return &route->parts[best];
}
