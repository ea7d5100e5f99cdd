/*
 * test_relay_agent - opens, flows and load reports of an agent that relays
 * packets
 */

#include "relay_rig.h"
#include "runner.h"

#define BALANCER    RIG_FLOW_BALANCER
#define OTHER_AGENT 0x0a02000au
#define ISN	    RIG_FLOW_ISN

/* An open is delivered. The server's answer goes to the caller, and the
 * balancer learns that the open was accepted. */
START_TEST(open_is_taken)
{
	relay_rig_t *r = rr_agent(true);

	rr_open_flow(r, 1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, RIG_CALLER_ADDRESS, 0), 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_TAKEN), 1);
	rr_free(r);
}
END_TEST

/* An open that the server returns was not accepted: it goes to the next
 * candidate, or is refused when there is none. */
START_TEST(returned_open_is_forwarded)
{
	relay_rig_t *r = rr_agent(true);
	uint32_t other = OTHER_AGENT;

	rr_offer(r, BALANCER, 1, 5, &other, 1);
	rr_returned(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, OTHER_AGENT, RELAY_OFFER),
			  1);
	rr_offer(r, BALANCER, 2, 5, NULL, 0);
	rr_returned(r, 2, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_REFUSED), 1);
	rr_free(r);
}
END_TEST

/* An open that the server does not answer goes to the next candidate. Without
 * one it is not refused, since the server may still accept it. */
START_TEST(unanswered_open_is_forwarded)
{
	relay_rig_t *r = rr_agent(true);
	uint32_t other = OTHER_AGENT;

	rr_offer(r, BALANCER, 1, 5, &other, 1);
	rr_offer(r, BALANCER, 2, 5, NULL, 0);
	rr_advance(r, 200);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, OTHER_AGENT, RELAY_OFFER),
			  1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_REFUSED), 0);
	rr_free(r);
}
END_TEST

/* A packet that acknowledges another server's sequence numbers belongs to a
 * copy of the flow at that server: it goes back to the balancer. */
START_TEST(ack_of_other_server_is_given_back)
{
	relay_rig_t *r = rr_agent(true);

	rr_open_flow(r, 1);
	rr_clear(r);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 6, ISN + 0x10000000, 100,
			 0);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_GIVEN_BACK),
			  1);
	rr_request(r, 1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* A packet with the tag of another service is not delivered: the address
 * belonged to a target of that service before. */
START_TEST(other_service_is_given_back)
{
	relay_rig_t *r = rr_agent(false);
	uint8_t buf[RELAY_PACKET_MAX];
	size_t len = rr_packet(buf, 1, RELAY_ACK, 6, 7, 100);

	relay_agent_handle_packet(r->agent, r->now, BALANCER, buf, len);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_GIVEN_BACK),
			  1);
	rr_free(r);
}
END_TEST

/* A restarted agent knows no flows. It has its server verify marked packets,
 * and tracks the flows that the server holds. */
START_TEST(restarted_agent_adopts_flows)
{
	relay_rig_t *r = rr_agent(false);

	rr_flow_message(r, BALANCER, RELAY_QUERY, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_UNSURE), 1);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 6, 7, 100,
			 RELAY_MARK_VERIFY);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	rr_from_server(r, 1, RELAY_ACK, 7, 106, 500);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_HELD), 1);
	rr_from_balancer(r, BALANCER, 2, RELAY_ACK, 6, 7, 100,
			 RELAY_MARK_VERIFY);
	rr_returned(r, 2, RELAY_ACK, 6, 7, 100);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_GIVEN_BACK),
			  1);
	rr_free(r);
}
END_TEST

/* A server that closes an idle flow still answers the caller's next request.
 * The agent keeps the flow until the caller has closed it too. */
