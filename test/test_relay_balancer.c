/*
 * test_relay_balancer - opens, look-ups and members of a balancer that relays
 * packets
 */

#include "relay_rig.h"
#include "runner.h"
#include <stdio.h>

#define AGENT_A 0x0a010009u
#define AGENT_B 0x0a02000au

/* A balancer with routes and the agents A and B. */
static relay_rig_t *two_agents(void)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_entry(r, "b", AGENT_B, 3, ENTRY_READY);
	return r;
}

/*
 * A full read of the store lists entries by id. Of two entries at one address
 * the older one may therefore come last; neither it nor its removal may affect
 * the newer target.
 */
START_TEST(older_entry_listed_last)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "i-6f", AGENT_A, 48, ENTRY_READY);
	rr_entry(r, "i-cd", AGENT_A, 39, ENTRY_READY);
	rr_entry_gone(r, "i-cd", 58);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_int_ge(rr_last(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 0);
	rr_free(r);
}
END_TEST

/* A newer entry at the same address replaces an older one that has not been
 * removed yet. */
START_TEST(newer_entry_replaces_older)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "i-cd", AGENT_A, 39, ENTRY_READY);
	rr_entry(r, "i-6f", AGENT_A, 48, ENTRY_DRAINING);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_int_lt(rr_last(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 0);
	ck_assert_int_ge(rr_last(r, RIG_CALLER, RIG_CALLER_ADDRESS, 0), 0);
	rr_free(r);
}
END_TEST

/* Packets go to the agent that took the open; an unknown flow is looked up. */
START_TEST(open_and_packets)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 1, "feeds");
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, AGENT_A, 0), 1);
	rr_from_caller(r, 2, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, AGENT_A, 0), 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_LOOKUP), 1);
	rr_flow_message(r, AGENT_A, RELAY_HELD, 2, "feeds");
	rr_from_caller(r, 2, RELAY_ACK, 106, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, AGENT_A, 0), 2);
	rr_free(r);
}
END_TEST

/* Packets that arrive during a look-up are sent to the holder afterwards. */
START_TEST(packets_are_queued_during_lookup)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_from_caller(r, 2, RELAY_ACK, 6, 900, 100);
	rr_from_caller(r, 2, RELAY_ACK, 106, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, AGENT_A, 0), 0);
	rr_flow_message(r, AGENT_A, RELAY_HELD, 2, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, AGENT_A, 0), 1);
	rr_free(r);
}
END_TEST

/* A look-up sends one message per chain of eight agents, so that it costs the
 * balancer few messages in a large service. The flow is reset once the last
 * chain has ended without a holder. */
START_TEST(lookup_is_a_chain)
{
	relay_rig_t *r = rr_balancer();
	char id[8];

	rr_routes(r, 1);
	for (unsigned i = 0; i < 37; i++) {
		snprintf(id, sizeof(id), "t%u", i);
		rr_entry(r, id, AGENT_A + i, 2 + i, ENTRY_READY);
	}
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_eq(r->nsent, 1);
	for (unsigned chain = 1; chain <= 5; chain++) {
		ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
		rr_chain_not_held(r, AGENT_A, 1, chain);
		ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_LOOKUP), 5);
	}
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* A flow is reset as soon as all agents have answered that they do not hold it,
 * with the sequence number that the caller expects. */
START_TEST(flow_held_by_no_agent_is_reset)
{
	relay_rig_t *r = two_agents();
	relay_packet_t p;
	int at;

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_advance(r, 250);
	rr_flow_message(r, AGENT_A, RELAY_NOT_HELD, 1, "feeds");
	ck_assert_int_lt(rr_last(r, RIG_CALLER, RIG_CALLER_ADDRESS, 0), 0);
	rr_flow_message(r, AGENT_B, RELAY_NOT_HELD, 1, "feeds");
	at = rr_last(r, RIG_CALLER, RIG_CALLER_ADDRESS, 0);
	ck_assert_int_ge(at, 0);
	ck_assert_int_eq(
		fleet_packet_format.read(r->sent[at].buf, r->sent[at].len, &p),
		0);
	ck_assert_uint_eq(p.flags, RELAY_RST);
	ck_assert_uint_eq(p.seq, 900);
	rr_free(r);
}
END_TEST

