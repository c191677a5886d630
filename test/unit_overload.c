/*
 * Replays loads that exceed the slots of a service for a long time, with callers that come back
 * after a refusal. Each load is played twice in virtual time: with callers that the admission
 * controller recognizes, and with callers whose attempts all count as new. Compares how many
 * callers are answered in time and at all.
 */
#include <math.h>
#include <stdlib.h>

#include "base/rnd.h"
#include "process/admit.h"
#include "queue/comeback.h"
#include "queue/order.h"
#include "queue/returns.h"
#include "queue/room.h"
#include "test/unit.h"

#define MAX_CALLERS 40000
#define MAX_SLOTS 64
#define NODE 7
#define UPSTREAMS 24
#define SLOTS 2
#define SERVICE_MS 230
#define TARGET_MS 600
#define TIME_LIMIT_MS 4000
#define ROUTE_TIMEOUT_MS 2000
#define ATTEMPTS 3
/* Transit time of a request, and of an answer. */
#define TRANSIT_MS 20
/* Time until the refusal of an upstream, and Retry-After of what it refuses. */
#define SHED_MS 5
#define SHED_RETRY_MS 300
#define DURATION_MS 40000
/* Callers of the first seconds find empty queues and count for neither side. */
#define WARM_UP_MS 5000
#define CAPACITY_PER_S (UPSTREAMS * SLOTS * 1000.0 / SERVICE_MS)

enum caller_state { CALLER_SENDING, CALLER_WAITING, CALLER_RUNNING, CALLER_DONE, CALLER_GAVE_UP };

struct caller {
	enum caller_state state;
	clk_ms first; /* its first attempt */
	clk_ms limit; /* it waits until then */
	clk_ms due;   /* end of its present state; CALLER_WAITING: of its attempt at the gateway */
	clk_ms granted;
	uint64_t slot;
	uint32_t priority;
	uint32_t attempts;
	bool shed; /* CALLER_RUNNING: the upstream refuses it */
};

/* A load: requests per second as a share of the capacity, by time. */
struct load {
	double mean;
	double swing;  /* of a wave, as a share of the mean */
	clk_ms period; /* of the wave */
	double burst;  /* load during the burst */
	clk_ms burst_from;
	clk_ms burst_until;
	double urgent;	/* share of callers of higher priority */
	double shed;	/* share of requests that the upstreams refuse although they have room */
	bool shed_one;	/* the first upstream refuses all */
	bool shed_soon; /* callers come back after comeback_soon() */
	bool impatient; /* callers come back at once instead of after the Retry-After */
};

struct world {
	struct admit *admit;
	struct rnd rnd;
	bool recognize; /* requests carry what identifies their caller */
	struct load load;
	struct caller callers[MAX_CALLERS];
	size_t n;
	size_t oldest; /* all callers before this one are done */
	size_t shed;   /* requests refused by upstreams */
};

struct result {
	size_t callers;
	size_t in_time;
	size_t late;
	size_t never;
	size_t refusals;
	size_t urgent; /* callers of higher priority */
	size_t urgent_in_time;
	size_t shed; /* requests refused by upstreams */
};

static double load_at(const struct load *l, clk_ms now)
{
	if (now >= l->burst_from && now < l->burst_until)
		return l->burst;
	if (!l->period)
		return l->mean;
	return l->mean * (1.0 + l->swing * sin(2 * M_PI * (double)now / (double)l->period));
}

static void world_init(struct world *w, const struct load *load, bool recognize)
{
	const struct admit_options opts = {.cold_per_second = 2.5, .initial_service_time = 200};

	memset(w, 0, sizeof(*w));
	w->load = *load;
	w->recognize = recognize;
	rnd_seed(&w->rnd, 20261207);
	w->admit = admit_create(&opts, NULL, NULL, 1);
	for (uint32_t i = 0; i < UPSTREAMS; i++) {
		struct admit_upstream u = {.num = i + 1, .slots = SLOTS, .usable = true};

		admit_set_upstream(w->admit, 0, &u);
	}
}

