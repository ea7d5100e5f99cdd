/*
 * test_fuzz - random and mutated input for all parsers, balancer and agent
 *
 * Seeds are fixed, so that failures are reproducible. Each input is in a heap
 * block of its exact size, so that the sanitizers report reads beyond it.
 */

#include "../src/agent.h"
#include "../src/app_model.h"
#include "../src/balancer.h"
#include "../src/dgram.h"
#include "../src/refusal.h"
#include "../src/seal.h"
#include "../src/stream.h"
#include "../src/toml_reader.h"
#include "runner.h"
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define ROUNDS	    50000 /* inputs for a seed */
#define TOML_ROUNDS 4000
#define INPUT_MAX   9100
#define NOW	    1800000000000ULL /* wall clock, ms */

typedef void (*target_fn)(const uint8_t *bytes, size_t len);

static uint64_t state; /* of the random generator */
static config_t *config;
static balancer_t *balancer;
static agent_t *agent;
static seal_t *receiver, *sender;

static uint32_t random_below(uint32_t below)
{
	state = state * 6364136223846793005ULL + 1442695040888963407ULL;
	return (uint32_t)(state >> 33) % below;
}

/*
 * Flips bits, overwrites bytes, truncates, duplicates bytes, appends, or makes
 * the whole input random. Returns the new length, at most `room`.
 */
static size_t mutate(uint8_t *bytes, size_t len, size_t room)
{
	static const uint8_t special[] = { 0,	 1,   0x7f, 0x80,
					   0xff, '"', '[',  '\n' };
	uint32_t changes = 1 + random_below(6);

	if (random_below(20) == 0) {
		len = random_below((uint32_t)room);
		for (size_t i = 0; i < len; i++)
			bytes[i] = (uint8_t)random_below(256);
		return len;
	}
	while (changes-- && len > 0) {
		uint32_t at = random_below((uint32_t)len);

		switch (random_below(6)) {
		case 0:
			bytes[at] ^= (uint8_t)(1U << random_below(8));
			break;
		case 1:
			bytes[at] = special[random_below(sizeof(special))];
			break;
		case 2:
			bytes[at] = (uint8_t)random_below(256);
			break;
		case 3:
			len = at;
			break;
		case 4:
			memmove(bytes + at, bytes + at / 2, len - at);
			break;
		default:
			if (len < room)
				bytes[len++] = (uint8_t)random_below(256);
		}
	}
	return len;
}

static void run_target(target_fn target, const uint8_t *bytes, size_t len)
{
	uint8_t *exact = malloc(len ? len : 1);

	memcpy(exact, bytes, len);
	target(exact, len);
	free(exact);
}

static void fuzz(uint64_t seed, const uint8_t *valid, size_t len, int rounds,
		 target_fn target)
{
	static uint8_t buf[INPUT_MAX];

	state = seed;
	run_target(target, valid, len);
	for (int i = 0; i < rounds; i++) {
		memcpy(buf, valid, len);
		run_target(target, buf, mutate(buf, len, sizeof(buf)));
	}
}

static size_t valid_packet(uint8_t proto, uint8_t flags, uint8_t *buf)
{
	packet_t p = { .key = { 0xcb007101, 0xc633640a, 40000, 6001, proto },
		       .flags = flags,
		       .seq = 100,
		       .ack = 7,
		       .payload = (const uint8_t *)"FEED 1 2 3 4\n",
		       .payload_len = 13 };

	return packet_build(&p, buf);
}

static void fix_checksum(uint8_t *p)
{
	uint32_t sum = 0;

	p[10] = p[11] = 0;
	for (int i = 0; i < 20; i += 2)
		sum += (uint32_t)p[i] << 8 | p[i + 1];
	while (sum >> 16)
		sum = (sum & 0xffff) + (sum >> 16);
	p[10] = (uint8_t)(~sum >> 8);
	p[11] = (uint8_t)~sum;
}

