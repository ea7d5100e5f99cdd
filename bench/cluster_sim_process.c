#include "cluster_sim_int.h"
#include "../src/seal.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Bytes that the seal and the UDP and IPv4 headers add to a message. */
#define MESSAGE_OVERHEAD (SEAL_HEADER_LEN + 28)

static void send_message(void *ctx, const endpoint_t *to, msg_kind_t kind,
			 const void *msg)
{
	csim_process_t *p = ctx;
	csim_t *sim = p->sim;
	uint8_t buf[65536];
	size_t len = wire_size(msg);

	if (len > sizeof(buf))
		return;
	wire_pack(msg, buf);
	if (kind != MSG_PACKET && kind != MSG_HELD) {
		sim->control_bytes += len + MESSAGE_OVERHEAD;
		sim->control_messages++;
	}
	for (unsigned i = 0; i < sim->nagents; i++)
		if (endpoint_equal(&sim->agents[i].listen, to)) {
			if (kind == MSG_PACKET &&
			    ((const packet_msg_t *)msg)->step == STEP_OPEN)
				sim->last_open_ms[i] = sim->now;
			csim_transmit(sim, EVENT_MESSAGE, p->node,
				      sim->agents[i].node, kind, buf, len);
			return;
		}
	for (unsigned i = 0; i < sim->nbalancers; i++)
		if (endpoint_equal(&sim->balancers[i].listen, to)) {
			csim_transmit(sim, EVENT_MESSAGE, p->node,
				      sim->balancers[i].node, kind, buf, len);
			return;
		}
}

static void deliver_to_server(void *ctx, const uint8_t *packet, size_t len)
{
	csim_process_t *p = ctx;
	node_t server = { NODE_SERVER, p->node.index };

	if (!p->sim->servers[p->node.index].alive) {
		csim_schedule(p->sim, p->sim->now, EVENT_UNREACHABLE, server,
			      p->node, MSG_NONE, NULL, 0);
		return;
	}
	csim_transmit(p->sim, EVENT_PACKET, p->node, server, MSG_NONE, packet,
		      len);
}

static void send_to_caller(void *ctx, const uint8_t *packet, size_t len)
{
	csim_process_t *p = ctx;
	node_t caller = { NODE_CALLER, 0 };

	csim_transmit(p->sim, EVENT_PACKET, p->node, caller, MSG_NONE, packet,
		      len);
}

