#include "process/mover_priv.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/ctr.h"
#include "base/mutant.h"
#include "process/lead.h"
#include "process/probe.h"
#include "version/config.h"

CTR(ctr_moves, "owner_changes_total", "Partitions and split-off keys that got a new owner");
CTR(ctr_aborted, "owner_changes_aborted_total", "Moves given up before they were written");

#define STORE_READ_EVERY_MS 1000
/* A move that only balances load is aborted if the former owner is still busy after this time. */
#define VOLUNTARY_DRAIN_MS 1000

/* ---- units ---------------------------------------------------------------------------------- */

static struct hot_unit *find_hot(const struct mover *m, uint64_t key_hash)
{
	for (struct hot_unit *h = m->hot; h; h = h->next) {
		if (h->key_hash == key_hash)
			return h;
	}
	return NULL;
}

static bool is_hot_move(const struct assign_move *m)
{
	return m->unit != ASSIGN_PARTITION;
}

static struct unit *move_unit(struct mover *m, const struct assign_move *mv)
{
	struct hot_unit *h;

	if (!is_hot_move(mv))
		return mv->partition < m->n_partitions ? &m->partition_units[mv->partition] : NULL;
	h = find_hot(m, mv->key_hash);
	if (!h) {
		h = calloc(1, sizeof(*h));
		h->key_hash = mv->key_hash;
		h->partition = mv->partition;
		h->next = m->hot;
		m->hot = h;
	}
	return &h->unit;
}

static void remove_hot(struct mover *m, uint64_t key_hash)
{
	for (struct hot_unit **p = &m->hot; *p; p = &(*p)->next) {
		struct hot_unit *h = *p;

		if (h->key_hash != key_hash)
			continue;
		*p = h->next;
		free(h);
		return;
	}
}

static void set_broker_owner(struct mover *m, clk_ms now, const struct assign_move *mv,
			     uint32_t upstream, uint64_t epoch)
{
	if (is_hot_move(mv))
		broker_set_hot_owner(m->svc->broker, now, mv->key_hash, upstream, epoch);
	else
		broker_set_owner(m->svc->broker, now, mv->partition, upstream, epoch);
}

static void unlink_move(struct mover *m, struct move *mv)
{
	struct unit *u = move_unit(m, &mv->m);
	struct move **p = &m->moves;

	while (*p != mv)
		p = &(*p)->next;
	*p = mv->next;
	if (u)
		u->move = NULL;
	free(mv);
}

struct move *mover_start_move(struct mover *m, clk_ms now, const struct assign_move *am,
			      enum move_phase phase, uint64_t epoch)
{
	struct unit *u = move_unit(m, am);
	struct move **end = &m->moves;
	struct move *mv;

	if (!u || u->move)
		return NULL;
	mv = calloc(1, sizeof(*mv));
	mv->m = *am;
	mv->phase = phase;
	mv->since = now;
	mv->epoch = epoch;
	mv->written = phase != MOVE_DRAIN;
	mv->serial = ++m->serial;
	/* assign_plan() requires that its moves are applied in their order. */
	while (*end)
		end = &(*end)->next;
	*end = mv;
	u->move = mv;
	if (!MUTANT(mover_serves_while_moving))
		set_broker_owner(m, now, am, 0, 0);
	return mv;
}

/* ---- events --------------------------------------------------------------------------------- */

static void emit_event(struct mover *m, const char *kind, const struct move *mv, const char *cause)
{
	struct event ev = {.module = "assign", .kind = kind, .cause = str_from(cause)};

	ev.service = str_from(m->svc->name);
	ev.has_partition = true;
	ev.partition = mv->m.partition;
	ev.upstream = str_from(node_upstream_id(m->svc->node, mv->m.to));
	ev.number = mv->epoch;
	ev.version = m->doc ? m->doc->version : 0;
	event_emit(m->svc->node->events, &ev);
}

