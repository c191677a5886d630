/*
 * Choice of the hubs of a region (hubs.h). Load pattern: hundreds of gateways of different strength
 * start together, some fail for good. Guards against connections whose number grows with the square
 * of the gateways, and against a region whose hubs are all lost.
 */
#include "process/hubs.h"

#include "test/unit.h"

#define WEAK_MILLIS 100
#define STRONG_MILLIS 500
#define MAX_GATEWAYS 3000

static struct hubs_gateway gateways[MAX_GATEWAYS];

static void fill(size_t n, size_t n_strong)
{
	for (size_t i = 0; i < n; i++)
		gateways[i] = (struct hubs_gateway){
			.id = i + 1,
			.cpu_millis = i < n_strong ? STRONG_MILLIS : WEAK_MILLIS,
		};
}

static size_t count_hubs(size_t n)
{
	size_t hubs = 0;

	for (size_t i = 0; i < n; i++)
		hubs += gateways[i].hub;
	return hubs;
}

/* Marks the first `lost` of the present hubs as lost. */
static void lose_hubs(size_t n, size_t lost)
{
	for (size_t i = 0; i < n && lost; i++) {
		if (!gateways[i].hub)
			continue;
		gateways[i].lost = true;
		lost--;
	}
}

START_TEST(in_a_small_region_all_are_hubs)
{
	fill(HUBS_MIN, 2);
	hubs_choose(gateways, HUBS_MIN);
	ck_assert_uint_eq(count_hubs(HUBS_MIN), HUBS_MIN);
}
END_TEST

/*
 * Every gateway connects to all hubs, so the connections of a deployment are its gateways times its
 * hubs. The bound is a tenth of those of a full mesh from 150 gateways on.
 */
START_TEST(connections_grow_with_the_gateways_and_not_with_their_square)
{
	static const size_t sizes[] = {30, 100, 300, 1000, 3000};

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		size_t n = sizes[i];
		size_t hubs;

		fill(n, n / 10);
		hubs_choose(gateways, n);
		hubs = count_hubs(n);
		ck_assert_uint_eq(hubs, hubs_count(n));
		ck_assert_uint_ge(hubs, HUBS_MIN);
		ck_assert_uint_le(hubs, n < 150 ? HUBS_MIN : n / 10);
	}
}
END_TEST

START_TEST(strong_gateways_come_first)
{
	fill(300, 40);
	hubs_choose(gateways, 300);
	for (size_t i = 0; i < 300; i++)
		ck_assert(!gateways[i].hub || gateways[i].cpu_millis == STRONG_MILLIS);
	fill(300, 5);
	hubs_choose(gateways, 300);
	for (size_t i = 0; i < 300; i++)
		ck_assert(gateways[i].hub || gateways[i].cpu_millis == WEAK_MILLIS);
}
END_TEST

/* A gateway that cannot reach some hubs uses others instead, and all hubs again when they return.
 */
START_TEST(lost_hubs_are_replaced_until_they_return)
{
	fill(150, 12);
	hubs_choose(gateways, 150);
	lose_hubs(150, 9);
	hubs_choose(gateways, 150);
	ck_assert_uint_eq(count_hubs(150), hubs_count(150));
	for (size_t i = 0; i < 150; i++) {
		ck_assert(!gateways[i].lost || !gateways[i].hub);
		gateways[i].lost = false;
	}
	hubs_choose(gateways, 150);
	for (size_t i = 0; i < 150; i++)
		ck_assert(gateways[i].hub || gateways[i].cpu_millis == WEAK_MILLIS);
}
END_TEST

/* Gateways that list the others in another order choose the same hubs. */
START_TEST(the_order_of_the_table_does_not_matter)
{
	bool hub[201] = {false};

	fill(200, 30);
	hubs_choose(gateways, 200);
	for (size_t i = 0; i < 200; i++)
		hub[gateways[i].id] = gateways[i].hub;
	for (size_t i = 0; i < 100; i++) {
		struct hubs_gateway other = gateways[i];

		gateways[i] = gateways[199 - i];
		gateways[199 - i] = other;
	}
	hubs_choose(gateways, 200);
	for (size_t i = 0; i < 200; i++)
		ck_assert(hub[gateways[i].id] == gateways[i].hub);
}
END_TEST

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, in_a_small_region_all_are_hubs);
	tcase_add_test(tc, connections_grow_with_the_gateways_and_not_with_their_square);
	tcase_add_test(tc, strong_gateways_come_first);
	tcase_add_test(tc, lost_hubs_are_replaced_until_they_return);
	tcase_add_test(tc, the_order_of_the_table_does_not_matter);
}

int main(int argc, char **argv)
{
	static const char *const mutants[] = {"hubs_all", "hubs_keep_lost", NULL};

	return unit_main(argc, argv, "hubs", mutants, add_tests);
}
