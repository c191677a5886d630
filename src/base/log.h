/*
 * Structured logger: writes one JSON object per line to standard error, with time, level, process,
 * module, request id (if given) and message. Each module has its own `struct log`. A server can
 * write to standard output instead, see log_to_stdout().
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdbool.h>
#include <stdio.h>

#include "base/str.h"

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

struct log {
	const char *module; /* name in each line of the module */
};

/* Sets the process name in every line and the lowest level that is logged. Call once at start. */
void log_setup(const char *process, enum log_level lowest);

/*
 * Sends further lines to standard output through a buffer, so that a slow reader never blocks the
 * process. Drops lines when the buffer is full, and lines below level warn above a fixed rate. The
 * next line that is logged is preceded by the number of dropped lines.
 */
void log_to_stdout(void);

/* Writes buffered lines to standard output, as many as it takes without blocking. */
void log_flush(void);

/* Finds the level with this name ("debug", "info", "warn", "error"); false if there is none. */
bool log_level_from_name(struct str name, enum log_level *out);

/* Logs a printf-style message, cut to 1023 bytes. `request_id` may be STR_NULL. */
void log_write(const struct log *log, enum log_level level, struct str request_id, const char *fmt,
	       ...) __attribute__((format(printf, 4, 5)));

#define log_debug(log, ...) log_write(log, LOG_DEBUG, STR_NULL, __VA_ARGS__)
#define log_info(log, ...) log_write(log, LOG_INFO, STR_NULL, __VA_ARGS__)
#define log_warn(log, ...) log_write(log, LOG_WARN, STR_NULL, __VA_ARGS__)
#define log_error(log, ...) log_write(log, LOG_ERROR, STR_NULL, __VA_ARGS__)

/* Writes `s` to `out` with the escapes of a JSON string, without the enclosing quotes. */
void log_json_escape(FILE *out, struct str s);

#endif