static void send_to_agent(void *ctx, const uint8_t *packet, size_t len)
{
	csim_process_t *p = ctx;
	node_t agent = { NODE_AGENT, p->node.index };

	csim_transmit(p->sim, EVENT_PACKET, p->node, agent, MSG_NONE, packet,
		      len);
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

static void start_balancer(csim_process_t *p)
{
	static const balancer_ops_t ops = { send_message, on_newer_version,
					    on_audit, send_to_caller };
	balancer_options_t options = { .self = p->listen,
				       .rank_seed = CSIM_RANK_SEED,
				       .cache_flows = 4096,
				       .retry_percent = 10,
				       .off = p->sim->options.off,
				       .policy = p->sim->options.policy };

	if (p->sim->options.naive) {
		p->naive = naive_balancer_new(&options, &ops, p);
		naive_configure(p->naive, p->sim->now, p->config);
		return;
	}
	p->balancer = balancer_new(&options, &ops, p);
	balancer_configure(p->balancer, p->sim->now, p->config);
}

static void start_agent(csim_process_t *p)
{
	static const agent_ops_t ops = { send_message, deliver_to_server,
					 send_to_caller, on_newer_version,
					 on_audit };
	agent_options_t options = { .self = p->listen,
				    .rank_seed = CSIM_RANK_SEED,
				    .incarnation = 1000 + p->generation,
				    .random_seed = p->node.index + 1,
				    .flows = 65536,
				    .queue = 1000,
				    .off = p->sim->options.off,
				    .policy = p->sim->options.policy };

	g_strlcpy(options.target, p->target, sizeof(options.target));
	if (p->sim->options.naive) {
		p->naive = naive_agent_new(&options, &ops, p);
		naive_configure(p->naive, p->sim->now, p->config);
		return;
	}
	p->agent = agent_new(&options, &ops, p);
	agent_configure(p->agent, p->sim->now, p->config);
}

static void start_server(csim_process_t *p)
{
	static const app_server_ops_t ops = { send_to_agent };
	const csim_options_t *o = &p->sim->options;
	const target_t *t;
	app_server_options_t options = { .speed = 1,
					 .service_ms = 5,
					 .chunk_service_ms =
						 o->chunk_service_ms,
					 .service_jitter = o->service_jitter,
					 .warmup_ms = o->warmup_ms,
					 .warmup_speed = o->warmup_speed,
					 .report_factor = o->report_factor };

	config_target_by_name(p->sim->declared_config, p->target, &t);
	options.slots = t ? t->slots : 1;
	options.seed = p->sim->options.seed * 1000 + p->node.index +
		       p->generation * 100000;
	options.queue = o->queue ? o->queue : 10000;
	if (o->service_ms > 0)
		options.service_ms = o->service_ms;
	memcpy(options.kind_cost, o->kind_cost, sizeof(options.kind_cost));
	if (p->sim->now == START_MS)
		options.warmup_ms = 0;
	if (o->speeds)
		options.speed = o->speeds[p->node.index];
	p->server = app_server_new(&options, &ops, p);
}

void csim_start_process(csim_process_t *p)
{
	csim_t *sim = p->sim;
	uint64_t tick = p->node.kind == NODE_SERVER ? TCP_TICK_MS : TICK_MS;

	p->alive = true;
	p->frozen = false;
	p->generation++;
	p->work_done_ms = 0;
	if (p->node.kind == NODE_BALANCER)
		start_balancer(p);
	else if (p->node.kind == NODE_AGENT)
		start_agent(p);
	else
		start_server(p);
	csim_schedule(sim, sim->now + 1 + csim_random(sim) % tick, EVENT_TICK,
		      p->node, p->node, MSG_NONE, NULL, 0);
}

void csim_stop_process(csim_process_t *p)
{
	event_t *e;

	if (!p->alive)
		return;
	if (p->server)
		csim_merge_records(p->sim->records,
				   app_server_records(p->server));
	balancer_free(p->balancer);
	agent_free(p->agent);
	naive_free(p->naive);
	app_server_free(p->server);
	p->balancer = NULL;
	p->agent = NULL;
	p->naive = NULL;
	p->server = NULL;
	p->alive = false;
	p->frozen = false;
	while ((e = g_queue_pop_head(&p->frozen_events)))
		g_free(e);
}

static void init_process(csim_t *sim, csim_process_t *p, node_kind_t kind,
			 unsigned index, const endpoint_t *listen,
			 const char *target)
{
	p->sim = sim;
	p->node.kind = kind;
	p->node.index = index;
	p->listen = *listen;
	g_queue_init(&p->frozen_events);
	if (target)
		g_strlcpy(p->target, target, sizeof(p->target));
	p->config = config_ref(sim->declared_config);
	csim_start_process(p);
}

void csim_add_agents(csim_t *sim, const config_t *config)
{
	for (size_t i = 0; i < config->nservices; i++) {
		const service_t *s = &config->services[i];

		for (size_t j = 0; j < s->ntargets; j++) {
			const target_t *t = &s->targets[j];
			unsigned n = sim->nagents;

			if (csim_find_agent(sim, t->name) != UINT32_MAX ||
			    n == CSIM_AGENTS_MAX)
				continue;
			sim->nagents++;
			init_process(sim, &sim->servers[n], NODE_SERVER, n,
				     &t->agent, t->name);
			init_process(sim, &sim->agents[n], NODE_AGENT, n,
				     &t->agent, t->name);
		}
	}
}

unsigned csim_add_balancer(csim_t *sim)
{
	unsigned n = sim->nbalancers++;
	endpoint_t listen = { 0x7f010001U + n, 7200 };

	init_process(sim, &sim->balancers[n], NODE_BALANCER, n, &listen, NULL);
	sim->balancers[n].in_fabric = true;
	return n;
}

void csim_kill(csim_t *sim, node_kind_t kind, unsigned index)
{
	node_t node = { kind, index };

	csim_stop_process(csim_process_of(sim, node));
}

void csim_restart(csim_t *sim, node_kind_t kind, unsigned index)
{
	node_t node = { kind, index };
	csim_process_t *p = csim_process_of(sim, node);

	csim_stop_process(p);
	csim_start_process(p);
}

void csim_freeze(csim_t *sim, node_kind_t kind, unsigned index)
{
	node_t node = { kind, index };

	csim_process_of(sim, node)->frozen = true;
}

void csim_thaw(csim_t *sim, node_kind_t kind, unsigned index)
{
	node_t node = { kind, index };
	csim_process_t *p = csim_process_of(sim, node);
	event_t *e;

	p->frozen = false;
	while ((e = g_queue_pop_head(&p->frozen_events)))
		csim_dispatch(sim, e);
}

void csim_hand_over(csim_t *sim, unsigned agent)
{
	csim_process_t *p = &sim->agents[agent];
	handover_msg_t flows;
	agent_t *old = p->agent;

	if (!old) {
		csim_restart(sim, NODE_AGENT, agent);
		return;
	}
	agent_export(old, &flows);
	p->agent = NULL;
	p->alive = false;
	csim_start_process(p);
	agent_import(p->agent, sim->now, &flows);
	agent_export_free(&flows);
	agent_free(old);
}

void csim_agent_leave(csim_t *sim, unsigned agent)
{
	if (sim->agents[agent].agent)
		agent_leave(sim->agents[agent].agent, sim->now);
}

static void configure(csim_process_t *p, config_t *config)
{
	config_unref(p->config);
	p->config = config_ref(config);
	if (p->balancer)
		balancer_configure(p->balancer, p->sim->now, config);
	else if (p->agent)
		agent_configure(p->agent, p->sim->now, config);
	else if (p->naive)
		naive_configure(p->naive, p->sim->now, config);
}

static config_t *parse(const char *text)
{
	config_t *config = NULL;
	char buf[900];
	err_t err;

	if (config_parse("cluster_sim", text, strlen(text), &config, &err) < 0)
		fprintf(stderr, "cluster_sim: %s\n",
			err_format(&err, buf, sizeof(buf)));
	return config;
}

void csim_configure(csim_t *sim, node_kind_t kind, unsigned index,
		    const char *text)
{
	node_t node = { kind, index };
	config_t *config = parse(text);

	if (!config)
		return;
	configure(csim_process_of(sim, node), config);
	config_unref(config);
}

static void start_targets(csim_t *sim, config_t *config)
{
	config_unref(sim->declared_config);
	sim->declared_config = config_ref(config);
	csim_add_agents(sim, config);
}

void csim_start_targets(csim_t *sim, const char *text)
{
	config_t *config = parse(text);

	if (!config)
		return;
	start_targets(sim, config);
	config_unref(config);
}

void csim_configure_all(csim_t *sim, const char *text)
{
	config_t *config = parse(text);

	if (!config)
		return;
	start_targets(sim, config);
	for (unsigned i = 0; i < sim->nbalancers; i++)
		configure(&sim->balancers[i], config);
	for (unsigned i = 0; i < sim->nagents; i++)
		configure(&sim->agents[i], config);
	config_unref(config);
}

bool csim_is_alive(csim_t *sim, node_kind_t kind, unsigned index)
{
	node_t node = { kind, index };

	return csim_process_of(sim, node)->alive;
}
