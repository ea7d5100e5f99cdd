/*
 * cherviltray-agent - daemon on the host of a backend server
 *
 * A caller's packet arrives in a sealed message at settings.listen; message()
 * passes it to the agent, which sends the packet by deliver() through the
 * tunnel of the backend server, or by send_message() to another agent. A packet
 * of the backend server arrives at settings.delivery; on_server_packet() passes
 * it to the agent, which sends it by reply() to the fabric.
 */

#include "agent.h"
#include "log.h"
#include "process.h"
#include "takeover.h"
#include "udp_socket.h"
#include <sodium.h>
#include <stdlib.h>

/* Time for the successor to confirm a handover, in ms. */
#define SUCCESSOR_TIMEOUT_MS 3000

typedef struct daemon {
	agent_t *agent;
	udp_socket_t *server;	/* tunnel to the backend server */
	udp_socket_t *fabric;	/* packets to callers */
	takeover_t predecessor; /* flows of the predecessor, until imported */
	uint64_t handover_ms;	/* time the flows were sent, 0: not sent */
} daemon_t;

/* Learned capacity is reported in thousandths. */
#define CAPACITY_UNIT 1000.0

static void on_server_packet(void *ctx, const endpoint_t *from, uint8_t *buf,
			     size_t len);
static void on_server_unreachable(void *ctx);
static void on_fabric(void *ctx, const endpoint_t *from, uint8_t *buf,
		      size_t len);
static void send_message(void *ctx, const endpoint_t *to, msg_kind_t kind,
			 const void *msg);
static void deliver(void *ctx, const uint8_t *packet, size_t len);
static void reply(void *ctx, const uint8_t *packet, size_t len);
static void newer_version(void *ctx, const endpoint_t *from, uint64_t version);
static void audit(void *ctx, const char *event, const char *subject,
		  const char *detail);
static int start(process_t *p, err_t *err);
static void end(process_t *p);
static void import(process_t *p, uint64_t now);
static void frame(process_t *p, stream_t *stream, msg_kind_t kind,
		  const void *msg);
static int configure(process_t *p, uint64_t now, config_t *config);
static void message(process_t *p, uint64_t now, const endpoint_t *from,
		    msg_kind_t kind, const void *msg);
static void tick(process_t *p, uint64_t now);
static void stop(process_t *p, uint64_t now);
static bool idle(process_t *p);
static void status(process_t *p, GString *out);
static char *explain(process_t *p, const flow_key_t *key);

static void on_server_packet(void *ctx, const endpoint_t *from, uint8_t *buf,
			     size_t len)
{
	process_t *p = ctx;
	daemon_t *d = p->ctx;

	(void)from;
	/* Dropped after a handover: the successor tracks the flows now. */
	if (!d->handover_ms)
		agent_server_packet(d->agent, uv_now(&p->loop), buf, len);
}

static void on_server_unreachable(void *ctx)
{
	process_t *p = ctx;
	daemon_t *d = p->ctx;

	agent_server_unreachable(d->agent, uv_now(&p->loop));
}

/* The fabric sends no packets to this socket. */
static void on_fabric(void *ctx, const endpoint_t *from, uint8_t *buf,
		      size_t len)
{
	process_t *p = ctx;

	(void)from;
	(void)buf;
	(void)len;
	counter_add(p->counters, COUNTER_MESSAGE_UNEXPECTED, 1);
}

static void send_message(void *ctx, const endpoint_t *to, msg_kind_t kind,
			 const void *msg)
{
	process_t *p = ctx;

	dgram_send(p->dgram, to, kind, msg);
}

static void deliver(void *ctx, const uint8_t *packet, size_t len)
{
	process_t *p = ctx;
	daemon_t *d = p->ctx;

	udp_socket_send(d->server, &p->settings.server, packet, len);
}

static void reply(void *ctx, const uint8_t *packet, size_t len)
{
	process_t *p = ctx;
	daemon_t *d = p->ctx;

	udp_socket_send(d->fabric, &p->settings.fabric, packet, len);
}

static void newer_version(void *ctx, const endpoint_t *from, uint64_t version)
{
	process_newer_version(ctx, from, version);
}

static void audit(void *ctx, const char *event, const char *subject,
		  const char *detail)
{
	process_audit(ctx, event, subject, detail);
}