/* The parts of an accepted packet must be inside the input. */
static void packet_target(const uint8_t *bytes, size_t len)
{
	packet_t p;
	uint8_t sum = 0, out[PACKET_MAX];

	if (packet_parse(bytes, len, &p) != PACKET_OK)
		return;
	ck_assert(p.data >= bytes && p.data + p.len <= bytes + len);
	ck_assert(p.payload >= bytes &&
		  p.payload + p.payload_len <= bytes + len);
	for (size_t i = 0; i < p.payload_len; i++)
		sum ^= p.payload[i];
	ck_assert_int_ge(sum, 0);
	ck_assert_uint_le(packet_build_reset(&p, "reason", out), PACKET_MAX);
}

static void balancer_target(const uint8_t *bytes, size_t len)
{
	uint8_t *copy = g_memdup2(bytes, len);

	if (len >= 20 && random_below(2))
		fix_checksum(copy);
	packet_target(copy, len);
	balancer_packet(balancer, NOW, copy, len);
	if (random_below(50) == 0)
		balancer_tick(balancer, NOW + random_below(10000));
	g_free(copy);
}

static void server_packet_target(const uint8_t *bytes, size_t len)
{
	uint8_t *copy = g_memdup2(bytes, len);

	if (len >= 20 && random_below(2))
		fix_checksum(copy);
	agent_server_packet(agent, NOW, copy, len);
	if (random_below(50) == 0)
		agent_tick(agent, NOW + random_below(10000));
	g_free(copy);
}

START_TEST(packets)
{
	static const struct {
		uint8_t proto, flags;
	} valid[] = { { PROTO_TCP, TCP_SYN },
		      { PROTO_TCP, TCP_ACK },
		      { PROTO_TCP, TCP_SYN | TCP_ACK },
		      { PROTO_TCP, TCP_FIN | TCP_ACK },
		      { PROTO_TCP, TCP_RST },
		      { PROTO_UDP, 0 } };
	uint8_t buf[PACKET_MAX];

	for (size_t i = 0; i < sizeof(valid) / sizeof(*valid); i++) {
		size_t len = valid_packet(valid[i].proto, valid[i].flags, buf);

		fuzz(1 + i, buf, len, ROUNDS, packet_target);
		fuzz(11 + i, buf, len, ROUNDS / 2, balancer_target);
		fuzz(21 + i, buf, len, ROUNDS / 2, server_packet_target);
	}
}
END_TEST

static int sends;

static void on_send(void *ctx, const endpoint_t *to, msg_kind_t kind,
		    const void *msg)
{
	static uint8_t buf[65536], bounded[65536];
	size_t len = wire_size(msg),
	       less = len ? random_below((uint32_t)len) : 0;

	(void)ctx;
	(void)to;
	ck_assert(kind > MSG_NONE && kind < MSG_KINDS);
	ck_assert_uint_le(len, sizeof(buf));
	ck_assert_uint_eq(wire_pack(msg, buf), len);
	ck_assert_uint_eq(wire_pack_within(msg, bounded, len), len);
	ck_assert_int_eq(memcmp(buf, bounded, len), 0);
	/* Into a smaller buffer, nothing is written beyond it. */
	memset(bounded, 0xa5, sizeof(bounded));
	ck_assert_uint_eq(wire_pack_within(msg, bounded, less), 0);
	ck_assert_uint_eq(bounded[less], 0xa5);
	sends++;
}

static void on_packet(void *ctx, const uint8_t *packet, size_t len)
{
	packet_t p;

	(void)ctx;
	ck_assert_int_eq(packet_parse(packet, len, &p), PACKET_OK);
}

static void on_newer_version(void *ctx, const endpoint_t *from,
			     uint64_t version)
{
	(void)ctx;
	(void)from;
	(void)version;
}

static void on_audit(void *ctx, const char *event, const char *subject,
		     const char *detail)
{
	(void)ctx;
	ck_assert(event && subject && detail);
}

static msg_kind_t fuzzed_kind;

