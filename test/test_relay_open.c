/*
 * test_relay_open - opens at a balancer: who is offered them, how long they
 * wait, when they are refused
 */

#include "relay_rig.h"
#include "runner.h"
#include <stdio.h>

#define AGENT_A RIG_HOST_A
#define AGENT_B RIG_HOST_B

/* An open that an agent does not answer goes to another one. The caller gets no
 * reset ("not run"), since the first agent's server may have taken the open. */
START_TEST(unanswered_open_goes_to_another_agent)
{
	relay_rig_t *r = rr_two_targets();
	uint32_t first;

	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	first = r->sent[rr_last(r, RIG_MESSAGE, 0, RELAY_OFFER)].host;
	rr_advance(r, 200);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_OFFER), 2);
	ck_assert_uint_ne(r->sent[rr_last(r, RIG_MESSAGE, 0, RELAY_OFFER)].host,
			  first);
	rr_flow_message(r, first == AGENT_A ? AGENT_B : AGENT_A, RELAY_REFUSED,
			1, "feeds");
	rr_advance(r, 2000);
	ck_assert_int_lt(rr_last(r, RIG_CALLER, RIG_CALLER_ADDRESS, 0), 0);
	rr_free(r);
}
END_TEST

static uint32_t last_queue_ms(const relay_rig_t *r)
{
	int i = rr_last(r, RIG_MESSAGE, 0, RELAY_OFFER);
	relay_msg_t *msg = relay_msg_unpack(r->sent[i].buf, r->sent[i].len);
	uint32_t queue_ms = msg->queue_ms;

	relay_msg_free(msg);
	return queue_ms;
}

/* An open that has no target is reset at once; so is one that no agent accepts
 * and whose queues are full. */
START_TEST(refused_at_once)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_from_caller(r, 2, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(last_queue_ms(r), 0);
	rr_flow_message(r, AGENT_A, RELAY_REFUSED, 2, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	ck_assert_uint_gt(last_queue_ms(r), 1000);
	rr_flow_message(r, AGENT_A, RELAY_REFUSED, 2, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 2);
	rr_free(r);
}
END_TEST

/* A refusal may come from another agent than the one that got the offer. The
 * array of tried agents must not overflow when many refuse. */
START_TEST(refused_by_further_candidates)
{
	relay_rig_t *r = rr_balancer();
	char id[8];

	rr_routes(r, 1);
	for (unsigned i = 0; i < 12; i++) {
		snprintf(id, sizeof(id), "t%u", i);
		rr_entry(r, id, AGENT_A + i, 2 + i, ENTRY_READY);
	}
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	for (unsigned i = 0; i < 6; i++)
		rr_flow_message(r, AGENT_A + 100 + i, RELAY_REFUSED, 1,
				"feeds");
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_OFFER), 3);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* An open that waits at an agent is offered to no other one, also when its
 * caller sends it again. When the agent gives it up, the caller is told. */
