/* Majority lease of two members: the effect of a renewal that arrives after the lease's release. */
#include "unit.h"

#include "process/lease.h"

#define NODE_A 1
#define NODE_B 2
#define START 10000

static const uint64_t members[] = {NODE_A, NODE_B};

static struct lease *create_lease(uint64_t self)
{
	struct lease *l = lease_create(&lease_defaults, self, 7, START - 2 * 800);

	lease_set_members(l, START - 800, 1, members, 2);
	return l;
}

/* Ticks `holder` until it obtains the lease with the confirmation of `other`; returns that time. */
static clk_ms obtain(struct lease *holder, struct lease *other, uint64_t self, uint64_t other_node)
{
	struct lease_reply reply = {0};
	struct lease_ask request;

	for (clk_ms now = START; now < START + 5000; now++) {
		if (!lease_tick(holder, now, now, &request))
			continue;
		lease_on_request(other, now, self, &request, &reply);
		lease_on_reply(holder, now, other_node, &reply);
		if (lease_is_held(holder, now))
			return now;
	}
	ck_abort_msg("the lease was not obtained");
	return 0;
}

/*
 * Guards against a planned stop that leaves the service without a broker for a whole lease
 * duration: a member that receives the holder's last renewal after its release must not take the
 * sender for the holder and delay its own attempt.
 */
START_TEST(late_renewal_does_not_delay_the_next_holder)
{
	struct lease *a = create_lease(NODE_A);
	struct lease *b = create_lease(NODE_B);
	struct lease_reply reply = {0};
	struct lease_ask renewal = {0};
	struct lease_ask release;
	struct lease_ask request;
	clk_ms now = obtain(a, b, NODE_A, NODE_B);
	bool sent = false;

	do {
		now++;
	} while (!lease_tick(a, now, now, &renewal));
	lease_set_may_hold(a, false);
	ck_assert(lease_release(a, now, &release));
	lease_on_request(b, now, NODE_A, &release, &reply);
	lease_on_request(b, now + 1, NODE_A, &renewal, &reply);
	ck_assert(!reply.granted);
	for (clk_ms t = now + 1; t <= now + 1 + 2 * lease_defaults.rank_delay && !sent; t++)
		sent = lease_tick(b, t, t, &request);
	ck_assert(sent);
	lease_destroy(a);
	lease_destroy(b);
}
END_TEST

static const char *const mutants[] = {"released_holder_noted", NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, late_renewal_does_not_delay_the_next_holder);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "lease", mutants, add_tests);
}
