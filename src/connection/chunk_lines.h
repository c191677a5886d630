/*
 * Checks the line ends of a chunked body. The decoder also accepts lines that end in LF alone; a
 * caller's proxy that does not would see another end of the request (request smuggling).
 */
#ifndef CONNECTION_CHUNK_LINES_H
#define CONNECTION_CHUNK_LINES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct chunk_lines {
	uint64_t data_left; /* bytes of the chunk that remain, its CRLF not counted */
	uint64_t size;	    /* value of the size line so far */
	uint8_t state;
};

/*
 * Checks the next bytes of the body, which the decoder accepts. Returns false if a line ends in
 * other bytes than CRLF. Bytes after the body are not checked.
 */
bool chunk_lines_check(struct chunk_lines *l, const char *bytes, size_t n);

#endif
