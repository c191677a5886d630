#include "accounts/account.h"

#include "base/mutant.h"

/* The index is at most half full, so that a lookup takes few steps. */
#define INDEX_SLOTS_PER_CREDENTIAL 2
/* Priorities of routes are below this. */
#define ROUTE_PRIORITIES 1024

static size_t index_slots(const struct topo *t)
{
	size_t n = 0;
	size_t slots = 1;

	for (size_t i = 0; i < t->n_accounts; i++)
		n += t->accounts[i].n_credentials;
	while (slots < n * INDEX_SLOTS_PER_CREDENTIAL)
		slots *= 2;
	return n ? slots : 0;
}

/* Compares in a time that does not depend on where the texts differ. */
static bool same_credential(struct str a, struct str b)
{
	unsigned char difference = 0;

	if (a.len != b.len)
		return false;
	for (size_t i = 0; i < a.len; i++)
		difference |= (unsigned char)(a.ptr[i] ^ b.ptr[i]);
	return !difference;
}

/* Returns the entry with the credential, or the unused one where it belongs. */
static struct topo_credential *find_entry(const struct topo *t, struct str credential)
{
	uint64_t hash = str_hash(credential);
	size_t mask = t->credential_slots - 1;
	size_t i = (size_t)hash & mask;

	while (t->credentials[i].account && (t->credentials[i].hash != hash ||
					     !same_credential(t->credentials[i].text, credential)))
		i = (i + 1) & mask;
	return &t->credentials[i];
}

static bool add_credentials(struct topo *t, const struct topo_account *account, struct err *err)
{
	for (size_t i = 0; i < account->n_credentials; i++) {
		struct str text = account->credentials[i];
		struct topo_credential *entry = find_entry(t, text);

		if (entry->account && entry->account != account && !MUTANT(account_shared))
			return err_set(err, ERR_INPUT,
				       "accounts %.*s and %.*s have a credential in common",
				       STR_ARG(entry->account->name), STR_ARG(account->name));
		*entry = (struct topo_credential){str_hash(text), text, account};
	}
	return true;
}

/* A name goes into a header of the request to the upstream. */
static bool check_name(const struct topo *t, size_t n, struct err *err)
{
	struct str name = t->accounts[n].name;
	bool valid = name.len > 0 && name.len <= ACCOUNT_MAX_NAME_BYTES;

	for (size_t i = 0; i < name.len; i++)
		valid = valid && (unsigned char)name.ptr[i] > ' ' && name.ptr[i] != 0x7f;
	if (!valid && !MUTANT(account_any_name))
		return err_set(err, ERR_INPUT, "account %zu: its name is no header value", n);
	for (size_t i = 0; i < n; i++) {
		if (str_eq(t->accounts[i].name, name))
			return err_set(err, ERR_INPUT, "two accounts are named %.*s",
				       STR_ARG(name));
	}
	return true;
}

bool account_index(struct topo *t, struct err *err)
{
	t->credential_slots = index_slots(t);
	t->credentials =
		arena_alloc(&t->arena, (t->credential_slots + 1) * sizeof(*t->credentials));
	for (size_t i = 0; i < t->n_accounts; i++) {
		if (!check_name(t, i, err) || !add_credentials(t, &t->accounts[i], err))
			return false;
	}
	return true;
}

static enum account_outcome find_account(const struct topo *t, const struct str *credentials,
					 size_t n, const struct topo_account **out)
{
	const struct topo_credential *entry;

	if (!n || (n == 1 && !credentials[0].len))
		return ACCOUNT_MISSING;
	if (n > 1 && !MUTANT(account_first_credential))
		return ACCOUNT_AMBIGUOUS;
	entry = t->credential_slots ? find_entry(t, credentials[0]) : NULL;
	if (!entry || !entry->account)
		return ACCOUNT_UNKNOWN;
	*out = entry->account;
	return ACCOUNT_ALLOWED;
}

struct account_check account_check(const struct topo *t, const struct topo_route *route,
				   const struct str *credentials, size_t n)
{
	struct account_check check = {ACCOUNT_NONE, NULL};

	if (!t->has_accounts)
		return check;
	check.outcome = find_account(t, credentials, n, &check.account);
	if (check.outcome != ACCOUNT_ALLOWED && (route->exempt || MUTANT(account_all_exempt)))
		check.outcome = ACCOUNT_EXEMPT;
	return check;
}

bool account_is_refused(enum account_outcome outcome)
{
	return outcome >= ACCOUNT_MISSING;
}

const char *account_outcome_name(enum account_outcome outcome)
{
	static const char *const names[] = {
		[ACCOUNT_NONE] = "no accounts",
		[ACCOUNT_ALLOWED] = "allowed",
		[ACCOUNT_EXEMPT] = "exempt",
		[ACCOUNT_MISSING] = "credential missing",
		[ACCOUNT_AMBIGUOUS] = "several credentials",
		[ACCOUNT_UNKNOWN] = "credential unknown",
	};

	return names[outcome];
}

uint32_t account_priority(const struct topo_account *account, const struct topo_route *route)
{
	if (!account || !account->has_priority || MUTANT(account_route_priority))
		return route->priority * ROUTE_PRIORITIES + route->priority;
	return account->priority * ROUTE_PRIORITIES + route->priority;
}

uint32_t account_whole_rate(const struct topo_account *account)
{
	if (account->rate <= 0)
		return 0;
	if (account->rate >= UINT32_MAX)
		return UINT32_MAX;
	return account->rate < 1 ? 1 : (uint32_t)account->rate;
}

bool account_is_home(const struct topo_account *account, const struct topo_route *route,
		     struct str region)
{
	return topo_is_home(route, region) &&
	       (!account || topo_allows_region(account->homes, account->n_homes, region) ||
		MUTANT(account_no_homes));
}
