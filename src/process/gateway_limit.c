/*
 * Allowances of client accounts, which all gateways keep together: passes messages between the
 * gateways that spend tokens (shared/share.h) and the gateway that holds an account's limit
 * (shared/holder.h). The holder of a limit is the hub with the highest rendezvous weight for it,
 * over all regions.
 */
#include "process/gateway_priv.h"

#include <stdlib.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"
#include "base/rnd.h"
#include "shared/holder.h"

/* A request waits at most this long for an answer of the holder. */
#define WAIT_MAX_MS 500
/* An ask without an answer for this long counts as one to a gateway that does not answer. */
#define NO_ANSWER_MS 300
/* The holder has at least this share of the CPU time of the strongest hub. */
#define MIN_HOLDER_CPU_SHARE 0.5
/* Most hubs that are considered, and most asks in one frame. */
#define MAX_HOLDERS 128
#define MAX_ASKS 256
/* Amounts on the wire are in 1/100. */
#define WIRE_UNITS 100.0

static const struct log log = {"limits"};
CTR(ctr_asks, "limit_asks_total", "Asks for a part of an account's allowance that were sent.");
CTR(ctr_held, "limit_held_total", "Asks that this gateway answered as the holder of a limit.");
CTR(ctr_not_held, "limit_not_held_total", "Asks for a limit that another gateway holds.");
CTR(ctr_unanswered, "limit_unanswered_total", "Asks that the holder did not answer in time.");
CTR(ctr_waited, "limit_waited_total", "Requests that waited for a part of an allowance.");
CTR(ctr_wait_ended, "limit_wait_ended_total", "Requests refused since no holder answered in time.");

/* The allowance of one account at this gateway. */
struct account_limit {
	uint64_t id; /* topo_account.id */
	struct share share;
	uint64_t holder; /* that got the last ask, 0: none is known */
	bool due;	 /* in the round of asks that is under way */
	bool configured;
	uint32_t n_waiting;
	struct forward_waiter *first; /* waiting requests, oldest first */
	struct forward_waiter *last;
	UT_hash_handle hh;
};

struct gateway_limits {
	struct holder *holder;
	struct account_limit *limits;
	uint64_t holders[MAX_HOLDERS]; /* gateways that may hold a limit */
	size_t n_holders;
};

static void open_limits(struct gateway *g)
{
	g->limits = calloc(1, sizeof(*g->limits));
	if (!g->limits)
		abort();
	g->limits->holder = holder_create(&g->settings.limit_bound);
}

static void limit_free(struct gateway_limits *ls, struct account_limit *l)
{
	HASH_DEL(ls->limits, l);
	free(l);
}

void gateway_limits_close(struct gateway *g)
{
	struct account_limit *l;
	struct account_limit *tmp;

	if (!g->limits)
		return;
	HASH_ITER (hh, g->limits->limits, l, tmp)
		limit_free(g->limits, l);
	holder_destroy(g->limits->holder);
	free(g->limits);
	g->limits = NULL;
}

static struct account_limit *find_limit(const struct gateway *g, uint64_t id)
{
	struct account_limit *l = NULL;

	if (g->limits)
		HASH_FIND(hh, g->limits->limits, &id, sizeof(id), l);
	return l;
}

static uint32_t count_gateways(const struct gateway *g)
{
	uint32_t n = g->members_known ? (uint32_t)HASH_COUNT(g->members) : 0;

	return n ? n : GATEWAY_MAX_PEERS;
}

static struct account_limit *limit_of(struct gateway *g, const struct topo_account *account)
{
	const struct limit_size size = {account->rate, account->burst};
	struct account_limit *l = find_limit(g, account->id);

	if (l)
		return l;
	l = calloc(1, sizeof(*l));
	if (!l)
		abort();
	l->id = account->id;
	share_init(&l->share, &size, clk_now());
	l->share.gateways = count_gateways(g);
	HASH_ADD(hh, g->limits->limits, id, sizeof(l->id), l);
	return l;
}

/* ---- holders -------------------------------------------------------------------------------- */

