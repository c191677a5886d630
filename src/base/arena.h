/*
 * Arena allocator: all memory allocated from an arena is freed in one step. Each request owns an
 * arena, from which everything that lives as long as the request is allocated.
 */
#ifndef BASE_ARENA_H
#define BASE_ARENA_H

#include <stddef.h>

#include "base/str.h"

struct arena_chunk;

struct arena {
	struct arena_chunk *chunks; /* newest first; allocations come from the newest */
};

#define ARENA_INIT ((struct arena){NULL})

/* Returns zeroed memory, aligned for any type. Aborts the process when out of memory. */
void *arena_alloc(struct arena *a, size_t size);

/* Returns a copy of `s` followed by a NUL, so that its `.ptr` is usable as a C string. */
struct str arena_str(struct arena *a, struct str s);

/* Returns a formatted string, NUL-terminated. */
struct str arena_printf(struct arena *a, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Frees all memory allocated from the arena. The arena is then empty and can be used again. */
void arena_free(struct arena *a);

#endif
