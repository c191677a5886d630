/*
 * Request id records of one service, which make a non-idempotent request run at most once. The
 * broker records the id of each such request at a majority of the members before it considers the
 * request for a slot, and refuses a request whose id is recorded. Members keep copies of the
 * records and of crash counts, and report them to the next broker.
 */
#include <stdlib.h>

#include "base/log.h"
#include "process/svc.h"

static const struct log log = {"record"};

/* A non-idempotent slot request, from its arrival until its slot is granted. */
struct svc_pending_request {
	struct svc_pending_request *next;
	struct broker_request request;
	uint64_t serial;      /* of its RECORD message; acks with another serial are ignored */
	bool given_to_broker; /* a majority holds the record */
};

/* Returns the link to slot request `request` of `node`; the link is NULL if there is none. */
static struct svc_pending_request **find_pending(struct svc *s, uint64_t node, uint64_t request)
{
	struct svc_pending_request **p = &s->pending;

	while (*p && ((*p)->request.node != node || (*p)->request.id != request))
		p = &(*p)->next;
	return p;
}

static void unlink_pending(struct svc_pending_request **p)
{
	struct svc_pending_request *old = *p;

	*p = old->next;
	free(old);
}

static void send_record(struct svc *s, Bc__Record__Kind kind, uint64_t hash, uint32_t state,
			clk_ms age, uint64_t serial)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Record rec = BC__RECORD__INIT;

	rec.service = s->name;
	rec.kind = kind;
	rec.hash = hash;
	rec.state = state;
	rec.age_ms = (uint32_t)age;
	rec.serial = serial;
	frame.body_case = BC__FRAME__BODY_RECORD;
	frame.record = &rec;
	node_broadcast(s->node, &frame);
}

/* Sends the state of a record to the members; ONCE_ABSENT removes their copy. */
static void broadcast_state(struct svc *s, uint64_t hash, enum once_state state)
{
	send_record(s, BC__RECORD__KIND__REQUEST, hash, state, 0, 0);
}

static void resend_request_record(void *data, uint64_t hash, enum once_state state, clk_ms age)
{
	send_record(data, BC__RECORD__KIND__REQUEST, hash, state, age, 0);
}

static void resend_crash_record(void *data, uint64_t fingerprint, uint32_t crashes, clk_ms age)
{
	send_record(data, BC__RECORD__KIND__CRASH, fingerprint, crashes, age, 0);
}

static void give_to_broker(struct svc *s, clk_ms now, struct svc_pending_request *p)
{
	p->given_to_broker = true;
	broker_request(s->broker, now, &p->request);
}

/* Starts the record of a slot request; a majority of the present members must confirm it. */
static void begin_record(struct svc *s, clk_ms now, struct svc_pending_request *p)
{
	uint32_t needed = (uint32_t)member_majority(s->node->n_members) - 1;

	p->serial = ++s->record_serial;
	once_begin(s->once, now, p->request.request_id_hash, needed);
	if (needed == 0)
		give_to_broker(s, now, p);
	else
		send_record(s, BC__RECORD__KIND__REQUEST, p->request.request_id_hash, ONCE_SENT, 0,
			    p->serial);
}

/*
 * Starts unconfirmed records again: the acks they wait for may be those of members that have left.
 */
static void restart_pending_records(struct svc *s, clk_ms now)
{
	struct svc_pending_request *next;

	for (struct svc_pending_request *p = s->pending; p; p = next) {
		next = p->next;
		if (p->given_to_broker)
			continue;
		once_set_outcome(s->once, now, p->request.request_id_hash, ONCE_ABSENT);
		begin_record(s, now, p);
	}
}

/*
 * A member that has just joined holds no record, but counts towards the majority whose reports a
 * later broker relies on. So the broker sends all records after each change of the members and
 * after a takeover.
 */
void svc_record_resend(struct svc *s, clk_ms now)
{
	once_for_each(s->once, now, resend_request_record, s);
	quarantine_each(s->quarantine, now, resend_crash_record, s);
	for (struct svc_upstream *u = s->upstreams; u; u = u->next)
		u->announced_limit = 0; /* announced again on the next tick */
	restart_pending_records(s, now);
}

void svc_record_request(struct svc *s, clk_ms now, uint64_t from,
			const struct broker_request *request)
{
	enum once_state state = once_lookup(s->once, now, request->request_id_hash);
	struct svc_pending_request *p;

	if (state != ONCE_ABSENT) {
		svc_refuse_repeat(s, now, from, request->id, state);
		return;
	}
	p = calloc(1, sizeof(*p));
	p->request = *request;
	p->next = s->pending;
	s->pending = p;
	begin_record(s, now, p);
}