static int start(process_t *p, err_t *err)
{
	static const agent_ops_t ops = { send_message, deliver, reply,
					 newer_version, audit };
	static const udp_socket_ops_t server_ops = {
		.receive = on_server_packet, .refused = on_server_unreachable
	};
	static const udp_socket_ops_t fabric_ops = { .receive = on_fabric };
	agent_options_t options = {
		.self = p->settings.listen,
		.rank_seed = seal_rank_seed(p->settings.key),
		.incarnation = wall_clock_ms(),
		.flows = p->settings.flows,
		.queue = p->settings.queue,
	};
	endpoint_t any = { p->settings.listen.ip, 0 };
	daemon_t *d = calloc(1, sizeof(*d));

	g_strlcpy(options.target, p->settings.target, sizeof(options.target));
	randombytes_buf(&options.random_seed, sizeof(options.random_seed));
	p->ctx = d;
	if (d)
		d->agent = agent_new(&options, &ops, p);
	if (!d || !d->agent)
		return err_set(
			err, ERR_MEMORY, NULL, 0, "lower flows in the settings",
			"out of memory for the agent and its table of %u flows",
			options.flows);
	p->counters = agent_counters(d->agent);
	if (p->settings.takeover && takeover_run(p, &d->predecessor, err) < 0)
		return -1;
	d->server = udp_socket_open(&p->loop, &p->settings.delivery,
				    &p->settings.server, &server_ops, p, err);
	if (!d->server)
		return -1;
	d->fabric = udp_socket_open(&p->loop, &any, NULL, &fabric_ops, p, err);
	return d->fabric ? 0 : -1;
}

static void end(process_t *p)
{
	daemon_t *d = p->ctx;

	if (!d)
		return;
	/* The counters are freed with the agent. */
	p->initial_counters = *p->counters;
	p->counters = &p->initial_counters;
	udp_socket_close(d->server);
	udp_socket_close(d->fabric);
	agent_free(d->agent);
	free(d->predecessor.body);
	free(d);
}

static int configure(process_t *p, uint64_t now, config_t *config)
{
	daemon_t *d = p->ctx;

	if (agent_configure(d->agent, now, config) < 0)
		return -1;
	if (d->predecessor.body)
		import(p, now);
	return 0;
}

/* Imports the predecessor's flows once the service is configured. */
static void import(process_t *p, uint64_t now)
{
	daemon_t *d = p->ctx;
	wire_arena_t arena = { 0 };
	handover_msg_t *msg = wire_unpack(
		&arena, MSG_HANDOVER, d->predecessor.body, d->predecessor.len);
	char text[64];

	if (msg && agent_import(d->agent, now, msg) == 0) {
		snprintf(text, sizeof(text), "%zu flows", msg->n_flows);
		process_audit(p, "takeover", p->settings.target, text);
	}
	wire_arena_clear(&arena);
	free(d->predecessor.body);
	d->predecessor.body = NULL;
}

static void message(process_t *p, uint64_t now, const endpoint_t *from,
		    msg_kind_t kind, const void *msg)
{
	daemon_t *d = p->ctx;

	if (!d->handover_ms)
		agent_message(d->agent, now, from, kind, msg);
}

static void tick(process_t *p, uint64_t now)
{
	daemon_t *d = p->ctx;

	if (d->handover_ms && now > d->handover_ms + SUCCESSOR_TIMEOUT_MS) {
		d->handover_ms = 0;
		process_audit(p, "handover-given-up", p->settings.target,
			      "the successor did not confirm the handover");
	}
	if (!d->handover_ms)
		agent_tick(d->agent, now);
}

/* Handles the successor's request for the flows and its confirmation. */
static void frame(process_t *p, stream_t *stream, msg_kind_t kind,
		  const void *msg)
{
	daemon_t *d = p->ctx;
	const handover_msg_t *req = msg;
	handover_msg_t flows;

	if (kind != MSG_HANDOVER || !req->request) {
		counter_add(p->counters, COUNTER_MESSAGE_UNEXPECTED, 1);
		return;
	}
	if (req->done) {
		if (d->handover_ms)
			process_stop_loop(p);
		return;
	}
	if (agent_export(d->agent, &flows) == 0 &&
	    stream_send(stream, MSG_HANDOVER, &flows) == 0) {
		d->handover_ms = uv_now(&p->loop);
		process_audit(p, "handover", p->settings.target,
			      "flows were sent to the successor");
	}
	agent_export_free(&flows);
}

static void stop(process_t *p, uint64_t now)
{
	daemon_t *d = p->ctx;

	agent_leave(d->agent, now);
}

static bool idle(process_t *p)
{
	daemon_t *d = p->ctx;

	return agent_held(d->agent) == 0;
}

static void status(process_t *p, GString *out)
{
	daemon_t *d = p->ctx;

	g_string_append_printf(out,
			       ",\"target\":\"%s\",\"held\":%zu,"
			       "\"in_flight\":%u,\"work\":%u,"
			       "\"capacity\":%.0f,\"complete\":%s",
			       p->settings.target, agent_held(d->agent),
			       agent_in_flight(d->agent), agent_work(d->agent),
			       agent_capacity(d->agent) * CAPACITY_UNIT,
			       agent_complete(d->agent) ? "true" : "false");
}

static char *explain(process_t *p, const flow_key_t *key)
{
	daemon_t *d = p->ctx;

	return agent_explain(d->agent, uv_now(&p->loop), key);
}

int main(int argc, char **argv)
{
	static const process_ops_t ops = {
		.program = "cherviltray-agent",
		.role = ROLE_AGENT,
		.start = start,
		.end = end,
		.configure = configure,
		.message = message,
		.frame = frame,
		.tick = tick,
		.stop = stop,
		.idle = idle,
		.status = status,
		.explain = explain,
	};

	return process_run(&ops, argc, argv);
}
