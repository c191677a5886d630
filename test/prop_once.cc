/*
 * Properties of the request id records: within the window a request id is sent at most once, unless
 * the upstream did not run the request. 4,000 schedules of up to 300 operations are run in a cell
 * of 3 to 6 members. The broker and each member exchange copies and confirmations over one ordered
 * channel in each direction, with unlimited delay. Any member may become the new broker; it gets
 * the copies of n - majority + 1 members, itself included. Up to majority - 1 members lose their
 * memory.
 */
#include <rapidcheck.h>

#include <cstdlib>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "test/prop.h"

extern "C" {
#include "base/rnd.h"
#include "process/once.h"
}

namespace
{

const char *const mutants[] = {
	"once_short_window",  "once_begin_again",    "once_count_twice",  "once_clear_completed",
	"once_trust_pending", "once_last_copy_wins", "once_clear_copied", nullptr,
};

const clk_ms kWindow = 1000;
const uint64_t kIds = 3;

struct Message {
	uint64_t hash;
	once_state state; /* ONCE_ABSENT: the request did not run, remove the copy */
	clk_ms began;
	uint64_t term;
	uint64_t serial; /* of the record that was copied */
};

struct Member {
	once *table;
	bool lost;		  /* lost its memory and takes no part any more */
	std::deque<Message> to;	  /* copies of records on their way to the member */
	std::deque<Message> from; /* confirmations on their way to the broker */
};

/* A request that was sent and may have run. */
struct Sent {
	clk_ms at;
	clk_ms began;
	uint64_t term;
	bool reported;
};

class Cell
{
      public:
	explicit Cell(size_t n, uint64_t seed) : members(n)
	{
		rnd_seed(&r, seed);
		for (auto &m : members)
			m = {once_create(kWindow), false, {}, {}};
	}

	~Cell()
	{
		for (auto &m : members)
			once_destroy(m.table);
	}

	Cell(const Cell &) = delete;
	Cell &operator=(const Cell &) = delete;

	void step(uint32_t word)
	{
		rnd_seed(&r, word);
		uint64_t kind = rnd_below(&r, 40);

		if (kind < 10)
			begin_request(1 + rnd_below(&r, kIds));
		else if (kind < 18)
			deliver();
		else if (kind < 26)
			confirm();
		else if (kind < 33)
			outcome();
		else if (kind < 36)
			takeover();
		else if (kind < 37)
			lose_member();
		else if (kind < 38)
			drop_pending();
		else if (kind < 39)
			late_report();
		else
			now += (clk_ms)rnd_below(&r, kWindow / 2);
		now += (clk_ms)rnd_below(&r, 5);
		once_tick(members[broker].table, now);
	}

      private:
	rnd r;
	clk_ms now = 10000;
	std::vector<Member> members;
	size_t broker = 0;
	uint64_t term = 1;
	size_t lost = 0;
	std::map<uint64_t, uint64_t> serial;
	std::map<uint64_t, clk_ms> pending; /* start of this broker's requests without a majority */
	std::map<uint64_t, std::vector<Sent>> sent;

	uint32_t majority() const
	{
		return (uint32_t)members.size() / 2 + 1;
	}

	void send_all(uint64_t hash, once_state state, clk_ms began)
	{
		for (size_t i = 0; i < members.size(); i++) {
			if (i != broker && !members[i].lost)
				members[i].to.push_back({hash, state, began, term, serial[hash]});
		}
	}

	void begin_request(uint64_t hash)
	{
		once *table = members[broker].table;

		if (once_lookup(table, now, hash) != ONCE_ABSENT && rnd_below(&r, 4))
			return;
		/* once_begin() must also be safe for an id that has a record already. */
		bool is_new = once_lookup(table, now, hash) == ONCE_ABSENT;

		once_begin(table, now, hash, majority());
		if (is_new) {
			pending[hash] = now;
			serial[hash]++;
		}
		if (once_confirm(table, now, hash, broker))
			send(hash);
		send_all(hash, ONCE_PENDING, now);
	}

	void deliver()
	{
		size_t i = rnd_below(&r, members.size());
		Member &m = members[i];

		if (m.lost || i == broker || m.to.empty())
			return;
		Message msg = m.to.front();

		m.to.pop_front();
		if (msg.state == ONCE_ABSENT) {
			once_remove(m.table, msg.hash);
			return;
		}
		once_merge_copy(m.table, now, msg.hash, msg.state, now - msg.began);
		m.from.push_back(msg);
	}

	/* Delivers a confirmation to the broker, and may leave it in the channel as a duplicate. */
	void confirm()
	{
		size_t i = rnd_below(&r, members.size());
		Member &m = members[i];

		if (m.lost || i == broker || m.from.empty())
			return;
		Message msg = m.from.front();

		if (rnd_below(&r, 2))
			m.from.pop_front();
		/* The caller passes only confirmations of the record that was begun last. */
		if (msg.term != term || msg.state != ONCE_PENDING || msg.serial != serial[msg.hash])
			return;
		if (once_confirm(members[broker].table, now, msg.hash, i))
			send(msg.hash);
	}

	void send(uint64_t hash)
	{
		clk_ms began = pending.count(hash) ? pending[hash] : now;

		for (const auto &s : sent[hash])
			CHECK(now - s.began >= kWindow);
		sent[hash].push_back({now, began, term, false});
		pending.erase(hash);
	}

