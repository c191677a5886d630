/*
 * Replays a load on admission control in virtual time, without a network: requests of several
 * classes arrive at upstreams of uneven speed, and each class counts the callers that got an answer
 * by its target. The same arrivals are replayed with and without cost classes: without, admission
 * control knows one mean service time for all.
 */
#ifndef TEST_PLACEMENT_H
#define TEST_PLACEMENT_H

#include <math.h>
#include <stdlib.h>

#include "base/rnd.h"
#include "process/admit.h"
#include "test/unit.h"

#define PLACEMENT_UPSTREAMS 24
#define PLACEMENT_CLASSES 4
#define PLACEMENT_REQUESTS 60000
#define PLACEMENT_NODE 7
/* An upstream is slowed for a fifth of the time, three times over, in parts of this length. */
#define PLACEMENT_NOISE_MS 400

struct placement_class {
	uint32_t priority;
	double per_second;
	double work_ms;
	double spread; /* of a log-normal distribution */
	clk_ms target;
	clk_ms deadline;
};

struct placement_request {
	clk_ms arrived;
	clk_ms granted; /* 0: not yet */
	clk_ms ends;
	uint64_t slot;
	double work_ms;
	uint32_t class_index;
	uint32_t key;
	uint32_t upstream; /* index */
	bool refused;
	bool shed;
	bool timed_out;
};

struct placement_score {
	double callers;
	double in_target;
	double refused;
};

struct placement {
	struct placement_class classes[PLACEMENT_CLASSES];
	uint32_t n_classes;
	uint32_t n_upstreams;
	uint32_t slots;
	bool keyed;
	bool by_cost;	  /* requests carry their class */
	bool steady;	  /* upstreams are not slowed at times */
	bool no_report;	  /* upstreams report no load */
	double tail;	  /* share of requests that take seven times as long */
	bool false_hints; /* one request in ten tells a false cost */
	double wave;	  /* arrivals swing by this share, each upstream's at another time */
	clk_ms length;
	clk_ms counted_from;
	double speed[PLACEMENT_UPSTREAMS];	/* 1: usual */
	double shed_share[PLACEMENT_UPSTREAMS]; /* of requests that it refuses at once */
	clk_ms shed_until;
	struct placement_request *requests;
	uint32_t n;
	uint32_t running[PLACEMENT_UPSTREAMS];
	struct placement_request **active; /* granted and not ended */
	uint32_t n_active;
	uint64_t sheds;
	uint64_t served_late[PLACEMENT_UPSTREAMS]; /* answers after `shed_until` */
	struct admit *admit;
	struct rnd rnd;
	struct placement_score score[PLACEMENT_CLASSES];
	struct placement_score all;
};

static inline uint64_t placement_owner(void *data, uint32_t key)
{
	return key + 1;
}

static inline double placement_normal(struct rnd *r)
{
	return sqrt(-2 * log(rnd_unit(r) + 1e-12)) * cos(6.283185307 * rnd_unit(r));
}

/* Log-normal work; some requests take seven times as long. */
static inline double placement_work(struct placement *p, const struct placement_class *c)
{
	double z = placement_normal(&p->rnd);
	double ms = c->work_ms * exp(c->spread * z - c->spread * c->spread / 2);

	return rnd_unit(&p->rnd) < p->tail ? 7 * ms : ms;
}

static inline double placement_slowness(const struct placement *p, uint32_t u, clk_ms now)
{
	uint64_t part = (uint64_t)(now / PLACEMENT_NOISE_MS);
	bool slow = !p->steady && rnd_mix(u, part) % 5 == 0;

	return (slow ? 3.0 : 1.0) / p->speed[u];
}

static inline void placement_arrive(struct placement *p, clk_ms now, uint32_t class_index,
				    uint32_t key)
{
	const struct placement_class *c = &p->classes[class_index];
	struct placement_request *r = &p->requests[p->n];
	struct admit_request request = {
		.node = PLACEMENT_NODE,
		.id = ++p->n,
		.key = key,
		.priority = c->priority,
		.deadline = now + c->deadline,
		.target = now + c->target,
		.cost_class = p->by_cost ? class_index + 1 : 0,
	};

	if (p->false_hints && p->n % 10 == 0) {
		request.hint_ms = 4e9;
		request.hint_samples = UINT32_MAX;
	}
	ck_assert(p->n < PLACEMENT_REQUESTS);
	*r = (struct placement_request){
		.arrived = now,
		.class_index = class_index,
		.key = key,
		.work_ms = placement_work(p, c),
	};
	admit_request(p->admit, now, &request);
}

/* Requests for the keys of an upstream arrive in proportion to its speed, as keys are planned. */
static inline void placement_arrivals(struct placement *p, clk_ms now)
{
	double speeds = 0;

	for (uint32_t u = 0; u < p->n_upstreams; u++)
		speeds += p->speed[u];
	for (uint32_t u = 0; u < p->n_upstreams; u++) {
		double phase = 6.283185307 * ((double)now / 10000 + (double)u / p->n_upstreams);
		double swing = 1 + p->wave * sin(phase);

		for (uint32_t i = 0; i < p->n_classes; i++) {
			const struct placement_class *c = &p->classes[i];
			double rate = c->per_second / 1000 * swing * p->speed[u] / speeds;

			if (rnd_unit(&p->rnd) < rate)
				placement_arrive(p, now, i, u);
		}
	}
}

