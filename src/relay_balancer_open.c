#include "relay_balancer_int.h"
#include <math.h>
#include <string.h>

/* Time-out of an offer, after which another agent gets it: a round trip between
 * availability zones plus 100 ms in which the host may wait for its CPU
 * quota. */
#define OFFER_TIMEOUT_MS 130
/* Age of an open at which it is removed: its caller has given up. */
#define OPEN_TIMEOUT_MS (RELAY_OPEN_LIFE_MS + 100)
/* Age of an open at which it is given up: its caller is told before it gives up
 * by itself. */
#define OPEN_GIVE_UP_MS 1300
/* Offers that all candidates refuse; then the open may wait at an agent. */
#define REFUSALS_MAX 1
/* Agents whose queue is tried, and the shortest wait that is worth it. */
#define QUEUE_OFFERS_MAX 2
#define QUEUE_MIN_MS	 50
/* Interval between attempts while no target takes opens. */
#define TARGET_RETRY_MS 100
/* Added to a member's unreported_opens for an offer, in opens. */
#define OPENS_PER_OFFER 1.0
/* Half-life of unreported_opens, the opens offered since the last load report.
 */
#define UNREPORTED_HALF_LIFE_MS 300
/* Age from which a load report is ignored, as if there were none. Agents send a
 * report each second, and the restart of an agent takes about one second. */
#define REPORT_EXPIRY_MS 3000
/* Interval of probes to a member whose server is down. A probe is an open that
 * is offered to the member together with further candidates. */
#define PROBE_INTERVAL_MS 1000
/* Interval of probes to a member whose server is stalled: it may just have
 * crashed, which its agent concludes from three unanswered opens. */
#define STALLED_PROBE_INTERVAL_MS 250

/* Age up to which a report counts that a cold server may get no more opens:
 * the first of them leave the window within a second, one after the other. */
#define WARMUP_FULL_MS 250

typedef struct open_filter {
	const relay_balancer_t *b;
	const relay_flow_t *f;
	const relay_group_t *group;
} open_filter_t;

static const relay_load_report_t *fresh_report(const relay_balancer_t *b,
					       const relay_member_t *m);
static double decayed_unreported_opens(const relay_balancer_t *b,
				       const relay_member_t *m);
static bool takes_opens(const relay_balancer_t *b, const relay_member_t *m);
static bool was_tried(const relay_flow_t *f, uint32_t agent);
static void fill_placement_member(const relay_balancer_t *b,
				  const relay_member_t *m,
				  placement_member_t *out);
static relay_member_t *member_to_probe(relay_balancer_t *b,
				       const relay_flow_t *f);
static size_t select_candidates(relay_balancer_t *b, const relay_flow_t *f,
				relay_member_t **out, double *costs,
				placement_aggregate_t *typical);
static int may_take_open(const void *ctx, uint32_t position);
static bool send_offer(relay_balancer_t *b, relay_flow_t *f);
static bool place_open(relay_balancer_t *b, relay_flow_t *f);
static void send_offer_to(relay_balancer_t *b, relay_flow_t *f,
			  relay_member_t **chosen, const double *costs,
			  size_t n, const placement_aggregate_t *typical,
			  uint32_t queue_ms);
static void refuse_open(relay_balancer_t *b, relay_flow_t *f);

static const relay_load_report_t *fresh_report(const relay_balancer_t *b,
					       const relay_member_t *m)
{
	static const relay_load_report_t no_report;

	return b->now < m->report.reported_ms + REPORT_EXPIRY_MS ? &m->report
								 : &no_report;
}

static double decayed_unreported_opens(const relay_balancer_t *b,
				       const relay_member_t *m)
{
	return m->unreported_opens *
	       exp2(-(double)(b->now - m->unreported_opens_ms) /
		    UNREPORTED_HALF_LIFE_MS);
}

static bool takes_opens(const relay_balancer_t *b, const relay_member_t *m)
{
	const relay_load_report_t *report = fresh_report(b, m);

	return m->state == ENTRY_READY && !m->evacuated && !report->evacuated &&
	       !report->stopping && report->down_ms == 0 &&
	       m->avoided_until_ms <= b->now && !relay_zone_cut(m);
}

static bool was_tried(const relay_flow_t *f, uint32_t agent)
{
	for (unsigned i = 0; i < f->ntried; i++)
		if (f->tried[i] == agent)
			return true;
	return false;
}

