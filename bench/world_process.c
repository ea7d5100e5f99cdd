#include "world_int.h"
#include "../src/seal.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Bytes of a seal, UDP and IP around a message. */
#define MESSAGE_OVERHEAD (SEAL_HEADER_LEN + 28)

static void send_message(void *ctx, const endpoint_t *to, msg_kind_t kind,
			 const void *msg)
{
	process_state_t *p = ctx;
	world_t *w = p->world;
	uint8_t buf[65536];
	size_t len = wire_size(msg);

	if (len > sizeof(buf))
		return;
	wire_pack(msg, buf);
	if (kind != MSG_PACKET && kind != MSG_HELD) {
		w->control_bytes += len + MESSAGE_OVERHEAD;
		w->control_messages++;
	}
	for (unsigned i = 0; i < w->nagents; i++)
		if (endpoint_equal(&w->agents[i].listen, to)) {
			if (kind == MSG_PACKET &&
			    ((const packet_msg_t *)msg)->step == STEP_OPEN)
				w->last_open[i] = w->now;
			world_transmit(w, EVENT_MESSAGE, p->place,
				       w->agents[i].place, kind, buf, len);
			return;
		}
	for (unsigned i = 0; i < w->nbalancers; i++)
		if (endpoint_equal(&w->balancers[i].listen, to)) {
			world_transmit(w, EVENT_MESSAGE, p->place,
				       w->balancers[i].place, kind, buf, len);
			return;
		}
}

static void deliver(void *ctx, const uint8_t *packet, size_t len)
{
	process_state_t *p = ctx;
	place_t server = { PLACE_SERVER, p->place.index };

	if (!p->world->servers[p->place.index].alive) {
		world_post(p->world, p->world->now, EVENT_REFUSED, server,
			   p->place, MSG_NONE, NULL, 0);
		return;
	}
	world_transmit(p->world, EVENT_PACKET, p->place, server, MSG_NONE,
		       packet, len);
}

static void reply(void *ctx, const uint8_t *packet, size_t len)
{
	process_state_t *p = ctx;
	place_t caller = { PLACE_CALLER, 0 };

	world_transmit(p->world, EVENT_PACKET, p->place, caller, MSG_NONE,
		       packet, len);
}

static void server_output(void *ctx, const uint8_t *packet, size_t len)
{
	process_state_t *p = ctx;
	place_t agent = { PLACE_AGENT, p->place.index };

	world_transmit(p->world, EVENT_PACKET, p->place, agent, MSG_NONE,
		       packet, len);
}

static void no_behind(void *ctx, const endpoint_t *from, uint64_t version)
{
	(void)ctx;
	(void)from;
	(void)version;
}

static void no_audit(void *ctx, const char *event, const char *subject,
		     const char *detail)
{
	(void)ctx;
	(void)event;
	(void)subject;
	(void)detail;
}

static void start_balancer(process_state_t *p)
{
	static const balancer_ops_t ops = { send_message, no_behind, no_audit,
					    reply };
	balancer_options_t options = { .self = p->listen,
				       .rank_seed = WORLD_RANK_SEED,
				       .cache_flows = 4096,
				       .retry_percent = 10,
				       .off = p->world->options.off,
				       .policy = p->world->options.policy };

	if (p->world->options.naive) {
		p->naive = naive_balancer_new(&options, &ops, p);
		naive_configure(p->naive, p->world->now, p->config);
		return;
	}
	p->balancer = balancer_new(&options, &ops, p);
	balancer_configure(p->balancer, p->world->now, p->config);
}

static void start_agent(process_state_t *p)
{
	static const agent_ops_t ops = { send_message, deliver, reply,
					 no_behind, no_audit };
	agent_options_t options = { .self = p->listen,
				    .rank_seed = WORLD_RANK_SEED,
				    .incarnation = 1000 + p->life,
				    .random_seed = p->place.index + 1,
				    .flows = 65536,
				    .queue = 1000,
				    .off = p->world->options.off,
				    .policy = p->world->options.policy };

	g_strlcpy(options.target, p->target, sizeof(options.target));
	if (p->world->options.naive) {
		p->naive = naive_agent_new(&options, &ops, p);
		naive_configure(p->naive, p->world->now, p->config);
		return;
	}
	p->agent = agent_new(&options, &ops, p);
	agent_configure(p->agent, p->world->now, p->config);
}

static void start_server(process_state_t *p)
{
	static const app_server_ops_t ops = { server_output };
	const world_options_t *o = &p->world->options;
	const target_t *t;
	app_server_options_t options = { .speed = 1,
					 .service_ms = 5,
					 .chunk_ms = o->chunk_ms,
					 .spread = o->spread,
					 .cold_ms = o->cold_ms,
					 .cold_speed = o->cold_speed,
					 .report_factor = o->report_factor };

	config_target_by_name(p->world->first, p->target, &t);
	options.slots = t ? t->slots : 1;
	options.seed = p->world->options.seed * 1000 + p->place.index +
		       p->life * 100000;
	options.queue = o->queue ? o->queue : 10000;
	if (o->service_ms > 0)
		options.service_ms = o->service_ms;
	memcpy(options.class_cost, o->class_cost, sizeof(options.class_cost));
	if (p->world->now == START_MS)
		options.cold_ms = 0;
	if (o->speeds)
		options.speed = o->speeds[p->place.index];
	p->server = app_server_new(&options, &ops, p);
}

