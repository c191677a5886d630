#include "version/config.h"

#include <arpa/inet.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/rnd.h"
#include "version/config_index.h"

#define CONFIG_MAX_ID_CHARS 64
#define CONFIG_MAX_PARTITIONS 65536
#define CONFIG_MAX_TIMEOUT_MS 10000
#define CONFIG_MAX_SLOTS 10000
#define CONFIG_MAX_COLD_STEP 1000000
#define CONFIG_MAX_PREFIX_CHARS 1024

static const char *const section_names[CONFIG_SECTIONS] = {
	[CONFIG_REGIONS] = "regions",	[CONFIG_FAILURE_DOMAINS] = "failure_domains",
	[CONFIG_SERVICES] = "services", [CONFIG_ROUTES] = "routes",
	[CONFIG_ACCOUNTS] = "accounts", [CONFIG_UPSTREAMS] = "upstreams",
};

const char *config_section_name(enum config_section section)
{
	return section_names[section];
}

Bc__Config *config_copy(const Bc__Config *c)
{
	size_t len = bc__config__get_packed_size(c);
	uint8_t *buf = malloc(len ? len : 1);
	Bc__Config *copy;

	if (!buf)
		abort();
	bc__config__pack(c, buf);
	copy = bc__config__unpack(NULL, len, buf);
	free(buf);
	if (!copy)
		abort();
	return copy;
}

void config_free(Bc__Config *c)
{
	if (c)
		bc__config__free_unpacked(c, NULL);
}

const Bc__Service *config_service(const Bc__Config *c, struct str id)
{
	for (size_t i = 0; i < c->n_services; i++) {
		if (str_eq_cstr(id, c->services[i]->id))
			return c->services[i];
	}
	return NULL;
}

const Bc__Upstream *config_upstream(const Bc__Config *c, uint32_t num)
{
	for (size_t i = 0; i < c->n_upstreams; i++) {
		if (c->upstreams[i]->num == num)
			return c->upstreams[i];
	}
	return NULL;
}

const Bc__Upstream *config_upstream_by_id(const Bc__Config *c, struct str id)
{
	for (size_t i = 0; i < c->n_upstreams; i++) {
		if (str_eq_cstr(id, c->upstreams[i]->id))
			return c->upstreams[i];
	}
	return NULL;
}

const Bc__FailureDomain *config_failure_domain(const Bc__Config *c, struct str id)
{
	for (size_t i = 0; i < c->n_failure_domains; i++) {
		if (str_eq_cstr(id, c->failure_domains[i]->id))
			return c->failure_domains[i];
	}
	return NULL;
}

const Bc__Region *config_region(const Bc__Config *c, struct str id)
{
	for (size_t i = 0; i < c->n_regions; i++) {
		if (str_eq_cstr(id, c->regions[i]->id))
			return c->regions[i];
	}
	return NULL;
}

/* Prefixes match whole segments: "/history" matches "/history/...", but not "/historyx". */
static bool route_matches(struct str prefix, struct str path)
{
	if (!str_starts_with(path, prefix))
		return false;
	return path.len == prefix.len || prefix.ptr[prefix.len - 1] == '/' ||
	       path.ptr[prefix.len] == '/';
}

const Bc__Route *config_route(const Bc__Config *c, struct str path)
{
	const Bc__Route *best = NULL;
	size_t best_len = 0;

	for (size_t i = 0; i < c->n_routes; i++) {
		struct str prefix = str_from(c->routes[i]->prefix);

		if (prefix.len <= best_len || !route_matches(prefix, path))
			continue;
		best = c->routes[i];
		best_len = prefix.len;
	}
	return best;
}

const char *config_upstream_region(const Bc__Config *c, const Bc__Upstream *u)
{
	const Bc__FailureDomain *fd = config_failure_domain(c, str_from(u->failure_domain));

	return fd ? fd->region : "";
}

bool config_upstream_usable(const Bc__Config *c, const Bc__Upstream *u)
{
	const Bc__FailureDomain *fd = config_failure_domain(c, str_from(u->failure_domain));

	return fd && !fd->out && u->intent == BC__UPSTREAM_INTENT__IN;
}

