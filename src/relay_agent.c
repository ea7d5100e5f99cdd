#include "relay_agent_int.h"
#include <stdlib.h>
#include <string.h>

/* Idle flows are removed after this time. The platform discards them after a
 * minute. */
#define FLOW_IDLE_MS 70000
/* A request without a packet in either direction for this time no longer
 * counts as load: callers retransmit unacknowledged data at least every
 * 1.6 s. */
#define REQUEST_IDLE_MS 2000
/* A flow without packets for this time is not active: no request is expected
 * on it soon. */
#define ACTIVE_MS 3000
/* An agent that did not run for this time has not seen whether its server was
 * silent meanwhile. */
#define PAUSE_MS 200
/* Ended flows, and flows that were never accepted or verified, are kept this
 * long for late packets. */
#define ENDED_KEEP_MS	  5000
#define SWEEP_INTERVAL_MS 500
/* The flows of a lost server that wait for an answer are reset over this many
 * ticks, and at least RESET_TICK_MIN_FLOWS a tick. These 160 flows a second are
 * what ten half-loaded slots of other servers with a service time of 30 ms can
 * take in addition. */
#define RESET_TICKS	     8
#define RESET_TICK_MIN_FLOWS 4
/* Longest time for which an agent that stops waits for the probe of its server
 * before it tells the balancers. */
#define STOP_PROBE_MS 50

static void server_flow_release(flow_node_t *node);
static void packet_returned(relay_agent_t *a, relay_packet_t *p);
static void reset_flow(relay_agent_t *a, server_flow_t *f, const char *why);
static void on_query(relay_agent_t *a, uint32_t from, const relay_msg_t *msg);
static void on_hello(relay_agent_t *a, uint32_t from, const relay_msg_t *msg);
static void note_server_packet(relay_agent_t *a, server_flow_t *f,
			       const relay_packet_t *p);

static void server_flow_release(flow_node_t *node)
{
	server_flow_t *f = (server_flow_t *)node;

	list_remove(&f->opening);
	list_remove(&f->awaiting_request);
	open_wait_cancel(&f->wait);
	free(f);
}

relay_agent_t *relay_agent_new(const relay_agent_options_t *options,
			       const relay_agent_ops_t *ops, void *ctx)
{
	relay_agent_t *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	a->options = *options;
	a->ops = *ops;
	a->ctx = ctx;
	a->tag = service_tag(options->service);
	list_init(&a->opening);
	list_init(&a->awaiting_request);
	list_init(&a->verifying);
	open_queue_init(&a->queue);
	warmup_limit_init(&a->warmup, options->now, options->knows_all_flows);
	server_pace_begin(&a->pace, a->now);
	a->balancers = g_array_new(FALSE, FALSE, sizeof(known_balancer_t));
	a->flows = flow_index_new(options->max_flows, server_flow_release);
	if (!a->flows) {
		g_array_free(a->balancers, TRUE);
		free(a);
		return NULL;
	}
	return a;
}

void relay_agent_free(relay_agent_t *a)
{
	if (!a)
		return;
	flow_index_free(a->flows);
	g_array_free(a->balancers, TRUE);
	free(a);
}

size_t relay_agent_flow_count(const relay_agent_t *a)
{
	return flow_index_count(a->flows);
}

bool relay_agent_evacuated(const relay_agent_t *a)
{
	return a->evacuated;
}

uint32_t relay_agent_in_flight(const relay_agent_t *a)
{
	return a->in_flight;
}

uint32_t relay_agent_requests_allowed(const relay_agent_t *a)
{
	return server_pace_allowed(&a->pace, a->now, a->slots);
}

counters_t *relay_agent_counters(relay_agent_t *a)
{
	return &a->counters;
}

const histogram_t *relay_agent_service_ms(const relay_agent_t *a)
{
	return &a->service_ms;
}

const histogram_t *relay_agent_queue_ms(const relay_agent_t *a)
{
	return &a->queue_ms;
}

const open_queue_t *relay_agent_queue(const relay_agent_t *a)
{
	return &a->queue;
}

