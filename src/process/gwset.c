#include "process/gwset.h"

void gwset_free(struct gwset *s)
{
	arena_free(&s->arena);
}

struct str gwset_region(const struct gwset *s, struct str failure_domain)
{
	for (size_t i = 0; i < s->n_domains; i++) {
		if (str_eq(s->domains[i].failure_domain, failure_domain))
			return s->domains[i].region;
	}
	return STR_NULL;
}
