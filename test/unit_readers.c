/* Tests of the choice of store readers: 42 gateways of a region, and a store that fails. */
#include <stdlib.h>
#include <string.h>

#include "base/rnd.h"
#include "process/readers.h"
#include "test/unit.h"

#define GATEWAYS 42
/* Simulated time of a step: the interval of heartbeats, which report who reads and is answered. */
#define STEP_MS 200
#define LONG_AGO (-100000)

struct sim {
	struct reader_info info[GATEWAYS];
	clk_ms answered[GATEWAYS];
	clk_ms began[GATEWAYS];
	clk_ms failed[GATEWAYS]; /* when the gateway ceased to read without an answer */
	bool refused[GATEWAYS];	 /* the store does not answer the gateway */
	bool slow;		 /* the store answers no gateway in time */
	clk_ms now;
	struct readers readers;
	uint64_t nodes[GATEWAYS];
	size_t begun; /* number of gateways that started to read in this step */
	size_t begun_by[GATEWAYS];
};

static struct reader_info *find(struct sim *s, uint64_t node)
{
	for (size_t i = 0; i < GATEWAYS; i++) {
		if (s->info[i].node == node)
			return &s->info[i];
	}
	return NULL;
}

static void step(struct sim *s)
{
	struct reader_info view[GATEWAYS];

	s->now += STEP_MS;
	s->begun = 0;
	for (size_t i = 0; i < GATEWAYS; i++) {
		if (s->info[i].reads && !s->refused[i] && !s->slow)
			s->answered[i] = s->now;
		s->info[i].answer_age = s->now - s->answered[i];
		s->info[i].reading_ms = s->now - s->began[i];
		s->info[i].failed = s->failed[i] && s->now - s->failed[i] < READERS_RETRY_MS;
	}
	memcpy(view, s->info, sizeof(view));
	s->readers.nodes = s->nodes;
	readers_choose(&s->readers, view, GATEWAYS);
	for (size_t i = 0; i < s->readers.n; i++) {
		struct reader_info *p = find(s, s->readers.nodes[i]);

		if (p->reads)
			continue;
		p->reads = true;
		s->began[p - s->info] = s->now;
		s->begun++;
		s->begun_by[p - s->info]++;
	}
	for (size_t i = 0; i < GATEWAYS; i++) {
		if (!s->info[i].reads || s->readers.good < 2 ||
		    readers_has(&s->readers, s->info[i].node))
			continue;
		s->failed[i] = readers_gives_up(&s->info[i]) ? s->now : 0;
		s->info[i].reads = false;
	}
}

static size_t reading(const struct sim *s)
{
	size_t n = 0;

	for (size_t i = 0; i < GATEWAYS; i++)
		n += s->info[i].reads;
	return n;
}

static void start(struct sim *s)
{
	memset(s, 0, sizeof(*s));
	for (size_t i = 0; i < GATEWAYS; i++) {
		s->info[i].node = 1000 + i * 7;
		s->info[i].reads = true;
		s->began[i] = LONG_AGO;
		s->answered[i] = LONG_AGO;
	}
	for (int i = 0; i < 3; i++)
		step(s);
}

/* Guards against a number of calls to the store that grows with the number of gateways. */
START_TEST(few_gateways_read)
{
	static struct sim s;

	start(&s);
	ck_assert_uint_eq(reading(&s), READERS_PER_REGION);
	ck_assert_uint_eq(s.readers.good, READERS_PER_REGION);
}
END_TEST

/* Guards against not replacing a reader without answers, and against replacing it by several. */
START_TEST(late_reader_is_replaced)
{
	static struct sim s;
	struct reader_info *lost;
	size_t begun = 0;

	start(&s);
	lost = find(&s, s.readers.nodes[0]);
	s.refused[lost - s.info] = true;
	for (clk_ms t = 0; t <= READERS_ANSWER_VALID_MS + 2 * STEP_MS; t += STEP_MS) {
		step(&s);
		begun += s.begun;
	}
	ck_assert(!readers_has(&s.readers, lost->node));
	ck_assert_uint_eq(s.readers.good, READERS_PER_REGION);
	ck_assert_uint_eq(begun, 1);
}
END_TEST

/*
 * The store is silent for two readers and two thirds of the other gateways. Guards against
 * gateways without an answer that take the places of others again and again, so that the region
 * has fewer readers than it should for as long as the store is silent.
 */
