/*
 * Index of a configuration's upstreams by number, id and address. The look-ups of config.h scan
 * the list, which is too slow where each of several thousand upstreams is looked up.
 */
#ifndef VERSION_CONFIG_INDEX_H
#define VERSION_CONFIG_INDEX_H

#include <stddef.h>
#include <stdint.h>

#include "base/str.h"
#include "proto/bamboocroft.pb-c.h"

struct config_index {
	const Bc__Config *config;
	uint32_t *by_num; /* positions in the configuration's list */
	uint32_t *by_id;
	uint32_t *by_address;
	size_t n;
};

/* `config` must stay unchanged until config_index_free(). */
struct config_index *config_index_create(const Bc__Config *config);
void config_index_free(struct config_index *ix);

/* The first in the configuration's order if there are several, NULL if there is none. */
const Bc__Upstream *config_index_num(const struct config_index *ix, uint32_t num);
const Bc__Upstream *config_index_id(const struct config_index *ix, const char *id);
const Bc__Upstream *config_index_address(const struct config_index *ix, const char *ip,
					 uint32_t port);

#endif
