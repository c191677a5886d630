/*
 * Fenced grant of an upstream that checks who gives it orders: fence, time to live, and the
 * partitions and split-off keys it may serve, each with its epoch.
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
	uint64_t fence;	 /* highest seen */
	uint64_t serial; /* of the grant's contents within one fence */
	clk_ms expires;	 /* 0: no grant yet */
	uint64_t assign_version;
	struct grant_epoch *partitions;
	size_t n_partitions;
	struct grant_epoch *hot;
	size_t n_hot;
};

/* What a request says about its owner. */
struct grant_claim {
	bool has_fence;
	uint64_t fence;
	bool has_partition;
	uint64_t partition;
	bool has_key_hash;
	uint64_t key_hash;
	uint64_t epoch;
};

/* NOT_HELD: a renewal of a grant that this upstream does not have; the whole one is needed. */
enum grant_put { GRANT_TAKEN, GRANT_OLD_FENCE, GRANT_NOT_HELD, GRANT_BAD };

/* Takes the body of `PUT /grant`; the old grant stays if it is refused. */
enum grant_put grants_put(struct grants *g, const char *service, struct str body, clk_ms now,
			  struct err *err);

/*
 * Whether the granted list of split-off keys names the claim's key. The grant decides this, not the
 * request: a router may send `x-key-hash` with every key.
 */
bool grants_is_hot(const struct grants *g, const struct grant_claim *claim);

/* Why a request with this claim is refused now, NULL if it is covered. */
const char *grants_refuse(const struct grants *g, const struct grant_claim *claim, clk_ms now);

/*
 * The same for a request that has run, before its effect is committed. The fence is left out: a
 * new broker that confirms the owner must not undo what its predecessor had admitted, or each
 * planned stop of a router would interrupt requests.
 */
const char *grants_refuse_commit(const struct grants *g, const struct grant_claim *claim,
				 clk_ms now);

#endif
