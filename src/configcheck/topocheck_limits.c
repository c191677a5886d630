/* Limits that contradict each other. */
#include "configcheck/topocheck.h"

#include "base/mutant.h"

/* Time in which a route's attempts would have to fit, if only the last may take all the rest. */
static clk_ms time_for_attempts(const struct topo_route *r, const struct topocheck_env *env)
{
	return (clk_ms)(r->max_attempts - 1) * env->retry_min_left;
}

static void check_attempts(const struct topo_route *r, const struct topocheck_env *env,
			   struct str place, struct findings *out)
{
	size_t upstreams = 0;

	if (r->max_attempts > 1 && r->timeout < time_for_attempts(r, env) &&
	    !MUTANT(topocheck_any_attempts))
		findings_add(
			out, "attempts-over-timeout", place,
			"%u attempts do not fit a timeout of %lld ms: a further one begins only "
			"with %lld ms left",
			r->max_attempts, (long long)r->timeout, (long long)env->retry_min_left);
	if (!env->upstreams_known)
		return;
	for (size_t i = 0; i < r->n_parts; i++) {
		size_t n = topocheck_count_upstreams(env, r, r->parts[i].service);

		if (n > upstreams)
			upstreams = n;
	}
	if (upstreams && upstreams < r->max_attempts)
		findings_add(out, "attempts-over-upstreams", place,
			     "%u attempts, but the registered upstreams that may serve a request "
			     "are only %zu",
			     r->max_attempts, upstreams);
}

static void check_route(const struct topo *t, const struct topo_route *r,
			const struct topocheck_env *env, struct str place, struct findings *out)
{
	if (r->timeout == 0)
		findings_add(out, "timeout-zero", place, "every request fails at its arrival");
	else if (r->target > r->timeout && !MUTANT(topocheck_any_target))
		findings_add(out, "target-over-timeout", place,
			     "the target latency of %lld ms is over the timeout of %lld ms: a "
			     "request fails before its target has passed",
			     (long long)r->target, (long long)r->timeout);
	if (r->target == 0)
		findings_add(out, "target-zero", place, "no answer can be in time");
	check_attempts(r, env, place, out);
	if (r->kind == TOPO_UPLOAD && t->limits.max_body_bytes == 0)
		findings_add(out, "upload-without-body", place,
			     "bodies are limited to 0 bytes: every upload is answered with 413");
}

static uint32_t most_slots(const struct topocheck_env *env, const struct topo_service *s)
{
	uint32_t most = 0;

	for (size_t i = 0; i < env->n_upstreams; i++) {
		if (str_eq(env->upstreams[i].service, s->name) && env->upstreams[i].slots > most)
			most = env->upstreams[i].slots;
	}
	return most;
}

static void check_service(const struct topo_service *s, const struct topocheck_env *env,
			  struct findings *out)
{
	struct str place = topocheck_service_place(&out->arena, s);
	uint32_t slots = most_slots(env, s);

	if (s->cold_duration > 0 && s->cold_per_second <= 0 && !MUTANT(topocheck_any_cold))
		findings_add(out, "cold-rate-zero", place,
			     "an upstream is cold for %lld ms after its start and may get 0 "
			     "requests a second meanwhile",
			     (long long)s->cold_duration);
	if (s->cold_duration == 0 && s->cold_per_second > 0)
		findings_add(out, "cold-rate-unused", place,
			     "a rate for cold upstreams is set, but they are cold for 0 ms");
	if (slots > s->max_connections)
		findings_add(out, "connections-under-slots", place,
			     "an upstream has %u slots, but takes %u connections of one request "
			     "each",
			     slots, s->max_connections);
}

static void check_callers(const struct topo_limits *l, const struct topocheck_env *env,
			  struct findings *out)
{
	struct str place = STR_LIT("limits");

	if (env->max_sent_bytes && l->max_body_bytes > env->max_sent_bytes)
		findings_add(out, "body-over-request", place,
			     "bodies of up to %zu bytes are taken, but none over %zu bytes is sent "
			     "to an upstream",
			     l->max_body_bytes, env->max_sent_bytes);
	if (env->body_memory_bytes && l->max_body_bytes > env->body_memory_bytes &&
	    !MUTANT(topocheck_any_body))
		findings_add(out, "body-over-memory", place,
			     "bodies of up to %zu bytes are allowed, but a gateway has %zu bytes "
			     "for all of them",
			     l->max_body_bytes, env->body_memory_bytes);
	if (l->header_timeout == 0)
		findings_add(out, "header-timeout-zero", place,
			     "a request that does not arrive at once is refused");
	if (l->idle_timeout == 0)
		findings_add(out, "idle-timeout-zero", place,
			     "connections of callers end after each answer, and an answer that is "
			     "not taken at once is cut");
}

void topocheck_limits(const struct topo *t, const struct topocheck_env *env, struct findings *out)
{
	check_callers(&t->limits, env, out);
	for (size_t i = 0; i < t->n_services; i++)
		check_service(&t->services[i], env, out);
	for (size_t i = 0; i < t->n_hosts; i++) {
		const struct topo_host *h = &t->hosts[i];

		for (size_t k = 0; k < h->n_routes; k++)
			check_route(t, h->routes[k], env,
				    topocheck_route_place(&out->arena, h, h->routes[k]), out);
	}
}
