/* Writes a configuration as YAML that config_from_yaml() reads. */
#include "version/config_yaml_priv.h"

#include <stdio.h>
#include <stdlib.h>

/* Quotes every string: a route prefix may have characters that are special in YAML. */
static void write_string(FILE *out, const char *s)
{
	fputc('"', out);
	for (; *s; s++) {
		unsigned char c = (unsigned char)*s;

		if (c == '"' || c == '\\')
			fprintf(out, "\\%c", c);
		else if (c < 0x20 || c == 0x7f)
			fprintf(out, "\\x%02x", c);
		else
			fputc(c, out);
	}
	fputc('"', out);
}

static void write_list(FILE *out, const struct config_yaml_field *f, const void *msg)
{
	size_t n = CONFIG_YAML_MEMBER(msg, const size_t, f->second_offset);

	fputc('[', out);
	for (size_t i = 0; i < n; i++) {
		if (i)
			fputs(", ", out);
		if (f->type == CONFIG_FIELD_STRINGS)
			write_string(out, CONFIG_YAML_MEMBER(msg, char **const, f->offset)[i]);
		else
			fprintf(out, "%u", CONFIG_YAML_MEMBER(msg, uint32_t *const, f->offset)[i]);
	}
	fputc(']', out);
}

static void write_value(FILE *out, const struct config_yaml_field *f, const void *msg)
{
	switch (f->type) {
	case CONFIG_FIELD_STRING:
		write_string(out, CONFIG_YAML_MEMBER(msg, char *const, f->offset));
		break;
	case CONFIG_FIELD_NUMBER:
		fprintf(out, "%u", CONFIG_YAML_MEMBER(msg, const uint32_t, f->offset));
		break;
	case CONFIG_FIELD_BOOL:
		fputs(CONFIG_YAML_MEMBER(msg, const protobuf_c_boolean, f->offset) ? "true"
										   : "false",
		      out);
		break;
	case CONFIG_FIELD_ADDRESS:
		fprintf(out, "\"%s:%u\"", CONFIG_YAML_MEMBER(msg, char *const, f->offset),
			CONFIG_YAML_MEMBER(msg, const uint32_t, f->second_offset));
		break;
	case CONFIG_FIELD_INTENT:
		fputs(config_yaml_intents[CONFIG_YAML_MEMBER(msg, const Bc__UpstreamIntent,
							     f->offset)],
		      out);
		break;
	case CONFIG_FIELD_STRINGS:
	case CONFIG_FIELD_NUMBERS:
		write_list(out, f, msg);
		break;
	}
}

/* Whether an optional field has its default; such fields are left out to keep the file short. */
static bool is_default(const struct config_yaml_field *f, const void *msg)
{
	if (f->required)
		return false;
	switch (f->type) {
	case CONFIG_FIELD_NUMBER:
		return CONFIG_YAML_MEMBER(msg, const uint32_t, f->offset) == f->default_number;
	case CONFIG_FIELD_BOOL:
		return !CONFIG_YAML_MEMBER(msg, const protobuf_c_boolean, f->offset);
	case CONFIG_FIELD_INTENT:
		return CONFIG_YAML_MEMBER(msg, const Bc__UpstreamIntent, f->offset) ==
		       BC__UPSTREAM_INTENT__IN;
	case CONFIG_FIELD_STRINGS:
	case CONFIG_FIELD_NUMBERS:
		return CONFIG_YAML_MEMBER(msg, const size_t, f->second_offset) == 0;
	default:
		return false;
	}
}

static void write_section(FILE *out, enum config_section section_id, const Bc__Config *c)
{
	const struct config_yaml_section *s = &config_yaml_sections[section_id];
	size_t n = CONFIG_YAML_MEMBER(c, const size_t, s->count);
	void *const *list = CONFIG_YAML_MEMBER(c, void **const, s->list);

	fprintf(out, "%s:%s\n", config_section_name(section_id), n ? "" : " []");
	for (size_t i = 0; i < n; i++) {
		const char *separator = "  - {";

		for (const struct config_yaml_field *f = s->fields; f->name; f++) {
			if (is_default(f, list[i]))
				continue;
			fprintf(out, "%s%s: ", separator, f->name);
			write_value(out, f, list[i]);
			separator = ", ";
		}
		fputs("}\n", out);
	}
}

char *config_to_yaml(const Bc__Config *c)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);

	if (!out)
		abort();
	for (int i = 0; i < CONFIG_SECTIONS; i++)
		write_section(out, (enum config_section)i, c);
	fclose(out);
	return text;
}
