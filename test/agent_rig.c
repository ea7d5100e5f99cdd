#include "agent_rig.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Caller 203.0.113.9, service 198.51.100.10, balancer 127.1.0.1 */
#define CALLER_IP	 0xcb007109U
#define SERVICE_IP	 0xc633640aU
#define FEED_PORT	 6001
#define BALANCER_IP	 0x7f010001U
#define TICK_MS		 50
#define PROBE_SEQ_OFFSET (64 * 1024 * 1024)

/*
 * A queued message to an agent. Kind MSG_NONE stands for a packet of its
 * backend server, MSG_KINDS for an ICMP port unreachable.
 */
typedef struct item {
	rig_agent_t *to;
	msg_kind_t kind;
	endpoint_t from;
	size_t len;
	uint8_t bytes[];
} item_t;

static void enqueue(rig_agent_t *to, msg_kind_t kind, const endpoint_t *from,
		    const uint8_t *bytes, size_t len)
{
	item_t *item = g_malloc(sizeof(*item) + len);

	item->to = to;
	item->kind = kind;
	item->from = *from;
	item->len = len;
	if (len)
		memcpy(item->bytes, bytes, len);
	g_queue_push_tail(&to->rig->queue, item);
}

static endpoint_t endpoint_of(unsigned agent)
{
	endpoint_t ep = { 0x7f020000U + agent, 7400 };

	return ep;
}

static void on_send(void *ctx, const endpoint_t *to, msg_kind_t kind,
		    const void *msg)
{
	rig_agent_t *ra = ctx;
	rig_t *r = ra->rig;
	endpoint_t from = endpoint_of(ra->index);
	uint8_t buf[65536];
	unsigned index = to->ip - 0x7f020000U;

	if (to->ip == BALANCER_IP && kind != MSG_HELD)
		return;
	if (to->ip == BALANCER_IP) {
		r->last_held = *(const held_msg_t *)msg;
		r->last_held.load = NULL;
		r->held_count++;
		return;
	}
	if (kind == MSG_WITNESS)
		r->witness_bytes += wire_size(msg);
	if (index >= r->n || r->agents[index].unreachable || ra->unreachable)
		return;
	if (kind == MSG_PACKET)
		r->forwarded++;
	enqueue(&r->agents[index], kind, &from, buf, wire_pack(msg, buf));
}

static void server_sends(rig_agent_t *ra, const packet_t *p, uint8_t flags,
			 uint32_t seq, uint32_t ack)
{
	endpoint_t none = { 0, 0 };
	packet_t out = { .key = flow_key_reverse(&p->key),
			 .seq = seq,
			 .ack = ack,
			 .flags = flags };
	uint8_t buf[PACKET_MAX];

	enqueue(ra, MSG_NONE, &none, buf, packet_build(&out, buf));
}

/* Next sequence number that the server expects after this packet. */
static uint32_t expected_seq(rig_agent_t *ra, const packet_t *p)
{
	gpointer key = GSIZE_TO_POINTER((gsize)ra->index << 16 | p->key.sport);
	uint32_t got = p->seq + (uint32_t)p->payload_len;
	uint32_t next = GPOINTER_TO_UINT(
		g_hash_table_lookup(ra->rig->server_next, key));

	if (next && seq_diff(got, next) <= 0)
		return next;
	/*
	 * An empty segment of a flow without payload so far counts as a probe,
	 * which lies before the receive window.
	 */
	if (!next && !p->payload_len && ra->server == RIG_ACKS)
		return got + PROBE_SEQ_OFFSET;
	g_hash_table_insert(ra->rig->server_next, key, GUINT_TO_POINTER(got));
	return got;
}

static void on_deliver(void *ctx, const uint8_t *packet, size_t len)
{
	rig_agent_t *ra = ctx;
	endpoint_t none = { 0, 0 };
	packet_t p;
	uint32_t next;
	bool open;

	ra->delivered++;
	if (packet_parse(packet, len, &p) != PACKET_OK)
		return;
	open = packet_is_open(&p);
	next = !open && ra->server != RIG_RESETS &&
			       (p.payload_len || ra->server == RIG_ACKS)
		       ? expected_seq(ra, &p)
		       : 0;
	ra->payloads += p.payload_len > 0;
	ra->flags = p.flags;
	if (p.flags & TCP_RST)
		return;
	if (ra->server == RIG_UNREACHABLE)
		enqueue(ra, MSG_KINDS, &none, NULL, 0);
	else if (ra->server == RIG_ACKS && !open)
		server_sends(ra, &p, TCP_ACK, p.ack, next);
	else if (ra->server == RIG_RESETS_SYN && open)
		server_sends(ra, &p, TCP_RST | TCP_ACK, 0, p.seq + 1);
	else if (ra->server == RIG_RESETS && !open)
		server_sends(ra, &p, TCP_RST, p.ack, 0);
}

