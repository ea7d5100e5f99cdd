/*
 * test_balancer - forwarding, retries of opens, avoided members, refusals
 */

#include "../src/balancer.h"
#include "../src/refusal.h"
#include "runner.h"
#include <glib.h>
#include <string.h>

#define DST	 0xc633640a /* 198.51.100.10 */
#define CALLER	 0xcb007101
#define TARGETS	 4
#define SENT_MAX 4096
#define NOW	 100000

/* A message sent by the balancer: the fields that the tests check. */
typedef struct sent {
	endpoint_t to;
	unsigned member; /* number of the target there, 1 to TARGETS */
	packet_step_t step;
	uint64_t service;
	uint32_t candidates[8];
	size_t ncandidates;
	packet_t packet;
} sent_t;

static balancer_t *b;
static config_t *config;
static sent_t sent[SENT_MAX];
static unsigned nsent, nreplies, naudits, npolls;
static uint64_t behind_version;
static uint8_t reply[PACKET_MAX];
static size_t reply_len;

static void on_send(void *ctx, const endpoint_t *to, msg_kind_t kind,
		    const void *data)
{
	const packet_msg_t *msg = data;
	sent_t *s = &sent[nsent];

	(void)ctx;
	/* A poll of a silent member. */
	if (kind == MSG_DIGEST) {
		npolls++;
		return;
	}
	ck_assert_int_eq(kind, MSG_PACKET);
	ck_assert_uint_lt(nsent, SENT_MAX);
	ck_assert_uint_le(msg->n_candidates, 8);
	s->to = *to;
	s->member = to->ip & 0xff;
	s->step = (packet_step_t)msg->step;
	s->service = msg->service;
	s->ncandidates = msg->n_candidates;
	if (msg->n_candidates)
		memcpy(s->candidates, msg->candidates,
		       msg->n_candidates * sizeof(*msg->candidates));
	ck_assert_int_eq(
		packet_parse(msg->inner.data, msg->inner.len, &s->packet),
		PACKET_OK);
	nsent++;
}

static void on_behind(void *ctx, const endpoint_t *from, uint64_t version)
{
	(void)ctx;
	(void)from;
	behind_version = version;
}

static void on_audit(void *ctx, const char *event, const char *subject,
		     const char *detail)
{
	(void)ctx;
	(void)event;
	(void)subject;
	(void)detail;
	naudits++;
}

static void on_reply(void *ctx, const uint8_t *packet, size_t len)
{
	(void)ctx;
	memcpy(reply, packet, len);
	reply_len = len;
	nreplies++;
}

static config_t *make_config(unsigned version, const char *state)
{
	GString *s = g_string_new(NULL);
	config_t *out;
	err_t err;

	g_string_printf(s,
			"version = %u\n[[service]]\nname = \"spot\"\n"
			"address = \"198.51.100.10\"\n"
			"[[service.class]]\nname = \"feed\"\nport = 6001\n"
			"protocol = \"tcp\"\nweight = 1\nidempotent = true\n"
			"[[service.class]]\nname = \"query\"\nport = 6001\n"
			"protocol = \"udp\"\nweight = 1\nidempotent = true\n",
			version);
	for (int i = 1; i <= TARGETS; i++)
		g_string_append_printf(
			s,
			"[[service.target]]\nname = \"spot-%d\"\n"
			"agent = \"127.0.0.%d:7400\"\nzone = \"a\"\n"
			"weight = 1.0\nslots = 5\nconnections = 100\n"
			"state = \"%s\"\n",
			i, i, state);
	ck_assert_int_eq(config_parse("test", s->str, s->len, &out, &err), 0);
	g_string_free(s, TRUE);
	return out;
}

static void configure(unsigned version, const char *state)
{
	config_unref(config);
	config = make_config(version, state);
	balancer_configure(b, NOW, config);
}

