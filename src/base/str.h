/* Length-counted string. It does not own its bytes and need not end with a NUL. */
#ifndef BASE_STR_H
#define BASE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct str {
	const char *ptr;
	size_t len;
};

#define STR_NULL ((struct str){NULL, 0})
#define STR_LIT(s) ((struct str){"" s, sizeof(s) - 1})
/* For printf's "%.*s". */
#define STR_ARG(s) (int)(s).len, (s).ptr

struct str str_from(const char *cstr);
bool str_eq(struct str a, struct str b);
bool str_eq_cstr(struct str a, const char *cstr);
bool str_starts_with(struct str s, struct str prefix);

/* Splits at the first `sep`: returns the part before it and leaves the rest in `*rest`. */
struct str str_split(struct str s, char sep, struct str *rest);

/* Parses a whole decimal number no larger than `max`; false if there is anything else. */
bool str_to_u64(struct str s, uint64_t max, uint64_t *out);

/* XXH64 with seed 0: the hash of keys, request ids and fingerprints everywhere. */
uint64_t str_hash(struct str s);

#endif
