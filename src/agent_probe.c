#include "agent_int.h"
#include <stdlib.h>
#include <string.h>

/*
 * Failure detection by probes, suspicion and refutation. Source: Das, Gupta
 * and Motivala, "SWIM" (2002).
 */

/* Interval between two probes, each of one member chosen at random, ms. */
#define PROBE_INTERVAL_MS 400
/* Time-out after which a probe is repeated, also by other members, ms. */
#define PROBE_TIMEOUT_MS 150
/* Other members asked to relay the repeated probe. */
#define PROBE_HELPERS 3
/* A suspect that does not refute within this time is declared dead, ms. */
#define SUSPICION_TIMEOUT_MS 3000
/*
 * Gossip that a member is suspect or dead is ignored if this agent heard the
 * member within this time, ms.
 */
#define RECENTLY_HEARD_MS 300
/* A longer interval between two ticks means that the process was paused. */
#define PAUSE_MS 400
/* Members whose state one message gossips about. */
#define GOSSIP_MAX 6

/* The last probe that this agent started. */
struct probe {
	uint32_t target; /* id of the member probed */
	uint64_t number; /* sequence number, also in the answer */
	uint64_t started_ms;
	bool pending; /* not answered */
	bool helpers_asked;
};

static probe_t *state(agent_t *a);
static member_t *least_sent(agent_t *a, member_t *const *chosen, size_t n);
static void fill_gossip(const member_t *m, load_msg_t *load);
static void refute(agent_t *a, uint64_t now, const load_msg_t *claim);
static void send_probe(agent_t *a, const endpoint_t *to, const member_t *m,
		       bool relay);
static void ask_helpers(agent_t *a, const member_t *m);
static member_t *next_member(agent_t *a);
static void start_probe(agent_t *a, uint64_t now, probe_t *p);
static void suspect_member(agent_t *a, uint64_t now, member_t *m);
static void expire_suspicions(agent_t *a, uint64_t now);
static void answer(agent_t *a, const endpoint_t *to, const probe_msg_t *probe);
static void receive_answer(agent_t *a, uint64_t now, const probe_msg_t *probe);

/* Returns the last probe, allocated at the first call, or NULL. */
static probe_t *state(agent_t *a)
{
	if (!a->probe)
		a->probe = calloc(1, sizeof(*a->probe));
	return a->probe;
}

/*
 * Writes what is gossiped about a member: its load, or target, incarnation and
 * state only if it is suspected or dead.
 */
static void fill_gossip(const member_t *m, load_msg_t *load)
{
	member_fill_load(m, load);
	if (m->state != MEMBER_SUSPECT && m->state != MEMBER_DEAD)
		return;
	ct__load__init(load);
	load->target = m->id;
	load->incarnation = m->incarnation;
	load->state = m->state;
}

/*
 * The member whose state was sent least often since it changed. Skips this
 * agent's own target and the members in chosen. NULL: none is left.
 */
static member_t *least_sent(agent_t *a, member_t *const *chosen, size_t n)
{
	member_t *best = NULL;

	for (size_t i = 0; i < a->group.n; i++) {
		member_t *m = &a->group.members[i];
		bool excluded = m->id == a->target->id;

		if (!m->gossip_sends_left ||
		    (best && best->gossip_sends_left >= m->gossip_sends_left))
			continue;
		for (size_t j = 0; j < n; j++)
			excluded |= chosen[j] == m;
		if (!excluded)
			best = m;
	}
	return best;
}

/*
 * Writes the state changes that are still to be spread into at most GOSSIP_MAX
 * loads, and their addresses into list. Returns their number.
 */
size_t gossip_fill(agent_t *a, load_msg_t *loads, load_msg_t **list)
{
	member_t *chosen[GOSSIP_MAX];
	size_t n = 0;

	while (n < GOSSIP_MAX) {
		member_t *m = least_sent(a, chosen, n);

		if (!m)
			break;
		chosen[n] = m;
		fill_gossip(m, &loads[n]);
		list[n] = &loads[n];
		n++;
	}
	for (size_t i = 0; i < n; i++)
		chosen[i]->gossip_sends_left--;
	return n;
}