/* The attempt of a caller reaches the admission controller. */
static void ask(struct world *w, clk_ms now, struct caller *c)
{
	clk_ms timeout = now + ROUTE_TIMEOUT_MS;
	struct admit_request request = {
		.node = NODE,
		.id = (uint64_t)(c - w->callers) * ATTEMPTS + c->attempts + 1,
		.priority = c->priority,
		.deadline = timeout < c->limit ? timeout : c->limit,
		.target = now + TARGET_MS,
		.fingerprint = w->recognize ? rnd_mix(1, (uint64_t)(c - w->callers)) : 0,
		/* The transit time varies. */
		.caller_deadline = c->limit + (clk_ms)rnd_below(&w->rnd, 20),
	};

	c->state = CALLER_WAITING;
	c->due = request.deadline;
	c->attempts++;
	admit_request(w->admit, now, &request);
}

static void come_back(struct world *w, clk_ms now, struct caller *c, clk_ms retry_after)
{
	clk_ms left = c->limit - now - TRANSIT_MS;

	if (w->load.impatient)
		retry_after = 0;
	if (retry_after > left / 3)
		retry_after = left / 3;
	c->due = now + 2 * TRANSIT_MS + retry_after;
	c->state = c->attempts < ATTEMPTS && c->due < c->limit ? CALLER_SENDING : CALLER_GAVE_UP;
}

static void take_decisions(struct world *w, clk_ms now)
{
	struct admit_decision d;

	while (admit_next(w->admit, now, &d)) {
		struct caller *c = &w->callers[(d.request - 1) / ATTEMPTS];

		ck_assert(c->state == CALLER_WAITING);
		/* A decision never comes after the attempt's own time. */
		ck_assert_msg(now <= c->due + 1, "decided %lld ms after the deadline",
			      (long long)(now - c->due));
		if (!d.granted) {
			come_back(w, now, c, d.retry_after);
			continue;
		}
		c->state = CALLER_RUNNING;
		c->granted = now;
		c->slot = d.slot;
		c->shed = (w->load.shed_one && d.upstream == 1) ||
			  (w->load.shed > 0 && rnd_unit(&w->rnd) < w->load.shed);
		if (c->shed) {
			c->due = now + SHED_MS;
			continue;
		}
		c->due = now + SERVICE_MS / 5 + (clk_ms)rnd_below(&w->rnd, SERVICE_MS * 8 / 5);
	}
}

static void move_callers(struct world *w, clk_ms now)
{
	const struct admit_report report = {.known = true, .slots = SLOTS, .slowness = 100};

	while (w->oldest < w->n && w->callers[w->oldest].state >= CALLER_DONE)
		w->oldest++;
	for (size_t i = w->oldest; i < w->n; i++) {
		struct caller *c = &w->callers[i];

		if (c->due > now)
			continue;
		if (c->state == CALLER_SENDING) {
			ask(w, now, c);
		} else if (c->state == CALLER_RUNNING && c->shed) {
			w->shed++;
			admit_done(w->admit, now, c->slot, ADMIT_SHED, SHED_MS, &report);
			come_back(w, now, c,
				  w->load.shed_soon ? comeback_soon(rnd_u64(&w->rnd))
						    : SHED_RETRY_MS);
		} else if (c->state == CALLER_RUNNING) {
			c->state = CALLER_DONE;
			admit_done(w->admit, now, c->slot, ADMIT_OK, now - c->granted, &report);
		}
	}
}

static void add_callers(struct world *w, clk_ms now)
{
	double expected = load_at(&w->load, now) * CAPACITY_PER_S / 1000.0;

	while (rnd_unit(&w->rnd) < expected) {
		struct caller *c = &w->callers[w->n++];

		ck_assert(w->n < MAX_CALLERS);
		*c = (struct caller){
			.first = now,
			.due = now + TRANSIT_MS,
			.priority = rnd_unit(&w->rnd) < w->load.urgent ? 0 : 1,
		};
		/* Callers have different time limits. */
		c->limit = now + TIME_LIMIT_MS * 85 / 100 +
			   (clk_ms)rnd_below(&w->rnd, TIME_LIMIT_MS * 15 / 100);
		expected -= 1.0;
	}
}

