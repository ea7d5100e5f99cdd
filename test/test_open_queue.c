/*
 * test_open_queue - which of the opens that wait is served, and which refused
 */

#include "open_queue.h"
#include "runner.h"
#include <string.h>

#define SERVICE_MS 50.0
#define SLOTS	   4

static open_queue_t queue;
static open_wait_t waits[256];

/* The limit of late opens starts at the 80 that are served in a second. */
static void new_queue(void)
{
	open_queue_init(&queue);
	open_queue_set_rate(&queue, SLOTS, SERVICE_MS);
	memset(waits, 0, sizeof(waits));
}

static bool add(unsigned i, uint64_t now, uint64_t late_ms, uint32_t priority)
{
	waits[i].since_ms = now;
	waits[i].late_ms = late_ms;
	waits[i].give_up_ms = now + 1000;
	waits[i].max_wait_ms = 100;
	waits[i].priority = priority;
	return open_queue_add(&queue, &waits[i]);
}

static long next(uint64_t now, double response_ms, bool slot_free)
{
	open_wait_t *w = open_queue_next(&queue, now, response_ms, slot_free);

	return w ? w - waits : -1;
}

/* In time before late, then priority, then the one with most time left; late
 * ones in the order of their age. */
START_TEST(order)
{
	new_queue();
	add(0, 0, 10, 0);
	add(1, 0, 10, 1);
	add(2, 5, 400, 0);
	add(3, 6, 400, 0);
	add(4, 4, 400, 1);
	add(5, 5, 10, 0);
	ck_assert_int_eq(next(20, SERVICE_MS, true), 4);
	ck_assert_int_eq(next(20, SERVICE_MS, true), 3);
	ck_assert_int_eq(next(20, SERVICE_MS, true), 2);
	ck_assert_int_eq(next(20, SERVICE_MS, false), -1);
	ck_assert_int_eq(next(20, SERVICE_MS, true), 1);
	ck_assert_int_eq(next(20, SERVICE_MS, true), 0);
	ck_assert_int_eq(next(20, SERVICE_MS, true), 5);
	ck_assert_int_eq(next(20, SERVICE_MS, true), -1);
	ck_assert_uint_eq(queue.n, 0);
}
END_TEST

/* Without a free slot only an open that the server answers in time is served.
 */
START_TEST(no_slot_free)
{
	new_queue();
	add(0, 0, 400, 0);
	ck_assert_int_eq(next(0, 101, false), -1);
	ck_assert_int_eq(next(60, 50, false), -1);
	ck_assert_int_eq(next(50, 50, false), 0);
}
END_TEST

/* A standing overload: late opens wait in vain until nearly none may wait. When
 * it ends, the limit grows with each one that is served. */
START_TEST(late_limit_follows_outcomes)
{
	uint64_t now = 0;
	unsigned added = 0, refused = 0, served = 0;

	new_queue();
	for (; now < 5000; now += 10) {
		if (!waits[now / 10 % 256].queue)
			added += add((unsigned)(now / 10 % 256), now, now, 0);
		while (open_queue_expired(&queue, now))
			refused++;
	}
	ck_assert_uint_le(queue.n, 2);
	ck_assert_uint_eq(refused, added - queue.n);
	for (; now < 7000; now += 10) {
		if (!waits[now / 10 % 256].queue)
			add((unsigned)(now / 10 % 256), now, now, 0);
		served += next(now, SERVICE_MS, true) >= 0;
	}
	ck_assert_uint_ge(served, 190);
	ck_assert_double_ge(queue.late_limit, 50);
}
END_TEST

static long expired(uint64_t now)
{
	open_wait_t *w = open_queue_expired(&queue, now);

	return w ? w - waits : -1;
}

/* Of more late opens than may wait, those of the lowest priority are refused
 * first, and of these the oldest. */
START_TEST(lowest_priority_is_refused_first)
{
	new_queue();
	add(0, 0, 10, 2);
	add(1, 1, 10, 0);
	add(2, 2, 10, 1);
	add(3, 3, 10, 0);
	add(4, 4, 500, 0);
	queue.late_limit = 1;
	ck_assert_int_eq(expired(20), 1);
	ck_assert_int_eq(expired(20), 3);
	ck_assert_int_eq(expired(20), 2);
	ck_assert_int_eq(expired(20), -1);
	ck_assert_ptr_nonnull(waits[0].queue);
	ck_assert_ptr_nonnull(waits[4].queue);
}
END_TEST

/* A full queue takes no more; an open in time is never refused for late ones.
 */
START_TEST(full_queue)
{
	unsigned n = 0;

	new_queue();
	while (n < 200 && add(n, 0, UINT64_MAX, 0))
		n++;
	ck_assert_uint_eq(n, OPEN_QUEUE_MS / (unsigned)SERVICE_MS * SLOTS);
	ck_assert_ptr_null(open_queue_expired(&queue, 999));
	open_wait_cancel(&waits[7]);
	open_wait_cancel(&waits[7]);
	ck_assert_uint_eq(queue.n, n - 1);
	while (open_queue_pop(&queue))
		n--;
	ck_assert_uint_eq(n, 1);
	ck_assert_uint_eq(queue.n, 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("open_queue");
	TCase *tc = tcase_create("decisions");

	tcase_add_test(tc, order);
	tcase_add_test(tc, no_slot_free);
	tcase_add_test(tc, late_limit_follows_outcomes);
	tcase_add_test(tc, lowest_priority_is_refused_first);
	tcase_add_test(tc, full_queue);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
