/*
 * Reads an operator's intent, builds the configuration that it leads to, and adds the ledger entry.
 * Checks and texts of the plan are in plan_check.c and plan_text.c.
 */
#include "version/plan.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/mutant.h"
#include "version/config.h"
#include "version/plan_priv.h"

/*
 * At most this many entries are in the ledger, the newest. After a lost answer, a repeated confirm
 * is recognized as done only while the ledger still has its plan; later it is a conflict.
 */
#define PLAN_MAX_LEDGER 100
/* At most this many lifted fingerprints are in the configuration, the newest. Entries over an hour
 * old have no effect, since crash counts are kept for an hour. */
#define PLAN_MAX_LIFTED 100
#define PLAN_MAX_INTENT_BYTES 8192
#define PLAN_MAX_OPERATOR_BYTES 64
#define FINGERPRINT_DIGITS 16

struct plan_builder {
	struct arena *arena;
	const struct plan_inputs *in;
	const struct plan_request *req;
	struct plan_intent intent;
	Bc__Config *result;
	struct str refusal;
	struct err *err;
};

/* ---- memory that protobuf-c frees ---- */

static void *zalloc(size_t size)
{
	void *p = calloc(1, size);

	if (!p)
		abort();
	return p;
}

static char *dup_str(struct str s)
{
	char *p = zalloc(s.len + 1);

	if (s.len)
		memcpy(p, s.ptr, s.len);
	return p;
}

static void *append(void *list, size_t *n, void *item)
{
	void **grown = realloc(list, (*n + 1) * sizeof(*grown));

	if (!grown)
		abort();
	grown[(*n)++] = item;
	return grown;
}

/* ---- verbs ---- */

/* Whether one of the words of an intent is the id of this object. */
static bool intent_mentions(const char *intent, struct str object)
{
	struct str rest = str_from(intent);

	while (rest.len) {
		if (str_eq(str_split(rest, ' ', &rest), object))
			return true;
	}
	return false;
}

/*
 * Refuses a plan that would change nothing. The refusal names the last change of the object and its
 * operator if the ledger has it.
 */
static void refuse_unchanged(struct plan_builder *m, const char *what, struct str object)
{
	const Bc__Config *c = m->in->config;

	for (size_t i = c->n_ledger; i-- > 0;) {
		const Bc__PlanRecord *r = c->ledger[i];

		if (!intent_mentions(r->intent, object))
			continue;
		m->refusal = arena_printf(
			m->arena,
			"nothing to do: %.*s %s already (last changed by %s with '%s', version "
			"%" PRIu64 "); leave it out of the plan",
			STR_ARG(object), what, r->operator_name, r->intent, r->version);
		return;
	}
	m->refusal =
		arena_printf(m->arena, "nothing to do: %.*s %s already; leave it out of the plan",
			     STR_ARG(object), what);
}

static Bc__FailureDomain *find_result_domain(struct plan_builder *m, struct str id)
{
	for (size_t i = 0; i < m->result->n_failure_domains; i++) {
		if (str_eq_cstr(id, m->result->failure_domains[i]->id))
			return m->result->failure_domains[i];
	}
	err_set(m->err, ERR_NOT_FOUND,
		"'%.*s' is not a failure domain; `bamboocroft-ctl show` lists them",
		id.len > 64 ? 64 : (int)id.len, id.ptr);
	return NULL;
}

static Bc__Upstream *find_result_upstream(struct plan_builder *m, struct str id)
{
	for (size_t i = 0; i < m->result->n_upstreams; i++) {
		if (str_eq_cstr(id, m->result->upstreams[i]->id))
			return m->result->upstreams[i];
	}
	err_set(m->err, ERR_NOT_FOUND,
		"'%.*s' is not an upstream; `bamboocroft-ctl show` lists them",
		id.len > 64 ? 64 : (int)id.len, id.ptr);
	return NULL;
}

static bool set_domain_out(struct plan_builder *m, bool out)
{
	Bc__FailureDomain *fd = find_result_domain(m, m->intent.words[0]);

	if (!fd)
		return false;
	if ((bool)fd->out == out)
		refuse_unchanged(m, out ? "is out" : "is in service", m->intent.words[0]);
	fd->out = out;
	return true;
}

static bool build_take_out(struct plan_builder *m)
{
	return set_domain_out(m, true);
}

static bool build_bring_back(struct plan_builder *m)
{
	return set_domain_out(m, false);
}

