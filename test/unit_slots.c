/* Tests of two gateways that share the slots of a service; frames between them can be lost. */
#include <stdlib.h>

#include "process/slots.h"
#include "test/unit.h"
#include "test/unit_loop.h"

struct gateway {
	uint64_t no_answer; /* gateway last reported as not answering, 0: none */
	struct fixture *fixture;
	uint64_t node;
	struct slots *slots;
};

struct fixture {
	h2o_loop_t *loop;
	struct gwset settings;
	struct gwset_domain domains[1];
	struct topo *topo;
	struct topo_service service;
	struct fleet *fleet;
	struct fleet_info info; /* registration of the only upstream */
	struct gateway gateways[2];
	uint64_t controller;	/* gateway that both gateways take for the controller */
	uint64_t owner;		/* upstream that owns every key */
	bool drop;		/* frames are lost after sending */
	bool cut;		/* sending a frame fails */
	uint32_t key_counts[3]; /* calls of on_key() for each key */
};

/* Slot request and its result. */
struct outcome {
	struct slot_ask slot_request;
	struct fixture *fixture;
	bool decided; /* the request was granted or refused */
	bool granted;
	bool late;
	clk_ms elapsed;
	struct slot_permit permit;
};

static void deliver(struct fixture *w, uint64_t to, uint64_t from, const Bc__Frame *frame)
{
	for (int i = 0; i < 2; i++) {
		if (w->gateways[i].node == to)
			slots_on_frame(w->gateways[i].slots, from, frame);
	}
}

static bool send_frame(void *data, uint64_t node, Bc__Frame *frame)
{
	struct gateway *g = data;
	uint8_t *packed;
	size_t len;
	Bc__Frame *copy;

	if (g->fixture->cut)
		return false;
	if (g->fixture->drop)
		return true;
	/* Packs and unpacks the frame, as on the wire. */
	len = bc__frame__get_packed_size(frame);
	packed = malloc(len);
	bc__frame__pack(frame, packed);
	copy = bc__frame__unpack(NULL, len, packed);
	free(packed);
	deliver(g->fixture, node, g->node, copy);
	bc__frame__free_unpacked(copy, NULL);
	return true;
}

static uint64_t controller(void *data, const struct slot_pool *pool, uint32_t key)
{
	return ((struct gateway *)data)->fixture->controller;
}

static uint64_t owner(void *data, const char *service, uint32_t key)
{
	return ((struct gateway *)data)->fixture->owner;
}

static void on_answer_time(void *data, uint64_t node, clk_ms ms)
{
}

static void on_no_answer(void *data, uint64_t node)
{
	struct gateway *g = data;

	g->no_answer = node;
}

static void on_key(void *data, const char *service, uint32_t key)
{
	struct gateway *g = data;

	if (key < 3)
		g->fixture->key_counts[key]++;
}

static void ignore_upstream(void *data, struct fleet_upstream *u)
{
}

static void setup_service(struct fixture *w, bool keyed)
{
	static const struct fleet_handlers handlers = {ignore_upstream, ignore_upstream};
	struct fleet_info info = {
		.id = STR_LIT("u1"),
		.service = STR_LIT("s"),
		.ip = "127.0.0.5",
		.port = 1,
		.failure_domain = STR_LIT("d"),
		.slots = 1,
		.started = 1,
	};

	memset(w, 0, sizeof(*w));
	w->loop = h2o_evloop_create();
	w->domains[0] = (struct gwset_domain){STR_LIT("d"), STR_LIT("r")};
	w->settings.domains = w->domains;
	w->settings.n_domains = 1;
	w->settings.region = STR_LIT("r");
	w->service.name = STR_LIT("s");
	w->service.keyed = keyed;
	w->topo = topo_create();
	w->topo->services = &w->service;
	w->topo->n_services = 1;
	w->fleet = fleet_create(&handlers, w);
	w->info = info;
	fleet_put(w->fleet, clk_now(), &w->info);
	for (int i = 0; i < 2; i++) {
		struct slots_env env = {
			.loop = w->loop,
			.settings = &w->settings,
			.node = (uint64_t)i + 1,
			.data = &w->gateways[i],
			.send = send_frame,
			.controller = controller,
			.owner = owner,
			.on_answer_time = on_answer_time,
			.on_no_answer = on_no_answer,
			.on_key = on_key,
		};

		w->gateways[i] = (struct gateway){.fixture = w, .node = (uint64_t)i + 1};
		w->gateways[i].slots = slots_create(&env);
		slots_sync(w->gateways[i].slots, w->topo, w->fleet, clk_now());
	}
	w->controller = 1;
}

