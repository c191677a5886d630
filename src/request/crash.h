/*
 * Checks whether an upstream's process has ended after a request broke, that is, its connection
 * failed after sending. Only if the process has ended is the request suspected of having crashed
 * the process; a lost answer alone proves nothing.
 */
#ifndef REQUEST_CRASH_H
#define REQUEST_CRASH_H

#include <stdint.h>

#include <h2o.h>

#include "base/str.h"
#include "process/fleet.h"

struct crash_env {
	h2o_loop_t *loop;
	struct fleet *fleet;
	void *data;
	/* Called if the process has ended; `process` is a hash of upstream and start time. */
	void (*on_crash)(void *data, uint64_t fingerprint, uint64_t process);
};

struct crash_checker;

struct crash_checker *crash_checker_create(const struct crash_env *env);
void crash_checker_destroy(struct crash_checker *l);

/*
 * Starts a check of the upstream after a request with this fingerprint broke. If an open connection
 * does not prove that the process runs, a GET of `health_path` decides.
 */
void crash_check_upstream(struct crash_checker *l, struct fleet_upstream *u, uint64_t fingerprint,
			  struct str health_path);

#endif