/* ---- drain ---------------------------------------------------------------------------------- */

/* Whether the process of the upstream is known to have ended. */
static bool process_has_ended(const struct svc_upstream *u, clk_ms now)
{
	return u->process_ended ||
	       (u->conf && lead_instance_removed(u->svc->node->lead, now, u->conf->id));
}

/*
 * Whether no request for the unit can still run at a former owner that checks grants. If that owner
 * is lost, its last grant must have expired. Otherwise all slots must have been returned and the
 * owner must have acknowledged a grant that omits the unit.
 */
static bool owner_with_grants_is_idle(const struct svc_upstream *u, clk_ms now,
				      const struct move *mv, size_t slots)
{
	if (u->health.state == HEALTH_LOST)
		return now > u->grant_until + PROBE_GRANT_MARGIN_MS;
	return slots == 0 && u->grant_serial_acked >= mv->serial;
}

/*
 * Whether no request for the unit can still run at a former owner that does not check grants. Its
 * process must have ended, or all slots must have been returned. After a request with an unknown
 * outcome, the owner must also be up when the longest timeout has passed since then.
 */
static bool unchecked_owner_is_clear(const struct svc_upstream *u, clk_ms now, size_t slots)
{
	if (process_has_ended(u, now) || MUTANT(mover_ignores_unknown))
		return true;
	if (slots > 0)
		return false;
	if (u->last_unknown_outcome == 0)
		return true;
	return u->health.state == HEALTH_UP && now > u->last_unknown_outcome + NODE_MAX_TIMEOUT_MS;
}

static bool former_owner_is_idle(struct mover *m, clk_ms now, const struct move *mv)
{
	struct svc_upstream *u;
	size_t slots;

	if (mv->m.from == 0)
		return true;
	slots = is_hot_move(&mv->m) ? broker_slots_of_hot_key(m->svc->broker, mv->m.key_hash)
				    : broker_slots_of_partition(m->svc->broker, mv->m.partition);
	u = svc_upstream(m->svc, mv->m.from);
	if (!u || !u->conf)
		return slots == 0;
	if (u->conf->checks_grants)
		return owner_with_grants_is_idle(u, now, mv, slots);
	return unchecked_owner_is_clear(u, now, slots);
}

/* Ends a move that was not written; the former owner stays the owner. */
static void abort_move(struct mover *m, clk_ms now, struct move *mv, const char *cause)
{
	struct unit *u = move_unit(m, &mv->m);
	struct assign_move am = mv->m;

	ctr_inc(&ctr_aborted);
	emit_event(m, "move-given-up", mv, cause);
	unlink_move(m, mv);
	m->serial++;
	if (am.unit == ASSIGN_HOT_KEY && u->epoch == 0) {
		remove_hot(m, am.key_hash);
		broker_clear_hot_owner(m->svc->broker, now, am.key_hash);
		return;
	}
	set_broker_owner(m, now, &am, u->upstream, u->epoch);
}

static void step_drain(struct mover *m, clk_ms now, struct move *mv)
{
	if (former_owner_is_idle(m, now, mv)) {
		mv->phase = mv->written ? MOVE_CONFIRM : MOVE_READY;
		return;
	}
	if (!mv->m.forced && !mv->written && now - mv->since > VOLUNTARY_DRAIN_MS)
		abort_move(m, now, mv, "old owner is still busy");
}

/* ---- write ---------------------------------------------------------------------------------- */

static void release_call(struct mover *m)
{
	m->open_calls--;
	if (m->destroyed && m->open_calls == 0)
		free(m);
}

static void on_read(void *data, enum store_read_result result, uint64_t version, struct str body)
{
	struct mover *m = data;

	m->reading = false;
	if (!m->destroyed && result != STORE_READ_FAILED) {
		if (result == STORE_ROW)
			node_apply_doc(m->svc->node, str_from(m->svc->assign_row), version, body,
				       "store");
		m->must_read = false;
	}
	release_call(m);
}