static void setup(struct fixture *w)
{
	setup_service(w, false);
}

static void teardown(struct fixture *w)
{
	for (int i = 0; i < 2; i++)
		slots_destroy(w->gateways[i].slots);
	topo_destroy(w->topo);
	fleet_destroy(w->fleet);
	timer_destroy_loop(w->loop);
}

static void on_decided(void *data, const struct admit_decision *d, const struct slot_permit *permit)
{
	struct outcome *o = data;

	ck_assert(!o->decided);
	o->decided = true;
	o->granted = d->granted;
	o->late = d->late;
	o->elapsed = d->elapsed;
	if (permit)
		o->permit = *permit;
}

static void slot_request(struct fixture *w, int gateway, struct outcome *o)
{
	struct slots *s = w->gateways[gateway].slots;

	memset(o, 0, sizeof(*o));
	o->fixture = w;
	slots_request_init(s, &o->slot_request, on_decided, o);
	o->slot_request.slot_request.deadline = clk_now() + 5000;
	o->slot_request.slot_request.target = clk_now() + 3000;
	slots_request(s, &o->slot_request, slots_pool(s, STR_LIT("s"), STR_LIT("r")));
}

static void done(struct fixture *w, int gateway, const struct outcome *o)
{
	struct admit_report none = {0};

	slots_done(w->gateways[gateway].slots, &o->permit, ADMIT_OK, 10, &none);
}

static bool is_decided(void *data)
{
	return ((struct outcome *)data)->decided;
}

/* Returns the slot of `first`; checks that the controller then grants it to `second`. */
static void check_second_gets_slot(struct fixture *w, struct outcome *first, struct outcome *second)
{
	done(w, 0, first);
	ck_assert(unit_run_until(w->loop, is_decided, second));
	ck_assert(second->granted);
	ck_assert_uint_eq(second->permit.controller, 1);
	done(w, 1, second);
	slots_request_release(w->gateways[0].slots, &first->slot_request);
	slots_request_release(w->gateways[1].slots, &second->slot_request);
}

/* Guards against two gateways that use the only slot of an upstream at the same time. */
START_TEST(one_slot_for_both_gateways)
{
	static struct fixture w;
	static struct outcome a;
	static struct outcome b;

	setup(&w);
	slot_request(&w, 0, &a);
	slot_request(&w, 1, &b);
	ck_assert(a.decided && a.granted);
	unit_run_for(w.loop, 200);
	ck_assert(!b.decided);
	check_second_gets_slot(&w, &a, &b);
	teardown(&w);
}
END_TEST

/*
 * If the controller does not answer, the gateway grants the slot itself, even before the failure of
 * the controller is detected.
 */
START_TEST(request_is_decided_here_without_an_answer)
{
	static struct fixture w;
	static struct outcome b;

	setup(&w);
	w.drop = true;
	slot_request(&w, 1, &b);
	ck_assert(unit_run_until(w.loop, is_decided, &b));
	ck_assert(b.granted);
	ck_assert_uint_eq(b.permit.controller, 2);
	ck_assert_uint_eq(w.gateways[1].no_answer, w.controller);
	done(&w, 1, &b);
	slots_request_release(w.gateways[1].slots, &b.slot_request);
	teardown(&w);
}
END_TEST

/*
 * The controller fails and the gateway becomes controller itself: it decides its pending requests.
 */
