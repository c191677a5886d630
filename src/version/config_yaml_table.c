/* Schema of the configuration file: its sections, their fields, and defaults. */
#include "version/config_yaml_priv.h"

#define DEFAULT_PARTITIONS 256
#define DEFAULT_TIMEOUT_MS 2000
#define DEFAULT_COLD_STEP 20 /* completed requests per step of the cold limit */

#define REQUIRED true
#define OPTIONAL false
/* Offsets in a protobuf struct: of a single member, or of a list and of its length. */
#define SINGLE(type, member) offsetof(type, member), 0
#define LIST(type, member) offsetof(type, member), offsetof(type, n_##member)

static const struct config_yaml_field region_fields[] = {
	{"id", CONFIG_FIELD_STRING, SINGLE(Bc__Region, id), REQUIRED, 0},
	{"entries", CONFIG_FIELD_STRINGS, LIST(Bc__Region, entries), OPTIONAL, 0},
	{NULL},
};

static const struct config_yaml_field failure_domain_fields[] = {
	{"id", CONFIG_FIELD_STRING, SINGLE(Bc__FailureDomain, id), REQUIRED, 0},
	{"region", CONFIG_FIELD_STRING, SINGLE(Bc__FailureDomain, region), REQUIRED, 0},
	{"out", CONFIG_FIELD_BOOL, SINGLE(Bc__FailureDomain, out), OPTIONAL, 0},
	{NULL},
};

static const struct config_yaml_field service_fields[] = {
	{"id", CONFIG_FIELD_STRING, SINGLE(Bc__Service, id), REQUIRED, 0},
	{"keyed", CONFIG_FIELD_BOOL, SINGLE(Bc__Service, keyed), REQUIRED, 0},
	{"partitions", CONFIG_FIELD_NUMBER, SINGLE(Bc__Service, partitions), OPTIONAL,
	 DEFAULT_PARTITIONS},
	{"regions", CONFIG_FIELD_STRINGS, LIST(Bc__Service, regions), REQUIRED, 0},
	{"region_weights", CONFIG_FIELD_NUMBERS, LIST(Bc__Service, region_weights), OPTIONAL, 0},
	{"timeout_ms", CONFIG_FIELD_NUMBER, SINGLE(Bc__Service, timeout_ms), OPTIONAL,
	 DEFAULT_TIMEOUT_MS},
	{"cold_step", CONFIG_FIELD_NUMBER, SINGLE(Bc__Service, cold_step), OPTIONAL,
	 DEFAULT_COLD_STEP},
	{NULL},
};

static const struct config_yaml_field route_fields[] = {
	{"prefix", CONFIG_FIELD_STRING, SINGLE(Bc__Route, prefix), REQUIRED, 0},
	{"service", CONFIG_FIELD_STRING, SINGLE(Bc__Route, service), REQUIRED, 0},
	{"idempotent", CONFIG_FIELD_BOOL, SINGLE(Bc__Route, idempotent), REQUIRED, 0},
	{"home_regions", CONFIG_FIELD_STRINGS, LIST(Bc__Route, home_regions), OPTIONAL, 0},
	{NULL},
};

static const struct config_yaml_field account_fields[] = {
	{"account", CONFIG_FIELD_STRING, SINGLE(Bc__AccountHome, account), REQUIRED, 0},
	{"home_regions", CONFIG_FIELD_STRINGS, LIST(Bc__AccountHome, home_regions), REQUIRED, 0},
	{NULL},
};

static const struct config_yaml_field upstream_fields[] = {
	{"id", CONFIG_FIELD_STRING, SINGLE(Bc__Upstream, id), REQUIRED, 0},
	{"service", CONFIG_FIELD_STRING, SINGLE(Bc__Upstream, service), REQUIRED, 0},
	{"failure_domain", CONFIG_FIELD_STRING, SINGLE(Bc__Upstream, failure_domain), REQUIRED, 0},
	{"address", CONFIG_FIELD_ADDRESS, offsetof(Bc__Upstream, ip), offsetof(Bc__Upstream, port),
	 REQUIRED, 0},
	{"slots", CONFIG_FIELD_NUMBER, SINGLE(Bc__Upstream, slots), REQUIRED, 0},
	{"cold_limit", CONFIG_FIELD_NUMBER, SINGLE(Bc__Upstream, cold_limit), OPTIONAL, 1},
	{"checks_grants", CONFIG_FIELD_BOOL, SINGLE(Bc__Upstream, checks_grants), OPTIONAL, 0},
	{"intent", CONFIG_FIELD_INTENT, SINGLE(Bc__Upstream, intent), OPTIONAL, 0},
	{NULL},
};

const char *const config_yaml_intents[CONFIG_YAML_N_INTENTS] = {
	[BC__UPSTREAM_INTENT__IN] = "in",
	[BC__UPSTREAM_INTENT__DRAINING] = "draining",
	[BC__UPSTREAM_INTENT__DEAD] = "dead",
};

const struct config_yaml_section config_yaml_sections[CONFIG_SECTIONS] = {
	[CONFIG_REGIONS] = {region_fields, &bc__region__descriptor, LIST(Bc__Config, regions),
			    REQUIRED},
	[CONFIG_FAILURE_DOMAINS] = {failure_domain_fields, &bc__failure_domain__descriptor,
				    LIST(Bc__Config, failure_domains), REQUIRED},
	[CONFIG_SERVICES] = {service_fields, &bc__service__descriptor, LIST(Bc__Config, services),
			     REQUIRED},
	[CONFIG_ROUTES] = {route_fields, &bc__route__descriptor, LIST(Bc__Config, routes),
			   REQUIRED},
	[CONFIG_ACCOUNTS] = {account_fields, &bc__account_home__descriptor,
			     LIST(Bc__Config, account_homes), OPTIONAL},
	[CONFIG_UPSTREAMS] = {upstream_fields, &bc__upstream__descriptor,
			      LIST(Bc__Config, upstreams), REQUIRED},
};
