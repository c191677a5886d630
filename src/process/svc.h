/*
 * State of one service at a router of its cell: the lease, copies of request id records and crash
 * counts, the upstreams, and the slots in use by the router's own entries. While this router holds
 * the lease, the state includes the broker, the probes of upstreams and the moves of partitions.
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

/* Largest number of reported slots that a router stores until it becomes broker. */
#define SVC_MAX_REPORTED_SLOTS 1024

struct mover;

/* An upstream of the service in this region, as this router sees it. */
struct svc_upstream {
	struct svc *svc;
	struct svc_upstream *next;
	uint32_t num;		    /* of the upstream in the configuration */
	const Bc__Upstream *conf;   /* in node->config, NULL once removed */
	bool usable;		    /* the configuration allows requests to it */
	struct upconn_pool *pool;   /* connections for requests */
	struct upconn_pool *probes; /* connections for probes and grants */
	struct health health;
	bool process_ended; /* declared dead by an operator: its process has ended */
	/* Slot limit that the broker announced last, kept for the next broker; 0 if unknown. */
	uint32_t announced_limit;
	uint64_t announced_start_id; /* start id of the upstream process that the limit is for */
	uint32_t reported_limit;     /* lowest in the takeover reports, UINT32_MAX without one */
	/* Upstream's state and slots as last passed to the broker, valid if has_passed_state. */
	enum broker_upstream_state passed_state;
	bool has_passed_state;
	uint32_t passed_slots;

	/* Broker only. */
	clk_ms next_probe;
	struct upconn_call *probe_call; /* open probe or grant, or NULL */
	bool probe_is_grant;		/* the newest probe call carries a grant of keys */
	clk_ms grant_until;		/* latest end of any grant that may have arrived */
	uint64_t grant_serial_acked;	/* mover->serial of the newest grant it acknowledged */
	uint64_t probe_serial;		/* mover->serial of the newest grant sent */
	/* Calls since probe_schedule_now(), while this upstream gets grants. */
	uint32_t probe_count;
	clk_ms last_unknown_outcome; /* when a request to it last ended with an unknown outcome */
	char *probe_body;	     /* JSON body of the newest grant of keys sent */
};

struct svc {
	struct node *node;
	struct svc *next;
	char *name;
	char *assign_row; /* row of the partition assignment, NULL if not a keyed service */
	bool keyed;
	uint32_t partitions;
	uint32_t timeout_ms;
	bool lead_only; /* NODE_LEAD_SERVICE: its lease elects the lead, it has no broker */
	struct lease *lease;
	bool held;	   /* this router has become broker, or lead, and has not resigned since */
	struct once *once; /* request id records, or copies of the broker's */
	struct quarantine *quarantine;
	struct svc_upstream *upstreams;

	/* Lease holder according to the heartbeats of other routers; see svc_holder(). */
	uint64_t announced_holder;
	uint64_t announced_ballot;
	clk_ms announced_until;

	/* Broker only. */
	struct broker *broker;
	struct mover *mover;
	uint64_t reported_members[NODE_MAX_MEMBERS]; /* members whose takeover report arrived */
	size_t n_reported_members;
	/* Slots in takeover reports that arrived before this router became broker. */
	struct broker_slot_report reported_slots[SVC_MAX_REPORTED_SLOTS];
	size_t n_reported_slots;
	bool reported_slots_overflow; /* more were reported than fit */
	bool waits_for_reports;	      /* slots that nobody reported may be in use */
	uint64_t record_serial;	      /* of the newest request id record */
	/* Slot requests that wait for their request id record or for a grant. */
	struct svc_pending_request *pending;

	/* Slots that this router's entries use, for its takeover reports. */
	struct svc_slot *slots;
};

/* A slot in use by an entry of this router. */
struct svc_slot {
	struct svc_slot *next;
	uint64_t slot;
	uint32_t upstream;
	uint32_t partition;
	clk_ms deadline_utc;
};

struct svc *svc_find(const struct node *n, struct str name);
/*
 * Creates and updates services and upstreams from the configuration in force. Upstreams that it no
 * longer lists become unusable.
 */
void svc_apply_config(struct node *n);
void svc_destroy_all(struct node *n);

