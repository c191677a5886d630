#include "process/watch.h"

#include <stdlib.h>

#include "base/log.h"
#include "base/mutant.h"
#include "base/rnd.h"
#include "connection/timer.h"

/*
 * Longest wait of one call for changes; the store accepts up to 30 s. It bounds how long a call can
 * hang at a store that has forgotten it.
 */
#define WATCH_WAIT_MS 20000
/* A peer that is ahead for longer than this shows that the own call hangs. */
#define BEHIND_MS 500
/*
 * Pause after an answer with changes. Rows change in bursts, and each call costs; it is well below
 * the 2 s in which configurations and leaving upstreams have to be in force.
 */
#define GAP_MS 300
/* The same for the gateways: a new one connects to all others, so they need not look for it. */
#define ROUTERS_GAP_MS 2000
/*
 * Pause before a whole read when the history was trimmed again right after one; a store that
 * drops its history all the time would be read whole with every call.
 */
#define TRIMMED_AGAIN_MS 400
/* Pause after a failed call, doubled up to the second figure. */
#define RETRY_FIRST_MS 150
#define RETRY_MAX_MS 800
#define WATCHED_TABLES 3
/* Distance of a store that has not answered yet. */
#define UNKNOWN_STORE_MS 1000

static const struct log log = {"watch"};

struct table {
	struct watch *watch;
	enum meta_table id;
	struct timer timer;
	uint64_t version; /* 0: the whole table has to be read */
	uint64_t newest_row;
	bool trimmed;	      /* no call for changes has succeeded since the history was trimmed */
	struct request *open; /* call that is waited for */
	clk_ms behind_since;  /* a peer has a newer row since, 0: none */
};

/* An open call; `table` is NULL when its answer is no longer wanted. */
struct request {
	struct table *table;
	clk_ms sent;
	struct request *next; /* list of all, for the end of the process */
	struct watch *watch;
};

struct watch {
	h2o_loop_t *loop;
	const struct meta_driver *driver;
	struct meta *meta;
	struct watch_handlers handlers;
	void *data;
	struct table tables[WATCHED_TABLES];
	bool ok;
	bool passive;
	bool probing;
	clk_ms confirm; /* longest wait of the calls for the configuration, 0: as the others */
	clk_ms retry;
	clk_ms last_answer;
	clk_ms fastest; /* of the reads of whole tables, which do not wait */
	struct request *requests;
};

static void give_up(struct table *t)
{
	if (t->open)
		t->open->table = NULL;
	t->open = NULL;
}

static void set_ok(struct watch *w, bool ok)
{
	if (ok)
		w->last_answer = clk_now();
	if (ok == w->ok)
		return;
	w->ok = ok;
	w->retry = RETRY_FIRST_MS;
	log_info(&log, "dependency store %s", ok ? "regained" : "lost");
	if (!ok)
		return;
	w->probing = false;
	/* Calls from before the outage may hang for good. */
	for (size_t i = 0; i < WATCHED_TABLES; i++) {
		give_up(&w->tables[i]);
		timer_arm(&w->tables[i].timer, 0);
	}
}

static void on_failure(struct table *t, enum meta_status status)
{
	struct watch *w = t->watch;

	w->probing = false;
	set_ok(w, false);
	timer_arm(&t->timer, w->retry);
	w->retry *= 2;
	if (w->retry > RETRY_MAX_MS)
		w->retry = RETRY_MAX_MS;
}

static void request_free(struct request *r)
{
	struct request **at = &r->watch->requests;

	while (*at != r)
		at = &(*at)->next;
	*at = r->next;
	free(r);
}

static void note_rows(struct table *t, const struct meta_answer *a)
{
	for (size_t i = 0; i < a->n_rows; i++) {
		if (a->rows[i].version > t->newest_row)
			t->newest_row = a->rows[i].version;
	}
	t->behind_since = 0;
}

static void on_answer(void *data, const struct meta_answer *a)
{
	struct request *r = data;
	struct table *t = r->table;
	struct watch *w = r->watch;
	bool was_ok = w->ok;
	clk_ms took = clk_now() - r->sent;
	bool whole;

	request_free(r);
	if (!t)
		return;
	whole = t->version == 0;
	if (whole && a->status == META_OK && took < w->fastest)
		w->fastest = took;
	t->open = NULL;
	if (a->status == META_TRIMMED) {
		log_info(&log, "history of table %d is gone; reading it whole", (int)t->id);
		set_ok(w, true);
		t->version = 0;
		timer_arm(&t->timer, t->trimmed ? TRIMMED_AGAIN_MS : 0);
		t->trimmed = true;
		return;
	}
	if (a->status != META_OK) {
		on_failure(t, a->status);
		return;
	}
	set_ok(w, true);
	if (a->version > t->version)
		t->version = a->version;
	if (!whole)
		t->trimmed = false;
	note_rows(t, a);
	if (whole || a->n_rows)
		w->handlers.on_rows(w->data, t->id, whole, !was_ok, a);
	timer_arm(&t->timer, !a->n_rows ? 0 : t->id == META_ROUTERS ? ROUTERS_GAP_MS : GAP_MS);
}

static clk_ms wait_of(const struct table *t)
{
	const struct watch *w = t->watch;

	if (!w->ok)
		return 0;
	return w->confirm && t->id == META_CONFIG ? w->confirm : WATCH_WAIT_MS;
}

static void call(struct table *t)
{
	struct watch *w = t->watch;
	struct request *r;

	if (t->open || w->passive)
		return;
	if (!w->ok) {
		/* Calls are paid for, also refused ones: only one table asks. */
		if (w->probing) {
			timer_arm(&t->timer, RETRY_MAX_MS);
			return;
		}
		w->probing = true;
	}
	r = calloc(1, sizeof(*r));
	if (!r)
		abort();
	r->table = t;
	r->watch = w;
	r->sent = clk_now();
	r->next = w->requests;
	w->requests = r;
	t->open = r;
	if (t->version == 0)
		w->driver->read(w->meta, t->id, on_answer, r);
	else
		w->driver->watch(w->meta, t->id, t->version, wait_of(t), on_answer, r);
}

