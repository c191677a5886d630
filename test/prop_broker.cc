/*
 * Properties of the broker under random schedules of operations. 2,000 schedules of up to 300
 * operations are run for the main property (about half of them with a keyed service) and 2,000
 * cases of each of the others. Time advances in steps of 1 ms, so that each decision is taken in
 * the millisecond in which it is due.
 *
 * The model keeps its own account of slots, limits and owners, and checks each decision against it.
 * The limits of the model are upper bounds: the broker may grant fewer slots (for example after
 * slow answers), never more.
 */
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "test/prop.h"

extern "C" {
#include "base/rnd.h"
#include "process/broker.h"
}

namespace
{

const char *const mutants[] = {
	"broker_over_limit",	      "broker_ignore_cold",
	"broker_ignore_restart",      "broker_ignore_failure",
	"broker_return_warm",	      "broker_ramp_by_old_slots",
	"broker_ignore_slow",	      "broker_ignore_unknown",
	"broker_keep_hold",	      "broker_move_despite_unknown",
	"broker_ignore_adopted",      "broker_grant_draining",
	"broker_grant_during_move",   "broker_keep_old_queue",
	"broker_forget_overdue",      "broker_forget_split",
	"broker_free_at_send_by",     "broker_no_dedup",
	"broker_no_expiry",	      "broker_grant_after_deadline",
	"broker_cancel_ignored",      "broker_no_budget",
	"broker_hedge_early",	      "broker_hedge_twice",
	"broker_hedge_same_upstream", nullptr,
};

/* In C++, broker_request without `struct` names the function. */
using Request = struct broker_request;

const uint32_t kUpstreams = 4;
const uint32_t kPartitions = 3;
const uint32_t kKeysPerPartition = 2;
const uint64_t kNodes = 4;
const uint32_t kBurst = 10; /* retries and hedges in a full budget, see TOKEN_BURST */

struct ModelUpstream {
	broker_upstream conf;
	bool cold;
	bool removed;
	uint32_t completed; /* requests completed since the cold start */
	uint32_t cold_start_num;
};

/* A slot that was not returned. */
struct ModelSlot {
	uint64_t node;
	uint32_t upstream;
	uint32_t partition;
	uint64_t key;
	clk_ms granted_at;
	clk_ms deadline;
	clk_ms hedge_after;
	uint32_t cold_start_num;
	bool hedged;
	bool idempotent;
	bool node_failed;
	bool unknown;	  /* not reported at the takeover */
	bool this_broker; /* granted since the last takeover */
};

/* Model of a partition or of a split-off hot key. */
struct Unit {
	uint32_t upstream; /* 0: no owner */
	uint64_t epoch;
	bool moving;
	bool known;
};

class World
{
      public:
	explicit World(bool keyed, uint64_t seed)
	{
		opts = broker_defaults;
		opts.keyed = keyed;
		opts.partitions = kPartitions;
		opts.cold_step = 3; /* small, so that cold starts complete within a schedule */
		opts.max_queue = 12;
		rnd_seed(&r, seed);
		low_load = rnd_below(&r, 2);
		start_broker();
		for (uint32_t num = 1; num <= kUpstreams; num++)
			set_upstream(num, rnd_below(&r, 2) ? BROKER_WARM : BROKER_COLD);
		for (uint32_t p = 0; keyed && p < kPartitions; p++)
			set_unit(partitions[p], 1 + (uint32_t)rnd_below(&r, kUpstreams), p, 0);
	}

	~World()
	{
		broker_destroy(b);
	}

	World(const World &) = delete;
	World &operator=(const World &) = delete;

	/* Completes requests, since the broker allows hedges only after a number of answers. */
	void warm_up()
	{
		for (int i = 0; i < 60; i++) {
			add_request(false);
			advance((clk_ms)rnd_below(&r, 4));
			return_slot();
		}
	}

