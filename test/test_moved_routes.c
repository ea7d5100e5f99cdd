/*
 * test_moved_routes - flows whose route names another service by now
 */

#include "relay_rig.h"
#include "relay_state.h"
#include "runner.h"
#include <stdio.h>
#include <string.h>

/* The route leads to "feeds" at first, and to "desk" or "hall" later. */
#define FEEDS	0x0a010001u
#define DESK	0x0a020001u
#define HALL	0x0a030001u
#define TARGETS 3
#define OTHER	2 /* number of a flow */

static void add_targets(relay_rig_t *r, const char *service, uint32_t host)
{
	char id[16];

	for (unsigned i = 0; i < TARGETS; i++) {
		snprintf(id, sizeof(id), "%s-%u", service, i);
		rr_entry_of(r, service, id, host + i, (host >> 8) + i,
			    ENTRY_READY);
	}
}

/* A configuration names all services, of which its route leads to one. */
static void route_to(relay_rig_t *r, uint64_t version, const char *service)
{
	static const char *const names[] = { "feeds", "desk", "hall" };
	route_share_t share = { g_intern_string(service), 1 };
	route_t route = { .name = "r",
			  .address = RIG_SERVICE_ADDRESS,
			  .port = RIG_SERVICE_PORT,
			  .idempotent = true,
			  .objective_ms = 100,
			  .shares = &share,
			  .nshares = 1 };
	route_table_t *t = route_table_new(version, 15000);

	ck_assert_int_eq(route_table_add(t, &route, NULL), 0);
	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		route_service_t named = { .name = g_intern_string(names[i]) };

		route_table_set_service(t, &named);
	}
	relay_balancer_set_routes(r->balancer, t);
}

/* All agents report their load, as running ones do at least each second. */
static void report_loads(relay_rig_t *r)
{
	static const uint32_t hosts[] = { FEEDS, DESK, HALL };

	for (size_t i = 0; i < sizeof(hosts) / sizeof(hosts[0]); i++)
		for (uint32_t t = 0; t < TARGETS; t++)
			rr_load(r, hosts[i] + t, 0, 0, 10, 0);
}

/* A balancer that has just started, and knows all targets but no routes. */
static relay_rig_t *fresh_balancer(void)
{
	relay_rig_t *r = rr_balancer();

	add_targets(r, "feeds", FEEDS);
	add_targets(r, "desk", DESK);
	add_targets(r, "hall", HALL);
	rr_clear(r);
	return r;
}

/*
 * True when the agents of a service were asked. Checks that their chain names
 * their service and has no agents of others.
 */
static bool was_asked(const relay_rig_t *r, const char *service, uint32_t host)
{
	bool asked = false;

	for (size_t i = 0; i < r->nsent; i++) {
		const rig_sent_t *sent = &r->sent[i];
		relay_msg_t *msg;

		if (sent->to != RIG_MESSAGE)
			continue;
		msg = relay_msg_unpack(sent->buf, sent->len);
		if (msg->kind == RELAY_LOOKUP &&
		    !strcmp(msg->service, service)) {
			asked = true;
			ck_assert_uint_lt(sent->host - host, TARGETS);
			for (size_t c = 0; c < msg->n_candidates; c++)
				ck_assert_uint_lt(msg->candidates[c] - host,
						  TARGETS);
		}
		relay_msg_free(msg);
	}
	return asked;
}

static void end_chain(relay_rig_t *r, unsigned flow, unsigned chain)
{
	rr_chain_not_held(r, FEEDS, flow, chain);
}

/* Ends chains until the look-up has asked a service. No reset comes before. */
static void look_up_until(relay_rig_t *r, unsigned flow, const char *service,
			  uint32_t host)
{
	for (unsigned chain = 1; !was_asked(r, service, host); chain++) {
		ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
		ck_assert_uint_ge(rr_count(r, RIG_MESSAGE, 0, RELAY_LOOKUP),
				  chain);
		end_chain(r, flow, chain);
	}
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
}

/* Tag of the last packet to an agent. */
static uint32_t last_tag(relay_rig_t *r, uint32_t host)
{
	int i = rr_last(r, RIG_AGENT, host, 0);
	relay_packet_t p;

	ck_assert_int_ge(i, 0);
	ck_assert_int_eq(
		fleet_packet_format.read(r->sent[i].buf, r->sent[i].len, &p),
		0);
	return p.annotation;
}