/* Unpacks a body and passes the message to the balancer and the agent. */
static void body_target(const uint8_t *bytes, size_t len)
{
	static wire_arena_t arena;
	endpoint_t from = { 0x7f000001, 7400 };
	void *msg = wire_unpack(&arena, fuzzed_kind, bytes, len);

	if (!msg)
		return;
	balancer_message(balancer, NOW, &from, fuzzed_kind, msg);
	agent_message(agent, NOW, &from, fuzzed_kind, msg);
	if (fuzzed_kind == MSG_HANDOVER)
		agent_import(agent, NOW, msg);
	if (random_below(50) == 0) {
		balancer_tick(balancer, NOW + random_below(10000));
		agent_tick(agent, NOW + random_below(10000));
	}
	if (random_below(500) == 0)
		wire_arena_clear(&arena);
}

/* Packs a message with plausible values in the fields that are read. */
static size_t valid_body(msg_kind_t kind, uint8_t *out)
{
	const service_t *s = &config->services[0];
	uint32_t ids[3] = { s->targets[0].id, s->targets[1].id, 7 };
	uint8_t inner[PACKET_MAX];
	load_msg_t load = CT__LOAD__INIT, *loads[] = { &load, &load };
	flow_record_msg_t flow = CT__FLOW_RECORD__INIT, *flows[] = { &flow };
	service_part_msg_t part = CT__SERVICE_PART__INIT, *parts[] = { &part };
	packet_msg_t packet = CT__PACKET__INIT;
	held_msg_t held = CT__HELD__INIT;
	digest_msg_t digest = CT__DIGEST__INIT;
	probe_msg_t probe = CT__PROBE__INIT;
	hello_msg_t hello = CT__HELLO__INIT;
	config_pull_msg_t pull = CT__CONFIG_PULL__INIT;
	config_reply_msg_t config_reply = CT__CONFIG_REPLY__INIT;
	handover_msg_t handover = CT__HANDOVER__INIT;
	witness_msg_t witness = CT__WITNESS__INIT;
	query_msg_t query = CT__QUERY__INIT;
	answer_msg_t answer = CT__ANSWER__INIT;
	const void *all[MSG_KINDS] = { NULL,	 &packet,	&held,
				       &digest,	 &probe,	&hello,
				       &pull,	 &config_reply, &handover,
				       &witness, &query,	&answer };

	load.target = ids[1];
	load.incarnation = 3;
	load.capacity = 5000;
	packet.service = held.service = digest.service = s->id;
	probe.service = witness.service = part.id = s->id;
	packet.version = held.version = digest.version = 1;
	packet.step = random_below(2);
	packet.reply_port = 7200;
	packet.asked = packet.candidates = packet.unasked = ids;
	packet.n_asked = random_below(4);
	packet.n_candidates = random_below(4);
	packet.n_unasked = random_below(2);
	packet.inner.data = inner;
	packet.inner.len = valid_packet(
		PROTO_TCP, random_below(2) ? TCP_SYN : TCP_ACK, inner);
	held.src_ip = flow.src_ip = 0xcb007101;
	held.dst_ip = flow.dst_ip = s->address;
	held.src_port = flow.src_port = 40000;
	held.dst_port = flow.dst_port = 6001;
	held.protocol = flow.protocol = PROTO_TCP;
	held.agent_port = digest.agent_port = 7400;
	held.load = digest.load = &load;
	digest.rumours = loads;
	digest.n_rumours = 2;
	probe.target = witness.target = handover.target = ids[0];
	handover.flows = witness.opened = flows;
	handover.n_flows = witness.n_opened = 1;
	config_reply.parts = parts;
	config_reply.n_parts = 1;
	part.text = "[[service]]";
	query.command = "explain";
	query.argument = "1.2.3.4:5 6.7.8.9:10 tcp";
	return wire_pack(all[kind], out);
}