server_flow_t *server_flow_find_or_add(relay_agent_t *a, const flow_key_t *key)
{
	server_flow_t *f = (server_flow_t *)flow_index_find(a->flows, key);

	if (f) {
		flow_index_touch(a->flows, &f->node, a->now);
		return f;
	}
	f = calloc(1, sizeof(*f));
	if (!f)
		return NULL;
	f->node.key = *key;
	list_init(&f->opening);
	list_init(&f->awaiting_request);
	flow_index_add(a->flows, &f->node, a->now);
	return f;
}

/* The number of active flows is part of the load: they bring requests. */
static void set_active(relay_agent_t *a, server_flow_t *f, bool active)
{
	if (f->active == active)
		return;
	f->active = active;
	if (active)
		a->active_flows++;
	else
		a->active_flows--;
}

void server_flow_await_request(relay_agent_t *a, server_flow_t *f,
			       bool awaiting_request)
{
	if (!list_empty(&f->awaiting_request)) {
		list_remove(&f->awaiting_request);
		a->nawaiting_request--;
	}
	if (awaiting_request) {
		list_append(&a->awaiting_request, &f->awaiting_request);
		a->nawaiting_request++;
	}
}

void server_flow_end_load(relay_agent_t *a, server_flow_t *f)
{
	server_flow_await_request(a, f, false);
	relay_load_request_ended(a, f, false);
	set_active(a, f, false);
}

void server_flow_remove(relay_agent_t *a, server_flow_t *f)
{
	server_flow_end_load(a, f);
	flow_index_remove(a->flows, &f->node);
}

void server_flow_set_phase(relay_agent_t *a, server_flow_t *f,
			   server_flow_phase_t phase)
{
	if (f->phase == SERVER_FLOW_QUEUED)
		open_wait_cancel(&f->wait);
	f->phase = phase;
	set_active(a, f, phase == SERVER_FLOW_OPEN);
	list_remove(&f->opening);
	if (phase == SERVER_FLOW_OPENING)
		list_append(&a->opening, &f->opening);
}

void server_flow_verify(relay_agent_t *a, server_flow_t *f)
{
	if (f->phase != SERVER_FLOW_VERIFYING)
		server_flow_set_phase(a, f, SERVER_FLOW_VERIFYING);
}

/* The annotation holds the balancer's address: when the server returns the
 * packet of an unknown flow, the agent sends it back there. */
void server_flow_deliver(relay_agent_t *a, server_flow_t *f, relay_packet_t *p)
{
	a->options.format->annotate(p, 0, f->balancer);
	if (!a->unanswered_since_ms && relay_packet_wants_answer(p))
		a->unanswered_since_ms = a->now;
	counter_add(&a->counters, COUNTER_PACKETS_OUT, 1);
	a->ops.deliver(a->ctx, p->data, p->len);
}

void relay_agent_answer(relay_agent_t *a, uint32_t to, relay_msg_t *msg,
			const flow_key_t *key)
{
	relay_load_t load;

	if (!to)
		return; /* a flow from before the start of the agent */
	relay_load_fill(a, &load);
	relay_msg_set_key(msg, key);
	msg->service = (char *)a->options.service;
	msg->load = &load;
	counter_add(&a->counters, COUNTER_CONTROL_MESSAGES_OUT, 1);
	a->ops.send_message(a->ctx, to, msg);
}

void relay_agent_send(relay_agent_t *a, uint32_t to, relay_kind_t kind,
		      const flow_key_t *key)
{
	relay_msg_t msg;

	relay_msg_init(&msg, kind);
	relay_agent_answer(a, to, &msg, key);
}

void relay_agent_give_back(relay_agent_t *a, uint32_t balancer,
			   const relay_packet_t *p)
{
	relay_load_t load;
	relay_msg_t msg;

	if (p->flags & RELAY_RST)
		return;
	relay_load_fill(a, &load);
	relay_msg_init(&msg, RELAY_GIVEN_BACK);
	msg.service = (char *)a->options.service;
	msg.load = &load;
	msg.packet.data = p->data;
	msg.packet.len = p->len;
	counter_add(&a->counters, COUNTER_LOOKUPS_PASSED, 1);
	a->ops.send_message(a->ctx, balancer, &msg);
}

