/*
 * Events of this process: a ring in memory, served on the operators' port, and a JSON log line
 * each. Events name partitions, never keys or client accounts.
 */
#ifndef PROCESS_EVENT_H
#define PROCESS_EVENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "base/hlc.h"
#include "base/str.h"

#define EVENT_RING_SIZE 65536

/* Empty and zero fields are left out. Strings are copied. */
struct event {
	uint64_t hlc;	    /* set by event_emit() */
	const char *module; /* static string */
	const char *kind;   /* static string, for example "slot-granted", "owner-changed" */
	struct str cause;   /* why, in a few words */
	struct str service;
	bool has_partition;
	uint32_t partition;
	struct str upstream;
	struct str failure_domain;
	struct str plan;
	struct str request_id;
	bool homed; /* request with home regions: the id stays in this region */
	struct str peer;
	uint64_t version; /* of the document that was in force */
	uint64_t number;  /* lease number, epoch or count, as the kind says */
};

struct event_log;

struct event_log *event_log_create(const char *process, const char *incarnation, struct hlc *hlc);
void event_log_destroy(struct event_log *log);
void event_emit(struct event_log *log, const struct event *ev);

/*
 * Writes events after `since` (a hlc value) as JSON lines. Request ids of homed requests are
 * written only if `with_homed`.
 */
void event_write(const struct event_log *log, FILE *out, uint64_t since, bool with_homed);

#endif
