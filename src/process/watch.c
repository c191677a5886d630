#include "process/watch.h"

#include <stdlib.h>

#include "base/log.h"
#include "base/mutant.h"
#include "base/rnd.h"
#include "connection/timer.h"

/*
 * Longest time that a call for changes waits in the store, which accepts up to 30 s. It limits how
 * long a call can hang if the store has lost it.
 */
#define WATCH_WAIT_MS 20000
/*
 * If a peer has newer rows for longer than this, a call that was sent before is taken to hang. One
 * that was sent since is answered at once; a large answer over a slow link may take this long.
 */
#define BEHIND_PEER_MS 500
#define BEHIND_WAIT_MS 3000
/*
 * Pause after an answer with changes. Rows change in bursts and each call has a cost, so a pause
 * saves calls. It is well below the 2 s in which configurations and draining upstreams have to take
 * effect.
 */
#define CHANGES_PAUSE_MS 300
/* The same for the table of gateways: a new one connects to all others, so a delay is harmless. */
#define ROUTERS_PAUSE_MS 2000
/*
 * Pause before a table is read whole if its history was trimmed again right after the last such
 * read. Without it, a store that always drops its history would be read whole with every call.
 */
#define TRIMMED_PAUSE_MS 400
/* Pause after a failed call; it doubles with each failure up to the maximum. */
#define RETRY_FIRST_MS 150
#define RETRY_MAX_MS 800
#define WATCHED_TABLES 3
/* Latency reported for a store that has not answered yet. */
#define UNKNOWN_LATENCY_MS 1000

static const struct log log = {"watch"};

struct table {
	struct watch *watch;
	enum meta_table id;
	struct timer timer;
	uint64_t version;    /* version up to which the table is known; 0: it is not known */
	uint64_t newest_row; /* version of the newest row received */
	bool read_whole;     /* the next call reads the whole table */
	bool recovering;     /* no rows were received since the store did not answer */
	bool trimmed; /* no call for changes has succeeded since the store trimmed the history */
	struct store_call *open_call; /* call whose answer is awaited, NULL: none */
	clk_ms behind_since;	      /* since when a peer has a newer row, 0: none has */
};

/* An open call to the store; `table` is NULL if the answer is to be ignored. */
struct store_call {
	struct table *table;
	bool whole;	/* reads the whole table */
	bool probe;	/* the one call that probes a failing store */
	uint64_t known; /* version of the table when the call was sent */
	clk_ms sent;
	struct store_call *next; /* list of all open calls */
	struct watch *watch;
};

struct watch {
	h2o_loop_t *loop;
	const struct meta_driver *driver;
	struct meta *meta;
	struct watch_handlers handlers;
	void *data;
	struct table tables[WATCHED_TABLES];
	uint64_t era;	     /* highest era of the store in answers and copies */
	bool restored;	     /* the era has risen since the first one */
	bool store_ok;	     /* the store answered the last call */
	bool passive;	     /* does not call the store */
	bool answered;	     /* the store has answered since the watch became active */
	bool probe_open;     /* while the store fails: a table has the one call that probes it */
	clk_ms config_wait;  /* longest wait of calls for the configuration, 0: WATCH_WAIT_MS */
	clk_ms retry_pause;  /* pause after the next failure */
	clk_ms last_answer;  /* time of the last answer to any call of this process */
	uint64_t answer_era; /* era of the store in that answer, 0: there was none yet */
	clk_ms fastest_read; /* shortest read of a whole table, which never waits in the store */
	struct store_call *calls;
};

/* Ignores the answer of the open call, so that another can be started. */
static void abandon_call(struct table *t)
{
	if (!t->open_call)
		return;
	/* Its answer will not show whether the store answers again. */
	if (t->open_call->probe && !MUTANT(watch_keep_probe))
		t->watch->probe_open = false;
	t->open_call->table = NULL;
	t->open_call = NULL;
}

