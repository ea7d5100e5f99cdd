#include "holder_evidence.h"
#include "relay_balancer_int.h"
#include <stdlib.h>
#include <string.h>

/* Heartbeat interval: an agent from which no message came for this long gets a
 * hello, which it answers with a load report. */
#define HELLO_INTERVAL_MS 1000
/* Interval between hellos to an agent that does not answer. */
#define HELLO_RETRY_MS 500
/* Longest interval between hellos to an agent whose load reports are used.
 * Agents remove a balancer from which no hello came for 10 s. */
#define HELLO_REFRESH_MS 4000
/* Hellos to an agent, and with them its load reports, end this long after the
 * last offer to it: the number of hellos depends on the balancer's opens, not
 * on the number of targets. */
#define HELLO_AFTER_OFFER_MS 12000
/* Time after an unanswered hello at which a member is suspect: a round trip
 * between availability zones plus 100 ms in which the host may wait for its CPU
 * quota. */
#define SUSPECT_MS 130
/* Time for which the agent of a target that is gone may hold flows. */
#define GONE_FLOWS_MS 70000
/* Hosts are removed together with their targets. Therefore the agent of a
 * target that is no longer published gets frequent hellos, and look-ups leave
 * it out after three without an answer. */
#define GONE_HELLO_INTERVAL_MS 250
#define GONE_UNREACHABLE_MS    900
/* Time after the removal of a target for which its agent gets frequent hellos;
 * then HELLO_INTERVAL_MS applies. */
#define GONE_FREQUENT_HELLO_MS 15000
/* A server that is no longer published and has answered nothing for this long
 * is dead, unless its agent knows that it runs. */
#define GONE_SILENT_MS 500
/* The agent of a target that is no longer published, and that has sent nothing
 * for this long in spite of hellos, is lost: its flows are reset. */
#define AGENT_LOST_MS 2500
/* Silence after which an agent is lost that has stopped beside a running server
 * whose target is no longer published: its restart takes a second or two. */
#define RESTART_MAX_MS 4000
/* Consecutive unanswered offers after which a member is avoided. */
#define UNANSWERED_OFFERS_MAX 2
/* Time for which a member is avoided unless it sends a message: long enough for
 * two hellos. */
#define AVOID_MS 1200
/* A server that is no longer published and has answered nothing for this long
 * has lost its flows: three heartbeat intervals of the platform's targets. */
#define SERVER_LOST_MS 2000

/* Age from which a report that no server runs shows nothing: one may have
 * started and left since. */
#define NO_SERVER_EXPIRY_MS 3000

static void reset_flows(relay_balancer_t *b, relay_member_t *m,
			const target_entry_t *next, const char *why);

relay_member_t *relay_member_find(relay_balancer_t *b, uint32_t agent)
{
	return g_hash_table_lookup(b->by_agent, GUINT_TO_POINTER(agent));
}

void relay_member_hello(relay_balancer_t *b, relay_member_t *m)
{
	relay_evacuation_t evacuation;
	relay_msg_t msg;

	relay_msg_init(&msg, RELAY_HELLO);
	msg.service = (char *)m->service;
	msg.slots = m->slots;
	msg.evacuation = relay_evacuation_tell(b, m, &evacuation);
	relay_limits_tell_warmup(b, m, &msg);
	relay_limits_tell_flows(b, m, &msg);
	m->last_hello_ms = b->now;
	if (!m->unanswered_since_ms)
		m->unanswered_since_ms = b->now;
	counter_add(&b->counters, COUNTER_CONTROL_MESSAGES_OUT, 1);
	b->ops.send_message(b->ctx, m->agent, &msg);
}

/* True when the agent at the member's address has named the service of an entry
 * that is not that of the member's target. */
static bool named_by_agent(const relay_member_t *m, const target_entry_t *e)
{
	return m->agent_service && strcmp(e->service, m->service) != 0 &&
	       !strcmp(e->service, m->agent_service);
}

/* True when the next target at the member's address may hold the flow: the
 * flow's holder named its service, it started before the flow was known there,
 * or nothing shows when it started and that it is there. */
static bool next_may_hold(const relay_balancer_t *b, const relay_member_t *m,
			  const relay_flow_t *f, const target_entry_t *next,
			  uint64_t unix_ms)
{
	uint64_t started_ms =
		relay_mechanism_on(RELAY_START_TIMES) ? next->started_ms : 0;

	if (strcmp(next->service, m->service) != 0 && f->service &&
	    !strcmp(next->service, f->service))
		return true;
	if (!next->started_ms && !named_by_agent(m, next))
		return true;
	return !holder_started_later(f->held_ms, b->now, unix_ms, started_ms);
}

