/*
 * test_relay_wake - processes that did not run for a while
 *
 * What waited in their sockets is older than it looks, and may have gone
 * another way meanwhile.
 */

#include "relay_rig.h"
#include "runner.h"

#define AGENT_A 0x0a020001u
#define AGENT_B 0x0a020002u
/* Requests with which a server of two slots has no time for another one. */
#define BUSY_REQUESTS 10

static relay_rig_t *with_target(void)
{
	relay_rig_t *r = rr_reading_balancer();

	rr_routes(r, 3);
	rr_entry(r, "a", AGENT_A, 1, ENTRY_READY);
	rr_load(r, AGENT_A, 0, 0, 10, 0);
	rr_store_read(r);
	rr_advance(r, 200);
	rr_clear(r);
	return r;
}

static size_t resets(const relay_rig_t *r)
{
	return rr_count(r, RIG_CALLER, 0, 0);
}

static size_t offers(const relay_rig_t *r)
{
	return rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER);
}

/* Guards against an open that is offered when its caller has long given up, or
 * has opened the flow through another balancer. */
START_TEST(stale_open_is_not_offered)
{
	relay_rig_t *r = with_target();

	r->wait_ms = RELAY_OPEN_LIFE_MS;
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	r->wait_ms = RELAY_OPEN_LIFE_MS - 600;
	rr_from_caller(r, 2, RELAY_SYN, 5, 2, 0);
	rr_advance(r, 3000);
	ck_assert_uint_eq(offers(r), 0);
	ck_assert_uint_eq(resets(r), 0);
	ck_assert_uint_eq(relay_balancer_counters(r->balancer)
				  ->values[COUNTER_OPENS_STALE],
			  2);
	rr_free(r);
}
END_TEST

/* Guards against dropping what a caller still waits for. */
START_TEST(open_that_waited_a_little_is_offered)
{
	relay_rig_t *r = with_target();
	const rig_sent_t *s;
	relay_msg_t *msg;

	r->wait_ms = 500;
	rr_from_caller(r, 1, RELAY_SYN, 5, 1, 0);
	ck_assert_uint_eq(offers(r), 1);
	s = &r->sent[rr_last(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER)];
	msg = relay_msg_unpack(s->buf, s->len);
	ck_assert_uint_eq(msg->open_age_ms, 700);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* Guards against a reset of a flow that a later copy has opened on a new route,
 * while the first copy waited in the socket of a balancer that did not run. */
START_TEST(first_copy_that_waited_is_not_refused_at_once)
{
	relay_rig_t *r = rr_reading_balancer();

	r->store_watched = true;
	rr_route_to(r, 3, NULL, 0);
	rr_entry(r, "a", AGENT_A, 1, ENTRY_READY);
	rr_store_read(r);
	rr_advance(r, 200);
	rr_clear(r);
	r->wait_ms = 400;
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(resets(r), 0);
	rr_routes(r, 4);
	rr_store_read(r);
	ck_assert_uint_eq(resets(r), 0);
	ck_assert_uint_eq(offers(r), 1);
	rr_free(r);
}
END_TEST

/* Guards against a stop in the middle of an open: the answers that waited are
 * no reason to offer it again or to refuse it. */
START_TEST(open_from_before_a_stop_is_forgotten)
{
	relay_rig_t *r = with_target();

	rr_entry(r, "b", AGENT_B, 2, ENTRY_READY);
	rr_load(r, AGENT_B, 0, 0, 10, 0);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_clear(r);
	r->now += 3500;
	rr_flow_message(r, AGENT_A, RELAY_REFUSED, 1, "feeds");
	rr_flow_message(r, AGENT_B, RELAY_REFUSED, 1, "feeds");
	rr_advance(r, 200);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_OFFER), 0);
	ck_assert_uint_eq(resets(r), 0);
	rr_free(r);
}
END_TEST

/* Guards against an offer that is delivered when the caller has given up,
 * because the agent did not run. */
