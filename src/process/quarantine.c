#include "process/quarantine.h"

#include <stdlib.h>

#include "base/hash.h"
#include "base/mutant.h"

/* Fingerprint of requests that may have crashed an upstream. */
struct suspect {
	uint64_t fingerprint;
	uint32_t crashes;
	clk_ms in_flight_until;	 /* no other request is sent before this time; 0: none in flight */
	uint64_t lifted_version; /* newest configuration that lifted the quarantine */
	clk_ms last_crash;	 /* time of the newest crash */
	uint64_t process;	 /* upstream process that ended with the newest crash */
	UT_hash_handle hh;
};

struct quarantine {
	clk_ms window;
	clk_ms next_expiry; /* no count expires before this time */
	struct suspect *suspects;
};

struct quarantine *quarantine_create(clk_ms window)
{
	struct quarantine *q = calloc(1, sizeof(*q));

	if (!q)
		abort();
	q->window = window;
	q->next_expiry = CLK_NEVER;
	return q;
}

void quarantine_destroy(struct quarantine *q)
{
	struct suspect *s;
	struct suspect *tmp;

	if (!q)
		return;
	HASH_ITER (hh, q->suspects, s, tmp) {
		HASH_DEL(q->suspects, s);
		free(s);
	}
	free(q);
}

static struct suspect *suspect_find(const struct quarantine *q, uint64_t fingerprint)
{
	struct suspect *s;

	HASH_FIND(hh, q->suspects, &fingerprint, sizeof(fingerprint), s);
	return s;
}

static struct suspect *suspect_find_or_add(struct quarantine *q, uint64_t fingerprint)
{
	struct suspect *s = suspect_find(q, fingerprint);

	if (s)
		return s;
	s = calloc(1, sizeof(*s));
	if (!s)
		abort();
	s->fingerprint = fingerprint;
	HASH_ADD(hh, q->suspects, fingerprint, sizeof(s->fingerprint), s);
	return s;
}

static uint32_t current_crashes(const struct quarantine *q, clk_ms now, const struct suspect *s)
{
	return s && now - s->last_crash < q->window ? s->crashes : 0;
}

static void set_crashes(struct quarantine *q, clk_ms now, struct suspect *s, uint32_t crashes)
{
	s->crashes = crashes;
	s->last_crash = now;
	if (now + q->window < q->next_expiry)
		q->next_expiry = now + q->window;
}

uint32_t quarantine_crash(struct quarantine *q, clk_ms now, uint64_t fingerprint, uint64_t process)
{
	struct suspect *s = suspect_find_or_add(q, fingerprint);
	uint32_t crashes = current_crashes(q, now, s);

	if (crashes > 0 && s->process == process)
		return crashes;
	s->process = process;
	set_crashes(q, now, s, crashes + 1);
	return s->crashes;
}

void quarantine_merge(struct quarantine *q, clk_ms now, uint64_t fingerprint, uint32_t crashes)
{
	struct suspect *s;

	if (crashes == 0)
		return;
	s = suspect_find_or_add(q, fingerprint);
	if (crashes > current_crashes(q, now, s))
		set_crashes(q, now, s, crashes);
}

bool quarantine_blocks(const struct quarantine *q, clk_ms now, uint64_t fingerprint)
{
	return current_crashes(q, now, suspect_find(q, fingerprint)) >= QUARANTINE_CRASHES;
}

bool quarantine_try_send(struct quarantine *q, clk_ms now, uint64_t fingerprint, clk_ms until)
{
	struct suspect *s = suspect_find(q, fingerprint);
	uint32_t crashes = current_crashes(q, now, s);

	if (crashes == 0)
		return true;
	if (crashes >= QUARANTINE_CRASHES || now < s->in_flight_until)
		return false;
	s->in_flight_until = until;
	return true;
}

void quarantine_attempt_done(struct quarantine *q, clk_ms now, uint64_t fingerprint)
{
	struct suspect *s = suspect_find(q, fingerprint);

	if (s)
		s->in_flight_until = 0;
}

void quarantine_reset_count(struct quarantine *q, uint64_t fingerprint)
{
	struct suspect *s = suspect_find(q, fingerprint);

	if (s && s->crashes < QUARANTINE_CRASHES)
		s->crashes = 0;
}

void quarantine_lift(struct quarantine *q, uint64_t fingerprint, uint64_t version)
{
	struct suspect *s = suspect_find_or_add(q, fingerprint);

	/* Each configuration contains all earlier lifts, with the versions that introduced them. */
	if (version <= s->lifted_version)
		return;
	s->lifted_version = version;
	s->crashes = 0;
}

void quarantine_each(const struct quarantine *q, clk_ms now, quarantine_visit visit, void *data)
{
	const struct suspect *s;

	for (s = q->suspects; s; s = s->hh.next) {
		if (current_crashes(q, now, s) > 0)
			visit(data, s->fingerprint, s->crashes, now - s->last_crash);
	}
}

void quarantine_tick(struct quarantine *q, clk_ms now)
{
	struct suspect *s;
	struct suspect *tmp;

	if (now < q->next_expiry)
		return;
	q->next_expiry = CLK_NEVER;
	HASH_ITER (hh, q->suspects, s, tmp) {
		if (s->crashes > 0 && now - s->last_crash < q->window) {
			if (s->last_crash + q->window < q->next_expiry)
				q->next_expiry = s->last_crash + q->window;
			continue;
		}
		s->crashes = 0;
		/* Removal would lose `lifted_version`: the next configuration would lift again. */
		if (s->lifted_version == 0 && now >= s->in_flight_until) {
			HASH_DEL(q->suspects, s);
			free(s);
		}
	}
}
