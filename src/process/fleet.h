/*
 * Table of the upstreams that a gateway knows from their registrations, and of whether each may get
 * new requests. The module does no I/O; its user stores a connection pool with each upstream.
 */
#ifndef PROCESS_FLEET_H
#define PROCESS_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clk.h"
#include "base/hash.h"
#include "base/str.h"
#include "process/notice.h"

/* Buffer for a name or an id, with its terminating NUL. */
#define FLEET_NAME_BYTES 201

/* Registration of an upstream. */
struct fleet_info {
	struct str id;
	struct str service;
	char ip[16];
	uint32_t port;
	struct str failure_domain;
	uint32_t slots;
	bool draining;
	clk_ms cold_left;  /* time for which its request rate is still limited after its start */
	int64_t started;   /* identifies this run of the upstream's process (UTC ms) */
	uint64_t sequence; /* rises with each registration of the same process */
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
	uint64_t sequence;
	bool draining;
	bool evacuated;	   /* operators have evacuated its failure domain */
	clk_ms cold_until; /* its request rate is limited until this time, after its start */
	clk_ms removed_at; /* unusable from this time on; CLK_NEVER while it is registered */
	bool lost;	   /* removed since a restored store lacks its registration */
	clk_ms lost_due;   /* if lost: end of the time in which it may register again */
	clk_ms lost_seen;  /* when it was known that the store has answered since; 0: it has not */
	/* Another instance answered at its address: unusable until then, 0 if none did. */
	clk_ms displaced_until;
	bool was_usable;	   /* at the last fleet_tick() */
	struct notice notice;	   /* of its last answer */
	clk_ms held_until;	   /* it wants no requests from this gateway until then, 0: none */
	bool leaving;		   /* its process said in an answer that it ends soon */
	bool invalid_notice_known; /* the log has that its notices have invalid values */
	bool in_full_read;	   /* contained in the full read that is being applied */
	uint32_t users;		   /* references, see fleet_hold() */
	void *conns;		   /* connection pool of the module's user */
	UT_hash_handle hh;
};

struct fleet;

struct fleet_handlers {
	/* Called if a registration is new, or has another address, service or start than before. */
	void (*on_new)(void *data, struct fleet_upstream *u);
	/* Called before an upstream is freed. */
	void (*on_free)(void *data, struct fleet_upstream *u);
};

struct fleet *fleet_create(const struct fleet_handlers *handlers, void *data);
void fleet_destroy(struct fleet *f);

/*
 * Adds or updates an upstream. Returns true if its address, service, start, slots, draining or cold
 * state changed, or if it was removed before.
 */
bool fleet_put(struct fleet *f, clk_ms now, const struct fleet_info *info);
/*
 * Whether the registration, of a restored store, is older than what is known: of an earlier process
 * or before the last one of the same process, or that of a process which has left. If so, it is not
 * to be put: what is known stays, and counts as contained in a full read. A process whose
 * registration was lost with a restore has not left.
 */
bool fleet_keep_newer(struct fleet *f, const struct fleet_info *info);
/* Makes an upstream whose registration was removed unusable from the time `at` on. */
void fleet_remove(struct fleet *f, struct str id, clk_ms at);
/*
 * Start and end a full read of the registrations. Upstreams for which fleet_put() is not called
 * between the two become unusable at the time `at`, as by fleet_remove().
 */
void fleet_begin_full_read(struct fleet *f);
void fleet_end_full_read(struct fleet *f, clk_ms at);
/*
 * The same for the first read of a restored store. Upstreams that an earlier restore lost and that
 * are still usable at `now` also get the time until `at` to register again.
 */
void fleet_end_restored_read(struct fleet *f, clk_ms now, clk_ms at);
/*
 * Time from an answer of the store to anyone until what it shows is known everywhere, for example
 * that the store was restored again.
 */
#define FLEET_ANSWER_KNOWN_MS 1000
/*
 * Keeps the upstreams that a restore lost until FLEET_ANSWER_KNOWN_MS after the store has answered
 * after their time, since they cannot register again while it does not answer. `answered`: time of
 * its last answer. To be called at least every FLEET_LOST_STEP_MS. Returns whether there are such
 * upstreams.
 */
#define FLEET_LOST_STEP_MS 500
bool fleet_await_lost(struct fleet *f, clk_ms now, clk_ms answered);
/* Replaces the list of failure domains that operators have evacuated. */
void fleet_set_evacuated(struct fleet *f, const struct str *domains, size_t n);

/*
 * Another instance answered at the upstream's address, so the registered process has ended. The
 * upstream becomes unusable until it registers anew, or for some seconds, since the answer of a
 * faulty instance must not end its use for good.
 */
void fleet_note_displaced(struct fleet_upstream *u, clk_ms now);

/*
 * Records what the upstream said in an answer; `valid`: all of it could be read. Returns true if it
 * said for the first time that it leaves.
 */
bool fleet_note_notice(struct fleet *f, struct fleet_upstream *u, clk_ms now,
		       const struct notice *notice, bool valid);
/*
 * Records that the process of the upstream with this start time said that it leaves. It gets no new
 * requests, whatever its registration says, until another process registers. Returns true if that
 * is new.
 */
bool fleet_note_leaving(struct fleet *f, uint64_t num, int64_t started);

/* Returns the upstream with this number, NULL if unknown. */
struct fleet_upstream *fleet_find(const struct fleet *f, uint64_t num);
/* Returns the first upstream; u->hh.next is the next one. */
struct fleet_upstream *fleet_first(const struct fleet *f);
/* Whether the upstream may get new requests. */
bool fleet_is_usable(const struct fleet_upstream *u, clk_ms now);
/*
 * Whether the upstream is registered, or may get no new requests for another reason than that it is
 * not: it drains, leaves, is evacuated, was displaced or is lost.
 */
bool fleet_is_known(const struct fleet_upstream *u, clk_ms now);
/* Whether the upstream is usable and did not turn this gateway away for a time that lasts. */
bool fleet_may_send(const struct fleet_upstream *u, clk_ms now);
/* Whether any upstream turned this gateway away for a time that lasts. */
bool fleet_has_holds(const struct fleet *f, clk_ms now);
/* Take and drop a reference; an upstream with references is not freed. */
void fleet_hold(struct fleet_upstream *u);
void fleet_release(struct fleet *f, struct fleet_upstream *u, clk_ms now);
/*
 * Frees removed upstreams without references. Returns true if upstreams became usable or unusable
 * since the last call.
 */
bool fleet_tick(struct fleet *f, clk_ms now);

/* Returns the number of an upstream, a hash of its id; never 0. */
uint64_t fleet_num(struct str id);

#endif
