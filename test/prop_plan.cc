/*
 * Property tests of operators' plans against a model of the store, which accepts a write only if it
 * expects the version that the store holds. 1,500 schedules of up to 100 steps by three operators
 * on two routers, either of which may hold an older configuration; the answer to a confirm may be
 * lost and the confirm repeated. Another 1,500 cases make one plan from a file with new home
 * regions.
 */
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "test/prop.h"

extern "C" {
#include "base/arena.h"
#include "version/config.h"
#include "version/plan.h"
}

namespace
{

using Config = std::shared_ptr<Bc__Config>;

Config share_config(Bc__Config *c)
{
	return Config(c, config_free);
}

struct str to_str(const std::string &s)
{
	return {s.data(), s.size()};
}

std::string from_str(struct str s)
{
	return std::string(s.ptr ? s.ptr : "", s.len);
}

const char first_file[] =
	"regions: [{id: r1}, {id: r2}]\n"
	"failure_domains:\n"
	"  - {id: a, region: r1}\n"
	"  - {id: b, region: r1}\n"
	"  - {id: c, region: r2}\n"
	"  - {id: d, region: r2}\n"
	"services:\n"
	"  - {id: k, keyed: true, partitions: 16, regions: [r1, r2]}\n"
	"  - {id: o, keyed: false, partitions: 1, regions: [r1, r2]}\n"
	"routes:\n"
	"  - {prefix: /k, service: k, idempotent: true}\n"
	"  - {prefix: /o, service: o, idempotent: false}\n"
	"  - {prefix: /o/home, service: o, idempotent: false, home_regions: [r2]}\n"
	"accounts:\n"
	"  - {account: acme, home_regions: [r1]}\n"
	"upstreams:\n"
	"  - {id: k1, service: k, failure_domain: a, address: \"127.0.0.1:1\", slots: 2}\n"
	"  - {id: k2, service: k, failure_domain: b, address: \"127.0.0.1:2\", slots: 2}\n"
	"  - {id: k3, service: k, failure_domain: c, address: \"127.0.0.1:3\", slots: 2}\n"
	"  - {id: k4, service: k, failure_domain: d, address: \"127.0.0.1:4\", slots: 2}\n"
	"  - {id: k5, service: k, failure_domain: a, address: \"127.0.0.1:5\", slots: 1}\n"
	"  - {id: k6, service: k, failure_domain: b, address: \"127.0.0.1:6\", slots: 1}\n"
	"  - {id: o1, service: o, failure_domain: a, address: \"127.0.0.1:11\", slots: 2}\n"
	"  - {id: o2, service: o, failure_domain: b, address: \"127.0.0.1:12\", slots: 2}\n"
	"  - {id: o3, service: o, failure_domain: c, address: \"127.0.0.1:13\", slots: 2}\n"
	"  - {id: o4, service: o, failure_domain: d, address: \"127.0.0.1:14\", slots: 2}\n";

/* One call of plan_make(). The destructor frees its results, also when an assertion throws. */
struct Call {
	struct arena arena = ARENA_INIT;
	struct err err = {};
	struct plan out = {};
	bool ok = false;

