/* Client accounts: those that cannot be used, and limits that contradict each other. */
#include "configcheck/topocheck.h"

#include <inttypes.h>

#include "accounts/account.h"
#include "base/mutant.h"

static struct str account_place(struct arena *a, const struct topo_account *account)
{
	return arena_printf(a, "account %.*s", STR_ARG(account->name));
}

/* ---- home regions --------------------------------------------------------------------------- */

/* Whether a region may serve requests of the account to the route. Only known regions count. */
static bool has_common_home(const struct topo_account *account, const struct topo_route *r,
			    const struct topocheck_env *env)
{
	if (!account->n_homes || !r->n_homes || MUTANT(topocheck_account_anywhere))
		return true;
	for (size_t i = 0; i < account->n_homes; i++) {
		if (topo_is_home(r, account->homes[i]) &&
		    (!env->n_regions || topocheck_is_region(env, account->homes[i])))
			return true;
	}
	return false;
}

static void check_routes(const struct topo *t, const struct topo_account *account,
			 const struct topocheck_env *env, struct str place, struct findings *out)
{
	const struct topo_route *first = NULL;
	size_t n = 0;

	for (size_t i = 0; i < t->n_hosts; i++) {
		for (size_t k = 0; k < t->hosts[i].n_routes; k++) {
			const struct topo_route *r = t->hosts[i].routes[k];

			if (has_common_home(account, r, env))
				continue;
			first = first ? first : r;
			n++;
		}
	}
	if (n)
		findings_add(out, "account-without-home", place,
			     "no region may serve its requests to %zu routes, the first is %.*s "
			     "(%.*s): they are refused",
			     n, STR_ARG(first->name), STR_ARG(first->prefix));
}

static void check_homes(const struct topo_account *account, const struct topocheck_env *env,
			struct str place, struct findings *out)
{
	for (size_t i = 0; env->n_regions && i < account->n_homes; i++) {
		if (!topocheck_is_region(env, account->homes[i]))
			findings_add(out, "home-unknown", place,
				     "the deployment has no region \"%.*s\"",
				     STR_ARG(account->homes[i]));
	}
}

/* ---- allowances ----------------------------------------------------------------------------- */

static void check_allowance(const struct topo_account *account, struct str place,
			    struct findings *out)
{
	uint32_t whole = account_whole_rate(account);

	if (account->rate <= 0 && account->burst > 0)
		findings_add(out, "burst-without-rate", place,
			     "without a rate the account is not limited: a burst of %g has no "
			     "effect",
			     account->burst);
	if (account->rate > 0 && account->rate != (double)whole && !MUTANT(topocheck_any_rate))
		findings_add(out, "rate-not-whole", place, "%g requests a second count as %" PRIu32,
			     account->rate, whole);
}

static void check_account(const struct topo *t, const struct topo_account *account,
			  const struct topocheck_env *env, struct findings *out)
{
	struct str place = account_place(&out->arena, account);

	if (!account->n_credentials && !MUTANT(topocheck_no_credentials))
		findings_add(out, "account-without-credentials", place,
			     "it has no credential, so no request can belong to it");
	check_homes(account, env, place, out);
	check_routes(t, account, env, place, out);
	check_allowance(account, place, out);
}

/* Routes that need no credential, where no account is configured. */
static void check_exempt(const struct topo *t, struct findings *out)
{
	for (size_t i = 0; i < t->n_hosts; i++) {
		const struct topo_host *h = &t->hosts[i];

		for (size_t k = 0; k < h->n_routes; k++) {
			if (h->routes[k]->exempt)
				findings_add(out, "exempt-unused",
					     topocheck_route_place(&out->arena, h, h->routes[k]),
					     "no accounts are configured: no route needs a "
					     "credential");
		}
	}
}

void topocheck_accounts(const struct topo *t, const struct topocheck_env *env, struct findings *out)
{
	if (!t->has_accounts) {
		check_exempt(t, out);
		return;
	}
	if (!t->n_accounts)
		findings_add(out, "no-accounts", STR_LIT("accounts"),
			     "the list is empty: every request to a route that is not exempt is "
			     "answered with 401");
	for (size_t i = 0; i < t->n_accounts; i++)
		check_account(t, &t->accounts[i], env, out);
}
