#include "process/slots.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"
#include "base/rnd.h"

/*
 * Time for a controller to confirm or decide a slot request before this gateway decides itself. The
 * controller of a key may be in another region.
 */
#define SAME_REGION_ACK_TIMEOUT_MS 120
#define CROSS_REGION_ACK_TIMEOUT_MS 250
/* Retry-After of a request whose controller kept it waiting until its deadline. */
#define EXPIRED_RETRY_AFTER_MS 300
/* A limit is reported to the shard manager only if an answer named it within this time. */
#define LIMIT_REPORT_AGE_MS 1000
/* Interval of the gauge of expected work. */
#define WORK_GAUGE_MS 500
/* Expected service time of a service before its first answer. */
#define INITIAL_SERVICE_MS 200

static const struct log log = {"slots"};
CTR(ctr_local, "slots_local_total", "Asks decided by this gateway for itself.");
CTR(ctr_remote, "slots_remote_total", "Asks sent to another gateway.");
CTR(ctr_fallback, "slots_fallback_total", "Asks that the lender did not answer.");
CTR(ctr_expired, "slots_expired_total",
    "Asks that their lender had queued and not decided by their deadline.");
CTR(ctr_no_upstream, "slots_no_upstream_total", "Asks whose lender knew no upstream.");

CTR_GAUGE(ctr_work, "slots_work_ms", "Expected time left of requests, running or waiting here.");

struct slots {
	struct slots_env env;
	uint64_t next_request;
	struct slot_pool *pools;
	struct slot_ask *requests;
	double work_ms; /* summed over the pools, for the metrics */
};

static uint64_t pool_id(struct str service, struct str region)
{
	return rnd_mix(str_hash(service), str_hash(region));
}

static struct slot_pool *pool_find(const struct slots *s, uint64_t id)
{
	struct slot_pool *p;

	HASH_FIND(hh, s->pools, &id, sizeof(id), p);
	return p;
}

uint64_t slots_owner(const struct slot_pool *p, uint32_t key)
{
	return p->slots->env.owner(p->slots->env.data, p->service, key);
}

static uint64_t owner_of_key(void *data, uint32_t key)
{
	return slots_owner(data, key);
}

static void dispatch(struct slot_pool *p);

static void send_request(struct slots *s, struct slot_ask *a);

/*
 * Returns a request of this gateway that waits here because its key had no owner, and that another
 * gateway can decide as controller by now; NULL if there is none.
 */
static struct slot_ask *find_ownerless(const struct slot_pool *p)
{
	const struct slots *s = p->slots;
	struct slot_ask *a;

	for (a = s->requests; a; a = a->hh.next) {
		uint64_t controller;

		if (a->pool != p || a->controller != s->env.node || a->fell_back ||
		    !admit_is_ownerless(p->admit, s->env.node, a->id) || MUTANT(slots_keep_parked))
			continue;
		controller = s->env.controller(s->env.data, p, a->slot_request.key);
		if (controller && controller != s->env.node)
			return a;
	}
	return NULL;
}

/*
 * Sends requests that waited for their key to get an owner to the controller of that owner.
 * Requests from other gateways are decided here, which takes less time than sending them back.
 */
static void send_ownerless_to_controller(struct slot_pool *p)
{
	struct slots *s = p->slots;
	struct slot_ask *a;

	/* A failed send may end requests of other pools, so the search restarts after each send. */
	p->dispatching = true;
	while ((a = find_ownerless(p)) != NULL) {
		admit_cancel(p->admit, s->env.node, a->id);
		send_request(s, a);
		a->fell_back = a->controller == s->env.node;
	}
	p->dispatching = false;
}

static void on_pool_timer(struct timer *timer, void *data)
{
	struct slot_pool *p = data;

	if (p->reroute_due) {
		p->reroute_due = false;
		send_ownerless_to_controller(p);
		admit_reroute(p->admit);
	}
	dispatch(p);
}

