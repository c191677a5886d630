/* Applies rows of the store: configuration, evacuations and registered upstreams. */
#include "process/gateway_priv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"

/*
 * Registrations of upstreams that expired while the store was not available are renewed within this
 * time after it is back; until then these upstreams stay usable.
 */
#define LAPSED_GRACE_MS 2000
/*
 * An evacuation that a restored store lacks stays in force for this time, in which operators write
 * again what was lost.
 */
#define LOST_EVACUATION_GRACE_MS 5000

static const struct log log = {"documents"};
CTR(ctr_configs, "configurations_total", "Configurations that came into force.");
CTR(ctr_bad_config, "configurations_bad_total", "Configurations that could not be read.");
CTR(ctr_bad_row, "registrations_bad_total", "Registrations of upstreams that name none.");
CTR_GAUGE(
	gauge_era, "store_era",
	"Era of the store to which all tables belong; lower than at other gateways: out of date.");
CTR(ctr_restored, "tables_restored_total", "Tables that were taken over from a restored store.");

/* ---- configuration -------------------------------------------------------------------------- */

static void apply_config(struct gateway *g, const struct meta_row *row)
{
	struct err err = {0};
	struct topo *topo = g->platform->config(row->value, &err);

	if (!topo) {
		ctr_inc(&ctr_bad_config);
		log_error(&log, "the configuration at row %llu stays unused: %s",
			  (unsigned long long)row->version, err.msg);
		return;
	}
	if (g->topo && topo->version < g->topo->version && !MUTANT(gateway_revert_config)) {
		log_warn(&log, "configuration %llu is older than %llu in force; it stays unused",
			 (unsigned long long)topo->version, (unsigned long long)g->topo->version);
		topo_destroy(topo);
		return;
	}
	log_info(&log, "configuration %llu in force (row %llu): %zu services, %zu hosts",
		 (unsigned long long)topo->version, (unsigned long long)row->version,
		 topo->n_services, topo->n_hosts);
	ctr_inc(&ctr_configs);
	topo_retire(g->topo);
	g->topo = topo;
	gateway_keep_config(g, row);
	gateway_limits_configure(g);
}

void gateway_apply_lost_config(struct gateway *g, const struct meta_row *rows, size_t n)
{
	struct topo *before = g->topo;

	for (size_t i = 0; i < n; i++) {
		struct err err = {0};
		struct topo *topo;

		if (!g->platform->is_config(rows[i].key) || rows[i].deleted)
			continue;
		topo = g->platform->config(rows[i].value, &err);
		if (topo && (!g->topo || topo->version > g->topo->version)) {
			log_warn(&log,
				 "the restored store lacks configuration %llu, which peers have",
				 (unsigned long long)topo->version);
			apply_config(g, &rows[i]);
		}
		topo_destroy(topo);
	}
	if (g->topo != before)
		gateway_sync_services(g);
}

static struct gateway_evacuation *find_evacuation(const struct gateway *g, struct str domain)
{
	char name[FLEET_NAME_BYTES];
	struct gateway_evacuation *e;

	snprintf(name, sizeof(name), "%.*s", STR_ARG(domain));
	HASH_FIND_STR(g->evacuated, name, e);
	return e;
}

static void begin_evacuation(struct gateway *g, struct str domain)
{
	struct gateway_evacuation *e = find_evacuation(g, domain);

	if (!e) {
		e = calloc(1, sizeof(*e));
		if (!e)
			abort();
		snprintf(e->failure_domain, sizeof(e->failure_domain), "%.*s", STR_ARG(domain));
		HASH_ADD_STR(g->evacuated, failure_domain, e);
		log_info(&log, "failure domain %s is evacuated", e->failure_domain);
	}
	e->ends_at = CLK_NEVER;
	e->in_full_read = true;
}

static void end_evacuation(struct gateway *g, struct gateway_evacuation *e)
{
	log_info(&log, "failure domain %s is no longer evacuated", e->failure_domain);
	HASH_DEL(g->evacuated, e);
	free(e);
}

/* The row of an evacuation is gone: operators have ended it, or a restore of the store lost it. */
static void evacuation_gone(struct gateway *g, struct gateway_evacuation *e, bool restored)
{
	if (!restored || MUTANT(gateway_end_lost)) {
		end_evacuation(g, e);
		return;
	}
	e->ends_at = clk_now() + LOST_EVACUATION_GRACE_MS;
	e->answer_seen = 0;
	log_warn(&log,
		 "the restored store lacks the evacuation of %s; it ends in %d ms unless it is "
		 "written again",
		 e->failure_domain, LOST_EVACUATION_GRACE_MS);
}

