#include "relay_balancer_int.h"
#include <stdlib.h>
#include <string.h>

/* Time after which the next batch of chains is sent although earlier chains
 * have not ended: the eight agents of a chain take a few milliseconds each. */
#define BATCH_INTERVAL_MS 60
/* A chain that has not ended after this time contains an agent that does not
 * answer; its agents are then queried one by one. */
#define CHAIN_TIMEOUT_MS 200
/* Interval between rounds of queries. A round queries each agent that has not
 * answered. */
#define QUERY_RETRY_MS 120
/* Age from which an agent's word that its server has kept a packet shows
 * nothing: the agent has left two queries unanswered. */
#define KEPT_EXPIRY_MS 900
/* Rounds after which the interval is that of the caller's later copies: an
 * agent that is silent for so long restarts, or its host has been removed. */
#define QUERY_ROUNDS_QUICK 3
#define QUERY_SLOW_MS	   400
/* Time after which a look-up ends although agents have not answered; the flow's
 * packets are dropped without a reset, and the next one starts another look-up.
 * Until then the entry of a target that was removed together with its agent has
 * expired, and the flow is reset. */
#define LOOKUP_MAX_MS 4000
/* Time for which a look-up waits for an agent that stops and has listed the
 * flow, before servers of others try the packet: its planned restart takes half
 * of it. */
#define LISTED_WAIT_MS 2000

static void send_query(relay_balancer_t *b, const relay_flow_t *f,
		       uint32_t agent);
static bool send_next(relay_balancer_t *b, relay_flow_t *f);
static void begin_lookup(relay_balancer_t *b, relay_flow_t *f,
			 const relay_packet_t *p, uint32_t excluded);
static void queue_packet(relay_lookup_t *l, const relay_packet_t *p);
static void send_queued(relay_balancer_t *b, relay_flow_t *f);
static void advance_lookup(relay_balancer_t *b, relay_flow_t *f);
static lookup_agent_t *find_asked(relay_lookup_t *l, uint32_t agent);
static void log_lookup(relay_balancer_t *b, relay_flow_t *f,
		       const char *outcome);
static bool mark_gone_not_held(relay_balancer_t *b, relay_flow_t *f);
static void query_away(relay_balancer_t *b, relay_flow_t *f);

void relay_lookup_free(relay_lookup_t *l)
{
	if (!l)
		return;
	for (unsigned i = 0; i < l->nqueued; i++)
		g_free(l->queued[i]);
	g_array_free(l->asked, TRUE);
	g_array_free(l->pending, TRUE);
	g_ptr_array_free(l->services, TRUE);
	g_free(l->packet);
	g_free(l);
}

static lookup_agent_t *find_asked(relay_lookup_t *l, uint32_t agent)
{
	for (guint i = 0; i < l->asked->len; i++) {
		lookup_agent_t *a = &g_array_index(l->asked, lookup_agent_t, i);

		if (a->agent == agent)
			return a;
	}
	return NULL;
}

static void send_query(relay_balancer_t *b, const relay_flow_t *f,
		       uint32_t agent)
{
	relay_msg_t msg;

	relay_msg_init(&msg, RELAY_QUERY);
	relay_msg_set_key(&msg, &f->node.key);
	msg.ack = f->ack;
	counter_add(&b->counters, COUNTER_CONTROL_MESSAGES_OUT, 1);
	b->ops.send_message(b->ctx, agent, &msg);
}

/* True while the look-up asks only the agent that has listed the flow. */
static bool awaits_listed(const relay_balancer_t *b, relay_lookup_t *l)
{
	const lookup_agent_t *a = find_asked(l, l->listed);

	return a && a->answer != ANSWER_NOT_HELD &&
	       b->now < l->started_ms + LISTED_WAIT_MS;
}

static packet_copy_t *copy_packet(const relay_packet_t *p)
{
	packet_copy_t *h = g_malloc(sizeof(*h) + p->len);

	h->len = p->len;
	memcpy(h->data, p->data, p->len);
	return h;
}

/* Sends the next chains. Returns false when all agents were asked. */
static bool send_next(relay_balancer_t *b, relay_flow_t *f)
{
	relay_lookup_t *l = f->lookup;
	lookup_scope_t scope = l->scope;

	if (!relay_chain_widen(b, &f->node.key, l))
		return false;
	if (scope < SCOPE_FORMER && l->scope >= SCOPE_FORMER)
		counter_add(&b->counters, COUNTER_LOOKUPS_WIDENED, 1);
	return relay_chain_send_batch(b, l);
}