static struct slot_pool *pool_create(struct slots *s, const struct topo_service *service,
				     struct str region, const struct admit_options *opts)
{
	struct slot_pool *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->id = pool_id(service->name, region);
	p->slots = s;
	p->keyed = service->keyed;
	snprintf(p->service, sizeof(p->service), "%.*s", STR_ARG(service->name));
	snprintf(p->region, sizeof(p->region), "%.*s", STR_ARG(region));
	p->admit = admit_create(opts, owner_of_key, p, rnd_mix(s->env.node, p->id));
	timer_init(&p->timer, s->env.loop, on_pool_timer, p);
	HASH_ADD(hh, s->pools, id, sizeof(p->id), p);
	return p;
}

struct slot_pool *slots_pool(struct slots *s, struct str service, struct str region)
{
	struct slot_pool *p = pool_find(s, pool_id(service, STR_NULL));

	return p ? p : pool_find(s, pool_id(service, region));
}

/* ---- decisions ------------------------------------------------------------------------------ */

static struct slot_ask *request_find(const struct slots *s, uint64_t id)
{
	struct slot_ask *a;

	HASH_FIND(hh, s->requests, &id, sizeof(id), a);
	return a;
}

static void request_close(struct slots *s, struct slot_ask *a)
{
	HASH_DEL(s->requests, a);
	a->id = 0;
	timer_cancel(&a->timer);
}

static void request_decided(struct slots *s, struct slot_ask *a, const struct admit_decision *d,
			    uint64_t controller)
{
	struct slot_permit permit = {
		.pool = a->pool,
		.controller = controller,
		.slot = d->slot,
		.upstream = d->upstream,
		.cost_class = a->slot_request.cost_class,
	};

	request_close(s, a);
	a->cb(a->data, d, d->granted ? &permit : NULL);
}

static void return_unused(struct slots *s, struct slot_pool *p, uint64_t controller, uint64_t slot)
{
	struct slot_permit permit = {.pool = p, .controller = controller, .slot = slot};

	slots_done(s, &permit, ADMIT_UNUSED, 0, &(struct admit_report){0});
}

static void reply(struct slot_pool *p, const struct admit_decision *d)
{
	struct slots *s = p->slots;
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__SlotReply msg = BC__SLOT_REPLY__INIT;

	msg.id = d->request;
	msg.granted = d->granted;
	msg.slot = d->slot;
	msg.upstream = d->upstream;
	msg.reason = d->reason;
	msg.retry_after_ms = (uint32_t)d->retry_after;
	msg.waited_ms = (uint32_t)d->waited;
	msg.ahead = d->ahead;
	msg.elapsed_ms = (uint32_t)d->elapsed;
	msg.late = d->late;
	msg.pool = d->granted ? p->id : 0;
	msg.knows_none = !d->granted && d->reason == ADMIT_REFUSE_NO_UPSTREAM && !p->known;
	frame.body_case = BC__FRAME__BODY_SLOT_REPLY;
	frame.slot_reply = &msg;
	if (!s->env.send(s->env.data, d->node, &frame) && d->granted)
		return_unused(s, p, s->env.node, d->slot);
}

static void update_work_gauge(struct slot_pool *p, clk_ms now)
{
	struct slots *s = p->slots;

	if (now - p->work_at < WORK_GAUGE_MS)
		return;
	p->work_at = now;
	s->work_ms -= p->work_ms;
	p->work_ms = admit_work_ms(p->admit, now);
	s->work_ms += p->work_ms;
	ctr_set(&ctr_work, s->work_ms > 0 ? (uint64_t)s->work_ms : 0);
}

/*
 * Delivers all decisions that are ready and sets the timer for the next ones. Callbacks may submit
 * new requests; the loop handles these too.
 */
