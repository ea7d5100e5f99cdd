#include "relay_sim_int.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

double rsim_random(relay_sim_t *sim)
{
	sim->rng_state = sim->rng_state * 6364136223846793005ULL +
			 1442695040888963407ULL;
	return (double)(sim->rng_state >> 11) * 0x1.0p-53;
}

double rsim_random_exp(relay_sim_t *sim, double mean)
{
	return -log(1 - rsim_random(sim)) * mean;
}

uint64_t rsim_now_ms(const relay_sim_t *sim)
{
	return sim->now_us / 1000;
}

/* Order of events in the heap: by time, then by creation. */
static bool event_before(const event_t *x, const event_t *y)
{
	return x->due_us < y->due_us ||
	       (x->due_us == y->due_us && x->seq < y->seq);
}

event_t *rsim_schedule(relay_sim_t *sim, uint64_t delay,
		       void (*run)(relay_sim_t *sim, event_t *e),
		       const uint8_t *buf, size_t len)
{
	event_t *e = g_malloc0(sizeof(*e) + len);
	event_t **h;
	guint i = sim->heap->len;

	e->due_us = sim->now_us + delay;
	e->seq = ++sim->seq;
	e->run = run;
	e->len = len;
	if (len)
		memcpy(e->buf, buf, len);
	g_array_append_val(sim->heap, e);
	h = (event_t **)(void *)sim->heap->data;
	while (i > 0 && event_before(e, h[(i - 1) / 2])) {
		h[i] = h[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	h[i] = e;
	return e;
}

static event_t *pop(relay_sim_t *sim)
{
	event_t **h = (event_t **)(void *)sim->heap->data;
	event_t *first = h[0], *last = h[sim->heap->len - 1];
	guint i = 0, n = sim->heap->len - 1;

	g_array_set_size(sim->heap, n);
	while (2 * i + 1 < n) {
		guint child = 2 * i + 1;

		if (child + 1 < n && event_before(h[child + 1], h[child]))
			child++;
		if (!event_before(h[child], last))
			break;
		h[i] = h[child];
		i = child;
	}
	if (n)
		h[i] = last;
	return first;
}

static void put_be(uint8_t *out, uint32_t value, int bytes)
{
	while (bytes-- > 0) {
		out[bytes] = (uint8_t)value;
		value >>= 8;
	}
}

size_t rsim_build_packet(const relay_sim_t *sim, uint8_t *buf, unsigned flow,
			 bool to_service, uint8_t wire, uint32_t seq,
			 uint32_t ack, unsigned payload)
{
	uint16_t port =
		sim->flows[flow].high_priority ? HIGH_PRIORITY_PORT : PORT;

	memset(buf, 0, 32 + payload);
	put_be(buf, payload, 2);
	put_be(buf + 2, seq, 4);
	put_be(buf + 6, ack, 4);
	put_be(buf + (to_service ? 14 : 20), CALLER_IP + flow / 60000, 4);
	put_be(buf + (to_service ? 18 : 24), 1024 + flow % 60000, 2);
	put_be(buf + (to_service ? 20 : 14), ADDRESS, 4);
	put_be(buf + (to_service ? 24 : 18), port, 2);
	buf[26] = wire;
	return 32 + payload;
}

unsigned rsim_flow_number(uint32_t ip, uint16_t port)
{
	return (ip - CALLER_IP) * 60000 + port - 1024;
}

/* Operations of balancers and agents */

static void agent_receive(relay_sim_t *sim, event_t *e)
{
	relay_agent_handle_packet(sim->agents[e->a], rsim_now_ms(sim), e->host,
				  e->buf, e->len);
}

/* The naive policy uses no load reports and offers an open to one agent
 * only. */
static void strip_load(relay_msg_t *msg)
{
	if (msg->load)
		ct__relay__load__free_unpacked(msg->load, NULL);
	msg->load = NULL;
	if (msg->kind == RELAY_OFFER)
		msg->n_candidates = msg->n_candidate_ms = 0;
}

static void message_receive(relay_sim_t *sim, event_t *e)
{
	relay_msg_t *msg = relay_msg_unpack(e->buf, e->len);

	if (sim->opts.policy == RSIM_NAIVE)
		strip_load(msg);
	if (e->a >= AGENT_IP)
		relay_agent_handle_message(sim->agents[e->a - AGENT_IP],
					   rsim_now_ms(sim), e->host, msg);
	else
		relay_balancer_handle_message(
			sim->balancers[e->a - BALANCER_IP], rsim_now_ms(sim),
			e->host, msg);
	relay_msg_free(msg);
}

static void send_packet(void *ctx, uint32_t agent, const uint8_t *buf,
			size_t len)
{
	peer_t *p = ctx;
	event_t *e = rsim_schedule(p->sim, ONE_WAY_US, agent_receive, buf, len);

	e->a = agent - AGENT_IP;
	e->host = BALANCER_IP + p->i;
}

static void send_message(peer_t *p, uint32_t from, uint32_t to,
			 const relay_msg_t *msg)
{
	uint8_t buf[RELAY_MSG_MAX];
	event_t *e = rsim_schedule(p->sim, ONE_WAY_US, message_receive, buf,
				   relay_msg_pack(msg, buf));

	e->a = to;
	e->host = from;
}

static void balancer_message(void *ctx, uint32_t to, const relay_msg_t *msg)
{
	peer_t *p = ctx;

	send_message(p, BALANCER_IP + p->i, to, msg);
}

static void agent_message(void *ctx, uint32_t to, const relay_msg_t *msg)
{
	peer_t *p = ctx;

	send_message(p, AGENT_IP + p->i, to, msg);
}

static void reply(void *ctx, uint32_t caller, const uint8_t *buf, size_t len)
{
	peer_t *p = ctx;

	(void)caller;
	rsim_schedule(p->sim, ONE_WAY_US, rsim_caller_receive, buf, len)->a =
		p->i;
}

static void deliver(void *ctx, const uint8_t *buf, size_t len)
{
	peer_t *p = ctx;

	rsim_schedule(p->sim, 100, rsim_server_receive, buf, len)->a = p->i;
}

static void probe_server(void *ctx)
{
	peer_t *p = ctx;

	if (p->sim->servers[p->i].up)
		relay_agent_server_accepted(p->sim->agents[p->i],
					    rsim_now_ms(p->sim));
	else
		relay_agent_server_refused(p->sim->agents[p->i],
					   rsim_now_ms(p->sim));
}

static peer_t *new_peer(relay_sim_t *sim, unsigned i)
{
	peer_t *p = g_new(peer_t, 1);

	p->sim = sim;
	p->i = i;
	g_ptr_array_add(sim->peers, p);
	return p;
}

unsigned rsim_zone(const relay_sim_t *sim, unsigned i)
{
	return sim->opts.zones ? i % sim->opts.zones : 0;
}

static const char *zone_name(const relay_sim_t *sim, unsigned i)
{
	static const char *const names[] = { "a", "b", "c", "d", "e", "f" };

	return names[rsim_zone(sim, i)];
}

static void publish(relay_sim_t *sim, unsigned balancer, unsigned target,
		    entry_state_t state)
{
	directory_t *d = relay_balancer_directory(sim->balancers[balancer]);
	const server_t *s = &sim->servers[target];
	target_entry_t e = { .service = SERVICE,
			     .address = { AGENT_IP + target, 80 },
			     .slots = sim->opts.slots,
			     .state = state,
			     .revision = { .number = ++sim->revision } };

	g_snprintf(e.id, sizeof(e.id), "t%u-%u", target, s->epoch);
	e.zone = g_intern_string(zone_name(sim, target));
	if (sim->now_us < s->warmup_end_us)
		e.warmup_ms =
			(uint32_t)((s->warmup_end_us - sim->now_us) / 1000);
	if (state == ENTRY_GONE)
		directory_remove(d, rsim_now_ms(sim), e.id, e.revision);
	else
		directory_put(d, rsim_now_ms(sim), &e);
}

static void publish_all(relay_sim_t *sim, unsigned target, entry_state_t state)
{
	for (unsigned b = 0; b < sim->opts.balancers; b++)
		publish(sim, b, target, state);
}

static void publish_routes(relay_sim_t *sim, unsigned balancer)
{
	static const uint16_t ports[] = { PORT, HIGH_PRIORITY_PORT };
	route_share_t share = { .service = SERVICE, .weight = 1 };
	route_table_t *t = route_table_new(++sim->version, 15000);

	for (size_t i = 0; i < 2; i++) {
		route_t route = { .name = "r",
				  .address = ADDRESS,
				  .port = ports[i],
				  .idempotent = true,
				  .priority = ports[i] == PORT ? 2 : 1,
				  .objective_ms =
					  sim->opts.policy == RSIM_PRODUCT
						  ? sim->opts.objective_ms
						  : 0,
				  .shares = &share,
				  .nshares = 1 };

		route_table_add(t, &route, NULL);
	}
	relay_balancer_set_routes(sim->balancers[balancer], t);
}

static void new_balancer(relay_sim_t *sim, unsigned i)
{
	static const relay_balancer_ops_t ops = {
		send_packet, balancer_message, reply, NULL, NULL, NULL, NULL
	};
	relay_balancer_options_t options = {
		.self = BALANCER_IP + i,
		.zone = zone_name(sim, i),
		.format = &fleet_packet_format,
		.max_flows = FLOWS_MAX,
	};

	sim->balancers[i] =
		relay_balancer_new(&options, &ops, new_peer(sim, i));
	publish_routes(sim, i);
	for (unsigned t = 0; t < sim->opts.targets; t++)
		if (sim->servers[t].up && !sim->servers[t].draining)
			publish(sim, i, t, ENTRY_READY);
}

static void new_agent(relay_sim_t *sim, unsigned i, bool complete)
{
	static const relay_agent_ops_t ops = { deliver, agent_message, reply,
					       probe_server };
	relay_agent_options_t options = { .self = AGENT_IP + i,
					  .service = SERVICE,
					  .format = &fleet_packet_format,
					  .max_flows = FLOWS_MAX,
					  .knows_all_flows = complete };

	sim->agents[i] = relay_agent_new(&options, &ops, new_peer(sim, i));
}

static void tick(relay_sim_t *sim, event_t *e)
{
	(void)e;
	for (unsigned i = 0; i < sim->opts.balancers; i++)
		relay_balancer_tick(sim->balancers[i], rsim_now_ms(sim));
	for (unsigned i = 0; i < sim->opts.targets; i++)
		relay_agent_tick(sim->agents[i], rsim_now_ms(sim));
	rsim_schedule(sim, TICK_US, tick, NULL, 0);
}

relay_sim_t *rsim_open(const rsim_options_t *options)
{
	relay_sim_t *sim = g_new0(relay_sim_t, 1);
	request_t none = { .done = true };

	sim->opts = *options;
	sim->now_us = 1000000;
	sim->rate = 1;
	sim->caller_zone = -1;
	sim->rng_state = options->seed * 2 + 1;
	sim->heap = g_array_new(FALSE, FALSE, sizeof(event_t *));
	sim->requests = g_array_new(FALSE, FALSE, sizeof(request_t));
	g_array_append_val(sim->requests, none);
	sim->peers = g_ptr_array_new_with_free_func(g_free);
	sim->balancers = g_new0(relay_balancer_t *, options->balancers);
	sim->in_rotation = g_new0(bool, options->balancers);
	sim->agents = g_new0(relay_agent_t *, options->targets);
	sim->servers = g_new0(server_t, options->targets);
	sim->users = g_new0(user_t, options->users + 1);
	sim->flows = g_new0(sim_flow_t, FLOWS_MAX);
	for (unsigned i = 0; i < options->targets; i++) {
		sim->servers[i].up = true;
		sim->servers[i].speed = i ? 1 : options->slow_speed;
		sim->servers[i].slowdown = 1;
		sim->servers[i].waiting = g_queue_new();
		new_agent(sim, i, true);
	}
	for (unsigned i = 0; i < options->balancers; i++) {
		sim->in_rotation[i] = true;
		new_balancer(sim, i);
	}
	rsim_schedule(sim, 0, tick, NULL, 0);
	for (unsigned i = 1; i <= options->users; i++)
		rsim_schedule(sim, 200000 + (uint64_t)(rsim_random(sim) * 1e6),
			      rsim_user_request, NULL, 0)
			->a = i;
	if (options->oneshot_rate > 0)
		rsim_schedule(sim, 200000, rsim_oneshot_request, NULL, 0);
	return sim;
}

void rsim_close(relay_sim_t *sim)
{
	while (sim->heap->len)
		g_free(pop(sim));
	for (unsigned i = 0; i < sim->opts.balancers; i++)
		relay_balancer_free(sim->balancers[i]);
	for (unsigned i = 0; i < sim->opts.targets; i++) {
		relay_agent_free(sim->agents[i]);
		g_queue_free(sim->servers[i].waiting);
	}
	g_array_free(sim->heap, TRUE);
	g_array_free(sim->requests, TRUE);
	g_ptr_array_free(sim->peers, TRUE);
	g_free(sim->balancers);
	g_free(sim->in_rotation);
	g_free(sim->agents);
	g_free(sim->servers);
	g_free(sim->users);
	g_free(sim->flows);
	g_free(sim);
}

void rsim_run(relay_sim_t *sim, unsigned ms)
{
	uint64_t end = sim->now_us + (uint64_t)ms * 1000;

	while (sim->heap->len) {
		event_t *e = g_array_index(sim->heap, event_t *, 0);

		if (e->due_us > end)
			break;
		pop(sim);
		sim->now_us = e->due_us;
		e->run(sim, e);
		g_free(e);
	}
	sim->now_us = end;
}

void rsim_reset_counts(relay_sim_t *sim)
{
	memset(&sim->result, 0, sizeof(sim->result));
	sim->count_from_us = sim->now_us;
}

rsim_result_t rsim_result(const relay_sim_t *sim)
{
	return sim->result;
}

unsigned rsim_served(const relay_sim_t *sim, unsigned target)
{
	return sim->servers[target].served;
}

unsigned rsim_in_flight(const relay_sim_t *sim, unsigned target)
{
	const server_t *s = &sim->servers[target];

	return s->busy + g_queue_get_length(s->waiting);
}

void rsim_set_zone(relay_sim_t *sim, int zone)
{
	sim->caller_zone = zone;
}

void rsim_set_rate(relay_sim_t *sim, double factor)
{
	sim->rate = factor;
}

void rsim_set_slowdown(relay_sim_t *sim, unsigned target, double factor)
{
	sim->servers[target].slowdown = factor;
}

void rsim_set_failures(relay_sim_t *sim, unsigned target, double part)
{
	sim->servers[target].failure_ratio = part;
}

static void entry_expires(relay_sim_t *sim, event_t *e)
{
	if (!sim->servers[e->a].up)
		publish_all(sim, e->a, ENTRY_GONE);
}

void rsim_crash(relay_sim_t *sim, unsigned target)
{
	server_t *s = &sim->servers[target];

	s->up = false;
	s->busy = 0;
	g_queue_clear(s->waiting);
	if (sim->opts.policy == RSIM_ORACLE)
		rsim_oracle_lost(sim, target);
	rsim_schedule(sim, ENTRY_EXPIRY_MS * 1000, entry_expires, NULL, 0)->a =
		target;
}

void rsim_start(relay_sim_t *sim, unsigned target)
{
	server_t *s = &sim->servers[target];

	if (!s->up)
		publish_all(sim, target, ENTRY_GONE);
	s->up = true;
	s->draining = false;
	s->epoch++;
	s->warmup_end_us = sim->now_us + COLD_MS * 1000;
	publish_all(sim, target, ENTRY_READY);
}

static void drain_end(relay_sim_t *sim, event_t *e)
{
	publish_all(sim, e->a, ENTRY_GONE);
	rsim_crash(sim, e->a);
}

void rsim_drain(relay_sim_t *sim, unsigned target)
{
	sim->servers[target].draining = true;
	publish_all(sim, target, ENTRY_DRAINING);
	rsim_schedule(sim, 5000000, drain_end, NULL, 0)->a = target;
}

void rsim_restart_agent(relay_sim_t *sim, unsigned target)
{
	relay_agent_free(sim->agents[target]);
	new_agent(sim, target, false);
}

void rsim_restart_balancer(relay_sim_t *sim, unsigned balancer)
{
	relay_balancer_free(sim->balancers[balancer]);
	new_balancer(sim, balancer);
}

void rsim_set_rotation(relay_sim_t *sim, unsigned balancer, bool in)
{
	sim->in_rotation[balancer] = in;
}
