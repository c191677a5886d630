/*
 * Main function of the property test programs. `--mutants` lists the mutants (faults compiled into
 * test builds) that the properties must detect; `--mutant NAME` activates one of them. The exit
 * code is 1 if a property fails.
 */
#ifndef TEST_PROP_H
#define TEST_PROP_H

#include <cstdio>
#include <cstring>

extern "C" {
#include "base/mutant.h"
}

/*
 * Replaces RC_ASSERT, which builds its message even if the condition holds; that dominates the run
 * time of long properties.
 */
#define CHECK(condition)                                                                           \
	do {                                                                                       \
		if (!(condition))                                                                  \
			RC_FAIL(#condition);                                                       \
	} while (0)

/* `run` checks all properties and returns whether they hold. */
template <typename Run> int prop_main(int argc, char **argv, const char *const *mutants, Run run)
{
	if (argc == 2 && strcmp(argv[1], "--mutants") == 0) {
		for (; *mutants; mutants++)
			printf("%s\n", *mutants);
		return 0;
	}
	if (argc == 3 && strcmp(argv[1], "--mutant") == 0)
		mutant_active = argv[2];
	return run() ? 0 : 1;
}

#endif
