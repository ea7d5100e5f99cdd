/*
 * test_path - the whole path as processes: callers' packets through the
 * fabric, any balancer, the right agent, the backend server, and back
 */

#include "../bench/harness.h"
#include "runner.h"

#define BALANCERS  3
#define LOAD_BOUND 120000 /* ms */

static harness_t *start(void)
{
	harness_options_t options = { .config_file = "examples/agency.toml",
				      .balancers = BALANCERS,
				      .seed = 1 };
	harness_t *h = harness_start(&options);

	ck_assert_ptr_nonnull(h);
	return h;
}

/* The load ends well, and each balancer had its part of the packets. */
static void serve(harness_t *h, const char *const *args)
{
	pid_t load = harness_start_load(h, "load.out", args);

	ck_assert_int_eq(harness_wait_pid(load, LOAD_BOUND), 0);
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
	uint64_t records, doubled;

	serve(h, args);
	harness_count_records(h, &records, &doubled);
	ck_assert_uint_ge(records, 50);
	ck_assert_uint_eq(doubled, 0);
	harness_stop(h);
}
END_TEST

/* The load compares every byte; each packet takes a balancer at random. */
START_TEST(a_minute_long_feed_arrives_whole)
{
	static const char *const args[] = {
		"--job", "feed,spot,feed,2", "--seconds",
		"2",	 "--feed-seconds",   "60",
		NULL
	};
	harness_t *h = start();

	serve(h, args);
	harness_stop(h);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("path");
	TCase *tc = tcase_create("whole");

	tcase_set_timeout(tc, 200);
	tcase_add_test(tc, serves_feeds_and_check_ins);
	tcase_add_test(tc, a_minute_long_feed_arrives_whole);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
