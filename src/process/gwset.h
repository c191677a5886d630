/* Settings of one gateway process, as the platform's driver has read and checked them. */
#ifndef PROCESS_GWSET_H
#define PROCESS_GWSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/clk.h"
#include "base/str.h"

struct gwset_address {
	char ip[16];
	uint32_t port;
};

struct gwset_domain {
	struct str failure_domain;
	struct str region;
};

struct gwset {
	struct arena arena;
	struct str id;
	struct str failure_domain;
	struct str region;
	struct gwset_address callers;
	struct gwset_address ready; /* readiness checks */
	struct gwset_address peers;
	struct gwset_address metrics;
	struct gwset_address store;
	const struct gwset_domain *domains; /* every failure domain of the deployment */
	size_t n_domains;
	size_t memory_bytes;  /* of this process */
	uint32_t cpu_millis;  /* processor time that it may use, 1/1000 core */
	clk_ms heartbeat;     /* how often upstreams renew their registration */
	clk_ms stop_grace;    /* from SIGTERM until the process is killed */
	clk_ms drain_limit;   /* a leaving upstream gets nothing this long after its notice */
	double retry_ratio;   /* retries per request, over the whole deployment */
	uint32_t retry_slack; /* retries that are always allowed, over the whole deployment */
	clk_ms retry_window;
	double cold_overrun; /* factor and burst by which a cold upstream may be overrun */
	uint32_t cold_slack;
	size_t row_bytes; /* of a row of the store, in base64 */
	clk_ms hold_max;  /* longest lease of keys that upstreams accept */
};

void gwset_free(struct gwset *s);
/* Region of a failure domain, STR_NULL if it is not known. */
struct str gwset_region(const struct gwset *s, struct str failure_domain);

#endif
