/* What the load generator makes of an answer: outcome, check of its content, record, count. */
#include "tool/loadgen_priv.h"

#include <stdio.h>
#include <string.h>
#include <jansson.h>

static const char *outcome_of(const struct httpc_answer *answer)
{
	struct str outcome = httpc_header(answer, "x-outcome");

	if (answer->result != HTTPC_OK)
		return answer->result == HTTPC_CONNECT_FAILED ? "not-sent" : "unknown";
	if (str_eq_cstr(outcome, "completed"))
		return "completed";
	if (str_eq_cstr(outcome, "not-run"))
		return "not-run";
	if (str_eq_cstr(outcome, "unknown"))
		return "unknown";
	/* An upstream that is asked without a router sends no outcome. */
	if (str_eq_cstr(httpc_header(answer, "x-not-run"), "1"))
		return "not-run";
	return answer->status >= 200 && answer->status < 300 ? "completed" : "unknown";
}

static bool json_differs(const json_t *value, struct str expected)
{
	const char *text = json_string_value(value);

	return !text || !str_eq_cstr(expected, text);
}

/* What shows that the answer is not one to this request; NULL if nothing does. */
static const char *find_mismatch(const struct loadgen_attempt *a, const struct httpc_answer *answer,
				 const json_t *body)
{
	struct str echo = httpc_header(answer, "x-request-id");
	char checksum[17];

	snprintf(checksum, sizeof(checksum), "%016llx", (unsigned long long)str_hash(a->body));
	if (a->request_id.len && echo.len && !str_eq(a->request_id, echo))
		return "x-request-id of another request";
	if (!json_is_object(body))
		return "the body is not what an upstream sends";
	if (a->request_id.len && json_differs(json_object_get(body, "request_id"), a->request_id))
		return "request id of another request in the body";
	if (a->key.len && json_differs(json_object_get(body, "key"), a->key))
		return "key of another request in the body";
	if (json_differs(json_object_get(body, "checksum"), str_from(checksum)))
		return "checksum of another request's body";
	return NULL;
}

static json_t *string_or_null(struct str s)
{
	json_t *value = s.len ? json_stringn(s.ptr, s.len) : NULL;

	return value ? value : json_null();
}

static json_t *member_or_null(const json_t *object, const char *name)
{
	json_t *value = json_object_get(object, name);

	return value ? json_incref(value) : json_null();
}

/* What is known about one answer. */
struct verdict {
	const char *outcome;
	const char *check;  /* "ok", "mismatch" or "none" */
	const char *detail; /* of a mismatch, else NULL */
	uint64_t latency_us;
	json_t *body; /* of a success, else NULL */
};

static void record(const struct loadgen_attempt *a, const struct httpc_answer *answer,
		   const struct verdict *v)
{
	const struct loadgen *l = a->load;
	json_t *line = json_pack(
		"{s:I,s:I,s:I,s:s,s:s,s:i,s:s}", "n", (json_int_t)a->number, "utc_ms",
		(json_int_t)a->sent, "latency_us", (json_int_t)v->latency_us, "entry",
		httpc_address(l->entries[a->entry].client), "result",
		httpc_result_name(answer->result), "status", answer->status, "outcome", v->outcome);
	json_t *more = json_pack("{s:o,s:o,s:b,s:b,s:s,s:s,s:o,s:o}", "request_id",
				 string_or_null(a->request_id), "key", string_or_null(a->key),
				 "repeat", a->repeat, "idempotent", l->opt.idempotent, "body_check",
				 v->check, "body_detail", v->detail ? v->detail : "",
				 "answer_request_id", member_or_null(v->body, "request_id"),
				 "answer_upstream", member_or_null(v->body, "upstream"));

	json_object_update(line, more);
	json_dumpf(line, l->out, JSON_COMPACT);
	fputc('\n', l->out);
	json_decref(more);
	json_decref(line);
}

static void count(const struct loadgen_attempt *a, const struct httpc_answer *answer,
		  const struct verdict *v)
{
	char label[80];
	struct stats_sample sample = {
		.sent = a->sent,
		.answered = clk_utc(),
		.latency_us = v->latency_us,
		.label = label,
		.key = a->key.len ? a->key.ptr : NULL,
		.success =
			strcmp(v->outcome, "completed") == 0 && !v->detail && answer->status < 400,
		.repeat = a->repeat,
	};
	const char *prefix = a->repeat ? "repeat " : "";

	if (answer->result == HTTPC_OK)
		snprintf(label, sizeof(label), "%s%d %s", prefix, answer->status, v->outcome);
	else
		snprintf(label, sizeof(label), "%s%s", prefix, httpc_result_name(answer->result));
	stats_add(a->load->stats, &sample);
}

void loadgen_record_answer(const struct loadgen_attempt *a, const struct httpc_answer *answer,
			 uint64_t latency_us)
{
	struct verdict v = {outcome_of(answer), "none", NULL, latency_us, NULL};

	if (answer->result == HTTPC_OK && answer->status >= 200 && answer->status < 300) {
		v.body = json_loadb(answer->body.ptr, answer->body.len, 0, NULL);
		v.detail = find_mismatch(a, answer, v.body);
		v.check = v.detail ? "mismatch" : "ok";
	}
	if (a->load->out)
		record(a, answer, &v);
	count(a, answer, &v);
	json_decref(v.body);
}
