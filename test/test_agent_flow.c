/*
 * test_agent_flow - flow states of one agent: copies of a SYN at two members, a
 * backend server that is lost, restarted, silent or resets opens, callers that
 * vanish
 */

#include "agent_rig.h"
#include "runner.h"
#include <stdio.h>

#define PORT	  4000
#define ISN	  70000
#define UNKNOWN	  "cherviltray: outcome unknown; retry-after=2"
#define NOT_RUN	  "cherviltray: not run; retry-after=2"
#define MINUTE_MS 60000

static rig_t *rig;

static void lookup(unsigned agent, uint8_t flags, uint32_t seq, uint32_t ack,
		   const char *payload)
{
	rig_send(rig, agent, STEP_LOOKUP, PORT, flags, seq, ack, payload);
}

static void syn(unsigned agent, uint32_t isn)
{
	rig_send(rig, agent, STEP_OPEN, PORT, TCP_SYN, isn, 0, NULL);
}

/*
 * Copies of one SYN open a flow at two members and the caller accepts the
 * SYN-ACK of the first. The next packet that reaches the second member must end
 * its half-open flow and be delivered by the first.
 */
START_TEST(syn_opened_at_two_members_keeps_one_flow)
{
	static const struct {
		bool answered; /* the second server has sent its SYN-ACK */
		uint32_t seq;  /* of the packet sent to the second member */
		const char *payload;
	} cases[] = { { true, ISN + 1, NULL },
		      { true, ISN + 1, "abc" },
		      { true, ISN + 4, "def" },
		      { false, ISN + 1, NULL },
		      { false, ISN + 4, "def" } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		rig = rig_new(3, 0);
		rig->agents[1].server = RIG_SILENT;
		rig_open(rig, 0, PORT, ISN);
		syn(1, ISN);
		if (cases[i].answered)
			rig_server_packet(rig, 1, PORT, TCP_SYN | TCP_ACK, 9000,
					  ISN + 1, NULL);
		lookup(1, TCP_ACK, cases[i].seq, 5001, cases[i].payload);
		ck_assert_str_eq(rig_state(rig, 1, PORT), "lost");
		ck_assert_uint_eq(rig->agents[1].flags, TCP_RST);
		ck_assert_uint_eq(rig->agents[1].payloads, 0);
		ck_assert_uint_eq(rig->agents[0].payloads,
				  cases[i].payload != NULL);
		/*
		 * A late copy of the SYN must open no flow, and late
		 * answers of the server must be dropped.
		 */
		syn(1, ISN);
		ck_assert_str_eq(rig_state(rig, 1, PORT), "lost");
		rig->replies = 0;
		rig_server_packet(rig, 1, PORT, TCP_SYN | TCP_ACK, 9000,
				  ISN + 1, NULL);
		rig_server_packet(rig, 1, PORT, TCP_RST, 5001, 0, NULL);
		ck_assert_uint_eq(rig->replies, 0);
		ck_assert_uint_eq(rig->resets, 0);
		rig_free(rig);
	}
}
END_TEST

/* Guards against a running flow that its agent disowns, since the backend
 * server's SYN-ACK has come again: at the agent that saw the flow open (0), or
 * that knows it by a later packet only (1). */
START_TEST(repeated_syn_ack_keeps_a_running_flow)
{
	const uint32_t sent = _i ? 1000000 : 40000000;

	rig = rig_new(3, 0);
	if (_i == 0)
		rig_open(rig, 0, PORT, ISN);
	rig->agents[0].server = RIG_ACKS;
	rig_server_packet(rig, 0, PORT, TCP_ACK, 5001 + sent, ISN + 1, "data");
	lookup(0, TCP_ACK, ISN + 1, 5005 + sent, NULL);
	rig_server_packet(rig, 0, PORT, TCP_SYN | TCP_ACK, 5000, ISN + 1, NULL);
	lookup(0, TCP_ACK, ISN + 1, 5005 + sent, "next");
	ck_assert_uint_eq(rig->agents[0].payloads, 1);
	ck_assert_uint_eq(rig->resets, 0);
	/* A reset goes to the number that the caller expects. */
	agent_server_unreachable(rig->agents[0].agent, rig->now);
	ck_assert_uint_eq(rig->last_reply.seq, 5005 + sent);
	rig_free(rig);
}
END_TEST

/* The caller reuses a port while its old flow is held by another member. */
START_TEST(reused_port_finds_the_new_flow)
{
	rig = rig_new(3, 0);
	rig_open(rig, 0, PORT, ISN);
	rig_open(rig, 1, PORT, ISN + 900000000);
	for (unsigned i = 0; i < 3; i++)
		lookup(i, TCP_ACK, ISN + 900000001, 5001, "new");
	ck_assert_uint_eq(rig->agents[0].payloads, 0);
	ck_assert_uint_eq(rig->agents[1].payloads, 3);
	ck_assert_uint_eq(rig->resets, 0);
	rig_free(rig);
}
END_TEST

