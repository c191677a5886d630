/*
 * Events of several processes, merged into one order by their hybrid clocks. Input lines are JSON
 * objects as src/process/event.h writes them; other lines of a log are passed over.
 */
#ifndef TOOL_EVENTS_H
#define TOOL_EVENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "base/str.h"

#define EVENTS_MAX_KINDS 16

struct events;

/* Conditions that an event must meet all; NULL and false are no condition. */
struct events_filter {
	uint64_t since; /* clock value */
	/* Keep request ids of requests with home regions; else they are removed before matching. */
	bool with_homed;
	const char *service;
	bool has_partition;
	uint64_t partition;
	const char *upstream;
	const char *failure_domain;
	const char *plan;
	const char *request_id;
	const char *kinds[EVENTS_MAX_KINDS]; /* any of them */
	size_t n_kinds;
};

struct events *events_create(void);
void events_destroy(struct events *e);

/* Takes the events among the lines of `text`. An event that is already known is taken once. */
void events_add(struct events *e, struct str text);

/* Sorts by clock, then by process, and drops what the filter does not match. */
void events_merge(struct events *e, const struct events_filter *filter);

size_t events_count(const struct events *e);
/* Lines that were no events. */
size_t events_skipped(const struct events *e);

void events_write_text(const struct events *e, FILE *out);
void events_write_json(const struct events *e, FILE *out);

/* Removes request ids of requests with home regions, which must not leave their region. */
void events_remove_homed_ids(struct events *e);

#endif
