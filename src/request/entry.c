#include "request/entry.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"
#include "request/entry_priv.h"

static const struct log log = {"entry"};

CTR(ctr_requests, "requests_total", "Requests received from callers and relays");
CTR(ctr_completed, "requests_completed_total", "Requests answered by an upstream");
CTR(ctr_refused, "requests_not_run_total", "Requests refused without having run");
CTR(ctr_unknown, "requests_unknown_total", "Requests whose outcome is unknown");
CTR(ctr_wrong_region, "requests_wrong_region_total", "Requests refused for their home regions");

#define REQUEST_ID_MIN 8
#define REQUEST_ID_MAX 64

/* ---- start and end -------------------------------------------------------------------------- */

struct entry_list *entry_list_create(struct node *n)
{
	struct entry_list *list = calloc(1, sizeof(*list));

	list->node = n;
	list->next_slot_request = 1;
	return list;
}

static void free_entry(struct entry *e)
{
	arena_free(&e->arena);
	free(e);
}

void entry_list_destroy(struct entry_list *list)
{
	if (!list)
		return;
	while (list->entries) {
		struct entry *e = list->entries;

		list->entries = e->next;
		if (!e->finished)
			entry_cancel_calls(e);
		free_entry(e);
	}
	free(list);
}

size_t entry_list_open(const struct entry_list *list)
{
	return list->open;
}

/* Frees finished entries here, not in entry_finish(), whose callers may still use them. */
void entry_list_tick(struct entry_list *list, clk_ms now)
{
	struct entry **p = &list->entries;

	while (*p) {
		struct entry *e = *p;

		if (!e->finished)
			entry_call_tick(e, now);
		if (e->finished) {
			*p = e->next;
			free_entry(e);
		} else {
			p = &e->next;
		}
	}
}

void entry_finish(struct entry *e, const struct entry_answer *answer)
{
	if (e->finished)
		return;
	e->finished = true;
	e->list->open--;
	entry_cancel_calls(e);
	if (e->relay)
		relay_cancel(e->node->relays, e->relay);
	if (e->source && answer)
		e->source->reply(e->data, answer);
	e->source = NULL;
}

void entry_abandon(struct entry *e)
{
	e->source = NULL;
	if (e->finished)
		return;
	/* A non-idempotent request that may have been sent runs on: its outcome is recorded. */
	if (e->idempotent || !e->svc || (!e->calls[0].call && !e->relay))
		entry_finish(e, NULL);
}

/* ---- refusals ------------------------------------------------------------------------------- */

static void emit_refusal(const struct entry *e, int status, const char *outcome, const char *error)
{
	struct event ev = {.module = "entry", .kind = "request-refused", .cause = str_from(error)};

	/* This region must not store data of a request with other home regions, not even its id. */
	if (status != 421)
		ev.request_id = e->request_id;
	ev.homed = e->homed;
	if (e->svc && status != 421) {
		ev.service = str_from(e->svc->name);
		ev.has_partition = e->svc->keyed;
		ev.partition = e->partition;
	}
	ev.number = (uint64_t)status;
	ev.peer = str_from(outcome);
	ev.version = e->node->config ? e->node->config->version : 0;
	event_emit(e->node->events, &ev);
}

static void refuse_with(struct entry *e, int status, const char *outcome, const char *error,
			const char *remedy, struct upconn_header extra)
{
	struct upconn_header headers[4] = {
		{STR_LIT("content-type"), STR_LIT("application/json")},
		{STR_LIT("x-outcome"), str_from(outcome)},
	};
	struct entry_answer answer = {.status = status, .headers = headers, .n_headers = 2};

	if (extra.name.len)
		headers[answer.n_headers++] = extra;
	answer.body =
		arena_printf(&e->arena, "{\"error\":\"%s\",\"remedy\":\"%s\",\"outcome\":\"%s\"}\n",
			     error, remedy, outcome);
	if (strcmp(outcome, "unknown") == 0)
		ctr_inc(&ctr_unknown);
	else if (strcmp(outcome, "not-run") == 0)
		ctr_inc(&ctr_refused);
	emit_refusal(e, status, outcome, error);
	entry_finish(e, &answer);
}

