/*
 * test_path - end-to-end test with all processes
 *
 * Callers' packets go through the fabric, any balancer and the agent that holds
 * the flow to its backend server, and back.
 */

#include "../bench/harness.h"
#include "runner.h"

#define BALANCERS	3
#define LOAD_TIMEOUT_MS 120000

static harness_t *start(void)
{
	harness_options_t options = { .config_file = "examples/agency.toml",
				      .balancers = BALANCERS,
				      .seed = 1 };
	harness_t *h = harness_start(&options);

	ck_assert_ptr_nonnull(h);
	return h;
}

/* The load tool must succeed, and each balancer must receive packets. */
static void run_load(harness_t *h, const char *const *args)
{
	pid_t load = harness_start_load(h, "load.out", args);

	ck_assert_int_eq(harness_wait_pid(load, LOAD_TIMEOUT_MS), 0);
	for (unsigned i = 0; i < BALANCERS; i++)
		ck_assert_int_gt(
			harness_counter(h, &h->balancers[i], "packets_in"), 0);
}

START_TEST(serves_feeds_and_check_ins)
{
	/* clang-format off */
	static const char *const args[] = {
		"--job", "feed,spot,feed,20", "--job", "log,spot,check-in,20",
		"--job", "get,maps,map,2,1000000", "--seconds", "3",
		"--feed-seconds", "3", NULL
	};
	/* clang-format on */
	harness_t *h = start();
	uint64_t records, duplicates;

	run_load(h, args);
	harness_count_records(h, &records, &duplicates);
	ck_assert_uint_ge(records, 50);
	ck_assert_uint_eq(duplicates, 0);
	harness_stop(h);
}
END_TEST

/*
 * The load tool compares every byte. The fabric sends each packet to a random
 * balancer, so that every balancer must find the agent of the flow.
 */
START_TEST(minute_long_feed_arrives_intact)
{
	static const char *const args[] = {
		"--job", "feed,spot,feed,2", "--seconds",
		"2",	 "--feed-seconds",   "60",
		NULL
	};
	harness_t *h = start();

	run_load(h, args);
	harness_stop(h);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("path");
	TCase *tc = tcase_create("whole");

	tcase_set_timeout(tc, 200);
	tcase_add_test(tc, serves_feeds_and_check_ins);
	tcase_add_test(tc, minute_long_feed_arrives_intact);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
