/*
 * test_capacity - service times into speeds, costs of classes, changes
 */

#include "../src/capacity.h"
#include "runner.h"
#include <string.h>

#define PEERS	4
#define ENOUGH	200 /* samples */
#define CLOSE	0.05
#define SLOT_MS 5 /* shorter than the clock can show well */

static uint64_t random_state = 1;

static double chance(void)
{
	random_state = random_state * 6364136223846793005ULL + 1;
	return (double)(random_state >> 11) * 0x1.0p-53;
}

/* A span as the difference of two readings of a millisecond clock. */
static uint64_t as_read(double ms)
{
	double phase = chance();

	return (uint64_t)(phase + ms);
}

static void teach(capacity_t *c, uint32_t class_index, double ms, unsigned n)
{
	for (unsigned i = 0; i < n; i++)
		capacity_sample(c, i, class_index,
				as_read(ms * (0.7 + 0.6 * chance())));
}

/* Classes of different cost, and no member that saw all of them. */
START_TEST(speeds_come_out_of_mixed_classes)
{
	static const double speeds[PEERS] = { 0.5, 1, 1.5, 2 };
	static const double costs[] = { SLOT_MS, 60 };
	capacity_peer_t peers[PEERS];

	memset(peers, 0, sizeof(peers));
	for (size_t i = 0; i < PEERS; i++) {
		capacity_t c;

		capacity_init(&c, 2);
		peers[i].declared = i % 2 ? 2 : 0.5;
		peers[i].slots = 2;
		for (uint32_t k = 0; k < 2; k++) {
			if ((i == 0 && k == 1) || (i == 3 && k == 0))
				continue;
			teach(&c, k, costs[k] / speeds[i], ENOUGH);
			peers[i].times[k] = capacity_time(&c, k);
		}
	}
	capacity_compare(peers, PEERS);
	for (size_t i = 1; i < PEERS; i++) {
		double got = peers[i].speed / peers[0].speed;
		double want = speeds[i] / speeds[0];

		ck_assert_msg(got > want * (1 - 2 * CLOSE) &&
				      got < want * (1 + 2 * CLOSE),
			      "member %zu: %f for %f", i, got, want);
	}
}
END_TEST

START_TEST(a_change_is_learned_in_a_hundred_samples)
{
	static const double factors[] = { 4, 0.25 };
	capacity_t c;
	double before, after;

	capacity_init(&c, 2);
	teach(&c, 0, 40, CAPACITY_SAMPLES);
	before = capacity_time(&c, 0).ms;
	teach(&c, 0, 40 * factors[_i], 100);
	after = capacity_time(&c, 0).ms;
	ck_assert_double_gt(after, before * factors[_i] * (1 - 2 * CLOSE));
	ck_assert_double_lt(after, before * factors[_i] * (1 + 2 * CLOSE));
}
END_TEST

START_TEST(the_unsampled_are_tried_again)
{
	capacity_t c;
	double before;

	capacity_init(&c, 2);
	ck_assert_double_eq(capacity_value(&c), 0);
	capacity_sample(&c, 0, 0, 10);
	c.speed = 0.1;
	before = capacity_value(&c);
	for (uint64_t s = 1; s <= 60; s++)
		capacity_untaught(&c, s * 1000, 1000);
	ck_assert_double_ge(capacity_value(&c), 4 * before);
	capacity_sample(&c, 60000, 0, 10);
	ck_assert_double_eq(capacity_value(&c), before);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("capacity");
	TCase *tc = tcase_create("learning");

	tcase_add_test(tc, speeds_come_out_of_mixed_classes);
	tcase_add_loop_test(tc, a_change_is_learned_in_a_hundred_samples, 0, 2);
	tcase_add_test(tc, the_unsampled_are_tried_again);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
