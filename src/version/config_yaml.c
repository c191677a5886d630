/*
 * Reads a configuration from YAML. libyaml's document tree has the line of each node, so that an
 * error can name line and field.
 */
#include "version/config_yaml_priv.h"

#include <stdlib.h>
#include <string.h>
#include <yaml.h>

#include "version/config_index.h"

/* Bounds the parser's memory; real files are much smaller. */
#define YAML_MAX_BYTES (4 * 1024 * 1024)

/* ---- memory that protobuf-c frees ---- */

static void *zalloc(size_t size)
{
	void *p = calloc(1, size ? size : 1);

	if (!p)
		abort();
	return p;
}

static char *dup_str(struct str s)
{
	char *p = zalloc(s.len + 1);

	if (s.len)
		memcpy(p, s.ptr, s.len);
	return p;
}

/* ---- reader ---- */

struct reader {
	yaml_document_t *doc;
	struct err *err;
	const char *section; /* section being read, for errors; NULL outside of sections */
};

static unsigned long line_of(const yaml_node_t *node)
{
	return (unsigned long)node->start_mark.line + 1;
}

/* Sets the error "line 3, field regions.id: FAULT; REMEDY" and evaluates to false. */
#define FIELD_ERROR(r, node, field_name, ...)                                                      \
	(err_set((r)->err, ERR_INPUT, __VA_ARGS__), add_location((r), (node), (field_name)), false)

static void add_location(const struct reader *r, const yaml_node_t *node, const char *field)
{
	err_prefix(r->err, "line %lu, field %s%s%s", line_of(node), r->section ? r->section : "",
		   r->section && *field ? "." : "", field);
}

static struct str scalar(const yaml_node_t *node)
{
	return (struct str){(const char *)node->data.scalar.value, node->data.scalar.length};
}

static const yaml_node_t *map_get(const struct reader *r, const yaml_node_t *map, const char *key)
{
	for (yaml_node_pair_t *p = map->data.mapping.pairs.start; p < map->data.mapping.pairs.top;
	     p++) {
		const yaml_node_t *k = yaml_document_get_node(r->doc, p->key);

		if (k->type == YAML_SCALAR_NODE && str_eq_cstr(scalar(k), key))
			return yaml_document_get_node(r->doc, p->value);
	}
	return NULL;
}

static bool read_scalar(const struct reader *r, const yaml_node_t *node, const char *field,
			struct str *out)
{
	if (node->type != YAML_SCALAR_NODE)
		return FIELD_ERROR(r, node, field, "is a list or mapping; write a single value");
	*out = scalar(node);
	if (out->len && memchr(out->ptr, '\0', out->len))
		return FIELD_ERROR(r, node, field, "has a NUL character; remove it");
	return true;
}

static bool read_string(const struct reader *r, const yaml_node_t *node, const char *field,
			char **out)
{
	struct str s;

	if (!read_scalar(r, node, field, &s))
		return false;
	if (s.len == 0)
		return FIELD_ERROR(r, node, field, "is empty; give a value");
	*out = dup_str(s);
	return true;
}

static bool read_number(const struct reader *r, const yaml_node_t *node, const char *field,
			uint32_t *out)
{
	struct str s;
	uint64_t n;

	if (!read_scalar(r, node, field, &s))
		return false;
	if (!str_to_u64(s, UINT32_MAX, &n))
		return FIELD_ERROR(r, node, field,
				   "'%.*s' is not a number; write a whole number from 0 to %u",
				   s.len > 64 ? 64 : (int)s.len, s.ptr, UINT32_MAX);
	*out = (uint32_t)n;
	return true;
}

static bool read_bool(const struct reader *r, const yaml_node_t *node, const char *field,
		      protobuf_c_boolean *out)
{
	struct str s;

	if (!read_scalar(r, node, field, &s))
		return false;
	if (!str_eq_cstr(s, "true") && !str_eq_cstr(s, "false"))
		return FIELD_ERROR(r, node, field,
				   "'%.*s' is not a truth value; write true or false",
				   s.len > 64 ? 64 : (int)s.len, s.ptr);
	*out = str_eq_cstr(s, "true");
	return true;
}

static bool read_intent(const struct reader *r, const yaml_node_t *node, const char *field,
			Bc__UpstreamIntent *out)
{
	struct str s;

	if (!read_scalar(r, node, field, &s))
		return false;
	for (size_t i = 0; i < CONFIG_YAML_N_INTENTS; i++) {
		if (str_eq_cstr(s, config_yaml_intents[i])) {
			*out = (Bc__UpstreamIntent)i;
			return true;
		}
	}
	return FIELD_ERROR(r, node, field, "'%.*s' is unknown; write in, draining or dead",
			   s.len > 64 ? 64 : (int)s.len, s.ptr);
}

