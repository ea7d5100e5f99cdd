#include "agent_int.h"

/* Interval of probes of a flow, by which a restarted server is detected. */
#define FLOW_PROBE_MS 1000
/* Flows searched for an established one to probe. */
#define FLOW_PROBE_SCAN_MAX 256
/* Interval of probes while the server is down or does not answer. */
#define SERVER_PROBE_MS 250
/* Time without an answer after which no opens are accepted. */
#define SERVER_SILENT_MS 3000
/* Time without an answer after which the callers are reset. */
#define SERVER_LOST_MS 15000

static void server_set_down(agent_t *a, uint64_t now, const char *why);
static void offer_opening_flows(agent_t *a, uint64_t now);
static void server_set_lost(agent_t *a, uint64_t now);
static void probe_server(agent_t *a);
static void probe_idle_flow(agent_t *a, uint64_t now);
static void probe_all_flows(agent_t *a);

/* Offers the opens that the server has not answered to other members. */
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

/* Resets the callers of all TCP flows and removes the UDP flows. */
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
	server_set_down(a, now, "the tunnel to the server refuses packets");
	server_set_lost(a, now);
}

void server_answered(agent_t *a, uint64_t now)
{
	if (a->server_down)
		agent_audit(a, "server-up", "the server answers again");
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

/* Sends a segment of no connection, which a running server resets. */
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

/* Probes the established flow that has been idle for longest. */
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

/*
 * Probes all flows after the server reset one that it should have: it may have
 * been restarted.
 */
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
		server_set_down(a, now, "the server does not answer");
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
