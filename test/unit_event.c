/* Tests of events: JSON lines, order, the ring, and request ids of requests with home regions. */
#include <jansson.h>

#include "base/clk.h"
#include "process/event.h"
#include "test/unit.h"

/* Returns the events after `since` as event_write() writes them. */
static char *write_to_string(const struct event_log *log, uint64_t since, bool with_homed)
{
	char *text = NULL;
	size_t len;
	FILE *f = open_memstream(&text, &len);

	event_write(log, f, since, with_homed);
	fclose(f);
	return text;
}

/* Runs `emit` with standard error going to a file and returns what was written there. */
static char *log_lines(struct event_log *log, void (*emit)(struct event_log *log))
{
	FILE *f = tmpfile();
	int saved = dup(STDERR_FILENO);
	long len;
	char *text;

	ck_assert_ptr_nonnull(f);
	fflush(stderr);
	dup2(fileno(f), STDERR_FILENO);
	emit(log);
	fflush(stderr);
	dup2(saved, STDERR_FILENO);
	close(saved);
	fseek(f, 0, SEEK_END);
	len = ftell(f);
	rewind(f);
	text = calloc(1, (size_t)len + 1);
	ck_assert_uint_eq(fread(text, 1, (size_t)len, f), (size_t)len);
	fclose(f);
	return text;
}

static void emit_full_then_short(struct event_log *log)
{
	event_emit(log, &(struct event){
				.module = "broker",
				.kind = "owner-changed",
				.cause = STR_LIT("a \"quoted\" cause\n"),
				.service = STR_LIT("history"),
				.has_partition = true,
				.partition = 0,
				.upstream = STR_LIT("h-1"),
				.failure_domain = STR_LIT("meseta-a"),
				.plan = STR_LIT("00ff"),
				.request_id = STR_LIT("r-12345678"),
				.peer = STR_LIT("router-2"),
				.version = 7,
				.number = 18446744073709551u,
			});
	event_emit(log, &(struct event){.module = "lease", .kind = "lost"});
}

static const char *text_of(const json_t *o, const char *name)
{
	return json_string_value(json_object_get(o, name));
}

/* Guards against a line that tools cannot parse, and against missing or additional fields. */
START_TEST(line_is_json_with_the_fields_given)
{
	struct hlc hlc = {0};
	struct event_log *log = event_log_create("router-1", "inc-9", &hlc);
	char *lines = log_lines(log, emit_full_then_short);
	char *kept = write_to_string(log, 0, true);
	char *second = strchr(lines, '\n') + 1;
	json_t *a;
	json_t *b;

	ck_assert_str_eq(kept, lines);
	second[-1] = '\0';
	a = json_loads(lines, 0, NULL);
	b = json_loads(second, 0, NULL);
	ck_assert(a && b);
	ck_assert_str_eq(text_of(a, "process"), "router-1");
	ck_assert_str_eq(text_of(a, "incarnation"), "inc-9");
	ck_assert_str_eq(text_of(a, "module"), "broker");
	ck_assert_str_eq(text_of(a, "kind"), "owner-changed");
	ck_assert_str_eq(text_of(a, "cause"), "a \"quoted\" cause\n");
	ck_assert_str_eq(text_of(a, "service"), "history");
	ck_assert(json_is_integer(json_object_get(a, "partition")));
	ck_assert_str_eq(text_of(a, "upstream"), "h-1");
	ck_assert_str_eq(text_of(a, "failure_domain"), "meseta-a");
	ck_assert_str_eq(text_of(a, "plan"), "00ff");
	ck_assert_str_eq(text_of(a, "request_id"), "r-12345678");
	ck_assert_str_eq(text_of(a, "peer"), "router-2");
	ck_assert_int_eq(json_integer_value(json_object_get(a, "version")), 7);
	ck_assert_int_eq(json_integer_value(json_object_get(a, "number")), 18446744073709551);
	ck_assert_uint_eq(json_object_size(b), 6); /* hlc, utc_ms and the four names */
	ck_assert(json_integer_value(json_object_get(a, "hlc")) <
		  json_integer_value(json_object_get(b, "hlc")));
	json_decref(a);
	json_decref(b);
	free(lines);
	free(kept);
	event_log_destroy(log);
}
END_TEST

static void emit_homed(struct event_log *log)
{
	event_emit(log, &(struct event){.module = "entry",
					.kind = "sent",
					.request_id = STR_LIT("secret-request"),
					.homed = true});
	event_emit(log, &(struct event){
				.module = "entry", .kind = "sent", .request_id = STR_LIT("plain")});
}

