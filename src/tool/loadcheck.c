#include "tool/loadcheck.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <uthash.h>

#include "base/clk.h"
#include "base/str.h"

/* Answer that a caller got to one attempt. */
struct answer {
	char *request_id; /* sent by the caller, else echoed in the answer; NULL if neither */
	char *key;
	char *detail;	/* why the answer does not belong to this request; NULL if it does */
	bool completed; /* outcome "completed" */
	bool not_run;	/* outcome "not-run" */
};

/* Execution of a request by an upstream: one ledger entry. */
struct run {
	char *name; /* "UPSTREAM START-ID NUMBER": identifies a run that is listed twice */
	char *upstream;
	char *service;
	char *request_id;
	char *key;
	bool has_partition; /* the request's service divides keys into partitions */
	bool split_off;	    /* the key was split off from its partition */
	json_int_t epoch;   /* epoch of the partition or of the split-off key */
	clk_ms start;
	clk_ms end;	/* equal to `start` if the ledger has no end */
	bool running;	/* had not ended when the ledger was read */
	bool completed; /* ended normally */
	bool discarded; /* ended without being committed, so without effect */
	UT_hash_handle hh;
};

/* Counts of one request id over all callers' lines and ledgers. */
struct request {
	char *id;
	bool idempotent;
	size_t attempts;
	size_t not_run;	       /* attempts that were answered "not-run" */
	size_t runs;	       /* runs that were not discarded */
	size_t completed_runs; /* runs that ended normally and were not discarded */
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

/* Reads one JSON line; false with `err` set if a field is missing. */
typedef bool (*line_handler)(struct loadcheck *c, const json_t *line, struct err *err);

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
	/* Frees uthash's tables only: the elements stay linked by `hh.next` and are freed below. */
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

static const char *field_text(const json_t *line, const char *name)
{
	return json_string_value(json_object_get(line, name));
}

static char *field_copy(const json_t *line, const char *name)
{
	const char *text = field_text(line, name);

	return text && *text ? strdup(text) : NULL;
}

static json_int_t field_number(const json_t *line, const char *name)
{
	return json_integer_value(json_object_get(line, name));
}

static bool field_is(const json_t *line, const char *name, const char *value)
{
	const char *text = field_text(line, name);

	return text && strcmp(text, value) == 0;
}

/* Returns the request with this id, which is added if unknown. */
static struct request *get_request(struct loadcheck *c, const char *id)
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

static bool add_answer(struct loadcheck *c, const json_t *line, struct err *err)
{
	struct answer *a;

	if (!field_text(line, "result") || !json_is_integer(json_object_get(line, "status")))
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
	a->request_id = field_copy(line, "request_id");
	if (!a->request_id)
		a->request_id = field_copy(line, "answer_request_id");
	a->key = field_copy(line, "key");
	a->detail =
		field_is(line, "body_check", "mismatch") ? field_copy(line, "body_detail") : NULL;
	if (field_is(line, "body_check", "mismatch") && !a->detail)
		a->detail = strdup("the content does not match");
	a->completed = field_is(line, "outcome", "completed");
	a->not_run = field_is(line, "outcome", "not-run");
	if (a->request_id) {
		struct request *r = get_request(c, a->request_id);

		r->attempts++;
		r->not_run += a->not_run;
		r->idempotent |= json_is_true(json_object_get(line, "idempotent"));
	}
	return true;
}

/*
 * Adds the run that a ledger line describes. A run that is already known is replaced if it had not
 * ended in its earlier line; otherwise the new line is ignored.
 */
static bool add_run(struct loadcheck *c, const json_t *line, struct err *err)
{
	char name[600];
	struct run *r;
	struct run *known;

	if (!field_text(line, "upstream") || !field_text(line, "start_id") ||
	    !field_text(line, "result") || !json_is_integer(json_object_get(line, "seq")) ||
	    !json_is_integer(json_object_get(line, "start")))
		return err_set(err, ERR_INPUT,
			       "not a ledger line; give the output of an upstream's GET /ledger");
	snprintf(name, sizeof(name), "%.200s %.200s %lld", field_text(line, "upstream"),
		 field_text(line, "start_id"), (long long)field_number(line, "seq"));
	HASH_FIND_STR(c->runs, name, known);
	if (known && !known->running)
		return true;
	if (known) {
		HASH_DEL(c->runs, known);
		free_run(known);
	}
	r = calloc(1, sizeof(*r));
	if (!r)
		abort();
	r->name = strdup(name);
	r->upstream = field_copy(line, "upstream");
	r->service = field_copy(line, "service");
	r->request_id = field_copy(line, "request_id");
	r->key = field_copy(line, "key");
	r->has_partition = json_is_integer(json_object_get(line, "partition"));
	r->split_off = json_is_true(json_object_get(line, "hot"));
	r->epoch = field_number(line, "epoch");
	r->start = field_number(line, "start");
	r->end = field_number(line, "end");
	r->running = field_is(line, "result", "running");
	r->completed = field_is(line, "result", "completed");
	r->discarded = field_is(line, "result", "discarded");
	if (!r->end)
		r->end = r->start;
	HASH_ADD_KEYPTR(hh, c->runs, r->name, strlen(r->name), r);
	return true;
}

static bool read_lines(struct loadcheck *c, const char *path, line_handler add_line,
		       struct err *err)
{
	FILE *in = fopen(path, "re");
	char *text = NULL;
	size_t size = 0;
	size_t number = 0;
	ssize_t len;
	bool ok = true;

