/*
 * test_membership - failure detection, refutation, restart and leaving in a
 * group of seven members, under a constant load of opens
 */

#include "runner.h"
#include "../bench/cluster_sim.h"
#include <stdio.h>

#define MEMBERS		 7
#define OPEN_INTERVAL_MS 20
#define PAUSE_MS	 2000 /* pause of one process */
#define NO_OPENS_MS	 3000 /* after this a failed host gets no opens */
#define ALL_DEAD_MS	 8000 /* after this all see a silent member as dead */
#define LOSS_RATIO	 0.05 /* of packets and messages */
#define BALANCERS	 3
#define FAULTY		 2 /* member to which the faults apply */

static csim_t *start_sim(double loss, uint64_t seed)
{
	csim_options_t options = { .balancers = BALANCERS,
				   .seed = seed,
				   .delay_ms = 1,
				   .jitter_ms = 2,
				   .loss_ratio = loss };
	char *text;
	csim_t *sim;

	ck_assert(
		g_file_get_contents("examples/agency.toml", &text, NULL, NULL));
	options.config_text = text;
	sim = csim_new(&options);
	g_free(text);
	return sim;
}

/* Starts short requests for ms; returns the number of the first. */
static size_t run_opens(csim_t *sim, unsigned ms)
{
	app_request_t get = { .kind = APP_GET, .bytes = 100, .weight = 1 };
	size_t first = csim_request_count(sim);

	for (unsigned t = 0; t < ms; t += OPEN_INTERVAL_MS) {
		get.id = csim_request_count(sim);
		csim_begin_request(sim, "spot", "feed", &get);
		csim_run(sim, OPEN_INTERVAL_MS);
	}
	return first;
}

static uint64_t sum_counter(csim_t *sim, counter_t counter)
{
	uint64_t n = 0;

	for (unsigned i = 0; i < MEMBERS; i++)
		if (csim_agent(sim, i))
			n += agent_counters(csim_agent(sim, i))
				     ->values[counter];
	return n;
}

/* Other members that see the faulty member in a state. */
static unsigned count_members_seeing(csim_t *sim, member_state_t state)
{
	unsigned n = 0;

	for (unsigned i = 0; i < MEMBERS; i++) {
		const group_t *g;

		if (i == FAULTY)
			continue;
		g = agent_group(csim_agent(sim, i));
		n += g->members[FAULTY].state == state;
	}
	return n;
}

static size_t count_unfinished(csim_t *sim, size_t first)
{
	size_t n = 0;

	for (size_t i = first; i < csim_request_count(sim); i++)
		n += !csim_result(sim, i)->ended ||
		     csim_result(sim, i)->outcome != OUTCOME_DONE;
	return n;
}

/*
 * With 5 % loss and pauses of 2 s of each member in turn, suspicions must be
 * refuted before they turn into deaths.
 */
START_TEST(loss_and_pauses_leave_no_member_dead)
{
	csim_t *sim = start_sim(LOSS_RATIO, (uint64_t)_i + 1);

	run_opens(sim, 3000);
	for (unsigned turn = 0; turn < 2 * MEMBERS; turn++) {
		csim_freeze(sim, NODE_AGENT, turn % MEMBERS);
		run_opens(sim, PAUSE_MS);
		csim_thaw(sim, NODE_AGENT, turn % MEMBERS);
		run_opens(sim, 3000);
	}
	printf("seed %d: %llu suspicions, %llu refutations, %llu deaths\n",
	       _i + 1, (unsigned long long)sum_counter(sim, COUNTER_SUSPICIONS),
	       (unsigned long long)sum_counter(sim, COUNTER_REFUTATIONS),
	       (unsigned long long)sum_counter(sim, COUNTER_MEMBERS_DEAD));
	ck_assert_uint_eq(sum_counter(sim, COUNTER_MEMBERS_DEAD), 0);
	ck_assert_uint_eq(count_members_seeing(sim, MEMBER_ALIVE), MEMBERS - 1);
	csim_free(sim);
}
END_TEST

/*
 * Agent and backend server of a host fail: the balancers stop offering it
 * opens within 3 s, and each open still ends with an answer.
 */