static bool set_upstream_intents(struct plan_builder *m, Bc__UpstreamIntent to, const char *already)
{
	for (size_t i = 0; i < m->intent.n_words; i++) {
		Bc__Upstream *u = find_result_upstream(m, m->intent.words[i]);

		if (!u)
			return false;
		if (u->intent == to)
			refuse_unchanged(m, already, m->intent.words[i]);
		if (to == BC__UPSTREAM_INTENT__DRAINING && u->intent == BC__UPSTREAM_INTENT__DEAD)
			m->refusal = arena_printf(m->arena,
						  "%.*s was declared dead, so there is nothing to "
						  "drain; leave it out of the plan",
						  STR_ARG(m->intent.words[i]));
		u->intent = to;
	}
	return true;
}

static bool build_drain(struct plan_builder *m)
{
	return set_upstream_intents(m, BC__UPSTREAM_INTENT__DRAINING, "is draining");
}

static bool build_bring_in(struct plan_builder *m)
{
	return set_upstream_intents(m, BC__UPSTREAM_INTENT__IN, "is in service");
}

static bool build_declare_dead(struct plan_builder *m)
{
	return set_upstream_intents(m, BC__UPSTREAM_INTENT__DEAD, "is declared dead");
}

static bool parse_fingerprint(struct str s, uint64_t *out)
{
	*out = 0;
	if (s.len != FINGERPRINT_DIGITS)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		static const char digits[] = "0123456789abcdef";
		const char *hit = s.ptr[i] ? strchr(digits, s.ptr[i]) : NULL;

		if (!hit)
			return false;
		*out = *out << 4 | (uint64_t)(hit - digits);
	}
	return true;
}

static bool build_lift(struct plan_builder *m)
{
	Bc__Config *c = m->result;
	Bc__LiftedFingerprint *lifted;
	uint64_t fingerprint;

	if (!parse_fingerprint(m->intent.words[0], &fingerprint))
		return err_set(m->err, ERR_INPUT,
			       "'%.*s' is not a fingerprint; copy the 16 hex digits from "
			       "`bamboocroft-ctl status`",
			       m->intent.words[0].len > 64 ? 64 : (int)m->intent.words[0].len,
			       m->intent.words[0].ptr);
	if (c->n_lifted >= PLAN_MAX_LIFTED) {
		bc__lifted_fingerprint__free_unpacked(c->lifted[0], NULL);
		memmove(c->lifted, c->lifted + 1, (c->n_lifted - 1) * sizeof(*c->lifted));
		c->n_lifted--;
	}
	lifted = zalloc(sizeof(*lifted));
	bc__lifted_fingerprint__init(lifted);
	lifted->fingerprint = fingerprint;
	lifted->version = c->version + 1;
	c->lifted = append(c->lifted, &c->n_lifted, lifted);
	return true;
}

static bool same_config(const Bc__Config *a, const Bc__Config *b)
{
	size_t len = bc__config__get_packed_size(a);
	uint8_t *buf;
	bool same;

	if (len != bc__config__get_packed_size(b))
		return false;
	buf = zalloc(2 * len + 1);
	bc__config__pack(a, buf);
	bc__config__pack(b, buf + len);
	same = memcmp(buf, buf + len, len) == 0;
	free(buf);
	return same;
}

static bool build_apply(struct plan_builder *m)
{
	Bc__Config *c;

	if (m->req->yaml.len == 0)
		return err_set(m->err, ERR_INPUT,
			       "apply needs a configuration file; add `--file FILE`");
	c = config_from_yaml(m->req->yaml, m->in->config, m->err);
	if (!c)
		return false;
	if (m->in->config && same_config(c, m->in->config))
		m->refusal =
			arena_str(m->arena, STR_LIT("nothing to do: the file is what is in force; "
						    "change the file"));
	config_free(m->result);
	m->result = c;
	return true;
}

static const struct verb {
	const char *name;
	const char *usage;
	size_t min_words;
	size_t max_words;
	bool (*build)(struct plan_builder *m);
} verbs[PLAN_VERBS] = {
	[PLAN_TAKE_OUT] = {"take-out", "take-out FAILURE_DOMAIN", 1, 1, build_take_out},
	[PLAN_BRING_BACK] = {"bring-back", "bring-back FAILURE_DOMAIN", 1, 1, build_bring_back},
	[PLAN_DRAIN] = {"drain", "drain UPSTREAM...", 1, PLAN_MAX_WORDS, build_drain},
	[PLAN_BRING_IN] = {"bring-in", "bring-in UPSTREAM...", 1, PLAN_MAX_WORDS, build_bring_in},
	[PLAN_DECLARE_DEAD] = {"declare-dead", "declare-dead UPSTREAM", 1, 1, build_declare_dead},
	[PLAN_LIFT] = {"lift", "lift FINGERPRINT", 1, 1, build_lift},
	[PLAN_APPLY] = {"apply", "apply", 0, 0, build_apply},
};

/* ---- intent ---- */

