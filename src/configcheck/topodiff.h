/*
 * Difference between the configuration in force and another one, with the callers that each change
 * concerns and what it changes for them. Decides from its arguments alone.
 */
#ifndef CONFIGCHECK_TOPODIFF_H
#define CONFIGCHECK_TOPODIFF_H

#include <stddef.h>

#include "base/arena.h"
#include "base/str.h"
#include "version/topo.h"

enum topodiff_kind {
	TOPODIFF_ADDED,
	TOPODIFF_REMOVED,
	TOPODIFF_MOVED,	  /* a route with another host or prefix */
	TOPODIFF_CHANGED, /* one property of an entry */
};

struct topodiff_change {
	enum topodiff_kind kind;
	struct str place;    /* the entry */
	struct str property; /* TOPODIFF_CHANGED: what of it */
	struct str before;   /* value or place, empty if there was none */
	struct str after;
	struct str callers; /* whom it concerns */
	struct str effect;
};

struct topodiff {
	struct arena arena; /* owns the texts */
	struct topodiff_change *changes;
	size_t n;
	size_t max;
};

/* Appends the changes from `before` to `after`. */
void topodiff(const struct topo *before, const struct topo *after, struct topodiff *out);
void topodiff_free(struct topodiff *d);
const char *topodiff_kind_name(enum topodiff_kind kind);

/* Internal, topodiff_route.c: the changes of one route, or of a route that has moved. */
void topodiff_route(struct topodiff *d, const struct topo_host *host_before,
		    const struct topo_route *before, const struct topo_host *host_after,
		    const struct topo_route *after);
/* Internal: a list of home regions as text, and whether two lists have the same ones in any order.
 */
struct str topodiff_regions_text(struct arena *a, const struct str *regions, size_t n);
bool topodiff_same_regions(const struct str *a, size_t n_a, const struct str *b, size_t n_b);
/* Internal, topodiff_account.c. */
void topodiff_accounts(struct topodiff *d, const struct topo *before, const struct topo *after);
/* Internal. */
void topodiff_add(struct topodiff *d, struct topodiff_change change);
struct str topodiff_route_place(struct topodiff *d, const struct topo_host *h,
				const struct topo_route *r);
struct str topodiff_route_callers(struct topodiff *d, const struct topo_host *h,
				  const struct topo_route *r);

#endif
