/*
 * A world for tests of the shard manager over real connections: a store in memory that can be
 * restored from a copy, and upstreams that check fencing tokens. Each grant that an upstream
 * accepts is compared with the leases of the other upstreams and with the stored map.
 */
#ifndef TEST_SHARDMGR_WORLD_H
#define TEST_SHARDMGR_WORLD_H

#include <stdlib.h>

#include "connection/ingress.h"
#include "process/shardmgr.h"
#include "test/unit.h"
#include "test/unit_loop.h"

#define KEY_SPACE 1024
#define UPSTREAMS 4
#define LEASE_MS 900
#define LATE_MS 700
#define ADDRESS_REUSE_MS 600
#define SERVICE "s"
#define STORE_WATCH_MS 50 /* the store answers a watch after this time */

/* ---- store ---------------------------------------------------------------------------------- */

#define MAX_ROWS 8

struct row {
	char key[64];
	char value[4096];
	size_t len;
	uint64_t version;
};

/* Content of the store that restore() goes back to. */
struct copy {
	struct row rows[MAX_ROWS];
	size_t n_rows;
	uint64_t version;
};

struct meta {
	h2o_loop_t *loop;
	struct row rows[MAX_ROWS];
	size_t n_rows;
	uint64_t version;
	uint64_t era;
	struct copy copy;
	uint64_t oldest; /* oldest version whose history is kept */
	bool down;	 /* refuses every call */
	clk_ms down_at;	 /* since when, in down_store() */
	clk_ms restored_at;
	bool lose_writes; /* does writes, but reports their outcome as unknown */
	bool refuse_writes;
	size_t row_bytes; /* longest value allowed, in base64; 0: any */
	size_t too_long;  /* writes with a longer value */
	struct call *calls;
	const void *cut_off;	     /* caller whose calls are refused */
	const void *hold_commits_of; /* the next commit of this caller waits for do_held() */
	clk_ms watch_delay;	     /* time until watches are answered, 0: STORE_WATCH_MS */
	clk_ms answer_delay;	     /* more time until commits are answered */
	struct held *held;
};

/* A commit that has not reached the store yet. */
struct held {
	struct meta_change changes[MAX_ROWS];
	size_t n;
	struct arena arena;
	meta_cb cb;
	void *data;
};

struct call {
	struct meta *meta;
	struct timer timer;
	meta_cb cb;
	void *data;
	enum meta_status status;
	uint64_t version; /* version of a commit, 0: newest version at the answer */
	bool rows;	  /* answer with rows */
	uint64_t after;	  /* answer only rows newer than this version */
	struct call *next;
};

static inline void on_call(struct timer *timer, void *data)
{
	struct call *c = data;
	struct meta_row rows[MAX_ROWS];
	struct meta_answer a = {.status = c->status, .rows = rows};
	struct call **at = &c->meta->calls;

	a.version = meta_version(c->meta->era, c->version ? c->version : c->meta->version);
	for (size_t i = 0; c->rows && i < c->meta->n_rows; i++) {
		const struct row *r = &c->meta->rows[i];

		if (r->version <= meta_counter(c->after))
			continue;
		rows[a.n_rows++] = (struct meta_row){
			.key = str_from(r->key),
			.value = {r->value, r->len},
			.version = meta_version(c->meta->era, r->version),
		};
	}
	while (*at != c)
		at = &(*at)->next;
	*at = c->next;
	c->cb(c->data, &a);
	timer_release(&c->timer);
	free(c);
}

static inline struct call *answer_later(struct meta *m, meta_cb cb, void *data, clk_ms delay)
{
	struct call *c = calloc(1, sizeof(*c));

	c->meta = m;
	c->cb = cb;
	c->data = data;
	c->status = m->down || (data && data == m->cut_off) ? META_REFUSED : META_OK;
	c->next = m->calls;
	m->calls = c;
	timer_init(&c->timer, m->loop, on_call, c);
	timer_arm(&c->timer, delay);
	return c;
}

static inline void store_read(struct meta *m, enum meta_table table, meta_cb cb, void *data)
{
	struct call *c = answer_later(m, cb, data, 2);

	c->rows = c->status == META_OK;
}

