/*
 * test_relay_lookup - look-ups of a balancer whose agents are unsure
 */

#include "relay_rig.h"
#include "runner.h"
#include <stdio.h>

#define AGENT_A RIG_HOST_A
#define AGENT_B RIG_HOST_B

/* First agent of the last chain; its only further agent is that of the other
 * target. */
static uint32_t last_chain(const relay_rig_t *r)
{
	return r->sent[rr_last(r, RIG_MESSAGE, 0, RELAY_LOOKUP)].host;
}

static uint32_t other_agent(uint32_t agent)
{
	return agent == AGENT_A ? AGENT_B : AGENT_A;
}

/* A look-up whose chain has ended at its first agent; both are unsure. Returns
 * that agent. */
static uint32_t lost_chain(relay_rig_t *r)
{
	uint32_t first;

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	first = last_chain(r);
	rr_advance(r, 250);
	rr_clear(r);
	rr_flow_message(r, first, RELAY_UNSURE, 1, "feeds");
	rr_flow_message(r, other_agent(first), RELAY_UNSURE, 1, "feeds");
	return first;
}

/* Guards against look-ups that wait for one agent: its server is dead and
 * returns nothing, while the flow is open at another. */
START_TEST(dead_server_holds_up_no_lookup)
{
	relay_rig_t *r = rr_two_targets();
	uint32_t first = lost_chain(r), second = other_agent(first);

	ck_assert_uint_eq(last_chain(r), second);
	rr_flow_message(r, second, RELAY_HELD, 1, "feeds");
	rr_from_caller(r, 1, RELAY_ACK, 106, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, second, 0), 1);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* Agents that restarted let their servers try the packet, one after the other.
 * A caller that waits for an answer sends nothing further: its first packet is
 * tried. An agent that is unsure after that is waited for. */
START_TEST(unsure_agents_try_in_turn)
{
	relay_rig_t *r = rr_two_targets();
	uint32_t first = lost_chain(r), second;

	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_LOOKUP), 1);
	rr_chain_not_held(r, first, 1, 2);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
	r = rr_two_targets();
	first = lost_chain(r);
	second = other_agent(first);
	rr_advance(r, 125);
	rr_flow_message(r, second, RELAY_NOT_HELD, 1, "feeds");
	rr_flow_message(r, first, RELAY_UNSURE, 1, "feeds");
	ck_assert_uint_eq(last_chain(r), first);
	rr_clear(r);
	for (unsigned i = 0; i < 4; i++) {
		rr_advance(r, 400);
		rr_flow_message(r, first, RELAY_UNSURE, 1, "feeds");
	}
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_LOOKUP), 0);
	ck_assert_uint_ge(rr_count(r, RIG_MESSAGE, first, RELAY_QUERY), 3);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* Guards against a flow whose server got a bare acknowledgement, which it does
 * not answer: the caller's next request goes there, too. */
START_TEST(next_request_is_tried)
{
	relay_rig_t *r = rr_two_targets();
	uint32_t first = lost_chain(r);

	rr_chain_not_held(r, first, 1, 1);
	rr_advance(r, 125);
	rr_flow_message(r, other_agent(first), RELAY_NOT_HELD, 1, "feeds");
	rr_flow_message(r, first, RELAY_UNSURE, 1, "feeds");
	rr_advance(r, 125);
	rr_flow_message(r, first, RELAY_UNSURE, 1, "feeds");
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_LOOKUP), 0);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, first, RELAY_LOOKUP), 1);
	rr_flow_message(r, first, RELAY_HELD, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, first, 0), 2);
	rr_free(r);
}
END_TEST

/* Says that the agent's server has kept a packet of flow 1. */
static void say_kept(relay_rig_t *r, uint32_t agent)
{
	relay_msg_t msg;

	relay_msg_init(&msg, RELAY_UNSURE);
	msg.src = RIG_CALLER_ADDRESS;
	msg.sport = 10001;
	msg.dst = RIG_SERVICE_ADDRESS;
	msg.dport = RIG_SERVICE_PORT;
	msg.service = (char *)"feeds";
	msg.kept = true;
	relay_balancer_handle_message(r->balancer, r->now, agent, &msg);
}

/* Guards against packets at other servers after the flow's own has got them: a
 * busy server that runs is waited for, but not one whose agent is gone. */