static void read_row(struct mover *m, clk_ms now)
{
	if (m->reading)
		return;
	m->reading = true;
	m->open_calls++;
	m->next_read = now + STORE_READ_EVERY_MS;
	store_read(m->svc->node->store, str_from(m->svc->assign_row), m->doc ? m->doc->version : 0,
		   on_read, m);
}

static struct assign_owner doc_owner(const struct mover *m, const struct assign_move *mv)
{
	struct assign_owner none = {0};

	if (!m->doc)
		return none;
	if (!is_hot_move(mv))
		return assign_lookup(m->doc, mv->partition, 0);
	return assign_lookup(m->doc, mv->partition, mv->key_hash);
}

static void on_written(struct mover *m, clk_ms now)
{
	struct move *next;

	for (struct move *mv = m->moves; mv; mv = next) {
		struct assign_owner o;

		next = mv->next;
		if (mv->phase != MOVE_WRITING)
			continue;
		o = doc_owner(m, &mv->m);
		mv->epoch = o.epoch;
		mv->m.to = o.upstream;
		mv->written = true;
		mv->phase = MOVE_CONFIRM;
	}
}

static void on_not_written(struct mover *m, clk_ms now, const char *cause)
{
	struct move *next;

	for (struct move *mv = m->moves; mv; mv = next) {
		next = mv->next;
		if (mv->phase == MOVE_WRITING)
			abort_move(m, now, mv, cause);
	}
}

struct write_call {
	struct mover *mover;
	uint8_t *body;
	size_t len;
};

static void on_write(void *data, enum store_write_result result, uint64_t version)
{
	struct write_call *call = data;
	struct mover *m = call->mover;
	clk_ms now = clk_now();

	m->write_in_flight = false;
	if (!m->destroyed) {
		if (result == STORE_WRITTEN) {
			node_apply_doc(m->svc->node, str_from(m->svc->assign_row), version,
				       (struct str){(char *)call->body, call->len}, "written");
			on_written(m, now);
		} else if (result == STORE_NOT_WRITTEN) {
			on_not_written(m, now, "the table service cannot be reached");
		} else {
			/* Conflict or unknown outcome: reads the row to learn what is stored. */
			m->must_read = true;
			read_row(m, now);
		}
	}
	free(call->body);
	free(call);
	release_call(m);
}

static void write_ready(struct mover *m, clk_ms now)
{
	struct assign_move *batch;
	size_t n = 0;
	Bc__Assign *next;
	struct write_call *call;

	if (m->write_in_flight || m->must_read)
		return;
	batch = calloc(MAX_BATCH, sizeof(*batch));
	for (struct move *mv = m->moves; mv && n < MAX_BATCH; mv = mv->next) {
		if (mv->phase == MOVE_READY) {
			batch[n++] = mv->m;
			mv->phase = MOVE_WRITING;
		}
	}
	if (n > 0) {
		next = assign_apply(m->doc, m->svc->node->settings->region, m->svc->name, batch, n);
		call = calloc(1, sizeof(*call));
		call->mover = m;
		call->len = bc__assign__get_packed_size(next);
		call->body = malloc(call->len + 1);
		bc__assign__pack(next, call->body);
		m->write_in_flight = true;
		m->open_calls++;
		store_write(m->svc->node->store, str_from(m->svc->assign_row), next->version - 1,
			    (struct str){(char *)call->body, call->len}, on_write, call);
		assign_free(next);
	}
	free(batch);
}

/* ---- confirm, grant, serve ------------------------------------------------------------------ */

static void step_confirm(struct mover *m, struct move *mv)
{
	struct svc_upstream *u;

	if (!node_majority_has_doc(m->svc->node, str_from(m->svc->assign_row), m->doc->version))
		return;
	mv->phase = MOVE_GRANT;
	mv->serial = ++m->serial;
	u = svc_upstream(m->svc, mv->m.to);
	if (u)
		probe_schedule_now(u);
}

