/*
 * test_warmup_limit - opens of cold backend servers: the sliding window, the
 * agent, what balancers tell, and the platform's documents
 */

#include "fleet_items.h"
#include "relay_mechanism.h"
#include "relay_rig.h"
#include "relay_settings.h"
#include "relay_state.h"
#include "runner.h"
#include "warmup_limit.h"
#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>

#define AGENT_A	 0x0a010009u
#define AGENT_B	 0x0a02000au
#define BALANCER 0x0a010005u
#define ISN	 5000u
/* What a cold server bears a second, and the bound that follows for the
 * overage of 1.5 and the slack of 5. */
#define PER_S 4.0
#define BOUND 11u

/* the window */

/* Offers an open each ms, as all balancers together might; returns the greatest
 * number delivered in any second. */
static unsigned most_in_a_second(warmup_limit_t *w, uint64_t from, uint64_t to)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	unsigned most = 0, first = 0;

	for (uint64_t now = from; now < to; now++) {
		if (!warmup_limit_has_room(w, now))
			continue;
		warmup_limit_add(w, now);
		g_array_append_val(times, now);
		while (g_array_index(times, uint64_t, first) + 1000 < now)
			first++;
		most = MAX(most, times->len - first);
	}
	g_array_free(times, TRUE);
	return most;
}

/* The bound holds in each span of a second, not only in whole ones, and the
 * server gets what it bears. */
START_TEST(bound_holds_in_any_second)
{
	warmup_limit_t w;

	warmup_limit_init(&w, 1000, true);
	warmup_limit_set(&w, 1000, BOUND, 5000);
	ck_assert_uint_eq(most_in_a_second(&w, 1000, 5990), BOUND);
	/* Warm again. */
	ck_assert(!warmup_limit_is_cold(&w, 6000));
	ck_assert_uint_gt(most_in_a_second(&w, 6000, 6500), 100);
}
END_TEST

/* Opens before the server is known to be cold count. */
START_TEST(window_reaches_back)
{
	warmup_limit_t w;

	warmup_limit_init(&w, 1000, true);
	for (uint64_t now = 1000; now < 1020; now++)
		warmup_limit_add(&w, now);
	warmup_limit_set(&w, 1020, BOUND, 5000);
	ck_assert(!warmup_limit_has_room(&w, 1900));
	ck_assert(warmup_limit_has_room(&w, 1020 + WARMUP_WINDOW_MS));
}
END_TEST

/* The agent restarted: what was delivered before isn't known. */
START_TEST(restart_takes_window_for_full)
{
	warmup_limit_t w;

	warmup_limit_init(&w, 1000, false);
	ck_assert(warmup_limit_has_room(&w, 1001));
	warmup_limit_set(&w, 1001, BOUND, 5000);
	ck_assert(!warmup_limit_has_room(&w, 1999));
	ck_assert(warmup_limit_has_room(&w, 1000 + WARMUP_WINDOW_MS));
}
END_TEST

/* Bounds at both ends: 0 is none, and a great one is cut to the ring. */
START_TEST(least_and_greatest_bound)
{
	warmup_limit_t w;

	warmup_limit_init(&w, 1000, true);
	warmup_limit_set(&w, 1000, 0, 5000);
	ck_assert_uint_gt(most_in_a_second(&w, 1000, 2000), 900);
	warmup_limit_init(&w, 1000, true);
	warmup_limit_set(&w, 1000, 1, 5000);
	ck_assert_uint_eq(most_in_a_second(&w, 1000, 5000), 1);
	warmup_limit_init(&w, 1000, true);
	warmup_limit_set(&w, 1000, UINT32_MAX, 5000);
	ck_assert_uint_eq(most_in_a_second(&w, 1000, 5000), WARMUP_OPENS_MAX);
}
END_TEST

/* Balancers read the entry at different times: the latest end counts. */
START_TEST(latest_end_counts)
{
	warmup_limit_t w;

	warmup_limit_init(&w, 1000, true);
	warmup_limit_set(&w, 1000, BOUND, 3000);
	warmup_limit_set(&w, 1100, BOUND, 1000);
	ck_assert(warmup_limit_is_cold(&w, 3999));
	ck_assert(!warmup_limit_is_cold(&w, 4000));
}
END_TEST

