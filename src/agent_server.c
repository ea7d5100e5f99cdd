#include "agent_int.h"

/* A flow is probed this often, so that a restarted server is noticed. */
#define CANARY_MS 1000
/* Flows looked at to find one that is established. */
#define CANARY_LOOKS 256
/* A server that is down or silent is probed this often. */
#define PROBE_MS 250
/* Silent for longer after a question: no new opens. */
#define SILENT_MS 3000
/* Silent for longer: its flows are given up. */
#define LOST_MS 15000

static void down(agent_t *a, uint64_t now, const char *why);
static void offer_opening(agent_t *a, uint64_t now);
static void lose(agent_t *a, uint64_t now);
static void knock(agent_t *a);
static void canary(agent_t *a, uint64_t now);
static void probe_all(agent_t *a);

/* The opens that it has not answered go elsewhere. */
static void offer_opening(agent_t *a, uint64_t now)
{
	list_each_safe(node, after, flow_table_transient(a->flows))
	{
		flow_t *f = list_entry(node, flow_t, transient);

		if (f->state == FLOW_OPENING && f->key.proto == PROTO_TCP)
			offer_refused(a, now, f);
	}
}

static void down(agent_t *a, uint64_t now, const char *why)
{
	if (!a->server_down)
		agent_audit(a, "server-down", why);
	a->server_down = true;
	offer_opening(a, now);
}

/* The callers of all its flows are told. */
static void lose(agent_t *a, uint64_t now)
{
	if (a->server_lost)
		return;
	a->server_lost = true;
	counter_add(&a->counters, COUNTER_SERVER_LOST, 1);
	list_each_safe(node, after, flow_table_recent(a->flows, PROTO_TCP))
	{
		flow_t *f = list_entry(node, flow_t, recent);

		if (f->state == FLOW_HALF_OPEN || f->state == FLOW_ESTABLISHED)
			flow_tell(a, now, f);
	}
	list_each_safe(node, after, flow_table_recent(a->flows, PROTO_UDP))
		flow_forget(a, list_entry(node, flow_t, recent));
}

void agent_server_gone(agent_t *a, uint64_t now)
{
	if (!a->service)
		return;
	down(a, now, "nothing listens at its tunnel");
	lose(a, now);
}

void server_heard(agent_t *a, uint64_t now)
{
	if (a->server_down)
		agent_audit(a, "server-up", "it answers");
	a->server_down = false;
	a->server_lost = false;
	a->server_heard_ms = now;
	a->server_asked_ms = 0;
}

void server_asked(agent_t *a, uint64_t now)
{
	if (!a->server_asked_ms)
		a->server_asked_ms = now;
}

/* A segment of no flow: a server that is there resets it. */
static void knock(agent_t *a)
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
static void canary(agent_t *a, uint64_t now)
{
	unsigned looked = 0;

	list_each(node, flow_table_recent(a->flows, PROTO_TCP))
	{
		flow_t *f = list_entry(node, flow_t, recent);

		if (++looked > CANARY_LOOKS)
			return;
		if (f->state != FLOW_ESTABLISHED)
			continue;
		counter_add(&a->counters, COUNTER_SERVER_PROBES, 1);
		server_asked(a, now);
		flow_probe(a, f);
		return;
	}
}

/* It disowned a flow: perhaps it has started anew and knows none. */
static void probe_all(agent_t *a)
{
	a->server_doubted = false;
	list_each_safe(node, after, flow_table_recent(a->flows, PROTO_TCP))
	{
		flow_t *f = list_entry(node, flow_t, recent);

		if (f->state == FLOW_ESTABLISHED)
			flow_probe(a, f);
	}
}

void server_tick(agent_t *a, uint64_t now)
{
	uint64_t silent = a->server_asked_ms ? now - a->server_asked_ms : 0;
	bool late = silent > CANARY_MS;

	if (a->server_doubted)
		probe_all(a);
	if (silent > SILENT_MS)
		down(a, now, "it does not answer");
	if (silent > LOST_MS)
		lose(a, now);
	if (now < a->server_probe_ms)
		return;
	a->server_probe_ms =
		now + (late || a->server_down ? PROBE_MS : CANARY_MS);
	if (late || a->server_down)
		knock(a);
	else
		canary(a, now);
}
