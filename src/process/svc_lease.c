/*
 * Lease of one service: messages with the other members, takeover reports, and the change between
 * being broker and not.
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
	for (size_t i = 0; i < s->n_reported; i++) {
		if (s->reported[i] == node)
			return true;
	}
	return false;
}

/* ---- lease ------------------------------------------------------------------------------------
 */

static void send_lease_ask(struct svc *s, const struct lease_ask *ask)
{
	struct node *n = s->node;
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__LeaseAsk msg = BC__LEASE_ASK__INIT;

	msg.service = s->name;
	msg.ballot = ask->ballot;
	msg.cell_version = ask->cell_version;
	msg.release = ask->release;
	msg.sent = (uint64_t)ask->sent;
	frame.body_case = BC__FRAME__BODY_LEASE_ASK;
	frame.lease_ask = &msg;
	for (size_t i = 0; i < n->n_members; i++) {
		if (n->members[i] == n->self)
			continue;
		/* A member that has not reported yet is asked for its report again. */
		msg.takeover = ask->takeover || (s->broker && !has_reported(s, n->members[i]));
		peer_send(n->peers, n->members[i], &frame);
	}
}

/* Report of this member for a takeover: slots its entries use, and its copies of records. */
struct report {
	Bc__LeaseReply *msg;
	Bc__Record *records;
	size_t size;
};