static void dispatch(struct slot_pool *p)
{
	struct slots *s = p->slots;
	struct admit_decision d;
	clk_ms now = clk_now();
	clk_ms due;

	if (p->dispatching)
		return;
	p->dispatching = true;
	while (admit_next(p->admit, now, &d)) {
		struct slot_ask *a = d.node == s->env.node ? request_find(s, d.request) : NULL;

		if (d.node != s->env.node)
			reply(p, &d);
		else if (a)
			request_decided(s, a, &d, s->env.node);
		else if (d.granted)
			return_unused(s, p, s->env.node, d.slot);
	}
	p->dispatching = false;
	update_work_gauge(p, now);
	due = admit_due(p->admit, now);
	if (due == CLK_NEVER)
		timer_cancel(&p->timer);
	else
		timer_arm(&p->timer, due - now > 0 ? due - now : 1);
}

/* ---- requests of this gateway --------------------------------------------------------------- */

/* Counts a request for its key by what it is expected to cost, in mean costs of the service. */
static void note_key(struct slot_pool *p, const struct admit_request *request)
{
	struct slots *s = p->slots;

	p->owed_cost +=
		MUTANT(slots_count_keys) ? 1 : admit_relative_cost(p->admit, request->cost_class);
	for (; p->owed_cost >= 1; p->owed_cost -= 1)
		s->env.on_key(s->env.data, p->service, request->key);
}

static void request_locally(struct slots *s, struct slot_ask *a)
{
	a->controller = s->env.node;
	a->acked = true;
	timer_cancel(&a->timer);
	ctr_inc(&ctr_local);
	if (a->pool->keyed)
		note_key(a->pool, &a->slot_request);
	admit_request(a->pool->admit, clk_now(), &a->slot_request);
	dispatch(a->pool);
}

/* Sets the timer of a request that another gateway is to decide; the deadline ends any wait. */
static void arm_by_deadline(struct slot_ask *a, clk_ms delay, clk_ms now)
{
	clk_ms left = a->slot_request.deadline - now;

	if (left > delay)
		left = delay;
	timer_arm(&a->timer, left > 0 ? left : 0);
}

static bool request_remotely(struct slots *s, struct slot_ask *a, uint64_t controller)
{
	clk_ms now = clk_now();
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__SlotAsk msg = BC__SLOT_ASK__INIT;
	uint64_t avoid[ADMIT_MAX_AVOID];

	msg.id = a->id;
	msg.pool = a->pool->id;
	msg.key = a->slot_request.key;
	msg.priority = a->slot_request.priority;
	msg.account = a->slot_request.account;
	msg.rate = a->slot_request.rate;
	msg.deadline_ms =
		(uint32_t)(a->slot_request.deadline > now ? a->slot_request.deadline - now : 0);
	msg.target_ms = (uint32_t)(a->slot_request.target > now ? a->slot_request.target - now : 0);
	if (!MUTANT(slots_forget_caller))
		msg.fingerprint = a->slot_request.fingerprint;
	if (a->slot_request.caller_deadline > now)
		msg.caller_ms = (uint32_t)(a->slot_request.caller_deadline - now);
	msg.heavy = a->slot_request.heavy;
	msg.place = a->slot_request.place;
	msg.cost_class = a->slot_request.cost_class;
	msg.cost_ms = (uint32_t)(a->slot_request.hint_ms + 0.5);
	msg.cost_samples = a->slot_request.hint_samples;
	msg.avoid = avoid;
	for (size_t i = 0; i < ADMIT_MAX_AVOID; i++) {
		if (a->slot_request.avoid[i])
			avoid[msg.n_avoid++] = a->slot_request.avoid[i];
	}
	frame.body_case = BC__FRAME__BODY_SLOT_ASK;
	frame.slot_ask = &msg;
	a->controller = controller;
	a->acked = false;
	a->sent = now;
	arm_by_deadline(
		a, a->pool->keyed ? CROSS_REGION_ACK_TIMEOUT_MS : SAME_REGION_ACK_TIMEOUT_MS, now);
	if (!s->env.send(s->env.data, controller, &frame)) {
		timer_cancel(&a->timer);
		return false;
	}
	ctr_inc(&ctr_remote);
	return true;
}

