/*
 * The operators' configuration as the unpacked protobuf message `Bc__Config`: look-ups, checks, and
 * conversion from and to the YAML file of an operator. These functions are pure.
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

/* Location of a fault: entry `index` of a section, and the invalid field. */
struct config_fault {
	enum config_section section;
	size_t index;
	const char *field;
};

/* Returns the name of a section in the YAML file, for example "failure_domains". */
const char *config_section_name(enum config_section section);

/*
 * Checks the whole configuration. Returns false at the first fault; the error names object, field,
 * fault and remedy.
 */
bool config_check(const Bc__Config *c, struct err *err);
/* Like config_check(), and also stores the location of the fault. */
bool config_check_where(const Bc__Config *c, struct config_fault *location, struct err *err);

/*
 * Reads a YAML file with regions, failure domains, services, routes, accounts and upstreams.
 * Returns NULL on error; the error names line, field, fault and remedy. Free the result with
 * config_free().
 *
 * `base` is the configuration in force or NULL. The result takes over its version, ledger and
 * lifted fingerprints. An upstream whose id is in `base` keeps its number; others get new numbers.
 * If the file leaves out `out` of a failure domain, `intent` of an upstream or `region_weights` of
 * a service, the value of `base` stays, so that applying a file does not undo earlier plans of
 * operators.
 */
Bc__Config *config_from_yaml(struct str text, const Bc__Config *base, struct err *err);
/* Writes the configuration as YAML for `bamboocroft-ctl show`. The caller frees the string. */
char *config_to_yaml(const Bc__Config *c);

Bc__Config *config_copy(const Bc__Config *c);
void config_free(Bc__Config *c);

const Bc__Service *config_service(const Bc__Config *c, struct str id);
const Bc__Upstream *config_upstream(const Bc__Config *c, uint32_t num);
const Bc__Upstream *config_upstream_by_id(const Bc__Config *c, struct str id);
const Bc__FailureDomain *config_failure_domain(const Bc__Config *c, struct str id);
const Bc__Region *config_region(const Bc__Config *c, struct str id);

/* Returns the route with the longest prefix that matches a path without its query, or NULL. */
const Bc__Route *config_route(const Bc__Config *c, struct str path);

/* Returns the region of the upstream's failure domain, "" if the failure domain is not defined. */
const char *config_upstream_region(const Bc__Config *c, const Bc__Upstream *u);

/* Whether the upstream may take new work: intent IN and failure domain not out. */
bool config_upstream_usable(const Bc__Config *c, const Bc__Upstream *u);

/*
 * Whether `region` may serve a request of this route and client account. If both have home regions,
 * only regions of both lists may. `*homed` is set if the route or the account has home regions.
 */
bool config_home_allows(const Bc__Config *c, const Bc__Route *route, struct str account,
			struct str region, bool *homed);
/* Returns the slots of a service's upstreams in a region. */
uint64_t config_slots(const Bc__Config *c, struct str service, struct str region);
/* Like config_slots(), but counts only upstreams that may take new work. */
uint64_t config_usable_slots(const Bc__Config *c, struct str service, struct str region);

/* Returns the first region that config_home_allows() accepts, NULL if there is none. */
const Bc__Region *config_home_region(const Bc__Config *c, const Bc__Route *route,
				     struct str account);

/* Returns the partition of a key. */
uint32_t config_partition(const Bc__Service *s, uint64_t key_hash);
uint32_t config_hash_partition(uint64_t key_hash, uint32_t partitions);
/*
 * Returns the region that serves a partition, "" if none has a weight. Uses rendezvous hashing,
 * weighted by the service's `region_weights` or, without them, by its slots in each region.
 */
const char *config_partition_region(const Bc__Config *c, const Bc__Service *s, uint32_t partition);

#endif
