#include "request/opreq.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/ctr.h"
#include "base/log.h"
#include "process/mover.h"
#include "process/svc.h"
#include "version/config.h"
#include "version/plan.h"

static const struct log log = {"opreq"};

CTR(ctr_denied, "operator_requests_denied_total", "Operators' calls without the credential");

/* At most this many key assignments, one per service and region, are given to a plan. */
#define MAX_PLAN_ASSIGNS 256

/* ---- answers ----------------------------------------------------------------------------------
 */

static void reply(struct ingress_request *req, int status, const char *type, struct str body)
{
	struct ingress_header h = {STR_LIT("content-type"), str_from(type)};

	listener_reply(req, status, &h, 1, body);
}

static void reply_json(struct ingress_request *req, int status, json_t *root)
{
	char *text = json_dumps(root, JSON_INDENT(2));

	reply(req, status, "application/json", str_from(text));
	free(text);
	json_decref(root);
}

static void reply_error(struct ingress_request *req, int status, const char *error,
			const char *remedy)
{
	reply_json(req, status, json_pack("{s:s, s:s}", "error", error, "remedy", remedy));
}

static int http_status(enum err_kind kind)
{
	switch (kind) {
	case ERR_INPUT:
	case ERR_SETTINGS:
		return 400;
	case ERR_NOT_FOUND:
		return 404;
	case ERR_CONFLICT:
		return 409;
	case ERR_DENIED:
		return 401;
	case ERR_UNAVAILABLE:
		return 503;
	default:
		return 500;
	}
}

/* ---- status -----------------------------------------------------------------------------------
 */

static const char *state_name(enum broker_upstream_state state)
{
	static const char *const names[] = {
		[BROKER_COLD] = "cold", [BROKER_WARM] = "warm", [BROKER_DRAINING] = "draining",
		[BROKER_OUT] = "out",	[BROKER_LOST] = "lost",
	};

	return names[state];
}

static const char *node_name(const struct node *n, uint64_t node)
{
	const struct peer_info *p;

	if (node == n->self)
		return n->settings->id;
	p = peer_find(n->peers, node);
	return p ? p->id : "";
}

/* At most this many upstreams of one service are in the status answer. */
#define MAX_STATUS_UPSTREAMS 4096

static json_t *status_upstreams(const struct svc *s)
{
	struct broker_load *loads = calloc(MAX_STATUS_UPSTREAMS, sizeof(*loads));
	size_t n = broker_loads(s->broker, loads, MAX_STATUS_UPSTREAMS);
	json_t *list = json_array();

	for (size_t i = 0; i < n && i < MAX_STATUS_UPSTREAMS; i++) {
		json_array_append_new(list,
				      json_pack("{s:s, s:s, s:i, s:i, s:i, s:I, s:I}", "id",
						node_upstream_id(s->node, loads[i].num), "state",
						state_name(loads[i].state), "limit",
						(int)loads[i].limit, "in_use", (int)loads[i].in_use,
						"queued", (int)loads[i].queued, "service_p50_ms",
						(json_int_t)loads[i].service_p50, "completed",
						(json_int_t)loads[i].completed));
	}
	free(loads);
	return list;
}

static json_t *status_service(const struct svc *s, clk_ms now)
{
	json_t *o = json_pack("{s:s, s:s, s:b}", "service", s->name, "broker",
			      node_name(s->node, svc_holder(s, now)), "here", s->held);

	if (s->held)
		json_object_set_new(o, "lease", json_integer((json_int_t)lease_number(s->lease)));
	if (s->assign_row)
		json_object_set_new(o, "assign_version",
				    json_integer((json_int_t)doc_version(s->node->docs,
									 str_from(s->assign_row))));
	if (s->mover)
		json_object_set_new(o, "moves",
				    json_integer((json_int_t)mover_active_moves(s->mover)));
	if (s->broker) {
		json_object_set_new(o, "queued",
				    json_integer((json_int_t)broker_queued(s->broker)));
		json_object_set_new(o, "upstreams", status_upstreams(s));
	}
	return o;
}

static json_t *status_routers(const struct node *n, clk_ms now)
{
	json_t *list = json_array();

	for (size_t i = 0; n->cell && i < n->cell->n_members; i++) {
		const Bc__Member *m = n->cell->members[i];
		uint64_t node = member_node_number(m->id, m->incarnation);
		bool self = node == n->self;
		uint64_t version = self ? (n->config ? n->config->version : 0)
					: node_peer_config_version(n, node);

		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:I, s:b, s:I}", "id", m->id, "failure_domain",
				  m->failure_domain, "config_version", (json_int_t)version,
				  "connected", self || peer_find(n->peers, node) != NULL,
				  "silent_ms",
				  (json_int_t)(self ? 0 : now - node_last_heartbeat(n, node))));
	}
	return list;
}