void entry_refuse_as(struct entry *e, int status, const char *outcome, const char *error,
		     const char *remedy, clk_ms retry_after)
{
	struct upconn_header extra = {0};

	if (e->finished)
		return;
	if (retry_after > 0) {
		extra.name = STR_LIT("retry-after");
		extra.value =
			arena_printf(&e->arena, "%lld", (long long)(retry_after + 999) / 1000);
	}
	refuse_with(e, status, outcome, error, remedy, extra);
}

void entry_refuse(struct entry *e, int status, const char *error, const char *remedy,
		  clk_ms retry_after)
{
	if (e->maybe_ran)
		entry_refuse_as(e, 504, "unknown", error,
				"an earlier attempt may have run; check the state, then send again",
				0);
	else
		entry_refuse_as(e, status, "not-run", error, remedy, retry_after);
}

static void refuse_wrong_region(struct entry *e, const Bc__Region *home)
{
	struct upconn_header extra = {0};

	ctr_inc(&ctr_wrong_region);
	if (home && home->n_entries > 0) {
		extra.name = STR_LIT("x-bamboocroft-entry");
		extra.value = str_from(home->entries[0]);
	}
	refuse_with(e, 421, "not-run", "this request may be served only in its home regions",
		    "send it to the entry named in x-bamboocroft-entry", extra);
}

void entry_list_end(struct entry_list *list)
{
	if (MUTANT(entry_end_silently))
		return;
	/* Entries stay in the list when they finish. */
	for (struct entry *e = list->entries; e; e = e->next) {
		e->maybe_ran |= e->relay || entry_was_sent(e);
		entry_refuse(e, 503, "this router ends", "send it to another router", 1000);
	}
}

/* ---- parsing -------------------------------------------------------------------------------- */

static struct str find_header(const struct entry_input *in, const char *name)
{
	for (size_t i = 0; i < in->n_headers; i++) {
		if (str_eq_cstr(in->headers[i].name, name))
			return in->headers[i].value;
	}
	return STR_NULL;
}

static void copy_input(struct entry *e, const struct entry_input *in)
{
	struct upconn_header *headers =
		arena_alloc(&e->arena, sizeof(*headers) * in->n_headers + 1);

	e->in = *in;
	e->in.method = arena_str(&e->arena, in->method);
	e->in.path = arena_str(&e->arena, in->path);
	for (size_t i = 0; i < in->n_headers; i++) {
		headers[i].name = arena_str(&e->arena, in->headers[i].name);
		headers[i].value = arena_str(&e->arena, in->headers[i].value);
	}
	e->in.headers = headers;
}

static bool valid_request_id(struct str id)
{
	if (id.len < REQUEST_ID_MIN || id.len > REQUEST_ID_MAX)
		return false;
	for (size_t i = 0; i < id.len; i++) {
		char c = id.ptr[i];

		if (!((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
		      c == '.' || c == '_' || c == '-'))
			return false;
	}
	return true;
}

/* Returns a hash of service, route prefix, account, key and body; never 0. */
static uint64_t fingerprint(const struct entry *e)
{
	XXH64_state_t *state = XXH64_createState();
	struct str parts[] = {str_from(e->svc->name), str_from(e->route->prefix), e->account,
			      e->key, e->in.body};
	uint64_t hash;

	XXH64_reset(state, 0);
	for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
		XXH64_update(state, &parts[i].len, sizeof(parts[i].len));
		if (parts[i].len)
			XXH64_update(state, parts[i].ptr, parts[i].len);
	}
	hash = XXH64_digest(state);
	XXH64_freeState(state);
	return hash ? hash : 1;
}

static bool parse_timeout(struct entry *e)
{
	struct str text = find_header(&e->in, "x-timeout-ms");
	uint64_t ms = e->svc->timeout_ms;

	if (text.len && (!str_to_u64(text, NODE_MAX_TIMEOUT_MS, &ms) || ms == 0)) {
		entry_refuse(e, 400, "x-timeout-ms is not a number from 1 to 10000",
			     "give the deadline in milliseconds", 0);
		return false;
	}
	e->deadline = e->started + (clk_ms)ms;
	e->deadline_utc = clk_utc() + (clk_ms)ms;
	return true;
}