static void fill_placement_member(const relay_balancer_t *b,
				  const relay_member_t *m,
				  placement_member_t *out)
{
	const relay_load_report_t *report = fresh_report(b, m);

	out->local = m->local;
	out->has_report = report->reported_ms != 0;
	out->slots = m->slots;
	out->avg_in_flight = report->avg_in_flight;
	out->in_flight = report->in_flight;
	out->report_age_ms = (double)(b->now - report->reported_ms);
	out->flows = report->flows;
	out->paced_slots = report->paced_slots;
	out->failure_ratio = report->failure_ratio;
	out->too_fast_ratio = report->too_fast_ratio;
	out->service_ms = report->service_ms;
	out->unreported_opens = decayed_unreported_opens(b, m);
}

/* Returns a member that is down or stalled and due for a probe, and notes the
 * time of the probe; NULL: there is none. */
static relay_member_t *member_to_probe(relay_balancer_t *b,
				       const relay_flow_t *f)
{
	relay_group_t *group = relay_group_find(b, f->service);

	for (guint i = 0; group && i < group->members->len; i++) {
		relay_member_t *m = g_ptr_array_index(group->members, i);
		const relay_load_report_t *report = fresh_report(b, m);

		if (m->state != ENTRY_READY || m->evacuated ||
		    report->evacuated || report->stopping ||
		    (report->down_ms == 0 && report->stalled_ms == 0) ||
		    b->now < m->last_probe_ms +
				     (report->down_ms
					      ? PROBE_INTERVAL_MS
					      : STALLED_PROBE_INTERVAL_MS) ||
		    m->avoided_until_ms > b->now || was_tried(f, m->agent))
			continue;
		m->last_probe_ms = b->now;
		return m;
	}
	return NULL;
}

/* True for a member that can take the open and would answer in time. */
static int may_take_open(const void *ctx, uint32_t position)
{
	const open_filter_t *a = ctx;
	const relay_member_t *m =
		g_ptr_array_index(a->group->members, position);
	placement_member_t seen;

	if (!takes_opens(a->b, m) || was_tried(a->f, m->agent) ||
	    (m->report.warmup_full &&
	     a->b->now < m->report.reported_ms + WARMUP_FULL_MS))
		return 0;
	fill_placement_member(a->b, m, &seen);
	return !placement_too_slow(&seen, a->f->max_wait_ms);
}

/*
 * Writes up to OFFER_CANDIDATES members for an open to `out`: a member to be
 * probed, if any, then those with the lowest costs. Their costs in ms go to
 * `costs` (0 for a probed member), the aggregate of the members compared to
 * `typical`. Returns the number of members.
 */
static size_t select_candidates(relay_balancer_t *b, const relay_flow_t *f,
				relay_member_t **out, double *costs,
				placement_aggregate_t *typical)
{
	relay_group_t *group = relay_group_find(b, f->service);
	open_filter_t filter = { b, f, group };
	uint32_t ranked[PLACEMENT_CHOICES], order[PLACEMENT_CHOICES];
	placement_member_t seen[PLACEMENT_CHOICES];
	double ranked_costs[PLACEMENT_CHOICES];
	relay_member_t *probed = member_to_probe(b, f);
	size_t n, kept = 0;

	if (!group)
		return 0;
	if (probed) {
		costs[kept] = 0;
		out[kept++] = probed;
	}
	n = relay_group_rank(group, &f->node.key, ranked, PLACEMENT_CHOICES,
			     may_take_open, &filter);
	for (size_t i = 0; i < n; i++)
		fill_placement_member(
			b, g_ptr_array_index(group->members, ranked[i]),
			&seen[i]);
	*typical = placement_aggregate(seen, n);
	n = placement_order(seen, n, typical, order, ranked_costs,
			    OFFER_CANDIDATES);
	for (size_t i = 0; i < n && kept < OFFER_CANDIDATES; i++) {
		relay_member_t *m =
			g_ptr_array_index(group->members, ranked[order[i]]);

		if (m == probed)
			continue;
		costs[kept] = ranked_costs[i];
		out[kept++] = m;
	}
	return kept;
}

/* Offers an open to its best candidate, together with further ones. Returns
 * false if there is none, or if the open was offered OFFERS_MAX times. */
