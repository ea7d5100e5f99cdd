/*
 * test_relay_holding - what an agent says of the flows of its server
 */

#include "relay_rig.h"
#include "runner.h"

#define BALANCER    0x0a010005u
#define OTHER_AGENT 0x0a02000au
#define ISN	    5000u /* initial sequence number of the server */
/* Requests that the server can answer within 100 ms. */
#define BUSY_REQUESTS 10

/* Gives the server requests until opens have to wait. */
static void fill_server(relay_rig_t *r)
{
	rr_hello(r, BALANCER, 2);
	for (unsigned i = 0; i < BUSY_REQUESTS; i++) {
		rr_offer(r, BALANCER, 100 + i, 5, NULL, 0);
		rr_from_server(r, 100 + i, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
		rr_from_balancer(r, BALANCER, 100 + i, RELAY_ACK, 6, ISN + 1,
				 100, 0);
	}
}

/* Guards against a reset of a flow that is open elsewhere: an agent whose
 * server never answered the open said that it holds the flow. */
START_TEST(unanswered_open_is_not_held)
{
	relay_rig_t *r = rr_agent(true);
	uint32_t other = OTHER_AGENT;

	rr_offer(r, BALANCER, 1, 5, &other, 1);
	rr_advance(r, 200);
	rr_lookup(r, BALANCER, 1, 900000001, &other, 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, OTHER_AGENT, RELAY_LOOKUP),
			  1);
	rr_flow_message(r, BALANCER, RELAY_QUERY, 1, "feeds");
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 6, 900000001, 100, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_HELD), 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_NOT_HELD),
			  1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_GIVEN_BACK),
			  1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* Guards against the same after a restart of the agent, and against the
 * opposite: the server may have answered the open through the earlier process,
 * so that only the server knows. */
START_TEST(unanswered_open_after_restart_is_verified)
{
	relay_rig_t *r = rr_agent(false);
	uint32_t other = OTHER_AGENT;

	rr_offer(r, BALANCER, 1, 5, &other, 1);
	rr_flow_message(r, BALANCER, RELAY_QUERY, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_UNSURE), 1);
	rr_lookup(r, BALANCER, 1, 900000001, &other, 1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 2);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_HELD), 0);
	rr_returned(r, 1, RELAY_ACK, 6, 900000001, 100);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, OTHER_AGENT, RELAY_LOOKUP),
			  1);
	rr_free(r);
}
END_TEST

/* Guards against a false "not held" after a restart of the agent: a copy of the
 * open waits for a slot, while the server accepted an earlier one. */
START_TEST(queued_copy_after_restart_is_verified)
{
	relay_rig_t *r = rr_agent(false);

	fill_server(r);
	rr_offer_queue(r, BALANCER, 1, 5, 1000);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_QUEUED), 1);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 6, ISN + 1, 100, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_GIVEN_BACK),
			  0);
	rr_from_server(r, 1, RELAY_ACK, ISN + 1, 106, 500);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_HELD), 1);
	rr_advance(r, 1200);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_REFUSED), 0);
	rr_free(r);
}
END_TEST

/* What the last message of an unsure agent says of its server. */
static bool says_kept(const relay_rig_t *r)
{
	int at = rr_last(r, RIG_MESSAGE, BALANCER, RELAY_UNSURE);
	relay_msg_t *msg;
	bool kept;

	ck_assert_int_ge(at, 0);
	msg = relay_msg_unpack(r->sent[at].buf, r->sent[at].len);
	kept = msg->kept;
	relay_msg_free(msg);
	return kept;
}

/* Guards against a false "held": a packet that the server has not returned,
 * while it sent others, may have been lost when it crashed. Its own packet on
 * the flow shows that it holds it. */
