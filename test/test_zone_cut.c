/*
 * test_zone_cut - requests of callers while an availability zone is cut off
 *
 * The balancer is in the zone "here"; servers are there, in "far" and in
 * "third".
 */

#include "../src/zone_path.h"
#include "relay_rig.h"
#include "runner.h"
#include <glib.h>
#include <stdio.h>

#define AGENTS 4
#define HERE   0x0a010100u
#define FAR    0x0a020100u
#define THIRD  0x0a030100u
#define TICK   20

/* Decisions */

static const zone_sample_t cut_off = { .silent = 5, .heard_elsewhere_ms = 1 };

/* Passes the sample for ms. */
static void pass(zone_path_t *z, uint64_t *now, zone_sample_t s, uint64_t ms)
{
	for (uint64_t end = *now + ms; *now < end; *now += TICK) {
		s.heard_elsewhere_ms = s.heard_elsewhere_ms ? *now : 0;
		zone_path_update(z, *now, &s);
	}
}

START_TEST(silent_zone_is_cut_off)
{
	zone_path_t z = { 0 };
	uint64_t now = 1000;

	pass(&z, &now, cut_off, 200);
	ck_assert(!z.cut);
	pass(&z, &now, cut_off, 200);
	ck_assert(z.cut);
	pass(&z, &now,
	     (zone_sample_t){
		     .silent = 4, .answered = true, .heard_elsewhere_ms = 1 },
	     TICK);
	ck_assert(!z.cut);
}
END_TEST

typedef struct uncut_case {
	const char *what;
	zone_sample_t sample;
} uncut_case_t;

static const uncut_case_t uncut_cases[] = {
	{ "an agent answers",
	  { .silent = 9, .answered = true, .heard_elsewhere_ms = 1 } },
	{ "two servers failed", { .silent = 2, .heard_elsewhere_ms = 1 } },
	{ "planned stop",
	  { .silent = 5, .stopping = true, .heard_elsewhere_ms = 1 } },
	{ "the balancer itself is cut off", { .silent = 9 } },
};

START_TEST(other_silence_is_no_cut)
{
	const uncut_case_t *c = &uncut_cases[_i];
	zone_path_t z = { 0 };
	uint64_t now = 1000;

	pass(&z, &now, c->sample, 5000);
	ck_assert_msg(!z.cut, "%s", c->what);
}
END_TEST

/* One answer shows that detours work; several in vain, that they don't. */
START_TEST(zone_is_lost_when_detours_fail)
{
	zone_path_t z = { .cut = true };

	ck_assert(!zone_path_lost(&z, true));
	ck_assert(zone_path_lost(&z, false));
	zone_path_note_detour(&z, false);
	zone_path_note_detour(&z, false);
	zone_path_note_detour(&z, true);
	zone_path_note_detour(&z, false);
	zone_path_note_detour(&z, false);
	ck_assert(!zone_path_lost(&z, true));
	zone_path_note_detour(&z, false);
	ck_assert(zone_path_lost(&z, true));
	z.cut = false;
	ck_assert(!zone_path_lost(&z, false));
}
END_TEST

/* One balancer */

static void put_zone(relay_rig_t *r, const char *zone, uint32_t host)
{
	for (uint32_t i = 0; i < AGENTS; i++) {
		target_entry_t e = { .address = { host + i, 80 },
				     .slots = 2,
				     .revision = { .number = host + i } };

		snprintf(e.id, sizeof(e.id), "%s-%u", zone, i);
		e.service = "feeds";
		e.zone = g_intern_string(zone);
		directory_put(relay_balancer_directory(r->balancer), r->now,
			      &e);
	}
}

