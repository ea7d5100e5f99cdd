/*
 * test_claims - entries of several targets at one address
 */

#include "relay_rig.h"
#include "runner.h"

#define AGENT_A 0x0a020001u

/* A balancer with routes to "feeds" and "maps", and an open flow at the target
 * "a" of "feeds". */
static relay_rig_t *with_flow(void)
{
	route_share_t shares[] = { { .service = "feeds", .weight = 1 },
				   { .service = "maps", .weight = 0 } };
	relay_rig_t *r = rr_balancer();

	rr_route_to(r, 3, shares, 2);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 1, "feeds");
	rr_from_caller(r, 1, RELAY_ACK, 6, RIG_SERVER_ISN + 1, 100);
	rr_advance(r, 100);
	rr_clear(r);
	return r;
}

static void check_untouched(relay_rig_t *r, unsigned flow)
{
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 106, RIG_SERVER_ISN + 1, 100);
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, AGENT_A, 0), 1);
	rr_from_caller(r, flow, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 1);
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, flow, "feeds");
}

/* Services of entries that another writer leaves at the address: one that no
 * configuration names, and one that another target has. */
static const char *const others[] = { "old", "maps" };

/* Guards against an entry of another writer that resets the flows of a live
 * target and takes it out of use, while it is there and afterwards. */
START_TEST(other_entry_changes_nothing)
{
	relay_rig_t *r = with_flow();

	rr_entry_of(r, others[_i], "x", AGENT_A, 9, ENTRY_READY);
	check_untouched(r, 2);
	rr_entry_of(r, others[_i], "y", AGENT_A, 10, ENTRY_DRAINING);
	check_untouched(r, 3);
	rr_entry_gone(r, "x", 11);
	check_untouched(r, 4);
	rr_entry_gone(r, "y", 12);
	check_untouched(r, 5);
	rr_free(r);
}
END_TEST

/* Guards against resets by an entry that a peer of an earlier build took for a
 * target's, although nothing says when that one started. */
START_TEST(entry_without_start_resets_nothing)
{
	relay_rig_t *r = with_flow();

	rr_entry(r, "x", AGENT_A, 9, ENTRY_READY);
	check_untouched(r, 2);
	rr_free(r);
}
END_TEST

/* Guards against an entry of another writer that was there first, or comes
 * again between two writes of the target. */
START_TEST(live_target_takes_its_address)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 3);
	rr_entry_of(r, others[_i], "x", AGENT_A, 1, ENTRY_READY);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_load(r, AGENT_A, 0, 0, 10, 0);
	rr_entry_of(r, others[_i], "x", AGENT_A, 3, ENTRY_DRAINING);
	rr_entry(r, "a", AGENT_A, 4, ENTRY_READY);
	rr_clear(r);
	rr_from_caller(r, 2, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 1);
	rr_free(r);
}
END_TEST

/* Guards against an entry that is read before the routes, when nothing tells
 * which services there are. */
START_TEST(routes_settle_addresses)
{
	relay_rig_t *r = rr_balancer();

	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_entry_of(r, "old", "x", AGENT_A, 9, ENTRY_READY);
	rr_routes(r, 3);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 1);
	rr_free(r);
}
END_TEST

/* An address that another service takes over: its agent says so, and the flows
 * of the target before are reset, also while its entry is still there. */
START_TEST(agent_tells_who_is_there)
{
	relay_rig_t *r = with_flow();
	const rig_sent_t *s;
	relay_msg_t *msg;

	rr_entry_of(r, "maps", "m", AGENT_A, 9, ENTRY_READY);
	s = &r->sent[rr_last(r, RIG_MESSAGE, AGENT_A, RELAY_HELLO)];
	msg = relay_msg_unpack(s->buf, s->len);
	ck_assert_str_eq(msg->service, "maps");
	relay_msg_free(msg);
	rr_flow_message(r, AGENT_A, RELAY_LOAD, 0, "maps");
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_clear(r);
	rr_from_caller(r, 2, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 0);
	rr_free(r);
}
END_TEST

/* The same when nobody answers: the entry before has gone. */
START_TEST(gone_target_leaves_its_address)
{
	relay_rig_t *r = with_flow();

	rr_entry_of(r, "maps", "m", AGENT_A, 9, ENTRY_READY);
	rr_entry_gone(r, "a", 10);
	rr_clear(r);
	rr_from_caller(r, 2, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 0);
	rr_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("claims");
	TCase *tc = tcase_create("addresses");

	tcase_add_loop_test(tc, other_entry_changes_nothing, 0, 2);
	tcase_add_loop_test(tc, live_target_takes_its_address, 0, 2);
	tcase_add_test(tc, entry_without_start_resets_nothing);
	tcase_add_test(tc, routes_settle_addresses);
	tcase_add_test(tc, agent_tells_who_is_there);
	tcase_add_test(tc, gone_target_leaves_its_address);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
