#include "process/fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"

/*
 * A removed upstream is kept this long, since it may still have to release its keys, and a store
 * that is restored from an older copy may list it again.
 */
#define REMOVED_RETENTION_MS 30000
/* An upstream gets no requests for this long after another instance answered at its address. */
#define DISPLACED_MS 10000

static const struct log log = {"fleet"};
CTR(ctr_limited, "upstream_limited_total", "Times that an upstream began to limit its requests.");
CTR(ctr_leaving, "upstream_leaving_total", "Times that an upstream's answer said that it leaves.");
CTR(ctr_turned_away, "upstream_turned_away_total",
    "Requests that an upstream turned away with a time for which it wants none.");

struct evacuated {
	char failure_domain[FLEET_NAME_BYTES];
};

struct fleet {
	struct fleet_handlers handlers;
	void *data;
	struct fleet_upstream *upstreams;
	struct evacuated *evacuated;
	size_t n_evacuated;
	clk_ms holds_until; /* end of the last fleet_upstream.held_until */
};

uint64_t fleet_num(struct str id)
{
	uint64_t num = str_hash(id);

	return num ? num : 1;
}

struct fleet *fleet_create(const struct fleet_handlers *handlers, void *data)
{
	struct fleet *f = calloc(1, sizeof(*f));

	if (!f)
		abort();
	f->handlers = *handlers;
	f->data = data;
	return f;
}

static void free_upstream(struct fleet *f, struct fleet_upstream *u)
{
	HASH_DEL(f->upstreams, u);
	f->handlers.on_free(f->data, u);
	free(u);
}

void fleet_destroy(struct fleet *f)
{
	struct fleet_upstream *u;
	struct fleet_upstream *tmp;

	if (!f)
		return;
	HASH_ITER (hh, f->upstreams, u, tmp)
		free_upstream(f, u);
	free(f->evacuated);
	free(f);
}

static void copy_name(char *out, struct str s)
{
	snprintf(out, FLEET_NAME_BYTES, "%.*s", STR_ARG(s));
}

static bool is_evacuated(const struct fleet *f, const char *domain)
{
	for (size_t i = 0; i < f->n_evacuated; i++) {
		if (strcmp(f->evacuated[i].failure_domain, domain) == 0)
			return true;
	}
	return false;
}

static bool same_process(const struct fleet_upstream *u, const struct fleet_info *info)
{
	return u->started == info->started && u->port == info->port &&
	       strcmp(u->ip, info->ip) == 0 && str_eq(str_from(u->service), info->service);
}

bool fleet_put(struct fleet *f, clk_ms now, const struct fleet_info *info)
{
	uint64_t num = fleet_num(info->id);
	struct fleet_upstream *u = fleet_find(f, num);
	bool is_new = !u || !same_process(u, info);
	bool changed = is_new || u->draining != info->draining || u->slots != info->slots ||
		       u->removed_at != CLK_NEVER ||
		       !str_eq_cstr(info->failure_domain, u->failure_domain) ||
		       (now < u->cold_until) != (info->cold_left > 0);

	if (!u) {
		u = calloc(1, sizeof(*u));
		if (!u)
			abort();
		u->num = num;
		copy_name(u->id, info->id);
		HASH_ADD(hh, f->upstreams, num, sizeof(u->num), u);
	}
	copy_name(u->service, info->service);
	copy_name(u->failure_domain, info->failure_domain);
	memcpy(u->ip, info->ip, sizeof(u->ip));
	u->port = info->port;
	u->slots = info->slots;
	u->started = info->started;
	u->sequence = info->sequence;
	u->draining = info->draining && !MUTANT(fleet_ignore_draining);
	u->cold_until = now + info->cold_left;
	u->removed_at = CLK_NEVER;
	u->lost = false;
	u->evacuated = is_evacuated(f, u->failure_domain);
	u->in_full_read = true;
	if (is_new) {
		u->displaced_until = 0;
		u->notice = (struct notice){0};
		u->held_until = 0;
		u->leaving = false;
		u->invalid_notice_known = false;
		f->handlers.on_new(f->data, u);
	}
	return changed;
}

