/*
 * test_relay_spread - the cost of look-ups and placement is independent of the
 * number of targets
 */

#include "relay_rig.h"
#include "runner.h"
#include <stdio.h>
#include <stdlib.h>

#define FIRST_HOST 0x0a020001u
#define FLOWS	   200
/* Agents in the first chain of a look-up and compared for an open. */
#define CHAIN_AGENTS 8
/* Bounds for look-ups that find their flow: agents asked on average, and
 * share of the look-ups that ask at most two. */
#define MEAN_HOPS     2.0
#define TWO_HOP_SHARE 0.75

static const unsigned sizes[] = { 7, 37, 200, 2000 };

/* Reports a different load for each agent, all low enough that opens need
 * not wait. */
static void report_loads(relay_rig_t *r, unsigned targets)
{
	for (unsigned t = 0; t < targets; t++)
		rr_load(r, FIRST_HOST + t, t % 3, t % 5 / 4.0, 12 + t % 4, 0);
}

static relay_rig_t *new_balancer(unsigned targets, bool reverse)
{
	relay_rig_t *r = rr_balancer();
	char id[16];

	rr_routes(r, 1);
	for (unsigned i = 0; i < targets; i++) {
		unsigned t = reverse ? targets - 1 - i : i;

		snprintf(id, sizeof(id), "t%u", t);
		rr_entry(r, id, FIRST_HOST + t, 2 + t, ENTRY_READY);
	}
	report_loads(r, targets);
	rr_clear(r);
	return r;
}

/* Sends an open and returns the agent that it is offered to first. */
static uint32_t offered_agent(relay_rig_t *r, unsigned flow)
{
	int at;

	rr_from_caller(r, flow, RELAY_SYN, 5, 0, 0);
	at = rr_last(r, RIG_MESSAGE, 0, RELAY_OFFER);
	ck_assert_int_ge(at, 0);
	return r->sent[at].host;
}

/* Number of agents that a look-up asks until it reaches the holder; 0: the
 * holder is not in the first chain. */
static unsigned lookup_hops(relay_rig_t *r, unsigned flow, uint32_t holder)
{
	unsigned hop = 0;
	relay_msg_t *msg;
	int at;

	rr_clear(r);
	rr_from_caller(r, flow, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_eq(r->nsent, 1);
	at = rr_last(r, RIG_MESSAGE, 0, RELAY_LOOKUP);
	ck_assert_int_ge(at, 0);
	if (r->sent[at].host == holder)
		return 1;
	msg = relay_msg_unpack(r->sent[at].buf, r->sent[at].len);
	ck_assert_uint_le(msg->n_candidates + 1, CHAIN_AGENTS);
	for (size_t i = 0; i < msg->n_candidates && !hop; i++)
		if (msg->candidates[i] == holder)
			hop = (unsigned)i + 2;
	relay_msg_free(msg);
	return hop;
}

/* A balancer without state for a flow finds its holder in the first chain,
 * for any number of targets and whatever their order in the directory. */
START_TEST(flow_is_in_the_first_chain)
{
	unsigned targets = sizes[_i], sum = 0, two = 0;
	relay_rig_t *placer = new_balancer(targets, false);
	relay_rig_t *finder = new_balancer(targets, true);

	for (unsigned i = 0; i < FLOWS; i++) {
		unsigned n;

		rr_clear(placer);
		report_loads(placer, targets);
		n = lookup_hops(finder, i, offered_agent(placer, i));
		ck_assert_uint_ge(n, 1);
		sum += n;
		two += n <= 2;
	}
	printf("%4u targets: %.2f agents asked on average, %.2f of look-ups "
	       "ask at most two\n",
	       targets, (double)sum / FLOWS, (double)two / FLOWS);
	ck_assert_double_le((double)sum / FLOWS, MEAN_HOPS);
	ck_assert_double_ge((double)two / FLOWS, TWO_HOP_SHARE);
	rr_free(placer);
	rr_free(finder);
}
END_TEST

/* A look-up of a flow that nobody holds asks all agents, in growing batches
 * of chains, and resets the flow only after all have answered. */
START_TEST(unknown_flow_is_looked_up_at_all_agents)
{
	unsigned targets = sizes[_i];
	unsigned chains = (targets + CHAIN_AGENTS - 1) / CHAIN_AGENTS;
	relay_rig_t *r = new_balancer(targets, false);
	unsigned ended = 0, batch = 1;

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	while (ended < chains) {
		unsigned sent = chains - ended < batch ? chains - ended : batch;

		ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_LOOKUP),
				  sent);
		ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
		rr_clear(r);
		while (sent--)
			rr_chain_not_held(r, FIRST_HOST, 1, ++ended);
		batch *= 4;
	}
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* When the first chain does not answer, further chains are sent without
 * waiting for it. */
