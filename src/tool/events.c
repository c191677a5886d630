#include "tool/events.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <jansson.h>
#include <uthash.h>

#include "base/hlc.h"

#define TIME_BYTES 48
#define IDENTITY_BYTES 400

struct event {
	char *identity; /* "HLC PROCESS INCARNATION", the key in the table */
	uint64_t hlc;	/* clock value at which the event occurred */
	json_t *json;	/* all fields of the event */
	UT_hash_handle hh;
};

struct events {
	struct event *table; /* by identity; in clock order after events_merge() */
	size_t skipped;	     /* lines that were not events */
};

/* Fields printed as NAME=VALUE after the cause in the text output, in this order. */
static const char *const id_fields[] = {
	"service",    "partition", "upstream", "failure_domain", "plan",
	"request_id", "peer",	   "version",  "number",
};

#define N_ID_FIELDS (sizeof(id_fields) / sizeof(id_fields[0]))

struct events *events_create(void)
{
	struct events *e = calloc(1, sizeof(*e));

	if (!e)
		abort();
	return e;
}

static void free_event(struct event *event)
{
	json_decref(event->json);
	free(event->identity);
	free(event);
}

void events_destroy(struct events *e)
{
	struct event *event = e->table;

	/* Frees uthash's table only: the elements stay linked by `hh.next` and are freed below. */
	HASH_CLEAR(hh, e->table);
	while (event) {
		struct event *next = event->hh.next;

		free_event(event);
		event = next;
	}
	free(e);
}

static const char *text_of(const json_t *json, const char *name)
{
	const char *text = json_string_value(json_object_get(json, name));

	return text ? text : "";
}

static void add_event(struct events *e, json_t *json, uint64_t hlc)
{
	char identity[IDENTITY_BYTES];
	struct event *event;

	snprintf(identity, sizeof(identity), "%016" PRIx64 " %.150s %.150s", hlc,
		 text_of(json, "process"), text_of(json, "incarnation"));
	HASH_FIND_STR(e->table, identity, event);
	if (event) {
		/*
		 * The event may come from a log, which has no request ids of requests with home
		 * regions. The operators' port can supply them.
		 */
		if (!json_object_get(event->json, "request_id")) {
			json_decref(event->json);
			event->json = json_incref(json);
		}
		return;
	}
	event = calloc(1, sizeof(*event));
	if (!event)
		abort();
	event->identity = strdup(identity);
	event->hlc = hlc;
	event->json = json_incref(json);
	HASH_ADD_KEYPTR(hh, e->table, event->identity, strlen(event->identity), event);
}

static void add_line(struct events *e, struct str line)
{
	json_t *json = json_loadb(line.ptr, line.len, 0, NULL);
	const json_t *hlc = json_object_get(json, "hlc");

	if (json_is_integer(hlc) && json_integer_value(hlc) > 0 && *text_of(json, "kind"))
		add_event(e, json, (uint64_t)json_integer_value(hlc));
	else
		e->skipped++;
	json_decref(json);
}

void events_add(struct events *e, struct str text)
{
	while (text.len) {
		struct str line = str_split(text, '\n', &text);

		if (line.len)
			add_line(e, line);
	}
}

/* ---- order and filter ---- */

static int compare_clock(struct event *a, struct event *b)
{
	if (a->hlc != b->hlc)
		return a->hlc < b->hlc ? -1 : 1;
	return strcmp(a->identity, b->identity);
}

static bool field_matches(const json_t *json, const char *name, const char *wanted)
{
	return !wanted || strcmp(text_of(json, name), wanted) == 0;
}

static bool kind_matches(const json_t *json, const struct events_filter *f)
{
	for (size_t i = 0; i < f->n_kinds; i++) {
		if (strcmp(text_of(json, "kind"), f->kinds[i]) == 0)
			return true;
	}
	return f->n_kinds == 0;
}

static bool matches(const json_t *json, const struct events_filter *f)
{
	const json_t *partition = json_object_get(json, "partition");

	if (f->has_partition && (!json_is_integer(partition) ||
				 (uint64_t)json_integer_value(partition) != f->partition))
		return false;
	return field_matches(json, "service", f->service) &&
	       field_matches(json, "upstream", f->upstream) &&
	       field_matches(json, "failure_domain", f->failure_domain) &&
	       field_matches(json, "plan", f->plan) &&
	       field_matches(json, "request_id", f->request_id) && kind_matches(json, f);
}