/*
 * Guards against ids of requests with home regions in log lines or in exports without homed ids.
 * Promise P5: a request with home regions is served, sent and stored only in those regions.
 */
START_TEST(homed_request_id_is_not_exported)
{
	struct hlc hlc = {0};
	struct event_log *log = event_log_create("router-1", "inc-9", &hlc);
	char *lines = log_lines(log, emit_homed);
	char *without = write_to_string(log, 0, false);
	char *with = write_to_string(log, 0, true);

	ck_assert_ptr_null(strstr(lines, "secret-request"));
	ck_assert_ptr_null(strstr(without, "secret-request"));
	ck_assert_ptr_nonnull(strstr(without, "\"plain\""));
	ck_assert_ptr_nonnull(strstr(with, "secret-request"));
	free(lines);
	free(without);
	free(with);
	event_log_destroy(log);
}
END_TEST

static void emit_over_capacity(struct event_log *log)
{
	for (uint64_t i = 1; i <= EVENT_RING_SIZE + 10; i++)
		event_emit(log, &(struct event){.module = "m", .kind = "k", .number = i});
}

static size_t count_lines(const char *text)
{
	size_t n = 0;

	for (; *text; text++)
		n += *text == '\n';
	return n;
}

/* Guards against a ring that grows, loses its newest events, or writes events out of order. */
START_TEST(ring_holds_the_newest_in_order)
{
	struct hlc hlc = {0};
	struct event_log *log = event_log_create("router-1", "inc-9", &hlc);
	char *lines = log_lines(log, emit_over_capacity);
	char *kept = write_to_string(log, 0, true);
	uint64_t last = 0;
	int expected = 11;

	ck_assert_uint_eq(count_lines(lines), EVENT_RING_SIZE + 10);
	ck_assert_uint_eq(count_lines(kept), EVENT_RING_SIZE);
	/*
	 * Each line is terminated before it is parsed: the sanitizer's string functions would scan
	 * the whole rest of the text each time.
	 */
	for (char *line = kept, *end; *line; line = end + 1) {
		json_t *event;
		uint64_t at;

		end = line;
		while (*end != '\n')
			end++;
		*end = '\0';
		event = json_loads(line, 0, NULL);
		at = (uint64_t)json_integer_value(json_object_get(event, "hlc"));
		ck_assert(at > last);
		ck_assert_int_eq(json_integer_value(json_object_get(event, "number")), expected++);
		last = at;
		json_decref(event);
	}
	free(lines);
	free(kept);
	event_log_destroy(log);
}
END_TEST

static uint64_t middle_hlc;
static struct hlc *middle_clock;

static void emit_three(struct event_log *log)
{
	event_emit(log, &(struct event){.module = "m", .kind = "first"});
	event_emit(log, &(struct event){.module = "m", .kind = "second"});
	middle_hlc = middle_clock->last;
	event_emit(log, &(struct event){.module = "m", .kind = "third"});
}

/*
 * Guards against a polling reader that gets the event at its position again or misses the next one.
 */
START_TEST(since_is_exclusive)
{
	struct hlc hlc = {0};
	struct event_log *log = event_log_create("router-1", "inc-9", &hlc);
	char *lines;
	char *after;

	middle_clock = &hlc;
	lines = log_lines(log, emit_three);
	after = write_to_string(log, middle_hlc, true);
	ck_assert_uint_eq(count_lines(after), 1);
	ck_assert_ptr_nonnull(strstr(after, "\"third\""));
	free(lines);
	free(after);
	event_log_destroy(log);
}
END_TEST

static char own_text[] = "changed later";

static void emit_own_text(struct event_log *log)
{
	event_emit(log, &(struct event){.module = "m", .kind = "k", .cause = str_from(own_text)});
}

/*
 * Guards against stored events that point into a request's memory, which is freed before they are
 * read.
 */
START_TEST(strings_are_copied)
{
	struct hlc hlc = {0};
	struct event_log *log = event_log_create("router-1", "inc-9", &hlc);
	char *lines = log_lines(log, emit_own_text);
	char *kept;

	memset(own_text, 'x', strlen(own_text));
	kept = write_to_string(log, 0, true);
	ck_assert_ptr_nonnull(strstr(kept, "changed later"));
	free(lines);
	free(kept);
	event_log_destroy(log);
}
END_TEST

static const char *const mutants[] = {"event_show_homed_id", NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, line_is_json_with_the_fields_given);
	tcase_add_test(tc, homed_request_id_is_not_exported);
	tcase_add_test(tc, ring_holds_the_newest_in_order);
	tcase_add_test(tc, since_is_exclusive);
	tcase_add_test(tc, strings_are_copied);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "event", mutants, add_tests);
}