/*
 * Refutes a claim that this agent is suspected or dead: takes a higher
 * incarnation and announces it. A claim about an older incarnation is ignored.
 */
static void refute(agent_t *a, uint64_t now, const load_msg_t *claim)
{
	if (claim->state != MEMBER_SUSPECT && claim->state != MEMBER_DEAD)
		return;
	if (claim->incarnation < a->incarnation)
		return;
	a->incarnation = claim->incarnation + 1;
	counter_add(&a->counters, COUNTER_REFUTATIONS, 1);
	agent_audit(a, "suspicion-refuted", member_state_name(claim->state));
	membership_announce(a, now);
}

void gossip_receive(agent_t *a, uint64_t now, load_msg_t *const *rumours,
		    size_t n)
{
	for (size_t i = 0; i < n; i++) {
		if (rumours[i]->target == a->target->id) {
			refute(a, now, rumours[i]);
			continue;
		}
		group_apply_gossip(&a->group, now, rumours[i],
				   RECENTLY_HEARD_MS);
	}
}

static void send_probe(agent_t *a, const endpoint_t *to, const member_t *m,
		       bool relay)
{
	load_msg_t loads[GOSSIP_MAX + 1];
	load_msg_t *list[GOSSIP_MAX + 1];
	probe_msg_t msg;
	size_t n = gossip_fill(a, loads, list);

	ct__probe__init(&msg);
	/* A suspect learns of the suspicion, so that it can refute it. */
	if (m->state == MEMBER_SUSPECT || m->state == MEMBER_DEAD) {
		fill_gossip(m, &loads[n]);
		list[n] = &loads[n];
		n++;
	}
	msg.service = a->service->id;
	msg.target = m->id;
	msg.origin_ip = a->options.self.ip;
	msg.origin_port = a->options.self.port;
	msg.number = a->probe->number;
	msg.relay = relay;
	msg.rumours = list;
	msg.n_rumours = n;
	a->ops.send(a->ctx, to, MSG_PROBE, &msg);
}

/* Asks PROBE_HELPERS other members to probe the member as well. */
static void ask_helpers(agent_t *a, const member_t *m)
{
	size_t n = a->group.n;
	size_t first = agent_random(a) % n;
	int nasked = 0;

	for (size_t i = 0; i < n && nasked < PROBE_HELPERS; i++) {
		const member_t *helper = &a->group.members[(first + i) % n];

		if (helper == m || helper->id == a->target->id ||
		    (helper->state != MEMBER_ALIVE &&
		     helper->state != MEMBER_LEAVING))
			continue;
		send_probe(a, &helper->agent, m, true);
		nasked++;
	}
}

/*
 * Returns a member to probe, or NULL. It is chosen at random, so that not all
 * agents probe the same member at once.
 */
static member_t *next_member(agent_t *a)
{
	size_t n = a->group.n;
	size_t first = agent_random(a) % n;

	for (size_t i = 0; i < n; i++) {
		member_t *m = &a->group.members[(first + i) % n];

		if (m->id != a->target->id && m->state != MEMBER_LEFT)
			return m;
	}
	return NULL;
}

static void start_probe(agent_t *a, uint64_t now, probe_t *p)
{
	member_t *m = next_member(a);

	p->pending = false;
	p->started_ms = now;
	if (!m)
		return;
	p->pending = true;
	p->helpers_asked = false;
	p->target = m->id;
	p->number++;
	send_probe(a, &m->agent, m, false);
}

static void suspect_member(agent_t *a, uint64_t now, member_t *m)
{
	if (m->state == MEMBER_SUSPECT || m->state == MEMBER_DEAD)
		return;
	counter_add(&a->counters, COUNTER_SUSPICIONS, 1);
	group_suspect(&a->group, now, m);
	agent_audit(a, "member-suspected", "probes unanswered");
	membership_announce(a, now);
}

