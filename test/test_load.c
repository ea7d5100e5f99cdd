/*
 * test_load - `cherviltray load`: its arguments, its table, what it counts
 */

#include "../bench/harness.h"
#include "runner.h"
#include <glib.h>
#include <signal.h>
#include <string.h>

#define BOUND_MS 60000

typedef struct refusal_row {
	const char *args[10];
	const char *says; /* in its message */
	const char *remedy;
} refusal_row_t;

#define WHERE                                                                  \
	"--config=examples/agency.toml", "--fabric=127.0.9.1:7000",            \
		"--local=127.0.9.2:7001"
#define GOOD WHERE, "--source=203.0.113.7"

static const refusal_row_t refusal_rows[] = {
	{ { WHERE, "--job=feed,spot,feed,1" }, "--source is needed", "--help" },
	{ { GOOD }, "--job is needed", "--help" },
	{ { WHERE, "--source=x", "--job=feed,spot,feed,1" },
	  "bad address x",
	  "as an IPv4 address" },
	{ { GOOD, "--job=feed,spot" }, "bad job", "KIND,SERVICE,CLASS" },
	{ { GOOD, "--job=wave,spot,feed,1" }, "kind of job", "use feed" },
	{ { GOOD, "--job=feed,pool,feed,1" }, "service \"pool\"", "name a" },
	{ { GOOD, "--job=feed,spot,map,1" }, "class \"map\"", "name a class" },
	{ { GOOD, "--job=feed,spot,feed,-1" }, "bad rate", "above 0" },
	{ { GOOD, "--job=feed,spot,feed,1x" }, "bad rate", "above 0" },
	{ { GOOD, "--job=get,spot,feed,1,0" }, "bad size", "from 1" },
	{ { GOOD, "--job=feed,spot,feed,1", "--seconds=0" },
	  "--seconds 0",
	  "give 1 to" },
	{ { GOOD, "--job=feed,spot,feed,1", "--interval=-5" },
	  "--interval -5",
	  "give 1 to" },
	{ { GOOD, "--job=feed,spot,feed,1", "more" },
	  "options only",
	  "--help" },
};

START_TEST(wrong_arguments_name_the_remedy)
{
	const refusal_row_t *row = &refusal_rows[_i];
	char *argv[16] = { harness_program_path("cherviltray"), "load" };
	char *text = NULL;
	int status = 0;

	for (size_t i = 0; row->args[i]; i++)
		argv[i + 2] = (char *)row->args[i];
	ck_assert(g_spawn_sync(NULL, argv, NULL, G_SPAWN_STDOUT_TO_DEV_NULL,
			       NULL, NULL, NULL, &text, &status, NULL));
	ck_assert_int_eq(WEXITSTATUS(status), 2);
	ck_assert_msg(strstr(text, row->says) && strstr(text, row->remedy),
		      "%s", text);
	g_free(text);
	g_free(argv[0]);
}
END_TEST

static char *output_of(harness_t *h)
{
	char *path = g_strdup_printf("%s/load.out", h->dir);
	char *text = NULL;

	ck_assert(g_file_get_contents(path, &text, NULL, NULL));
	g_free(path);
	return text;
}

/* A number behind the first key after a mark. */
static long number_after(const char *text, const char *mark, const char *key)
{
	const char *at = strstr(text, mark);

	at = at ? strstr(at, key) : NULL;
	return at ? strtol(at + strlen(key), NULL, 10) : -1;
}

START_TEST(a_run_is_counted_as_json)
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
				 BOUND_MS),
		0);
	text = output_of(h);
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

/* All backend servers die: their flows are counted as broken. */
START_TEST(lost_flows_are_counted_as_broken)
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
	for (unsigned i = 0; i < BOUND_MS / 50; i++) {
		if (harness_counter(h, &h->balancers[0], "opens") >= 10)
			break;
		harness_sleep_ms(50);
	}
	for (unsigned i = 0; i < h->nagents; i++)
		harness_signal(&h->servers[i], SIGKILL);
	ck_assert_int_eq(harness_wait_pid(load, BOUND_MS), 1);
	text = output_of(h);
	ck_assert_int_ge(number_after(text, "\"feed\"", "\"broken\":"), 1);
	g_free(text);
	harness_stop(h);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("load");
	TCase *tc = tcase_create("command");

	tcase_set_timeout(tc, 120);
	tcase_add_loop_test(tc, wrong_arguments_name_the_remedy, 0,
			    G_N_ELEMENTS(refusal_rows));
	tcase_add_test(tc, a_run_is_counted_as_json);
	tcase_add_test(tc, lost_flows_are_counted_as_broken);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