static void begin_lookup(relay_balancer_t *b, relay_flow_t *f,
			 const relay_packet_t *p, uint32_t excluded)
{
	relay_lookup_t *l = g_new0(relay_lookup_t, 1);

	l->asked = g_array_new(FALSE, TRUE, sizeof(lookup_agent_t));
	l->pending = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	l->services = g_ptr_array_new();
	l->generation = b->generation;
	l->packet = copy_packet(p);
	l->batch = 1;
	l->started_ms = b->now;
	l->last_sent_ms = b->now;
	f->lookup = l;
	relay_flow_set_phase(b, f, PHASE_LOOKUP);
	counter_add(&b->counters, COUNTER_CACHE_MISSES, 1);
	if (excluded) {
		lookup_agent_t a = { .agent = excluded,
				     .answer = ANSWER_NOT_HELD };

		g_array_append_val(l->asked, a);
	}
	relay_read_expect(b);
	send_next(b, f);
}

static void queue_packet(relay_lookup_t *l, const relay_packet_t *p)
{
	if (l->nqueued < QUEUED_PACKETS_MAX)
		l->queued[l->nqueued++] = copy_packet(p);
}

/* The agent whose running server probably holds the flow, or NULL. The packet
 * goes to no other, and the next ones go there. */
static lookup_agent_t *find_kept(const relay_balancer_t *b, relay_lookup_t *l)
{
	for (guint i = 0; i < l->asked->len; i++) {
		lookup_agent_t *a = &g_array_index(l->asked, lookup_agent_t, i);

		if (a->answer == ANSWER_UNSURE && a->kept_ms &&
		    b->now < a->kept_ms + KEPT_EXPIRY_MS)
			return a;
	}
	return NULL;
}

/* True when a server that holds the flow shows it by an answer to the look-up's
 * packet. */
static bool wants_answer(const relay_balancer_t *b, const relay_lookup_t *l)
{
	relay_packet_t p;

	return b->options.format->read(l->packet->data, l->packet->len, &p) ==
		       0 &&
	       relay_packet_wants_answer(&p);
}

/*
 * Sends the packet along a new chain of the unsure agents, whose servers show
 * whether they hold the flow. Of each chain that let servers try it and did not
 * end, the first agent may wait for a server that is lost, and those behind it
 * have not got the packet: it goes last. When only such agents are left, each
 * is tried once more. A packet that gets no answer is tried only at the agent
 * that has listed the flow. Returns false when there is no agent to try.
 */
static bool try_unsure(relay_balancer_t *b, relay_flow_t *f)
{
	relay_lookup_t *l = f->lookup;
	bool anywhere = wants_answer(b, l);
	GArray *order;
	uint32_t chain = 0;
	bool sent;

	if (find_kept(b, l))
		return false;
	order = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (guint i = 0; i < l->asked->len; i++) {
		lookup_agent_t *a = &g_array_index(l->asked, lookup_agent_t, i);

		if (a->answer != ANSWER_UNSURE || a->suspect ||
		    (!anywhere && a->agent != l->listed))
			continue;
		a->suspect = a->trial && a->chain != chain;
		chain = a->chain;
		if (!a->suspect)
			g_array_append_val(order, a->agent);
	}
	for (guint i = 0; i < l->asked->len; i++) {
		lookup_agent_t *a = &g_array_index(l->asked, lookup_agent_t, i);

		if (a->answer != ANSWER_UNSURE || !a->suspect || a->last_tried)
			continue;
		a->last_tried = order->len == 0;
		g_array_append_val(order, a->agent);
	}
	sent = relay_chain_send_again(b, l, order);
	l->tried |= sent;
	if (sent)
		counter_add(&b->counters, COUNTER_TRIALS, 1);
	g_array_free(order, TRUE);
	return sent;
}

/* The agent that gets the caller's next packets, or NULL: the one whose server
 * probably holds the flow, or the first that may wait for its server. */
static relay_member_t *member_to_try(relay_balancer_t *b, relay_lookup_t *l)
{
	lookup_agent_t *kept = find_kept(b, l);

	if (kept)
		return relay_member_find(b, kept->agent);
	for (guint i = 0; i < l->asked->len; i++) {
		const lookup_agent_t *a =
			&g_array_index(l->asked, lookup_agent_t, i);
		relay_member_t *m = relay_member_find(b, a->agent);

		if (a->answer == ANSWER_UNSURE && a->suspect && m &&
		    !m->report.down_ms && !m->report.stalled_ms)
			return m;
	}
	return NULL;
}