static void send_cancel(struct slots *s, const struct slot_ask *a)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__SlotCancel msg = BC__SLOT_CANCEL__INIT;

	msg.id = a->id;
	msg.pool = a->pool->id;
	frame.body_case = BC__FRAME__BODY_SLOT_CANCEL;
	frame.slot_cancel = &msg;
	s->env.send(s->env.data, a->controller, &frame);
}

/*
 * Load pattern: a controller that stops for seconds keeps the requests that it has queued. A grant
 * that it sends later is returned unused.
 */
static void on_request_expired(struct slots *s, struct slot_ask *a)
{
	struct admit_decision d = {
		.node = s->env.node,
		.request = a->id,
		.reason = ADMIT_REFUSE_EXPIRED,
		.retry_after = EXPIRED_RETRY_AFTER_MS,
		.waited = clk_now() - a->sent,
	};
	const struct slot_ask expired = *a;

	ctr_inc(&ctr_expired);
	s->env.on_no_answer(s->env.data, a->controller);
	log_info(&log, "lender of %s did not decide in %lld ms; refusing here", a->pool->service,
		 (long long)d.waited);
	/* Its owner may free it. */
	request_decided(s, a, &d, expired.controller);
	send_cancel(s, &expired);
}

static void on_request_timer(struct timer *timer, void *data)
{
	struct slot_ask *a = data;
	struct slots *s = a->pool->slots;

	if (a->acked) {
		on_request_expired(s, a);
		return;
	}
	ctr_inc(&ctr_fallback);
	s->env.on_answer_time(s->env.data, a->controller, clk_now() - a->sent);
	s->env.on_no_answer(s->env.data, a->controller);
	log_info(&log, "lender of %s did not answer for %lld ms; deciding here", a->pool->service,
		 (long long)(clk_now() - a->sent));
	send_cancel(s, a);
	a->slot_request.unlimited_only = true;
	a->fell_back = true;
	request_locally(s, a);
}

void slots_request_init(struct slots *s, struct slot_ask *a,
			void (*cb)(void *data, const struct admit_decision *d,
				   const struct slot_permit *permit),
			void *data)
{
	*a = (struct slot_ask){.cb = cb, .data = data};
	timer_init(&a->timer, s->env.loop, on_request_timer, a);
}

/* Sends the request to its controller; decides here if that is this gateway or not reachable. */
static void send_request(struct slots *s, struct slot_ask *a)
{
	uint64_t controller = s->env.controller(s->env.data, a->pool, a->slot_request.key);

	if (controller && controller != s->env.node && request_remotely(s, a, controller))
		return;
	a->slot_request.unlimited_only = controller != s->env.node;
	request_locally(s, a);
}

void slots_request(struct slots *s, struct slot_ask *a, struct slot_pool *pool)
{
	a->pool = pool;
	a->id = s->next_request++;
	a->slot_request.node = s->env.node;
	a->slot_request.id = a->id;
	a->slot_request.unlimited_only = false;
	a->slot_request.hint_samples = admit_learned_cost(pool->admit, a->slot_request.cost_class,
							  &a->slot_request.hint_ms);
	a->fell_back = false;
	HASH_ADD(hh, s->requests, id, sizeof(a->id), a);
	send_request(s, a);
}

void slots_cancel(struct slots *s, struct slot_ask *a)
{
	if (!a->id)
		return;
	if (a->controller == s->env.node)
		admit_cancel(a->pool->admit, s->env.node, a->id);
	else
		send_cancel(s, a);
	request_close(s, a);
}

void slots_request_release(struct slots *s, struct slot_ask *a)
{
	slots_cancel(s, a);
	timer_release(&a->timer);
}

