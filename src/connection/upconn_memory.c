/*
 * HTTP client: limits the memory that answers take.
 *
 * Load pattern: an upstream sends answers that do not end. Each may grow up to
 * UPCONN_MAX_ANSWER_BYTES, and many callers wait for one. When all answers together exceed the
 * limit, the upstream whose unfinished answers take most loses the largest of them, so that it does
 * not push out the answers of others. An upstream that loses several in a row, or that exceeds the
 * limit of one answer, may for some time send only SUSPECT_ANSWER_BYTES without announcing the
 * length first, so that the next callers do not cost the same again.
 */
#include "connection/upconn_priv.h"

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"

/* Smaller unfinished answers are never ended for lack of memory. */
#define MIN_ENDED_BYTES (64u * 1024)
#define SUSPECT_ANSWER_BYTES (1024u * 1024)
/* How long an upstream is suspected of endless answers. */
#define SUSPECT_MS 60000
/* Answers that an upstream loses, without a large one completed in between, before that. */
#define SUSPECT_AFTER_ENDED 4

static const struct log log = {"upconn"};
CTR(ctr_ended, "upconn_memory_total", "Answers ended because all together took too much memory.");

void upconn_memory_join(struct upconn_pool *pool)
{
	struct answer_memory *m = pool->opts.memory;

	if (!m)
		return;
	pool->memory_next = m->pools;
	if (m->pools)
		m->pools->memory_prev = pool;
	m->pools = pool;
}

void upconn_memory_leave(struct upconn_pool *pool)
{
	struct answer_memory *m = pool->opts.memory;

	if (!m)
		return;
	if (pool->memory_prev)
		pool->memory_prev->memory_next = pool->memory_next;
	else
		m->pools = pool->memory_next;
	if (pool->memory_next)
		pool->memory_next->memory_prev = pool->memory_prev;
}

void upconn_memory_release(struct upconn_call *call)
{
	if (call->pool->opts.memory)
		call->pool->opts.memory->used -= call->counted_bytes;
	call->pool->answer_bytes -= call->counted_bytes;
	call->counted_bytes = 0;
}

static bool has_unknown_length(const struct upconn_call *call)
{
	return call->framing == UPCONN_FRAMING_CHUNKED || call->framing == UPCONN_FRAMING_CLOSE;
}

size_t upconn_max_answer(const struct upconn_call *call)
{
	bool suspect = clk_now() < call->pool->suspect_until && !MUTANT(answers_unlimited);
	size_t max = call->pool->max_body;

	return suspect && has_unknown_length(call) && max > SUSPECT_ANSWER_BYTES
		       ? SUSPECT_ANSWER_BYTES
		       : max;
}

void upconn_suspect(struct upconn_call *call)
{
	if (has_unknown_length(call))
		call->pool->suspect_until = clk_now() + SUSPECT_MS;
}

/* Returns the largest unfinished answer of the pool; those of unknown length come first. */
static struct upconn_call *largest_answer(struct upconn_pool *pool)
{
	struct upconn_call *best = NULL;

	for (struct upconn_call *c = pool->calls; c; c = c->next) {
		bool unknown = has_unknown_length(c);

		if (c->counted_bytes < MIN_ENDED_BYTES)
			continue;
		if (!best || unknown > has_unknown_length(best) ||
		    (unknown == has_unknown_length(best) && c->counted_bytes > best->counted_bytes))
			best = c;
	}
	return best;
}

/*
 * Returns the answer to end: the largest one of that pool whose unfinished answers take most; NULL
 * if no unfinished answer is large.
 */
static struct upconn_call *choose_victim(const struct answer_memory *m)
{
	struct upconn_call *best = NULL;

	for (struct upconn_pool *p = m->pools; p; p = p->memory_next) {
		struct upconn_call *call = largest_answer(p);

		if (call && (!best || p->answer_bytes > best->pool->answer_bytes))
			best = call;
	}
	return best;
}

void upconn_memory_note_complete(struct upconn_call *call)
{
	if (call->body.len >= MIN_ENDED_BYTES)
		call->pool->n_ended = 0;
}

/* Returns the memory that the unfinished answer takes: its blocks and the input buffer. */
static size_t taken_bytes(const struct upconn_call *call)
{
	return call->body.capacity + (call->conn ? call->conn->sock->input->capacity : 0);
}

bool upconn_memory_count(struct upconn_call *call)
{
	struct answer_memory *m = call->pool->opts.memory;
	bool ended = false;
	size_t taken;

	if (!m)
		return false;
	taken = taken_bytes(call);
	m->used += taken - call->counted_bytes;
	call->pool->answer_bytes += taken - call->counted_bytes;
	call->counted_bytes = taken;
	while (m->limit && m->used > m->limit && !MUTANT(answers_unlimited)) {
		struct upconn_call *victim = choose_victim(m);

		if (!victim)
			break;
		ctr_inc(&ctr_ended);
		log_error(&log,
			  "ended an answer of %s at %zu bytes: answers take %zu bytes together; "
			  "check that it ends its answers",
			  victim->pool->host, victim->counted_bytes, m->used);
		if (++victim->pool->n_ended >= SUSPECT_AFTER_ENDED)
			upconn_suspect(victim);
		ended |= victim == call;
		upconn_call_abort(victim, UPCONN_TOO_LARGE);
	}
	return ended;
}
