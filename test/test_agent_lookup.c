/*
 * test_agent_lookup - a flow is reset only after all members were asked
 */

#include "agent_rig.h"
#include "runner.h"

#define PORT	4000
#define ISN	70000
#define UNKNOWN "cherviltray: outcome unknown; retry-after=2"

static rig_t *rig;

static void send_data(unsigned agent)
{
	rig_send(rig, agent, STEP_LOOKUP, PORT, TCP_ACK, ISN + 1, 5001, "abc");
}

/* No member holds the flow: each one is asked once, then it is reset. */
START_TEST(flow_held_by_no_member_is_reset)
{
	static const unsigned sizes[] = { 1, 7, 50, 1000 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		rig = rig_new(sizes[i], 0);
		send_data(0);
		ck_assert_uint_eq(rig->resets, 1);
		ck_assert_str_eq(rig->reset_text, UNKNOWN);
		ck_assert_uint_eq(rig->last_reply.seq, 5001);
		ck_assert_uint_eq(rig->forwarded, sizes[i] - 1);
		for (unsigned j = 0; j < sizes[i]; j++)
			ck_assert_uint_eq(rig->agents[j].payloads, 0);
		rig_free(rig);
	}
}
END_TEST

START_TEST(holder_is_found_from_any_member)
{
	rig = rig_new(7, 0);
	rig_open(rig, 3, PORT, ISN);
	for (unsigned i = 0; i < 7; i++) {
		send_data(i);
		ck_assert_uint_eq(rig->agents[3].payloads, i + 1);
		ck_assert_uint_eq(rig->last_held.agent_ip, 0x7f020003U);
	}
	ck_assert_uint_eq(rig->resets, 0);
	rig_free(rig);
}
END_TEST

/*
 * A server that does not answer a verification probe may have the flow: no
 * reset before the wait for it is over.
 */
START_TEST(unanswered_probe_is_no_denial)
{
	uint64_t begun;

	rig = rig_new(3, 0);
	rig->agents[1].server = RIG_SILENT;
	begun = rig->now;
	send_data(0);
	rig_advance(rig, 2000);
	ck_assert_uint_eq(rig->resets, 0);
	send_data(2);
	while (!rig->resets && rig->now < begun + 8000)
		rig_advance(rig, 50);
	/* One reset per lookup at most. */
	ck_assert_uint_ge(rig->resets, 1);
	ck_assert_uint_le(rig->resets, 2);
	ck_assert_uint_eq(rig->last_reply.seq, 5001);
	ck_assert_str_eq(rig->reset_text, UNKNOWN);
	rig_free(rig);
}
END_TEST

/* The server answers before the wait is over and has the flow. */
START_TEST(late_probe_answer_finds_the_flow)
{
	rig = rig_new(3, 0);
	rig->agents[1].server = RIG_SILENT;
	send_data(0);
	rig_advance(rig, 3000);
	rig->agents[1].server = RIG_ACKS;
	send_data(0);
	ck_assert_uint_eq(rig->agents[1].payloads, 1);
	rig_advance(rig, 10000);
	ck_assert_uint_eq(rig->resets, 0);
	ck_assert_str_eq(rig_state(rig, 1, PORT), "established");
	rig_free(rig);
}
END_TEST

/* The holder is considered dead: reset after more than 4 s, within 8 s. */
START_TEST(lookup_past_a_dead_member_ends_in_a_reset)
{
	uint64_t begun;

	rig = rig_new(5, 0);
	rig_advance(rig, 1500);
	rig_open(rig, 2, PORT, ISN);
	rig->agents[2].unreachable = true;
	rig_advance(rig, 6000);
	ck_assert_uint_eq(rig->resets, 0);
	begun = rig->now;
	send_data(0);
	rig_advance(rig, 4000);
	ck_assert_uint_eq(rig->resets, 0);
	while (!rig->resets && rig->now < begun + 8000)
		rig_advance(rig, 50);
	ck_assert_uint_eq(rig->resets, 1);
	ck_assert_uint_eq(rig->last_reply.seq, 5001);
	rig_free(rig);
}
END_TEST

/* The holder is reachable again before the group has learned of it. */
START_TEST(holder_that_is_reachable_again_is_found)
{
	rig = rig_new(5, 0);
	rig_advance(rig, 1500);
	rig_open(rig, 2, PORT, ISN);
	rig->agents[2].unreachable = true;
	rig_advance(rig, 6000);
	send_data(0);
	rig_advance(rig, 2000);
	rig->agents[2].unreachable = false;
	send_data(0);
	ck_assert_uint_eq(rig->agents[2].payloads, 1);
	rig_advance(rig, 10000);
	ck_assert_uint_eq(rig->resets, 0);
	ck_assert_str_eq(rig_state(rig, 2, PORT), "established");
	rig_free(rig);
}
END_TEST

/* A suspect is asked last; without its answer, reset within 8 s. */
START_TEST(lookup_past_a_silent_suspect_ends_in_a_reset)
{
	uint64_t begun;

	rig = rig_new(5, 0);
	rig_advance(rig, 1500);
	rig->agents[2].unreachable = true;
	rig_advance(rig, 3000);
	begun = rig->now;
	send_data(0);
	ck_assert_uint_eq(rig->resets, 0);
	while (!rig->resets && rig->now < begun + 8000)
		rig_advance(rig, 50);
	ck_assert_uint_eq(rig->resets, 1);
	rig_free(rig);
}
END_TEST