/* Sends a packet that needs an answer to an agent whose server may have kept an
 * earlier one: a server that answers holds the flow. If none has got one, the
 * look-up goes on with this packet. */
static void try_new_packet(relay_balancer_t *b, relay_flow_t *f,
			   const relay_packet_t *p)
{
	relay_lookup_t *l = f->lookup;
	relay_member_t *m;

	if (!relay_packet_wants_answer(p))
		return;
	g_free(l->packet);
	l->packet = copy_packet(p);
	l->packet_queued = true;
	m = member_to_try(b, l);
	if (m)
		relay_chain_send_single(b, l, m);
	else
		advance_lookup(b, f);
}

static void send_copy(relay_balancer_t *b, relay_flow_t *f, packet_copy_t *copy)
{
	relay_packet_t p;

	if (b->options.format->read(copy->data, copy->len, &p) == 0)
		relay_flow_send(b, f, &p, 0);
}

/* True when the holder may not have got the look-up's first packet: its chain
 * was lost, and a query found the holder. A server that has tried the packet
 * shows itself as the holder by an answer, if the packet expects one. */
static bool packet_missed(const relay_balancer_t *b, const relay_lookup_t *l)
{
	return l->query_rounds && !l->packet_queued &&
	       (!l->tried || !wants_answer(b, l));
}

/* Sends the look-up's packets to the flow's holder. If the first one expects no
 * answer, its caller may send no other for seconds. */
static void send_queued(relay_balancer_t *b, relay_flow_t *f)
{
	relay_lookup_t *l = f->lookup;

	if (packet_missed(b, l))
		send_copy(b, f, l->packet);
	for (unsigned i = 0; i < l->nqueued; i++) {
		send_copy(b, f, l->queued[i]);
		g_free(l->queued[i]);
	}
	l->nqueued = 0;
}

/* Address of the first agent that has not answered; 0: all have. */
static uint32_t silent_agent(const relay_lookup_t *l)
{
	for (guint i = 0; i < l->asked->len; i++) {
		const lookup_agent_t *a =
			&g_array_index(l->asked, lookup_agent_t, i);

		if (a->answer == ANSWER_NONE)
			return a->agent;
	}
	return 0;
}

static void log_lookup(relay_balancer_t *b, relay_flow_t *f,
		       const char *outcome)
{
	static const char *const scopes[] = { "none", "present", "former",
					      "all" };
	char text[FLOW_TEXT_SIZE], agent[ENDPOINT_TEXT_SIZE],
		silent[ENDPOINT_TEXT_SIZE];

	event_log(EVENT_LOOKUP,
		  "\"flow\":\"%s\",\"outcome\":\"%s\",\"agent\":\"%s\","
		  "\"asked\":%u,\"scope\":\"%s\",\"silent\":\"%s\","
		  "\"ms\":%llu",
		  flow_key_format(&f->node.key, text), outcome,
		  ipv4_format(f->agent, agent), f->lookup->asked->len,
		  scopes[f->lookup->scope],
		  ipv4_format(silent_agent(f->lookup), silent),
		  (unsigned long long)(b->now - f->lookup->started_ms));
}

/* True when an agent of the newest chain has not answered. */
static bool chain_under_way(const relay_lookup_t *l)
{
	for (guint i = 0; i < l->asked->len; i++) {
		const lookup_agent_t *a =
			&g_array_index(l->asked, lookup_agent_t, i);

		if (a->answer == ANSWER_NONE && a->chain == l->chain)
			return true;
	}
	return false;
}

/* Lets the servers of the next chain try the packet once those of the one
 * before have returned it, although other agents are silent: each has left a
 * question unanswered, and may be away for seconds. */
static void continue_trials(relay_balancer_t *b, relay_flow_t *f)
{
	relay_lookup_t *l = f->lookup;

	if (!l->query_rounds || l->next < l->pending->len ||
	    chain_under_way(l) || awaits_listed(b, l))
		return;
	if (try_unsure(b, f) && b->now >= l->away_asked_ms + QUERY_RETRY_MS)
		query_away(b, f);
}

/*
 * Continues a look-up once all agents asked so far have answered: sends the
 * next chains, lets the servers of unsure agents try the packet, or resets the
 * flow if no agent holds it. A packet that gets no answer is dropped when only
 * servers know: one that waits for it sends again, and its agent then knows the
 * flow.
 */
