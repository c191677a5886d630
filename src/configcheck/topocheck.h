/*
 * Check of a configuration before it is sent: entries that no request or upstream can ever use, and
 * limits that contradict each other. The configuration was accepted by the decoder, so gateways
 * would bring it into force. Decides from its arguments alone.
 */
#ifndef CONFIGCHECK_TOPOCHECK_H
#define CONFIGCHECK_TOPOCHECK_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clk.h"
#include "configcheck/findings.h"
#include "version/topo.h"

/* A registered upstream. */
struct topocheck_upstream {
	struct str service;
	struct str region; /* empty if the settings do not list its failure domain */
	uint32_t slots;
};

/* What is known besides the configuration. Checks that need more are left out. */
struct topocheck_env {
	const struct str *regions; /* of the deployment; none: not known */
	size_t n_regions;
	bool upstreams_known;
	const struct topocheck_upstream *upstreams;
	size_t n_upstreams;
	size_t body_memory_bytes; /* memory of a gateway for request bodies, 0: not known */
	size_t max_sent_bytes;	  /* largest body that a gateway sends to an upstream */
	clk_ms retry_min_left;	  /* a request with less time left is not sent again */
	size_t document_bytes;	  /* length of the configuration */
	size_t row_bytes;	  /* longest value of a row of the store in base64, 0: not known */
};

void topocheck(const struct topo *t, const struct topocheck_env *env, struct findings *out);

/*
 * Findings about the version of a configuration beside the one in force; `differs`: they are not
 * the same.
 */
void topocheck_version(const struct topo *t, const struct topo *in_force, bool differs,
		       struct findings *out);

/* Finding about a member that gateways do not read; `place`: the entry that has it, or empty. */
void topocheck_unread(struct str place, struct str name, struct findings *out);

/* Internal: limits of routes, services and callers; topocheck() calls it. */
void topocheck_limits(const struct topo *t, const struct topocheck_env *env, struct findings *out);
/* Internal: client accounts; topocheck() calls it. */
void topocheck_accounts(const struct topo *t, const struct topocheck_env *env,
			struct findings *out);
/* Internal: whether the deployment has this region, as far as known. */
bool topocheck_is_region(const struct topocheck_env *env, struct str region);
/* Internal: names an entry in findings. Strings live in `a`. */
struct str topocheck_route_place(struct arena *a, const struct topo_host *h,
				 const struct topo_route *r);
struct str topocheck_service_place(struct arena *a, const struct topo_service *s);
/* Internal: the number of upstreams of a service that may serve a route. */
size_t topocheck_count_upstreams(const struct topocheck_env *env, const struct topo_route *r,
				 const struct topo_service *s);

#endif
