/* Load generator: classifies each answer, checks its content, records it and counts it. */
#include "tool/loadgen_priv.h"

#include <stdio.h>
#include <string.h>
#include <jansson.h>

/* Returns the outcome of an attempt: "completed", "not-run", "unknown" or "not-sent". */
static const char *classify_outcome(const struct httpc_answer *answer)
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
	/*
	 * An upstream that is called directly, not through a router, sends no x-outcome. It marks a
	 * request that it did not run with x-not-run; otherwise the status decides.
	 */
	if (str_eq_cstr(httpc_header(answer, "x-not-run"), "1"))
		return "not-run";
	return answer->status >= 200 && answer->status < 300 ? "completed" : "unknown";
}

/* Whether `value` is not the string `expected`. */
static bool json_differs(const json_t *value, struct str expected)
{
	const char *text = json_string_value(value);

	return !text || !str_eq_cstr(expected, text);
}

/* Returns why the answer cannot belong to this request; NULL if its content matches. */
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

/* Result of classifying and checking one answer. */
struct evaluation {
	const char *outcome; /* see classify_outcome() */
	const char *check;   /* "ok", "mismatch", or "none" if the status is not 2xx */
	const char *detail;  /* reason of a mismatch, else NULL */
	uint64_t latency_us;
	json_t *body; /* parsed body of a 2xx answer, else NULL */
};

/* Writes the attempt and its answer as a JSON line to the output file. */
static void write_record(const struct loadgen_attempt *a, const struct httpc_answer *answer,
			 const struct evaluation *ev)
{
	const struct loadgen *l = a->gen;
	json_t *line = json_pack("{s:I,s:I,s:I,s:s,s:s,s:i,s:s}", "n", (json_int_t)a->seq, "utc_ms",
				 (json_int_t)a->sent, "latency_us", (json_int_t)ev->latency_us,
				 "entry", httpc_address(l->entries[a->entry].client), "result",
				 httpc_result_name(answer->result), "status", answer->status,
				 "outcome", ev->outcome);
	json_t *caller_fields = json_pack(
		"{s:o,s:o,s:b,s:b,s:s,s:s,s:o,s:o}", "request_id", string_or_null(a->request_id),
		"key", string_or_null(a->key), "repeat", a->repeat, "idempotent", l->opt.idempotent,
		"body_check", ev->check, "body_detail", ev->detail ? ev->detail : "",
		"answer_request_id", member_or_null(ev->body, "request_id"), "answer_upstream",
		member_or_null(ev->body, "upstream"));

	json_object_update(line, caller_fields);
	json_dumpf(line, l->out, JSON_COMPACT);
	fputc('\n', l->out);
	json_decref(caller_fields);
	json_decref(line);
}

static void add_to_stats(const struct loadgen_attempt *a, const struct httpc_answer *answer,
			 const struct evaluation *ev)
{
	char label[80];
	struct stats_sample sample = {
		.sent = a->sent,
		.answered = clk_utc(),
		.latency_us = ev->latency_us,
		.label = label,
		.key = a->key.len ? a->key.ptr : NULL,
		.success = strcmp(ev->outcome, "completed") == 0 && !ev->detail &&
			   answer->status < 400,
		.repeat = a->repeat,
	};
	const char *prefix = a->repeat ? "repeat " : "";

	if (answer->result == HTTPC_OK)
		snprintf(label, sizeof(label), "%s%d %s", prefix, answer->status, ev->outcome);
	else
		snprintf(label, sizeof(label), "%s%s", prefix, httpc_result_name(answer->result));
	stats_add(a->gen->stats, &sample);
}

void loadgen_record_answer(const struct loadgen_attempt *a, const struct httpc_answer *answer,
			   uint64_t latency_us)
{
	struct evaluation ev = {classify_outcome(answer), "none", NULL, latency_us, NULL};

	if (answer->result == HTTPC_OK && answer->status >= 200 && answer->status < 300) {
		ev.body = json_loadb(answer->body.ptr, answer->body.len, 0, NULL);
		ev.detail = find_mismatch(a, answer, ev.body);
		ev.check = ev.detail ? "mismatch" : "ok";
	}
	if (a->gen->out)
		write_record(a, answer, &ev);
	add_to_stats(a, answer, &ev);
	json_decref(ev.body);
}
