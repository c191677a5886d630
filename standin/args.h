/* Command line of the stand-ins: the two options that all have, and reporting of mistakes. */
#ifndef STANDIN_ARGS_H
#define STANDIN_ARGS_H

#include <argtable2.h>

struct args_common {
	struct arg_str *listen;
	struct arg_str *control;
	struct arg_lit *help;
};

struct args_common args_common_options(void);

/* Parses; prints help or the mistakes and exits if there is nothing to run. */
void args_parse(int argc, char **argv, void **table, const struct args_common *common,
		struct arg_end *end);

#endif