/* Renews or obtains the lease, starts or ends the broker role, and runs the broker. */
void svc_tick(struct svc *s, clk_ms now);
/* Sends the broker's decisions to the routers whose entries requested the slots. */
void svc_send_decisions(struct svc *s, clk_ms now);

/* Passes the members of the cell version that took effect to the lease. */
void svc_set_members(struct svc *s, clk_ms now);

/* Returns the node that holds the lease as far as this router knows; 0 if unknown. */
uint64_t svc_holder(const struct svc *s, clk_ms now);

struct svc_upstream *svc_upstream(const struct svc *s, uint32_t num);
/* Passes the state and the number of slots of an upstream to the broker if they changed. */
void svc_update_broker_upstream(struct svc_upstream *u, clk_ms now);

/* Handlers of messages from node `from`; slot requests and DONE also come from this router. */
void svc_on_slot_request(struct svc *s, clk_ms now, uint64_t from, const Bc__Ask *request);
void svc_on_done(struct svc *s, clk_ms now, uint64_t from, const Bc__Done *done);
void svc_on_cancel(struct svc *s, clk_ms now, uint64_t from, uint64_t request);
void svc_on_lease_request(struct svc *s, clk_ms now, uint64_t from, const Bc__LeaseAsk *request);
void svc_on_lease_reply(struct svc *s, clk_ms now, uint64_t from, const Bc__LeaseReply *reply);
void svc_on_record(struct svc *s, clk_ms now, uint64_t from, const Bc__Record *record);
void svc_on_record_ack(struct svc *s, clk_ms now, uint64_t from, const Bc__RecordAck *ack);

/* Ends the broker role at once; sends no message. */
void svc_resign(struct svc *s, const char *cause);
/* Releases the lease for a planned stop and allows no new attempt to obtain it. */
void svc_release_lease(struct svc *s, clk_ms now);

/* Add and remove a slot in use by an entry of this router. */
void svc_slot_add(struct svc *s, uint64_t slot, uint32_t upstream, uint32_t partition,
		  clk_ms deadline_utc);
void svc_slot_remove(struct svc *s, uint64_t slot);

/*
 * Refuses the slot request `ask` of `node` because its request id is recorded already, in the state
 * `recorded`.
 */
void svc_refuse_repeat(struct svc *s, clk_ms now, uint64_t node, uint64_t ask,
		       enum once_state recorded);

/* svc_limit.c: slot limits of upstreams that a new broker starts from. */

/* Broker: sends the members each limit that changed since it was announced. */
void svc_announce_limits(struct svc *s);
/* Member: stores a limit that the broker announced. */
void svc_limit_on_record(struct svc *s, const Bc__Record *record);
/* New broker: takes a limit from the takeover report of a member. */
void svc_limit_on_report(struct svc *s, const Bc__Record *record);
/* Whether the announced limit and all reported limits of an upstream reach its full slots. */
bool svc_limit_is_warm(const struct svc_upstream *u);
void svc_limit_clear_reports(struct svc *s);

/* svc_record.c: request id records and crash counts. */

/*
 * Broker: starts the record of a non-idempotent slot request. The broker gets the request once a
 * majority of the members holds the record.
 */
void svc_record_request(struct svc *s, clk_ms now, uint64_t from,
			const struct broker_request *request);
/*
 * Broker: slot request `request` of `node` was refused or cancelled. Removes its record if it is
 * still pending; the HTTP request was not sent.
 */
void svc_record_refused(struct svc *s, clk_ms now, uint64_t node, uint64_t request);
/*
 * Broker: a slot was granted. The request is no longer pending; its record waits for the outcome.
 */
void svc_record_granted(struct svc *s, uint64_t node, uint64_t request);
/* Broker: sets the outcome of a recorded request, or removes the record if it did not run. */
void svc_record_done(struct svc *s, clk_ms now, const Bc__Done *done);
/* Broker: sends all records to the members and announces all limits again. */
void svc_record_resend(struct svc *s, clk_ms now);
/* Drops the slot requests that wait for their record; used when the broker role ends. */
void svc_record_drop_pending(struct svc *s);
void svc_record_tick(struct svc *s, clk_ms now);
/* Lifts the quarantine of the fingerprints that the configuration lists as lifted. */
void svc_apply_lifted(struct svc *s);

#endif
