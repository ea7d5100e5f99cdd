#include "agent_int.h"
#include <string.h>

static bool seq_near(uint32_t a, uint32_t b);
static void track_caller_packet(agent_t *a, uint64_t now, flow_t *f,
				const packet_t *p);
static void slot_begin(agent_t *a, uint64_t now, flow_t *f);
static void slot_end(agent_t *a, uint64_t now, flow_t *f);
static void request_begin(agent_t *a, uint64_t now, flow_t *f);
static void send_keepalive(agent_t *a, flow_t *f);
static uint64_t transient_lifetime_ms(const flow_t *f);
static void transient_tick(agent_t *a, uint64_t now, flow_t *f);
static void idle_tick(agent_t *a, uint64_t now, flow_t *f);
static bool service_time(const flow_t *f, uint64_t now, uint64_t *took_ms);

static bool seq_near(uint32_t a, uint32_t b)
{
	int32_t d = seq_diff(a, b);

	return d > -SEQ_WINDOW && d < SEQ_WINDOW;
}

void flow_classify(const agent_t *a, flow_t *f)
{
	f->weight = 1;
	for (uint32_t i = 0; i < a->service->nclasses; i++) {
		const class_t *c = &a->service->classes[i];

		if (c->port != f->key.dport || c->proto != f->key.proto)
			continue;
		f->class_index = i;
		f->weight = c->weight;
	}
}

void flow_add_work(agent_t *a, flow_t *f)
{
	if (f->counted)
		return;
	f->counted = true;
	a->held++;
	a->work += f->weight;
}

static void flow_remove_work(agent_t *a, flow_t *f)
{
	if (!f->counted)
		return;
	f->counted = false;
	a->held--;
	a->work -= f->weight;
}

void flow_set_state(agent_t *a, flow_t *f, uint64_t now, flow_state_t state)
{
	if (f->state == FLOW_OPENING && state != FLOW_OPENING)
		flow_drop_buffered(f);
	f->state = state;
	f->state_ms = now;
	flow_table_set_transient(a->flows, f, state != FLOW_ESTABLISHED);
	if (state == FLOW_CLOSING || state == FLOW_LOST || state == FLOW_DENIED)
		witness_flow_closed(a, f);
	else if (state != FLOW_VERIFYING && !f->announced)
		witness_flow_opened(a, f);
	if (state == FLOW_CLOSING || state == FLOW_LOST ||
	    state == FLOW_DENIED) {
		flow_request_end(a, now, f, false);
		flow_remove_work(a, f);
	}
}

void flow_remove(agent_t *a, flow_t *f)
{
	flow_request_end(a, a->last_tick_ms, f, false);
	flow_remove_work(a, f);
	witness_flow_closed(a, f);
	counter_add(&a->counters, COUNTER_FLOWS_CLOSED, 1);
	flow_table_remove(a->flows, f);
}

/*
 * A packet with the flow's five-tuple may belong to another connection: to the
 * one that a copy of the SYN opened at another member, or to an earlier one.
 */
bool flow_matches(const agent_t *a, const flow_t *f, const packet_t *p)
{
	if (f->key.proto != PROTO_TCP ||
	    mechanism_disabled(a->options.off, MECHANISM_SEQ_MATCH))
		return true;
	if (f->state == FLOW_LOST)
		return false;
	if (packet_is_open(p))
		return f->caller_isn == p->seq || f->state != FLOW_OPENING;
	if (!seq_near(p->seq, f->caller_next))
		return false;
	if (!(p->flags & TCP_ACK))
		return true;
	if (f->state == FLOW_OPENING)
		return false;
	if (f->state == FLOW_HALF_OPEN)
		return p->ack == f->server_isn + 1;
	return seq_near(p->ack, f->server_next);
}

static void slot_begin(agent_t *a, uint64_t now, flow_t *f)
{
	a->in_slots++;
	f->in_slot = true;
	f->slot_ms = now;
}

/*
 * Each request takes one slot of the server, which is assumed to serve requests
 * first come, first served.
 */
static void request_begin(agent_t *a, uint64_t now, flow_t *f)
{
	f->request_open = true;
	f->request_ms = now;
	a->in_flight++;
	if (a->in_slots < a->target->slots)
		slot_begin(a, now, f);
	else
		list_append(&a->slot_queue, &f->slot_wait);
	counter_add(&a->counters, COUNTER_REQUESTS, 1);
}

