/*
 * test_relay_mechanisms - what breaks when a mechanism of the relay is disabled
 *
 * Each case tells whether a promise holds. It must hold with all mechanisms and
 * must not hold without the one that the case is for (relay_mechanism.h).
 */

#include "placement.h"
#include "relay_mechanism.h"
#include "relay_state.h"
#include "runner.h"
#include "server_pace.h"
#include "watcher_rig.h"
#include <string.h>

#define AGENT_A	   0x0a010009u
#define AGENT_B	   0x0a02000au
#define SETTLE_MS  400
#define SILENCE_MS 2000
#define APPLY_MS   500
#define BORN	   1700000000000ULL

static bool is_offered_to(relay_rig_t *r, unsigned flow, uint32_t agent)
{
	rr_clear(r);
	rr_from_caller(r, flow, RELAY_SYN, 5, 0, 0);
	return rr_last(r, RIG_MESSAGE, agent, RELAY_OFFER) >= 0;
}

/* A change at a revision that the store gives out again is seen. */
static bool restored_store_is_listed(void)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);
	bool holds;

	wr_start(r);
	wr_run(r, SETTLE_MS);
	fake_store_copy(r->store);
	wr_put_target(r, "c", "10.1.0.3", "ready", BORN, 1);
	wr_run(r, SETTLE_MS);
	fake_store_restore(r->store, true);
	wr_put_target(r, "a", "10.1.0.1", "draining", BORN, 2);
	wr_run(r, SETTLE_MS + APPLY_MS);
	holds = wr_state(r, "a") == ENTRY_DRAINING;
	wr_close(r);
	return holds;
}

static bool older_entry_changes_nothing(void)
{
	relay_rig_t *r = rr_balancer();
	bool holds;

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 40, ENTRY_DRAINING);
	rr_entry(r, "a", AGENT_A, 20, ENTRY_READY);
	holds = !is_offered_to(r, 1, AGENT_A);
	rr_free(r);
	return holds;
}

static bool other_service_gets_no_packet(void)
{
	relay_rig_t *r = rr_agent(false);
	uint8_t buf[RELAY_PACKET_MAX];
	size_t len = rr_packet(buf, 1, RELAY_ACK, 6, 9, 10);
	relay_packet_t p;
	bool holds;

	fleet_packet_format.read(buf, len, &p);
	fleet_packet_format.annotate(&p, 0, service_tag("maps"));
	relay_agent_handle_packet(r->agent, r->now, RIG_BALANCER_ADDRESS, buf,
				  len);
	holds = rr_count(r, RIG_SERVER, 0, 0) == 0;
	rr_free(r);
	return holds;
}

static bool entry_lapsed_in_outage_takes_opens(void)
{
	relay_rig_t *r = rr_balancer();
	bool holds;

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	directory_store_unreachable(relay_balancer_directory(r->balancer),
				    r->now);
	rr_entry_gone(r, "a", 3);
	holds = is_offered_to(r, 1, AGENT_A);
	rr_free(r);
	return holds;
}

static bool stopping_agent_takes_no_open(void)
{
	relay_rig_t *r = rr_agent(false);
	bool holds;

	relay_agent_stop(r->agent, r->now);
	rr_clear(r);
	rr_offer(r, RIG_BALANCER_ADDRESS, 1, 5, NULL, 0);
	holds = rr_count(r, RIG_SERVER, 0, 0) == 0 &&
		rr_last(r, RIG_MESSAGE, RIG_BALANCER_ADDRESS, RELAY_REFUSED) >=
			0;
	rr_free(r);
	return holds;
}

/* A target that a peer does not list any more takes no opens. */
static bool state_of_peer_is_complete(void)
{
	relay_rig_t *peer = rr_balancer(), *r = rr_balancer();
	GString *state = g_string_new(NULL);
	bool holds;

	rr_routes(peer, 1);
	rr_entry(peer, "b", AGENT_B, 9, ENTRY_READY);
	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	relay_state_pack(peer->balancer, peer->now,
			 (store_revision_t){ .number = 9 }, state);
	relay_state_apply(r->balancer, r->now, state->str, state->len);
	holds = !is_offered_to(r, 1, AGENT_A) && is_offered_to(r, 2, AGENT_B);
	g_string_free(state, TRUE);
	rr_free(peer);
	rr_free(r);
	return holds;
}

static bool lost_history_is_listed(void)
{
	watcher_rig_t *r = wr_open(SILENCE_MS, APPLY_MS);
	bool holds;

	wr_start(r);
	wr_run(r, SETTLE_MS);
	fake_store_set_fault(r->store, STORE_RESET);
	fake_store_put(r->store, "servers/c", TARGET("10.1.0.3"));
	fake_store_compact(r->store);
	fake_store_set_fault(r->store, STORE_OK);
	wr_run(r, 1500);
	holds = wr_state(r, "c") == ENTRY_READY;
	wr_close(r);
	return holds;
}