static void add_alarm(json_t *list, const char *alarm, const char *detail)
{
	json_array_append_new(list, json_pack("{s:s, s:s}", "alarm", alarm, "detail", detail));
}

struct quarantine_alarms {
	json_t *list;
	const char *service;
};

/* Adds an alarm if the requests with this fingerprint are quarantined. `bamboocroft-ctl lift` takes
 * the fingerprint as printed here. */
static void add_quarantine_alarm(void *data, uint64_t fingerprint, uint32_t crashes, clk_ms age)
{
	const struct quarantine_alarms *a = data;
	char detail[300];

	if (crashes < QUARANTINE_CRASHES)
		return;
	snprintf(detail, sizeof(detail), "%.200s: lift with bamboocroft-ctl lift %016" PRIx64,
		 a->service, fingerprint);
	add_alarm(a->list, "request-quarantined", detail);
}

/* Returns the alarms. Their names are listed in docs/operators.md. */
static json_t *status_alarms(const struct node *n, clk_ms now)
{
	json_t *list = json_array();

	if (!n->config)
		add_alarm(list, "no-configuration", "this router holds no configuration");
	if (!store_reachable(n->store))
		add_alarm(list, "store-unreachable", "the table service does not answer");
	if (!n->is_member)
		add_alarm(list, "not-a-member", "this router is not a member of its cell");
	for (const struct svc *s = n->services; s; s = s->next) {
		struct quarantine_alarms quarantine = {list, s->name};

		if (!svc_holder(s, now))
			add_alarm(list, "no-broker", s->name);
		quarantine_each(s->quarantine, now, add_quarantine_alarm, &quarantine);
		for (const struct svc_upstream *u = s->upstreams; s->broker && u; u = u->next) {
			if (u->usable && u->health.state == HEALTH_LOST)
				add_alarm(list, "upstream-lost", node_upstream_id(n, u->num));
		}
	}
	return list;
}

static void on_status(struct node *n, struct ingress_request *req)
{
	clk_ms now = clk_now();
	json_t *services = json_array();
	json_t *root;

	for (const struct svc *s = n->services; s; s = s->next)
		json_array_append_new(services, status_service(s, now));
	root = json_pack("{s:s, s:s, s:s, s:s, s:I, s:I, s:b, s:b, s:b, s:I}", "id",
			 n->settings->id, "incarnation", n->incarnation, "region",
			 n->settings->region, "failure_domain", n->settings->failure_domain,
			 "config_version", (json_int_t)(n->config ? n->config->version : 0),
			 "cell_version", (json_int_t)(n->cell ? n->cell->version : 0), "member",
			 n->is_member, "draining", n->draining, "store_reachable",
			 store_reachable(n->store), "link_bytes_relay",
			 (json_int_t)peer_remote_bytes(n->peers, "relay"));
	json_object_set_new(root, "alarms", status_alarms(n, now));
	json_object_set_new(root, "routers", status_routers(n, now));
	json_object_set_new(root, "services", services);
	reply_json(req, 200, root);
}

/* ---- configuration, events, counters ----------------------------------------------------------
 */

static void on_config(struct node *n, struct ingress_request *req)
{
	struct ingress_header h[2] = {{STR_LIT("content-type"), STR_LIT("application/yaml")}};
	char version[24];
	char *text;

	if (!n->config) {
		reply_error(req, 503, "this router holds no configuration yet",
			    "create one with: bamboocroft-ctl plan apply --file FILE");
		return;
	}
	snprintf(version, sizeof(version), "%" PRIu64, n->config->version);
	h[1].name = STR_LIT("x-config-version");
	h[1].value = str_from(version);
	text = config_to_yaml(n->config);
	listener_reply(req, 200, h, 2, str_from(text));
	free(text);
}

static uint64_t query_number(struct str path, const char *name)
{
	struct str rest;
	uint64_t value = 0;

	str_split(path, '?', &rest);
	while (rest.len) {
		struct str pair = str_split(rest, '&', &rest);
		struct str text;

		if (str_eq_cstr(str_split(pair, '=', &text), name))
			str_to_u64(text, UINT64_MAX, &value);
	}
	return value;
}

