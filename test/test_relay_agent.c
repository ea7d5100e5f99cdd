/*
 * test_relay_agent - opens, flows and load of a relaying agent
 */

#include "relay_rig.h"
#include "runner.h"

#define BALANCER    0x0a010005u
#define OTHER_AGENT 0x0a02000au
#define ISN	    5000u /* of the server in tests */

static void open_flow(relay_rig_t *r, unsigned flow)
{
	rr_offer(r, BALANCER, flow, 5, NULL, 0);
	rr_from_server(r, flow, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
}

/* The first request of a flow, and its answer. */
static void request(relay_rig_t *r, unsigned flow)
{
	rr_from_balancer(r, BALANCER, flow, RELAY_ACK, 6, ISN + 1, 100, 0);
}

static void response(relay_rig_t *r, unsigned flow)
{
	rr_from_server(r, flow, RELAY_ACK, ISN + 1, 106, 500);
}

/* What the agent tells of its load within a span of time. */
static relay_msg_t *load_report_after(relay_rig_t *r, uint64_t ms)
{
	int at;

	rr_clear(r);
	rr_advance(r, ms);
	at = rr_last(r, RIG_MESSAGE, BALANCER, RELAY_LOAD);
	ck_assert_int_ge(at, 0);
	return relay_msg_unpack(r->sent[at].buf, r->sent[at].len);
}

/* An open is delivered; the server's answer goes to the caller, and the
 * balancer hears who took it. */
START_TEST(open_is_taken)
{
	relay_rig_t *r = rr_agent(true);

	open_flow(r, 1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, RIG_CALLER_ADDRESS, 0), 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_TAKEN), 1);
	rr_free(r);
}
END_TEST

/* An open that the server returns goes to the next candidate, or is refused:
 * nothing ran. */
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

/* A silent server: the open goes on, but is not said to be refused. */
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

/* A packet that acknowledges another server's number is not delivered. */
START_TEST(ack_of_other_server_is_given_back)
{
	relay_rig_t *r = rr_agent(true);

	open_flow(r, 1);
	rr_clear(r);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 6, ISN + 0x10000000, 100,
			 0);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_GIVEN_BACK),
			  1);
	request(r, 1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* A packet for another service's target never reaches this one. */
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

/* A server that returns a packet of a flow that it had is a new one. */
START_TEST(restarted_server_resets_its_flows)
{
	relay_rig_t *r = rr_agent(true);

	open_flow(r, 1);
	request(r, 1);
	response(r, 1);
	rr_clear(r);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 106, ISN + 501, 100, 0);
	rr_returned(r, 1, RELAY_ACK, 106, ISN + 501, 100);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, RIG_CALLER_ADDRESS, 0), 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_GIVEN_BACK),
			  0);
	rr_free(r);
}
END_TEST

/* An agent that restarted asks its server, and adopts what it holds. */
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

/* A server that closes an idle flow still answers its caller's next request:
 * the flow is its own until the caller has ended it too. */
START_TEST(half_closed_flow_stays)
{
	relay_rig_t *r = rr_agent(true);

	open_flow(r, 1);
	request(r, 1);
	response(r, 1);
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

/*
 * A server that crashes says nothing. Opens are not answered, which a living
 * one does in milliseconds: its callers are told before their deadlines, so
 * that they can ask elsewhere.
 */
START_TEST(crashed_server_resets_its_flows)
{
	relay_rig_t *r = rr_agent(true);

	open_flow(r, 1);
	request(r, 1);
	response(r, 1);
	open_flow(r, 2);
	rr_clear(r);
	rr_advance(r, 100);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 106, ISN + 501, 100, 0);
	for (unsigned i = 10; i < 14; i++) {
		rr_offer(r, BALANCER, i, 5, NULL, 0);
		rr_advance(r, 100);
	}
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_advance(r, 600);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 2);
	rr_free(r);
}
END_TEST

/*
 * The requests that a crashed server leaves behind look like load: opens must
 * still be tried there, or nobody finds out.
 */
START_TEST(stalled_server_gets_opens)
{
	relay_rig_t *r = rr_agent(true);
	uint32_t other = OTHER_AGENT;

	rr_hello(r, BALANCER, 2);
	for (unsigned i = 0; i < 12; i++) {
		open_flow(r, i);
		request(r, i);
	}
	rr_clear(r);
	rr_advance(r, 400);
	for (unsigned i = 20; i < 24; i++) {
		rr_offer(r, BALANCER, i, 5, &other, 1);
		rr_advance(r, 150);
	}
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, OTHER_AGENT, RELAY_OFFER),
			  4);
	rr_advance(r, 500);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 12);
	rr_free(r);
}
END_TEST

