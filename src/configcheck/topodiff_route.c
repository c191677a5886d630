/* Changes of one route's properties. */
#include "configcheck/topodiff.h"

#include <inttypes.h>

#include "base/mutant.h"

static const char *const kind_texts[] = {
	[TOPO_IDEMPOTENT] = "any number of times",
	[TOPO_ONCE] = "at most once",
	[TOPO_UPLOAD] = "at most once, large bodies",
};

struct route_change {
	struct topodiff *d;
	struct str place;
	struct str callers;
};

static void change(const struct route_change *c, const char *property, struct str before,
		   struct str after, struct str effect)
{
	if (str_eq(before, after))
		return;
	topodiff_add(c->d, (struct topodiff_change){
				   .kind = TOPODIFF_CHANGED,
				   .place = c->place,
				   .property = str_from(property),
				   .before = before,
				   .after = after,
				   .callers = c->callers,
				   .effect = effect,
			   });
}

static struct str time_text(struct arena *a, clk_ms t)
{
	return arena_printf(a, "%lld ms", (long long)t);
}

static void diff_times(const struct route_change *c, const struct topo_route *a,
		       const struct topo_route *b)
{
	struct arena *m = &c->d->arena;

	change(c, "timeout", time_text(m, a->timeout), time_text(m, b->timeout),
	       b->timeout < a->timeout
		       ? arena_printf(m, "requests without an answer after %lld ms fail",
				      (long long)b->timeout)
		       : arena_printf(m, "requests may wait up to %lld ms for an answer",
				      (long long)b->timeout));
	change(c, "target latency", time_text(m, a->target), time_text(m, b->target),
	       b->target < a->target
		       ? STR_LIT("requests go before others of the same rank earlier")
		       : STR_LIT("requests may wait longer behind others of the same rank"));
}

static void diff_numbers(const struct route_change *c, const struct topo_route *a,
			 const struct topo_route *b)
{
	struct arena *m = &c->d->arena;

	change(c, "priority", arena_printf(m, "%" PRIu32, a->priority),
	       arena_printf(m, "%" PRIu32, b->priority),
	       b->priority < a->priority
		       ? STR_LIT("under overload requests are served before more others")
		       : STR_LIT("under overload requests are refused for more others"));
	change(c, "attempts", arena_printf(m, "%" PRIu32, a->max_attempts),
	       arena_printf(m, "%" PRIu32, b->max_attempts),
	       b->max_attempts < a->max_attempts
		       ? STR_LIT("fewer requests survive an upstream that fails")
		       : STR_LIT("more requests survive an upstream that fails"));
	change(c, "execution", str_from(kind_texts[a->kind]), str_from(kind_texts[b->kind]),
	       topo_is_idempotent(b)
		       ? STR_LIT("a request may run more than once; callers must stand that")
		       : STR_LIT("a request that may have run is not sent again"));
}

/* ---- home regions --------------------------------------------------------------------------- */

struct str topodiff_regions_text(struct arena *a, const struct str *regions, size_t n)
{
	struct str list = STR_NULL;

	for (size_t i = 0; i < n; i++)
		list = arena_printf(a, "%.*s%s%.*s", STR_ARG(list), i ? ", " : "",
				    STR_ARG(regions[i]));
	return n ? list : STR_LIT("all regions");
}

static bool has_region(const struct str *regions, size_t n, struct str region)
{
	for (size_t i = 0; i < n; i++) {
		if (str_eq(regions[i], region))
			return true;
	}
	return false;
}

bool topodiff_same_regions(const struct str *a, size_t n_a, const struct str *b, size_t n_b)
{
	if (!n_a != !n_b)
		return false;
	for (size_t i = 0; i < n_a; i++) {
		if (!has_region(b, n_b, a[i]))
			return false;
	}
	for (size_t i = 0; i < n_b; i++) {
		if (!has_region(a, n_a, b[i]))
			return false;
	}
	return true;
}