static void set_route(relay_rig_t *r, bool idempotent)
{
	route_share_t share = { .service = "feeds", .weight = 1 };
	route_t route = { .name = "r",
			  .address = RIG_SERVICE_ADDRESS,
			  .port = RIG_SERVICE_PORT,
			  .idempotent = idempotent,
			  .objective_ms = 100,
			  .shares = &share,
			  .nshares = 1 };
	route_table_t *t = route_table_new(1, 15000);

	ck_assert_int_eq(route_table_add(t, &route, NULL), 0);
	relay_balancer_set_routes(r->balancer, t);
}

/* Advances the clock; the agents of the zones named report their load. */
static void run(relay_rig_t *r, uint64_t ms, bool far, bool third)
{
	for (uint64_t end = r->now + ms; r->now < end; rr_advance(r, TICK))
		for (uint32_t i = 0; i < AGENTS; i++) {
			rr_load(r, HERE + i, 0, 0, 10, 0);
			if (far)
				rr_load(r, FAR + i, 0, 0, 10, 0);
			if (third)
				rr_load(r, THIRD + i, 0, 0, 10, 0);
		}
}

/* A balancer whose flows 1 to 9 are held by servers in "far". */
static relay_rig_t *with_flows(bool idempotent, bool has_third)
{
	relay_rig_t *r = rr_balancer();

	set_route(r, idempotent);
	put_zone(r, "far", FAR);
	for (unsigned i = 1; i < 10; i++) {
		rr_from_caller(r, i, RELAY_SYN, 5, 0, 0);
		rr_flow_message(r, FAR + i % AGENTS, RELAY_TAKEN, i, "feeds");
	}
	/* Further opens, so that each agent is in use. */
	for (unsigned i = 100; i < 130; i++)
		rr_from_caller(r, i, RELAY_SYN, 5, 0, 0);
	put_zone(r, "here", HERE);
	if (has_third)
		put_zone(r, "third", THIRD);
	run(r, 200, true, has_third);
	rr_clear(r);
	return r;
}

/* Sends a request on a flow again and again, as a caller without an answer. */
static void ask(relay_rig_t *r, unsigned flow, bool third)
{
	static const unsigned pauses_ms[] = { 200, 400, 800 };

	for (unsigned i = 0; i < 4; i++) {
		rr_from_caller(r, flow, RELAY_ACK, 6, 900, 100);
		if (i < 3)
			run(r, pauses_ms[i], false, third);
	}
}

/* Counts look-ups that agents of the third zone are to pass on to `holder`. */
static unsigned detours(const relay_rig_t *r, uint32_t holder)
{
	unsigned n = 0;

	for (size_t i = 0; i < r->nsent; i++) {
		const rig_sent_t *sent = &r->sent[i];
		relay_msg_t *msg;

		if (sent->to != RIG_MESSAGE || (sent->host & ~0xffu) != THIRD)
			continue;
		msg = relay_msg_unpack(sent->buf, sent->len);
		n += msg && msg->kind == RELAY_LOOKUP &&
		     msg->n_candidates == 1 && msg->candidates[0] == holder &&
		     msg->packet.len > 0;
		relay_msg_free(msg);
	}
	return n;
}

/* Two zones can't reach each other, a third reaches both: repeated requests
 * take the way by the third, and no flow is reset while answers arrive. */
