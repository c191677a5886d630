/*
 * Events of this process for the time line. Each is stored in a ring in memory, which the
 * operators' port serves, and written to standard error as a JSON line. Events name partitions,
 * never keys or client accounts.
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

/* Empty and zero fields are left out of the JSON. event_emit() copies the strings. */
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
	bool homed; /* the request has home regions: its id must not leave this region */
	struct str peer;
	uint64_t version; /* of the document that was in force */
	uint64_t number;  /* lease number, epoch, fingerprint or count, depending on `kind` */
};

struct event_log;

struct event_log *event_log_create(const char *process, const char *incarnation, struct hlc *hlc);
void event_log_destroy(struct event_log *log);
/* Stores and logs an event with the next time stamp of the log's hybrid logical clock. */
void event_emit(struct event_log *log, const struct event *ev);

/*
 * Writes the stored events after `since` (an HLC value) as JSON lines, oldest first. Request ids of
 * homed requests are written only if `with_homed`.
 */
void event_write(const struct event_log *log, FILE *out, uint64_t since, bool with_homed);

#endif