	Call(const Bc__Config *c, const std::string &intent, const std::string &yaml,
	     uint64_t version)
	{
		struct plan_inputs in = {c, nullptr, 0};
		struct plan_request req = {to_str(intent), to_str(yaml), version, str_from("ana")};

		ok = plan_make(&arena, &in, &req, 1000, &out, &err);
	}
	~Call()
	{
		config_free(out.result);
		arena_free(&arena);
	}
	Call(const Call &) = delete;
	Call &operator=(const Call &) = delete;
	Config take_result()
	{
		Config c = share_config(out.result);

		out.result = nullptr;
		return c;
	}
};

Config first_config()
{
	struct err err = {};
	Bc__Config *c = config_from_yaml(str_from(first_file), nullptr, &err);

	RC_ASSERT((c != nullptr));
	c->version = 1;
	return share_config(c);
}

/* ---- changes of a configuration file ---- */

enum class Edit {
	None,
	AddUpstream,
	RemoveUpstream,
	ChangeAddress,
	ChangePartitions,
	ChangeRegionWeights,
	AddAccount,
	RouteHome,
	FailureDomainOut,
	DeadInFile,
	ChecksGrants,
	Count,
};

std::string replace_first(std::string text, const std::string &from, const std::string &to)
{
	size_t at = text.find(from);

	return at == std::string::npos ? text : text.replace(at, from.size(), to);
}

std::string erase_line(std::string text, const std::string &with)
{
	size_t at = text.find(with);
	size_t start;

	if (at == std::string::npos)
		return text;
	start = text.rfind('\n', at) + 1;
	return text.erase(start, text.find('\n', at) + 1 - start);
}

std::string edit_file(const Bc__Config *c, Edit edit, uint32_t arg)
{
	std::unique_ptr<char, void (*)(void *)> yaml(config_to_yaml(c), free);
	std::string text = yaml.get();
	std::string region = arg % 2 ? "r1" : "r2";
	std::string n = std::to_string(arg % 1000);

	switch (edit) {
	case Edit::AddUpstream:
		return text + "  - {id: x" + n +
		       ", service: k, failure_domain: a, address: \"127.0.1.1:" +
		       std::to_string(1 + arg % 60000) + "\", slots: 2}\n";
	case Edit::RemoveUpstream:
		return erase_line(text, "{id: \"k" + std::to_string(1 + arg % 6) + "\"");
	case Edit::ChangeAddress:
		return replace_first(text, "127.0.0.1:3\"", "127.0.2.1:3\"");
	case Edit::ChangePartitions:
		return replace_first(text, "partitions: 16", "partitions: 32");
	case Edit::ChangeRegionWeights:
		return replace_first(text, "region_weights: [6, 4]", "region_weights: [1, 100]");
	case Edit::AddAccount:
		return replace_first(text, "accounts:\n",
				     "accounts:\n  - {account: n" + n + ", home_regions: [" +
					     region + "]}\n");
	case Edit::RouteHome:
		return replace_first(text, "prefix: \"/k\", service: \"k\", idempotent: true",
				     "prefix: /k, service: k, idempotent: true, home_regions: [" +
					     region + "]");
	case Edit::FailureDomainOut:
		return replace_first(text, "region: \"r2\"}", "region: r2, out: true}");
	case Edit::DeadInFile:
		return replace_first(text, "127.0.0.1:3\", slots: 2}",
				     "127.0.0.1:3\", slots: 2, intent: dead}");
	case Edit::ChecksGrants:
		return replace_first(text, "127.0.0.1:3\", slots: 2",
				     "127.0.0.1:3\", slots: 2, checks_grants: true");
	default:
		return text;
	}
}

/* ---- checks of an accepted plan, written independently of the planner ---- */

/*
 * Whether an upstream that takes new work is in a region that may serve the route for the account,
 * or no region may serve it. Sets `*restricted` if regions may serve it because they are home
 * regions.
 */
bool has_served_home(const Bc__Config *c, const Bc__Route *r, const std::string &account,
		     bool *restricted)
{
	bool allowed = false;
	bool served = false;

	*restricted = false;
	for (size_t i = 0; i < c->n_regions; i++) {
		struct str region = str_from(c->regions[i]->id);
		bool homed;

		if (!config_home_allows(c, r, to_str(account), region, &homed))
			continue;
		allowed = true;
		if (homed)
			*restricted = true;
		for (size_t u = 0; u < c->n_upstreams; u++) {
			const Bc__Upstream *up = c->upstreams[u];

			served |= strcmp(up->service, r->service) == 0 &&
				  region.len == strlen(config_upstream_region(c, up)) &&
				  strcmp(config_upstream_region(c, up), region.ptr) == 0 &&
				  config_upstream_usable(c, up);
		}
	}
	return served || !allowed;
}

const Bc__Route *find_route(const Bc__Config *c, const char *prefix)
{
	for (size_t i = 0; i < c->n_routes; i++)
		if (strcmp(c->routes[i]->prefix, prefix) == 0)
			return c->routes[i];
	return nullptr;
}

/* Guards against a plan that leaves a homed route without any region that may and can serve it. */
void check_homes(const Bc__Config *before, const Bc__Config *after)
{
	for (size_t i = 0; i < after->n_routes; i++) {
		const Bc__Route *now = after->routes[i];
		const Bc__Route *old = find_route(before, now->prefix);
		std::vector<std::string> accounts = {""};

		for (size_t j = 0; j < after->n_account_homes; j++)
			accounts.push_back(after->account_homes[j]->account);
		for (const auto &account : accounts) {
			bool restricted;
			bool was_restricted;
			bool ok = has_served_home(after, now, account, &restricted);
			bool was_ok =
				!old || has_served_home(before, old, account, &was_restricted);

			RC_ASSERT((ok || !restricted || !was_ok));
		}
	}
}

uint64_t slots(const Bc__Config *c, const char *service, const char *region, bool usable)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < c->n_upstreams; i++) {
		const Bc__Upstream *u = c->upstreams[i];

		if (strcmp(u->service, service) == 0 &&
		    strcmp(config_upstream_region(c, u), region) == 0 &&
		    (!usable || config_upstream_usable(c, u)))
			sum += u->slots;
	}
	return sum;
}

