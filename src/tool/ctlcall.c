#include "tool/ctlcall.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define CREDENTIAL_BYTES 1024 /* of the line read, with its newline and the NUL */
/*
 * Minimum timeout of one confirm call. After a write without an answer, a router reads the data
 * back for 10 s before it answers that the outcome is unknown.
 */
#define CONFIRM_TIMEOUT_MS 12000
/* Time after which no further attempt of a confirm starts, and the pause between attempts. */
#define CONFIRM_TOTAL_MS 30000
#define CONFIRM_RETRY_MS 500
/* Pause after a conflict that an earlier attempt of the same confirm may have caused: longer than a
 * router takes to load a newer configuration from the store. */
#define CONFIRM_SYNC_WAIT_MS 1500

static void pause_ms(clk_ms ms)
{
	struct timespec ts = {.tv_sec = ms / 1000, .tv_nsec = (ms % 1000) * 1000000};

	nanosleep(&ts, NULL);
}

/* Whether `text` is a non-empty word of printable ASCII characters. */
static bool is_valid_credential(const char *text)
{
	if (!*text)
		return false;
	for (; *text; text++) {
		if (*text <= ' ' || *text > '~')
			return false;
	}
	return true;
}

char *ctlcall_read_credential(const char *path, struct err *err)
{
	char *text = calloc(1, CREDENTIAL_BYTES);
	FILE *f = fopen(path, "r");

	if (!text)
		abort();
	if (!f) {
		err_set(err, ERR_SETTINGS, "%.200s: cannot be opened; name a readable file", path);
		free(text);
		return NULL;
	}
	if (!fgets(text, CREDENTIAL_BYTES, f))
		text[0] = '\0';
	fclose(f);
	text[strcspn(text, "\r\n")] = '\0';
	if (is_valid_credential(text))
		return text;
	err_set(err, ERR_SETTINGS,
		"%.200s: the first line is not a credential; write the operator_credential of the "
		"routers' settings, without blanks",
		path);
	free(text);
	return NULL;
}

/* Returns the error kind of an HTTP status other than 200. */
static enum err_kind kind_of_status(int status)
{
	switch (status) {
	case 400:
	case 413:
		return ERR_INPUT;
	case 401:
	case 403:
		return ERR_DENIED;
	case 404:
		return ERR_NOT_FOUND;
	case 409:
		return ERR_CONFLICT;
	case 503:
		return ERR_UNAVAILABLE;
	case 504:
		return ERR_TIMEOUT;
	default:
		return ERR_IO;
	}
}

/* Sets `err` from a router's error answer: its error text and remedy. Always returns false. */
static bool set_answer_error(const char *router, const struct httpcall_answer *a, struct err *err)
{
	json_t *root = json_loadb(a->body.ptr, a->body.len, 0, NULL);
	const char *message = json_string_value(json_object_get(root, "error"));
	const char *remedy = json_string_value(json_object_get(root, "remedy"));

	if (message)
		err_set(err, kind_of_status(a->status), "%s: %s%s%s", router, message,
			remedy ? "; " : "", remedy ? remedy : "");
	else
		err_set(err, kind_of_status(a->status),
			"%s: status %d without an explanation; check that this is a router's "
			"operators' port",
			router, a->status);
	json_decref(root);
	return false;
}

bool ctlcall_one(const struct ctlcall *c, const char *router, const char *method, const char *path,
		 struct str body, struct httpcall_answer *answer, struct err *err)
{
	struct httpcall call = {
		.address = router,
		.method = method,
		.path = path,
		.credential = c->credential,
		.body = body,
		.timeout = c->timeout,
	};

	err_clear(err);
	if (!httpcall(&call, answer, err))
		return false;
	if (answer->status == 200)
		return true;
	return set_answer_error(router, answer, err);
}

/* Whether the call may succeed on another router, since this one failed or is not reachable. */
static bool is_retryable(enum err_kind kind)
{
	return kind == ERR_UNAVAILABLE || kind == ERR_TIMEOUT || kind == ERR_IO;
}

bool ctlcall_any(const struct ctlcall *c, const char *method, const char *path, struct str body,
		 struct httpcall_answer *answer, struct err *err)
{
	for (size_t i = 0; i < c->n_routers; i++) {
		if (ctlcall_one(c, c->routers[i], method, path, body, answer, err))
			return true;
		httpcall_free(answer);
		if (!is_retryable(err->kind))
			return false;
	}
	return false;
}

/*
 * Sends the confirm to each router in turn until one succeeds or returns a final error. Sets
 * `*uncertain` if a router may have carried out the confirm without reporting success. A conflict
 * after that may come from a router that has not loaded this same change yet.
 */
static bool confirm_round(const struct ctlcall *c, struct str body, struct httpcall_answer *answer,
			  bool *uncertain, struct err *err)
{
	for (size_t i = 0; i < c->n_routers; i++) {
		if (ctlcall_one(c, c->routers[i], "POST", "/confirm", body, answer, err))
			return true;
		httpcall_free(answer);
		if (err->kind == ERR_TIMEOUT || err->kind == ERR_IO)
			*uncertain = true;
		if (!is_retryable(err->kind))
			return false;
	}
	return false;
}

bool ctlcall_confirm(const struct ctlcall *c, struct str body, struct httpcall_answer *answer,
		     struct err *err)
{
	struct ctlcall confirm = *c;
	clk_ms give_up_at = clk_now() + CONFIRM_TOTAL_MS;
	bool uncertain = false;
	bool waited_for_sync = false;

	if (confirm.timeout < CONFIRM_TIMEOUT_MS)
		confirm.timeout = CONFIRM_TIMEOUT_MS;
	for (;;) {
		if (confirm_round(&confirm, body, answer, &uncertain, err))
			return true;
		if (err->kind == ERR_CONFLICT && uncertain && !waited_for_sync) {
			waited_for_sync = true;
			pause_ms(CONFIRM_SYNC_WAIT_MS);
			continue;
		}
		if (!is_retryable(err->kind))
			return false;
		if (clk_now() + CONFIRM_RETRY_MS > give_up_at)
			break;
		pause_ms(CONFIRM_RETRY_MS);
	}
	if (uncertain)
		return err_set(
			err, ERR_TIMEOUT,
			"it is not known whether the plan took effect; confirm the same plan "
			"again, it is never done twice");
	return false;
}
