/*
 * Lease of one service: exchanges lease messages with the other members, sends and evaluates
 * takeover reports, and starts and ends the broker role of this router.
 */
#include <stdlib.h>

#include "base/ctr.h"
#include "base/log.h"
#include "process/lead.h"
#include "process/mover.h"
#include "process/probe.h"
#include "process/svc.h"

static const struct log log = {"lease"};

CTR(ctr_elected, "broker_elections_total", "Broker leases obtained by this router");

static bool has_reported(const struct svc *s, uint64_t node)
{
	for (size_t i = 0; i < s->n_reported_members; i++) {
		if (s->reported_members[i] == node)
			return true;
	}
	return false;
}

/* ---- lease ------------------------------------------------------------------------------------
 */

static void send_lease_request(struct svc *s, const struct lease_ask *request)
{
	struct node *n = s->node;
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__LeaseAsk msg = BC__LEASE_ASK__INIT;

	msg.service = s->name;
	msg.ballot = request->ballot;
	msg.cell_version = request->cell_version;
	msg.release = request->release;
	msg.sent = (uint64_t)request->sent;
	frame.body_case = BC__FRAME__BODY_LEASE_ASK;
	frame.lease_ask = &msg;
	for (size_t i = 0; i < n->n_members; i++) {
		if (n->members[i] == n->self)
			continue;
		/* Requests a takeover report, also while the broker has none of this member yet. */
		msg.takeover = request->takeover || (s->broker && !has_reported(s, n->members[i]));
		peer_send(n->peers, n->members[i], &frame);
	}
}

/*
 * Takeover report that a member sends with its reply to a new holder: the slots that its entries
 * use and its copies of request id records, crash counts and limits.
 */
struct report {
	Bc__LeaseReply *msg;
	Bc__Record *records; /* storage of the records that msg->records points to */
	size_t size;	     /* of `records` */
};

static void add_record(struct report *r, Bc__Record__Kind kind, uint64_t hash, uint32_t state,
		       clk_ms age)
{
	Bc__Record *rec;

	if (r->msg->n_records == r->size)
		return;
	rec = &r->records[r->msg->n_records];
	bc__record__init(rec);
	rec->kind = kind;
	rec->hash = hash;
	rec->state = state;
	rec->age_ms = (uint32_t)age;
	r->msg->records[r->msg->n_records++] = rec;
}

static void add_request_record(void *data, uint64_t hash, enum once_state state, clk_ms age)
{
	add_record(data, BC__RECORD__KIND__REQUEST, hash, state, age);
}

static void add_crash_record(void *data, uint64_t fingerprint, uint32_t crashes, clk_ms age)
{
	add_record(data, BC__RECORD__KIND__CRASH, fingerprint, crashes, age);
}

/* Greatest number of crash counts and limits in a report. */
#define REPORT_MAX_OTHER_RECORDS 8192

/* Adds the takeover report to the lease reply in `frame` and sends it. */
static void send_report(struct svc *s, clk_ms now, uint64_t to, Bc__Frame *frame)
{
	Bc__LeaseReply *msg = frame->lease_reply;
	size_t size = once_count(s->once) + REPORT_MAX_OTHER_RECORDS;
	struct report r = {msg, calloc(size, sizeof(Bc__Record)), size};
	size_t n_slots = 0;
	Bc__SlotInUse *slots;

	for (struct svc_slot *u = s->slots; u; u = u->next)
		n_slots++;
	slots = calloc(n_slots + 1, sizeof(*slots));
	msg->slots = calloc(n_slots + 1, sizeof(void *));
	msg->records = calloc(size, sizeof(void *));
	for (struct svc_slot *u = s->slots; u; u = u->next) {
		Bc__SlotInUse *out = &slots[msg->n_slots];

		bc__slot_in_use__init(out);
		out->slot = u->slot;
		out->upstream = u->upstream;
		out->partition = u->partition;
		out->deadline_utc_ms = u->deadline_utc;
		msg->slots[msg->n_slots++] = out;
	}
	once_for_each(s->once, now, add_request_record, &r);
	quarantine_each(s->quarantine, now, add_crash_record, &r);
	for (const struct svc_upstream *u = s->upstreams; u; u = u->next) {
		if (u->announced_limit == 0 && u->announced_start_id == 0)
			continue;
		add_record(&r, BC__RECORD__KIND__LIMIT, u->num, u->announced_limit, 0);
		r.records[msg->n_records - 1].start_id = u->announced_start_id;
	}
	msg->report = true;
	peer_send(s->node->peers, to, frame);
	free(msg->slots);
	free(msg->records);
	free(slots);
	free(r.records);
}

