/*
 * Tail latency with stragglers, in virtual time: the real broker module against baselines, all with
 * the same arrivals, service times and straggler episodes. Exit code 1 if a target is missed.
 *
 * A request that starts while its upstream straggles takes ten times as long. Times in seconds.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rnd.h"
#include "process/broker.h"

#define ROUTERS 12
#define MAX_UPSTREAMS 16
#define SERVICE_MEAN 0.020
#define SLOW_FACTOR 10.0
#define SLOW_FOR 0.5
#define SLOW_EVERY 10.0
#define HEDGE_AGAIN 0.5 /* of the first delay: wait of an entry after a refused hedge */
#define REQUESTS 400000
#define WARM_UP 20000	  /* requests at the beginning that are not counted */
#define DEADLINE_MS 60000 /* no refusals: every policy serves the same requests */

enum policy {
	RANDOM,
	ROUND_ROBIN,
	LEAST_LOCAL, /* least outstanding as one router sees it */
	TWO_CHOICES, /* with true counts */
	SHORTEST,    /* with true counts */
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

enum event_kind { ARRIVE, ASK, GRANT, SERVED, DONE, HEDGE_TIME, HEDGE_ASK };

struct event {
	double at;
	uint64_t seq;
	enum event_kind kind;
	uint32_t request;
	uint32_t copy; /* 0: first, 1: hedge */
};

struct request {
	double arrived;
	double work[2]; /* service time without slowness */
	uint32_t router;
	bool answered;
	uint32_t winner;
	double answered_at;
	bool done[2];
	uint64_t slot[2];
	uint32_t upstream[2];
	double sent[2];
	double hedge_after;
	uint32_t next; /* in an upstream's or the central queue */
};

struct setup {
	uint32_t upstreams;
	uint32_t slots;
	double hop;
	double load;
};

struct sim {
	struct setup s;
	enum policy policy;
	struct rnd rnd;
	double now;
	uint64_t seq;
	struct event *heap;
	size_t n_heap;
	size_t cap_heap;
	struct request *requests;
	double *latency;
	size_t n_latency;
	/* straggler episodes per upstream, in order of time */
	double *slow_from[MAX_UPSTREAMS];
	size_t n_slow[MAX_UPSTREAMS];
	uint32_t busy[MAX_UPSTREAMS];
	uint32_t queue_len[MAX_UPSTREAMS];
	uint32_t head[MAX_UPSTREAMS + 1]; /* last one: central queue; 0 means empty */
	uint32_t tail[MAX_UPSTREAMS + 1];
	uint32_t local[ROUTERS][MAX_UPSTREAMS];
	uint32_t next_robin[ROUTERS];
	struct broker *broker;
	uint64_t sends;
};

struct figures {
	double p50;
	double p99;
	double p999;
	double extra; /* sends over requests, minus 1 */
};

static void *must(void *p)
{
	if (!p)
		abort();
	return p;
}

static bool before(const struct event *a, const struct event *b)
{
	return a->at < b->at || (a->at == b->at && a->seq < b->seq);
}

static void push(struct sim *m, double at, enum event_kind kind, uint32_t request, uint32_t copy)
{
	struct event e = {at, m->seq++, kind, request, copy};
	size_t i;

	if (m->n_heap == m->cap_heap) {
		m->cap_heap = m->cap_heap ? 2 * m->cap_heap : 1024;
		m->heap = must(realloc(m->heap, m->cap_heap * sizeof(*m->heap)));
	}
	for (i = m->n_heap++; i > 0 && before(&e, &m->heap[(i - 1) / 2]); i = (i - 1) / 2)
		m->heap[i] = m->heap[(i - 1) / 2];
	m->heap[i] = e;
}

static struct event pop(struct sim *m)
{
	struct event top = m->heap[0];
	struct event last = m->heap[--m->n_heap];
	size_t i = 0;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= m->n_heap)
			break;
		if (child + 1 < m->n_heap && before(&m->heap[child + 1], &m->heap[child]))
			child++;
		if (!before(&m->heap[child], &last))
			break;
		m->heap[i] = m->heap[child];
		i = child;
	}
	m->heap[i] = last;
	return top;
}

