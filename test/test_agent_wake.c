/*
 * test_agent_wake - agents that resume after a pause, targets that are drained
 * or removed from the configuration
 */

#include "agent_rig.h"
#include "runner.h"

#define PORT 4000
#define ISN  70000

static rig_t *rig;

/* Index of the agent at which the flow is opening, or UINT32_MAX. */
static unsigned opening_agent(uint16_t port)
{
	for (unsigned i = 0; i < rig->n; i++)
		if (!strcmp(rig_state(rig, i, port), "opening"))
			return i;
	return UINT32_MAX;
}

/* Sends a SYN to an agent. Returns the index of the one that accepts it. */
static unsigned send_open(unsigned agent, uint16_t port)
{
	rig->agents[agent].server = RIG_SILENT;
	rig_send(rig, agent, STEP_OPEN, port, TCP_SYN, ISN, 0, NULL);
	return opening_agent(port);
}

/*
 * After a pause of a minute an agent passes opens on until a peer has reported
 * its configuration version, or for 3 s. Without MECHANISM_ASK_PEERS it accepts
 * them at once.
 */
START_TEST(resumed_agent_asks_peers_before_it_takes_opens)
{
	static const mechanisms_t off[] = { 0, 1U << MECHANISM_ASK_PEERS };

	for (unsigned i = 0; i < 2; i++) {
		rig = rig_new(3, off[i]);
		rig_advance(rig, 2000);
		rig->agents[0].unreachable = true;
		rig_advance(rig, 60000);
		/* The peers do not receive the request for their version. */
		rig->agents[1].unreachable = rig->agents[2].unreachable = true;
		rig->agents[0].unreachable = false;
		if (i == 0)
			ck_assert_uint_ne(send_open(0, PORT), 0);
		else
			ck_assert_uint_eq(send_open(0, PORT), 0);
		rig->agents[1].unreachable = rig->agents[2].unreachable = false;
		rig_advance(rig, 4000);
		if (i == 0)
			ck_assert_uint_eq(send_open(0, PORT + 1), 0);
		rig_free(rig);
	}
}
END_TEST

/*
 * A target is drained while its agent is paused. The agent must not accept
 * opens by the configuration that it had before the pause.
 */
START_TEST(resumed_agent_with_an_old_configuration_takes_no_opens)
{
	config_t *newer = rig_config(3, 2, -1);

	rig = rig_new(3, 0);
	newer->services[0].targets[0].state = TARGET_DRAINING;
	rig_advance(rig, 2000);
	rig->agents[0].unreachable = true;
	for (unsigned i = 1; i < 3; i++)
		agent_configure(rig->agents[i].agent, rig->now, newer);
	rig_advance(rig, 60000);
	rig->agents[0].unreachable = false;
	for (uint16_t port = 1; port <= 100; port++) {
		ck_assert_uint_ne(send_open(0, port), 0);
		rig_advance(rig, 100);
	}
	agent_configure(rig->agents[0].agent, rig->now, newer);
	rig_advance(rig, 30000);
	ck_assert_uint_ne(send_open(0, PORT), 0);
	rig_free(rig);
	config_unref(newer);
}
END_TEST

/*
 * All agents are paused for a minute. None may then declare the others dead or
 * reset flows because nothing arrived during the pause.
 */
START_TEST(long_pause_keeps_flows)
{
	rig = rig_new(3, 0);
	rig_open(rig, 0, PORT, ISN);
	rig_advance(rig, 2000);
	for (unsigned i = 0; i < 3; i++)
		rig->agents[i].unreachable = true;
	rig_advance(rig, 60000);
	for (unsigned i = 0; i < 3; i++)
		rig->agents[i].unreachable = false;
	rig_advance(rig, 10000);
	ck_assert_uint_eq(rig->resets, 0);
	ck_assert_str_eq(rig_state(rig, 0, PORT), "established");
	ck_assert_uint_eq(rig_counter(rig, 0, COUNTER_MEMBERS_DEAD), 0);
	rig_free(rig);
}
END_TEST

/*
 * A target is removed from the configuration while it holds a flow, then the
 * other agents restart. They must still find the flow there: a removed target
 * announces itself until it has no flows left (MECHANISM_LINGER).
 */
START_TEST(flows_of_a_removed_target_are_found)
{
	static const mechanisms_t off[] = { 0, 1U << MECHANISM_LINGER };

	for (unsigned i = 0; i < 2; i++) {
		config_t *full, *reduced = rig_config(3, 2, 2);

		rig = rig_new(3, off[i]);
		rig_advance(rig, 2000);
		rig_open(rig, 2, PORT, ISN);
		for (unsigned j = 0; j < 3; j++)
			agent_configure(rig->agents[j].agent, rig->now,
					reduced);
		full = rig->config;
		rig->config = reduced;
		rig_restart(rig, 0);
		rig_restart(rig, 1);
		rig_advance(rig, 40000);
		rig_send(rig, 0, STEP_LOOKUP, PORT, TCP_ACK, ISN + 1, 5001,
			 "abc");
		ck_assert_uint_eq(rig->agents[2].payloads, i == 0);
		ck_assert_uint_eq(rig->resets, i);
		/*
		 * The removed target accepts no opens, and leaves the group
		 * once its last flow has ended.
		 */
		ck_assert_uint_ne(send_open(2, PORT + 1), 2);
		rig_send(rig, 2, STEP_LOOKUP, PORT, TCP_RST, ISN + 4, 0, NULL);
		rig_advance(rig, 61000);
		ck_assert_uint_eq(agent_group(rig->agents[0].agent)->n, 2);
		/* It forwards what an outdated balancer sends to it. */
		rig_open(rig, 1, PORT + 2, ISN);
		rig_send(rig, 2, STEP_LOOKUP, PORT + 2, TCP_ACK, ISN + 1, 5001,
			 "abc");
		ck_assert_uint_eq(rig->agents[1].payloads, 1);
		ck_assert_uint_lt(send_open(2, PORT + 3), 2);
		rig->config = full;
		rig_free(rig);
		config_unref(reduced);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("agent_wake");
	TCase *tc = tcase_create("wake");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, resumed_agent_asks_peers_before_it_takes_opens);
	tcase_add_test(tc,
		       resumed_agent_with_an_old_configuration_takes_no_opens);
	tcase_add_test(tc, long_pause_keeps_flows);
	tcase_add_test(tc, flows_of_a_removed_target_are_found);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
