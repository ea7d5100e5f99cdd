#include "relay_rig.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RIG_ZONE "here"

static void record(relay_rig_t *r, rig_dest_t to, uint32_t host,
		   const uint8_t *buf, size_t len)
{
	rig_sent_t *s;

	if (r->nsent == RIG_SENT_MAX)
		abort();
	s = &r->sent[r->nsent++];
	s->to = to;
	s->host = host;
	s->len = len;
	if (len)
		memcpy(s->buf, buf, len);
}

static void to_agent(void *ctx, uint32_t host, const uint8_t *buf, size_t len)
{
	record(ctx, RIG_AGENT, host, buf, len);
}

static void to_caller(void *ctx, uint32_t host, const uint8_t *buf, size_t len)
{
	record(ctx, RIG_CALLER, host, buf, len);
}

static void to_server(void *ctx, const uint8_t *buf, size_t len)
{
	record(ctx, RIG_SERVER, 0, buf, len);
}

static void to_process(void *ctx, uint32_t host, const relay_msg_t *msg)
{
	uint8_t buf[RELAY_MSG_MAX];

	record(ctx, RIG_MESSAGE, host, buf, relay_msg_pack(msg, buf));
}

static void ask_balancer(void *ctx, uint32_t host)
{
	record(ctx, RIG_PEER, host, NULL, 0);
}

static void probe_server(void *ctx)
{
	relay_rig_t *r = ctx;

	if (r->probes_unanswered)
		return;
	if (r->server_listens)
		relay_agent_server_accepted(r->agent, r->now);
	else
		relay_agent_server_refused(r->agent, r->now);
}

static void read_store(void *ctx)
{
	record(ctx, RIG_STORE, 0, NULL, 0);
}

static bool store_watched(void *ctx)
{
	const relay_rig_t *r = ctx;

	return r->store_watched;
}

static uint64_t rig_unix_ms(void *ctx)
{
	const relay_rig_t *r = ctx;

	return r->unix_at_0 ? r->unix_at_0 + r->now : 0;
}

static relay_rig_t *rr_new(void)
{
	relay_rig_t *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->now = 100000;
	return r;
}

static relay_rig_t *new_balancer(const relay_balancer_ops_t *ops,
				 double warmup_overage, uint32_t warmup_slack)
{
	relay_balancer_options_t options = { .self = RIG_BALANCER_ADDRESS,
					     .zone = RIG_ZONE,
					     .format = &fleet_packet_format,
					     .max_flows = 1000,
					     .target_expiry_ms = 3000,
					     .warmup_overage = warmup_overage,
					     .warmup_slack = warmup_slack };
	relay_rig_t *r = rr_new();

	r->balancer = relay_balancer_new(&options, ops, r);
	relay_balancer_tick(r->balancer, r->now);
	return r;
}

relay_rig_t *rr_new_balancer(double warmup_overage, uint32_t warmup_slack)
{
	static const relay_balancer_ops_t ops = { to_agent,	to_process,
						  to_caller,	rig_unix_ms,
						  ask_balancer, NULL,
						  NULL };

	return new_balancer(&ops, warmup_overage, warmup_slack);
}

relay_rig_t *rr_balancer(void)
{
	return rr_new_balancer(0, 0);
}

relay_rig_t *rr_reading_balancer(void)
{
	static const relay_balancer_ops_t ops = { to_agent,	to_process,
						  to_caller,	rig_unix_ms,
						  ask_balancer, read_store,
						  store_watched };

	return new_balancer(&ops, 0, 0);
}

void rr_store_read(relay_rig_t *r)
{
	relay_balancer_store_read(r->balancer, r->now, r->now);
}

relay_rig_t *rr_agent(bool knows_all_flows)
{
	static const relay_agent_ops_t ops = { to_server, to_process, to_caller,
					       probe_server };
	relay_agent_options_t options = { .self = RIG_HOST_A,
					  .service = "feeds",
					  .format = &fleet_packet_format,
					  .max_flows = 1000,
					  .knows_all_flows = knows_all_flows };
	relay_rig_t *r = rr_new();

	options.now = r->now;
	r->agent = relay_agent_new(&options, &ops, r);
	relay_agent_tick(r->agent, r->now);
	return r;
}

