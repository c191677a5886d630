/* What an upstream says in an answer about the requests that it wants. */
#ifndef PROCESS_NOTICE_H
#define PROCESS_NOTICE_H

#include <stdbool.h>

#include "base/clk.h"

struct notice {
	bool leaving; /* its process ends soon and wants no new requests */
	bool limited; /* `limit` is set */
	double limit; /* requests per second that it takes from all gateways together */
	/*
	 * It turned the request away and wants none from the gateway that sent it for this long,
	 * 0: it did not say so.
	 */
	clk_ms retry_after;
};

#endif
