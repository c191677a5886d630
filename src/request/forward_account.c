#include "request/forward_account.h"

#include "base/mutant.h"

/* Two credentials are as ambiguous as more. */
#define MAX_CREDENTIALS 2

/* Stores the values of the headers that may name an account; returns their number. */
static size_t read_credentials(const struct platform_headers *names,
			       const struct ingress_request *req, struct str out[MAX_CREDENTIALS])
{
	size_t n = 0;

	for (size_t i = 0; i < req->n_headers && n < MAX_CREDENTIALS; i++) {
		if (str_eq_cstr(req->headers[i].name, names->credential))
			out[n++] = req->headers[i].value;
	}
	return n;
}

bool forward_account_check(struct forward_account *fa, struct topo *topo,
			   const struct topo_route *route, const struct platform_headers *names,
			   const struct ingress_request *req)
{
	struct str credentials[MAX_CREDENTIALS];

	if (fa->topo != topo) {
		const struct topo_route *now = topo_match(topo, req->host, req->path);
		size_t n = read_credentials(names, req, credentials);

		topo_ref(topo);
		forward_account_release(fa);
		fa->topo = topo;
		fa->check = account_check(topo, now ? now : route, credentials, n);
	}
	return !account_is_refused(fa->check.outcome);
}

void forward_account_release(struct forward_account *fa)
{
	if (fa->topo)
		topo_unref(fa->topo);
	*fa = (struct forward_account){0};
}

bool forward_account_drops(const struct forward_account *fa, const struct platform_headers *names,
			   struct str name)
{
	if (fa->check.outcome == ACCOUNT_NONE)
		return false;
	return (str_eq_cstr(name, names->credential) && !MUTANT(forward_pass_credential)) ||
	       (str_eq_cstr(name, names->account) && !MUTANT(forward_pass_account));
}

size_t forward_account_header(const struct forward_account *fa,
			      const struct platform_headers *names, struct arena *a,
			      struct upconn_header *out)
{
	if (!fa->check.account)
		return 0;
	*out = (struct upconn_header){str_from(names->account),
				      arena_str(a, fa->check.account->name)};
	return 1;
}

struct str forward_account_name(const struct forward_account *fa)
{
	return fa->check.account ? fa->check.account->name : STR_LIT("-");
}
