#include "agent_int.h"
#include <stdlib.h>
#include <string.h>

static flow_record_msg_t *new_record(const flow_t *f);
static int export_flows(list_t *flows, handover_msg_t *out);
static void import_flow(agent_t *a, uint64_t now, const flow_record_msg_t *r);

/* Returns NULL when out of memory. */
static flow_record_msg_t *new_record(const flow_t *f)
{
	flow_record_msg_t *r = malloc(sizeof(*r));

	if (!r)
		return NULL;
	ct__flow_record__init(r);
	r->src_ip = f->key.src;
	r->dst_ip = f->key.dst;
	r->src_port = f->key.sport;
	r->dst_port = f->key.dport;
	r->protocol = f->key.proto;
	r->state = f->state;
	r->caller_next = f->caller_next;
	r->server_next = f->server_next;
	r->server_isn = f->server_isn;
	r->caller_isn = f->caller_isn;
	r->class_index = f->class_index;
	r->request_open = f->request_open;
	r->bytes_delivered = f->delivered;
	r->caller_ack = f->caller_ack;
	r->told = f->caller_reset;
	return r;
}

/*
 * Appends the flows of a list that the server has. Returns 0, or -1 when out of
 * memory.
 */
static int export_flows(list_t *flows, handover_msg_t *out)
{
	list_each(node, flows)
	{
		const flow_t *f = list_entry(node, flow_t, recent);
		flow_record_msg_t *r;

		if (f->state <= FLOW_DENIED || f->state == FLOW_LOST)
			continue;
		r = new_record(f);
		if (!r)
			return -1;
		out->flows[out->n_flows++] = r;
	}
	return 0;
}

int agent_export(agent_t *a, handover_msg_t *out)
{
	size_t n = flow_table_count(a->flows);

	ct__handover__init(out);
	out->complete = a->complete &&
			!mechanism_disabled(a->options.off, MECHANISM_HANDOVER);
	out->incarnation = a->incarnation;
	out->target = a->target ? a->target->id : 0;
	out->service = a->service ? a->service->id : 0;
	out->speed = (uint32_t)(a->capacity.speed * 1000);
	out->flows = calloc(n + 1, sizeof(flow_record_msg_t *));
	if (!out->flows)
		return -1;
	if (mechanism_disabled(a->options.off, MECHANISM_HANDOVER))
		return 0;
	if (export_flows(flow_table_recent(a->flows, PROTO_TCP), out) < 0)
		return -1;
	return export_flows(flow_table_recent(a->flows, PROTO_UDP), out);
}

void agent_export_free(handover_msg_t *out)
{
	for (size_t i = 0; i < out->n_flows; i++)
		free(out->flows[i]);
	free(out->flows);
	out->flows = NULL;
	out->n_flows = 0;
}

static void import_flow(agent_t *a, uint64_t now, const flow_record_msg_t *r)
{
	flow_key_t key = { r->src_ip, r->dst_ip, (uint16_t)r->src_port,
			   (uint16_t)r->dst_port, (uint8_t)r->protocol };
	uint64_t hash = flow_key_hash(&key, a->options.rank_seed);
	flow_t *f;

	if (key.proto != PROTO_TCP && key.proto != PROTO_UDP)
		return;
	if (r->state >= FLOW_STATES || flow_table_find(a->flows, &key, hash))
		return;
	f = flow_table_add(a->flows, &key, hash, now);
	if (!f)
		return;
	f->caller_next = r->caller_next;
	f->server_next = r->server_next;
	f->server_isn = r->server_isn;
	f->caller_isn = r->caller_isn;
	f->class_index = r->class_index;
	f->weight = 1;
	if (r->class_index < a->service->nclasses)
		f->weight = a->service->classes[r->class_index].weight;
	f->delivered = r->bytes_delivered;
	f->caller_ack = r->caller_ack;
	f->caller_reset = r->told;
	flow_set_state(a, f, now, (flow_state_t)r->state);
	if (f->state != FLOW_CLOSING)
		flow_add_work(a, f);
	/* The request gets no slot: its service time is unknown. */
	if (r->request_open) {
		f->request_open = true;
		f->request_ms = now;
		a->in_flight++;
	}
}

int agent_import(agent_t *a, uint64_t now, const handover_msg_t *in)
{
	if (!agent_find_service(a, now, in->service, 0) ||
	    in->target != a->target->id)
		return -1;
	for (size_t i = 0; i < in->n_flows; i++)
		import_flow(a, now, in->flows[i]);
	a->complete = in->complete;
	a->verifies_unknown = false;
	a->capacity.speed = in->speed / 1000.0;
	return 0;
}
