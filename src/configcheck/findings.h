/* List of what a check of a configuration found. */
#ifndef CONFIGCHECK_FINDINGS_H
#define CONFIGCHECK_FINDINGS_H

#include <stddef.h>

#include "base/arena.h"
#include "base/str.h"

struct finding {
	const char *code; /* stable name of the kind, such as "prefix-twice" */
	struct str place; /* the entry of the configuration */
	struct str text;  /* what is wrong and what it leads to */
};

struct findings {
	struct arena arena; /* owns the texts */
	struct finding *items;
	size_t n;
	size_t max;
};

void findings_add(struct findings *f, const char *code, struct str place, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));
void findings_free(struct findings *f);

#endif