START_TEST(busy_server_is_waited_for)
{
	relay_rig_t *r = rr_two_targets();
	uint32_t first, second;

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	first = last_chain(r);
	second = other_agent(first);
	rr_advance(r, 250);
	rr_clear(r);
	say_kept(r, first);
	rr_flow_message(r, second, RELAY_UNSURE, 1, "feeds");
	rr_advance(r, 150);
	say_kept(r, first);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_LOOKUP), 0);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, first, RELAY_LOOKUP), 1);
	rr_advance(r, 1500);
	ck_assert_uint_ge(rr_count(r, RIG_MESSAGE, second, RELAY_LOOKUP), 1);
	rr_free(r);
}
END_TEST

/* Guards against look-ups that wait for an agent that is away while another has
 * not tried the packet. */
START_TEST(silent_agent_holds_up_no_trial)
{
	relay_rig_t *r = rr_two_targets();
	uint32_t first, second;

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	first = last_chain(r);
	second = other_agent(first);
	rr_advance(r, 250);
	rr_clear(r);
	rr_flow_message(r, second, RELAY_UNSURE, 1, "feeds");
	rr_advance(r, 150);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, second, RELAY_LOOKUP), 1);
	rr_free(r);
}
END_TEST

/* An agent that was unsure and now knows better is believed. */
START_TEST(unsure_agent_may_say_not_held)
{
	relay_rig_t *r = rr_two_targets();

	lost_chain(r);
	rr_flow_message(r, AGENT_A, RELAY_NOT_HELD, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_flow_message(r, AGENT_B, RELAY_NOT_HELD, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* Guards against a packet that reaches other servers and never its own, since
 * its chain was lost and only a query found the holder: a bare acknowledgement
 * is not sent again, and the caller may be silent for seconds. */
START_TEST(packet_of_a_lost_chain_reaches_the_holder)
{
	relay_rig_t *r = rr_two_targets();
	uint32_t first;

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 0);
	first = last_chain(r);
	rr_advance(r, 250);
	ck_assert_uint_eq(
		rr_count(r, RIG_MESSAGE, other_agent(first), RELAY_QUERY), 1);
	rr_clear(r);
	rr_flow_message(r, other_agent(first), RELAY_HELD, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, other_agent(first), 0), 1);
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, first, 0), 0);
	rr_free(r);
}
END_TEST

/* Guards against a reset of a flow that is open at a server that was not asked:
 * its agent's own word was lost, or came after the answer of the chain. */
START_TEST(unsure_agent_of_a_chain_is_asked)
{
	relay_rig_t *r = rr_two_targets();
	uint32_t first, second;
	unsigned chain;

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	first = last_chain(r);
	second = other_agent(first);
	chain = rr_last_chain(r, first);
	rr_clear(r);
	rr_chain_unsure(r, second, 1, chain, &first, 1);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, first, RELAY_LOOKUP), 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, second, RELAY_LOOKUP), 0);
	rr_flow_message(r, first, RELAY_UNSURE, 1, "feeds");
	rr_advance(r, 500);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* The last look-up that was sent to an agent; 0: to any. */
static relay_msg_t *last_lookup(const relay_rig_t *r, uint32_t agent)
{
	int at = rr_last(r, RIG_MESSAGE, agent, RELAY_LOOKUP);

	ck_assert_int_ge(at, 0);
	return relay_msg_unpack(r->sent[at].buf, r->sent[at].len);
}

/* Guards against packets at servers of others and none at the flow's own: a
 * bare acknowledgement gets no answer and is not sent again, so that a trial
 * shows nothing. The next request is tried. */
START_TEST(bare_acknowledgement_is_not_tried)
{
	uint32_t agents[] = { AGENT_A, AGENT_B };
	relay_rig_t *r = rr_two_targets();
	relay_msg_t *msg;

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 0);
	msg = last_lookup(r, 0);
	ck_assert(msg->known_only);
	rr_clear(r);
	rr_chain_unsure(r, AGENT_B, 1, msg->chain, agents, 2);
	relay_msg_free(msg);
	rr_advance(r, 1000);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_LOOKUP), 0);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	msg = last_lookup(r, 0);
	ck_assert(!msg->known_only);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* Guards against a request that waits behind such a packet: it is tried, at
 * the agents that are unsure, as soon as it comes. */
START_TEST(request_after_acknowledgement_is_tried)
{
	relay_rig_t *r = rr_two_targets();
	uint32_t first;
	relay_msg_t *msg;

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 0);
	first = last_chain(r);
	rr_advance(r, 250);
	rr_clear(r);
	rr_flow_message(r, first, RELAY_UNSURE, 1, "feeds");
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_flow_message(r, other_agent(first), RELAY_UNSURE, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_LOOKUP), 1);
	msg = last_lookup(r, 0);
	ck_assert(!msg->known_only);
	ck_assert_uint_gt(msg->packet.len, 100);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* Guards against a request that waits for its caller's next copy, and then for
 * a look-up from the start, since the balancer ended: one that stops ends its
 * look-ups first. A packet that gets no answer is not worth it. */
