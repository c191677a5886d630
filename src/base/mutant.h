/*
 * Switches that disable one safety mechanism in test builds. A property must find the violation
 * when its mutant is on; this shows that the check is able to fail. Release builds compile every
 * MUTANT() to a constant 0.
 */
#ifndef BASE_MUTANT_H
#define BASE_MUTANT_H

#ifdef BC_MUTANTS
/* Name of the mutant that is on, or NULL. Set by the test program. */
extern const char *mutant_active;
int mutant_is(const char *name);
#define MUTANT(name) mutant_is(#name)
#else
#define MUTANT(name) 0
#endif

#endif
