#include "version/config_index.h"

#include <stdlib.h>
#include <string.h>

typedef int (*compare)(const Bc__Upstream *a, const Bc__Upstream *b);

static int compare_num(const Bc__Upstream *a, const Bc__Upstream *b)
{
	return (a->num > b->num) - (a->num < b->num);
}

static int compare_id(const Bc__Upstream *a, const Bc__Upstream *b)
{
	return strcmp(a->id, b->id);
}

static int compare_address(const Bc__Upstream *a, const Bc__Upstream *b)
{
	if (a->port != b->port)
		return a->port < b->port ? -1 : 1;
	return strcmp(a->ip, b->ip);
}

struct sort_context {
	const Bc__Config *config;
	compare compare_upstreams;
};

/* Upstreams that compare equal stay in the configuration's order, so that the first is found. */
static int compare_positions(const void *a, const void *b, void *data)
{
	const struct sort_context *s = data;
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;
	int order = s->compare_upstreams(s->config->upstreams[x], s->config->upstreams[y]);

	return order ? order : (x > y) - (x < y);
}

static uint32_t *sorted_positions(const Bc__Config *c, compare compare_upstreams)
{
	struct sort_context s = {c, compare_upstreams};
	uint32_t *list = calloc(c->n_upstreams + 1, sizeof(*list));

	if (!list)
		abort();
	for (size_t i = 0; i < c->n_upstreams; i++)
		list[i] = (uint32_t)i;
	qsort_r(list, c->n_upstreams, sizeof(*list), compare_positions, &s);
	return list;
}

struct config_index *config_index_create(const Bc__Config *config)
{
	struct config_index *ix = calloc(1, sizeof(*ix));

	if (!ix)
		abort();
	ix->config = config;
	ix->n = config->n_upstreams;
	ix->by_num = sorted_positions(config, compare_num);
	ix->by_id = sorted_positions(config, compare_id);
	ix->by_address = sorted_positions(config, compare_address);
	return ix;
}

void config_index_free(struct config_index *ix)
{
	if (!ix)
		return;
	free(ix->by_num);
	free(ix->by_id);
	free(ix->by_address);
	free(ix);
}

static const Bc__Upstream *find(const struct config_index *ix, const uint32_t *list,
				compare compare_upstreams, const Bc__Upstream *key)
{
	size_t low = 0;
	size_t high = ix->n;
	const Bc__Upstream *hit;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (compare_upstreams(ix->config->upstreams[list[mid]], key) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	if (low == ix->n)
		return NULL;
	hit = ix->config->upstreams[list[low]];
	return compare_upstreams(hit, key) == 0 ? hit : NULL;
}

const Bc__Upstream *config_index_num(const struct config_index *ix, uint32_t num)
{
	const Bc__Upstream key = {.num = num};

	return find(ix, ix->by_num, compare_num, &key);
}

const Bc__Upstream *config_index_id(const struct config_index *ix, const char *id)
{
	const Bc__Upstream key = {.id = (char *)id};

	return find(ix, ix->by_id, compare_id, &key);
}

const Bc__Upstream *config_index_address(const struct config_index *ix, const char *ip,
					 uint32_t port)
{
	const Bc__Upstream key = {.ip = (char *)ip, .port = port};

	return find(ix, ix->by_address, compare_address, &key);
}
