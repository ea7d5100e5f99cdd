/*
 * Daemon of an agent that relays packets. A caller's packet arrives at
 * settings.packets and passes on_packet(), the agent and deliver() to the
 * backend server. The server's packet arrives at settings.server_out and passes
 * on_server_packet(), the agent and relay_process_send_packet() to the caller.
 */

#include "event_log.h"
#include "relay_agent.h"
#include "relay_process.h"
#include <arpa/inet.h>
#include <stdlib.h>

/* Time after which a connection without an answer is given up: the server's
 * queue of connections is full. */
#define PROBE_TIMEOUT_MS 1000
/* Time from the stop signal to the exit: the balancers receive the report that
 * the agent stops, and opens that were offered before are handled. */
#define STOP_MS 400
/* Tracked flows per MB of the memory limit. */
#define FLOWS_PER_MB 64

typedef struct agent_state {
	relay_agent_t *agent;
	udp_socket_t *server;
	uv_tcp_t probe; /* of whether a server listens */
	uv_connect_t probe_request;
	uint64_t probed_ms; /* when it began */
	bool probes_start;  /* at the start of the agent */
	bool probe_closed;  /* never opened, or closed again */
	bool ended;	    /* to be freed once the probe is closed */
} agent_state_t;

static void deliver(void *ctx, const uint8_t *buf, size_t len)
{
	relay_process_t *p = ctx;
	agent_state_t *s = p->ctx;

	udp_socket_send(s->server, &p->settings.server, buf, len);
}

static void on_server_packet(void *ctx, const endpoint_t *from, uint8_t *buf,
			     size_t len)
{
	relay_process_t *p = ctx;
	agent_state_t *s = p->ctx;

	(void)from;
	relay_agent_handle_server_packet(s->agent, relay_process_now(p), buf,
					 len);
}

static void free_state(agent_state_t *s)
{
	if (s->ended && s->probe_closed)
		free(s);
}

static void on_probe_closed(uv_handle_t *handle)
{
	agent_state_t *s = handle->data;

	s->probe_closed = true;
	s->probes_start = false;
	free_state(s);
}

static void on_probe(uv_connect_t *request, int status)
{
	relay_process_t *p = request->data;
	agent_state_t *s = request->handle->data;

	if (s->ended || status == UV_ECANCELED)
		return;
	if (status == UV_ECONNREFUSED && s->probes_start)
		relay_agent_no_server(s->agent, relay_process_now(p));
	else if (status == UV_ECONNREFUSED)
		relay_agent_server_refused(s->agent, relay_process_now(p));
	else if (status == 0 && !s->probes_start)
		relay_agent_server_accepted(s->agent, relay_process_now(p));
	uv_close((uv_handle_t *)&s->probe, on_probe_closed);
}

/* Finds out with one connection, without a request, whether a server listens.
 */
static void probe_server(void *ctx)
{
	relay_process_t *p = ctx;
	agent_state_t *s = p->ctx;
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(p->settings.server.port),
		.sin_addr.s_addr = htonl(p->settings.server.ip),
	};

	if (!s->probe_closed) {
		if (relay_process_now(p) >= s->probed_ms + PROBE_TIMEOUT_MS &&
		    !uv_is_closing((uv_handle_t *)&s->probe))
			uv_close((uv_handle_t *)&s->probe, on_probe_closed);
		return;
	}
	if (uv_tcp_init(&p->loop, &s->probe) < 0)
		return;
	s->probe_closed = false;
	s->probed_ms = relay_process_now(p);
	s->probe.data = s;
	s->probe_request.data = p;
	if (uv_tcp_connect(&s->probe_request, &s->probe,
			   (const struct sockaddr *)&address, on_probe) < 0)
		uv_close((uv_handle_t *)&s->probe, on_probe_closed);
}