START_TEST(stale_offer_is_not_delivered)
{
	relay_rig_t *r = rr_agent(true);
	uint32_t other = AGENT_B;

	rr_hello(r, RIG_BALANCER_ADDRESS, 2);
	rr_clear(r);
	r->wait_ms = RELAY_OPEN_LIFE_MS;
	rr_offer(r, RIG_BALANCER_ADDRESS, 1, 5, &other, 1);
	ck_assert_uint_eq(r->nsent, 0);
	r->wait_ms = 300;
	rr_offer(r, RIG_BALANCER_ADDRESS, 2, 5, NULL, 0);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* Guards against a queued open that is delivered after a stop of the agent,
 * when it should have been refused long before. */
START_TEST(expired_open_is_not_served)
{
	relay_rig_t *r = rr_agent(true);

	rr_hello(r, RIG_BALANCER_ADDRESS, 2);
	for (unsigned flow = 1; flow <= BUSY_REQUESTS; flow++) {
		rr_offer(r, RIG_BALANCER_ADDRESS, flow, 5, NULL, 0);
		rr_from_server(r, flow, RELAY_SYN | RELAY_ACK, RIG_SERVER_ISN,
			       6, 0);
		rr_from_balancer(r, RIG_BALANCER_ADDRESS, flow, RELAY_ACK, 6,
				 RIG_SERVER_ISN + 1, 100, 0);
	}
	rr_offer_queue(r, RIG_BALANCER_ADDRESS, 50, 5, 800);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_QUEUED), 1);
	rr_clear(r);
	r->now += 2000;
	for (unsigned flow = 1; flow <= BUSY_REQUESTS; flow++)
		rr_from_server(r, flow, RELAY_ACK, RIG_SERVER_ISN + 1, 106,
			       100);
	rr_advance(r, 100);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* Guards against a reset of a flow that another balancer opened from an
 * earlier copy, when a later one comes here and finds no room. */
START_TEST(later_copy_is_not_refused)
{
	relay_rig_t *r = with_target();

	rr_from_caller(r, 1, RELAY_SYN, 5, 1 + (unsigned)_i, 0);
	ck_assert_uint_eq(offers(r), 1);
	rr_flow_message(r, AGENT_A, RELAY_REFUSED, 1, "feeds");
	rr_flow_message(r, AGENT_A, RELAY_REFUSED, 1, "feeds");
	rr_advance(r, 1400);
	ck_assert_uint_eq(resets(r), 0);
	ck_assert_uint_eq(relay_balancer_flow_count(r->balancer), 0);
	rr_free(r);
}
END_TEST

/* Guards against the same when a later copy went elsewhere: the open that
 * waits here is refused only while all copies have come here. */
START_TEST(open_with_a_missing_copy_is_not_refused)
{
	relay_rig_t *r = with_target();

	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, AGENT_A, RELAY_QUEUED, 1, "feeds");
	if (_i) {
		rr_advance(r, 200);
		rr_from_caller(r, 1, RELAY_SYN, 5, 1, 0);
		rr_flow_message(r, AGENT_A, RELAY_QUEUED, 1, "feeds");
	}
	rr_advance(r, 700);
	rr_flow_message(r, AGENT_A, RELAY_REFUSED, 1, "feeds");
	rr_flow_message(r, AGENT_A, RELAY_REFUSED, 1, "feeds");
	rr_advance(r, 1400);
	ck_assert_uint_eq(resets(r), 0);
	rr_free(r);
}
END_TEST

/* Guards against a reset by the answer to an earlier look-up of the flow, which
 * an agent passed on only when it ran again: the holder is asked in the chain
 * of the same place. */
START_TEST(answer_to_earlier_lookup_proves_nothing)
{
	relay_rig_t *r = with_target();
	unsigned earlier;

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	earlier = rr_last_chain(r, AGENT_A);
	ck_assert_uint_ne(earlier, 0);
	rr_advance(r, 4500);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_store_read(r);
	rr_chain_not_held(r, AGENT_A, 1, earlier);
	rr_advance(r, 50);
	rr_store_read(r);
	ck_assert_uint_eq(resets(r), 0);
	rr_chain_not_held(r, AGENT_A, 1, rr_last_chain(r, AGENT_A));
	rr_advance(r, 50);
	rr_store_read(r);
	ck_assert_uint_eq(resets(r), 1);
	rr_free(r);
}
END_TEST

