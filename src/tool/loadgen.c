/*
 * Load generator: creates requests and sends them to the entries, either at random times at a given
 * average rate (open loop) or with a given number in flight (closed loop).
 */
#include "tool/loadgen_priv.h"

#include <assert.h>
#include <math.h>
#include <signal.h>
#include <stdlib.h>
#include <time.h>

#define MAX_LOOP_WAIT_MS 100

/* The client waits this much longer than the timeout that it requests, to record late answers. */
#define ANSWER_GRACE_MS 1000

/* Time without new requests for an entry that refused a connection, as a load balancer does. */
#define REFUSED_ENTRY_PAUSE_MS 1000
#define MAX_HEADERS 5

static volatile sig_atomic_t stop_requested;

/* Returns monotonic time in microseconds, since latencies need a finer unit than clk_ms. */
static uint64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

/* Computes the cumulative weights of the keys for a Zipf distribution. */
static void prepare_keys(struct loadgen *l)
{
	double sum = 0;

	if (!l->opt.keys || l->opt.zipf <= 0)
		return;
	l->zipf_sums = calloc(l->opt.keys, sizeof(*l->zipf_sums));
	if (!l->zipf_sums)
		abort();
	for (uint64_t i = 0; i < l->opt.keys; i++) {
		sum += pow((double)(i + 1), -l->opt.zipf);
		l->zipf_sums[i] = sum;
	}
}

/* Returns a random key number below `keys`, from a Zipf or uniform distribution. */
static uint64_t pick_key(struct loadgen *l)
{
	uint64_t low = 0;
	uint64_t high = l->opt.keys - 1;
	double target;

	if (!l->zipf_sums)
		return rnd_below(&l->choices, l->opt.keys);
	target = rnd_unit(&l->choices) * l->zipf_sums[high];
	while (low < high) {
		uint64_t mid = low + (high - low) / 2;

		if (l->zipf_sums[mid] > target)
			high = mid;
		else
			low = mid + 1;
	}
	return low;
}

/* Returns a body of letters that the seed and the request's number determine. */
static struct str make_body(struct loadgen *l, struct arena *a, uint64_t seq)
{
	static const char letters[] = "abcdefghijklmnopqrstuvwxyz012345";
	struct rnd r;
	char *p;

	if (!l->opt.body_bytes)
		return STR_NULL;
	p = arena_alloc(a, l->opt.body_bytes);
	rnd_seed(&r, rnd_mix(l->opt.seed, seq));
	for (size_t i = 0; i < l->opt.body_bytes; i++)
		p[i] = letters[rnd_u64(&r) % (sizeof(letters) - 1)];
	return (struct str){p, l->opt.body_bytes};
}

static struct loadgen_attempt *new_attempt(struct loadgen *l)
{
	struct arena arena = ARENA_INIT;
	struct loadgen_attempt *a = arena_alloc(&arena, sizeof(*a));

	a->arena = arena;
	a->gen = l;
	a->seq = l->started;
	return a;
}

/* Returns the index of the next entry (round robin) that is not paused; the next if all are. */
static size_t pick_entry(struct loadgen *l)
{
	clk_ms now = clk_now();

	assert(l->n_entries > 0); /* checked by prepare() */
	for (size_t i = 0; i < l->n_entries; i++) {
		size_t e = (l->next_entry + i) % l->n_entries;

		if (l->entries[e].paused_until <= now) {
			l->next_entry = e + 1;
			return e;
		}
	}
	return l->next_entry++ % l->n_entries;
}

static void on_answer(void *data, const struct httpc_answer *answer);

static void send_attempt(struct loadgen_attempt *a)
{
	struct loadgen *l = a->gen;
	struct httpc_header headers[MAX_HEADERS];
	struct httpc_request req = {
		.method = str_from(l->opt.method),
		.path = str_from(l->opt.path),
		.headers = headers,
		.body = a->body,
	};

	if (a->key.len)
		headers[req.n_headers++] = (struct httpc_header){STR_LIT("x-key"), a->key};
	if (a->request_id.len)
		headers[req.n_headers++] =
			(struct httpc_header){STR_LIT("x-request-id"), a->request_id};
	if (*l->opt.account)
		headers[req.n_headers++] =
			(struct httpc_header){STR_LIT("x-account"), str_from(l->opt.account)};
	headers[req.n_headers++] =
		(struct httpc_header){STR_LIT("x-timeout-ms"),
				      arena_printf(&a->arena, "%lld", (long long)l->opt.timeout)};
	httpc_send(l->entries[a->entry].client, &req, on_answer, a);
}

/* Sends a request with the same id, key and body to the entry after the original's. */
static void send_repeat(const struct loadgen_attempt *original)
{
	struct loadgen *l = original->gen;
	struct loadgen_attempt *a = new_attempt(l);

	a->seq = original->seq;
	a->key = arena_str(&a->arena, original->key);
	a->request_id = arena_str(&a->arena, original->request_id);
	a->body = arena_str(&a->arena, original->body);
	a->entry = (original->entry + 1) % l->n_entries;
	a->repeat = true;
	a->sent = clk_utc();
	a->scheduled_us = now_us();
	l->in_flight++;
	send_attempt(a);
}

/*
 * Starts a request. Latency counts from `scheduled_at_us`, when the request was due, so that it
 * includes any delay in this process.
 */
