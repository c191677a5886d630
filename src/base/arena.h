/*
 * Arena: memory that is given back in one step. Each request owns one; everything that lives as
 * long as the request is allocated from it.
 */
#ifndef BASE_ARENA_H
#define BASE_ARENA_H

#include <stddef.h>

#include "base/str.h"

struct arena_chunk;

struct arena {
	struct arena_chunk *chunks;
};

#define ARENA_INIT ((struct arena){NULL})

/* Zeroed memory, aligned for any type. Aborts when the system has no memory left. */
void *arena_alloc(struct arena *a, size_t size);

/* Copy of `s` followed by a NUL, so that `.ptr` is usable as a C string. */
struct str arena_str(struct arena *a, struct str s);

/* Formatted string, NUL terminated. */
struct str arena_printf(struct arena *a, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

void arena_free(struct arena *a);

#endif
