/*
 * test_path - the whole path as processes: callers' packets through the
 * fabric, any balancer, the right agent, the backend server, and back
 */

#include "../bench/harness.h"
#include "runner.h"

START_TEST(serves_feeds_and_check_ins)
{
	harness_options_t options = { .config_file = "examples/agency.toml",
				      .balancers = 3,
				      .seed = 1 };
	const char *args[] = { "--job",
			       "feed,spot,feed,20",
			       "--job",
			       "log,spot,check-in,20",
			       "--job",
			       "get,maps,map,2,1000000",
			       "--seconds",
			       "3",
			       "--feed-seconds",
			       "3",
			       NULL };
	harness_t *h = harness_start(&options);
	uint64_t records, doubled;
	pid_t load;

	ck_assert_ptr_nonnull(h);
	load = harness_load(h, "load.out", args);
	ck_assert_int_eq(harness_wait_pid(load, 60000), 0);
	harness_records(h, &records, &doubled);
	ck_assert_uint_ge(records, 50);
	ck_assert_uint_eq(doubled, 0);
	for (unsigned i = 0; i < 3; i++)
		ck_assert_int_gt(
			harness_counter(h, &h->balancers[i], "packets_in"), 0);
	harness_stop(h);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("path");
	TCase *tc = tcase_create("whole");

	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, serves_feeds_and_check_ins);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
