/* Slot requests to the broker and calls to upstreams for one entry, with retries and hedges. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/ctr.h"
#include "base/mutant.h"
#include "request/entry_priv.h"

CTR(ctr_slot_requests, "asks_total", "Asks sent to brokers");
CTR(ctr_retries, "retries_total", "Requests tried again");
CTR(ctr_hedges, "hedges_total", "Second calls for slow idempotent requests");
CTR(ctr_late_grants, "grants_late_total", "Slots returned because the grant came too late");

/* ---- messages to the broker ------------------------------------------------------------------ */

static void send_frame(struct entry *e, uint64_t broker_node, Bc__Frame *frame)
{
	peer_send(e->node->peers, broker_node, frame);
}

/* Returns the slot to the broker with the outcome of the call. */
static void report_outcome(struct entry *e, const struct entry_call *c, enum broker_outcome outcome,
			   clk_ms service_ms, uint64_t start_id)
{
	struct svc *s = e->svc;
	clk_ms now = clk_now();
	uint64_t broker_node = svc_holder(s, now);
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Done msg = BC__DONE__INIT;

	svc_slot_remove(s, c->slot);
	msg.slot = c->slot;
	msg.service = s->name;
	msg.outcome = outcome;
	msg.service_ms = (uint32_t)service_ms;
	msg.request_id_hash = e->idempotent ? 0 : e->request_id_hash;
	msg.fingerprint = e->fingerprint;
	msg.start_id = start_id;
	msg.upstream = c->upstream;
	if (broker_node == e->node->self) {
		svc_on_done(s, now, broker_node, &msg);
		svc_send_decisions(s, now);
		return;
	}
	frame.body_case = BC__FRAME__BODY_DONE;
	frame.done = &msg;
	send_frame(e, broker_node, &frame);
}

static void cancel_slot_request(struct entry *e, struct entry_call *c)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Cancel msg = BC__CANCEL__INIT;

	if (!c->requested_from)
		return;
	if (c->requested_from == e->node->self) {
		svc_on_cancel(e->svc, clk_now(), c->requested_from, c->slot_request_id);
		return;
	}
	msg.ask = c->slot_request_id;
	frame.body_case = BC__FRAME__BODY_CANCEL;
	frame.cancel = &msg;
	send_frame(e, c->requested_from, &frame);
}

static void remove_from_table(struct entry_call *c)
{
	if (c->in_table)
		HASH_DEL(c->entry->list->slot_requests, c);
	c->in_table = false;
}

/*
 * Sends the slot request to the present broker. If no broker is known or reachable,
 * entry_call_tick() tries again.
 */
static void send_slot_request(struct entry *e, struct entry_call *c, clk_ms now)
{
	uint64_t broker_node = e->node->is_member ? svc_holder(e->svc, now) : 0;
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Ask msg = BC__ASK__INIT;

	c->next_send = now + ENTRY_SLOT_REQUEST_RETRY_MS;
	c->requested_from = broker_node;
	if (!broker_node)
		return;
	msg.id = c->slot_request_id;
	msg.service = e->svc->name;
	msg.partition = e->partition;
	msg.key_hash = e->key_hash;
	msg.idempotent = e->idempotent;
	msg.request_id_hash = e->request_id_hash;
	msg.fingerprint = e->fingerprint;
	msg.timeout_ms = (uint32_t)(e->deadline - now);
	msg.attempt = e->attempt;
	msg.hedge_of = c->is_hedge ? e->calls[0].slot : 0;
	ctr_inc(&ctr_slot_requests);
	if (broker_node == e->node->self) {
		svc_on_slot_request(e->svc, now, broker_node, &msg);
		svc_send_decisions(e->svc, now);
		return;
	}
	frame.body_case = BC__FRAME__BODY_ASK;
	frame.ask = &msg;
	if (!peer_send(e->node->peers, broker_node, &frame))
		c->requested_from = 0;
}

