/*
 * Distribution of the store's tables among gateways. In each region a few gateways, the readers,
 * follow the store and send changes to the passive ones, since calls to the store are limited and a
 * large configuration read by every gateway would fill the link between regions. A gateway whose
 * calls the store refuses also gets copies of tables from its peers.
 */
#include "process/gateway_priv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <zlib.h>

#include "base/arena.h"
#include "base/backoff.h"
#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"
#include "base/rnd.h"

/*
 * Values of at least this length are sent compressed: a large configuration has thousands of
 * similar routes.
 */
#define COMPRESS_MIN_BYTES 4096
/* A compressed value whose length is given as more than this is rejected. */
#define MAX_VALUE_BYTES (64u << 20)
/* A gateway becomes passive only if at least this many readers had a recent answer of the store. */
#define MIN_GOOD_READERS 2
/*
 * The store answers a reader at least this often while passive peers depend on that reader, or a
 * shard manager without its store needs to know whether it answers others.
 */
#define STORE_CONFIRM_MS 1000
/* The same while something that a restore lost ends unless an answer has it. */
#define STORE_CONFIRM_LOST_MS 500
/* A peer whose last heartbeat is older does not count as a reader with a recent store answer. */
#define MAX_HEARTBEAT_AGE_MS 1000
/* No choice of readers before this time after the start, since the peers have to connect first. */
#define FIRST_CHOICE_MS 1500
/* A gateway that is no hub follows the store itself after this time without a reader, or later. */
#define LEAF_READ_AFTER_MS 3000
#define LEAF_READ_JITTER_MS 2000
/*
 * Least time between two requests to peers for copies of the tables. Doubles up to the maximum with
 * each request without a copy: on a full link the copies take long, and asking again would keep it
 * full.
 */
#define COPY_REQUEST_PAUSE_MS 400
#define COPY_REQUEST_PAUSE_MAX_MS 3200
/* For this time after the start peers are asked for what a restored store may lack. */
#define REQUEST_CONFIG_MS 10000
/* Deleted rows kept for each table, for peers that still have the rows. */
#define MAX_DELETED_ROWS 1024

static const struct log log = {"tables"};
CTR(ctr_pushed, "table_changes_sent_total", "Changes of tables passed on to other gateways.");
CTR(ctr_copies, "table_copies_sent_total", "Tables or missed changes sent when asked.");
CTR(ctr_role_changes, "table_reader_switches_total",
    "Times that this gateway began or ended to read.");

/* Whether gateways send rows of the table to each other. */
static bool is_shared_table(enum meta_table table)
{
	return table == META_CONFIG || table == META_UPSTREAMS || table == META_ROUTERS;
}

/* ---- choice of readers ---------------------------------------------------------------------- */

bool gateway_read_failed(const struct gateway *g, clk_ms now)
{
	return g->read_failed_at && now - g->read_failed_at < READERS_RETRY_MS;
}

clk_ms gateway_store_answered_at(const struct gateway *g)
{
	clk_ms answered = watch_last_answer(g->watch);
	const struct gateway_peer *p;

	for (p = g->peer_states; p; p = p->hh.next) {
		if (p->store_ok && p->store_answered_at > answered)
			answered = p->store_answered_at;
	}
	return answered;
}

static struct reader_info own_info(const struct gateway *g, clk_ms now)
{
	return (struct reader_info){
		.node = g->node,
		.reads = !watch_is_passive(g->watch),
		.answer_age = now - watch_last_answer(g->watch),
		.reading_ms = now - g->reader_changed_at,
		.failed = gateway_read_failed(g, now),
	};
}

/* Chooses the readers of this region by the last heartbeats; the caller frees `nodes`. */
static struct readers list_readers(const struct gateway *g, clk_ms now)
{
	size_t max = HASH_COUNT(g->peer_states) + 1;
	struct reader_info *infos = calloc(max, sizeof(*infos));
	struct readers r = {.nodes = calloc(max, sizeof(uint64_t))};
	char region[FLEET_NAME_BYTES];
	const struct gateway_peer *p;
	uint32_t min_cpu;
	size_t n = 0;

