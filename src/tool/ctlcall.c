#include "tool/ctlcall.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define CREDENTIAL_BYTES 1024
/* A router reads a lost write back for 10 s before it says that the outcome is unknown. */
#define CONFIRM_TIMEOUT_MS 12000
#define CONFIRM_LIMIT_MS 30000
#define CONFIRM_PAUSE_MS 500
/* Longer than a router needs to take over a newer configuration from the store. */
#define CONFIRM_SYNC_MS 1500

static void pause_ms(clk_ms ms)
{
	struct timespec ts = {.tv_sec = ms / 1000, .tv_nsec = (ms % 1000) * 1000000};

	nanosleep(&ts, NULL);
}

static bool is_credential(const char *text)
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
	if (is_credential(text))
		return text;
	err_set(err, ERR_SETTINGS,
		"%.200s: the first line is not a credential; write the operator_credential of the "
		"routers' settings, without blanks",
		path);
	free(text);
	return NULL;
}

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

/* Error of an answer: what the router says, with its remedy. */
static bool answer_error(const char *router, const struct httpcall_answer *a, struct err *err)
{
	json_t *root = json_loadb(a->body.ptr, a->body.len, 0, NULL);
	const char *what = json_string_value(json_object_get(root, "error"));
	const char *remedy = json_string_value(json_object_get(root, "remedy"));

	if (what)
		err_set(err, kind_of_status(a->status), "%s: %s%s%s", router, what,
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
	return answer_error(router, answer, err);
}

/* Another router may answer better: this one is not reachable, or lacks something. */
static bool try_next(enum err_kind kind)
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
		if (!try_next(err->kind))
			return false;
	}
	return false;
}

/*
 * One round over all routers. `*uncertain` is set when one of them may have carried the confirm
 * out. A conflict after that can be the own change, which this router does not hold yet.
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
		if (!try_next(err->kind))
			return false;
	}
	return false;
}

bool ctlcall_confirm(const struct ctlcall *c, struct str body, struct httpcall_answer *answer,
		     struct err *err)
{
	struct ctlcall slow = *c;
	clk_ms end = clk_now() + CONFIRM_LIMIT_MS;
	bool uncertain = false;
	bool waited = false;

	if (slow.timeout < CONFIRM_TIMEOUT_MS)
		slow.timeout = CONFIRM_TIMEOUT_MS;
	for (;;) {
		if (confirm_round(&slow, body, answer, &uncertain, err))
			return true;
		if (err->kind == ERR_CONFLICT && uncertain && !waited) {
			waited = true;
			pause_ms(CONFIRM_SYNC_MS);
			continue;
		}
		if (!try_next(err->kind))
			return false;
		if (clk_now() + CONFIRM_PAUSE_MS > end)
			break;
		pause_ms(CONFIRM_PAUSE_MS);
	}
	if (uncertain)
		return err_set(
			err, ERR_TIMEOUT,
			"it is not known whether the plan took effect; confirm the same plan "
			"again, it is never done twice");
	return false;
}
