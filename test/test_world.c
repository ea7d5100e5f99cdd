/*
 * test_world - balancers and agents in a simulation with network faults
 */

#include "runner.h"
#include "../bench/world.h"

#define FEEDS 20
#define LOGS  20

static char *read_config(void)
{
	char *text;

	ck_assert(
		g_file_get_contents("examples/agency.toml", &text, NULL, NULL));
	return text;
}

static void begin_requests(world_t *w)
{
	app_request_t feed = {
		.kind = APP_FEED, .bytes = 200, .chunks = 20, .interval_ms = 100
	};
	app_request_t log = { .kind = APP_LOG, .bytes = 3000, .weight = 2 };

	for (uint64_t i = 0; i < FEEDS; i++) {
		feed.id = i;
		world_request(w, "spot", "feed", &feed);
	}
	for (uint64_t i = 0; i < LOGS; i++) {
		log.id = 1000 + i;
		world_request(w, "spot", "check-in", &log);
	}
}

static void serve_on_network(double loss, double dup, unsigned jitter)
{
	char *text = read_config();
	world_options_t options = { .config_text = text,
				    .balancers = 3,
				    .seed = 7,
				    .loss = loss,
				    .dup = dup,
				    .delay_ms = 1,
				    .jitter_ms = jitter };
	world_t *w = world_new(&options);
	uint64_t records, duplicates;

	begin_requests(w);
	ck_assert(world_settle(w, 60000));
	ck_assert_uint_eq(world_broken(w), 0);
	world_records(w, &records, &duplicates);
	ck_assert_uint_eq(records, LOGS);
	ck_assert_uint_eq(duplicates, 0);
	world_free(w);
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
