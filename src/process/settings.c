#include "process/settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cyaml/cyaml.h>
#include <yaml.h>

#include "base/str.h"

#define FILE_MAX_BYTES (256u * 1024)
#define TEXT_MAX_CHARS 255
#define MAX_SEEDS 256
#define NAME_MAX_CHARS 64
#define CREDENTIAL_MIN_CHARS 16
#define DEFAULT_BODY_BYTES (16u * 1024 * 1024)
#define DEFAULT_LINK_BYTES_PER_SECOND 3000000u
#define MIN_LINK_BYTES_PER_SECOND 1000u

/*
 * The file as libcyaml loads it. Every value is loaded as text and numbers are parsed here, since
 * libcyaml reads "010" as octal and "1.5" as 1.
 */
struct raw {
	char *id;
	char *region;
	char *failure_domain;
	char *callers;
	char *operators;
	char *peers;
	char **seeds;
	uint32_t seeds_count;
	char *table;
	char *objects;
	char *instances;
	char *operator_credential;
	char *max_body_bytes;
	char *link_bytes_per_second;
	char *log_level;
};

#define TEXT(name, flags)                                                                          \
	CYAML_FIELD_STRING_PTR(#name, CYAML_FLAG_POINTER | (flags), struct raw, name, 1,           \
			       TEXT_MAX_CHARS)

static const cyaml_schema_value_t seed_schema = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char *, 1, TEXT_MAX_CHARS),
};

static const cyaml_schema_field_t fields_schema[] = {
	TEXT(id, 0),
	TEXT(region, 0),
	TEXT(failure_domain, 0),
	TEXT(callers, 0),
	TEXT(operators, 0),
	TEXT(peers, 0),
	CYAML_FIELD_SEQUENCE("seeds", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, struct raw, seeds,
			     &seed_schema, 0, MAX_SEEDS),
	TEXT(table, 0),
	TEXT(objects, 0),
	TEXT(instances, 0),
	TEXT(operator_credential, 0),
	TEXT(max_body_bytes, CYAML_FLAG_OPTIONAL),
	TEXT(link_bytes_per_second, CYAML_FLAG_OPTIONAL),
	TEXT(log_level, CYAML_FLAG_OPTIONAL),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t file_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct raw, fields_schema),
};

#define ADDRESS_REMEDY "IP:PORT with an IPv4 number, for example 10.0.0.1:8080"
#define NAME_REMEDY "1 to 64 letters, digits, '.', '_' or '-'"

/* Allowed values of each field, for the end of error messages about the field. */
static const struct {
	const char *field;
	const char *remedy;
} remedies[] = {
	{"id", NAME_REMEDY},
	{"region", NAME_REMEDY},
	{"failure_domain", NAME_REMEDY},
	{"callers", ADDRESS_REMEDY},
	{"operators", ADDRESS_REMEDY},
	{"peers", ADDRESS_REMEDY},
	{"seeds", "a list of at most 256 peer addresses, one \"- IP:PORT\" a line"},
	{"table", ADDRESS_REMEDY},
	{"objects", ADDRESS_REMEDY},
	{"instances", ADDRESS_REMEDY},
	{"operator_credential", "16 to 255 characters that are kept secret"},
	{"max_body_bytes", "a whole number from 1 to 16777216"},
	{"link_bytes_per_second", "a whole number from 1000 to 4294967295"},
	{"log_level", "debug, info, warn or error"},
};

#define N_FIELDS (sizeof(remedies) / sizeof(remedies[0]))

/* Line of a field or of an entry of a list. */
struct field_position {
	char field[64];
	int entry; /* -1: the field itself */
	size_t line;
};

struct loader {
	const char *path;
	struct err *err;
	struct field_position *positions;
	size_t n_positions;
	/* From libcyaml's log: the first message, and the innermost field and list entry of its
	 * backtrace (`entry` -1: none). */
	char cyaml_message[256];
	char field[64];
	int entry;
};

static const char *find_remedy(const char *field)
{
	for (size_t i = 0; i < N_FIELDS; i++) {
		if (strcmp(remedies[i].field, field) == 0)
			return remedies[i].remedy;
	}
	return NULL;
}

/* ---- lines of the fields -------------------------------------------------------------------- */