START_TEST(requests_of_a_failed_controller_are_decided)
{
	static struct fixture w;
	static struct outcome a;
	static struct outcome b;

	setup(&w);
	slot_request(&w, 0, &a);
	slot_request(&w, 1, &b);
	ck_assert(!b.decided);
	w.controller = 2;
	slots_on_node_down(w.gateways[1].slots, 1);
	ck_assert(unit_run_until(w.loop, is_decided, &b));
	ck_assert(b.granted);
	ck_assert_uint_eq(b.permit.controller, 2);
	done(&w, 0, &a);
	done(&w, 1, &b);
	slots_request_release(w.gateways[0].slots, &a.slot_request);
	slots_request_release(w.gateways[1].slots, &b.slot_request);
	teardown(&w);
}
END_TEST

#define SHORT_DEADLINE_MS 800

/* Requests a slot for `left` ms only. */
static void slot_request_until(struct fixture *w, int gateway, struct outcome *o, clk_ms left)
{
	struct slots *s = w->gateways[gateway].slots;

	memset(o, 0, sizeof(*o));
	o->fixture = w;
	slots_request_init(s, &o->slot_request, on_decided, o);
	o->slot_request.slot_request.deadline = clk_now() + left;
	o->slot_request.slot_request.target = clk_now() + left;
	slots_request(s, &o->slot_request, slots_pool(s, STR_LIT("s"), STR_LIT("r")));
}

/*
 * The controller has queued a request of another gateway, and nothing comes from it any more, but
 * the connection stays open. Guards against a request that gets no answer: review/8.
 */
START_TEST(queued_request_ends_by_its_deadline)
{
	static struct fixture w;
	static struct outcome a;
	static struct outcome b;
	static struct outcome c;
	clk_ms begin;

	setup(&w);
	slot_request(&w, 0, &a);
	begin = clk_now();
	slot_request_until(&w, 1, &b, SHORT_DEADLINE_MS);
	unit_run_for(w.loop, 50);
	ck_assert(!b.decided);
	w.drop = true;
	ck_assert(unit_run_until(w.loop, is_decided, &b));
	ck_assert(!b.granted);
	ck_assert_int_ge(clk_now() - begin, SHORT_DEADLINE_MS);
	ck_assert_int_le(clk_now() - begin, SHORT_DEADLINE_MS + 100);
	ck_assert_uint_eq(w.gateways[1].no_answer, w.controller);
	w.drop = false;
	done(&w, 0, &a);
	slot_request(&w, 0, &c);
	ck_assert(c.decided && c.granted);
	done(&w, 0, &c);
	slots_request_release(w.gateways[0].slots, &a.slot_request);
	slots_request_release(w.gateways[1].slots, &b.slot_request);
	slots_request_release(w.gateways[0].slots, &c.slot_request);
	teardown(&w);
}
END_TEST

/* A request is sent with less time left than its controller has to answer. */
START_TEST(unanswered_request_ends_by_its_deadline)
{
	static struct fixture w;
	static struct outcome b;
	clk_ms begin;

	setup(&w);
	w.drop = true;
	begin = clk_now();
	slot_request_until(&w, 1, &b, 30);
	ck_assert(unit_run_until(w.loop, is_decided, &b));
	ck_assert_int_le(clk_now() - begin, 80);
	if (b.granted)
		done(&w, 1, &b);
	slots_request_release(w.gateways[1].slots, &b.slot_request);
	teardown(&w);
}
END_TEST

/* Guards against granting a slot to a cancelled request. */
START_TEST(cancelled_request_takes_no_slot)
{
	static struct fixture w;
	static struct outcome a;
	static struct outcome b;
	static struct outcome c;

	setup(&w);
	slot_request(&w, 0, &a);
	slot_request(&w, 1, &b);
	slots_cancel(w.gateways[1].slots, &b.slot_request);
	done(&w, 0, &a);
	slot_request(&w, 0, &c);
	ck_assert(c.decided && c.granted);
	ck_assert(!b.decided);
	done(&w, 0, &c);
	slots_request_release(w.gateways[0].slots, &a.slot_request);
	slots_request_release(w.gateways[1].slots, &b.slot_request);
	slots_request_release(w.gateways[0].slots, &c.slot_request);
	teardown(&w);
}
END_TEST