START_TEST(queued_open_stays_at_its_agent)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_entry(r, "b", AGENT_B, 3, ENTRY_READY);
	rr_load(r, AGENT_A, 9, 9, 40, 0);
	rr_load(r, AGENT_B, 20, 20, 40, 0);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_int_ge(rr_last(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 0);
	ck_assert_uint_gt(last_queue_ms(r), 1000);
	rr_flow_message(r, AGENT_A, RELAY_QUEUED, 1, "feeds");
	rr_advance(r, 200);
	rr_from_caller(r, 1, RELAY_SYN, 5, 1, 0);
	rr_advance(r, 400);
	rr_from_caller(r, 1, RELAY_SYN, 5, 2, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 3);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_B, RELAY_OFFER), 0);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_advance(r, 680);
	rr_flow_message(r, AGENT_A, RELAY_REFUSED, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* An agent refuses an open twice, since the balancer has repeated its offer.
 * The open waits at the next agent by then, and the caller is not told. */
START_TEST(second_refusal_is_ignored)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_entry(r, "b", AGENT_B, 3, ENTRY_READY);
	rr_load(r, AGENT_A, 9, 9, 40, 0);
	rr_load(r, AGENT_B, 20, 20, 40, 0);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, AGENT_A, RELAY_QUEUED, 1, "feeds");
	rr_from_caller(r, 1, RELAY_SYN, 5, 1, 0);
	rr_flow_message(r, AGENT_A, RELAY_REFUSED, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_B, RELAY_OFFER), 1);
	rr_flow_message(r, AGENT_B, RELAY_QUEUED, 1, "feeds");
	rr_flow_message(r, AGENT_A, RELAY_REFUSED, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_flow_message(r, AGENT_B, RELAY_REFUSED, 1, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* The only target's agent restarts: opens wait for it, and are offered when it
 * is back; without it they are refused before their callers give up. */
START_TEST(open_waits_for_restarting_agent)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_load_stopping(r, AGENT_A);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_advance(r, 200);
	rr_from_caller(r, 1, RELAY_SYN, 5, 1, 0);
	rr_advance(r, 300);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 0);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	if (_i)
		rr_load(r, AGENT_A, 0, 0, 20, 0);
	rr_advance(r, 100);
	if (!_i)
		rr_from_caller(r, 1, RELAY_SYN, 5, 2, 0);
	rr_advance(r, 100);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), _i);
	rr_advance(r, 690);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), _i ? 0 : 1);
	rr_free(r);
}
END_TEST

/* A caller uses its port again within a second: the new open is offered anew,
 * and its packets go to the new holder, also after late messages about the flow
 * before. */
START_TEST(port_is_used_again)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_entry(r, "b", AGENT_B, 3, ENTRY_READY);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 1, "feeds");
	rr_from_caller(r, 1, RELAY_FIN | RELAY_ACK, 6, 9, 0);
	rr_advance(r, 300);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_SYN, 700, 0, 0);
	ck_assert_int_ge(rr_last(r, RIG_MESSAGE, 0, RELAY_OFFER), 0);
	rr_flow_message(r, AGENT_B, RELAY_TAKEN, 1, "feeds");
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 1, "feeds");
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 701, 33, 10);
	ck_assert_int_ge(rr_last(r, RIG_AGENT, AGENT_B, 0), 0);
	ck_assert_int_lt(rr_last(r, RIG_AGENT, AGENT_A, 0), 0);
	rr_free(r);
}
END_TEST

/* A service without targets: its opens are refused at once when the entries of
 * living targets must be back. */
START_TEST(service_without_targets_is_refused)
{
	relay_rig_t *r = rr_balancer();
	directory_t *d = relay_balancer_directory(r->balancer);

	rr_routes(r, 1);
	directory_resync_begin(d, LISTING_STORE);
	directory_resync_end(d, LISTING_STORE, r->now,
			     (store_revision_t){ .number = 9 });
	rr_advance(r, DIRECTORY_GRACE_MS);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* A first copy of an open that comes late has less time left: its objective is
 * shortened by the time at which callers send that copy. */
START_TEST(late_copy_has_less_time)
{
	relay_rig_t *r = rr_balancer();
	relay_msg_t *msg;
	int i;

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_from_caller(r, 1, RELAY_SYN, 5, 1, 0);
	i = rr_last(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER);
	msg = relay_msg_unpack(r->sent[i].buf, r->sent[i].len);
	ck_assert_uint_eq(msg->objective_ms, 1); /* 100 ms, 200 ms ago */
	ck_assert_uint_eq(msg->max_wait_ms, 1);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* An entry that expired while the store was unreachable takes opens for
 * DIRECTORY_GRACE_MS more. */
START_TEST(lapsed_entry_takes_opens)
{
	relay_rig_t *r = rr_balancer();
	directory_t *d = relay_balancer_directory(r->balancer);

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	directory_store_unreachable(d, r->now);
	rr_advance(r, 1000);
	directory_store_reachable(d, r->now);
	rr_entry_gone(r, "a", 5);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_OFFER), 1);
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 1, "feeds");
	rr_advance(r, 3500);
	rr_from_caller(r, 2, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_OFFER), 1);
	rr_free(r);
}
END_TEST