	if (!in)
		return err_set(err, ERR_INPUT, "cannot read %.300s: give a file that exists", path);
	while (ok && (len = getline(&text, &size, in)) > 0) {
		json_t *line;

		number++;
		if (len == 1)
			continue;
		line = json_loadb(text, (size_t)len, 0, NULL);
		ok = json_is_object(line)
			     ? add_line(c, line, err)
			     : err_set(err, ERR_INPUT, "not JSON; remove or correct the line");
		json_decref(line);
		if (!ok)
			err_prefix(err, "%.150s line %zu", path, number);
	}
	free(text);
	fclose(in);
	return ok;
}

bool loadcheck_read_callers(struct loadcheck *c, const char *path, struct err *err)
{
	return read_lines(c, path, add_answer, err);
}

bool loadcheck_read_ledger(struct loadcheck *c, const char *path, struct err *err)
{
	return read_lines(c, path, add_run, err);
}

/* ---- checking ---- */

static const char *text_or_dash(const char *text)
{
	return text ? text : "-";
}

static void report_violation(struct loadcheck *c, const char *kind, const char *request_id,
			     const char *key, const char *detail)
{
	c->result.violations++;
	fprintf(c->out, "violation %s request_id=%s key=%s: %s\n", kind, text_or_dash(request_id),
		text_or_dash(key), detail);
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
		get_request(c, run->request_id)->runs++;
		get_request(c, run->request_id)->completed_runs += run->completed;
	}
}

static int compare_id(struct request *a, struct request *b)
{
	return strcmp(a->id, b->id);
}

static void check_requests(struct loadcheck *c)
{
	struct request *r;
	struct request *next;
	char detail[160];

	HASH_SORT(c->requests, compare_id);
	HASH_ITER (hh, c->requests, r, next) {
		if (r->not_run && r->runs > r->attempts - r->not_run &&
		    !(r->idempotent && r->attempts > r->not_run)) {
			snprintf(detail, sizeof(detail),
				 "%zu of %zu attempts answered not-run, but upstreams ran %zu",
				 r->not_run, r->attempts, r->runs);
			report_violation(c, "not-run-but-ran", r->id, NULL, detail);
		}
		if (r->runs > 1 && !r->idempotent) {
			snprintf(detail, sizeof(detail), "ran %zu times", r->runs);
			report_violation(c, "ran-twice", r->id, NULL, detail);
		}
	}
}

