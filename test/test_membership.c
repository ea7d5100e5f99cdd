/*
 * test_membership - failure detection, refutation, restart and leaving in a
 * group of seven members, under a constant load of opens
 */

#include "runner.h"
#include "../bench/world.h"
#include <stdio.h>

#define MEMBERS		 7
#define OPEN_INTERVAL_MS 20
#define PAUSE_MS	 2000 /* pause of one process */
#define NO_OPENS_MS	 3000 /* after this a failed host gets no opens */
#define ALL_DEAD_MS	 8000 /* after this all see a silent member as dead */
#define LOSS_RATIO	 0.05 /* of packets and messages */
#define BALANCERS	 3
#define FAULTY		 2 /* member to which the faults apply */

static world_t *start_world(double loss, uint64_t seed)
{
	world_options_t options = { .balancers = BALANCERS,
				    .seed = seed,
				    .delay_ms = 1,
				    .jitter_ms = 2,
				    .loss = loss };
	char *text;
	world_t *w;

	ck_assert(
		g_file_get_contents("examples/agency.toml", &text, NULL, NULL));
	options.config_text = text;
	w = world_new(&options);
	g_free(text);
	return w;
}

/* Starts short requests for ms; returns the number of the first. */
static size_t run_opens(world_t *w, unsigned ms)
{
	app_request_t get = { .kind = APP_GET, .bytes = 100, .weight = 1 };
	size_t first = world_requests(w);

	for (unsigned t = 0; t < ms; t += OPEN_INTERVAL_MS) {
		get.id = world_requests(w);
		world_request(w, "spot", "feed", &get);
		world_run(w, OPEN_INTERVAL_MS);
	}
	return first;
}

static uint64_t sum_counter(world_t *w, counter_t counter)
{
	uint64_t n = 0;

	for (unsigned i = 0; i < MEMBERS; i++)
		if (world_agent(w, i))
			n += agent_counters(world_agent(w, i))->values[counter];
	return n;
}

/* Other members that see the faulty member in a state. */
static unsigned count_members_seeing(world_t *w, member_state_t state)
{
	unsigned n = 0;

	for (unsigned i = 0; i < MEMBERS; i++) {
		const group_t *g;

		if (i == FAULTY)
			continue;
		g = agent_group(world_agent(w, i));
		n += g->members[FAULTY].state == state;
	}
	return n;
}

static size_t count_unfinished(world_t *w, size_t first)
{
	size_t n = 0;

	for (size_t i = first; i < world_requests(w); i++)
		n += !world_result(w, i)->ended ||
		     world_result(w, i)->outcome != OUTCOME_DONE;
	return n;
}

/*
 * With 5 % loss and pauses of 2 s of each member in turn, suspicions must be
 * refuted before they turn into deaths.
 */
START_TEST(loss_and_pauses_leave_no_member_dead)
{
	world_t *w = start_world(LOSS_RATIO, (uint64_t)_i + 1);

	run_opens(w, 3000);
	for (unsigned turn = 0; turn < 2 * MEMBERS; turn++) {
		world_freeze(w, PLACE_AGENT, turn % MEMBERS);
		run_opens(w, PAUSE_MS);
		world_thaw(w, PLACE_AGENT, turn % MEMBERS);
		run_opens(w, 3000);
	}
	printf("seed %d: %llu suspicions, %llu refutations, %llu deaths\n",
	       _i + 1, (unsigned long long)sum_counter(w, COUNTER_SUSPICIONS),
	       (unsigned long long)sum_counter(w, COUNTER_REFUTATIONS),
	       (unsigned long long)sum_counter(w, COUNTER_MEMBERS_DEAD));
	ck_assert_uint_eq(sum_counter(w, COUNTER_MEMBERS_DEAD), 0);
	ck_assert_uint_eq(count_members_seeing(w, MEMBER_ALIVE), MEMBERS - 1);
	world_free(w);
}
END_TEST

/*
 * Agent and backend server of a host fail: the balancers stop offering it
 * opens within 3 s, and each open still ends with an answer.
 */