/* Resets the flows of a lost or replaced server, so that callers can open new
 * ones, but those that the next one may hold; NULL: there is none. A flow that
 * may be open at another server, which took a copy of the open, is forgotten:
 * its next packet is looked up. */
static void reset_flows(relay_balancer_t *b, relay_member_t *m,
			const target_entry_t *next, const char *why)
{
	uint64_t unix_ms = b->ops.unix_ms ? b->ops.unix_ms(b->ctx) : 0;

	list_each_safe(node, after, flow_index_lru(b->flows))
	{
		flow_node_t *n = list_entry(node, flow_node_t, lru);
		relay_flow_t *f = (relay_flow_t *)n;

		if (f->agent != m->agent || f->phase != PHASE_KNOWN ||
		    (next && next_may_hold(b, m, f, next, unix_ms)))
			continue;
		if (f->confirmed)
			relay_flow_reset(b, f, why);
		else
			flow_index_remove(b->flows, &f->node);
	}
}

/* Removes a member that has been gone for longer than the platform lets any
 * flow live. */
static void member_remove(relay_balancer_t *b, relay_member_t *m)
{
	relay_group_remove(m);
	relay_member_note_held(b, m, NULL);
	g_hash_table_remove(b->by_agent, GUINT_TO_POINTER(m->agent));
	list_remove(&m->node);
	free(m);
}

/* True when the entry is that of the member's present target. */
static bool is_present(const relay_member_t *m, const target_entry_t *e)
{
	return strcmp(m->entry_id, e->id) == 0;
}

/* True when the entry is older than that of the member's present target, which
 * another writer left or whose target has gone: the server of the older entry
 * has been there all the time. */
static bool was_there_before(const relay_balancer_t *b, const relay_member_t *m,
			     const target_entry_t *e)
{
	const target_entry_t *present =
		directory_find(b->directory, m->entry_id);

	return present && present != e &&
	       store_revision_compare(e->revision, present->revision) < 0;
}

/* Resets the flows of the target that was at the member's address and discards
 * its load report. */
static void replace_target(relay_balancer_t *b, relay_member_t *m,
			   const target_entry_t *e)
{
	if (!was_there_before(b, m, e))
		reset_flows(b, m, e, "target replaced");
	m->report = (relay_load_report_t){ 0 };
	relay_member_note_held(b, m, NULL);
	m->unreported_opens = 0;
	m->unanswered_offers = 0;
	m->avoided_until_ms = 0;
}

/* Makes the entry's target that of the member. */
static void adopt(relay_balancer_t *b, relay_member_t *m,
		  const target_entry_t *e)
{
	if (m->service && (!is_present(m, e) || m->started_ms != e->started_ms))
		replace_target(b, m, e);
	g_strlcpy(m->entry_id, e->id, sizeof(m->entry_id));
	m->service = g_intern_string(e->service);
	m->started_ms = e->started_ms;
	m->state = e->state;
	m->zone = g_intern_string(e->zone);
	m->zone_state = relay_zone_find(b, m->zone);
	m->local = !strcmp(e->zone, b->options.zone);
	relay_evacuation_update(b, m);
	m->slots = e->slots;
	m->warmup_end_ms = e->warmup_end_ms;
	m->gone_ms = 0;
	m->flows_reset_ms = 0;
	relay_group_update(b, m);
	relay_member_hello(b, m);
}

static relay_member_t *member_add(relay_balancer_t *b, uint32_t agent)
{
	relay_member_t *m = calloc(1, sizeof(*m));

	if (!m)
		return NULL;
	m->agent = agent;
	list_append(&b->members, &m->node);
	g_hash_table_insert(b->by_agent, GUINT_TO_POINTER(agent), m);
	return m;
}

void relay_member_update(relay_balancer_t *b, const target_entry_t *e)
{
	relay_member_t *m = relay_member_find(b, e->address.ip);
	const target_entry_t *best = e;
	char text[ENDPOINT_TEXT_SIZE];

	event_log(EVENT_TARGET,
		  "\"target\":\"%s\",\"service\":\"%s\",\"agent\":\"%s\","
		  "\"state\":\"%s\",\"era\":%llu,\"revision\":%llu,"
		  "\"slots\":%u,\"started_ms\":%llu",
		  e->id, e->service, ipv4_format(e->address.ip, text),
		  entry_state_name(e->state),
		  (unsigned long long)e->revision.era,
		  (unsigned long long)e->revision.number, e->slots,
		  (unsigned long long)e->started_ms);
	if (m)
		best = relay_claim_best(b, m);
	else
		m = member_add(b, e->address.ip);
	if (!m)
		return;
	if (!best) {
		if (m->state != ENTRY_GONE && is_present(m, e)) {
			m->state = ENTRY_GONE;
			m->gone_ms = b->now;
		}
		return;
	}
	if (best == e || !is_present(m, best))
		adopt(b, m, best);
	if (m->state == ENTRY_GONE)
		m->gone_ms = e->state_since_ms;
	relay_claim_ask(b, m);
}

