#include "queue/returns.h"

#include <stdlib.h>

#include "base/hash.h"
#include "base/mutant.h"

/* Most callers on record; the oldest is dropped for a new one. */
#define MAX_CALLERS 4096
/* Callers that wait longer than this are not recorded. */
#define MAX_TIME_LIMIT_MS 60000
/*
 * The deadlines of two attempts of a caller differ by the transit times of its requests. Callers
 * whose deadlines differ by less than this, or by less than twice this at most, are taken for one.
 */
#define DEADLINE_STEP_MS 100

struct key {
	uint64_t fingerprint;
	int64_t step; /* deadline, in steps */
};

struct record {
	struct key key;
	clk_ms deadline;
	struct returns_caller caller;
	UT_hash_handle hh;
};

struct returns {
	struct record *records; /* the oldest first */
};

struct returns *returns_create(void)
{
	struct returns *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	return r;
}

static void drop(struct returns *r, struct record *rec)
{
	HASH_DEL(r->records, rec);
	free(rec);
}

void returns_destroy(struct returns *r)
{
	struct record *rec;
	struct record *tmp;

	if (!r)
		return;
	HASH_ITER (hh, r->records, rec, tmp)
		drop(r, rec);
	free(r);
}

static struct record *find(const struct returns *r, uint64_t fingerprint, clk_ms deadline)
{
	struct key key = {fingerprint, deadline / DEADLINE_STEP_MS - 1};
	int64_t last = key.step + 2;

	for (; key.step <= last; key.step++) {
		struct record *rec;

		HASH_FIND(hh, r->records, &key, sizeof(key), rec);
		if (rec)
			return rec;
	}
	return NULL;
}

static void drop_expired(struct returns *r, clk_ms now)
{
	while (r->records &&
	       (now >= r->records->deadline ||
		(HASH_COUNT(r->records) >= MAX_CALLERS && !MUTANT(returns_unbounded))))
		drop(r, r->records);
}

void returns_note_refusal(struct returns *r, clk_ms now, uint64_t fingerprint, clk_ms deadline,
			  clk_ms target)
{
	struct record *rec = find(r, fingerprint, deadline);

	if (rec) {
		rec->caller.refusals++;
		return;
	}
	if (deadline - now > MAX_TIME_LIMIT_MS)
		return;
	drop_expired(r, now);
	rec = calloc(1, sizeof(*rec));
	if (!rec)
		abort();
	rec->key = (struct key){fingerprint, deadline / DEADLINE_STEP_MS};
	rec->deadline = deadline;
	rec->caller = (struct returns_caller){now, target, 1};
	HASH_ADD(hh, r->records, key, sizeof(rec->key), rec);
}

bool returns_find(const struct returns *r, uint64_t fingerprint, clk_ms deadline,
		  struct returns_caller *out)
{
	const struct record *rec = find(r, fingerprint, deadline);

	if (!rec || MUTANT(returns_all_new))
		return false;
	*out = rec->caller;
	return true;
}

size_t returns_count(const struct returns *r)
{
	return HASH_COUNT(r->records);
}