static void start_balancer(unsigned retry_percent, mechanisms_t off)
{
	static const balancer_ops_t ops = { on_send, on_behind, on_audit,
					    on_reply };
	balancer_options_t options = { .self = { 0x7f000101, 7200 },
				       .rank_seed = 42,
				       .cache_flows = 4096,
				       .retry_percent = retry_percent,
				       .off = off };

	nsent = nreplies = naudits = npolls = 0;
	behind_version = 0;
	b = balancer_new(&options, &ops, NULL);
	configure(1, "active");
}

static void setup(void)
{
	start_balancer(10, 0);
}

static void teardown(void)
{
	balancer_free(b);
	config_unref(config);
	config = NULL;
}

static uint64_t counter_value(counter_t id)
{
	return balancer_counters(b)->values[id];
}

static void send_packet(uint64_t now, uint16_t port, uint8_t proto,
			uint8_t flags, uint32_t seq, const char *payload)
{
	packet_t p = { .key = { CALLER, DST, port, 6001, proto },
		       .flags = flags,
		       .seq = seq,
		       .payload = (const uint8_t *)payload,
		       .payload_len = strlen(payload) };
	uint8_t buf[PACKET_MAX];

	balancer_packet(b, now, buf, packet_build(&p, buf));
}

static void send_syn(uint64_t now, uint16_t port)
{
	send_packet(now, port, PROTO_TCP, TCP_SYN, 1000, "");
}

static uint32_t id_of(unsigned member)
{
	return config->services[0].targets[member - 1].id;
}

/* Sends the MSG_HELD of a member's agent for a flow to the balancer. */
static void answer_held(uint64_t now, uint16_t port, uint8_t proto,
			unsigned member, bool refused, bool gone, bool full)
{
	held_msg_t msg = CT__HELD__INIT;
	load_msg_t load = CT__LOAD__INIT;
	endpoint_t from = { 0x7f000000 + member, 7400 };

	load.target = id_of(member);
	load.incarnation = 1;
	load.full = full;
	load.work = 10;
	msg.service = config->services[0].id;
	msg.version = config->version;
	msg.target = load.target;
	msg.src_ip = CALLER;
	msg.dst_ip = DST;
	msg.src_port = port;
	msg.dst_port = 6001;
	msg.protocol = proto;
	msg.refused = refused;
	msg.gone = gone;
	msg.load = &load;
	msg.agent_ip = from.ip;
	msg.agent_port = from.port;
	balancer_message(b, now, &from, MSG_HELD, &msg);
}

START_TEST(open_names_distinct_candidates)
{
	unsigned first[TARGETS + 1] = { 0 };

	for (uint16_t port = 1; port <= 400; port++) {
		sent_t *s = &sent[nsent];

		send_syn(NOW, port);
		ck_assert_int_eq(s->step, STEP_OPEN);
		ck_assert_uint_eq(s->service, config->services[0].id);
		ck_assert_uint_eq(s->ncandidates, BALANCER_CANDIDATES_MAX - 1);
		ck_assert_uint_ne(s->candidates[0], s->candidates[1]);
		for (int i = 0; i < 2; i++)
			ck_assert_uint_ne(s->candidates[i], id_of(s->member));
		first[s->member]++;
	}
	for (int i = 1; i <= TARGETS; i++)
		ck_assert_uint_gt(first[i], 400 / TARGETS / 2);
	ck_assert_uint_eq(balancer_pending(b), 400);
}
END_TEST

START_TEST(packet_goes_to_hinted_or_best_ranked_member)
{
	unsigned best;

	send_packet(NOW, 7, PROTO_TCP, TCP_ACK, 1, "data");
	ck_assert_int_eq(sent[0].step, STEP_LOOKUP);
	best = sent[0].member;
	answer_held(NOW, 7, PROTO_TCP, best % TARGETS + 1, false, false, false);
	send_packet(NOW, 7, PROTO_TCP, TCP_ACK, 1, "data");
	ck_assert_uint_eq(sent[1].member, best % TARGETS + 1);
	answer_held(NOW, 7, PROTO_TCP, 1, false, true, false);
	send_packet(NOW, 7, PROTO_TCP, TCP_ACK, 1, "data");
	ck_assert_uint_eq(sent[2].member, best);
	ck_assert_uint_eq(counter_value(COUNTER_CACHE_HITS), 1);
	ck_assert_uint_eq(counter_value(COUNTER_CACHE_MISSES), 2);
}
END_TEST