void svc_on_lease_request(struct svc *s, clk_ms now, uint64_t from, const Bc__LeaseAsk *request)
{
	struct lease_ask in = {
		.ballot = request->ballot,
		.cell_version = request->cell_version,
		.sent = (clk_ms)request->sent,
		.takeover = request->takeover,
		.release = request->release,
	};
	struct lease_reply out = {0};
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__LeaseReply msg = BC__LEASE_REPLY__INIT;

	if (!node_is_member(s->node, from))
		return;
	lease_on_request(s->lease, now, from, &in, &out);
	msg.service = s->name;
	msg.granted = out.granted;
	msg.ballot = out.ballot;
	msg.cell_version = out.cell_version;
	msg.holder = out.holder;
	msg.remaining_ms = out.remaining > 0 ? (uint32_t)out.remaining : 0;
	msg.sent = (uint64_t)out.sent;
	if (s->assign_row)
		msg.assign_version = doc_version(s->node->docs, str_from(s->assign_row));
	frame.body_case = BC__FRAME__BODY_LEASE_REPLY;
	frame.lease_reply = &msg;
	if (out.granted && request->takeover && !request->release)
		send_report(s, now, from, &frame);
	else
		peer_send(s->node->peers, from, &frame);
}

/* ---- takeover ---------------------------------------------------------------------------------
 */

/* Counts a slot that an earlier broker granted as in use until its deadline. */
static void adopt_slot(struct svc *s, clk_ms now, const struct broker_slot_report *v)
{
	if (v->deadline > now)
		broker_adopt_slot(s->broker, now, v);
}

/* Takes over the records, limits and slots of a member's takeover report. */
static void apply_report(struct svc *s, clk_ms now, uint64_t from, const Bc__LeaseReply *r)
{
	clk_ms utc = clk_utc();

	for (size_t i = 0; i < r->n_records; i++) {
		const Bc__Record *rec = r->records[i];

		if (rec->kind == BC__RECORD__KIND__REQUEST)
			once_merge_copy(s->once, now, rec->hash, (enum once_state)rec->state,
					rec->age_ms);
		else if (rec->kind == BC__RECORD__KIND__LIMIT)
			svc_limit_on_report(s, rec);
		else
			quarantine_merge(s->quarantine, now, rec->hash, rec->state);
	}
	for (size_t i = 0; i < r->n_slots; i++) {
		struct broker_slot_report v = {
			.slot = r->slots[i]->slot,
			.node = from,
			.upstream = r->slots[i]->upstream,
			.partition = r->slots[i]->partition,
			.granted_at = now,
			.deadline = now + (r->slots[i]->deadline_utc_ms - utc),
		};

		if (s->broker)
			adopt_slot(s, now, &v);
		else if (s->n_reported_slots < SVC_MAX_REPORTED_SLOTS)
			s->reported_slots[s->n_reported_slots++] = v;
		else
			s->reported_slots_overflow = true;
	}
	if (!has_reported(s, from) && s->n_reported_members < NODE_MAX_MEMBERS)
		s->reported_members[s->n_reported_members++] = from;
}

/* What the new broker knows of the slots that entries obtained from earlier brokers. */
enum reports {
	REPORTS_MISSING, /* a router that runs may use slots that it has not reported */
	/* Routers without a report have ended; upstreams may still run their requests. */
	REPORTS_REST_ENDED,
	REPORTS_COMPLETE,
};