static void advance_flow(int step)
{
	rig->agents[0].server = RIG_SILENT;
	syn(0, ISN);
	if (step > 0)
		rig_server_packet(rig, 0, PORT, TCP_SYN | TCP_ACK, 5000,
				  ISN + 1, NULL);
	if (step > 1)
		lookup(0, TCP_ACK, ISN + 1, 5001, NULL);
	if (step > 2)
		lookup(0, TCP_ACK, ISN + 1, 5001, "abc");
	if (step > 3)
		rig_server_packet(rig, 0, PORT, TCP_ACK, 5001, ISN + 4,
				  "defgh");
}

/*
 * The server becomes unreachable in each state of a flow. The caller must get a
 * reset at once, with the sequence number that it expects and the refusal that
 * holds for the state.
 */
START_TEST(lost_server_resets_the_caller_in_each_state)
{
	static const struct {
		uint32_t seq, ack;
		const char *reset_text;
	} cases[] = { { 0, ISN + 1, NOT_RUN },
		      { 5001, ISN + 1, NOT_RUN },
		      { 5001, ISN + 1, NOT_RUN },
		      { 5001, ISN + 4, UNKNOWN },
		      { 5006, ISN + 4, UNKNOWN } };

	for (int i = 0; i < (int)G_N_ELEMENTS(cases); i++) {
		rig = rig_new(1, 0);
		advance_flow(i);
		agent_server_unreachable(rig->agents[0].agent, rig->now);
		ck_assert_uint_eq(rig->resets, 1);
		ck_assert_str_eq(rig->reset_text, cases[i].reset_text);
		ck_assert_uint_eq(rig->last_reply.seq, cases[i].seq);
		ck_assert_uint_eq(rig->last_reply.ack, cases[i].ack);
		ck_assert_uint_eq(rig->last_reply.flags, TCP_RST | TCP_ACK);
		/*
		 * A caller that lacks data answers by an ACK. The
		 * reset of that ACK carries the number from it.
		 */
		lookup(0, TCP_ACK, ISN + 1, 4990, NULL);
		ck_assert_uint_eq(rig->resets, 2);
		ck_assert_uint_eq(rig->last_reply.seq, 4990);
		ck_assert_str_eq(rig->reset_text, cases[i].reset_text);
		ck_assert_uint_eq(agent_work(rig->agents[0].agent), 0);
		/* Opens are refused until the server answers a probe. */
		rig->agents[0].server = RIG_UNREACHABLE;
		rig_send(rig, 0, STEP_OPEN, PORT + 1, TCP_SYN, 1, 0, NULL);
		ck_assert_uint_eq(rig->resets, 3);
		ck_assert_str_eq(rig->reset_text, NOT_RUN);
		rig_advance(rig, 3000);
		rig->agents[0].server = RIG_RESETS;
		rig_advance(rig, 1000);
		rig_send(rig, 0, STEP_OPEN, PORT + 2, TCP_SYN, 1, 0, NULL);
		ck_assert_uint_eq(rig->reset_ports, 2);
		ck_assert_str_eq(rig_state(rig, 0, PORT + 2), "opening");
		rig_free(rig);
	}
}
END_TEST

/* The reset is sent five times at most, then the flow is removed. */
START_TEST(reset_is_repeated_a_few_times)
{
	rig = rig_new(1, 0);
	rig_open(rig, 0, PORT, ISN);
	agent_server_unreachable(rig->agents[0].agent, rig->now);
	rig->agents[0].server = RIG_UNREACHABLE;
	rig_advance(rig, 8000);
	ck_assert_uint_ge(rig->resets, 4);
	rig_advance(rig, 60000);
	ck_assert_uint_le(rig->resets, 5);
	ck_assert_str_eq(rig_state(rig, 0, PORT), "none");
	rig_free(rig);
}
END_TEST

/*
 * Callers that only receive send nothing that a lost server fails to answer.
 * A probe must detect the loss within 2 s, or 20 s if the server is silent.
 */