static void advance_lookup(relay_balancer_t *b, relay_flow_t *f)
{
	relay_lookup_t *l = f->lookup;
	const char *outcome;

	if (silent_agent(l)) {
		continue_trials(b, f);
		return;
	}
	if ((!awaits_listed(b, l) && send_next(b, f)) || try_unsure(b, f))
		return;
	for (guint i = 0; i < l->asked->len; i++) {
		if (g_array_index(l->asked, lookup_agent_t, i).answer !=
		    ANSWER_UNSURE)
			continue;
		if (!wants_answer(b, l)) {
			log_lookup(b, f, "not tried, since it gets no answer");
			flow_index_remove(b->flows, &f->node);
		}
		return;
	}
	f->agent = 0;
	if (directory_first_listing(b->directory) ||
	    directory_hiding_ms(b->directory, b->now) ||
	    (!l->asked->len && directory_settling(b->directory, b->now))) {
		/* An agent that is not known yet may hold the flow. */
		log_lookup(b, f, "targets may not be known yet");
		flow_index_remove(b->flows, &f->node);
		return;
	}
	/* Another balancer may have opened the flow at a target, or on a route,
	 * that has not been read yet. */
	l->awaits_read = !relay_read_since(b, l->started_ms);
	if (l->awaits_read)
		return;
	counter_add(&b->counters, COUNTER_LOOKUPS_UNKNOWN, 1);
	outcome = l->lost_zone ? "no agent that is reached holds the flow"
			       : "no agent holds the flow";
	log_lookup(b, f, outcome);
	relay_flow_reset(b, f, outcome);
}

void relay_lookup_packet(relay_balancer_t *b, relay_flow_t *f,
			 const relay_packet_t *p, uint32_t excluded)
{
	relay_lookup_t *l = f->lookup;
	lookup_agent_t *a;

	if (p->flags & RELAY_RST) {
		/* The caller expects no answer to a reset. */
		flow_index_remove(b->flows, &f->node);
		return;
	}
	if (!l) {
		begin_lookup(b, f, p, excluded);
		advance_lookup(b, f);
		return;
	}
	queue_packet(l, p);
	a = excluded ? find_asked(l, excluded) : NULL;
	if (a)
		a->answer = ANSWER_NOT_HELD;
	if (excluded)
		advance_lookup(b, f);
	else
		try_new_packet(b, f, p);
}

bool relay_balancer_looks_up(const relay_balancer_t *b)
{
	list_each(node, &b->waiting)
	{
		const relay_flow_t *f = list_entry(node, relay_flow_t, waiting);

		if (f->phase == PHASE_LOOKUP && wants_answer(b, f->lookup))
			return true;
	}
	return false;
}

void relay_lookup_store_read(relay_balancer_t *b, relay_flow_t *f)
{
	f->lookup->awaits_read = false;
	advance_lookup(b, f);
}

void relay_lookup_found(relay_balancer_t *b, relay_flow_t *f)
{
	log_lookup(b, f, "held");
	send_queued(b, f);
	relay_lookup_free(f->lookup);
	f->lookup = NULL;
}

/* True when the answer of a chain names the agent as unsure. */
static bool names_unsure(const relay_msg_t *msg, uint32_t agent)
{
	for (size_t i = 0; i < msg->n_unsure; i++)
		if (msg->unsure[i] == agent)
			return true;
	return false;
}

/* A chain ended without a holder: records that none of its agents holds the
 * flow, apart from those that are unsure. */
static void mark_chain_not_held(relay_lookup_t *l, const relay_msg_t *msg)
{
	for (guint i = 0; i < l->asked->len; i++) {
		lookup_agent_t *a = &g_array_index(l->asked, lookup_agent_t, i);

		if (a->chain != msg->chain || a->answer != ANSWER_NONE)
			continue;
		a->answer = names_unsure(msg, a->agent) ? ANSWER_UNSURE
							: ANSWER_NOT_HELD;
	}
}

void relay_lookup_answer(relay_balancer_t *b, uint32_t from,
			 const relay_msg_t *msg)
{
	flow_key_t key = relay_msg_key(msg);
	relay_flow_t *f = relay_flow_find(b, &key);
	lookup_agent_t *a;

	if (!f || !f->lookup)
		return;
	if (msg->kind == RELAY_HELD) {
		f->server_isn = msg->server_isn;
		relay_flow_set_holder(b, f, from, msg->service);
		f->confirmed = true;
		return;
	}
	if (msg->chain) {
		mark_chain_not_held(f->lookup, msg);
		advance_lookup(b, f);
		return;
	}
	a = find_asked(f->lookup, from);
	if (!a || a->answer == ANSWER_NOT_HELD)
		return;
	a->answer = msg->kind == RELAY_UNSURE ? ANSWER_UNSURE : ANSWER_NOT_HELD;
	a->kept_ms = msg->kept ? b->now : 0;
	advance_lookup(b, f);
}