START_TEST(stopping_balancer_ends_its_lookups)
{
	relay_rig_t *r = rr_two_targets();
	uint32_t first;

	ck_assert(!relay_balancer_looks_up(r->balancer));
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 0);
	ck_assert(!relay_balancer_looks_up(r->balancer));
	rr_from_caller(r, 2, RELAY_ACK, 6, 900, 100);
	first = last_chain(r);
	rr_advance(r, 900);
	ck_assert(relay_balancer_looks_up(r->balancer));
	rr_flow_message(r, first, RELAY_HELD, 2, "feeds");
	ck_assert(!relay_balancer_looks_up(r->balancer));
	rr_free(r);
}
END_TEST

/* Number of look-ups sent whose packet servers try. */
static unsigned trials_sent(const relay_rig_t *r)
{
	unsigned n = 0;

	for (size_t i = 0; i < r->nsent; i++) {
		relay_msg_t *msg;

		if (r->sent[i].to != RIG_MESSAGE)
			continue;
		msg = relay_msg_unpack(r->sent[i].buf, r->sent[i].len);
		n += msg->kind == RELAY_LOOKUP && !msg->known_only;
		relay_msg_free(msg);
	}
	return n;
}

#define GROUP_SIZE  20
#define LARGE_GROUP 80

/* A balancer with n targets; stores the addresses of their agents. */
static relay_rig_t *group_of(unsigned n, uint32_t *agents)
{
	relay_rig_t *r = rr_balancer();
	char id[8];

	rr_routes(r, 1);
	for (unsigned i = 0; i < n; i++) {
		agents[i] = RIG_HOST_A + 16 * i;
		snprintf(id, sizeof(id), "t%u", i);
		rr_entry(r, id, agents[i], 2 + i, ENTRY_READY);
	}
	rr_clear(r);
	return r;
}

/* Guards against look-ups that load the hosts with questions, so that all of
 * them take seconds after a restart of all agents: an unsure agent whose server
 * has not got the packet knows no more than before. */
START_TEST(untried_agents_are_not_asked_again)
{
	uint32_t unsure[GROUP_SIZE];
	relay_rig_t *r = group_of(GROUP_SIZE, unsure);
	unsigned chain;

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_advance(r, 150);
	chain = rr_last_chain(r, 0);
	rr_chain_unsure(r, AGENT_A, 1, chain, unsure, GROUP_SIZE);
	rr_chain_unsure(r, AGENT_A, 1, chain - 1, unsure, GROUP_SIZE);
	rr_clear(r);
	rr_advance(r, 200); /* the first chain is lost: one round */
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_QUERY), 8);
	rr_free(r);
}
END_TEST

/* Guards against resets that come late after a loss of power, when no server
 * holds the flow: once the servers tried one after the other have returned the
 * packet, all others try it at the same time. */
START_TEST(servers_try_together_in_the_end)
{
	static const unsigned chains[] = { 1, 4, 5 }, trials[] = { 1, 1, 5 };
	uint32_t agents[LARGE_GROUP];
	relay_rig_t *r = group_of(LARGE_GROUP, agents);

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	for (unsigned i = 0; i < 3; i++) {
		unsigned last = rr_last_chain(r, 0);

		ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_LOOKUP),
				  chains[i]);
		ck_assert_uint_eq(trials_sent(r), trials[i]);
		rr_clear(r);
		for (unsigned c = last - chains[i] + 1; c <= last; c++)
			rr_chain_unsure(r, agents[0], 1, c, agents,
					c > last - chains[i] + trials[i]
						? LARGE_GROUP
						: 0);
	}
	/* Those that were passed over have their turn. */
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_LOOKUP), 1);
	ck_assert_uint_eq(trials_sent(r), 1);
	rr_free(r);
}
END_TEST

/* A balancer in a look-up whose first chain was lost at an agent that is away;
 * all other agents are unsure, and the servers of one chain try the packet. */