/*
 * A request waits while its key has no owner. Guards against a gateway that then grants slots of
 * the new owner although another gateway is the controller: the owner of a hot key got more
 * requests than it has slots.
 */
START_TEST(ownerless_request_moves_to_the_controller)
{
	static struct fixture w;
	static struct outcome a;
	static struct outcome b;

	setup_service(&w, true);
	w.controller = 0;
	slot_request(&w, 0, &a);
	slot_request(&w, 1, &b);
	unit_run_for(w.loop, 50);
	ck_assert(!a.decided && !b.decided);
	w.owner = fleet_num(STR_LIT("u1"));
	w.controller = 1;
	for (int i = 0; i < 2; i++)
		slots_owners_changed(w.gateways[i].slots, "s");
	ck_assert(unit_run_until(w.loop, is_decided, &a));
	unit_run_for(w.loop, 50);
	ck_assert(a.granted && !b.decided);
	check_second_gets_slot(&w, &a, &b);
	teardown(&w);
}
END_TEST

static size_t ended;

/* Frees the request in the callback, as forward.c does. */
static void on_decided_free(void *data, const struct admit_decision *d,
			    const struct slot_permit *permit)
{
	struct outcome *o = data;
	struct admit_report none = {0};

	ended++;
	if (permit)
		slots_done(o->fixture->gateways[1].slots, permit, ADMIT_OK, 10, &none);
	slots_request_release(o->fixture->gateways[1].slots, &o->slot_request);
	free(o);
}

static bool all_ended(void *data)
{
	return ended == 4;
}

/*
 * Keys get an owner when the requests for them have waited too long, and the controller cannot be
 * reached. Guards against use of a request that was freed during the search.
 */
START_TEST(ownerless_requests_end_during_the_search)
{
	static struct fixture w;

	setup_service(&w, true);
	w.controller = 0;
	ended = 0;
	for (int i = 0; i < 4; i++) {
		struct outcome *o = malloc(sizeof(*o));

		slot_request(&w, 1, o);
		o->slot_request.cb = on_decided_free;
	}
	/* Longer than ADMIT_OWNER_WAIT_MS; the event loop does not run meanwhile. */
	usleep(800 * 1000);
	w.owner = fleet_num(STR_LIT("u1"));
	w.controller = 1;
	w.cut = true;
	slots_owners_changed(w.gateways[1].slots, "s");
	ck_assert(unit_run_until(w.loop, all_ended, &w));
	teardown(&w);
}
END_TEST

/* Requests and returns slots as fast as the controller grants them; returns how many it granted. */
static uint32_t use_slots(struct fixture *w, int gateway, int tries,
			  const struct admit_report *report)
{
	uint32_t granted = 0;

	for (int i = 0; i < tries; i++) {
		struct outcome o;

		slot_request(w, gateway, &o);
		if (o.decided && o.granted) {
			slots_done(w->gateways[gateway].slots, &o.permit, ADMIT_OK, 10, report);
			granted++;
		}
		slots_request_release(w->gateways[gateway].slots, &o.slot_request);
	}
	return granted;
}

/*
 * An upstream names a limit in an answer to a request of the second gateway, then the controller
 * fails. Guards against a successor that begins without the limit, and against a gateway that sends
 * requests by its own decision while the controller exists.
 */
START_TEST(successor_of_a_controller_knows_the_limit)
{
	const struct admit_report report = {.answered = true,
					    .notice = {.limited = true, .limit = 0.5}};
	struct fixture w;

	setup(&w);
	ck_assert_uint_ge(use_slots(&w, 1, 1, &report), 1);
	ck_assert_uint_eq(use_slots(&w, 1, 20, &report), 0);
	w.cut = true;
	ck_assert_uint_eq(use_slots(&w, 1, 20, &report), 0);
	w.controller = 2;
	ck_assert_uint_le(use_slots(&w, 1, 20, &report), 1);
	teardown(&w);
}
END_TEST