/* A flow is not reset while an agent that may hold it has not answered. */
START_TEST(lookup_without_all_answers_sends_no_reset)
{
	relay_rig_t *r = two_agents();

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_advance(r, 250);
	rr_flow_message(r, AGENT_A, RELAY_NOT_HELD, 1, "feeds");
	rr_advance(r, 3000);
	ck_assert_int_lt(rr_last(r, RIG_CALLER, RIG_CALLER_ADDRESS, 0), 0);
	rr_free(r);
}
END_TEST

/* An open that an agent does not answer goes to another one. The caller gets no
 * reset ("not run"), since the first agent's server may have taken the open. */
START_TEST(unanswered_open_goes_to_another_agent)
{
	relay_rig_t *r = two_agents();
	uint32_t first;

	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	first = r->sent[rr_last(r, RIG_MESSAGE, 0, RELAY_OFFER)].host;
	rr_advance(r, 200);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_OFFER), 2);
	ck_assert_uint_ne(r->sent[rr_last(r, RIG_MESSAGE, 0, RELAY_OFFER)].host,
			  first);
	rr_flow_message(r, first == AGENT_A ? AGENT_B : AGENT_A, RELAY_REFUSED,
			1, "feeds");
	rr_advance(r, 2000);
	ck_assert_int_lt(rr_last(r, RIG_CALLER, RIG_CALLER_ADDRESS, 0), 0);
	rr_free(r);
}
END_TEST

static uint32_t last_queue_ms(const relay_rig_t *r)
{
	int i = rr_last(r, RIG_MESSAGE, 0, RELAY_OFFER);
	relay_msg_t *msg = relay_msg_unpack(r->sent[i].buf, r->sent[i].len);
	uint32_t queue_ms = msg->queue_ms;

	relay_msg_free(msg);
	return queue_ms;
}

/* An open that has no target is reset at once; so is one that no agent accepts
 * and whose queues are full. */
START_TEST(refused_at_once)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_from_caller(r, 2, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(last_queue_ms(r), 0);
	rr_flow_message(r, AGENT_A, RELAY_REFUSED, 2, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	ck_assert_uint_gt(last_queue_ms(r), 1000);
	rr_flow_message(r, AGENT_A, RELAY_REFUSED, 2, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 2);
	rr_free(r);
}
END_TEST

/* A refusal may come from another agent than the one that got the offer. The
 * array of tried agents must not overflow when many refuse. */
START_TEST(refused_by_further_candidates)
{
	relay_rig_t *r = rr_balancer();
	char id[8];

	rr_routes(r, 1);
	for (unsigned i = 0; i < 12; i++) {
		snprintf(id, sizeof(id), "t%u", i);
		rr_entry(r, id, AGENT_A + i, 2 + i, ENTRY_READY);
	}
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	for (unsigned i = 0; i < 6; i++)
		rr_flow_message(r, AGENT_A + 100 + i, RELAY_REFUSED, 1,
				"feeds");
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_OFFER), 3);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* An open that waits at an agent is offered to no other one, also when its
 * caller sends it again. When the agent gives it up, the caller is told. */