START_TEST(idle_flows_of_a_lost_server_are_reset)
{
	static const rig_server_t lost[] = { RIG_UNREACHABLE, RIG_RESETS,
					     RIG_SILENT };
	static const uint64_t bound[] = { 2000, 2000, 20000 };

	for (size_t i = 0; i < G_N_ELEMENTS(lost); i++) {
		rig = rig_new(1, 0);
		for (uint16_t port = 1; port <= 50; port++) {
			rig_open(rig, 0, port, ISN);
			rig_send(rig, 0, STEP_LOOKUP, port, TCP_ACK, ISN + 1,
				 5001, "feed");
		}
		rig_advance(rig, 30000);
		ck_assert_uint_eq(rig->resets, 0);
		rig->agents[0].server = lost[i];
		rig_advance(rig, bound[i]);
		ck_assert_uint_eq(rig->reset_ports, 50);
		ck_assert_str_eq(rig->reset_text, UNKNOWN);
		ck_assert_uint_eq(rig->last_reply.seq, 5001);
		rig_free(rig);
	}
}
END_TEST

/* A server that is silent for 8 s gets no opens and loses no flow. */
START_TEST(paused_server_keeps_its_flows)
{
	rig = rig_new(2, 0);
	rig_advance(rig, 2000);
	rig_open(rig, 0, PORT, ISN);
	rig->agents[0].server = RIG_SILENT;
	rig->agents[1].server = RIG_SILENT;
	rig_advance(rig, 8000);
	rig_send(rig, 0, STEP_OPEN, PORT + 1, TCP_SYN, 1, 0, NULL);
	ck_assert_str_eq(rig_state(rig, 0, PORT + 1), "none");
	ck_assert_str_eq(rig_state(rig, 1, PORT + 1), "opening");
	rig_server_packet(rig, 1, PORT + 1, TCP_SYN | TCP_ACK, 5000, 2, NULL);
	rig_send(rig, 1, STEP_LOOKUP, PORT + 1, TCP_ACK, 2, 5001, NULL);
	rig->agents[1].server = RIG_ACKS;
	rig->agents[0].server = RIG_ACKS;
	rig_advance(rig, 60000);
	ck_assert_uint_eq(rig->resets, 0);
	ck_assert_str_eq(rig_state(rig, 0, PORT), "established");
	rig_free(rig);
}
END_TEST

/* ACKs that answer the agent's probes must not be sent to the caller. */
START_TEST(probe_answers_do_not_reach_the_caller)
{
	rig = rig_new(1, 0);
	rig_open(rig, 0, PORT, ISN);
	rig->replies = 0;
	rig_advance(rig, 60000);
	ck_assert_uint_gt(rig->agents[0].delivered, 50);
	ck_assert_uint_eq(rig->replies, 0);
	rig_free(rig);
}
END_TEST

/*
 * A server resets the SYN: the open is offered to other members and refused by
 * the last one asked.
 */
START_TEST(open_reset_by_the_server_is_offered_elsewhere)
{
	for (unsigned shedding = 1; shedding <= 5; shedding++) {
		unsigned taken = 0;

		rig = rig_new(5, 0);
		rig_advance(rig, 1500);
		for (unsigned i = 0; i < 5; i++)
			rig->agents[i].server =
				i < shedding ? RIG_RESETS_SYN : RIG_SILENT;
		syn(0, ISN);
		for (unsigned i = 0; i < 5; i++)
			taken += !strcmp(rig_state(rig, i, PORT), "opening");
		ck_assert_uint_eq(taken + rig->resets, 1);
		if (shedding < 3)
			ck_assert_uint_eq(taken, 1);
		if (rig->resets) {
			ck_assert_str_eq(rig->reset_text, NOT_RUN);
			ck_assert_uint_eq(rig->last_reply.ack, ISN + 1);
		}
		rig_free(rig);
	}
}
END_TEST

/* A SYN with data must not reach a second server. */
START_TEST(open_with_data_reset_by_the_server_is_refused)
{
	rig = rig_new(3, 0);
	rig_advance(rig, 1500);
	rig->agents[0].server = RIG_RESETS_SYN;
	rig_send(rig, 0, STEP_OPEN, PORT, TCP_SYN, ISN, 0, "early");
	ck_assert_uint_eq(rig->resets, 1);
	ck_assert_str_eq(rig->reset_text, UNKNOWN);
	ck_assert_uint_eq(rig->agents[1].delivered, 0);
	ck_assert_uint_eq(rig->agents[2].delivered, 0);
	rig_free(rig);
}
END_TEST

/*
 * The server's SYN-ACKs do not reach the caller, which repeats its SYN. The
 * fourth copy must be offered to another member.
 */