START_TEST(half_closed_flow_stays)
{
	relay_rig_t *r = rr_agent(true);

	rr_open_flow(r, 1);
	rr_request(r, 1);
	rr_response(r, 1);
	rr_advance(r, 12000);
	rr_from_server(r, 1, RELAY_ACK | RELAY_FIN, ISN + 501, 106, 0);
	rr_advance(r, 10000);
	rr_clear(r);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 106, ISN + 502, 100, 0);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK | RELAY_FIN, 206, ISN + 502,
			 0, 0);
	rr_advance(r, 10000);
	rr_clear(r);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 206, ISN + 502, 100, 0);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* A server's answer to an open from before the start of the agent: the balancer
 * that offered it is not known, and nobody can be told. */
START_TEST(open_from_before_the_start)
{
	relay_rig_t *r = rr_agent(false);

	rr_from_server(r, 1, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	for (size_t i = 0; i < r->nsent; i++)
		ck_assert_int_eq(r->sent[i].to, RIG_CALLER);
	ck_assert_uint_eq(r->nsent, 1);
	rr_free(r);
}
END_TEST

/* An agent that knows all flows of its server forwards a look-up of an unknown
 * flow. A restarted agent has its server verify the packet first. */
START_TEST(lookup_is_forwarded)
{
	relay_rig_t *r = rr_agent(true);
	uint32_t other = OTHER_AGENT;

	rr_lookup(r, BALANCER, 1, 7, &other, 1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, OTHER_AGENT, RELAY_LOOKUP),
			  1);
	rr_lookup(r, BALANCER, 1, 7, NULL, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_NOT_HELD),
			  1);
	rr_open_flow(r, 1);
	rr_lookup(r, BALANCER, 1, ISN + 1, &other, 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_HELD), 1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 2);
	rr_free(r);
	r = rr_agent(false);
	rr_lookup(r, BALANCER, 1, 7, &other, 1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, OTHER_AGENT, RELAY_LOOKUP),
			  0);
	rr_returned(r, 1, RELAY_ACK, 6, 7, 100);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, OTHER_AGENT, RELAY_LOOKUP),
			  1);
	rr_lookup(r, BALANCER, 2, 7, &other, 1);
	rr_from_server(r, 2, RELAY_ACK, 7, 106, 500);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_HELD), 1);
	rr_free(r);
}
END_TEST

/*
 * A packet that a dead server does not return proves nothing: a restarted agent
 * beside such a server does not claim the flow and forwards look-ups.
 */
START_TEST(dead_server_holds_nothing)
{
	relay_rig_t *r = rr_agent(false);
	uint32_t other = OTHER_AGENT;

	rr_lookup(r, BALANCER, 1, 7, &other, 1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	rr_advance(r, 600);
	rr_flow_message(r, BALANCER, RELAY_QUERY, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_HELD), 0);
	rr_lookup(r, BALANCER, 2, 7, &other, 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, OTHER_AGENT, RELAY_LOOKUP),
			  1);
	rr_free(r);
}
END_TEST

/*
 * After a restart of many hosts all opens arrive at the first agent that is up.
 * It knows neither the slots nor the service time of its server, and must not
 * accept more opens than the server can answer in time.
 */
START_TEST(first_restarted_agent_limits_opens)
{
	relay_rig_t *r = rr_agent(false);
	uint32_t other = OTHER_AGENT;

	for (unsigned i = 0; i < 100; i++) {
		rr_offer(r, BALANCER, i, 5, &other, 1);
		if (rr_count(r, RIG_SERVER, 0, 0) == 0)
			continue;
		rr_from_server(r, i, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
		rr_request(r, i);
	}
	ck_assert_uint_ge(rr_count(r, RIG_MESSAGE, OTHER_AGENT, RELAY_OFFER),
			  80);
	rr_free(r);
}
END_TEST

/* Gives the server as many requests as it can answer within 100 ms. */
#define BUSY_REQUESTS 10

static relay_rig_t *busy_agent(void)
{
	relay_rig_t *r = rr_agent(true);

	rr_hello(r, BALANCER, 2);
	for (unsigned i = 0; i < BUSY_REQUESTS; i++) {
		rr_offer(r, BALANCER, i, 5, NULL, 0);
		rr_from_server(r, i, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
		rr_request(r, i);
	}
	rr_clear(r);
	return r;
}

/* An open that no agent accepts at once waits; it is delivered when a slot is
 * free, once, although the balancer offers it twice. */
START_TEST(queued_open_gets_free_slot)
{
	relay_rig_t *r = busy_agent();

	rr_offer_queue(r, BALANCER, 50, 5, 1300);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_QUEUED), 1);
	rr_offer_queue(r, BALANCER, 50, 5, 1300);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_QUEUED), 2);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	for (unsigned i = 0; i < BUSY_REQUESTS; i++)
		rr_from_server(r, i, RELAY_ACK, ISN + 1, 106, 50);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	rr_from_server(r, 50, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_TAKEN), 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_REFUSED), 0);
	rr_free(r);
}
END_TEST

