/* Reads the configuration in force and the registered upstreams from the platform's store. */
#include "tool/ctlcheck.h"

#include "base/clk.h"
#include "connection/timer.h"

/* Time for one table; a healthy store answers in a few ms. */
#define READ_TIMEOUT_MS 5000
#define LOOP_STEP_MS 50

struct read_state {
	const struct platform *platform;
	const struct gwset *settings;
	struct ctlcheck_store *out;
	enum meta_status status;
	bool done;
};

static void on_config(void *data, const struct meta_answer *a)
{
	struct read_state *s = data;

	s->done = true;
	s->status = a->status;
	for (size_t i = 0; a->status == META_OK && i < a->n_rows; i++) {
		const struct meta_row *row = &a->rows[i];

		if (!row->deleted && s->platform->is_config(row->key))
			s->out->config = arena_str(&s->out->arena, row->value);
	}
}

/* A registration that gateways would not use is left out here as well. */
static void on_upstreams(void *data, const struct meta_answer *a)
{
	struct read_state *s = data;
	struct ctlcheck_store *out = s->out;

	s->done = true;
	s->status = a->status;
	if (a->status != META_OK)
		return;
	out->upstreams = arena_alloc(&out->arena, (a->n_rows + 1) * sizeof(*out->upstreams));
	for (size_t i = 0; i < a->n_rows; i++) {
		struct fleet_info info = {0};
		struct err err = {0};

		if (a->rows[i].deleted ||
		    !s->platform->registration(&out->arena, &a->rows[i], &info, &err) ||
		    info.draining)
			continue;
		out->upstreams[out->n_upstreams++] = (struct topocheck_upstream){
			.service = arena_str(&out->arena, info.service),
			.region = arena_str(&out->arena,
					    gwset_region(s->settings, info.failure_domain)),
			.slots = info.slots,
		};
	}
}

static bool read_table(h2o_loop_t *loop, struct meta *store, enum meta_table table, meta_cb cb,
		       struct read_state *s, struct err *err)
{
	clk_ms end = clk_now() + READ_TIMEOUT_MS;

	s->done = false;
	s->platform->store->read(store, table, cb, s);
	while (!s->done && clk_now() < end)
		h2o_evloop_run(loop, LOOP_STEP_MS);
	if (s->done && s->status == META_OK)
		return true;
	return err_set(err, ERR_UNAVAILABLE,
		       "the store at %s:%u cannot be read: %s; name another or leave --store out",
		       s->settings->store.ip, (unsigned)s->settings->store.port,
		       s->done ? meta_status_name(s->status) : "no answer");
}

bool ctlcheck_read_store(const struct platform *platform, const struct gwset *settings,
			 struct ctlcheck_store *out, struct err *err)
{
	h2o_loop_t *loop = h2o_evloop_create();
	struct answer_memory answers = {.limit = settings->memory_bytes};
	struct meta *store =
		platform->store->open(loop, settings->store.ip, settings->store.port, &answers);
	struct read_state s = {.platform = platform, .settings = settings, .out = out};
	bool ok = read_table(loop, store, META_CONFIG, on_config, &s, err) &&
		  read_table(loop, store, META_UPSTREAMS, on_upstreams, &s, err);

	platform->store->close(store);
	timer_destroy_loop(loop);
	return ok;
}