/* Lets the balancer not run for some time; its next tick comes late. */
static void stop_for(relay_rig_t *r, uint64_t ms)
{
	r->now += ms;
	relay_balancer_tick(r->balancer, r->now);
}

/* Guards against silence that is counted while the balancer did not run: the
 * agent of a target whose entry has expired has said nothing since, as far as
 * this balancer can know. */
START_TEST(stop_of_balancer_is_no_silence_of_agents)
{
	relay_rig_t *r = with_target();

	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_flow_message(r, AGENT_A, RELAY_HELD, 1, "feeds");
	rr_entry_gone(r, "a", 5);
	rr_advance(r, 400);
	stop_for(r, 3500);
	rr_advance(r, 1500);
	ck_assert_uint_eq(resets(r), 0);
	rr_load(r, AGENT_A, 1, 1, 10, 0);
	rr_advance(r, 2000);
	ck_assert_uint_eq(resets(r), 0);
	/* The agent is lost. */
	rr_advance(r, 1000);
	ck_assert_uint_eq(resets(r), 1);
	rr_free(r);
}
END_TEST

/* Guards against a list of flows from before a stop of the balancer: the agent
 * that sent it runs again, and its server holds flows that came later. */
START_TEST(list_from_before_a_stop_proves_nothing)
{
	relay_rig_t *r = with_target();
	relay_load_t load;
	relay_msg_t msg;

	relay_msg_init(&msg, RELAY_LOAD);
	ct__relay__load__init(&load);
	load.stopping = true;
	msg.load = &load;
	msg.service = (char *)"feeds";
	msg.held_flows_complete = true;
	relay_balancer_handle_message(r->balancer, r->now, AGENT_A, &msg);
	rr_entry(r, "a", AGENT_A, 7, ENTRY_DRAINING);
	rr_advance(r, 200);
	stop_for(r, 3500);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_store_read(r);
	rr_advance(r, 400);
	rr_store_read(r);
	ck_assert_uint_eq(resets(r), 0);
	rr_flow_message(r, AGENT_A, RELAY_HELD, 1, "feeds");
	ck_assert_uint_eq(resets(r), 0);
	ck_assert_int_ge(rr_last(r, RIG_MESSAGE, AGENT_A, RELAY_LOOKUP), 0);
	rr_free(r);
}
END_TEST

/* Guards against a server that counts as stalled since its agent did not run.
 */
START_TEST(stop_of_agent_is_no_stall_of_its_server)
{
	relay_rig_t *r = rr_agent(true);
	const rig_sent_t *s;
	relay_msg_t *msg;

	rr_hello(r, RIG_BALANCER_ADDRESS, 2);
	rr_offer(r, RIG_BALANCER_ADDRESS, 1, 5, NULL, 0);
	rr_advance(r, 50);
	rr_clear(r);
	r->now += 3500;
	relay_agent_tick(r->agent, r->now);
	rr_hello(r, RIG_BALANCER_ADDRESS, 2);
	s = &r->sent[rr_last(r, RIG_MESSAGE, 0, RELAY_LOAD)];
	msg = relay_msg_unpack(s->buf, s->len);
	ck_assert_uint_eq(msg->load->stalled_ms, 0);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay_wake");
	TCase *tc = tcase_create("waits");

	tcase_add_test(tc, stale_open_is_not_offered);
	tcase_add_test(tc, open_that_waited_a_little_is_offered);
	tcase_add_test(tc, first_copy_that_waited_is_not_refused_at_once);
	tcase_add_test(tc, open_from_before_a_stop_is_forgotten);
	tcase_add_test(tc, stale_offer_is_not_delivered);
	tcase_add_test(tc, expired_open_is_not_served);
	tcase_add_loop_test(tc, later_copy_is_not_refused, 0, 2);
	tcase_add_loop_test(tc, open_with_a_missing_copy_is_not_refused, 0, 2);
	tcase_add_test(tc, answer_to_earlier_lookup_proves_nothing);
	tcase_add_test(tc, stop_of_balancer_is_no_silence_of_agents);
	tcase_add_test(tc, list_from_before_a_stop_proves_nothing);
	tcase_add_test(tc, stop_of_agent_is_no_stall_of_its_server);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