static uint64_t count_slots(const Bc__Config *c, struct str service, struct str region,
			    bool only_usable)
{
	uint64_t slots = 0;

	for (size_t i = 0; i < c->n_upstreams; i++) {
		const Bc__Upstream *u = c->upstreams[i];

		if (!str_eq_cstr(service, u->service) ||
		    !str_eq_cstr(region, config_upstream_region(c, u)))
			continue;
		if (!only_usable || config_upstream_usable(c, u))
			slots += u->slots;
	}
	return slots;
}

uint64_t config_slots(const Bc__Config *c, struct str service, struct str region)
{
	return count_slots(c, service, region, false);
}

uint64_t config_usable_slots(const Bc__Config *c, struct str service, struct str region)
{
	return count_slots(c, service, region, true);
}

/* ---- home regions ---- */

static bool list_has(char *const *list, size_t n, struct str id)
{
	for (size_t i = 0; i < n; i++) {
		if (str_eq_cstr(id, list[i]))
			return true;
	}
	return false;
}

static const Bc__AccountHome *account_home(const Bc__Config *c, struct str account)
{
	if (account.len == 0)
		return NULL;
	for (size_t i = 0; i < c->n_account_homes; i++) {
		if (str_eq_cstr(account, c->account_homes[i]->account))
			return c->account_homes[i];
	}
	return NULL;
}

bool config_home_allows(const Bc__Config *c, const Bc__Route *route, struct str account,
			struct str region, bool *homed)
{
	const Bc__AccountHome *home = account_home(c, account);
	bool by_route = route && route->n_home_regions > 0;
	bool by_account = home && home->n_home_regions > 0;

	*homed = by_route || by_account;
	if (by_route && !list_has(route->home_regions, route->n_home_regions, region))
		return false;
	if (by_account && !list_has(home->home_regions, home->n_home_regions, region))
		return false;
	return true;
}

const Bc__Region *config_home_region(const Bc__Config *c, const Bc__Route *route,
				     struct str account)
{
	for (size_t i = 0; i < c->n_regions; i++) {
		bool homed;

		if (config_home_allows(c, route, account, str_from(c->regions[i]->id), &homed))
			return c->regions[i];
	}
	return NULL;
}

/* ---- partitions ---- */

uint32_t config_hash_partition(uint64_t key_hash, uint32_t partitions)
{
	return partitions ? (uint32_t)(key_hash % partitions) : 0;
}

uint32_t config_partition(const Bc__Service *s, uint64_t key_hash)
{
	return config_hash_partition(key_hash, s->partitions);
}

static double region_weight(const Bc__Config *c, const Bc__Service *s, size_t index)
{
	if (s->n_region_weights == s->n_regions)
		return s->region_weights[index];
	return (double)config_slots(c, str_from(s->id), str_from(s->regions[index]));
}

const char *config_partition_region(const Bc__Config *c, const Bc__Service *s, uint32_t partition)
{
	const char *best = "";
	double best_score = -1;

	for (size_t i = 0; i < s->n_regions; i++) {
		double weight = region_weight(c, s, i);
		uint64_t hash = rnd_mix(str_hash(str_from(s->id)) + partition,
					str_hash(str_from(s->regions[i])));
		/* Uniform in (0, 1), neither of which occurs, so that the logarithm is finite and
		 * not 0. */
		double unit = ((double)(hash >> 11) + 0.5) * 0x1.0p-53;
		double score = -weight / log(unit);

		if (weight > 0 && score > best_score) {
			best = s->regions[i];
			best_score = score;
		}
	}
	return best;
}

/* ---- checks ---- */

struct check {
	const Bc__Config *c;
	struct config_fault *location;
	struct err *err;
	enum config_section section;
	size_t index;
	const struct config_index *upstreams;
};

/* Sets the error "upstreams[3] 'h-04', field slots: FAULT; REMEDY" and evaluates to false. */
#define FAULT(ck, id, field_name, ...)                                                             \
	(err_set((ck)->err, ERR_INPUT, __VA_ARGS__), add_fault_location((ck), (id), (field_name)), \
	 false)