static void check_answers(struct loadcheck *c)
{
	c->result.answers = c->n_answers;
	for (size_t i = 0; i < c->n_answers; i++) {
		const struct answer *a = &c->answers[i];

		if (a->detail)
			report_violation(c, "wrong-answer", a->request_id, a->key, a->detail);
		if (!a->completed)
			continue;
		if (!a->request_id)
			c->result.unchecked++;
		else if (!get_request(c, a->request_id)->completed_runs)
			report_violation(c, "completed-not-run", a->request_id, a->key,
					 "no upstream completed it");
	}
}

static int compare_nullable(const char *a, const char *b)
{
	return strcmp(a ? a : "", b ? b : "");
}

/* Orders runs by service and key, then by start, then by name. */
static int compare_key_and_start(const void *left, const void *right)
{
	const struct run *a = *(struct run *const *)left;
	const struct run *b = *(struct run *const *)right;
	int order = compare_nullable(a->service, b->service);

	if (!order)
		order = compare_nullable(a->key, b->key);
	if (!order)
		order = (a->start > b->start) - (a->start < b->start);
	return order ? order : strcmp(a->name, b->name);
}

static bool same_key(const struct run *a, const struct run *b)
{
	return compare_nullable(a->service, b->service) == 0 &&
	       compare_nullable(a->key, b->key) == 0;
}

/*
 * Reports a violation if two runs of a key overlap in time on different upstreams. `first` started
 * first.
 */
static void check_pair(struct loadcheck *c, const struct run *first, const struct run *second)
{
	char detail[700];

	if (strcmp(first->upstream, second->upstream) != 0 && second->start < first->end) {
		snprintf(detail, sizeof(detail),
			 "%.200s ran %.64s from %lld to %lld, %.200s started %.64s at %lld",
			 first->upstream, text_or_dash(first->request_id), (long long)first->start,
			 (long long)first->end, second->upstream, text_or_dash(second->request_id),
			 (long long)second->start);
		report_violation(c, "two-owners", second->request_id, second->key, detail);
	}
}

/* Reports a violation if `run` started after `newest_run` with an older epoch. */
static void check_epoch(struct loadcheck *c, const struct run *newest_run, const struct run *run)
{
	char detail[300];

	if (run->epoch >= newest_run->epoch || run->start <= newest_run->start)
		return;
	snprintf(detail, sizeof(detail), "epoch %lld started on %.80s after epoch %lld on %.80s",
		 (long long)run->epoch, run->upstream, (long long)newest_run->epoch,
		 newest_run->upstream);
	report_violation(c, "old-epoch", run->request_id, run->key, detail);
}

/*
 * Reports runs of one key that overlap on different upstreams, or that started after a run with a
 * newer epoch of the same partition or split-off key. `runs` must be sorted by start.
 */
static void check_key(struct loadcheck *c, struct run **runs, size_t n)
{
	/* Runs with the highest epoch so far: [0] as part of the partition, [1] as split-off key */
	struct run *newest_run[2] = {NULL, NULL};
	size_t first_open = 0; /* all runs before this index ended before runs[i] started */

	for (size_t i = 0; i < n; i++) {
		struct run **group_newest = &newest_run[runs[i]->split_off];

		while (first_open < i && runs[first_open]->end <= runs[i]->start)
			first_open++;
		for (size_t j = first_open; j < i; j++)
			check_pair(c, runs[j], runs[i]);
		if (*group_newest)
			check_epoch(c, *group_newest, runs[i]);
		if (!*group_newest || runs[i]->epoch > (*group_newest)->epoch)
			*group_newest = runs[i];
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
		if (run->has_partition && run->key && !run->discarded)
			sorted[n++] = run;
	}
	qsort(sorted, n, sizeof(*sorted), compare_key_and_start);
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
