/*
 * Versioned documents that a router holds: `config`, `cell/<region>`, `assign/<region>/<service>`.
 * The highest version wins and nothing reverts. Pure bookkeeping; bodies are protobuf bytes.
 */
#ifndef VERSION_DOC_H
#define VERSION_DOC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

#define DOC_MAX_BYTES (1024 * 1024)

struct doc {
	struct str row;
	uint64_t version;
	struct str body;
	bool from_store; /* read from or written to the store by this process */
	struct doc *next;
};

struct doc_set;

struct doc_set *doc_set_create(void);
void doc_set_destroy(struct doc_set *set);

/*
 * Copies row and body. False if the held version is not older or the body is longer than
 * DOC_MAX_BYTES: then nothing changes.
 */
bool doc_put(struct doc_set *set, struct str row, uint64_t version, struct str body);
/* Sets `from_store` if exactly this version is held; doc_put() clears it. */
void doc_mark_from_store(struct doc_set *set, struct str row, uint64_t version);
const struct doc *doc_get(const struct doc_set *set, struct str row);
uint64_t doc_version(const struct doc_set *set, struct str row);
const struct doc *doc_first(const struct doc_set *set);

/*
 * Versions that peers reported to hold, for "more than half of the members hold it".
 * A lower report than an earlier one is ignored. The own node counts only if it is noted as well.
 */
void doc_set_peer_version(struct doc_set *set, uint64_t node, struct str row, uint64_t version);
size_t doc_count_holders(const struct doc_set *set, struct str row, uint64_t version,
			 const uint64_t *nodes, size_t n);
void doc_remove_peer(struct doc_set *set, uint64_t node);

#endif