static size_t asked_agents(const relay_rig_t *r)
{
	size_t asked = 0;

	for (size_t i = 0; i < r->nsent; i++) {
		relay_msg_t *msg;

		if (r->sent[i].to != RIG_MESSAGE)
			continue;
		msg = relay_msg_unpack(r->sent[i].buf, r->sent[i].len);
		if (msg->kind == RELAY_LOOKUP)
			asked += 1 + msg->n_candidates;
		relay_msg_free(msg);
	}
	return asked;
}

/* A balancer that started after the change knows no older configuration. It
 * finds the flow at a server that no route names any more, and its packets
 * carry that server's service. */
START_TEST(flow_of_unnamed_service_is_found)
{
	relay_rig_t *r = fresh_balancer();

	route_to(r, 2, "desk");
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	ck_assert(was_asked(r, "desk", DESK));
	ck_assert_uint_eq(asked_agents(r), TARGETS);
	look_up_until(r, 1, "feeds", FEEDS);
	rr_flow_message(r, FEEDS + 1, RELAY_HELD, 1, "feeds");
	rr_from_caller(r, 1, RELAY_ACK, 106, 900, 100);
	ck_assert_uint_eq(last_tag(r, FEEDS + 1), service_tag("feeds"));
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* A flow that no agent holds is reset once all agents of all services have
 * said so, and each was asked once. */
START_TEST(reset_follows_all_answers)
{
	relay_rig_t *r = fresh_balancer();

	route_to(r, 2, "desk");
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	for (unsigned chain = 1; chain <= 3; chain++) {
		ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
		end_chain(r, 1, chain);
	}
	ck_assert_uint_eq(asked_agents(r), 3 * TARGETS);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* Where nothing has moved, no agent of another service is asked. */
START_TEST(unmoved_flow_asks_its_service_only)
{
	relay_rig_t *r = fresh_balancer();

	route_to(r, 2, "desk");
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_flow_message(r, DESK + 1, RELAY_HELD, 1, "desk");
	rr_from_caller(r, 1, RELAY_ACK, 106, 900, 100);
	ck_assert_uint_eq(asked_agents(r), TARGETS);
	ck_assert_uint_eq(last_tag(r, DESK + 1), service_tag("desk"));
	rr_free(r);
}
END_TEST

/* An agent of the present service that does not answer must not keep the
 * agents of other services from being asked, and forbids a reset. */
START_TEST(silent_agent_does_not_hide_other_services)
{
	relay_rig_t *r = fresh_balancer();

	route_to(r, 2, "desk");
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	rr_advance(r, 300);
	ck_assert_uint_eq(asked_agents(r), 3 * TARGETS);
	end_chain(r, 1, 2);
	end_chain(r, 1, 3);
	rr_advance(r, 3000);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* A packet of the older service that an agent gives back, since its server does
 * not hold the flow, is looked up at all others. */
START_TEST(returned_packet_is_looked_up)
{
	relay_rig_t *r = fresh_balancer();
	uint8_t buf[RELAY_PACKET_MAX];
	relay_msg_t back;

	route_to(r, 1, "feeds");
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, FEEDS, RELAY_TAKEN, 1, "feeds");
	route_to(r, 2, "desk");
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_eq(last_tag(r, FEEDS), service_tag("feeds"));
	rr_clear(r);
	relay_msg_init(&back, RELAY_GIVEN_BACK);
	back.service = (char *)"feeds";
	back.packet.data = buf;
	back.packet.len = rr_packet(buf, 1, RELAY_ACK, 6, 900, 100);
	relay_balancer_handle_message(r->balancer, r->now, FEEDS, &back);
	look_up_until(r, 1, "feeds", FEEDS);
	rr_flow_message(r, FEEDS + 2, RELAY_HELD, 1, "feeds");
	rr_from_caller(r, 1, RELAY_ACK, 106, 900, 100);
	ck_assert_uint_eq(last_tag(r, FEEDS + 2), service_tag("feeds"));
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* Several changes within a flow's life, with a version without the route. While
 * it is dropped, its opens and flows are refused; afterwards the flows of all
 * services are found. */
START_TEST(route_is_dropped_and_back)
{
	static const struct {
		const char *service;
		uint32_t host;
	} holders[] = { { "feeds", FEEDS },
			{ "desk", DESK },
			{ "hall", HALL } };
	relay_rig_t *r = fresh_balancer();

	route_to(r, 1, "feeds");
	route_to(r, 2, "desk");
	rr_route_to(r, 3, NULL, 0);
	rr_from_caller(r, OTHER, RELAY_SYN, 5, 0, 0);
	rr_from_caller(r, OTHER, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 2);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_OFFER), 0);
	rr_clear(r);
	route_to(r, 4, "hall");
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	look_up_until(r, 1, holders[_i].service, holders[_i].host);
	rr_free(r);
}
END_TEST

/* A service whose weight is 0 gets no opens, but is asked like the others. */
START_TEST(service_without_weight_is_asked)
{
	relay_rig_t *r = fresh_balancer();
	route_share_t shares[] = { { "feeds", 1 }, { "desk", 1 } };

	rr_route_to(r, 1, shares, 2);
	shares[0].weight = 0;
	rr_route_to(r, 2, shares, 2);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	end_chain(r, 1, 1);
	ck_assert(was_asked(r, "feeds", FEEDS));
	ck_assert(was_asked(r, "desk", DESK));
	ck_assert_uint_eq(asked_agents(r), 2 * TARGETS);
	rr_from_caller(r, OTHER, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_ge(rr_last(r, RIG_MESSAGE, 0, RELAY_OFFER), 0);
	for (unsigned i = 0; i < TARGETS; i++)
		ck_assert_int_lt(
			rr_last(r, RIG_MESSAGE, FEEDS + i, RELAY_OFFER), 0);
	rr_free(r);
}
END_TEST

/* A flow idle at the balancer that opened it: its packets go to its server
 * without a look-up, although the route has moved. Once the balancer has
 * forgotten it, a look-up finds it. */
START_TEST(idle_flow_stays_at_its_server)
{
	relay_rig_t *r = fresh_balancer();

	route_to(r, 1, "feeds");
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	rr_flow_message(r, FEEDS, RELAY_TAKEN, 1, "feeds");
	route_to(r, 2, "desk");
	rr_advance(r, 29000);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	ck_assert_uint_eq(last_tag(r, FEEDS), service_tag("feeds"));
	ck_assert_uint_eq(asked_agents(r), 0);
	rr_advance(r, 32000);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 106, 900, 100);
	look_up_until(r, 1, "feeds", FEEDS);
	rr_free(r);
}
END_TEST

/*
 * A balancer that has seen all versions asks the services that the route named
 * before, and no other. While the store does not answer, a newer version may be
 * in force elsewhere: then it asks all.
 */
START_TEST(complete_history_limits_lookup)
{
	relay_rig_t *r = fresh_balancer();
	bool answers = _i == 0;

	route_to(r, 1, "feeds");
	rr_advance(r, 70100);
	report_loads(r);
	add_targets(r, "feeds", FEEDS);
	route_to(r, 2, "desk");
	if (!answers)
		directory_store_unreachable(
			relay_balancer_directory(r->balancer), r->now);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	end_chain(r, 1, 1);
	ck_assert(was_asked(r, "feeds", FEEDS));
	ck_assert(!was_asked(r, "hall", HALL));
	end_chain(r, 1, 2);
	ck_assert_int_eq(was_asked(r, "hall", HALL), !answers);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), answers ? 1 : 0);
	rr_free(r);
}
END_TEST

