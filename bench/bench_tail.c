/*
 * Simulates tail latency with stragglers in virtual time: compares the broker module with baseline
 * policies under the same arrivals, service times and straggler episodes. Exits with code 1 if a
 * target is missed.
 *
 * A request that starts while its upstream straggles takes ten times as long. Times are in seconds
 * unless their names end in _ms.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rnd.h"
#include "process/broker.h"

#define ROUTERS 12
#define MAX_UPSTREAMS 16
#define SERVICE_MEAN_S 0.020
#define SLOW_FACTOR 10.0
#define SLOW_DURATION_S 0.5
#define SLOW_PERIOD_S 10.0     /* mean time between the starts of straggler episodes */
#define HEDGE_RETRY_FACTOR 0.5 /* a refused hedge is retried after this part of hedge_after */
#define REQUESTS 400000
#define WARM_UP 20000	  /* requests at the beginning without a latency sample */
#define DEADLINE_MS 60000 /* no request expires: all policies serve the same requests */

enum policy {
	RANDOM,
	ROUND_ROBIN,
	LEAST_LOCAL,  /* fewest outstanding requests, counted by each router for itself */
	TWO_CHOICES,  /* less loaded of two random upstreams, by exact counts */
	LEAST_LOADED, /* least loaded upstream, by exact counts */
	CENTRAL,
	BROKER,
	BROKER_HEDGED,
	POLICIES
};

static const char *const policy_names[POLICIES] = {
	"random",
	"round robin",
	"least outstanding (one router)",
	"two choices",
	"shortest queue",
	"central queue",
	"broker, no hedging",
	"broker, hedging",
};

/* Requests, grants, refusals and returns of slots arrive hop_delay after they are sent. */
enum event_kind { ARRIVE, SLOT_REQUEST, GRANT, SERVED, SLOT_RETURN, HEDGE_TIME, HEDGE_REQUEST };

struct event {
	double at;
	uint64_t seq;
	enum event_kind kind;
	uint32_t request;
	uint32_t copy; /* 0: first, 1: hedge */
};

struct request {
	double arrived;
	double service_time[2]; /* service time outside straggler episodes, by copy */
	uint32_t router;
	bool answered;
	uint32_t winner; /* copy that was answered first */
	double answered_at;
	bool done[2]; /* by copy: answered or cancelled */
	uint64_t slot[2];
	uint32_t upstream[2];
	double sent[2];
	double hedge_after; /* delay of the hedge from the start of the first copy, 0: no hedge */
	uint32_t next;	    /* request behind this one in its queue, 0: none */
};

struct setup {
	uint32_t upstreams;
	uint32_t slots;
	double hop_delay; /* delay of a message between failure domains */
	double load;	  /* utilization of all slots */
};

struct sim {
	struct setup s;
	enum policy policy;
	struct rnd rnd;
	double now;
	uint64_t seq;
	struct event *events;
	size_t n_events;
	size_t events_capacity;
	struct request *requests;
	double *latency;
	size_t n_latency;
	/* Start times of the straggler episodes of each upstream, sorted. */
	double *slow_starts[MAX_UPSTREAMS];
	size_t n_slow_starts[MAX_UPSTREAMS];
	uint32_t busy[MAX_UPSTREAMS]; /* slots in use */
	uint32_t queue_len[MAX_UPSTREAMS];
	uint32_t head[MAX_UPSTREAMS + 1]; /* first request by queue: upstreams, central; 0: none */
	uint32_t tail[MAX_UPSTREAMS + 1];
	uint32_t outstanding[ROUTERS][MAX_UPSTREAMS]; /* requests sent and not answered */
	uint32_t next_round_robin[ROUTERS];
	struct broker *broker;
	uint64_t sends; /* starts of a request or a hedge on an upstream */
};

struct figures {
	double p50;
	double p99;
	double p999;
	double extra_sends; /* sends over requests, minus 1 */
};

static void *check_alloc(void *p)
{
	if (!p)
		abort();
	return p;
}

static bool event_before(const struct event *a, const struct event *b)
{
	return a->at < b->at || (a->at == b->at && a->seq < b->seq);
}