	/*
	 * Reports the outcome of any attempt, in any order. "Not run" removes the attempt;
	 * reports of an attempt after its first must not allow the request to be sent again.
	 */
	void outcome()
	{
		uint64_t hash = 1 + rnd_below(&r, kIds);
		auto &list = sent[hash];

		if (list.empty())
			return;
		size_t i = rnd_below(&r, list.size());
		bool ran = rnd_below(&r, 3) != 0;

		if (now - list[i].began >= kWindow)
			return;
		if (!ran && !list[i].reported) {
			once_set_outcome(members[broker].table, now, hash, ONCE_ABSENT);
			if (once_lookup(members[broker].table, now, hash) == ONCE_ABSENT)
				send_all(hash, ONCE_ABSENT, now);
			list.erase(list.begin() + (long)i);
			return;
		}
		once_state state = rnd_below(&r, 2) ? ONCE_COMPLETED : ONCE_UNKNOWN;

		/* Repeats an earlier attempt's "not run" after the present attempt completed. */
		if (once_lookup(members[broker].table, now, hash) == ONCE_COMPLETED &&
		    rnd_below(&r, 2))
			state = ONCE_ABSENT;
		else if (!list[i].reported)
			state = ONCE_COMPLETED;
		list[i].reported = true;
		once_set_outcome(members[broker].table, now, hash, state);
		if (state != ONCE_ABSENT)
			send_all(hash, state, list[i].began);
	}

	/* The broker drops a request whose record did not reach a majority. */
	void drop_pending()
	{
		if (pending.empty())
			return;
		uint64_t hash = pending.begin()->first;

		pending.erase(hash);
		once_set_outcome(members[broker].table, now, hash, ONCE_ABSENT);
		if (once_lookup(members[broker].table, now, hash) == ONCE_ABSENT)
			send_all(hash, ONCE_ABSENT, now);
	}

	static void collect(void *data, uint64_t hash, once_state state, clk_ms age)
	{
		auto *out = static_cast<std::vector<std::pair<uint64_t, Message>> *>(data);

		out->push_back({hash, {hash, state, age, 0, 0}});
	}

	/* Replaces the broker. Messages on their way are lost with its connections. */
	void takeover()
	{
		std::vector<size_t> alive;
		size_t needed = members.size() - majority() + 1;

		for (size_t i = 0; i < members.size(); i++) {
			members[i].to.clear();
			members[i].from.clear();
			if (!members[i].lost)
				alive.push_back(i);
		}
		broker = alive[rnd_below(&r, alive.size())];
		term++;
		pending.clear();
		size_t n_reported = 1;

		for (size_t k = 0; k < alive.size() && n_reported < needed; k++) {
			size_t i = alive[(k + rnd_below(&r, 1) + (size_t)term) % alive.size()];

			if (i == broker)
				continue;
			report(i);
			n_reported++;
		}
	}

	void report(size_t i)
	{
		std::vector<std::pair<uint64_t, Message>> copies;

		once_for_each(members[i].table, now, collect, &copies);
		for (const auto &c : copies)
			once_merge_copy(members[broker].table, now, c.first, c.second.state,
					c.second.began);
	}

	/* A member's takeover report arrives after the broker has begun records of its own. */
	void late_report()
	{
		size_t i = rnd_below(&r, members.size());

		if (!members[i].lost && i != broker)
			report(i);
	}

	void lose_member()
	{
		size_t i = rnd_below(&r, members.size());

		if (members[i].lost || lost + 1 >= majority())
			return;
		lost++;
		members[i].lost = true;
		/* If the broker itself is lost, another member takes over. */
		if (i == broker)
			takeover();
	}
};

bool run()
{
	bool ok = true;

	ok &= rc::check("copies and outcomes in any order leave the most advanced state", []() {
		static const once_state order[] = {ONCE_SENT, ONCE_UNKNOWN, ONCE_COMPLETED};
		auto ranks = *rc::gen::nonEmpty(
			rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3)));
		once *o = once_create(kWindow);
		int highest = 0;

		for (int rank : ranks) {
			highest = rank > highest ? rank : highest;
			once_merge_copy(o, 1, 7, order[rank], 0);
		}
		once_state state = once_lookup(o, 1, 7);

		once_destroy(o);
		CHECK(state == order[highest]);
	});
	/*
	 * Guards against the removal of a record under which another broker has sent a request,
	 * when this broker drops its own request with the same id.
	 */
	ok &= rc::check("a dropped request keeps a record that another broker may have used", []() {
		uint32_t needed = *rc::gen::inRange<uint32_t>(1, 5);
		once *o = once_create(kWindow);

		once_begin(o, 1, 7, needed);
		once_merge_copy(o, 2, 7, *rc::gen::element(ONCE_PENDING, ONCE_SENT), 1);
		once_set_outcome(o, 3, 7, ONCE_ABSENT);
		once_state state = once_lookup(o, 3, 7);

		once_destroy(o);
		CHECK(state == ONCE_SENT);
	});
	ok &= rc::check("a request id is never sent twice within the window", [](uint64_t seed) {
		/* Operations are not shrunk: a failing schedule only gets shorter. */
		auto word = rc::gen::resize(
			100, rc::gen::noShrink(rc::gen::inRange<uint32_t>(0, UINT32_MAX)));
		size_t n = *rc::gen::inRange<size_t>(3, 7);
		Cell cell(n, seed);

		for (uint32_t w :
		     *rc::gen::resize(300, rc::gen::container<std::vector<uint32_t>>(word)))
			cell.step(w);
	});
	return ok;
}

} // namespace

int main(int argc, char **argv)
{
	std::string params = getenv("RC_PARAMS") ? getenv("RC_PARAMS") : "";

	setenv("RC_PARAMS", (params + " max_success=4000").c_str(), 1);
	return prop_main(argc, argv, mutants, run);
}
