/*
 * Which upstream serves which keys, as requests see it. Pure. Gateways hold copies of the keeper's
 * map; they are kept up to date by the ranges that changed since the version before.
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
	uint64_t upstream; /* 0: no owner that may be used now */
};

struct keymap {
	struct keymap_range *ranges; /* sorted */
	size_t n;
	size_t capacity;
	uint64_t term;
	uint64_t version; /* within the term */
};

enum keymap_result {
	KEYMAP_OLD,	/* the map is as new or newer */
	KEYMAP_APPLIED, /* it has changed */
	KEYMAP_GAP,	/* changes to a version that is not known: the whole map is needed */
};

void keymap_free(struct keymap *m);
/* Empties the ranges; term and version stay. */
void keymap_clear(struct keymap *m);
/* Adds keys behind all others; ranges of one upstream that touch become one. */
void keymap_add(struct keymap *m, uint32_t from, uint32_t to, uint64_t upstream);
void keymap_copy(struct keymap *to, const struct keymap *from);
uint64_t keymap_owner(const struct keymap *m, uint32_t key);
/* Ranges of `now` that have another upstream in `before`, or none there. */
void keymap_changes(const struct keymap *before, const struct keymap *now, struct keymap *out);

/* Frame with the ranges of `ranges` and the version of `m`; its memory is that of the arena. */
Bc__KeyMap *keymap_pack(struct arena *a, const char *service, const struct keymap *m,
			const struct keymap *ranges, uint64_t since);
enum keymap_result keymap_apply(struct keymap *m, const Bc__KeyMap *frame);

#endif
