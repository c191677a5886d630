#include "base/hist.h"

#include <inttypes.h>

/*
 * Inclusive upper bounds of the buckets. They are closest (a factor of 1.5 to 1.7) between 200 and
 * 2000 ms, where most latencies are expected.
 */
static const clk_ms bucket_bounds_ms[HIST_BUCKETS - 1] = {1,   2,   5,	 10,   20,   50,   100, 200,
							  300, 500, 800, 1200, 2000, 4000, 8000};

/* Histograms with at least one value, newest first. */
static struct hist *registered_list;

void hist_add(struct hist *h, clk_ms value)
{
	size_t i = 0;

	if (!h->registered) {
		h->registered = 1;
		h->next = registered_list;
		registered_list = h;
	}
	while (i < HIST_BUCKETS - 1 && value > bucket_bounds_ms[i])
		i++;
	h->buckets[i]++;
	h->count++;
	h->sum_ms += value > 0 ? (uint64_t)value : 0;
}

void hist_render(FILE *out)
{
	for (const struct hist *h = registered_list; h; h = h->next) {
		uint64_t cumulative = 0;

		fprintf(out, "# HELP bamboocroft_%s %s\n# TYPE bamboocroft_%s histogram\n", h->name,
			h->help, h->name);
		for (size_t i = 0; i < HIST_BUCKETS - 1; i++) {
			cumulative += h->buckets[i];
			fprintf(out, "bamboocroft_%s_bucket{le=\"%lld\"} %" PRIu64 "\n", h->name,
				(long long)bucket_bounds_ms[i], cumulative);
		}
		fprintf(out, "bamboocroft_%s_bucket{le=\"+Inf\"} %" PRIu64 "\n", h->name, h->count);
		fprintf(out, "bamboocroft_%s_sum %" PRIu64 "\n", h->name, h->sum_ms);
		fprintf(out, "bamboocroft_%s_count %" PRIu64 "\n", h->name, h->count);
	}
}