/* Ends a flow that both ends have closed. */
static void end_if_closed(relay_agent_t *a, server_flow_t *f)
{
	if (f->caller_fin && f->server_fin)
		server_flow_set_phase(a, f, SERVER_FLOW_ENDED);
}

/* Half-closed flows are kept: the server still answers a caller that goes on
 * sending. */
static void note_flow_end(relay_agent_t *a, server_flow_t *f,
			  const relay_packet_t *p)
{
	if (!(p->flags & (RELAY_FIN | RELAY_RST)))
		return;
	relay_load_request_ended(a, f, false);
	set_active(a, f, false);
	if (p->flags & RELAY_RST)
		server_flow_set_phase(a, f, SERVER_FLOW_ENDED);
	end_if_closed(a, f);
}

/* Notes requests, acknowledgements and the FIN of the caller. */
static void note_caller_packet(relay_agent_t *a, server_flow_t *f,
			       const relay_packet_t *p)
{
	uint32_t end = p->seq + p->payload_len;

	if (p->flags & RELAY_ACK)
		f->caller_ack = relay_highest_ack(f->caller_ack, p->ack);
	f->caller_acked |= (p->flags & RELAY_ACK) && f->server_isn_known &&
			   f->phase != SERVER_FLOW_VERIFYING;
	if (p->payload_len &&
	    (!f->caller_next_known || seq_diff(end, f->caller_next) > 0)) {
		f->caller_next = end;
		f->caller_next_known = true;
		server_flow_await_request(a, f, false);
		if (f->phase == SERVER_FLOW_VERIFYING &&
		    relay_mechanism_on(RELAY_RETURNED_LOAD))
			relay_load_request_unverified(a, f);
		else if (!f->request_pending)
			relay_load_request_started(a, f);
	}
	if (p->flags & RELAY_FIN)
		f->caller_fin = true;
	note_flow_end(a, f, p);
}

void server_flow_caller_packet(relay_agent_t *a, server_flow_t *f,
			       uint32_t balancer, relay_packet_t *p)
{
	flow_index_touch(a->flows, &f->node, a->now);
	set_active(a, f, f->phase == SERVER_FLOW_OPEN && !f->server_fin);
	f->balancer = balancer;
	note_caller_packet(a, f, p);
	server_flow_deliver(a, f, p);
}

void relay_agent_handle_packet(relay_agent_t *a, uint64_t now, uint32_t from,
			       uint8_t *buf, size_t len)
{
	relay_packet_t p;
	flow_holding_t holding;
	server_flow_t *f;

	a->now = now;
	counter_add(&a->counters, COUNTER_PACKETS_IN, 1);
	if (a->options.format->read(buf, len, &p) < 0) {
		counter_add(&a->counters, COUNTER_DROP_TRUNCATED, 1);
		return;
	}
	if (p.annotation != a->tag && relay_mechanism_on(RELAY_SERVICE_TAG)) {
		/* A target of another service had the agent's address
		 * before. */
		counter_add(&a->counters, COUNTER_DROP_WRONG_SERVICE, 1);
		relay_agent_give_back(a, from, &p);
		return;
	}
	f = (server_flow_t *)flow_index_find(a->flows, &p.key);
	if (relay_packet_opens(&p)) {
		/* Opens arrive as offers; this is a late copy of one. */
		if (f && f->phase != SERVER_FLOW_QUEUED &&
		    f->phase != SERVER_FLOW_ENDED)
			server_flow_caller_packet(a, f, from, &p);
		return;
	}
	holding = relay_agent_holding(a, f, &p);
	if (holding == FLOW_NOT_HELD && (f || !(p.mark & RELAY_MARK_VERIFY))) {
		relay_agent_give_back(a, from, &p);
		return;
	}
	if (!f)
		f = server_flow_find_or_add(a, &p.key);
	if (!f)
		return;
	if (holding != FLOW_HELD)
		server_flow_verify(a, f);
	server_flow_caller_packet(a, f, from, &p);
}