static bool add_word(struct plan_builder *m, struct str word)
{
	struct plan_intent *in = &m->intent;

	for (size_t i = 0; i < in->n_words; i++) {
		if (str_eq(in->words[i], word))
			return err_set(m->err, ERR_INPUT, "'%.*s' is named twice; name it once",
				       word.len > 64 ? 64 : (int)word.len, word.ptr);
	}
	if (in->n_words == PLAN_MAX_WORDS)
		return err_set(m->err, ERR_INPUT,
			       "the intent names more than %d objects; split it into several plans",
			       PLAN_MAX_WORDS);
	in->words[in->n_words++] = word;
	in->text = arena_printf(m->arena, "%.*s %.*s", STR_ARG(in->text), STR_ARG(word));
	return true;
}

static bool find_verb(struct plan_builder *m, struct str name)
{
	for (int i = 0; i < PLAN_VERBS; i++) {
		if (str_eq_cstr(name, verbs[i].name)) {
			m->intent.verb = (enum plan_verb)i;
			m->intent.text = arena_str(m->arena, name);
			return true;
		}
	}
	return err_set(m->err, ERR_INPUT,
		       "'%.*s' is not an intent; use take-out, bring-back, drain, bring-in, "
		       "declare-dead, lift or apply",
		       name.len > 64 ? 64 : (int)name.len, name.ptr);
}

static bool parse_intent(struct plan_builder *m)
{
	struct str rest = m->req->intent;
	const struct verb *v;
	bool verb_found = false;

	if (rest.len > PLAN_MAX_INTENT_BYTES)
		return err_set(m->err, ERR_INPUT, "the intent has %zu bytes; use at most %d",
			       rest.len, PLAN_MAX_INTENT_BYTES);
	for (size_t i = 0; i < rest.len; i++) {
		if ((unsigned char)rest.ptr[i] < ' ' || rest.ptr[i] == 0x7f)
			return err_set(m->err, ERR_INPUT,
				       "the intent has a control character; remove it");
	}
	while (rest.len) {
		struct str word = str_split(rest, ' ', &rest);

		if (word.len == 0)
			continue;
		if (!(verb_found ? add_word(m, word) : find_verb(m, word)))
			return false;
		verb_found = true;
	}
	if (!verb_found)
		return find_verb(m, STR_NULL);
	v = &verbs[m->intent.verb];
	if (m->intent.n_words < v->min_words || m->intent.n_words > v->max_words)
		return err_set(m->err, ERR_INPUT, "%s has %zu objects; write `%s`", v->name,
			       m->intent.n_words, v->usage);
	if (m->req->yaml.len && m->intent.verb != PLAN_APPLY)
		return err_set(m->err, ERR_INPUT,
			       "%s takes no configuration file; leave the file out", v->name);
	return true;
}

/* ---- version ---- */

/* Sets ERR_CONFLICT; the message names the two newest changes since the plan's version. */
static bool version_conflict(struct plan_builder *m, uint64_t in_force)
{
	const Bc__Config *c = m->in->config;
	struct str changes = arena_str(m->arena, STR_NULL);
	size_t n_named = 0;

	for (size_t i = c ? c->n_ledger : 0; i-- > 0 && n_named < 2;) {
		const Bc__PlanRecord *r = c->ledger[i];

		if (r->version <= m->req->version)
			break;
		changes = arena_printf(m->arena,
				       "%.*s; %.40s changed it to version %" PRIu64 " with '%.80s'",
				       STR_ARG(changes), r->operator_name, r->version, r->intent);
		n_named++;
	}
	return err_set(m->err, ERR_CONFLICT,
		       "the plan was made from configuration version %" PRIu64 ", version %" PRIu64
		       " is in force%.*s; run `bamboocroft-ctl plan %.80s` "
		       "again and read the new plan",
		       m->req->version, in_force, STR_ARG(changes), m->intent.text.ptr);
}

static bool check_version(struct plan_builder *m, uint64_t in_force)
{
	/* Mutant: a plan made from an older version is accepted. */
	if (m->req->version == 0 || m->req->version == in_force || MUTANT(plan_ignore_version))
		return true;
	if (m->req->version > in_force)
		return err_set(m->err, ERR_UNAVAILABLE,
			       "this router holds configuration version %" PRIu64
			       ", the plan was made from the newer version %" PRIu64
			       "; repeat in a few seconds or ask another router",
			       in_force, m->req->version);
	return version_conflict(m, in_force);
}

/* ---- ledger ---- */

