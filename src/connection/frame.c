#include "connection/frame.h"

#include <stdlib.h>
#include <string.h>

/*
 * Decoding a frame may allocate at most the sum of FRAME_EXPANSION_BASE_BYTES, twice the frame's
 * length, and FRAME_EXPANSION_FACTOR times its first FRAME_EXPANSION_MAX_BYTES. Without the limit a
 * frame of 32 MiB with empty repeated messages (2 bytes each) would take 1 GiB.
 */
#define FRAME_EXPANSION_FACTOR 16
#define FRAME_EXPANSION_MAX_BYTES (4u * 1024 * 1024)
#define FRAME_EXPANSION_BASE_BYTES (64u * 1024)

struct budget {
	size_t left;
};

static void *limited_alloc(void *data, size_t size)
{
	struct budget *b = data;

	if (size > b->left)
		return NULL;
	b->left -= size;
	return malloc(size ? size : 1);
}

static void limited_free(void *data, void *p)
{
	free(p);
}

uint8_t *frame_pack(const Bc__Frame *frame, size_t *len)
{
	size_t size = bc__frame__get_packed_size(frame);
	uint8_t *buf;

	if (size > FRAME_MAX_BYTES)
		return NULL;
	buf = malloc(FRAME_HEADER_BYTES + size);
	if (!buf)
		abort();
	buf[0] = (uint8_t)(size >> 24);
	buf[1] = (uint8_t)(size >> 16);
	buf[2] = (uint8_t)(size >> 8);
	buf[3] = (uint8_t)size;
	bc__frame__pack(frame, buf + FRAME_HEADER_BYTES);
	*len = FRAME_HEADER_BYTES + size;
	return buf;
}

enum frame_status frame_unpack(const uint8_t *buf, size_t len, Bc__Frame **frame, size_t *consumed,
			       struct err *err)
{
	struct budget budget;
	ProtobufCAllocator allocator = {limited_alloc, limited_free, &budget};
	size_t size;

	*frame = NULL;
	*consumed = 0;
	if (len < FRAME_HEADER_BYTES)
		return FRAME_INCOMPLETE;
	size = (size_t)buf[0] << 24 | (size_t)buf[1] << 16 | (size_t)buf[2] << 8 | buf[3];
	if (size > FRAME_MAX_BYTES) {
		err_set(err, ERR_INPUT,
			"frame of %zu bytes is over the limit of %u; check that the sender is a "
			"router of the same version",
			size, FRAME_MAX_BYTES);
		return FRAME_MALFORMED;
	}
	if (len - FRAME_HEADER_BYTES < size)
		return FRAME_INCOMPLETE;
	budget.left = FRAME_EXPANSION_BASE_BYTES + 2 * size +
		      FRAME_EXPANSION_FACTOR * (size < FRAME_EXPANSION_MAX_BYTES
							? size
							: (size_t)FRAME_EXPANSION_MAX_BYTES);
	*frame = bc__frame__unpack(&allocator, size, buf + FRAME_HEADER_BYTES);
	if (!*frame) {
		err_set(err, ERR_INPUT,
			"frame of %zu bytes cannot be decoded; check that the sender is a router "
			"of the same version",
			size);
		return FRAME_MALFORMED;
	}
	*consumed = FRAME_HEADER_BYTES + size;
	return FRAME_COMPLETE;
}

void frame_free(Bc__Frame *frame)
{
	if (frame)
		bc__frame__free_unpacked(frame, NULL);
}