static bool send_offer(relay_balancer_t *b, relay_flow_t *f)
{
	relay_member_t *chosen[OFFER_CANDIDATES];
	double costs[OFFER_CANDIDATES];
	placement_aggregate_t typical;
	size_t n;

	if (f->offers >= OFFERS_MAX)
		return false;
	n = select_candidates(b, f, chosen, costs, &typical);
	if (n == 0)
		return false;
	send_offer_to(b, f, chosen, costs, n, &typical, 0);
	return true;
}

/* True for a member that takes opens, however long they wait. */
static int takes_queued_opens(const void *ctx, uint32_t position)
{
	const open_filter_t *a = ctx;

	return takes_opens(a->b,
			   g_ptr_array_index(a->group->members, position));
}

/* The member of the first ranks that would answer the open first, or NULL. */
static relay_member_t *shortest_queue(relay_balancer_t *b,
				      const relay_flow_t *f, double *cost,
				      placement_aggregate_t *typical)
{
	relay_group_t *group = relay_group_find(b, f->service);
	open_filter_t filter = { b, f, group };
	uint32_t ranked[PLACEMENT_CHOICES];
	placement_member_t seen[PLACEMENT_CHOICES];
	relay_member_t *best = NULL;
	size_t n;

	if (!group)
		return NULL;
	n = relay_group_rank(group, &f->node.key, ranked, PLACEMENT_CHOICES,
			     takes_queued_opens, &filter);
	for (size_t i = 0; i < n; i++)
		fill_placement_member(
			b, g_ptr_array_index(group->members, ranked[i]),
			&seen[i]);
	*typical = placement_aggregate(seen, n);
	for (size_t i = 0; i < n; i++) {
		relay_member_t *m =
			g_ptr_array_index(group->members, ranked[i]);
		double ms = placement_queue_ms(&seen[i], typical);

		if ((f->queue_offers && was_tried(f, m->agent)) ||
		    (best && ms >= *cost))
			continue;
		best = m;
		*cost = ms;
	}
	return best;
}

/* True when a target of the service is published as ready, in a zone that is
 * not evacuated. */
static bool has_ready_target(const relay_balancer_t *b, const relay_flow_t *f)
{
	const relay_group_t *group = relay_group_find(b, f->service);

	for (guint i = 0; group && i < group->members->len; i++) {
		const relay_member_t *m = g_ptr_array_index(group->members, i);

		if (m->state == ENTRY_READY && !m->evacuated)
			return true;
	}
	return false;
}

/*
 * Lets an open wait that no agent accepts at once: in the queue of the agent
 * that is expected to answer first or, while all agents stop, restart or are
 * silent, or the targets are not all known yet, here. Returns false when
 * waiting is of no use.
 */
static bool wait_for_room(relay_balancer_t *b, relay_flow_t *f)
{
	placement_aggregate_t typical;
	relay_member_t *m;
	double cost = 0;

	if (b->now + QUEUE_MIN_MS > f->give_up_ms)
		return false;
	m = shortest_queue(b, f, &cost, &typical);
	if (!m) {
		f->waiting_target = !f->queue_offers &&
				    (has_ready_target(b, f) ||
				     directory_settling(b->directory, b->now) ||
				     directory_hiding_ms(b->directory, b->now));
		f->offered_ms = b->now;
		return f->waiting_target;
	}
	if (f->queue_offers >= QUEUE_OFFERS_MAX ||
	    f->ntried == sizeof(f->tried) / sizeof(f->tried[0]))
		return false;
	f->queue_offers++;
	send_offer_to(b, f, &m, &cost, 1, &typical,
		      (uint32_t)(f->give_up_ms - b->now));
	return true;
}

/* True when the caller of the open has given up. */
static bool is_given_up(const relay_balancer_t *b, const relay_flow_t *f)
{
	return b->now >= f->sent_ms + RELAY_OPEN_LIFE_MS;
}

/* Offers an open, or lets it wait. Returns false when it is to be refused. */
static bool place_open(relay_balancer_t *b, relay_flow_t *f)
{
	f->waiting_target = false;
	if (is_given_up(b, f))
		return false;
	if (f->refusals < REFUSALS_MAX && !f->queue_offers && send_offer(b, f))
		return true;
	return wait_for_room(b, f);
}

/*
 * Sends an offer to the first of n members, with the others as further
 * candidates. queue_ms is the longest time that the open may wait at the agent;
 * 0: it is to be accepted at once or refused.
 */
