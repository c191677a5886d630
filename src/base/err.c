#include "base/err.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

bool err_set(struct err *err, enum err_kind kind, const char *fmt, ...)
{
	va_list ap;

	if (!err)
		return false;
	err->kind = kind;
	va_start(ap, fmt);
	vsnprintf(err->msg, sizeof(err->msg), fmt, ap);
	va_end(ap);
	return false;
}

bool err_prefix(struct err *err, const char *fmt, ...)
{
	char context[sizeof(err->msg)];
	char message[sizeof(err->msg)];
	va_list ap;

	if (!err)
		return false;
	va_start(ap, fmt);
	vsnprintf(context, sizeof(context), fmt, ap);
	va_end(ap);
	memcpy(message, err->msg, sizeof(message));
	snprintf(err->msg, sizeof(err->msg), "%.200s: %.300s", context, message);
	return false;
}

void err_clear(struct err *err)
{
	if (!err)
		return;
	err->kind = ERR_NONE;
	err->msg[0] = '\0';
}

/* Name and exit code of each error kind. */
static const struct {
	const char *name;
	int exit_code;
} kind_info[] = {
	[ERR_NONE] = {"none", 0},
	[ERR_INPUT] = {"input", 2},
	[ERR_SETTINGS] = {"settings", 2},
	[ERR_IO] = {"io", 1},
	[ERR_TIMEOUT] = {"timeout", 1},
	[ERR_CONFLICT] = {"conflict", 3},
	[ERR_UNAVAILABLE] = {"unavailable", 4},
	[ERR_DENIED] = {"denied", 5},
	[ERR_NOT_FOUND] = {"not-found", 2},
	[ERR_INTERNAL] = {"internal", 1},
};

const char *err_kind_name(enum err_kind kind)
{
	return kind_info[kind].name;
}

int err_exit_code(enum err_kind kind)
{
	return kind_info[kind].exit_code;
}
