#include "agent_int.h"

/* A flow is probed this often, so that a restarted server is noticed. */
#define FLOW_PROBE_MS 1000
/* Flows looked at to find one that is established. */
#define FLOW_PROBE_SCAN_MAX 256
/* A server that is down or silent is probed this often. */
#define SERVER_PROBE_MS 250
/* Silent for longer after a question: no new opens. */
#define SERVER_SILENT_MS 3000
/* Silent for longer: its flows are given up. */
#define SERVER_LOST_MS 15000

static void server_set_down(agent_t *a, uint64_t now, const char *why);
static void offer_opening_flows(agent_t *a, uint64_t now);
static void server_set_lost(agent_t *a, uint64_t now);
static void probe_server(agent_t *a);
static void probe_idle_flow(agent_t *a, uint64_t now);
static void probe_all_flows(agent_t *a);

/* The opens that it has not answered go elsewhere. */
static void offer_opening_flows(agent_t *a, uint64_t now)
{
	list_each_safe(node, after, flow_table_transient(a->flows))
	{
		flow_t *f = list_entry(node, flow_t, transient);

		if (f->state == FLOW_OPENING && f->key.proto == PROTO_TCP)
			offer_buffered_syn(a, now, f);
	}
}

static void server_set_down(agent_t *a, uint64_t now, const char *why)
{
	if (!a->server_down)
		agent_audit(a, "server-down", why);
	a->server_down = true;
	offer_opening_flows(a, now);
}

/* The callers of all its flows are told. */
static void server_set_lost(agent_t *a, uint64_t now)
{
	if (a->server_lost)
		return;
	a->server_lost = true;
	counter_add(&a->counters, COUNTER_SERVER_LOST, 1);
	list_each_safe(node, after, flow_table_recent(a->flows, PROTO_TCP))
	{
		flow_t *f = list_entry(node, flow_t, recent);

		if (f->state == FLOW_HALF_OPEN || f->state == FLOW_ESTABLISHED)
			flow_reset_caller(a, now, f);
	}
	list_each_safe(node, after, flow_table_recent(a->flows, PROTO_UDP))
		flow_remove(a, list_entry(node, flow_t, recent));
}

void agent_server_unreachable(agent_t *a, uint64_t now)
{
	if (!a->service)
		return;
	server_set_down(a, now, "nothing listens at its tunnel");
	server_set_lost(a, now);
}

void server_answered(agent_t *a, uint64_t now)
{
	if (a->server_down)
		agent_audit(a, "server-up", "it answers");
	a->server_down = false;
	a->server_lost = false;
	a->last_server_packet_ms = now;
	a->unanswered_since_ms = 0;
}

void server_expect_answer(agent_t *a, uint64_t now)
{
	if (!a->unanswered_since_ms)
		a->unanswered_since_ms = now;
}

/* A segment of no flow: a server that is there resets it. */
static void probe_server(agent_t *a)
{
	uint8_t buf[PACKET_MAX];
	packet_t p = { .key = { .src = a->options.self.ip,
				.dst = a->service->address,
				.sport = a->options.self.port,
				.proto = PROTO_TCP },
		       .flags = TCP_ACK };

	for (size_t i = 0; i < a->service->nclasses; i++)
		if (a->service->classes[i].proto == PROTO_TCP)
			p.key.dport = a->service->classes[i].port;
	if (!p.key.dport)
		return;
	counter_add(&a->counters, COUNTER_SERVER_PROBES, 1);
	a->ops.deliver(a->ctx, buf, packet_build(&p, buf));
}

/* Asks for the flow that has been quiet for longest. */
static void probe_idle_flow(agent_t *a, uint64_t now)
{
	unsigned scanned = 0;

	list_each(node, flow_table_recent(a->flows, PROTO_TCP))
	{
		flow_t *f = list_entry(node, flow_t, recent);

		if (++scanned > FLOW_PROBE_SCAN_MAX)
			return;
		if (f->state != FLOW_ESTABLISHED)
			continue;
		counter_add(&a->counters, COUNTER_SERVER_PROBES, 1);
		server_expect_answer(a, now);
		flow_probe(a, f);
		return;
	}
}

/* It disowned a flow: perhaps it has started anew and knows none. */
static void probe_all_flows(agent_t *a)
{
	a->restart_suspected = false;
	list_each_safe(node, after, flow_table_recent(a->flows, PROTO_TCP))
	{
		flow_t *f = list_entry(node, flow_t, recent);

		if (f->state == FLOW_ESTABLISHED)
			flow_probe(a, f);
	}
}

void server_tick(agent_t *a, uint64_t now)
{
	uint64_t silent =
		a->unanswered_since_ms ? now - a->unanswered_since_ms : 0;
	bool late = silent > FLOW_PROBE_MS;

	if (a->restart_suspected)
		probe_all_flows(a);
	if (silent > SERVER_SILENT_MS)
		server_set_down(a, now, "it does not answer");
	if (silent > SERVER_LOST_MS)
		server_set_lost(a, now);
	if (now < a->next_server_probe_ms)
		return;
	a->next_server_probe_ms =
		now +
		(late || a->server_down ? SERVER_PROBE_MS : FLOW_PROBE_MS);
	if (late || a->server_down)
		probe_server(a);
	else
		probe_idle_flow(a, now);
}