static void on_timer(struct timer *timer, void *data)
{
	call(data);
}

struct watch *watch_create(h2o_loop_t *loop, const struct meta_driver *driver, struct meta *meta,
			   const struct watch_handlers *handlers, void *data)
{
	static const enum meta_table watched[WATCHED_TABLES] = {META_CONFIG, META_UPSTREAMS,
								META_ROUTERS};
	struct watch *w = calloc(1, sizeof(*w));

	if (!w)
		abort();
	w->loop = loop;
	w->driver = driver;
	w->meta = meta;
	w->handlers = *handlers;
	w->data = data;
	w->retry = RETRY_FIRST_MS;
	w->fastest = UNKNOWN_STORE_MS;
	for (size_t i = 0; i < WATCHED_TABLES; i++) {
		struct table *t = &w->tables[i];

		t->watch = w;
		t->id = watched[i];
		timer_init(&t->timer, loop, on_timer, t);
		timer_arm(&t->timer, 0);
	}
	/* Optimistic at first, so that all tables are read at once. */
	w->ok = true;
	w->last_answer = clk_now();
	return w;
}

void watch_destroy(struct watch *w)
{
	struct request *r;

	if (!w)
		return;
	for (size_t i = 0; i < WATCHED_TABLES; i++)
		timer_release(&w->tables[i].timer);
	while ((r = w->requests) != NULL) {
		w->requests = r->next;
		free(r);
	}
	free(w);
}

static struct table *find(struct watch *w, enum meta_table table)
{
	for (size_t i = 0; i < WATCHED_TABLES; i++) {
		if (w->tables[i].id == table)
			return &w->tables[i];
	}
	return NULL;
}

uint64_t watch_version(const struct watch *w, enum meta_table table)
{
	const struct table *t = find((struct watch *)w, table);

	return t ? t->version : 0;
}

uint64_t watch_newest_row(const struct watch *w, enum meta_table table)
{
	const struct table *t = find((struct watch *)w, table);

	return t ? t->newest_row : 0;
}

void watch_peer_has(struct watch *w, enum meta_table table, uint64_t newest_row)
{
	struct table *t = find(w, table);

	if (!t || newest_row <= t->newest_row || !w->ok) {
		if (t && newest_row <= t->newest_row)
			t->behind_since = 0;
		return;
	}
	if (!t->behind_since) {
		t->behind_since = clk_now();
	} else if (clk_now() - t->behind_since > BEHIND_MS && t->open) {
		log_info(&log, "table %d is behind a peer; asking the store again", (int)table);
		give_up(t);
		t->behind_since = 0;
		timer_arm(&t->timer, 0);
	}
}

bool watch_store_ok(const struct watch *w)
{
	return w->ok;
}

clk_ms watch_last_answer(const struct watch *w)
{
	return w->last_answer;
}

clk_ms watch_store_ms(const struct watch *w)
{
	return w->fastest;
}

void watch_note(struct watch *w, enum meta_status status)
{
	if (status == META_OK || status == META_CONFLICT || status == META_TRIMMED)
		w->last_answer = clk_now();
}

void watch_set_passive(struct watch *w, bool passive)
{
	if (passive == w->passive)
		return;
	w->passive = passive;
	/* Optimistic, as at the start. */
	w->ok = !passive;
	w->probing = false;
	w->retry = RETRY_FIRST_MS;
	for (size_t i = 0; i < WATCHED_TABLES; i++) {
		give_up(&w->tables[i]);
		if (!passive)
			timer_arm(&w->tables[i].timer, 0);
	}
}

bool watch_is_passive(const struct watch *w)
{
	return w->passive;
}

void watch_set_confirm(struct watch *w, clk_ms every)
{
	struct table *t = find(w, META_CONFIG);

	if (every == w->confirm)
		return;
	w->confirm = every;
	/* The open call may still wait for long. */
	if (every && t->open && w->ok) {
		give_up(t);
		timer_arm(&t->timer, 0);
	}
}

/* Rows of the copy that are newer than what is known; the caller frees them. */
static struct meta_row *newer_rows(const struct meta_answer *a, uint64_t version, size_t *n)
{
	struct meta_row *rows = calloc(a->n_rows + 1, sizeof(*rows));

	if (!rows)
		abort();
	*n = 0;
	for (size_t i = 0; i < a->n_rows; i++) {
		if (a->rows[i].version > version)
			rows[(*n)++] = a->rows[i];
	}
	return rows;
}

enum watch_offered watch_offer(struct watch *w, enum meta_table table,
			       const struct watch_copy *copy)
{
	struct table *t = find(w, table);
	struct meta_answer changes = *copy->answer;
	struct meta_row *rows = NULL;

	if (!t || w->ok || copy->answer->version <= t->version)
		return WATCH_UNUSED;
	if (copy->since > t->version && !MUTANT(watch_ignore_gap))
		return WATCH_GAP;
	if (!w->passive)
		log_info(&log, "table %d taken from a peer at version %llu", (int)table,
			 (unsigned long long)copy->answer->version);
	if (copy->since) {
		rows = newer_rows(copy->answer, t->version, &changes.n_rows);
		changes.rows = rows;
	}
	t->version = copy->answer->version;
	note_rows(t, &changes);
	w->handlers.on_rows(w->data, table, !copy->since, copy->recovered, &changes);
	free(rows);
	return WATCH_APPLIED;
}
