/*
 * The keeper of keys with real connections: a store in memory and upstreams that check fences. An
 * auditor sees every grant that an upstream accepts and compares it with what the others hold.
 */
#include <stdlib.h>

#include "base/rnd.h"
#include "connection/ingress.h"
#include "process/shardmgr.h"
#include "test/unit.h"
#include "test/unit_loop.h"

#define KEY_SPACE 1024
#define UPSTREAMS 4
#define HOLD_MS 900
#define LATE_MS 700
#define SERVICE "s"

/* ---- store ---------------------------------------------------------------------------------- */

#define MAX_ROWS 8

struct row {
	char key[64];
	char value[4096];
	size_t len;
	uint64_t version;
};

struct meta {
	h2o_loop_t *loop;
	struct row rows[MAX_ROWS];
	size_t n_rows;
	uint64_t version;
	uint64_t oldest;  /* history before it is gone */
	bool down;	  /* refuses every call */
	bool lose_writes; /* done, but not answered */
	bool refuse_writes;
	size_t row_bytes; /* longest value, in base64; 0: any */
	size_t too_long;  /* writes with a longer one */
	struct call *calls;
};

struct call {
	struct meta *meta;
	struct timer timer;
	meta_cb cb;
	void *data;
	enum meta_status status;
	uint64_t version; /* of a commit */
	bool rows;	  /* answer with all rows */
	uint64_t after;	  /* and only newer ones */
	struct call *next;
};

static void on_call(struct timer *timer, void *data)
{
	struct call *c = data;
	struct meta_row rows[MAX_ROWS];
	struct meta_answer a = {.status = c->status, .version = c->meta->version, .rows = rows};
	struct call **at = &c->meta->calls;

	if (c->version)
		a.version = c->version;
	for (size_t i = 0; c->rows && i < c->meta->n_rows; i++) {
		const struct row *r = &c->meta->rows[i];

		if (r->version <= c->after)
			continue;
		rows[a.n_rows++] = (struct meta_row){
			.key = str_from(r->key),
			.value = {r->value, r->len},
			.version = r->version,
		};
	}
	while (*at != c)
		at = &(*at)->next;
	*at = c->next;
	c->cb(c->data, &a);
	timer_release(&c->timer);
	free(c);
}

static struct call *answer_later(struct meta *m, meta_cb cb, void *data, clk_ms delay)
{
	struct call *c = calloc(1, sizeof(*c));

	c->meta = m;
	c->cb = cb;
	c->data = data;
	c->status = m->down ? META_REFUSED : META_OK;
	c->next = m->calls;
	m->calls = c;
	timer_init(&c->timer, m->loop, on_call, c);
	timer_arm(&c->timer, delay);
	return c;
}

static void store_read(struct meta *m, enum meta_table table, meta_cb cb, void *data)
{
	answer_later(m, cb, data, 2)->rows = !m->down;
}

static void store_watch(struct meta *m, enum meta_table table, uint64_t after, clk_ms wait,
			meta_cb cb, void *data)
{
	struct call *c = answer_later(m, cb, data, 50);

	c->rows = !m->down;
	if (!m->down && after < m->oldest) {
		c->status = META_TRIMMED;
		c->rows = false;
	}
	c->after = after;
}

static struct row *find_row(struct meta *m, struct str key)
{
	for (size_t i = 0; i < m->n_rows; i++) {
		if (str_eq_cstr(key, m->rows[i].key))
			return &m->rows[i];
	}
	return NULL;
}

static bool holds(struct meta *m, const struct meta_change *c)
{
	const struct row *r = find_row(m, c->key);

	return !c->conditional || (r ? r->version : 0) == c->expected;
}