static inline void store_watch(struct meta *m, enum meta_table table, uint64_t after, clk_ms wait,
			       meta_cb cb, void *data)
{
	struct call *c =
		answer_later(m, cb, data, m->watch_delay ? m->watch_delay : STORE_WATCH_MS);

	c->rows = c->status == META_OK;
	if (c->status == META_OK &&
	    (meta_counter(after) < m->oldest || meta_era(after) != m->era)) {
		c->status = META_TRIMMED;
		c->rows = false;
	}
	c->after = after;
}

static inline struct row *find_row(struct meta *m, struct str key)
{
	for (size_t i = 0; i < m->n_rows; i++) {
		if (str_eq_cstr(key, m->rows[i].key))
			return &m->rows[i];
	}
	return NULL;
}

static inline bool condition_holds(struct meta *m, const struct meta_change *c)
{
	const struct row *r = find_row(m, c->key);

	/* As in the platform's store, a condition has no era. */
	return !c->conditional || (r ? r->version : 0) == meta_counter(c->expected);
}

static inline void remove_row(struct meta *m, const struct meta_change *c)
{
	struct row *r = find_row(m, c->key);

	if (r)
		*r = m->rows[--m->n_rows];
}

static inline void write_row(struct meta *m, const struct meta_change *c)
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

static inline void hold_commit(struct meta *m, const struct meta_change *changes, size_t n,
			       meta_cb cb, void *data)
{
	struct held *h = calloc(1, sizeof(*h));

	ck_assert_uint_le(n, MAX_ROWS);
	h->n = n;
	h->cb = cb;
	h->data = data;
	for (size_t i = 0; i < n; i++) {
		h->changes[i] = changes[i];
		h->changes[i].key = arena_str(&h->arena, changes[i].key);
		if (changes[i].value.len)
			h->changes[i].value = arena_str(&h->arena, changes[i].value);
	}
	m->held = h;
	m->hold_commits_of = NULL;
}

static inline void store_commit(struct meta *m, enum meta_table table,
				const struct meta_change *changes, size_t n, meta_cb cb, void *data)
{
	struct call *c;

	if (data == m->hold_commits_of) {
		hold_commit(m, changes, n, cb, data);
		return;
	}
	c = answer_later(m, cb, data, 3 + m->answer_delay);
	if (m->refuse_writes)
		c->status = META_REFUSED;
	if (c->status == META_REFUSED)
		return;
	for (size_t i = 0; i < n; i++) {
		if (!condition_holds(m, &changes[i])) {
			c->status = META_CONFLICT;
			return;
		}
	}
	m->version++;
	for (size_t i = 0; i < n; i++) {
		if (changes[i].write)
			write_row(m, &changes[i]);
		else if (changes[i].remove)
			remove_row(m, &changes[i]);
	}
	c->version = m->version;
	if (m->lose_writes)
		c->status = META_UNKNOWN;
}

static inline void do_held(struct meta *m)
{
	struct held *h = m->held;

	m->held = NULL;
	store_commit(m, META_KEYS, h->changes, h->n, h->cb, h->data);
	arena_free(&h->arena);
	free(h);
}

static inline void copy_store(struct meta *m)
{
	memcpy(m->copy.rows, m->rows, sizeof(m->rows));
	m->copy.n_rows = m->n_rows;
	m->copy.version = m->version;
}

static inline void restore_store(struct meta *m)
{
	memcpy(m->rows, m->copy.rows, sizeof(m->rows));
	m->n_rows = m->copy.n_rows;
	m->version = m->copy.version;
	m->era++;
	m->restored_at = clk_now();
}

/* The store answers nobody until it is restored. */
static inline void down_store(struct meta *m)
{
	m->down = true;
	m->down_at = clk_now();
}

static const struct meta_driver store_driver = {
	.read = store_read,
	.watch = store_watch,
	.commit = store_commit,
};

static inline bool is_upstream(const Bc__KeyRow *map, uint32_t number, uint64_t upstream)
{
	return number && map->upstreams[number - 1] == upstream;
}

/*
 * Whether the stored map allows a grant: its highest reserved token is not lower, and it names the
 * upstream as owner or former owner of all the keys. A successor knows only the stored map.
 */
