#include "connection/reason.h"

#include <stddef.h>

const char *reason_phrase(int status)
{
	static const struct {
		int status;
		const char *phrase;
	} phrases[] = {
		{200, "OK"},
		{201, "Created"},
		{202, "Accepted"},
		{204, "No Content"},
		{304, "Not Modified"},
		{400, "Bad Request"},
		{403, "Forbidden"},
		{404, "Not Found"},
		{405, "Method Not Allowed"},
		{408, "Request Timeout"},
		{409, "Conflict"},
		{412, "Precondition Failed"},
		{413, "Content Too Large"},
		{421, "Misdirected Request"},
		{429, "Too Many Requests"},
		{431, "Request Header Fields Too Large"},
		{500, "Internal Server Error"},
		{502, "Bad Gateway"},
		{503, "Service Unavailable"},
		{504, "Gateway Timeout"},
	};

	for (size_t i = 0; i < sizeof(phrases) / sizeof(phrases[0]); i++) {
		if (phrases[i].status == status)
			return phrases[i].phrase;
	}
	return "";
}
