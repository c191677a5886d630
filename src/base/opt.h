/*
 * Declarative option tables of the command line programs, over argtable2. A program describes its
 * options in one table; parsing fills in a struct of the program. `--help` and `--version` are
 * added to every table.
 */
#ifndef BASE_OPT_H
#define BASE_OPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "base/err.h"

#define OPT_PROGRAM_VERSION "0.1.0"

/* Values point into `argv`. */
struct opt_list {
	const char **items;
	size_t n;
};

enum opt_type {
	OPT_FLAG,   /* bool */
	OPT_STRING, /* const char * */
	OPT_LIST,   /* struct opt_list, the option may be repeated */
	OPT_NUMBER, /* uint64_t, decimal, at most `max` */
};

struct opt {
	const char *letter; /* "w" for -w, NULL for none */
	const char *name;
	enum opt_type type;
	const char *value_name; /* NULL for flags */
	const char *help;
	size_t offset; /* of the member in the program's struct */
	uint64_t max;  /* numbers */
};

struct opt_program {
	const char *name;
	const char *summary;
	const char *operands;	 /* for the usage line, for example "COMMAND [ARGUMENT]..." */
	const char *explanation; /* printed below the options, may be NULL */
	const struct opt *opts;	 /* the last entry has no name */
};

enum opt_result {
	OPT_RUN,
	OPT_ANSWERED, /* help or version was printed; exit with 0 */
	OPT_BAD,      /* `err` says why */
};

/*
 * Members of `target` whose option is not given keep their value. Lists and operands are freed
 * with opt_list_free().
 */
enum opt_result opt_parse(const struct opt_program *program, int argc, char **argv, void *target,
			  struct opt_list *operands, FILE *out, struct err *err);
void opt_list_free(struct opt_list *list);

#endif
