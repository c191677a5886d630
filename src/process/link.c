#include "process/link.h"

#include "base/mutant.h"

/* Only the fastest answer of a window counts: slower ones may have waited for a busy process. */
#define WINDOW_MS 300
/* Age after which the next answer replaces `base`, since the network path may have changed. */
#define BASE_MAX_AGE_MS 60000
/*
 * Added delay from which bulk is refused in part, and from which only MIN_BULK_SHARE of it passes.
 * The second value is below CROSS_REGION_ACK_TIMEOUT_MS (slots.c), the time that an admission
 * controller in another region has for its answer.
 */
#define DELAY_START_MS 40
#define DELAY_FULL_MS 180
/* Share of bulk that always passes, since answers may be slow for another reason than the link. */
#define MIN_BULK_SHARE 0.1

void link_init(struct link *l, clk_ms now)
{
	*l = (struct link){.window = now, .fastest = {-1, -1}, .base = -1, .credit = 1.0};
}

/* Starts a new time window if the present one is over. */
static void advance(struct link *l, clk_ms now)
{
	if (now - l->window < WINDOW_MS)
		return;
	l->fastest[1] = now - l->window < 2 * WINDOW_MS ? l->fastest[0] : -1;
	l->fastest[0] = -1;
	l->window = now;
}

void link_record_answer(struct link *l, clk_ms now, clk_ms ms)
{
	advance(l, now);
	if (l->fastest[0] < 0 || ms < l->fastest[0])
		l->fastest[0] = ms;
	if (l->base < 0 || ms <= l->base || now - l->base_at > BASE_MAX_AGE_MS) {
		l->base = ms;
		l->base_at = now;
	}
}

clk_ms link_delay(struct link *l, clk_ms now)
{
	clk_ms fastest;

	advance(l, now);
	fastest = l->fastest[0] < 0 ? l->fastest[1] : l->fastest[0];
	return fastest < 0 ? 0 : fastest - l->base;
}

bool link_admits(struct link *l, clk_ms now, size_t bytes)
{
	double full;
	double share;

	if (bytes < LINK_BULK_BYTES || MUTANT(link_never_full))
		return true;
	full = (double)(link_delay(l, now) - DELAY_START_MS) / (DELAY_FULL_MS - DELAY_START_MS);
	share = full <= 0 ? 1.0 : full >= 1 ? MIN_BULK_SHARE : 1.0 - full * (1.0 - MIN_BULK_SHARE);
	l->credit += share;
	if (l->credit < 1.0)
		return false;
	l->credit -= 1.0;
	return true;
}