START_TEST(broken_chain_does_not_delay_lookup)
{
	relay_rig_t *r = new_balancer(37, false);

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_clear(r);
	rr_advance(r, 75);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_LOOKUP), 4);
	rr_free(r);
}
END_TEST

/* An agent that does not answer hellos is asked last, in a chain of its own,
 * so that it can't break the chain of others. */
START_TEST(silent_agent_breaks_no_chain)
{
	relay_rig_t *r = new_balancer(7, false);
	uint32_t silent = FIRST_HOST + 3;
	relay_msg_t *msg;
	int at;

	rr_advance(r, RELAY_BALANCER_TICK_MS);
	rr_entry(r, "t3", silent, 50, ENTRY_DRAINING); /* triggers a hello */
	rr_advance(r, 150);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	at = rr_last(r, RIG_MESSAGE, 0, RELAY_LOOKUP);
	ck_assert_int_ge(at, 0);
	ck_assert_uint_ne(r->sent[at].host, silent);
	msg = relay_msg_unpack(r->sent[at].buf, r->sent[at].len);
	ck_assert_uint_eq(msg->n_candidates, 5);
	for (size_t i = 0; i < msg->n_candidates; i++)
		ck_assert_uint_ne(msg->candidates[i], silent);
	relay_msg_free(msg);
	rr_chain_not_held(r, FIRST_HOST, 1, 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, silent, RELAY_LOOKUP), 1);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* Hellos go to agents that were recently offered opens, not to all. */
START_TEST(hellos_go_to_recently_used_agents)
{
	relay_rig_t *r = new_balancer(200, false);
	uint32_t used;

	rr_advance(r, 15000);
	rr_clear(r);
	used = offered_agent(r, 1);
	rr_flow_message(r, used, RELAY_TAKEN, 1, "feeds");
	rr_clear(r);
	rr_advance(r, 9000);
	ck_assert_uint_ge(rr_count(r, RIG_MESSAGE, used, RELAY_HELLO), 2);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_HELLO),
			  rr_count(r, RIG_MESSAGE, used, RELAY_HELLO));
	rr_free(r);
}
END_TEST

/* An agent that got no hellos for a long time must not count as unreachable
 * when its entry is removed: its server may still hold flows. */
START_TEST(unused_agent_is_asked_after_removal)
{
	relay_rig_t *r = new_balancer(2, false);

	rr_advance(r, 30000);
	rr_entry_gone(r, "t0", 90);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_chain_not_held(r, FIRST_HOST + 1, 1, 1);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);

	r = new_balancer(1, false);
	rr_advance(r, 30000);
	rr_entry_gone(r, "t0", 90);
	rr_advance(r, RELAY_BALANCER_TICK_MS);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, FIRST_HOST, RELAY_LOOKUP),
			  1);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* Agents whose targets were removed long ago get no more hellos. */
START_TEST(gone_targets_are_forgotten)
{
	relay_rig_t *r = new_balancer(3, false);

	rr_entry_gone(r, "t0", 90);
	rr_advance(r, 80000);
	rr_clear(r);
	rr_advance(r, 20000);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, FIRST_HOST, RELAY_HELLO), 0);
	rr_entry(r, "t0-again", FIRST_HOST, 91, ENTRY_READY);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, FIRST_HOST, RELAY_HELLO), 1);
	rr_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay_spread");
	TCase *tc = tcase_create("groups");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, flow_is_in_the_first_chain, 0,
			    sizeof(sizes) / sizeof(sizes[0]));
	tcase_add_loop_test(tc, unknown_flow_is_looked_up_at_all_agents, 0,
			    sizeof(sizes) / sizeof(sizes[0]));
	tcase_add_test(tc, broken_chain_does_not_delay_lookup);
	tcase_add_test(tc, silent_agent_breaks_no_chain);
	tcase_add_test(tc, hellos_go_to_recently_used_agents);
	tcase_add_test(tc, unused_agent_is_asked_after_removal);
	tcase_add_test(tc, gone_targets_are_forgotten);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
