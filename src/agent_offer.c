#include "agent_int.h"

static bool was_asked(const fwd_packet_t *in, uint32_t id);
static size_t offer_candidates(agent_t *a, uint64_t now, const fwd_packet_t *in,
			       uint32_t *ids);

static bool was_asked(const fwd_packet_t *in, uint32_t id)
{
	for (size_t i = 0; i < in->nasked; i++)
		if (in->asked[i] == id)
			return true;
	return false;
}

/*
 * Writes the target ids of the best members that accept opens and were not
 * asked into ids, at most OFFERS_MAX. Returns their number.
 */
static size_t offer_candidates(agent_t *a, uint64_t now, const fwd_packet_t *in,
			       uint32_t *ids)
{
	uint32_t order[2 * OFFERS_MAX + 1];
	size_t want = in->nasked + 1 + OFFERS_MAX;
	size_t kept = 0;
	size_t n;

	if (want > 2 * OFFERS_MAX + 1)
		want = 2 * OFFERS_MAX + 1;
	n = group_rank(&a->group, now, in->hash, true, order, want);
	for (size_t i = 0; i < n && kept < OFFERS_MAX; i++) {
		uint32_t id = a->group.members[order[i]].id;

		if (id != a->target->id && !was_asked(in, id))
			ids[kept++] = id;
	}
	return kept;
}

bool offer_elsewhere(agent_t *a, uint64_t now, const fwd_packet_t *in)
{
	uint32_t asked[OFFERS_MAX + 1];
	uint32_t ids[OFFERS_MAX];
	fwd_packet_t out = *in;
	packet_msg_t msg;
	size_t n;

	if (in->nasked >= OFFERS_MAX)
		return false;
	n = offer_candidates(a, now, in, ids);
	if (n == 0)
		return false;
	for (size_t i = 0; i < in->nasked; i++)
		asked[i] = in->asked[i];
	asked[in->nasked] = a->target->id;
	out.version = a->config->version;
	out.step = STEP_OPEN;
	out.asked = asked;
	out.nasked = in->nasked + 1;
	out.candidates = ids + 1;
	out.ncandidates = n - 1;
	fwd_packet_message(&out, &msg);
	msg.service = a->service->id;
	msg.digest = a->config->digest;
	counter_add(&a->counters, COUNTER_OPENS_OFFERED_ON, 1);
	a->ops.send(a->ctx, &group_member(&a->group, ids[0])->agent, MSG_PACKET,
		    &msg);
	return true;
}

void offer_buffered_syn(agent_t *a, uint64_t now, flow_t *f)
{
	buffered_packet_t *k = NULL;
	packet_msg_t *msg = NULL;
	fwd_packet_t in;

	if (!list_empty(&f->buffered))
		k = list_entry(f->buffered.next, buffered_packet_t, node);
	if (k)
		msg = wire_unpack(&a->arena, MSG_PACKET, k->body, k->len);
	/* A SYN with data must not reach a second backend server. */
	if (msg && fwd_packet_parse(a, msg, &in) == 0 &&
	    in.packet.payload_len == 0 && offer_elsewhere(a, now, &in)) {
		flow_remove(a, f);
		return;
	}
	counter_add(&a->counters, COUNTER_OPENS_REFUSED, 1);
	flow_reset_caller(a, now, f);
}
