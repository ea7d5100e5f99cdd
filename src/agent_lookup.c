#include "agent_int.h"
#include "rank.h"
#include <stdlib.h>
#include <string.h>

/* Members whose agents' addresses a lookup carries. */
#define KNOWN_MAX 64
/* An agent's address is packed as ip << PORT_BITS | port. */
#define PORT_BITS 16
/* Largest group that is asked in the order of rank. */
#define RANKED_GROUP_MAX 64

/* Fields of the message to the next hop, see fwd_packet_t. */
typedef struct lookup {
	uint32_t asked[LOOKUP_MEMBERS_MAX];
	size_t nasked;
	uint32_t unasked[LOOKUP_MEMBERS_MAX];
	size_t nunasked;
	uint32_t known[KNOWN_MAX];
	uint64_t agents[KNOWN_MAX];
	size_t nknown;
	bool mixed;
	bool untried;
} lookup_t;

static bool contains(const uint32_t *list, size_t n, uint32_t id);
static void remove_id(uint32_t *list, size_t *n, uint32_t id);
static int lookup_begin(agent_t *a, const fwd_packet_t *in, bool silent,
			lookup_t *l);
static void add_known(lookup_t *l, uint32_t id, uint64_t agent);
static bool next_in_group(agent_t *a, uint64_t now, uint64_t hash, lookup_t *l,
			  member_state_t worst, endpoint_t *to);
static bool next_known(agent_t *a, lookup_t *l, endpoint_t *to);
static void lookup_send(agent_t *a, const fwd_packet_t *in, const lookup_t *l,
			const endpoint_t *to);
static void refuse_unknown(agent_t *a, const fwd_packet_t *in);
static void try_unreachable(agent_t *a, const fwd_packet_t *in, lookup_t *l,
			    int tries);
static void open_udp(agent_t *a, uint64_t now, const fwd_packet_t *in);
static bool verifies_unknown(const agent_t *a, const fwd_packet_t *in);
static void ask_servers(agent_t *a, uint64_t now, const fwd_packet_t *in);
static void give_up_half_open(agent_t *a, uint64_t now, flow_t *f);
static bool acks_other_server(const flow_t *f, const packet_t *p);
static void add_group(agent_t *a, lookup_t *l);

static bool contains(const uint32_t *list, size_t n, uint32_t id)
{
	for (size_t i = 0; i < n; i++)
		if (list[i] == id)
			return true;
	return false;
}

static void remove_id(uint32_t *list, size_t *n, uint32_t id)
{
	size_t kept = 0;

	for (size_t i = 0; i < *n; i++)
		if (list[i] != id)
			list[kept++] = list[i];
	*n = kept;
}

static void add_known(lookup_t *l, uint32_t id, uint64_t agent)
{
	if (contains(l->known, l->nknown, id) || l->nknown == KNOWN_MAX)
		return;
	l->known[l->nknown] = id;
	l->agents[l->nknown++] = agent;
}

/*
 * Copies the lists of the previous hop and adds this agent as asked, and also
 * as not asked if its server was silent. Returns 0, or -1 when a list already
 * has LOOKUP_MEMBERS_MAX members.
 */
static int lookup_begin(agent_t *a, const fwd_packet_t *in, bool silent,
			lookup_t *l)
{
	if (in->nasked >= LOOKUP_MEMBERS_MAX ||
	    in->nunasked >= LOOKUP_MEMBERS_MAX)
		return -1;
	l->nasked = in->nasked;
	l->nunasked = in->nunasked;
	l->nknown = 0;
	l->mixed = in->mixed || in->version != a->config->version;
	l->untried = in->untried || (!a->complete && !verifies_unknown(a, in));
	if (in->nasked)
		memcpy(l->asked, in->asked, in->nasked * sizeof(*l->asked));
	if (in->nunasked)
		memcpy(l->unasked, in->unasked,
		       in->nunasked * sizeof(*l->unasked));
	for (size_t i = 0; i < in->nknown; i++)
		add_known(l, in->known[i], in->known_agents[i]);
	remove_id(l->unasked, &l->nunasked, a->target->id);
	if (!contains(l->asked, l->nasked, a->target->id))
		l->asked[l->nasked++] = a->target->id;
	if (silent)
		l->unasked[l->nunasked++] = a->target->id;
	return 0;
}

/*
 * Finds the best reachable member of our group that was not asked, suspected
 * ones only if worst is MEMBER_SUSPECT. Members that an earlier hop could not
 * ask are asked as well.
 */
