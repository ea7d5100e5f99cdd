/*
 * test_evacuated_zone - availability zones that get no new flows: balancers,
 * agents, and what balancers tell each other
 */

#include "evacuation.h"
#include "relay_mechanism.h"
#include "relay_state.h"
#include "runner.h"
#include "relay_rig.h"
#include <stdio.h>
#include <string.h>

#define AGENT_A	     0x0a010009u
#define AGENT_B	     0x0a02000au
#define BALANCER     0x0a010005u
#define OTHER_AGENT  0x0a02000bu
#define ISN	     5000u
#define ZONE_A	     "z-a"
#define ZONE_B	     "z-b"
#define AT(era, rev) ((store_revision_t){ era, rev })

static void put_entry(relay_rig_t *r, const char *id, uint32_t host,
		      const char *zone, uint64_t number)
{
	target_entry_t e = { .service = "feeds",
			     .address = { host, 8080 },
			     .slots = 2,
			     .state = ENTRY_READY,
			     .write_number = number,
			     .revision = { .number = number } };

	snprintf(e.id, sizeof(e.id), "%s", id);
	e.zone = g_intern_string(zone);
	directory_put(relay_balancer_directory(r->balancer), r->now, &e);
}

static void evacuate(relay_rig_t *r, const char *zone, uint64_t number)
{
	evacuations_put(relay_balancer_evacuations(r->balancer), r->now, zone,
			AT(0, number));
}

static void take_back(relay_rig_t *r, const char *zone, uint64_t number)
{
	evacuations_remove(relay_balancer_evacuations(r->balancer), r->now,
			   zone, AT(0, number));
}

/* A balancer with agent A in ZONE_A and agent B in ZONE_B. */
static relay_rig_t *two_zones(void)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	put_entry(r, "a", AGENT_A, ZONE_A, 2);
	put_entry(r, "b", AGENT_B, ZONE_B, 3);
	rr_clear(r);
	return r;
}

/* True when any offer since the last rr_clear() names the agent, as receiver or
 * further candidate. */
static bool is_named(relay_rig_t *r, uint32_t agent)
{
	bool named = false;

	for (size_t i = 0; i < r->nsent; i++) {
		relay_msg_t *msg;

		if (r->sent[i].to != RIG_MESSAGE)
			continue;
		msg = relay_msg_unpack(r->sent[i].buf, r->sent[i].len);
		if (msg->kind == RELAY_OFFER) {
			named |= r->sent[i].host == agent;
			for (size_t j = 0; j < msg->n_candidates; j++)
				named |= msg->candidates[j] == agent;
		}
		relay_msg_free(msg);
	}
	return named;
}

static void open_many(relay_rig_t *r, unsigned first)
{
	rr_clear(r);
	for (unsigned i = 0; i < 20; i++)
		rr_from_caller(r, first + i, RELAY_SYN, 5, 0, 0);
}

/* What the last hello to an agent says: 'E'vacuated, 'T'akes opens, '-'
 * nothing, '0' no hello. */
static char last_told(relay_rig_t *r, uint32_t agent)
{
	int at = rr_last(r, RIG_MESSAGE, agent, RELAY_HELLO);
	relay_msg_t *msg;
	char told;

	if (at < 0)
		return '0';
	msg = relay_msg_unpack(r->sent[at].buf, r->sent[at].len);
	told = !msg->evacuation ? '-' : msg->evacuation->active ? 'E' : 'T';
	relay_msg_free(msg);
	return told;
}

static void report(relay_rig_t *r, uint32_t agent, bool evacuated)
{
	relay_load_t load;
	relay_msg_t msg;

	ct__relay__load__init(&load);
	load.evacuated = evacuated;
	relay_msg_init(&msg, RELAY_LOAD);
	msg.load = &load;
	relay_balancer_handle_message(r->balancer, r->now, agent, &msg);
}

/* No open is offered to an agent of an evacuated zone, neither first nor as a
 * further candidate, until the zone is taken back. */
START_TEST(evacuated_zone_gets_no_offer)
{
	relay_rig_t *r = two_zones();

	open_many(r, 0);
	ck_assert(is_named(r, AGENT_A) && is_named(r, AGENT_B));
	evacuate(r, ZONE_A, 10);
	open_many(r, 100);
	ck_assert(!is_named(r, AGENT_A) && is_named(r, AGENT_B));
	take_back(r, ZONE_A, 11);
	open_many(r, 200);
	ck_assert(is_named(r, AGENT_A));
	rr_free(r);
}
END_TEST

