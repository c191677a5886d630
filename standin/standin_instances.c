/*
 * Stand-in for the platform's list of instances. POST /instances on the control port changes the
 * list; GET /instances on the service port shows each change after a configurable lag.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "standin/args.h"
#include "standin/faults.h"
#include "standin/httpd.h"

#define DEFAULT_LAG_MS 2000
#define MAX_SNAPSHOTS 4096

/* The list after one change. */
struct snapshot {
	clk_ms created_at;
	json_t *list; /* object: id -> instance */
};

struct instances {
	struct httpd *httpd;
	struct faults faults;
	clk_ms lag_ms;
	/* Oldest first; the service port shows the first one. */
	struct snapshot snapshots[MAX_SNAPSHOTS];
	size_t n_snapshots;
	uint64_t reads;
};

static const struct log lg = {"instances"};

static json_t *newest_list(const struct instances *s)
{
	return s->snapshots[s->n_snapshots - 1].list;
}

static void drop_oldest_snapshot(struct instances *s)
{
	json_decref(s->snapshots[0].list);
	s->n_snapshots--;
	memmove(s->snapshots, s->snapshots + 1, s->n_snapshots * sizeof(s->snapshots[0]));
}

/* Drops the snapshots that are older than the visible one; returns the visible list. */
static json_t *visible_list(struct instances *s)
{
	clk_ms now = clk_now();

	while (s->n_snapshots > 1 && s->snapshots[1].created_at + s->lag_ms <= now)
		drop_oldest_snapshot(s);
	return s->snapshots[0].list;
}

static json_t *render_list(json_t *list)
{
	json_t *array = json_array();
	const char *id;
	json_t *instance;

	json_object_foreach(list, id, instance)
	{
		json_array_append(array, instance);
	}
	return json_pack("{s:o}", "instances", array);
}

static bool check_instance(const json_t *instance, const json_t *known, struct err *err)
{
	const char *id = json_string_value(json_object_get(instance, "id"));
	const char *state = json_string_value(json_object_get(instance, "state"));
	const json_t *port = json_object_get(instance, "port");

	if (!id || !*id)
		return err_set(err, ERR_INPUT, "an instance has no \"id\"; give one");
	if (!state || (strcmp(state, "live") != 0 && strcmp(state, "leaving") != 0))
		return err_set(err, ERR_INPUT,
			       "instance \"%.60s\" has a bad \"state\"; give live or leaving", id);
	if (json_object_get(known, id))
		return true;
	if (!json_is_string(json_object_get(instance, "ip")) ||
	    !json_is_string(json_object_get(instance, "kind")) || !json_is_integer(port) ||
	    json_integer_value(port) < 1 || json_integer_value(port) > UINT16_MAX)
		return err_set(
			err, ERR_INPUT,
			"new instance \"%.60s\" lacks \"ip\", \"port\" or \"kind\"; give all", id);
	return true;
}

static bool check_change(const json_t *change, const json_t *known, struct err *err)
{
	const json_t *set = json_object_get(change, "instances");
	const json_t *removed = json_object_get(change, "remove");
	size_t i;
	json_t *item;

	if (!json_is_object(change) || (!set && !removed) || (set && !json_is_array(set)) ||
	    (removed && !json_is_array(removed)))
		return err_set(err, ERR_INPUT,
			       "bad body; send {\"instances\":[{id,ip,port,kind,state}],"
			       "\"remove\":[ids]}, with one of both at least");
	json_array_foreach(set, i, item)
	{
		if (!check_instance(item, known, err))
			return false;
	}
	json_array_foreach(removed, i, item)
	{
		const char *id = json_string_value(item);

		if (!id || !json_object_get(known, id))
			return err_set(err, ERR_INPUT,
				       "cannot remove \"%.60s\": not in the list; give a listed id",
				       id ? id : "?");
	}
	return true;
}