static struct str lost_homes(struct arena *m, const struct topo_route *a,
			     const struct topo_route *b)
{
	struct str list = STR_NULL;

	for (size_t i = 0; b->n_homes && i < a->n_homes; i++) {
		if (!has_region(b->homes, b->n_homes, a->homes[i]))
			list = arena_printf(m, "%.*s%s%.*s", STR_ARG(list), list.len ? ", " : "",
					    STR_ARG(a->homes[i]));
	}
	return list;
}

static void diff_homes(const struct route_change *c, const struct topo_route *a,
		       const struct topo_route *b)
{
	struct arena *m = &c->d->arena;
	struct str lost = lost_homes(m, a, b);
	struct str effect = STR_LIT("more regions may serve and store these requests");

	if (topodiff_same_regions(a->homes, a->n_homes, b->homes, b->n_homes) ||
	    MUTANT(topodiff_no_homes))
		return;
	if (lost.len)
		effect = arena_printf(m,
				      "requests that enter in %.*s go to another region; what was "
				      "stored there stays there",
				      STR_ARG(lost));
	else if (!a->n_homes)
		effect = arena_printf(m, "requests that enter outside %.*s go there",
				      STR_ARG(topodiff_regions_text(m, b->homes, b->n_homes)));
	change(c, "home regions", topodiff_regions_text(m, a->homes, a->n_homes),
	       topodiff_regions_text(m, b->homes, b->n_homes), effect);
}

/* ---- services ------------------------------------------------------------------------------- */

/* Returns the share, from 0 to 1, of a route's requests that go to a service. */
static double share_of(const struct topo_route *r, struct str service)
{
	double sum = 0;
	double own = 0;

	for (size_t i = 0; i < r->n_parts; i++) {
		sum += r->parts[i].weight;
		if (str_eq(r->parts[i].service->name, service))
			own += r->parts[i].weight;
	}
	return sum > 0 ? own / sum : 0;
}

/* Reports a service's new share; each service once, also if several parts name it. */
static void diff_share(const struct route_change *c, const struct topo_route *a,
		       const struct topo_route *b, const struct topo_route *of, size_t at)
{
	struct arena *m = &c->d->arena;
	struct str name = of->parts[at].service->name;
	double before = share_of(a, name);
	double after = share_of(b, name);

	for (size_t i = 0; i < at; i++) {
		if (str_eq(of->parts[i].service->name, name))
			return;
	}
	if ((of == b && before > 0) || MUTANT(topodiff_no_shares))
		return;
	change(c, "share", arena_printf(m, "%.4g %% to %.*s", 100 * before, STR_ARG(name)),
	       arena_printf(m, "%.4g %% to %.*s", 100 * after, STR_ARG(name)),
	       after < before ? arena_printf(m, "%.*s gets fewer of these requests", STR_ARG(name))
			      : arena_printf(m, "%.*s gets more of these requests", STR_ARG(name)));
}

void topodiff_route(struct topodiff *d, const struct topo_host *host_before,
		    const struct topo_route *before, const struct topo_host *host_after,
		    const struct topo_route *after)
{
	struct route_change c = {
		.d = d,
		.place = topodiff_route_place(d, host_after, after),
		.callers = topodiff_route_callers(d, host_after, after),
	};

	change(&c, "name", before->name, after->name,
	       STR_LIT("none for callers; logs and metrics have the new name"));
	diff_times(&c, before, after);
	diff_numbers(&c, before, after);
	diff_homes(&c, before, after);
	change(&c, "credential", before->exempt ? STR_LIT("not needed") : STR_LIT("of an account"),
	       after->exempt ? STR_LIT("not needed") : STR_LIT("of an account"),
	       after->exempt ? STR_LIT("anybody may send these requests")
			     : STR_LIT("requests without a credential are answered with 401"));
	/* Services of the former route first, then those that only the new one has. */
	for (size_t i = 0; i < before->n_parts; i++)
		diff_share(&c, before, after, before, i);
	for (size_t i = 0; i < after->n_parts; i++)
		diff_share(&c, before, after, after, i);
}
