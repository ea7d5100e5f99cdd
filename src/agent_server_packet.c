#include "agent_int.h"

static void track_server_packet(agent_t *a, uint64_t now, flow_t *f,
				const packet_t *p);
static flow_t *adopt(agent_t *a, uint64_t now, const packet_t *p,
		     const flow_key_t *key, uint64_t hash);
static void handle_server_reset(agent_t *a, uint64_t now, flow_t *f);
static bool is_probe_answer(flow_t *f, const packet_t *p);
static bool expire_lost_caller(agent_t *a, uint64_t now, flow_t *f);

/* True for a SYN-ACK of the flow's connection, which may have gone on since. Of
 * an adopted flow the initial sequence number is not known. */
static bool is_repeated_syn_ack(const flow_t *f, const packet_t *p)
{
	return f->state != FLOW_OPENING &&
	       (f->server_isn == p->seq ||
		(!f->server_isn && f->server_next - p->seq - 1 < SEQ_WINDOW));
}

static void track_server_packet(agent_t *a, uint64_t now, flow_t *f,
				const packet_t *p)
{
	uint32_t next = p->seq + (uint32_t)p->payload_len;

	if (p->payload_len)
		flow_request_end(a, now, f, true);
	if (p->key.proto != PROTO_TCP)
		return;
	if ((p->flags & (TCP_SYN | TCP_ACK)) == (TCP_SYN | TCP_ACK)) {
		if (!is_repeated_syn_ack(f, p))
			f->server_next = p->seq + 1;
		f->server_isn = p->seq;
		if (f->state == FLOW_OPENING)
			flow_set_state(a, f, now, FLOW_HALF_OPEN);
		return;
	}
	if (p->flags & TCP_FIN) {
		f->server_fin = true;
		next++;
	}
	if (seq_diff(next, f->server_next) > 0)
		f->server_next = next;
	if (p->flags & TCP_RST)
		flow_set_state(a, f, now, FLOW_CLOSING);
	else if (f->caller_fin && f->server_fin && f->state != FLOW_CLOSING)
		flow_set_state(a, f, now, FLOW_CLOSING);
}

/* Adds an unknown flow of which the backend server sent a packet. */
static flow_t *adopt(agent_t *a, uint64_t now, const packet_t *p,
		     const flow_key_t *key, uint64_t hash)
{
	flow_t *f;

	bool half = p->key.proto == PROTO_TCP && p->flags & TCP_SYN;

	if (p->key.proto == PROTO_TCP &&
	    (p->flags & TCP_RST || !(p->flags & TCP_ACK)))
		return NULL;
	f = flow_table_add(a->flows, key, hash, now);
	if (!f)
		return NULL;
	f->caller_next = p->ack;
	f->server_next = p->seq;
	/* The caller's last ACK is unknown; an old one covers no data. */
	f->caller_ack = p->seq - SEQ_WINDOW / 2;
	f->caller_isn = p->ack - 1;
	f->delivered = !half;
	flow_classify(a, f);
	/* A SYN-ACK continues a handshake whose SYN was not seen. */
	flow_set_state(a, f, now, half ? FLOW_OPENING : FLOW_ESTABLISHED);
	flow_add_work(a, f);
	counter_add(&a->counters, COUNTER_FLOWS_ADOPTED, 1);
	return f;
}

/*
 * Handles a reset without payload: the backend server refused the open, closed
 * the flow, or was restarted and does not know the flow.
 */
static void handle_server_reset(agent_t *a, uint64_t now, flow_t *f)
{
	if (f->state == FLOW_OPENING) {
		offer_buffered_syn(a, now, f);
		return;
	}
	if (f->probe_pending)
		a->restart_suspected = true;
	flow_reset_caller(a, now, f);
}

/* True for the answer to flow_probe(): it is not sent on to the caller. */
static bool is_probe_answer(flow_t *f, const packet_t *p)
{
	if (!f->probe_pending || p->key.proto != PROTO_TCP || p->payload_len ||
	    p->flags != TCP_ACK)
		return false;
	f->probe_pending = false;
	return p->seq == f->server_next && p->ack == f->caller_next;
}

/* Closes a flow whose caller was silent for CALLER_LOST_MS. */
static bool expire_lost_caller(agent_t *a, uint64_t now, flow_t *f)
{
	if (f->state != FLOW_ESTABLISHED || f->key.proto != PROTO_TCP ||
	    f->caller_last_ms + CALLER_LOST_MS > now)
		return false;
	counter_add(&a->counters, COUNTER_FLOWS_EXPIRED, 1);
	flow_reset_server(a, f);
	flow_set_state(a, f, now, FLOW_CLOSING);
	return true;
}

void agent_server_packet(agent_t *a, uint64_t now, const uint8_t *packet,
			 size_t len)
{
	packet_t p;
	flow_key_t key;
	uint64_t hash;
	flow_t *f;

	if (packet_parse(packet, len, &p) != PACKET_OK) {
		counter_add(&a->counters, COUNTER_ANSWERS_UNKNOWN, 1);
		return;
	}
	if (!agent_find_service(a, now, 0, p.key.src))
		return;
	server_answered(a, now);
	key = flow_key_reverse(&p.key);
	hash = flow_key_hash(&key, a->options.rank_seed);
	f = flow_table_find(a->flows, &key, hash);
	if (f && f->state == FLOW_VERIFYING) {
		if (p.flags & TCP_RST || !verify_matches(f, &p)) {
			verify_denied(a, now, f);
			return;
		}
		verify_confirmed(a, now, f, &p);
	}
	if (f && f->state == FLOW_DENIED && !(p.flags & (TCP_RST | TCP_SYN))) {
		flow_remove(a, f);
		f = NULL;
	}
	if (!f)
		f = adopt(a, now, &p, &key, hash);
	if (f && f->state == FLOW_LOST && p.flags & TCP_SYN)
		flow_reset_server(a, f);
	if (!f || f->state == FLOW_DENIED || f->state == FLOW_LOST ||
	    f->caller_reset) {
		counter_add(&a->counters,
			    p.flags & TCP_RST ? COUNTER_RESETS_SWALLOWED
					      : COUNTER_ANSWERS_UNKNOWN,
			    1);
		return;
	}
	if (p.flags & TCP_RST && p.payload_len == 0 &&
	    f->state != FLOW_CLOSING) {
		handle_server_reset(a, now, f);
		return;
	}
	if (is_probe_answer(f, &p))
		return;
	flow_table_touch(a->flows, f, now);
	track_server_packet(a, now, f, &p);
	if (expire_lost_caller(a, now, f))
		return;
	a->ops.reply(a->ctx, p.data, p.len);
}
