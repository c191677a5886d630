/*
 * Property test of the assignment planner under random losses, returns and additions of upstreams
 * and changes of load and of hot keys. 400 schedules of up to 100 steps, one to four planning calls
 * in each step.
 */
#include <rapidcheck.h>

#include <cmath>
#include <cstdlib>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "test/prop.h"

extern "C" {
#include "base/rnd.h"
#include "version/assign.h"
#include "version/config.h"
}

namespace
{

const uint32_t n_partitions = 48;
const size_t max_upstreams = 12;
const size_t n_key_hashes = 60;
const size_t max_tracked_keys = 24;
const size_t max_stable_calls = 400;

enum class Action { Lose, Return, Add, Loads, HotKeys, ToggleLoads };

struct Step {
	Action action;
	uint32_t arg;
};

void showValue(const Step &s, std::ostream &os)
{
	static const char *const names[] = {"lose", "return", "add", "loads", "hot-keys", "forget"};

	os << names[static_cast<int>(s.action)] << "(" << s.arg << ")";
}

rc::Gen<Step> step_gen()
{
	return rc::gen::build<Step>(
		rc::gen::set(&Step::action,
			     rc::gen::weightedElement<Action>({{4, Action::Lose},
							       {3, Action::Return},
							       {1, Action::Add},
							       {2, Action::Loads},
							       {4, Action::HotKeys},
							       {1, Action::ToggleLoads}})),
		rc::gen::set(&Step::arg, rc::gen::inRange<uint32_t>(0, 1000000)));
}

struct Ownership {
	uint32_t upstream;
	uint64_t epoch;
	bool hot;
};

class World
{
      public:
	explicit World(uint32_t seed)
	{
		rnd_seed(&rnd_, seed);
		for (uint32_t i = 0; i < 5; i++)
			add_upstream();
		for (uint32_t p = 0; p < n_partitions; p++)
			served_[p] = seed % 3 != 0 || rnd_below(&rnd_, 2) == 0;
		for (size_t i = 0; i < n_key_hashes; i++)
			key_hashes_.push_back(rnd_u64(&rnd_));
		change_loads();
		opts_ = assign_defaults;
		opts_.max_balancing_moves = 1 + seed % 8;
		opts_.max_hot_keys = 10;
	}
	~World()
	{
		assign_free(current_);
	}
	World(const World &) = delete;
	World &operator=(const World &) = delete;

	void step(const Step &s)
	{
		bool loss = false;

		switch (s.action) {
		case Action::Lose:
			loss = ups_[s.arg % ups_.size()].usable;
			ups_[s.arg % ups_.size()].usable = false;
			break;
		case Action::Return:
			ups_[s.arg % ups_.size()].usable = true;
			break;
		case Action::Add:
			if (ups_.size() < max_upstreams)
				add_upstream();
			break;
		case Action::Loads:
			change_loads();
			break;
		case Action::HotKeys:
			change_hot_keys(s.arg);
			break;
		case Action::ToggleLoads:
			loads_observed_ = !loads_observed_;
			break;
		}
		plan_and_check(loss);
		for (uint32_t i = 0; i < s.arg % 4; i++)
			plan_and_check(false);
	}

	/* Guards against planning that moves keys in every call although nothing changes. */
	void plan_until_stable()
	{
		for (size_t i = 0; i < max_stable_calls; i++) {
			if (plan_and_check(false) == 0) {
				RC_ASSERT(plan_and_check(false) == 0u);
				return;
			}
		}
		RC_FAIL("planning without change does not come to an end");
	}

      private:
	void add_upstream()
	{
		uint32_t num = static_cast<uint32_t>(ups_.size()) + 1;

		ups_.push_back({num, 1 + static_cast<uint32_t>(rnd_below(&rnd_, 4)), true});
	}

	void change_loads()
	{
		for (auto &load : base_loads_)
			load = rnd_below(&rnd_, 5) ? 1 + 9 * rnd_unit(&rnd_) : 0;
		change_hot_keys(0);
	}