void world_start(process_state_t *p)
{
	world_t *w = p->world;
	uint64_t tick = p->place.kind == PLACE_SERVER ? TCP_TICK_MS : TICK_MS;

	p->alive = true;
	p->frozen = false;
	p->life++;
	p->due = 0;
	if (p->place.kind == PLACE_BALANCER)
		start_balancer(p);
	else if (p->place.kind == PLACE_AGENT)
		start_agent(p);
	else
		start_server(p);
	world_post(w, w->now + 1 + world_random(w) % tick, EVENT_TICK, p->place,
		   p->place, MSG_NONE, NULL, 0);
}

void world_stop(process_state_t *p)
{
	event_t *e;

	if (!p->alive)
		return;
	if (p->server)
		world_add_records(p->world->records,
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
	while ((e = g_queue_pop_head(&p->waiting)))
		g_free(e);
}

static void init_process(world_t *w, process_state_t *p, place_kind_t kind,
			 unsigned index, const endpoint_t *listen,
			 const char *target)
{
	p->world = w;
	p->place.kind = kind;
	p->place.index = index;
	p->listen = *listen;
	g_queue_init(&p->waiting);
	if (target)
		g_strlcpy(p->target, target, sizeof(p->target));
	p->config = config_ref(w->first);
	world_start(p);
}

void world_add_agents(world_t *w, const config_t *config)
{
	for (size_t i = 0; i < config->nservices; i++) {
		const service_t *s = &config->services[i];

		for (size_t j = 0; j < s->ntargets; j++) {
			const target_t *t = &s->targets[j];
			unsigned n = w->nagents;

			if (world_agent_of(w, t->name) != UINT32_MAX ||
			    n == WORLD_AGENTS)
				continue;
			w->nagents++;
			init_process(w, &w->servers[n], PLACE_SERVER, n,
				     &t->agent, t->name);
			init_process(w, &w->agents[n], PLACE_AGENT, n,
				     &t->agent, t->name);
		}
	}
}

unsigned world_add_balancer(world_t *w)
{
	unsigned n = w->nbalancers++;
	endpoint_t listen = { 0x7f010001U + n, 7200 };

	init_process(w, &w->balancers[n], PLACE_BALANCER, n, &listen, NULL);
	w->balancers[n].in_fabric = true;
	return n;
}

void world_kill(world_t *w, place_kind_t kind, unsigned index)
{
	place_t place = { kind, index };

	world_stop(world_state_of(w, place));
}

void world_restart(world_t *w, place_kind_t kind, unsigned index)
{
	place_t place = { kind, index };
	process_state_t *p = world_state_of(w, place);

	world_stop(p);
	world_start(p);
}

void world_freeze(world_t *w, place_kind_t kind, unsigned index)
{
	place_t place = { kind, index };

	world_state_of(w, place)->frozen = true;
}

void world_thaw(world_t *w, place_kind_t kind, unsigned index)
{
	place_t place = { kind, index };
	process_state_t *p = world_state_of(w, place);
	event_t *e;

	p->frozen = false;
	while ((e = g_queue_pop_head(&p->waiting)))
		world_dispatch(w, e);
}

void world_hand_over(world_t *w, unsigned agent)
{
	process_state_t *p = &w->agents[agent];
	handover_msg_t flows;
	agent_t *old = p->agent;

	if (!old) {
		world_restart(w, PLACE_AGENT, agent);
		return;
	}
	agent_export(old, &flows);
	p->agent = NULL;
	p->alive = false;
	world_start(p);
	agent_import(p->agent, w->now, &flows);
	agent_export_free(&flows);
	agent_free(old);
}

void world_leave(world_t *w, unsigned agent)
{
	if (w->agents[agent].agent)
		agent_leave(w->agents[agent].agent, w->now);
}

static void configure(process_state_t *p, config_t *config)
{
	config_unref(p->config);
	p->config = config_ref(config);
	if (p->balancer)
		balancer_configure(p->balancer, p->world->now, config);
	else if (p->agent)
		agent_configure(p->agent, p->world->now, config);
	else if (p->naive)
		naive_configure(p->naive, p->world->now, config);
}

static config_t *parse(const char *text)
{
	config_t *config = NULL;
	char buf[900];
	err_t err;

	if (config_parse("world", text, strlen(text), &config, &err) < 0)
		fprintf(stderr, "%s\n", err_format(&err, buf, sizeof(buf)));
	return config;
}

void world_configure(world_t *w, place_kind_t kind, unsigned index,
		     const char *text)
{
	place_t place = { kind, index };
	config_t *config = parse(text);

	if (!config)
		return;
	configure(world_state_of(w, place), config);
	config_unref(config);
}

static void declare(world_t *w, config_t *config)
{
	config_unref(w->first);
	w->first = config_ref(config);
	world_add_agents(w, config);
}

void world_declare(world_t *w, const char *text)
{
	config_t *config = parse(text);

	if (!config)
		return;
	declare(w, config);
	config_unref(config);
}

void world_configure_all(world_t *w, const char *text)
{
	config_t *config = parse(text);

	if (!config)
		return;
	declare(w, config);
	for (unsigned i = 0; i < w->nbalancers; i++)
		configure(&w->balancers[i], config);
	for (unsigned i = 0; i < w->nagents; i++)
		configure(&w->agents[i], config);
	config_unref(config);
}

bool world_alive(world_t *w, place_kind_t kind, unsigned index)
{
	place_t place = { kind, index };

	return world_state_of(w, place)->alive;
}
