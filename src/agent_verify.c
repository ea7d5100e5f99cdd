#include "agent_int.h"
#include <stdlib.h>
#include <string.h>

static void verify_send(agent_t *a, uint64_t now, flow_t *f);
static void release_buffered(agent_t *a, uint64_t now, flow_t *f, bool silent);

void flow_buffer_packet(flow_t *f, const fwd_packet_t *in)
{
	packet_msg_t msg;
	buffered_packet_t *k;

	if (f->nbuffered >= BUFFERED_PACKETS_MAX)
		return;
	fwd_packet_message(in, &msg);
	k = malloc(sizeof(*k) + wire_size(&msg));
	if (!k)
		return;
	k->len = wire_pack(&msg, k->body);
	list_append(&f->buffered, &k->node);
	f->nbuffered++;
}

static void verify_send(agent_t *a, uint64_t now, flow_t *f)
{
	f->attempts++;
	f->state_ms = now;
	counter_add(&a->counters, COUNTER_TRIALS, 1);
	flow_probe(a, f);
}

void verify_begin(agent_t *a, uint64_t now, const fwd_packet_t *in)
{
	const packet_t *p = &in->packet;
	flow_t *f = flow_table_add(a->flows, &p->key, in->hash, now);

	if (!f) {
		lookup_forward(a, now, in, true);
		return;
	}
	flow_set_state(a, f, now, FLOW_VERIFYING);
	f->caller_next = p->seq;
	f->server_next = p->ack;
	f->caller_ack = p->ack;
	flow_classify(a, f);
	flow_buffer_packet(f, in);
	verify_send(a, now, f);
}

/*
 * Sends the buffered packets to the backend server, or to the next member if
 * the flow was denied.
 */
static void release_buffered(agent_t *a, uint64_t now, flow_t *f, bool silent)
{
	list_t kept;

	list_init(&kept);
	list_each_safe(node, after, &f->buffered)
	{
		list_remove(node);
		list_append(&kept, node);
	}
	f->nbuffered = 0;
	list_each_safe(node, after, &kept)
	{
		buffered_packet_t *k =
			list_entry(node, buffered_packet_t, node);
		packet_msg_t *msg =
			wire_unpack(&a->arena, MSG_PACKET, k->body, k->len);
		fwd_packet_t in;

		list_remove(node);
		if (!msg || fwd_packet_parse(a, msg, &in) < 0) {
			free(k);
			continue;
		}
		if (f->state == FLOW_DENIED) {
			lookup_forward(a, now, &in, silent);
		} else {
			agent_send_held(a, &in, false, false);
			flow_deliver(a, now, f, &in.packet);
		}
		free(k);
	}
}

bool verify_matches(const flow_t *f, const packet_t *answer)
{
	uint32_t next = answer->seq + (answer->flags & TCP_SYN ? 1 : 0);
	int32_t sent = seq_diff(next, f->caller_ack);
	int32_t taken = seq_diff(f->caller_next, answer->ack);

	return sent >= 0 && sent < SEQ_WINDOW && abs(taken) < SEQ_WINDOW;
}

void verify_denied(agent_t *a, uint64_t now, flow_t *f)
{
	counter_add(&a->counters, COUNTER_TRIALS_DENIED, 1);
	counter_add(&a->counters, COUNTER_RESETS_SWALLOWED, 1);
	flow_set_state(a, f, now, FLOW_DENIED);
	release_buffered(a, now, f, false);
}

void verify_confirmed(agent_t *a, uint64_t now, flow_t *f,
		      const packet_t *answer)
{
	counter_add(&a->counters, COUNTER_FLOWS_ADOPTED, 1);
	flow_set_state(a, f, now, FLOW_ESTABLISHED);
	f->server_next = answer->seq + (uint32_t)answer->payload_len;
	f->delivered = true;
	flow_add_work(a, f);
	release_buffered(a, now, f, false);
}

void verify_tick(agent_t *a, uint64_t now, flow_t *f)
{
	if (f->state_ms + VERIFY_RETRY_MS > now)
		return;
	if (a->server_down && a->server_lost) {
		verify_denied(a, now, f);
		return;
	}
	if (f->attempts < VERIFY_TRIES) {
		verify_send(a, now, f);
		return;
	}
	counter_add(&a->counters, COUNTER_TRIALS_SILENT, 1);
	flow_set_state(a, f, now, FLOW_DENIED);
	f->silent = true;
	release_buffered(a, now, f, true);
}
