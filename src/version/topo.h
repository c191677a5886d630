/*
 * One version of the operators' configuration as a gateway applies it: services, routes and limits.
 * A driver builds it from what the operators wrote; afterwards it does not change.
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
	struct str health_path;
	uint32_t max_connections; /* of one upstream, from all callers together */
	clk_ms cold_duration;	  /* how long an upstream stays cold after its start */
	double cold_per_second;	  /* requests per second that a cold upstream bears */
	bool keyed;		  /* an upstream runs a request only while it holds its key */
};

enum topo_kind {
	TOPO_IDEMPOTENT, /* may run any number of times */
	TOPO_ONCE,	 /* may run once at most */
	TOPO_UPLOAD,	 /* large body, may run once at most */
};

/* Part of a route's traffic. A route without a split has one part. */
struct topo_traffic_share {
	const struct topo_service *service;
	double weight; /* above 0 */
};

struct topo_route {
	struct str name;
	struct str prefix;
	enum topo_kind kind;
	clk_ms timeout;	       /* longest time an answer may take */
	clk_ms target;	       /* latency objective */
	uint32_t priority;     /* 0 is the highest */
	uint32_t max_attempts; /* upstreams that one request may be sent to */
	const struct topo_traffic_share *parts;
	size_t n_parts;
	const struct str *homes; /* regions that may serve it; none: all */
	size_t n_homes;
};

struct topo_host {
	struct str name;
	const struct topo_route **routes; /* longest prefix first */
	size_t n_routes;
};

struct topo_limits {
	size_t max_header_bytes;
	size_t max_body_bytes;
	clk_ms header_timeout; /* for a whole request head */
	clk_ms idle_timeout;   /* of a connection between requests */
};

struct topo {
	struct arena arena; /* everything below lives in it */
	uint32_t users;	    /* requests that hold this version */
	bool replaced;	    /* freed with its last user */
	uint64_t version;
	const struct topo_service *services;
	size_t n_services;
	struct topo_host *hosts;
	size_t n_hosts;
	struct topo_limits limits;
};

extern const struct topo_limits topo_default_limits;

struct topo *topo_create(void);
void topo_destroy(struct topo *t);
/* A request keeps the version that it was routed by. */
void topo_ref(struct topo *t);
void topo_unref(struct topo *t);
/* Another version is in force. */
void topo_retire(struct topo *t);
/* Sorts the routes; call once after the last one was added. */
void topo_sort_routes(struct topo *t);

/* Longest prefix of the path (without its query) among the routes of the host, NULL if none. */
const struct topo_route *topo_match(const struct topo *t, struct str host, struct str path);
const struct topo_service *topo_service(const struct topo *t, struct str name);
bool topo_is_home(const struct topo_route *r, struct str region);

static inline bool topo_is_idempotent(const struct topo_route *r)
{
	return r->kind == TOPO_IDEMPOTENT;
}

#endif