static void add_fault_location(struct check *ck, const char *id, const char *field)
{
	*ck->location = (struct config_fault){ck->section, ck->index, field};
	err_prefix(ck->err, "%s[%zu] '%.64s', field %s", section_names[ck->section], ck->index, id,
		   field);
}

static bool check_id(struct check *ck, const char *id, const char *field)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789._-";
	size_t len = strlen(id);

	if (len == 0)
		return FAULT(ck, id, field, "is empty; give a name");
	if (len > CONFIG_MAX_ID_CHARS)
		return FAULT(ck, id, field, "is longer than %d characters; shorten it",
			     CONFIG_MAX_ID_CHARS);
	if (strspn(id, allowed) != len)
		return FAULT(ck, id, field,
			     "has a character outside A-Z a-z 0-9 . _ -; use only those");
	return true;
}

static bool check_range(struct check *ck, const char *id, const char *field, uint32_t value,
			uint32_t min, uint32_t max)
{
	if (value >= min && value <= max)
		return true;
	return FAULT(ck, id, field, "%u is out of range; use %u to %u", value, min, max);
}

static bool check_region_list(struct check *ck, const char *id, const char *field,
			      char *const *list, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		if (!config_region(ck->c, str_from(list[i])))
			return FAULT(ck, id, field,
				     "region '%.64s' is not defined; add it below regions or "
				     "correct the name",
				     list[i]);
		if (list_has(list, i, str_from(list[i])))
			return FAULT(ck, id, field, "region '%.64s' is named twice; name it once",
				     list[i]);
	}
	return true;
}

static bool valid_entry(const char *text)
{
	struct in_addr addr;
	char ip[INET_ADDRSTRLEN];
	struct str port;
	struct str host = str_split(str_from(text), ':', &port);
	uint64_t n;

	if (host.len == 0 || host.len >= sizeof(ip))
		return false;
	memcpy(ip, host.ptr, host.len);
	ip[host.len] = '\0';
	return inet_pton(AF_INET, ip, &addr) == 1 && str_to_u64(port, 65535, &n) && n > 0;
}

static bool check_region(struct check *ck)
{
	const Bc__Region *r = ck->c->regions[ck->index];

	if (!check_id(ck, r->id, "id"))
		return false;
	if (config_region(ck->c, str_from(r->id)) != r)
		return FAULT(ck, r->id, "id", "is used twice; choose another name");
	for (size_t i = 0; i < r->n_entries; i++) {
		if (!valid_entry(r->entries[i]))
			return FAULT(ck, r->id, "entries",
				     "'%.64s' is not an address; write ip:port, for example "
				     "127.0.1.1:8000",
				     r->entries[i]);
	}
	return true;
}

static bool check_failure_domain(struct check *ck)
{
	const Bc__FailureDomain *fd = ck->c->failure_domains[ck->index];

	if (!check_id(ck, fd->id, "id"))
		return false;
	if (config_failure_domain(ck->c, str_from(fd->id)) != fd)
		return FAULT(ck, fd->id, "id", "is used twice; choose another name");
	return check_region_list(ck, fd->id, "region", &fd->region, 1);
}

static bool check_region_weights(struct check *ck, const Bc__Service *s)
{
	uint64_t total = 0;

	if (s->n_region_weights == 0)
		return true;
	for (size_t i = 0; i < s->n_region_weights; i++)
		total += s->region_weights[i];
	if (s->n_region_weights != s->n_regions || total == 0)
		return FAULT(ck, s->id, "region_weights",
			     "has %zu weights with sum %llu for %zu regions; give one weight for "
			     "each region, not all 0",
			     s->n_region_weights, (unsigned long long)total, s->n_regions);
	return true;
}

static bool check_service_regions(struct check *ck, const Bc__Service *s)
{
	if (s->n_regions == 0)
		return FAULT(ck, s->id, "regions", "is empty; name at least one region");
	return check_region_list(ck, s->id, "regions", s->regions, s->n_regions) &&
	       check_region_weights(ck, s);
}

