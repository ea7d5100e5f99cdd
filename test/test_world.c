/*
 * test_world - balancers and agents in a simulation with network faults
 */

#include "runner.h"
#include "../bench/cluster_sim.h"

#define FEEDS 20
#define LOGS  20

static char *read_config(void)
{
	char *text;

	ck_assert(
		g_file_get_contents("examples/agency.toml", &text, NULL, NULL));
	return text;
}

static void begin_requests(csim_t *sim)
{
	app_request_t feed = {
		.kind = APP_FEED, .bytes = 200, .chunks = 20, .interval_ms = 100
	};
	app_request_t log = { .kind = APP_LOG, .bytes = 3000, .weight = 2 };

	for (uint64_t i = 0; i < FEEDS; i++) {
		feed.id = i;
		csim_begin_request(sim, "spot", "feed", &feed);
	}
	for (uint64_t i = 0; i < LOGS; i++) {
		log.id = 1000 + i;
		csim_begin_request(sim, "spot", "check-in", &log);
	}
}

static void serve_on_network(double loss, double dup, unsigned jitter)
{
	char *text = read_config();
	csim_options_t options = { .config_text = text,
				   .balancers = 3,
				   .seed = 7,
				   .loss_ratio = loss,
				   .dup_ratio = dup,
				   .delay_ms = 1,
				   .jitter_ms = jitter };
	csim_t *sim = csim_new(&options);
	uint64_t records, duplicates;

	begin_requests(sim);
	ck_assert(csim_run_until_idle(sim, 60000));
	ck_assert_uint_eq(csim_count_broken(sim), 0);
	csim_count_records(sim, &records, &duplicates);
	ck_assert_uint_eq(records, LOGS);
	ck_assert_uint_eq(duplicates, 0);
	csim_free(sim);
	g_free(text);
}

START_TEST(serves_on_a_good_network)
{
	serve_on_network(0, 0, 0);
}
END_TEST

START_TEST(serves_with_loss_duplicates_and_reordering)
{
	serve_on_network(0.02, 0.02, 5);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("world");
	TCase *tc = tcase_create("network");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, serves_on_a_good_network);
	tcase_add_test(tc, serves_with_loss_duplicates_and_reordering);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
