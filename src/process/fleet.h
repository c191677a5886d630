/*
 * The upstreams that a gateway knows, from their registrations, and whether they may get new
 * requests. Pure but for the connection pool that the owner hangs on each.
 */
#ifndef PROCESS_FLEET_H
#define PROCESS_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"
#include "base/hash.h"
#include "base/str.h"

#define FLEET_NAME_BYTES 201

/* One registration. */
struct fleet_info {
	struct str id;
	struct str service;
	char ip[16];
	uint32_t port;
	struct str failure_domain;
	uint32_t slots;
	bool draining;
	clk_ms cold_left; /* how much longer it stays cold after its start */
	int64_t started;  /* identifies this run of the upstream's process (UTC ms) */
};

struct fleet_upstream {
	uint64_t num; /* hash of the id, the same at every gateway */
	char id[FLEET_NAME_BYTES];
	char service[FLEET_NAME_BYTES];
	char failure_domain[FLEET_NAME_BYTES];
	char ip[16];
	uint32_t port;
	uint32_t slots;
	int64_t started;
	bool draining;
	bool evacuated; /* its failure domain is taken out */
	clk_ms cold_until;
	clk_ms removed_at; /* when it counts as gone; CLK_NEVER while it is registered */
	bool seen;	   /* in the full read that is being applied */
	uint32_t users;	   /* open calls; it is freed after the last one */
	void *conns;	   /* of the owner */
	UT_hash_handle hh;
};

struct fleet;

struct fleet_handlers {
	/* A registration appeared, or names another address or run than before. */
	void (*on_new)(void *data, struct fleet_upstream *u);
	void (*on_free)(void *data, struct fleet_upstream *u);
};

struct fleet *fleet_create(const struct fleet_handlers *handlers, void *data);
void fleet_destroy(struct fleet *f);

/* True if it says something else than before, but for the time that it stays cold. */
bool fleet_put(struct fleet *f, clk_ms now, const struct fleet_info *info);
/* The registration was removed; it counts as gone from `at` on. */
void fleet_remove(struct fleet *f, struct str id, clk_ms at);
/* Between these calls every registration is put; those that are not are removed at `at`. */
void fleet_begin_full_read(struct fleet *f);
void fleet_end_full_read(struct fleet *f, clk_ms at);
/* Failure domains that operators have taken out, replacing the earlier ones. */
void fleet_set_evacuated(struct fleet *f, const struct str *domains, size_t n);

struct fleet_upstream *fleet_find(const struct fleet *f, uint64_t num);
/* First upstream; continue with u->hh.next. */
struct fleet_upstream *fleet_first(const struct fleet *f);
bool fleet_is_usable(const struct fleet_upstream *u, clk_ms now);
void fleet_hold(struct fleet_upstream *u);
void fleet_release(struct fleet *f, struct fleet_upstream *u, clk_ms now);
/* Frees what is gone and not in use. Returns the next time at which one counts as gone. */
clk_ms fleet_tick(struct fleet *f, clk_ms now);

uint64_t fleet_num(struct str id);

#endif
