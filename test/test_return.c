/*
 * test_return - callers and flows after hosts have lost power: what is reset,
 * and what is not
 */

#include "early_opens.h"
#include "holder_evidence.h"
#include "relay_rig.h"
#include "relay_state.h"
#include "runner.h"

#define AGENT_A 0x0a010009u
#define AGENT_B 0x0a02000au
/* Unix time at which the clock of the rig would show 0, ms. */
#define UNIX_AT_0 1700000000000u

/* A server that was published late holds the flows that were opened since its
 * start. */
START_TEST(evidence_of_start_times)
{
	ck_assert(holder_started_later(1000, 9000, 50000, 45000));
	ck_assert(!holder_started_later(6000, 9000, 50000, 45000));
	/* Clocks differ a little between hosts. */
	ck_assert(!holder_started_later(3900, 9000, 50000, 45000));
	/* Without a start time or a clock an earlier server held it. */
	ck_assert(holder_started_later(6000, 9000, 50000, 0));
	ck_assert(holder_started_later(6000, 9000, 0, 45000));
	/* A clock is wrong: nothing is known. */
	ck_assert(!holder_started_later(1000, 9000, 50000, 51000));
}
END_TEST

/*
 * After a power loss the store still lists the target of before. Flows that
 * were opened at the new server before its entry appears stay; those of the
 * server of before are reset.
 */
START_TEST(late_entry_keeps_flows_of_new_server)
{
	relay_rig_t *r = rr_balancer();

	r->unix_at_0 = UNIX_AT_0;
	rr_routes(r, 1);
	rr_entry_started(r, "old", AGENT_A, 2, ENTRY_READY,
			 UNIX_AT_0 + r->now - 20000);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 1, "feeds");
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 0);
	rr_advance(r, 3000);
	rr_from_caller(r, 2, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 2, "feeds");
	rr_from_caller(r, 2, RELAY_ACK, 6, 900, 0);
	rr_advance(r, 1000);
	rr_clear(r);
	rr_entry_started(r, "new", AGENT_A, 9, ENTRY_READY,
			 UNIX_AT_0 + r->now - 2000);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_clear(r);
	rr_from_caller(r, 2, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, AGENT_A, 0), 1);
	rr_free(r);
}
END_TEST

/* Passes the report of a stopping agent that lists one flow; complete: its
 * server holds no others. */
static void stops_with(relay_rig_t *r, uint32_t agent, unsigned flow,
		       bool complete)
{
	relay_load_t load = CT__RELAY__LOAD__INIT;
	uint8_t buf[RELAY_PACKET_MAX];
	relay_packet_t p;
	relay_msg_t msg;
	uint32_t hash;

	ck_assert_int_eq(
		fleet_packet_format.read(
			buf, rr_packet(buf, flow, RELAY_ACK, 6, 900, 100), &p),
		0);
	hash = holder_list_hash(&p.key);
	relay_msg_init(&msg, RELAY_LOAD);
	load.stopping = true;
	msg.load = &load;
	msg.held_flows = &hash;
	msg.n_held_flows = 1;
	msg.held_flows_complete = complete;
	relay_balancer_handle_message(r->balancer, r->now, agent, &msg);
}

static void stops_with_flow(relay_rig_t *r, uint32_t agent, unsigned flow)
{
	stops_with(r, agent, flow, true);
}

/* The last message that the agent sent to a balancer. */
static relay_msg_t *last_report(const relay_rig_t *r)
{
	int at = rr_last(r, RIG_MESSAGE, RIG_BALANCER_ADDRESS, RELAY_LOAD);

	ck_assert_int_ge(at, 0);
	return relay_msg_unpack(r->sent[at].buf, r->sent[at].len);
}

/*
 * The host of a draining target is removed after a power loss, and its entry
 * stays until it expires. Callers of flows that the agent did not list when it
 * stopped are told; the listed flow is not reset while its target may live.
 */
START_TEST(stopped_agent_does_not_hold_up_lookups)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_DRAINING);
	rr_entry(r, "b", AGENT_B, 3, ENTRY_READY);
	rr_load(r, AGENT_B, 0, 0, 10, 0);
	stops_with_flow(r, AGENT_A, 2);
	for (unsigned flow = 1; flow <= 2; flow++) {
		rr_clear(r);
		rr_from_caller(r, flow, RELAY_ACK, 6, 900, 100);
		/* It is asked alone: no chain ends there. */
		rr_chain_not_held(r, AGENT_B, flow, rr_last_chain(r, AGENT_B));
		ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
		rr_advance(r, 400);
		ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0),
				  flow == 1 ? 1 : 0);
		rr_load(r, AGENT_B, 0, 0, 10, 0);
	}
	rr_advance(r, 3000);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* Once its host is gone, the agent of a draining target is not asked about
 * flows that it did not list: their callers are told without a delay. */