static void write_row(struct meta *m, const struct meta_change *c)
{
	struct row *r = find_row(m, c->key);

	if (!r) {
		ck_assert_uint_lt(m->n_rows, MAX_ROWS);
		r = &m->rows[m->n_rows++];
		snprintf(r->key, sizeof(r->key), "%.*s", STR_ARG(c->key));
	}
	m->too_long += m->row_bytes && (c->value.len + 2) / 3 * 4 > m->row_bytes;
	ck_assert_uint_le(c->value.len, sizeof(r->value));
	memcpy(r->value, c->value.ptr, c->value.len);
	r->len = c->value.len;
	r->version = m->version;
}

static void store_commit(struct meta *m, enum meta_table table, const struct meta_change *changes,
			 size_t n, meta_cb cb, void *data)
{
	struct call *c = answer_later(m, cb, data, 3);

	if (m->refuse_writes)
		c->status = META_REFUSED;
	if (m->down || m->refuse_writes)
		return;
	for (size_t i = 0; i < n; i++) {
		if (!holds(m, &changes[i])) {
			c->status = META_CONFLICT;
			return;
		}
	}
	m->version++;
	for (size_t i = 0; i < n; i++) {
		if (changes[i].write)
			write_row(m, &changes[i]);
	}
	c->version = m->version;
	if (m->lose_writes)
		c->status = META_UNKNOWN;
}

static const struct meta_driver store_driver = {
	.read = store_read,
	.watch = store_watch,
	.commit = store_commit,
};

static bool names(const Bc__KeyRow *map, uint32_t number, uint64_t upstream)
{
	return number && map->upstreams[number - 1] == upstream;
}

/*
 * Whether the stored map allows a grant: its highest fence is not lower, and it names the upstream
 * as owner or former owner of all the keys. A successor knows only what it says.
 */
static bool is_stored(struct meta *m, uint32_t from, uint32_t to, uint64_t fence, uint64_t upstream)
{
	struct row *r = find_row(m, STR_LIT("map/" SERVICE));
	Bc__KeyRow *map = r ? bc__key_row__unpack(NULL, r->len, (const uint8_t *)r->value) : NULL;
	bool good = map && map->fence >= fence;
	uint32_t first = 0;

	for (size_t i = 0; good && i < map->n_to; i++) {
		if (first <= to && map->to[i] >= from)
			good = names(map, map->owner[i], upstream) ||
			       names(map, map->former[i], upstream) ||
			       names(map, map->second_former[i], upstream);
		first = map->to[i] + 1;
	}
	if (map)
		bc__key_row__free_unpacked(map, NULL);
	return good;
}

/* ---- upstreams ------------------------------------------------------------------------------ */

struct server {
	struct world *world;
	int number;
	struct ingress *ingress;
	bool alive;
	bool mute; /* takes orders and does not answer */
	bool late; /* carries grants out LATE_MS after they arrived and does not answer them */
	uint64_t fence[KEY_SPACE];  /* highest seen */
	uint64_t had[KEY_SPACE];    /* highest under which it got the key */
	uint64_t before[KEY_SPACE]; /* highest under which earlier processes here got it */
	clk_ms until[KEY_SPACE];    /* holds the key until then */
};

struct world {
	h2o_loop_t *loop;
	struct meta meta;
	struct server servers[UPSTREAMS];
	struct fleet *fleet;
	struct watch *watch;
	struct shardmgr *mgrs[2];
	size_t doubles; /* grants of keys that another upstream held */
	size_t low_fences;
	size_t early; /* grants that the stored map does not allow */
	size_t grants;
	bool agree;
};

static bool holds_key(const struct server *s, uint32_t key, clk_ms now)
{
	return s->alive && s->until[key] > now;
}

/* The auditor: looks at an accepted grant before it takes effect. */
static void audit(struct server *s, uint32_t from, uint32_t to, uint64_t fence, clk_ms now)
{
	struct world *w = s->world;
	bool twice = false;
	bool low = false;
	char id[16];

	for (uint32_t key = from; key <= to; key++) {
		low = low || s->before[key] >= fence;
		for (int i = 0; i < UPSTREAMS; i++) {
			const struct server *other = &w->servers[i];

			if (other == s)
				continue;
			twice = twice || holds_key(other, key, now);
			low = low || other->had[key] >= fence;
		}
	}
	w->grants++;
	w->doubles += twice;
	w->low_fences += low;
	snprintf(id, sizeof(id), "u%d", s->number);
	w->early += !is_stored(&w->meta, from, to, fence, fleet_num(str_from(id)));
}