static inline void placement_decide(struct placement *p, clk_ms now)
{
	struct admit_decision d;

	while (admit_next(p->admit, now, &d)) {
		struct placement_request *r = &p->requests[d.request - 1];

		if (!d.granted) {
			r->refused = true;
			continue;
		}
		r->granted = now;
		r->slot = d.slot;
		r->upstream = (uint32_t)d.upstream - 1;
		r->shed = now < p->shed_until && (double)(rnd_mix(d.request, 3) % 1000) <
							 1000 * p->shed_share[r->upstream];
		r->ends = now + (r->shed ? 2
					 : 1 + (clk_ms)(r->work_ms *
							placement_slowness(p, r->upstream, now)));
		/* The upstream stops at the deadline. */
		r->timed_out = r->ends > r->arrived + p->classes[r->class_index].deadline;
		if (r->timed_out)
			r->ends = r->arrived + p->classes[r->class_index].deadline;
		p->running[r->upstream]++;
		ck_assert_uint_le(p->running[r->upstream], p->slots);
		p->active[p->n_active++] = r;
	}
}

static inline void placement_end(struct placement *p, clk_ms now, struct placement_request *r)
{
	uint32_t u = r->upstream;
	struct admit_report report = {
		.known = !p->no_report,
		.running = p->running[u],
		.slots = p->slots,
		.slowness = p->no_report ? 0 : (uint32_t)(100 * placement_slowness(p, u, now)),
		.answered = true,
	};

	p->running[u]--;
	p->sheds += r->shed;
	p->served_late[u] += now > p->shed_until && !r->shed;
	admit_done(p->admit, now, r->slot,
		   r->shed	  ? ADMIT_SHED
		   : r->timed_out ? ADMIT_TIMEOUT
				  : ADMIT_OK,
		   now - r->granted, &report);
}

static inline void placement_ends(struct placement *p, clk_ms now)
{
	for (uint32_t i = 0; i < p->n_active; i++) {
		struct placement_request *r = p->active[i];

		if (r->ends > now)
			continue;
		p->active[i--] = p->active[--p->n_active];
		placement_end(p, now, r);
	}
}

static inline void placement_count(struct placement *p)
{
	memset(p->score, 0, sizeof(p->score));
	memset(&p->all, 0, sizeof(p->all));
	for (uint32_t i = 0; i < p->n; i++) {
		const struct placement_request *r = &p->requests[i];
		const struct placement_class *c = &p->classes[r->class_index];
		struct placement_score *s = &p->score[r->class_index];
		bool good = r->granted && !r->shed && r->ends - r->arrived <= c->target;

		if (r->arrived < p->counted_from || r->arrived > p->length - c->deadline)
			continue;
		s->callers++;
		s->in_target += good;
		s->refused += r->refused;
		p->all.callers++;
		p->all.in_target += good;
		p->all.refused += r->refused;
	}
}

/* Sets the arrivals to `load` of the capacity, in the given proportions of requests. */
static inline void placement_scale(struct placement *p, double load, const double *parts)
{
	double slowed = p->steady ? 1.0 : 1.4;
	double work_ms = 0;
	double speeds = 0;

	for (uint32_t i = 0; i < p->n_classes && i < PLACEMENT_CLASSES; i++)
		work_ms += parts[i] * p->classes[i].work_ms * (1 + 6 * p->tail) * slowed;
	for (uint32_t u = 0; u < p->n_upstreams; u++)
		speeds += p->speed[u];
	for (uint32_t i = 0; i < p->n_classes; i++)
		p->classes[i].per_second = parts[i] * load * speeds * p->slots * 1000 / work_ms;
}

/* Plays the load; `each` is called every ms, or NULL. */
static inline void placement_play(struct placement *p, bool by_cost, uint64_t seed,
				  void (*each)(struct placement *p, clk_ms now))
{
	struct admit_options opts = {
		.keyed = p->keyed,
		.cold_per_second = 2.5,
		.initial_service_time = 200,
	};

	p->by_cost = by_cost;
	p->n = 0;
	p->n_active = 0;
	p->sheds = 0;
	memset(p->served_late, 0, sizeof(p->served_late));
	memset(p->running, 0, sizeof(p->running));
	p->requests = calloc(PLACEMENT_REQUESTS, sizeof(*p->requests));
	p->active = calloc(PLACEMENT_REQUESTS, sizeof(struct placement_request *));
	rnd_seed(&p->rnd, seed);
	p->admit = admit_create(&opts, placement_owner, p, seed);
	for (uint32_t u = 0; u < p->n_upstreams; u++) {
		struct admit_upstream conf = {.num = u + 1, .slots = p->slots, .usable = true};

		admit_set_upstream(p->admit, 1, &conf);
	}
	for (clk_ms now = 1; now < p->length; now++) {
		placement_ends(p, now);
		placement_arrivals(p, now);
		placement_decide(p, now);
		if (each)
			each(p, now);
	}
	placement_count(p);
	admit_destroy(p->admit);
	free(p->requests);
	free(p->active);
}

static inline double placement_misses(const struct placement_score *s)
{
	return s->callers > 0 ? 1 - s->in_target / s->callers : 0;
}

/* Prints and compares the shares of callers that got no answer by their target. */
static inline void placement_print(const char *what, const struct placement *former,
				   const struct placement *now)
{
	printf("%s: misses %.4f, %.4f by cost;", what, placement_misses(&former->all),
	       placement_misses(&now->all));
	for (uint32_t i = 0; i < now->n_classes; i++)
		printf(" class %u %.4f %.4f (refused %.3f %.3f)", i,
		       placement_misses(&former->score[i]), placement_misses(&now->score[i]),
		       former->score[i].refused / fmax(former->score[i].callers, 1),
		       now->score[i].refused / fmax(now->score[i].callers, 1));
	printf("\n");
}

#endif
