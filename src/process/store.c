#include "process/store.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/arena.h"
#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"
#include "connection/timer.h"
#include "connection/upconn.h"

#define STORE_MAX_IDLE 4   /* connections */
#define STORE_RETRY_MS 100 /* between attempts to find out whether a write took effect */
#define TOKEN_DIGITS 16

static const struct log log = {"store"};
CTR(ctr_reads, "store_reads_total", "Reads of the table service.");
CTR(ctr_writes, "store_writes_total", "Writes to the table service.");
CTR(ctr_failures, "store_failures_total", "Calls to the table service without a usable answer.");
CTR(ctr_lost, "store_lost_answers_total", "Writes whose answer was lost and that were read back.");
CTR(ctr_unknown, "store_unknown_total", "Writes whose outcome could not be found out.");

struct store {
	h2o_loop_t *loop;
	struct upconn_pool *pool;
	struct rnd rnd;
	bool reachable;
	struct op *ops;
};

enum step {
	STEP_READ,
	STEP_WRITE,
	STEP_READ_BACK, /* reads the row to compare its write token with that of the operation */
};

/* One call of store_read() or store_write(). */
struct op {
	struct store *store;
	struct arena arena;
	struct timer timer;
	struct upconn_call *call;
	enum step step;
	struct str path;
	struct str body;
	uint64_t version; /* read: already held by the caller; write: expected in the store */
	char token[TOKEN_DIGITS + 1];
	bool maybe_written;   /* a write attempt without an answer may have taken effect */
	bool retried;	      /* read: repeated once because a reused connection was closed */
	clk_ms resolve_until; /* then a write with a lost answer ends as STORE_UNKNOWN */
	store_read_cb on_read;
	store_write_cb on_write;
	void *data;
	struct op *prev;
	struct op *next;
};

static void run_step(struct op *op);

static void op_unlink(struct op *op)
{
	if (op->prev)
		op->prev->next = op->next;
	else
		op->store->ops = op->next;
	if (op->next)
		op->next->prev = op->prev;
}

static void op_free(struct op *op)
{
	timer_release(&op->timer);
	arena_free(&op->arena);
	free(op);
}

static void finish_read(struct op *op, enum store_read_result result, uint64_t version,
			struct str body)
{
	op_unlink(op);
	op->on_read(op->data, result, version, body);
	op_free(op);
}

static void finish_write(struct op *op, enum store_write_result result, uint64_t version)
{
	if (result == STORE_UNKNOWN)
		ctr_inc(&ctr_unknown);
	op_unlink(op);
	op->on_write(op->data, result, version);
	op_free(op);
}

/* Reads the version from the etag of an answer: a quoted decimal. Returns false without one. */
static bool answer_version(const struct upconn_answer *a, uint64_t *version)
{
	struct str etag = upconn_answer_header(a, "etag");

	if (etag.len < 3 || etag.ptr[0] != '"' || etag.ptr[etag.len - 1] != '"')
		return false;
	return str_to_u64((struct str){etag.ptr + 1, etag.len - 2}, UINT64_MAX, version);
}

/* Records whether the store is reachable. Returns true if the answer has a status below 500. */
static bool answer_usable(struct store *s, const struct upconn_answer *a)
{
	bool usable = a->result == UPCONN_OK && a->status < 500;

	if (a->result == UPCONN_TIMEOUT)
		upconn_pool_discard_conns(s->pool);
	if (!usable) {
		ctr_inc(&ctr_failures);
		if (s->reachable)
			log_warn(&log, "the table service gives no usable answer: %s, status %d",
				 upconn_result_name(a->result), a->status);
	} else if (!s->reachable) {
		log_info(&log, "the table service answers again");
	}
	s->reachable = usable;
	return usable;
}

static void on_read_answer(struct op *op, const struct upconn_answer *a)
{
	uint64_t version;

	if (a->result == UPCONN_BROKE && a->reused && !op->retried) {
		op->retried = true;
		run_step(op);
		return;
	}
	if (!answer_usable(op->store, a))
		finish_read(op, STORE_READ_FAILED, 0, STR_NULL);
	else if (a->status == 304 && op->version)
		finish_read(op, STORE_NOT_MODIFIED, op->version, STR_NULL);
	else if (a->status == 404)
		finish_read(op, STORE_ABSENT, 0, STR_NULL);
	else if (a->status == 200 && answer_version(a, &version))
		finish_read(op, STORE_ROW, version, upconn_body(a));
	else {
		log_error(&log, "read of %.*s: unexpected answer with status %d", STR_ARG(op->path),
			  a->status);
		finish_read(op, STORE_READ_FAILED, 0, STR_NULL);
	}
}

