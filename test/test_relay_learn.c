/*
 * test_relay_learn - a balancer that knows no routes finds others through
 * agents
 */

#include "relay_rig.h"
#include "runner.h"

#define AGENT  0x0a020001u
#define OTHERS 0x0a010010u /* addresses of other balancers */

/* Passes an agent's answer that names two other balancers and this one. */
static void tell_balancers(relay_rig_t *r)
{
	uint32_t named[] = { OTHERS, RIG_BALANCER_ADDRESS, OTHERS + 1 };
	relay_msg_t msg;

	relay_msg_init(&msg, RELAY_LOAD);
	msg.balancers = named;
	msg.n_balancers = 3;
	relay_balancer_handle_message(r->balancer, r->now, AGENT, &msg);
}

static bool asks_balancers(relay_rig_t *r)
{
	int at = rr_last(r, RIG_MESSAGE, AGENT, RELAY_HELLO);
	relay_msg_t *msg;
	bool asks;

	if (at < 0)
		return false;
	msg = relay_msg_unpack(r->sent[at].buf, r->sent[at].len);
	asks = msg && msg->asks_balancers;
	relay_msg_free(msg);
	return asks;
}

/* Agents that kept running send their load to the balancer that was there
 * before: it asks one of them, and the balancers that this one names. */
START_TEST(balancer_without_routes_asks)
{
	relay_rig_t *r = rr_balancer();

	rr_load(r, AGENT, 0, 0, 10, 0);
	ck_assert(asks_balancers(r));
	rr_clear(r);
	rr_load(r, AGENT, 0, 0, 10, 0);
	ck_assert_uint_eq(r->nsent, 0);
	tell_balancers(r);
	ck_assert_uint_eq(rr_count(r, RIG_PEER, OTHERS, 0), 1);
	ck_assert_uint_eq(rr_count(r, RIG_PEER, OTHERS + 1, 0), 1);
	ck_assert_uint_eq(r->nsent, 2);
	rr_advance(r, 200);
	rr_clear(r);
	rr_load(r, AGENT, 0, 0, 10, 0);
	ck_assert(asks_balancers(r));
	rr_free(r);
}
END_TEST

START_TEST(balancer_with_routes_asks_nobody)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_load(r, AGENT, 0, 0, 10, 0);
	tell_balancers(r);
	ck_assert_uint_eq(r->nsent, 0);
	rr_free(r);
}
END_TEST

/* An agent names those that it heard from last, neither the one that asks nor
 * any that has been silent for long. */
START_TEST(agent_names_the_last_heard)
{
	relay_rig_t *r = rr_agent(false);
	relay_msg_t question, *answer;
	int at;

	rr_hello(r, OTHERS + 9, 2);
	rr_advance(r, 11000);
	for (uint32_t i = 0; i < 6; i++) {
		rr_hello(r, OTHERS + i, 2);
		rr_advance(r, 100);
	}
	rr_clear(r);
	relay_msg_init(&question, RELAY_HELLO);
	question.asks_balancers = true;
	relay_agent_handle_message(r->agent, r->now, OTHERS + 5, &question);
	at = rr_last(r, RIG_MESSAGE, OTHERS + 5, RELAY_LOAD);
	ck_assert_int_ge(at, 0);
	answer = relay_msg_unpack(r->sent[at].buf, r->sent[at].len);
	ck_assert_uint_eq(answer->n_balancers, 4);
	for (uint32_t i = 0; i < 4; i++)
		ck_assert_uint_eq(answer->balancers[i], OTHERS + 4 - i);
	relay_msg_free(answer);
	rr_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay_learn");
	TCase *tc = tcase_create("start without the store");

	tcase_add_test(tc, balancer_without_routes_asks);
	tcase_add_test(tc, balancer_with_routes_asks_nobody);
	tcase_add_test(tc, agent_names_the_last_heard);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
