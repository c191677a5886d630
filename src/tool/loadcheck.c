#include "tool/loadcheck.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <uthash.h>

#include "base/clk.h"
#include "base/str.h"

struct answer {
	char *request_id; /* sent by the caller, else echoed in the answer; NULL if neither */
	char *key;
	char *detail; /* NULL, or why the answer is not one to this request */
	bool completed;
	bool not_run;
};

struct run {
	char *name; /* upstream, start id and number: the same run may be listed twice */
	char *upstream;
	char *service;
	char *request_id;
	char *key;
	bool keyed; /* has a partition */
	bool hot;
	json_int_t epoch;
	clk_ms start;
	clk_ms end;
	bool running;
	bool completed;
	bool discarded;
	UT_hash_handle hh;
};

/* All that is known about one request id. */
struct request {
	char *id;
	bool idempotent;
	size_t attempts;
	size_t not_run;
	size_t runs;
	size_t completed_runs;
	UT_hash_handle hh;
};

struct loadcheck {
	struct answer *answers;
	size_t n_answers;
	size_t capacity;
	struct run *runs;
	struct request *requests;
	FILE *out;
	struct loadcheck_result result;
};

typedef bool (*line_cb)(struct loadcheck *c, const json_t *line, struct err *err);

struct loadcheck *loadcheck_create(void)
{
	struct loadcheck *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	return c;
}

static void free_run(struct run *r)
{
	free(r->name);
	free(r->upstream);
	free(r->service);
	free(r->request_id);
	free(r->key);
	free(r);
}

void loadcheck_destroy(struct loadcheck *c)
{
	struct run *run = c->runs;
	struct request *req = c->requests;

	for (size_t i = 0; i < c->n_answers; i++) {
		free(c->answers[i].request_id);
		free(c->answers[i].key);
		free(c->answers[i].detail);
	}
	free(c->answers);
	/* Frees the tables only; their elements stay linked. */
	HASH_CLEAR(hh, c->runs);
	HASH_CLEAR(hh, c->requests);
	while (run) {
		struct run *next = run->hh.next;

		free_run(run);
		run = next;
	}
	while (req) {
		struct request *next = req->hh.next;

		free(req->id);
		free(req);
		req = next;
	}
	free(c);
}

static const char *text_of(const json_t *line, const char *name)
{
	return json_string_value(json_object_get(line, name));
}

static char *copy_of(const json_t *line, const char *name)
{
	const char *text = text_of(line, name);

	return text && *text ? strdup(text) : NULL;
}

static json_int_t number_of(const json_t *line, const char *name)
{
	return json_integer_value(json_object_get(line, name));
}

static bool text_is(const json_t *line, const char *name, const char *value)
{
	const char *text = text_of(line, name);

	return text && strcmp(text, value) == 0;
}

static struct request *request_of(struct loadcheck *c, const char *id)
{
	struct request *r;

	HASH_FIND_STR(c->requests, id, r);
	if (r)
		return r;
	r = calloc(1, sizeof(*r));
	if (!r)
		abort();
	r->id = strdup(id);
	HASH_ADD_KEYPTR(hh, c->requests, r->id, strlen(r->id), r);
	return r;
}

/* ---- reading ---- */

static bool take_answer(struct loadcheck *c, const json_t *line, struct err *err)
{
	struct answer *a;

	if (!text_of(line, "result") || !json_is_integer(json_object_get(line, "status")))
		return err_set(
			err, ERR_INPUT,
			"not a caller's line; give a file written by bamboocroft-load --out");
	if (c->n_answers == c->capacity) {
		c->capacity = c->capacity ? 2 * c->capacity : 1024;
		c->answers = realloc(c->answers, c->capacity * sizeof(*c->answers));
		if (!c->answers)
			abort();
	}
	a = &c->answers[c->n_answers++];
	a->request_id = copy_of(line, "request_id");
	if (!a->request_id)
		a->request_id = copy_of(line, "answer_request_id");
	a->key = copy_of(line, "key");
	a->detail = text_is(line, "body_check", "mismatch") ? copy_of(line, "body_detail") : NULL;
	if (text_is(line, "body_check", "mismatch") && !a->detail)
		a->detail = strdup("the content does not match");
	a->completed = text_is(line, "outcome", "completed");
	a->not_run = text_is(line, "outcome", "not-run");
	if (a->request_id) {
		struct request *r = request_of(c, a->request_id);

		r->attempts++;
		r->not_run += a->not_run;
		r->idempotent |= json_is_true(json_object_get(line, "idempotent"));
	}
	return true;
}