static void send_offer_to(relay_balancer_t *b, relay_flow_t *f,
			  relay_member_t **chosen, const double *costs,
			  size_t n, const placement_aggregate_t *typical,
			  uint32_t queue_ms)
{
	uint32_t further[OFFER_CANDIDATES], further_ms[OFFER_CANDIDATES];
	char text[FLOW_TEXT_SIZE], agent[ENDPOINT_TEXT_SIZE];
	const relay_load_report_t *report;
	relay_evacuation_t evacuation;
	relay_msg_t msg;

	relay_msg_init(&msg, RELAY_OFFER);
	msg.service = (char *)f->service;
	msg.balancer = b->options.self;
	msg.packet.data = f->syn;
	msg.packet.len = f->syn_len;
	for (size_t i = 1; i < n; i++) {
		further[i - 1] = chosen[i]->agent;
		further_ms[i - 1] = (uint32_t)costs[i] + 1;
	}
	msg.candidates = further;
	msg.n_candidates = n - 1;
	msg.candidate_ms = further_ms;
	msg.n_candidate_ms = n - 1;
	msg.max_wait_ms = f->max_wait_ms;
	msg.slots = chosen[0]->slots;
	if (typical->has_service_ms)
		msg.typical_us = (uint32_t)(typical->service_ms * 1000);
	msg.queue_ms = queue_ms;
	msg.open_age_ms = (uint32_t)(b->now - f->sent_ms);
	msg.priority_percent = f->priority;
	msg.objective_ms = f->objective_ms;
	msg.evacuation = relay_evacuation_tell(b, chosen[0], &evacuation);
	relay_limits_tell_warmup(b, chosen[0], &msg);
	f->tried[f->ntried++] = chosen[0]->agent;
	f->offers++;
	f->offered_ms = b->now;
	chosen[0]->unreported_opens =
		decayed_unreported_opens(b, chosen[0]) + OPENS_PER_OFFER;
	chosen[0]->unreported_opens_ms = b->now;
	chosen[0]->last_offer_ms = b->now;
	report = fresh_report(b, chosen[0]);
	event_log(EVENT_OPEN,
		  "\"flow\":\"%s\",\"seq\":%u,\"service\":\"%s\","
		  "\"agent\":\"%s\",\"behind\":%zu,\"offer\":%u,"
		  "\"work\":%.2f,\"service_ms\":%.1f,\"failed\":%.2f,"
		  "\"hasty\":%.2f,\"load_age_ms\":%llu,"
		  "\"queue_ms\":%u,\"version\":%llu",
		  flow_key_format(&f->node.key, text), f->seq, f->service,
		  ipv4_format(chosen[0]->agent, agent), n - 1, f->offers,
		  report->avg_in_flight, report->service_ms,
		  report->failure_ratio, report->too_fast_ratio,
		  (unsigned long long)(b->now - report->reported_ms), queue_ms,
		  (unsigned long long)relay_balancer_route_version(b));
	counter_add(&b->counters, COUNTER_MESSAGES_OUT, 1);
	b->ops.send_message(b->ctx, chosen[0]->agent, &msg);
}

static const char *refusal_reason(const relay_balancer_t *b,
				  const relay_flow_t *f)
{
	const relay_group_t *group = relay_group_find(b, f->service);
	bool evacuated = false;

	if (f->offers)
		return "refused by all agents asked";
	for (guint i = 0; group && i < group->members->len; i++) {
		const relay_member_t *m = g_ptr_array_index(group->members, i);

		if (takes_opens(b, m))
			return "no target would answer in time";
		evacuated |= m->evacuated && m->state == ENTRY_READY;
	}
	evacuated &= !has_ready_target(b, f);
	return evacuated ? "all targets are in evacuated zones"
			 : "no target takes opens";
}

/* Notes a copy of the open. The copies before it may have gone elsewhere. */
static void note_copy(relay_flow_t *f, const relay_packet_t *p)
{
	f->copy_missed |= p->copy_age_ms > f->next_copy_ms;
	if (p->copy_age_ms >= f->next_copy_ms)
		f->next_copy_ms = p->next_copy_ms;
}

/* True when a copy may have gone through another balancer, which may have
 * opened the flow. */
static bool may_be_open(const relay_balancer_t *b, const relay_flow_t *f)
{
	return f->copy_missed ||
	       (f->next_copy_ms && b->now >= f->sent_ms + f->next_copy_ms);
}