static void note_answer(struct watch *w, uint64_t era)
{
	w->last_answer = clk_now();
	w->answer_era = era;
}

/* Records whether the store answers; all tables are called again after an outage. */
static void set_store_ok(struct watch *w, bool store_ok)
{
	w->answered |= store_ok;
	if (store_ok == w->store_ok)
		return;
	w->store_ok = store_ok;
	w->retry_pause = RETRY_FIRST_MS;
	log_info(&log, "dependency store %s", store_ok ? "regained" : "lost");
	if (!store_ok) {
		for (size_t i = 0; i < WATCHED_TABLES; i++)
			w->tables[i].recovering = true;
		return;
	}
	w->probe_open = false;
	/* Calls sent before the outage may never be answered. */
	for (size_t i = 0; i < WATCHED_TABLES; i++) {
		abandon_call(&w->tables[i]);
		timer_arm(&w->tables[i].timer, 0);
	}
}

static void on_failure(struct table *t, enum meta_status status)
{
	struct watch *w = t->watch;

	w->probe_open = false;
	set_store_ok(w, false);
	timer_arm(&t->timer, w->retry_pause);
	w->retry_pause *= 2;
	if (w->retry_pause > RETRY_MAX_MS)
		w->retry_pause = RETRY_MAX_MS;
}

static void store_call_free(struct store_call *r)
{
	struct store_call **at = &r->watch->calls;

	while (*at != r)
		at = &(*at)->next;
	*at = r->next;
	free(r);
}

/*
 * Records the version of the newest of the received rows. The table no longer counts as behind a
 * peer; the peer's next report shows whether it still is.
 */
static void record_rows(struct table *t, const struct meta_answer *a)
{
	for (size_t i = 0; i < a->n_rows; i++) {
		if (a->rows[i].version > t->newest_row)
			t->newest_row = a->rows[i].version;
	}
	t->behind_since = 0;
}

/* Reads all tables again that are known from before a restore of the store. */
static void note_era(struct watch *w, uint64_t era)
{
	if (era <= w->era)
		return;
	w->restored = w->era != 0;
	w->era = era;
	for (size_t i = 0; i < WATCHED_TABLES; i++) {
		struct table *t = &w->tables[i];

		if (!t->version || meta_era(t->version) == era)
			continue;
		/* The call may wait for a version that the store no longer has. */
		abandon_call(t);
		t->read_whole = true;
		if (!w->passive)
			timer_arm(&t->timer, 0);
	}
}

/* Whether rows of this version are the first of the table since the store was restored. */
static bool is_restored(const struct table *t, uint64_t version)
{
	return t->version && meta_era(version) > meta_era(t->version) &&
	       !MUTANT(watch_ignore_restore);
}

static void on_answer(void *data, const struct meta_answer *a)
{
	struct store_call *r = data;
	struct table *t = r->table;
	struct watch *w = r->watch;
	clk_ms took = clk_now() - r->sent;
	bool whole = r->whole;
	uint64_t known = r->known;
	struct watch_rows rows;

	store_call_free(r);
	if (!t)
		return;
	if (whole && a->status == META_OK && took < w->fastest_read)
		w->fastest_read = took;
	t->open_call = NULL;
	if (a->status == META_TRIMMED) {
		log_info(&log, "store trimmed the history of table %d; reading the whole table",
			 (int)t->id);
		set_store_ok(w, true);
		note_answer(w, meta_era(a->version));
		note_era(w, meta_era(a->version));
		t->read_whole = true;
		timer_arm(&t->timer, t->trimmed ? TRIMMED_PAUSE_MS : 0);
		t->trimmed = true;
		return;
	}
	/* Peers know that the store was restored since it gave this answer. */
	if (a->status != META_OK || meta_era(a->version) < meta_era(t->version)) {
		on_failure(t, a->status);
		return;
	}
	set_store_ok(w, true);
	note_answer(w, meta_era(a->version));
	t->behind_since = 0;
	if (a->version < t->version && known < t->version && !MUTANT(watch_undo_copy)) {
		/* A copy from a peer was applied since, and is newer than this late answer. */
		timer_arm(&t->timer, 0);
		return;
	}
	rows = (struct watch_rows){
		.whole = whole,
		.recovered = t->recovering,
		.restored = is_restored(t, a->version),
		.answer = a,
	};
	t->recovering = false;
	if (a->version > t->version)
		t->version = a->version;
	if (whole)
		t->read_whole = false;
	else
		t->trimmed = false;
	note_era(w, meta_era(a->version));
	record_rows(t, a);
	if (whole || a->n_rows)
		w->handlers.on_rows(w->data, t->id, &rows);
	timer_arm(&t->timer, !a->n_rows		     ? 0
			     : t->id == META_ROUTERS ? ROUTERS_PAUSE_MS
						     : CHANGES_PAUSE_MS);
}