/* An open that waits in vain, or whose agent stops, is refused; nothing of it
 * was delivered. */
START_TEST(queued_open_is_refused_undelivered)
{
	relay_rig_t *r = busy_agent();

	rr_offer_queue(r, BALANCER, 50, 5, 300);
	if (_i)
		relay_agent_stop(r->agent, r->now);
	else
		rr_advance(r, 350);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_REFUSED), 1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	rr_advance(r, 1000);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* The balancer repeats its offer while the refusal is under way. The refusal
 * stays true although a slot is free now. */
START_TEST(refused_open_stays_refused)
{
	relay_rig_t *r = busy_agent();

	rr_offer_queue(r, BALANCER, 50, 5, 300);
	rr_advance(r, 350);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_REFUSED), 1);
	for (unsigned i = 0; i < BUSY_REQUESTS; i++)
		rr_response(r, i);
	rr_clear(r);
	rr_offer_queue(r, BALANCER, 50, 5, 300);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_REFUSED), 1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	/* A new open from the same port. */
	rr_offer_queue(r, BALANCER, 50, 7, 300);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* A copy of an open that was delivered and not answered yet is delivered again:
 * the server may accept it, so that a refusal would be untrue. */
START_TEST(delivered_open_is_not_refused)
{
	relay_rig_t *r = busy_agent();

	for (unsigned i = 0; i < BUSY_REQUESTS; i++)
		rr_from_server(r, i, RELAY_ACK, ISN + 1, 106, 50);
	rr_offer(r, BALANCER, 50, 5, NULL, 0);
	for (unsigned i = 0; i < BUSY_REQUESTS; i++)
		rr_request(r, i);
	rr_clear(r);
	rr_offer_queue(r, BALANCER, 50, 5, 300);
	rr_offer(r, BALANCER, 50, 5, NULL, 0);
	rr_advance(r, 400);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_REFUSED), 0);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 2);
	rr_free(r);
}
END_TEST

/* Each balancer that said hello gets a load report, however many there are. */
START_TEST(reports_reach_all_balancers)
{
	relay_rig_t *r = rr_agent(true);

	for (uint32_t i = 0; i < 300; i++)
		rr_hello(r, BALANCER + i, 2);
	rr_clear(r);
	relay_agent_stop(r->agent, r->now);
	for (uint32_t i = 0; i < 300; i++)
		ck_assert_int_ge(
			rr_last(r, RIG_MESSAGE, BALANCER + i, RELAY_LOAD), 0);
	rr_free(r);
}
END_TEST

/* The server holds no flow whose open waits. */
START_TEST(queued_open_is_not_held)
{
	relay_rig_t *r = busy_agent();

	rr_offer_queue(r, BALANCER, 50, 5, 1300);
	rr_flow_message(r, BALANCER, RELAY_QUERY, 50, "feeds");
	ck_assert_int_ge(rr_last(r, RIG_MESSAGE, BALANCER, RELAY_NOT_HELD), 0);
	rr_lookup(r, BALANCER, 50, 7, NULL, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_HELD), 0);
	rr_from_balancer(r, BALANCER, 50, RELAY_ACK, 6, 7, 10, 0);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* A load report has the requests in flight and the active flows. */