static void reply(struct ingress_request *req, int status)
{
	static const struct ingress_header handover[] = {{{"x-handover", 10}, {"h1", 2}}};

	ingress_reply(req, status, handover, 1, STR_NULL, false);
	ingress_request_free(req);
}

/* A grant takes effect; its time counts from its arrival. False: a higher fence was granted. */
static bool take_grant(struct server *s, uint32_t from, uint32_t to, uint64_t fence, clk_ms until)
{
	for (uint32_t key = from; key <= to; key++) {
		if (s->fence[key] > fence)
			return false;
	}
	if (until <= clk_now())
		return true;
	audit(s, from, to, fence, clk_now());
	for (uint32_t key = from; key <= to; key++) {
		s->fence[key] = fence;
		if (s->had[key] < fence)
			s->had[key] = fence;
		s->until[key] = until;
	}
	return true;
}

struct late_grant {
	struct server *server;
	struct timer timer;
	uint32_t from;
	uint32_t to;
	uint64_t fence;
	clk_ms until;
};

static void on_late_grant(struct timer *timer, void *data)
{
	struct late_grant *g = data;

	take_grant(g->server, g->from, g->to, g->fence, g->until);
	timer_release(&g->timer);
	free(g);
}

static void grant_later(struct server *s, uint32_t from, uint32_t to, uint64_t fence, clk_ms until)
{
	struct late_grant *g = calloc(1, sizeof(*g));

	*g = (struct late_grant){.server = s, .from = from, .to = to, .fence = fence};
	g->until = until;
	timer_init(&g->timer, s->world->loop, on_late_grant, g);
	timer_arm(&g->timer, LATE_MS);
}

static void on_order(void *data, struct ingress_request *req)
{
	struct server *s = data;
	clk_ms now = clk_now();
	unsigned int from;
	unsigned int to;
	unsigned long long fence;
	long long hold;

	if (str_eq_cstr(req->method, "GET")) {
		if (!s->mute)
			reply(req, 200);
		return;
	}
	ck_assert_int_eq(sscanf(req->body.ptr, "%u %u %llu %lld", &from, &to, &fence, &hold), 4);
	if (hold && s->late) {
		grant_later(s, from, to, fence, now + hold);
		return;
	}
	if (hold && !take_grant(s, from, to, fence, now + hold)) {
		reply(req, 409);
		return;
	}
	/* A release ends the hold; only grants raise the fence. */
	for (uint32_t key = from; !hold && key <= to; key++)
		s->until[key] = 0;
	if (s->mute)
		return; /* the caller gives up */
	reply(req, 200);
}

static void on_order_gone(void *data, struct ingress_request *req)
{
	ingress_request_free(req);
}

static const struct ingress_limits *server_limits(void *data)
{
	static const struct ingress_limits limits = {16384, 65536, 0, 5000, 60000};

	return &limits;
}

static void server_listen(struct server *s)
{
	static const struct ingress_handlers handlers = {on_order, on_order_gone, server_limits};
	struct fleet_upstream *u;
	struct err err = {0};
	char id[16];

	snprintf(id, sizeof(id), "u%d", s->number);
	u = fleet_find(s->world->fleet, fleet_num(str_from(id)));
	s->ingress = ingress_create(s->world->loop, "127.0.0.3", u->port, &handlers, s, &err);
	ck_assert_msg(s->ingress != NULL, "%s", err.msg);
}

/* ---- world ---------------------------------------------------------------------------------- */

static struct str grant_body(struct arena *a, const struct platform_grant *g)
{
	return arena_printf(a, "%u %u %llu %lld ", g->from, g->to, (unsigned long long)g->fence,
			    (long long)g->hold);
}

