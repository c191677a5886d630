/* Settings of one gateway process, read and validated by the platform's adapter. */
#ifndef PROCESS_GWSET_H
#define PROCESS_GWSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/clk.h"
#include "base/str.h"
#include "shared/limit.h"

struct gwset_address {
	char ip[16];
	uint32_t port;
};

struct gwset_domain {
	struct str failure_domain;
	struct str region;
};

struct gwset {
	struct arena arena; /* owns the strings and `domains` */
	struct str id;
	struct str failure_domain;
	struct str region;
	struct gwset_address callers; /* listens for requests of callers */
	struct gwset_address ready;   /* listens for readiness checks */
	struct gwset_address peers;   /* listens for other gateways */
	struct gwset_address metrics; /* only the ip; the port is a command-line option */
	struct gwset_address store;
	const struct gwset_domain *domains; /* every failure domain of the deployment */
	size_t n_domains;
	bool first_start;    /* the deployment starts for the first time, with all processes */
	size_t memory_bytes; /* memory limit of this process */
	uint32_t sockets;    /* that this process may have open, 0: not known */
	uint32_t cpu_millis; /* CPU time that this process may use, 1/1000 core */
	clk_ms heartbeat;    /* how often upstreams renew their registration; not applied */
	clk_ms stop_grace;   /* time from SIGTERM until the platform kills the process */
	/* Time from an upstream's drain notice until it must get no requests; not applied. */
	clk_ms drain_limit;
	double retry_ratio;   /* retries allowed per request, over the whole deployment */
	uint32_t retry_slack; /* retries always allowed per window, over the whole deployment */
	clk_ms retry_window;  /* time over which requests and retries are counted */
	/*
	 * A cold (recently started) upstream may get at most `cold_overrun` times its configured
	 * rate plus `cold_slack` requests. Read from the settings, but not applied.
	 */
	double cold_overrun;
	uint32_t cold_slack;
	/* How far all gateways together may exceed the allowance of a client account. */
	struct limit_bound limit_bound;
	size_t row_bytes;     /* largest value of a row of the store, in base64 */
	clk_ms hold_max;      /* longest lease of keys that upstreams accept */
	clk_ms address_reuse; /* shortest time from the end of an upstream until another one gets
				 its address */
};

void gwset_free(struct gwset *s);
/* Returns the region of a failure domain, STR_NULL if the settings do not list the domain. */
struct str gwset_region(const struct gwset *s, struct str failure_domain);

#endif
