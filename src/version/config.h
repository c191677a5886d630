/*
 * Configuration model: look-ups, checks, and reading an operator's YAML file into it. Pure.
 * Everything works on the unpacked protobuf message `Bc__Config`.
 */
#ifndef VERSION_CONFIG_H
#define VERSION_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "base/str.h"
#include "proto/bamboocroft.pb-c.h"

enum config_section {
	CONFIG_REGIONS,
	CONFIG_FAILURE_DOMAINS,
	CONFIG_SERVICES,
	CONFIG_ROUTES,
	CONFIG_ACCOUNTS,
	CONFIG_UPSTREAMS,
	CONFIG_SECTIONS, /* number of sections */
};

/* Place of a fault: entry `index` of a section, and the field that is wrong. */
struct config_fault {
	enum config_section section;
	size_t index;
	const char *field;
};

/* Name of a section in the YAML file, for example "failure_domains". */
const char *config_section_name(enum config_section section);

/* Checks the whole configuration; the error names object, field, fault and remedy. */
bool config_check(const Bc__Config *c, struct err *err);
/* The same, and says where the fault is. */
bool config_check_where(const Bc__Config *c, struct config_fault *where, struct err *err);

/*
 * Reads a YAML file of services, routes, regions, failure domains, upstreams and homes. `base` (may
 * be NULL) supplies versions, upstream numbers, ledger and lifted fingerprints; numbers of
 * upstreams with the same id are kept, new ones are counted up. `out` of a failure domain,
 * `intent` of an upstream and `region_weights` of a service keep the value of `base` when the file
 * leaves them out, so that applying a file does not undo what operators did in the meantime.
 * Errors name line, field, fault and remedy. Free with config_free().
 */
Bc__Config *config_from_yaml(struct str text, const Bc__Config *base, struct err *err);
/* Inverse, for `bamboocroft-ctl show`. The caller frees the string. */
char *config_to_yaml(const Bc__Config *c);

Bc__Config *config_copy(const Bc__Config *c);
void config_free(Bc__Config *c);

const Bc__Service *config_service(const Bc__Config *c, struct str id);
const Bc__Upstream *config_upstream(const Bc__Config *c, uint32_t num);
const Bc__Upstream *config_upstream_by_id(const Bc__Config *c, struct str id);
const Bc__FailureDomain *config_failure_domain(const Bc__Config *c, struct str id);
const Bc__Region *config_region(const Bc__Config *c, struct str id);

/* Longest matching route of a path (without query), NULL if none. */
const Bc__Route *config_route(const Bc__Config *c, struct str path);

/* Region of an upstream through its failure domain, "" if unknown. */
const char *config_upstream_region(const Bc__Config *c, const Bc__Upstream *u);

/* Whether the upstream may take new work: intent IN and failure domain not out. */
bool config_upstream_usable(const Bc__Config *c, const Bc__Upstream *u);

/*
 * Home regions of a request by its route and client account: the intersection if both have some.
 * `*homed` says whether there is any restriction. Returns whether `region` may serve it.
 */
bool config_home_allows(const Bc__Config *c, const Bc__Route *route, struct str account,
			struct str region, bool *homed);
/* Slots of the service's upstreams in a region, and those of them that may take new work. */
uint64_t config_slots(const Bc__Config *c, struct str service, struct str region);
uint64_t config_usable_slots(const Bc__Config *c, struct str service, struct str region);

/* First region that may serve it (see above), NULL if the intersection is empty. */
const Bc__Region *config_home_region(const Bc__Config *c, const Bc__Route *route,
				     struct str account);

/*
 * Partition of a key, and the region that serves a partition: rendezvous hashing, weighted by
 * `region_weights` of the service or, without them, by the slots that stand in each region.
 */
uint32_t config_partition(const Bc__Service *s, uint64_t key_hash);
uint32_t config_hash_partition(uint64_t key_hash, uint32_t partitions);
const char *config_partition_region(const Bc__Config *c, const Bc__Service *s, uint32_t partition);

#endif
