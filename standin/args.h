/*
 * Command line of the stand-ins: the options that all of them have (--listen, --control, --help),
 * and the reporting of parse errors.
 */
#ifndef STANDIN_ARGS_H
#define STANDIN_ARGS_H

#include <argtable2.h>

struct args_common {
	struct arg_str *listen;
	struct arg_str *control;
	struct arg_lit *help;
};

/* Returns the options that all stand-ins have, for inclusion in the argtable2 table. */
struct args_common args_common_options(void);

/*
 * Parses the command line into `table`. Exits with code 0 after printing the help, and with code 2
 * after printing the parse errors, so it returns only if the arguments are valid.
 */
void args_parse(int argc, char **argv, void **table, const struct args_common *common,
		struct arg_end *end);

#endif
