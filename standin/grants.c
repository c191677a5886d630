#include "standin/grants.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define KEY_HASH_DIGITS 16
/* Largest assumed difference between the clocks of routers and upstreams. */
#define CLOCK_TOLERANCE_MS 50

static bool parse_hex(const char *text, uint64_t *out)
{
	if (!text || strlen(text) != KEY_HASH_DIGITS ||
	    strspn(text, "0123456789abcdef") != KEY_HASH_DIGITS)
		return false;
	*out = strtoull(text, NULL, 16);
	return true;
}

/*
 * Reads [[unit,epoch],...] into an array that the caller frees, also after a failure. Units are
 * partition numbers, or key hashes if `hex`. Returns false if `pairs` is malformed.
 */
static bool read_epochs(const json_t *pairs, bool hex, struct grant_epoch **out, size_t *n)
{
	size_t i;
	json_t *pair;

	*n = json_array_size(pairs);
	*out = calloc(*n + 1, sizeof(**out));
	if (!*out)
		abort();
	json_array_foreach(pairs, i, pair)
	{
		const json_t *unit = json_array_get(pair, 0);
		const json_t *epoch = json_array_get(pair, 1);

		if (json_array_size(pair) != 2 || !json_is_integer(epoch) ||
		    json_integer_value(epoch) < 0)
			return false;
		(*out)[i].epoch = (uint64_t)json_integer_value(epoch);
		if (hex && !parse_hex(json_string_value(unit), &(*out)[i].unit))
			return false;
		if (!hex && (!json_is_integer(unit) || json_integer_value(unit) < 0))
			return false;
		if (!hex)
			(*out)[i].unit = (uint64_t)json_integer_value(unit);
	}
	return true;
}

static enum grant_result apply_grant(struct grants *g, json_t *doc, clk_ms now, struct err *err)
{
	struct grants next = {0};
	json_int_t fence = json_integer_value(json_object_get(doc, "fence"));
	json_int_t ttl = json_integer_value(json_object_get(doc, "ttl_ms"));
	json_int_t expires_utc = json_integer_value(json_object_get(doc, "expires_utc_ms"));
	clk_ms remaining = expires_utc + CLOCK_TOLERANCE_MS - clk_utc();
	uint64_t serial = (uint64_t)json_integer_value(json_object_get(doc, "serial"));
	bool valid;

	/*
	 * A grant with the same fencing token can arrive after a newer one, from a connection that
	 * the sender has abandoned.
	 */
	if ((uint64_t)fence < g->fence || ((uint64_t)fence == g->fence && serial < g->serial))
		return GRANT_STALE;
	next.fence = (uint64_t)fence;
	next.serial = serial;
	/* The UTC expiry limits a grant that waited in the socket while this process was frozen. */
	next.expires = now + (ttl < remaining ? ttl : remaining);
	next.assign_version = (uint64_t)json_integer_value(json_object_get(doc, "assign_version"));
	if (json_is_true(json_object_get(doc, "renew"))) {
		if (!g->expires || next.fence != g->fence || serial != g->serial)
			return GRANT_UNKNOWN;
		g->expires = next.expires;
		return GRANT_ACCEPTED;
	}
	valid = read_epochs(json_object_get(doc, "partitions"), false, &next.partitions,
			    &next.n_partitions);
	valid = read_epochs(json_object_get(doc, "hot"), true, &next.hot, &next.n_hot) && valid;
	if (!valid) {
		free(next.partitions);
		free(next.hot);
		err_set(err, ERR_INPUT,
			"bad list; send \"partitions\":[[number,epoch]] and \"hot\":[[\"16 hex "
			"digits\",epoch]]");
		return GRANT_INVALID;
	}
	free(g->partitions);
	free(g->hot);
	*g = next;
	return GRANT_ACCEPTED;
}

static bool is_count(const json_t *doc, const char *name)
{
	const json_t *value = json_object_get(doc, name);

	return json_is_integer(value) && json_integer_value(value) >= 0;
}

/* Whether the lists that the grant needs are present; a renewal needs none. */
static bool has_lists(const json_t *doc)
{
	return json_is_true(json_object_get(doc, "renew")) ||
	       (json_is_array(json_object_get(doc, "partitions")) &&
		json_is_array(json_object_get(doc, "hot")));
}

enum grant_result grants_put(struct grants *g, const char *service, struct str body, clk_ms now,
			     struct err *err)
{
	json_t *doc = json_loadb(body.ptr, body.len, 0, NULL);
	const char *service_name = json_string_value(json_object_get(doc, "service"));
	enum grant_result result = GRANT_INVALID;

	if (!service_name || !is_count(doc, "fence") || !is_count(doc, "assign_version") ||
	    !is_count(doc, "ttl_ms") || !is_count(doc, "expires_utc_ms") || !has_lists(doc))
		err_set(err, ERR_INPUT,
			"bad grant; send a JSON object with service, fence, assign_version, "
			"ttl_ms, expires_utc_ms, partitions and hot");
	else if (strcmp(service_name, service) != 0)
		err_set(err, ERR_INPUT, "grant for another service; this upstream serves \"%s\"",
			service);
	else
		result = apply_grant(g, doc, now, err);
	json_decref(doc);
	return result;
}

static const struct grant_epoch *find_epoch(const struct grant_epoch *epochs, size_t n,
					    uint64_t unit)
{
	for (size_t i = 0; i < n; i++) {
		if (epochs[i].unit == unit)
			return &epochs[i];
	}
	return NULL;
}

bool grants_is_hot(const struct grants *g, const struct grant_claim *claim)
{
	return claim->has_key_hash && find_epoch(g->hot, g->n_hot, claim->key_hash);
}

static const char *epoch_refusal(const struct grant_epoch *granted, uint64_t epoch)
{
	if (!granted)
		return "the partition is not granted";
	return granted->epoch == epoch ? NULL : "x-epoch differs from the granted epoch";
}

const char *grants_refusal(const struct grants *g, const struct grant_claim *claim, clk_ms now)
{
	if (!g->expires)
		return "no grant yet";
	if (!claim->has_fence)
		return "no x-fence";
	if (claim->fence < g->fence)
		return "x-fence is lower than the granted fence";
	return grants_commit_refusal(g, claim, now);
}

const char *grants_commit_refusal(const struct grants *g, const struct grant_claim *claim,
				  clk_ms now)
{
	if (now >= g->expires)
		return "the grant has expired";
	if (grants_is_hot(g, claim))
		return epoch_refusal(find_epoch(g->hot, g->n_hot, claim->key_hash), claim->epoch);
	if (claim->has_partition)
		return epoch_refusal(find_epoch(g->partitions, g->n_partitions, claim->partition),
				     claim->epoch);
	if (g->n_partitions || g->n_hot)
		return "no x-partition, but the service is divided by key";
	return NULL;
}