/*
 * A service without opens gets no reports about dead members, so its look-ups
 * would go to a dead member indefinitely. The member is polled and then
 * avoided.
 */
START_TEST(silent_member_gets_no_lookups)
{
	unsigned first;

	balancer_tick(b, NOW);
	send_packet(NOW, 7, PROTO_TCP, TCP_ACK, 1, "");
	first = sent[0].member;
	ck_assert_uint_eq(npolls, 1);
	send_packet(NOW + 500, 7, PROTO_TCP, TCP_ACK, 1, "");
	ck_assert_uint_eq(sent[1].member, first);
	send_packet(NOW + 1500, 7, PROTO_TCP, TCP_ACK, 1, "");
	send_packet(NOW + 1600, 7, PROTO_TCP, TCP_ACK, 1, "");
	ck_assert_uint_ne(sent[3].member, first);
	/* The other member is polled as well. */
	ck_assert_uint_eq(npolls, 2);
}
END_TEST

START_TEST(unanswered_open_is_offered_to_others)
{
	bool seen[TARGETS + 1] = { false };

	send_syn(NOW, 7);
	balancer_tick(b, NOW + OPEN_TIMEOUT_MS - 1);
	ck_assert_uint_eq(nsent, 1);
	for (unsigned i = 1; i < TARGETS; i++) {
		balancer_tick(b, NOW + i * OPEN_TIMEOUT_MS);
		ck_assert_uint_eq(nsent, i + 1);
	}
	for (unsigned i = 0; i < TARGETS; i++) {
		ck_assert(!seen[sent[i].member]);
		seen[sent[i].member] = true;
		ck_assert_int_eq(sent[i].step, STEP_OPEN);
	}
	/* All members were tried: the open is dropped without a refusal. */
	balancer_tick(b, NOW + TARGETS * OPEN_TIMEOUT_MS);
	ck_assert_uint_eq(nsent, TARGETS);
	ck_assert_uint_eq(balancer_pending(b), 0);
	ck_assert_uint_eq(nreplies, 0);
	ck_assert_uint_eq(counter_value(COUNTER_OPENS_RETRIED), TARGETS - 1);
}
END_TEST

START_TEST(answered_open_is_not_offered_again)
{
	static const bool refused[] = { false, true };

	for (int i = 0; i < 2; i++) {
		uint16_t port = (uint16_t)(7 + i);

		nsent = 0;
		send_syn(NOW, port);
		answer_held(NOW + 10, port, PROTO_TCP, sent[0].member,
			    refused[i], false, false);
		balancer_tick(b, NOW + 10 * OPEN_TIMEOUT_MS);
		ck_assert_uint_eq(nsent, 1);
		ck_assert_uint_eq(balancer_pending(b), 0);
	}
}
END_TEST

START_TEST(syn_with_data_is_never_offered_twice)
{
	send_packet(NOW, 7, PROTO_TCP, TCP_SYN, 1000, "data");
	ck_assert_uint_eq(nsent, 1);
	for (unsigned i = 1; i < 10; i++)
		balancer_tick(b, NOW + i * OPEN_TIMEOUT_MS);
	ck_assert_uint_eq(nsent, 1);
	ck_assert_uint_eq(balancer_pending(b), 0);
}
END_TEST

static void send_unanswered_opens(unsigned opens)
{
	for (unsigned i = 0; i < opens; i++) {
		nsent = 0;
		send_syn(NOW + i, (uint16_t)(i + 1));
		for (unsigned m = 1; m <= TARGETS; m++)
			answer_held(NOW + i, 9999, PROTO_TCP, m, false, false,
				    false);
		balancer_tick(b, NOW + i);
	}
	nsent = 0;
	balancer_tick(b, NOW + opens + 10 * OPEN_TIMEOUT_MS);
}

/*
 * The retry budget limits retries to a share of the opens when no open is
 * answered. Without it retries would multiply the load of an overloaded
 * service.
 */
