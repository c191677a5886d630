/*
 * Memory that answers of upstreams take in a process, from the first byte read to the last byte
 * written to the caller. HTTP clients (upconn.h) and servers (ingress.h) that share it count their
 * answers in `used`; clients end answers when it exceeds the limit, see upconn_memory.c.
 */
#ifndef CONNECTION_ANSWER_MEMORY_H
#define CONNECTION_ANSWER_MEMORY_H

#include <stddef.h>

struct upconn_pool;

struct answer_memory {
	size_t limit; /* bytes, 0: no limit */
	size_t used;
	struct upconn_pool *pools; /* pools of HTTP clients that share the memory */
};

#endif