/*
 * The holder is only in the newer configuration, and members with the older
 * one take part in the lookup.
 */
START_TEST(holder_is_found_across_configuration_versions)
{
	config_t *small = rig_config(5, 2, 4);
	config_t *large = rig_config(5, 3, -1);

	for (unsigned first = 0; first < 4; first++) {
		config_t *all;

		rig = rig_new(5, 0);
		all = rig->config;
		for (unsigned i = 0; i < 5; i++) {
			bool knows = i == first || i == 4;

			rig->config = knows ? large : small;
			rig_restart(rig, i);
		}
		rig->config = all;
		for (uint16_t port = PORT; port < PORT + 20; port++) {
			rig_open(rig, 4, port, ISN);
			rig_send(rig, port % 4, STEP_LOOKUP, port, TCP_ACK,
				 ISN + 1, 5001, "abc");
			ck_assert_uint_eq(rig->agents[4].payloads,
					  port - PORT + 1U);
		}
		ck_assert_uint_eq(rig->resets, 0);
		rig_free(rig);
	}
	config_unref(small);
	config_unref(large);
}
END_TEST

/*
 * Later than 60 s after its start an agent verifies only flows that no member
 * knows, and still finds a flow that it does not know itself.
 */
START_TEST(servers_are_probed_last)
{
	rig = rig_new(5, 0);
	rig_advance(rig, 61000);
	rig_open(rig, 3, PORT, ISN);
	send_data(0);
	ck_assert_uint_eq(rig->agents[3].payloads, 1);
	for (unsigned i = 0; i < 5; i++)
		ck_assert_uint_eq(rig_counter(rig, i, COUNTER_TRIALS), 0);
	/* Another server has a flow that its agent does not know. */
	rig->agents[4].server = RIG_ACKS;
	rig_send(rig, 0, STEP_LOOKUP, PORT + 1, TCP_ACK, ISN + 1, 5001, "abc");
	ck_assert_uint_eq(rig->agents[4].payloads, 1);
	ck_assert_uint_eq(rig->resets, 0);
	/* A flow that no server has is reset. */
	rig->agents[4].server = RIG_RESETS;
	rig->agents[3].server = RIG_RESETS;
	rig_send(rig, 0, STEP_LOOKUP, PORT + 2, TCP_ACK, ISN + 1, 5001, "abc");
	ck_assert_uint_eq(rig->resets, 1);
	rig_free(rig);
}
END_TEST

/* Without MECHANISM_CHAIN a flow held by another member is reset. */
START_TEST(breaks_without_the_chain)
{
	rig = rig_new(3, 1U << MECHANISM_CHAIN);
	rig_open(rig, 1, PORT, ISN);
	send_data(0);
	ck_assert_uint_eq(rig->resets, 1);
	rig_free(rig);
}
END_TEST

/* Without MECHANISM_TRIAL a restarted agent resets its server's flow. */
START_TEST(breaks_without_the_trial)
{
	static const mechanisms_t off[] = { 0, 1U << MECHANISM_TRIAL };

	for (unsigned i = 0; i < 2; i++) {
		rig = rig_new(3, off[i]);
		rig->agents[1].server = RIG_ACKS;
		send_data(0);
		ck_assert_uint_eq(rig->resets, i);
		rig_free(rig);
	}
}
END_TEST

/* Two first UDP packets that arrive at two members open one flow. */
START_TEST(udp_opens_at_one_member)
{
	for (uint16_t port = PORT; port < PORT + 50; port++) {
		unsigned held = 0;

		rig = rig_new(7, 0);
		for (unsigned i = 0; i < 7; i++)
			rig->agents[i].server = RIG_SILENT;
		rig_send(rig, port % 7, STEP_LOOKUP, port, 0, 0, 0, "a");
		rig_send(rig, (port + 3) % 7, STEP_LOOKUP, port, 0, 0, 0, "b");
		for (unsigned i = 0; i < 7; i++)
			held += !strcmp(rig_state(rig, i, port), "established");
		ck_assert_uint_eq(held, 1);
		rig_free(rig);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("agent_lookup");
	TCase *tc = tcase_create("lookup");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, flow_held_by_no_member_is_reset);
	tcase_add_test(tc, holder_is_found_from_any_member);
	tcase_add_test(tc, unanswered_probe_is_no_denial);
	tcase_add_test(tc, late_probe_answer_finds_the_flow);
	tcase_add_test(tc, lookup_past_a_dead_member_ends_in_a_reset);
	tcase_add_test(tc, holder_that_is_reachable_again_is_found);
	tcase_add_test(tc, lookup_past_a_silent_suspect_ends_in_a_reset);
	tcase_add_test(tc, holder_is_found_across_configuration_versions);
	tcase_add_test(tc, servers_are_probed_last);
	tcase_add_test(tc, breaks_without_the_chain);
	tcase_add_test(tc, breaks_without_the_trial);
	tcase_add_test(tc, udp_opens_at_one_member);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
