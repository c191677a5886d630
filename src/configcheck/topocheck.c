/* Entries that can never match: hosts, routes, services and home regions. */
#include "configcheck/topocheck.h"

#include <string.h>
#include <strings.h>

#include "base/mutant.h"

struct str topocheck_route_place(struct arena *a, const struct topo_host *h,
				 const struct topo_route *r)
{
	return arena_printf(a, "host %.*s, route %.*s (%.*s)", STR_ARG(h->name), STR_ARG(r->name),
			    STR_ARG(r->prefix));
}

struct str topocheck_service_place(struct arena *a, const struct topo_service *s)
{
	return arena_printf(a, "service %.*s", STR_ARG(s->name));
}

static struct str host_place(struct arena *a, const struct topo_host *h)
{
	return arena_printf(a, "host %.*s", STR_ARG(h->name));
}

static bool has_char(struct str s, char c)
{
	return s.len && memchr(s.ptr, c, s.len);
}

/* ---- hosts ---------------------------------------------------------------------------------- */

static bool same_host(const struct topo_host *a, const struct topo_host *b)
{
	if (MUTANT(topocheck_host_case))
		return str_eq(a->name, b->name);
	return a->name.len == b->name.len &&
	       strncasecmp(a->name.ptr, b->name.ptr, a->name.len) == 0;
}

static void check_host(const struct topo *t, size_t at, struct findings *out)
{
	const struct topo_host *h = &t->hosts[at];
	struct str place = host_place(&out->arena, h);

	for (size_t i = 0; i < at; i++) {
		if (!same_host(&t->hosts[i], h))
			continue;
		findings_add(out, "host-twice", place,
			     "the same host is listed before; the %zu routes here never match",
			     h->n_routes);
		return;
	}
	if (has_char(h->name, ':'))
		findings_add(out, "host-with-port", place,
			     "a host is compared without its port, so no request matches");
	if (!h->n_routes)
		findings_add(out, "host-without-routes", place,
			     "every request of this host is answered with 404");
}

/* ---- routes --------------------------------------------------------------------------------- */

/* Routes of a host are sorted by length of the prefix, so equal ones lie close together. */
static void check_shadow(const struct topo_host *h, size_t at, struct str place,
			 struct findings *out)
{
	const struct topo_route *r = h->routes[at];

	for (size_t i = at; i > 0 && h->routes[i - 1]->prefix.len == r->prefix.len; i--) {
		const struct topo_route *first = h->routes[i - 1];

		if (!str_eq(first->prefix, r->prefix) || MUTANT(topocheck_no_shadow))
			continue;
		findings_add(
			out, "prefix-twice", place,
			"route %.*s has the same prefix and takes all requests; this one never "
			"matches",
			STR_ARG(first->name));
		return;
	}
}

static void check_prefix(struct str prefix, struct str place, struct findings *out)
{
	if (prefix.ptr[0] != '/' || has_char(prefix, '?') || has_char(prefix, '#') ||
	    has_char(prefix, ' '))
		findings_add(out, "prefix-never-matches", place,
			     "a path begins with a slash and is compared without its query, so no "
			     "request matches");
	else if (prefix.ptr[prefix.len - 1] != '/')
		findings_add(out, "prefix-without-slash", place,
			     "the prefix ends within a part of a path, so that it also takes "
			     "%.*sx; end it with a slash",
			     STR_ARG(prefix));
}

bool topocheck_is_region(const struct topocheck_env *env, struct str region)
{
	for (size_t i = 0; i < env->n_regions; i++) {
		if (str_eq(env->regions[i], region))
			return true;
	}
	return false;
}

static void check_homes(const struct topo_route *r, const struct topocheck_env *env,
			struct str place, struct findings *out)
{
	size_t unknown = 0;

	if (!env->n_regions)
		return;
	for (size_t i = 0; i < r->n_homes; i++) {
		if (topocheck_is_region(env, r->homes[i]) || MUTANT(topocheck_any_home))
			continue;
		unknown++;
		findings_add(out, "home-unknown", place, "the deployment has no region \"%.*s\"",
			     STR_ARG(r->homes[i]));
	}
	if (unknown && unknown == r->n_homes)
		findings_add(out, "route-without-home", place,
			     "no region may serve the route: every request is refused");
}

size_t topocheck_count_upstreams(const struct topocheck_env *env, const struct topo_route *r,
				 const struct topo_service *s)
{
	size_t n = 0;

	for (size_t i = 0; i < env->n_upstreams; i++)
		n += str_eq(env->upstreams[i].service, s->name) &&
		     topo_is_home(r, env->upstreams[i].region);
	return n;
}

