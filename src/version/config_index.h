/*
 * Index of a configuration's upstreams by number, id and address, for code that looks up each of
 * several thousand upstreams. The look-ups of config.h scan the whole list.
 */
#ifndef VERSION_CONFIG_INDEX_H
#define VERSION_CONFIG_INDEX_H

#include <stddef.h>
#include <stdint.h>

#include "base/str.h"
#include "proto/bamboocroft.pb-c.h"

struct config_index {
	const Bc__Config *config;
	uint32_t *by_num; /* positions in the configuration's list, sorted by number */
	uint32_t *by_id;
	uint32_t *by_address;
	size_t n; /* upstreams */
};

/* Builds an index of the upstreams of `config`, which must stay unchanged until
 * config_index_free(). */
struct config_index *config_index_create(const Bc__Config *config);
void config_index_free(struct config_index *ix);

/* Return the first matching upstream in the configuration's order, NULL if there is none. */
const Bc__Upstream *config_index_num(const struct config_index *ix, uint32_t num);
const Bc__Upstream *config_index_id(const struct config_index *ix, const char *id);
const Bc__Upstream *config_index_address(const struct config_index *ix, const char *ip,
					 uint32_t port);

#endif