START_TEST(kept_packet_is_no_proof)
{
	relay_rig_t *r = rr_agent(false);

	rr_lookup(r, BALANCER, 1, 7, NULL, 0);
	rr_advance(r, 20);
	rr_returned(r, 9, RELAY_ACK, 6, 7, 100);
	rr_advance(r, 60);
	rr_flow_message(r, BALANCER, RELAY_QUERY, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_HELD), 0);
	ck_assert(says_kept(r));
	rr_advance(r, 600);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 6, 7, 100, 0);
	rr_advance(r, 600);
	rr_flow_message(r, BALANCER, RELAY_QUERY, 1, "feeds");
	ck_assert(!says_kept(r));
	rr_from_server(r, 1, RELAY_ACK, 7, 106, 500);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_HELD), 1);
	rr_free(r);
}
END_TEST

/* Guards against trials that repeat: an agent remembers that its server
 * returned a packet of the flow, and says so to look-ups, queries and packets.
 * The caller of another flow with the same addresses uses other numbers. */
START_TEST(returned_flow_is_not_held)
{
	relay_rig_t *r = rr_agent(false);
	uint32_t other = OTHER_AGENT;

	rr_lookup(r, BALANCER, 1, 7, &other, 1);
	rr_returned(r, 1, RELAY_ACK, 6, 7, 100);
	rr_clear(r);
	rr_lookup(r, BALANCER, 1, 7, &other, 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, OTHER_AGENT, RELAY_LOOKUP),
			  1);
	rr_flow_message(r, BALANCER, RELAY_QUERY, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_NOT_HELD),
			  1);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 6, 7, 100, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_GIVEN_BACK),
			  1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	rr_lookup(r, BALANCER, 1, 900000001, &other, 1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* Guards against look-ups that end at a silent server: the agent says that it
 * does not know, and passes the packet on. The last of a chain lets the server
 * try it, which may recover. */
START_TEST(silent_server_is_passed)
{
	relay_rig_t *r = rr_agent(false);
	uint32_t other = OTHER_AGENT;

	rr_lookup(r, BALANCER, 1, 7, NULL, 0);
	rr_advance(r, 600);
	rr_clear(r);
	rr_lookup(r, BALANCER, 2, 7, &other, 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_UNSURE), 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, OTHER_AGENT, RELAY_LOOKUP),
			  1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	rr_lookup(r, BALANCER, 3, 7, NULL, 0);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_NOT_HELD),
			  0);
	rr_free(r);
}
END_TEST

/* The last look-up that the agent has passed on, or the last answer of a
 * chain. */
static relay_msg_t *last_message(const relay_rig_t *r, uint32_t host,
				 relay_kind_t kind)
{
	int at = rr_last(r, RIG_MESSAGE, host, kind);

	ck_assert_int_ge(at, 0);
	return relay_msg_unpack(r->sent[at].buf, r->sent[at].len);
}

/* Guards against an answer "not held" that names no agent whose server was not
 * asked: of the chain that it ends, some have passed the packet on, before the
 * agent and at it. */