/* the agent */

/* Offers an open that says that the server is cold; queue_ms as in the message.
 */
static void offer_cold(relay_rig_t *r, unsigned flow, uint32_t queue_ms,
		       const uint32_t *candidate)
{
	uint8_t buf[RELAY_PACKET_MAX];
	relay_msg_t msg;

	relay_msg_init(&msg, RELAY_OFFER);
	msg.service = (char *)"feeds";
	msg.balancer = BALANCER + flow % 5;
	msg.packet.data = buf;
	msg.packet.len = rr_packet(buf, flow, RELAY_SYN, 5, 0, 0);
	msg.candidates = (uint32_t *)candidate;
	msg.n_candidates = candidate != NULL;
	msg.queue_ms = queue_ms;
	msg.slots = 64;
	msg.warmup_opens = BOUND;
	msg.cold_ms = 2000;
	relay_agent_handle_message(r->agent, r->now, msg.balancer, &msg);
}

/* All balancers offer at once: the server gets what it bears, the others go on
 * to the next candidate or are refused. */
START_TEST(agent_bounds_all_balancers_together)
{
	relay_rig_t *r = rr_agent(true);
	uint32_t other = AGENT_B;

	for (unsigned flow = 0; flow < 40; flow++)
		offer_cold(r, flow, 0, &other);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), BOUND);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_B, RELAY_OFFER),
			  40 - BOUND);
	offer_cold(r, 50, 0, NULL);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_REFUSED), 1);
	ck_assert_uint_eq(
		relay_agent_counters(r->agent)->values[COUNTER_OPENS_LIMITED],
		41 - BOUND);
	rr_clear(r);
	rr_advance(r, 1100);
	for (unsigned flow = 100; flow < 140; flow++)
		offer_cold(r, flow, 0, NULL);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), BOUND);
	rr_free(r);
}
END_TEST

/* Opens that wait in the queue keep to the bound, too. */
START_TEST(agent_bounds_its_queue)
{
	relay_rig_t *r = rr_agent(true);

	for (unsigned flow = 0; flow < 2 * BOUND + 6; flow++) {
		offer_cold(r, flow, 1200, NULL);
		if (rr_count(r, RIG_SERVER, 0, 0) > flow)
			rr_from_server(r, flow, RELAY_SYN | RELAY_ACK, ISN, 6,
				       0);
	}
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), BOUND);
	rr_advance(r, 950);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), BOUND);
	rr_advance(r, 150);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 2 * BOUND);
	rr_free(r);
}
END_TEST

/* A repeated open is delivered again, but is no further one; one that the
 * server returned has reached it. */
START_TEST(agent_counts_opens_once)
{
	relay_rig_t *r = rr_agent(true);

	for (unsigned flow = 0; flow < BOUND - 1; flow++)
		offer_cold(r, flow, 0, NULL);
	for (unsigned i = 0; i < 5; i++)
		offer_cold(r, 0, 0, NULL);
	offer_cold(r, 100, 0, NULL);
	rr_returned(r, 100, RELAY_SYN, 5, 0, 0);
	rr_clear(r);
	offer_cold(r, 101, 0, NULL);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	rr_free(r);
}
END_TEST

