/*
 * Reasons to refuse a plan. Each refusal names the guarantee that would break and the smallest
 * change that makes the plan possible. The guarantees are numbered in the texts: P1 each key has
 * one owner, P3 a region keeps enough slots, P5 homed routes can be served in a home region, P10
 * an upstream is drained before it is removed.
 */
#include <inttypes.h>
#include <string.h>

#include "base/mutant.h"
#include "version/config.h"
#include "version/plan_priv.h"

/*
 * Share of a service's configured slots that must stay usable in each region. A region has two
 * failure domains with half of the upstreams each, and must carry its load after the loss of one.
 */
#define MIN_CAPACITY_PERCENT 50

struct plan_capacity *plan_capacities(struct arena *arena, const Bc__Config *c, size_t *n)
{
	struct plan_capacity *list;
	size_t total = 0;

	for (size_t i = 0; i < c->n_services; i++)
		total += c->services[i]->n_regions;
	list = arena_alloc(arena, total * sizeof(*list));
	*n = 0;
	for (size_t i = 0; i < c->n_services; i++) {
		const Bc__Service *s = c->services[i];

		for (size_t j = 0; j < s->n_regions; j++) {
			struct str id = str_from(s->id);
			struct str region = str_from(s->regions[j]);

			list[(*n)++] = (struct plan_capacity){
				.service = s->id,
				.region = s->regions[j],
				.configured = config_slots(c, id, region),
				.usable = config_usable_slots(c, id, region),
			};
		}
	}
	return list;
}

const struct plan_capacity *plan_capacity_find(const struct plan_capacity *list, size_t n,
					       const char *service, const char *region)
{
	for (size_t i = 0; i < n; i++) {
		if (strcmp(list[i].service, service) == 0 && strcmp(list[i].region, region) == 0)
			return &list[i];
	}
	return NULL;
}

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

/* ---- capacity ---- */

/*
 * Returns a remedy for missing slots: a failure domain or an upstream that is out of service and
 * can be brought back, otherwise the number of slots to add or to keep in service.
 */
static struct str capacity_remedy(const struct plan_change *ch, const char *service,
				  const char *region, uint64_t missing)
{
	const Bc__Config *c = ch->before;

	for (size_t i = 0; i < c->n_failure_domains; i++) {
		const Bc__FailureDomain *fd = c->failure_domains[i];
		const Bc__FailureDomain *now = config_failure_domain(ch->after, str_from(fd->id));

		if (fd->out && now && now->out && strcmp(fd->region, region) == 0)
			return arena_printf(ch->arena, "plan `bring-back %s` first", fd->id);
	}
	for (size_t i = 0; i < c->n_upstreams; i++) {
		const Bc__Upstream *u = c->upstreams[i];

		if (strcmp(u->service, service) == 0 &&
		    strcmp(config_upstream_region(c, u), region) == 0 &&
		    u->intent == BC__UPSTREAM_INTENT__DRAINING)
			return arena_printf(ch->arena, "plan `bring-in %s` first", u->id);
	}
	if (ch->intent->verb == PLAN_TAKE_OUT)
		return arena_printf(ch->arena,
				    "add upstreams with %" PRIu64
				    " slots in another failure domain "
				    "of %s first",
				    missing, region);
	return arena_printf(ch->arena,
			    "leave upstreams with %" PRIu64 " slots of %s in service in %s",
			    missing, service, region);
}

static struct str check_capacity(const struct plan_change *ch)
{
	/* Mutant: capacity is not checked. */
	if (MUTANT(plan_skip_capacity))
		return STR_NULL;
	for (size_t i = 0; i < ch->n_cap_after; i++) {
		const struct plan_capacity *now = &ch->cap_after[i];
		const struct plan_capacity *old = plan_capacity_find(
			ch->cap_before, ch->n_cap_before, now->service, now->region);
		uint64_t configured;
		uint64_t need;

		if (!old || now->usable >= old->usable)
			continue;
		configured = max_u64(old->configured, now->configured);
		need = (configured * MIN_CAPACITY_PERCENT + 99) / 100;
		if (now->usable >= need)
			continue;
		return arena_printf(
			ch->arena,
			"P3 would break: service '%s' would keep %" PRIu64 " of %" PRIu64
			" slots in region '%s', and bears its load with %" PRIu64 "; %s",
			now->service, now->usable, configured, now->region, need,
			capacity_remedy(ch, now->service, now->region, need - now->usable).ptr);
	}
	return STR_NULL;
}

