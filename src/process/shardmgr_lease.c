/*
 * Key leases of the upstreams: sends grants, renewals and releases to upstreams, and moves each
 * range from its former owner to its owner without a time at which both may have the keys.
 */
#include "process/shardmgr_priv.h"

#include <stdlib.h>
#include <string.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"

/*
 * Length of a key lease. It must outlast the replacement of a shard manager, during which nobody
 * renews leases, and be short enough for the keys of a lost owner, which are unavailable until its
 * lease expires.
 */
#define LEASE_MS 4000
/* A lease is renewed after this share of its length; two more attempts fit into the rest. */
#define RENEW_SHARE 0.4
/*
 * The shard manager takes a lease as ended only after its length plus this share and this time: an
 * upstream's clock may run 2 % slower than its own, and the rest is a reserve.
 */
#define MAX_CLOCK_DRIFT 0.025
#define LEASE_MARGIN_MS 100
#define GRANT_TIMEOUT_MS 600
/* Answers to grants, releases and health checks have few headers and hardly any body. */
#define MAX_ANSWER_BYTES (16u * 1024)
/* An upstream answers a release after the requests that use the keys have ended. */
#define RELEASE_TIMEOUT_MS 2500
/* Pause after a failed grant or release. */
#define RETRY_PAUSE_MS 250
/*
 * The map shows a range without an owner for this long before the release is sent to the former
 * owner, which would otherwise refuse requests from gateways that have the older map. Covers
 * MAP_BATCH_MS (gateway_key.c) and one message between regions.
 */
#define MAP_PROPAGATION_MS 60

static const struct log log = {"keeper"};
CTR(ctr_grants, "key_grants_total", "Grants and renewals of keys sent to upstreams.");
CTR(ctr_releases, "key_releases_total", "Releases of keys sent to upstreams.");

clk_ms shardmgr_lease_time(const struct shardmgr *mgr)
{
	return LEASE_MS < mgr->env.hold_max ? LEASE_MS : mgr->env.hold_max;
}

clk_ms shardmgr_lease_end(const struct shardmgr *mgr, clk_ms arrived)
{
	return arrived + (clk_ms)(shardmgr_lease_time(mgr) * (1.0 + MAX_CLOCK_DRIFT)) +
	       LEASE_MARGIN_MS;
}

/* ---- upstreams ------------------------------------------------------------------------------ */

struct key_holder *shardmgr_find_holder(const struct shardmgr *mgr, uint64_t num)
{
	struct key_holder *h;

	HASH_FIND(hh, mgr->holders, &num, sizeof(num), h);
	return h;
}

static void call_free(struct key_call *c)
{
	arena_free(&c->arena);
	free(c);
}

/* Removes the call from the list of open calls. */
static void call_unlink(struct key_call *c)
{
	if (c->prev)
		c->prev->next = c->next;
	else
		c->shardmgr->calls = c->next;
	if (c->next)
		c->next->prev = c->prev;
}

/* Cancels and frees a call that was removed from the list of open calls. */
static void call_cancel(struct key_call *c)
{
	if (c->range)
		c->range->call = NULL;
	if (c->open)
		upconn_cancel(c->open);
	call_free(c);
}

/* Makes a lease end later; one that a former shard manager may renew has no known end. */
static void extend_lease(clk_ms *end, clk_ms to)
{
	if (*end < to)
		*end = to;
}

/* The upstream accepted a grant of this shard manager, and refuses those of a former one. */
static void bound_lease(clk_ms *end, clk_ms to)
{
	if (*end == SHARDMGR_LEASE_UNBOUNDED)
		*end = to;
}

/* Records a grant without an answer: the owner may carry it out until its lease would end. */
static void record_unanswered_grant(const struct shardmgr *mgr, struct key_range *r, uint64_t fence,
				    clk_ms now)
{
	extend_lease(&r->unanswered_until, shardmgr_lease_end(mgr, now));
	r->unanswered_fence = fence;
}

static void holder_free(struct shardmgr *mgr, struct key_holder *h)
{
	struct key_call *next;

	for (struct key_call *c = mgr->calls; c; c = next) {
		next = c->next;
		if (c->holder != h->num)
			continue;
		if (c->range && !c->release)
			record_unanswered_grant(mgr, c->range, c->fence, clk_now());
		call_unlink(c);
		call_cancel(c);
	}
	HASH_DEL(mgr->holders, h);
	upconn_pool_destroy(h->grants);
	upconn_pool_destroy(h->releases);
	free(h);
}