	if (!infos || !r.nodes)
		abort();
	snprintf(region, sizeof(region), "%.*s", STR_ARG(g->settings.region));
	min_cpu = gateway_min_role_cpu(g, region);
	if (g->is_hub && !g->draining && g->settings.cpu_millis >= min_cpu)
		infos[n++] = own_info(g, now);
	for (p = g->peer_states; p; p = p->hh.next) {
		if (!p->hub || p->draining || p->cpu_millis < min_cpu ||
		    !gateway_in_same_region(g, p))
			continue;
		infos[n++] = (struct reader_info){
			.node = p->node,
			.reads = p->reads,
			.answer_age = now - (now - p->heartbeat_received < MAX_HEARTBEAT_AGE_MS &&
							     p->store_ok
						     ? p->store_answered_at
						     : 0),
			.reading_ms = now - p->reader_changed_at,
			.failed = p->read_failed,
		};
	}
	readers_choose(&r, infos, n);
	free(infos);
	return r;
}

/* Whether all tables were read and this gateway is registered. */
static bool can_become_passive(const struct gateway *g)
{
	return watch_version(g->watch, META_CONFIG) && watch_version(g->watch, META_UPSTREAMS) &&
	       watch_version(g->watch, META_ROUTERS) && g->registered;
}

static bool is_shardmgr_or_candidate(const struct gateway *g)
{
	const struct gateway_service *s;

	for (s = g->services; s; s = s->hh.next) {
		if (s->shardmgr &&
		    (shardmgr_is_active(s->shardmgr) || shardmgr_is_acquiring(s->shardmgr)))
			return true;
	}
	return false;
}

/* Whether a gateway of this region is passive, so that it may get table changes from this one. */
static bool has_passive_peers(const struct gateway *g)
{
	const struct gateway_peer *p;

	for (p = g->peer_states; p; p = p->hh.next) {
		if (gateway_in_same_region(g, p) && !p->reads)
			return true;
	}
	return false;
}

/* Returns the limit of watch_set_config_wait() for a reader. */
static clk_ms reader_config_wait(const struct gateway *g)
{
	if (g->awaits_lost)
		return STORE_CONFIRM_LOST_MS;
	return has_passive_peers(g) || gateway_shardmgr_lacks_store(g) ? STORE_CONFIRM_MS : 0;
}

/* Begins or ceases to follow the store; `good`: number of readers with a recent answer. */
static void set_passive(struct gateway *g, bool passive, size_t good, clk_ms now)
{
	struct reader_info info = own_info(g, now);

	if (passive == watch_is_passive(g->watch))
		return;
	ctr_inc(&ctr_role_changes);
	if (passive)
		g->read_failed_at = readers_gives_up(&info) ? now : 0;
	g->reader_changed_at = now;
	log_info(&log, "%s, %zu readers have a recent answer of the store",
		 passive ? "receiving tables from readers" : "following the store", good);
	watch_set_passive(g->watch, passive);
	gateway_send_heartbeat(g, false);
}

/*
 * A gateway that is no hub follows the store only if it has known no reader for some time, or while
 * it is shard manager. The time varies, so that not all begin at once.
 */
static void choose_as_leaf(struct gateway *g, clk_ms now, bool manages, size_t good)
{
	clk_ms since = g->readers_seen ? g->readers_seen : g->started;
	clk_ms wait = LEAF_READ_AFTER_MS + (clk_ms)(g->node % LEAF_READ_JITTER_MS);

	if (manages || now - since > wait)
		set_passive(g, false, good, now);
	else if (good)
		set_passive(g, true, good, now);
}

void gateway_choose_readers(struct gateway *g, clk_ms now)
{
	struct readers r = list_readers(g, now);
	bool should_read = readers_has(&r, g->node);
	bool manages = is_shardmgr_or_candidate(g);
	size_t good = r.good;
	bool passive = watch_is_passive(g->watch);

	free(r.nodes);
	if (good)
		g->readers_seen = now;
	if (!g->is_hub) {
		choose_as_leaf(g, now, manages, good);
		return;
	}
	/* At the start the tables are needed at once; other hubs are not connected yet. */
	if (now - g->started < FIRST_CHOICE_MS) {
		set_passive(g, false, good, now);
		return;
	}
	watch_set_config_wait(g->watch, should_read ? reader_config_wait(g) : 0);
	if (should_read || manages)
		passive = false;
	else if (good >= MIN_GOOD_READERS && can_become_passive(g))
		passive = true;
	set_passive(g, passive, good, now);
}

/* ---- rows ----------------------------------------------------------------------------------- */

static void row_release(struct gateway_row *r)
{
	if (!r)
		return;
	free(r->value);
	free(r->compressed);
	free(r);
}

static void row_free(struct gateway *g, enum meta_table table, struct gateway_row *r)
{
	g->n_deleted[table] -= r->deleted;
	HASH_DEL(g->rows[table], r);
	row_release(r);
}

