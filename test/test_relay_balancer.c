/*
 * test_relay_balancer - opens, look-ups and members of a balancer that relays
 * packets
 */

#include "relay_rig.h"
#include "runner.h"
#include <stdio.h>

#define AGENT_A RIG_HOST_A
#define AGENT_B RIG_HOST_B

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
	relay_rig_t *r = rr_two_targets();
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
	relay_rig_t *r = rr_two_targets();

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_advance(r, 250);
	rr_flow_message(r, AGENT_A, RELAY_NOT_HELD, 1, "feeds");
	rr_advance(r, 3000);
	ck_assert_int_lt(rr_last(r, RIG_CALLER, RIG_CALLER_ADDRESS, 0), 0);
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
	directory_resync_begin(d, LISTING_STORE);
	directory_resync_end(d, LISTING_STORE, r->now,
			     (store_revision_t){ .number = 9 });
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
	uint64_t unix_at_0 = 1700000000000;

	r->unix_at_0 = unix_at_0;
	rr_routes(r, 1);
	rr_entry_started(r, "a", AGENT_A, 2, ENTRY_READY, unix_at_0);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 1, "feeds");
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 0);
	rr_advance(r, 1000);
	rr_entry_started(r, "n", AGENT_A, 9, ENTRY_READY, unix_at_0 + r->now);
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

/* Guards against a reset of a flow whose server got no processor time until its
 * entry expired: it accepts connections, and keeps its flows. */
START_TEST(hung_server_of_an_expired_entry_keeps_its_flows)
{
	relay_rig_t *r = rr_two_targets();

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_flow_message(r, AGENT_A, RELAY_HELD, 1, "feeds");
	rr_entry_gone(r, "a", 9);
	rr_clear(r);
	for (unsigned ms = 500; ms < 6000; ms += 250) {
		rr_load_hung(r, AGENT_A, _i ? 0 : ms, _i ? ms : 0);
		rr_load(r, AGENT_B, 0, 0, 10, 0);
		rr_advance(r, 250);
	}
	rr_from_caller(r, 2, RELAY_ACK, 6, 900, 100);
	rr_flow_message(r, AGENT_B, RELAY_NOT_HELD, 2, "feeds");
	rr_advance(r, 300);
	rr_flow_message(r, AGENT_B, RELAY_NOT_HELD, 2, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	/* It has ended. */
	rr_load_stalled(r, AGENT_A, 6000);
	rr_advance(r, 250);
	ck_assert_uint_ge(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* Look-ups leave out the agent of a removed target whose server is stalled: its
 * flows are lost. */
START_TEST(gone_target_with_stalled_server_is_not_asked)
{
	relay_rig_t *r = rr_two_targets();

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
	relay_rig_t *r = rr_two_targets();
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
	relay_rig_t *r = rr_two_targets();

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
	relay_rig_t *r = rr_two_targets();

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
	relay_rig_t *r = rr_two_targets();

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
	relay_rig_t *r = rr_two_targets();

	if (_i)
		rr_load_stopping(r, AGENT_A);
	else
		rr_load_failing(r, AGENT_A, 100);
	ck_assert_uint_ge(count_hellos_to_silent_agent(r), 2);
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
	tcase_add_test(tc, expired_entries_come_back);
	tcase_add_test(tc, lower_route_version_is_refused);
	tcase_add_test(tc, replaced_target_loses_its_flows);
	tcase_add_test(tc, leaving_target_keeps_its_flows);
	tcase_add_test(tc, flows_of_lost_target_are_reset);
	tcase_add_test(tc, gone_target_with_stalled_server_is_not_asked);
	tcase_add_loop_test(tc, hung_server_of_an_expired_entry_keeps_its_flows,
			    0, 2);
	tcase_add_test(tc, gone_target_with_stopping_agent_is_not_asked);
	tcase_add_test(tc, lookup_does_not_wait_for_stopping_agent);
	tcase_add_test(tc, lookup_does_not_wait_for_removed_host);
	tcase_add_test(tc, lookup_lasts_until_host_is_known_removed);
	tcase_add_loop_test(tc, impaired_member_gets_hellos, 0, 2);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
