#include "accounts/account_stats.h"

#include <stdint.h>
#include <stdlib.h>

#include "accounts/account.h"
#include "base/hash.h"

enum outcome { ANSWERED, OVER_ALLOWANCE, REFUSED, FAILED, OUTCOMES };

static const char *const outcome_names[OUTCOMES] = {
	[ANSWERED] = "answered",
	[OVER_ALLOWANCE] = "over_allowance",
	[REFUSED] = "refused",
	[FAILED] = "failed",
};

struct entry {
	uint64_t id; /* hash of the name */
	char name[ACCOUNT_MAX_NAME_BYTES + 1];
	uint64_t counts[OUTCOMES];
	UT_hash_handle hh;
};

struct account_stats {
	struct entry *entries;
	struct entry other; /* accounts beyond ACCOUNT_STATS_MAX */
};

struct account_stats *account_stats_create(void)
{
	struct account_stats *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	return s;
}

void account_stats_destroy(struct account_stats *s)
{
	struct entry *e;
	struct entry *tmp;

	if (!s)
		return;
	HASH_ITER (hh, s->entries, e, tmp) {
		HASH_DEL(s->entries, e);
		free(e);
	}
	free(s);
}

static struct entry *entry_of(struct account_stats *s, struct str account)
{
	uint64_t id = str_hash(account);
	struct entry *e;

	HASH_FIND(hh, s->entries, &id, sizeof(id), e);
	if (e)
		return e;
	if (HASH_COUNT(s->entries) >= ACCOUNT_STATS_MAX)
		return &s->other;
	e = calloc(1, sizeof(*e));
	if (!e)
		abort();
	e->id = id;
	snprintf(e->name, sizeof(e->name), "%.*s", STR_ARG(account));
	HASH_ADD(hh, s->entries, id, sizeof(e->id), e);
	return e;
}

static enum outcome outcome_of(int status)
{
	if (status == 429)
		return OVER_ALLOWANCE;
	if (status == 503)
		return REFUSED;
	return status >= 100 && status < 500 ? ANSWERED : FAILED;
}

void account_stats_note(struct account_stats *s, struct str account, int status)
{
	entry_of(s, account)->counts[outcome_of(status)]++;
}

static void render_entry(const struct entry *e, const char *name, FILE *out)
{
	for (int o = 0; o < OUTCOMES; o++) {
		if (!e->counts[o])
			continue;
		fprintf(out, "bamboocroft_account_requests_total{account=\"");
		for (const char *c = name; *c; c++)
			fprintf(out, *c == '"' || *c == '\\' ? "\\%c" : "%c", *c);
		fprintf(out, "\",outcome=\"%s\"} %llu\n", outcome_names[o],
			(unsigned long long)e->counts[o]);
	}
}

void account_stats_render(const struct account_stats *s, FILE *out)
{
	const struct entry *e;

	if (!s->entries)
		return;
	fprintf(out, "# HELP bamboocroft_account_requests_total Requests by client account.\n"
		     "# TYPE bamboocroft_account_requests_total counter\n");
	for (e = s->entries; e; e = e->hh.next)
		render_entry(e, e->name, out);
	/* No account has an empty name. */
	render_entry(&s->other, "", out);
}
