#include "relay_agent_int.h"
#include <string.h>

/* Packets of unknown flows don't wait for a server that has been stalled for
 * this time. */
#define SERVER_SILENT_MS 500
/* A caller acknowledges at most this many bytes beyond what the agent has seen
 * the server send. */
#define ACK_SLACK 76800

static void forward_lookup(relay_agent_t *a, const relay_msg_t *lookup,
			   const flow_key_t *key);

/* Number of the server's bytes, its SYN included, that it was seen to send. */
static uint32_t server_sent(const server_flow_t *f)
{
	return f->server_next - f->server_isn;
}

/* True when the packet acknowledges the server that the packet which the
 * agent's server returned acknowledged. */
static bool same_server(const server_flow_t *f, const relay_packet_t *p)
{
	return p->ack - f->caller_ack + ACK_SLACK <= 2 * ACK_SLACK;
}

bool server_flow_note_sent(const relay_agent_t *a, server_flow_t *f,
			   const relay_packet_t *p)
{
	bool accepts =
		(p->flags & (RELAY_SYN | RELAY_ACK)) == (RELAY_SYN | RELAY_ACK);
	bool other = accepts && f->server_isn_known && f->server_isn != p->seq;
	bool numbered = (f->server_isn_known || f->confirmed) && !other;
	uint32_t next = p->seq + p->payload_len + accepts;
	bool more = !numbered || seq_diff(next, f->server_next) > 0;

	if (accepts) {
		f->server_isn = p->seq;
		f->server_isn_known = true;
		/* Without the beginning, an earlier process of the agent may
		 * have passed on what the server sent then. */
		f->seen_whole |= a->options.knows_all_flows ||
				 (f->syn_len && f->sent_ms > a->options.now);
	}
	if (more)
		f->server_next = next;
	return more;
}

flow_holding_t relay_agent_holding(const relay_agent_t *a,
				   const server_flow_t *f,
				   const relay_packet_t *p)
{
	if (f && f->server_isn_known && (p->flags & RELAY_ACK)) {
		if (p->ack - f->server_isn <= server_sent(f) + ACK_SLACK)
			return FLOW_HELD;
		return f->seen_whole || a->flows_lost ? FLOW_NOT_HELD
						      : FLOW_UNSURE;
	}
	if (f && (f->server_isn_known || f->confirmed))
		return FLOW_HELD;
	if (f && f->phase == SERVER_FLOW_VERIFYING)
		return a->flows_lost ? FLOW_NOT_HELD : FLOW_UNSURE;
	if (f && f->phase == SERVER_FLOW_RETURNED && same_server(f, p))
		return FLOW_NOT_HELD;
	return a->options.knows_all_flows || a->flows_lost ? FLOW_NOT_HELD
							   : FLOW_UNSURE;
}

void relay_agent_send_holder(relay_agent_t *a, uint32_t to, relay_kind_t kind,
			     const server_flow_t *f)
{
	relay_msg_t msg;

	relay_msg_init(&msg, kind);
	msg.server_isn = f->server_isn_known ? f->server_isn : 0;
	relay_agent_answer(a, to, &msg, &f->node.key);
}

void relay_agent_send_held(relay_agent_t *a, uint32_t to,
			   const server_flow_t *f)
{
	static const char *const phases[] = {
		"opening", "queued", "open", "verifying", "ended", "returned"
	};
	char text[FLOW_TEXT_SIZE], balancer[ENDPOINT_TEXT_SIZE];

	event_log(EVENT_HELD,
		  "\"flow\":\"%s\",\"to\":\"%s\",\"phase\":\"%s\","
		  "\"accepted\":%s,\"confirmed\":%s",
		  flow_key_format(&f->node.key, text),
		  ipv4_format(to, balancer), phases[f->phase],
		  f->server_isn_known ? "true" : "false",
		  f->confirmed ? "true" : "false");
	relay_agent_send_holder(a, to, RELAY_HELD, f);
}

/* True when a running server, which returns packets of flows that it does not
 * hold at once, has not returned the flow's last packet. */
static bool server_kept_packet(const relay_agent_t *a, const server_flow_t *f)
{
	return a->now >= f->node.last_used_ms + RELAY_RETURN_MS &&
	       a->last_heard_ms > f->node.last_used_ms && !a->down &&
	       !relay_server_stalled_ms(a);
}

void relay_agent_send_unsure(relay_agent_t *a, uint32_t to,
			     const flow_key_t *key, const server_flow_t *f)
{
	relay_msg_t msg;

	relay_msg_init(&msg, RELAY_UNSURE);
	msg.kept = f && f->phase == SERVER_FLOW_VERIFYING &&
		   server_kept_packet(a, f);
	relay_agent_answer(a, to, &msg, key);
}

/*
 * Sends the look-up to the next agent of its chain. The last agent reports to
 * the balancer that no server of the chain holds the flow, apart from those
 * whose agents are unsure.
 */
static void forward_lookup(relay_agent_t *a, const relay_msg_t *lookup,
			   const flow_key_t *key)
{
	relay_msg_t msg;

	if (lookup->n_candidates == 0) {
		relay_msg_init(&msg, RELAY_NOT_HELD);
		relay_msg_set_key(&msg, key);
		msg.chain = lookup->chain;
		msg.unsure = lookup->unsure;
		msg.n_unsure = lookup->n_unsure;
		a->ops.send_message(a->ctx, lookup->balancer, &msg);
		return;
	}
	relay_msg_init(&msg, RELAY_LOOKUP);
	msg.service = lookup->service;
	msg.balancer = lookup->balancer;
	msg.packet = lookup->packet;
	msg.candidates = lookup->candidates + 1;
	msg.n_candidates = lookup->n_candidates - 1;
	msg.chain = lookup->chain;
	msg.unsure = lookup->unsure;
	msg.n_unsure = lookup->n_unsure;
	msg.known_only = lookup->known_only;
	counter_add(&a->counters, COUNTER_LOOKUPS_PASSED, 1);
	a->ops.send_message(a->ctx, lookup->candidates[0], &msg);
}