static bool parse_ids(struct entry *e)
{
	if (e->svc->keyed && e->key.len == 0) {
		entry_refuse(e, 400, "this service is divided by key and x-key is missing",
			     "send the key in the header x-key", 0);
		return false;
	}
	if (e->request_id.len && !valid_request_id(e->request_id)) {
		e->request_id = STR_NULL;
		entry_refuse(e, 400, "x-request-id is not 8 to 64 characters of A-Z a-z 0-9 . _ -",
			     "send a random id, and the same id when the request is repeated", 0);
		return false;
	}
	if (!e->idempotent && e->request_id.len == 0) {
		entry_refuse(e, 400, "this route is not idempotent and x-request-id is missing",
			     "send a random id, and the same id when the request is repeated", 0);
		return false;
	}
	e->key_hash = str_hash(e->key);
	e->request_id_hash = e->request_id.len ? str_hash(e->request_id) : 0;
	return true;
}

/* ---- serving region ------------------------------------------------------------------------- */

#define MAX_REGIONS 16

/* Lists the regions of the service that may serve the request, in the order of configuration. */
static size_t allowed_regions(const struct entry *e, const Bc__Service *conf, const char **out)
{
	size_t n = 0;
	bool homed;

	for (size_t i = 0; i < conf->n_regions && n < MAX_REGIONS; i++) {
		if (config_home_allows(e->node->config, e->route, e->account,
				       str_from(conf->regions[i]), &homed))
			out[n++] = conf->regions[i];
	}
	return n;
}

static const char *find_region(const char *const *list, size_t n, struct str id)
{
	for (size_t i = 0; i < n; i++) {
		if (str_eq_cstr(id, list[i]))
			return list[i];
	}
	return NULL;
}

/*
 * Returns the region of a non-idempotent request of a service that is not keyed. The request id
 * decides, so that a repeat through a router of another region finds the same record. An id that
 * begins with "REGION." names the region.
 */
static const char *region_of_id(const struct entry *e, const char *const *list, size_t n)
{
	struct str rest;
	const char *named = find_region(list, n, str_split(e->request_id, '.', &rest));

	return named ? named : list[e->request_id_hash % n];
}

/* Returns the region that serves the request; NULL if no region may. */
static const char *serving_region(const struct entry *e, const Bc__Service *conf)
{
	const char *list[MAX_REGIONS];
	const char *own;
	size_t n = allowed_regions(e, conf, list);

	if (n == 0)
		return NULL;
	if (conf->keyed && !e->homed)
		return config_partition_region(e->node->config, conf, e->partition);
	/* Each key with home regions is served in one region only, so that it has one owner. */
	if (conf->keyed)
		return list[0];
	if (!e->idempotent && !MUTANT(entry_runs_anywhere))
		return region_of_id(e, list, n);
	own = find_region(list, n, str_from(e->node->settings->region));
	return own ? own : list[0];
}

static void on_relayed(void *data, enum relay_result result, const struct entry_answer *answer)
{
	struct entry *e = data;

	e->relay = 0;
	switch (result) {
	case RELAY_ANSWERED:
		entry_finish(e, answer);
		break;
	case RELAY_NOT_SENT_UNREACHABLE:
		entry_refuse(e, 503, "the region that serves this key cannot be reached",
			     "try again later", 1000);
		break;
	case RELAY_NOT_SENT_BUDGET:
		entry_refuse(e, 503, "the link between the regions is at its limit",
			     "try again later", 1000);
		break;
	case RELAY_UNKNOWN:
		e->maybe_ran = true;
		entry_refuse(e, 504, "no answer from the region that serves this key", "", 0);
		break;
	}
}

static void start_relay(struct entry *e, const char *region)
{
	uint64_t id;

	if (e->in.relayed) {
		entry_refuse(e, 503, "this region does not serve the key", "send it again", 1000);
		return;
	}
	id = relay_send(e->node->relays, str_from(region), &e->in, e->deadline - e->started,
			on_relayed, e);
	if (!e->finished)
		e->relay = id;
}

/* ---- routing -------------------------------------------------------------------------------- */