/*
 * Returns how long the next call for changes may wait in the store. The first call of an active
 * watch does not wait: its answer shows the peers that this gateway reaches the store.
 */
static clk_ms max_wait(const struct table *t)
{
	const struct watch *w = t->watch;
	bool first = t->id == META_CONFIG && !w->answered && !MUTANT(watch_wait_first);

	if (!w->store_ok || first)
		return 0;
	if (t->behind_since)
		return BEHIND_WAIT_MS;
	return w->config_wait && t->id == META_CONFIG ? w->config_wait : WATCH_WAIT_MS;
}

/* Reads or watches the table, unless a call is open or another table probes the store. */
static void start_call(struct table *t)
{
	struct watch *w = t->watch;
	struct store_call *r;

	if (t->open_call || w->passive)
		return;
	if (!w->store_ok) {
		/* Each call has a cost, even if it is refused: only one table probes the store. */
		if (w->probe_open) {
			timer_arm(&t->timer, RETRY_MAX_MS);
			return;
		}
		w->probe_open = true;
	}
	r = calloc(1, sizeof(*r));
	if (!r)
		abort();
	r->table = t;
	r->whole = !t->version || t->read_whole;
	r->probe = !w->store_ok;
	r->known = t->version;
	r->watch = w;
	r->sent = clk_now();
	r->next = w->calls;
	w->calls = r;
	t->open_call = r;
	if (r->whole)
		w->driver->read(w->meta, t->id, on_answer, r);
	else
		w->driver->watch(w->meta, t->id, t->version, max_wait(t), on_answer, r);
}

static void on_timer(struct timer *timer, void *data)
{
	start_call(data);
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
	w->retry_pause = RETRY_FIRST_MS;
	w->fastest_read = UNKNOWN_LATENCY_MS;
	for (size_t i = 0; i < WATCHED_TABLES; i++) {
		struct table *t = &w->tables[i];

		t->watch = w;
		t->id = watched[i];
		timer_init(&t->timer, loop, on_timer, t);
		timer_arm(&t->timer, 0);
	}
	/* Assume that the store answers, so that all tables are read at once. */
	w->store_ok = true;
	w->last_answer = clk_now();
	return w;
}

void watch_destroy(struct watch *w)
{
	struct store_call *r;

	if (!w)
		return;
	for (size_t i = 0; i < WATCHED_TABLES; i++)
		timer_release(&w->tables[i].timer);
	while ((r = w->calls) != NULL) {
		w->calls = r->next;
		free(r);
	}
	free(w);
}

static struct table *find_table(struct watch *w, enum meta_table table)
{
	for (size_t i = 0; i < WATCHED_TABLES; i++) {
		if (w->tables[i].id == table)
			return &w->tables[i];
	}
	return NULL;
}

uint64_t watch_version(const struct watch *w, enum meta_table table)
{
	const struct table *t = find_table((struct watch *)w, table);

	return t ? t->version : 0;
}