/* True when the caller uses the server's flow: it may have been accepted by
 * another server, too. */
static bool caller_uses(const server_flow_t *f)
{
	return f->confirmed || f->caller_acked;
}

/* Resets the caller's side of a flow that the server has lost, as after a
 * restart of the server. */
static void reset_flow(relay_agent_t *a, server_flow_t *f, const char *why)
{
	uint8_t buf[RELAY_PACKET_MAX];
	char text[FLOW_TEXT_SIZE];
	size_t len = a->options.format->build_reset(&f->node.key, f->caller_ack,
						    buf);

	event_log(EVENT_RESET,
		  "\"flow\":\"%s\",\"seq\":%u,\"why\":\"%s\",\"busy\":%s",
		  flow_key_format(&f->node.key, text), f->caller_isn, why,
		  f->request_pending ? "true" : "false");
	counter_add(&a->counters, COUNTER_FLOWS_RESET, 1);
	a->ops.send_reply(a->ctx, f->node.key.src, buf, len);
	server_flow_remove(a, f);
}

/* Handles a caller's packet that the server returned. */
static void packet_returned(relay_agent_t *a, relay_packet_t *p)
{
	server_flow_t *f = (server_flow_t *)flow_index_find(a->flows, &p->key);
	uint32_t balancer = f ? f->balancer : p->annotation;

	if (relay_packet_opens(p)) {
		if (f && f->phase == SERVER_FLOW_OPENING)
			relay_agent_forward_open(a, f, true);
		return;
	}
	if (f && f->confirmed && f->phase == SERVER_FLOW_OPEN) {
		relay_server_restarted(a);
		reset_flow(a, f, "server does not hold the flow");
		return;
	}
	if (f && f->phase == SERVER_FLOW_ENDED)
		return;
	a->options.format->annotate(p, 0, 0);
	relay_agent_packet_returned(a, f, balancer, p);
}

/* True for a FIN that has overtaken the answer: it comes after bytes that the
 * server has not been seen to send. */
static bool answer_precedes(const server_flow_t *f, const relay_packet_t *p)
{
	return (p->flags & RELAY_FIN) && f->server_isn_known &&
	       seq_diff(p->seq, f->server_next) > 0;
}

/* Notes acceptance, answers and the FIN of the server. */
static void note_server_packet(relay_agent_t *a, server_flow_t *f,
			       const relay_packet_t *p)
{
	bool overtaken = answer_precedes(f, p);
	bool more = server_flow_note_sent(a, f, p);

	if ((p->flags & (RELAY_SYN | RELAY_ACK)) == (RELAY_SYN | RELAY_ACK)) {
		if (f->phase == SERVER_FLOW_OPENING) {
			counter_add(&a->counters, COUNTER_OPENS_ACCEPTED, 1);
			server_flow_set_phase(a, f, SERVER_FLOW_OPEN);
			relay_agent_send_holder(a, f->balancer, RELAY_TAKEN, f);
		}
		if (f->phase == SERVER_FLOW_VERIFYING ||
		    f->phase == SERVER_FLOW_RETURNED) {
			relay_load_request_kept(a, f);
			server_flow_set_phase(a, f, SERVER_FLOW_OPEN);
			end_if_closed(a, f);
		}
		return;
	}
	f->confirmed = true;
	f->chain = 0;
	if (f->phase == SERVER_FLOW_VERIFYING ||
	    f->phase == SERVER_FLOW_RETURNED) {
		counter_add(&a->counters, COUNTER_FLOWS_ADOPTED, 1);
		relay_load_request_kept(a, f);
		server_pace_warm(&a->pace);
		server_flow_set_phase(a, f, SERVER_FLOW_OPEN);
		relay_agent_send_held(a, f->balancer, f);
		end_if_closed(a, f);
	}
	if ((p->payload_len && more) || overtaken)
		relay_load_request_ended(a, f, true);
	/* A reset of a flow that either end has closed is not a failure. */
	if ((p->flags & RELAY_RST) && !f->caller_fin && !f->server_fin)
		relay_health_request_failed(a, f);
	if (p->flags & RELAY_FIN)
		f->server_fin = true;
	note_flow_end(a, f, p);
}