void slots_done(struct slots *s, const struct slot_permit *permit, enum admit_outcome outcome,
		clk_ms service, const struct admit_report *report)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__SlotDone msg = BC__SLOT_DONE__INIT;

	if (permit->controller == s->env.node) {
		admit_done(permit->pool->admit, clk_now(), permit->slot, outcome, service, report);
		dispatch(permit->pool);
		return;
	}
	msg.pool = permit->pool->id;
	msg.slot = permit->slot;
	msg.outcome = outcome;
	msg.service_ms = (uint32_t)(service > 0 ? service : 0);
	msg.reported = report->known;
	msg.running = report->running;
	msg.waiting = report->waiting;
	msg.slots = report->slots;
	msg.slowness = report->slowness;
	msg.answered = report->answered;
	msg.limited = report->notice.limited;
	msg.limit = report->notice.limit;
	/* This gateway may be the next controller. */
	if (!MUTANT(slots_forget_limit))
		admit_note_limit(permit->pool->admit, clk_now(), permit->upstream, report);
	if (outcome == ADMIT_OK && !MUTANT(slots_forget_cost))
		admit_learn_cost(permit->pool->admit, permit->cost_class, service, report);
	frame.body_case = BC__FRAME__BODY_SLOT_DONE;
	frame.slot_done = &msg;
	s->env.send(s->env.data, permit->controller, &frame);
}

/* ---- frames --------------------------------------------------------------------------------- */

static void on_slot_ask(struct slots *s, uint64_t from, const Bc__SlotAsk *msg)
{
	struct slot_pool *p = pool_find(s, msg->pool);
	clk_ms now = clk_now();
	struct admit_request slot_request = {
		.node = from,
		.id = msg->id,
		.key = msg->key,
		.priority = msg->priority,
		.account = msg->account,
		.rate = msg->rate,
		.deadline = now + msg->deadline_ms,
		.target = now + msg->target_ms,
		.fingerprint = msg->fingerprint,
		.caller_deadline = now + msg->caller_ms,
		.heavy = msg->heavy,
		.place = msg->place,
		.cost_class = msg->cost_class,
		.hint_ms = msg->cost_ms,
		.hint_samples = msg->cost_samples,
	};
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__SlotReply queued = BC__SLOT_REPLY__INIT;

	/* The sender may have a newer configuration; without a reply it decides by itself. */
	if (!p)
		return;
	for (size_t i = 0; i < msg->n_avoid && i < ADMIT_MAX_AVOID; i++)
		slot_request.avoid[i] = msg->avoid[i];
	/*
	 * The key may have a new owner since the request was sent. If another gateway is that
	 * owner's controller, only that gateway may grant its slots while the owner is cold.
	 */
	if (p->keyed) {
		slot_request.unlimited_only =
			s->env.controller(s->env.data, p, slot_request.key) != s->env.node;
		note_key(p, &slot_request);
	}
	admit_request(p->admit, now, &slot_request);
	dispatch(p);
	if (!admit_is_waiting(p->admit, from, msg->id))
		return;
	queued.id = msg->id;
	queued.queued = true;
	frame.body_case = BC__FRAME__BODY_SLOT_REPLY;
	frame.slot_reply = &queued;
	s->env.send(s->env.data, from, &frame);
}

/*
 * Whether the controller refuses since it knows no upstream, usable or not. This gateway may know
 * some: a restore of the store may have lost their registrations before the controller started. A
 * controller that knows upstreams may know better than this gateway that they are out of use.
 */
static bool lacks_upstreams(const Bc__SlotReply *msg)
{
	return !msg->granted && msg->reason == ADMIT_REFUSE_NO_UPSTREAM &&
	       (msg->knows_none || MUTANT(slots_fall_back_always)) &&
	       !MUTANT(slots_trust_no_upstream);
}