START_TEST(load_is_reported)
{
	relay_rig_t *r = rr_agent(true);
	relay_msg_t *msg;

	rr_hello(r, BALANCER, 2);
	for (unsigned i = 0; i < 4; i++) {
		rr_open_flow(r, i);
		rr_request(r, i);
	}
	msg = rr_load_report_after(r, 1100);
	ck_assert_uint_eq(msg->load->in_flight, 4);
	ck_assert_uint_eq(msg->load->flows, 4);
	ck_assert_uint_gt(msg->load->work_hundredths, 100);
	relay_msg_free(msg);
	rr_response(r, 0);
	ck_assert_uint_eq(relay_agent_in_flight(r->agent), 3);
	rr_free(r);
}
END_TEST

/* However many balancers there are and however fast the load changes, load
 * reports and the answers to 15 hellos a second stay under 2,400 bytes a second
 * with IP and UDP headers: of the 3,000 an agent may send, 600 are for answers
 * to opens. */
START_TEST(load_reports_stay_within_budget)
{
	static const unsigned seconds = 10, budget = 2400, header_bytes = 28;
	relay_rig_t *r = rr_agent(true);
	size_t bytes = 0;

	for (unsigned flow = 0; flow < 8; flow++)
		rr_open_flow(r, flow);
	for (unsigned ms = 0; ms < seconds * 1000; ms += 200) {
		rr_clear(r);
		for (uint32_t i = 0; ms % 4000 == 0 && i < 60; i++)
			rr_hello(r, BALANCER + i, 2);
		for (unsigned flow = 0; flow < 8; flow++)
			rr_from_balancer(r, BALANCER, flow, RELAY_ACK, 6 + ms,
					 ISN + 1 + ms, 100, 0);
		rr_advance(r, 100);
		for (unsigned flow = 0; flow < 8; flow++)
			rr_from_server(r, flow, RELAY_ACK, ISN + 1 + ms,
				       106 + ms, 500);
		rr_advance(r, 100);
		for (size_t i = 0; i < r->nsent; i++)
			if (r->sent[i].to == RIG_MESSAGE)
				bytes += r->sent[i].len + header_bytes;
	}
	ck_assert_uint_gt(bytes, 0);
	ck_assert_uint_le(bytes / seconds, budget);
	rr_free(r);
}
END_TEST

/* A request no longer counts as load when its caller and server have been
 * silent for some seconds. */
START_TEST(idle_request_is_not_counted)
{
	relay_rig_t *r = rr_agent(true);

	rr_open_flow(r, 1);
	rr_request(r, 1);
	ck_assert_uint_eq(relay_agent_in_flight(r->agent), 1);
	rr_advance(r, 4000);
	ck_assert_uint_eq(relay_agent_in_flight(r->agent), 0);
	rr_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay_agent");
	TCase *tc = tcase_create("decisions");

	tcase_add_test(tc, open_is_taken);
	tcase_add_test(tc, returned_open_is_forwarded);
	tcase_add_test(tc, unanswered_open_is_forwarded);
	tcase_add_test(tc, ack_of_other_server_is_given_back);
	tcase_add_test(tc, other_service_is_given_back);
	tcase_add_test(tc, restarted_agent_adopts_flows);
	tcase_add_test(tc, half_closed_flow_stays);
	tcase_add_test(tc, open_from_before_the_start);
	tcase_add_test(tc, lookup_is_forwarded);
	tcase_add_test(tc, dead_server_holds_nothing);
	tcase_add_test(tc, first_restarted_agent_limits_opens);
	tcase_add_test(tc, queued_open_gets_free_slot);
	tcase_add_loop_test(tc, queued_open_is_refused_undelivered, 0, 2);
	tcase_add_test(tc, refused_open_stays_refused);
	tcase_add_test(tc, delivered_open_is_not_refused);
	tcase_add_test(tc, reports_reach_all_balancers);
	tcase_add_test(tc, queued_open_is_not_held);
	tcase_add_test(tc, load_is_reported);
	tcase_add_test(tc, load_reports_stay_within_budget);
	tcase_add_test(tc, idle_request_is_not_counted);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