/* Adds an event to the heap, which is ordered by time, then by order of insertion. */
static void push(struct sim *m, double at, enum event_kind kind, uint32_t request, uint32_t copy)
{
	struct event e = {at, m->seq++, kind, request, copy};
	size_t i;

	if (m->n_events == m->events_capacity) {
		m->events_capacity = m->events_capacity ? 2 * m->events_capacity : 1024;
		m->events =
			check_alloc(realloc(m->events, m->events_capacity * sizeof(*m->events)));
	}
	for (i = m->n_events++; i > 0 && event_before(&e, &m->events[(i - 1) / 2]); i = (i - 1) / 2)
		m->events[i] = m->events[(i - 1) / 2];
	m->events[i] = e;
}

static struct event pop(struct sim *m)
{
	struct event top = m->events[0];
	struct event last = m->events[--m->n_events];
	size_t i = 0;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= m->n_events)
			break;
		if (child + 1 < m->n_events &&
		    event_before(&m->events[child + 1], &m->events[child]))
			child++;
		if (!event_before(&m->events[child], &last))
			break;
		m->events[i] = m->events[child];
		i = child;
	}
	m->events[i] = last;
	return top;
}

static double exponential(struct rnd *r, double mean)
{
	return -mean * log(1.0 - rnd_unit(r));
}