void rr_free(relay_rig_t *r)
{
	relay_balancer_free(r->balancer);
	relay_agent_free(r->agent);
	free(r);
}

void rr_routes(relay_rig_t *r, uint64_t version)
{
	route_share_t share = { .service = "feeds", .weight = 1 };

	rr_route_to(r, version, &share, 1);
}

void rr_route_to(relay_rig_t *r, uint64_t version, route_share_t *shares,
		 size_t n)
{
	route_t route = { .name = "r",
			  .address = RIG_SERVICE_ADDRESS,
			  .port = RIG_SERVICE_PORT,
			  .idempotent = true,
			  .objective_ms = 100,
			  .shares = shares,
			  .nshares = n };
	route_table_t *t = route_table_new(version, 15000);

	if (n && route_table_add(t, &route, NULL) < 0)
		abort();
	relay_balancer_set_routes(r->balancer, t);
}

void rr_entry(relay_rig_t *r, const char *id, uint32_t host, uint64_t revision,
	      entry_state_t state)
{
	rr_entry_of(r, "feeds", id, host, revision, state);
}

static void put_entry(relay_rig_t *r, const char *service, const char *id,
		      uint32_t host, uint64_t revision, entry_state_t state,
		      uint64_t started_ms)
{
	target_entry_t e = { .zone = RIG_ZONE,
			     .address = { host, 8080 },
			     .slots = 2,
			     .state = state,
			     .started_ms = started_ms,
			     .write_number = revision,
			     .revision = { .number = revision } };

	snprintf(e.id, sizeof(e.id), "%s", id);
	e.service = g_intern_string(service);
	directory_put(relay_balancer_directory(r->balancer), r->now, &e);
}

void rr_entry_of(relay_rig_t *r, const char *service, const char *id,
		 uint32_t host, uint64_t revision, entry_state_t state)
{
	put_entry(r, service, id, host, revision, state, 0);
}

relay_rig_t *rr_two_targets(void)
{
	relay_rig_t *r = rr_balancer();

	rr_routes(r, 1);
	rr_entry(r, "a", RIG_HOST_A, 2, ENTRY_READY);
	rr_entry(r, "b", RIG_HOST_B, 3, ENTRY_READY);
	return r;
}

void rr_entry_started(relay_rig_t *r, const char *id, uint32_t host,
		      uint64_t revision, entry_state_t state,
		      uint64_t started_ms)
{
	put_entry(r, "feeds", id, host, revision, state, started_ms);
}

void rr_entry_gone(relay_rig_t *r, const char *id, uint64_t revision)
{
	directory_remove(relay_balancer_directory(r->balancer), r->now, id,
			 (store_revision_t){ .number = revision });
}

void rr_advance(relay_rig_t *r, uint64_t ms)
{
	uint64_t end = r->now + ms;

	while (r->now < end) {
		r->now += RELAY_BALANCER_TICK_MS;
		if (r->balancer)
			relay_balancer_tick(r->balancer, r->now);
		else
			relay_agent_tick(r->agent, r->now);
	}
}

static void put_be(uint8_t *at, uint32_t value, int bytes)
{
	while (bytes-- > 0) {
		at[bytes] = (uint8_t)value;
		value >>= 8;
	}
}

static uint8_t wire_flags(uint8_t flags)
{
	uint8_t wire = 0;

	if (flags & RELAY_SYN)
		wire |= 16;
	if (flags & RELAY_ACK)
		wire |= 2;
	if (flags & RELAY_FIN)
		wire |= 8;
	if (flags & RELAY_RST)
		wire |= 4;
	if (flags & RELAY_RETURNED)
		wire |= 1;
	return wire;
}

