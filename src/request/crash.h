/*
 * Looks whether an upstream's process is gone after it broke a request. Only then the request is
 * suspected of having crashed it; a lost answer alone proves nothing.
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
	/* `process` identifies the upstream's process that ended. */
	void (*on_crash)(void *data, uint64_t fingerprint, uint64_t process);
};

struct crash_checker;

struct crash_checker *crash_checker_create(const struct crash_env *env);
void crash_checker_destroy(struct crash_checker *l);

/* The request with this fingerprint broke at the upstream; `health_path` is asked if need be. */
void crash_check_upstream(struct crash_checker *l, struct fleet_upstream *u, uint64_t fingerprint,
			  struct str health_path);

#endif