static void clear_evacuated(struct gateway *g)
{
	struct gateway_evacuation *e;
	struct gateway_evacuation *tmp;

	HASH_ITER (hh, g->evacuated, e, tmp) {
		HASH_DEL(g->evacuated, e);
		free(e);
	}
}

static void update_fleet_evacuated(struct gateway *g)
{
	size_t n = HASH_COUNT(g->evacuated);
	struct str *domains = calloc(n + 1, sizeof(*domains));
	struct gateway_evacuation *e;
	size_t i = 0;

	if (!domains)
		abort();
	for (e = g->evacuated; e; e = e->hh.next)
		domains[i++] = str_from(e->failure_domain);
	fleet_set_evacuated(g->fleet, domains, n);
	free(domains);
}

static void on_config_rows(struct gateway *g, const struct watch_rows *rows)
{
	const struct meta_answer *a = rows->answer;
	struct gateway_evacuation *e;
	struct gateway_evacuation *tmp;
	struct str domain;

	for (e = g->evacuated; e; e = e->hh.next)
		e->in_full_read = !rows->whole;
	for (size_t i = 0; i < a->n_rows; i++) {
		const struct meta_row *row = &a->rows[i];

		if (g->platform->is_config(row->key) && !row->deleted) {
			apply_config(g, row);
		} else if (g->platform->is_evacuation(row->key, &domain)) {
			e = find_evacuation(g, domain);
			if (!row->deleted)
				begin_evacuation(g, domain);
			else if (e)
				evacuation_gone(g, e, rows->restored);
		}
	}
	HASH_ITER (hh, g->evacuated, e, tmp) {
		bool again = rows->restored && !MUTANT(gateway_lose_once);

		/* One that an earlier restore lost gets the whole time once more. */
		if (!e->in_full_read && (e->ends_at == CLK_NEVER || again))
			evacuation_gone(g, e, rows->restored);
	}
	update_fleet_evacuated(g);
}

/* Ends the evacuations that were not written again when the store answered after their end. */
static void end_lost_evacuations(struct gateway *g, clk_ms now, clk_ms answered)
{
	struct gateway_evacuation *e;
	struct gateway_evacuation *tmp;
	bool ended = false;

	HASH_ITER (hh, g->evacuated, e, tmp) {
		if (now < e->ends_at)
			continue;
		if (!e->answer_seen && answered >= e->ends_at)
			e->answer_seen = now;
		if (!MUTANT(gateway_end_unseen) &&
		    (!e->answer_seen || now - e->answer_seen < FLEET_ANSWER_KNOWN_MS))
			continue;
		end_evacuation(g, e);
		ended = true;
	}
	if (!ended)
		return;
	update_fleet_evacuated(g);
	gateway_sync_services(g);
}

void gateway_end_lost(struct gateway *g, clk_ms now)
{
	clk_ms answered = gateway_store_answered_at(g);

	end_lost_evacuations(g, now, answered);
	g->awaits_lost = fleet_await_lost(g->fleet, now, answered);
	for (struct gateway_evacuation *e = g->evacuated; e; e = e->hh.next)
		g->awaits_lost = g->awaits_lost || e->ends_at != CLK_NEVER;
}

/* ---- upstreams ------------------------------------------------------------------------------ */

static void log_registration(const struct fleet_info *info, uint64_t row)
{
	log_info(&log,
		 "upstream %.*s: %.*s at %s:%u in %.*s, %u slots, %s, cold for %lld ms, row %llu",
		 STR_ARG(info->id), STR_ARG(info->service), info->ip, info->port,
		 STR_ARG(info->failure_domain), info->slots, info->draining ? "draining" : "ready",
		 (long long)info->cold_left, (unsigned long long)row);
}

/* Whether the row may be from before a restore of the store; every whole read has it again. */
static bool may_be_outdated(const struct gateway *g, const struct watch_rows *rows,
			    const struct meta_row *row)
{
	return rows->restored ||
	       (row->version <= g->restored_upstream_row && !MUTANT(gateway_reread_outdated));
}

