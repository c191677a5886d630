/*
 * Mutation testing: in test builds, a mutant is a named switch that disables one safety mechanism.
 * A test must fail while its mutant is active, which shows that the test can detect the fault.
 * Release builds compile every MUTANT() to a constant 0.
 */
#ifndef BASE_MUTANT_H
#define BASE_MUTANT_H

#ifdef BC_MUTANTS
/* Name of the active mutant, or NULL. Set by the test program, or by main() of a test build. */
extern const char *mutant_active;

/* Whether `name` is the active mutant. */
int mutant_is_active(const char *name);

#define MUTANT(name) mutant_is_active(#name)
#else
#define MUTANT(name) 0
#endif

#endif
