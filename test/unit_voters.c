/* Tests of the votes about the role of shard manager. */
#include "base/rnd.h"
#include "process/voters.h"
#include "test/unit.h"

#define SELF 1
#define OTHER_MANAGER 2
#define RIGHT_MS 2000 /* time for which an answer to a question counts */

static struct electorate electorate_of(size_t n)
{
	struct electorate e = {.n = 0};

	for (uint64_t id = 1; id <= n; id++)
		ck_assert(electorate_add(&e, id));
	return e;
}

static void hear(struct voters *v, uint64_t id, uint64_t node, uint64_t follows, clk_ms asked_at,
		 clk_ms now)
{
	struct vote vote = {.id = id,
			    .node = node,
			    .follows = follows,
			    .asked_at = asked_at,
			    .before = 3,
			    .counted_in = 2};

	voters_heard(v, &vote, now);
}

/* Guards against a row of the store that names other gateways than were written. */
START_TEST(electorate_is_read_as_it_was_written)
{
	struct electorate e = electorate_of(0);
	struct electorate read;
	char text[ELECTORATE_TEXT_BYTES];

	ck_assert(electorate_read(&read, electorate_write(&e, text)));
	ck_assert(electorate_equal(&e, &read));
	for (uint64_t i = ELECTORATE_MAX; i > 0; i--)
		ck_assert(electorate_add(&e, UINT64_MAX - i * 3));
	ck_assert(electorate_add(&e, UINT64_MAX - 3));
	ck_assert(!electorate_add(&e, 7));
	ck_assert_uint_eq(e.n, ELECTORATE_MAX);
	ck_assert(electorate_read(&read, electorate_write(&e, text)));
	ck_assert(electorate_equal(&e, &read));
	ck_assert(!electorate_read(&read, STR_LIT("1,x")));
	ck_assert(!electorate_read(&read, STR_LIT("1,,2")));
	ck_assert(!electorate_read(&read, STR_LIT("11112222333344445")));
	ck_assert_uint_eq(read.n, 0);
}
END_TEST

/*
 * Guards against a shard manager that acts with the support of half of the gateways, since the
 * other half may have consented to another, and against a successor that waits for more.
 */
START_TEST(half_may_consent_and_not_support)
{
	struct electorate e = electorate_of(4);
	struct voters v = {0};

	ck_assert(!voters_support(&v, &e, SELF, 5, 0));
	ck_assert(!voters_consent(&v, &e, SELF, 5));
	hear(&v, 2, 20, 5, 90, 100);
	voters_role_confirmed(&v, 100);
	ck_assert(voters_counts(&v, 2, 20));
	ck_assert(!voters_counts(&v, 2, 21));
	ck_assert(!voters_support(&v, &e, SELF, 5, 0));
	ck_assert(voters_consent(&v, &e, SELF, 5));
	/* A gateway outside of the electorate has no vote. */
	ck_assert(!voters_consent(&v, &e, 9, 5));
	hear(&v, 3, 30, 5, 90, 100);
	voters_role_confirmed(&v, 100);
	ck_assert(voters_support(&v, &e, SELF, 5, 0));
	e.n = 0;
	ck_assert(!voters_support(&v, &e, SELF, 5, 0));
	ck_assert(!voters_consent(&v, &e, SELF, 5));
	voters_clear(&v);
}
END_TEST

/* Guards against votes for another term, and against answers to old questions. */
START_TEST(only_present_answers_for_the_term_count)
{
	struct electorate e = electorate_of(3);
	struct voters v = {0};

	hear(&v, 2, 20, 5, 1000, 1010);
	voters_role_confirmed(&v, 1020);
	ck_assert(voters_support(&v, &e, SELF, 5, 1000));
	ck_assert(!voters_support(&v, &e, SELF, 5, 1001));
	ck_assert(!voters_support(&v, &e, SELF, 6, 0));
	/* An answer to a question that was not sent yet. */
	hear(&v, 2, 20, 5, 9000, 1030);
	ck_assert(!voters_support(&v, &e, SELF, 5, 1001));
	hear(&v, 2, 20, 6, 1025, 1030);
	ck_assert(!voters_support(&v, &e, SELF, 5, 0));
	ck_assert(voters_consent(&v, &e, SELF, 6));
	voters_clear(&v);
}
END_TEST

