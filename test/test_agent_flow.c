/*
 * test_agent_flow - two answers to one SYN, a backend server that is lost,
 * restarted, silent or shedding, callers that vanish
 */

#include "agent_rig.h"
#include "runner.h"
#include <stdio.h>

#define PORT	4000
#define ISN	70000
#define UNKNOWN "cherviltray: outcome unknown; retry-after=2"
#define NOT_RUN "cherviltray: not run; retry-after=2"
#define MINUTE	60000

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
 * One SYN opened at two members. The caller takes the answer of the first;
 * whatever it sends next to the second makes that one give up, in either of
 * its states, and reaches the first.
 */
START_TEST(one_flow_of_two_half_open_ones)
{
	static const struct {
		bool answered; /* the second server's SYN-ACK came */
		uint32_t seq;  /* of the caller's next packet */
		const char *payload;
	} cells[] = { { true, ISN + 1, NULL },
		      { true, ISN + 1, "abc" },
		      { true, ISN + 4, "def" },
		      { false, ISN + 1, NULL },
		      { false, ISN + 4, "def" } };

	for (size_t i = 0; i < G_N_ELEMENTS(cells); i++) {
		rig = rig_new(3, 0);
		rig->agents[1].server = RIG_SILENT;
		rig_open(rig, 0, PORT, ISN);
		syn(1, ISN);
		if (cells[i].answered)
			rig_answer(rig, 1, PORT, TCP_SYN | TCP_ACK, 9000,
				   ISN + 1, NULL);
		lookup(1, TCP_ACK, cells[i].seq, 5001, cells[i].payload);
		ck_assert_str_eq(rig_state(rig, 1, PORT), "lost");
		ck_assert_uint_eq(rig->agents[1].flags, TCP_RST);
		ck_assert_uint_eq(rig->agents[1].payloads, 0);
		ck_assert_uint_eq(rig->agents[0].payloads,
				  cells[i].payload != NULL);
		/* A late copy of the SYN opens nothing; late answers end. */
		syn(1, ISN);
		ck_assert_str_eq(rig_state(rig, 1, PORT), "lost");
		rig->replies = 0;
		rig_answer(rig, 1, PORT, TCP_SYN | TCP_ACK, 9000, ISN + 1,
			   NULL);
		rig_answer(rig, 1, PORT, TCP_RST, 5001, 0, NULL);
		ck_assert_uint_eq(rig->replies, 0);
		ck_assert_uint_eq(rig->resets, 0);
		rig_free(rig);
	}
}
END_TEST

/* The port is used again while an old flow lingers at another member. */
START_TEST(a_port_used_again_finds_its_own_flow)
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

static void tell_step(int step)
{
	rig->agents[0].server = RIG_SILENT;
	syn(0, ISN);
	if (step > 0)
		rig_answer(rig, 0, PORT, TCP_SYN | TCP_ACK, 5000, ISN + 1,
			   NULL);
	if (step > 1)
		lookup(0, TCP_ACK, ISN + 1, 5001, NULL);
	if (step > 2)
		lookup(0, TCP_ACK, ISN + 1, 5001, "abc");
	if (step > 3)
		rig_answer(rig, 0, PORT, TCP_ACK, 5001, ISN + 4, "defgh");
}

/* The server is gone at each step: told at once, with number and word. */
START_TEST(a_lost_server_is_told_at_each_step)
{
	static const struct {
		uint32_t seq, ack;
		const char *word;
	} cells[] = { { 0, ISN + 1, NOT_RUN },
		      { 5001, ISN + 1, NOT_RUN },
		      { 5001, ISN + 1, NOT_RUN },
		      { 5001, ISN + 4, UNKNOWN },
		      { 5006, ISN + 4, UNKNOWN } };

	for (int i = 0; i < (int)G_N_ELEMENTS(cells); i++) {
		rig = rig_new(1, 0);
		tell_step(i);
		agent_server_gone(rig->agents[0].agent, rig->now);
		ck_assert_uint_eq(rig->resets, 1);
		ck_assert_str_eq(rig->word, cells[i].word);
		ck_assert_uint_eq(rig->reply.seq, cells[i].seq);
		ck_assert_uint_eq(rig->reply.ack, cells[i].ack);
		ck_assert_uint_eq(rig->reply.flags, TCP_RST | TCP_ACK);
		/* The caller had not got all: its answer gets the number. */
		lookup(0, TCP_ACK, ISN + 1, 4990, NULL);
		ck_assert_uint_eq(rig->resets, 2);
		ck_assert_uint_eq(rig->reply.seq, 4990);
		ck_assert_str_eq(rig->word, cells[i].word);
		ck_assert_uint_eq(agent_work(rig->agents[0].agent), 0);
		/* New opens are refused until the server answers a probe. */
		rig->agents[0].server = RIG_REFUSES;
		rig_send(rig, 0, STEP_OPEN, PORT + 1, TCP_SYN, 1, 0, NULL);
		ck_assert_uint_eq(rig->resets, 3);
		ck_assert_str_eq(rig->word, NOT_RUN);
		rig_pass(rig, 3000);
		rig->agents[0].server = RIG_DENIES;
		rig_pass(rig, 1000);
		rig_send(rig, 0, STEP_OPEN, PORT + 2, TCP_SYN, 1, 0, NULL);
		ck_assert_uint_eq(rig->refused, 2);
		ck_assert_str_eq(rig_state(rig, 0, PORT + 2), "opening");
		rig_free(rig);
	}
}
END_TEST

