/*
 * Tables that say which sections and fields a configuration file has, shared by the reader and the
 * writer of the file.
 */
#ifndef VERSION_CONFIG_YAML_PRIV_H
#define VERSION_CONFIG_YAML_PRIV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "version/config.h"

enum config_field_type {
	CONFIG_FIELD_STRING,
	CONFIG_FIELD_STRINGS,
	CONFIG_FIELD_NUMBER,
	CONFIG_FIELD_NUMBERS,
	CONFIG_FIELD_BOOL,
	CONFIG_FIELD_ADDRESS, /* "ip:port"; `offset` is the ip, `offset2` the port */
	CONFIG_FIELD_INTENT,
};

/* Fields of one section. `offset` points into the protobuf struct; lists have their count at
 * `offset2`. */
struct config_yaml_field {
	const char *name;
	enum config_field_type type;
	size_t offset;
	size_t offset2;
	bool required;
	uint32_t fallback; /* numbers that may be left out */
};

struct config_yaml_section {
	const struct config_yaml_field *fields;
	const ProtobufCMessageDescriptor *descriptor;
	size_t list; /* offset of the pointer list in Bc__Config */
	size_t count;
	bool required;
};

/* Member of type `type` at `offset` of the protobuf struct at `ptr`. */
#define CONFIG_YAML_MEMBER(ptr, type, offset) (*(type *)((char *)(ptr) + (offset)))

extern const struct config_yaml_section config_yaml_sections[CONFIG_SECTIONS];

/* How the file writes each intent of an upstream. */
#define CONFIG_YAML_N_INTENTS 3
extern const char *const config_yaml_intents[CONFIG_YAML_N_INTENTS];

#endif
