#include "process/meta.h"

static const char *const status_names[] = {
	[META_OK] = "ok",	    [META_CONFLICT] = "conflict", [META_TRIMMED] = "trimmed",
	[META_REFUSED] = "refused", [META_UNKNOWN] = "unknown",
};

const char *meta_status_name(enum meta_status status)
{
	return (size_t)status < sizeof(status_names) / sizeof(status_names[0])
		       ? status_names[status]
		       : "invalid";
}
