#include "tool/stats.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

/* Number of samples with one label. */
struct count {
	char *label;
	uint64_t n;
	UT_hash_handle hh;
};

/* Time during which requests of one key failed. */
struct key_outage {
	char *key;
	clk_ms failing_since;  /* when the outage's first request was sent; CLK_NEVER: no outage */
	clk_ms longest_outage; /* duration of the longest outage that has ended */
	UT_hash_handle hh;
};

struct stats {
	clk_ms start;
	clk_ms last_success; /* time of the last successful answer, at first `start` */
	clk_ms longest_gap;  /* longest time between successful answers */
	struct count *counts;
	struct key_outage *keys;
	uint64_t *latencies; /* of successes, in microseconds; sorted by stats_write() */
	size_t n_latencies;
	size_t capacity;   /* elements allocated for `latencies` */
	uint64_t requests; /* samples that are not repeats */
	uint64_t repeats;
};

struct stats *stats_create(clk_ms start)
{
	struct stats *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	s->start = start;
	s->last_success = start;
	return s;
}

void stats_destroy(struct stats *s)
{
	struct count *count = s->counts;
	struct key_outage *key = s->keys;

	/* Frees uthash's tables only: the elements stay linked by `hh.next` and are freed below. */
	HASH_CLEAR(hh, s->counts);
	HASH_CLEAR(hh, s->keys);
	while (count) {
		struct count *next = count->hh.next;

		free(count->label);
		free(count);
		count = next;
	}
	while (key) {
		struct key_outage *next = key->hh.next;

		free(key->key);
		free(key);
		key = next;
	}
	free(s->latencies);
	free(s);
}

static void add_count(struct stats *s, const char *label)
{
	struct count *c;

	HASH_FIND_STR(s->counts, label, c);
	if (!c) {
		c = calloc(1, sizeof(*c));
		if (!c)
			abort();
		c->label = strdup(label);
		HASH_ADD_KEYPTR(hh, s->counts, c->label, strlen(c->label), c);
	}
	c->n++;
}

static void add_latency(struct stats *s, uint64_t us)
{
	if (s->n_latencies == s->capacity) {
		s->capacity = s->capacity ? 2 * s->capacity : 1024;
		s->latencies = realloc(s->latencies, s->capacity * sizeof(*s->latencies));
		if (!s->latencies)
			abort();
	}
	s->latencies[s->n_latencies++] = us;
}

/* Begins, extends or ends the outage of the sample's key. */
static void update_outage(struct stats *s, const struct stats_sample *sample)
{
	struct key_outage *k;

	HASH_FIND_STR(s->keys, sample->key, k);
	if (!k) {
		k = calloc(1, sizeof(*k));
		if (!k)
			abort();
		k->key = strdup(sample->key);
		k->failing_since = CLK_NEVER;
		HASH_ADD_KEYPTR(hh, s->keys, k->key, strlen(k->key), k);
	}
	if (!sample->success) {
		if (k->failing_since > sample->sent)
			k->failing_since = sample->sent;
		return;
	}
	if (k->failing_since != CLK_NEVER &&
	    sample->answered - k->failing_since > k->longest_outage)
		k->longest_outage = sample->answered - k->failing_since;
	k->failing_since = CLK_NEVER;
}

void stats_add(struct stats *s, const struct stats_sample *sample)
{
	add_count(s, sample->label);
	if (sample->repeat) {
		s->repeats++;
		return;
	}
	s->requests++;
	if (sample->key)
		update_outage(s, sample);
	if (!sample->success)
		return;
	add_latency(s, sample->latency_us);
	if (sample->answered - s->last_success > s->longest_gap)
		s->longest_gap = sample->answered - s->last_success;
	s->last_success = sample->answered;
}

static int compare_label(struct count *a, struct count *b)
{
	return strcmp(a->label, b->label);
}

static int compare_latency(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/*
 * Returns a percentile by the nearest-rank method: the smallest latency that at least `per_mille`
 * thousandths of the samples do not exceed. Needs sorted latencies; returns 0 if there are none.
 */
static double percentile_ms(const struct stats *s, size_t per_mille)
{
	size_t rank = (s->n_latencies * per_mille + 999) / 1000;

	return rank ? (double)s->latencies[rank - 1] / 1000 : 0;
}

static void write_worst_key(const struct stats *s, clk_ms end, FILE *out)
{
	const char *worst_key = "-";
	clk_ms longest_outage = 0;
	size_t n_failed = 0;
	struct key_outage *k;
	struct key_outage *next;

	HASH_ITER (hh, s->keys, k, next) {
		clk_ms outage = k->longest_outage;

		if (k->failing_since != CLK_NEVER && end - k->failing_since > outage)
			outage = end - k->failing_since;
		n_failed += outage > 0;
		if (outage > longest_outage) {
			longest_outage = outage;
			worst_key = k->key;
		}
	}
	fprintf(out, "keys %u\n", HASH_COUNT(s->keys));
	fprintf(out, "keys_with_failures %zu\n", n_failed);
	fprintf(out, "worst_key %s\n", worst_key);
	fprintf(out, "worst_key_unavailable_ms %lld\n", (long long)longest_outage);
}

void stats_write(struct stats *s, clk_ms end, bool per_key, FILE *out)
{
	clk_ms unavailable_ms =
		end - s->last_success > s->longest_gap ? end - s->last_success : s->longest_gap;
	struct count *c;
	struct count *next;

	if (s->n_latencies)
		qsort(s->latencies, s->n_latencies, sizeof(*s->latencies), compare_latency);
	HASH_SORT(s->counts, compare_label);
	fprintf(out, "requests %llu\n", (unsigned long long)s->requests);
	fprintf(out, "repeats %llu\n", (unsigned long long)s->repeats);
	fprintf(out, "successes %zu\n", s->n_latencies);
	HASH_ITER (hh, s->counts, c, next) {
		fprintf(out, "count[%s] %llu\n", c->label, (unsigned long long)c->n);
	}
	fprintf(out, "duration_ms %lld\n", (long long)(end - s->start));
	fprintf(out, "p50_ms %.3f\n", percentile_ms(s, 500));
	fprintf(out, "p99_ms %.3f\n", percentile_ms(s, 990));
	fprintf(out, "p99.9_ms %.3f\n", percentile_ms(s, 999));
	fprintf(out, "unavailable_ms %lld\n", (long long)unavailable_ms);
	if (per_key)
		write_worst_key(s, end, out);
}
