/*
 * Declarative command line options on top of argtable2. A program describes its options in a table;
 * parsing stores the values in a struct of the program. `--help` and `--version` are added to every
 * table.
 */
#ifndef BASE_OPT_H
#define BASE_OPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "base/err.h"

#define OPT_PROGRAM_VERSION "0.1.0"

/* Values of a repeatable option, or operands. Items point into `argv`. */
struct opt_list {
	const char **items;
	size_t n;
};

enum opt_type {
	OPT_FLAG,   /* stored as bool */
	OPT_STRING, /* stored as const char * */
	OPT_LIST,   /* stored as struct opt_list; the option may be repeated */
	OPT_NUMBER, /* decimal number up to `max`, stored as uint64_t */
};

struct opt {
	const char *letter; /* "w" for -w, NULL for none */
	const char *name;   /* long name without "--" */
	enum opt_type type;
	const char *value_name; /* placeholder in --help, such as "FILE"; NULL for flags */
	const char *help;
	size_t offset; /* of the member that receives the value, in the program's struct */
	uint64_t max;  /* largest value of an OPT_NUMBER */
};

struct opt_program {
	const char *name;
	const char *summary;
	const char *operands;	 /* in the usage line, for example "COMMAND [ARGUMENT]..." */
	const char *help_footer; /* printed below the options by --help, may be NULL */
	const struct opt *opts;	 /* terminated by an entry without a name */
};

enum opt_result {
	OPT_PARSED,	  /* options and operands are stored; the program runs */
	OPT_INFO_PRINTED, /* help or version was printed; the program exits with 0 */
	OPT_INVALID,	  /* the command line is wrong, see `err` */
};

/*
 * Parses the command line into `target` and `operands`; help and version go to `out`. Members of
 * `target` keep their value if their option is not given, but lists are always replaced. Free lists
 * and operands with opt_list_free().
 */
enum opt_result opt_parse(const struct opt_program *program, int argc, char **argv, void *target,
			  struct opt_list *operands, FILE *out, struct err *err);
void opt_list_free(struct opt_list *list);

#endif