static struct svc_pending_request *find_serial(const struct svc *s, uint64_t hash, uint64_t serial)
{
	for (struct svc_pending_request *p = s->pending; p; p = p->next) {
		if (p->request.request_id_hash == hash && p->serial == serial)
			return p;
	}
	return NULL;
}

void svc_on_record_ack(struct svc *s, clk_ms now, uint64_t from, const Bc__RecordAck *ack)
{
	struct svc_pending_request *p = find_serial(s, ack->hash, ack->serial);

	if (!s->broker || !p || p->given_to_broker || !node_is_member(s->node, from))
		return;
	if (once_confirm(s->once, now, ack->hash, from))
		give_to_broker(s, now, p);
}

void svc_on_record(struct svc *s, clk_ms now, uint64_t from, const Bc__Record *rec)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__RecordAck ack = BC__RECORD_ACK__INIT;

	/*
	 * Accepts records only from the broker that this member confirms. A record of an earlier
	 * broker that arrives after the takeover report was sent is missing from that report, so it
	 * must not be acknowledged.
	 */
	if (lease_holder(s->lease, now) != from)
		return;
	if (rec->kind == BC__RECORD__KIND__CRASH) {
		quarantine_merge(s->quarantine, now, rec->hash, rec->state);
		return;
	}
	if (rec->kind == BC__RECORD__KIND__LIMIT) {
		svc_limit_on_record(s, rec);
		return;
	}
	if (rec->state == ONCE_ABSENT) {
		once_remove(s->once, rec->hash);
		return;
	}
	once_merge_copy(s->once, now, rec->hash, (enum once_state)rec->state, rec->age_ms);
	if (rec->serial == 0)
		return;
	ack.serial = rec->serial;
	ack.service = s->name;
	ack.kind = BC__RECORD__KIND__REQUEST;
	ack.hash = rec->hash;
	frame.body_case = BC__FRAME__BODY_RECORD_ACK;
	frame.record_ack = &ack;
	peer_send(s->node->peers, from, &frame);
}

static void remove_record(struct svc *s, clk_ms now, uint64_t hash)
{
	once_set_outcome(s->once, now, hash, ONCE_ABSENT);
	broadcast_state(s, hash, ONCE_ABSENT);
}

void svc_record_refused(struct svc *s, clk_ms now, uint64_t node, uint64_t request)
{
	struct svc_pending_request **p = find_pending(s, node, request);

	if (!*p)
		return;
	remove_record(s, now, (*p)->request.request_id_hash);
	unlink_pending(p);
}

void svc_record_granted(struct svc *s, uint64_t node, uint64_t request)
{
	struct svc_pending_request **p = find_pending(s, node, request);

	if (*p)
		unlink_pending(p);
}

/* Whether the outcome proves that the upstream did not run the request. */
static bool certainly_not_run(enum broker_outcome outcome)
{
	return outcome == BROKER_DONE_NOT_RUN || outcome == BROKER_DONE_SHED ||
	       outcome == BROKER_DONE_CONNECT || outcome == BROKER_DONE_UNUSED;
}

void svc_record_done(struct svc *s, clk_ms now, const Bc__Done *done)
{
	enum broker_outcome outcome = (enum broker_outcome)done->outcome;

	if (!done->request_id_hash ||
	    once_lookup(s->once, now, done->request_id_hash) == ONCE_ABSENT)
		return;
	if (certainly_not_run(outcome)) {
		remove_record(s, now, done->request_id_hash);
	} else {
		enum once_state state = outcome == BROKER_DONE_OK ? ONCE_COMPLETED : ONCE_UNKNOWN;

		once_set_outcome(s->once, now, done->request_id_hash, state);
		broadcast_state(s, done->request_id_hash, state);
	}
}

/* Drops slot requests whose record was not confirmed by their deadline; they did not run. */
void svc_record_tick(struct svc *s, clk_ms now)
{
	struct svc_pending_request **p = &s->pending;

	while (*p) {
		struct svc_pending_request *old = *p;

		if (old->given_to_broker || now < old->request.deadline) {
			p = &old->next;
			continue;
		}
		log_warn(&log,
			 "no majority of the members confirmed a request id record of %s in time",
			 s->name);
		remove_record(s, now, old->request.request_id_hash);
		unlink_pending(p);
	}
	once_tick(s->once, now);
	quarantine_tick(s->quarantine, now);
}

void svc_record_drop_pending(struct svc *s)
{
	while (s->pending)
		unlink_pending(&s->pending);
}

void svc_apply_lifted(struct svc *s)
{
	const Bc__Config *c = s->node->config;

	for (size_t i = 0; i < c->n_lifted; i++)
		quarantine_lift(s->quarantine, c->lifted[i]->fingerprint, c->lifted[i]->version);
}