/* Returns the connections to an upstream, opened if needed; NULL if the upstream is unknown. */
static struct key_holder *holder_get_or_create(struct shardmgr *mgr, uint64_t num)
{
	struct key_holder *h = shardmgr_find_holder(mgr, num);
	const struct fleet_upstream *u = fleet_find(mgr->env.fleet, num);
	struct upconn_options opts = {
		.max_idle = 1,
		.connect_timeout = SHARDMGR_CONNECT_TIMEOUT_MS,
		.dead_peer_timeout = 2000,
		.max_answer = MAX_ANSWER_BYTES,
		.memory = mgr->env.answers,
		/* A grant that a network partition delays must not arrive after its timeout. */
		.abort_on_close = true,
	};

	if (h || !u)
		return h;
	h = calloc(1, sizeof(*h));
	if (!h)
		abort();
	h->num = num;
	h->shardmgr = mgr;
	h->started = u->started;
	h->grants = upconn_pool_create_with(mgr->env.loop, u->ip, u->port, &opts);
	opts.max_idle = 0;
	h->releases = upconn_pool_create_with(mgr->env.loop, u->ip, u->port, &opts);
	HASH_ADD(hh, mgr->holders, num, sizeof(h->num), h);
	return h;
}

struct key_holder *shardmgr_current_holder(struct shardmgr *mgr, uint64_t num)
{
	const struct fleet_upstream *u = fleet_find(mgr->env.fleet, num);
	struct key_holder *h = holder_get_or_create(mgr, num);

	if (!h || !u || u->started == h->started)
		return h;
	log_info(&log, "upstream %016llx was restarted", (unsigned long long)num);
	holder_free(mgr, h);
	return holder_get_or_create(mgr, num);
}

/*
 * Whether a mutant treats the upstream's lease as ended. The real code never does so before the
 * lease expires, because neither sign is a proof. A refused or reset connection is none: an
 * upstream resets connections above its limit, and the limit shrinks while its queue is long. The
 * registration of a new process under the upstream's id is none either: the new process may have
 * been granted the keys before its registration arrived.
 */
static bool holder_assumed_dead(const struct key_holder *h, const struct fleet_upstream *u)
{
	return (MUTANT(keeper_refused_is_dead) && h && h->failing_since) ||
	       (MUTANT(keeper_restart_is_release) && h && u && u->started != h->started);
}

/* ---- calls ---------------------------------------------------------------------------------- */

void shardmgr_range_detach_call(struct key_range *r)
{
	if (r->call)
		r->call->range = NULL;
	r->call = NULL;
}

/* Handles a grant or renewal that the owner accepted. */
static void on_granted(struct shardmgr *mgr, struct key_range *r, const struct key_call *c,
		       clk_ms now)
{
	bool first_grant = r->phase != KEY_LEASED;

	/* From now on the owner refuses unanswered grants under a lower fencing token. */
	if (c->fence > r->unanswered_fence)
		r->unanswered_until = 0;
	bound_lease(&r->owner_lease_end, shardmgr_lease_end(mgr, now));
	r->next_call = c->sent + (clk_ms)(shardmgr_lease_time(mgr) * RENEW_SHARE);
	if (!first_grant)
		return;
	r->phase = KEY_LEASED;
	r->serving = r->owner;
	r->granted_fence = c->fence;
	r->granted_conn = c->conn;
	r->owner_may_hold = false;
	r->former = 0;
	r->handover[0] = '\0';
	log_info(&log,
		 "keys %u-%u of %s granted to upstream %016llx, fence %llu, term %llu, %lld ms",
		 r->from, r->to, mgr->service, (unsigned long long)r->owner,
		 (unsigned long long)r->fence, (unsigned long long)mgr->term,
		 (long long)(now - r->moved_at));
	shardmgr_schedule_publish(mgr);
}

/*
 * Handles the answer to a grant that was sent to the former owner: either the higher fencing token
 * before a release, or a renewal. After the last unanswered attempt with a higher token the lease
 * has to expire.
 */
static void on_higher_fence_answer(const struct shardmgr *mgr, struct key_range *r,
				   const struct key_call *c, const struct upconn_answer *a,
				   clk_ms now)
{
	bool answered = a->result == UPCONN_OK && (a->status == 200 || a->status == 409);

	r->next_call = 0;
	if (c->fence == r->granted_fence) {
		/*
		 * The call was a renewal, sent because the store does not have the move yet.
		 * Without an answer it may be carried out late, which only a higher token prevents.
		 */
		r->next_call = now + (answered ? (clk_ms)(shardmgr_lease_time(mgr) * RENEW_SHARE)
					       : RETRY_PAUSE_MS);
		if (!answered && a->sent)
			r->higher_fence_attempts = SHARDMGR_HIGHER_FENCE_ATTEMPTS;
		return;
	}
	if (a->result == UPCONN_OK && a->status == 200)
		bound_lease(&r->former_lease_end, shardmgr_lease_end(mgr, now));
	if (answered) {
		r->higher_fence_attempts = 0;
		return;
	}
	log_warn(&log, "keys %u-%u of %s: no answer to fence %llu from %016llx, %u attempts left",
		 r->from, r->to, mgr->service, (unsigned long long)c->fence,
		 (unsigned long long)c->holder, r->higher_fence_attempts - 1);
	r->higher_fence_attempts--;
	r->next_call = now + RETRY_PAUSE_MS;
	if (!r->higher_fence_attempts)
		r->await_expiry = true;
}