START_TEST(retries_are_bounded_by_the_budget)
{
	enum { OPENS = 2000 };
	const unsigned bound = OPENS / 10 + INITIAL_RETRIES;

	send_unanswered_opens(OPENS);
	ck_assert_uint_le(counter_value(COUNTER_OPENS_RETRIED), bound);
	ck_assert_uint_ge(counter_value(COUNTER_OPENS_RETRIED), bound / 2);
	ck_assert_uint_gt(counter_value(COUNTER_OPENS_RETRY_DENIED), 0);
	teardown();
	start_balancer(10, 1U << MECHANISM_RETRY_BUDGET);
	send_unanswered_opens(OPENS);
	ck_assert_uint_gt(counter_value(COUNTER_OPENS_RETRIED), bound);
	teardown();
	start_balancer(10, 1U << MECHANISM_OPEN_RETRY);
	send_unanswered_opens(OPENS);
	ck_assert_uint_eq(counter_value(COUNTER_OPENS_RETRIED), 0);
}
END_TEST

/*
 * A balancer that hears no member is probably cut off itself. It must not
 * refuse opens as "not run": members may have accepted them.
 */
START_TEST(opens_are_offered_when_all_members_are_silent)
{
	for (uint16_t port = 1; port <= 200; port++) {
		uint64_t now = NOW + port * (uint64_t)OPEN_TIMEOUT_MS;
		unsigned at = nsent;

		send_syn(now, port);
		ck_assert_uint_eq(nsent, at + 1);
		balancer_tick(b, now + OPEN_TIMEOUT_MS);
	}
	ck_assert_uint_ge(counter_value(COUNTER_SUSPICIONS), TARGETS);
	ck_assert_uint_eq(nreplies, 0);
}
END_TEST

START_TEST(silent_member_is_avoided_until_heard)
{
	unsigned silent = 0, others = 0;
	uint64_t now = NOW;

	send_syn(now, 1);
	silent = sent[0].member;
	for (uint16_t port = 2; port < 60; port++) {
		unsigned at;

		now += OPEN_TIMEOUT_MS;
		balancer_tick(b, now);
		at = nsent;
		send_syn(now, port);
		if (sent[at].member != silent)
			answer_held(now, port, PROTO_TCP, sent[at].member,
				    false, false, false);
		if (naudits)
			break;
	}
	ck_assert_uint_eq(naudits, 1);
	ck_assert_uint_eq(counter_value(COUNTER_SUSPICIONS), 1);
	nsent = 0;
	for (uint16_t port = 100; port < 200; port++, others++)
		send_syn(now, port);
	for (unsigned i = 0; i < nsent; i++)
		ck_assert_uint_ne(sent[i].member, silent);
	answer_held(now, 1, PROTO_TCP, silent, false, false, false);
	nsent = 0;
	for (uint16_t port = 200; port < 300; port++)
		send_syn(now, port);
	for (unsigned i = 0; i < nsent; i++)
		others -= sent[i].member == silent;
	ck_assert_uint_lt(others, 100);
}
END_TEST

/* A member that is heard between offer and time-out must not be avoided. */
START_TEST(recently_heard_member_is_not_avoided)
{
	for (uint16_t port = 1; port < 50; port++) {
		uint64_t now = NOW + port * (uint64_t)OPEN_TIMEOUT_MS;
		unsigned at = nsent;

		send_syn(now, port);
		for (unsigned m = 1; m <= TARGETS; m++)
			answer_held(now + OPEN_TIMEOUT_MS - 1, 9999, PROTO_TCP,
				    m, false, false, false);
		balancer_tick(b, now + OPEN_TIMEOUT_MS);
		ck_assert_uint_gt(nsent, at);
	}
	ck_assert_uint_eq(naudits, 0);
}
END_TEST

static void expect_not_run(void)
{
	refusal_t reason;
	unsigned retry_after_s;
	packet_t p;

	ck_assert_int_eq(packet_parse(reply, reply_len, &p), PACKET_OK);
	ck_assert_uint_eq(p.flags, TCP_RST | TCP_ACK);
	ck_assert_uint_eq(p.ack, 1001);
	ck_assert_uint_eq(p.key.dst, CALLER);
	ck_assert_int_eq(refusal_parse((const char *)p.payload, p.payload_len,
				       &reason, &retry_after_s),
			 0);
	ck_assert_int_eq(reason, REFUSAL_NOT_RUN);
	ck_assert_uint_gt(retry_after_s, 0);
}