/* Lists the hubs that may hold a limit, as this gateway sees them. */
static void list_holders(struct gateway *g, clk_ms now)
{
	struct gateway_limits *ls = g->limits;
	bool self = g->is_hub && !g->draining;
	uint32_t most = self ? g->settings.cpu_millis : 0;
	const struct gateway_peer *p;

	ls->n_holders = 0;
	for (p = g->peer_states; p; p = p->hh.next) {
		if (p->hub && !p->draining && p->cpu_millis > most)
			most = p->cpu_millis;
	}
	if (self && g->settings.cpu_millis >= most * MIN_HOLDER_CPU_SHARE)
		ls->holders[ls->n_holders++] = g->node;
	for (p = g->peer_states; p && ls->n_holders < MAX_HOLDERS; p = p->hh.next) {
		if (p->hub && !p->draining && now >= p->silent_until &&
		    p->cpu_millis >= most * MIN_HOLDER_CPU_SHARE && p->cpu_millis)
			ls->holders[ls->n_holders++] = p->node;
	}
}

/* Returns the holder of a limit, 0 if no gateway can be. */
static uint64_t holder_of(const struct gateway_limits *ls, uint64_t limit)
{
	uint64_t best = 0;

	for (size_t i = 0; i < ls->n_holders; i++) {
		if (!best || rnd_mix(limit, ls->holders[i]) > rnd_mix(limit, best))
			best = ls->holders[i];
	}
	return best;
}

static const struct topo_account *find_account(const struct gateway *g, uint64_t id)
{
	for (size_t i = 0; g->topo && i < g->topo->n_accounts; i++) {
		if (g->topo->accounts[i].id == id)
			return &g->topo->accounts[i];
	}
	return NULL;
}

/* Answers an ask as the holder; returns false if this gateway does not hold the limit. */
static bool answer_ask(struct gateway *g, uint64_t from, uint64_t limit,
		       const struct limit_ask *ask, struct limit_lease *out)
{
	const struct topo_account *account = find_account(g, limit);
	struct limit_size size;

	if (!g->limits)
		return false;
	if (holder_of(g->limits, limit) != g->node) {
		ctr_inc(&ctr_not_held);
		holder_drop(g->limits->holder, limit);
		return false;
	}
	if (!account || account->rate <= 0)
		return false;
	size = (struct limit_size){account->rate, account->burst};
	ctr_inc(&ctr_held);
	holder_ask(g->limits->holder, limit, &size, from, ask, clk_now(), out);
	return true;
}

/* ---- waiting requests ----------------------------------------------------------------------- */

static void unlink_waiter(struct account_limit *l, struct forward_waiter *w)
{
	if (w->prev)
		w->prev->next = w->next;
	else
		l->first = w->next;
	if (w->next)
		w->next->prev = w->prev;
	else
		l->last = w->prev;
	w->prev = NULL;
	w->next = NULL;
	w->limit = 0;
	l->n_waiting--;
}

static void add_waiter(struct account_limit *l, struct forward_waiter *w, clk_ms now)
{
	w->limit = l->id;
	w->since = now;
	w->prev = l->last;
	w->next = NULL;
	if (l->last)
		l->last->next = w;
	else
		l->first = w;
	l->last = w;
	l->n_waiting++;
}

static void refuse_waiter(struct account_limit *l, struct forward_waiter *w, clk_ms now)
{
	w->retry_after = share_retry_after(&l->share, now);
	unlink_waiter(l, w);
	w->cb(w->data, false);
}

/* Lets waiting requests go on as far as there are tokens. */
static void serve_waiting(struct account_limit *l, clk_ms now)
{
	while (l->first && share_take_waiting(&l->share, now)) {
		struct forward_waiter *w = l->first;

		unlink_waiter(l, w);
		w->cb(w->data, true);
	}
}

/* Returns a request that must not wait longer, NULL if there is none. */
static struct forward_waiter *find_expired(const struct account_limit *l, clk_ms now)
{
	struct forward_waiter *w = l->first;

	while (w && now - w->since < WAIT_MAX_MS &&
	       (now < w->deadline || MUTANT(limit_wait_past_deadline)))
		w = w->next;
	return w;
}

