/* String with a length (a string view): it does not own its bytes and need not end with a NUL. */
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
/* Arguments for a "%.*s" of printf. */
#define STR_ARG(s) (int)(s).len, (s).ptr

/* Returns a view of a C string; empty for NULL. */
struct str str_from(const char *cstr);
bool str_eq(struct str a, struct str b);
bool str_eq_cstr(struct str a, const char *cstr);
bool str_starts_with(struct str s, struct str prefix);

/* Returns `s` without spaces and tabs at its ends. */
struct str str_trim(struct str s);

/*
 * Splits at the first `sep`: returns the part before `sep` and stores the part after it in `*rest`.
 * Without a `sep` returns `s` and sets `*rest` to STR_NULL.
 */
struct str str_split(struct str s, char sep, struct str *rest);

/*
 * Parses a decimal number up to `max`. Returns false, and leaves `*out` unchanged, if `s` is empty,
 * holds anything but digits, or is larger than `max`.
 */
bool str_to_u64(struct str s, uint64_t max, uint64_t *out);

/*
 * Returns the XXH64 hash with seed 0. Processes hash keys, request ids and fingerprints with it and
 * must agree on the result.
 */
uint64_t str_hash(struct str s);

#endif