START_TEST(removed_agent_is_not_asked)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_DRAINING);
	rr_entry(r, "b", AGENT_B, 3, ENTRY_READY);
	stops_with_flow(r, AGENT_A, 2);
	for (unsigned i = 0; i < 8; i++) {
		rr_load(r, AGENT_B, 0, 0, 10, 0);
		rr_advance(r, 200);
	}
	rr_load(r, AGENT_B, 0, 0, 10, 0);
	for (unsigned flow = 1; flow <= 2; flow++) {
		rr_clear(r);
		rr_from_caller(r, flow, RELAY_ACK, 6, 900, 100);
		rr_chain_not_held(r, AGENT_B, flow, rr_last_chain(r, AGENT_B));
		ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0),
				  flow == 1 ? 1 : 0);
		ck_assert_uint_eq(
			rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_LOOKUP),
			flow == 1 ? 0 : 1);
	}
	rr_free(r);
}
END_TEST

/* Guards against a reset of a flow whose agent restarts as planned while the
 * entry of its target is gone, and the target runs: the agent says that it
 * does, and comes back. One whose server has ended does not. */
START_TEST(agent_of_a_running_server_comes_back)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_entry(r, "b", AGENT_B, 3, ENTRY_READY);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_flow_message(r, AGENT_A, RELAY_HELD, 1, "feeds");
	rr_entry_gone(r, "a", 5);
	rr_load_restarting(r, AGENT_A, _i == 0);
	rr_clear(r);
	rr_from_caller(r, 2, RELAY_ACK, 6, 900, 100);
	rr_flow_message(r, AGENT_B, RELAY_NOT_HELD, 2, "feeds");
	for (unsigned ms = 0; ms < 2900; ms += 100) {
		rr_load(r, AGENT_B, 0, 0, 10, 0);
		rr_flow_message(r, AGENT_B, RELAY_NOT_HELD, 2, "feeds");
		rr_advance(r, 100);
	}
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), _i == 0 ? 0 : 2);
	rr_free(r);
}
END_TEST

/* An agent that runs again may hold flows that it had not listed. */
START_TEST(restarted_agent_is_waited_for)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	stops_with_flow(r, AGENT_A, 2);
	rr_load(r, AGENT_A, 0, 0, 10, 0);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_advance(r, 3000);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* A server that did not listen when the agent started, as after a power loss,
 * holds only what passed through the agent. */
START_TEST(agent_before_its_server_knows_all_flows)
{
	static const uint32_t next = AGENT_B;
	relay_rig_t *r = rr_agent(false);
	relay_msg_t *msg;

	relay_agent_no_server(r->agent, r->now);
	rr_hello(r, RIG_BALANCER_ADDRESS, 2);
	msg = last_report(r);
	ck_assert(msg->load->no_server);
	relay_msg_free(msg);
	rr_lookup(r, RIG_BALANCER_ADDRESS, 7, 900, &next, 1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, next, RELAY_LOOKUP), 1);
	rr_offer(r, RIG_BALANCER_ADDRESS, 1, 5, NULL, 0);
	rr_from_server(r, 1, RELAY_SYN | RELAY_ACK, 70, 6, 0);
	relay_agent_stop(r->agent, r->now);
	msg = last_report(r);
	ck_assert(msg->held_flows_complete && !msg->load->no_server);
	ck_assert_uint_eq(msg->n_held_flows, 1);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* An agent that restarts beside its running server lists the flows that it
 * knows, and says that the server may hold others: it has not seen all. Flows
 * that it does not know to be in use are not among them. */
