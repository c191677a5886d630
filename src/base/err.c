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
	char what[sizeof(err->msg)];
	char old[sizeof(err->msg)];
	va_list ap;

	if (!err)
		return false;
	va_start(ap, fmt);
	vsnprintf(what, sizeof(what), fmt, ap);
	va_end(ap);
	memcpy(old, err->msg, sizeof(old));
	snprintf(err->msg, sizeof(err->msg), "%.200s: %.300s", what, old);
	return false;
}

void err_clear(struct err *err)
{
	if (!err)
		return;
	err->kind = ERR_NONE;
	err->msg[0] = '\0';
}

static const struct {
	const char *name;
	int exit_code;
} kinds[] = {
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
	return kinds[kind].name;
}

int err_exit_code(enum err_kind kind)
{
	return kinds[kind].exit_code;
}
