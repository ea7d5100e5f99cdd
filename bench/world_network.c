#include "world_int.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FROZEN_MAX 512 /* packets that wait for a frozen process */

uint64_t world_random(world_t *w)
{
	uint64_t x = w->random += 0x9e3779b97f4a7c15ULL;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

static double chance(world_t *w)
{
	return (double)(world_random(w) >> 11) * 0x1.0p-53;
}

process_state_t *world_state_of(world_t *w, place_t place)
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

static bool before(const event_t *a, const event_t *b)
{
	return a->time != b->time ? a->time < b->time : a->number < b->number;
}

/* The events are a binary heap, the next one in front. */
static void push(world_t *w, event_t *e)
{
	GPtrArray *heap = w->events;
	guint i = heap->len;

	e->number = w->numbers++;
	g_ptr_array_add(heap, e);
	for (; i && before(e, heap->pdata[(i - 1) / 2]); i = (i - 1) / 2)
		heap->pdata[i] = heap->pdata[(i - 1) / 2];
	heap->pdata[i] = e;
}

/* Takes the next event up to a time; NULL when there is none. */
static event_t *pop(world_t *w, uint64_t until)
{
	GPtrArray *heap = w->events;
	event_t *first, *last;
	guint i = 0;

	if (!heap->len || ((event_t *)heap->pdata[0])->time > until)
		return NULL;
	first = heap->pdata[0];
	last = heap->pdata[--heap->len];
	for (guint child = 1; child < heap->len; child = 2 * i + 1) {
		if (child + 1 < heap->len &&
		    before(heap->pdata[child + 1], heap->pdata[child]))
			child++;
		if (before(last, heap->pdata[child]))
			break;
		heap->pdata[i] = heap->pdata[child];
		i = child;
	}
	heap->pdata[i] = last;
	return first;
}

void world_post(world_t *w, uint64_t time, event_kind_t kind, place_t from,
		place_t to, msg_kind_t msg, const uint8_t *bytes, size_t len)
{
	process_state_t *p = world_state_of(w, to);
	event_t *e = g_malloc(sizeof(*e) + len);

	e->time = time;
	e->kind = kind;
	e->from = from;
	e->to = to;
	e->life = p ? p->life : 0;
	e->msg = msg;
	e->len = len;
	if (len)
		memcpy(e->bytes, bytes, len);
	push(w, e);
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

static void show(world_t *w, place_t from, place_t to, const uint8_t *bytes,
		 size_t len)
{
	packet_t p;

	if (packet_parse(bytes, len, &p) == PACKET_OK)
		w->watch(w->watch_ctx, from, to, &p);
}

/* Sends over the network, with its faults. Agent and server share a host. */
void world_transmit(world_t *w, event_kind_t kind, place_t from, place_t to,
		    msg_kind_t msg, const uint8_t *bytes, size_t len)
{
	bool local = (from.kind == PLACE_SERVER || to.kind == PLACE_SERVER);
	int copies = 1;

	if (is_cut(w, from, to))
		return;
	if (kind == EVENT_PACKET && w->watch)
		show(w, from, to, bytes, len);
	if (local) {
		world_post(w, w->now, kind, from, to, msg, bytes, len);
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
			time += world_random(w) % (w->options.jitter_ms + 1);
		world_post(w, time, kind, from, to, msg, bytes, len);
	}
}

void world_to_fabric(world_t *w, unsigned balancer, const uint8_t *packet,
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
		to.index = usable[world_random(w) % n];
	}
	world_transmit(w, EVENT_PACKET, caller, to, MSG_NONE, packet, len);
}

void world_inject(world_t *w, unsigned balancer, const uint8_t *packet,
		  size_t len)
{
	world_to_fabric(w, balancer, packet, len);
}

/* Returns false when the process is gone; else the event comes again. */
static bool tick(world_t *w, event_t *e)
{
	process_state_t *p = world_state_of(w, e->to);
	uint64_t period = TCP_TICK_MS;

	if (!p) {
		caller_tick(w->caller, w->now);
	} else if (p->life != e->life || !p->alive) {
		return false;
	} else if (p->balancer) {
		period = TICK_MS;
		if (!p->frozen)
			balancer_tick(p->balancer, w->now);
	} else if (p->agent) {
		period = TICK_MS;
		if (!p->frozen)
			agent_tick(p->agent, w->now);
	} else if (p->naive) {
		period = TICK_MS;
		if (!p->frozen)
			naive_tick(p->naive, w->now);
	} else if (!p->frozen) {
		app_server_tick(p->server, w->now);
	}
	e->time = w->now + period;
	push(w, e);
	return true;
}

static endpoint_t listen_of(world_t *w, place_t place)
{
	process_state_t *p = world_state_of(w, place);
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
	else if (p->naive)
		naive_message(p->naive, w->now, &from, e->msg, msg);
}

static void take_packet(process_state_t *p, event_t *e)
{
	uint64_t now = p->world->now;

	if (p->balancer)
		balancer_packet(p->balancer, now, e->bytes, e->len);
	else if (p->agent)
		agent_server_packet(p->agent, now, e->bytes, e->len);
	else if (p->naive)
		naive_packet(p->naive, now, e->bytes, e->len);
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
	world_post(p->world, due, EVENT_DUE, p->place, p->place, MSG_NONE, NULL,
		   0);
}

static void to_caller(world_t *w, event_t *e)
{
	packet_t p;

	if (w->tap && packet_parse(e->bytes, e->len, &p) == PACKET_OK)
		w->tap(w->tap_ctx, &p);
	caller_input(w->caller, w->now, e->bytes, e->len);
}

static void take(process_state_t *p, event_t *e)
{
	if (e->kind == EVENT_MESSAGE)
		take_message(p, e);
	else if (e->kind == EVENT_PACKET)
		take_packet(p, e);
	else if (e->kind == EVENT_DUE)
		take_due(p, e);
	else if (p->agent)
		agent_server_unreachable(p->agent, p->world->now);
}

void world_dispatch(world_t *w, event_t *e)
{
	process_state_t *p = world_state_of(w, e->to);
	bool kept = false;

	if (e->kind == EVENT_TICK) {
		kept = tick(w, e);
	} else if (!p) {
		to_caller(w, e);
	} else if (p->alive && p->frozen) {
		kept = g_queue_get_length(&p->waiting) < FROZEN_MAX;
		if (kept)
			g_queue_push_tail(&p->waiting, e);
	} else if (p->alive) {
		take(p, e);
	}
	if (!kept)
		g_free(e);
	if (p && p->server && !p->frozen)
		post_due(p);
}

void world_run(world_t *w, uint64_t ms)
{
	uint64_t until = w->now + ms;
	event_t *e;

	while ((e = pop(w, until))) {
		w->now = e->time;
		world_dispatch(w, e);
	}
	w->now = until;
}

bool world_settle(world_t *w, uint64_t bound_ms)
{
	uint64_t until = w->now + bound_ms;

	while (w->now < until) {
		if (caller_open_count(w->caller) == 0)
			return true;
		world_run(w, TICK_MS);
	}
	return caller_open_count(w->caller) == 0;
}

uint64_t world_now(const world_t *w)
{
	return w->now;
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

void world_tap(world_t *w, world_tap_fn tap, void *ctx)
{
	w->tap = tap;
	w->tap_ctx = ctx;
}

void world_watch(world_t *w, world_watch_fn watch, void *ctx)
{
	w->watch = watch;
	w->watch_ctx = ctx;
}
