/*
 * Includes uthash with XXH64 as its hash function, and with a simplified HASH_DEL under
 * clang-analyzer. The analyzer does not know that uthash's linked list and hash table hold the same
 * elements, and reports false uses after free in loops that empty a table.
 */
#ifndef BASE_HASH_H
#define BASE_HASH_H

#include "base/str.h"

#define HASH_FUNCTION(keyptr, keylen, hashv)                                                       \
	((hashv) = (unsigned)str_hash((struct str){(const char *)(keyptr), (keylen)}))

#include <uthash.h>

#ifdef __clang_analyzer__
#undef HASH_DEL
#define HASH_DEL(head, delptr) ((head) = (head) == (delptr) ? (delptr)->hh.next : (head))
#endif

#endif