static void finish_move(struct mover *m, clk_ms now, struct move *mv)
{
	struct unit *u = move_unit(m, &mv->m);
	struct assign_move am = mv->m;
	bool changed = u->upstream != am.to;
	const char *cause = u->upstream == 0 ? "first owner known to this broker"
			    : am.forced	     ? "the old owner may not own keys"
					     : "balances load";

	u->upstream = am.to;
	u->epoch = mv->epoch;
	if (changed) {
		ctr_inc(&ctr_moves);
		emit_event(m, "owner-changed", mv, cause);
	}
	unlink_move(m, mv);
	if (am.unit == ASSIGN_HOT_KEY_MERGE) {
		remove_hot(m, am.key_hash);
		broker_clear_hot_owner(m->svc->broker, now, am.key_hash);
		return;
	}
	set_broker_owner(m, now, &am, am.to, u->epoch);
}

static void step_grant(struct mover *m, clk_ms now, struct move *mv)
{
	struct svc_upstream *u = svc_upstream(m->svc, mv->m.to);

	if (!u || !u->conf || !u->conf->checks_grants || u->grant_serial_acked >= mv->serial ||
	    u->health.state == HEALTH_LOST)
		finish_move(m, now, mv);
}

static void step_moves(struct mover *m, clk_ms now)
{
	struct move *next;

	for (struct move *mv = m->moves; mv; mv = next) {
		next = mv->next;
		switch (mv->phase) {
		case MOVE_DRAIN:
			step_drain(m, now, mv);
			break;
		case MOVE_CONFIRM:
			step_confirm(m, mv);
			break;
		case MOVE_GRANT:
			step_grant(m, now, mv);
			break;
		case MOVE_READY:
		case MOVE_WRITING:
			break;
		}
	}
}

void mover_on_grant_ack(struct mover *m, clk_ms now)
{
	step_moves(m, now);
}

/* ---- the stored document -------------------------------------------------------------------- */

/*
 * Starts a move if the owner of the unit in the document is not the one for which the broker grants
 * slots, for example because another router wrote the document.
 */
static void start_move_to_stored_owner(struct mover *m, clk_ms now, const struct assign_move *am,
				       uint64_t epoch)
{
	struct unit *u = move_unit(m, am);
	struct move *mv;

	if (!u || u->move || (u->upstream == am->to && u->epoch == epoch))
		return;
	mv = mover_start_move(m, now, am, u->upstream ? MOVE_DRAIN : MOVE_CONFIRM, epoch);
	mv->written = true;
	mv->m.from = u->upstream;
}

/*
 * Updates the moves whose write has ended from the newest document: if the epoch of the unit there
 * differs from that of the move, the move continues with the document's owner and epoch.
 */
static void update_moves_from_doc(struct mover *m)
{
	for (struct move *mv = m->moves; mv; mv = mv->next) {
		struct assign_owner o = doc_owner(m, &mv->m);

		if (mv->phase == MOVE_DRAIN || mv->phase == MOVE_READY || o.epoch == mv->epoch ||
		    (mv->phase == MOVE_WRITING && m->write_in_flight))
			continue;
		mv->epoch = o.epoch;
		mv->m.to = o.upstream;
		mv->written = true;
		mv->phase = MOVE_CONFIRM;
	}
}

