/*
 * Fault switches of a stand-in, set by `POST /control` with a JSON object on the control port:
 *
 *   down               true: connections are closed at once, open ones included
 *   slow_ms            delay before a request is performed
 *   drop_answers       the next n requests are performed, then closed without an answer
 *   freeze_ms          the process stops for this time on all ports
 *   crash_on           the process exits when it starts a request whose body contains this text;
 *                      a request with the header `x-crash: 1` always does so
 *   silent_connections true: connections that are open now are never answered again
 *   late_answer_ms     delay between performing a request and answering it
 *   truncate           the next n answers end in the middle of the body
 *
 * drop_answers and truncate pass over exchanges that are exempt: an upstream exempts probes and
 * grants, whose number depends on timing, so that n means n requests.
 *
 * A stand-in adds switches of its own with a table.
 */
#ifndef STANDIN_FAULTS_H
#define STANDIN_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include "standin/httpd.h"

/* Exit code of a process that a request made crash. */
#define FAULTS_CRASH_EXIT 70

enum fault_kind { FAULT_BOOL, FAULT_COUNT, FAULT_FACTOR, FAULT_TEXT };

struct fault_switch {
	const char *name;
	enum fault_kind kind;
	/* `data` is that of the table's owner. */
	void (*apply)(void *data, const json_t *value);
};

struct faults {
	struct httpd *httpd;
	const struct fault_switch *own; /* ends with a NULL name; may be NULL */
	void *own_data;
	/* Called before the process exits because of a request; may be NULL. */
	void (*before_crash)(void *data, const struct exchange *x);
	clk_ms slow_ms;
	clk_ms late_answer_ms;
	uint64_t drop_answers;
	uint64_t truncate;
	char *crash_on;	       /* NULL: off */
	uint64_t silent_up_to; /* connections up to this number are silent */
};

/* Handles `POST /control`; false if `x` is another request. */
bool faults_control(struct faults *f, struct exchange *x);

/* Whether the exchange's connection has gone silent: leave the exchange open and unanswered. */
bool faults_silent(const struct faults *f, const struct exchange *x);

/* Exits the process if the request is one that crashes it. */
void faults_crash(struct faults *f, const struct exchange *x);

/* Applies silence, crash and delay, then calls `perform` with the owner's data. */
void faults_perform(struct faults *f, struct exchange *x, httpd_handler perform);

/* Answers a performed request, subject to the switches. */
void faults_answer(struct faults *f, struct exchange *x, int status, const char *type,
		   struct str body);
void faults_answer_json(struct faults *f, struct exchange *x, int status, json_t *json);

#endif