static void append_to_ledger(struct plan_builder *m, struct str id, uint64_t from, clk_ms utc)
{
	Bc__Config *c = m->result;
	Bc__PlanRecord *r;

	/* Mutant: a confirmed plan is not recorded in the ledger. */
	if (MUTANT(plan_skip_ledger))
		return;
	if (c->n_ledger >= PLAN_MAX_LEDGER) {
		bc__plan_record__free_unpacked(c->ledger[0], NULL);
		memmove(c->ledger, c->ledger + 1, (c->n_ledger - 1) * sizeof(*c->ledger));
		c->n_ledger--;
	}
	r = zalloc(sizeof(*r));
	bc__plan_record__init(r);
	r->id = dup_str(id);
	r->intent = dup_str(m->intent.text);
	r->operator_name =
		dup_str(m->req->operator_name.len ? m->req->operator_name : STR_LIT("unnamed"));
	r->made_from_version = from;
	r->version = c->version;
	r->utc_ms = utc;
	c->ledger = append(c->ledger, &c->n_ledger, r);
}

const Bc__PlanRecord *plan_find(const Bc__Config *config, struct str plan_id)
{
	for (size_t i = 0; config && i < config->n_ledger; i++) {
		if (str_eq_cstr(plan_id, config->ledger[i]->id))
			return config->ledger[i];
	}
	return NULL;
}

/* ---- plan ---- */

static struct str plan_id(struct plan_builder *m, uint64_t version)
{
	struct str all = arena_printf(m->arena, "%" PRIu64 "\n%.*s\n%.*s", version,
				      STR_ARG(m->intent.text), STR_ARG(m->req->yaml));

	return arena_printf(m->arena, "%016" PRIx64, str_hash(all));
}

static Bc__Config *copy_or_create_config(const Bc__Config *c)
{
	Bc__Config *empty;

	if (c)
		return config_copy(c);
	empty = zalloc(sizeof(*empty));
	bc__config__init(empty);
	return empty;
}

static void check_and_describe(struct plan_builder *m, struct plan *out)
{
	static const Bc__Config none = BC__CONFIG__INIT;
	const Bc__Config *before = m->in->config ? m->in->config : &none;
	struct config_index *before_index = config_index_create(before);
	struct config_index *after_index = config_index_create(m->result);
	struct plan_change ch = {
		.arena = m->arena,
		.in = m->in,
		.intent = &m->intent,
		.before = before,
		.after = m->result,
		.before_index = before_index,
		.after_index = after_index,
	};

	ch.cap_before = plan_capacities(m->arena, ch.before, &ch.n_cap_before);
	ch.cap_after = plan_capacities(m->arena, ch.after, &ch.n_cap_after);
	out->refusal = m->refusal.len ? m->refusal : plan_refusal(&ch);
	out->refused = out->refusal.len > 0;
	plan_describe(&ch, out);
	config_index_free(before_index);
	config_index_free(after_index);
}

/* Checks the operator's name, which appears in the ledger and in messages to other operators. */
static bool check_operator_name(struct plan_builder *m)
{
	struct str name = m->req->operator_name;

	if (name.len > PLAN_MAX_OPERATOR_BYTES)
		return err_set(m->err, ERR_INPUT,
			       "the operator's name has %zu characters; use at most %d", name.len,
			       PLAN_MAX_OPERATOR_BYTES);
	for (size_t i = 0; i < name.len; i++) {
		if (name.ptr[i] < ' ' || name.ptr[i] > '~')
			return err_set(m->err, ERR_INPUT,
				       "the operator's name has a character that is not printable "
				       "ASCII; leave it out");
	}
	return true;
}

static bool build(struct plan_builder *m, clk_ms utc, struct plan *out)
{
	uint64_t version = m->in->config ? m->in->config->version : 0;

	if (!check_operator_name(m) || !parse_intent(m) || !check_version(m, version))
		return false;
	if (version == 0 && m->intent.verb != PLAN_APPLY)
		return err_set(m->err, ERR_UNAVAILABLE,
			       "no configuration yet; plan `apply --file FILE` first");
	m->result = copy_or_create_config(m->in->config);
	if (!verbs[m->intent.verb].build(m))
		return false;
	/* Mutant: the new configuration keeps the version of the old one. */
	if (!MUTANT(plan_keep_version))
		m->result->version = version + 1;
	out->version = version;
	out->id = plan_id(m, version);
	append_to_ledger(m, out->id, version, utc);
	check_and_describe(m, out);
	if (!out->refused) {
		out->result = m->result;
		m->result = NULL;
	}
	return true;
}

bool plan_make(struct arena *arena, const struct plan_inputs *in, const struct plan_request *req,
	       clk_ms utc, struct plan *out, struct err *err)
{
	struct plan_builder *m = arena_alloc(arena, sizeof(*m));
	bool ok;

	*out = (struct plan){0};
	m->arena = arena;
	m->in = in;
	m->req = req;
	m->err = err;
	ok = build(m, utc, out);
	config_free(m->result);
	m->result = NULL;
	return ok;
}