static void on_upstream_rows(struct gateway *g, const struct watch_rows *rows)
{
	const struct meta_answer *a = rows->answer;
	clk_ms now = clk_now();
	bool may_return = rows->recovered || rows->restored;
	clk_ms removed_at = may_return ? now + LAPSED_GRACE_MS : now;
	/* Rows up to this version were read before; their log lines were written then. */
	uint64_t logged = a->version < g->newest_upstream_row ? 0 : g->newest_upstream_row;
	struct arena arena = ARENA_INIT;
	size_t outdated = 0;

	if (rows->whole)
		fleet_begin_full_read(g->fleet);
	if (rows->restored)
		g->restored_upstream_row = a->version;
	g->newest_upstream_row = logged;
	for (size_t i = 0; i < a->n_rows; i++) {
		const struct meta_row *row = &a->rows[i];
		struct fleet_info info;
		struct err err = {0};

		if (row->version > g->newest_upstream_row)
			g->newest_upstream_row = row->version;
		if (row->deleted) {
			log_info(&log, "upstream %.*s is no longer registered (row %llu)",
				 STR_ARG(row->key), (unsigned long long)row->version);
			fleet_remove(g->fleet, row->key, removed_at);
		} else if (g->platform->registration(&arena, row, &info, &err)) {
			if (may_be_outdated(g, rows, row) && fleet_keep_newer(g->fleet, &info))
				outdated++;
			else if (fleet_put(g->fleet, now, &info))
				log_registration(&info, row->version);
		} else {
			ctr_inc(&ctr_bad_row);
			if (row->version > logged || MUTANT(gateway_log_each_read))
				log_warn(&log, "invalid registration %.*s: %s", STR_ARG(row->key),
					 err.msg);
			fleet_remove(g->fleet, row->key, now);
		}
	}
	if (rows->whole && rows->restored)
		fleet_end_restored_read(g->fleet, now, removed_at);
	else if (rows->whole)
		fleet_end_full_read(g->fleet, removed_at);
	if (rows->restored)
		log_info(&log,
			 "upstreams after a restore of the store: %zu rows, %zu of them older than "
			 "what is known",
			 a->n_rows, outdated);
	g->have_upstreams = true;
	arena_free(&arena);
}

/* ---- all tables ----------------------------------------------------------------------------- */

void gateway_sync_services(struct gateway *g)
{
	clk_ms now = clk_now();
	struct gateway_service *s;

	if (!g->topo)
		return;
	slots_sync(g->slots, g->topo, g->fleet, now);
	for (size_t i = 0; i < g->topo->n_services; i++)
		gateway_configure_service(g, &g->topo->services[i]);
	for (s = g->services; s; s = s->hh.next) {
		if (s->shardmgr)
			shardmgr_fleet_changed(s->shardmgr);
	}
}

/* Returns the lowest era of the tables as this gateway knows them, 0 if one is not known. */
static uint64_t lowest_era(const struct gateway *g)
{
	static const enum meta_table tables[] = {META_CONFIG, META_UPSTREAMS, META_ROUTERS};
	uint64_t lowest = META_MAX_ERA;

	for (size_t i = 0; i < sizeof(tables) / sizeof(tables[0]); i++) {
		uint64_t era = meta_era(watch_version(g->watch, tables[i]));

		if (era < lowest)
			lowest = era;
	}
	return lowest;
}

void gateway_on_rows(void *gateway, enum meta_table table, const struct watch_rows *rows)
{
	struct gateway *g = gateway;

	gateway_cache_rows(g, table, rows);
	ctr_set(&gauge_era, lowest_era(g));
	if (rows->restored) {
		ctr_inc(&ctr_restored);
		log_warn(&log, "table %d is of era %llu of the store now, version %llu", (int)table,
			 (unsigned long long)meta_era(rows->answer->version),
			 (unsigned long long)meta_counter(rows->answer->version));
	}
	switch (table) {
	case META_CONFIG:
		on_config_rows(g, rows);
		break;
	case META_UPSTREAMS:
		on_upstream_rows(g, rows);
		break;
	case META_ROUTERS:
		gateway_on_router_rows(g, rows->answer);
		return;
	case META_KEYS:
	case META_TABLES:
		return;
	}
	gateway_sync_services(g);
}

void gateway_docs_close(struct gateway *g)
{
	clear_evacuated(g);
	gateway_tables_close(g);
	topo_retire(g->topo);
}
