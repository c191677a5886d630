/*
 * Compares the membership rules of a cell with a model that is written from the design, not from
 * the code. Each property runs 100 RapidCheck cases of RUNS_PER_CASE random situations or sequences
 * of changes, so 5,000 for each property.
 */
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

extern "C" {
#include "base/mutant.h"
#include "base/rnd.h"
#include "version/member.h"
}
#include "prop.h"

namespace
{

const int RUNS_PER_CASE = 50;
const clk_ms LEASE_MS = 800;
const clk_ms TIMEOUT_MS = 1500;
const clk_ms JOIN_MS = 1000;
const clk_ms RECENT_MS = 500;

typedef std::pair<std::string, std::string> Process; /* id and incarnation */

/* A Bc__Cell together with the members and strings that it points to. */
class CellDoc
{
      public:
	CellDoc(uint64_t version, const std::vector<Process> &members,
		const std::vector<Process> &previous)
	{
		fill(members, member_ptrs_);
		fill(previous, previous_ptrs_);
		cell = BC__CELL__INIT;
		cell.version = version;
		cell.n_members = member_ptrs_.size();
		cell.members = member_ptrs_.data();
		cell.n_previous = previous_ptrs_.size();
		cell.previous = previous_ptrs_.data();
	}
	CellDoc(const CellDoc &) = delete;

	Bc__Cell cell;

      private:
	std::deque<Process> names_;
	std::deque<Bc__Member> storage_;
	std::vector<Bc__Member *> member_ptrs_, previous_ptrs_;

	void fill(const std::vector<Process> &processes, std::vector<Bc__Member *> &ptrs)
	{
		for (const auto &process : processes) {
			Bc__Member m = BC__MEMBER__INIT;

			names_.push_back(process);
			m.id = &names_.back().first[0];
			m.incarnation = &names_.back().second[0];
			storage_.push_back(m);
			ptrs.push_back(&storage_.back());
		}
	}
};

class Random
{
      public:
	Random(uint64_t seed)
	{
		rnd_seed(&state_, seed);
	}
	uint64_t below(uint64_t n)
	{
		return rnd_below(&state_, n);
	}
	bool chance(double p)
	{
		return rnd_unit(&state_) < p;
	}
	/* Returns processes with distinct ids, each with one of two incarnations. */
	std::vector<Process> processes(size_t max)
	{
		std::vector<Process> out;

		for (size_t i = 0; i < max; i++) {
			if (chance(0.6))
				out.push_back({"r" + std::to_string(i), chance(0.7) ? "a" : "b"});
		}
		return out;
	}

      private:
	struct rnd state_;
};

template <typename Run> bool check_many(const std::string &name, Run run)
{
	return rc::check(name, [=] {
		const auto seed = *rc::gen::arbitrary<uint64_t>();

		for (int k = 0; k < RUNS_PER_CASE; k++)
			run(Random(rnd_mix(seed, (uint64_t)k)));
	});
}

uint64_t number(const Process &process)
{
	return member_node_number(process.first.c_str(), process.second.c_str());
}

/* Guards against two disjoint majorities, for example half and half of an even cell. */
bool majorities_overlap()
{
	return check_many("two majorities share a member", [](Random rnd) {
		size_t n = 1 + rnd.below(64);

		RC_ASSERT(member_majority(n) * 2 > n);
		RC_ASSERT(member_majority(n) <= n);
		RC_ASSERT((member_majority(n) - 1) * 2 <= n);
	});
}

/* Guards against two incarnations with one node number, and against number 0, which means none. */
bool numbers_differ()
{
	return check_many("each incarnation has its own number", [](Random rnd) {
		std::set<uint64_t> seen;

		for (int i = 0; i < 20; i++) {
			for (int k = 0; k < 5; k++) {
				uint64_t n = number({"r" + std::to_string(i), std::to_string(k)});

				RC_ASSERT(n != 0u);
				RC_ASSERT(seen.insert(n).second);
			}
		}
		RC_ASSERT(number({"a", "bc"}) != number({"ab", "c"}));
		RC_ASSERT(number({"a", "b"}) != number({"b", "a"}));
	});
}

/*
 * Guards against a version that takes effect while a majority of the previous version can still
 * confirm, or before the last lease under that version has expired. Reports arrive one by one.
 */
bool activation_waits()
{
	return check_many("a version takes effect only after the one before ended", [](Random rnd) {
		const uint64_t version = 10;
		std::vector<Process> previous = rnd.processes(9);
		std::vector<Process> members = rnd.processes(9);

		/* Half of the versions differ by one, two or no changes. */
		if (rnd.chance(0.5)) {
			members = previous;
			for (uint64_t changes = rnd.below(3); changes > 0; changes--) {
				if (!members.empty() && rnd.chance(0.5))
					members.erase(members.begin() +
						      (long)rnd.below(members.size()));
				else
					members.push_back({"n" + std::to_string(changes), "a"});
			}
		}
		size_t changes = 0;
		for (const auto &m : members)
			changes += std::find(previous.begin(), previous.end(), m) == previous.end();
		for (const auto &m : previous)
			changes += std::find(members.begin(), members.end(), m) == members.end();
		CellDoc doc(version, members, previous);
		std::map<uint64_t, struct member_status> known;
		struct member_transition transition = {0};
		clk_ms now = 1 + (clk_ms)rnd.below(1000);
		clk_ms since = -1;

		for (int step = 0; step < 60; step++) {
			std::vector<struct member_status> seen;
			size_t cannot_confirm = 0;

			now += (clk_ms)rnd.below(120);
			std::vector<Process> all = previous;
			all.insert(all.end(), members.begin(), members.end());
			if (!all.empty() && rnd.chance(0.4)) {
				uint64_t node = number(all[rnd.below(all.size())]);
				struct member_status &s = known[node];

				s.node = node;
				s.cell_version = std::max<uint64_t>(s.cell_version,
								    version - 1 + rnd.below(3));
				s.ended |= rnd.chance(0.1);
			}
			for (const auto &entry : known)
				seen.push_back(entry.second);
			for (const auto &p : previous) {
				auto it = known.find(number(p));
				bool knows_or_ended =
					it != known.end() &&
					(it->second.ended || it->second.cell_version >= version);
				bool replaced = std::any_of(
					members.begin(), members.end(), [&](const Process &m) {
						return m.first == p.first && m.second != p.second;
					});

				cannot_confirm += knows_or_ended || replaced;
			}
			/*
			 * The members that can still confirm must be fewer than a majority (n / 2 +
			 * 1).
			 */
			if (since < 0 && previous.size() - cannot_confirm < previous.size() / 2 + 1)
				since = now;
			bool previous_ended =
				previous.empty() || (since >= 0 && now - since >= LEASE_MS);
			bool next = member_may_write_next(&transition, now, LEASE_MS, &doc.cell,
							  seen.data(), seen.size());
			bool active = member_may_activate(&transition, now, LEASE_MS, &doc.cell,
							  seen.data(), seen.size());

			RC_ASSERT(member_is_single_change(&doc.cell) == (changes <= 1));
			RC_ASSERT(active == (previous_ended || changes <= 1));
			RC_ASSERT(next == previous_ended);
		}
	});
}

struct Situation {
	std::vector<Process> members;
	std::vector<Process> processes;
	std::vector<struct member_candidate> candidates;

