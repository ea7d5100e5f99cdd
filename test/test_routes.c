/*
 * test_routes - relative priority of routes, which decides what is refused
 * first
 */

#include "routes.h"
#include "runner.h"
#include <stdio.h>
#include <string.h>

static void add(route_table_t *t, uint16_t port, uint32_t priority,
		const char *first, const char *second)
{
	route_share_t shares[2] = { { .weight = 9 }, { .weight = 1 } };
	route_t route = { .name = "r",
			  .address = 1,
			  .port = port,
			  .priority = priority,
			  .shares = shares,
			  .nshares = second ? 2 : 1 };

	shares[0].service = first;
	shares[1].service = second;
	ck_assert_int_eq(route_table_add(t, &route, NULL), 0);
}

static double relative_priority(const route_table_t *t, uint16_t port,
				const char *service)
{
	return route_relative_priority(t, route_find(t, 1, port), service);
}

/* A route that is split over two services can have the highest priority at
 * one and the lowest at the other: the service that the open goes to counts. */
START_TEST(relative_priority_is_per_service)
{
	route_table_t *t = route_table_new(1, 1000);

	add(t, 80, 2, "feeds", "maps");
	add(t, 81, 1, "feeds", NULL);
	add(t, 82, 4, "maps", NULL);
	add(t, 83, 3, "maps", NULL);
	add(t, 84, 7, "alone", NULL);
	ck_assert_double_eq(relative_priority(t, 80, "feeds"), 0);
	ck_assert_double_eq(relative_priority(t, 81, "feeds"), 1);
	ck_assert_double_eq(relative_priority(t, 80, "maps"), 1);
	ck_assert_double_eq(relative_priority(t, 82, "maps"), 0);
	ck_assert_double_eq(relative_priority(t, 83, "maps"), 0.5);
	ck_assert_double_eq(relative_priority(t, 84, "alone"), 0);
	route_table_unref(t);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("routes");
	TCase *tc = tcase_create("routes");

	tcase_add_test(tc, relative_priority_is_per_service);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
