/* Added and removed entries, services and limits. */
#include "configcheck/topodiff.h"

#include <inttypes.h>
#include <stdlib.h>
#include <strings.h>

#include "base/mutant.h"

static const char *const kind_names[] = {
	[TOPODIFF_ADDED] = "added",
	[TOPODIFF_REMOVED] = "removed",
	[TOPODIFF_MOVED] = "moved",
	[TOPODIFF_CHANGED] = "changed",
};

const char *topodiff_kind_name(enum topodiff_kind kind)
{
	return kind_names[kind];
}

void topodiff_add(struct topodiff *d, struct topodiff_change change)
{
	if (d->n == d->max) {
		d->max = d->max ? 2 * d->max : 16;
		d->changes = realloc(d->changes, d->max * sizeof(*d->changes));
		if (!d->changes)
			abort();
	}
	d->changes[d->n++] = change;
}

void topodiff_free(struct topodiff *d)
{
	arena_free(&d->arena);
	free(d->changes);
	*d = (struct topodiff){0};
}

struct str topodiff_route_place(struct topodiff *d, const struct topo_host *h,
				const struct topo_route *r)
{
	return arena_printf(&d->arena, "host %.*s, route %.*s (%.*s)", STR_ARG(h->name),
			    STR_ARG(r->name), STR_ARG(r->prefix));
}

struct str topodiff_route_callers(struct topodiff *d, const struct topo_host *h,
				  const struct topo_route *r)
{
	return arena_printf(&d->arena, "callers of %.*s%.*s", STR_ARG(h->name), STR_ARG(r->prefix));
}

/* ---- hosts and routes ----------------------------------------------------------------------- */

/* Returns the host that gateways use for this name, NULL if there is none. */
static const struct topo_host *find_host(const struct topo *t, struct str name)
{
	for (size_t i = 0; i < t->n_hosts; i++) {
		const struct topo_host *h = &t->hosts[i];

		if (h->name.len == name.len && strncasecmp(h->name.ptr, name.ptr, name.len) == 0)
			return h;
	}
	return NULL;
}

/* Returns the route that takes the requests of this prefix, NULL if no route has it. */
static const struct topo_route *find_prefix(const struct topo_host *h, struct str prefix)
{
	for (size_t i = 0; h && i < h->n_routes; i++) {
		if (str_eq(h->routes[i]->prefix, prefix))
			return h->routes[i];
	}
	return NULL;
}

/* Whether gateways use this route; an equal one before it takes all its requests. */
static bool is_matched(const struct topo *t, const struct topo_host *h, const struct topo_route *r)
{
	return find_host(t, h->name) == h && find_prefix(h, r->prefix) == r;
}

/*
 * Returns a route with this name that `other` has at no other place, NULL if there is none, so that
 * a route which only `t` has at its place may have moved there. Sets `*host` to its host.
 */
static const struct topo_route *find_moved(const struct topo *t, const struct topo *other,
					   struct str name, const struct topo_host **host)
{
	const struct topo_route *found = NULL;

	if (MUTANT(topodiff_never_moved))
		return NULL;
	for (size_t i = 0; i < t->n_hosts; i++) {
		const struct topo_host *h = &t->hosts[i];

		for (size_t k = 0; k < h->n_routes; k++) {
			const struct topo_route *r = h->routes[k];

			if (!str_eq(r->name, name) || !is_matched(t, h, r) ||
			    find_prefix(find_host(other, h->name), r->prefix))
				continue;
			if (found)
				return NULL; /* not known which of them */
			found = r;
			*host = h;
		}
	}
	return found;
}

/* Returns what a configuration does with requests of a prefix that it has no route for. */
static struct str served_else(struct topodiff *d, const struct topo *t, const struct topo_host *h,
			      const struct topo_route *r)
{
	const struct topo_route *other = topo_match(t, h->name, r->prefix);

	if (!other)
		return STR_LIT("answered with 404");
	return arena_printf(&d->arena, "taken by route %.*s (%.*s)", STR_ARG(other->name),
			    STR_ARG(other->prefix));
}

static void add_route(struct topodiff *d, const struct topo *before, const struct topo_host *h,
		      const struct topo_route *r)
{
	topodiff_add(d, (struct topodiff_change){
				.kind = TOPODIFF_ADDED,
				.place = topodiff_route_place(d, h, r),
				.callers = topodiff_route_callers(d, h, r),
				.effect = arena_printf(&d->arena, "served by %.*s; %.*s before",
						       STR_ARG(r->parts[0].service->name),
						       STR_ARG(served_else(d, before, h, r))),
			});
}