/* Checks the routers that left the cell within the longest request timeout: they send no report. */
static enum reports reports_of_former_members(const struct node *n, clk_ms now)
{
	enum reports all = REPORTS_COMPLETE;

	for (size_t i = 0; i < n->n_former_members && i < NODE_MAX_FORMER_MEMBERS; i++) {
		const struct node_former_member *former = &n->former_members[i];
		Bc__Member m = BC__MEMBER__INIT;

		m.id = (char *)former->id;
		m.incarnation = (char *)former->incarnation;
		m.ip = (char *)former->ip;
		m.peer_port = former->peer_port;
		if (now - former->left_at >= NODE_MAX_TIMEOUT_MS ||
		    node_is_member(n, member_node_number(m.id, m.incarnation)))
			continue;
		if (!lead_member_ended(n->lead, now, &m))
			return REPORTS_MISSING;
		all = REPORTS_REST_ENDED;
	}
	return all;
}

/* Checks the former members and all members of the newest cell version known. */
static enum reports reports_of_all(const struct svc *s, clk_ms now)
{
	const struct node *n = s->node;
	enum reports all = reports_of_former_members(n, now);

	if (s->reported_slots_overflow)
		return REPORTS_MISSING;
	for (size_t i = 0; all != REPORTS_MISSING && i < n->cell->n_members; i++) {
		const Bc__Member *m = n->cell->members[i];
		uint64_t node = member_node_number(m->id, m->incarnation);

		if (node == n->self || has_reported(s, node))
			continue;
		all = lead_member_ended(n->lead, now, m) ? REPORTS_REST_ENDED : REPORTS_MISSING;
	}
	return all;
}

static void clear_unknown_if_reported(struct svc *s, clk_ms now)
{
	enum reports all;

	if (!s->waits_for_reports)
		return;
	all = reports_of_all(s, now);
	if (all == REPORTS_MISSING)
		return;
	s->waits_for_reports = false;
	log_info(&log, "slots of %s known: %s", s->name,
		 all == REPORTS_COMPLETE ? "all members reported" : "the others have ended");
	broker_clear_unknown_slots(s->broker, all == REPORTS_COMPLETE);
}

static void adopt_reports(struct svc *s, clk_ms now)
{
	clk_ms utc = clk_utc();

	for (size_t i = 0; i < s->n_reported_slots; i++)
		adopt_slot(s, now, &s->reported_slots[i]);
	s->n_reported_slots = 0;
	for (struct svc_slot *u = s->slots; u; u = u->next) {
		struct broker_slot_report v = {
			.slot = u->slot,
			.node = s->node->self,
			.upstream = u->upstream,
			.partition = u->partition,
			.granted_at = now,
			.deadline = now + (u->deadline_utc - utc),
		};

		adopt_slot(s, now, &v);
	}
}

static void become_broker(struct svc *s, clk_ms now)
{
	struct broker_options opts = broker_defaults;
	struct event ev = {.module = "broker", .kind = "broker-elected"};

	s->held = true;
	ctr_inc(&ctr_elected);
	ev.service = str_from(s->name);
	ev.number = lease_number(s->lease);
	ev.cause = STR_LIT("majority of the cell confirmed the lease");
	event_emit(s->node->events, &ev);
	log_info(&log, "broker of %s with lease %llu", s->name, (unsigned long long)ev.number);
	node_send_heartbeat(s->node, now);
	if (s->lead_only)
		return;
	opts.keyed = s->keyed;
	opts.partitions = s->partitions;
	opts.hedging = !s->keyed;
	s->broker = broker_create(&opts, lease_number(s->lease) << 20, rnd_u64(&s->node->rnd));
	for (struct svc_upstream *u = s->upstreams; u; u = u->next) {
		u->has_passed_state = false;
		health_init(&u->health, now);
		/*
		 * Without a limit that is still valid the start id stays unknown. With one, an
		 * answer with another start id means that the upstream restarted and is cold.
		 */
		if (svc_limit_is_warm(u))
			u->health.start_id = u->announced_start_id;
		u->next_probe = now;
		u->grant_until = 0;
		u->grant_serial_acked = 0;
		/* Requests that earlier brokers admitted may still run at the upstream. */
		u->last_unknown_outcome = now;
		svc_update_broker_upstream(u, now);
	}
	adopt_reports(s, now);
	svc_record_resend(s, now);
	if (reports_of_all(s, now) == REPORTS_MISSING) {
		s->waits_for_reports = true;
		broker_assume_unknown_slots(s->broker, now + NODE_MAX_TIMEOUT_MS);
	}
	if (s->keyed)
		s->mover = mover_create(s, now);
}

