/*
 * test_read_before_reset - what a balancer reads before it resets a flow
 */

#include "relay_rig.h"
#include "runner.h"

#define AGENT_A 0x0a020001u
#define AGENT_B 0x0a020002u

/* A balancer that has read version 3, without the route, and target a. */
static relay_rig_t *without_route(void)
{
	relay_rig_t *r = rr_reading_balancer();

	rr_route_to(r, 3, NULL, 0);
	rr_entry(r, "a", AGENT_A, 1, ENTRY_READY);
	rr_store_read(r);
	rr_advance(r, 1000);
	rr_clear(r);
	return r;
}

static size_t resets(const relay_rig_t *r)
{
	return rr_count(r, RIG_CALLER, 0, 0);
}

/* Guards against a reset of a flow that another balancer opened on a route of a
 * version that this one has not read. */
START_TEST(unknown_route_is_read_first)
{
	relay_rig_t *r = without_route();

	rr_from_caller(r, 1, RELAY_ACK, 6, 1001, 100);
	rr_advance(r, 50);
	ck_assert_uint_eq(resets(r), 0);
	ck_assert_uint_eq(rr_count(r, RIG_STORE, 0, 0), 1);
	rr_routes(r, 4);
	rr_store_read(r);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_LOOKUP), 1);
	rr_flow_message(r, AGENT_A, RELAY_HELD, 1, "feeds");
	ck_assert_uint_eq(resets(r), 0);
	rr_free(r);
}
END_TEST

/* Guards against a reset of a flow whose route is in force, and which the
 * balancer could not read. */
START_TEST(unreadable_route_is_left_be)
{
	relay_rig_t *r = without_route();
	route_table_t *t = route_table_new(5, 15000);

	route_table_skip(t, 1);
	relay_balancer_set_routes(r->balancer, t);
	rr_store_read(r);
	rr_advance(r, 50);
	rr_from_caller(r, 1, RELAY_ACK, 6, 1001, 100);
	rr_from_caller(r, 2, RELAY_SYN, 5, 0, 0);
	rr_advance(r, 50);
	rr_store_read(r);
	ck_assert_uint_eq(resets(r), 0);
	rr_routes(r, 6);
	rr_from_caller(r, 1, RELAY_ACK, 6, 1001, 100);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_LOOKUP), 1);
	rr_free(r);
}
END_TEST

/* Guards against the same after a restart: an answer of the store to a request
 * that was sent before the packet came proves nothing. */
START_TEST(earlier_answer_proves_nothing)
{
	relay_rig_t *r = without_route();
	uint64_t before = r->now;

	rr_advance(r, 100);
	rr_from_caller(r, 1, RELAY_ACK, 6, 1001, 100);
	relay_balancer_store_read(r->balancer, r->now, before);
	ck_assert_uint_eq(resets(r), 0);
	rr_free(r);
}
END_TEST

/* Guards against callers of dropped routes that wait for their deadlines. */
START_TEST(dropped_route_is_reset_once_read)
{
	relay_rig_t *r = without_route();

	rr_from_caller(r, 1, RELAY_ACK, 6, 1001, 100);
	rr_from_caller(r, 2, RELAY_SYN, 5, 0, 0);
	rr_advance(r, 50);
	rr_store_read(r);
	ck_assert_uint_eq(resets(r), 2);
	rr_free(r);
}
END_TEST

/* Guards against resets while it can't be known which routes are in force. A
 * first copy of an open is refused: its flow can't be open. */
START_TEST(nothing_open_is_reset_while_store_is_away)
{
	relay_rig_t *r = without_route();

	directory_store_unreachable(relay_balancer_directory(r->balancer),
				    r->now);
	rr_from_caller(r, 1, RELAY_ACK, 6, 1001, 100);
	rr_from_caller(r, 2, RELAY_SYN, 5, 2, 0);
	rr_advance(r, 3000);
	ck_assert_uint_eq(resets(r), 0);
	rr_from_caller(r, 3, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(resets(r), 1);
	rr_free(r);
}
END_TEST

/* Guards against first opens that wait for a request to the store although the
 * store would have reported their route, and against refused ones on a route
 * that is among changes not read yet. */
START_TEST(first_open_waits_while_changes_are_unread)
{
	relay_rig_t *r = without_route();

	r->store_watched = true;
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(resets(r), 1);
	rr_from_caller(r, 2, RELAY_SYN, 5, 1, 0);
	rr_from_caller(r, 3, RELAY_ACK, 6, 1001, 100);
	ck_assert_uint_eq(resets(r), 1);
	r->store_watched = false;
	rr_from_caller(r, 4, RELAY_SYN, 5, 0, 0);
	rr_advance(r, 50);
	rr_routes(r, 4);
	rr_store_read(r);
	ck_assert_uint_eq(resets(r), 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 2);
	rr_free(r);
}
END_TEST

/* Routes that a peer's state brings while the store is away are used for held
 * packets. */
START_TEST(routes_of_peer_are_used)
{
	relay_rig_t *r = without_route();

	rr_from_caller(r, 1, RELAY_ACK, 6, 1001, 100);
	rr_advance(r, 400);
	rr_routes(r, 4);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_LOOKUP), 1);
	rr_free(r);
}
END_TEST

