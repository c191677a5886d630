/*
 * Tests of bulk requests over a full link between regions. The simulated load has more bulk for
 * keys owned in the other region than the link carries beside the small messages.
 */
#include <stdlib.h>
#include <string.h>

#include "process/link.h"
#include "test/unit.h"

#define GATEWAYS 42
#define RUN_MS 20000		/* simulated time */
#define LINK_BYTES_PER_MS 7500	/* 60 Mbit/s */
#define SMALL_BYTES_PER_MS 3000 /* small messages of all gateways */
#define BULK_BYTES 60000
#define BULK_EVERY_MS 10	   /* between bulk requests of all gateways */
#define SMALL_REQUEST_EVERY_MS 140 /* between slot requests of one gateway */
#define IDLE_ANSWER_MS 16	   /* time to an answer while the link is empty */
/* Time that an admission controller in another region has for its answer. */
#define CONTROLLER_TIMEOUT_MS 250
#define MAX_OPEN 64 /* unanswered slot requests of one gateway */

/* Slot request to the other region, with the time at which its answer arrives. */
struct small_request {
	clk_ms sent;
	clk_ms answered;
};

struct gateway_side {
	struct link link;
	struct small_request requests[MAX_OPEN];
	size_t n;
};

struct result {
	size_t requests;
	size_t late;	/* requests not answered within CONTROLLER_TIMEOUT_MS */
	size_t bulk;	/* bulk requests simulated, whether sent or refused */
	size_t passed;	/* bulk requests sent, not refused */
	clk_ms longest; /* longest delay by the link's queue */
};

/* Records the answers and timeouts that are due at this gateway. */
static void take_answers(struct gateway_side *g, clk_ms now, struct result *r, bool count)
{
	for (size_t i = 0; i < g->n;) {
		struct small_request *a = &g->requests[i];
		bool late = now - a->sent >= CONTROLLER_TIMEOUT_MS;

		if (now < a->answered && !late) {
			i++;
			continue;
		}
		link_record_answer(&g->link, now, now - a->sent);
		r->requests += count;
		r->late += count && late;
		*a = g->requests[--g->n];
	}
}

/* Runs the load for RUN_MS; counts from a quarter of that time on. `limited`: use link_admits(). */
static struct result simulate(size_t bulk_every, bool limited)
{
	static struct gateway_side gateways[GATEWAYS];
	struct result r = {0};
	double queue = 0;

	memset(gateways, 0, sizeof(gateways));
	for (size_t i = 0; i < GATEWAYS; i++)
		link_init(&gateways[i].link, 1);
	for (clk_ms now = 1; now <= RUN_MS; now++) {
		bool count = now > RUN_MS / 4;
		clk_ms delay = (clk_ms)(queue / LINK_BYTES_PER_MS);

		for (size_t i = 0; i < GATEWAYS; i++) {
			struct gateway_side *g = &gateways[i];

			take_answers(g, now, &r, count);
			if ((now + (clk_ms)i * 3) % SMALL_REQUEST_EVERY_MS == 0 && g->n < MAX_OPEN)
				g->requests[g->n++] = (struct small_request){
					now, now + IDLE_ANSWER_MS + 2 * delay};
		}
		if (now % (clk_ms)bulk_every == 0) {
			struct gateway_side *g = &gateways[(size_t)now / bulk_every * 5 % GATEWAYS];

			r.bulk += count;
			if (!limited || link_admits(&g->link, now, BULK_BYTES)) {
				queue += BULK_BYTES;
				r.passed += count;
			}
		}
		queue += SMALL_BYTES_PER_MS;
		queue = queue > LINK_BYTES_PER_MS ? queue - LINK_BYTES_PER_MS : 0;
		if (count && delay > r.longest)
			r.longest = delay;
	}
	return r;
}

/* Guards against bulk that delays all messages between regions until controllers time out. */
START_TEST(small_messages_pass_a_full_link)
{
	struct result without = simulate(BULK_EVERY_MS, false);
	struct result with = simulate(BULK_EVERY_MS, true);

	/* Without link_admits() bulk queued on the link makes over 90 % of the answers late. */
	ck_assert_uint_gt(without.late * 10, without.requests * 9);
	ck_assert_msg(with.late * 100 <= with.requests * 5, "%zu of %zu requests without an answer",
		      with.late, with.requests);
}
END_TEST

/* Guards against refusing more bulk than necessary: at least 80 % of the free capacity is used. */
START_TEST(full_link_is_used)
{
	struct result r = simulate(BULK_EVERY_MS, true);
	double room =
		(double)(LINK_BYTES_PER_MS - SMALL_BYTES_PER_MS) / BULK_BYTES * RUN_MS * 3 / 4;

	ck_assert_msg((double)r.passed >= room * 0.8, "%zu of %.0f passed", r.passed, room);
}
END_TEST

/* Guards against refusing bulk that the link can carry. */
START_TEST(idle_link_refuses_nothing)
{
	struct result r = simulate(20, true);

	ck_assert_uint_eq(r.passed, r.bulk);
}
END_TEST

/*
 * Guards against a gateway that refuses all bulk because controllers do not answer for another
 * reason than the link, and against refusing small requests.
 */
START_TEST(some_bulk_always_passes)
{
	struct link l;
	size_t passed = 0;

	link_init(&l, 0);
	link_record_answer(&l, 0, IDLE_ANSWER_MS);
	for (clk_ms now = 0; now < 10000; now += 10) {
		link_record_answer(&l, now, CONTROLLER_TIMEOUT_MS);
		passed += now > 1000 && link_admits(&l, now, BULK_BYTES);
		ck_assert(link_admits(&l, now, LINK_BULK_BYTES - 1));
	}
	ck_assert_uint_ge(passed, 80);
	ck_assert_uint_le(passed, 100);
}
END_TEST

static const char *const mutants[] = {"link_never_full", NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, small_messages_pass_a_full_link);
	tcase_add_test(tc, full_link_is_used);
	tcase_add_test(tc, idle_link_refuses_nothing);
	tcase_add_test(tc, some_bulk_always_passes);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "link", mutants, add_tests);
}