START_TEST(open_without_active_target_is_refused_at_once)
{
	configure(2, "draining");
	send_syn(NOW, 7);
	ck_assert_uint_eq(nsent, 0);
	ck_assert_uint_eq(nreplies, 1);
	expect_not_run();
	ck_assert_uint_eq(counter_value(COUNTER_DROP_NO_TARGET), 1);
	ck_assert_uint_eq(balancer_pending(b), 0);
	/* Later packets of existing flows still go to draining members. */
	send_packet(NOW, 8, PROTO_TCP, TCP_ACK, 1, "data");
	ck_assert_uint_eq(nsent, 1);
	ck_assert_uint_eq(nreplies, 1);
}
END_TEST

START_TEST(open_is_refused_at_once_when_all_members_are_full)
{
	for (unsigned m = 1; m <= TARGETS; m++)
		answer_held(NOW, 9999, PROTO_TCP, m, false, false, true);
	send_syn(NOW, 7);
	ck_assert_uint_eq(nsent, 0);
	ck_assert_uint_eq(nreplies, 1);
	expect_not_run();
	/* Full members send no reports without opens: they are tried again. */
	send_syn(NOW + FULL_MAX_AGE_MS - 1, 8);
	ck_assert_uint_eq(nsent, 0);
	send_syn(NOW + FULL_MAX_AGE_MS, 9);
	ck_assert_uint_eq(nsent, 1);
	ck_assert_uint_eq(nreplies, 2);
	teardown();
	start_balancer(10, 1U << MECHANISM_REFUSAL);
	configure(2, "draining");
	send_syn(NOW, 7);
	ck_assert_uint_eq(nreplies, 0);
}
END_TEST

/* A retransmitted SYN must not open a second half-open flow elsewhere. */
START_TEST(retransmitted_syn_goes_to_the_same_member)
{
	unsigned member;

	for (uint16_t port = 1; port < 40; port++) {
		nsent = 0;
		send_syn(NOW, port);
		member = sent[0].member;
		send_syn(NOW + 1, port);
		ck_assert_uint_eq(sent[1].member, member);
		member = member % TARGETS + 1;
		answer_held(NOW + 2, port, PROTO_TCP, member, false, false,
			    false);
		send_syn(NOW + 3, port);
		ck_assert_uint_eq(sent[2].member, member);
		ck_assert_int_eq(sent[2].step, STEP_OPEN);
		ck_assert_uint_eq(nsent, 3);
	}
}
END_TEST

START_TEST(new_syn_of_an_old_key_is_a_new_open)
{
	send_syn(NOW, 7);
	send_packet(NOW + 1, 7, PROTO_TCP, TCP_SYN, 5000, "");
	ck_assert_uint_eq(nsent, 2);
	ck_assert_uint_eq(counter_value(COUNTER_OPENS), 2);
	ck_assert_uint_eq(sent[1].ncandidates, BALANCER_CANDIDATES_MAX - 1);
	ck_assert_uint_eq(balancer_pending(b), 1);
}
END_TEST

/*
 * The first packet of a UDP flow cannot be told from later ones: without a
 * hint the look-up names candidates that may take the flow.
 */
START_TEST(udp_without_a_hint_names_candidates)
{
	send_packet(NOW, 7, PROTO_UDP, 0, 0, "question");
	ck_assert_int_eq(sent[0].step, STEP_LOOKUP);
	ck_assert_uint_eq(sent[0].ncandidates, BALANCER_CANDIDATES_MAX);
	ck_assert_uint_eq(balancer_pending(b), 0);
	answer_held(NOW, 7, PROTO_UDP, 3, false, false, false);
	send_packet(NOW, 7, PROTO_UDP, 0, 0, "question");
	ck_assert_uint_eq(sent[1].member, 3);
	ck_assert_uint_eq(sent[1].ncandidates, 0);
	send_packet(NOW, 8, PROTO_TCP, TCP_ACK, 1, "");
	ck_assert_uint_eq(sent[2].ncandidates, 0);
}
END_TEST