/* Runs `step` after a pause, or ends the write as STORE_UNKNOWN if resolve_until has passed. */
static void resolve_later(struct op *op, enum step step)
{
	if (clk_now() >= op->resolve_until) {
		log_error(&log, "write of %.*s: outcome unknown: not resolved in time",
			  STR_ARG(op->path));
		finish_write(op, STORE_UNKNOWN, 0);
		return;
	}
	op->step = step;
	timer_arm(&op->timer, STORE_RETRY_MS);
}

/* Handles a write that may have taken effect, without an answer: reads the row back. */
static void on_write_lost(struct op *op)
{
	if (MUTANT(store_lost_means_written)) {
		finish_write(op, STORE_WRITTEN, op->version + 1);
		return;
	}
	if (MUTANT(store_lost_means_not_written)) {
		finish_write(op, STORE_NOT_WRITTEN, op->version);
		return;
	}
	if (!op->maybe_written) {
		op->maybe_written = true;
		op->resolve_until = clk_now() + STORE_RESOLVE_MS;
		ctr_inc(&ctr_lost);
		log_warn(&log, "write of %.*s: no usable answer; reading the row back",
			 STR_ARG(op->path));
	}
	resolve_later(op, STEP_READ_BACK);
}

static void on_write_refused(struct op *op, const struct upconn_answer *a)
{
	uint64_t version = 0;

	if (a->status != 412) {
		log_error(&log, "write of %.*s: refused with status %d; nothing was written",
			  STR_ARG(op->path), a->status);
		if (op->maybe_written)
			resolve_later(op, STEP_READ_BACK);
		else
			finish_write(op, STORE_NOT_WRITTEN, op->version);
		return;
	}
	/* An earlier attempt of this write may have caused the conflict. */
	if (op->maybe_written) {
		op->step = STEP_READ_BACK;
		run_step(op);
		return;
	}
	answer_version(a, &version);
	finish_write(op, STORE_CONFLICT, version);
}

static void on_write_answer(struct op *op, const struct upconn_answer *a)
{
	bool usable = answer_usable(op->store, a);

	if (!usable && a->sent)
		on_write_lost(op);
	else if (!usable && op->maybe_written)
		resolve_later(op, STEP_READ_BACK);
	else if (!usable)
		finish_write(op, STORE_NOT_WRITTEN, op->version);
	else if (a->status >= 200 && a->status < 300)
		finish_write(op, STORE_WRITTEN, op->version + 1);
	else
		on_write_refused(op, a);
}

/*
 * Finds the outcome of a write from the row that was read back. If the row is still at the expected
 * version, the write has not taken effect but may still arrive, so it cannot be reported as not
 * written. It is sent again with the same token and condition; only one of the two can take effect.
 */
static void on_read_back_answer(struct op *op, const struct upconn_answer *a)
{
	uint64_t version = 0;

	if (!answer_usable(op->store, a) ||
	    !(a->status == 404 || (a->status == 200 && answer_version(a, &version)))) {
		resolve_later(op, STEP_READ_BACK);
		return;
	}
	if (a->status == 200 && str_eq_cstr(upconn_answer_header(a, "x-write-token"), op->token)) {
		finish_write(op, STORE_WRITTEN, version);
	} else if (version == op->version) {
		op->step = STEP_WRITE;
		run_step(op);
	} else if (version == op->version + 1) {
		finish_write(op, STORE_CONFLICT, version);
	} else {
		/*
		 * The write may have taken effect and been replaced since; the row does not show
		 * it.
		 */
		log_error(&log,
			  "write of %.*s: outcome unknown: the row is now at version %" PRIu64
			  " without the token of this write",
			  STR_ARG(op->path), version);
		finish_write(op, STORE_UNKNOWN, version);
	}
}