/* A server that is down gets one open per second as a probe, no others. */
START_TEST(silent_server_is_probed_each_second)
{
	relay_rig_t *r = rr_two_targets();
	size_t tried;

	for (unsigned i = 0; i < 100; i++) {
		rr_load(r, AGENT_A, 0, 0, 10, 600);
		rr_load(r, AGENT_B, 0, 0, 10, 0);
		rr_from_caller(r, i, RELAY_SYN, 5, 0, 0);
		rr_flow_message(r, AGENT_B, RELAY_TAKEN, i, "feeds");
		rr_advance(r, RELAY_BALANCER_TICK_MS);
	}
	tried = rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER);
	ck_assert_uint_ge(tried, 2);
	ck_assert_uint_le(tried, 4);
	rr_free(r);
}
END_TEST

/* A member whose last load report has expired gets opens again, although the
 * report was of failures or a stop. */
START_TEST(expired_load_report_is_ignored)
{
	relay_rig_t *r = rr_two_targets();
	size_t offers = 0;

	if (_i)
		rr_load_stopping(r, AGENT_A);
	else
		rr_load_failing(r, AGENT_A, 100);
	rr_advance(r, 5000);
	for (unsigned i = 0; i < 100; i++) {
		rr_clear(r);
		rr_load(r, AGENT_B, 2, 2, 10, 0); /* busy */
		rr_from_caller(r, i, RELAY_SYN, 5, 0, 0);
		offers += rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER);
		rr_flow_message(r, AGENT_A, RELAY_TAKEN, i, "feeds");
		rr_advance(r, RELAY_BALANCER_TICK_MS);
	}
	ck_assert_uint_ge(offers, 2);
	rr_free(r);
}
END_TEST

/* The load report of the previous target at an address does not apply to a new
 * target. */
START_TEST(new_target_starts_without_load_report)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	if (_i == 0)
		rr_load_stopping(r, AGENT_A);
	else if (_i == 1)
		rr_load_failing(r, AGENT_A, 100);
	else
		rr_load(r, AGENT_A, 50, 50, 100, 0);
	rr_entry(r, "b", AGENT_B, 3, ENTRY_READY);
	rr_load(r, AGENT_B, 3, 3, 10, 0);
	rr_entry(r, "a2", AGENT_A, 9, ENTRY_READY);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 1);
	rr_free(r);
}
END_TEST

/* The load estimate for placed opens decays. Another placed open must add to
 * the decayed value, not to the value as it was before the decay. */
START_TEST(placed_opens_decay)
{
	relay_rig_t *r = rr_two_targets();

	rr_load(r, AGENT_A, 0, 0, 10, 0);
	rr_load(r, AGENT_B, 3, 3, 10, 0);
	for (unsigned i = 0; i < 5; i++) {
		if (i == 3)
			rr_advance(r, 2000);
		rr_clear(r);
		rr_from_caller(r, i, RELAY_SYN, 5, 0, 0);
		rr_flow_message(r, AGENT_A, RELAY_TAKEN, i, "feeds");
	}
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 1);
	rr_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay_open");
	TCase *tc = tcase_create("decisions");

	tcase_add_test(tc, unanswered_open_goes_to_another_agent);
	tcase_add_test(tc, refused_at_once);
	tcase_add_test(tc, refused_by_further_candidates);
	tcase_add_test(tc, queued_open_stays_at_its_agent);
	tcase_add_test(tc, second_refusal_is_ignored);
	tcase_add_loop_test(tc, open_waits_for_restarting_agent, 0, 2);
	tcase_add_test(tc, late_copy_has_less_time);
	tcase_add_test(tc, port_is_used_again);
	tcase_add_test(tc, service_without_targets_is_refused);
	tcase_add_test(tc, lapsed_entry_takes_opens);
	tcase_add_test(tc, silent_server_is_probed_each_second);
	tcase_add_loop_test(tc, expired_load_report_is_ignored, 0, 2);
	tcase_add_loop_test(tc, new_target_starts_without_load_report, 0, 3);
	tcase_add_test(tc, placed_opens_decay);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