static size_t build_packet(uint8_t *buf, unsigned flow, bool to_service,
			   uint8_t flags, uint32_t seq, uint32_t ack,
			   unsigned payload)
{
	memset(buf, 0, 32 + payload);
	put_be(buf, payload, 2);
	put_be(buf + 2, seq, 4);
	put_be(buf + 6, ack, 4);
	put_be(buf + (to_service ? 14 : 20), RIG_CALLER_ADDRESS, 4);
	put_be(buf + (to_service ? 18 : 24), 10000 + flow, 2);
	put_be(buf + (to_service ? 20 : 14), RIG_SERVICE_ADDRESS, 4);
	put_be(buf + (to_service ? 24 : 18), RIG_SERVICE_PORT, 2);
	buf[26] = wire_flags(flags);
	return 32 + payload;
}

size_t rr_packet(uint8_t *buf, unsigned flow, uint8_t flags, uint32_t seq,
		 uint32_t ack, unsigned payload)
{
	return build_packet(buf, flow, true, flags, seq, ack, payload);
}

void rr_from_caller(relay_rig_t *r, unsigned flow, uint8_t flags, uint32_t seq,
		    uint32_t ack, unsigned payload)
{
	uint8_t buf[RELAY_PACKET_MAX];
	size_t len = build_packet(buf, flow, true, flags, seq, ack, payload);

	relay_balancer_handle_waited(r->balancer, r->now, r->wait_ms, buf, len);
}

void rr_from_balancer(relay_rig_t *r, uint32_t balancer, unsigned flow,
		      uint8_t flags, uint32_t seq, uint32_t ack,
		      unsigned payload, uint8_t mark)
{
	uint8_t buf[RELAY_PACKET_MAX];
	size_t len = build_packet(buf, flow, true, flags, seq, ack, payload);

	buf[27] = mark;
	put_be(buf + 28, service_tag("feeds"), 4);
	relay_agent_handle_packet(r->agent, r->now, balancer, buf, len);
}

void rr_from_server(relay_rig_t *r, unsigned flow, uint8_t flags, uint32_t seq,
		    uint32_t ack, unsigned payload)
{
	uint8_t buf[RELAY_PACKET_MAX];
	size_t len = build_packet(buf, flow, false, flags, seq, ack, payload);

	relay_agent_handle_server_packet(r->agent, r->now, buf, len);
}

void rr_returned(relay_rig_t *r, unsigned flow, uint8_t flags, uint32_t seq,
		 uint32_t ack, unsigned payload)
{
	uint8_t buf[RELAY_PACKET_MAX];
	size_t len = build_packet(buf, flow, true, flags | RELAY_RETURNED, seq,
				  ack, payload);

	put_be(buf + 28, RIG_BALANCER_ADDRESS, 4);
	relay_agent_handle_server_packet(r->agent, r->now, buf, len);
}

static void deliver_message(relay_rig_t *r, uint32_t host,
			    const relay_msg_t *msg)
{
	if (r->balancer)
		relay_balancer_handle_message(r->balancer, r->now, host, msg);
	else
		relay_agent_handle_waited(r->agent, r->now, r->wait_ms, host,
					  msg);
}

void rr_flow_message(relay_rig_t *r, uint32_t host, relay_kind_t kind,
		     unsigned flow, const char *service)
{
	relay_msg_t msg;

	relay_msg_init(&msg, kind);
	msg.src = RIG_CALLER_ADDRESS;
	msg.sport = 10000 + flow;
	msg.dst = RIG_SERVICE_ADDRESS;
	msg.dport = RIG_SERVICE_PORT;
	msg.service = (char *)service;
	if (kind == RELAY_TAKEN)
		msg.server_isn = RIG_SERVER_ISN;
	deliver_message(r, host, &msg);
}

/* Passes a load report; fields that are not set are 0. */
static void send_load(relay_rig_t *r, uint32_t host, relay_load_t load)
{
	relay_load_t empty;
	relay_msg_t msg;

	ct__relay__load__init(&empty);
	load.base = empty.base;
	relay_msg_init(&msg, RELAY_LOAD);
	msg.load = &load;
	deliver_message(r, host, &msg);
}

void rr_load(relay_rig_t *r, uint32_t host, uint32_t in_flight, double work,
	     double service_ms, uint32_t down_ms)
{
	send_load(r, host,
		  (relay_load_t){ .in_flight = in_flight,
				  .work_hundredths = (uint32_t)(work * 100),
				  .service_us = (uint32_t)(service_ms * 1000),
				  .down_ms = down_ms });
}