/* Chooses anew among the entries of the member's address. */
static void settle(relay_balancer_t *b, relay_member_t *m)
{
	const target_entry_t *best = relay_claim_best(b, m);

	if (best && !is_present(m, best))
		adopt(b, m, best);
}

void relay_members_settle(relay_balancer_t *b)
{
	list_each(node, &b->members)
	{
		relay_member_t *m = list_entry(node, relay_member_t, node);

		if (m->contested)
			settle(b, m);
	}
}

/* Notes the service that the agent names. */
static void note_service(relay_balancer_t *b, relay_member_t *m,
			 const char *service)
{
	if (!service[0] ||
	    (m->agent_service && !strcmp(m->agent_service, service)))
		return;
	m->agent_service = g_intern_string(service);
	if (m->contested)
		settle(b, m);
}

void relay_member_on_message(relay_balancer_t *b, relay_member_t *m,
			     const relay_msg_t *msg)
{
	const relay_load_t *load = msg->load;
	char text[ENDPOINT_TEXT_SIZE];

	m->last_heard_ms = b->now;
	m->unanswered_since_ms = 0;
	m->unanswered_offers = 0;
	if (m->avoided_until_ms > b->now)
		event_log(EVENT_MEMBER,
			  "\"agent\":\"%s\",\"state\":\"answers again\"",
			  ipv4_format(m->agent, text));
	m->avoided_until_ms = 0;
	note_service(b, m, msg->service);
	if (!load)
		return;
	if ((load->down_ms > 0) != (m->report.down_ms > 0))
		event_log(EVENT_MEMBER,
			  "\"agent\":\"%s\",\"state\":\"server %s\","
			  "\"silent_ms\":%u",
			  ipv4_format(m->agent, text),
			  load->down_ms ? "silent" : "answers", load->down_ms);
	if (load->stopping && !m->report.stopping)
		event_log(EVENT_MEMBER,
			  "\"agent\":\"%s\",\"state\":\"stops\","
			  "\"target\":\"%s\",\"silent_ms\":%u,"
			  "\"stalled_ms\":%u,\"flows\":%u",
			  ipv4_format(m->agent, text),
			  entry_state_name(m->state), load->down_ms,
			  load->stalled_ms, load->flows);
	m->report = (relay_load_report_t){
		.reported_ms = b->now,
		.avg_in_flight = load->work_hundredths / 100.0,
		.in_flight = load->in_flight,
		.service_ms = load->service_us / 1000.0,
		.failure_ratio = load->failed_percent / 100.0,
		.too_fast_ratio = load->too_fast_percent / 100.0,
		.flows = load->flows,
		.paced_slots = load->paced_slots,
		.down_ms = load->down_ms,
		.stalled_ms = load->stalled_ms,
		.stopping = load->stopping,
		.evacuated = load->evacuated,
		.warmup_full = load->warmup_full,
		.no_server = load->no_server,
		.listens = load->listens,
	};
	relay_member_note_held(b, m, msg);
	if (msg->kind == RELAY_LOAD)
		m->unreported_opens = 0;
}

void relay_member_unanswered(relay_balancer_t *b, relay_member_t *m)
{
	char text[ENDPOINT_TEXT_SIZE];

	if (++m->unanswered_offers < UNANSWERED_OFFERS_MAX ||
	    m->avoided_until_ms > b->now)
		return;
	m->avoided_until_ms = b->now + AVOID_MS;
	counter_add(&b->counters, COUNTER_SUSPICIONS, 1);
	event_log(EVENT_MEMBER,
		  "\"agent\":\"%s\",\"state\":\"avoided\",\"unanswered\":%u,"
		  "\"heard_ms_ago\":%llu",
		  ipv4_format(m->agent, text), m->unanswered_offers,
		  (unsigned long long)(b->now - m->last_heard_ms));
	relay_member_hello(b, m);
}

uint64_t relay_member_heard_ms(const relay_balancer_t *b,
			       const relay_member_t *m)
{
	return MAX(m->last_heard_ms, b->resumed_ms);
}

void relay_members_resume(relay_balancer_t *b)
{
	b->resumed_ms = b->now;
	list_each(node, &b->members)
	{
		relay_member_t *m = list_entry(node, relay_member_t, node);

		if (m->unanswered_since_ms)
			m->unanswered_since_ms = b->now;
	}
}