static void remove_route(struct topodiff *d, const struct topo *after, const struct topo_host *h,
			 const struct topo_route *r)
{
	topodiff_add(d, (struct topodiff_change){
				.kind = TOPODIFF_REMOVED,
				.place = topodiff_route_place(d, h, r),
				.callers = topodiff_route_callers(d, h, r),
				.effect = served_else(d, after, h, r),
			});
}

static void move_route(struct topodiff *d, const struct topo *before, const struct topo *after,
		       const struct topo_host *from, const struct topo_route *r_from,
		       const struct topo_host *to, const struct topo_route *r_to)
{
	topodiff_add(d, (struct topodiff_change){
				.kind = TOPODIFF_MOVED,
				.place = topodiff_route_place(d, to, r_to),
				.before = arena_printf(&d->arena, "%.*s%.*s", STR_ARG(from->name),
						       STR_ARG(r_from->prefix)),
				.after = arena_printf(&d->arena, "%.*s%.*s", STR_ARG(to->name),
						      STR_ARG(r_to->prefix)),
				.callers = topodiff_route_callers(d, from, r_from),
				.effect = arena_printf(
					&d->arena,
					"requests to the former place are %.*s; those to the new "
					"one were %.*s before",
					STR_ARG(served_else(d, after, from, r_from)),
					STR_ARG(served_else(d, before, to, r_to))),
			});
}

static void diff_routes_after(struct topodiff *d, const struct topo *before,
			      const struct topo *after, const struct topo_host *h)
{
	const struct topo_host *host_before = find_host(before, h->name);

	for (size_t i = 0; i < h->n_routes; i++) {
		const struct topo_route *r = h->routes[i];
		const struct topo_route *old = find_prefix(host_before, r->prefix);
		const struct topo_host *from = NULL;
		const struct topo_host *to = NULL;

		if (!is_matched(after, h, r))
			continue;
		if (!old) {
			old = find_moved(before, after, r->name, &from);
			if (!old || find_moved(after, before, r->name, &to) != r) {
				add_route(d, before, h, r);
				continue;
			}
			move_route(d, before, after, from, old, h, r);
			topodiff_route(d, from, old, h, r);
			continue;
		}
		topodiff_route(d, host_before, old, h, r);
	}
}

static void diff_routes_before(struct topodiff *d, const struct topo *before,
			       const struct topo *after, const struct topo_host *h)
{
	const struct topo_host *host_after = find_host(after, h->name);

	for (size_t i = 0; i < h->n_routes; i++) {
		const struct topo_route *r = h->routes[i];
		const struct topo_host *other;

		if (!is_matched(before, h, r) || find_prefix(host_after, r->prefix))
			continue;
		if (find_moved(before, after, r->name, &other) == r &&
		    find_moved(after, before, r->name, &other))
			continue;
		remove_route(d, after, h, r);
	}
}

/* ---- services ------------------------------------------------------------------------------- */

/* Returns the routes whose requests a service gets, as the callers that a change concerns. */
static struct str service_callers(struct topodiff *d, const struct topo *t, struct str name)
{
	struct str list = STR_NULL;

	for (size_t i = 0; i < t->n_hosts; i++) {
		const struct topo_host *h = &t->hosts[i];

		for (size_t k = 0; k < h->n_routes; k++) {
			const struct topo_route *r = h->routes[k];
			bool uses = false;

			for (size_t p = 0; p < r->n_parts; p++)
				uses = uses || str_eq(r->parts[p].service->name, name);
			if (uses && is_matched(t, h, r))
				list = arena_printf(&d->arena, "%.*s%s%.*s%.*s", STR_ARG(list),
						    list.len ? ", " : "callers of ",
						    STR_ARG(h->name), STR_ARG(r->prefix));
		}
	}
	return list.len ? list : STR_LIT("no callers");
}

static void change_service(struct topodiff *d, const struct topo *after,
			   const struct topo_service *s, const char *property, struct str from,
			   struct str to, const char *effect)
{
	if (str_eq(from, to))
		return;
	topodiff_add(d, (struct topodiff_change){
				.kind = TOPODIFF_CHANGED,
				.place = arena_printf(&d->arena, "service %.*s", STR_ARG(s->name)),
				.property = str_from(property),
				.before = from,
				.after = to,
				.callers = service_callers(d, after, s->name),
				.effect = str_from(effect),
			});
}