static struct gateway_row *row_new(const struct meta_row *row)
{
	struct gateway_row *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	snprintf(r->key, sizeof(r->key), "%.*s", STR_ARG(row->key));
	r->version = row->version;
	r->deleted = row->deleted;
	r->len = row->deleted ? 0 : row->value.len;
	r->value = malloc(r->len + 1);
	if (!r->value)
		abort();
	memcpy(r->value, r->len ? row->value.ptr : "", r->len);
	return r;
}

static void row_put(struct gateway *g, enum meta_table table, const struct meta_row *row)
{
	struct gateway_row *added = row_new(row);
	struct gateway_row *r;

	HASH_FIND_STR(g->rows[table], added->key, r);
	if (r)
		row_free(g, table, r);
	g->n_deleted[table] += added->deleted;
	HASH_ADD_STR(g->rows[table], key, added);
}

/* Marks the cached rows of the table that the answer has. */
static void mark_present(struct gateway *g, enum meta_table table, const struct meta_answer *a)
{
	char key[FLEET_NAME_BYTES];
	struct gateway_row *r;

	for (r = g->rows[table]; r; r = r->hh.next)
		r->present = false;
	for (size_t i = 0; i < a->n_rows; i++) {
		snprintf(key, sizeof(key), "%.*s", STR_ARG(a->rows[i].key));
		HASH_FIND_STR(g->rows[table], key, r);
		if (r)
			r->present = true;
	}
}

/*
 * Marks cached rows that the whole table in `a` lacks as deleted. The version of the deletion is
 * not known; that of the answer is its upper bound. Gateways do not delete their rows: one that is
 * missing was lost with a restore of the store, and its gateway writes it again.
 */
static void mark_missing_deleted(struct gateway *g, enum meta_table table,
				 const struct meta_answer *a)
{
	struct gateway_row *r;
	struct gateway_row *tmp;

	if (table == META_ROUTERS && !MUTANT(gateway_drop_lost_routers))
		return;
	mark_present(g, table, a);
	HASH_ITER (hh, g->rows[table], r, tmp) {
		struct meta_row deleted_row = {str_from(r->key), STR_NULL, a->version, true};

		if (!r->deleted && !r->present)
			row_put(g, table, &deleted_row);
	}
}

/* Forgets deleted rows; peers with an older version need the whole table from then on. */
static void drop_deleted(struct gateway *g, enum meta_table table)
{
	struct gateway_row *r;
	struct gateway_row *tmp;

	g->rows_history_start[table] = g->rows_version[table];
	HASH_ITER (hh, g->rows[table], r, tmp) {
		if (r->deleted)
			row_free(g, table, r);
	}
}

/* Sets the value on the wire; `raw_bytes` is the length before compression, 0: not compressed. */
static void compress_value(struct gateway_row *r, Bc__TableRow *row)
{
	uLongf len = compressBound(r->len);

	row->value.data = (uint8_t *)r->value;
	row->value.len = r->len;
	if (r->len < COMPRESS_MIN_BYTES)
		return;
	if (!r->compressed) {
		r->compressed = malloc(len);
		if (!r->compressed)
			abort();
		if (compress2((Bytef *)r->compressed, &len, (const Bytef *)r->value, r->len,
			      Z_BEST_SPEED) != Z_OK)
			abort(); /* the buffer has the size of compressBound() */
		r->compressed_len = len;
	}
	row->value.data = (uint8_t *)r->compressed;
	row->value.len = r->compressed_len;
	row->raw_bytes = (uint32_t)r->len;
}

/* Returns the value of a row from a peer, STR_NULL if its compressed form is invalid. */
static struct str decompress_value(struct arena *a, const Bc__TableRow *row)
{
	uLongf len = row->raw_bytes;
	char *out;

	if (!row->raw_bytes)
		return (struct str){(const char *)row->value.data, row->value.len};
	if (row->raw_bytes > MAX_VALUE_BYTES)
		return STR_NULL;
	out = arena_alloc(a, row->raw_bytes);
	if (uncompress((Bytef *)out, &len, row->value.data, row->value.len) != Z_OK ||
	    len != row->raw_bytes)
		return STR_NULL;
	return (struct str){out, len};
}

static void fill_row(struct gateway_row *r, Bc__TableRow *row)
{
	*row = (Bc__TableRow)BC__TABLE_ROW__INIT;
	row->key = r->key;
	row->version = r->version;
	row->deleted = r->deleted;
	compress_value(r, row);
}