static void on_events(struct node *n, struct ingress_request *req)
{
	struct str path = req->path;
	char *text = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&text, &len);

	event_write(n->events, f, query_number(path, "since"), query_number(path, "homed") == 1);
	fclose(f);
	reply(req, 200, "application/x-ndjson", (struct str){text, len});
	free(text);
}

static void on_metrics(struct node *n, struct ingress_request *req)
{
	static const char *const causes[] = {"relay", "doc", "heartbeat", "other"};
	char *text = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&text, &len);

	ctr_render(f);
	fputs("# HELP bamboocroft_link_bytes_total Bytes sent to other regions\n"
	      "# TYPE bamboocroft_link_bytes_total counter\n",
	      f);
	for (size_t i = 0; i < sizeof(causes) / sizeof(causes[0]); i++)
		fprintf(f, "bamboocroft_link_bytes_total{cause=\"%s\"} %" PRIu64 "\n", causes[i],
			peer_remote_bytes(n->peers, causes[i]));
	fclose(f);
	reply(req, 200, "text/plain; version=0.0.4", (struct str){text, len});
	free(text);
}

/* ---- plans ------------------------------------------------------------------------------------
 */

static const char *json_text(const json_t *root, const char *name)
{
	const char *text = json_string_value(json_object_get(root, name));

	return text ? text : "";
}

/* Decodes the assignments that this router holds; a plan shows its effect on their keys. */
static size_t unpack_assigns(const struct node *n, Bc__Assign **out)
{
	size_t count = 0;

	for (const struct doc *d = doc_first(n->docs); d && count < MAX_PLAN_ASSIGNS; d = d->next) {
		Bc__Assign *a;

		if (!str_starts_with(d->row, STR_LIT("assign/")))
			continue;
		a = bc__assign__unpack(NULL, d->body.len, (const uint8_t *)d->body.ptr);
		if (a)
			out[count++] = a;
	}
	return count;
}

static bool make_plan(struct node *n, struct arena *arena, const json_t *root, struct plan *plan,
		      struct err *err)
{
	Bc__Assign *assigns[MAX_PLAN_ASSIGNS];
	size_t n_assigns = unpack_assigns(n, assigns);
	Bc__Config empty = BC__CONFIG__INIT;
	struct plan_inputs in = {
		.config = n->config ? n->config : &empty,
		.assigns = (const Bc__Assign *const *)assigns,
		.n_assigns = n_assigns,
	};
	struct plan_request req = {
		.intent = str_from(json_text(root, "intent")),
		.yaml = str_from(json_text(root, "yaml")),
		.version = (uint64_t)json_integer_value(json_object_get(root, "version")),
		.operator_name = str_from(json_text(root, "operator")),
	};
	bool ok;

	if (req.version == 0)
		req.version = in.config->version;
	ok = plan_make(arena, &in, &req, clk_utc(), plan, err);
	for (size_t i = 0; i < n_assigns; i++)
		bc__assign__free_unpacked(assigns[i], NULL);
	return ok;
}

static void on_plan(struct node *n, struct ingress_request *req, const json_t *root)
{
	struct arena arena = ARENA_INIT;
	struct plan plan = {0};
	struct err err = {0};

	if (!make_plan(n, &arena, root, &plan, &err)) {
		reply_error(req, http_status(err.kind), err.msg,
			    "correct the intent and plan again");
	} else {
		reply_json(req, 200,
			   json_pack("{s:s, s:I, s:b, s:s, s:s}", "plan", plan.id.ptr, "version",
				     (json_int_t)plan.version, "refused", plan.refused, "refusal",
				     plan.refusal.ptr ? plan.refusal.ptr : "", "text",
				     plan.text.ptr ? plan.text.ptr : ""));
	}
	if (plan.result)
		config_free(plan.result);
	arena_free(&arena);
}

/*
 * A confirmation whose write is in progress. It is freed after the write has a result and the
 * operator's request has ended, in either order. The configuration's row is read before the write.
 * After a conflict it is read again before the answer, so that the answer names who changed what.
 */
struct confirm {
	struct node *node;
	struct ingress_request *req; /* NULL after the request has ended */
	bool finished;		     /* the outcome is known */
	uint8_t *body;		     /* encoded configuration to write */
	size_t len;
	json_t *root;	  /* body of the operator's request */
	uint64_t version; /* configuration version that the plan was made from */
	char plan[17];	  /* identity of the plan */
};

static void on_confirm(struct node *n, struct ingress_request *req, const json_t *root);

static void free_confirm(struct confirm *c)
{
	json_decref(c->root);
	free(c->body);
	free(c);
}

