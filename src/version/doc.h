/*
 * Versioned documents that a router holds, by the name of their row in the store: `config`,
 * `cell/<region>` and `assign/<region>/<service>`. A document is replaced only by a higher version.
 * Bodies are encoded protobuf messages, which this module does not read. Also keeps the versions
 * that peers reported.
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
	bool from_store;  /* this version was read from or written to the store by this process */
	struct doc *next; /* in the order of their first doc_put() */
};

struct doc_set;

struct doc_set *doc_set_create(void);
void doc_set_destroy(struct doc_set *set);

/*
 * Stores a copy of the document. Returns false and changes nothing if the held version is not older
 * or the body is longer than DOC_MAX_BYTES.
 */
bool doc_put(struct doc_set *set, struct str row, uint64_t version, struct str body);
/* Sets `from_store` if exactly this version is held. doc_put() clears it. */
void doc_mark_from_store(struct doc_set *set, struct str row, uint64_t version);
/* Returns the held document, NULL if none. Its body is valid until the next doc_put() of the row.
 */
const struct doc *doc_get(const struct doc_set *set, struct str row);
/* Returns the held version, 0 if the document is not held. */
uint64_t doc_version(const struct doc_set *set, struct str row);
/* Returns the first held document of the list linked by `next`, NULL if there is none. */
const struct doc *doc_first(const struct doc_set *set);

/*
 * Records the version of a document that a peer reported. A lower version than in an earlier report
 * is ignored, since reports can arrive late.
 */
void doc_set_peer_version(struct doc_set *set, uint64_t node, struct str row, uint64_t version);
/*
 * Returns how many of the nodes reported this version or a higher one. The own node counts only if
 * doc_set_peer_version() was called for it too.
 */
size_t doc_count_holders(const struct doc_set *set, struct str row, uint64_t version,
			 const uint64_t *nodes, size_t n);
/* Removes all reports of a peer. */
void doc_remove_peer(struct doc_set *set, uint64_t node);

#endif