static bool check_service_upstreams(struct check *ck)
{
	const Bc__Service *s = ck->c->services[ck->index];

	for (size_t i = 0; i < s->n_regions; i++) {
		if (config_slots(ck->c, str_from(s->id), str_from(s->regions[i])) == 0)
			return FAULT(ck, s->id, "regions",
				     "no upstream of the service stands in region '%.64s'; add one "
				     "or remove the region",
				     s->regions[i]);
	}
	return true;
}

static bool check_service(struct check *ck)
{
	const Bc__Service *s = ck->c->services[ck->index];

	if (!check_id(ck, s->id, "id"))
		return false;
	if (config_service(ck->c, str_from(s->id)) != s)
		return FAULT(ck, s->id, "id", "is used twice; choose another name");
	if (s->id[0] == '_')
		return FAULT(ck, s->id, "id",
			     "starts with '_', which is kept for the router; choose another name");
	return check_range(ck, s->id, "partitions", s->partitions, 1, CONFIG_MAX_PARTITIONS) &&
	       check_range(ck, s->id, "timeout_ms", s->timeout_ms, 1, CONFIG_MAX_TIMEOUT_MS) &&
	       check_range(ck, s->id, "cold_step", s->cold_step, 1, CONFIG_MAX_COLD_STEP) &&
	       check_service_regions(ck, s);
}

static bool check_known_service(struct check *ck, const char *id, const char *service)
{
	if (config_service(ck->c, str_from(service)))
		return true;
	return FAULT(ck, id, "service",
		     "service '%.64s' is not defined; add it below services or correct the name",
		     service);
}

static bool check_route_prefix(struct check *ck, const Bc__Route *r)
{
	struct str prefix = str_from(r->prefix);
	struct str rest;

	if (prefix.len == 0 || prefix.ptr[0] != '/' || prefix.len > CONFIG_MAX_PREFIX_CHARS ||
	    strpbrk(r->prefix, "?# \t\r\n"))
		return FAULT(ck, r->prefix, "prefix",
			     "is not a path of at most %d characters; start with '/' and leave out "
			     "query and blanks",
			     CONFIG_MAX_PREFIX_CHARS);
	rest = (struct str){prefix.ptr + 1, prefix.len - 1};
	if (!str_eq_cstr(str_split(rest, '/', &rest), r->service))
		return FAULT(ck, r->prefix, "prefix",
			     "does not start with the service; write '/%.64s' or '/%.64s/...'",
			     r->service, r->service);
	for (size_t i = 0; i < ck->index; i++) {
		if (str_eq_cstr(prefix, ck->c->routes[i]->prefix))
			return FAULT(ck, r->prefix, "prefix", "is used twice; remove one route");
	}
	return true;
}

/* Checks that the service is in one of the home regions; otherwise nobody could serve the route. */
static bool check_route_homes(struct check *ck, const Bc__Route *r, const Bc__Service *s)
{
	if (!check_region_list(ck, r->prefix, "home_regions", r->home_regions, r->n_home_regions))
		return false;
	if (r->n_home_regions == 0)
		return true;
	for (size_t i = 0; i < r->n_home_regions; i++) {
		if (list_has(s->regions, s->n_regions, str_from(r->home_regions[i])))
			return true;
	}
	return FAULT(ck, r->prefix, "home_regions",
		     "service '%.64s' stands in none of them; add a home region of the service",
		     s->id);
}

static bool check_route(struct check *ck)
{
	const Bc__Route *r = ck->c->routes[ck->index];

	return check_known_service(ck, r->prefix, r->service) && check_route_prefix(ck, r) &&
	       check_route_homes(ck, r, config_service(ck->c, str_from(r->service)));
}

static bool check_account(struct check *ck)
{
	const Bc__AccountHome *a = ck->c->account_homes[ck->index];

	if (!check_id(ck, a->account, "account"))
		return false;
	if (account_home(ck->c, str_from(a->account)) != a)
		return FAULT(ck, a->account, "account", "is listed twice; remove one entry");
	if (a->n_home_regions == 0)
		return FAULT(ck, a->account, "home_regions",
			     "is empty; name a region or remove the account");
	return check_region_list(ck, a->account, "home_regions", a->home_regions,
				 a->n_home_regions);
}