START_TEST(queued_open_stays_at_its_agent)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_entry(r, "b", AGENT_B, 3, ENTRY_READY);
	rr_load(r, AGENT_A, 9, 9, 40, 0);
	rr_load(r, AGENT_B, 20, 20, 40, 0);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_int_ge(rr_last(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 0);
	ck_assert_uint_gt(last_queue_ms(r), 1000);
	rr_flow_message(r, AGENT_A, RELAY_QUEUED, 1, "feeds");
	rr_advance(r, 200);
	rr_from_caller(r, 1, RELAY_SYN, 5, 1, 0);
	rr_advance(r, 400);
	rr_from_caller(r, 1, RELAY_SYN, 5, 2, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 3);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_B, RELAY_OFFER), 0);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_advance(r, 680);
	rr_flow_message(r, AGENT_A, RELAY_REFUSED, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* An agent refuses an open twice, since the balancer has repeated its offer.
 * The open waits at the next agent by then, and the caller is not told. */
START_TEST(second_refusal_is_ignored)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_entry(r, "b", AGENT_B, 3, ENTRY_READY);
	rr_load(r, AGENT_A, 9, 9, 40, 0);
	rr_load(r, AGENT_B, 20, 20, 40, 0);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, AGENT_A, RELAY_QUEUED, 1, "feeds");
	rr_from_caller(r, 1, RELAY_SYN, 5, 1, 0);
	rr_flow_message(r, AGENT_A, RELAY_REFUSED, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_B, RELAY_OFFER), 1);
	rr_flow_message(r, AGENT_B, RELAY_QUEUED, 1, "feeds");
	rr_flow_message(r, AGENT_A, RELAY_REFUSED, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_flow_message(r, AGENT_B, RELAY_REFUSED, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* The only target's agent restarts: opens wait for it, and are offered when it
 * is back; without it they are refused before their callers give up. */
START_TEST(open_waits_for_restarting_agent)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_load_stopping(r, AGENT_A);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_advance(r, 200);
	rr_from_caller(r, 1, RELAY_SYN, 5, 1, 0);
	rr_advance(r, 300);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 0);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	if (_i)
		rr_load(r, AGENT_A, 0, 0, 20, 0);
	rr_advance(r, 100);
	if (!_i)
		rr_from_caller(r, 1, RELAY_SYN, 5, 2, 0);
	rr_advance(r, 100);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), _i);
	rr_advance(r, 690);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), _i ? 0 : 1);
	rr_free(r);
}
END_TEST

/* A caller uses its port again within a second: the new open is offered anew,
 * and its packets go to the new holder, also after late messages about the flow
 * before. */
START_TEST(port_is_used_again)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_entry(r, "b", AGENT_B, 3, ENTRY_READY);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 1, "feeds");
	rr_from_caller(r, 1, RELAY_FIN | RELAY_ACK, 6, 9, 0);
	rr_advance(r, 300);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_SYN, 700, 0, 0);
	ck_assert_int_ge(rr_last(r, RIG_MESSAGE, 0, RELAY_OFFER), 0);
	rr_flow_message(r, AGENT_B, RELAY_TAKEN, 1, "feeds");
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 1, "feeds");
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 701, 33, 10);
	ck_assert_int_ge(rr_last(r, RIG_AGENT, AGENT_B, 0), 0);
	ck_assert_int_lt(rr_last(r, RIG_AGENT, AGENT_A, 0), 0);
	rr_free(r);
}
END_TEST

/* A balancer started in an outage of the store in which all entries expired.
 * The targets live and register again: until then opens wait, and flows that
 * one of them may hold are not reset. */
