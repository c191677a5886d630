/*
 * One caller's request at a gateway: its route, a slot, the call to an upstream, repeats, and the
 * answer.
 */
#ifndef REQUEST_FORWARD_H
#define REQUEST_FORWARD_H

#include <stdbool.h>
#include <stddef.h>

#include <h2o.h>

#include "connection/ingress.h"
#include "process/fleet.h"
#include "process/platform.h"
#include "process/quarantine.h"
#include "process/slots.h"
#include "process/split.h"
#include "version/topo.h"

struct forward_env {
	h2o_loop_t *loop;
	const struct platform *platform;
	const struct gwset *settings;
	struct fleet *fleet;
	struct slots *slots;
	struct split *split;
	struct quarantine *crashes;
	void *data;
	/* Configuration in force, NULL before the first. */
	struct topo *(*topo)(void *data);
	void (*note_request)(void *data, struct str service);
	/* Takes a repeat out of the budget of the service. */
	bool (*take_retry)(void *data, struct str service);
	/* Whether a body of this length may go to where the service, or the key's owner, is. */
	bool (*may_cross)(void *data, const struct topo_service *service, uint32_t key,
			  struct str region, size_t bytes);
	void (*on_misplaced)(void *data, const char *service, uint32_t key, uint64_t upstream);
	/* A request broke together with the process that ran it. */
	void (*on_crash)(void *data, uint64_t fingerprint, uint64_t upstream);
};

struct forward_list;

struct forward_list *forward_list_create(const struct forward_env *env);
void forward_list_destroy(struct forward_list *l);
/* Requests under way, also those whose caller has left. */
size_t forward_list_open(const struct forward_list *l);

/*
 * The process ends soon: requests that are not at an upstream are refused now, and none goes to
 * another one any more.
 */
void forward_close(struct forward_list *l);

void forward_start(struct forward_list *l, struct ingress_request *req);
void forward_caller_left(struct forward_list *l, struct ingress_request *req);

/* Connections to an upstream, kept on fleet_upstream.conns. */
struct upconn_pool *forward_open_pool(const struct forward_env *env,
				      const struct fleet_upstream *u);

#endif