	void change_hot_keys(uint32_t arg)
	{
		double hottest_load = 10.0 * (arg % 30);

		keys_.clear();
		loads_ = base_loads_;
		std::set<uint64_t> seen;
		for (size_t i = 0; i < max_tracked_keys; i++) {
			uint64_t hash = key_hashes_[rnd_below(&rnd_, key_hashes_.size())];
			uint32_t p = config_hash_partition(hash, n_partitions);
			double load = hottest_load / (1.0 + static_cast<double>(i));

			if (!seen.insert(hash).second)
				continue;
			keys_.push_back({hash, p, load});
			loads_[p] += load;
		}
	}

	bool usable(uint32_t num) const
	{
		return num >= 1 && num <= ups_.size() && ups_[num - 1].usable;
	}

	bool any_usable() const
	{
		for (const auto &u : ups_)
			if (u.usable)
				return true;
		return false;
	}

	Ownership key_owner(const Bc__Assign *a, uint64_t hash) const
	{
		assign_owner o = assign_lookup(a, config_hash_partition(hash, n_partitions), hash);

		return {o.upstream, o.epoch, o.hot};
	}

	static Ownership partition_owner(const Bc__Assign *a, uint32_t partition)
	{
		for (size_t i = 0; a && i < a->n_owners; i++)
			if (a->owners[i]->partition == partition)
				return {a->owners[i]->upstream, a->owners[i]->epoch, false};
		return {0, 0, false};
	}

	static Ownership hot_owner(const Bc__Assign *a, uint64_t hash)
	{
		for (size_t i = 0; a && i < a->n_hot; i++)
			if (a->hot[i]->key_hash == hash)
				return {a->hot[i]->upstream, a->hot[i]->epoch, true};
		return {0, 0, false};
	}

	size_t plan_and_check(bool loss)
	{
		std::vector<assign_move> moves(n_partitions + n_key_hashes);
		assign_loads loads = {loads_.data(), keys_.data(), keys_.size()};
		assign_loads no_loads = {nullptr, nullptr, 0};
		size_t n = assign_plan(current_, served_, n_partitions, ups_.data(), ups_.size(),
				       loads_observed_ ? &loads : &no_loads, &opts_, moves.data(),
				       moves.size());

		moves.resize(n);
		check_moves(moves, loss);
		if (n > 0) {
			Bc__Assign *next =
				assign_apply(current_, "r", "s", moves.data(), moves.size());

			/* A failed assertion throws; both documents must be freed then too. */
			std::unique_ptr<Bc__Assign, void (*)(Bc__Assign *)> guard(next,
										  assign_free);

			check_epochs(next);
			assign_free(current_);
			current_ = guard.release();
		}
		check_owners();
		return n;
	}

	/* Guards against forced moves of keys whose owner is usable, and against more balancing
	 * moves than allowed. */
	void check_moves(const std::vector<assign_move> &moves, bool loss) const
	{
		size_t forced = 0;
		size_t balancing = 0;
		std::set<std::pair<bool, uint64_t>> seen;

		for (const auto &m : moves) {
			bool hot = m.unit != ASSIGN_PARTITION;
			Ownership old = hot ? key_owner(current_, m.key_hash)
					    : partition_owner(current_, m.partition);

			RC_ASSERT(seen.insert({hot, hot ? m.key_hash : m.partition}).second);
			RC_ASSERT(m.from == old.upstream);
			if (served_[m.partition])
				RC_ASSERT(usable(m.to));
			else
				RC_ASSERT(m.to == 0u);
			if (m.forced) {
				RC_ASSERT(balancing == 0u);
				RC_ASSERT(!usable(m.from) || !served_[m.partition]);
				forced++;
			} else {
				RC_ASSERT(usable(m.from));
				balancing++;
			}
		}
		RC_ASSERT(balancing <= opts_.max_balancing_moves);
		/* A loss may cause balancing moves of at most 0.1 times the forced moves. */
		if (forced > 0)
			RC_ASSERT(static_cast<double>(balancing) <=
				  0.1 * static_cast<double>(forced));
		if (loss && loads_observed_)
			check_loss(moves);
	}

	double unit_load(const assign_move &m) const
	{
		double load = m.unit == ASSIGN_PARTITION ? loads_[m.partition] : 0;

		for (const auto &k : keys_) {
			if (m.unit == ASSIGN_PARTITION) {
				if (k.partition == m.partition &&
				    hot_owner(current_, k.key_hash).upstream)
					load -= k.load;
			} else if (k.key_hash == m.key_hash) {
				load += k.load;
			}
		}
		return load;
	}