static void on_grant_answer(struct shardmgr *mgr, struct key_call *c, const struct upconn_answer *a)
{
	struct key_holder *h = shardmgr_find_holder(mgr, c->holder);
	struct key_range *r = c->range;
	clk_ms now = clk_now();

	if (h)
		h->grant_open = false;
	if (h && a->result == UPCONN_OK && (a->status == 200 || a->status == 409))
		shardmgr_note_identified(h, c->sent);
	if (r)
		r->call = NULL;
	if (r && r->phase == KEY_RELEASING) {
		on_higher_fence_answer(mgr, r, c, a, now);
		return;
	}
	if (a->result == UPCONN_NOT_SENT && r) {
		/* The connection had ended; grant_step() sends a new token over the next one. */
		r->next_call = 0;
		return;
	}
	if (a->result != UPCONN_OK || (a->status != 200 && a->status != 409)) {
		log_warn(&log, "grant of keys of %s to %016llx failed: %s, status %d", mgr->service,
			 (unsigned long long)c->holder, upconn_result_name(a->result), a->status);
		if (h)
			shardmgr_record_failure(h, now);
		if (!r)
			return;
		if (a->sent)
			record_unanswered_grant(mgr, r, c->fence, now);
		r->next_call = now + RETRY_PAUSE_MS;
		return;
	}
	if (h)
		h->failing_since = 0;
	if (!r)
		return;
	if (a->status == 409) {
		log_warn(&log, "upstream %016llx has seen a fence above %llu on keys %u-%u of %s",
			 (unsigned long long)c->holder, (unsigned long long)c->fence, r->from,
			 r->to, mgr->service);
		/* The upstream has seen tokens that are not known here: skip well past them. */
		mgr->fence += 1000;
		shardmgr_assign_new_fence(mgr, r);
		return;
	}
	on_granted(mgr, r, c, now);
}

/* The former owner has no lease any more: the second former owner or the owner is next. */
static void finish_release(struct shardmgr *mgr, struct key_range *r, struct str handover,
			   const char *reason)
{
	log_info(&log, "keys %u-%u of %s taken from upstream %016llx: %s, fence %llu", r->from,
		 r->to, mgr->service, (unsigned long long)r->former, reason,
		 (unsigned long long)r->fence);
	if (handover.len < sizeof(r->handover)) {
		memcpy(r->handover, handover.ptr ? handover.ptr : "", handover.len);
		r->handover[handover.len] = '\0';
	}
	shardmgr_range_detach_call(r);
	if (r->second_former) {
		r->former = r->second_former;
		r->former_lease_end = r->second_former_lease_end;
		r->second_former = 0;
		r->handover[0] = '\0';
		r->next_call = 0;
		return;
	}
	r->phase = KEY_GRANTING;
	r->former = 0;
	r->higher_fence_attempts = 0;
	r->await_expiry = false;
	r->unanswered_until = 0;
	r->next_call = 0;
}

static void on_release_answer(struct shardmgr *mgr, struct key_call *c,
			      const struct upconn_answer *a)
{
	struct key_holder *h = shardmgr_find_holder(mgr, c->holder);
	struct key_range *r = c->range;
	clk_ms now = clk_now();

	if (r)
		r->call = NULL;
	if (a->result != UPCONN_OK || a->status != 200) {
		log_warn(&log, "release of keys of %s by %016llx failed: %s, status %d",
			 mgr->service, (unsigned long long)c->holder, upconn_result_name(a->result),
			 a->status);
		if (h && a->result != UPCONN_TIMEOUT)
			shardmgr_record_failure(h, now);
		if (r)
			r->next_call = now + RETRY_PAUSE_MS;
		return;
	}
	if (r && r->phase == KEY_RELEASING && r->await_expiry) {
		/* The former owner answers again: send it the higher fencing token after all. */
		r->await_expiry = false;
		r->higher_fence_attempts = SHARDMGR_HIGHER_FENCE_ATTEMPTS;
		r->next_call = 0;
	} else if (r && r->phase == KEY_RELEASING) {
		finish_release(mgr, r, upconn_answer_header(a, mgr->env.platform->headers.handover),
			       "released");
	}
}