void entry_request_slot(struct entry *e, struct entry_call *c)
{
	struct entry_list *list = e->list;
	clk_ms now = clk_now();

	if (now >= e->deadline) {
		entry_refuse(e, 503, "the deadline passed before a slot was free",
			     "send it again with a longer x-timeout-ms", 1000);
		return;
	}
	c->open = true;
	c->slot = 0;
	c->call = NULL;
	c->hedge_at = 0;
	c->slot_request_id = list->next_slot_request++;
	HASH_ADD(hh, list->slot_requests, slot_request_id, sizeof(c->slot_request_id), c);
	c->in_table = true;
	send_slot_request(e, c, now);
}

/* ---- ending calls --------------------------------------------------------------------------- */

static void close_call(struct entry_call *c)
{
	remove_from_table(c);
	c->open = false;
	c->call = NULL;
}

/* Cancels the slot request, or cancels the upstream call and returns the slot. */
static void cancel_call(struct entry_call *c)
{
	struct entry *e = c->entry;
	struct upconn_call *call = c->call;
	bool sent;

	if (!c->open)
		return;
	close_call(c);
	if (!c->slot) {
		cancel_slot_request(e, c);
		return;
	}
	sent = call && upconn_was_sent(call);
	if (call)
		upconn_cancel(call);
	report_outcome(e, c, sent ? BROKER_DONE_CANCELLED : BROKER_DONE_UNUSED, 0, 0);
}

bool entry_was_sent(const struct entry *e)
{
	for (size_t i = 0; i < sizeof(e->calls) / sizeof(e->calls[0]); i++) {
		const struct entry_call *c = &e->calls[i];

		if (c->open && c->call && upconn_was_sent(c->call))
			return true;
	}
	return false;
}

void entry_cancel_calls(struct entry *e)
{
	cancel_call(&e->calls[0]);
	cancel_call(&e->calls[1]);
}

/* ---- results -------------------------------------------------------------------------------- */

static bool other_call_is_open(const struct entry_call *c)
{
	const struct entry *e = c->entry;

	return e->calls[c->is_hedge ? 0 : 1].open;
}

static void retry(struct entry *e)
{
	ctr_inc(&ctr_retries);
	entry_request_slot(e, &e->calls[0]);
}

/* Retries after a call that did not run the request, or refuses after too many attempts. */
static void after_not_run(struct entry *e, struct entry_call *c, bool counts_as_attempt)
{
	if (other_call_is_open(c))
		return;
	if (counts_as_attempt && ++e->attempt >= ENTRY_MAX_ATTEMPTS) {
		entry_refuse(e, 503, "several upstreams could not take the request",
			     "try again later", 1000);
		return;
	}
	retry(e);
}

/*
 * Ends a call that may have run the request. Unless the other call is open, retries an idempotent
 * request while attempts and time are left, else refuses the request.
 */
static void after_unknown(struct entry *e, struct entry_call *c)
{
	e->maybe_ran = true;
	if (other_call_is_open(c))
		return;
	if ((e->idempotent || MUTANT(entry_retries_unknown)) && ++e->attempt < ENTRY_MAX_ATTEMPTS &&
	    clk_now() < e->deadline) {
		e->fresh = true;
		retry(e);
		return;
	}
	entry_refuse(e, 504, "the upstream did not answer in full", "", 0);
}

static bool is_not_forwarded(struct str name)
{
	static const char *const not_forwarded[] = {
		"connection", "keep-alive", "transfer-encoding", "content-length",
		"te",	      "upgrade",    "proxy-connection",	 "trailer",
		"date",	      "server",	    "x-start-id",	 "x-outcome"};

	for (size_t i = 0; i < sizeof(not_forwarded) / sizeof(not_forwarded[0]); i++) {
		if (str_eq_cstr(name, not_forwarded[i]))
			return true;
	}
	return false;
}

