/* Length-prefixed protobuf-c frames: 4 bytes big-endian length, then one packed `Bc__Frame`. */
#ifndef CONNECTION_FRAME_H
#define CONNECTION_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "proto/bamboocroft.pb-c.h"

#define FRAME_HEADER_BYTES 4
#define FRAME_MAX_BYTES (32u * 1024 * 1024)

/* Packs `frame` with its header into memory the caller frees with free(); NULL if it is too long.
 */
uint8_t *frame_pack(const Bc__Frame *frame, size_t *len);

enum frame_status { FRAME_INCOMPLETE, FRAME_COMPLETE, FRAME_MALFORMED };

/*
 * Takes one frame from the start of `buf`. COMPLETE sets `*frame` (free with frame_free()) and the
 * number of bytes to consume; MALFORMED sets `err` and the connection must be closed.
 */
enum frame_status frame_unpack(const uint8_t *buf, size_t len, Bc__Frame **frame, size_t *consumed,
			       struct err *err);
void frame_free(Bc__Frame *frame);

#endif
