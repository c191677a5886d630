#include "standin/faults.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Arguments of a call of `perform` or of answer_now() that the exchange's timer delays. */
struct delayed_call {
	struct faults *faults;
	httpd_handler perform;
	int status;
	const char *type;
	struct str body;
};

static void apply_down(void *data, const json_t *value)
{
	struct faults *f = data;

	httpd_set_down(f->httpd, json_is_true(value));
}

static void apply_slow(void *data, const json_t *value)
{
	struct faults *f = data;

	f->slow_ms = json_integer_value(value);
}

static void apply_drop(void *data, const json_t *value)
{
	struct faults *f = data;

	f->drop_answers = (uint64_t)json_integer_value(value);
}

static void apply_freeze(void *data, const json_t *value)
{
	struct faults *f = data;

	httpd_freeze(f->httpd, json_integer_value(value));
}

static void apply_crash(void *data, const json_t *value)
{
	struct faults *f = data;
	const char *text = json_string_value(value);

	free(f->crash_on);
	f->crash_on = *text ? strdup(text) : NULL;
}

static void apply_silent(void *data, const json_t *value)
{
	struct faults *f = data;

	f->silent_up_to = json_is_true(value) ? httpd_newest_connection(f->httpd) : 0;
}

static void apply_late(void *data, const json_t *value)
{
	struct faults *f = data;

	f->late_answer_ms = json_integer_value(value);
}

static void apply_truncate(void *data, const json_t *value)
{
	struct faults *f = data;

	f->truncate = (uint64_t)json_integer_value(value);
}

static const struct fault_switch common_switches[] = {
	{"down", FAULT_BOOL, apply_down},
	{"slow_ms", FAULT_COUNT, apply_slow},
	{"drop_answers", FAULT_COUNT, apply_drop},
	{"freeze_ms", FAULT_COUNT, apply_freeze},
	{"crash_on", FAULT_TEXT, apply_crash},
	{"silent_connections", FAULT_BOOL, apply_silent},
	{"late_answer_ms", FAULT_COUNT, apply_late},
	{"truncate", FAULT_COUNT, apply_truncate},
	{NULL, FAULT_BOOL, NULL},
};

static const struct fault_switch no_switches[] = {{NULL, FAULT_BOOL, NULL}};

static const char *const kind_texts[] = {
	[FAULT_BOOL] = "true or false",
	[FAULT_COUNT] = "a whole number from 0",
	[FAULT_FACTOR] = "a number above 0",
	[FAULT_TEXT] = "a string, \"\" for off",
};

static bool kind_matches(enum fault_kind kind, const json_t *value)
{
	switch (kind) {
	case FAULT_BOOL:
		return json_is_boolean(value);
	case FAULT_COUNT:
		return json_is_integer(value) && json_integer_value(value) >= 0;
	case FAULT_FACTOR:
		return json_is_number(value) && json_number_value(value) > 0;
	case FAULT_TEXT:
		return json_is_string(value);
	}
	return false;
}

static const struct fault_switch *find_switch(const struct fault_switch *table, const char *name)
{
	for (; table->name; table++) {
		if (strcmp(table->name, name) == 0)
			return table;
	}
	return NULL;
}

static void list_names(const struct fault_switch *table, char *out, size_t size)
{
	for (; table->name; table++) {
		size_t used = strlen(out);

		snprintf(out + used, size - used, "%s%s", used ? ", " : "", table->name);
	}
}

static bool check_switches(const struct fault_switch *extra, json_t *switches, struct err *err)
{
	const char *name;
	json_t *value;

	json_object_foreach(switches, name, value)
	{
		const struct fault_switch *s = find_switch(common_switches, name);

		if (!s)
			s = find_switch(extra, name);
		if (!s) {
			char names[400] = "";

			list_names(common_switches, names, sizeof(names));
			list_names(extra, names, sizeof(names));
			return err_set(err, ERR_INPUT, "no switch \"%.60s\"; use one of: %s", name,
				       names);
		}
		if (!kind_matches(s->kind, value))
			return err_set(err, ERR_INPUT, "switch \"%s\" has a bad value; give %s",
				       name, kind_texts[s->kind]);
	}
	return true;
}

