#include "process/broker.h"

#include <stdlib.h>

#include "process/broker_priv.h"

#define SERVICE_WINDOW 512 /* answers in the percentiles of the service */
/*
 * Retry-after time of a refusal because no owner or upstream is known. A lost or moving owner is
 * usually replaced within 2 s.
 */
#define RETRY_AFTER_FAULT_MS 500

const struct broker_options broker_defaults = {
	.keyed = false,
	.partitions = 256,
	.send_within = 200,
	.deadline_margin = 100,
	.cold_step = 20,
	.straggler_factor = 3,
	.retry_percent = 10,
	.max_queue = 10000,
	.hedging = true,
};

static const char *const refusal_names[] = {
	[BROKER_REFUSE_NONE] = "none",
	[BROKER_REFUSE_DEADLINE] = "deadline",
	[BROKER_REFUSE_QUEUE_FULL] = "queue-full",
	[BROKER_REFUSE_NO_UPSTREAM] = "no-upstream",
	[BROKER_REFUSE_NO_OWNER] = "no-owner",
	[BROKER_REFUSE_BUDGET] = "budget",
	[BROKER_REFUSE_REPEAT] = "repeat",
	[BROKER_REFUSE_QUARANTINED] = "quarantined",
	[BROKER_REFUSE_NOT_BROKER] = "not-broker",
	[BROKER_REFUSE_NO_CONFIG] = "no-config",
};

static const char *const outcome_names[] = {
	[BROKER_DONE_OK] = "ok",
	[BROKER_DONE_NOT_RUN] = "not-run",
	[BROKER_DONE_SHED] = "shed",
	[BROKER_DONE_CONNECT] = "connect",
	[BROKER_DONE_BROKE] = "broke",
	[BROKER_DONE_TIMEOUT] = "timeout",
	[BROKER_DONE_CANCELLED] = "cancelled",
	[BROKER_DONE_UNUSED] = "unused",
};

/* Reasons and outcomes arrive in frames of other nodes, so they may have any value. */
const char *broker_refusal_name(enum broker_refusal reason)
{
	size_t i = (size_t)reason;

	return i < sizeof(refusal_names) / sizeof(refusal_names[0]) ? refusal_names[i] : "invalid";
}

const char *broker_outcome_name(enum broker_outcome outcome)
{
	size_t i = (size_t)outcome;

	return i < sizeof(outcome_names) / sizeof(outcome_names[0]) ? outcome_names[i] : "invalid";
}

struct broker *broker_create(const struct broker_options *opts, uint64_t first_slot, uint64_t seed)
{
	struct broker *b = calloc(1, sizeof(*b));

	if (!b)
		abort();
	b->opts = *opts;
	rnd_seed(&b->rnd, seed);
	b->next_slot = first_slot ? first_slot : 1; /* 0 in `hedge_of` means no slot */
	b->next_expiry = CLK_NEVER;
	b->next_slot_expiry = CLK_NEVER;
	b->owners = calloc(opts->partitions ? opts->partitions : 1, sizeof(*b->owners));
	if (!b->owners)
		abort();
	window_init(&b->service_times, SERVICE_WINDOW);
	budget_init(b);
	return b;
}

void broker_destroy(struct broker *b)
{
	struct broker_decision refused;
	struct waiting *w;
	struct waiting *wtmp;
	struct slot *s;
	struct slot *stmp;
	struct upstream *u;
	struct upstream *utmp;
	struct hot_key *h;
	struct hot_key *htmp;

	if (!b)
		return;
	HASH_ITER (hh, b->waiting, w, wtmp)
		waiting_discard(b, w);
	HASH_ITER (hh, b->slots, s, stmp)
		slot_free(b, s);
	HASH_ITER (hh, b->upstreams, u, utmp) {
		u->present = false;
		upstream_free_unused(b, u);
	}
	HASH_ITER (hh, b->hot, h, htmp) {
		HASH_DEL(b->hot, h);
		free(h);
	}
	while (refusal_take(b, &refused))
		;
	free(b->owners);
	free(b);
}