static inline bool stored_map_allows(struct meta *m, uint32_t from, uint32_t to, uint64_t fence,
				     uint64_t upstream)
{
	struct row *r = find_row(m, STR_LIT("map/" SERVICE));
	Bc__KeyRow *map = r ? bc__key_row__unpack(NULL, r->len, (const uint8_t *)r->value) : NULL;
	bool good = map && map->fence >= fence;
	uint32_t first = 0;

	for (size_t i = 0; good && i < map->n_to; i++) {
		if (first <= to && map->to[i] >= from)
			good = is_upstream(map, map->owner[i], upstream) ||
			       is_upstream(map, map->former[i], upstream) ||
			       is_upstream(map, map->second_former[i], upstream);
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
	bool mute;	     /* carries out releases and grants, but does not answer */
	bool answers_checks; /* if mute: answers health checks */
	bool late;  /* carries out grants LATE_MS after their arrival and does not answer them */
	bool other; /* another instance has its address: it carries out all, like any upstream */
	unsigned int process;	   /* number of the process; an earlier one carries out nothing */
	uint64_t fence[KEY_SPACE]; /* highest token accepted for the key */
	uint64_t granted_fence[KEY_SPACE]; /* highest token of this process's grants */
	uint64_t earlier_fence[KEY_SPACE]; /* the same for earlier processes at this address */
	clk_ms until[KEY_SPACE];	   /* end of the lease of the key */
};

struct world {
	h2o_loop_t *loop;
	struct meta meta;
	struct server servers[UPSTREAMS];
	struct fleet *fleet;
	struct watch *watch;
	struct shardmgr *mgrs[2];
	size_t two_owner_grants; /* grants of keys of which another upstream had a lease */
	size_t low_fence_grants; /* tokens not above those of others or of earlier processes */
	size_t unstored_grants;	 /* grants that the stored map does not allow */
	size_t grants;
	size_t other_calls;	   /* grants and releases that reached another instance */
	char first_bad_grant[160]; /* what the first grant that was counted as a violation did */
	/*
	 * A release under a token that is above the highest accepted one by more than this counts
	 * as seen: grants under lower tokens are refused from then on. 0: no release does.
	 */
	uint64_t seen_release_gap;
	bool agree;	    /* most gateways support the shard manager while the store is away */
	bool no_consent;    /* they do not consent to a successor */
	uint64_t last_term; /* that the others followed before they consented */
	bool not_after_restore;	    /* nor support the shard manager after a restore of the store */
	struct electorate wanted;   /* gateways that are to vote */
	struct electorate opposing; /* an electorate that does not support the shard manager */
	bool alone;		    /* the shard manager hears no other gateway */
	bool lacks_one;		    /* it hears all others but one */
	bool lost_touch; /* the gateways lost touch with the shard manager before it ended */
};

static inline bool has_lease(const struct server *s, uint32_t key, clk_ms now)
{
	return s->alive && s->until[key] > now;
}

static inline void note_bad_grant(const struct server *s, uint32_t key, uint64_t fence,
				  const struct server *other, clk_ms now)
{
	struct world *w = s->world;

	if (w->first_bad_grant[0])
		return;
	snprintf(w->first_bad_grant, sizeof(w->first_bad_grant),
		 "key %u to u%d with fence %llu; u%d had it with fence %llu, lease %lld ms", key,
		 s->number, (unsigned long long)fence, other->number,
		 (unsigned long long)(other == s ? s->earlier_fence[key]
						 : other->granted_fence[key]),
		 has_lease(other, key, now) ? (long long)(other->until[key] - now) : 0LL);
}

/* Checks an accepted grant before it takes effect, and counts violations. */
static inline void check_grant(struct server *s, uint32_t from, uint32_t to, uint64_t fence,
			       clk_ms now)
{
	struct world *w = s->world;
	bool other_lease = false;
	bool low = false;
	char id[16];

	for (uint32_t key = from; key <= to; key++) {
		if (s->earlier_fence[key] >= fence) {
			low = true;
			note_bad_grant(s, key, fence, s, now);
		}
		for (int i = 0; i < UPSTREAMS; i++) {
			const struct server *other = &w->servers[i];
			bool has = has_lease(other, key, now);

			if (other == s || (!has && other->granted_fence[key] < fence))
				continue;
			other_lease = other_lease || has;
			low = low || other->granted_fence[key] >= fence;
			note_bad_grant(s, key, fence, other, now);
		}
	}
	w->grants++;
	w->two_owner_grants += other_lease;
	w->low_fence_grants += low;
	snprintf(id, sizeof(id), "u%d", s->number);
	w->unstored_grants +=
		!stored_map_allows(&w->meta, from, to, fence, fleet_num(str_from(id)));
}

/* Answers a health check with the id of the instance. */
static inline void reply_health(const struct server *s, struct ingress_request *req)
{
	char id[16];
	struct ingress_header header = {.name = STR_LIT("x-instance")};

	snprintf(id, sizeof(id), "%s%d", s->other ? "other" : "u", s->number);
	header.value = str_from(id);
	ingress_reply(req, 200, &header, 1, STR_NULL, false);
	ingress_request_free(req);
}

static inline void reply(struct ingress_request *req, int status)
{
	static const struct ingress_header handover[] = {{{"x-handover", 10}, {"h1", 2}}};

	ingress_reply(req, status, handover, 1, STR_NULL, false);
	ingress_request_free(req);
}

/*
 * Carries out a grant whose lease ends at `until`. False if a grant under a higher token was
 * accepted before.
 */
static inline bool accept_grant(struct server *s, uint32_t from, uint32_t to, uint64_t fence,
				clk_ms until)
{
	for (uint32_t key = from; key <= to; key++) {
		if (s->fence[key] > fence)
			return false;
	}
	if (until <= clk_now())
		return true;
	check_grant(s, from, to, fence, clk_now());
	for (uint32_t key = from; key <= to; key++) {
		s->fence[key] = fence;
		if (s->granted_fence[key] < fence)
			s->granted_fence[key] = fence;
		s->until[key] = until;
	}
	return true;
}

struct late_grant {
	struct server *server;
	unsigned int process;
	struct timer timer;
	uint32_t from;
	uint32_t to;
	uint64_t fence;
	clk_ms until;
};

static inline void on_late_grant(struct timer *timer, void *data)
{
	struct late_grant *g = data;

	if (g->process == g->server->process)
		accept_grant(g->server, g->from, g->to, g->fence, g->until);
	timer_release(&g->timer);
	free(g);
}

static inline void delay_grant(struct server *s, uint32_t from, uint32_t to, uint64_t fence,
			       clk_ms until)
{
	struct late_grant *g = calloc(1, sizeof(*g));

	*g = (struct late_grant){.server = s, .from = from, .to = to, .fence = fence};
	g->until = until;
	g->process = s->process;
	timer_init(&g->timer, s->world->loop, on_late_grant, g);
	timer_arm(&g->timer, LATE_MS);
}

static inline void on_call_request(void *data, struct ingress_request *req)
{
	struct server *s = data;
	clk_ms now = clk_now();
	unsigned int from;
	unsigned int to;
	unsigned long long fence;
	long long hold;

	if (str_eq_cstr(req->method, "GET")) {
		if (!s->mute || s->answers_checks)
			reply_health(s, req);
		return;
	}
	s->world->other_calls += s->other;
	ck_assert_int_eq(sscanf(arena_str(&req->arena, req->body).ptr, "%u %u %llu %lld", &from,
				&to, &fence, &hold),
			 4);
	if (hold && s->late) {
		delay_grant(s, from, to, fence, now + hold);
		return;
	}
	if (hold && !accept_grant(s, from, to, fence, now + hold)) {
		reply(req, 409);
		return;
	}
	/* A release ends the lease; only a grant increases the highest token accepted. */
	for (uint32_t key = from; !hold && key <= to; key++) {
		uint64_t gap = s->world->seen_release_gap;

		s->until[key] = 0;
		if (gap && fence > s->fence[key] + gap)
			s->fence[key] = fence;
	}
	if (s->mute)
		return; /* the call times out */
	reply(req, 200);
}

static inline void on_request_closed(void *data, struct ingress_request *req)
{
	ingress_request_free(req);
}

static const struct ingress_limits *server_limits(void *data)
{
	static const struct ingress_limits limits = {.max_header_bytes = 16384,
						     .max_body_bytes = 65536,
						     .header_timeout = 5000,
						     .idle_timeout = 60000};

	return &limits;
}

static inline void server_listen(struct server *s)
{
	static const struct ingress_handlers handlers = {.on_request = on_call_request,
							 .on_caller_closed = on_request_closed,
							 .limits = server_limits};
	struct fleet_upstream *u;
	struct err err = {0};
	char id[16];

	snprintf(id, sizeof(id), "u%d", s->number);
	u = fleet_find(s->world->fleet, fleet_num(str_from(id)));
	s->ingress = ingress_create(s->world->loop, unit_ip(), u->port, &handlers, s, &err);
	ck_assert_msg(s->ingress != NULL, "%s", err.msg);
}

/* ---- world ---------------------------------------------------------------------------------- */

static inline struct str grant_body(struct arena *a, const struct platform_grant *g)
{
	return arena_printf(a, "%u %u %llu %lld ", g->from, g->to, (unsigned long long)g->fence,
			    (long long)g->hold);
}

static const struct platform platform = {
	.headers = {.handover = "x-handover", .instance = "x-instance"},
	.grant_path = "/grant",
	.release_path = "/release",
	.key_space = KEY_SPACE,
	.store = &store_driver,
	.grant_body = grant_body,
};

static inline double capacity(void *data, const char *service, uint64_t upstream)
{
	return 10;
}

static inline void on_owners(void *data, const char *service)
{
}

static inline void on_role(void *data, const char *service, bool active)
{
}

static inline void electorate(void *data, struct electorate *out)
{
	*out = ((struct world *)data)->wanted;
}

static inline void role_confirmed(void *data, const char *service, clk_ms sent)
{
}

/* After a restore of the store, most gateways that are heard support the shard manager. */
static inline bool peers_support(void *data, const char *service, const struct electorate *e,
				 uint64_t term, clk_ms since)
{
	const struct world *w = data;

	if (e->n && electorate_equal(e, &w->opposing))
		return false;
	return w->agree || (w->meta.restored_at && since >= w->meta.restored_at && !w->alone &&
			    !w->not_after_restore);
}

static inline bool peers_knew_none_above(void *data, const char *service,
					 const struct electorate *e, uint64_t term, uint64_t last)
{
	return last >= ((struct world *)data)->last_term || MUTANT(voters_forget_terms);
}

static inline void ask_peers(void *data)
{
}

static inline bool peers_consent(void *data, const char *service, const struct electorate *e,
				 uint64_t term)
{
	return !((struct world *)data)->no_consent;
}

static inline bool hears_most(void *data)
{
	return !((struct world *)data)->alone;
}

static inline bool hears_all(void *data)
{
	const struct world *w = data;

	return !w->alone && !w->lacks_one;
}

/* The store answers the others until it is down or restored. */
static inline clk_ms others_answered_at(void *data, uint64_t era)
{
	const struct meta *m = &((struct world *)data)->meta;

	return m->down_at && m->down_at < m->restored_at ? m->down_at : m->restored_at;
}

static inline bool has_all_maps(void *data, const char *service, uint64_t term)
{
	const struct world *w = data;

	/* A shard manager that is in touch says in its heartbeats whether it is unsure. */
	return !w->lost_touch && (!shardmgr_is_unsure(w->mgrs[0]) || MUTANT(gateway_trust_unsure));
}

static inline void ignore_rows(void *data, enum meta_table table, const struct watch_rows *rows)
{
}

static inline void ignore_upstream(void *data, struct fleet_upstream *u)
{
}

static inline struct str health_path(void *data, const char *service)
{
	return STR_LIT("/health");
}

static inline struct shardmgr *new_mgr(struct world *w)
{
	static uint64_t last_node;
	struct shardmgr_env env = {
		.node = ++last_node,
		.loop = w->loop,
		.platform = &platform,
		.meta = &w->meta,
		.watch = w->watch,
		.fleet = w->fleet,
		.hold_max = LEASE_MS,
		.address_reuse = ADDRESS_REUSE_MS,
		.row_bytes = w->meta.row_bytes ? w->meta.row_bytes : 4096,
		.data = w,
		.capacity = capacity,
		.health_path = health_path,
		.on_owners = on_owners,
		.on_role = on_role,
		.electorate = electorate,
		.role_confirmed = role_confirmed,
		.peers_support = peers_support,
		.peers_consent = peers_consent,
		.ask_peers = ask_peers,
		.peers_knew_none_above = peers_knew_none_above,
		.hears_most = hears_most,
		.hears_all = hears_all,
		.others_answered_at = others_answered_at,
		.has_all_maps = has_all_maps,
	};

	return shardmgr_create(&env, SERVICE);
}

static inline void register_process(struct world *w, int i, bool draining, int64_t started)
{
	char id[16];
	struct fleet_info info = {
		.service = STR_LIT(SERVICE),
		.failure_domain = STR_LIT("d"),
		.slots = 2,
		.draining = draining,
		.started = started,
	};
	struct fleet_upstream *u;

	snprintf(info.ip, sizeof(info.ip), "%s", unit_ip());
	snprintf(id, sizeof(id), "u%d", i);
	info.id = str_from(id);
	u = fleet_find(w->fleet, fleet_num(info.id));
	info.port = u ? u->port : unit_free_port(unit_ip());
	fleet_put(w->fleet, clk_now(), &info);
}

static inline void register_upstream(struct world *w, int i, bool draining)
{
	register_process(w, i, draining, 1);
}

static inline void setup(struct world *w)
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
		register_upstream(w, i, false);
		server_listen(&w->servers[i]);
	}
	for (int i = 0; i < 2; i++)
		w->mgrs[i] = new_mgr(w);
}