/* A slow server, and one that nobody opens flows at, keeps its flows. */
START_TEST(slow_server_keeps_its_flows)
{
	relay_rig_t *r = rr_agent(true);

	open_flow(r, 1);
	request(r, 1);
	rr_clear(r);
	rr_advance(r, 5000);
	for (unsigned i = 10; i < 20; i++) {
		rr_offer(r, BALANCER, i, 5, NULL, 0);
		rr_advance(r, 50);
		rr_from_server(r, i, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	}
	rr_advance(r, 2000);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 10);
	rr_free(r);
}
END_TEST

/* A server that resets requests instead of answering is told to balancers. */
START_TEST(failing_server_is_reported)
{
	relay_rig_t *r = rr_agent(true);
	relay_msg_t *msg;

	rr_hello(r, BALANCER, 2);
	for (unsigned i = 0; i < 40; i++) {
		open_flow(r, i);
		request(r, i);
		if (i % 2)
			response(r, i);
		else
			rr_from_server(r, i, RELAY_RST, ISN + 1, 106, 0);
	}
	msg = load_report_after(r, 1100);
	ck_assert_uint_ge(msg->load->failed_percent, 30);
	ck_assert_uint_le(msg->load->failed_percent, 70);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/*
 * A server that answers a part of its requests much sooner than the service's
 * servers do is told, and is not taken for a fast one.
 */
START_TEST(too_fast_answers_are_reported)
{
	relay_rig_t *r = rr_agent(true);
	relay_msg_t *msg;

	rr_hello(r, BALANCER, 2);
	for (unsigned i = 0; i < 60; i++) {
		rr_offer_typical(r, BALANCER, i, 5, 50);
		rr_from_server(r, i, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
		request(r, i);
		rr_advance(r, i % 2 ? 50 : 0);
		response(r, i);
	}
	msg = load_report_after(r, 1100);
	ck_assert_uint_ge(msg->load->hasty_percent, 30);
	ck_assert_uint_le(msg->load->hasty_percent, 70);
	ck_assert_uint_eq(msg->load->failed_percent, 0);
	ck_assert_uint_ge(msg->load->service_us, 35000);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* A caller's last acknowledgement is not answered, and a server that has
 * nothing else to do is not quiet for that. */
START_TEST(acknowledgement_needs_no_answer)
{
	relay_rig_t *r = rr_agent(true);
	relay_msg_t *msg;

	rr_hello(r, BALANCER, 2);
	open_flow(r, 1);
	request(r, 1);
	response(r, 1);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 106, ISN + 501, 0, 0);
	msg = load_report_after(r, 2500);
	ck_assert_uint_eq(msg->load->quiet_ms, 0);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* Times of long ago say little: without requests they come back to what is
 * typical of the service, or a server that was slow would get no more opens. */
START_TEST(slow_service_time_decays)
{
	relay_rig_t *r = rr_agent(true);
	relay_msg_t *msg;

	rr_hello(r, BALANCER, 2);
	for (unsigned i = 0; i < 20; i++) {
		rr_offer_typical(r, BALANCER, i, 5, 20);
		rr_from_server(r, i, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
		request(r, i);
		rr_advance(r, 150);
		response(r, i);
	}
	msg = load_report_after(r, 1100);
	ck_assert_uint_ge(msg->load->service_us, 80000);
	relay_msg_free(msg);
	rr_advance(r, 15000);
	rr_hello(r, BALANCER, 2);
	msg = load_report_after(r, 1100);
	ck_assert_uint_le(msg->load->service_us, 30000);
	relay_msg_free(msg);
	/* So is for how long such a server may say nothing. */
	rr_offer_typical(r, BALANCER, 30, 5, 20);
	msg = load_report_after(r, 300);
	ck_assert_uint_gt(msg->load->quiet_ms, 0);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* One that never answers a part of its requests, though it answers others, is
 * told as well. */
START_TEST(unanswered_requests_are_reported)
{
	relay_rig_t *r = rr_agent(true);
	relay_msg_t *msg;
	int at;

	rr_hello(r, BALANCER, 2);
	for (unsigned i = 0; i < 40; i++) {
		open_flow(r, i);
		request(r, i);
		rr_advance(r, 25);
		if (i % 2)
			response(r, i);
	}
	rr_clear(r);
	for (unsigned i = 0; i < 15; i++) {
		open_flow(r, 50);
		rr_advance(r, 150);
	}
	at = rr_last(r, RIG_MESSAGE, BALANCER, RELAY_LOAD);
	ck_assert_int_ge(at, 0);
	msg = relay_msg_unpack(r->sent[at].buf, r->sent[at].len);
	ck_assert_uint_ge(msg->load->failed_percent, 30);
	ck_assert_uint_eq(msg->load->in_flight, 0);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* A look-up goes along the agents: one that knows all its flows passes it on,
 * one that restarted has its server try the packet first. */
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
	open_flow(r, 1);
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
 * An agent that restarted beside a server that is gone: a packet that does not
 * come back is no sign that the server holds it, and look-ups go on.
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

/* Beside a living one what did not come back is held. */
START_TEST(kept_packet_is_held)
{
	relay_rig_t *r = rr_agent(false);

	rr_lookup(r, BALANCER, 1, 7, NULL, 0);
	rr_advance(r, 20);
	rr_returned(r, 9, RELAY_ACK, 6, 7, 100);
	rr_advance(r, 60);
	rr_flow_message(r, BALANCER, RELAY_QUERY, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_HELD), 1);
	rr_free(r);
}
END_TEST

/*
 * After a mass restart all opens come to the first agent that is back. It has
 * seen no request yet and no balancer has greeted it: it must still not take
 * more than it can answer in time.
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
		request(r, i);
	}
	ck_assert_uint_ge(rr_count(r, RIG_MESSAGE, OTHER_AGENT, RELAY_OFFER),
			  80);
	rr_free(r);
}
END_TEST

/* Requests in flight are told to the balancers. */
START_TEST(load_is_reported)
{
	relay_rig_t *r = rr_agent(true);
	relay_msg_t *msg;

	rr_hello(r, BALANCER, 2);
	for (unsigned i = 0; i < 4; i++) {
		open_flow(r, i);
		request(r, i);
	}
	msg = load_report_after(r, 1100);
	ck_assert_uint_eq(msg->load->in_flight, 4);
	ck_assert_uint_eq(msg->load->flows, 4);
	ck_assert_uint_gt(msg->load->work_hundredths, 100);
	relay_msg_free(msg);
	response(r, 0);
	ck_assert_uint_eq(relay_agent_in_flight(r->agent), 3);
	rr_free(r);
}
END_TEST

/* However many balancers there are, and however the load changes, an agent's
 * reports of it and its answers to 15 hellos a second stay under 2,400 bytes a
 * second, heads of UDP included: 600 of 3,000 are for answers to opens. */
START_TEST(load_reports_stay_within_budget)
{
	static const unsigned seconds = 10, budget = 2400, header_bytes = 28;
	relay_rig_t *r = rr_agent(true);
	size_t bytes = 0;

	for (unsigned flow = 0; flow < 8; flow++)
		open_flow(r, flow);
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

/* A request whose caller and server fell silent is no load for long. */
START_TEST(idle_request_is_not_counted)
{
	relay_rig_t *r = rr_agent(true);

	open_flow(r, 1);
	request(r, 1);
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
	tcase_add_test(tc, restarted_server_resets_its_flows);
	tcase_add_test(tc, restarted_agent_adopts_flows);
	tcase_add_test(tc, half_closed_flow_stays);
	tcase_add_test(tc, crashed_server_resets_its_flows);
	tcase_add_test(tc, stalled_server_gets_opens);
	tcase_add_test(tc, slow_server_keeps_its_flows);
	tcase_add_test(tc, failing_server_is_reported);
	tcase_add_test(tc, too_fast_answers_are_reported);
	tcase_add_test(tc, slow_service_time_decays);
	tcase_add_test(tc, acknowledgement_needs_no_answer);
	tcase_add_test(tc, unanswered_requests_are_reported);
	tcase_add_test(tc, lookup_is_forwarded);
	tcase_add_test(tc, dead_server_holds_nothing);
	tcase_add_test(tc, kept_packet_is_held);
	tcase_add_test(tc, first_restarted_agent_limits_opens);
	tcase_add_test(tc, load_is_reported);
	tcase_add_test(tc, load_reports_stay_within_budget);
	tcase_add_test(tc, idle_request_is_not_counted);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