START_TEST(message_bodies)
{
	uint8_t body[INPUT_MAX];

	for (int variant = 0; variant < 4; variant++)
		for (int k = MSG_PACKET; k < MSG_KINDS; k++) {
			fuzzed_kind = (msg_kind_t)k;
			state = (uint64_t)variant * 100 + (uint64_t)k;
			fuzz(state, body, valid_body(fuzzed_kind, body),
			     ROUNDS / 8, body_target);
		}
	ck_assert_int_gt(sends, 0);
	ck_assert_ptr_null(
		wire_unpack(&(wire_arena_t){ 0 }, MSG_KINDS, body, 1));
}
END_TEST

static int opened;

static void seal_target(const uint8_t *bytes, size_t len)
{
	const uint8_t *body;
	size_t body_len;
	uint8_t kind;

	if (seal_open(receiver, NOW, bytes, len, &kind, &body, &body_len) !=
	    SEAL_OK)
		return;
	ck_assert(body >= bytes && body + body_len <= bytes + len);
	opened++;
}

/* Only the unchanged message is accepted, once. */
START_TEST(sealed_messages)
{
	uint8_t buf[400] = { 0 };
	size_t len = seal_message(sender, MSG_HELD, NOW, buf, 100);

	fuzz(31, buf, len, ROUNDS * 4, seal_target);
	ck_assert_int_eq(opened, 1);
}
END_TEST

static char *example(const char *name)
{
	char *path = g_strdup_printf("examples/%s.toml", name);
	char *text;

	ck_assert(g_file_get_contents(path, &text, NULL, NULL));
	g_free(path);
	return text;
}

/*
 * Each error has a kind, a text and a remedy. An accepted configuration must
 * parse again from its canonical text, with the same digest.
 */
static void config_target(const uint8_t *bytes, size_t len)
{
	config_t *out = NULL, *reparsed = NULL;
	err_t err = { 0 };
	char *text;

	if (config_parse("f", (const char *)bytes, len, &out, &err) < 0) {
		ck_assert_int_ne(err.kind, ERR_NONE);
		ck_assert_int_ne(err.what[0], 0);
		ck_assert_int_ne(err.remedy[0], 0);
		return;
	}
	text = config_to_toml(out);
	ck_assert_int_eq(config_parse("f", text, strlen(text), &reparsed, &err),
			 0);
	ck_assert_uint_eq(out->digest, reparsed->digest);
	g_free(text);
	config_unref(out);
	config_unref(reparsed);
}

/*
 * Each of these documents crashed the process in the TOML library or made the
 * library read undefined memory. They must be rejected before they reach it.
 */
START_TEST(documents_that_crash_the_toml_library)
{
	static const struct {
		const char *bytes;
		size_t len;
		int line;
	} bad[] = {
		{ "[\0service]", 10, 1 },
		{ "a.\0b = 1", 8, 1 },
		{ "a\0 = 1", 6, 1 },
		{ "\0", 1, 1 },
		{ "\na = 1 \xc3\xa1", 9, 2 },
		{ "\n\n\xc3\xa1 = 1", 8, 3 },
		{ "a = \"x\" \xc3\xa1", 10, 1 },
		{ "a = \"\xff\"", 7, 1 },
		{ "a = '''\n#''' \xc3\xa1", 15, 1 },
	};
	static const char valid[] = "# \xc3\xa1\nversion = 1 # '''\n";
	config_t *out = NULL;
	err_t err = { 0 };

	for (size_t i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		ck_assert_int_eq(
			config_parse("f", bad[i].bytes, bad[i].len, &out, &err),
			-1);
		ck_assert_int_eq(err.kind, ERR_SYNTAX);
		ck_assert_int_eq(err.line, bad[i].line);
	}
	config_parse("f", valid, strlen(valid), &out, &err);
	ck_assert_int_ne(err.kind, ERR_SYNTAX);
}
END_TEST

/*
 * A flow record of a protocol other than TCP and UDP must be ignored: the agent
 * would send packets of that protocol.
 */