/* A server that is down is probed with an open; not in an evacuated zone. */
START_TEST(evacuated_zone_gets_no_probe)
{
	relay_rig_t *r = two_zones();

	evacuate(r, ZONE_A, 10);
	rr_load(r, AGENT_A, 0, 0, 20, 500);
	rr_advance(r, 1500);
	rr_load(r, AGENT_A, 0, 0, 20, 2000);
	open_many(r, 0);
	ck_assert(!is_named(r, AGENT_A));
	rr_free(r);
}
END_TEST

/* All targets are in evacuated zones: the caller is told at once. */
START_TEST(all_zones_evacuated)
{
	relay_rig_t *r = two_zones();

	rr_advance(r, DIRECTORY_GRACE_MS);
	evacuate(r, ZONE_A, 10);
	evacuate(r, ZONE_B, 11);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_OFFER), 0);
	take_back(r, ZONE_B, 12);
	rr_from_caller(r, 2, RELAY_SYN, 5, 0, 0);
	ck_assert(is_named(r, AGENT_B) && !is_named(r, AGENT_A));
	rr_free(r);
}
END_TEST

/* Packets of open flows still go to an evacuated zone, and no flow is reset. */
START_TEST(open_flows_stay)
{
	relay_rig_t *r = two_zones();

	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, AGENT_A, RELAY_TAKEN, 1, "feeds");
	evacuate(r, ZONE_A, 10);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, AGENT_A, 0), 1);
	rr_advance(r, 5000);
	rr_from_caller(r, 1, RELAY_ACK, 106, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, AGENT_A, 0), 2);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	/* A flow whose holder isn't known may be there, too. */
	rr_from_caller(r, 2, RELAY_ACK, 6, 900, 100);
	rr_advance(r, 250);
	rr_flow_message(r, AGENT_B, RELAY_NOT_HELD, 2, "feeds");
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_flow_message(r, AGENT_A, RELAY_HELD, 2, "feeds");
	rr_from_caller(r, 2, RELAY_ACK, 106, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_AGENT, AGENT_A, 0), 3);
	rr_free(r);
}
END_TEST

/* An open that waits at an agent is not offered there again after its zone was
 * evacuated: the agent is told instead. */
START_TEST(repeated_open_is_not_offered_again)
{
	relay_rig_t *r = two_zones();

	rr_load(r, AGENT_A, 9, 9, 40, 0);
	rr_load(r, AGENT_B, 20, 20, 40, 0);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_int_ge(rr_last(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 0);
	rr_flow_message(r, AGENT_A, RELAY_QUEUED, 1, "feeds");
	evacuate(r, ZONE_A, 10);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_OFFER), 0);
	ck_assert_int_eq(last_told(r, AGENT_A), 'E');
	rr_clear(r);
	rr_flow_message(r, AGENT_A, RELAY_REFUSED, 1, "feeds");
	ck_assert(is_named(r, AGENT_B) && !is_named(r, AGENT_A));
	rr_free(r);
}
END_TEST

/* Agents are told at once, again while their reports disagree, and rarely
 * after that; the same when the zone is taken back. A zone that was never
 * evacuated is not mentioned. */
START_TEST(agents_are_told)
{
	relay_rig_t *r = two_zones();

	rr_advance(r, 1000);
	ck_assert_int_eq(last_told(r, AGENT_B), '-');
	rr_clear(r);
	evacuate(r, ZONE_A, 10);
	ck_assert_int_eq(last_told(r, AGENT_A), 'E');
	ck_assert_int_eq(last_told(r, AGENT_B), '0');
	rr_clear(r);
	rr_advance(r, 2000);
	ck_assert_uint_ge(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_HELLO), 3);
	report(r, AGENT_A, true);
	rr_clear(r);
	rr_advance(r, 20000);
	ck_assert_uint_ge(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_HELLO), 4);
	ck_assert_int_eq(last_told(r, AGENT_A), 'E');
	rr_clear(r);
	take_back(r, ZONE_A, 11);
	ck_assert_int_eq(last_told(r, AGENT_A), 'T');
	rr_clear(r);
	rr_advance(r, 700);
	ck_assert_int_eq(last_told(r, AGENT_A), 'T');
	rr_free(r);
}
END_TEST