static bool next_in_group(agent_t *a, uint64_t now, uint64_t hash, lookup_t *l,
			  member_state_t worst, endpoint_t *to)
{
	uint32_t order[RANKED_GROUP_MAX];
	bool small = a->group.n <= RANKED_GROUP_MAX;
	size_t n = small ? group_rank(&a->group, now, hash, false, order,
				      RANKED_GROUP_MAX)
			 : a->group.n;

	for (size_t i = 0; i < n; i++) {
		/* Large group: member order, starting at the hash. */
		size_t at = small ? order[i] : (hash + i) % n;
		const member_t *m = &a->group.members[at];

		if (!member_reachable(m) ||
		    (m->state == MEMBER_SUSPECT && worst != MEMBER_SUSPECT) ||
		    contains(l->asked, l->nasked, m->id))
			continue;
		remove_id(l->unasked, &l->nunasked, m->id);
		*to = m->agent;
		return true;
	}
	return false;
}

/* Finds a member that only earlier hops have in their group. */
static bool next_known(agent_t *a, lookup_t *l, endpoint_t *to)
{
	for (size_t i = 0; i < l->nknown; i++) {
		uint32_t id = l->known[i];

		if (contains(l->asked, l->nasked, id) ||
		    contains(l->unasked, l->nunasked, id) ||
		    group_member(&a->group, id))
			continue;
		to->ip = (uint32_t)(l->agents[i] >> PORT_BITS);
		to->port = (uint16_t)l->agents[i];
		return true;
	}
	return false;
}

/*
 * Adds our group to the lookup: dead members as not asked, and the addresses of
 * members that a later hop may not know: of all members if there is room, else
 * of those that left the configuration.
 */
static void add_group(agent_t *a, lookup_t *l)
{
	bool all = a->group.n <= KNOWN_MAX;

	for (size_t i = 0; i < a->group.n; i++) {
		const member_t *m = &a->group.members[i];

		if (contains(l->asked, l->nasked, m->id) ||
		    m->state == MEMBER_LEFT)
			continue;
		if (all || !m->configured)
			add_known(l, m->id,
				  (uint64_t)m->agent.ip << PORT_BITS |
					  m->agent.port);
		if (m->state == MEMBER_DEAD &&
		    l->nunasked < LOOKUP_MEMBERS_MAX &&
		    !contains(l->unasked, l->nunasked, m->id))
			l->unasked[l->nunasked++] = m->id;
	}
}

static void lookup_send(agent_t *a, const fwd_packet_t *in, const lookup_t *l,
			const endpoint_t *to)
{
	fwd_packet_t out = { .packet = in->packet,
			     .version = a->config->version,
			     .step = STEP_LOOKUP,
			     .reply = in->reply,
			     .asked = l->asked,
			     .nasked = l->nasked,
			     .unasked = l->unasked,
			     .nunasked = l->nunasked,
			     .known = l->known,
			     .known_agents = l->agents,
			     .nknown = l->nknown,
			     .mixed = l->mixed,
			     .silence_over = in->silence_over,
			     .untried = l->untried,
			     .ask_servers = in->ask_servers };
	packet_msg_t msg;

	fwd_packet_message(&out, &msg);
	msg.service = a->service->id;
	msg.digest = a->config->digest;
	counter_add(&a->counters, COUNTER_LOOKUPS_PASSED, 1);
	a->ops.send(a->ctx, to, MSG_PACKET, &msg);
}

/* Resets the flow: all members were asked, or the wait for them is over. */
static void refuse_unknown(agent_t *a, const fwd_packet_t *in)
{
	counter_add(&a->counters, COUNTER_LOOKUPS_UNKNOWN, 1);
	unresolved_remove(a, &in->packet.key, in->hash);
	agent_refuse(a, &in->packet, REFUSAL_OUTCOME_UNKNOWN);
	agent_send_held(a, in, false, true);
}

/*
 * Sends the packet to one of the members considered dead, to another one at
 * each try: a holder that is reachable again is found before the group learns
 * of it.
 */
static void try_unreachable(agent_t *a, const fwd_packet_t *in, lookup_t *l,
			    int tries)
{
	for (size_t i = 0; i < l->nunasked; i++) {
		uint32_t id = l->unasked[((size_t)tries + i) % l->nunasked];
		member_t *m = group_member(&a->group, id);

		if (!m || contains(l->asked, l->nasked, id))
			continue;
		remove_id(l->unasked, &l->nunasked, id);
		lookup_send(a, in, l, &m->agent);
		return;
	}
}

/*
 * Opens the flow of a first UDP packet. The member is chosen by the configured
 * weights alone, so that two packets in quick succession open the flow at the
 * same member.
 */
