#include "agent_int.h"

/* Sequence numbers of one flow stay this close to each other, in bytes. */
#define SEQ_NEAR (16 * 1024 * 1024)

static bool near(uint32_t a, uint32_t b);
static void follow_caller(agent_t *a, uint64_t now, flow_t *f,
			  const packet_t *p);
static void slot_begin(agent_t *a, uint64_t now, flow_t *f);
static void slot_end(agent_t *a, uint64_t now, flow_t *f);
static void request_begin(agent_t *a, uint64_t now, flow_t *f);
static bool service_time(const flow_t *f, uint64_t now, uint64_t *took);
static uint64_t flow_lifetime(const flow_t *f);
static bool flow_tick(agent_t *a, uint64_t now, flow_t *f);

static bool near(uint32_t a, uint32_t b)
{
	int32_t d = seq_diff(a, b);

	return d > -SEQ_NEAR && d < SEQ_NEAR;
}

void flow_count(agent_t *a, flow_t *f)
{
	if (f->counted)
		return;
	f->counted = true;
	a->work += f->weight;
}

static void flow_uncount(agent_t *a, flow_t *f)
{
	if (!f->counted)
		return;
	f->counted = false;
	a->work -= f->weight;
}

void flow_enter(agent_t *a, flow_t *f, uint64_t now, flow_state_t state)
{
	f->state = state;
	f->state_ms = now;
	if (state == FLOW_CLOSING || state == FLOW_LOST ||
	    state == FLOW_DENIED) {
		flow_request_end(a, now, f, false);
		flow_uncount(a, f);
	}
}

void flow_forget(agent_t *a, flow_t *f)
{
	flow_request_end(a, a->last_tick_ms, f, false);
	flow_uncount(a, f);
	counter_add(&a->counters, COUNTER_FLOWS_CLOSED, 1);
	flow_table_remove(a->flows, f);
}

/*
 * A packet of the same five values may belong to another flow: to the other
 * half-open one of a SYN that took two ways, or to an earlier connection.
 */
bool flow_matches(const agent_t *a, const flow_t *f, const packet_t *p)
{
	if (f->key.proto != PROTO_TCP ||
	    without(a->options.off, MECHANISM_SEQ_MATCH))
		return true;
	if (f->state == FLOW_LOST)
		return false;
	if (packet_is_open(p))
		return f->caller_isn == p->seq || f->state != FLOW_OPENING;
	if (!near(p->seq, f->caller_next))
		return false;
	if (!(p->flags & TCP_ACK))
		return true;
	if (f->state == FLOW_OPENING)
		return false;
	if (f->state == FLOW_HALF)
		return p->ack == f->server_isn + 1;
	return near(p->ack, f->server_next);
}

static void slot_begin(agent_t *a, uint64_t now, flow_t *f)
{
	a->in_slots++;
	f->in_slot = true;
	f->slot_ms = now;
}

/* The server is taken to serve first come first served in its slots. */
static void request_begin(agent_t *a, uint64_t now, flow_t *f)
{
	f->request_open = true;
	f->request_ms = now;
	a->in_flight++;
	if (a->in_slots < a->target->slots)
		slot_begin(a, now, f);
	else
		list_append(&a->slot_waits, &f->slot_wait);
	counter_add(&a->counters, COUNTER_REQUESTS, 1);
}

/* Time in a slot; false when it began before this agent saw the flow. */
static bool service_time(const flow_t *f, uint64_t now, uint64_t *took)
{
	uint64_t from = f->request_ms;

	if (!f->in_slot && list_empty(&f->slot_wait))
		return false;
	if (f->in_slot && f->slot_ms > from)
		from = f->slot_ms;
	*took = now - from;
	return true;
}

static void slot_end(agent_t *a, uint64_t now, flow_t *f)
{
	list_remove(&f->slot_wait);
	if (!f->in_slot)
		return;
	f->in_slot = false;
	a->in_slots--;
	if (!list_empty(&a->slot_waits)) {
		flow_t *next =
			list_entry(a->slot_waits.next, flow_t, slot_wait);

		list_remove(&next->slot_wait);
		slot_begin(a, now, next);
	}
}

void flow_request_end(agent_t *a, uint64_t now, flow_t *f, bool answered)
{
	uint64_t took;

	if (!f->request_open)
		return;
	f->request_open = false;
	if (answered) {
		counter_add(&a->counters, COUNTER_REQUESTS_ANSWERED, 1);
		if (service_time(f, now, &took))
			capacity_sample(&a->capacity, now, f->class_index,
					took);
	}
	a->in_flight--;
	slot_end(a, now, f);
}

static void follow_caller(agent_t *a, uint64_t now, flow_t *f,
			  const packet_t *p)
{
	uint32_t next = p->seq + (uint32_t)p->payload_len;

	if (p->key.proto == PROTO_UDP) {
		f->delivered = true;
		if (!f->request_open)
			request_begin(a, now, f);
		return;
	}
	if (p->flags & TCP_FIN) {
		f->caller_fin = true;
		next++;
	}
	if (f->state == FLOW_HALF && p->flags & TCP_ACK)
		flow_enter(a, f, now, FLOW_ESTABLISHED);
	if (p->payload_len) {
		f->delivered = true;
		if (seq_diff(next, f->caller_next) > 0) {
			if (!f->request_open)
				request_begin(a, now, f);
			f->request_ms = now;
		}
	}
	if (seq_diff(next, f->caller_next) > 0)
		f->caller_next = next;
	if (p->flags & TCP_RST)
		flow_enter(a, f, now, FLOW_CLOSING);
	else if (f->caller_fin && f->server_fin && f->state != FLOW_CLOSING)
		flow_enter(a, f, now, FLOW_CLOSING);
}

void flow_deliver(agent_t *a, uint64_t now, flow_t *f, const packet_t *p)
{
	flow_table_touch(a->flows, f, now);
	if (!packet_is_open(p))
		follow_caller(a, now, f, p);
	counter_add(&a->counters, COUNTER_PACKETS_OUT, 1);
	a->ops.deliver(a->ctx, p->data, p->len);
}

static uint64_t flow_lifetime(const flow_t *f)
{
	switch (f->state) {
	case FLOW_OPENING:
	case FLOW_HALF:
		return HALF_OPEN_MS;
	case FLOW_CLOSING:
	case FLOW_LOST:
	case FLOW_DENIED:
		return CLOSING_MS;
	default:
		return f->key.proto == PROTO_UDP ? UDP_IDLE_MS : IDLE_MS;
	}
}

/* Returns false when the flow was forgotten. */
static bool flow_tick(agent_t *a, uint64_t now, flow_t *f)
{
	uint64_t since =
		f->state == FLOW_ESTABLISHED ? f->last_ms : f->state_ms;

	if (f->state == FLOW_TRIAL) {
		lookup_trial_tick(a, now, f);
		return true;
	}
	if (since + flow_lifetime(f) > now)
		return true;
	if (f->state != FLOW_CLOSING)
		counter_add(&a->counters, COUNTER_FLOWS_EXPIRED, 1);
	flow_forget(a, f);
	return false;
}

void flows_tick(agent_t *a, uint64_t now)
{
	list_each_safe(node, after, flow_table_recent(a->flows))
		flow_tick(a, now, list_entry(node, flow_t, recent));
}
