/*
 * Forwarding of callers' requests by a gateway: finds the route, requests a slot, sends the request
 * to an upstream, retries if permitted, and answers the caller.
 */
#ifndef REQUEST_FORWARD_H
#define REQUEST_FORWARD_H

#include <stdbool.h>
#include <stddef.h>

#include <h2o.h>

#include "accounts/account_stats.h"
#include "connection/ingress.h"
#include "process/fleet.h"
#include "process/platform.h"
#include "process/quarantine.h"
#include "process/slots.h"
#include "process/split.h"
#include "shared/share.h"
#include "version/topo.h"

/* A request with less time left to its deadline is not retried. */
#define FORWARD_RETRY_MIN_LEFT_MS 150

/* A request that waits for a part of its account's allowance; the request owns the memory. */
struct forward_waiter {
	uint64_t limit; /* 0: it does not wait */
	clk_ms since;
	clk_ms deadline;    /* set by the request; it does not wait longer */
	clk_ms retry_after; /* if refused */
	void (*cb)(void *data, bool granted);
	void *data;
	struct forward_waiter *prev;
	struct forward_waiter *next;
};

struct forward_env {
	h2o_loop_t *loop;
	const struct platform *platform;
	const struct gwset *settings;
	struct fleet *fleet;
	struct slots *slots;
	struct split *split;
	struct quarantine *crashes; /* crash counts by request fingerprint */
	struct account_stats *accounts;
	struct answer_memory *answers; /* limits the answers being read */
	void *data;
	/* Returns the configuration in force, NULL before the first one. */
	struct topo *(*topo)(void *data);
	/* Counts a caller's request for the retry budget of the service. */
	void (*note_request)(void *data, struct str service);
	/* Reserves, notes and returns one retry of the service, see retry.h. */
	bool (*reserve_retry)(void *data, struct str service);
	void (*note_retry_sent)(void *data, struct str service);
	void (*return_retry)(void *data, struct str service);
	/*
	 * Whether the link to the region may carry a body of this length. For a keyed service
	 * the region is that of the key's owner.
	 */
	bool (*may_cross)(void *data, const struct topo_service *service, uint32_t key,
			  struct str region, size_t bytes);
	/* An upstream answered 421: it does not own the key. */
	void (*on_misplaced)(void *data, const char *service, uint32_t key, uint64_t upstream);
	/* The upstream said for the first time that it leaves, see fleet_note_notice(). */
	void (*on_leaving)(void *data, struct fleet_upstream *u);
	/*
	 * The process that ran a request ended before it answered. `upstream` identifies the
	 * process: a hash of the upstream and its start time (see crash.h).
	 */
	void (*on_crash)(void *data, uint64_t fingerprint, uint64_t upstream);
	/*
	 * Takes a request of the account's allowance. After SHARE_WAIT the waiter's callback is
	 * called once, unless it is cancelled; after SHARE_REFUSED `w->retry_after` is set.
	 */
	enum share_result (*take_allowance)(void *data, const struct topo_account *account,
					    struct forward_waiter *w);
	void (*cancel_allowance)(void *data, struct forward_waiter *w);
	/* The request is sent, or is refused without having been sent. */
	void (*spend_allowance)(void *data, const struct topo_account *account);
	void (*return_allowance)(void *data, const struct topo_account *account);
	/* The request is sent once more although it may have run. */
	void (*charge_allowance)(void *data, const struct topo_account *account);
};

struct forward_list;

struct forward_list *forward_list_create(const struct forward_env *env);
void forward_list_destroy(struct forward_list *l);
/* Returns the number of open requests, including those whose caller has disconnected. */
size_t forward_list_open(const struct forward_list *l);

/*
 * A planned stop begins, whose end follows from the settings. Requests that stopping_permits()
 * excludes are refused at once from now on.
 */
void forward_begin_stop(struct forward_list *l, clk_ms now);
/*
 * Prepares for the end of the process: refuses the requests that are not at an upstream now, and
 * sends no request from then on.
 */
void forward_close(struct forward_list *l);
/*
 * The process ends now: answers the requests whose upstream has not answered with a failure, since
 * an upstream may have run them.
 */
void forward_end(struct forward_list *l);

/* Whether the request may run beside others of its connection, see ingress_handlers. */
bool forward_may_overlap(const struct forward_list *l, const struct ingress_request *req);
/* Starts to forward a request; it may be answered before this function returns. */
void forward_start(struct forward_list *l, struct ingress_request *req);
/* The caller disconnected: cancels the request, unless it is not idempotent and already sent. */
void forward_caller_left(struct forward_list *l, struct ingress_request *req);

/* Creates the connection pool of an upstream, to be stored in fleet_upstream.conns. */
struct upconn_pool *forward_open_pool(const struct forward_env *env,
				      const struct fleet_upstream *u);

#endif