static void on_answer(void *data, const struct upconn_answer *a)
{
	struct key_call *c = data;
	struct shardmgr *mgr = c->shardmgr;

	c->open = NULL;
	if (c->release)
		on_release_answer(mgr, c, a);
	else
		on_grant_answer(mgr, c, a);
	call_unlink(c);
	call_free(c);
	if (mgr->state == SHARDMGR_ACTIVE)
		shardmgr_schedule_tick(mgr);
}

/* Returns the connection over which the fencing token was sent before, 0 if it was not sent. */
static uint64_t conn_of_fence(const struct key_range *r, uint64_t fence)
{
	if (MUTANT(keeper_keep_fence))
		return 0;
	if (r->phase != KEY_RELEASING)
		return r->fence_conn;
	return fence == r->granted_fence ? r->granted_conn : 0;
}

/* Sends a grant (or renewal) or a release of the range under a fencing token. */
static void send_call(struct shardmgr *mgr, struct key_range *r, struct key_holder *h, bool release,
		      uint64_t fence, clk_ms now)
{
	static const struct upconn_header json_type[] = {
		{{"content-type", 12}, {"application/json", 16}},
	};
	struct key_call *c = calloc(1, sizeof(*c));
	struct platform_grant grant = {
		.from = r->from,
		.to = r->to,
		.fence = fence,
		.hold = release ? 0 : shardmgr_lease_time(mgr),
		.handover = str_from(r->handover),
	};

	if (!c)
		abort();
	c->shardmgr = mgr;
	c->range = r;
	c->holder = h->num;
	c->release = release;
	c->fence = fence;
	c->sent = now;
	c->req = (struct upconn_request){
		.method = STR_LIT("POST"),
		.path = str_from(release ? mgr->env.platform->release_path
					 : mgr->env.platform->grant_path),
		.headers = json_type,
		.n_headers = 1,
		.body = mgr->env.platform->grant_body(&c->arena, &grant),
		.required_conn = release ? 0 : conn_of_fence(r, fence),
		.timeout = release ? RELEASE_TIMEOUT_MS : GRANT_TIMEOUT_MS,
	};
	c->next = mgr->calls;
	if (c->next)
		c->next->prev = c;
	mgr->calls = c;
	r->call = c;
	if (!release) {
		h->grant_open = true;
		/* Without an answer, the grant may arrive as late as the call times out. */
		extend_lease(r->phase == KEY_RELEASING ? &r->former_lease_end : &r->owner_lease_end,
			     shardmgr_lease_end(mgr, now + GRANT_TIMEOUT_MS));
	}
	ctr_inc(release ? &ctr_releases : &ctr_grants);
	/*
	 * Each release has its own connection, so that a duplicate answer to an earlier call cannot
	 * be taken for its answer.
	 */
	c->open = upconn_send(release ? h->releases : h->grants, &c->req, on_answer, c);
	c->conn = upconn_call_conn(c->open);
	if (!release && fence == r->fence)
		r->fence_conn = c->conn;
}

/* ---- progress of ranges --------------------------------------------------------------------- */

/*
 * Sends the former owner a grant under the token below the range's, so that it refuses delayed
 * grants under lower tokens after the release. Each attempt has a token of its own.
 */
static void send_higher_fence(struct shardmgr *mgr, struct key_range *r, struct key_holder *h,
			      clk_ms now)
{
	if (h->grant_open || !shardmgr_is_identified(h, now))
		return;
	if (r->higher_fence_sent) {
		r->higher_fence_sent = false;
		shardmgr_advance_fence(mgr, r, 2);
		if (r->serial > mgr->committed_serial)
			return;
	}
	r->higher_fence_sent = true;
	send_call(mgr, r, h, false, r->fence - 1, now);
}

/* Advances a range in KEY_RELEASING: waits for the release or the end of the former lease. */
static void release_step(struct shardmgr *mgr, struct key_range *r, clk_ms now)
{
	struct key_holder *h;

	if (r->serving) {
		r->serving = 0;
		r->next_call = now + MAP_PROPAGATION_MS;
		shardmgr_schedule_publish(mgr);
	}
	h = shardmgr_find_holder(mgr, r->former);
	if (holder_assumed_dead(h, fleet_find(mgr->env.fleet, r->former))) {
		finish_release(mgr, r, STR_NULL, "mutant");
		return;
	}
	if (now >= r->former_lease_end) {
		finish_release(mgr, r, STR_NULL, "its lease has run out");
		return;
	}
	if (MUTANT(keeper_skip_release)) {
		finish_release(mgr, r, STR_NULL, "mutant");
		return;
	}
	h = shardmgr_current_holder(mgr, r->former);
	if (r->call || !h || now < r->next_call)
		return;
	if (r->higher_fence_attempts) {
		send_higher_fence(mgr, r, h, now);
		return;
	}
	if (shardmgr_is_identified(h, now))
		send_call(mgr, r, h, true, r->fence, now);
}

