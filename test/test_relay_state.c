/*
 * test_relay_state - routes and targets from balancer to balancer
 */

#include "relay_rig.h"
#include "relay_state.h"
#include "runner.h"

#define AGENT_A 0x0a010009u
#define AGENT_B 0x0a02000au

static GString *state_of(relay_rig_t *r, uint64_t revision)
{
	GString *out = g_string_new(NULL);

	relay_state_write(r->balancer, revision, out);
	return out;
}

static uint64_t give(const GString *state, relay_rig_t *to)
{
	return relay_state_read(to->balancer, to->now, state->str, state->len);
}

static bool opens_at(relay_rig_t *r, unsigned flow, uint32_t agent)
{
	rr_clear(r);
	rr_from_caller(r, flow, RELAY_SYN, 5, 0, 0);
	return rr_last(r, RIG_MESSAGE, agent, RELAY_OFFER) >= 0;
}

/* A balancer that knows nothing serves with what a peer knows. */
START_TEST(a_peer_tells_all)
{
	relay_rig_t *knows = rr_balancer(), *starts = rr_balancer();
	GString *state;

	rr_routes(knows, 7);
	rr_entry(knows, "a", AGENT_A, 20, ENTRY_READY);
	rr_entry(knows, "b", AGENT_B, 21, ENTRY_DRAINING);
	state = state_of(knows, 30);
	ck_assert_uint_eq(give(state, starts), 30);
	ck_assert_uint_eq(relay_balancer_version(starts->balancer), 7);
	ck_assert(opens_at(starts, 1, AGENT_A));
	ck_assert(!opens_at(starts, 2, AGENT_B));
	g_string_free(state, TRUE);
	rr_free(knows);
	rr_free(starts);
}
END_TEST

/* A peer that knows less takes nothing back. */
START_TEST(an_older_peer_changes_nothing)
{
	relay_rig_t *old = rr_balancer(), *newer = rr_balancer();
	GString *state;

	rr_routes(old, 7);
	rr_entry(old, "a", AGENT_A, 20, ENTRY_READY);
	state = state_of(old, 25);
	rr_routes(newer, 9);
	rr_entry(newer, "a", AGENT_A, 40, ENTRY_DRAINING);
	rr_entry(newer, "b", AGENT_B, 41, ENTRY_READY);
	give(state, newer);
	ck_assert_uint_eq(relay_balancer_version(newer->balancer), 9);
	ck_assert(!opens_at(newer, 1, AGENT_A));
	ck_assert(opens_at(newer, 2, AGENT_B));
	g_string_free(state, TRUE);
	rr_free(old);
	rr_free(newer);
}
END_TEST

/* One that has nothing itself is of no help, and garbage is refused. */
START_TEST(nothing_is_no_state)
{
	relay_rig_t *empty = rr_balancer(), *starts = rr_balancer();
	GString *state = state_of(empty, 0);
	uint32_t luck = 1;
	char bytes[200];

	ck_assert_uint_eq(give(state, starts), 0);
	for (unsigned i = 0; i < 2000; i++) {
		for (unsigned j = 0; j < sizeof(bytes); j++) {
			luck = luck * 1664525 + 1013904223;
			bytes[j] = (char)(luck >> 24);
		}
		relay_state_read(starts->balancer, starts->now, bytes,
				 luck % sizeof(bytes));
	}
	ck_assert_uint_eq(relay_balancer_version(starts->balancer), 0);
	g_string_free(state, TRUE);
	rr_free(empty);
	rr_free(starts);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay_state");
	TCase *tc = tcase_create("peers");

	tcase_add_test(tc, a_peer_tells_all);
	tcase_add_test(tc, an_older_peer_changes_nothing);
	tcase_add_test(tc, nothing_is_no_state);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
