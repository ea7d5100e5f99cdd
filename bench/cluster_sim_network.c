#include "cluster_sim_int.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FROZEN_EVENTS_MAX 512 /* per frozen process, later ones are dropped */

uint64_t csim_random(csim_t *sim)
{
	uint64_t x = sim->rng_state += 0x9e3779b97f4a7c15ULL;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

static double random_fraction(csim_t *sim)
{
	return (double)(csim_random(sim) >> 11) * 0x1.0p-53;
}

csim_process_t *csim_process_of(csim_t *sim, node_t node)
{
	switch (node.kind) {
	case NODE_BALANCER:
		return &sim->balancers[node.index];
	case NODE_AGENT:
		return &sim->agents[node.index];
	case NODE_SERVER:
		return &sim->servers[node.index];
	default:
		return NULL;
	}
}

static bool event_before(const event_t *a, const event_t *b)
{
	return a->time != b->time ? a->time < b->time : a->seq < b->seq;
}

/* Adds an event to the binary heap; the first element is the earliest event. */
static void heap_push(csim_t *sim, event_t *e)
{
	GPtrArray *heap = sim->events;
	guint i = heap->len;

	e->seq = sim->next_seq++;
	g_ptr_array_add(heap, e);
	for (; i && event_before(e, heap->pdata[(i - 1) / 2]); i = (i - 1) / 2)
		heap->pdata[i] = heap->pdata[(i - 1) / 2];
	heap->pdata[i] = e;
}

/* Removes the earliest event and returns it; NULL when it is after `until`. */
static event_t *heap_pop(csim_t *sim, uint64_t until)
{
	GPtrArray *heap = sim->events;
	event_t *first, *last;
	guint i = 0;

	if (!heap->len || ((event_t *)heap->pdata[0])->time > until)
		return NULL;
	first = heap->pdata[0];
	last = heap->pdata[--heap->len];
	for (guint child = 1; child < heap->len; child = 2 * i + 1) {
		if (child + 1 < heap->len &&
		    event_before(heap->pdata[child + 1], heap->pdata[child]))
			child++;
		if (event_before(last, heap->pdata[child]))
			break;
		heap->pdata[i] = heap->pdata[child];
		i = child;
	}
	heap->pdata[i] = last;
	return first;
}

void csim_schedule(csim_t *sim, uint64_t time, event_kind_t kind, node_t from,
		   node_t to, msg_kind_t msg, const uint8_t *bytes, size_t len)
{
	csim_process_t *p = csim_process_of(sim, to);
	event_t *e = g_malloc(sizeof(*e) + len);

	e->time = time;
	e->kind = kind;
	e->from = from;
	e->to = to;
	e->generation = p ? p->generation : 0;
	e->msg = msg;
	e->len = len;
	if (len)
		memcpy(e->bytes, bytes, len);
	heap_push(sim, e);
}

static bool is_cut(const csim_t *sim, node_t from, node_t to)
{
	for (size_t i = 0; i < sim->ncuts; i++)
		if (sim->cuts[i].from.kind == from.kind &&
		    sim->cuts[i].from.index == from.index &&
		    sim->cuts[i].to.kind == to.kind &&
		    sim->cuts[i].to.index == to.index)
			return true;
	return false;
}

static void tap_packet(csim_t *sim, node_t from, node_t to,
		       const uint8_t *bytes, size_t len)
{
	packet_t p;

	if (packet_parse(bytes, len, &p) == PACKET_OK)
		sim->packet_tap(sim->packet_tap_ctx, from, to, &p);
}

/*
 * Loss, duplication and delay do not apply between an agent and its server,
 * which are on the same host.
 */
void csim_transmit(csim_t *sim, event_kind_t kind, node_t from, node_t to,
		   msg_kind_t msg, const uint8_t *bytes, size_t len)
{
	bool same_host = (from.kind == NODE_SERVER || to.kind == NODE_SERVER);
	int copies = 1;

	if (is_cut(sim, from, to))
		return;
	if (kind == EVENT_PACKET && sim->packet_tap)
		tap_packet(sim, from, to, bytes, len);
	if (same_host) {
		csim_schedule(sim, sim->now, kind, from, to, msg, bytes, len);
		return;
	}
	if (sim->options.loss_ratio > 0 &&
	    random_fraction(sim) < sim->options.loss_ratio)
		return;
	if (sim->options.dup_ratio > 0 &&
	    random_fraction(sim) < sim->options.dup_ratio)
		copies = 2;
	/* Messages are sealed: the receiver drops replays. */
	if (kind == EVENT_MESSAGE)
		copies = 1;
	for (; copies; copies--) {
		uint64_t time = sim->now + sim->options.delay_ms;

		if (sim->options.jitter_ms)
			time += csim_random(sim) % (sim->options.jitter_ms + 1);
		csim_schedule(sim, time, kind, from, to, msg, bytes, len);
	}
}

void csim_send_to_balancer(csim_t *sim, unsigned balancer,
			   const uint8_t *packet, size_t len)
{
	node_t caller = { NODE_CALLER, 0 };
	node_t to = { NODE_BALANCER, balancer };
	unsigned usable[CSIM_BALANCERS_MAX];
	unsigned n = 0;

	if (balancer == UINT32_MAX) {
		for (unsigned i = 0; i < sim->nbalancers; i++)
			if (sim->balancers[i].in_fabric)
				usable[n++] = i;
		if (!n)
			return;
		to.index = usable[csim_random(sim) % n];
	}
	csim_transmit(sim, EVENT_PACKET, caller, to, MSG_NONE, packet, len);
}

void csim_inject_packet(csim_t *sim, unsigned balancer, const uint8_t *packet,
			size_t len)
{
	csim_send_to_balancer(sim, balancer, packet, len);
}

/* Returns false when the process has ended, else schedules the event again. */
static bool run_tick(csim_t *sim, event_t *e)
{
	csim_process_t *p = csim_process_of(sim, e->to);
	uint64_t period = TCP_TICK_MS;

	if (!p) {
		caller_tick(sim->caller, sim->now);
	} else if (p->generation != e->generation || !p->alive) {
		return false;
	} else if (p->balancer) {
		period = TICK_MS;
		if (!p->frozen)
			balancer_tick(p->balancer, sim->now);
	} else if (p->agent) {
		period = TICK_MS;
		if (!p->frozen)
			agent_tick(p->agent, sim->now);
	} else if (p->naive) {
		period = TICK_MS;
		if (!p->frozen)
			naive_tick(p->naive, sim->now);
	} else if (!p->frozen) {
		app_server_tick(p->server, sim->now);
	}
	e->time = sim->now + period;
	heap_push(sim, e);
	return true;
}

static endpoint_t listen_addr(csim_t *sim, node_t node)
{
	csim_process_t *p = csim_process_of(sim, node);
	endpoint_t none = { 0, 0 };

	return p ? p->listen : none;
}

static void receive_message(csim_process_t *p, event_t *e)
{
	csim_t *sim = p->sim;
	endpoint_t from = listen_addr(sim, e->from);
	void *msg = wire_unpack(&sim->arena, e->msg, e->bytes, e->len);

	if (!msg)
		return;
	if (p->balancer)
		balancer_message(p->balancer, sim->now, &from, e->msg, msg);
	else if (p->agent)
		agent_message(p->agent, sim->now, &from, e->msg, msg);
	else if (p->naive)
		naive_message(p->naive, sim->now, &from, e->msg, msg);
}

static void receive_packet(csim_process_t *p, event_t *e)
{
	uint64_t now = p->sim->now;

	if (p->balancer)
		balancer_packet(p->balancer, now, e->bytes, e->len);
	else if (p->agent)
		agent_server_packet(p->agent, now, e->bytes, e->len);
	else if (p->naive)
		naive_packet(p->naive, now, e->bytes, e->len);
	else if (p->server)
		app_server_input(p->server, now, e->bytes, e->len);
}

static void finish_work(csim_process_t *p, const event_t *e)
{
	if (p->generation != e->generation || !p->server)
		return;
	p->work_done_ms = 0;
	app_server_run(p->server, p->sim->now);
}

/* Schedules an event for when the server's next work is due to finish. */
static void schedule_work_done(csim_process_t *p)
{
	uint64_t due = app_server_due(p->server);

	if (due == UINT64_MAX || (p->work_done_ms && p->work_done_ms <= due))
		return;
	p->work_done_ms = due;
	if (due < p->sim->now)
		due = p->sim->now;
	csim_schedule(p->sim, due, EVENT_WORK_DONE, p->node, p->node, MSG_NONE,
		      NULL, 0);
}

static void deliver_to_caller(csim_t *sim, event_t *e)
{
	packet_t p;

	if (sim->caller_tap && packet_parse(e->bytes, e->len, &p) == PACKET_OK)
		sim->caller_tap(sim->caller_tap_ctx, &p);
	caller_input(sim->caller, sim->now, e->bytes, e->len);
}

static void process_event(csim_process_t *p, event_t *e)
{
	if (e->kind == EVENT_MESSAGE)
		receive_message(p, e);
	else if (e->kind == EVENT_PACKET)
		receive_packet(p, e);
	else if (e->kind == EVENT_WORK_DONE)
		finish_work(p, e);
	else if (p->agent)
		agent_server_unreachable(p->agent, p->sim->now);
}

void csim_dispatch(csim_t *sim, event_t *e)
{
	csim_process_t *p = csim_process_of(sim, e->to);
	bool kept = false;

	if (e->kind == EVENT_TICK) {
		kept = run_tick(sim, e);
	} else if (!p) {
		deliver_to_caller(sim, e);
	} else if (p->alive && p->frozen) {
		kept = g_queue_get_length(&p->frozen_events) <
		       FROZEN_EVENTS_MAX;
		if (kept)
			g_queue_push_tail(&p->frozen_events, e);
	} else if (p->alive) {
		process_event(p, e);
	}
	if (!kept)
		g_free(e);
	if (p && p->server && !p->frozen)
		schedule_work_done(p);
}

void csim_run(csim_t *sim, uint64_t ms)
{
	uint64_t until = sim->now + ms;
	event_t *e;

	while ((e = heap_pop(sim, until))) {
		sim->now = e->time;
		csim_dispatch(sim, e);
	}
	sim->now = until;
}

bool csim_run_until_idle(csim_t *sim, uint64_t timeout_ms)
{
	uint64_t until = sim->now + timeout_ms;

	while (sim->now < until) {
		if (caller_open_count(sim->caller) == 0)
			return true;
		csim_run(sim, TICK_MS);
	}
	return caller_open_count(sim->caller) == 0;
}

uint64_t csim_now(const csim_t *sim)
{
	return sim->now;
}

void csim_set_in_fabric(csim_t *sim, unsigned balancer, bool use)
{
	sim->balancers[balancer].in_fabric = use;
}

void csim_cut(csim_t *sim, node_t from, node_t to)
{
	if (sim->ncuts == CUTS_MAX)
		return;
	sim->cuts[sim->ncuts].from = from;
	sim->cuts[sim->ncuts++].to = to;
}

void csim_heal_cuts(csim_t *sim)
{
	sim->ncuts = 0;
}

void csim_set_network(csim_t *sim, double loss, double dup, unsigned delay_ms,
		      unsigned jitter_ms)
{
	sim->options.loss_ratio = loss;
	sim->options.dup_ratio = dup;
	sim->options.delay_ms = delay_ms;
	sim->options.jitter_ms = jitter_ms;
}

void csim_set_caller_tap(csim_t *sim, csim_caller_tap_fn fn, void *ctx)
{
	sim->caller_tap = fn;
	sim->caller_tap_ctx = ctx;
}

void csim_set_packet_tap(csim_t *sim, csim_packet_tap_fn fn, void *ctx)
{
	sim->packet_tap = fn;
	sim->packet_tap_ctx = ctx;
}
