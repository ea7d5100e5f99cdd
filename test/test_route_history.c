/*
 * test_route_history - which services a route named before, and whether all are
 * known
 */

#include "route_history.h"
#include "runner.h"
#include <stdarg.h>
#include <stdio.h>

#define LIFETIME_MS 1000
#define ADDRESS	    0xc6120001u
#define PORT	    443

/* A version whose route names the services up to NULL; none: no route. */
static route_table_t *version(uint64_t number, ...)
{
	route_table_t *t = route_table_new(number, 15000);
	route_share_t shares[4];
	route_t route = {
		.name = "r", .address = ADDRESS, .port = PORT, .shares = shares
	};
	const char *service;
	va_list services;

	va_start(services, number);
	while ((service = va_arg(services, const char *))) {
		route_share_t *s = &shares[route.nshares++];

		s->service = service;
		s->weight = 1;
	}
	va_end(services);
	if (route.nshares)
		ck_assert_int_eq(route_table_add(t, &route, NULL), 0);
	return t;
}

/* Replaces *t, and takes over `next`. */
static void replace(route_history_t *h, uint64_t now, route_table_t **t,
		    route_table_t *next, bool skipped)
{
	route_history_replace(h, now, *t, next, skipped);
	route_table_unref(*t);
	*t = next;
}

/* Checks the former services, a list without spaces in order. */
static void expect(const route_history_t *h, uint64_t now, const char *services)
{
	GPtrArray *found = g_ptr_array_new();
	GString *text = g_string_new(NULL);

	route_history_find(h, now, ADDRESS, PORT, found);
	for (guint i = 0; i < found->len; i++)
		g_string_append_printf(text, "%s%s", i ? "," : "",
				       (char *)g_ptr_array_index(found, i));
	ck_assert_str_eq(text->str, services);
	g_string_free(text, TRUE);
	g_ptr_array_free(found, TRUE);
}

/* Several changes within a flow's life, one that drops the route, and one that
 * takes a service back. */
START_TEST(services_in_order)
{
	route_history_t *h = route_history_new(LIFETIME_MS);
	route_table_t *t = NULL;

	replace(h, 5000, &t, version(1, "a", "b", NULL), false);
	expect(h, 5000, "");
	replace(h, 5100, &t, version(2, "b", "c", NULL), false);
	expect(h, 5100, "a");
	replace(h, 5200, &t, version(3, NULL), false);
	expect(h, 5200, "b,c,a");
	replace(h, 5300, &t, version(4, "a", NULL), false);
	replace(h, 5400, &t, version(5, "c", NULL), false);
	expect(h, 5400, "a,b,c");
	route_history_find(h, 5400, ADDRESS, PORT + 1, NULL);
	route_table_unref(t);
	route_history_free(h);
}
END_TEST

/* Former services are kept for a flow's life. */
START_TEST(services_expire)
{
	route_history_t *h = route_history_new(LIFETIME_MS);
	route_table_t *t = NULL;

	replace(h, 5000, &t, version(1, "a", NULL), false);
	replace(h, 5100, &t, version(2, "b", NULL), false);
	replace(h, 5600, &t, version(3, "c", NULL), false);
	expect(h, 6099, "b,a");
	expect(h, 6100, "b");
	expect(h, 6600, "");
	replace(h, 6650, &t, version(4, "d", NULL), false);
	ck_assert_uint_eq(route_history_count(h), 1);
	route_table_unref(t);
	route_history_free(h);
}
END_TEST

/* The history is complete once it has seen every version for a flow's life.
 * Versions that may have been missed start that time again. */
START_TEST(complete_after_a_flow_life)
{
	route_history_t *h = route_history_new(LIFETIME_MS);
	route_table_t *t = NULL;

	ck_assert(!route_history_complete(h, 9000));
	replace(h, 5000, &t, version(1, "a", NULL), true);
	ck_assert(!route_history_complete(h, 5999));
	ck_assert(route_history_complete(h, 6000));
	replace(h, 6100, &t, version(2, "b", NULL), false);
	ck_assert(route_history_complete(h, 6100));
	replace(h, 6200, &t, version(4, "c", NULL), true);
	ck_assert(!route_history_complete(h, 7199));
	ck_assert(route_history_complete(h, 7200));
	route_table_unref(t);
	route_history_free(h);
}
END_TEST

/* A peer's knowledge adds to one's own; the first start knows all. */
START_TEST(knowledge_of_peers)
{
	route_history_t *h = route_history_new(LIFETIME_MS);
	route_table_t *t = NULL;

	replace(h, 5000, &t, version(3, "c", NULL), false);
	route_history_add(h, ADDRESS, PORT, "a", 4200);
	route_history_add(h, ADDRESS, PORT, "b", 4900);
	route_history_add(h, ADDRESS, PORT, "a", 4300);
	route_history_add(h, ADDRESS, PORT, "b", 4100);
	expect(h, 5000, "b,a");
	expect(h, 5300, "b");
	route_history_set_seen_ms(h, 5000, 700);
	ck_assert(!route_history_complete(h, 5299));
	ck_assert(route_history_complete(h, 5300));
	route_history_set_seen_ms(h, 5300, 10);
	ck_assert_uint_eq(route_history_seen_ms(h, 5300), 1000);
	route_history_set_seen_ms(h, 5300, UINT64_MAX);
	ck_assert_uint_eq(route_history_seen_ms(h, 5300), UINT64_MAX);
	ck_assert(route_history_complete(h, 0));
	route_table_unref(t);
	route_history_free(h);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("route_history");
	TCase *tc = tcase_create("history");

	tcase_add_test(tc, services_in_order);
	tcase_add_test(tc, services_expire);
	tcase_add_test(tc, complete_after_a_flow_life);
	tcase_add_test(tc, knowledge_of_peers);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
