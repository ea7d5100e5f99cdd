/*
 * test_relay_agent_load - which requests an agent counts as load, and the
 * service time that it measures
 */

#include "relay_rig.h"
#include "runner.h"

#define BALANCER   0x0a010005u
#define ISN	   5000u /* initial sequence number of the server */
#define SLOTS	   2
#define SERVICE_MS 100 /* whole ticks of the agent */

/* The load that the agent reports in answer to a hello. */
static relay_load_t reported_load(relay_rig_t *r)
{
	relay_load_t load;
	relay_msg_t *msg;
	int at;

	rr_clear(r);
	rr_hello(r, BALANCER, SLOTS);
	at = rr_last(r, RIG_MESSAGE, BALANCER, RELAY_LOAD);
	ck_assert_int_ge(at, 0);
	msg = relay_msg_unpack(r->sent[at].buf, r->sent[at].len);
	load = *msg->load;
	relay_msg_free(msg);
	return load;
}

/* The agent offers an open, and the caller sends its request. */
static void request(relay_rig_t *r, unsigned flow)
{
	rr_offer(r, BALANCER, flow, 5, NULL, 0);
	rr_from_server(r, flow, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	rr_from_balancer(r, BALANCER, flow, RELAY_ACK, 6, ISN + 1, 100, 0);
}

/* The server closes a flow with its answer, and the FIN arrives first. */
START_TEST(fin_overtakes_answer)
{
	relay_rig_t *r = rr_agent(true);

	rr_hello(r, BALANCER, SLOTS);
	request(r, 1);
	rr_advance(r, SERVICE_MS);
	rr_from_server(r, 1, RELAY_ACK | RELAY_FIN, ISN + 501, 106, 0);
	rr_from_server(r, 1, RELAY_ACK, ISN + 1, 106, 500);
	ck_assert_uint_eq(reported_load(r).in_flight, 0);
	ck_assert_uint_eq(reported_load(r).service_us, SERVICE_MS * 1000);
	rr_free(r);
}
END_TEST

/* A FIN without an answer says nothing about the service time. */
START_TEST(fin_without_answer)
{
	relay_rig_t *r = rr_agent(true);

	rr_hello(r, BALANCER, SLOTS);
	request(r, 1);
	rr_advance(r, SERVICE_MS);
	rr_from_server(r, 1, RELAY_ACK | RELAY_FIN, ISN + 1, 106, 0);
	ck_assert_uint_eq(reported_load(r).in_flight, 0);
	ck_assert_uint_eq(reported_load(r).service_us, 0);
	rr_free(r);
}
END_TEST

/* After a restart of all servers, requests on lost flows come by one after the
 * other. A server that returns them all is idle. */
START_TEST(returned_requests_are_no_load)
{
	relay_rig_t *r = rr_agent(false);

	rr_hello(r, BALANCER, SLOTS);
	for (unsigned i = 1; i <= 20; i++)
		rr_from_balancer(r, BALANCER, i, RELAY_ACK, 6, 7, 100,
				 RELAY_MARK_VERIFY);
	ck_assert_uint_eq(reported_load(r).in_flight, 0);
	for (unsigned i = 1; i <= 20; i++)
		rr_returned(r, i, RELAY_ACK, 6, 7, 100);
	rr_advance(r, 500);
	ck_assert_uint_eq(reported_load(r).in_flight, 0);
	rr_free(r);
}
END_TEST

/* The agent alone has restarted. Requests that the server keeps count, from
 * when it answers or has had the time to return them, and are measured from
 * their delivery. */
START_TEST(kept_requests_are_load)
{
	relay_rig_t *r = rr_agent(false);

	rr_hello(r, BALANCER, SLOTS);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 6, 7, 100,
			 RELAY_MARK_VERIFY);
	rr_from_balancer(r, BALANCER, 2, RELAY_ACK, 6, 7, 100,
			 RELAY_MARK_VERIFY);
	rr_advance(r, 25);
	rr_from_server(r, 1, RELAY_ACK, 7, 106, 0);
	ck_assert_uint_eq(reported_load(r).in_flight, 1);
	rr_advance(r, 75);
	ck_assert_uint_eq(reported_load(r).in_flight, 2);
	rr_from_server(r, 1, RELAY_ACK, 7, 106, 500);
	rr_from_server(r, 2, RELAY_ACK, 7, 106, 500);
	ck_assert_uint_eq(reported_load(r).in_flight, 0);
	ck_assert_uint_eq(reported_load(r).service_us, 100 * 1000);
	rr_free(r);
}
END_TEST

/* Only the first requests find a free slot: the time that later ones wait for
 * one does not count. */
START_TEST(waits_are_no_service_time)
{
	relay_rig_t *r = rr_agent(true);
	uint32_t service_us;

	rr_hello(r, BALANCER, SLOTS);
	for (unsigned i = 1; i <= SLOTS; i++) {
		request(r, i);
		rr_advance(r, SERVICE_MS / SLOTS);
	}
	for (unsigned i = SLOTS + 1; i <= 8; i++)
		request(r, i);
	for (unsigned i = 1; i <= 40; i++) {
		rr_from_server(r, i, RELAY_ACK, ISN + 1, 106, 500);
		request(r, i + 8);
		rr_advance(r, SERVICE_MS / SLOTS);
	}
	service_us = reported_load(r).service_us;
	ck_assert_uint_ge(service_us, SERVICE_MS * 900);
	ck_assert_uint_le(service_us, SERVICE_MS * 1100);
	rr_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay_agent_load");
	TCase *tc = tcase_create("load");

	tcase_add_test(tc, fin_overtakes_answer);
	tcase_add_test(tc, fin_without_answer);
	tcase_add_test(tc, returned_requests_are_no_load);
	tcase_add_test(tc, kept_requests_are_load);
	tcase_add_test(tc, waits_are_no_service_time);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
