/*
 * Bytes in a list of blocks, which grows without a copy: a buffer that grows by realloc() takes up
 * to twice its memory meanwhile, which for large answers is more than all answers may take.
 */
#ifndef CONNECTION_BLOCKS_H
#define CONNECTION_BLOCKS_H

#include <stddef.h>

#include <h2o.h>

#include "base/str.h"

struct block;

/* Zero-initialised: empty. */
struct blocks {
	struct block *first;
	struct block *last;
	size_t n;
	size_t len;	 /* bytes held */
	size_t capacity; /* bytes allocated for them */
};

/*
 * Appends a copy of the bytes. `expected` is the final length if it is known, else 0; memory is
 * then allocated ahead.
 */
void blocks_append(struct blocks *b, const char *bytes, size_t len, size_t expected);
/* Writes one vector for each block to `out` and returns their number, `b->n`. */
size_t blocks_vectors(const struct blocks *b, h2o_iovec_t *out);
/* Returns the bytes in one piece, valid until `b` changes; copies them if they are in several. */
struct str blocks_join(struct blocks *b);
/* Frees the blocks; `b` is empty then. */
void blocks_free(struct blocks *b);

#endif
