/*
 * test_relay_repeats - packets that come again take no flow back
 *
 * A repeated or late packet shows a state of the flow that is over: neither the
 * agent nor the balancer may act as if the flow were there again.
 */

#include "relay_rig.h"
#include "runner.h"

#define BALANCER    0x0a010005u
#define WOKEN	    0x0a010006u /* a balancer that did not run for a while */
#define OTHER_AGENT 0x0a02000au
#define AGENT_A	    0x0a020001u
#define AGENT_B	    0x0a020002u
#define ISN	    5000u /* initial sequence number of the server */
#define PART	    1200u
/* Bytes of a download, more than a caller may acknowledge unseen. */
#define LENGTH	  (200u * PART)
#define UNIX_AT_0 1700000000000ull
/* Time that a late copy has waited in the socket of a balancer. */
#define WAITED_MS 700

/* Lets the server send a download that the caller acknowledges. */
static void download(relay_rig_t *r)
{
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 6, ISN + 1, 100, 0);
	for (uint32_t at = 0; at < LENGTH; at += PART) {
		rr_from_server(r, 1, RELAY_ACK, ISN + 1 + at, 106, PART);
		rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 106,
				 ISN + 1 + at + PART, 0, 0);
	}
}

/* Offers a copy of the open that waited in the socket of a balancer. */
static void offer_late_copy(relay_rig_t *r, const uint32_t *further, size_t n)
{
	r->wait_ms = WAITED_MS;
	rr_offer(r, WOKEN, 1, 5, further, n);
	r->wait_ms = 0;
}

/* Passes the next acknowledgement of the download, and checks that the agent
 * lets the server have it and denies the flow to nobody. */
static void check_served(relay_rig_t *r)
{
	rr_clear(r);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 106, ISN + 1 + LENGTH, 0,
			 0);
	rr_lookup(r, BALANCER, 1, ISN + 1 + LENGTH, NULL, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_GIVEN_BACK),
			  0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_NOT_HELD),
			  0);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 2);
}

/* Guards against a running download that an agent disowns, since its server has
 * repeated its SYN-ACK: by itself (0), or for a copy of the open that another
 * balancer offers (1) or passes on (2). */
START_TEST(repeated_syn_ack_keeps_a_running_flow)
{
	relay_rig_t *r = rr_agent(true);

	rr_offer(r, BALANCER, 1, 5, NULL, 0);
	rr_from_server(r, 1, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	download(r);
	if (_i == 1)
		offer_late_copy(r, NULL, 0);
	if (_i == 2)
		rr_from_balancer(r, WOKEN, 1, RELAY_SYN, 5, 0, 0, 0);
	rr_from_server(r, 1, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	check_served(r);
	rr_free(r);
}
END_TEST

/* Guards against the same at an agent that has restarted: it knows the flow by
 * its server's packets (0), by a packet that the server tries (1), or by the
 * copy of the open alone (2). */
START_TEST(repeated_syn_ack_keeps_an_adopted_flow)
{
	relay_rig_t *r = rr_agent(false);

	rr_advance(r, 100);
	if (_i == 0)
		rr_from_server(r, 1, RELAY_ACK, ISN + 1 + LENGTH - PART, 106,
			       PART);
	if (_i == 1)
		rr_lookup(r, BALANCER, 1, ISN + 1 + LENGTH, NULL, 0);
	offer_late_copy(r, NULL, 0);
	rr_from_server(r, 1, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	check_served(r);
	rr_free(r);
}
END_TEST

/* Guards against the opposite: an agent that has seen the whole flow knows that
 * an acknowledgement far beyond it is of another server's flow. */
START_TEST(other_servers_numbers_are_not_held)
{
	relay_rig_t *r = rr_agent(_i == 0);

	rr_advance(r, 1000);
	rr_offer(r, BALANCER, 1, 5, NULL, 0);
	rr_from_server(r, 1, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	rr_from_server(r, 1, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 6, ISN + 900000, 100, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_GIVEN_BACK),
			  1);
	/* A server that has started again uses other numbers. */
	rr_from_server(r, 1, RELAY_SYN | RELAY_ACK, ISN + 900000, 6, 0);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 6, ISN + 1, 100, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_GIVEN_BACK),
			  2);
	rr_free(r);
}
END_TEST

/* Guards against a late copy that opens an ended flow again, at the server or,
 * since that does not answer, at the next one: the server gets nothing, and no
 * other agent is offered the open. */
START_TEST(late_copy_opens_no_ended_flow)
{
	relay_rig_t *r = rr_agent(true);
	uint32_t other = OTHER_AGENT;

	rr_offer(r, BALANCER, 1, 5, NULL, 0);
	rr_from_server(r, 1, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 6, ISN + 1, 100, 0);
	rr_from_server(r, 1, RELAY_ACK | RELAY_FIN, ISN + 1, 106, 500);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK | RELAY_FIN, 106, ISN + 502,
			 0, 0);
	rr_clear(r);
	offer_late_copy(r, &other, 1);
	rr_from_balancer(r, WOKEN, 1, RELAY_SYN, 5, 0, 0, 0);
	rr_advance(r, 500);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, OTHER_AGENT, RELAY_OFFER),
			  0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, WOKEN, RELAY_TAKEN), 1);
	rr_free(r);
}
END_TEST

