/*
 * uthash as this program uses it: XXH64 instead of the default function, and a form of HASH_DEL
 * that clang-analyzer can follow. The analyser does not know that the list and the table of uthash
 * agree and reports uses after free in loops that empty a table.
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
