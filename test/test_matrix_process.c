/*
 * test_matrix_process - pairs of faults over the real processes
 *
 * Feeds, check-ins and downloads run from `cherviltray load`, whose exit code
 * says whether each of them ended whole; the faults are signals and a path
 * that is cut at the fabric.
 */

#include "../bench/harness.h"
#include "runner.h"
#include <glib.h>
#include <signal.h>

#define BALANCERS    3
#define OPENS	     20	   /* seen by the balancers before the faults */
#define BOUND_MS     10000 /* for a condition */
#define LOAD_MS	     60000
#define PAUSE_MS     1500 /* of a stopped process, of a cut */
#define ONE_BALANCER 1
#define ONE_AGENT    2

typedef struct act {
	void (*begin)(harness_t *h);
	void (*end)(harness_t *h);
} act_t;

typedef struct pair {
	const char *name;
	act_t acts[2];
} pair_t;

static void kill_balancer(harness_t *h)
{
	harness_signal(&h->balancers[ONE_BALANCER], SIGKILL);
}

static void forget_balancer(harness_t *h)
{
	harness_fabric_del(h, ONE_BALANCER);
}

static void stop_balancer(harness_t *h)
{
	harness_signal(&h->balancers[0], SIGSTOP);
}

static void wake_balancer(harness_t *h)
{
	harness_signal(&h->balancers[0], SIGCONT);
}

static void stop_agent(harness_t *h)
{
	harness_signal(&h->agents[ONE_AGENT], SIGSTOP);
}

static void wake_agent(harness_t *h)
{
	harness_signal(&h->agents[ONE_AGENT], SIGCONT);
}

static void kill_agent(harness_t *h)
{
	harness_signal(&h->agents[0], SIGKILL);
}

static void start_agent(harness_t *h)
{
	ck_assert_int_eq(harness_start_agent(h, 0), 0);
}

static void end_agent(harness_t *h)
{
	harness_signal(&h->agents[0], SIGTERM);
	ck_assert_int_eq(harness_wait_exit(&h->agents[0], BOUND_MS), 0);
	start_agent(h);
}

static void cut_path(harness_t *h)
{
	char at[ENDPOINT_TEXT], text[64];

	endpoint_format(&h->balancers[2].packet_addr, at);
	g_snprintf(text, sizeof(text), "#cut %s", at);
	g_free(harness_command(h, &h->fabric_addr, text));
}

static void heal_path(harness_t *h)
{
	g_free(harness_command(h, &h->fabric_addr, "#heal"));
}

static void add_balancer(harness_t *h)
{
	ck_assert_int_eq(harness_start_balancer(h, BALANCERS), 0);
	harness_fabric_add(h, BALANCERS);
}

static void nothing(harness_t *h)
{
	(void)h;
}

static const pair_t pairs[] = {
	{ "balancer_killed_agent_frozen",
	  { { kill_balancer, forget_balancer }, { stop_agent, wake_agent } } },
	{ "agent_killed_path_cut",
	  { { kill_agent, start_agent }, { cut_path, heal_path } } },
	{ "balancer_frozen_agent_stopped",
	  { { stop_balancer, wake_balancer }, { end_agent, nothing } } },
	{ "balancer_joined_balancer_killed",
	  { { add_balancer, nothing }, { kill_balancer, forget_balancer } } },
};

static void wait_for_opens(harness_t *h)
{
	uint64_t until = harness_now_ms() + BOUND_MS;
	int64_t opens = 0;

	while (opens < OPENS) {
		ck_assert_uint_lt(harness_now_ms(), until);
		opens = 0;
		for (unsigned i = 0; i < BALANCERS; i++)
			opens += harness_counter(h, &h->balancers[i], "opens");
		harness_sleep_ms(20);
	}
}

static void play(int i)
{
	static const char *const args[] = { "--job",
					    "feed,spot,feed,15",
					    "--job",
					    "log,spot,check-in,15",
					    "--job",
					    "get,maps,map,2,200000",
					    "--seconds",
					    "3",
					    "--feed-seconds",
					    "3",
					    NULL };
	harness_options_t options = { .config_file = "examples/agency.toml",
				      .balancers = BALANCERS,
				      .seed = 1 };
	harness_t *h = harness_start(&options);
	const pair_t *p = &pairs[i];
	uint64_t records, doubled;
	pid_t load;

	ck_assert_ptr_nonnull(h);
	load = harness_start_load(h, "load.out", args);
	wait_for_opens(h);
	p->acts[0].begin(h);
	p->acts[1].begin(h);
	harness_sleep_ms(PAUSE_MS);
	p->acts[0].end(h);
	p->acts[1].end(h);
	ck_assert_int_eq(harness_wait_pid(load, LOAD_MS), 0);
	harness_count_records(h, &records, &doubled);
	ck_assert_uint_ge(records, 40);
	ck_assert_uint_eq(doubled, 0);
	harness_stop(h);
}

int main(void)
{
	static TTest tests[G_N_ELEMENTS(pairs)];
	Suite *s = suite_create("matrix_process");
	TCase *tc = tcase_create("pairs");

	for (int i = 0; i < (int)G_N_ELEMENTS(pairs); i++) {
		tests[i] = (TTest){ pairs[i].name, play, __FILE__, __LINE__ };
		tcase_add_loop_test(tc, &tests[i], i, i + 1);
	}
	tcase_set_timeout(tc, 90);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