/* Guards against a repeated packet of an answer that is taken for the answer to
 * the next request: the server would seem free, and far too fast. */
START_TEST(repeated_data_answers_no_request)
{
	relay_rig_t *r = rr_agent(_i == 0);

	if (_i == 0)
		rr_open_flow(r, 1);
	rr_request(r, 1);
	rr_from_server(r, 1, RELAY_ACK, RIG_FLOW_ISN + 1, 106, 500);
	rr_from_balancer(r, RIG_FLOW_BALANCER, 1, RELAY_ACK, 106,
			 RIG_FLOW_ISN + 501, 100, 0);
	ck_assert_uint_eq(relay_agent_in_flight(r->agent), 1);
	rr_from_server(r, 1, RELAY_ACK, RIG_FLOW_ISN + 1, 106, 500);
	ck_assert_uint_eq(relay_agent_in_flight(r->agent), 1);
	rr_from_server(r, 1, RELAY_ACK, RIG_FLOW_ISN + 501, 206, 500);
	ck_assert_uint_eq(relay_agent_in_flight(r->agent), 0);
	rr_free(r);
}
END_TEST

/* Sequence number of the last packet to a caller. */
static uint32_t reset_seq(const relay_rig_t *r)
{
	int at = rr_last(r, RIG_CALLER, 0, 0);
	const uint8_t *seq = r->sent[at].buf + 2;

	ck_assert_int_ge(at, 0);
	return (uint32_t)seq[0] << 24 | (uint32_t)seq[1] << 16 |
	       (uint32_t)seq[2] << 8 | seq[3];
}

/* Guards against a reset that its caller ignores, since a packet that came late
 * acknowledged much less than the caller has received: the agent's. */
START_TEST(agents_reset_has_the_highest_acknowledgement)
{
	relay_rig_t *r = rr_agent(true);

	rr_offer(r, BALANCER, 1, 5, NULL, 0);
	rr_from_server(r, 1, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	download(r);
	rr_from_balancer(r, WOKEN, 1, RELAY_ACK, 6, ISN + 1, 100, 0);
	rr_clear(r);
	rr_returned(r, 1, RELAY_ACK, 106, ISN + 1 + LENGTH, 0);
	ck_assert_uint_eq(reset_seq(r), ISN + 1 + LENGTH);
	rr_free(r);
}
END_TEST

static relay_rig_t *two_agents(void)
{
	relay_rig_t *r = rr_balancer();

	r->unix_at_0 = UNIX_AT_0;
	rr_routes(r, 1);
	rr_entry_started(r, "a", AGENT_A, 2, ENTRY_READY, UNIX_AT_0);
	rr_entry_started(r, "b", AGENT_B, 3, ENTRY_READY, UNIX_AT_0);
	rr_advance(r, 1000);
	rr_clear(r);
	return r;
}

static void open_at_a(relay_rig_t *r)
{
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 1, "feeds");
	rr_from_caller(r, 1, RELAY_ACK, 6, RIG_SERVER_ISN + 1, 100);
}

/* Another server takes the place of the one that holds the flow. */
static void replace_a(relay_rig_t *r)
{
	rr_advance(r, 1000);
	rr_clear(r);
	rr_entry_started(r, "n", AGENT_A, 9, ENTRY_READY, UNIX_AT_0 + r->now);
}

/* The same as agents_reset_has_the_highest_acknowledgement: the balancer's. */
START_TEST(balancers_reset_has_the_highest_acknowledgement)
{
	relay_rig_t *r = two_agents();

	open_at_a(r);
	rr_from_caller(r, 1, RELAY_ACK, 106, RIG_SERVER_ISN + LENGTH, 0);
	rr_from_caller(r, 1, RELAY_ACK, 6, RIG_SERVER_ISN + 1, 100);
	replace_a(r);
	ck_assert_uint_eq(reset_seq(r), RIG_SERVER_ISN + LENGTH);
	rr_free(r);
}
END_TEST

/* Guards against a first acknowledgement that is forgotten when the agent says
 * again that its server took the open, for a late copy: a caller of a lost
 * server would not be told. */