/* Guards against a plan that takes usable slots from a service in a region and leaves less than
 * half of its slots there usable. */
void check_capacity(const Bc__Config *before, const Bc__Config *after)
{
	for (size_t i = 0; i < before->n_services; i++) {
		const Bc__Service *s = before->services[i];

		for (size_t j = 0; j < s->n_regions; j++) {
			uint64_t old = slots(before, s->id, s->regions[j], true);
			uint64_t now = slots(after, s->id, s->regions[j], true);

			if (now < old)
				RC_ASSERT(2 * now >= slots(before, s->id, s->regions[j], false));
		}
	}
}

/* Guards against two owners of a key while some routers hold the old and some the new file. */
void check_identity(const Bc__Config *before, const Bc__Config *after)
{
	for (size_t i = 0; i < before->n_upstreams; i++) {
		const Bc__Upstream *old = before->upstreams[i];
		const Bc__Upstream *now = config_upstream(after, old->num);

		if (!now) {
			RC_ASSERT(old->intent != BC__UPSTREAM_INTENT__IN);
			continue;
		}
		RC_ASSERT(strcmp(old->ip, now->ip) == 0);
		RC_ASSERT(old->port == now->port);
		RC_ASSERT(old->checks_grants == now->checks_grants);
		if (now->intent == BC__UPSTREAM_INTENT__DEAD)
			RC_ASSERT(old->intent == BC__UPSTREAM_INTENT__DEAD);
	}
	for (size_t i = 0; i < before->n_services; i++) {
		const Bc__Service *old = before->services[i];
		const Bc__Service *now = config_service(after, str_from(old->id));

		if (!old->keyed)
			continue;
		RC_ASSERT((now != nullptr));
		RC_ASSERT(now->partitions == old->partitions);
		for (uint32_t p = 0; p < old->partitions; p++)
			RC_ASSERT(std::string(config_partition_region(before, old, p)) ==
				  config_partition_region(after, now, p));
	}
}

/* ---- racing operators ---- */

struct Plan {
	std::string intent;
	std::string yaml;
	std::string id;
	uint64_t version = 0;
	bool valid = false;
	bool refused = false;
};

enum class Action { CreatePlan, Confirm, ConfirmLost, Sync };

struct Step {
	Action action;
	uint32_t op;
	uint32_t router;
	uint32_t intent;
	uint32_t arg;
};

void showValue(const Step &s, std::ostream &os)
{
	static const char *const names[] = {"plan", "confirm", "confirm-lost", "sync"};

	os << names[static_cast<int>(s.action)] << "(operator " << s.op << ", router " << s.router
	   << ", intent " << s.intent << ", " << s.arg << ")";
}

rc::Gen<Step> step_gen()
{
	return rc::gen::build<Step>(
		rc::gen::set(&Step::action,
			     rc::gen::weightedElement<Action>({{4, Action::CreatePlan},
							       {3, Action::Confirm},
							       {2, Action::ConfirmLost},
							       {2, Action::Sync}})),
		rc::gen::set(&Step::op, rc::gen::inRange<uint32_t>(0, 3)),
		rc::gen::set(&Step::router, rc::gen::inRange<uint32_t>(0, 2)),
		rc::gen::set(&Step::intent, rc::gen::inRange<uint32_t>(0, 8)),
		rc::gen::set(&Step::arg, rc::gen::inRange<uint32_t>(0, 100000)));
}

