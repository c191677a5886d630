/*
 * Upstreams that do not answer grants or releases. Their keys move to other upstreams, and health
 * checks show when they answer again. The checks are needed because the shard manager sends nothing
 * else to an upstream without keys.
 */
#include <stdio.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"
#include "process/shardmgr_priv.h"

/* An upstream that fails for this long loses its keys. */
#define MOVE_KEYS_AFTER_MS 700
/*
 * Pause between two health checks of an upstream. It doubles, up to the maximum, each time that the
 * upstream fails within RELAPSE_MS after it answered a check: if it gets keys and then fails, they
 * have no usable owner until its lease has expired.
 */
#define CHECK_PAUSE_MS 500
#define CHECK_PAUSE_MAX_MS 8000
#define RELAPSE_MS 10000
/* Twice the connect timeout of a grant (CONNECT_TIMEOUT_MS in shardmgr_lease.c). */
#define CHECK_TIMEOUT_MS 800

static const struct log log = {"keeper"};
CTR(ctr_failed, "key_calls_failed_total", "Grants and releases without a good answer.");
CTR(ctr_checks, "key_checks_total", "Checks whether a failing upstream answers again.");

bool shardmgr_holder_ok(const struct shardmgr *mgr, uint64_t num, clk_ms now)
{
	const struct key_holder *h = shardmgr_find_holder(mgr, num);

	return !h || !h->failing_since || now - h->failing_since < MOVE_KEYS_AFTER_MS;
}

void shardmgr_record_failure(struct key_holder *h, clk_ms now)
{
	bool relapsed = h->recovered_at && now - h->recovered_at < RELAPSE_MS;

	ctr_inc(&ctr_failed);
	if (h->failing_since)
		return;
	h->failing_since = now;
	h->check_pause = relapsed ? h->check_pause * 2 : CHECK_PAUSE_MS;
	if (h->check_pause > CHECK_PAUSE_MAX_MS)
		h->check_pause = CHECK_PAUSE_MAX_MS;
	h->check_due = now + MOVE_KEYS_AFTER_MS + h->check_pause;
}

static void on_check(void *data, const struct upconn_answer *a)
{
	struct key_holder *h = data;
	clk_ms now = clk_now();

	h->health_check = NULL;
	h->check_due = now + h->check_pause;
	if (!h->failing_since || a->result != UPCONN_OK || a->status != 200)
		return;
	log_info(&log, "upstream %016llx of %s answers again after %lld ms",
		 (unsigned long long)h->num, h->shardmgr->service,
		 (long long)(now - h->failing_since));
	h->failing_since = 0;
	h->recovered_at = now;
	shardmgr_fleet_changed(h->shardmgr);
}

static void health_check(struct key_holder *h, struct str path)
{
	snprintf(h->check_path, sizeof(h->check_path), "%.*s", STR_ARG(path));
	h->check_req = (struct upconn_request){
		.method = STR_LIT("GET"),
		.path = str_from(h->check_path),
		.timeout = CHECK_TIMEOUT_MS,
	};
	ctr_inc(&ctr_checks);
	h->health_check = upconn_send(h->releases, &h->check_req, on_check, h);
}

void shardmgr_check_failing(struct shardmgr *mgr, clk_ms now)
{
	struct str path = mgr->env.health_path(mgr->env.data, mgr->service);
	struct key_holder *h;
	struct key_holder *tmp;

	if (!path.len || MUTANT(keeper_leave_failing))
		return;
	HASH_ITER (hh, mgr->holders, h, tmp) {
		const struct fleet_upstream *u = fleet_find(mgr->env.fleet, h->num);

		if (!h->failing_since || h->health_check || now < h->check_due || !u ||
		    !fleet_is_usable(u, now))
			continue;
		if (u->started == h->started)
			health_check(h, path);
		else
			shardmgr_current_holder(mgr, h->num);
	}
}
