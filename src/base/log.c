#include "base/log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clk.h"

#define LOG_MESSAGE_BYTES 1024
#define LOG_MAX_ID_BYTES 128
/* Every character of message and id may need six for its escape. */
#define LOG_LINE_BYTES ((LOG_MESSAGE_BYTES + LOG_MAX_ID_BYTES) * 6 + 1024)

/* A copy: lines are also written when the owner of the name is gone. */
static char process_name[201];
static enum log_level lowest_level = LOG_INFO;

static const char *const level_names[] = {
	[LOG_DEBUG] = "debug",
	[LOG_INFO] = "info",
	[LOG_WARN] = "warn",
	[LOG_ERROR] = "error",
};

void log_setup(const char *process, enum log_level lowest)
{
	snprintf(process_name, sizeof(process_name), "%s", process);
	lowest_level = lowest;
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

/* Lines that wait for log_flush(). */
#define BUFFER_BYTES (128u * 1024)
/* A pipe takes this much in one piece. */
#define PIPE_BYTES 4096
/* Rate of lines below warnings, and how many may come at once. */
#define LINES_PER_S 400
#define LINES_BURST 800

static struct {
	bool on;
	char *bytes;
	size_t len;
	double tokens;
	clk_ms filled;
	uint64_t dropped;
} buffer;

void log_to_stdout(void)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	buffer.bytes = malloc(BUFFER_BYTES);
	buffer.on = buffer.bytes != NULL;
	buffer.tokens = LINES_BURST;
	buffer.filled = clk_now();
	if (flags < 0 || fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) < 0)
		log_warn(&(struct log){"log"}, "standard output may block: %s", strerror(errno));
}

void log_flush(void)
{
	size_t done = 0;

	while (done < buffer.len) {
		size_t len = buffer.len - done < PIPE_BYTES ? buffer.len - done : PIPE_BYTES;
		ssize_t n = write(STDOUT_FILENO, buffer.bytes + done, len);

		if (n <= 0)
			break;
		done += (size_t)n;
	}
	if (done && done < buffer.len)
		memmove(buffer.bytes, buffer.bytes + done, buffer.len - done);
	buffer.len -= done;
}

static bool take_token(enum log_level level)
{
	clk_ms now;

	if (level >= LOG_WARN)
		return true;
	now = clk_now();
	buffer.tokens += (double)(now - buffer.filled) * LINES_PER_S / 1000.0;
	buffer.filled = now;
	if (buffer.tokens > LINES_BURST)
		buffer.tokens = LINES_BURST;
	if (buffer.tokens < 1)
		return false;
	buffer.tokens -= 1;
	return true;
}

static void put_buffered(const char *line, size_t len)
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

static size_t escape(char *out, struct str s)
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
		n += escape(line + n, request_id);
		line[n++] = '"';
	}
	n += (size_t)sprintf(line + n, ",\"msg\":\"");
	n += escape(line + n, msg);
	n += (size_t)sprintf(line + n, "\"}\n");
	/* One write for each line, so that lines of several processes do not mix. */
	if (buffer.on)
		put_buffered(line, n);
	else
		fwrite(line, 1, n, stderr);
}

void log_write(const struct log *log, enum log_level level, struct str request_id, const char *fmt,
	       ...)
{
	char msg[LOG_MESSAGE_BYTES];
	va_list ap;

	if (level < lowest_level)
		return;
	if (buffer.on && !take_token(level)) {
		buffer.dropped++;
		return;
	}
	va_start(ap, fmt);
	vsnprintf(msg, sizeof(msg), fmt, ap);
	va_end(ap);
	if (buffer.dropped) {
		char missing[64];

		snprintf(missing, sizeof(missing), "%llu log lines were dropped",
			 (unsigned long long)buffer.dropped);
		buffer.dropped = 0;
		write_line("log", LOG_WARN, STR_NULL, str_from(missing));
	}
	write_line(log->module, level, request_id, str_from(msg));
}