/*
 * Resets the caller of an open that can be offered to no further agent. The
 * reset means "not run", which must be true: if an offer was not answered, the
 * agent's server may have taken the open, and no reset is sent; the caller then
 * times out. The same holds when another balancer may have opened the flow.
 */
static void refuse_open(relay_balancer_t *b, relay_flow_t *f)
{
	if (is_given_up(b, f) ||
	    (may_be_open(b, f) && relay_mechanism_on(RELAY_TRUE_REFUSAL))) {
		counter_add(&b->counters, COUNTER_OPENS_LEFT, 1);
		flow_index_remove(b->flows, &f->node);
		return;
	}
	if (f->offer_unanswered && relay_mechanism_on(RELAY_TRUE_REFUSAL))
		return;
	counter_add(&b->counters, COUNTER_OPENS_REFUSED, 1);
	relay_flow_reset(b, f, refusal_reason(b, f));
}

bool relay_open_is_stale(relay_balancer_t *b, const relay_packet_t *p)
{
	bool stale = p->open_age_ms >= RELAY_OPEN_LIFE_MS;

	counter_add(&b->counters, COUNTER_OPENS_STALE, stale);
	return stale;
}

/* Part of the longest wait that is left to an open of an age; 1 when there is
 * none, since 0 means no limit. */
static uint32_t remaining_wait_ms(double max_wait_ms, uint32_t age_ms)
{
	if (max_wait_ms <= 0)
		return 0;
	return max_wait_ms > age_ms + 1 ? (uint32_t)max_wait_ms - age_ms : 1;
}

/* Repeats the offer of an open that waits at an agent: if the agent has
 * restarted, it knows nothing of the open. One whose zone has been evacuated
 * meanwhile is told, and refuses the open if it still has it. */
static void resend_queued(relay_balancer_t *b, relay_flow_t *f)
{
	relay_member_t *m = relay_member_find(b, f->tried[f->ntried - 1]);
	placement_aggregate_t typical = { 0 };
	double cost = 0;

	if (!m || b->now + QUEUE_MIN_MS > f->give_up_ms)
		return;
	if (m->evacuated) {
		relay_member_hello(b, m);
		return;
	}
	f->ntried--;
	f->offers--;
	send_offer_to(b, f, &m, &cost, 1, &typical,
		      (uint32_t)(f->give_up_ms - b->now));
}

/* True for a copy of the flow's open. A balancer may know the flow by later
 * packets only, which came to it before this copy did: the caller sent the open
 * before them. */
static bool is_copy(const relay_balancer_t *b, const relay_flow_t *f,
		    const relay_packet_t *p)
{
	return f->syn_len ? f->seq == p->seq
			  : b->now - p->open_age_ms < f->node.added_ms;
}

void relay_open_packet(relay_balancer_t *b, const route_t *route,
		       relay_packet_t *p)
{
	relay_flow_t *f = relay_flow_find(b, &p->key);
	double priority;

	if (f && is_copy(b, f, p)) {
		/* Retransmitted SYN: the holder answers it again, or the open
		 * is offered to another agent. */
		counter_add(&b->counters, COUNTER_OPENS_RETRIED, 1);
		note_copy(f, p);
		if (f->phase == PHASE_OPENING && f->queued) {
			resend_queued(b, f);
		} else if (f->phase == PHASE_OPENING && f->ntried &&
			   !f->waiting_target) {
			f->offer_unanswered = true;
			if (!place_open(b, f))
				refuse_open(b, f);
		} else if (f->phase == PHASE_KNOWN) {
			relay_flow_send(b, f, p, 0);
		}
		return;
	}
	if (f)
		flow_index_remove(b->flows, &f->node);
	f = relay_flow_get(b, &p->key);
	if (!f || p->len > sizeof(f->syn))
		return;
	counter_add(&b->counters, COUNTER_OPENS, 1);
	f->seq = p->seq;
	f->first_offer_ms = b->now;
	f->sent_ms = b->now - p->open_age_ms;
	note_copy(f, p);
	f->service = g_intern_string(
		route_select_service(route, flow_key_hash(&p->key, 0)));
	f->tag = service_tag(f->service);
	priority = route_relative_priority(b->routes, route, f->service);
	f->priority = (uint32_t)(priority * 100);
	f->objective_ms =
		remaining_wait_ms(route->objective_ms, p->open_age_ms);
	f->max_wait_ms = remaining_wait_ms(
		placement_max_wait(route->objective_ms, priority),
		p->open_age_ms);
	f->give_up_ms = f->sent_ms + OPEN_GIVE_UP_MS;
	b->options.format->annotate(p, 0, 0);
	memcpy(f->syn, p->data, p->len);
	f->syn_len = (uint8_t)p->len;
	relay_flow_set_phase(b, f, PHASE_OPENING);
	if (!place_open(b, f))
		refuse_open(b, f);
}