/* True when an agent that has not answered need not be waited for: it holds no
 * flow any more, or is in a zone that is lost while the request may run twice.
 */
static bool need_not_answer(const relay_balancer_t *b, const relay_flow_t *f,
			    const relay_member_t *m)
{
	const route_t *route;

	if (!relay_member_may_hold_flows(b, m) ||
	    relay_member_left_without(b, m, &f->node.key))
		return true;
	if (!relay_zone_lost(b, m))
		return false;
	route = route_find(b->routes, f->node.key.dst, f->node.key.dport);
	if (!route || !route->idempotent)
		return false;
	f->lookup->lost_zone = true;
	return true;
}

/* Records that the agents that were asked and are gone or lost since do not
 * hold the flow. Returns true if there are any. */
static bool mark_gone_not_held(relay_balancer_t *b, relay_flow_t *f)
{
	relay_lookup_t *l = f->lookup;
	bool any = false;

	for (guint i = 0; i < l->asked->len; i++) {
		lookup_agent_t *a = &g_array_index(l->asked, lookup_agent_t, i);
		const relay_member_t *m = relay_member_find(b, a->agent);

		if (a->answer == ANSWER_NOT_HELD ||
		    (m && !need_not_answer(b, f, m)))
			continue;
		a->answer = ANSWER_NOT_HELD;
		any = true;
	}
	return any;
}

/* True when a further question may show that the agent's server holds the flow:
 * it has not answered, or its server may have got the packet. */
static bool may_know_more(const lookup_agent_t *a)
{
	return a->answer == ANSWER_NONE ||
	       (a->answer == ANSWER_UNSURE && a->trial);
}

/* Asks the agents that have not answered, apart from those of the newest chain,
 * which has just been sent. */
static void query_away(relay_balancer_t *b, relay_flow_t *f)
{
	relay_lookup_t *l = f->lookup;

	l->away_asked_ms = b->now;
	for (guint i = 0; i < l->asked->len; i++) {
		const lookup_agent_t *a =
			&g_array_index(l->asked, lookup_agent_t, i);

		if (a->answer == ANSWER_NONE && a->chain != l->chain)
			send_query(b, f, a->agent);
	}
}

/* Time to wait after the last message of a look-up for answers to it. */
static uint64_t query_interval_ms(const relay_lookup_t *l)
{
	if (!l->query_rounds)
		return CHAIN_TIMEOUT_MS;
	return l->query_rounds < QUERY_ROUNDS_QUICK ? QUERY_RETRY_MS
						    : QUERY_SLOW_MS;
}

void relay_lookup_tick(relay_balancer_t *b, relay_flow_t *f)
{
	relay_lookup_t *l = f->lookup;
	bool waiting = false;

	if (mark_gone_not_held(b, f)) {
		advance_lookup(b, f);
		return;
	}
	if (b->now >= l->started_ms + LOOKUP_MAX_MS) {
		counter_add(&b->counters, COUNTER_LOOKUPS_SILENT, 1);
		f->agent = 0;
		log_lookup(b, f,
			   l->awaits_read ? "store did not answer"
					  : "agents did not answer");
		flow_index_remove(b->flows, &f->node);
		return;
	}
	if (l->next < l->pending->len && !awaits_listed(b, l)) {
		if (b->now >= l->last_sent_ms + BATCH_INTERVAL_MS)
			relay_chain_send_batch(b, l);
		return;
	}
	if (b->now < l->last_sent_ms + query_interval_ms(l))
		return;
	if (l->query_rounds && relay_lookup_skip_stopped(b, f)) {
		advance_lookup(b, f);
		return;
	}
	/* The agents that are silent may not be those that hold the flow. */
	if (!awaits_listed(b, l) && send_next(b, f))
		return;
	if (l->query_rounds && try_unsure(b, f)) {
		query_away(b, f);
		return;
	}
	l->query_rounds++;
	l->last_sent_ms = b->now;
	for (guint i = 0; i < l->asked->len; i++) {
		lookup_agent_t *a = &g_array_index(l->asked, lookup_agent_t, i);

		if (!may_know_more(a))
			continue;
		send_query(b, f, a->agent);
		waiting = true;
	}
	if (!waiting)
		advance_lookup(b, f);
}