/* Passes a look-up on whose packet the server does not try. The answer of the
 * chain names the agent: a message of its own may be lost, or come later. */
static void pass_unsure(relay_agent_t *a, const relay_msg_t *lookup,
			const flow_key_t *key)
{
	uint32_t unsure[CANDIDATES_MAX];
	relay_msg_t msg = *lookup;

	if (lookup->n_unsure)
		memcpy(unsure, lookup->unsure,
		       lookup->n_unsure * sizeof(unsure[0]));
	unsure[lookup->n_unsure] = a->options.self;
	msg.unsure = unsure;
	msg.n_unsure = lookup->n_unsure + 1;
	forward_lookup(a, &msg, key);
}

/* Delivers the packet: the server returns it unless it holds the flow. */
static void verify_packet(relay_agent_t *a, const relay_msg_t *msg,
			  relay_packet_t *p)
{
	server_flow_t *f = server_flow_find_or_add(a, &p->key);

	if (!f)
		return;
	server_flow_verify(a, f);
	f->chain = msg->chain;
	f->ncandidates = msg->n_candidates;
	f->nunsure = msg->n_unsure;
	if (msg->n_candidates)
		memcpy(f->candidates, msg->candidates,
		       msg->n_candidates * sizeof(f->candidates[0]));
	if (msg->n_unsure)
		memcpy(f->candidates + f->ncandidates, msg->unsure,
		       msg->n_unsure * sizeof(f->candidates[0]));
	counter_add(&a->counters, COUNTER_TRIALS, 1);
	server_flow_caller_packet(a, f, msg->balancer, p);
}

/* True for a packet to be passed on to the agent that holds its flow. */
static bool is_detour(const relay_msg_t *lookup)
{
	return !lookup->chain && lookup->n_candidates;
}

static bool server_silent(const relay_agent_t *a)
{
	return a->down || relay_server_stalled_ms(a) >= SERVER_SILENT_MS;
}

void relay_agent_lookup(relay_agent_t *a, const relay_msg_t *msg)
{
	relay_packet_t p;
	flow_holding_t holding;
	server_flow_t *f;

	if (a->options.format->read(msg->packet.data, msg->packet.len, &p) <
		    0 ||
	    msg->n_candidates + msg->n_unsure >= CANDIDATES_MAX) {
		counter_add(&a->counters, COUNTER_DROP_TRUNCATED, 1);
		return;
	}
	f = (server_flow_t *)flow_index_find(a->flows, &p.key);
	holding = relay_agent_holding(a, f, &p);
	if (holding == FLOW_HELD) {
		relay_agent_send_held(a, msg->balancer, f);
		server_flow_caller_packet(a, f, msg->balancer, &p);
		return;
	}
	if (holding == FLOW_NOT_HELD || is_detour(msg) ||
	    strcmp(msg->service, a->options.service) != 0) {
		forward_lookup(a, msg, &p.key);
		return;
	}
	if (msg->known_only) {
		pass_unsure(a, msg, &p.key);
		return;
	}
	if (msg->n_candidates && server_silent(a)) {
		/* Others need not wait for a server that may be dead. */
		relay_agent_send_unsure(a, msg->balancer, &p.key, f);
		pass_unsure(a, msg, &p.key);
		return;
	}
	verify_packet(a, msg, &p);
}

/* Forwards the look-up of a packet that the server returned. */
static void forward_returned(relay_agent_t *a, const server_flow_t *f,
			     const relay_packet_t *p)
{
	relay_msg_t msg;

	relay_msg_init(&msg, RELAY_LOOKUP);
	msg.service = (char *)a->options.service;
	msg.balancer = f->balancer;
	msg.packet.data = p->data;
	msg.packet.len = p->len;
	msg.candidates = (uint32_t *)f->candidates;
	msg.n_candidates = f->ncandidates;
	msg.unsure = (uint32_t *)f->candidates + f->ncandidates;
	msg.n_unsure = f->nunsure;
	msg.chain = f->chain;
	forward_lookup(a, &msg, &p->key);
}

/* True when it is to be remembered that the server does not hold the flow.
 * Flows that it holds must not be dropped from the index for that. */
static bool keep_returned(const relay_agent_t *a, const server_flow_t *f)
{
	return f->phase == SERVER_FLOW_VERIFYING && !f->server_isn_known &&
	       flow_index_count(a->flows) < a->options.max_flows / 2;
}

void relay_agent_packet_returned(relay_agent_t *a, server_flow_t *f,
				 uint32_t balancer, const relay_packet_t *p)
{
	if (f && f->chain)
		forward_returned(a, f, p);
	else
		relay_agent_give_back(a, balancer, p);
	if (!f)
		return;
	if (!keep_returned(a, f)) {
		server_flow_remove(a, f);
		return;
	}
	f->chain = 0;
	f->ncandidates = 0;
	f->nunsure = 0;
	f->caller_ack = p->ack;
	server_flow_end_load(a, f);
	server_flow_set_phase(a, f, SERVER_FLOW_RETURNED);
}