START_TEST(handover_of_unsupported_protocol)
{
	flow_record_msg_t flow = CT__FLOW_RECORD__INIT, *flows[] = { &flow };
	handover_msg_t msg = CT__HANDOVER__INIT;

	flow.protocol = PROTO_ICMP;
	flow.state = FLOW_ESTABLISHED;
	msg.target = config->services[0].targets[0].id;
	msg.flows = flows;
	msg.n_flows = 1;
	agent_import(agent, NOW, &msg);
	ck_assert_uint_eq(agent_held(agent), 0);
	flow.protocol = PROTO_TCP;
	agent_import(agent, NOW, &msg);
	ck_assert_uint_eq(agent_held(agent), 1);
}
END_TEST

static process_role_t fuzzed_role;

static void settings_target(const uint8_t *bytes, size_t len)
{
	settings_t out = { .role = fuzzed_role };
	err_t err = { 0 };

	if (toml_read_settings("f", (const char *)bytes, len, &out, &err) < 0)
		ck_assert_int_ne(err.kind, ERR_NONE);
	settings_clear(&out);
}

START_TEST(config_documents)
{
	char *text = example("agency");

	/* In a shorter document, a larger part is mutated. */
	strstr(text, "[[service.target]]\nname = \"spot-3\"")[0] = '\0';
	fuzz(41, (const uint8_t *)text, strlen(text), TOML_ROUNDS,
	     config_target);
	g_free(text);
}
END_TEST

START_TEST(settings)
{
	static const char text[] =
		"name = \"b\"\nzone = \"a\"\nlisten = \"127.0.0.1:1\"\n"
		"operators = \"127.0.0.1:2\"\nkey_file = \"k\"\n"
		"peers = [\"127.0.0.1:3\"]\nstop_ms = 5\n";
	static const char *const role_text[] = {
		[ROLE_BALANCER] = "packets = \"127.0.0.1:4\"\n",
		[ROLE_AGENT] = "target = \"t\"\nfabric = \"127.0.0.1:4\"\n"
			       "server = \"127.0.0.1:5\"\n"
			       "delivery = \"127.0.0.1:6\"\n",
		[ROLE_OPERATOR] = "",
	};

	for (int r = ROLE_BALANCER; r <= ROLE_OPERATOR; r++) {
		char *all = g_strconcat(text, role_text[r], NULL);

		fuzzed_role = (process_role_t)r;
		fuzz(50 + (uint64_t)r, (const uint8_t *)all, strlen(all),
		     TOML_ROUNDS, settings_target);
		g_free(all);
	}
}
END_TEST

static void line_target(const uint8_t *bytes, size_t len)
{
	char *line = g_strndup((const char *)bytes, len);
	app_request_t r;
	refusal_t reason;
	unsigned retry_after;
	endpoint_t ep;
	uint32_t ip;

	app_parse(line, &r);
	endpoint_parse(line, &ep);
	ipv4_parse(line, &ip);
	g_free(line);
	if (refusal_parse((const char *)bytes, len, &reason, &retry_after) == 0)
		ck_assert_int_lt(reason, REFUSALS);
}

START_TEST(text_lines)
{
	static const char *const valid[] = {
		"FEED 1 2 3 4",
		"LOG 12345678901234567890 7 2",
		"GET 1 1000000 1",
		"127.0.0.1:7400",
		"198.51.100.10",
		"cherviltray: not run; retry-after=2",
		"cherviltray: outcome unknown; retry-after=4294967295",
	};

	for (size_t i = 0; i < sizeof(valid) / sizeof(*valid); i++)
		fuzz(60 + i, (const uint8_t *)valid[i], strlen(valid[i]),
		     ROUNDS, line_target);
}
END_TEST

static void on_stream_message(void *ctx, stream_t *stream, msg_kind_t kind,
			      const void *msg)
{
	(void)ctx;
	(void)stream;
	(void)msg;
	ck_assert(kind > MSG_NONE && kind < MSG_KINDS);
}