/* The agent restarts while its server is cold. */
START_TEST(restarted_agent_waits)
{
	relay_rig_t *r = rr_agent(false);

	offer_cold(r, 1, 0, NULL);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	rr_advance(r, 1100);
	offer_cold(r, 2, 0, NULL);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* The report says that there is no room; packets of open flows pass. */
START_TEST(agent_reports_full_window)
{
	relay_rig_t *r = rr_agent(true);
	relay_msg_t *msg;
	int at;

	for (unsigned flow = 0; flow < BOUND; flow++)
		offer_cold(r, flow, 0, NULL);
	rr_from_server(r, 0, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	at = rr_last(r, RIG_MESSAGE, 0, RELAY_TAKEN);
	msg = relay_msg_unpack(r->sent[at].buf, r->sent[at].len);
	ck_assert(msg->load->warmup_full);
	relay_msg_free(msg);
	rr_clear(r);
	rr_from_balancer(r, BALANCER, 0, RELAY_ACK, 6, ISN + 1, 100, 0);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* The agent accepts no more flows than its server may hold; ended and idle ones
 * don't count. */
START_TEST(agent_bounds_flows)
{
	relay_rig_t *r = rr_agent(true);
	relay_msg_t hello;

	relay_msg_init(&hello, RELAY_HELLO);
	hello.service = (char *)"feeds";
	hello.slots = 64;
	hello.max_flows = 3;
	relay_agent_handle_message(r->agent, r->now, BALANCER, &hello);
	for (unsigned flow = 0; flow < 3; flow++) {
		rr_offer(r, BALANCER, flow, 5, NULL, 0);
		rr_from_server(r, flow, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	}
	rr_clear(r);
	rr_offer_queue(r, BALANCER, 10, 5, 1000);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, BALANCER, RELAY_REFUSED), 1);
	rr_from_server(r, 0, RELAY_RST, ISN + 1, 6, 0);
	rr_offer(r, BALANCER, 11, 5, NULL, 0);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	rr_from_server(r, 11, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	rr_clear(r);
	rr_advance(r, 16000);
	rr_clear(r);
	rr_offer(r, BALANCER, 12, 5, NULL, 0);
	ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), 1);
	rr_free(r);
}
END_TEST

/* the balancer */

#define ROUTES(version, per_s)                                                 \
	"{\"version\":" version ",\"routes\":[{\"name\":\"r\",\"host\":"       \
	"\"198.18.0.1\",\"prefix\":\"/443/\",\"route_type\":\"safe\","         \
	"\"service\":\"feeds\"}],\"services\":[{\"name\":\"feeds\","           \
	"\"health_path\":\"/health\",\"max_conns\":2000,\"warmup_s\":2.5,"     \
	"\"warmup_per_s\":" per_s "}]}"

static relay_rig_t *balancer_with(const char *routes)
{
	relay_rig_t *r = rr_new_balancer(1.5, 5);

	relay_balancer_set_routes(
		r->balancer, fleet_read_routes(routes, strlen(routes), NULL));
	return r;
}

static void put_entry(relay_rig_t *r, const char *id, uint32_t host,
		      uint64_t number, uint32_t warmup_ms)
{
	target_entry_t e = { .service = "feeds",
			     .zone = "z",
			     .address = { host, 8080 },
			     .slots = 2,
			     .state = ENTRY_READY,
			     .warmup_ms = warmup_ms,
			     .write_number = number,
			     .revision = { .number = number } };

	snprintf(e.id, sizeof(e.id), "%s", id);
	directory_put(relay_balancer_directory(r->balancer), r->now, &e);
}

/* Offers an open that says what a server bears after a start. */
static void offer_start(relay_rig_t *r, unsigned flow)
{
	uint8_t buf[RELAY_PACKET_MAX];
	relay_msg_t msg;

	relay_msg_init(&msg, RELAY_OFFER);
	msg.service = (char *)"feeds";
	msg.balancer = BALANCER;
	msg.packet.data = buf;
	msg.packet.len = rr_packet(buf, flow, RELAY_SYN, 5, 0, 0);
	msg.slots = 64;
	msg.start_opens = BOUND;
	msg.start_cold_ms = 2000;
	relay_agent_handle_message(r->agent, r->now, BALANCER, &msg);
}

/* Guards against a server that has just started again and gets all that it bore
 * before, until balancers have read in its entry that it is cold (0). One that
 * was only silent is warm (1). */
START_TEST(started_server_is_bounded_before_its_entry)
{
	relay_rig_t *r = rr_agent(true);

	offer_start(r, 1);
	rr_from_server(r, 1, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	rr_advance(r, 100);
	if (_i == 0)
		relay_agent_server_refused(r->agent, r->now);
	rr_advance(r, 1500);
	offer_start(r, 2);
	rr_from_server(r, 2, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	rr_clear(r);
	for (unsigned flow = 10; flow < 50; flow++) {
		offer_start(r, flow);
		rr_from_server(r, flow, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	}
	if (_i == 0)
		ck_assert_uint_eq(rr_count(r, RIG_SERVER, 0, 0), BOUND - 1);
	else
		ck_assert_uint_gt(rr_count(r, RIG_SERVER, 0, 0), BOUND);
	rr_free(r);
}
END_TEST

/* Guards against opens that count at a time at which no server ran: one that
 * starts takes their copies, too, and gets more than it bears. */
START_TEST(copies_for_a_started_server_count)
{
	relay_rig_t *r = rr_agent(true);

	offer_start(r, 1);
	rr_from_server(r, 1, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	rr_advance(r, 100);
	for (unsigned flow = 10; flow < 10 + BOUND; flow++)
		offer_start(r, flow);
	relay_agent_server_refused(r->agent, r->now);
	rr_advance(r, 900);
	offer_start(r, 2);
	rr_from_server(r, 2, RELAY_SYN | RELAY_ACK, ISN, 6, 0);
	rr_clear(r);
	for (unsigned flow = 10; flow < 10 + BOUND; flow++)
		offer_start(r, flow);
	rr_advance(r, 200);
	for (unsigned flow = 50; flow < 90; flow++)
		offer_start(r, flow);
	ck_assert_uint_le(rr_count(r, RIG_SERVER, 0, 0), BOUND - 1);
	rr_free(r);
}
END_TEST

/* The last message of a kind to an agent; released with relay_msg_free(). */
static relay_msg_t *last_message(relay_rig_t *r, uint32_t agent,
				 relay_kind_t kind)
{
	int at = rr_last(r, RIG_MESSAGE, agent, kind);

	ck_assert_int_ge(at, 0);
	return relay_msg_unpack(r->sent[at].buf, r->sent[at].len);
}

static uint32_t opens_told(relay_rig_t *r, relay_kind_t kind)
{
	relay_msg_t *msg = last_message(r, AGENT_A, kind);
	uint32_t opens = msg->warmup_opens;

	relay_msg_free(msg);
	return opens;
}

/* Each offer and hello to a cold target tells the bound; none to a warm one. */
START_TEST(bound_is_told)
{
	relay_rig_t *r = balancer_with(ROUTES("1", "4.0"));
	relay_msg_t *msg;

	put_entry(r, "a", AGENT_A, 2, 2000);
	ck_assert_uint_eq(opens_told(r, RELAY_HELLO), BOUND);
	msg = last_message(r, AGENT_A, RELAY_HELLO);
	ck_assert_uint_eq(msg->max_flows, 2000);
	ck_assert_uint_eq(msg->cold_ms, 2000);
	relay_msg_free(msg);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(opens_told(r, RELAY_OFFER), BOUND);
	rr_advance(r, 2100);
	rr_from_caller(r, 2, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(opens_told(r, RELAY_OFFER), 0);
	msg = last_message(r, AGENT_A, RELAY_OFFER);
	ck_assert_uint_eq(msg->start_opens, BOUND);
	ck_assert_uint_gt(msg->start_cold_ms, 0);
	relay_msg_free(msg);
	rr_free(r);
}
END_TEST

/* 0 requests a second mean that there is no bound. */
START_TEST(zero_is_no_bound)
{
	relay_rig_t *r = balancer_with(ROUTES("1", "0.0"));

	put_entry(r, "a", AGENT_A, 2, 2000);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(opens_told(r, RELAY_HELLO), 0);
	ck_assert_uint_eq(opens_told(r, RELAY_OFFER), 0);
	rr_free(r);
}
END_TEST

/* A target that becomes cold without a restart: its agent hears of it. */
START_TEST(target_becomes_cold)
{
	relay_rig_t *r = balancer_with(ROUTES("1", "4.0"));

	put_entry(r, "a", AGENT_A, 2, 0);
	ck_assert_uint_eq(opens_told(r, RELAY_HELLO), 0);
	rr_advance(r, 1000);
	put_entry(r, "a", AGENT_A, 3, 1500);
	ck_assert_uint_eq(opens_told(r, RELAY_HELLO), BOUND);
	rr_free(r);
}
END_TEST

/* A zone is taken back: its targets are taken to be cold before their entries
 * say so. */
START_TEST(zone_taken_back_is_cold)
{
	relay_rig_t *r = balancer_with(ROUTES("1", "4.0"));
	evacuations_t *s = relay_balancer_evacuations(r->balancer);

	put_entry(r, "a", AGENT_A, 2, 0);
	evacuations_put(s, r->now, "z", (store_revision_t){ 0, 3 });
	rr_advance(r, 5000);
	evacuations_remove(s, r->now, "z", (store_revision_t){ 0, 4 });
	ck_assert_uint_eq(opens_told(r, RELAY_HELLO), BOUND);
	rr_from_caller(r, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(opens_told(r, RELAY_OFFER), BOUND);
	rr_advance(r, 2600);
	rr_from_caller(r, 2, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(opens_told(r, RELAY_OFFER), 0);
	rr_free(r);
}
END_TEST

/* Placement leaves out a cold server whose window is full, while the report is
 * new; an open that finds no other room may wait there. */
START_TEST(full_window_is_avoided)
{
	relay_rig_t *r = balancer_with(ROUTES("1", "4.0"));
	relay_load_t load;
	relay_msg_t msg;

	put_entry(r, "a", AGENT_A, 2, 2000);
	put_entry(r, "b", AGENT_B, 3, 0);
	ct__relay__load__init(&load);
	load.warmup_full = true;
	relay_msg_init(&msg, RELAY_LOAD);
	msg.load = &load;
	relay_balancer_handle_message(r->balancer, r->now, AGENT_A, &msg);
	rr_clear(r);
	for (unsigned flow = 0; flow < 20; flow++)
		rr_from_caller(r, flow, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, AGENT_A, RELAY_OFFER), 0);
	relay_balancer_handle_message(r->balancer, r->now, AGENT_B, &msg);
	rr_clear(r);
	rr_from_caller(r, 50, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(rr_count(r, RIG_MESSAGE, 0, RELAY_OFFER), 1);
	rr_free(r);
}
END_TEST

/* A balancer that starts takes limits and the rest of the warm-up from a peer.
 */
START_TEST(peers_tell_limits)
{
	relay_rig_t *source = balancer_with(ROUTES("1", "4.0"));
	relay_rig_t *fresh = rr_new_balancer(1.5, 5);
	GString *state = g_string_new(NULL);

	put_entry(source, "a", AGENT_A, 2, 2000);
	relay_state_pack(source->balancer, source->now,
			 (store_revision_t){ 0, 5 }, state);
	relay_state_apply(fresh->balancer, fresh->now, state->str, state->len);
	rr_from_caller(fresh, 1, RELAY_SYN, 5, 0, 0);
	ck_assert_uint_eq(opens_told(fresh, RELAY_OFFER), BOUND);
	g_string_free(state, TRUE);
	rr_free(source);
	rr_free(fresh);
}
END_TEST

/* documents and settings */

START_TEST(services_are_read)
{
	static const char bad[] =
		"{\"version\":2,\"routes\":[],\"services\":[{\"name\":\"a\","
		"\"max_conns\":7},{\"name\":\"b\",\"warmup_per_s\":\"x\"},"
		"{\"name\":\"c\",\"warmup_s\":-1},3,{\"name\":\"d\","
		"\"warmup_s\":1e9,\"warmup_per_s\":3}]}";
	static const char other[] =
		"{\"version\":2,\"routes\":[],\"services\":\"none\"}";
	const char *text = ROUTES("1", "4.5");
	route_table_t *t = fleet_read_routes(text, strlen(text), NULL);
	const route_service_t *s = route_table_service(t, "feeds");

	ck_assert_uint_eq(s->max_flows, 2000);
	ck_assert_uint_eq(s->warmup_ms, 2500);
	ck_assert_double_eq(s->warmup_per_s, 4.5);
	ck_assert_ptr_null(route_table_service(t, "maps"));
	route_table_unref(t);
	t = fleet_read_routes(bad, strlen(bad), NULL);
	ck_assert_uint_eq(route_table_service(t, "a")->max_flows, 7);
	ck_assert_ptr_null(route_table_service(t, "b"));
	ck_assert_ptr_null(route_table_service(t, "c"));
	ck_assert_uint_eq(route_table_service(t, "d")->warmup_ms, 3600000);
	route_table_unref(t);
	t = fleet_read_routes(other, strlen(other), NULL);
	ck_assert_ptr_nonnull(t);
	route_table_unref(t);
}
END_TEST

static int load_settings(const char *keys, relay_settings_t *s, err_t *err)
{
	g_autofree char *file = NULL;
	g_autofree char *text = g_strdup_printf(
		"name = \"n\"\nzone = \"z\"\naddress = \"10.1.0.1\"\n"
		"packets = \"10.1.0.1:1\"\nready = \"10.1.0.1:2\"\n"
		"internal_port = 3\nplatform = \"10.0.0.1:9\"\n"
		"apply_ms = 4000\n%s",
		keys);
	int fd = g_file_open_tmp("settings-XXXXXX", &file, NULL), ret;

	ck_assert_int_ge(fd, 0);
	g_close(fd, NULL);
	g_file_set_contents(file, text, -1, NULL);
	ret = relay_settings_load(file, RELAY_ROLE_BALANCER, s, err);
	remove(file);
	return ret;
}

/* Earlier deployments have none of the keys: nothing is bounded. */
START_TEST(settings_of_bounds)
{
	relay_settings_t s, other;
	err_t err;

	ck_assert_int_eq(load_settings("", &s, &err), 0);
	ck_assert_uint_eq(s.evacuate_ms, 4000);
	ck_assert_double_eq(s.warmup_overage, 0);
	ck_assert_int_eq(load_settings("evacuate_ms = 3000\n"
				       "warmup_overage = 1.5\n"
				       "warmup_slack = 5\n",
				       &other, &err),
			 0);
	ck_assert_uint_eq(other.evacuate_ms, 3000);
	ck_assert_double_eq(other.warmup_overage, 1.5);
	ck_assert_uint_eq(other.warmup_slack, 5);
	ck_assert(!relay_settings_equal(&s, &other));
	ck_assert_int_eq(load_settings("warmup_overage = 2\n", &s, &err), 0);
	ck_assert_double_eq(s.warmup_overage, 2);
	ck_assert_int_lt(load_settings("warmup_overage = -1\n", &s, &err), 0);
	ck_assert_int_eq(err.kind, ERR_RANGE);
	ck_assert_int_eq(err.line, 9);
	ck_assert_int_lt(load_settings("warmup_overage = \"2\"\n", &s, &err),
			 0);
	ck_assert_int_eq(err.kind, ERR_TYPE);
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
	Suite *s = suite_create("warmup_limit");
	TCase *window = tcase_create("window"), *agent = tcase_create("agent");
	TCase *balancer = tcase_create("balancer");
	TCase *documents = tcase_create("documents");

	tcase_add_test(window, bound_holds_in_any_second);
	tcase_add_test(window, window_reaches_back);
	tcase_add_test(window, restart_takes_window_for_full);
	tcase_add_test(window, least_and_greatest_bound);
	tcase_add_test(window, latest_end_counts);
	suite_add_tcase(s, window);
	tcase_add_checked_fixture(agent, pace_off, all_on);
	tcase_add_test(agent, agent_bounds_all_balancers_together);
	tcase_add_test(agent, agent_bounds_its_queue);
	tcase_add_test(agent, agent_counts_opens_once);
	tcase_add_test(agent, copies_for_a_started_server_count);
	tcase_add_loop_test(agent, started_server_is_bounded_before_its_entry,
			    0, 2);
	tcase_add_test(agent, restarted_agent_waits);
	tcase_add_test(agent, agent_reports_full_window);
	tcase_add_test(agent, agent_bounds_flows);
	suite_add_tcase(s, agent);
	tcase_add_test(balancer, bound_is_told);
	tcase_add_test(balancer, zero_is_no_bound);
	tcase_add_test(balancer, target_becomes_cold);
	tcase_add_test(balancer, zone_taken_back_is_cold);
	tcase_add_test(balancer, full_window_is_avoided);
	tcase_add_test(balancer, peers_tell_limits);
	suite_add_tcase(s, balancer);
	tcase_add_test(documents, services_are_read);
	tcase_add_test(documents, settings_of_bounds);
	suite_add_tcase(s, documents);
	return run_suite(s);
}