static bool is_straggling(const struct sim *m, uint32_t u)
{
	size_t lo = 0;
	size_t hi = m->n_slow_starts[u];

	while (lo < hi) {
		size_t mid = (lo + hi) / 2;

		if (m->slow_starts[u][mid] <= m->now)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo > 0 && m->now < m->slow_starts[u][lo - 1] + SLOW_DURATION_S;
}

/*
 * Returns the delay between a request's router and the broker. Odd routers are in the second
 * failure domain; the broker is in the first.
 */
static double hop_delay(const struct sim *m, const struct request *r)
{
	return r->router % 2 ? m->s.hop_delay : 0;
}

static clk_ms broker_now_ms(const struct sim *m)
{
	return 1000 + (clk_ms)(m->now * 1000);
}

/* Starts a copy of a request on upstream `u` and schedules the end of its service. */
static void start_service(struct sim *m, uint32_t id, uint32_t copy, uint32_t u)
{
	struct request *r = &m->requests[id];

	m->sends++;
	r->upstream[copy] = u;
	r->sent[copy] = m->now;
	push(m, m->now + r->service_time[copy] * (is_straggling(m, u) ? SLOW_FACTOR : 1), SERVED,
	     id, copy);
}

/* ---- baselines ------------------------------------------------------------------------------ */

static void enqueue(struct sim *m, uint32_t q, uint32_t id)
{
	m->requests[id].next = 0;
	if (m->head[q])
		m->requests[m->tail[q]].next = id;
	else
		m->head[q] = id;
	m->tail[q] = id;
}

static uint32_t dequeue(struct sim *m, uint32_t q)
{
	uint32_t id = m->head[q];

	if (id)
		m->head[q] = m->requests[id].next;
	return id;
}

/*
 * Returns the upstream with the lowest sum of both counts, chosen at random among ties.
 * `extra_counts` may be NULL.
 */
static uint32_t least_loaded(struct sim *m, const uint32_t *counts, const uint32_t *extra_counts)
{
	uint32_t best = 0;
	uint32_t ties = 0;
	uint32_t best_n = UINT32_MAX;

	for (uint32_t u = 0; u < m->s.upstreams; u++) {
		uint32_t n = counts[u] + (extra_counts ? extra_counts[u] : 0);

		if (n < best_n) {
			best = u;
			best_n = n;
			ties = 1;
		} else if (n == best_n && rnd_below(&m->rnd, ++ties) == 0) {
			best = u;
		}
	}
	return best;
}

static uint32_t choose(struct sim *m, const struct request *r)
{
	uint32_t n = m->s.upstreams;
	uint32_t a;
	uint32_t b;

	switch (m->policy) {
	case ROUND_ROBIN:
		return m->next_round_robin[r->router]++ % n;
	case LEAST_LOCAL:
		return least_loaded(m, m->outstanding[r->router], NULL);
	case TWO_CHOICES:
		a = (uint32_t)rnd_below(&m->rnd, n);
		b = (a + 1 + (uint32_t)rnd_below(&m->rnd, n - 1)) % n;
		return m->busy[a] + m->queue_len[a] <= m->busy[b] + m->queue_len[b] ? a : b;
	case LEAST_LOADED:
		return least_loaded(m, m->busy, m->queue_len);
	default:
		return (uint32_t)rnd_below(&m->rnd, n);
	}
}

static void send_to_upstream(struct sim *m, uint32_t id, uint32_t u)
{
	if (m->busy[u] < m->s.slots) {
		m->busy[u]++;
		start_service(m, id, 0, u);
	} else {
		m->queue_len[u]++;
		enqueue(m, u, id);
	}
}

static void arrive_baseline(struct sim *m, uint32_t id)
{
	struct request *r = &m->requests[id];
	uint32_t u;

	if (m->policy != CENTRAL) {
		u = choose(m, r);
		m->outstanding[r->router][u]++;
		send_to_upstream(m, id, u);
		return;
	}
	/* Picks an upstream with a free slot, uniformly at random. */
	uint32_t found = 0;
	uint32_t pick = 0;

	for (u = 0; u < m->s.upstreams; u++) {
		if (m->busy[u] < m->s.slots && rnd_below(&m->rnd, ++found) == 0)
			pick = u;
	}
	if (found)
		send_to_upstream(m, id, pick);
	else
		enqueue(m, MAX_UPSTREAMS, id);
}

static void served_baseline(struct sim *m, struct request *r)
{
	uint32_t u = r->upstream[0];
	uint32_t id;

	m->busy[u]--;
	m->outstanding[r->router][u]--;
	id = dequeue(m, m->policy == CENTRAL ? MAX_UPSTREAMS : u);
	if (!id)
		return;
	if (m->policy != CENTRAL)
		m->queue_len[u]--;
	m->busy[u]++;
	start_service(m, id, 0, u);
}

/* ---- broker --------------------------------------------------------------------------------- */

/* Delivers all pending decisions of the broker to the routers, after the delay of each router. */
static void apply_decisions(struct sim *m)
{
	struct broker_decision d;

	while (broker_next_decision(m->broker, broker_now_ms(m), &d)) {
		uint32_t id = (uint32_t)(d.ask / 2);
		uint32_t copy = (uint32_t)(d.ask % 2);
		struct request *r = &m->requests[id];

		if (d.kind == BROKER_REFUSE) {
			if (copy == 0) {
				fprintf(stderr, "bench_tail: refused: %s\n",
					broker_refusal_name(d.reason));
				exit(1);
			}
			/* No slot was free for the hedge: the entry requests one again later. */
			push(m, m->now + hop_delay(m, r) + r->hedge_after * HEDGE_RETRY_FACTOR,
			     HEDGE_TIME, id, 0);
			continue;
		}
		r->slot[copy] = d.slot;
		r->upstream[copy] = d.upstream - 1;
		if (copy == 0)
			r->hedge_after = (double)d.hedge_after / 1000;
		push(m, m->now + hop_delay(m, r), GRANT, id, copy);
	}
}

static void request_slot(struct sim *m, uint32_t id, uint32_t copy)
{
	const struct request *r = &m->requests[id];
	struct broker_request a = {
		.node = r->router + 1,
		.id = (uint64_t)id * 2 + copy,
		.idempotent = true,
		.deadline = broker_now_ms(m) + DEADLINE_MS,
		.hedge_of = copy ? r->slot[0] : 0,
	};

	broker_request(m->broker, broker_now_ms(m), &a);
	apply_decisions(m);
}

static void on_grant(struct sim *m, uint32_t id, uint32_t copy)
{
	struct request *r = &m->requests[id];

	if (r->answered) {
		push(m, m->now + hop_delay(m, r), SLOT_RETURN, id, copy);
		return;
	}
	start_service(m, id, copy, r->upstream[copy]);
	if (copy == 0 && r->hedge_after > 0)
		push(m, m->now + r->hedge_after, HEDGE_TIME, id, 0);
}

/* Ends a request at its first answer; the other copy, if sent, is cancelled at that moment. */
static void served_broker(struct sim *m, uint32_t id, uint32_t copy)
{
	struct request *r = &m->requests[id];
	uint32_t other = 1 - copy;

	if (r->done[copy])
		return;
	r->winner = copy;
	r->answered_at = m->now;
	r->done[copy] = true;
	push(m, m->now + hop_delay(m, r), SLOT_RETURN, id, copy);
	if (r->sent[other] > 0) {
		r->done[other] = true;
		push(m, m->now + hop_delay(m, r), SLOT_RETURN, id, other);
	}
}

static void return_slot(struct sim *m, uint32_t id, uint32_t copy)
{
	const struct request *r = &m->requests[id];
	enum broker_outcome outcome = copy == r->winner ? BROKER_DONE_OK : BROKER_DONE_CANCELLED;

	if (r->sent[copy] <= 0)
		outcome = BROKER_DONE_UNUSED;
	broker_finish_slot(m->broker, broker_now_ms(m), r->slot[copy], outcome,
			   (clk_ms)((r->answered_at - r->sent[copy]) * 1000 + 0.5));
	apply_decisions(m);
}

/* ---- one run -------------------------------------------------------------------------------- */

static void handle_event(struct sim *m, const struct event *e)
{
	struct request *r = &m->requests[e->request];

	switch (e->kind) {
	case ARRIVE:
		if (m->broker)
			push(m, m->now + hop_delay(m, r), SLOT_REQUEST, e->request, 0);
		else
			arrive_baseline(m, e->request);
		break;
	case SLOT_REQUEST:
		request_slot(m, e->request, 0);
		break;
	case HEDGE_TIME:
		if (!r->answered)
			push(m, m->now + hop_delay(m, r), HEDGE_REQUEST, e->request, 1);
		break;
	case HEDGE_REQUEST:
		request_slot(m, e->request, 1);
		break;
	case GRANT:
		on_grant(m, e->request, e->copy);
		break;
	case SERVED:
		if (m->broker)
			served_broker(m, e->request, e->copy);
		else
			served_baseline(m, r);
		if (r->answered)
			break;
		r->answered = true;
		if (e->request > WARM_UP)
			m->latency[m->n_latency++] = m->now - r->arrived;
		break;
	case SLOT_RETURN:
		return_slot(m, e->request, e->copy);
		break;
	}
}

/*
 * Generates arrivals, service times and straggler episodes. They depend only on the seed and the
 * setup, so that all policies get the same load.
 */
static void generate_load(struct sim *m)
{
	struct rnd r;
	double rate = m->s.load * m->s.upstreams * m->s.slots / SERVICE_MEAN_S;
	double at = 0;

	rnd_seed(&r, 20261204);
	for (uint32_t id = 1; id <= REQUESTS; id++) {
		at += exponential(&r, 1 / rate);
		m->requests[id].arrived = at;
		m->requests[id].router = (uint32_t)rnd_below(&r, ROUTERS);
		m->requests[id].service_time[0] = exponential(&r, SERVICE_MEAN_S);
		m->requests[id].service_time[1] = exponential(&r, SERVICE_MEAN_S);
		push(m, at, ARRIVE, id, 0);
	}
	for (uint32_t u = 0; u < m->s.upstreams; u++) {
		size_t cap = (size_t)(at / SLOW_PERIOD_S * 2) + 100;
		double t = exponential(&r, SLOW_PERIOD_S);

		m->slow_starts[u] = check_alloc(calloc(cap, sizeof(double)));
		while (t < at && m->n_slow_starts[u] < cap) {
			m->slow_starts[u][m->n_slow_starts[u]++] = t;
			t += SLOW_DURATION_S + exponential(&r, SLOW_PERIOD_S - SLOW_DURATION_S);
		}
	}
}

static void make_broker(struct sim *m)
{
	struct broker_options opts = broker_defaults;

	opts.hedging = m->policy == BROKER_HEDGED;
	opts.max_queue = REQUESTS;
	m->broker = broker_create(&opts, 1, 7);
	for (uint32_t u = 0; u < m->s.upstreams; u++) {
		struct broker_upstream up = {u + 1, m->s.slots, 1, BROKER_WARM};

		broker_set_upstream(m->broker, broker_now_ms(m), &up);
	}
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double percentile(const struct sim *m, double p)
{
	return 1000 * m->latency[(size_t)((double)(m->n_latency - 1) * p)];
}

static struct figures simulate(const struct setup *s, enum policy policy)
{
	struct sim *m = check_alloc(calloc(1, sizeof(*m)));
	struct figures f;

	m->s = *s;
	m->policy = policy;
	rnd_seed(&m->rnd, 99);
	m->requests = check_alloc(calloc(REQUESTS + 1, sizeof(*m->requests)));
	m->latency = check_alloc(calloc(REQUESTS + 1, sizeof(*m->latency)));
	generate_load(m);
	if (policy >= BROKER)
		make_broker(m);
	while (m->n_events > 0) {
		struct event e = pop(m);

		m->now = e.at;
		handle_event(m, &e);
	}
	if (m->n_latency != REQUESTS - WARM_UP) {
		fprintf(stderr, "bench_tail: %zu requests were not answered\n",
			(size_t)(REQUESTS - WARM_UP) - m->n_latency);
		exit(1);
	}
	qsort(m->latency, m->n_latency, sizeof(double), compare_doubles);
	f.p50 = percentile(m, 0.5);
	f.p99 = percentile(m, 0.99);
	f.p999 = percentile(m, 0.999);
	f.extra_sends = (double)m->sends / REQUESTS - 1;
	for (uint32_t u = 0; u < s->upstreams; u++)
		free(m->slow_starts[u]);
	broker_destroy(m->broker);
	free(m->events);
	free(m->latency);
	free(m->requests);
	free(m);
	return f;
}

/* ---- targets -------------------------------------------------------------------------------- */

static int missed;

static void check_target(const char *what, double value, double bound, bool strict)
{
	bool met = strict ? value < bound : value <= bound;

	printf("    %-58s %8.3f  bound %8.3f  %s\n", what, value, bound, met ? "met" : "MISSED");
	missed += !met;
}

static void run_setup(const struct setup *s)
{
	struct figures f[POLICIES];
	double best = INFINITY;
	double central;

	printf("\n%u upstreams x %u slots, hop %.1f ms, load %.2f\n", s->upstreams, s->slots,
	       s->hop_delay * 1000, s->load);
	printf("  %-32s %9s %9s %9s %8s\n", "policy", "p50 ms", "p99 ms", "p99.9 ms", "extra");
	for (int p = 0; p < POLICIES; p++) {
		f[p] = simulate(s, (enum policy)p);
		printf("  %-32s %9.1f %9.1f %9.1f %7.2f%%\n", policy_names[p], f[p].p50, f[p].p99,
		       f[p].p999, 100 * f[p].extra_sends);
		if (p <= LEAST_LOCAL && f[p].p99 < best)
			best = f[p].p99;
	}
	central = f[CENTRAL].p99;
	check_target("p99 without hedging / best baseline on one router's view",
		     f[BROKER].p99 / best, 0.35, false);
	check_target("p99 without hedging / central queue", f[BROKER].p99 / central, 1.2, false);
	check_target("p99 with hedging / central queue", f[BROKER_HEDGED].p99 / central, 1.0,
		     s->load < 0.8);
	check_target("extra load from retries and hedges", f[BROKER_HEDGED].extra_sends, 0.10,
		     false);
}

int main(void)
{
	static const double loads[] = {0.5, 0.7, 0.85};

	printf("%d routers, service mean %.0f ms, each upstream %.0f times slower for %.0f ms once "
	       "in %.0f s; %d requests a row\n",
	       ROUTERS, SERVICE_MEAN_S * 1000, SLOW_FACTOR, SLOW_DURATION_S * 1000, SLOW_PERIOD_S,
	       REQUESTS);
	for (size_t i = 0; i < 3; i++)
		run_setup(&(struct setup){8, 2, 0.0015, loads[i]});
	for (size_t i = 0; i < 3; i++)
		run_setup(&(struct setup){10, 4, 0.001, loads[i]});
	printf("\n%s\n", missed ? "some targets were MISSED" : "all targets met");
	return missed ? 1 : 0;
}