static void on_confirm_request_ended(void *data)
{
	struct confirm *c = data;

	c->req = NULL;
	if (c->finished)
		free_confirm(c);
}

static void reply_done(struct ingress_request *req, const char *result, uint64_t version)
{
	reply_json(req, 200,
		   json_pack("{s:s, s:I}", "result", result, "version", (json_int_t)version));
}

static void reply_confirm(struct ingress_request *req, enum store_write_result result,
			  uint64_t version)
{
	switch (result) {
	case STORE_WRITTEN:
		reply_done(req, "done", version);
		break;
	case STORE_CONFLICT:
		reply_error(req, 409, "another configuration was confirmed first; nothing changed",
			    "read it with: bamboocroft-ctl show; then plan again");
		break;
	case STORE_NOT_WRITTEN:
		reply_error(req, 503, "the table service cannot be reached; nothing changed",
			    "confirm the same plan again later");
		break;
	case STORE_UNKNOWN:
		reply_error(req, 504, "it is not known whether the plan took effect",
			    "confirm the same plan again: it is never done twice");
		break;
	}
}

static void emit_plan_event(const struct node *n, const char *kind, const char *plan,
			    uint64_t version)
{
	struct event ev = {.module = "plan", .kind = kind, .version = version};

	ev.plan = str_from(plan);
	event_emit(n->events, &ev);
}

static void emit_outcome_event(const struct confirm *c, enum store_write_result result,
			       uint64_t version)
{
	static const char *const kinds[] = {
		[STORE_WRITTEN] = "plan-confirmed",
		[STORE_CONFLICT] = "plan-overtaken",
		[STORE_NOT_WRITTEN] = "plan-not-written",
		[STORE_UNKNOWN] = "plan-outcome-unknown",
	};

	emit_plan_event(c->node, kinds[result], c->plan, version);
}

static void finish_confirm(struct confirm *c, enum store_write_result result, uint64_t version)
{
	c->finished = true;
	if (c->req)
		reply_confirm(c->req, result, version);
	else
		free_confirm(c);
}

/*
 * Handles a newer configuration in the store's row: applies it and handles the operator's request
 * again, which then fails with a conflict or finds its plan in the ledger, without a write.
 */
static void confirm_on_new_config(struct confirm *c, uint64_t version, struct str body)
{
	struct node *n = c->node;

	node_apply_doc(n, STR_LIT("config"), version, body, "store");
	if (!c->req || !n->config || n->config->version <= c->version) {
		emit_outcome_event(c, STORE_CONFLICT, version);
		finish_confirm(c, STORE_CONFLICT, version);
		return;
	}
	c->finished = true;
	on_confirm(n, c->req, c->root);
}

static void on_conflict_read(void *data, enum store_read_result result, uint64_t version,
			     struct str body)
{
	if (result == STORE_ROW) {
		confirm_on_new_config(data, version, body);
		return;
	}
	emit_outcome_event(data, STORE_CONFLICT, version);
	finish_confirm(data, STORE_CONFLICT, version);
}

static void on_confirm_written(void *data, enum store_write_result result, uint64_t version)
{
	struct confirm *c = data;

	log_info(&log, "confirmation of plan %s ended with result %d", c->plan, (int)result);
	if (result == STORE_CONFLICT) {
		store_read(c->node->store, STR_LIT("config"), 0, on_conflict_read, c);
		return;
	}
	emit_outcome_event(c, result, version);
	if (result == STORE_WRITTEN)
		node_apply_doc(c->node, STR_LIT("config"), version,
			       (struct str){(char *)c->body, c->len}, "written");
	finish_confirm(c, result, version);
}

static void on_config_row_read(void *data, enum store_read_result result, uint64_t version,
			       struct str body)
{
	struct confirm *c = data;

	if (result == STORE_ROW) {
		confirm_on_new_config(c, version, body);
	} else if (result == STORE_READ_FAILED || !c->req) {
		emit_outcome_event(c, STORE_NOT_WRITTEN, c->version);
		finish_confirm(c, STORE_NOT_WRITTEN, c->version);
	} else {
		store_write(c->node->store, STR_LIT("config"), c->version,
			    (struct str){(char *)c->body, c->len}, on_confirm_written, c);
	}
}

/*
 * Writes the configuration of a confirmed plan. Reads the configuration's row first: if the table
 * service does not answer a read, it is certain that nothing changed, but after an unanswered write
 * the outcome is unknown.
 */
