/*
 * Main function of a check program. `--mutants` lists the mutants that its tests must catch;
 * `--mutant NAME` runs with that one on. The exit code is 1 when a test fails, 2 for bad arguments.
 */
#ifndef TEST_UNIT_H
#define TEST_UNIT_H

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/mutant.h"

/* Only ends a program that hangs; far above what the slowest program takes on a busy machine. */
#define UNIT_GUARD_SECONDS 300

typedef void (*unit_add_tests)(TCase *tc);

static inline int unit_main(int argc, char **argv, const char *name, const char *const *mutants,
			    unit_add_tests add)
{
	Suite *s;
	TCase *tc;
	SRunner *sr;
	int failed;

	if (argc == 2 && strcmp(argv[1], "--mutants") == 0) {
		for (; *mutants; mutants++)
			printf("%s\n", *mutants);
		return EXIT_SUCCESS;
	}
	if (argc == 3 && strcmp(argv[1], "--mutant") == 0) {
		while (*mutants && strcmp(*mutants, argv[2]) != 0)
			mutants++;
		if (!*mutants) {
			fprintf(stderr, "no mutant '%s'; see --mutants\n", argv[2]);
			return 2;
		}
#ifdef BC_MUTANTS /* test builds; the linter reads the file without it */
		mutant_active = *mutants;
#endif
	} else if (argc != 1) {
		fprintf(stderr, "usage: %s [--mutants | --mutant NAME]\n", argv[0]);
		return 2;
	}
	alarm(UNIT_GUARD_SECONDS);
	s = suite_create(name);
	tc = tcase_create(name);
	sr = srunner_create(s);
	add(tc);
	suite_add_tcase(s, tc);
	/* One process: tests that hang are ended by the alarm, and the sanitizers see everything.
	 */
	srunner_set_fork_status(sr, CK_NOFORK);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#define UNIT_NO_MUTANTS ((const char *const[]){NULL})

#endif