uint64_t watch_newest_row(const struct watch *w, enum meta_table table)
{
	const struct table *t = find_table((struct watch *)w, table);

	return t ? t->newest_row : 0;
}

void watch_report_peer_row(struct watch *w, enum meta_table table, uint64_t newest_row)
{
	struct table *t = find_table(w, table);

	if (!t || newest_row <= t->newest_row || !w->store_ok) {
		if (t && newest_row <= t->newest_row)
			t->behind_since = 0;
		return;
	}
	if (!t->behind_since) {
		t->behind_since = clk_now();
	} else if (clk_now() - t->behind_since > BEHIND_PEER_MS && t->open_call &&
		   (t->open_call->sent <= t->behind_since || MUTANT(watch_replace_again))) {
		log_info(&log, "table %d is behind a peer; replacing the open call to the store",
			 (int)table);
		abandon_call(t);
		timer_arm(&t->timer, 0);
	}
}

uint64_t watch_answer_era(const struct watch *w)
{
	return w->answer_era;
}

bool watch_was_restored(const struct watch *w)
{
	return w->restored;
}

bool watch_store_ok(const struct watch *w)
{
	return w->store_ok;
}

clk_ms watch_last_answer(const struct watch *w)
{
	return w->last_answer;
}

clk_ms watch_store_latency(const struct watch *w)
{
	return w->fastest_read;
}

void watch_record_answer(struct watch *w, const struct meta_answer *a)
{
	if (a->status == META_OK || a->status == META_CONFLICT || a->status == META_TRIMMED)
		note_answer(w, meta_era(a->version));
}

void watch_set_passive(struct watch *w, bool passive)
{
	if (passive == w->passive)
		return;
	w->passive = passive;
	/* As in watch_create(), an active watch assumes that the store answers. */
	w->store_ok = !passive;
	w->answered = false;
	w->probe_open = false;
	w->retry_pause = RETRY_FIRST_MS;
	for (size_t i = 0; i < WATCHED_TABLES; i++) {
		abandon_call(&w->tables[i]);
		if (!passive)
			timer_arm(&w->tables[i].timer, 0);
	}
}

bool watch_is_passive(const struct watch *w)
{
	return w->passive;
}

void watch_set_config_wait(struct watch *w, clk_ms wait)
{
	struct table *t = find_table(w, META_CONFIG);

	if (wait == w->config_wait)
		return;
	w->config_wait = wait;
	/* The open call may wait longer than the new limit. */
	if (wait && t->open_call && w->store_ok) {
		abandon_call(t);
		timer_arm(&t->timer, 0);
	}
}

/* Returns the rows of an answer that are newer than `version`; the caller frees the array. */
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

enum watch_copy_result watch_apply_copy(struct watch *w, enum meta_table table,
					const struct watch_copy *copy)
{
	struct table *t = find_table(w, table);
	struct meta_answer changes = *copy->answer;
	struct watch_rows rows = {
		.whole = !copy->since,
		.recovered = copy->recovered,
		.answer = &changes,
	};
	struct meta_row *newer = NULL;

	if (!t || w->store_ok || copy->answer->version <= t->version)
		return WATCH_UNUSED;
	if (copy->since > t->version && !MUTANT(watch_ignore_gap))
		return WATCH_GAP;
	if (!w->passive)
		log_info(&log, "table %d updated from a peer to version %llu", (int)table,
			 (unsigned long long)copy->answer->version);
	if (copy->since) {
		newer = newer_rows(copy->answer, t->version, &changes.n_rows);
		changes.rows = newer;
	}
	rows.restored = is_restored(t, copy->answer->version);
	t->version = copy->answer->version;
	t->read_whole = false;
	t->recovering = false;
	note_era(w, meta_era(t->version));
	record_rows(t, &changes);
	w->handlers.on_rows(w->data, table, &rows);
	free(newer);
	return WATCH_APPLIED;
}