/* Whether the owner may be sent grants of the range; a successor knows only the stored map. */
static bool may_grant(const struct shardmgr *mgr, const struct key_range *r)
{
	return (r->phase == KEY_GRANTING || r->phase == KEY_LEASED) && !mgr->view_term &&
	       (r->serial <= mgr->committed_serial || MUTANT(keeper_act_early));
}

/*
 * Finds the range of each upstream that is due first. Grants of an upstream are sent one after the
 * other: in any other order, renewals could keep ranges from their first grant for good.
 */
static void find_due_first(struct shardmgr *mgr, clk_ms now)
{
	struct key_holder *h;
	struct key_holder *tmp;

	HASH_ITER (hh, mgr->holders, h, tmp)
		h->due_first = NULL;
	for (struct key_range *r = mgr->ranges; r; r = r->next) {
		if (!may_grant(mgr, r) || r->call || now < r->next_call)
			continue;
		h = shardmgr_find_holder(mgr, r->owner);
		if (h && (!h->due_first || r->next_call < h->due_first->next_call))
			h->due_first = r;
	}
}

/* Sends a grant or renewal to the owner if one is due. */
static void grant_step(struct shardmgr *mgr, struct key_range *r, clk_ms now)
{
	struct key_holder *h = shardmgr_current_holder(mgr, r->owner);

	if (r->call || now < r->next_call || !h || h->grant_open ||
	    (h->due_first && h->due_first != r && !MUTANT(keeper_grant_by_key)))
		return;
	if (!shardmgr_is_identified(h, now))
		return;
	if (r->fence_conn && r->fence_conn != upconn_idle_conn(h->grants) &&
	    !MUTANT(keeper_keep_fence)) {
		log_info(&log,
			 "keys %u-%u of %s: the connection to upstream %016llx that carried fence "
			 "%llu ended; using fence %llu",
			 r->from, r->to, mgr->service, (unsigned long long)r->owner,
			 (unsigned long long)r->fence, (unsigned long long)mgr->fence + 1);
		shardmgr_assign_new_fence(mgr, r);
		if (r->serial > mgr->committed_serial)
			return;
	}
	send_call(mgr, r, h, false, r->fence, now);
}

void shardmgr_lease_committed(struct shardmgr *mgr)
{
	for (struct key_range *r = mgr->ranges; r; r = r->next) {
		if (r->phase == KEY_RELEASING && r->serial <= mgr->committed_serial)
			r->next_call = 0;
	}
}

/* Renews the former owner's lease while the store does not have the move yet. */
static void renew_former_step(struct shardmgr *mgr, struct key_range *r, clk_ms now)
{
	struct key_holder *h = holder_get_or_create(mgr, r->former);

	if (r->call || now < r->next_call || !h || h->grant_open || !r->granted_conn ||
	    r->granted_conn != upconn_idle_conn(h->grants))
		return;
	send_call(mgr, r, h, false, r->granted_fence, now);
}

void shardmgr_lease_tick(struct shardmgr *mgr, clk_ms now)
{
	shardmgr_check_failing(mgr, now);
	find_due_first(mgr, now);
	for (struct key_range *r = mgr->ranges; r; r = r->next) {
		/* A successor knows only the stored map: an unstored change must wait. */
		if (r->serial > mgr->committed_serial && !MUTANT(keeper_act_early)) {
			if (r->phase == KEY_RELEASING && r->serving)
				renew_former_step(mgr, r, now);
			continue;
		}
		/* A former shard manager that still acts would renew what is released here. */
		if (r->phase == KEY_RELEASING && mgr->settled)
			release_step(mgr, r, now);
		if (may_grant(mgr, r))
			grant_step(mgr, r, now);
	}
}

void shardmgr_lease_clear(struct shardmgr *mgr)
{
	struct key_holder *h;
	struct key_holder *tmp;
	struct key_call *c;

	while ((c = mgr->calls) != NULL) {
		mgr->calls = c->next;
		call_cancel(c);
	}
	HASH_ITER (hh, mgr->holders, h, tmp)
		holder_free(mgr, h);
}
