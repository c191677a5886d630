/* Upstreams as their registrations tell them, and whether they may get new requests. */
#include <stdlib.h>

#include "process/fleet.h"
#include "test/unit.h"

static int news;
static int frees;

static void on_new(void *data, struct fleet_upstream *u)
{
	news++;
}

static void on_free(void *data, struct fleet_upstream *u)
{
	frees++;
}

static struct fleet *setup(void)
{
	static const struct fleet_handlers handlers = {on_new, on_free};

	news = 0;
	frees = 0;
	return fleet_create(&handlers, NULL);
}

static struct fleet_info info(const char *id, const char *domain, int64_t started)
{
	return (struct fleet_info){
		.id = str_from(id),
		.service = STR_LIT("s"),
		.ip = "127.0.0.9",
		.port = 80,
		.failure_domain = str_from(domain),
		.slots = 2,
		.started = started,
	};
}

static struct fleet_upstream *find(struct fleet *f, const char *id)
{
	return fleet_find(f, fleet_num(str_from(id)));
}

/* Guards against requests to an upstream that has said that it leaves. */
START_TEST(draining_upstream_gets_nothing)
{
	struct fleet *f = setup();
	struct fleet_info i = info("a", "d1", 1);

	fleet_put(f, 10, &i);
	ck_assert(fleet_is_usable(find(f, "a"), 10));
	i.draining = true;
	fleet_put(f, 20, &i);
	ck_assert(!fleet_is_usable(find(f, "a"), 20));
	ck_assert_int_eq(news, 1);
	fleet_destroy(f);
}
END_TEST

/* A registration that lapsed while the store was away counts as gone only after its time. */
START_TEST(lapsed_registration_has_its_time)
{
	struct fleet *f = setup();
	struct fleet_info i = info("a", "d1", 1);

	fleet_put(f, 10, &i);
	fleet_remove(f, STR_LIT("a"), 2000);
	ck_assert(fleet_is_usable(find(f, "a"), 1999));
	ck_assert(!fleet_is_usable(find(f, "a"), 2000));
	fleet_put(f, 1500, &i);
	ck_assert(fleet_is_usable(find(f, "a"), 5000));
	fleet_destroy(f);
}
END_TEST

/* A whole read removes what it does not contain. */
START_TEST(whole_read_removes_the_rest)
{
	struct fleet *f = setup();
	struct fleet_info a = info("a", "d1", 1);
	struct fleet_info b = info("b", "d1", 1);

	fleet_put(f, 10, &a);
	fleet_put(f, 10, &b);
	fleet_begin_full_read(f);
	fleet_put(f, 20, &b);
	fleet_end_full_read(f, 20);
	ck_assert(!fleet_is_usable(find(f, "a"), 20));
	ck_assert(fleet_is_usable(find(f, "b"), 20));
	fleet_destroy(f);
}
END_TEST

/* The same id with another start is another process: its connections are made anew. */
START_TEST(another_run_is_new)
{
	struct fleet *f = setup();
	struct fleet_info i = info("a", "d1", 1);

	fleet_put(f, 10, &i);
	fleet_put(f, 11, &i);
	ck_assert_int_eq(news, 1);
	i.started = 2;
	fleet_put(f, 12, &i);
	ck_assert_int_eq(news, 2);
	fleet_destroy(f);
}
END_TEST

/* A failure domain that is taken out, also for upstreams that register later. */
START_TEST(evacuated_domain_gets_nothing)
{
	struct fleet *f = setup();
	struct fleet_info a = info("a", "d1", 1);
	struct fleet_info b = info("b", "d1", 1);
	struct str domain = STR_LIT("d1");

	fleet_put(f, 10, &a);
	fleet_set_evacuated(f, &domain, 1);
	fleet_put(f, 20, &b);
	ck_assert(!fleet_is_usable(find(f, "a"), 30));
	ck_assert(!fleet_is_usable(find(f, "b"), 30));
	fleet_set_evacuated(f, NULL, 0);
	ck_assert(fleet_is_usable(find(f, "a"), 30));
	ck_assert(fleet_is_usable(find(f, "b"), 30));
	fleet_destroy(f);
}
END_TEST

/* Guards against freeing an upstream that a request still uses. */
START_TEST(upstream_in_use_is_kept)
{
	struct fleet *f = setup();
	struct fleet_info i = info("a", "d1", 1);
	struct fleet_upstream *u;

	fleet_put(f, 10, &i);
	u = find(f, "a");
	fleet_hold(u);
	fleet_remove(f, STR_LIT("a"), 20);
	fleet_tick(f, 100000);
	ck_assert_int_eq(frees, 0);
	fleet_release(f, u, 100000);
	ck_assert_int_eq(frees, 1);
	ck_assert(!find(f, "a"));
	fleet_destroy(f);
}
END_TEST

static const char *const mutants[] = {"fleet_ignore_draining", NULL};

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, draining_upstream_gets_nothing);
	tcase_add_test(tc, lapsed_registration_has_its_time);
	tcase_add_test(tc, whole_read_removes_the_rest);
	tcase_add_test(tc, another_run_is_new);
	tcase_add_test(tc, evacuated_domain_gets_nothing);
	tcase_add_test(tc, upstream_in_use_is_kept);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "fleet", mutants, add_tests);
}