void mover_on_assign(struct mover *m, clk_ms now)
{
	const struct doc *d = doc_get(m->svc->node->docs, str_from(m->svc->assign_row));
	const Bc__Service *conf = config_service(m->svc->node->config, str_from(m->svc->name));
	Bc__Assign *doc;

	if (!d || (m->doc && d->version <= m->doc->version))
		return;
	doc = bc__assign__unpack(NULL, d->body.len, (const uint8_t *)d->body.ptr);
	if (!doc)
		return;
	if (m->doc)
		bc__assign__free_unpacked(m->doc, NULL);
	m->doc = doc;
	update_moves_from_doc(m);
	for (size_t i = 0; i < doc->n_owners; i++) {
		const Bc__Owner *o = doc->owners[i];
		struct assign_move am = {.unit = ASSIGN_PARTITION,
					 .partition = o->partition,
					 .to = o->upstream,
					 .forced = true};

		start_move_to_stored_owner(m, now, &am, o->epoch);
	}
	for (size_t i = 0; i < doc->n_hot; i++) {
		const Bc__HotKey *h = doc->hot[i];
		struct assign_move am = {
			.unit = ASSIGN_HOT_KEY,
			.partition = conf ? config_partition(conf, h->key_hash) : 0,
			.key_hash = h->key_hash,
			.to = h->upstream,
			.forced = true,
		};

		start_move_to_stored_owner(m, now, &am, h->epoch);
	}
}

void mover_tick(struct mover *m, clk_ms now)
{
	if (now >= m->next_read || (m->must_read && !m->reading))
		read_row(m, now);
	step_moves(m, now);
	write_ready(m, now);
	mover_tick_plan(m, now);
}

/* ---- grants --------------------------------------------------------------------------------- */

uint64_t mover_grant_serial(const struct mover *m)
{
	return m->serial;
}

/* Returns the epoch to grant to upstream `num` for this unit, 0 if it gets none. */
static uint64_t granted_epoch(const struct unit *u, uint32_t num)
{
	if (u->move) {
		bool next = u->move->phase == MOVE_GRANT && u->move->m.to == num;

		return next ? u->move->epoch : 0;
	}
	return u->upstream == num ? u->epoch : 0;
}

void mover_write_grant(const struct mover *m, uint32_t num, FILE *out)
{
	const char *comma = "";

	fputs("\"partitions\":[", out);
	for (uint32_t p = 0; p < m->n_partitions; p++) {
		uint64_t epoch = granted_epoch(&m->partition_units[p], num);

		if (!epoch)
			continue;
		fprintf(out, "%s[%u,%" PRIu64 "]", comma, p, epoch);
		comma = ",";
	}
	/* Upstreams get the split-off keys of others with epoch 0, which no request carries. */
	fputs("],\"hot\":[", out);
	comma = "";
	for (const struct hot_unit *h = m->hot; h; h = h->next) {
		fprintf(out, "%s[\"%016" PRIx64 "\",%" PRIu64 "]", comma, h->key_hash,
			granted_epoch(&h->unit, num));
		comma = ",";
	}
	fputc(']', out);
}

size_t mover_active_moves(const struct mover *m)
{
	size_t n = 0;

	for (const struct move *mv = m->moves; mv; mv = mv->next)
		n++;
	return n;
}

/* ---- creation and destruction ---------------------------------------------------------------- */

struct mover *mover_create(struct svc *s, clk_ms now)
{
	struct mover *m = calloc(1, sizeof(*m));

	m->svc = s;
	m->serial = 1; /* `grant_serial_acked` is 0 when no grant was acknowledged */
	s->mover = m;
	m->n_partitions = s->partitions;
	m->partition_units = calloc(m->n_partitions + 1, sizeof(*m->partition_units));
	m->loads = calloc(m->n_partitions + 1, sizeof(*m->loads));
	m->next_balance = now + BALANCE_EVERY_MS;
	mover_on_assign(m, now);
	read_row(m, now);
	return m;
}

void mover_destroy(struct mover *m)
{
	while (m->moves)
		unlink_move(m, m->moves);
	while (m->hot)
		remove_hot(m, m->hot->key_hash);
	free(m->partition_units);
	free(m->loads);
	if (m->doc)
		bc__assign__free_unpacked(m->doc, NULL);
	m->partition_units = NULL;
	m->destroyed = true;
	if (m->open_calls == 0)
		free(m);
}