static void expire_suspicions(agent_t *a, uint64_t now)
{
	for (size_t i = 0; i < a->group.n; i++) {
		member_t *m = &a->group.members[i];

		if (m->state != MEMBER_SUSPECT ||
		    m->suspected_since_ms + SUSPICION_TIMEOUT_MS > now)
			continue;
		m->state = MEMBER_DEAD;
		m->gossip_sends_left = GOSSIP_SENDS;
		counter_add(&a->counters, COUNTER_MEMBERS_DEAD, 1);
		agent_audit(a, "member-dead", "suspicion was not refuted");
	}
}

void probes_tick(agent_t *a, uint64_t now)
{
	probe_t *p = state(a);
	member_t *m;

	if (!p)
		return;
	/* After a pause of this process missing answers are no evidence. */
	if (a->last_tick_ms && now > a->last_tick_ms + PAUSE_MS) {
		group_restart_suspicions(&a->group, now);
		p->pending = false;
	}
	expire_suspicions(a, now);
	m = p->pending ? group_member(&a->group, p->target) : NULL;
	if (m && !p->helpers_asked && now >= p->started_ms + PROBE_TIMEOUT_MS) {
		p->helpers_asked = true;
		send_probe(a, &m->agent, m, false);
		ask_helpers(a, m);
	}
	if (now < p->started_ms + PROBE_INTERVAL_MS)
		return;
	if (m)
		suspect_member(a, now, m);
	start_probe(a, now, p);
}

static void answer(agent_t *a, const endpoint_t *to, const probe_msg_t *probe)
{
	load_msg_t loads[GOSSIP_MAX];
	load_msg_t *list[GOSSIP_MAX];
	probe_msg_t msg;

	ct__probe__init(&msg);
	msg.service = probe->service;
	msg.target = probe->target;
	msg.origin_ip = probe->origin_ip;
	msg.origin_port = probe->origin_port;
	msg.number = probe->number;
	msg.answer = true;
	msg.incarnation = a->incarnation;
	msg.n_rumours = gossip_fill(a, loads, list);
	msg.rumours = list;
	a->ops.send(a->ctx, to, MSG_PROBE, &msg);
}

static void receive_answer(agent_t *a, uint64_t now, const probe_msg_t *probe)
{
	endpoint_t origin = { probe->origin_ip, (uint16_t)probe->origin_port };
	member_t *m = group_member(&a->group, probe->target);
	probe_msg_t msg;

	if (!m)
		return;
	group_probe_answered(&a->group, now, m, probe->incarnation);
	if (endpoint_equal(&origin, &a->options.self)) {
		if (a->probe && a->probe->target == m->id &&
		    a->probe->number == probe->number)
			a->probe->pending = false;
		return;
	}
	/* The probe was relayed for another member: forward the answer. */
	ct__probe__init(&msg);
	msg.service = probe->service;
	msg.target = probe->target;
	msg.origin_ip = probe->origin_ip;
	msg.origin_port = probe->origin_port;
	msg.number = probe->number;
	msg.answer = true;
	msg.incarnation = probe->incarnation;
	if (group_has_agent(&a->group, &origin))
		a->ops.send(a->ctx, &origin, MSG_PROBE, &msg);
}

void membership_receive_probe(agent_t *a, uint64_t now, const endpoint_t *from,
			      const probe_msg_t *probe)
{
	member_t *m;

	if (!a->service || probe->service != a->service->id) {
		counter_add(&a->counters, COUNTER_MESSAGE_UNEXPECTED, 1);
		return;
	}
	if (!a->configured &&
	    mechanism_disabled(a->options.off, MECHANISM_LINGER))
		return;
	gossip_receive(a, now, probe->rumours, probe->n_rumours);
	if (probe->answer) {
		receive_answer(a, now, probe);
		return;
	}
	if (probe->target == a->target->id) {
		answer(a, from, probe);
		return;
	}
	m = group_member(&a->group, probe->target);
	if (probe->relay && m && state(a)) {
		probe_msg_t msg = *probe;

		msg.relay = false;
		msg.n_rumours = 0;
		msg.rumours = NULL;
		a->ops.send(a->ctx, &m->agent, MSG_PROBE, &msg);
	}
}