static void on_reply(void *ctx, const uint8_t *packet, size_t len)
{
	rig_agent_t *ra = ctx;
	rig_t *r = ra->rig;

	if (packet_parse(packet, len, &r->last_reply) != PACKET_OK)
		abort();
	r->replies++;
	if (!(r->last_reply.flags & TCP_RST))
		return;
	r->resets++;
	r->reset_ports += !r->was_reset[r->last_reply.key.dport];
	r->was_reset[r->last_reply.key.dport] = true;
	snprintf(r->reset_text, sizeof(r->reset_text), "%.*s",
		 (int)r->last_reply.payload_len,
		 (const char *)r->last_reply.payload);
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
	(void)event;
	(void)subject;
	(void)detail;
}

config_t *rig_config(unsigned targets, uint64_t version, int without)
{
	GString *s = g_string_new(NULL);
	config_t *config = NULL;
	char text[900];
	err_t err;

	g_string_append_printf(
		s,
		"version = %llu\n[[service]]\nname = \"spot\"\n"
		"address = \"198.51.100.10\"\n[[service.class]]\n"
		"name = \"feed\"\nport = %d\nprotocol = \"tcp\"\nweight = 1\n"
		"idempotent = true\n[[service.class]]\nname = \"beacon\"\n"
		"port = %d\nprotocol = \"udp\"\nweight = 1\n"
		"idempotent = true\n",
		(unsigned long long)version, FEED_PORT, FEED_PORT);
	for (unsigned i = 0; i < targets; i++) {
		endpoint_t ep = endpoint_of(i);
		char agent[ENDPOINT_TEXT_SIZE];

		if ((int)i == without)
			continue;
		g_string_append_printf(
			s,
			"[[service.target]]\nname = \"t%u\"\nagent = \"%s\"\n"
			"zone = \"%c\"\nweight = 1.0\nslots = 5\n"
			"connections = 2000\n",
			i, endpoint_format(&ep, agent), 'a' + (char)(i % 3));
	}
	if (config_parse("rig", s->str, s->len, &config, &err) < 0)
		fprintf(stderr, "%s\n", err_format(&err, text, sizeof(text)));
	g_string_free(s, TRUE);
	return config;
}

void rig_restart(rig_t *r, unsigned agent)
{
	static const agent_ops_t ops = { on_send, on_deliver, on_reply,
					 on_newer_version, on_audit };
	rig_agent_t *ra = &r->agents[agent];
	agent_options_t options = { .self = endpoint_of(agent),
				    .rank_seed = RIG_SEED,
				    .incarnation = r->now,
				    .random_seed = agent + 1,
				    .flows = 4096,
				    .queue = 1000,
				    .off = r->off };

	agent_free(ra->agent);
	snprintf(options.target, sizeof(options.target), "t%u", agent);
	ra->agent = agent_new(&options, &ops, ra);
	agent_configure(ra->agent, r->now, r->config);
}

rig_t *rig_new(unsigned targets, mechanisms_t off)
{
	rig_t *r = g_new0(rig_t, 1);

	r->now = 1000;
	r->n = targets;
	r->off = off;
	r->config = rig_config(targets, 1, -1);
	g_queue_init(&r->queue);
	r->server_next = g_hash_table_new(NULL, NULL);
	for (unsigned i = 0; i < targets; i++) {
		r->agents[i].rig = r;
		r->agents[i].index = i;
		rig_restart(r, i);
	}
	return r;
}

void rig_free(rig_t *r)
{
	g_queue_clear_full(&r->queue, g_free);
	for (unsigned i = 0; i < r->n; i++)
		agent_free(r->agents[i].agent);
	config_unref(r->config);
	g_hash_table_destroy(r->server_next);
	g_free(r);
}