static void on_answer(void *data, const struct upconn_answer *a)
{
	struct op *op = data;

	op->call = NULL;
	if (op->step == STEP_READ)
		on_read_answer(op, a);
	else if (op->step == STEP_WRITE)
		on_write_answer(op, a);
	else
		on_read_back_answer(op, a);
}

static void run_step(struct op *op)
{
	struct upconn_header *headers = arena_alloc(&op->arena, 2 * sizeof(*headers));
	struct upconn_request req = {
		.method = STR_LIT("GET"),
		.path = op->path,
		.headers = headers,
		.timeout = STORE_TIMEOUT_MS,
		.fresh = op->retried || op->maybe_written,
	};
	struct str version = arena_printf(&op->arena, "\"%" PRIu64 "\"", op->version);

	if (op->step == STEP_READ && op->version)
		headers[req.n_headers++] =
			(struct upconn_header){STR_LIT("if-none-match"), version};
	if (op->step == STEP_WRITE) {
		req.method = STR_LIT("PUT");
		req.body = op->body;
		headers[req.n_headers++] =
			op->version
				? (struct upconn_header){STR_LIT("if-match"), version}
				: (struct upconn_header){STR_LIT("if-none-match"), STR_LIT("*")};
		headers[req.n_headers++] =
			(struct upconn_header){STR_LIT("x-write-token"), str_from(op->token)};
	}
	op->call = upconn_send(op->store->pool, &req, on_answer, op);
}

static void on_timer(struct timer *timer, void *data)
{
	run_step(data);
}

/* Returns the path of a row, percent-encoding all bytes but ASCII letters, digits and /-_. */
static struct str row_path(struct arena *arena, struct str row)
{
	char *buf = arena_alloc(arena, row.len * 3 + 4);
	size_t at = (size_t)sprintf(buf, "/t/");

	for (size_t i = 0; i < row.len; i++) {
		unsigned char c = (unsigned char)row.ptr[i];

		if ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
		    c == '/' || c == '-' || c == '_' || c == '.')
			buf[at++] = (char)c;
		else
			at += (size_t)snprintf(buf + at, 4, "%%%02X", c);
	}
	return (struct str){buf, at};
}

static struct op *op_new(struct store *s, struct str row, uint64_t version, void *data)
{
	struct op *op = calloc(1, sizeof(*op));

	if (!op)
		abort();
	op->store = s;
	op->version = version;
	op->data = data;
	op->path = row_path(&op->arena, row);
	timer_init(&op->timer, s->loop, on_timer, op);
	op->next = s->ops;
	if (op->next)
		op->next->prev = op;
	s->ops = op;
	return op;
}

void store_read(struct store *s, struct str row, uint64_t have, store_read_cb cb, void *data)
{
	struct op *op = op_new(s, row, have, data);

	ctr_inc(&ctr_reads);
	op->step = STEP_READ;
	op->on_read = cb;
	run_step(op);
}

void store_write(struct store *s, struct str row, uint64_t expected, struct str body,
		 store_write_cb cb, void *data)
{
	struct op *op = op_new(s, row, expected, data);

	ctr_inc(&ctr_writes);
	op->step = STEP_WRITE;
	op->on_write = cb;
	op->body = arena_str(&op->arena, body);
	snprintf(op->token, sizeof(op->token), "%016" PRIx64, rnd_u64(&s->rnd));
	run_step(op);
}

struct store *store_create(h2o_loop_t *loop, const char *ip, uint32_t port, uint64_t seed)
{
	struct store *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	s->loop = loop;
	s->pool = upconn_pool_create(loop, ip, port, STORE_MAX_IDLE);
	rnd_seed(&s->rnd, seed);
	s->reachable = true;
	return s;
}

static void cancel_op(struct op *op)
{
	if (op->call)
		upconn_cancel(op->call);
	op->call = NULL;
	if (op->on_read)
		finish_read(op, STORE_READ_FAILED, 0, STR_NULL);
	else
		finish_write(op, STORE_UNKNOWN, 0);
}

void store_destroy(struct store *s)
{
	struct op *next;

	if (!s)
		return;
	for (struct op *op = s->ops; op; op = next) {
		next = op->next;
		cancel_op(op);
	}
	upconn_pool_destroy(s->pool);
	free(s);
}

bool store_reachable(const struct store *s)
{
	return s->reachable;
}
