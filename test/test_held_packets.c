/*
 * test_held_packets - packets whose route is not known yet
 */

#include "held_packets.h"
#include "runner.h"

/* Packets come back in their order, with the time of their arrival. */
START_TEST(oldest_first)
{
	held_packets_t *h = held_packets_new(4);
	uint8_t buf[8];
	uint64_t arrived_ms;
	uint32_t wait_ms;

	held_packets_add(h, 100, 0, (const uint8_t *)"ab", 2);
	held_packets_add(h, 150, 30, (const uint8_t *)"c", 1);
	ck_assert_uint_eq(held_packets_count(h), 2);
	ck_assert_uint_eq(held_packets_take(h, 200, buf, sizeof(buf),
					    &arrived_ms, &wait_ms),
			  2);
	ck_assert_uint_eq(arrived_ms, 100);
	ck_assert_int_eq(buf[1], 'b');
	ck_assert_uint_eq(held_packets_take(h, 200, buf, sizeof(buf),
					    &arrived_ms, &wait_ms),
			  1);
	ck_assert_uint_eq(wait_ms, 30);
	ck_assert_uint_eq(held_packets_take(h, 200, buf, sizeof(buf),
					    &arrived_ms, &wait_ms),
			  0);
	held_packets_free(h);
}
END_TEST

/* A flood keeps the newest packets only; old and too long ones are dropped. */
START_TEST(bounds)
{
	held_packets_t *h = held_packets_new(3);
	uint8_t buf[4] = { 0 };
	uint64_t arrived_ms;
	uint32_t wait_ms;

	for (uint64_t i = 0; i < 10; i++)
		held_packets_add(h, i * 1000, 0, buf, sizeof(buf));
	ck_assert_uint_eq(held_packets_count(h), 3);
	ck_assert_uint_eq(
		held_packets_take(h, 9000, buf, 3, &arrived_ms, &wait_ms), 0);
	held_packets_add(h, 0, 0, buf, sizeof(buf));
	held_packets_add(h, HELD_PACKET_MS, 0, buf, sizeof(buf));
	ck_assert_uint_eq(held_packets_take(h, HELD_PACKET_MS + 1, buf,
					    sizeof(buf), &arrived_ms, &wait_ms),
			  4);
	ck_assert_uint_eq(arrived_ms, HELD_PACKET_MS);
	held_packets_free(h);
	held_packets_free(NULL);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("held_packets");
	TCase *tc = tcase_create("decisions");

	tcase_add_test(tc, oldest_first);
	tcase_add_test(tc, bounds);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
