#include "tool/ctlprint.h"

static const char *text_of(const json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s ? s : "";
}

static json_int_t number_of(const json_t *o, const char *name)
{
	return json_integer_value(json_object_get(o, name));
}

static bool is_set(const json_t *o, const char *name)
{
	return json_is_true(json_object_get(o, name));
}

static void print_alarms(FILE *out, const json_t *status)
{
	const json_t *list = json_object_get(status, "alarms");

	if (json_array_size(list) == 0)
		fputs("alarms: none\n", out);
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *a = json_array_get(list, i);

		fprintf(out, "ALARM %s: %s\n", text_of(a, "alarm"), text_of(a, "detail"));
	}
}

/* Returns the highest configuration version that any of the routers holds. */
static json_int_t newest_version(const json_t *routers)
{
	json_int_t newest = 0;

	for (size_t i = 0; i < json_array_size(routers); i++) {
		json_int_t v = number_of(json_array_get(routers, i), "config_version");

		newest = v > newest ? v : newest;
	}
	return newest;
}

static void print_routers(FILE *out, const json_t *status)
{
	const json_t *list = json_object_get(status, "routers");
	json_int_t newest = newest_version(list);

	fputs("routers of the cell\n", out);
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *r = json_array_get(list, i);
		json_int_t version = number_of(r, "config_version");

		fprintf(out, "  %-24s %-16s configuration %" JSON_INTEGER_FORMAT "%s%s\n",
			text_of(r, "id"), text_of(r, "failure_domain"), version,
			version < newest ? ", LACKS THE NEWEST" : "",
			is_set(r, "connected") ? "" : ", not connected");
	}
}

static void print_upstreams(FILE *out, const json_t *service)
{
	const json_t *list = json_object_get(service, "upstreams");

	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *u = json_array_get(list, i);

		fprintf(out,
			"    %-24s %-8s slots in use %" JSON_INTEGER_FORMAT
			" of %" JSON_INTEGER_FORMAT ", queued %" JSON_INTEGER_FORMAT
			", median %" JSON_INTEGER_FORMAT " ms\n",
			text_of(u, "id"), text_of(u, "state"), number_of(u, "in_use"),
			number_of(u, "limit"), number_of(u, "queued"),
			number_of(u, "service_p50_ms"));
	}
}

static void print_services(FILE *out, const json_t *status)
{
	const json_t *list = json_object_get(status, "services");

	fputs("services\n", out);
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *s = json_array_get(list, i);
		const char *broker = text_of(s, "broker");

		fprintf(out, "  %-24s broker %s%s", text_of(s, "service"),
			*broker ? broker : "NONE", is_set(s, "here") ? " (this router)" : "");
		if (json_object_get(s, "moves"))
			fprintf(out, ", %" JSON_INTEGER_FORMAT " moves under way",
				number_of(s, "moves"));
		if (json_object_get(s, "queued"))
			fprintf(out, ", %" JSON_INTEGER_FORMAT " queued", number_of(s, "queued"));
		fputc('\n', out);
		print_upstreams(out, s);
	}
}

void ctlprint_status(FILE *out, const json_t *status)
{
	fprintf(out,
		"router %s in %s, failure domain %s: configuration %" JSON_INTEGER_FORMAT
		", cell version %" JSON_INTEGER_FORMAT "%s%s\n",
		text_of(status, "id"), text_of(status, "region"), text_of(status, "failure_domain"),
		number_of(status, "config_version"), number_of(status, "cell_version"),
		is_set(status, "member") ? "" : ", not a member",
		is_set(status, "draining") ? ", draining" : "");
	print_alarms(out, status);
	print_routers(out, status);
	print_services(out, status);
}

void ctlprint_add_status(struct ctlprint_progress *p, const json_t *status, uint64_t version,
			 json_t *counted_members, json_t *counted_routers)
{
	const json_t *routers = json_object_get(status, "routers");
	const json_t *services = json_object_get(status, "services");

	for (size_t i = 0; i < json_array_size(routers); i++) {
		const json_t *r = json_array_get(routers, i);

		if (!is_set(r, "connected") || json_object_get(counted_members, text_of(r, "id")))
			continue;
		json_object_set_new(counted_members, text_of(r, "id"), json_true());
		p->routers++;
		p->in_force += (uint64_t)number_of(r, "config_version") >= version;
	}
	/* The operator may have given two addresses of the same router. */
	if (json_object_get(counted_routers, text_of(status, "id")))
		return;
	json_object_set_new(counted_routers, text_of(status, "id"), json_true());
	for (size_t i = 0; i < json_array_size(services); i++) {
		const json_t *s = json_array_get(services, i);

		if (is_set(s, "here"))
			p->moves += (size_t)number_of(s, "moves");
	}
}
