/*
 * test_matrix_process - injects pairs of faults into real processes
 *
 * `cherviltray load` sends feeds, check-ins and downloads; its exit code tells
 * whether all of them completed. The faults are signals, a new balancer, and a
 * path from the fabric to a balancer that is cut.
 */

#include "../bench/harness.h"
#include "runner.h"
#include <glib.h>
#include <signal.h>

#define BALANCERS	  3
#define MIN_OPENS	  20	/* sum over the balancers, before the faults */
#define WAIT_TIMEOUT_MS	  10000 /* for opens and for the exit of a process */
#define LOAD_TIMEOUT_MS	  60000 /* for the exit of `cherviltray load` */
#define FAULT_DURATION_MS 1500	/* from begin() to end() of both faults */
#define KILLED_BALANCER	  1
#define FROZEN_AGENT	  2

typedef struct process_fault {
	void (*begin)(harness_t *h);
	void (*end)(harness_t *h);
} process_fault_t;

typedef struct pair {
	const char *name;
	process_fault_t faults[2];
} pair_t;

static void kill_balancer(harness_t *h)
{
	harness_signal(&h->balancers[KILLED_BALANCER], SIGKILL);
}

static void remove_balancer(harness_t *h)
{
	harness_fabric_del(h, KILLED_BALANCER);
}

static void freeze_balancer(harness_t *h)
{
	harness_signal(&h->balancers[0], SIGSTOP);
}

static void thaw_balancer(harness_t *h)
{
	harness_signal(&h->balancers[0], SIGCONT);
}

static void freeze_agent(harness_t *h)
{
	harness_signal(&h->agents[FROZEN_AGENT], SIGSTOP);
}

static void thaw_agent(harness_t *h)
{
	harness_signal(&h->agents[FROZEN_AGENT], SIGCONT);
}

static void kill_agent(harness_t *h)
{
	harness_signal(&h->agents[0], SIGKILL);
}

static void start_agent(harness_t *h)
{
	ck_assert_int_eq(harness_start_agent(h, 0), 0);
}

static void restart_agent(harness_t *h)
{
	harness_signal(&h->agents[0], SIGTERM);
	ck_assert_int_eq(harness_wait_exit(&h->agents[0], WAIT_TIMEOUT_MS), 0);
	start_agent(h);
}

static void cut_path(harness_t *h)
{
	char at[ENDPOINT_TEXT_SIZE], text[64];

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

static void no_op(harness_t *h)
{
	(void)h;
}

static const pair_t pairs[] = {
	{ "balancer_killed_agent_frozen",
	  { { kill_balancer, remove_balancer },
	    { freeze_agent, thaw_agent } } },
	{ "agent_killed_path_cut",
	  { { kill_agent, start_agent }, { cut_path, heal_path } } },
	{ "balancer_frozen_agent_stopped",
	  { { freeze_balancer, thaw_balancer }, { restart_agent, no_op } } },
	{ "balancer_joined_balancer_killed",
	  { { add_balancer, no_op }, { kill_balancer, remove_balancer } } },
};

static void wait_for_opens(harness_t *h)
{
	uint64_t deadline_ms = harness_now_ms() + WAIT_TIMEOUT_MS;
	int64_t opens = 0;

	while (opens < MIN_OPENS) {
		ck_assert_uint_lt(harness_now_ms(), deadline_ms);
		opens = 0;
		for (unsigned i = 0; i < BALANCERS; i++)
			opens += harness_counter(h, &h->balancers[i], "opens");
		harness_sleep_ms(20);
	}
}

static void run_pair(int i)
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
	uint64_t records, duplicates;
	pid_t load;

	ck_assert_ptr_nonnull(h);
	load = harness_start_load(h, "load.out", args);
	wait_for_opens(h);
	p->faults[0].begin(h);
	p->faults[1].begin(h);
	harness_sleep_ms(FAULT_DURATION_MS);
	p->faults[0].end(h);
	p->faults[1].end(h);
	ck_assert_int_eq(harness_wait_pid(load, LOAD_TIMEOUT_MS), 0);
	harness_count_records(h, &records, &duplicates);
	ck_assert_uint_ge(records, 40); /* about 45 logs: 15 per s for 3 s */
	ck_assert_uint_eq(duplicates, 0);
	harness_stop(h);
}

int main(void)
{
	static TTest tests[G_N_ELEMENTS(pairs)];
	Suite *s = suite_create("matrix_process");
	TCase *tc = tcase_create("pairs");

	for (int i = 0; i < (int)G_N_ELEMENTS(pairs); i++) {
		tests[i] =
			(TTest){ pairs[i].name, run_pair, __FILE__, __LINE__ };
		tcase_add_loop_test(tc, &tests[i], i, i + 1);
	}
	tcase_set_timeout(tc, 90);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
