#include "world.h"
#include "../src/seal.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define START_MS    1000
#define TICK_MS	    50
#define TCP_TICK_MS 10
#define FROZEN_MAX  512		/* packets that wait for a frozen process */
#define CALLER_IP   0xcb007107U /* 203.0.113.7 */
/* Bytes of a seal, UDP and IP around a message. */
#define MESSAGE_OVERHEAD (SEAL_HEADER + 28)
#define CUTS_MAX	 256

typedef enum event_kind {
	EVENT_TICK,
	EVENT_DUE,     /* a server finishes work */
	EVENT_PACKET,  /* a plain IPv4 packet */
	EVENT_MESSAGE, /* a packed message */
	EVENT_REFUSED, /* nothing listens at the server */
} event_kind_t;

typedef struct event {
	uint64_t time;
	uint64_t number; /* keeps the order of equal times */
	event_kind_t kind;
	place_t from;
	place_t to;
	uint64_t life; /* of the process at `to`, for ticks */
	msg_kind_t msg;
	size_t len;
	uint8_t bytes[];
} event_t;

typedef struct process_state {
	world_t *world;
	place_t place;
	bool alive;
	bool frozen;
	bool in_fabric; /* balancers */
	uint64_t life;	/* raised at each start */
	uint64_t due;	/* of the EVENT_DUE that is posted, 0 for none */
	endpoint_t listen;
	char target[NAME_BYTES];
	config_t *config; /* owned */
	balancer_t *balancer;
	agent_t *agent;
	app_server_t *server;
	GQueue waiting; /* events while frozen */
} process_state_t;

typedef struct cut {
	place_t from;
	place_t to;
} cut_t;

struct world {
	world_options_t options;
	uint64_t now;
	uint64_t numbers;
	uint64_t random;
	GSequence *events;
	process_state_t balancers[WORLD_BALANCERS];
	unsigned nbalancers;
	process_state_t agents[WORLD_AGENTS];
	process_state_t servers[WORLD_AGENTS];
	unsigned nagents;
	caller_t *caller;
	GPtrArray *results; /* world_result_t, owned */
	cut_t cuts[CUTS_MAX];
	size_t ncuts;
	GHashTable *records; /* of servers that are gone: id to count */
	wire_arena_t arena;
	uint64_t control_bytes;
	uint64_t control_messages;
	config_t *first;
	world_tap_fn tap;
	void *tap_ctx;
};

static uint64_t random64(world_t *w);
static double chance(world_t *w);
static process_state_t *state_of(world_t *w, place_t place);
static void post(world_t *w, uint64_t time, event_kind_t kind, place_t from,
		 place_t to, msg_kind_t msg, const uint8_t *bytes, size_t len);
static void transmit(world_t *w, event_kind_t kind, place_t from, place_t to,
		     msg_kind_t msg, const uint8_t *bytes, size_t len);
static void dispatch(world_t *w, event_t *e);
static void start_process(process_state_t *p);
static void stop_process(process_state_t *p);

static uint64_t random64(world_t *w)
{
	uint64_t x = w->random += 0x9e3779b97f4a7c15ULL;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

static double chance(world_t *w)
{
	return (double)(random64(w) >> 11) * 0x1.0p-53;
}

static process_state_t *state_of(world_t *w, place_t place)
{
	switch (place.kind) {
	case PLACE_BALANCER:
		return &w->balancers[place.index];
	case PLACE_AGENT:
		return &w->agents[place.index];
	case PLACE_SERVER:
		return &w->servers[place.index];
	default:
		return NULL;
	}
}

static gint compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
	const event_t *x = a;
	const event_t *y = b;

	(void)data;
	if (x->time != y->time)
		return x->time < y->time ? -1 : 1;
	return x->number < y->number ? -1 : 1;
}

static void post(world_t *w, uint64_t time, event_kind_t kind, place_t from,
		 place_t to, msg_kind_t msg, const uint8_t *bytes, size_t len)
{
	process_state_t *p = state_of(w, to);
	event_t *e = g_malloc(sizeof(*e) + len);

	e->time = time;
	e->number = w->numbers++;
	e->kind = kind;
	e->from = from;
	e->to = to;
	e->life = p ? p->life : 0;
	e->msg = msg;
	e->len = len;
	if (len)
		memcpy(e->bytes, bytes, len);
	g_sequence_insert_sorted(w->events, e, compare_events, NULL);
}

