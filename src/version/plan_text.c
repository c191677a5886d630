/* Texts of a plan for operators: steps, keys that move, load, duration and how to undo it. */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "version/assign.h"
#include "version/config.h"
#include "version/plan_priv.h"

/*
 * Guaranteed bounds in seconds: P11, until a configuration is in force on every router, and P4,
 * until an upstream that was taken out gets no new work.
 */
#define CONFIG_SPREAD_S 6
#define STOP_NEW_WORK_S 3
/* Estimated moves per second: each waits for a store write and until most members of the cell hold
 * the new assignment. */
#define ESTIMATED_MOVES_PER_S 50

/* Numbers of partitions and hot keys of one service in one cell that change their owner. */
struct moves {
	const char *service;
	const char *region;
	size_t forced;
	size_t balancing;
	size_t served; /* partitions that the cell serves, moved or not */
};

static const Bc__Service *service_of_assign(const struct plan_change *ch, const Bc__Assign *a)
{
	return config_service(ch->after, str_from(a->service));
}

static size_t collect_cell_upstreams(const struct plan_change *ch, const Bc__Assign *a,
				     struct assign_upstream *out)
{
	const Bc__Config *c = ch->after;
	size_t n = 0;

	for (size_t i = 0; i < c->n_upstreams; i++) {
		const Bc__Upstream *u = c->upstreams[i];

		if (strcmp(u->service, a->service) != 0 ||
		    strcmp(config_upstream_region(c, u), a->region) != 0)
			continue;
		out[n++] = (struct assign_upstream){
			.num = u->num,
			.slots = u->slots,
			.usable = config_upstream_usable(c, u),
		};
	}
	return n;
}

/*
 * Counts the moves that the assignment planner would make if all partitions had equal load. The
 * broker will use the observed loads, so its moves may differ.
 */
static struct moves count_cell_moves(const struct plan_change *ch, const Bc__Assign *a,
				     const Bc__Service *s)
{
	struct assign_options opts = assign_defaults;
	struct assign_loads loads = {0};
	size_t max = s->partitions + a->n_hot;
	struct moves m = {.service = s->id, .region = a->region};
	struct assign_upstream *ups =
		arena_alloc(ch->arena, (ch->after->n_upstreams + 1) * sizeof(*ups));
	bool *served_here = arena_alloc(ch->arena, s->partitions * sizeof(*served_here));
	struct assign_move *moves = arena_alloc(ch->arena, max * sizeof(*moves));
	size_t n;

	opts.max_balancing_moves = max;
	for (uint32_t p = 0; p < s->partitions; p++)
		served_here[p] = strcmp(config_partition_region(ch->after, s, p), a->region) == 0;
	/* A cell also has owners for partitions of other regions, since these contain keys of
	 * client accounts and routes whose home region is this one. */
	for (size_t i = 0; i < a->n_owners; i++) {
		if (a->owners[i]->partition < s->partitions && a->owners[i]->upstream)
			served_here[a->owners[i]->partition] = true;
	}
	for (uint32_t p = 0; p < s->partitions; p++)
		m.served += served_here[p];
	n = assign_plan(a, served_here, s->partitions, ups, collect_cell_upstreams(ch, a, ups),
			&loads, &opts, moves, max);
	for (size_t i = 0; i < n; i++) {
		if (moves[i].forced)
			m.forced++;
		else
			m.balancing++;
	}
	return m;
}

static struct moves *count_all_moves(const struct plan_change *ch, size_t *n)
{
	struct moves *list = arena_alloc(ch->arena, (ch->in->n_assigns + 1) * sizeof(*list));

	*n = 0;
	for (size_t i = 0; i < ch->in->n_assigns; i++) {
		const Bc__Assign *a = ch->in->assigns[i];
		const Bc__Service *s = service_of_assign(ch, a);

		if (!s || !s->keyed)
			continue;
		list[*n] = count_cell_moves(ch, a, s);
		if (list[*n].forced || list[*n].balancing)
			(*n)++;
	}
	return list;
}

/* ---- steps ---- */

static json_t *json_text(const char *text)
{
	return json_string(text);
}

static uint32_t longest_timeout(const Bc__Config *c)
{
	uint32_t longest = 0;

	for (size_t i = 0; i < c->n_services; i++)
		longest =
			c->services[i]->timeout_ms > longest ? c->services[i]->timeout_ms : longest;
	return longest;
}

/*
 * Returns the ids of the upstreams that the plan brings into service (`now_usable`) or takes out of
 * service, separated by commas; `*count` is their number.
 */
