/*
 * Settings file of a router, in YAML; it is read and checked as a whole at start. It has one
 * "field: value" per line, named like the members of struct settings. Addresses are written
 * IP:PORT, and seeds are a list of addresses. All fields are required except seeds, max_body_bytes,
 * link_bytes_per_second and log_level.
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
	char *id; /* unique id of this instance */
	char *region;
	char *failure_domain;
	struct settings_address callers;   /* listens for requests of callers */
	struct settings_address operators; /* listens for calls of operators */
	struct settings_address peers;	   /* listens for connections of other routers */
	struct settings_address *seeds;	   /* peer addresses of other routers, of any region */
	size_t n_seeds;
	struct settings_address table;	   /* table service (the store) */
	struct settings_address objects;   /* object service; checked, but not used by the router */
	struct settings_address instances; /* service that lists the running instances */
	char *operator_credential;	   /* at least 16 characters */
	uint32_t max_body_bytes;	   /* default 16 MiB */
	uint32_t link_bytes_per_second; /* limit for relays to other regions, default 3,000,000 */
	enum log_level log_level;	/* default info */
	void *priv;			/* text of the values, freed by settings_free() */
};

/*
 * Reads and checks a settings file. Returns false for unknown or missing fields, wrong types and
 * invalid values; the error names file, line, field and remedy. Free with settings_free().
 */
bool settings_load(const char *path, struct settings *out, struct err *err);
void settings_free(struct settings *s);

/* Parses "ip:port" with a numeric IPv4 address. The caller frees `out->ip`, NULL on failure. */
bool settings_parse_address(struct str text, struct settings_address *out, struct err *err);

#endif