static void dispatch(rig_t *r, item_t *item)
{
	wire_arena_t arena = { 0 };
	void *msg;

	if (item->kind == MSG_NONE) {
		agent_server_packet(item->to->agent, r->now, item->bytes,
				    item->len);
		return;
	}
	if (item->kind == MSG_KINDS) {
		agent_server_unreachable(item->to->agent, r->now);
		return;
	}
	msg = wire_unpack(&arena, item->kind, item->bytes, item->len);
	if (msg && !item->to->unreachable)
		agent_message(item->to->agent, r->now, &item->from, item->kind,
			      msg);
	wire_arena_clear(&arena);
}

void rig_drain(rig_t *r)
{
	item_t *item;

	while ((item = g_queue_pop_head(&r->queue))) {
		if (!r->drop_messages)
			dispatch(r, item);
		g_free(item);
	}
}

void rig_advance(rig_t *r, uint64_t ms)
{
	uint64_t until = r->now + ms;

	while (r->now < until) {
		r->now += TICK_MS;
		for (unsigned i = 0; i < r->n; i++)
			if (!r->agents[i].unreachable)
				agent_tick(r->agents[i].agent, r->now);
		rig_drain(r);
	}
}

static size_t build_packet(uint16_t port, uint8_t flags, uint32_t seq,
			   uint32_t ack, const char *payload, bool from_server,
			   uint8_t *buf)
{
	flow_key_t key = { CALLER_IP, SERVICE_IP, port, FEED_PORT,
			   flags ? PROTO_TCP : PROTO_UDP };
	packet_t p = { .key = from_server ? flow_key_reverse(&key) : key,
		       .seq = seq,
		       .ack = ack,
		       .flags = flags,
		       .window = UINT16_MAX,
		       .payload = (const uint8_t *)payload,
		       .payload_len = payload ? strlen(payload) : 0 };

	return packet_build(&p, buf);
}

void rig_send(rig_t *r, unsigned agent, packet_step_t step, uint16_t port,
	      uint8_t flags, uint32_t seq, uint32_t ack, const char *payload)
{
	endpoint_t from = { BALANCER_IP, 7200 };
	uint8_t buf[PACKET_MAX];
	packet_msg_t msg;

	ct__packet__init(&msg);
	msg.service = r->config->services[0].id;
	msg.version = r->config->version;
	msg.digest = r->config->digest;
	msg.step = step;
	msg.reply_ip = from.ip;
	msg.reply_port = from.port;
	msg.inner.data = buf;
	msg.inner.len =
		build_packet(port, flags, seq, ack, payload, false, buf);
	agent_message(r->agents[agent].agent, r->now, &from, MSG_PACKET, &msg);
	rig_drain(r);
}

void rig_server_packet(rig_t *r, unsigned agent, uint16_t port, uint8_t flags,
		       uint32_t seq, uint32_t ack, const char *payload)
{
	uint8_t buf[PACKET_MAX];
	size_t len = build_packet(port, flags, seq, ack, payload, true, buf);

	agent_server_packet(r->agents[agent].agent, r->now, buf, len);
	rig_drain(r);
}

void rig_open(rig_t *r, unsigned agent, uint16_t port, uint32_t isn)
{
	r->agents[agent].server = RIG_SILENT;
	rig_send(r, agent, STEP_OPEN, port, TCP_SYN, isn, 0, NULL);
	rig_server_packet(r, agent, port, TCP_SYN | TCP_ACK, 5000, isn + 1,
			  NULL);
	rig_send(r, agent, STEP_LOOKUP, port, TCP_ACK, isn + 1, 5001, NULL);
	r->agents[agent].server = RIG_ACKS;
}

const char *rig_state(rig_t *r, unsigned agent, uint16_t port)
{
	static char state[32];
	flow_key_t key = { CALLER_IP, SERVICE_IP, port, FEED_PORT, PROTO_TCP };
	char *text, *at;

	for (int udp = 0; udp < 2; udp++) {
		text = agent_explain(r->agents[agent].agent, r->now, &key);
		at = strstr(text, "\"state\":\"");
		if (at)
			sscanf(at, "\"state\":\"%31[a-z]", state);
		g_free(text);
		if (at)
			return state;
		key.proto = PROTO_UDP;
	}
	return "none";
}

uint64_t rig_counter(rig_t *r, unsigned agent, counter_t id)
{
	return agent_counters(r->agents[agent].agent)->values[id];
}
