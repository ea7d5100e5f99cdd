/*
 * test_relay_server - what an agent finds out about its server
 */

#include "relay_rig.h"
#include "runner.h"

#define BALANCER    RIG_FLOW_BALANCER
#define OTHER_AGENT 0x0a02000au
#define ISN	    RIG_FLOW_ISN

/* A server that returns a packet of a flow that it held has restarted: the
 * caller gets a reset, and the packet does not go back to the balancer. */
START_TEST(flows_of_restarted_server_are_reset)
{
	relay_rig_t *r = rr_agent(true);

	rr_open_flow(r, 1);
	rr_request(r, 1);
	rr_response(r, 1);
	rr_clear(r);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 106, ISN + 501, 100, 0);
	rr_returned(r, 1, RELAY_ACK, 106, ISN + 501, 100);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, RIG_CALLER_ADDRESS, 0), 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_GIVEN_BACK),
			  0);
	rr_free(r);
}
END_TEST

/*
 * A crashed server sends nothing, while a running one answers opens within
 * milliseconds. After several unanswered opens the callers get resets before
 * their deadlines, so that they can retry elsewhere.
 */
START_TEST(flows_of_crashed_server_are_reset)
{
	relay_rig_t *r = rr_agent(true);

	rr_open_flow(r, 1);
	rr_request(r, 1);
	rr_response(r, 1);
	rr_open_flow(r, 2);
	rr_from_balancer(r, BALANCER, 2, RELAY_ACK, 6, ISN + 1, 0, 0);
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
 * The unanswered requests of a crashed server count as load. Opens must still
 * be delivered to it one at a time, or the agent never finds out that it
 * crashed.
 */
START_TEST(stalled_server_gets_opens)
{
	relay_rig_t *r = rr_agent(true);
	uint32_t other = OTHER_AGENT;

	rr_hello(r, BALANCER, 2);
	for (unsigned i = 0; i < 12; i++) {
		rr_open_flow(r, i);
		rr_request(r, i);
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

/* A slow server keeps its flows, also while it gets no opens. */
START_TEST(slow_server_keeps_its_flows)
{
	relay_rig_t *r = rr_agent(true);

	rr_open_flow(r, 1);
	rr_request(r, 1);
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

/* The ratio of requests that the server resets is in the load report. */
START_TEST(failing_server_is_reported)
{
	relay_rig_t *r = rr_agent(true);
	relay_msg_t *msg;

	rr_hello(r, BALANCER, 2);
	for (unsigned i = 0; i < 40; i++) {
		rr_open_flow(r, i);
		rr_request(r, i);
		if (i % 2)
			rr_response(r, i);
		else
			rr_from_server(r, i, RELAY_RST, ISN + 1, 106, 0);
	}
	msg = rr_load_report_after(r, 1100);
	ck_assert_uint_ge(msg->load->failed_percent, 30);
	ck_assert_uint_le(msg->load->failed_percent, 70);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/*
 * A server that fails answers some requests much faster than is typical of the
 * service. The ratio is in the load report, and these answers hardly lower the
 * service time.
 */
START_TEST(too_fast_answers_are_reported)
{
	relay_rig_t *r = rr_agent(true);
	relay_msg_t *msg;

	rr_hello(r, BALANCER, 2);
	for (unsigned i = 0; i < 60; i++) {
		rr_offer_typical(r, BALANCER, i, 5, 50);
		rr_from_server(r, i, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
		rr_request(r, i);
		rr_advance(r, i % 2 ? 50 : 0);
		rr_response(r, i);
	}
	msg = rr_load_report_after(r, 1100);
	ck_assert_uint_ge(msg->load->too_fast_percent, 30);
	ck_assert_uint_le(msg->load->too_fast_percent, 70);
	ck_assert_uint_eq(msg->load->failed_percent, 0);
	ck_assert_uint_ge(msg->load->service_us, 35000);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* A bare acknowledgement gets no answer: a server with nothing else to do is
 * not stalled. */
START_TEST(acknowledgement_needs_no_answer)
{
	relay_rig_t *r = rr_agent(true);
	relay_msg_t *msg;

	rr_hello(r, BALANCER, 2);
	rr_open_flow(r, 1);
	rr_request(r, 1);
	rr_response(r, 1);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 106, ISN + 501, 0, 0);
	msg = rr_load_report_after(r, 2500);
	ck_assert_uint_eq(msg->load->stalled_ms, 0);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* While a server that has just started has a request, opens go to the next
 * candidate; one that has no other candidate uses a free slot. */
START_TEST(started_server_is_paced)
{
	relay_rig_t *r = rr_agent(true);
	uint32_t other = OTHER_AGENT;
	relay_msg_t *msg;

	rr_hello(r, BALANCER, 2);
	rr_offer(r, BALANCER, 1, 5, &other, 1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	rr_offer(r, BALANCER, 2, 5, &other, 1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, other, RELAY_OFFER), 1);
	rr_offer(r, BALANCER, 2, 5, NULL, 0);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 2);
	msg = rr_load_report_after(r, 1100);
	ck_assert_uint_eq(msg->load->paced_slots, 1);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* The answer on a flow from before the agent's start shows that the server is
 * warm. */
START_TEST(warm_server_is_not_paced)
{
	relay_rig_t *r = rr_agent(false);
	uint32_t other = OTHER_AGENT;

	rr_hello(r, BALANCER, 2);
	rr_from_balancer(r, BALANCER, 7, RELAY_ACK, 106, ISN + 1, 100, 0);
	rr_from_server(r, 7, RELAY_ACK, ISN + 1, 206, 500);
	rr_clear(r);
	rr_offer(r, BALANCER, 1, 5, &other, 1);
	rr_offer(r, BALANCER, 2, 5, &other, 1);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 2);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, other, RELAY_OFFER), 0);
	rr_free(r);
}
END_TEST

/* Without requests the service time decays to the typical time of the service:
 * otherwise a server that was slow would get no more opens. */
START_TEST(slow_service_time_decays)
{
	relay_rig_t *r = rr_agent(true);
	relay_msg_t *msg;

	rr_hello(r, BALANCER, 2);
	for (unsigned i = 0; i < 20; i++) {
		rr_offer_typical(r, BALANCER, i, 5, 20);
		rr_from_server(r, i, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
		rr_request(r, i);
		rr_advance(r, 150);
		rr_response(r, i);
	}
	msg = rr_load_report_after(r, 1100);
	ck_assert_uint_ge(msg->load->service_us, 80000);
	relay_msg_free(msg);
	rr_advance(r, 15000);
	rr_hello(r, BALANCER, 2);
	msg = rr_load_report_after(r, 1100);
	ck_assert_uint_le(msg->load->service_us, 30000);
	relay_msg_free(msg);
	/* The time after which the server counts as stalled is short again. */
	rr_offer_typical(r, BALANCER, 30, 5, 20);
	msg = rr_load_report_after(r, 300);
	ck_assert_uint_gt(msg->load->stalled_ms, 0);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* Requests that the server never answers, while it answers others, count as
 * failed in the load report and no longer as in flight. */
START_TEST(unanswered_requests_are_reported)
{
	relay_rig_t *r = rr_agent(true);
	relay_msg_t *msg;
	int at;

	rr_hello(r, BALANCER, 2);
	for (unsigned i = 0; i < 40; i++) {
		rr_open_flow(r, i);
		rr_request(r, i);
		rr_advance(r, 25);
		if (i % 2)
			rr_response(r, i);
	}
	rr_clear(r);
	for (unsigned i = 0; i < 15; i++) {
		rr_open_flow(r, 50);
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

int main(void)
{
	Suite *s = suite_create("relay_server");
	TCase *tc = tcase_create("decisions");

	tcase_add_test(tc, flows_of_restarted_server_are_reset);
	tcase_add_test(tc, flows_of_crashed_server_are_reset);
	tcase_add_test(tc, stalled_server_gets_opens);
	tcase_add_test(tc, slow_server_keeps_its_flows);
	tcase_add_test(tc, failing_server_is_reported);
	tcase_add_test(tc, too_fast_answers_are_reported);
	tcase_add_test(tc, started_server_is_paced);
	tcase_add_test(tc, warm_server_is_not_paced);
	tcase_add_test(tc, slow_service_time_decays);
	tcase_add_test(tc, acknowledgement_needs_no_answer);
	tcase_add_test(tc, unanswered_requests_are_reported);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