static struct result count(const struct world *w)
{
	struct result r = {0};

	for (size_t i = 0; i < w->n; i++) {
		const struct caller *c = &w->callers[i];

		if (c->first < WARM_UP_MS || c->first > DURATION_MS - TIME_LIMIT_MS)
			continue;
		r.callers++;
		r.urgent += c->priority == 0;
		if (c->state != CALLER_DONE) {
			r.never++;
			r.refusals += c->attempts;
			continue;
		}
		r.refusals += c->attempts - 1;
		if (c->due + TRANSIT_MS - c->first <= TARGET_MS) {
			r.in_time++;
			r.urgent_in_time += c->priority == 0;
		} else {
			r.late++;
		}
	}
	return r;
}

static struct result play(const struct load *load, bool recognize)
{
	static struct world w;
	struct result r;

	world_init(&w, load, recognize);
	for (clk_ms now = 0; now < DURATION_MS; now++) {
		add_callers(&w, now);
		move_callers(&w, now);
		take_decisions(&w, now);
	}
	admit_destroy(w.admit);
	r = count(&w);
	r.shed = w.shed;
	return r;
}

static size_t served(const struct result *r)
{
	return r->in_time + r->late;
}

static void check_gain(const struct result *former, const struct result *now, double ratio)
{
	ck_assert_msg((double)now->in_time > ratio * (double)former->in_time,
		      "%zu in time, %zu if all count as new", now->in_time, former->in_time);
	ck_assert_msg((double)served(now) > 0.97 * (double)served(former),
		      "%zu answered, %zu if all count as new", served(now), served(former));
	ck_assert_msg(now->refusals < former->refusals, "%zu refusals, %zu if all count as new",
		      now->refusals, former->refusals);
}

/*
 * A wave of demand that exceeds the slots by a seventh in its trough and by a half in its peak.
 * Guards against callers that come back being served before others until every answer is late, and
 * against a queue that only delays.
 */
START_TEST(lasting_overload_answers_in_time)
{
	const struct load load = {.mean = 1.3, .swing = 0.15, .period = 11000};
	struct result former = play(&load, false);
	struct result now = play(&load, true);

	check_gain(&former, &now, 1.4);
	/* The slots suffice for 1 / 1.3 of the callers. */
	ck_assert_msg(now.in_time * 10 > now.callers * 7, "%zu of %zu in time", now.in_time,
		      now.callers);
}
END_TEST

/* Twice what the slots can answer. Guards as above, where most callers are refused several times.
 */
START_TEST(double_load_answers_in_time)
{
	const struct load load = {.mean = 2.0, .swing = 0.15, .period = 11000};
	struct result former = play(&load, false);
	struct result now = play(&load, true);

	check_gain(&former, &now, 1.5);
	ck_assert_msg(now.in_time * 10 > now.callers * 4, "%zu of %zu in time", now.in_time,
		      now.callers);
}
END_TEST

/*
 * A wave with room in its trough. Guards against callers who came back late being refused while
 * there is room for them.
 */
START_TEST(late_callers_get_the_room_of_a_trough)
{
	const struct load load = {.mean = 1.0, .swing = 0.25, .period = 11000};
	struct result former = play(&load, false);
	struct result now = play(&load, true);

	check_gain(&former, &now, 1.0);
	ck_assert_msg(now.never * 12 < now.callers, "%zu of %zu never", now.never, now.callers);
}
END_TEST

/*
 * A burst of five seconds above a load with room. Guards against the refusal of what can wait, and
 * against callers using up their attempts while it lasts.
 */