void relay_agent_handle_server_packet(relay_agent_t *a, uint64_t now,
				      uint8_t *buf, size_t len)
{
	relay_packet_t p;
	flow_key_t key;
	server_flow_t *f;

	a->now = now;
	if (a->options.format->read(buf, len, &p) < 0) {
		counter_add(&a->counters, COUNTER_DROP_TRUNCATED, 1);
		return;
	}
	relay_server_heard(a);
	if (p.flags & RELAY_RETURNED) {
		packet_returned(a, &p);
		return;
	}
	key = flow_key_reverse(&p.key);
	f = server_flow_find_or_add(a, &key);
	if (f)
		note_server_packet(a, f, &p);
	relay_agent_serve_queue(a);
	a->ops.send_reply(a->ctx, p.key.dst, buf, len);
}

static void on_query(relay_agent_t *a, uint32_t from, const relay_msg_t *msg)
{
	flow_key_t key = relay_msg_key(msg);
	server_flow_t *f = (server_flow_t *)flow_index_find(a->flows, &key);
	relay_packet_t p = { .flags = RELAY_ACK, .ack = msg->ack };
	flow_holding_t holding = relay_agent_holding(a, f, &p);

	if (holding == FLOW_HELD) {
		f->balancer = from;
		relay_agent_send_held(a, from, f);
		return;
	}
	if (holding == FLOW_UNSURE)
		relay_agent_send_unsure(a, from, &key, f);
	else
		relay_agent_send(a, from, RELAY_NOT_HELD, &key);
}

static void on_hello(relay_agent_t *a, uint32_t from, const relay_msg_t *msg)
{
	relay_load_t load;
	relay_msg_t answer;
	uint32_t *flows;

	if (msg->asks_balancers) {
		relay_load_tell_balancers(a, from);
		return;
	}
	relay_load_add_balancer(a, from);
	relay_agent_evacuation(a, from, msg->evacuation);
	relay_agent_note_limits(a, msg);
	if (strcmp(msg->service, a->options.service) != 0) {
		counter_add(&a->counters, COUNTER_DROP_WRONG_SERVICE, 1);
		return;
	}
	if (msg->slots)
		a->slots = msg->slots;
	relay_load_fill(a, &load);
	relay_msg_init(&answer, RELAY_LOAD);
	answer.service = (char *)a->options.service;
	answer.load = &load;
	flows = relay_agent_list_flows(a, &answer);
	counter_add(&a->counters, COUNTER_CONTROL_MESSAGES_OUT, 1);
	a->ops.send_message(a->ctx, from, &answer);
	g_free(flows);
}

void relay_agent_handle_message(relay_agent_t *a, uint64_t now, uint32_t from,
				const relay_msg_t *msg)
{
	relay_agent_handle_waited(a, now, 0, from, msg);
}

void relay_agent_handle_waited(relay_agent_t *a, uint64_t now, uint32_t wait_ms,
			       uint32_t from, const relay_msg_t *msg)
{
	a->now = now;
	if (!relay_mechanism_on(RELAY_SOCKET_WAITS))
		wait_ms = 0;
	counter_add(&a->counters, COUNTER_MESSAGES_IN, 1);
	switch (msg->kind) {
	case RELAY_HELLO:
		on_hello(a, from, msg);
		break;
	case RELAY_OFFER:
		relay_agent_offer(a, from, wait_ms, msg);
		break;
	case RELAY_LOOKUP:
		relay_agent_lookup(a, msg);
		break;
	case RELAY_QUERY:
		on_query(a, from, msg);
		break;
	default:
		counter_add(&a->counters, COUNTER_MESSAGE_UNEXPECTED, 1);
	}
}

/* Removes idle flows. Requests whose caller and server are both silent no
 * longer count as load. */
