/* Request id records of one service: at most one run of a non-idempotent request. */
#include <stdlib.h>

#include "base/log.h"
#include "process/svc.h"

static const struct log log = {"record"};

/* A non-idempotent ask, from its arrival until its slot is granted. */
struct svc_pending_request {
	struct svc_pending_request *next;
	struct broker_ask ask;
	uint64_t serial; /* of its RECORD: an ack of an earlier record with this hash is void */
	bool asked;	 /* the record is held by a majority and the broker has the ask */
};

static struct svc_pending_request **find_pending(struct svc *s, uint64_t node, uint64_t ask)
{
	struct svc_pending_request **p = &s->pending;

	while (*p && ((*p)->ask.node != node || (*p)->ask.id != ask))
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

/* Tells the members the state of a record; ONCE_NEW removes their copy. */
static void broadcast(struct svc *s, uint64_t hash, enum once_state state)
{
	send_record(s, BC__RECORD__KIND__REQUEST, hash, state, 0, 0);
}

static void resend_once(void *data, uint64_t hash, enum once_state state, clk_ms age)
{
	send_record(data, BC__RECORD__KIND__REQUEST, hash, state, age, 0);
}

static void resend_crash(void *data, uint64_t fingerprint, uint32_t crashes, clk_ms age)
{
	send_record(data, BC__RECORD__KIND__CRASH, fingerprint, crashes, age, 0);
}

static void forward(struct svc *s, clk_ms now, struct svc_pending_request *p)
{
	p->asked = true;
	broker_ask(s->broker, now, &p->ask);
}

/* Starts the record of an ask with the members of this moment. */
static void begin(struct svc *s, clk_ms now, struct svc_pending_request *p)
{
	uint32_t needed = (uint32_t)member_majority(s->node->n_members) - 1;

	p->serial = ++s->record_serial;
	once_begin(s->once, now, p->ask.request_id_hash, needed);
	if (needed == 0)
		forward(s, now, p);
	else
		send_record(s, BC__RECORD__KIND__REQUEST, p->ask.request_id_hash, ONCE_SENT, 0,
			    p->serial);
}

/* Acks that are missing may be due from a member that has left. */
static void begin_pending_again(struct svc *s, clk_ms now)
{
	struct svc_pending_request *next;

	for (struct svc_pending_request *p = s->pending; p; p = next) {
		next = p->next;
		if (p->asked)
			continue;
		once_finish(s->once, now, p->ask.request_id_hash, ONCE_NEW);
		begin(s, now, p);
	}
}

/*
 * A member that has just joined holds no record, yet counts for the majority that a later broker
 * asks. So the broker sends all records after each change of the members and after a takeover.
 */
void svc_record_resend(struct svc *s, clk_ms now)
{
	once_each(s->once, now, resend_once, s);
	quarantine_each(s->quarantine, now, resend_crash, s);
	for (struct svc_upstream *u = s->upstreams; u; u = u->next)
		u->announced_limit = 0; /* announced again on the next tick */
	begin_pending_again(s, now);
}

void svc_record_request(struct svc *s, clk_ms now, uint64_t from, const struct broker_ask *ask)
{
	enum once_state state = once_lookup(s->once, now, ask->request_id_hash);
	struct svc_pending_request *p;

	if (state != ONCE_NEW) {
		svc_refuse_repeat(s, now, from, ask->id, state);
		return;
	}
	p = calloc(1, sizeof(*p));
	p->ask = *ask;
	p->next = s->pending;
	s->pending = p;
	begin(s, now, p);
}

static struct svc_pending_request *find_serial(const struct svc *s, uint64_t hash, uint64_t serial)
{
	for (struct svc_pending_request *p = s->pending; p; p = p->next) {
		if (p->ask.request_id_hash == hash && p->serial == serial)
			return p;
	}
	return NULL;
}

void svc_on_record_ack(struct svc *s, clk_ms now, uint64_t from, const Bc__RecordAck *ack)
{
	struct svc_pending_request *p = find_serial(s, ack->hash, ack->serial);

	if (!s->broker || !p || p->asked || !node_is_member(s->node, from))
		return;
	if (once_confirm(s->once, now, ack->hash, from))
		forward(s, now, p);
}

void svc_on_record(struct svc *s, clk_ms now, uint64_t from, const Bc__Record *rec)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__RecordAck ack = BC__RECORD_ACK__INIT;

	/*
	 * Only the broker that this member confirms may add records: those of an earlier one that
	 * arrive after the takeover report would be missing from that report.
	 */
	if (lease_holder(s->lease, now) != from)
		return;
	if (rec->kind == BC__RECORD__KIND__CRASH) {
		quarantine_put(s->quarantine, now, rec->hash, rec->state);
		return;
	}
	if (rec->kind == BC__RECORD__KIND__LIMIT) {
		svc_limit_on_record(s, rec);
		return;
	}
	if (rec->state == ONCE_NEW) {
		once_forget(s->once, rec->hash);
		return;
	}
	once_put(s->once, now, rec->hash, (enum once_state)rec->state, rec->age_ms);
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

static void forget(struct svc *s, clk_ms now, uint64_t hash)
{
	once_finish(s->once, now, hash, ONCE_NEW);
	broadcast(s, hash, ONCE_NEW);
}

/* No slot was lent for this ask, so the request did not run and may be sent again. */
void svc_record_refused(struct svc *s, clk_ms now, uint64_t node, uint64_t ask)
{
	struct svc_pending_request **p = find_pending(s, node, ask);

	if (!*p)
		return;
	forget(s, now, (*p)->ask.request_id_hash);
	unlink_pending(p);
}

void svc_record_granted(struct svc *s, uint64_t node, uint64_t ask)
{
	struct svc_pending_request **p = find_pending(s, node, ask);

	if (*p)
		unlink_pending(p);
}

static bool ran_for_sure_not(enum broker_outcome outcome)
{
	return outcome == BROKER_DONE_NOT_RUN || outcome == BROKER_DONE_SHED ||
	       outcome == BROKER_DONE_CONNECT || outcome == BROKER_DONE_UNUSED;
}

void svc_record_done(struct svc *s, clk_ms now, const Bc__Done *done)
{
	enum broker_outcome outcome = (enum broker_outcome)done->outcome;

	if (!done->request_id_hash || once_lookup(s->once, now, done->request_id_hash) == ONCE_NEW)
		return;
	if (ran_for_sure_not(outcome)) {
		forget(s, now, done->request_id_hash);
	} else {
		enum once_state state = outcome == BROKER_DONE_OK ? ONCE_COMPLETED : ONCE_UNKNOWN;

		once_finish(s->once, now, done->request_id_hash, state);
		broadcast(s, done->request_id_hash, state);
	}
}

/* Asks that could not get their record in time were never given to the broker: not run. */
void svc_record_tick(struct svc *s, clk_ms now)
{
	struct svc_pending_request **p = &s->pending;

	while (*p) {
		struct svc_pending_request *old = *p;

		if (old->asked || now < old->ask.deadline) {
			p = &old->next;
			continue;
		}
		log_warn(&log, "no majority held a request id record of %s in time", s->name);
		forget(s, now, old->ask.request_id_hash);
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
