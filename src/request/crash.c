#include "request/crash.h"

#include <stdlib.h>

#include "base/arena.h"
#include "base/log.h"
#include "base/rnd.h"
#include "connection/timer.h"
#include "connection/upconn.h"

/* Time between a broken request and the check of the upstream's process. */
#define CRASH_CHECK_MS 150
#define CRASH_CHECK_TIMEOUT_MS 400

static const struct log log = {"crash"};

struct crash_checker {
	struct crash_env env;
	struct process_check *checks;
};

/* Check whether the upstream process that got a broken request has ended. */
struct process_check {
	struct crash_checker *checker;
	struct timer timer;
	struct fleet_upstream *upstream;
	int64_t started; /* start of the process that got the request */
	uint64_t fingerprint;
	struct arena arena;
	struct str health_path;
	struct upconn_request req;
	struct upconn_call *call;
	struct process_check *prev;
	struct process_check *next;
};

static void check_release(struct process_check *c)
{
	if (c->call)
		upconn_cancel(c->call);
	fleet_release(c->checker->env.fleet, c->upstream, clk_now());
	timer_release(&c->timer);
	arena_free(&c->arena);
	free(c);
}

static void check_free(struct process_check *c)
{
	if (c->prev)
		c->prev->next = c->next;
	else
		c->checker->checks = c->next;
	if (c->next)
		c->next->prev = c->prev;
	check_release(c);
}

static void check_end(struct process_check *c, bool crashed)
{
	struct crash_checker *l = c->checker;

	if (crashed) {
		log_warn(&log, "a request with fingerprint %016llx broke with upstream %s",
			 (unsigned long long)c->fingerprint, c->upstream->id);
		l->env.on_crash(l->env.data, c->fingerprint,
				rnd_mix(c->upstream->num, (uint64_t)c->started));
	}
	check_free(c);
}

static void on_check_answer(void *data, const struct upconn_answer *a)
{
	struct process_check *c = data;

	c->call = NULL;
	check_end(c, a->result == UPCONN_CONNECT_FAILED);
}

static void on_check_timer(struct timer *timer, void *data)
{
	struct process_check *c = data;
	struct upconn_pool *pool = c->upstream->conns;

	if (c->upstream->started != c->started || c->upstream->removed_at != CLK_NEVER || !pool) {
		check_end(c, true);
		return;
	}
	if (upconn_idle_conn(pool)) {
		check_end(c, false);
		return;
	}
	c->req = (struct upconn_request){
		.method = STR_LIT("GET"),
		.path = c->health_path,
		.timeout = CRASH_CHECK_TIMEOUT_MS,
	};
	c->call = upconn_send(pool, &c->req, on_check_answer, c);
}

void crash_check_upstream(struct crash_checker *l, struct fleet_upstream *u, uint64_t fingerprint,
			  struct str health_path)
{
	struct process_check *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->checker = l;
	c->upstream = u;
	c->started = u->started;
	c->fingerprint = fingerprint;
	c->health_path = arena_str(&c->arena, health_path);
	fleet_hold(u);
	c->next = l->checks;
	if (c->next)
		c->next->prev = c;
	l->checks = c;
	timer_init(&c->timer, l->env.loop, on_check_timer, c);
	timer_arm(&c->timer, CRASH_CHECK_MS);
}

struct crash_checker *crash_checker_create(const struct crash_env *env)
{
	struct crash_checker *l = calloc(1, sizeof(*l));

	if (!l)
		abort();
	l->env = *env;
	return l;
}

void crash_checker_destroy(struct crash_checker *l)
{
	struct process_check *c;

	if (!l)
		return;
	while ((c = l->checks) != NULL) {
		l->checks = c->next;
		check_release(c);
	}
	free(l);
}