/* A listing shows the newest version only: one that was in force before it may
 * have named any service. */
START_TEST(skipped_version_widens_lookup)
{
	relay_rig_t *r = fresh_balancer();
	directory_t *d = relay_balancer_directory(r->balancer);

	route_to(r, 1, "desk");
	rr_advance(r, 70100);
	report_loads(r);
	directory_resync_begin(d, LISTING_STORE);
	route_to(r, 3, "desk");
	directory_resync_end(d, LISTING_STORE, r->now,
			     (store_revision_t){ .number = 1 });
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	end_chain(r, 1, 1);
	ck_assert(was_asked(r, "feeds", FEEDS));
	ck_assert(was_asked(r, "hall", HALL));
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* Guards against a reset of an open flow by a balancer that reads the routes
 * before its first tick: it does not know which services were named before. */
START_TEST(routes_are_read_before_the_first_tick)
{
	static const relay_balancer_ops_t ops = { 0 };
	relay_balancer_options_t options = { .format = &fleet_packet_format,
					     .zone = "z",
					     .max_flows = 10,
					     .target_expiry_ms = 3000,
					     .now = 100000 };
	static relay_rig_t rig; /* too large for the stack */
	relay_balancer_t *b = relay_balancer_new(&options, &ops, NULL);

	rig.balancer = b;
	route_to(&rig, 2, "desk");
	ck_assert(!route_history_complete(relay_balancer_route_history(b),
					  options.now));
	relay_balancer_free(b);
}
END_TEST

/* A balancer that starts after the change gets the former services, and the
 * time for which all are known, from a peer. */
START_TEST(peer_hands_history_on)
{
	relay_rig_t *peer = fresh_balancer(), *r = rr_balancer();
	GString *state = g_string_new(NULL);

	route_to(peer, 1, "feeds");
	rr_advance(peer, 70100);
	route_to(peer, 2, "desk");
	add_targets(peer, "feeds", FEEDS);
	relay_state_pack(peer->balancer, peer->now,
			 (store_revision_t){ .number = 9 }, state);
	relay_state_apply(r->balancer, r->now, state->str, state->len);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	ck_assert(was_asked(r, "desk", DESK));
	end_chain(r, 1, 1);
	ck_assert(was_asked(r, "feeds", FEEDS));
	end_chain(r, 1, 2);
	ck_assert(!was_asked(r, "hall", HALL));
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	g_string_free(state, TRUE);
	rr_free(r);
	rr_free(peer);
}
END_TEST

/* Targets and routes that become known during a look-up are considered before a
 * reset. */
START_TEST(changes_during_lookup)
{
	relay_rig_t *r = rr_balancer();

	add_targets(r, "desk", DESK);
	route_to(r, 2, "desk");
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	ck_assert(was_asked(r, "desk", DESK));
	add_targets(r, "feeds", FEEDS);
	end_chain(r, 1, 1);
	ck_assert(was_asked(r, "feeds", FEEDS));
	add_targets(r, "hall", HALL);
	route_to(r, 3, "hall");
	end_chain(r, 1, 2);
	ck_assert(was_asked(r, "hall", HALL));
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	ck_assert_uint_eq(asked_agents(r), 3 * TARGETS);
	end_chain(r, 1, 3);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* No flow is reset while the first listing has not ended. */
START_TEST(first_listing_in_progress)
{
	relay_rig_t *r = rr_balancer();

	directory_resync_begin(relay_balancer_directory(r->balancer),
			       LISTING_STORE);
	route_to(r, 2, "desk");
	add_targets(r, "desk", DESK);
	rr_clear(r);
	rr_from_caller(r, 1, RELAY_ACK, 6, 900, 100);
	end_chain(r, 1, 1);
	ck_assert_uint_eq(rr_count(r, RIG_CALLER, 0, 0), 0);
	rr_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("moved_routes");
	TCase *tc = tcase_create("look-ups");

	tcase_add_test(tc, flow_of_unnamed_service_is_found);
	tcase_add_test(tc, reset_follows_all_answers);
	tcase_add_test(tc, unmoved_flow_asks_its_service_only);
	tcase_add_test(tc, silent_agent_does_not_hide_other_services);
	tcase_add_test(tc, returned_packet_is_looked_up);
	tcase_add_loop_test(tc, route_is_dropped_and_back, 0, 3);
	tcase_add_test(tc, service_without_weight_is_asked);
	tcase_add_test(tc, idle_flow_stays_at_its_server);
	tcase_add_loop_test(tc, complete_history_limits_lookup, 0, 2);
	tcase_add_test(tc, skipped_version_widens_lookup);
	tcase_add_test(tc, routes_are_read_before_the_first_tick);
	tcase_add_test(tc, peer_hands_history_on);
	tcase_add_test(tc, changes_during_lookup);
	tcase_add_test(tc, first_listing_in_progress);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
