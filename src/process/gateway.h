/*
 * Gateway: a router that reads its configuration and the registered upstreams from a platform's
 * store and keeps durable state there. This module creates and connects the other modules and runs
 * the event loop; it takes no decisions about requests.
 */
#ifndef PROCESS_GATEWAY_H
#define PROCESS_GATEWAY_H

#include <signal.h>
#include <stdatomic.h>

#include "base/clk.h"
#include "base/err.h"
#include "process/platform.h"

/*
 * All request bodies together may take 1/3 of the process's memory limit, since sending the bodies
 * to upstreams takes memory, too.
 */
#define GATEWAY_BODY_MEMORY_DIVISOR 3

struct gateway;

struct gateway_options {
	const char *settings_path;
	uint32_t metrics_port; /* 0: no metrics server */
	/* When a signal requested a planned stop, 0: none did. Set by a signal handler. */
	const atomic_llong *stop;
	volatile sig_atomic_t *reload; /* set by a signal handler to request a reload */
};

/* Reads the settings and opens the ports; returns NULL and sets `err` on failure. */
struct gateway *gateway_create(const struct platform *platform, const struct gateway_options *opts,
			       struct err *err);
/* Runs the event loop until a planned stop has finished. */
void gateway_run(struct gateway *g);
void gateway_destroy(struct gateway *g);

#endif