static void add_position(struct loader *l, const char *field, size_t field_len, int entry,
			 size_t line)
{
	struct field_position *p;

	l->positions = realloc(l->positions, (l->n_positions + 1) * sizeof(*l->positions));
	if (!l->positions)
		abort();
	p = &l->positions[l->n_positions++];
	*p = (struct field_position){.entry = entry, .line = line};
	snprintf(p->field, sizeof(p->field), "%.*s", (int)(field_len < 63 ? field_len : 63), field);
}

/*
 * Returns the line of a list entry, or of the last field of that name, because the error for a
 * repeated field is about the last one. Returns 1 if the file has no such field.
 */
static size_t line_of(const struct loader *l, const char *field, int entry)
{
	size_t line = 1;

	for (size_t i = 0; i < l->n_positions; i++) {
		if (strcmp(l->positions[i].field, field) != 0)
			continue;
		if (l->positions[i].entry == -1 || l->positions[i].entry == entry)
			line = l->positions[i].line;
		if (entry >= 0 && l->positions[i].entry == entry)
			break;
	}
	return line;
}

/* State while libyaml's events are read. */
struct event_walk {
	int depth;
	bool expect_key; /* at depth 1: the next scalar is a field's name */
	char field[64];
	int entry;
	int documents;
};

static void end_value(struct event_walk *w)
{
	if (w->depth == 1)
		w->expect_key = !w->expect_key;
}

static bool walk_event(struct loader *l, struct event_walk *w, const yaml_event_t *ev)
{
	size_t line = ev->start_mark.line + 1;
	bool is_value = ev->type == YAML_SCALAR_EVENT || ev->type == YAML_SEQUENCE_START_EVENT ||
			ev->type == YAML_MAPPING_START_EVENT || ev->type == YAML_ALIAS_EVENT;

	if (ev->type == YAML_DOCUMENT_START_EVENT && ++w->documents > 1)
		return err_set(l->err, ERR_SETTINGS,
			       "%s:%zu: a second document starts here; keep one document in the "
			       "file and remove the line '---'",
			       l->path, line);
	if (is_value && w->depth == 0 && ev->type != YAML_MAPPING_START_EVENT)
		return err_set(l->err, ERR_SETTINGS,
			       "%s:%zu: the file is not a list of fields; write one 'field: value' "
			       "a line, for example 'id: router-1'",
			       l->path, line);
	if (ev->type == YAML_ALIAS_EVENT ||
	    (ev->type == YAML_SCALAR_EVENT && ev->data.scalar.anchor))
		return err_set(l->err, ERR_SETTINGS,
			       "%s:%zu: anchors and aliases ('&' and '*') are not supported; write "
			       "the value itself or put it in quotes",
			       l->path, line);
	if (is_value && w->depth == 1 && w->expect_key && ev->type == YAML_SCALAR_EVENT) {
		const char *name = (const char *)ev->data.scalar.value;

		add_position(l, name, ev->data.scalar.length, -1, line);
		snprintf(w->field, sizeof(w->field), "%.63s", name);
		w->entry = 0;
	} else if (is_value && w->depth == 2) {
		add_position(l, w->field, strlen(w->field), w->entry++, line);
	}
	switch (ev->type) {
	case YAML_MAPPING_START_EVENT:
	case YAML_SEQUENCE_START_EVENT:
		if (w->depth++ == 0)
			w->expect_key = true;
		break;
	case YAML_MAPPING_END_EVENT:
	case YAML_SEQUENCE_END_EVENT:
		w->depth--;
		end_value(w);
		break;
	case YAML_SCALAR_EVENT:
		end_value(w);
		break;
	default:
		break;
	}
	return true;
}

/* Records the lines of all fields and entries. Refuses invalid YAML, aliases, anchors of scalars, a
 * second document, and a file that is not a mapping. */
static bool index_lines(struct loader *l, const uint8_t *text, size_t len)
{
	yaml_parser_t parser;
	struct event_walk w = {0};
	bool ok = true;
	bool done = false;

	if (!yaml_parser_initialize(&parser))
		abort();
	yaml_parser_set_input_string(&parser, text, len);
	while (ok && !done) {
		yaml_event_t ev;

		if (!yaml_parser_parse(&parser, &ev)) {
			ok = err_set(l->err, ERR_SETTINGS,
				     "%s:%zu: not valid YAML: %s; write one 'field: value' a line "
				     "and quote values with special characters",
				     l->path, parser.problem_mark.line + 1,
				     parser.problem ? parser.problem : "unreadable");
			break;
		}
		ok = walk_event(l, &w, &ev);
		done = ev.type == YAML_STREAM_END_EVENT;
		yaml_event_delete(&ev);
	}
	yaml_parser_delete(&parser);
	return ok;
}

