/* Prints the result of a check as text or JSON. */
#include "tool/ctlcheck.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>

static const char *const status_names[] = {
	[CTLCHECK_CLEAN] = "clean",
	[CTLCHECK_FINDINGS] = "findings",
	[CTLCHECK_REFUSED] = "refused",
	[CTLCHECK_UNUSABLE] = "unusable",
};

static void print_change(FILE *out, const struct topodiff_change *c)
{
	fprintf(out, "%s: %.*s", topodiff_kind_name(c->kind), STR_ARG(c->place));
	if (c->property.len)
		fprintf(out, ": %.*s", STR_ARG(c->property));
	if (c->before.len || c->after.len)
		fprintf(out, ": %.*s -> %.*s", STR_ARG(c->before), STR_ARG(c->after));
	fprintf(out, "\n    %.*s: %.*s\n", STR_ARG(c->callers), STR_ARG(c->effect));
}

void ctlcheck_print_text(FILE *out, const struct ctlcheck_result *r)
{
	if (r->status == CTLCHECK_REFUSED)
		fprintf(out, "refused (%s): %s\n", err_kind_name(r->err.kind), r->err.msg);
	for (size_t i = 0; i < r->findings.n; i++) {
		const struct finding *f = &r->findings.items[i];

		fprintf(out, "%s: %.*s: %.*s\n", f->code, STR_ARG(f->place), STR_ARG(f->text));
	}
	if (r->has_in_force)
		fprintf(out, "configuration %" PRIu64 " in place of %" PRIu64 ", changes: %zu\n",
			r->version, r->in_force, r->diff.n);
	for (size_t i = 0; i < r->diff.n; i++)
		print_change(out, &r->diff.changes[i]);
	if (r->has_version)
		fprintf(out, "findings: %zu\n", r->findings.n);
}

/* Returns a JSON string; null if the text, which comes from the operators, is no valid UTF-8. */
static json_t *to_json(struct str s)
{
	json_t *text = json_stringn(s.len ? s.ptr : "", s.len);

	return text ? text : json_null();
}

static json_t *findings_json(const struct findings *f)
{
	json_t *list = json_array();

	for (size_t i = 0; i < f->n; i++) {
		json_t *item = json_object();

		json_object_set_new(item, "code", json_string(f->items[i].code));
		json_object_set_new(item, "place", to_json(f->items[i].place));
		json_object_set_new(item, "text", to_json(f->items[i].text));
		json_array_append_new(list, item);
	}
	return list;
}

static json_t *changes_json(const struct topodiff *d)
{
	json_t *list = json_array();

	for (size_t i = 0; i < d->n; i++) {
		const struct topodiff_change *c = &d->changes[i];
		json_t *item = json_object();

		json_object_set_new(item, "change", json_string(topodiff_kind_name(c->kind)));
		json_object_set_new(item, "place", to_json(c->place));
		if (c->property.len)
			json_object_set_new(item, "property", to_json(c->property));
		if (c->before.len || c->after.len) {
			json_object_set_new(item, "before", to_json(c->before));
			json_object_set_new(item, "after", to_json(c->after));
		}
		json_object_set_new(item, "callers", to_json(c->callers));
		json_object_set_new(item, "effect", to_json(c->effect));
		json_array_append_new(list, item);
	}
	return list;
}

void ctlcheck_print_json(FILE *out, const struct ctlcheck_result *r)
{
	json_t *root = json_object();
	char *text;

	json_object_set_new(root, "status", json_string(status_names[r->status]));
	if (r->err.kind != ERR_NONE) {
		json_t *error = json_object();

		json_object_set_new(error, "code", json_string(err_kind_name(r->err.kind)));
		json_object_set_new(error, "text", to_json(str_from(r->err.msg)));
		json_object_set_new(root, "error", error);
	}
	if (r->has_version)
		json_object_set_new(root, "version", json_integer((json_int_t)r->version));
	json_object_set_new(root, "findings", findings_json(&r->findings));
	if (r->has_in_force) {
		json_object_set_new(root, "in_force", json_integer((json_int_t)r->in_force));
		json_object_set_new(root, "changes", changes_json(&r->diff));
	}
	text = json_dumps(root, JSON_INDENT(2));
	if (!text)
		abort();
	fprintf(out, "%s\n", text);
	free(text);
	json_decref(root);
}