/* Guards against the vote of a process that may have followed a higher term before it restarted. */
START_TEST(process_that_started_since_the_confirmation_is_no_supporter)
{
	struct electorate e = electorate_of(3);
	struct voters v = {0};

	hear(&v, 2, 20, 5, 90, 100);
	voters_role_confirmed(&v, 150);
	hear(&v, 2, 21, 5, 190, 200);
	ck_assert(!voters_support(&v, &e, SELF, 5, 0));
	voters_role_confirmed(&v, 199);
	ck_assert(!voters_support(&v, &e, SELF, 5, 0));
	voters_role_confirmed(&v, 200);
	ck_assert(voters_support(&v, &e, SELF, 5, 0));
	voters_clear(&v);
}
END_TEST

/*
 * Guards against a successor in a restored store that trusts a map from before a shard manager
 * whose role the store has lost, and against the word of a gateway that restarted since.
 */
START_TEST(gateways_remember_the_term_before)
{
	struct electorate e = electorate_of(3);
	struct last_term known = {.last = 3, .counted_in = 3};
	struct voters v = {0};
	struct vote vote = {.id = 2, .node = 20, .follows = 5, .before = 3, .counted_in = 3};

	voters_heard(&v, &vote, 1000);
	ck_assert(voters_knew_none_above(&v, &e, SELF, 5, &known));
	ck_assert(!voters_knew_none_above(&v, &e, SELF, 4, &known));
	known.counted_in = 2; /* this process may be too young */
	ck_assert(!voters_knew_none_above(&v, &e, SELF, 5, &known));
	known.manager = 3; /* the last one has ended, and followed no other */
	ck_assert(voters_knew_none_above(&v, &e, SELF, 5, &known));
	known = (struct last_term){.last = 3, .counted_in = 3};
	vote.counted_in = 2;
	voters_heard(&v, &vote, 1000);
	ck_assert(!voters_knew_none_above(&v, &e, SELF, 5, &known));
	vote.counted_in = 4;
	vote.before = 4;
	voters_heard(&v, &vote, 1000);
	ck_assert(!voters_knew_none_above(&v, &e, SELF, 5, &known));
	voters_clear(&v);
}
END_TEST

/* ---- random histories ----------------------------------------------------------------------- */

#define MAX_GATEWAYS 7
#define MAX_MESSAGES 256
#define LOW_TERM 1
#define HIGH_TERM 2

/* A gateway that votes; managers are not among them. */
struct model_gateway {
	uint64_t node;
	uint64_t follows;
	clk_ms asked[3]; /* by term: last question of its manager that arrived */
};

struct model_message {
	bool used;
	int gateway;
	uint64_t term; /* of the manager that sends or gets it */
	bool answer;   /* to the manager, else a question */
	uint64_t node; /* process that sends the answer, or that the question is for */
	clk_ms asked;  /* when the question was sent */
	uint64_t follows;
	clk_ms due;
};

struct model {
	struct rnd rnd;
	clk_ms now;
	uint64_t nodes;
	size_t n;
	struct model_gateway gateways[MAX_GATEWAYS];
	struct model_message messages[MAX_MESSAGES];
	struct voters low;
	struct voters high;
	clk_ms high_written; /* 0: not yet */
};

static void model_send(struct model *m, const struct model_message *message)
{
	for (size_t i = 0; i < MAX_MESSAGES; i++) {
		if (m->messages[i].used)
			continue;
		m->messages[i] = *message;
		m->messages[i].used = true;
		/* Some are held up for long. */
		m->messages[i].due =
			m->now + 1 + (clk_ms)rnd_below(&m->rnd, rnd_below(&m->rnd, 8) ? 50 : 6000);
		return;
	}
}

