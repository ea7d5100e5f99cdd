#include "agent_int.h"

/* Candidates kept in an open that is passed on. */
#define CANDIDATES_MAX 16

static bool opens_allowed(const agent_t *a);
static bool accepts(agent_t *a, uint64_t now);
static uint32_t open_weight(const agent_t *a, const packet_t *p);
static size_t best_candidate(agent_t *a, uint64_t now, const fwd_packet_t *in);
static bool pass_open(agent_t *a, uint64_t now, const fwd_packet_t *in);
static void accept_open(agent_t *a, uint64_t now, const fwd_packet_t *in);
static void refuse_open(agent_t *a, const fwd_packet_t *in);

static bool opens_allowed(const agent_t *a)
{
	if (!a->configured || a->leaving || a->server_down || resume_pending(a))
		return false;
	return a->target->state == TARGET_ACTIVE;
}

bool admit_full(const agent_t *a)
{
	uint64_t queue = (uint64_t)a->target->slots * a->options.queue;

	return a->held >= a->target->connections || a->in_flight >= queue;
}

/* True when the policy accepts the open here rather than pass it on. */
static bool accepts(agent_t *a, uint64_t now)
{
	const policy_t *policy =
		a->options.policy ? a->options.policy : policy_default;
	const member_t *self = membership_update_self(a, now);

	if (!self || mechanism_disabled(a->options.off, MECHANISM_HUNT))
		return true;
	return policy->accepts(&a->group, self, now);
}

static uint32_t open_weight(const agent_t *a, const packet_t *p)
{
	for (size_t i = 0; i < a->service->nclasses; i++) {
		const class_t *c = &a->service->classes[i];

		if (c->port == p->key.dport && c->proto == p->key.proto)
			return c->weight;
	}
	return 1;
}

/*
 * Index of the least loaded candidate that accepts opens, by the digests of the
 * group; ncandidates if there is none.
 */
static size_t best_candidate(agent_t *a, uint64_t now, const fwd_packet_t *in)
{
	size_t best = in->ncandidates;
	double least = 0;

	for (size_t i = 0; i < in->ncandidates; i++) {
		const member_t *m = group_member(&a->group, in->candidates[i]);
		double load;

		if (!m || m->id == a->target->id || !member_takes_opens(m, now))
			continue;
		load = member_utilisation(&a->group, m, now);
		if (best < in->ncandidates && load >= least)
			continue;
		best = i;
		least = load;
	}
	return best;
}

/* Passes the open to the best candidate. Returns false if there is none. */
static bool pass_open(agent_t *a, uint64_t now, const fwd_packet_t *in)
{
	size_t best = best_candidate(a, now, in);
	uint32_t remaining[CANDIDATES_MAX];
	packet_msg_t msg;
	member_t *m;

	if (best == in->ncandidates)
		return false;
	m = group_member(&a->group, in->candidates[best]);
	ct__packet__init(&msg);
	for (size_t i = 0; i < in->ncandidates; i++)
		if (i != best && msg.n_candidates < CANDIDATES_MAX)
			remaining[msg.n_candidates++] = in->candidates[i];
	msg.service = a->service->id;
	msg.version = a->config->version;
	msg.digest = a->config->digest;
	msg.step = STEP_OPEN;
	msg.reply_ip = in->reply.ip;
	msg.reply_port = in->reply.port;
	msg.candidates = remaining;
	msg.asked = (uint32_t *)in->asked;
	msg.n_asked = in->nasked;
	msg.inner.data = (uint8_t *)in->packet.data;
	msg.inner.len = in->packet.len;
	member_note_placed(m, now, open_weight(a, &in->packet));
	counter_add(&a->counters, COUNTER_OPENS_PASSED, 1);
	a->ops.send(a->ctx, &m->agent, MSG_PACKET, &msg);
	return true;
}

static void accept_open(agent_t *a, uint64_t now, const fwd_packet_t *in)
{
	const packet_t *p = &in->packet;
	flow_t *f = flow_table_find(a->flows, &p->key, in->hash);
	member_t *self = group_member(&a->group, a->target->id);

	if (f)
		flow_remove(a, f);
	f = flow_table_add(a->flows, &p->key, in->hash, now);
	if (!f) {
		refuse_open(a, in);
		return;
	}
	flow_classify(a, f);
	f->caller_isn = p->seq;
	f->caller_next = p->seq + 1;
	flow_set_state(a, f, now,
		       p->key.proto == PROTO_TCP ? FLOW_OPENING
						 : FLOW_ESTABLISHED);
	flow_add_work(a, f);
	if (self)
		self->work = a->work;
	counter_add(&a->counters, COUNTER_FLOWS_OPENED, 1);
	counter_add(&a->counters, COUNTER_OPENS_ACCEPTED, 1);
	if (f->state == FLOW_OPENING)
		flow_buffer_packet(f, in);
	agent_send_held(a, in, false, false);
	witness_flush(a, now);
	flow_deliver(a, now, f, p);
}

static void refuse_open(agent_t *a, const fwd_packet_t *in)
{
	counter_add(&a->counters, COUNTER_OPENS_REFUSED, 1);
	agent_refuse(a, &in->packet, REFUSAL_NOT_RUN);
	agent_send_held(a, in, true, false);
}

void admit_open(agent_t *a, uint64_t now, const fwd_packet_t *in)
{
	bool allowed = opens_allowed(a) && !admit_full(a);

	counter_add(&a->counters, COUNTER_OPENS, 1);
	if (allowed && accepts(a, now)) {
		accept_open(a, now, in);
		return;
	}
	/* A SYN with data is not passed on: only one server may get it. */
	if (in->packet.payload_len == 0 || in->packet.key.proto == PROTO_UDP) {
		if (pass_open(a, now, in))
			return;
		if (!allowed && offer_elsewhere(a, now, in))
			return;
	}
	if (allowed)
		accept_open(a, now, in);
	else
		refuse_open(a, in);
}