static void expire_waiting(struct account_limit *l, clk_ms now)
{
	struct forward_waiter *w;

	/* A refusal may end other requests, so the search restarts after each. */
	while ((w = find_expired(l, now)) != NULL) {
		ctr_inc(&ctr_wait_ended);
		refuse_waiter(l, w, now);
	}
}

/* ---- asks ----------------------------------------------------------------------------------- */

static void apply_lease(struct gateway *g, uint64_t limit, uint32_t ask,
			const struct limit_lease *lease)
{
	struct account_limit *l = find_limit(g, limit);
	clk_ms now = clk_now();

	if (!l || !share_on_lease(&l->share, now, ask, lease))
		return;
	serve_waiting(l, now);
	while (l->first && lease->scarce)
		refuse_waiter(l, l->first, now);
}

static uint32_t to_wire(double amount)
{
	return amount * WIRE_UNITS < UINT32_MAX ? (uint32_t)(amount * WIRE_UNITS) : UINT32_MAX;
}

/* Asks this gateway itself, as the holder. */
static void ask_self(struct gateway *g, struct account_limit *l, const struct limit_ask *ask)
{
	struct limit_lease lease;

	if (answer_ask(g, g->node, l->id, ask, &lease))
		apply_lease(g, l->id, l->share.ask, &lease);
	else
		share_ask_failed(&l->share, l->share.ask);
}

struct ask_frame {
	Bc__LimitUse uses[MAX_ASKS];
	Bc__LimitUse *list[MAX_ASKS];
	Bc__LimitAsk msg;
};

static void add_use(struct ask_frame *f, const struct account_limit *l, const struct limit_ask *ask)
{
	Bc__LimitUse *use = &f->uses[f->msg.n_uses];

	*use = (Bc__LimitUse)BC__LIMIT_USE__INIT;
	use->limit = l->id;
	use->ask = l->share.ask;
	use->tokens = to_wire(ask->tokens);
	use->demand = to_wire(ask->demand);
	use->fallback = to_wire(ask->fallback);
	use->need = to_wire(ask->need);
	use->held = to_wire(ask->held);
	f->list[f->msg.n_uses++] = use;
}

static void send_asks(struct gateway *g, uint64_t holder, struct ask_frame *f)
{
	Bc__Frame frame = BC__FRAME__INIT;

	if (!f->msg.n_uses)
		return;
	f->msg.uses = f->list;
	frame.body_case = BC__FRAME__BODY_LIMIT_ASK;
	frame.limit_ask = &f->msg;
	ctr_add(&ctr_asks, f->msg.n_uses);
	if (gateway_send(g, holder, &frame))
		return;
	for (size_t i = 0; i < f->msg.n_uses; i++) {
		struct account_limit *l = find_limit(g, f->uses[i].limit);

		if (l)
			share_ask_failed(&l->share, f->uses[i].ask);
	}
}

/* Sends one frame with the asks of all limits that are due and have this holder. */
static void ask_holder(struct gateway *g, uint64_t holder, clk_ms now)
{
	struct ask_frame f; /* not shared: an answer of this gateway may begin another ask */
	struct account_limit *l;

	f.msg = (Bc__LimitAsk)BC__LIMIT_ASK__INIT;
	for (l = g->limits->limits; l && f.msg.n_uses < MAX_ASKS; l = l->hh.next) {
		struct limit_ask ask;

		if (!l->due || l->holder != holder)
			continue;
		l->due = false;
		share_begin_ask(&l->share, now, l->n_waiting, &ask);
		if (holder == g->node)
			ask_self(g, l, &ask);
		else
			add_use(&f, l, &ask);
	}
	send_asks(g, holder, &f);
}

/* Notes a holder that did not answer the last ask; another one is chosen then. */
static void check_answer(struct gateway *g, struct account_limit *l, clk_ms now)
{
	if (!l->share.asking || now - l->share.asked < NO_ANSWER_MS)
		return;
	ctr_inc(&ctr_unanswered);
	share_ask_failed(&l->share, l->share.ask);
	if (l->holder && l->holder != g->node)
		gateway_note_no_answer(g, l->holder);
}