/*
 * A controller reports an owner's limit to the shard manager. Guards against a plan that leaves an
 * upstream the keys that its slots could bear, while it turns their requests away.
 */
START_TEST(capacity_of_a_limited_owner_is_its_limit)
{
	const struct slots_speed limited = {.service_ms = 100, .limit = 2};
	const struct slots_speed silent = {.service_ms = 100};
	struct fixture w;
	struct slots *s;
	uint64_t u1 = fleet_num(STR_LIT("u1"));

	setup_service(&w, true);
	s = w.gateways[0].slots;
	slots_note_speed(s, "s", u1, &silent);
	ck_assert(slots_capacity(s, "s", u1) > 9);
	slots_note_speed(s, "s", u1, &limited);
	ck_assert(slots_capacity(s, "s", u1) < 2.1);
	/* A report without a limit may come from a gateway that has not heard of it. */
	slots_note_speed(s, "s", u1, &silent);
	ck_assert(slots_capacity(s, "s", u1) < 2.1);
	ck_assert(slots_speed_of(s, "s", u1).limit > 1.9);
	teardown(&w);
}
END_TEST

/* Sends `n` requests by the second gateway: for key 1 of 100 ms, for key 2 of 1000 ms. */
static void use_mixed(struct fixture *w, int n, const struct admit_report *report)
{
	struct slots *s = w->gateways[1].slots;

	for (int i = 0; i < n; i++) {
		struct outcome o = {.fixture = w};
		uint32_t kind = 1 + (uint32_t)i % 2;

		slots_request_init(s, &o.slot_request, on_decided, &o);
		o.slot_request.slot_request.deadline = clk_now() + 5000;
		o.slot_request.slot_request.target = clk_now() + 3000;
		o.slot_request.slot_request.key = kind;
		o.slot_request.slot_request.cost_class = kind;
		slots_request(s, &o.slot_request, slots_pool(s, STR_LIT("s"), STR_LIT("r")));
		ck_assert(o.decided && o.granted);
		slots_done(s, &o.permit, ADMIT_OK, kind == 1 ? 100 : 1000, report);
		slots_request_release(s, &o.slot_request);
	}
}

/*
 * Requests of 100 and of 1000 ms for the keys of an upstream of half the usual speed. Guards
 * against a plan that counts both alike, or takes the mix that a controller saw for the upstream's
 * speed, and against a successor of the controller that has to learn the costs.
 */
START_TEST(costs_reach_the_plan_and_the_successor)
{
	const struct admit_report report = {
		.known = true, .running = 1, .slots = 1, .slowness = 200, .answered = true};
	struct slots_speed speed;
	struct fixture w;
	struct slot_pool *pool;
	double ms = 0;

	setup_service(&w, true);
	w.owner = fleet_num(STR_LIT("u1"));
	use_mixed(&w, 80, &report);
	memset(w.key_counts, 0, sizeof(w.key_counts));
	use_mixed(&w, 80, &report);
	ck_assert_msg(w.key_counts[2] > 3 * w.key_counts[1], "%u and %u", w.key_counts[1],
		      w.key_counts[2]);
	ck_assert_uint_ge(w.key_counts[1] + w.key_counts[2], 60);
	ck_assert_uint_le(w.key_counts[1] + w.key_counts[2], 100);

	speed = slots_speed_of(w.gateways[0].slots, "s", w.owner);
	ck_assert_msg(speed.slowness > 190 && speed.slowness <= 200, "%u", speed.slowness);
	for (int i = 0; i < 100; i++)
		slots_note_speed(w.gateways[1].slots, "s", w.owner, &speed);
	ck_assert_double_eq_tol(slots_capacity(w.gateways[1].slots, "s", w.owner),
				1000.0 / (double)speed.service_ms, 0.3);

	pool = slots_pool(w.gateways[1].slots, STR_LIT("s"), STR_LIT("r"));
	ck_assert_uint_ge(admit_learned_cost(pool->admit, 2, &ms), 30);
	ck_assert_double_eq_tol(ms, 500, 10);
	teardown(&w);
}
END_TEST