static bool check_upstream_address(struct check *ck, const Bc__Upstream *u)
{
	const Bc__Upstream *other;
	struct in_addr addr;

	if (inet_pton(AF_INET, u->ip, &addr) != 1 || u->port == 0 || u->port > 65535)
		return FAULT(ck, u->id, "address",
			     "'%.64s:%u' is not an address; write ip:port, for example "
			     "127.0.1.1:9000",
			     u->ip, u->port);
	other = config_index_address(ck->upstreams, u->ip, u->port);
	if (other != u)
		return FAULT(ck, u->id, "address",
			     "'%.64s:%u' also belongs to '%.64s'; each upstream needs its own "
			     "address",
			     u->ip, u->port, other->id);
	return true;
}

static bool check_upstream_region(struct check *ck, const Bc__Upstream *u)
{
	const Bc__Service *s = config_service(ck->c, str_from(u->service));
	const Bc__FailureDomain *fd = config_failure_domain(ck->c, str_from(u->failure_domain));

	if (!fd)
		return FAULT(ck, u->id, "failure_domain",
			     "failure domain '%.64s' is not defined; add it below failure_domains "
			     "or correct the name",
			     u->failure_domain);
	if (!list_has(s->regions, s->n_regions, str_from(fd->region)))
		return FAULT(ck, u->id, "failure_domain",
			     "region '%.64s' of '%.64s' is not a region of service '%.64s'; add it "
			     "there or place the upstream elsewhere",
			     fd->region, fd->id, s->id);
	return true;
}

static bool check_upstream(struct check *ck)
{
	const Bc__Upstream *u = ck->c->upstreams[ck->index];

	if (!check_id(ck, u->id, "id"))
		return false;
	if (config_index_id(ck->upstreams, u->id) != u)
		return FAULT(ck, u->id, "id", "is used twice; choose another name");
	if (u->num == 0 || u->num >= ck->c->next_upstream_num ||
	    config_index_num(ck->upstreams, u->num) != u)
		return FAULT(ck, u->id, "num",
			     "%u is not unique below %u; restore the configuration from the store",
			     u->num, ck->c->next_upstream_num);
	return check_known_service(ck, u->id, u->service) && check_upstream_region(ck, u) &&
	       check_upstream_address(ck, u) &&
	       check_range(ck, u->id, "slots", u->slots, 1, CONFIG_MAX_SLOTS) &&
	       check_range(ck, u->id, "cold_limit", u->cold_limit, 1, u->slots);
}

static bool check_all(struct check *ck)
{
	const Bc__Config *c = ck->c;
	/* Order matters: each check relies on the ones before it. */
	const struct {
		enum config_section section;
		size_t n;
		bool (*check_entry)(struct check *ck);
	} checks[] = {
		{CONFIG_REGIONS, c->n_regions, check_region},
		{CONFIG_FAILURE_DOMAINS, c->n_failure_domains, check_failure_domain},
		{CONFIG_SERVICES, c->n_services, check_service},
		{CONFIG_UPSTREAMS, c->n_upstreams, check_upstream},
		{CONFIG_SERVICES, c->n_services, check_service_upstreams},
		{CONFIG_ROUTES, c->n_routes, check_route},
		{CONFIG_ACCOUNTS, c->n_account_homes, check_account},
	};

	for (size_t i = 0; i < sizeof(checks) / sizeof(checks[0]); i++) {
		ck->section = checks[i].section;
		for (ck->index = 0; ck->index < checks[i].n; ck->index++) {
			if (!checks[i].check_entry(ck))
				return false;
		}
	}
	return true;
}

bool config_check_where(const Bc__Config *c, struct config_fault *location, struct err *err)
{
	struct config_index *upstreams = config_index_create(c);
	struct check ck = {.c = c, .location = location, .err = err, .upstreams = upstreams};
	bool ok = check_all(&ck);

	config_index_free(upstreams);
	return ok;
}

bool config_check(const Bc__Config *c, struct err *err)
{
	struct config_fault location;

	return config_check_where(c, &location, err);
}