static void on_slot_reply(struct slots *s, uint64_t from, const Bc__SlotReply *msg)
{
	struct slot_ask *a = request_find(s, msg->id);
	struct slot_pool *p;
	struct admit_decision d = {
		.node = s->env.node,
		.request = msg->id,
		.granted = msg->granted,
		.slot = msg->slot,
		.upstream = msg->upstream,
		.reason = (enum admit_refusal)msg->reason,
		.retry_after = msg->retry_after_ms,
		.waited = msg->waited_ms,
		.ahead = msg->ahead,
		.elapsed = msg->elapsed_ms,
		.late = msg->late,
	};

	if (a && a->controller == from && !a->acked)
		s->env.on_answer_time(s->env.data, from, clk_now() - a->sent);
	if (a && a->controller == from && msg->queued) {
		a->acked = true;
		timer_cancel(&a->timer);
		if (!MUTANT(slots_trust_lender))
			arm_by_deadline(a, CLK_NEVER, clk_now());
	} else if (a && a->controller == from && lacks_upstreams(msg)) {
		ctr_inc(&ctr_no_upstream);
		a->slot_request.unlimited_only = true;
		a->fell_back = true;
		request_locally(s, a);
	} else if (a && a->controller == from) {
		request_decided(s, a, &d, from);
	} else if (msg->granted) {
		/* The request was cancelled while the grant was in transit. */
		p = pool_find(s, msg->pool);
		if (p)
			return_unused(s, p, from, msg->slot);
	}
}

static void on_slot_done(struct slots *s, const Bc__SlotDone *msg)
{
	struct slot_pool *p = pool_find(s, msg->pool);
	struct admit_report report = {
		.known = msg->reported,
		.running = msg->running,
		.waiting = msg->waiting,
		.slots = msg->slots,
		.slowness = msg->slowness,
		.answered = msg->answered,
		.notice = {.limited = msg->limited, .limit = msg->limit},
	};

	if (!p || msg->outcome > ADMIT_UNUSED)
		return;
	admit_done(p->admit, clk_now(), msg->slot, (enum admit_outcome)msg->outcome,
		   msg->service_ms, &report);
	dispatch(p);
}

void slots_on_frame(struct slots *s, uint64_t from, const Bc__Frame *frame)
{
	struct slot_pool *p;

	switch (frame->body_case) {
	case BC__FRAME__BODY_SLOT_ASK:
		on_slot_ask(s, from, frame->slot_ask);
		break;
	case BC__FRAME__BODY_SLOT_REPLY:
		on_slot_reply(s, from, frame->slot_reply);
		break;
	case BC__FRAME__BODY_SLOT_CANCEL:
		p = pool_find(s, frame->slot_cancel->pool);
		if (p)
			admit_cancel(p->admit, from, frame->slot_cancel->id);
		break;
	case BC__FRAME__BODY_SLOT_DONE:
		on_slot_done(s, frame->slot_done);
		break;
	default:
		break;
	}
}

void slots_on_node_down(struct slots *s, uint64_t node)
{
	struct slot_ask *a;
	struct slot_ask *tmp;
	struct slot_pool *p;
	bool again;

	for (p = s->pools; p; p = p->hh.next)
		admit_remove_node(p->admit, node);
	/* A decision may end other requests, so the search restarts after each decision. */
	do {
		again = false;
		HASH_ITER (hh, s->requests, a, tmp) {
			if (a->controller != node)
				continue;
			a->slot_request.unlimited_only =
				s->env.controller(s->env.data, a->pool, a->slot_request.key) !=
				s->env.node;
			request_locally(s, a);
			again = true;
			break;
		}
	} while (again);
}

void slots_owners_changed(struct slots *s, const char *service)
{
	struct slot_pool *p = pool_find(s, pool_id(str_from(service), STR_NULL));

	if (!p)
		return;
	p->reroute_due = true;
	/* The timer moves the requests, since dispatch() may be running when the owners change. */
	timer_arm(&p->timer, 0);
}

struct slots_speed slots_speed_of(struct slots *s, const char *service, uint64_t upstream)
{
	struct slot_pool *p = pool_find(s, pool_id(str_from(service), STR_NULL));
	struct slots_speed speed = {0};
	struct admit_load load;

	if (!p || !admit_load_of(p->admit, upstream, clk_now(), &load))
		return speed;
	speed.service_ms = (clk_ms)load.service_ms;
	if (load.mixed && !MUTANT(slots_report_mixed_mean))
		speed.slowness = (uint32_t)load.slowness;
	if (load.limit_age < LIMIT_REPORT_AGE_MS)
		speed.limit = load.limit;
	return speed;
}