static void answer_caller(struct entry *e, const struct upconn_answer *a)
{
	struct upconn_header *headers =
		arena_alloc(&e->arena, sizeof(*headers) * (a->n_headers + 1));
	struct entry_answer answer = {
		.status = a->status, .headers = headers, .body = upconn_body(a)};

	for (size_t i = 0; i < a->n_headers; i++) {
		if (!is_not_forwarded(a->headers[i].name))
			headers[answer.n_headers++] = a->headers[i];
	}
	headers[answer.n_headers++] =
		(struct upconn_header){STR_LIT("x-outcome"), STR_LIT("completed")};
	entry_finish(e, &answer);
}

static enum broker_outcome outcome_of(const struct upconn_answer *a)
{
	switch (a->result) {
	case UPCONN_OK:
		if (upconn_answer_header(a, "x-shed").len)
			return BROKER_DONE_SHED;
		if (upconn_answer_header(a, "x-not-run").len)
			return BROKER_DONE_NOT_RUN;
		return BROKER_DONE_OK;
	case UPCONN_NOT_SENT:
		return BROKER_DONE_UNUSED;
	case UPCONN_CONNECT_FAILED:
		return BROKER_DONE_CONNECT;
	case UPCONN_BROKE:
		return a->sent ? BROKER_DONE_BROKE : BROKER_DONE_CONNECT;
	default:
		return a->sent ? BROKER_DONE_TIMEOUT : BROKER_DONE_CONNECT;
	}
}

static void on_answer(void *data, const struct upconn_answer *a)
{
	struct entry_call *c = data;
	struct entry *e = c->entry;
	enum broker_outcome outcome = outcome_of(a);
	struct svc_upstream *u = svc_upstream(e->svc, c->upstream);
	struct str start = upconn_answer_header(a, "x-start-id");

	close_call(c);
	/* After a timeout the idle connections to this upstream may be dead too, so close them. */
	if (outcome == BROKER_DONE_TIMEOUT && u)
		upconn_pool_discard_conns(u->pool);
	report_outcome(e, c, outcome, a->elapsed, start.len ? str_hash(start) : 0);
	switch (outcome) {
	case BROKER_DONE_OK:
		answer_caller(e, a);
		break;
	case BROKER_DONE_UNUSED:
		ctr_inc(&ctr_late_grants);
		after_not_run(e, c, false);
		break;
	case BROKER_DONE_NOT_RUN:
	case BROKER_DONE_SHED:
	case BROKER_DONE_CONNECT:
		after_not_run(e, c, true);
		break;
	default:
		after_unknown(e, c);
		break;
	}
}

/* ---- grants --------------------------------------------------------------------------------- */

/*
 * Whether the slot may still be used. upconn calls this right before the first byte, so that a
 * process that was paused after the grant does not send too late.
 */
static bool may_send(void *data)
{
	struct entry_call *c = data;
	clk_ms now = clk_now();

	return now < c->send_by && clk_utc() < c->send_by_utc && now < c->entry->deadline;
}

static void add_header(struct upconn_header *headers, size_t *n, struct str name, struct str value)
{
	headers[(*n)++] = (struct upconn_header){name, value};
}

#define ADDED_HEADERS 6

static size_t build_headers(struct entry *e, const Bc__Grant *g, struct upconn_header **out)
{
	struct upconn_header *h =
		arena_alloc(&e->arena, sizeof(*h) * (e->in.n_headers + ADDED_HEADERS));
	struct arena *a = &e->arena;
	size_t n = 0;

	for (size_t i = 0; i < e->in.n_headers; i++) {
		struct str name = e->in.headers[i].name;

		if (!is_not_forwarded(name) && !str_eq_cstr(name, "x-request-id") &&
		    !str_eq_cstr(name, "host") && !str_eq_cstr(name, "expect") &&
		    !str_eq_cstr(name, "x-epoch") && !str_eq_cstr(name, "x-fence") &&
		    !str_eq_cstr(name, "x-partition") && !str_eq_cstr(name, "x-deadline") &&
		    !str_eq_cstr(name, "x-key-hash"))
			h[n++] = e->in.headers[i];
	}
	add_header(h, &n, STR_LIT("x-fence"), arena_printf(a, "%" PRIu64, g->fence));
	add_header(h, &n, STR_LIT("x-deadline"), arena_printf(a, "%" PRId64, e->deadline_utc));
	if (e->svc->keyed) {
		add_header(h, &n, STR_LIT("x-epoch"), arena_printf(a, "%" PRIu64, g->epoch));
		add_header(h, &n, STR_LIT("x-partition"), arena_printf(a, "%u", e->partition));
		add_header(h, &n, STR_LIT("x-key-hash"),
			   arena_printf(a, "%016" PRIx64, e->key_hash));
	}
	*out = h;
	return n;
}

