/*
 * test_load - `cherviltray load`: usage errors, JSON report, broken flows
 */

#include "../bench/harness.h"
#include "runner.h"
#include <glib.h>
#include <signal.h>
#include <string.h>

#define TIMEOUT_MS 60000

typedef struct usage_case {
	const char *args[10];
	const char *message; /* substring of standard error */
	const char *remedy;  /* another substring */
} usage_case_t;

#define ADDRESS_ARGS                                                           \
	"--config=examples/agency.toml", "--fabric=127.0.9.1:7000",            \
		"--local=127.0.9.2:7001"
#define REQUIRED_ARGS ADDRESS_ARGS, "--source=203.0.113.7"

static const usage_case_t usage_cases[] = {
	{ { ADDRESS_ARGS, "--job=feed,spot,feed,1" },
	  "--source is needed",
	  "--help" },
	{ { REQUIRED_ARGS }, "--job is needed", "--help" },
	{ { ADDRESS_ARGS, "--source=x", "--job=feed,spot,feed,1" },
	  "invalid address x",
	  "as an IPv4 address" },
	{ { REQUIRED_ARGS, "--job=feed,spot" },
	  "invalid job",
	  "KIND,SERVICE,CLASS" },
	{ { REQUIRED_ARGS, "--job=wave,spot,feed,1" },
	  "kind of job",
	  "use feed" },
	{ { REQUIRED_ARGS, "--job=feed,pool,feed,1" },
	  "service \"pool\"",
	  "name a" },
	{ { REQUIRED_ARGS, "--job=feed,spot,map,1" },
	  "class \"map\"",
	  "name a class" },
	{ { REQUIRED_ARGS, "--job=feed,spot,feed,-1" },
	  "invalid rate",
	  "above 0" },
	{ { REQUIRED_ARGS, "--job=feed,spot,feed,1x" },
	  "invalid rate",
	  "above 0" },
	{ { REQUIRED_ARGS, "--job=get,spot,feed,1,0" },
	  "invalid size",
	  "from 1" },
	{ { REQUIRED_ARGS, "--job=feed,spot,feed,1", "--seconds=0" },
	  "--seconds 0",
	  "give 1 to" },
	{ { REQUIRED_ARGS, "--job=feed,spot,feed,1", "--interval=-5" },
	  "--interval -5",
	  "give 1 to" },
	{ { REQUIRED_ARGS, "--job=feed,spot,feed,1", "more" },
	  "options only",
	  "--help" },
};

START_TEST(usage_errors_name_the_remedy)
{
	const usage_case_t *row = &usage_cases[_i];
	char *argv[16] = { harness_program_path("cherviltray"), "load" };
	char *text = NULL;
	int status = 0;

	for (size_t i = 0; row->args[i]; i++)
		argv[i + 2] = (char *)row->args[i];
	ck_assert(g_spawn_sync(NULL, argv, NULL, G_SPAWN_STDOUT_TO_DEV_NULL,
			       NULL, NULL, NULL, &text, &status, NULL));
	ck_assert_int_eq(WEXITSTATUS(status), 2);
	ck_assert_msg(strstr(text, row->message) && strstr(text, row->remedy),
		      "%s", text);
	g_free(text);
	g_free(argv[0]);
}
END_TEST

static char *read_output(harness_t *h)
{
	char *path = g_strdup_printf("%s/load.out", h->dir);
	char *text = NULL;

	ck_assert(g_file_get_contents(path, &text, NULL, NULL));
	g_free(path);
	return text;
}

/* Number after the first key that follows mark, or -1. */
static long number_after(const char *text, const char *mark, const char *key)
{
	const char *at = strstr(text, mark);

	at = at ? strstr(at, key) : NULL;
	return at ? strtol(at + strlen(key), NULL, 10) : -1;
}

/* Waits until the first balancer has got n opens. */
static void wait_for_opens(harness_t *h, int64_t n)
{
	for (unsigned i = 0; i < TIMEOUT_MS / 50; i++) {
		if (harness_counter(h, &h->balancers[0], "opens") >= n)
			break;
		harness_sleep_ms(50);
	}
}

