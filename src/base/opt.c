#include "base/opt.h"

#include <argtable2.h>
#include <stdlib.h>
#include <string.h>

#include "base/str.h"

#define OPT_MAX_VALUES 1000 /* of a repeated option, and of operands */
#define OPT_MAX_ERRORS 4    /* that argtable2 records; only the first is reported */

/* argtable2's argument table: the program's options, then --help, --version, operands, end. */
struct arg_table {
	void **args;
	size_t n_opts; /* options of the program */
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_str *operands;
	struct arg_end *end;
};

static void *new_arg(const struct opt *o)
{
	switch (o->type) {
	case OPT_FLAG:
		return arg_lit0(o->letter, o->name, o->help);
	case OPT_LIST:
		return arg_strn(o->letter, o->name, o->value_name, 0, OPT_MAX_VALUES, o->help);
	case OPT_STRING:
	case OPT_NUMBER:
		break;
	}
	return arg_str0(o->letter, o->name, o->value_name, o->help);
}

static void build_table(struct arg_table *t, const struct opt *opts)
{
	while (opts[t->n_opts].name)
		t->n_opts++;
	t->args = calloc(t->n_opts + 4, sizeof(*t->args));
	if (!t->args)
		abort();
	for (size_t i = 0; i < t->n_opts; i++)
		t->args[i] = new_arg(&opts[i]);
	t->args[t->n_opts] = t->help = arg_lit0("h", "help", "print this help");
	t->args[t->n_opts + 1] = t->version = arg_lit0(NULL, "version", "print the version");
	t->args[t->n_opts + 2] = t->operands =
		arg_strn(NULL, NULL, "ARGUMENT", 0, OPT_MAX_VALUES, NULL);
	t->args[t->n_opts + 3] = t->end = arg_end(OPT_MAX_ERRORS);
	if (arg_nullcheck(t->args) != 0)
		abort();
}

static void destroy_table(struct arg_table *t)
{
	arg_freetable(t->args, t->n_opts + 4);
	free(t->args);
}

static void copy_values(const struct arg_str *arg, struct opt_list *list)
{
	list->items = calloc((size_t)arg->count + 1, sizeof(*list->items));
	if (!list->items)
		abort();
	list->n = (size_t)arg->count;
	for (size_t i = 0; i < list->n; i++)
		list->items[i] = arg->sval[i];
}

void opt_list_free(struct opt_list *list)
{
	free(list->items);
	*list = (struct opt_list){0};
}

static bool parse_number(const struct opt *o, const char *text, uint64_t *out, struct err *err)
{
	if (str_to_u64(str_from(text), o->max, out))
		return true;
	return err_set(err, ERR_INPUT, "--%s: '%.64s' is not a number from 0 to %llu; correct it",
		       o->name, text, (unsigned long long)o->max);
}

/* Stores the parsed value of an option in the member of `target` that the option names. */
static bool store_value(const struct opt *o, const void *arg, void *target, struct err *err)
{
	char *member = (char *)target + o->offset;
	const struct arg_str *s = arg;

	if (o->type == OPT_FLAG) {
		if (((const struct arg_lit *)arg)->count > 0)
			*(bool *)member = true;
		return true;
	}
	if (o->type == OPT_LIST) {
		copy_values(s, (struct opt_list *)member);
		return true;
	}
	if (s->count == 0)
		return true;
	if (o->type == OPT_NUMBER)
		return parse_number(o, s->sval[0], (uint64_t *)member, err);
	*(const char **)member = s->sval[0];
	return true;
}

static void print_help(const struct opt_program *p, const struct arg_table *t, FILE *out)
{
	fprintf(out, "Usage: %s [OPTION]... %s\n%s\n\n", p->name, p->operands, p->summary);
	for (size_t i = 0; i < t->n_opts + 2; i++) {
		const struct arg_hdr *h = t->args[i];
		char left[64];

		snprintf(left, sizeof(left), "%s%s%s%s%s%s", h->shortopts ? "-" : "",
			 h->shortopts ? h->shortopts : "", h->shortopts ? ", " : "", "--",
			 h->longopts, h->datatype ? "=" : "");
		fprintf(out, "  %s%-*s %s\n", left, (int)(28 - strlen(left)),
			h->datatype ? h->datatype : "", h->glossary);
	}
	if (p->help_footer)
		fprintf(out, "\n%s", p->help_footer);
}

/* Sets `err` to argtable2's first error message; always returns false. */
static bool set_usage_error(const struct opt_program *p, struct arg_table *t, struct err *err)
{
	char *text = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&text, &len);
	struct str rest;
	struct str first;

	if (!f)
		abort();
	arg_print_errors(f, t->end, p->name);
	fclose(f);
	first = str_split((struct str){text, len}, '\n', &rest);
	/* Removes argtable2's "PROGRAM: " prefix, since the program adds its own. */
	if (str_starts_with(first, str_from(p->name)) && first.len > strlen(p->name) + 2)
		first = (struct str){first.ptr + strlen(p->name) + 2,
				     first.len - strlen(p->name) - 2};
	err_set(err, ERR_INPUT, "%.*s; see %s --help", STR_ARG(first), p->name);
	free(text);
	return false;
}

static enum opt_result store_values(const struct opt_program *p, struct arg_table *t, void *target,
				    struct opt_list *operands, struct err *err)
{
	for (size_t i = 0; i < t->n_opts; i++) {
		if (!store_value(&p->opts[i], t->args[i], target, err))
			return OPT_INVALID;
	}
	copy_values(t->operands, operands);
	return OPT_PARSED;
}

enum opt_result opt_parse(const struct opt_program *program, int argc, char **argv, void *target,
			  struct opt_list *operands, FILE *out, struct err *err)
{
	struct arg_table t = {0};
	enum opt_result result = OPT_INFO_PRINTED;
	int errors;

	build_table(&t, program->opts);
	errors = arg_parse(argc, argv, t.args);
	if (t.help->count > 0) {
		print_help(program, &t, out);
	} else if (t.version->count > 0) {
		fprintf(out, "%s %s\n", program->name, OPT_PROGRAM_VERSION);
	} else if (errors > 0) {
		set_usage_error(program, &t, err);
		result = OPT_INVALID;
	} else {
		result = store_values(program, &t, target, operands, err);
	}
	destroy_table(&t);
	return result;
}
