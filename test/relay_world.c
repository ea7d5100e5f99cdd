#include "relay_world_int.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

double rw_chance(relay_world_t *w)
{
	w->random = w->random * 6364136223846793005ULL + 1442695040888963407ULL;
	return (double)(w->random >> 11) * 0x1.0p-53;
}

double rw_spread(relay_world_t *w, double mean)
{
	return -log(1 - rw_chance(w)) * mean;
}

uint64_t rw_ms(const relay_world_t *w)
{
	return w->now / 1000;
}

/* The heap of events: earliest first, then in the order they were made. */
static bool before(const event_t *x, const event_t *y)
{
	return x->at < y->at || (x->at == y->at && x->order < y->order);
}

event_t *rw_push(relay_world_t *w, uint64_t delay,
		 void (*run)(relay_world_t *w, event_t *e), const uint8_t *buf,
		 size_t len)
{
	event_t *e = g_malloc0(sizeof(*e) + len);
	event_t **h;
	guint i = w->heap->len;

	e->at = w->now + delay;
	e->order = ++w->order;
	e->run = run;
	e->len = len;
	if (len)
		memcpy(e->buf, buf, len);
	g_array_append_val(w->heap, e);
	h = (event_t **)(void *)w->heap->data;
	while (i > 0 && before(e, h[(i - 1) / 2])) {
		h[i] = h[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	h[i] = e;
	return e;
}

static event_t *pop(relay_world_t *w)
{
	event_t **h = (event_t **)(void *)w->heap->data;
	event_t *first = h[0], *last = h[w->heap->len - 1];
	guint i = 0, n = w->heap->len - 1;

	g_array_set_size(w->heap, n);
	while (2 * i + 1 < n) {
		guint child = 2 * i + 1;

		if (child + 1 < n && before(h[child + 1], h[child]))
			child++;
		if (!before(h[child], last))
			break;
		h[i] = h[child];
		i = child;
	}
	if (n)
		h[i] = last;
	return first;
}

static void rw_put(uint8_t *at, uint32_t value, int bytes)
{
	while (bytes-- > 0) {
		at[bytes] = (uint8_t)value;
		value >>= 8;
	}
}

size_t rw_build(const relay_world_t *w, uint8_t *buf, unsigned flow,
		bool to_service, uint8_t wire, uint32_t seq, uint32_t ack,
		unsigned payload)
{
	uint16_t port = w->flows[flow].urgent ? URGENT_PORT : PORT;

	memset(buf, 0, 32 + payload);
	rw_put(buf, payload, 2);
	rw_put(buf + 2, seq, 4);
	rw_put(buf + 6, ack, 4);
	rw_put(buf + (to_service ? 14 : 20), CALLER_IP + flow / 60000, 4);
	rw_put(buf + (to_service ? 18 : 24), 1024 + flow % 60000, 2);
	rw_put(buf + (to_service ? 20 : 14), ADDRESS, 4);
	rw_put(buf + (to_service ? 24 : 18), port, 2);
	buf[26] = wire;
	return 32 + payload;
}

unsigned rw_flow_of(uint32_t ip, uint16_t port)
{
	return (ip - CALLER_IP) * 60000 + port - 1024;
}

/* Operations of balancers and agents */

static void at_agent(relay_world_t *w, event_t *e)
{
	relay_agent_packet(w->agents[e->a], rw_ms(w), e->host, e->buf, e->len);
}

/* The naive choice knows no load and offers an open to one agent. */
static void forget_load(relay_msg_t *msg)
{
	if (msg->load)
		ct__relay__load__free_unpacked(msg->load, NULL);
	msg->load = NULL;
	if (msg->kind == RELAY_OFFER)
		msg->n_candidates = msg->n_candidate_ms = 0;
}

static void message_arrives(relay_world_t *w, event_t *e)
{
	relay_msg_t *msg = relay_msg_unpack(e->buf, e->len);

	if (w->o.choice == WORLD_NAIVE)
		forget_load(msg);
	if (e->a >= AGENT_IP)
		relay_agent_message(w->agents[e->a - AGENT_IP], rw_ms(w),
				    e->host, msg);
	else
		relay_balancer_handle_message(w->balancers[e->a - BALANCER_IP],
					      rw_ms(w), e->host, msg);
	relay_msg_free(msg);
}

static void to_agent(void *ctx, uint32_t agent, const uint8_t *buf, size_t len)
{
	peer_t *p = ctx;
	event_t *e = rw_push(p->w, ONE_WAY_US, at_agent, buf, len);

	e->a = agent - AGENT_IP;
	e->host = BALANCER_IP + p->i;
}

static void send_message(peer_t *p, uint32_t from, uint32_t to,
			 const relay_msg_t *msg)
{
	uint8_t buf[RELAY_MSG_MAX];
	event_t *e = rw_push(p->w, ONE_WAY_US, message_arrives, buf,
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
	rw_push(p->w, ONE_WAY_US, rw_at_caller, buf, len)->a = p->i;
}

static void deliver(void *ctx, const uint8_t *buf, size_t len)
{
	peer_t *p = ctx;

	rw_push(p->w, 100, rw_at_server, buf, len)->a = p->i;
}

static peer_t *new_peer(relay_world_t *w, unsigned i)
{
	peer_t *p = g_new(peer_t, 1);

	p->w = w;
	p->i = i;
	g_ptr_array_add(w->peers, p);
	return p;
}

unsigned rw_zone(const relay_world_t *w, unsigned i)
{
	return w->o.zones ? i % w->o.zones : 0;
}

static const char *zone_name(const relay_world_t *w, unsigned i)
{
	static const char *const names[] = { "a", "b", "c", "d", "e", "f" };

	return names[rw_zone(w, i)];
}

static void publish(relay_world_t *w, unsigned balancer, unsigned target,
		    entry_state_t state)
{
	directory_t *d = relay_balancer_directory(w->balancers[balancer]);
	const server_t *s = &w->servers[target];
	target_entry_t e = { .service = SERVICE,
			     .address = { AGENT_IP + target, 80 },
			     .slots = w->o.slots,
			     .state = state,
			     .revision = ++w->revision };

	g_snprintf(e.id, sizeof(e.id), "t%u-%u", target, s->epoch);
	g_strlcpy(e.zone, zone_name(w, target), sizeof(e.zone));
	if (w->now < s->warm_at)
		e.warmup_ms = (uint32_t)((s->warm_at - w->now) / 1000);
	if (state == ENTRY_GONE)
		directory_remove(d, rw_ms(w), e.id, e.revision);
	else
		directory_put(d, rw_ms(w), &e);
}

static void publish_all(relay_world_t *w, unsigned target, entry_state_t state)
{
	for (unsigned b = 0; b < w->o.balancers; b++)
		publish(w, b, target, state);
}

static void put_routes(relay_world_t *w, unsigned balancer)
{
	static const uint16_t ports[] = { PORT, URGENT_PORT };
	route_share_t share = { .service = SERVICE, .weight = 1 };
	route_table_t *t = route_table_new(++w->version, 15000);

	for (size_t i = 0; i < 2; i++) {
		route_t route = { .name = "r",
				  .address = ADDRESS,
				  .port = ports[i],
				  .idempotent = true,
				  .priority = ports[i] == PORT ? 2 : 1,
				  .aim_ms = w->o.choice == WORLD_OURS
						    ? w->o.aim_ms
						    : 0,
				  .shares = &share,
				  .nshares = 1 };

		route_table_add(t, &route, NULL);
	}
	relay_balancer_set_routes(w->balancers[balancer], t);
}

static void new_balancer(relay_world_t *w, unsigned i)
{
	static const relay_balancer_ops_t ops = { to_agent, balancer_message,
						  reply };
	relay_balancer_options_t options = {
		.self = BALANCER_IP + i,
		.zone = zone_name(w, i),
		.form = &fleet_packet_form,
		.max_flows = FLOWS_MAX,
	};

	w->balancers[i] = relay_balancer_new(&options, &ops, new_peer(w, i));
	put_routes(w, i);
	for (unsigned t = 0; t < w->o.targets; t++)
		if (w->servers[t].up && !w->servers[t].draining)
			publish(w, i, t, ENTRY_READY);
}

static void new_agent(relay_world_t *w, unsigned i, bool complete)
{
	static const relay_agent_ops_t ops = { deliver, agent_message, reply };
	relay_agent_options_t options = { .service = SERVICE,
					  .form = &fleet_packet_form,
					  .flows = FLOWS_MAX,
					  .complete = complete };

	w->agents[i] = relay_agent_new(&options, &ops, new_peer(w, i));
}

static void tick(relay_world_t *w, event_t *e)
{
	(void)e;
	for (unsigned i = 0; i < w->o.balancers; i++)
		relay_balancer_tick(w->balancers[i], rw_ms(w));
	for (unsigned i = 0; i < w->o.targets; i++)
		relay_agent_tick(w->agents[i], rw_ms(w));
	rw_push(w, TICK_US, tick, NULL, 0);
}

relay_world_t *rw_open(const rw_options_t *options)
{
	relay_world_t *w = g_new0(relay_world_t, 1);
	request_t none = { .done = true };

	w->o = *options;
	w->now = 1000000;
	w->rate = 1;
	w->callers_zone = -1;
	w->random = options->seed * 2 + 1;
	w->heap = g_array_new(FALSE, FALSE, sizeof(event_t *));
	w->requests = g_array_new(FALSE, FALSE, sizeof(request_t));
	g_array_append_val(w->requests, none);
	w->peers = g_ptr_array_new_with_free_func(g_free);
	w->balancers = g_new0(relay_balancer_t *, options->balancers);
	w->rotation = g_new0(bool, options->balancers);
	w->agents = g_new0(relay_agent_t *, options->targets);
	w->servers = g_new0(server_t, options->targets);
	w->users = g_new0(user_t, options->users + 1);
	w->flows = g_new0(wflow_t, FLOWS_MAX);
	for (unsigned i = 0; i < options->targets; i++) {
		w->servers[i].up = true;
		w->servers[i].speed = i ? 1 : options->slow_speed;
		w->servers[i].factor = 1;
		w->servers[i].waiting = g_queue_new();
		new_agent(w, i, true);
	}
	for (unsigned i = 0; i < options->balancers; i++) {
		w->rotation[i] = true;
		new_balancer(w, i);
	}
	rw_push(w, 0, tick, NULL, 0);
	for (unsigned i = 1; i <= options->users; i++)
		rw_push(w, 200000 + (uint64_t)(rw_chance(w) * 1e6),
			rw_user_asks, NULL, 0)
			->a = i;
	if (options->fresh_rate > 0)
		rw_push(w, 200000, rw_fresh_asks, NULL, 0);
	return w;
}

void rw_close(relay_world_t *w)
{
	while (w->heap->len)
		g_free(pop(w));
	for (unsigned i = 0; i < w->o.balancers; i++)
		relay_balancer_free(w->balancers[i]);
	for (unsigned i = 0; i < w->o.targets; i++) {
		relay_agent_free(w->agents[i]);
		g_queue_free(w->servers[i].waiting);
	}
	g_array_free(w->heap, TRUE);
	g_array_free(w->requests, TRUE);
	g_ptr_array_free(w->peers, TRUE);
	g_free(w->balancers);
	g_free(w->rotation);
	g_free(w->agents);
	g_free(w->servers);
	g_free(w->users);
	g_free(w->flows);
	g_free(w);
}

void rw_pass(relay_world_t *w, unsigned span_ms)
{
	uint64_t end = w->now + (uint64_t)span_ms * 1000;

	while (w->heap->len) {
		event_t *e = g_array_index(w->heap, event_t *, 0);

		if (e->at > end)
			break;
		pop(w);
		w->now = e->at;
		e->run(w, e);
		g_free(e);
	}
	w->now = end;
}

void rw_count_anew(relay_world_t *w)
{
	memset(&w->result, 0, sizeof(w->result));
	w->counted_from = w->now;
}

rw_result_t rw_result(const relay_world_t *w)
{
	return w->result;
}

void rw_shift(relay_world_t *w, int zone)
{
	w->callers_zone = zone;
}

void rw_rate(relay_world_t *w, double factor)
{
	w->rate = factor;
}

void rw_slow(relay_world_t *w, unsigned target, double factor)
{
	w->servers[target].factor = factor;
}

void rw_fail(relay_world_t *w, unsigned target, double part)
{
	w->servers[target].failing = part;
}

static void entry_lapses(relay_world_t *w, event_t *e)
{
	if (!w->servers[e->a].up)
		publish_all(w, e->a, ENTRY_GONE);
}

void rw_crash(relay_world_t *w, unsigned target)
{
	server_t *s = &w->servers[target];

	s->up = false;
	s->busy = 0;
	g_queue_clear(s->waiting);
	if (w->o.choice == WORLD_ORACLE)
		rw_oracle_lost(w, target);
	rw_push(w, ENTRY_GONE_MS * 1000, entry_lapses, NULL, 0)->a = target;
}

void rw_start(relay_world_t *w, unsigned target)
{
	server_t *s = &w->servers[target];

	if (!s->up)
		publish_all(w, target, ENTRY_GONE);
	s->up = true;
	s->draining = false;
	s->epoch++;
	s->warm_at = w->now + COLD_MS * 1000;
	publish_all(w, target, ENTRY_READY);
}

static void leave(relay_world_t *w, event_t *e)
{
	publish_all(w, e->a, ENTRY_GONE);
	rw_crash(w, e->a);
}

void rw_drain(relay_world_t *w, unsigned target)
{
	w->servers[target].draining = true;
	publish_all(w, target, ENTRY_DRAINING);
	rw_push(w, 5000000, leave, NULL, 0)->a = target;
}

void rw_restart_agent(relay_world_t *w, unsigned target)
{
	relay_agent_free(w->agents[target]);
	new_agent(w, target, false);
}

void rw_restart_balancer(relay_world_t *w, unsigned balancer)
{
	relay_balancer_free(w->balancers[balancer]);
	new_balancer(w, balancer);
}

void rw_rotation(relay_world_t *w, unsigned balancer, bool in)
{
	w->rotation[balancer] = in;
}