void rr_load_failing(relay_rig_t *r, uint32_t host, uint32_t percent)
{
	send_load(r, host, (relay_load_t){ .failed_percent = percent });
}

void rr_load_stopping(relay_rig_t *r, uint32_t host)
{
	send_load(r, host, (relay_load_t){ .stopping = true });
}

void rr_load_restarting(relay_rig_t *r, uint32_t host, bool listens)
{
	send_load(r, host,
		  (relay_load_t){ .stopping = true, .listens = listens });
}

void rr_load_stalled(relay_rig_t *r, uint32_t host, uint32_t stalled_ms)
{
	send_load(r, host, (relay_load_t){ .stalled_ms = stalled_ms });
}

void rr_load_hung(relay_rig_t *r, uint32_t host, uint32_t stalled_ms,
		  uint32_t down_ms)
{
	send_load(r, host,
		  (relay_load_t){ .stalled_ms = stalled_ms,
				  .down_ms = down_ms,
				  .listens = true });
}

static void offer(relay_rig_t *r, uint32_t balancer, unsigned flow,
		  uint32_t seq, const uint32_t *candidates, size_t n,
		  double typical_ms, uint32_t queue_ms)
{
	uint8_t buf[RELAY_PACKET_MAX];
	relay_msg_t msg;

	relay_msg_init(&msg, RELAY_OFFER);
	msg.service = (char *)"feeds";
	msg.balancer = balancer;
	msg.packet.data = buf;
	msg.packet.len = build_packet(buf, flow, true, RELAY_SYN, seq, 0, 0);
	msg.candidates = (uint32_t *)candidates;
	msg.n_candidates = n;
	msg.max_wait_ms = 100;
	msg.typical_us = (uint32_t)(typical_ms * 1000);
	msg.queue_ms = queue_ms;
	msg.objective_ms = 200;
	deliver_message(r, balancer, &msg);
}

void rr_offer(relay_rig_t *r, uint32_t balancer, unsigned flow, uint32_t seq,
	      const uint32_t *candidates, size_t n)
{
	offer(r, balancer, flow, seq, candidates, n, 0, 0);
}

void rr_offer_typical(relay_rig_t *r, uint32_t balancer, unsigned flow,
		      uint32_t seq, double typical_ms)
{
	offer(r, balancer, flow, seq, NULL, 0, typical_ms, 0);
}

void rr_offer_queue(relay_rig_t *r, uint32_t balancer, unsigned flow,
		    uint32_t seq, uint32_t queue_ms)
{
	offer(r, balancer, flow, seq, NULL, 0, 0, queue_ms);
}

void rr_open_flow(relay_rig_t *r, unsigned flow)
{
	rr_offer(r, RIG_FLOW_BALANCER, flow, 5, NULL, 0);
	rr_from_server(r, flow, RELAY_SYN | RELAY_ACK, RIG_FLOW_ISN, 6, 0);
}

void rr_request(relay_rig_t *r, unsigned flow)
{
	rr_from_balancer(r, RIG_FLOW_BALANCER, flow, RELAY_ACK, 6,
			 RIG_FLOW_ISN + 1, 100, 0);
}

void rr_response(relay_rig_t *r, unsigned flow)
{
	rr_from_server(r, flow, RELAY_ACK, RIG_FLOW_ISN + 1, 106, 500);
}

void rr_hello(relay_rig_t *r, uint32_t balancer, uint32_t slots)
{
	relay_msg_t msg;

	relay_msg_init(&msg, RELAY_HELLO);
	msg.service = (char *)"feeds";
	msg.slots = slots;
	deliver_message(r, balancer, &msg);
}

static bool matches(const rig_sent_t *s, rig_dest_t to, uint32_t host,
		    relay_kind_t kind)
{
	relay_msg_t *msg;
	bool ret;

	if (s->to != to || (host && s->host != host))
		return false;
	if (!kind || to != RIG_MESSAGE)
		return true;
	msg = relay_msg_unpack(s->buf, s->len);
	ret = msg && msg->kind == kind;
	relay_msg_free(msg);
	return ret;
}