	void step(uint32_t word)
	{
		rnd_seed(&r, word);
		uint32_t kind = (uint32_t)rnd_below(&r, 64);

		if (kind < 22 && low_load && kind >= 12)
			opts.keyed ? move() : hedge();
		else if (kind < 22)
			add_request(low_load && rnd_below(&r, 2));
		else if (kind < 40)
			return_slot();
		else if (kind < 44 && opts.keyed)
			move();
		else if (kind < 44)
			hedge();
		else if (kind < 45)
			add_request(true);
		else if (kind < 47)
			repeat_requests();
		else if (kind < 49)
			cancel();
		else if (kind < 52)
			change_upstream();
		else if (kind < 53)
			note_cold();
		else if (kind < 57 && opts.keyed)
			move();
		else if (kind < 57)
			hedge();
		else if (kind < 58)
			remove_upstream();
		else if (kind < 59)
			node_failed();
		else if (kind < 60)
			takeover();
		else if (kind < 61)
			clear_unknown();
		else
			advance(rnd_below(&r, 4) ? 10 : 120);
		advance((clk_ms)rnd_below(&r, 4));
	}

	/* Lets all deadlines pass; each slot request must have got its decision by then. */
	void finish()
	{
		advance(600);
		CHECK(requests.empty());
		CHECK(broker_queued(b) == 0u);
	}

      private:
	broker_options opts;
	broker *b = nullptr;
	bool low_load = false; /* few slot requests, so that hedges and moves find slots */
	rnd r;
	clk_ms now = 1000;
	uint64_t next_request = 1;
	uint64_t next_node = kNodes + 1;
	uint64_t lease = 1;
	uint64_t next_epoch = 1;
	std::vector<uint64_t> nodes = {1, 2, 3, 4};
	std::map<uint32_t, ModelUpstream> upstreams;
	std::map<uint64_t, ModelSlot> slots;  /* not returned */
	std::map<uint64_t, Request> requests; /* without a decision, by id */
	std::vector<uint64_t> returned;
	Unit partitions[kPartitions] = {};
	std::map<uint64_t, Unit> hot;
	bool unknown = false;
	clk_ms unknown_until = 0;
	uint64_t granted_first = 0;
	uint64_t granted_extra = 0;

	void start_broker()
	{
		b = broker_create(&opts, lease << 32, lease);
		granted_first = 0;
		granted_extra = 0;
	}

	template <typename Map> typename Map::iterator any_of(Map &m)
	{
		auto it = m.begin();

		std::advance(it, (long)rnd_below(&r, m.size()));
		return it;
	}

	/* ---- upstreams ---- */

	void set_upstream(uint32_t num, broker_upstream_state state)
	{
		auto known = upstreams.find(num);
		broker_upstream conf = {num, 1 + (uint32_t)rnd_below(&r, 4),
					(uint32_t)rnd_below(&r, 3), state};

		if (known != upstreams.end())
			conf.slots = known->second.conf.slots;
		/* The broker takes the state of a removed upstream as given, so it must be cold. */
		if (known != upstreams.end() && known->second.removed && state == BROKER_WARM)
			conf.state = state = BROKER_COLD;
		bool was_cold = broker_reports_cold(num);

		broker_set_upstream(b, now, &conf);
		if (known == upstreams.end()) {
			upstreams[num] = {conf, state != BROKER_WARM, false, 0, 0};
			return;
		}
		ModelUpstream &u = known->second;
		bool was_in = u.conf.state == BROKER_COLD || u.conf.state == BROKER_WARM;

		u.conf = conf;
		u.removed = false;
		if ((state == BROKER_COLD && !was_cold) || !was_in)
			begin_cold_start(u);
	}

	/*
	 * Returns whether the broker has made the upstream cold, which may be before the model does
	 * (after slow answers). Setting such an upstream to COLD begins no new cold start.
	 */
	bool broker_reports_cold(uint32_t num) const
	{
		broker_load loads[kUpstreams];
		size_t n = broker_loads(b, loads, kUpstreams);

		for (size_t i = 0; i < n; i++) {
			if (loads[i].num == num)
				return loads[i].state == BROKER_COLD;
		}
		return false;
	}

