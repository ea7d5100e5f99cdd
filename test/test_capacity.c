/*
 * test_capacity - speeds and class costs from service times, detection of
 * changes
 */

#include "../src/capacity.h"
#include "runner.h"
#include <string.h>

#define PEERS	      4
#define SAMPLES	      200 /* samples per class */
#define TOLERANCE     0.05
#define SHORT_TIME_MS 5 /* near the clock's resolution of 1 ms */

static uint64_t random_state = 1;

static double random_unit(void)
{
	random_state = random_state * 6364136223846793005ULL + 1;
	return (double)(random_state >> 11) * 0x1.0p-53;
}

/* A duration measured as the difference of two readings of a 1 ms clock. */
static uint64_t measured_ms(double ms)
{
	double phase = random_unit();

	return (uint64_t)(phase + ms);
}

static void add_samples(capacity_t *c, uint32_t class_index, double ms,
			unsigned n)
{
	for (unsigned i = 0; i < n; i++)
		capacity_add_sample(
			c, i, class_index,
			measured_ms(ms * (0.7 + 0.6 * random_unit())));
}

/* Classes of different cost; some members have no samples of one class. */
START_TEST(speeds_are_fitted_across_classes)
{
	static const double speeds[PEERS] = { 0.5, 1, 1.5, 2 };
	static const double costs[] = { SHORT_TIME_MS, 60 };
	capacity_peer_t peers[PEERS];

	memset(peers, 0, sizeof(peers));
	for (size_t i = 0; i < PEERS; i++) {
		capacity_t c;

		capacity_init(&c, 2);
		peers[i].declared_weight = i % 2 ? 2 : 0.5;
		peers[i].slots = 2;
		for (uint32_t k = 0; k < 2; k++) {
			if ((i == 0 && k == 1) || (i == 3 && k == 0))
				continue;
			add_samples(&c, k, costs[k] / speeds[i], SAMPLES);
			peers[i].times[k] = capacity_time(&c, k);
		}
	}
	capacity_fit_speeds(peers, PEERS);
	for (size_t i = 1; i < PEERS; i++) {
		double got = peers[i].speed / peers[0].speed;
		double want = speeds[i] / speeds[0];

		ck_assert_msg(got > want * (1 - 2 * TOLERANCE) &&
				      got < want * (1 + 2 * TOLERANCE),
			      "member %zu: %f for %f", i, got, want);
	}
}
END_TEST

START_TEST(change_is_learned_within_100_samples)
{
	static const double factors[] = { 4, 0.25 };
	capacity_t c;
	double before, after;

	capacity_init(&c, 2);
	add_samples(&c, 0, 40, CAPACITY_SAMPLES);
	before = capacity_time(&c, 0).ms;
	add_samples(&c, 0, 40 * factors[_i], 100);
	after = capacity_time(&c, 0).ms;
	ck_assert_double_gt(after, before * factors[_i] * (1 - 2 * TOLERANCE));
	ck_assert_double_lt(after, before * factors[_i] * (1 + 2 * TOLERANCE));
}
END_TEST

START_TEST(estimate_grows_without_samples)
{
	capacity_t c;
	double before;

	capacity_init(&c, 2);
	ck_assert_double_eq(capacity_estimate(&c), 0);
	capacity_add_sample(&c, 0, 0, 10);
	c.speed = 0.1;
	before = capacity_estimate(&c);
	for (uint64_t s = 1; s <= 60; s++)
		capacity_add_unsampled(&c, s * 1000, 1000);
	ck_assert_double_ge(capacity_estimate(&c), 4 * before);
	capacity_add_sample(&c, 60000, 0, 10);
	ck_assert_double_eq(capacity_estimate(&c), before);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("capacity");
	TCase *tc = tcase_create("learning");

	tcase_add_test(tc, speeds_are_fitted_across_classes);
	tcase_add_loop_test(tc, change_is_learned_within_100_samples, 0, 2);
	tcase_add_test(tc, estimate_grows_without_samples);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
