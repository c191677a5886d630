#include "base/mutant.h"

#ifdef BC_MUTANTS
#include <string.h>

const char *mutant_active;

int mutant_is_active(const char *name)
{
	return mutant_active && strcmp(mutant_active, name) == 0;
}
#else
/* ISO C forbids an empty translation unit. */
typedef int mutant_unused;
#endif
