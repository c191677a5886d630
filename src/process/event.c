#include "process/event.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clk.h"
#include "base/log.h"
#include "base/mutant.h"

/* An event in the ring; the strings that it points to follow it in the same allocation. */
struct stored_event {
	struct event ev;
	char text[];
};

struct event_log {
	char *process;
	char *incarnation;
	struct hlc *hlc;
	struct stored_event **ring;
	uint64_t emitted; /* the next event goes to ring[emitted % EVENT_RING_SIZE] */
	/* Buffers one JSON line, so that each event is a single write to standard error. */
	FILE *line;
	char *line_text;
	size_t line_len;
};

static char *copy_cstr(const char *s)
{
	char *copy = strdup(s ? s : "");

	if (!copy)
		abort();
	return copy;
}

struct event_log *event_log_create(const char *process, const char *incarnation, struct hlc *hlc)
{
	struct event_log *log = calloc(1, sizeof(*log));

	if (!log)
		abort();
	log->process = copy_cstr(process);
	log->incarnation = copy_cstr(incarnation);
	log->hlc = hlc;
	log->ring = calloc(EVENT_RING_SIZE, sizeof(*log->ring));
	log->line = open_memstream(&log->line_text, &log->line_len);
	if (!log->ring || !log->line)
		abort();
	return log;
}

void event_log_destroy(struct event_log *log)
{
	if (!log)
		return;
	for (size_t i = 0; i < EVENT_RING_SIZE; i++)
		free(log->ring[i]);
	free(log->ring);
	fclose(log->line);
	free(log->line_text);
	free(log->process);
	free(log->incarnation);
	free(log);
}

static void write_str(FILE *out, const char *name, struct str value)
{
	if (!value.len)
		return;
	fprintf(out, ",\"%s\":\"", name);
	log_json_escape(out, value);
	fputc('"', out);
}

static void write_number(FILE *out, const char *name, uint64_t value)
{
	if (value)
		fprintf(out, ",\"%s\":%" PRIu64, name, value);
}

static void write_event(const struct event_log *log, FILE *out, const struct event *ev,
			bool with_homed)
{
	fprintf(out, "{\"hlc\":%" PRIu64 ",\"utc_ms\":%" PRId64, ev->hlc, hlc_utc(ev->hlc));
	write_str(out, "process", str_from(log->process));
	write_str(out, "incarnation", str_from(log->incarnation));
	write_str(out, "module", str_from(ev->module));
	write_str(out, "kind", str_from(ev->kind));
	write_str(out, "cause", ev->cause);
	write_str(out, "service", ev->service);
	if (ev->has_partition)
		fprintf(out, ",\"partition\":%" PRIu32, ev->partition);
	write_str(out, "upstream", ev->upstream);
	write_str(out, "failure_domain", ev->failure_domain);
	write_str(out, "plan", ev->plan);
	if (!ev->homed || with_homed || MUTANT(event_show_homed_id))
		write_str(out, "request_id", ev->request_id);
	if (ev->homed)
		fputs(",\"homed\":true", out);
	write_str(out, "peer", ev->peer);
	write_number(out, "version", ev->version);
	write_number(out, "number", ev->number);
	fputs("}\n", out);
}

/* Copies `s` to `*at` and advances `*at` past the copy. */
static struct str copy_str(char **at, struct str s)
{
	struct str copy = {*at, s.len};

	if (s.len)
		memcpy(*at, s.ptr, s.len);
	*at += s.len;
	return copy;
}

/* Returns a copy of `ev` for the ring. */
static struct stored_event *copy_event(const struct event *ev)
{
	size_t len = ev->cause.len + ev->service.len + ev->upstream.len + ev->failure_domain.len +
		     ev->plan.len + ev->request_id.len + ev->peer.len;
	struct stored_event *copy = malloc(sizeof(*copy) + len);
	char *at;

	if (!copy)
		abort();
	at = copy->text;
	copy->ev = *ev;
	copy->ev.cause = copy_str(&at, ev->cause);
	copy->ev.service = copy_str(&at, ev->service);
	copy->ev.upstream = copy_str(&at, ev->upstream);
	copy->ev.failure_domain = copy_str(&at, ev->failure_domain);
	copy->ev.plan = copy_str(&at, ev->plan);
	copy->ev.request_id = copy_str(&at, ev->request_id);
	copy->ev.peer = copy_str(&at, ev->peer);
	return copy;
}

void event_emit(struct event_log *log, const struct event *ev)
{
	struct stored_event **slot = &log->ring[log->emitted % EVENT_RING_SIZE];

	free(*slot);
	*slot = copy_event(ev);
	(*slot)->ev.hlc = hlc_next(log->hlc, clk_utc());
	log->emitted++;
	/* Log lines may be collected outside the region, so they have no ids of homed requests. */
	rewind(log->line);
	write_event(log, log->line, &(*slot)->ev, false);
	fflush(log->line);
	fwrite(log->line_text, 1, log->line_len, stderr);
}

void event_write(const struct event_log *log, FILE *out, uint64_t since, bool with_homed)
{
	uint64_t first = log->emitted > EVENT_RING_SIZE ? log->emitted - EVENT_RING_SIZE : 0;

	for (uint64_t i = first; i < log->emitted; i++) {
		const struct event *ev = &log->ring[i % EVENT_RING_SIZE]->ev;

		if (ev->hlc > since)
			write_event(log, out, ev, with_homed);
	}
}