static void model_deliver(struct model *m, struct model_message *message)
{
	struct model_gateway *g = &m->gateways[message->gateway];
	uint64_t id = (uint64_t)message->gateway + 3;
	struct model_message reply = *message;

	message->used = false;
	if (message->answer) {
		hear(message->term == LOW_TERM ? &m->low : &m->high, id, message->node,
		     message->follows, message->asked, m->now);
		return;
	}
	if (message->node != g->node)
		return; /* its connection has ended */
	if (g->follows < message->term)
		g->follows = message->term;
	reply.answer = true;
	reply.follows = g->follows;
	model_send(m, &reply);
}

static void model_step(struct model *m)
{
	uint64_t what = rnd_below(&m->rnd, 100);
	int g = (int)rnd_below(&m->rnd, m->n);

	m->now += 1 + (clk_ms)rnd_below(&m->rnd, 20);
	for (size_t i = 0; i < MAX_MESSAGES; i++) {
		if (m->messages[i].used && m->messages[i].due <= m->now)
			model_deliver(m, &m->messages[i]);
	}
	if (what < 3) {
		m->gateways[g] = (struct model_gateway){.node = ++m->nodes};
	} else if (what < 20 && !m->high_written) {
		voters_role_confirmed(&m->low, m->now);
	} else if (what < 21 && !m->high_written) {
		m->high_written = m->now;
	} else if (what < 60 || !m->high_written) {
		model_send(m, &(struct model_message){.gateway = g,
						      .term = LOW_TERM,
						      .node = m->gateways[g].node,
						      .asked = m->now});
	} else {
		model_send(m, &(struct model_message){.gateway = g,
						      .term = HIGH_TERM,
						      .node = m->gateways[g].node,
						      .asked = m->now});
	}
}

/*
 * A shard manager without its store and its successor ask gateways that restart, over connections
 * that hold messages up. Guards against any history in which the former one may act more than
 * RIGHT_MS after most gateways have consented to the successor.
 */
START_TEST(support_ends_after_consent_to_a_successor)
{
	size_t consents = 0;
	size_t supports = 0;

	for (uint64_t seed = 1; seed <= 400; seed++) {
		static struct model m;
		struct electorate e = {.n = 0};
		clk_ms consent = 0;

		memset(&m, 0, sizeof(m));
		rnd_seed(&m.rnd, seed);
		m.now = 1000;
		m.n = 1 + rnd_below(&m.rnd, MAX_GATEWAYS);
		for (size_t i = 0; i < m.n; i++) {
			m.gateways[i].node = ++m.nodes;
			electorate_add(&e, i + 3);
		}
		electorate_add(&e, SELF);
		if (rnd_below(&m.rnd, 2))
			electorate_add(&e, OTHER_MANAGER);
		for (int i = 0; i < 3000; i++) {
			bool supported;

			model_step(&m);
			supported = voters_support(&m.low, &e, SELF, LOW_TERM, m.now - RIGHT_MS);
			supports += supported;
			if (m.high_written && !consent &&
			    voters_consent(&m.high, &e, OTHER_MANAGER, HIGH_TERM))
				consent = m.now;
			ck_assert_msg(!supported || !consent || m.now - consent <= RIGHT_MS,
				      "seed %llu: supported %lld ms after the consent",
				      (unsigned long long)seed, (long long)(m.now - consent));
		}
		consents += consent != 0;
		voters_clear(&m.low);
		voters_clear(&m.high);
	}
	ck_assert_uint_gt(consents, 100);
	ck_assert_uint_gt(supports, 10000);
}
END_TEST

static const char *const mutants[] = {"voters_any_process",	"voters_old_support",
				      "voters_need_no_consent", "voters_any_age",
				      "voters_forget_terms",	NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, support_ends_after_consent_to_a_successor);
	tcase_add_test(tc, gateways_remember_the_term_before);
	tcase_add_test(tc, electorate_is_read_as_it_was_written);
	tcase_add_test(tc, half_may_consent_and_not_support);
	tcase_add_test(tc, only_present_answers_for_the_term_count);
	tcase_add_test(tc, process_that_started_since_the_confirmation_is_no_supporter);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "voters", mutants, add_tests);
}