void relay_open_taken(relay_balancer_t *b, uint32_t from,
		      const relay_msg_t *msg)
{
	flow_key_t key = relay_msg_key(msg);
	relay_flow_t *f = relay_flow_get(b, &key);
	char text[FLOW_TEXT_SIZE], agent[ENDPOINT_TEXT_SIZE];
	bool confirmed;

	if (!f || (f->phase == PHASE_CLOSING && f->agent == from))
		return;
	if (f->phase == PHASE_KNOWN && f->agent && f->agent != from &&
	    relay_mechanism_on(RELAY_HOLDER_PRECEDENCE))
		return; /* a second server took the open: the first counts as
			 * the holder until it returns a packet */
	if (f->first_offer_ms)
		histogram_add(&b->open_ms, b->now - f->first_offer_ms);
	event_log(EVENT_TAKEN,
		  "\"flow\":\"%s\",\"seq\":%u,\"agent\":\"%s\",\"ms\":%llu",
		  flow_key_format(&key, text), f->seq, ipv4_format(from, agent),
		  (unsigned long long)(b->now - f->first_offer_ms));
	counter_add(&b->counters, COUNTER_OPENS_ACCEPTED, 1);
	/* The agent repeats this for each copy of the open. */
	confirmed = f->confirmed && f->agent == from &&
		    f->server_isn == msg->server_isn;
	f->server_isn = msg->server_isn;
	relay_flow_set_holder(b, f, from, msg->service);
	f->confirmed = confirmed;
	if (f->ack)
		relay_flow_note_ack(f, f->ack);
}

void relay_open_refused(relay_balancer_t *b, uint32_t from,
			const relay_msg_t *msg)
{
	flow_key_t key = relay_msg_key(msg);
	relay_flow_t *f = relay_flow_find(b, &key);

	if (!f || f->phase != PHASE_OPENING)
		return;
	/* The answer to a repeated or earlier offer: the open is at another
	 * agent now. */
	if (was_tried(f, from) && f->tried[f->ntried - 1] != from)
		return;
	if (!was_tried(f, from) &&
	    f->ntried < sizeof(f->tried) / sizeof(f->tried[0]))
		f->tried[f->ntried++] = from;
	f->refusals++;
	f->queued = false;
	if (!place_open(b, f))
		refuse_open(b, f);
}

void relay_open_queued(relay_balancer_t *b, uint32_t from,
		       const relay_msg_t *msg)
{
	flow_key_t key = relay_msg_key(msg);
	relay_flow_t *f = relay_flow_find(b, &key);

	if (f && f->phase == PHASE_OPENING && f->ntried &&
	    f->tried[f->ntried - 1] == from)
		f->queued = true;
}

void relay_open_tick(relay_balancer_t *b, relay_flow_t *f)
{
	relay_member_t *m;
	char text[FLOW_TEXT_SIZE], agent[ENDPOINT_TEXT_SIZE];

	if (b->now >= f->sent_ms + OPEN_TIMEOUT_MS) {
		flow_index_remove(b->flows, &f->node);
		return;
	}
	if (f->waiting_target) {
		if (b->now >= f->offered_ms + TARGET_RETRY_MS &&
		    !place_open(b, f))
			refuse_open(b, f);
		return;
	}
	if (!f->ntried || f->queued ||
	    b->now < f->offered_ms + OFFER_TIMEOUT_MS)
		return;
	m = relay_member_find(b, f->tried[f->ntried - 1]);
	event_log(EVENT_UNANSWERED,
		  "\"flow\":\"%s\",\"seq\":%u,\"agent\":\"%s\",\"ms\":%llu",
		  flow_key_format(&f->node.key, text), f->seq,
		  ipv4_format(f->tried[f->ntried - 1], agent),
		  (unsigned long long)(b->now - f->offered_ms));
	f->offer_unanswered = true;
	f->offered_ms = b->now;
	if (m)
		relay_member_unanswered(b, m);
	if (!place_open(b, f))
		refuse_open(b, f);
}