START_TEST(json_report_counts_flows)
{
	harness_options_t options = { .config_file = "examples/agency.toml",
				      .balancers = 2,
				      .seed = 3 };
	harness_t *h = harness_start(&options);
	const char *args[] = { "--job",		 "feed,spot,feed,20",
			       "--job",		 "check-in,spot,check-in,10",
			       "--job",		 "download,maps,map,4,50000",
			       "--seconds",	 "4",
			       "--feed-seconds", "3",
			       "--settings",	 h ? h->operators_path : "",
			       "--json",	 NULL };
	char *text;

	ck_assert_ptr_nonnull(h);
	ck_assert_int_eq(
		harness_wait_pid(harness_start_load(h, "load.out", args),
				 TIMEOUT_MS),
		0);
	text = read_output(h);
	ck_assert_int_ge(number_after(text, "\"feed\"", "\"opened\":"), 60);
	ck_assert_int_ge(number_after(text, "\"check-in\"", "\"done\":"), 30);
	ck_assert_int_ge(number_after(text, "\"download\"", "\"done\":"), 12);
	ck_assert_int_eq(number_after(text, "\"feed\"", "\"broken\":"), 0);
	ck_assert_int_gt(number_after(text, "\"feed\"", "\"greatest_gap_ms\":"),
			 0);
	ck_assert_int_ge(number_after(text, "\"balance\"", "\"samples\":"), 1);
	ck_assert_int_ge(number_after(text, "\"balance\"", "\"greatest\":"), 1);
	g_free(text);
	harness_stop(h);
}
END_TEST

/* Flows open when all backend servers are killed are counted as broken. */
START_TEST(flows_of_killed_servers_count_as_broken)
{
	harness_options_t options = { .config_file = "examples/agency.toml",
				      .balancers = 1,
				      .seed = 4 };
	harness_t *h = harness_start(&options);
	const char *args[] = { "--job",		 "feed,spot,feed,10",
			       "--seconds",	 "3",
			       "--feed-seconds", "20",
			       "--json",	 NULL };
	pid_t load;
	char *text;

	ck_assert_ptr_nonnull(h);
	load = harness_start_load(h, "load.out", args);
	wait_for_opens(h, 10);
	for (unsigned i = 0; i < h->nagents; i++)
		harness_signal(&h->servers[i], SIGKILL);
	ck_assert_int_eq(harness_wait_pid(load, TIMEOUT_MS), 1);
	text = read_output(h);
	ck_assert_int_ge(number_after(text, "\"feed\"", "\"broken\":"), 1);
	g_free(text);
	harness_stop(h);
}
END_TEST

/* A load generator that gets no processor time for a while opens the flows that
 * fell due meanwhile. */
START_TEST(rate_is_kept_after_a_pause)
{
	harness_options_t options = { .config_file = "examples/agency.toml",
				      .balancers = 1,
				      .seed = 5 };
	harness_t *h = harness_start(&options);
	const char *args[] = { "--job",	    "check-in,spot,check-in,10",
			       "--seconds", "3",
			       "--json",    NULL };
	pid_t load;
	char *text;

	ck_assert_ptr_nonnull(h);
	load = harness_start_load(h, "load.out", args);
	wait_for_opens(h, 2);
	kill(load, SIGSTOP);
	harness_sleep_ms(1500);
	kill(load, SIGCONT);
	ck_assert_int_eq(harness_wait_pid(load, TIMEOUT_MS), 0);
	text = read_output(h);
	ck_assert_int_ge(number_after(text, "\"check-in\"", "\"opened\":"), 29);
	g_free(text);
	harness_stop(h);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("load");
	TCase *tc = tcase_create("command");

	tcase_set_timeout(tc, 120);
	tcase_add_loop_test(tc, usage_errors_name_the_remedy, 0,
			    G_N_ELEMENTS(usage_cases));
	tcase_add_test(tc, json_report_counts_flows);
	tcase_add_test(tc, flows_of_killed_servers_count_as_broken);
	tcase_add_test(tc, rate_is_kept_after_a_pause);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