static void start_call(struct entry *e, struct entry_call *c, struct svc_upstream *u,
		       const Bc__Grant *g, clk_ms now)
{
	clk_ms left = e->deadline - now;
	struct upconn_request req = {
		.method = e->in.method,
		.path = e->in.path,
		.body = e->in.body,
		.request_id = e->request_id,
		.fresh = e->fresh || !e->idempotent,
		.may_send = may_send,
	};

	/*
	 * The first attempt of an idempotent request may use an idle connection that is dead, so
	 * half of the time is reserved for a second attempt on a new connection.
	 */
	req.timeout = e->idempotent && e->attempt == 0 ? left / 2 : left;
	req.n_headers = build_headers(e, g, &c->headers);
	req.headers = c->headers;
	if (g->hedge_after_ms && e->idempotent && !c->is_hedge) {
		c->hedge_delay = g->hedge_after_ms;
		c->hedge_at = now + c->hedge_delay;
	}
	c->call = upconn_send(u->pool, &req, on_answer, c);
}

/* Returns the slot of a grant for which no slot request waits any more. */
static void return_unwanted_slot(struct entry_list *list, clk_ms now, const Bc__Grant *g)
{
	struct svc *s = svc_find(list->node, str_from(g->service));
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Done msg = BC__DONE__INIT;
	uint64_t broker_node = s ? svc_holder(s, now) : 0;

	ctr_inc(&ctr_late_grants);
	if (!broker_node)
		return;
	msg.slot = g->slot;
	msg.service = s->name;
	msg.outcome = BROKER_DONE_UNUSED;
	msg.upstream = g->upstream;
	frame.body_case = BC__FRAME__BODY_DONE;
	frame.done = &msg;
	if (broker_node == list->node->self)
		svc_on_done(s, now, broker_node, &msg);
	else
		peer_send(list->node->peers, broker_node, &frame);
}

void entry_on_grant(struct entry_list *list, clk_ms now, const Bc__Grant *g)
{
	struct entry_call *c;
	struct svc_upstream *u;
	struct entry *e;

	HASH_FIND(hh, list->slot_requests, &g->ask, sizeof(g->ask), c);
	if (!c || !c->open || c->slot) {
		return_unwanted_slot(list, now, g);
		return;
	}
	e = c->entry;
	remove_from_table(c);
	c->slot = g->slot;
	c->upstream = g->upstream;
	c->send_by = now + g->send_within_ms;
	c->send_by_utc = g->send_by_utc_ms;
	svc_slot_add(e->svc, c->slot, c->upstream, e->partition, e->deadline_utc);
	u = svc_upstream(e->svc, g->upstream);
	if (!u || !may_send(c)) {
		close_call(c);
		report_outcome(e, c, BROKER_DONE_UNUSED, 0, 0);
		after_not_run(e, c, false);
		return;
	}
	start_call(e, c, u, g, now);
}

/* ---- refusals ------------------------------------------------------------------------------- */

static void refuse_repeat(struct entry *e, enum once_state recorded)
{
	switch (recorded) {
	case ONCE_COMPLETED:
		entry_refuse_as(e, 409, "completed", "this request id has run already",
				"do not send it again; look the result up", 0);
		break;
	case ONCE_PENDING:
	case ONCE_SENT:
		entry_refuse_as(e, 409, "unknown", "a request with this id is running",
				"wait, then repeat it with the same id", 1000);
		break;
	default:
		entry_refuse_as(e, 504, "unknown",
				"a request with this id was sent and its outcome is not known",
				"check the state before sending a new request", 0);
		break;
	}
}