static void start_request(struct loadgen *l, uint64_t scheduled_at_us)
{
	struct loadgen_attempt *a = new_attempt(l);
	bool repeat;

	if (l->opt.keys)
		a->key = arena_printf(&a->arena, "%s%llu", l->opt.key_prefix,
				      (unsigned long long)pick_key(l));
	if (l->opt.request_ids)
		a->request_id =
			arena_printf(&a->arena, "load-%llx-%llu", (unsigned long long)l->run_id,
				     (unsigned long long)a->seq);
	a->body = make_body(l, &a->arena, a->seq);
	a->entry = pick_entry(l);
	a->sent = clk_utc();
	a->scheduled_us = scheduled_at_us;
	repeat = rnd_below(&l->choices, 100) < l->opt.repeat_percent;
	/* Half of the repeats are sent at once with the original, half after its answer. */
	a->repeat_after_answer = repeat && rnd_below(&l->choices, 2) == 0;
	l->started++;
	l->in_flight++;
	send_attempt(a);
	if (repeat && !a->repeat_after_answer)
		send_repeat(a);
}

/*
 * Sends the attempt to another entry after a refused connection, as a load balancer would. Returns
 * false if all entries refused it, or if sending has been stopped.
 */
static bool try_next_entry(struct loadgen_attempt *a)
{
	struct loadgen *l = a->gen;

	l->entries[a->entry].paused_until = clk_now() + REFUSED_ENTRY_PAUSE_MS;
	if (++a->n_refused >= l->n_entries || stop_requested)
		return false;
	a->entry = pick_entry(l);
	send_attempt(a);
	return true;
}

static void on_answer(void *data, const struct httpc_answer *answer)
{
	struct loadgen_attempt *a = data;
	struct loadgen *l = a->gen;
	uint64_t latency_us = now_us() - a->scheduled_us;
	struct arena arena;

	if (answer->result == HTTPC_CONNECT_FAILED && try_next_entry(a))
		return;
	loadgen_record_answer(a, answer, latency_us);
	if (a->repeat_after_answer)
		send_repeat(a);
	l->in_flight--;
	arena = a->arena;
	arena_free(&arena); /* holds `a` itself */
}

static bool may_start(const struct loadgen *l)
{
	if (stop_requested || (l->opt.requests && l->started >= l->opt.requests))
		return false;
	return !l->opt.duration || clk_now() - l->start < l->opt.duration;
}

/* Sets the time of the next request; intervals are exponentially distributed. */
static void schedule_arrival(struct loadgen *l)
{
	l->next_arrival_offset_us += -log(1.0 - rnd_unit(&l->arrivals)) * 1e6 / l->opt.rate;
}

/* Starts all requests that are due; returns how long the event loop may wait, in ms. */
static clk_ms start_due_requests(struct loadgen *l, uint64_t start_us)
{
	uint64_t started_before = l->started;
	double elapsed = (double)(now_us() - start_us);

	if (l->opt.rate <= 0) {
		while (l->in_flight < l->opt.concurrency && may_start(l))
			start_request(l, now_us());
	}
	while (l->opt.rate > 0 && l->next_arrival_offset_us <= elapsed && may_start(l)) {
		start_request(l, start_us + (uint64_t)l->next_arrival_offset_us);
		schedule_arrival(l);
	}
	/* h2o runs the callbacks of writes made here only in the next iteration of its loop. */
	if (l->started != started_before)
		return 0;
	if (l->opt.rate <= 0)
		return MAX_LOOP_WAIT_MS;
	return (clk_ms)fmin((l->next_arrival_offset_us - elapsed) / 1000, MAX_LOOP_WAIT_MS);
}

static void run(struct loadgen *l)
{
	uint64_t start_us = now_us();
	clk_ms sending_end;

	l->start = clk_now();
	l->stats = stats_create(clk_utc());
	if (l->opt.rate > 0)
		schedule_arrival(l);
	while (may_start(l)) {
		clk_ms wait = start_due_requests(l, start_us);

		h2o_evloop_run(l->loop, (int32_t)wait);
	}
	sending_end = clk_utc();
	while (l->in_flight)
		h2o_evloop_run(l->loop, MAX_LOOP_WAIT_MS);
	stats_write(l->stats, sending_end, l->opt.per_key, stdout);
	stats_destroy(l->stats);
}

static bool prepare(struct loadgen *l, const struct loadgen_options *o, struct err *err)
{
	if (o->n_entries == 0 || o->n_entries > LOADGEN_MAX_ENTRIES)
		return err_set(err, ERR_INPUT, "give 1 to %d entries", LOADGEN_MAX_ENTRIES);
	l->opt = *o;
	l->loop = h2o_evloop_create();
	for (size_t i = 0; i < o->n_entries; i++) {
		struct loadgen_entry *e = &l->entries[l->n_entries];

		e->client =
			httpc_create(l->loop, o->entries[i], l->opt.timeout + ANSWER_GRACE_MS, err);
		if (!e->client)
			return false;
		l->n_entries++;
	}
	if (o->out) {
		l->out = fopen(o->out, "we");
		if (!l->out)
			return err_set(err, ERR_INPUT, "cannot write %.200s: give another --out",
				       o->out);
	}
	rnd_seed(&l->arrivals, l->opt.seed);
	rnd_seed(&l->choices, rnd_mix(l->opt.seed, 1));
	l->run_id = rnd_mix((uint64_t)clk_utc(), l->opt.seed) >> 16;
	prepare_keys(l);
	return true;
}

bool loadgen_run(const struct loadgen_options *o, struct err *err)
{
	static struct loadgen l;

	if (!prepare(&l, o, err))
		return false;
	run(&l);
	free(l.zipf_sums);
	if (l.out)
		fclose(l.out);
	return true;
}

void loadgen_stop(void)
{
	stop_requested = 1;
}