START_TEST(open_whose_syn_acks_are_lost_is_offered_elsewhere)
{
	unsigned taken = 0;

	rig = rig_new(3, 0);
	rig_advance(rig, 1500);
	for (unsigned i = 0; i < 3; i++)
		rig->agents[i].server = RIG_SILENT;
	syn(0, ISN);
	rig_server_packet(rig, 0, PORT, TCP_SYN | TCP_ACK, 5000, ISN + 1, NULL);
	for (int i = 0; i < 3; i++)
		syn(0, ISN);
	ck_assert_str_eq(rig_state(rig, 0, PORT), "half");
	syn(0, ISN);
	ck_assert_str_eq(rig_state(rig, 0, PORT), "lost");
	ck_assert_uint_eq(rig->agents[0].flags, TCP_RST);
	for (unsigned i = 1; i < 3; i++)
		taken += !strcmp(rig_state(rig, i, PORT), "opening");
	ck_assert_uint_eq(taken, 1);
	ck_assert_uint_eq(rig->resets, 0);
	rig_free(rig);
}
END_TEST

/* Memory of a flow, of which an agent holds 4,000. */
START_TEST(memory_per_flow_is_bounded)
{
	ck_assert_uint_le(sizeof(flow_t) + 2 * sizeof(list_t), 300);
	printf("flow_t: %zu bytes\n", sizeof(flow_t));
}
END_TEST

/* The caller's reset must reach the server also after an agent restart. */
START_TEST(reset_from_the_caller_reaches_the_server)
{
	for (int restarted = 0; restarted < 2; restarted++) {
		rig = rig_new(3, 0);
		rig_open(rig, 1, PORT, ISN);
		if (restarted)
			rig_restart(rig, 1);
		lookup(2, TCP_RST, ISN + 1, 0, NULL);
		ck_assert_uint_eq(rig->agents[1].flags, TCP_RST);
		ck_assert_uint_eq(rig->resets, 0);
		rig_free(rig);
	}
}
END_TEST

/*
 * A caller vanishes, with the server idle or sending. The flow must be removed
 * and the server reset within 3 hours.
 */
START_TEST(flow_of_a_vanished_caller_expires)
{
	for (int sending = 0; sending < 2; sending++) {
		uint32_t seq = 5001;
		uint64_t begun;

		rig = rig_new(1, 0);
		rig_open(rig, 0, PORT, ISN);
		begun = rig->now;
		while (agent_held(rig->agents[0].agent) &&
		       rig->now < begun + 180ULL * MINUTE_MS) {
			rig_advance(rig, MINUTE_MS);
			if (sending && rig->agents[0].flags != TCP_RST)
				rig_server_packet(rig, 0, PORT, TCP_ACK, seq,
						  ISN + 1, "x");
		}
		ck_assert_uint_eq(agent_held(rig->agents[0].agent), 0);
		ck_assert_uint_eq(rig->agents[0].flags, TCP_RST);
		ck_assert_uint_eq(rig->resets, 0);
		rig_free(rig);
	}
}
END_TEST

/* Hints for lookups are rate-limited, answers to opens are not. */
START_TEST(hints_for_lookups_are_rate_limited)
{
	unsigned before;

	rig = rig_new(2, 0);
	rig_open(rig, 1, PORT, ISN);
	before = rig->held_count;
	for (int i = 0; i < 1000; i++)
		lookup(0, TCP_ACK, ISN + 1, 5001, "abc");
	ck_assert_uint_eq(rig->agents[1].payloads, 1000);
	ck_assert_uint_le(rig->held_count - before, 100);
	before = rig->held_count;
	for (uint16_t port = 1; port <= 300; port++)
		rig_send(rig, 1, STEP_OPEN, port, TCP_SYN, 1, 0, NULL);
	ck_assert_uint_eq(rig->held_count - before, 300);
	rig_free(rig);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("agent_flow");
	TCase *tc = tcase_create("flow");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, syn_opened_at_two_members_keeps_one_flow);
	tcase_add_test(tc, reused_port_finds_the_new_flow);
	tcase_add_loop_test(tc, repeated_syn_ack_keeps_a_running_flow, 0, 2);
	tcase_add_test(tc, lost_server_resets_the_caller_in_each_state);
	tcase_add_test(tc, reset_is_repeated_a_few_times);
	tcase_add_test(tc, idle_flows_of_a_lost_server_are_reset);
	tcase_add_test(tc, paused_server_keeps_its_flows);
	tcase_add_test(tc, probe_answers_do_not_reach_the_caller);
	tcase_add_test(tc, open_reset_by_the_server_is_offered_elsewhere);
	tcase_add_test(tc, open_with_data_reset_by_the_server_is_refused);
	tcase_add_test(tc, open_whose_syn_acks_are_lost_is_offered_elsewhere);
	tcase_add_test(tc, memory_per_flow_is_bounded);
	tcase_add_test(tc, reset_from_the_caller_reaches_the_server);
	tcase_add_test(tc, flow_of_a_vanished_caller_expires);
	tcase_add_test(tc, hints_for_lookups_are_rate_limited);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
