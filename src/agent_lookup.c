#include "agent_int.h"
#include <stdlib.h>
#include <string.h>

/* Members that a lookup may name. */
#define NAMED_MAX 1024

static bool named(const uint32_t *list, size_t n, uint32_t id);
static bool ask_next(agent_t *a, uint64_t now, const arrival_t *in,
		     uint32_t *unasked, size_t *nunasked);
static void nobody_holds(agent_t *a, uint64_t now, const arrival_t *in);
static void trial_begin(agent_t *a, uint64_t now, const arrival_t *in);
static void trial_probe(agent_t *a, uint64_t now, flow_t *f);
static void keep(flow_t *f, const arrival_t *in);
static void release(agent_t *a, uint64_t now, flow_t *f, bool ours);

static bool named(const uint32_t *list, size_t n, uint32_t id)
{
	for (size_t i = 0; i < n; i++)
		if (list[i] == id)
			return true;
	return false;
}

/*
 * Passes the packet to the best member that was not asked. Members that
 * cannot be asked are added to the list. Returns false when none is left.
 */
static bool ask_next(agent_t *a, uint64_t now, const arrival_t *in,
		     uint32_t *unasked, size_t *nunasked)
{
	uint32_t order[NAMED_MAX];
	uint32_t asked[NAMED_MAX];
	size_t n =
		group_rank(&a->group, now, in->hash, false, order, NAMED_MAX);
	packet_msg_t msg;

	for (size_t i = 0; i < n; i++) {
		member_t *m = &a->group.members[order[i]];

		if (m->id == a->target->id ||
		    named(in->asked, in->nasked, m->id) ||
		    named(unasked, *nunasked, m->id))
			continue;
		if (!member_reachable(m)) {
			if (m->state != MEMBER_LEFT && *nunasked < NAMED_MAX)
				unasked[(*nunasked)++] = m->id;
			continue;
		}
		if (in->nasked + 1 >= NAMED_MAX)
			return false;
		if (in->nasked)
			memcpy(asked, in->asked, in->nasked * sizeof(*asked));
		asked[in->nasked] = a->target->id;
		ct__packet__init(&msg);
		msg.service = a->service->id;
		msg.version = a->config->version;
		msg.digest = a->config->digest;
		msg.step = STEP_LOOKUP;
		msg.reply_ip = in->reply.ip;
		msg.reply_port = in->reply.port;
		msg.asked = asked;
		msg.n_asked = in->nasked + 1;
		msg.unasked = unasked;
		msg.n_unasked = *nunasked;
		msg.inner.data = (uint8_t *)in->packet.data;
		msg.inner.len = in->packet.len;
		counter_add(&a->counters, COUNTER_LOOKUPS_PASSED, 1);
		a->ops.send(a->ctx, &m->agent, MSG_PACKET, &msg);
		return true;
	}
	return false;
}

/* Each member has been asked, or could not be. */
static void nobody_holds(agent_t *a, uint64_t now, const arrival_t *in)
{
	(void)now;
	counter_add(&a->counters, COUNTER_LOOKUPS_UNKNOWN, 1);
	agent_refuse(a, &in->packet, REFUSAL_OUTCOME_UNKNOWN);
	agent_tell(a, in, false, true);
}

void lookup_pass_on(agent_t *a, uint64_t now, const arrival_t *in)
{
	uint32_t unasked[NAMED_MAX];
	size_t nunasked = in->nunasked < NAMED_MAX ? in->nunasked : NAMED_MAX;

	if (nunasked)
		memcpy(unasked, in->unasked, nunasked * sizeof(*unasked));
	if (!without(a->options.off, MECHANISM_CHAIN) &&
	    ask_next(a, now, in, unasked, &nunasked))
		return;
	if (in->packet.key.proto == PROTO_UDP) {
		admit_open(a, now, in);
		return;
	}
	if (nunasked)
		counter_add(&a->counters, COUNTER_LOOKUPS_SILENT, 1);
	else
		nobody_holds(a, now, in);
}

static void keep(flow_t *f, const arrival_t *in)
{
	size_t len = in->packet.len;
	kept_packet_t *k;

	if (f->nkept >= TRIAL_KEPT)
		return;
	k = calloc(1, sizeof(*k) + len);
	if (!k)
		return;
	if (in->nasked) {
		k->asked = malloc(in->nasked * sizeof(*k->asked));
		if (k->asked) {
			k->nasked = in->nasked;
			memcpy(k->asked, in->asked,
			       in->nasked * sizeof(*k->asked));
		}
	}
	if (in->nunasked) {
		k->unasked = malloc(in->nunasked * sizeof(*k->unasked));
		if (k->unasked) {
			k->nunasked = in->nunasked;
			memcpy(k->unasked, in->unasked,
			       in->nunasked * sizeof(*k->unasked));
		}
	}
	k->reply_ip = in->reply.ip;
	k->reply_port = in->reply.port;
	k->len = len;
	memcpy(k->data, in->packet.data, len);
	list_append(&f->kept, &k->node);
	f->nkept++;
}

