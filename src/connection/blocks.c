#include "connection/blocks.h"

#include <stdlib.h>
#include <string.h>

#include "base/mutant.h"

#define MIN_BLOCK_BYTES 4096
/* Blocks double up to this size. */
#define MAX_BLOCK_BYTES (256u * 1024)

struct block {
	struct block *next;
	size_t capacity;
	size_t len;
	char bytes[];
};

static struct block *add_block(struct blocks *b, size_t capacity)
{
	struct block *block = malloc(sizeof(*block) + capacity);

	if (!block)
		abort();
	block->next = NULL;
	block->capacity = capacity;
	block->len = 0;
	if (b->last)
		b->last->next = block;
	else
		b->first = block;
	b->last = block;
	b->n++;
	b->capacity += capacity;
	return block;
}

/* Returns the size of the next block. */
static size_t next_capacity(const struct blocks *b, size_t expected)
{
	size_t size = expected > b->len ? expected - b->len : b->capacity;

	if (size < MIN_BLOCK_BYTES && expected <= b->len)
		size = MIN_BLOCK_BYTES;
	return size < MAX_BLOCK_BYTES ? size : MAX_BLOCK_BYTES;
}

void blocks_append(struct blocks *b, const char *bytes, size_t len, size_t expected)
{
	while (len) {
		struct block *block = b->last;
		size_t take;

		if (!block || block->len == block->capacity) {
			if (MUTANT(blocks_copy))
				blocks_join(b);
			block = add_block(b, next_capacity(b, expected));
		}
		take = block->capacity - block->len;
		if (take > len)
			take = len;
		memcpy(block->bytes + block->len, bytes, take);
		block->len += take;
		b->len += take;
		bytes += take;
		len -= take;
	}
}

size_t blocks_vectors(const struct blocks *b, h2o_iovec_t *out)
{
	size_t n = 0;

	for (struct block *block = b->first; block; block = block->next)
		out[n++] = h2o_iovec_init(block->bytes, block->len);
	return n;
}

struct str blocks_join(struct blocks *b)
{
	struct blocks whole = {0};

	if (!b->first)
		return STR_NULL;
	if (b->n > 1) {
		add_block(&whole, b->len);
		for (struct block *block = b->first; block; block = block->next)
			blocks_append(&whole, block->bytes, block->len, 0);
		blocks_free(b);
		*b = whole;
	}
	return (struct str){b->first->bytes, b->len};
}

void blocks_free(struct blocks *b)
{
	struct block *next;

	for (struct block *block = b->first; block; block = next) {
		next = block->next;
		free(block);
	}
	*b = (struct blocks){0};
}