static struct str changed_upstreams(const struct plan_change *ch, bool now_usable, size_t *count)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	struct str result;

	if (!out)
		abort();
	*count = 0;
	for (size_t i = 0; i < ch->after->n_upstreams; i++) {
		const Bc__Upstream *now = ch->after->upstreams[i];
		const Bc__Upstream *old = config_index_num(ch->before_index, now->num);
		bool was = old && config_upstream_usable(ch->before, old);

		if (config_upstream_usable(ch->after, now) != now_usable || was == now_usable)
			continue;
		fprintf(out, "%s%s", (*count)++ ? ", " : "", now->id);
	}
	fclose(out);
	result = arena_str(ch->arena, (struct str){text, len});
	free(text);
	return result;
}

static json_t *make_steps(const struct plan_change *ch, const struct moves *moves, size_t n_moves)
{
	json_t *steps = json_array();
	size_t n;
	struct str ups;

	json_array_append_new(steps,
			      json_text(arena_printf(ch->arena,
						     "write configuration version %" PRIu64
						     "; it is in force everywhere within %d s",
						     ch->before->version + 1, CONFIG_SPREAD_S)
						.ptr));
	ups = changed_upstreams(ch, false, &n);
	if (n) {
		json_array_append_new(
			steps,
			json_text(arena_printf(ch->arena, "within %d s, no new work goes to %s",
					       STOP_NEW_WORK_S, ups.ptr)
					  .ptr));
		json_array_append_new(
			steps,
			json_text(arena_printf(
					  ch->arena,
					  "requests under way there end by themselves, after %u ms "
					  "at most",
					  longest_timeout(ch->after))
					  .ptr));
	}
	ups = changed_upstreams(ch, true, &n);
	if (n)
		json_array_append_new(
			steps,
			json_text(arena_printf(ch->arena,
					       "%s get new work, starting cold at their cold_limit",
					       ups.ptr)
					  .ptr));
	for (size_t i = 0; i < n_moves; i++)
		json_array_append_new(
			steps,
			json_text(arena_printf(ch->arena,
					       "broker of %s in %s moves %zu of %zu partitions "
					       "(%zu of them to balance load), each after its "
					       "requests under way have ended",
					       moves[i].service, moves[i].region,
					       moves[i].forced + moves[i].balancing,
					       moves[i].served, moves[i].balancing)
					  .ptr));
	if (ch->intent->verb == PLAN_LIFT)
		json_array_append_new(
			steps,
			json_text(arena_printf(ch->arena,
					       "requests with fingerprint %.*s are served again; "
					       "two more crashes quarantine it again",
					       STR_ARG(ch->intent->words[0]))
					  .ptr));
	if (ch->intent->verb == PLAN_DECLARE_DEAD)
		json_array_append_new(
			steps,
			json_text(
				arena_printf(ch->arena,
					     "keys of %.*s move without waiting for its requests: "
					     "confirm only if its process has ended for certain",
					     STR_ARG(ch->intent->words[0]))
					.ptr));
	return steps;
}

/* ---- undo ---- */

static const char *const undo_verbs[PLAN_VERBS] = {
	[PLAN_TAKE_OUT] = "bring-back",
	[PLAN_BRING_BACK] = "take-out",
	[PLAN_DRAIN] = "bring-in",
	[PLAN_BRING_IN] = "drain",
};

static struct str make_undo(const struct plan_change *ch)
{
	struct str rest;

	if (undo_verbs[ch->intent->verb]) {
		str_split(ch->intent->text, ' ', &rest);
		return arena_printf(ch->arena, "bamboocroft-ctl plan %s %.*s",
				    undo_verbs[ch->intent->verb], STR_ARG(rest));
	}
	if (ch->intent->verb == PLAN_APPLY)
		return arena_str(ch->arena,
				 STR_LIT("save `bamboocroft-ctl show` before the confirm and plan "
					 "`apply` with that file"));
	if (ch->intent->verb == PLAN_DECLARE_DEAD)
		return arena_printf(ch->arena,
				    "moved keys stay moved; after a restart: bamboocroft-ctl plan "
				    "bring-in %.*s",
				    STR_ARG(ch->intent->words[0]));
	return arena_str(ch->arena, STR_LIT("cannot be undone"));
}

/* ---- output ---- */

static json_t *make_load(const struct plan_change *ch)
{
	json_t *list = json_array();

	for (size_t i = 0; i < ch->n_cap_after; i++) {
		const struct plan_capacity *now = &ch->cap_after[i];
		const struct plan_capacity *old = plan_capacity_find(
			ch->cap_before, ch->n_cap_before, now->service, now->region);
		uint64_t before = old ? old->usable : 0;

		if (before == now->usable)
			continue;
		json_array_append_new(
			list, json_pack("{s:s, s:s, s:I, s:I, s:I}", "service", now->service,
					"region", now->region, "slots_before", (json_int_t)before,
					"slots_after", (json_int_t)now->usable, "slots_configured",
					(json_int_t)now->configured));
	}
	return list;
}