/* ---- home regions ---- */

static const Bc__Route *route_by_prefix(const Bc__Config *c, const char *prefix)
{
	for (size_t i = 0; i < c->n_routes; i++) {
		if (strcmp(c->routes[i]->prefix, prefix) == 0)
			return c->routes[i];
	}
	return NULL;
}

enum home_state { HOME_UNRESTRICTED, HOME_NONE_ALLOWED, HOME_SERVED, HOME_NOT_SERVED };

/*
 * Returns whether home regions limit the route for the account and, if so, whether the service has
 * a region among them and usable slots in one.
 */
static enum home_state home_state_of(const Bc__Config *c, const struct plan_capacity *cap, size_t n,
				     const Bc__Route *r, struct str account)
{
	const Bc__Service *s = config_service(c, str_from(r->service));
	enum home_state state = HOME_NONE_ALLOWED;

	for (size_t i = 0; s && i < s->n_regions; i++) {
		const struct plan_capacity *here = plan_capacity_find(cap, n, s->id, s->regions[i]);
		bool homed;

		if (!config_home_allows(c, r, account, str_from(s->regions[i]), &homed))
			continue;
		if (!homed)
			return HOME_UNRESTRICTED;
		if (here && here->usable > 0)
			return HOME_SERVED;
		state = HOME_NOT_SERVED;
	}
	return state;
}

static struct str check_route_home(const struct plan_change *ch, const Bc__Route *r,
				   struct str account)
{
	const Bc__Route *old = route_by_prefix(ch->before, r->prefix);

	if (home_state_of(ch->after, ch->cap_after, ch->n_cap_after, r, account) != HOME_NOT_SERVED)
		return STR_NULL;
	/* A plan is not refused for a route that is already without a served home region. */
	if (old && home_state_of(ch->before, ch->cap_before, ch->n_cap_before, old, account) ==
			   HOME_NOT_SERVED)
		return STR_NULL;
	return arena_printf(ch->arena,
			    "P5 would break: route '%s'%s%.*s would have no home region with an "
			    "upstream of '%s' in service; keep one of its upstreams in service "
			    "there or add a home region first",
			    r->prefix, account.len ? " for account " : "", STR_ARG(account),
			    r->service);
}

static struct str check_homes(const struct plan_change *ch)
{
	const Bc__Config *c = ch->after;

	/* Mutant: home regions are not checked. */
	if (MUTANT(plan_skip_homes))
		return STR_NULL;
	for (size_t i = 0; i < c->n_routes; i++) {
		struct str refusal = check_route_home(ch, c->routes[i], STR_NULL);

		for (size_t j = 0; j < c->n_account_homes && !refusal.len; j++)
			refusal = check_route_home(ch, c->routes[i],
						   str_from(c->account_homes[j]->account));
		if (refusal.len)
			return refusal;
	}
	return STR_NULL;
}

/* ---- changes that a file must not make ---- */

/*
 * Refuses changes of a keyed service that would give keys a second owner: fencing does not work
 * between brokers of different regions, nor across a change of the number of partitions.
 */
static struct str check_service(const struct plan_change *ch, const Bc__Service *old)
{
	const Bc__Service *now = config_service(ch->after, str_from(old->id));