/* Guards against a reset of a flow that another balancer opened at a target
 * that this one has not read. */
START_TEST(unread_target_is_asked_before_reset)
{
	relay_rig_t *r = rr_reading_balancer();

	rr_routes(r, 3);
	rr_entry(r, "a", AGENT_A, 1, ENTRY_READY);
	rr_store_read(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 1001, 100);
	rr_chain_not_held(r, AGENT_A, 1, 1);
	rr_advance(r, 50);
	ck_assert_uint_eq(resets(r), 0);
	ck_assert_uint_eq(rr_count(r, RIG_STORE, 0, 0), 1);
	rr_entry(r, "b", AGENT_B, 2, ENTRY_READY);
	rr_store_read(r);
	ck_assert_uint_eq(resets(r), 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_B, RELAY_LOOKUP), 1);
	rr_chain_not_held(r, AGENT_B, 1, 2);
	ck_assert_uint_eq(resets(r), 1);
	rr_free(r);
}
END_TEST

/* Guards against a reset of a flow that is open elsewhere: this balancer
 * offered a copy of the open that it had kept while its host was frozen. Only a
 * caller that acknowledged the server that took the copy uses it. */
START_TEST(late_copy_is_not_reset)
{
	relay_rig_t *r = rr_reading_balancer();

	rr_routes(r, 3);
	rr_entry(r, "a", AGENT_A, 1, ENTRY_READY);
	for (unsigned i = 1; i <= 3; i++) {
		rr_from_caller(r, i, RELAY_SYN, 5, 0, 0);
		rr_flow_message(r, AGENT_A, RELAY_TAKEN, i, "feeds");
	}
	rr_from_caller(r, 2, RELAY_ACK, 6, 900000001, 100);
	rr_from_caller(r, 3, RELAY_ACK, 6, RIG_SERVER_ISN + 1, 100);
	rr_entry_gone(r, "a", 5);
	rr_advance(r, 4000);
	ck_assert_uint_eq(resets(r), 1);
	/* The others are looked up at what is left. */
	rr_entry(r, "b", AGENT_B, 7, ENTRY_READY);
	rr_clear(r);
	rr_from_caller(r, 2, RELAY_ACK, 6, 900000001, 100);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_B, RELAY_LOOKUP), 1);
	rr_free(r);
}
END_TEST

/* Guards against callers of lost flows that wait for the store after the agents
 * have answered: while look-ups end without a holder, it is read meanwhile. */
START_TEST(store_is_read_during_lookups)
{
	relay_rig_t *r = rr_reading_balancer();

	rr_routes(r, 3);
	rr_entry(r, "a", AGENT_A, 1, ENTRY_READY);
	rr_store_read(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 1001, 100);
	rr_advance(r, 50);
	ck_assert_uint_eq(rr_count(r, RIG_STORE, 0, 0), 0);
	rr_chain_not_held(r, AGENT_A, 1, 1);
	rr_advance(r, 50);
	ck_assert_uint_eq(rr_count(r, RIG_STORE, 0, 0), 1);
	rr_store_read(r);
	ck_assert_uint_eq(resets(r), 1);
	rr_advance(r, 100);
	rr_from_caller(r, 2, RELAY_ACK, 6, 1001, 100);
	rr_advance(r, 50);
	ck_assert_uint_eq(rr_count(r, RIG_STORE, 0, 0), 2);
	rr_store_read(r);
	rr_chain_not_held(r, AGENT_A, 2, rr_last_chain(r, AGENT_A));
	ck_assert_uint_eq(resets(r), 2);
	rr_free(r);
}
END_TEST

/* Guards against a flood of requests to the store by packets without a route.
 */
START_TEST(one_reading_serves_many_packets)
{
	relay_rig_t *r = without_route();

	for (unsigned i = 0; i < 100; i++) {
		rr_from_caller(r, i, RELAY_ACK, 6, 1001, 100);
		rr_advance(r, 25);
	}
	ck_assert_uint_le(rr_count(r, RIG_STORE, 0, 0), 14);
	rr_store_read(r);
	/* Packets of the last 1.3 s. */
	ck_assert_uint_le(resets(r), 52);
	ck_assert_uint_ge(resets(r), 50);
	rr_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("read_before_reset");
	TCase *tc = tcase_create("decisions");

	tcase_add_test(tc, unknown_route_is_read_first);
	tcase_add_test(tc, earlier_answer_proves_nothing);
	tcase_add_test(tc, unreadable_route_is_left_be);
	tcase_add_test(tc, dropped_route_is_reset_once_read);
	tcase_add_test(tc, nothing_open_is_reset_while_store_is_away);
	tcase_add_test(tc, first_open_waits_while_changes_are_unread);
	tcase_add_test(tc, routes_of_peer_are_used);
	tcase_add_test(tc, unread_target_is_asked_before_reset);
	tcase_add_test(tc, late_copy_is_not_reset);
	tcase_add_test(tc, store_is_read_during_lookups);
	tcase_add_test(tc, one_reading_serves_many_packets);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