static bool is_cut(const world_t *w, place_t from, place_t to)
{
	for (size_t i = 0; i < w->ncuts; i++)
		if (w->cuts[i].from.kind == from.kind &&
		    w->cuts[i].from.index == from.index &&
		    w->cuts[i].to.kind == to.kind &&
		    w->cuts[i].to.index == to.index)
			return true;
	return false;
}

/* Sends over the network, with its faults. Agent and server share a host. */
static void transmit(world_t *w, event_kind_t kind, place_t from, place_t to,
		     msg_kind_t msg, const uint8_t *bytes, size_t len)
{
	bool local = (from.kind == PLACE_SERVER || to.kind == PLACE_SERVER);
	int copies = 1;

	if (is_cut(w, from, to))
		return;
	if (local) {
		post(w, w->now, kind, from, to, msg, bytes, len);
		return;
	}
	if (w->options.loss > 0 && chance(w) < w->options.loss)
		return;
	if (w->options.dup > 0 && chance(w) < w->options.dup)
		copies = 2;
	/* Seals drop the second copy of a message. */
	if (kind == EVENT_MESSAGE)
		copies = 1;
	for (; copies; copies--) {
		uint64_t time = w->now + w->options.delay_ms;

		if (w->options.jitter_ms)
			time += random64(w) % (w->options.jitter_ms + 1);
		post(w, time, kind, from, to, msg, bytes, len);
	}
}

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
			transmit(w, EVENT_MESSAGE, p->place, w->agents[i].place,
				 kind, buf, len);
			return;
		}
	for (unsigned i = 0; i < w->nbalancers; i++)
		if (endpoint_equal(&w->balancers[i].listen, to)) {
			transmit(w, EVENT_MESSAGE, p->place,
				 w->balancers[i].place, kind, buf, len);
			return;
		}
}

static void deliver(void *ctx, const uint8_t *packet, size_t len)
{
	process_state_t *p = ctx;
	place_t server = { PLACE_SERVER, p->place.index };

	if (!p->world->servers[p->place.index].alive) {
		post(p->world, p->world->now, EVENT_REFUSED, server, p->place,
		     MSG_NONE, NULL, 0);
		return;
	}
	transmit(p->world, EVENT_PACKET, p->place, server, MSG_NONE, packet,
		 len);
}

static void reply(void *ctx, const uint8_t *packet, size_t len)
{
	process_state_t *p = ctx;
	place_t caller = { PLACE_CALLER, 0 };

	transmit(p->world, EVENT_PACKET, p->place, caller, MSG_NONE, packet,
		 len);
}

static void server_output(void *ctx, const uint8_t *packet, size_t len)
{
	process_state_t *p = ctx;
	place_t agent = { PLACE_AGENT, p->place.index };

	transmit(p->world, EVENT_PACKET, p->place, agent, MSG_NONE, packet,
		 len);
}

static void to_fabric(world_t *w, unsigned balancer, const uint8_t *packet,
		      size_t len)
{
	place_t caller = { PLACE_CALLER, 0 };
	place_t to = { PLACE_BALANCER, balancer };
	unsigned usable[WORLD_BALANCERS];
	unsigned n = 0;

	if (balancer == UINT32_MAX) {
		for (unsigned i = 0; i < w->nbalancers; i++)
			if (w->balancers[i].in_fabric)
				usable[n++] = i;
		if (!n)
			return;
		to.index = usable[random64(w) % n];
	}
	transmit(w, EVENT_PACKET, caller, to, MSG_NONE, packet, len);
}

static void caller_output(void *ctx, const uint8_t *packet, size_t len)
{
	to_fabric(ctx, UINT32_MAX, packet, len);
}

void world_inject(world_t *w, unsigned balancer, const uint8_t *packet,
		  size_t len)
{
	to_fabric(w, balancer, packet, len);
}

static void on_ended(void *ctx, const caller_request_t *r)
{
	world_result_t *result = r->data;

	(void)ctx;
	result->ended = true;
	result->outcome = r->outcome;
	result->answered_ms = r->answered_ms;
	result->ended_ms = r->ended_ms;
	result->got = r->got;
	result->greatest_gap = r->greatest_gap;
	result->retry_after_s = r->retry_after_s;
	result->request = NULL;
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
	static const balancer_ops_t ops = { send_message, no_behind, no_audit };
	balancer_options_t options = { .self = p->listen,
				       .rank_seed = WORLD_RANK_SEED,
				       .cache_flows = 4096,
				       .retry_percent = 10,
				       .off = p->world->options.off,
				       .policy = p->world->options.policy };

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

static void start_process(process_state_t *p)
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
	post(w, w->now + 1 + random64(w) % tick, EVENT_TICK, p->place, p->place,
	     MSG_NONE, NULL, 0);
}