void events_merge(struct events *e, const struct events_filter *filter)
{
	struct event *event = e->table;
	struct event *kept = NULL;

	if (!filter->with_homed)
		events_remove_homed_ids(e);
	/* Frees uthash's table and moves the matching events, still linked, to a new table. */
	HASH_CLEAR(hh, e->table);
	while (event) {
		struct event *next = event->hh.next;

		if (event->hlc > filter->since && matches(event->json, filter))
			HASH_ADD_KEYPTR(hh, kept, event->identity, strlen(event->identity), event);
		else
			free_event(event);
		event = next;
	}
	HASH_SORT(kept, compare_clock);
	e->table = kept;
}

size_t events_count(const struct events *e)
{
	return HASH_COUNT(e->table);
}

size_t events_skipped(const struct events *e)
{
	return e->skipped;
}

/* ---- output ---- */

/*
 * Prints text with control characters replaced by '?', so that an id in an event cannot send escape
 * sequences to the operator's terminal.
 */
static void print_printable(FILE *out, const char *text)
{
	for (; *text; text++) {
		unsigned char c = (unsigned char)*text;

		fputc(c < 0x20 || c == 0x7f ? '?' : c, out);
	}
}

/* Formats a clock value as UTC time with milliseconds, followed by "+" and the HLC's counter. */
static void format_time(uint64_t hlc, char *out, size_t size)
{
	time_t seconds = (time_t)(hlc_utc(hlc) / 1000);
	struct tm tm;
	char date[32];

	gmtime_r(&seconds, &tm);
	strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(out, size, "%s.%03dZ+%u", date, (int)(hlc_utc(hlc) % 1000),
		 (unsigned)(hlc & 0xffff));
}

/* Largest length of each column's texts. */
struct column_widths {
	int time;
	int process;
	int module;
	int kind;
	int cause;
};

static void widen_to(int *width, const char *text)
{
	int len = (int)strlen(text);

	if (len > *width)
		*width = len;
}

static struct column_widths measure_columns(const struct events *e)
{
	struct column_widths w = {0};
	char time[TIME_BYTES];

	for (struct event *i = e->table; i; i = i->hh.next) {
		format_time(i->hlc, time, sizeof(time));
		widen_to(&w.time, time);
		widen_to(&w.process, text_of(i->json, "process"));
		widen_to(&w.module, text_of(i->json, "module"));
		widen_to(&w.kind, text_of(i->json, "kind"));
		widen_to(&w.cause, text_of(i->json, "cause"));
	}
	return w;
}

static void print_padded(FILE *out, const char *text, int width)
{
	print_printable(out, text);
	for (int i = (int)strlen(text); i < width + 2; i++)
		fputc(' ', out);
}

static void print_ids(FILE *out, const json_t *json)
{
	const char *separator = "";

	for (size_t i = 0; i < N_ID_FIELDS; i++) {
		const json_t *value = json_object_get(json, id_fields[i]);

		if (!value)
			continue;
		fprintf(out, "%s%s=", separator, id_fields[i]);
		if (json_is_integer(value))
			fprintf(out, "%" JSON_INTEGER_FORMAT, json_integer_value(value));
		else
			print_printable(out, text_of(json, id_fields[i]));
		separator = " ";
	}
}

void events_write_text(const struct events *e, FILE *out)
{
	struct column_widths w = measure_columns(e);
	char time[TIME_BYTES];

	for (struct event *i = e->table; i; i = i->hh.next) {
		format_time(i->hlc, time, sizeof(time));
		print_padded(out, time, w.time);
		print_padded(out, text_of(i->json, "process"), w.process);
		print_padded(out, text_of(i->json, "module"), w.module);
		print_padded(out, text_of(i->json, "kind"), w.kind);
		print_padded(out, text_of(i->json, "cause"), w.cause);
		print_ids(out, i->json);
		fputc('\n', out);
	}
}

void events_write_json(const struct events *e, FILE *out)
{
	for (struct event *i = e->table; i; i = i->hh.next) {
		json_dumpf(i->json, out, JSON_COMPACT | JSON_SORT_KEYS);
		fputc('\n', out);
	}
}

void events_remove_homed_ids(struct events *e)
{
	for (struct event *i = e->table; i; i = i->hh.next) {
		if (json_is_true(json_object_get(i->json, "homed")))
			json_object_del(i->json, "request_id");
	}
}