class World
{
      public:
	World() : store_(first_config())
	{
		for (auto &r : routers_)
			r = store_;
	}

	void step(const Step &s)
	{
		switch (s.action) {
		case Action::CreatePlan:
			create_plan(plans_[s.op], s);
			break;
		case Action::Confirm:
		case Action::ConfirmLost:
			confirm(plans_[s.op], s.router, s.action == Action::ConfirmLost);
			break;
		case Action::Sync:
			sync(s.router);
			break;
		}
	}

	/*
	 * Confirms every plan that took effect once more, on a router that holds the newest
	 * configuration: the store must not change.
	 */
	void confirm_applied_again()
	{
		sync(0);
		for (const auto &p : applied_) {
			uint64_t before = store_->version;

			RC_ASSERT((plan_find(routers_[0].get(), to_str(p.first)) != nullptr));
			Plan again = p.second;
			confirm(again, 0, false);
			RC_ASSERT(store_->version == before);
		}
	}

      private:
	std::string intent(const Step &s) const
	{
		static const char *const domains[] = {"a", "b", "c", "d"};
		std::string domain = domains[s.arg % 4];
		std::string up = s.arg % 10 < 6 ? "k" + std::to_string(1 + s.arg % 10)
						: "o" + std::to_string(s.arg % 10 - 5);

		switch (s.intent) {
		case 0:
			return "take-out " + domain;
		case 1:
			return "bring-back " + domain;
		case 2:
			return "drain " + up;
		case 3:
			return "drain k1 " + up;
		case 4:
			return "bring-in " + up;
		case 5:
			return "declare-dead " + up;
		case 6:
			return "lift 00000000000000" + std::to_string(10 + s.arg % 90);
		default:
			return "apply";
		}
	}

	void sync(uint32_t router)
	{
		/* A router takes a document only when it is newer. */
		if (store_->version > routers_[router]->version)
			routers_[router] = store_;
	}

	void create_plan(Plan &p, const Step &s)
	{
		const Bc__Config *c = routers_[s.router].get();

		p = Plan();
		p.intent = intent(s);
		if (p.intent == "apply")
			p.yaml = edit_file(
				c, static_cast<Edit>(s.arg % static_cast<uint32_t>(Edit::Count)),
				s.arg / 16);
		Call call(c, p.intent, p.yaml, 0);

		p.valid = call.ok;
		if (!call.ok)
			return check_error(call.err);
		p.id = from_str(call.out.id);
		p.version = call.out.version;
		p.refused = call.out.refused;
		if (call.out.refused)
			check_refusal(from_str(call.out.refusal));
		else
			check_accepted(p, c, call.out.result);
	}

	/*
	 * A refusal names the guarantee that would break or states that nothing would change, and
	 * gives a remedy.
	 */
	static void check_refusal(const std::string &text)
	{
		RC_ASSERT(text.find(';') != std::string::npos ||
			  text.find(',') != std::string::npos);
		RC_ASSERT((text.find("would break") != std::string::npos ||
			   text.find("nothing to do") != std::string::npos ||
			   text.find("declared dead") != std::string::npos ||
			   text.find("explicit statement") != std::string::npos));
	}

	/* Errors may come from files that the edits make invalid (for example with an address used
	 * twice) and from unknown names. */
	static void check_error(const struct err &err)
	{
		RC_ASSERT((err.kind == ERR_INPUT || err.kind == ERR_NOT_FOUND));
		RC_ASSERT(std::string(err.msg).find_first_of(";") != std::string::npos);
	}

	static void check_accepted(const Plan &p, const Bc__Config *before, const Bc__Config *after)
	{
		struct err err = {};

		RC_ASSERT(after->version == before->version + 1);
		RC_ASSERT(config_check(after, &err));
		if (p.intent.find("declare-dead") == 0)
			return;
		check_homes(before, after);
		check_capacity(before, after);
		check_identity(before, after);
	}