/*
 * Fills `msg` with the rows that changed after version `since`, or with all rows if the cached
 * history starts later. Its memory is that of the arena and of the cached rows.
 */
static void fill_table_copy(struct gateway *g, enum meta_table table, uint64_t since,
			    struct arena *a, Bc__TableCopy *msg)
{
	size_t n = HASH_COUNT(g->rows[table]);
	Bc__TableRow *rows = arena_alloc(a, (n + 1) * sizeof(*rows));
	struct gateway_row *r;

	*msg = (Bc__TableCopy)BC__TABLE_COPY__INIT;
	msg->table = table;
	msg->version = g->rows_version[table];
	msg->since = since >= g->rows_history_start[table] ? since : 0;
	msg->rows = arena_alloc(a, (n + 1) * sizeof(Bc__TableRow *));
	for (r = g->rows[table]; r; r = r->hh.next) {
		Bc__TableRow *row = &rows[msg->n_rows];

		if (msg->since ? r->version <= msg->since : r->deleted)
			continue;
		fill_row(r, row);
		msg->rows[msg->n_rows++] = row;
	}
}

/* Sends rows changed after version `since` to the passive peers that this reader serves. */
static void push_changes(struct gateway *g, enum meta_table table, uint64_t since, bool recovered)
{
	struct arena arena = ARENA_INIT;
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__TableCopy msg;
	struct gateway_peer *p;
	struct gateway_peer *tmp;
	struct readers r;

	if (!since || !has_passive_peers(g))
		return;
	r = list_readers(g, clk_now());
	if (!readers_has(&r, g->node))
		goto out;
	fill_table_copy(g, table, since, &arena, &msg);
	msg.recovered = recovered;
	frame.body_case = BC__FRAME__BODY_TABLE_COPY;
	frame.table_copy = &msg;
	HASH_ITER (hh, g->peer_states, p, tmp) {
		if (!gateway_in_same_region(g, p) || p->reads ||
		    readers_source_of(&r, p->node) != g->node)
			continue;
		ctr_inc(&ctr_pushed);
		gateway_send(g, p->node, &frame);
	}
out:
	arena_free(&arena);
	free(r.nodes);
}

void gateway_cache_rows(struct gateway *g, enum meta_table table, const struct watch_rows *rows)
{
	const struct meta_answer *a = rows->answer;
	uint64_t since = g->rows_version[table];

	if (!is_shared_table(table))
		return;
	if (rows->whole)
		mark_missing_deleted(g, table, a);
	for (size_t i = 0; i < a->n_rows; i++)
		row_put(g, table, &a->rows[i]);
	g->rows_version[table] = a->version;
	catchup_updated(&g->catchup, table);
	/*
	 * Rows deleted before the first read are not known, nor rows of an earlier era that only
	 * peers have read, so the history starts there.
	 */
	if (!g->rows_history_start[table] || (rows->restored && !MUTANT(table_keep_history)))
		g->rows_history_start[table] = a->version;
	if (g->n_deleted[table] > MAX_DELETED_ROWS)
		drop_deleted(g, table);
	if (!watch_is_passive(g->watch))
		push_changes(g, table, since, rows->recovered);
}

/* ---- copies --------------------------------------------------------------------------------- */

void gateway_request_copies(struct gateway *g, uint64_t from, clk_ms now)
{
	static const enum meta_table tables[] = {META_CONFIG, META_UPSTREAMS, META_ROUTERS};

	if (g->copies_requested_at &&
	    now - g->copies_requested_at < backoff_ms(COPY_REQUEST_PAUSE_MS,
						      COPY_REQUEST_PAUSE_MAX_MS,
						      g->copies_requests))
		return;
	g->copies_requested_at = now;
	g->copies_requests++;
	for (size_t i = 0; i < sizeof(tables) / sizeof(tables[0]); i++) {
		Bc__Frame frame = BC__FRAME__INIT;
		Bc__TableGet msg = BC__TABLE_GET__INIT;

		msg.table = tables[i];
		msg.have = watch_version(g->watch, tables[i]);
		frame.body_case = BC__FRAME__BODY_TABLE_GET;
		frame.table_get = &msg;
		gateway_send(g, from, &frame);
	}
}

void gateway_keep_config(struct gateway *g, const struct meta_row *row)
{
	row_release(g->config_row);
	g->config_row = row_new(row);
}