static bool take_run(struct loadcheck *c, const json_t *line, struct err *err)
{
	char name[600];
	struct run *r;
	struct run *listed;

	if (!text_of(line, "upstream") || !text_of(line, "start_id") || !text_of(line, "result") ||
	    !json_is_integer(json_object_get(line, "seq")) ||
	    !json_is_integer(json_object_get(line, "start")))
		return err_set(err, ERR_INPUT,
			       "not a ledger line; give the output of an upstream's GET /ledger");
	snprintf(name, sizeof(name), "%.200s %.200s %lld", text_of(line, "upstream"),
		 text_of(line, "start_id"), (long long)number_of(line, "seq"));
	HASH_FIND_STR(c->runs, name, listed);
	if (listed && !listed->running)
		return true;
	if (listed) {
		HASH_DEL(c->runs, listed);
		free_run(listed);
	}
	r = calloc(1, sizeof(*r));
	if (!r)
		abort();
	r->name = strdup(name);
	r->upstream = copy_of(line, "upstream");
	r->service = copy_of(line, "service");
	r->request_id = copy_of(line, "request_id");
	r->key = copy_of(line, "key");
	r->keyed = json_is_integer(json_object_get(line, "partition"));
	r->hot = json_is_true(json_object_get(line, "hot"));
	r->epoch = number_of(line, "epoch");
	r->start = number_of(line, "start");
	r->end = number_of(line, "end");
	r->running = text_is(line, "result", "running");
	r->completed = text_is(line, "result", "completed");
	r->discarded = text_is(line, "result", "discarded");
	if (!r->end)
		r->end = r->start;
	HASH_ADD_KEYPTR(hh, c->runs, r->name, strlen(r->name), r);
	return true;
}

static bool read_lines(struct loadcheck *c, const char *path, line_cb take, struct err *err)
{
	FILE *in = fopen(path, "re");
	char *text = NULL;
	size_t size = 0;
	size_t number = 0;
	ssize_t len;
	bool good = true;

	if (!in)
		return err_set(err, ERR_INPUT, "cannot read %.300s: give a file that exists", path);
	while (good && (len = getline(&text, &size, in)) > 0) {
		json_t *line;

		number++;
		if (len == 1)
			continue;
		line = json_loadb(text, (size_t)len, 0, NULL);
		good = json_is_object(line)
			       ? take(c, line, err)
			       : err_set(err, ERR_INPUT, "not JSON; remove or correct the line");
		json_decref(line);
		if (!good)
			err_prefix(err, "%.150s line %zu", path, number);
	}
	free(text);
	fclose(in);
	return good;
}

bool loadcheck_read_callers(struct loadcheck *c, const char *path, struct err *err)
{
	return read_lines(c, path, take_answer, err);
}

bool loadcheck_read_ledger(struct loadcheck *c, const char *path, struct err *err)
{
	return read_lines(c, path, take_run, err);
}

/* ---- checking ---- */

static const char *or_dash(const char *text)
{
	return text ? text : "-";
}

static void violation(struct loadcheck *c, const char *kind, const char *request_id,
		      const char *key, const char *detail)
{
	c->result.violations++;
	fprintf(c->out, "violation %s request_id=%s key=%s: %s\n", kind, or_dash(request_id),
		or_dash(key), detail);
}

static void count_runs(struct loadcheck *c)
{
	struct run *run;
	struct run *next;

	HASH_ITER (hh, c->runs, run, next) {
		c->result.runs++;
		c->result.unfinished += run->running;
		if (run->discarded || !run->request_id)
			continue;
		request_of(c, run->request_id)->runs++;
		request_of(c, run->request_id)->completed_runs += run->completed;
	}
}

static int by_id(struct request *a, struct request *b)
{
	return strcmp(a->id, b->id);
}

static void check_requests(struct loadcheck *c)
{
	struct request *r;
	struct request *next;
	char detail[160];

	HASH_SORT(c->requests, by_id);
	HASH_ITER (hh, c->requests, r, next) {
		if (r->not_run && r->runs > r->attempts - r->not_run &&
		    !(r->idempotent && r->attempts > r->not_run)) {
			snprintf(detail, sizeof(detail),
				 "%zu of %zu attempts answered not-run, but upstreams ran %zu",
				 r->not_run, r->attempts, r->runs);
			violation(c, "not-run-but-ran", r->id, NULL, detail);
		}
		if (r->runs > 1 && !r->idempotent) {
			snprintf(detail, sizeof(detail), "ran %zu times", r->runs);
			violation(c, "ran-twice", r->id, NULL, detail);
		}
	}
}

