/*
 * bench_decision - processor time per packet of a balancer's decisions
 *
 * Calls the balancer without sockets and measures an open with its reply and a
 * later packet with and without a cached hint, for several numbers of services
 * and members; then the packing and sealing of a message. Times are the lowest
 * mean of ROUNDS rounds. Prints a line of JSON for each case and writes it to
 * report/bench/decision.json.
 */

#include "../src/balancer.h"
#include "../src/seal.h"
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FLOWS	    4096
#define ROUNDS	    5 /* the fastest one is reported */
#define CACHE_FLOWS 524288

typedef struct size_case {
	unsigned services, members;
} size_case_t;

static const size_case_t sizes[] = {
	{ 10, 5 }, { 100, 5 }, { 1000, 5 }, { 1, 10 }, { 1, 100 }, { 1, 1000 },
};

static uint8_t packets[FLOWS][2048];
static size_t lens[FLOWS];
static held_msg_t replies[FLOWS];
static unsigned sent;
static balancer_t *balancer;
static uint64_t now = 1000;

static void on_send(void *ctx, const endpoint_t *to, msg_kind_t kind,
		    const void *msg)
{
	(void)ctx;
	(void)to;
	(void)kind;
	(void)msg;
	sent++;
}

static uint64_t now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000000000 + (uint64_t)ts.tv_nsec;
}

static config_t *make_config(const size_case_t *c)
{
	GString *s = g_string_new("version = 1\n");
	config_t *config = NULL;
	char text[900];
	err_t err;

	for (unsigned i = 0; i < c->services; i++) {
		g_string_append_printf(
			s,
			"[[service]]\nname = \"s%u\"\n"
			"address = \"198.51.%u.%u\"\n[[service.class]]\n"
			"name = \"feed\"\nport = 6001\nprotocol = \"tcp\"\n"
			"weight = 1\nidempotent = true\n",
			i, i / 250, i % 250 + 1);
		for (unsigned j = 0; j < c->members; j++)
			g_string_append_printf(
				s,
				"[[service.target]]\nname = \"t%u-%u\"\n"
				"agent = \"127.%u.%u.%u:%u\"\nzone = \"a\"\n"
				"slots = 5\nconnections = 2000\n",
				i, j, i / 250 + 1, i % 250, j / 250 + 1,
				j % 250 + 1);
	}
	if (config_parse("bench", s->str, s->len, &config, &err) < 0) {
		fprintf(stderr, "bench_decision: %s\n",
			err_format(&err, text, sizeof(text)));
		exit(1);
	}
	g_string_free(s, TRUE);
	return config;
}

static void build_packets(const config_t *config, uint8_t flags, size_t payload)
{
	static uint8_t bytes[2048];

	for (unsigned i = 0; i < FLOWS; i++) {
		const service_t *s = &config->services[i % config->nservices];
		packet_t p = { .key = { 0x0a000000 + i, s->address,
					(uint16_t)(1024 + i), 6001, PROTO_TCP },
			       .flags = flags,
			       .payload = bytes,
			       .payload_len = payload };
		const target_t *t = &s->targets[i % s->ntargets];

		lens[i] = packet_build(&p, packets[i]);
		ct__held__init(&replies[i]);
		replies[i].service = s->id;
		replies[i].src_ip = p.key.src;
		replies[i].dst_ip = p.key.dst;
		replies[i].src_port = p.key.sport;
		replies[i].dst_port = p.key.dport;
		replies[i].protocol = PROTO_TCP;
		replies[i].target = t->id;
		replies[i].agent_ip = t->agent.ip;
		replies[i].agent_port = t->agent.port;
	}
}

static void process_packets(bool with_replies)
{
	endpoint_t from = { 0x7f000001, 7400 };
	load_msg_t load = CT__LOAD__INIT;

	load.incarnation = 1;
	load.capacity = 5000;
	now++;
	for (unsigned i = 0; i < FLOWS; i++) {
		balancer_packet(balancer, now, packets[i], lens[i]);
		if (!with_replies)
			continue;
		load.target = replies[i].target;
		replies[i].load = &load;
		balancer_message(balancer, now, &from, MSG_HELD, &replies[i]);
	}
}

static double measure_min_ns(bool with_replies)
{
	double min_ns = 1e18;

	for (int r = 0; r < ROUNDS; r++) {
		uint64_t start_ns = now_ns();
		double ns;

		process_packets(with_replies);
		ns = (double)(now_ns() - start_ns) / FLOWS;
		if (ns < min_ns)
			min_ns = ns;
	}
	return min_ns;
}

static void measure_size(const size_case_t *c, FILE *out)
{
	static const balancer_ops_t ops = { .send = on_send };
	balancer_options_t options = { .rank_seed = 1,
				       .cache_flows = CACHE_FLOWS };
	config_t *config = make_config(c);
	double no_hint_ns, open_ns, hint_ns;

	balancer = balancer_new(&options, &ops, NULL);
	balancer_configure(balancer, now, config);
	build_packets(config, TCP_ACK, 100);
	no_hint_ns = measure_min_ns(false);
	build_packets(config, TCP_SYN, 0);
	open_ns = measure_min_ns(true);
	build_packets(config, TCP_ACK, 100);
	hint_ns = measure_min_ns(false);
	for (int i = 0; i < 2; i++)
		fprintf(i ? out : stdout,
			"{\"services\":%u,\"members\":%u,\"open_ns\":%.0f,"
			"\"hint_ns\":%.0f,\"no_hint_ns\":%.0f}\n",
			c->services, c->members, open_ns, hint_ns, no_hint_ns);
	balancer_free(balancer);
	config_unref(config);
}

static void measure_message(size_t payload, FILE *out)
{
	static const uint8_t key[SEAL_KEY_BYTES] = { 1 };
	seal_t *seal = seal_new(key, 1);
	packet_msg_t msg = CT__PACKET__INIT;
	uint8_t buf[9600];
	uint64_t start_ns;
	double pack_ns = 1e18, seal_ns = 1e18;
	volatile size_t len = 0;

	msg.service = msg.digest = 0x123456789abcdefULL;
	msg.version = 7;
	msg.reply_ip = 0x7f000001;
	msg.reply_port = 7200;
	msg.inner.data = packets[0];
	msg.inner.len = 40 + payload;
	for (int r = 0; r < ROUNDS; r++) {
		start_ns = now_ns();
		for (int i = 0; i < FLOWS; i++)
			len += wire_pack_within(&msg, buf + SEAL_HEADER_LEN,
						9000);
		pack_ns = MIN(pack_ns, (double)(now_ns() - start_ns) / FLOWS);
		start_ns = now_ns();
		for (int i = 0; i < FLOWS; i++)
			seal_message(seal, MSG_PACKET, 1, buf, msg.inner.len);
		seal_ns = MIN(seal_ns, (double)(now_ns() - start_ns) / FLOWS);
	}
	for (int i = 0; i < 2; i++)
		fprintf(i ? out : stdout,
			"{\"payload\":%zu,\"pack_ns\":%.0f,\"seal_ns\":%.0f}\n",
			payload, pack_ns, seal_ns);
	seal_free(seal);
}

int main(void)
{
	FILE *out;

	g_mkdir_with_parents("report/bench", 0755);
	out = fopen("report/bench/decision.json", "w");
	if (!out)
		return 1;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure_size(&sizes[i], out);
	measure_message(100, out);
	measure_message(1200, out);
	fclose(out);
	return 0;
}
