/*
 * test_agent_process - handover, crash and stop of the agent daemon under load
 */

#include "../bench/harness.h"
#include "runner.h"
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#define AGENTS	   4 /* agents of 10 that are replaced under load */
#define TIMEOUT_MS 20000
#define LOAD_MS	   60000

static harness_t *h;

static void start_harness(const char *settings)
{
	harness_options_t options = { .config_file = "examples/agency.toml",
				      .balancers = 2,
				      .agent_settings = settings,
				      .seed = 3 };

	h = harness_start(&options);
	ck_assert_ptr_nonnull(h);
}

static pid_t start_load(const char *seconds, const char *feed_seconds)
{
	const char *args[] = { "--job",
			       "feed,spot,feed,20",
			       "--job",
			       "log,spot,check-in,10",
			       "--seconds",
			       seconds,
			       "--feed-seconds",
			       feed_seconds,
			       NULL };

	return harness_start_load(h, "load.out", args);
}

/* Waits until an agent holds a flow, TIMEOUT_MS at most. */
static void wait_held(unsigned agent)
{
	uint64_t until = harness_now_ms() + TIMEOUT_MS;

	while (harness_status(h, &h->agents[agent], "held") < 1) {
		ck_assert_uint_lt(harness_now_ms(), until);
		harness_sleep_ms(20);
	}
}

/* The load must succeed, and no record may have been stored twice. */
static void finish(pid_t pid)
{
	uint64_t records, doubled;

	ck_assert_int_eq(harness_wait_pid(pid, LOAD_MS), 0);
	harness_count_records(h, &records, &doubled);
	ck_assert_uint_gt(records, 0);
	ck_assert_uint_eq(doubled, 0);
	harness_stop(h);
}

static bool audited(unsigned agent, const char *event)
{
	char *text = harness_query(h, &h->agents[agent], "audit", "");
	bool found = text && strstr(text, event);

	g_free(text);
	return found;
}

/* Agents hand their flows over to successors: no request may fail. */
START_TEST(flows_survive_a_handover)
{
	pid_t pid;

	start_harness("takeover = true\n");
	pid = start_load("8", "6");
	for (unsigned i = 0; i < AGENTS; i++) {
		harness_proc_t old = h->agents[i];
		uint64_t until = harness_now_ms() + TIMEOUT_MS;

		wait_held(i);
		ck_assert_int_eq(harness_start_agent(h, i), 0);
		ck_assert_int_eq(harness_wait_pid(old.pid, TIMEOUT_MS), 0);
		while (!audited(i, "\"takeover\"")) {
			ck_assert_uint_lt(harness_now_ms(), until);
			harness_sleep_ms(20);
		}
		ck_assert(!audited(i, "\"0 flows\""));
	}
	finish(pid);
}
END_TEST

/* Agents are killed and restarted: no request may fail. */
START_TEST(flows_survive_an_agent_crash)
{
	pid_t pid;

	start_harness(NULL);
	pid = start_load("8", "6");
	for (unsigned i = 0; i < AGENTS; i++) {
		wait_held(i);
		harness_signal(&h->agents[i], SIGKILL);
		ck_assert_int_eq(harness_start_agent(h, i), 0);
		wait_held(i);
	}
	finish(pid);
}
END_TEST

/* A stop without a successor waits until all flows are closed. */
START_TEST(stop_waits_for_flows)
{
	pid_t pid;

	start_harness("stop_ms = 30000\n");
	pid = start_load("2", "3");
	wait_held(0);
	harness_signal(&h->agents[0], SIGTERM);
	ck_assert_int_eq(harness_wait_exit(&h->agents[0], TIMEOUT_MS), 0);
	finish(pid);
}
END_TEST

/* At stop_ms a stop logs the flows held, and the next agent adopts them. */
START_TEST(stop_at_its_time_limit_logs_the_flows_held)
{
	char *path, *text = NULL;
	pid_t pid;

	start_harness("stop_ms = 300\n");
	pid = start_load("3", "6");
	wait_held(0);
	harness_signal(&h->agents[0], SIGTERM);
	ck_assert_int_eq(harness_wait_exit(&h->agents[0], TIMEOUT_MS), 0);
	path = g_strdup_printf("%s/%s.log", h->dir, h->agents[0].name);
	ck_assert(g_file_get_contents(path, &text, NULL, NULL));
	ck_assert_ptr_nonnull(strstr(text, "stopped at the time limit"));
	ck_assert_ptr_nonnull(strstr(text, "held"));
	ck_assert_int_eq(harness_start_agent(h, 0), 0);
	wait_held(0);
	g_free(path);
	g_free(text);
	finish(pid);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("agent_process");
	TCase *tc = tcase_create("process");

	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, flows_survive_a_handover);
	tcase_add_test(tc, flows_survive_an_agent_crash);
	tcase_add_test(tc, stop_waits_for_flows);
	tcase_add_test(tc, stop_at_its_time_limit_logs_the_flows_held);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