START_TEST(expired_entries_come_back)
{
	relay_rig_t *r = rr_balancer();
	directory_t *d = relay_balancer_directory(r->balancer);

	rr_routes(r, 1);
	directory_resync_begin(d);
	directory_resync_end(d, r->now, (store_revision_t){ .number = 9 });
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_from_caller(r, 2, RELAY_ACK, 6, 9, 10);
	rr_advance(r, 500);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_entry(r, "a", AGENT_A, 10, ENTRY_READY);
	rr_advance(r, 200);
	ck_assert_int_ge(rr_last(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 0);
	rr_from_caller(r, 2, RELAY_ACK, 6, 9, 10);
	ck_assert_int_ge(rr_last(r, RIG_MESSAGE, AGENT_A, RELAY_LOOKUP), 0);
	rr_free(r);
}
END_TEST

/* A service without targets: its opens are refused at once when the entries of
 * living targets must be back. */
START_TEST(service_without_targets_is_refused)
{
	relay_rig_t *r = rr_balancer();
	directory_t *d = relay_balancer_directory(r->balancer);

	rr_routes(r, 1);
	directory_resync_begin(d);
	directory_resync_end(d, r->now, (store_revision_t){ .number = 9 });
	rr_advance(r, DIRECTORY_GRACE_MS);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* A first copy of an open that comes late has less time left: its objective is
 * shortened by the time at which callers send that copy. */
START_TEST(late_copy_has_less_time)
{
	relay_rig_t *r = rr_balancer();
	relay_msg_t *msg;
	int i;

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_from_caller(r, 1, RELAY_SYN, 5, 1, 0);
	i = rr_last(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER);
	msg = relay_msg_unpack(r->sent[i].buf, r->sent[i].len);
	ck_assert_uint_eq(msg->objective_ms, 1); /* 100 ms, 200 ms ago */
	ck_assert_uint_eq(msg->max_wait_ms, 1);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* Routes of a lower version never replace those of a higher one. An open
 * without a route is reset. */
START_TEST(lower_route_version_is_refused)
{
	relay_rig_t *r = rr_balancer();
	route_table_t *empty = route_table_new(3, 15000);

	rr_routes(r, 4);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	relay_balancer_set_routes(r->balancer, empty);
	ck_assert_uint_eq(relay_balancer_route_version(r->balancer), 4);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_int_ge(rr_last(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 0);
	relay_balancer_set_routes(r->balancer, route_table_new(5, 15000));
	rr_clear(r);
	rr_from_caller(r, 2, RELAY_SYN, 5, 0, 0);
	ck_assert_int_lt(rr_last(r, RIG_MESSAGE, 0, RELAY_OFFER), 0);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* A new target at an address resets the flows of the previous one. */
START_TEST(replaced_target_loses_its_flows)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 1, "feeds");
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 0);
	rr_entry(r, "n", AGENT_A, 9, ENTRY_READY);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* A removed target whose server still answers keeps its flows. */
START_TEST(leaving_target_keeps_its_flows)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 1, "feeds");
	rr_entry_gone(r, "a", 5);
	for (int i = 0; i < 10; i++) {
		rr_load(r, AGENT_A, 0, 0, 10, 0);
		rr_advance(r, 1000);
	}
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, AGENT_A, 0), 1);
	rr_free(r);
}
END_TEST

/* A removed target whose agent does not answer has lost its flows. */
START_TEST(flows_of_lost_target_are_reset)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 1, "feeds");
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 0);
	rr_entry_gone(r, "a", 5);
	rr_advance(r, 2000);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_advance(r, 2000);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* Look-ups leave out the agent of a removed target whose server is stalled: its
 * flows are lost. */
START_TEST(gone_target_with_stalled_server_is_not_asked)
{
	relay_rig_t *r = two_agents();

	rr_entry_gone(r, "a", 5);
	rr_load_stalled(r, AGENT_A, 600);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_LOOKUP), 0);
	rr_chain_not_held(r, AGENT_B, 1, 1);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* Look-ups leave out an agent that stops after its target was removed: it holds
 * no flows. An agent that restarts beside a published target is asked. */
START_TEST(gone_target_with_stopping_agent_is_not_asked)
{
	relay_rig_t *r = two_agents();
	relay_msg_t *msg;

	rr_load_stopping(r, AGENT_A);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	msg = relay_msg_unpack(r->sent[0].buf, r->sent[0].len);
	ck_assert_uint_eq(msg->n_candidates, 1);
	relay_msg_free(msg);
	rr_clear(r);
	rr_entry_gone(r, "a", 5);
	rr_from_caller(r, 2, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_LOOKUP), 0);
	rr_chain_not_held(r, AGENT_B, 2, rr_last_chain(r, AGENT_B));
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* A look-up stops waiting for an agent that was asked and then stops with its
 * target. */