	static void begin_cold_start(ModelUpstream &u)
	{
		u.cold = true;
		u.completed = 0;
		u.cold_start_num++;
	}

	uint32_t limit(const ModelUpstream &u) const
	{
		uint32_t n =
			(u.conf.cold_limit ? u.conf.cold_limit : 1) + u.completed / opts.cold_step;

		return u.cold && n < u.conf.slots ? n : u.conf.slots;
	}

	uint32_t in_use(uint32_t num, bool with_unknown) const
	{
		uint32_t n = 0;

		for (const auto &s : slots)
			n += s.second.upstream == num && (with_unknown || !s.second.unknown) &&
			     now < s.second.deadline + opts.deadline_margin;
		return n;
	}

	void change_upstream()
	{
		static const broker_upstream_state states[] = {BROKER_COLD, BROKER_WARM,
							       BROKER_WARM, BROKER_DRAINING,
							       BROKER_OUT,  BROKER_LOST};

		set_upstream(1 + (uint32_t)rnd_below(&r, kUpstreams), states[rnd_below(&r, 6)]);
	}

	/* Removes an upstream, which change_upstream() may add again later. */
	void remove_upstream()
	{
		uint32_t num = 1 + (uint32_t)rnd_below(&r, kUpstreams);
		auto u = upstreams.find(num);

		if (u == upstreams.end())
			return;
		/* The process has ended, so its slots no longer count for any key. */
		broker_remove_upstream(b, now, num);
		for (auto &s : slots) {
			if (s.second.upstream == num)
				s.second.key = 0;
		}
		u->second.conf.state = BROKER_OUT;
		u->second.removed = true;
	}

	void note_cold()
	{
		auto u = any_of(upstreams);

		broker_begin_cold_start(b, now, u->first);
		begin_cold_start(u->second);
	}

	/* ---- requests ---- */

	static uint32_t partition_of(uint64_t key)
	{
		return (uint32_t)(key % kPartitions);
	}

	void send(const Request &ask)
	{
		requests[ask.id] = ask;
		broker_request(b, now, &ask);
	}

	void add_request(bool retry)
	{
		Request ask = {};

		ask.node = nodes[rnd_below(&r, nodes.size())];
		ask.id = next_request++;
		ask.key_hash = 1 + rnd_below(&r, kPartitions * kKeysPerPartition);
		ask.partition = partition_of(ask.key_hash);
		ask.idempotent = rnd_below(&r, 4) != 0;
		ask.deadline = now + (clk_ms)rnd_below(&r, rnd_below(&r, 4) ? 100 : 400);
		ask.attempt = retry ? 1 : 0;
		/* Bursts fill the slots and the queue more often than single slot requests. */
		for (uint64_t n = low_load ? 0 : rnd_below(&r, 4); n > 0; n--) {
			send(ask);
			ask.id = next_request++;
		}
		send(ask);
	}

	void hedge()
	{
		if (slots.empty())
			return;
		auto s = any_of(slots);
		Request ask = {};

		ask.node = s->second.node;
		ask.id = next_request++;
		ask.key_hash = s->second.key;
		ask.partition = s->second.partition;
		ask.idempotent = s->second.idempotent;
		ask.deadline = s->second.deadline;
		ask.hedge_of = s->first;
		if (!s->second.node_failed && now < ask.deadline)
			send(ask);
	}

	void repeat_requests()
	{
		for (const auto &a : requests)
			broker_request(b, now, &a.second);
	}

	void cancel()
	{
		if (requests.empty())
			return;
		auto a = any_of(requests);

		broker_cancel(b, now, a->second.node, a->first);
		requests.erase(a);
	}

	/* ---- slots ---- */