static void diff_service(struct topodiff *d, const struct topo *after, const struct topo_service *a,
			 const struct topo_service *b)
{
	struct arena *m = &d->arena;

	change_service(d, after, b, "keys", a->keyed ? STR_LIT("owned") : STR_LIT("none"),
		       b->keyed ? STR_LIT("owned") : STR_LIT("none"),
		       b->keyed ? "every request needs a key, and waits for the first owners"
				: "any upstream serves any request; owners' state is not kept");
	change_service(d, after, b, "health path", a->health_path, b->health_path,
		       "an upstream that does not know the new path counts as failed");
	change_service(d, after, b, "connections to one upstream",
		       arena_printf(m, "%" PRIu32, a->max_connections),
		       arena_printf(m, "%" PRIu32, b->max_connections),
		       b->max_connections < a->max_connections
			       ? "an upstream gets fewer requests at a time"
			       : "an upstream may get more requests at a time");
	change_service(d, after, b, "cold time",
		       arena_printf(m, "%lld ms", (long long)a->cold_duration),
		       arena_printf(m, "%lld ms", (long long)b->cold_duration),
		       "upstreams that have just started get their full load earlier or later");
	change_service(d, after, b, "cold rate", arena_printf(m, "%g a second", a->cold_per_second),
		       arena_printf(m, "%g a second", b->cold_per_second),
		       "upstreams that have just started get more or fewer requests");
}

static void diff_services(struct topodiff *d, const struct topo *before, const struct topo *after)
{
	for (size_t i = 0; i < after->n_services; i++) {
		const struct topo_service *s = &after->services[i];
		const struct topo_service *old = topo_service(before, s->name);

		if (topo_service(after, s->name) != s)
			continue;
		if (old)
			diff_service(d, after, old, s);
		else
			topodiff_add(d, (struct topodiff_change){
						.kind = TOPODIFF_ADDED,
						.place = arena_printf(&d->arena, "service %.*s",
								      STR_ARG(s->name)),
						.callers = service_callers(d, after, s->name),
						.effect = STR_LIT("its upstreams get requests"),
					});
	}
	for (size_t i = 0; i < before->n_services; i++) {
		const struct topo_service *s = &before->services[i];

		if (topo_service(after, s->name) || topo_service(before, s->name) != s)
			continue;
		topodiff_add(d, (struct topodiff_change){
					.kind = TOPODIFF_REMOVED,
					.place = arena_printf(&d->arena, "service %.*s",
							      STR_ARG(s->name)),
					.callers = service_callers(d, before, s->name),
					.effect = STR_LIT("its upstreams get no requests any more"),
				});
	}
}

/* ---- limits --------------------------------------------------------------------------------- */

static void change_limit(struct topodiff *d, const char *property, int64_t before, int64_t after,
			 const char *unit, const char *lower, const char *higher)
{
	if (before == after || MUTANT(topodiff_no_limits))
		return;
	topodiff_add(d, (struct topodiff_change){
				.kind = TOPODIFF_CHANGED,
				.place = STR_LIT("limits"),
				.property = str_from(property),
				.before = arena_printf(&d->arena, "%" PRId64 " %s", before, unit),
				.after = arena_printf(&d->arena, "%" PRId64 " %s", after, unit),
				.callers = STR_LIT("all callers"),
				.effect = str_from(after < before ? lower : higher),
			});
}

static void diff_limits(struct topodiff *d, const struct topo_limits *a,
			const struct topo_limits *b)
{
	change_limit(d, "request head", (int64_t)a->max_header_bytes, (int64_t)b->max_header_bytes,
		     "bytes", "longer heads are answered with 431", "longer heads are accepted");
	change_limit(d, "request body", (int64_t)a->max_body_bytes, (int64_t)b->max_body_bytes,
		     "bytes", "longer bodies are answered with 413", "longer bodies are accepted");
	change_limit(d, "time for a request head", a->header_timeout, b->header_timeout, "ms",
		     "slower requests are answered with 408", "slower requests are accepted");
	change_limit(d, "idle time", a->idle_timeout, b->idle_timeout, "ms",
		     "connections without requests end earlier, and answers that are not taken",
		     "connections without requests stay longer");
}

void topodiff(const struct topo *before, const struct topo *after, struct topodiff *out)
{
	diff_limits(out, &before->limits, &after->limits);
	diff_services(out, before, after);
	topodiff_accounts(out, before, after);
	for (size_t i = 0; i < after->n_hosts; i++)
		diff_routes_after(out, before, after, &after->hosts[i]);
	for (size_t i = 0; i < before->n_hosts; i++)
		diff_routes_before(out, before, after, &before->hosts[i]);
}
