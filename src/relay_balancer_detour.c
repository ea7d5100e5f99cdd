#include "relay_balancer_int.h"

/*
 * What a balancer does with packets for a zone that it does not reach; see
 * zone_path.h for the load pattern and the decisions.
 *
 * A caller that sends a request again suggests that its packets do not arrive;
 * a hello finds out whether the agent answers at all. While it does not, the
 * flow's packets go a second way, too: as a look-up whose chain begins at an
 * agent in a third zone. The server ignores what it gets twice. Answers go from
 * the agent straight to the caller and need no detour.
 */

/* An agent that was heard from within this time can be reached: the sum of a
 * round trip and the wait of a host for its processor quota. */
#define REACHED_MS 130
/* The same for an agent that passes packets on: all report their load at least
 * each second. */
#define HEARD_MS 1500
/* Most agents of a zone that are asked to find out whether it is cut off. */
#define PROBES_MAX 8
/* A detour that has brought no answer after this time was in vain. */
#define VAIN_MS 350
/* Interval between samples of the members. */
#define SAMPLE_INTERVAL_MS 100

struct zone_state {
	zone_path_t path;
	bool local;	   /* the balancer's own zone */
	uint64_t heard_ms; /* last message of an agent of the zone */
	/* Of the current sample: */
	zone_sample_t sample;
	unsigned asked;		/* agents that have not answered a hello yet */
	uint64_t unanswered_ms; /* last hello to one of the silent agents */
};

GHashTable *relay_zones_new(void)
{
	return g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

zone_state_t *relay_zone_find(relay_balancer_t *b, const char *zone)
{
	zone_state_t *z = g_hash_table_lookup(b->zones, zone);

	if (!z) {
		z = g_new0(zone_state_t, 1);
		g_hash_table_insert(b->zones, (gpointer)zone, z);
	}
	return z;
}

static void sample_member(relay_balancer_t *b, const relay_member_t *m)
{
	zone_state_t *z = m->zone_state;

	z->local = m->local;
	if (z->heard_ms < m->last_heard_ms)
		z->heard_ms = m->last_heard_ms;
	if (m->local || m->state == ENTRY_GONE)
		return;
	z->sample.stopping |= m->report.stopping;
	z->asked += m->unanswered_since_ms != 0;
	if (!relay_member_unreached(b, m))
		return;
	z->sample.silent++;
	if (z->unanswered_ms < m->unanswered_since_ms)
		z->unanswered_ms = m->unanswered_since_ms;
}

/* Asks further agents of a zone once one is silent and none was heard from
 * since it was asked: usually they report too rarely to tell a cut soon. */
static void probe_zones(relay_balancer_t *b)
{
	list_each(node, &b->members)
	{
		relay_member_t *m = list_entry(node, relay_member_t, node);
		zone_state_t *z = m->zone_state;

		if (!z->sample.silent || z->heard_ms >= z->unanswered_ms ||
		    z->asked >= PROBES_MAX || m->state == ENTRY_GONE ||
		    m->unanswered_since_ms)
			continue;
		z->asked++;
		relay_member_hello(b, m);
	}
}

/* Last message of an agent in another zone. */
static uint64_t heard_elsewhere_ms(const relay_balancer_t *b,
				   const zone_state_t *zone)
{
	GHashTableIter iter;
	gpointer value;
	uint64_t heard_ms = 0;

	g_hash_table_iter_init(&iter, b->zones);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const zone_state_t *z = value;

		if (z != zone && z->heard_ms > heard_ms)
			heard_ms = z->heard_ms;
	}
	return heard_ms;
}

/* True when a zone is reached besides the balancer's own: its agents can pass
 * packets on. */
static bool reaches_third(relay_balancer_t *b)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, b->zones);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const zone_state_t *z = value;

		if (!z->local && !z->path.cut &&
		    b->now < z->heard_ms + HEARD_MS)
			return true;
	}
	return false;
}

void relay_zones_tick(relay_balancer_t *b)
{
	GHashTableIter iter;
	gpointer name, value;

	if (b->now < b->zones_sampled_ms + SAMPLE_INTERVAL_MS)
		return;
	b->zones_sampled_ms = b->now;
	list_each(node, &b->members)
		sample_member(b, list_entry(node, relay_member_t, node));
	probe_zones(b);
	g_hash_table_iter_init(&iter, b->zones);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		zone_state_t *z = value;
		zone_sample_t s = z->sample;

		s.answered = z->heard_ms >= z->unanswered_ms;
		s.heard_elsewhere_ms = heard_elsewhere_ms(b, z);
		if (zone_path_update(&z->path, b->now, &s))
			event_log(EVENT_ZONE,
				  "\"zone\":\"%s\",\"state\":\"%s\","
				  "\"silent\":%u,\"heard_ms_ago\":%llu",
				  (const char *)name,
				  z->path.cut ? "cut off" : "reached again",
				  s.silent,
				  (unsigned long long)(b->now - z->heard_ms));
		z->sample = (zone_sample_t){ 0 };
		z->asked = 0;
		z->unanswered_ms = 0;
	}
	b->reaches_third = reaches_third(b);
}