START_TEST(burst_is_served_when_it_ends)
{
	const struct load load = {
		.mean = 0.8, .burst = 1.8, .burst_from = 15000, .burst_until = 20000};
	struct result former = play(&load, false);
	struct result now = play(&load, true);

	check_gain(&former, &now, 1.0);
	ck_assert_msg(now.never * 10 < former.never * 9, "%zu never, %zu if all count as new",
		      now.never, former.never);
}
END_TEST

/*
 * Three callers in ten are more urgent. Guards against their wait behind the others, and against
 * others that have a slot in the end, but late, since these went first.
 */
START_TEST(urgent_callers_go_first)
{
	const struct load load = {.mean = 1.3, .swing = 0.15, .period = 11000, .urgent = 0.3};
	struct result former = play(&load, false);
	struct result now = play(&load, true);

	check_gain(&former, &now, 1.2);
	ck_assert_msg(now.late * 20 < now.in_time, "%zu late, %zu in time", now.late, now.in_time);
	ck_assert_msg(now.urgent_in_time * 100 > now.urgent * 95, "%zu of %zu in time",
		      now.urgent_in_time, now.urgent);
}
END_TEST

/*
 * Callers that come back at once, whatever the Retry-After. Guards against an advantage over those
 * that wait as told.
 */
START_TEST(impatient_callers_gain_nothing)
{
	const struct load load = {.mean = 1.3, .swing = 0.15, .period = 11000, .impatient = true};
	const struct load patient = {.mean = 1.3, .swing = 0.15, .period = 11000};
	struct result at_once = play(&load, true);
	struct result as_told = play(&patient, true);

	ck_assert_msg(at_once.in_time * 100 < as_told.in_time * 105, "%zu in time, %zu as told",
		      at_once.in_time, as_told.in_time);
}
END_TEST

/*
 * All upstreams refuse half of their requests although they have free slots. Guards against pauses
 * of all of them, while the next attempt would be run.
 */
START_TEST(refusals_by_all_upstreams_leave_their_slots_in_use)
{
	const struct load load = {.mean = 0.8, .shed = 0.5};
	struct result r = play(&load, true);

	/* One caller in eight is refused three times. */
	ck_assert_msg(r.never * 100 < r.callers * 16, "%zu of %zu never", r.never, r.callers);
}
END_TEST

/*
 * The same; callers come back after some time, or soon. Guards against a Retry-After that makes
 * them late although there is room.
 */
START_TEST(refused_callers_come_back_soon_if_there_is_room)
{
	const struct load load = {.mean = 0.6, .shed = 0.5};
	const struct load soon = {.mean = 0.6, .shed = 0.5, .shed_soon = true};
	struct result former = play(&load, true);
	struct result now = play(&soon, true);

	ck_assert_msg(now.in_time * 10 > former.in_time * 12, "%zu in time, %zu before",
		      now.in_time, former.in_time);
	ck_assert_msg(served(&now) * 100 > served(&former) * 97, "%zu answered, %zu before",
		      served(&now), served(&former));
}
END_TEST

/*
 * One upstream refuses all requests although it has free slots. Guards against its slots, which are
 * always free, drawing requests that the others would run.
 */
START_TEST(an_upstream_that_refuses_all_draws_no_requests)
{
	const struct load load = {.mean = 0.7, .shed_one = true};
	struct result r = play(&load, true);

	ck_assert_msg(r.shed * 50 < r.callers, "%zu of %zu refused", r.shed, r.callers);
}
END_TEST

START_TEST(timely_requests_precede_late_ones)
{
	const struct order_rank timely = {.priority = 1, .seq = 2};
	const struct order_rank late = {.priority = 1, .late = true, .seq = 1};
	const struct order_rank urgent = {.priority = 0, .late = true, .seq = 3};
	const struct order_rank last = {.priority = 1, .seq = 4};

	ck_assert(order_precedes(&timely, &late) && !order_precedes(&late, &timely));
	ck_assert(order_precedes(&urgent, &timely) && order_precedes(&timely, &last));
}
END_TEST