	Situation(Random &rnd) : members(rnd.processes(8))
	{
		processes = members;
		for (const auto &process : rnd.processes(10)) {
			if (std::find(processes.begin(), processes.end(), process) ==
			    processes.end())
				processes.push_back(process);
		}
		double trouble = rnd.chance(0.5) ? 0.1 : 0.5;
		for (const auto &process : processes) {
			struct member_candidate c = {};

			c.id = process.first.c_str();
			c.incarnation = process.second.c_str();
			c.last_message_age = (clk_ms)rnd.below(rnd.chance(0.5) ? 3 : 900);
			c.known_for = c.last_message_age + (clk_ms)rnd.below(5000);
			c.connected = !rnd.chance(trouble);
			if (!c.connected)
				c.last_message_age = 1000 + (clk_ms)rnd.below(4000);
			c.ended = !c.connected && rnd.chance(0.3);
			c.draining = rnd.chance(trouble / 3);
			candidates.push_back(c);
		}
	}
	Situation(const Situation &) = delete;

	bool is_member(size_t i) const
	{
		return std::find(members.begin(), members.end(), processes[i]) != members.end();
	}
	/*
	 * Whether another incarnation sent the newer last message; at equal times a member stays.
	 */
	bool is_replaced(size_t i) const
	{
		for (size_t j = 0; j < processes.size(); j++) {
			if (j == i || processes[j].first != processes[i].first ||
			    !candidates[j].connected)
				continue;
			if (std::make_tuple(candidates[j].last_message_age, !is_member(j), j) <
			    std::make_tuple(candidates[i].last_message_age, !is_member(i), i))
				return true;
		}
		return false;
	}
};

/*
 * Guards against members that stay although they have ended, timed out or been replaced, against
 * draining members that are removed, against routers that do not join or join too early, against
 * versions with more than one change, and against a proposal by a minority or of an empty cell.
 */
bool proposals_follow_rules()
{
	return check_many("proposed members follow the rules", [](Random rnd) {
		Situation s(rnd);
		CellDoc doc(4, s.members, {});
		size_t n = s.candidates.size();
		std::unique_ptr<bool[]> keep(new bool[n + 1]);
		std::vector<bool> expected(n);
		std::vector<int> order(
			n); /* of the change: the lowest is proposed first, 0: no change */
		size_t kept = 0, reached = 0, staying = 0, recent = 0;
		size_t present = s.members.size();
		bool differs = false;

		for (size_t i = 0; i < n; i++) {
			const struct member_candidate &c = s.candidates[i];

			if (!s.is_member(i))
				continue;
			expected[i] =
				!c.ended && c.last_message_age < TIMEOUT_MS && !s.is_replaced(i);
			order[i] = expected[i]			      ? 0
				   : c.ended			      ? 1
				   : c.last_message_age >= TIMEOUT_MS ? 2
								      : 3;
			reached += c.connected || c.ended || s.is_replaced(i);
			staying += expected[i];
			recent += expected[i] && c.last_message_age < RECENT_MS;
		}
		/*
		 * If a lease can still be held after one removal, one change is proposed at a time.
		 */
		bool single = present > 0 && staying > (present - 1) / 2;
		for (size_t i = 0; i < n; i++) {
			const struct member_candidate &c = s.candidates[i];
			bool ready = present == 0 ||
				     (c.known_for >= JOIN_MS && c.last_message_age < RECENT_MS);

			if (!s.is_member(i)) {
				expected[i] =
					c.connected && !c.ended && !c.draining && ready &&
					!s.is_replaced(i) &&
					(!single || present == 1 || recent > (present + 1) / 2);
				order[i] = expected[i] ? 4 : 0;
			}
			kept += expected[i];
			differs |= order[i] != 0;
		}
		if (single && differs) {
			size_t at = n;

			for (size_t i = 0; i < n; i++) {
				if (order[i] && (at == n || order[i] < order[at]))
					at = i;
			}
			for (size_t i = 0; i < n; i++) {
				if (i != at)
					expected[i] = s.is_member(i);
			}
		}
		/* The members that are not reached must be fewer than a majority. */
		bool allowed =
			s.members.empty() || s.members.size() - reached < s.members.size() / 2 + 1;
		bool proposed = member_propose(&doc.cell, s.candidates.data(), n, keep.get());

		RC_ASSERT(proposed == (differs && kept > 0 && allowed));
		for (size_t i = 0; i < n; i++)
			RC_ASSERT(keep[i] == (proposed ? expected[i] : s.is_member(i)));
	});
}

/* Guards against an endless sequence of proposals while the candidates stay the same. */
bool proposals_settle()
{
	return check_many("accepted proposals come to an end", [](Random rnd) {
		Situation s(rnd);
		size_t n = s.candidates.size();
		std::unique_ptr<bool[]> keep(new bool[n + 1]);
		std::vector<Process> members = s.members;
		size_t changes = 0;

		for (;;) {
			CellDoc doc(4, members, {});
			std::vector<Process> next;

			if (!member_propose(&doc.cell, s.candidates.data(), n, keep.get()))
				break;
			for (size_t i = 0; i < n; i++) {
				if (keep[i])
					next.push_back(s.processes[i]);
			}
			RC_ASSERT(!next.empty());
			RC_ASSERT(next != members);
			members = next;
			/* Each candidate joins or leaves at most once. */
			RC_ASSERT(++changes <= n);
		}
	});
}

/* Guards against a first cell that is never proposed, and against two members with one id. */
bool first_cell()
{
	return check_many("the first cell has each connected router once", [](Random rnd) {
		Situation s(rnd);
		size_t n = s.candidates.size();
		std::unique_ptr<bool[]> keep(new bool[n + 1]);
		std::set<std::string> ids, joined;

		for (size_t i = 0; i < n; i++) {
			const struct member_candidate &c = s.candidates[i];

			if (c.connected && !c.ended && !c.draining)
				ids.insert(c.id);
		}
		bool proposed = member_propose(nullptr, s.candidates.data(), n, keep.get());
		for (size_t i = 0; i < n; i++) {
			if (!keep[i])
				continue;
			RC_ASSERT(s.candidates[i].connected);
			RC_ASSERT(joined.insert(s.candidates[i].id).second);
		}
		RC_ASSERT(proposed == !joined.empty());
		for (const auto &id : joined)
			RC_ASSERT(ids.count(id) == 1u);
	});
}

/* Guards against removing a member that the caller did not list as a candidate. */
bool unlisted_member_stays()
{
	return check_many("a member that is not listed is not dropped", [](Random rnd) {
		Situation s(rnd);
		CellDoc doc(4, s.members, {});
		size_t n = s.candidates.size();
		std::unique_ptr<bool[]> keep(new bool[n + 1]);

		/* The list begins with the members, so this leaves out a member. */
		if (s.members.empty())
			return;
		RC_ASSERT(!member_propose(&doc.cell, s.candidates.data() + 1, n - 1, keep.get()));
	});
}

bool run()
{
	bool ok = majorities_overlap();

	ok = numbers_differ() && ok;
	ok = activation_waits() && ok;
	ok = proposals_follow_rules() && ok;
	ok = proposals_settle() && ok;
	ok = first_cell() && ok;
	return unlisted_member_stays() && ok;
}

const char *const mutants[] = {
	"minority_as_majority",	      "version_at_once",
	"version_without_lease_time", "new_members_counted",
	"gone_member_kept",	      "silent_member_kept",
	"minority_proposes",	      "empty_cell_proposed",
	"two_member_change_single",   "single_change_waits",
	"next_version_at_once",	      "draining_member_removed",
	"unready_member_joins",	      "addition_raises_majority",
	"all_changes_at_once",	      nullptr,
};

} // namespace

int main(int argc, char **argv)
{
	return prop_main(argc, argv, mutants, run);
}