void gateway_request_config(struct gateway *g, clk_ms now)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__TableGet msg = BC__TABLE_GET__INIT;
	struct gateway_peer *p;
	struct gateway_peer *tmp;
	uint64_t era;

	msg.table = META_CONFIG;
	msg.have = watch_version(g->watch, META_CONFIG);
	era = meta_era(msg.have);
	if (now - g->started > REQUEST_CONFIG_MS || MUTANT(gateway_ask_no_config))
		return;
	if (era <= (MUTANT(gateway_ask_always) ? 0 : META_FIRST_ERA))
		return;
	frame.body_case = BC__FRAME__BODY_TABLE_GET;
	frame.table_get = &msg;
	HASH_ITER (hh, g->peer_states, p, tmp) {
		if (p->config_era >= (MUTANT(gateway_ask_once) ? 1 : era))
			continue;
		p->config_era = era;
		gateway_send(g, p->node, &frame);
	}
}

/* Sends the row of the configuration in force, as a copy of the earlier era that it is of. */
static void send_lost_config(struct gateway *g, uint64_t to)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__TableCopy msg = BC__TABLE_COPY__INIT;
	Bc__TableRow row;
	Bc__TableRow *rows[] = {&row};

	fill_row(g->config_row, &row);
	msg.table = META_CONFIG;
	msg.version = g->config_row->version;
	msg.n_rows = 1;
	msg.rows = rows;
	frame.body_case = BC__FRAME__BODY_TABLE_COPY;
	frame.table_copy = &msg;
	gateway_send(g, to, &frame);
}

void gateway_send_copy(struct gateway *g, uint64_t to, const Bc__TableGet *get)
{
	enum meta_table table = (enum meta_table)get->table;
	struct arena arena = ARENA_INIT;
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__TableCopy msg;

	if (get->table >= META_TABLES || !is_shared_table(table))
		return;
	if (table == META_CONFIG && g->config_row &&
	    meta_era(g->config_row->version) < meta_era(get->have))
		send_lost_config(g, to);
	if (g->rows_version[table] <= get->have)
		return;
	ctr_inc(&ctr_copies);
	fill_table_copy(g, table, get->have, &arena, &msg);
	frame.body_case = BC__FRAME__BODY_TABLE_COPY;
	frame.table_copy = &msg;
	gateway_send(g, to, &frame);
	arena_free(&arena);
}

void gateway_apply_copy(struct gateway *g, uint64_t from, const Bc__TableCopy *msg)
{
	struct meta_answer answer = {.status = META_OK, .version = msg->version};
	struct watch_copy copy = {msg->since, msg->recovered, &answer};
	struct arena arena = ARENA_INIT;
	struct meta_row *rows;

	if (msg->table >= META_TABLES || !is_shared_table((enum meta_table)msg->table))
		return;
	rows = calloc(msg->n_rows + 1, sizeof(*rows));
	if (!rows)
		abort();
	for (size_t i = 0; i < msg->n_rows; i++) {
		const Bc__TableRow *row = msg->rows[i];
		struct str value = decompress_value(&arena, row);

		if (!value.ptr && row->raw_bytes) {
			log_error(&log,
				  "cannot decompress row %s from a peer; the table copy is ignored",
				  row->key);
			if (MUTANT(table_copy_abort))
				abort();
			goto out;
		}
		rows[i] = (struct meta_row){
			.key = str_from(row->key),
			.value = value,
			.version = row->version,
			.deleted = row->deleted,
		};
	}
	answer.rows = rows;
	answer.n_rows = msg->n_rows;
	if (msg->table == META_CONFIG &&
	    meta_era(msg->version) < meta_era(watch_version(g->watch, META_CONFIG))) {
		gateway_apply_lost_config(g, rows, msg->n_rows);
		goto out;
	}
	switch (watch_apply_copy(g->watch, (enum meta_table)msg->table, &copy)) {
	case WATCH_GAP:
		gateway_request_copies(g, from, clk_now());
		break;
	case WATCH_APPLIED:
		g->copies_requests = 0;
		break;
	case WATCH_UNUSED:
		break;
	}
out:
	arena_free(&arena);
	free(rows);
}

void gateway_tables_close(struct gateway *g)
{
	struct gateway_row *r;
	struct gateway_row *tmp;

	row_release(g->config_row);
	g->config_row = NULL;
	for (size_t i = 0; i < META_TABLES; i++) {
		HASH_ITER (hh, g->rows[i], r, tmp)
			row_free(g, (enum meta_table)i, r);
	}
}