static json_t *make_key_moves(const struct moves *moves, size_t n)
{
	json_t *list = json_array();

	for (size_t i = 0; i < n; i++)
		json_array_append_new(
			list, json_pack("{s:s, s:s, s:I, s:I, s:I}", "service", moves[i].service,
					"region", moves[i].region, "partitions_forced",
					(json_int_t)moves[i].forced, "partitions_to_balance",
					(json_int_t)moves[i].balancing, "partitions_served",
					(json_int_t)moves[i].served));
	return list;
}

static size_t duration_s(const struct plan_change *ch, const struct moves *moves, size_t n)
{
	size_t total = 0;
	size_t n_stopped;

	for (size_t i = 0; i < n; i++)
		total += moves[i].forced + moves[i].balancing;
	changed_upstreams(ch, false, &n_stopped);
	return CONFIG_SPREAD_S + (n_stopped ? (longest_timeout(ch->after) + 999) / 1000 : 0) +
	       (total + ESTIMATED_MOVES_PER_S - 1) / ESTIMATED_MOVES_PER_S;
}

static void write_load(FILE *out, const json_t *load)
{
	size_t i;
	const json_t *row;

	json_array_foreach((json_t *)load, i, row)
	{
		json_int_t before = json_integer_value(json_object_get(row, "slots_before"));
		json_int_t after = json_integer_value(json_object_get(row, "slots_after"));

		fprintf(out,
			"  %s in %s: %" JSON_INTEGER_FORMAT " -> %" JSON_INTEGER_FORMAT
			" of %" JSON_INTEGER_FORMAT " slots in service",
			json_string_value(json_object_get(row, "service")),
			json_string_value(json_object_get(row, "region")), before, after,
			json_integer_value(json_object_get(row, "slots_configured")));
		if (before > 0 && after > 0)
			fprintf(out, ", load of each slot times %.2f",
				(double)before / (double)after);
		fputc('\n', out);
	}
	if (json_array_size(load) == 0)
		fputs("  unchanged\n", out);
}

static void write_keys(FILE *out, const struct moves *moves, size_t n)
{
	for (size_t i = 0; i < n; i++)
		fprintf(out, "  %s in %s: %zu of %zu partitions move\n", moves[i].service,
			moves[i].region, moves[i].forced + moves[i].balancing, moves[i].served);
	if (n == 0)
		fputs("  none move, as far as this router holds the assignments\n", out);
}

static struct str make_text(const struct plan_change *ch, const struct plan *plan,
			    const json_t *root, const struct moves *moves, size_t n_moves)
{
	const json_t *steps = json_object_get(root, "steps");
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	struct str result;
	size_t i;
	const json_t *step;

	if (!out)
		abort();
	fprintf(out, "plan %s from configuration version %" PRIu64 ": %s\n", plan->id.ptr,
		plan->version, ch->intent->text.ptr);
	if (plan->refused) {
		fprintf(out, "REFUSED: %s\n", plan->refusal.ptr);
	} else {
		fputs("steps\n", out);
		json_array_foreach((json_t *)steps, i, step)
			fprintf(out, "  %zu. %s\n", i + 1, json_string_value(step));
		fputs("keys\n", out);
		write_keys(out, moves, n_moves);
		fputs("load\n", out);
		write_load(out, json_object_get(root, "load"));
		fprintf(out, "duration\n  about %zu s\nundo\n  %s\n",
			duration_s(ch, moves, n_moves),
			json_string_value(json_object_get(root, "undo")));
	}
	fclose(out);
	result = arena_str(ch->arena, (struct str){text, len});
	free(text);
	return result;
}

void plan_describe(const struct plan_change *ch, struct plan *out)
{
	size_t n_moves = 0;
	struct moves *moves = out->refused ? NULL : count_all_moves(ch, &n_moves);
	json_t *root = json_object();
	char *dump;

	json_object_set_new(root, "plan", json_string(out->id.ptr));
	json_object_set_new(root, "version", json_integer((json_int_t)out->version));
	json_object_set_new(root, "intent", json_string(ch->intent->text.ptr));
	json_object_set_new(root, "refused", json_boolean(out->refused));
	json_object_set_new(root, "refusal", json_string(out->refused ? out->refusal.ptr : ""));
	if (!out->refused) {
		json_object_set_new(root, "steps", make_steps(ch, moves, n_moves));
		json_object_set_new(root, "keys", make_key_moves(moves, n_moves));
		json_object_set_new(root, "load", make_load(ch));
		json_object_set_new(root, "duration_s",
				    json_integer((json_int_t)duration_s(ch, moves, n_moves)));
		json_object_set_new(root, "undo", json_string(make_undo(ch).ptr));
	}
	out->text = make_text(ch, out, root, moves, n_moves);
	json_object_set_new(root, "text", json_string(out->text.ptr));
	dump = json_dumps(root, JSON_COMPACT);
	if (!dump)
		abort();
	out->json = arena_str(ch->arena, str_from(dump));
	free(dump);
	json_decref(root);
}