static relay_rig_t *trial_beside_away_agent(uint32_t *away)
{
	uint32_t unsure[GROUP_SIZE];
	relay_rig_t *r = group_of(GROUP_SIZE, unsure);
	unsigned chain;

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	*away = last_chain(r);
	rr_advance(r, 150);
	chain = rr_last_chain(r, 0);
	rr_chain_unsure(r, AGENT_A, 1, chain, unsure, GROUP_SIZE);
	rr_chain_unsure(r, AGENT_A, 1, chain - 1, unsure, GROUP_SIZE);
	rr_advance(r, 100);
	for (unsigned i = 0; i < GROUP_SIZE; i++)
		if (unsure[i] != *away)
			rr_flow_message(r, unsure[i], RELAY_UNSURE, 1, "feeds");
	rr_advance(r, 150);
	return r;
}

/* Guards against an agent that is back, and is asked only when the servers of
 * all others have tried the packet: it may be the one that holds the flow. */
START_TEST(agent_that_is_away_is_asked_between_trials)
{
	uint32_t away, next;
	relay_rig_t *r = trial_beside_away_agent(&away);

	next = last_chain(r);
	rr_clear(r);
	rr_advance(r, 150);
	ck_assert_uint_ge(rr_count(r, RIG_MESSAGE, 0, RELAY_LOOKUP), 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, away, RELAY_QUERY), 1);
	/* The chain in progress is left alone. */
	ck_assert_uint_ne(next, away);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, last_chain(r), RELAY_QUERY),
			  0);
	rr_free(r);
}
END_TEST

/* Guards against look-ups of seconds while an agent is away: once the servers
 * of one chain have returned the packet, those of the next try it. */
START_TEST(trials_go_on_beside_a_silent_agent)
{
	uint32_t away;
	relay_rig_t *r = trial_beside_away_agent(&away);
	unsigned chain = rr_last_chain(r, 0);

	rr_clear(r);
	rr_chain_not_held(r, AGENT_A, 1, chain);
	ck_assert_uint_eq(trials_sent(r), 1);
	ck_assert_uint_eq(rr_last_chain(r, 0), chain + 1);
	/* That one has not ended: no other is begun. */
	rr_flow_message(r, away, RELAY_UNSURE, 1, "feeds");
	ck_assert_uint_eq(trials_sent(r), 1);
	rr_free(r);
}
END_TEST

/* Guards against copies of a packet at many servers after it has reached its
 * own: only one chain at a time lets servers try it. */
START_TEST(one_chain_tries_at_a_time)
{
	uint32_t unsure[GROUP_SIZE];
	relay_rig_t *r = group_of(GROUP_SIZE, unsure);
	unsigned chain;

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_advance(r, 150);
	ck_assert_uint_eq(trials_sent(r), 1);
	ck_assert_uint_ge(rr_count(r, RIG_MESSAGE, 0, RELAY_LOOKUP), 3);
	chain = rr_last_chain(r, 0);
	rr_clear(r);
	for (unsigned i = 0; i <= 2; i++)
		rr_chain_unsure(r, AGENT_A, 1, chain - i, unsure, GROUP_SIZE);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_LOOKUP), 1);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* Guards against the opposite: the chain has brought it there. */
START_TEST(packet_of_a_chain_is_sent_once)
{
	relay_rig_t *r = rr_two_targets();
	uint32_t first;

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 0);
	first = last_chain(r);
	rr_flow_message(r, first, RELAY_HELD, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, 0, 0), 0);
	rr_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay_lookup");
	TCase *tc = tcase_create("decisions");

	tcase_add_test(tc, unsure_agents_try_in_turn);
	tcase_add_test(tc, next_request_is_tried);
	tcase_add_test(tc, busy_server_is_waited_for);
	tcase_add_test(tc, dead_server_holds_up_no_lookup);
	tcase_add_test(tc, silent_agent_holds_up_no_trial);
	tcase_add_test(tc, unsure_agent_may_say_not_held);
	tcase_add_test(tc, packet_of_a_lost_chain_reaches_the_holder);
	tcase_add_test(tc, packet_of_a_chain_is_sent_once);
	tcase_add_test(tc, unsure_agent_of_a_chain_is_asked);
	tcase_add_test(tc, bare_acknowledgement_is_not_tried);
	tcase_add_test(tc, request_after_acknowledgement_is_tried);
	tcase_add_test(tc, stopping_balancer_ends_its_lookups);
	tcase_add_test(tc, untried_agents_are_not_asked_again);
	tcase_add_test(tc, agent_that_is_away_is_asked_between_trials);
	tcase_add_test(tc, trials_go_on_beside_a_silent_agent);
	tcase_add_test(tc, one_chain_tries_at_a_time);
	tcase_add_test(tc, servers_try_together_in_the_end);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