	/* Guards against the loss of an upstream moving more than 1.1 times the lost load. */
	void check_loss(const std::vector<assign_move> &moves) const
	{
		double lost = 0;
		double changed = 0;
		double idle_load = 0;

		for (double load : loads_)
			idle_load += 0.01 * load / n_partitions;
		for (const auto &m : moves) {
			double load = unit_load(m) + (m.unit == ASSIGN_PARTITION ? idle_load : 0);

			changed += load;
			lost += m.forced ? load : 0;
		}
		RC_ASSERT(changed <= 1.1 * lost + 1e-9);
	}

	/*
	 * Guards against accepting a request that was sent under an earlier epoch after its key has
	 * moved. Checks the epoch of each partition and of each key, also across splits and merges.
	 */
	void check_epochs(const Bc__Assign *next) const
	{
		RC_ASSERT(next->version == (current_ ? current_->version : 0) + 1);
		for (uint32_t p = 0; p < n_partitions; p++) {
			Ownership old = partition_owner(current_, p);
			Ownership now = partition_owner(next, p);

			RC_ASSERT(now.epoch >= old.epoch);
			if (now.upstream != old.upstream)
				RC_ASSERT(now.epoch > old.epoch);
		}
		for (uint64_t hash : key_hashes_) {
			Ownership old = key_owner(current_, hash);
			Ownership now = key_owner(next, hash);
			Ownership of_partition =
				partition_owner(next, config_hash_partition(hash, n_partitions));

			RC_ASSERT(now.epoch >= old.epoch);
			if (now.upstream == old.upstream)
				continue;
			RC_ASSERT(now.epoch > old.epoch);
			/* The owner of the partition must not accept requests for the key under
			 * the epoch before the split. */
			if (!old.hot && now.hot && of_partition.upstream == old.upstream)
				RC_ASSERT(of_partition.epoch > old.epoch);
		}
	}

	/* Guards against units with two owners, without an owner, or with an unusable owner. */
	void check_owners() const
	{
		std::set<uint32_t> seen;
		std::set<uint64_t> seen_hot;

		if (!any_usable() || !current_)
			return;
		for (size_t i = 0; i < current_->n_owners; i++) {
			const Bc__Owner *o = current_->owners[i];

			RC_ASSERT(seen.insert(o->partition).second);
			RC_ASSERT((served_[o->partition] ? usable(o->upstream) : o->upstream == 0));
		}
		for (uint32_t p = 0; p < n_partitions; p++)
			RC_ASSERT((!served_[p] || seen.count(p) == 1));
		for (size_t i = 0; i < current_->n_hot; i++) {
			RC_ASSERT(seen_hot.insert(current_->hot[i]->key_hash).second);
			RC_ASSERT(usable(current_->hot[i]->upstream));
		}
		RC_ASSERT(current_->n_hot <= opts_.max_hot_keys);
	}

	rnd rnd_;
	std::vector<assign_upstream> ups_;
	bool served_[n_partitions];
	std::vector<uint64_t> key_hashes_;
	std::vector<double> base_loads_ = std::vector<double>(n_partitions, 1.0);
	std::vector<double> loads_;
	std::vector<assign_key_load> keys_;
	bool loads_observed_ = true;
	assign_options opts_;
	Bc__Assign *current_ = nullptr;
};

bool run()
{
	return rc::check("owners, epochs and moves stay right under losses and load changes", [] {
		auto seed = *rc::gen::inRange<uint32_t>(0, 1000000);
		auto steps = *rc::gen::container<std::vector<Step>>(step_gen());
		World w(seed);

		for (const auto &s : steps)
			w.step(s);
		w.plan_until_stable();
	});
}

const char *const mutants[] = {
	"assign_reshuffle",	    "assign_forget_hot",	"assign_no_budget",
	"assign_any_move",	    "assign_second_owner",	"assign_keep_epoch",
	"assign_split_keeps_epoch", "assign_merge_keeps_epoch", nullptr,
};

} // namespace

int main(int argc, char **argv)
{
	const char *params = getenv("RC_PARAMS");
	std::string all = std::string(params ? params : "") + " max_success=400";

	setenv("RC_PARAMS", all.c_str(), 1);
	return prop_main(argc, argv, mutants, run);
}