static const struct platform platform = {
	.headers = {.handover = "x-handover"},
	.grant_path = "/grant",
	.release_path = "/release",
	.key_space = KEY_SPACE,
	.store = &store_driver,
	.grant_body = grant_body,
};

static double capacity(void *data, const char *service, uint64_t upstream)
{
	return 10;
}

static void on_owners(void *data, const char *service)
{
}

static void on_role(void *data, const char *service, bool keeping)
{
}

static bool peers_agree(void *data, const char *service, uint64_t term)
{
	return ((struct world *)data)->agree;
}

static void ignore_rows(void *data, enum meta_table table, bool whole, bool recovered,
			const struct meta_answer *answer)
{
}

static void ignore_upstream(void *data, struct fleet_upstream *u)
{
}

static struct str health_path(void *data, const char *service)
{
	return STR_LIT("/health");
}

static struct shardmgr *new_mgr(struct world *w)
{
	struct shardmgr_env env = {
		.loop = w->loop,
		.platform = &platform,
		.meta = &w->meta,
		.watch = w->watch,
		.fleet = w->fleet,
		.hold_max = HOLD_MS,
		.row_bytes = w->meta.row_bytes ? w->meta.row_bytes : 4096,
		.data = w,
		.capacity = capacity,
		.health_path = health_path,
		.on_owners = on_owners,
		.on_role = on_role,
		.peers_agree = peers_agree,
	};

	return shardmgr_create(&env, SERVICE);
}

static void put_process(struct world *w, int i, bool draining, int64_t started)
{
	char id[16];
	struct fleet_info info = {
		.service = STR_LIT(SERVICE),
		.ip = "127.0.0.3",
		.failure_domain = STR_LIT("d"),
		.slots = 2,
		.draining = draining,
		.started = started,
	};
	struct fleet_upstream *u;

	snprintf(id, sizeof(id), "u%d", i);
	info.id = str_from(id);
	u = fleet_find(w->fleet, fleet_num(info.id));
	info.port = u ? u->port : unit_free_port("127.0.0.3");
	fleet_put(w->fleet, clk_now(), &info);
}

static void put_upstream(struct world *w, int i, bool draining)
{
	put_process(w, i, draining, 1);
}

static void setup(struct world *w)
{
	static const struct fleet_handlers fleet_handlers = {ignore_upstream, ignore_upstream};
	static const struct watch_handlers watch_handlers = {ignore_rows};

	memset(w, 0, sizeof(*w));
	timer_setup_process();
	w->loop = h2o_evloop_create();
	w->meta.loop = w->loop;
	w->meta.version = 1;
	w->fleet = fleet_create(&fleet_handlers, w);
	w->watch = watch_create(w->loop, &store_driver, &w->meta, &watch_handlers, w);
	for (int i = 0; i < UPSTREAMS; i++) {
		w->servers[i] = (struct server){.world = w, .number = i, .alive = true};
		put_upstream(w, i, false);
		server_listen(&w->servers[i]);
	}
	for (int i = 0; i < 2; i++)
		w->mgrs[i] = new_mgr(w);
}

static void teardown(struct world *w)
{
	for (int i = 0; i < 2; i++)
		shardmgr_destroy(w->mgrs[i]);
	for (int i = 0; i < UPSTREAMS; i++)
		ingress_destroy(w->servers[i].ingress);
	while (w->meta.calls) {
		struct call *c = w->meta.calls;

		w->meta.calls = c->next;
		timer_release(&c->timer);
		free(c);
	}
	watch_destroy(w->watch);
	fleet_destroy(w->fleet);
	timer_destroy_loop(w->loop);
}