void svc_resign(struct svc *s, const char *cause)
{
	struct event ev = {.module = "broker", .kind = "broker-ended", .cause = str_from(cause)};

	s->held = false;
	ev.service = str_from(s->name);
	event_emit(s->node->events, &ev);
	log_info(&log, "no longer broker of %s: %s", s->name, cause);
	probe_stop(s);
	if (s->mover)
		mover_destroy(s->mover);
	s->mover = NULL;
	if (s->broker)
		broker_destroy(s->broker);
	s->broker = NULL;
	svc_record_drop_pending(s);
	svc_limit_clear_reports(s);
	s->n_reported_members = 0;
	s->n_reported_slots = 0;
	s->reported_slots_overflow = false;
	s->waits_for_reports = false;
}

/* Requests the partition assignment from a member that holds a newer version. */
static void fetch_assign(struct svc *s, uint64_t from, uint64_t version)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__DocGet get = BC__DOC_GET__INIT;

	if (!s->assign_row || version <= doc_version(s->node->docs, str_from(s->assign_row)))
		return;
	get.row = s->assign_row;
	get.have = doc_version(s->node->docs, str_from(s->assign_row));
	frame.body_case = BC__FRAME__BODY_DOC_GET;
	frame.doc_get = &get;
	peer_send(s->node->peers, from, &frame);
}

void svc_on_lease_reply(struct svc *s, clk_ms now, uint64_t from, const Bc__LeaseReply *r)
{
	struct lease_reply in = {
		.granted = r->granted,
		.ballot = r->ballot,
		.cell_version = r->cell_version,
		.holder = r->holder,
		.remaining = r->remaining_ms,
		.sent = (clk_ms)r->sent,
	};

	if (!node_is_member(s->node, from))
		return;
	fetch_assign(s, from, r->assign_version);
	if (r->granted && r->report)
		apply_report(s, now, from, r);
	lease_on_reply(s->lease, now, from, &in);
	if (s->broker)
		clear_unknown_if_reported(s, now);
}

void svc_release_lease(struct svc *s, clk_ms now)
{
	struct lease_ask request;

	lease_set_may_hold(s->lease, false);
	if (s->held)
		svc_resign(s, "planned stop");
	if (lease_release(s->lease, now, &request))
		send_lease_request(s, &request);
}

/*
 * Whether no member is known to hold a newer partition assignment than this router. While one does,
 * this router must not act as broker, because the newer assignment may already be in effect.
 */
static bool has_newest_assign(const struct svc *s)
{
	const struct node *n = s->node;
	struct str row;
	uint64_t held;

	if (!s->assign_row)
		return true;
	row = str_from(s->assign_row);
	held = doc_version(n->docs, row);
	return doc_count_holders(n->docs, row, held + 1, n->members, n->n_members) == 0;
}

void svc_tick(struct svc *s, clk_ms now)
{
	struct lease_ask request;
	bool held;

	if (lease_tick(s->lease, now, clk_utc(), &request))
		send_lease_request(s, &request);
	held = lease_is_held(s->lease, now);
	if (s->held && !held)
		svc_resign(s, "lease expired");
	else if (!s->held && held && has_newest_assign(s))
		become_broker(s, now);
	if (!s->broker) {
		once_tick(s->once, now);
		return;
	}
	clear_unknown_if_reported(s, now);
	broker_tick(s->broker, now);
	probe_tick(s, now);
	if (s->mover)
		mover_tick(s->mover, now);
	svc_record_tick(s, now);
	svc_announce_limits(s);
	svc_send_decisions(s, now);
}