static void open_udp(agent_t *a, uint64_t now, const fwd_packet_t *in)
{
	member_t *best = NULL;
	double best_score = 0;
	fwd_packet_t out = *in;
	packet_msg_t msg;

	for (size_t i = 0; i < a->group.n; i++) {
		member_t *m = &a->group.members[i];
		rank_member_t r = { m->id, m->declared_weight * m->slots };
		double score = rank_score(in->hash, &r);

		if (!m->configured || m->draining || !member_reachable(m) ||
		    (best && score <= best_score))
			continue;
		best = m;
		best_score = score;
	}
	out.step = STEP_OPEN;
	out.ncandidates = 0;
	if (!best || best->id == a->target->id || in->step == STEP_OPEN) {
		admit_open(a, now, &out);
		return;
	}
	fwd_packet_message(&out, &msg);
	msg.service = a->service->id;
	msg.digest = a->config->digest;
	a->ops.send(a->ctx, &best->agent, MSG_PACKET, &msg);
}

/*
 * True when an unknown flow is to be verified with the backend server: each one
 * within VERIFY_UNKNOWN_MS of a start, later only one that no member holds. A
 * complete flow table needs no verification.
 */
static bool verifies_unknown(const agent_t *a, const fwd_packet_t *in)
{
	if (a->complete || mechanism_disabled(a->options.off, MECHANISM_TRIAL))
		return false;
	return in->ask_servers || a->verifies_unknown;
}

/*
 * No member knows the flow: repeats the lookup, now each hop verifies with its
 * backend server.
 */
static void ask_servers(agent_t *a, uint64_t now, const fwd_packet_t *in)
{
	fwd_packet_t again = *in;

	again.version = a->config->version;
	again.nasked = 0;
	again.nunasked = 0;
	again.untried = false;
	again.ask_servers = true;
	lookup_packet(a, now, &again);
}

void lookup_forward(agent_t *a, uint64_t now, const fwd_packet_t *in,
		    bool silent)
{
	lookup_t l;
	endpoint_t to;
	int tries;

	if (in->only_you)
		return;
	if (lookup_begin(a, in, silent, &l) < 0) {
		counter_add(&a->counters, COUNTER_DROP_HOP_LIMIT, 1);
		return;
	}
	if (mechanism_disabled(a->options.off, MECHANISM_CHAIN)) {
		refuse_unknown(a, in);
		return;
	}
	add_group(a, &l);
	if (next_in_group(a, now, in->hash, &l, MEMBER_ALIVE, &to) ||
	    next_known(a, &l, &to)) {
		lookup_send(a, in, &l, &to);
		return;
	}
	if (l.untried && !in->ask_servers) {
		ask_servers(a, now, in);
		return;
	}
	/* A suspect may not answer: add the lookup as unresolved first. */
	if (next_in_group(a, now, in->hash, &l, MEMBER_SUSPECT, &to)) {
		if (!in->silence_over)
			unresolved_add(a, now, in);
		lookup_send(a, in, &l, &to);
		return;
	}
	if (in->packet.key.proto == PROTO_UDP) {
		open_udp(a, now, in);
		return;
	}
	if ((l.nunasked == 0 && !l.mixed) || in->silence_over) {
		refuse_unknown(a, in);
		return;
	}
	counter_add(&a->counters, COUNTER_LOOKUPS_SILENT, 1);
	tries = unresolved_add(a, now, in);
	if (tries < 0)
		refuse_unknown(a, in);
	else
		try_unreachable(a, in, &l, tries);
}

/* The caller accepted another member's SYN-ACK: reset our server. */
static void give_up_half_open(agent_t *a, uint64_t now, flow_t *f)
{
	counter_add(&a->counters, COUNTER_HALF_OPEN_LOST, 1);
	flow_reset_server(a, f);
	flow_set_state(a, f, now, FLOW_LOST);
}

/*
 * True when the packet belongs to the connection whose SYN we delivered, but
 * acknowledges a SYN-ACK that our server did not send.
 */
static bool acks_other_server(const flow_t *f, const packet_t *p)
{
	int32_t ahead = seq_diff(p->seq, f->caller_isn + 1);

	if (!(p->flags & TCP_ACK) || ahead < 0 || ahead > SEQ_WINDOW)
		return false;
	if (f->state == FLOW_HALF_OPEN)
		return p->ack != f->server_isn + 1;
	return f->state == FLOW_OPENING;
}

void lookup_packet(agent_t *a, uint64_t now, const fwd_packet_t *in)
{
	const packet_t *p = &in->packet;
	flow_t *f = flow_table_find(a->flows, &p->key, in->hash);

	if (f && f->state == FLOW_VERIFYING) {
		flow_buffer_packet(f, in);
		return;
	}
	if (f && acks_other_server(f, p))
		give_up_half_open(a, now, f);
	/* Our server may have the flow although we do not know it. */
	if (!f && !a->complete && p->flags & TCP_RST)
		a->ops.deliver(a->ctx, p->data, p->len);
	if (!f && verifies_unknown(a, in) && p->key.proto == PROTO_TCP &&
	    p->flags & TCP_ACK && !(p->flags & TCP_RST)) {
		verify_begin(a, now, in);
		return;
	}
	lookup_forward(a, now, in, f && f->state == FLOW_DENIED && f->silent);
}