START_TEST(second_taken_keeps_the_first_acknowledgement)
{
	relay_rig_t *r = two_agents();

	open_at_a(r);
	rr_from_caller(r, 1, RELAY_ACK, 106, RIG_SERVER_ISN + LENGTH, 0);
	rr_from_caller(r, 1, RELAY_SYN, 5, 1, 0);
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 1, "feeds");
	replace_a(r);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* Guards against a flow that its caller has closed and a second "taken" opens
 * again: the caller would be reset. */
START_TEST(second_taken_opens_no_closed_flow)
{
	relay_rig_t *r = two_agents();

	open_at_a(r);
	rr_from_caller(r, 1, RELAY_ACK | RELAY_FIN, 106, RIG_SERVER_ISN + 501,
		       0);
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 1, "feeds");
	replace_a(r);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

static size_t offers(const relay_rig_t *r)
{
	return rr_count(r, RIG_MESSAGE, 0, RELAY_OFFER);
}

/* Guards against a holder that a balancer forgets because of a late copy of the
 * open: it knows the flow by a look-up, and the copy waited in its socket (0)
 * or is a later one (1). The copy goes to the holder, whose server answers it.
 */
START_TEST(late_copy_goes_to_the_holder)
{
	relay_rig_t *r = two_agents();

	rr_from_caller(r, 1, RELAY_ACK, 106, RIG_SERVER_ISN + LENGTH, 100);
	rr_flow_message(r, AGENT_A, RELAY_HELD, 1, "feeds");
	rr_advance(r, 100);
	rr_clear(r);
	r->wait_ms = _i ? 0 : WAITED_MS;
	rr_from_caller(r, 1, RELAY_SYN, 5, _i ? 1 : 0, 0);
	ck_assert_uint_eq(offers(r), 0);
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, AGENT_A, 0), 1);
	r->wait_ms = 0;
	rr_from_caller(r, 1, RELAY_ACK, 106, RIG_SERVER_ISN + LENGTH, 100);
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, AGENT_A, 0), 2);
	rr_free(r);
}
END_TEST

/* Guards against a look-up that a late copy of the open ends, with the packets
 * that wait for it. */
START_TEST(late_copy_ends_no_lookup)
{
	relay_rig_t *r = two_agents();

	rr_from_caller(r, 1, RELAY_ACK, 106, RIG_SERVER_ISN + LENGTH, 100);
	rr_from_caller(r, 1, RELAY_ACK, 206, RIG_SERVER_ISN + LENGTH, 100);
	rr_advance(r, 20);
	r->wait_ms = WAITED_MS;
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(offers(r), 0);
	rr_clear(r);
	rr_flow_message(r, AGENT_A, RELAY_HELD, 1, "feeds");
	ck_assert_uint_ge(rr_count(r, RIG_AGENT, AGENT_A, 0), 1);
	rr_free(r);
}
END_TEST

/* Guards against the opposite: an open on a port that is used again is a new
 * one. */
START_TEST(open_after_a_known_flow_is_new)
{
	relay_rig_t *r = two_agents();

	rr_from_caller(r, 1, RELAY_ACK, 106, RIG_SERVER_ISN + LENGTH, 100);
	rr_flow_message(r, AGENT_A, RELAY_HELD, 1, "feeds");
	rr_advance(r, 1000);
	rr_from_caller(r, 1, RELAY_SYN, 77, _i, 0);
	ck_assert_uint_eq(offers(r), 1);
	rr_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay_repeats");
	TCase *agent = tcase_create("agent");
	TCase *balancer = tcase_create("balancer");

	tcase_add_loop_test(agent, repeated_syn_ack_keeps_a_running_flow, 0, 3);
	tcase_add_loop_test(agent, repeated_syn_ack_keeps_an_adopted_flow, 0,
			    3);
	tcase_add_loop_test(agent, other_servers_numbers_are_not_held, 0, 2);
	tcase_add_test(agent, late_copy_opens_no_ended_flow);
	tcase_add_loop_test(agent, repeated_data_answers_no_request, 0, 2);
	tcase_add_test(agent, agents_reset_has_the_highest_acknowledgement);
	suite_add_tcase(s, agent);
	tcase_add_test(balancer,
		       balancers_reset_has_the_highest_acknowledgement);
	tcase_add_test(balancer, second_taken_keeps_the_first_acknowledgement);
	tcase_add_test(balancer, second_taken_opens_no_closed_flow);
	tcase_add_loop_test(balancer, late_copy_goes_to_the_holder, 0, 2);
	tcase_add_test(balancer, late_copy_ends_no_lookup);
	tcase_add_loop_test(balancer, open_after_a_known_flow_is_new, 0, 3);
	suite_add_tcase(s, balancer);
	return run_suite(s);
}