START_TEST(agent_after_its_server_lists_what_it_knows)
{
	relay_rig_t *r = rr_agent(false);
	relay_msg_t *msg;

	rr_hello(r, RIG_BALANCER_ADDRESS, 2);
	rr_from_server(r, 1, RELAY_ACK, 70, 6, 100);
	rr_lookup(r, RIG_BALANCER_ADDRESS, 2, 900, NULL, 0);
	rr_offer(r, RIG_BALANCER_ADDRESS, 3, 5, NULL, 0);
	rr_from_server(r, 3, RELAY_SYN | RELAY_ACK, 70, 6, 0);
	relay_agent_no_server(r->agent, r->now);
	relay_agent_stop(r->agent, r->now);
	msg = last_report(r);
	ck_assert(!msg->held_flows_complete && !msg->load->no_server);
	ck_assert_uint_eq(msg->n_held_flows, 1);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* Guards against an agent that stops beside a running server, and is taken for
 * one whose host is removed: it finds out first whether the server runs, and
 * says so. A probe without an answer does not hold the report up. */
START_TEST(stopping_agent_tells_that_its_server_runs)
{
	relay_rig_t *r = rr_agent(true);
	relay_msg_t *msg;

	rr_hello(r, RIG_BALANCER_ADDRESS, 2);
	rr_clear(r);
	r->server_listens = _i == 0;
	r->probes_unanswered = _i == 2;
	relay_agent_stop(r->agent, r->now);
	rr_advance(r, _i == 2 ? 75 : 0);
	ck_assert_uint_eq(
		rr_count(r, RIG_MESSAGE, RIG_BALANCER_ADDRESS, RELAY_LOAD), 1);
	msg = last_report(r);
	ck_assert(msg->load->stopping);
	ck_assert(msg->load->listens == (_i == 0));
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* A balancer that starts while the store is away offers the opens that came
 * meanwhile as soon as it knows the routes, less their time spent. Other
 * packets are left to their callers' retransmissions. */
START_TEST(early_opens_are_offered)
{
	relay_rig_t *r = rr_balancer();
	relay_msg_t *msg;

	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_from_caller(r, 2, RELAY_ACK, 6, 900, 100);
	rr_advance(r, 300);
	rr_from_caller(r, 3, RELAY_SYN, 5, 0, 0);
	rr_advance(r, EARLY_OPEN_MS - 100);
	ck_assert_uint_eq(r->nsent, 0);
	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_advance(r, RELAY_BALANCER_TICK_MS);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_LOOKUP), 0);
	msg = relay_msg_unpack(
		r->sent[rr_last(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER)].buf,
		r->sent[rr_last(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER)].len);
	ck_assert_uint_le(msg->objective_ms, 1);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* A look-up of flow 2, which agent A has listed before it stopped. */
static relay_rig_t *lookup_of_listed_flow(void)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_entry(r, "b", AGENT_B, 3, ENTRY_READY);
	stops_with_flow(r, AGENT_A, 2);
	rr_clear(r);
	rr_from_caller(r, 2, RELAY_ACK, 6, 900, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_LOOKUP), 1);
	return r;
}

/* Guards against a packet that servers of other agents try while the agent that
 * has listed its flow still runs or restarts: they get it two seconds later. */
START_TEST(agent_that_listed_the_flow_is_waited_for)
{
	relay_rig_t *r = lookup_of_listed_flow();

	rr_advance(r, 1900);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_B, RELAY_LOOKUP), 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_B, RELAY_QUERY), 0);
	ck_assert_uint_ge(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_QUERY), 3);
	rr_advance(r, 300);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_B, RELAY_LOOKUP), 1);
	rr_free(r);
}
END_TEST

/* Guards against the same when that agent is back, and only its server knows:
 * this server tries the packet, and no other. */
START_TEST(server_of_the_listing_agent_tries_first)
{
	relay_rig_t *r = lookup_of_listed_flow();

	rr_advance(r, 900);
	rr_clear(r);
	rr_load(r, AGENT_A, 0, 0, 10, 0);
	rr_flow_message(r, AGENT_A, RELAY_UNSURE, 2, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_LOOKUP), 1);
	rr_advance(r, 700);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_B, RELAY_LOOKUP), 0);
	rr_free(r);
}
END_TEST

/* Guards against a packet that servers of other agents try although its agent,
 * which has restarted, listed the flow when it stopped: it is asked first. The
 * list is known from its report (0, 1: not complete) or from a peer (2). */