static bool all_owned_by(struct world *w, const struct shardmgr *mgr)
{
	for (uint32_t key = 0; key < KEY_SPACE; key++) {
		uint64_t owner = shardmgr_owner(mgr, key);
		bool held = false;

		for (int i = 0; i < UPSTREAMS; i++) {
			char id[16];

			snprintf(id, sizeof(id), "u%d", i);
			if (owner == fleet_num(str_from(id)))
				held = holds_key(&w->servers[i], key, clk_now());
		}
		if (!held)
			return false;
	}
	return true;
}

static bool served_by_first(void *data)
{
	struct world *w = data;

	return shardmgr_is_active(w->mgrs[0]) && all_owned_by(w, w->mgrs[0]);
}

static bool served_by_second(void *data)
{
	struct world *w = data;

	return shardmgr_is_active(w->mgrs[1]) && all_owned_by(w, w->mgrs[1]);
}

static void check_audit(const struct world *w)
{
	ck_assert_msg(w->doubles == 0, "%zu grants of keys that another upstream held", w->doubles);
	ck_assert_msg(w->low_fences == 0, "%zu grants under a low fence", w->low_fences);
	ck_assert_msg(w->early == 0, "%zu grants that the stored map does not allow", w->early);
}

static void start(struct world *w)
{
	setup(w);
	shardmgr_acquire(w->mgrs[0]);
	ck_assert(unit_run_until(w->loop, served_by_first, w));
}

/* Every key gets an owner, and leases are renewed before they end. */
START_TEST(keys_are_granted_and_renewed)
{
	static struct world w;

	start(&w);
	for (int i = 0; i < 30; i++) {
		unit_run_for(w.loop, HOLD_MS / 10);
		ck_assert(served_by_first(&w));
	}
	check_audit(&w);
	teardown(&w);
}
END_TEST

/* The process of a keeper ends: nothing that it waits for reaches it any more. */
static void end_mgr_process(struct world *w, struct shardmgr **mgr)
{
	struct call **at = &w->meta.calls;

	while (*at) {
		struct call *c = *at;

		if (c->data != *mgr) {
			at = &c->next;
			continue;
		}
		*at = c->next;
		timer_release(&c->timer);
		free(c);
	}
	shardmgr_destroy(*mgr);
	*mgr = new_mgr(w);
}

static bool keyless_drained(void *data)
{
	struct world *w = data;

	for (uint32_t key = 0; key < KEY_SPACE; key++) {
		if (shardmgr_owner(w->mgrs[0], key) == fleet_num(STR_LIT("u1")))
			return false;
	}
	return served_by_first(w);
}

/* An upstream that leaves releases its keys before others get them. */
START_TEST(leaving_upstream_hands_its_keys_over)
{
	static struct world w;

	start(&w);
	put_upstream(&w, 1, true);
	shardmgr_fleet_changed(w.mgrs[0]);
	ck_assert(unit_run_until(w.loop, keyless_drained, &w));
	check_audit(&w);
	teardown(&w);
}
END_TEST

/*
 * An upstream works on, but connections to it are reset, as they are above its limit. Guards
 * against giving its keys to another before its lease has ended (hormas-gw trouble-1, play
 * bf797aeb).
 */
START_TEST(unreachable_upstream_keeps_its_lease)
{
	static struct world w;

	start(&w);
	ingress_destroy(w.servers[2].ingress);
	w.servers[2].ingress = NULL;
	unit_run_for(w.loop, HOLD_MS * 3);
	check_audit(&w);
	ck_assert(unit_run_until(w.loop, served_by_first, &w));
	server_listen(&w.servers[2]);
	unit_run_for(w.loop, HOLD_MS);
	check_audit(&w);
	teardown(&w);
}
END_TEST

static size_t keys_of(const struct world *w, const char *id)
{
	size_t n = 0;

	for (uint32_t key = 0; key < KEY_SPACE; key++)
		n += shardmgr_owner(w->mgrs[0], key) == fleet_num(str_from(id));
	return n;
}

static bool second_has_none(void *data)
{
	return served_by_first(data) && keys_of(data, "u2") == 0;
}