/* The caller is told again, a few times, and then the flow is forgotten. */
START_TEST(a_reset_is_repeated)
{
	rig = rig_new(1, 0);
	rig_open(rig, 0, PORT, ISN);
	agent_server_gone(rig->agents[0].agent, rig->now);
	rig->agents[0].server = RIG_REFUSES;
	rig_pass(rig, 8000);
	ck_assert_uint_ge(rig->resets, 4);
	rig_pass(rig, 60000);
	ck_assert_uint_le(rig->resets, 5);
	ck_assert_str_eq(rig_state(rig, 0, PORT), "none");
	rig_free(rig);
}
END_TEST

/* Feeds only receive: a server that vanished is noticed by a probe. */
START_TEST(a_quiet_flow_of_a_lost_server_is_told)
{
	static const rig_server_t lost[] = { RIG_REFUSES, RIG_DENIES,
					     RIG_SILENT };
	static const uint64_t bound[] = { 2000, 2000, 20000 };

	for (size_t i = 0; i < G_N_ELEMENTS(lost); i++) {
		rig = rig_new(1, 0);
		for (uint16_t port = 1; port <= 50; port++) {
			rig_open(rig, 0, port, ISN);
			rig_send(rig, 0, STEP_LOOKUP, port, TCP_ACK, ISN + 1,
				 5001, "feed");
		}
		rig_pass(rig, 30000);
		ck_assert_uint_eq(rig->resets, 0);
		rig->agents[0].server = lost[i];
		rig_pass(rig, bound[i]);
		ck_assert_uint_eq(rig->refused, 50);
		ck_assert_str_eq(rig->word, UNKNOWN);
		ck_assert_uint_eq(rig->reply.seq, 5001);
		rig_free(rig);
	}
}
END_TEST

/* A server that stops for a while cuts nothing and gets no new opens. */
START_TEST(a_server_that_stops_for_a_while_keeps_its_flows)
{
	rig = rig_new(2, 0);
	rig_pass(rig, 2000);
	rig_open(rig, 0, PORT, ISN);
	rig->agents[0].server = RIG_SILENT;
	rig->agents[1].server = RIG_SILENT;
	rig_pass(rig, 8000);
	rig_send(rig, 0, STEP_OPEN, PORT + 1, TCP_SYN, 1, 0, NULL);
	ck_assert_str_eq(rig_state(rig, 0, PORT + 1), "none");
	ck_assert_str_eq(rig_state(rig, 1, PORT + 1), "opening");
	rig_answer(rig, 1, PORT + 1, TCP_SYN | TCP_ACK, 5000, 2, NULL);
	rig_send(rig, 1, STEP_LOOKUP, PORT + 1, TCP_ACK, 2, 5001, NULL);
	rig->agents[1].server = RIG_HOLDS;
	rig->agents[0].server = RIG_HOLDS;
	rig_pass(rig, 60000);
	ck_assert_uint_eq(rig->resets, 0);
	ck_assert_str_eq(rig_state(rig, 0, PORT), "established");
	rig_free(rig);
}
END_TEST

/* The answers to probes are not the callers' matter. */
START_TEST(probes_are_not_seen_by_the_caller)
{
	rig = rig_new(1, 0);
	rig_open(rig, 0, PORT, ISN);
	rig->replies = 0;
	rig_pass(rig, 60000);
	ck_assert_uint_gt(rig->agents[0].delivered, 50);
	ck_assert_uint_eq(rig->replies, 0);
	rig_free(rig);
}
END_TEST

