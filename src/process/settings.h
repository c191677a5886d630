/*
 * Settings file of a router (YAML), read and checked as a whole at start. One "field: value" a
 * line, with the names of the members below; addresses are written IP:PORT, seeds are a list of
 * them. All but seeds, max_body_bytes, link_bytes_per_second and log_level are required.
 */
#ifndef PROCESS_SETTINGS_H
#define PROCESS_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "base/log.h"

struct settings_address {
	char *ip;
	uint32_t port;
};

struct settings {
	char *id; /* of the instance, unique */
	char *region;
	char *failure_domain;
	struct settings_address callers;
	struct settings_address operators;
	struct settings_address peers;
	struct settings_address *seeds; /* peer addresses of routers, of any region */
	size_t n_seeds;
	struct settings_address table;
	struct settings_address objects;
	struct settings_address instances;
	char *operator_credential;	/* at least 16 characters */
	uint32_t max_body_bytes;	/* default 16 MiB */
	uint32_t link_bytes_per_second; /* default 3,000,000 */
	enum log_level log_level;
	void *priv;
};

/* Unknown keys, wrong types and bad values are refused with file, line, field and remedy. */
bool settings_load(const char *path, struct settings *out, struct err *err);
void settings_free(struct settings *s);

/* "ip:port" with an IPv4 number; the caller frees `out->ip`. */
bool settings_parse_address(struct str text, struct settings_address *out, struct err *err);

#endif