static bool second_has_some(void *data)
{
	struct world *w = data;

	/* Requests for all keys, so that a plan has something to balance. */
	for (uint32_t key = 0; key < KEY_SPACE; key += 7)
		shardmgr_record_request(w->mgrs[0], key);
	return served_by_first(w) && keys_of(w, "u2") > 0;
}

/*
 * An upstream cannot be reached for long enough to lose all keys, then answers again. Guards
 * against leaving it without keys for good: nothing was sent to it any more that it could answer
 * (shalbagan-gw-grown scale-1, seed 818407947318: all upstreams of a region stayed idle).
 */
START_TEST(upstream_that_answers_again_gets_keys)
{
	static struct world w;

	start(&w);
	ingress_destroy(w.servers[2].ingress);
	w.servers[2].ingress = NULL;
	ck_assert(unit_run_until(w.loop, second_has_none, &w));
	server_listen(&w.servers[2]);
	ck_assert(unit_run_until(w.loop, second_has_some, &w));
	check_audit(&w);
	teardown(&w);
}
END_TEST

/* Another process, which knows nothing of the first one, listens at the address of an upstream. */
static void replace_process(struct server *s)
{
	ingress_destroy(s->ingress);
	for (uint32_t key = 0; key < KEY_SPACE; key++) {
		if (s->before[key] < s->had[key])
			s->before[key] = s->had[key];
		s->had[key] = 0;
		s->fence[key] = 0;
		s->until[key] = 0;
	}
	server_listen(s);
}

/*
 * An upstream's process is replaced at its address, without a sign in the registrations, while one
 * grant to it is without an answer. Guards against grants to the new process under a fence that the
 * old one had (hormas-gw deploy/days/late.toml, seed 477622204079).
 */
START_TEST(new_process_gets_new_fences)
{
	static struct world w;

	start(&w);
	for (int round = 0; round < 3; round++) {
		put_upstream(&w, 1, true);
		shardmgr_fleet_changed(w.mgrs[0]);
		ck_assert(unit_run_until(w.loop, keyless_drained, &w));
		put_upstream(&w, 1, false);
		w.servers[1].mute =
			true; /* its first grant ends after 600 ms, the next comes 250 ms later */
		shardmgr_fleet_changed(w.mgrs[0]);
		unit_run_for(w.loop, 700);
		replace_process(&w.servers[1]);
		w.servers[1].mute = false;
		unit_run_for(w.loop, HOLD_MS);
		replace_process(&w.servers[2]);
		unit_run_for(w.loop, HOLD_MS);
		check_audit(&w);
	}
	ck_assert(unit_run_until(w.loop, served_by_first, &w));
	check_audit(&w);
	teardown(&w);
}
END_TEST

/*
 * An upstream starts again under its id and is granted its keys before its new registration comes.
 * Guards against keys that are given to others as if the new process did not hold them (soak, seed
 * 6: two owners for 2.9 s).
 */
START_TEST(restarted_upstream_is_asked)
{
	static struct world w;

	start(&w);
	replace_process(&w.servers[1]);
	unit_run_for(w.loop, HOLD_MS / 2);
	put_process(&w, 1, true, 2);
	shardmgr_fleet_changed(w.mgrs[0]);
	ck_assert(unit_run_until(w.loop, keyless_drained, &w));
	unit_run_for(w.loop, HOLD_MS);
	check_audit(&w);
	teardown(&w);
}
END_TEST

/* Orders are carried out and not answered: what is unknown counts as held. */
START_TEST(unanswered_orders_count)
{
	static struct world w;

	start(&w);
	w.servers[3].mute = true;
	unit_run_for(w.loop, HOLD_MS * 3);
	check_audit(&w);
	w.servers[3].mute = false;
	ck_assert(unit_run_until(w.loop, served_by_first, &w));
	check_audit(&w);
	teardown(&w);
}
END_TEST

/*
 * Grants get no answer and are carried out late, after the upstream was told to release the keys.
 * Guards against a second owner (shalbagan-gw fresh-2ee3, play 2ee3738a): the former owner has to
 * be granted under a higher fence before its release counts.
 */
