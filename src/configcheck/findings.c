#include "configcheck/findings.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#define TEXT_BYTES 1024 /* of one finding; a longer text is cut */

void findings_add(struct findings *f, const char *code, struct str place, const char *fmt, ...)
{
	char text[TEXT_BYTES];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	if (f->n == f->max) {
		f->max = f->max ? 2 * f->max : 16;
		f->items = realloc(f->items, f->max * sizeof(*f->items));
		if (!f->items)
			abort();
	}
	f->items[f->n++] = (struct finding){code, arena_str(&f->arena, place),
					    arena_str(&f->arena, str_from(text))};
}

void findings_free(struct findings *f)
{
	arena_free(&f->arena);
	free(f->items);
	*f = (struct findings){0};
}
