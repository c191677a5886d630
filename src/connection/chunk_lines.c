#include "connection/chunk_lines.h"

enum {
	LINE_SIZE,     /* in the digits of a size line */
	LINE_REST,     /* after the digits, up to CR */
	LINE_END,      /* LF of a size line */
	DATA,	       /* in the data of a chunk */
	DATA_CR,       /* CR after the data */
	DATA_LF,       /* LF after the data */
	TRAILER_START, /* first byte of a line after the last chunk */
	TRAILER,       /* in a trailer, up to CR */
	TRAILER_LF,    /* LF of a trailer */
	LAST_LF,       /* LF of the empty line that ends the body */
	ENDED,
};

/* Returns the value of a hexadecimal digit, -1 for another byte. */
static int hex_value(char byte)
{
	if (byte >= '0' && byte <= '9')
		return byte - '0';
	byte |= 0x20;
	return byte >= 'a' && byte <= 'f' ? byte - 'a' + 10 : -1;
}

static uint8_t after_size_line(struct chunk_lines *l)
{
	l->data_left = l->size;
	l->size = 0;
	return l->data_left ? DATA : TRAILER_START;
}

/* Checks one byte that is not data; returns false for a line end other than CRLF. */
static bool check_byte(struct chunk_lines *l, char byte)
{
	int digit;

	switch (l->state) {
	case LINE_SIZE:
		digit = hex_value(byte);
		if (digit >= 0) {
			l->size = l->size * 16 + (uint64_t)digit;
			return true;
		}
		l->state = byte == '\r' ? LINE_END : LINE_REST;
		return byte != '\n';
	case LINE_REST:
		if (byte == '\r')
			l->state = LINE_END;
		return byte != '\n';
	case LINE_END:
		l->state = after_size_line(l);
		return byte == '\n';
	case DATA_CR:
		l->state = DATA_LF;
		return byte == '\r';
	case DATA_LF:
		l->state = LINE_SIZE;
		return byte == '\n';
	case TRAILER_START:
		l->state = byte == '\r' ? LAST_LF : TRAILER;
		return byte != '\n';
	case TRAILER:
		if (byte == '\r')
			l->state = TRAILER_LF;
		return byte != '\n';
	case TRAILER_LF:
		l->state = TRAILER_START;
		return byte == '\n';
	case LAST_LF:
		l->state = ENDED;
		return byte == '\n';
	default:
		return true;
	}
}

bool chunk_lines_check(struct chunk_lines *l, const char *bytes, size_t n)
{
	size_t at = 0;

	while (at < n && l->state != ENDED) {
		if (l->state == DATA) {
			size_t step = n - at < l->data_left ? n - at : (size_t)l->data_left;

			l->data_left -= step;
			at += step;
			if (!l->data_left)
				l->state = DATA_CR;
			continue;
		}
		if (!check_byte(l, bytes[at++]))
			return false;
	}
	return true;
}