START_TEST(lookup_does_not_wait_for_stopping_agent)
{
	relay_rig_t *r = two_agents();

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_advance(r, 250); /* the chain times out */
	rr_flow_message(r, AGENT_B, RELAY_NOT_HELD, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_load_stopping(r, AGENT_A);
	rr_entry_gone(r, "a", 5);
	rr_advance(r, RELAY_BALANCER_TICK_MS);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/*
 * The agent on a host that was removed with its target sends nothing from then
 * on. Look-ups leave it out once some hellos are unanswered.
 */
START_TEST(lookup_does_not_wait_for_removed_host)
{
	relay_rig_t *r = two_agents();

	rr_load(r, AGENT_A, 0, 0, 10, 0);
	rr_entry_gone(r, "a", 5);
	rr_clear(r);
	rr_advance(r, 1000);
	ck_assert_uint_ge(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_HELLO), 3);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_chain_not_held(r, AGENT_B, 1, 1);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* The host of a silent agent has been removed, but the entry of its target has
 * not expired yet: the look-up goes on until it has, and the flow is reset
 * without another packet of the caller. */
START_TEST(lookup_lasts_until_host_is_known_removed)
{
	relay_rig_t *r = two_agents();

	rr_load(r, AGENT_A, 0, 0, 10, 0);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_advance(r, 250); /* the chain times out */
	rr_flow_message(r, AGENT_B, RELAY_NOT_HELD, 1, "feeds");
	rr_advance(r, 1500);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_entry_gone(r, "a", 5);
	rr_advance(r, 1000);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* An entry that expired while the store was unreachable takes opens for
 * DIRECTORY_GRACE_MS more. */
START_TEST(lapsed_entry_takes_opens)
{
	relay_rig_t *r = rr_balancer();
	directory_t *d = relay_balancer_directory(r->balancer);

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	directory_store_unreachable(d, r->now);
	rr_advance(r, 1000);
	directory_store_reachable(d, r->now);
	rr_entry_gone(r, "a", 5);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_OFFER), 1);
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 1, "feeds");
	rr_advance(r, 3500);
	rr_from_caller(r, 2, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_OFFER), 1);
	rr_free(r);
}
END_TEST

/* A server that is down gets one open per second as a probe, no others. */
START_TEST(silent_server_is_probed_each_second)
{
	relay_rig_t *r = two_agents();
	size_t tried;

	for (unsigned i = 0; i < 100; i++) {
		rr_load(r, AGENT_A, 0, 0, 10, 600);
		rr_load(r, AGENT_B, 0, 0, 10, 0);
		rr_from_caller(r, i, RELAY_SYN, 5, 0, 0);
		rr_flow_message(r, AGENT_B, RELAY_TAKEN, i, "feeds");
		rr_advance(r, RELAY_BALANCER_TICK_MS);
	}
	tried = rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER);
	ck_assert_uint_ge(tried, 2);
	ck_assert_uint_le(tried, 4);
	rr_free(r);
}
END_TEST

/* Sends opens for 30 s, all of which B takes, while A answers no hello. Returns
 * the number of hellos to A in the last 10 s. */
static size_t count_hellos_to_silent_agent(relay_rig_t *r)
{
	for (unsigned i = 0; i < 300; i++) {
		if (i == 200)
			rr_clear(r);
		rr_load(r, AGENT_B, 0, 0, 10, 0);
		rr_from_caller(r, i, RELAY_SYN, 5, 0, 0);
		rr_flow_message(r, AGENT_B, RELAY_TAKEN, i, "feeds");
		rr_advance(r, 100);
	}
	return rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_HELLO);
}

/* A server that fails or an agent that stops gets no opens but still gets
 * hellos; otherwise its recovery would go unnoticed. */
START_TEST(impaired_member_gets_hellos)
{
	relay_rig_t *r = two_agents();

	if (_i)
		rr_load_stopping(r, AGENT_A);
	else
		rr_load_failing(r, AGENT_A, 100);
	ck_assert_uint_ge(count_hellos_to_silent_agent(r), 2);
	rr_free(r);
}
END_TEST

/* A member whose last load report has expired gets opens again, although the
 * report was of failures or a stop. */
