/*
 * test_hint_cache - look-up, eviction and order of hints and pending opens
 */

#include "../src/hint_cache.h"
#include "../src/pending_opens.h"
#include "runner.h"

#define HINTS 64
#define LIMIT 8

static endpoint_t agent_at(uint32_t n)
{
	endpoint_t ep = { n, (uint16_t)(n + 1) };

	return ep;
}

static void expect(hint_cache_t *c, uint64_t hash, uint32_t want)
{
	endpoint_t found, agent = agent_at(want);

	ck_assert_int_eq(hint_cache_get(c, hash, &found), want != 0);
	if (want)
		ck_assert(endpoint_equal(&found, &agent));
}

static void put(hint_cache_t *c, uint64_t hash, uint32_t n)
{
	endpoint_t agent = agent_at(n);

	hint_cache_put(c, hash, &agent);
}

START_TEST(hint_is_found_changed_and_dropped)
{
	static const uint64_t hashes[] = { 0, 1, 16, 17, UINT64_MAX };
	hint_cache_t *c = hint_cache_new(HINTS);

	for (size_t i = 0; i < 5; i++) {
		hint_cache_drop(c, 1);
		hint_cache_drop(c, hashes[i]);
		expect(c, hashes[i], 0);
		put(c, hashes[i], 5);
		expect(c, hashes[i], 5);
		put(c, hashes[i], 6);
		expect(c, hashes[i], 6);
		hint_cache_drop(c, hashes[i]);
		expect(c, hashes[i], 0);
	}
	hint_cache_free(c);
}
END_TEST

/* A bucket must not hold an outdated second entry of the same flow. */
START_TEST(flow_has_one_hint)
{
	hint_cache_t *c = hint_cache_new(HINTS);
	const uint64_t a = 1 << 10, b = 2 << 10; /* the same bucket */

	put(c, a, 1);
	put(c, b, 2);
	hint_cache_drop(c, a);
	put(c, b, 3);
	for (uint32_t i = 3; i < 5; i++)
		put(c, i << 10, 9);
	expect(c, b, 3);
	for (uint32_t i = 5; i < 20; i++) {
		put(c, i << 10, 9);
		expect(c, b, 3);
	}
	hint_cache_drop(c, b);
	expect(c, b, 0);
	hint_cache_free(c);
}
END_TEST

START_TEST(full_bucket_evicts_the_least_recently_used)
{
	hint_cache_t *c = hint_cache_new(HINTS);
	uint64_t idle = 7 << 10, busy = 8 << 10;

	put(c, idle, 1);
	put(c, busy, 2);
	for (uint32_t i = 20; i < 100; i++) {
		for (int j = 0; j < HINTS; j++)
			expect(c, busy, 2);
		put(c, (uint64_t)i << 10, 3);
	}
	expect(c, busy, 2);
	expect(c, idle, 0);
	hint_cache_free(c);
}
END_TEST

static flow_key_t key(uint16_t port)
{
	flow_key_t k = { 1, 2, port, 80, PROTO_TCP };

	return k;
}

START_TEST(opens_are_found_by_their_whole_key)
{
	pending_opens_t *p = pending_opens_new(LIMIT);
	flow_key_t a = key(1), b = key(2);
	pending_open_t *first = pending_opens_add(p, &a, 5);
	pending_open_t *second = pending_opens_add(p, &b, 5);

	ck_assert_ptr_ne(first, second);
	ck_assert_ptr_eq(pending_opens_add(p, &a, 5), first);
	ck_assert_ptr_eq(pending_opens_find(p, &b, 5), second);
	ck_assert_uint_eq(pending_opens_count(p), 2);
	pending_opens_remove(p, first);
	ck_assert_ptr_null(pending_opens_find(p, &a, 5));
	ck_assert_ptr_eq(pending_opens_find(p, &b, 5), second);
	pending_opens_free(p);
}
END_TEST

START_TEST(opens_are_due_in_order)
{
	pending_opens_t *p = pending_opens_new(LIMIT);
	pending_open_t *open;

	for (uint16_t i = 0; i < LIMIT; i++) {
		flow_key_t k = key(i);

		pending_opens_defer(p, pending_opens_add(p, &k, i), 10 + i);
	}
	ck_assert_ptr_null(pending_opens_due(p, 9));
	open = pending_opens_due(p, 10);
	ck_assert_uint_eq(open->key.sport, 0);
	pending_opens_defer(p, open, 100);
	for (uint16_t i = 1; i < LIMIT; i++) {
		open = pending_opens_due(p, 50);
		ck_assert_uint_eq(open->key.sport, i);
		pending_opens_remove(p, open);
	}
	ck_assert_ptr_null(pending_opens_due(p, 99));
	ck_assert_uint_eq(pending_opens_due(p, 100)->key.sport, 0);
	pending_opens_free(p);
}
END_TEST

START_TEST(full_table_evicts_the_oldest_open)
{
	pending_opens_t *p = pending_opens_new(LIMIT);
	pending_open_t *open;

	for (uint16_t i = 0; i < 3 * LIMIT; i++) {
		flow_key_t k = key(i);

		open = pending_opens_add(p, &k, i);
		ck_assert_uint_eq(open->ntried, 0);
		ck_assert_uint_eq(open->len, 0);
		open->ntried = 3;
		open->len = 9;
		pending_opens_defer(p, open, i);
	}
	ck_assert_uint_eq(pending_opens_count(p), LIMIT);
	for (uint16_t i = 0; i < 3 * LIMIT; i++) {
		flow_key_t k = key(i);

		ck_assert_int_eq(pending_opens_find(p, &k, i) != NULL,
				 i >= 2 * LIMIT);
	}
	pending_opens_free(p);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("hint_cache");
	TCase *tc = tcase_create("tables");

	tcase_add_test(tc, hint_is_found_changed_and_dropped);
	tcase_add_test(tc, flow_has_one_hint);
	tcase_add_test(tc, full_bucket_evicts_the_least_recently_used);
	tcase_add_test(tc, opens_are_found_by_their_whole_key);
	tcase_add_test(tc, opens_are_due_in_order);
	tcase_add_test(tc, full_table_evicts_the_oldest_open);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