/* ---- errors --------------------------------------------------------------------------------- */

static bool field_error(struct loader *l, const char *field, int entry, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/*
 * Sets the error "FILE:LINE: field 'F': FAULT; write REMEDY" and returns false. If `entry` is not
 * negative, it is the index of a list entry, and ", entry N" follows the field.
 */
static bool field_error(struct loader *l, const char *field, int entry, const char *fmt, ...)
{
	char fault[300];
	const char *remedy = find_remedy(field);
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(fault, sizeof(fault), fmt, ap);
	va_end(ap);
	if (entry >= 0) {
		if (strcmp(field, "seeds") == 0)
			remedy = ADDRESS_REMEDY;
		return err_set(l->err, ERR_SETTINGS, "%s:%zu: field '%s', entry %d: %s; write %s",
			       l->path, line_of(l, field, entry), field, entry + 1, fault, remedy);
	}
	return err_set(l->err, ERR_SETTINGS, "%s:%zu: field '%s': %s; write %s", l->path,
		       line_of(l, field, -1), field, fault, remedy);
}

static bool unknown_field(struct loader *l, const char *field)
{
	char names[256];
	size_t at = 0;

	for (size_t i = 0; i < N_FIELDS; i++)
		at += (size_t)snprintf(names + at, sizeof(names) - at, "%s%s", i ? ", " : "",
				       remedies[i].field);
	return err_set(l->err, ERR_SETTINGS,
		       "%s:%zu: field '%s': unknown; remove it or write one of %s", l->path,
		       line_of(l, field, -1), field, names);
}

/* Keeps the parts of libcyaml's error messages that report_cyaml_error() needs. */
static void on_cyaml_log(cyaml_log_t level, void *ctx, const char *fmt, va_list args)
{
	static const char prefix[] = "Load: ";
	struct loader *l = ctx;
	char line[256];
	int entry;

	if (level < CYAML_LOG_ERROR)
		return;
	vsnprintf(line, sizeof(line), fmt, args);
	line[strcspn(line, "\n")] = '\0';
	if (!l->cyaml_message[0]) {
		bool prefixed = strncmp(line, prefix, sizeof(prefix) - 1) == 0;

		snprintf(l->cyaml_message, sizeof(l->cyaml_message), "%.200s",
			 line + (prefixed ? sizeof(prefix) - 1 : 0));
	} else if (l->entry < 0 && sscanf(line, "  in sequence entry '%d'", &entry) == 1) {
		l->entry = entry - 1; /* libcyaml counts from 1 */
	} else if (!l->field[0]) {
		(void)sscanf(line, "  in mapping field '%63[^']'", l->field);
	}
}

/*
 * Reports an error of libcyaml and returns false. The message names the line and field if
 * libcyaml's log names the field, otherwise only the file.
 */
static bool report_cyaml_error(struct loader *l, cyaml_err_t code)
{
	static const char unexpected[] = "Unexpected key: ";
	static const char missing[] = "Missing required mapping field: ";
	static const char repeated[] = "Mapping field already seen: ";

	if (strncmp(l->cyaml_message, unexpected, sizeof(unexpected) - 1) == 0)
		return unknown_field(l, l->cyaml_message + sizeof(unexpected) - 1);
	if (strncmp(l->cyaml_message, missing, sizeof(missing) - 1) == 0)
		return field_error(l, l->cyaml_message + sizeof(missing) - 1, -1, "missing");
	if (strncmp(l->cyaml_message, repeated, sizeof(repeated) - 1) == 0)
		return field_error(l, l->cyaml_message + sizeof(repeated) - 1, -1, "given twice");
	if (!find_remedy(l->field))
		return err_set(l->err, ERR_SETTINGS, "%s: %s (%s); write one 'field: value' a line",
			       l->path, l->cyaml_message, cyaml_strerror(code));
	if (code == CYAML_ERR_STRING_LENGTH_MIN)
		return field_error(l, l->field, l->entry, "empty");
	if (code == CYAML_ERR_STRING_LENGTH_MAX)
		return field_error(l, l->field, l->entry, "over %d characters", TEXT_MAX_CHARS);
	if (code == CYAML_ERR_SEQUENCE_ENTRIES_MAX)
		return field_error(l, l->field, -1, "over %d entries", MAX_SEEDS);
	if (strstr(l->cyaml_message, "got event: SEQUENCE_START"))
		return field_error(l, l->field, l->entry, "a list instead of a single value");
	if (strstr(l->cyaml_message, "got event: MAPPING_START"))
		return field_error(l, l->field, l->entry, "fields instead of a %s",
				   strncmp(l->cyaml_message, "Expecting SEQ", 13) ? "single value"
										  : "list");
	if (strstr(l->cyaml_message, "got event: SCALAR"))
		return field_error(l, l->field, l->entry, "a single value instead of a list");
	return field_error(l, l->field, l->entry, "%s", l->cyaml_message);
}

/* ---- values --------------------------------------------------------------------------------- */

bool settings_parse_address(struct str text, struct settings_address *out, struct err *err)
{
	struct str port_text;
	struct str ip = str_split(text, ':', &port_text);
	char ip_text[INET_ADDRSTRLEN];
	struct in_addr parsed;
	uint64_t port;

	out->ip = NULL;
	out->port = 0;
	snprintf(ip_text, sizeof(ip_text), "%.*s", (int)(ip.len < 16 ? ip.len : 15), ip.ptr);
	if (ip.len > 15 || inet_pton(AF_INET, ip_text, &parsed) != 1 ||
	    !str_to_u64(port_text, UINT16_MAX, &port) || port == 0)
		return err_set(err, ERR_INPUT, "'%.*s' is not an address; write " ADDRESS_REMEDY,
			       (int)(text.len < 100 ? text.len : 100), text.ptr);
	out->ip = strdup(ip_text);
	if (!out->ip)
		abort();
	out->port = (uint32_t)port;
	return true;
}

static bool read_address(struct loader *l, const char *field, int entry, const char *text,
			 struct settings_address *out)
{
	if (settings_parse_address(str_from(text), out, NULL))
		return true;
	return field_error(l, field, entry, "'%.100s' is not an address", text);
}

/* Reads an address of this instance. Other routers connect to it, so 0.0.0.0 is refused. */
static bool read_own_address(struct loader *l, const char *field, const char *text,
			     struct settings_address *out)
{
	if (!read_address(l, field, -1, text, out))
		return false;
	if (strcmp(out->ip, "0.0.0.0") == 0)
		return field_error(l, field, -1, "0.0.0.0 cannot be reached by others");
	return true;
}

static bool read_name(struct loader *l, const char *field, char *text, char **out)
{
	static const char allowed[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";

	if (strlen(text) > NAME_MAX_CHARS || text[strspn(text, allowed)] != '\0')
		return field_error(l, field, -1, "'%.100s' is not a name", text);
	*out = text;
	return true;
}

static bool read_number(struct loader *l, const char *field, const char *text, uint32_t min,
			uint32_t max, uint32_t default_value, uint32_t *out)
{
	uint64_t n;

	*out = default_value;
	if (!text)
		return true;
	if (!str_to_u64(str_from(text), max, &n) || n < min)
		return field_error(l, field, -1, "'%.100s' is not in the allowed range", text);
	*out = (uint32_t)n;
	return true;
}

static bool same_address(const struct settings_address *a, const struct settings_address *b)
{
	return a->port == b->port && strcmp(a->ip, b->ip) == 0;
}

static bool read_seeds(struct loader *l, const struct raw *raw, struct settings *out)
{
	out->seeds = calloc(raw->seeds_count ? raw->seeds_count : 1, sizeof(*out->seeds));
	if (!out->seeds)
		abort();
	for (uint32_t i = 0; i < raw->seeds_count; i++) {
		if (!read_address(l, "seeds", (int)i, raw->seeds[i], &out->seeds[i]))
			return false;
		out->n_seeds++;
	}
	return true;
}

static bool read_values(struct loader *l, const struct raw *raw, struct settings *out)
{
	if (!read_name(l, "id", raw->id, &out->id) ||
	    !read_name(l, "region", raw->region, &out->region) ||
	    !read_name(l, "failure_domain", raw->failure_domain, &out->failure_domain) ||
	    !read_own_address(l, "callers", raw->callers, &out->callers) ||
	    !read_own_address(l, "operators", raw->operators, &out->operators) ||
	    !read_own_address(l, "peers", raw->peers, &out->peers) || !read_seeds(l, raw, out) ||
	    !read_address(l, "table", -1, raw->table, &out->table) ||
	    !read_address(l, "objects", -1, raw->objects, &out->objects) ||
	    !read_address(l, "instances", -1, raw->instances, &out->instances))
		return false;
	if (same_address(&out->callers, &out->operators))
		return field_error(l, "operators", -1, "the same address as 'callers'");
	if (same_address(&out->callers, &out->peers))
		return field_error(l, "peers", -1, "the same address as 'callers'");
	if (same_address(&out->operators, &out->peers))
		return field_error(l, "peers", -1, "the same address as 'operators'");
	out->operator_credential = raw->operator_credential;
	/* The value is secret, so the error has only its length. */
	if (strlen(raw->operator_credential) < CREDENTIAL_MIN_CHARS)
		return field_error(l, "operator_credential", -1, "only %zu characters",
				   strlen(raw->operator_credential));
	out->log_level = LOG_INFO;
	if (raw->log_level && !log_level_from_name(str_from(raw->log_level), &out->log_level))
		return field_error(l, "log_level", -1, "'%.100s' is not a level", raw->log_level);
	return read_number(l, "max_body_bytes", raw->max_body_bytes, 1, DEFAULT_BODY_BYTES,
			   DEFAULT_BODY_BYTES, &out->max_body_bytes) &&
	       read_number(l, "link_bytes_per_second", raw->link_bytes_per_second,
			   MIN_LINK_BYTES_PER_SECOND, UINT32_MAX, DEFAULT_LINK_BYTES_PER_SECOND,
			   &out->link_bytes_per_second);
}

/* ---- file ----------------------------------------------------------------------------------- */

static const cyaml_config_t free_config = {
	.mem_fn = cyaml_mem,
	.log_level = CYAML_LOG_ERROR,
};

static bool load_text(struct loader *l, const uint8_t *text, size_t len, struct settings *out)
{
	cyaml_config_t config = {
		.log_fn = on_cyaml_log,
		.log_ctx = l,
		.mem_fn = cyaml_mem,
		.log_level = CYAML_LOG_ERROR,
		.flags = CYAML_CFG_NO_ALIAS,
	};
	struct raw *raw = NULL;
	cyaml_err_t code;

	if (!index_lines(l, text, len))
		return false;
	/* libcyaml reports success for a file without any field. */
	if (!l->n_positions)
		return field_error(l, "id", -1, "missing");
	code = cyaml_load_data(text, len, &config, &file_schema, (cyaml_data_t **)&raw, NULL);
	if (code != CYAML_OK)
		return report_cyaml_error(l, code);
	out->priv = raw;
	return read_values(l, raw, out);
}

static bool read_file(const char *path, uint8_t **text, size_t *len, struct err *err)
{
	FILE *f = fopen(path, "rb");

	if (!f)
		return err_set(err, ERR_SETTINGS,
			       "%s: cannot be read: %s; give the path of the settings file", path,
			       strerror(errno));
	*text = malloc(FILE_MAX_BYTES + 1);
	if (!*text)
		abort();
	*len = fread(*text, 1, FILE_MAX_BYTES + 1, f);
	if (ferror(f) || *len > FILE_MAX_BYTES) {
		err_set(err, ERR_SETTINGS, "%s: %s; give the path of the settings file", path,
			ferror(f) ? "cannot be read" : "over 256 KiB");
		free(*text);
		fclose(f);
		return false;
	}
	fclose(f);
	return true;
}

bool settings_load(const char *path, struct settings *out, struct err *err)
{
	struct loader l = {.path = path, .err = err, .entry = -1};
	uint8_t *text = NULL;
	size_t len = 0;
	bool ok;

	*out = (struct settings){0};
	if (!read_file(path, &text, &len, err))
		return false;
	ok = load_text(&l, text, len, out);
	free(text);
	free(l.positions);
	if (!ok)
		settings_free(out);
	return ok;
}

void settings_free(struct settings *s)
{
	free(s->callers.ip);
	free(s->operators.ip);
	free(s->peers.ip);
	free(s->table.ip);
	free(s->objects.ip);
	free(s->instances.ip);
	for (size_t i = 0; i < s->n_seeds; i++)
		free(s->seeds[i].ip);
	free(s->seeds);
	cyaml_free(&free_config, &file_schema, s->priv, 0);
	*s = (struct settings){0};
}
