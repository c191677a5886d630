/*
 * Fair shares of a queue between client accounts: the order of requests of equal priority. A
 * request is due when its account, served at the rate of its allowance, would be served with it: at
 * once if none of its requests wait, later the more do. Without I/O; requests without an account
 * are due when they arrive, so a queue without accounts keeps the order of arrival.
 *
 * Load pattern: lasting overload in which one account sends many times its usual. The requests that
 * it has above its rate are due last; they wait behind those of others, and are refused first.
 */
#ifndef ACCOUNTS_FAIR_H
#define ACCOUNTS_FAIR_H

#include <stdint.h>

#include "base/clk.h"

/* Rate, in requests per second, that stands in for that of an account without an allowance. */
#define FAIR_UNLIMITED_RATE 20

/*
 * Returns when a request is due that arrives now. `account` 0: it belongs to none; `rate`: requests
 * per second, 0: not limited; `waiting`: requests of the account in the queue.
 */
clk_ms fair_due(clk_ms now, uint64_t account, uint32_t rate, uint32_t waiting);

#endif
