/*
 * The client account of a forwarded request: finds it by the credential of the request, checks it
 * again when the configuration has changed, and names it to the upstream (see accounts/account.h).
 */
#ifndef REQUEST_FORWARD_ACCOUNT_H
#define REQUEST_FORWARD_ACCOUNT_H

#include "accounts/account.h"
#include "connection/ingress.h"
#include "connection/upconn.h"
#include "process/platform.h"

/* Account of one request, with the configuration that it follows from. All zero: not checked. */
struct forward_account {
	struct topo *topo; /* a reference, NULL before the first check */
	struct account_check check;
};

/*
 * Checks the request against a configuration; returns false if it is to be refused with 401.
 * Repeated calls are cheap while the configuration is the same.
 */
bool forward_account_check(struct forward_account *fa, struct topo *topo,
			   const struct topo_route *route, const struct platform_headers *names,
			   const struct ingress_request *req);
void forward_account_release(struct forward_account *fa);

/* Whether the caller's header must not reach the upstream. */
bool forward_account_drops(const struct forward_account *fa, const struct platform_headers *names,
			   struct str name);
/* Stores the header that names the account to the upstream; returns the number of headers, 0 or 1.
 */
size_t forward_account_header(const struct forward_account *fa,
			      const struct platform_headers *names, struct arena *a,
			      struct upconn_header *out);
/* Returns the name of the account, "-" if there is none. */
struct str forward_account_name(const struct forward_account *fa);

#endif