/*
 * Service time of the open request, in ms: since its last byte was delivered or
 * since it got its slot, whichever is later. Returns false when the request
 * began before this agent tracked the flow.
 */
static bool service_time(const flow_t *f, uint64_t now, uint64_t *took_ms)
{
	uint64_t from = f->request_ms;

	if (!f->in_slot && list_empty(&f->slot_wait))
		return false;
	if (f->in_slot && f->slot_ms > from)
		from = f->slot_ms;
	*took_ms = now - from;
	return true;
}

static void slot_end(agent_t *a, uint64_t now, flow_t *f)
{
	list_remove(&f->slot_wait);
	if (!f->in_slot)
		return;
	f->in_slot = false;
	a->in_slots--;
	if (!list_empty(&a->slot_queue)) {
		flow_t *next =
			list_entry(a->slot_queue.next, flow_t, slot_wait);

		list_remove(&next->slot_wait);
		slot_begin(a, now, next);
	}
}

void flow_request_end(agent_t *a, uint64_t now, flow_t *f, bool answered)
{
	uint64_t took_ms;

	if (!f->request_open)
		return;
	f->request_open = false;
	if (answered) {
		counter_add(&a->counters, COUNTER_REQUESTS_ANSWERED, 1);
		if (service_time(f, now, &took_ms))
			capacity_add_sample(&a->capacity, now, f->class_index,
					    took_ms);
	}
	a->in_flight--;
	slot_end(a, now, f);
}

static void track_caller_packet(agent_t *a, uint64_t now, flow_t *f,
				const packet_t *p)
{
	uint32_t next = p->seq + (uint32_t)p->payload_len;

	if (p->key.proto == PROTO_UDP) {
		f->delivered = true;
		if (!f->request_open)
			request_begin(a, now, f);
		return;
	}
	if (p->flags & TCP_ACK)
		f->caller_ack = p->ack;
	if (p->flags & TCP_FIN) {
		f->caller_fin = true;
		next++;
	}
	if (f->state == FLOW_HALF_OPEN && p->flags & TCP_ACK)
		flow_set_state(a, f, now, FLOW_ESTABLISHED);
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
		flow_set_state(a, f, now, FLOW_CLOSING);
	else if (f->caller_fin && f->server_fin && f->state != FLOW_CLOSING)
		flow_set_state(a, f, now, FLOW_CLOSING);
}

void flow_deliver(agent_t *a, uint64_t now, flow_t *f, const packet_t *p)
{
	flow_table_touch(a->flows, f, now);
	f->caller_last_ms = now;
	f->keepalives = 0;
	if (!packet_is_open(p))
		track_caller_packet(a, now, f, p);
	else if (p->payload_len)
		f->delivered = true;
	counter_add(&a->counters, COUNTER_PACKETS_OUT, 1);
	if (p->key.proto == PROTO_TCP && (packet_is_open(p) || p->payload_len))
		server_expect_answer(a, now);
	a->ops.deliver(a->ctx, p->data, p->len);
}

refusal_t flow_refusal(const flow_t *f)
{
	return f->delivered ? REFUSAL_OUTCOME_UNKNOWN : REFUSAL_NOT_RUN;
}

/*
 * The sequence number is the one that the caller expects if it has received
 * all that the server sent. If not, the caller answers with a challenge ACK
 * (RFC 5961), and the reset sent in answer to it has the expected number.
 */
void flow_reset_caller(agent_t *a, uint64_t now, flow_t *f)
{
	packet_t reset = { .key = flow_key_reverse(&f->key),
			   .seq = f->server_next,
			   .ack = f->caller_next,
			   .flags = TCP_RST | TCP_ACK };
	char text[REFUSAL_TEXT_MAX];
	uint8_t buf[PACKET_MAX];
	size_t len;

	f->caller_reset = true;
	f->resets_sent++;
	refusal_format(flow_refusal(f), RETRY_AFTER_S, text);
	flow_set_state(a, f, now, FLOW_CLOSING);
	if (f->key.proto != PROTO_TCP ||
	    mechanism_disabled(a->options.off, MECHANISM_REFUSAL))
		return;
	reset.payload = (const uint8_t *)text;
	reset.payload_len = strlen(text);
	len = packet_build(&reset, buf);
	counter_add(&a->counters, COUNTER_FLOWS_RESET, 1);
	a->ops.reply(a->ctx, buf, len);
}