static void add_records(GHashTable *all, GHashTable *from)
{
	GHashTableIter iter;
	gpointer id, count;

	g_hash_table_iter_init(&iter, from);
	while (g_hash_table_iter_next(&iter, &id, &count)) {
		gpointer old = g_hash_table_lookup(all, id);

		g_hash_table_insert(all, id,
				    GSIZE_TO_POINTER(GPOINTER_TO_SIZE(old) +
						     GPOINTER_TO_SIZE(count)));
	}
}

static void stop_process(process_state_t *p)
{
	event_t *e;

	if (!p->alive)
		return;
	if (p->server)
		add_records(p->world->records, app_server_records(p->server));
	balancer_free(p->balancer);
	agent_free(p->agent);
	app_server_free(p->server);
	p->balancer = NULL;
	p->agent = NULL;
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
	start_process(p);
}

static void add_agents(world_t *w, const config_t *config)
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

world_t *world_new(const world_options_t *options)
{
	static const caller_ops_t ops = { caller_output, on_ended };
	world_t *w = g_new0(world_t, 1);
	place_t caller = { PLACE_CALLER, 0 };
	char text[900];
	err_t err;

	w->options = *options;
	w->now = START_MS;
	w->random = options->seed;
	if (config_parse("world", options->config_text,
			 strlen(options->config_text), &w->first, &err) < 0) {
		fprintf(stderr, "%s\n", err_format(&err, text, sizeof(text)));
		g_free(w);
		return NULL;
	}
	w->events = g_sequence_new(g_free);
	w->results = g_ptr_array_new_with_free_func(g_free);
	w->records = g_hash_table_new(NULL, NULL);
	w->caller = caller_new(&ops, w, CALLER_IP, options->seed);
	add_agents(w, w->first);
	for (unsigned i = 0; i < options->balancers; i++)
		world_add_balancer(w);
	post(w, w->now + 1, EVENT_TICK, caller, caller, MSG_NONE, NULL, 0);
	return w;
}

void world_free(world_t *w)
{
	for (unsigned i = 0; i < w->nbalancers; i++) {
		stop_process(&w->balancers[i]);
		config_unref(w->balancers[i].config);
	}
	for (unsigned i = 0; i < w->nagents; i++) {
		stop_process(&w->agents[i]);
		stop_process(&w->servers[i]);
		config_unref(w->agents[i].config);
		config_unref(w->servers[i].config);
	}
	caller_free(w->caller);
	g_sequence_free(w->events);
	g_ptr_array_free(w->results, TRUE);
	g_hash_table_destroy(w->records);
	wire_arena_clear(&w->arena);
	config_unref(w->first);
	g_free(w);
}

uint64_t world_now(const world_t *w)
{
	return w->now;
}

static void tick(world_t *w, event_t *e)
{
	process_state_t *p = state_of(w, e->to);
	uint64_t period = TCP_TICK_MS;

	if (!p) {
		caller_tick(w->caller, w->now);
	} else if (p->life != e->life || !p->alive) {
		return;
	} else if (p->balancer) {
		period = TICK_MS;
		if (!p->frozen)
			balancer_tick(p->balancer, w->now);
	} else if (p->agent) {
		period = TICK_MS;
		if (!p->frozen)
			agent_tick(p->agent, w->now);
	} else if (!p->frozen) {
		app_server_tick(p->server, w->now);
	}
	post(w, w->now + period, EVENT_TICK, e->to, e->to, MSG_NONE, NULL, 0);
}

static endpoint_t listen_of(world_t *w, place_t place)
{
	process_state_t *p = state_of(w, place);
	endpoint_t none = { 0, 0 };

	return p ? p->listen : none;
}

static void take_message(process_state_t *p, event_t *e)
{
	world_t *w = p->world;
	endpoint_t from = listen_of(w, e->from);
	void *msg = wire_unpack(&w->arena, e->msg, e->bytes, e->len);

	if (!msg)
		return;
	if (p->balancer)
		balancer_message(p->balancer, w->now, &from, e->msg, msg);
	else if (p->agent)
		agent_message(p->agent, w->now, &from, e->msg, msg);
}