	void apply_outcome(const ModelSlot &s, broker_outcome outcome)
	{
		ModelUpstream &u = upstreams.at(s.upstream);

		if (!s.this_broker && outcome == BROKER_DONE_OK)
			return;
		if (s.unknown)
			return;
		if (outcome == BROKER_DONE_OK && s.cold_start_num == u.cold_start_num) {
			u.completed++;
			if (limit(u) == u.conf.slots &&
			    (u.conf.state == BROKER_COLD || u.conf.state == BROKER_WARM))
				u.cold = false;
		}
		/* The broker may have freed the slot by then, and ignores its outcome if so. */
		if (now >= s.deadline + opts.deadline_margin)
			return;
		if (outcome == BROKER_DONE_SHED || outcome == BROKER_DONE_CONNECT ||
		    outcome == BROKER_DONE_BROKE)
			begin_cold_start(u);
	}

	/* Returns a slot, early or late, or one returned before; some are never returned. */
	void return_slot()
	{
		if (!returned.empty() && rnd_below(&r, 8) == 0) {
			broker_finish_slot(b, now, returned[rnd_below(&r, returned.size())],
					   BROKER_DONE_OK, 5);
			return;
		}
		if (slots.empty())
			return;
		auto s = any_of(slots);
		broker_outcome outcome =
			rnd_below(&r, 4) ? BROKER_DONE_OK : (broker_outcome)rnd_below(&r, 8);

		/* Slots of a member that did not report mostly stay in use past their deadlines. */
		if (s->second.node_failed || (s->second.unknown && rnd_below(&r, 8)))
			return;
		broker_finish_slot(b, now, s->first, outcome, now - s->second.granted_at);
		apply_outcome(s->second, outcome);
		returned.push_back(s->first);
		slots.erase(s);
	}

	/* Whether a request under this slot can still reach its upstream. */
	bool may_reach_upstream(const ModelSlot &s) const
	{
		return !s.node_failed || now < s.deadline;
	}

	void node_failed()
	{
		uint64_t &node = nodes[rnd_below(&r, nodes.size())];

		broker_remove_node(b, now, node);
		for (auto &s : slots)
			s.second.node_failed |= s.second.node == node;
		for (auto a = requests.begin(); a != requests.end();)
			a = a->second.node == node ? requests.erase(a) : std::next(a);
		node = next_node++;
	}

	/* ---- owners ---- */

	void set_unit(Unit &unit, uint32_t upstream, uint32_t partition, uint64_t key)
	{
		if (upstream != unit.upstream)
			unit.epoch = next_epoch++;
		unit.upstream = upstream;
		unit.moving = false;
		unit.known = true;
		set_broker_owner(unit, partition, key);
	}

	void set_broker_owner(const Unit &unit, uint32_t partition, uint64_t key)
	{
		uint32_t upstream = unit.moving ? 0 : unit.upstream;

		if (key)
			broker_set_hot_owner(b, now, key, upstream, unit.epoch);
		else
			broker_set_owner(b, now, partition, upstream, unit.epoch);
	}

	/* Starts moves, and completes moves when the broker counts no slots for the unit. */
	void move()
	{
		/* Several steps, so that moves are completed as well as started. */
		for (int i = 0; i < 4; i++)
			move_one();
	}

	void move_one()
	{
		if (rnd_below(&r, 2))
			move_hot(1 + rnd_below(&r, kPartitions * kKeysPerPartition));
		else
			move_partition((uint32_t)rnd_below(&r, kPartitions));
	}

	void move_partition(uint32_t p)
	{
		Unit &unit = partitions[p];

		if (!unit.moving) {
			unit.moving = true;
			set_broker_owner(unit, p, 0);
		} else if (broker_slots_of_partition(b, p) == 0) {
			set_unit(unit, 1 + (uint32_t)rnd_below(&r, kUpstreams), p, 0);
		}
	}

