/*
 * test_relay_state - routes and targets sent from balancer to balancer
 */

#include "relay_rig.h"
#include "relay_state.h"
#include "runner.h"

#define AGENT_A 0x0a010009u
#define AGENT_B 0x0a02000au

static GString *pack_state(relay_rig_t *r, uint64_t revision)
{
	GString *out = g_string_new(NULL);

	relay_state_pack(r->balancer, revision, out);
	return out;
}

static uint64_t apply_state(const GString *state, relay_rig_t *to)
{
	return relay_state_apply(to->balancer, to->now, state->str, state->len);
}

static bool is_offered_to(relay_rig_t *r, unsigned flow, uint32_t agent)
{
	rr_clear(r);
	rr_from_caller(r, flow, RELAY_SYN, 5, 0, 0);
	return rr_last(r, RIG_MESSAGE, agent, RELAY_OFFER) >= 0;
}

/* A balancer without routes and targets serves with the state of a peer. */
START_TEST(state_of_peer_is_applied)
{
	relay_rig_t *source = rr_balancer(), *fresh = rr_balancer();
	GString *state;

	rr_routes(source, 7);
	rr_entry(source, "a", AGENT_A, 20, ENTRY_READY);
	rr_entry(source, "b", AGENT_B, 21, ENTRY_DRAINING);
	state = pack_state(source, 30);
	ck_assert_uint_eq(apply_state(state, fresh), 30);
	ck_assert_uint_eq(relay_balancer_route_version(fresh->balancer), 7);
	ck_assert(is_offered_to(fresh, 1, AGENT_A));
	ck_assert(!is_offered_to(fresh, 2, AGENT_B));
	g_string_free(state, TRUE);
	rr_free(source);
	rr_free(fresh);
}
END_TEST

/* The state of a peer that is behind replaces no newer routes or entries. */
START_TEST(older_state_changes_nothing)
{
	relay_rig_t *old = rr_balancer(), *newer = rr_balancer();
	GString *state;

	rr_routes(old, 7);
	rr_entry(old, "a", AGENT_A, 20, ENTRY_READY);
	state = pack_state(old, 25);
	rr_routes(newer, 9);
	rr_entry(newer, "a", AGENT_A, 40, ENTRY_DRAINING);
	rr_entry(newer, "b", AGENT_B, 41, ENTRY_READY);
	apply_state(state, newer);
	ck_assert_uint_eq(relay_balancer_route_version(newer->balancer), 9);
	ck_assert(!is_offered_to(newer, 1, AGENT_A));
	ck_assert(is_offered_to(newer, 2, AGENT_B));
	g_string_free(state, TRUE);
	rr_free(old);
	rr_free(newer);
}
END_TEST

/* The state of a peer without routes has no effect; random bytes are refused.
 */
START_TEST(empty_or_invalid_state_is_refused)
{
	relay_rig_t *empty = rr_balancer(), *fresh = rr_balancer();
	GString *state = pack_state(empty, 0);
	uint32_t lcg = 1;
	char bytes[200];

	ck_assert_uint_eq(apply_state(state, fresh), 0);
	for (unsigned i = 0; i < 2000; i++) {
		for (unsigned j = 0; j < sizeof(bytes); j++) {
			lcg = lcg * 1664525 + 1013904223;
			bytes[j] = (char)(lcg >> 24);
		}
		relay_state_apply(fresh->balancer, fresh->now, bytes,
				  lcg % sizeof(bytes));
	}
	ck_assert_uint_eq(relay_balancer_route_version(fresh->balancer), 0);
	g_string_free(state, TRUE);
	rr_free(empty);
	rr_free(fresh);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay_state");
	TCase *tc = tcase_create("peers");

	tcase_add_test(tc, state_of_peer_is_applied);
	tcase_add_test(tc, older_state_changes_nothing);
	tcase_add_test(tc, empty_or_invalid_state_is_refused);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
