/*
 * One service in this cell: its lease, and while this router holds it the broker, the request id
 * records, the crash counts, the upstreams' health and the moves of partitions.
 */
#ifndef PROCESS_SVC_H
#define PROCESS_SVC_H

#include "process/broker.h"
#include "process/health.h"
#include "process/lease.h"
#include "process/node.h"
#include "process/once.h"
#include "process/quarantine.h"
#include "version/assign.h"

#define SVC_MAX_REPORTS 1024

struct mover;

/* An upstream of the service in this region, as this router sees it. */
struct svc_upstream {
	struct svc *svc;
	struct svc_upstream *next;
	uint32_t num;
	const Bc__Upstream *conf; /* in node->config, NULL once removed */
	bool usable;
	struct upconn_pool *pool; /* requests */
	struct upconn_pool *probes;
	struct health health;
	bool process_ended; /* the old process is known to have ended */
	/* Limit that the broker announced last, for the next broker; 0: none known. */
	uint32_t announced_limit;
	uint64_t announced_start_id;
	uint32_t reported_limit; /* lowest in the takeover reports */
	enum broker_upstream_state pushed;
	bool pushed_any;
	uint32_t pushed_slots;

	/* Broker only. */
	clk_ms next_probe;
	struct upconn_call *probe_call;
	bool probe_is_grant;
	clk_ms grant_until;	     /* latest end of any grant that may have arrived */
	uint64_t grant_serial_acked; /* mover->serial of the last grant acknowledged */
	uint64_t probe_serial;
	uint32_t probe_count;
	clk_ms last_unknown; /* last request whose outcome stayed unknown */
	char *probe_body;
};

struct svc {
	struct node *node;
	struct svc *next;
	char *name;
	char *assign_row; /* NULL if not divided by key */
	bool keyed;
	uint32_t partitions;
	uint32_t timeout_ms;
	bool pseudo; /* lead election only: no broker */
	struct lease *lease;
	bool held; /* as of the last tick */
	struct once *once;
	struct quarantine *quarantine;
	struct svc_upstream *upstreams;

	/* Where other routers say the broker is; see svc_holder(). */
	uint64_t announced_holder;
	uint64_t announced_ballot;
	clk_ms announced_until;

	/* Broker only. */
	struct broker *broker;
	struct mover *mover;
	uint64_t reported[NODE_MAX_MEMBERS]; /* members whose takeover report arrived */
	size_t n_reported;
	struct broker_slot_view reports[SVC_MAX_REPORTS];
	size_t n_reports;
	bool reports_overflow;
	bool unknown_slots;
	uint64_t record_serial;
	struct svc_pending_request *pending; /* asks that wait for their request id record */

	/* Slots this router's entries use, for reports and for DONE. */
	struct svc_slot *slots;
};

struct svc_slot {
	struct svc_slot *next;
	uint64_t slot;
	uint32_t upstream;
	uint32_t partition;
	clk_ms deadline_utc;
};

struct svc *svc_find(const struct node *n, struct str name);
/* Creates, changes and retires services and upstreams after a change of configuration. */
void svc_apply_config(struct node *n);
void svc_destroy_all(struct node *n);

void svc_tick(struct svc *s, clk_ms now);
/* Hands the broker's decisions to the entries. */
void svc_send_decisions(struct svc *s, clk_ms now);

/* Members of the cell version in effect changed. */
void svc_set_members(struct svc *s, clk_ms now);

/* Node that acts as broker as far as this router knows; 0 if unknown. */
uint64_t svc_holder(const struct svc *s, clk_ms now);

struct svc_upstream *svc_upstream(const struct svc *s, uint32_t num);
/* Passes state and limit of an upstream to the broker if they changed. */
void svc_push_upstream(struct svc_upstream *u, clk_ms now);

/* From the entry of this router or from a frame. */
void svc_on_slot_request(struct svc *s, clk_ms now, uint64_t from, const Bc__Ask *ask);
void svc_on_done(struct svc *s, clk_ms now, uint64_t from, const Bc__Done *done);
void svc_on_cancel(struct svc *s, clk_ms now, uint64_t from, uint64_t ask);
void svc_on_lease_request(struct svc *s, clk_ms now, uint64_t from, const Bc__LeaseAsk *ask);
void svc_on_lease_reply(struct svc *s, clk_ms now, uint64_t from, const Bc__LeaseReply *reply);
void svc_on_record(struct svc *s, clk_ms now, uint64_t from, const Bc__Record *record);
void svc_on_record_ack(struct svc *s, clk_ms now, uint64_t from, const Bc__RecordAck *ack);

/* Ends the broker role at once, without telling the members. */
void svc_resign(struct svc *s, const char *cause);
/* Gives the lease up for a planned stop. */
void svc_release_lease(struct svc *s, clk_ms now);

/* Slots in use by this router's entries. */
void svc_slot_add(struct svc *s, uint64_t slot, uint32_t upstream, uint32_t partition,
		  clk_ms deadline_utc);
void svc_slot_remove(struct svc *s, uint64_t slot);

/* Refuses a repeat of a recorded request id. */
void svc_refuse_repeat(struct svc *s, clk_ms now, uint64_t node, uint64_t ask,
		       enum once_state recorded);

/* svc_limit.c: limits of upstreams that a new broker starts from. */
void svc_announce_limits(struct svc *s);
void svc_limit_on_record(struct svc *s, const Bc__Record *record);
void svc_limit_on_report(struct svc *s, const Bc__Record *record);
/* Prepares an upstream for a new broker: warm only if every report says so. */
bool svc_limit_is_warm(const struct svc_upstream *u);
void svc_limit_clear_reports(struct svc *s);

/* svc_record.c: request id records and crash counts. */
void svc_record_request(struct svc *s, clk_ms now, uint64_t from, const struct broker_ask *ask);
void svc_record_refused(struct svc *s, clk_ms now, uint64_t node, uint64_t ask);
void svc_record_granted(struct svc *s, uint64_t node, uint64_t ask);
void svc_record_done(struct svc *s, clk_ms now, const Bc__Done *done);
void svc_record_resend(struct svc *s, clk_ms now);
void svc_record_drop_pending(struct svc *s);
void svc_record_tick(struct svc *s, clk_ms now);
void svc_apply_lifted(struct svc *s);

#endif
