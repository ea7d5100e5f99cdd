#include "relay_agent_int.h"
#include <string.h>

/* A server that is silent for so long while packets wait holds no flow. */
#define DEAD_MS 500

static void pass_on(relay_agent_t *a, const relay_msg_t *lookup,
		    const flow_key_t *key);

/*
 * Goes on to the next agent of the chain; behind the last one the balancer
 * hears that no server of the chain holds the flow.
 */
static void pass_on(relay_agent_t *a, const relay_msg_t *lookup,
		    const flow_key_t *key)
{
	relay_msg_t msg;

	if (lookup->n_candidates == 0) {
		relay_msg_init(&msg, RELAY_NOT_HELD);
		relay_msg_set_key(&msg, key);
		msg.chain = lookup->chain;
		a->ops.message(a->ctx, lookup->balancer, &msg);
		return;
	}
	relay_msg_init(&msg, RELAY_LOOKUP);
	msg.service = lookup->service;
	msg.balancer = lookup->balancer;
	msg.packet = lookup->packet;
	msg.candidates = lookup->candidates + 1;
	msg.n_candidates = lookup->n_candidates - 1;
	msg.chain = lookup->chain;
	counter_add(&a->counters, COUNTER_LOOKUPS_PASSED, 1);
	a->ops.message(a->ctx, lookup->candidates[0], &msg);
}

/* Has the server try the packet: it returns what it does not hold. */
static void try_packet(relay_agent_t *a, const relay_msg_t *msg,
		       relay_packet_t *p)
{
	aflow_t *f = aflow_take(a, &p->key);

	if (!f)
		return;
	f->phase = AFLOW_TRIAL;
	f->chain = msg->chain;
	f->ncandidates = msg->n_candidates;
	if (msg->n_candidates)
		memcpy(f->candidates, msg->candidates,
		       msg->n_candidates * sizeof(f->candidates[0]));
	counter_add(&a->counters, COUNTER_TRIALS, 1);
	aflow_packet(a, f, msg->balancer, p);
}

void relay_agent_lookup(relay_agent_t *a, const relay_msg_t *msg)
{
	relay_packet_t p;
	aflow_t *f;

	if (a->options.form->read(msg->packet.data, msg->packet.len, &p) < 0 ||
	    msg->n_candidates > CANDIDATES_MAX) {
		counter_add(&a->counters, COUNTER_DROP_TRUNCATED, 1);
		return;
	}
	f = (aflow_t *)flow_index_find(a->flows, &p.key);
	if (f && f->phase != AFLOW_TRIAL && aflow_matches(f, &p)) {
		relay_agent_tell(a, msg->balancer, RELAY_HELD, &p.key);
		aflow_packet(a, f, msg->balancer, &p);
		return;
	}
	if (strcmp(msg->service, a->options.service) != 0 ||
	    a->options.complete || (f && f->phase != AFLOW_TRIAL) || a->down ||
	    relay_server_quiet(a) >= DEAD_MS) {
		pass_on(a, msg, &p.key);
		return;
	}
	try_packet(a, msg, &p);
}

void relay_agent_lookup_on(relay_agent_t *a, const aflow_t *f,
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
	msg.chain = f->chain;
	pass_on(a, &msg, &p->key);
}