static void take_packet(process_state_t *p, event_t *e)
{
	uint64_t now = p->world->now;

	if (p->balancer)
		balancer_packet(p->balancer, now, e->bytes, e->len);
	else if (p->agent)
		agent_answer(p->agent, now, e->bytes, e->len);
	else if (p->server)
		app_server_input(p->server, now, e->bytes, e->len);
}

static void take_due(process_state_t *p, const event_t *e)
{
	if (p->life != e->life || !p->server)
		return;
	p->due = 0;
	app_server_run(p->server, p->world->now);
}

/* Posts an event for when the server finishes its next work. */
static void post_due(process_state_t *p)
{
	uint64_t due = app_server_due(p->server);

	if (due == UINT64_MAX || (p->due && p->due <= due))
		return;
	p->due = due;
	if (due < p->world->now)
		due = p->world->now;
	post(p->world, due, EVENT_DUE, p->place, p->place, MSG_NONE, NULL, 0);
}

static void to_caller(world_t *w, event_t *e)
{
	packet_t p;

	if (w->tap && packet_parse(e->bytes, e->len, &p) == PACKET_OK)
		w->tap(w->tap_ctx, &p);
	caller_input(w->caller, w->now, e->bytes, e->len);
}

static void dispatch(world_t *w, event_t *e)
{
	process_state_t *p = state_of(w, e->to);

	if (e->kind == EVENT_TICK) {
		tick(w, e);
	} else if (!p) {
		to_caller(w, e);
	} else if (p->alive && p->frozen) {
		if (g_queue_get_length(&p->waiting) < FROZEN_MAX) {
			event_t *copy = g_memdup2(e, sizeof(*e) + e->len);

			g_queue_push_tail(&p->waiting, copy);
		}
	} else if (p->alive) {
		if (e->kind == EVENT_MESSAGE)
			take_message(p, e);
		else if (e->kind == EVENT_PACKET)
			take_packet(p, e);
		else if (e->kind == EVENT_DUE)
			take_due(p, e);
		else if (p->agent)
			agent_server_gone(p->agent, w->now);
	}
	if (p && p->server && !p->frozen)
		post_due(p);
}

void world_run(world_t *w, uint64_t ms)
{
	uint64_t until = w->now + ms;

	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(w->events);
		event_t *e;

		if (g_sequence_iter_is_end(first))
			break;
		e = g_sequence_get(first);
		if (e->time > until)
			break;
		w->now = e->time;
		e = g_memdup2(e, sizeof(*e) + e->len);
		g_sequence_remove(first);
		dispatch(w, e);
		g_free(e);
	}
	w->now = until;
}

bool world_settle(world_t *w, uint64_t bound_ms)
{
	uint64_t until = w->now + bound_ms;

	while (w->now < until) {
		if (caller_open(w->caller) == 0)
			return true;
		world_run(w, TICK_MS);
	}
	return caller_open(w->caller) == 0;
}

size_t world_request(world_t *w, const char *service, const char *cls,
		     const app_request_t *app)
{
	const service_t *s = config_service_by_name(w->first, service);
	world_result_t *r = g_new0(world_result_t, 1);

	r->app = *app;
	r->begun_ms = w->now;
	g_ptr_array_add(w->results, r);
	for (size_t i = 0; i < s->nclasses; i++) {
		if (strcmp(s->classes[i].name, cls) != 0)
			continue;
		r->request = caller_begin(w->caller, w->now, s->address,
					  s->classes[i].port, app, r);
		r->key = r->request->key;
	}
	return w->results->len - 1;
}

const world_result_t *world_result(const world_t *w, size_t number)
{
	return g_ptr_array_index(w->results, number);
}

size_t world_requests(const world_t *w)
{
	return w->results->len;
}

void world_kill(world_t *w, place_kind_t kind, unsigned index)
{
	place_t place = { kind, index };

	stop_process(state_of(w, place));
}

void world_restart(world_t *w, place_kind_t kind, unsigned index)
{
	place_t place = { kind, index };
	process_state_t *p = state_of(w, place);

	stop_process(p);
	start_process(p);
}

void world_freeze(world_t *w, place_kind_t kind, unsigned index)
{
	place_t place = { kind, index };

	state_of(w, place)->frozen = true;
}

void world_thaw(world_t *w, place_kind_t kind, unsigned index)
{
	place_t place = { kind, index };
	process_state_t *p = state_of(w, place);
	event_t *e;

	p->frozen = false;
	while ((e = g_queue_pop_head(&p->waiting))) {
		dispatch(w, e);
		g_free(e);
	}
}