/*
 * Asks the backend server with a segment that carries nothing and lies just
 * before the window: a server with the connection acknowledges it, one
 * without it resets.
 */
static void trial_probe(agent_t *a, uint64_t now, flow_t *f)
{
	uint8_t buf[PACKET_MAX];
	packet_t probe = { .key = f->key,
			   .seq = f->caller_next - 1,
			   .ack = f->server_next,
			   .flags = TCP_ACK,
			   .window = UINT16_MAX };
	size_t len = packet_build(&probe, buf);

	f->tries++;
	f->state_ms = now;
	counter_add(&a->counters, COUNTER_TRIALS, 1);
	a->ops.deliver(a->ctx, buf, len);
}

static void trial_begin(agent_t *a, uint64_t now, const arrival_t *in)
{
	const packet_t *p = &in->packet;
	flow_t *f = flow_table_add(a->flows, &p->key, in->hash, now);

	if (!f) {
		lookup_pass_on(a, now, in);
		return;
	}
	f->state = FLOW_TRIAL;
	f->caller_next = p->seq;
	f->server_next = p->ack;
	f->weight = 1;
	for (uint32_t i = 0; i < a->service->nclasses; i++) {
		if (a->service->classes[i].port != p->key.dport ||
		    a->service->classes[i].proto != p->key.proto)
			continue;
		f->class_index = i;
		f->weight = a->service->classes[i].weight;
	}
	keep(f, in);
	trial_probe(a, now, f);
}

/* Sends the kept packets to the backend server or on to the next member. */
static void release(agent_t *a, uint64_t now, flow_t *f, bool ours)
{
	list_t kept;

	list_init(&kept);
	list_each_safe(node, after, &f->kept)
	{
		list_remove(node);
		list_append(&kept, node);
	}
	f->nkept = 0;
	list_each_safe(node, after, &kept)
	{
		kept_packet_t *k = list_entry(node, kept_packet_t, node);
		arrival_t in = { .step = STEP_LOOKUP,
				 .hash = f->hash,
				 .reply = { k->reply_ip, k->reply_port },
				 .asked = k->asked,
				 .nasked = k->nasked,
				 .unasked = k->unasked,
				 .nunasked = k->nunasked };

		list_remove(node);
		if (packet_parse(k->data, k->len, &in.packet) == PACKET_OK) {
			if (ours) {
				agent_tell(a, &in, false, false);
				flow_deliver(a, now, f, &in.packet);
			} else {
				lookup_pass_on(a, now, &in);
			}
		}
		kept_packet_free(k);
	}
}

void lookup_trial_denied(agent_t *a, uint64_t now, flow_t *f)
{
	counter_add(&a->counters, COUNTER_TRIALS_DENIED, 1);
	counter_add(&a->counters, COUNTER_RESETS_SWALLOWED, 1);
	flow_enter(a, f, now, FLOW_DENIED);
	release(a, now, f, false);
}

void lookup_trial_held(agent_t *a, uint64_t now, flow_t *f,
		       const packet_t *answer)
{
	counter_add(&a->counters, COUNTER_FLOWS_ADOPTED, 1);
	flow_enter(a, f, now, FLOW_ESTABLISHED);
	f->server_next = answer->seq + (uint32_t)answer->payload_len;
	f->delivered = true;
	flow_count(a, f);
	release(a, now, f, true);
}

void lookup_trial_tick(agent_t *a, uint64_t now, flow_t *f)
{
	if (f->state_ms + TRIAL_MS > now)
		return;
	if (f->tries < TRIAL_TRIES) {
		trial_probe(a, now, f);
		return;
	}
	counter_add(&a->counters, COUNTER_TRIALS_SILENT, 1);
	flow_enter(a, f, now, FLOW_DENIED);
	release(a, now, f, false);
}

void lookup_packet(agent_t *a, uint64_t now, const arrival_t *in)
{
	const packet_t *p = &in->packet;
	flow_t *f = flow_table_find(a->flows, &p->key, in->hash);

	if (f && f->state == FLOW_TRIAL) {
		keep(f, in);
		return;
	}
	if (f && f->state == FLOW_HALF && p->flags & TCP_ACK &&
	    p->seq == f->caller_isn + 1 && p->ack != f->server_isn + 1) {
		uint8_t buf[PACKET_MAX];
		packet_t reset = { .key = f->key,
				   .seq = f->caller_isn + 1,
				   .flags = TCP_RST };
		size_t len = packet_build(&reset, buf);

		counter_add(&a->counters, COUNTER_HALF_OPEN_LOST, 1);
		flow_enter(a, f, now, FLOW_LOST);
		a->ops.deliver(a->ctx, buf, len);
	}
	if (!f && !a->complete && !without(a->options.off, MECHANISM_TRIAL) &&
	    p->key.proto == PROTO_TCP && p->flags & TCP_ACK &&
	    !(p->flags & TCP_RST)) {
		trial_begin(a, now, in);
		return;
	}
	lookup_pass_on(a, now, in);
}

void lookup_free(agent_t *a)
{
	(void)a;
}