START_TEST(detour_by_a_third_zone)
{
	relay_rig_t *r = with_flows(true, true);

	ask(r, 1, true);
	ck_assert_uint_ge(detours(r, FAR + 1), 2);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_clear(r);
	for (unsigned i = 0; i < 20; i++) {
		/* The answer has arrived: the next request acknowledges it. */
		rr_from_caller(r, 1, RELAY_ACK, 106 + 100 * i, 1000 + 100 * i,
			       100);
		run(r, 50, false, true);
	}
	ck_assert_uint_eq(detours(r, FAR + 1), 20);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* No packet takes a detour, and nothing is reset, while agents answer: a slow
 * server makes its callers ask again, too. */
START_TEST(no_detour_while_agents_answer)
{
	relay_rig_t *r = with_flows(true, true);

	for (unsigned i = 0; i < 4; i++) {
		rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
		run(r, 400, true, true);
	}
	ck_assert_uint_eq(detours(r, FAR + 1), 0);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* The zone can't be reached by any way: once detours were in vain, requests
 * that may run twice are reset at once, so that their callers ask elsewhere. */
START_TEST(lost_zone_resets_requests)
{
	relay_rig_t *r = with_flows(true, true);

	for (unsigned i = 1; i < 9; i++)
		rr_from_caller(r, i, RELAY_ACK, 6, 900, 100);
	run(r, 200, false, true);
	for (unsigned i = 1; i < 9; i++)
		rr_from_caller(r, i, RELAY_ACK, 6, 900, 100);
	run(r, 400, false, true);
	for (unsigned i = 1; i < 9; i++)
		rr_from_caller(r, i, RELAY_ACK, 6, 900, 100);
	run(r, 800, false, true);
	for (unsigned i = 1; i < 9; i++)
		rr_from_caller(r, i, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_ge(rr_count(r, RIG_CALLER, 0, 0), 5);
	rr_clear(r);
	rr_from_caller(r, 9, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	/* Reached again: nothing is reset any more. */
	run(r, 100, true, true);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, FAR + 1, RELAY_TAKEN, 1, "feeds");
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* Without a third zone the first request after the cut was noticed is reset. */
START_TEST(no_third_zone)
{
	relay_rig_t *r = with_flows(true, false);

	ask(r, 1, false);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_clear(r);
	rr_from_caller(r, 2, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* A request that may run once at most is never reset: it may have run. */
START_TEST(unsafe_requests_are_not_reset)
{
	relay_rig_t *r = with_flows(false, false);

	for (unsigned i = 1; i < 9; i++)
		ask(r, i, false);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* Opens go to no server of a zone that is cut off. */
START_TEST(no_opens_for_a_cut_zone)
{
	relay_rig_t *r = with_flows(true, true);
	unsigned offered = 0;

	run(r, 2500, false, true);
	rr_clear(r);
	for (unsigned i = 20; i < 60; i++)
		rr_from_caller(r, i, RELAY_SYN, 5, 0, 0);
	for (uint32_t i = 0; i < AGENTS; i++)
		offered += (unsigned)rr_count(r, RIG_MESSAGE, FAR + i,
					      RELAY_OFFER);
	ck_assert_uint_eq(offered, 0);
	rr_free(r);
}
END_TEST

/* A flow that is not known is looked up; agents of a lost zone are not waited
 * for, so that its caller asks elsewhere within its deadline. */
START_TEST(lookup_does_not_wait_for_a_lost_zone)
{
	relay_rig_t *r = with_flows(true, false);

	run(r, 2500, false, false);
	rr_clear(r);
	rr_from_caller(r, 30, RELAY_ACK, 6, 900, 100);
	/* The first chain has the agents of "here", silent ones come last. */
	rr_chain_not_held(r, HERE, 30, 1);
	run(r, 100, false, false);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("zone_cut");
	TCase *tc = tcase_create("decisions");

	tcase_add_test(tc, silent_zone_is_cut_off);
	tcase_add_loop_test(tc, other_silence_is_no_cut, 0,
			    sizeof(uncut_cases) / sizeof(uncut_cases[0]));
	tcase_add_test(tc, zone_is_lost_when_detours_fail);
	suite_add_tcase(s, tc);
	tc = tcase_create("balancer");
	tcase_add_test(tc, detour_by_a_third_zone);
	tcase_add_test(tc, no_detour_while_agents_answer);
	tcase_add_test(tc, lost_zone_resets_requests);
	tcase_add_test(tc, no_third_zone);
	tcase_add_test(tc, unsafe_requests_are_not_reset);
	tcase_add_test(tc, no_opens_for_a_cut_zone);
	tcase_add_test(tc, lookup_does_not_wait_for_a_lost_zone);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