static bool check_home(struct entry *e)
{
	const Bc__Config *c = e->node->config;

	e->account = find_header(&e->in, "x-account");
	if (config_home_allows(c, e->route, e->account, str_from(e->node->settings->region),
			       &e->homed))
		return true;
	refuse_wrong_region(e, config_home_region(c, e->route, e->account));
	return false;
}

static void route_request(struct entry *e)
{
	struct node *n = e->node;
	const Bc__Service *conf;
	const char *region;

	if (!n->config) {
		entry_refuse(e, 503, "no configuration yet", "try again later", 1000);
		return;
	}
	e->route = config_route(n->config, e->in.path);
	if (!e->route) {
		entry_refuse(e, 404, "no route matches this path",
			     "check the path, or have an operator add the route", 0);
		return;
	}
	if (!check_home(e))
		return;
	conf = config_service(n->config, str_from(e->route->service));
	e->svc = svc_find(n, str_from(e->route->service));
	e->idempotent = e->route->idempotent;
	e->key = find_header(&e->in, "x-key");
	e->request_id = find_header(&e->in, "x-request-id");
	if (!conf || !e->svc || !parse_timeout(e) || !parse_ids(e))
		return;
	if (conf->keyed)
		e->partition = config_partition(conf, e->key_hash);
	/* Copied after check_home(): bodies with other home regions must not be stored here. */
	e->in.body = arena_str(&e->arena, e->in.body);
	e->fingerprint = fingerprint(e);
	region = serving_region(e, conf);
	if (!region)
		entry_refuse(e, 503, "the service stands in none of the home regions",
			     "have an operator add upstreams there", 0);
	else if (strcmp(region, n->settings->region) != 0)
		start_relay(e, region);
	else
		entry_request_slot(e, &e->calls[0]);
}

struct entry *entry_start_request(struct entry_list *list, const struct entry_input *in,
				  const struct entry_source *source, void *data)
{
	struct entry *e = calloc(1, sizeof(*e));

	ctr_inc(&ctr_requests);
	e->list = list;
	e->node = list->node;
	e->source = source;
	e->data = data;
	e->started = clk_now();
	e->calls[0].entry = e;
	e->calls[1].entry = e;
	e->calls[1].is_hedge = true;
	e->next = list->entries;
	list->entries = e;
	list->open++;
	copy_input(e, in);
	route_request(e);
	return e;
}

/* ---- HTTP callers --------------------------------------------------------------------------- */

struct http_caller {
	struct ingress_request *req;
	struct entry *entry;
};

static void reply_http(void *data, const struct entry_answer *a)
{
	struct http_caller *h = data;
	struct ingress_header *headers = calloc(a->n_headers + 1, sizeof(*headers));
	size_t n = 0;

	for (size_t i = 0; i < a->n_headers; i++)
		headers[n++] = (struct ingress_header){a->headers[i].name, a->headers[i].value};
	if (a->status < 500 && a->status != 421)
		ctr_inc(&ctr_completed);
	h->entry = NULL;
	listener_reply(h->req, a->status, headers, n, a->body);
	free(headers);
}

static const struct entry_source http_source = {.reply = reply_http};

static void on_http_closed(void *data)
{
	struct http_caller *h = data;

	if (h->entry)
		entry_abandon(h->entry);
	free(h);
}

void entry_on_http(void *data, struct ingress_request *req)
{
	struct node *n = data;
	struct http_caller *h = calloc(1, sizeof(*h));
	struct entry_input in = {
		.method = req->method,
		.path = req->path,
		.body = req->body,
	};
	struct upconn_header *headers = calloc(req->n_headers + 1, sizeof(*headers));
	struct entry *e;

	for (size_t i = 0; i < req->n_headers; i++) {
		headers[i].name = req->headers[i].name;
		headers[i].value = req->headers[i].value;
	}
	in.headers = headers;
	in.n_headers = req->n_headers;
	h->req = req;
	listener_set_end_callback(req, on_http_closed, h);
	e = entry_start_request(n->entries, &in, &http_source, h);
	if (!e->finished)
		h->entry = e;
	free(headers);
	/* The path may contain a key, so only the route is logged. */
	log_debug(&log, "request for route %s", e->route ? e->route->prefix : "(none)");
}
