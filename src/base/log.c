#include "base/log.h"

#include <stdarg.h>

#include "base/clk.h"

#define LOG_MESSAGE_BYTES 1024
/* Every character of the message may need six for its escape. */
#define LOG_LINE_BYTES (LOG_MESSAGE_BYTES * 6 + 1024)

static const char *process_name = "";
static enum log_level lowest_level = LOG_INFO;

static const char *const level_names[] = {
	[LOG_DEBUG] = "debug",
	[LOG_INFO] = "info",
	[LOG_WARN] = "warn",
	[LOG_ERROR] = "error",
};

void log_setup(const char *process, enum log_level lowest)
{
	process_name = process;
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

void log_write(const struct log *log, enum log_level level, struct str request_id, const char *fmt,
	       ...)
{
	char msg[LOG_MESSAGE_BYTES];
	char line[LOG_LINE_BYTES];
	FILE *f;
	va_list ap;

	if (level < lowest_level)
		return;
	va_start(ap, fmt);
	vsnprintf(msg, sizeof(msg), fmt, ap);
	va_end(ap);
	f = fmemopen(line, sizeof(line), "w");
	if (!f)
		return;
	fprintf(f, "{\"utc_ms\":%lld,\"level\":\"%s\",\"process\":\"%s\",\"module\":\"%s\"",
		(long long)clk_utc(), level_names[level], process_name, log->module);
	if (request_id.len) {
		fputs(",\"request_id\":\"", f);
		log_json_escape(f, request_id);
		fputc('"', f);
	}
	fputs(",\"msg\":\"", f);
	log_json_escape(f, str_from(msg));
	fputs("\"}\n", f);
	fclose(f);
	/* One write for each line, so that lines of several processes do not mix. */
	fputs(line, stderr);
}
