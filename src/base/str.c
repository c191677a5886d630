#include "base/str.h"

#include <string.h>
#include <xxhash.h>

struct str str_from(const char *cstr)
{
	return (struct str){cstr, cstr ? strlen(cstr) : 0};
}

bool str_eq(struct str a, struct str b)
{
	return a.len == b.len && (a.len == 0 || memcmp(a.ptr, b.ptr, a.len) == 0);
}

bool str_eq_cstr(struct str a, const char *cstr)
{
	return str_eq(a, str_from(cstr));
}

bool str_starts_with(struct str s, struct str prefix)
{
	return s.len >= prefix.len && str_eq((struct str){s.ptr, prefix.len}, prefix);
}

struct str str_trim(struct str s)
{
	while (s.len && (*s.ptr == ' ' || *s.ptr == '\t')) {
		s.ptr++;
		s.len--;
	}
	while (s.len && (s.ptr[s.len - 1] == ' ' || s.ptr[s.len - 1] == '\t'))
		s.len--;
	return s;
}

struct str str_split(struct str s, char sep, struct str *rest)
{
	const char *found = s.len ? memchr(s.ptr, sep, s.len) : NULL;
	struct str head;

	if (!found) {
		*rest = STR_NULL;
		return s;
	}
	head = (struct str){s.ptr, (size_t)(found - s.ptr)};
	*rest = (struct str){found + 1, s.len - head.len - 1};
	return head;
}

bool str_to_u64(struct str s, uint64_t max, uint64_t *out)
{
	uint64_t value = 0;

	if (s.len == 0)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		uint64_t digit;

		if (s.ptr[i] < '0' || s.ptr[i] > '9')
			return false;
		digit = (uint64_t)(s.ptr[i] - '0');
		if (digit > max || value > (max - digit) / 10)
			return false;
		value = value * 10 + digit;
	}
	*out = value;
	return true;
}

uint64_t str_hash(struct str s)
{
	return XXH64(s.ptr, s.len, 0);
}