START_TEST(dead_host_gets_no_opens_and_loses_none)
{
	csim_t *sim = start_sim(0, (uint64_t)_i + 1);
	uint64_t killed;
	size_t first;

	run_opens(sim, 5000);
	ck_assert(csim_run_until_idle(sim, 10000));
	killed = csim_now(sim);
	csim_kill(sim, NODE_AGENT, FAULTY);
	csim_kill(sim, NODE_SERVER, FAULTY);
	first = run_opens(sim, 30000);
	ck_assert(csim_run_until_idle(sim, 30000));
	printf("seed %d: last open offered to the failed host after %lld ms\n",
	       _i + 1, (long long)(csim_last_open_ms(sim, FAULTY) - killed));
	ck_assert_uint_le(csim_last_open_ms(sim, FAULTY), killed + NO_OPENS_MS);
	ck_assert_uint_eq(count_unfinished(sim, first), 0);
	ck_assert_uint_eq(count_members_seeing(sim, MEMBER_DEAD), MEMBERS - 1);
	csim_free(sim);
}
END_TEST

/* A member that was paused for 2 s refutes the suspicion and gets opens again.
 */
START_TEST(paused_member_refutes_suspicion)
{
	csim_t *sim = start_sim(0, 5);
	uint64_t resumed_ms;

	run_opens(sim, 3000);
	csim_freeze(sim, NODE_AGENT, FAULTY);
	run_opens(sim, PAUSE_MS);
	ck_assert_uint_ge(count_members_seeing(sim, MEMBER_SUSPECT),
			  MEMBERS - 2);
	csim_thaw(sim, NODE_AGENT, FAULTY);
	resumed_ms = csim_now(sim);
	run_opens(sim, 5000);
	ck_assert_uint_ge(sum_counter(sim, COUNTER_REFUTATIONS), 1);
	ck_assert_uint_eq(count_members_seeing(sim, MEMBER_ALIVE), MEMBERS - 1);
	ck_assert_uint_gt(csim_last_open_ms(sim, FAULTY), resumed_ms);
	ck_assert_uint_eq(sum_counter(sim, COUNTER_MEMBERS_DEAD), 0);
	csim_free(sim);
}
END_TEST

/* A member that was declared dead is alive again within 3 s of its restart. */
START_TEST(restarted_member_is_alive_again)
{
	csim_t *sim = start_sim(0, 6);
	uint64_t started;

	run_opens(sim, 3000);
	csim_kill(sim, NODE_AGENT, FAULTY);
	run_opens(sim, ALL_DEAD_MS);
	ck_assert_uint_eq(count_members_seeing(sim, MEMBER_DEAD), MEMBERS - 1);
	csim_restart(sim, NODE_AGENT, FAULTY);
	started = csim_now(sim);
	run_opens(sim, 3000);
	ck_assert_uint_eq(count_members_seeing(sim, MEMBER_ALIVE), MEMBERS - 1);
	run_opens(sim, 10000);
	ck_assert_uint_gt(csim_last_open_ms(sim, FAULTY), started);
	csim_free(sim);
}
END_TEST

/* An agent in its graceful stop accepts no opens, and all members see that. */
START_TEST(leaving_member_takes_no_opens)
{
	csim_t *sim = start_sim(LOSS_RATIO, 7);
	counters_t *c;
	uint64_t accepted;

	run_opens(sim, 3000);
	c = agent_counters(csim_agent(sim, FAULTY));
	csim_agent_leave(sim, FAULTY);
	accepted = c->values[COUNTER_OPENS_ACCEPTED];
	run_opens(sim, 5000);
	ck_assert_uint_eq(c->values[COUNTER_OPENS_ACCEPTED], accepted);
	ck_assert_uint_eq(count_members_seeing(sim, MEMBER_LEAVING),
			  MEMBERS - 1);
	csim_free(sim);
}
END_TEST

/*
 * When the path between two members fails in one direction or both, relayed
 * probes keep them from declaring each other dead.
 */
START_TEST(broken_path_between_two_members_leaves_none_dead)
{
	csim_t *sim = start_sim(0, 8);
	node_t one = { NODE_AGENT, FAULTY };
	node_t other = { NODE_AGENT, FAULTY + 1 };

	run_opens(sim, 3000);
	csim_cut(sim, one, other);
	if (_i)
		csim_cut(sim, other, one);
	run_opens(sim, 20000);
	ck_assert_uint_eq(sum_counter(sim, COUNTER_MEMBERS_DEAD), 0);
	csim_free(sim);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("membership");
	TCase *tc = tcase_create("group");

	tcase_set_timeout(tc, 120);
	tcase_add_loop_test(tc, loss_and_pauses_leave_no_member_dead, 0, 3);
	tcase_add_loop_test(tc, dead_host_gets_no_opens_and_loses_none, 0, 3);
	tcase_add_test(tc, paused_member_refutes_suspicion);
	tcase_add_test(tc, restarted_member_is_alive_again);
	tcase_add_test(tc, leaving_member_takes_no_opens);
	tcase_add_loop_test(
		tc, broken_path_between_two_members_leaves_none_dead, 0, 2);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