static bool read_address(const struct reader *r, const yaml_node_t *node, const char *field,
			 char **ip, uint32_t *port)
{
	struct str s;
	struct str host;
	struct str rest;
	uint64_t n;

	if (!read_scalar(r, node, field, &s))
		return false;
	host = str_split(s, ':', &rest);
	if (host.len == 0 || !str_to_u64(rest, 65535, &n) || n == 0)
		return FIELD_ERROR(
			r, node, field,
			"'%.*s' is not an address; write ip:port, for example 127.0.1.1:9000",
			s.len > 64 ? 64 : (int)s.len, s.ptr);
	*ip = dup_str(host);
	*port = (uint32_t)n;
	return true;
}

static size_t list_length(const yaml_node_t *node)
{
	return (size_t)(node->data.sequence.items.top - node->data.sequence.items.start);
}

static const yaml_node_t *list_item(const struct reader *r, const yaml_node_t *node, size_t i)
{
	return yaml_document_get_node(r->doc, node->data.sequence.items.start[i]);
}

static bool read_list(const struct reader *r, const yaml_node_t *node,
		      const struct config_yaml_field *f, void *msg)
{
	size_t n;
	size_t *count = &CONFIG_YAML_MEMBER(msg, size_t, f->second_offset);
	void *list;

	if (node->type != YAML_SEQUENCE_NODE)
		return FIELD_ERROR(r, node, f->name,
				   "is not a list; write [a, b] or one '- value' a line");
	n = list_length(node);
	if (n == 0)
		return true;
	list = zalloc(n * (f->type == CONFIG_FIELD_STRINGS ? sizeof(char *) : sizeof(uint32_t)));
	CONFIG_YAML_MEMBER(msg, void *, f->offset) = list;
	for (size_t i = 0; i < n; i++) {
		const yaml_node_t *item = list_item(r, node, i);
		bool ok = f->type == CONFIG_FIELD_STRINGS
				  ? read_string(r, item, f->name, (char **)list + i)
				  : read_number(r, item, f->name, (uint32_t *)list + i);

		if (!ok)
			return false;
		/* Incremented per item, so that after a failure config_free() frees those read so
		 * far. */
		(*count)++;
	}
	return true;
}

static bool read_field(const struct reader *r, const yaml_node_t *node,
		       const struct config_yaml_field *f, void *msg)
{
	switch (f->type) {
	case CONFIG_FIELD_STRING:
		return read_string(r, node, f->name, &CONFIG_YAML_MEMBER(msg, char *, f->offset));
	case CONFIG_FIELD_NUMBER:
		return read_number(r, node, f->name, &CONFIG_YAML_MEMBER(msg, uint32_t, f->offset));
	case CONFIG_FIELD_BOOL:
		return read_bool(r, node, f->name,
				 &CONFIG_YAML_MEMBER(msg, protobuf_c_boolean, f->offset));
	case CONFIG_FIELD_ADDRESS:
		return read_address(r, node, f->name, &CONFIG_YAML_MEMBER(msg, char *, f->offset),
				    &CONFIG_YAML_MEMBER(msg, uint32_t, f->second_offset));
	case CONFIG_FIELD_INTENT:
		return read_intent(r, node, f->name,
				   &CONFIG_YAML_MEMBER(msg, Bc__UpstreamIntent, f->offset));
	case CONFIG_FIELD_STRINGS:
	case CONFIG_FIELD_NUMBERS:
		return read_list(r, node, f, msg);
	}
	return false;
}

static const struct config_yaml_field *find_field(const struct config_yaml_field *fields,
						  struct str name)
{
	for (; fields->name; fields++) {
		if (str_eq_cstr(name, fields->name))
			return fields;
	}
	return NULL;
}

/* Refuses unknown and repeated keys, so that a misspelt field is not ignored silently. */
static bool check_keys(const struct reader *r, const yaml_node_t *map,
		       bool (*known)(const void *data, struct str name), const void *data)
{
	const yaml_node_pair_t *start = map->data.mapping.pairs.start;
	const yaml_node_pair_t *top = map->data.mapping.pairs.top;

	for (const yaml_node_pair_t *p = start; p < top; p++) {
		const yaml_node_t *key = yaml_document_get_node(r->doc, p->key);
		struct str name;

		if (!read_scalar(r, key, "", &name))
			return false;
		if (!known(data, name))
			return FIELD_ERROR(r, key, "",
					   "'%.*s' is not a known field; remove or correct it",
					   name.len > 64 ? 64 : (int)name.len, name.ptr);
		for (const yaml_node_pair_t *q = start; q < p; q++) {
			if (str_eq(name, scalar(yaml_document_get_node(r->doc, q->key))))
				return FIELD_ERROR(r, key, "", "'%.*s' is given twice; remove one",
						   STR_ARG(name));
		}
	}
	return true;
}