static inline void teardown(struct world *w)
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

static inline bool owners_have_leases(struct world *w, const struct shardmgr *mgr)
{
	for (uint32_t key = 0; key < KEY_SPACE; key++) {
		uint64_t owner = shardmgr_owner(mgr, key);
		bool held = false;

		for (int i = 0; i < UPSTREAMS; i++) {
			char id[16];

			snprintf(id, sizeof(id), "u%d", i);
			if (owner == fleet_num(str_from(id)))
				held = has_lease(&w->servers[i], key, clk_now());
		}
		if (!held)
			return false;
	}
	return true;
}

static inline bool first_mgr_serves_all(void *data)
{
	struct world *w = data;

	return shardmgr_is_active(w->mgrs[0]) && owners_have_leases(w, w->mgrs[0]);
}

static inline bool second_mgr_serves_all(void *data)
{
	struct world *w = data;

	return shardmgr_is_active(w->mgrs[1]) && owners_have_leases(w, w->mgrs[1]);
}

static inline void check_no_violations(const struct world *w)
{
	ck_assert_msg(w->two_owner_grants == 0,
		      "%zu grants of keys of which another upstream had a lease: %s",
		      w->two_owner_grants, w->first_bad_grant);
	ck_assert_msg(w->low_fence_grants == 0,
		      "%zu grants under a fencing token that is too low: %s", w->low_fence_grants,
		      w->first_bad_grant);
	ck_assert_msg(w->unstored_grants == 0, "%zu grants that the stored map does not allow",
		      w->unstored_grants);
}

static inline void start(struct world *w)
{
	setup(w);
	shardmgr_acquire_role(w->mgrs[0]);
	ck_assert(unit_run_until(w->loop, first_mgr_serves_all, w));
}

static inline void check_one_owner(const struct world *w)
{
	ck_assert_msg(w->two_owner_grants == 0,
		      "%zu grants of keys of which another upstream had a lease: %s",
		      w->two_owner_grants, w->first_bad_grant);
	ck_assert_msg(w->low_fence_grants == 0,
		      "%zu grants under a fencing token that is too low: %s", w->low_fence_grants,
		      w->first_bad_grant);
}

/* Ends the process of a shard manager, without answers to its open calls, and starts another. */
static inline void end_mgr_process(struct world *w, struct shardmgr **mgr)
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

static inline bool u1_has_no_keys(void *data)
{
	struct world *w = data;

	for (uint32_t key = 0; key < KEY_SPACE; key++) {
		if (shardmgr_owner(w->mgrs[0], key) == fleet_num(STR_LIT("u1")))
			return false;
	}
	return first_mgr_serves_all(w);
}

static inline bool commit_is_held(void *data)
{
	return ((struct world *)data)->meta.held != NULL;
}

#endif
