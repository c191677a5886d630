#include <limits.h>
#include <string.h>

#include "process/broker_priv.h"

void window_init(struct window *w, uint32_t size)
{
	memset(w, 0, sizeof(*w));
	w->size = size < WINDOW_MAX ? size : WINDOW_MAX;
}

/* Returns the first position in `sorted` whose value is at least `v`. */
static uint32_t lower_bound(const struct window *w, int32_t v)
{
	uint32_t lo = 0;
	uint32_t hi = w->count;

	while (lo < hi) {
		uint32_t mid = (lo + hi) / 2;

		if (w->sorted[mid] < v)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

void window_add(struct window *w, clk_ms sample)
{
	int32_t v = sample < 0 ? 0 : sample > INT32_MAX ? INT32_MAX : (int32_t)sample;
	uint32_t at;

	if (w->count == w->size) {
		at = lower_bound(w, w->ring[w->next]);
		memmove(&w->sorted[at], &w->sorted[at + 1],
			(w->count - at - 1) * sizeof(w->sorted[0]));
		w->count--;
	}
	at = lower_bound(w, v);
	memmove(&w->sorted[at + 1], &w->sorted[at], (w->count - at) * sizeof(w->sorted[0]));
	w->sorted[at] = v;
	w->count++;
	w->ring[w->next] = v;
	w->next = (w->next + 1) % w->size;
}

clk_ms window_percentile(const struct window *w, uint32_t percent)
{
	return w->count ? w->sorted[(size_t)(w->count - 1) * percent / 100] : 0;
}
