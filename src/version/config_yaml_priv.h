/* Schema of the configuration file: tables of its sections and fields for the reader and writer. */
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
	CONFIG_FIELD_ADDRESS, /* "ip:port"; `offset` is of the ip, `second_offset` of the port */
	CONFIG_FIELD_INTENT,
};

/* A field of a section. */
struct config_yaml_field {
	const char *name;
	enum config_field_type type;
	size_t offset;	      /* of the member in the protobuf struct */
	size_t second_offset; /* of the length of a list, or of the port of an address */
	bool required;
	uint32_t default_number; /* value of an optional number that the file leaves out */
};

struct config_yaml_section {
	const struct config_yaml_field *fields;
	const ProtobufCMessageDescriptor *descriptor;
	size_t list;  /* offset in Bc__Config of the list of pointers */
	size_t count; /* offset in Bc__Config of the length of the list */
	bool required;
};

/* Member of type `type` at `offset` of the protobuf struct at `ptr`. */
#define CONFIG_YAML_MEMBER(ptr, type, offset) (*(type *)((char *)(ptr) + (offset)))

extern const struct config_yaml_section config_yaml_sections[CONFIG_SECTIONS];

/* Texts for the intents of an upstream, indexed by Bc__UpstreamIntent. */
#define CONFIG_YAML_N_INTENTS 3
extern const char *const config_yaml_intents[CONFIG_YAML_N_INTENTS];

#endif