void world_hand_over(world_t *w, unsigned agent)
{
	process_state_t *p = &w->agents[agent];
	handover_msg_t flows;
	agent_t *old = p->agent;

	agent_export(old, &flows);
	p->agent = NULL;
	p->alive = false;
	start_process(p);
	agent_import(p->agent, w->now, &flows);
	agent_export_free(&flows);
	agent_free(old);
}

void world_leave(world_t *w, unsigned agent)
{
	agent_leave(w->agents[agent].agent, w->now);
}

void world_fabric(world_t *w, unsigned balancer, bool use)
{
	w->balancers[balancer].in_fabric = use;
}

void world_cut(world_t *w, place_t from, place_t to)
{
	if (w->ncuts == CUTS_MAX)
		return;
	w->cuts[w->ncuts].from = from;
	w->cuts[w->ncuts++].to = to;
}

void world_heal(world_t *w)
{
	w->ncuts = 0;
}

void world_network(world_t *w, double loss, double dup, unsigned delay_ms,
		   unsigned jitter_ms)
{
	w->options.loss = loss;
	w->options.dup = dup;
	w->options.delay_ms = delay_ms;
	w->options.jitter_ms = jitter_ms;
}

static void configure(process_state_t *p, config_t *config)
{
	config_unref(p->config);
	p->config = config_ref(config);
	if (p->balancer)
		balancer_configure(p->balancer, p->world->now, config);
	else if (p->agent)
		agent_configure(p->agent, p->world->now, config);
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
	configure(state_of(w, place), config);
	config_unref(config);
}

void world_configure_all(world_t *w, const char *text)
{
	config_t *config = parse(text);

	if (!config)
		return;
	config_unref(w->first);
	w->first = config_ref(config);
	add_agents(w, config);
	for (unsigned i = 0; i < w->nbalancers; i++)
		configure(&w->balancers[i], config);
	for (unsigned i = 0; i < w->nagents; i++)
		configure(&w->agents[i], config);
	config_unref(config);
}

uint64_t world_control_bytes(const world_t *w)
{
	return w->control_bytes;
}

uint64_t world_control_messages(const world_t *w)
{
	return w->control_messages;
}

balancer_t *world_balancer(world_t *w, unsigned index)
{
	return w->balancers[index].balancer;
}

agent_t *world_agent(world_t *w, unsigned index)
{
	return w->agents[index].agent;
}

app_server_t *world_server(world_t *w, unsigned index)
{
	return w->servers[index].server;
}

unsigned world_agents(const world_t *w)
{
	return w->nagents;
}

unsigned world_agent_of(const world_t *w, const char *target)
{
	for (unsigned i = 0; i < w->nagents; i++)
		if (!strcmp(w->agents[i].target, target))
			return i;
	return UINT32_MAX;
}

unsigned world_holder(world_t *w, size_t number)
{
	const world_result_t *r = world_result(w, number);

	for (unsigned i = 0; i < w->nagents; i++) {
		char *text;
		bool held;

		if (!w->agents[i].alive)
			continue;
		text = agent_explain(w->agents[i].agent, w->now, &r->key);
		held = strstr(text, "\"established\"") != NULL;
		g_free(text);
		if (held)
			return i;
	}
	return UINT32_MAX;
}

size_t world_broken(const world_t *w)
{
	size_t broken = 0;

	for (size_t i = 0; i < w->results->len; i++) {
		const world_result_t *r = world_result(w, i);

		if (!r->ended ||
		    (r->outcome != OUTCOME_DONE && r->outcome != OUTCOME_SHED &&
		     r->outcome != OUTCOME_NOT_RUN))
			broken++;
	}
	return broken;
}

void world_records(const world_t *w, uint64_t *records, uint64_t *doubled)
{
	GHashTable *all = g_hash_table_new(NULL, NULL);
	GHashTableIter iter;
	gpointer id, count;

	*records = 0;
	*doubled = 0;
	add_records(all, w->records);
	for (unsigned i = 0; i < w->nagents; i++)
		if (w->servers[i].server)
			add_records(all,
				    app_server_records(w->servers[i].server));
	g_hash_table_iter_init(&iter, all);
	while (g_hash_table_iter_next(&iter, &id, &count)) {
		*records += GPOINTER_TO_SIZE(count);
		*doubled += GPOINTER_TO_SIZE(count) > 1;
	}
	g_hash_table_destroy(all);
}

void world_tap(world_t *w, world_tap_fn tap, void *ctx)
{
	w->tap = tap;
	w->tap_ctx = ctx;
}
