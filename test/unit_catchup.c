/* Tests of when missing rows are requested from peers. */
#include "process/catchup.h"
#include "test/unit.h"

#define HUBS 12
#define HEARTBEAT_MS 400
#define WAIT_MS 500

/* Peers that report in turn; the first `ahead` of them have the row with version 20. */
struct sim {
	struct catchup catchup;
	uint64_t known[META_TABLES];
	size_t ahead;
	clk_ms now;
};

/* Runs for `duration`; returns whether the rows of the configuration were requested. */
static bool run(struct sim *s, clk_ms duration)
{
	clk_ms end = s->now + duration;

	for (; s->now < end; s->now++) {
		size_t hub = (size_t)(s->now % HEARTBEAT_MS);
		struct catchup_report report = {
			.table = META_CONFIG,
			.known = s->known[META_CONFIG],
			.peer = hub < s->ahead ? 20 : 10,
		};

		if (hub < HUBS && catchup_heard(&s->catchup, &report, WAIT_MS, s->now))
			return true;
	}
	return false;
}

/*
 * The store is silent for a third of the gateways, among them the reader that sends changes to this
 * gateway; one of twelve hubs has the new configuration. Guards against a gateway that stays behind
 * since the other hubs are as far behind as itself.
 */
START_TEST(rows_of_one_hub_are_requested)
{
	struct sim s = {.known = {[META_CONFIG] = 10}, .ahead = 1, .now = 1};

	ck_assert(run(&s, WAIT_MS + 2 * HEARTBEAT_MS));
}
END_TEST

/* Guards against requests while the reader's own message is on its way, or when nobody is ahead. */
START_TEST(rows_on_their_way_are_not_requested)
{
	struct sim s = {.known = {[META_CONFIG] = 10}, .ahead = 3, .now = 1};

	ck_assert(!run(&s, WAIT_MS - 1));
	s.known[META_CONFIG] = 20;
	catchup_updated(&s.catchup, META_CONFIG);
	ck_assert(!run(&s, 10 * HEARTBEAT_MS));
}
END_TEST

/* Guards against changes of upstreams, which are frequent, that hide a missing configuration. */
START_TEST(changes_of_another_table_do_not_count)
{
	struct sim s = {.known = {[META_CONFIG] = 10}, .ahead = 1, .now = 1};

	ck_assert(!run(&s, WAIT_MS - 1));
	catchup_updated(&s.catchup, META_UPSTREAMS);
	ck_assert(run(&s, 2 * HEARTBEAT_MS));
}
END_TEST

static const char *const mutants[] = {"catchup_reset_by_any", NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, rows_of_one_hub_are_requested);
	tcase_add_test(tc, rows_on_their_way_are_not_requested);
	tcase_add_test(tc, changes_of_another_table_do_not_count);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "catchup", mutants, add_tests);
}