static void write_config(struct node *n, struct ingress_request *req, const json_t *root,
			 const struct plan *plan)
{
	struct confirm *c = calloc(1, sizeof(*c));

	c->node = n;
	c->req = req;
	c->root = json_deep_copy(root);
	c->version = plan->version;
	c->len = bc__config__get_packed_size(plan->result);
	c->body = malloc(c->len + 1);
	bc__config__pack(plan->result, c->body);
	snprintf(c->plan, sizeof(c->plan), "%s", plan->id.ptr);
	listener_set_end_callback(req, on_confirm_request_ended, c);
	store_read(n->store, STR_LIT("config"), c->version, on_config_row_read, c);
}

static void reply_refused_confirm(const struct node *n, struct ingress_request *req,
				  const char *plan, const struct err *err)
{
	if (err->kind == ERR_CONFLICT)
		emit_plan_event(n, "plan-overtaken", plan, n->config->version);
	reply_error(req, http_status(err->kind), err->msg, "plan again and read the new plan");
}

static void on_confirm(struct node *n, struct ingress_request *req, const json_t *root)
{
	struct arena arena = ARENA_INIT;
	struct plan plan = {0};
	struct err err = {0};
	const char *id = json_text(root, "plan");
	const Bc__PlanRecord *record = n->config ? plan_find(n->config, str_from(id)) : NULL;

	if (record)
		reply_done(req, "already-done", record->version);
	else if (!make_plan(n, &arena, root, &plan, &err))
		reply_refused_confirm(n, req, id, &err);
	else if (!str_eq_cstr(plan.id, id))
		reply_error(req, 409, "this is not the plan that was shown",
			    "plan again and confirm the plan that is printed");
	else if (plan.refused)
		reply_error(req, 409, "this plan is refused", plan.refusal.ptr);
	else
		write_config(n, req, root, &plan);
	if (plan.result)
		config_free(plan.result);
	arena_free(&arena);
}

/* ---- dispatch ---------------------------------------------------------------------------------
 */

/* Compares in constant time, so that response times do not reveal a matching prefix. */
static bool has_credential(const struct node *n, const struct ingress_request *req)
{
	struct str given = ingress_header(req, "authorization");
	struct str want = str_from(n->settings->operator_credential);
	const struct str prefix = STR_LIT("Bearer ");
	unsigned char difference = 0;

	if (!str_starts_with(given, prefix) || given.len != prefix.len + want.len)
		return false;
	for (size_t i = 0; i < want.len; i++)
		difference |= (unsigned char)given.ptr[prefix.len + i] ^ (unsigned char)want.ptr[i];
	return difference == 0;
}

static void handle_json_body(struct node *n, struct ingress_request *req,
			     void (*handle)(struct node *, struct ingress_request *,
					    const json_t *))
{
	json_error_t parse_error;
	json_t *root =
		json_loadb(req->body.ptr ? req->body.ptr : "", req->body.len, 0, &parse_error);

	if (!json_is_object(root))
		reply_error(req, 400, "the body is not a JSON object",
			    "use bamboocroft-ctl, or see docs/operators.md");
	else
		handle(n, req, root);
	json_decref(root);
}

static const struct {
	const char *method;
	const char *path;
	void (*handle_request)(struct node *, struct ingress_request *);
	void (*handle_object)(struct node *, struct ingress_request *, const json_t *);
} endpoints[] = {
	{"GET", "/status", on_status, NULL}, {"GET", "/config", on_config, NULL},
	{"GET", "/events", on_events, NULL}, {"GET", "/metrics", on_metrics, NULL},
	{"POST", "/plan", NULL, on_plan},    {"POST", "/confirm", NULL, on_confirm},
};

void opreq_on_http(void *data, struct ingress_request *req)
{
	struct node *n = data;
	struct str rest;
	struct str path = str_split(req->path, '?', &rest);

	if (!has_credential(n, req)) {
		ctr_inc(&ctr_denied);
		reply_error(req, 401, "the operators' credential is missing or wrong",
			    "send authorization: Bearer with the credential of the settings");
		return;
	}
	for (size_t i = 0; i < sizeof(endpoints) / sizeof(endpoints[0]); i++) {
		if (!str_eq_cstr(req->method, endpoints[i].method) ||
		    !str_eq_cstr(path, endpoints[i].path))
			continue;
		if (endpoints[i].handle_request)
			endpoints[i].handle_request(n, req);
		else
			handle_json_body(n, req, endpoints[i].handle_object);
		return;
	}
	reply_error(req, 404, "there is no such call", "the calls are listed in docs/operators.md");
}