START_TEST(agent_that_is_back_and_listed_the_flow_is_asked_first)
{
	relay_rig_t *r = rr_balancer(), *peer = NULL;
	uint32_t agents[2] = { AGENT_A, AGENT_B };
	relay_msg_t *msg;
	int at;

	for (unsigned i = 0; i < 2; i++) {
		rr_routes(r, 1 + i);
		rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
		rr_entry(r, "b", AGENT_B, 3, ENTRY_READY);
		stops_with(r, agents[i], 10 + i, _i == 0);
		rr_load(r, agents[i], 0, 0, 10, 0);
	}
	if (_i == 2) {
		GString *state = g_string_new(NULL);

		peer = r;
		r = rr_balancer();
		relay_state_pack(peer->balancer, peer->now,
				 (store_revision_t){ .number = 30 }, state);
		relay_state_apply(r->balancer, r->now, state->str, state->len);
		g_string_free(state, TRUE);
		rr_free(peer);
	}
	for (unsigned i = 0; i < 2; i++) {
		rr_clear(r);
		rr_from_caller(r, 10 + i, RELAY_ACK, 6, 900, 100);
		ck_assert_uint_eq(
			rr_count(r, RIG_MESSAGE, agents[i], RELAY_LOOKUP), 1);
		ck_assert_uint_eq(
			rr_count(r, RIG_MESSAGE, agents[1 - i], RELAY_LOOKUP),
			0);
		/* It is no proof: the other one is asked next. */
		at = rr_last(r, RIG_MESSAGE, agents[i], RELAY_LOOKUP);
		msg = relay_msg_unpack(r->sent[at].buf, r->sent[at].len);
		ck_assert_uint_eq(msg->n_candidates, 1);
		ck_assert_uint_eq(msg->candidates[0], agents[1 - i]);
		relay_msg_free(msg);
	}
	rr_free(r);
}
END_TEST

/* Guards against a flow that was idle while its agent restarted twice: the
 * second list does not name it, since the agent has not seen it, but the first
 * did. */
START_TEST(flow_of_an_earlier_list_is_asked_about_there)
{
	relay_rig_t *r = rr_balancer();
	uint32_t agents[2] = { AGENT_A, AGENT_B };

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_entry(r, "b", AGENT_B, 3, ENTRY_READY);
	for (unsigned i = 0; i < 2; i++) {
		stops_with(r, agents[i], 10 + i, true);
		rr_load(r, agents[i], 0, 0, 10, 0);
		stops_with(r, agents[i], 20 + i, false);
		stops_with(r, agents[i], 20 + i, false);
		rr_load(r, agents[i], 0, 0, 10, 0);
	}
	for (unsigned i = 0; i < 4; i++) {
		rr_clear(r);
		rr_from_caller(r, 10 * (1 + i / 2) + i % 2, RELAY_ACK, 6, 900,
			       100);
		ck_assert_uint_eq(
			rr_count(r, RIG_MESSAGE, agents[i % 2], RELAY_LOOKUP),
			1);
	}
	rr_free(r);
}
END_TEST

/* Guards against a list that is not complete, and is taken for proof that the
 * agent's server does not hold the flow: the agent is waited for. */
START_TEST(flow_that_is_not_listed_may_be_held)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	stops_with(r, AGENT_A, 2, false);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_advance(r, 3000);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* Guards against waiting for an agent that says no. */
START_TEST(listing_agent_may_not_hold_the_flow)
{
	relay_rig_t *r = lookup_of_listed_flow();

	rr_chain_not_held(r, AGENT_A, 2, rr_last_chain(r, AGENT_A));
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_B, RELAY_LOOKUP), 1);
	rr_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("return");
	TCase *tc = tcase_create("return");

	tcase_add_test(tc, evidence_of_start_times);
	tcase_add_test(tc, late_entry_keeps_flows_of_new_server);
	tcase_add_test(tc, stopped_agent_does_not_hold_up_lookups);
	tcase_add_test(tc, removed_agent_is_not_asked);
	tcase_add_loop_test(tc, agent_of_a_running_server_comes_back, 0, 2);
	tcase_add_test(tc, restarted_agent_is_waited_for);
	tcase_add_test(tc, agent_before_its_server_knows_all_flows);
	tcase_add_test(tc, agent_after_its_server_lists_what_it_knows);
	tcase_add_loop_test(tc, stopping_agent_tells_that_its_server_runs, 0,
			    3);
	tcase_add_test(tc, early_opens_are_offered);
	tcase_add_test(tc, agent_that_listed_the_flow_is_waited_for);
	tcase_add_test(tc, server_of_the_listing_agent_tries_first);
	tcase_add_test(tc, listing_agent_may_not_hold_the_flow);
	tcase_add_loop_test(
		tc, agent_that_is_back_and_listed_the_flow_is_asked_first, 0,
		3);
	tcase_add_test(tc, flow_that_is_not_listed_may_be_held);
	tcase_add_test(tc, flow_of_an_earlier_list_is_asked_about_there);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