static void request_enqueue(struct broker *b, clk_ms now, const struct broker_request *req)
{
	struct queue *q = owner_queue(b, req);
	const struct upstream *u = NULL;
	struct waiting *w;
	bool hot;
	clk_ms wait;

	if (!q) {
		refusal_add(b, req, BROKER_REFUSE_NO_OWNER, RETRY_AFTER_FAULT_MS);
		return;
	}
	if (!b->opts.keyed && !b->upstreams) {
		refusal_add(b, req, BROKER_REFUSE_NO_UPSTREAM, RETRY_AFTER_FAULT_MS);
		return;
	}
	if (q != &b->unkeyed && q != &b->ownerless)
		u = upstream_find(b, owner_lookup(b, req->partition, req->key_hash, &hot).upstream);
	wait = q == &b->ownerless ? 0 : upstream_wait(b, now, u, q->len);
	if (now + wait >= req->deadline) {
		refusal_add(b, req, BROKER_REFUSE_DEADLINE, wait);
		return;
	}
	if (HASH_COUNT(b->waiting) >= b->opts.max_queue) {
		refusal_add(b, req, BROKER_REFUSE_QUEUE_FULL, wait);
		return;
	}
	if (req->attempt > 0 && !budget_spend(b)) {
		refusal_add(b, req, BROKER_REFUSE_BUDGET, 0);
		return;
	}
	w = waiting_add(b, now, req, q);
	w->holds_token = req->attempt > 0;
}

void broker_request(struct broker *b, clk_ms now, const struct broker_request *req)
{
	/* An entry sends a slot request again when it cannot know whether the first one arrived. */
	if (waiting_find(b, req->node, req->id) && !MUTANT(broker_no_dedup))
		return;
	if (req->hedge_of)
		waiting_add(b, now, req, &b->hedges);
	else
		request_enqueue(b, now, req);
}

void broker_cancel(struct broker *b, clk_ms now, uint64_t node, uint64_t id)
{
	struct waiting *w = waiting_find(b, node, id);

	if (w && !MUTANT(broker_cancel_ignored))
		waiting_discard(b, w);
	refusal_discard(b, node, id);
}

void broker_finish_slot(struct broker *b, clk_ms now, uint64_t slot, enum broker_outcome outcome,
			clk_ms service_ms)
{
	struct slot *s = slot_find(b, slot);

	if (!s)
		return;
	upstream_record_outcome(b, now, s, outcome, service_ms);
	slot_free(b, s);
}

void broker_tick(struct broker *b, clk_ms now)
{
	slot_expire(b, now);
	waiting_expire(b, now);
}

static void grant(struct broker *b, clk_ms now, struct waiting *w, struct upstream *u,
		  struct broker_decision *out)
{
	struct slot *s = slot_grant(b, now, u, &w->ask);
	struct owner owner = {0};

	if (b->opts.keyed)
		owner = owner_lookup(b, w->ask.partition, w->ask.key_hash, &s->hot);
	s->hedge_after = hedge_delay(b, &w->ask);
	if (w->ask.attempt == 0 && !w->ask.hedge_of)
		budget_earn(b);
	*out = (struct broker_decision){
		.kind = BROKER_GRANT,
		.node = w->ask.node,
		.ask = w->ask.id,
		.slot = s->id,
		.upstream = u->num,
		.epoch = owner.epoch,
		.send_by = now + b->opts.send_within,
		.deadline = w->ask.deadline,
		.hedge_after = s->hedge_after,
	};
	if (out->send_by > w->ask.deadline)
		out->send_by = w->ask.deadline;
	w->holds_token = false; /* waiting_discard() must not return the token to the budget */
	waiting_discard(b, w);
}

static bool grant_next_unkeyed(struct broker *b, clk_ms now, struct broker_decision *out)
{
	struct waiting *w = b->unkeyed.head;
	struct upstream *u = w ? upstream_pick(b, now, NULL) : NULL;

	if (!u)
		return false;
	grant(b, now, w, u, out);
	return true;
}

static bool grant_next_keyed(struct broker *b, clk_ms now, struct broker_decision *out)
{
	struct upstream *u;

	for (u = b->upstreams; u; u = u->hh.next) {
		if (u->queue.len == 0 || upstream_available_slots(b, now, u) == 0)
			continue;
		grant(b, now, u->queue.head, u, out);
		return true;
	}
	return false;
}

/* Grants or refuses each hedge at once, from the slots that first calls and retries leave. */
static bool decide_next_hedge(struct broker *b, clk_ms now, struct broker_decision *out)
{
	while (b->hedges.head) {
		struct waiting *w = b->hedges.head;
		enum broker_refusal reason;
		struct upstream *u = hedge_pick(b, now, &w->ask, &reason);

		if (u) {
			grant(b, now, w, u, out);
			return true;
		}
		waiting_refuse(b, w, reason, 0);
	}
	return refusal_take(b, out);
}

bool broker_next_decision(struct broker *b, clk_ms now, struct broker_decision *out)
{
	broker_tick(b, now);
	return refusal_take(b, out) ||
	       (b->opts.keyed ? grant_next_keyed(b, now, out) : grant_next_unkeyed(b, now, out)) ||
	       decide_next_hedge(b, now, out);
}

size_t broker_queued(const struct broker *b)
{
	return HASH_COUNT(b->waiting);
}