static void ask_now(struct gateway *g, struct account_limit *l, clk_ms now)
{
	if (!share_should_ask(&l->share, now, l->n_waiting > 0))
		return;
	l->holder = holder_of(g->limits, l->id);
	l->due = true;
	if (l->holder)
		ask_holder(g, l->holder, now);
}

static void forget_idle(struct gateway *g, clk_ms now)
{
	struct account_limit *l;
	struct account_limit *tmp;

	HASH_ITER (hh, g->limits->limits, l, tmp) {
		if (!l->first && !l->share.asking && !l->share.held &&
		    share_is_idle(&l->share, now) && now >= l->share.expires)
			limit_free(g->limits, l);
	}
}

/* Begins and ends to hold limits as the list of holders says. */
static void update_held(struct gateway *g, clk_ms now)
{
	for (size_t i = 0; g->is_hub && i < g->topo->n_accounts; i++) {
		const struct topo_account *a = &g->topo->accounts[i];
		const struct limit_size size = {a->rate, a->burst};

		if (a->rate > 0 && holder_of(g->limits, a->id) == g->node)
			holder_begin(g->limits->holder, a->id, &size, now);
		else
			holder_drop(g->limits->holder, a->id);
	}
}

void gateway_limits_tick(struct gateway *g, clk_ms now)
{
	struct gateway_limits *ls = g->limits;
	uint32_t gateways = count_gateways(g);
	uint32_t connected = (uint32_t)HASH_COUNT(g->peer_states) + 1;
	struct account_limit *l;

	if (!ls)
		return;
	list_holders(g, now);
	holder_set_gateways(ls->holder, gateways, connected < gateways ? gateways - connected : 0);
	holder_tick(ls->holder, now);
	update_held(g, now);
	for (l = ls->limits; l; l = l->hh.next) {
		l->share.gateways = gateways;
		check_answer(g, l, now);
		serve_waiting(l, now);
		expire_waiting(l, now);
		l->due = share_should_ask(&l->share, now, l->n_waiting > 0);
		l->holder = l->due ? holder_of(ls, l->id) : l->holder;
	}
	for (size_t i = 0; i < ls->n_holders; i++)
		ask_holder(g, ls->holders[i], now);
	forget_idle(g, now);
}

void gateway_limits_configure(struct gateway *g)
{
	struct account_limit *l;
	struct account_limit *tmp;
	clk_ms now = clk_now();

	if (!g->limits && !g->topo->n_accounts)
		return;
	if (!g->limits)
		open_limits(g);
	for (l = g->limits->limits; l; l = l->hh.next)
		l->configured = false;
	for (size_t i = 0; i < g->topo->n_accounts; i++) {
		const struct topo_account *a = &g->topo->accounts[i];
		const struct limit_size size = {a->rate, a->burst};

		holder_resize(g->limits->holder, a->id, &size, now);
		l = find_limit(g, a->id);
		if (!l || a->rate <= 0)
			continue;
		l->configured = true;
		log_info(&log, "allowance of %.*s: %.1f requests per second, burst %.0f",
			 STR_ARG(a->name), a->rate, a->burst);
		share_resize(&l->share, &size);
	}
	HASH_ITER (hh, g->limits->limits, l, tmp) {
		/* Requests that wait are checked against the new configuration afterwards. */
		while (!l->configured && l->first) {
			struct forward_waiter *w = l->first;

			unlink_waiter(l, w);
			w->cb(w->data, true);
		}
		if (!l->configured)
			limit_free(g->limits, l);
	}
}

/* ---- frames --------------------------------------------------------------------------------- */