START_TEST(expired_load_report_is_ignored)
{
	relay_rig_t *r = two_agents();
	size_t offers = 0;

	if (_i)
		rr_load_stopping(r, AGENT_A);
	else
		rr_load_failing(r, AGENT_A, 100);
	rr_advance(r, 5000);
	for (unsigned i = 0; i < 100; i++) {
		rr_clear(r);
		rr_load(r, AGENT_B, 2, 2, 10, 0); /* busy */
		rr_from_caller(r, i, RELAY_SYN, 5, 0, 0);
		offers += rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER);
		rr_flow_message(r, AGENT_A, RELAY_TAKEN, i, "feeds");
		rr_advance(r, RELAY_BALANCER_TICK_MS);
	}
	ck_assert_uint_ge(offers, 2);
	rr_free(r);
}
END_TEST

/* The load report of the previous target at an address does not apply to a new
 * target. */
START_TEST(new_target_starts_without_load_report)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	if (_i == 0)
		rr_load_stopping(r, AGENT_A);
	else if (_i == 1)
		rr_load_failing(r, AGENT_A, 100);
	else
		rr_load(r, AGENT_A, 50, 50, 100, 0);
	rr_entry(r, "b", AGENT_B, 3, ENTRY_READY);
	rr_load(r, AGENT_B, 3, 3, 10, 0);
	rr_entry(r, "a2", AGENT_A, 9, ENTRY_READY);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 1);
	rr_free(r);
}
END_TEST

/* The load estimate for placed opens decays. Another placed open must add to
 * the decayed value, not to the value as it was before the decay. */
START_TEST(placed_opens_decay)
{
	relay_rig_t *r = two_agents();

	rr_load(r, AGENT_A, 0, 0, 10, 0);
	rr_load(r, AGENT_B, 3, 3, 10, 0);
	for (unsigned i = 0; i < 5; i++) {
		if (i == 3)
			rr_advance(r, 2000);
		rr_clear(r);
		rr_from_caller(r, i, RELAY_SYN, 5, 0, 0);
		rr_flow_message(r, AGENT_A, RELAY_TAKEN, i, "feeds");
	}
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 1);
	rr_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay_balancer");
	TCase *tc = tcase_create("decisions");

	tcase_add_test(tc, older_entry_listed_last);
	tcase_add_test(tc, newer_entry_replaces_older);
	tcase_add_test(tc, open_and_packets);
	tcase_add_test(tc, packets_are_queued_during_lookup);
	tcase_add_test(tc, lookup_is_a_chain);
	tcase_add_test(tc, flow_held_by_no_agent_is_reset);
	tcase_add_test(tc, lookup_without_all_answers_sends_no_reset);
	tcase_add_test(tc, unanswered_open_goes_to_another_agent);
	tcase_add_test(tc, refused_at_once);
	tcase_add_test(tc, refused_by_further_candidates);
	tcase_add_test(tc, queued_open_stays_at_its_agent);
	tcase_add_test(tc, second_refusal_is_ignored);
	tcase_add_loop_test(tc, open_waits_for_restarting_agent, 0, 2);
	tcase_add_test(tc, late_copy_has_less_time);
	tcase_add_test(tc, port_is_used_again);
	tcase_add_test(tc, expired_entries_come_back);
	tcase_add_test(tc, service_without_targets_is_refused);
	tcase_add_test(tc, lower_route_version_is_refused);
	tcase_add_test(tc, replaced_target_loses_its_flows);
	tcase_add_test(tc, leaving_target_keeps_its_flows);
	tcase_add_test(tc, flows_of_lost_target_are_reset);
	tcase_add_test(tc, gone_target_with_stalled_server_is_not_asked);
	tcase_add_test(tc, gone_target_with_stopping_agent_is_not_asked);
	tcase_add_test(tc, lookup_does_not_wait_for_stopping_agent);
	tcase_add_test(tc, lookup_does_not_wait_for_removed_host);
	tcase_add_test(tc, lookup_lasts_until_host_is_known_removed);
	tcase_add_test(tc, lapsed_entry_takes_opens);
	tcase_add_test(tc, silent_server_is_probed_each_second);
	tcase_add_loop_test(tc, impaired_member_gets_hellos, 0, 2);
	tcase_add_loop_test(tc, expired_load_report_is_ignored, 0, 2);
	tcase_add_loop_test(tc, new_target_starts_without_load_report, 0, 3);
	tcase_add_test(tc, placed_opens_decay);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
