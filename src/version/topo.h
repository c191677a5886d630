/*
 * Routing tables of a gateway, made from one version of the operators' configuration: hosts,
 * routes, services and limits. The platform driver builds a struct topo, which does not change
 * afterwards. It is reference-counted: a request is handled to its end with the version that it was
 * routed by.
 */
#ifndef VERSION_TOPO_H
#define VERSION_TOPO_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/clk.h"
#include "base/str.h"

struct topo_service {
	struct str name;
	struct str health_path;	  /* path of health checks */
	uint32_t max_connections; /* to one upstream, from all callers together */
	clk_ms cold_duration;	  /* how long an upstream stays cold after its start */
	double cold_per_second;	  /* requests per second that a cold upstream can take */
	bool keyed; /* an upstream runs a request only while it has a lease of the request's key */
};

/* How often an upstream may execute a request of the route. */
enum topo_kind {
	TOPO_IDEMPOTENT, /* any number of times */
	TOPO_ONCE,	 /* at most once */
	TOPO_UPLOAD,	 /* at most once, with a large body */
};

/* Share of a route's traffic that goes to one service. A route without a split has one share. */
struct topo_traffic_share {
	const struct topo_service *service;
	double weight; /* relative to the other shares of the route, above 0 */
};

struct topo_route {
	struct str name;
	struct str prefix;
	enum topo_kind kind;
	clk_ms timeout;	       /* until a request without an answer fails */
	clk_ms target;	       /* latency objective */
	uint32_t priority;     /* 0 is the highest */
	uint32_t max_attempts; /* upstreams that one request may be sent to */
	const struct topo_traffic_share *parts;
	size_t n_parts;
	const struct str *homes; /* regions that may serve the route; all if the list is empty */
	size_t n_homes;
	bool exempt; /* open to requests without a credential of a client account */
};

/* Client account: whose requests are allowed, how many, and where they may be served. */
struct topo_account {
	struct str name;
	uint64_t id; /* hash of the name */
	const struct str *credentials;
	size_t n_credentials;
	bool has_priority;
	uint32_t priority;	 /* comes before that of the route, 0 is the highest */
	double rate;		 /* requests per second over all gateways, 0: not limited */
	double burst;		 /* requests above the rate at once */
	const struct str *homes; /* regions that may serve the account; all if the list is empty */
	size_t n_homes;
};

/* Entry of the index of credentials, see account_index(). */
struct topo_credential {
	uint64_t hash;
	struct str text;
	const struct topo_account *account; /* NULL: unused entry */
};

struct topo_host {
	struct str name;
	const struct topo_route **routes; /* longest prefix first */
	size_t n_routes;
};

struct topo_limits {
	size_t max_header_bytes;
	size_t max_body_bytes;
	clk_ms header_timeout; /* until the whole request head must have arrived */
	clk_ms idle_timeout;   /* of a connection between requests */
};

struct topo {
	struct arena arena; /* memory of hosts, routes and services */
	uint32_t refs;	    /* requests that use this version */
	bool retired;	    /* a newer version is in force; freed with the last reference */
	uint64_t version;   /* of the configuration */
	const struct topo_service *services;
	size_t n_services;
	struct topo_host *hosts;
	size_t n_hosts;
	struct topo_limits limits;
	bool has_accounts; /* the configuration lists client accounts, perhaps none */
	const struct topo_account *accounts;
	size_t n_accounts;
	struct topo_credential *credentials; /* hash table, see account_index() */
	size_t credential_slots;	     /* its length, a power of two; 0: no credentials */
};

extern const struct topo_limits topo_default_limits;

/* Returns an empty table with the default limits; the driver fills it. */
struct topo *topo_create(void);
/* Frees the table regardless of references. `t` may be NULL. */
void topo_destroy(struct topo *t);
/* Takes a reference for a request. */
void topo_ref(struct topo *t);
/* Drops a reference; frees a retired table with the last one. */
void topo_unref(struct topo *t);
/* Marks the table as replaced by a newer version, and frees it now if it has no references. */
void topo_retire(struct topo *t);
/* Sorts the routes of each host by prefix length; call once after the last route was added. */
void topo_sort_routes(struct topo *t);

/*
 * Returns the route of the host with the longest prefix of the path without its query, NULL if
 * there is none.
 */
const struct topo_route *topo_match(const struct topo *t, struct str host, struct str path);
/* Returns the service of this name, NULL if there is none. */
const struct topo_service *topo_service(const struct topo *t, struct str name);
/* Whether the list has the region, or is empty. */
bool topo_allows_region(const struct str *regions, size_t n, struct str region);
/* Whether the region may serve the route. */
bool topo_is_home(const struct topo_route *r, struct str region);

/* Whether a request of the route may be sent again after an upstream may have executed it. */
static inline bool topo_is_idempotent(const struct topo_route *r)
{
	return r->kind == TOPO_IDEMPOTENT;
}

#endif
