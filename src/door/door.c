#include "door/door.h"

#include "base/mutant.h"

/* What a request takes beside its head and body: the states of its stages. */
#define REQUEST_BYTES 4096
/* Size of one header in an array; two arrays exist, that of the caller and that of the upstream. */
#define HEADER_BYTES 64

/* Returns what connections may take that hold much. */
static size_t large_limit(const struct door *d)
{
	return d->limit - (MUTANT(door_no_reserve) ? 0 : d->limit / DOOR_RESERVE_DIVISOR);
}

bool door_admits(const struct door *d, size_t held, size_t more)
{
	size_t limit;

	if (!d || !d->limit || MUTANT(door_no_limit))
		return true;
	limit = held + more <= DOOR_SMALL_BYTES ? d->limit : large_limit(d);
	return d->used <= limit && more <= limit - d->used;
}

bool door_is_short(const struct door *d)
{
	return d && d->limit && d->used > large_limit(d) / 2;
}

void door_count(struct door *d, size_t *counted, size_t bytes)
{
	if (d)
		d->used += bytes - *counted;
	*counted = bytes;
}

size_t door_head_bytes(size_t len, size_t n_headers)
{
	return REQUEST_BYTES + 2 * (len + n_headers * HEADER_BYTES);
}

bool door_is_stale_body(clk_ms last_read, clk_ms now)
{
	return now - last_read >= DOOR_STALE_BODY_MS && !MUTANT(door_keep_stale);
}

bool door_is_stalled_answer(clk_ms last_taken, clk_ms now)
{
	return now - last_taken >= DOOR_STALLED_ANSWER_MS && !MUTANT(door_keep_stalled);
}