bool faults_control(struct faults *f, struct exchange *x)
{
	const struct fault_switch *extra = f->extra ? f->extra : no_switches;
	json_t *switches;
	struct err err;
	const char *name;
	json_t *value;

	if (!exchange_is(x, "POST", "/control"))
		return false;
	switches = json_loadb(x->body.ptr, x->body.len, 0, NULL);
	if (!json_is_object(switches)) {
		exchange_error(x, 400, "the body is not a JSON object",
			       "send an object of switches, such as {\"slow_ms\":100}");
	} else if (!check_switches(extra, switches, &err)) {
		exchange_error(x, 400, err.msg, "correct the object and send it again");
	} else {
		json_object_foreach(switches, name, value)
		{
			const struct fault_switch *s = find_switch(common_switches, name);

			if (s)
				s->apply(f, value);
			else
				find_switch(extra, name)->apply(f->owner_data, value);
		}
		exchange_reply_json(x, 200, json_pack("{s:O}", "set", switches));
	}
	json_decref(switches);
	return true;
}

bool faults_silent(const struct faults *f, const struct exchange *x)
{
	return x->connection <= f->silent_up_to;
}

void faults_crash(struct faults *f, const struct exchange *x)
{
	bool crash = str_eq_cstr(exchange_header(x, "x-crash"), "1");

	if (!crash && f->crash_on && x->body.len)
		crash = memmem(x->body.ptr, x->body.len, f->crash_on, strlen(f->crash_on));
	if (!crash)
		return;
	if (f->before_crash)
		f->before_crash(f->owner_data, x);
	_exit(FAULTS_CRASH_EXIT);
}

static struct exchange *exchange_of(struct httpd_timer *t)
{
	return H2O_STRUCT_FROM_MEMBER(struct exchange, timer, t);
}

static void perform_delayed(struct httpd_timer *t)
{
	struct exchange *x = exchange_of(t);
	struct delayed_call *d = x->user;

	x->user = NULL;
	d->perform(d->faults->owner_data, x);
}

void faults_perform(struct faults *f, struct exchange *x, httpd_handler perform)
{
	struct delayed_call *d;

	if (faults_silent(f, x))
		return;
	faults_crash(f, x);
	if (!f->slow_ms) {
		perform(f->owner_data, x);
		return;
	}
	d = arena_alloc(&x->arena, sizeof(*d));
	*d = (struct delayed_call){.faults = f, .perform = perform};
	x->user = d;
	x->timer.cb = perform_delayed;
	httpd_timer_start(x->httpd, &x->timer, f->slow_ms);
}

static void answer_now(struct faults *f, struct exchange *x, int status, const char *type,
		       struct str body)
{
	if (faults_silent(f, x))
		return;
	if (f->drop_answers && !x->exempt) {
		f->drop_answers--;
		exchange_drop(x);
	} else if (f->truncate && !x->exempt && body.len > 1) {
		f->truncate--;
		exchange_truncate(x, status, type, body);
	} else {
		exchange_reply(x, status, type, body);
	}
}

static void answer_delayed(struct httpd_timer *t)
{
	struct exchange *x = exchange_of(t);
	struct delayed_call *d = x->user;

	x->user = NULL;
	answer_now(d->faults, x, d->status, d->type, d->body);
}

void faults_answer(struct faults *f, struct exchange *x, int status, const char *type,
		   struct str body)
{
	struct delayed_call *d;

	x->on_disconnect = NULL;
	if (!f->late_answer_ms) {
		answer_now(f, x, status, type, body);
		return;
	}
	d = arena_alloc(&x->arena, sizeof(*d));
	*d = (struct delayed_call){
		.faults = f, .status = status, .type = type, .body = arena_str(&x->arena, body)};
	x->user = d;
	x->timer.cb = answer_delayed;
	httpd_timer_start(x->httpd, &x->timer, f->late_answer_ms);
}

void faults_answer_json(struct faults *f, struct exchange *x, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	faults_answer(f, x, status, "application/json", str_from(text));
	free(text);
}