static int start(relay_process_t *p, err_t *err)
{
	static const relay_agent_ops_t ops = { deliver,
					       relay_process_send_message,
					       relay_process_send_packet,
					       probe_server };
	static const udp_socket_ops_t server_ops = { .receive =
							     on_server_packet };
	relay_agent_options_t options = {
		.self = p->settings.address,
		.service = p->settings.service,
		.format = relay_platform.format,
		.max_flows = (size_t)p->settings.memory_mb * FLOWS_PER_MB,
		.knows_all_flows = p->settings.first_start,
		.now = relay_process_now(p),
	};
	agent_state_t *s = calloc(1, sizeof(*s));

	p->ctx = s;
	if (s)
		s->probe_closed = true;
	if (s)
		s->agent = relay_agent_new(&options, &ops, p);
	if (!s || !s->agent)
		return err_set(err, ERR_MEMORY, NULL, 0, "free memory",
			       "out of memory while creating the agent");
	p->counters = relay_agent_counters(s->agent);
	s->server = udp_socket_open(&p->loop, &p->settings.server_out, NULL,
				    &server_ops, p, err);
	if (!s->server)
		return -1;
	udp_socket_disable_gso(s->server);
	/* After a power loss mostly no server listens yet, and the agent will
	 * have seen all its flows. */
	s->probes_start = !p->settings.first_start;
	if (s->probes_start)
		probe_server(p);
	return 0;
}

static void end(relay_process_t *p)
{
	agent_state_t *s = p->ctx;

	if (!s)
		return;
	udp_socket_close(s->server);
	relay_agent_free(s->agent);
	s->ended = true;
	if (!s->probe_closed && !uv_is_closing((uv_handle_t *)&s->probe))
		uv_close((uv_handle_t *)&s->probe, on_probe_closed);
	free_state(s);
}

static void on_packet(relay_process_t *p, uint64_t now, uint32_t wait_ms,
		      uint32_t from, uint8_t *buf, size_t len)
{
	agent_state_t *s = p->ctx;

	(void)wait_ms;
	relay_agent_handle_packet(s->agent, now, from, buf, len);
}

static void on_message(relay_process_t *p, uint64_t now, uint32_t wait_ms,
		       uint32_t from, const relay_msg_t *msg)
{
	agent_state_t *s = p->ctx;

	relay_agent_handle_waited(s->agent, now, wait_ms, from, msg);
}

static void tick(relay_process_t *p, uint64_t now)
{
	agent_state_t *s = p->ctx;

	relay_agent_tick(s->agent, now);
}

static void stop(relay_process_t *p, uint64_t now)
{
	agent_state_t *s = p->ctx;

	relay_agent_stop(s->agent, now);
}

/* All state of the agent comes from packets and messages: none of it becomes
 * invalid while the host is suspended. */
static void resumed(relay_process_t *p, uint64_t now, uint64_t slept_ms)
{
	(void)p;
	(void)now;
	(void)slept_ms;
}

static bool ready(relay_process_t *p)
{
	(void)p;
	return true;
}

static void gauges(relay_process_t *p, GString *out)
{
	agent_state_t *s = p->ctx;

	g_string_append_printf(
		out,
		"cherviltray_flows %zu\ncherviltray_in_flight %u\n"
		"cherviltray_queued %u\ncherviltray_late_limit %u\n"
		"cherviltray_zone_evacuated %d\n"
		"cherviltray_service_estimate_ms %.1f\n"
		"cherviltray_paced_slots %u\n",
		relay_agent_flow_count(s->agent),
		relay_agent_in_flight(s->agent), relay_agent_queue(s->agent)->n,
		(unsigned)relay_agent_queue(s->agent)->late_limit,
		relay_agent_evacuated(s->agent),
		relay_agent_service_estimate_ms(s->agent),
		relay_agent_requests_allowed(s->agent));
}

static const histogram_t *histogram(relay_process_t *p, unsigned i,
				    const char **name)
{
	agent_state_t *s = p->ctx;

	switch (i) {
	case 0:
		*name = "cherviltray_service_ms";
		return relay_agent_service_ms(s->agent);
	case 1:
		*name = "cherviltray_queue_ms";
		return relay_agent_queue_ms(s->agent);
	default:
		return NULL;
	}
}

const relay_daemon_t relay_agent_daemon = {
	.name = "agent",
	.role = RELAY_ROLE_AGENT,
	.tick_ms = RELAY_AGENT_TICK_MS,
	.stop_ms = STOP_MS,
	.start = start,
	.end = end,
	.packet = on_packet,
	.message = on_message,
	.tick = tick,
	.stop = stop,
	.resumed = resumed,
	.ready = ready,
	.gauges = gauges,
	.histogram = histogram,
};