int rr_last(const relay_rig_t *r, rig_dest_t to, uint32_t host,
	    relay_kind_t kind)
{
	for (size_t i = r->nsent; i-- > 0;)
		if (matches(&r->sent[i], to, host, kind))
			return (int)i;
	return -1;
}

size_t rr_count(const relay_rig_t *r, rig_dest_t to, uint32_t host,
		relay_kind_t kind)
{
	size_t n = 0;

	for (size_t i = 0; i < r->nsent; i++)
		n += matches(&r->sent[i], to, host, kind);
	return n;
}

relay_msg_t *rr_load_report_after(relay_rig_t *r, uint64_t ms)
{
	int at;

	rr_clear(r);
	rr_advance(r, ms);
	at = rr_last(r, RIG_MESSAGE, RIG_FLOW_BALANCER, RELAY_LOAD);
	return at < 0 ? NULL
		      : relay_msg_unpack(r->sent[at].buf, r->sent[at].len);
}

void rr_clear(relay_rig_t *r)
{
	r->nsent = 0;
}

void rr_chain_not_held(relay_rig_t *r, uint32_t host, unsigned flow,
		       unsigned chain)
{
	rr_chain_unsure(r, host, flow, chain, NULL, 0);
}

void rr_chain_unsure(relay_rig_t *r, uint32_t host, unsigned flow,
		     unsigned chain, uint32_t *unsure, size_t n)
{
	relay_msg_t msg;

	relay_msg_init(&msg, RELAY_NOT_HELD);
	msg.src = RIG_CALLER_ADDRESS;
	msg.sport = 10000 + flow;
	msg.dst = RIG_SERVICE_ADDRESS;
	msg.dport = RIG_SERVICE_PORT;
	msg.chain = chain;
	msg.unsure = unsure;
	msg.n_unsure = n;
	deliver_message(r, host, &msg);
}

unsigned rr_last_chain(const relay_rig_t *r, uint32_t host)
{
	int last = rr_last(r, RIG_MESSAGE, host, RELAY_LOOKUP);
	relay_msg_t *msg;
	unsigned chain;

	if (last < 0)
		return 0;
	msg = relay_msg_unpack(r->sent[last].buf, r->sent[last].len);
	chain = msg->chain;
	relay_msg_free(msg);
	return chain;
}

/* A look-up of a request; the caller sets further fields and delivers it. */
static relay_msg_t lookup_message(uint8_t *buf, uint32_t balancer,
				  unsigned flow, uint32_t ack,
				  const uint32_t *candidates, size_t n)
{
	relay_msg_t msg;

	relay_msg_init(&msg, RELAY_LOOKUP);
	msg.service = (char *)"feeds";
	msg.balancer = balancer;
	msg.packet.data = buf;
	msg.packet.len = build_packet(buf, flow, true, RELAY_ACK, 6, ack, 100);
	msg.candidates = (uint32_t *)candidates;
	msg.n_candidates = n;
	msg.chain = 1;
	return msg;
}

void rr_lookup(relay_rig_t *r, uint32_t balancer, unsigned flow, uint32_t ack,
	       const uint32_t *candidates, size_t n)
{
	rr_lookup_unsure(r, balancer, flow, ack, candidates, n, NULL, 0);
}

void rr_lookup_known(relay_rig_t *r, uint32_t balancer, unsigned flow,
		     uint32_t ack, const uint32_t *candidates, size_t n)
{
	uint8_t buf[RELAY_PACKET_MAX];
	relay_msg_t msg =
		lookup_message(buf, balancer, flow, ack, candidates, n);

	msg.known_only = true;
	deliver_message(r, balancer, &msg);
}

void rr_lookup_unsure(relay_rig_t *r, uint32_t balancer, unsigned flow,
		      uint32_t ack, const uint32_t *candidates, size_t n,
		      const uint32_t *unsure, size_t m)
{
	uint8_t buf[RELAY_PACKET_MAX];
	relay_msg_t msg =
		lookup_message(buf, balancer, flow, ack, candidates, n);

	msg.unsure = (uint32_t *)unsure;
	msg.n_unsure = m;
	deliver_message(r, balancer, &msg);
}