START_TEST(late_grant_after_a_release)
{
	static struct world w;

	start(&w);
	for (int round = 0; round < 3; round++) {
		w.servers[1].late = true;
		unit_run_for(w.loop, HOLD_MS / 3 + 50);
		w.servers[1].late = false;
		put_upstream(&w, 1, true);
		shardmgr_fleet_changed(w.mgrs[0]);
		ck_assert(unit_run_until(w.loop, keyless_drained, &w));
		unit_run_for(w.loop, LATE_MS);
		check_audit(&w);
		put_upstream(&w, 1, false);
		shardmgr_fleet_changed(w.mgrs[0]);
		unit_run_for(w.loop, HOLD_MS);
	}
	unit_run_for(w.loop, LATE_MS + 100);
	check_audit(&w);
	teardown(&w);
}
END_TEST

/* A successor takes over while the former keeper goes on as if nothing had happened. */
START_TEST(two_active_managers)
{
	static struct world w;

	start(&w);
	shardmgr_acquire(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, served_by_second, &w));
	put_upstream(&w, 0, true);
	shardmgr_fleet_changed(w.mgrs[0]);
	shardmgr_fleet_changed(w.mgrs[1]);
	unit_run_for(w.loop, HOLD_MS * 2);
	ck_assert(!shardmgr_is_active(w.mgrs[0]));
	check_audit(&w);
	teardown(&w);
}
END_TEST

/*
 * A keeper ends right after it has granted moved keys; its row still names the owner before. The
 * new owner leaves as the successor comes. Guards against keys that are given to a third upstream
 * while the second one holds them (shalbagan-gw trouble-3, seed 154052333).
 */
START_TEST(successor_asks_both_possible_holders)
{
	static struct world w;

	start(&w);
	put_upstream(&w, 1, true);
	shardmgr_fleet_changed(w.mgrs[0]);
	ck_assert(unit_run_until(w.loop, keyless_drained, &w));
	end_mgr_process(&w, &w.mgrs[0]);
	for (int i = 2; i < UPSTREAMS; i++)
		put_upstream(&w, i, true);
	shardmgr_acquire(w.mgrs[1]);
	ck_assert(unit_run_until(w.loop, served_by_second, &w));
	unit_run_for(w.loop, HOLD_MS);
	check_audit(&w);
	teardown(&w);
}
END_TEST

/* The answers of writes are lost: the next write goes on from what the store really has. */
START_TEST(lost_answers_of_the_store)
{
	static struct world w;

	start(&w);
	w.meta.lose_writes = true;
	put_upstream(&w, 1, true);
	shardmgr_fleet_changed(w.mgrs[0]);
	unit_run_for(w.loop, HOLD_MS);
	w.meta.lose_writes = false;
	ck_assert(unit_run_until(w.loop, keyless_drained, &w));
	check_audit(&w);
	teardown(&w);
}
END_TEST

/* Guards against orders that the store does not know: a successor could not respect them. */
START_TEST(moves_wait_for_the_store)
{
	static struct world w;

	start(&w);
	w.meta.refuse_writes = true;
	put_upstream(&w, 1, true);
	shardmgr_fleet_changed(w.mgrs[0]);
	unit_run_for(w.loop, HOLD_MS);
	check_audit(&w);
	w.meta.refuse_writes = false;
	ck_assert(unit_run_until(w.loop, keyless_drained, &w));
	check_audit(&w);
	teardown(&w);
}
END_TEST

/* While the store does not answer nothing moves; with the peers' word leases are renewed. */
START_TEST(store_outage_keeps_the_owners)
{
	static struct world w;

	start(&w);
	w.meta.down = true;
	w.agree = true;
	put_upstream(&w, 1, true);
	shardmgr_fleet_changed(w.mgrs[0]);
	unit_run_for(w.loop, 3500);
	ck_assert(served_by_first(&w));
	w.meta.down = false;
	ck_assert(unit_run_until(w.loop, keyless_drained, &w));
	check_audit(&w);
	teardown(&w);
}
END_TEST