/*
 * The controller started after a restore of the store that lost the registration of the only
 * upstream, which the other gateway knows. Guards against a live upstream of which no gateway makes
 * use; without any upstream the request is refused.
 */
START_TEST(controller_without_upstreams_does_not_refuse_for_others)
{
	static struct fixture w;
	static struct outcome b;
	static struct outcome c;

	setup(&w);
	fleet_remove(w.fleet, STR_LIT("u1"), clk_now());
	slots_sync(w.gateways[0].slots, w.topo, w.fleet, clk_now());
	slot_request(&w, 1, &b);
	ck_assert(b.decided && b.granted);
	ck_assert_uint_eq(b.permit.controller, 2);
	done(&w, 1, &b);
	slots_request_release(w.gateways[1].slots, &b.slot_request);

	slots_sync(w.gateways[1].slots, w.topo, w.fleet, clk_now());
	slot_request(&w, 1, &c);
	ck_assert(c.decided && !c.granted);
	slots_request_release(w.gateways[1].slots, &c.slot_request);
	teardown(&w);
}
END_TEST

static void drain(struct fixture *w, struct fleet_upstream *u)
{
	struct fleet_info info = w->info;

	info.draining = true;
	fleet_put(w->fleet, clk_now(), &info);
}

static void evacuate(struct fixture *w, struct fleet_upstream *u)
{
	const struct str domain = STR_LIT("d");

	fleet_set_evacuated(w->fleet, &domain, 1);
}

static void leave(struct fixture *w, struct fleet_upstream *u)
{
	fleet_note_leaving(w->fleet, u->num, u->started);
}

static void displace(struct fixture *w, struct fleet_upstream *u)
{
	fleet_note_displaced(u, clk_now());
}

static void lose(struct fixture *w, struct fleet_upstream *u)
{
	fleet_begin_full_read(w->fleet);
	fleet_end_restored_read(w->fleet, clk_now(), clk_now());
}

/*
 * The controller knows why the only upstream may get no requests; the other gateway has older
 * tables. Guards against requests that the other gateway sends there by its own decision.
 */
START_TEST(upstream_out_of_use_at_the_controller_gets_no_request)
{
	static const struct {
		void (*take_out)(struct fixture *w, struct fleet_upstream *u);
		bool removed; /* its registration is gone as well */
	} cases[] = {
		{drain, false},	   {drain, true},    {evacuate, false},
		{evacuate, true},  {leave, false},   {leave, true},
		{displace, false}, {displace, true}, {lose, false},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		static struct fixture w;
		static struct outcome b;

		setup(&w);
		cases[i].take_out(&w, fleet_find(w.fleet, fleet_num(STR_LIT("u1"))));
		if (cases[i].removed)
			fleet_remove(w.fleet, STR_LIT("u1"), clk_now());
		slots_sync(w.gateways[0].slots, w.topo, w.fleet, clk_now());
		slot_request(&w, 1, &b);
		ck_assert_msg(b.decided && !b.granted, "case %zu", i);
		slots_request_release(w.gateways[1].slots, &b.slot_request);
		teardown(&w);
	}
}
END_TEST

/*
 * A controller of an older build does not say whether it knows any upstream. Guards against a
 * refusal of it that is taken for one for lack of registrations.
 */
