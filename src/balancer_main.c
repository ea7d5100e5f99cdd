/*
 * cherviltray-balancer - daemon of an entry host
 *
 * Path of a packet: a datagram of the fabric arrives at the socket
 * settings.packets, and on_packet() passes it to the balancer. The balancer
 * passes a message for an agent to send_message(), which seals and queues it.
 * When no member can take an open, reply() sends the refusal to
 * settings.fabric.
 */

#include "balancer.h"
#include "log.h"
#include "process.h"
#include "udp_socket.h"
#include <stdlib.h>

typedef struct daemon {
	balancer_t *balancer;
	udp_socket_t *fabric;
} daemon_t;

static void on_packet(void *ctx, const endpoint_t *from, uint8_t *buf,
		      size_t len);
static void on_packet_prefetch(void *ctx, const uint8_t *buf, size_t len);
static void send_message(void *ctx, const endpoint_t *to, msg_kind_t kind,
			 const void *msg);
static void newer_version(void *ctx, const endpoint_t *from, uint64_t version);
static void audit(void *ctx, const char *event, const char *subject,
		  const char *detail);
static void reply(void *ctx, const uint8_t *packet, size_t len);
static int start(process_t *p, err_t *err);
static void end(process_t *p);
static int configure(process_t *p, uint64_t now, config_t *config);
static void message(process_t *p, uint64_t now, const endpoint_t *from,
		    msg_kind_t kind, const void *msg);
static void tick(process_t *p, uint64_t now);
static void stop(process_t *p, uint64_t now);
static bool idle(process_t *p);
static void status(process_t *p, GString *out);
static char *explain(process_t *p, const flow_key_t *key);

static void on_packet(void *ctx, const endpoint_t *from, uint8_t *buf,
		      size_t len)
{
	process_t *p = ctx;
	daemon_t *d = p->ctx;

	(void)from;
	balancer_packet(d->balancer, uv_now(&p->loop), buf, len);
}

static void on_packet_prefetch(void *ctx, const uint8_t *buf, size_t len)
{
	process_t *p = ctx;
	daemon_t *d = p->ctx;

	balancer_prefetch(d->balancer, buf, len);
}

static void send_message(void *ctx, const endpoint_t *to, msg_kind_t kind,
			 const void *msg)
{
	process_t *p = ctx;

	dgram_send(p->dgram, to, kind, msg);
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

static void reply(void *ctx, const uint8_t *packet, size_t len)
{
	process_t *p = ctx;
	daemon_t *d = p->ctx;

	if (!p->settings.fabric.port)
		return;
	counter_add(p->counters, COUNTER_PACKETS_OUT, 1);
	udp_socket_send(d->fabric, &p->settings.fabric, packet, len);
}

static int start(process_t *p, err_t *err)
{
	static const balancer_ops_t ops = { send_message, newer_version, audit,
					    reply };
	static const udp_socket_ops_t fabric_ops = {
		.receive = on_packet, .prefetch = on_packet_prefetch
	};
	balancer_options_t options = {
		.self = p->settings.listen,
		.rank_seed = seal_rank_seed(p->settings.key),
		.cache_flows = p->settings.cache_flows,
		.retry_percent = p->settings.retry_percent,
	};
	daemon_t *d = calloc(1, sizeof(*d));

	p->ctx = d;
	if (d)
		d->balancer = balancer_new(&options, &ops, p);
	if (!d || !d->balancer)
		return err_set(err, ERR_MEMORY, NULL, 0, "lower cache_flows",
			       "cannot allocate the balancer's tables");
	p->counters = balancer_counters(d->balancer);
	d->fabric = udp_socket_open(&p->loop, &p->settings.packets, NULL,
				    &fabric_ops, p, err);
	return d->fabric ? 0 : -1;
}

static void end(process_t *p)
{
	daemon_t *d = p->ctx;

	if (!d)
		return;
	p->initial_counters = *p->counters;
	p->counters = &p->initial_counters;
	udp_socket_close(d->fabric);
	balancer_free(d->balancer);
	free(d);
}

static int configure(process_t *p, uint64_t now, config_t *config)
{
	daemon_t *d = p->ctx;

	return balancer_configure(d->balancer, now, config);
}

static void message(process_t *p, uint64_t now, const endpoint_t *from,
		    msg_kind_t kind, const void *msg)
{
	daemon_t *d = p->ctx;

	balancer_message(d->balancer, now, from, kind, msg);
}

static void tick(process_t *p, uint64_t now)
{
	daemon_t *d = p->ctx;

	balancer_tick(d->balancer, now);
}

/* Packets are still forwarded until the fabric has noticed the stop. */
static void stop(process_t *p, uint64_t now)
{
	(void)now;
	process_audit(p, "stopping", p->settings.name, "stop signal received");
}

static bool idle(process_t *p)
{
	daemon_t *d = p->ctx;

	return balancer_pending(d->balancer) == 0;
}

static void status(process_t *p, GString *out)
{
	daemon_t *d = p->ctx;

	g_string_append_printf(out, ",\"pending_opens\":%zu",
			       balancer_pending(d->balancer));
}

static char *explain(process_t *p, const flow_key_t *key)
{
	daemon_t *d = p->ctx;

	return balancer_explain(d->balancer, uv_now(&p->loop), key);
}

int main(int argc, char **argv)
{
	static const process_ops_t ops = {
		.program = "cherviltray-balancer",
		.role = ROLE_BALANCER,
		.start = start,
		.end = end,
		.configure = configure,
		.message = message,
		.tick = tick,
		.stop = stop,
		.idle = idle,
		.status = status,
		.explain = explain,
	};

	return process_run(&ops, argc, argv);
}
