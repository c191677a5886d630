/*
 * Merges the events of several processes into one order by their hybrid logical clocks, and prints
 * them. Input is lines of JSON objects as src/process/event.h writes them, for example from a log;
 * lines that are not events are skipped and counted.
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

/* Conditions, all of which an event must meet to be kept. A NULL field is no condition. */
struct events_filter {
	uint64_t since; /* clock value (HLC); only later events are kept */
	/* Whether to keep the request ids of requests with home regions. Otherwise they are removed
	 * before `request_id` is compared. */
	bool with_homed;
	const char *service;
	bool has_partition; /* whether `partition` is a condition */
	uint64_t partition;
	const char *upstream;
	const char *failure_domain;
	const char *plan;
	const char *request_id;
	const char *kinds[EVENTS_MAX_KINDS]; /* the event must be of one of these kinds */
	size_t n_kinds;			     /* 0: any kind */
};

struct events *events_create(void);
void events_destroy(struct events *e);

/*
 * Adds the events among the lines of `text`. An event that was added before (same clock value,
 * process and incarnation) is not added again.
 */
void events_add(struct events *e, struct str text);

/* Removes the events that do not match the filter; sorts the others by clock, then by process. */
void events_merge(struct events *e, const struct events_filter *filter);

size_t events_count(const struct events *e);
/* Returns the number of non-empty input lines that were not events. */
size_t events_skipped(const struct events *e);

/* Writes the events in aligned columns: time, process, module, kind, cause, then other fields. */
void events_write_text(const struct events *e, FILE *out);
/* Writes the events as JSON lines. */
void events_write_json(const struct events *e, FILE *out);

/* Removes the request ids of requests with home regions: these ids must not leave their region. */
void events_remove_homed_ids(struct events *e);

#endif
