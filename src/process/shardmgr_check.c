/*
 * Health checks of the shard manager.
 *
 * Upstreams that do not answer grants or releases: their keys move to other upstreams, and checks
 * show when they answer again. They are needed because the shard manager sends nothing else to an
 * upstream without keys.
 *
 * Addresses that another upstream got: a grant or release names no upstream, so whoever listens at
 * the address carries it out. The answer to a check names the instance, and a connection leads to
 * the same process as long as it is open. Registrations alone do not show in time that an upstream
 * is gone, least of all while the store does not answer: its keys would be granted to an upstream
 * of another service.
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
/* Twice the connect timeout of a grant. */
#define CHECK_TIMEOUT_MS (2 * SHARDMGR_CONNECT_TIMEOUT_MS)
/* Pause after an answer to a check that did not name the upstream. */
#define ID_CHECK_PAUSE_MS 250

static const struct log log = {"keeper"};
CTR(ctr_failed, "key_calls_failed_total",
    "Grants, releases and checks of an id without a good answer.");
CTR(ctr_checks, "key_checks_total", "Checks whether a failing upstream answers again.");
CTR(ctr_id_checks, "key_id_checks_total",
    "Checks which upstream is at the other end of a new connection for grants.");
CTR(ctr_displaced, "key_holders_displaced_total",
    "Checks that another instance answered at the address of an upstream.");

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

/* Whether the answer to a check names the upstream; notes it if it names another instance. */
static bool names_upstream(struct key_holder *h, const struct upconn_answer *a, clk_ms now)
{
	struct shardmgr *mgr = h->shardmgr;
	struct fleet_upstream *u = fleet_find(mgr->env.fleet, h->num);
	struct str id = upconn_answer_header(a, mgr->env.platform->headers.instance);

	if (MUTANT(keeper_trust_address))
		return true;
	if (a->result != UPCONN_OK || !id.len || !u)
		return false;
	if (str_eq_cstr(id, u->id))
		return true;
	ctr_inc(&ctr_displaced);
	log_warn(&log, "instance %.*s answered at the address of upstream %s of %s", STR_ARG(id),
		 u->id, mgr->service);
	fleet_note_displaced(u, now);
	shardmgr_fleet_changed(mgr);
	return false;
}

static void on_check(void *data, const struct upconn_answer *a)
{
	struct key_holder *h = data;
	clk_ms now = clk_now();

	h->health_check = NULL;
	h->check_due = now + h->check_pause;
	if (!h->failing_since || !names_upstream(h, a, now) || a->status != 200)
		return;
	log_info(&log, "upstream %016llx of %s answers again after %lld ms",
		 (unsigned long long)h->num, h->shardmgr->service,
		 (long long)(now - h->failing_since));
	h->failing_since = 0;
	h->recovered_at = now;
	shardmgr_fleet_changed(h->shardmgr);
}

static void on_id_check(void *data, const struct upconn_answer *a)
{
	struct key_holder *h = data;
	clk_ms now = clk_now();

	h->id_check = NULL;
	if (names_upstream(h, a, now)) {
		shardmgr_note_identified(h, h->id_check_sent);
		shardmgr_schedule_tick(h->shardmgr);
		return;
	}
	h->identified_at = 0;
	log_warn(&log, "upstream %016llx of %s did not name its id: %s, status %d",
		 (unsigned long long)h->num, h->shardmgr->service, upconn_result_name(a->result),
		 a->status);
	upconn_pool_discard_conns(h->grants);
	shardmgr_record_failure(h, now);
	h->id_check_due = now + ID_CHECK_PAUSE_MS;
}

/* Prepares a check, whose path stays in the holder. */
static struct upconn_request check_request(struct key_holder *h, struct str path)
{
	snprintf(h->check_path, sizeof(h->check_path), "%.*s", STR_ARG(path));
	return (struct upconn_request){
		.method = STR_LIT("GET"),
		.path = str_from(h->check_path),
		.timeout = CHECK_TIMEOUT_MS,
	};
}

static void health_check(struct key_holder *h, struct str path)
{
	h->check_req = check_request(h, path);
	ctr_inc(&ctr_checks);
	h->health_check = upconn_send(h->releases, &h->check_req, on_check, h);
}

void shardmgr_note_identified(struct key_holder *h, clk_ms sent)
{
	h->identified_conn = upconn_idle_conn(h->grants);
	h->identified_at = sent;
}

/* Whether a new connection leads to the upstream: nobody else can have its address yet. */
static bool may_connect(const struct key_holder *h, clk_ms now)
{
	return h->identified_at && now + SHARDMGR_CONNECT_TIMEOUT_MS <
					   h->identified_at + h->shardmgr->env.address_reuse;
}

bool shardmgr_is_identified(struct key_holder *h, clk_ms now)
{
	const struct shardmgr *mgr = h->shardmgr;
	struct str path = mgr->env.health_path(mgr->env.data, mgr->service);
	uint64_t conn = upconn_idle_conn(h->grants);

	/* A service without health checks cannot be asked. */
	if (!path.len || (conn && conn == h->identified_conn) || may_connect(h, now) ||
	    MUTANT(keeper_trust_address))
		return true;
	if (h->id_check || h->grant_open || now < h->id_check_due)
		return false;
	h->id_check_req = check_request(h, path);
	h->id_check_sent = now;
	ctr_inc(&ctr_id_checks);
	h->id_check = upconn_send(h->grants, &h->id_check_req, on_id_check, h);
	return false;
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
