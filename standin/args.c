#include "standin/args.h"

#include <stdio.h>
#include <stdlib.h>

struct args_common args_common_options(void)
{
	return (struct args_common){
		.listen = arg_str1(NULL, "listen", "IP:PORT", "address of the service port"),
		.control = arg_str1(NULL, "control", "IP:PORT", "address of the control port"),
		.help = arg_lit0("h", "help", "print this help"),
	};
}

void args_parse(int argc, char **argv, void **table, const struct args_common *common,
		struct arg_end *end)
{
	int n_errors = arg_parse(argc, argv, table);

	if (common->help->count) {
		printf("usage: %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		exit(0);
	}
	if (n_errors) {
		arg_print_errors(stderr, end, argv[0]);
		fprintf(stderr, "%s: see --help for the options\n", argv[0]);
		exit(2);
	}
}