/* Home regions of the route, or all, in which the service has no upstream. */
static void check_home_upstreams(const struct topo_route *r, const struct topo_service *s,
				 const struct topocheck_env *env, struct str place,
				 struct findings *out)
{
	for (size_t i = 0; i < r->n_homes; i++) {
		struct topo_route one = *r;

		one.homes = &r->homes[i];
		one.n_homes = 1;
		if (!topocheck_is_region(env, r->homes[i]) ||
		    topocheck_count_upstreams(env, &one, s))
			continue;
		findings_add(out, "home-without-upstreams", place,
			     "service %.*s has no registered upstream in home region %.*s",
			     STR_ARG(s->name), STR_ARG(r->homes[i]));
	}
}

static void check_parts(const struct topo_route *r, const struct topocheck_env *env,
			struct str place, struct findings *out)
{
	size_t keyed = 0;

	for (size_t i = 0; i < r->n_parts; i++) {
		const struct topo_service *s = r->parts[i].service;

		keyed += s->keyed;
		for (size_t k = 0; k < i; k++) {
			if (r->parts[k].service != s)
				continue;
			findings_add(out, "share-twice", place,
				     "service %.*s has more than one share of the traffic; they "
				     "add up",
				     STR_ARG(s->name));
			break;
		}
		if (!env->upstreams_known)
			continue;
		if (!topocheck_count_upstreams(env, r, s))
			findings_add(out, "route-without-upstreams", place,
				     "service %.*s has no registered upstream that may serve the "
				     "route: %s is refused",
				     STR_ARG(s->name),
				     r->n_parts > 1 ? "its share" : "every request");
		else
			check_home_upstreams(r, s, env, place, out);
	}
	if (keyed && keyed < r->n_parts)
		findings_add(out, "split-mixes-keyed", place,
			     "the traffic is divided among services with and without keys: a "
			     "request without a key gets 400 or an answer by chance");
}

static void check_route(const struct topo_host *h, size_t at, const struct topocheck_env *env,
			struct findings *out)
{
	const struct topo_route *r = h->routes[at];
	struct str place = topocheck_route_place(&out->arena, h, r);

	check_prefix(r->prefix, place, out);
	check_shadow(h, at, place, out);
	check_homes(r, env, place, out);
	check_parts(r, env, place, out);
}

/* ---- services ------------------------------------------------------------------------------- */

static bool is_used(const struct topo *t, const struct topo_service *s)
{
	for (size_t i = 0; i < t->n_hosts; i++) {
		for (size_t k = 0; k < t->hosts[i].n_routes; k++) {
			const struct topo_route *r = t->hosts[i].routes[k];

			for (size_t p = 0; p < r->n_parts; p++) {
				if (r->parts[p].service == s)
					return true;
			}
		}
	}
	return false;
}

static void check_service(const struct topo *t, const struct topo_service *s, struct findings *out)
{
	struct str place = topocheck_service_place(&out->arena, s);

	if (topo_service(t, s->name) != s)
		findings_add(out, "service-twice", place,
			     "the same service is listed before; routes use the first entry");
	else if (!is_used(t, s))
		findings_add(out, "service-unused", place,
			     "no route sends requests to it: its upstreams get none");
	if (s->health_path.ptr[0] != '/')
		findings_add(out, "health-path", place,
			     "health checks need a path that begins with a slash; \"%.*s\" cannot "
			     "be sent",
			     STR_ARG(s->health_path));
}

static void check_document(const struct topocheck_env *env, struct findings *out)
{
	size_t row = (env->document_bytes + 2) / 3 * 4;

	if (env->row_bytes && row > env->row_bytes && !MUTANT(topocheck_any_row))
		findings_add(out, "row-too-long", STR_LIT("configuration"),
			     "it takes %zu bytes in base64, and a row of the store holds %zu", row,
			     env->row_bytes);
}

void topocheck_unread(struct str place, struct str name, struct findings *out)
{
	findings_add(out, "member-unread", place.len ? place : STR_LIT("configuration"),
		     "gateways do not read \"%.*s\"; a member that was meant has its default",
		     STR_ARG(name));
}

void topocheck_version(const struct topo *t, const struct topo *in_force, bool differs,
		       struct findings *out)
{
	if (t->version < in_force->version && !MUTANT(topocheck_any_version))
		findings_add(out, "version-older", STR_LIT("version"),
			     "%llu is below %llu in force: gateways leave it unused",
			     (unsigned long long)t->version, (unsigned long long)in_force->version);
	else if (t->version == in_force->version && differs)
		findings_add(out, "version-same", STR_LIT("version"),
			     "%llu is in force with other content: logs and metrics cannot tell "
			     "them apart",
			     (unsigned long long)t->version);
}

void topocheck(const struct topo *t, const struct topocheck_env *env, struct findings *out)
{
	check_document(env, out);
	for (size_t i = 0; i < t->n_hosts; i++) {
		check_host(t, i, out);
		for (size_t k = 0; k < t->hosts[i].n_routes; k++)
			check_route(&t->hosts[i], k, env, out);
	}
	for (size_t i = 0; i < t->n_services; i++)
		check_service(t, &t->services[i], out);
	topocheck_limits(t, env, out);
	topocheck_accounts(t, env, out);
}