START_TEST(other_addresses_ports_and_services_are_counted)
{
	packet_t p = { .key = { CALLER, DST, 7, 6002, PROTO_TCP },
		       .flags = TCP_SYN };
	held_msg_t msg = CT__HELD__INIT;
	endpoint_t from = { 1, 1 };
	uint8_t buf[PACKET_MAX];

	balancer_packet(b, NOW, buf, packet_build(&p, buf));
	p.key.dport = 6001;
	p.key.dst++;
	balancer_packet(b, NOW, buf, packet_build(&p, buf));
	ck_assert_uint_eq(counter_value(COUNTER_DROP_NO_SERVICE), 2);
	/* An answer for a flow of another service sets no hint. */
	msg.service = config->services[0].id + 1;
	msg.src_ip = CALLER;
	msg.dst_ip = DST;
	msg.src_port = 7;
	msg.dst_port = 6001;
	msg.protocol = PROTO_TCP;
	balancer_message(b, NOW, &from, MSG_HELD, &msg);
	send_packet(NOW, 7, PROTO_TCP, TCP_ACK, 1, "");
	ck_assert_uint_eq(counter_value(COUNTER_CACHE_HITS), 0);
	balancer_message(b, NOW, &from, MSG_PROBE, &msg);
	ck_assert_uint_eq(counter_value(COUNTER_MESSAGE_UNEXPECTED), 1);
}
END_TEST

START_TEST(higher_version_is_reported)
{
	answer_held(NOW, 7, PROTO_TCP, 1, false, false, false);
	ck_assert_uint_eq(behind_version, 0);
	config->version += 5;
	{
		held_msg_t msg = CT__HELD__INIT;
		endpoint_t from = { 1, 1 };

		msg.version = 9;
		balancer_message(b, NOW, &from, MSG_HELD, &msg);
	}
	ck_assert_uint_eq(behind_version, 9);
}
END_TEST

/* The load of members must survive a change of the configuration. */
START_TEST(load_is_kept_across_configurations)
{
	for (unsigned m = 1; m <= TARGETS; m++)
		answer_held(NOW, 9999, PROTO_TCP, m, false, false, m != 2);
	configure(2, "active");
	for (uint16_t port = 1; port < 50; port++)
		send_syn(NOW, port);
	ck_assert_uint_eq(nsent, 49);
	for (unsigned i = 0; i < nsent; i++)
		ck_assert_uint_eq(sent[i].member, 2);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("balancer");
	TCase *tc = tcase_create("decisions");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, open_names_distinct_candidates);
	tcase_add_test(tc, packet_goes_to_hinted_or_best_ranked_member);
	tcase_add_test(tc, silent_member_gets_no_lookups);
	tcase_add_test(tc, unanswered_open_is_offered_to_others);
	tcase_add_test(tc, answered_open_is_not_offered_again);
	tcase_add_test(tc, syn_with_data_is_never_offered_twice);
	tcase_add_test(tc, retries_are_bounded_by_the_budget);
	tcase_add_test(tc, opens_are_offered_when_all_members_are_silent);
	tcase_add_test(tc, silent_member_is_avoided_until_heard);
	tcase_add_test(tc, recently_heard_member_is_not_avoided);
	tcase_add_test(tc, open_without_active_target_is_refused_at_once);
	tcase_add_test(tc, open_is_refused_at_once_when_all_members_are_full);
	tcase_add_test(tc, retransmitted_syn_goes_to_the_same_member);
	tcase_add_test(tc, new_syn_of_an_old_key_is_a_new_open);
	tcase_add_test(tc, udp_without_a_hint_names_candidates);
	tcase_add_test(tc, other_addresses_ports_and_services_are_counted);
	tcase_add_test(tc, higher_version_is_reported);
	tcase_add_test(tc, load_is_kept_across_configurations);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