/* Time in ms since the member's last message, or since its hellos began if that
 * is later; 0 while it gets none. */
static uint64_t silent_ms(const relay_balancer_t *b, const relay_member_t *m)
{
	if (!m->hellos_since_ms)
		return 0;
	return b->now - MAX(relay_member_heard_ms(b, m), m->hellos_since_ms);
}

/* True when the member's server has answered nothing for ms, and its agent does
 * not know that it runs. */
static bool server_silent(const relay_member_t *m, uint32_t ms)
{
	return !m->report.listens &&
	       (m->report.down_ms >= ms || m->report.stalled_ms >= ms);
}

/* True when the member's agent stops, or has stopped, beside a running server:
 * it is expected to come back. */
static bool agent_restarts(const relay_member_t *m)
{
	return m->report.stopping && m->report.listens;
}

bool relay_member_may_hold_flows(const relay_balancer_t *b,
				 const relay_member_t *m)
{
	if (m->state != ENTRY_GONE)
		return true;
	/* An agent that stops does not come back once its target is gone. */
	if (server_silent(m, GONE_SILENT_MS) ||
	    (m->report.stopping && !agent_restarts(m)))
		return false;
	if (m->report.no_server &&
	    b->now < m->report.reported_ms + NO_SERVER_EXPIRY_MS)
		return false;
	return b->now < m->gone_ms + GONE_FLOWS_MS &&
	       silent_ms(b, m) < (agent_restarts(m) ? RESTART_MAX_MS
						    : GONE_UNREACHABLE_MS);
}

bool relay_member_unreached(const relay_balancer_t *b, const relay_member_t *m)
{
	return m->unanswered_since_ms &&
	       b->now >= m->unanswered_since_ms + SUSPECT_MS;
}

bool relay_member_suspect(const relay_balancer_t *b, const relay_member_t *m)
{
	return m->held || relay_member_unreached(b, m) ||
	       (m->state == ENTRY_GONE && !m->last_heard_ms);
}

/* True for a member that gets few or no opens: only hellos show when it has
 * recovered. */
static bool impaired(const relay_member_t *m)
{
	return m->report.stopping || m->report.down_ms ||
	       m->report.stalled_ms || m->report.failure_ratio > 0 ||
	       m->report.too_fast_ratio > 0;
}

/* Sends a hello that is due, so that the agent reports its load. */
static void send_due_hello(relay_balancer_t *b, relay_member_t *m)
{
	uint64_t since_heard_ms = b->now - m->last_heard_ms;
	uint64_t since_hello_ms = b->now - m->last_hello_ms;
	bool gone = m->state == ENTRY_GONE;

	if (!gone && relay_evacuation_hello_due(b, m)) {
		relay_member_hello(b, m);
		return;
	}
	if (!gone && b->now >= m->last_offer_ms + HELLO_AFTER_OFFER_MS &&
	    m->last_heard_ms >= m->last_hello_ms && !impaired(m)) {
		m->hellos_since_ms = 0;
		return;
	}
	if (!m->hellos_since_ms)
		m->hellos_since_ms = b->now;
	if ((m->held ||
	     (gone && b->now < m->gone_ms + GONE_FREQUENT_HELLO_MS)) &&
	    since_heard_ms >= GONE_HELLO_INTERVAL_MS &&
	    since_hello_ms >= GONE_HELLO_INTERVAL_MS)
		relay_member_hello(b, m);
	else if ((since_heard_ms >= HELLO_INTERVAL_MS &&
		  since_hello_ms >= HELLO_RETRY_MS) ||
		 since_hello_ms >= HELLO_REFRESH_MS)
		relay_member_hello(b, m);
}

static void member_tick(relay_balancer_t *b, relay_member_t *m)
{
	bool gone = m->state == ENTRY_GONE;

	if (gone && b->now >= m->gone_ms + GONE_FLOWS_MS) {
		member_remove(b, m);
		return;
	}
	send_due_hello(b, m);
	relay_claim_ask(b, m);
	if (!gone || m->flows_reset_ms)
		return;
	if (server_silent(m, SERVER_LOST_MS) ||
	    silent_ms(b, m) >=
		    (agent_restarts(m) ? RESTART_MAX_MS : AGENT_LOST_MS)) {
		m->flows_reset_ms = b->now;
		reset_flows(b, m, NULL, "target gone and unresponsive");
	}
}

void relay_members_tick(relay_balancer_t *b)
{
	list_each_safe(node, after, &b->members)
		member_tick(b, list_entry(node, relay_member_t, node));
}