START_TEST(refusal_of_an_older_controller_is_final)
{
	static struct fixture w;
	static struct outcome b;
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__SlotReply refusal = BC__SLOT_REPLY__INIT;

	setup(&w);
	w.drop = true;
	slot_request(&w, 1, &b);
	ck_assert(!b.decided);
	refusal.id = b.slot_request.id;
	refusal.reason = ADMIT_REFUSE_NO_UPSTREAM;
	frame.body_case = BC__FRAME__BODY_SLOT_REPLY;
	frame.slot_reply = &refusal;
	deliver(&w, 2, 1, &frame);
	ck_assert(b.decided && !b.granted);
	slots_request_release(w.gateways[1].slots, &b.slot_request);
	teardown(&w);
}
END_TEST

/* Sends a slot request of a caller that waits until `deadline`, with a target that is out of reach.
 */
static void request_of_caller(struct fixture *w, struct outcome *o, clk_ms deadline)
{
	struct slots *s = w->gateways[1].slots;

	memset(o, 0, sizeof(*o));
	slots_request_init(s, &o->slot_request, on_decided, o);
	o->slot_request.slot_request.deadline = deadline;
	o->slot_request.slot_request.target = clk_now() + 100;
	o->slot_request.slot_request.fingerprint = 77;
	o->slot_request.slot_request.caller_deadline = deadline;
	slots_request(s, &o->slot_request, slots_pool(s, STR_LIT("s"), STR_LIT("r")));
}

/*
 * A caller is refused and comes back. Guards against a controller that takes it for a new one as
 * its requests come through other gateways.
 */
START_TEST(refused_caller_is_known_at_its_next_attempt)
{
	static struct fixture w;
	static struct outcome held;
	static struct outcome o;
	clk_ms deadline = clk_now() + 1000;

	setup(&w);
	slot_request(&w, 0, &held);
	ck_assert(held.granted);
	request_of_caller(&w, &o, deadline);
	ck_assert(unit_run_until(w.loop, is_decided, &o));
	ck_assert(!o.granted && !o.late && o.elapsed == 0);
	slots_request_release(w.gateways[1].slots, &o.slot_request);
	unit_run_for(w.loop, 50);
	request_of_caller(&w, &o, deadline);
	ck_assert(unit_run_until(w.loop, is_decided, &o));
	ck_assert_msg(o.late && o.elapsed >= 40, "late %d, %lld ms since the first attempt", o.late,
		      (long long)o.elapsed);
	slots_request_release(w.gateways[1].slots, &o.slot_request);
	done(&w, 0, &held);
	slots_request_release(w.gateways[0].slots, &held.slot_request);
	teardown(&w);
}
END_TEST

static const char *const mutants[] = {"slots_forget_caller",
				      "slots_keep_parked",
				      "slots_forget_limit",
				      "slots_plan_without_limit",
				      "slots_report_mixed_mean",
				      "slots_forget_cost",
				      "slots_count_keys",
				      "slots_trust_no_upstream",
				      "slots_fall_back_always",
				      "slots_trust_lender",
				      NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, one_slot_for_both_gateways);
	tcase_add_test(tc, request_is_decided_here_without_an_answer);
	tcase_add_test(tc, queued_request_ends_by_its_deadline);
	tcase_add_test(tc, unanswered_request_ends_by_its_deadline);
	tcase_add_test(tc, requests_of_a_failed_controller_are_decided);
	tcase_add_test(tc, cancelled_request_takes_no_slot);
	tcase_add_test(tc, ownerless_request_moves_to_the_controller);
	tcase_add_test(tc, ownerless_requests_end_during_the_search);
	tcase_add_test(tc, successor_of_a_controller_knows_the_limit);
	tcase_add_test(tc, costs_reach_the_plan_and_the_successor);
	tcase_add_test(tc, capacity_of_a_limited_owner_is_its_limit);
	tcase_add_test(tc, controller_without_upstreams_does_not_refuse_for_others);
	tcase_add_test(tc, upstream_out_of_use_at_the_controller_gets_no_request);
	tcase_add_test(tc, refusal_of_an_older_controller_is_final);
	tcase_add_test(tc, refused_caller_is_known_at_its_next_attempt);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "slots", mutants, add_tests);
}