	if (!now || (!old->keyed && !now->keyed))
		return STR_NULL;
	if (now->keyed != old->keyed || now->partitions != old->partitions)
		return arena_printf(ch->arena,
				    "P1 would break: service '%s' cannot change `keyed` or "
				    "`partitions` while it is in use; add a service with another "
				    "id and move its routes",
				    old->id);
	for (uint32_t p = 0; p < old->partitions; p++) {
		const char *from = config_partition_region(ch->before, old, p);
		const char *to = config_partition_region(ch->after, now, p);

		if (strcmp(from, to) != 0)
			return arena_printf(
				ch->arena,
				"P1 would break: partition %u of service '%s' would move from "
				"region '%s' to '%s'; keep its regions and region_weights, or add "
				"a service with another id",
				p, old->id, from, to);
	}
	return STR_NULL;
}

static struct str check_kept_upstream(const struct plan_change *ch, const Bc__Upstream *old,
				      const Bc__Upstream *now)
{
	if (strcmp(old->service, now->service) == 0 && strcmp(old->ip, now->ip) == 0 &&
	    old->port == now->port && old->checks_grants == now->checks_grants &&
	    strcmp(config_upstream_region(ch->before, old),
		   config_upstream_region(ch->after, now)) == 0) {
		if (now->intent == BC__UPSTREAM_INTENT__DEAD && now->intent != old->intent)
			return arena_printf(ch->arena,
					    "P1 needs an explicit statement that '%s' is dead; "
					    "plan `declare-dead %s` and leave it out of the file",
					    old->id, old->id);
		return STR_NULL;
	}
	return arena_printf(ch->arena,
			    "P1 would break: upstream '%s' cannot change service, address, region "
			    "or checks_grants, since routers would mix the old and the new one; "
			    "add it with another id, then drain and remove '%s'",
			    old->id, old->id);
}

/* Returns how many partitions and split-off keys the upstream owns in the assignments given to the
 * plan. */
static size_t owned_units(const struct plan_change *ch, uint32_t num)
{
	size_t owned = 0;

	for (size_t i = 0; i < ch->in->n_assigns; i++) {
		const Bc__Assign *a = ch->in->assigns[i];

		for (size_t j = 0; j < a->n_owners; j++)
			owned += a->owners[j]->upstream == num;
		for (size_t j = 0; j < a->n_hot; j++)
			owned += a->hot[j]->upstream == num;
	}
	return owned;
}

static struct str check_removed_upstream(const struct plan_change *ch, const Bc__Upstream *old)
{
	size_t owned = owned_units(ch, old->num);

	if (old->intent == BC__UPSTREAM_INTENT__IN)
		return arena_printf(ch->arena,
				    "P10 would break: upstream '%s' is in service and would be "
				    "removed; plan `drain %s` first",
				    old->id, old->id);
	if (owned)
		return arena_printf(ch->arena,
				    "P1 would break: upstream '%s' still owns %zu partitions or "
				    "keys; wait until they have moved and plan again",
				    old->id, owned);
	return STR_NULL;
}

static struct str check_config_file(const struct plan_change *ch)
{
	/* Mutant: changed services and changed or removed upstreams in a file are not checked. */
	if (ch->intent->verb != PLAN_APPLY || MUTANT(plan_skip_identity))
		return STR_NULL;
	for (size_t i = 0; i < ch->before->n_services; i++) {
		struct str refusal = check_service(ch, ch->before->services[i]);

		if (refusal.len)
			return refusal;
	}
	for (size_t i = 0; i < ch->before->n_upstreams; i++) {
		const Bc__Upstream *old = ch->before->upstreams[i];
		const Bc__Upstream *now = config_index_num(ch->after_index, old->num);
		struct str refusal =
			now ? check_kept_upstream(ch, old, now) : check_removed_upstream(ch, old);

		if (refusal.len)
			return refusal;
	}
	return STR_NULL;
}

struct str plan_refusal(const struct plan_change *ch)
{
	struct str refusal;

	/* Declaring an upstream dead removes no capacity that still exists. */
	if (ch->intent->verb == PLAN_DECLARE_DEAD)
		return STR_NULL;
	refusal = check_config_file(ch);
	/* Capacity comes before home regions: if both fail, the capacity remedy names what to bring
	 * back. */
	if (!refusal.len)
		refusal = check_capacity(ch);
	if (!refusal.len)
		refusal = check_homes(ch);
	return refusal;
}
