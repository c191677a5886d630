#include "tool/ctlcheck.h"

#include <stdlib.h>

#include "connection/upconn.h"
#include "process/gateway.h"
#include "request/forward.h"

#define MAX_FILE_BYTES (64u * 1024 * 1024) /* of a configuration */

/* The inputs of a check. */
struct inputs {
	struct arena arena;
	struct str text; /* of the configuration to check */
	struct str in_force_text;
	bool has_settings;
	struct gwset settings;
	bool has_store;
	struct ctlcheck_store store;
	struct topo *topo;
	struct topo *in_force;
};

static bool read_file(struct arena *a, const char *path, struct str *out, struct err *err)
{
	FILE *f = fopen(path, "r");
	char *text;
	size_t n;
	bool failed;

	if (!f)
		return err_set(err, ERR_INPUT, "%.200s: cannot be opened; name a readable file",
			       path);
	text = arena_alloc(a, MAX_FILE_BYTES + 1);
	n = fread(text, 1, MAX_FILE_BYTES + 1, f);
	failed = ferror(f);
	fclose(f);
	if (failed || n > MAX_FILE_BYTES)
		return err_set(err, ERR_INPUT,
			       "%.200s: cannot be read or is longer than %u bytes; name another "
			       "file",
			       path, MAX_FILE_BYTES);
	*out = (struct str){text, n};
	return true;
}

/* Reads files and store. The configuration to check is not decoded. */
static bool read_inputs(const struct ctlcheck_options *o, struct inputs *in, struct err *err)
{
	if (!read_file(&in->arena, o->file, &in->text, err))
		return false;
	if (o->settings) {
		in->has_settings = o->platform->settings(o->settings, &in->settings, err);
		if (!in->has_settings)
			return err_prefix(err, "%.200s", o->settings);
	}
	if (o->store && !in->has_settings)
		return err_set(err, ERR_INPUT, "--store needs --settings FILE, which names it");
	if (o->store) {
		in->has_store = ctlcheck_read_store(o->platform, &in->settings, &in->store, err);
		if (!in->has_store)
			return false;
		in->in_force_text = in->store.config;
	}
	if (o->in_force && !read_file(&in->arena, o->in_force, &in->in_force_text, err))
		return false;
	if (!o->in_force && !in->in_force_text.len)
		return true;
	in->in_force = o->platform->config(in->in_force_text, err);
	return in->in_force || err_prefix(err, "configuration in force");
}

static void on_unread(void *data, struct str place, struct str name)
{
	topocheck_unread(place, name, data);
}

/* Lists the regions of the settings, each once or more. */
static struct str *list_regions(struct inputs *in)
{
	struct str *regions =
		arena_alloc(&in->arena, (in->settings.n_domains + 1) * sizeof(*regions));

	for (size_t i = 0; i < in->settings.n_domains; i++)
		regions[i] = in->settings.domains[i].region;
	return regions;
}

static void check_topo(const struct platform *platform, struct inputs *in,
		       struct ctlcheck_result *r)
{
	struct topocheck_env env = {
		.upstreams_known = in->has_store,
		.upstreams = in->store.upstreams,
		.n_upstreams = in->store.n_upstreams,
		.max_sent_bytes = UPCONN_MAX_REQUEST_BYTES,
		.retry_min_left = FORWARD_RETRY_MIN_LEFT_MS,
		.document_bytes = in->text.len,
	};

	if (in->has_settings) {
		env.regions = list_regions(in);
		env.n_regions = in->settings.n_domains;
		env.body_memory_bytes = in->settings.memory_bytes / GATEWAY_BODY_MEMORY_DIVISOR;
		env.row_bytes = in->settings.row_bytes;
	}
	platform->config_unread(in->text, on_unread, &r->findings);
	topocheck(in->topo, &env, &r->findings);
	r->has_version = true;
	r->version = in->topo->version;
	if (in->in_force) {
		r->has_in_force = true;
		r->in_force = in->in_force->version;
		topodiff(in->in_force, in->topo, &r->diff);
		topocheck_version(in->topo, in->in_force, r->diff.n > 0, &r->findings);
	}
	r->status = r->findings.n ? CTLCHECK_FINDINGS : CTLCHECK_CLEAN;
}

enum ctlcheck_status ctlcheck(const struct ctlcheck_options *o, FILE *out)
{
	struct inputs in = {0};
	struct ctlcheck_result r = {0};

	if (!read_inputs(o, &in, &r.err)) {
		r.status = CTLCHECK_UNUSABLE;
	} else {
		in.topo = o->platform->config(in.text, &r.err);
		if (in.topo)
			check_topo(o->platform, &in, &r);
		else
			r.status = CTLCHECK_REFUSED;
	}
	if (o->json)
		ctlcheck_print_json(out, &r);
	else
		ctlcheck_print_text(out, &r);
	if (r.status == CTLCHECK_UNUSABLE)
		fprintf(stderr, "bamboocroft-ctl: %s\n", r.err.msg);
	findings_free(&r.findings);
	topodiff_free(&r.diff);
	topo_destroy(in.topo);
	topo_destroy(in.in_force);
	arena_free(&in.store.arena);
	gwset_free(&in.settings);
	arena_free(&in.arena);
	return r.status;
}
