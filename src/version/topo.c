#include "version/topo.h"

#include <stdlib.h>
#include <strings.h>

/* Limits until the first configuration arrives; similar to the defaults of common HTTP servers. */
const struct topo_limits topo_default_limits = {
	.max_header_bytes = 16384,
	.max_body_bytes = 16u << 20,
	.header_timeout = 3000,
	.idle_timeout = 15000,
};

struct topo *topo_create(void)
{
	struct topo *t = calloc(1, sizeof(*t));

	if (!t)
		abort();
	t->limits = topo_default_limits;
	return t;
}

void topo_destroy(struct topo *t)
{
	if (!t)
		return;
	arena_free(&t->arena);
	free(t);
}

void topo_ref(struct topo *t)
{
	t->refs++;
}

void topo_unref(struct topo *t)
{
	if (--t->refs == 0 && t->retired)
		topo_destroy(t);
}

void topo_retire(struct topo *t)
{
	if (!t)
		return;
	t->retired = true;
	if (!t->refs)
		topo_destroy(t);
}

static int longest_prefix_first(const void *a, const void *b)
{
	const struct topo_route *x = *(const struct topo_route *const *)a;
	const struct topo_route *y = *(const struct topo_route *const *)b;

	return (x->prefix.len < y->prefix.len) - (x->prefix.len > y->prefix.len);
}

void topo_sort_routes(struct topo *t)
{
	for (size_t i = 0; i < t->n_hosts; i++)
		qsort(t->hosts[i].routes, t->hosts[i].n_routes, sizeof(struct topo_route *),
		      longest_prefix_first);
}

/* Compares host names without the port of the given one and without regard to case. */
static bool host_matches(struct str given, struct str name)
{
	struct str port;
	struct str host = str_split(given, ':', &port);

	return host.len == name.len && strncasecmp(host.ptr, name.ptr, name.len) == 0;
}

const struct topo_route *topo_match(const struct topo *t, struct str host, struct str path)
{
	struct str query;

	path = str_split(path, '?', &query);
	for (size_t i = 0; i < t->n_hosts; i++) {
		const struct topo_host *h = &t->hosts[i];

		if (!host_matches(host, h->name))
			continue;
		for (size_t k = 0; k < h->n_routes; k++) {
			if (str_starts_with(path, h->routes[k]->prefix))
				return h->routes[k];
		}
		return NULL;
	}
	return NULL;
}

const struct topo_service *topo_service(const struct topo *t, struct str name)
{
	for (size_t i = 0; i < t->n_services; i++) {
		if (str_eq(t->services[i].name, name))
			return &t->services[i];
	}
	return NULL;
}

bool topo_allows_region(const struct str *regions, size_t n, struct str region)
{
	for (size_t i = 0; i < n; i++) {
		if (str_eq(regions[i], region))
			return true;
	}
	return !n;
}

bool topo_is_home(const struct topo_route *r, struct str region)
{
	return topo_allows_region(r->homes, r->n_homes, region);
}