static void sweep(relay_agent_t *a)
{
	list_each_safe(node, after, flow_index_lru(a->flows))
	{
		flow_node_t *n = list_entry(node, flow_node_t, lru);
		server_flow_t *f = (server_flow_t *)n;

		if (f->node.last_used_ms + REQUEST_IDLE_MS > a->now)
			return;
		relay_load_request_ended(a, f, false);
		if (f->node.last_used_ms + ACTIVE_MS <= a->now)
			set_active(a, f, false);
		if ((f->phase != SERVER_FLOW_OPEN &&
		     f->node.last_used_ms + ENDED_KEEP_MS <= a->now) ||
		    f->node.last_used_ms + FLOW_IDLE_MS <= a->now)
			server_flow_remove(a, f);
	}
}

static void note_lost_flows(relay_agent_t *a)
{
	a->flows_lost = true;
	event_log(EVENT_SERVER,
		  "\"state\":\"flows lost\",\"opens\":%u,\"silent_ms\":%llu,"
		  "\"flows\":%zu",
		  a->unanswered_opens,
		  (unsigned long long)(a->now - a->silent_since_ms),
		  flow_index_count(a->flows));
}

/*
 * Resets the flows of a server that is lost, so that their callers can retry
 * elsewhere before their deadlines. Callers that wait for an answer retry at
 * once: a limited number of these is reset per tick, the least recently used
 * first, so that the other servers can absorb them.
 */
static void reset_lost_flows(relay_agent_t *a)
{
	unsigned budget = a->in_flight / RESET_TICKS;

	if (budget < RESET_TICK_MIN_FLOWS)
		budget = RESET_TICK_MIN_FLOWS;
	list_each_safe(node, after, flow_index_lru(a->flows))
	{
		flow_node_t *n = list_entry(node, flow_node_t, lru);
		server_flow_t *f = (server_flow_t *)n;

		if (f->phase != SERVER_FLOW_OPEN ||
		    (f->request_pending && !budget))
			continue;
		if (!caller_uses(f)) {
			server_flow_remove(a, f);
			continue;
		}
		budget -= f->request_pending;
		reset_flow(a, f, "server does not answer");
	}
}

/*
 * Sets `late` and returns true when this tick came late and the tick before it
 * did not. An agent that got no processor time has unread answers in its
 * socket; these are read before opens count as unanswered.
 */
static bool check_late_tick(relay_agent_t *a)
{
	bool late = a->last_tick_ms &&
		    a->now > a->last_tick_ms + 2 * RELAY_AGENT_TICK_MS;

	if (late && a->now > a->last_tick_ms + PAUSE_MS)
		relay_server_agent_paused(a);
	a->last_tick_ms = a->now;
	a->late = late && !a->late;
	return a->late;
}

void relay_agent_tick(relay_agent_t *a, uint64_t now)
{
	a->now = now;
	relay_load_count_kept(a);
	if (!check_late_tick(a))
		relay_agent_open_tick(a);
	relay_agent_serve_queue(a);
	relay_agent_expire_queue(a);
	if (!a->flows_lost && !a->late) {
		relay_server_probe_tick(a);
		if (relay_server_lost_flows(a))
			note_lost_flows(a);
	}
	if (a->flows_lost)
		reset_lost_flows(a);
	if (now >= a->stop_report_due_ms)
		relay_agent_report_stop(a);
	relay_load_tick(a);
	relay_agent_evacuation_tick(a);
	if (now < a->last_sweep_ms + SWEEP_INTERVAL_MS)
		return;
	a->last_sweep_ms = now;
	if (!relay_server_stalled_ms(a))
		relay_health_expire_requests(a);
	sweep(a);
}

void relay_agent_stop(relay_agent_t *a, uint64_t now)
{
	a->now = now;
	a->stopping = true;
	a->stop_report_due_ms = now + STOP_PROBE_MS;
	a->ops.probe_server(a->ctx);
	relay_agent_expire_queue(a);
}

void relay_agent_report_stop(relay_agent_t *a)
{
	if (!a->stop_report_due_ms)
		return;
	a->stop_report_due_ms = 0;
	relay_load_report(a);
}