static bool known_field(const void *data, struct str name)
{
	return find_field(data, name) != NULL;
}

static bool known_section(const void *data, struct str name)
{
	for (int i = 0; i < CONFIG_SECTIONS; i++) {
		if (str_eq_cstr(name, config_section_name((enum config_section)i)))
			return true;
	}
	return false;
}

static bool read_entry(const struct reader *r, const yaml_node_t *node,
		       const struct config_yaml_section *s, void *msg)
{
	if (node->type != YAML_MAPPING_NODE)
		return FIELD_ERROR(r, node, "",
				   "is not a mapping; write '- id: ...' with its fields");
	if (!check_keys(r, node, known_field, s->fields))
		return false;
	for (const struct config_yaml_field *f = s->fields; f->name; f++) {
		const yaml_node_t *value = map_get(r, node, f->name);

		if (value) {
			if (!read_field(r, value, f, msg))
				return false;
		} else if (f->required) {
			return FIELD_ERROR(r, node, f->name, "is missing; add it");
		} else if (f->type == CONFIG_FIELD_NUMBER) {
			CONFIG_YAML_MEMBER(msg, uint32_t, f->offset) = f->default_number;
		}
	}
	return true;
}

static bool read_section(struct reader *r, const yaml_node_t *root, enum config_section section_id,
			 Bc__Config *c)
{
	const struct config_yaml_section *s = &config_yaml_sections[section_id];
	const yaml_node_t *node = map_get(r, root, config_section_name(section_id));
	size_t *count = &CONFIG_YAML_MEMBER(c, size_t, s->count);
	ProtobufCMessage **list;
	size_t n;

	if (!node && !s->required)
		return true;
	r->section = NULL;
	if (!node)
		return FIELD_ERROR(r, root, config_section_name(section_id),
				   "is missing; add the section");
	r->section = config_section_name(section_id);
	if (node->type != YAML_SEQUENCE_NODE)
		return FIELD_ERROR(r, node, "",
				   "is not a list; write one '- id: ...' for each entry");
	n = list_length(node);
	list = zalloc(n * sizeof(*list));
	if (n)
		CONFIG_YAML_MEMBER(c, ProtobufCMessage **, s->list) = list;
	else
		free(list);
	for (size_t i = 0; i < n; i++) {
		ProtobufCMessage *msg = zalloc(s->descriptor->sizeof_message);

		protobuf_c_message_init(s->descriptor, msg);
		list[i] = msg;
		(*count)++;
		if (!read_entry(r, list_item(r, node, i), s, msg))
			return false;
	}
	return true;
}

/* ---- values that the file leaves out ---- */

static bool has_field(const struct reader *r, const yaml_node_t *root,
		      enum config_section section_id, size_t index, const char *field)
{
	const yaml_node_t *list = map_get(r, root, config_section_name(section_id));

	return map_get(r, list_item(r, list, index), field) != NULL;
}

/* Sets `out` of the failure domains for which the file leaves it out, from `base`. */
static void fill_failure_domain_out(const struct reader *r, const yaml_node_t *root, Bc__Config *c,
				    const Bc__Config *base)
{
	for (size_t i = 0; i < c->n_failure_domains; i++) {
		Bc__FailureDomain *fd = c->failure_domains[i];
		const Bc__FailureDomain *old = config_failure_domain(base, str_from(fd->id));

		if (old && !has_field(r, root, CONFIG_FAILURE_DOMAINS, i, "out"))
			fd->out = old->out;
	}
}

static bool same_regions(const Bc__Service *a, const Bc__Service *b)
{
	if (a->n_regions != b->n_regions)
		return false;
	for (size_t i = 0; i < a->n_regions; i++) {
		if (strcmp(a->regions[i], b->regions[i]) != 0)
			return false;
	}
	return true;
}

static uint32_t region_weight(const Bc__Config *c, const Bc__Service *s, size_t region)
{
	if (s->n_region_weights == s->n_regions)
		return s->region_weights[region];
	return (uint32_t)config_slots(c, str_from(s->id), str_from(s->regions[region]));
}

/*
 * Sets the region weights that the file leaves out: those of the service in `base` if its regions
 * are the same, otherwise the service's slots in each region.
 */