START_TEST(dead_host_gets_no_opens_and_loses_none)
{
	world_t *w = start_world(0, (uint64_t)_i + 1);
	uint64_t killed;
	size_t first;

	run_opens(w, 5000);
	ck_assert(world_settle(w, 10000));
	killed = world_now(w);
	world_kill(w, PLACE_AGENT, FAULTY);
	world_kill(w, PLACE_SERVER, FAULTY);
	first = run_opens(w, 30000);
	ck_assert(world_settle(w, 30000));
	printf("seed %d: last open offered to the failed host after %lld ms\n",
	       _i + 1, (long long)(world_last_open(w, FAULTY) - killed));
	ck_assert_uint_le(world_last_open(w, FAULTY), killed + NO_OPENS_MS);
	ck_assert_uint_eq(count_unfinished(w, first), 0);
	ck_assert_uint_eq(count_members_seeing(w, MEMBER_DEAD), MEMBERS - 1);
	world_free(w);
}
END_TEST

/* A member that was paused for 2 s refutes the suspicion and gets opens again.
 */
START_TEST(paused_member_refutes_suspicion)
{
	world_t *w = start_world(0, 5);
	uint64_t resumed_ms;

	run_opens(w, 3000);
	world_freeze(w, PLACE_AGENT, FAULTY);
	run_opens(w, PAUSE_MS);
	ck_assert_uint_ge(count_members_seeing(w, MEMBER_SUSPECT), MEMBERS - 2);
	world_thaw(w, PLACE_AGENT, FAULTY);
	resumed_ms = world_now(w);
	run_opens(w, 5000);
	ck_assert_uint_ge(sum_counter(w, COUNTER_REFUTATIONS), 1);
	ck_assert_uint_eq(count_members_seeing(w, MEMBER_ALIVE), MEMBERS - 1);
	ck_assert_uint_gt(world_last_open(w, FAULTY), resumed_ms);
	ck_assert_uint_eq(sum_counter(w, COUNTER_MEMBERS_DEAD), 0);
	world_free(w);
}
END_TEST

/* A member that was declared dead is alive again within 3 s of its restart. */
START_TEST(restarted_member_is_alive_again)
{
	world_t *w = start_world(0, 6);
	uint64_t started;

	run_opens(w, 3000);
	world_kill(w, PLACE_AGENT, FAULTY);
	run_opens(w, ALL_DEAD_MS);
	ck_assert_uint_eq(count_members_seeing(w, MEMBER_DEAD), MEMBERS - 1);
	world_restart(w, PLACE_AGENT, FAULTY);
	started = world_now(w);
	run_opens(w, 3000);
	ck_assert_uint_eq(count_members_seeing(w, MEMBER_ALIVE), MEMBERS - 1);
	run_opens(w, 10000);
	ck_assert_uint_gt(world_last_open(w, FAULTY), started);
	world_free(w);
}
END_TEST

/* An agent in its graceful stop accepts no opens, and all members see that. */
START_TEST(leaving_member_takes_no_opens)
{
	world_t *w = start_world(LOSS_RATIO, 7);
	counters_t *c;
	uint64_t accepted;

	run_opens(w, 3000);
	c = agent_counters(world_agent(w, FAULTY));
	world_leave(w, FAULTY);
	accepted = c->values[COUNTER_OPENS_ACCEPTED];
	run_opens(w, 5000);
	ck_assert_uint_eq(c->values[COUNTER_OPENS_ACCEPTED], accepted);
	ck_assert_uint_eq(count_members_seeing(w, MEMBER_LEAVING), MEMBERS - 1);
	world_free(w);
}
END_TEST

/*
 * When the path between two members fails in one direction or both, relayed
 * probes keep them from declaring each other dead.
 */
START_TEST(broken_path_between_two_members_leaves_none_dead)
{
	world_t *w = start_world(0, 8);
	place_t one = { PLACE_AGENT, FAULTY };
	place_t other = { PLACE_AGENT, FAULTY + 1 };

	run_opens(w, 3000);
	world_cut(w, one, other);
	if (_i)
		world_cut(w, other, one);
	run_opens(w, 20000);
	ck_assert_uint_eq(sum_counter(w, COUNTER_MEMBERS_DEAD), 0);
	world_free(w);
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