bool relay_zone_cut(const relay_member_t *m)
{
	return m->zone_state->path.cut && relay_mechanism_on(RELAY_DETOURS);
}

/* True when the agent can pass a packet on to a holder in another zone. */
static bool may_pass_on(const relay_balancer_t *b, const relay_member_t *m,
			const relay_member_t *holder)
{
	return !m->local && m->zone != holder->zone &&
	       m->state == ENTRY_READY && !m->report.stopping &&
	       !m->unanswered_since_ms && b->now < m->last_heard_ms + HEARD_MS;
}

/* Returns an agent in a third zone, the same one for all packets of a flow
 * while the members stay the same; NULL: there is none. */
static const relay_member_t *find_third(const relay_balancer_t *b,
					const relay_flow_t *f,
					const relay_member_t *holder)
{
	const relay_member_t *best = NULL;
	uint64_t best_rank = 0;

	list_each(node, &b->members)
	{
		const relay_member_t *m =
			list_entry(node, relay_member_t, node);
		uint64_t rank;

		if (!may_pass_on(b, m, holder))
			continue;
		rank = flow_key_hash(&f->node.key, m->agent);
		if (best && rank <= best_rank)
			continue;
		best = m;
		best_rank = rank;
	}
	return best;
}

static void send_detour(relay_balancer_t *b, relay_flow_t *f,
			const relay_packet_t *p, const relay_member_t *holder,
			const relay_member_t *third)
{
	uint32_t agent = holder->agent;
	relay_msg_t msg;

	if (p->payload_len && !f->detoured_ms) {
		f->detoured_ms = b->now;
		f->detoured_ack = p->ack;
	}
	relay_msg_init(&msg, RELAY_LOOKUP);
	msg.service = (char *)holder->service;
	msg.balancer = b->options.self;
	msg.packet.data = p->data;
	msg.packet.len = p->len;
	msg.candidates = &agent;
	msg.n_candidates = 1;
	counter_add(&b->counters, COUNTER_DETOURS, 1);
	b->ops.send_message(b->ctx, third->agent, &msg);
}

/* Notes what the packet shows of the flow's detour. */
static void judge_detour(relay_balancer_t *b, relay_flow_t *f,
			 const relay_packet_t *p, const relay_member_t *holder,
			 bool repeated)
{
	bool answered =
		(p->flags & RELAY_ACK) && seq_diff(p->ack, f->detoured_ack) > 0;

	if (!f->detoured_ms ||
	    (!answered && (!repeated || b->now < f->detoured_ms + VAIN_MS)))
		return;
	f->detoured_ms = 0;
	zone_path_note_detour(&holder->zone_state->path, answered);
}

/* Notes the packet. True when the caller has sent the same data before. */
static bool is_repeated(relay_flow_t *f, const relay_packet_t *p)
{
	bool repeated = f->sent_data && p->seq == f->data_seq;

	if (!p->payload_len)
		return false;
	f->sent_data = true;
	f->data_seq = p->seq;
	return repeated;
}

bool relay_zone_lost(const relay_balancer_t *b, const relay_member_t *holder)
{
	return relay_zone_cut(holder) &&
	       zone_path_lost(&holder->zone_state->path, b->reaches_third);
}

bool relay_detour_packet(relay_balancer_t *b, const route_t *route,
			 relay_flow_t *f, const relay_packet_t *p)
{
	relay_member_t *holder = relay_member_find(b, f->agent);
	bool repeated = is_repeated(f, p);
	const relay_member_t *third;

	if (!holder || holder->local || !relay_mechanism_on(RELAY_DETOURS))
		return true;
	judge_detour(b, f, p, holder, repeated);
	if (!relay_member_unreached(b, holder) && !relay_zone_cut(holder)) {
		if (repeated && !holder->unanswered_since_ms &&
		    b->now >= holder->last_heard_ms + REACHED_MS)
			relay_member_hello(b, holder);
		return true;
	}
	if (route->idempotent && p->payload_len && relay_zone_lost(b, holder)) {
		relay_flow_reset(b, f, "zone is cut off");
		return false;
	}
	third = find_third(b, f, holder);
	if (third)
		send_detour(b, f, p, holder, third);
	return true;
}