	/* Splits off, moves or merges a hot key; each begins with a stop of grants for the key. */
	void move_hot(uint64_t key)
	{
		auto h = hot.find(key);

		if (h == hot.end()) {
			hot[key] = partitions[partition_of(key)];
			hot[key].moving = true;
			set_broker_owner(hot[key], 0, key);
		} else if (!h->second.moving) {
			h->second.moving = true;
			set_broker_owner(h->second, 0, key);
		} else if (broker_slots_of_hot_key(b, key) == 0) {
			if (rnd_below(&r, 2)) {
				hot.erase(h);
				broker_clear_hot_owner(b, now, key);
			} else {
				set_unit(h->second, 1 + (uint32_t)rnd_below(&r, kUpstreams), 0,
					 key);
			}
		}
	}

	/* ---- takeover ---- */

	void takeover()
	{
		uint64_t missing_node = rnd_below(&r, 2) ? nodes[rnd_below(&r, nodes.size())] : 0;

		broker_destroy(b);
		lease++;
		start_broker();
		unknown = missing_node != 0;
		unknown_until = now;
		for (auto &u : upstreams) {
			broker_upstream conf = u.second.conf;

			if (conf.state == BROKER_WARM)
				conf.state = BROKER_COLD;
			broker_set_upstream(b, now, &conf);
			u.second = {conf, true, u.second.removed, 0, 0};
		}
		for (uint32_t p = 0; opts.keyed && p < kPartitions; p++)
			set_broker_owner(partitions[p], p, 0);
		for (auto &h : hot)
			set_broker_owner(h.second, 0, h.first);
		for (auto &s : slots)
			report(s.first, s.second, missing_node);
		if (unknown)
			broker_assume_unknown_slots(b, unknown_until);
		for (const auto &a : requests)
			broker_request(b, now, &a.second);
	}

	void report(uint64_t id, ModelSlot &s, uint64_t missing_node)
	{
		broker_slot_report slot_report = {id,	       s.node,	     s.upstream,
						  s.partition, s.granted_at, s.deadline};

		s.this_broker = false;
		s.unknown = s.node == missing_node || s.node_failed;
		unknown |= s.unknown;
		if (s.unknown && s.deadline + opts.deadline_margin > unknown_until)
			unknown_until = s.deadline + opts.deadline_margin;
		if (s.unknown)
			return;
		broker_adopt_slot(b, now, &slot_report);
	}

	/*
	 * Clears the unknown slots if each of them was returned or its member has failed. Requests
	 * of failed members may still run.
	 */
	void clear_unknown()
	{
		for (const auto &s : slots) {
			if (s.second.unknown && !s.second.node_failed)
				return;
		}
		broker_clear_unknown_slots(b, false);
	}

	/* ---- decisions ---- */

	void advance(clk_ms ms)
	{
		drain();
		for (; ms > 0; ms--) {
			now++;
			broker_tick(b, now);
			drain();
		}
	}

	void drain()
	{
		broker_decision d;

		while (broker_next_decision(b, now, &d)) {
			/* The slot request was neither decided before nor cancelled. */
			auto a = requests.find(d.ask);

			CHECK(a != requests.end());
			Request ask = a->second;

			CHECK(d.node == ask.node);
			CHECK(now <= ask.deadline);
			requests.erase(a);
			if (d.kind == BROKER_GRANT)
				check_grant(ask, d);
			else
				CHECK(d.reason != BROKER_REFUSE_NONE);
		}
		for (const auto &a : requests)
			CHECK(now < a.second.deadline);
	}

	void check_grant(const Request &ask, const broker_decision &d)
	{
		const ModelUpstream &u = upstreams.at(d.upstream);
		bool is_cold = u.cold;

		CHECK(now < ask.deadline);
		CHECK(d.send_by <= ask.deadline);
		CHECK(d.send_by <= now + opts.send_within);
		CHECK(u.conf.state == BROKER_COLD || u.conf.state == BROKER_WARM);
		CHECK(in_use(d.upstream, is_cold) < limit(u));
		CHECK(!(is_cold && unknown && now < unknown_until));
		CHECK(slots.count(d.slot) == 0u);
		if (opts.keyed)
			check_owner(ask, d);
		check_extra(ask, d);
		slots[d.slot] = {ask.node, d.upstream,	   ask.partition, ask.key_hash,
				 now,	   ask.deadline,   d.hedge_after, u.cold_start_num,
				 false,	   ask.idempotent, false,	  false,
				 true};
	}