typedef struct client {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	uint8_t bytes[512];
	size_t len;
	uv_stream_t *open;
} client_t;

static int clients_left;

static void on_client_closed(uv_handle_t *handle)
{
	(void)handle;
	clients_left--;
}

static void on_client_written(uv_write_t *write, int status)
{
	(void)status;
	uv_close((uv_handle_t *)write->handle, on_client_closed);
}

static void on_client(uv_connect_t *connect, int status)
{
	client_t *c = connect->data;
	uv_buf_t buf = uv_buf_init((char *)c->bytes, (unsigned)c->len);

	ck_assert_int_eq(status, 0);
	if (uv_write(&c->write, connect->handle, &buf, 1, on_client_written) <
	    0)
		uv_close((uv_handle_t *)connect->handle, on_client_closed);
}

/* Frames over TCP with mutated lengths and messages. */
START_TEST(stream_frames)
{
	enum { CLIENTS = 300 };
	static client_t clients[CLIENTS];
	counters_t counters = { 0 };
	endpoint_t at = { 0x7f000001, 0 };
	struct sockaddr_in sa;
	stream_server_t *server = NULL;
	uv_loop_t loop;
	err_t err;

	state = 71;
	uv_loop_init(&loop);
	for (at.port = 20000 + random_below(20000); !server; at.port++)
		server = stream_listen(&loop, &at, receiver, &counters,
				       on_stream_message, NULL, &err);
	at.port--;
	sa = endpoint_sockaddr(&at);
	for (clients_left = 0; clients_left < CLIENTS; clients_left++) {
		client_t *c = &clients[clients_left];
		size_t len = seal_message(sender, MSG_QUERY, wall_clock_ms(),
					  c->bytes + 4, 20);

		memset(c->bytes, 0, 4);
		c->bytes[3] = (uint8_t)len;
		c->len = mutate(c->bytes, len + 4, sizeof(c->bytes));
		c->connect.data = c;
		uv_tcp_init(&loop, &c->tcp);
		uv_tcp_connect(&c->connect, &c->tcp, (struct sockaddr *)&sa,
			       on_client);
	}
	while (clients_left)
		uv_run(&loop, UV_RUN_ONCE);
	stream_server_close(server);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&loop), 0);
}
END_TEST

static void setup(void)
{
	static const uint8_t key[SEAL_KEY_BYTES] = { 5 };
	static const balancer_ops_t balancer_ops = { on_send, on_newer_version,
						     on_audit, on_packet };
	static const agent_ops_t agent_ops = { on_send, on_packet, on_packet,
					       on_newer_version, on_audit };
	balancer_options_t b = { .cache_flows = 256, .retry_percent = 10 };
	agent_options_t a = { .target = "spot-1", .flows = 64, .queue = 8 };
	char *text = example("agency");
	err_t err;

	ck_assert_int_eq(config_parse("f", text, strlen(text), &config, &err),
			 0);
	g_free(text);
	balancer = balancer_new(&b, &balancer_ops, NULL);
	balancer_configure(balancer, NOW, config);
	agent = agent_new(&a, &agent_ops, NULL);
	agent_configure(agent, NOW, config);
	receiver = seal_new(key, 1);
	sender = seal_new(key, 2);
}

static void teardown(void)
{
	balancer_free(balancer);
	agent_free(agent);
	config_unref(config);
	seal_free(receiver);
	seal_free(sender);
}

int main(void)
{
	Suite *s = suite_create("fuzz");
	TCase *tc = tcase_create("bytes");

	tcase_set_timeout(tc, 120);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, packets);
	tcase_add_test(tc, message_bodies);
	tcase_add_test(tc, sealed_messages);
	tcase_add_test(tc, config_documents);
	tcase_add_test(tc, documents_that_crash_the_toml_library);
	tcase_add_test(tc, handover_of_unsupported_protocol);
	tcase_add_test(tc, settings);
	tcase_add_test(tc, text_lines);
	tcase_add_test(tc, stream_frames);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