/*
 * The store is away and returns without its history. Guards against a keeper that waits for ever
 * for the word of the store that it still keeps (soak, seed 10): nobody renews leases then.
 */
START_TEST(store_returns_without_history)
{
	static struct world w;

	start(&w);
	w.meta.down = true;
	w.agree = false;
	unit_run_for(w.loop, 3200);
	w.meta.version += 5;
	w.meta.oldest = w.meta.version;
	w.meta.down = false;
	unit_run_for(w.loop, 2 * HOLD_MS);
	ck_assert(unit_run_until(w.loop, served_by_first, &w));
	check_audit(&w);
	teardown(&w);
}
END_TEST

/* A keeper that is cut off from store and peers may have been replaced: it stops. */
START_TEST(isolated_manager_stops)
{
	static struct world w;
	size_t grants;

	start(&w);
	w.meta.down = true;
	w.agree = false;
	unit_run_for(w.loop, 3200);
	grants = w.grants;
	unit_run_for(w.loop, HOLD_MS);
	ck_assert_uint_eq(w.grants, grants);
	check_audit(&w);
	teardown(&w);
}
END_TEST

/*
 * Busy keys all over, so that each plan cuts ranges. Guards against a map that is too long for a
 * row of the store: it is never written again, and no key moves any more (shalbagan-gw-grown
 * scale-1, 249 upstreams).
 */
START_TEST(map_fits_its_row)
{
	static struct world w;
	struct rnd rnd;

	rnd_seed(&rnd, 20261204);
	setup(&w);
	w.meta.row_bytes = 220;
	shardmgr_destroy(w.mgrs[0]);
	w.mgrs[0] = new_mgr(&w);
	shardmgr_acquire(w.mgrs[0]);
	ck_assert(unit_run_until(w.loop, served_by_first, &w));
	for (int round = 0; round < 60; round++) {
		uint32_t busy = (uint32_t)rnd_below(&rnd, KEY_SPACE - 40);

		for (int i = 0; i < 12; i++)
			shardmgr_record_request(w.mgrs[0], busy + (uint32_t)rnd_below(&rnd, 40));
		unit_run_for(w.loop, 100);
	}
	ck_assert_uint_eq(w.meta.too_long, 0);
	ck_assert(unit_run_until(w.loop, served_by_first, &w));
	check_audit(&w);
	teardown(&w);
}
END_TEST

static const char *const mutants[] = {
	"keeper_refused_is_dead",
	"keeper_skip_release",
	"keeper_forget_owner",
	"keeper_act_early",
	"keeper_never_isolated",
	"keeper_keep_fence",
	"keeper_restart_is_release",
	"keeper_any_row",
	"keeper_leave_failing",
	"keeper_stay_trimmed",
	NULL,
};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, keys_are_granted_and_renewed);
	tcase_add_test(tc, leaving_upstream_hands_its_keys_over);
	tcase_add_test(tc, unreachable_upstream_keeps_its_lease);
	tcase_add_test(tc, upstream_that_answers_again_gets_keys);
	tcase_add_test(tc, new_process_gets_new_fences);
	tcase_add_test(tc, restarted_upstream_is_asked);
	tcase_add_test(tc, unanswered_orders_count);
	tcase_add_test(tc, late_grant_after_a_release);
	tcase_add_test(tc, two_active_managers);
	tcase_add_test(tc, successor_asks_both_possible_holders);
	tcase_add_test(tc, lost_answers_of_the_store);
	tcase_add_test(tc, moves_wait_for_the_store);
	tcase_add_test(tc, store_outage_keeps_the_owners);
	tcase_add_test(tc, isolated_manager_stops);
	tcase_add_test(tc, map_fits_its_row);
	tcase_add_test(tc, store_returns_without_history);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "keeper", mutants, add_tests);
}