static void check_answers(struct loadcheck *c)
{
	c->result.answers = c->n_answers;
	for (size_t i = 0; i < c->n_answers; i++) {
		const struct answer *a = &c->answers[i];

		if (a->detail)
			violation(c, "wrong-answer", a->request_id, a->key, a->detail);
		if (!a->completed)
			continue;
		if (!a->request_id)
			c->result.unchecked++;
		else if (!request_of(c, a->request_id)->completed_runs)
			violation(c, "completed-not-run", a->request_id, a->key,
				  "no upstream completed it");
	}
}

static int compare_text(const char *a, const char *b)
{
	return strcmp(a ? a : "", b ? b : "");
}

/* By service and key, then by start. */
static int by_key_and_start(const void *left, const void *right)
{
	const struct run *a = *(struct run *const *)left;
	const struct run *b = *(struct run *const *)right;
	int order = compare_text(a->service, b->service);

	if (!order)
		order = compare_text(a->key, b->key);
	if (!order)
		order = (a->start > b->start) - (a->start < b->start);
	return order ? order : strcmp(a->name, b->name);
}

static bool same_key(const struct run *a, const struct run *b)
{
	return compare_text(a->service, b->service) == 0 && compare_text(a->key, b->key) == 0;
}

static void check_pair(struct loadcheck *c, const struct run *first, const struct run *second)
{
	char detail[700];

	if (strcmp(first->upstream, second->upstream) != 0 && second->start < first->end) {
		snprintf(detail, sizeof(detail),
			 "%.200s ran %.64s from %lld to %lld, %.200s started %.64s at %lld",
			 first->upstream, or_dash(first->request_id), (long long)first->start,
			 (long long)first->end, second->upstream, or_dash(second->request_id),
			 (long long)second->start);
		violation(c, "two-owners", second->request_id, second->key, detail);
	}
}

static void check_epoch(struct loadcheck *c, const struct run *newest, const struct run *run)
{
	char detail[300];

	if (run->epoch >= newest->epoch || run->start <= newest->start)
		return;
	snprintf(detail, sizeof(detail), "epoch %lld started on %.80s after epoch %lld on %.80s",
		 (long long)run->epoch, run->upstream, (long long)newest->epoch, newest->upstream);
	violation(c, "old-epoch", run->request_id, run->key, detail);
}

/* Runs of one key, sorted by start. */
static void check_key(struct loadcheck *c, struct run **runs, size_t n)
{
	struct run *newest[2] = {NULL, NULL}; /* with the highest epoch: partition, split-off key */
	size_t open = 0;		      /* all runs before this one have ended */

	for (size_t i = 0; i < n; i++) {
		struct run **top = &newest[runs[i]->hot];

		while (open < i && runs[open]->end <= runs[i]->start)
			open++;
		for (size_t j = open; j < i; j++)
			check_pair(c, runs[j], runs[i]);
		if (*top)
			check_epoch(c, *top, runs[i]);
		if (!*top || runs[i]->epoch > (*top)->epoch)
			*top = runs[i];
	}
}

static void check_keys(struct loadcheck *c)
{
	struct run **sorted = calloc(HASH_COUNT(c->runs) + 1, sizeof(*sorted));
	size_t n = 0;
	struct run *run;
	struct run *next;

	if (!sorted)
		abort();
	HASH_ITER (hh, c->runs, run, next) {
		if (run->keyed && run->key && !run->discarded)
			sorted[n++] = run;
	}
	qsort(sorted, n, sizeof(*sorted), by_key_and_start);
	for (size_t from = 0; from < n;) {
		size_t to = from + 1;

		while (to < n && same_key(sorted[from], sorted[to]))
			to++;
		check_key(c, sorted + from, to - from);
		from = to;
	}
	free(sorted);
}

struct loadcheck_result loadcheck_run(struct loadcheck *c, FILE *out)
{
	c->out = out;
	c->result = (struct loadcheck_result){0};
	count_runs(c);
	check_requests(c);
	check_answers(c);
	check_keys(c);
	fprintf(out, "%zu answers, %zu runs (%zu unfinished), %zu unchecked, %zu violations\n",
		c->result.answers, c->result.runs, c->result.unfinished, c->result.unchecked,
		c->result.violations);
	return c->result;
}