void flow_reset_server(agent_t *a, flow_t *f)
{
	uint8_t buf[PACKET_MAX];
	packet_t reset = { .key = f->key,
			   .seq = f->caller_next,
			   .flags = TCP_RST };

	if (f->key.proto != PROTO_TCP)
		return;
	a->ops.deliver(a->ctx, buf, packet_build(&reset, buf));
}

/*
 * Sends an empty segment before the receive window: a server that has the
 * connection answers by an ACK, one that does not by a reset (RFC 793). The
 * segment acknowledges no more data than the caller did.
 */
void flow_probe(agent_t *a, flow_t *f)
{
	uint8_t buf[PACKET_MAX];
	packet_t p = { .key = f->key,
		       .seq = f->caller_next - PROBE_SEQ_OFFSET,
		       .ack = f->caller_ack,
		       .flags = TCP_ACK,
		       .window = UINT16_MAX };

	f->probe_pending = true;
	a->ops.deliver(a->ctx, buf, packet_build(&p, buf));
}

/*
 * Sends the caller a keepalive from the server's address. The caller's answer
 * is delivered to the server.
 */
static void send_keepalive(agent_t *a, flow_t *f)
{
	uint8_t buf[PACKET_MAX];
	packet_t p = { .key = flow_key_reverse(&f->key),
		       .seq = f->server_next - 1,
		       .ack = f->caller_next,
		       .flags = TCP_ACK,
		       .window = UINT16_MAX };

	f->keepalives++;
	counter_add(&a->counters, COUNTER_KEEPALIVES, 1);
	a->ops.reply(a->ctx, buf, packet_build(&p, buf));
}

static uint64_t transient_lifetime_ms(const flow_t *f)
{
	switch (f->state) {
	case FLOW_OPENING:
	case FLOW_HALF_OPEN:
		return HALF_OPEN_MS;
	case FLOW_DENIED:
		return f->silent ? VERIFY_AGAIN_MS : CLOSING_MS;
	default:
		return f->caller_reset ? RESET_LINGER_MS : CLOSING_MS;
	}
}

static void transient_tick(agent_t *a, uint64_t now, flow_t *f)
{
	if (f->state == FLOW_VERIFYING) {
		verify_tick(a, now, f);
		return;
	}
	/* Repeat the reset, it may have been lost. */
	if (f->caller_reset && f->resets_sent < RESET_SENDS &&
	    f->state_ms + (RESET_RETRY_MS << (f->resets_sent - 1)) <= now) {
		flow_reset_caller(a, now, f);
		return;
	}
	if (f->state_ms + transient_lifetime_ms(f) > now)
		return;
	if (f->state == FLOW_OPENING || f->state == FLOW_HALF_OPEN) {
		counter_add(&a->counters, COUNTER_FLOWS_EXPIRED, 1);
		flow_reset_server(a, f);
	}
	flow_remove(a, f);
}

static void idle_tick(agent_t *a, uint64_t now, flow_t *f)
{
	if (f->key.proto == PROTO_TCP && f->state == FLOW_ESTABLISHED &&
	    f->keepalives < KEEPALIVES_MAX) {
		send_keepalive(a, f);
		flow_table_touch(a->flows, f, now);
		return;
	}
	counter_add(&a->counters, COUNTER_FLOWS_EXPIRED, 1);
	if (f->state == FLOW_ESTABLISHED)
		flow_reset_server(a, f);
	flow_remove(a, f);
}

void flows_tick(agent_t *a, uint64_t now)
{
	static const struct {
		uint8_t proto;
		uint64_t idle_ms;
	} kinds[] = { { PROTO_TCP, TCP_IDLE_MS }, { PROTO_UDP, UDP_IDLE_MS } };

	list_each_safe(node, after, flow_table_transient(a->flows))
		transient_tick(a, now, list_entry(node, flow_t, transient));
	for (size_t i = 0; i < sizeof(kinds) / sizeof(*kinds); i++) {
		list_t *flows = flow_table_recent(a->flows, kinds[i].proto);

		while (!list_empty(flows)) {
			flow_t *f = list_entry(flows->next, flow_t, recent);

			if (f->last_ms + kinds[i].idle_ms > now)
				break;
			idle_tick(a, now, f);
		}
	}
}