bool fleet_keep_newer(struct fleet *f, const struct fleet_info *info)
{
	struct fleet_upstream *u = fleet_find(f, fleet_num(info->id));
	bool older;

	if (!u || MUTANT(fleet_take_older))
		return false;
	if (info->started != u->started)
		older = info->started < u->started;
	else if (info->sequence != u->sequence)
		older = info->sequence < u->sequence;
	else
		older = u->removed_at != CLK_NEVER && (!u->lost || MUTANT(fleet_lost_has_left));
	u->in_full_read = u->in_full_read || older;
	return older;
}

void fleet_remove(struct fleet *f, struct str id, clk_ms at)
{
	struct fleet_upstream *u = fleet_find(f, fleet_num(id));

	if (!u)
		return;
	if (at < u->removed_at)
		u->removed_at = at;
	u->lost = false;
}

void fleet_begin_full_read(struct fleet *f)
{
	for (struct fleet_upstream *u = f->upstreams; u; u = u->hh.next)
		u->in_full_read = false;
}

void fleet_end_full_read(struct fleet *f, clk_ms at)
{
	for (struct fleet_upstream *u = f->upstreams; u; u = u->hh.next) {
		if (!u->in_full_read && u->removed_at == CLK_NEVER)
			u->removed_at = at;
	}
}

void fleet_end_restored_read(struct fleet *f, clk_ms now, clk_ms at)
{
	for (struct fleet_upstream *u = f->upstreams; u; u = u->hh.next) {
		bool again = u->lost && now < u->removed_at && !MUTANT(fleet_lose_once);

		if (u->in_full_read || (u->removed_at != CLK_NEVER && !again))
			continue;
		u->removed_at = at;
		u->lost = true;
		u->lost_due = at;
		u->lost_seen = 0;
	}
}

static clk_ms later(clk_ms a, clk_ms b)
{
	return a > b ? a : b;
}

bool fleet_await_lost(struct fleet *f, clk_ms now, clk_ms answered)
{
	bool found = false;

	for (struct fleet_upstream *u = f->upstreams; u; u = u->hh.next) {
		if (!u->lost || now >= u->removed_at || MUTANT(fleet_drop_unseen))
			continue;
		if (!u->lost_seen && answered >= u->lost_due)
			u->lost_seen = now;
		u->removed_at = u->lost_seen ? u->lost_seen + FLEET_ANSWER_KNOWN_MS
					     : later(u->lost_due, now + FLEET_LOST_STEP_MS);
		found = true;
	}
	return found;
}

void fleet_set_evacuated(struct fleet *f, const struct str *domains, size_t n)
{
	f->evacuated = realloc(f->evacuated, (n ? n : 1) * sizeof(*f->evacuated));
	if (!f->evacuated)
		abort();
	f->n_evacuated = n;
	for (size_t i = 0; i < n; i++)
		copy_name(f->evacuated[i].failure_domain, domains[i]);
	for (struct fleet_upstream *u = f->upstreams; u; u = u->hh.next) {
		bool now_evacuated = is_evacuated(f, u->failure_domain);

		if (now_evacuated != u->evacuated)
			log_info(&log, "upstream %s in %s is %s", u->id, u->failure_domain,
				 now_evacuated ? "evacuated" : "no longer evacuated");
		u->evacuated = now_evacuated;
	}
}

struct fleet_upstream *fleet_find(const struct fleet *f, uint64_t num)
{
	struct fleet_upstream *u;

	HASH_FIND(hh, f->upstreams, &num, sizeof(num), u);
	return u;
}

struct fleet_upstream *fleet_first(const struct fleet *f)
{
	return f->upstreams;
}

