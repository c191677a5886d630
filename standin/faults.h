/*
 * Fault switches of a stand-in, set by `POST /control` with a JSON object on the control port:
 *
 *   down               true: new and open connections of the service port are closed at once
 *   slow_ms            time added to the processing of each request
 *   drop_answers       the next n requests are performed, but their connections are closed
 *                      without an answer
 *   freeze_ms          the whole process blocks for this time, on all ports
 *   crash_on           the process exits when it starts a request whose body contains this text;
 *                      a request with the header `x-crash: 1` always does so
 *   silent_connections true: connections that are open now are never answered again
 *   late_answer_ms     delay between performing a request and answering it
 *   truncate           the next n answers end in the middle of the body
 *
 * drop_answers and truncate do not count exempt exchanges. The stand-in for an upstream exempts
 * health probes, load probes and grants, because their number depends on timing; n therefore means
 * n requests.
 *
 * A stand-in can add switches of its own with a table of struct fault_switch.
 */
#ifndef STANDIN_FAULTS_H
#define STANDIN_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include "standin/httpd.h"

/* Exit code of a stand-in that a request made crash. */
#define FAULTS_CRASH_EXIT 70

enum fault_kind { FAULT_BOOL, FAULT_COUNT, FAULT_FACTOR, FAULT_TEXT };

struct fault_switch {
	const char *name;
	enum fault_kind kind;
	/* Sets the switch; `data` is the `owner_data` of struct faults for extra switches. */
	void (*apply)(void *data, const json_t *value);
};

struct faults {
	struct httpd *httpd;
	/* Switches of this stand-in alone, up to a NULL name; may be NULL. */
	const struct fault_switch *extra;
	void *owner_data; /* passed to extra switches, before_crash and performed handlers */
	/* Called before the process exits because of a request; may be NULL. */
	void (*before_crash)(void *data, const struct exchange *x);
	/* Values of the switches of the same names, see above. */
	clk_ms slow_ms;
	clk_ms late_answer_ms;
	uint64_t drop_answers;
	uint64_t truncate;
	char *crash_on;	       /* text in a request body that crashes the process; NULL: none */
	uint64_t silent_up_to; /* connections with numbers up to this one are never answered */
};

/* Handles `POST /control`; returns false and leaves `x` open if `x` is another request. */
bool faults_control(struct faults *f, struct exchange *x);

/*
 * Whether the switch silent_connections covers the exchange's connection. The caller must then
 * leave the exchange open and unanswered.
 */
bool faults_silent(const struct faults *f, const struct exchange *x);

/* Exits the process if the request matches crash_on or has the header `x-crash: 1`. */
void faults_crash(struct faults *f, const struct exchange *x);

/*
 * Applies silent_connections, crash_on and slow_ms to a request, then calls `perform` with
 * `owner_data` unless the connection is silent.
 */
void faults_perform(struct faults *f, struct exchange *x, httpd_handler perform);

/* Answers a performed request, subject to late_answer_ms, drop_answers and truncate. */
void faults_answer(struct faults *f, struct exchange *x, int status, const char *type,
		   struct str body);
/* As faults_answer() with a JSON body; takes over the reference to `json`. */
void faults_answer_json(struct faults *f, struct exchange *x, int status, json_t *json);

#endif