static void fill_region_weights(Bc__Config *c, const Bc__Config *base)
{
	for (size_t i = 0; i < c->n_services; i++) {
		Bc__Service *s = c->services[i];
		const Bc__Service *old = base ? config_service(base, str_from(s->id)) : NULL;
		bool kept = old && same_regions(s, old);
		uint32_t *weights;
		uint64_t sum = 0;

		if (s->n_region_weights || !s->n_regions)
			continue;
		weights = zalloc(s->n_regions * sizeof(*weights));
		for (size_t j = 0; j < s->n_regions; j++) {
			weights[j] = kept ? region_weight(base, old, j) : region_weight(c, s, j);
			sum += weights[j];
		}
		/* config_check_where() reports a service without upstreams in its regions. */
		if (sum == 0) {
			free(weights);
			continue;
		}
		s->region_weights = weights;
		s->n_region_weights = s->n_regions;
	}
}

/* Sets the number of each upstream, and the intent that the file leaves out. */
static void set_upstream_numbers_and_intents(const struct reader *r, const yaml_node_t *root,
					     Bc__Config *c, const Bc__Config *base)
{
	struct config_index *known = base ? config_index_create(base) : NULL;

	c->next_upstream_num = base && base->next_upstream_num ? base->next_upstream_num : 1;
	for (size_t i = 0; i < c->n_upstreams; i++) {
		Bc__Upstream *u = c->upstreams[i];
		const Bc__Upstream *old = known ? config_index_id(known, u->id) : NULL;

		u->num = old ? old->num : c->next_upstream_num++;
		if (old && !has_field(r, root, CONFIG_UPSTREAMS, i, "intent"))
			u->intent = old->intent;
	}
	config_index_free(known);
}

/* Copies version, ledger and lifted fingerprints of `base` into `c`. */
static void copy_history(Bc__Config *c, const Bc__Config *base)
{
	Bc__Config *copy = config_copy(base);

	c->version = copy->version;
	c->ledger = copy->ledger;
	c->n_ledger = copy->n_ledger;
	c->lifted = copy->lifted;
	c->n_lifted = copy->n_lifted;
	copy->ledger = NULL;
	copy->n_ledger = 0;
	copy->lifted = NULL;
	copy->n_lifted = 0;
	config_free(copy);
}

/* ---- whole file ---- */

/* Checks the configuration as a whole and adds the line to an error. */
static bool check_with_line(struct reader *r, const yaml_node_t *root, const Bc__Config *c)
{
	struct config_fault location;
	const yaml_node_t *list;
	const yaml_node_t *node;
	const yaml_node_t *value;

	if (config_check_where(c, &location, r->err))
		return true;
	list = map_get(r, root, config_section_name(location.section));
	node = list_item(r, list, location.index);
	value = map_get(r, node, location.field);
	return err_prefix(r->err, "line %lu", line_of(value ? value : node));
}

static bool read_document(struct reader *r, Bc__Config *c, const Bc__Config *base)
{
	const yaml_node_t *root = yaml_document_get_root_node(r->doc);

	if (!root)
		return err_set(r->err, ERR_INPUT,
			       "line 1: the file is empty; write the sections regions, "
			       "failure_domains, services, routes and upstreams");
	if (root->type != YAML_MAPPING_NODE)
		return FIELD_ERROR(r, root, "(top)",
				   "is not a mapping; write 'regions:' and so on");
	if (!check_keys(r, root, known_section, NULL))
		return false;
	for (int i = 0; i < CONFIG_SECTIONS; i++) {
		if (!read_section(r, root, (enum config_section)i, c))
			return false;
	}
	if (base) {
		fill_failure_domain_out(r, root, c, base);
		copy_history(c, base);
	}
	set_upstream_numbers_and_intents(r, root, c, base);
	fill_region_weights(c, base);
	return check_with_line(r, root, c);
}

static bool parse(struct str text, yaml_document_t *doc, struct err *err)
{
	yaml_parser_t parser;
	bool ok;

	if (text.len > YAML_MAX_BYTES)
		return err_set(err, ERR_INPUT, "line 1: the file has %zu bytes; use at most %d",
			       text.len, YAML_MAX_BYTES);
	if (!yaml_parser_initialize(&parser))
		abort();
	yaml_parser_set_input_string(&parser, (const unsigned char *)(text.len ? text.ptr : ""),
				     text.len);
	ok = yaml_parser_load(&parser, doc);
	if (!ok)
		err_set(err, ERR_INPUT, "line %lu: is not YAML: %s; correct the syntax there",
			(unsigned long)parser.problem_mark.line + 1,
			parser.problem ? parser.problem : "cannot be read");
	yaml_parser_delete(&parser);
	return ok;
}

Bc__Config *config_from_yaml(struct str text, const Bc__Config *base, struct err *err)
{
	yaml_document_t doc;
	struct reader r = {.doc = &doc, .err = err};
	Bc__Config *c;

	if (!parse(text, &doc, err))
		return NULL;
	c = zalloc(sizeof(*c));
	bc__config__init(c);
	if (!read_document(&r, c, base)) {
		config_free(c);
		c = NULL;
	}
	yaml_document_delete(&doc);
	return c;
}