bool fleet_is_usable(const struct fleet_upstream *u, clk_ms now)
{
	return !u->draining && (!u->leaving || MUTANT(fleet_ignore_leaving)) && !u->evacuated &&
	       now < u->removed_at && (now >= u->displaced_until || MUTANT(fleet_ignore_displaced));
}

bool fleet_is_known(const struct fleet_upstream *u, clk_ms now)
{
	return now < u->removed_at || u->lost || u->draining || u->leaving || u->evacuated ||
	       u->displaced_until;
}

static bool set_leaving(struct fleet_upstream *u)
{
	if (u->leaving)
		return false;
	u->leaving = true;
	ctr_inc(&ctr_leaving);
	log_info(&log, "upstream %s of %s says that it leaves", u->id, u->service);
	return true;
}

static void log_limit(const struct fleet_upstream *u, const struct notice *n)
{
	if (n->limited && !u->notice.limited) {
		ctr_inc(&ctr_limited);
		log_info(&log, "upstream %s of %s takes %.2f requests a second from all gateways",
			 u->id, u->service, n->limit);
	} else if (!n->limited && u->notice.limited) {
		log_info(&log, "upstream %s of %s no longer limits its requests (%.2f a second)",
			 u->id, u->service, u->notice.limit);
	}
}

static void hold(struct fleet *f, struct fleet_upstream *u, clk_ms until)
{
	if (until > u->held_until)
		u->held_until = until;
	if (until > f->holds_until)
		f->holds_until = until;
}

bool fleet_note_notice(struct fleet *f, struct fleet_upstream *u, clk_ms now,
		       const struct notice *n, bool valid)
{
	if (!valid && !u->invalid_notice_known) {
		u->invalid_notice_known = true;
		log_warn(&log,
			 "upstream %s of %s says something invalid of its limit or of the "
			 "time for which it wants no requests; ignored",
			 u->id, u->service);
	}
	log_limit(u, n);
	if (n->retry_after) {
		ctr_inc(&ctr_turned_away);
		log_info(&log, "upstream %s of %s wants no requests for %lld ms", u->id, u->service,
			 (long long)n->retry_after);
	}
	if (n->retry_after)
		hold(f, u, now + n->retry_after);
	u->notice = *n;
	return n->leaving && set_leaving(u);
}

bool fleet_note_leaving(struct fleet *f, uint64_t num, int64_t started)
{
	struct fleet_upstream *u = fleet_find(f, num);

	return u && u->started == started && set_leaving(u);
}

void fleet_note_displaced(struct fleet_upstream *u, clk_ms now)
{
	u->displaced_until = now + DISPLACED_MS;
}

bool fleet_may_send(const struct fleet_upstream *u, clk_ms now)
{
	return fleet_is_usable(u, now) &&
	       (now >= u->held_until || MUTANT(fleet_ignore_retry_after));
}

bool fleet_has_holds(const struct fleet *f, clk_ms now)
{
	return now < f->holds_until && !MUTANT(fleet_ignore_retry_after);
}

void fleet_hold(struct fleet_upstream *u)
{
	u->users++;
}

static bool may_free(const struct fleet_upstream *u, clk_ms now)
{
	return !u->users && u->removed_at != CLK_NEVER &&
	       now > u->removed_at + REMOVED_RETENTION_MS;
}

void fleet_release(struct fleet *f, struct fleet_upstream *u, clk_ms now)
{
	u->users--;
	if (may_free(u, now))
		free_upstream(f, u);
}

bool fleet_tick(struct fleet *f, clk_ms now)
{
	struct fleet_upstream *u;
	struct fleet_upstream *tmp;
	bool changed = false;

	HASH_ITER (hh, f->upstreams, u, tmp) {
		bool usable = fleet_is_usable(u, now);

		changed = changed || usable != u->was_usable;
		u->was_usable = usable;
		if (may_free(u, now))
			free_upstream(f, u);
	}
	return changed;
}