static const struct {
	int status;
	const char *error;
	const char *remedy;
} refusals[] = {
	[BROKER_REFUSE_DEADLINE] = {503, "no slot becomes free before the deadline",
				    "try again later or with a longer x-timeout-ms"},
	[BROKER_REFUSE_QUEUE_FULL] = {503, "too many requests wait for this service",
				      "try again later"},
	[BROKER_REFUSE_NO_UPSTREAM] = {503, "no upstream may take this request now",
				       "try again later"},
	[BROKER_REFUSE_NO_OWNER] = {503, "the key has no owner now", "try again later"},
	[BROKER_REFUSE_BUDGET] = {503, "the retry budget of the service is used up",
				  "try again later"},
	[BROKER_REFUSE_QUARANTINED] = {422, "this request crashed several upstreams",
				       "ask the operator to lift it"},
	[BROKER_REFUSE_CRASH_SUSPECT] = {503,
					 "an equal request crashed an upstream and is being tried",
					 "try again later"},
};

/*
 * While the first call runs, requests a slot for the hedge again after half the hedge delay. If the
 * first call has ended, retries or refuses as after a call that may have run the request.
 */
static void hedge_refused(struct entry *e, struct entry_call *c, clk_ms now)
{
	struct entry_call *first = &e->calls[0];

	close_call(c);
	if (!first->open)
		after_unknown(e, c);
	else
		first->hedge_at = now + (first->hedge_delay + 1) / 2;
}

void entry_on_refuse(struct entry_list *list, clk_ms now, const Bc__Refuse *r)
{
	struct entry_call *c;
	struct entry *e;

	HASH_FIND(hh, list->slot_requests, &r->ask, sizeof(r->ask), c);
	if (!c || !c->open || c->slot)
		return;
	e = c->entry;
	if (c->is_hedge) {
		hedge_refused(e, c, now);
		return;
	}
	if (r->reason == BROKER_REFUSE_NOT_BROKER || r->reason == BROKER_REFUSE_NO_CONFIG) {
		/* Another router is the broker; entry_call_tick() sends the slot request again. */
		c->requested_from = 0;
		c->next_send = now + ENTRY_SLOT_REQUEST_RETRY_MS;
		return;
	}
	close_call(c);
	if (r->reason == BROKER_REFUSE_REPEAT)
		refuse_repeat(e, (enum once_state)r->recorded);
	else if (r->reason < sizeof(refusals) / sizeof(refusals[0]) && refusals[r->reason].status)
		entry_refuse(e, refusals[r->reason].status, refusals[r->reason].error,
			     refusals[r->reason].remedy,
			     r->retry_after_ms ? r->retry_after_ms : 1000);
	else
		entry_refuse(e, 503, "refused by the broker", "try again later", 1000);
}

/* ---- tick ----------------------------------------------------------------------------------- */

static void start_hedge(struct entry *e)
{
	e->calls[0].hedge_at = 0;
	ctr_inc(&ctr_hedges);
	entry_request_slot(e, &e->calls[1]);
}

void entry_call_tick(struct entry *e, clk_ms now)
{
	struct entry_call *c = &e->calls[0];

	if (c->open && c->call && c->hedge_at && now >= c->hedge_at && !e->finished)
		start_hedge(e);
	if (e->finished || !c->open || c->slot)
		return;
	if (now > e->deadline + ENTRY_DECISION_MARGIN_MS) {
		bool member = e->node->is_member;

		entry_refuse(e, 503,
			     member ? "no broker answered before the deadline"
				    : "this router is not a member of its cell",
			     "try again later", 1000);
		return;
	}
	if (now >= c->next_send && now < e->deadline &&
	    (c->requested_from == 0 || c->requested_from != svc_holder(e->svc, now)))
		send_slot_request(e, c, now);
}
