/* Framing of messages on peer connections: 4 bytes length (big-endian), then one `Bc__Frame`. */
#ifndef CONNECTION_FRAME_H
#define CONNECTION_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "proto/bamboocroft.pb-c.h"

#define FRAME_HEADER_BYTES 4
#define FRAME_MAX_BYTES (32u * 1024 * 1024) /* of the message, without the header */

/*
 * Packs `frame` with its header. Returns memory to free with free(), NULL if the packed message is
 * over FRAME_MAX_BYTES.
 */
uint8_t *frame_pack(const Bc__Frame *frame, size_t *len);

enum frame_status { FRAME_INCOMPLETE, FRAME_COMPLETE, FRAME_MALFORMED };

/*
 * Decodes the frame at the start of `buf`. FRAME_COMPLETE: `*frame` is set, to free with
 * frame_free(), and `*consumed` is its length in `buf`. FRAME_INCOMPLETE: more bytes are needed.
 * FRAME_MALFORMED: `err` is set, and the connection must be closed.
 */
enum frame_status frame_unpack(const uint8_t *buf, size_t len, Bc__Frame **frame, size_t *consumed,
			       struct err *err);
void frame_free(Bc__Frame *frame);

#endif