/* A server sheds the SYN: offered elsewhere, and refused by the last. */
START_TEST(a_shed_open_is_offered_elsewhere)
{
	for (unsigned shedding = 1; shedding <= 5; shedding++) {
		unsigned taken = 0;

		rig = rig_new(5, 0);
		rig_pass(rig, 1500);
		for (unsigned i = 0; i < 5; i++)
			rig->agents[i].server =
				i < shedding ? RIG_SHEDS : RIG_SILENT;
		syn(0, ISN);
		for (unsigned i = 0; i < 5; i++)
			taken += !strcmp(rig_state(rig, i, PORT), "opening");
		ck_assert_uint_eq(taken + rig->resets, 1);
		if (shedding < 3)
			ck_assert_uint_eq(taken, 1);
		if (rig->resets) {
			ck_assert_str_eq(rig->word, NOT_RUN);
			ck_assert_uint_eq(rig->reply.ack, ISN + 1);
		}
		rig_free(rig);
	}
}
END_TEST

/* A SYN with data is never offered twice. */
START_TEST(a_shed_open_with_data_is_refused)
{
	rig = rig_new(3, 0);
	rig_pass(rig, 1500);
	rig->agents[0].server = RIG_SHEDS;
	rig_send(rig, 0, STEP_OPEN, PORT, TCP_SYN, ISN, 0, "early");
	ck_assert_uint_eq(rig->resets, 1);
	ck_assert_str_eq(rig->word, UNKNOWN);
	ck_assert_uint_eq(rig->agents[1].delivered, 0);
	ck_assert_uint_eq(rig->agents[2].delivered, 0);
	rig_free(rig);
}
END_TEST

/* The server's answers don't reach the caller: another host may answer. */
START_TEST(an_open_whose_answers_are_lost_goes_elsewhere)
{
	unsigned taken = 0;

	rig = rig_new(3, 0);
	rig_pass(rig, 1500);
	for (unsigned i = 0; i < 3; i++)
		rig->agents[i].server = RIG_SILENT;
	syn(0, ISN);
	rig_answer(rig, 0, PORT, TCP_SYN | TCP_ACK, 5000, ISN + 1, NULL);
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

/* What a held flow costs: 4,000 on an agent. */
START_TEST(a_held_flow_is_small)
{
	ck_assert_uint_le(sizeof(flow_t) + 2 * sizeof(list_t), 300);
	printf("a held flow: %zu bytes\n", sizeof(flow_t));
}
END_TEST

/* The caller's reset reaches the server, also one that a new agent forgot. */
START_TEST(a_callers_reset_reaches_the_server)
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

/* A caller that vanished: asked, then its server is told. */
START_TEST(a_vanished_caller_is_bounded)
{
	for (int sending = 0; sending < 2; sending++) {
		uint32_t seq = 5001;
		uint64_t begun;

		rig = rig_new(1, 0);
		rig_open(rig, 0, PORT, ISN);
		begun = rig->now;
		while (agent_held(rig->agents[0].agent) &&
		       rig->now < begun + 180ULL * MINUTE) {
			rig_pass(rig, MINUTE);
			if (sending && rig->agents[0].flags != TCP_RST)
				rig_answer(rig, 0, PORT, TCP_ACK, seq, ISN + 1,
					   "x");
		}
		ck_assert_uint_eq(agent_held(rig->agents[0].agent), 0);
		ck_assert_uint_eq(rig->agents[0].flags, TCP_RST);
		ck_assert_uint_eq(rig->resets, 0);
		rig_free(rig);
	}
}
END_TEST

/* Hints for lookups are bounded, answers to opens are not. */
START_TEST(hints_are_bounded)
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
	tcase_add_test(tc, one_flow_of_two_half_open_ones);
	tcase_add_test(tc, a_port_used_again_finds_its_own_flow);
	tcase_add_test(tc, a_lost_server_is_told_at_each_step);
	tcase_add_test(tc, a_reset_is_repeated);
	tcase_add_test(tc, a_quiet_flow_of_a_lost_server_is_told);
	tcase_add_test(tc, a_server_that_stops_for_a_while_keeps_its_flows);
	tcase_add_test(tc, probes_are_not_seen_by_the_caller);
	tcase_add_test(tc, a_shed_open_is_offered_elsewhere);
	tcase_add_test(tc, a_shed_open_with_data_is_refused);
	tcase_add_test(tc, an_open_whose_answers_are_lost_goes_elsewhere);
	tcase_add_test(tc, a_held_flow_is_small);
	tcase_add_test(tc, a_callers_reset_reaches_the_server);
	tcase_add_test(tc, a_vanished_caller_is_bounded);
	tcase_add_test(tc, hints_are_bounded);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
