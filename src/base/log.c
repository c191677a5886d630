#include "base/log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clk.h"

#define LOG_MESSAGE_BYTES 1024
#define LOG_MAX_ID_BYTES 128 /* of a request id; longer ids are cut */
/* An escaped character of the message or request id takes up to six bytes (\u00XX). */
#define LOG_LINE_BYTES ((LOG_MESSAGE_BYTES + LOG_MAX_ID_BYTES) * 6 + 1024)

/* A copy, since lines are still logged after the object that holds the name is freed. */
static char process_name[201];
static enum log_level min_level = LOG_INFO;

static const char *const level_names[] = {
	[LOG_DEBUG] = "debug",
	[LOG_INFO] = "info",
	[LOG_WARN] = "warn",
	[LOG_ERROR] = "error",
};

void log_setup(const char *process, enum log_level lowest)
{
	snprintf(process_name, sizeof(process_name), "%s", process);
	min_level = lowest;
}

bool log_level_from_name(struct str name, enum log_level *out)
{
	for (int i = LOG_DEBUG; i <= LOG_ERROR; i++) {
		if (str_eq_cstr(name, level_names[i])) {
			*out = (enum log_level)i;
			return true;
		}
	}
	return false;
}

void log_json_escape(FILE *out, struct str s)
{
	for (size_t i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.ptr[i];

		if (c == '"' || c == '\\')
			fprintf(out, "\\%c", c);
		else if (c < 0x20 || c >= 0x7f)
			fprintf(out, "\\u%04x", c);
		else
			fputc(c, out);
	}
}

/* ---- buffered output ------------------------------------------------------------------------ */

/* Capacity for lines that log_flush() has not written yet. */
#define BUFFER_BYTES (128u * 1024)
/* Linux's PIPE_BUF: a pipe takes a write of up to this size whole or not at all. */
#define PIPE_ATOMIC_BYTES 4096
/* Rate limit of lines below level warn (a token bucket), and the burst that it allows. */
#define MAX_LINES_PER_S 400
#define MAX_BURST_LINES 800

static struct {
	bool on; /* lines go to this buffer, not to standard error */
	char *bytes;
	size_t len;	    /* used bytes */
	double tokens;	    /* lines that the rate limit allows now */
	clk_ms refilled_at; /* when tokens were last added */
	uint64_t dropped;   /* lines dropped since this number was last logged */
} buffer;

void log_to_stdout(void)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	buffer.bytes = malloc(BUFFER_BYTES);
	buffer.on = buffer.bytes != NULL;
	buffer.tokens = MAX_BURST_LINES;
	buffer.refilled_at = clk_now();
	if (flags < 0 || fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) < 0)
		log_warn(&(struct log){"log"}, "cannot make standard output non-blocking: %s",
			 strerror(errno));
}

void log_flush(void)
{
	size_t written = 0;

	while (written < buffer.len) {
		size_t len = buffer.len - written < PIPE_ATOMIC_BYTES ? buffer.len - written
								      : PIPE_ATOMIC_BYTES;
		ssize_t n = write(STDOUT_FILENO, buffer.bytes + written, len);

		if (n <= 0)
			break;
		written += (size_t)n;
	}
	if (written && written < buffer.len)
		memmove(buffer.bytes, buffer.bytes + written, buffer.len - written);
	buffer.len -= written;
}

/* Whether the rate limit allows a line of this level now. Lines from level warn up always pass. */
static bool rate_limit_allows(enum log_level level)
{
	clk_ms now;

	if (level >= LOG_WARN)
		return true;
	now = clk_now();
	buffer.tokens += (double)(now - buffer.refilled_at) * MAX_LINES_PER_S / 1000.0;
	buffer.refilled_at = now;
	if (buffer.tokens > MAX_BURST_LINES)
		buffer.tokens = MAX_BURST_LINES;
	if (buffer.tokens < 1)
		return false;
	buffer.tokens -= 1;
	return true;
}

/* Appends a line to the buffer, which is flushed first if it is full; drops the line if no room. */
static void buffer_line(const char *line, size_t len)
{
	if (buffer.len + len > BUFFER_BYTES)
		log_flush();
	if (buffer.len + len > BUFFER_BYTES) {
		buffer.dropped++;
		return;
	}
	memcpy(buffer.bytes + buffer.len, line, len);
	buffer.len += len;
}

/* ---- lines ---------------------------------------------------------------------------------- */

/*
 * Writes `s` to `out` with the escapes of a JSON string; returns the bytes written, at most 6 for
 * each byte of `s`.
 */
static size_t json_escape(char *out, struct str s)
{
	static const char hex[] = "0123456789abcdef";
	size_t n = 0;

	for (size_t i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.ptr[i];

		if (c == '"' || c == '\\') {
			out[n++] = '\\';
			out[n++] = (char)c;
		} else if (c < 0x20 || c >= 0x7f) {
			out[n] = '\\';
			out[n + 1] = 'u';
			out[n + 2] = '0';
			out[n + 3] = '0';
			out[n + 4] = hex[c >> 4];
			out[n + 5] = hex[c & 15];
			n += 6;
		} else {
			out[n++] = (char)c;
		}
	}
	return n;
}

static void write_line(const char *module, enum log_level level, struct str request_id,
		       struct str msg)
{
	char line[LOG_LINE_BYTES];
	size_t n;

	n = (size_t)snprintf(
		line, 512,
		"{\"utc_ms\":%lld,\"level\":\"%s\",\"process\":\"%.200s\",\"module\":\"%.60s\"",
		(long long)clk_utc(), level_names[level], process_name, module);
	if (request_id.len > LOG_MAX_ID_BYTES)
		request_id.len = LOG_MAX_ID_BYTES;
	if (request_id.len) {
		n += (size_t)sprintf(line + n, ",\"request_id\":\"");
		n += json_escape(line + n, request_id);
		line[n++] = '"';
	}
	n += (size_t)sprintf(line + n, ",\"msg\":\"");
	n += json_escape(line + n, msg);
	n += (size_t)sprintf(line + n, "\"}\n");
	/* Each line is one write, so that lines of several processes do not interleave. */
	if (buffer.on)
		buffer_line(line, n);
	else
		fwrite(line, 1, n, stderr);
}

void log_write(const struct log *log, enum log_level level, struct str request_id, const char *fmt,
	       ...)
{
	char msg[LOG_MESSAGE_BYTES];
	va_list ap;

	if (level < min_level)
		return;
	if (buffer.on && !rate_limit_allows(level)) {
		buffer.dropped++;
		return;
	}
	va_start(ap, fmt);
	vsnprintf(msg, sizeof(msg), fmt, ap);
	va_end(ap);
	if (buffer.dropped) {
		char notice[64];

		snprintf(notice, sizeof(notice), "%llu log lines were dropped",
			 (unsigned long long)buffer.dropped);
		buffer.dropped = 0;
		write_line("log", LOG_WARN, STR_NULL, str_from(notice));
	}
	write_line(log->module, level, request_id, str_from(msg));
}