void slots_note_speed(struct slots *s, const char *service, uint64_t upstream,
		      const struct slots_speed *speed)
{
	struct slot_pool *p = pool_find(s, pool_id(str_from(service), STR_NULL));
	struct admit_report report = {
		.answered = true,
		.notice = {.limited = true, .limit = speed->limit},
	};

	if (p && speed->slowness > 0 && speed->service_ms > 0)
		admit_set_slowness(p->admit, upstream, speed->slowness, speed->service_ms);
	else if (p && speed->service_ms > 0)
		admit_set_service_time(p->admit, upstream, speed->service_ms);
	if (p && speed->limit > 0)
		admit_note_limit(p->admit, clk_now(), upstream, &report);
}

double slots_capacity(struct slots *s, const char *service, uint64_t upstream)
{
	struct slot_pool *p = pool_find(s, pool_id(str_from(service), STR_NULL));
	struct admit_load load;
	double per_second;

	if (!p || !admit_load_of(p->admit, upstream, clk_now(), &load) || load.service_ms <= 0 ||
	    !load.slots)
		return 1;
	per_second = load.slots * 1000.0 / load.service_ms;
	if (load.limit > 0 && load.limit < per_second && !MUTANT(slots_plan_without_limit))
		per_second = load.limit;
	return per_second;
}

/* ---- configuration -------------------------------------------------------------------------- */

static void sync_service(struct slots *s, const struct topo_service *service)
{
	for (size_t i = 0; i < s->env.settings->n_domains; i++) {
		struct str region = service->keyed ? STR_NULL : s->env.settings->domains[i].region;
		struct slot_pool *p = pool_find(s, pool_id(service->name, region));
		struct admit_options opts = {
			.keyed = service->keyed,
			.cold_per_second = service->cold_per_second,
			.initial_service_time = INITIAL_SERVICE_MS,
		};

		if (!p)
			p = pool_create(s, service, region, &opts);
		admit_set_options(p->admit, &opts);
	}
}

static void sync_upstreams(struct slots *s, struct slot_pool *p, const struct fleet *fleet,
			   clk_ms now)
{
	struct fleet_upstream *u;

	p->known = false;
	for (u = fleet_first(fleet); u; u = u->hh.next) {
		struct str region = gwset_region(s->env.settings, str_from(u->failure_domain));
		struct admit_upstream conf = {
			.num = u->num,
			.slots = u->slots,
			.place = (uint32_t)str_hash(str_from(u->failure_domain)),
			.usable = fleet_is_usable(u, now),
			.cold_until = u->cold_until,
		};

		if (strcmp(u->service, p->service) != 0 ||
		    (!p->keyed && !str_eq_cstr(region, p->region)))
			continue;
		p->known = p->known || fleet_is_known(u, now);
		if (conf.usable)
			admit_set_upstream(p->admit, now, &conf);
		else
			admit_remove_upstream(p->admit, u->num);
	}
	timer_arm(&p->timer, 0);
}

void slots_sync(struct slots *s, const struct topo *topo, const struct fleet *fleet, clk_ms now)
{
	struct slot_pool *p;
	struct slot_pool *tmp;

	for (size_t i = 0; i < topo->n_services; i++)
		sync_service(s, &topo->services[i]);
	/* Pools of services that are no longer configured stay: requests may refer to them. */
	HASH_ITER (hh, s->pools, p, tmp)
		sync_upstreams(s, p, fleet, now);
}

struct slots *slots_create(const struct slots_env *env)
{
	struct slots *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	s->env = *env;
	s->next_request = 1;
	return s;
}

void slots_destroy(struct slots *s)
{
	struct slot_pool *p;
	struct slot_pool *tmp;

	if (!s)
		return;
	HASH_ITER (hh, s->pools, p, tmp) {
		HASH_DEL(s->pools, p);
		timer_release(&p->timer);
		admit_destroy(p->admit);
		free(p);
	}
	free(s);
}
