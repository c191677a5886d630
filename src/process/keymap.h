/*
 * Ownership map: which upstream serves requests for which keys. Pure functions. Gateways have
 * copies of the shard manager's map; the shard manager sends them the ranges that changed since the
 * previous version.
 */
#ifndef PROCESS_KEYMAP_H
#define PROCESS_KEYMAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "proto/bamboocroft.pb-c.h"

struct keymap_range {
	uint32_t from;
	uint32_t to;	   /* inclusive */
	uint64_t upstream; /* 0: no upstream may get requests for the keys now */
};

struct keymap {
	struct keymap_range *ranges; /* sorted by key */
	size_t n;
	size_t capacity;  /* ranges that the allocation has room for */
	uint64_t term;	  /* term of the shard manager that made the map */
	uint64_t version; /* counts the changes within the term */
};

enum keymap_result {
	KEYMAP_OLD,	/* not applied: the map known here is as new or newer */
	KEYMAP_APPLIED, /* the map was updated */
	KEYMAP_GAP, /* not applied: changes to a version not known here; the whole map is needed */
};

void keymap_free(struct keymap *m);
/* Removes all ranges; term and version stay. */
void keymap_clear(struct keymap *m);
/* Appends keys above all others; adjacent ranges of one upstream are merged. */
void keymap_add(struct keymap *m, uint32_t from, uint32_t to, uint64_t upstream);
void keymap_copy(struct keymap *to, const struct keymap *from);
/* Returns the upstream that serves the key, 0 if there is none. */
uint64_t keymap_owner(const struct keymap *m, uint32_t key);
/* Sets `out` to the ranges of `now` with another upstream in `before`, or not in `before`. */
void keymap_changes(const struct keymap *before, const struct keymap *now, struct keymap *out);

/*
 * Returns a message, allocated in the arena, with the term and version of `m`. `ranges` are changes
 * to the version `since`, or the whole map if `since` is 0.
 */
Bc__KeyMap *keymap_pack(struct arena *a, const char *service, const struct keymap *m,
			const struct keymap *ranges, uint64_t since);
/* Applies a whole map or changes to `m`. */
enum keymap_result keymap_apply(struct keymap *m, const Bc__KeyMap *frame);

#endif
