/*
 * Client accounts: which account a request belongs to, and whether it is allowed. The module does
 * no I/O. Its result follows from one version of the configuration, so a request that waited is
 * checked again against the version in force then.
 */
#ifndef ACCOUNTS_ACCOUNT_H
#define ACCOUNTS_ACCOUNT_H

#include <stdbool.h>
#include <stddef.h>

#include "base/err.h"
#include "version/topo.h"

/* Longest name of an account: it is a header value, and part of log lines. */
#define ACCOUNT_MAX_NAME_BYTES 200

enum account_outcome {
	ACCOUNT_NONE,	   /* no accounts are configured: nothing is checked */
	ACCOUNT_ALLOWED,   /* an account holds the credential */
	ACCOUNT_EXEMPT,	   /* the route needs no credential; the request belongs to no account */
	ACCOUNT_MISSING,   /* refused: no credential, or an empty one */
	ACCOUNT_AMBIGUOUS, /* refused: more than one credential */
	ACCOUNT_UNKNOWN,   /* refused: no account holds the credential */
};

struct account_check {
	enum account_outcome outcome;
	const struct topo_account *account; /* NULL unless ACCOUNT_ALLOWED */
};

/*
 * Builds the index of credentials of a configuration. Sets `err` and returns false if two accounts
 * have the same name or share a credential, or if a name cannot be a header value.
 */
bool account_index(struct topo *t, struct err *err);

/*
 * Returns the account of a request to the route, and whether it is allowed. `credentials` has the
 * values of all headers of the request that may name one. The cost does not depend on the number
 * of accounts.
 */
struct account_check account_check(const struct topo *t, const struct topo_route *route,
				   const struct str *credentials, size_t n);
bool account_is_refused(enum account_outcome outcome);
/* Returns the outcome in words, for the log. */
const char *account_outcome_name(enum account_outcome outcome);

/*
 * Returns the priority of a request, lower is served first: that of the account, then that of the
 * route. The route's stands in for that of an account without one; `account` may be NULL.
 */
uint32_t account_priority(const struct topo_account *account, const struct topo_route *route);
/* Returns the rate of the account's allowance in whole requests, at least 1; 0: not limited. */
uint32_t account_whole_rate(const struct topo_account *account);
/* Whether the region may serve the request: both lists of home regions bind. */
bool account_is_home(const struct topo_account *account, const struct topo_route *route,
		     struct str region);

#endif