/* A balancer that has not heard of the evacuation leaves an agent out whose
 * report says that it was told. */
START_TEST(report_of_agent_is_heeded)
{
	relay_rig_t *r = two_zones();

	report(r, AGENT_A, true);
	open_many(r, 0);
	ck_assert(!is_named(r, AGENT_A) && is_named(r, AGENT_B));
	report(r, AGENT_A, false);
	open_many(r, 100);
	ck_assert(is_named(r, AGENT_A));
	rr_free(r);
}
END_TEST

/* A target that moves into an evacuated zone, or out of it, without any other
 * change. */
START_TEST(target_moves_between_zones)
{
	relay_rig_t *r = two_zones();

	evacuate(r, ZONE_A, 10);
	put_entry(r, "a", AGENT_A, ZONE_B, 11);
	open_many(r, 0);
	ck_assert(is_named(r, AGENT_A));
	put_entry(r, "b", AGENT_B, ZONE_A, 12);
	open_many(r, 100);
	ck_assert(is_named(r, AGENT_A) && !is_named(r, AGENT_B));
	rr_free(r);
}
END_TEST

/* A target that starts in an evacuated zone gets no open either. */
START_TEST(new_target_in_evacuated_zone)
{
	relay_rig_t *r = two_zones();

	evacuate(r, ZONE_A, 10);
	rr_clear(r);
	put_entry(r, "c", OTHER_AGENT, ZONE_A, 12);
	ck_assert_int_eq(last_told(r, OTHER_AGENT), 'E');
	open_many(r, 0);
	ck_assert(!is_named(r, OTHER_AGENT));
	rr_free(r);
}
END_TEST

static void tell(relay_rig_t *r, uint32_t balancer, bool active,
		 store_revision_t revision)
{
	relay_evacuation_t told;
	relay_msg_t msg;

	ct__relay__evacuation__init(&told);
	told.active = active;
	told.era = revision.era;
	told.revision = revision.number;
	relay_msg_init(&msg, RELAY_HELLO);
	msg.service = (char *)"feeds";
	msg.slots = 2;
	msg.evacuation = &told;
	relay_agent_handle_message(r->agent, r->now, balancer, &msg);
}

/* Offers the agent an open that it may pass on; returns true when its server
 * gets it. */
static bool delivers(relay_rig_t *r, unsigned flow)
{
	uint32_t other = OTHER_AGENT;

	rr_clear(r);
	rr_offer(r, BALANCER, flow, 5, &other, 1);
	return rr_count(r, RIG_SERVER, 0, 0) > 0;
}

/* An agent that was told turns opens down, whoever offers them, and passes them
 * on if it can. */
START_TEST(agent_turns_opens_down)
{
	relay_rig_t *r = rr_agent(true);

	ck_assert(delivers(r, 1));
	tell(r, BALANCER, true, AT(1, 10));
	ck_assert(!delivers(r, 2));
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, OTHER_AGENT, RELAY_OFFER),
			  1);
	rr_offer(r, OTHER_AGENT, 3, 5, NULL, 0);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_REFUSED), 1);
	ck_assert_uint_eq(
		relay_agent_counters(r->agent)->values[COUNTER_OPENS_EVACUATED],
		2);
	tell(r, BALANCER, false, AT(1, 11));
	ck_assert(delivers(r, 4));
	rr_free(r);
}
END_TEST

/* A balancer that is behind does not take the evacuation back. */
START_TEST(agent_keeps_to_the_newer_word)
{
	relay_rig_t *r = rr_agent(true);

	tell(r, BALANCER, true, AT(1, 10));
	tell(r, BALANCER + 1, false, AT(1, 9));
	ck_assert(!delivers(r, 1));
	tell(r, BALANCER + 1, false, AT(0, 99));
	ck_assert(!delivers(r, 2));
	tell(r, BALANCER + 1, false, AT(2, 3));
	ck_assert(delivers(r, 3));
	tell(r, BALANCER, true, AT(1, 10));
	ck_assert(delivers(r, 4));
	/* Messages of earlier versions say nothing of it. */
	tell(r, BALANCER, true, AT(2, 8));
	rr_hello(r, BALANCER + 1, 2);
	ck_assert(!delivers(r, 5));
	rr_free(r);
}
END_TEST