static void apply_change(struct instances *s, const json_t *change)
{
	json_t *list = json_deep_copy(newest_list(s));
	size_t i;
	json_t *item;

	json_array_foreach(json_object_get(change, "instances"), i, item)
	{
		const char *id = json_string_value(json_object_get(item, "id"));
		json_t *known = json_object_get(list, id);

		if (known)
			json_object_update(known, item);
		else
			json_object_set_new(list, id, json_deep_copy(item));
	}
	json_array_foreach(json_object_get(change, "remove"), i, item)
	{
		json_object_del(list, json_string_value(item));
	}
	/*
	 * An empty list is replaced at once, without the lag: the platform that is simulated has no
	 * older list to show when it starts.
	 */
	if (s->n_snapshots == MAX_SNAPSHOTS || json_object_size(newest_list(s)) == 0)
		drop_oldest_snapshot(s);
	s->snapshots[s->n_snapshots++] = (struct snapshot){clk_now(), list};
}

static void post_instances(struct instances *s, struct exchange *x)
{
	json_t *change = json_loadb(x->body.ptr, x->body.len, 0, NULL);
	struct err err;

	visible_list(s);
	if (!check_change(change, newest_list(s), &err)) {
		exchange_error(x, 400, err.msg, "correct the body and send it again");
	} else {
		apply_change(s, change);
		exchange_reply_json(x, 200, render_list(newest_list(s)));
	}
	json_decref(change);
}

static void perform(void *data, struct exchange *x)
{
	struct instances *s = data;

	if (exchange_is(x, "GET", "/instances")) {
		s->reads++;
		faults_answer_json(&s->faults, x, 200, render_list(visible_list(s)));
	} else {
		exchange_error(x, 404, "no such path", "use GET /instances");
	}
}

static void on_service(void *data, struct exchange *x)
{
	struct instances *s = data;

	faults_perform(&s->faults, x, perform);
}

static void on_control(void *data, struct exchange *x)
{
	struct instances *s = data;

	if (faults_control(&s->faults, x))
		return;
	if (exchange_is(x, "POST", "/instances"))
		post_instances(s, x);
	else if (exchange_is(x, "GET", "/instances"))
		exchange_reply_json(x, 200, render_list(newest_list(s)));
	else if (exchange_is(x, "GET", "/counts"))
		exchange_reply_json(x, 200, json_pack("{s:I}", "reads", (json_int_t)s->reads));
	else
		exchange_error(x, 404, "no such path",
			       "use POST /control, POST or GET /instances, or GET /counts");
}

static void apply_lag(void *data, const json_t *value)
{
	struct instances *s = data;

	visible_list(s);
	s->lag_ms = json_integer_value(value);
}

static const struct fault_switch extra_switches[] = {
	{"lag_ms", FAULT_COUNT, apply_lag},
	{NULL, FAULT_BOOL, NULL},
};

int main(int argc, char **argv)
{
	static struct instances s;
	struct args_common common = args_common_options();
	struct arg_int *lag = arg_int0(NULL, "lag-ms", "MS", "lag of the list (default 2000)");
	struct arg_end *end = arg_end(8);
	void *options[] = {common.listen, common.control, lag, common.help, end};
	struct err err;

	lag->ival[0] = DEFAULT_LAG_MS;
	args_parse(argc, argv, options, &common, end);
	log_setup("standin-instances", LOG_INFO);
	s.lag_ms = lag->ival[0];
	s.snapshots[0] = (struct snapshot){clk_now(), json_object()};
	s.n_snapshots = 1;
	s.httpd = httpd_create("standin-instances", common.listen->sval[0], common.control->sval[0],
			       on_service, on_control, &s, &err);
	s.faults.httpd = s.httpd;
	s.faults.extra = extra_switches;
	s.faults.owner_data = &s;
	if (s.httpd)
		httpd_run(s.httpd);
	else
		log_error(&lg, "%s", err.msg);
	arg_freetable(options, sizeof(options) / sizeof(options[0]));
	return s.httpd ? 0 : 2;
}
