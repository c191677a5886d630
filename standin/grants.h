/*
 * Fenced grant of an upstream: the highest fencing token that a broker has sent, the expiry, and
 * the partitions and split-off keys that the upstream may serve, each with its epoch. The upstream
 * refuses requests that the grant does not cover.
 */
#ifndef STANDIN_GRANTS_H
#define STANDIN_GRANTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"
#include "base/err.h"
#include "base/str.h"

struct grant_epoch {
	uint64_t unit; /* partition or key hash */
	uint64_t epoch;
};

struct grants {
	uint64_t fence;	 /* fencing token of the latest accepted grant, the highest so far */
	uint64_t serial; /* version of the grant's contents within one fencing token */
	clk_ms expires;	 /* on the monotonic clock; 0: no grant yet */
	uint64_t assign_version;
	struct grant_epoch *partitions;
	size_t n_partitions;
	struct grant_epoch *hot; /* keys split off from their partitions, by hash */
	size_t n_hot;
};

/* Ownership data from a request's headers: fencing token, partition, key hash and epoch. */
struct grant_claim {
	bool has_fence;
	uint64_t fence;
	bool has_partition;
	uint64_t partition;
	bool has_key_hash;
	uint64_t key_hash;
	uint64_t epoch;
};

enum grant_result {
	/* the grant is in force */
	GRANT_ACCEPTED,
	/* the fencing token, or the serial within it, is lower than that of the present grant */
	GRANT_STALE,
	/* a renewal of a grant that this upstream does not have; it needs the full grant */
	GRANT_UNKNOWN,
	/* malformed, or for another service; `err` says which */
	GRANT_INVALID
};

/* Applies the body of `PUT /grant`. If the grant is refused, the former grant stays in force. */
enum grant_result grants_put(struct grants *g, const char *service, struct str body, clk_ms now,
			     struct err *err);

/*
 * Whether the claim's key is in the granted list of split-off keys. The presence of `x-key-hash`
 * does not show this, because a router may send that header with every key.
 */
bool grants_is_hot(const struct grants *g, const struct grant_claim *claim);

/* Returns why a request with this claim is refused now, or NULL if the grant covers it. */
const char *grants_refusal(const struct grants *g, const struct grant_claim *claim, clk_ms now);

/*
 * Returns why a request that has run must not commit its effect, or NULL if it may. The fencing
 * token is not compared here: when a new broker confirms the owner, requests admitted by its
 * predecessor must still commit, or each planned stop of a router would interrupt requests.
 */
const char *grants_commit_refusal(const struct grants *g, const struct grant_claim *claim,
				  clk_ms now);

#endif