/* Opens in the agent's queue are refused, undelivered, at once. */
START_TEST(agent_empties_its_queue)
{
	relay_rig_t *r = rr_agent(true);

	rr_hello(r, BALANCER, 2);
	for (unsigned flow = 0; flow < 10; flow++) {
		rr_offer(r, BALANCER, flow, 5, NULL, 0);
		rr_from_server(r, flow, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
		rr_from_balancer(r, BALANCER, flow, RELAY_ACK, 6, ISN + 1, 100,
				 0);
	}
	for (unsigned flow = 50; flow < 53; flow++)
		rr_offer_queue(r, BALANCER, flow, 5, 1000);
	ck_assert_uint_gt(relay_agent_queue(r->agent)->n, 0);
	rr_clear(r);
	tell(r, BALANCER, true, AT(1, 10));
	ck_assert_uint_eq(relay_agent_queue(r->agent)->n, 0);
	ck_assert_uint_gt(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_REFUSED), 0);
	rr_clear(r);
	rr_offer_queue(r, BALANCER, 60, 5, 1000);
	rr_advance(r, 1000);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* Flows of an evacuated zone go on, both ways, and a repeated open of one is
 * answered again. */
START_TEST(agent_keeps_its_flows)
{
	relay_rig_t *r = rr_agent(true);

	rr_offer(r, BALANCER, 1, 5, NULL, 0);
	rr_from_server(r, 1, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	tell(r, BALANCER, true, AT(1, 10));
	rr_clear(r);
	rr_from_balancer(r, BALANCER, 1, RELAY_ACK, 6, ISN + 1, 100, 0);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	rr_from_server(r, 1, RELAY_ACK, ISN + 1, 106, 500);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_offer(r, BALANCER, 1, 5, NULL, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_TAKEN), 1);
	rr_free(r);
}
END_TEST

/* The report says so; an evacuation of which no balancer speaks any more ends.
 */
START_TEST(agent_reports_and_forgets)
{
	relay_rig_t *r = rr_agent(true);
	relay_msg_t *msg;
	int at;

	tell(r, BALANCER, true, AT(1, 10));
	at = rr_last(r, RIG_MESSAGE, BALANCER, RELAY_LOAD);
	msg = relay_msg_unpack(r->sent[at].buf, r->sent[at].len);
	ck_assert(msg->load->evacuated);
	relay_msg_free(msg);
	for (unsigned i = 0; i < 5; i++) {
		rr_clear(r);
		rr_advance(r, 15000);
		tell(r, BALANCER, true, AT(1, 10));
	}
	ck_assert(!delivers(r, 1));
	rr_clear(r);
	rr_advance(r, 21000);
	ck_assert(delivers(r, 2));
	rr_free(r);
}
END_TEST

static store_revision_t pass_state(relay_rig_t *from, relay_rig_t *to,
				   store_revision_t revision)
{
	GString *out = g_string_new(NULL);

	relay_state_pack(from->balancer, from->now, revision, out);
	revision = relay_state_apply(to->balancer, to->now, out->str, out->len);
	g_string_free(out, TRUE);
	return revision;
}

/* A balancer that starts, or can't reach the store, takes evacuations from a
 * peer, and that one was taken back. */
START_TEST(peers_tell_evacuations)
{
	relay_rig_t *source = two_zones(), *fresh = rr_balancer();

	evacuate(source, ZONE_A, 10);
	pass_state(source, fresh, AT(0, 20));
	open_many(fresh, 0);
	ck_assert(!is_named(fresh, AGENT_A) && is_named(fresh, AGENT_B));
	ck_assert_uint_eq(evacuations_revision(
				  relay_balancer_evacuations(fresh->balancer))
				  .number,
			  20);
	take_back(source, ZONE_A, 21);
	evacuate(source, ZONE_B, 22);
	pass_state(source, fresh, AT(0, 30));
	open_many(fresh, 100);
	ck_assert(is_named(fresh, AGENT_A) && !is_named(fresh, AGENT_B));
	rr_free(source);
	rr_free(fresh);
}
END_TEST

/* A peer that is behind, or in an earlier era, changes nothing. */
START_TEST(older_state_of_peer)
{
	relay_rig_t *old = two_zones(), *newer = two_zones();

	evacuate(old, ZONE_B, 5);
	evacuate(newer, ZONE_A, 10);
	evacuations_resync_begin(relay_balancer_evacuations(newer->balancer),
				 LISTING_STORE);
	evacuations_put(relay_balancer_evacuations(newer->balancer), newer->now,
			ZONE_A, AT(0, 10));
	evacuations_resync_end(relay_balancer_evacuations(newer->balancer),
			       LISTING_STORE, newer->now, AT(0, 12));
	pass_state(old, newer, AT(0, 8));
	open_many(newer, 0);
	ck_assert(!is_named(newer, AGENT_A) && is_named(newer, AGENT_B));
	rr_free(old);
	rr_free(newer);
}
END_TEST

/* A peer in a later era that lacks the evacuation: it is kept for a bounded
 * time, and a third balancer learns that it is doubted. */
START_TEST(peer_in_later_era)
{
	relay_rig_t *earlier = two_zones(), *later = two_zones();
	relay_rig_t *third = rr_balancer();

	evacuate(earlier, ZONE_A, 10);
	pass_state(later, earlier, AT(1, 6));
	open_many(earlier, 0);
	ck_assert(!is_named(earlier, AGENT_A));
	rr_advance(earlier, EVACUATION_UNCONFIRMED_MS - 2000);
	pass_state(earlier, third, AT(1, 7));
	open_many(third, 0);
	ck_assert(!is_named(third, AGENT_A));
	rr_advance(third, 4000);
	open_many(third, 100);
	ck_assert(is_named(third, AGENT_A));
	rr_free(earlier);
	rr_free(later);
	rr_free(third);
}
END_TEST

/* A peer of an earlier version tells nothing of evacuations: what is known
 * stays, and nothing counts as listed. */
START_TEST(state_of_earlier_version)
{
	relay_rig_t *r = two_zones();
	Ct__Relay__State state = CT__RELAY__STATE__INIT;
	uint8_t buf[64];
	size_t len;

	evacuate(r, ZONE_A, 10);
	state.revision = 30;
	state.version = 1;
	len = ct__relay__state__pack(&state, buf);
	relay_state_apply(r->balancer, r->now, (const char *)buf, len);
	ck_assert(evacuations_active(relay_balancer_evacuations(r->balancer),
				     ZONE_A));
	ck_assert(store_revision_none(
		evacuations_revision(relay_balancer_evacuations(r->balancer))));
	rr_free(r);
}
END_TEST

/* The ramp of a server that has just started passes opens on, too; without it
 * the tests see what the agent decides for this reason only. */
static void pace_off(void)
{
	relay_mechanisms_off = 1U << RELAY_PACE;
}

static void all_on(void)
{
	relay_mechanisms_off = 0;
}

int main(void)
{
	Suite *s = suite_create("evacuated_zone");
	TCase *balancer = tcase_create("balancer");
	TCase *agent = tcase_create("agent"), *peers = tcase_create("peers");

	tcase_add_test(balancer, evacuated_zone_gets_no_offer);
	tcase_add_test(balancer, evacuated_zone_gets_no_probe);
	tcase_add_test(balancer, all_zones_evacuated);
	tcase_add_test(balancer, open_flows_stay);
	tcase_add_test(balancer, repeated_open_is_not_offered_again);
	tcase_add_test(balancer, agents_are_told);
	tcase_add_test(balancer, report_of_agent_is_heeded);
	tcase_add_test(balancer, target_moves_between_zones);
	tcase_add_test(balancer, new_target_in_evacuated_zone);
	suite_add_tcase(s, balancer);
	tcase_add_checked_fixture(agent, pace_off, all_on);
	tcase_add_test(agent, agent_turns_opens_down);
	tcase_add_test(agent, agent_keeps_to_the_newer_word);
	tcase_add_test(agent, agent_empties_its_queue);
	tcase_add_test(agent, agent_keeps_its_flows);
	tcase_add_test(agent, agent_reports_and_forgets);
	suite_add_tcase(s, agent);
	tcase_add_test(peers, peers_tell_evacuations);
	tcase_add_test(peers, older_state_of_peer);
	tcase_add_test(peers, peer_in_later_era);
	tcase_add_test(peers, state_of_earlier_version);
	suite_add_tcase(s, peers);
	return run_suite(s);
}