/* Guards against late returns to small pools, where an early one may find a free slot. */
START_TEST(only_a_large_queue_is_sure_to_last)
{
	/* 48 slots and 8 slots; a queue of half a service time; an early return after a whole one.
	 */
	ck_assert(!comeback_has_chance(24, 48));
	ck_assert(comeback_has_chance(4, 8));
}
END_TEST

START_TEST(late_requests_wait_for_later_arrivals)
{
	struct room room = {0};
	clk_ms now = 0;

	ck_assert_int_eq(room_late_wait(&room, now, 100, 10), 100);
	/* Half of the slots, then more than all. */
	for (; now < 10000; now += 200)
		room_note(&room, now);
	ck_assert_int_ge(room_late_wait(&room, now, 100, 10), 160);
	ck_assert_int_le(room_late_wait(&room, now, 100, 10), 240);
	ck_assert_int_eq(room_late_wait(&room, now, 100, 3), CLK_NEVER);
	ck_assert_int_eq(room_late_wait(&room, now, 0, 3), 0);
}
END_TEST

/* Guards against the recognition of other callers, and of ones whose record says nothing. */
START_TEST(a_caller_is_known_by_request_and_deadline)
{
	struct returns *r = returns_create();
	struct returns_caller c;

	returns_note_refusal(r, 1000, 77, 5000, 1600);
	ck_assert(returns_find(r, 77, 5030, &c));
	ck_assert(c.first == 1000 && c.target == 1600 && c.refusals == 1);
	returns_note_refusal(r, 1500, 77, 4980, 2100);
	ck_assert(returns_find(r, 77, 5010, &c));
	ck_assert(c.first == 1000 && c.target == 1600 && c.refusals == 2);
	ck_assert(!returns_find(r, 78, 5000, &c));
	ck_assert(!returns_find(r, 77, 5300, &c));
	returns_destroy(r);
}
END_TEST

/* A crowd whose requests all differ. Guards against records without a limit. */
START_TEST(records_of_refused_callers_are_limited)
{
	struct returns *r = returns_create();
	struct returns_caller c;

	returns_note_refusal(r, 1, 1, 1LL << 30, 600);
	ck_assert_uint_eq(returns_count(r), 0);
	for (uint64_t i = 0; i < 20000; i++)
		returns_note_refusal(r, 10, i + 1, 4000, 600);
	ck_assert_uint_le(returns_count(r), 4096);
	ck_assert(returns_find(r, 20000, 4000, &c) && !returns_find(r, 1, 4000, &c));
	/* Records go when their callers no longer wait. */
	returns_note_refusal(r, 4000, 1, 8000, 4600);
	ck_assert_uint_eq(returns_count(r), 1);
	returns_destroy(r);
}
END_TEST

static const char *const mutants[] = {
	"returns_all_new",	 "returns_unbounded",	  "order_late_first",
	"room_ignore_arrivals",	 "backlog_never_lasting", "backlog_wait_on",
	"admit_return_early",	 "shedding_pause_all",	  "shedding_pause_none",
	"comeback_soon_is_late", "comeback_no_chance",	  NULL,
};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, lasting_overload_answers_in_time);
	tcase_add_test(tc, double_load_answers_in_time);
	tcase_add_test(tc, late_callers_get_the_room_of_a_trough);
	tcase_add_test(tc, burst_is_served_when_it_ends);
	tcase_add_test(tc, urgent_callers_go_first);
	tcase_add_test(tc, impatient_callers_gain_nothing);
	tcase_add_test(tc, refusals_by_all_upstreams_leave_their_slots_in_use);
	tcase_add_test(tc, refused_callers_come_back_soon_if_there_is_room);
	tcase_add_test(tc, an_upstream_that_refuses_all_draws_no_requests);
	tcase_add_test(tc, timely_requests_precede_late_ones);
	tcase_add_test(tc, only_a_large_queue_is_sure_to_last);
	tcase_add_test(tc, late_requests_wait_for_later_arrivals);
	tcase_add_test(tc, a_caller_is_known_by_request_and_deadline);
	tcase_add_test(tc, records_of_refused_callers_are_limited);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "overload", mutants, add_tests);
}
