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

int main(void)
{
	Suite *s = suite_create("relay_holding");
	TCase *tc = tcase_create("decisions");

	tcase_add_test(tc, unanswered_open_is_not_held);
	tcase_add_test(tc, unanswered_open_after_restart_is_verified);
	tcase_add_test(tc, queued_copy_after_restart_is_verified);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