static double exponential(struct rnd *r, double mean)
{
	return -mean * log(1.0 - rnd_unit(r));
}

static bool is_slow(const struct sim *m, uint32_t u)
{
	size_t lo = 0;
	size_t hi = m->n_slow[u];

	while (lo < hi) {
		size_t mid = (lo + hi) / 2;

		if (m->slow_from[u][mid] <= m->now)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo > 0 && m->now < m->slow_from[u][lo - 1] + SLOW_FOR;
}

/* One failure domain holds every second router; the broker is in the first. */
static double hop(const struct sim *m, const struct request *r)
{
	return r->router % 2 ? m->s.hop : 0;
}

static clk_ms ms_now(const struct sim *m)
{
	return 1000 + (clk_ms)(m->now * 1000);
}

static void start(struct sim *m, uint32_t id, uint32_t copy, uint32_t u)
{
	struct request *r = &m->requests[id];

	m->sends++;
	r->upstream[copy] = u;
	r->sent[copy] = m->now;
	push(m, m->now + r->work[copy] * (is_slow(m, u) ? SLOW_FACTOR : 1), SERVED, id, copy);
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

static uint32_t least(struct sim *m, const uint32_t *counts, const uint32_t *more)
{
	uint32_t best = 0;
	uint32_t ties = 0;
	uint32_t best_n = UINT32_MAX;

	for (uint32_t u = 0; u < m->s.upstreams; u++) {
		uint32_t n = counts[u] + (more ? more[u] : 0);

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
		return m->next_robin[r->router]++ % n;
	case LEAST_LOCAL:
		return least(m, m->local[r->router], NULL);
	case TWO_CHOICES:
		a = (uint32_t)rnd_below(&m->rnd, n);
		b = (a + 1 + (uint32_t)rnd_below(&m->rnd, n - 1)) % n;
		return m->busy[a] + m->queue_len[a] <= m->busy[b] + m->queue_len[b] ? a : b;
	case SHORTEST:
		return least(m, m->busy, m->queue_len);
	default:
		return (uint32_t)rnd_below(&m->rnd, n);
	}
}

static void arrive_at(struct sim *m, uint32_t id, uint32_t u)
{
	if (m->busy[u] < m->s.slots) {
		m->busy[u]++;
		start(m, id, 0, u);
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
		m->local[r->router][u]++;
		arrive_at(m, id, u);
		return;
	}
	/* Any upstream with a free slot, uniformly over them. */
	uint32_t found = 0;
	uint32_t pick = 0;

	for (u = 0; u < m->s.upstreams; u++) {
		if (m->busy[u] < m->s.slots && rnd_below(&m->rnd, ++found) == 0)
			pick = u;
	}
	if (found)
		arrive_at(m, id, pick);
	else
		enqueue(m, MAX_UPSTREAMS, id);
}

static void served_baseline(struct sim *m, struct request *r)
{
	uint32_t u = r->upstream[0];
	uint32_t id;

	m->busy[u]--;
	m->local[r->router][u]--;
	id = dequeue(m, m->policy == CENTRAL ? MAX_UPSTREAMS : u);
	if (!id)
		return;
	if (m->policy != CENTRAL)
		m->queue_len[u]--;
	m->busy[u]++;
	start(m, id, 0, u);
}

/* ---- broker --------------------------------------------------------------------------------- */

/* Decisions travel one hop to routers in the other failure domain. */
static void take_decisions(struct sim *m)
{
	struct broker_decision d;

	while (broker_next_decision(m->broker, ms_now(m), &d)) {
		uint32_t id = (uint32_t)(d.ask / 2);
		uint32_t copy = (uint32_t)(d.ask % 2);
		struct request *r = &m->requests[id];

		if (d.kind == BROKER_REFUSE) {
			if (copy == 0) {
				fprintf(stderr, "bench_tail: refused: %s\n",
					broker_refusal_name(d.reason));
				exit(1);
			}
			/* No slot was free: the entry asks again a little later. */
			push(m, m->now + hop(m, r) + r->hedge_after * HEDGE_AGAIN, HEDGE_TIME, id,
			     0);
			continue;
		}
		r->slot[copy] = d.slot;
		r->upstream[copy] = d.upstream - 1;
		if (copy == 0)
			r->hedge_after = (double)d.hedge_after / 1000;
		push(m, m->now + hop(m, r), GRANT, id, copy);
	}
}

static void ask(struct sim *m, uint32_t id, uint32_t copy)
{
	const struct request *r = &m->requests[id];
	struct broker_request a = {
		.node = r->router + 1,
		.id = (uint64_t)id * 2 + copy,
		.idempotent = true,
		.deadline = ms_now(m) + DEADLINE_MS,
		.hedge_of = copy ? r->slot[0] : 0,
	};

	broker_request(m->broker, ms_now(m), &a);
	take_decisions(m);
}

static void granted(struct sim *m, uint32_t id, uint32_t copy)
{
	struct request *r = &m->requests[id];

	if (r->answered) {
		push(m, m->now + hop(m, r), DONE, id, copy);
		return;
	}
	start(m, id, copy, r->upstream[copy]);
	if (copy == 0 && r->hedge_after > 0)
		push(m, m->now + r->hedge_after, HEDGE_TIME, id, 0);
}

/* The loser of a hedge is cancelled at the moment of the answer. */
static void served_broker(struct sim *m, uint32_t id, uint32_t copy)
{
	struct request *r = &m->requests[id];
	uint32_t other = 1 - copy;

	if (r->done[copy])
		return;
	r->winner = copy;
	r->answered_at = m->now;
	r->done[copy] = true;
	push(m, m->now + hop(m, r), DONE, id, copy);
	if (r->sent[other] > 0) {
		r->done[other] = true;
		push(m, m->now + hop(m, r), DONE, id, other);
	}
}

static void done(struct sim *m, uint32_t id, uint32_t copy)
{
	const struct request *r = &m->requests[id];
	enum broker_outcome outcome = copy == r->winner ? BROKER_DONE_OK : BROKER_DONE_CANCELLED;

	if (r->sent[copy] <= 0)
		outcome = BROKER_DONE_UNUSED;
	broker_finish_slot(m->broker, ms_now(m), r->slot[copy], outcome,
			   (clk_ms)((r->answered_at - r->sent[copy]) * 1000 + 0.5));
	take_decisions(m);
}

/* ---- one run -------------------------------------------------------------------------------- */

static void handle(struct sim *m, const struct event *e)
{
	struct request *r = &m->requests[e->request];

	switch (e->kind) {
	case ARRIVE:
		if (m->broker)
			push(m, m->now + hop(m, r), ASK, e->request, 0);
		else
			arrive_baseline(m, e->request);
		break;
	case ASK:
		ask(m, e->request, 0);
		break;
	case HEDGE_TIME:
		if (!r->answered)
			push(m, m->now + hop(m, r), HEDGE_ASK, e->request, 1);
		break;
	case HEDGE_ASK:
		ask(m, e->request, 1);
		break;
	case GRANT:
		granted(m, e->request, e->copy);
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
	case DONE:
		done(m, e->request, e->copy);
		break;
	}
}

/* Arrivals, work and episodes depend only on the seed and the setup, not on the policy. */
static void fill(struct sim *m)
{
	struct rnd r;
	double rate = m->s.load * m->s.upstreams * m->s.slots / SERVICE_MEAN;
	double at = 0;

	rnd_seed(&r, 20261204);
	for (uint32_t id = 1; id <= REQUESTS; id++) {
		at += exponential(&r, 1 / rate);
		m->requests[id].arrived = at;
		m->requests[id].router = (uint32_t)rnd_below(&r, ROUTERS);
		m->requests[id].work[0] = exponential(&r, SERVICE_MEAN);
		m->requests[id].work[1] = exponential(&r, SERVICE_MEAN);
		push(m, at, ARRIVE, id, 0);
	}
	for (uint32_t u = 0; u < m->s.upstreams; u++) {
		size_t cap = (size_t)(at / SLOW_EVERY * 2) + 100;
		double t = exponential(&r, SLOW_EVERY);

		m->slow_from[u] = must(calloc(cap, sizeof(double)));
		while (t < at && m->n_slow[u] < cap) {
			m->slow_from[u][m->n_slow[u]++] = t;
			t += SLOW_FOR + exponential(&r, SLOW_EVERY - SLOW_FOR);
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

		broker_set_upstream(m->broker, ms_now(m), &up);
	}
}

static int by_value(const void *a, const void *b)
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
	struct sim *m = must(calloc(1, sizeof(*m)));
	struct figures f;

	m->s = *s;
	m->policy = policy;
	rnd_seed(&m->rnd, 99);
	m->requests = must(calloc(REQUESTS + 1, sizeof(*m->requests)));
	m->latency = must(calloc(REQUESTS + 1, sizeof(*m->latency)));
	fill(m);
	if (policy >= BROKER)
		make_broker(m);
	while (m->n_heap > 0) {
		struct event e = pop(m);

		m->now = e.at;
		handle(m, &e);
	}
	if (m->n_latency != REQUESTS - WARM_UP) {
		fprintf(stderr, "bench_tail: %zu requests were not answered\n",
			(size_t)(REQUESTS - WARM_UP) - m->n_latency);
		exit(1);
	}
	qsort(m->latency, m->n_latency, sizeof(double), by_value);
	f.p50 = percentile(m, 0.5);
	f.p99 = percentile(m, 0.99);
	f.p999 = percentile(m, 0.999);
	f.extra = (double)m->sends / REQUESTS - 1;
	for (uint32_t u = 0; u < s->upstreams; u++)
		free(m->slow_from[u]);
	broker_destroy(m->broker);
	free(m->heap);
	free(m->latency);
	free(m->requests);
	free(m);
	return f;
}

/* ---- targets -------------------------------------------------------------------------------- */

static int missed;

static void target(const char *what, double value, double bound, bool strict)
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
	       s->hop * 1000, s->load);
	printf("  %-32s %9s %9s %9s %8s\n", "policy", "p50 ms", "p99 ms", "p99.9 ms", "extra");
	for (int p = 0; p < POLICIES; p++) {
		f[p] = simulate(s, (enum policy)p);
		printf("  %-32s %9.1f %9.1f %9.1f %7.2f%%\n", policy_names[p], f[p].p50, f[p].p99,
		       f[p].p999, 100 * f[p].extra);
		if (p <= LEAST_LOCAL && f[p].p99 < best)
			best = f[p].p99;
	}
	central = f[CENTRAL].p99;
	target("p99 without hedging / best baseline on one router's view", f[BROKER].p99 / best,
	       0.35, false);
	target("p99 without hedging / central queue", f[BROKER].p99 / central, 1.2, false);
	target("p99 with hedging / central queue", f[BROKER_HEDGED].p99 / central, 1.0,
	       s->load < 0.8);
	target("extra load from retries and hedges", f[BROKER_HEDGED].extra, 0.10, false);
}

int main(void)
{
	static const double loads[] = {0.5, 0.7, 0.85};

	printf("%d routers, service mean %.0f ms, each upstream %.0f times slower for %.0f ms once "
	       "in %.0f s; %d requests a row\n",
	       ROUTERS, SERVICE_MEAN * 1000, SLOW_FACTOR, SLOW_FOR * 1000, SLOW_EVERY, REQUESTS);
	for (size_t i = 0; i < 3; i++)
		run_setup(&(struct setup){8, 2, 0.0015, loads[i]});
	for (size_t i = 0; i < 3; i++)
		run_setup(&(struct setup){10, 4, 0.001, loads[i]});
	printf("\n%s\n", missed ? "some targets were MISSED" : "all targets met");
	return missed ? 1 : 0;
}