static void on_ask(struct gateway *g, uint64_t from, const Bc__LimitAsk *msg)
{
	Bc__LimitLease leases[MAX_ASKS];
	Bc__LimitLease *list[MAX_ASKS];
	Bc__LimitGrant grant = BC__LIMIT_GRANT__INIT;
	Bc__Frame frame = BC__FRAME__INIT;

	for (size_t i = 0; i < msg->n_uses && i < MAX_ASKS; i++) {
		const Bc__LimitUse *use = msg->uses[i];
		const struct limit_ask ask = {
			.tokens = use->tokens / WIRE_UNITS,
			.demand = use->demand / WIRE_UNITS,
			.fallback = use->fallback / WIRE_UNITS,
			.need = use->need / WIRE_UNITS,
			.held = use->held / WIRE_UNITS,
		};
		struct limit_lease lease = {0};
		Bc__LimitLease *out = &leases[i];

		*out = (Bc__LimitLease)BC__LIMIT_LEASE__INIT;
		out->limit = use->limit;
		out->ask = use->ask;
		out->refused = !answer_ask(g, from, use->limit, &ask, &lease);
		out->tokens = to_wire(lease.tokens);
		out->fallback = to_wire(lease.fallback);
		out->scarce = lease.scarce;
		list[grant.n_leases++] = out;
	}
	grant.leases = list;
	frame.body_case = BC__FRAME__BODY_LIMIT_GRANT;
	frame.limit_grant = &grant;
	gateway_send(g, from, &frame);
}

static void on_grant(struct gateway *g, uint64_t from, const Bc__LimitGrant *msg)
{
	for (size_t i = 0; i < msg->n_leases; i++) {
		const Bc__LimitLease *m = msg->leases[i];
		struct account_limit *l = find_limit(g, m->limit);
		const struct limit_lease lease = {
			.tokens = m->tokens / WIRE_UNITS,
			.fallback = m->fallback / WIRE_UNITS,
			.scarce = m->scarce,
		};

		if (!l || l->holder != from)
			continue;
		if (m->refused) {
			share_ask_failed(&l->share, m->ask);
			continue;
		}
		apply_lease(g, m->limit, m->ask, &lease);
		l = find_limit(g, m->limit);
		/* Requests that came after the ask. Others ask again with the next round. */
		if (l && l->first && share_got_needed(&l->share))
			ask_now(g, l, clk_now());
	}
}

bool gateway_on_limit_frame(struct gateway *g, uint64_t from, const Bc__Frame *frame)
{
	if (frame->body_case == BC__FRAME__BODY_LIMIT_ASK)
		on_ask(g, from, frame->limit_ask);
	else if (frame->body_case == BC__FRAME__BODY_LIMIT_GRANT)
		on_grant(g, from, frame->limit_grant);
	else
		return false;
	return true;
}

void gateway_limits_node_down(struct gateway *g, uint64_t node, bool ended)
{
	struct account_limit *l;

	if (!g->limits)
		return;
	if (ended)
		holder_gateway_ended(g->limits->holder, node);
	for (l = g->limits->limits; l; l = l->hh.next) {
		if (l->holder == node)
			share_ask_failed(&l->share, l->share.ask);
	}
}

/* ---- requests ------------------------------------------------------------------------------- */

enum share_result gateway_take_allowance(void *gateway, const struct topo_account *account,
					 struct forward_waiter *w)
{
	struct gateway *g = gateway;
	struct account_limit *l = limit_of(g, account);
	clk_ms now = clk_now();
	enum share_result result = share_take(&l->share, now);

	if (result == SHARE_REFUSED)
		w->retry_after = share_retry_after(&l->share, now);
	if (result != SHARE_WAIT)
		return result;
	ctr_inc(&ctr_waited);
	add_waiter(l, w, now);
	/* The caller is told by the callback, also if the answer comes within this call. */
	ask_now(g, l, now);
	return SHARE_WAIT;
}

void gateway_cancel_allowance(void *gateway, struct forward_waiter *w)
{
	struct account_limit *l = w->limit ? find_limit(gateway, w->limit) : NULL;

	if (l)
		unlink_waiter(l, w);
}

void gateway_spend_allowance(void *gateway, const struct topo_account *account)
{
	struct account_limit *l = find_limit(gateway, account->id);

	if (l)
		share_spent(&l->share);
}

void gateway_return_allowance(void *gateway, const struct topo_account *account)
{
	struct account_limit *l = find_limit(gateway, account->id);

	if (l)
		share_return(&l->share, clk_now());
}

void gateway_charge_allowance(void *gateway, const struct topo_account *account)
{
	struct account_limit *l = find_limit(gateway, account->id);

	if (l)
		share_charge(&l->share, clk_now());
}
