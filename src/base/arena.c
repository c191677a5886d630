#include "base/arena.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Minimum size of a chunk's data. */
#define ARENA_CHUNK_BYTES 4096

struct arena_chunk {
	struct arena_chunk *next;
	size_t used; /* bytes of `data` handed out */
	size_t size; /* bytes in `data` */
	_Alignas(max_align_t) char data[];
};

/* Adds a chunk of at least `size` bytes, from which later allocations are taken. */
static struct arena_chunk *new_chunk(struct arena *a, size_t size)
{
	struct arena_chunk *c;

	if (size < ARENA_CHUNK_BYTES)
		size = ARENA_CHUNK_BYTES;
	c = calloc(1, sizeof(*c) + size);
	if (!c)
		abort();
	c->size = size;
	c->next = a->chunks;
	a->chunks = c;
	return c;
}

void *arena_alloc(struct arena *a, size_t size)
{
	const size_t align = _Alignof(max_align_t);
	struct arena_chunk *c = a->chunks;
	void *p;

	size = (size + align - 1) & ~(align - 1);
	if (!c || c->size - c->used < size)
		c = new_chunk(a, size);
	p = c->data + c->used;
	c->used += size;
	return p;
}

struct str arena_str(struct arena *a, struct str s)
{
	char *p = arena_alloc(a, s.len + 1);

	if (s.len)
		memcpy(p, s.ptr, s.len);
	return (struct str){p, s.len};
}

struct str arena_printf(struct arena *a, const char *fmt, ...)
{
	va_list ap;
	va_list copy;
	char *p;
	int len;

	va_start(ap, fmt);
	va_copy(copy, ap);
	len = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	p = arena_alloc(a, (size_t)len + 1);
	vsnprintf(p, (size_t)len + 1, fmt, copy);
	va_end(copy);
	return (struct str){p, (size_t)len};
}

void arena_free(struct arena *a)
{
	while (a->chunks) {
		struct arena_chunk *next = a->chunks->next;

		free(a->chunks);
		a->chunks = next;
	}
}