static void report_record(struct report *r, Bc__Record__Kind kind, uint64_t hash, uint32_t state,
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

static void report_once(void *data, uint64_t hash, enum once_state state, clk_ms age)
{
	report_record(data, BC__RECORD__KIND__REQUEST, hash, state, age);
}

static void report_crash(void *data, uint64_t fingerprint, uint32_t crashes, clk_ms age)
{
	report_record(data, BC__RECORD__KIND__CRASH, fingerprint, crashes, age);
}

/* Crash counts and upstreams' limits that a report has room for. */
#define REPORT_MAX_OTHERS 8192

static void send_report(struct svc *s, clk_ms now, uint64_t to, Bc__Frame *frame)
{
	Bc__LeaseReply *msg = frame->lease_reply;
	size_t size = once_count(s->once) + REPORT_MAX_OTHERS;
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
	once_each(s->once, now, report_once, &r);
	quarantine_each(s->quarantine, now, report_crash, &r);
	for (const struct svc_upstream *u = s->upstreams; u; u = u->next) {
		if (u->announced_limit == 0 && u->announced_start_id == 0)
			continue;
		report_record(&r, BC__RECORD__KIND__LIMIT, u->num, u->announced_limit, 0);
		r.records[msg->n_records - 1].start_id = u->announced_start_id;
	}
	msg->report = true;
	peer_send(s->node->peers, to, frame);
	free(msg->slots);
	free(msg->records);
	free(slots);
	free(r.records);
}

void svc_on_lease_request(struct svc *s, clk_ms now, uint64_t from, const Bc__LeaseAsk *ask)
{
	struct lease_ask in = {
		.ballot = ask->ballot,
		.cell_version = ask->cell_version,
		.sent = (clk_ms)ask->sent,
		.takeover = ask->takeover,
		.release = ask->release,
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
	if (out.granted && ask->takeover && !ask->release)
		send_report(s, now, from, &frame);
	else
		peer_send(s->node->peers, from, &frame);
}

/* ---- takeover ---------------------------------------------------------------------------------
 */

static void adopt_slot(struct svc *s, clk_ms now, const struct broker_slot_view *v)
{
	if (v->deadline > now)
		broker_adopt_slot(s->broker, now, v);
}

static void take_report(struct svc *s, clk_ms now, uint64_t from, const Bc__LeaseReply *r)
{
	clk_ms utc = clk_utc();

	for (size_t i = 0; i < r->n_records; i++) {
		const Bc__Record *rec = r->records[i];

		if (rec->kind == BC__RECORD__KIND__REQUEST)
			once_put(s->once, now, rec->hash, (enum once_state)rec->state, rec->age_ms);
		else if (rec->kind == BC__RECORD__KIND__LIMIT)
			svc_limit_on_report(s, rec);
		else
			quarantine_put(s->quarantine, now, rec->hash, rec->state);
	}
	for (size_t i = 0; i < r->n_slots; i++) {
		struct broker_slot_view v = {
			.slot = r->slots[i]->slot,
			.node = from,
			.upstream = r->slots[i]->upstream,
			.partition = r->slots[i]->partition,
			.lent = now,
			.deadline = now + (r->slots[i]->deadline_utc_ms - utc),
		};

		if (s->broker)
			adopt_slot(s, now, &v);
		else if (s->n_reports < SVC_MAX_REPORTS)
			s->reports[s->n_reports++] = v;
		else
			s->reports_overflow = true;
	}
	if (!has_reported(s, from) && s->n_reported < NODE_MAX_MEMBERS)
		s->reported[s->n_reported++] = from;
}

/* What the new broker knows of the slots that entries got from the brokers before it. */
enum reports {
	REPORTS_MISSING,
	REPORTS_REST_GONE, /* requests of those that are gone may still run at upstreams */
	REPORTS_COMPLETE,
};

/* Of routers that left the cell shortly before and may still use slots nobody reports. */
static enum reports reports_of_left(const struct node *n, clk_ms now)
{
	enum reports all = REPORTS_COMPLETE;

	for (size_t i = 0; i < n->n_left && i < NODE_MAX_FORMER_MEMBERS; i++) {
		const struct node_former_member *l = &n->left[i];
		Bc__Member m = BC__MEMBER__INIT;

		m.id = (char *)l->id;
		m.incarnation = (char *)l->incarnation;
		m.ip = (char *)l->ip;
		m.peer_port = l->peer_port;
		if (now - l->since >= NODE_MAX_TIMEOUT_MS ||
		    node_is_member(n, member_node_number(m.id, m.incarnation)))
			continue;
		if (!lead_member_ended(n->lead, now, &m))
			return REPORTS_MISSING;
		all = REPORTS_REST_GONE;
	}
	return all;
}

static enum reports reports_of_all(const struct svc *s, clk_ms now)
{
	const struct node *n = s->node;
	enum reports all = reports_of_left(n, now);

	if (s->reports_overflow)
		return REPORTS_MISSING;
	for (size_t i = 0; all != REPORTS_MISSING && i < n->cell->n_members; i++) {
		const Bc__Member *m = n->cell->members[i];
		uint64_t node = member_node_number(m->id, m->incarnation);

		if (node == n->self || has_reported(s, node))
			continue;
		all = lead_member_ended(n->lead, now, m) ? REPORTS_REST_GONE : REPORTS_MISSING;
	}
	return all;
}

static void clear_unknown_if_reported(struct svc *s, clk_ms now)
{
	enum reports all;

	if (!s->unknown_slots)
		return;
	all = reports_of_all(s, now);
	if (all == REPORTS_MISSING)
		return;
	s->unknown_slots = false;
	log_info(&log, "slots of %s known: %s", s->name,
		 all == REPORTS_COMPLETE ? "all members reported" : "the others are gone");
	broker_clear_unknown(s->broker, all == REPORTS_COMPLETE);
}

static void adopt_reports(struct svc *s, clk_ms now)
{
	clk_ms utc = clk_utc();

	for (size_t i = 0; i < s->n_reports; i++)
		adopt_slot(s, now, &s->reports[i]);
	s->n_reports = 0;
	for (struct svc_slot *u = s->slots; u; u = u->next) {
		struct broker_slot_view v = {
			.slot = u->slot,
			.node = s->node->self,
			.upstream = u->upstream,
			.partition = u->partition,
			.lent = now,
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
	if (s->pseudo)
		return;
	opts.keyed = s->keyed;
	opts.partitions = s->partitions;
	opts.hedging = !s->keyed;
	s->broker = broker_create(&opts, lease_number(s->lease) << 20, rnd_u64(&s->node->rnd));
	for (struct svc_upstream *u = s->upstreams; u; u = u->next) {
		u->pushed_any = false;
		health_init(&u->health, now);
		/* A start id that differs from the one the limit belongs to means a cold start. */
		if (svc_limit_is_warm(u))
			u->health.start_id = u->announced_start_id;
		u->next_probe = now;
		u->grant_until = 0;
		u->grant_serial_acked = 0;
		/* Requests that earlier brokers admitted may still be running unseen. */
		u->last_unknown = now;
		svc_push_upstream(u, now);
	}
	adopt_reports(s, now);
	svc_record_resend(s, now);
	if (reports_of_all(s, now) == REPORTS_MISSING) {
		s->unknown_slots = true;
		broker_hold_unknown(s->broker, now + NODE_MAX_TIMEOUT_MS);
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
	s->n_reported = 0;
	s->n_reports = 0;
	s->reports_overflow = false;
	s->unknown_slots = false;
}

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
		take_report(s, now, from, r);
	lease_on_reply(s->lease, now, from, &in);
	if (s->broker)
		clear_unknown_if_reported(s, now);
}

void svc_release_lease(struct svc *s, clk_ms now)
{
	struct lease_ask ask;

	lease_set_may_hold(s->lease, false);
	if (s->held)
		svc_resign(s, "planned stop");
	if (lease_release(s->lease, now, &ask))
		send_lease_ask(s, &ask);
}

/*
 * A broker whose documents are older than what a member of its majority holds must not act yet:
 * the newer assignment may already be in effect.
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
	return doc_holders(n->docs, row, held + 1, n->members, n->n_members) == 0;
}

void svc_tick(struct svc *s, clk_ms now)
{
	struct lease_ask ask;
	bool held;

	if (lease_tick(s->lease, now, clk_utc(), &ask))
		send_lease_ask(s, &ask);
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