	/* Confirms a plan as a router does. If the answer is lost, the operator keeps the plan and
	 * may confirm it again. */
	void confirm(Plan &p, uint32_t router, bool lost)
	{
		Config c = routers_[router];

		if (!p.valid || p.refused)
			return;
		if (plan_find(c.get(), to_str(p.id)))
			RC_ASSERT(applied_.count(p.id) == 1u);
		else
			confirm_new(p, c, router);
		if (!lost)
			p = Plan();
	}

	/*
	 * Guards against applying a plan to another configuration than the operator has read. Such
	 * a confirm must fail with a message that says how to continue.
	 */
	void confirm_new(const Plan &p, const Config &c, uint32_t router)
	{
		Call call(c.get(), p.intent, p.yaml, p.version);

		RC_ASSERT(call.ok == (c->version == p.version));
		if (call.ok) {
			RC_ASSERT(from_str(call.out.id) == p.id);
			RC_ASSERT(!call.out.refused);
			write(p, c->version, call.take_result(), router);
			return;
		}
		std::string text = call.err.msg;

		RC_ASSERT(call.err.kind ==
			  (c->version > p.version ? ERR_CONFLICT : ERR_UNAVAILABLE));
		RC_ASSERT((text.find("again and read the new plan") != std::string::npos ||
			   text.find("repeat in a few seconds") != std::string::npos));
	}

	/* Writes by compare-and-set: the store must hold the expected version. */
	void write(const Plan &p, uint64_t expected, const Config &next, uint32_t router)
	{
		if (store_->version != expected)
			return;
		RC_ASSERT(next->version == store_->version + 1);
		RC_ASSERT(applied_.count(p.id) == 0u);
		RC_ASSERT(applied_per_version_[p.version]++ == 0);
		applied_[p.id] = p;
		store_ = next;
		sync(router);
	}

	Config store_;
	Config routers_[2];
	Plan plans_[3];
	std::map<std::string, Plan> applied_;
	std::map<uint64_t, int> applied_per_version_;
};

bool racing_operators()
{
	return rc::check("of plans made from one version one takes effect, and once", [] {
		auto steps = *rc::gen::container<std::vector<Step>>(step_gen());
		World w;

		for (const auto &s : steps)
			w.step(s);
		w.confirm_applied_again();
	});
}

/* Guards against accepting home regions in a region whose upstreams are all declared dead. */
bool homes_in_a_dead_region()
{
	return rc::check("a new home in a region without upstreams in service is refused", [] {
		auto edit = *rc::gen::element(Edit::AddAccount, Edit::RouteHome);
		auto arg = 2 * *rc::gen::inRange<uint32_t>(0, 400);
		Config c = first_config();

		for (size_t i = 0; i < c->n_upstreams; i++)
			if (strcmp(config_upstream_region(c.get(), c->upstreams[i]), "r2") == 0)
				c->upstreams[i]->intent = BC__UPSTREAM_INTENT__DEAD;
		Call call(c.get(), "apply", edit_file(c.get(), edit, arg), 0);
		std::string why = from_str(call.out.refusal);

		RC_ASSERT(call.ok);
		RC_ASSERT(call.out.refused);
		RC_ASSERT(why.find("P5 would break") == 0u);
		RC_ASSERT(why.find("add a home region") != std::string::npos);
	});
}

const char *const mutants[] = {
	"plan_ignore_version",
	"plan_skip_ledger",
	"plan_keep_version",
	"plan_skip_capacity",
	"plan_skip_homes",
	"plan_skip_identity",
	nullptr,
};

bool run()
{
	/* Both properties run, so that a failure of the first does not hide one of the second. */
	bool a = racing_operators();
	bool b = homes_in_a_dead_region();

	return a && b;
}

} // namespace

int main(int argc, char **argv)
{
	const char *params = getenv("RC_PARAMS");
	std::string all = std::string(params ? params : "") + " max_success=1500";

	setenv("RC_PARAMS", all.c_str(), 1);
	return prop_main(argc, argv, mutants, run);
}