START_TEST(failed_readers_leave_their_place)
{
	static struct sim s;

	start(&s);
	for (size_t i = 0; i < GATEWAYS; i++)
		s.refused[i] = i % 3 != 0 && !readers_has(&s.readers, s.info[i].node);
	s.refused[find(&s, s.readers.nodes[0]) - s.info] = true;
	s.refused[find(&s, s.readers.nodes[1]) - s.info] = true;
	for (clk_ms t = 0; t <= READERS_RETRY_MS; t += STEP_MS)
		step(&s);
	ck_assert_uint_eq(s.readers.good, READERS_PER_REGION);
	for (size_t i = 0; i < GATEWAYS; i++)
		ck_assert_uint_le(s.begun_by[i], 1);
}
END_TEST

/*
 * Guards against all gateways of a region reading the same large table at once when the store is
 * slow, which fills the link to the store. This happened after a large configuration was written.
 */
START_TEST(slow_store_is_not_overloaded)
{
	static struct sim s;

	start(&s);
	s.slow = true;
	for (clk_ms t = STEP_MS; t < READERS_ANSWER_VALID_MS + READERS_FIRST_ANSWER_MS;
	     t += STEP_MS)
		step(&s);
	ck_assert_uint_le(reading(&s), 2 * READERS_PER_REGION);
	s.slow = false;
	for (int i = 0; i < 3; i++)
		step(&s);
	ck_assert_uint_eq(reading(&s), READERS_PER_REGION);
}
END_TEST

/* Guards against a region without updates although the store answers one of its gateways. */
START_TEST(only_answered_gateway_is_found)
{
	for (size_t good = 0; good < GATEWAYS; good++) {
		static struct sim s;

		start(&s);
		for (size_t i = 0; i < GATEWAYS; i++)
			s.refused[i] = i != good;
		/* By then 4, 8, 16, 32 and finally all gateways have tried to read. */
		for (clk_ms t = 0;
		     t <= READERS_ANSWER_VALID_MS + 5 * (READERS_FIRST_ANSWER_MS + STEP_MS);
		     t += STEP_MS)
			step(&s);
		ck_assert_uint_eq(s.readers.good, 1);
	}
}
END_TEST

/* Guards against trusting a reader that the store has not answered yet. */
START_TEST(new_reader_is_not_trusted)
{
	struct reader_info p = {1, true, READERS_ANSWER_VALID_MS, 0, false};
	uint64_t node;
	struct readers r = {.nodes = &node};

	readers_choose(&r, &p, 1);
	ck_assert_uint_eq(r.n, 1);
	ck_assert_uint_eq(r.good, 0);
	ck_assert_uint_eq(readers_source_of(&r, 2), 0);
	p.answer_age = 0;
	readers_choose(&r, &p, 1);
	ck_assert_uint_eq(readers_source_of(&r, 2), 1);
}
END_TEST

static const char *const mutants[] = {"readers_all_at_once", "readers_forget_failed", NULL};

/*
 * The store stops answering a third of the gateways, as happened when a configuration was written
 * at the same time. Guards against a region whose readers are often all among them: its gateways
 * get the configuration only after others have begun to read. Bound: 2 of 100 times.
 */
START_TEST(a_third_without_store_rarely_takes_all_readers)
{
	enum { DRAWS = 2000 };
	struct reader_info gateways[GATEWAYS];
	uint64_t nodes[GATEWAYS];
	size_t lost = 0;
	struct rnd rnd;

	rnd_seed(&rnd, 7);
	for (size_t draw = 0; draw < DRAWS; draw++) {
		struct readers r = {.nodes = nodes};
		size_t silent = 0;

		for (size_t i = 0; i < GATEWAYS; i++)
			gateways[i] = (struct reader_info){.node = rnd_u64(&rnd)};
		readers_choose(&r, gateways, GATEWAYS);
		for (size_t i = 0; i < r.n; i++)
			silent += rnd_below(&rnd, 3) == 0;
		lost += silent == r.n;
	}
	ck_assert_uint_le(lost * 100, 2 * DRAWS);
}
END_TEST

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, few_gateways_read);
	tcase_add_test(tc, a_third_without_store_rarely_takes_all_readers);
	tcase_add_test(tc, late_reader_is_replaced);
	tcase_add_test(tc, failed_readers_leave_their_place);
	tcase_add_test(tc, slow_store_is_not_overloaded);
	tcase_add_test(tc, only_answered_gateway_is_found);
	tcase_add_test(tc, new_reader_is_not_trusted);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "readers", mutants, add_tests);
}