START_TEST(chain_tells_who_is_unsure)
{
	relay_rig_t *r = rr_agent(false);
	uint32_t agents[2] = { OTHER_AGENT, OTHER_AGENT + 1 };
	relay_msg_t *msg;

	rr_lookup(r, BALANCER, 1, 7, NULL, 0);
	rr_advance(r, 600);
	rr_lookup(r, BALANCER, 2, 7, agents, 1);
	msg = last_message(r, OTHER_AGENT, RELAY_LOOKUP);
	ck_assert_uint_eq(msg->n_unsure, 1);
	ck_assert_uint_eq(msg->unsure[0], RIG_HOST_A);
	relay_msg_free(msg);
	rr_returned(r, 1, RELAY_ACK, 6, 7, 100);
	rr_lookup_unsure(r, BALANCER, 3, 7, &agents[0], 1, &agents[1], 1);
	rr_returned(r, 3, RELAY_ACK, 6, 7, 100);
	msg = last_message(r, OTHER_AGENT, RELAY_LOOKUP);
	ck_assert_uint_eq(msg->n_unsure, 1);
	ck_assert_uint_eq(msg->unsure[0], agents[1]);
	relay_msg_free(msg);
	rr_lookup_unsure(r, BALANCER, 3, 7, NULL, 0, &agents[1], 1);
	msg = last_message(r, BALANCER, RELAY_NOT_HELD);
	ck_assert_uint_eq(msg->n_unsure, 1);
	ck_assert_uint_eq(msg->unsure[0], agents[1]);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* Guards against trials that nobody asked for: an unsure agent passes the
 * look-up on untried and is named; one that knows the flow delivers. */
START_TEST(look_up_without_trial)
{
	relay_rig_t *r = rr_agent(false);
	uint32_t other = OTHER_AGENT;
	relay_msg_t *msg;

	rr_lookup_known(r, BALANCER, 1, 7, &other, 1);
	msg = last_message(r, OTHER_AGENT, RELAY_LOOKUP);
	ck_assert(msg->known_only);
	ck_assert_uint_eq(msg->n_unsure, 1);
	relay_msg_free(msg);
	rr_lookup_known(r, BALANCER, 1, 7, NULL, 0);
	msg = last_message(r, BALANCER, RELAY_NOT_HELD);
	ck_assert_uint_eq(msg->n_unsure, 1);
	ck_assert_uint_eq(msg->unsure[0], RIG_HOST_A);
	relay_msg_free(msg);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	rr_from_server(r, 1, RELAY_ACK, 7, 106, 500);
	rr_lookup_known(r, BALANCER, 1, 7, &other, 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_HELD), 1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* Guards against a detour that ends at the agent that is to pass the packet on,
 * after its restart. */
START_TEST(detour_is_passed_on)
{
	relay_rig_t *r = rr_agent(false);
	uint8_t buf[RELAY_PACKET_MAX];
	uint32_t other = OTHER_AGENT;
	relay_msg_t msg;

	relay_msg_init(&msg, RELAY_LOOKUP);
	msg.service = (char *)"feeds";
	msg.balancer = BALANCER;
	msg.packet.data = buf;
	msg.packet.len = rr_packet(buf, 1, RELAY_ACK, 6, 7, 100);
	msg.candidates = &other;
	msg.n_candidates = 1;
	relay_agent_handle_message(r->agent, r->now, BALANCER, &msg);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, OTHER_AGENT, RELAY_LOOKUP),
			  1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* Guards against a reset of a flow that is open at another server: both
 * accepted a copy of the open, and the caller acknowledged the other one. */
START_TEST(unused_copy_is_not_reset)
{
	relay_rig_t *r = rr_agent(true);

	for (unsigned i = 1; i <= 2; i++) {
		rr_offer(r, BALANCER, i, 5, NULL, 0);
		rr_from_server(r, i, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	}
	rr_from_balancer(r, BALANCER, 2, RELAY_ACK, 6, ISN + 1, 0, 0);
	rr_clear(r);
	rr_advance(r, 100);
	for (unsigned i = 10; i < 14; i++) {
		rr_offer(r, BALANCER, i, 5, NULL, 0);
		rr_advance(r, 100);
	}
	rr_advance(r, 600);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_lookup(r, BALANCER, 1, 900000001, NULL, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_NOT_HELD),
			  1);
	rr_free(r);
}
END_TEST

/* Guards against resets of open flows by an agent that did not run for a while:
 * it has not seen that its server was silent meanwhile. A server that stays
 * silent has lost its flows. */
START_TEST(pause_of_agent_is_no_silence)
{
	relay_rig_t *r = rr_agent(true);

	rr_offer(r, BALANCER, 1, 5, NULL, 0);
	rr_from_server(r, 1, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 6, ISN + 1, 100, 0);
	rr_advance(r, 50);
	for (unsigned i = 10; i < 14; i++)
		rr_offer(r, BALANCER, i, 5, NULL, 0);
	if (_i) /* the pause begins when the opens count as unanswered */
		rr_advance(r, 100);
	rr_clear(r);
	r->now += 1300;
	relay_agent_tick(r->agent, r->now);
	rr_advance(r, 400);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_advance(r, 300);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* Opens that the server leaves unanswered until it counts as down. */
static void let_opens_wait(relay_rig_t *r)
{
	for (unsigned i = 10; i < 14; i++) {
		rr_offer(r, BALANCER, i, 5, NULL, 0);
		rr_advance(r, 100);
	}
}

/* Guards against a reset of the flows of a server that gets no processor time:
 * it listens, and keeps its flows, however long it is silent. */
START_TEST(hung_server_keeps_its_flows)
{
	relay_rig_t *r = rr_agent(true);
	uint32_t other = OTHER_AGENT;

	rr_hello(r, BALANCER, 2);
	rr_offer(r, BALANCER, 1, 5, NULL, 0);
	rr_from_server(r, 1, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 6, ISN + 1, 100, 0);
	rr_clear(r);
	r->server_listens = true;
	let_opens_wait(r);
	rr_advance(r, 1500);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_clear(r);
	rr_lookup(r, BALANCER, 1, ISN + 1, &other, 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_HELD), 1);
	/* It crashes. */
	r->server_listens = false;
	rr_advance(r, 300);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* Whether the last load report says that the server accepts connections. */
static bool says_listens(relay_rig_t *r)
{
	relay_msg_t *msg = rr_load_report_after(r, 1000);
	bool listens;

	ck_assert_ptr_nonnull(msg);
	listens = msg->load->listens;
	relay_msg_free(msg);
	return listens;
}

/* Guards against a hung server that balancers take for one that has ended: the
 * agent tells them that it accepts connections, while that is so. */
START_TEST(hung_server_is_reported_to_listen)
{
	relay_rig_t *r = rr_agent(true);

	rr_hello(r, BALANCER, 2);
	rr_offer(r, BALANCER, 1, 5, NULL, 0);
	rr_from_server(r, 1, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 6, ISN + 1, 100, 0);
	r->server_listens = true;
	ck_assert(says_listens(r));
	ck_assert(says_listens(r));
	r->server_listens = false;
	ck_assert(!says_listens(r));
	rr_free(r);
}
END_TEST

/* Guards against a refusal from before the last sign of life: the server that
 * has run since is another one. */
START_TEST(earlier_refusal_proves_nothing)
{
	relay_rig_t *r = rr_agent(true);

	rr_hello(r, BALANCER, 2);
	relay_agent_server_refused(r->agent, r->now);
	rr_advance(r, 100);
	rr_offer(r, BALANCER, 1, 5, NULL, 0);
	rr_from_server(r, 1, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 6, ISN + 1, 100, 0);
	rr_clear(r);
	r->server_listens = true;
	let_opens_wait(r);
	rr_advance(r, 1500);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay_holding");
	TCase *tc = tcase_create("decisions");

	tcase_add_test(tc, unanswered_open_is_not_held);
	tcase_add_test(tc, unanswered_open_after_restart_is_verified);
	tcase_add_test(tc, queued_copy_after_restart_is_verified);
	tcase_add_test(tc, kept_packet_is_no_proof);
	tcase_add_test(tc, returned_flow_is_not_held);
	tcase_add_test(tc, silent_server_is_passed);
	tcase_add_test(tc, chain_tells_who_is_unsure);
	tcase_add_test(tc, look_up_without_trial);
	tcase_add_test(tc, detour_is_passed_on);
	tcase_add_test(tc, unused_copy_is_not_reset);
	tcase_add_loop_test(tc, pause_of_agent_is_no_silence, 0, 2);
	tcase_add_test(tc, hung_server_keeps_its_flows);
	tcase_add_test(tc, hung_server_is_reported_to_listen);
	tcase_add_test(tc, earlier_refusal_proves_nothing);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
