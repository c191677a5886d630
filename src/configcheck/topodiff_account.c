/* Changes of client accounts. Credentials are counted, not shown. */
#include "configcheck/topodiff.h"

#include <inttypes.h>

#include "base/mutant.h"

static const struct topo_account *find_account(const struct topo *t, struct str name)
{
	for (size_t i = 0; i < t->n_accounts; i++) {
		if (str_eq(t->accounts[i].name, name))
			return &t->accounts[i];
	}
	return NULL;
}

static struct str place_of(struct topodiff *d, const struct topo_account *a)
{
	return arena_printf(&d->arena, "account %.*s", STR_ARG(a->name));
}

static void add(struct topodiff *d, enum topodiff_kind kind, const struct topo_account *a,
		const char *effect)
{
	topodiff_add(d, (struct topodiff_change){
				.kind = kind,
				.place = place_of(d, a),
				.callers = place_of(d, a),
				.effect = str_from(effect),
			});
}

static void change(struct topodiff *d, const struct topo_account *a, const char *property,
		   struct str before, struct str after, struct str effect)
{
	if (str_eq(before, after))
		return;
	topodiff_add(d, (struct topodiff_change){
				.kind = TOPODIFF_CHANGED,
				.place = place_of(d, a),
				.property = str_from(property),
				.before = before,
				.after = after,
				.callers = place_of(d, a),
				.effect = effect,
			});
}

/* ---- credentials ---------------------------------------------------------------------------- */

static bool holds(const struct topo_account *a, struct str credential)
{
	for (size_t i = 0; i < a->n_credentials; i++) {
		if (str_eq(a->credentials[i], credential))
			return true;
	}
	return false;
}

/* Returns how many credentials of `a` the other account lacks. */
static size_t count_lacking(const struct topo_account *a, const struct topo_account *other)
{
	size_t n = 0;

	for (size_t i = 0; i < a->n_credentials; i++)
		n += !holds(other, a->credentials[i]);
	return n;
}

static void diff_credentials(struct topodiff *d, const struct topo_account *a,
			     const struct topo_account *b)
{
	struct arena *m = &d->arena;
	size_t withdrawn = count_lacking(a, b);
	size_t added = count_lacking(b, a);

	if ((!withdrawn && !added) || MUTANT(topodiff_no_credentials))
		return;
	topodiff_add(d, (struct topodiff_change){
				.kind = TOPODIFF_CHANGED,
				.place = place_of(d, b),
				.property = STR_LIT("credentials"),
				.before = arena_printf(m, "%zu", a->n_credentials),
				.after = arena_printf(m, "%zu", b->n_credentials),
				.callers = place_of(d, b),
				.effect = arena_printf(
					m, "%zu withdrawn, which are answered with 401; %zu new",
					withdrawn, added),
			});
}

/* ---- other properties ----------------------------------------------------------------------- */

static struct str rate_text(struct arena *m, const struct topo_account *a)
{
	if (a->rate <= 0)
		return STR_LIT("not limited");
	return arena_printf(m, "%g a second and %g at once", a->rate, a->burst);
}

static struct str priority_text(struct arena *m, const struct topo_account *a)
{
	return a->has_priority ? arena_printf(m, "%" PRIu32, a->priority)
			       : STR_LIT("that of the route");
}

static void diff_account(struct topodiff *d, const struct topo_account *a,
			 const struct topo_account *b)
{
	struct arena *m = &d->arena;

	diff_credentials(d, a, b);
	change(d, b, "priority", priority_text(m, a), priority_text(m, b),
	       STR_LIT("its requests are served before other ones than now"));
	change(d, b, "allowance", rate_text(m, a), rate_text(m, b),
	       b->rate > 0 ? STR_LIT("requests over the new allowance are answered with 429")
			   : STR_LIT("no request is refused for the account's rate"));
	if (!topodiff_same_regions(a->homes, a->n_homes, b->homes, b->n_homes))
		change(d, b, "home regions", topodiff_regions_text(m, a->homes, a->n_homes),
		       topodiff_regions_text(m, b->homes, b->n_homes),
		       STR_LIT("its requests are served and stored in other regions"));
}

static void diff_list(struct topodiff *d, const struct topo *before, const struct topo *after)
{
	if (before->has_accounts == after->has_accounts)
		return;
	topodiff_add(d, (struct topodiff_change){
				.kind = after->has_accounts ? TOPODIFF_ADDED : TOPODIFF_REMOVED,
				.place = STR_LIT("accounts"),
				.callers = STR_LIT("all callers"),
				.effect = after->has_accounts
						  ? STR_LIT("requests without a credential are "
							    "answered with 401")
						  : STR_LIT("no credential is needed any more"),
			});
}

void topodiff_accounts(struct topodiff *d, const struct topo *before, const struct topo *after)
{
	diff_list(d, before, after);
	for (size_t i = 0; i < after->n_accounts; i++) {
		const struct topo_account *b = &after->accounts[i];
		const struct topo_account *a = find_account(before, b->name);

		if (a)
			diff_account(d, a, b);
		else
			add(d, TOPODIFF_ADDED, b, "requests with its credentials are accepted");
	}
	for (size_t i = 0; i < before->n_accounts; i++) {
		const struct topo_account *a = &before->accounts[i];

		if (!find_account(after, a->name))
			add(d, TOPODIFF_REMOVED, a,
			    "requests with its credentials are answered with 401");
	}
}
