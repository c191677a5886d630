/*
 * Measures the processor time of one admission (slot request, decision, return of the slot) by the
 * number of upstreams, and of one request id record by the number of records kept. Calls the broker
 * and request id modules directly, without a network.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "process/broker.h"
#include "process/once.h"

#define ROUNDS 200000
#define SLOTS 4

static double cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e9 + (double)ts.tv_nsec;
}

static size_t heap_bytes(void)
{
	return mallinfo2().uordblks;
}

static struct broker *make_broker(bool keyed, uint32_t upstreams, uint32_t partitions)
{
	struct broker_options opts = broker_defaults;
	struct broker *b;

	opts.keyed = keyed;
	opts.partitions = partitions;
	b = broker_create(&opts, 1, 7);
	for (uint32_t i = 1; i <= upstreams; i++) {
		struct broker_upstream u = {
			.num = i, .slots = SLOTS, .cold_limit = 1, .state = BROKER_WARM};

		broker_set_upstream(b, 0, &u);
	}
	for (uint32_t p = 0; keyed && p < partitions; p++)
		broker_set_owner(b, 0, p, p % upstreams + 1, 1);
	return b;
}

/*
 * Returns the processor time of one admission. Half of the slots stay granted, so that the broker
 * has to choose between free and busy upstreams.
 */
static double admission_ns(struct broker *b, uint32_t partitions, uint32_t upstreams)
{
	size_t n_granted = (size_t)upstreams * SLOTS / 2;
	uint64_t *granted = calloc(n_granted, sizeof(*granted));
	size_t next = 0;
	uint64_t id = 1;
	clk_ms now = 0;
	double begin = 0;

	for (size_t i = 0; i < n_granted + ROUNDS; i++) {
		struct broker_request request = {
			.node = 1, .id = id, .idempotent = true, .deadline = now + 2000};
		struct broker_decision d;

		if (i == n_granted)
			begin = cpu_ns();
		request.partition = (uint32_t)(id % partitions);
		request.key_hash = id;
		id++;
		if (granted[next])
			broker_finish_slot(b, now, granted[next], BROKER_DONE_OK, 5);
		granted[next] = 0;
		broker_request(b, now, &request);
		while (broker_next_decision(b, now, &d)) {
			if (d.kind == BROKER_GRANT)
				granted[next] = d.slot;
		}
		next = (next + 1) % n_granted;
		now = (clk_ms)(i / 10);
	}
	free(granted);
	return (cpu_ns() - begin) / ROUNDS;
}

static void bench_admissions(const char *name, bool keyed)
{
	static const uint32_t sizes[] = {8, 32, 128, 512};

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		uint32_t partitions = keyed ? 1024 : 1;
		size_t before = heap_bytes();
		struct broker *b = make_broker(keyed, sizes[i], partitions);
		size_t heap = heap_bytes() - before;

		printf("%-28s %10u upstreams %10.0f ns/request %10zu B\n", name, sizes[i],
		       admission_ns(b, partitions, sizes[i]), heap);
		broker_destroy(b);
	}
}

static void bench_request_ids(void)
{
	static const size_t sizes[] = {1000, 10000, 100000};

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		size_t before = heap_bytes();
		struct once *o = once_create(ONCE_WINDOW_MS);
		double begin = cpu_ns();
		size_t heap;

		for (uint64_t h = 1; h <= sizes[i]; h++) {
			once_begin(o, 0, h * 0x9e3779b97f4a7c15ULL, 1);
			once_confirm(o, 0, h * 0x9e3779b97f4a7c15ULL, 2);
			once_set_outcome(o, 0, h * 0x9e3779b97f4a7c15ULL, ONCE_COMPLETED);
		}
		heap = heap_bytes() - before;
		printf("%-28s %10zu records   %10.0f ns/record  %10.0f B/record\n",
		       "request id record", sizes[i], (cpu_ns() - begin) / (double)sizes[i],
		       (double)heap / (double)sizes[i]);
		once_destroy(o);
	}
}

int main(void)
{
	bench_admissions("admission, one queue", false);
	bench_admissions("admission, divided by key", true);
	bench_request_ids();
	return 0;
}