	/* Checks that no request for the key can reach another upstream than the owner. */
	void check_owner(const Request &ask, const broker_decision &d)
	{
		auto h = hot.find(ask.key_hash);
		const Unit &unit = h != hot.end() ? h->second : partitions[ask.partition];

		CHECK(!unit.moving);
		CHECK(unit.upstream == d.upstream);
		CHECK(unit.epoch == d.epoch);
		for (const auto &s : slots) {
			if (s.second.key == ask.key_hash && may_reach_upstream(s.second))
				CHECK(s.second.upstream == d.upstream);
		}
	}

	void check_extra(const Request &ask, const broker_decision &d)
	{
		if (ask.hedge_of)
			check_hedge(ask, d);
		if (ask.hedge_of || ask.attempt > 0)
			granted_extra++;
		else
			granted_first++;
		CHECK(granted_extra * 100 <= granted_first * opts.retry_percent + kBurst * 100);
	}

	void check_hedge(const Request &ask, const broker_decision &d)
	{
		auto first = slots.find(ask.hedge_of);

		CHECK(!opts.keyed);
		CHECK(ask.idempotent);
		CHECK(first != slots.end());
		CHECK(first->second.hedge_after > 0);
		CHECK(now - first->second.granted_at >= first->second.hedge_after);
		CHECK(!first->second.hedged);
		CHECK(first->second.upstream != d.upstream);
		for (const auto &a : requests)
			CHECK(a.second.hedge_of != 0u);
		first->second.hedged = true;
	}
};

rc::Gen<std::vector<uint32_t>> schedule()
{
	auto word =
		rc::gen::resize(100, rc::gen::noShrink(rc::gen::inRange<uint32_t>(0, UINT32_MAX)));

	/* Operations are not shrunk: a failing schedule only gets shorter. */
	return rc::gen::resize(300, rc::gen::container<std::vector<uint32_t>>(word));
}

/* Sends `n` requests one after the other and returns each after `service_ms`. */
void serve(broker *b, clk_ms &now, uint64_t &id, unsigned n, clk_ms service_ms)
{
	for (; n > 0; n--) {
		Request ask = {};
		broker_decision d;

		ask.node = 1;
		ask.id = id++;
		ask.deadline = now + 2000;
		broker_request(b, now, &ask);
		CHECK(broker_next_decision(b, now, &d));
		CHECK(d.kind == BROKER_GRANT);
		now += service_ms;
		broker_finish_slot(b, now, d.slot, BROKER_DONE_OK, service_ms);
	}
}

bool run()
{
	bool ok = true;

	ok &= rc::check("limits, owners, decisions and budget hold in every schedule",
			[](bool keyed, uint64_t seed) {
				World w(keyed, seed);

				if (!keyed)
					w.warm_up();
				for (uint32_t word : *schedule())
					w.step(word);
				w.finish();
			});

	/* Guards against full load on an upstream that restarted unnoticed, with cold caches. */
	ok &= rc::check("five slow answers without load turn an upstream cold", []() {
		uint32_t slots = *rc::gen::inRange<uint32_t>(2, 9);
		clk_ms usual = *rc::gen::inRange<clk_ms>(1, 30);
		unsigned slow = *rc::gen::inRange(1, 12);
		broker_options opts = broker_defaults;
		broker *b = broker_create(&opts, 1, 1);
		broker_upstream u = {1, slots, 1, BROKER_WARM};
		broker_load load;
		clk_ms now = 1000;
		uint64_t id = 1;

		broker_set_upstream(b, now, &u);
		serve(b, now, id, 100, usual);
		serve(b, now, id, slow, usual * 3 + 1);
		CHECK(broker_loads(b, &load, 1) == 1u);
		broker_destroy(b);
		CHECK((load.limit == slots) == (slow < 5));
	});

	/*
	 * Guards against the completion of a move after a takeover while a member that did not
	 * report its slots may still send requests.
	 */
	ok &= rc::check("unknown slots count for every partition until they are cleared", []() {
		clk_ms until = *rc::gen::inRange<clk_ms>(1, 100);
		uint32_t partition = *rc::gen::inRange<uint32_t>(0, kPartitions);
		broker_options opts = broker_defaults;

		opts.keyed = true;
		opts.partitions = kPartitions;
		broker *b = broker_create(&opts, 1, 1);

		broker_assume_unknown_slots(b, until);
		broker_tick(b, until + 1);
		size_t before_clear = broker_slots_of_partition(b, partition);
		broker_clear_unknown_slots(b, false);
		broker_tick(b, until - 1);
		size_t before_until = broker_slots_of_partition(b, partition);
		broker_tick(b, until);
		size_t after = broker_slots_of_partition(b, partition);

		broker_destroy(b);
		CHECK(before_clear == 1);
		CHECK(before_until == 1);
		CHECK(after == 0);
	});

	/*
	 * Guards against a new broker that keeps cold upstreams idle for the longest deadline
	 * because one member's report came a moment after the majority's.
	 */
	ok &= rc::check("cold upstreams get grants after the last takeover report", []() {
		clk_ms late = *rc::gen::inRange<clk_ms>(1, 100);
		broker_options opts = broker_defaults;
		broker *b = broker_create(&opts, 1, 1);
		broker_upstream u = {1, 2, 1, BROKER_COLD};
		broker_decision d;
		Request ask = {};

		ask.node = 1;
		ask.id = 1;
		ask.deadline = 2000;
		broker_set_upstream(b, 0, &u);
		broker_assume_unknown_slots(b, 10000);
		broker_request(b, 0, &ask);
		bool early = broker_next_decision(b, 0, &d);
		broker_clear_unknown_slots(b, true);
		broker_tick(b, late);
		bool granted = broker_next_decision(b, late, &d) && d.kind == BROKER_GRANT;

		broker_destroy(b);
		CHECK(!early);
		CHECK(granted);
	});

	/* Guards against a broker that passes the other properties by refusing everything. */
	ok &= rc::check("with healthy upstreams every slot request is granted", []() {
		unsigned n = *rc::gen::inRange(1, 200);
		broker_options opts = broker_defaults;
		broker *b = broker_create(&opts, 1, 1);
		std::vector<std::pair<clk_ms, uint64_t>> out;
		unsigned granted = 0;
		broker_decision d;
		clk_ms now = 1000;

		for (uint32_t num = 1; num <= 3; num++) {
			broker_upstream u = {num, 2, 1, BROKER_WARM};

			broker_set_upstream(b, now, &u);
		}
		for (uint64_t id = 1; id <= n; id++) {
			Request ask = {};

			ask.node = 1;
			ask.id = id;
			ask.deadline = now + 2000;
			broker_request(b, now, &ask);
		}
		for (; granted < n && now < 3000; now++) {
			for (auto &s : out) {
				if (s.second && s.first <= now) {
					broker_finish_slot(b, now, s.second, BROKER_DONE_OK, 10);
					s.second = 0;
				}
			}
			while (broker_next_decision(b, now, &d)) {
				CHECK(d.kind == BROKER_GRANT);
				out.emplace_back(now + 10, d.slot);
				granted++;
			}
		}
		broker_destroy(b);
		CHECK(granted == n);
	});
	return ok;
}

} // namespace

int main(int argc, char **argv)
{
	std::string params = getenv("RC_PARAMS") ? getenv("RC_PARAMS") : "";

	setenv("RC_PARAMS", (params + " max_success=2000").c_str(), 1);
	return prop_main(argc, argv, mutants, run);
}