/* An open that an agent did not answer may have run: no reset. */
static bool unanswered_open_is_not_refused(void)
{
	relay_rig_t *r = rr_balancer();
	bool holds;

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_advance(r, 200);
	rr_from_caller(r, 1, RELAY_SYN, 5, 1, 0);
	rr_advance(r, 200);
	holds = rr_count(r, RIG_CALLER, 0, 0) == 0;
	rr_free(r);
	return holds;
}

/* Two servers took copies of an open: packets go to the first. */
static bool first_holder_counts(void)
{
	relay_rig_t *r = rr_balancer();
	bool holds;

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	rr_entry(r, "b", AGENT_B, 3, ENTRY_READY);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 1, "feeds");
	rr_flow_message(r, AGENT_B, RELAY_TAKEN, 1, "feeds");
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 9, 10);
	holds = rr_last(r, RIG_AGENT, AGENT_A, 0) >= 0;
	rr_free(r);
	return holds;
}

static bool errors_are_told_by_their_speed(void)
{
	return placement_too_fast(2, 40);
}

/* A server that has just started is told apart by the pace that its agent
 * reports, not by its published warm-up. */
static bool started_target_costs_more(void)
{
	placement_aggregate_t g = { 20, 0.05, 0, true };
	placement_member_t warm = { .has_report = true,
				    .slots = 2,
				    .avg_in_flight = 1,
				    .in_flight = 1 };
	placement_member_t started = warm;
	server_pace_t pace = { 0 };

	server_pace_begin(&pace, 1000);
	if (server_pace_reported(&pace, 1000))
		started.paced_slots =
			server_pace_allowed(&pace, 1000, started.slots);
	return placement_cost(&started, &g) > placement_cost(&warm, &g);
}

/* Among equal targets, more than two thirds of the opens stay in the zone. */
static bool opens_stay_in_the_zone(void)
{
	relay_rig_t *r = rr_balancer();
	target_entry_t far = { .id = "b",
			       .service = "feeds",
			       .zone = "elsewhere",
			       .address = { AGENT_B, 8080 },
			       .slots = 2,
			       .state = ENTRY_READY,
			       .revision = { .number = 3 } };
	unsigned near = 0, n = 0;

	rr_routes(r, 1);
	rr_entry(r, "a", AGENT_A, 2, ENTRY_READY);
	directory_put(relay_balancer_directory(r->balancer), r->now, &far);
	for (; n < 100; n++) {
		near += is_offered_to(r, n, AGENT_A);
		rr_advance(r, 3000);
	}
	rr_free(r);
	return near * 3 > n * 2;
}

static bool high_priority_waits_longer(void)
{
	return placement_max_wait(100, 1) > placement_max_wait(100, 0);
}

static const struct {
	relay_mechanism_t mechanism;
	bool (*holds)(void);
} cases[] = {
	{ RELAY_ERA_ORDER, restored_store_is_listed },
	{ RELAY_REVISION_ORDER, older_entry_changes_nothing },
	{ RELAY_SERVICE_TAG, other_service_gets_no_packet },
	{ RELAY_OUTAGE_GRACE, entry_lapsed_in_outage_takes_opens },
	{ RELAY_STOP_REFUSAL, stopping_agent_takes_no_open },
	{ RELAY_PEER_RESYNC, state_of_peer_is_complete },
	{ RELAY_HISTORY_RESYNC, lost_history_is_listed },
	{ RELAY_TRUE_REFUSAL, unanswered_open_is_not_refused },
	{ RELAY_HOLDER_PRECEDENCE, first_holder_counts },
	{ RELAY_TOO_FAST, errors_are_told_by_their_speed },
	{ RELAY_PACE, started_target_costs_more },
	{ RELAY_ZONE_PREFERENCE, opens_stay_in_the_zone },
	{ RELAY_PRIORITY, high_priority_waits_longer },
};

START_TEST(promise_holds)
{
	relay_mechanisms_off = 0;
	ck_assert(cases[_i].holds());
}
END_TEST

START_TEST(promise_needs_mechanism)
{
	relay_mechanisms_off = 1U << cases[_i].mechanism;
	ck_assert(!cases[_i].holds());
}
END_TEST

int main(void)
{
	const int n = sizeof(cases) / sizeof(cases[0]);
	Suite *s = suite_create("relay_mechanisms");
	TCase *tc = tcase_create("mechanisms");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, promise_holds, 0, n);
	tcase_add_loop_test(tc, promise_needs_mechanism, 0, n);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
